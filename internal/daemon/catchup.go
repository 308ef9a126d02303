package daemon

import (
	"maps"

	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

// replicaLag is what one core member lacks of a shard's records that a majority
// holds: it was away, or a message to it was lost. The owner sends these again in
// bounded parts, each once the one before is synced there, so that the member
// holds all again soon after its return and counts for the next loss.
type replicaLag struct {
	missed   map[string]int64 // record -> the newest version that the member lacks
	inFlight map[string]int64 // of those, what is on its way
	seq      uint64           // of the write that brings the part
	sentMs   int64
}

// recordMissed remembers by name what a member did not acknowledge, so that one
// that is gone for long costs little.
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

// tickCatchUp sends a part to each member that lacks records, or sends it again.
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

// sendCatchUp sends the next part of what a member lacks.
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
			continue // its next version is on its way
		}
		record, known := shard.recordOf(id)
		if !known { // it is finished for so long that only the core knows it
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

// recordOf gives a job's record as the owner has it.
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

const finishedVersion = 1 << 60 // above that of any live record

// onCaughtUp takes a member's word that a part is synced there, and sends the next.
func (n *node) onCaughtUp(shard *ownedShard, member string, seq uint64) {
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

// acceptMissedValue keeps a register's value that another member has accepted and this
// one has not: the same as the proposer's own message, come late. Until then one
// of the others would have to be asked whenever the third is away.
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
