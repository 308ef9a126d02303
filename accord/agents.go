package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

const (
	heldQueued  int8 = iota
	heldOrdered      // ordered; it may have started
	heldRunning
	heldEnded
)

const (
	resultOK int8 = iota + 1
	resultFailed
	resultOverrun
	resultPreempted
	resultShed
	resultBounced
	resultLost
	resultCancelled
	resultMoved    // stopped since its worker leaves
	resultStanding // stopped since it stood still
	resultBroken   // another member of its gang ended, or did not come
)

var resultNames = map[int8]string{resultOK: "ok", resultFailed: "failed", resultOverrun: "overrun", resultPreempted: "preempted",
	resultShed: "shed", resultBounced: "bounced", resultLost: "lost", resultCancelled: "cancelled",
	resultMoved: "moved", resultStanding: "standing", resultBroken: "broken"}

const (
	verdictKeep int8 = iota + 1
	verdictDrop
	verdictAcked   // nothing more is wanted of it
	verdictCounted // the same, and no other run took its place since its worker was silent
	verdictRecall  // to be given back if it has not started: there is room elsewhere
)

// agent is the only giver of one worker's orders and the guard of its room.
type agent struct {
	worker  string
	epoch   uint64
	startMs int64

	inc      string
	pastIncs []string
	addr     string
	site     string
	labels   []label
	leaving  bool
	free     amount
	capacity amount
	repSeq   int64
	tokenMs  int64 // our clock when the token was issued that the last report carried
	heardMs  int64
	rebuilt  bool

	held    map[attemptKey]*held
	tombs   map[attemptKey]int64
	owners  map[string]uint64 // slice -> highest owner epoch heard
	lastOK  int64
	syncAt  int64
	oks     int64
	fails   int64
	lagPct  int64
	decayAt int64

	pinned    bool
	rack      string
	holdUntil int64 // all that runs there has surely ended by then, if no beat comes
	seen      int64 // ends up to this number were taken note of
	ends      map[int64]attemptKey
	ownerMs   map[string]int64 // slice -> our clock at the last sync that its owner answered
	outbox    []*held          // what the answer to this beat starts
	beating   bool             // a beat is being answered
	goneAt    int64            // it said that it goes; 0 if not
	leavesAt  int64            // what runs there then dies; 0 if it does not leave
	replaced  bool             // another worker beats from its place
	lapseTill int64            // the hold must lapse before this: late ends wait for that
	suspectMs int64            // until then it is suspect
	suspects  int64            // how often it was, lately
	adoptedMs int64
}

type held struct {
	spec        orderSpec
	state       int8
	result      int8
	ranMs       int64
	confirmedMs int64
	queuedMs    int64
	orderedMs   int64
	answeredMs  int64
	startedMs   int64
	vague       bool // nobody here saw when it began, or when it ended
	listed      bool // the last report shows it running
	stopMs      int64
	stopSentMs  int64
	stopWhy     int8
	ordered     bool // an order may have left; the worker may know it
	acked       bool

	unknown   bool  // found running: its room is not known yet
	orderSeq  int64 // the beat whose answer carried the order
	percent   int64
	movedMs   int64 // when its work last moved
	late      bool  // ended by itself, and its owner may have given it up meanwhile
	void      bool  // ended, and the hold has lapsed since
	adoptedMs int64
}

// orderTag travels with an order and comes back in the worker's lists, so that
// a successor can rebuild what it needs from the worker alone.
type orderTag struct {
	Slice    string `json:"slice"`
	Queue    string `json:"queue"`
	Name     string `json:"name"`
	Class    int8   `json:"class"`
	Room     amount `json:"room"`
	LimitMs  int64  `json:"limit_ms"`
	EstMs    int64  `json:"est_ms"`
	SubmitMs int64  `json:"submit_ms"`
}

