package daemon

import (
	"bytes"
	"strings"

	"otterchute/internal/schema"
	"otterchute/internal/wire"
)

// respondFinished responds to a request for a job that has ended, from its record.
func (n *node) respondFinished(req *request, record *jobRecord) {
	switch {
	case req.op == "job.put":
		parsed, faults := parseJob(record.ID, req.queue, req.body)
		if len(faults) > 0 {
			n.rejectFaults(req, 400, 0, faults)
		} else if !bytes.Equal(parsed.Digest, record.Digest) {
			n.respond(req, 409, 0, mustJSON(map[string]any{"error": "another job has this id"}))
		} else if !n.respondIfHidden(req, record) {
			n.respond(req, 200, 0, mustJSON(map[string]any{"id": record.ID, "state": record.State.String()}))
		}
	case n.respondIfHidden(req, record):
	case req.op == "job.state":
		n.respond(req, 200, 0, mustJSON(map[string]any{"state": record.State.String()}))
	case req.op == "job.cancel" && record.State != jobCancelled:
		n.respond(req, 409, 0, mustJSON(map[string]any{"error": "the job has ended", "state": record.State.String()}))
	default:
		n.respond(req, 200, 0, mustJSON(n.describeJob(record, func(*task) string { return "" })))
	}
}

// respondMissing responds that no job has the requested ID.
func (n *node) respondMissing(req *request) {
	n.respond(req, 404, 0, mustJSON(map[string]any{"error": "no such job", "missing": "job"}))
}

// handleSubmit handles the submission of a job. Repeated submissions of the same job are idempotent: they get its
// state. An ID that isn't in memory is first looked up in the core, since its job may have ended long ago.
func (n *node) handleSubmit(shard *ownedShard, req *request) {
	if job := shard.jobs[req.key]; job != nil {
		parsed, faults := parseJob(req.key, req.queue, req.body)
		if len(faults) > 0 {
			n.rejectFaults(req, 400, 0, faults)
		} else if !bytes.Equal(parsed.Digest, job.Digest) {
			n.respond(req, 409, 0, mustJSON(map[string]any{"error": "another job has this id"}))
		} else if !n.respondIfHidden(req, &job.jobRecord) {
			n.whenCommitted(job, waiter{version: 1, request: req, status: 200})
		}
		return
	}
	if record := shard.finished[req.key]; record != nil {
		n.respondFinished(req, record)
		return
	}
	if fetch := shard.admitting[req.key]; fetch != nil {
		if len(fetch.requests) > 16 {
			req.maybeApplied = true // an earlier request may get the job admitted
			n.reject(req, "too many of the same ask")
			return
		}
		fetch.requests = append(fetch.requests, req)
		return
	}
	record, faults := parseJob(req.key, req.queue, req.body)
	if len(faults) > 0 {
		n.rejectFaults(req, 400, 0, faults)
		return
	}
	if !n.configFresh() {
		n.reject(req, "the setup is not confirmed here")
		return
	}
	if config := n.config.current; config.DeclaredQueue(record.Queue) == nil ||
		req.tenant != "" && config.Tenants[req.tenant] == nil {
		if !n.configConfirmedSince(req) && len(n.config.awaiting) < requestsMax {
			// A newer configuration, acknowledged just now, may declare the queue, or the tenant and its limit:
			// poll the core before rejecting the job.
			n.config.awaiting = append(n.config.awaiting, req)
			n.leases.PollSoon()
			return
		}
		if req.queue != "" { // another daemon resolved its address with an older configuration, and will have this one soon
			n.reject(req, "the queue or the tenant is not in the newest setup")
			return
		}
		n.rejectFaults(req, 400, 0, []schema.Fault{{Path: "queue", Reason: "is not in the setup"}})
		return
	}
	record.Tenant = req.tenant
	fetch := &fetchOp{id: req.key, job: record, requests: []*request{req}}
	shard.admitting[req.key] = fetch
	n.fetchRecord(shard, fetch)
}

