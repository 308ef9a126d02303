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
	recheckDelayMs   = 2000 // delay before the second check; temporary states are shorter than this
	maxClockOffsetMs = 1000 // no network delay explains an offset beyond this
	maxSyncMs        = 200  // a slower disk sync slows every change
)

// finding is a fault that doctor found at a daemon, with its remedy.
type finding struct {
	Check   string `json:"check"`
	Daemon  string `json:"where"`
	Problem string `json:"what"`
	Remedy  string `json:"do"`
}

// healthCheck is a check for one fault in a daemon's health report; detect returns a description
// of each occurrence.
type healthCheck struct {
	name, remedy string
	detect       func(gjson.Result) []string
}

var healthChecks = []healthCheck{
	{
		"core below majority",
		"restart core machines: without a majority no job is accepted and no duty moves",
		func(report gjson.Result) []string {
			size, live := report.Get("core_size").Int(), report.Get("core_live").Int()
			if size == 0 {
				return []string{"no core set is known: the cluster has not formed"}
			}
			if live <= size/2 {
				return []string{fmt.Sprintf("%d of %d core members are reachable", live, size)}
			}
			return nil
		},
	},
	{
		"core member missing",
		"restart it, or start another daemon with an empty data folder: it joins the core by itself",
		func(report gjson.Result) []string {
			size, live := report.Get("core_size").Int(), report.Get("core_live").Int()
			if size > 0 && (live < size || size < membership.DefaultSize) && live > size/2 {
				return []string{fmt.Sprintf("%d of %d core members are reachable", live, membership.DefaultSize)}
			}
			return nil
		},
	},
	{
		"core out of reach",
		"check the network between this daemon and the core members",
		func(report gjson.Result) []string {
			if ms := report.Get("core_contact_ms").Int(); report.Get("core_size").Int() > 0 && ms > ownerContactMs {
				return []string{fmt.Sprintf("no majority answered for %d ms", ms)}
			}
			return nil
		},
	},
	{
		"siblings unreachable",
		"check whether their machines run and whether their site is cut off",
		func(report gjson.Result) []string {
			if lost := report.Get("siblings_lost").Array(); len(lost) > 0 {
				return []string{report.Get("siblings_lost").Raw}
			}
			return nil
		},
	},
	{
		"clock spread",
		"correct the clock of the named machine; due times follow the median, so a minority of wrong clocks does no harm",
		func(report gjson.Result) (out []string) {
			report.Get("clock_spread_ms").ForEach(func(k, v gjson.Result) bool {
				if v.Int() > maxClockOffsetMs || v.Int() < -maxClockOffsetMs {
					out = append(out, fmt.Sprintf("%s is %d ms off the median", k.Str, v.Int()))
				}
				return true
			})
			return out
		},
	},
	{
		"slow sync",
		"check the disk of the named core machine",
		func(report gjson.Result) (out []string) {
			report.Get("sync_ms").ForEach(func(k, v gjson.Result) bool {
				if v.Int() > maxSyncMs {
					out = append(out, fmt.Sprintf("%s took %d ms for its last sync", k.Str, v.Int()))
				}
				return true
			})
			return out
		},
	},
	{
		"disk failed",
		"replace the disk and restart the daemon with an empty data folder",
		func(report gjson.Result) []string {
			if f := report.Get("disk_failed").Str; f != "" {
				return []string{f}
			}
			return nil
		},
	},
	{
		"setup not confirmed",
		"this daemon starts no work until the core confirms the setup",
		func(report gjson.Result) []string {
			if report.Get("core_size").Int() > 0 && !report.Get("setup_confirmed").Bool() {
				return []string{fmt.Sprintf("version %d is not confirmed", report.Get("setup_version").Int())}
			}
			return nil
		},
	},
	{
		"no setup",
		"declare one with `otterchute setup apply`",
		func(report gjson.Result) []string {
			if report.Get("setup_confirmed").Bool() && report.Get("setup_version").Int() == 0 {
				return []string{"no setup has been declared"}
			}
			return nil
		},
	},
	{
		"unmatched queues",
		"no worker's labels match: correct the selector, or start such workers",
		func(report gjson.Result) []string {
			if q := report.Get("unmatched_queues").Array(); len(q) > 0 {
				return []string{fmt.Sprintf("%d: %.200s", len(q), report.Get("unmatched_queues").Raw)}
			}
			return nil
		},
	},
	{
		"unsettled tasks",
		"if the worker is lost for good, declare it with `otterchute workers lost NAME`; " +
			"if its runs always end at their limit, `trust_run_limit` in the queue settles them",
		func(report gjson.Result) (out []string) {
			report.Get("slices").ForEach(func(slice, v gjson.Result) bool {
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
		"check the machine: its tasks fail or lag far more than others'; it gets work only if no other worker can take it",
		func(report gjson.Result) []string {
			if w := report.Get("unsound_workers").Array(); len(w) > 0 {
				return []string{report.Get("unsound_workers").Raw}
			}
			return nil
		},
	},
	{
		"sites empty",
		"nothing, if this is intended; otherwise `otterchute empty undo SITE`",
		func(report gjson.Result) []string {
			if e := report.Get("empty_sites").Array(); len(e) > 0 && report.Get("slices.@keys.0").Exists() {
				return []string{report.Get("empty_sites").Raw}
			}
			return nil
		},
	},
	{
		"tenant not counted",
		"check that the named slices are owned and their owners reach this daemon; until they report, tenants counted " +
			"here get nothing beyond what is lent already",
		func(report gjson.Result) (out []string) {
			report.Get("counters").ForEach(func(slice, v gjson.Result) bool {
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
		"nothing, if the limit is intended; otherwise raise it in the next version of the setup: " +
			"`otterchute tenants` shows limits and use",
		func(report gjson.Result) (out []string) {
			report.Get("counters").ForEach(func(_, v gjson.Result) bool {
				v.Get("waiting").ForEach(func(tenant, units gjson.Result) bool {
					out = append(out, fmt.Sprintf("%d tasks or gangs of %s wait for its limit", units.Int(), tenant.Str))
					return true
				})
				return true
			})
			return out
		},
	},
	{
		"duties without holder",
		"wait some seconds; if it persists, check the core",
		func(report gjson.Result) []string {
			if d := report.Get("without_holder").Array(); len(d) > 0 {
				return []string{report.Get("without_holder").Raw}
			}
			return nil
		},
	},
}

// runHealthChecks runs all checks on the health reports of daemons, by the daemon's name.
func runHealthChecks(reports map[string][]byte) []finding {
	findings := []finding{}
	for _, name := range sortedKeys(reports) {
		report := gjson.ParseBytes(reports[name])
		for _, check := range healthChecks {
			for _, problem := range check.detect(report) {
				findings = append(findings, finding{check.name, name, problem, check.remedy})
			}
		}
	}
	return findings
}

// checkAllDaemons fetches the health report of every live daemon once and checks it. It also
// returns how many daemons answered, and the response to the request for their list.
func checkAllDaemons(
	ctx context.Context, addresses string,
) (findings []finding, answered int, resp response, err error) {
	resp, err = newClient(addresses).request(ctx, "GET", "/v1/members", nil)
	if err != nil || resp.status != 200 {
		return nil, 0, resp, err
	}
	reports, findings := map[string][]byte{}, []finding{}
	for _, member := range gjson.GetBytes(resp.body, "members").Array() {
		name := member.Get("name").Str
		if !member.Get("live").Bool() {
			continue // its peers report it as unreachable
		}
		c := newClient(member.Get("http").Str)
		if health, err := c.request(ctx, "GET", "/v1/soundness", nil); err == nil && health.status == 200 {
			reports[name] = health.body
		} else {
			findings = append(findings, finding{
				"daemon silent",
				name,
				"its HTTP address " + c.addresses[0] + " does not answer",
				"check its log and its machine",
			})
		}
	}
	return append(findings, runHealthChecks(reports)...), len(reports), resp, nil
}

// doctorCommand returns the command that checks all daemons for common faults.
func doctorCommand() *command {
	addressList, asJSON := new(string), new(bool)
	return &command{
		name:      "doctor",
		argsUsage: "[-at LIST] [-json]",
		synopsis:  "look for common faults; exit 1 if any is found",
		bindFlags: func(fs *flag.FlagSet) {
			fs.StringVar(addressList, "at", "127.0.0.1:8000", "HTTP addresses of daemons, separated by commas")
			fs.BoolVar(asJSON, "json", false, "print findings as JSON")
		},
		run: func(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
			findings, answered, resp, err := checkAllDaemons(ctx, *addressList)
			if err == nil && resp.status == 200 && len(findings) > 0 {
				// A temporary state, such as a configuration that was declared just now, is
				// not a fault, so only findings of both checks are reported.
				time.Sleep(recheckDelayMs * time.Millisecond)
				var second []finding
				if second, answered, resp, err = checkAllDaemons(ctx, *addressList); err == nil && resp.status == 200 {
					findings = slices.DeleteFunc(second, func(f finding) bool {
						return !slices.ContainsFunc(findings, func(first finding) bool {
							return first.Check == f.Check && first.Daemon == f.Daemon
						})
					})
				}
			}
			if err != nil || resp.status != 200 {
				return printResponse(resp, err)
			}
			if *asJSON {
				fmt.Println(indentJSON(mustJSON(findings)))
			} else {
				for _, f := range findings {
					fmt.Printf("%s at %s: %s\n  do: %s\n", f.Check, f.Daemon, f.Problem, f.Remedy)
				}
				fmt.Fprintf(os.Stderr, "%d daemons checked, %d findings\n", answered, len(findings))
			}
			if len(findings) > 0 {
				return exitFailure
			}
			return exitOK
		},
	}
}
