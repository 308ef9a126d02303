package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

const (
	dueMarginMs    = 50   // starts are delayed this much past the due time, since correct clocks may differ by it
	workerSilentMs = 5000 // a worker without reports for this long counts as silent
	limitMarginMs  = 5000 // added to a trusted run limit before an attempt on a silent worker is resolved
	openAheadMs    = 400  // a round is added to the job's record this long before it is due
)

// advanceJob takes the steps that a job's committed record allows: it responds to waiting requests, places pending
// tasks, sends committed placements, and finishes or retires the job.
func (n *node) advanceJob(shard *ownedShard, job *liveJob) {
	n.respondWaiters(job)
	if job.committed == 0 || !n.leases.Holds(lease.ShardRole(shard.name)) {
		return
	}
	if job.DoneMs != 0 {
		if job.committed >= job.Version && !shard.isDirty(job.ID) && len(job.waiters) == 0 {
			n.retireJob(shard, job)
		}
		return
	}
	if state, ended := job.outcome(); ended {
		n.finishJob(shard, job, state)
		return
	}
	n.advanceRounds(shard, job)
	pass := n.newSchedulePass(job)
	for i := range job.Tasks {
		switch job.Tasks[i].State {
		case taskPlaced:
			n.tickPlacedTask(shard, job, i, &job.runtime[i])
		case taskPending:
			if n.mayStart(job, i, pass) {
				job.trace.Task(i).Ready(n.now)
				n.scheduleTask(shard, job, i, pass)
			}
		}
	}
	n.claimShares(shard, job, pass)
}

// finishJob sets a job's final state and end time in its record.
func (n *node) finishJob(shard *ownedShard, job *liveJob, state jobStatus) {
	clusterTimeMs := n.clusterTime()
	if clusterTimeMs == 0 {
		return // how long the job is kept counts from its end, which needs the cluster time
	}
	n.markDirty(shard, job)
	job.State, job.DoneMs = state, clusterTimeMs
	if job.trace != nil {
		job.trace.LastEndMs = n.now
	}
	n.count("jobs_" + state.String())
	n.recordBatchEnd(job)
}

// schedulePass holds what is shared between the tasks of a job during one scheduling pass.
type schedulePass struct {
	clusterTimeMs   int64 // 0 while it is unknown
	queue           *configuration.Queue
	batch           bool
	placedQueueable int    // number of queueable tasks that are placed
	stepReady       []bool // by step index; computed on first use
	choice          *workerChoice
	shareWaits      map[int]shareWait // by step index: units that wait only for a share of the tenant's limit
}

// newSchedulePass starts a scheduling pass over a job's tasks.
func (n *node) newSchedulePass(job *liveJob) *schedulePass {
	pass := &schedulePass{clusterTimeMs: n.clusterTime(), queue: n.config.current.Queue(job.Queue),
		batch: n.batchRules(&job.jobRecord) != nil}
	for i := range job.Tasks {
		if t := &job.Tasks[i]; t.State == taskPlaced && t.Class == wire.ClassQueueable {
			pass.placedQueueable++
		}
	}
	return pass
}

// mayStart reports whether a pending task may be placed now: its job is running, its backoff is over, it is due, the
// steps that it depends on have ended in the committed record, and the configuration is fresh.
func (n *node) mayStart(job *liveJob, i int, pass *schedulePass) bool {
	t := &job.Tasks[i]
	if job.State != jobRunning || pass.clusterTimeMs == 0 || pass.queue == nil || n.now < job.runtime[i].retryAtMs {
		return false
	}
	if !n.configFresh() || !n.knowsLimit(job) {
		return false
	}
	if dueMs := job.roundDueMs(t.Round); dueMs != 0 && pass.clusterTimeMs < dueMs+dueMarginMs {
		return false
	}
	if pass.batch && !n.batchMayStart(job, t, pass.clusterTimeMs) {
		return false
	}
	if pass.stepReady == nil {
		pass.stepReady = job.readySteps(job.committed)
	}
	return pass.stepReady[job.stepIndex(t)] && t.ChangedVersion <= job.committed
}

