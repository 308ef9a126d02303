package statestore

import (
	"bytes"
	"hash/crc32"

	"otterchute/internal/codec"
)

// A job's record is written at each of its tasks' ends, and most of it is as before. A
// Patch makes a version of a live record out of the one before it, so that neither the
// network nor the log has to carry the rest again. What a value means is not known here:
// its writer cuts it into segments that change apart from each other.

// Segmented is a record's value with the ends of its segments, in order; the last one
// ends with the value.
type Segmented struct {
	Value []byte
	Ends  []int
}

// segment returns the segment at an index.
func (s Segmented) segment(i int) []byte {
	from := 0
	if i > 0 {
		from = s.Ends[i-1]
	}
	return s.Value[from:s.Ends[i]]
}

// Splice replaces Remove bytes from an offset of the old value on.
type Splice struct {
	Offset int32
	Remove int32
	Insert []byte
}

// Patch makes a live record's version out of the version Base, of the same epoch.
type Patch struct {
	ID       string
	Epoch    uint64
	Base     int64
	Version  int64
	Splices  []Splice // by their offsets in the old value, apart from each other
	Checksum uint64   // CRC-32 of the new value
}

// spliceOverhead is about what a splice takes beside its bytes.
const spliceOverhead = 12

// Size is about how many bytes the patch takes on disk and in a message.
func (p Patch) Size() int {
	size := recordOverhead
	for _, s := range p.Splices {
		size += spliceOverhead + len(s.Insert)
	}
	return size
}

// Diff returns what makes a value out of an older one. It gives false where the two have
// different segments, or where a patch would be no smaller than the value.
//
// Example: splices, ok := statestore.Diff(sent, now)
func Diff(older, newer Segmented) (splices []Splice, ok bool) {
	if len(older.Ends) != len(newer.Ends) {
		return nil, false
	}
	size, at := 0, 0
	for i := range older.Ends {
		before, after := older.segment(i), newer.segment(i)
		if !bytes.Equal(before, after) {
			s := spliceOf(before, after, at)
			size += spliceOverhead + len(s.Insert)
			splices = append(splices, s)
		}
		at = older.Ends[i]
	}
	return splices, size < len(newer.Value)
}

// spliceOf replaces what two segments don't share at their beginnings and ends; at is
// where the old one begins.
func spliceOf(before, after []byte, at int) Splice {
	head := 0
	for head < len(before) && head < len(after) && before[head] == after[head] {
		head++
	}
	tail := 0
	for tail < len(before)-head && tail < len(after)-head && before[len(before)-1-tail] == after[len(after)-1-tail] {
		tail++
	}
	return Splice{
		Offset: int32(at + head), Remove: int32(len(before) - head - tail),
		Insert: bytes.Clone(after[head : len(after)-tail]),
	}
}

// Checksum is the checksum of a value, as a Patch carries it.
//
// Example: patch.Sum = statestore.Sum(value)
func Checksum(value []byte) uint64 { return uint64(crc32.ChecksumIEEE(value)) }

// apply returns the value that the patch makes; false where it doesn't fit the old one.
func (p Patch) apply(old []byte) (value []byte, ok bool) {
	value = make([]byte, 0, len(old)+p.Size())
	from := 0
	for _, s := range p.Splices {
		at, remove := int(s.Offset), int(s.Remove)
		if at < from || remove < 0 || remove > len(old)-at {
			return nil, false
		}
		value = append(value, old[from:at]...)
		value = append(value, s.Insert...)
		from = at + remove
	}
	value = append(value, old[from:]...)
	return value, Checksum(value) == p.Checksum
}

// Patched returns the record that a patch makes here; false where the version that it
// builds on is not here as its writer has it.
func (s *Shard) Patched(p Patch) (Record, bool) {
	old, known := s.live[p.ID]
	if !known || old.Epoch != p.Epoch || old.Version != p.Base || p.Version <= p.Base {
		return Record{}, false
	}
	value, ok := p.apply(old.Value)
	return Record{ID: p.ID, Epoch: p.Epoch, Version: p.Version, Live: true, Value: value}, ok
}

// PatchEntry is the entry that logs a patch of a shard's record.
//
// Example: store.Apply(statestore.PatchEntry("east", patch))
func PatchEntry(shard string, p Patch) Entry {
	return Entry{Kind: EntryPatch, Name: shard, Value: codec.Append(nil, p)}
}

// applyPatch applies a logged patch. The member checked that it fits before it was
// logged; where entries are applied a second time the version is here already.
func (s *Store) applyPatch(e Entry) {
	var p Patch
	if codec.Unmarshal(e.Value, &p) != nil {
		return
	}
	x := s.Shard(e.Name)
	if r, ok := x.Patched(p); ok {
		x.put(r)
	}
}
