package daemon

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
	attemptQueued  int8 = iota
	attemptOrdered      // ordered; it may have started
	attemptRunning
	attemptEnded
)

const (
	resultOK int8 = iota + 1
	resultFailed
	resultOverrun
	resultPreempted
	resultShed
	resultRejected
	resultLost
	resultCancelled
	resultMoved      // stopped since its worker leaves
	resultStalled    // stopped since it stood still
	resultGangBroken // another member of its gang ended, or did not come
)

var resultNames = map[int8]string{resultOK: "ok", resultFailed: "failed", resultOverrun: "overrun", resultPreempted: "preempted",
	resultShed: "shed", resultRejected: "bounced", resultLost: "lost", resultCancelled: "cancelled",
	resultMoved: "moved", resultStalled: "standing", resultGangBroken: "broken"}

const (
	decisionKeep int8 = iota + 1
	decisionDrop
	decisionAcknowledged // nothing more is wanted of it
	decisionCounted      // the same, and no other run took its place since its worker was silent
	decisionRecall       // to be given back if it has not started: there is room elsewhere
)

// agent is the only giver of one worker's orders and the guard of its room.
type agent struct {
	worker  string
	epoch   uint64
	startMs int64

	workerIncarnation string
	pastIncarnations  []string
	addr              string
	site              string
	labels            []label
	leaving           bool
	free              resources
	capacity          resources
	reportSeq         int64
	tokenMs           int64 // our clock when the token was issued that the last report carried
	heardMs           int64
	rebuilt           bool

	attempts   map[attemptKey]*attempt
	tombstones map[attemptKey]int64
	owners     map[string]uint64 // slice -> highest owner epoch heard
	lastOK     int64
	syncAt     int64
	oks        int64
	fails      int64
	lagPct     int64
	decayAt    int64

	colocated        bool
	rack             string
	holdUntil        int64 // all that runs there has surely ended by then, if no beat comes
	acknowledgedEnds int64 // ends up to this number were taken note of
	ends             map[int64]attemptKey
	ownerMs          map[string]int64 // slice -> our clock at the last sync that its owner answered
	outbox           []*attempt       // what the answer to this beat starts
	answering        bool             // a beat is being answered
	goneMs           int64            // it said that it goes; 0 if not
	leavesMs         int64            // what runs there then dies; 0 if it does not leave
	replaced         bool             // another worker beats from its place
	lapseTill        int64            // the hold must lapse before this: late ends wait for that
	suspectMs        int64            // until then it is suspect
	suspects         int64            // how often it was, lately
	adoptedMs        int64
}

type attempt struct {
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
	Slice    string    `json:"slice"`
	Queue    string    `json:"queue"`
	Name     string    `json:"name"`
	Class    int8      `json:"class"`
	Room     resources `json:"room"`
	LimitMs  int64     `json:"limit_ms"`
	EstMs    int64     `json:"est_ms"`
	SubmitMs int64     `json:"submit_ms"`
}

