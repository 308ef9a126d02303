package scheduler

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"otterchute/internal/resource"
)

const (
	// fullShare is all of a worker's room, in the thousandths that a score counts in.
	fullShare = 1000
	// What a score adds for a worker where the task starts without a stop, and for one near
	// its data. Each outweighs all that stands below it.
	scoreFree = 1 << 40
	scoreNear = 1 << 30
	// scoreDoubted is taken off a worker that anything speaks against: it comes after others where
	// the task starts without a stop, and before those where it doesn't.
	scoreDoubted = 1 << 35
	// scoreAvoided is taken off a worker where the task just failed: it comes last.
	scoreAvoided = 1 << 50
)

// Candidate is a worker as the central scheduler sees it while it assigns tasks.
type Candidate struct {
	Name     string
	Rack     string
	Capacity resource.Amount
	// FreeAfterPreemption is the room that no guaranteed task holds. What queueable tasks hold counts as
	// room, since it can be freed.
	FreeAfterPreemption resource.Amount
	// Free is the room that nothing holds.
	Free resource.Amount
}

// take has a candidate hold so much more; a negative amount gives room back.
func (c *Candidate) take(room resource.Amount) {
	c.FreeAfterPreemption, c.Free = c.FreeAfterPreemption.Minus(room), c.Free.Minus(room)
}

// freeShare is the part of a worker that is free, in thousandths, in its scarcer dimension.
func (c *Candidate) freeShare() int64 {
	share := c.Free.CPU * fullShare / max(c.Capacity.CPU, 1)
	if c.Capacity.Memory > 0 {
		share = min(share, c.Free.Memory*fullShare/c.Capacity.Memory)
	}
	return share
}

// Group is what tasks that are alike ask of workers.
type Group struct {
	Resources    resource.Amount // of each task
	Size         int             // tasks in all, placed or not
	MaxPerWorker int32           // most of them on one worker; 0 for any number
	Gang         bool            // they start together or not at all
	SameRack     bool            // a gang that runs longer over several racks
	DataRack     string          // the rack that holds their data; "" for none
	Avoid        map[string]bool // workers where some of them just failed
	Suspect      map[string]bool // workers that anything speaks against
}

// Assignment searches sure room for the tasks of a group.
type Assignment struct {
	Group Group
	// TaskCounts counts the tasks of the group on each worker. Find adds what it assigns.
	TaskCounts map[string]int32
	// Reserved are workers kept for others.
	Reserved map[string]bool
	// Urgent is work of the most urgent queues: nothing is kept back from it.
	Urgent bool
	// HeadroomPercent is the share of each worker, in percent, that other work leaves to urgent work.
	HeadroomPercent resource.Amount
	// WaitsForRack has a gang that asks for one rack take no more, if one could ever hold it.
	WaitsForRack bool
}

// Find assigns a worker to each of some open tasks in turn, as far as there is sure room,
// and takes that room. Of a gang it assigns all or none, in one rack where the gang asks for
// that and one has the room.
//
// Example: workers := search.Find(len(open), candidates)
func (a *Assignment) Find(open int, candidates []*Candidate) []*Candidate {
	if !a.Group.Gang {
		return a.fill(open, candidates)
	}
	if open < a.Group.Size {
		return nil
	}
	if a.Group.SameRack {
		found, able := a.findInOneRack(open, candidates)
		if found != nil || able && a.WaitsForRack {
			return found
		}
	}
	return a.fillWhole(open, candidates)
}

// findInOneRack tries each rack, the one near the data first. It tells whether some rack
// could hold the gang once nothing else is there.
func (a *Assignment) findInOneRack(open int, candidates []*Candidate) (found []*Candidate, able bool) {
	racks := byRack(candidates)
	names := slices.Sorted(maps.Keys(racks))
	slices.SortStableFunc(names, func(x, y string) int { return cmp.Compare(a.nearness(y), a.nearness(x)) })
	for _, name := range names {
		if found = a.fillWhole(open, racks[name]); found != nil {
			return found, true
		}
		able = able || a.Group.wholeIn(racks[name])
	}
	return nil, able
}

// fillWhole assigns all tasks, or gives all room back.
func (a *Assignment) fillWhole(open int, candidates []*Candidate) []*Candidate {
	found := a.fill(open, candidates)
	if len(found) == open {
		return found
	}
	for _, c := range found {
		c.take(resource.Amount{}.Minus(a.Group.Resources))
		a.TaskCounts[c.Name]--
	}
	return nil
}

// fill takes the best worker for each task in turn, and stops at the first task that has
// none. An assignment changes the score of its own worker alone, so a heap of scores finds the
// next one without looking at all workers again.
func (a *Assignment) fill(open int, candidates []*Candidate) (found []*Candidate) {
	best := make(scoreHeap, 0, len(candidates))
	for i, c := range candidates {
		if a.CanPlace(c) {
			best = append(best, scored{a.score(c), i})
		}
	}
	heap.Init(&best)
	for len(found) < open && len(best) > 0 {
		c := candidates[best[0].index]
		c.take(a.Group.Resources)
		a.TaskCounts[c.Name]++
		found = append(found, c)
		if a.CanPlace(c) {
			best[0].score = a.score(c)
			heap.Fix(&best, 0)
		} else {
			heap.Pop(&best)
		}
	}
	return found
}

