package daemon

import (
	"cmp"
	"slices"

	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

const (
	reserveMs     = 4000   // the longest-waiting firm task holds a worker back after this
	regrantMs     = 400    // a place still wanted this long after its grant was not taken
	spreadAfterMs = 1500   // a gang that wants one rack takes several after this, at the earliest
	rackWaitShare = 50     // percent of what its run takes longer over several that it waits for one
	rackWaitMost  = 15_000 // ms, and no longer than this
	// busyPercent is of all room in use: below it no reservation holds, for a job must not wait
	// beside idle workers.
	busyPercent = 55
	backfillMs  = 2000 // against anything that waited this long
)

// candidateWorker is a worker as the central scheduler sees it while it grants.
type candidateWorker struct {
	name             string
	guaranteed, free resource.Amount
	w                *workerCapacity
}

// allocateAll gives firm places in order of urgency and age, only where the room
// is sure: what queueable tasks hold counts as room, since it can be freed.
func (n *node) allocateAll(c *central) {
	if !n.leases.Holds(lease.Central) || n.now-c.startMs < rebuildMs || !n.configFresh() {
		return
	}
	keys := n.pendingInOrder(c)
	if len(keys) == 0 {
		return
	}
	rooms := n.candidateWorkers(c)
	reserved, idle := map[string]bool{}, n.Policies.On(scheduler.Backfill) && mostlyIdle(rooms)
	for _, k := range keys {
		ws := c.pending[k]
		q := n.config.current.Queues[ws.Queue]
		if q == nil {
			continue
		}
		fit, healthy := n.fittingWorkers(ws, q, rooms)
		search := n.newAssignmentSearch(ws, q, reserved)
		places := search.find(healthy)
		if len(places) == 0 && idle &&
			n.now-ws.firstMs > backfillMs { // no room is kept back from what waited this long while most of it is free
			search.reserved, search.urgent, search.anyRack = nil, true, true
			if places = search.find(healthy); len(places) == 0 {
				places = search.find(fit)
			}
		}
		if len(places) == 0 {
			n.reserve(ws, healthy, reserved, len(rooms))
			continue
		}
		n.sendAllocation(c, ws, places)
	}
}

// pendingInOrder gives the requests with open tasks: by the queue's urgency, then the job's age.
func (n *node) pendingInOrder(c *central) (keys []allocationKey) {
	for k, ws := range c.pending {
		if len(ws.open()) > 0 {
			keys = append(keys, k)
		}
	}
	urgency := func(k allocationKey) int64 { return n.config.current.Urgency(c.pending[k].Queue) }
	slices.SortFunc(keys, func(a, b allocationKey) int {
		return cmp.Or(cmp.Compare(urgency(b), urgency(a)), cmp.Compare(c.pending[a].SubmittedMs, c.pending[b].SubmittedMs),
			cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step))
	})
	return keys
}

// candidateWorkers gives the workers that may get work now, with the room they have.
func (n *node) candidateWorkers(c *central) (rooms []*candidateWorker) {
	for _, name := range sorted(c.workers) {
		w := c.workers[name]
		if n.now-w.heardMs >= contactMs || !w.Rebuilt || !w.Fresh || w.Leaving || n.config.current.EmptyZones[w.Zone] {
			continue
		}
		granted := c.granted(name)
		rooms = append(rooms, &candidateWorker{
			name:       name,
			guaranteed: w.Capacity.Minus(w.guaranteed).Minus(granted),
			free:       w.Capacity.Minus(w.busy).Minus(granted),
			w:          w,
		})
	}
	return rooms
}

// fittingWorkers gives the workers that a request's queue, labels and size allow, and those of
// them that are healthy: unhealthy ones count only where nothing else may ever do.
func (n *node) fittingWorkers(
	ws *pendingAllocation,
	q *configuration.Queue,
	rooms []*candidateWorker,
) (fit, healthy []*candidateWorker) {
	for _, r := range rooms {
		_, lack := configuration.MissingLabel(r.w.Labels, ws.Needs)
		if lack || !q.Matches(r.w.Labels, r.w.Zone) || !ws.Resources.Fits(r.w.Capacity) {
			continue
		}
		fit = append(fit, r)
		if n.Policies.On(scheduler.ShunQuiet) && r.w.Colocated && isQuiet(n.now-r.w.heardMs, r.w.SilentMs) {
			continue
		}
		if r.w.unhealthyUntilMs <= n.now && !r.w.Suspect || !n.Policies.On(scheduler.EjectUnhealthy) {
			healthy = append(healthy, r)
		}
	}
	if len(healthy) == 0 {
		healthy = fit
	}
	return fit, healthy
}

