package scheduler

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"otterchute/internal/resource"
)

const (
	// perMille is all of a worker's room, in the thousandths that a score counts in.
	perMille = 1000
	// What a score adds for a worker where the task starts without a stop, and for one near
	// its data. Each outweighs all that stands below it.
	scoreNoPreemption = 1 << 40
	scoreNearData     = 1 << 30
	// suspectPenalty is taken off a worker that anything speaks against: it comes after others where
	// the task starts without a stop, and before those where it doesn't.
	suspectPenalty = 1 << 35
	// avoidedPenalty is taken off a worker where the task just failed: it comes last.
	avoidedPenalty = 1 << 50
)

// Candidate is a worker as the central scheduler sees it while it assigns tasks.
type Candidate struct {
	Name     string
	Rack     string
	Capacity resource.Amount
	// Sure is the room that no guaranteed task holds. What queueable tasks hold counts as
	// room, since it can be freed.
	Sure resource.Amount
	// Free is the room that nothing holds.
	Free resource.Amount
}

// reserve has a candidate hold so much more; a negative amount gives room back.
func (c *Candidate) reserve(amount resource.Amount) {
	c.Sure, c.Free = c.Sure.Minus(amount), c.Free.Minus(amount)
}

// freePerMille is the part of a worker that is free, in thousandths, in its scarcer dimension.
func (c *Candidate) freePerMille() int64 {
	free := c.Free.CPU * perMille / max(c.Capacity.CPU, 1)
	if c.Capacity.Memory > 0 {
		free = min(free, c.Free.Memory*perMille/c.Capacity.Memory)
	}
	return free
}

// Group is what tasks that are alike ask of workers.
type Group struct {
	Resources resource.Amount // of each task
	Size      int             // tasks in all, placed or not
	PerWorker int32           // most of them on one worker; 0 for any number
	Gang      bool            // they start together or not at all
	SameRack  bool            // a gang that runs longer over several racks
	Near      string          // the rack that holds their data; "" for none
	Avoid     map[string]bool // workers where some of them just failed
	Doubted   map[string]bool // workers that anything speaks against
}

// Assignment searches sure room for the tasks of a group.
type Assignment struct {
	Group Group
	// Used counts the tasks of the group on each worker. Find adds what it assigns.
	Used map[string]int32
	// Reserved are workers kept for others.
	Reserved map[string]bool
	// Urgent is work of the most urgent queues: nothing is kept back from it.
	Urgent bool
	// Kept is the share of each worker, in percent, that other work leaves to urgent work.
	Kept resource.Amount
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
		found, feasible := a.findInOneRack(open, candidates)
		if found != nil || feasible && a.WaitsForRack {
			return found
		}
	}
	return a.fillAllOrNone(open, candidates)
}

// findInOneRack tries each rack, the one near the data first. It tells whether some rack
// could hold the gang once nothing else is there.
func (a *Assignment) findInOneRack(open int, candidates []*Candidate) (found []*Candidate, feasible bool) {
	racks := byRack(candidates)
	names := slices.Sorted(maps.Keys(racks))
	slices.SortStableFunc(names, func(x, y string) int { return cmp.Compare(a.nearness(y), a.nearness(x)) })
	for _, name := range names {
		if found = a.fillAllOrNone(open, racks[name]); found != nil {
			return found, true
		}
		feasible = feasible || a.Group.couldHoldAll(racks[name])
	}
	return nil, feasible
}

// fillAllOrNone assigns all tasks, or gives all room back.
func (a *Assignment) fillAllOrNone(open int, candidates []*Candidate) []*Candidate {
	found := a.fill(open, candidates)
	if len(found) == open {
		return found
	}
	for _, c := range found {
		c.reserve(resource.Amount{}.Minus(a.Group.Resources))
		a.Used[c.Name]--
	}
	return nil
}

// fill takes the best worker for each task in turn, and stops at the first task that has
// none. An assignment changes the score of its own worker alone, so a heap of scores finds the
// next one without looking at all workers again.
func (a *Assignment) fill(open int, candidates []*Candidate) (found []*Candidate) {
	scores := make(scoreHeap, 0, len(candidates))
	for i, c := range candidates {
		if a.May(c) {
			scores = append(scores, scored{a.score(c), i})
		}
	}
	heap.Init(&scores)
	for len(found) < open && len(scores) > 0 {
		c := candidates[scores[0].index]
		c.reserve(a.Group.Resources)
		a.Used[c.Name]++
		found = append(found, c)
		if a.May(c) {
			scores[0].score = a.score(c)
			heap.Fix(&scores, 0)
		} else {
			heap.Pop(&scores)
		}
	}
	return found
}

