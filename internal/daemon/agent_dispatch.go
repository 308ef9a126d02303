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
	// a queueable task of a more urgent queue waits this long, and may be called back meanwhile,
	// before it pushes others out
	urgentWaitMs = 350
)

func (n *node) stopAttempt(ag *workerAgent, h *agentAttempt, why wire.AttemptResult) {
	if h.stopMs == 0 {
		h.stopMs, h.stopReason = n.now, why
		n.log("run_stopped", "attempt", h.spec.Key.String(), "worker", ag.worker, "why", why.String(),
			"queue", h.spec.Queue, "class", h.spec.Class.String(), "ran_ms", n.now-max(h.startedMs, h.orderedMs),
			"percent", h.percent, "cpu", h.spec.Resources.CPU, "gang", h.spec.Gang)
	}
	if n.now-h.stopSentMs < 1000 && h.stopSentMs != 0 || ag.addr == "" || ag.colocated {
		return // an agent beside its worker says it in the answer to each heartbeat
	}
	h.stopSentMs = n.now
	n.count("stops_sent")
	n.emit(effOrder{Worker: ag.worker, Addr: ag.addr, Key: h.spec.Key, Stop: true, NotAfterMs: n.now + flightMs,
		Body: mustJSON(map[string]any{"id": h.spec.Key.String()})})
}

// startPending starts what may start now, by precedence (the queue's urgency, excess jobs last),
// then firm tasks before queueable ones, then by the age of the job. For firm tasks queueable runs of
// queues no more urgent are stopped, and they start once those ends are listed; short
// runs of more urgent queues are left to end. The orders of an agent beside its worker
// leave in the answer to a heartbeat only.
func (n *node) startPending(ag *workerAgent) {
	if !n.mayOrder(ag) {
		return
	}
	queue := n.returnBatches(ag, ag.waiting(n))
	if len(queue) == 0 {
		return
	}
	if ag.leaving || n.config.current.EmptyZones[ag.zone] {
		for _, h := range queue { // others can take them; they never started
			h.state, h.result = wire.AttemptEnded, wire.ResultShed
		}
		n.reportAgent(ag)
		return
	}
	avail, known := ag.available()
	if !known {
		return
	}
	for _, h := range queue {
		if !n.startOrSkip(ag, h, &avail) {
			return
		}
	}
}

// mayOrder tells whether this agent may give its worker orders now: nobody else may be
// its agent, it knows all that runs there, and configuration and report are fresh.
func (n *node) mayOrder(ag *workerAgent) bool {
	if !n.isActiveAgent(ag) || !ag.rebuilt || n.now-ag.tokenMs > reportMs || !n.configFresh() {
		return false
	}
	return !ag.colocated || ag.answering && ag.lapseUntilMs == 0
}

// available gives the worker's room that nothing holds; it isn't known while something
// runs there of which nobody has told yet how much it takes.
func (ag *workerAgent) available() (avail resource.Amount, known bool) {
	avail = ag.free
	for _, h := range ag.attempts {
		if h.state != wire.AttemptOrdered && h.state != wire.AttemptRunning {
			continue
		}
		if h.unknown {
			return avail, false
		}
		if ag.colocated || !h.listed {
			avail = avail.Minus(h.spec.Resources)
		}
	}
	return avail, true
}

// startOrSkip starts a waiting attempt if it may and fits into what is available, or makes
// room for it. It gives false where nothing behind it may start before it.
func (n *node) startOrSkip(ag *workerAgent, h *agentAttempt, avail *resource.Amount) bool {
	q := n.config.current.Queues[h.spec.Queue]
	_, lack := configuration.MissingLabel(ag.labels, h.spec.Needs)
	if q == nil || lack || !q.Matches(ag.labels, ag.zone) ||
		h.spec.PerWorker > 0 && ag.ofStep(h) >= int(h.spec.PerWorker) {
		h.state, h.result = wire.AttemptEnded, wire.ResultRejected
		n.reportAgent(ag)
		return true
	}
	if n.limits.Outdated(h.spec.Tenant, h.spec.LimitVersion) {
		h.state, h.result = wire.AttemptEnded, wire.ResultShed // its owner must have it counted anew
		n.reportAgent(ag)
		return true
	}
	if n.now-h.confirmedMs > contactMs {
		return true
	}
	if r := n.batchSpec(&h.spec); r != nil && (!h.spec.Resources.Fits(*avail) || !n.mayStartBatch(ag, h, r)) {
		return true
	}
	if h.spec.Resources.Fits(n.startRoom(ag, h, q, *avail)) {
		*avail = avail.Minus(h.spec.Resources)
		n.dispatch(ag, h)
		return true
	}
	if h.spec.Class == wire.ClassGuaranteed {
		n.preempt(ag, h, h.spec.Resources.Minus(*avail))
		*avail = avail.Minus(h.spec.Resources) // what is free and what gets free is kept for it
		return true
	}
	n.preempt(ag, h, h.spec.Resources.Minus(*avail)) // of lesser queues only, batches at once
	return n.now-h.queuedMs <= bypassMs
}

// startRoom is the part of a worker's available room that a waiting attempt may take.
func (n *node) startRoom(ag *workerAgent, h *agentAttempt, q *configuration.Queue, avail resource.Amount) resource.Amount {
	if h.spec.Class == wire.ClassGuaranteed || n.usesKeptRoom(q, h.spec.Excess) || !ag.colocated {
		return avail
	}
	if n.fleetIdle() && n.now-h.queuedMs > backfillMs && n.Policies.On(scheduler.Backfill) {
		return avail // no room is kept back from what waited this long while most of it is free
	}
	return avail.Minus(n.keptRoom(ag.capacity, ag.urgentHeld(n, wire.AttemptOrdered, wire.AttemptRunning)))
}

