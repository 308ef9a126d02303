package daemon

import (
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

// An agent observes all ended attempts at its worker, for jobs of any owner, and receives from the
// coordinator how often each queue's tasks fail across the fleet. It compares the two (see
// scheduler.Evidence) and ejects a worker that fails significantly more tasks: owners and the central
// scheduler place no more work there as long as other workers are available. After a while the worker
// is tried again.

const (
	// stallSuspectMs is how long a worker is suspect after work has stalled there, doubled each time.
	stallSuspectMs = 3000
	// failureSuspectMs is how long a worker is suspect after it was ejected for failed tasks, doubled each
	// time. It is longer than stallSuspectMs, since the worker is tried again with real tasks, and each
	// failure costs one of their attempts.
	failureSuspectMs = 10_000
	suspectCountMax  = 4 // suspicions after which the duration no longer doubles
)

// observeOutcome counts the outcome of an attempt. A faulty job fails on every worker, so only one failure
// of each job within healthDecayMs counts as evidence against the worker, and none while it is suspect.
func (n *node) observeOutcome(agent *workerAgent, attempt *agentAttempt, failed bool) {
	if attempt.unobserved || attempt.spec.Queue == "" {
		return
	}
	if agent.outcomeCounts == nil {
		agent.outcomeCounts, agent.failedJobs = map[string]scheduler.OutcomeCounts{}, map[string]int64{}
	}
	counts := agent.outcomeCounts[attempt.spec.Queue]
	counts.Observe(failed)
	agent.outcomeCounts[attempt.spec.Queue] = counts
	if failed {
		lastFailureMs, failedBefore := agent.failedJobs[attempt.spec.Key.Job]
		agent.failedJobs[attempt.spec.Key.Job] = n.now
		if failedBefore && n.now-lastFailureMs <= healthDecayMs {
			return
		}
	}
	if n.now >= agent.suspectUntilMs {
		agent.evidence.Observe(failed, n.ranks.failRate(attempt.spec.Queue))
	}
}

// ejectIfUnhealthy marks a worker as suspect if it fails far more tasks than others, and returns its
// queued attempts to their owners.
func (n *node) ejectIfUnhealthy(agent *workerAgent) {
	if !agent.evidence.Conclusive() || !n.Policies.On(scheduler.EjectUnhealthy) {
		return
	}
	agent.evidence.StartProbation()
	n.markSuspect(agent, "fails", failureSuspectMs)
	n.count("workers_ejected")
	for _, key := range agent.keys() {
		if attempt := agent.attempts[key]; attempt.state == wire.AttemptQueued {
			attempt.state, attempt.result = wire.AttemptEnded, wire.ResultShed
		}
	}
	n.reportAgent(agent)
}

// markSuspect marks a worker as suspect, so that it gets no more work for a while, each time for longer.
func (n *node) markSuspect(agent *workerAgent, reason string, durationMs int64) {
	agent.suspectCount = min(agent.suspectCount+1, suspectCountMax)
	agent.suspectUntilMs = n.now + durationMs<<(agent.suspectCount-1)
	n.log("worker_suspect", "worker", agent.worker, "why", reason, "for_ms", agent.suspectUntilMs-n.now)
}

// outcomesByQueue returns the recent outcomes of attempts at the worker, for the coordinator.
func (a *workerAgent) outcomesByQueue() (ends []wire.QueueOutcomes) {
	for _, queue := range sortedKeys(a.outcomeCounts) {
		counts := a.outcomeCounts[queue]
		ends = append(ends, wire.QueueOutcomes{Queue: queue, Succeeded: counts.Succeeded, Failed: counts.Failed})
	}
	return ends
}

// failRates returns how often each queue's tasks fail at workers that are not suspect.
func (c *centralScheduler) failRates() (rates []wire.QueueFailRate) {
	counts := map[string]scheduler.OutcomeCounts{}
	for _, w := range c.workers { // the order does not affect sums
		if w.Suspect {
			continue
		}
		for _, e := range w.Outcomes {
			counts[e.Queue] = counts[e.Queue].Plus(scheduler.OutcomeCounts{Succeeded: e.Succeeded, Failed: e.Failed})
		}
	}
	for _, queue := range sortedKeys(counts) {
		rates = append(rates, wire.QueueFailRate{Queue: queue, PerMille: int32(counts[queue].FailRate() * perMille)})
	}
	return rates
}

// perMille scales the failure rates that are sent as integers.
const perMille = 1000

// A worker's health as sent with its rank; 0 is healthy. The values are part of the wire format.
const (
	healthEjected   int8 = 1 // gets no more work as long as other workers are available
	healthProbation int8 = 2 // was ejected recently and is being tried again
)

// ejected reports whether the coordinator's last round lists a worker as ejected.
func (r *rankState) ejected(worker string) bool { return r.unhealthy[worker] == healthEjected }

// failRate returns how often a queue's tasks fail across the fleet, by the coordinator's last round.
func (r *rankState) failRate(queue string) float64 {
	if rate, known := r.failRates[queue]; known {
		return rate
	}
	return scheduler.DefaultFailRate()
}
