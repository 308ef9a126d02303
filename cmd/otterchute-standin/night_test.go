package main

import (
	"testing"
	"time"

	"otterchute/internal/historycheck"

	"github.com/shoenig/test/must"
)

// Guards against early starts, repeated tasks and late batches that the report doesn't count.
func TestBatchReport(t *testing.T) {
	w := newBatchWindow(time.Date(2027, 1, 4, 23, 57, 40, 0, time.UTC))
	must.Eq(t, "23:59", w.opens.Format("15:04"))
	s := w.addTo(historycheck.Configuration{Queues: []historycheck.Queue{{Name: "confirm"}}})
	must.Eq(t, "00:01", s.Contracts[0].Hours[0].To)
	must.Len(t, 2, s.Queues)
	must.True(t, w.accepts(w.opens.Add(89*time.Second)))
	must.False(t, w.accepts(w.opens.Add(91*time.Second)))
	opens := w.opens.UnixMilli()
	for _, id := range []string{"a", "b", "c"} {
		w.sentMs[id] = opens - 10_000
	}
	w.recordState("a", "running", `{"steps":[{"tasks":[{"waits":"held until Mon"}]}]}`)
	w.recordState("elsewhere", "complete", "")
	w.completedMs["a"], w.completedMs["b"] = opens+5000, opens+3600_000
	history := []historycheck.Event{{Kind: historycheck.Start, Job: "a", AtMs: opens - 1}, {Kind: historycheck.Start, Job: "a", AtMs: opens + 1}, {Kind: historycheck.Start, Job: "b", AtMs: opens + 120_001},
		{Kind: historycheck.End, Job: "a", Text: "ok"}, {Kind: historycheck.End, Job: "a", Task: 1, Text: "ok"}, {Kind: historycheck.End, Job: "a", Text: "stopped"}, {Kind: historycheck.Start, Job: "x", AtMs: 1}}
	out, failed := w.report(history)
	must.Eq(t, 3, failed) // one early start, b late, c open
	must.Eq[any](t, 2, out["late_or_open"])
	must.Eq[any](t, 1, out["held"])
	must.Eq[any](t, map[string]int{"before_the_window": 1, "in_it": 1, "after_it": 1}, out["starts"])
	_, failed = w.report(append(history, historycheck.Event{Kind: historycheck.End, Job: "a", Text: "ok"}))
	must.Eq(t, 4, failed)
}
