package wire

import "strconv"

// enumName names an enumerated value, for logs, counters and answers.
func enumName[E ~int8](names map[E]string, value E) string {
	if name, ok := names[value]; ok {
		return name
	}
	return "unknown " + strconv.Itoa(int(value))
}

// TaskClass is one of the paper's two classes of tasks (section 3.2). Its numbers
// stand in records, too.
type TaskClass int8

// The classes; 0 is a task that was never placed.
const (
	ClassGuaranteed TaskClass = iota + 1 // placed centrally, only where its resources are sure, and never preempted
	ClassQueueable                       // placed at once by a local scheduler; may wait at its worker and be stopped
)

var taskClassNames = map[TaskClass]string{0: "", ClassGuaranteed: "guaranteed", ClassQueueable: "queueable"}

// String names the class, as answers to callers do.
func (c TaskClass) String() string { return enumName(taskClassNames, c) }

// AttemptState is how far an attempt is at its worker's agent.
type AttemptState int8

// States of an attempt.
const (
	AttemptQueued  AttemptState = iota // it was never ordered
	AttemptOrdered                     // it may have started
	AttemptRunning                     // the worker listed it, or answered that it started
	AttemptEnded                       // AttemptStatus.Result says how
)

var attemptStateNames = map[AttemptState]string{
	AttemptQueued: "queued", AttemptOrdered: "ordered", AttemptRunning: "running", AttemptEnded: "ended",
}

// String names the state for logs.
func (s AttemptState) String() string { return enumName(attemptStateNames, s) }

// AttemptResult is how an attempt ended.
type AttemptResult int8

// Results of an attempt.
const (
	ResultOK AttemptResult = iota + 1
	ResultFailed
	ResultOverrun    // stopped at its run limit
	ResultPreempted  // stopped for more urgent work
	ResultShed       // given back before it started
	ResultRejected   // refused by the agent or the worker: it never started
	ResultLost       // its worker surely doesn't run it any more
	ResultCancelled  // stopped since its job needs it no more
	ResultMoved      // stopped since its worker leaves
	ResultStalled    // stopped since it made no progress
	ResultGangBroken // another member of its gang ended, or did not come
)

var attemptResultNames = map[AttemptResult]string{
	ResultOK: "ok", ResultFailed: "failed", ResultOverrun: "overrun", ResultPreempted: "preempted",
	ResultShed: "shed", ResultRejected: "rejected", ResultLost: "lost", ResultCancelled: "cancelled",
	ResultMoved: "moved", ResultStalled: "stalled", ResultGangBroken: "gang_broken",
}

// String names the result, as counters, logs and a task's cause do.
func (r AttemptResult) String() string { return enumName(attemptResultNames, r) }

// Decision is a shard owner's answer to one attempt that an agent reports.
type Decision int8

// Decisions; 0 is none yet.
const (
	DecisionKeep         Decision = iota + 1 // go on with it
	DecisionDrop                             // stop it, or forget it
	DecisionAcknowledged                     // nothing more is wanted of it
	DecisionCounted                          // the same, and no other run took its place since its worker was silent
	DecisionRecall                           // to be given back if it has not started: another worker has resources now
)

var decisionNames = map[Decision]string{
	0: "none", DecisionKeep: "keep", DecisionDrop: "drop", DecisionAcknowledged: "acknowledged",
	DecisionCounted: "counted", DecisionRecall: "recall",
}

// String names the decision for logs.
func (d Decision) String() string { return enumName(decisionNames, d) }