func (n *node) newAssignmentSearch(
	ws *pendingAllocation,
	q *configuration.Queue,
	reserved map[string]bool,
) *assignmentSearch {
	search := &assignmentSearch{
		n: n, ws: ws, used: map[string]int32{}, reserved: reserved,
		urgent: n.isUrgent(q), kept: n.central.urgent.Percent(),
	}
	for _, u := range ws.Used {
		search.used[u.Worker] += u.Count
	}
	for _, g := range ws.granted {
		search.used[g.worker]++
	}
	return search
}

// sendAllocation notes what is granted, and tells the request's owner.
func (n *node) sendAllocation(c *central, ws *pendingAllocation, places []assignment) {
	m := &wire.Allocation{Shard: ws.Shard, Job: ws.Job, Epoch: c.epoch}
	for _, p := range places {
		m.Places = append(m.Places, wire.AllocatedTask{Task: p.task.Task, Attempt: p.task.Attempt, Worker: p.at.name})
		ws.granted[p.task.Task] = grantedTask{p.task.Attempt, p.at.name, n.now}
		n.count("grants")
	}
	n.send(ws.from, m)
}

// mostlyIdle tells whether little more than half of the room is in use, in some
// dimension.
func mostlyIdle(rooms []*candidateWorker) bool {
	var free, all resource.Amount
	for _, r := range rooms {
		free, all = free.Plus(r.free), all.Plus(r.w.Capacity)
	}
	idle := all.Share(100 - busyPercent)
	return free.CPU > idle.CPU || free.Memory > idle.Memory || free.GPU > idle.GPU
}

// reserve lets a want that waited long keep the likeliest workers from those
// behind it: one worker for a task, as many as hold it whole for a gang. A gang
// that waits for one rack keeps workers of one rack, from the beginning: else
// others take what gets free there.
func (n *node) reserve(ws *pendingAllocation, fit []*candidateWorker, reserved map[string]bool, all int) {
	if !n.Policies.On(scheduler.Reservation) {
		return
	}
	var likely []*candidateWorker
	switch waitedMs := n.now - ws.firstMs; {
	case ws.Gang && ws.SameRack && waitedMs < n.rackWaitMs(ws):
		likely = ws.likeliestRack(fit, reserved)
	case waitedMs > reserveMs:
		likely = slices.Clone(fit)
	}
	slices.SortStableFunc(
		likely,
		func(a, b *candidateWorker) int { return cmp.Compare(b.guaranteed.CPU, a.guaranteed.CPU) },
	)
	need := int64(1)
	if ws.Gang {
		need = int64(len(ws.Tasks))
	}
	for _, r := range likely {
		if need <= 0 || 2*len(reserved) >= all && !ws.Gang {
			return
		}
		reserved[r.name] = true
		need -= timesIn(ws.Resources, r.w.Capacity)
	}
}

// rackWaitMs is how long a gang that asks for one rack waits for one: a part of
// what its run would take longer over several.
func (n *node) rackWaitMs(ws *pendingAllocation) int64 {
	longerMs := int64((n.SpreadFactor - 1) * float64(ws.EstimateMs))
	return min(max(longerMs*rackWaitShare/100, spreadAfterMs), rackWaitMost)
}

// byRack groups rooms by the rack they are in.
func byRack(rooms []*candidateWorker) map[string][]*candidateWorker {
	racks := map[string][]*candidateWorker{}
	for _, r := range rooms {
		racks[r.w.Rack] = append(racks[r.w.Rack], r)
	}
	return racks
}

// wholeIn tells whether workers hold all tasks of a want once nothing else is there.
func (ws *pendingAllocation) wholeIn(rooms []*candidateWorker) bool {
	times := int64(0)
	for _, r := range rooms {
		times += ws.timesAt(r.w.Capacity)
	}
	return times >= int64(len(ws.Tasks))
}

// timesAt is how many tasks of a want some room of one worker holds.
func (ws *pendingAllocation) timesAt(room resource.Amount) int64 {
	times := timesIn(ws.Resources, room)
	if ws.PerWorker > 0 {
		times = min(times, int64(ws.PerWorker))
	}
	return times
}

// likeliestRack gives the rooms of the rack that holds most of a gang already, of
// those that hold all of it once they are empty and are not reserved.
func (ws *pendingAllocation) likeliestRack(fit []*candidateWorker, reserved map[string]bool) []*candidateWorker {
	var best []*candidateWorker
	bestTimes := int64(-1)
	racks := byRack(slices.DeleteFunc(slices.Clone(fit), func(r *candidateWorker) bool { return reserved[r.name] }))
	for _, name := range sorted(racks) {
		if !ws.wholeIn(racks[name]) {
			continue
		}
		times := int64(0)
		for _, r := range racks[name] {
			times += ws.timesAt(r.guaranteed)
		}
		if times > bestTimes {
			best, bestTimes = racks[name], times
		}
	}
	return best
}

