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
	holdMaxMs = 4000 // a heartbeat's answer holds its worker this long; a daemon that is killed is back before
	// ownerTimeoutMs is how long an agent keeps a run without its owner's word: longer than a
	// takeover or a short cut.
	ownerTimeoutMs   = 7000
	staleStopMs      = 900    // before that it stops the run, in time for the stop to be listed
	lapseMarginMs    = 300    // past the longest a hold may last, for what clocks and messages differ by
	driftPercent     = 2      // a worker's clock may run this much slow
	heartbeatMs      = 50     // a worker sends its heartbeat again after this; an order waits half of it in the mean
	stallMs          = 1500   // work that does not move for this long, and a tenth of its estimate, stands still
	lastPercent      = 99     // a worker tells no more of work that has not ended
	blockedEndsMax   = 100    // ends that wait behind a late one before the hold is let run out
	heartbeatEndsMax = 500    // ends that one heartbeat tells of at most
	signOffDelayMs   = 500    // a worker that said it goes has ended this long after
	leaveStopMs      = 800    // so long before its worker leaves, work that saves is stopped, to go on elsewhere
	goneAgentKeepMs  = 60_000 // a worker's agent whose worker is gone keeps the ends nobody took note of for this long
)

// An agent beside its worker: the worker's heartbeats reach no other
// daemon, and its orders leave in the answers to them. Heartbeats come one after the
// other, so that a heartbeat tells what became of all that earlier answers ordered.

var heartbeatOutcomes = map[string]bool{
	"ok":          true,
	"failed":      true,
	"stopped":     true,
	"lapsed":      true,
	"broken":      true,
	"alone":       true,
	"turned_away": true,
}

// finalOutcomes are the outcomes that a task's record stands on: they must not be
// taken note of where another run took their place.
var finalOutcomes = map[string]bool{"ok": true, "failed": true}

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

// taskOrder is one task in the answer to a heartbeat.
type taskOrder struct {
	Job     string          `json:"job"`
	Round   int32           `json:"round"`
	Step    int32           `json:"step"`
	Index   int32           `json:"index"`
	Run     int32           `json:"run"`
	Payload json.RawMessage `json:"payload,omitempty"`
	Saved   string          `json:"saved,omitempty"`
}

type heartbeatReply struct {
	HoldMs           int64       `json:"hold_ms"`
	AcknowledgedEnds int64       `json:"seen"`
	IntervalMs       int64       `json:"again_ms"`
	Start            []taskOrder `json:"start"`
	Stop             []taskOrder `json:"stop"`
}

func newTaskOrder(key wire.AttemptKey) taskOrder {
	round, step, index, _ := parseUniformTaskID(key.Task)
	return taskOrder{Job: key.Job, Round: round, Step: step, Index: index, Run: key.Attempt}
}

// parseHeartbeatRun reads which run an entry of a heartbeat speaks of; false for one that no
// otterchute ever ordered.
func parseHeartbeatRun(entry gjson.Result) (wire.AttemptKey, bool) {
	round, attempt := entry.Get("round").Int(), entry.Get("run").Int()
	key := wire.AttemptKey{
		Job:     entry.Get("job").Str,
		Task:    uniformTaskID(int32(round), int32(entry.Get("step").Int()), int32(entry.Get("index").Int())),
		Attempt: int32(attempt),
	}
	return key, round >= 0 && schema.ValidName(key.Job) && attempt > 0
}

