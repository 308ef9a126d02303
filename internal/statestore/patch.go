package statestore

import (
	"bytes"
	"hash/crc32"

	"otterchute/internal/codec"
)

// A job's record is written whenever one of its tasks ends, and most of it is unchanged. A
// Patch builds a version of a live record from the version before it, so that neither the
// network nor the log carries the unchanged part again. This package does not interpret
// values: the writer divides a value into segments that change independently.

// Segmented is a record's value with the end offsets of its segments, in order. The last
// segment ends with the value.
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

// Splice replaces Remove bytes of the old value, beginning at an offset.
type Splice struct {
	Offset int32
	Remove int32
	Insert []byte
}

// Patch builds a version of a live record from the version Base of the same epoch.
type Patch struct {
	ID       string
	Epoch    uint64
	Base     int64
	Version  int64
	Splices  []Splice // ordered by their offsets in the old value; they do not overlap
	Checksum uint64   // CRC-32 of the new value
}

// spliceOverheadBytes is the approximate size of a splice besides the inserted bytes.
const spliceOverheadBytes = 12

// Size returns about how many bytes the patch takes on disk and in a message.
func (p Patch) Size() int {
	size := recordOverheadBytes
	for _, s := range p.Splices {
		size += spliceOverheadBytes + len(s.Insert)
	}
	return size
}

// Diff returns the splices that turn an older value into a newer one. It returns false if
// the numbers of segments differ, or if a patch would be no smaller than the value.
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
			s := makeSplice(before, after, at)
			size += spliceOverheadBytes + len(s.Insert)
			splices = append(splices, s)
		}
		at = older.Ends[i]
	}
	return splices, size < len(newer.Value)
}

// makeSplice returns the splice that turns one segment into another, without their common
// prefix and suffix. The old segment begins at offset at.
func makeSplice(before, after []byte, at int) Splice {
	prefix := 0
	for prefix < len(before) && prefix < len(after) && before[prefix] == after[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < len(before)-prefix && suffix < len(after)-prefix &&
		before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	return Splice{
		Offset: int32(at + prefix), Remove: int32(len(before) - prefix - suffix),
		Insert: bytes.Clone(after[prefix : len(after)-suffix]),
	}
}

// Checksum returns the checksum of a value, as used in a Patch.
//
// Example: patch.Checksum = statestore.Checksum(value)
func Checksum(value []byte) uint64 { return uint64(crc32.ChecksumIEEE(value)) }

// apply returns the patched value, or false if the patch does not fit the old value.
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

// Patched returns the record that results from a patch. It returns false if the shard does
// not hold the patch's base version, or holds it with another value.
func (s *Shard) Patched(p Patch) (Record, bool) {
	old, known := s.live[p.ID]
	if !known || old.Epoch != p.Epoch || old.Version != p.Base || p.Version <= p.Base {
		return Record{}, false
	}
	value, ok := p.apply(old.Value)
	return Record{ID: p.ID, Epoch: p.Epoch, Version: p.Version, Live: true, Value: value}, ok
}

// PatchEntry returns the entry that logs a patch of a shard's record.
//
// Example: store.Apply(statestore.PatchEntry("east", patch))
func PatchEntry(shard string, p Patch) Entry {
	return Entry{Kind: EntryPatch, Name: shard, Value: codec.Append(nil, p)}
}

// applyPatch applies a logged patch. A patch is checked before it is logged. If it does not fit
// here, the entry was applied before and the shard already holds the version.
func (s *Store) applyPatch(e Entry) {
	var p Patch
	if codec.Unmarshal(e.Value, &p) != nil {
		return
	}
	shard := s.Shard(e.Name)
	if r, ok := shard.Patched(p); ok {
		shard.put(r)
	}
}
