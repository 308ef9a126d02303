package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

const (
	thresholdMs        = 2500 // tasks with an estimate below this are queueable; see docs/rounds.md
	allocationRetryMs  = 1000 // interval at which an owner repeats an allocation request
	shareReservationMs = 1500 // how long a share stays reserved for an allocation request; covers the next repetition
	allocationsPerTick = 64   // allocation requests that a shard sends per tick, most urgent first
)

// workerAllowed reports whether a task may be placed on a worker, by this daemon's view of it.
func (n *node) workerAllowed(
	w *workerView, q *configuration.Queue, requiredLabels []wire.Label, amount resource.Amount,
) bool {
	_, missing := configuration.MissingLabel(w.labels, requiredLabels)
	return n.now-w.receivedMs < ownerContactMs && w.rebuilt && w.reportFresh && !w.leaving &&
		!n.config.current.EmptyZones[w.zone] &&
		amount.Fits(w.capacity) && !missing && q.Matches(w.labels, w.zone)
}

// freeResources returns a worker's capacity less what its agent holds for other shards and what this shard has placed
// there.
func (n *node) freeResources(shard *ownedShard, name string, w *workerView) resource.Amount {
	return w.capacity.Minus(w.usedByOthers[shard.name]).Minus(shard.loadByWorker[name])
}

// stepTasksByWorker counts the placed tasks of a task's step and round by worker.
func (j *liveJob) stepTasksByWorker(i int) map[string]int32 {
	used := map[string]int32{}
	from, to := j.gangRange(i)
	for k := from; k < to; k++ {
		if j.Tasks[k].State == taskPlaced {
			used[j.Tasks[k].Worker]++
		}
	}
	return used
}

// placeTask assigns a task to a worker in the job's record. The placement is sent once the record is committed.
func (n *node) placeTask(shard *ownedShard, job *liveJob, i int, worker string, class wire.TaskClass) {
	t := &job.Tasks[i]
	n.markDirty(shard, job)
	w := n.workers[worker]
	t.State, t.Class, t.ChangedVersion = taskPlaced, class, job.Version
	t.Worker, t.Agent, t.AgentEpoch = worker, w.agent, w.epoch
	t.Attempt++
	shard.updatePlacedIndex(job, i)
	n.workers[worker].queued++ // until its agent's next report
	if class == wire.ClassQueueable {
		n.ranks.add(worker, n.estimateMs(job, t))
	}
	job.runtime[i] = taskRuntime{limitVersion: n.limits.Version()}
	shard.shares.unreserve(job, i, t.Resources)
	n.count("placements_" + class.String())
}

// sendPlacement sends a placement to the worker's agent, if that is still the agent of the placement.
func (n *node) sendPlacement(shard *ownedShard, job *liveJob, i int) {
	t := &job.Tasks[i]
	w := n.workers[t.Worker]
	if w == nil || w.epoch != t.AgentEpoch || !n.leases.Holds(lease.ShardRole(shard.name)) {
		return
	}
	job.runtime[i].sentMs, job.runtime[i].agentClockMs = n.now, w.agentClockMs
	n.traceSent(job, i)
	n.send(
		w.agent,
		&wire.Placement{
			Worker:       t.Worker,
			AgentEpoch:   t.AgentEpoch,
			ShardEpoch:   shard.epoch,
			AgentClockMs: w.agentClockMs,
			Spec:         n.taskSpec(shard, job, i),
		},
	)
}

// taskSpec returns the specification of a placed task for its agent.
func (n *node) taskSpec(shard *ownedShard, job *liveJob, i int) wire.TaskSpec {
	t := &job.Tasks[i]
	return wire.TaskSpec{
		Key: wire.AttemptKey{
			Job:     job.ID,
			Task:    job.taskID(i),
			Attempt: t.Attempt,
		},
		Shard:          shard.name,
		Queue:          job.Queue,
		Name:           t.Name,
		Class:          t.Class,
		Resources:      t.Resources,
		RequiredLabels: t.RequiredLabels,
		SubmittedMs:    job.SubmitMs,
		EstimateMs:     n.estimateMs(job, t),
		LimitMs:        t.LimitMs,
		Payload:        t.Payload,
		Checkpoint:     t.Checkpoint,
		Gang:           job.Steps[t.Step].Gang,
		LongRunning:    job.Steps[t.Step].LongRunning,
		Checkpointing:  job.Steps[t.Step].Checkpointing,
		MaxPerWorker:   job.Steps[t.Step].MaxPerWorker,
		Tenant:         job.Tenant,
		LimitVersion:   job.runtime[i].limitVersion,
		Excess:         job.excess,
	}
}
