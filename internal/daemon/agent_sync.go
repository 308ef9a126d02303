package daemon

import (
	"slices"

	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

func (n *node) onPlacement(_ string, m *wire.Placement) {
	agent := n.agents[m.Worker]
	if agent == nil || agent.epoch != m.AgentEpoch || !n.isActiveAgent(agent) && !agent.replaced ||
		m.ShardEpoch < agent.ownerEpochs[m.Spec.Shard] ||
		n.now-m.AgentClockMs > ownerContactMs {
		n.count("placements_stale")
		return
	}
	agent.ownerEpochs[m.Spec.Shard] = m.ShardEpoch
	if attempt := agent.attempts[m.Spec.Key]; attempt != nil {
		attempt.confirmedMs = max(attempt.confirmedMs, m.AgentClockMs)
		return
	}
	if _, ok := agent.tombstones[m.Spec.Key]; ok {
		return
	}
	attempt := &agentAttempt{spec: m.Spec, confirmedMs: m.AgentClockMs, queuedMs: n.now}
	agent.attempts[m.Spec.Key] = attempt
	firm, queued := resource.Amount{}, 0
	for _, o := range agent.attempts {
		if o.state != wire.AttemptEnded && o.spec.Class == wire.ClassGuaranteed {
			firm = firm.Plus(o.spec.Resources)
		}
		if o.state == wire.AttemptQueued {
			queued++
		}
	}
	if !agent.rebuilt || agent.replaced || !m.Spec.Resources.Fits(agent.capacity) ||
		m.Spec.Class == wire.ClassGuaranteed && !firm.Fits(agent.capacity) ||
		queued > agentQueueMax {
		attempt.state, attempt.result = wire.AttemptEnded, wire.ResultRejected
		n.count("placements_rejected")
		n.reportAgent(agent)
		return
	}
	n.startPending(agent)
}

// onOwnerReply applies an owner's decisions on what this agent holds of its jobs.
func (n *node) onOwnerReply(_ string, m *wire.OwnerReply) {
	agent := n.agents[m.Worker]
	if agent == nil || agent.epoch != m.Epoch || m.ShardEpoch < agent.ownerEpochs[m.Shard] {
		return
	}
	agent.ownerEpochs[m.Shard] = m.ShardEpoch
	agent.recordOwnerReply(m.Shard, m.SentMs, n.now)
	for _, s := range m.Specs {
		if attempt := agent.attempts[s.Key]; attempt != nil && attempt.specUnknown {
			attempt.spec, attempt.specUnknown = s, false
		}
	}
	recalled := false
	for _, v := range m.Decisions {
		if attempt := agent.attempts[v.Key]; attempt != nil {
			recalled = n.applyDecision(agent, attempt, v, m.SentMs) || recalled
		}
	}
	if recalled {
		n.reportAgent(agent)
	}
	n.startPending(agent)
}

// applyDecision applies an owner's decision on one attempt; sentMs is when the agent
// sent the report that it answers. It tells whether the attempt was recalled.
func (n *node) applyDecision(
	agent *workerAgent, attempt *agentAttempt, v wire.AttemptDecision, sentMs int64,
) (recalled bool) {
	switch v.Decision {
	case wire.DecisionKeep:
		attempt.confirmedMs = max(attempt.confirmedMs, sentMs)
	case wire.DecisionRecall:
		if attempt.state == wire.AttemptQueued {
			attempt.state, attempt.result = wire.AttemptEnded, wire.ResultShed
			n.count("recalls")
			return true
		}
		attempt.confirmedMs = max(attempt.confirmedMs, sentMs)
	case wire.DecisionDrop:
		if attempt.state == wire.AttemptQueued {
			attempt.state, attempt.result = wire.AttemptEnded, wire.ResultCancelled
		} else if attempt.state != wire.AttemptEnded {
			n.stopAttempt(agent, attempt, wire.ResultCancelled)
		}
	case wire.DecisionAcknowledged, wire.DecisionCounted:
		n.acknowledgeEnd(agent, attempt, v.Decision)
	}
	return false
}

// acknowledgeEnd notes that an end is in its owner's record, or not wanted.
func (n *node) acknowledgeEnd(agent *workerAgent, attempt *agentAttempt, decision wire.Decision) {
	if attempt.state != wire.AttemptEnded || attempt.acked {
		return
	}
	if attempt.lateEnd && decision != wire.DecisionCounted {
		return // another run may have taken its place
	}
	attempt.acked = true
	if !attempt.ordered || attempt.result == wire.ResultLost || attempt.result == wire.ResultRejected {
		agent.forget(attempt.spec.Key, n.now)
	}
}

// rankOf is the paper's R = T_q + T_r + T_l, without batches: all others push them out.
func (a *workerAgent) rankOf(n *node) (rank, queuedMs, queued int64) {
	var tq, tr int64
	now := n.now
	for _, attempt := range a.attempts {
		if n.batchRulesOfSpec(&attempt.spec) != nil {
			continue
		}
		switch attempt.state {
		case wire.AttemptQueued:
			tq += attempt.spec.EstimateMs
			queued++
		case wire.AttemptOrdered, wire.AttemptRunning:
			tr += max(0, attempt.spec.EstimateMs-(now-max(attempt.startedMs, attempt.orderedMs)))
		}
	}
	return tq + tr + (now - a.lastSuccessMs), tq, queued
}

// reportAgent tells each shard's owner and the central scheduler all it holds.
func (n *node) reportAgent(agent *workerAgent) {
	agent.nextSyncMs = n.now + agentSyncMs
	if agent.colocated {
		agent.nextSyncMs = n.now + fullReportMs
	}
	if !n.isActiveAgent(agent) && !agent.replaced {
		return
	}
	base, keys := n.baseReport(agent), agent.keys()
	for _, target := range append([]string{""}, n.core.Shards...) {
		n.sendReport(agent, base, target, keys)
	}
	agent.changesPending = false
}

// sendReport sends a report to the owner of a shard, or without one to the central
// scheduler, if it is known.
func (n *node) sendReport(agent *workerAgent, m wire.AgentReport, target string, keys []wire.AttemptKey) {
	to := n.reportTarget(target)
	if to == "" {
		return
	}
	if to != agent.lastReports[target].to {
		n.peers.AnnounceTo([]string{to}) // gossip may not have told it where this agent is
	}
	m.Shard = target
	m.BatchUsage = agent.batchUse(n, target)
	if target == "" {
		m.Outcomes = agent.endsByQueue()
	}
	n.addAttempts(&m, agent, keys)
	n.send(to, &m)
	if agent.lastReports == nil {
		agent.lastReports = map[string]sentReport{}
	}
	agent.lastReports[target] = sentReport{to: to, atMs: n.now}
	if target == "" {
		agent.guaranteedEnded = false
	}
}

// reportTarget is who hears of a shard's attempts, or for "" the central scheduler.
func (n *node) reportTarget(shard string) string {
	role := lease.Central
	if shard != "" {
		role = lease.ShardRole(shard)
	}
	to, _ := n.leases.Holder(role)
	return to
}

// baseReport is what a report says of the worker and its agent, to whomever it goes.
func (n *node) baseReport(agent *workerAgent) wire.AgentReport {
	rank, queuedMs, queued := agent.rankOf(n)
	waiting, spare := agent.loadWithoutBatches(n)
	return wire.AgentReport{
		Worker: agent.worker, Agent: n.Name, Epoch: agent.epoch, SentMs: n.now,
		Rebuilt: agent.rebuilt, WorkerReportFresh: n.now-agent.tokenMs <= workerReportMaxAgeMs, SilentMs: n.now - agent.lastContactMs,
		Zone: agent.zone, Labels: agent.labels, Rack: agent.rack, Leaving: agent.leaving,
		Free: agent.free, Capacity: agent.capacity, SpareCapacity: spare, WaitingTasks: waiting,
		Suspect: n.now < agent.suspectUntilMs, RecentFailures: agent.evidence.Suspect(),
		Probation: agent.suspectCount > 0 && n.now >= agent.suspectUntilMs, Colocated: agent.colocated,
		RankMs: rank, QueuedMs: queuedMs, Queued: queued,
		Succeeded: agent.succeeded, Failed: agent.failed, LagPercent: agent.lagPercent,
		Urgent: agent.urgentUse(n, wire.AttemptQueued, wire.AttemptOrdered, wire.AttemptRunning),
	}
}

// addAttempts adds to a report the attempts that bear on its shard, or, without one, those that
// hold room; what others hold of the room is added up.
func (n *node) addAttempts(m *wire.AgentReport, agent *workerAgent, keys []wire.AttemptKey) {
	for _, key := range keys {
		attempt := agent.attempts[key]
		if shard := n.shardOfAttempt(attempt); attempt.state != wire.AttemptEnded && shard != m.Shard {
			m.OtherShards = m.OtherShards.Plus(attempt.spec.Resources)
		}
		switch {
		case m.Shard == "" && !n.concernsCentral(attempt):
		case m.Shard != "" && (attempt.spec.Shard != m.Shard || attempt.state == wire.AttemptEnded && attempt.acked):
		case m.Partial && !n.isReportable(attempt):
		default:
			m.Attempts = append(m.Attempts, n.attemptStatus(attempt))
			if attempt.state == wire.AttemptEnded {
				attempt.reportedMs = n.now
			}
		}
	}
}

func (n *node) attemptStatus(attempt *agentAttempt) wire.AttemptStatus {
	ran := attempt.ranMs
	if attempt.state == wire.AttemptRunning {
		ran = n.now - attempt.startedMs
	}
	return wire.AttemptStatus{
		Key: attempt.spec.Key, Class: attempt.spec.Class, State: attempt.state, Result: attempt.result,
		Resources: attempt.spec.Resources, RanMs: ran, EstimateMs: attempt.spec.EstimateMs,
		Queue: attempt.spec.Queue, Name: attempt.spec.Name,
		Checkpoint:  attempt.spec.Checkpoint,
		SpecMissing: attempt.specUnknown, EndedLate: attempt.lateEnd, QueueMs: attempt.queueMs(), StartMs: attempt.startMs(),
	}
}

// queueMs is how long an attempt waited here before its order; 0 for one that a former
// agent ordered.
func (a *agentAttempt) queueMs() int64 {
	if a.queuedMs == 0 || a.orderedMs == 0 {
		return 0
	}
	return max(a.orderedMs-a.queuedMs, 0)
}

// startMs is how long it took from the order until the worker listed the run.
func (a *agentAttempt) startMs() int64 {
	if a.orderedMs == 0 || a.startedMs == 0 {
		return 0
	}
	return max(a.startedMs-a.orderedMs, 0)
}

// shed gives back unstarted queueable tasks, the last in line first, until the
// rank meets the coordinator's target.
func (n *node) shed(agent *workerAgent, targetMs int64) {
	rank, _, _ := agent.rankOf(n)
	queue := agent.queuedAttempts(n)
	slices.Reverse(queue)
	some := false
	for _, attempt := range queue {
		if rank <= targetMs {
			break
		}
		if attempt.spec.Class != wire.ClassQueueable || n.batchRulesOfSpec(&attempt.spec) != nil {
			continue
		}
		rank -= attempt.spec.EstimateMs
		attempt.state, attempt.result, some = wire.AttemptEnded, wire.ResultShed, true
		n.count("sheds")
	}
	if some {
		n.reportAgent(agent)
	}
}

// onPromotion makes a running queueable task firm, if its room is sure.
func (n *node) onPromotion(_ string, m *wire.Promotion) {
	agent := n.agents[m.Worker]
	if agent == nil || agent.epoch != m.Epoch || !n.isActiveAgent(agent) {
		return
	}
	attempt := agent.attempts[m.Key]
	if attempt == nil || attempt.state != wire.AttemptRunning || attempt.stopMs != 0 ||
		attempt.spec.Class != wire.ClassQueueable ||
		n.batchRulesOfSpec(&attempt.spec) != nil {
		return
	}
	firm := attempt.spec.Resources
	for _, o := range agent.attempts {
		if o.state != wire.AttemptEnded && o.spec.Class == wire.ClassGuaranteed {
			firm = firm.Plus(o.spec.Resources)
		}
	}
	if firm.Fits(agent.capacity) {
		attempt.spec.Class = wire.ClassGuaranteed
		n.count("promotions")
	}
}
