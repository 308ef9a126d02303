package scheduler

import (
	"maps"
	"slices"
)

const (
	// estimatesMost bounds the run-time estimates that a daemon keeps.
	estimatesMost = 4096
	// estimatesShared is how many of them it tells others in one round.
	estimatesShared = 500
	// estimateWeight is that of the newest run: an even memory of about the last ten.
	estimateWeight = 0.2
)

// Estimate is the mean of what was learned under one name.
type Estimate struct {
	Mean   float64
	usedMs int64 // when a run last ended here; 0 where others told it
	shared bool
}

// Estimates are means learned from runs, by name. Its zero value is empty. Only one goroutine
// may use it.
type Estimates struct{ byName map[string]*Estimate }

// Mean gives what is known under a name; false for nothing.
func (e *Estimates) Mean(name string) (mean float64, known bool) {
	if o := e.byName[name]; o != nil {
		return o.Mean, true
	}
	return 0, false
}

// Len is how many means are kept.
func (e *Estimates) Len() int { return len(e.byName) }

// Learn takes a value that was just seen here into the mean of a name.
func (e *Estimates) Learn(name string, value float64, nowMs int64) {
	o := e.of(name, value)
	o.Mean += estimateWeight * (value - o.Mean)
	o.usedMs, o.shared = nowMs, false
}

// MergeRemote takes a mean that another daemon learned, unless one was learned here within a span:
// what was seen here lately counts more.
func (e *Estimates) MergeRemote(name string, mean float64, nowMs, freshMs int64) {
	if o := e.of(name, mean); nowMs-o.usedMs > freshMs {
		o.Mean, o.shared = mean, true
	}
}

// TakeUnshared gives the names learned here since they were last given, in order, some at a time.
func (e *Estimates) TakeUnshared() (names []string) {
	for _, name := range slices.Sorted(maps.Keys(e.byName)) {
		if o := e.byName[name]; !o.shared && len(names) < estimatesShared {
			o.shared = true
			names = append(names, name)
		}
	}
	return names
}

// of gives an estimate, made with a first mean where there is none; the longest unused one
// makes room.
func (e *Estimates) of(name string, mean float64) *Estimate {
	if o := e.byName[name]; o != nil {
		return o
	}
	if e.byName == nil {
		e.byName = map[string]*Estimate{}
	}
	if len(e.byName) >= estimatesMost {
		delete(e.byName, e.longestUnused())
	}
	e.byName[name] = &Estimate{Mean: mean}
	return e.byName[name]
}

func (e *Estimates) longestUnused() (oldest string) {
	usedMs := int64(0)
	for name, o := range e.byName {
		if oldest == "" || o.usedMs < usedMs || o.usedMs == usedMs && name < oldest {
			oldest, usedMs = name, o.usedMs
		}
	}
	return oldest
}
