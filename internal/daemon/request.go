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
	configForwardTimeoutMs = 2400 // for a change of the configuration, which a core member tries for changeTimeoutMs
	forwardTimeoutMs       = 1200 // timeout of other forwarded requests
	quorumReadTimeoutMs    = 500  // timeout of reading a job's state from the core
	forwardsMax            = 2    // maximum number of times that a request is forwarded
	requestsMax            = 4000 // requests in flight through one daemon; more are rejected
	requestsPerRetry       = 5    // requests that add one retry to the budget: retries add at most 20% to the load
	retriesPerTick         = 1    // retries added to the budget per tick, so that low traffic allows retries too
	readsPerTick           = 10   // reads from the core added per tick: 100 per second and daemon
	retryBudgetMax         = 100  // retries or reads that a budget saves up for a burst
)

// request is a request of a client, worker or operator. It is handled by the daemon that
// received it or forwarded to the one that can answer it.
type request struct {
	id             uint64
	origin         string // the daemon that forwarded it; "" if it was received here
	originInstance uint64 // the process of the origin; a later process gets no response
	hops           int32
	op             string
	key            string
	body           []byte
	receivedMs     int64
	// pollsBefore is the latest poll sent before the request arrived. Only a later poll
	// confirms a configuration for it.
	pollsBefore  uint64
	config       *configuration.Configuration // the configuration in the body, if it was parsed and is valid
	host         string                       // with path, the address of the queue that the client used
	path         string
	base         int64  // the version that a configuration builds on; -1 for one less than its own
	digest       []byte // SHA-256 of an operator's change as it was sent, if that isn't the configuration itself
	queue        string // the key of the address that the client used, see configuration.Address.Key
	maybeApplied bool   // it may have taken effect: forwarded without a reply, or in progress here
	byAddress    bool   // it names a queue by address: an unknown job is distinguished from an unknown queue
	credential   string // the API key in the call
	connection   uint64 // see evRequest
	tenant       string // the tenant of that key; "" if no key is needed
}

// forwardedRequest is a request that waits for the reply of the daemon it was forwarded to.
type forwardedRequest struct {
	request    *request
	to         string
	deadlineMs int64
}

// requestHandlers has the handler of each operation. It is filled in init, since the
// handlers refer to it.
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

// operatorRequests are the operations of operators. Their client tries another daemon after
// a second.
var operatorRequests = map[string]bool{"setup.put": true, "setup.taken": true, "site.empty": true, "site.open": true}

// retryBudget limits the additional work beyond the first attempt, for all requests
// together. If many clients retry, the load between daemons must not grow with the number
// of requests that time out.
type retryBudget struct{ tokens int64 }

func (b *retryBudget) add(v int64) { b.tokens = min(b.tokens+v, retryBudgetMax*requestsPerRetry) }

// take uses up one retry and reports whether one was left.
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
			connection:  e.Connection,
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
			base:           m.BaseVersion,
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

// respond answers a request, here or at the daemon that forwarded it. It turns a rejection
// into an unknown outcome if the request may have taken effect.
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

// outcomeUnknown reports whether a rejection must not be passed on, because an earlier
// attempt of the request may have taken effect. A response may state that a job was not
// accepted only if that is certain. A conflict with another job of the same ID is certain,
// so its status is passed on.
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

// reject answers that the request can't be handled now and may be retried after a second.
func (n *node) reject(req *request, reason string) {
	n.respond(req, 503, 1000, mustJSON(map[string]any{"error": reason}))
}

func (n *node) rejectFaults(req *request, status int, retryMs int64, faults []schema.Fault) {
	n.respond(req, status, retryMs, faultsJSON(faults))
}

func faultsJSON(faults []schema.Fault) []byte {
	return mustJSON(map[string]any{"error": faults[0].Path + " " + faults[0].Reason, "faults": faults})
}

