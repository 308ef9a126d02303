package jobtrace

const (
	// MaxTasks is how many tasks of one job are traced; of those beyond only the histograms tell.
	MaxTasks = 256
	// MaxFinished is how many finished jobs' traces a Finished keeps: some 5 MB at the most.
	MaxFinished = 200
)

// Task is what is known of the way of one task's attempt in force, or of its last one.
// All times are ms of the owner's steady clock; 0 for what has not come about, or came
// about at a former owner.
type Task struct {
	ReadyMs  int64 // since when it may start
	PlacedMs int64
	SentMs   int64
	EndedMs  int64 // when the owner heard of the end
	// What the worker's agent told of the attempt, in ms.
	QueueMs int64
	StartMs int64
	RunMs   int64
	// Candidates is among how many workers its own was chosen; 0 where the central scheduler chose.
	Candidates int32
	// Ends is how many of its attempts ended, the last one too.
	Ends int32
}

// Ready notes that a task may start now, unless that was noted since its last end.
func (t *Task) Ready(nowMs int64) {
	if t.ReadyMs == 0 || t.PlacedMs != 0 {
		*t = Task{ReadyMs: nowMs, Ends: t.Ends}
	}
}

// Placed notes that a worker was chosen, and gives how long that took.
func (t *Task) Placed(nowMs int64, candidates int) (tookMs int64) {
	if t.ReadyMs == 0 {
		t.ReadyMs = nowMs
	}
	*t = Task{ReadyMs: t.ReadyMs, PlacedMs: nowMs, Candidates: int32(candidates), Ends: t.Ends}
	return nowMs - t.ReadyMs
}

// Sent notes that a placement left for its agent, and gives how long that took; false
// for a repeated one.
func (t *Task) Sent(nowMs int64) (tookMs int64, first bool) {
	if t.SentMs != 0 || t.PlacedMs == 0 {
		return 0, false
	}
	t.SentMs = nowMs
	return nowMs - t.PlacedMs, true
}

// Ended notes the end of an attempt as its agent told it, and gives what the ways there
// and back took; false where this owner didn't send it.
func (t *Task) Ended(nowMs, queueMs, startMs, runMs int64) (transitMs int64, known bool) {
	sentMs := t.SentMs
	t.EndedMs, t.QueueMs, t.StartMs, t.RunMs = nowMs, queueMs, startMs, runMs
	t.Ends++
	return max(nowMs-sentMs-queueMs-startMs-runMs, 0), sentMs != 0
}

// Job is the trace of one job at its present owner.
type Job struct {
	AcceptedMs  int64 // when it arrived here; 0 where another owner took it
	AdmittedMs  int64
	CommittedMs int64
	LoadedMs    int64 // when this owner took it over; 0 where it came here first
	LastEndMs   int64
	ConcludedMs int64
	Epoch       uint64 // of the owner
	Tasks       []Task
}

// NewJob gives the trace of a job with so many tasks.
//
// Example: trace := jobtrace.NewJob(len(j.Tasks), epoch)
func NewJob(tasks int, epoch uint64) *Job {
	return &Job{Epoch: epoch, Tasks: make([]Task, min(tasks, MaxTasks))}
}

// Task gives the trace of the task at a position; one that nobody keeps for positions
// beyond MaxTasks.
func (j *Job) Task(position int) *Task {
	if j == nil || position < 0 || position >= len(j.Tasks) {
		return &Task{}
	}
	return &j.Tasks[position]
}

// Shift drops the tasks of rounds that are over, and makes room for as many tasks as are
// held now.
func (j *Job) Shift(dropped, held int) {
	j.Tasks = append([]Task{}, j.Tasks[min(dropped, len(j.Tasks)):]...)
	for len(j.Tasks) < min(held, MaxTasks) {
		j.Tasks = append(j.Tasks, Task{})
	}
}

// FinishedJobs keeps the traces of the last jobs that finished, MaxFinished of them.
// Its zero value is ready.
type FinishedJobs struct {
	byID  map[string]*Job
	order []string
}

// Add keeps a trace, and drops the oldest where there are too many.
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

// Get gives a finished job's trace; nil where it isn't kept.
func (f *FinishedJobs) Get(id string) *Job { return f.byID[id] }
