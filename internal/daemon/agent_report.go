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

// orderTag is sent with an order and returned in the worker's reports, so that a new agent can rebuild
// its attempts from the worker alone.
type orderTag struct {
	Shard       string          `json:"slice"`
	Queue       string          `json:"queue"`
	Name        string          `json:"name"`
	Class       wire.TaskClass  `json:"class"`
	Resources   resource.Amount `json:"room"`
	LimitMs     int64           `json:"limit_ms"`
	EstimateMs  int64           `json:"est_ms"`
	SubmittedMs int64           `json:"submit_ms"`
}

// reportFields is the schema of a worker's report.
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

// runFields is the schema of one attempt in a worker's report.
var runFields = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"id":      {Kind: schema.String, Required: true, Min: 1, Max: 300},
	"tag":     {Kind: schema.String, Max: 4000},
	"room":    {Kind: schema.Integer, Min: 0},
	"ran_ms":  {Kind: schema.Integer, Min: 0},
	"outcome": {Kind: schema.Name},
}}

// routeReport passes a worker's report to its agent, or forwards it to the agent's daemon. If the worker
// has no agent, the first candidate of the worker's zone acquires the role.
func (n *node) routeReport(req *request) {
	role := lease.AgentRole(req.key)
	if agent := n.agents[req.key]; agent != nil && n.leases.Holds(role) {
		n.applyReport(agent, req)
		return
	}
	if !schema.ValidName(req.key) {
		n.rejectFaults(req, 400, 0, []schema.Fault{{Path: "name", Reason: "must be a name"}})
		return
	}
	if to, _ := n.leases.Holder(role); to != "" {
		n.forward(req, to)
		return
	}
	next := n.leases.Successor(role) // named by the last holder; without one the first candidate is used
	if c := n.leases.Candidates(role, gjson.GetBytes(req.body, "site").Str); !n.peers.Alive(next) && len(c) > 0 {
		next = c[0]
	}
	if next != n.Name && req.hops < forwardsMax {
		n.forward(req, next)
		return
	}
	n.leases.Acquire(role)
	n.respond(req, 503, 200, mustJSON(map[string]any{"error": "the worker has no agent yet"}))
}

// pastIncarnationsMax is the number of former incarnations kept for a worker, whose late reports are
// rejected.
const pastIncarnationsMax = 8

// applyReport updates the agent's attempts from a worker's report, and responds to it.
func (n *node) applyReport(agent *workerAgent, req *request) {
	if faults := schema.Check(req.body, reportFields); len(faults) > 0 {
		n.rejectFaults(req, 400, 0, faults)
		return
	}
	report := gjson.ParseBytes(req.body)
	if !n.recordReport(agent, report) {
		n.respondReport(agent, req, nil)
		return
	}
	running := n.applyReportedRuns(agent, report)
	ended, changed := n.applyReportedEnds(agent, report)
	changed = n.endUnreported(agent, running, ended) || changed
	if !agent.rebuilt && agent.tokenMs > agent.startMs+orderTimeoutMs {
		agent.rebuilt = true
		n.log("agent_rebuilt", "worker", agent.worker, "epoch", agent.epoch, "held", len(agent.attempts))
		changed = true
	}
	n.respondReport(agent, req, ended)
	n.ejectIfUnhealthy(agent)
	if changed {
		n.reportAgent(agent)
	}
	n.startPending(agent)
}

// recordReport records the state of the worker itself. It returns false, and records nothing, for a
// duplicate or late report.
func (n *node) recordReport(agent *workerAgent, report gjson.Result) bool {
	incarnation, seq := report.Get("incarnation").Str, report.Get("seq").Int()
	if incarnation == agent.workerIncarnation && seq <= agent.reportSeq ||
		slices.Contains(agent.pastIncarnations, incarnation) {
		return false
	}
	if agent.workerIncarnation != "" && incarnation != agent.workerIncarnation {
		agent.pastIncarnations = append(agent.pastIncarnations, agent.workerIncarnation)
		agent.pastIncarnations = agent.pastIncarnations[max(0, len(agent.pastIncarnations)-pastIncarnationsMax):]
		n.log("worker_new_incarnation", "worker", agent.worker, "epoch", agent.epoch)
	}
	agent.workerIncarnation, agent.reportSeq, agent.lastContactMs = incarnation, seq, n.now
	agent.addr, agent.zone, agent.leaving = report.Get("address").Str, report.Get("site").Str, report.Get("leaving").Bool()
	agent.labels, agent.free = labelsOf(report.Get("labels")), resource.Parse(report.Get("free"))
	agent.tokenMs = -1 << 40
	if epoch, ms, ok := strings.Cut(report.Get("token").Str, "."); ok && epoch == strconv.FormatUint(agent.epoch, 10) {
		if v, err := strconv.ParseInt(ms, 10, 64); err == nil && v <= n.now {
			agent.tokenMs = v
		}
	}
	return true
}

