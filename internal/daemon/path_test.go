package daemon

import (
	"fmt"
	"strings"
	"testing"

	"otterchute/internal/historycheck"

	"github.com/shoenig/test/must"
)

// formed returns a world with a formed cluster and its first configuration.
func formed(t *testing.T, seed uint64, dep string) *world {
	t.Helper()
	w := newWorld(seed, historycheck.Deployments[dep])
	w.keepLogs = true
	must.True(t, w.until(20_000, func() bool { return w.holderOf("central") != nil }), must.Sprint("the cluster never formed"))
	status := 0
	w.putSetup(1, w.deployment.InitialConfiguration(), func(s int) { status = s })
	must.True(t, w.until(10_000, func() bool { return status != 0 }))
	must.Eq(t, 200, status)
	return w
}

// checkHistory requires that the history breaks no rule.
func checkHistory(t *testing.T, w *world) {
	t.Helper()
	b := historycheck.Check(w.history, historycheck.DefaultBounds)
	for i, x := range b {
		if i < 10 {
			t.Error(x.String())
		}
	}
}

// requireAllDone requires that all accepted jobs end within ms.
func requireAllDone(t *testing.T, w *world, ms int64) {
	t.Helper()
	if !w.until(ms, func() bool { return len(w.openJobs()) == 0 }) {
		id, _, _ := strings.Cut(w.openJobs()[0], ":")
		t.Errorf("%d of %d jobs still open: %v; the first: %s", len(w.openJobs()), len(w.jobs), w.openJobs()[:min(5, len(w.openJobs()))], w.jobs[id].lastState)
	}
}

func TestUsualTrafficCompletes(t *testing.T) {
	for _, dep := range []string{"hakata", "ikenna"} {
		w := formed(t, 1, dep)
		w.traffic(30_000)
		w.run(30_000)
		requireAllDone(t, w, 30_000)
		checkHistory(t, w)
		for _, id := range sortedKeys(w.jobs) {
			must.Eq(t, "complete", w.jobs[id].state)
		}
		must.Positive(t, w.total("placements_queueable"))
		must.Positive(t, w.total("placements_guaranteed"))
		t.Log(dep, len(w.jobs), "jobs", w.counts())
	}
}

func (w *world) counts() string {
	out := ""
	for _, c := range []string{"placements_queueable", "placements_guaranteed", "ends_ok", "ends_rejected", "ends_lost", "ends_shed", "ends_preempted",
		"preemptions", "promotions", "sheds", "orders_unconfirmed", "grants", "commits", "placements_stale", "requests_rejected"} {
		if v := w.total(c); v > 0 {
			out += fmt.Sprintf(" %s=%d", c, v)
		}
	}
	return out
}

func TestSameSeedSameTrace(t *testing.T) {
	var first uint64
	for i := range 2 {
		w := formed(t, 5, "ikenna")
		w.traffic(5000)
		w.run(8000)
		if i == 0 {
			first = w.trace
		}
		must.Eq(t, first, w.trace)
	}
}