var reportFields = fieldSpec{Kind: "object", Fields: map[string]fieldSpec{
	"incarnation": {Kind: "name", Required: true},
	"seq":         {Kind: "count", Required: true, Min: 1},
	"address":     {Kind: "text", Required: true, Min: 3, Max: 200},
	"site":        {Kind: "name", Required: true},
	"labels":      {Kind: "labels"},
	"free":        {Kind: "count", Required: true, Min: 0},
	"leaving":     {Kind: "flag"},
	"token":       {Kind: "text", Max: 100},
	"running":     {Kind: "list", Max: 100_000, Elem: &runFields},
	"ended":       {Kind: "list", Max: 100_000, Elem: &runFields},
}}

var runFields = fieldSpec{Kind: "object", Fields: map[string]fieldSpec{
	"id":      {Kind: "text", Required: true, Min: 1, Max: 300},
	"tag":     {Kind: "text", Max: 4000},
	"room":    {Kind: "count", Min: 0},
	"ran_ms":  {Kind: "count", Min: 0},
	"outcome": {Kind: "name"},
}}

func (k attemptKey) String() string { return fmt.Sprintf("%s#%d#%d", k.Job, k.Task, k.Attempt) }

func parseKey(s string) (attemptKey, bool) {
	parts := strings.Split(s, "#")
	if len(parts) != 3 {
		return attemptKey{}, false
	}
	t, err1 := strconv.ParseInt(parts[1], 10, 64)
	a, err2 := strconv.ParseInt(parts[2], 10, 32)
	return attemptKey{parts[0], t, int32(a)}, err1 == nil && err2 == nil && t >= 0
}

