package wire

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"otterchute/internal/resource"
)

// Messages between shard owners, agents and the central scheduler.

// Forward hands a request of a caller, worker or operator to the daemon that can
// answer it.
type Forward struct {
	ID              uint64
	Origin          string
	Hops            int32
	WaitMs          int64
	Op              string
	Key             string
	Body            []byte
	Queue           string // the queue whose address the caller used; "" when it used none
	ExpectedVersion int64  // the version that a configuration builds on
	Digest          []byte // of an operator's order, where it isn't that of the body
	Tenant          string // whose key the caller showed; "" for a call that needs none
}

// ForwardReply is the answer to a Forward: an HTTPAddr status and body.
type ForwardReply struct {
	ID           uint64
	Status       int32
	RetryAfterMs int64
	Body         []byte
}

// AttemptKey names one attempt to run a task. Task is the task's number in its job,
// or its round, step and index in one number.
type AttemptKey struct {
	Job     string
	Task    int64 // see taskID
	Attempt int32
}

// Label is one key and value of a worker.
type Label struct{ Key, Value string }

// TaskSpec is what an agent must know of a task to queue, guard and run it.
type TaskSpec struct {
	Key            AttemptKey
	Shard          string
	Queue          string
	Name           string
	Class          TaskClass
	Resources      resource.Amount
	RequiredLabels []Label
	SubmittedMs    int64
	EstimateMs     int64
	LimitMs        int64
	Payload        []byte
	Checkpoint     string
	Gang           bool
	LongRunning    bool
	Checkpointing  bool
	// MaxPerWorker bounds the tasks of its step and round on one worker; 0 for none.
	MaxPerWorker int32
	// Tenant is whose task it is, and LimitVersion the configuration by whose limit it was placed:
	// where a later one has lowered that, an unstarted task goes back to its owner.
	Tenant       string
	LimitVersion int64
	Excess       bool // its tenant sends more than its weight: it goes after all others
}

// Placement sends a task to its worker's agent.
type Placement struct {
	Worker       string
	AgentEpoch   uint64
	ShardEpoch   uint64
	AgentClockMs int64 // the agent's clock, from its last sync
	Spec         TaskSpec
}

// AttemptStatus is what an agent tells of one attempt.
type AttemptStatus struct {
	Key         AttemptKey
	Class       TaskClass
	State       AttemptState
	Result      AttemptResult
	Resources   resource.Amount
	RanMs       int64
	EstimateMs  int64
	Queue       string
	Name        string
	Checkpoint  string
	SpecMissing bool // found running by an agent that was not told what it is
	EndedLate   bool // its owner may have given it up: whether it counted must be said
	// QueueMs is how long it waited at the agent, and StartMs from the order until the
	// worker listed it.
	QueueMs int64
	StartMs int64
}

// QueueUsage is what tasks of one queue take.
type QueueUsage struct {
	Queue     string
	Resources resource.Amount
}

// AgentReport is an agent's regular word to a shard owner, on its attempts, or to the
// central scheduler, on its worker's resources.
type AgentReport struct {
	Worker            string
	Agent             string
	Epoch             uint64
	SentMs            int64
	Shard             string // "" when meant for the central scheduler
	Rebuilt           bool
	WorkerReportFresh bool // the worker's word is fresh
	SilentMs          int64
	Zone              string
	Labels            []Label
	Leaving           bool
	Rack              string
	Free              resource.Amount
	Capacity          resource.Amount
	OtherShards       resource.Amount // room of all it holds, queued ones too, that are not this shard's
	Suspect           bool            // tasks stand still there, or fail far more often than elsewhere
	RecentFailures    bool            // some failures speak against the worker
	Probation         bool            // it was suspect lately, and gets work again
	Colocated         bool            // the agent stands beside its worker, and holds end by themselves
	RankMs            int64
	QueuedMs          int64
	Queued            int64
	Succeeded         int64
	Failed            int64
	SpareCapacity     resource.Amount // capacity without what is held and no batch's
	WaitingTasks      int64           // unstarted tasks that are no batch's
	BatchUsage        []QueueUsage    // room of the batches it holds that are not this shard's
	LagPercent        int64           // run time against the estimate, in percent, smoothed
	Urgent            resource.Amount // room of all it holds of the most urgent queues, queued too
	Outcomes          []QueueOutcomes // how runs ended lately, by queue: for the central scheduler
	// Partial tells that Attempts are only those that wait or have ended: what isn't
	// listed goes on as before. The central scheduler is only ever told of guaranteed
	// attempts, and of queueable ones that it may promote.
	Partial  bool
	Attempts []AttemptStatus
}

// QueueOutcomes counts how runs of a queue's tasks ended at a worker lately, in hundredths.
type QueueOutcomes struct {
	Queue             string
	Succeeded, Failed int64
}