var reportFields = fieldSchema{Kind: "object", Fields: map[string]fieldSchema{
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

var runFields = fieldSchema{Kind: "object", Fields: map[string]fieldSchema{
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
	out := make([]attemptKey, 0, len(ag.attempts))
	for k := range ag.attempts {
		out = append(out, k)
	}
	slices.SortFunc(out, compareKeys)
	return out
}

func (n *node) startAgent(d *roleLease) {
	w := strings.TrimPrefix(d.name, "agent/")
	n.agents[w] = &agent{worker: w, epoch: d.epoch, startMs: n.now, attempts: map[attemptKey]*attempt{}, tombstones: map[attemptKey]int64{},
		owners: map[string]uint64{}, lastOK: n.now, heardMs: n.now, tokenMs: -1 << 40}
}

// routeReport brings a worker's report to its agent, and where it has none lets
// the candidate of the worker's site become it.
func (n *node) routeReport(a *request) {
	name := "agent/" + a.key
	if ag := n.agents[a.key]; ag != nil && n.holds(name) {
		n.applyReport(ag, a)
		return
	}
	if !nameOK(a.key) {
		n.rejectFaults(a, 400, 0, []fault{{"name", "must be a name"}})
		return
	}
	if to, _ := n.holder(name); to != "" {
		n.forward(a, to)
		return
	}
	next := n.holders[name].Successor // named by the last holder, or else the first candidate
	if c := n.candidates(name, gjson.GetBytes(a.body, "site").Str); !n.alive(next) && len(c) > 0 {
		next = c[0]
	}
	if next != n.Name && a.hops < forwardsMax {
		n.forward(a, next)
		return
	}
	n.acquire(name)
	n.respond(a, 503, 200, mustJSON(map[string]any{"error": "the worker has no agent yet"}))
}

func (n *node) applyReport(ag *agent, a *request) {
	if f := checkDocument(a.body, reportFields); len(f) > 0 {
		n.rejectFaults(a, 400, 0, f)
		return
	}
	r := gjson.ParseBytes(a.body)
	inc, seq := r.Get("incarnation").Str, r.Get("seq").Int()
	if inc == ag.workerIncarnation && seq <= ag.reportSeq || slices.Contains(ag.pastIncarnations, inc) {
		n.answerReport(ag, a, nil)
		return
	}
	if ag.workerIncarnation != "" && inc != ag.workerIncarnation {
		ag.pastIncarnations = append(ag.pastIncarnations, ag.workerIncarnation)
		ag.pastIncarnations = ag.pastIncarnations[max(0, len(ag.pastIncarnations)-8):]
		n.log("worker_new_incarnation", "worker", ag.worker, "epoch", ag.epoch)
	}
	ag.workerIncarnation, ag.reportSeq, ag.heardMs = inc, seq, n.now
	ag.addr, ag.site, ag.leaving = r.Get("address").Str, r.Get("site").Str, r.Get("leaving").Bool()
	ag.labels, ag.free = labelsOf(r.Get("labels")), resourcesOf(r.Get("free"))
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
			ag.capacity = ag.capacity.plus(resourcesOf(e.Get("room")))
			continue // not one of ours, but it takes room
		}
		running[key] = true
		h := ag.attempts[key]
		if h == nil {
			h = ag.adopt(key, e, n.now)
		}
		if h.state != attemptRunning {
			if h.state == attemptEnded {
				n.log("attempt_runs_after_end", "attempt", key.String(), "worker", ag.worker)
			}
			h.state, h.ordered = attemptRunning, true
			h.startedMs = n.now - e.Get("ran_ms").Int()
		}
		ag.capacity = ag.capacity.plus(h.spec.Resources)
	}
	changed := false
	for _, e := range r.Get("ended").Array() {
		key, ok := parseKey(e.Get("id").Str)
		if !ok {
			continue
		}
		ended[key] = true
		h := ag.attempts[key]
		if h == nil {
			if _, ok := ag.tombstones[key]; ok {
				continue
			}
			h = ag.adopt(key, e, n.now)
		}
		h.ordered = true
		if h.state != attemptEnded {
			changed = true
			n.endAttempt(ag, h, e.Get("outcome").Str, max(e.Get("ran_ms").Int(), 1))
		}
	}
	for _, key := range ag.keys() {
		h := ag.attempts[key]
		wasListed := h.listed
		h.listed = running[key]
		switch {
		case running[key] || ended[key]:
		case h.state == attemptRunning && (wasListed || h.answeredMs > 0 && ag.tokenMs > h.answeredMs):
			h.state, h.result, changed = attemptEnded, resultLost, true
		case h.state == attemptOrdered && ag.tokenMs > h.orderedMs+flightMs:
			h.state, h.result, changed = attemptEnded, resultRejected, true
		case h.state == attemptEnded && h.acked:
			ag.forget(key, n.now)
		}
	}
	if !ag.rebuilt && ag.tokenMs > ag.startMs+flightMs {
		ag.rebuilt = true
		n.log("agent_rebuilt", "worker", ag.worker, "epoch", ag.epoch, "held", len(ag.attempts))
		changed = true
	}
	n.answerReport(ag, a, ended)
	if changed {
		n.syncAgent(ag)
	}
	n.startPending(ag)
}

// adopt takes a run that only the worker knew of.
func (ag *agent) adopt(key attemptKey, e gjson.Result, now int64) *attempt {
	var t orderTag
	_ = json.Unmarshal([]byte(e.Get("tag").Str), &t)
	h := &attempt{state: attemptOrdered, ordered: true, orderedMs: now, startedMs: now - e.Get("ran_ms").Int(), spec: orderSpec{Key: key, Slice: t.Slice,
		Queue: t.Queue, Name: t.Name, Class: t.Class, Resources: t.Room, LimitMs: t.LimitMs, EstMs: t.EstMs, SubmitMs: t.SubmitMs}}
	if h.spec.Resources == (resources{}) {
		h.spec.Resources = resourcesOf(e.Get("room"))
	}
	ag.attempts[key] = h
	return h
}

func (ag *agent) forget(key attemptKey, now int64) {
	delete(ag.attempts, key)
	ag.tombstones[key] = now
}

func (n *node) answerReport(ag *agent, a *request, ended map[attemptKey]bool) {
	acked := []string{}
	keys := make([]attemptKey, 0, len(ended))
	for k := range ended {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	for _, k := range keys {
		_, buried := ag.tombstones[k]
		if h := ag.attempts[k]; buried || h != nil && h.acked {
			acked = append(acked, k.String())
		}
	}
	n.respond(a, 200, 0, mustJSON(map[string]any{"agent": n.Name, "epoch": ag.epoch, "token": fmt.Sprintf("%d.%d", ag.epoch, n.now), "acked": acked}))
}

// endAttempt takes a worker's word on how a run ended.
func (n *node) endAttempt(ag *agent, h *attempt, outcome string, ranMs int64) {
	h.state, h.ranMs = attemptEnded, ranMs
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
		h.result = resultGangBroken
		n.count("gang_" + outcome)
	case "turned_away":
		h.result = resultRejected
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

func (n *node) onPlacement(_ string, m *placement) {
	ag := n.agents[m.Worker]
	if ag == nil || ag.epoch != m.AgentEpoch || !n.isActiveAgent(ag) && !ag.replaced || m.SliceEpoch < ag.owners[m.Spec.Slice] || n.now-m.EchoMs > contactMs {
		n.count("places_stale")
		return
	}
	ag.owners[m.Spec.Slice] = m.SliceEpoch
	if h := ag.attempts[m.Spec.Key]; h != nil {
		h.confirmedMs = max(h.confirmedMs, m.EchoMs)
		return
	}
	if _, ok := ag.tombstones[m.Spec.Key]; ok {
		return
	}
	h := &attempt{spec: m.Spec, confirmedMs: m.EchoMs, queuedMs: n.now}
	ag.attempts[m.Spec.Key] = h
	firm, queued := resources{}, 0
	for _, o := range ag.attempts {
		if o.state != attemptEnded && o.spec.Class == classGuaranteed {
			firm = firm.plus(o.spec.Resources)
		}
		if o.state == attemptQueued {
			queued++
		}
	}
	if !ag.rebuilt || ag.replaced || !m.Spec.Resources.fits(ag.capacity) || m.Spec.Class == classGuaranteed && !firm.fits(ag.capacity) || queued > agentQueueMax {
		h.state, h.result = attemptEnded, resultRejected
		n.count("places_bounced")
		n.syncAgent(ag)
		return
	}
	n.startPending(ag)
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
		if h := ag.attempts[s.Key]; h != nil && h.unknown {
			h.spec, h.unknown = s, false
		}
	}
	for _, v := range m.Decisions {
		h := ag.attempts[v.Key]
		if h == nil {
			continue
		}
		switch v.Decision {
		case decisionKeep:
			h.confirmedMs = max(h.confirmedMs, m.SentMs)
		case decisionRecall:
			if h.state == attemptQueued {
				h.state, h.result, recalled = attemptEnded, resultShed, true
				n.count("recalls")
			} else {
				h.confirmedMs = max(h.confirmedMs, m.SentMs)
			}
		case decisionDrop:
			if h.state == attemptQueued {
				h.state, h.result = attemptEnded, resultCancelled
			} else if h.state != attemptEnded {
				n.stopAttempt(ag, h, resultCancelled)
			}
		case decisionAcknowledged, decisionCounted:
			if h.state == attemptEnded && !h.acked {
				if h.late && v.Decision != decisionCounted {
					continue // another run may have taken its place
				}
				h.acked = true
				if !h.ordered || h.result == resultLost || h.result == resultRejected {
					ag.forget(v.Key, n.now)
				}
			}
		}
	}
	if recalled {
		n.syncAgent(ag)
	}
	n.startPending(ag)
}

func (n *node) stopAttempt(ag *agent, h *attempt, why int8) {
	if h.stopMs == 0 {
		h.stopMs, h.stopWhy = n.now, why
		n.log("run_stopped", "attempt", h.spec.Key.String(), "worker", ag.worker, "why", resultNames[why], "queue", h.spec.Queue, "class", classNames[h.spec.Class],
			"ran_ms", n.now-max(h.startedMs, h.orderedMs), "percent", h.percent, "cpu", h.spec.Resources.CPU, "gang", h.spec.Gang)
	}
	if n.now-h.stopSentMs < 1000 && h.stopSentMs != 0 || ag.addr == "" || ag.colocated {
		return // a pinned agent says it in the answer to each beat
	}
	h.stopSentMs = n.now
	n.count("stops_sent")
	n.emit(effOrder{Worker: ag.worker, Addr: ag.addr, Key: h.spec.Key, Stop: true, NotAfterMs: n.now + flightMs,
		Body: mustJSON(map[string]any{"id": h.spec.Key.String()})})
}

// isActiveAgent tells whether this daemon is surely a worker's agent now.
func (n *node) isActiveAgent(ag *agent) bool {
	if ag.colocated {
		return !ag.replaced
	}
	return n.holds("agent/" + ag.worker)
}

// startPending starts what may start now, by the queue's urgency, then firm tasks before
// queueable ones, then by the age of the job. For firm tasks queueable runs of
// queues no more urgent are stopped, and they start once those ends are listed; short
// runs of more urgent queues are left to end. A pinned agent's
// orders leave in the answer to a beat only.
func (n *node) startPending(ag *agent) {
	if !n.isActiveAgent(ag) || !ag.rebuilt || n.now-ag.tokenMs > reportMs || !n.configFresh() || ag.colocated && (!ag.answering || ag.lapseTill != 0) {
		return
	}
	queue := n.returnBatches(ag, ag.waiting(n))
	if len(queue) == 0 {
		return
	}
	if ag.leaving || n.config.current.EmptyZones[ag.site] {
		for _, h := range queue { // others can take them; they never started
			h.state, h.result = attemptEnded, resultShed
		}
		n.syncAgent(ag)
		return
	}
	avail := ag.free
	for _, h := range ag.attempts {
		if h.state != attemptOrdered && h.state != attemptRunning {
			continue
		}
		if h.unknown {
			return // it takes room, nobody has told yet how much
		}
		if ag.colocated || !h.listed {
			avail = avail.minus(h.spec.Resources)
		}
	}
	for _, h := range queue {
		q := n.config.current.Queues[h.spec.Queue]
		_, lack := lacks(ag.labels, h.spec.Needs)
		if q == nil || lack || !q.matches(ag.labels, ag.site) || h.spec.PerWorker > 0 && ag.ofStep(h) >= int(h.spec.PerWorker) {
			h.state, h.result = attemptEnded, resultRejected
			n.syncAgent(ag)
			continue
		}
		if n.now-h.confirmedMs > contactMs {
			continue
		}
		if r := n.batchSpec(&h.spec); r != nil && (!h.spec.Resources.fits(avail) || !n.mayStartBatch(ag, h, r)) {
			continue
		}
		if h.spec.Resources.fits(avail) {
			avail = avail.minus(h.spec.Resources)
			n.dispatch(ag, h)
			continue
		}
		if h.spec.Class == classGuaranteed {
			n.preempt(ag, h, h.spec.Resources.minus(avail))
			avail = avail.minus(h.spec.Resources) // what is free and what gets free is kept for it
			continue
		}
		n.preempt(ag, h, h.spec.Resources.minus(avail)) // of lesser queues only, batches at once
		if n.now-h.queuedMs > bypassMs {
			return
		}
	}
}

// ofStep counts the started tasks here that share a task's job, round and step.
func (ag *agent) ofStep(h *attempt) (count int) {
	round, step, _, ok := placeOf(h.spec.Key.Task)
	for k, o := range ag.attempts {
		r, s, _, _ := placeOf(k.Task)
		if ok && k.Job == h.spec.Key.Job && r == round && s == step && (o.state == attemptOrdered || o.state == attemptRunning) {
			count++
		}
	}
	return count
}

// waiting gives the unstarted tasks in the order they may start.
func (ag *agent) waiting(n *node) []*attempt {
	var out []*attempt
	for _, key := range ag.keys() {
		if ag.attempts[key].state == attemptQueued {
			out = append(out, ag.attempts[key])
		}
	}
	urgency := func(h *attempt) int64 { return n.config.current.urgencyOf(h.spec.Queue) }
	slices.SortStableFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(urgency(b), urgency(a)), cmp.Compare(a.spec.Class, b.spec.Class), cmp.Compare(a.spec.SubmitMs, b.spec.SubmitMs))
	})
	return out
}

