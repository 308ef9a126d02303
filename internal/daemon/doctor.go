package daemon

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"otterchute/internal/membership"

	"github.com/google/subcommands"
	"github.com/tidwall/gjson"
)

const (
	visitAgainMs = 2000 // doctor's second look; every bound on a passing state is shorter
	spreadMs     = 1000 // a clock this far off is wrong, whatever the network
	slowSyncMs   = 200  // a sync this slow sets the pace of every change
)

// finding is one fault that doctor sees, with what to do about it.
type finding struct {
	Check string `json:"check"`
	Where string `json:"where"`
	What  string `json:"what"`
	Do    string `json:"do"`
}

// check looks at one daemon's health and tells what is wrong.
type check struct {
	name, do string
	look     func(gjson.Result) []string
}

var checks = []check{
	{
		"core below majority",
		"bring back core machines; with fewer than a majority nothing is accepted or moved",
		func(s gjson.Result) []string {
			size, live := s.Get("core_size").Int(), s.Get("core_live").Int()
			if size == 0 {
				return []string{"no core set is known: the fleet has not formed"}
			}
			if live <= size/2 {
				return []string{fmt.Sprintf("%d of %d core members are heard", live, size)}
			}
			return nil
		},
	},
	{
		"core member missing",
		"restart it, or start an empty daemon with a data folder: it takes the place by itself",
		func(s gjson.Result) []string {
			size, live := s.Get("core_size").Int(), s.Get("core_live").Int()
			if size > 0 && (live < size || size < membership.DefaultSize) && live > size/2 {
				return []string{fmt.Sprintf("%d of %d core members are heard", live, membership.DefaultSize)}
			}
			return nil
		},
	},
	{"core out of reach", "look at the network between this daemon and the core members", func(s gjson.Result) []string {
		if ms := s.Get("core_contact_ms").Int(); s.Get("core_size").Int() > 0 && ms > ownerContactMs {
			return []string{fmt.Sprintf("no majority answered for %d ms", ms)}
		}
		return nil
	}},
	{"siblings unreachable", "see whether their machines run and their site is cut off", func(s gjson.Result) []string {
		if lost := s.Get("siblings_lost").Array(); len(lost) > 0 {
			return []string{s.Get("siblings_lost").Raw}
		}
		return nil
	}},
	{
		"clock spread",
		"set the clock of the named machine; due times follow the median of all, so a minority of wrong ones does no harm",
		func(s gjson.Result) (out []string) {
			s.Get("clock_spread_ms").ForEach(func(k, v gjson.Result) bool {
				if v.Int() > spreadMs || v.Int() < -spreadMs {
					out = append(out, fmt.Sprintf("%s is %d ms off the median", k.Str, v.Int()))
				}
				return true
			})
			return out
		},
	},
	{"slow sync", "look at the disk of the named core machine", func(s gjson.Result) (out []string) {
		s.Get("sync_ms").ForEach(func(k, v gjson.Result) bool {
			if v.Int() > slowSyncMs {
				out = append(out, fmt.Sprintf("%s took %d ms for its last sync", k.Str, v.Int()))
			}
			return true
		})
		return out
	}},
	{"disk failed", "replace the disk and restart the daemon with an empty data folder", func(s gjson.Result) []string {
		if f := s.Get("disk_failed").Str; f != "" {
			return []string{f}
		}
		return nil
	}},
	{
		"setup not confirmed",
		"until the core confirms the setup here this daemon starts no work",
		func(s gjson.Result) []string {
			if s.Get("core_size").Int() > 0 && !s.Get("setup_confirmed").Bool() {
				return []string{fmt.Sprintf("version %d is not confirmed", s.Get("setup_version").Int())}
			}
			return nil
		},
	},
	{"no setup", "declare one with `otterchute setup apply`", func(s gjson.Result) []string {
		if s.Get("setup_confirmed").Bool() && s.Get("setup_version").Int() == 0 {
			return []string{"no setup has been declared"}
		}
		return nil
	}},
	{
		"unmatched queues",
		"no worker's labels match: correct the selector, or start such workers",
		func(s gjson.Result) []string {
			if q := s.Get("unmatched_queues").Array(); len(q) > 0 {
				return []string{fmt.Sprintf("%d: %.200s", len(q), s.Get("unmatched_queues").Raw)}
			}
			return nil
		},
	},
	{
		"unsettled tasks",
		"if the worker is gone for good say so with `otterchute workers lost NAME`; " +
			"if its runs surely end at their limit, `trust_run_limit` in the queue settles them",
		func(s gjson.Result) (out []string) {
			s.Get("slices").ForEach(func(slice, v gjson.Result) bool {
				v.Get("unsettled").ForEach(func(worker, u gjson.Result) bool {
					out = append(
						out,
						fmt.Sprintf("%d placed tasks of slice %s at the silent worker %s", u.Int(), slice.Str, worker.Str),
					)
					return true
				})
				return true
			})
			return out
		},
	},
	{
		"unsound workers",
		"look at the machine: its tasks fail or lag far more than others'; it gets work only where nothing else will do",
		func(s gjson.Result) []string {
			if w := s.Get("unsound_workers").Array(); len(w) > 0 {
				return []string{s.Get("unsound_workers").Raw}
			}
			return nil
		},
	},
	{"sites empty", "nothing, if they are meant to be; else `otterchute empty undo SITE`", func(s gjson.Result) []string {
		if e := s.Get("empty_sites").Array(); len(e) > 0 && s.Get("slices.@keys.0").Exists() {
			return []string{s.Get("empty_sites").Raw}
		}
		return nil
	}},
	{
		"tenant not counted",
		"see whether the named slices are owned and their owners reach this one; until they report, tenants counted here " +
			"get nothing beyond what is lent already",
		func(s gjson.Result) (out []string) {
			s.Get("counters").ForEach(func(slice, v gjson.Result) bool {
				if silent := v.Get("silent"); len(silent.Array()) > 0 {
					out = append(out, fmt.Sprintf("no report of %s to the counter of slice %s", silent.Raw, slice.Str))
				}
				return true
			})
			return out
		},
	},
	{
		"tenant at its limit",
		"nothing, if the limit is meant so; else raise it by the next version of the setup: " +
			"`otterchute tenants` shows limits and use",
		func(s gjson.Result) (out []string) {
			s.Get("counters").ForEach(func(_, v gjson.Result) bool {
				v.Get("waiting").ForEach(func(tenant, units gjson.Result) bool {
					out = append(out, fmt.Sprintf("%d tasks or gangs of %s wait for its limit", units.Int(), tenant.Str))
					return true
				})
				return true
			})
			return out
		},
	},
	{"duties without holder", "wait some seconds; if it stays, see the core", func(s gjson.Result) []string {
		if d := s.Get("without_holder").Array(); len(d) > 0 {
			return []string{s.Get("without_holder").Raw}
		}
		return nil
	}},
}

