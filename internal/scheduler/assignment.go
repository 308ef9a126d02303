package scheduler

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"otterchute/internal/resource"
)

const (
	// perMille is the unit of the free capacity in a score; a fully free worker scores 1000.
	perMille = 1000
	// The bonuses of a worker where the task starts without preempting others, and of one near
	// its data. Each outweighs the sum of all smaller parts of a score.
	scoreNoPreemption = 1 << 40
	scoreNearData     = 1 << 30
	// suspectPenalty ranks a suspect worker after all others where the task starts without
	// preemption, but before those where it doesn't.
	suspectPenalty = 1 << 35
	// avoidedPenalty ranks a worker after all others if the task just failed there.
	avoidedPenalty = 1 << 50
)

// Candidate is a worker as the central scheduler sees it while it assigns tasks.
type Candidate struct {
	Name     string
	Rack     string
	Capacity resource.Amount
	// FreeAfterPreemption is the capacity that no guaranteed task occupies. It includes the capacity of
	// queueable tasks, since they can be preempted.
	FreeAfterPreemption resource.Amount
	// Free is the unoccupied capacity.
	Free resource.Amount
}

// reserve subtracts an amount from the free capacity; a negative amount returns it.
func (c *Candidate) reserve(amount resource.Amount) {
	c.FreeAfterPreemption, c.Free = c.FreeAfterPreemption.Minus(amount), c.Free.Minus(amount)
}

// freePerMille returns the free share of a worker in thousandths, the lower of CPU and memory.
func (c *Candidate) freePerMille() int64 {
	free := c.Free.CPU * perMille / max(c.Capacity.CPU, 1)
	if c.Capacity.Memory > 0 {
		free = min(free, c.Free.Memory*perMille/c.Capacity.Memory)
	}
	return free
}

// Group describes identical tasks and their requirements for workers.
type Group struct {
	Resources    resource.Amount // of each task
	Size         int             // total number of tasks, placed or not
	MaxPerWorker int32           // maximum on one worker; 0 for no limit
	Gang         bool            // all tasks start together or none does
	SameRack     bool            // the gang runs longer when spread over several racks
	DataRack     string          // the rack that holds the data; "" for none
	Avoid        map[string]bool // workers where tasks of the group just failed
	Suspect      map[string]bool // workers with failures that count against them
}

// Assignment assigns workers to the tasks of a group.
type Assignment struct {
	Group Group
	// TaskCounts is the number of tasks of the group on each worker. Find adds the assigned ones.
	TaskCounts map[string]int32
	// Reserved lists workers that are reserved for other tasks.
	Reserved map[string]bool
	// Urgent marks tasks of the most urgent queues, which may use the headroom.
	Urgent bool
	// HeadroomPercent is the headroom for urgent tasks on each worker, in percent by dimension.
	HeadroomPercent resource.Amount
	// WaitsForRack makes a gang that requests a single rack wait if some rack could ever hold it.
	WaitsForRack bool
}

// Find assigns workers to open tasks one by one while capacity is free or preemptible, and
// reserves that capacity. It assigns all tasks of a gang or none, in a single rack if the
// gang requests that and one has the capacity.
//
// Example: workers := assignment.Find(len(open), candidates)
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

// findInOneRack tries each rack, the one near the data first. It also reports whether some
// rack could hold the gang if it were otherwise empty.
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

// fillAllOrNone assigns all tasks, or returns the reserved capacity and assigns none.
func (a *Assignment) fillAllOrNone(open int, candidates []*Candidate) []*Candidate {
	found := a.fill(open, candidates)
	if len(found) == open {
		return found
	}
	for _, c := range found {
		c.reserve(resource.Amount{}.Minus(a.Group.Resources))
		a.TaskCounts[c.Name]--
	}
	return nil
}

// fill assigns the worker with the best score to each task in turn and stops when none is
// left. An assignment changes only the score of its own worker, so a heap finds the next best
// worker without a scan of all workers.
func (a *Assignment) fill(open int, candidates []*Candidate) (found []*Candidate) {
	scores := make(scoreHeap, 0, len(candidates))
	for i, c := range candidates {
		if a.CanPlace(c) {
			scores = append(scores, scored{a.score(c), i})
		}
	}
	heap.Init(&scores)
	for len(found) < open && len(scores) > 0 {
		c := candidates[scores[0].index]
		c.reserve(a.Group.Resources)
		a.TaskCounts[c.Name]++
		found = append(found, c)
		if a.CanPlace(c) {
			scores[0].score = a.score(c)
			heap.Fix(&scores, 0)
		} else {
			heap.Pop(&scores)
		}
	}
	return found
}

