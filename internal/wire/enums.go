package wire

import "strconv"

// enumName returns the name of an enumerated value in logs, metrics and responses.
func enumName[E ~int8](names map[E]string, value E) string {
	if name, ok := names[value]; ok {
		return name
	}
	return "unknown " + strconv.Itoa(int(value))
}

// TaskClass is one of the paper's two classes of tasks (section 3.2). The numbers are
// also stored in job records.
type TaskClass int8

// The classes; 0 is a task that was never placed.
const (
	ClassGuaranteed TaskClass = iota + 1 // placed centrally on reserved resources, never preempted
	ClassQueueable                       // placed at once by a local scheduler; may be queued or preempted
)

var taskClassNames = map[TaskClass]string{0: "", ClassGuaranteed: "guaranteed", ClassQueueable: "queueable"}

// String returns the name of the class in responses to callers.
func (c TaskClass) String() string { return enumName(taskClassNames, c) }

// AttemptState is the progress of an attempt at its worker's agent.
type AttemptState int8

// States of an attempt.
const (
	AttemptQueued  AttemptState = iota // no start was sent to the worker
	AttemptOrdered                     // a start was sent: the attempt may be running
	AttemptRunning                     // the worker listed it, or confirmed the start
	AttemptEnded                       // see AttemptStatus.Result
)

var attemptStateNames = map[AttemptState]string{
	AttemptQueued: "queued", AttemptOrdered: "ordered", AttemptRunning: "running", AttemptEnded: "ended",
}

// String returns the name of the state in logs.
func (s AttemptState) String() string { return enumName(attemptStateNames, s) }

// AttemptResult is the outcome of an attempt.
type AttemptResult int8

// Results of an attempt.
const (
	ResultOK AttemptResult = iota + 1
	ResultFailed
	ResultOverrun    // stopped at its run limit
	ResultPreempted  // stopped to free resources for more urgent work
	ResultShed       // returned to its owner before it started
	ResultRejected   // rejected by the agent or the worker; never started
	ResultLost       // certain not to run at its worker any more
	ResultCancelled  // stopped because its job no longer needs it
	ResultMoved      // stopped because its worker is leaving
	ResultStalled    // stopped because it made no progress
	ResultGangBroken // another member of its gang ended or did not arrive
)

var attemptResultNames = map[AttemptResult]string{
	ResultOK: "ok", ResultFailed: "failed", ResultOverrun: "overrun", ResultPreempted: "preempted",
	ResultShed: "shed", ResultRejected: "rejected", ResultLost: "lost", ResultCancelled: "cancelled",
	ResultMoved: "moved", ResultStalled: "stalled", ResultGangBroken: "gang_broken",
}

// String returns the name of the result in metrics, logs and a task's cause.
func (r AttemptResult) String() string { return enumName(attemptResultNames, r) }

// Decision is a shard owner's reply to one attempt that an agent reports.
type Decision int8

// Decisions; 0 is none yet.
const (
	DecisionKeep         Decision = iota + 1 // continue the attempt
	DecisionDrop                             // stop the attempt, or forget it
	DecisionAcknowledged                     // the end is recorded; the agent may forget the attempt
	DecisionCounted                          // acknowledged, and the attempt was not replaced while its worker was silent
	DecisionRecall                           // return it if it has not started: another worker has free resources
)

var decisionNames = map[Decision]string{
	0: "none", DecisionKeep: "keep", DecisionDrop: "drop", DecisionAcknowledged: "acknowledged",
	DecisionCounted: "counted", DecisionRecall: "recall",
}

// String returns the name of the decision in logs.
func (d Decision) String() string { return enumName(decisionNames, d) }
