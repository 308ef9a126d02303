package daemon

import (
	"cmp"
	"math"
	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/wire"
	"slices"
)

// central is the central scheduler with the coordinator inside it. It holds
// no durable truth: a successor learns all from the agents' syncs and the
// owners' repeated asks.
type central struct {
	epoch   uint64
	startMs int64
	workers map[string]*workerCapacity
	pending map[allocationKey]*pendingAllocation
	roundAt int64
	round   int64
}

// allocationKey names a want by its first task's step: (job, round and step), or the
// task itself where tasks of a step aren't alike.
type allocationKey struct {
	Job  string
	Step int64
}

func keyOf(m *wire.AllocationRequest) allocationKey {
	if len(m.Tasks) == 0 {
		return allocationKey{m.Job, -1}
	}
	if round, step, _, ok := placeOf(m.Tasks[0].Task); ok {
		return allocationKey{m.Job, placeID(round, step, 0)}
	}
	return allocationKey{m.Job, m.Tasks[0].Task}
}

type pendingAllocation struct {
	wire.AllocationRequest
	from    string
	firstMs int64
	lastMs  int64
	granted map[int64]grantedTask // by task
}

type grantedTask struct {
	attempt int32
	worker  string
	atMs    int64
}

// open gives the tasks without a grant.
func (ws *pendingAllocation) open() []wire.RequestedTask {
	out := make([]wire.RequestedTask, 0, len(ws.Tasks))
	for _, t := range ws.Tasks {
		if g, ok := ws.granted[t.Task]; !ok || g.attempt != t.Attempt {
			out = append(out, t)
		}
	}
	return out
}

type workerCapacity struct {
	wire.AgentReport
	heardMs          int64
	firmKeys         map[wire.AttemptKey]bool
	firm             resource.Amount // room of the firm tasks it holds
	busy             resource.Amount // room of all it holds that is not ended
	unhealthyUntilMs int64           // unsound until
	unhealthyTimes   int64
}

// rankState is what this daemon last heard from the coordinator.
type rankState struct {
	epoch     uint64
	round     int64
	heardMs   int64
	targetMs  int64
	short     bool
	ranks     map[string]int64
	unhealthy map[string]int8
	added     map[string]int64 // estimates of what was placed from here since the round
}

// of gives a worker's rank: the coordinator's, and what this daemon itself has
// sent there since. When the coordinator's word is stale only the latter counts.
func (r *rankState) of(n *node, worker string) int64 {
	if r.ranks == nil || n.now-r.heardMs > rankStaleMs {
		return r.added[worker]
	}
	return r.ranks[worker] + r.added[worker]
}

func (r *rankState) add(worker string, estMs int64) {
	if r.added == nil {
		r.added = map[string]int64{}
	}
	r.added[worker] += estMs
}

func (n *node) startCentral(epoch uint64) {
	n.central = &central{epoch: epoch, startMs: n.now, workers: map[string]*workerCapacity{}, pending: map[allocationKey]*pendingAllocation{}, roundAt: n.now + rebuildMs}
}

func (n *node) syncCentral(_ string, m *wire.AgentReport) {
	c := n.central
	if c == nil {
		return
	}
	w := c.workers[m.Worker]
	if w == nil {
		w = &workerCapacity{}
		c.workers[m.Worker] = w
	}
	if m.Epoch < w.Epoch {
		return
	}
	w.AgentReport, w.heardMs, w.firm, w.busy, w.firmKeys = *m, n.now, resource.Amount{}, resource.Amount{}, map[wire.AttemptKey]bool{}
	for _, h := range m.Attempts {
		w.busy = w.busy.Plus(h.Resources)
		if h.Class != wire.ClassGuaranteed {
			continue
		}
		w.firm = w.firm.Plus(h.Resources)
		w.firmKeys[h.Key] = true
		key := allocationKey{h.Key.Job, h.Key.Task}
		if round, step, _, ok := placeOf(h.Key.Task); ok {
			key.Step = placeID(round, step, 0)
		}
		if ws := c.pending[key]; ws != nil {
			if g, ok := ws.granted[h.Key.Task]; ok && g.attempt <= h.Key.Attempt {
				delete(ws.granted, h.Key.Task)
				ws.Tasks = slices.DeleteFunc(ws.Tasks, func(t wire.RequestedTask) bool { return t.Task == h.Key.Task && t.Attempt <= h.Key.Attempt })
				if len(ws.Tasks) == 0 {
					delete(c.pending, key)
				}
			}
		}
	}
	n.promote(c, w)
	if len(c.pending) <= allocateNowMax {
		n.allocateAll(c)
	}
}

