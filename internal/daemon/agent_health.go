package daemon

import (
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

// An agent sees all ends at its worker, whoever owns the jobs, and the coordinator tells how
// often each queue's tasks fail everywhere. So the agent judges its worker itself, with the
// end that decides: see scheduler.Evidence. Owners and the central scheduler then give the
// worker no more work, as long as there are others; after a while it is tried again.

const (
	stallSuspectMs   = 3000   // a worker where work stood still gets no more for this long, doubled each time
	failureSuspectMs = 10_000 // and one that fails its tasks: it is tried again with real work, which costs attempts
	suspectMax       = 4      // times that a worker is suspect before that takes no longer
)

// observeEnd counts how a run ended. A job that can't be done fails everywhere, so that of each
// job one failure in a while speaks against the worker, and none while it gets no work.
func (n *node) observeEnd(agent *workerAgent, attempt *agentAttempt, failed bool) {
	if attempt.unobserved || attempt.spec.Queue == "" {
		return
	}
	if agent.endCounts == nil {
		agent.endCounts, agent.failedJobs = map[string]scheduler.OutcomeCounts{}, map[string]int64{}
	}
	counts := agent.endCounts[attempt.spec.Queue]
	counts.Observe(failed)
	agent.endCounts[attempt.spec.Queue] = counts
	if failed {
		lastMs, before := agent.failedJobs[attempt.spec.Key.Job]
		agent.failedJobs[attempt.spec.Key.Job] = n.now
		if before && n.now-lastMs <= healthDecayMs {
			return
		}
	}
	if n.now >= agent.suspectUntilMs {
		agent.evidence.Observe(failed, n.ranks.failRate(attempt.spec.Queue))
	}
}

// judgeWorker has a worker that fails far more than others get no more work for a while. What
// waits there, and never started, goes back.
func (n *node) judgeWorker(agent *workerAgent) {
	if !agent.evidence.Conclusive() || !n.Policies.On(scheduler.EjectUnhealthy) {
		return
	}
	agent.evidence.StartProbation()
	n.suspectWorker(agent, "fails", failureSuspectMs)
	n.count("workers_ejected")
	for _, key := range agent.keys() {
		if attempt := agent.attempts[key]; attempt.state == wire.AttemptQueued {
			attempt.state, attempt.result = wire.AttemptEnded, wire.ResultShed
		}
	}
	n.reportAgent(agent)
}

// suspectWorker has a worker get no more work for a while, each time for longer.
func (n *node) suspectWorker(agent *workerAgent, why string, forMs int64) {
	agent.suspectCount = min(agent.suspectCount+1, suspectMax)
	agent.suspectUntilMs = n.now + forMs<<(agent.suspectCount-1)
	n.log("worker_suspect", "worker", agent.worker, "why", why, "for_ms", agent.suspectUntilMs-n.now)
}

// endsByQueue is how runs ended here lately, for the coordinator.
func (a *workerAgent) endsByQueue() (ends []wire.QueueOutcomes) {
	for _, queue := range sortedKeys(a.endCounts) {
		counts := a.endCounts[queue]
		ends = append(ends, wire.QueueOutcomes{Queue: queue, Succeeded: counts.Succeeded, Failed: counts.Failed})
	}
	return ends
}

// failRates is how often each queue's tasks fail at workers that nobody suspects.
func (c *centralScheduler) failRates() (rates []wire.QueueFailRate) {
	sums := map[string]scheduler.OutcomeCounts{}
	for _, w := range c.workers { // sums: the order does not matter
		if w.Suspect {
			continue
		}
		for _, e := range w.Outcomes {
			sums[e.Queue] = sums[e.Queue].Plus(scheduler.OutcomeCounts{Succeeded: e.Succeeded, Failed: e.Failed})
		}
	}
	for _, queue := range sortedKeys(sums) {
		rates = append(rates, wire.QueueFailRate{Queue: queue, PerMille: int32(sums[queue].FailRate() * perMille)})
	}
	return rates
}

const perMille = 1000

// What a round of ranks says of a worker's health; 0 for nothing. The values are part of the wire's form.
const (
	healthEjected   int8 = 1 // it gets no more work, as long as there are others
	healthProbation int8 = 2 // it was ejected lately and is tried again
)

// ejected tells whether a worker gets no more work, as long as there are others.
func (r *rankState) ejected(worker string) bool { return r.unhealthy[worker] == healthEjected }

// failRate is how often a queue's tasks fail everywhere, as the coordinator last told.
func (r *rankState) failRate(queue string) float64 {
	if rate, known := r.failRates[queue]; known {
		return rate
	}
	return scheduler.DefaultFailRate()
}
