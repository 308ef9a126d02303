package daemon

import (
	"encoding/binary"
	"otterchute/internal/statestore"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// readRecords gives a segment's entries and where its sound part ends, which is
// after a whole batch: one that was torn counts for nothing, since it was never
// synced. Damage with a later batch behind it gives errDamaged; an end that is
// merely torn does not.
func readRecords(b []byte, batch uint64, into func(statestore.Entry)) (sound int, lastBatch uint64, err error) {
	var open []statestore.Entry // of a batch whose last record is still to come
	for at := 0; at < len(b); {
		e, number, last, size := readRecord(b[at:])
		if size == 0 || len(open) > 0 && number != batch+1 {
			if holdsLaterBatch(b[at:], batch+1) {
				return sound, batch, errDamaged
			}
			return sound, batch, nil
		}
		if len(open) == 0 {
			batch = number - 1
		}
		open = append(open, e)
		at += size
		if last {
			for _, entry := range open {
				into(entry)
			}
			open, batch, sound = nil, number, at
		}
	}
	return sound, batch, nil
}

// holdsLaterBatch tells whether a record of a later batch than the torn one
// stands anywhere in b.
func holdsLaterBatch(b []byte, torn uint64) bool {
	for at := 0; at+recordHead <= len(b); at++ {
		// Cheap looks first: checksums at each byte would take minutes.
		number := binary.BigEndian.Uint64(b[at+8:])
		if number <= torn || number-torn > batchesMax || b[at+recordMarkAt]>>formatShift != diskFormat {
			continue
		}
		if _, _, _, size := readRecord(b[at:]); size > 0 {
			return true
		}
	}
	return false
}

// readSnapshot gives a snapshot's entries and the batch before which it was
// taken; false where it isn't whole.
func readSnapshot(b []byte, into func(statestore.Entry)) (batch uint64, whole bool) {
	for at := 0; at < len(b); {
		e, number, last, size := readRecord(b[at:])
		if size == 0 || batch != 0 && number != batch {
			return 0, false
		}
		into(e)
		batch, at = number, at+size
		if last {
			return batch, at == len(b)
		}
	}
	return 0, false
}

// fileNumber gives the number of a segment or snapshot.
func fileNumber(name string) (number uint64, ok bool) {
	for _, prefix := range []string{segmentPrefix, snapshotPrefix} {
		if digits, found := strings.CutPrefix(name, prefix); found {
			number, err := strconv.ParseUint(digits, 10, 64)
			return number, err == nil
		}
	}
	return 0, false
}

// numbers gives the numbers of the files with a prefix, from one on, in order.
func numbers(names []string, prefix string, from uint64) (out []uint64) {
	for _, name := range names {
		if number, ok := fileNumber(name); ok && strings.HasPrefix(name, prefix) && number >= from {
			out = append(out, number)
		}
	}
	slices.Sort(out)
	return out
}

// read builds the store from the newest snapshot that is whole and the segments
// from it on. Older snapshots and segments stand only until a newer snapshot is
// sure to last, so that one of the two always is whole.
func (d *segmentLog) read() (*statestore.Store, error) {
	names, err := d.folder.List()
	if err != nil {
		return nil, errors.Wrap(errDisk, err.Error())
	}
	snapshots := numbers(names, snapshotPrefix, d.first)
	segments := numbers(names, segmentPrefix, d.first)
	if len(snapshots) == 0 && len(segments) == 0 {
		d.base = max(d.first, 1)
		d.segment = d.base - 1
		return statestore.New(), nil
	}
	last := uint64(0)
	if len(segments) > 0 {
		last = segments[len(segments)-1]
	}
	if len(snapshots) > 0 && snapshots[len(snapshots)-1] > last {
		return nil, errDamaged // its segment was there before it
	}
	d.segment = last
	for _, at := range slices.Backward(snapshots) {
		st, err := d.readFrom(at, true)
		if !errors.Is(err, errDamaged) {
			return st, err
		}
		d.log("snapshot_unusable", "snapshot", at)
	}
	first := d.first
	if first == 0 { // an earlier release told the first one nowhere
		if len(snapshots) > 0 {
			return nil, errDamaged
		}
		first = segments[0]
	}
	return d.readFrom(first, false)
}

// readFrom builds the store from one snapshot, or from nothing, and all
// segments from its number on.
func (d *segmentLog) readFrom(from uint64, snapshot bool) (*statestore.Store, error) {
	st := statestore.New()
	d.batch, d.base = 0, from
	if snapshot {
		b, err := d.folder.Read(snapshotName(from))
		if err != nil {
			return nil, errors.Wrap(errDisk, err.Error())
		}
		if otherFormat(b) {
			return nil, errDiskFormat
		}
		batch, whole := readSnapshot(b, st.Apply)
		if !whole {
			return nil, errDamaged
		}
		d.batch = batch
		st.SnapshotTaken()
	}
	names, err := d.folder.List()
	if err != nil {
		return nil, errors.Wrap(errDisk, err.Error())
	}
	segments := numbers(names, segmentPrefix, from)
	for i, at := range segments {
		if at != from+uint64(i) {
			return nil, errDamaged
		}
		if err := d.readSegment(at, st); err != nil {
			return nil, err
		}
	}
	if len(segments) == 0 {
		return nil, errDamaged
	}
	return st, nil
}

// readSegment applies a segment's records. Only the last segment may end torn.
// Its end is to be cut and the rest synced before anything follows from it: a
// process that was killed may have left what the next loss of power takes away.
func (d *segmentLog) readSegment(at uint64, st *statestore.Store) error {
	b, err := d.folder.Read(segmentName(at))
	if err != nil {
		return errors.Wrap(errDisk, err.Error())
	}
	if otherFormat(b) {
		return errDiskFormat
	}
	sound, batch, err := readRecords(b, d.batch, st.Apply)
	if err != nil {
		return err
	}
	d.batch = batch
	if at < d.segment {
		if sound < len(b) {
			return errDamaged
		}
		return nil
	}
	if sound < len(b) {
		d.log("disk_tail_cut", "segment", at, "bytes", len(b)-sound)
	}
	d.size, d.untrimmed = int64(sound), true
	return nil
}

// trimSegment gives the segment the length of its sound part, and syncs it.
func (d *segmentLog) trimSegment() error {
	file, err := d.folder.Open(segmentName(d.segment))
	if err != nil {
		return err
	}
	err = file.Truncate(d.size)
	if err == nil {
		err = file.Sync()
	}
	if closing := file.Close(); err == nil {
		err = closing
	}
	return err
}
