package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

const (
	thresholdMs        = 2500 // learned run time below this is queueable; see docs/rounds.md
	allocationRetryMs  = 1000 // owners repeat their requests for firm places
	shareReservationMs = 1500 // a share is kept so long for requested places: until they are surely requested again
	allocationsPerTick = 64   // requests for firm places a shard sends in one tick, most urgent first
)

// workerAllowed tells whether a task may go to a worker now, as far as is known here.
func (n *node) workerAllowed(w *workerView, q *configuration.Queue, needs []wire.Label, room resource.Amount) bool {
	_, lack := configuration.MissingLabel(w.labels, needs)
	return n.now-w.receivedMs < ownerContactMs && w.rebuilt && w.reportFresh && !w.leaving &&
		!n.config.current.EmptyZones[w.zone] &&
		room.Fits(w.capacity) && !lack && q.Matches(w.labels, w.zone)
}

// freeResources is the room of a worker that nothing known here takes: what its agent
// holds for other shards, and all that this shard has placed there.
func (n *node) freeResources(shard *ownedShard, name string, w *workerView) resource.Amount {
	return w.capacity.Minus(w.usedByOthers[shard.name]).Minus(shard.loadByWorker[name])
}

// stepTasksByWorker counts the tasks of a task's step and round by worker.
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

func (n *node) placeTask(shard *ownedShard, job *liveJob, i int, worker string, class wire.TaskClass) {
	t := &job.Tasks[i]
	n.markDirty(shard, job)
	w := n.workers[worker]
	t.State, t.Class, t.ChangedVersion = taskPlaced, class, job.Version
	t.Worker, t.Agent, t.AgentEpoch = worker, w.agent, w.epoch
	t.Attempt++
	shard.updatePlacedIndex(job, i)
	n.workers[worker].queued++ // until its agent's next word
	if class == wire.ClassQueueable {
		n.ranks.add(worker, n.estimateMs(job, t))
	}
	job.runtime[i] = taskRuntime{limitVersion: n.limits.Version()}
	shard.shares.unreserve(job, i, t.Resources)
	n.count("placements_" + class.String())
}

func (n *node) sendPlacement(shard *ownedShard, job *liveJob, i int) {
	t := &job.Tasks[i]
	w := n.workers[t.Worker]
	if w == nil || w.epoch != t.AgentEpoch || !n.leases.Holds(lease.ShardRole(shard.name)) {
		return
	}
	job.runtime[i].sentMs, job.runtime[i].echoMs = n.now, w.echoMs
	n.traceSent(job, i)
	n.send(
		w.agent,
		&wire.Placement{
			Worker:       t.Worker,
			AgentEpoch:   t.AgentEpoch,
			ShardEpoch:   shard.epoch,
			AgentClockMs: w.echoMs,
			Spec:         n.taskSpec(shard, job, i),
		},
	)
}

// taskSpec is what an agent must know of a placed task.
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
