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

func (n *node) stopAttempt(agent *workerAgent, attempt *agentAttempt, why wire.AttemptResult) {
	if attempt.stopMs == 0 {
		attempt.stopMs, attempt.stopReason = n.now, why
		n.log("run_stopped", "attempt", attempt.spec.Key.String(), "worker", agent.worker, "why", why.String(),
			"queue", attempt.spec.Queue, "class", attempt.spec.Class.String(), "ran_ms",
			n.now-max(attempt.startedMs, attempt.orderedMs),
			"percent", attempt.percent, "cpu", attempt.spec.Resources.CPU, "gang", attempt.spec.Gang)
	}
	if n.now-attempt.stopSentMs < 1000 && attempt.stopSentMs != 0 || agent.addr == "" || agent.colocated {
		return // an agent beside its worker says it in the answer to each heartbeat
	}
	attempt.stopSentMs = n.now
	n.count("stops_sent")
	n.emit(effOrder{Worker: agent.worker, Addr: agent.addr, Key: attempt.spec.Key, Stop: true,
		NotAfterMs: n.now + orderTimeoutMs, Body: mustJSON(map[string]any{"id": attempt.spec.Key.String()})})
}

// startPending starts what may start now, by precedence (the queue's urgency, excess jobs last),
// then firm tasks before queueable ones, then by the age of the job. For firm tasks queueable runs of
// queues no more urgent are stopped, and they start once those ends are listed; short
// runs of more urgent queues are left to end. The orders of an agent beside its worker
// leave in the answer to a heartbeat only.
func (n *node) startPending(agent *workerAgent) {
	if !n.mayOrder(agent) {
		return
	}
	queue := n.returnBatches(agent, agent.queuedAttempts(n))
	if len(queue) == 0 {
		return
	}
	if agent.leaving || n.config.current.EmptyZones[agent.zone] {
		for _, attempt := range queue { // others can take them; they never started
			attempt.state, attempt.result = wire.AttemptEnded, wire.ResultShed
		}
		n.reportAgent(agent)
		return
	}
	avail, known := agent.available()
	if !known {
		return
	}
	for _, attempt := range queue {
		if !n.startOrSkip(agent, attempt, &avail) {
			return
		}
	}
}

// mayOrder tells whether this agent may give its worker orders now: nobody else may be
// its agent, it knows all that runs there, and configuration and report are fresh.
func (n *node) mayOrder(agent *workerAgent) bool {
	if !n.isActiveAgent(agent) || !agent.rebuilt || n.now-agent.tokenMs > workerReportMaxAgeMs || !n.configFresh() {
		return false
	}
	return !agent.colocated || agent.answering && agent.lapseUntilMs == 0
}

// available gives the worker's room that nothing holds; it isn't known while something
// runs there of which nobody has told yet how much it takes.
func (a *workerAgent) available() (avail resource.Amount, known bool) {
	avail = a.free
	for _, attempt := range a.attempts {
		if attempt.state != wire.AttemptOrdered && attempt.state != wire.AttemptRunning {
			continue
		}
		if attempt.specUnknown {
			return avail, false
		}
		if a.colocated || !attempt.listed {
			avail = avail.Minus(attempt.spec.Resources)
		}
	}
	return avail, true
}

// startOrSkip starts a waiting attempt if it may and fits into what is available, or makes
// room for it. It gives false where nothing behind it may start before it.
func (n *node) startOrSkip(agent *workerAgent, attempt *agentAttempt, avail *resource.Amount) bool {
	q := n.config.current.Queues[attempt.spec.Queue]
	_, lack := configuration.MissingLabel(agent.labels, attempt.spec.RequiredLabels)
	if q == nil || lack || !q.Matches(agent.labels, agent.zone) ||
		attempt.spec.MaxPerWorker > 0 && agent.startedOfStep(attempt) >= int(attempt.spec.MaxPerWorker) {
		attempt.state, attempt.result = wire.AttemptEnded, wire.ResultRejected
		n.reportAgent(agent)
		return true
	}
	if n.limits.Outdated(attempt.spec.Tenant, attempt.spec.LimitVersion) {
		attempt.state, attempt.result = wire.AttemptEnded, wire.ResultShed // its owner must have it counted anew
		n.reportAgent(agent)
		return true
	}
	if n.now-attempt.confirmedMs > ownerContactMs {
		return true
	}
	if r := n.batchRulesOfSpec(&attempt.spec); r != nil &&
		(!attempt.spec.Resources.Fits(*avail) || !n.mayStartBatch(agent, attempt, r)) {
		return true
	}
	if attempt.spec.Resources.Fits(n.startRoom(agent, attempt, q, *avail)) {
		*avail = avail.Minus(attempt.spec.Resources)
		n.dispatch(agent, attempt)
		return true
	}
	if attempt.spec.Class == wire.ClassGuaranteed {
		n.preempt(agent, attempt, attempt.spec.Resources.Minus(*avail))
		*avail = avail.Minus(attempt.spec.Resources) // what is free and what gets free is kept for it
		return true
	}
	n.preempt(agent, attempt, attempt.spec.Resources.Minus(*avail)) // of lesser queues only, batches at once
	return n.now-attempt.queuedMs <= bypassMs
}

// startRoom is the part of a worker's available room that a waiting attempt may take.
func (n *node) startRoom(
	agent *workerAgent, attempt *agentAttempt, q *configuration.Queue, avail resource.Amount,
) resource.Amount {
	if attempt.spec.Class == wire.ClassGuaranteed || n.mayUseUrgentHeadroom(q, attempt.spec.Excess) || !agent.colocated {
		return avail
	}
	if n.fleetIdle() && n.now-attempt.queuedMs > backfillAfterMs && n.Policies.On(scheduler.Backfill) {
		return avail // no room is kept back from what waited this long while most of it is free
	}
	return avail.Minus(n.urgentHeadroom(agent.capacity, agent.urgentUse(n, wire.AttemptOrdered, wire.AttemptRunning)))
}

