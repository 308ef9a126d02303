package main

import (
	"encoding/json"
	"slices"

	"github.com/tidwall/gjson"
)

// An agent pinned to its worker's machine: the worker's beats reach no other
// daemon, and its orders leave in the answers to them. Beats come one after the
// other, so that a beat tells what became of all that earlier answers ordered.

var beatOutcomes = map[string]bool{"ok": true, "failed": true, "stopped": true, "lapsed": true, "broken": true, "alone": true, "turned_away": true}

// standing are the outcomes that a task's record stands on: they must not be
// taken note of where another run took their place.
var standing = map[string]bool{"ok": true, "failed": true}

var placeFields = map[string]fieldSpec{
	"job": {Kind: "text", Required: true, Min: 1, Max: 300}, "round": {Kind: "any", Required: true}, "step": {Kind: "count"}, "index": {Kind: "count"},
	"run": {Kind: "count"}, "saved": {Kind: "text", Max: 1 << 16}, "percent": {Kind: "number"}, "n": {Kind: "count"}, "outcome": {Kind: "name"},
}

var beatFields = fieldSpec{Kind: "object", Fields: map[string]fieldSpec{
	"seq": {Kind: "count", Required: true, Min: 1}, "site": {Kind: "name", Required: true}, "address": {Kind: "text", Max: 200},
	"labels": {Kind: "labels"}, "rack": {Kind: "text", Max: 200}, "capacity": {Kind: "any", Required: true},
	"leaving": {Kind: "flag"}, "leaves_ms": {Kind: "count"}, "cold_ms": {Kind: "count"},
	"running": {Kind: "list", Max: 100_000, Elem: &fieldSpec{Kind: "object", Fields: placeFields}},
	"ended":   {Kind: "list", Max: 100_000, Elem: &fieldSpec{Kind: "object", Fields: placeFields}},
}}

// orderView is one task in the answer to a beat.
type orderView struct {
	Job     string          `json:"job"`
	Round   int32           `json:"round"`
	Step    int32           `json:"step"`
	Index   int32           `json:"index"`
	Run     int32           `json:"run"`
	Payload json.RawMessage `json:"payload,omitempty"`
	Saved   string          `json:"saved,omitempty"`
}

type beatAnswer struct {
	HoldMs  int64       `json:"hold_ms"`
	Seen    int64       `json:"seen"`
	AgainMs int64       `json:"again_ms"`
	Start   []orderView `json:"start"`
	Stop    []orderView `json:"stop"`
}

func viewOf(k attemptKey) orderView {
	round, step, index, _ := placeOf(k.Task)
	return orderView{Job: k.Job, Round: round, Step: step, Index: index, Run: k.Attempt}
}

// runOf reads which run an entry of a beat speaks of; false for one that no
// otterchute ever ordered.
func runOf(e gjson.Result) (attemptKey, bool) {
	round, run := e.Get("round").Int(), e.Get("run").Int()
	k := attemptKey{e.Get("job").Str, placeID(int32(round), int32(e.Get("step").Int()), int32(e.Get("index").Int())), int32(run)}
	return k, round >= 0 && nameOK(k.Job) && run > 0
}

// takeBeat takes a worker's word and answers with what is to start and stop.
func (n *node) takeBeat(a *ask) {
	if !nameOK(a.key) {
		n.answerFaults(a, 400, 0, []fault{{"worker", "must be a name"}})
		return
	}
	if f := checkDoc(a.body, beatFields); len(f) > 0 {
		n.log("beat_unreadable", "worker", a.key, "path", f[0].Path, "reason", f[0].Reason)
		n.answerFaults(a, 400, 0, f)
		return
	}
	r := gjson.ParseBytes(a.body)
	ag := n.agents[a.key]
	if ag == nil {
		ag = n.pinAgent(a.key)
	}
	seq := r.Get("seq").Int()
	if ag.replaced || !ag.pinned || seq <= ag.repSeq {
		n.answer(a, 200, 0, jsonOf(beatAnswer{AgainMs: beatMs, Start: []orderView{}, Stop: []orderView{}}))
		return
	}
	changed, missed := !ag.rebuilt, n.now-ag.heardMs > frozenMs
	ag.repSeq, ag.heardMs, ag.tokenMs = seq, n.now, n.now
	ag.site, ag.rack, ag.labels = r.Get("site").Str, r.Get("rack").Str, labelsOf(r.Get("labels"))
	ag.capacity = amountOf(r.Get("capacity"))
	ag.free = ag.capacity
	if leaving := r.Get("leaving").Bool(); leaving != ag.leaving {
		ag.leaving, changed = leaving, true
		n.log("worker_leaving", "worker", ag.worker, "leaving", leaving, "leaves_ms", r.Get("leaves_ms").Int())
	}
	if left := r.Get("leaves_ms"); left.Exists() && ag.leaving {
		ag.leavesAt = n.now + left.Int()
	}
	changed = n.takeLists(ag, r, missed) || changed
	if !ag.rebuilt { // what a former agent here ordered is listed, or never starts
		ag.rebuilt, ag.adoptedMs = true, n.now
		ag.holdUntil = n.now + holdSpanMs*(100+driftPercent)/100
		n.log("agent_rebuilt", "worker", ag.worker, "epoch", ag.epoch, "held", len(ag.held))
	}
	n.watchWork(ag)
	ag.beating = true
	n.pump(ag)
	ag.beating = false
	n.answer(a, 200, 0, jsonOf(n.beatAnswer(ag)))
	if changed {
		n.syncAgent(ag)
	}
}

