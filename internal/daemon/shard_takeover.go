package daemon

import (
	"otterchute/internal/jobtrace"
	"otterchute/internal/lease"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

// restartTakeover drops what members answered so far: they are asked again.
func (s *ownedShard) restartTakeover() {
	s.seals = map[string]map[string]statestore.Record{}
	s.missing, s.missingOps = map[string]map[string]bool{}, map[uint64]string{}
}

func (n *node) sendSeals(shard *ownedShard) {
	shard.sealSentMs = n.now
	for _, m := range n.core.Members {
		if shard.seals[m.Name] == nil {
			n.send(m.Name, &wire.SealRequest{SetVersion: n.core.Version, Shard: shard.name, Epoch: shard.epoch})
		}
	}
}

// mergeSeal merges what a majority holds of records that are live, or finished
// without a majority known to hold that: those are finished again here. A record live at one member
// and absent among another's live ones may have finished there: it is asked
// for by name before the shard is served.
func (n *node) mergeSeal(from string, m *wire.SealResponse) {
	shard := n.shards[m.Shard]
	if shard == nil || m.Epoch != shard.epoch || shard.serving || shard.seals[from] != nil || len(shard.missing) > 0 {
		return
	}
	if !m.OK {
		n.leases.Lose(lease.ShardRole(m.Shard), "sealed_higher")
		return
	}
	shard.lastCompleteEpoch = max(shard.lastCompleteEpoch, m.ServedEpoch)
	recs := map[string]statestore.Record{}
	for _, r := range m.Records {
		recs[r.ID] = r
		if old, ok := shard.merged[r.ID]; !ok || old.OlderThan(r) {
			shard.merged[r.ID] = r
		}
	}
	shard.seals[from] = recs
	if len(shard.seals) < n.core.Majority() {
		return
	}
	for id, r := range shard.merged {
		if r.Live && r.Epoch < shard.lastCompleteEpoch { // of a member that was away: ended since, or never accepted
			delete(shard.merged, id)
		}
	}
	for _, member := range sortedKeys(shard.seals) {
		var ids []string
		for _, id := range sortedKeys(shard.merged) {
			if _, ok := shard.seals[member][id]; !ok {
				ids = append(ids, id)
			}
		}
		if len(ids) > 0 {
			n.opSeq++
			shard.missing[member] = map[string]bool{}
			shard.missingOps[n.opSeq] = member
			n.send(member, &wire.FetchRequest{SetVersion: n.core.Version, Op: n.opSeq, Shard: shard.name, IDs: ids})
		}
	}
	if len(shard.missing) == 0 {
		n.loadShard(shard)
	}
}

// loadShard writes what was merged back under the own epoch; the shard is
// served once a majority holds that.
func (n *node) loadShard(shard *ownedShard) {
	for _, id := range sortedKeys(shard.merged) {
		r := shard.merged[id]
		j, ok := decodeJob(r)
		if !ok {
			n.log("record_unreadable", "slice", shard.name, "job", id)
			continue
		}
		job := &liveJob{jobRecord: *j, recordBytes: len(r.Value), enteredMs: n.now}
		shard.recordBytes += job.recordBytes
		job.runtime = make([]taskRuntime, len(job.Tasks))
		job.trace = jobtrace.NewJob(len(job.Tasks), shard.epoch)
		job.trace.LoadedMs = n.now
		shard.jobs[id] = job
		for i := range job.Tasks {
			shard.updatePlacedIndex(job, i)
		}
		shard.liveByQueue[job.Queue]++
		shard.dirty[id], shard.loading[id] = true, true
	}
	shard.merged, shard.seals = nil, map[string]map[string]statestore.Record{}
	shard.serving = true // nothing is confirmed or placed before its record is committed
	n.log("shard_served", "slice", shard.name, "epoch", shard.epoch, "jobs", len(shard.jobs))
}
