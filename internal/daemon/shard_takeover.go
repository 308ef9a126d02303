package daemon

import (
	"otterchute/internal/jobtrace"
	"otterchute/internal/lease"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

// restartTakeover discards the members' responses so far, so that the seal requests are sent again.
func (s *ownedShard) restartTakeover() {
	s.sealedRecords = map[string]map[string]statestore.Record{}
	s.missingRecords, s.missingFetches = map[string]map[string]bool{}, map[uint64]string{}
}

// sendSeals sends a seal request to each core member that has not responded yet. A sealed member rejects writes of
// earlier epochs and responds with its live records.
func (n *node) sendSeals(shard *ownedShard) {
	shard.sealSentMs = n.now
	for _, member := range n.core.Members {
		if shard.sealedRecords[member.Name] == nil {
			n.send(member.Name, &wire.SealRequest{SetVersion: n.core.Version, Shard: shard.name, Epoch: shard.epoch})
		}
	}
}

// mergeSeal merges a core member's seal response, and loads the shard once a majority has responded. A response has
// the member's live records, and the finished ones for which the member has no confirmation that a majority stores the
// end; this owner commits those ends again. A record that is live at one member and missing from another's response may
// have finished at the other, so it is fetched from there before the shard is served.
func (n *node) mergeSeal(from string, m *wire.SealResponse) {
	shard := n.shards[m.Shard]
	if shard == nil || m.Epoch != shard.epoch || shard.serving || shard.sealedRecords[from] != nil ||
		len(shard.missingRecords) > 0 {
		return
	}
	if !m.OK {
		n.leases.Lose(lease.ShardRole(m.Shard), "sealed_higher")
		return
	}
	shard.lastCompleteEpoch = max(shard.lastCompleteEpoch, m.ServedEpoch)
	records := map[string]statestore.Record{}
	for _, r := range m.Records {
		records[r.ID] = r
		if old, ok := shard.mergedRecords[r.ID]; !ok || old.OlderThan(r) {
			shard.mergedRecords[r.ID] = r
		}
	}
	shard.sealedRecords[from] = records
	if len(shard.sealedRecords) < n.core.Majority() {
		return
	}
	for id, r := range shard.mergedRecords {
		if r.Live && r.Epoch < shard.lastCompleteEpoch { // a stale replica: the job has ended since, or was never accepted
			delete(shard.mergedRecords, id)
		}
	}
	for _, member := range sortedKeys(shard.sealedRecords) {
		var ids []string
		for _, id := range sortedKeys(shard.mergedRecords) {
			if _, ok := shard.sealedRecords[member][id]; !ok {
				ids = append(ids, id)
			}
		}
		if len(ids) > 0 {
			n.opSeq++
			shard.missingRecords[member] = map[string]bool{}
			shard.missingFetches[n.opSeq] = member
			n.send(member, &wire.FetchRequest{SetVersion: n.core.Version, Op: n.opSeq, Shard: shard.name, IDs: ids})
		}
	}
	if len(shard.missingRecords) == 0 {
		n.loadShard(shard)
	}
}

// loadShard turns the merged records into live jobs and has them written under the owner's epoch. No job is
// acknowledged, and none of its tasks placed, before its record is committed.
func (n *node) loadShard(shard *ownedShard) {
	for _, id := range sortedKeys(shard.mergedRecords) {
		r := shard.mergedRecords[id]
		record, ok := decodeJob(r)
		if !ok {
			n.log("record_unreadable", "slice", shard.name, "job", id)
			continue
		}
		job := &liveJob{jobRecord: *record, recordBytes: len(r.Value), enteredMs: n.now}
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
	shard.mergedRecords, shard.sealedRecords = nil, map[string]map[string]statestore.Record{}
	shard.serving = true // requests are accepted; responses wait for the commits
	n.log("shard_served", "slice", shard.name, "epoch", shard.epoch, "jobs", len(shard.jobs))
}
