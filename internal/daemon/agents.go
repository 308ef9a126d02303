package daemon

import (
	"cmp"
	"encoding/json"
	"fmt"
	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/schema"
	"otterchute/internal/wire"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
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
	labels            []wire.Label
	leaving           bool
	free              resource.Amount
	capacity          resource.Amount
	reportSeq         int64
	tokenMs           int64 // our clock when the token was issued that the last report carried
	heardMs           int64
	rebuilt           bool

	attempts   map[wire.AttemptKey]*attempt
	tombstones map[wire.AttemptKey]int64
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
	ends             map[int64]wire.AttemptKey
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
	spec        wire.TaskSpec
	state       wire.AttemptState
	result      wire.AttemptResult
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
	stopWhy     wire.AttemptResult
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
	Slice    string          `json:"slice"`
	Queue    string          `json:"queue"`
	Name     string          `json:"name"`
	Class    wire.TaskClass  `json:"class"`
	Room     resource.Amount `json:"room"`
	LimitMs  int64           `json:"limit_ms"`
	EstMs    int64           `json:"est_ms"`
	SubmitMs int64           `json:"submit_ms"`
}

var reportFields = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"incarnation": {Kind: schema.Name, Required: true},
	"seq":         {Kind: schema.Count, Required: true, Min: 1},
	"address":     {Kind: schema.Text, Required: true, Min: 3, Max: 200},
	"site":        {Kind: schema.Name, Required: true},
	"labels":      {Kind: schema.Labels},
	"free":        {Kind: schema.Count, Required: true, Min: 0},
	"leaving":     {Kind: schema.Flag},
	"token":       {Kind: schema.Text, Max: 100},
	"running":     {Kind: schema.List, Max: 100_000, Elem: &runFields},
	"ended":       {Kind: schema.List, Max: 100_000, Elem: &runFields},
}}

var runFields = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"id":      {Kind: schema.Text, Required: true, Min: 1, Max: 300},
	"tag":     {Kind: schema.Text, Max: 4000},
	"room":    {Kind: schema.Count, Min: 0},
	"ran_ms":  {Kind: schema.Count, Min: 0},
	"outcome": {Kind: schema.Name},
}}

func (ag *agent) keys() []wire.AttemptKey {
	out := make([]wire.AttemptKey, 0, len(ag.attempts))
	for k := range ag.attempts {
		out = append(out, k)
	}
	slices.SortFunc(out, wire.CompareAttemptKeys)
	return out
}

func (n *node) startAgent(w string, epoch uint64) {
	n.agents[w] = &agent{worker: w, epoch: epoch, startMs: n.now, attempts: map[wire.AttemptKey]*attempt{}, tombstones: map[wire.AttemptKey]int64{},
		owners: map[string]uint64{}, lastOK: n.now, heardMs: n.now, tokenMs: -1 << 40}
}

// routeReport brings a worker's report to its agent, and where it has none lets
// the candidate of the worker's site become it.
func (n *node) routeReport(a *request) {
	name := lease.AgentRole(a.key)
	if ag := n.agents[a.key]; ag != nil && n.leases.Holds(name) {
		n.applyReport(ag, a)
		return
	}
	if !schema.ValidName(a.key) {
		n.rejectFaults(a, 400, 0, []schema.Fault{{Path: "name", Reason: "must be a name"}})
		return
	}
	if to, _ := n.leases.Holder(name); to != "" {
		n.forward(a, to)
		return
	}
	next := n.leases.Successor(name) // named by the last holder, or else the first candidate
	if c := n.leases.Candidates(name, gjson.GetBytes(a.body, "site").Str); !n.peers.Alive(next) && len(c) > 0 {
		next = c[0]
	}
	if next != n.Name && a.hops < forwardsMax {
		n.forward(a, next)
		return
	}
	n.leases.Acquire(name)
	n.respond(a, 503, 200, mustJSON(map[string]any{"error": "the worker has no agent yet"}))
}

