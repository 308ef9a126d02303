package daemon

import (
	"slices"

	"otterchute/internal/codec"
	"otterchute/internal/resource"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

const (
	bodyMaxBytes  = 1 << 20 // bytes of a job's body
	stepsMax      = 64      // steps of a job
	roundTasksMax = 2000    // tasks of the rounds of a job that are open at once
)

// task and jobRecord are kept as they stand in the shard's record.
type task struct {
	Round             int32
	Step, IndexInStep int32
	Name              string
	Resources         resource.Amount
	RequiredLabels    []wire.Label
	LimitMs           int64
	EstimateHintMs    int64
	AllowedFailures   int32
	Payload           []byte

	State            taskState
	Class            wire.TaskClass
	Attempt          int32
	Worker           string
	Agent            string // the daemon that tends the worker
	AgentEpoch       uint64
	Failures         int32
	Preemptions      int32
	RanMs            int64
	ChangedVersion   int64  // record version of the last change of state
	LastFailedWorker string // the worker of the last failure, avoided next time
	Cause            string
	FailedAttempt    int32  // the last run counted as a failure
	Checkpoint       string // the newest text it can go on from
}

type jobStep struct {
	Name  string
	After []int32
	Size  int32 // tasks of a round
	// A step of Size alike tasks is held as one specification.
	Uniform          bool
	Resources        resource.Amount
	RequiredLabels   []wire.Label
	LimitMs          int64
	EstimateHintMs   int64
	AllowedFailures  int32
	Gang             bool // its tasks work only together
	SameRack         bool
	DataRack         string // the rack that holds its data
	MaxPerWorker     int32  // at most so many of its tasks on one worker; 0 for any
	AllowsDuplicates bool   // two runs of a task may stand side by side
	LongRunning      bool   // its tasks run until the job is cancelled
	Checkpointing    bool   // its tasks tell texts that they can go on from
}

type jobRecord struct {
	ID       string
	Queue    string
	Digest   []byte
	SubmitMs int64
	DueMs    int64
	DelayMs  int64
	State    jobStatus
	DoneMs   int64
	Version  int64
	Size     int32 // tasks, when finished
	Payload  []byte
	// A timed job runs its steps Rounds times, the one numbered K from FirstMs + K x PeriodMs on.
	Rounds         int32
	FirstMs        int64
	PeriodMs       int64
	FirstOpenRound int32 // the first round that Tasks still holds
	RoundsOpened   int32 // rounds opened so far; Tasks holds those from Begun on
	Steps          []jobStep
	Tasks          []task
	// runs whose worker was silent for too long: an end of theirs that comes later doesn't count
	Abandoned []abandonedRun
	// Tenant is whose key the job came with. It stands last, and a record leaves it out where it
	// is empty: records from before there were tenants have the same form.
	Tenant string
}

type abandonedRun struct {
	Task    int64
	Attempt int32
}

// Tasks of jobs with steps of alike tasks are named by their place, so that a
// worker's word on a run is understood without the job.
const (
	uniformTaskBit = 1 << 60
	roundShift     = 32
	stepShift      = 20
	stepMask       = 1<<(roundShift-stepShift) - 1
	indexMask      = 1<<stepShift - 1
)

func uniformTaskID(round, step, index int32) int64 {
	return uniformTaskBit | int64(round)<<roundShift | int64(step)<<stepShift | int64(index)
}

// parseUniformTaskID is the opposite of uniformTaskID.
func parseUniformTaskID(id int64) (round, step, index int32, ok bool) {
	if id < uniformTaskBit {
		return 0, 0, 0, false
	}
	return int32(id &^ uniformTaskBit >> roundShift), int32(id >> stepShift & stepMask), int32(id & indexMask), true
}

func (j *jobRecord) hasUniformStep() bool {
	return slices.ContainsFunc(j.Steps, func(s jobStep) bool { return s.Uniform })
}

// taskID names the task at a position.
func (j *jobRecord) taskID(pos int) int64 {
	t := &j.Tasks[pos]
	if j.Steps[t.Step].Uniform || j.hasUniformStep() {
		return uniformTaskID(t.Round, t.Step, t.IndexInStep)
	}
	return int64(pos)
}

// position finds a task by its name. A task of a round that is over has none:
// past tells that.
func (j *jobRecord) position(id int64) (pos int, past, ok bool) {
	round, st, index, byPlace := parseUniformTaskID(id)
	if !byPlace {
		return int(id), false, id >= 0 && id < int64(len(j.Tasks)) && !j.hasUniformStep()
	}
	if int(st) >= len(j.Steps) || index >= j.Steps[st].Size {
		return 0, false, false
	}
	if round < j.FirstOpenRound {
		return 0, true, false
	}
	at := int64(round-j.FirstOpenRound)*int64(j.roundSize()) + int64(j.stepStart(st)+index)
	if at >= int64(len(j.Tasks)) {
		return 0, false, false
	}
	return int(at), false, true
}

func (j *jobRecord) roundSize() (size int32) {
	for i := range j.Steps {
		size += j.Steps[i].Size
	}
	return size
}

func (j *jobRecord) stepStart(st int32) (at int32) {
	for i := range j.Steps[:st] {
		at += j.Steps[i].Size
	}
	return at
}

// gangRange gives the positions of all tasks of a task's step in its round.
func (j *jobRecord) gangRange(pos int) (from, to int) {
	t := &j.Tasks[pos]
	from = pos - int(t.IndexInStep)
	return from, from + int(j.Steps[t.Step].Size)
}

// roundCount is how often the steps run in all.
func (j *jobRecord) roundCount() int32 { return max(j.Rounds, 1) }

// openRound adds the tasks of the next round of alike steps.
func (j *jobRecord) openRound() {
	for s := range j.Steps {
		for i := range j.Steps[s].Size {
			j.Tasks = append(j.Tasks, task{Round: j.RoundsOpened, Step: int32(s), IndexInStep: i})
		}
	}
	j.RoundsOpened++
	j.fillFromSteps()
}

// roundDueMs is when a round may start; 0 for at once.
func (j *jobRecord) roundDueMs(round int32) int64 {
	if j.Rounds > 0 {
		return j.FirstMs + int64(round)*j.PeriodMs
	}
	return j.DueMs
}

// fillFromSteps gives tasks of alike steps what their step says.
func (j *jobRecord) fillFromSteps() {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if int(t.Step) >= len(j.Steps) {
			continue
		}
		if s := &j.Steps[t.Step]; s.Uniform {
			t.Name, t.Resources, t.RequiredLabels, t.Payload = s.Name, s.Resources, s.RequiredLabels, j.Payload
			t.LimitMs, t.EstimateHintMs, t.AllowedFailures = s.LimitMs, s.EstimateHintMs, s.AllowedFailures
		}
	}
}

