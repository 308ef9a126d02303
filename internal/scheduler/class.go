package scheduler

// TaskFacts are what the class of a task goes by.
type TaskFacts struct {
	Batch    bool
	Gang     bool
	Lasting  bool
	Preempts int64 // how often it was preempted
	// EstimateMs is how long the task is expected to run; 0 where nothing is known.
	EstimateMs int64
}

// maxPreemptions: after so many preemptions a task is guaranteed.
const maxPreemptions = 2

// IsGuaranteed is the paper's hybrid-GQ rule: a task known to be short may wait or be stopped,
// all others get a guaranteed place. It gives the reason, too. A threshold below 0 makes all
// tasks queueable.
//
// Example: guaranteed, why := scheduler.IsGuaranteed(scheduler.TaskFacts{EstimateMs: 800}, 2500)
func IsGuaranteed(t TaskFacts, thresholdMs int64) (guaranteed bool, reason string) {
	switch {
	case t.Batch:
		return false, "a batch is never firm"
	case thresholdMs < 0:
		return false, "threshold_ms is below 0: all tasks are queueable"
	case t.Gang:
		return true, "a gang starts whole"
	case t.Lasting:
		return true, "it lasts until it is cancelled"
	case t.Preempts >= maxPreemptions:
		return true, "it was preempted as often as a task may be"
	case t.EstimateMs == 0:
		return true, "nothing is known of how long it runs"
	case t.EstimateMs >= thresholdMs:
		return true, "it is expected to run as long as threshold_ms or longer"
	}
	return false, "it is expected to run for less than threshold_ms"
}