// May tells whether a worker's sure room holds one more. Queues below the most urgent ones
// leave a part of each worker to those, where they can do without it.
//
// Example: if search.May(candidate) { … }
func (a *Assignment) May(c *Candidate) bool {
	if a.Reserved[c.Name] || a.Group.PerWorker > 0 && a.Used[c.Name] >= a.Group.PerWorker {
		return false
	}
	if !a.Group.Resources.Fits(c.Sure) {
		return false
	}
	if a.Urgent {
		return true
	}
	headroom := KeptRoom(c.Capacity, resource.Amount{}, a.Kept)
	needsHeadroom := !a.Group.Resources.Fits(c.Capacity.Minus(headroom))
	return needsHeadroom || a.Group.Resources.Fits(c.Sure.Minus(headroom))
}

// score prefers a worker that is free without a stop, then one near the data, then the
// emptiest; one that just failed the task comes last.
func (a *Assignment) score(c *Candidate) int64 {
	score := c.freePerMille()
	if a.Group.Resources.Fits(c.Free) {
		score += scoreNoPreemption
	}
	if a.nearness(c.Rack) > 0 {
		score += scoreNearData
	}
	if a.Group.Doubted[c.Name] {
		score -= suspectPenalty
	}
	if a.Group.Avoid[c.Name] {
		score -= avoidedPenalty
	}
	return score
}

func (a *Assignment) nearness(rack string) int {
	if a.Group.Near != "" && a.Group.Near == rack {
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
	mostPlaceable := int64(-1)
	for _, name := range slices.Sorted(maps.Keys(racks)) {
		if !g.couldHoldAll(racks[name]) {
			continue
		}
		placeable := int64(0)
		for _, c := range racks[name] {
			placeable += g.tasksFitting(c.Sure)
		}
		if placeable > mostPlaceable {
			best, mostPlaceable = racks[name], placeable
		}
	}
	return best
}

// couldHoldAll tells whether workers hold all tasks of a group once nothing else is there.
func (g *Group) couldHoldAll(candidates []*Candidate) bool {
	count := int64(0)
	for _, c := range candidates {
		count += g.tasksFitting(c.Capacity)
	}
	return count >= int64(g.Size)
}

// tasksFitting is how many tasks of a group some room of one worker holds.
func (g *Group) tasksFitting(capacity resource.Amount) int64 {
	count := TimesIn(g.Resources, capacity)
	if g.PerWorker > 0 {
		count = min(count, int64(g.PerWorker))
	}
	return count
}

// unlimitedFit stands for any number: what needs no room fits as often.
const unlimitedFit = 1 << 20

// TimesIn is how often some room fits into another.
//
// Example: TimesIn(resource.Amount{CPU: 2}, resource.Amount{CPU: 5}) is 2
func TimesIn(unit, capacity resource.Amount) int64 {
	count, needed, available := int64(unlimitedFit), components(unit), components(capacity)
	for i := range needed {
		if needed[i] > 0 {
			count = min(count, available[i]/needed[i])
		}
	}
	return count
}

// MostlyIdle tells whether, in some dimension, no more than a share of all room is in use.
//
// Example: idle := scheduler.MostlyIdle(candidates, 55)
func MostlyIdle(candidates []*Candidate, busyPercent int64) bool {
	var free, all resource.Amount
	for _, c := range candidates {
		free, all = free.Plus(c.Free), all.Plus(c.Capacity)
	}
	idle := all.Share(100 - busyPercent)
	return free.CPU > idle.CPU || free.Memory > idle.Memory || free.GPU > idle.GPU
}

// IdleThroughout tells whether, in every dimension that workers have, no more than a share of
// all room is in use: then even room that is kept for others may go.
//
// Example: idle := scheduler.IdleThroughout(candidates, 55)
func IdleThroughout(candidates []*Candidate, busyPercent int64) bool {
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