// pinAgent makes the agent of a worker that beats here. One worker stands at a
// place: another that beat here before has crashed, and runs nothing any more.
func (n *node) pinAgent(worker string) *agent {
	for _, name := range sorted(n.agents) {
		if old := n.agents[name]; old.pinned && !old.replaced {
			n.log("worker_replaced", "worker", name, "by", worker)
			n.loseRuns(old)
			old.replaced, old.leaving = true, true
			n.syncAgent(old)
		}
	}
	ag := &agent{worker: worker, epoch: n.Inc, startMs: n.now, held: map[attemptKey]*held{}, tombs: map[attemptKey]int64{},
		owners: map[string]uint64{}, lastOK: n.now, heardMs: n.now, tokenMs: -1 << 40, pinned: true, ends: map[int64]attemptKey{}, ownerMs: map[string]int64{}}
	n.agents[worker] = ag
	n.log("worker_new", "worker", worker, "epoch", ag.epoch)
	return ag
}

// loseRuns settles all that a worker surely doesn't run any more.
func (n *node) loseRuns(ag *agent) (some bool) {
	for _, key := range ag.keys() {
		h := ag.held[key]
		if h.state == heldEnded {
			continue
		}
		if h.state == heldQueued {
			h.result = resultShed
		} else {
			h.result = resultLost
			n.count("runs_lost")
		}
		h.state, some = heldEnded, true
	}
	return some
}

// takeLists brings what is held in line with what the worker lists; missed says
// that no beat was heard for so long that nobody knows when it came about.
func (n *node) takeLists(ag *agent, r gjson.Result, missed bool) (changed bool) {
	running, ended := map[attemptKey]bool{}, map[attemptKey]bool{}
	r.Get("running").ForEach(func(_, e gjson.Result) bool {
		key, ok := runOf(e)
		if !ok {
			return true
		}
		running[key] = true
		h := ag.held[key]
		if h == nil {
			h = &held{state: heldOrdered, unknown: true, ordered: true, vague: true, orderedMs: n.now, adoptedMs: n.now, spec: orderSpec{Key: key}, confirmedMs: -1 << 40}
			ag.held[key] = h
			changed = true
		}
		if h.state != heldRunning {
			if h.state == heldEnded {
				n.log("attempt_runs_after_end", "attempt", key.String(), "worker", ag.worker)
			}
			changed = changed || h.spec.Gang
			h.state, h.ordered, h.startedMs, h.movedMs = heldRunning, true, n.now, n.now
			h.vague = h.vague || missed
		}
		if p := e.Get("percent").Int(); p != h.percent {
			h.percent, h.movedMs = p, n.now
		}
		if saved := e.Get("saved").Str; saved != "" {
			h.spec.Saved = saved
		}
		return true
	})
	first, lapsed, count := int64(0), int64(0), 0
	r.Get("ended").ForEach(func(_, e gjson.Result) bool {
		number, outcome := e.Get("n").Int(), e.Get("outcome").Str
		count++
		if first == 0 || number < first {
			first = number
		}
		if outcome == "lapsed" { // what ended before it ended before that lapse
			lapsed = max(lapsed, number)
		}
		key, ok := runOf(e)
		if !ok || !beatOutcomes[outcome] {
			ag.ends[number] = attemptKey{}
			return true
		}
		ended[key], ag.ends[number] = true, key
		if _, buried := ag.tombs[key]; buried && ag.held[key] == nil {
			return true
		}
		h := ag.held[key]
		if h == nil { // of a former agent, that may have been cut off for long
			h = &held{state: heldOrdered, unknown: true, ordered: true, vague: true, startedMs: n.now, adoptedMs: n.now, spec: orderSpec{Key: key}, confirmedMs: -1 << 40}
			h.late = standing[outcome]
			ag.held[key] = h
		}
		if saved := e.Get("saved").Str; saved != "" {
			h.spec.Saved = saved
		}
		if lost := h.state == heldEnded && h.result == resultLost && !h.acked && standing[outcome]; h.state != heldEnded || lost {
			// A run given up as lost that ended by itself after all: its owner says whether it still counts.
			h.late = (h.late || lost) && !h.void
			changed = true
			h.vague = h.vague || missed
			n.endRun(ag, h, outcome, max(n.now-max(h.startedMs, h.orderedMs), 1))
		}
		return true
	})
	for number, key := range ag.ends {
		if h := ag.held[key]; number < lapsed && h != nil {
			h.late, h.void = false, true
		}
	}
	if first > 0 && ag.seen < first-1 {
		ag.seen = first - 1
	}
	for _, key := range ag.keys() {
		h := ag.held[key]
		h.listed = running[key]
		switch {
		case running[key] || ended[key] || count >= endsPage && h.state == heldRunning: // there may be more than it could list
		case h.state == heldOrdered && h.orderSeq < ag.repSeq:
			h.state, h.result, changed = heldEnded, resultBounced, true
			n.count("starts_not_taken")
		case h.state == heldRunning:
			h.state, h.result, changed = heldEnded, resultLost, true
		case h.state == heldEnded && h.acked:
			ag.bury(key, n.now)
		}
	}
	return changed
}

