package scheduler

import "math"

const (
	// minFailRate and maxFailRate bound the rate of failures that a worker is taken to
	// have: few ends must not look like certainty.
	minFailRate = 0.02
	maxFailRate = 0.95
	// defaultFailRate stands for a queue of which nobody has told yet.
	defaultFailRate = 0.1
	// A bad worker fails at least so much of its work, and so many times more than usual.
	badFailRate   = 0.5
	badFailFactor = 4
	// conclusiveScore is when the ends are 10,000 times as likely at a bad worker as at one of the
	// usual rate: with 300 workers a healthy one is taken for bad about once in thousands of ends.
	conclusiveScore = 9.2
	// probationFraction of a conclusive score is what a worker begins its probation with: it is
	// judged again by fewer ends.
	probationFraction = 0.5
)

// Evidence is a sequential test (a cumulative sum of log likelihood ratios, never below 0) of
// whether a worker fails its tasks, against the usual rate of each task's queue. A queue
// whose tasks fail everywhere blames nobody. Its zero value blames nobody either.
type Evidence struct{ score float64 }

// Observe takes one end of a task whose queue fails at a usual rate, of 0 to 1.
func (e *Evidence) Observe(failed bool, usualRate float64) {
	usual := min(max(usualRate, minFailRate), maxFailRate)
	bad := min(max(badFailRate, badFailFactor*usual), maxFailRate)
	if bad <= usual {
		return // nothing can be told apart
	}
	if failed {
		e.score += math.Log(bad / usual)
	} else {
		e.score += math.Log((1 - bad) / (1 - usual))
	}
	e.score = max(e.score, 0)
}

// Conclusive tells whether the worker is to get no more work for now.
func (e *Evidence) Conclusive() bool { return e.score >= conclusiveScore }

// Doubtful tells whether some failures speak against the worker: a task's last attempt is
// better made elsewhere.
func (e *Evidence) Doubtful() bool { return e.score > 0 }

// StartProbation has the worker tried again with real work, and judged sooner.
func (e *Evidence) StartProbation() { e.score = conclusiveScore * probationFraction }

// EndCounts counts how tasks ended, in hundredths, so that old ends can count for less.
type EndCounts struct{ Succeeded, Failed int64 }

// outcomeWeight is what one end counts for.
const outcomeWeight = 100

// Observe counts one end.
func (c *EndCounts) Observe(failed bool) {
	if failed {
		c.Failed += outcomeWeight
	} else {
		c.Succeeded += outcomeWeight
	}
}

// Decay has past ends count for a quarter less.
func (c *EndCounts) Decay() { c.Succeeded, c.Failed = c.Succeeded*3/4, c.Failed*3/4 }

// Plus adds other counts.
func (c EndCounts) Plus(o EndCounts) EndCounts {
	return EndCounts{c.Succeeded + o.Succeeded, c.Failed + o.Failed}
}

// FailRate is the share of ends that failed, of 0 to 1. Few ends say little: the rate of an
// unknown queue counts as some more of them.
func (c EndCounts) FailRate() float64 {
	const priorOutcomes = 10 * outcomeWeight
	return (float64(c.Failed) + priorOutcomes*defaultFailRate) / (float64(c.Succeeded+c.Failed) + priorOutcomes)
}

// UnknownFailRate is the rate of a queue of which nobody has told.
//
// Example: evidence.Observe(failed, scheduler.UnknownFailRate())
func UnknownFailRate() float64 { return defaultFailRate }

const (
	// slowMinRuns a worker must have had before it is called slow.
	slowMinRuns = 8
	// A slow worker takes so many percent of what was expected, and so many times as long as others.
	slowLagPercent = 300
	slowFactor     = 3
)

// Pace is how long the runs of a worker take against what was expected.
type Pace struct {
	Succeeded  int64
	LagPercent int64 // run time against the estimate, in percent, smoothed
}

// SlowWorkers gives the positions of the workers that lag far behind the others' mean. Where
// that would be most of them the estimates are wrong, and nobody is slow.
//
// Example: for _, at := range scheduler.SlowWorkers(paces) { … }
func SlowWorkers(workers []Pace) (slow []int) {
	totalLag := int64(0)
	for _, w := range workers {
		totalLag += w.LagPercent
	}
	others := int64(len(workers) - 1)
	if others <= 0 {
		return nil
	}
	for i, w := range workers {
		othersMean := (totalLag - w.LagPercent) / others
		if w.Succeeded >= slowMinRuns && w.LagPercent > slowLagPercent && w.LagPercent > slowFactor*othersMean {
			slow = append(slow, i)
		}
	}
	if 2*len(slow) > len(workers) {
		return nil
	}
	return slow
}
