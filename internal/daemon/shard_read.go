package daemon

import (
	"otterchute/internal/lease"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

type fetchOp struct {
	id       string
	job      *jobRecord
	requests []*request
	answered map[string]bool
	newest   statestore.Record
	startMs  int64
}

// fetchRecord reads one record at a majority: whoever calls goes on once it is known.
func (n *node) fetchRecord(shard *ownedShard, f *fetchOp) {
	f.startMs, f.answered = n.now, map[string]bool{}
	n.opSeq++
	shard.fetches[n.opSeq] = f
	for _, m := range n.core.Members {
		n.send(m.Name, &wire.FetchRequest{SetVersion: n.core.Version, Op: n.opSeq, Shard: shard.name, IDs: []string{f.id}})
	}
}

func (n *node) onFetchResponse(from string, m *wire.FetchResponse) {
	if r := n.quorumReads[m.Op]; r != nil {
		n.onQuorumRead(r, m.Op, from, m.Records)
		return
	}
	for _, name := range sortedKeys(n.shards) {
		shard := n.shards[name]
		if member, ok := shard.missingOps[m.Op]; ok && member == from {
			for _, r := range m.Records {
				if old := shard.merged[r.ID]; old.OlderThan(r) {
					shard.merged[r.ID] = r
				}
			}
			delete(shard.missingOps, m.Op)
			delete(shard.missing, from)
			if len(shard.missing) == 0 && !shard.serving {
				n.loadShard(shard)
			}
			return
		}
		f := shard.fetches[m.Op]
		if f == nil || f.answered[from] {
			continue
		}
		f.answered[from] = true
		for _, r := range m.Records {
			if f.newest.OlderThan(r) {
				f.newest = r
			}
		}
		if len(f.answered) < n.core.Majority() {
			return
		}
		delete(shard.fetches, m.Op)
		delete(shard.admitting, f.id)
		old, _ := decodeJob(f.newest)
		if f.newest.Live { // all live jobs that count are here: a member that was away has it, or a write that was given up
			old = shard.finished[f.id]
		}
		n.onRecordFetched(shard, f, old)
		return
	}
}

func (n *node) onRecordFetched(shard *ownedShard, f *fetchOp, old *jobRecord) {
	if !n.leases.Holds(lease.ShardRole(shard.name)) {
		for _, req := range f.requests {
			n.readFromCore(req, "the slice moved")
		}
		return
	}
	if job := shard.jobs[f.id]; job != nil { // it came in meanwhile
		old = nil
	}
	if old == nil && f.job != nil && shard.jobs[f.id] == nil {
		n.admitJob(shard, f)
		return
	}
	if len(f.requests) == 0 && shard.jobs[f.id] == nil { // read for the sake of a late end
		if old == nil {
			shard.knownAbsent[f.id] = true
		} else if shard.finished[f.id] == nil {
			old.Version = n.now
			shard.finished[f.id] = old
			shard.finishedOrder = append(shard.finishedOrder, f.id)
		}
		return
	}
	for _, req := range f.requests {
		switch {
		case shard.jobs[f.id] != nil:
			jobOps[req.op](n, shard, req)
		case old == nil:
			n.respondMissing(req)
		default:
			n.respondFinished(req, old)
		}
	}
}
