package daemon

import (
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

const (
	backoffBaseMs = 500 // backoff after a task's first failure, doubled with each further one
	backoffMaxMs  = 30_000
)

// resolveAttempt applies the result of an attempt to its task, and fails the job if the task may not be
// tried again.
func (n *node) resolveAttempt(shard *ownedShard, job *liveJob, i int, result wire.AttemptResult, ranMs int64) {
	t, rt := &job.Tasks[i], &job.runtime[i]
	step := &job.Steps[t.Step]
	if job.awaitsStepTasks(i, result) {
		n.markDeferred(shard, job)
	} else {
		n.markDirty(shard, job)
	}
	t.ChangedVersion, t.RanMs = job.Version, ranMs
	n.meterBatch(job, t, ranMs)
	n.count("ends_" + result.String())
	if rt.checkpoint != "" {
		t.Checkpoint = rt.checkpoint
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
		job.recordFailureAt(t.Worker, n.now)
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
		n.shareCheckpoint(job, i)
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

// jobAvoidMs is how long the tasks of a job avoid a worker where one of them failed.
const jobAvoidMs = 10_000

// recordFailureAt records the worker where a task of the job failed.
func (j *liveJob) recordFailureAt(worker string, nowMs int64) {
	if j.lastFailureMs == nil {
		j.lastFailureMs = map[string]int64{}
	}
	j.lastFailureMs[worker] = nowMs
}

// failedRecentlyAt reports whether a task of the job failed at a worker within jobAvoidMs.
func (j *liveJob) failedRecentlyAt(worker string, nowMs int64) bool {
	atMs, failed := j.lastFailureMs[worker]
	return failed && nowMs-atMs <= jobAvoidMs
}

// onLastAttempt reports whether one more failure fails the task.
func (t *task) onLastAttempt() bool { return t.Failures > 0 && t.Failures+1 >= t.maxFailures() }

// backoffMs returns how long a task waits after a failure. Some tasks of a large uniform step are expected
// to fail, and a retry uses another worker, so the first retry of such a task is immediate.
func (n *node) backoffMs(step *jobStep, t *task) int64 {
	waitMs := int64(backoffBaseMs) << min(t.Failures-1, 10)
	switch {
	case step.Uniform && t.Failures == 1 && n.Policies.On(scheduler.RetryAtOnce):
		return 0
	case step.Uniform:
		return min(waitMs/4, backoffBaseMs)
	}
	return min(waitMs, backoffMaxMs)
}

// awaitsStepTasks reports whether the end of an attempt allows nothing else to start yet: the attempt
// succeeded, and other tasks of its step have not ended.
func (j *liveJob) awaitsStepTasks(i int, result wire.AttemptResult) bool {
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

// countFailure counts a failed attempt; a gang's attempt is counted once, for all members. It returns
// false if the gang's attempt was counted already.
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

// endGang ends all members of a gang's attempt, after one of them succeeded.
func (n *node) endGang(shard *ownedShard, job *liveJob, i int) {
	from, to := job.gangRange(i)
	for k := from; k < to; k++ {
		if other := &job.Tasks[k]; k != i && other.Attempt == job.Tasks[i].Attempt && other.State != taskEnded {
			other.State, other.Cause, other.ChangedVersion = taskEnded, "", job.Version
			job.runtime[k] = taskRuntime{}
			shard.updatePlacedIndex(job, k)
			shard.holdUntilListed(job, k, n.now)
		}
	}
}

// shareCheckpoint copies one member's newest checkpoint to all members of its gang, since they must
// resume from the same one.
func (n *node) shareCheckpoint(job *liveJob, i int) {
	from, to := job.gangRange(i)
	saved := job.Tasks[i].Checkpoint
	for k := from; k < to; k++ {
		job.Tasks[k].Checkpoint = saved
	}
}
