package daemon

import (
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

const (
	backoffBaseMs = 500    // base wait of a failing task's next attempt, doubled each time
	backoffMaxMs  = 30_000 // ms; the longest such wait
)

// resolveAttempt applies how an attempt ended to its task.
func (n *node) resolveAttempt(shard *ownedShard, job *liveJob, i int, result wire.AttemptResult, ranMs int64) {
	t, rt := &job.Tasks[i], &job.runtime[i]
	step := &job.Steps[t.Step]
	if job.awaitsOthers(i, result) {
		n.markDeferred(shard, job)
	} else {
		n.markDirty(shard, job)
	}
	t.ChangedVersion, t.RanMs = job.Version, ranMs
	n.meterBatch(job, t, ranMs)
	n.count("ends_" + result.String())
	if rt.saved != "" {
		t.Checkpoint = rt.saved
	}
	*rt = taskRuntime{}
	defer shard.updatePlacedIndex(job, i)
	switch result {
	case wire.ResultOK:
		n.recordRunTime(job, t, ranMs)
		if step.LongRunning {
			rt.retryAtMs = n.now + backoffBaseMs/2
			break
		}
		t.State, t.Cause = taskEnded, ""
		if step.Gang {
			n.endGang(shard, job, i)
		}
		return
	case wire.ResultFailed, wire.ResultOverrun:
		t.LastFailedWorker, t.Cause = t.Worker, result.String()
		job.noteFailureAt(t.Worker, n.now)
		if !n.countFailure(job, i) {
			break
		}
		rt.retryAtMs = n.now + n.backoffMs(step, t)
	case wire.ResultPreempted:
		t.Preemptions++
		rt.retryAtMs = n.batchRetryAtMs(job)
	case wire.ResultStalled, wire.ResultLost:
		t.LastFailedWorker = t.Worker
	case wire.ResultShed, wire.ResultRejected:
		rt.retryAtMs = n.now + 20 + n.rand().Int64N(100)
	}
	if step.Gang && job.Steps[t.Step].Checkpointing {
		n.shareSaved(job, i)
	}
	switch {
	case t.Failures >= t.maxFailures() && !step.LongRunning:
		t.State = taskFailed
		if job.State == jobRunning {
			job.State = jobFailed
			n.log("job_failing", "job", job.ID, "task", t.Name, "cause", t.Cause, "failures", t.Failures)
			n.cancelTasks(shard, job)
		}
	case job.State != jobRunning:
		t.State = taskCancelled
	default:
		t.State = taskPending
	}
}

// jobAvoidMs is how long tasks of a job rather go elsewhere than where one of them failed.
const jobAvoidMs = 10_000

// noteFailureAt notes where a task of the job failed.
func (j *liveJob) noteFailureAt(worker string, nowMs int64) {
	if j.failedAt == nil {
		j.failedAt = map[string]int64{}
	}
	j.failedAt[worker] = nowMs
}

// failedLatelyAt tells whether a task of the job failed at a worker lately.
func (j *liveJob) failedLatelyAt(worker string, nowMs int64) bool {
	atMs, failed := j.failedAt[worker]
	return failed && nowMs-atMs <= jobAvoidMs
}

// onLastAttempt tells whether a task may fail no more.
func (t *task) onLastAttempt() bool { return t.Failures > 0 && t.Failures+1 >= t.maxFailures() }

// backoffMs is how long a task waits after a failure. Of many tasks alike some fail, and the
// next try is elsewhere: the first one comes at once.
func (n *node) backoffMs(step *jobStep, t *task) int64 {
	wait := int64(backoffBaseMs) << min(t.Failures-1, 10)
	switch {
	case step.Uniform && t.Failures == 1 && n.Policies.On(scheduler.RetryAtOnce):
		return 0
	case step.Uniform:
		return min(wait/4, backoffBaseMs)
	}
	return min(wait, backoffMaxMs)
}

// awaitsOthers tells whether nothing follows from the end of an attempt yet: it ended well,
// and other tasks of its step still run.
func (j *liveJob) awaitsOthers(i int, result wire.AttemptResult) bool {
	t := &j.Tasks[i]
	step := &j.Steps[t.Step]
	if result != wire.ResultOK || step.Gang || step.LongRunning || j.State != jobRunning {
		return false
	}
	from, to := j.gangRange(i)
	for k := from; k < to; k++ {
		if k != i && !j.Tasks[k].isTerminal() {
			return true
		}
	}
	return false
}

// countFailure counts a failed run, a gang's once for all its members.
func (n *node) countFailure(job *liveJob, i int) bool {
	t := &job.Tasks[i]
	if !job.Steps[t.Step].Gang {
		t.Failures++
		t.FailedAttempt = t.Attempt
		return true
	}
	if t.FailedAttempt == t.Attempt {
		return false
	}
	from, to := job.gangRange(i)
	for k := from; k < to; k++ {
		job.Tasks[k].Failures++
		job.Tasks[k].FailedAttempt = t.Attempt
	}
	return true
}

// endGang takes one member's good end for all of its run.
func (n *node) endGang(shard *ownedShard, job *liveJob, i int) {
	from, to := job.gangRange(i)
	for k := from; k < to; k++ {
		if o := &job.Tasks[k]; k != i && o.Attempt == job.Tasks[i].Attempt && o.State != taskEnded {
			o.State, o.Cause, o.ChangedVersion = taskEnded, "", job.Version
			job.runtime[k] = taskRuntime{}
			shard.updatePlacedIndex(job, k)
			shard.holdUntilListed(job, k, n.now)
		}
	}
}

// shareSaved gives all members of a gang the newest saved text of one of them:
// they must go on from the same.
func (n *node) shareSaved(job *liveJob, i int) {
	from, to := job.gangRange(i)
	saved := job.Tasks[i].Checkpoint
	for k := from; k < to; k++ {
		job.Tasks[k].Checkpoint = saved
	}
}