func (n *node) onAllocationRequest(from string, m *wire.AllocationRequest) {
	c := n.central
	if c == nil || !n.leases.Holds(lease.Central) || len(m.Tasks) == 0 {
		return
	}
	key := keyOf(m)
	ws := c.pending[key]
	if ws == nil {
		ws = &pendingAllocation{firstMs: n.now, granted: map[int64]grantedTask{}}
		c.pending[key] = ws
	}
	ws.AllocationRequest, ws.from, ws.lastMs = *m, from, n.now
	for _, t := range m.Tasks { // still wanted some time after it was granted: the grant was lost or could not be taken
		if g, ok := ws.granted[t.Task]; ok && (g.attempt != t.Attempt || n.now-g.atMs > regrantMs) {
			delete(ws.granted, t.Task)
		}
	}
	if len(c.pending) <= allocateNowMax {
		n.allocateAll(c)
	}
}

// promised is the firm room of a worker that its agent does not show yet.
func (c *central) promised(worker string) (room resource.Amount) {
	for _, ws := range c.pending {
		for _, g := range ws.granted {
			if g.worker == worker {
				room = room.Plus(ws.Resources)
			}
		}
	}
	return room
}

// candidateWorker is a worker as the central scheduler sees it while it grants.
type candidateWorker struct {
	name       string
	sure, free resource.Amount
	w          *workerCapacity
}

