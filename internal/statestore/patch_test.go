package statestore

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// randomValue returns a random value with a number of segments.
func randomValue(r *rand.Rand, segments int) (v Segmented) {
	for range segments {
		v.Value = append(v.Value, randomBytes(r, r.IntN(40))...)
		v.Ends = append(v.Ends, len(v.Value))
	}
	return v
}

func randomBytes(r *rand.Rand, length int) []byte {
	out := make([]byte, length)
	for i := range out {
		out[i] = byte(r.IntN(3)) // few distinct bytes, so that values have parts in common
	}
	return out
}

// changeSegments returns a value with some of its segments replaced.
func changeSegments(r *rand.Rand, v Segmented) (out Segmented) {
	for i := range v.Ends {
		segment := v.segment(i)
		if r.IntN(3) == 0 {
			segment = randomBytes(r, r.IntN(40))
		}
		out.Value = append(out.Value, segment...)
		out.Ends = append(out.Ends, len(out.Value))
	}
	return out
}

// A patch turns the old value into exactly the new one. Applied to any other value it is
// rejected, or the result is the new value as well.
func TestPatchYieldsNewValue(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 1))
		older := randomValue(r, r.IntN(12))
		newer := changeSegments(r, older)
		splices, _ := Diff(older, newer)
		if len(older.Ends) == 0 {
			continue
		}
		p := Patch{ID: "j", Epoch: 3, Base: 1, Version: 2, Splices: splices, Checksum: Checksum(newer.Value)}
		got, ok := p.apply(older.Value)
		must.True(t, ok, must.Sprint(seed))
		must.True(t, bytes.Equal(newer.Value, got), must.Sprint(seed))
		other := changeSegments(r, older)
		if got, ok = p.apply(other.Value); ok {
			must.True(t, bytes.Equal(newer.Value, got), must.Sprint(seed))
		}
	}
}

// Diff rejects values with different numbers of segments and patches that save nothing.
func TestDiffRejectsUselessPatches(t *testing.T) {
	_, ok := Diff(Segmented{Value: []byte("ab"), Ends: []int{1, 2}}, Segmented{Value: []byte("abc"), Ends: []int{1, 2, 3}})
	must.False(t, ok)
	_, ok = Diff(Segmented{}, Segmented{Value: []byte("a"), Ends: []int{1}})
	must.False(t, ok)
	_, ok = Diff(Segmented{Value: []byte("a"), Ends: []int{1}}, Segmented{Value: []byte("b"), Ends: []int{1}})
	must.False(t, ok) // as large as the value
}

// A patch is rejected for another base version, epoch or value, for a record that is missing
// or finished, and for offsets outside the value.
func TestPatchedRejectsWrongBase(t *testing.T) {
	base := Record{ID: "j", Epoch: 3, Version: 5, Live: true, Value: []byte("one two")}
	good := Patch{
		ID: "j", Epoch: 3, Base: 5, Version: 6, Splices: []Splice{{Offset: 4, Remove: 3, Insert: []byte("three")}},
		Checksum: Checksum([]byte("one three")),
	}
	for name, c := range map[string]struct {
		record Record
		change func(*Patch)
		ok     bool
	}{
		"fits":          {base, func(*Patch) {}, true},
		"no record":     {Record{ID: "k", Epoch: 3, Version: 5, Live: true}, func(*Patch) {}, false},
		"finished":      {Record{ID: "j", Epoch: 3, Version: 5, DoneMs: 1, Value: base.Value}, func(*Patch) {}, false},
		"other version": {base, func(p *Patch) { p.Base = 4 }, false},
		"other epoch":   {base, func(p *Patch) { p.Epoch = 4 }, false},
		"same version":  {base, func(p *Patch) { p.Version = 5 }, false},
		"other value": {
			Record{ID: "j", Epoch: 3, Version: 5, Live: true, Value: []byte("ane two")}, func(*Patch) {}, false,
		},
		"beyond":    {base, func(p *Patch) { p.Splices = []Splice{{Offset: 6, Remove: 3}} }, false},
		"before":    {base, func(p *Patch) { p.Splices = []Splice{{Offset: -1, Remove: 1}} }, false},
		"negative":  {base, func(p *Patch) { p.Splices = []Splice{{Offset: 2, Remove: -1}} }, false},
		"backwards": {base, func(p *Patch) { p.Splices = []Splice{{Offset: 3}, {Offset: 1}} }, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := New()
			s.Apply(Entry{Kind: EntryRecord, Name: "east", Record: c.record})
			p := good
			c.change(&p)
			got, ok := s.Shard("east").Patched(p)
			must.Eq(t, c.ok, ok)
			if ok {
				must.Eq(t, "one three", string(got.Value))
				must.Eq(t, 6, got.Version)
			}
		})
	}
}

// Patch entries build the same store as whole records, even if some are applied twice, as
// after a start from a snapshot that includes them.
func TestPatchEntriesRebuildStore(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 2))
		value := randomValue(r, 1+r.IntN(8))
		whole, patched := New(), New()
		first := Entry{Kind: EntryRecord, Name: "east", Record: Record{
			ID: "j", Epoch: 1, Version: 1, Live: true, Value: value.Value,
		}}
		whole.Apply(first)
		patched.Apply(first)
		var entries []Entry
		for version := int64(2); version < 12; version++ {
			newer := changeSegments(r, value)
			splices, _ := Diff(value, newer)
			whole.Apply(Entry{Kind: EntryRecord, Name: "east", Record: Record{
				ID: "j", Epoch: 1, Version: version, Live: true, Value: newer.Value,
			}})
			entries = append(entries, PatchEntry("east", Patch{
				ID: "j", Epoch: 1, Base: version - 1, Version: version, Splices: splices, Checksum: Checksum(newer.Value)}))
			value = newer
		}
		for _, e := range entries {
			patched.Apply(e)
		}
		for _, e := range entries[r.IntN(len(entries)):] {
			patched.Apply(e)
		}
		must.Eq(t, whole.Dump(), patched.Dump())
	}
}
