package daemon

import (
	"slices"

	"otterchute/internal/codec"
	"otterchute/internal/resource"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

const (
	bodyMaxBytes  = 1 << 20 // size of a job's request body
	stepsMax      = 64      // steps of a job
	roundTasksMax = 2000    // tasks in all open rounds of a job
)

// task is one task of a jobRecord, in the form in which the shard's record stores it. The fields up to Payload are
// its specification, the others its state.
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
	Agent            string // the daemon whose agent manages the worker
	AgentEpoch       uint64
	Failures         int32
	Preemptions      int32
	RanMs            int64
	ChangedVersion   int64  // version of the job's record at the last change of state
	LastFailedWorker string // worker of the last failure, avoided by the next attempt
	Cause            string
	FailedAttempt    int32  // the last attempt that was counted as a failure
	Checkpoint       string // the newest checkpoint that an attempt can resume from
}

// jobStep is a group of tasks that start when all tasks of the steps in After have completed.
type jobStep struct {
	Name  string
	After []int32 // indexes of other steps
	Size  int32   // tasks in each round
	// Uniform marks a step whose Size tasks share one specification, which is stored here once.
	Uniform          bool
	Resources        resource.Amount
	RequiredLabels   []wire.Label
	LimitMs          int64
	EstimateHintMs   int64
	AllowedFailures  int32
	Gang             bool // its tasks start together or not at all
	SameRack         bool
	DataRack         string // the rack that holds its data
	MaxPerWorker     int32  // most of its tasks on one worker; 0 for no limit
	AllowsDuplicates bool   // two attempts of a task may run at the same time
	LongRunning      bool   // its tasks run until the job is cancelled
	Checkpointing    bool   // its tasks report checkpoints that they can resume from
}

// jobRecord is a job as its shard's record stores it, with all its tasks.
type jobRecord struct {
	ID       string
	Queue    string // the key of the address where it was submitted, or the queue's name; see Configuration.Queue
	Digest   []byte // of the request body, see bodyDigest
	SubmitMs int64
	DueMs    int64
	DelayMs  int64
	State    jobStatus
	DoneMs   int64
	Version  int64
	Size     int32 // tasks in the record when the job finished
	Payload  []byte
	// A periodic job runs its steps Rounds times; round K may start at FirstMs + K x PeriodMs. 0 for other jobs.
	Rounds         int32
	FirstMs        int64
	PeriodMs       int64
	FirstOpenRound int32 // the first round whose tasks are still in Tasks
	RoundsOpened   int32 // rounds opened so far; Tasks holds those from FirstOpenRound on
	Steps          []jobStep
	Tasks          []task
	// Abandoned lists attempts whose worker was silent for too long. Their end, if reported later, doesn't count,
	// except when no other attempt was started in the meantime; then the entry is removed.
	Abandoned []abandonedAttempt
	// Tenant is the tenant whose key the job was submitted with. It is the last field, and a record omits it if it
	// is empty, so that records from before tenants existed can be decoded.
	Tenant string
}

// abandonedAttempt identifies an attempt of a task whose worker was silent for too long.
type abandonedAttempt struct {
	Task    int64
	Attempt int32
}

// In jobs with a uniform step, a task's id encodes its round, step and index in the step, so that a worker's report on
// an attempt can be interpreted without the job's record.
const (
	uniformTaskBit = 1 << 60
	roundShift     = 32
	stepShift      = 20
	stepMask       = 1<<(roundShift-stepShift) - 1
	indexMask      = 1<<stepShift - 1
)

// uniformTaskID returns the id of a task in a job with a uniform step.
func uniformTaskID(round, step, index int32) int64 {
	return uniformTaskBit | int64(round)<<roundShift | int64(step)<<stepShift | int64(index)
}

// parseUniformTaskID is the inverse of uniformTaskID; ok is false for an id that is a plain position.
func parseUniformTaskID(id int64) (round, step, index int32, ok bool) {
	if id < uniformTaskBit {
		return 0, 0, 0, false
	}
	return int32(id &^ uniformTaskBit >> roundShift), int32(id >> stepShift & stepMask), int32(id & indexMask), true
}

func (j *jobRecord) hasUniformStep() bool {
	return slices.ContainsFunc(j.Steps, func(s jobStep) bool { return s.Uniform })
}

// taskID returns the id of the task at a position of Tasks.
func (j *jobRecord) taskID(pos int) int64 {
	t := &j.Tasks[pos]
	if j.Steps[t.Step].Uniform || j.hasUniformStep() {
		return uniformTaskID(t.Round, t.Step, t.IndexInStep)
	}
	return int64(pos)
}

// position returns the position of a task in Tasks by its id. A task of a completed round has no
// position: then completed is true.
func (j *jobRecord) position(id int64) (pos int, completed, ok bool) {
	round, step, index, uniform := parseUniformTaskID(id)
	if !uniform {
		return int(id), false, id >= 0 && id < int64(len(j.Tasks)) && !j.hasUniformStep()
	}
	if int(step) >= len(j.Steps) || index >= j.Steps[step].Size {
		return 0, false, false
	}
	if round < j.FirstOpenRound {
		return 0, true, false
	}
	at := int64(round-j.FirstOpenRound)*int64(j.roundSize()) + int64(j.stepStart(step)+index)
	if at >= int64(len(j.Tasks)) {
		return 0, false, false
	}
	return int(at), false, true
}

// roundSize returns how many tasks a round has.
func (j *jobRecord) roundSize() (size int32) {
	for i := range j.Steps {
		size += j.Steps[i].Size
	}
	return size
}

