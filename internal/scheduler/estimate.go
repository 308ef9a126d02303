package scheduler

import (
	"maps"
	"slices"
)

const (
	// maxEstimates bounds the run-time estimates that a daemon keeps.
	maxEstimates = 4096
	// maxSharedPerRound is how many of them it tells others in one round.
	maxSharedPerRound = 500
	// newestRunWeight is that of the newest run: an even memory of about the last ten.
	newestRunWeight = 0.2
)

// Estimate is the mean of what was learned under one name.
type Estimate struct {
	Mean      float64
	learnedMs int64 // when a run last ended here; 0 where others told it
	shared    bool
}

// Estimates are means learned from runs, by name. Its zero value is empty. Only one goroutine
// may use it.
type Estimates struct{ byName map[string]*Estimate }

// Mean gives what is known under a name; false for nothing.
func (e *Estimates) Mean(name string) (mean float64, known bool) {
	if estimate := e.byName[name]; estimate != nil {
		return estimate.Mean, true
	}
	return 0, false
}

// Len is how many means are kept.
func (e *Estimates) Len() int { return len(e.byName) }

// Learn takes a value that was just seen here into the mean of a name.
func (e *Estimates) Learn(name string, value float64, nowMs int64) {
	estimate := e.getOrCreate(name, value)
	estimate.Mean += newestRunWeight * (value - estimate.Mean)
	estimate.learnedMs, estimate.shared = nowMs, false
}

// Adopt takes a mean that another daemon learned, unless one was learned here within a span:
// what was seen here lately counts more.
func (e *Estimates) Adopt(name string, mean float64, nowMs, freshMs int64) {
	if estimate := e.getOrCreate(name, mean); nowMs-estimate.learnedMs > freshMs {
		estimate.Mean, estimate.shared = mean, true
	}
}

// Unshared gives the names learned here since they were last given, in order, some at a time.
func (e *Estimates) Unshared() (names []string) {
	for _, name := range slices.Sorted(maps.Keys(e.byName)) {
		if estimate := e.byName[name]; !estimate.shared && len(names) < maxSharedPerRound {
			estimate.shared = true
			names = append(names, name)
		}
	}
	return names
}

// getOrCreate gives an estimate, made with a first mean where there is none; the longest unused one
// makes room.
func (e *Estimates) getOrCreate(name string, mean float64) *Estimate {
	if estimate := e.byName[name]; estimate != nil {
		return estimate
	}
	if e.byName == nil {
		e.byName = map[string]*Estimate{}
	}
	if len(e.byName) >= maxEstimates {
		delete(e.byName, e.leastRecentlyLearned())
	}
	e.byName[name] = &Estimate{Mean: mean}
	return e.byName[name]
}

func (e *Estimates) leastRecentlyLearned() (oldest string) {
	oldestMs := int64(0)
	for name, estimate := range e.byName {
		if oldest == "" || estimate.learnedMs < oldestMs || estimate.learnedMs == oldestMs && name < oldest {
			oldest, oldestMs = name, estimate.learnedMs
		}
	}
	return oldest
}
