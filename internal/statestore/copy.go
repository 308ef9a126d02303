package statestore

import (
	"maps"
	"math"
	"slices"
)

// Cursor is a position in a store's entries: the zero Cursor at the beginning, else
// a shard's live records after one of them (Chunk 0), or its finished ones from a
// chunk on. Chunks are numbered anew in each life of a process, so a cursor says
// nothing in another than its own.
type Cursor struct {
	Shard    string
	Chunk    uint64
	After    string
	Instance uint64 // of the process that gave it, set by whoever sends it
}

// AtEnd tells whether a cursor that CopyPart returned stands at the end.
func (c Cursor) AtEnd() bool { return c.Shard == "" }

// Dump returns the entries that build the store again, for a snapshot. Finished
// records go as the chunks they lie in, which costs no more than naming them.
func (s *Store) Dump() []Entry {
	var out []Entry
	for c := (Cursor{}); ; {
		part, next := s.CopyPart(c, math.MaxInt)
		out = append(out, part...)
		if next.AtEnd() {
			return out
		}
		c = next
	}
}

// CopyPart returns the entries from a cursor on, of about so many bytes, and where
// to go on. Live records go before finished ones: what finishes between two
// parts is met again.
func (s *Store) CopyPart(c Cursor, bytes int) (out []Entry, next Cursor) {
	if c.Shard == "" {
		return s.commonPart(), s.shardAfter("")
	}
	x := s.Shard(c.Shard)
	if c.Chunk == 0 {
		return x.livePart(c, bytes)
	}
	chunks, from := x.archive.chunksFrom(c.Chunk, bytes)
	for _, ch := range chunks {
		out = append(out, Entry{Kind: EntryChunk, Name: c.Shard, Value: ch.frames})
	}
	if from != 0 {
		return out, Cursor{Shard: c.Shard, Chunk: from}
	}
	for _, id := range slices.Sorted(maps.Keys(x.unconfirmed)) {
		out = append(out, Entry{Kind: EntryUnconfirmed, Name: c.Shard, Record: Record{ID: id}})
	}
	return out, s.shardAfter(c.Shard)
}

// shardAfter returns the beginning of the shard after a name, or the end.
func (s *Store) shardAfter(name string) Cursor {
	for _, next := range s.ShardNames() {
		if next > name {
			return Cursor{Shard: next}
		}
	}
	return Cursor{}
}

// commonPart returns what belongs to no shard.
func (s *Store) commonPart() (out []Entry) {
	if s.cluster != 0 {
		formed := s.formed
		formed.Cluster = s.cluster
		out = append(out, Entry{Kind: EntryFormationVote, Value: formed.Encode()})
	}
	if s.set.Version != 0 {
		out = append(out, Entry{Kind: EntryCoreSet, Value: s.set.Encode()})
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

// livePart returns some of a shard's live records, in the order of their ids. One
// that comes under an earlier id meanwhile is acknowledged without the copy.
func (s *Shard) livePart(c Cursor, bytes int) (out []Entry, next Cursor) {
	if c.After == "" {
		out = append(out,
			Entry{Kind: EntrySeal, Name: c.Shard, Epoch: s.sealed},
			Entry{Kind: EntryServed, Name: c.Shard, Epoch: s.served})
	}
	size := 0
	for _, r := range s.Live() {
		if r.ID <= c.After {
			continue
		}
		if size >= bytes {
			return out, Cursor{Shard: c.Shard, After: out[len(out)-1].Record.ID}
		}
		out = append(out, Entry{Kind: EntryRecord, Name: c.Shard, Record: r})
		size += r.Size()
	}
	return out, Cursor{Shard: c.Shard, Chunk: s.archive.first}
}
