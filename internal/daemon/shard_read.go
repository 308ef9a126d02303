package daemon

import (
	"otterchute/internal/lease"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

// fetchOp is a quorum read of one job record, and the requests that wait for it.
type fetchOp struct {
	id        string
	job       *jobRecord // the new job to admit if the core has none; nil for other reads
	requests  []*request
	responded map[string]bool // by core member
	newest    statestore.Record
	startMs   int64
}

// fetchRecord starts the quorum read of one record; onRecordFetched continues with its result.
func (n *node) fetchRecord(shard *ownedShard, fetch *fetchOp) {
	fetch.startMs, fetch.responded = n.now, map[string]bool{}
	n.opSeq++
	shard.fetches[n.opSeq] = fetch
	for _, member := range n.core.Members {
		n.send(member.Name, &wire.FetchRequest{
			SetVersion: n.core.Version, Op: n.opSeq, Shard: shard.name, IDs: []string{fetch.id},
		})
	}
}

// onFetchResponse handles the records that a core member returns for a read without an owner, for a takeover or for
// a fetchOp.
func (n *node) onFetchResponse(from string, m *wire.FetchResponse) {
	if r := n.quorumReads[m.Op]; r != nil {
		n.onQuorumRead(r, m.Op, from, m.Records)
		return
	}
	for _, name := range sortedKeys(n.shards) {
		shard := n.shards[name]
		if member, ok := shard.missingFetches[m.Op]; ok && member == from {
			for _, r := range m.Records {
				if old := shard.mergedRecords[r.ID]; old.OlderThan(r) {
					shard.mergedRecords[r.ID] = r
				}
			}
			delete(shard.missingFetches, m.Op)
			delete(shard.missingRecords, from)
			if len(shard.missingRecords) == 0 && !shard.serving {
				n.loadShard(shard)
			}
			return
		}
		fetch := shard.fetches[m.Op]
		if fetch == nil || fetch.responded[from] {
			continue
		}
		fetch.responded[from] = true
		for _, r := range m.Records {
			if fetch.newest.OlderThan(r) {
				fetch.newest = r
			}
		}
		if len(fetch.responded) < n.core.Majority() {
			return
		}
		delete(shard.fetches, m.Op)
		delete(shard.admitting, fetch.id)
		old, _ := decodeJob(fetch.newest)
		if fetch.newest.Live { // all valid live jobs are in memory: this is a stale replica or an abandoned write
			old = shard.finished[fetch.id]
		}
		n.onRecordFetched(shard, fetch, old)
		return
	}
}

// onRecordFetched continues with the result of a quorum read: old is the finished job's record, or nil if there is
// none. A new job without a record is admitted; other requests are responded to.
func (n *node) onRecordFetched(shard *ownedShard, fetch *fetchOp, old *jobRecord) {
	if !n.leases.Holds(lease.ShardRole(shard.name)) {
		for _, req := range fetch.requests {
			n.readFromCore(req, "the slice moved")
		}
		return
	}
	if job := shard.jobs[fetch.id]; job != nil { // it was admitted meanwhile
		old = nil
	}
	if old == nil && fetch.job != nil && shard.jobs[fetch.id] == nil {
		n.admitJob(shard, fetch)
		return
	}
	if len(fetch.requests) == 0 && shard.jobs[fetch.id] == nil { // read by decideLateEnd
		if old == nil {
			shard.knownAbsent[fetch.id] = true
		} else if shard.finished[fetch.id] == nil {
			old.Version = n.now
			shard.finished[fetch.id] = old
			shard.finishedOrder = append(shard.finishedOrder, fetch.id)
		}
		return
	}
	for _, req := range fetch.requests {
		switch {
		case shard.jobs[fetch.id] != nil:
			jobOps[req.op](n, shard, req)
		case old == nil:
			n.respondMissing(req)
		default:
			n.respondFinished(req, old)
		}
	}
}
