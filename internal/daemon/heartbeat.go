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
	lateEndsMax      = 100    // ends that wait behind a late one before the hold is let run out
	heartbeatEndsMax = 500    // ends that one heartbeat tells of at most
	goneDelayMs      = 500    // a worker that said it goes has ended this long after
	leaveStopMs      = 800    // so long before its worker leaves, work that saves is stopped, to go on elsewhere
	workerKeepMs     = 60_000 // a worker's agent whose worker is gone keeps the ends nobody took note of for this long
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

func newTaskOrder(k wire.AttemptKey) taskOrder {
	round, step, index, _ := parseUniformTaskID(k.Task)
	return taskOrder{Job: k.Job, Round: round, Step: step, Index: index, Run: k.Attempt}
}

// parseHeartbeatRun reads which run an entry of a heartbeat speaks of; false for one that no
// otterchute ever ordered.
func parseHeartbeatRun(e gjson.Result) (wire.AttemptKey, bool) {
	round, run := e.Get("round").Int(), e.Get("run").Int()
	k := wire.AttemptKey{
		Job:     e.Get("job").Str,
		Task:    uniformTaskID(int32(round), int32(e.Get("step").Int()), int32(e.Get("index").Int())),
		Attempt: int32(run),
	}
	return k, round >= 0 && schema.ValidName(k.Job) && run > 0
}

// handleHeartbeat takes a worker's word and answers with what is to start and stop.
func (n *node) handleHeartbeat(req *request) {
	if !schema.ValidName(req.key) {
		n.rejectFaults(req, 400, 0, []schema.Fault{{Path: "worker", Reason: "must be a name"}})
		return
	}
	if f := schema.Check(req.body, heartbeatFields); len(f) > 0 {
		n.log("heartbeat_unreadable", "worker", req.key, "path", f[0].Path, "reason", f[0].Reason)
		n.rejectFaults(req, 400, 0, f)
		return
	}
	r := gjson.ParseBytes(req.body)
	agent := n.agents[req.key]
	if agent == nil {
		agent = n.addColocatedAgent(req.key)
	}
	seq := r.Get("seq").Int()
	if agent.replaced || !agent.colocated || seq <= agent.reportSeq {
		n.respond(req, 200, 0, mustJSON(heartbeatReply{IntervalMs: heartbeatMs, Start: []taskOrder{}, Stop: []taskOrder{}}))
		return
	}
	changed, missed := !agent.rebuilt, n.now-agent.lastContactMs > freezeThresholdMs
	agent.reportSeq, agent.lastContactMs, agent.tokenMs = seq, n.now, n.now
	agent.zone, agent.rack, agent.labels = r.Get("site").Str, r.Get("rack").Str, labelsOf(r.Get("labels"))
	agent.capacity = resource.Parse(r.Get("capacity"))
	agent.free = agent.capacity
	if leaving := r.Get("leaving").Bool(); leaving != agent.leaving {
		agent.leaving, changed = leaving, true
		n.log("worker_leaving", "worker", agent.worker, "leaving", leaving, "leaves_ms", r.Get("leaves_ms").Int())
	}
	if left := r.Get("leaves_ms"); left.Exists() && agent.leaving {
		agent.leavesAtMs = n.now + left.Int()
	}
	ended, differs := n.applyHeartbeatLists(agent, r, missed)
	changed = changed || differs
	if !agent.rebuilt { // what a former agent here ordered is listed, or never starts
		agent.rebuilt, agent.adoptedMs = true, n.now
		agent.holdUntilMs = n.now + holdMaxMs*(100+driftPercent)/100
		n.log("agent_rebuilt", "worker", agent.worker, "epoch", agent.epoch, "held", len(agent.attempts))
	}
	n.detectStalledWork(agent)
	n.judgeWorker(agent)
	agent.answering = true
	n.startPending(agent)
	agent.answering = false
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
			n.loseAttempts(old)
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

// loseAttempts resolves all that a worker surely doesn't run any more.
func (n *node) loseAttempts(agent *workerAgent) (some bool) {
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
		attempt.state, some = wire.AttemptEnded, true
	}
	return some
}

