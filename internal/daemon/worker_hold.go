package daemon

import (
	"otterchute/internal/wire"
)

// A reply grants a hold: the worker keeps its attempts running until the hold has passed without
// another reply, and then ends them all (the hold lapses).

const (
	holdMaxMs     = 4000 // the longest hold; a daemon that is killed has restarted before it lapses
	lapseMarginMs = 300  // margin after the end of a hold, for differences of clocks and message delays
	driftPercent  = 2    // a worker's clock may run slow by this much
)

// holdUntil returns when the worker's hold ends, at most ownerTimeoutMs after the oldest confirmation of an
// attempt at the worker. It returns 0, so that no hold is granted, while the last one must lapse.
func (n *node) holdUntil(agent *workerAgent) int64 {
	if agent.lapseUntilMs != 0 {
		return 0
	}
	until := n.now + n.holdDurationMs()
	if n.leavingSinceMs != 0 {
		until = n.now + max(n.holdDurationMs(), n.MaxHoldMs)
	}
	for _, attempt := range agent.attempts {
		if attempt.atWorker() {
			until = min(until, attempt.confirmedMs+ownerTimeoutMs)
		}
	}
	return until
}

// formerHoldMs returns the longest hold that a former process of this daemon may have granted to running attempts, by
// a clock that runs slow. A process that stops in order grants more than holdMaxMs, see holdUntil.
func (n *node) formerHoldMs() int64 {
	return min(max(n.holdDurationMs(), n.MaxHoldMs), ownerTimeoutMs) * (100 + driftPercent) / 100
}

// holdDurationMs returns the length of the hold that a reply grants.
func (n *node) holdDurationMs() int64 {
	if n.MaxHoldMs > 0 {
		return min(holdMaxMs, n.MaxHoldMs)
	}
	return holdMaxMs
}

// letHoldLapse lets the worker's hold lapse: an end whose attempt may have been replaced can be
// acknowledged only after that. It is called only when many other ends wait behind such an end.
func (a *workerAgent) letHoldLapse() {
	if a.lapseUntilMs == 0 {
		a.lapseUntilMs = a.holdUntilMs + lapseMarginMs
	}
}

// voidEnds records that the hold has lapsed: ends before that can be acknowledged to the worker, and
// no longer have to wait for their owner's decision as late ends.
func (a *workerAgent) voidEnds() {
	for _, attempt := range a.attempts {
		attempt.endedLate, attempt.voided = false, attempt.voided || attempt.ordered
	}
}

// endAfterSilence ends the worker's attempts once its hold has certainly lapsed, or it is gone. It reports
// whether any attempt has ended.
func (n *node) endAfterSilence(agent *workerAgent) (changed bool) {
	if n.now > agent.lapseUntilMs && agent.lapseUntilMs != 0 { // the hold has lapsed: late ends may be acknowledged
		agent.lapseUntilMs = 0
		changed = n.resolveLostAttempts(agent)
		agent.voidEnds()
	}
	silent := n.now > agent.holdUntilMs+lapseMarginMs && n.now-agent.lastContactMs > lapseMarginMs
	gone := agent.goneAtMs != 0 && n.now > agent.goneAtMs
	if agent.replaced || !silent && !gone {
		return changed
	}
	if agent.goneAtMs == 0 {
		agent.voidEnds()
	}
	if silent && agent.signedOff {
		agent.goneAtMs = n.now
	}
	if n.resolveLostAttempts(agent) {
		changed = true
		n.log("worker_silent", "worker", agent.worker, "silent_ms", n.now-agent.lastContactMs)
	}
	return changed
}

// resolveLostAttempts ends all attempts of a worker that certainly runs none of them any more.
func (n *node) resolveLostAttempts(agent *workerAgent) (resolved bool) {
	for _, key := range agent.keys() {
		attempt := agent.attempts[key]
		if attempt.state == wire.AttemptEnded {
			continue
		}
		if attempt.state == wire.AttemptQueued {
			attempt.result = wire.ResultShed
		} else {
			attempt.result = wire.ResultLost
			n.count("runs_lost")
		}
		attempt.state, resolved = wire.AttemptEnded, true
	}
	return resolved
}
