package daemon

import (
	"otterchute/internal/jobtrace"
	"otterchute/internal/lease"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

// restartTakeover drops what members answered so far: they are asked again.
func (sl *ownedShard) restartTakeover() {
	sl.seals = map[string]map[string]statestore.Record{}
	sl.missing, sl.missingOps = map[string]map[string]bool{}, map[uint64]string{}
}

func (n *node) sendSeals(sl *ownedShard) {
	sl.sealSentMs = n.now
	for _, m := range n.core.Members {
		if sl.seals[m.Name] == nil {
			n.send(m.Name, &wire.SealRequest{SetVersion: n.core.Version, Shard: sl.name, Epoch: sl.epoch})
		}
	}
}

// mergeSeal merges what a majority holds of records that are live, or finished
// without a majority known to hold that: those are finished again here. A record live at one member
// and absent among another's live ones may have finished there: it is asked
// for by name before the shard is served.
func (n *node) mergeSeal(from string, m *wire.SealResponse) {
	sl := n.owned[m.Shard]
	if sl == nil || m.Epoch != sl.epoch || sl.serving || sl.seals[from] != nil || len(sl.missing) > 0 {
		return
	}
	if !m.OK {
		n.leases.Lose(lease.ShardRole(m.Shard), "sealed_higher")
		return
	}
	sl.lastCompleteEpoch = max(sl.lastCompleteEpoch, m.Served)
	recs := map[string]statestore.Record{}
	for _, r := range m.Records {
		recs[r.ID] = r
		if old, ok := sl.merged[r.ID]; !ok || old.OlderThan(r) {
			sl.merged[r.ID] = r
		}
	}
	sl.seals[from] = recs
	if len(sl.seals) < n.core.Majority() {
		return
	}
	for id, r := range sl.merged {
		if r.Live && r.Epoch < sl.lastCompleteEpoch { // of a member that was away: ended since, or never accepted
			delete(sl.merged, id)
		}
	}
	for _, member := range sortedKeys(sl.seals) {
		var ids []string
		for _, id := range sortedKeys(sl.merged) {
			if _, ok := sl.seals[member][id]; !ok {
				ids = append(ids, id)
			}
		}
		if len(ids) > 0 {
			n.opSeq++
			sl.missing[member] = map[string]bool{}
			sl.missingOps[n.opSeq] = member
			n.send(member, &wire.FetchRequest{SetVersion: n.core.Version, Op: n.opSeq, Shard: sl.name, IDs: ids})
		}
	}
	if len(sl.missing) == 0 {
		n.loadShard(sl)
	}
}

// loadShard writes what was merged back under the own epoch; the shard is
// served once a majority holds that.
func (n *node) loadShard(sl *ownedShard) {
	for _, id := range sortedKeys(sl.merged) {
		r := sl.merged[id]
		j, ok := decodeJob(r)
		if !ok {
			n.log("record_unreadable", "slice", sl.name, "job", id)
			continue
		}
		js := &liveJob{jobRecord: *j, recordBytes: len(r.Value), enteredMs: n.now}
		sl.recordBytes += js.recordBytes
		js.runtime = make([]taskRuntime, len(js.Tasks))
		js.trace = jobtrace.NewJob(len(js.Tasks), sl.epoch)
		js.trace.LoadedMs = n.now
		sl.jobs[id] = js
		for i := range js.Tasks {
			sl.updatePlacedIndex(js, i)
		}
		sl.liveByQueue[js.Queue]++
		sl.dirty[id], sl.loading[id] = true, true
	}
	sl.merged, sl.seals = nil, map[string]map[string]statestore.Record{}
	sl.serving = true // nothing is confirmed or placed before its record is committed
	n.log("shard_served", "slice", sl.name, "epoch", sl.epoch, "jobs", len(sl.jobs))
}
