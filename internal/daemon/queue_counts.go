package daemon

import (
	"otterchute/internal/lease"
	"otterchute/internal/wire"
)

const (
	// queueCountsMs is the pace at which owners tell daemons that take callers how many
	// jobs wait in each queue.
	queueCountsMs = 800
	// queueCountsStaleMs: a count older than this, two lost messages and the way, is not passed on.
	queueCountsStaleMs = 2000
)

// queueCounts is what the owner of one shard last told.
type queueCounts struct {
	epoch      uint64
	receivedMs int64
	pending    map[string]int64
}

// pendingByQueue counts a shard's jobs that wait for their first start, by queue.
func pendingByQueue(sl *ownedShard) map[string]int64 {
	pending := map[string]int64{}
	for _, js := range sl.jobs {
		if js.committed > 0 && js.state() == "pending" {
			pending[js.Queue]++
		}
	}
	return pending
}

// tickQueueCounts tells the daemons that take callers what waits in the shards owned here.
func (n *node) tickQueueCounts() {
	if n.now < n.queueCountsAt || len(n.owned) == 0 {
		return
	}
	n.queueCountsAt = n.now + queueCountsMs
	for _, name := range sortedKeys(n.owned) {
		sl := n.owned[name]
		if !sl.serving || len(sl.loading) > 0 || !n.leases.Holds(lease.ShardRole(name)) {
			continue
		}
		pending := pendingByQueue(sl)
		m := &wire.QueueCounts{Shard: name, Epoch: sl.epoch}
		for _, queue := range sortedKeys(pending) {
			m.Counts = append(m.Counts, wire.QueueCount{Queue: queue, Pending: pending[queue]})
		}
		for _, peer := range n.peers.AliveNames() {
			if peer != n.Name && !n.peers.Describe(peer).Colocated {
				n.send(peer, m)
			}
		}
	}
}

func (n *node) onQueueCounts(_ string, m *wire.QueueCounts) {
	if old := n.queueCounts[m.Shard]; old != nil && m.Epoch < old.epoch {
		return
	}
	counts := &queueCounts{epoch: m.Epoch, receivedMs: n.now, pending: map[string]int64{}}
	for _, c := range m.Counts {
		counts.pending[c.Queue] = c.Pending
	}
	if n.queueCounts == nil {
		n.queueCounts = map[string]*queueCounts{}
	}
	n.queueCounts[m.Shard] = counts
}

// pendingIn counts a queue's jobs, in all shards, that wait for their first start; false
// where a shard's owner has not told for too long.
func (n *node) pendingIn(queue string) (count int64, known bool) {
	for _, name := range n.core.Shards {
		if sl := n.owned[name]; sl != nil && sl.serving && n.leases.Holds(lease.ShardRole(name)) {
			count += pendingByQueue(sl)[queue]
			continue
		}
		counts := n.queueCounts[name]
		if counts == nil || n.now-counts.receivedMs > queueCountsStaleMs {
			return 0, false
		}
		count += counts.pending[queue]
	}
	return count, len(n.core.Shards) > 0
}

// respondPending answers how many jobs of a queue wait for their first start.
func (n *node) respondPending(a *request, queue string) {
	count, known := n.pendingIn(queue)
	if !known {
		n.reject(a, "not all shards have told what waits")
		return
	}
	n.respond(a, 200, 0, mustJSON(map[string]any{"waiting": count}))
}
