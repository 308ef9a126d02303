package daemon

import (
	"otterchute/internal/lease"
	"otterchute/internal/scheduler"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

const (
	writeRetryMs = 600 // ms before unacknowledged record writes are sent again
	// commitHoldMs: while a batch is on its way to a quorum the next one gathers what
	// changes, so that a busy owner sends few large ones; no longer than this, since the
	// batch may be lost.
	commitHoldMs = 30
	// deferredMs is how long a change that nothing waits for may gather others of its
	// job, at a busy owner. The worker keeps such an end listed meanwhile: it must stay
	// well below the 100 ms within which ends should be noted.
	deferredMs = 40
	// busyWrites is how many batches in one tick make an owner busy.
	busyWrites = 4
)

// writeBatch is what one event changed of a shard's records, on its way to the core.
type writeBatch struct {
	records      []statestore.Record         // whole, for members that lack what patches build on
	patches      map[string]statestore.Patch // by job, of those records that have one
	confirmedIDs []string
	acked        map[string]bool
	done         bool
	sentMs       int64
	firstMs      int64 // when it was first sent
}

// holdsNextWrite tells whether the next batch waits for the one before it.
func (s *ownedShard) holdsNextWrite(nowMs int64) bool {
	b := s.newestWrite
	return b != nil && !b.done && nowMs-b.firstMs < commitHoldMs
}

// flushDeferred moves deferred changes whose time has come to the next batch.
func (s *ownedShard) flushDeferred(nowMs int64) {
	for id, dueMs := range s.deferred {
		if nowMs >= dueMs {
			s.dirty[id] = true
			delete(s.deferred, id)
		}
	}
}

// flushWrites sends what changed as one batch to all of the core.
func (n *node) flushWrites() {
	for _, name := range sortedKeys(n.shards) {
		shard := n.shards[name]
		if n.Policies.On(scheduler.GatherWrites) && shard.holdsNextWrite(n.now) {
			continue
		}
		shard.flushDeferred(n.now)
		whole := shard.serving && len(shard.loading) == 0 && shard.completeSeq == 0
		if len(shard.dirty) == 0 && !whole &&
			(len(shard.unsentConfirmedIDs) == 0 || n.now-shard.confirmedSentMs < writeRetryMs) {
			continue
		}
		b := &writeBatch{
			acked: map[string]bool{}, patches: map[string]statestore.Patch{},
			sentMs: n.now, firstMs: n.now, confirmedIDs: shard.unsentConfirmedIDs,
		}
		shard.unsentConfirmedIDs, shard.confirmedSentMs = nil, n.now
		for _, id := range sortedKeys(shard.dirty) {
			job := shard.jobs[id]
			b.add(shard.epoch, job)
		}
		shard.dirty = map[string]bool{}
		shard.writeSeq++
		shard.writes[shard.writeSeq], shard.newestWrite = b, b
		shard.writesThisTick++
		if whole {
			shard.completeSeq = shard.writeSeq
		}
		n.sendBatch(shard, shard.writeSeq, b, false)
	}
}

// add puts a job's record into the batch as it stands, and a patch where the members are
// expected to have the version before.
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
	if !record.Live { // nothing builds on it any more
		job.sent = statestore.Segmented{}
	}
}

// sendBatch sends a batch to all members that have not acknowledged it, with whole records
// where it was sent before.
func (n *node) sendBatch(shard *ownedShard, seq uint64, b *writeBatch, whole bool) {
	for _, m := range n.core.Members {
		if !b.acked[m.Name] {
			n.sendBatchTo(m.Name, shard, seq, b, whole)
		}
	}
}

func (n *node) sendBatchTo(member string, shard *ownedShard, seq uint64, b *writeBatch, whole bool) {
	m := &wire.WriteRequest{
		SetVersion: n.core.Version, Shard: shard.name, Epoch: shard.epoch, Seq: seq,
		Confirmed: b.confirmedIDs, Complete: shard.completeSeq != 0,
	}
	for _, r := range b.records {
		if patch, ok := b.patches[r.ID]; ok && !whole {
			m.Patches = append(m.Patches, patch)
		} else {
			m.Records = append(m.Records, r)
		}
	}
	n.count("record_writes")
	n.send(member, m)
}

func (n *node) applyWriteResponse(from string, m *wire.WriteResponse) {
	shard := n.shards[m.Shard]
	if shard == nil || m.Epoch != shard.epoch {
		return
	}
	b := shard.writes[m.Seq]
	if !m.OK {
		n.leases.Lose(lease.ShardRole(m.Shard), "epoch_passed")
		return
	}
	if b == nil {
		if !m.BaseMissing {
			n.onCaughtUp(shard, from, m.Seq)
		}
		return
	}
	if m.BaseMissing {
		n.sendBatchTo(from, shard, m.Seq, b, true)
		return
	}
	b.acked[from] = true
	if len(b.acked) >= n.core.Majority() && !b.done {
		b.done = true
		n.count("commits")
		acknowledged := endReplies{}
		for _, r := range b.records {
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
	if len(b.acked) >= len(n.core.Members) {
		delete(shard.writes, m.Seq)
	}
}

// tickWrites repeats unacknowledged writes. What a majority holds and one
// member lacks is remembered by name, so that a long-gone member costs little.
func (n *node) tickWrites(shard *ownedShard) {
	for _, seq := range sortedKeys(shard.writes) {
		b := shard.writes[seq]
		if n.now-b.sentMs < writeRetryMs {
			continue
		}
		b.sentMs = n.now
		if !b.done {
			n.sendBatch(shard, seq, b, true)
			continue
		}
		delete(shard.writes, seq)
		for _, m := range n.core.Members {
			if b.acked[m.Name] {
				continue
			}
			shard.recordMissed(m.Name, b.records)
		}
	}
	n.tickCatchUp(shard)
}

// endReplies are acknowledgements of ends that are at a quorum now, by worker. An agent hears
// of them at once and need not ask again.
type endReplies map[string]endReply

type endReply struct {
	agent string
	reply *wire.OwnerReply
}

// add puts in what a job's record says now of ends that it has.
func (r endReplies) add(shard *ownedShard, job *liveJob, ends []endedAttempt) {
	for _, e := range ends {
		i, _, ok := job.position(e.status.Key.Task)
		if !ok {
			continue // the agent tells it again, and hears that its round is over
		}
		decision := job.decideSuperseded(&job.Tasks[i], e.status)
		if decision == 0 {
			continue
		}
		to, known := r[e.worker]
		if !known || to.reply.Epoch != e.agentEpoch {
			to = endReply{e.agent, &wire.OwnerReply{
				Worker: e.worker, Epoch: e.agentEpoch, Shard: shard.name, ShardEpoch: shard.epoch, SentMs: e.sentMs,
			}}
			r[e.worker] = to
		}
		to.reply.SentMs = min(to.reply.SentMs, e.sentMs)
		to.reply.Decisions = append(to.reply.Decisions, wire.AttemptDecision{Key: e.status.Key, Decision: decision})
	}
}

func (n *node) sendEndReplies(r endReplies) {
	for _, worker := range sortedKeys(r) {
		n.send(r[worker].agent, r[worker].reply)
	}
}
