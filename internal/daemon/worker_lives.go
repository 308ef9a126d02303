package daemon

import (
	"slices"

	"otterchute/internal/schema"
	"otterchute/internal/wire"
)

// Only one worker runs at a time on a daemon's machine. A worker that crashes is followed by another one with a new
// id, and heartbeats may arrive late: also those of a worker that has ended, after its successor has begun, and also
// as the first ones that a restarted daemon receives. So neither an unknown id nor the time of arrival tells which
// worker runs now.
//
// What tells is a reply that has certainly reached its worker: the worker lists an attempt that was ordered in it, or
// sends its next heartbeat on the connection of the reply. That worker ran after the reply was sent. Every other
// worker that had reported before then ran earlier, so it has ended. Until that is known, the attempts of
// a worker are resolved only by its own reports or the end of its hold.

// formerWorkersMax is how many workers that have ended, and how many that signed off before their first report, are
// remembered.
const formerWorkersMax = 64

// isFormerWorker reports whether a worker of this machine has certainly ended, as far as this process remembers.
func (n *node) isFormerWorker(worker string) bool { return slices.Contains(n.formerWorkers, worker) }

// remember appends a worker to a bounded list of workers.
func remember(workers []string, worker string) []string {
	if slices.Contains(workers, worker) {
		return workers
	}
	workers = append(workers, worker)
	return workers[max(0, len(workers)-formerWorkersMax):]
}

// colocatedWorkersMax is how many workers may report to one daemon at a time, former ones that are not settled yet
// included. A machine has one worker at a time.
const colocatedWorkersMax = 256

// hasRoomForWorker reports whether another worker may begin to report here. At the bound, a worker that holds no
// attempts and has been silent for longer than its hold is forgotten, as by a restart of this daemon.
func (n *node) hasRoomForWorker() bool {
	if len(n.agents) < colocatedWorkersMax {
		return true
	}
	for _, name := range sortedKeys(n.agents) {
		agent := n.agents[name]
		if agent.colocated && len(agent.attempts) == 0 && n.now > agent.holdUntilMs+lapseMarginMs {
			delete(n.agents, name)
			return true
		}
	}
	return false
}

// addColocatedAgent creates the agent of a worker that sends heartbeats to this daemon.
func (n *node) addColocatedAgent(worker string) *workerAgent {
	agent := &workerAgent{
		worker:         worker,
		epoch:          n.Incarnation,
		startMs:        n.now,
		attempts:       map[wire.AttemptKey]*agentAttempt{},
		tombstones:     map[wire.AttemptKey]int64{},
		ownerEpochs:    map[string]uint64{},
		lastSuccessMs:  n.now,
		lastContactMs:  n.now,
		tokenMs:        -1 << 40,
		colocated:      true,
		holdUntilMs:    n.now + holdMaxMs*(100+driftPercent)/100, // granted by a former process of this daemon
		signedOff:      slices.Contains(n.signedOffWorkers, worker),
		endsByNumber:   map[int64]wire.AttemptKey{},
		ownerReplyMs:   map[string]int64{},
		firstHeartbeat: n.heartbeatCount + 1,
	}
	n.agents[worker] = agent
	n.log("worker_new", "worker", worker, "epoch", agent.epoch)
	return agent
}

// recordLife counts an accepted heartbeat, and records whether it shows that the worker received the reply before.
func (n *node) recordLife(agent *workerAgent, connection uint64) {
	n.heartbeatCount++
	agent.heartbeats++
	if connection != 0 && connection == agent.repliedOn {
		agent.receivedReply = max(agent.receivedReply, agent.repliedAt)
	}
}

// endFormerWorkers resolves the attempts of the workers that have certainly ended: those that had reported before
// the reply that the given worker has received.
func (n *node) endFormerWorkers(current *workerAgent) {
	for _, name := range sortedKeys(n.agents) {
		former := n.agents[name]
		if former == current || !former.colocated || former.replaced || former.firstHeartbeat > current.receivedReply {
			continue
		}
		n.log("worker_replaced", "worker", name, "by", current.worker)
		n.formerWorkers = remember(n.formerWorkers, name)
		n.resolveLostAttempts(former)
		former.replaced, former.leaving = true, true
		n.reportAgent(former)
	}
}

// mayServe reports whether a worker may get work: its lists are complete, since it sent them after a reply of this
// process or, as far as can be told without that, after its first heartbeat here. A worker that has received no reply
// waits while another one reports too.
func (n *node) mayServe(agent *workerAgent) bool {
	if agent.receivedReply != 0 {
		return true
	}
	for _, other := range n.agents { // one is enough, so the order does not matter
		if other != agent && other.colocated && !other.replaced && n.now-other.lastContactMs <= quietMs {
			return false
		}
	}
	return agent.heartbeats > 1
}

// handleWorkerGone handles the sign-off of a worker. A worker that has announced its departure before ends with its
// sign-off. Any other one may serve on for seconds: it gets no more work, and its attempts run until it reports their
// end or its hold has lapsed, as for a worker that crashes.
func (n *node) handleWorkerGone(req *request) {
	agent := n.agents[req.key]
	switch {
	case agent == nil:
		if schema.ValidName(req.key) { // it may report yet
			n.signedOffWorkers = remember(n.signedOffWorkers, req.key)
		}
	case agent.colocated && !agent.signedOff:
		agent.signedOff, agent.leaving = true, true
		if agent.draining {
			agent.goneAtMs = n.now + signOffDelayMs
		}
		n.log("worker_gone", "worker", agent.worker, "draining", agent.draining)
		n.reportAgent(agent)
	}
	n.respond(req, 200, 0, mustJSON(map[string]any{"worker": req.key}))
}
