package daemon

// enumName names an enumerated value, for logs, counters and answers.
func enumName[E ~int8](names map[E]string, value E) string {
	if name, ok := names[value]; ok {
		return name
	}
	return "unknown"
}

// taskState is a task's state in its shard's record.
type taskState int8

const (
	taskPending taskState = iota
	taskPlaced
	taskEnded
	taskFailed
	taskCancelled
)

var taskStateNames = map[taskState]string{
	taskPending:   "pending",
	taskPlaced:    "placed",
	taskEnded:     "ended",
	taskFailed:    "failed",
	taskCancelled: "cancelled",
}

func (s taskState) String() string { return enumName(taskStateNames, s) }

// jobStatus is a job's state in its shard's record.
type jobStatus int8

const (
	jobRunning jobStatus = iota
	jobComplete
	jobFailed
	jobCancelled
)

var jobStatusNames = map[jobStatus]string{
	jobRunning:   "running",
	jobComplete:  "complete",
	jobFailed:    "failed",
	jobCancelled: "cancelled",
}

func (s jobStatus) String() string { return enumName(jobStatusNames, s) }
