package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

const (
	dueMarginMs    = 50   // starts wait this much past the due time, for what right clocks differ by
	workerSilentMs = 5000 // a worker not heard of for this long is shown as silent
	limitMarginMs  = 5000 // ms past a run limit before a queue that trusts it has a silent run resolved
	openAheadMs    = 400  // a round is written down this long before it is due
)

// advanceJob does whatever a job's committed state now allows.
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

// finishJob makes a job's outcome part of its record.
func (n *node) finishJob(shard *ownedShard, job *liveJob, state jobStatus) {
	wall := n.fleetTime()
	if wall == 0 {
		return // how long the job is kept counts from its end: that waits for the fleet's time
	}
	n.markDirty(shard, job)
	job.State, job.DoneMs = state, wall
	if job.trace != nil {
		job.trace.LastEndMs = n.now
	}
	n.count("jobs_" + state.String())
	n.recordBatchEnd(job)
}

// schedulePass is what one pass over a job's tasks goes by.
type schedulePass struct {
	wall        int64 // the fleet's time, in ms; 0 while it isn't known
	queue       *configuration.Queue
	batch       bool
	outstanding int    // queueable tasks that are placed
	ready       []bool // by step; filled when it is first needed
	choice      *workerChoice
	shareWaits  map[int]shareWait // by readySteps' index: what waits only for a share
}

func (n *node) newSchedulePass(job *liveJob) *schedulePass {
	pass := &schedulePass{wall: n.fleetTime(), queue: n.config.current.Queues[job.Queue],
		batch: n.batchRules(&job.jobRecord) != nil}
	for i := range job.Tasks {
		if t := &job.Tasks[i]; t.State == taskPlaced && t.Class == wire.ClassQueueable {
			pass.outstanding++
		}
	}
	return pass
}

// mayStart tells whether a pending task may be placed now: its job runs, its time has
// come, and the steps before it have ended in the committed record.
func (n *node) mayStart(job *liveJob, i int, pass *schedulePass) bool {
	t := &job.Tasks[i]
	if job.State != jobRunning || pass.wall == 0 || pass.queue == nil || n.now < job.runtime[i].retryAtMs {
		return false
	}
	if !n.configFresh() || !n.knowsLimit(job) {
		return false
	}
	if due := job.roundDueMs(t.Round); due != 0 && pass.wall < due+dueMarginMs {
		return false
	}
	if pass.batch && !n.batchMayStart(job, t, pass.wall) {
		return false
	}
	if pass.ready == nil {
		pass.ready = job.readySteps(job.committed)
	}
	return pass.ready[job.stepIndex(t)] && t.ChangedVersion <= job.committed
}

// scheduleTask places a queueable task here, or asks the central scheduler for room.
func (n *node) scheduleTask(shard *ownedShard, job *liveJob, i int, pass *schedulePass) {
	rt := &job.runtime[i]
	if !n.mayTakeShare(job, i, pass.queue) {
		return
	}
	if n.classify(job, &job.Tasks[i]) == wire.ClassQueueable {
		if int64(pass.outstanding) >= pass.queue.Quota {
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
	if rt.allocationRequestMs != 0 { // not the first time
		shard.starvedMs = n.now
	}
	shard.allocationRequests++
	n.requestAllocation(shard, job, i)
}

// placeQueueable places a task at a worker of the local scheduler's choice, if one is fit.
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
		pass.outstanding++
		if pass.choice != nil {
			n.recordPlacement(pass.choice, worker)
		}
	}
}

// advanceRounds opens the rounds that are due soon, and lets go of those that are over.
func (n *node) advanceRounds(shard *ownedShard, job *liveJob) {
	wall := n.fleetTime()
	if job.Rounds == 0 || job.State != jobRunning || wall == 0 {
		return
	}
	if begun := job.FirstOpenRound; job.dropCompleteRounds(job.committed) {
		dropped := int(job.FirstOpenRound-begun) * int(job.roundSize())
		job.runtime = job.runtime[dropped:]
		job.shiftTrace(dropped)
		n.markDirty(shard, job)
	}
	hasRoom := func() bool { return len(job.Tasks)+int(job.roundSize()) <= roundTasksMax }
	for job.RoundsOpened < job.Rounds && wall >= job.roundDueMs(job.RoundsOpened)-openAheadMs && hasRoom() {
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

// tickPlacedTask sends a committed placement, and resolves one whose worker stayed
// silent past a trusted contract.
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
	if q := n.config.current.Queues[job.Queue]; q != nil && q.TrustRunLimit && n.configFresh() &&
		n.now-rt.silentSinceMs > ownerContactMs+orderTimeoutMs+t.LimitMs+limitMarginMs {
		n.count("run_limits_resolved")
		n.resolveAttempt(shard, job, i, wire.ResultLost, 0)
	}
}

// tickColocatedTask resolves a task whose worker's agent has been silent for longer than
// it may hold anything without an owner's word, and begins a gang anew that did
// not come together.
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
		job.Abandoned = append(job.Abandoned, abandonedRun{job.taskID(i), t.Attempt})
		n.resolveAttempt(shard, job, i, wire.ResultLost, 0)
		return
	}
	if !job.Steps[t.Step].Gang || rt.abort || t.IndexInStep != 0 {
		return
	}
	from, to := job.gangRange(i)
	first, whole := int64(0), true
	for k := from; k < to; k++ {
		if r := &job.runtime[k]; r.runningSinceMs != 0 && (first == 0 || r.runningSinceMs < first) {
			first = r.runningSinceMs
		}
		whole = whole && job.runtime[k].runningSinceMs != 0
	}
	if !whole && first != 0 && n.now-first > gangStartTimeoutMs {
		n.count("gangs_begun_anew")
		for k := from; k < to; k++ {
			job.runtime[k].abort = true
		}
	}
}

// allColocated tells whether every worker heard of has its agent beside it.
func (n *node) allColocated() bool {
	for _, w := range n.workers {
		if !w.colocated {
			return false
		}
	}
	return len(n.workers) > 0
}

// gangComplete tells whether all of a task's gang is placed in one run.
func (j *liveJob) gangComplete(i int) bool {
	from, to := j.gangRange(i)
	for k := from; k < to; k++ {
		if j.Tasks[k].State != taskPlaced || j.Tasks[k].Attempt != j.Tasks[i].Attempt || j.runtime[k].abort {
			return false
		}
	}
	return true
}

// classify gives a task's class: see scheduler.IsGuaranteed.
func (n *node) classify(job *liveJob, t *task) wire.TaskClass {
	class, _ := n.explainClass(job, t)
	return class
}

// explainClass gives a task's class, and why it has that.
func (n *node) explainClass(job *liveJob, t *task) (class wire.TaskClass, reason string) {
	step := &job.Steps[t.Step]
	guaranteed, reason := scheduler.IsGuaranteed(scheduler.TaskFacts{
		Batch: n.batchRules(&job.jobRecord) != nil, Gang: step.Gang, Lasting: step.LongRunning,
		Preemptions: int64(t.Preemptions), EstimateMs: n.knownRunMs(job, t),
	}, n.ThresholdMs)
	if guaranteed {
		return wire.ClassGuaranteed, reason
	}
	return wire.ClassQueueable, reason
}

// knownRunMs is how long a task is expected to run, if its caller guessed or runs of its name
// were seen; 0 where nothing is known.
func (n *node) knownRunMs(job *liveJob, t *task) int64 {
	if job.hasEstimateHint(t) {
		return n.estimateMs(job, t)
	}
	if mean, known := n.estimates.Mean(job.Queue + "/" + t.Name); known {
		return max(int64(mean), 1)
	}
	return 0
}
