package main

import (
	"testing"
	"time"

	"otterchute/internal/historycheck"

	"github.com/shoenig/test/must"
)

// The judge of a night finds each thing that may go wrong with a batch.
func TestNightJudge(t *testing.T) {
	n := newNight(time.Date(2027, 1, 4, 23, 57, 40, 0, time.UTC))
	must.Eq(t, "23:59", n.opens.Format("15:04"))
	s := n.with(historycheck.Configuration{Queues: []historycheck.Queue{{Name: "confirm"}}})
	must.Eq(t, "00:01", s.Contracts[0].Hours[0].To)
	must.Len(t, 2, s.Queues)
	must.True(t, n.takes(n.opens.Add(89*time.Second)))
	must.False(t, n.takes(n.opens.Add(91*time.Second)))
	opens := n.opens.UnixMilli()
	for _, id := range []string{"a", "b", "c"} {
		n.sentMs[id] = opens - 10_000
	}
	n.shown("a", "running", `{"steps":[{"tasks":[{"waits":"held until Mon"}]}]}`)
	n.shown("elsewhere", "complete", "")
	n.endedMs["a"], n.endedMs["b"] = opens+5000, opens+3600_000
	history := []historycheck.Event{{Kind: historycheck.Start, Job: "a", AtMs: opens - 1}, {Kind: historycheck.Start, Job: "a", AtMs: opens + 1}, {Kind: historycheck.Start, Job: "b", AtMs: opens + 120_001},
		{Kind: historycheck.End, Job: "a", Text: "ok"}, {Kind: historycheck.End, Job: "a", Task: 1, Text: "ok"}, {Kind: historycheck.End, Job: "a", Text: "stopped"}, {Kind: historycheck.Start, Job: "x", AtMs: 1}}
	out, wrong := n.judge(history)
	must.Eq(t, 3, wrong) // one early start, b late, c open
	must.Eq[any](t, 2, out["late_or_open"])
	must.Eq[any](t, 1, out["held"])
	must.Eq[any](t, map[string]int{"before_the_window": 1, "in_it": 1, "after_it": 1}, out["starts"])
	_, wrong = n.judge(append(history, historycheck.Event{Kind: historycheck.End, Job: "a", Text: "ok"}))
	must.Eq(t, 4, wrong)
}
