package scheduler

import (
	"maps"
	"slices"
)

const (
	// maxEstimates bounds the run time estimates that a daemon keeps.
	maxEstimates = 4096
	// maxSharedPerRound is the number of estimates that are sent to other daemons in one round.
	maxSharedPerRound = 500
	// newestRunWeight is the weight of the newest run in the moving average, which covers about
	// the last ten runs.
	newestRunWeight = 0.2
)

// Estimate is the moving average of the values learned under one name.
type Estimate struct {
	Mean      float64
	learnedMs int64 // when a run last ended on this daemon; 0 for a value from another daemon
	shared    bool
}

// Estimates holds moving averages learned from runs, by name. The zero value is empty. It is
// not safe for concurrent use.
type Estimates struct{ byName map[string]*Estimate }

// Mean returns the mean of a name; false if there is none.
func (e *Estimates) Mean(name string) (mean float64, known bool) {
	if estimate := e.byName[name]; estimate != nil {
		return estimate.Mean, true
	}
	return 0, false
}

// Len returns the number of estimates.
func (e *Estimates) Len() int { return len(e.byName) }

// Learn adds a value observed on this daemon to the mean of a name.
func (e *Estimates) Learn(name string, value float64, nowMs int64) {
	estimate := e.getOrCreate(name, value)
	estimate.Mean += newestRunWeight * (value - estimate.Mean)
	estimate.learnedMs, estimate.shared = nowMs, false
}

// MergeRemote takes over a mean from another daemon, unless this daemon learned a value within
// the last freshMs: recent local values have priority.
func (e *Estimates) MergeRemote(name string, mean float64, nowMs, freshMs int64) {
	if estimate := e.getOrCreate(name, mean); nowMs-estimate.learnedMs > freshMs {
		estimate.Mean, estimate.shared = mean, true
	}
}

// TakeUnshared returns, in order, up to maxSharedPerRound names whose mean changed on this daemon
// since it was last shared, and marks them as shared.
func (e *Estimates) TakeUnshared() (names []string) {
	for _, name := range slices.Sorted(maps.Keys(e.byName)) {
		if estimate := e.byName[name]; !estimate.shared && len(names) < maxSharedPerRound {
			estimate.shared = true
			names = append(names, name)
		}
	}
	return names
}

// getOrCreate returns the estimate of a name and creates it with an initial mean if there is
// none, evicting the least recently learned one if necessary.
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
	learnedMs := int64(0)
	for name, estimate := range e.byName {
		if oldest == "" || estimate.learnedMs < learnedMs || estimate.learnedMs == learnedMs && name < oldest {
			oldest, learnedMs = name, estimate.learnedMs
		}
	}
	return oldest
}
