package daemon

import (
	"slices"

	"otterchute/internal/wire"
)

// An agent beside its worker hears twenty times a second what ended there. Owners are told
// of that in partial reports, which leave out what goes on as before; full ones, by which
// owners find what is missing, are few. A lost partial report costs no more than the
// wait for the next one: ends are told again until they are acknowledged.

const (
	// fullReportMs is the pace of full reports of an agent beside its worker. An
	// attempt may start while its owner's word on it is younger than ownerContactMs, and owners
	// place tasks at workers that they heard of since then: two reports fit in that.
	fullReportMs = 600
	// changesMs is how far partial reports are apart at the least: no more than one with each
	// heartbeat of a busy worker.
	changesMs = heartbeatMs * 9 / 10
	// usageReportMs: owners whose attempts have not changed hear at this pace of the room
	// that others took or freed meanwhile.
	usageReportMs = 200
	// centralReportMs is the pace of reports to the central scheduler, which needs no
	// less while it rebuilds: see centralRebuildMs.
	centralReportMs = 300
	// aliveReportMs is the pace at which owners hear of a worker at the least, if only that
	// it is there: see quietMs.
	aliveReportMs = 300
	// quietMs: a worker of which nothing was heard for so long, while its heartbeats come
	// each heartbeatMs and reports each aliveReportMs, is likely to be gone or cut off: new
	// work goes elsewhere, long before that is sure.
	quietMs = 700
	// endRepeatMs is how long an end may stay without acknowledgement before it is told again.
	endRepeatMs = 250
)

// isReportable tells whether a partial report lists an attempt: it waits, or it ended and its
// owner wasn't told yet, or was long ago.
func (n *node) isReportable(attempt *agentAttempt) bool {
	switch attempt.state {
	case wire.AttemptQueued:
		return true
	case wire.AttemptEnded:
		return !attempt.acked && (attempt.reportedMs == 0 || n.now-attempt.reportedMs > endRepeatMs)
	}
	return false
}

// concernsCentral tells whether the central scheduler is told of an attempt: one that holds
// room for good, or that it may promote. Of all others it hears the sum.
func (n *node) concernsCentral(attempt *agentAttempt) bool {
	if attempt.state == wire.AttemptEnded {
		return false
	}
	return attempt.spec.Class == wire.ClassGuaranteed ||
		n.mayBePromoted(attempt.state, n.now-attempt.startedMs, attempt.spec.EstimateMs)
}

// mayBePromoted tells whether a queueable run has gone on for so much longer than
// expected that its work is worth keeping.
func (n *node) mayBePromoted(state wire.AttemptState, ranMs, estimateMs int64) bool {
	return state == wire.AttemptRunning && ranMs > max(2*estimateMs, n.ThresholdMs)
}

// reportChanges tells owners what has ended or waits, and how much room is left. What
// comes within changesMs leaves together.
func (n *node) reportChanges(agent *workerAgent) {
	agent.changesPending = true
	if n.now < agent.nextChangesMs || !n.isActiveAgent(agent) {
		return
	}
	agent.changesPending = false
	base, keys := n.baseReport(agent), agent.keys()
	base.Partial = true
	news := map[string]bool{}
	for _, key := range keys {
		if attempt := agent.attempts[key]; n.isReportable(attempt) {
			news[n.shardOfAttempt(attempt)] = true
		}
	}
	if len(news) > 0 {
		agent.nextChangesMs = n.now + changesMs
	}
	for _, shard := range n.core.Shards {
		if news[shard] || n.now-agent.lastReports[shard].atMs >= usageReportMs {
			n.sendReport(agent, base, shard, keys)
		}
	}
	if agent.guaranteedEnded {
		n.reportCentral(agent)
	}
}

// reportCentral tells the central scheduler alone.
func (n *node) reportCentral(agent *workerAgent) {
	if n.isActiveAgent(agent) {
		n.sendReport(agent, n.baseReport(agent), "", agent.keys())
	}
}

// shardOfAttempt is the shard that an attempt's job belongs to.
func (n *node) shardOfAttempt(attempt *agentAttempt) string {
	if attempt.spec.Shard == "" { // found running: its owner has not said yet what it is
		attempt.spec.Shard = n.shardOf(attempt.spec.Key.Job)
	}
	return attempt.spec.Shard
}

// tickReports sends the reports that are due.
func (n *node) tickReports(agent *workerAgent) {
	quiet := n.now-agent.lastContactMs > quietMs
	if n.now >= agent.nextSyncMs || quiet != agent.quiet || n.hasNewOwner(agent) {
		agent.quiet = quiet
		n.reportAgent(agent)
		return
	}
	if n.now-agent.lastReports[""].atMs >= centralReportMs {
		n.reportCentral(agent)
	}
	if agent.changesPending || n.hasOverdue(agent) || n.owesReport(agent) {
		n.reportChanges(agent)
	}
}

// owesReport tells whether some owner has not heard of the worker lately.
func (n *node) owesReport(agent *workerAgent) bool {
	return slices.ContainsFunc(n.core.Shards, func(shard string) bool {
		return n.now-agent.lastReports[shard].atMs >= aliveReportMs
	})
}

// isQuiet tells whether an agent told nothing of its worker lately, or nothing new.
func isQuiet(sinceMs, silentMs int64) bool { return sinceMs+silentMs > quietMs }

// hasNewOwner tells whether a role that is told of this worker has gone to another daemon.
func (n *node) hasNewOwner(agent *workerAgent) bool {
	for _, target := range append([]string{""}, n.core.Shards...) {
		if to := n.reportTarget(target); to != "" && to != agent.lastReports[target].to {
			return true
		}
	}
	return false
}

// hasOverdue tells whether an attempt has waited here for so long that its owner may want
// it back, or an end is to be told again.
func (n *node) hasOverdue(agent *workerAgent) bool {
	for _, attempt := range agent.attempts {
		switch {
		case attempt.state == wire.AttemptQueued && n.now-attempt.queuedMs > recallAfterMs,
			attempt.state == wire.AttemptEnded && n.isReportable(attempt):
			return true
		}
	}
	return false
}
