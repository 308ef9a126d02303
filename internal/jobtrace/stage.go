// Package jobtrace tells where the time of jobs goes: which stage each task of a job
// was in and for how long, and histograms of all of them by queue and class.
//
// It reads no clock and does no I/O: the owner of a shard says when something came
// about, in ms of its steady clock. Memory is bounded: see MaxSeries, MaxTasks and
// MaxFinished.
package jobtrace

// Stage is a part of the way of a task, or of its job, from hand-in to outcome.
type Stage uint8

// The stages, in the order in which a task goes through them.
const (
	// Admit is a job's: from its arrival at the owner until its rules have let it in.
	Admit Stage = iota
	// Commit is a job's: from there until its record is at a quorum.
	Commit
	// Place is from when a task may start until a worker is chosen for it.
	Place
	// CommitPlacement is from the choice until its record is at a quorum and it is sent.
	CommitPlacement
	// Transit is what the ways to the worker's agent and back take, with what messages wait.
	Transit
	// Queue is the wait at the worker's agent for room.
	Queue
	// Start is from the agent's order until the worker lists the run.
	Start
	// Run is the run itself, until the worker lists its end.
	Run
	// CommitEnd is from when the owner hears of the end until that is at a quorum.
	CommitEnd
	// Conclude is a job's: from its last end until its outcome is at a quorum.
	Conclude
	// Total is a job's: from its arrival until its outcome is shown.
	Total

	stageCount
)

var stageNames = [stageCount]string{
	"admit", "commit", "place", "commit_placement", "transit", "queue", "start", "run", "commit_end", "conclude", "total",
}

// String is the stage's name in metrics and explanations.
func (s Stage) String() string {
	if s >= stageCount {
		return "unknown"
	}
	return stageNames[s]
}
