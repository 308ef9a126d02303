package daemon

import (
	"encoding/json"
	"slices"

	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/schema"
	"otterchute/internal/wire"

	"github.com/tidwall/gjson"
)

const (
	// ownerTimeoutMs is how long an agent keeps an attempt running without its owner's confirmation. It is
	// longer than a takeover of the shard or a short partition.
	ownerTimeoutMs   = 7000
	staleStopMs      = 900    // unconfirmed attempts stop this long before ownerTimeoutMs, to report the end in time
	heartbeatMs      = 50     // interval of a worker's heartbeats; an order waits half of it on average
	stallMs          = 1500   // work has stalled without progress for this long plus a tenth of its estimate
	lastPercent      = 99     // the highest progress that a worker reports before an attempt ends
	lateEndsMax      = 100    // ends that may wait behind a refused one; beyond, the hold must lapse
	heartbeatEndsMax = 500    // most ends that one heartbeat lists
	signOffDelayMs   = 500    // a drained worker that signed off has ended after this time, unless it reports again
	leaveStopMs      = 800    // checkpointing attempts stop this long before their worker leaves, to resume elsewhere
	goneAgentKeepMs  = 60_000 // the agent of a worker that has gone keeps unacknowledged ends for this long
)

// A colocated agent is the only recipient of its worker's heartbeats, and sends its orders in the replies.
// A worker's heartbeats are sequential, so each one shows the effect of all orders in earlier replies.

// heartbeatOutcomes are the outcomes that a worker may report for an attempt.
var heartbeatOutcomes = map[string]bool{
	"ok":          true,
	"failed":      true,
	"stopped":     true,
	"lapsed":      true,
	"broken":      true,
	"alone":       true,
	"turned_away": true,
}

// finalOutcomes are the outcomes that decide a task's record. They must not be acknowledged to the
// worker if another attempt may have replaced theirs.
var finalOutcomes = map[string]bool{"ok": true, "failed": true}

// heartbeatRunFields is the schema of one attempt in a heartbeat.
var heartbeatRunFields = map[string]schema.Field{
	"job": {
		Kind:     schema.String,
		Required: true,
		Min:      1,
		Max:      300,
	},
	"round": {Kind: schema.Any, Required: true},
	"step":  {Kind: schema.Integer},
	"index": {Kind: schema.Integer},
	"run": {
		Kind: schema.Integer,
	},
	"saved":   {Kind: schema.String, Max: 1 << 16},
	"percent": {Kind: schema.Number},
	"n":       {Kind: schema.Integer},
	"outcome": {Kind: schema.Name},
}

// heartbeatFields is the schema of a heartbeat.
var heartbeatFields = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"seq": {
		Kind:     schema.Integer,
		Required: true,
		Min:      1,
	},
	"site":      {Kind: schema.Name, Required: true},
	"address":   {Kind: schema.String, Max: 200},
	"labels":    {Kind: schema.Labels},
	"rack":      {Kind: schema.String, Max: 200},
	"capacity":  {Kind: schema.Any, Required: true},
	"leaving":   {Kind: schema.Bool},
	"leaves_ms": {Kind: schema.Integer},
	"cold_ms":   {Kind: schema.Integer},
	"running":   {Kind: schema.List, Max: 100_000, Elem: &schema.Field{Kind: schema.Object, Fields: heartbeatRunFields}},
	"ended":     {Kind: schema.List, Max: 100_000, Elem: &schema.Field{Kind: schema.Object, Fields: heartbeatRunFields}},
}}

// taskOrder is an order to start or stop an attempt, in the reply to a heartbeat.
type taskOrder struct {
	Job     string          `json:"job"`
	Round   int32           `json:"round"`
	Step    int32           `json:"step"`
	Index   int32           `json:"index"`
	Run     int32           `json:"run"`
	Payload json.RawMessage `json:"payload,omitempty"`
	Saved   string          `json:"saved,omitempty"`
}

// heartbeatReply is the reply to a worker's heartbeat.
type heartbeatReply struct {
	HoldMs           int64       `json:"hold_ms"`
	AcknowledgedEnds int64       `json:"seen"`
	IntervalMs       int64       `json:"again_ms"`
	Start            []taskOrder `json:"start"`
	Stop             []taskOrder `json:"stop"`
}