func (n *node) applyReport(ag *agent, a *request) {
	if f := schema.Check(a.body, reportFields); len(f) > 0 {
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
	ag.labels, ag.free = labelsOf(r.Get("labels")), resource.Parse(r.Get("free"))
	ag.tokenMs = -1 << 40
	if epoch, ms, ok := strings.Cut(r.Get("token").Str, "."); ok && epoch == strconv.FormatUint(ag.epoch, 10) {
		if v, err := strconv.ParseInt(ms, 10, 64); err == nil && v <= n.now {
			ag.tokenMs = v
		}
	}
	running, ended := map[wire.AttemptKey]bool{}, map[wire.AttemptKey]bool{}
	ag.capacity = ag.free
	for _, e := range r.Get("running").Array() {
		key, ok := wire.ParseAttemptKey(e.Get("id").Str)
		if !ok {
			ag.capacity = ag.capacity.Plus(resource.Parse(e.Get("room")))
			continue // not one of ours, but it takes room
		}
		running[key] = true
		h := ag.attempts[key]
		if h == nil {
			h = ag.adopt(key, e, n.now)
		}
		if h.state != wire.AttemptRunning {
			if h.state == wire.AttemptEnded {
				n.log("attempt_runs_after_end", "attempt", key.String(), "worker", ag.worker)
			}
			h.state, h.ordered = wire.AttemptRunning, true
			h.startedMs = n.now - e.Get("ran_ms").Int()
		}
		ag.capacity = ag.capacity.Plus(h.spec.Resources)
	}
	changed := false
	for _, e := range r.Get("ended").Array() {
		key, ok := wire.ParseAttemptKey(e.Get("id").Str)
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
		if h.state != wire.AttemptEnded {
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
		case h.state == wire.AttemptRunning && (wasListed || h.answeredMs > 0 && ag.tokenMs > h.answeredMs):
			h.state, h.result, changed = wire.AttemptEnded, wire.ResultLost, true
		case h.state == wire.AttemptOrdered && ag.tokenMs > h.orderedMs+flightMs:
			h.state, h.result, changed = wire.AttemptEnded, wire.ResultRejected, true
		case h.state == wire.AttemptEnded && h.acked:
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
func (ag *agent) adopt(key wire.AttemptKey, e gjson.Result, now int64) *attempt {
	var t orderTag
	_ = json.Unmarshal([]byte(e.Get("tag").Str), &t)
	h := &attempt{state: wire.AttemptOrdered, ordered: true, orderedMs: now, startedMs: now - e.Get("ran_ms").Int(), spec: wire.TaskSpec{Key: key, Shard: t.Slice,
		Queue: t.Queue, Name: t.Name, Class: t.Class, Resources: t.Room, LimitMs: t.LimitMs, EstimateMs: t.EstMs, SubmittedMs: t.SubmitMs}}
	if h.spec.Resources == (resource.Amount{}) {
		h.spec.Resources = resource.Parse(e.Get("room"))
	}
	ag.attempts[key] = h
	return h
}

func (ag *agent) forget(key wire.AttemptKey, now int64) {
	delete(ag.attempts, key)
	ag.tombstones[key] = now
}

func (n *node) answerReport(ag *agent, a *request, ended map[wire.AttemptKey]bool) {
	acked := []string{}
	keys := make([]wire.AttemptKey, 0, len(ended))
	for k := range ended {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, wire.CompareAttemptKeys)
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
	h.state, h.ranMs = wire.AttemptEnded, ranMs
	if h.vague {
		h.ranMs = 0 // nothing is learned from it
	}
	switch outcome {
	case "ok":
		h.result = wire.ResultOK
		ag.oks++
		if h.spec.Class == wire.ClassQueueable {
			ag.lastOK = n.now
		}
		if h.spec.EstimateMs > 0 && !h.vague {
			ag.lagPct += (min(100*ranMs/h.spec.EstimateMs, 2000) - ag.lagPct) / 8
		}
	case "failed":
		h.result = wire.ResultFailed
		ag.fails++
	case "overrun":
		h.result = wire.ResultOverrun
		ag.fails++
	case "lapsed":
		h.result = wire.ResultLost
	case "broken", "alone":
		h.result = wire.ResultGangBroken
		n.count("gang_" + outcome)
	case "turned_away":
		h.result = wire.ResultRejected
		n.count("starts_turned_away")
	default:
		h.result = h.stopWhy
		if h.result == 0 {
			h.result = wire.ResultPreempted // stopped on a former agent's order: never the task's own failure
		}
		if h.spec.LimitMs > 0 && ranMs >= h.spec.LimitMs {
			h.result = wire.ResultOverrun // whoever had it stopped first, it ran past its limit
		}
		if h.result == wire.ResultOverrun {
			ag.fails++
		}
	}
}

func (n *node) onPlacement(_ string, m *wire.Placement) {
	ag := n.agents[m.Worker]
	if ag == nil || ag.epoch != m.AgentEpoch || !n.isActiveAgent(ag) && !ag.replaced || m.SliceEpoch < ag.owners[m.Spec.Shard] || n.now-m.EchoMs > contactMs {
		n.count("places_stale")
		return
	}
	ag.owners[m.Spec.Shard] = m.SliceEpoch
	if h := ag.attempts[m.Spec.Key]; h != nil {
		h.confirmedMs = max(h.confirmedMs, m.EchoMs)
		return
	}
	if _, ok := ag.tombstones[m.Spec.Key]; ok {
		return
	}
	h := &attempt{spec: m.Spec, confirmedMs: m.EchoMs, queuedMs: n.now}
	ag.attempts[m.Spec.Key] = h
	firm, queued := resource.Amount{}, 0
	for _, o := range ag.attempts {
		if o.state != wire.AttemptEnded && o.spec.Class == wire.ClassGuaranteed {
			firm = firm.Plus(o.spec.Resources)
		}
		if o.state == wire.AttemptQueued {
			queued++
		}
	}
	if !ag.rebuilt || ag.replaced || !m.Spec.Resources.Fits(ag.capacity) || m.Spec.Class == wire.ClassGuaranteed && !firm.Fits(ag.capacity) || queued > agentQueueMax {
		h.state, h.result = wire.AttemptEnded, wire.ResultRejected
		n.count("places_bounced")
		n.syncAgent(ag)
		return
	}
	n.startPending(ag)
}

func (n *node) onSyncAck(_ string, m *wire.OwnerReply) {
	ag := n.agents[m.Worker]
	if ag == nil || ag.epoch != m.Epoch || m.SliceEpoch < ag.owners[m.Shard] {
		return
	}
	ag.owners[m.Shard] = m.SliceEpoch
	ag.heardOwner(m.Shard, m.SentMs, n.now)
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
		case wire.DecisionKeep:
			h.confirmedMs = max(h.confirmedMs, m.SentMs)
		case wire.DecisionRecall:
			if h.state == wire.AttemptQueued {
				h.state, h.result, recalled = wire.AttemptEnded, wire.ResultShed, true
				n.count("recalls")
			} else {
				h.confirmedMs = max(h.confirmedMs, m.SentMs)
			}
		case wire.DecisionDrop:
			if h.state == wire.AttemptQueued {
				h.state, h.result = wire.AttemptEnded, wire.ResultCancelled
			} else if h.state != wire.AttemptEnded {
				n.stopAttempt(ag, h, wire.ResultCancelled)
			}
		case wire.DecisionAcknowledged, wire.DecisionCounted:
			if h.state == wire.AttemptEnded && !h.acked {
				if h.late && v.Decision != wire.DecisionCounted {
					continue // another run may have taken its place
				}
				h.acked = true
				if !h.ordered || h.result == wire.ResultLost || h.result == wire.ResultRejected {
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

func (n *node) stopAttempt(ag *agent, h *attempt, why wire.AttemptResult) {
	if h.stopMs == 0 {
		h.stopMs, h.stopWhy = n.now, why
		n.log("run_stopped", "attempt", h.spec.Key.String(), "worker", ag.worker, "why", why.String(), "queue", h.spec.Queue, "class", h.spec.Class.String(),
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
	return n.leases.Holds(lease.AgentRole(ag.worker))
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
			h.state, h.result = wire.AttemptEnded, wire.ResultShed
		}
		n.syncAgent(ag)
		return
	}
	avail := ag.free
	for _, h := range ag.attempts {
		if h.state != wire.AttemptOrdered && h.state != wire.AttemptRunning {
			continue
		}
		if h.unknown {
			return // it takes room, nobody has told yet how much
		}
		if ag.colocated || !h.listed {
			avail = avail.Minus(h.spec.Resources)
		}
	}
	for _, h := range queue {
		q := n.config.current.Queues[h.spec.Queue]
		_, lack := configuration.MissingLabel(ag.labels, h.spec.Needs)
		if q == nil || lack || !q.Matches(ag.labels, ag.site) || h.spec.PerWorker > 0 && ag.ofStep(h) >= int(h.spec.PerWorker) {
			h.state, h.result = wire.AttemptEnded, wire.ResultRejected
			n.syncAgent(ag)
			continue
		}
		if n.now-h.confirmedMs > contactMs {
			continue
		}
		if r := n.batchSpec(&h.spec); r != nil && (!h.spec.Resources.Fits(avail) || !n.mayStartBatch(ag, h, r)) {
			continue
		}
		if h.spec.Resources.Fits(avail) {
			avail = avail.Minus(h.spec.Resources)
			n.dispatch(ag, h)
			continue
		}
		if h.spec.Class == wire.ClassGuaranteed {
			n.preempt(ag, h, h.spec.Resources.Minus(avail))
			avail = avail.Minus(h.spec.Resources) // what is free and what gets free is kept for it
			continue
		}
		n.preempt(ag, h, h.spec.Resources.Minus(avail)) // of lesser queues only, batches at once
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
		if ok && k.Job == h.spec.Key.Job && r == round && s == step && (o.state == wire.AttemptOrdered || o.state == wire.AttemptRunning) {
			count++
		}
	}
	return count
}

// waiting gives the unstarted tasks in the order they may start.
func (ag *agent) waiting(n *node) []*attempt {
	var out []*attempt
	for _, key := range ag.keys() {
		if ag.attempts[key].state == wire.AttemptQueued {
			out = append(out, ag.attempts[key])
		}
	}
	urgency := func(h *attempt) int64 { return n.config.current.Urgency(h.spec.Queue) }
	slices.SortStableFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(urgency(b), urgency(a)), cmp.Compare(a.spec.Class, b.spec.Class), cmp.Compare(a.spec.SubmittedMs, b.spec.SubmittedMs))
	})
	return out
}

// preempt stops queueable runs until so much room is on its way: the least
// urgent first, and of those the ones that lose the least work. For a queueable
// task only runs of less urgent queues are stopped.
func (n *node) preempt(ag *agent, wants *attempt, room resource.Amount) {
	urgency := func(h *attempt) int64 { return n.config.current.Urgency(h.spec.Queue) }
	var runs []*attempt
	for _, key := range ag.keys() {
		h := ag.attempts[key]
		if h.spec.Class != wire.ClassQueueable || h.state != wire.AttemptRunning {
			continue
		}
		if h.stopMs != 0 {
			room = room.Minus(h.spec.Resources)
			continue
		}
		if wants.spec.Class == wire.ClassQueueable && n.now-wants.queuedMs <= urgentWaitMs && n.batchSpec(&h.spec) == nil {
			continue
		}
		if urgency(h) < urgency(wants) || wants.spec.Class == wire.ClassGuaranteed && urgency(h) == urgency(wants) {
			runs = append(runs, h)
		}
	}
	lost := func(h *attempt) int64 { return (n.now - h.startedMs) * max(h.spec.Resources.CPU, 1) }
	slices.SortStableFunc(runs, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(urgency(a), urgency(b)), cmp.Compare(lost(a), lost(b)))
	})
	if wants.spec.Class == wire.ClassQueueable {
		all := resource.Amount{}
		for _, h := range runs {
			all = all.Plus(h.spec.Resources)
		}
		if !room.Fits(all) {
			return // it would not be enough
		}
	}
	for _, h := range runs {
		if room.Fits(resource.Amount{}) {
			return
		}
		if room.CPU <= 0 && h.spec.Resources.Memory == 0 && h.spec.Resources.GPU == 0 {
			continue
		}
		room = room.Minus(h.spec.Resources)
		n.count("preemptions")
		n.stopAttempt(ag, h, wire.ResultPreempted)
	}
}

func (n *node) dispatch(ag *agent, h *attempt) {
	h.state, h.ordered, h.orderedMs, h.listed = wire.AttemptOrdered, true, n.now, false
	s := &h.spec
	n.count("orders_" + s.Class.String())
	if ag.colocated {
		h.orderSeq = ag.reportSeq
		ag.outbox = append(ag.outbox, h)
		return
	}
	payload := rawJSON(s.Payload)
	if len(s.Payload) == 0 {
		payload = "null"
	}
	tag := mustJSON(orderTag{s.Shard, s.Queue, s.Name, s.Class, s.Resources, s.LimitMs, s.EstimateMs, s.SubmittedMs})
	n.emit(effOrder{Worker: ag.worker, Addr: ag.addr, Key: s.Key,
		NotAfterMs: min(n.leases.HeldUntilMs(lease.AgentRole(ag.worker)), h.confirmedMs+contactMs, n.config.confirmedMs+configFreshMs, ag.tokenMs+reportMs),
		Body: mustJSON(map[string]any{"id": s.Key.String(), "job": s.Key.Job, "name": s.Name, "queue": s.Queue, "class": s.Class.String(), "room": s.Resources, "limit_ms": s.LimitMs,
			"payload": payload, "tag": string(tag)})})
}

var orderOutcomes = map[string]func(*node, *agent, *attempt){
	"started": func(n *node, _ *agent, h *attempt) {
		if h.state == wire.AttemptOrdered {
			h.state, h.startedMs, h.answeredMs = wire.AttemptRunning, n.now, n.now
		}
	},
	"turned_away": func(n *node, ag *agent, h *attempt) {
		if h.state == wire.AttemptOrdered {
			h.state, h.result, h.ordered = wire.AttemptEnded, wire.ResultRejected, false
			n.syncAgent(ag)
		}
	},
	"not_sent": func(n *node, _ *agent, h *attempt) {
		if h.state == wire.AttemptOrdered {
			h.state, h.ordered = wire.AttemptQueued, false
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
		case wire.AttemptQueued:
			tq += h.spec.EstimateMs
			queued++
		case wire.AttemptOrdered, wire.AttemptRunning:
			tr += max(0, h.spec.EstimateMs-(now-max(h.startedMs, h.orderedMs)))
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
	base := wire.AgentReport{Waiting: waiting, Spare: spare, Worker: ag.worker, Agent: n.Name, Epoch: ag.epoch, SentMs: n.now, Rebuilt: ag.rebuilt, Fresh: n.now-ag.tokenMs <= reportMs,
		SilentMs: n.now - ag.heardMs, Zone: ag.site, Labels: ag.labels, Leaving: ag.leaving, Rack: ag.rack, Free: ag.free, Capacity: ag.capacity,
		Suspect: n.now < ag.suspectMs, Colocated: ag.colocated,
		RankMs: rank, QueuedMs: tq, Queued: queued, Succeeded: ag.oks, Failed: ag.fails, LagPercent: ag.lagPct}
	keys := ag.keys()
	for _, target := range append([]string{""}, n.core.Shards...) {
		role := lease.Central
		if target != "" {
			role = lease.ShardRole(target)
		}
		to, _ := n.leases.Holder(role)
		if to == "" {
			continue
		}
		m := base
		m.Shard = target
		m.Batch = ag.batchHeld(n, target)
		for _, key := range keys {
			h := ag.attempts[key]
			if h.spec.Shard == "" {
				h.spec.Shard = n.shardOf(key.Job)
			}
			if h.state != wire.AttemptEnded && h.spec.Shard != target {
				m.Others = m.Others.Plus(h.spec.Resources)
			}
			if target == "" && h.state == wire.AttemptEnded || target != "" && (h.spec.Shard != target || h.state == wire.AttemptEnded && h.acked) {
				continue
			}
			ran := h.ranMs
			if h.state == wire.AttemptRunning {
				ran = n.now - h.startedMs
			}
			m.Attempts = append(m.Attempts, wire.AttemptStatus{Key: key, Class: h.spec.Class, State: h.state, Result: h.result, Resources: h.spec.Resources, RanMs: ran,
				EstimateMs: h.spec.EstimateMs, Queue: h.spec.Queue, Name: h.spec.Name, Saved: h.spec.Saved, Unknown: h.unknown, Late: h.late})
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
			case h.state == wire.AttemptRunning && h.stopMs != 0:
				n.stopAttempt(ag, h, h.stopWhy)
			case h.state == wire.AttemptRunning && h.spec.LimitMs > 0 && n.now-h.startedMs > h.spec.LimitMs,
				h.state == wire.AttemptOrdered && h.spec.LimitMs > 0 && n.now-h.orderedMs > h.spec.LimitMs+flightMs:
				n.stopAttempt(ag, h, wire.ResultOverrun)
			case h.state == wire.AttemptOrdered && h.stopMs != 0:
				n.stopAttempt(ag, h, h.stopWhy)
			case h.state == wire.AttemptQueued && n.now-ag.heardMs > silentMs:
				h.state, h.result = wire.AttemptEnded, wire.ResultShed // its worker is silent; it never started
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
			n.leases.HandOff(lease.AgentRole(name), "")
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
		if h.spec.Class != wire.ClassQueueable || n.batchSpec(&h.spec) != nil {
			continue
		}
		rank -= h.spec.EstimateMs
		h.state, h.result, some = wire.AttemptEnded, wire.ResultShed, true
		n.count("sheds")
	}
	if some {
		n.syncAgent(ag)
	}
}

// onPromote makes a running queueable task firm, if its room is sure.
func (n *node) onPromote(_ string, m *wire.Promotion) {
	ag := n.agents[m.Worker]
	if ag == nil || ag.epoch != m.Epoch || !n.isActiveAgent(ag) {
		return
	}
	h := ag.attempts[m.Key]
	if h == nil || h.state != wire.AttemptRunning || h.stopMs != 0 || h.spec.Class != wire.ClassQueueable || n.batchSpec(&h.spec) != nil {
		return
	}
	firm := h.spec.Resources
	for _, o := range ag.attempts {
		if o.state != wire.AttemptEnded && o.spec.Class == wire.ClassGuaranteed {
			firm = firm.Plus(o.spec.Resources)
		}
	}
	if firm.Fits(ag.capacity) {
		h.spec.Class = wire.ClassGuaranteed
		n.count("promotions")
	}
}
