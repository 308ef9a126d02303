package statestore

import (
	"maps"
	"slices"
)

// Shard holds one core member's records of one shard of the jobs.
type Shard struct {
	sealedEpoch uint64
	servedEpoch uint64
	live        map[string]Record
	unconfirmed map[string]bool // finished records that a quorum may not hold
	archive     *archive        // all finished records
}

func newShard() *Shard {
	return &Shard{live: map[string]Record{}, unconfirmed: map[string]bool{}, archive: newArchive()}
}

// SealedEpoch returns the highest epoch that an owner sealed; writes of lower epochs are fenced off.
func (s *Shard) SealedEpoch() uint64 { return s.sealedEpoch }

// ServedEpoch returns the last epoch under which all live records are known to be committed.
// Live records of older epochs are void.
func (s *Shard) ServedEpoch() uint64 { return s.servedEpoch }

// Get returns a record by its job's id, live or finished.
func (s *Shard) Get(id string) (Record, bool) {
	if r, ok := s.live[id]; ok {
		return r, true
	}
	return s.archive.get(id)
}

// HasVersion reports whether the shard holds this version of a record or a newer one.
func (s *Shard) HasVersion(id string, epoch uint64, version int64) bool {
	r, known := s.Get(id)
	return known && !r.OlderThan(Record{Epoch: epoch, Version: version})
}

// Live returns the records of unfinished jobs, ordered by id.
func (s *Shard) Live() []Record {
	out := make([]Record, 0, len(s.live))
	for _, id := range slices.Sorted(maps.Keys(s.live)) {
		out = append(out, s.live[id])
	}
	return out
}

// Unconfirmed returns the finished records that a quorum may not hold, ordered by id. A
// new owner has to write them again.
func (s *Shard) Unconfirmed() []Record {
	var out []Record
	for _, id := range slices.Sorted(maps.Keys(s.unconfirmed)) {
		if r, ok := s.archive.get(id); ok {
			out = append(out, r)
		}
	}
	return out
}

// Finished returns the number of finished records that can be found by id.
func (s *Shard) Finished() int { return len(s.archive.index) }

// EachFinished calls do with every stored finished record, the oldest first, including
// superseded ones.
func (s *Shard) EachFinished(do func(Record)) {
	for _, c := range s.archive.chunks {
		eachFrame(c.frames, func(_ uint32, r Record) { do(r) })
	}
}

// FirstChunk returns the number of the oldest chunk of finished records. It rises as
// records expire, and starts anew in each process.
func (s *Shard) FirstChunk() uint64 { return s.archive.firstNumber }

// Expired reports whether an entry of kind EntryExpire with this wall time would remove
// any records.
func (s *Shard) Expired(cutMs int64) bool { return s.archive.expired(cutMs) }

// put stores a record, unless the shard holds the same or a newer version, or the record
// is live and void.
func (s *Shard) put(r Record) {
	if old, exists := s.Get(r.ID); exists && !old.OlderThan(r) {
		return
	}
	if r.Live && r.Epoch < s.servedEpoch {
		return
	}
	delete(s.unconfirmed, r.ID)
	if r.Live {
		s.live[r.ID] = r
		return
	}
	delete(s.live, r.ID)
	s.archive.put(r)
	if !r.Confirmed {
		s.unconfirmed[r.ID] = true
	}
}

// drop removes chunks of records that finished before a time.
func (s *Shard) drop(cutMs int64) {
	s.archive.drop(cutMs)
	maps.DeleteFunc(s.unconfirmed, func(id string, _ bool) bool {
		_, kept := s.archive.get(id)
		return !kept
	})
}

// setServedEpoch sets the served epoch and removes the live records of older epochs.
func (s *Shard) setServedEpoch(epoch uint64) {
	s.servedEpoch = max(s.servedEpoch, epoch)
	maps.DeleteFunc(s.live, func(_ string, r Record) bool { return r.Epoch < s.servedEpoch })
}

// putChunk stores the finished records of a chunk from a snapshot or another member.
func (s *Shard) putChunk(frames []byte) {
	eachFrame(frames, func(_ uint32, r Record) {
		r.Confirmed = true // EntryUnconfirmed follows for those that are not
		s.put(r)
	})
}

// markUnconfirmed marks a finished record that a quorum may not hold.
func (s *Shard) markUnconfirmed(id string) {
	_, live := s.live[id]
	if _, finished := s.archive.get(id); finished && !live {
		s.unconfirmed[id] = true
	}
}