// newTaskOrder returns an order for an attempt, without payload and checkpoint.
func newTaskOrder(key wire.AttemptKey) taskOrder {
	round, step, index, _ := parseUniformTaskID(key.Task)
	return taskOrder{Job: key.Job, Round: round, Step: step, Index: index, Run: key.Attempt}
}

// parseHeartbeatRun returns the key of the attempt in an entry of a heartbeat; false if no daemon can
// have ordered it.
func parseHeartbeatRun(entry gjson.Result) (wire.AttemptKey, bool) {
	round, attempt := entry.Get("round").Int(), entry.Get("run").Int()
	key := wire.AttemptKey{
		Job:     entry.Get("job").Str,
		Task:    uniformTaskID(int32(round), int32(entry.Get("step").Int()), int32(entry.Get("index").Int())),
		Attempt: int32(attempt),
	}
	return key, round >= 0 && schema.ValidName(key.Job) && attempt > 0
}

// handleHeartbeat applies a worker's heartbeat and replies with the attempts to start and stop.
func (n *node) handleHeartbeat(req *request) {
	if !schema.ValidName(req.key) {
		n.rejectFaults(req, 400, 0, []schema.Fault{{Path: "worker", Reason: "must be a name"}})
		return
	}
	if faults := schema.Check(req.body, heartbeatFields); len(faults) > 0 {
		n.log("heartbeat_unreadable", "worker", req.key, "path", faults[0].Path, "reason", faults[0].Reason)
		n.rejectFaults(req, 400, 0, faults)
		return
	}
	heartbeat := gjson.ParseBytes(req.body)
	agent := n.agents[req.key]
	if agent == nil && !n.isFormerWorker(req.key) {
		if !n.hasRoomForWorker() {
			n.reject(req, "too many workers report here")
			return
		}
		agent = n.addColocatedAgent(req.key)
	}
	seq := heartbeat.Get("seq").Int()
	if agent == nil || agent.replaced || !agent.colocated || seq <= agent.reportSeq {
		n.respond(req, 200, 0, mustJSON(heartbeatReply{IntervalMs: heartbeatMs, Start: []taskOrder{}, Stop: []taskOrder{}}))
		return
	}
	n.recordLife(agent, req.connection)
	changed, missed := !agent.rebuilt, n.now-agent.lastContactMs > freezeThresholdMs
	agent.reportSeq, agent.lastContactMs, agent.tokenMs = seq, n.now, n.now
	changed = n.applyWorkerState(agent, heartbeat) || changed
	listed := n.applyHeartbeatLists(agent, heartbeat, missed)
	changed = changed || listed.report
	if agent.heartbeats == 1 && len(agent.attempts) > 0 {
		agent.holdUntilMs = max(agent.holdUntilMs, n.now+n.formerHoldMs())
	}
	n.endFormerWorkers(agent)
	if !agent.rebuilt && listed.complete && n.mayServe(agent) { // a former agent's attempts are listed or can't start
		agent.rebuilt = true
		n.log("agent_rebuilt", "worker", agent.worker, "epoch", agent.epoch, "held", len(agent.attempts))
	}
	n.detectStalledWork(agent)
	n.ejectIfUnhealthy(agent)
	agent.replying = true
	n.startPending(agent)
	agent.replying = false
	n.respond(req, 200, 0, mustJSON(n.heartbeatReply(agent)))
	agent.repliedOn, agent.repliedAt = req.connection, n.heartbeatCount
	switch {
	case changed:
		n.reportAgent(agent)
	case listed.ended || agent.changesPending:
		n.reportChanges(agent)
	}
}

