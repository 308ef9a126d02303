package storage

import (
	"os"
	"path/filepath"
	"slices"

	"otterchute/internal/statestore"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Open locks and reads the data folder at a path and returns its log and the state
// it holds. A folder without a log, and one that is damaged before its log's end,
// becomes an empty disk under newID.
//
// A disk that can be read but takes no writes now is opened all the same, since
// it may take them later: until then nothing is acknowledged. The error wraps
// ErrInUse, ErrFormat, or what the file system said.
//
// Example: log, store, err := storage.Open("/data", id, events); go log.Run(listener)
func Open(path string, newID uint64, events EventLog) (*Log, *statestore.Store, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, nil, failed("open", lockName, err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, nil, failed("lock", lockName, ErrInUse)
	}
	l, st, err := openFolder(osFolder(path), newID, events)
	if err != nil {
		_ = lock.Close() // nothing was written to it
		return nil, nil, err
	}
	l.lock = lock
	return l, st, nil
}

// openFolder is Open for a folder that no other process uses.
func openFolder(f folder, newID uint64, events EventLog) (*Log, *statestore.Store, error) {
	l := newLog(f, events)
	st, err := l.load(newID)
	if err != nil {
		return nil, nil, err
	}
	if l.startErr = l.start(); l.startErr != nil {
		return l, st, nil
	}
	if err := l.removeBefore(l.base); err != nil { // what earlier lives left
		l.events("removal_failed", "err", err.Error()) // the next snapshot tries again
	}
	return l, st, nil
}

// start makes what was read durable, and begins the next segment.
func (l *Log) start() error {
	if l.untrimmed {
		if err := l.trimSegment(); err != nil {
			return err
		}
		l.untrimmed = false
	}
	return l.roll()
}

// load reads the disk under its identity, or begins a new one where it has none
// or where the log under it is damaged.
func (l *Log) load(newID uint64) (*statestore.Store, error) {
	top, err := l.highestNumber()
	if err != nil {
		return nil, err
	}
	if found, known := readIdentity(l.folder); known {
		l.identity = found
		st, err := l.read()
		if err == nil && found.first == 0 { // written by an earlier release
			err = l.begin(identity{id: found.id, first: l.base})
		}
		if !errors.Is(err, ErrDamaged) {
			return st, err
		}
	}
	if err := l.begin(identity{id: newID, first: top + 1}); err != nil {
		return nil, err
	}
	l.segment, l.batch, l.base = top, 0, top+1
	if top == 0 {
		return statestore.New(), nil
	}
	if err := l.removeQuarantined(); err != nil { // of an earlier time: only the newest is kept
		return nil, err
	}
	return statestore.New(), l.quarantine()
}

// highestNumber returns the highest number of all files of all identities.
func (l *Log) highestNumber() (top uint64, err error) {
	names, err := l.folder.List()
	if err != nil {
		return 0, failed("list", "", err)
	}
	for _, name := range names {
		if number, ok := fileNumber(name); ok {
			top = max(top, number)
		}
	}
	return top, nil
}

// read builds the store from the newest snapshot that is complete and the segments
// from it on. Older snapshots and segments stand only until a newer snapshot is
// sure to last, so that one of the two always is complete.
func (l *Log) read() (*statestore.Store, error) {
	names, err := l.folder.List()
	if err != nil {
		return nil, failed("list", "", err)
	}
	snapshots := fileNumbers(names, snapshotPrefix, l.first)
	segments := fileNumbers(names, segmentPrefix, l.first)
	if len(snapshots) == 0 && len(segments) == 0 {
		l.base = max(l.first, 1)
		l.segment = l.base - 1
		return statestore.New(), nil
	}
	l.segment = 0
	if len(segments) > 0 {
		l.segment = segments[len(segments)-1]
	}
	if len(snapshots) > 0 && snapshots[len(snapshots)-1] > l.segment {
		return nil, ErrDamaged // its segment was there before it
	}
	for _, at := range slices.Backward(snapshots) {
		st, err := l.readFrom(at, true)
		if !errors.Is(err, ErrDamaged) {
			return st, err
		}
		l.events("snapshot_unusable", "snapshot", at)
	}
	first := l.first
	if first == 0 { // an earlier release told the first one nowhere
		if len(snapshots) > 0 {
			return nil, ErrDamaged
		}
		first = segments[0]
	}
	return l.readFrom(first, false)
}

// readFrom builds the store from one snapshot, or from nothing, and all segments
// from its number on.
func (l *Log) readFrom(from uint64, snapshot bool) (*statestore.Store, error) {
	st := statestore.New()
	l.batch, l.base = 0, from
	if snapshot {
		if err := l.applySnapshot(from, st); err != nil {
			return nil, err
		}
	}
	names, err := l.folder.List()
	if err != nil {
		return nil, failed("list", "", err)
	}
	segments := fileNumbers(names, segmentPrefix, from)
	for i, number := range segments {
		if number != from+uint64(i) {
			return nil, ErrDamaged
		}
		if err := l.applySegment(number, st); err != nil {
			return nil, err
		}
	}
	if len(segments) == 0 {
		return nil, ErrDamaged
	}
	return st, nil
}

// readFile reads a segment or snapshot of this format.
func (l *Log) readFile(name string) ([]byte, error) {
	b, err := l.folder.Read(name)
	if err != nil {
		return nil, failed("read", name, err)
	}
	if inOtherFormat(b) {
		return nil, failed("read", name, ErrFormat)
	}
	return b, nil
}

func (l *Log) applySnapshot(number uint64, st *statestore.Store) error {
	b, err := l.readFile(snapshotName(number))
	if err != nil {
		return err
	}
	batch, complete := readSnapshot(b, st.Apply)
	if !complete {
		return ErrDamaged
	}
	l.batch = batch
	st.SnapshotTaken()
	return nil
}

// applySegment applies a segment's entries. Only the last segment may end torn.
// Its end is to be cut and the rest synced before anything follows from it: a
// process that was killed may have left what the next loss of power takes away.
func (l *Log) applySegment(number uint64, st *statestore.Store) error {
	b, err := l.readFile(segmentName(number))
	if err != nil {
		return err
	}
	sound, batch, err := readSegment(b, l.batch, st.Apply)
	if err != nil {
		return err
	}
	l.batch = batch
	if number < l.segment {
		if sound < len(b) {
			return ErrDamaged
		}
		return nil
	}
	if sound < len(b) {
		l.events("disk_tail_cut", "segment", number, "bytes", len(b)-sound)
	}
	l.size, l.untrimmed = int64(sound), true
	return nil
}

// trimSegment gives the segment the length of its sound part, and syncs it.
func (l *Log) trimSegment() error {
	name := segmentName(l.segment)
	f, err := l.folder.Open(name)
	if err != nil {
		return failed("open", name, err)
	}
	err = failed("truncate", name, f.Truncate(l.size))
	if err == nil {
		err = failed("sync", name, f.Sync())
	}
	if closing := f.Close(); err == nil {
		err = failed("close", name, closing)
	}
	return err
}
