package daemon

import (
	"otterchute/internal/lease"
	"otterchute/internal/wire"
)

const (
	// queueCountsMs is the interval at which owners send the number of pending jobs of each queue to the
	// daemons that serve callers.
	queueCountsMs = 800
	// queueCountsStaleMs is the age after which a count is not served. It allows for the loss of a message and
	// for the latency.
	queueCountsStaleMs = 2000
)

// queueCounts holds the counts that the owner of one shard last sent.
type queueCounts struct {
	epoch      uint64
	receivedMs int64
	pending    map[string]int64 // by jobRecord.Queue: jobs that wait for their first start
}

// pendingByQueue counts a shard's jobs that wait for their first start, by jobRecord.Queue.
func pendingByQueue(shard *ownedShard) map[string]int64 {
	pending := map[string]int64{}
	for _, job := range shard.jobs {
		if job.committed > 0 && job.state() == "pending" {
			pending[job.Queue]++
		}
	}
	return pending
}

// tickQueueCounts sends the counts of the shards owned here to the daemons that serve callers.
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

// onQueueCounts records the counts of a shard, unless they come from a former owner.
func (n *node) onQueueCounts(_ string, m *wire.QueueCounts) {
	if last := n.queueCounts[m.Shard]; last != nil && m.Epoch < last.epoch {
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

// pendingIn counts a queue's jobs, in all shards, that wait for their first start; known is false if the
// counts of some shard are missing or stale.
func (n *node) pendingIn(queueKey string) (count int64, known bool) {
	for _, name := range n.core.Shards {
		if shard := n.shards[name]; shard != nil && shard.serving && n.leases.Holds(lease.ShardRole(name)) {
			count += n.pendingOfQueue(pendingByQueue(shard), queueKey)
			continue
		}
		counts := n.queueCounts[name]
		if counts == nil || n.now-counts.receivedMs > queueCountsStaleMs {
			return 0, false
		}
		count += n.pendingOfQueue(counts.pending, queueKey)
	}
	return count, len(n.core.Shards) > 0
}

// pendingOfQueue adds up the counts of all keys under which a queue's jobs are stored.
func (n *node) pendingOfQueue(pending map[string]int64, queueKey string) (count int64) {
	for key, jobs := range pending {
		if n.config.current.SameQueue(key, queueKey) {
			count += jobs
		}
	}
	return count
}

// respondPending responds with the number of a queue's jobs that wait for their first start.
func (n *node) respondPending(req *request, queueKey string) {
	count, known := n.pendingIn(queueKey)
	if !known {
		n.reject(req, "not all shards have told what waits")
		return
	}
	n.respond(req, 200, 0, mustJSON(map[string]any{"waiting": count}))
}
