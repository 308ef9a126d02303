package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

// requestAllocation requests a guaranteed place for a task; where tasks of its step are alike,
// for all of them that wait now, and for a gang once nobody of it is placed.
func (n *node) requestAllocation(shard *ownedShard, job *liveJob, i int) {
	to, _ := n.leases.Holder(lease.Central)
	if to == "" || !n.gangReady(job, i) {
		return
	}
	m := n.newAllocationRequest(shard, job, i)
	m.Tasks = n.requestedTasks(shard, job, i)
	m.Avoid, m.Suspect = n.avoidedBy(job, m.Tasks)
	n.send(to, m)
}

// newAllocationRequest gives a request for a task's step, without the tasks.
func (n *node) newAllocationRequest(shard *ownedShard, job *liveJob, i int) *wire.AllocationRequest {
	t := &job.Tasks[i]
	step := &job.Steps[t.Step]
	m := &wire.AllocationRequest{
		Shard:          shard.name,
		Job:            job.ID,
		Queue:          job.Queue,
		Resources:      t.Resources,
		RequiredLabels: t.RequiredLabels,
		SubmittedMs:    job.SubmitMs,
		Gang:           step.Gang,
		SameRack:       step.SameRack,
		DataRack:       step.DataRack,
		MaxPerWorker:   step.MaxPerWorker,
		EstimateMs:     n.estimateMs(job, t),
		Excess:         job.excess,
	}
	if n.limits.HasTenants() {
		m.Tenant, m.TenantUsed = job.Tenant, shard.tenantUsed[job.Tenant]
	}
	if step.MaxPerWorker > 0 {
		used := job.stepTasksByWorker(i)
		for _, w := range sortedKeys(used) {
			m.StepWorkers = append(m.StepWorkers, wire.WorkerTaskCount{Worker: w, Count: used[w]})
		}
	}
	return m
}

// requestedTogether gives the positions of the tasks that are requested with one.
func (j *liveJob) requestedTogether(i int) (from, to int) {
	if j.Steps[j.Tasks[i].Step].Uniform {
		return j.gangRange(i)
	}
	return i, i + 1
}

// waitsForPlace tells whether a task may be placed, by its own state and the committed record.
func (n *node) waitsForPlace(job *liveJob, k int) bool {
	t := &job.Tasks[k]
	return t.State == taskPending && t.ChangedVersion <= job.committed && n.now >= job.runtime[k].retryAtMs
}

// gangReady tells whether all members of a task's gang wait for a place; true for a single task.
func (n *node) gangReady(job *liveJob, i int) bool {
	if !job.Steps[job.Tasks[i].Step].Gang {
		return true
	}
	from, to := job.requestedTogether(i)
	for k := from; k < to; k++ {
		if !n.waitsForPlace(job, k) {
			return false
		}
	}
	return true
}

// requestedTasks gives the tasks to request places for with a task, as far as the tenant's share
// goes, and reserves the share for them.
func (n *node) requestedTasks(shard *ownedShard, job *liveJob, i int) (requested []wire.RequestedTask) {
	gang := job.Steps[job.Tasks[i].Step].Gang
	from, to := job.requestedTogether(i)
	attempt := int32(0)
	for k := from; k < to; k++ {
		attempt = max(attempt, job.Tasks[k].Attempt+1)
	}
	var reserved resource.Amount
	for k := from; k < to; k++ {
		t := &job.Tasks[k]
		if !n.waitsForPlace(job, k) || k != i && n.classify(job, t) != wire.ClassGuaranteed {
			continue
		}
		if !gang && !n.hasReservedShare(shard, job, i, reserved.Plus(t.Resources)) {
			continue
		}
		reserved = reserved.Plus(t.Resources)
		job.runtime[k].allocationRequestMs = n.now
		next := t.Attempt + 1
		if gang {
			next = attempt
		}
		requested = append(requested, wire.RequestedTask{Task: job.taskID(k), Attempt: next})
	}
	shard.shares.reserve(job, i, reserved, n.now, n.now+shareReservationMs)
	return requested
}

