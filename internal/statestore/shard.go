package statestore

import (
	"maps"
	"slices"
)

// Shard is what one core member keeps of one shard of the jobs.
type Shard struct {
	sealed      uint64
	served      uint64
	live        map[string]Record
	unconfirmed map[string]bool // finished here, but a quorum may not hold that
	archive     *archive        // all finished records
}

func newShard() *Shard {
	return &Shard{live: map[string]Record{}, unconfirmed: map[string]bool{}, archive: newArchive()}
}

// SealedEpoch is the newest epoch that an owner sealed here: writes of lower ones are fenced off.
func (s *Shard) SealedEpoch() uint64 { return s.sealed }

// ServedEpoch is the epoch of the last owner known to have all live records committed
// under it: live records of older epochs are void.
func (s *Shard) ServedEpoch() uint64 { return s.served }

// Get returns a record by its job's id, live or finished.
func (s *Shard) Get(id string) (Record, bool) {
	if r, ok := s.live[id]; ok {
		return r, true
	}
	return s.archive.get(id)
}

// HasVersion tells whether a record's version is here, or one above it.
func (s *Shard) HasVersion(id string, epoch uint64, version int64) bool {
	r, known := s.Get(id)
	return known && !r.OlderThan(Record{Epoch: epoch, Version: version})
}

// Live returns the records of jobs that have not finished, by id.
func (s *Shard) Live() []Record {
	out := make([]Record, 0, len(s.live))
	for _, id := range slices.Sorted(maps.Keys(s.live)) {
		out = append(out, s.live[id])
	}
	return out
}

// Unconfirmed returns, by id, the finished records that a quorum may not hold: a
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

// Finished is how many finished records can be found by their ids.
func (s *Shard) Finished() int { return len(s.archive.index) }

// EachFinished calls do with every finished record that is kept, the oldest
// first, superseded ones too.
func (s *Shard) EachFinished(do func(Record)) {
	for _, c := range s.archive.chunks {
		eachFrame(c.frames, func(_ uint32, r Record) { do(r) })
	}
}

// FirstChunk is the number of the oldest chunk of finished records. It rises as
// they expire, and begins anew with each life of the process.
func (s *Shard) FirstChunk() uint64 { return s.archive.first }

// Expired tells whether an EntryExpire with this wall time, in ms, would let go of anything.
func (s *Shard) Expired(cutMs int64) bool { return s.archive.expired(cutMs) }

// put takes a record unless a newer version is here, or it is live and void.
func (s *Shard) put(r Record) {
	if old, had := s.Get(r.ID); had && !old.OlderThan(r) {
		return
	}
	if r.Live && r.Epoch < s.served {
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

// drop lets go of finished records done before a time.
func (s *Shard) drop(cutMs int64) {
	s.archive.drop(cutMs)
	maps.DeleteFunc(s.unconfirmed, func(id string, _ bool) bool {
		_, kept := s.archive.get(id)
		return !kept
	})
}

// serve voids the live records of epochs before this one.
func (s *Shard) serve(epoch uint64) {
	s.served = max(s.served, epoch)
	maps.DeleteFunc(s.live, func(_ string, r Record) bool { return r.Epoch < s.served })
}

// putChunk takes a chunk of another member's or life's finished records.
func (s *Shard) putChunk(frames []byte) {
	eachFrame(frames, func(_ uint32, r Record) {
		r.Confirmed = true // what isn't follows as EntryUnconfirmed
		s.put(r)
	})
}

// markUnconfirmed takes back that a quorum holds a finished record.
func (s *Shard) markUnconfirmed(id string) {
	_, live := s.live[id]
	if _, finished := s.archive.get(id); finished && !live {
		s.unconfirmed[id] = true
	}
}