// CanPlace tells whether a worker's sure room holds one more. Queues below the most urgent ones
// leave a part of each worker to those, where they can do without it.
//
// Example: if search.May(candidate) { … }
func (a *Assignment) CanPlace(c *Candidate) bool {
	if a.Reserved[c.Name] || a.Group.MaxPerWorker > 0 && a.TaskCounts[c.Name] >= a.Group.MaxPerWorker {
		return false
	}
	if !a.Group.Resources.Fits(c.FreeAfterPreemption) {
		return false
	}
	if a.Urgent {
		return true
	}
	kept := UrgentHeadroom(c.Capacity, resource.Amount{}, a.HeadroomPercent)
	needsAll := !a.Group.Resources.Fits(c.Capacity.Minus(kept))
	return needsAll || a.Group.Resources.Fits(c.FreeAfterPreemption.Minus(kept))
}

// score prefers a worker that is free without a stop, then one near the data, then the
// emptiest; one that just failed the task comes last.
func (a *Assignment) score(c *Candidate) int64 {
	score := c.freeShare()
	if a.Group.Resources.Fits(c.Free) {
		score += scoreFree
	}
	if a.nearness(c.Rack) > 0 {
		score += scoreNear
	}
	if a.Group.Suspect[c.Name] {
		score -= scoreDoubted
	}
	if a.Group.Avoid[c.Name] {
		score -= scoreAvoided
	}
	return score
}

func (a *Assignment) nearness(rack string) int {
	if a.Group.DataRack != "" && a.Group.DataRack == rack {
		return 1
	}
	return 0
}

// LikeliestRack gives the workers of the rack that has sure room for most of a gang already,
// of those racks that could hold all of it and are not reserved; nil for none.
//
// Example: likely := group.LikeliestRack(candidates, reserved)
func (g *Group) LikeliestRack(candidates []*Candidate, reserved map[string]bool) (best []*Candidate) {
	isReserved := func(c *Candidate) bool { return reserved[c.Name] }
	racks := byRack(slices.DeleteFunc(slices.Clone(candidates), isReserved))
	mostHeld := int64(-1)
	for _, name := range slices.Sorted(maps.Keys(racks)) {
		if !g.wholeIn(racks[name]) {
			continue
		}
		held := int64(0)
		for _, c := range racks[name] {
			held += g.timesAt(c.FreeAfterPreemption)
		}
		if held > mostHeld {
			best, mostHeld = racks[name], held
		}
	}
	return best
}

// wholeIn tells whether workers hold all tasks of a group once nothing else is there.
func (g *Group) wholeIn(candidates []*Candidate) bool {
	times := int64(0)
	for _, c := range candidates {
		times += g.timesAt(c.Capacity)
	}
	return times >= int64(g.Size)
}

// timesAt is how many tasks of a group some room of one worker holds.
func (g *Group) timesAt(room resource.Amount) int64 {
	times := FitCount(g.Resources, room)
	if g.MaxPerWorker > 0 {
		times = min(times, int64(g.MaxPerWorker))
	}
	return times
}

// manyTimes stands for any number: what needs no room fits as often.
const manyTimes = 1 << 20

// FitCount is how often some room fits into another.
//
// Example: FitCount(resource.Amount{CPU: 2}, resource.Amount{CPU: 5}) is 2
func FitCount(room, in resource.Amount) int64 {
	times, wanted, had := int64(manyTimes), parts(room), parts(in)
	for i := range wanted {
		if wanted[i] > 0 {
			times = min(times, had[i]/wanted[i])
		}
	}
	return times
}

// IdleInSomeDimension tells whether, in some dimension, no more than a share of all room is in use.
//
// Example: idle := scheduler.IdleInSomeDimension(candidates, 55)
func IdleInSomeDimension(candidates []*Candidate, busyPercent int64) bool {
	var free, all resource.Amount
	for _, c := range candidates {
		free, all = free.Plus(c.Free), all.Plus(c.Capacity)
	}
	idle := all.Share(100 - busyPercent)
	return free.CPU > idle.CPU || free.Memory > idle.Memory || free.GPU > idle.GPU
}

// IdleInAllDimensions tells whether, in every dimension that workers have, no more than a share of
// all room is in use: then even room that is kept for others may go.
//
// Example: idle := scheduler.IdleInAllDimensions(candidates, 55)
func IdleInAllDimensions(candidates []*Candidate, busyPercent int64) bool {
	var free, all resource.Amount
	for _, c := range candidates {
		free, all = free.Plus(c.Free), all.Plus(c.Capacity)
	}
	return len(candidates) > 0 && all.Share(100-busyPercent).Fits(free)
}

// byRack groups workers by the rack they are in.
func byRack(candidates []*Candidate) map[string][]*Candidate {
	racks := map[string][]*Candidate{}
	for _, c := range candidates {
		racks[c.Rack] = append(racks[c.Rack], c)
	}
	return racks
}

// scored is a candidate by its position, with its score.
type scored struct {
	score int64
	index int
}

// scoreHeap has the best score on top; of equal ones the first candidate.
type scoreHeap []scored

func (h scoreHeap) Len() int      { return len(h) }
func (h scoreHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h scoreHeap) Less(i, j int) bool {
	return h[i].score > h[j].score || h[i].score == h[j].score && h[i].index < h[j].index
}

// Push is part of heap.Interface; nothing is ever pushed.
func (h *scoreHeap) Push(x any) { *h = append(*h, x.(scored)) }

// Pop is part of heap.Interface.
func (h *scoreHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
