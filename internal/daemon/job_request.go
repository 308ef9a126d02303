package daemon

import (
	"bytes"
	"strings"

	"otterchute/internal/schema"
	"otterchute/internal/wire"
)

func (n *node) respondFinished(req *request, j *jobRecord) {
	switch {
	case req.op == "job.put":
		p, faults := parseJob(j.ID, req.queue, req.body)
		if len(faults) > 0 {
			n.rejectFaults(req, 400, 0, faults)
		} else if !bytes.Equal(p.Digest, j.Digest) {
			n.respond(req, 409, 0, mustJSON(map[string]any{"error": "another job has this id"}))
		} else if !n.respondIfHidden(req, j) {
			n.respond(req, 200, 0, mustJSON(map[string]any{"id": j.ID, "state": j.State.String()}))
		}
	case n.respondIfHidden(req, j):
	case req.op == "job.state":
		n.respond(req, 200, 0, mustJSON(map[string]any{"state": j.State.String()}))
	case req.op == "job.cancel" && j.State != jobCancelled:
		n.respond(req, 409, 0, mustJSON(map[string]any{"error": "the job has ended", "state": j.State.String()}))
	default:
		n.respond(req, 200, 0, mustJSON(j.describe(func(*task) string { return "" })))
	}
}

func (n *node) respondMissing(req *request) {
	n.respond(req, 404, 0, mustJSON(map[string]any{"error": "no such job", "missing": "job"}))
}

func (n *node) handleSubmit(shard *ownedShard, req *request) {
	if job := shard.jobs[req.key]; job != nil {
		p, faults := parseJob(req.key, req.queue, req.body)
		if len(faults) > 0 {
			n.rejectFaults(req, 400, 0, faults)
		} else if !bytes.Equal(p.Digest, job.Digest) {
			n.respond(req, 409, 0, mustJSON(map[string]any{"error": "another job has this id"}))
		} else if !n.respondIfHidden(req, &job.jobRecord) {
			n.whenCommitted(job, waiter{version: 1, request: req, status: 200})
		}
		return
	}
	if j := shard.finished[req.key]; j != nil {
		n.respondFinished(req, j)
		return
	}
	if f := shard.admitting[req.key]; f != nil {
		if len(f.requests) > 16 {
			req.maybeApplied = true // the others may have it taken in
			n.reject(req, "too many of the same ask")
			return
		}
		f.requests = append(f.requests, req)
		return
	}
	j, faults := parseJob(req.key, req.queue, req.body)
	if len(faults) > 0 {
		n.rejectFaults(req, 400, 0, faults)
		return
	}
	if !n.configFresh() {
		n.reject(req, "the setup is not confirmed here")
		return
	}
	if c := n.config.current; c.Queues[j.Queue] == nil || req.tenant != "" && c.Tenants[req.tenant] == nil {
		if !n.configConfirmedSince(req) && len(n.config.awaiting) < requestsMax {
			// A version acknowledged just now may have it, and the tenant's limit: ask the core first.
			n.config.awaiting = append(n.config.awaiting, req)
			n.leases.PollSoon()
			return
		}
		if req.queue != "" { // whoever resolved its address had another configuration: soon it has this one
			n.reject(req, "the queue or the tenant is not in the newest setup")
			return
		}
		n.rejectFaults(req, 400, 0, []schema.Fault{{Path: "queue", Reason: "is not in the setup"}})
		return
	}
	j.Tenant = req.tenant
	f := &fetchOp{id: req.key, job: j, requests: []*request{req}}
	shard.admitting[req.key] = f
	n.fetchRecord(shard, f)
}