func compareKeys(a, b attemptKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

func (ag *agent) keys() []attemptKey {
	out := make([]attemptKey, 0, len(ag.held))
	for k := range ag.held {
		out = append(out, k)
	}
	slices.SortFunc(out, compareKeys)
	return out
}

func (n *node) startAgent(d *duty) {
	w := strings.TrimPrefix(d.name, "agent/")
	n.agents[w] = &agent{worker: w, epoch: d.epoch, startMs: n.now, held: map[attemptKey]*held{}, tombs: map[attemptKey]int64{},
		owners: map[string]uint64{}, lastOK: n.now, heardMs: n.now, tokenMs: -1 << 40}
}

// mapReport brings a worker's report to its agent, and where it has none lets
// the candidate of the worker's site become it.
func (n *node) mapReport(a *ask) {
	name := "agent/" + a.key
	if ag := n.agents[a.key]; ag != nil && n.holds(name) {
		n.takeReport(ag, a)
		return
	}
	if !nameOK(a.key) {
		n.answerFaults(a, 400, 0, []fault{{"name", "must be a name"}})
		return
	}
	if to, _ := n.holder(name); to != "" {
		n.handOver(a, to)
		return
	}
	next := n.views[name].Successor // named by the last holder, or else the first candidate
	if c := n.candidates(name, gjson.GetBytes(a.body, "site").Str); !n.live(next) && len(c) > 0 {
		next = c[0]
	}
	if next != n.Name && a.hop < hopMax {
		n.handOver(a, next)
		return
	}
	n.want(name)
	n.answer(a, 503, 200, jsonOf(map[string]any{"error": "the worker has no agent yet"}))
}

func (n *node) takeReport(ag *agent, a *ask) {
	if f := checkDoc(a.body, reportFields); len(f) > 0 {
		n.answerFaults(a, 400, 0, f)
		return
	}
	r := gjson.ParseBytes(a.body)
	inc, seq := r.Get("incarnation").Str, r.Get("seq").Int()
	if inc == ag.inc && seq <= ag.repSeq || slices.Contains(ag.pastIncs, inc) {
		n.answerReport(ag, a, nil)
		return
	}
	if ag.inc != "" && inc != ag.inc {
		ag.pastIncs = append(ag.pastIncs, ag.inc)
		ag.pastIncs = ag.pastIncs[max(0, len(ag.pastIncs)-8):]
		n.log("worker_new_incarnation", "worker", ag.worker, "epoch", ag.epoch)
	}
	ag.inc, ag.repSeq, ag.heardMs = inc, seq, n.now
	ag.addr, ag.site, ag.leaving = r.Get("address").Str, r.Get("site").Str, r.Get("leaving").Bool()
	ag.labels, ag.free = labelsOf(r.Get("labels")), amountOf(r.Get("free"))
	ag.tokenMs = -1 << 40
	if epoch, ms, ok := strings.Cut(r.Get("token").Str, "."); ok && epoch == strconv.FormatUint(ag.epoch, 10) {
		if v, err := strconv.ParseInt(ms, 10, 64); err == nil && v <= n.now {
			ag.tokenMs = v
		}
	}
	running, ended := map[attemptKey]bool{}, map[attemptKey]bool{}
	ag.capacity = ag.free
	for _, e := range r.Get("running").Array() {
		key, ok := parseKey(e.Get("id").Str)
		if !ok {
			ag.capacity = ag.capacity.plus(amountOf(e.Get("room")))
			continue // not one of ours, but it takes room
		}
		running[key] = true
		h := ag.held[key]
		if h == nil {
			h = ag.adopt(key, e, n.now)
		}
		if h.state != heldRunning {
			if h.state == heldEnded {
				n.log("attempt_runs_after_end", "attempt", key.String(), "worker", ag.worker)
			}
			h.state, h.ordered = heldRunning, true
			h.startedMs = n.now - e.Get("ran_ms").Int()
		}
		ag.capacity = ag.capacity.plus(h.spec.Room)
	}
	changed := false
	for _, e := range r.Get("ended").Array() {
		key, ok := parseKey(e.Get("id").Str)
		if !ok {
			continue
		}
		ended[key] = true
		h := ag.held[key]
		if h == nil {
			if _, ok := ag.tombs[key]; ok {
				continue
			}
			h = ag.adopt(key, e, n.now)
		}
		h.ordered = true
		if h.state != heldEnded {
			changed = true
			n.endRun(ag, h, e.Get("outcome").Str, max(e.Get("ran_ms").Int(), 1))
		}
	}
	for _, key := range ag.keys() {
		h := ag.held[key]
		wasListed := h.listed
		h.listed = running[key]
		switch {
		case running[key] || ended[key]:
		case h.state == heldRunning && (wasListed || h.answeredMs > 0 && ag.tokenMs > h.answeredMs):
			h.state, h.result, changed = heldEnded, resultLost, true
		case h.state == heldOrdered && ag.tokenMs > h.orderedMs+flightMs:
			h.state, h.result, changed = heldEnded, resultBounced, true
		case h.state == heldEnded && h.acked:
			ag.bury(key, n.now)
		}
	}
	if !ag.rebuilt && ag.tokenMs > ag.startMs+flightMs {
		ag.rebuilt = true
		n.log("agent_rebuilt", "worker", ag.worker, "epoch", ag.epoch, "held", len(ag.held))
		changed = true
	}
	n.answerReport(ag, a, ended)
	if changed {
		n.syncAgent(ag)
	}
	n.pump(ag)
}

// adopt takes a run that only the worker knew of.
func (ag *agent) adopt(key attemptKey, e gjson.Result, now int64) *held {
	var t orderTag
	_ = json.Unmarshal([]byte(e.Get("tag").Str), &t)
	h := &held{state: heldOrdered, ordered: true, orderedMs: now, startedMs: now - e.Get("ran_ms").Int(), spec: orderSpec{Key: key, Slice: t.Slice,
		Queue: t.Queue, Name: t.Name, Class: t.Class, Room: t.Room, LimitMs: t.LimitMs, EstMs: t.EstMs, SubmitMs: t.SubmitMs}}
	if h.spec.Room == (amount{}) {
		h.spec.Room = amountOf(e.Get("room"))
	}
	ag.held[key] = h
	return h
}

func (ag *agent) bury(key attemptKey, now int64) {
	delete(ag.held, key)
	ag.tombs[key] = now
}

func (n *node) answerReport(ag *agent, a *ask, ended map[attemptKey]bool) {
	acked := []string{}
	keys := make([]attemptKey, 0, len(ended))
	for k := range ended {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	for _, k := range keys {
		_, buried := ag.tombs[k]
		if h := ag.held[k]; buried || h != nil && h.acked {
			acked = append(acked, k.String())
		}
	}
	n.answer(a, 200, 0, jsonOf(map[string]any{"agent": n.Name, "epoch": ag.epoch, "token": fmt.Sprintf("%d.%d", ag.epoch, n.now), "acked": acked}))
}

// endRun takes a worker's word on how a run ended.
func (n *node) endRun(ag *agent, h *held, outcome string, ranMs int64) {
	h.state, h.ranMs = heldEnded, ranMs
	if h.vague {
		h.ranMs = 0 // nothing is learned from it
	}
	switch outcome {
	case "ok":
		h.result = resultOK
		ag.oks++
		if h.spec.Class == classQueueable {
			ag.lastOK = n.now
		}
		if h.spec.EstMs > 0 && !h.vague {
			ag.lagPct += (min(100*ranMs/h.spec.EstMs, 2000) - ag.lagPct) / 8
		}
	case "failed":
		h.result = resultFailed
		ag.fails++
	case "overrun":
		h.result = resultOverrun
		ag.fails++
	case "lapsed":
		h.result = resultLost
	case "broken", "alone":
		h.result = resultBroken
		n.count("gang_" + outcome)
	case "turned_away":
		h.result = resultBounced
		n.count("starts_turned_away")
	default:
		h.result = h.stopWhy
		if h.result == 0 {
			h.result = resultPreempted // stopped on a former agent's order: never the task's own failure
		}
		if h.spec.LimitMs > 0 && ranMs >= h.spec.LimitMs {
			h.result = resultOverrun // whoever had it stopped first, it ran past its limit
		}
		if h.result == resultOverrun {
			ag.fails++
		}
	}
}

func (n *node) onPlace(_ string, m *placeMsg) {
	ag := n.agents[m.Worker]
	if ag == nil || ag.epoch != m.AgentEpoch || !n.tends(ag) && !ag.replaced || m.SliceEpoch < ag.owners[m.Spec.Slice] || n.now-m.EchoMs > contactMs {
		n.count("places_stale")
		return
	}
	ag.owners[m.Spec.Slice] = m.SliceEpoch
	if h := ag.held[m.Spec.Key]; h != nil {
		h.confirmedMs = max(h.confirmedMs, m.EchoMs)
		return
	}
	if _, ok := ag.tombs[m.Spec.Key]; ok {
		return
	}
	h := &held{spec: m.Spec, confirmedMs: m.EchoMs, queuedMs: n.now}
	ag.held[m.Spec.Key] = h
	firm, queued := amount{}, 0
	for _, o := range ag.held {
		if o.state != heldEnded && o.spec.Class == classGuaranteed {
			firm = firm.plus(o.spec.Room)
		}
		if o.state == heldQueued {
			queued++
		}
	}
	if !ag.rebuilt || ag.replaced || !m.Spec.Room.fits(ag.capacity) || m.Spec.Class == classGuaranteed && !firm.fits(ag.capacity) || queued > agentQueue {
		h.state, h.result = heldEnded, resultBounced
		n.count("places_bounced")
		n.syncAgent(ag)
		return
	}
	n.pump(ag)
}

func (n *node) onSyncAck(_ string, m *syncAck) {
	ag := n.agents[m.Worker]
	if ag == nil || ag.epoch != m.Epoch || m.SliceEpoch < ag.owners[m.Slice] {
		return
	}
	ag.owners[m.Slice] = m.SliceEpoch
	ag.heardOwner(m.Slice, m.SentMs, n.now)
	recalled := false
	for _, s := range m.Specs {
		if h := ag.held[s.Key]; h != nil && h.unknown {
			h.spec, h.unknown = s, false
		}
	}
	for _, v := range m.Verdicts {
		h := ag.held[v.Key]
		if h == nil {
			continue
		}
		switch v.Verdict {
		case verdictKeep:
			h.confirmedMs = max(h.confirmedMs, m.SentMs)
		case verdictRecall:
			if h.state == heldQueued {
				h.state, h.result, recalled = heldEnded, resultShed, true
				n.count("recalls")
			} else {
				h.confirmedMs = max(h.confirmedMs, m.SentMs)
			}
		case verdictDrop:
			if h.state == heldQueued {
				h.state, h.result = heldEnded, resultCancelled
			} else if h.state != heldEnded {
				n.stopRun(ag, h, resultCancelled)
			}
		case verdictAcked, verdictCounted:
			if h.state == heldEnded && !h.acked {
				if h.late && v.Verdict != verdictCounted {
					continue // another run may have taken its place
				}
				h.acked = true
				if !h.ordered || h.result == resultLost || h.result == resultBounced {
					ag.bury(v.Key, n.now)
				}
			}
		}
	}
	if recalled {
		n.syncAgent(ag)
	}
	n.pump(ag)
}

func (n *node) stopRun(ag *agent, h *held, why int8) {
	if h.stopMs == 0 {
		h.stopMs, h.stopWhy = n.now, why
		n.log("run_stopped", "attempt", h.spec.Key.String(), "worker", ag.worker, "why", resultNames[why], "queue", h.spec.Queue, "class", classNames[h.spec.Class],
			"ran_ms", n.now-max(h.startedMs, h.orderedMs), "percent", h.percent, "cpu", h.spec.Room.CPU, "gang", h.spec.Gang)
	}
	if n.now-h.stopSentMs < 1000 && h.stopSentMs != 0 || ag.addr == "" || ag.pinned {
		return // a pinned agent says it in the answer to each beat
	}
	h.stopSentMs = n.now
	n.count("stops_sent")
	n.emit(effOrder{Worker: ag.worker, Addr: ag.addr, Key: h.spec.Key, Stop: true, NotAfterMs: n.now + flightMs,
		Body: jsonOf(map[string]any{"id": h.spec.Key.String()})})
}

// tends tells whether this daemon is surely a worker's agent now.
func (n *node) tends(ag *agent) bool {
	if ag.pinned {
		return !ag.replaced
	}
	return n.holds("agent/" + ag.worker)
}

// pump starts what may start now, by the queue's urgency, then firm tasks before
// queueable ones, then by the age of the job. For firm tasks queueable runs of
// queues no more urgent are stopped, and they start once those ends are listed; short
// runs of more urgent queues are left to end. A pinned agent's
// orders leave in the answer to a beat only.
func (n *node) pump(ag *agent) {
	if !n.tends(ag) || !ag.rebuilt || n.now-ag.tokenMs > reportMs || !n.setupFresh() || ag.pinned && (!ag.beating || ag.lapseTill != 0) {
		return
	}
	queue := n.returnBatches(ag, ag.waiting(n))
	if len(queue) == 0 {
		return
	}
	if ag.leaving || n.setup.cur.Empty[ag.site] {
		for _, h := range queue { // others can take them; they never started
			h.state, h.result = heldEnded, resultShed
		}
		n.syncAgent(ag)
		return
	}
	avail := ag.free
	for _, h := range ag.held {
		if h.state != heldOrdered && h.state != heldRunning {
			continue
		}
		if h.unknown {
			return // it takes room, nobody has told yet how much
		}
		if ag.pinned || !h.listed {
			avail = avail.minus(h.spec.Room)
		}
	}
	for _, h := range queue {
		q := n.setup.cur.Queues[h.spec.Queue]
		_, lack := lacks(ag.labels, h.spec.Needs)
		if q == nil || lack || !q.matches(ag.labels, ag.site) || h.spec.PerWorker > 0 && ag.ofStep(h) >= int(h.spec.PerWorker) {
			h.state, h.result = heldEnded, resultBounced
			n.syncAgent(ag)
			continue
		}
		if n.now-h.confirmedMs > contactMs {
			continue
		}
		if r := n.batchSpec(&h.spec); r != nil && (!h.spec.Room.fits(avail) || !n.mayStartBatch(ag, h, r)) {
			continue
		}
		if h.spec.Room.fits(avail) {
			avail = avail.minus(h.spec.Room)
			n.order(ag, h)
			continue
		}
		if h.spec.Class == classGuaranteed {
			n.preempt(ag, h, h.spec.Room.minus(avail))
			avail = avail.minus(h.spec.Room) // what is free and what gets free is kept for it
			continue
		}
		n.preempt(ag, h, h.spec.Room.minus(avail)) // of lesser queues only, batches at once
		if n.now-h.queuedMs > bypassMs {
			return
		}
	}
}

// ofStep counts the started tasks here that share a task's job, round and step.
func (ag *agent) ofStep(h *held) (count int) {
	round, step, _, ok := placeOf(h.spec.Key.Task)
	for k, o := range ag.held {
		r, s, _, _ := placeOf(k.Task)
		if ok && k.Job == h.spec.Key.Job && r == round && s == step && (o.state == heldOrdered || o.state == heldRunning) {
			count++
		}
	}
	return count
}

// waiting gives the unstarted tasks in the order they may start.
func (ag *agent) waiting(n *node) []*held {
	var out []*held
	for _, key := range ag.keys() {
		if ag.held[key].state == heldQueued {
			out = append(out, ag.held[key])
		}
	}
	urgency := func(h *held) int64 { return n.setup.cur.urgencyOf(h.spec.Queue) }
	slices.SortStableFunc(out, func(a, b *held) int {
		return cmp.Or(cmp.Compare(urgency(b), urgency(a)), cmp.Compare(a.spec.Class, b.spec.Class), cmp.Compare(a.spec.SubmitMs, b.spec.SubmitMs))
	})
	return out
}

// preempt stops queueable runs until so much room is on its way: the least
// urgent first, and of those the ones that lose the least work. For a queueable
// task only runs of less urgent queues are stopped.
func (n *node) preempt(ag *agent, wants *held, room amount) {
	urgency := func(h *held) int64 { return n.setup.cur.urgencyOf(h.spec.Queue) }
	var runs []*held
	for _, key := range ag.keys() {
		h := ag.held[key]
		if h.spec.Class != classQueueable || h.state != heldRunning {
			continue
		}
		if h.stopMs != 0 {
			room = room.minus(h.spec.Room)
			continue
		}
		if wants.spec.Class == classQueueable && n.now-wants.queuedMs <= urgentWaitMs && n.batchSpec(&h.spec) == nil {
			continue
		}
		if urgency(h) < urgency(wants) || wants.spec.Class == classGuaranteed && urgency(h) == urgency(wants) {
			runs = append(runs, h)
		}
	}
	lost := func(h *held) int64 { return (n.now - h.startedMs) * max(h.spec.Room.CPU, 1) }
	slices.SortStableFunc(runs, func(a, b *held) int {
		return cmp.Or(cmp.Compare(urgency(a), urgency(b)), cmp.Compare(lost(a), lost(b)))
	})
	if wants.spec.Class == classQueueable {
		all := amount{}
		for _, h := range runs {
			all = all.plus(h.spec.Room)
		}
		if !room.fits(all) {
			return // it would not be enough
		}
	}
	for _, h := range runs {
		if room.fits(amount{}) {
			return
		}
		if room.CPU <= 0 && h.spec.Room.Memory == 0 && h.spec.Room.GPU == 0 {
			continue
		}
		room = room.minus(h.spec.Room)
		n.count("preemptions")
		n.stopRun(ag, h, resultPreempted)
	}
}

func (n *node) order(ag *agent, h *held) {
	h.state, h.ordered, h.orderedMs, h.listed = heldOrdered, true, n.now, false
	s := &h.spec
	n.count("orders_" + classNames[s.Class])
	if ag.pinned {
		h.orderSeq = ag.repSeq
		ag.outbox = append(ag.outbox, h)
		return
	}
	payload := rawJSON(s.Payload)
	if len(s.Payload) == 0 {
		payload = "null"
	}
	tag := jsonOf(orderTag{s.Slice, s.Queue, s.Name, s.Class, s.Room, s.LimitMs, s.EstMs, s.SubmitMs})
	d := n.duties["agent/"+ag.worker]
	n.emit(effOrder{Worker: ag.worker, Addr: ag.addr, Key: s.Key,
		NotAfterMs: min(d.untilMs-leaseSlack, h.confirmedMs+contactMs, n.setup.confirmedMs+setupMs, ag.tokenMs+reportMs),
		Body: jsonOf(map[string]any{"id": s.Key.String(), "job": s.Key.Job, "name": s.Name, "queue": s.Queue, "class": classNames[s.Class], "room": s.Room, "limit_ms": s.LimitMs,
			"payload": payload, "tag": string(tag)})})
}

var orderOutcomes = map[string]func(*node, *agent, *held){
	"started": func(n *node, _ *agent, h *held) {
		if h.state == heldOrdered {
			h.state, h.startedMs, h.answeredMs = heldRunning, n.now, n.now
		}
	},
	"turned_away": func(n *node, ag *agent, h *held) {
		if h.state == heldOrdered {
			h.state, h.result, h.ordered = heldEnded, resultBounced, false
			n.syncAgent(ag)
		}
	},
	"not_sent": func(n *node, _ *agent, h *held) {
		if h.state == heldOrdered {
			h.state, h.ordered = heldQueued, false
		}
	},
	// It may have started: it holds its room until the worker's word settles it.
	"unknown": func(n *node, _ *agent, h *held) { n.count("orders_unsettled") },
}

func (n *node) onOrder(e evOrder) {
	ag := n.agents[e.Worker]
	if ag == nil || e.Stop {
		return
	}
	if h := ag.held[e.Key]; h != nil {
		orderOutcomes[e.Outcome](n, ag, h)
	}
}

// rankOf is the paper's R = T_q + T_r + T_l, without batches: all others push them out.
func (ag *agent) rankOf(n *node) (rank, queuedMs, queued int64) {
	var tq, tr int64
	now := n.now
	for _, h := range ag.held {
		if n.batchSpec(&h.spec) != nil {
			continue
		}
		switch h.state {
		case heldQueued:
			tq += h.spec.EstMs
			queued++
		case heldOrdered, heldRunning:
			tr += max(0, h.spec.EstMs-(now-max(h.startedMs, h.orderedMs)))
		}
	}
	return tq + tr + (now - ag.lastOK), tq, queued
}

// syncAgent tells each slice's owner and the central scheduler all it holds.
func (n *node) syncAgent(ag *agent) {
	ag.syncAt = n.now + syncMs
	if !n.tends(ag) && !ag.replaced {
		return
	}
	rank, tq, queued := ag.rankOf(n)
	waiting, spare := ag.besideBatches(n)
	base := syncMsg{Waiting: waiting, Spare: spare, Worker: ag.worker, Agent: n.Name, Epoch: ag.epoch, SentMs: n.now, Rebuilt: ag.rebuilt, Fresh: n.now-ag.tokenMs <= reportMs,
		SilentMs: n.now - ag.heardMs, Site: ag.site, Labels: ag.labels, Leaving: ag.leaving, Rack: ag.rack, Free: ag.free, Capacity: ag.capacity,
		Suspect: n.now < ag.suspectMs, Pinned: ag.pinned,
		RankMs: rank, QueuedMs: tq, Queued: queued, Oks: ag.oks, Fails: ag.fails, LagPct: ag.lagPct}
	keys := ag.keys()
	for _, target := range append([]string{""}, n.core.Slices...) {
		duty := "central"
		if target != "" {
			duty = "slice/" + target
		}
		to, _ := n.holder(duty)
		if to == "" {
			continue
		}
		m := base
		m.Slice = target
		m.Batch = ag.batchHeld(n, target)
		for _, key := range keys {
			h := ag.held[key]
			if h.spec.Slice == "" {
				h.spec.Slice = n.sliceOf(key.Job)
			}
			if h.state != heldEnded && h.spec.Slice != target {
				m.Others = m.Others.plus(h.spec.Room)
			}
			if target == "" && h.state == heldEnded || target != "" && (h.spec.Slice != target || h.state == heldEnded && h.acked) {
				continue
			}
			ran := h.ranMs
			if h.state == heldRunning {
				ran = n.now - h.startedMs
			}
			m.Held = append(m.Held, heldView{Key: key, Class: h.spec.Class, State: h.state, Result: h.result, Room: h.spec.Room, RanMs: ran,
				EstMs: h.spec.EstMs, Queue: h.spec.Queue, Name: h.spec.Name, Saved: h.spec.Saved, Unknown: h.unknown, Late: h.late})
		}
		n.send(to, &m)
	}
}

func (n *node) tickAgents() {
	for _, name := range sorted(n.agents) {
		ag := n.agents[name]
		if ag.pinned {
			n.tickPinned(ag)
			continue
		}
		for _, key := range ag.keys() {
			h := ag.held[key]
			switch {
			case h.state == heldRunning && h.stopMs != 0:
				n.stopRun(ag, h, h.stopWhy)
			case h.state == heldRunning && h.spec.LimitMs > 0 && n.now-h.startedMs > h.spec.LimitMs,
				h.state == heldOrdered && h.spec.LimitMs > 0 && n.now-h.orderedMs > h.spec.LimitMs+flightMs:
				n.stopRun(ag, h, resultOverrun)
			case h.state == heldOrdered && h.stopMs != 0:
				n.stopRun(ag, h, h.stopWhy)
			case h.state == heldQueued && n.now-ag.heardMs > silentMs:
				h.state, h.result = heldEnded, resultShed // its worker is silent; it never started
			}
		}
		for k, at := range ag.tombs {
			if n.now-at > tombMs && (ag.held[k] == nil) {
				delete(ag.tombs, k)
			}
		}
		if n.now >= ag.decayAt {
			ag.decayAt = n.now + 10_000
			ag.oks, ag.fails = ag.oks*3/4, ag.fails*3/4
		}
		if n.now >= ag.syncAt {
			n.syncAgent(ag)
		}
		n.pump(ag)
		if len(ag.held) == 0 && n.now-ag.heardMs > agentIdleMs {
			n.resign(n.duties["agent/"+name], "")
		}
	}
}

// shed gives back unstarted queueable tasks, the last in line first, until the
// rank meets the coordinator's target.
func (n *node) shed(ag *agent, targetMs int64) {
	rank, _, _ := ag.rankOf(n)
	queue := ag.waiting(n)
	slices.Reverse(queue)
	some := false
	for _, h := range queue {
		if rank <= targetMs {
			break
		}
		if h.spec.Class != classQueueable || n.batchSpec(&h.spec) != nil {
			continue
		}
		rank -= h.spec.EstMs
		h.state, h.result, some = heldEnded, resultShed, true
		n.count("sheds")
	}
	if some {
		n.syncAgent(ag)
	}
}

// onPromote makes a running queueable task firm, if its room is sure.
func (n *node) onPromote(_ string, m *promoteMsg) {
	ag := n.agents[m.Worker]
	if ag == nil || ag.epoch != m.Epoch || !n.tends(ag) {
		return
	}
	h := ag.held[m.Key]
	if h == nil || h.state != heldRunning || h.stopMs != 0 || h.spec.Class != classQueueable || n.batchSpec(&h.spec) != nil {
		return
	}
	firm := h.spec.Room
	for _, o := range ag.held {
		if o.state != heldEnded && o.spec.Class == classGuaranteed {
			firm = firm.plus(o.spec.Room)
		}
	}
	if firm.fits(ag.capacity) {
		h.spec.Class = classGuaranteed
		n.count("promotions")
	}
}

// UnmarshalJSON reads what MarshalJSON wrote.
//
// Example: json.Unmarshal([]byte("61"), &room)
func (a *amount) UnmarshalJSON(b []byte) error {
	*a = amountOf(gjson.ParseBytes(b))
	return nil
}
