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

// A segment or snapshot is a sequence of log records:
//
//	length u32 | checksum u32 | batch u64 | flags u8 | entry
//
// The flags hold the format of the entry and whether it is the last one of its batch. A batch is
// written and synced before the next one begins. So a bad record that is followed by a later batch
// was damaged after it had been synced; otherwise it is the torn end of the last write.
const (
	checksumOffset = 4
	batchOffset    = checksumOffset + 4
	flagsOffset    = batchOffset + 8
	headerBytes    = flagsOffset + 1

	// currentFormat rises with each change to the encoding of entries or of the values
	// in them: 1 added the proposer's instance to ballots, 2 added the history of
	// changes to a configuration.
	currentFormat   byte = 2
	lastOfBatchFlag byte = 1
	formatShift          = 1

	maxEntryBytes     = 64 << 20 // the bound of frames between daemons; a larger length is damage
	maxSegmentBatches = 1 << 32  // batches in one segment, far more than it can hold
)

// logRecord is an entry as stored in a file.
type logRecord struct {
	entry statestore.Entry
	batch uint64
	last  bool // the last record of its batch
	size  int  // bytes in the file; 0 if there is no valid record
}

func appendRecord(dst []byte, e statestore.Entry, batch uint64, last bool) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, headerBytes)...)
	dst = codec.Append(dst, e)
	record := dst[start:]
	binary.BigEndian.PutUint32(record, uint32(len(record)-headerBytes))
	binary.BigEndian.PutUint64(record[batchOffset:], batch)
	record[flagsOffset] = currentFormat << formatShift
	if last {
		record[flagsOffset] |= lastOfBatchFlag
	}
	binary.BigEndian.PutUint32(record[checksumOffset:], crc32.ChecksumIEEE(record[batchOffset:]))
	return dst
}

// recordSize returns the size of the undamaged record at the start of b, in any format;
// 0 if there is none.
func recordSize(b []byte) int {
	if len(b) < headerBytes {
		return 0
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > maxEntryBytes || len(b)-headerBytes < n {
		return 0
	}
	size := headerBytes + n
	if crc32.ChecksumIEEE(b[batchOffset:size]) != binary.BigEndian.Uint32(b[checksumOffset:]) {
		return 0
	}
	return size
}

// hasOtherFormat reports whether a file begins with a record in another format. Such a
// record must not be treated as torn, since it would be truncated.
func hasOtherFormat(b []byte) bool {
	return recordSize(b) > 0 && b[flagsOffset]>>formatShift != currentFormat
}

// readRecord decodes the record at the start of b.
func readRecord(b []byte) (r logRecord) {
	size := recordSize(b)
	if size == 0 || hasOtherFormat(b) || codec.Unmarshal(b[headerBytes:size], &r.entry) != nil {
		return logRecord{}
	}
	r.batch = binary.BigEndian.Uint64(b[batchOffset:])
	r.last = b[flagsOffset]&lastOfBatchFlag != 0
	r.size = size
	return r
}

// readSegment applies the entries of a segment's complete batches and returns where they end. An
// incomplete batch at the end is ignored, since it was never synced. Damage that is followed by a
// later batch results in ErrDamaged; a torn end does not.
func readSegment(b []byte, batch uint64, apply func(statestore.Entry)) (validBytes int, lastBatch uint64, err error) {
	var openBatch []statestore.Entry // the batch whose last record has not been read yet
	for offset := 0; offset < len(b); {
		r := readRecord(b[offset:])
		if r.size == 0 || len(openBatch) > 0 && r.batch != batch+1 {
			if hasLaterBatch(b[offset:], batch+1) {
				err = ErrDamaged
			}
			return validBytes, batch, err
		}
		if len(openBatch) == 0 {
			batch = r.batch - 1
		}
		openBatch = append(openBatch, r.entry)
		offset += r.size
		if r.last {
			for _, e := range openBatch {
				apply(e)
			}
			openBatch, batch, validBytes = nil, r.batch, offset
		}
	}
	return validBytes, batch, nil
}

// hasLaterBatch reports whether b contains, at any offset, a record of a later batch
// than the torn one.
func hasLaterBatch(b []byte, torn uint64) bool {
	for offset := 0; offset+headerBytes <= len(b); offset++ {
		// Cheap checks come first: computing a checksum at each offset would take minutes.
		batch := binary.BigEndian.Uint64(b[offset+batchOffset:])
		if batch <= torn || batch-torn > maxSegmentBatches || b[offset+flagsOffset]>>formatShift != currentFormat {
			continue
		}
		if readRecord(b[offset:]).size > 0 {
			return true
		}
	}
	return false
}

// readSnapshot applies a snapshot's entries and returns the last batch that it includes,
// or false if the snapshot is incomplete.
func readSnapshot(b []byte, apply func(statestore.Entry)) (batch uint64, complete bool) {
	for offset := 0; offset < len(b); {
		r := readRecord(b[offset:])
		if r.size == 0 || batch != 0 && r.batch != batch {
			return 0, false
		}
		apply(r.entry)
		batch = r.batch
		offset += r.size
		if r.last {
			return batch, offset == len(b)
		}
	}
	return 0, false
}

// Names of files. A snapshot replaces all segments with lower numbers.
const (
	segmentPrefix    = "log-"
	snapshotPrefix   = "snap-"
	quarantinePrefix = "damaged-"
	identityName     = "disk-id"
	lockName         = "lock"
	temporarySuffix  = ".new" // of a file that is still being written
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

// fileNumbers returns the sorted numbers, not below from, of the files with a prefix.
func fileNumbers(names []string, prefix string, from uint64) (out []uint64) {
	for _, name := range names {
		if number, ok := fileNumber(name); ok && strings.HasPrefix(name, prefix) && number >= from {
			out = append(out, number)
		}
	}
	slices.Sort(out)
	return out
}
