package daemon

import (
	"bytes"
	"strings"

	"otterchute/internal/schema"
	"otterchute/internal/wire"
)

func (n *node) respondFinished(a *request, j *jobRecord) {
	switch {
	case a.op == "job.put":
		p, faults := parseJob(j.ID, a.queue, a.body)
		if len(faults) > 0 {
			n.rejectFaults(a, 400, 0, faults)
		} else if !bytes.Equal(p.Digest, j.Digest) {
			n.respond(a, 409, 0, mustJSON(map[string]any{"error": "another job has this id"}))
		} else if !n.hides(a, j) {
			n.respond(a, 200, 0, mustJSON(map[string]any{"id": j.ID, "state": j.State.String()}))
		}
	case n.hides(a, j):
	case a.op == "job.state":
		n.respond(a, 200, 0, mustJSON(map[string]any{"state": j.State.String()}))
	case a.op == "job.cancel" && j.State != jobCancelled:
		n.respond(a, 409, 0, mustJSON(map[string]any{"error": "the job has ended", "state": j.State.String()}))
	default:
		n.respond(a, 200, 0, mustJSON(j.describe(func(*task) string { return "" })))
	}
}

func (n *node) respondMissing(a *request) {
	n.respond(a, 404, 0, mustJSON(map[string]any{"error": "no such job", "missing": "job"}))
}

func (n *node) handleSubmit(sl *ownedShard, a *request) {
	if js := sl.jobs[a.key]; js != nil {
		p, faults := parseJob(a.key, a.queue, a.body)
		if len(faults) > 0 {
			n.rejectFaults(a, 400, 0, faults)
		} else if !bytes.Equal(p.Digest, js.Digest) {
			n.respond(a, 409, 0, mustJSON(map[string]any{"error": "another job has this id"}))
		} else if !n.hides(a, &js.jobRecord) {
			n.whenCommitted(js, waiter{version: 1, request: a, status: 200})
		}
		return
	}
	if j := sl.finished[a.key]; j != nil {
		n.respondFinished(a, j)
		return
	}
	if f := sl.admitting[a.key]; f != nil {
		if len(f.requests) > 16 {
			a.maybeApplied = true // the others may have it taken in
			n.reject(a, "too many of the same ask")
			return
		}
		f.requests = append(f.requests, a)
		return
	}
	j, faults := parseJob(a.key, a.queue, a.body)
	if len(faults) > 0 {
		n.rejectFaults(a, 400, 0, faults)
		return
	}
	if !n.configFresh() {
		n.reject(a, "the setup is not confirmed here")
		return
	}
	if c := n.config.current; c.Queues[j.Queue] == nil || a.tenant != "" && c.Tenants[a.tenant] == nil {
		if !n.configConfirmedSince(a) && len(n.config.awaiting) < requestsMax {
			// A version acknowledged just now may have it, and the tenant's limit: ask the core first.
			n.config.awaiting = append(n.config.awaiting, a)
			n.leases.PollSoon()
			return
		}
		if a.queue != "" { // whoever resolved its address had another configuration: soon it has this one
			n.reject(a, "the queue or the tenant is not in the newest setup")
			return
		}
		n.rejectFaults(a, 400, 0, []schema.Fault{{Path: "queue", Reason: "is not in the setup"}})
		return
	}
	j.Tenant = a.tenant
	f := &fetchOp{id: a.key, job: j, requests: []*request{a}}
	sl.admitting[a.key] = f
	n.fetchRecord(sl, f)
}

