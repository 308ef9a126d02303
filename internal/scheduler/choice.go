package scheduler

import (
	"cmp"
	"slices"
)

const (
	// maxDrawn is the design's k: the most workers a queueable task is drawn among.
	maxDrawn = 50
	// minDrawn is the fewest; between them a quarter of the allowed ones. Source: docs/rounds.md.
	minDrawn     = 3
	drawnDivisor = 4
)

// Shun is a set of reasons to give a task to another worker, as long as there is one. A higher
// bit counts for more than all lower ones together.
type Shun uint8

// The reasons, the weightiest last.
const (
	ShunFar       Shun = 1 << iota // it is not in the rack that holds the task's data
	ShunJobFailed                  // other tasks of the job failed there lately
	ShunDoubtful                   // some failures speak against it, and the task may fail no more
	ShunFull                       // the task would wait there, even if batches made room
	ShunKept                       // it has no room now that the task's queue may take
	ShunLast                       // the task last failed there
	ShunSilent                     // nothing was heard of it just now
	ShunUnhealthy                  // it fails or lags
)

// Choosable is a worker that a queueable task may go to, as its local scheduler sees it.
type Choosable struct {
	Name   string
	RankMs int64
	Shun   Shun
	// QueueFull says that as many tasks wait there as a scheduler may send.
	QueueFull bool
}

// Choose draws a worker for a queueable task: at random among the k of lowest rank, of those
// that there is least reason to shun. It gives its position, -1 for none, and how many it
// drew among. Where k is 0 it is a quarter of the workers, within bounds; a k below 0 draws
// among all. Workers stand in the order of their names, which decides between equal ranks.
//
// Example: at, among := scheduler.Choose(workers, 0, random.IntN)
func Choose(workers []Choosable, k int, intN func(int) int) (index, drawnAmong int) {
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

// leastPenalized gives the positions of the workers that there is least reason to shun. Of those,
// the ones whose queue is full are left out: queues are bounded, and so is what is sent to them.
func leastPenalized(workers []Choosable) (positions []int) {
	least := Shun(0)
	for i, w := range workers {
		switch {
		case i == 0 || w.Shun < least:
			least, positions = w.Shun, append(positions[:0], i)
		case w.Shun == least:
			positions = append(positions, i)
		}
	}
	return slices.DeleteFunc(positions, func(i int) bool { return workers[i].QueueFull })
}
