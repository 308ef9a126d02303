package jobtrace

const (
	// MaxTasks bounds the traced tasks of a job. Further tasks are counted in the histograms
	// only.
	MaxTasks = 256
	// MaxFinished bounds the traces of finished jobs, which take at most about 5 MB.
	MaxFinished = 200
)

// Task is the trace of a task's current attempt, or of its last one. Times are those of the
// owner's monotonic clock; 0 for an event that has not happened, or happened at a former
// owner.
type Task struct {
	ReadyMs  int64 // when it became ready to start
	PlacedMs int64
	SentMs   int64
	EndedMs  int64 // when the owner received the end
	// Durations of the attempt's stages, as reported by the worker's agent.
	QueueMs int64
	StartMs int64
	RunMs   int64
	// Candidates is the number of workers among which one was chosen; 0 if the central
	// scheduler chose it.
	Candidates int32
	// Ends is the number of ended attempts, including the last one.
	Ends int32
}

// Ready records that a task may start, unless that was recorded since its last end.
func (t *Task) Ready(nowMs int64) {
	if t.ReadyMs == 0 || t.PlacedMs != 0 {
		*t = Task{ReadyMs: nowMs, Ends: t.Ends}
	}
}

// Placed records that a worker was chosen, and returns how long that took.
func (t *Task) Placed(nowMs int64, candidates int) (tookMs int64) {
	if t.ReadyMs == 0 {
		t.ReadyMs = nowMs
	}
	*t = Task{ReadyMs: t.ReadyMs, PlacedMs: nowMs, Candidates: int32(candidates), Ends: t.Ends}
	return nowMs - t.ReadyMs
}

// Sent records that a placement was sent to its agent, and returns how long that took. It
// returns false if the placement was sent before.
func (t *Task) Sent(nowMs int64) (tookMs int64, first bool) {
	if t.SentMs != 0 || t.PlacedMs == 0 {
		return 0, false
	}
	t.SentMs = nowMs
	return nowMs - t.PlacedMs, true
}

// Ended records the end of an attempt with the durations that its agent reported, and
// returns the transit time. It returns false if this owner did not send the placement.
func (t *Task) Ended(nowMs, queueMs, startMs, runMs int64) (transitMs int64, known bool) {
	sentMs := t.SentMs
	t.EndedMs, t.QueueMs, t.StartMs, t.RunMs = nowMs, queueMs, startMs, runMs
	t.Ends++
	return max(nowMs-sentMs-queueMs-startMs-runMs, 0), sentMs != 0
}

// Job is the trace of one job at its current owner.
type Job struct {
	AcceptedMs  int64 // when it arrived; 0 if another owner accepted it
	AdmittedMs  int64
	CommittedMs int64
	LoadedMs    int64 // when this owner took the job over; 0 if this owner accepted it
	LastEndMs   int64
	ConcludedMs int64
	Epoch       uint64 // of the owner
	Tasks       []Task
}

// NewJob returns an empty trace of a job with a number of tasks.
//
// Example: trace := jobtrace.NewJob(len(j.Tasks), epoch)
func NewJob(tasks int, epoch uint64) *Job {
	return &Job{Epoch: epoch, Tasks: make([]Task, min(tasks, MaxTasks))}
}

// Task returns the trace of the task at a position. For an untraced position it returns a
// new trace that is discarded.
func (j *Job) Task(position int) *Task {
	if j == nil || position < 0 || position >= len(j.Tasks) {
		return &Task{}
	}
	return &j.Tasks[position]
}

// Shift removes the traces of the first tasks, whose rounds are over, and adds traces up
// to the number of tasks that the job holds now.
func (j *Job) Shift(dropped, held int) {
	j.Tasks = append([]Task{}, j.Tasks[min(dropped, len(j.Tasks)):]...)
	for len(j.Tasks) < min(held, MaxTasks) {
		j.Tasks = append(j.Tasks, Task{})
	}
}

// FinishedJobs holds the traces of the last MaxFinished finished jobs. Its zero value is
// ready to use.
type FinishedJobs struct {
	byID  map[string]*Job
	order []string
}

// Add stores a trace, and removes the oldest one above MaxFinished.
func (f *FinishedJobs) Add(id string, j *Job) {
	if f.byID == nil {
		f.byID = map[string]*Job{}
	}
	if f.byID[id] == nil {
		f.order = append(f.order, id)
	}
	f.byID[id] = j
	if len(f.order) > MaxFinished {
		delete(f.byID, f.order[0])
		f.order = f.order[1:]
	}
}

// Get returns a finished job's trace, or nil if it is not stored.
func (f *FinishedJobs) Get(id string) *Job { return f.byID[id] }
