package daemon

import (
	"otterchute/internal/lease"
	"otterchute/internal/scheduler"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

const (
	writeRetry = 600 // ms before unacknowledged record writes are sent again
	// commitHoldMs: while a batch is on its way to a quorum the next one gathers what
	// changes, so that a busy owner sends few large ones; no longer than this, since the
	// batch may be lost.
	commitHoldMs = 30
	// deferredMs is how long a change that nothing waits for may gather others of its
	// job, at a busy owner. The worker keeps such an end listed meanwhile: it must stay
	// well below the 100 ms within which ends should be noted.
	deferredMs = 40
	// busyBatches is how many batches in one tick make an owner busy.
	busyBatches = 4
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
func (sl *ownedShard) holdsNextWrite(nowMs int64) bool {
	b := sl.newestWrite
	return b != nil && !b.done && nowMs-b.firstMs < commitHoldMs
}

// flushDeferred moves deferred changes whose time has come to the next batch.
func (sl *ownedShard) flushDeferred(nowMs int64) {
	for id, dueMs := range sl.deferred {
		if nowMs >= dueMs {
			sl.dirty[id] = true
			delete(sl.deferred, id)
		}
	}
}

// flushWrites sends what changed as one batch to all of the core.
func (n *node) flushWrites() {
	for _, name := range sortedKeys(n.owned) {
		sl := n.owned[name]
		if n.Policies.On(scheduler.GatherWrites) && sl.holdsNextWrite(n.now) {
			continue
		}
		sl.flushDeferred(n.now)
		whole := sl.serving && len(sl.loading) == 0 && sl.completeSeq == 0
		if len(sl.dirty) == 0 && !whole && (len(sl.unsentConfirmedIDs) == 0 || n.now-sl.confirmedSentMs < writeRetry) {
			continue
		}
		b := &writeBatch{
			acked: map[string]bool{}, patches: map[string]statestore.Patch{},
			sentMs: n.now, firstMs: n.now, confirmedIDs: sl.unsentConfirmedIDs,
		}
		sl.unsentConfirmedIDs, sl.confirmedSentMs = nil, n.now
		for _, id := range sortedKeys(sl.dirty) {
			js := sl.jobs[id]
			b.add(sl.epoch, js)
		}
		sl.dirty = map[string]bool{}
		sl.writeSeq++
		sl.writes[sl.writeSeq], sl.newestWrite = b, b
		sl.writesThisTick++
		if whole {
			sl.completeSeq = sl.writeSeq
		}
		n.sendBatch(sl, sl.writeSeq, b, false)
	}
}

// add puts a job's record into the batch as it stands, and a patch where the members are
// expected to have the version before.
func (b *writeBatch) add(epoch uint64, js *liveJob) {
	record := statestore.Record{ID: js.ID, Epoch: epoch, Version: js.Version, Live: js.DoneMs == 0, DoneMs: js.DoneMs}
	value := js.encodeSegmented()
	record.Value = value.Value
	b.records = append(b.records, record)
	if splices, ok := statestore.Diff(js.sent, value); ok && record.Live && js.sentVersion != 0 {
		b.patches[js.ID] = statestore.Patch{
			ID: js.ID, Epoch: epoch, Base: js.sentVersion, Version: js.Version,
			Splices: splices, Sum: statestore.Sum(value.Value),
		}
	}
	js.sent, js.sentVersion = value, js.Version
	if !record.Live { // nothing builds on it any more
		js.sent = statestore.Segmented{}
	}
}

// sendBatch sends a batch to all members that have not acknowledged it, with whole records
// where it was sent before.
func (n *node) sendBatch(sl *ownedShard, seq uint64, b *writeBatch, whole bool) {
	for _, m := range n.core.Members {
		if !b.acked[m.Name] {
			n.sendBatchTo(m.Name, sl, seq, b, whole)
		}
	}
}

func (n *node) sendBatchTo(member string, sl *ownedShard, seq uint64, b *writeBatch, whole bool) {
	m := &wire.WriteRequest{
		SetVersion: n.core.Version, Shard: sl.name, Epoch: sl.epoch, Seq: seq,
		Confirmed: b.confirmedIDs, Complete: sl.completeSeq != 0,
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
	sl := n.owned[m.Shard]
	if sl == nil || m.Epoch != sl.epoch {
		return
	}
	b := sl.writes[m.Seq]
	if !m.OK {
		n.leases.Lose(lease.ShardRole(m.Shard), "epoch_passed")
		return
	}
	if b == nil {
		if !m.Lacking {
			n.onCaughtUp(sl, from, m.Seq)
		}
		return
	}
	if m.Lacking {
		n.sendBatchTo(from, sl, m.Seq, b, true)
		return
	}
	b.acked[from] = true
	if len(b.acked) >= n.core.Majority() && !b.done {
		b.done = true
		n.count("commits")
		acknowledged := endReplies{}
		for _, r := range b.records {
			delete(sl.loading, r.ID)
			if !r.Live {
				sl.unsentConfirmedIDs = append(sl.unsentConfirmedIDs, r.ID)
			}
			if js := sl.jobs[r.ID]; js != nil {
				ends := n.traceCommitted(js, r.Version)
				js.committed = max(js.committed, r.Version)
				acknowledged.add(sl, js, ends)
				n.advanceJob(sl, js)
			}
		}
		n.sendEndReplies(acknowledged)
	}
	if len(b.acked) >= len(n.core.Members) {
		delete(sl.writes, m.Seq)
	}
}

// tickWrites repeats unacknowledged writes. What a majority holds and one
// member lacks is remembered by name, so that a long-gone member costs little.
func (n *node) tickWrites(sl *ownedShard) {
	for _, seq := range sortedKeys(sl.writes) {
		b := sl.writes[seq]
		if n.now-b.sentMs < writeRetry {
			continue
		}
		b.sentMs = n.now
		if !b.done {
			n.sendBatch(sl, seq, b, true)
			continue
		}
		delete(sl.writes, seq)
		for _, m := range n.core.Members {
			if b.acked[m.Name] {
				continue
			}
			sl.recordMissed(m.Name, b.records)
		}
	}
	n.tickCatchUp(sl)
}

// endReplies are acknowledgements of ends that are at a quorum now, by worker. An agent hears
// of them at once and need not ask again.
type endReplies map[string]endReply

type endReply struct {
	agent string
	reply *wire.OwnerReply
}

// add puts in what a job's record says now of ends that it has.
func (r endReplies) add(sl *ownedShard, js *liveJob, ends []endedAttempt) {
	for _, e := range ends {
		i, _, ok := js.position(e.status.Key.Task)
		if !ok {
			continue // the agent tells it again, and hears that its round is over
		}
		decision := js.decideSuperseded(&js.Tasks[i], e.status)
		if decision == 0 {
			continue
		}
		to, known := r[e.worker]
		if !known || to.reply.Epoch != e.agentEpoch {
			to = endReply{e.agent, &wire.OwnerReply{
				Worker: e.worker, Epoch: e.agentEpoch, Shard: sl.name, ShardEpoch: sl.epoch, SentMs: e.sentMs,
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
