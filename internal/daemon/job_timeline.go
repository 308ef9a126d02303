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
func (n *node) handleExplain(sl *ownedShard, a *request) {
	js := sl.jobs[a.key]
	if js == nil {
		if j := sl.finished[a.key]; j != nil {
			js = &liveJob{jobRecord: *j, runtime: make([]taskRuntime, len(j.Tasks)), trace: sl.finishedTraces.Get(a.key)}
		}
	}
	if js == nil {
		n.handleGet(sl, a) // unknown, or known from its record alone
		return
	}
	n.respond(a, 200, 0, mustJSON(n.timelineOf(sl, js)))
}

func (n *node) timelineOf(sl *ownedShard, js *liveJob) jobTimeline {
	out := jobTimeline{
		ID: js.ID, Queue: js.Queue, State: js.state(), Shard: sl.name, Owner: n.Name, Epoch: sl.epoch,
		Since: seenNothing, StageMs: map[string]int64{}, Tasks: []taskTimeline{},
	}
	if trace := js.trace; trace != nil {
		out.Epoch, out.Since = trace.Epoch, seenWhole
		if trace.LoadedMs != 0 {
			out.Since = seenTakeover
		}
		putStage(out.StageMs, jobtrace.Admit, trace.AcceptedMs, trace.AdmittedMs)
		putStage(out.StageMs, jobtrace.Commit, trace.AdmittedMs, trace.CommittedMs)
		putStage(out.StageMs, jobtrace.Conclude, trace.LastEndMs, trace.ConcludedMs)
		putStage(out.StageMs, jobtrace.Total, trace.AcceptedMs, trace.ConcludedMs)
	}
	for i := range js.Tasks {
		out.Tasks = append(out.Tasks, n.taskTimelineOf(js, i))
	}
	return out
}

func (n *node) taskTimelineOf(js *liveJob, i int) taskTimeline {
	t, trace := &js.Tasks[i], js.trace.Task(i)
	out := taskTimeline{
		Step: js.Steps[t.Step].Name, Index: t.IndexInStep, Round: t.Round, State: t.State.String(), Attempt: t.Attempt,
		Class: t.Class.String(), Worker: t.Worker, Candidates: trace.Candidates, StageMs: map[string]int64{},
	}
	if js.DoneMs == 0 {
		var class wire.TaskClass
		class, out.ClassWhy = n.explainClass(js, t)
		if t.State == taskPending {
			out.Class = class.String()
		}
		out.Waits = n.explainWait(js, t)
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
