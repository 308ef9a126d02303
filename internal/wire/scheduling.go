package wire

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"otterchute/internal/resource"
)

// Messages between shard owners, agents and the central scheduler.

// Forward passes a request of a caller, worker or operator to the daemon that can
// answer it.
type Forward struct {
	ID          uint64
	Origin      string
	Hops        int32
	WaitMs      int64
	Op          string
	Key         string
	Body        []byte
	Queue       string // the key of the queue's address that the caller used; "" if it used none
	BaseVersion int64  // the version that a configuration change is based on
	Digest      []byte // of an operator's command, if it differs from the body's digest
	Tenant      string // the tenant of the caller's key; "" for a call that needs no key
}

// ForwardReply answers a Forward with an HTTP status and body.
type ForwardReply struct {
	ID           uint64
	Status       int32
	RetryAfterMs int64
	Body         []byte
}

// AttemptKey identifies one attempt to run a task.
type AttemptKey struct {
	Job     string
	Task    int64 // the task's number in its job, or its round, step and index in one number
	Attempt int32
}

// Label is one key and value of a worker.
type Label struct{ Key, Value string }

// TaskSpec is what an agent needs to queue, start and supervise a task.
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
	// MaxPerWorker bounds the tasks of its step and round on one worker; 0 means no bound.
	MaxPerWorker int32
	Tenant       string
	// LimitVersion is the configuration version whose tenant limit was applied when the task was
	// placed. If a later configuration lowered the limit, an unstarted task returns to its owner.
	LimitVersion int64
	Excess       bool // its tenant submits more than its weight: scheduled after all others
}

// Placement assigns a task to a worker and is sent to the worker's agent.
type Placement struct {
	Worker       string
	AgentEpoch   uint64
	ShardEpoch   uint64
	AgentClockMs int64 // the agent's clock, from its last report
	Spec         TaskSpec
}

// AttemptStatus is an agent's report on one attempt.
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
	SpecMissing bool  // the agent found it running and has no TaskSpec for it
	EndedLate   bool  // its owner may have replaced it: the reply must say whether this end counts
	QueueMs     int64 // the wait at the agent
	StartMs     int64 // from the start order until the worker listed it
}

// QueueUsage is the resource usage of one queue's tasks.
type QueueUsage struct {
	Queue     string
	Resources resource.Amount
}

// AgentReport is an agent's periodic report: to a shard owner on its attempts, or to the
// central scheduler on its worker's resources.
type AgentReport struct {
	Worker            string
	Agent             string
	Epoch             uint64
	SentMs            int64
	Shard             string // "" in a report to the central scheduler
	Rebuilt           bool   // the agent has its worker's full state again after a start
	ReachedWorker     bool   // the worker has received a reply of this agent's process
	WorkerReportFresh bool   // the worker has reported recently
	SilentMs          int64  // time since the worker's last report
	Zone              string
	Labels            []Label
	Leaving           bool
	SignedOff         bool // the worker has signed off: it gets no more work, whichever agent it has next
	Rack              string
	Free              resource.Amount
	Capacity          resource.Amount
	OtherShards       resource.Amount // taken by attempts of other shards, queued ones included
	Suspect           bool            // tasks stall there, or fail far more often than elsewhere
	RecentFailures    bool            // some recent failures count against the worker
	Probation         bool            // it was suspect recently and receives work again
	// Colocated is set if the agent runs on its worker's machine. Such a worker ends its attempts
	// when its hold lapses.
	Colocated     bool
	RankMs        int64
	QueuedMs      int64
	Queued        int64
	Succeeded     int64
	Failed        int64
	SpareCapacity resource.Amount // capacity not taken by attempts other than those of batches
	WaitingTasks  int64           // unstarted tasks, without those of batches
	BatchUsage    []QueueUsage    // taken by batch attempts of other shards
	LagPercent    int64           // run time relative to the estimate, in percent, smoothed
	Urgent        resource.Amount // taken by attempts of the most urgent queues, queued ones included
	Outcomes      []QueueOutcomes // recent outcomes by queue, for the central scheduler
	// Partial is set if Attempts lists only those that are queued or have ended; the others
	// are unchanged. Reports to the central scheduler only list guaranteed attempts and
	// queueable ones that it may promote.
	Partial  bool
	Attempts []AttemptStatus
}