// scheduleTask places a queueable task with the local scheduler, or requests an allocation for a guaranteed task from
// the central scheduler.
func (n *node) scheduleTask(shard *ownedShard, job *liveJob, i int, pass *schedulePass) {
	rt := &job.runtime[i]
	if !n.mayTakeShare(job, i, pass.queue) {
		return
	}
	if n.classify(job, &job.Tasks[i]) == wire.ClassQueueable {
		if int64(pass.placedQueueable) >= pass.queue.Quota {
			return
		}
		if !n.hasShare(shard, job, job.Tasks[i].Resources) {
			pass.addShareWait(job, i)
			return
		}
		n.placeQueueable(shard, job, i, pass)
		return
	}
	if n.now-rt.allocationRequestMs < allocationRetryMs || shard.shares.yields(job, i, n.now) {
		return
	}
	if n.gangReady(job, i) && !n.mayRequest(shard, job, i) {
		pass.addShareWait(job, i)
		return
	}
	if shard.allocationRequests >= allocationsPerTick {
		return
	}
	if rt.allocationRequestMs != 0 { // an earlier request was not granted
		shard.starvedMs = n.now
	}
	shard.allocationRequests++
	n.requestAllocation(shard, job, i)
}

// placeQueueable places a task on the worker that the local scheduler selects, if there is one.
func (n *node) placeQueueable(shard *ownedShard, job *liveJob, i int, pass *schedulePass) {
	worker, candidates := "", 0
	if pass.batch {
		worker = n.selectBatchWorker(shard, job, i)
	} else if worker, candidates = n.selectWorker(shard, job, i, pass); worker == "" {
		shard.starvedMs = n.now
	}
	if worker != "" {
		n.placeTask(shard, job, i, worker, wire.ClassQueueable)
		n.tracePlaced(job, i, candidates)
		pass.placedQueueable++
		if pass.choice != nil {
			n.recordPlacement(pass.choice, worker)
		}
	}
}

// advanceRounds adds the tasks of rounds that are due soon to the job's record, and drops completed rounds from it.
func (n *node) advanceRounds(shard *ownedShard, job *liveJob) {
	clusterTimeMs := n.clusterTime()
	if job.Rounds == 0 || job.State != jobRunning || clusterTimeMs == 0 {
		return
	}
	if firstOpen := job.FirstOpenRound; job.dropCompleteRounds(job.committed) {
		dropped := int(job.FirstOpenRound-firstOpen) * int(job.roundSize())
		job.runtime = job.runtime[dropped:]
		job.shiftTrace(dropped)
		n.markDirty(shard, job)
	}
	roundFits := func() bool { return len(job.Tasks)+int(job.roundSize()) <= roundTasksMax }
	for job.RoundsOpened < job.Rounds && clusterTimeMs >= job.roundDueMs(job.RoundsOpened)-openAheadMs && roundFits() {
		job.openRound()
		for range job.roundSize() {
			job.runtime = append(job.runtime, taskRuntime{})
		}
		job.shiftTrace(0)
		n.markDirty(shard, job)
		for i := len(job.Tasks) - int(job.roundSize()); i < len(job.Tasks); i++ {
			job.Tasks[i].ChangedVersion = job.Version
		}
	}
}

// tickPlacedTask sends a committed placement. In a queue that trusts its workers to enforce run limits, it resolves an
// attempt as lost if its worker has been silent for so long that the run limit must have ended it.
func (n *node) tickPlacedTask(shard *ownedShard, job *liveJob, i int, rt *taskRuntime) {
	t := &job.Tasks[i]
	w := n.workers[t.Worker]
	if t.ChangedVersion <= job.committed && rt.sentMs == 0 && job.State == jobRunning {
		n.sendPlacement(shard, job, i)
	}
	if w == nil || w.colocated {
		n.tickColocatedTask(shard, job, i, rt, w)
	}
	silent := w == nil && n.now-shard.startMs > workerSilentMs ||
		w != nil && (n.now-w.receivedMs > workerSilentMs || w.silentMs > workerSilentMs)
	if !silent {
		rt.silentSinceMs = 0
		return
	}
	if rt.silentSinceMs == 0 {
		rt.silentSinceMs = n.now
	}
	if q := n.config.current.Queue(job.Queue); q != nil && q.TrustRunLimit && n.configFresh() &&
		n.now-rt.silentSinceMs > ownerContactMs+orderTimeoutMs+t.LimitMs+limitMarginMs {
		n.count("run_limits_resolved")
		n.resolveAttempt(shard, job, i, wire.ResultLost, 0)
	}
}

