package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

// Tasks of the most urgent queues must start at once at any worker. The coordinator announces the share of
// each worker that other queues must leave free for them (see scheduler.HeadroomEstimator). The central scheduler
// keeps this headroom free of guaranteed tasks, owners and agents keep it free of queueable ones.

// isUrgent reports whether a queue is one of the most urgent ones.
func (n *node) isUrgent(queue *configuration.Queue) bool {
	return queue.Urgency >= n.config.current.HighestUrgency
}

// fleetIdle reports whether most of the fleet's resources were free in the coordinator's last round; false
// if that is stale.
func (n *node) fleetIdle() bool { return n.ranks.idle && n.now-n.ranks.receivedMs <= rankStaleMs }

// urgentHeadroom returns the resources of a worker that queueable tasks of less urgent queues leave free;
// none while the coordinator's last round is stale.
func (n *node) urgentHeadroom(capacity, urgentUsed resource.Amount) resource.Amount {
	stale := n.now-n.ranks.receivedMs > rankStaleMs
	if stale || n.ranks.headroomPercent == (resource.Amount{}) || !n.Policies.On(scheduler.UrgentRoom) {
		return resource.Amount{}
	}
	return scheduler.UrgentHeadroom(capacity, urgentUsed, n.ranks.headroomPercent)
}

// availableResources returns the resources of a worker that a queueable task of a queue may take, from the view
// of a shard's owner.
func (n *node) availableResources(
	shard *ownedShard, queue *configuration.Queue, excess bool, name string, w *workerView,
) resource.Amount {
	free := n.freeResources(shard, name, w)
	if n.mayUseUrgentHeadroom(queue, excess) {
		return free
	}
	return free.Minus(n.urgentHeadroom(w.capacity, w.urgentUse))
}

// urgentUse returns the resources that attempts of the most urgent queues in the given states hold at the
// worker.
func (a *workerAgent) urgentUse(n *node, states ...wire.AttemptState) (used resource.Amount) {
	for _, attempt := range a.attempts { // the order does not affect sums
		q := n.config.current.Queue(attempt.spec.Queue)
		if q == nil || !n.mayUseUrgentHeadroom(q, attempt.spec.Excess) {
			continue
		}
		for _, state := range states {
			if attempt.state == state {
				used = used.Plus(attempt.spec.Resources)
			}
		}
	}
	return used
}