// QueueOutcomes counts the recent outcomes of one queue's runs at a worker, in hundredths.
type QueueOutcomes struct {
	Queue             string
	Succeeded, Failed int64
}

// QueueFailRate is the share of a queue's runs that fail, over all workers.
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
	Specs      []TaskSpec // of attempts that the agent found running and has no TaskSpec for
}

// AllocationRequest requests workers from the central scheduler for similar guaranteed tasks of one
// step: for a gang, for all of them or none; otherwise for as many as there are resources for.
type AllocationRequest struct {
	Shard          string
	Job            string
	Tasks          []RequestedTask
	Queue          string
	Resources      resource.Amount
	RequiredLabels []Label
	SubmittedMs    int64
	Avoid          []string // workers where these tasks just failed
	Suspect        []string // workers to use only if no other can run the tasks
	Gang           bool
	SameRack       bool
	DataRack       string
	MaxPerWorker   int32
	StepWorkers    []WorkerTaskCount // placed tasks of the same step
	EstimateMs     int64             // expected run time
	Excess         bool              // its tenant submits more than its weight: scheduled after all others
	Tenant         string
	TenantUsed     resource.Amount // taken by the tenant's tasks in this shard, queued ones included
}

// RequestedTask is one task of an AllocationRequest.
type RequestedTask struct {
	Task    int64
	Attempt int32 // the number of the next attempt
}

// WorkerTaskCount counts the tasks of a step that are placed on a worker.
type WorkerTaskCount struct {
	Worker string
	Count  int32
}

// Allocation assigns workers to tasks of an AllocationRequest.
type Allocation struct {
	Shard  string
	Job    string
	Places []AllocatedTask
	Epoch  uint64 // of the central scheduler
}

// AllocatedTask assigns one task to a worker.
type AllocatedTask struct {
	Task    int64
	Attempt int32
	Worker  string
}

// WorkerRank is a worker's rank in the coordinator's order.
type WorkerRank struct {
	Worker    string
	RankMs    int64
	Unhealthy int8 // 1 if the worker is ejected, 2 if it is on probation
}

// Ranks is one round of the coordinator: ranks and the target delay (paper, section 4.2).
type Ranks struct {
	Epoch             uint64
	Round             int64
	TargetDelayMs     int64
	GuaranteedWaiting bool // guaranteed tasks wait for resources
	Idle              bool // most of the total capacity is free in every dimension
	// HeadroomPercent is the part of each worker, by dimension, that is reserved for the most
	// urgent queues.
	HeadroomPercent resource.Amount
	FailRates       []QueueFailRate
	Ranks           []WorkerRank
}

// Promotion makes a running queueable task guaranteed, if all guaranteed tasks then still fit on
// its worker.
type Promotion struct {
	Worker string
	Epoch  uint64 // of the agent
	Key    AttemptKey
}

// QueueCounts counts the jobs of a shard that wait for their first start, by queue. Queues
// without such jobs are omitted.
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

// Estimates distributes mean run times by queue and task name.
type Estimates struct{ Means []Estimate }

// Estimate is the mean run time of one key. For keys ending in "/%", MeanMs is the mean
// error of the estimates, in percent.
type Estimate struct {
	Key    string
	MeanMs float64
}

// String returns the key as "job#task#attempt", which workers repeat in their reports.
func (k AttemptKey) String() string { return fmt.Sprintf("%s#%d#%d", k.Job, k.Task, k.Attempt) }

// ParseAttemptKey parses the form that AttemptKey.String returns. It returns false for any
// other text.
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

// CompareAttemptKeys orders keys by job, task and attempt, for slices.SortFunc.
//
// Example: slices.SortFunc(keys, wire.CompareAttemptKeys)
func CompareAttemptKeys(a, b AttemptKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}
