package scheduler

// TaskFacts holds the properties of a task that determine its class.
type TaskFacts struct {
	Batch       bool
	Gang        bool
	LongRunning bool  // runs until it is cancelled
	Preemptions int64 // number of preemptions so far
	// EstimateMs is the expected run time; 0 if unknown.
	EstimateMs int64
}

// maxPreemptions is the number of preemptions after which a task becomes guaranteed.
const maxPreemptions = 2

// IsGuaranteed reports whether a task is guaranteed or queueable, by the hybrid-GQ rule of the
// paper, and why. A task that is known to be short is queueable: it may wait or be preempted.
// All others are guaranteed. A negative threshold makes all tasks queueable.
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
	case t.LongRunning:
		return true, "it lasts until it is cancelled"
	case t.Preemptions >= maxPreemptions:
		return true, "it was preempted as often as a task may be"
	case t.EstimateMs == 0:
		return true, "nothing is known of how long it runs"
	case t.EstimateMs >= thresholdMs:
		return true, "it is expected to run as long as threshold_ms or longer"
	}
	return false, "it is expected to run for less than threshold_ms"
}