// avoidedMax bounds the workers that a request for guaranteed places asks to avoid, of each kind.
const avoidedMax = 32

// avoidedBy gives the workers that requested tasks rather not go to: where they failed; and,
// doubted, where others of the job did lately, and, if one may fail no more, where anything
// speaks against the worker.
func (n *node) avoidedBy(job *liveJob, requested []wire.RequestedTask) (avoided, doubted []string) {
	failed, doubts, last := map[string]bool{}, map[string]bool{}, false
	for _, r := range requested {
		i, _, _ := job.position(r.Task)
		if t := &job.Tasks[i]; t.LastFailedWorker != "" {
			failed[t.LastFailedWorker] = true
			last = last || t.onLastAttempt()
		}
	}
	for worker := range job.failedAt {
		if job.failedLatelyAt(worker, n.now) {
			doubts[worker] = true
		}
	}
	if last {
		for worker, w := range n.workers {
			if w.recentFailures {
				doubts[worker] = true
			}
		}
	}
	avoided, doubted = sortedKeys(failed), sortedKeys(doubts)
	return avoided[:min(len(avoided), avoidedMax)], doubted[:min(len(doubted), avoidedMax)]
}

// onAllocation takes guaranteed places from the central scheduler; a gang's all or none.
func (n *node) onAllocation(_ string, m *wire.Allocation) {
	shard := n.shards[m.Shard]
	if shard == nil || !n.leases.Holds(lease.ShardRole(m.Shard)) {
		return
	}
	job := shard.jobs[m.Job]
	if job == nil || job.State != jobRunning {
		return
	}
	q := n.config.current.Queues[job.Queue]
	if !n.acceptsGang(shard, job, q, m.Places) {
		n.count("grants_not_taken")
		return
	}
	for _, p := range m.Places {
		if i, ok := n.acceptsPlace(job, q, p); !ok || !n.applyPlace(shard, job, i, p) {
			n.count("grants_not_taken")
		}
	}
}

// acceptsPlace gives the position of a task that was granted a place, and whether it may go there.
func (n *node) acceptsPlace(job *liveJob, q *configuration.Queue, p wire.AllocatedTask) (i int, ok bool) {
	i, _, known := job.position(p.Task)
	w := n.workers[p.Worker]
	if !known || w == nil || q == nil {
		return 0, false
	}
	t := &job.Tasks[i]
	return i, t.State == taskPending && p.Attempt > t.Attempt && t.ChangedVersion <= job.committed &&
		n.workerAllowed(w, q, t.RequiredLabels, t.Resources)
}

// acceptsGang tells whether places for a gang are for all its members and within its tenant's share;
// true for single tasks.
func (n *node) acceptsGang(shard *ownedShard, job *liveJob, q *configuration.Queue, places []wire.AllocatedTask) bool {
	if len(places) == 0 {
		return true
	}
	first, _, known := job.position(places[0].Task)
	if !known || !job.Steps[job.Tasks[first].Step].Gang {
		return true
	}
	whole := 0
	for _, p := range places {
		if _, ok := n.acceptsPlace(job, q, p); ok {
			whole++
		}
	}
	return whole >= int(job.Steps[job.Tasks[first].Step].Size) &&
		n.hasReservedShare(shard, job, first, job.allocationUnit(first))
}

// applyPlace places a task where it was granted a place, if its step and its tenant's share still
// allow that.
func (n *node) applyPlace(shard *ownedShard, job *liveJob, i int, p wire.AllocatedTask) bool {
	step := &job.Steps[job.Tasks[i].Step]
	if step.MaxPerWorker > 0 && job.stepTasksByWorker(i)[p.Worker] >= step.MaxPerWorker {
		return false
	}
	if !step.Gang && !n.hasReservedShare(shard, job, i, job.Tasks[i].Resources) {
		return false
	}
	n.placeTask(shard, job, i, p.Worker, wire.ClassGuaranteed)
	n.tracePlaced(job, i, 0)
	job.Tasks[i].Attempt = p.Attempt
	return true
}