// forward forwards a request, which may be forwarded at most forwardsMax times in total. The
// timeout is far shorter than that of the client.
func (n *node) forward(req *request, to string) {
	if req.hops >= forwardsMax || to == n.Name || to == "" || !n.peers.Alive(to) {
		n.readFromCore(req, "nobody surely settles this now")
		return
	}
	// A request that was forwarded before needs a retry of the budget, except for workers'
	// reports, which are few and which everything else depends on.
	if req.hops > 0 && req.op != "worker.report" {
		if !n.Policies.On(scheduler.ForwardRetry) || !n.retries.take() {
			n.reject(req, "nobody surely settles this now")
			return
		}
		n.count("requests_retried")
	}
	n.forwardSeq++
	deadlineMs, body := n.now+forwardTimeoutMs, req.body
	if operatorRequests[req.op] {
		deadlineMs, body = n.now+configForwardTimeoutMs, configuration.Deflate(req.body)
	}
	n.forwarded[n.forwardSeq] = &forwardedRequest{request: req, to: to, deadlineMs: deadlineMs}
	n.count("requests_forwarded")
	n.send(
		to,
		&wire.Forward{
			ID:          n.forwardSeq,
			Origin:      n.Name,
			Hops:        req.hops + 1,
			WaitMs:      forwardTimeoutMs,
			Op:          req.op,
			Key:         req.key,
			Body:        body,
			Queue:       req.queue,
			BaseVersion: req.base,
			Digest:      req.digest,
			Tenant:      req.tenant,
		},
	)
}

func (n *node) onForwardReply(from string, m *wire.ForwardReply) {
	pending := n.forwarded[m.ID]
	if pending == nil || pending.to != from { // timed out, or forwarded to another daemon since
		n.count("late_responses")
		return
	}
	delete(n.forwarded, m.ID)
	n.respond(pending.request, int(m.Status), m.RetryAfterMs, m.Body)
}

// retryForwarded routes the requests again that were forwarded to a daemon that has since lost a role.
func (n *node) retryForwarded(to string) {
	for _, id := range sortedKeys(n.forwarded) {
		if pending := n.forwarded[id]; pending.to == to && to != "" &&
			n.Policies.On(scheduler.ForwardRetry) && n.retries.take() {
			delete(n.forwarded, id)
			pending.request.maybeApplied = true
			n.count("requests_retried")
			n.handleRequest(pending.request)
		}
	}
}

// tickRequests refills the retry budgets and handles requests that have timed out.
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

// readFromCore handles a request that no owner can answer now. It reads a job's state from
// the core members and rejects any other request.
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

// quorumRead is a read of a job's state from the core, while no owner can answer.
type quorumRead struct {
	request    *request
	responses  map[string]statestore.Record
	deadlineMs int64
}

// onQuorumRead answers with the newest state that a majority holds. If two members differ,
// the newer state may still be lost, and the older one may be outdated because its member
// was away, so the responses of further members decide. Otherwise the end of a job could be
// reported and later revoked. A job without a record is never reported as unknown: only an
// owner can decide that.
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
	if job, ok := decodeJob(newestFirst[agreed]); ok {
		delete(n.quorumReads, op)
		n.count("states_from_core")
		if n.respondIfHidden(read.request, job) {
			return
		}
		if read.request.op == "job.state" {
			n.respond(
				read.request,
				200,
				0,
				mustJSON(map[string]any{
					"state": (&liveJob{jobRecord: *job, runtime: make([]taskRuntime, len(job.Tasks))}).state(),
				}),
			)
			return
		}
		n.respond(read.request, 200, 0, mustJSON(n.describeJob(job, func(t *task) string {
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

// answeredByFullSet reports whether the core set has its full size and all members have
// answered a read. In a set that is larger or smaller, a state held by a majority of the
// previous set may be held by less than a majority.
func (n *node) answeredByFullSet(read *quorumRead) bool {
	return len(read.responses) == len(n.core.Members) && len(read.responses) == n.members.Size()
}

// shardOf returns the shard that a job belongs to, by rendezvous hashing of its ID.
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

// routeToShard handles a request for a shard that is owned here, and forwards others to
// the owner.
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

// rawJSON is a string that is already JSON.
type rawJSON string

func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

// forwardTimedOut reports whether to stop waiting for the reply to a forwarded request: at
// its deadline, if this daemon has lost contact with the core, and for an operator's change
// also if the core member that it was forwarded to answers no polls.
func (n *node) forwardTimedOut(forwarded *forwardedRequest) bool {
	return n.now >= forwarded.deadlineMs || n.leases.CutOff() ||
		operatorRequests[forwarded.request.op] && n.now-n.leases.LastResponseMs(forwarded.to) > lease.HeldMs
}
