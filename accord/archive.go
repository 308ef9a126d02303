package main

import (
	"encoding/binary"
	"hash/maphash"
)

// archive keeps finished records: some hundred thousand a day, read now and
// then, never changed. They lie packed in a few large chunks with one index of
// plain numbers, so that the collector has nothing to walk, a snapshot takes the
// chunks as they are, and the oldest go a chunk at a time.
type archive struct {
	seed   maphash.Seed
	index  map[uint64]uint64 // hash of an id -> chunk number and place in it
	chunks []*chunk          // numbered one after the other
	first  uint64            // number of chunks[0]
	bytes  int64
}

// chunk is a run of frames, only ever appended to:
//
//	length u32 | epoch u64 | version u64 | done ms u64 | id length u16 | id | value
type chunk struct {
	frames          []byte
	firstMs, lastMs int64 // done times within
}

const frameHead = 4 + 8 + 8 + 8 + 2

func newArchive() *archive {
	return &archive{seed: maphash.MakeSeed(), index: map[uint64]uint64{}, first: 1}
}

func appendFrame(dst []byte, r record) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(frameHead-4+len(r.ID)+len(r.Value)))
	dst = binary.BigEndian.AppendUint64(dst, r.Epoch)
	dst = binary.BigEndian.AppendUint64(dst, uint64(r.Version))
	dst = binary.BigEndian.AppendUint64(dst, uint64(r.DoneMs))
	dst = binary.BigEndian.AppendUint16(dst, uint16(len(r.ID)))
	dst = append(dst, r.ID...)
	return append(dst, r.Value...)
}

// readFrame gives the record at the head of b, whose value still lies in b, and
// the frame's length; 0 where there is no whole one.
func readFrame(b []byte) (record, int) {
	if len(b) < frameHead {
		return record{}, 0
	}
	size := 4 + int(binary.BigEndian.Uint32(b))
	id := int(binary.BigEndian.Uint16(b[28:]))
	if size < frameHead+id || len(b) < size {
		return record{}, 0
	}
	return record{Epoch: binary.BigEndian.Uint64(b[4:]), Version: int64(binary.BigEndian.Uint64(b[12:])), DoneMs: int64(binary.BigEndian.Uint64(b[20:])),
		ID: string(b[frameHead : frameHead+id]), Value: b[frameHead+id : size]}, size
}

// eachFrame calls do for every frame and its place.
func eachFrame(frames []byte, do func(at int, r record)) {
	for at := 0; at < len(frames); {
		r, size := readFrame(frames[at:])
		if size == 0 {
			return
		}
		do(at, r)
		at += size
	}
}

func (a *archive) hash(id string) uint64 { return maphash.String(a.seed, id) }

func (a *archive) get(id string) (record, bool) {
	at, ok := a.index[a.hash(id)]
	if !ok {
		return record{}, false
	}
	r, _ := readFrame(a.chunks[at>>32-a.first].frames[at&(1<<32-1):])
	return r, r.ID == id
}

// put appends a record; one of the same id before it is not found any more.
func (a *archive) put(r record) {
	c := (*chunk)(nil)
	if len(a.chunks) > 0 {
		c = a.chunks[len(a.chunks)-1]
	}
	if c == nil || len(c.frames) >= chunkBytes || r.DoneMs-c.firstMs > chunkMs {
		c = &chunk{firstMs: r.DoneMs}
		a.chunks = append(a.chunks, c)
	}
	a.index[a.hash(r.ID)] = (a.first+uint64(len(a.chunks))-1)<<32 | uint64(len(c.frames))
	was := len(c.frames)
	c.frames = appendFrame(c.frames, r)
	c.lastMs = max(c.lastMs, r.DoneMs)
	a.bytes += int64(len(c.frames) - was)
}

// stale tells whether the oldest chunk holds nothing finished since a time.
func (a *archive) stale(cutMs int64) bool { return len(a.chunks) > 0 && a.chunks[0].lastMs < cutMs }

// drop lets go of the oldest chunks that hold nothing finished since a time.
func (a *archive) drop(cutMs int64) {
	for a.stale(cutMs) {
		eachFrame(a.chunks[0].frames, func(at int, r record) {
			if h := a.hash(r.ID); a.index[h] == a.first<<32|uint64(at) {
				delete(a.index, h)
			}
		})
		a.bytes -= int64(len(a.chunks[0].frames))
		a.chunks, a.first = a.chunks[1:], a.first+1
	}
}

// since gives the chunks from a number on, of about so many bytes together, and
// the number to go on from; 0 at the end.
func (a *archive) since(from uint64, most int) (out []*chunk, next uint64) {
	size := 0
	for i := max(from, a.first) - a.first; i < uint64(len(a.chunks)); i++ {
		if size >= most {
			return out, a.first + i
		}
		out = append(out, a.chunks[i])
		size += len(a.chunks[i].frames)
	}
	return out, 0
}