// timesIn is how often some room fits into another.
func timesIn(room, in resource.Amount) int64 {
	times := int64(1 << 20)
	for _, d := range [][2]int64{{room.CPU, in.CPU}, {room.Memory, in.Memory}, {room.GPU, in.GPU}} {
		if d[0] > 0 {
			times = min(times, d[1]/d[0])
		}
	}
	return times
}

// assignmentSearch finds places for one want among the rooms that may hold it.
type assignmentSearch struct {
	n        *node
	ws       *pendingAllocation
	used     map[string]int32 // tasks of the step on a worker
	reserved map[string]bool
	urgent   bool            // of the most urgent queues: nothing is kept back from it
	kept     resource.Amount // percent that the others leave to those
	anyRack  bool            // so much room is free that a gang doesn't wait for one rack
}

type assignment struct {
	task wire.RequestedTask
	at   *candidateWorker
}

// find gives places for as many open tasks as have sure room; for a gang all of
// them or none, in one rack where it asks for that and one can hold it.
func (f *assignmentSearch) find(fit []*candidateWorker) []assignment {
	open := f.ws.open()
	if !f.ws.Gang {
		return f.fill(open, fit)
	}
	if len(open) < len(f.ws.Tasks) {
		return nil
	}
	if f.ws.SameRack {
		racks, able := byRack(fit), false
		names := sorted(racks)
		slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(f.nearness(b), f.nearness(a)) })
		for _, name := range names {
			if p := f.fill(open, racks[name]); len(p) == len(open) {
				return p
			} else {
				f.undo(p)
			}
			able = able || f.ws.wholeIn(racks[name])
		}
		if able && f.waitsForRack() {
			return nil
		}
	}
	p := f.fill(open, fit)
	if len(p) < len(open) {
		f.undo(p)
		return nil
	}
	return p
}

// waitsForRack tells whether a gang still waits for room in one rack.
func (f *assignmentSearch) waitsForRack() bool {
	waitedMs := f.n.now - f.ws.firstMs
	if !f.n.Policies.On(scheduler.RackWait) {
		return false
	}
	if f.anyRack {
		return waitedMs < spreadAfterMs
	}
	return waitedMs < f.n.rackWaitMs(f.ws)
}

func (f *assignmentSearch) nearness(rack string) int {
	if f.ws.Near != "" && f.ws.Near == rack && f.n.Policies.On(scheduler.NearData) {
		return 1
	}
	return 0
}

// fill takes the best room for each task in turn, and stops at the first that has none.
func (f *assignmentSearch) fill(tasks []wire.RequestedTask, fit []*candidateWorker) (out []assignment) {
	for _, t := range tasks {
		var best *candidateWorker
		for _, r := range fit {
			if f.may(r) && (best == nil || f.score(r) > f.score(best)) {
				best = r
			}
		}
		if best == nil {
			return out
		}
		best.guaranteed, best.free = best.guaranteed.Minus(f.ws.Resources), best.free.Minus(f.ws.Resources)
		f.used[best.name]++
		out = append(out, assignment{t, best})
	}
	return out
}

func (f *assignmentSearch) undo(places []assignment) {
	for _, p := range places {
		p.at.guaranteed, p.at.free = p.at.guaranteed.Plus(f.ws.Resources), p.at.free.Plus(f.ws.Resources)
		f.used[p.at.name]--
	}
}

// may tells whether a worker's sure room holds one more. Queues below the most
// urgent ones leave a part of each worker to those, where they can do without it.
func (f *assignmentSearch) may(r *candidateWorker) bool {
	if f.reserved[r.name] || f.ws.PerWorker > 0 && f.used[r.name] >= f.ws.PerWorker {
		return false
	}
	sure, kept := r.guaranteed, scheduler.KeptRoom(r.w.Capacity, resource.Amount{}, f.kept)
	if !f.urgent && f.ws.Resources.Fits(r.w.Capacity.Minus(kept)) {
		sure = sure.Minus(kept)
	}
	return f.ws.Resources.Fits(sure)
}

// score prefers a worker that is free without a stop, then one near the data,
// then the emptiest; one that just failed the task comes last.
func (f *assignmentSearch) score(r *candidateWorker) int64 {
	s := r.free.CPU * 1000 / max(r.w.Capacity.CPU, 1)
	if r.w.Capacity.Memory > 0 {
		s = min(s, r.free.Memory*1000/r.w.Capacity.Memory)
	}
	s += 1000 * 1000
	if f.ws.Resources.Fits(r.free) {
		s += 1 << 40
	}
	if f.nearness(r.w.Rack) > 0 {
		s += 1 << 30
	}
	if r.name == f.ws.Avoid && f.n.Policies.On(scheduler.AvoidLast) {
		s -= 1 << 50
	}
	return s
}
