package daemon

import (
	"slices"

	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

// onPlacement queues an attempt that an owner placed at this agent's worker, or rejects it if it can't be
// started here. A stale placement is dropped.
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
	guaranteed, queued := resource.Amount{}, 0
	for _, other := range agent.attempts {
		if other.state != wire.AttemptEnded && other.spec.Class == wire.ClassGuaranteed {
			guaranteed = guaranteed.Plus(other.spec.Resources)
		}
		if other.state == wire.AttemptQueued {
			queued++
		}
	}
	if !agent.rebuilt || agent.replaced || !m.Spec.Resources.Fits(agent.capacity) ||
		m.Spec.Class == wire.ClassGuaranteed && !guaranteed.Fits(agent.capacity) ||
		queued > agentQueueMax {
		attempt.state, attempt.result = wire.AttemptEnded, wire.ResultRejected
		n.count("placements_rejected")
		n.reportAgent(agent)
		return
	}
	n.startPending(agent)
}

// onOwnerReply applies an owner's decisions on this agent's attempts of its jobs.
func (n *node) onOwnerReply(_ string, m *wire.OwnerReply) {
	agent := n.agents[m.Worker]
	if agent == nil || agent.epoch != m.Epoch || m.ShardEpoch < agent.ownerEpochs[m.Shard] {
		return
	}
	agent.ownerEpochs[m.Shard] = m.ShardEpoch
	agent.recordOwnerReply(m.Shard, m.SentMs, n.now)
	for _, taskSpec := range m.Specs {
		if attempt := agent.attempts[taskSpec.Key]; attempt != nil && attempt.specUnknown {
			attempt.spec, attempt.specUnknown = taskSpec, false
		}
	}
	recalled := false
	for _, decision := range m.Decisions {
		if attempt := agent.attempts[decision.Key]; attempt != nil {
			recalled = n.applyDecision(agent, attempt, decision, m.SentMs) || recalled
		}
	}
	if recalled {
		n.reportAgent(agent)
	}
	n.startPending(agent)
}

// applyDecision applies an owner's decision on one attempt; sentMs is when the agent sent the report
// that it answers. It reports whether the attempt was recalled.
func (n *node) applyDecision(
	agent *workerAgent, attempt *agentAttempt, decision wire.AttemptDecision, sentMs int64,
) (recalled bool) {
	switch decision.Decision {
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
		n.acknowledgeEnd(agent, attempt, decision.Decision)
	}
	return false
}

// acknowledgeEnd records that the owner has committed an end or does not need it. A late end counts as
// acknowledged only if the owner has counted it.
func (n *node) acknowledgeEnd(agent *workerAgent, attempt *agentAttempt, decision wire.Decision) {
	if attempt.state != wire.AttemptEnded || attempt.acked {
		return
	}
	if attempt.endedLate && decision != wire.DecisionCounted {
		attempt.endRefused = true // another attempt may have replaced it
		return
	}
	attempt.acked = true
	if !attempt.ordered || attempt.result == wire.ResultLost || attempt.result == wire.ResultRejected {
		agent.forget(attempt.spec.Key, n.now)
	}
}

// workerRank returns the rank R = T_q + T_r + T_l of the scheduling paper: the estimated time of queued
// attempts, the remaining time of started ones, and the time since the last success. Batches don't count,
// since any other task may preempt them.
func (a *workerAgent) workerRank(n *node) (rank, queuedMs, queued int64) {
	var queuedWorkMs, remainingMs int64
	now := n.now
	for _, attempt := range a.attempts {
		if n.batchRulesOfSpec(&attempt.spec) != nil {
			continue
		}
		switch attempt.state {
		case wire.AttemptQueued:
			queuedWorkMs += attempt.spec.EstimateMs
			queued++
		case wire.AttemptOrdered, wire.AttemptRunning:
			remainingMs += max(0, attempt.spec.EstimateMs-(now-max(attempt.startedMs, attempt.orderedMs)))
		}
	}
	return queuedWorkMs + remainingMs + (now - a.lastSuccessMs), queuedWorkMs, queued
}