// applyReportedRuns applies the attempts that a report lists as running, and computes the worker's capacity.
func (n *node) applyReportedRuns(agent *workerAgent, report gjson.Result) map[wire.AttemptKey]bool {
	running := map[wire.AttemptKey]bool{}
	agent.capacity = agent.free
	for _, entry := range report.Get("running").Array() {
		key, ok := wire.ParseAttemptKey(entry.Get("id").Str)
		if !ok {
			agent.capacity = agent.capacity.Plus(resource.Parse(entry.Get("room")))
			continue // started by something else, but it uses resources
		}
		running[key] = true
		attempt := agent.attempts[key]
		if attempt == nil {
			attempt = agent.adopt(key, entry, n.now)
		}
		if attempt.state != wire.AttemptRunning {
			if attempt.state == wire.AttemptEnded {
				n.log("attempt_runs_after_end", "attempt", key.String(), "worker", agent.worker)
			}
			attempt.state, attempt.ordered = wire.AttemptRunning, true
			attempt.startedMs = n.now - entry.Get("ran_ms").Int()
		}
		agent.capacity = agent.capacity.Plus(attempt.spec.Resources)
	}
	return running
}

// applyReportedEnds applies the attempts that a report lists as ended.
func (n *node) applyReportedEnds(
	agent *workerAgent, report gjson.Result,
) (ended map[wire.AttemptKey]bool, changed bool) {
	ended = map[wire.AttemptKey]bool{}
	for _, entry := range report.Get("ended").Array() {
		key, ok := wire.ParseAttemptKey(entry.Get("id").Str)
		if !ok {
			continue
		}
		ended[key] = true
		attempt := agent.attempts[key]
		if attempt == nil {
			if _, ok := agent.tombstones[key]; ok {
				continue
			}
			attempt = agent.adopt(key, entry, n.now)
		}
		attempt.ordered = true
		if attempt.state != wire.AttemptEnded {
			changed = true
			n.endAttempt(agent, attempt, entry.Get("outcome").Str, max(entry.Get("ran_ms").Int(), 1))
		}
	}
	return ended, changed
}

// endUnreported ends attempts that the report would have listed if the worker had them, and forgets
// acknowledged ends that the worker no longer lists.
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

// adopt adds an attempt that only the worker's report lists, with the spec from its order tag.
func (a *workerAgent) adopt(key wire.AttemptKey, entry gjson.Result, now int64) *agentAttempt {
	var tag orderTag
	_ = json.Unmarshal([]byte(entry.Get("tag").Str), &tag)
	attempt := &agentAttempt{
		state:     wire.AttemptOrdered,
		ordered:   true,
		orderedMs: now,
		startedMs: now - entry.Get("ran_ms").Int(),
		spec: wire.TaskSpec{
			Key:         key,
			Shard:       tag.Shard,
			Queue:       tag.Queue,
			Name:        tag.Name,
			Class:       tag.Class,
			Resources:   tag.Resources,
			LimitMs:     tag.LimitMs,
			EstimateMs:  tag.EstimateMs,
			SubmittedMs: tag.SubmittedMs,
		},
	}
	if attempt.spec.Resources == (resource.Amount{}) {
		attempt.spec.Resources = resource.Parse(entry.Get("room"))
	}
	a.attempts[key] = attempt
	return attempt
}

// respondReport answers a worker's report with a new token and the ends that are acknowledged.
func (n *node) respondReport(agent *workerAgent, req *request, ended map[wire.AttemptKey]bool) {
	acked := []string{}
	keys := make([]wire.AttemptKey, 0, len(ended))
	for k := range ended {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, wire.CompareAttemptKeys)
	for _, k := range keys {
		_, tombstoned := agent.tombstones[k]
		if attempt := agent.attempts[k]; tombstoned || attempt != nil && attempt.acked {
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

// endAttempt records the outcome of an attempt as the worker reported it.
func (n *node) endAttempt(agent *workerAgent, attempt *agentAttempt, outcome string, ranMs int64) {
	attempt.state, attempt.ranMs = wire.AttemptEnded, ranMs
	agent.guaranteedEnded = agent.guaranteedEnded || attempt.spec.Class == wire.ClassGuaranteed
	if attempt.unobserved {
		attempt.ranMs = 0 // an unknown run time must not enter the estimates
	}
	switch outcome {
	case "ok":
		attempt.result = wire.ResultOK
		agent.succeeded++
		n.observeOutcome(agent, attempt, false)
		if attempt.spec.Class == wire.ClassQueueable {
			agent.lastSuccessMs = n.now
		}
		if attempt.spec.EstimateMs > 0 && !attempt.unobserved {
			agent.lagPercent += (min(100*ranMs/attempt.spec.EstimateMs, 2000) - agent.lagPercent) / 8
		}
	case "failed":
		attempt.result = wire.ResultFailed
		agent.failed++
		n.observeOutcome(agent, attempt, true)
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
			attempt.result = wire.ResultPreempted // stopped by a former agent: not the task's own failure
		}
		if attempt.spec.LimitMs > 0 && ranMs >= attempt.spec.LimitMs {
			attempt.result = wire.ResultOverrun // past its limit, even if it was stopped for another reason first
		}
		if attempt.result == wire.ResultOverrun {
			agent.failed++
		}
	}
}
