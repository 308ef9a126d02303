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

// urgentWaitMs is how long a queueable task of a more urgent queue waits, and may be recalled by its
// owner, before it preempts others.
const urgentWaitMs = 350

// stopAttempt marks an attempt to be stopped, and sends the stop order, at most once a second.
func (n *node) stopAttempt(agent *workerAgent, attempt *agentAttempt, reason wire.AttemptResult) {
	if attempt.stopMs == 0 {
		attempt.stopMs, attempt.stopReason = n.now, reason
		n.log("run_stopped", "attempt", attempt.spec.Key.String(), "worker", agent.worker, "why", reason.String(),
			"queue", attempt.spec.Queue, "class", attempt.spec.Class.String(), "ran_ms",
			n.now-max(attempt.startedMs, attempt.orderedMs),
			"percent", attempt.percent, "cpu", attempt.spec.Resources.CPU, "gang", attempt.spec.Gang)
	}
	if n.now-attempt.stopSentMs < 1000 && attempt.stopSentMs != 0 || agent.addr == "" || agent.colocated {
		return // a colocated agent puts stops into the reply to each heartbeat
	}
	attempt.stopSentMs = n.now
	n.count("stops_sent")
	n.emit(effOrder{Worker: agent.worker, Addr: agent.addr, Key: attempt.spec.Key, Stop: true,
		NotAfterMs: n.now + orderTimeoutMs, Body: mustJSON(map[string]any{"id": attempt.spec.Key.String()})})
}

