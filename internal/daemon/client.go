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

// client sends requests to the first daemon of a list that answers: after an error, a 503 or
// a 429 it tries the next one.
type client struct {
	addresses []string
	http      http.Client
}

// response is a daemon's HTTP response, read whole.
type response struct {
	status int
	body   []byte
}

// newClient returns a client for a comma-separated list of HTTP addresses.
//
// Example: c := newClient("127.0.0.1:8000,127.0.0.2:8000")
func newClient(addresses string) *client {
	return &client{addresses: strings.Split(addresses, ","), http: http.Client{Timeout: 6 * time.Second}}
}

// request sends a request and retries it with backoff a few times while daemons fail, are
// unavailable (503) or overloaded (429). It returns the last response or error.
//
// Example: resp, err := newClient("127.0.0.1:8000").request(ctx, "GET", "/v1/members", nil)
func (c *client) request(ctx context.Context, method, path string, body []byte) (response, error) {
	attempts := 0
	isTemporary := func(resp response, err error) bool { return err != nil || resp.status == 503 || resp.status == 429 }
	policy := retrypolicy.NewBuilder[response]().
		WithMaxRetries(6).
		WithBackoff(300*time.Millisecond, 2*time.Second).
		WithJitterFactor(0.3).
		HandleIf(isTemporary).
		ReturnLastFailure().
		Build()
	resp, err := failsafe.With[response](policy).WithContext(ctx).Get(func() (response, error) {
		address := c.addresses[attempts%len(c.addresses)]
		attempts++
		req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			return response{}, err
		}
		httpResponse, err := c.http.Do(req)
		if err != nil {
			return response{}, err
		}
		defer func() { _ = httpResponse.Body.Close() }() // the body is read already
		content, err := io.ReadAll(io.LimitReader(httpResponse.Body, wire.MaxFrame))
		return response{httpResponse.StatusCode, content}, err
	})
	if err != nil {
		return resp, errors.Wrap(errClient, err.Error())
	}
	return resp, nil
}

// indentJSON returns a JSON document with indentation, and any other text unchanged.
func indentJSON(doc []byte) string {
	var out bytes.Buffer
	if json.Indent(&out, doc, "", "  ") != nil {
		return string(doc)
	}
	return out.String()
}

// printResponse prints a response or an error and returns the exit code for it.
func printResponse(resp response, err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, "otterchute:", err)
		return exitUnreachable
	}
	if resp.status >= 400 {
		fmt.Fprintln(os.Stderr, indentJSON(resp.body))
		if resp.status == 503 || resp.status == 429 {
			return exitUnreachable
		}
		return exitFailure
	}
	fmt.Println(indentJSON(resp.body))
	return exitOK
}

// printUsage prints the correct form of a command to standard error.
func printUsage(commandLine string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "otterchute: usage: otterchute", commandLine)
	return exitUsage
}

// readFileOrStdin reads a file, or standard input for "-".
func readFileOrStdin(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

// actionFunc runs one action of a command, such as "show" of "job show ID", on its operands.
type actionFunc func(context.Context, *client, []string) subcommands.ExitStatus

// actionCommand returns a command whose first operand selects one of the actions; the action
// "" runs when none matches.
func actionCommand(name, argsUsage, synopsis string, actions map[string]actionFunc) *command {
	addressList := new(string)
	return &command{name: name, argsUsage: argsUsage, synopsis: synopsis,
		bindFlags: func(fs *flag.FlagSet) {
			fs.StringVar(
				addressList,
				"at",
				"127.0.0.1:8000",
				"HTTP addresses of daemons, separated by commas; the next one is tried if one does not answer",
			)
		},
		run: func(ctx context.Context, fs *flag.FlagSet) subcommands.ExitStatus {
			operands := fs.Args()
			run, ok := actions[""]
			if len(operands) > 0 && actions[operands[0]] != nil {
				run, ok = actions[operands[0]], true
				operands = operands[1:]
			}
			if !ok {
				return printUsage(name + " " + argsUsage)
			}
			return run(ctx, newClient(*addressList), operands)
		}}
}

// operatorCommands returns the subcommands that operators run against daemons or files.
func operatorCommands() []*command {
	get := func(path string) actionFunc {
		return func(ctx context.Context, c *client, _ []string) subcommands.ExitStatus {
			return printResponse(c.request(ctx, "GET", path, nil))
		}
	}
	withName := func(commandLine, method, path string) actionFunc {
		return func(ctx context.Context, c *client, args []string) subcommands.ExitStatus {
			if len(args) != 1 || !schema.ValidName(args[0]) {
				return printUsage(commandLine)
			}
			return printResponse(c.request(ctx, method, strings.ReplaceAll(path, "ID", args[0]), nil))
		}
	}
	return []*command{
		actionCommand("setup", "[-at LIST] apply FILE [N] | check FILE | show | history",
			"declare the whole setup as its next version, check it offline, or read it",
			map[string]actionFunc{
				"apply":   applyConfig,
				"check":   checkConfigFile,
				"show":    get("/v1/setups/current"),
				"history": printConfigHistory,
			},
		),
		actionCommand("job", "[-at LIST] submit ID FILE | show ID | explain ID | cancel ID",
			"submit a job, show its state, explain where its time went, or cancel it",
			map[string]actionFunc{
				"submit":  submitJob,
				"show":    withName("job show ID", "GET", "/v1/jobs/ID"),
				"explain": withName("job explain ID", "GET", "/v1/jobs/ID/explain"),
				"cancel":  withName("job cancel ID", "POST", "/v1/jobs/ID/cancel"),
			},
		),
		actionCommand("workers", "[-at LIST] [lost NAME]",
			"list the workers, or declare a silent one lost for good",
			map[string]actionFunc{
				"":     get("/v1/workers"),
				"lost": withName("workers lost NAME", "POST", "/v1/workers/ID/lost"),
			},
		),
		actionCommand("members", "[-at LIST]",
			"list daemons, core members and the holder of each duty",
			map[string]actionFunc{"": get("/v1/members")},
		),
		actionCommand("empty", "[-at LIST] SITE | undo SITE",
			"stop giving a site new work, in the next setup version",
			map[string]actionFunc{
				"": func(ctx context.Context, c *client, args []string) subcommands.ExitStatus {
					return emptyZone(ctx, c, args, true)
				},
				"undo": func(ctx context.Context, c *client, args []string) subcommands.ExitStatus {
					return emptyZone(ctx, c, args, false)
				},
			},
		),
		tenantsCommand(get),
		doctorCommand(),
		importCommand(),
	}
}

func submitJob(ctx context.Context, c *client, args []string) subcommands.ExitStatus {
	if len(args) != 2 || !schema.ValidName(args[0]) {
		return printUsage("job submit ID FILE")
	}
	doc, err := readFileOrStdin(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "otterchute:", err)
		return exitUsage
	}
	return printResponse(c.request(ctx, "PUT", "/v1/jobs/"+args[0], doc))
}

