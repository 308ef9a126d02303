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
	"seq":         {Kind: schema.Integer, Required: true, Min: 1},
	"address":     {Kind: schema.String, Required: true, Min: 3, Max: 200},
	"site":        {Kind: schema.Name, Required: true},
	"labels":      {Kind: schema.Labels},
	"free":        {Kind: schema.Integer, Required: true, Min: 0},
	"leaving":     {Kind: schema.Bool},
	"token":       {Kind: schema.String, Max: 100},
	"running":     {Kind: schema.List, Max: 100_000, Elem: &runFields},
	"ended":       {Kind: schema.List, Max: 100_000, Elem: &runFields},
}}

var runFields = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"id":      {Kind: schema.String, Required: true, Min: 1, Max: 300},
	"tag":     {Kind: schema.String, Max: 4000},
	"room":    {Kind: schema.Integer, Min: 0},
	"ran_ms":  {Kind: schema.Integer, Min: 0},
	"outcome": {Kind: schema.Name},
}}

// routeReport brings a worker's report to its agent, and where it has none lets
// the candidate of the worker's zone become it.
func (n *node) routeReport(req *request) {
	name := lease.AgentRole(req.key)
	if agent := n.agents[req.key]; agent != nil && n.leases.Holds(name) {
		n.applyReport(agent, req)
		return
	}
	if !schema.ValidName(req.key) {
		n.rejectFaults(req, 400, 0, []schema.Fault{{Path: "name", Reason: "must be a name"}})
		return
	}
	if to, _ := n.leases.Holder(name); to != "" {
		n.forward(req, to)
		return
	}
	next := n.leases.Successor(name) // named by the last holder, or else the first candidate
	if c := n.leases.Candidates(name, gjson.GetBytes(req.body, "site").Str); !n.peers.Alive(next) && len(c) > 0 {
		next = c[0]
	}
	if next != n.Name && req.hops < forwardsMax {
		n.forward(req, next)
		return
	}
	n.leases.Acquire(name)
	n.respond(req, 503, 200, mustJSON(map[string]any{"error": "the worker has no agent yet"}))
}

// pastIncarnationsMax former incarnations of a worker are remembered: a report of one of
// them is late.
const pastIncarnationsMax = 8

// applyReport brings what is held in line with a worker's report, and answers it.
func (n *node) applyReport(agent *workerAgent, req *request) {
	if f := schema.Check(req.body, reportFields); len(f) > 0 {
		n.rejectFaults(req, 400, 0, f)
		return
	}
	r := gjson.ParseBytes(req.body)
	if !n.recordReport(agent, r) {
		n.respondReport(agent, req, nil)
		return
	}
	running := n.applyReportedRuns(agent, r)
	ended, changed := n.applyReportedEnds(agent, r)
	changed = n.endUnreported(agent, running, ended) || changed
	if !agent.rebuilt && agent.tokenMs > agent.startMs+orderTimeoutMs {
		agent.rebuilt = true
		n.log("agent_rebuilt", "worker", agent.worker, "epoch", agent.epoch, "held", len(agent.attempts))
		changed = true
	}
	n.respondReport(agent, req, ended)
	n.judgeWorker(agent)
	if changed {
		n.reportAgent(agent)
	}
	n.startPending(agent)
}

// recordReport keeps what a report says of the worker itself. It gives false for a
// report that comes again or late, of which nothing is kept.
func (n *node) recordReport(agent *workerAgent, r gjson.Result) bool {
	inc, seq := r.Get("incarnation").Str, r.Get("seq").Int()
	if inc == agent.workerIncarnation && seq <= agent.reportSeq || slices.Contains(agent.pastIncarnations, inc) {
		return false
	}
	if agent.workerIncarnation != "" && inc != agent.workerIncarnation {
		agent.pastIncarnations = append(agent.pastIncarnations, agent.workerIncarnation)
		agent.pastIncarnations = agent.pastIncarnations[max(0, len(agent.pastIncarnations)-pastIncarnationsMax):]
		n.log("worker_new_incarnation", "worker", agent.worker, "epoch", agent.epoch)
	}
	agent.workerIncarnation, agent.reportSeq, agent.lastContactMs = inc, seq, n.now
	agent.addr, agent.zone, agent.leaving = r.Get("address").Str, r.Get("site").Str, r.Get("leaving").Bool()
	agent.labels, agent.free = labelsOf(r.Get("labels")), resource.Parse(r.Get("free"))
	agent.tokenMs = -1 << 40
	if epoch, ms, ok := strings.Cut(r.Get("token").Str, "."); ok && epoch == strconv.FormatUint(agent.epoch, 10) {
		if v, err := strconv.ParseInt(ms, 10, 64); err == nil && v <= n.now {
			agent.tokenMs = v
		}
	}
	return true
}

// applyReportedRuns applies what a report lists as running, and reckons the worker's capacity.
func (n *node) applyReportedRuns(agent *workerAgent, r gjson.Result) map[wire.AttemptKey]bool {
	running := map[wire.AttemptKey]bool{}
	agent.capacity = agent.free
	for _, e := range r.Get("running").Array() {
		key, ok := wire.ParseAttemptKey(e.Get("id").Str)
		if !ok {
			agent.capacity = agent.capacity.Plus(resource.Parse(e.Get("room")))
			continue // not one of ours, but it takes room
		}
		running[key] = true
		attempt := agent.attempts[key]
		if attempt == nil {
			attempt = agent.adopt(key, e, n.now)
		}
		if attempt.state != wire.AttemptRunning {
			if attempt.state == wire.AttemptEnded {
				n.log("attempt_runs_after_end", "attempt", key.String(), "worker", agent.worker)
			}
			attempt.state, attempt.ordered = wire.AttemptRunning, true
			attempt.startedMs = n.now - e.Get("ran_ms").Int()
		}
		agent.capacity = agent.capacity.Plus(attempt.spec.Resources)
	}
	return running
}

