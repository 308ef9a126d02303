package daemon

import (
	"slices"

	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

const (
	recallAfterMs      = 150  // a task queued this long at its worker is recalled if another worker could start it at once
	gangStartTimeoutMs = 2000 // a gang not fully running this long after its first task is restarted: running tasks idle
)

// onAgentReport reconciles a shard's tasks with an agent's report: it records the ends of attempts, decides which of
// the other attempts the agent keeps, and replies with the decisions.
func (n *node) onAgentReport(from string, m *wire.AgentReport) {
	if !n.recordWorker(from, m) {
		return // the agent was replaced by a newer one
	}
	if m.Shard == "" {
		n.updateCentral(from, m)
		return
	}
	shard := n.shards[m.Shard]
	if shard == nil || !shard.serving || !n.leases.Holds(lease.ShardRole(m.Shard)) {
		return
	}
	reply := &wire.OwnerReply{Worker: m.Worker, Epoch: m.Epoch, Shard: m.Shard, ShardEpoch: shard.epoch, SentMs: m.SentMs}
	listed := n.decideAttempts(shard, m, reply)
	shard.releaseListed(m)
	if m.Partial {
		if len(reply.Decisions)+len(reply.Specs) > 0 {
			n.send(from, reply)
		}
		return
	}
	for _, ref := range shard.tasksPlacedOn(m.Worker) { // a copy: resolving changes the index
		if job := shard.jobs[ref.jobID]; job != nil {
			n.reconcilePlaced(shard, job, ref, m, listed)
		}
	}
	n.resolveReplaced(shard, m)
	n.send(from, reply)
}

// recordWorker updates the view of a worker from its agent's report. It returns false if a newer agent has replaced the
// sender.
func (n *node) recordWorker(from string, m *wire.AgentReport) bool {
	w := n.workers[m.Worker]
	if w == nil {
		w = &workerView{}
		n.workers[m.Worker] = w
	}
	if m.Epoch < w.epoch {
		return false
	}
	signedOff := w.signedOff || m.SignedOff
	m.Leaving = m.Leaving || signedOff
	if m.Epoch > w.epoch || m.SentMs > w.agentClockMs {
		others, batchUse := w.usedByOthers, w.batchUse
		if others == nil || m.Epoch > w.epoch {
			others, batchUse = map[string]resource.Amount{}, map[string][]wire.QueueUsage{}
		}
		*w = workerView{
			agent: from, epoch: m.Epoch, agentClockMs: m.SentMs, receivedMs: n.now, zone: m.Zone, labels: m.Labels,
			leaving: m.Leaving, signedOff: signedOff, rebuilt: m.Rebuilt, reportFresh: m.WorkerReportFresh,
			free: m.Free, capacity: m.Capacity, queued: m.Queued, rankMs: m.RankMs,
			silentMs: m.SilentMs, usedByOthers: others, batchUse: batchUse, unstarted: m.WaitingTasks,
			spare: w.spare.observe(n.now, m.SpareCapacity),
			rack:  m.Rack, suspect: m.Suspect, recentFailures: m.RecentFailures, colocated: m.Colocated, urgentUse: m.Urgent,
		}
	}
	if m.Epoch == w.epoch && m.Shard != "" {
		w.usedByOthers[m.Shard], w.batchUse[m.Shard] = m.OtherShards, m.BatchUsage
	}
	return true
}

// decideAttempts adds a decision on each attempt of a report to the reply, and returns the set of the listed attempts.
func (n *node) decideAttempts(shard *ownedShard, m *wire.AgentReport, reply *wire.OwnerReply) map[wire.AttemptKey]bool {
	listed := map[wire.AttemptKey]bool{}
	for _, status := range m.Attempts {
		listed[status.Key] = true
		decision := n.decideAttempt(shard, m, status)
		if decision == 0 {
			continue
		}
		reply.Decisions = append(reply.Decisions, wire.AttemptDecision{Key: status.Key, Decision: decision})
		if job := shard.jobs[status.Key.Job]; job != nil && status.SpecMissing && decision == wire.DecisionKeep {
			i, _, _ := job.position(status.Key.Task)
			reply.Specs = append(reply.Specs, n.taskSpec(shard, job, i))
		}
	}
	return listed
}

// reconcilePlaced handles a task that is placed on a report's worker but missing from the report. It resolves the
// attempt if it is certain not to run, and otherwise sends the placement again.
func (n *node) reconcilePlaced(
	shard *ownedShard,
	job *liveJob,
	ref taskRef,
	m *wire.AgentReport,
	listed map[wire.AttemptKey]bool,
) {
	i, _, ok := job.position(ref.taskID)
	if !ok || job.Tasks[i].State != taskPlaced {
		return
	}
	t := &job.Tasks[i]
	if t.ChangedVersion > job.committed || listed[wire.AttemptKey{Job: ref.jobID, Task: ref.taskID, Attempt: t.Attempt}] {
		return
	}
	switch {
	case m.Epoch > t.AgentEpoch && m.Rebuilt:
		// The new agent was rebuilt from a report of the worker itself. The worker made this report after the time at
		// which a last order of the old agent could arrive.
		n.resolveAttempt(shard, job, i, wire.ResultLost, 0)
	case m.Epoch == t.AgentEpoch && job.State != jobRunning:
		// The job was cancelled or failed. The attempt can't start any more once every placement of it, by this or a
		// former owner, is too old for the agent to accept.
		if n.now-shard.startMs > 2*ownerContactMs && m.SentMs-job.runtime[i].agentClockMs > 2*ownerContactMs {
			n.resolveAttempt(shard, job, i, wire.ResultRejected, 0)
		}
	case m.Epoch == t.AgentEpoch && n.now-job.runtime[i].sentMs > 2*leasedReportMs:
		n.sendPlacement(shard, job, i)
	}
}

// isCounted reports whether the end of an attempt is the recorded result of its task, or a failure counted against it.
func (t *task) isCounted(status wire.AttemptStatus) bool {
	return status.Result == wire.ResultOK && status.Key.Attempt == t.Attempt && t.State == taskEnded ||
		status.Result == wire.ResultFailed && status.Key.Attempt == t.FailedAttempt
}

// decideAttempt returns the owner's decision on one attempt that an agent reports, or 0 if there is none yet.
func (n *node) decideAttempt(shard *ownedShard, m *wire.AgentReport, status wire.AttemptStatus) wire.Decision {
	job := shard.jobs[status.Key.Job]
	if job == nil {
		return n.decideWithoutJob(shard, status)
	}
	i, _, ok := job.position(status.Key.Task)
	if !ok { // no such task, or its round is over
		if status.State == wire.AttemptEnded && !job.isAbandoned(status.Key) {
			return wire.DecisionCounted
		}
		return decideObsolete(status)
	}
	if job.committed == 0 {
		return 0
	}
	t := &job.Tasks[i]
	if status.Key.Attempt > t.Attempt {
		n.log("attempt_unknown", "job", job.ID, "task", status.Key.Task, "attempt", status.Key.Attempt, "known", t.Attempt)
		return wire.DecisionDrop
	}
	late := job.isLateEnd(i, status)
	if (status.Key.Attempt < t.Attempt || t.State != taskPlaced) && !late {
		decision := job.decideSuperseded(t, status)
		if decision == 0 { // such as a task that ended because its gang did: wait for the commit
			job.awaitCommit(m, status, t.ChangedVersion, n.now)
		}
		return decision
	}
	job.runtime[i].observe(status, n.now)
	if status.State == wire.AttemptEnded {
		if late { // abandoned, but not restarted since: the result counts
			job.Abandoned = slices.DeleteFunc(
				job.Abandoned,
				func(g abandonedAttempt) bool { return g == abandonedAttempt{status.Key.Task, status.Key.Attempt} },
			)
		}
		n.traceEnded(job, i, status)
		n.resolveAttempt(shard, job, i, status.Result, status.RanMs)
		job.awaitCommit(m, status, job.Version, n.now)
		return 0 // acknowledged once the result is committed
	}
	return n.decideCurrent(shard, m, job, i, status)
}

// decideObsolete returns the decision on an attempt that no job needs any more.
func decideObsolete(status wire.AttemptStatus) wire.Decision {
	if status.State == wire.AttemptEnded {
		return wire.DecisionAcknowledged
	}
	return wire.DecisionDrop
}

// decideWithoutJob returns the decision on an attempt whose job isn't live in this shard.
func (n *node) decideWithoutJob(shard *ownedShard, status wire.AttemptStatus) wire.Decision {
	if status.State == wire.AttemptEnded && status.EndedLate {
		return n.decideLateEnd(shard, status.Key)
	}
	if record := shard.finished[status.Key.Job]; record != nil && status.State == wire.AttemptEnded {
		if i, _, ok := record.position(status.Key.Task); ok && record.Tasks[i].isCounted(status) {
			return wire.DecisionCounted
		}
	}
	return decideObsolete(status)
}

// isLateEnd reports whether a status is the end of an attempt that was abandoned, but not yet replaced by another one.
func (j *liveJob) isLateEnd(i int, status wire.AttemptStatus) bool {
	t := &j.Tasks[i]
	if status.State != wire.AttemptEnded || status.Key.Attempt != t.Attempt || t.State != taskPending ||
		j.State != jobRunning {
		return false
	}
	if status.Result != wire.ResultOK && (status.Result != wire.ResultFailed || t.FailedAttempt == t.Attempt) {
		return false
	}
	return !j.Steps[t.Step].Gang || j.notRestartedSince(i)
}

// decideSuperseded returns the decision on an attempt that was replaced by another one or abandoned, or 0 while the
// task's last change isn't committed.
func (j *liveJob) decideSuperseded(t *task, status wire.AttemptStatus) wire.Decision {
	if status.State != wire.AttemptEnded {
		return wire.DecisionDrop
	}
	if t.ChangedVersion > j.committed {
		return 0
	}
	if !t.isCounted(status) && j.isAbandoned(status.Key) {
		return wire.DecisionAcknowledged
	}
	return wire.DecisionCounted
}

// observe updates the state of the current attempt from an agent's report.
func (rt *taskRuntime) observe(status wire.AttemptStatus, nowMs int64) {
	if status.State == wire.AttemptRunning && rt.runningSinceMs == 0 {
		rt.runningSinceMs = nowMs
	}
	rt.state = status.State
	if status.Checkpoint != "" {
		rt.checkpoint = status.Checkpoint
	}
}

// decideCurrent returns the decision on the current attempt of a task that hasn't ended.
func (n *node) decideCurrent(
	shard *ownedShard, m *wire.AgentReport, job *liveJob, i int, status wire.AttemptStatus,
) wire.Decision {
	t := &job.Tasks[i]
	if job.State != jobRunning || job.Steps[t.Step].Gang && !job.gangComplete(i) {
		return wire.DecisionDrop
	}
	if t.Class == wire.ClassQueueable && status.Class == wire.ClassGuaranteed {
		t.Class = wire.ClassGuaranteed // promoted by the agent; stored with the next write
	}
	if t.ChangedVersion > job.committed {
		return 0
	}
	mayRecall := m.Colocated && status.State == wire.AttemptQueued && status.Class == wire.ClassQueueable
	if mayRecall && n.now-job.runtime[i].sentMs > recallAfterMs && n.fitsElsewhere(shard, job, i) {
		return wire.DecisionRecall
	}
	return wire.DecisionKeep
}

// notRestartedSince reports whether no member of a task's gang has been placed again since the task's attempt.
func (j *liveJob) notRestartedSince(i int) bool {
	from, to := j.gangRange(i)
	for k := from; k < to; k++ {
		if j.Tasks[k].Attempt != j.Tasks[i].Attempt {
			return false
		}
	}
	return true
}

// isAbandoned reports whether an attempt was abandoned because its worker was silent.
func (j *jobRecord) isAbandoned(key wire.AttemptKey) bool {
	return slices.Contains(j.Abandoned, abandonedAttempt{key.Task, key.Attempt})
}

// decideLateEnd returns the decision on the late end of an attempt whose job is finished. The end counts unless the
// job's record lists the attempt as abandoned. If the record isn't in memory, it is read from the core, and the
// decision is 0 until it has arrived.
func (n *node) decideLateEnd(shard *ownedShard, key wire.AttemptKey) wire.Decision {
	switch record := shard.finished[key.Job]; {
	case record != nil && record.isAbandoned(key): // a late end that was counted is no longer listed there
		return wire.DecisionAcknowledged
	case record != nil || shard.knownAbsent[key.Job]:
		return wire.DecisionCounted
	case n.now-shard.lateReadMs[key.Job] > forwardTimeoutMs && len(shard.fetches) < allocateAtOnceMax:
		shard.lateReadMs[key.Job] = n.now
		n.fetchRecord(shard, &fetchOp{id: key.Job})
	}
	return 0
}

// fitsElsewhere reports whether another worker could start a queued task at once.
func (n *node) fitsElsewhere(shard *ownedShard, job *liveJob, i int) bool {
	t := &job.Tasks[i]
	queue := n.config.current.Queue(job.Queue)
	if queue == nil || !n.Policies.On(scheduler.Recall) {
		return false
	}
	maxPerWorker, used := job.Steps[t.Step].MaxPerWorker, map[string]int32(nil)
	if maxPerWorker > 0 {
		used = job.stepTasksByWorker(i)
	}
	for name, w := range n.workers {
		if maxPerWorker > 0 && used[name] >= maxPerWorker {
			continue
		}
		healthy := !w.suspect && !n.ranks.ejected(name) || n.fleetIdle()
		if name != t.Worker && healthy && n.workerAllowed(w, queue, t.RequiredLabels, t.Resources) &&
			t.Resources.Fits(n.availableResources(shard, queue, job.excess, name, w)) {
			return true
		}
	}
	return false
}

// resolveReplaced resolves as lost the tasks placed on workers that the reporting worker has replaced. A worker has
// replaced another if it runs on the same machine, and has received a reply of a later incarnation of the same agent:
// the other one, which got its tasks from an earlier incarnation, has ended then.
func (n *node) resolveReplaced(shard *ownedShard, m *wire.AgentReport) {
	if !m.Colocated || !m.Rebuilt || !m.ReachedWorker {
		return
	}
	for _, worker := range sortedKeys(shard.placedByWorker) {
		if worker == m.Worker {
			continue
		}
		for _, ref := range shard.tasksPlacedOn(worker) {
			job := shard.jobs[ref.jobID]
			if job == nil {
				continue
			}
			i, _, ok := job.position(ref.taskID)
			if !ok || job.Tasks[i].State != taskPlaced || job.Tasks[i].Agent != m.Agent || job.Tasks[i].AgentEpoch >= m.Epoch {
				break
			}
			if job.Tasks[i].ChangedVersion <= job.committed {
				n.count("replaced_resolved")
				n.resolveAttempt(shard, job, i, wire.ResultLost, 0)
			}
		}
	}
}
