package daemon

// enumName returns the name of an enum value for logs, metrics and responses, or "unknown".
func enumName[E ~int8](names map[E]string, value E) string {
	if name, ok := names[value]; ok {
		return name
	}
	return "unknown"
}

// taskState is the state of a task in its job's record.
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

// jobStatus is the state of a job in its record.
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
