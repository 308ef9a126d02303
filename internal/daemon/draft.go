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

// draft is a first configuration converted from an nginx configuration: each upstream becomes a
// queue for the workers that are labelled with its name. Directives without an equivalent are
// listed as skipped, never guessed.
type draft struct {
	queues  []*draftQueue
	skipped []string // "line N: directive: reason"
}

// draftQueue is a queue in the JSON form of a configuration.
type draftQueue struct {
	Name     string              `json:"name"`
	Selector map[string][]string `json:"selector"`
	Urgency  int64               `json:"urgency"`
	LiveJobs int64               `json:"max_live_jobs,omitempty"`
	LimitMs  int64               `json:"default_limit_ms,omitempty"`
	Failures int64               `json:"default_failures,omitempty"`
}

// directiveConverters holds, by directive, how it is converted into a setting of the queue. They
// apply within an upstream and within a location that passes to one.
var directiveConverters = map[string]func(q *draftQueue, d config.IDirective) error{
	"proxy_read_timeout": func(q *draftQueue, d config.IDirective) (err error) {
		q.LimitMs, err = parseNginxDuration(firstParameter(d))
		return err
	},
	"proxy_next_upstream_tries": func(q *draftQueue, d config.IDirective) (err error) {
		q.Failures, err = strconv.ParseInt(firstParameter(d), 10, 32)
		return err
	},
	"queue": func(q *draftQueue, d config.IDirective) (err error) {
		q.LiveJobs, err = strconv.ParseInt(firstParameter(d), 10, 32)
		q.LiveJobs = min(q.LiveJobs, configuration.MaxQueueJobs)
		return err
	},
}

// containerBlocks are the blocks whose directives are converted.
var containerBlocks = map[string]bool{"http": true, "server": true, "location": true}

// firstParameter returns the first parameter of a directive, or "".
func firstParameter(d config.IDirective) string {
	if p := d.GetParameters(); len(p) > 0 {
		return p[0].GetValue()
	}
	return ""
}

// parseNginxDuration returns the milliseconds of an nginx duration: "30", "30s", "500ms", "2m".
func parseNginxDuration(text string) (int64, error) {
	unitMs := int64(1000)
	for _, suffix := range []struct {
		name string
		ms   int64
	}{{"ms", 1}, {"s", 1000}, {"m", 60_000}, {"h", msPerHour}} {
		if rest, ok := strings.CutSuffix(text, suffix.name); ok {
			text, unitMs = rest, suffix.ms
			break
		}
	}
	value, err := strconv.ParseInt(text, 10, 32)
	return value * unitMs, err
}

// skip lists a directive as left out.
func (d *draft) skip(directive config.IDirective, reason string) {
	d.skipped = append(d.skipped, fmt.Sprintf("line %d: %s: %s", directive.GetLine(), directive.GetName(), reason))
}

