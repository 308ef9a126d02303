package daemon

import (
	"slices"

	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

func (n *node) onPlacement(_ string, m *wire.Placement) {
	ag := n.agents[m.Worker]
	if ag == nil || ag.epoch != m.AgentEpoch || !n.isActiveAgent(ag) && !ag.replaced ||
		m.ShardEpoch < ag.owners[m.Spec.Shard] ||
		n.now-m.EchoMs > contactMs {
		n.count("placements_stale")
		return
	}
	ag.owners[m.Spec.Shard] = m.ShardEpoch
	if h := ag.attempts[m.Spec.Key]; h != nil {
		h.confirmedMs = max(h.confirmedMs, m.EchoMs)
		return
	}
	if _, ok := ag.tombstones[m.Spec.Key]; ok {
		return
	}
	h := &agentAttempt{spec: m.Spec, confirmedMs: m.EchoMs, queuedMs: n.now}
	ag.attempts[m.Spec.Key] = h
	firm, queued := resource.Amount{}, 0
	for _, o := range ag.attempts {
		if o.state != wire.AttemptEnded && o.spec.Class == wire.ClassGuaranteed {
			firm = firm.Plus(o.spec.Resources)
		}
		if o.state == wire.AttemptQueued {
			queued++
		}
	}
	if !ag.rebuilt || ag.replaced || !m.Spec.Resources.Fits(ag.capacity) ||
		m.Spec.Class == wire.ClassGuaranteed && !firm.Fits(ag.capacity) ||
		queued > agentQueueMax {
		h.state, h.result = wire.AttemptEnded, wire.ResultRejected
		n.count("placements_rejected")
		n.reportAgent(ag)
		return
	}
	n.startPending(ag)
}

// onOwnerReply applies an owner's decisions on what this agent holds of its jobs.
func (n *node) onOwnerReply(_ string, m *wire.OwnerReply) {
	ag := n.agents[m.Worker]
	if ag == nil || ag.epoch != m.Epoch || m.ShardEpoch < ag.owners[m.Shard] {
		return
	}
	ag.owners[m.Shard] = m.ShardEpoch
	ag.heardOwner(m.Shard, m.SentMs, n.now)
	for _, s := range m.Specs {
		if h := ag.attempts[s.Key]; h != nil && h.unknown {
			h.spec, h.unknown = s, false
		}
	}
	recalled := false
	for _, v := range m.Decisions {
		if h := ag.attempts[v.Key]; h != nil {
			recalled = n.applyDecision(ag, h, v, m.SentMs) || recalled
		}
	}
	if recalled {
		n.reportAgent(ag)
	}
	n.startPending(ag)
}

// applyDecision applies an owner's decision on one attempt; sentMs is when the agent
// sent the report that it answers. It tells whether the attempt was recalled.
func (n *node) applyDecision(ag *workerAgent, h *agentAttempt, v wire.AttemptDecision, sentMs int64) (recalled bool) {
	switch v.Decision {
	case wire.DecisionKeep:
		h.confirmedMs = max(h.confirmedMs, sentMs)
	case wire.DecisionRecall:
		if h.state == wire.AttemptQueued {
			h.state, h.result = wire.AttemptEnded, wire.ResultShed
			n.count("recalls")
			return true
		}
		h.confirmedMs = max(h.confirmedMs, sentMs)
	case wire.DecisionDrop:
		if h.state == wire.AttemptQueued {
			h.state, h.result = wire.AttemptEnded, wire.ResultCancelled
		} else if h.state != wire.AttemptEnded {
			n.stopAttempt(ag, h, wire.ResultCancelled)
		}
	case wire.DecisionAcknowledged, wire.DecisionCounted:
		n.acknowledgeEnd(ag, h, v.Decision)
	}
	return false
}

// acknowledgeEnd notes that an end is in its owner's record, or not wanted.
func (n *node) acknowledgeEnd(ag *workerAgent, h *agentAttempt, decision wire.Decision) {
	if h.state != wire.AttemptEnded || h.acked {
		return
	}
	if h.lateEnd && decision != wire.DecisionCounted {
		return // another run may have taken its place
	}
	h.acked = true
	if !h.ordered || h.result == wire.ResultLost || h.result == wire.ResultRejected {
		ag.forget(h.spec.Key, n.now)
	}
}

// rankOf is the paper's R = T_q + T_r + T_l, without batches: all others push them out.
func (ag *workerAgent) rankOf(n *node) (rank, queuedMs, queued int64) {
	var tq, tr int64
	now := n.now
	for _, h := range ag.attempts {
		if n.batchSpec(&h.spec) != nil {
			continue
		}
		switch h.state {
		case wire.AttemptQueued:
			tq += h.spec.EstimateMs
			queued++
		case wire.AttemptOrdered, wire.AttemptRunning:
			tr += max(0, h.spec.EstimateMs-(now-max(h.startedMs, h.orderedMs)))
		}
	}
	return tq + tr + (now - ag.lastOK), tq, queued
}

// reportAgent tells each shard's owner and the central scheduler all it holds.
func (n *node) reportAgent(ag *workerAgent) {
	ag.syncAt = n.now + syncMs
	if ag.colocated {
		ag.syncAt = n.now + fullReportMs
	}
	if !n.isActiveAgent(ag) && !ag.replaced {
		return
	}
	base, keys := n.reportOf(ag), ag.keys()
	for _, target := range append([]string{""}, n.core.Shards...) {
		n.sendReport(ag, base, target, keys)
	}
	ag.changesWait = false
}

// sendReport sends a report to the owner of a shard, or without one to the central
// scheduler, if it is known.
func (n *node) sendReport(ag *workerAgent, m wire.AgentReport, target string, keys []wire.AttemptKey) {
	to := n.reportTarget(target)
	if to == "" {
		return
	}
	if to != ag.reported[target].to {
		n.peers.AnnounceTo([]string{to}) // gossip may not have told it where this agent is
	}
	m.Shard = target
	m.Batch = ag.batchHeld(n, target)
	if target == "" {
		m.Ends = ag.endsByQueue()
	}
	n.addAttempts(&m, ag, keys)
	n.send(to, &m)
	if ag.reported == nil {
		ag.reported = map[string]sentReport{}
	}
	ag.reported[target] = sentReport{to: to, atMs: n.now}
	if target == "" {
		ag.guaranteedEnded = false
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

// reportOf is what a report says of the worker and its agent, to whomever it goes.
func (n *node) reportOf(ag *workerAgent) wire.AgentReport {
	rank, queuedMs, queued := ag.rankOf(n)
	waiting, spare := ag.withoutBatches(n)
	return wire.AgentReport{
		Worker: ag.worker, Agent: n.Name, Epoch: ag.epoch, SentMs: n.now,
		Rebuilt: ag.rebuilt, Fresh: n.now-ag.tokenMs <= reportMs, SilentMs: n.now - ag.heardMs,
		Zone: ag.zone, Labels: ag.labels, Rack: ag.rack, Leaving: ag.leaving,
		Free: ag.free, Capacity: ag.capacity, Spare: spare, Waiting: waiting,
		Suspect: n.now < ag.suspectMs, Doubtful: ag.evidence.Doubtful(),
		Probation: ag.suspects > 0 && n.now >= ag.suspectMs, Colocated: ag.colocated,
		RankMs: rank, QueuedMs: queuedMs, Queued: queued,
		Succeeded: ag.succeeded, Failed: ag.failed, LagPercent: ag.lagPct,
		Urgent: ag.urgentHeld(n, wire.AttemptQueued, wire.AttemptOrdered, wire.AttemptRunning),
	}
}

// addAttempts adds to a report the attempts that bear on its shard, or, without one, those that
// hold room; what others hold of the room is added up.
func (n *node) addAttempts(m *wire.AgentReport, ag *workerAgent, keys []wire.AttemptKey) {
	for _, key := range keys {
		h := ag.attempts[key]
		if shard := n.shardOfAttempt(h); h.state != wire.AttemptEnded && shard != m.Shard {
			m.Others = m.Others.Plus(h.spec.Resources)
		}
		switch {
		case m.Shard == "" && !n.concernsCentral(h):
		case m.Shard != "" && (h.spec.Shard != m.Shard || h.state == wire.AttemptEnded && h.acked):
		case m.Partial && !n.isNews(h):
		default:
			m.Attempts = append(m.Attempts, n.statusOf(h))
			if h.state == wire.AttemptEnded {
				h.reportedMs = n.now
			}
		}
	}
}

func (n *node) statusOf(h *agentAttempt) wire.AttemptStatus {
	ran := h.ranMs
	if h.state == wire.AttemptRunning {
		ran = n.now - h.startedMs
	}
	return wire.AttemptStatus{
		Key: h.spec.Key, Class: h.spec.Class, State: h.state, Result: h.result, Resources: h.spec.Resources,
		RanMs: ran, EstimateMs: h.spec.EstimateMs, Queue: h.spec.Queue, Name: h.spec.Name, Saved: h.spec.Saved,
		Unknown: h.unknown, Late: h.lateEnd, QueueMs: h.queueMs(), StartMs: h.startMs(),
	}
}

// queueMs is how long an attempt waited here before its order; 0 for one that a former
// agent ordered.
func (h *agentAttempt) queueMs() int64 {
	if h.queuedMs == 0 || h.orderedMs == 0 {
		return 0
	}
	return max(h.orderedMs-h.queuedMs, 0)
}

// startMs is how long it took from the order until the worker listed the run.
func (h *agentAttempt) startMs() int64 {
	if h.orderedMs == 0 || h.startedMs == 0 {
		return 0
	}
	return max(h.startedMs-h.orderedMs, 0)
}

// shed gives back unstarted queueable tasks, the last in line first, until the
// rank meets the coordinator's target.
func (n *node) shed(ag *workerAgent, targetMs int64) {
	rank, _, _ := ag.rankOf(n)
	queue := ag.waiting(n)
	slices.Reverse(queue)
	some := false
	for _, h := range queue {
		if rank <= targetMs {
			break
		}
		if h.spec.Class != wire.ClassQueueable || n.batchSpec(&h.spec) != nil {
			continue
		}
		rank -= h.spec.EstimateMs
		h.state, h.result, some = wire.AttemptEnded, wire.ResultShed, true
		n.count("sheds")
	}
	if some {
		n.reportAgent(ag)
	}
}

// onPromotion makes a running queueable task firm, if its room is sure.
func (n *node) onPromotion(_ string, m *wire.Promotion) {
	ag := n.agents[m.Worker]
	if ag == nil || ag.epoch != m.Epoch || !n.isActiveAgent(ag) {
		return
	}
	h := ag.attempts[m.Key]
	if h == nil || h.state != wire.AttemptRunning || h.stopMs != 0 || h.spec.Class != wire.ClassQueueable ||
		n.batchSpec(&h.spec) != nil {
		return
	}
	firm := h.spec.Resources
	for _, o := range ag.attempts {
		if o.state != wire.AttemptEnded && o.spec.Class == wire.ClassGuaranteed {
			firm = firm.Plus(o.spec.Resources)
		}
	}
	if firm.Fits(ag.capacity) {
		h.spec.Class = wire.ClassGuaranteed
		n.count("promotions")
	}
}