// beatAnswer says what starts and stops, which ends were taken note of, and how
// long the worker goes on without another answer.
func (n *node) beatAnswer(ag *agent) beatAnswer {
	out := beatAnswer{AgainMs: beatMs, Start: []orderView{}, Stop: []orderView{}}
	for {
		key, ok := ag.ends[ag.seen+1]
		if !ok {
			break
		}
		_, buried := ag.tombs[key]
		if h := ag.held[key]; key != (attemptKey{}) && !(buried && h == nil) && (h == nil || !h.acked) {
			break
		}
		ag.seen++
		delete(ag.ends, ag.seen)
	}
	if h := ag.held[ag.ends[ag.seen+1]]; len(ag.ends) > lateEndsMax && h != nil && h.late {
		n.count("ends_waited")
		ag.lapse() // too many wait behind it
	}
	out.Seen = ag.seen
	for number := range ag.ends {
		if number <= ag.seen {
			delete(ag.ends, number)
		}
	}
	for _, h := range ag.outbox {
		v := viewOf(h.spec.Key)
		v.Payload, v.Saved = h.spec.Payload, h.spec.Saved
		out.Start = append(out.Start, v)
	}
	ag.outbox = nil
	until := n.now + n.holdSpan()
	if n.leaving != 0 {
		until = n.now + max(n.holdSpan(), n.HoldMostMs)
	}
	for _, key := range ag.keys() {
		h := ag.held[key]
		if h.state != heldOrdered && h.state != heldRunning {
			continue
		}
		if h.stopMs != 0 {
			out.Stop = append(out.Stop, viewOf(key))
		}
		until = min(until, h.confirmedMs+ownerSpanMs)
	}
	if ag.lapseTill != 0 {
		until = 0
	}
	if until > n.now {
		out.HoldMs = until - n.now
		ag.holdUntil = max(ag.holdUntil, n.now+out.HoldMs*(100+driftPercent)/100)
	}
	return out
}

// holdSpan is how long an answer holds its worker.
func (n *node) holdSpan() int64 {
	if n.HoldMostMs > 0 {
		return min(holdSpanMs, n.HoldMostMs)
	}
	return holdSpanMs
}

// heardOwner notes that an owner answered a sync. Where it was silent for longer
// than its word is good, or never answered this agent, it may have given up what
// runs here, and what ended by itself meanwhile counts only if it says so.
//
// What counts is when the answer came: a sync that a cut held up was sent in
// time and heard too late.
func (ag *agent) heardOwner(slice string, sentMs, now int64) {
	if !ag.pinned {
		return
	}
	if before, ok := ag.ownerMs[slice]; !ok || now-before > ownerSpanMs {
		for _, h := range ag.held {
			if h.spec.Slice == slice && h.state == heldEnded && (h.result == resultOK || h.result == resultFailed) && !h.acked && !h.void {
				h.late = true
			}
		}
	}
	ag.ownerMs[slice] = max(ag.ownerMs[slice], sentMs)
}

// lapse lets the worker's hold run out: an end that another run took the place
// of may be taken note of only after that. It waits until many others wait behind it.
func (ag *agent) lapse() {
	if ag.lapseTill == 0 {
		ag.lapseTill = ag.holdUntil + lapseMarginMs
	}
}

