package daemon

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/rendezvous"
	"otterchute/internal/scheduler"
	"otterchute/internal/schema"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

const (
	configForwardTimeoutMs = 2400 // the same for a change of the configuration, which a core member tries for changeTimeoutMs
	forwardMs              = 1200 // a request forwarded without an answer is given up on
	quorumReadTimeoutMs    = 500  // a state read from the core that takes longer is given up on
	forwardsMax            = 2    // a request is forwarded at most this often
	requestsMax            = 4000 // requests in flight through one daemon before it rejects
	requestsPerRetry       = 5    // every so many requests allow one to be forwarded again: a crowd costs a fifth more at most
	retriesPerTick         = 1    // and so many a tick, that few requests need not wait
	readsPerTick           = 10   // states read from the core a tick: 100 a second for each daemon
	retryBudgetMax         = 100  // what either budget saves up for a burst
)

// request is one thing a caller, worker or operator wants, at the daemon that got
// it or forwarded to the one that can answer it.
type request struct {
	id             uint64
	origin         string // "" when it came by HTTP here
	originInstance uint64 // of the origin's process: no later one is answered
	hops           int32
	op             string
	key            string
	body           []byte
	receivedMs     int64
	// pollsBefore were sent here before it came: only a later one confirms a configuration for it.
	pollsBefore  uint64
	config       *configuration.Configuration // of the body, where it is known to be sound
	host         string                       // with path, the address a caller used
	path         string
	base         int64  // the version a configuration builds on; -1 for one less than its own
	digest       []byte // SHA-256 of an operator's order as it was sent, where that isn't the configuration itself
	queue        string // the queue that the address belongs to
	maybeApplied bool   // it may have been done: handed over and not answered, or under way here
	byAddress    bool   // it came with an address: an unknown job is told apart from an unknown queue
	credential   string // the key that the caller showed here
	tenant       string // whose key that is; "" where none is needed
}

type forwardedRequest struct {
	request    *request
	to         string
	deadlineMs int64
}

var requestHandlers map[string]func(*node, *request)

func init() {
	requestHandlers = map[string]func(*node, *request){
		"job.put":       (*node).routeJob,
		"job.get":       (*node).routeJob,
		"job.cancel":    (*node).routeJob,
		"job.explain":   (*node).routeJob,
		"worker.report": (*node).routeReport,
		"worker.beat":   (*node).handleHeartbeat,
		"worker.gone":   (*node).handleWorkerGone,
		"worker.lost":   (*node).routeWorkerLost,
		"tenants":       (*node).routeTenants,
		"queue.submit":  (*node).resolveAddress,
		"queue.state":   (*node).resolveAddress,
		"queue.cancel":  (*node).resolveAddress,
		"job.state":     (*node).routeJob,
		"setup.put":     (*node).handlePutConfig,
		"setup.taken":   (*node).handleFindChange,
		"setup.get":     (*node).handleGetConfig,
		"setup.where":   (*node).handleLocateConfig,
		"site.empty":    (*node).handleSetZone,
		"site.open":     (*node).handleSetZone,
		"ready":         (*node).handleGetReady,
		"members":       (*node).handleGetMembers,
		"workers":       (*node).handleGetWorkers,
		"soundness":     (*node).handleGetHealth,
	}
}

// operatorRequests are the calls of operators, who turn to another daemon after a second.
var operatorRequests = map[string]bool{"setup.put": true, "setup.taken": true, "site.empty": true, "site.open": true}

// retryBudget bounds what this daemon does beyond the first attempt, for all requests
// together: under a crowd that sends again and again the fleet's own work must
// not grow with what it gives up on.
type retryBudget struct{ tokens int64 }

func (b *retryBudget) add(v int64) { b.tokens = min(b.tokens+v, retryBudgetMax*requestsPerRetry) }

// take takes one try, if one is left.
func (b *retryBudget) take() bool {
	if b.tokens < requestsPerRetry {
		return false
	}
	b.tokens -= requestsPerRetry
	return true
}