// QueueFailRate is how many of a queue's runs fail everywhere, per mille.
type QueueFailRate struct {
	Queue    string
	PerMille int32
}

// AttemptDecision is the owner's decision on one attempt.
type AttemptDecision struct {
	Key      AttemptKey
	Decision Decision
}

// OwnerReply answers an AgentReport.
type OwnerReply struct {
	Worker     string
	Epoch      uint64
	Shard      string
	ShardEpoch uint64
	SentMs     int64
	Decisions  []AttemptDecision
	Specs      []TaskSpec // of runs that the agent found and was not told of
}

// AllocationRequest asks the central scheduler for guaranteed places for tasks of one
// step that are alike: all of them or none where they are a gang, else as many as
// there are resources for.
type AllocationRequest struct {
	Shard          string
	Job            string
	Tasks          []RequestedTask
	Queue          string
	Resources      resource.Amount
	RequiredLabels []Label
	SubmittedMs    int64
	Avoid          []string // workers where these tasks just failed
	Suspect        []string // workers that they should go to only if they don't start elsewhere
	Gang           bool
	SameRack       bool
	DataRack       string
	MaxPerWorker   int32
	StepWorkers    []WorkerTaskCount // where others of the step are
	EstimateMs     int64             // how long a run is expected to take
	Excess         bool              // its tenant sends more than its weight: it goes after all others
	Tenant         string
	TenantUsed     resource.Amount // what the tenant's tasks take in this shard, queued ones too
}

// RequestedTask is one task of an AllocationRequest.
type RequestedTask struct {
	Task    int64
	Attempt int32 // of the placement to come
}

// WorkerTaskCount counts tasks of a step that are placed on a worker.
type WorkerTaskCount struct {
	Worker string
	Count  int32
}

// Allocation grants places.
type Allocation struct {
	Shard  string
	Job    string
	Places []AllocatedTask
	Epoch  uint64 // of the central scheduler
}

// AllocatedTask is one place of an Allocation.
type AllocatedTask struct {
	Task    int64
	Attempt int32
	Worker  string
}

// WorkerRank is a worker's rank in the coordinator's order; Unhealthy is 1 where it is
// ejected, and 2 where it is on probation.
type WorkerRank struct {
	Worker    string
	RankMs    int64
	Unhealthy int8
}

// Ranks is one round of the coordinator: ranks and the target delay (paper, section 4.2).
type Ranks struct {
	Epoch             uint64
	Round             int64
	TargetDelayMs     int64
	GuaranteedWaiting bool // firm work waits for room
	Idle              bool // most of all room is free, in every dimension
	// HeadroomPercent is the share of each worker, by dimension, that queues below the most
	// urgent ones leave to those.
	HeadroomPercent resource.Amount
	FailRates       []QueueFailRate
	Ranks           []WorkerRank
}

// Promotion makes a running queueable task guaranteed, if its resources are sure.
type Promotion struct {
	Worker string
	Epoch  uint64 // of the agent
	Key    AttemptKey
}

// QueueCounts tells how many jobs of a shard wait for their first start, by queue; queues
// with none are left out.
type QueueCounts struct {
	Shard  string
	Epoch  uint64 // of the shard's owner
	Counts []QueueCount
}

// QueueCount is one queue's count in QueueCounts.
type QueueCount struct {
	Queue   string
	Pending int64
}

// Estimates spreads mean run times by queue and task name.
type Estimates struct{ Means []Estimate }

// Estimate is the mean run time, in ms, of one key; keys ending in "/%" hold how far
// guesses are off, in percent.
type Estimate struct {
	Key    string
	MeanMs float64
}

// String is the key in the form that workers repeat: job, task and attempt.
func (k AttemptKey) String() string { return fmt.Sprintf("%s#%d#%d", k.Job, k.Task, k.Attempt) }

// ParseAttemptKey reads what AttemptKey.String wrote; false for anything else.
//
// Example: key, ok := wire.ParseAttemptKey("job-1#0#2")
func ParseAttemptKey(s string) (AttemptKey, bool) {
	parts := strings.Split(s, "#")
	if len(parts) != 3 {
		return AttemptKey{}, false
	}
	task, taskErr := strconv.ParseInt(parts[1], 10, 64)
	attempt, attemptErr := strconv.ParseInt(parts[2], 10, 32)
	ok := taskErr == nil && attemptErr == nil && task >= 0
	return AttemptKey{parts[0], task, int32(attempt)}, ok
}

// CompareAttemptKeys orders keys by job, task and attempt, as shards.SortFunc needs it.
//
// Example: slices.SortFunc(keys, wire.CompareAttemptKeys)
func CompareAttemptKeys(a, b AttemptKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}
