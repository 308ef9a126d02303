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
	holdSpanMs = 4000 // a heartbeat's answer holds its worker this long; a daemon that is killed is back before
	// ownerSpanMs is how long an agent keeps a run without its owner's word: longer than a
	// takeover or a short cut.
	ownerSpanMs   = 7000
	staleStopMs   = 900    // before that it stops the run, in time for the stop to be listed
	lapseMarginMs = 300    // past the longest a hold may last, for what clocks and messages differ by
	driftPercent  = 2      // a worker's clock may run this much slow
	heartbeatMs   = 50     // a worker sends its heartbeat again after this; an order waits half of it in the mean
	standMs       = 1500   // work that does not move for this long, and a tenth of its estimate, stands still
	lastPercent   = 99     // a worker tells no more of work that has not ended
	lateEndsMax   = 100    // ends that wait behind a late one before the hold is let run out
	endsPage      = 500    // ends that one heartbeat tells of at most
	goneMs        = 500    // a worker that said it goes has ended this long after
	leaveStopMs   = 800    // so long before its worker leaves, work that saves is stopped, to go on elsewhere
	workerKeepMs  = 60_000 // a worker's agent whose worker is gone keeps the ends nobody took note of for this long
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

var placeFields = map[string]schema.Field{
	"job": {
		Kind:     schema.Text,
		Required: true,
		Min:      1,
		Max:      300,
	},
	"round": {Kind: schema.Any, Required: true},
	"step":  {Kind: schema.Count},
	"index": {Kind: schema.Count},
	"run": {
		Kind: schema.Count,
	},
	"saved":   {Kind: schema.Text, Max: 1 << 16},
	"percent": {Kind: schema.Number},
	"n":       {Kind: schema.Count},
	"outcome": {Kind: schema.Name},
}

var heartbeatFields = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"seq": {
		Kind:     schema.Count,
		Required: true,
		Min:      1,
	},
	"site":      {Kind: schema.Name, Required: true},
	"address":   {Kind: schema.Text, Max: 200},
	"labels":    {Kind: schema.Labels},
	"rack":      {Kind: schema.Text, Max: 200},
	"capacity":  {Kind: schema.Any, Required: true},
	"leaving":   {Kind: schema.Flag},
	"leaves_ms": {Kind: schema.Count},
	"cold_ms":   {Kind: schema.Count},
	"running":   {Kind: schema.List, Max: 100_000, Elem: &schema.Field{Kind: schema.Object, Fields: placeFields}},
	"ended":     {Kind: schema.List, Max: 100_000, Elem: &schema.Field{Kind: schema.Object, Fields: placeFields}},
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
	HoldMs  int64       `json:"hold_ms"`
	Seen    int64       `json:"seen"`
	AgainMs int64       `json:"again_ms"`
	Start   []taskOrder `json:"start"`
	Stop    []taskOrder `json:"stop"`
}

func viewOf(k wire.AttemptKey) taskOrder {
	round, step, index, _ := parseUniformTaskID(k.Task)
	return taskOrder{Job: k.Job, Round: round, Step: step, Index: index, Run: k.Attempt}
}

// runOf reads which run an entry of a heartbeat speaks of; false for one that no
// otterchute ever ordered.
func runOf(e gjson.Result) (wire.AttemptKey, bool) {
	round, run := e.Get("round").Int(), e.Get("run").Int()
	k := wire.AttemptKey{
		Job:     e.Get("job").Str,
		Task:    uniformTaskID(int32(round), int32(e.Get("step").Int()), int32(e.Get("index").Int())),
		Attempt: int32(run),
	}
	return k, round >= 0 && schema.ValidName(k.Job) && run > 0
}

