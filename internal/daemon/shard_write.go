package daemon

import (
	"otterchute/internal/lease"
	"otterchute/internal/scheduler"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

const (
	writeRetryMs = 600 // interval at which unacknowledged writes are sent again
	// commitHoldMs limits how long the next batch collects changes while the one before it is uncommitted, so
	// that a busy owner sends few large batches. The limit is needed since a batch may be lost.
	commitHoldMs = 30
	// deferredMs is how long a busy owner may delay the write of a change that nothing waits for, to combine it
	// with other changes of the job. Such a change is the end of an attempt (see awaitsStepTasks). Agents repeat
	// the end in their reports until it is recorded, which should take at most 100 ms, so deferredMs must stay
	// well below that.
	deferredMs = 40
	// busyWrites is the lowest number of batches per tick at which an owner counts as busy.
	busyWrites = 4
)

// writeBatch holds changed records of a shard that are being written to the core.
type writeBatch struct {
	records      []statestore.Record         // full records, for members that lack the base of a patch
	patches      map[string]statestore.Patch // by job ID, for those records that have one
	confirmedIDs []string                    // finished jobs whose ends are committed
	acked        map[string]bool
	committed    bool // a majority has acknowledged it
	sentMs       int64
	firstMs      int64 // when it was first sent
}

// holdsNextWrite reports whether the next batch waits for the one before it.
func (s *ownedShard) holdsNextWrite(nowMs int64) bool {
	batch := s.newestWrite
	return batch != nil && !batch.committed && nowMs-batch.firstMs < commitHoldMs
}

// flushDeferred moves deferred changes that are due to the next batch.
func (s *ownedShard) flushDeferred(nowMs int64) {
	for id, dueMs := range s.deferred {
		if nowMs >= dueMs {
			s.dirty[id] = true
			delete(s.deferred, id)
		}
	}
}

// flushWrites sends each shard's changed records as one batch to all core members.
func (n *node) flushWrites() {
	for _, name := range sortedKeys(n.shards) {
		shard := n.shards[name]
		if n.Policies.On(scheduler.GatherWrites) && shard.holdsNextWrite(n.now) {
			continue
		}
		shard.flushDeferred(n.now)
		loadComplete := shard.serving && len(shard.loading) == 0 && shard.completeSeq == 0
		if len(shard.dirty) == 0 && !loadComplete &&
			(len(shard.unsentConfirmedIDs) == 0 || n.now-shard.confirmedSentMs < writeRetryMs) {
			continue
		}
		batch := &writeBatch{
			acked: map[string]bool{}, patches: map[string]statestore.Patch{},
			sentMs: n.now, firstMs: n.now, confirmedIDs: shard.unsentConfirmedIDs,
		}
		shard.unsentConfirmedIDs, shard.confirmedSentMs = nil, n.now
		for _, id := range sortedKeys(shard.dirty) {
			job := shard.jobs[id]
			batch.add(shard.epoch, job)
		}
		shard.dirty = map[string]bool{}
		shard.writeSeq++
		shard.writes[shard.writeSeq], shard.newestWrite = batch, batch
		shard.writesThisTick++
		if loadComplete {
			shard.completeSeq = shard.writeSeq
		}
		n.sendBatch(shard, shard.writeSeq, batch, false)
	}
}

// add puts a job's current record into the batch, and a patch if the members are expected to have the version before.
func (b *writeBatch) add(epoch uint64, job *liveJob) {
	record := statestore.Record{ID: job.ID, Epoch: epoch, Version: job.Version, Live: job.DoneMs == 0, DoneMs: job.DoneMs}
	value := job.encodeSegmented()
	record.Value = value.Value
	b.records = append(b.records, record)
	if splices, ok := statestore.Diff(job.sent, value); ok && record.Live && job.sentVersion != 0 {
		b.patches[job.ID] = statestore.Patch{
			ID: job.ID, Epoch: epoch, Base: job.sentVersion, Version: job.Version,
			Splices: splices, Checksum: statestore.Checksum(value.Value),
		}
	}
	job.sent, job.sentVersion = value, job.Version
	if !record.Live { // no patch will be based on it
		job.sent = statestore.Segmented{}
	}
}

// sendBatch sends a batch to all members that have not acknowledged it: with patches, or with full records only.
func (n *node) sendBatch(shard *ownedShard, seq uint64, batch *writeBatch, fullRecords bool) {
	for _, member := range n.core.Members {
		if !batch.acked[member.Name] {
			n.sendBatchTo(member.Name, shard, seq, batch, fullRecords)
		}
	}
}

// sendBatchTo sends a batch to one core member.
func (n *node) sendBatchTo(member string, shard *ownedShard, seq uint64, batch *writeBatch, fullRecords bool) {
	m := &wire.WriteRequest{
		SetVersion: n.core.Version, Shard: shard.name, Epoch: shard.epoch, Seq: seq,
		Confirmed: batch.confirmedIDs, Complete: shard.completeSeq != 0,
	}
	for _, r := range batch.records {
		if patch, ok := batch.patches[r.ID]; ok && !fullRecords {
			m.Patches = append(m.Patches, patch)
		} else {
			m.Records = append(m.Records, r)
		}
	}
	n.count("record_writes")
	n.send(member, m)
}

// applyWriteResponse handles a core member's response to a write. Once a majority has acknowledged a batch, its records
// are committed and its jobs advance.
func (n *node) applyWriteResponse(from string, m *wire.WriteResponse) {
	shard := n.shards[m.Shard]
	if shard == nil || m.Epoch != shard.epoch {
		return
	}
	batch := shard.writes[m.Seq]
	if !m.OK {
		n.leases.Lose(lease.ShardRole(m.Shard), "epoch_passed")
		return
	}
	if batch == nil {
		if !m.BaseMissing {
			n.onCatchUpAcknowledged(shard, from, m.Seq)
		}
		return
	}
	if m.BaseMissing {
		n.sendBatchTo(from, shard, m.Seq, batch, true)
		return
	}
	batch.acked[from] = true
	if len(batch.acked) >= n.core.Majority() && !batch.committed {
		batch.committed = true
		n.count("commits")
		acknowledged := endReplies{}
		for _, r := range batch.records {
			delete(shard.loading, r.ID)
			if !r.Live {
				shard.unsentConfirmedIDs = append(shard.unsentConfirmedIDs, r.ID)
			}
			if job := shard.jobs[r.ID]; job != nil {
				ends := n.traceCommitted(job, r.Version)
				job.committed = max(job.committed, r.Version)
				acknowledged.add(shard, job, ends)
				n.advanceJob(shard, job)
			}
		}
		n.sendEndReplies(acknowledged)
	}
	if len(batch.acked) >= len(n.core.Members) {
		delete(shard.writes, m.Seq)
	}
}

// tickWrites repeats unacknowledged writes. For a committed batch that a member has not acknowledged, it keeps only the
// IDs and versions of the records, so that a member that is absent for long uses little memory.
func (n *node) tickWrites(shard *ownedShard) {
	for _, seq := range sortedKeys(shard.writes) {
		batch := shard.writes[seq]
		if n.now-batch.sentMs < writeRetryMs {
			continue
		}
		batch.sentMs = n.now
		if !batch.committed {
			n.sendBatch(shard, seq, batch, true)
			continue
		}
		delete(shard.writes, seq)
		for _, member := range n.core.Members {
			if batch.acked[member.Name] {
				continue
			}
			shard.recordMissed(member.Name, batch.records)
		}
	}
	n.tickCatchUp(shard)
}

// endReplies are the acknowledgements of ends that have just been committed, by worker. They are sent at once, so that
// agents need not report the ends again.
type endReplies map[string]endReply

// endReply is a reply and the agent that it goes to.
type endReply struct {
	agent string
	reply *wire.OwnerReply
}

// add adds the decisions on attempts whose ends are in a job's committed record.
func (r endReplies) add(shard *ownedShard, job *liveJob, ends []endedAttempt) {
	for _, end := range ends {
		i, _, ok := job.position(end.status.Key.Task)
		if !ok {
			continue // its round was dropped; the agent reports the end again and gets the decision then
		}
		decision := job.decideSuperseded(&job.Tasks[i], end.status)
		if decision == 0 {
			continue
		}
		pending, exists := r[end.worker]
		if !exists || pending.reply.Epoch != end.agentEpoch {
			pending = endReply{end.agent, &wire.OwnerReply{
				Worker: end.worker, Epoch: end.agentEpoch, Shard: shard.name, ShardEpoch: shard.epoch, SentMs: end.sentMs,
			}}
			r[end.worker] = pending
		}
		pending.reply.SentMs = min(pending.reply.SentMs, end.sentMs)
		pending.reply.Decisions = append(
			pending.reply.Decisions,
			wire.AttemptDecision{Key: end.status.Key, Decision: decision},
		)
	}
}

// sendEndReplies sends the replies to their agents.
func (n *node) sendEndReplies(r endReplies) {
	for _, worker := range sortedKeys(r) {
		n.send(r[worker].agent, r[worker].reply)
	}
}
