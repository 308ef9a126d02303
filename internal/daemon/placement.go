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
	reservedMs         = 1500 // a share is kept so long for requested places: until they are surely requested again
	allocationsPerTick = 64   // requests for firm places a shard sends in one tick, most urgent first
)

// workerAllowed tells whether a task may go to a worker now, as far as is known here.
func (n *node) workerAllowed(w *workerView, q *configuration.Queue, needs []wire.Label, room resource.Amount) bool {
	_, lack := configuration.MissingLabel(w.labels, needs)
	return n.now-w.receivedMs < contactMs && w.rebuilt && w.reportFresh && !w.leaving && !n.config.current.EmptyZones[w.zone] &&
		room.Fits(w.capacity) && !lack && q.Matches(w.labels, w.zone)
}

// freeResources is the room of a worker that nothing known here takes: what its agent
// holds for other shards, and all that this shard has placed there.
func (n *node) freeResources(sl *ownedShard, name string, w *workerView) resource.Amount {
	return w.capacity.Minus(w.usedByOthers[sl.name]).Minus(sl.loadByWorker[name])
}

// stepTasksByWorker counts the tasks of a task's step and round by worker.
func (js *liveJob) stepTasksByWorker(i int) map[string]int32 {
	used := map[string]int32{}
	from, to := js.gangRange(i)
	for k := from; k < to; k++ {
		if js.Tasks[k].State == taskPlaced {
			used[js.Tasks[k].Worker]++
		}
	}
	return used
}

func (n *node) placeTask(sl *ownedShard, js *liveJob, i int, worker string, class wire.TaskClass) {
	t := &js.Tasks[i]
	n.markDirty(sl, js)
	w := n.workers[worker]
	t.State, t.Class, t.ChangedVersion = taskPlaced, class, js.Version
	t.Worker, t.Agent, t.AgentEpoch = worker, w.agent, w.epoch
	t.Attempt++
	sl.updatePlacedIndex(js, i)
	n.workers[worker].queued++ // until its agent's next word
	if class == wire.ClassQueueable {
		n.ranks.add(worker, n.estimateMs(js, t))
	}
	js.runtime[i] = taskRuntime{limitVersion: n.limits.Version()}
	sl.shares.unreserve(js, i, t.Resources)
	n.count("placements_" + class.String())
}

func (n *node) sendPlacement(sl *ownedShard, js *liveJob, i int) {
	t := &js.Tasks[i]
	w := n.workers[t.Worker]
	if w == nil || w.epoch != t.AgentEpoch || !n.leases.Holds(lease.ShardRole(sl.name)) {
		return
	}
	js.runtime[i].sentMs, js.runtime[i].echoMs = n.now, w.echoMs
	n.traceSent(js, i)
	n.send(
		w.agent,
		&wire.Placement{
			Worker:     t.Worker,
			AgentEpoch: t.AgentEpoch,
			ShardEpoch: sl.epoch,
			EchoMs:     w.echoMs,
			Spec:       n.taskSpec(sl, js, i),
		},
	)
}

// taskSpec is what an agent must know of a placed task.
func (n *node) taskSpec(sl *ownedShard, js *liveJob, i int) wire.TaskSpec {
	t := &js.Tasks[i]
	return wire.TaskSpec{
		Key: wire.AttemptKey{
			Job:     js.ID,
			Task:    js.taskID(i),
			Attempt: t.Attempt,
		},
		Shard:        sl.name,
		Queue:        js.Queue,
		Name:         t.Name,
		Class:        t.Class,
		Resources:    t.Resources,
		Needs:        t.Needs,
		SubmittedMs:  js.SubmitMs,
		EstimateMs:   n.estimateMs(js, t),
		LimitMs:      t.LimitMs,
		Payload:      t.Payload,
		Saved:        t.Saved,
		Gang:         js.Steps[t.Step].Gang,
		Lasting:      js.Steps[t.Step].Lasting,
		Saves:        js.Steps[t.Step].Saves,
		PerWorker:    js.Steps[t.Step].PerWorker,
		Tenant:       js.Tenant,
		LimitVersion: js.runtime[i].limitVersion,
		Excess:       js.excess,
	}
}