// preempt stops queueable runs until so much room is on its way: the least
// urgent first, and of those the ones that lose the least work. For a queueable
// task only runs of less urgent queues are stopped.
func (n *node) preempt(ag *agent, wants *attempt, room resources) {
	urgency := func(h *attempt) int64 { return n.config.current.urgencyOf(h.spec.Queue) }
	var runs []*attempt
	for _, key := range ag.keys() {
		h := ag.attempts[key]
		if h.spec.Class != classQueueable || h.state != attemptRunning {
			continue
		}
		if h.stopMs != 0 {
			room = room.minus(h.spec.Resources)
			continue
		}
		if wants.spec.Class == classQueueable && n.now-wants.queuedMs <= urgentWaitMs && n.batchSpec(&h.spec) == nil {
			continue
		}
		if urgency(h) < urgency(wants) || wants.spec.Class == classGuaranteed && urgency(h) == urgency(wants) {
			runs = append(runs, h)
		}
	}
	lost := func(h *attempt) int64 { return (n.now - h.startedMs) * max(h.spec.Resources.CPU, 1) }
	slices.SortStableFunc(runs, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(urgency(a), urgency(b)), cmp.Compare(lost(a), lost(b)))
	})
	if wants.spec.Class == classQueueable {
		all := resources{}
		for _, h := range runs {
			all = all.plus(h.spec.Resources)
		}
		if !room.fits(all) {
			return // it would not be enough
		}
	}
	for _, h := range runs {
		if room.fits(resources{}) {
			return
		}
		if room.CPU <= 0 && h.spec.Resources.Memory == 0 && h.spec.Resources.GPU == 0 {
			continue
		}
		room = room.minus(h.spec.Resources)
		n.count("preemptions")
		n.stopAttempt(ag, h, resultPreempted)
	}
}