// stepStart returns the position of a step's first task in its round.
func (j *jobRecord) stepStart(step int32) (at int32) {
	for i := range j.Steps[:step] {
		at += j.Steps[i].Size
	}
	return at
}

// gangRange returns the range of positions, to excluded, of all tasks in the same step and round as the given task.
func (j *jobRecord) gangRange(pos int) (from, to int) {
	t := &j.Tasks[pos]
	from = pos - int(t.IndexInStep)
	return from, from + int(j.Steps[t.Step].Size)
}

// roundCount returns how many rounds the job runs in total.
func (j *jobRecord) roundCount() int32 { return max(j.Rounds, 1) }

// openRound adds the tasks of the next round; all steps must be uniform.
func (j *jobRecord) openRound() {
	for step := range j.Steps {
		for i := range j.Steps[step].Size {
			j.Tasks = append(j.Tasks, task{Round: j.RoundsOpened, Step: int32(step), IndexInStep: i})
		}
	}
	j.RoundsOpened++
	j.fillFromSteps()
}

// roundDueMs returns when a round may start; 0 means at once.
func (j *jobRecord) roundDueMs(round int32) int64 {
	if j.Rounds > 0 {
		return j.FirstMs + int64(round)*j.PeriodMs
	}
	return j.DueMs
}

// fillFromSteps copies the specification of each uniform step to its tasks.
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

// maxFailures returns the number of failures after which a task is not retried. It is at least 1, since every task
// gets one attempt.
func (t *task) maxFailures() int32 { return max(t.AllowedFailures, 1) }

// isTerminal reports whether the task has reached a final state.
func (t *task) isTerminal() bool { return t.State >= taskEnded }

// readySteps reports, for each step of each open round, whether all tasks that it depends on succeeded and the
// record of that is committed. The result is indexed by stepIndex.
func (j *jobRecord) readySteps(committed int64) []bool {
	rounds := max(int(j.RoundsOpened-j.FirstOpenRound), 1)
	succeeded := make([]bool, rounds*len(j.Steps))
	for i := range succeeded {
		succeeded[i] = true
	}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State != taskEnded || t.ChangedVersion > committed {
			succeeded[j.stepIndex(t)] = false
		}
	}
	ready := make([]bool, len(succeeded))
	for round := range rounds {
		for i, s := range j.Steps {
			at := round*len(j.Steps) + i
			ready[at] = true
			for _, dependency := range s.After {
				ready[at] = ready[at] && succeeded[round*len(j.Steps)+int(dependency)]
			}
		}
	}
	return ready
}

// stepIndex returns the index of a task's step and round in the result of readySteps.
func (j *jobRecord) stepIndex(t *task) int {
	return int(t.Round-j.FirstOpenRound)*len(j.Steps) + int(t.Step)
}

// dropCompleteRounds removes leading rounds whose tasks have all succeeded in the committed record, and reports
// whether there were any. The last open round stays.
func (j *jobRecord) dropCompleteRounds(committed int64) (dropped bool) {
	for size := int(j.roundSize()); j.Rounds > 0 && len(j.Tasks) > size; dropped = true {
		for i := range j.Tasks[:size] {
			if t := &j.Tasks[i]; t.State != taskEnded || t.ChangedVersion > committed {
				return dropped
			}
		}
		j.Tasks = slices.Clone(j.Tasks[size:])
		j.FirstOpenRound++
	}
	return dropped
}

// outcome derives a job's state from its tasks, and reports whether that state is final.
func (j *jobRecord) outcome() (jobStatus, bool) {
	allSucceeded := true
	if j.State == jobRunning && j.RoundsOpened < j.roundCount() {
		return j.State, false
	}
	for i := range j.Tasks {
		if !j.Tasks[i].isTerminal() {
			return j.State, false
		}
		allSucceeded = allSucceeded && j.Tasks[i].State == taskEnded
	}
	if allSucceeded && j.RoundsOpened >= j.roundCount() {
		return jobComplete, true
	}
	return j.State, true
}

// decodeJob decodes the job in a record; it also accepts the form without a tenant.
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

// describeJob returns a job as replies show it, with the name that its queue has now. waitReason returns why a task
// waits, or "" if it doesn't.
func (n *node) describeJob(j *jobRecord, waitReason func(*task) string) map[string]any {
	steps := make([]map[string]any, len(j.Steps))
	for i, s := range j.Steps {
		after := []string{}
		for _, dependency := range s.After {
			after = append(after, j.Steps[dependency].Name)
		}
		steps[i] = map[string]any{"name": s.Name, "after": after, "tasks": []map[string]any{}}
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		view := map[string]any{"name": t.Name, "state": t.State.String(), "attempt": t.Attempt, "class": t.Class.String(),
			"worker": t.Worker, "failures": t.Failures, "preemptions": t.Preemptions, "ran_ms": t.RanMs}
		if t.Cause != "" {
			view["cause"] = t.Cause
		}
		if reason := waitReason(t); reason != "" {
			view["waits"] = reason
		}
		if j.Rounds > 0 {
			view["round"] = t.Round
		}
		steps[t.Step]["tasks"] = append(steps[t.Step]["tasks"].([]map[string]any), view)
	}
	state := j.State.String()
	if j.DoneMs == 0 && j.State > jobComplete {
		state = map[jobStatus]string{jobFailed: "failing", jobCancelled: "cancelling"}[j.State]
	}
	out := map[string]any{
		"id":           j.ID,
		"queue":        n.config.current.QueueName(j.Queue),
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