// applyWorkerState applies what a heartbeat says of the worker itself. It reports whether owners need a full report.
func (n *node) applyWorkerState(agent *workerAgent, heartbeat gjson.Result) (changed bool) {
	agent.zone, agent.rack, agent.labels = heartbeat.Get("site").Str, heartbeat.Get("rack").Str,
		labelsOf(heartbeat.Get("labels"))
	agent.capacity = resource.Parse(heartbeat.Get("capacity"))
	agent.free = agent.capacity
	agent.draining, agent.goneAtMs = heartbeat.Get("leaving").Bool(), 0 // a worker that reports has not ended
	if leaving := agent.draining || agent.signedOff; leaving != agent.leaving {
		agent.leaving, changed = leaving, true
		n.log("worker_leaving", "worker", agent.worker, "leaving", leaving, "leaves_ms", heartbeat.Get("leaves_ms").Int())
	}
	if leaves := heartbeat.Get("leaves_ms"); leaves.Exists() && agent.leaving {
		agent.leavesAtMs = n.now + leaves.Int()
	}
	return changed
}

// heartbeatReply returns the reply to a heartbeat: the attempts to start and stop, the acknowledged ends,
// and the hold.
func (n *node) heartbeatReply(agent *workerAgent) heartbeatReply {
	reply := heartbeatReply{IntervalMs: heartbeatMs, Start: []taskOrder{}, Stop: []taskOrder{}}
	n.acknowledgeEnds(agent)
	reply.AcknowledgedEnds = agent.acknowledgedEnds
	for _, attempt := range agent.toStart {
		order := newTaskOrder(attempt.spec.Key)
		order.Payload, order.Saved = attempt.spec.Payload, attempt.spec.Checkpoint
		reply.Start = append(reply.Start, order)
	}
	agent.toStart = nil
	for _, key := range agent.keys() {
		if attempt := agent.attempts[key]; attempt.atWorker() && attempt.stopMs != 0 {
			reply.Stop = append(reply.Stop, newTaskOrder(key))
		}
	}
	if until := n.holdUntil(agent); until > n.now {
		reply.HoldMs = until - n.now
		agent.holdUntilMs = max(agent.holdUntilMs, n.now+reply.HoldMs*(100+driftPercent)/100)
	}
	return reply
}

// atWorker reports whether the worker runs an attempt, or may run it.
func (a *agentAttempt) atWorker() bool {
	return a.state == wire.AttemptOrdered || a.state == wire.AttemptRunning
}

// acknowledgeEnds advances acknowledgedEnds over the ends, in the order of their numbers, that their owners
// have acknowledged. If too many wait behind one that its owner has refused, it lets the hold lapse.
func (n *node) acknowledgeEnds(agent *workerAgent) {
	for {
		key, ok := agent.endsByNumber[agent.acknowledgedEnds+1]
		if !ok {
			break
		}
		if !agent.isAcknowledged(key) {
			break
		}
		agent.acknowledgedEnds++
		delete(agent.endsByNumber, agent.acknowledgedEnds)
	}
	if attempt := agent.attempts[agent.endsByNumber[agent.acknowledgedEnds+1]]; len(agent.endsByNumber) > lateEndsMax &&
		attempt != nil && attempt.endedLate && attempt.endRefused {
		n.count("ends_waited")
		agent.letHoldLapse()
	}
	for number := range agent.endsByNumber {
		if number <= agent.acknowledgedEnds {
			delete(agent.endsByNumber, number)
		}
	}
}

// isAcknowledged reports whether an end needs no further acknowledgement from its owner; the zero key
// stands for an attempt that no daemon ordered.
func (a *workerAgent) isAcknowledged(key wire.AttemptKey) bool {
	if key == (wire.AttemptKey{}) {
		return true
	}
	if attempt := a.attempts[key]; attempt != nil {
		return attempt.acked
	}
	_, tombstoned := a.tombstones[key]
	return tombstoned
}

