package daemon

import (
	"slices"

	"otterchute/internal/jobtrace"
	"otterchute/internal/wire"
)

// An owner traces each of its jobs through its stages, see package jobtrace. The stages that passed under a previous
// owner are unknown, and the trace indicates that.

// endedAttempt is an attempt whose end was reported and is not committed yet.
type endedAttempt struct {
	status     wire.AttemptStatus
	version    int64 // version of the job's record that first contains the end
	receivedMs int64
	sentMs     int64 // when the agent sent the report, by its clock
	agent      string
	worker     string
	agentEpoch uint64
}

// awaitCommit keeps an attempt's end, to acknowledge it to its agent once the given version of the record is
// committed.
func (j *liveJob) awaitCommit(m *wire.AgentReport, end wire.AttemptStatus, version, nowMs int64) {
	if slices.ContainsFunc(j.uncommittedEnds, func(e endedAttempt) bool { return e.status.Key == end.Key }) {
		return
	}
	j.uncommittedEnds = append(j.uncommittedEnds, endedAttempt{
		status: end, version: version, receivedMs: nowMs, sentMs: m.SentMs,
		agent: m.Agent, worker: m.Worker, agentEpoch: m.Epoch,
	})
}

// observeStage records how long a task or job was in a stage.
func (n *node) observeStage(job *liveJob, class wire.TaskClass, stage jobtrace.Stage, ms int64) {
	n.stages.Observe(jobtrace.Key{Queue: n.config.current.QueueName(job.Queue), Class: class.String(), Stage: stage}, ms)
}

// jobClass returns the class under which stages of the whole job are recorded: that of the first task.
func (j *liveJob) jobClass() wire.TaskClass {
	if len(j.Tasks) == 0 {
		return wire.ClassQueueable
	}
	return j.Tasks[0].Class
}

// traceAdmitted begins the trace of a job that arrived at arrivedMs and is admitted now.
func (n *node) traceAdmitted(shard *ownedShard, job *liveJob, arrivedMs int64) {
	job.trace = jobtrace.NewJob(len(job.Tasks), shard.epoch)
	job.trace.AcceptedMs, job.trace.AdmittedMs = arrivedMs, n.now
	class := wire.ClassQueueable
	if len(job.Tasks) > 0 {
		class = n.classify(job, &job.Tasks[0])
	}
	n.observeStage(job, class, jobtrace.Admit, n.now-arrivedMs)
}

// tracePlaced records that a task was placed, and how many candidates there were.
func (n *node) tracePlaced(job *liveJob, i, candidates int) {
	tookMs := job.trace.Task(i).Placed(n.now, candidates)
	n.observeStage(job, job.Tasks[i].Class, jobtrace.Place, tookMs)
}

// traceSent records that a placement was sent to the agent.
func (n *node) traceSent(job *liveJob, i int) {
	if tookMs, first := job.trace.Task(i).Sent(n.now); first {
		n.observeStage(job, job.Tasks[i].Class, jobtrace.CommitPlacement, tookMs)
	}
}

// traceEnded records the stages of an attempt whose end was reported. The end is part of the next version of the
// job's record.
func (n *node) traceEnded(job *liveJob, i int, status wire.AttemptStatus) {
	class := job.Tasks[i].Class
	if transitMs, known := job.trace.Task(i).Ended(n.now, status.QueueMs, status.StartMs, status.RanMs); known {
		n.observeStage(job, class, jobtrace.Transit, transitMs)
	}
	n.observeStage(job, class, jobtrace.Queue, status.QueueMs)
	n.observeStage(job, class, jobtrace.Start, status.StartMs)
	n.observeStage(job, class, jobtrace.Run, status.RanMs)
}

// traceCommitted records that a version of a job's record is committed, and returns the attempts whose ends this
// version commits and no earlier one did.
func (n *node) traceCommitted(job *liveJob, version int64) (committed []endedAttempt) {
	if job.committed == 0 && job.trace != nil && job.trace.AdmittedMs != 0 {
		job.trace.CommittedMs = n.now
		n.observeStage(job, job.jobClass(), jobtrace.Commit, n.now-job.trace.AdmittedMs)
	}
	kept := job.uncommittedEnds[:0]
	for _, e := range job.uncommittedEnds {
		if e.version > version {
			kept = append(kept, e)
			continue
		}
		n.observeStage(job, e.status.Class, jobtrace.CommitEnd, n.now-e.receivedMs)
		committed = append(committed, e)
	}
	job.uncommittedEnds = kept
	return committed
}

// traceOutcome completes the trace of a job whose outcome is committed, and keeps it with those of finished jobs.
func (n *node) traceOutcome(shard *ownedShard, job *liveJob) {
	trace := job.trace
	if trace == nil {
		return
	}
	trace.ConcludedMs = n.now
	if trace.LastEndMs != 0 {
		n.observeStage(job, job.jobClass(), jobtrace.Conclude, n.now-trace.LastEndMs)
	}
	if trace.AcceptedMs != 0 {
		n.observeStage(job, job.jobClass(), jobtrace.Total, n.now-trace.AcceptedMs)
	}
	shard.finishedTraces.Add(job.ID, trace)
}

// shiftTrace adapts the trace to the job's tasks after the given number of them was dropped at the front.
func (j *liveJob) shiftTrace(dropped int) {
	if j.trace != nil {
		j.trace.Shift(dropped, len(j.Tasks))
	}
}