// handleHeartbeat takes a worker's word and answers with what is to start and stop.
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
	if agent == nil {
		agent = n.addColocatedAgent(req.key)
	}
	seq := heartbeat.Get("seq").Int()
	if agent.replaced || !agent.colocated || seq <= agent.reportSeq {
		n.respond(req, 200, 0, mustJSON(heartbeatReply{IntervalMs: heartbeatMs, Start: []taskOrder{}, Stop: []taskOrder{}}))
		return
	}
	changed, missed := !agent.rebuilt, n.now-agent.lastContactMs > freezeThresholdMs
	agent.reportSeq, agent.lastContactMs, agent.tokenMs = seq, n.now, n.now
	agent.zone, agent.rack, agent.labels = heartbeat.Get("site").Str, heartbeat.Get("rack").Str, labelsOf(heartbeat.Get("labels"))
	agent.capacity = resource.Parse(heartbeat.Get("capacity"))
	agent.free = agent.capacity
	if leaving := heartbeat.Get("leaving").Bool(); leaving != agent.leaving {
		agent.leaving, changed = leaving, true
		n.log("worker_leaving", "worker", agent.worker, "leaving", leaving, "leaves_ms", heartbeat.Get("leaves_ms").Int())
	}
	if leaves := heartbeat.Get("leaves_ms"); leaves.Exists() && agent.leaving {
		agent.leavesAtMs = n.now + leaves.Int()
	}
	ended, differs := n.applyHeartbeatLists(agent, heartbeat, missed)
	changed = changed || differs
	if !agent.rebuilt { // what a former agent here ordered is listed, or never starts
		agent.rebuilt, agent.adoptedMs = true, n.now
		agent.holdUntilMs = n.now + holdMaxMs*(100+driftPercent)/100
		n.log("agent_rebuilt", "worker", agent.worker, "epoch", agent.epoch, "held", len(agent.attempts))
	}
	n.detectStalledWork(agent)
	n.ejectIfUnhealthy(agent)
	agent.replying = true
	n.startPending(agent)
	agent.replying = false
	n.respond(req, 200, 0, mustJSON(n.heartbeatReply(agent)))
	switch {
	case changed:
		n.reportAgent(agent)
	case ended || agent.changesPending:
		n.reportChanges(agent)
	}
}

// addColocatedAgent makes the agent of a worker that sends heartbeats here. One worker stands at a
// place: another that did so before has crashed, and runs nothing any more.
func (n *node) addColocatedAgent(worker string) *workerAgent {
	for _, name := range sortedKeys(n.agents) {
		if old := n.agents[name]; old.colocated && !old.replaced {
			n.log("worker_replaced", "worker", name, "by", worker)
			n.resolveLostAttempts(old)
			old.replaced, old.leaving = true, true
			n.reportAgent(old)
		}
	}
	agent := &workerAgent{
		worker:        worker,
		epoch:         n.Incarnation,
		startMs:       n.now,
		attempts:      map[wire.AttemptKey]*agentAttempt{},
		tombstones:    map[wire.AttemptKey]int64{},
		ownerEpochs:   map[string]uint64{},
		lastSuccessMs: n.now,
		lastContactMs: n.now,
		tokenMs:       -1 << 40,
		colocated:     true,
		endsByNumber:  map[int64]wire.AttemptKey{},
		ownerReplyMs:  map[string]int64{},
	}
	n.agents[worker] = agent
	n.log("worker_new", "worker", worker, "epoch", agent.epoch)
	return agent
}

// resolveLostAttempts resolves all that a worker surely doesn't run any more.
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

// endedList is what a heartbeat lists as ended.
type endedList struct {
	keys        map[wire.AttemptKey]bool
	count       int   // also of what isn't one of ours
	firstNumber int64 // lowest number
	lastLapse   int64 // highest number of a lapse: what ended before it ended before that lapse
	changed     bool
}

