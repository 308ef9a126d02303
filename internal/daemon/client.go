package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"otterchute/internal/configuration"
	"otterchute/internal/schema"
	"otterchute/internal/wire"

	"github.com/failsafe-go/failsafe-go"
	"github.com/failsafe-go/failsafe-go/retrypolicy"
	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/tidwall/gjson"
)

// client asks any daemon of a list, the next one after silence or a 503.
type client struct {
	at   []string
	http http.Client
}

type response struct {
	status int
	body   []byte
}

func newClient(at string) *client {
	return &client{at: strings.Split(at, ","), http: http.Client{Timeout: 6 * time.Second}}
}

// request sends one request until it is finally answered, at most a few times.
//
// Example: t, err := newClient("127.0.0.1:8000").request(ctx, "GET", "/v1/members", nil)
func (c *client) request(ctx context.Context, method, path string, body []byte) (response, error) {
	try := 0
	isTemporary := func(t response, err error) bool { return err != nil || t.status == 503 || t.status == 429 }
	policy := retrypolicy.NewBuilder[response]().
		WithMaxRetries(6).
		WithBackoff(300*time.Millisecond, 2*time.Second).
		WithJitterFactor(0.3).
		HandleIf(isTemporary).
		ReturnLastFailure().
		Build()
	t, err := failsafe.With[response](policy).WithContext(ctx).Get(func() (response, error) {
		at := c.at[try%len(c.at)]
		try++
		req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
		if err != nil {
			return response{}, err
		}
		resp, err := c.http.Do(req)
		if err != nil {
			return response{}, err
		}
		defer func() { _ = resp.Body.Close() }() // what was read is kept, an error would change nothing
		b, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxFrame))
		return response{resp.StatusCode, b}, err
	})
	if err != nil {
		return t, errors.Wrap(errClient, err.Error())
	}
	return t, nil
}

func pretty(b []byte) string {
	var out bytes.Buffer
	if json.Indent(&out, b, "", "  ") != nil {
		return string(b)
	}
	return out.String()
}

// show prints an answer and gives the exit code for it.
func show(t response, err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, "otterchute:", err)
		return exitUnreachable
	}
	if t.status >= 400 {
		fmt.Fprintln(os.Stderr, pretty(t.body))
		if t.status == 503 || t.status == 429 {
			return exitUnreachable
		}
		return exitFound
	}
	fmt.Println(pretty(t.body))
	return exitOK
}

func usage(words string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "otterchute: usage: otterchute", words)
	return exitUsage
}