// admitJob runs a new job through the rules of its queue and makes it durable.
func (n *node) admitJob(sl *ownedShard, f *fetchOp) {
	j, a := f.job, f.requests[0]
	q := n.config.current.Queues[j.Queue]
	wall := n.fleetTime()
	if q == nil || wall == 0 || !n.configFresh() {
		n.rejectAdmission(sl, f, func(a *request) { n.reject(a, "the setup or the core's time is not confirmed here") })
		return
	}
	size := len(j.encode())
	c := &admission{
		job:   j,
		queue: q,
		live:  sl.liveByQueue[j.Queue],
		all:   len(sl.jobs),
		bytes: sl.recordBytes + size,
		base:  q.Urgency <= n.config.current.Lowest && len(n.config.current.Queues) > 1,
		batch: q.Batch != nil,

		excess: n.isExcess(sl, a.tenant),
	}
	b := admit(c)
	if b == nil && c.excess {
		b = n.rejectExcess(sl, a.tenant)
	}
	sl.countAdmission(a.tenant, b == nil && c.excess, b != nil && b.status == 429)
	if b != nil {
		n.count("jobs_rejected")
		n.rejectAdmission(sl, f, func(a *request) { n.rejectFaults(a, int(b.status), b.retryMs, b.faults) })
		return
	}
	j.SubmitMs = wall
	if j.DelayMs > 0 {
		j.DueMs = n.latestFleetTime() + j.DelayMs
	}
	js := &liveJob{
		jobRecord: *j, runtime: make([]taskRuntime, len(j.Tasks)), recordBytes: size, enteredMs: n.now, excess: c.excess,
	}
	n.traceAdmitted(sl, js, f.startMs)
	sl.jobs[j.ID] = js
	sl.recordBytes += size
	sl.liveByQueue[j.Queue]++
	n.count("jobs_entered")
	if js.excess {
		n.count("jobs_excess")
	}
	n.markDirty(sl, js)
	n.whenCommitted(js, waiter{version: 1, request: a, status: 201})
	for _, other := range f.requests[1:] { // the same job again, or its state, or its end
		jobOps[other.op](n, sl, other)
	}
}

// rejectAdmission answers all who wait for a new job that isn't taken: who hands it in
// is told why, and for the others there is no such job. What another tenant hands in under
// the same id is another job, to be taken or not for its own sake.
func (n *node) rejectAdmission(sl *ownedShard, f *fetchOp, tell func(*request)) {
	for _, a := range f.requests {
		switch {
		case a.op != "job.put":
			n.respondMissing(a)
		case a.tenant == f.job.Tenant:
			tell(a)
		default:
			n.handleSubmit(sl, a)
		}
	}
}

func (n *node) whenCommitted(js *liveJob, w waiter) {
	if len(js.waiters) > 64 {
		w.request.maybeApplied = true // it is done, but not yet durable
		n.reject(w.request, "too many of the same ask")
		return
	}
	js.waiters = append(js.waiters, w)
	n.respondWaiters(js)
}

func (n *node) respondWaiters(js *liveJob) {
	kept := js.waiters[:0]
	for _, w := range js.waiters {
		if w.version > js.committed {
			kept = append(kept, w)
			continue
		}
		state := js.State.String()
		if js.DoneMs == 0 && js.State > jobComplete {
			state = map[jobStatus]string{jobFailed: "failing", jobCancelled: "cancelling"}[js.State]
		}
		if w.request.op == "job.state" {
			state = js.state()
		}
		n.respond(w.request, w.status, 0, mustJSON(map[string]any{"id": js.ID, "state": state}))
	}
	js.waiters = kept
}

func (n *node) handleGet(sl *ownedShard, a *request) {
	if js := sl.jobs[a.key]; js != nil {
		if n.hides(a, &js.jobRecord) {
			return
		}
		if js.committed == 0 {
			n.whenCommitted(js, waiter{version: 1, request: a, status: 200})
			return
		}
		n.respond(a, 200, 0, mustJSON(js.describe(func(t *task) string { return n.explainWait(js, t) })))
		return
	}
	if j := sl.finished[a.key]; j != nil {
		n.respondFinished(a, j)
		return
	}
	if f := sl.admitting[a.key]; f != nil && len(f.requests) < 16 {
		f.requests = append(f.requests, a)
		return
	}
	n.fetchRecord(sl, &fetchOp{id: a.key, requests: []*request{a}})
}