// applyHeartbeatLists brings what is held in line with what the worker lists; missed says
// that no heartbeat was heard for so long that nobody knows when it came about. It tells
// whether attempts ended, and whether owners must hear all of what is held.
func (n *node) applyHeartbeatLists(agent *workerAgent, heartbeat gjson.Result, missed bool) (ended, changed bool) {
	running := map[wire.AttemptKey]bool{}
	heartbeat.Get("running").ForEach(func(_, e gjson.Result) bool {
		if key, ok := parseHeartbeatRun(e); ok {
			running[key] = true
			changed = n.applyRunning(agent, key, e, missed) || changed
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
	return n.endUnlisted(agent, running, list) || list.changed, changed
}

// adoptUnknown takes a run that only the worker knew of, as a former agent had ordered it.
func (a *workerAgent) adoptUnknown(key wire.AttemptKey, now int64) *agentAttempt {
	attempt := &agentAttempt{
		state: wire.AttemptOrdered, specUnknown: true, ordered: true, unobserved: true,
		adoptedMs: now, spec: wire.TaskSpec{Key: key}, confirmedMs: -1 << 40,
	}
	a.attempts[key] = attempt
	return attempt
}

// applyRunning applies one run that a heartbeat lists as running.
func (n *node) applyRunning(agent *workerAgent, key wire.AttemptKey, entry gjson.Result, missed bool) (changed bool) {
	attempt := agent.attempts[key]
	if attempt == nil {
		attempt = agent.adoptUnknown(key, n.now)
		attempt.orderedMs = n.now
		changed = true
	}
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

// applyEnded applies one run that a heartbeat lists as ended.
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
	if attempt == nil { // of a former agent, that may have been cut off for long
		attempt = agent.adoptUnknown(key, n.now)
		attempt.startedMs = n.now
		attempt.endedLate = finalOutcomes[outcome]
	}
	if saved := entry.Get("saved").Str; saved != "" {
		attempt.spec.Checkpoint = saved
	}
	// A run given up as lost that ended by itself after all: its owner says whether it still counts.
	lost := attempt.state == wire.AttemptEnded && attempt.result == wire.ResultLost && !attempt.acked &&
		finalOutcomes[outcome]
	if attempt.state != wire.AttemptEnded || lost {
		attempt.endedLate = (attempt.endedLate || lost) && !attempt.voided
		list.changed = true
		attempt.unobserved = attempt.unobserved || missed
		n.endAttempt(agent, attempt, outcome, max(n.now-max(attempt.startedMs, attempt.orderedMs), 1))
	}
}

// endUnlisted ends what the worker no longer lists, and forgets what is acknowledged.
func (n *node) endUnlisted(agent *workerAgent, running map[wire.AttemptKey]bool, ended *endedList) (changed bool) {
	for _, key := range agent.keys() {
		attempt := agent.attempts[key]
		attempt.listed = running[key]
		mayBeCutShort := ended.count >= heartbeatEndsMax // there may be more than it could list
		switch {
		case running[key] || ended.keys[key] || mayBeCutShort && attempt.state == wire.AttemptRunning:
		case attempt.state == wire.AttemptOrdered && attempt.orderSeq < agent.reportSeq:
			attempt.state, attempt.result, changed = wire.AttemptEnded, wire.ResultRejected, true
			n.count("starts_not_taken")
		case attempt.state == wire.AttemptRunning:
			attempt.state, attempt.result, changed = wire.AttemptEnded, wire.ResultLost, true
		case attempt.state == wire.AttemptEnded && attempt.acked:
			agent.forget(key, n.now)
		}
	}
	return changed
}

// heartbeatReply says what starts and stops, which ends are acknowledged, and how
// long the worker goes on without another answer.
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

// atWorker tells whether the worker has an attempt, or may have it.
func (a *agentAttempt) atWorker() bool {
	return a.state == wire.AttemptOrdered || a.state == wire.AttemptRunning
}

// acknowledgeEnds counts on over the ends, by their numbers, that are in their owners'
// records. Where too many wait behind a late one it lets the hold run out.
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
	if attempt := agent.attempts[agent.endsByNumber[agent.acknowledgedEnds+1]]; len(agent.endsByNumber) > blockedEndsMax &&
		attempt != nil && attempt.endedLate {
		n.count("ends_waited")
		agent.letHoldLapse()
	}
	for number := range agent.endsByNumber {
		if number <= agent.acknowledgedEnds {
			delete(agent.endsByNumber, number)
		}
	}
}

// isAcknowledged tells whether an end needs no more of its owner's word; the zero key stands
// for an end that is none of ours.
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

// holdUntil is when the worker's hold ends: never later than the oldest owner's word on what
// it runs allows, and at once while the hold is to run out.
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

// holdDurationMs is how long an answer holds its worker.
func (n *node) holdDurationMs() int64 {
	if n.MaxHoldMs > 0 {
		return min(holdMaxMs, n.MaxHoldMs)
	}
	return holdMaxMs
}

// recordOwnerReply notes that an owner answered a sync. Where it was silent for longer
// than its word is good, or never answered this agent, it may have given up what
// runs here, and what ended by itself meanwhile counts only if it says so.
//
// What counts is when the answer came: a sync that a cut held up was sent in
// time and heard too late.
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

// letHoldLapse lets the worker's hold run out: an end that another run took the place
// of may be taken note of only after that. It waits until many others wait behind it.
func (a *workerAgent) letHoldLapse() {
	if a.lapseUntilMs == 0 {
		a.lapseUntilMs = a.holdUntilMs + lapseMarginMs
	}
}

// voidEnds notes that the hold lapsed: what ended before that stands for nothing
// once it is taken note of.
func (a *workerAgent) voidEnds() {
	for _, attempt := range a.attempts {
		attempt.endedLate, attempt.voided = false, attempt.voided || attempt.ordered
	}
}

// detectStalledWork stops work that stands still, or that its worker's leaving would cut off.
func (n *node) detectStalledWork(agent *workerAgent) {
	stalled := false
	for _, key := range agent.keys() {
		attempt := agent.attempts[key]
		if attempt.state != wire.AttemptRunning || attempt.stopMs != 0 || attempt.specUnknown {
			continue
		}
		// A member of a gang waits for the others at its beginning, and at its end,
		// which comes for all at once.
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

// tickColocatedAgent ends what silence of the worker or of owners ends, and reports.
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

// queuedSilenceMs is how long a worker may be silent before what waits for it, and never
// started, goes back to its owner.
func (n *node) queuedSilenceMs() int64 {
	if n.Policies.On(scheduler.AvoidSilent) {
		return quietMs
	}
	return ownerContactMs
}

// endAfterSilence gives up what the worker held once its hold has surely lapsed, or it is gone.
func (n *node) endAfterSilence(agent *workerAgent) (changed bool) {
	if n.now > agent.lapseUntilMs && agent.lapseUntilMs != 0 { // the hold has lapsed: late ends may go
		agent.lapseUntilMs = 0
		changed = n.resolveLostAttempts(agent)
		agent.voidEnds()
	}
	silent := n.now > agent.holdUntilMs+lapseMarginMs && n.now-agent.lastContactMs > lapseMarginMs
	gone := agent.goneAtMs != 0 && n.now > agent.goneAtMs
	if !agent.rebuilt || agent.replaced || !silent && !gone {
		return changed
	}
	if agent.goneAtMs == 0 {
		agent.voidEnds()
	}
	if n.resolveLostAttempts(agent) {
		changed = true
		n.log("worker_silent", "worker", agent.worker, "silent_ms", n.now-agent.lastContactMs)
	}
	return changed
}

// isFinished tells whether an agent whose worker is gone or replaced has nothing left to tell.
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

// handleWorkerGone takes a worker's word that it ends now.
func (n *node) handleWorkerGone(req *request) {
	if agent := n.agents[req.key]; agent != nil && agent.colocated && agent.goneAtMs == 0 {
		agent.leaving, agent.goneAtMs = true, n.now+signOffDelayMs
		n.log("worker_gone", "worker", agent.worker)
		n.reportAgent(agent)
	}
	n.respond(req, 200, 0, mustJSON(map[string]any{"worker": req.key}))
}
