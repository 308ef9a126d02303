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
func (n *node) fetchRecord(sl *ownedShard, f *fetchOp) {
	f.startMs, f.answered = n.now, map[string]bool{}
	n.opSeq++
	sl.fetches[n.opSeq] = f
	for _, m := range n.core.Members {
		n.send(m.Name, &wire.FetchRequest{SetVersion: n.core.Version, Op: n.opSeq, Shard: sl.name, IDs: []string{f.id}})
	}
}

func (n *node) onFetchResponse(from string, m *wire.FetchResponse) {
	if r := n.quorumReads[m.Op]; r != nil {
		n.onQuorumRead(r, m.Op, from, m.Records)
		return
	}
	for _, name := range sortedKeys(n.owned) {
		sl := n.owned[name]
		if member, ok := sl.missingOps[m.Op]; ok && member == from {
			for _, r := range m.Records {
				if old := sl.merged[r.ID]; old.OlderThan(r) {
					sl.merged[r.ID] = r
				}
			}
			delete(sl.missingOps, m.Op)
			delete(sl.missing, from)
			if len(sl.missing) == 0 && !sl.serving {
				n.loadShard(sl)
			}
			return
		}
		f := sl.fetches[m.Op]
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
		delete(sl.fetches, m.Op)
		delete(sl.admitting, f.id)
		old, _ := decodeJob(f.newest)
		if f.newest.Live { // all live jobs that count are here: a member that was away has it, or a write that was given up
			old = sl.finished[f.id]
		}
		n.onRecordFetched(sl, f, old)
		return
	}
}

func (n *node) onRecordFetched(sl *ownedShard, f *fetchOp, old *jobRecord) {
	if !n.leases.Holds(lease.ShardRole(sl.name)) {
		for _, a := range f.requests {
			n.readFromCore(a, "the slice moved")
		}
		return
	}
	if js := sl.jobs[f.id]; js != nil { // it came in meanwhile
		old = nil
	}
	if old == nil && f.job != nil && sl.jobs[f.id] == nil {
		n.admitJob(sl, f)
		return
	}
	if len(f.requests) == 0 && sl.jobs[f.id] == nil { // read for the sake of a late end
		if old == nil {
			sl.knownAbsent[f.id] = true
		} else if sl.finished[f.id] == nil {
			old.Version = n.now
			sl.finished[f.id] = old
			sl.finishedOrder = append(sl.finishedOrder, f.id)
		}
		return
	}
	for _, a := range f.requests {
		switch {
		case sl.jobs[f.id] != nil:
			jobOps[a.op](n, sl, a)
		case old == nil:
			n.respondMissing(a)
		default:
			n.respondFinished(a, old)
		}
	}
}
