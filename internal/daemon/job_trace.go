package daemon

import (
	"slices"

	"otterchute/internal/jobtrace"
	"otterchute/internal/wire"
)

// An owner follows each of its jobs through its stages: see package jobtrace. What came
// about at a former owner it doesn't know, and says so.

// endedAttempt is an end that a report told and that is not committed yet.
type endedAttempt struct {
	status     wire.AttemptStatus
	version    int64 // of the job's record that has the end
	heardMs    int64
	sentMs     int64 // by the agent's clock, when it told
	agent      string
	worker     string
	agentEpoch uint64
}

// awaitCommit has an end acknowledged to its agent once a version of the record is at a quorum.
func (js *liveJob) awaitCommit(m *wire.AgentReport, h wire.AttemptStatus, version, nowMs int64) {
	if slices.ContainsFunc(js.ended, func(e endedAttempt) bool { return e.status.Key == h.Key }) {
		return
	}
	js.ended = append(js.ended, endedAttempt{
		status: h, version: version, heardMs: nowMs, sentMs: m.SentMs,
		agent: m.Agent, worker: m.Worker, agentEpoch: m.Epoch,
	})
}

// observeStage counts how long a task or job was in a stage.
func (n *node) observeStage(js *liveJob, class wire.TaskClass, stage jobtrace.Stage, ms int64) {
	n.stages.Observe(jobtrace.Key{Queue: js.Queue, Class: class.String(), Stage: stage}, ms)
}

// jobClass is the class that stages of whole jobs are counted under: that of the first task.
func (js *liveJob) jobClass() wire.TaskClass {
	if len(js.Tasks) == 0 {
		return wire.ClassQueueable
	}
	return js.Tasks[0].Class
}

// traceAdmitted begins to follow a job that arrived at a time and was let in now.
func (n *node) traceAdmitted(sl *ownedShard, js *liveJob, arrivedMs int64) {
	js.trace = jobtrace.NewJob(len(js.Tasks), sl.epoch)
	js.trace.AcceptedMs, js.trace.AdmittedMs = arrivedMs, n.now
	class := wire.ClassQueueable
	if len(js.Tasks) > 0 {
		class = n.classify(js, &js.Tasks[0])
	}
	n.observeStage(js, class, jobtrace.Admit, n.now-arrivedMs)
}

// tracePlaced notes that a task was placed among so many candidates.
func (n *node) tracePlaced(js *liveJob, i, candidates int) {
	tookMs := js.trace.Task(i).Placed(n.now, candidates)
	n.observeStage(js, js.Tasks[i].Class, jobtrace.Place, tookMs)
}

// traceSent notes that a placement was sent.
func (n *node) traceSent(js *liveJob, i int) {
	if tookMs, first := js.trace.Task(i).Sent(n.now); first {
		n.observeStage(js, js.Tasks[i].Class, jobtrace.CommitPlacement, tookMs)
	}
}

// traceEnded notes that a report tells the end of an attempt; the job's record has it
// with its next version.
func (n *node) traceEnded(js *liveJob, i int, h wire.AttemptStatus) {
	class := js.Tasks[i].Class
	if transitMs, known := js.trace.Task(i).Ended(n.now, h.QueueMs, h.StartMs, h.RanMs); known {
		n.observeStage(js, class, jobtrace.Transit, transitMs)
	}
	n.observeStage(js, class, jobtrace.Queue, h.QueueMs)
	n.observeStage(js, class, jobtrace.Start, h.StartMs)
	n.observeStage(js, class, jobtrace.Run, h.RanMs)
}

// traceCommitted notes that a version of a job's record is at a quorum, and gives the ends
// that it has.
func (n *node) traceCommitted(js *liveJob, version int64) (committed []endedAttempt) {
	if js.committed == 0 && js.trace != nil && js.trace.AdmittedMs != 0 {
		js.trace.CommittedMs = n.now
		n.observeStage(js, js.jobClass(), jobtrace.Commit, n.now-js.trace.AdmittedMs)
	}
	kept := js.ended[:0]
	for _, e := range js.ended {
		if e.version > version {
			kept = append(kept, e)
			continue
		}
		n.observeStage(js, e.status.Class, jobtrace.CommitEnd, n.now-e.heardMs)
		committed = append(committed, e)
	}
	js.ended = kept
	return committed
}

// traceOutcome keeps the trace of a job whose outcome is at a quorum.
func (n *node) traceOutcome(sl *ownedShard, js *liveJob) {
	trace := js.trace
	if trace == nil {
		return
	}
	trace.ConcludedMs = n.now
	if trace.LastEndMs != 0 {
		n.observeStage(js, js.jobClass(), jobtrace.Conclude, n.now-trace.LastEndMs)
	}
	if trace.AcceptedMs != 0 {
		n.observeStage(js, js.jobClass(), jobtrace.Total, n.now-trace.AcceptedMs)
	}
	sl.finishedTraces.Add(js.ID, trace)
}

// shiftTrace keeps the trace in line with the tasks that are held.
func (js *liveJob) shiftTrace(dropped int) {
	if js.trace != nil {
		js.trace.Shift(dropped, len(js.Tasks))
	}
}
