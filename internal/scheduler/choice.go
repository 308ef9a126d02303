package scheduler

import (
	"cmp"
	"slices"
)

const (
	// kMost is the design's k: the most workers a queueable task is drawn among.
	kMost = 50
	// kLeast is the fewest; between them a quarter of the allowed ones. Source: docs/rounds.md.
	kLeast   = 3
	kQuarter = 4
)

// Penalties is a set of reasons to give a task to another worker, as long as there is one. A higher
// bit counts for more than all lower ones together.
type Penalty uint8

// The reasons, the weightiest last.
const (
	PenaltyFarFromData  Penalty = 1 << iota // it is not in the rack that holds the task's data
	PenaltyJobFailed                        // other tasks of the job failed there lately
	PenaltySuspect                          // some failures speak against it, and the task may fail no more
	PenaltyFull                             // the task would wait there, even if batches made room
	PenaltyHeadroomOnly                     // it has no room now that the task's queue may take
	PenaltyLastFailed                       // the task last failed there
	PenaltySilent                           // nothing was heard of it just now
	PenaltyUnhealthy                        // it fails or lags
)

// QueueCandidate is a worker that a queueable task may go to, as its local scheduler sees it.
type QueueCandidate struct {
	Name      string
	RankMs    int64
	Penalties Penalty
	// QueueFull says that as many tasks wait there as a scheduler may send.
	QueueFull bool
}

// ChooseWorker draws a worker for a queueable task: at random among the k of lowest rank, of those
// that there is least reason to shun. It gives its position, -1 for none, and how many it
// drew among. Where k is 0 it is a quarter of the workers, within bounds; a k below 0 draws
// among all. Workers stand in the order of their names, which decides between equal ranks.
//
// Example: at, among := scheduler.Choose(workers, 0, random.IntN)
func ChooseWorker(workers []QueueCandidate, k int, intN func(int) int) (at, among int) {
	list := leastShunned(workers)
	if len(list) == 0 {
		return -1, 0
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(workers[a].RankMs, workers[b].RankMs) })
	switch {
	case k < 0:
		k = len(list)
	case k == 0:
		k = min(max(len(list)/kQuarter, kLeast), kMost)
	}
	list = list[:min(k, len(list))]
	return list[intN(len(list))], len(list)
}

// leastShunned gives the positions of the workers that there is least reason to shun. Of those,
// the ones whose queue is full are left out: queues are bounded, and so is what is sent to them.
func leastShunned(workers []QueueCandidate) (list []int) {
	least := Penalty(0)
	for i, w := range workers {
		switch {
		case i == 0 || w.Penalties < least:
			least, list = w.Penalties, append(list[:0], i)
		case w.Penalties == least:
			list = append(list, i)
		}
	}
	return slices.DeleteFunc(list, func(i int) bool { return workers[i].QueueFull })
}