// applyConfig declares a configuration under the given version, by default the one after the
// current version.
func applyConfig(ctx context.Context, c *client, args []string) subcommands.ExitStatus {
	if len(args) < 1 || len(args) > 2 {
		return printUsage("setup apply FILE [N]")
	}
	doc, err := readFileOrStdin(args[0])
	if err != nil {
		fmt.Fprintln(os.Stderr, "otterchute:", err)
		return exitUsage
	}
	var version int64
	if len(args) == 2 {
		if version, err = strconv.ParseInt(args[1], 10, 64); err != nil {
			return printUsage("setup apply FILE [N]")
		}
	} else {
		current, err := c.request(ctx, "GET", "/v1/setups/current", nil)
		if err != nil || current.status != 200 {
			return printResponse(current, err)
		}
		version = gjson.GetBytes(current.body, "version").Int() + 1
	}
	return printResponse(c.request(ctx, "PUT", "/v1/setups/"+strconv.FormatInt(version, 10), doc))
}

// checkConfigFile validates a configuration offline and prints each fault, or a summary.
func checkConfigFile(_ context.Context, _ *client, args []string) subcommands.ExitStatus {
	if len(args) != 1 {
		return printUsage("setup check FILE")
	}
	doc, err := readFileOrStdin(args[0])
	if err != nil {
		fmt.Fprintln(os.Stderr, "otterchute:", err)
		return exitUsage
	}
	config, faults := configuration.Compile(1, doc)
	for _, fault := range faults {
		fmt.Fprintf(os.Stderr, "%s: %s %s\n", args[0], firstNonEmpty(fault.Path, "the document"), fault.Reason)
	}
	if len(faults) > 0 {
		return exitFailure
	}
	fmt.Printf("sound: %d queues, %d sites to empty", len(config.Queues), len(config.EmptyZones))
	if config.RequiresKey() {
		fmt.Printf(", %d tenants", len(config.Tenants))
	}
	fmt.Println()
	for _, line := range config.ExplainContracts() {
		fmt.Println(line)
	}
	return exitOK
}

// printConfigHistory prints the versions of the configuration that daemons still list.
func printConfigHistory(ctx context.Context, c *client, _ []string) subcommands.ExitStatus {
	resp, err := c.request(ctx, "GET", "/v1/setups/current", nil)
	if err != nil || resp.status != 200 {
		return printResponse(resp, err)
	}
	for _, entry := range gjson.GetBytes(resp.body, "history").Array() {
		fmt.Printf(
			"version=%d at=%s queues=%d bytes=%d digest=%016x\n",
			entry.Get("version").Int(),
			time.UnixMilli(entry.Get("at_ms").Int()).UTC().Format(time.RFC3339),
			entry.Get("queues").Int(),
			entry.Get("bytes").Int(),
			entry.Get("digest").Uint(),
		)
	}
	return exitOK
}

// emptyZone adds a zone to the configuration's list of zones to empty, or removes it, and
// declares the result as the next version. If another operator declared that version first,
// it starts again.
func emptyZone(ctx context.Context, c *client, args []string, empty bool) subcommands.ExitStatus {
	if len(args) != 1 || !schema.ValidName(args[0]) {
		return printUsage("empty SITE | empty undo SITE")
	}
	for range 5 {
		resp, err := c.request(ctx, "GET", "/v1/setups/current", nil)
		if err != nil || resp.status != 200 {
			return printResponse(resp, err)
		}
		var doc map[string]json.RawMessage
		if json.Unmarshal([]byte(gjson.GetBytes(resp.body, "setup").Raw), &doc) != nil || doc == nil {
			fmt.Fprintln(os.Stderr, "otterchute: there is no setup yet")
			return exitFailure
		}
		zones := []string{}
		for _, zone := range gjson.GetBytes(resp.body, "setup.empty_sites").Array() {
			if zone.Str != args[0] {
				zones = append(zones, zone.Str)
			}
		}
		if empty {
			zones = append(zones, args[0])
		}
		doc["empty_sites"] = mustJSON(zones)
		resp, err = c.request(
			ctx,
			"PUT",
			"/v1/setups/"+strconv.FormatInt(gjson.GetBytes(resp.body, "version").Int()+1, 10),
			mustJSON(doc),
		)
		if err != nil || resp.status != 409 {
			return printResponse(resp, err)
		}
	}
	fmt.Fprintln(os.Stderr, "otterchute: other operators changed the setup at the same time; try again")
	return exitFailure
}
