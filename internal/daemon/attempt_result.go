package daemon

import (
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

const (
	backoffMs  = 500    // base wait of a failing task's next attempt, doubled each time
	backoffMax = 30_000 // ms; the longest such wait
)

// resolveAttempt applies how an attempt ended to its task.
func (n *node) resolveAttempt(sl *ownedShard, js *liveJob, i int, result wire.AttemptResult, ranMs int64) {
	t, rt := &js.Tasks[i], &js.runtime[i]
	st := &js.Steps[t.Step]
	if js.awaitsOthers(i, result) {
		n.markDeferred(sl, js)
	} else {
		n.markDirty(sl, js)
	}
	t.ChangedVersion, t.RanMs = js.Version, ranMs
	n.meterBatch(js, t, ranMs)
	n.count("ends_" + result.String())
	if rt.saved != "" {
		t.Saved = rt.saved
	}
	*rt = taskRuntime{}
	defer sl.updatePlacedIndex(js, i)
	switch result {
	case wire.ResultOK:
		n.recordRunTime(js, t, ranMs)
		if st.Lasting {
			rt.retryAtMs = n.now + backoffMs/2
			break
		}
		t.State, t.Cause = taskEnded, ""
		if st.Gang {
			n.endGang(sl, js, i)
		}
		return
	case wire.ResultFailed, wire.ResultOverrun:
		t.LastFailedWorker, t.Cause = t.Worker, result.String()
		js.noteFailureAt(t.Worker, n.now)
		if !n.countFailure(js, i) {
			break
		}
		rt.retryAtMs = n.now + n.backoffOf(st, t)
	case wire.ResultPreempted:
		t.Preempts++
		rt.retryAtMs = n.batchBack(js)
	case wire.ResultStalled, wire.ResultLost:
		t.LastFailedWorker = t.Worker
	case wire.ResultShed, wire.ResultRejected:
		rt.retryAtMs = n.now + 20 + n.rand().Int64N(100)
	}
	if st.Gang && js.Steps[t.Step].Saves {
		n.shareSaved(js, i)
	}
	switch {
	case t.Failures >= t.maxFailures() && !st.Lasting:
		t.State = taskFailed
		if js.State == jobRunning {
			js.State = jobFailed
			n.log("job_failing", "job", js.ID, "task", t.Name, "cause", t.Cause, "failures", t.Failures)
			n.cancelTasks(sl, js)
		}
	case js.State != jobRunning:
		t.State = taskCancelled
	default:
		t.State = taskPending
	}
}

// jobAvoidMs is how long tasks of a job rather go elsewhere than where one of them failed.
const jobAvoidMs = 10_000

// noteFailureAt notes where a task of the job failed.
func (js *liveJob) noteFailureAt(worker string, nowMs int64) {
	if js.failedAt == nil {
		js.failedAt = map[string]int64{}
	}
	js.failedAt[worker] = nowMs
}

// failedLatelyAt tells whether a task of the job failed at a worker lately.
func (js *liveJob) failedLatelyAt(worker string, nowMs int64) bool {
	atMs, failed := js.failedAt[worker]
	return failed && nowMs-atMs <= jobAvoidMs
}

// onLastAttempt tells whether a task may fail no more.
func (t *task) onLastAttempt() bool { return t.Failures > 0 && t.Failures+1 >= t.maxFailures() }

// backoffOf is how long a task waits after a failure. Of many tasks alike some fail, and the
// next try is elsewhere: the first one comes at once.
func (n *node) backoffOf(st *jobStep, t *task) int64 {
	wait := int64(backoffMs) << min(t.Failures-1, 10)
	switch {
	case st.Uniform && t.Failures == 1 && n.Policies.On(scheduler.RetryAtOnce):
		return 0
	case st.Uniform:
		return min(wait/4, backoffMs)
	}
	return min(wait, backoffMax)
}

// awaitsOthers tells whether nothing follows from the end of an attempt yet: it ended well,
// and other tasks of its step still run.
func (js *liveJob) awaitsOthers(i int, result wire.AttemptResult) bool {
	t := &js.Tasks[i]
	st := &js.Steps[t.Step]
	if result != wire.ResultOK || st.Gang || st.Lasting || js.State != jobRunning {
		return false
	}
	from, to := js.gangRange(i)
	for k := from; k < to; k++ {
		if k != i && !js.Tasks[k].isTerminal() {
			return true
		}
	}
	return false
}

// countFailure counts a failed run, a gang's once for all its members.
func (n *node) countFailure(js *liveJob, i int) bool {
	t := &js.Tasks[i]
	if !js.Steps[t.Step].Gang {
		t.Failures++
		t.FailedAttempt = t.Attempt
		return true
	}
	if t.FailedAttempt == t.Attempt {
		return false
	}
	from, to := js.gangRange(i)
	for k := from; k < to; k++ {
		js.Tasks[k].Failures++
		js.Tasks[k].FailedAttempt = t.Attempt
	}
	return true
}

// endGang takes one member's good end for all of its run.
func (n *node) endGang(sl *ownedShard, js *liveJob, i int) {
	from, to := js.gangRange(i)
	for k := from; k < to; k++ {
		if o := &js.Tasks[k]; k != i && o.Attempt == js.Tasks[i].Attempt && o.State != taskEnded {
			o.State, o.Cause, o.ChangedVersion = taskEnded, "", js.Version
			js.runtime[k] = taskRuntime{}
			sl.updatePlacedIndex(js, k)
			sl.holdUntilListed(js, k, n.now)
		}
	}
}

// shareSaved gives all members of a gang the newest saved text of one of them:
// they must go on from the same.
func (n *node) shareSaved(js *liveJob, i int) {
	from, to := js.gangRange(i)
	saved := js.Tasks[i].Saved
	for k := from; k < to; k++ {
		js.Tasks[k].Saved = saved
	}
}