// allocateAll gives firm places in order of urgency and age, only where the room
// is sure: what queueable tasks hold counts as room, since it can be freed.
func (n *node) allocateAll(c *central) {
	if !n.leases.Holds(lease.Central) || n.now-c.startMs < rebuildMs || !n.configFresh() {
		return
	}
	var keys []allocationKey
	for k, ws := range c.pending {
		if len(ws.open()) > 0 {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	urgency := func(k allocationKey) int64 { return n.config.current.Urgency(c.pending[k].Queue) }
	slices.SortFunc(keys, func(a, b allocationKey) int {
		return cmp.Or(cmp.Compare(urgency(b), urgency(a)), cmp.Compare(c.pending[a].SubmittedMs, c.pending[b].SubmittedMs),
			cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step))
	})
	var rooms []*candidateWorker
	for _, name := range sorted(c.workers) {
		w := c.workers[name]
		if n.now-w.heardMs < contactMs && w.Rebuilt && w.Fresh && !w.Leaving && !n.config.current.EmptyZones[w.Zone] {
			p := c.promised(name)
			rooms = append(rooms, &candidateWorker{name: name, sure: w.Capacity.Minus(w.firm).Minus(p), free: w.Capacity.Minus(w.busy).Minus(p), w: w})
		}
	}
	reserved, idle := map[string]bool{}, mostlyIdle(rooms)
	for _, k := range keys {
		ws := c.pending[k]
		q := n.config.current.Queues[ws.Queue]
		if q == nil {
			continue
		}
		var fit, sound []*candidateWorker
		for _, r := range rooms {
			if _, lack := configuration.MissingLabel(r.w.Labels, ws.Needs); !lack && q.Matches(r.w.Labels, r.w.Zone) && ws.Resources.Fits(r.w.Capacity) {
				fit = append(fit, r)
				if r.w.unhealthyUntilMs <= n.now && !r.w.Suspect {
					sound = append(sound, r)
				}
			}
		}
		if len(sound) == 0 { // unsound workers only where nothing else may ever do
			sound = fit
		}
		f := &fitting{n: n, ws: ws, used: map[string]int32{}, reserved: reserved, urgent: q.Urgency >= n.config.current.Highest}
		for _, u := range ws.Used {
			f.used[u.Worker] += u.Count
		}
		for _, g := range ws.granted {
			f.used[g.worker]++
		}
		places := f.find(sound)
		if len(places) == 0 && idle && n.now-ws.firstMs > backfillMs { // no room is kept back from what waited this long while most of it is free
			f.reserved, f.urgent, f.anyRack = nil, true, true
			if places = f.find(sound); len(places) == 0 {
				places = f.find(fit)
			}
		}
		if len(places) == 0 {
			n.reserve(ws, sound, reserved, len(rooms))
			continue
		}
		m := &wire.Allocation{Shard: ws.Shard, Job: ws.Job, Epoch: c.epoch}
		for _, p := range places {
			m.Places = append(m.Places, wire.AllocatedTask{Task: p.task.Task, Attempt: p.task.Attempt, Worker: p.at.name})
			ws.granted[p.task.Task] = grantedTask{p.task.Attempt, p.at.name, n.now}
			n.count("grants")
		}
		n.send(ws.from, m)
	}
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
	var likely []*candidateWorker
	switch waitedMs := n.now - ws.firstMs; {
	case ws.Gang && ws.SameRack && waitedMs < n.rackWaitMs(ws):
		likely = ws.likeliestRack(fit, reserved)
	case waitedMs > reserveMs:
		likely = slices.Clone(fit)
	}
	slices.SortStableFunc(likely, func(a, b *candidateWorker) int { return cmp.Compare(b.sure.CPU, a.sure.CPU) })
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
			times += ws.timesAt(r.sure)
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

// fitting finds places for one want among the rooms that may hold it.
type fitting struct {
	n        *node
	ws       *pendingAllocation
	used     map[string]int32 // tasks of the step on a worker
	reserved map[string]bool
	urgent   bool // of the most urgent queues: nothing is kept back from it
	anyRack  bool // so much room is free that a gang doesn't wait for one rack
}

type assignment struct {
	task wire.RequestedTask
	at   *candidateWorker
}

// find gives places for as many open tasks as have sure room; for a gang all of
// them or none, in one rack where it asks for that and one can hold it.
func (f *fitting) find(fit []*candidateWorker) []assignment {
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
func (f *fitting) waitsForRack() bool {
	waitedMs := f.n.now - f.ws.firstMs
	if f.anyRack {
		return waitedMs < spreadAfterMs
	}
	return waitedMs < f.n.rackWaitMs(f.ws)
}

func (f *fitting) nearness(rack string) int {
	if f.ws.Near != "" && f.ws.Near == rack {
		return 1
	}
	return 0
}

// fill takes the best room for each task in turn, and stops at the first that has none.
func (f *fitting) fill(tasks []wire.RequestedTask, fit []*candidateWorker) (out []assignment) {
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
		best.sure, best.free = best.sure.Minus(f.ws.Resources), best.free.Minus(f.ws.Resources)
		f.used[best.name]++
		out = append(out, assignment{t, best})
	}
	return out
}

func (f *fitting) undo(places []assignment) {
	for _, p := range places {
		p.at.sure, p.at.free = p.at.sure.Plus(f.ws.Resources), p.at.free.Plus(f.ws.Resources)
		f.used[p.at.name]--
	}
}

// may tells whether a worker's sure room holds one more. Queues below the most
// urgent ones leave a part of each worker to those, where they can do without it.
func (f *fitting) may(r *candidateWorker) bool {
	if f.reserved[r.name] || f.ws.PerWorker > 0 && f.used[r.name] >= f.ws.PerWorker {
		return false
	}
	sure, kept := r.sure, r.w.Capacity.Share(urgentRoom)
	if !f.urgent && f.ws.Resources.Fits(r.w.Capacity.Minus(kept)) {
		sure = sure.Minus(kept)
	}
	return f.ws.Resources.Fits(sure)
}

// score prefers a worker that is free without a stop, then one near the data,
// then the emptiest; one that just failed the task comes last.
func (f *fitting) score(r *candidateWorker) int64 {
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
	if r.name == f.ws.Avoid {
		s -= 1 << 50
	}
	return s
}

// promote makes long-running queueable tasks firm where the room is sure, so
// that their work is not thrown away.
func (n *node) promote(c *central, w *workerCapacity) {
	if !n.leases.Holds(lease.Central) || n.now-c.startMs < rebuildMs {
		return
	}
	sure := w.Capacity.Minus(w.firm).Minus(c.promised(w.Worker))
	for _, h := range w.Attempts {
		if q := n.config.current.Queues[h.Queue]; q != nil && q.Batch != nil {
			continue // batches are never firm
		}
		if h.Class == wire.ClassQueueable && h.State == wire.AttemptRunning && h.RanMs > max(2*h.EstimateMs, n.ThresholdMs) && h.Resources.Fits(sure) {
			sure = sure.Minus(h.Resources)
			n.send(w.Agent, &wire.Promotion{Worker: w.Worker, Epoch: w.Epoch, Key: h.Key})
		}
	}
}

func (n *node) tickCentral() {
	c := n.central
	if c == nil {
		return
	}
	for k, ws := range c.pending { // each is judged alone, so the order does not matter
		for t, g := range ws.granted {
			if n.now-g.atMs > grantMs {
				delete(ws.granted, t)
			}
		}
		if n.now-ws.lastMs > allocationStaleMs {
			delete(c.pending, k)
		}
	}
	for _, name := range sorted(c.workers) {
		if n.now-c.workers[name].heardMs > forgetMs {
			delete(c.workers, name)
		}
	}
	n.allocateAll(c)
	if n.now < c.roundAt || !n.leases.Holds(lease.Central) {
		return
	}
	c.roundAt += rankMs
	c.round++
	n.judgeHealth(c)
	m := &wire.Ranks{Epoch: c.epoch, Round: c.round, WaitsForRoom: n.allocationsWait(c)}
	var sum, sum2, count float64
	for _, name := range sorted(c.workers) {
		w := c.workers[name]
		if n.now-w.heardMs > rankMs {
			continue
		}
		v := wire.WorkerRank{Worker: name, RankMs: w.RankMs}
		if w.unhealthyUntilMs > n.now || w.Suspect {
			v.Unhealthy = 1
		}
		m.Ranks = append(m.Ranks, v)
		sum, sum2, count = sum+float64(w.RankMs), sum2+float64(w.RankMs)*float64(w.RankMs), count+1
	}
	if count > 1 {
		mean := sum / count
		m.TargetMs = int64(mean + n.TargetSigma*math.Sqrt(max(0, sum2/count-mean*mean)))
	}
	// Ranks are for those that place tasks; agents need the target alone.
	brief := &wire.Ranks{Epoch: m.Epoch, Round: m.Round, TargetMs: m.TargetMs}
	owners := map[string]bool{n.Name: true}
	for _, s := range n.core.Shards {
		to, _ := n.leases.Holder(lease.ShardRole(s))
		owners[to] = true
	}
	for _, name := range n.peers.AliveNames() {
		if owners[name] {
			n.send(name, m)
		} else {
			n.send(name, brief)
		}
	}
}

// judgeHealth finds workers that fail or lag far more than their siblings.
// Where most look bad the jobs are, and nobody is judged. A worker judged
// unsound is tried again with real work after a while.
func (n *node) judgeHealth(c *central) {
	var bad []string
	for _, name := range sorted(c.workers) {
		w := c.workers[name]
		var oks, fails, lag, others int64
		for other, o := range c.workers {
			if other != name && n.now-o.heardMs < contactMs {
				oks, fails, lag, others = oks+o.Succeeded, fails+o.Failed, lag+o.LagPercent, others+1
			}
		}
		if others == 0 || w.unhealthyUntilMs > n.now {
			continue
		}
		rate := float64(w.Failed) / float64(max(1, w.Succeeded+w.Failed))
		rest := float64(fails) / float64(max(1, oks+fails))
		if w.Succeeded+w.Failed >= healthMinEnds && rate > 0.25 && rate > 3*rest ||
			w.Succeeded >= healthMinEnds && w.LagPercent > 300 && w.LagPercent > 3*lag/others {
			bad = append(bad, name)
		}
	}
	if 2*len(bad) > len(c.workers) {
		return
	}
	for _, name := range bad {
		w := c.workers[name]
		w.unhealthyTimes = min(w.unhealthyTimes+1, 5)
		w.unhealthyUntilMs = n.now + 10_000<<w.unhealthyTimes
		n.log("worker_unsound", "worker", name, "fails", w.Failed, "oks", w.Succeeded, "lag_pct", w.LagPercent, "for_ms", w.unhealthyUntilMs-n.now)
	}
}

func (n *node) onRanks(_ string, m *wire.Ranks) {
	r := &n.ranks
	if m.Epoch < r.epoch || m.Epoch == r.epoch && m.Round <= r.round {
		return
	}
	*r = rankState{epoch: m.Epoch, round: m.Round, heardMs: n.now, targetMs: m.TargetMs, short: m.WaitsForRoom, ranks: map[string]int64{}, unhealthy: map[string]int8{}}
	for _, v := range m.Ranks {
		r.ranks[v.Worker] = v.RankMs
		if v.Unhealthy != 0 {
			r.unhealthy[v.Worker] = v.Unhealthy
		}
	}
	if m.TargetMs > 0 {
		for _, name := range sorted(n.agents) {
			n.shed(n.agents[name], m.TargetMs)
		}
	}
}