// examine runs all checks over daemons' words.
func examine(words map[string][]byte) []finding {
	out := []finding{}
	for _, name := range sortedKeys(words) {
		s := gjson.ParseBytes(words[name])
		for _, c := range checks {
			for _, what := range c.look(s) {
				out = append(out, finding{c.name, name, what, c.do})
			}
		}
	}
	return out
}

// visitAll asks every live daemon once.
func visitAll(ctx context.Context, at string) (out []finding, asked int, t response, err error) {
	t, err = newClient(at).request(ctx, "GET", "/v1/members", nil)
	if err != nil || t.status != 200 {
		return nil, 0, t, err
	}
	words, out := map[string][]byte{}, []finding{}
	for _, m := range gjson.GetBytes(t.body, "members").Array() {
		name := m.Get("name").Str
		if !m.Get("live").Bool() {
			continue // its peers say so
		}
		c := newClient(m.Get("http").Str)
		if a, err := c.request(ctx, "GET", "/v1/soundness", nil); err == nil && a.status == 200 {
			words[name] = a.body
		} else {
			out = append(
				out,
				finding{"daemon silent", name, "its HTTP address " + c.at[0] + " does not answer", "see its log and its machine"},
			)
		}
	}
	return append(out, examine(words)...), len(words), t, nil
}

func doctorCommand() *command {
	at, asJSON := new(string), new(bool)
	return &command{name: "doctor", args: "[-at LIST] [-json]", about: "look for common faults; exit 1 if any is found",
		bind: func(fs *flag.FlagSet) {
			fs.StringVar(at, "at", "127.0.0.1:8000", "HTTP addresses of daemons, parted by commas")
			fs.BoolVar(asJSON, "json", false, "print findings as JSON")
		},
		do: func(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
			out, asked, t, err := visitAll(ctx, *at)
			if err == nil && t.status == 200 && len(out) > 0 {
				// What passes by itself, such as a configuration declared just now,
				// is no fault: only what a second look finds too.
				time.Sleep(visitAgainMs * time.Millisecond)
				var again []finding
				if again, asked, t, err = visitAll(ctx, *at); err == nil && t.status == 200 {
					out = slices.DeleteFunc(again, func(f finding) bool {
						return !slices.ContainsFunc(out, func(o finding) bool { return o.Check == f.Check && o.Where == f.Where })
					})
				}
			}
			if err != nil || t.status != 200 {
				return show(t, err)
			}
			if *asJSON {
				fmt.Println(pretty(mustJSON(out)))
			} else {
				for _, f := range out {
					fmt.Printf("%s at %s: %s\n  do: %s\n", f.Check, f.Where, f.What, f.Do)
				}
				fmt.Fprintf(os.Stderr, "%d daemons asked, %d findings\n", asked, len(out))
			}
			if len(out) > 0 {
				return exitFound
			}
			return exitOK
		}}
}