// startPending starts the queued attempts that may start now, by precedence (the queue's urgency, excess
// jobs last), then guaranteed tasks before queueable ones, then by the age of the job. A guaranteed task
// preempts queueable attempts of queues that are no more urgent, and starts once the worker reports that
// they have ended; attempts of more urgent queues are short and may finish. A colocated agent sends
// orders only in the reply to a heartbeat.
func (n *node) startPending(agent *workerAgent) {
	if !n.maySendOrders(agent) {
		return
	}
	queue := n.returnBatches(agent, agent.queuedAttempts(n))
	if len(queue) == 0 {
		return
	}
	if agent.leaving || n.config.current.EmptyZones[agent.zone] {
		for _, attempt := range queue { // they never started, so other workers can take them
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

// maySendOrders reports whether this agent may send orders to its worker now: it is certain to be the only
// agent, it has all attempts that may run there, and the configuration and the worker's report are fresh.
func (n *node) maySendOrders(agent *workerAgent) bool {
	if !n.isActiveAgent(agent) || !agent.rebuilt || n.now-agent.tokenMs > workerReportMaxAgeMs || !n.configFresh() {
		return false
	}
	return !agent.colocated || agent.replying && agent.lapseUntilMs == 0
}

// available returns the worker's resources that no attempt holds; known is false while an attempt runs
// there whose spec, and so its resources, has not been received yet.
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

// startOrSkip starts a queued attempt if it is allowed to and fits, or preempts others for it. It
// returns false if no attempt behind it in the queue may overtake it.
func (n *node) startOrSkip(agent *workerAgent, attempt *agentAttempt, avail *resource.Amount) bool {
	queue := n.config.current.Queue(attempt.spec.Queue)
	_, missing := configuration.MissingLabel(agent.labels, attempt.spec.RequiredLabels)
	if queue == nil || missing || !queue.Matches(agent.labels, agent.zone) ||
		attempt.spec.MaxPerWorker > 0 && agent.startedTasksOfStep(attempt) >= int(attempt.spec.MaxPerWorker) {
		attempt.state, attempt.result = wire.AttemptEnded, wire.ResultRejected
		n.reportAgent(agent)
		return true
	}
	if n.limits.Outdated(attempt.spec.Tenant, attempt.spec.LimitVersion) {
		attempt.state, attempt.result = wire.AttemptEnded, wire.ResultShed // its owner must place it under the current limit
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
	if attempt.spec.Resources.Fits(n.startableResources(agent, attempt, queue, *avail)) {
		*avail = avail.Minus(attempt.spec.Resources)
		n.dispatch(agent, attempt)
		return true
	}
	if attempt.spec.Class == wire.ClassGuaranteed {
		n.preempt(agent, attempt, attempt.spec.Resources.Minus(*avail))
		*avail = avail.Minus(attempt.spec.Resources) // reserves the free and the preempted resources for it
		return true
	}
	// A queueable task preempts only attempts of less urgent queues: batch tasks at once, others after urgentWaitMs.
	n.preempt(agent, attempt, attempt.spec.Resources.Minus(*avail))
	return n.now-attempt.queuedMs <= bypassMs
}

// startableResources returns the part of a worker's available resources that a queued attempt may take.
func (n *node) startableResources(
	agent *workerAgent, attempt *agentAttempt, queue *configuration.Queue, avail resource.Amount,
) resource.Amount {
	if attempt.spec.Class == wire.ClassGuaranteed || n.mayUseUrgentHeadroom(queue, attempt.spec.Excess) ||
		!agent.colocated {
		return avail
	}
	if n.fleetIdle() && n.now-attempt.queuedMs > backfillAfterMs && n.Policies.On(scheduler.Backfill) {
		return avail // the headroom is not kept from a task that has waited this long in a mostly idle fleet
	}
	return avail.Minus(n.urgentHeadroom(agent.capacity, agent.urgentUse(n, wire.AttemptOrdered, wire.AttemptRunning)))
}

// startedTasksOfStep counts the started attempts here of the same job, round and step.
func (a *workerAgent) startedTasksOfStep(attempt *agentAttempt) (count int) {
	round, step, _, ok := parseUniformTaskID(attempt.spec.Key.Task)
	for otherKey, other := range a.attempts {
		otherRound, otherStep, _, _ := parseUniformTaskID(otherKey.Task)
		if ok && otherKey.Job == attempt.spec.Key.Job && otherRound == round && otherStep == step &&
			(other.state == wire.AttemptOrdered || other.state == wire.AttemptRunning) {
			count++
		}
	}
	return count
}

// queuedAttempts returns the queued attempts in the order in which they may start.
func (a *workerAgent) queuedAttempts(n *node) []*agentAttempt {
	var queued []*agentAttempt
	for _, key := range a.keys() {
		if a.attempts[key].state == wire.AttemptQueued {
			queued = append(queued, a.attempts[key])
		}
	}
	precedence := func(attempt *agentAttempt) int64 { return n.precedence(attempt.spec.Queue, attempt.spec.Excess) }
	slices.SortStableFunc(queued, func(x, y *agentAttempt) int {
		return cmp.Or(
			cmp.Compare(precedence(y), precedence(x)),
			cmp.Compare(x.spec.Class, y.spec.Class),
			cmp.Compare(x.spec.SubmittedMs, y.spec.SubmittedMs),
		)
	})
	return queued
}

// preempt stops queueable attempts until the lacking resources are being freed (see scheduler.Victims).
// For a queueable task it stops only attempts of less urgent queues, and only if that frees enough.
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

// mayPreempt reports whether a running queueable attempt may be stopped for a queued one.
func (n *node) mayPreempt(pending, running *agentAttempt) bool {
	guaranteed := pending.spec.Class == wire.ClassGuaranteed
	if !guaranteed && n.now-pending.queuedMs <= urgentWaitMs && n.batchRulesOfSpec(&running.spec) == nil {
		return false // its owner may recall it meanwhile
	}
	pendingPrecedence, runPrecedence := n.precedence(pending.spec.Queue, pending.spec.Excess),
		n.precedence(running.spec.Queue, running.spec.Excess)
	return runPrecedence < pendingPrecedence || guaranteed && runPrecedence == pendingPrecedence
}

// dispatch sends the order to start an attempt, or adds it to the reply of the current heartbeat.
func (n *node) dispatch(agent *workerAgent, attempt *agentAttempt) {
	attempt.state, attempt.ordered, attempt.orderedMs, attempt.listed = wire.AttemptOrdered, true, n.now, false
	taskSpec := &attempt.spec
	n.count("orders_" + taskSpec.Class.String())
	if agent.colocated {
		attempt.orderSeq, attempt.orderedIn = agent.reportSeq, n.heartbeatCount
		agent.toStart = append(agent.toStart, attempt)
		return
	}
	payload := rawJSON(taskSpec.Payload)
	if len(taskSpec.Payload) == 0 {
		payload = "null"
	}
	tag := mustJSON(orderTag{
		taskSpec.Shard, taskSpec.Queue, taskSpec.Name, taskSpec.Class, taskSpec.Resources,
		taskSpec.LimitMs, taskSpec.EstimateMs, taskSpec.SubmittedMs,
	})
	n.emit(effOrder{
		Worker: agent.worker,
		Addr:   agent.addr,
		Key:    taskSpec.Key,
		NotAfterMs: min(
			n.leases.HeldUntilMs(lease.AgentRole(agent.worker)),
			attempt.confirmedMs+ownerContactMs,
			n.config.confirmedMs+configFreshMs,
			agent.tokenMs+workerReportMaxAgeMs,
		),
		Body: mustJSON(
			map[string]any{
				"id":       taskSpec.Key.String(),
				"job":      taskSpec.Key.Job,
				"name":     taskSpec.Name,
				"queue":    n.config.current.QueueName(taskSpec.Queue),
				"class":    taskSpec.Class.String(),
				"room":     taskSpec.Resources,
				"limit_ms": taskSpec.LimitMs,
				"payload":  payload,
				"tag":      string(tag),
			},
		),
	})
}

// orderOutcomes maps the outcome of an order, as orderSender.deliver returns it, to its effect on the attempt.
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
	// It may have started: it keeps its resources until the worker's report resolves it.
	"unknown": func(n *node, _ *workerAgent, attempt *agentAttempt) { n.count("orders_unconfirmed") },
}

// onOrder applies the outcome of a start order.
func (n *node) onOrder(e evOrder) {
	agent := n.agents[e.Worker]
	if agent == nil || e.Stop {
		return
	}
	if attempt := agent.attempts[e.Key]; attempt != nil {
		orderOutcomes[e.Outcome](n, agent, attempt)
	}
}