func (n *node) onRequest(e evRequest) {
	if len(n.forwarded) >= requestsMax {
		n.count("requests_rejected")
		n.emit(
			effReply{
				ID:      e.ID,
				Status:  429,
				RetryMs: 1000,
				Body:    mustJSON(map[string]any{"error": "too many asks in flight here"}),
			},
		)
		return
	}
	n.count("requests_in")
	n.retries.add(1)
	n.handleRequest(
		&request{
			receivedMs:  n.now,
			pollsBefore: n.leases.LatestRound(),
			id:          e.ID,
			op:          e.Op,
			key:         e.Key,
			body:        e.Body,
			config:      e.Precompiled,
			host:        e.Host,
			path:        e.Path,
			base:        e.Base,
			digest:      e.Digest,
			credential:  e.Credential,
		},
	)
}

func (n *node) onForwarded(from string, m *wire.Forward) {
	body, ok := m.Body, true
	if operatorRequests[m.Op] {
		if body, ok = configuration.Inflate(m.Body); !ok {
			return
		}
	}
	n.handleRequest(
		&request{
			receivedMs:     n.now,
			pollsBefore:    n.leases.LatestRound(),
			id:             m.ID,
			origin:         from,
			originInstance: n.sender.instance,
			hops:           m.Hops,
			op:             m.Op,
			key:            m.Key,
			body:           body,
			queue:          m.Queue,
			base:           m.ExpectedVersion,
			digest:         m.Digest,
			tenant:         m.Tenant,
		},
	)
}

func (n *node) handleRequest(req *request) {
	handle, ok := requestHandlers[req.op]
	if !ok {
		n.respond(req, 404, 0, mustJSON(map[string]any{"error": "no such ask"}))
		return
	}
	handle(n, req)
}

func (n *node) respond(req *request, status int, retryMs int64, body []byte) {
	if status >= 400 {
		n.count("requests_rejected")
	}
	if req.outcomeUnknown(status) {
		status, body = 504, mustJSON(map[string]any{"error": "outcome unknown: send the same call again"})
	}
	if req.byAddress && req.origin == "" && status == 404 && req.queue != "" {
		status, body = 410, mustJSON(map[string]any{"missing": "job", "error": "no such job"})
	}
	forwardReply := wire.ForwardReply{ID: req.id, Status: int32(status), RetryAfterMs: retryMs, Body: body}
	if req.origin == "" {
		n.reply(req.id, forwardReply)
		return
	}
	n.respondTo(peerInstance{req.origin, req.originInstance}, &forwardReply)
}

// outcomeUnknown tells that a refusal can't be passed on as it is: an earlier try
// of this call may have been done all the same. "Not taken" is only said when
// it is surely so. That another job has the id stands, whoever says so.
func (r *request) outcomeUnknown(status int) bool {
	if r.queue == "" || !r.maybeApplied {
		return false
	}
	switch r.op {
	case "job.put":
		return status == 503 || status == 429 || status == 404 || status == 400
	case "job.cancel":
		return status == 503 || status == 429
	}
	return false
}

func (n *node) reject(req *request, reason string) {
	n.respond(req, 503, 1000, mustJSON(map[string]any{"error": reason}))
}

func (n *node) rejectFaults(req *request, status int, retryMs int64, faults []schema.Fault) {
	n.respond(req, status, retryMs, faultsJSON(faults))
}

func faultsJSON(faults []schema.Fault) []byte {
	return mustJSON(map[string]any{"error": faults[0].Path + " " + faults[0].Reason, "faults": faults})
}

