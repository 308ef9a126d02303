package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

// Work of the most urgent queues is to start at once wherever it arrives. The coordinator
// says which share of each worker others leave to it: see scheduler.HeadroomEstimator. The central
// scheduler keeps it from firm tasks, local schedulers and agents from queueable ones.

// isUrgent tells whether a queue is one of the most urgent ones.
func (n *node) isUrgent(q *configuration.Queue) bool {
	return q.Urgency >= n.config.current.HighestUrgency
}

// fleetIdle tells whether most of all room was free when the coordinator last told.
func (n *node) fleetIdle() bool { return n.ranks.idle && n.now-n.ranks.receivedMs <= rankStaleMs }

// urgentHeadroom is the room of a worker that queueable tasks of other queues leave free. While the
// coordinator's word is stale nothing is kept.
func (n *node) urgentHeadroom(capacity, urgentUsed resource.Amount) resource.Amount {
	stale := n.now-n.ranks.receivedMs > rankStaleMs
	if stale || n.ranks.headroomPercent == (resource.Amount{}) || !n.Policies.On(scheduler.UrgentRoom) {
		return resource.Amount{}
	}
	return scheduler.UrgentHeadroom(capacity, urgentUsed, n.ranks.headroomPercent)
}

// availableRoom is the room of a worker that a queueable task of a queue may take, as far as a
// shard's owner knows.
func (n *node) availableRoom(
	shard *ownedShard, q *configuration.Queue, excess bool, name string, w *workerView,
) resource.Amount {
	free := n.freeResources(shard, name, w)
	if n.mayUseUrgentHeadroom(q, excess) {
		return free
	}
	return free.Minus(n.urgentHeadroom(w.capacity, w.urgentUse))
}

// urgentUse is the room of the attempts of the most urgent queues at a worker that have
// one of some states.
func (a *workerAgent) urgentUse(n *node, states ...wire.AttemptState) (held resource.Amount) {
	for _, attempt := range a.attempts { // a sum: the order does not matter
		q := n.config.current.Queues[attempt.spec.Queue]
		if q == nil || !n.mayUseUrgentHeadroom(q, attempt.spec.Excess) {
			continue
		}
		for _, state := range states {
			if attempt.state == state {
				held = held.Plus(attempt.spec.Resources)
			}
		}
	}
	return held
}