// recordOwnerReply records an owner's reply to a report. If the owner did not reply for longer than
// ownerTimeoutMs, or never replied to this agent, it may have resolved the attempts here as lost; those
// that ended by themselves meanwhile count only if the owner accepts them.
//
// The silence is measured up to the arrival of the reply, not to the sending of the report: a report
// delayed by a partition was sent in time but received too late.
func (a *workerAgent) recordOwnerReply(shard string, sentMs, now int64) {
	if !a.colocated {
		return
	}
	if lastReplyMs, ok := a.ownerReplyMs[shard]; !ok || now-lastReplyMs > ownerTimeoutMs {
		for _, attempt := range a.attempts {
			if attempt.spec.Shard == shard && attempt.state == wire.AttemptEnded &&
				(attempt.result == wire.ResultOK || attempt.result == wire.ResultFailed) &&
				!attempt.acked &&
				!attempt.voided {
				attempt.endedLate = true
			}
		}
	}
	a.ownerReplyMs[shard] = max(a.ownerReplyMs[shard], sentMs)
}

// detectStalledWork stops attempts that make no progress, that their worker's departure would cut off, or
// that are over their run limit. An attempt that a list of ends cut short leaves out has probably ended.
func (n *node) detectStalledWork(agent *workerAgent) {
	stalled := false
	for _, key := range agent.keys() {
		attempt := agent.attempts[key]
		if attempt.state != wire.AttemptRunning || !attempt.listed || attempt.stopMs != 0 || attempt.specUnknown {
			continue
		}
		// All members of a gang start and end together, so each one waits for the others at its start and its end.
		waitsForGang := attempt.spec.Gang && (attempt.percent == 0 || attempt.percent >= lastPercent)
		switch {
		case !attempt.spec.LongRunning && !waitsForGang && attempt.percent < 100 &&
			n.now-attempt.lastProgressMs > stallMs+attempt.spec.EstimateMs/10:
			stalled = true
			n.count("standing")
			n.stopAttempt(agent, attempt, wire.ResultStalled)
		case agent.leavesAtMs != 0 && attempt.spec.Checkpointing && agent.leavesAtMs-n.now < leaveStopMs:
			n.stopAttempt(agent, attempt, wire.ResultMoved)
		case attempt.spec.LimitMs > 0 && n.now-attempt.startedMs > attempt.spec.LimitMs:
			n.stopAttempt(agent, attempt, wire.ResultOverrun)
		}
	}
	if stalled && n.now >= agent.suspectUntilMs {
		n.markSuspect(agent, "stands", stallSuspectMs)
		n.reportAgent(agent)
	}
}

// tickColocatedAgent ends attempts after silence of the worker or of their owners, and sends reports.
func (n *node) tickColocatedAgent(agent *workerAgent) {
	changed := n.endAfterSilence(agent)
	for _, key := range agent.keys() {
		attempt := agent.attempts[key]
		active := attempt.state == wire.AttemptRunning || attempt.state == wire.AttemptOrdered
		switch {
		case attempt.state == wire.AttemptQueued && (n.now-agent.lastContactMs > n.queuedSilenceMs() || agent.goneAtMs != 0):
			attempt.state, attempt.result, changed = wire.AttemptEnded, wire.ResultShed, true
		case active && attempt.stopMs == 0 &&
			n.now > max(attempt.confirmedMs+ownerTimeoutMs, attempt.adoptedMs+ownerTimeoutMs)-staleStopMs:
			n.count("stale_stops")
			n.stopAttempt(agent, attempt, wire.ResultLost)
		}
	}
	n.dropOldTombstones(agent)
	n.decayHealth(agent)
	if changed {
		n.reportAgent(agent)
	}
	n.tickReports(agent)
	if n.isFinished(agent) {
		delete(n.agents, agent.worker)
	}
}

// queuedSilenceMs returns the silence of a worker after which its queued attempts go back to their owners.
func (n *node) queuedSilenceMs() int64 {
	if n.Policies.On(scheduler.AvoidSilent) {
		return quietMs
	}
	return ownerContactMs
}

// isFinished reports whether an agent whose worker is gone or replaced has nothing left to report.
func (n *node) isFinished(agent *workerAgent) bool {
	if !agent.replaced && agent.goneAtMs == 0 {
		return false
	}
	if n.now-agent.lastContactMs > goneAgentKeepMs {
		return true
	}
	unacknowledged := func(k wire.AttemptKey) bool { return !agent.attempts[k].acked }
	return !slices.ContainsFunc(agent.keys(), unacknowledged) && n.now-agent.lastContactMs > ownerContactMs
}
