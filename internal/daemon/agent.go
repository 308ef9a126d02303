package daemon

import (
	"slices"

	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

const (
	agentIdleMs   = 600_000 // a leased agent without attempts hands off its role after this much worker silence
	tombstoneMs   = 6000    // tombstones outlive any placement that could still be accepted
	agentQueueMax = 400     // queued attempts beyond which an agent rejects placements
	bypassMs      = 3000    // queued tasks may overtake a larger one at the head of the queue for this long
	// healthDecayMs is the interval at which the counts of a worker's outcomes and suspicions decay.
	healthDecayMs  = 10_000
	leasedReportMs = 300 // interval of a leased agent's full reports
	// workerReportMaxAgeMs bounds the age of the worker report that orders are based on: a worker that
	// is leaving must get no new work after 2 s.
	workerReportMaxAgeMs = 1500
	orderTimeoutMs       = 700 // the connection of an order without an answer is reset after this; it may have started
)

// workerAgent is the only sender of orders to one worker, and accounts for the worker's resources.
// It holds the agent's lease, or runs on the daemon beside the worker (colocated).
type workerAgent struct {
	worker  string
	epoch   uint64
	startMs int64

	workerIncarnation string
	pastIncarnations  []string
	addr              string
	zone              string
	labels            []wire.Label
	leaving           bool
	free              resource.Amount
	capacity          resource.Amount
	reportSeq         int64
	tokenMs           int64 // when this agent issued the token that the last worker report carried
	lastContactMs     int64
	rebuilt           bool // all attempts that may run at the worker are in attempts

	attempts         map[wire.AttemptKey]*agentAttempt
	tombstones       map[wire.AttemptKey]int64 // removed attempts -> when they were removed
	ownerEpochs      map[string]uint64         // shard -> highest owner epoch received
	lastSuccessMs    int64
	nextFullReportMs int64
	succeeded        int64
	failed           int64
	lagPercent       int64                              // moving average of run time as a percentage of the estimate
	evidence         scheduler.Evidence                 // whether the worker fails more tasks than others
	outcomeCounts    map[string]scheduler.OutcomeCounts // queue -> decaying counts
	failedJobs       map[string]int64                   // job -> when one of its tasks last failed here
	nextDecayMs      int64

	colocated        bool
	rack             string
	holdUntilMs      int64 // without further heartbeats the worker has ended all attempts by this time
	acknowledgedEnds int64 // ends with numbers up to this one are acknowledged to the worker
	endsByNumber     map[int64]wire.AttemptKey
	ownerReplyMs     map[string]int64 // shard -> when the last report that its owner answered was sent
	toStart          []*agentAttempt  // attempts that the reply to the current heartbeat starts
	replying         bool             // a heartbeat is being answered
	// firstHeartbeat, receivedReply and the reply's connection order the lives of the machine's workers, see
	// worker_lives.go. They are values of node.heartbeatCount.
	firstHeartbeat  uint64 // the worker's first heartbeat to this process
	heartbeats      int64  // heartbeats that were accepted from the worker
	receivedReply   uint64 // the worker has certainly received the reply to this heartbeat; 0 for none
	repliedOn       uint64 // the connection of the last reply
	repliedAt       uint64 // the heartbeat that the last reply was for
	draining        bool   // the worker's last report announced its departure
	signedOff       bool   // the worker has signed off; it may serve on for a while
	goneAtMs        int64  // when a worker that signed off has ended for certain; 0 if it has not
	leavesAtMs      int64  // when a leaving worker ends all its attempts; 0 if unknown
	replaced        bool   // another worker sends heartbeats to this daemon instead
	lapseUntilMs    int64  // no hold is granted before this time, so that the last one lapses; 0 otherwise
	suspectUntilMs  int64
	suspectCount    int64                 // recent suspicions; it decays
	lastReports     map[string]sentReport // shard, "" for the central scheduler -> its last report
	nextChangesMs   int64                 // no partial report is sent before this time
	changesPending  bool                  // attempts have ended since the last report
	reportedQuiet   bool                  // whether the last full report was sent while the worker was quiet
	guaranteedEnded bool                  // a guaranteed attempt has ended since the last report to the central scheduler
}

// agentAttempt is an attempt as its worker's agent tracks it, from placement to acknowledgement.
type agentAttempt struct {
	spec        wire.TaskSpec
	state       wire.AttemptState
	result      wire.AttemptResult
	ranMs       int64
	confirmedMs int64 // send time of the latest report for which the owner confirmed the attempt
	queuedMs    int64
	orderedMs   int64
	answeredMs  int64 // when the worker answered the order
	startedMs   int64
	unobserved  bool // its start or its end was not observed by this agent, so its run time is unknown
	listed      bool // the worker's last report lists it as running
	stopMs      int64
	stopSentMs  int64
	stopReason  wire.AttemptResult
	ordered     bool // an order may have been sent, so the worker may have the attempt
	acked       bool // the owner has acknowledged the end

	specUnknown    bool   // reported by the worker only; the owner has not sent its spec and resources yet
	orderSeq       int64  // sequence number of the heartbeat whose reply carried the order
	orderedIn      uint64 // the same heartbeat as a value of node.heartbeatCount; 0 if this process didn't order it
	percent        int64
	lastProgressMs int64
	endedLate      bool  // its owner may have resolved it as lost before it ended by itself
	endRefused     bool  // its owner doesn't count its end, so a late end waits for the hold to lapse
	voided         bool  // the hold has lapsed since it was ordered, so its end is no longer late
	adoptedMs      int64 // when it was adopted from the worker's list; 0 if it was placed here
	reportedMs     int64 // when the end was last reported to the owner
}

// sentReport records where and when a report was last sent.
type sentReport struct {
	to   string
	atMs int64
}

// keys returns the keys of all attempts in a fixed order.
func (a *workerAgent) keys() []wire.AttemptKey {
	out := make([]wire.AttemptKey, 0, len(a.attempts))
	for k := range a.attempts {
		out = append(out, k)
	}
	slices.SortFunc(out, wire.CompareAttemptKeys)
	return out
}

// startAgent creates the agent of a worker whose agent lease this daemon has acquired.
func (n *node) startAgent(name string, epoch uint64) {
	n.agents[name] = &workerAgent{
		worker:        name,
		epoch:         epoch,
		startMs:       n.now,
		attempts:      map[wire.AttemptKey]*agentAttempt{},
		tombstones:    map[wire.AttemptKey]int64{},
		ownerEpochs:   map[string]uint64{},
		lastSuccessMs: n.now,
		lastContactMs: n.now,
		tokenMs:       -1 << 40,
	}
}

// forget removes an attempt and leaves a tombstone, so that a late message can't bring it back.
func (a *workerAgent) forget(key wire.AttemptKey, now int64) {
	delete(a.attempts, key)
	a.tombstones[key] = now
}

// isActiveAgent reports whether this daemon is certain to be the worker's agent now.
func (n *node) isActiveAgent(agent *workerAgent) bool {
	if agent.colocated {
		return !agent.replaced
	}
	return n.leases.Holds(lease.AgentRole(agent.worker))
}

// tickAgents does the periodic work of all agents of this daemon.
func (n *node) tickAgents() {
	for _, name := range sortedKeys(n.agents) {
		if agent := n.agents[name]; agent.colocated {
			n.tickColocatedAgent(agent)
		} else {
			n.tickLeasedAgent(agent)
		}
	}
}

// tickLeasedAgent stops attempts that are over their run limit, sends reports, starts queued attempts,
// and hands off the role of an agent whose worker has been silent for agentIdleMs.
func (n *node) tickLeasedAgent(agent *workerAgent) {
	n.enforceLimits(agent)
	n.dropOldTombstones(agent)
	n.decayHealth(agent)
	if n.now >= agent.nextFullReportMs {
		n.reportAgent(agent)
	}
	n.startPending(agent)
	if len(agent.attempts) == 0 && n.now-agent.lastContactMs > agentIdleMs {
		n.leases.HandOff(lease.AgentRole(agent.worker), "")
	}
}

// enforceLimits stops attempts that are past their run limit, repeats stop orders until the end is
// reported, and returns queued attempts to their owners while the worker is silent.
func (n *node) enforceLimits(agent *workerAgent) {
	for _, key := range agent.keys() {
		attempt := agent.attempts[key]
		switch {
		case attempt.state == wire.AttemptRunning && attempt.stopMs != 0:
			n.stopAttempt(agent, attempt, attempt.stopReason)
		case attempt.state == wire.AttemptRunning && attempt.spec.LimitMs > 0 &&
			n.now-attempt.startedMs > attempt.spec.LimitMs,
			attempt.state == wire.AttemptOrdered && attempt.spec.LimitMs > 0 &&
				n.now-attempt.orderedMs > attempt.spec.LimitMs+orderTimeoutMs:
			n.stopAttempt(agent, attempt, wire.ResultOverrun)
		case attempt.state == wire.AttemptOrdered && attempt.stopMs != 0:
			n.stopAttempt(agent, attempt, attempt.stopReason)
		case attempt.state == wire.AttemptQueued && n.now-agent.lastContactMs > workerSilentMs:
			attempt.state, attempt.result = wire.AttemptEnded, wire.ResultShed // it was never started
		}
	}
}

// dropOldTombstones removes tombstones older than any message that could refer to them.
func (n *node) dropOldTombstones(agent *workerAgent) {
	for k, at := range agent.tombstones {
		if n.now-at > tombstoneMs && agent.attempts[k] == nil {
			delete(agent.tombstones, k)
		}
	}
}

// decayHealth decays the counts of a worker's outcomes and suspicions, once each healthDecayMs.
func (n *node) decayHealth(agent *workerAgent) {
	if n.now < agent.nextDecayMs {
		return
	}
	agent.nextDecayMs = n.now + healthDecayMs
	agent.succeeded, agent.failed = agent.succeeded*3/4, agent.failed*3/4
	for queue, counts := range agent.outcomeCounts {
		if counts.Decay(); counts == (scheduler.OutcomeCounts{}) {
			delete(agent.outcomeCounts, queue)
		} else {
			agent.outcomeCounts[queue] = counts
		}
	}
	for job, atMs := range agent.failedJobs {
		if n.now-atMs > healthDecayMs {
			delete(agent.failedJobs, job)
		}
	}
	if n.now > agent.suspectUntilMs+healthDecayMs {
		agent.suspectCount = max(0, agent.suspectCount-1)
	}
}