// admitJob applies the admission rules to a new job, adds it to the shard and has its record written. The response
// follows once the record is committed.
func (n *node) admitJob(shard *ownedShard, fetch *fetchOp) {
	record, req := fetch.job, fetch.requests[0]
	queue := n.config.current.DeclaredQueue(record.Queue)
	clusterTimeMs := n.clusterTime()
	if queue == nil || clusterTimeMs == 0 || !n.configFresh() {
		n.rejectAdmission(shard, fetch, func(req *request) {
			n.reject(req, "the setup or the core's time is not confirmed here")
		})
		return
	}
	size := len(record.encode())
	candidate := &admission{
		job:           record,
		queue:         queue,
		queueLive:     n.liveInQueue(shard, record.Queue),
		shardLive:     len(shard.jobs),
		bytes:         shard.recordBytes + size,
		lowestUrgency: queue.Urgency <= n.config.current.LowestUrgency && len(n.config.current.Queues) > 1,
		batch:         queue.Batch != nil,
		excess:        n.isExcess(shard, req.tenant),
	}
	rejected := admit(candidate)
	if rejected == nil && candidate.excess {
		rejected = n.rejectExcess(shard, req.tenant)
	}
	shard.countAdmission(req.tenant, rejected == nil && candidate.excess, rejected != nil && rejected.status == 429)
	if rejected != nil {
		n.count("jobs_rejected")
		n.rejectAdmission(shard, fetch, func(req *request) {
			n.rejectFaults(req, int(rejected.status), rejected.retryAfterMs, rejected.faults)
		})
		return
	}
	record.SubmitMs = clusterTimeMs
	if record.DelayMs > 0 {
		record.DueMs = n.latestClusterTime() + record.DelayMs
	}
	job := &liveJob{
		jobRecord: *record, runtime: make([]taskRuntime, len(record.Tasks)), recordBytes: size, enteredMs: n.now,
		excess: candidate.excess,
	}
	n.traceAdmitted(shard, job, fetch.startMs)
	shard.jobs[record.ID] = job
	shard.recordBytes += size
	shard.liveByQueue[record.Queue]++
	n.count("jobs_entered")
	if job.excess {
		n.count("jobs_excess")
	}
	n.markDirty(shard, job)
	n.whenCommitted(job, waiter{version: 1, request: req, status: 201})
	for _, other := range fetch.requests[1:] { // repeated submissions, reads and cancels that arrived meanwhile
		jobOps[other.op](n, shard, other)
	}
}

// liveInQueue counts a shard's live jobs in the queue of a key.
func (n *node) liveInQueue(shard *ownedShard, queueKey string) (count int) {
	for key, jobs := range shard.liveByQueue {
		if n.config.current.SameQueue(key, queueKey) {
			count += jobs
		}
	}
	return count
}

// rejectAdmission responds to all requests that wait for the admission of a job that was rejected: submissions are
// rejected with its reason, other requests find no job. A submission by another tenant under the same ID is a
// different job and is handled on its own.
func (n *node) rejectAdmission(shard *ownedShard, fetch *fetchOp, reject func(*request)) {
	for _, req := range fetch.requests {
		switch {
		case req.op != "job.put":
			n.respondMissing(req)
		case req.tenant == fetch.job.Tenant:
			reject(req)
		default:
			n.handleSubmit(shard, req)
		}
	}
}

// whenCommitted responds to a request once the given version of the job's record is committed.
func (n *node) whenCommitted(job *liveJob, w waiter) {
	if len(job.waiters) > 64 {
		w.request.maybeApplied = true // applied, but not yet durable
		n.reject(w.request, "too many of the same ask")
		return
	}
	job.waiters = append(job.waiters, w)
	n.respondWaiters(job)
}

// respondWaiters responds to the requests whose version of the job's record is committed.
func (n *node) respondWaiters(job *liveJob) {
	kept := job.waiters[:0]
	for _, w := range job.waiters {
		if w.version > job.committed {
			kept = append(kept, w)
			continue
		}
		state := job.State.String()
		if job.DoneMs == 0 && job.State > jobComplete {
			state = map[jobStatus]string{jobFailed: "failing", jobCancelled: "cancelling"}[job.State]
		}
		if w.request.op == "job.state" {
			state = job.state()
		}
		n.respond(w.request, w.status, 0, mustJSON(map[string]any{"id": job.ID, "state": state}))
	}
	job.waiters = kept
}

// handleGet responds with a job's description, once its record is committed for the first time. A job that isn't in
// memory is read from the core.
func (n *node) handleGet(shard *ownedShard, req *request) {
	if job := shard.jobs[req.key]; job != nil {
		if n.respondIfHidden(req, &job.jobRecord) {
			return
		}
		if job.committed == 0 {
			n.whenCommitted(job, waiter{version: 1, request: req, status: 200})
			return
		}
		n.respond(req, 200, 0, mustJSON(n.describeJob(&job.jobRecord, func(t *task) string { return n.explainWait(job, t) })))
		return
	}
	if record := shard.finished[req.key]; record != nil {
		n.respondFinished(req, record)
		return
	}
	if fetch := shard.admitting[req.key]; fetch != nil && len(fetch.requests) < 16 {
		fetch.requests = append(fetch.requests, req)
		return
	}
	n.fetchRecord(shard, &fetchOp{id: req.key, requests: []*request{req}})
}