// draftFromNginx converts an nginx configuration. An error names the line.
//
// Example: d, err := draftFromNginx("upstream render { server 10.0.0.1; }")
func draftFromNginx(text string) (out *draft, err error) {
	defer func() { // the library panics on some broken files
		if r := recover(); r != nil {
			out, err = nil, errors.Wrapf(errDraft, "line %d: %v", strings.Count(text, "\n")+1, r)
		}
	}()
	conf, err := parser.NewStringParser(text, parser.WithSkipValidDirectivesErr()).Parse()
	if err != nil {
		line := "1"
		if match := regexp.MustCompile(`line:?\s*(\d+)`).FindStringSubmatch(err.Error()); match != nil {
			line = match[1]
		}
		return nil, errors.Wrapf(errDraft, "line %s: %s", line, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	d := &draft{}
	for _, upstream := range findDirectives(conf.Block, "upstream") {
		name := firstParameter(upstream)
		if !schema.ValidName(name) || d.queue(name) != nil {
			return nil, errors.Wrapf(errDraft, "line %d: upstream %q: name is invalid or used twice", upstream.GetLine(), name)
		}
		d.queues = append(d.queues, &draftQueue{Name: name, Selector: map[string][]string{"upstream": {name}}, Urgency: 1})
	}
	if len(d.queues) == 0 {
		return nil, errors.Wrap(errDraft, "line 1: no upstream found")
	}
	return d, d.convertBlock(conf.Block, nil)
}

// queue returns the queue of that name, or nil.
func (d *draft) queue(name string) *draftQueue {
	i := slices.IndexFunc(d.queues, func(q *draftQueue) bool { return q.Name == name })
	if i < 0 {
		return nil
	}
	return d.queues[i]
}

// findDirectives returns the directives of that name at any depth of a block.
func findDirectives(block config.IBlock, name string) (out []config.IDirective) {
	for _, directive := range block.GetDirectives() {
		if directive.GetName() == name {
			out = append(out, directive)
		} else if directive.GetBlock() != nil {
			out = append(out, findDirectives(directive.GetBlock(), name)...)
		}
	}
	return out
}

// convertBlock converts the directives of a block into settings of q, the queue that the block
// passes to; q is nil if there is none.
func (d *draft) convertBlock(block config.IBlock, q *draftQueue) error {
	for _, directive := range block.GetDirectives() {
		if directive.GetName() != "proxy_pass" {
			continue
		}
		_, host, _ := strings.Cut(firstParameter(directive), "://")
		if host, _, _ = strings.Cut(host, "/"); d.queue(host) != nil {
			q = d.queue(host)
		}
	}
	for _, directive := range block.GetDirectives() {
		switch convert, ok := directiveConverters[directive.GetName()]; {
		case directive.GetName() == "upstream":
			if err := d.convertBlock(directive.GetBlock(), d.queue(firstParameter(directive))); err != nil {
				return err
			}
		case containerBlocks[directive.GetName()] && directive.GetBlock() != nil:
			if err := d.convertBlock(directive.GetBlock(), q); err != nil {
				return err
			}
		case ok && q != nil:
			if err := convert(q, directive); err != nil {
				return errors.Wrapf(errDraft, "line %d: %s: %v", directive.GetLine(), directive.GetName(), err)
			}
		case directive.GetName() == "server":
			d.skip(directive, "machines are not listed in a setup; give the worker there the label upstream")
		case directive.GetName() == "proxy_pass" && q != nil: // names the queue, evaluated above
		default:
			d.skip(directive, "has no meaning for jobs")
		}
	}
	return nil
}

// importCommand returns the command that prints a draft configuration.
func importCommand() *command {
	return &command{
		name:      "import",
		argsUsage: "FILE",
		synopsis:  "convert an nginx configuration to a draft setup; skipped directives go to standard error",
		run: func(_ context.Context, fs *flag.FlagSet) subcommands.ExitStatus {
			if fs.NArg() != 1 {
				return printUsage("import FILE")
			}
			text, err := readFileOrStdin(fs.Arg(0))
			if err != nil {
				fmt.Fprintln(os.Stderr, "otterchute:", err)
				return exitUsage
			}
			d, err := draftFromNginx(string(text))
			if err != nil {
				fmt.Fprintf(os.Stderr, "otterchute: %s: %v\n", fs.Arg(0), err)
				return exitFailure
			}
			doc := mustJSON(map[string]any{"note": "draft made of " + fs.Arg(0), "queues": d.queues})
			if _, faults := configuration.Compile(1, doc); len(faults) > 0 {
				fmt.Fprintf(os.Stderr, "otterchute: %s: line 1: %s %s\n", fs.Arg(0), faults[0].Path, faults[0].Reason)
				return exitFailure
			}
			for _, s := range d.skipped {
				fmt.Fprintf(os.Stderr, "%s: %s\n", fs.Arg(0), s)
			}
			fmt.Println(indentJSON(doc))
			return exitOK
		},
	}
}
