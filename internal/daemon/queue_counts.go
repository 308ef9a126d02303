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
func pendingByQueue(shard *ownedShard) map[string]int64 {
	pending := map[string]int64{}
	for _, job := range shard.jobs {
		if job.committed > 0 && job.state() == "pending" {
			pending[job.Queue]++
		}
	}
	return pending
}

// tickQueueCounts tells the daemons that take callers what waits in the shards owned here.
func (n *node) tickQueueCounts() {
	if n.now < n.nextQueueCountsMs || len(n.shards) == 0 {
		return
	}
	n.nextQueueCountsMs = n.now + queueCountsMs
	for _, name := range sortedKeys(n.shards) {
		shard := n.shards[name]
		if !shard.serving || len(shard.loading) > 0 || !n.leases.Holds(lease.ShardRole(name)) {
			continue
		}
		pending := pendingByQueue(shard)
		m := &wire.QueueCounts{Shard: name, Epoch: shard.epoch}
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
		if shard := n.shards[name]; shard != nil && shard.serving && n.leases.Holds(lease.ShardRole(name)) {
			count += pendingByQueue(shard)[queue]
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
func (n *node) respondPending(req *request, queue string) {
	count, known := n.pendingIn(queue)
	if !known {
		n.reject(req, "not all shards have told what waits")
		return
	}
	n.respond(req, 200, 0, mustJSON(map[string]any{"waiting": count}))
}
