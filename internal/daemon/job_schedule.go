package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

const (
	dueMarginMs = 50   // starts wait this much past the due time, for what right clocks differ by
	silentMs    = 5000 // a worker not heard of for this long is shown as silent
	limitMargin = 5000 // ms past a run limit before a queue that trusts it has a silent run resolved
	openAheadMs = 400  // a round is written down this long before it is due
)

// advanceJob does whatever a job's committed state now allows.
func (n *node) advanceJob(sl *ownedShard, js *liveJob) {
	n.respondWaiters(js)
	if js.committed == 0 || !n.leases.Holds(lease.ShardRole(sl.name)) {
		return
	}
	if js.DoneMs != 0 {
		if js.committed >= js.Version && !sl.isDirty(js.ID) && len(js.waiters) == 0 {
			n.retireJob(sl, js)
		}
		return
	}
	if state, ended := js.outcome(); ended {
		n.finishJob(sl, js, state)
		return
	}
	n.advanceRounds(sl, js)
	pass := n.newSchedulePass(js)
	for i := range js.Tasks {
		switch js.Tasks[i].State {
		case taskPlaced:
			n.tickPlacedTask(sl, js, i, &js.runtime[i])
		case taskPending:
			if n.mayStart(js, i, pass) {
				js.trace.Task(i).Ready(n.now)
				n.scheduleTask(sl, js, i, pass)
			}
		}
	}
	n.claimShares(sl, js, pass)
}