// forward passes a request on, once per daemon and at most forwardsMax times; an
// answer that does not come is given up on long before the caller's limit.
func (n *node) forward(req *request, to string) {
	if req.hops >= forwardsMax || to == n.Name || to == "" || !n.peers.Alive(to) {
		n.readFromCore(req, "nobody surely settles this now")
		return
	}
	if req.hops > 0 && req.op != "worker.report" { // a second time; reports are few and feed everything
		if !n.Policies.On(scheduler.ForwardRetry) || !n.retries.take() {
			n.reject(req, "nobody surely settles this now")
			return
		}
		n.count("requests_retried")
	}
	n.forwardSeq++
	deadlineMs, body := n.now+forwardMs, req.body
	if operatorRequests[req.op] {
		deadlineMs, body = n.now+configForwardTimeoutMs, configuration.Deflate(req.body)
	}
	n.forwarded[n.forwardSeq] = &forwardedRequest{request: req, to: to, deadlineMs: deadlineMs}
	n.count("requests_forwarded")
	n.send(
		to,
		&wire.Forward{
			ID:              n.forwardSeq,
			Origin:          n.Name,
			Hops:            req.hops + 1,
			WaitMs:          forwardMs,
			Op:              req.op,
			Key:             req.key,
			Body:            body,
			Queue:           req.queue,
			ExpectedVersion: req.base,
			Digest:          req.digest,
			Tenant:          req.tenant,
		},
	)
}

func (n *node) onForwardReply(from string, m *wire.ForwardReply) {
	pending := n.forwarded[m.ID]
	if pending == nil || pending.to != from { // given up on, or handed to another since
		n.count("late_responses")
		return
	}
	delete(n.forwarded, m.ID)
	n.respond(pending.request, int(m.Status), m.RetryAfterMs, m.Body)
}

// retryForwarded routes anew what waits for a daemon that has lost its role.
func (n *node) retryForwarded(to string) {
	for _, id := range sortedKeys(n.forwarded) {
		if pending := n.forwarded[id]; pending.to == to && to != "" && n.Policies.On(scheduler.ForwardRetry) && n.retries.take() {
			delete(n.forwarded, id)
			pending.request.maybeApplied = true
			n.count("requests_retried")
			n.handleRequest(pending.request)
		}
	}
}

func (n *node) tickRequests() {
	n.retries.add(retriesPerTick * requestsPerRetry)
	n.coreReads.add(readsPerTick * requestsPerRetry)
	for _, id := range sortedKeys(n.forwarded) {
		if pending := n.forwarded[id]; n.forwardTimedOut(pending) {
			delete(n.forwarded, id)
			pending.request.maybeApplied = true
			n.readFromCore(pending.request, "the daemon that settles this did not answer")
		}
	}
	for _, id := range sortedKeys(n.quorumReads) {
		if read := n.quorumReads[id]; n.now >= read.deadlineMs || n.leases.CutOff() {
			delete(n.quorumReads, id)
			n.reject(read.request, "neither the owner nor the core answered")
		}
	}
}

// readFromCore is for requests that no owner answers now: a job's state can still be
// had from the core, anything else is rejected.
func (n *node) readFromCore(req *request, reason string) {
	if req.op != "job.get" && req.op != "job.state" || len(n.core.Members) == 0 || n.leases.CutOff() ||
		!n.coreReads.take() {
		n.reject(req, reason)
		return
	}
	n.opSeq++
	n.quorumReads[n.opSeq] = &quorumRead{request: req, responses: map[string]statestore.Record{},
		deadlineMs: n.now + quorumReadTimeoutMs}
	for _, m := range n.core.Members {
		n.send(
			m.Name,
			&wire.FetchRequest{SetVersion: n.core.Version, Op: n.opSeq, Shard: n.shardOf(req.key), IDs: []string{req.key}},
		)
	}
}

// quorumRead is a job's state on its way from the core, while no owner tells it.
type quorumRead struct {
	request    *request
	responses  map[string]statestore.Record
	deadlineMs int64
}

