package scheduler

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// evidenceOf returns the evidence after some failures (true) and successes.
func evidenceOf(rate float64, failed ...bool) *Evidence {
	e := &Evidence{}
	for _, f := range failed {
		e.Observe(f, rate)
	}
	return e
}

func TestEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		evidence   *Evidence
		conclusive bool
	}{
		"none":                                 {&Evidence{}, false},
		"five failures of six":                 {evidenceOf(0.05, true, true, true, false, true, true), true},
		"three in a row, where few tasks fail": {evidenceOf(0.02, true, true, true), true},
		"two in a row":                         {evidenceOf(0.02, true, true), false},
		"two of ten": {
			evidenceOf(0.05, true, false, false, false, false, true, false, false, false, false), false,
		},
		"all fail, as on other workers": {
			evidenceOf(0.95, true, true, true, true, true, true, true, true, true, true), false,
		},
		"old successes don't protect": {
			evidenceOf(0.05, append(make([]bool, 1000), true, true, true, true, true)...), true,
		},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.conclusive, c.evidence.Conclusive()) })
	}
	e := evidenceOf(0.05, true)
	must.True(t, e.Suspect())
	e.Observe(false, 0.05)
	for range 4 {
		e.Observe(false, 0.05)
	}
	must.False(t, e.Suspect())
	e.StartProbation()
	must.False(t, e.Conclusive())
	e.Observe(true, 0.05)
	e.Observe(true, 0.05)
	must.True(t, e.Conclusive(), must.Sprint("fewer failures are enough on probation"))
}

// Over many seeds, a worker that fails most of its tasks is detected within a dozen outcomes, and a
// healthy worker is hardly ever ejected in hundreds.
func TestEvidenceErrorRates(t *testing.T) {
	const usual = 0.05
	found, falsePositives, outcomesNeeded := 0, 0, 0
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		bad, healthy := &Evidence{}, &Evidence{}
		for n := 1; n <= 12 && !bad.Conclusive(); n++ {
			if bad.Observe(random.Float64() < 0.8, usual); bad.Conclusive() {
				found++
				outcomesNeeded += n
			}
		}
		for range 300 {
			healthy.Observe(random.Float64() < usual, usual)
			if healthy.Conclusive() {
				falsePositives++
				break
			}
		}
	}
	must.GreaterEq(t, 1950, found)
	must.LessEq(t, 7*found, outcomesNeeded)
	must.LessEq(t, 40, falsePositives) // of 600,000 outcomes
}

func TestFailRate(t *testing.T) {
	var c OutcomeCounts
	must.Eq(t, DefaultFailRate(), c.FailRate())
	for range 90 {
		c.Observe(false)
	}
	must.Between(t, 0.009, c.FailRate(), 0.011)
	for range 100 {
		c.Observe(true)
	}
	must.Between(t, 0.5, c.FailRate(), 0.53)
	half := c
	half.Decay()
	must.Eq(t, OutcomeCounts{Succeeded: c.Succeeded * 3 / 4, Failed: c.Failed * 3 / 4}, half)
	must.Eq(t, OutcomeCounts{Succeeded: 2 * c.Succeeded, Failed: 2 * c.Failed}, c.Plus(c))
}

func TestSlowWorkers(t *testing.T) {
	usual := Pace{Succeeded: 20, LagPercent: 110}
	must.Eq(t, []int{2}, SlowWorkers([]Pace{usual, usual, {20, 900}, usual}))
	must.SliceEmpty(t, SlowWorkers([]Pace{usual, usual, {7, 900}, usual}))  // too few runs
	must.SliceEmpty(t, SlowWorkers([]Pace{{20, 900}, {20, 900}, {20, 1}}))  // most look slow
	must.SliceEmpty(t, SlowWorkers([]Pace{{20, 900}}))                      // no others
	must.SliceEmpty(t, SlowWorkers([]Pace{usual, {20, 299}, usual, usual})) // not slow enough
}