// handleState tells no more than a job's state, and one that stands only: what ended
// is told once a majority has it.
func (n *node) handleState(sl *ownedShard, a *request) {
	js := sl.jobs[a.key]
	if js == nil {
		n.handleGet(sl, a)
		return
	}
	if n.hides(a, &js.jobRecord) {
		return
	}
	version := int64(1)
	if js.DoneMs != 0 || js.State != jobRunning {
		version = js.Version
	}
	n.whenCommitted(js, waiter{version: version, request: a, status: 200})
}

// state is a job's state in one word: pending until a task of it was placed.
func (js *liveJob) state() string {
	if js.State != jobRunning {
		return js.State.String()
	}
	for i := range js.Tasks {
		if t := &js.Tasks[i]; t.State == taskEnded || t.State == taskPlaced && js.runtime[i].state >= wire.AttemptRunning {
			return jobRunning.String()
		}
	}
	if js.FirstOpenRound > 0 {
		return jobRunning.String()
	}
	return "pending"
}

func (n *node) handleCancel(sl *ownedShard, a *request) {
	js := sl.jobs[a.key]
	if js != nil && n.hides(a, &js.jobRecord) {
		return
	}
	if js == nil {
		if j := sl.finished[a.key]; j != nil {
			n.respondFinished(a, j)
		} else if f := sl.admitting[a.key]; f != nil {
			f.requests = append(f.requests, a)
		} else {
			n.fetchRecord(sl, &fetchOp{id: a.key, requests: []*request{a}})
		}
		return
	}
	if js.DoneMs != 0 && js.State != jobCancelled || js.State == jobFailed {
		n.respond(a, 409, 0, mustJSON(map[string]any{"error": "the job has ended", "state": js.State.String()}))
		return
	}
	if js.State == jobRunning {
		js.State = jobCancelled
		n.log("job_cancelled", "job", js.ID, "slice", sl.name, "epoch", sl.epoch)
		n.cancelTasks(sl, js)
	}
	n.whenCommitted(js, waiter{version: js.Version, request: a, status: 200})
}

// cancelTasks ends all tasks of a job that are not placed, and has the placed ones dropped.
func (n *node) cancelTasks(sl *ownedShard, js *liveJob) {
	n.markDirty(sl, js)
	for i := range js.Tasks {
		t := &js.Tasks[i]
		if t.State == taskPending {
			t.State, t.ChangedVersion = taskCancelled, js.Version
		}
		if t.State == taskPlaced {
			if w := n.workers[t.Worker]; w != nil && w.epoch == t.AgentEpoch {
				n.send(w.agent, &wire.OwnerReply{
					Worker:     t.Worker,
					Epoch:      w.epoch,
					Shard:      sl.name,
					ShardEpoch: sl.epoch,
					Decisions: []wire.AttemptDecision{
						{Key: wire.AttemptKey{Job: js.ID, Task: js.taskID(i), Attempt: t.Attempt}, Decision: wire.DecisionDrop},
					},
				})
			}
		}
	}
}

// handleWorkerLost is an operator's word that a worker is gone for good.
func (n *node) handleWorkerLost(sl *ownedShard, a *request) {
	_, worker, _ := strings.Cut(a.key, "/")
	if w := n.workers[worker]; w != nil && n.now-w.receivedMs < silentMs && w.reportFresh {
		n.respond(a, 409, 0, mustJSON(map[string]any{"error": "the worker is heard from; it can't be declared lost"}))
		return
	}
	lost := 0
	for _, at := range sl.tasksPlacedOn(worker) {
		if js := sl.jobs[at.job]; js != nil {
			if i, _, ok := js.position(at.task); ok {
				n.resolveAttempt(sl, js, i, wire.ResultLost, 0)
				lost++
			}
		}
	}
	n.log("worker_declared_lost", "worker", worker, "slice", sl.name, "tasks", lost)
	n.respond(a, 200, 0, mustJSON(map[string]any{"slice": sl.name, "tasks": lost}))
}
