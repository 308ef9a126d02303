package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"

	"otterchute/internal/codec"
	"otterchute/internal/statestore"
)

// A segment or snapshot is a run of log records:
//
//	length u32 | checksum u32 | batch u64 | mark u8 | entry
//
// The mark holds the format of the entry and whether it is the last of its batch.
// A batch is written and synced before the next one begins; so a bad record that
// a later batch stands behind was damaged after it had been synced, and one that
// nothing of a later batch follows is the torn end of the last write.
const (
	checksumAt  = 4
	batchAt     = checksumAt + 4
	markAt      = batchAt + 8
	headerBytes = markAt + 1

	// currentFormat rises with each change of how entries and the values in them
	// are encoded: 1 since ballots hold the proposer's instance, 2 since a
	// configuration holds the history of its changes.
	currentFormat byte = 2
	lastOfBatch   byte = 1
	formatShift        = 1

	maxEntryBytes = 64 << 20 // as a frame between daemons: a longer length is damage
	maxBatches    = 1 << 32  // of one segment, far above what it may hold
)

// logRecord is one entry as it stands in a file.
type logRecord struct {
	entry statestore.Entry
	batch uint64
	last  bool // of its batch
	size  int  // bytes in the file; 0 where there is no sound record
}

func appendRecord(dst []byte, e statestore.Entry, batch uint64, last bool) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, headerBytes)...)
	dst = codec.Append(dst, e)
	record := dst[start:]
	binary.BigEndian.PutUint32(record, uint32(len(record)-headerBytes))
	binary.BigEndian.PutUint64(record[batchAt:], batch)
	record[markAt] = currentFormat << formatShift
	if last {
		record[markAt] |= lastOfBatch
	}
	binary.BigEndian.PutUint32(record[checksumAt:], crc32.ChecksumIEEE(record[batchAt:]))
	return dst
}

// recordSize returns the size of the record that stands here undamaged, in
// whatever format; 0 if there is none.
func recordSize(b []byte) int {
	if len(b) < headerBytes {
		return 0
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > maxEntryBytes || len(b)-headerBytes < n {
		return 0
	}
	size := headerBytes + n
	if crc32.ChecksumIEEE(b[batchAt:size]) != binary.BigEndian.Uint32(b[checksumAt:]) {
		return 0
	}
	return size
}

// inOtherFormat tells whether a file begins with a record of another format. To
// take it for a torn one would cut it off.
func inOtherFormat(b []byte) bool {
	return recordSize(b) > 0 && b[markAt]>>formatShift != currentFormat
}

// readRecord decodes the record at the head of b.
func readRecord(b []byte) (r logRecord) {
	size := recordSize(b)
	if size == 0 || inOtherFormat(b) || codec.Unmarshal(b[headerBytes:size], &r.entry) != nil {
		return logRecord{}
	}
	r.batch = binary.BigEndian.Uint64(b[batchAt:])
	r.last = b[markAt]&lastOfBatch != 0
	r.size = size
	return r
}

// readSegment applies a segment's entries and returns where its sound part ends,
// which is after a complete batch: one that was torn counts for nothing, since it
// was never synced. Damage with a later batch behind it gives ErrDamaged; an end
// that is merely torn does not.
func readSegment(b []byte, batch uint64, apply func(statestore.Entry)) (sound int, lastBatch uint64, err error) {
	var open []statestore.Entry // of a batch whose last record is still to come
	for at := 0; at < len(b); {
		r := readRecord(b[at:])
		if r.size == 0 || len(open) > 0 && r.batch != batch+1 {
			if holdsLaterBatch(b[at:], batch+1) {
				err = ErrDamaged
			}
			return sound, batch, err
		}
		if len(open) == 0 {
			batch = r.batch - 1
		}
		open = append(open, r.entry)
		at += r.size
		if r.last {
			for _, e := range open {
				apply(e)
			}
			open, batch, sound = nil, r.batch, at
		}
	}
	return sound, batch, nil
}

// holdsLaterBatch tells whether a record of a later batch than the torn one
// stands anywhere in b.
func holdsLaterBatch(b []byte, torn uint64) bool {
	for at := 0; at+headerBytes <= len(b); at++ {
		// Cheap looks first: checksums at each byte would take minutes.
		batch := binary.BigEndian.Uint64(b[at+batchAt:])
		if batch <= torn || batch-torn > maxBatches || b[at+markAt]>>formatShift != currentFormat {
			continue
		}
		if readRecord(b[at:]).size > 0 {
			return true
		}
	}
	return false
}

// readSnapshot applies a snapshot's entries and returns the batch before which it
// was taken; false where it isn't complete.
func readSnapshot(b []byte, apply func(statestore.Entry)) (batch uint64, complete bool) {
	for at := 0; at < len(b); {
		r := readRecord(b[at:])
		if r.size == 0 || batch != 0 && r.batch != batch {
			return 0, false
		}
		apply(r.entry)
		batch = r.batch
		at += r.size
		if r.last {
			return batch, at == len(b)
		}
	}
	return 0, false
}

// Names of files. A snapshot takes the place of all segments with lower numbers.
const (
	segmentPrefix    = "log-"
	snapshotPrefix   = "snap-"
	quarantinePrefix = "damaged-"
	identityName     = "disk-id"
	lockName         = "lock"
	unfinishedSuffix = ".new" // of a file that is not complete yet
)

func segmentName(n uint64) string  { return fmt.Sprintf("%s%016d", segmentPrefix, n) }
func snapshotName(n uint64) string { return fmt.Sprintf("%s%016d", snapshotPrefix, n) }

// fileNumber returns the number of a segment or snapshot.
func fileNumber(name string) (number uint64, ok bool) {
	for _, prefix := range []string{segmentPrefix, snapshotPrefix} {
		if digits, found := strings.CutPrefix(name, prefix); found {
			number, err := strconv.ParseUint(digits, 10, 64)
			return number, err == nil
		}
	}
	return 0, false
}

// fileNumbers returns the numbers of the files with a prefix, from one on, in order.
func fileNumbers(names []string, prefix string, from uint64) (out []uint64) {
	for _, name := range names {
		if number, ok := fileNumber(name); ok && strings.HasPrefix(name, prefix) && number >= from {
			out = append(out, number)
		}
	}
	slices.Sort(out)
	return out
}