// endedList is what a heartbeat lists as ended.
type endedList struct {
	keys    map[wire.AttemptKey]bool
	count   int   // also of what isn't one of ours
	first   int64 // lowest number
	lapsed  int64 // highest number of a lapse: what ended before it ended before that lapse
	changed bool
}

// applyHeartbeatLists brings what is held in line with what the worker lists; missed says
// that no heartbeat was heard for so long that nobody knows when it came about. It tells
// whether attempts ended, and whether owners must hear all of what is held.
func (n *node) applyHeartbeatLists(agent *workerAgent, r gjson.Result, missed bool) (ended, changed bool) {
	running := map[wire.AttemptKey]bool{}
	r.Get("running").ForEach(func(_, e gjson.Result) bool {
		if key, ok := parseHeartbeatRun(e); ok {
			running[key] = true
			changed = n.applyRunning(agent, key, e, missed) || changed
		}
		return true
	})
	list := &endedList{keys: map[wire.AttemptKey]bool{}}
	r.Get("ended").ForEach(func(_, e gjson.Result) bool {
		n.applyEnded(agent, list, e, missed)
		return true
	})
	for number, key := range agent.endsByNumber {
		if attempt := agent.attempts[key]; number < list.lapsed && attempt != nil {
			attempt.lateEnd, attempt.voided = false, true
		}
	}
	if list.first > 0 && agent.acknowledgedEnds < list.first-1 {
		agent.acknowledgedEnds = list.first - 1
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
func (n *node) applyRunning(agent *workerAgent, key wire.AttemptKey, e gjson.Result, missed bool) (changed bool) {
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
	if p := e.Get("percent").Int(); p != attempt.percent {
		attempt.percent, attempt.lastProgressMs = p, n.now
	}
	if saved := e.Get("saved").Str; saved != "" {
		attempt.spec.Checkpoint = saved
	}
	return changed
}

// applyEnded applies one run that a heartbeat lists as ended.
func (n *node) applyEnded(agent *workerAgent, list *endedList, e gjson.Result, missed bool) {
	number, outcome := e.Get("n").Int(), e.Get("outcome").Str
	list.count++
	if list.first == 0 || number < list.first {
		list.first = number
	}
	if outcome == "lapsed" {
		list.lapsed = max(list.lapsed, number)
	}
	key, ok := parseHeartbeatRun(e)
	if !ok || !heartbeatOutcomes[outcome] {
		agent.endsByNumber[number] = wire.AttemptKey{}
		return
	}
	list.keys[key], agent.endsByNumber[number] = true, key
	attempt := agent.attempts[key]
	if _, buried := agent.tombstones[key]; buried && attempt == nil {
		return
	}
	if attempt == nil { // of a former agent, that may have been cut off for long
		attempt = agent.adoptUnknown(key, n.now)
		attempt.startedMs = n.now
		attempt.lateEnd = finalOutcomes[outcome]
	}
	if saved := e.Get("saved").Str; saved != "" {
		attempt.spec.Checkpoint = saved
	}
	// A run given up as lost that ended by itself after all: its owner says whether it still counts.
	lost := attempt.state == wire.AttemptEnded && attempt.result == wire.ResultLost && !attempt.acked &&
		finalOutcomes[outcome]
	if attempt.state != wire.AttemptEnded || lost {
		attempt.lateEnd = (attempt.lateEnd || lost) && !attempt.voided
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
	out := heartbeatReply{IntervalMs: heartbeatMs, Start: []taskOrder{}, Stop: []taskOrder{}}
	n.acknowledgeEnds(agent)
	out.AcknowledgedEnds = agent.acknowledgedEnds
	for _, attempt := range agent.toStart {
		v := newTaskOrder(attempt.spec.Key)
		v.Payload, v.Saved = attempt.spec.Payload, attempt.spec.Checkpoint
		out.Start = append(out.Start, v)
	}
	agent.toStart = nil
	for _, key := range agent.keys() {
		if attempt := agent.attempts[key]; attempt.atWorker() && attempt.stopMs != 0 {
			out.Stop = append(out.Stop, newTaskOrder(key))
		}
	}
	if until := n.holdUntil(agent); until > n.now {
		out.HoldMs = until - n.now
		agent.holdUntilMs = max(agent.holdUntilMs, n.now+out.HoldMs*(100+driftPercent)/100)
	}
	return out
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
	if attempt := agent.attempts[agent.endsByNumber[agent.acknowledgedEnds+1]]; len(agent.endsByNumber) > lateEndsMax &&
		attempt != nil && attempt.lateEnd {
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
	_, buried := a.tombstones[key]
	return buried
}

// holdUntil is when the worker's hold ends: never later than the oldest owner's word on what
// it runs allows, and at once while the hold is to run out.
func (n *node) holdUntil(agent *workerAgent) int64 {
	if agent.lapseUntilMs != 0 {
		return 0
	}
	until := n.now + n.holdSpan()
	if n.leavingSinceMs != 0 {
		until = n.now + max(n.holdSpan(), n.MaxHoldMs)
	}
	for _, attempt := range agent.attempts {
		if attempt.atWorker() {
			until = min(until, attempt.confirmedMs+ownerTimeoutMs)
		}
	}
	return until
}

// holdSpan is how long an answer holds its worker.
func (n *node) holdSpan() int64 {
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
func (a *workerAgent) recordOwnerReply(slice string, sentMs, now int64) {
	if !a.colocated {
		return
	}
	if before, ok := a.ownerReplyMs[slice]; !ok || now-before > ownerTimeoutMs {
		for _, attempt := range a.attempts {
			if attempt.spec.Shard == slice && attempt.state == wire.AttemptEnded &&
				(attempt.result == wire.ResultOK || attempt.result == wire.ResultFailed) &&
				!attempt.acked &&
				!attempt.voided {
				attempt.lateEnd = true
			}
		}
	}
	a.ownerReplyMs[slice] = max(a.ownerReplyMs[slice], sentMs)
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
		attempt.lateEnd, attempt.voided = false, attempt.voided || attempt.ordered
	}
}

// detectStalledWork stops work that stands still, or that its worker's leaving would cut off.
func (n *node) detectStalledWork(agent *workerAgent) {
	standing := false
	for _, key := range agent.keys() {
		attempt := agent.attempts[key]
		if attempt.state != wire.AttemptRunning || attempt.stopMs != 0 || attempt.specUnknown {
			continue
		}
		// A member of a gang waits for the others at its beginning, and at its end,
		// which comes for all at once.
		waits := attempt.spec.Gang && (attempt.percent == 0 || attempt.percent >= lastPercent)
		switch {
		case !attempt.spec.LongRunning && !waits && attempt.percent < 100 &&
			n.now-attempt.lastProgressMs > stallMs+attempt.spec.EstimateMs/10:
			standing = true
			n.count("standing")
			n.stopAttempt(agent, attempt, wire.ResultStalled)
		case agent.leavesAtMs != 0 && attempt.spec.Checkpointing && agent.leavesAtMs-n.now < leaveStopMs:
			n.stopAttempt(agent, attempt, wire.ResultMoved)
		case attempt.spec.LimitMs > 0 && n.now-attempt.startedMs > attempt.spec.LimitMs:
			n.stopAttempt(agent, attempt, wire.ResultOverrun)
		}
	}
	if standing && n.now >= agent.suspectUntilMs {
		n.suspectWorker(agent, "stands", stallSuspectMs)
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
		changed = n.loseAttempts(agent)
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
	if n.loseAttempts(agent) {
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
	if n.now-agent.lastContactMs > workerKeepMs {
		return true
	}
	unacknowledged := func(k wire.AttemptKey) bool { return !agent.attempts[k].acked }
	return !slices.ContainsFunc(agent.keys(), unacknowledged) && n.now-agent.lastContactMs > ownerContactMs
}

// handleWorkerGone takes a worker's word that it ends now.
func (n *node) handleWorkerGone(req *request) {
	if agent := n.agents[req.key]; agent != nil && agent.colocated && agent.goneAtMs == 0 {
		agent.leaving, agent.goneAtMs = true, n.now+goneDelayMs
		n.log("worker_gone", "worker", agent.worker)
		n.reportAgent(agent)
	}
	n.respond(req, 200, 0, mustJSON(map[string]any{"worker": req.key}))
}
