package daemon

import (
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"testing"

	"otterchute/internal/configuration"
	"otterchute/internal/historycheck"

	"github.com/shoenig/test/must"
)

var longFlag = flag.Int("long", 0, "minutes that a zone is cut off in TestLongCut; 0 skips it")

// A zone is cut off for hours and rejoins while the others go on and callers on both sides
// send at their usual rate.
func TestLongCut(t *testing.T) {
	if *longFlag == 0 {
		t.Skip("only with -long")
	}
	w := formed(t, 4+*fromFlag, "ikenna")
	w.keepLogs = false
	w.traffic(int64(*longFlag)*60_000 + 60_000)
	w.run(10_000)
	w.cutZone("mid")
	w.run(int64(*longFlag) * 60_000)
	w.heal()
	w.run(60_000)
	must.NotNil(t, w.holderOf("slice/mid"))
	must.Eq(t, "mid", w.holderOf("slice/mid").Zone)
	requireAllDone(t, w, 60_000)
	checkHistory(t, w)
	t.Log(len(w.jobs), "jobs", w.counts())
}

// TestScenarios runs each scenario at both sizes. -seeds and -from select more seeds than CI's
// one; -v prints how long the service was unavailable to callers.
func TestScenarios(t *testing.T) {
	from, count := uint64(11), 1
	if *seedsFlag > 0 {
		from, count = *fromFlag, *seedsFlag
	}
	for _, name := range sortedKeys(scenarios) {
		for _, dep := range sortedKeys(historycheck.Deployments) {
			for i := range count {
				seed := from + uint64(i)
				t.Run(fmt.Sprintf("%s/%s-%d", name, dep, seed), func(t *testing.T) {
					t.Parallel()
					s := scenarios[name]
					w := formed(t, seed, dep)
					t.Cleanup(func() {
						for _, e := range w.history {
							if t.Failed() && e.Job != "" && e.Job == *dumpFlag && e.Kind != historycheck.JobState {
								t.Log(e.AtMs, e.Kind, e.Worker, e.Run, e.Text)
							}
						}
						for _, l := range w.logs {
							if t.Failed() && *dumpFlag != "" && strings.Contains(l, *dumpFlag) {
								t.Log(l)
							}
						}
					})
					s.run(t, w)
					requireAllDone(t, w, s.waitMs)
					checkHistory(t, w)
					stateMs, entryMs := historycheck.LongestOutages(w.history)
					t.Logf("longest outage: states %d ms, entry %d ms", stateMs, entryMs)
					if t.Failed() {
						t.Log(w.counts())
					}
				})
			}
		}
	}
}

// The share of a shard that one queue may use is bounded, an excess job is rejected at once
// with a time for the retry, and urgent queues still get in.
func TestOverloadIsRejected(t *testing.T) {
	w := formed(t, 3, "ikenna")
	rejected, accepted := 0, 0
	for i := range 8000 {
		body, _ := json.Marshal(w.oneTask("certify", 5000, 16, 60_000, 1))
		began := w.nowMs()
		w.request("caller", w.anyNode(i), "job.put", fmt.Sprintf("crowd-%d", i), body, 5000, func(status int, retryMs int64, _ []byte) {
			switch status {
			case 429, 503:
				rejected++
				must.Positive(t, retryMs)
				must.Less(t, 2000, w.nowMs()-began)
			case 201:
				accepted++
			}
		})
		if i%20 == 0 {
			w.run(5)
		}
	}
	w.run(6000)
	must.Positive(t, rejected)
	must.Positive(t, accepted)
	must.LessEq(t, configuration.MaxQueueJobs*3, accepted)
	status, _, _, _ := w.requestAndWait("caller", w.nodes["d05"], "job.put", "urgent-1", []byte(`{"queue":"signoff","steps":[{"name":"a","tasks":[{"name":"t","room":1}]}]}`))
	must.Eq(t, 201, status)
	t.Log("accepted", accepted, "rejected", rejected)
}
