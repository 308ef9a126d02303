package statestore

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// randomValue draws a value of some segments; other changes some of one's segments.
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
		out[i] = byte(r.IntN(3)) // few values, so that parts are alike by chance
	}
	return out
}

func changed(r *rand.Rand, v Segmented) (out Segmented) {
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

// Whatever changed in a value, its patch makes the new one, byte by byte, and fits no other.
func TestPatchMakesTheNewValue(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 1))
		older := randomValue(r, r.IntN(12))
		newer := changed(r, older)
		splices, _ := Diff(older, newer)
		if len(older.Ends) == 0 {
			continue
		}
		p := Patch{ID: "j", Epoch: 3, Base: 1, Version: 2, Splices: splices, Checksum: Checksum(newer.Value)}
		got, ok := p.apply(older.Value)
		must.True(t, ok, must.Sprint(seed))
		must.True(t, bytes.Equal(newer.Value, got), must.Sprint(seed))
		other := changed(r, older)
		if got, ok = p.apply(other.Value); ok {
			must.True(t, bytes.Equal(newer.Value, got), must.Sprint(seed))
		}
	}
}

func TestDiffOfOtherSegments(t *testing.T) {
	_, ok := Diff(Segmented{Value: []byte("ab"), Ends: []int{1, 2}}, Segmented{Value: []byte("abc"), Ends: []int{1, 2, 3}})
	must.False(t, ok)
	_, ok = Diff(Segmented{}, Segmented{Value: []byte("a"), Ends: []int{1}})
	must.False(t, ok)
	_, ok = Diff(Segmented{Value: []byte("a"), Ends: []int{1}}, Segmented{Value: []byte("b"), Ends: []int{1}})
	must.False(t, ok) // as large as the value
}

// A patch is taken on its own base only: another version, epoch or value, a record that
// isn't here or has finished, and offsets beyond the value are refused.
func TestPatchedNeedsItsBase(t *testing.T) {
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
		"no step":       {base, func(p *Patch) { p.Version = 5 }, false},
		"other value":   {Record{ID: "j", Epoch: 3, Version: 5, Live: true, Value: []byte("ane two")}, func(*Patch) {}, false},
		"beyond":        {base, func(p *Patch) { p.Splices = []Splice{{Offset: 6, Remove: 3}} }, false},
		"before":        {base, func(p *Patch) { p.Splices = []Splice{{Offset: -1, Remove: 1}} }, false},
		"negative":      {base, func(p *Patch) { p.Splices = []Splice{{Offset: 2, Remove: -1}} }, false},
		"backwards":     {base, func(p *Patch) { p.Splices = []Splice{{Offset: 3}, {Offset: 1}} }, false},
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

// Entries of patches build the same store as whole records, also when some are applied
// twice, as after a start from a snapshot that already has them.
func TestPatchEntriesBuildTheStore(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 2))
		value := randomValue(r, 1+r.IntN(8))
		whole, patched := New(), New()
		first := Entry{Kind: EntryRecord, Name: "east", Record: Record{ID: "j", Epoch: 1, Version: 1, Live: true, Value: value.Value}}
		whole.Apply(first)
		patched.Apply(first)
		var entries []Entry
		for version := int64(2); version < 12; version++ {
			newer := changed(r, value)
			splices, _ := Diff(value, newer)
			whole.Apply(Entry{Kind: EntryRecord, Name: "east", Record: Record{ID: "j", Epoch: 1, Version: version, Live: true, Value: newer.Value}})
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
