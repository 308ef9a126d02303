package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

const (
	thresholdMs        = 2500                    // learned run time below this is queueable; see docs/rounds.md
	allocationRetryMs  = 1000                    // owners repeat their requests for firm places
	reservedMs         = allocationRetryMs + 500 // a share is kept for requested places until they are surely asked for again
	allocationsPerTick = 64                      // requests for firm places a shard sends in one tick, most urgent first
)

// allowed tells whether a task may go to a worker now, as far as is known here.
func (n *node) allowed(w *workerView, q *configuration.Queue, needs []wire.Label, room resource.Amount) bool {
	_, lack := configuration.MissingLabel(w.labels, needs)
	return n.now-w.heardMs < contactMs && w.rebuilt && w.fresh && !w.leaving && !n.config.current.EmptyZones[w.zone] &&
		room.Fits(w.capacity) && !lack && q.Matches(w.labels, w.zone)
}

// freeAt is the room of a worker that nothing known here takes: what its agent
// holds for other shards, and all that this shard has placed there.
func (n *node) freeAt(sl *shard, name string, w *workerView) resource.Amount {
	return w.capacity.Minus(w.otherShards[sl.name]).Minus(sl.load[name])
}

// usedBy counts the tasks of a task's step and round by worker.
func (js *jobState) usedBy(i int) map[string]int32 {
	used := map[string]int32{}
	from, to := js.gangRange(i)
	for k := from; k < to; k++ {
		if js.Tasks[k].State == taskPlaced {
			used[js.Tasks[k].Worker]++
		}
	}
	return used
}

func (n *node) placeTask(sl *shard, js *jobState, i int, worker string, class wire.TaskClass) {
	t := &js.Tasks[i]
	n.markDirty(sl, js)
	w := n.workers[worker]
	t.State, t.Class, t.ChangedIn = taskPlaced, class, js.Version
	t.Worker, t.Agent, t.AgentEpoch = worker, w.agent, w.epoch
	t.Attempt++
	sl.indexTask(js, i)
	n.workers[worker].queued++ // until its agent's next word
	if class == wire.ClassQueueable {
		n.ranks.add(worker, n.estimateMs(js, t))
	}
	js.runtime[i] = taskRuntime{limitVersion: n.limits.Version()}
	sl.shares.unreserve(js, i, t.Resources)
	n.count("placements_" + class.String())
}

func (n *node) sendPlacement(sl *shard, js *jobState, i int) {
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
			Spec:       n.specOf(sl, js, i),
		},
	)
}

// specOf is what an agent must know of a placed task.
func (n *node) specOf(sl *shard, js *jobState, i int) wire.TaskSpec {
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
	}
}

// requestAllocation asks for a firm place for a task; where tasks of its step are alike,
// for all of them that wait now, and for a gang once nobody of it is placed.
func (n *node) requestAllocation(sl *shard, js *jobState, i int, pass *schedulePass) {
	to, _ := n.leases.Holder(lease.Central)
	if to == "" {
		return
	}
	t := &js.Tasks[i]
	st := &js.Steps[t.Step]
	m := &wire.AllocationRequest{
		Shard:       sl.name,
		Job:         js.ID,
		Queue:       js.Queue,
		Resources:   t.Resources,
		Needs:       t.Needs,
		SubmittedMs: js.SubmitMs,
		Gang:        st.Gang,
		SameRack:    st.SameRack,
		Near:        st.Near,
		PerWorker:   st.PerWorker,
		EstimateMs:  n.estimateMs(js, t),
	}
	from, to_ := i, i+1
	if st.Alike {
		from, to_ = js.gangRange(i)
	}
	attempt := int32(0)
	for k := from; k < to_; k++ {
		o := &js.Tasks[k]
		if st.Gang && (o.State != taskPending || o.ChangedIn > js.committed || n.now < js.runtime[k].retryMs) {
			return
		}
		attempt = max(attempt, o.Attempt+1)
	}
	if !n.mayRequest(sl, js, i) {
		pass.lack(js, i)
		return
	}
	var reserved resource.Amount
	for k := from; k < to_; k++ {
		o, rt := &js.Tasks[k], &js.runtime[k]
		if o.State != taskPending || o.ChangedIn > js.committed || n.now < rt.retryMs ||
			k != i && n.classify(js, o) != wire.ClassGuaranteed {
			continue
		}
		if !st.Gang && !n.hasReservedShare(sl, js, i, reserved.Plus(o.Resources)) {
			continue
		}
		reserved = reserved.Plus(o.Resources)
		rt.allocationMs = n.now
		next := o.Attempt + 1
		if st.Gang {
			next = attempt
		}
		m.Tasks = append(m.Tasks, wire.RequestedTask{Task: js.taskID(k), Attempt: next})
	}
	sl.shares.reserve(js, i, reserved, n.now+reservedMs)
	m.Avoid, m.Doubted = n.avoidedBy(js, m.Tasks)
	if st.PerWorker > 0 {
		used := js.usedBy(i)
		for _, w := range sorted(used) {
			m.Used = append(m.Used, wire.WorkerUse{Worker: w, Count: used[w]})
		}
	}
	sl.allocationRequests++
	n.send(to, m)
}

