// Package statestore holds the state of one core member: the acceptors of registers, the
// core set and its formation, and for each shard of the jobs the sealed epoch and the
// records.
//
// A Store is a deterministic state machine: Apply applies one Entry, and applying the same
// entries again results in the same Store. It does no I/O and makes no decisions. Package
// storage makes entries durable; a member applies an entry at once, but responds only
// after the entry is durable. A new member copies the state of others with CopyPart.
// Entries of several members may be applied in any order: the highest ballots, epochs and
// versions win.
package statestore

import (
	"maps"
	"slices"

	"otterchute/internal/codec"
	"otterchute/internal/quorum"
	"otterchute/internal/register"
)

// Store is one core member's state. Use New: the zero value is not usable.
type Store struct {
	cluster           uint64
	registers         map[string]*register.Acceptor
	shards            map[string]*Shard
	coreSet           quorum.Set
	formation         quorum.Set
	refusedFormations map[uint64]bool
	loggedBytes       int64
}

// New returns an empty store.
//
// Example: store := statestore.New(); store.Apply(entry)
func New() *Store {
	return &Store{
		refusedFormations: map[uint64]bool{}, registers: map[string]*register.Acceptor{}, shards: map[string]*Shard{},
	}
}

// Cluster returns the cluster that this disk belongs to or has voted for; 0 for none.
func (s *Store) Cluster() uint64 { return s.cluster }

// CoreSet returns the newest chosen core set that is stored; version 0 for none.
func (s *Store) CoreSet() quorum.Set { return s.coreSet }

// Formation returns the formation that this disk voted for; a set without members if there is none.
func (s *Store) Formation() quorum.Set { return s.formation }

// Refused reports whether this disk voted against a formation, or was informed that it
// failed.
func (s *Store) Refused(cluster uint64) bool { return s.refusedFormations[cluster] }

// Register returns the acceptor of a register, creating it if needed. It may be changed
// only by applying entries.
func (s *Store) Register(name string) *register.Acceptor {
	r := s.registers[name]
	if r == nil {
		r = &register.Acceptor{}
		s.registers[name] = r
	}
	return r
}

// RegisterValue returns the accepted value of a register, or nil if there is none.
func (s *Store) RegisterValue(name string) []byte {
	if r := s.registers[name]; r != nil {
		return r.Value
	}
	return nil
}

// RegisterNames returns the sorted names of all registers.
func (s *Store) RegisterNames() []string { return slices.Sorted(maps.Keys(s.registers)) }

// Shard returns a shard by its name, creating it if needed.
func (s *Store) Shard(name string) *Shard {
	shard := s.shards[name]
	if shard == nil {
		shard = newShard()
		s.shards[name] = shard
	}
	return shard
}

// ShardNames returns the sorted names of all shards.
func (s *Store) ShardNames() []string { return slices.Sorted(maps.Keys(s.shards)) }

// LoggedBytes returns about how many bytes of entries were applied since the last snapshot.
func (s *Store) LoggedBytes() int64 { return s.loggedBytes }

// SnapshotTaken resets LoggedBytes to 0.
func (s *Store) SnapshotTaken() { s.loggedBytes = 0 }

// Size returns about how many bytes the whole store takes on disk.
func (s *Store) Size() int64 {
	size := int64(0)
	for _, shard := range s.shards {
		size += shard.archive.bytes
		for _, r := range shard.live {
			size += int64(r.Size())
		}
	}
	return size
}

// Apply applies one entry. Entries of unknown kinds are ignored.
func (s *Store) Apply(e Entry) {
	apply, known := appliers[e.Kind]
	if !known {
		return
	}
	apply(s, e)
	s.loggedBytes += int64(recordOverheadBytes + len(e.Value) + len(e.Record.Value))
}

var appliers = map[EntryKind]func(*Store, Entry){
	EntryFormationVote:    (*Store).applyFormationVote,
	EntryFormationRefused: (*Store).applyFormationRefused,
	EntryCoreSet:          (*Store).applyCoreSet,
	EntryPromise:          (*Store).applyPromise,
	EntryAccept:           (*Store).applyAccept,
	EntrySeal:             (*Store).applySeal,
	EntryRecord:           func(s *Store, e Entry) { s.Shard(e.Name).put(e.Record) },
	EntryExpire:           func(s *Store, e Entry) { s.Shard(e.Name).drop(int64(e.Epoch)) },
	EntryConfirmed:        func(s *Store, e Entry) { delete(s.Shard(e.Name).unconfirmed, e.Record.ID) },
	EntryChunk:            func(s *Store, e Entry) { s.Shard(e.Name).putChunk(e.Value) },
	EntryUnconfirmed:      func(s *Store, e Entry) { s.Shard(e.Name).markUnconfirmed(e.Record.ID) },
	EntryServed:           func(s *Store, e Entry) { s.Shard(e.Name).setServedEpoch(e.Epoch) },
	EntryPatch:            (*Store).applyPatch,
}

func (s *Store) applyFormationVote(e Entry) {
	var set quorum.Set
	if codec.Unmarshal(e.Value, &set) == nil {
		s.cluster, s.formation = set.Cluster, set
	}
}

func (s *Store) applyFormationRefused(e Entry) {
	s.refusedFormations[e.Epoch] = true
	if s.coreSet.Version == 0 && s.formation.Cluster == e.Epoch {
		s.cluster, s.formation = 0, quorum.Set{}
	}
}

func (s *Store) applyCoreSet(e Entry) {
	var coreSet quorum.Set
	if codec.Unmarshal(e.Value, &coreSet) == nil && coreSet.Version >= s.coreSet.Version {
		s.coreSet, s.cluster = coreSet, coreSet.Cluster
	}
}

func (s *Store) applyPromise(e Entry) {
	s.Register(e.Name).Apply(register.Write{Ballot: e.Ballot})
}

func (s *Store) applyAccept(e Entry) {
	s.Register(e.Name).Apply(register.Write{Accept: true, Ballot: e.Ballot, Value: e.Value})
}

func (s *Store) applySeal(e Entry) {
	shard := s.Shard(e.Name)
	shard.sealedEpoch = max(shard.sealedEpoch, e.Epoch)
}
