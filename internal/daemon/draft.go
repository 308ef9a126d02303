package daemon

import (
	"context"
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"otterchute/internal/configuration"
	"otterchute/internal/schema"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/tufanbarisyildirim/gonginx/config"
	"github.com/tufanbarisyildirim/gonginx/parser"
)

// draft turns a proxy's configuration (nginx's) into a first configuration: an upstream
// becomes a queue for the workers labelled with its name. What has no meaning
// here is listed, never guessed.
type draft struct {
	queues  []*draftQueue
	dropped []string // "line N: directive: reason"
}

type draftQueue struct {
	Name     string              `json:"name"`
	Selector map[string][]string `json:"selector"`
	Urgency  int64               `json:"urgency"`
	LiveJobs int64               `json:"max_live_jobs,omitempty"`
	LimitMs  int64               `json:"default_limit_ms,omitempty"`
	Failures int64               `json:"default_failures,omitempty"`
}

// carried tells how a directive below an upstream or a location that hands over
// to one is taken into its queue.
var carried = map[string]func(q *draftQueue, d config.IDirective) error{
	"proxy_read_timeout": func(q *draftQueue, d config.IDirective) (err error) {
		q.LimitMs, err = proxyMs(firstOf(d))
		return err
	},
	"proxy_next_upstream_tries": func(q *draftQueue, d config.IDirective) (err error) {
		q.Failures, err = strconv.ParseInt(firstOf(d), 10, 32)
		return err
	},
	"queue": func(q *draftQueue, d config.IDirective) (err error) {
		q.LiveJobs, err = strconv.ParseInt(firstOf(d), 10, 32)
		q.LiveJobs = min(q.LiveJobs, configuration.MaxQueueJobs)
		return err
	},
}

// walked are blocks whose inside is looked at.
var walked = map[string]bool{"http": true, "server": true, "location": true}

func firstOf(d config.IDirective) string {
	if p := d.GetParameters(); len(p) > 0 {
		return p[0].GetValue()
	}
	return ""
}

// proxyMs reads a time as the proxy writes it: "30", "30s", "500ms", "2m".
func proxyMs(s string) (int64, error) {
	unit := int64(1000)
	for _, u := range []struct {
		name string
		ms   int64
	}{{"ms", 1}, {"s", 1000}, {"m", 60_000}, {"h", msPerHour}} {
		if rest, ok := strings.CutSuffix(s, u.name); ok {
			s, unit = rest, u.ms
			break
		}
	}
	v, err := strconv.ParseInt(s, 10, 32)
	return v * unit, err
}

func (d *draft) drop(x config.IDirective, reason string) {
	d.dropped = append(d.dropped, fmt.Sprintf("line %d: %s: %s", x.GetLine(), x.GetName(), reason))
}

// draftOf reads a proxy's configuration. An error names the line.
//
// Example: d, err := draftOf("upstream seats { server 10.0.0.1; }")
func draftOf(text string) (out *draft, err error) {
	defer func() { // the library panics on some broken files
		if r := recover(); r != nil {
			out, err = nil, errors.Wrapf(errDraft, "line %d: %v", strings.Count(text, "\n")+1, r)
		}
	}()
	conf, err := parser.NewStringParser(text, parser.WithSkipValidDirectivesErr()).Parse()
	if err != nil {
		line := "1"
		if m := regexp.MustCompile(`line:?\s*(\d+)`).FindStringSubmatch(err.Error()); m != nil {
			line = m[1]
		}
		return nil, errors.Wrapf(errDraft, "line %s: %s", line, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	d := &draft{}
	for _, u := range allNamed(conf.Block, "upstream") {
		name := firstOf(u)
		if !schema.ValidName(name) || d.queue(name) != nil {
			return nil, errors.Wrapf(errDraft, "line %d: upstream %q: is no name, or stands twice", u.GetLine(), name)
		}
		d.queues = append(d.queues, &draftQueue{Name: name, Selector: map[string][]string{"upstream": {name}}, Urgency: 1})
	}
	if len(d.queues) == 0 {
		return nil, errors.Wrap(errDraft, "line 1: no upstream stands in it")
	}
	return d, d.walk(conf.Block, nil)
}

func (d *draft) queue(name string) *draftQueue {
	i := slices.IndexFunc(d.queues, func(q *draftQueue) bool { return q.Name == name })
	if i < 0 {
		return nil
	}
	return d.queues[i]
}

func allNamed(b config.IBlock, name string) (out []config.IDirective) {
	for _, x := range b.GetDirectives() {
		if x.GetName() == name {
			out = append(out, x)
		} else if x.GetBlock() != nil {
			out = append(out, allNamed(x.GetBlock(), name)...)
		}
	}
	return out
}

// walk carries over what it can of a block; q is the queue that the block hands over to.
func (d *draft) walk(b config.IBlock, q *draftQueue) error {
	for _, x := range b.GetDirectives() {
		if x.GetName() != "proxy_pass" {
			continue
		}
		_, host, _ := strings.Cut(firstOf(x), "://")
		if host, _, _ = strings.Cut(host, "/"); d.queue(host) != nil {
			q = d.queue(host)
		}
	}
	for _, x := range b.GetDirectives() {
		switch take, ok := carried[x.GetName()]; {
		case x.GetName() == "upstream":
			if err := d.walk(x.GetBlock(), d.queue(firstOf(x))); err != nil {
				return err
			}
		case walked[x.GetName()] && x.GetBlock() != nil:
			if err := d.walk(x.GetBlock(), q); err != nil {
				return err
			}
		case ok && q != nil:
			if err := take(q, x); err != nil {
				return errors.Wrapf(errDraft, "line %d: %s: %v", x.GetLine(), x.GetName(), err)
			}
		case x.GetName() == "server":
			d.drop(x, "machines are never named; give the worker there the label upstream")
		case x.GetName() == "proxy_pass" && q != nil: // it has said its queue
		default:
			d.drop(x, "has no meaning for jobs")
		}
	}
	return nil
}

func importCommand() *command {
	return &command{
		name:  "import",
		args:  "FILE",
		about: "print a draft setup made of an nginx configuration; what it leaves out goes to standard error",
		do: func(_ context.Context, fs *flag.FlagSet) subcommands.ExitStatus {
			if fs.NArg() != 1 {
				return usage("import FILE")
			}
			text, err := readDoc(fs.Arg(0))
			if err != nil {
				fmt.Fprintln(os.Stderr, "otterchute:", err)
				return exitUsage
			}
			d, err := draftOf(string(text))
			if err != nil {
				fmt.Fprintf(os.Stderr, "otterchute: %s: %v\n", fs.Arg(0), err)
				return exitFound
			}
			doc := mustJSON(map[string]any{"note": "draft made of " + fs.Arg(0), "queues": d.queues})
			if _, faults := configuration.Compile(1, doc); len(faults) > 0 {
				fmt.Fprintf(os.Stderr, "otterchute: %s: line 1: %s %s\n", fs.Arg(0), faults[0].Path, faults[0].Reason)
				return exitFound
			}
			for _, s := range d.dropped {
				fmt.Fprintf(os.Stderr, "%s: %s\n", fs.Arg(0), s)
			}
			fmt.Println(pretty(doc))
			return exitOK
		},
	}
}
