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
	rankIntervalMs    = 3000               // interval of the rounds of ranks and targets, as in the scheduling paper
	rankStaleMs       = 3 * rankIntervalMs // ranks and targets are ignored after three missed rounds
	allocationStaleMs = 3000               // requests that are not repeated within this time are dropped
	grantTimeoutMs    = 2500               // a grant that the agent has not reported after this time is released
	// centralRebuildMs is how long a new central scheduler collects reports before it grants anything:
	// agents report each centralReportMs.
	centralRebuildMs  = 500
	unhealthyMs       = 10_000 // a slow worker gets no work for twice this long, doubled each time
	unhealthyTimesMax = 5      // the duration is not doubled further after this many times
	allocateAtOnceMax = 64     // with more pending requests, only ticks run an allocation pass, not each message
)

// centralScheduler is the central scheduler, including the coordinator that computes ranks. It stores
// nothing durably: a successor rebuilds its state from the agents' reports and the owners' repeated
// requests.
type centralScheduler struct {
	epoch       uint64
	startMs     int64
	workers     map[string]*workerCapacity
	pending     map[allocationKey]*pendingAllocation
	nextRoundMs int64
	round       int64
	headroom    scheduler.HeadroomEstimator

	nextAllocationMs int64 // messages before this time run no allocation pass
}

// allocationKey identifies a request by its job and step: for a uniform step by the ID of its first task in
// the round, else by the task itself.
type allocationKey struct {
	Job  string
	Step int64
}

// allocationKeyOf returns the key of a request.
func allocationKeyOf(m *wire.AllocationRequest) allocationKey {
	if len(m.Tasks) == 0 {
		return allocationKey{m.Job, -1}
	}
	if round, step, _, ok := parseUniformTaskID(m.Tasks[0].Task); ok {
		return allocationKey{m.Job, uniformTaskID(round, step, 0)}
	}
	return allocationKey{m.Job, m.Tasks[0].Task}
}

// pendingAllocation is a request as its owner last repeated it, with the tasks granted so far.
type pendingAllocation struct {
	wire.AllocationRequest
	from    string // the owner that sent it
	firstMs int64
	lastMs  int64
	granted map[int64]grantedTask // task ID -> grant that no agent has reported yet
}

// grantedTask is the worker that was granted to one attempt of a task.
type grantedTask struct {
	attempt int32
	worker  string
	atMs    int64
}

// isOpen reports whether a task has no grant.
func (p *pendingAllocation) isOpen(t wire.RequestedTask) bool {
	g, granted := p.granted[t.Task]
	return !granted || g.attempt != t.Attempt
}

// hasOpen reports whether any task has no grant.
func (p *pendingAllocation) hasOpen() bool {
	return slices.ContainsFunc(p.Tasks, p.isOpen)
}

// open returns the tasks without a grant.
func (p *pendingAllocation) open() []wire.RequestedTask {
	out := make([]wire.RequestedTask, 0, len(p.Tasks))
	for _, t := range p.Tasks {
		if p.isOpen(t) {
			out = append(out, t)
		}
	}
	return out
}

// workerCapacity is a worker as the central scheduler tracks it from its agent's reports.
type workerCapacity struct {
	wire.AgentReport
	receivedMs       int64
	guaranteed       resource.Amount // held by guaranteed attempts
	occupied         resource.Amount // held by all attempts that have not ended
	unhealthyUntilMs int64           // gets no work until then, because it is slow
	unhealthyTimes   int64
}

// rankState is the coordinator's last round of ranks as received by this daemon.
type rankState struct {
	epoch             uint64
	round             int64
	receivedMs        int64
	targetMs          int64
	guaranteedWaiting bool            // requests for guaranteed resources were waiting
	idle              bool            // most of the fleet's resources were free
	headroomPercent   resource.Amount // percent of each dimension kept free for the most urgent queues
	ranks             map[string]int64
	unhealthy         map[string]int8
	failRates         map[string]float64 // queue -> fraction of attempts that fail
	addedMs           map[string]int64   // worker -> estimated run time placed there by this daemon since the round
}

// rank returns a worker's rank: the coordinator's rank plus the estimates of the tasks that this daemon has
// placed there since. While the coordinator's round is stale, it returns only the estimates.
func (r *rankState) rank(n *node, worker string) int64 {
	if r.ranks == nil || n.now-r.receivedMs > rankStaleMs {
		return r.addedMs[worker]
	}
	return r.ranks[worker] + r.addedMs[worker]
}

// add adds the estimated run time of a task that this daemon has placed at a worker.
func (r *rankState) add(worker string, estimateMs int64) {
	if r.addedMs == nil {
		r.addedMs = map[string]int64{}
	}
	r.addedMs[worker] += estimateMs
}

// startCentral creates the central scheduler when this daemon acquires its role.
func (n *node) startCentral(epoch uint64) {
	n.central = &centralScheduler{
		epoch:       epoch,
		startMs:     n.now,
		workers:     map[string]*workerCapacity{},
		pending:     map[allocationKey]*pendingAllocation{},
		nextRoundMs: n.now + centralRebuildMs,
	}
}

// updateCentral applies an agent's report: it updates the worker's capacity and removes the grants whose
// attempts the agent now reports.
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
	if m.Epoch < w.Epoch || m.Epoch == w.Epoch && m.SentMs < w.SentMs {
		return // from a former agent, or sent before the last one
	}
	w.AgentReport, w.receivedMs = *m, n.now
	w.guaranteed, w.occupied = resource.Amount{}, m.OtherShards // a report without a shard counts all attempts there
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
	if len(c.pending) <= allocateAtOnceMax {
		n.allocateSoon(c)
	}
}