// finishJob makes a job's outcome part of its record.
func (n *node) finishJob(sl *ownedShard, js *liveJob, state jobStatus) {
	wall := n.fleetTime()
	if wall == 0 {
		return // how long the job is kept counts from its end: that waits for the fleet's time
	}
	n.markDirty(sl, js)
	js.State, js.DoneMs = state, wall
	if js.trace != nil {
		js.trace.LastEndMs = n.now
	}
	n.count("jobs_" + state.String())
	n.batchEnded(js)
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

func (n *node) newSchedulePass(js *liveJob) *schedulePass {
	pass := &schedulePass{wall: n.fleetTime(), queue: n.config.current.Queues[js.Queue], batch: n.batchOf(&js.jobRecord) != nil}
	for i := range js.Tasks {
		if t := &js.Tasks[i]; t.State == taskPlaced && t.Class == wire.ClassQueueable {
			pass.outstanding++
		}
	}
	return pass
}

// mayStart tells whether a pending task may be placed now: its job runs, its time has
// come, and the steps before it have ended in the committed record.
func (n *node) mayStart(js *liveJob, i int, pass *schedulePass) bool {
	t := &js.Tasks[i]
	if js.State != jobRunning || pass.wall == 0 || pass.queue == nil || n.now < js.runtime[i].retryAtMs {
		return false
	}
	if !n.configFresh() || !n.knowsLimit(js) {
		return false
	}
	if due := js.roundDueMs(t.Round); due != 0 && pass.wall < due+dueMarginMs {
		return false
	}
	if pass.batch && !n.batchMayStart(js, t, pass.wall) {
		return false
	}
	if pass.ready == nil {
		pass.ready = js.readySteps(js.committed)
	}
	return pass.ready[js.stepIndex(t)] && t.ChangedVersion <= js.committed
}

// scheduleTask places a queueable task here, or asks the central scheduler for room.
func (n *node) scheduleTask(sl *ownedShard, js *liveJob, i int, pass *schedulePass) {
	rt := &js.runtime[i]
	if !n.mayTakeShare(js, i, pass.queue) {
		return
	}
	if n.classify(js, &js.Tasks[i]) == wire.ClassQueueable {
		if int64(pass.outstanding) >= pass.queue.Quota {
			return
		}
		if !n.hasShare(sl, js, js.Tasks[i].Resources) {
			pass.addShareWait(js, i)
			return
		}
		n.placeQueueable(sl, js, i, pass)
		return
	}
	if n.now-rt.allocationRequestMs < allocationRetryMs || sl.shares.yields(js, i, n.now) {
		return
	}
	if n.gangMayBegin(js, i) && !n.mayRequest(sl, js, i) {
		pass.addShareWait(js, i)
		return
	}
	if sl.allocationRequests >= allocationsPerTick {
		return
	}
	if rt.allocationRequestMs != 0 { // not the first time
		sl.starvedMs = n.now
	}
	sl.allocationRequests++
	n.requestAllocation(sl, js, i)
}

// placeQueueable places a task at a worker of the local scheduler's choice, if one is fit.
func (n *node) placeQueueable(sl *ownedShard, js *liveJob, i int, pass *schedulePass) {
	worker, candidates := "", 0
	if pass.batch {
		worker = n.selectBatchWorker(sl, js, i)
	} else if worker, candidates = n.selectWorker(sl, js, i, pass); worker == "" {
		sl.starvedMs = n.now
	}
	if worker != "" {
		n.placeTask(sl, js, i, worker, wire.ClassQueueable)
		n.tracePlaced(js, i, candidates)
		pass.outstanding++
		if pass.choice != nil {
			n.placed(pass.choice, worker)
		}
	}
}

// advanceRounds opens the rounds that are due soon, and lets go of those that are over.
func (n *node) advanceRounds(sl *ownedShard, js *liveJob) {
	wall := n.fleetTime()
	if js.Rounds == 0 || js.State != jobRunning || wall == 0 {
		return
	}
	if begun := js.FirstOpenRound; js.dropCompleteRounds(js.committed) {
		dropped := int(js.FirstOpenRound-begun) * int(js.roundSize())
		js.runtime = js.runtime[dropped:]
		js.shiftTrace(dropped)
		n.markDirty(sl, js)
	}
	hasRoom := func() bool { return len(js.Tasks)+int(js.roundSize()) <= roundTasksMax }
	for js.RoundsOpened < js.Rounds && wall >= js.roundDueMs(js.RoundsOpened)-openAheadMs && hasRoom() {
		js.openRound()
		for range js.roundSize() {
			js.runtime = append(js.runtime, taskRuntime{})
		}
		js.shiftTrace(0)
		n.markDirty(sl, js)
		for i := len(js.Tasks) - int(js.roundSize()); i < len(js.Tasks); i++ {
			js.Tasks[i].ChangedVersion = js.Version
		}
	}
}

// tickPlacedTask sends a committed placement, and resolves one whose worker stayed
// silent past a trusted contract.
func (n *node) tickPlacedTask(sl *ownedShard, js *liveJob, i int, rt *taskRuntime) {
	t := &js.Tasks[i]
	w := n.workers[t.Worker]
	if t.ChangedVersion <= js.committed && rt.sentMs == 0 && js.State == jobRunning {
		n.sendPlacement(sl, js, i)
	}
	if w == nil || w.colocated {
		n.tickColocatedTask(sl, js, i, rt, w)
	}
	silent := w == nil && n.now-sl.startMs > silentMs || w != nil && (n.now-w.receivedMs > silentMs || w.silentMs > silentMs)
	if !silent {
		rt.silentSinceMs = 0
		return
	}
	if rt.silentSinceMs == 0 {
		rt.silentSinceMs = n.now
	}
	if q := n.config.current.Queues[js.Queue]; q != nil && q.TrustLimit && n.configFresh() &&
		n.now-rt.silentSinceMs > contactMs+flightMs+t.LimitMs+limitMargin {
		n.count("run_limits_resolved")
		n.resolveAttempt(sl, js, i, wire.ResultLost, 0)
	}
}

// tickColocatedTask resolves a task whose worker's agent has been silent for longer than
// it may hold anything without an owner's word, and begins a gang anew that did
// not come together.
func (n *node) tickColocatedTask(sl *ownedShard, js *liveJob, i int, rt *taskRuntime, w *workerView) {
	t := &js.Tasks[i]
	receivedMs := sl.startMs
	if w != nil {
		receivedMs = max(receivedMs, w.receivedMs)
	}
	if (w != nil || n.allColocated()) && t.ChangedVersion <= js.committed &&
		n.now-receivedMs > ownerSpanMs*(100+driftPercent)/100+lapseMarginMs &&
		n.now-n.wokeMs > frozenMs {
		n.count("lapses_resolved")
		js.Abandoned = append(js.Abandoned, abandonedRun{js.taskID(i), t.Attempt})
		n.resolveAttempt(sl, js, i, wire.ResultLost, 0)
		return
	}
	if !js.Steps[t.Step].Gang || rt.abort || t.IndexInStep != 0 {
		return
	}
	from, to := js.gangRange(i)
	first, whole := int64(0), true
	for k := from; k < to; k++ {
		if r := &js.runtime[k]; r.runningSinceMs != 0 && (first == 0 || r.runningSinceMs < first) {
			first = r.runningSinceMs
		}
		whole = whole && js.runtime[k].runningSinceMs != 0
	}
	if !whole && first != 0 && n.now-first > gangSlackMs {
		n.count("gangs_begun_anew")
		for k := from; k < to; k++ {
			js.runtime[k].abort = true
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
func (js *liveJob) gangComplete(i int) bool {
	from, to := js.gangRange(i)
	for k := from; k < to; k++ {
		if js.Tasks[k].State != taskPlaced || js.Tasks[k].Attempt != js.Tasks[i].Attempt || js.runtime[k].abort {
			return false
		}
	}
	return true
}

// classify gives a task's class: see scheduler.IsGuaranteed.
func (n *node) classify(js *liveJob, t *task) wire.TaskClass {
	class, _ := n.explainClass(js, t)
	return class
}

// explainClass gives a task's class, and why it has that.
func (n *node) explainClass(js *liveJob, t *task) (class wire.TaskClass, reason string) {
	st := &js.Steps[t.Step]
	guaranteed, reason := scheduler.IsGuaranteed(scheduler.TaskFacts{
		Batch: n.batchOf(&js.jobRecord) != nil, Gang: st.Gang, Lasting: st.Lasting,
		Preempts: int64(t.Preempts), EstimateMs: n.knownRunMs(js, t),
	}, n.ThresholdMs)
	if guaranteed {
		return wire.ClassGuaranteed, reason
	}
	return wire.ClassQueueable, reason
}

// knownRunMs is how long a task is expected to run, if its caller guessed or runs of its name
// were seen; 0 where nothing is known.
func (n *node) knownRunMs(js *liveJob, t *task) int64 {
	if js.hasEstimateHint(t) {
		return n.estimateMs(js, t)
	}
	if mean, known := n.estimates.Mean(js.Queue + "/" + t.Name); known {
		return max(int64(mean), 1)
	}
	return 0
}
