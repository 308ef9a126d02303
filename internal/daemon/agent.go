package daemon

import (
	"slices"

	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

const (
	agentIdleMs   = 600_000 // an agent whose worker is silent and owes nothing lets go
	tombstoneMs   = 6000    // dropped attempts are remembered longer than any placement stays fresh
	agentQueueMax = 400     // unstarted tasks an agent holds before it rejects
	bypassMs      = 3000    // queued tasks may overtake a larger head for this long, no longer
	// the ends of a worker's runs, and suspicions of it, count for less after each such time
	healthDecayMs        = 10_000
	agentSyncMs          = 300  // agents tell owners and the central scheduler all they hold
	workerReportMaxAgeMs = 1500 // a worker's word must be this fresh; leaving must bite in 2 s
	orderTimeoutMs       = 700  // an order that has not been answered by then is closed and unconfirmed
)

// workerAgent is the only giver of one worker's orders and the guard of its room.
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
	tokenMs           int64 // our clock when the token was issued that the last report carried
	lastContactMs     int64
	rebuilt           bool

	attempts      map[wire.AttemptKey]*agentAttempt
	tombstones    map[wire.AttemptKey]int64
	ownerEpochs   map[string]uint64 // shard -> highest owner epoch heard
	lastSuccessMs int64
	nextSyncMs    int64
	succeeded     int64
	failed        int64
	lagPercent    int64
	evidence      scheduler.Evidence                 // whether it fails more than others
	endCounts     map[string]scheduler.OutcomeCounts // lately, by queue
	failedJobs    map[string]int64                   // when a job's task last failed here
	nextDecayMs   int64

	colocated        bool
	rack             string
	holdUntilMs      int64 // all that runs there has surely ended by then, if no heartbeat comes
	acknowledgedEnds int64 // ends up to this number were taken note of
	endsByNumber     map[int64]wire.AttemptKey
	ownerReplyMs     map[string]int64 // shard -> our clock at the last sync that its owner answered
	toStart          []*agentAttempt  // what the answer to this heartbeat starts
	answering        bool             // a heartbeat is being answered
	goneAtMs         int64            // it said that it goes; 0 if not
	leavesAtMs       int64            // what runs there then dies; 0 if it does not leave
	replaced         bool             // another worker sends heartbeats from its place
	lapseUntilMs     int64            // the hold must lapse before this: late ends wait for that
	suspectUntilMs   int64            // until then it is suspect
	suspectCount     int64            // how often it was, lately
	adoptedMs        int64
	lastReports      map[string]sentReport // shard, "" for the central scheduler -> its last report
	nextChangesMs    int64                 // before that no partial report leaves
	changesPending   bool                  // something has ended since the last one
	quiet            bool                  // as owners were last told
	guaranteedEnded  bool                  // since the central scheduler was last told
}

type agentAttempt struct {
	spec        wire.TaskSpec
	state       wire.AttemptState
	result      wire.AttemptResult
	ranMs       int64
	confirmedMs int64
	queuedMs    int64
	orderedMs   int64
	answeredMs  int64
	startedMs   int64
	unobserved  bool // nobody here saw when it began, or when it ended
	listed      bool // the last report shows it running
	stopMs      int64
	stopSentMs  int64
	stopReason  wire.AttemptResult
	ordered     bool // an order may have left; the worker may know it
	acked       bool

	specUnknown    bool  // found running: its room is not known yet
	orderSeq       int64 // the heartbeat whose answer carried the order
	percent        int64
	lastProgressMs int64 // when its work last moved
	lateEnd        bool  // ended by itself, and its owner may have given it up meanwhile
	voided         bool  // ended, and the hold has lapsed since
	adoptedMs      int64
	reportedMs     int64 // when its owner was last told of its end
}

// sentReport is whom a report last went to, and when.
type sentReport struct {
	to   string
	atMs int64
}

func (a *workerAgent) keys() []wire.AttemptKey {
	out := make([]wire.AttemptKey, 0, len(a.attempts))
	for k := range a.attempts {
		out = append(out, k)
	}
	slices.SortFunc(out, wire.CompareAttemptKeys)
	return out
}

func (n *node) startAgent(w string, epoch uint64) {
	n.agents[w] = &workerAgent{
		worker:        w,
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

func (a *workerAgent) forget(key wire.AttemptKey, now int64) {
	delete(a.attempts, key)
	a.tombstones[key] = now
}

// isActiveAgent tells whether this daemon is surely a worker's agent now.
func (n *node) isActiveAgent(agent *workerAgent) bool {
	if agent.colocated {
		return !agent.replaced
	}
	return n.leases.Holds(lease.AgentRole(agent.worker))
}

func (n *node) tickAgents() {
	for _, name := range sortedKeys(n.agents) {
		if agent := n.agents[name]; agent.colocated {
			n.tickColocatedAgent(agent)
		} else {
			n.tickLeasedAgent(agent)
		}
	}
}

// tickLeasedAgent stops what ran too long, reports, starts what has room, and hands the
// role off once its worker has long been silent.
func (n *node) tickLeasedAgent(agent *workerAgent) {
	n.enforceLimits(agent)
	n.dropOldTombstones(agent)
	n.decayHealth(agent)
	if n.now >= agent.nextSyncMs {
		n.reportAgent(agent)
	}
	n.startPending(agent)
	if len(agent.attempts) == 0 && n.now-agent.lastContactMs > agentIdleMs {
		n.leases.HandOff(lease.AgentRole(agent.worker), "")
	}
}

// enforceLimits stops attempts that are past their run limit, repeats stops that are
// not yet heard of, and gives up what waits at a silent worker.
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
			attempt.state, attempt.result = wire.AttemptEnded, wire.ResultShed // its worker is silent; it never started
		}
	}
}

// dropOldTombstones forgets ends that no late message can bring up any more.
func (n *node) dropOldTombstones(agent *workerAgent) {
	for k, at := range agent.tombstones {
		if n.now-at > tombstoneMs && agent.attempts[k] == nil {
			delete(agent.tombstones, k)
		}
	}
}

// decayHealth lets a worker's past ends and suspicions count for less with time.
func (n *node) decayHealth(agent *workerAgent) {
	if n.now < agent.nextDecayMs {
		return
	}
	agent.nextDecayMs = n.now + healthDecayMs
	agent.succeeded, agent.failed = agent.succeeded*3/4, agent.failed*3/4
	for queue, counts := range agent.endCounts {
		if counts.Decay(); counts == (scheduler.OutcomeCounts{}) {
			delete(agent.endCounts, queue)
		} else {
			agent.endCounts[queue] = counts
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