// ofStep counts the started tasks here that share a task's job, round and step.
func (ag *workerAgent) ofStep(h *agentAttempt) (count int) {
	round, step, _, ok := parseUniformTaskID(h.spec.Key.Task)
	for k, o := range ag.attempts {
		r, s, _, _ := parseUniformTaskID(k.Task)
		if ok && k.Job == h.spec.Key.Job && r == round && s == step &&
			(o.state == wire.AttemptOrdered || o.state == wire.AttemptRunning) {
			count++
		}
	}
	return count
}

// unstarted gives the unstarted tasks in the order they may start.
func (ag *workerAgent) waiting(n *node) []*agentAttempt {
	var out []*agentAttempt
	for _, key := range ag.keys() {
		if ag.attempts[key].state == wire.AttemptQueued {
			out = append(out, ag.attempts[key])
		}
	}
	precedence := func(h *agentAttempt) int64 { return n.precedence(h.spec.Queue, h.spec.Excess) }
	slices.SortStableFunc(out, func(a, b *agentAttempt) int {
		return cmp.Or(
			cmp.Compare(precedence(b), precedence(a)),
			cmp.Compare(a.spec.Class, b.spec.Class),
			cmp.Compare(a.spec.SubmittedMs, b.spec.SubmittedMs),
		)
	})
	return out
}

// preempt stops queueable runs until so much room is on its way, see scheduler.Victims. For a
// queueable task only runs of less urgent queues are stopped, and only if that is enough.
func (n *node) preempt(ag *workerAgent, pending *agentAttempt, lacking resource.Amount) {
	var attempts []*agentAttempt
	var runs []scheduler.Run
	for _, key := range ag.keys() {
		h := ag.attempts[key]
		if h.spec.Class != wire.ClassQueueable || h.state != wire.AttemptRunning {
			continue
		}
		if h.stopMs != 0 {
			lacking = lacking.Minus(h.spec.Resources)
			continue
		}
		if n.mayPreempt(pending, h) {
			attempts = append(attempts, h)
			runs = append(runs, scheduler.Run{
				Resources: h.spec.Resources, Urgency: n.precedence(h.spec.Queue, h.spec.Excess), RanMs: n.now - h.startedMs,
			})
		}
	}
	for _, at := range scheduler.Victims(runs, lacking, pending.spec.Class == wire.ClassGuaranteed) {
		n.count("preemptions")
		n.stopAttempt(ag, attempts[at], wire.ResultPreempted)
	}
}

// mayPreempt tells whether a queueable run may be stopped for a waiting task.
func (n *node) mayPreempt(pending, run *agentAttempt) bool {
	guaranteed := pending.spec.Class == wire.ClassGuaranteed
	if !guaranteed && n.now-pending.queuedMs <= urgentWaitMs && n.batchSpec(&run.spec) == nil {
		return false // it may be called back meanwhile
	}
	mine, others := n.precedence(pending.spec.Queue, pending.spec.Excess), n.precedence(run.spec.Queue, run.spec.Excess)
	return others < mine || guaranteed && others == mine
}

func (n *node) dispatch(ag *workerAgent, h *agentAttempt) {
	h.state, h.ordered, h.orderedMs, h.listed = wire.AttemptOrdered, true, n.now, false
	s := &h.spec
	n.count("orders_" + s.Class.String())
	if ag.colocated {
		h.orderSeq = ag.reportSeq
		ag.toStart = append(ag.toStart, h)
		return
	}
	payload := rawJSON(s.Payload)
	if len(s.Payload) == 0 {
		payload = "null"
	}
	tag := mustJSON(orderTag{s.Shard, s.Queue, s.Name, s.Class, s.Resources, s.LimitMs, s.EstimateMs, s.SubmittedMs})
	n.emit(effOrder{
		Worker: ag.worker,
		Addr:   ag.addr,
		Key:    s.Key,
		NotAfterMs: min(
			n.leases.HeldUntilMs(lease.AgentRole(ag.worker)),
			h.confirmedMs+contactMs,
			n.config.confirmedMs+configFreshMs,
			ag.tokenMs+reportMs,
		),
		Body: mustJSON(
			map[string]any{
				"id":       s.Key.String(),
				"job":      s.Key.Job,
				"name":     s.Name,
				"queue":    s.Queue,
				"class":    s.Class.String(),
				"room":     s.Resources,
				"limit_ms": s.LimitMs,
				"payload":  payload,
				"tag":      string(tag),
			},
		),
	})
}

var orderOutcomes = map[string]func(*node, *workerAgent, *agentAttempt){
	"started": func(n *node, _ *workerAgent, h *agentAttempt) {
		if h.state == wire.AttemptOrdered {
			h.state, h.startedMs, h.answeredMs = wire.AttemptRunning, n.now, n.now
		}
	},
	"turned_away": func(n *node, ag *workerAgent, h *agentAttempt) {
		if h.state == wire.AttemptOrdered {
			h.state, h.result, h.ordered = wire.AttemptEnded, wire.ResultRejected, false
			n.reportAgent(ag)
		}
	},
	"not_sent": func(n *node, _ *workerAgent, h *agentAttempt) {
		if h.state == wire.AttemptOrdered {
			h.state, h.ordered = wire.AttemptQueued, false
		}
	},
	// It may have started: it holds its room until the worker's report resolves it.
	"unknown": func(n *node, _ *workerAgent, h *agentAttempt) { n.count("orders_unconfirmed") },
}

func (n *node) onOrder(e evOrder) {
	ag := n.agents[e.Worker]
	if ag == nil || e.Stop {
		return
	}
	if h := ag.attempts[e.Key]; h != nil {
		orderOutcomes[e.Outcome](n, ag, h)
	}
}
