package daemon

import (
	"otterchute/internal/jobtrace"
	"otterchute/internal/wire"
)

// jobTimeline answers `otterchute job explain`: where a job's time went, as far as its
// owner saw it.
type jobTimeline struct {
	ID      string           `json:"id"`
	Queue   string           `json:"queue"`
	State   string           `json:"state"`
	Shard   string           `json:"slice"`
	Owner   string           `json:"owner"`
	Epoch   uint64           `json:"epoch"`
	Since   string           `json:"since"` // from when on the stages are known
	StageMs map[string]int64 `json:"stages_ms"`
	Tasks   []taskTimeline   `json:"tasks"`
}

// taskTimeline is the way of one task's last attempt.
type taskTimeline struct {
	Step       string           `json:"step"`
	Index      int32            `json:"index"`
	Round      int32            `json:"round"`
	State      string           `json:"state"`
	Attempt    int32            `json:"attempt"`
	Class      string           `json:"class"`
	ClassWhy   string           `json:"class_why,omitempty"`
	Worker     string           `json:"worker,omitempty"`
	Candidates int32            `json:"candidates,omitempty"`
	Waits      string           `json:"waits,omitempty"`
	StageMs    map[string]int64 `json:"stages_ms"`
}

// What a timeline says of how much of a job its owner saw.
const (
	seenWhole    = "it came to this owner, all stages are known"
	seenTakeover = "this owner took the shard over meanwhile: what came before is not known"
	seenNothing  = "it is over and its stages are not kept any more, or ended at a former owner"
)

// handleExplain tells where a job's time went. A job whose record alone is left has no
// stages any more, and the answer says so.
func (n *node) handleExplain(shard *ownedShard, req *request) {
	job := shard.jobs[req.key]
	if job == nil {
		if j := shard.finished[req.key]; j != nil {
			job = &liveJob{jobRecord: *j, runtime: make([]taskRuntime, len(j.Tasks)), trace: shard.finishedTraces.Get(req.key)}
		}
	}
	if job == nil {
		n.handleGet(shard, req) // unknown, or known from its record alone
		return
	}
	n.respond(req, 200, 0, mustJSON(n.timelineOf(shard, job)))
}

func (n *node) timelineOf(shard *ownedShard, job *liveJob) jobTimeline {
	out := jobTimeline{
		ID: job.ID, Queue: job.Queue, State: job.state(), Shard: shard.name, Owner: n.Name, Epoch: shard.epoch,
		Since: seenNothing, StageMs: map[string]int64{}, Tasks: []taskTimeline{},
	}
	if trace := job.trace; trace != nil {
		out.Epoch, out.Since = trace.Epoch, seenWhole
		if trace.LoadedMs != 0 {
			out.Since = seenTakeover
		}
		putStage(out.StageMs, jobtrace.Admit, trace.AcceptedMs, trace.AdmittedMs)
		putStage(out.StageMs, jobtrace.Commit, trace.AdmittedMs, trace.CommittedMs)
		putStage(out.StageMs, jobtrace.Conclude, trace.LastEndMs, trace.ConcludedMs)
		putStage(out.StageMs, jobtrace.Total, trace.AcceptedMs, trace.ConcludedMs)
	}
	for i := range job.Tasks {
		out.Tasks = append(out.Tasks, n.taskTimelineOf(job, i))
	}
	return out
}

func (n *node) taskTimelineOf(job *liveJob, i int) taskTimeline {
	t, trace := &job.Tasks[i], job.trace.Task(i)
	out := taskTimeline{
		Step: job.Steps[t.Step].Name, Index: t.IndexInStep, Round: t.Round, State: t.State.String(), Attempt: t.Attempt,
		Class: t.Class.String(), Worker: t.Worker, Candidates: trace.Candidates, StageMs: map[string]int64{},
	}
	if job.DoneMs == 0 {
		var class wire.TaskClass
		class, out.ClassWhy = n.explainClass(job, t)
		if t.State == taskPending {
			out.Class = class.String()
		}
		out.Waits = n.explainWait(job, t)
	}
	placedMs := trace.PlacedMs
	if t.State == taskPending && trace.ReadyMs != 0 { // it waits to be placed, for the first time or again
		placedMs = n.now
	}
	putStage(out.StageMs, jobtrace.Place, trace.ReadyMs, placedMs)
	putStage(out.StageMs, jobtrace.CommitPlacement, trace.PlacedMs, trace.SentMs)
	if trace.EndedMs != 0 {
		out.StageMs[jobtrace.Queue.String()] = trace.QueueMs
		out.StageMs[jobtrace.Start.String()] = trace.StartMs
		out.StageMs[jobtrace.Run.String()] = trace.RunMs
		if trace.SentMs != 0 {
			out.StageMs[jobtrace.Transit.String()] = max(
				trace.EndedMs-trace.SentMs-trace.QueueMs-trace.StartMs-trace.RunMs, 0)
		}
	}
	return out
}

// putStage puts in how long a stage took, where its beginning and its end are known.
func putStage(stages map[string]int64, stage jobtrace.Stage, fromMs, toMs int64) {
	if fromMs != 0 && toMs >= fromMs {
		stages[stage.String()] = toMs - fromMs
	}
}