// reportAgent sends a full report to each shard's owner and to the central scheduler.
func (n *node) reportAgent(agent *workerAgent) {
	agent.nextFullReportMs = n.now + leasedReportMs
	if agent.colocated {
		agent.nextFullReportMs = n.now + fullReportMs
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

// sendReport completes a report for the owner of a shard, or for the central scheduler if target is "",
// and sends it if that daemon is known.
func (n *node) sendReport(agent *workerAgent, m wire.AgentReport, target string, keys []wire.AttemptKey) {
	to := n.reportTarget(target)
	if to == "" {
		return
	}
	if to != agent.lastReports[target].to {
		n.peers.AnnounceTo([]string{to}) // gossip may not have reached it with this daemon's address
	}
	m.Shard = target
	m.BatchUsage = agent.batchUse(n, target)
	if target == "" {
		m.Outcomes = agent.outcomesByQueue()
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

// reportTarget returns the daemon that owns a shard, or that is the central scheduler if shard is "".
func (n *node) reportTarget(shard string) string {
	role := lease.Central
	if shard != "" {
		role = lease.ShardRole(shard)
	}
	to, _ := n.leases.Holder(role)
	return to
}

// baseReport returns the part of a report that is the same for all recipients.
func (n *node) baseReport(agent *workerAgent) wire.AgentReport {
	rank, queuedMs, queued := agent.workerRank(n)
	waiting, spare := agent.loadWithoutBatches(n)
	return wire.AgentReport{
		Worker: agent.worker, Agent: n.Name, Epoch: agent.epoch, SentMs: n.now,
		Rebuilt: agent.rebuilt, ReachedWorker: agent.receivedReply != 0,
		WorkerReportFresh: n.now-agent.tokenMs <= workerReportMaxAgeMs,
		SilentMs:          n.now - agent.lastContactMs,
		Zone:              agent.zone, Labels: agent.labels, Rack: agent.rack,
		Leaving: agent.leaving, SignedOff: agent.signedOff,
		Free: agent.free, Capacity: agent.capacity, SpareCapacity: spare, WaitingTasks: waiting,
		Suspect: n.now < agent.suspectUntilMs, RecentFailures: agent.evidence.Suspect(),
		Probation: agent.suspectCount > 0 && n.now >= agent.suspectUntilMs, Colocated: agent.colocated,
		RankMs: rank, QueuedMs: queuedMs, Queued: queued,
		Succeeded: agent.succeeded, Failed: agent.failed, LagPercent: agent.lagPercent,
		Urgent: agent.urgentUse(n, wire.AttemptQueued, wire.AttemptOrdered, wire.AttemptRunning),
	}
}

// addAttempts adds to a report the attempts of its shard, or those that concern the central scheduler,
// and sums up the resources that attempts of other shards hold.
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

// attemptStatus returns an attempt in the form in which reports carry it.
func (n *node) attemptStatus(attempt *agentAttempt) wire.AttemptStatus {
	elapsedMs := attempt.ranMs
	if attempt.state == wire.AttemptRunning {
		elapsedMs = n.now - attempt.startedMs
	}
	return wire.AttemptStatus{
		Key: attempt.spec.Key, Class: attempt.spec.Class, State: attempt.state, Result: attempt.result,
		Resources: attempt.spec.Resources, RanMs: elapsedMs, EstimateMs: attempt.spec.EstimateMs,
		Queue: attempt.spec.Queue, Name: attempt.spec.Name,
		Checkpoint:  attempt.spec.Checkpoint,
		SpecMissing: attempt.specUnknown, EndedLate: attempt.endedLate,
		QueueMs: attempt.queueMs(), StartMs: attempt.startMs(),
	}
}

// queueMs returns how long an attempt was queued here before its order; 0 for one that a former agent
// ordered.
func (a *agentAttempt) queueMs() int64 {
	if a.queuedMs == 0 || a.orderedMs == 0 {
		return 0
	}
	return max(a.orderedMs-a.queuedMs, 0)
}

// startMs returns the time from the order of an attempt until its start was reported; 0 if either is unknown.
func (a *agentAttempt) startMs() int64 {
	if a.orderedMs == 0 || a.startedMs == 0 {
		return 0
	}
	return max(a.startedMs-a.orderedMs, 0)
}

// shed returns queued queueable attempts to their owners, the last in the queue first, until the rank
// is within the coordinator's target.
func (n *node) shed(agent *workerAgent, targetMs int64) {
	rank, _, _ := agent.workerRank(n)
	queue := agent.queuedAttempts(n)
	slices.Reverse(queue)
	shedAny := false
	for _, attempt := range queue {
		if rank <= targetMs {
			break
		}
		if attempt.spec.Class != wire.ClassQueueable || n.batchRulesOfSpec(&attempt.spec) != nil {
			continue
		}
		rank -= attempt.spec.EstimateMs
		attempt.state, attempt.result, shedAny = wire.AttemptEnded, wire.ResultShed, true
		n.count("sheds")
	}
	if shedAny {
		n.reportAgent(agent)
	}
}

// onPromotion makes a running queueable attempt guaranteed, if all guaranteed ones then still fit the worker.
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
	guaranteed := attempt.spec.Resources
	for _, other := range agent.attempts {
		if other.state != wire.AttemptEnded && other.spec.Class == wire.ClassGuaranteed {
			guaranteed = guaranteed.Plus(other.spec.Resources)
		}
	}
	if guaranteed.Fits(agent.capacity) {
		attempt.spec.Class = wire.ClassGuaranteed
		n.count("promotions")
	}
}
