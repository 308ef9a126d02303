package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

// countExcess returns the number of excess jobs for jobs that arrive evenly.
func countExcess(r *JobRates, tenant string, weight, perSecond float64, fromMs, forMs int64) (excess int) {
	for sent := 0; ; sent++ {
		atMs := fromMs + int64(float64(sent)*1000/perSecond)
		if atMs >= fromMs+forMs {
			return excess
		}
		if r.CountJob(tenant, weight, atMs) {
			excess++
		}
	}
}

func TestCountJob(t *testing.T) {
	for name, c := range map[string]struct {
		weight, perSecond float64
		excess            int // jobs in a minute
	}{
		"no weight":            {0, 1000, 0},
		"below its weight":     {6, 4, 0},
		"at its weight":        {6, 6, 0},
		"seven times":          {6, 42, 2520 - 360 - 6 + 1},
		"small, short cluster": {0.1, 0.15, 0}, // 9 jobs: a burst of 5, and 6 more in the minute
	} {
		t.Run(name, func(t *testing.T) {
			must.InDelta(t, float64(c.excess), float64(countExcess(&JobRates{}, "a", c.weight, c.perSecond, 1000, 60_000)), 2)
		})
	}
}

// After a pause, only the jobs beyond the burst size are in excess.
func TestCountJobAfterPause(t *testing.T) {
	var r JobRates
	atOnce := func(nowMs int64) (excess int) {
		for range 40 {
			if r.CountJob("a", 6, nowMs) {
				excess++
			}
		}
		return excess
	}
	must.Eq(t, 34, atOnce(1000))
	must.Eq(t, 40, atOnce(1000))
	must.Eq(t, 34, atOnce(2000))
	must.Eq(t, 34, atOnce(60_000))
	must.Eq(t, 40, atOnce(59_000)) // a clock that steps back adds no tokens
}

// The excess of one tenant doesn't affect others, and it ends when the rate falls.
func TestCountJobSeparatesTenants(t *testing.T) {
	var r JobRates
	must.Positive(t, countExcess(&r, "hot", 6, 42, 0, 5000))
	must.Zero(t, countExcess(&r, "other", 6, 6, 0, 5000))
	must.Zero(t, countExcess(&r, "hot", 6, 5, 6000, 20_000))
}

func TestPrecedence(t *testing.T) {
	for name, c := range map[string]struct {
		urgency, otherUrgency int64
		excess, otherExcess   bool
		first                 bool
	}{
		"more urgent":                     {1000, 0, false, false, true},
		"excess of the most urgent":       {1000, 0, true, false, false},
		"before excess of more urgent":    {0, 1000, false, true, true},
		"below all queues, before excess": {-1, 1000, false, true, true},
		"more urgent excess":              {10, 5, true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, c.first, Precedence(c.urgency, c.excess) > Precedence(c.otherUrgency, c.otherExcess))
		})
	}
}