// handleHeartbeat takes a worker's word and answers with what is to start and stop.
func (n *node) handleHeartbeat(a *request) {
	if !schema.ValidName(a.key) {
		n.rejectFaults(a, 400, 0, []schema.Fault{{Path: "worker", Reason: "must be a name"}})
		return
	}
	if f := schema.Check(a.body, heartbeatFields); len(f) > 0 {
		n.log("heartbeat_unreadable", "worker", a.key, "path", f[0].Path, "reason", f[0].Reason)
		n.rejectFaults(a, 400, 0, f)
		return
	}
	r := gjson.ParseBytes(a.body)
	ag := n.agents[a.key]
	if ag == nil {
		ag = n.addColocatedAgent(a.key)
	}
	seq := r.Get("seq").Int()
	if ag.replaced || !ag.colocated || seq <= ag.reportSeq {
		n.respond(a, 200, 0, mustJSON(heartbeatReply{AgainMs: heartbeatMs, Start: []taskOrder{}, Stop: []taskOrder{}}))
		return
	}
	changed, missed := !ag.rebuilt, n.now-ag.heardMs > frozenMs
	ag.reportSeq, ag.heardMs, ag.tokenMs = seq, n.now, n.now
	ag.zone, ag.rack, ag.labels = r.Get("site").Str, r.Get("rack").Str, labelsOf(r.Get("labels"))
	ag.capacity = resource.Parse(r.Get("capacity"))
	ag.free = ag.capacity
	if leaving := r.Get("leaving").Bool(); leaving != ag.leaving {
		ag.leaving, changed = leaving, true
		n.log("worker_leaving", "worker", ag.worker, "leaving", leaving, "leaves_ms", r.Get("leaves_ms").Int())
	}
	if left := r.Get("leaves_ms"); left.Exists() && ag.leaving {
		ag.leavesMs = n.now + left.Int()
	}
	ended, differs := n.applyHeartbeatLists(ag, r, missed)
	changed = changed || differs
	if !ag.rebuilt { // what a former agent here ordered is listed, or never starts
		ag.rebuilt, ag.adoptedMs = true, n.now
		ag.holdUntilMs = n.now + holdSpanMs*(100+driftPercent)/100
		n.log("agent_rebuilt", "worker", ag.worker, "epoch", ag.epoch, "held", len(ag.attempts))
	}
	n.detectStalledWork(ag)
	n.judgeWorker(ag)
	ag.answering = true
	n.startPending(ag)
	ag.answering = false
	n.respond(a, 200, 0, mustJSON(n.heartbeatReply(ag)))
	switch {
	case changed:
		n.reportAgent(ag)
	case ended || ag.changesWait:
		n.reportChanges(ag)
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
	ag := &workerAgent{
		worker:     worker,
		epoch:      n.Incarnation,
		startMs:    n.now,
		attempts:   map[wire.AttemptKey]*agentAttempt{},
		tombstones: map[wire.AttemptKey]int64{},
		owners:     map[string]uint64{},
		lastOK:     n.now,
		heardMs:    n.now,
		tokenMs:    -1 << 40,
		colocated:  true,
		ends:       map[int64]wire.AttemptKey{},
		ownerMs:    map[string]int64{},
	}
	n.agents[worker] = ag
	n.log("worker_new", "worker", worker, "epoch", ag.epoch)
	return ag
}

// loseAttempts resolves all that a worker surely doesn't run any more.
func (n *node) loseAttempts(ag *workerAgent) (some bool) {
	for _, key := range ag.keys() {
		h := ag.attempts[key]
		if h.state == wire.AttemptEnded {
			continue
		}
		if h.state == wire.AttemptQueued {
			h.result = wire.ResultShed
		} else {
			h.result = wire.ResultLost
			n.count("runs_lost")
		}
		h.state, some = wire.AttemptEnded, true
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
func (n *node) applyHeartbeatLists(ag *workerAgent, r gjson.Result, missed bool) (ended, changed bool) {
	running := map[wire.AttemptKey]bool{}
	r.Get("running").ForEach(func(_, e gjson.Result) bool {
		if key, ok := runOf(e); ok {
			running[key] = true
			changed = n.applyRunning(ag, key, e, missed) || changed
		}
		return true
	})
	list := &endedList{keys: map[wire.AttemptKey]bool{}}
	r.Get("ended").ForEach(func(_, e gjson.Result) bool {
		n.applyEnded(ag, list, e, missed)
		return true
	})
	for number, key := range ag.ends {
		if h := ag.attempts[key]; number < list.lapsed && h != nil {
			h.lateEnd, h.voided = false, true
		}
	}
	if list.first > 0 && ag.acknowledgedEnds < list.first-1 {
		ag.acknowledgedEnds = list.first - 1
	}
	return n.endUnlisted(ag, running, list) || list.changed, changed
}

// adoptUnknown takes a run that only the worker knew of, as a former agent had ordered it.
func (ag *workerAgent) adoptUnknown(key wire.AttemptKey, now int64) *agentAttempt {
	h := &agentAttempt{
		state: wire.AttemptOrdered, unknown: true, ordered: true, unobserved: true,
		adoptedMs: now, spec: wire.TaskSpec{Key: key}, confirmedMs: -1 << 40,
	}
	ag.attempts[key] = h
	return h
}

// applyRunning applies one run that a heartbeat lists as running.
func (n *node) applyRunning(ag *workerAgent, key wire.AttemptKey, e gjson.Result, missed bool) (changed bool) {
	h := ag.attempts[key]
	if h == nil {
		h = ag.adoptUnknown(key, n.now)
		h.orderedMs = n.now
		changed = true
	}
	if h.state != wire.AttemptRunning {
		if h.state == wire.AttemptEnded {
			n.log("attempt_runs_after_end", "attempt", key.String(), "worker", ag.worker)
		}
		changed = changed || h.spec.Gang
		h.state, h.ordered, h.startedMs, h.movedMs = wire.AttemptRunning, true, n.now, n.now
		h.unobserved = h.unobserved || missed
	}
	if p := e.Get("percent").Int(); p != h.percent {
		h.percent, h.movedMs = p, n.now
	}
	if saved := e.Get("saved").Str; saved != "" {
		h.spec.Saved = saved
	}
	return changed
}

// applyEnded applies one run that a heartbeat lists as ended.
func (n *node) applyEnded(ag *workerAgent, list *endedList, e gjson.Result, missed bool) {
	number, outcome := e.Get("n").Int(), e.Get("outcome").Str
	list.count++
	if list.first == 0 || number < list.first {
		list.first = number
	}
	if outcome == "lapsed" {
		list.lapsed = max(list.lapsed, number)
	}
	key, ok := runOf(e)
	if !ok || !heartbeatOutcomes[outcome] {
		ag.ends[number] = wire.AttemptKey{}
		return
	}
	list.keys[key], ag.ends[number] = true, key
	h := ag.attempts[key]
	if _, buried := ag.tombstones[key]; buried && h == nil {
		return
	}
	if h == nil { // of a former agent, that may have been cut off for long
		h = ag.adoptUnknown(key, n.now)
		h.startedMs = n.now
		h.lateEnd = finalOutcomes[outcome]
	}
	if saved := e.Get("saved").Str; saved != "" {
		h.spec.Saved = saved
	}
	// A run given up as lost that ended by itself after all: its owner says whether it still counts.
	lost := h.state == wire.AttemptEnded && h.result == wire.ResultLost && !h.acked && finalOutcomes[outcome]
	if h.state != wire.AttemptEnded || lost {
		h.lateEnd = (h.lateEnd || lost) && !h.voided
		list.changed = true
		h.unobserved = h.unobserved || missed
		n.endAttempt(ag, h, outcome, max(n.now-max(h.startedMs, h.orderedMs), 1))
	}
}

// endUnlisted ends what the worker no longer lists, and forgets what is acknowledged.
func (n *node) endUnlisted(ag *workerAgent, running map[wire.AttemptKey]bool, ended *endedList) (changed bool) {
	for _, key := range ag.keys() {
		h := ag.attempts[key]
		h.listed = running[key]
		mayBeCutShort := ended.count >= endsPage // there may be more than it could list
		switch {
		case running[key] || ended.keys[key] || mayBeCutShort && h.state == wire.AttemptRunning:
		case h.state == wire.AttemptOrdered && h.orderSeq < ag.reportSeq:
			h.state, h.result, changed = wire.AttemptEnded, wire.ResultRejected, true
			n.count("starts_not_taken")
		case h.state == wire.AttemptRunning:
			h.state, h.result, changed = wire.AttemptEnded, wire.ResultLost, true
		case h.state == wire.AttemptEnded && h.acked:
			ag.forget(key, n.now)
		}
	}
	return changed
}

// heartbeatReply says what starts and stops, which ends are acknowledged, and how
// long the worker goes on without another answer.
func (n *node) heartbeatReply(ag *workerAgent) heartbeatReply {
	out := heartbeatReply{AgainMs: heartbeatMs, Start: []taskOrder{}, Stop: []taskOrder{}}
	n.acknowledgeEnds(ag)
	out.Seen = ag.acknowledgedEnds
	for _, h := range ag.toStart {
		v := viewOf(h.spec.Key)
		v.Payload, v.Saved = h.spec.Payload, h.spec.Saved
		out.Start = append(out.Start, v)
	}
	ag.toStart = nil
	for _, key := range ag.keys() {
		if h := ag.attempts[key]; h.atWorker() && h.stopMs != 0 {
			out.Stop = append(out.Stop, viewOf(key))
		}
	}
	if until := n.holdUntil(ag); until > n.now {
		out.HoldMs = until - n.now
		ag.holdUntilMs = max(ag.holdUntilMs, n.now+out.HoldMs*(100+driftPercent)/100)
	}
	return out
}

// atWorker tells whether the worker has an attempt, or may have it.
func (h *agentAttempt) atWorker() bool {
	return h.state == wire.AttemptOrdered || h.state == wire.AttemptRunning
}

// acknowledgeEnds counts on over the ends, by their numbers, that are in their owners'
// records. Where too many wait behind a late one it lets the hold run out.
func (n *node) acknowledgeEnds(ag *workerAgent) {
	for {
		key, ok := ag.ends[ag.acknowledgedEnds+1]
		if !ok {
			break
		}
		if !ag.isAcknowledged(key) {
			break
		}
		ag.acknowledgedEnds++
		delete(ag.ends, ag.acknowledgedEnds)
	}
	if h := ag.attempts[ag.ends[ag.acknowledgedEnds+1]]; len(ag.ends) > lateEndsMax && h != nil && h.lateEnd {
		n.count("ends_waited")
		ag.lapse()
	}
	for number := range ag.ends {
		if number <= ag.acknowledgedEnds {
			delete(ag.ends, number)
		}
	}
}

// isAcknowledged tells whether an end needs no more of its owner's word; the zero key stands
// for an end that is none of ours.
func (ag *workerAgent) isAcknowledged(key wire.AttemptKey) bool {
	if key == (wire.AttemptKey{}) {
		return true
	}
	if h := ag.attempts[key]; h != nil {
		return h.acked
	}
	_, buried := ag.tombstones[key]
	return buried
}

// holdUntil is when the worker's hold ends: never later than the oldest owner's word on what
// it runs allows, and at once while the hold is to run out.
func (n *node) holdUntil(ag *workerAgent) int64 {
	if ag.lapseUntilMs != 0 {
		return 0
	}
	until := n.now + n.holdSpan()
	if n.leavingSince != 0 {
		until = n.now + max(n.holdSpan(), n.MaxHoldMs)
	}
	for _, h := range ag.attempts {
		if h.atWorker() {
			until = min(until, h.confirmedMs+ownerSpanMs)
		}
	}
	return until
}

// holdSpan is how long an answer holds its worker.
func (n *node) holdSpan() int64 {
	if n.MaxHoldMs > 0 {
		return min(holdSpanMs, n.MaxHoldMs)
	}
	return holdSpanMs
}

// heardOwner notes that an owner answered a sync. Where it was silent for longer
// than its word is good, or never answered this agent, it may have given up what
// runs here, and what ended by itself meanwhile counts only if it says so.
//
// What counts is when the answer came: a sync that a cut held up was sent in
// time and heard too late.
func (ag *workerAgent) heardOwner(slice string, sentMs, now int64) {
	if !ag.colocated {
		return
	}
	if before, ok := ag.ownerMs[slice]; !ok || now-before > ownerSpanMs {
		for _, h := range ag.attempts {
			if h.spec.Shard == slice && h.state == wire.AttemptEnded &&
				(h.result == wire.ResultOK || h.result == wire.ResultFailed) &&
				!h.acked &&
				!h.voided {
				h.lateEnd = true
			}
		}
	}
	ag.ownerMs[slice] = max(ag.ownerMs[slice], sentMs)
}

// lapse lets the worker's hold run out: an end that another run took the place
// of may be taken note of only after that. It waits until many others wait behind it.
func (ag *workerAgent) lapse() {
	if ag.lapseUntilMs == 0 {
		ag.lapseUntilMs = ag.holdUntilMs + lapseMarginMs
	}
}

// voidEnds notes that the hold lapsed: what ended before that stands for nothing
// once it is taken note of.
func (ag *workerAgent) voidEnds() {
	for _, h := range ag.attempts {
		h.lateEnd, h.voided = false, h.voided || h.ordered
	}
}

// detectStalledWork stops work that stands still, or that its worker's leaving would cut off.
func (n *node) detectStalledWork(ag *workerAgent) {
	standing := false
	for _, key := range ag.keys() {
		h := ag.attempts[key]
		if h.state != wire.AttemptRunning || h.stopMs != 0 || h.unknown {
			continue
		}
		// A member of a gang waits for the others at its beginning, and at its end,
		// which comes for all at once.
		waits := h.spec.Gang && (h.percent == 0 || h.percent >= lastPercent)
		switch {
		case !h.spec.Lasting && !waits && h.percent < 100 && n.now-h.movedMs > standMs+h.spec.EstimateMs/10:
			standing = true
			n.count("standing")
			n.stopAttempt(ag, h, wire.ResultStalled)
		case ag.leavesMs != 0 && h.spec.Saves && ag.leavesMs-n.now < leaveStopMs:
			n.stopAttempt(ag, h, wire.ResultMoved)
		case h.spec.LimitMs > 0 && n.now-h.startedMs > h.spec.LimitMs:
			n.stopAttempt(ag, h, wire.ResultOverrun)
		}
	}
	if standing && n.now >= ag.suspectMs {
		n.suspectWorker(ag, "stands", standsMs)
		n.reportAgent(ag)
	}
}

// tickColocatedAgent ends what silence of the worker or of owners ends, and reports.
func (n *node) tickColocatedAgent(ag *workerAgent) {
	changed := n.endAfterSilence(ag)
	for _, key := range ag.keys() {
		h := ag.attempts[key]
		active := h.state == wire.AttemptRunning || h.state == wire.AttemptOrdered
		switch {
		case h.state == wire.AttemptQueued && (n.now-ag.heardMs > n.queuedSilenceMs() || ag.goneMs != 0):
			h.state, h.result, changed = wire.AttemptEnded, wire.ResultShed, true
		case active && h.stopMs == 0 && n.now > max(h.confirmedMs+ownerSpanMs, h.adoptedMs+ownerSpanMs)-staleStopMs:
			n.count("stale_stops")
			n.stopAttempt(ag, h, wire.ResultLost)
		}
	}
	n.dropOldTombstones(ag)
	n.decayHealth(ag)
	if changed {
		n.reportAgent(ag)
	}
	n.tickReports(ag)
	if n.isFinished(ag) {
		delete(n.agents, ag.worker)
	}
}

// queuedSilenceMs is how long a worker may be silent before what waits for it, and never
// started, goes back to its owner.
func (n *node) queuedSilenceMs() int64 {
	if n.Policies.On(scheduler.ShunQuiet) {
		return quietMs
	}
	return contactMs
}

// endAfterSilence gives up what the worker held once its hold has surely lapsed, or it is gone.
func (n *node) endAfterSilence(ag *workerAgent) (changed bool) {
	if n.now > ag.lapseUntilMs && ag.lapseUntilMs != 0 { // the hold has lapsed: late ends may go
		ag.lapseUntilMs = 0
		changed = n.loseAttempts(ag)
		ag.voidEnds()
	}
	silent := n.now > ag.holdUntilMs+lapseMarginMs && n.now-ag.heardMs > lapseMarginMs
	gone := ag.goneMs != 0 && n.now > ag.goneMs
	if !ag.rebuilt || ag.replaced || !silent && !gone {
		return changed
	}
	if ag.goneMs == 0 {
		ag.voidEnds()
	}
	if n.loseAttempts(ag) {
		changed = true
		n.log("worker_silent", "worker", ag.worker, "silent_ms", n.now-ag.heardMs)
	}
	return changed
}

// isFinished tells whether an agent whose worker is gone or replaced has nothing left to tell.
func (n *node) isFinished(ag *workerAgent) bool {
	if !ag.replaced && ag.goneMs == 0 {
		return false
	}
	if n.now-ag.heardMs > workerKeepMs {
		return true
	}
	unacknowledged := func(k wire.AttemptKey) bool { return !ag.attempts[k].acked }
	return !slices.ContainsFunc(ag.keys(), unacknowledged) && n.now-ag.heardMs > contactMs
}

// handleWorkerGone takes a worker's word that it ends now.
func (n *node) handleWorkerGone(a *request) {
	if ag := n.agents[a.key]; ag != nil && ag.colocated && ag.goneMs == 0 {
		ag.leaving, ag.goneMs = true, n.now+goneMs
		n.log("worker_gone", "worker", ag.worker)
		n.reportAgent(ag)
	}
	n.respond(a, 200, 0, mustJSON(map[string]any{"worker": a.key}))
}
