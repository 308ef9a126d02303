package statestore

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"otterchute/internal/quorum"
	"otterchute/internal/register"

	"github.com/shoenig/test/must"
)

func finishedEntry(shard string, i int, doneMs int64) Entry {
	return Entry{Kind: EntryRecord, Name: shard, Record: Record{ID: fmt.Sprintf("confirm-17999990-%07d", i), Epoch: 3, Version: 9, DoneMs: doneMs,
		Confirmed: true, Value: []byte("the value of a finished job, which is some hundred bytes long in a fleet that does real work")}}
}

// The archive says what a plain map would, over puts, newer puts and drops, and
// so does a store that was built again from its dump or from a copy in parts.
func TestArchiveIsAMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	st, plain := New(), map[string]Record{}
	doneMs := int64(1000)
	for i := range 30_000 {
		doneMs += rng.Int64N(400)
		e := finishedEntry("east", rng.IntN(20_000), doneMs)
		e.Record.Version, e.Record.Confirmed = int64(i), i%5 != 0
		plain[e.Record.ID] = e.Record
		st.Apply(e)
		if i%7000 == 6999 {
			st.Apply(Entry{Kind: EntryExpire, Name: "east", Epoch: uint64(doneMs - 900_000)})
		}
	}
	must.Greater(t, 3, len(st.Shard("east").archive.chunks))
	whole, parts := New(), New()
	for _, e := range st.Dump() {
		whole.Apply(e)
	}
	steps := 0
	for c := (Cursor{}); ; steps++ {
		part, next := st.CopyPart(c, ChunkBytes)
		for _, e := range part {
			must.LessEq(t, 2*ChunkBytes, len(e.Value))
			parts.Apply(e)
		}
		if next.Shard == "" {
			break
		}
		c = next
	}
	must.Greater(t, 3, steps)
	oldest := doneMs - 900_000
	for id, r := range plain {
		got, ok := st.Shard("east").Get(id)
		if !ok {
			must.Less(t, oldest, r.DoneMs, must.Sprint(id, " is lost"))
		} else {
			must.Eq(t, r.Version, got.Version)
			must.Eq(t, r.Value, got.Value)
		}
		for _, other := range []*Store{whole, parts} {
			o, also := other.Shard("east").Get(id)
			must.Eq(t, ok, also)
			must.Eq(t, got.Version, o.Version)
		}
	}
	must.Eq(t, st.Shard("east").unconfirmed, whole.Shard("east").unconfirmed)
	must.Eq(t, st.Shard("east").unconfirmed, parts.Shard("east").unconfirmed)
}

func liveEntry(id string, epoch uint64, version int64) Entry {
	return Entry{Kind: EntryRecord, Name: "east", Record: Record{ID: id, Epoch: epoch, Version: version, Live: true}}
}

// What entries of each kind do, and that their order matters only where it must.
func TestApply(t *testing.T) {
	ballot := register.Ballot{Round: 2, Proposer: "a", Instance: 1}
	set := quorum.Set{Cluster: 7, Version: 3}
	for _, c := range []struct {
		name    string
		entries []Entry
		holds   func(*Store) bool
	}{
		{"a vote binds to its cluster", []Entry{{Kind: EntryFormationVote, Value: set.Encode()}}, func(s *Store) bool { return s.Cluster() == 7 && s.Formation().Version == 3 }},
		{"a refused formation frees", []Entry{{Kind: EntryFormationVote, Value: set.Encode()}, {Kind: EntryFormationRefused, Epoch: 7}}, func(s *Store) bool { return s.Cluster() == 0 && s.Refused(7) }},
		{"a chosen set stays", []Entry{{Kind: EntryCoreSet, Value: set.Encode()}, {Kind: EntryFormationRefused, Epoch: 7}}, func(s *Store) bool { return s.Cluster() == 7 && s.CoreSet().Version == 3 }},
		{"an older set changes nothing", []Entry{{Kind: EntryCoreSet, Value: set.Encode()}, {Kind: EntryCoreSet, Value: quorum.Set{Cluster: 7, Version: 2}.Encode()}},
			func(s *Store) bool { return s.CoreSet().Version == 3 }},
		{"an accepted value", []Entry{{Kind: EntryAccept, Name: "r", Ballot: ballot, Value: []byte("v")}},
			func(s *Store) bool { return string(s.RegisterValue("r")) == "v" && s.RegisterValue("other") == nil }},
		{"the highest epoch seals", []Entry{{Kind: EntrySeal, Name: "east", Epoch: 5}, {Kind: EntrySeal, Name: "east", Epoch: 4}},
			func(s *Store) bool { return s.Shard("east").SealedEpoch() == 5 }},
		{"the newest version stands", []Entry{liveEntry("j", 2, 1), liveEntry("j", 1, 9)},
			func(s *Store) bool { r, _ := s.Shard("east").Get("j"); return r.Epoch == 2 }},
		{"served epochs void older live records", []Entry{liveEntry("old", 1, 1), liveEntry("new", 2, 1), {Kind: EntryServed, Name: "east", Epoch: 2}, liveEntry("late", 1, 1)},
			func(s *Store) bool { l := s.Shard("east").Live(); return len(l) == 1 && l[0].ID == "new" }},
		{"an unknown kind changes nothing", []Entry{{Kind: 99, Name: "east"}}, func(s *Store) bool { return s.LoggedBytes() == 0 && len(s.ShardNames()) == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			for _, e := range c.entries {
				s.Apply(e)
			}
			must.True(t, c.holds(s))
		})
	}
}

// A finished record is told to new owners until a quorum is known to hold it.
func TestUnconfirmed(t *testing.T) {
	s := New()
	e := finishedEntry("east", 1, 1000)
	e.Record.Confirmed = false
	s.Apply(e)
	must.Len(t, 1, s.Shard("east").Unconfirmed())
	s.Apply(Entry{Kind: EntryConfirmed, Name: "east", Record: Record{ID: e.Record.ID}})
	must.SliceEmpty(t, s.Shard("east").Unconfirmed())
}

func TestEntryKindNames(t *testing.T) {
	for kind := range appliers {
		must.NotEq(t, "", entryKindNames[kind], must.Sprint(int(kind)))
	}
	must.Eq(t, "record", EntryRecord.String())
	must.Eq(t, "entry kind 99", EntryKind(99).String())
}