func (n *node) dispatch(ag *agent, h *attempt) {
	h.state, h.ordered, h.orderedMs, h.listed = attemptOrdered, true, n.now, false
	s := &h.spec
	n.count("orders_" + classNames[s.Class])
	if ag.colocated {
		h.orderSeq = ag.reportSeq
		ag.outbox = append(ag.outbox, h)
		return
	}
	payload := rawJSON(s.Payload)
	if len(s.Payload) == 0 {
		payload = "null"
	}
	tag := mustJSON(orderTag{s.Slice, s.Queue, s.Name, s.Class, s.Resources, s.LimitMs, s.EstMs, s.SubmitMs})
	d := n.roles["agent/"+ag.worker]
	n.emit(effOrder{Worker: ag.worker, Addr: ag.addr, Key: s.Key,
		NotAfterMs: min(d.untilMs-leaseSlackMs, h.confirmedMs+contactMs, n.config.confirmedMs+configFreshMs, ag.tokenMs+reportMs),
		Body: mustJSON(map[string]any{"id": s.Key.String(), "job": s.Key.Job, "name": s.Name, "queue": s.Queue, "class": classNames[s.Class], "room": s.Resources, "limit_ms": s.LimitMs,
			"payload": payload, "tag": string(tag)})})
}

var orderOutcomes = map[string]func(*node, *agent, *attempt){
	"started": func(n *node, _ *agent, h *attempt) {
		if h.state == attemptOrdered {
			h.state, h.startedMs, h.answeredMs = attemptRunning, n.now, n.now
		}
	},
	"turned_away": func(n *node, ag *agent, h *attempt) {
		if h.state == attemptOrdered {
			h.state, h.result, h.ordered = attemptEnded, resultRejected, false
			n.syncAgent(ag)
		}
	},
	"not_sent": func(n *node, _ *agent, h *attempt) {
		if h.state == attemptOrdered {
			h.state, h.ordered = attemptQueued, false
		}
	},
	// It may have started: it holds its room until the worker's word settles it.
	"unknown": func(n *node, _ *agent, h *attempt) { n.count("orders_unsettled") },
}

