// Package statestore is what one core member keeps: the acceptors of registers,
// the core set and its formation, and of each shard of the jobs the sealed epoch
// and the records.
//
// A Store is a pure state machine: Apply takes one Entry, and applying the same
// entries again gives the same Store. It does no I/O and decides nothing. Package
// storage makes the entries durable; whoever answers for the member applies an
// entry at once and lets the answer go only when it is durable. A member that
// joins is filled from others by CopyPart: entries of several members may be
// applied in any order, the highest ballots, epochs and versions stand.
package statestore

import (
	"maps"
	"slices"

	"otterchute/internal/codec"
	"otterchute/internal/quorum"
	"otterchute/internal/register"
)

// Store is one core member's state. The zero Store is not usable: see New.
type Store struct {
	cluster     uint64
	registers   map[string]*register.Acceptor
	shards      map[string]*Shard
	set         quorum.Set
	formed      quorum.Set
	refused     map[uint64]bool
	loggedBytes int64
}

// New returns the state of an empty disk.
//
// Example: store := statestore.New(); store.Apply(entry)
func New() *Store {
	return &Store{refused: map[uint64]bool{}, registers: map[string]*register.Acceptor{}, shards: map[string]*Shard{}}
}

// Cluster is the cluster that this disk belongs to or has voted for; 0 for none.
func (s *Store) Cluster() uint64 { return s.cluster }

// CoreSet is the newest chosen core set that this disk knows; version 0 for none.
func (s *Store) CoreSet() quorum.Set { return s.set }

// Formation is the formation that this disk voted for; without members if none.
func (s *Store) Formation() quorum.Set { return s.formed }

// Refused tells whether this disk voted against a formation, or knows that it failed.
func (s *Store) Refused(cluster uint64) bool { return s.refused[cluster] }

// Register returns the acceptor of a register, a new one where none was heard of.
// Change it by entries only.
func (s *Store) Register(name string) *register.Acceptor {
	r := s.registers[name]
	if r == nil {
		r = &register.Acceptor{}
		s.registers[name] = r
	}
	return r
}

// RegisterValue returns the accepted value of a register, nil where there is none.
func (s *Store) RegisterValue(name string) []byte {
	if r := s.registers[name]; r != nil {
		return r.Value
	}
	return nil
}

// RegisterNames returns the names of all registers that were heard of, in order.
func (s *Store) RegisterNames() []string { return slices.Sorted(maps.Keys(s.registers)) }

// Shard returns what is kept of a shard, a new one where none was heard of.
func (s *Store) Shard(name string) *Shard {
	x := s.shards[name]
	if x == nil {
		x = newShard()
		s.shards[name] = x
	}
	return x
}

// ShardNames returns the names of all shards that were heard of, in order.
func (s *Store) ShardNames() []string { return slices.Sorted(maps.Keys(s.shards)) }

// LoggedBytes is about how many bytes of entries were applied since the last snapshot.
func (s *Store) LoggedBytes() int64 { return s.loggedBytes }

// SnapshotTaken begins LoggedBytes at 0 again.
func (s *Store) SnapshotTaken() { s.loggedBytes = 0 }

// Size is about how many bytes the whole store takes on disk.
func (s *Store) Size() int64 {
	sum := int64(0)
	for _, x := range s.shards {
		sum += x.archive.bytes
		for _, r := range x.live {
			sum += int64(r.Size())
		}
	}
	return sum
}

// Apply makes the change of one entry. Kinds it doesn't know change nothing.
func (s *Store) Apply(e Entry) {
	apply, known := appliers[e.Kind]
	if !known {
		return
	}
	apply(s, e)
	s.loggedBytes += int64(recordOverhead + len(e.Value) + len(e.Record.Value))
}

var appliers = map[EntryKind]func(*Store, Entry){
	EntryFormationVote:    (*Store).applyForm,
	EntryFormationRefused: (*Store).applyRefused,
	EntryCoreSet:          (*Store).applySet,
	EntryPromise:          (*Store).applyPromise,
	EntryAccept:           (*Store).applyAccept,
	EntrySeal:             (*Store).applySeal,
	EntryRecord:           func(s *Store, e Entry) { s.Shard(e.Name).put(e.Record) },
	EntryExpire:           func(s *Store, e Entry) { s.Shard(e.Name).drop(int64(e.Epoch)) },
	EntryConfirmed:        func(s *Store, e Entry) { delete(s.Shard(e.Name).unconfirmed, e.Record.ID) },
	EntryChunk:            func(s *Store, e Entry) { s.Shard(e.Name).putChunk(e.Value) },
	EntryUnconfirmed:      func(s *Store, e Entry) { s.Shard(e.Name).markUnconfirmed(e.Record.ID) },
	EntryServed:           func(s *Store, e Entry) { s.Shard(e.Name).serve(e.Epoch) },
	EntryPatch:            (*Store).applyPatch,
}

func (s *Store) applyForm(e Entry) {
	var set quorum.Set
	if codec.Unmarshal(e.Value, &set) == nil {
		s.cluster, s.formed = set.Cluster, set
	}
}

func (s *Store) applyRefused(e Entry) {
	s.refused[e.Epoch] = true
	if s.set.Version == 0 && s.formed.Cluster == e.Epoch {
		s.cluster, s.formed = 0, quorum.Set{}
	}
}

func (s *Store) applySet(e Entry) {
	var set quorum.Set
	if codec.Unmarshal(e.Value, &set) == nil && set.Version >= s.set.Version {
		s.set, s.cluster = set, set.Cluster
	}
}

func (s *Store) applyPromise(e Entry) {
	s.Register(e.Name).Apply(register.Write{Ballot: e.Ballot})
}

func (s *Store) applyAccept(e Entry) {
	s.Register(e.Name).Apply(register.Write{Accept: true, Ballot: e.Ballot, Value: e.Value})
}

func (s *Store) applySeal(e Entry) {
	x := s.Shard(e.Name)
	x.sealed = max(x.sealed, e.Epoch)
}