// onAllocationRequest records a request or its repetition.
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
	for _, t := range m.Tasks { // requested again well after the grant: it was lost or could not be accepted
		if g, ok := request.granted[t.Task]; ok && (g.attempt != t.Attempt || n.now-g.atMs > regrantAfterMs) {
			delete(request.granted, t.Task)
		}
	}
	if len(c.pending) <= allocateAtOnceMax {
		n.allocateSoon(c)
	}
}

// grantedResources returns, by worker, the granted resources that agents have not reported yet.
func (c *centralScheduler) grantedResources() map[string]resource.Amount {
	byWorker := map[string]resource.Amount{}
	for _, request := range c.pending { // the order does not affect sums
		for _, g := range request.granted {
			byWorker[g.worker] = byWorker[g.worker].Plus(request.Resources)
		}
	}
	return byWorker
}

// promote makes queueable attempts that have run long guaranteed, as far as the worker's capacity for
// guaranteed tasks allows, so that their work is not lost to preemption.
func (n *node) promote(c *centralScheduler, w *workerCapacity) {
	if !n.leases.Holds(lease.Central) || n.now-c.startMs < centralRebuildMs || !n.Policies.On(scheduler.Promotion) {
		return
	}
	isPromotable := func(status wire.AttemptStatus) bool {
		return status.Class == wire.ClassQueueable && n.mayBePromoted(status.State, status.RanMs, status.EstimateMs)
	}
	if !slices.ContainsFunc(w.Attempts, isPromotable) {
		return
	}
	available := w.Capacity.Minus(w.guaranteed).Minus(c.grantedResources()[w.Worker])
	for _, status := range w.Attempts {
		if q := n.config.current.Queue(status.Queue); q != nil && q.Batch != nil {
			continue // batches are never guaranteed
		}
		if isPromotable(status) && status.Resources.Fits(available) {
			available = available.Minus(status.Resources)
			n.send(w.Agent, &wire.Promotion{Worker: w.Worker, Epoch: w.Epoch, Key: status.Key})
		}
	}
}

// tickCentral drops stale grants, requests and workers, runs an allocation pass, and sends a round of
// ranks when it is due.
func (n *node) tickCentral() {
	c := n.central
	if c == nil {
		return
	}
	for k, request := range c.pending { // requests are independent, so the order does not matter
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
	n.observeUrgentUse(c)
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
	// Only owners place tasks and need the ranks; agents need the rest.
	withoutRanks := *m
	withoutRanks.Ranks = nil
	owners := map[string]bool{n.Name: true}
	for _, s := range n.core.Shards {
		to, _ := n.leases.Holder(lease.ShardRole(s))
		owners[to] = true
	}
	for _, name := range n.peers.AliveNames() {
		if owners[name] {
			n.send(name, m)
		} else {
			n.send(name, &withoutRanks)
		}
	}
}

// rankWorkers adds the workers' ranks to a round, and the target delay derived from them.
func (n *node) rankWorkers(c *centralScheduler, m *wire.Ranks) {
	var sum, squareSum, count float64
	for _, name := range sortedKeys(c.workers) {
		w := c.workers[name]
		if n.now-w.receivedMs > rankIntervalMs {
			continue
		}
		rank := wire.WorkerRank{Worker: name, RankMs: w.RankMs}
		if w.unhealthyUntilMs > n.now || w.Suspect {
			rank.Unhealthy = healthEjected
		} else if w.Probation {
			rank.Unhealthy = healthProbation
		}
		m.Ranks = append(m.Ranks, rank)
		sum, squareSum, count = sum+float64(w.RankMs), squareSum+float64(w.RankMs)*float64(w.RankMs), count+1
	}
	if count > 1 {
		mean := sum / count
		m.TargetDelayMs = int64(mean + n.TargetSigma*math.Sqrt(max(0, squareSum/count-mean*mean)))
	}
}

// observeUrgentUse feeds the headroom estimate with the resources that the most urgent queues hold now.
func (n *node) observeUrgentUse(c *centralScheduler) {
	if !n.Policies.On(scheduler.UrgentRoom) {
		return
	}
	var used, capacity resource.Amount
	for _, w := range c.workers { // the order does not affect sums
		if n.now-w.receivedMs < ownerContactMs {
			used, capacity = used.Plus(w.Urgent), capacity.Plus(w.Capacity)
		}
	}
	c.headroom.Observe(used, capacity)
}

// updateHealth marks workers that are far slower than others as unhealthy for a while; after that they are
// tried again with real tasks. Workers that fail their tasks are detected by their agents.
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

// onRanks applies a round of the coordinator, and sheds queued tasks of agents above the target delay.
func (n *node) onRanks(_ string, m *wire.Ranks) {
	r := &n.ranks
	if m.Epoch < r.epoch || m.Epoch == r.epoch && m.Round <= r.round {
		return
	}
	*r = rankState{
		epoch:             m.Epoch,
		round:             m.Round,
		receivedMs:        n.now,
		targetMs:          m.TargetDelayMs,
		guaranteedWaiting: m.GuaranteedWaiting,
		idle:              m.Idle,
		headroomPercent:   m.HeadroomPercent,
		ranks:             map[string]int64{},
		unhealthy:         map[string]int8{},
		failRates:         map[string]float64{},
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
