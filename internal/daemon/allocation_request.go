package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

// requestAllocation requests a guaranteed place for a task; where tasks of its step are alike,
// for all of them that wait now, and for a gang once nobody of it is placed.
func (n *node) requestAllocation(sl *ownedShard, js *liveJob, i int) {
	to, _ := n.leases.Holder(lease.Central)
	if to == "" || !n.gangMayBegin(js, i) {
		return
	}
	m := n.newAllocationRequest(sl, js, i)
	m.Tasks = n.requestedTasks(sl, js, i)
	m.Avoid, m.Doubted = n.avoidedBy(js, m.Tasks)
	n.send(to, m)
}

// newAllocationRequest gives a request for a task's step, without the tasks.
func (n *node) newAllocationRequest(sl *ownedShard, js *liveJob, i int) *wire.AllocationRequest {
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
		Excess:      js.excess,
	}
	if n.limits.Any() {
		m.Tenant, m.TenantUsed = js.Tenant, sl.tenantUsed[js.Tenant]
	}
	if st.PerWorker > 0 {
		used := js.stepTasksByWorker(i)
		for _, w := range sortedKeys(used) {
			m.Used = append(m.Used, wire.WorkerUse{Worker: w, Count: used[w]})
		}
	}
	return m
}

// requestedTogether gives the positions of the tasks that are requested with one.
func (js *liveJob) requestedTogether(i int) (from, to int) {
	if js.Steps[js.Tasks[i].Step].Uniform {
		return js.gangRange(i)
	}
	return i, i + 1
}

// waitsForPlace tells whether a task may be placed, by its own state and the committed record.
func (n *node) waitsForPlace(js *liveJob, k int) bool {
	t := &js.Tasks[k]
	return t.State == taskPending && t.ChangedVersion <= js.committed && n.now >= js.runtime[k].retryAtMs
}

// gangMayBegin tells whether all members of a task's gang wait for a place; true for a single task.
func (n *node) gangMayBegin(js *liveJob, i int) bool {
	if !js.Steps[js.Tasks[i].Step].Gang {
		return true
	}
	from, to := js.requestedTogether(i)
	for k := from; k < to; k++ {
		if !n.waitsForPlace(js, k) {
			return false
		}
	}
	return true
}

// requestedTasks gives the tasks to request places for with a task, as far as the tenant's share
// goes, and reserves the share for them.
func (n *node) requestedTasks(sl *ownedShard, js *liveJob, i int) (requested []wire.RequestedTask) {
	gang := js.Steps[js.Tasks[i].Step].Gang
	from, to := js.requestedTogether(i)
	attempt := int32(0)
	for k := from; k < to; k++ {
		attempt = max(attempt, js.Tasks[k].Attempt+1)
	}
	var reserved resource.Amount
	for k := from; k < to; k++ {
		t := &js.Tasks[k]
		if !n.waitsForPlace(js, k) || k != i && n.classify(js, t) != wire.ClassGuaranteed {
			continue
		}
		if !gang && !n.hasReservedShare(sl, js, i, reserved.Plus(t.Resources)) {
			continue
		}
		reserved = reserved.Plus(t.Resources)
		js.runtime[k].allocationRequestMs = n.now
		next := t.Attempt + 1
		if gang {
			next = attempt
		}
		requested = append(requested, wire.RequestedTask{Task: js.taskID(k), Attempt: next})
	}
	sl.shares.reserve(js, i, reserved, n.now, n.now+reservedMs)
	return requested
}

// avoidedMax bounds the workers that a request for guaranteed places asks to avoid, of each kind.
const avoidedMax = 32

// avoidedBy gives the workers that requested tasks rather not go to: where they failed; and,
// doubted, where others of the job did lately, and, if one may fail no more, where anything
// speaks against the worker.
func (n *node) avoidedBy(js *liveJob, requested []wire.RequestedTask) (avoided, doubted []string) {
	failed, doubts, last := map[string]bool{}, map[string]bool{}, false
	for _, r := range requested {
		i, _, _ := js.position(r.Task)
		if t := &js.Tasks[i]; t.LastFailedWorker != "" {
			failed[t.LastFailedWorker] = true
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
	avoided, doubted = sortedKeys(failed), sortedKeys(doubts)
	return avoided[:min(len(avoided), avoidedMax)], doubted[:min(len(doubted), avoidedMax)]
}

// onAllocation takes guaranteed places from the central scheduler; a gang's all or none.
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
	if !n.takesGang(sl, js, q, m.Places) {
		n.count("grants_not_taken")
		return
	}
	for _, p := range m.Places {
		if i, ok := n.mayTake(js, q, p); !ok || !n.takePlace(sl, js, i, p) {
			n.count("grants_not_taken")
		}
	}
}

// mayTake gives the position of a task that was granted a place, and whether it may go there.
func (n *node) mayTake(js *liveJob, q *configuration.Queue, p wire.AllocatedTask) (i int, ok bool) {
	i, _, known := js.position(p.Task)
	w := n.workers[p.Worker]
	if !known || w == nil || q == nil {
		return 0, false
	}
	t := &js.Tasks[i]
	return i, t.State == taskPending && p.Attempt > t.Attempt && t.ChangedVersion <= js.committed &&
		n.workerAllowed(w, q, t.Needs, t.Resources)
}

// takesGang tells whether places for a gang are for all its members and within its tenant's share;
// true for single tasks.
func (n *node) takesGang(sl *ownedShard, js *liveJob, q *configuration.Queue, places []wire.AllocatedTask) bool {
	if len(places) == 0 {
		return true
	}
	first, _, known := js.position(places[0].Task)
	if !known || !js.Steps[js.Tasks[first].Step].Gang {
		return true
	}
	whole := 0
	for _, p := range places {
		if _, ok := n.mayTake(js, q, p); ok {
			whole++
		}
	}
	return whole >= int(js.Steps[js.Tasks[first].Step].Size) && n.hasReservedShare(sl, js, first, js.allocationUnit(first))
}

// takePlace places a task where it was granted a place, if its step and its tenant's share still
// allow that.
func (n *node) takePlace(sl *ownedShard, js *liveJob, i int, p wire.AllocatedTask) bool {
	st := &js.Steps[js.Tasks[i].Step]
	if st.PerWorker > 0 && js.stepTasksByWorker(i)[p.Worker] >= st.PerWorker {
		return false
	}
	if !st.Gang && !n.hasReservedShare(sl, js, i, js.Tasks[i].Resources) {
		return false
	}
	n.placeTask(sl, js, i, p.Worker, wire.ClassGuaranteed)
	n.tracePlaced(js, i, 0)
	js.Tasks[i].Attempt = p.Attempt
	return true
}
