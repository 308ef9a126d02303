package daemon

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"otterchute/internal/historycheck"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

var (
	seedsFlag = flag.Int("seeds", 0, "how many seeds of the campaign to run; 0 for CI's fixed set")
	fromFlag  = flag.Uint64("from", 1, "first seed")
	dumpFlag  = flag.String("dump", "", "on failure, print the logs and this job's history")
	onlyFlag  = flag.String("faults", "", "only these faults, separated by commas")
)

const ciSeeds = 16

// restoreSetup sends the usual configuration until it is accepted.
func (w *world) restoreSetup() {
	w.putSetup(w.setupVersion()+1, w.deployment.InitialConfiguration(), func(status int) {
		if status == 409 {
			w.after(400_000, w.restoreSetup)
		}
	})
}

// varyJob gives some jobs a delay, a due time or a label requirement.
func varyJob(w *world, j historycheck.Job) historycheck.Job {
	switch w.rng.IntN(12) {
	case 0:
		j.DelayMs = 500 + w.rng.Int64N(4000)
	case 1:
		j.DueMs = wallStart + w.nowMs() + w.rng.Int64N(4000)
	case 2:
		j.Steps[0].Tasks[0].Labels = map[string]string{"disk": "ssd"}
	}
	return j
}

// variedTraffic submits the usual mix of jobs until trafficEnded is set.
func (w *world) variedTraffic() {
	var next func()
	next = func() {
		if !w.trafficEnded {
			w.submit(varyJob(w, w.deployment.RandomJob(w.rng)))
			w.after(int64(w.rng.ExpFloat64()*1e6/w.deployment.JobsPerSec), next)
		}
	}
	next()
}

// pollConfigVersion reads the current configuration version once a second, as an operator.
func (w *world) pollConfigVersion() {
	requestedMs := w.nowMs()
	w.request("operator", w.randomNode(), "setup.get", "", nil, 2000, func(status int, _ int64, b []byte) {
		if status == 200 {
			w.record(historycheck.Event{Kind: historycheck.ConfigurationShown, Version: gjson.GetBytes(b, "version").Int(), RequestedMs: requestedMs})
		}
	})
	w.after(1_000_000, w.pollConfigVersion)
}

// campaign runs one seed: faults on top of the usual traffic, then a period without faults. It
// returns the problems found, the world, and the faults in order.
func campaign(seed uint64, dep string, only []string) (problems []string, w *world, faults []string) {
	w = newWorld(seed, historycheck.Deployments[dep])
	w.keepLogs = true
	if !w.until(20_000, func() bool { return w.holderOf("central") != nil }) {
		return []string{"the cluster never formed"}, w, nil
	}
	w.putSetup(1, w.deployment.InitialConfiguration(), nil)
	w.run(3000)
	w.delayOneIn = 400
	w.pollConfigVersion()
	w.variedTraffic()
	names := only
	if len(names) == 0 {
		names = sortedKeys(worldFaults)
	}
	var undo []func()
	for end := w.nowMs() + 45_000; w.nowMs() < end; {
		w.run(500 + w.rng.Int64N(5000))
		name := w.pickOne(names)
		faults = append(faults, fmt.Sprintf("%d:%s", w.nowMs(), name))
		u := sync.OnceFunc(worldFaults[name](w))
		undo = append(undo, u)
		w.after(1_000_000+w.rng.Int64N(12_000_000), u)
	}
	for _, u := range undo {
		u()
	}
	w.heal()
	for _, s := range w.workers {
		s.frozenUntilUs = 0
	}
	final := w.pickOne(sortedKeys(finalFaults))
	faults = append(faults, final)
	w.finalFault(final)
	if !w.until(120_000, func() bool { return len(w.openJobs()) == 0 }) {
		problems = append(problems, fmt.Sprintf("%d of %d jobs open long after the last fault: %v", len(w.openJobs()), len(w.jobs), w.openJobs()[:min(6, len(w.openJobs()))]))
	}
	w.run(3000)
	if w.completeCore() == nil && !w.until(30_000, func() bool { return w.completeCore() != nil }) {
		problems = append(problems, "the core is incomplete long after the last fault")
	}
	for i, b := range historycheck.Check(w.history, historycheck.DefaultBounds) {
		if i < 6 {
			problems = append(problems, b.String())
		}
	}
	return problems, w, faults
}

func TestCampaign(t *testing.T) {
	count, only := ciSeeds, []string(nil)
	if *seedsFlag > 0 {
		count = *seedsFlag
	}
	if *onlyFlag != "" {
		only = strings.Split(*onlyFlag, ",")
	}
	for i := range count {
		seed := *fromFlag + uint64(i)
		dep := []string{"hakata", "ikenna"}[seed%2]
		t.Run(fmt.Sprintf("%s-%d", dep, seed), func(t *testing.T) {
			t.Parallel()
			problems, w, faults := campaign(seed, dep, only)
			for _, b := range problems {
				t.Error(b)
			}
			for _, r := range historycheck.Recoveries(w.history, historycheck.DefaultBounds) {
				stateMs, entryMs := historycheck.LongestOutages(w.history)
				t.Logf("%s, %s: lowest share %.2f; longest outage: states %d ms, entry %d ms", dep, faults[len(faults)-1], r.Share, stateMs, entryMs)
			}
			if len(problems) > 0 {
				t.Log("faults:", faults)
				t.Log(w.counts())
				if *dumpFlag != "" {
					t.Log(w.jobs[*dumpFlag].lastState)
					if n := w.holderOf("central"); n != nil {
						for name, f := range n.executor.node.central.workers {
							t.Log("central", name, f.Capacity, f.guaranteed, f.occupied, f.unhealthyUntilMs-n.executor.node.now, f.WorkerReportFresh, f.Rebuilt, f.Leaving, n.executor.node.now-f.receivedMs, len(f.Attempts))
						}
						for k, request := range n.executor.node.central.pending {
							t.Log("request", k, request.granted, request.Resources, request.Tasks, n.executor.node.now-request.lastMs, n.executor.node.now-request.firstMs)
						}
					}
					for _, e := range w.history {
						if e.Job == *dumpFlag && e.Kind != historycheck.JobState {
							t.Log(e.AtMs, e.Kind, e.Worker, e.Run, e.Text)
						}
					}
					for _, l := range w.logs {
						if !strings.Contains(l, "peer_new") {
							t.Log(l)
						}
					}
				}
			}
			must.Positive(t, len(w.jobs))
			runtime.GC()
		})
	}
}
