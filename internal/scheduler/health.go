package scheduler

import "math"

const (
	// minFailRate and maxFailRate bound the assumed failure rates, so that a few outcomes
	// don't count as certainty.
	minFailRate = 0.02
	maxFailRate = 0.95
	// defaultFailRate is the failure rate of a queue without reported outcomes.
	defaultFailRate = 0.1
	// A bad worker fails at least this share of its tasks, and this many times the usual rate.
	badFailRate   = 0.5
	badFailFactor = 4
	// conclusiveScore means that the outcomes are 10,000 times as likely for a bad worker as for
	// one with the usual rate (ln 10,000 is 9.2). With 300 workers, a healthy one is ejected by
	// mistake about once in thousands of outcomes.
	conclusiveScore = 9.2
	// probationFraction of the conclusive score is the score of a worker that starts its
	// probation, so that fewer failures suffice to eject it again.
	probationFraction = 0.5
)

// Evidence is a sequential test of whether a worker fails its tasks more often than is usual for
// the queue of each task. It is a CUSUM: a cumulative sum of log likelihood ratios that never drops
// below 0. If the tasks of a queue fail on all workers, their failures don't count against any of
// them. The zero value has no evidence.
type Evidence struct{ score float64 }

// Observe adds the outcome of one task whose queue has a usual failure rate from 0 to 1.
func (e *Evidence) Observe(failed bool, usualRate float64) {
	usual := min(max(usualRate, minFailRate), maxFailRate)
	bad := min(max(badFailRate, badFailFactor*usual), maxFailRate)
	if bad <= usual {
		return // the rates can't be distinguished
	}
	if failed {
		e.score += math.Log(bad / usual)
	} else {
		e.score += math.Log((1 - bad) / (1 - usual))
	}
	e.score = max(e.score, 0)
}

// Conclusive reports whether the worker should be ejected for now.
func (e *Evidence) Conclusive() bool { return e.score >= conclusiveScore }

// Suspect reports whether some failures count against the worker, so that the last attempt of a
// task should use another one.
func (e *Evidence) Suspect() bool { return e.score > 0 }

// StartProbation resets the score for a worker that gets work again. The score is higher than that
// of a new worker, so that further failures eject it sooner.
func (e *Evidence) StartProbation() { e.score = conclusiveScore * probationFraction }

// OutcomeCounts counts task outcomes in hundredths, so that the weight of old ones can decay.
type OutcomeCounts struct{ Succeeded, Failed int64 }

// outcomeWeight is the weight of a new outcome.
const outcomeWeight = 100

// Observe counts one outcome.
func (c *OutcomeCounts) Observe(failed bool) {
	if failed {
		c.Failed += outcomeWeight
	} else {
		c.Succeeded += outcomeWeight
	}
}

// Decay reduces the weight of past outcomes by a quarter.
func (c *OutcomeCounts) Decay() { c.Succeeded, c.Failed = c.Succeeded*3/4, c.Failed*3/4 }

// Plus returns the sum of two counts.
func (c OutcomeCounts) Plus(o OutcomeCounts) OutcomeCounts {
	return OutcomeCounts{c.Succeeded + o.Succeeded, c.Failed + o.Failed}
}

// FailRate returns the share of failures, from 0 to 1. It is smoothed by a prior of ten outcomes
// at the default rate, since a few outcomes alone say little.
func (c OutcomeCounts) FailRate() float64 {
	const priorOutcomes = 10 * outcomeWeight
	return (float64(c.Failed) + priorOutcomes*defaultFailRate) / (float64(c.Succeeded+c.Failed) + priorOutcomes)
}

// DefaultFailRate returns the failure rate to assume for a queue without reported outcomes.
//
// Example: evidence.Observe(failed, scheduler.DefaultFailRate())
func DefaultFailRate() float64 { return defaultFailRate }

const (
	// slowMinRuns is the number of successful runs before a worker can count as slow.
	slowMinRuns = 8
	// A slow worker takes more than this percentage of the estimates, and more than this many
	// times as long as the other workers.
	slowLagPercent = 300
	slowFactor     = 3
)

// Pace holds the run times of a worker compared with the estimates.
type Pace struct {
	Succeeded  int64
	LagPercent int64 // smoothed run time in percent of the estimate
}

// SlowWorkers returns the indices of the workers that are much slower than the mean of the
// others. It returns none if most workers would count as slow: then the estimates are wrong.
//
// Example: for _, index := range scheduler.SlowWorkers(paces) { … }
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
