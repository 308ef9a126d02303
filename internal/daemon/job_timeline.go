package daemon

import (
	"otterchute/internal/jobtrace"
	"otterchute/internal/wire"
)

// jobTimeline is the reply to `otterchute job explain`: the time that a job spent in each stage,
// as far as its current owner observed it.
type jobTimeline struct {
	ID         string           `json:"id"`
	Queue      string           `json:"queue"`
	State      string           `json:"state"`
	Shard      string           `json:"slice"`
	Owner      string           `json:"owner"`
	Epoch      uint64           `json:"epoch"`
	KnownSince string           `json:"since"` // how much of the job the owner observed: a constant below
	StageMs    map[string]int64 `json:"stages_ms"`
	Tasks      []taskTimeline   `json:"tasks"`
}

// taskTimeline is the time that a task's last attempt spent in each stage.
type taskTimeline struct {
	Step        string           `json:"step"`
	Index       int32            `json:"index"`
	Round       int32            `json:"round"`
	State       string           `json:"state"`
	Attempt     int32            `json:"attempt"` // number of the task's last attempt
	Class       string           `json:"class"`
	ClassReason string           `json:"class_why,omitempty"`
	Worker      string           `json:"worker,omitempty"`
	Candidates  int32            `json:"candidates,omitempty"` // workers to choose among at the placement
	WaitReason  string           `json:"waits,omitempty"`      // why it does not run yet
	StageMs     map[string]int64 `json:"stages_ms"`
}

// Values of jobTimeline.KnownSince: how much of the job its owner observed.
const (
	sinceAccepted = "it came to this owner, all stages are known"
	sinceTakeover = "this owner took the shard over meanwhile: what came before is not known"
	sinceUnknown  = "it is over and its stages are not kept any more, or ended at a former owner"
)

// handleExplain replies with a job's timeline. If only the record of a finished job is left, the reply
// states that its stages are unknown.
func (n *node) handleExplain(shard *ownedShard, req *request) {
	job := shard.jobs[req.key]
	if job == nil {
		if record := shard.finished[req.key]; record != nil {
			job = &liveJob{
				jobRecord: *record,
				runtime:   make([]taskRuntime, len(record.Tasks)),
				trace:     shard.finishedTraces.Get(req.key),
			}
		}
	}
	if job == nil {
		n.handleGet(shard, req) // replies that the job is unknown, or from its record
		return
	}
	n.respond(req, 200, 0, mustJSON(n.timelineOf(shard, job)))
}

// timelineOf returns the timeline of a job in a shard that this daemon owns.
func (n *node) timelineOf(shard *ownedShard, job *liveJob) jobTimeline {
	timeline := jobTimeline{
		ID: job.ID, Queue: n.config.current.QueueName(job.Queue), State: job.state(),
		Shard: shard.name, Owner: n.Name, Epoch: shard.epoch,
		KnownSince: sinceUnknown, StageMs: map[string]int64{}, Tasks: []taskTimeline{},
	}
	if trace := job.trace; trace != nil {
		timeline.Epoch, timeline.KnownSince = trace.Epoch, sinceAccepted
		if trace.LoadedMs != 0 {
			timeline.KnownSince = sinceTakeover
		}
		recordStage(timeline.StageMs, jobtrace.Admit, trace.AcceptedMs, trace.AdmittedMs)
		recordStage(timeline.StageMs, jobtrace.Commit, trace.AdmittedMs, trace.CommittedMs)
		recordStage(timeline.StageMs, jobtrace.Conclude, trace.LastEndMs, trace.ConcludedMs)
		recordStage(timeline.StageMs, jobtrace.Total, trace.AcceptedMs, trace.ConcludedMs)
	}
	for i := range job.Tasks {
		timeline.Tasks = append(timeline.Tasks, n.taskTimelineOf(job, i))
	}
	return timeline
}

// taskTimelineOf returns the timeline of a job's i-th task.
func (n *node) taskTimelineOf(job *liveJob, i int) taskTimeline {
	t, trace := &job.Tasks[i], job.trace.Task(i)
	timeline := taskTimeline{
		Step: job.Steps[t.Step].Name, Index: t.IndexInStep, Round: t.Round, State: t.State.String(), Attempt: t.Attempt,
		Class: t.Class.String(), Worker: t.Worker, Candidates: trace.Candidates, StageMs: map[string]int64{},
	}
	if job.DoneMs == 0 {
		var class wire.TaskClass
		class, timeline.ClassReason = n.explainClass(job, t)
		if t.State == taskPending {
			timeline.Class = class.String()
		}
		timeline.WaitReason = n.explainWait(job, t)
	}
	placedMs := trace.PlacedMs
	if t.State == taskPending && trace.ReadyMs != 0 { // waits for a placement, also after a failed attempt
		placedMs = n.now
	}
	recordStage(timeline.StageMs, jobtrace.Place, trace.ReadyMs, placedMs)
	recordStage(timeline.StageMs, jobtrace.CommitPlacement, trace.PlacedMs, trace.SentMs)
	if trace.EndedMs != 0 {
		timeline.StageMs[jobtrace.Queue.String()] = trace.QueueMs
		timeline.StageMs[jobtrace.Start.String()] = trace.StartMs
		timeline.StageMs[jobtrace.Run.String()] = trace.RunMs
		if trace.SentMs != 0 {
			timeline.StageMs[jobtrace.Transit.String()] = max(
				trace.EndedMs-trace.SentMs-trace.QueueMs-trace.StartMs-trace.RunMs, 0)
		}
	}
	return timeline
}

// recordStage records the duration of a stage whose start and end are known.
func recordStage(stages map[string]int64, stage jobtrace.Stage, fromMs, toMs int64) {
	if fromMs != 0 && toMs >= fromMs {
		stages[stage.String()] = toMs - fromMs
	}
}
