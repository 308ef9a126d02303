package daemon

import (
	"otterchute/internal/wire"

	"github.com/tidwall/gjson"
)

// A heartbeat lists all attempts that run at its worker, and the ends that are not acknowledged yet, in the order of
// their numbers and at most heartbeatEndsMax of them. A list of that length may be cut short: an attempt that is in
// neither list may have ended, and its end follows once earlier ones are acknowledged.

// listedChanges tells what a heartbeat's lists have changed.
type listedChanges struct {
	ended    bool // attempts have ended
	report   bool // owners need a full report
	complete bool // an attempt that the lists don't contain neither runs nor has an end to be acknowledged
}

// endedList collects the attempts that a heartbeat lists as ended.
type endedList struct {
	keys        map[wire.AttemptKey]bool
	count       int   // all entries, including those that no daemon ordered
	firstNumber int64 // lowest number of an end
	lastLapse   int64 // highest number of an attempt ended by a lapse; lower numbers ended before that lapse
	changed     bool
}

// isCutShort reports whether more ends may follow those that a heartbeat lists.
func (l *endedList) isCutShort() bool { return l.count >= heartbeatEndsMax }

// applyHeartbeatLists updates the agent's attempts from the worker's lists. If heartbeats were missed, the
// times of the changes since the last one are unknown.
func (n *node) applyHeartbeatLists(agent *workerAgent, heartbeat gjson.Result, missed bool) (changes listedChanges) {
	running := map[wire.AttemptKey]bool{}
	heartbeat.Get("running").ForEach(func(_, e gjson.Result) bool {
		if key, ok := parseHeartbeatRun(e); ok {
			running[key] = true
			changes.report = n.applyRunning(agent, key, e, missed) || changes.report
		}
		return true
	})
	list := &endedList{keys: map[wire.AttemptKey]bool{}}
	heartbeat.Get("ended").ForEach(func(_, e gjson.Result) bool {
		n.applyEnded(agent, list, e, missed)
		return true
	})
	for number, key := range agent.endsByNumber {
		if attempt := agent.attempts[key]; number < list.lastLapse && attempt != nil {
			attempt.endedLate, attempt.voided = false, true
		}
	}
	if list.firstNumber > 0 && agent.acknowledgedEnds < list.firstNumber-1 {
		agent.acknowledgedEnds = list.firstNumber - 1
	}
	if changes.complete = !list.isCutShort(); !changes.complete {
		n.count("heartbeats_cut_short")
	}
	changes.ended = n.endUnlisted(agent, running, list) || list.changed
	return changes
}

// adoptUnknown adds an attempt that only the worker lists, since a former agent ordered it.
func (a *workerAgent) adoptUnknown(key wire.AttemptKey, now int64) *agentAttempt {
	attempt := &agentAttempt{
		state: wire.AttemptOrdered, specUnknown: true, ordered: true, unobserved: true,
		adoptedMs: now, spec: wire.TaskSpec{Key: key}, confirmedMs: -1 << 40,
	}
	a.attempts[key] = attempt
	return attempt
}

// applyRunning applies one attempt that a heartbeat lists as running. It reports whether owners need a
// full report.
func (n *node) applyRunning(agent *workerAgent, key wire.AttemptKey, entry gjson.Result, missed bool) (changed bool) {
	attempt := agent.attempts[key]
	if attempt == nil {
		attempt = agent.adoptUnknown(key, n.now)
		attempt.orderedMs = n.now
		changed = true
	}
	agent.receivedReply = max(agent.receivedReply, attempt.orderedIn)
	if attempt.state != wire.AttemptRunning {
		if attempt.state == wire.AttemptEnded {
			n.log("attempt_runs_after_end", "attempt", key.String(), "worker", agent.worker)
		}
		changed = changed || attempt.spec.Gang
		attempt.state, attempt.ordered, attempt.startedMs, attempt.lastProgressMs = wire.AttemptRunning, true, n.now, n.now
		attempt.unobserved = attempt.unobserved || missed
	}
	if progress := entry.Get("percent").Int(); progress != attempt.percent {
		attempt.percent, attempt.lastProgressMs = progress, n.now
	}
	if saved := entry.Get("saved").Str; saved != "" {
		attempt.spec.Checkpoint = saved
	}
	return changed
}

// applyEnded applies one attempt that a heartbeat lists as ended.
func (n *node) applyEnded(agent *workerAgent, list *endedList, entry gjson.Result, missed bool) {
	number, outcome := entry.Get("n").Int(), entry.Get("outcome").Str
	list.count++
	if list.firstNumber == 0 || number < list.firstNumber {
		list.firstNumber = number
	}
	if outcome == "lapsed" {
		list.lastLapse = max(list.lastLapse, number)
	}
	key, ok := parseHeartbeatRun(entry)
	if !ok || !heartbeatOutcomes[outcome] {
		agent.endsByNumber[number] = wire.AttemptKey{}
		return
	}
	list.keys[key], agent.endsByNumber[number] = true, key
	attempt := agent.attempts[key]
	if _, tombstoned := agent.tombstones[key]; tombstoned && attempt == nil {
		return
	}
	if attempt == nil { // ordered by a former agent, which may have been cut off from the owner for long
		attempt = agent.adoptUnknown(key, n.now)
		attempt.startedMs = n.now
		attempt.endedLate = finalOutcomes[outcome]
	}
	agent.receivedReply = max(agent.receivedReply, attempt.orderedIn)
	if saved := entry.Get("saved").Str; saved != "" {
		attempt.spec.Checkpoint = saved
	}
	// An attempt that was resolved as lost has ended by itself: its owner decides whether this end still counts.
	lost := attempt.state == wire.AttemptEnded && attempt.result == wire.ResultLost && !attempt.acked &&
		finalOutcomes[outcome]
	if attempt.state != wire.AttemptEnded || lost {
		attempt.endedLate = (attempt.endedLate || lost) && !attempt.voided
		list.changed = true
		attempt.unobserved = attempt.unobserved || missed
		n.endAttempt(agent, attempt, outcome, max(n.now-max(attempt.startedMs, attempt.orderedMs), 1))
	}
}

// endUnlisted ends attempts that the worker no longer lists, and forgets acknowledged ones. If the list of ends is cut
// short, nothing is known of an attempt that it doesn't contain.
func (n *node) endUnlisted(agent *workerAgent, running map[wire.AttemptKey]bool, ended *endedList) (changed bool) {
	for _, key := range agent.keys() {
		attempt := agent.attempts[key]
		attempt.listed = running[key]
		switch {
		case running[key] || ended.keys[key]:
		case attempt.state == wire.AttemptEnded && attempt.acked:
			agent.forget(key, n.now)
		case ended.isCutShort():
		case attempt.state == wire.AttemptOrdered && attempt.orderSeq < agent.reportSeq:
			attempt.state, attempt.result, changed = wire.AttemptEnded, wire.ResultRejected, true
			n.count("starts_not_taken")
		case attempt.state == wire.AttemptRunning:
			attempt.state, attempt.result, changed = wire.AttemptEnded, wire.ResultLost, true
		}
	}
	return changed
}
