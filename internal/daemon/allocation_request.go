package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

// requestAllocation requests guaranteed resources for a task from the central scheduler. In a uniform
// step one request covers all tasks that wait now; a gang is requested once all its members wait.
func (n *node) requestAllocation(shard *ownedShard, job *liveJob, i int) {
	to, _ := n.leases.Holder(lease.Central)
	if to == "" || !n.gangReady(job, i) {
		return
	}
	m := n.newAllocationRequest(shard, job, i)
	m.Tasks = n.requestedTasks(shard, job, i)
	m.Avoid, m.Suspect = n.avoidedWorkers(job, m.Tasks)
	n.send(to, m)
}

// newAllocationRequest returns a request for a task's step, without the tasks.
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

// requestRange returns the positions of the tasks that are requested together with a task.
func (j *liveJob) requestRange(i int) (from, to int) {
	if j.Steps[j.Tasks[i].Step].Uniform {
		return j.gangRange(i)
	}
	return i, i + 1
}

// isPlaceable reports whether a task is pending, committed and past its retry time.
func (n *node) isPlaceable(job *liveJob, k int) bool {
	t := &job.Tasks[k]
	return t.State == taskPending && t.ChangedVersion <= job.committed && n.now >= job.runtime[k].retryAtMs
}

// gangReady reports whether all members of a task's gang can be placed; true for a single task.
func (n *node) gangReady(job *liveJob, i int) bool {
	if !job.Steps[job.Tasks[i].Step].Gang {
		return true
	}
	from, to := job.requestRange(i)
	for k := from; k < to; k++ {
		if !n.isPlaceable(job, k) {
			return false
		}
	}
	return true
}

// requestedTasks returns the tasks to request together with a task, as many as the tenant's share
// allows, and reserves the share for them.
func (n *node) requestedTasks(shard *ownedShard, job *liveJob, i int) (requested []wire.RequestedTask) {
	gang := job.Steps[job.Tasks[i].Step].Gang
	from, to := job.requestRange(i)
	attempt := int32(0)
	for k := from; k < to; k++ {
		attempt = max(attempt, job.Tasks[k].Attempt+1)
	}
	var reserved resource.Amount
	for k := from; k < to; k++ {
		t := &job.Tasks[k]
		if !n.isPlaceable(job, k) || k != i && n.classify(job, t) != wire.ClassGuaranteed {
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

// avoidedWorkersMax is the maximum number of workers in each of the lists Avoid and Suspect of a request.
const avoidedWorkersMax = 32

// avoidedWorkers returns the workers where requested tasks should not be placed: as avoided those where
// the tasks themselves last failed, and as suspected those where any task of the job failed recently and,
// if a requested task is on its last attempt, those with any recent failures.
func (n *node) avoidedWorkers(job *liveJob, requested []wire.RequestedTask) (avoided, suspected []string) {
	failed, suspects, lastAttempt := map[string]bool{}, map[string]bool{}, false
	for _, r := range requested {
		i, _, _ := job.position(r.Task)
		if t := &job.Tasks[i]; t.LastFailedWorker != "" {
			failed[t.LastFailedWorker] = true
			lastAttempt = lastAttempt || t.onLastAttempt()
		}
	}
	for worker := range job.lastFailureMs {
		if job.failedRecentlyAt(worker, n.now) {
			suspects[worker] = true
		}
	}
	if lastAttempt {
		for worker, w := range n.workers {
			if w.recentFailures {
				suspects[worker] = true
			}
		}
	}
	avoided, suspected = sortedKeys(failed), sortedKeys(suspects)
	return avoided[:min(len(avoided), avoidedWorkersMax)], suspected[:min(len(suspected), avoidedWorkersMax)]
}

// onAllocation applies the workers that the central scheduler granted, for a gang all or none.
func (n *node) onAllocation(_ string, m *wire.Allocation) {
	shard := n.shards[m.Shard]
	if shard == nil || !n.leases.Holds(lease.ShardRole(m.Shard)) {
		return
	}
	job := shard.jobs[m.Job]
	if job == nil || job.State != jobRunning {
		return
	}
	queue := n.config.current.Queue(job.Queue)
	if !n.acceptsGang(shard, job, queue, m.Places) {
		n.count("grants_not_taken")
		return
	}
	for _, place := range m.Places {
		if i, ok := n.acceptsAllocation(job, queue, place); !ok || !n.applyAllocation(shard, job, i, place) {
			n.count("grants_not_taken")
		}
	}
}

// acceptsAllocation returns the position of a task that was granted a worker, and whether it may be
// placed there.
func (n *node) acceptsAllocation(job *liveJob, queue *configuration.Queue, place wire.AllocatedTask) (i int, ok bool) {
	i, _, known := job.position(place.Task)
	w := n.workers[place.Worker]
	if !known || w == nil || queue == nil {
		return 0, false
	}
	t := &job.Tasks[i]
	return i, t.State == taskPending && place.Attempt > t.Attempt && t.ChangedVersion <= job.committed &&
		n.workerAllowed(w, queue, t.RequiredLabels, t.Resources)
}

// acceptsGang reports whether a gang was granted workers for all its members, within its tenant's share;
// true for single tasks.
func (n *node) acceptsGang(
	shard *ownedShard, job *liveJob, queue *configuration.Queue, places []wire.AllocatedTask,
) bool {
	if len(places) == 0 {
		return true
	}
	first, _, known := job.position(places[0].Task)
	if !known || !job.Steps[job.Tasks[first].Step].Gang {
		return true
	}
	accepted := 0
	for _, place := range places {
		if _, ok := n.acceptsAllocation(job, queue, place); ok {
			accepted++
		}
	}
	return accepted >= int(job.Steps[job.Tasks[first].Step].Size) &&
		n.hasReservedShare(shard, job, first, job.allocationUnit(first))
}

// applyAllocation places a task at the worker that it was granted, if its step's limit per worker and its
// tenant's share still allow that.
func (n *node) applyAllocation(shard *ownedShard, job *liveJob, i int, place wire.AllocatedTask) bool {
	step := &job.Steps[job.Tasks[i].Step]
	if step.MaxPerWorker > 0 && job.stepTasksByWorker(i)[place.Worker] >= step.MaxPerWorker {
		return false
	}
	if !step.Gang && !n.hasReservedShare(shard, job, i, job.Tasks[i].Resources) {
		return false
	}
	n.placeTask(shard, job, i, place.Worker, wire.ClassGuaranteed)
	n.tracePlaced(job, i, 0)
	job.Tasks[i].Attempt = place.Attempt
	return true
}
