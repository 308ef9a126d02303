package daemon

import (
	"slices"

	"otterchute/internal/wire"
)

// A colocated agent receives the ended attempts in heartbeats, twenty times a second. It sends these changes
// to the owners in partial reports, which leave out unchanged attempts. Full reports, from which owners
// detect missing attempts, are less frequent. A lost partial report costs only the wait for the next
// one, since an end is reported again until it is acknowledged.

const (
	// fullReportMs is the interval of a colocated agent's full reports. An attempt may start only while its
	// owner's confirmation is younger than ownerContactMs, and owners place tasks only at workers whose
	// report is younger than that. Two full reports fit into ownerContactMs, so one may be lost.
	fullReportMs = 600
	// changesMs is the minimum interval between partial reports: at most one with each heartbeat of a
	// busy worker.
	changesMs = heartbeatMs * 9 / 10
	// usageReportMs is the interval at which owners without changed attempts are sent the resources that
	// other shards' attempts have taken or freed.
	usageReportMs = 200
	// centralReportMs is the interval of reports to the central scheduler. It must be shorter than
	// centralRebuildMs.
	centralReportMs = 300
	// aliveReportMs is the maximum interval between reports to an owner, so that a worker without
	// changes does not appear silent (quietMs).
	aliveReportMs = 300
	// quietMs is the silence after which a worker has probably failed or is cut off, as heartbeats arrive each
	// heartbeatMs and reports each aliveReportMs. New work is then placed elsewhere, long before the loss is
	// certain.
	quietMs = 700
	// endRepeatMs is the interval at which an unacknowledged end is reported again.
	endRepeatMs = 250
)

// isReportable reports whether a partial report lists an attempt: one that is queued, or an
// unacknowledged end that was not reported within endRepeatMs.
func (n *node) isReportable(attempt *agentAttempt) bool {
	switch attempt.state {
	case wire.AttemptQueued:
		return true
	case wire.AttemptEnded:
		return !attempt.acked && (attempt.reportedMs == 0 || n.now-attempt.reportedMs > endRepeatMs)
	}
	return false
}

// concernsCentral reports whether reports to the central scheduler list an attempt: a guaranteed one,
// or one that may be promoted. The resources of all others are reported as a sum.
func (n *node) concernsCentral(attempt *agentAttempt) bool {
	if attempt.state == wire.AttemptEnded {
		return false
	}
	return attempt.spec.Class == wire.ClassGuaranteed ||
		n.mayBePromoted(attempt.state, n.now-attempt.startedMs, attempt.spec.EstimateMs)
}

// mayBePromoted reports whether an attempt has run for so much longer than estimated that its work
// should no longer be lost to preemption.
func (n *node) mayBePromoted(state wire.AttemptState, ranMs, estimateMs int64) bool {
	return state == wire.AttemptRunning && ranMs > max(2*estimateMs, n.ThresholdMs)
}

// reportChanges sends partial reports with the queued and ended attempts and the free resources.
// Changes within changesMs are sent together.
func (n *node) reportChanges(agent *workerAgent) {
	agent.changesPending = true
	if n.now < agent.nextChangesMs || !n.isActiveAgent(agent) {
		return
	}
	agent.changesPending = false
	base, keys := n.baseReport(agent), agent.keys()
	base.Partial = true
	changed := map[string]bool{}
	for _, key := range keys {
		if attempt := agent.attempts[key]; n.isReportable(attempt) {
			changed[n.shardOfAttempt(attempt)] = true
		}
	}
	if len(changed) > 0 {
		agent.nextChangesMs = n.now + changesMs
	}
	for _, shard := range n.core.Shards {
		if changed[shard] || n.now-agent.lastReports[shard].atMs >= usageReportMs {
			n.sendReport(agent, base, shard, keys)
		}
	}
	if agent.guaranteedEnded {
		n.reportCentral(agent)
	}
}

// reportCentral sends a report to the central scheduler only.
func (n *node) reportCentral(agent *workerAgent) {
	if n.isActiveAgent(agent) {
		n.sendReport(agent, n.baseReport(agent), "", agent.keys())
	}
}

// shardOfAttempt returns the shard that an attempt's job belongs to.
func (n *node) shardOfAttempt(attempt *agentAttempt) string {
	if attempt.spec.Shard == "" { // reported by the worker only; its owner has not sent the spec yet
		attempt.spec.Shard = n.shardOf(attempt.spec.Key.Job)
	}
	return attempt.spec.Shard
}

// tickReports sends the reports of a colocated agent that are due.
func (n *node) tickReports(agent *workerAgent) {
	quiet := n.now-agent.lastContactMs > quietMs
	if n.now >= agent.nextFullReportMs || quiet != agent.reportedQuiet || n.hasNewOwner(agent) {
		agent.reportedQuiet = quiet
		n.reportAgent(agent)
		return
	}
	if n.now-agent.lastReports[""].atMs >= centralReportMs {
		n.reportCentral(agent)
	}
	if agent.changesPending || n.hasOverdueAttempt(agent) || n.isReportDue(agent) {
		n.reportChanges(agent)
	}
}

// isReportDue reports whether some owner was sent no report for aliveReportMs.
func (n *node) isReportDue(agent *workerAgent) bool {
	return slices.ContainsFunc(n.core.Shards, func(shard string) bool {
		return n.now-agent.lastReports[shard].atMs >= aliveReportMs
	})
}

// isQuiet reports whether a worker's last heartbeat is more than quietMs old: sinceMs is the age of the
// agent's report, silentMs the age of the heartbeat when that report was sent.
func isQuiet(sinceMs, silentMs int64) bool { return sinceMs+silentMs > quietMs }

// hasNewOwner reports whether a shard or the central scheduler that receives this agent's reports has
// moved to another daemon since the last one.
func (n *node) hasNewOwner(agent *workerAgent) bool {
	for _, target := range append([]string{""}, n.core.Shards...) {
		if to := n.reportTarget(target); to != "" && to != agent.lastReports[target].to {
			return true
		}
	}
	return false
}

// hasOverdueAttempt reports whether an attempt has been queued for so long that its owner may recall
// it, or an end has to be reported again.
func (n *node) hasOverdueAttempt(agent *workerAgent) bool {
	for _, attempt := range agent.attempts {
		switch {
		case attempt.state == wire.AttemptQueued && n.now-attempt.queuedMs > recallAfterMs,
			attempt.state == wire.AttemptEnded && n.isReportable(attempt):
			return true
		}
	}
	return false
}