// voidEnds notes that the hold lapsed: what ended before that stands for nothing
// once it is taken note of.
func (ag *agent) voidEnds() {
	for _, h := range ag.held {
		h.late, h.void = false, h.void || h.ordered
	}
}

// watchWork stops work that stands still, or that its worker's leaving would cut off.
func (n *node) watchWork(ag *agent) {
	standing := false
	for _, key := range ag.keys() {
		h := ag.held[key]
		if h.state != heldRunning || h.stopMs != 0 || h.unknown {
			continue
		}
		// A member of a gang waits for the others at its beginning, and at its end,
		// which comes for all at once.
		waits := h.spec.Gang && (h.percent == 0 || h.percent >= lastPercent)
		switch {
		case !h.spec.Lasting && !waits && h.percent < 100 && n.now-h.movedMs > standMs+h.spec.EstMs/10:
			standing = true
			n.count("standing")
			n.stopRun(ag, h, resultStanding)
		case ag.leavesAt != 0 && h.spec.Saves && ag.leavesAt-n.now < leaveStopMs:
			n.stopRun(ag, h, resultMoved)
		case h.spec.LimitMs > 0 && n.now-h.startedMs > h.spec.LimitMs:
			n.stopRun(ag, h, resultOverrun)
		}
	}
	if standing && n.now >= ag.suspectMs {
		ag.suspects = min(ag.suspects+1, 4)
		ag.suspectMs = n.now + suspectMs<<(ag.suspects-1)
		n.log("worker_suspect", "worker", ag.worker, "for_ms", ag.suspectMs-n.now)
		n.syncAgent(ag)
	}
}

func (n *node) tickPinned(ag *agent) {
	changed := false
	if n.now > ag.lapseTill && ag.lapseTill != 0 { // the hold has lapsed: late ends may go
		ag.lapseTill = 0
		changed = n.loseRuns(ag)
		ag.voidEnds()
	}
	if ag.rebuilt && !ag.replaced && (n.now > ag.holdUntil+lapseMarginMs && n.now-ag.heardMs > lapseMarginMs || ag.goneAt != 0 && n.now > ag.goneAt) {
		if ag.goneAt == 0 {
			ag.voidEnds()
		}
		if n.loseRuns(ag) {
			changed = true
			n.log("worker_silent", "worker", ag.worker, "silent_ms", n.now-ag.heardMs)
		}
	}
	for _, key := range ag.keys() {
		h := ag.held[key]
		switch {
		case h.state == heldQueued && (n.now-ag.heardMs > contactMs || ag.goneAt != 0):
			h.state, h.result, changed = heldEnded, resultShed, true
		case (h.state == heldRunning || h.state == heldOrdered) && h.stopMs == 0 && n.now > max(h.confirmedMs+ownerSpanMs, h.adoptedMs+ownerSpanMs)-staleStopMs:
			n.count("stale_stops")
			n.stopRun(ag, h, resultLost)
		}
	}
	for k, at := range ag.tombs {
		if n.now-at > tombMs && ag.held[k] == nil {
			delete(ag.tombs, k)
		}
	}
	if n.now >= ag.decayAt {
		ag.decayAt = n.now + 10_000
		ag.oks, ag.fails = ag.oks*3/4, ag.fails*3/4
		if n.now > ag.suspectMs+10_000 {
			ag.suspects = max(0, ag.suspects-1)
		}
	}
	waits := slices.ContainsFunc(ag.keys(), func(k attemptKey) bool { h := ag.held[k]; return h.state == heldQueued && n.now-h.queuedMs > recallMs })
	if changed || n.now >= ag.syncAt || waits && n.now >= ag.syncAt-syncMs/2 {
		n.syncAgent(ag)
	}
	if over := ag.replaced || ag.goneAt != 0; over && n.now-ag.heardMs > workerKeepMs || over && !slices.ContainsFunc(ag.keys(), func(k attemptKey) bool { return !ag.held[k].acked }) && n.now-ag.heardMs > contactMs {
		delete(n.agents, ag.worker)
	}
}

// workerGone takes a worker's word that it ends now.
func (n *node) workerGone(a *ask) {
	if ag := n.agents[a.key]; ag != nil && ag.pinned && ag.goneAt == 0 {
		ag.leaving, ag.goneAt = true, n.now+goneMs
		n.log("worker_gone", "worker", ag.worker)
		n.syncAgent(ag)
	}
	n.answer(a, 200, 0, jsonOf(map[string]any{"worker": a.key}))
}