// onQuorumRead answers with a state that a majority holds. Where two members differ, the
// later one may yet be lost and the earlier one be long past, at a member that
// was away: only the others' word tells, for an end that was told already mustn't
// be taken back. Absence it does not tell: only an owner can say that a job is
// unknown.
func (n *node) onQuorumRead(read *quorumRead, op uint64, from string, records []statestore.Record) {
	var record statestore.Record
	if len(records) == 1 {
		record = records[0]
	}
	read.responses[from] = record
	majority := n.core.Majority()
	if len(read.responses) < majority {
		return
	}
	newestFirst := make([]statestore.Record, 0, len(read.responses))
	for _, record := range read.responses {
		newestFirst = append(newestFirst, record)
	}
	slices.SortFunc(newestFirst, func(a, b statestore.Record) int {
		return cmp.Or(cmp.Compare(b.Epoch, a.Epoch), cmp.Compare(b.Version, a.Version))
	})
	agreed := majority - 1
	for agreed < len(newestFirst) && !bytes.Equal(newestFirst[agreed-majority+1].Value, newestFirst[agreed].Value) {
		agreed++
	}
	if agreed == len(newestFirst) { // no majority agrees
		if !n.answeredByFullSet(read) {
			return
		}
		agreed = majority - 1
	}
	if j, ok := decodeJob(newestFirst[agreed]); ok {
		delete(n.quorumReads, op)
		n.count("states_from_core")
		if n.respondIfHidden(read.request, j) {
			return
		}
		if read.request.op == "job.state" {
			n.respond(
				read.request,
				200,
				0,
				mustJSON(map[string]any{"state": (&liveJob{jobRecord: *j, runtime: make([]taskRuntime, len(j.Tasks))}).state()}),
			)
			return
		}
		n.respond(read.request, 200, 0, mustJSON(j.describe(func(t *task) string {
			if t.State == taskPending || t.State == taskPlaced {
				return "its slice is being taken over"
			}
			return ""
		})))
	} else if len(read.responses) == len(n.core.Members) {
		delete(n.quorumReads, op)
		n.reject(read.request, "no owner settles this now, and a majority of the core does not know it")
	}
}

// answeredByFullSet tells whether all of a full set have answered a read. In a set that is
// larger or smaller, what a majority of the one before it held may be at fewer.
func (n *node) answeredByFullSet(read *quorumRead) bool {
	return len(read.responses) == len(n.core.Members) && len(read.responses) == n.members.Size()
}

// shardOf decides which shard owns a job: callers never name one.
func (n *node) shardOf(id string) string {
	if len(n.core.Shards) == 0 {
		return ""
	}
	return rendezvous.Order(id, n.core.Shards)[0]
}

func (n *node) routeJob(req *request) {
	name := n.shardOf(req.key)
	if name == "" {
		n.reject(req, "no cluster yet")
		return
	}
	n.routeToShard(req, name)
}

func (n *node) routeToShard(req *request, name string) {
	if shard := n.shards[name]; shard != nil && n.leases.Holds(lease.ShardRole(name)) {
		if !shard.serving {
			n.readFromCore(req, "the slice is being taken over")
			return
		}
		handle := jobOps[req.op]
		if handle == nil {
			n.respond(req, 404, 0, mustJSON(map[string]any{"error": "no such ask"}))
			return
		}
		handle(n, shard, req)
		return
	}
	to, _ := n.leases.Holder(lease.ShardRole(name))
	n.forward(req, to)
}

func (n *node) routeWorkerLost(req *request) {
	shard, _, ok := strings.Cut(req.key, "/")
	if !ok {
		n.respond(req, 404, 0, mustJSON(map[string]any{"error": "no such slice"}))
		return
	}
	n.routeToShard(req, shard)
}

type rawJSON string

func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

// forwardTimedOut tells whether to stop waiting for the daemon that a call was handed
// to: at the call's limit, where this daemon is cut off, and for an operator's
// order where the core member that has it answers no polls.
func (n *node) forwardTimedOut(forwarded *forwardedRequest) bool {
	return n.now >= forwarded.deadlineMs || n.leases.CutOff() ||
		operatorRequests[forwarded.request.op] && n.now-n.leases.LastResponseMs(forwarded.to) > lease.HeldMs
}
