package scheduler

import (
	"cmp"
	"slices"
)

const (
	// A queueable task is assigned to a random one of k workers: a quarter of the allowed ones,
	// at least minDrawn and at most maxDrawn. Source: docs/rounds.md.
	maxDrawn     = 50
	minDrawn     = 3
	drawnDivisor = 4
)

// Penalty is a set of penalties of a worker. The task goes to a worker with fewer penalties if
// there is one. A higher bit outweighs all lower bits together.
type Penalty uint8

// The penalties, in ascending order of weight.
const (
	PenaltyFarFromData Penalty = 1 << iota // not in the rack that holds the task's data
	PenaltyJobFailed                       // other tasks of the job failed there recently
	// PenaltySuspect means that failures count against the worker and the task is on its last attempt,
	// or that the worker is ejected but most of the fleet is free.
	PenaltySuspect
	PenaltyFull         // the task would have to wait there, even if batch tasks were preempted
	PenaltyHeadroomOnly // no free capacity outside the headroom that the task's queue must not use
	PenaltyLastFailed   // the task last failed there
	PenaltySilent       // no recent heartbeat
	PenaltyUnhealthy    // the worker fails or lags far more than others
)

// QueueCandidate is a candidate worker for a queueable task, as the local scheduler sees it.
type QueueCandidate struct {
	Name      string
	RankMs    int64
	Penalties Penalty
	// QueueFull means that the worker's queue holds as many tasks as a scheduler may send.
	QueueFull bool
}

// ChooseWorker draws a worker for a queueable task at random among the k of lowest rank,
// considering only the workers with the least penalty. It returns the index of the worker, or
// -1 if there is none, and the number of workers it drew among. If k is 0, a quarter of the
// workers is used, within bounds; if k is negative, all are. Workers must be sorted by name;
// equal ranks are ordered by name.
//
// Example: index, drawnAmong := scheduler.ChooseWorker(workers, 0, random.IntN)
func ChooseWorker(workers []QueueCandidate, k int, intN func(int) int) (index, drawnAmong int) {
	positions := leastPenalized(workers)
	if len(positions) == 0 {
		return -1, 0
	}
	slices.SortStableFunc(positions, func(a, b int) int { return cmp.Compare(workers[a].RankMs, workers[b].RankMs) })
	switch {
	case k < 0:
		k = len(positions)
	case k == 0:
		k = min(max(len(positions)/drawnDivisor, minDrawn), maxDrawn)
	}
	positions = positions[:min(k, len(positions))]
	return positions[intN(len(positions))], len(positions)
}

// leastPenalized returns the indices of the workers with the least penalty, without those whose
// queue is full: it doesn't fall back to more penalized workers then, so that queues stay bounded.
func leastPenalized(workers []QueueCandidate) (positions []int) {
	least := Penalty(0)
	for i, w := range workers {
		switch {
		case i == 0 || w.Penalties < least:
			least, positions = w.Penalties, append(positions[:0], i)
		case w.Penalties == least:
			positions = append(positions, i)
		}
	}
	return slices.DeleteFunc(positions, func(i int) bool { return workers[i].QueueFull })
}