func (n *node) onOrder(e evOrder) {
	ag := n.agents[e.Worker]
	if ag == nil || e.Stop {
		return
	}
	if h := ag.attempts[e.Key]; h != nil {
		orderOutcomes[e.Outcome](n, ag, h)
	}
}

// rankOf is the paper's R = T_q + T_r + T_l, without batches: all others push them out.
func (ag *agent) rankOf(n *node) (rank, queuedMs, queued int64) {
	var tq, tr int64
	now := n.now
	for _, h := range ag.attempts {
		if n.batchSpec(&h.spec) != nil {
			continue
		}
		switch h.state {
		case attemptQueued:
			tq += h.spec.EstMs
			queued++
		case attemptOrdered, attemptRunning:
			tr += max(0, h.spec.EstMs-(now-max(h.startedMs, h.orderedMs)))
		}
	}
	return tq + tr + (now - ag.lastOK), tq, queued
}

// syncAgent tells each slice's owner and the central scheduler all it holds.
func (n *node) syncAgent(ag *agent) {
	ag.syncAt = n.now + syncMs
	if !n.isActiveAgent(ag) && !ag.replaced {
		return
	}
	rank, tq, queued := ag.rankOf(n)
	waiting, spare := ag.withoutBatches(n)
	base := syncMsg{Waiting: waiting, Spare: spare, Worker: ag.worker, Agent: n.Name, Epoch: ag.epoch, SentMs: n.now, Rebuilt: ag.rebuilt, Fresh: n.now-ag.tokenMs <= reportMs,
		SilentMs: n.now - ag.heardMs, Zone: ag.site, Labels: ag.labels, Leaving: ag.leaving, Rack: ag.rack, Free: ag.free, Capacity: ag.capacity,
		Suspect: n.now < ag.suspectMs, Colocated: ag.colocated,
		RankMs: rank, QueuedMs: tq, Queued: queued, Oks: ag.oks, Fails: ag.fails, LagPct: ag.lagPct}
	keys := ag.keys()
	for _, target := range append([]string{""}, n.core.Shards...) {
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
			h := ag.attempts[key]
			if h.spec.Slice == "" {
				h.spec.Slice = n.shardOf(key.Job)
			}
			if h.state != attemptEnded && h.spec.Slice != target {
				m.Others = m.Others.plus(h.spec.Resources)
			}
			if target == "" && h.state == attemptEnded || target != "" && (h.spec.Slice != target || h.state == attemptEnded && h.acked) {
				continue
			}
			ran := h.ranMs
			if h.state == attemptRunning {
				ran = n.now - h.startedMs
			}
			m.Attempts = append(m.Attempts, attemptView{Key: key, Class: h.spec.Class, State: h.state, Result: h.result, Resources: h.spec.Resources, RanMs: ran,
				EstMs: h.spec.EstMs, Queue: h.spec.Queue, Name: h.spec.Name, Saved: h.spec.Saved, Unknown: h.unknown, Late: h.late})
		}
		n.send(to, &m)
	}
}

