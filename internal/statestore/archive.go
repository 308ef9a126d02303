package statestore

import (
	"encoding/binary"
	"hash/maphash"
)

const (
	// ChunkBytes is how large a chunk of finished records grows. Copies go in parts
	// of about this size, so that none holds the control thread or the network up.
	ChunkBytes = 256 << 10
	// chunkSpanMs bounds the done times within one chunk: chunks are dropped as a
	// whole, so records are kept for at most this much longer than they must be.
	chunkSpanMs = 600_000
)

// archive keeps finished records: some hundred thousand a day, read now and
// then, never changed. They are packed in a few large chunks with one index of
// plain numbers, so that the garbage collector has nothing to walk, a snapshot takes the
// chunks as they are, and the oldest go a chunk at a time.
type archive struct {
	seed   maphash.Seed
	index  map[uint64]position // by the hash of an id
	chunks []*chunk            // numbered one after the other
	first  uint64              // number of chunks[0]
	bytes  int64
}

// position is where a record's frame begins: the number of its chunk and the
// offset within that.
type position struct {
	chunk  uint64
	offset uint32
}

// chunk is a run of frames, only ever appended to:
//
//	length u32 | epoch u64 | version u64 | done ms u64 | id length u16 | id | value
type chunk struct {
	frames          []byte
	firstMs, lastMs int64 // done times within
}

// Offsets within a frame.
const (
	epochAt    = 4
	versionAt  = epochAt + 8
	doneAt     = versionAt + 8
	idLengthAt = doneAt + 8
	frameHead  = idLengthAt + 2
)

func newArchive() *archive {
	return &archive{seed: maphash.MakeSeed(), index: map[uint64]position{}, first: 1}
}

func appendFrame(dst []byte, r Record) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(frameHead-epochAt+len(r.ID)+len(r.Value)))
	dst = binary.BigEndian.AppendUint64(dst, r.Epoch)
	dst = binary.BigEndian.AppendUint64(dst, uint64(r.Version))
	dst = binary.BigEndian.AppendUint64(dst, uint64(r.DoneMs))
	dst = binary.BigEndian.AppendUint16(dst, uint16(len(r.ID)))
	dst = append(dst, r.ID...)
	return append(dst, r.Value...)
}

// readFrame returns the record at the head of b, whose value still shares b's
// memory, and the frame's length; 0 where there is no complete frame.
func readFrame(b []byte) (Record, int) {
	if len(b) < frameHead {
		return Record{}, 0
	}
	size := epochAt + int(binary.BigEndian.Uint32(b))
	idEnd := frameHead + int(binary.BigEndian.Uint16(b[idLengthAt:]))
	if size < idEnd || len(b) < size {
		return Record{}, 0
	}
	return Record{
		ID:      string(b[frameHead:idEnd]),
		Epoch:   binary.BigEndian.Uint64(b[epochAt:]),
		Version: int64(binary.BigEndian.Uint64(b[versionAt:])),
		DoneMs:  int64(binary.BigEndian.Uint64(b[doneAt:])),
		Value:   b[idEnd:size],
	}, size
}

// eachFrame calls do for every frame and its offset, up to the first one that is cut short.
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

// get finds a record by its id. Two ids of one hash hide each other: the newer
// one is found, the other counts as unknown.
func (a *archive) get(id string) (Record, bool) {
	at, ok := a.index[a.hash(id)]
	if !ok {
		return Record{}, false
	}
	r, _ := readFrame(a.chunks[at.chunk-a.first].frames[at.offset:])
	return r, r.ID == id
}

// put appends a record; one of the same id before it is not found any more.
func (a *archive) put(r Record) {
	c := a.openChunk(r.DoneMs)
	before := len(c.frames)
	a.index[a.hash(r.ID)] = position{a.first + uint64(len(a.chunks)) - 1, uint32(before)}
	c.frames = appendFrame(c.frames, r)
	c.lastMs = max(c.lastMs, r.DoneMs)
	a.bytes += int64(len(c.frames) - before)
}

// openChunk returns the chunk that a record of this done time goes to.
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

// expired tells whether the oldest chunk holds nothing finished since a time.
func (a *archive) expired(cutMs int64) bool {
	return len(a.chunks) > 0 && a.chunks[0].lastMs < cutMs
}

// drop lets go of the oldest chunks that hold nothing finished since a time.
func (a *archive) drop(cutMs int64) {
	for a.expired(cutMs) {
		eachFrame(a.chunks[0].frames, func(offset uint32, r Record) {
			if h := a.hash(r.ID); a.index[h] == (position{a.first, offset}) {
				delete(a.index, h)
			}
		})
		a.bytes -= int64(len(a.chunks[0].frames))
		a.chunks, a.first = a.chunks[1:], a.first+1
	}
}

// chunksFrom returns the chunks from a number on, of about so many bytes
// together, and the number to go on from; 0 at the end.
func (a *archive) chunksFrom(number uint64, bytes int) (out []*chunk, next uint64) {
	size := 0
	for i := max(number, a.first) - a.first; i < uint64(len(a.chunks)); i++ {
		if size >= bytes {
			return out, a.first + i
		}
		out = append(out, a.chunks[i])
		size += len(a.chunks[i].frames)
	}
	return out, 0
}
