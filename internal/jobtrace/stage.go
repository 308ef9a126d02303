// Package jobtrace records how long each task of a job spends in each stage, and keeps
// histograms of these durations by queue and class.
//
// It reads no clock and does no I/O: the owner of a shard passes the times of its
// monotonic clock. Memory is bounded by MaxSeries, MaxTasks and MaxFinished.
package jobtrace

// Stage is a stage of a task or its job between submission and outcome.
type Stage uint8

// The stages in the order in which a task passes through them.
const (
	// Admit (of a job) lasts from its arrival at the owner until its admission.
	Admit Stage = iota
	// Commit (of a job) lasts from its admission until a quorum holds its record.
	Commit
	// Place lasts from when a task may start until a worker is chosen for it.
	Place
	// CommitPlacement lasts from that choice until a quorum holds it and the placement is sent.
	CommitPlacement
	// Transit is the time of messages to the worker's agent and back, including their waits.
	Transit
	// Queue is the wait at the worker's agent for free resources.
	Queue
	// Start lasts from the agent's start order until the worker lists the run.
	Start
	// Run lasts until the worker lists the end of the run.
	Run
	// CommitEnd lasts from the report of the end to the owner until a quorum holds it.
	CommitEnd
	// Conclude (of a job) lasts from its last task's end until a quorum holds its outcome.
	Conclude
	// Total (of a job) lasts from its arrival until its outcome is visible.
	Total

	stageCount
)

var stageNames = [stageCount]string{
	"admit", "commit", "place", "commit_placement", "transit", "queue", "start", "run", "commit_end", "conclude", "total",
}

// String returns the stage's name in metrics and explanations.
func (s Stage) String() string {
	if s >= stageCount {
		return "unknown"
	}
	return stageNames[s]
}
