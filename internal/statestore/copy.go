package statestore

import (
	"maps"
	"math"
	"slices"
)

// Cursor is a position in the entries of a store: the zero value at the beginning, else in a
// shard's live records (Chunk 0) after the id in After, or in its finished records at a chunk. Each
// process numbers chunks anew, so a cursor is only valid in the process that returned it.
type Cursor struct {
	Shard    string
	Chunk    uint64
	After    string
	Instance uint64 // of the process that returned it; set by the sender of the cursor
}

// AtEnd reports whether a cursor that CopyPart returned is at the end.
func (c Cursor) AtEnd() bool { return c.Shard == "" }

// Dump returns the entries that rebuild the store, for a snapshot. Finished records are
// returned as whole chunks, without copying them.
func (s *Store) Dump() []Entry {
	var out []Entry
	for cursor := (Cursor{}); ; {
		part, next := s.CopyPart(cursor, math.MaxInt)
		out = append(out, part...)
		if next.AtEnd() {
			return out
		}
		cursor = next
	}
}

// CopyPart returns the entries at a cursor, of about the given total size, and the cursor to
// continue at. A shard's live records precede its finished ones, so that a record that finishes
// between two parts is not missed.
func (s *Store) CopyPart(cursor Cursor, bytes int) (out []Entry, next Cursor) {
	if cursor.Shard == "" {
		return s.commonPart(), s.shardAfter("")
	}
	shard := s.Shard(cursor.Shard)
	if cursor.Chunk == 0 {
		return shard.livePart(cursor, bytes)
	}
	chunks, from := shard.archive.chunksFrom(cursor.Chunk, bytes)
	for _, ch := range chunks {
		out = append(out, Entry{Kind: EntryChunk, Name: cursor.Shard, Value: ch.frames})
	}
	if from != 0 {
		return out, Cursor{Shard: cursor.Shard, Chunk: from}
	}
	for _, id := range slices.Sorted(maps.Keys(shard.unconfirmed)) {
		out = append(out, Entry{Kind: EntryUnconfirmed, Name: cursor.Shard, Record: Record{ID: id}})
	}
	return out, s.shardAfter(cursor.Shard)
}

// shardAfter returns a cursor at the first shard after a name, or at the end.
func (s *Store) shardAfter(name string) Cursor {
	for _, next := range s.ShardNames() {
		if next > name {
			return Cursor{Shard: next}
		}
	}
	return Cursor{}
}

// commonPart returns the entries that belong to no shard.
func (s *Store) commonPart() (out []Entry) {
	if s.cluster != 0 {
		formation := s.formation
		formation.Cluster = s.cluster
		out = append(out, Entry{Kind: EntryFormationVote, Value: formation.Encode()})
	}
	if s.coreSet.Version != 0 {
		out = append(out, Entry{Kind: EntryCoreSet, Value: s.coreSet.Encode()})
	}
	for _, name := range s.RegisterNames() {
		r := s.registers[name]
		if !r.Accepted.IsZero() {
			out = append(out, Entry{Kind: EntryAccept, Name: name, Ballot: r.Accepted, Value: r.Value})
		}
		out = append(out, Entry{Kind: EntryPromise, Name: name, Ballot: r.Promised})
	}
	return out
}

// livePart returns a part of a shard's live records in the order of their ids. A record added
// during a copy, with an id that the cursor has passed, is not copied: its acknowledgement does not
// depend on the copy.
func (s *Shard) livePart(cursor Cursor, bytes int) (out []Entry, next Cursor) {
	if cursor.After == "" {
		out = append(out,
			Entry{Kind: EntrySeal, Name: cursor.Shard, Epoch: s.sealedEpoch},
			Entry{Kind: EntryServed, Name: cursor.Shard, Epoch: s.servedEpoch})
	}
	size := 0
	for _, r := range s.Live() {
		if r.ID <= cursor.After {
			continue
		}
		if size >= bytes {
			return out, Cursor{Shard: cursor.Shard, After: out[len(out)-1].Record.ID}
		}
		out = append(out, Entry{Kind: EntryRecord, Name: cursor.Shard, Record: r})
		size += r.Size()
	}
	return out, Cursor{Shard: cursor.Shard, Chunk: s.archive.firstNumber}
}