// handleState responds with a job's state only. A final state is sent only once it is committed, since it could
// otherwise be revoked.
func (n *node) handleState(shard *ownedShard, req *request) {
	job := shard.jobs[req.key]
	if job == nil {
		n.handleGet(shard, req)
		return
	}
	if n.respondIfHidden(req, &job.jobRecord) {
		return
	}
	version := int64(1)
	if job.DoneMs != 0 || job.State != jobRunning {
		version = job.Version
	}
	n.whenCommitted(job, waiter{version: version, request: req, status: 200})
}

// state returns the job's state for API responses: pending until one of its tasks is reported as running or ended.
func (j *liveJob) state() string {
	if j.State != jobRunning {
		return j.State.String()
	}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State == taskEnded || t.State == taskPlaced && j.runtime[i].state >= wire.AttemptRunning {
			return jobRunning.String()
		}
	}
	if j.FirstOpenRound > 0 {
		return jobRunning.String()
	}
	return "pending"
}

// handleCancel cancels a running job. It responds once the cancellation is committed.
func (n *node) handleCancel(shard *ownedShard, req *request) {
	job := shard.jobs[req.key]
	if job != nil && n.respondIfHidden(req, &job.jobRecord) {
		return
	}
	if job == nil {
		if record := shard.finished[req.key]; record != nil {
			n.respondFinished(req, record)
		} else if fetch := shard.admitting[req.key]; fetch != nil {
			fetch.requests = append(fetch.requests, req)
		} else {
			n.fetchRecord(shard, &fetchOp{id: req.key, requests: []*request{req}})
		}
		return
	}
	if job.DoneMs != 0 && job.State != jobCancelled || job.State == jobFailed {
		n.respond(req, 409, 0, mustJSON(map[string]any{"error": "the job has ended", "state": job.State.String()}))
		return
	}
	if job.State == jobRunning {
		job.State = jobCancelled
		n.log("job_cancelled", "job", job.ID, "slice", shard.name, "epoch", shard.epoch)
		n.cancelTasks(shard, job)
	}
	n.whenCommitted(job, waiter{version: job.Version, request: req, status: 200})
}

// cancelTasks cancels the pending tasks of a job, and sends the agents of the placed ones decisions to drop them.
func (n *node) cancelTasks(shard *ownedShard, job *liveJob) {
	n.markDirty(shard, job)
	for i := range job.Tasks {
		t := &job.Tasks[i]
		if t.State == taskPending {
			t.State, t.ChangedVersion = taskCancelled, job.Version
		}
		if t.State == taskPlaced {
			if w := n.workers[t.Worker]; w != nil && w.epoch == t.AgentEpoch {
				n.send(w.agent, &wire.OwnerReply{
					Worker:     t.Worker,
					Epoch:      w.epoch,
					Shard:      shard.name,
					ShardEpoch: shard.epoch,
					Decisions: []wire.AttemptDecision{
						{Key: wire.AttemptKey{Job: job.ID, Task: job.taskID(i), Attempt: t.Attempt}, Decision: wire.DecisionDrop},
					},
				})
			}
		}
	}
}

// handleWorkerLost handles an operator's declaration that a worker is lost for good: its attempts in this shard are
// resolved as lost. It is refused while reports of the worker arrive.
func (n *node) handleWorkerLost(shard *ownedShard, req *request) {
	_, worker, _ := strings.Cut(req.key, "/")
	if w := n.workers[worker]; w != nil && n.now-w.receivedMs < workerSilentMs && w.reportFresh {
		n.respond(req, 409, 0, mustJSON(map[string]any{"error": "the worker is heard from; it can't be declared lost"}))
		return
	}
	lost := 0
	for _, ref := range shard.tasksPlacedOn(worker) {
		if job := shard.jobs[ref.jobID]; job != nil {
			if i, _, ok := job.position(ref.taskID); ok {
				n.resolveAttempt(shard, job, i, wire.ResultLost, 0)
				lost++
			}
		}
	}
	n.log("worker_declared_lost", "worker", worker, "slice", shard.name, "tasks", lost)
	n.respond(req, 200, 0, mustJSON(map[string]any{"slice": shard.name, "tasks": lost}))
}