// maxFailures is how often a task may fail in all: a task whose allowed
// failures are used up is never started again, and every task starts once.
func (t *task) maxFailures() int32 { return max(t.AllowedFailures, 1) }

func (t *task) isTerminal() bool { return t.State >= taskEnded }

// readySteps tells for each step of each round held whether all it waits on
// ended well, and durably: at (round - Begun) x steps + step.
func (j *jobRecord) readySteps(committed int64) []bool {
	rounds := max(int(j.RoundsOpened-j.FirstOpenRound), 1)
	done := make([]bool, rounds*len(j.Steps))
	for i := range done {
		done[i] = true
	}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State != taskEnded || t.ChangedVersion > committed {
			done[j.stepIndex(t)] = false
		}
	}
	ready := make([]bool, len(done))
	for r := range rounds {
		for i, s := range j.Steps {
			at := r*len(j.Steps) + i
			ready[at] = true
			for _, a := range s.After {
				ready[at] = ready[at] && done[r*len(j.Steps)+int(a)]
			}
		}
	}
	return ready
}

// stepIndex is where a task's step and round stand in readySteps.
func (j *jobRecord) stepIndex(t *task) int {
	return int(t.Round-j.FirstOpenRound)*len(j.Steps) + int(t.Step)
}

// dropCompleteRounds lets go of rounds whose tasks have all ended well, durably.
func (j *jobRecord) dropCompleteRounds(committed int64) (some bool) {
	for size := int(j.roundSize()); j.Rounds > 0 && len(j.Tasks) > size; some = true {
		for i := range j.Tasks[:size] {
			if t := &j.Tasks[i]; t.State != taskEnded || t.ChangedVersion > committed {
				return some
			}
		}
		j.Tasks = slices.Clone(j.Tasks[size:])
		j.FirstOpenRound++
	}
	return some
}

// outcome derives a job's state from its tasks, where it has one.
func (j *jobRecord) outcome() (jobStatus, bool) {
	all := true
	if j.State == jobRunning && j.RoundsOpened < j.roundCount() {
		return j.State, false
	}
	for i := range j.Tasks {
		if !j.Tasks[i].isTerminal() {
			return j.State, false
		}
		all = all && j.Tasks[i].State == taskEnded
	}
	if all && j.RoundsOpened >= j.roundCount() {
		return jobComplete, true
	}
	return j.State, true
}

// decodeJob reads the job in a record.
func decodeJob(r statestore.Record) (*jobRecord, bool) {
	if r.ID == "" {
		return nil, false
	}
	j := &jobRecord{}
	if codec.Unmarshal(r.Value, j) != nil {
		j = &jobRecord{}
		if codec.Unmarshal(append(slices.Clone(r.Value), noTenant...), j) != nil || j.Tenant != "" {
			return nil, false
		}
	}
	j.ID = r.ID
	j.fillFromSteps()
	return j, true
}

func (j *jobRecord) describe(why func(*task) string) map[string]any {
	steps := make([]map[string]any, len(j.Steps))
	for i, s := range j.Steps {
		after := []string{}
		for _, a := range s.After {
			after = append(after, j.Steps[a].Name)
		}
		steps[i] = map[string]any{"name": s.Name, "after": after, "tasks": []map[string]any{}}
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		m := map[string]any{"name": t.Name, "state": t.State.String(), "attempt": t.Attempt, "class": t.Class.String(),
			"worker": t.Worker, "failures": t.Failures, "preemptions": t.Preemptions, "ran_ms": t.RanMs}
		if t.Cause != "" {
			m["cause"] = t.Cause
		}
		if w := why(t); w != "" {
			m["waits"] = w
		}
		if j.Rounds > 0 {
			m["round"] = t.Round
		}
		steps[t.Step]["tasks"] = append(steps[t.Step]["tasks"].([]map[string]any), m)
	}
	state := j.State.String()
	if j.DoneMs == 0 && j.State > jobComplete {
		state = map[jobStatus]string{jobFailed: "failing", jobCancelled: "cancelling"}[j.State]
	}
	out := map[string]any{
		"id":           j.ID,
		"queue":        j.Queue,
		"state":        state,
		"submitted_ms": j.SubmitMs,
		"due_ms":       j.DueMs,
		"done_ms":      j.DoneMs,
		"tasks":        max(int(j.Size), len(j.Tasks)),
	}
	if len(steps) > 0 {
		out["steps"] = steps
	}
	return out
}