// admitJob runs a new job through the rules of its queue and makes it durable.
func (n *node) admitJob(shard *ownedShard, f *fetchOp) {
	j, req := f.job, f.requests[0]
	q := n.config.current.Queues[j.Queue]
	wall := n.fleetTime()
	if q == nil || wall == 0 || !n.configFresh() {
		n.rejectAdmission(shard, f, func(req *request) {
			n.reject(req, "the setup or the core's time is not confirmed here")
		})
		return
	}
	size := len(j.encode())
	c := &admission{
		job:           j,
		queue:         q,
		queueLive:     shard.liveByQueue[j.Queue],
		shardLive:     len(shard.jobs),
		bytes:         shard.recordBytes + size,
		lowestUrgency: q.Urgency <= n.config.current.LowestUrgency && len(n.config.current.Queues) > 1,
		batch:         q.Batch != nil,

		excess: n.isExcess(shard, req.tenant),
	}
	b := admit(c)
	if b == nil && c.excess {
		b = n.rejectExcess(shard, req.tenant)
	}
	shard.countAdmission(req.tenant, b == nil && c.excess, b != nil && b.status == 429)
	if b != nil {
		n.count("jobs_rejected")
		n.rejectAdmission(shard, f, func(req *request) { n.rejectFaults(req, int(b.status), b.retryMs, b.faults) })
		return
	}
	j.SubmitMs = wall
	if j.DelayMs > 0 {
		j.DueMs = n.latestFleetTime() + j.DelayMs
	}
	job := &liveJob{
		jobRecord: *j, runtime: make([]taskRuntime, len(j.Tasks)), recordBytes: size, enteredMs: n.now, excess: c.excess,
	}
	n.traceAdmitted(shard, job, f.startMs)
	shard.jobs[j.ID] = job
	shard.recordBytes += size
	shard.liveByQueue[j.Queue]++
	n.count("jobs_entered")
	if job.excess {
		n.count("jobs_excess")
	}
	n.markDirty(shard, job)
	n.whenCommitted(job, waiter{version: 1, request: req, status: 201})
	for _, other := range f.requests[1:] { // the same job again, or its state, or its end
		jobOps[other.op](n, shard, other)
	}
}

// rejectAdmission answers all who wait for a new job that isn't taken: who hands it in
// is told why, and for the others there is no such job. What another tenant hands in under
// the same id is another job, to be taken or not for its own sake.
func (n *node) rejectAdmission(shard *ownedShard, f *fetchOp, tell func(*request)) {
	for _, req := range f.requests {
		switch {
		case req.op != "job.put":
			n.respondMissing(req)
		case req.tenant == f.job.Tenant:
			tell(req)
		default:
			n.handleSubmit(shard, req)
		}
	}
}

func (n *node) whenCommitted(job *liveJob, w waiter) {
	if len(job.waiters) > 64 {
		w.request.maybeApplied = true // it is done, but not yet durable
		n.reject(w.request, "too many of the same ask")
		return
	}
	job.waiters = append(job.waiters, w)
	n.respondWaiters(job)
}

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

func (n *node) handleGet(shard *ownedShard, req *request) {
	if job := shard.jobs[req.key]; job != nil {
		if n.respondIfHidden(req, &job.jobRecord) {
			return
		}
		if job.committed == 0 {
			n.whenCommitted(job, waiter{version: 1, request: req, status: 200})
			return
		}
		n.respond(req, 200, 0, mustJSON(job.describe(func(t *task) string { return n.explainWait(job, t) })))
		return
	}
	if j := shard.finished[req.key]; j != nil {
		n.respondFinished(req, j)
		return
	}
	if f := shard.admitting[req.key]; f != nil && len(f.requests) < 16 {
		f.requests = append(f.requests, req)
		return
	}
	n.fetchRecord(shard, &fetchOp{id: req.key, requests: []*request{req}})
}

// handleState tells no more than a job's state, and one that stands only: what ended
// is told once a majority has it.
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

// state is a job's state in one word: pending until a task of it was placed.
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

func (n *node) handleCancel(shard *ownedShard, req *request) {
	job := shard.jobs[req.key]
	if job != nil && n.respondIfHidden(req, &job.jobRecord) {
		return
	}
	if job == nil {
		if j := shard.finished[req.key]; j != nil {
			n.respondFinished(req, j)
		} else if f := shard.admitting[req.key]; f != nil {
			f.requests = append(f.requests, req)
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

// cancelTasks ends all tasks of a job that are not placed, and has the placed ones dropped.
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

// handleWorkerLost is an operator's word that a worker is gone for good.
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
