package statestore

import (
	"encoding/binary"
	"hash/maphash"
)

const (
	// ChunkBytes is the size at which a chunk of finished records is closed. Copies are
	// sent in parts of about this size, to block neither the control thread nor the network.
	ChunkBytes = 256 << 10
	// chunkSpanMs bounds the range of done times within one chunk. Chunks are dropped as a
	// whole, so records are kept for at most this much longer than required.
	chunkSpanMs = 600_000
)

// archive stores finished records: several hundred thousand a day, rarely read and never
// changed. They are packed into large chunks with an index that contains no pointers, so
// that the garbage collector doesn't scan them, a snapshot copies whole chunks, and
// expiry drops the oldest chunks.
type archive struct {
	seed        maphash.Seed
	index       map[uint64]position // by the hash of the record's id
	chunks      []*chunk            // in order of their numbers, which are consecutive
	firstNumber uint64              // the number of chunks[0]
	bytes       int64
}

// position locates a record's frame by chunk number and offset in the chunk.
type position struct {
	chunk  uint64
	offset uint32
}

// chunk is an append-only sequence of frames:
//
//	length u32 | epoch u64 | version u64 | done ms u64 | id length u16 | id | value
type chunk struct {
	frames          []byte
	firstMs, lastMs int64 // the range of done times
}

// Offsets within a frame.
const (
	epochOffset      = 4
	versionOffset    = epochOffset + 8
	doneOffset       = versionOffset + 8
	idLengthOffset   = doneOffset + 8
	frameHeaderBytes = idLengthOffset + 2
)

func newArchive() *archive {
	return &archive{seed: maphash.MakeSeed(), index: map[uint64]position{}, firstNumber: 1}
}

func appendFrame(dst []byte, r Record) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(frameHeaderBytes-epochOffset+len(r.ID)+len(r.Value)))
	dst = binary.BigEndian.AppendUint64(dst, r.Epoch)
	dst = binary.BigEndian.AppendUint64(dst, uint64(r.Version))
	dst = binary.BigEndian.AppendUint64(dst, uint64(r.DoneMs))
	dst = binary.BigEndian.AppendUint16(dst, uint16(len(r.ID)))
	dst = append(dst, r.ID...)
	return append(dst, r.Value...)
}

// readFrame returns the record at the start of b, whose value shares b's memory, and
// the length of its frame; 0 if b does not start with a complete frame.
func readFrame(b []byte) (Record, int) {
	if len(b) < frameHeaderBytes {
		return Record{}, 0
	}
	size := epochOffset + int(binary.BigEndian.Uint32(b))
	idEnd := frameHeaderBytes + int(binary.BigEndian.Uint16(b[idLengthOffset:]))
	if size < idEnd || len(b) < size {
		return Record{}, 0
	}
	return Record{
		ID:      string(b[frameHeaderBytes:idEnd]),
		Epoch:   binary.BigEndian.Uint64(b[epochOffset:]),
		Version: int64(binary.BigEndian.Uint64(b[versionOffset:])),
		DoneMs:  int64(binary.BigEndian.Uint64(b[doneOffset:])),
		Value:   b[idEnd:size],
	}, size
}

// eachFrame calls do for every frame and its offset, up to the first truncated one.
func eachFrame(frames []byte, do func(offset uint32, r Record)) {
	for at := 0; at < len(frames); {
		r, size := readFrame(frames[at:])
		if size == 0 {
			return
		}
		do(uint32(at), r)
		at += size
	}
}

func (a *archive) hash(id string) uint64 { return maphash.String(a.seed, id) }

// get returns a record by its id. If the hashes of two ids collide, only the record that
// was added last is found.
func (a *archive) get(id string) (Record, bool) {
	pos, ok := a.index[a.hash(id)]
	if !ok {
		return Record{}, false
	}
	r, _ := readFrame(a.chunks[pos.chunk-a.firstNumber].frames[pos.offset:])
	return r, r.ID == id
}

// put appends a record. It replaces an earlier record with the same id in the index.
func (a *archive) put(r Record) {
	c := a.openChunk(r.DoneMs)
	before := len(c.frames)
	a.index[a.hash(r.ID)] = position{a.firstNumber + uint64(len(a.chunks)) - 1, uint32(before)}
	c.frames = appendFrame(c.frames, r)
	c.lastMs = max(c.lastMs, r.DoneMs)
	a.bytes += int64(len(c.frames) - before)
}

// openChunk returns the chunk for a record with this done time, a new one if the last
// chunk is full.
func (a *archive) openChunk(doneMs int64) *chunk {
	if last := len(a.chunks) - 1; last >= 0 {
		c := a.chunks[last]
		if len(c.frames) < ChunkBytes && doneMs-c.firstMs <= chunkSpanMs {
			return c
		}
	}
	c := &chunk{firstMs: doneMs}
	a.chunks = append(a.chunks, c)
	return c
}

// expired reports whether all records of the oldest chunk finished before a time.
func (a *archive) expired(cutMs int64) bool {
	return len(a.chunks) > 0 && a.chunks[0].lastMs < cutMs
}

// drop removes the oldest chunks whose records all finished before a time.
func (a *archive) drop(cutMs int64) {
	for a.expired(cutMs) {
		eachFrame(a.chunks[0].frames, func(offset uint32, r Record) {
			if h := a.hash(r.ID); a.index[h] == (position{a.firstNumber, offset}) {
				delete(a.index, h)
			}
		})
		a.bytes -= int64(len(a.chunks[0].frames))
		a.chunks, a.firstNumber = a.chunks[1:], a.firstNumber+1
	}
}

// chunksFrom returns chunks of about the given total size, beginning with the chunk of this number,
// and the number of the chunk to continue with; 0 at the end.
func (a *archive) chunksFrom(number uint64, bytes int) (out []*chunk, next uint64) {
	size := 0
	for i := max(number, a.firstNumber) - a.firstNumber; i < uint64(len(a.chunks)); i++ {
		if size >= bytes {
			return out, a.firstNumber + i
		}
		out = append(out, a.chunks[i])
		size += len(a.chunks[i].frames)
	}
	return out, 0
}