// applyReportedEnds applies what a report lists as ended.
func (n *node) applyReportedEnds(agent *workerAgent, r gjson.Result) (ended map[wire.AttemptKey]bool, changed bool) {
	ended = map[wire.AttemptKey]bool{}
	for _, e := range r.Get("ended").Array() {
		key, ok := wire.ParseAttemptKey(e.Get("id").Str)
		if !ok {
			continue
		}
		ended[key] = true
		attempt := agent.attempts[key]
		if attempt == nil {
			if _, ok := agent.tombstones[key]; ok {
				continue
			}
			attempt = agent.adopt(key, e, n.now)
		}
		attempt.ordered = true
		if attempt.state != wire.AttemptEnded {
			changed = true
			n.endAttempt(agent, attempt, e.Get("outcome").Str, max(e.Get("ran_ms").Int(), 1))
		}
	}
	return ended, changed
}

// endUnreported ends what a report doesn't list, where it must list it, and forgets
// what is acknowledged.
func (n *node) endUnreported(agent *workerAgent, running, ended map[wire.AttemptKey]bool) (changed bool) {
	for _, key := range agent.keys() {
		attempt := agent.attempts[key]
		wasListed := attempt.listed
		attempt.listed = running[key]
		switch {
		case running[key] || ended[key]:
		case attempt.state == wire.AttemptRunning &&
			(wasListed || attempt.answeredMs > 0 && agent.tokenMs > attempt.answeredMs):
			attempt.state, attempt.result, changed = wire.AttemptEnded, wire.ResultLost, true
		case attempt.state == wire.AttemptOrdered && agent.tokenMs > attempt.orderedMs+orderTimeoutMs:
			attempt.state, attempt.result, changed = wire.AttemptEnded, wire.ResultRejected, true
		case attempt.state == wire.AttemptEnded && attempt.acked:
			agent.forget(key, n.now)
		}
	}
	return changed
}

// adopt takes a run that only the worker knew of.
func (a *workerAgent) adopt(key wire.AttemptKey, e gjson.Result, now int64) *agentAttempt {
	var t orderTag
	_ = json.Unmarshal([]byte(e.Get("tag").Str), &t)
	attempt := &agentAttempt{
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
	if attempt.spec.Resources == (resource.Amount{}) {
		attempt.spec.Resources = resource.Parse(e.Get("room"))
	}
	a.attempts[key] = attempt
	return attempt
}

func (n *node) respondReport(agent *workerAgent, req *request, ended map[wire.AttemptKey]bool) {
	acked := []string{}
	keys := make([]wire.AttemptKey, 0, len(ended))
	for k := range ended {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, wire.CompareAttemptKeys)
	for _, k := range keys {
		_, buried := agent.tombstones[k]
		if attempt := agent.attempts[k]; buried || attempt != nil && attempt.acked {
			acked = append(acked, k.String())
		}
	}
	n.respond(
		req,
		200,
		0,
		mustJSON(
			map[string]any{"agent": n.Name, "epoch": agent.epoch, "token": fmt.Sprintf("%d.%d", agent.epoch, n.now),
				"acked": acked},
		),
	)
}

// endAttempt takes a worker's word on how a run ended.
func (n *node) endAttempt(agent *workerAgent, attempt *agentAttempt, outcome string, ranMs int64) {
	attempt.state, attempt.ranMs = wire.AttemptEnded, ranMs
	agent.guaranteedEnded = agent.guaranteedEnded || attempt.spec.Class == wire.ClassGuaranteed
	if attempt.unobserved {
		attempt.ranMs = 0 // nothing is learned from it
	}
	switch outcome {
	case "ok":
		attempt.result = wire.ResultOK
		agent.succeeded++
		n.observeEnd(agent, attempt, false)
		if attempt.spec.Class == wire.ClassQueueable {
			agent.lastSuccessMs = n.now
		}
		if attempt.spec.EstimateMs > 0 && !attempt.unobserved {
			agent.lagPercent += (min(100*ranMs/attempt.spec.EstimateMs, 2000) - agent.lagPercent) / 8
		}
	case "failed":
		attempt.result = wire.ResultFailed
		agent.failed++
		n.observeEnd(agent, attempt, true)
	case "overrun":
		attempt.result = wire.ResultOverrun
		agent.failed++
	case "lapsed":
		attempt.result = wire.ResultLost
	case "broken", "alone":
		attempt.result = wire.ResultGangBroken
		n.count("gang_" + outcome)
	case "turned_away":
		attempt.result = wire.ResultRejected
		n.count("starts_rejected")
	default:
		attempt.result = attempt.stopReason
		if attempt.result == 0 {
			attempt.result = wire.ResultPreempted // stopped on a former agent's order: never the task's own failure
		}
		if attempt.spec.LimitMs > 0 && ranMs >= attempt.spec.LimitMs {
			attempt.result = wire.ResultOverrun // whoever had it stopped first, it ran past its limit
		}
		if attempt.result == wire.ResultOverrun {
			agent.failed++
		}
	}
}