// avoidedMax bounds the workers that a request for guaranteed places asks to avoid, of each kind.
const avoidedMax = 32

// avoidedBy gives the workers that requested tasks rather not go to: where they failed; and,
// doubted, where others of the job did lately, and, if one may fail no more, where anything
// speaks against the worker.
func (n *node) avoidedBy(js *jobState, requested []wire.RequestedTask) (avoided, doubted []string) {
	failed, doubts, last := map[string]bool{}, map[string]bool{}, false
	for _, r := range requested {
		i, _, _ := js.position(r.Task)
		if t := &js.Tasks[i]; t.Last != "" {
			failed[t.Last] = true
			last = last || t.onLastAttempt()
		}
	}
	for worker := range js.failedAt {
		if js.failedLatelyAt(worker, n.now) {
			doubts[worker] = true
		}
	}
	if last {
		for worker, w := range n.workers {
			if w.doubtful {
				doubts[worker] = true
			}
		}
	}
	avoided, doubted = sorted(failed), sorted(doubts)
	return avoided[:min(len(avoided), avoidedMax)], doubted[:min(len(doubted), avoidedMax)]
}

// onAllocation takes firm places from the central scheduler; a gang's all or none.
func (n *node) onAllocation(_ string, m *wire.Allocation) {
	sl := n.owned[m.Shard]
	if sl == nil || !n.leases.Holds(lease.ShardRole(m.Shard)) {
		return
	}
	js := sl.jobs[m.Job]
	if js == nil || js.State != jobRunning {
		return
	}
	q := n.config.current.Queues[js.Queue]
	good := func(p wire.AllocatedTask) (int, bool) {
		i, _, ok := js.position(p.Task)
		w := n.workers[p.Worker]
		if !ok || w == nil || q == nil {
			return 0, false
		}
		t := &js.Tasks[i]
		return i, t.State == taskPending && p.Attempt > t.Attempt && t.ChangedIn <= js.committed &&
			n.allowed(w, q, t.Needs, t.Resources)
	}
	whole := 0
	for _, p := range m.Places {
		if _, ok := good(p); ok {
			whole++
		}
	}
	if len(m.Places) > 0 && !n.takesPlaces(sl, js, m.Places[0].Task) {
		n.count("grants_not_taken")
		return
	}
	for _, p := range m.Places {
		i, ok := good(p)
		if pos, _, known := js.position(
			p.Task,
		); known && js.Steps[js.Tasks[pos].Step].Gang &&
			whole < int(js.Steps[js.Tasks[pos].Step].Size) {
			n.count("grants_not_taken") // all of a gang's places or none
			return
		}
		if !ok {
			n.count("grants_not_taken")
			continue
		}
		st := &js.Steps[js.Tasks[i].Step]
		if st.PerWorker > 0 && js.usedBy(i)[p.Worker] >= st.PerWorker {
			continue
		}
		if !st.Gang && !n.hasReservedShare(sl, js, i, js.Tasks[i].Resources) {
			n.count("grants_not_taken")
			continue
		}
		n.placeTask(sl, js, i, p.Worker, wire.ClassGuaranteed)
		n.tracePlaced(js, i, 0)
		js.Tasks[i].Attempt = p.Attempt
	}
}