func readDoc(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

type verb func(context.Context, *client, []string) subcommands.ExitStatus

// verbs makes a command of a table of second words.
func verbs(name, args, about string, table map[string]verb) *command {
	at := new(string)
	return &command{name: name, args: args, about: about,
		bind: func(fs *flag.FlagSet) {
			fs.StringVar(
				at,
				"at",
				"127.0.0.1:8000",
				"HTTP addresses of daemons, parted by commas; the next is tried after silence",
			)
		},
		do: func(ctx context.Context, fs *flag.FlagSet) subcommands.ExitStatus {
			words := fs.Args()
			do, ok := table[""]
			if len(words) > 0 && table[words[0]] != nil {
				do, ok = table[words[0]], true
				words = words[1:]
			}
			if !ok {
				return usage(name + " " + args)
			}
			return do(ctx, newClient(*at), words)
		}}
}

func operatorCommands() []*command {
	get := func(path string) verb {
		return func(ctx context.Context, c *client, _ []string) subcommands.ExitStatus {
			return show(c.request(ctx, "GET", path, nil))
		}
	}
	one := func(words, method, path string) verb {
		return func(ctx context.Context, c *client, w []string) subcommands.ExitStatus {
			if len(w) != 1 || !schema.ValidName(w[0]) {
				return usage(words)
			}
			return show(c.request(ctx, method, strings.ReplaceAll(path, "ID", w[0]), nil))
		}
	}
	return []*command{
		verbs(
			"setup",
			"[-at LIST] apply FILE [N] | check FILE | show | history",
			"declare the whole setup as its next version, check it offline, or read it",
			map[string]verb{
				"apply": applyConfig, "check": checkConfigFile, "show": get("/v1/setups/current"), "history": showHistory},
		),
		verbs(
			"job",
			"[-at LIST] submit ID FILE | show ID | explain ID | cancel ID",
			"hand in a job, read its state, see where its time went, or cancel it",
			map[string]verb{
				"submit":  submitJob,
				"show":    one("job show ID", "GET", "/v1/jobs/ID"),
				"explain": one("job explain ID", "GET", "/v1/jobs/ID/explain"),
				"cancel":  one("job cancel ID", "POST", "/v1/jobs/ID/cancel"),
			},
		),
		verbs("workers", "[-at LIST] [lost NAME]", "list the workers, or declare a silent one gone for good", map[string]verb{
			"": get("/v1/workers"), "lost": one("workers lost NAME", "POST", "/v1/workers/ID/lost")}),
		verbs(
			"members",
			"[-at LIST]",
			"list daemons, core members and who holds which duty",
			map[string]verb{"": get("/v1/members")},
		),
		verbs("empty", "[-at LIST] SITE | undo SITE", "give a site no new work, by the next setup version", map[string]verb{
			"": func(ctx context.Context, c *client, w []string) subcommands.ExitStatus {
				return emptyZone(ctx, c, w, true)
			},
			"undo": func(ctx context.Context, c *client, w []string) subcommands.ExitStatus {
				return emptyZone(ctx, c, w, false)
			}}),
		tenantsCommand(get),
		doctorCommand(),
		importCommand(),
	}
}

func submitJob(ctx context.Context, c *client, w []string) subcommands.ExitStatus {
	if len(w) != 2 || !schema.ValidName(w[0]) {
		return usage("job submit ID FILE")
	}
	doc, err := readDoc(w[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "otterchute:", err)
		return exitUsage
	}
	return show(c.request(ctx, "PUT", "/v1/jobs/"+w[0], doc))
}

func applyConfig(ctx context.Context, c *client, w []string) subcommands.ExitStatus {
	if len(w) < 1 || len(w) > 2 {
		return usage("setup apply FILE [N]")
	}
	doc, err := readDoc(w[0])
	if err != nil {
		fmt.Fprintln(os.Stderr, "otterchute:", err)
		return exitUsage
	}
	var n int64
	if len(w) == 2 {
		if n, err = strconv.ParseInt(w[1], 10, 64); err != nil {
			return usage("setup apply FILE [N]")
		}
	} else {
		t, err := c.request(ctx, "GET", "/v1/setups/current", nil)
		if err != nil || t.status != 200 {
			return show(t, err)
		}
		n = gjson.GetBytes(t.body, "version").Int() + 1
	}
	return show(c.request(ctx, "PUT", "/v1/setups/"+strconv.FormatInt(n, 10), doc))
}

// checkConfigFile makes the checks of a configuration without asking anybody.
func checkConfigFile(_ context.Context, _ *client, w []string) subcommands.ExitStatus {
	if len(w) != 1 {
		return usage("setup check FILE")
	}
	doc, err := readDoc(w[0])
	if err != nil {
		fmt.Fprintln(os.Stderr, "otterchute:", err)
		return exitUsage
	}
	c, faults := configuration.Compile(1, doc)
	for _, f := range faults {
		fmt.Fprintf(os.Stderr, "%s: %s %s\n", w[0], orText(f.Path, "the document"), f.Reason)
	}
	if len(faults) > 0 {
		return exitFound
	}
	fmt.Printf("sound: %d queues, %d sites to empty", len(c.Queues), len(c.EmptyZones))
	if c.RequiresKey() {
		fmt.Printf(", %d tenants", len(c.Tenants))
	}
	fmt.Println()
	for _, line := range c.ExplainContracts() {
		fmt.Println(line)
	}
	return exitOK
}

func showHistory(ctx context.Context, c *client, _ []string) subcommands.ExitStatus {
	t, err := c.request(ctx, "GET", "/v1/setups/current", nil)
	if err != nil || t.status != 200 {
		return show(t, err)
	}
	for _, p := range gjson.GetBytes(t.body, "history").Array() {
		fmt.Printf(
			"version=%d at=%s queues=%d bytes=%d digest=%016x\n",
			p.Get("version").Int(),
			time.UnixMilli(
				p.Get("at_ms").Int(),
			).UTC().Format(
				time.RFC3339,
			),
			p.Get("queues").Int(),
			p.Get("bytes").Int(),
			p.Get("digest").Uint(),
		)
	}
	return exitOK
}

// emptyZone reads the configuration, changes its list of zones to empty and declares
// that as the next version; where another operator was first it begins again.
func emptyZone(ctx context.Context, c *client, w []string, empty bool) subcommands.ExitStatus {
	if len(w) != 1 || !schema.ValidName(w[0]) {
		return usage("empty SITE | empty undo SITE")
	}
	for range 5 {
		t, err := c.request(ctx, "GET", "/v1/setups/current", nil)
		if err != nil || t.status != 200 {
			return show(t, err)
		}
		var doc map[string]json.RawMessage
		if json.Unmarshal([]byte(gjson.GetBytes(t.body, "setup").Raw), &doc) != nil || doc == nil {
			fmt.Fprintln(os.Stderr, "otterchute: there is no setup yet")
			return exitFound
		}
		zones := []string{}
		for _, s := range gjson.GetBytes(t.body, "setup.empty_sites").Array() {
			if s.Str != w[0] {
				zones = append(zones, s.Str)
			}
		}
		if empty {
			zones = append(zones, w[0])
		}
		doc["empty_sites"] = mustJSON(zones)
		t, err = c.request(
			ctx,
			"PUT",
			"/v1/setups/"+strconv.FormatInt(gjson.GetBytes(t.body, "version").Int()+1, 10),
			mustJSON(doc),
		)
		if err != nil || t.status != 409 {
			return show(t, err)
		}
	}
	fmt.Fprintln(os.Stderr, "otterchute: other operators were faster each time; try again")
	return exitFound
}