// CanPlace reports whether a worker can take one more task, preempting queueable tasks if
// necessary. Queues that are not urgent leave the headroom to urgent ones, unless the task would
// not fit next to the headroom even on an empty worker.
//
// Example: if assignment.CanPlace(candidate) { … }
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
	headroom := UrgentHeadroom(c.Capacity, resource.Amount{}, a.HeadroomPercent)
	needsHeadroom := !a.Group.Resources.Fits(c.Capacity.Minus(headroom))
	return needsHeadroom || a.Group.Resources.Fits(c.FreeAfterPreemption.Minus(headroom))
}

// score prefers workers where the task starts without preemption, then workers near its data,
// then the one with the most free capacity. A worker where the task just failed comes last.
func (a *Assignment) score(c *Candidate) int64 {
	score := c.freePerMille()
	if a.Group.Resources.Fits(c.Free) {
		score += scoreNoPreemption
	}
	if a.nearness(c.Rack) > 0 {
		score += scoreNearData
	}
	if a.Group.Suspect[c.Name] {
		score -= suspectPenalty
	}
	if a.Group.Avoid[c.Name] {
		score -= avoidedPenalty
	}
	return score
}

func (a *Assignment) nearness(rack string) int {
	if a.Group.DataRack != "" && a.Group.DataRack == rack {
		return 1
	}
	return 0
}

// LikeliestRack returns the workers of the rack that can hold the most tasks of a gang now,
// among the racks whose unreserved workers could hold all of it if they were otherwise empty;
// nil if there is no such rack.
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
			placeable += g.tasksFitting(c.FreeAfterPreemption)
		}
		if placeable > mostPlaceable {
			best, mostPlaceable = racks[name], placeable
		}
	}
	return best
}

// couldHoldAll reports whether the workers could hold all tasks of a group if they were empty.
func (g *Group) couldHoldAll(candidates []*Candidate) bool {
	count := int64(0)
	for _, c := range candidates {
		count += g.tasksFitting(c.Capacity)
	}
	return count >= int64(g.Size)
}

// tasksFitting returns how many tasks of a group fit into some capacity of one worker.
func (g *Group) tasksFitting(capacity resource.Amount) int64 {
	count := FitCount(g.Resources, capacity)
	if g.MaxPerWorker > 0 {
		count = min(count, int64(g.MaxPerWorker))
	}
	return count
}

// unlimitedFit is the result of FitCount for an empty amount.
const unlimitedFit = 1 << 20

// FitCount returns how many times a unit fits into some capacity.
//
// Example: FitCount(resource.Amount{CPU: 2}, resource.Amount{CPU: 5}) is 2
func FitCount(unit, capacity resource.Amount) int64 {
	count, needed, available := int64(unlimitedFit), components(unit), components(capacity)
	for i := range needed {
		if needed[i] > 0 {
			count = min(count, available[i]/needed[i])
		}
	}
	return count
}

// IdleInSomeDimension reports whether, in some dimension, less than busyPercent of the total
// capacity is in use.
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

// IdleInAllDimensions reports whether, in every dimension, at most busyPercent of the total
// capacity is in use. Then even capacity that is reserved for others may be used.
//
// Example: idle := scheduler.IdleInAllDimensions(candidates, 55)
func IdleInAllDimensions(candidates []*Candidate, busyPercent int64) bool {
	var free, all resource.Amount
	for _, c := range candidates {
		free, all = free.Plus(c.Free), all.Plus(c.Capacity)
	}
	return len(candidates) > 0 && all.Share(100-busyPercent).Fits(free)
}

// byRack groups workers by rack.
func byRack(candidates []*Candidate) map[string][]*Candidate {
	racks := map[string][]*Candidate{}
	for _, c := range candidates {
		racks[c.Rack] = append(racks[c.Rack], c)
	}
	return racks
}

// scored is the index of a candidate and its score.
type scored struct {
	score int64
	index int
}

// scoreHeap is a max-heap by score; of equal scores the lowest index comes first.
type scoreHeap []scored

func (h scoreHeap) Len() int      { return len(h) }
func (h scoreHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h scoreHeap) Less(i, j int) bool {
	return h[i].score > h[j].score || h[i].score == h[j].score && h[i].index < h[j].index
}

// Push implements heap.Interface; it is never called.
func (h *scoreHeap) Push(x any) { *h = append(*h, x.(scored)) }

// Pop implements heap.Interface.
func (h *scoreHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
