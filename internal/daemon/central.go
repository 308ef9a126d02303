package daemon

import (
	"math"
	"slices"

	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

const (
	rankIntervalMs    = 3000               // the paper's and the design's round of ranks and targets
	rankStaleMs       = 3 * rankIntervalMs // three missed rounds: ranks and targets are ignored
	allocationStaleMs = 3000               // the central scheduler drops requests not repeated
	grantTimeoutMs    = 2500               // a grant not seen at the agent by then frees its room
	// a new central scheduler listens this long before it grants: agents speak each 300 ms
	centralRebuildMs  = 500
	unhealthyMs       = 10_000 // a slow worker gets no work for twice this long, doubled each time
	unhealthyTimesMax = 5
	allocateNowMax    = 64 // waiting requests up to which each event tries to grant; beyond, only ticks do
)

// centralScheduler is the central scheduler with the coordinator inside it. It holds
// no durable truth: a successor learns all from the agents' syncs and the
// owners' repeated requests.
type centralScheduler struct {
	epoch       uint64
	startMs     int64
	workers     map[string]*workerCapacity
	pending     map[allocationKey]*pendingAllocation
	nextRoundMs int64
	round       int64
	headroom    scheduler.HeadroomEstimator

	nextAllocationMs int64 // before this requests wait for the next pass
}

// allocationKey names a want by its first task's step: (job, round and step), or the
// task itself where tasks of a step aren't alike.
type allocationKey struct {
	Job  string
	Step int64
}

func allocationKeyOf(m *wire.AllocationRequest) allocationKey {
	if len(m.Tasks) == 0 {
		return allocationKey{m.Job, -1}
	}
	if round, step, _, ok := parseUniformTaskID(m.Tasks[0].Task); ok {
		return allocationKey{m.Job, uniformTaskID(round, step, 0)}
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

// isOpen tells whether a task has no grant.
func (p *pendingAllocation) isOpen(t wire.RequestedTask) bool {
	g, granted := p.granted[t.Task]
	return !granted || g.attempt != t.Attempt
}

// hasOpen tells whether some task has no grant.
func (p *pendingAllocation) hasOpen() bool {
	return slices.ContainsFunc(p.Tasks, p.isOpen)
}

// open gives the tasks without a grant.
func (p *pendingAllocation) open() []wire.RequestedTask {
	out := make([]wire.RequestedTask, 0, len(p.Tasks))
	for _, t := range p.Tasks {
		if p.isOpen(t) {
			out = append(out, t)
		}
	}
	return out
}

type workerCapacity struct {
	wire.AgentReport
	receivedMs       int64
	guaranteed       resource.Amount // room of the firm tasks it holds
	busy             resource.Amount // room of all it holds that is not ended
	unhealthyUntilMs int64           // unsound until
	unhealthyTimes   int64
}

// rankState is what this daemon last heard from the coordinator.
type rankState struct {
	epoch           uint64
	round           int64
	receivedMs      int64
	targetMs        int64
	roomShort       bool
	idle            bool            // most of all room was free
	headroomPercent resource.Amount // percent by dimension that is kept for the most urgent queues
	ranks           map[string]int64
	unhealthy       map[string]int8
	failRates       map[string]float64 // by queue
	added           map[string]int64   // estimates of what was placed from here since the round
}

// rank gives a worker's rank: the coordinator's, and what this daemon itself has
// sent there since. When the coordinator's word is stale only the latter counts.
func (r *rankState) rank(n *node, worker string) int64 {
	if r.ranks == nil || n.now-r.receivedMs > rankStaleMs {
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
	n.central = &centralScheduler{
		epoch:       epoch,
		startMs:     n.now,
		workers:     map[string]*workerCapacity{},
		pending:     map[allocationKey]*pendingAllocation{},
		nextRoundMs: n.now + centralRebuildMs,
	}
}

func (n *node) updateCentral(_ string, m *wire.AgentReport) {
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
	w.AgentReport, w.receivedMs = *m, n.now
	w.guaranteed, w.busy = resource.Amount{}, m.OtherShards // to the central scheduler all are others' attempts
	for _, status := range m.Attempts {
		if status.Class != wire.ClassGuaranteed {
			continue
		}
		w.guaranteed = w.guaranteed.Plus(status.Resources)
		key := allocationKey{status.Key.Job, status.Key.Task}
		if round, step, _, ok := parseUniformTaskID(status.Key.Task); ok {
			key.Step = uniformTaskID(round, step, 0)
		}
		if request := c.pending[key]; request != nil {
			if g, ok := request.granted[status.Key.Task]; ok && g.attempt <= status.Key.Attempt {
				delete(request.granted, status.Key.Task)
				request.Tasks = slices.DeleteFunc(
					request.Tasks,
					func(t wire.RequestedTask) bool { return t.Task == status.Key.Task && t.Attempt <= status.Key.Attempt },
				)
				if len(request.Tasks) == 0 {
					delete(c.pending, key)
				}
			}
		}
	}
	n.promote(c, w)
	if len(c.pending) <= allocateNowMax {
		n.allocateSoon(c)
	}
}

func (n *node) onAllocationRequest(from string, m *wire.AllocationRequest) {
	c := n.central
	if c == nil || !n.leases.Holds(lease.Central) || len(m.Tasks) == 0 {
		return
	}
	key := allocationKeyOf(m)
	request := c.pending[key]
	if request == nil {
		request = &pendingAllocation{firstMs: n.now, granted: map[int64]grantedTask{}}
		c.pending[key] = request
	}
	request.AllocationRequest, request.from, request.lastMs = *m, from, n.now
	for _, t := range m.Tasks { // still wanted some time after it was granted: the grant was lost or could not be taken
		if g, ok := request.granted[t.Task]; ok && (g.attempt != t.Attempt || n.now-g.atMs > regrantAfterMs) {
			delete(request.granted, t.Task)
		}
	}
	if len(c.pending) <= allocateNowMax {
		n.allocateSoon(c)
	}
}

// grantedRoom is the guaranteed room, by worker, that agents do not show yet.
func (c *centralScheduler) grantedRoom() map[string]resource.Amount {
	room := map[string]resource.Amount{}
	for _, request := range c.pending { // sums: the order does not matter
		for _, g := range request.granted {
			room[g.worker] = room[g.worker].Plus(request.Resources)
		}
	}
	return room
}

// promote makes long-running queueable tasks firm where the room is sure, so
// that their work is not thrown away.
func (n *node) promote(c *centralScheduler, w *workerCapacity) {
	if !n.leases.Holds(lease.Central) || n.now-c.startMs < centralRebuildMs || !n.Policies.On(scheduler.Promotion) {
		return
	}
	long := func(status wire.AttemptStatus) bool {
		return status.Class == wire.ClassQueueable && n.mayBePromoted(status.State, status.RanMs, status.EstimateMs)
	}
	if !slices.ContainsFunc(w.Attempts, long) {
		return
	}
	sure := w.Capacity.Minus(w.guaranteed).Minus(c.grantedRoom()[w.Worker])
	for _, status := range w.Attempts {
		if q := n.config.current.Queues[status.Queue]; q != nil && q.Batch != nil {
			continue // batches are never firm
		}
		if long(status) && status.Resources.Fits(sure) {
			sure = sure.Minus(status.Resources)
			n.send(w.Agent, &wire.Promotion{Worker: w.Worker, Epoch: w.Epoch, Key: status.Key})
		}
	}
}

func (n *node) tickCentral() {
	c := n.central
	if c == nil {
		return
	}
	for k, request := range c.pending { // each is judged alone, so the order does not matter
		for t, g := range request.granted {
			if n.now-g.atMs > grantTimeoutMs {
				delete(request.granted, t)
			}
		}
		if n.now-request.lastMs > allocationStaleMs {
			delete(c.pending, k)
		}
	}
	for _, name := range sortedKeys(c.workers) {
		if n.now-c.workers[name].receivedMs > workerForgetMs {
			delete(c.workers, name)
		}
	}
	n.observeUrgent(c)
	n.allocateAll(c)
	if n.now < c.nextRoundMs || !n.leases.Holds(lease.Central) {
		return
	}
	c.nextRoundMs += rankIntervalMs
	c.round++
	n.updateHealth(c)
	m := &wire.Ranks{
		Epoch: c.epoch, Round: c.round, GuaranteedWaiting: n.allocationsWait(c), HeadroomPercent: c.headroom.Percent(),
		Idle: scheduler.IdleInAllDimensions(n.candidateWorkers(c), busyPercent), FailRates: c.failRates(),
	}
	n.rankWorkers(c, m)
	// Ranks are for those that place tasks; agents need the rest.
	brief := *m
	brief.Ranks = nil
	owners := map[string]bool{n.Name: true}
	for _, s := range n.core.Shards {
		to, _ := n.leases.Holder(lease.ShardRole(s))
		owners[to] = true
	}
	for _, name := range n.peers.AliveNames() {
		if owners[name] {
			n.send(name, m)
		} else {
			n.send(name, &brief)
		}
	}
}

// rankWorkers puts the workers' ranks into a round, and the target that follows from them.
func (n *node) rankWorkers(c *centralScheduler, m *wire.Ranks) {
	var sum, sum2, count float64
	for _, name := range sortedKeys(c.workers) {
		w := c.workers[name]
		if n.now-w.receivedMs > rankIntervalMs {
			continue
		}
		v := wire.WorkerRank{Worker: name, RankMs: w.RankMs}
		if w.unhealthyUntilMs > n.now || w.Suspect {
			v.Unhealthy = healthEjected
		} else if w.Probation {
			v.Unhealthy = healthProbation
		}
		m.Ranks = append(m.Ranks, v)
		sum, sum2, count = sum+float64(w.RankMs), sum2+float64(w.RankMs)*float64(w.RankMs), count+1
	}
	if count > 1 {
		mean := sum / count
		m.TargetDelayMs = int64(mean + n.TargetSigma*math.Sqrt(max(0, sum2/count-mean*mean)))
	}
}

// observeUrgent takes what the most urgent queues hold at all workers now.
func (n *node) observeUrgent(c *centralScheduler) {
	if !n.Policies.On(scheduler.UrgentRoom) {
		return
	}
	var used, all resource.Amount
	for _, w := range c.workers { // a sum: the order does not matter
		if n.now-w.receivedMs < ownerContactMs {
			used, all = used.Plus(w.Urgent), all.Plus(w.Capacity)
		}
	}
	c.headroom.Observe(used, all)
}

// updateHealth finds workers that lag far more than their peers. A worker judged unhealthy is
// tried again with real work after a while. That it fails its tasks is its agent's to find.
func (n *node) updateHealth(c *centralScheduler) {
	var names []string
	var paces []scheduler.Pace
	for _, name := range sortedKeys(c.workers) {
		if w := c.workers[name]; n.now-w.receivedMs < ownerContactMs {
			names = append(names, name)
			paces = append(paces, scheduler.Pace{Succeeded: w.Succeeded, LagPercent: w.LagPercent})
		}
	}
	for _, at := range scheduler.SlowWorkers(paces) {
		w := c.workers[names[at]]
		if w.unhealthyUntilMs > n.now {
			continue
		}
		w.unhealthyTimes = min(w.unhealthyTimes+1, unhealthyTimesMax)
		w.unhealthyUntilMs = n.now + unhealthyMs<<w.unhealthyTimes
		n.log("worker_unhealthy", "worker", names[at], "lag_pct", w.LagPercent, "for_ms", w.unhealthyUntilMs-n.now)
	}
}

func (n *node) onRanks(_ string, m *wire.Ranks) {
	r := &n.ranks
	if m.Epoch < r.epoch || m.Epoch == r.epoch && m.Round <= r.round {
		return
	}
	*r = rankState{
		epoch:           m.Epoch,
		round:           m.Round,
		receivedMs:      n.now,
		targetMs:        m.TargetDelayMs,
		roomShort:       m.GuaranteedWaiting,
		idle:            m.Idle,
		headroomPercent: m.HeadroomPercent,
		ranks:           map[string]int64{},
		unhealthy:       map[string]int8{},
		failRates:       map[string]float64{},
	}
	for _, rate := range m.FailRates {
		r.failRates[rate.Queue] = float64(rate.PerMille) / perMille
	}
	for _, v := range m.Ranks {
		r.ranks[v.Worker] = v.RankMs
		if v.Unhealthy != 0 {
			r.unhealthy[v.Worker] = v.Unhealthy
		}
	}
	if m.TargetDelayMs > 0 && n.Policies.On(scheduler.DelayTarget) {
		for _, name := range sortedKeys(n.agents) {
			n.shed(n.agents[name], m.TargetDelayMs)
		}
	}
}
