package daemon

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/schema"
	"otterchute/internal/wire"

	"github.com/tidwall/gjson"
)

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

// routeReport brings a worker's report to its agent, and where it has none lets
// the candidate of the worker's zone become it.
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

// pastIncarnationsMax former incarnations of a worker are remembered: a report of one of
// them is late.
const pastIncarnationsMax = 8

// applyReport brings what is held in line with a worker's report, and answers it.
func (n *node) applyReport(ag *workerAgent, a *request) {
	if f := schema.Check(a.body, reportFields); len(f) > 0 {
		n.rejectFaults(a, 400, 0, f)
		return
	}
	r := gjson.ParseBytes(a.body)
	if !n.recordReport(ag, r) {
		n.respondReport(ag, a, nil)
		return
	}
	running := n.applyReportedRuns(ag, r)
	ended, changed := n.applyReportedEnds(ag, r)
	changed = n.endUnreported(ag, running, ended) || changed
	if !ag.rebuilt && ag.tokenMs > ag.startMs+flightMs {
		ag.rebuilt = true
		n.log("agent_rebuilt", "worker", ag.worker, "epoch", ag.epoch, "held", len(ag.attempts))
		changed = true
	}
	n.respondReport(ag, a, ended)
	n.judgeWorker(ag)
	if changed {
		n.reportAgent(ag)
	}
	n.startPending(ag)
}

// recordReport keeps what a report says of the worker itself. It gives false for a
// report that comes again or late, of which nothing is kept.
func (n *node) recordReport(ag *workerAgent, r gjson.Result) bool {
	inc, seq := r.Get("incarnation").Str, r.Get("seq").Int()
	if inc == ag.workerIncarnation && seq <= ag.reportSeq || slices.Contains(ag.pastIncarnations, inc) {
		return false
	}
	if ag.workerIncarnation != "" && inc != ag.workerIncarnation {
		ag.pastIncarnations = append(ag.pastIncarnations, ag.workerIncarnation)
		ag.pastIncarnations = ag.pastIncarnations[max(0, len(ag.pastIncarnations)-pastIncarnationsMax):]
		n.log("worker_new_incarnation", "worker", ag.worker, "epoch", ag.epoch)
	}
	ag.workerIncarnation, ag.reportSeq, ag.heardMs = inc, seq, n.now
	ag.addr, ag.zone, ag.leaving = r.Get("address").Str, r.Get("site").Str, r.Get("leaving").Bool()
	ag.labels, ag.free = labelsOf(r.Get("labels")), resource.Parse(r.Get("free"))
	ag.tokenMs = -1 << 40
	if epoch, ms, ok := strings.Cut(r.Get("token").Str, "."); ok && epoch == strconv.FormatUint(ag.epoch, 10) {
		if v, err := strconv.ParseInt(ms, 10, 64); err == nil && v <= n.now {
			ag.tokenMs = v
		}
	}
	return true
}

// applyReportedRuns applies what a report lists as running, and reckons the worker's capacity.
func (n *node) applyReportedRuns(ag *workerAgent, r gjson.Result) map[wire.AttemptKey]bool {
	running := map[wire.AttemptKey]bool{}
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
	return running
}

// applyReportedEnds applies what a report lists as ended.
func (n *node) applyReportedEnds(ag *workerAgent, r gjson.Result) (ended map[wire.AttemptKey]bool, changed bool) {
	ended = map[wire.AttemptKey]bool{}
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
	return ended, changed
}

// endUnreported ends what a report doesn't list, where it must list it, and forgets
// what is acknowledged.
func (n *node) endUnreported(ag *workerAgent, running, ended map[wire.AttemptKey]bool) (changed bool) {
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
	return changed
}

// adopt takes a run that only the worker knew of.
func (ag *workerAgent) adopt(key wire.AttemptKey, e gjson.Result, now int64) *agentAttempt {
	var t orderTag
	_ = json.Unmarshal([]byte(e.Get("tag").Str), &t)
	h := &agentAttempt{
		state:     wire.AttemptOrdered,
		ordered:   true,
		orderedMs: now,
		startedMs: now - e.Get("ran_ms").Int(),
		spec: wire.TaskSpec{
			Key:         key,
			Shard:       t.Slice,
			Queue:       t.Queue,
			Name:        t.Name,
			Class:       t.Class,
			Resources:   t.Room,
			LimitMs:     t.LimitMs,
			EstimateMs:  t.EstMs,
			SubmittedMs: t.SubmitMs,
		},
	}
	if h.spec.Resources == (resource.Amount{}) {
		h.spec.Resources = resource.Parse(e.Get("room"))
	}
	ag.attempts[key] = h
	return h
}

func (n *node) respondReport(ag *workerAgent, a *request, ended map[wire.AttemptKey]bool) {
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
	n.respond(
		a,
		200,
		0,
		mustJSON(
			map[string]any{"agent": n.Name, "epoch": ag.epoch, "token": fmt.Sprintf("%d.%d", ag.epoch, n.now), "acked": acked},
		),
	)
}

// endAttempt takes a worker's word on how a run ended.
func (n *node) endAttempt(ag *workerAgent, h *agentAttempt, outcome string, ranMs int64) {
	h.state, h.ranMs = wire.AttemptEnded, ranMs
	ag.guaranteedEnded = ag.guaranteedEnded || h.spec.Class == wire.ClassGuaranteed
	if h.unobserved {
		h.ranMs = 0 // nothing is learned from it
	}
	switch outcome {
	case "ok":
		h.result = wire.ResultOK
		ag.succeeded++
		n.observeEnd(ag, h, false)
		if h.spec.Class == wire.ClassQueueable {
			ag.lastOK = n.now
		}
		if h.spec.EstimateMs > 0 && !h.unobserved {
			ag.lagPct += (min(100*ranMs/h.spec.EstimateMs, 2000) - ag.lagPct) / 8
		}
	case "failed":
		h.result = wire.ResultFailed
		ag.failed++
		n.observeEnd(ag, h, true)
	case "overrun":
		h.result = wire.ResultOverrun
		ag.failed++
	case "lapsed":
		h.result = wire.ResultLost
	case "broken", "alone":
		h.result = wire.ResultGangBroken
		n.count("gang_" + outcome)
	case "turned_away":
		h.result = wire.ResultRejected
		n.count("starts_rejected")
	default:
		h.result = h.stopReason
		if h.result == 0 {
			h.result = wire.ResultPreempted // stopped on a former agent's order: never the task's own failure
		}
		if h.spec.LimitMs > 0 && ranMs >= h.spec.LimitMs {
			h.result = wire.ResultOverrun // whoever had it stopped first, it ran past its limit
		}
		if h.result == wire.ResultOverrun {
			ag.failed++
		}
	}
}