func (n *node) tickAgents() {
	for _, name := range sorted(n.agents) {
		ag := n.agents[name]
		if ag.colocated {
			n.tickColocatedAgent(ag)
			continue
		}
		for _, key := range ag.keys() {
			h := ag.attempts[key]
			switch {
			case h.state == attemptRunning && h.stopMs != 0:
				n.stopAttempt(ag, h, h.stopWhy)
			case h.state == attemptRunning && h.spec.LimitMs > 0 && n.now-h.startedMs > h.spec.LimitMs,
				h.state == attemptOrdered && h.spec.LimitMs > 0 && n.now-h.orderedMs > h.spec.LimitMs+flightMs:
				n.stopAttempt(ag, h, resultOverrun)
			case h.state == attemptOrdered && h.stopMs != 0:
				n.stopAttempt(ag, h, h.stopWhy)
			case h.state == attemptQueued && n.now-ag.heardMs > silentMs:
				h.state, h.result = attemptEnded, resultShed // its worker is silent; it never started
			}
		}
		for k, at := range ag.tombstones {
			if n.now-at > tombstoneMs && (ag.attempts[k] == nil) {
				delete(ag.tombstones, k)
			}
		}
		if n.now >= ag.decayAt {
			ag.decayAt = n.now + 10_000
			ag.oks, ag.fails = ag.oks*3/4, ag.fails*3/4
		}
		if n.now >= ag.syncAt {
			n.syncAgent(ag)
		}
		n.startPending(ag)
		if len(ag.attempts) == 0 && n.now-ag.heardMs > agentIdleMs {
			n.handOff(n.roles["agent/"+name], "")
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
		h.state, h.result, some = attemptEnded, resultShed, true
		n.count("sheds")
	}
	if some {
		n.syncAgent(ag)
	}
}

// onPromote makes a running queueable task firm, if its room is sure.
func (n *node) onPromote(_ string, m *promoteMsg) {
	ag := n.agents[m.Worker]
	if ag == nil || ag.epoch != m.Epoch || !n.isActiveAgent(ag) {
		return
	}
	h := ag.attempts[m.Key]
	if h == nil || h.state != attemptRunning || h.stopMs != 0 || h.spec.Class != classQueueable || n.batchSpec(&h.spec) != nil {
		return
	}
	firm := h.spec.Resources
	for _, o := range ag.attempts {
		if o.state != attemptEnded && o.spec.Class == classGuaranteed {
			firm = firm.plus(o.spec.Resources)
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
func (a *resources) UnmarshalJSON(b []byte) error {
	*a = resourcesOf(gjson.ParseBytes(b))
	return nil
}