// tickColocatedTask resolves a task as lost if its worker's agent, which runs beside the worker, has been silent for
// longer than an agent may keep attempts without an owner's reply. It also restarts a gang that didn't start
// completely.
func (n *node) tickColocatedTask(shard *ownedShard, job *liveJob, i int, rt *taskRuntime, w *workerView) {
	t := &job.Tasks[i]
	receivedMs := shard.startMs
	if w != nil {
		receivedMs = max(receivedMs, w.receivedMs)
	}
	if (w != nil || n.allColocated()) && t.ChangedVersion <= job.committed &&
		n.now-receivedMs > ownerTimeoutMs*(100+driftPercent)/100+lapseMarginMs &&
		n.now-n.wokeMs > freezeThresholdMs {
		n.count("lapses_resolved")
		job.Abandoned = append(job.Abandoned, abandonedAttempt{job.taskID(i), t.Attempt})
		n.resolveAttempt(shard, job, i, wire.ResultLost, 0)
		return
	}
	if !job.Steps[t.Step].Gang || rt.restartGang || t.IndexInStep != 0 {
		return
	}
	from, to := job.gangRange(i)
	firstRunningMs, allRunning := int64(0), true
	for k := from; k < to; k++ {
		if r := &job.runtime[k]; r.runningSinceMs != 0 && (firstRunningMs == 0 || r.runningSinceMs < firstRunningMs) {
			firstRunningMs = r.runningSinceMs
		}
		allRunning = allRunning && job.runtime[k].runningSinceMs != 0
	}
	if !allRunning && firstRunningMs != 0 && n.now-firstRunningMs > gangStartTimeoutMs {
		n.count("gangs_begun_anew")
		for k := from; k < to; k++ {
			job.runtime[k].restartGang = true
		}
	}
}

// allColocated reports whether every worker in the views has its agent beside it. It is false without any worker.
func (n *node) allColocated() bool {
	for _, w := range n.workers {
		if !w.colocated {
			return false
		}
	}
	return len(n.workers) > 0
}

// gangComplete reports whether all tasks of a task's gang are placed in the same attempt.
func (j *liveJob) gangComplete(i int) bool {
	from, to := j.gangRange(i)
	for k := from; k < to; k++ {
		if j.Tasks[k].State != taskPlaced || j.Tasks[k].Attempt != j.Tasks[i].Attempt || j.runtime[k].restartGang {
			return false
		}
	}
	return true
}

// classify returns a task's class; see scheduler.IsGuaranteed.
func (n *node) classify(job *liveJob, t *task) wire.TaskClass {
	class, _ := n.explainClass(job, t)
	return class
}

// explainClass returns a task's class and the reason for it.
func (n *node) explainClass(job *liveJob, t *task) (class wire.TaskClass, reason string) {
	step := &job.Steps[t.Step]
	guaranteed, reason := scheduler.IsGuaranteed(scheduler.TaskFacts{
		Batch: n.batchRules(&job.jobRecord) != nil, Gang: step.Gang, LongRunning: step.LongRunning,
		Preemptions: int64(t.Preemptions), EstimateMs: n.knownRunMs(job, t),
	}, n.ThresholdMs)
	if guaranteed {
		return wire.ClassGuaranteed, reason
	}
	return wire.ClassQueueable, reason
}

// knownRunMs returns a task's expected run time from its hint or from earlier tasks of its name, or 0 if there is
// neither.
func (n *node) knownRunMs(job *liveJob, t *task) int64 {
	if job.hasEstimateHint(t) {
		return n.estimateMs(job, t)
	}
	if mean, known := n.estimates.Mean(job.Queue + "/" + t.Name); known {
		return max(int64(mean), 1)
	}
	return 0
}
