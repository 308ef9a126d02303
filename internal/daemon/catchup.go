package daemon

import (
	"maps"

	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

// replicaLag tracks the records of a shard that a majority holds but one core
// member lacks, because it was away or a message to it was lost. The owner sends
// these again in bounded parts, each after the member has synced the previous one.
// The member thus becomes a full replica again soon after its return, so that the
// shard can tolerate the next loss.
type replicaLag struct {
	missed   map[string]int64 // record ID -> newest version that the member lacks
	inFlight map[string]int64 // the part of missed that has been sent but not acknowledged; nil if none
	seq      uint64           // sequence number of the write request that carries inFlight
	sentMs   int64
}

// recordMissed records which records a member did not acknowledge. Only IDs and
// versions are kept, so that a member that is absent for long uses little memory.
func (s *ownedShard) recordMissed(member string, records []statestore.Record) {
	lag := s.replicaLags[member]
	if lag == nil {
		lag = &replicaLag{missed: map[string]int64{}}
		s.replicaLags[member] = lag
	}
	for _, record := range records {
		if _, known := lag.missed[record.ID]; known || len(lag.missed) < finishedMax {
			lag.missed[record.ID] = max(lag.missed[record.ID], record.Version)
		}
	}
}

// tickCatchUp sends the next part to each member that lacks records, or retries
// the part that was not acknowledged in time.
func (n *node) tickCatchUp(shard *ownedShard) {
	for _, member := range sortedKeys(shard.replicaLags) {
		lag := shard.replicaLags[member]
		switch {
		case len(lag.missed) == 0:
			delete(shard.replicaLags, member)
		case n.peers.Alive(member) && n.core.HasName(member) && (lag.inFlight == nil || n.now-lag.sentMs >= writeRetryMs):
			n.sendCatchUp(shard, member, lag)
		}
	}
}

// sendCatchUp sends the next part of the records that a member lacks.
func (n *node) sendCatchUp(shard *ownedShard, member string, lag *replicaLag) {
	shard.writeSeq++
	lag.seq, lag.sentMs, lag.inFlight = shard.writeSeq, n.now, map[string]int64{}
	write := &wire.WriteRequest{SetVersion: n.core.Version, Shard: shard.name, Epoch: shard.epoch, Seq: lag.seq}
	size := 0
	for _, id := range sortedKeys(lag.missed) {
		if size > statestore.ChunkBytes {
			break
		}
		if shard.isDirty(id) {
			continue // a newer version is about to be written
		}
		record, found := shard.recordOf(id)
		if !found { // the job finished so long ago that the owner no longer keeps it in memory
			delete(lag.missed, id)
			continue
		}
		lag.inFlight[id] = lag.missed[id]
		write.Records = append(write.Records, record)
		size += record.Size()
	}
	if len(write.Records) == 0 {
		lag.inFlight = nil
		return
	}
	n.count("catch_up_parts")
	n.send(member, write)
}

// recordOf returns the record of a live or finished job as the owner has it.
func (s *ownedShard) recordOf(id string) (statestore.Record, bool) {
	if job := s.jobs[id]; job != nil {
		return statestore.Record{
			ID:      id,
			Epoch:   s.epoch,
			Version: job.Version,
			Live:    job.DoneMs == 0,
			DoneMs:  job.DoneMs,
			Value:   job.encode(),
		}, true
	}
	record := s.finished[id]
	if record == nil {
		return statestore.Record{}, false
	}
	// A finished record never changes again.
	return statestore.Record{
		ID:        id,
		Epoch:     s.epoch,
		Version:   finishedVersion,
		Live:      record.DoneMs == 0,
		Confirmed: true,
		DoneMs:    record.DoneMs,
		Value:     record.encode(),
	}, true
}

const finishedVersion = 1 << 60 // higher than the version of any live record

// onCatchUpAcknowledged handles a member's acknowledgement of a part and sends the next one.
func (n *node) onCatchUpAcknowledged(shard *ownedShard, member string, seq uint64) {
	lag := shard.replicaLags[member]
	if lag == nil || lag.inFlight == nil || lag.seq != seq {
		return
	}
	inFlight := lag.inFlight
	maps.DeleteFunc(lag.missed, func(id string, version int64) bool {
		sent, ok := inFlight[id]
		return ok && version <= sent
	})
	if lag.inFlight = nil; len(lag.missed) > 0 {
		n.sendCatchUp(shard, member, lag)
	}
}

// acceptMissedValue accepts a register value that another member has accepted and
// this one has not. It has the same effect as a late accept message of the proposer.
// Until this member accepts the value, only the members that accepted it earlier count
// towards a majority, so a read can't confirm it while one of them is away.
func (n *node) acceptMissedValue(m *wire.RegisterValue) {
	if !n.inCore() || !m.Complete {
		return
	}
	register := n.store.Register(m.Register)
	if register.Accepted.Less(m.Ballot) && !m.Ballot.Less(register.Promised) {
		n.count("registers_caught_up")
		n.persist([]statestore.Entry{{Kind: statestore.EntryAccept, Name: m.Register, Ballot: m.Ballot, Value: m.Value}})
	}
}