// startedOfStep counts the started tasks here that share a task's job, round and step.
func (a *workerAgent) startedOfStep(attempt *agentAttempt) (count int) {
	round, step, _, ok := parseUniformTaskID(attempt.spec.Key.Task)
	for k, o := range a.attempts {
		r, s, _, _ := parseUniformTaskID(k.Task)
		if ok && k.Job == attempt.spec.Key.Job && r == round && s == step &&
			(o.state == wire.AttemptOrdered || o.state == wire.AttemptRunning) {
			count++
		}
	}
	return count
}

// queuedAttempts gives the unstarted tasks in the order they may start.
func (a *workerAgent) queuedAttempts(n *node) []*agentAttempt {
	var out []*agentAttempt
	for _, key := range a.keys() {
		if a.attempts[key].state == wire.AttemptQueued {
			out = append(out, a.attempts[key])
		}
	}
	precedence := func(attempt *agentAttempt) int64 { return n.precedence(attempt.spec.Queue, attempt.spec.Excess) }
	slices.SortStableFunc(out, func(x, y *agentAttempt) int {
		return cmp.Or(
			cmp.Compare(precedence(y), precedence(x)),
			cmp.Compare(x.spec.Class, y.spec.Class),
			cmp.Compare(x.spec.SubmittedMs, y.spec.SubmittedMs),
		)
	})
	return out
}

// preempt stops queueable runs until so much room is on its way, see scheduler.Victims. For a
// queueable task only runs of less urgent queues are stopped, and only if that is enough.
func (n *node) preempt(agent *workerAgent, pending *agentAttempt, lacking resource.Amount) {
	var attempts []*agentAttempt
	var runs []scheduler.Run
	for _, key := range agent.keys() {
		attempt := agent.attempts[key]
		if attempt.spec.Class != wire.ClassQueueable || attempt.state != wire.AttemptRunning {
			continue
		}
		if attempt.stopMs != 0 {
			lacking = lacking.Minus(attempt.spec.Resources)
			continue
		}
		if n.mayPreempt(pending, attempt) {
			attempts = append(attempts, attempt)
			runs = append(runs, scheduler.Run{
				Resources: attempt.spec.Resources, Urgency: n.precedence(attempt.spec.Queue, attempt.spec.Excess),
				RanMs: n.now - attempt.startedMs,
			})
		}
	}
	for _, at := range scheduler.Victims(runs, lacking, pending.spec.Class == wire.ClassGuaranteed) {
		n.count("preemptions")
		n.stopAttempt(agent, attempts[at], wire.ResultPreempted)
	}
}

// mayPreempt tells whether a queueable run may be stopped for a waiting task.
func (n *node) mayPreempt(pending, run *agentAttempt) bool {
	guaranteed := pending.spec.Class == wire.ClassGuaranteed
	if !guaranteed && n.now-pending.queuedMs <= urgentWaitMs && n.batchRulesOfSpec(&run.spec) == nil {
		return false // it may be called back meanwhile
	}
	mine, others := n.precedence(pending.spec.Queue, pending.spec.Excess), n.precedence(run.spec.Queue, run.spec.Excess)
	return others < mine || guaranteed && others == mine
}

func (n *node) dispatch(agent *workerAgent, attempt *agentAttempt) {
	attempt.state, attempt.ordered, attempt.orderedMs, attempt.listed = wire.AttemptOrdered, true, n.now, false
	s := &attempt.spec
	n.count("orders_" + s.Class.String())
	if agent.colocated {
		attempt.orderSeq = agent.reportSeq
		agent.toStart = append(agent.toStart, attempt)
		return
	}
	payload := rawJSON(s.Payload)
	if len(s.Payload) == 0 {
		payload = "null"
	}
	tag := mustJSON(orderTag{s.Shard, s.Queue, s.Name, s.Class, s.Resources, s.LimitMs, s.EstimateMs, s.SubmittedMs})
	n.emit(effOrder{
		Worker: agent.worker,
		Addr:   agent.addr,
		Key:    s.Key,
		NotAfterMs: min(
			n.leases.HeldUntilMs(lease.AgentRole(agent.worker)),
			attempt.confirmedMs+ownerContactMs,
			n.config.confirmedMs+configFreshMs,
			agent.tokenMs+workerReportMaxAgeMs,
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
	"started": func(n *node, _ *workerAgent, attempt *agentAttempt) {
		if attempt.state == wire.AttemptOrdered {
			attempt.state, attempt.startedMs, attempt.answeredMs = wire.AttemptRunning, n.now, n.now
		}
	},
	"turned_away": func(n *node, agent *workerAgent, attempt *agentAttempt) {
		if attempt.state == wire.AttemptOrdered {
			attempt.state, attempt.result, attempt.ordered = wire.AttemptEnded, wire.ResultRejected, false
			n.reportAgent(agent)
		}
	},
	"not_sent": func(n *node, _ *workerAgent, attempt *agentAttempt) {
		if attempt.state == wire.AttemptOrdered {
			attempt.state, attempt.ordered = wire.AttemptQueued, false
		}
	},
	// It may have started: it holds its room until the worker's report resolves it.
	"unknown": func(n *node, _ *workerAgent, attempt *agentAttempt) { n.count("orders_unconfirmed") },
}

func (n *node) onOrder(e evOrder) {
	agent := n.agents[e.Worker]
	if agent == nil || e.Stop {
		return
	}
	if attempt := agent.attempts[e.Key]; attempt != nil {
		orderOutcomes[e.Outcome](n, agent, attempt)
	}
}
