package storage

import (
	"os"
	"path/filepath"
	"slices"

	"otterchute/internal/statestore"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Open locks and reads the data folder at a path and returns its log and state. A folder
// without a log, or with a log that is damaged before its end, becomes an empty disk
// with the id newID.
//
// A disk that can be read but not written is opened as well, since it may be writable
// later: until then nothing is acknowledged. The error wraps ErrInUse, ErrFormat, or an
// error of the file system.
//
// Example: log, store, err := storage.Open("/data", id, events); go log.Run(listener)
func Open(path string, newID uint64, events EventLog) (*Log, *statestore.Store, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, nil, wrapError("open", lockName, err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, nil, wrapError("lock", lockName, ErrInUse)
	}
	l, store, err := openFolder(osFolder(path), newID, events)
	if err != nil {
		_ = lock.Close() // nothing was written
		return nil, nil, err
	}
	l.lock = lock
	return l, store, nil
}

// openFolder is Open for a folder that no other process uses.
func openFolder(f folder, newID uint64, events EventLog) (*Log, *statestore.Store, error) {
	l := newLog(f, events)
	store, err := l.load(newID)
	if err != nil {
		return nil, nil, err
	}
	if l.startErr = l.beginSegment(); l.startErr != nil {
		return l, store, nil
	}
	if err := l.removeBefore(l.baseSegment); err != nil { // left by earlier processes
		l.events("removal_failed", "err", err.Error()) // the next snapshot tries again
	}
	return l, store, nil
}

// beginSegment makes the loaded segments durable and begins the next one.
func (l *Log) beginSegment() error {
	if l.needsTrim {
		if err := l.trimSegment(); err != nil {
			return err
		}
		l.needsTrim = false
	}
	return l.roll()
}

// load reads the log of the disk's identity. If there is none, or the log is damaged, it
// begins a new identity.
func (l *Log) load(newID uint64) (*statestore.Store, error) {
	highest, err := l.highestNumber()
	if err != nil {
		return nil, err
	}
	if found, known := readIdentity(l.folder); known {
		l.identity = found
		store, err := l.readState()
		if err == nil && found.firstSegment == 0 { // written by an earlier release
			err = l.writeIdentity(identity{id: found.id, firstSegment: l.baseSegment})
		}
		if !errors.Is(err, ErrDamaged) {
			return store, err
		}
	}
	if err := l.writeIdentity(identity{id: newID, firstSegment: highest + 1}); err != nil {
		return nil, err
	}
	l.segment, l.batch, l.baseSegment = highest, 0, highest+1
	if highest == 0 {
		return statestore.New(), nil
	}
	if err := l.removeQuarantined(); err != nil { // only the newest quarantine is kept
		return nil, err
	}
	return statestore.New(), l.quarantine()
}

// highestNumber returns the highest file number over all identities.
func (l *Log) highestNumber() (highest uint64, err error) {
	names, err := l.folder.List()
	if err != nil {
		return 0, wrapError("list", "", err)
	}
	for _, name := range names {
		if number, ok := fileNumber(name); ok {
			highest = max(highest, number)
		}
	}
	return highest, nil
}

// readState builds the store from the newest complete snapshot and the segments from its
// number on. Older snapshots and segments are kept until a newer snapshot is durable, so
// that the store can always be built.
func (l *Log) readState() (*statestore.Store, error) {
	names, err := l.folder.List()
	if err != nil {
		return nil, wrapError("list", "", err)
	}
	snapshots := fileNumbers(names, snapshotPrefix, l.firstSegment)
	segments := fileNumbers(names, segmentPrefix, l.firstSegment)
	if len(snapshots) == 0 && len(segments) == 0 {
		l.baseSegment = max(l.firstSegment, 1)
		l.segment = l.baseSegment - 1
		return statestore.New(), nil
	}
	l.segment = 0
	if len(segments) > 0 {
		l.segment = segments[len(segments)-1]
	}
	if len(snapshots) > 0 && snapshots[len(snapshots)-1] > l.segment {
		return nil, ErrDamaged // a snapshot's segment is created before the snapshot
	}
	for _, number := range slices.Backward(snapshots) {
		store, err := l.readFrom(number, true)
		if !errors.Is(err, ErrDamaged) {
			return store, err
		}
		l.events("snapshot_unusable", "snapshot", number)
	}
	firstSegment := l.firstSegment
	if firstSegment == 0 { // an earlier release did not store the first number
		if len(snapshots) > 0 {
			return nil, ErrDamaged
		}
		firstSegment = segments[0]
	}
	return l.readFrom(firstSegment, false)
}

// readFrom builds the store from the snapshot with this number, if hasSnapshot, and the
// segments with this number and above.
func (l *Log) readFrom(from uint64, hasSnapshot bool) (*statestore.Store, error) {
	store := statestore.New()
	l.batch, l.baseSegment = 0, from
	if hasSnapshot {
		if err := l.applySnapshot(from, store); err != nil {
			return nil, err
		}
	}
	names, err := l.folder.List()
	if err != nil {
		return nil, wrapError("list", "", err)
	}
	segments := fileNumbers(names, segmentPrefix, from)
	for i, number := range segments {
		if number != from+uint64(i) {
			return nil, ErrDamaged
		}
		if err := l.applySegment(number, store); err != nil {
			return nil, err
		}
	}
	if len(segments) == 0 {
		return nil, ErrDamaged
	}
	return store, nil
}

// readFile reads a segment or snapshot. It returns ErrFormat for another format.
func (l *Log) readFile(name string) ([]byte, error) {
	b, err := l.folder.Read(name)
	if err != nil {
		return nil, wrapError("read", name, err)
	}
	if hasOtherFormat(b) {
		return nil, wrapError("read", name, ErrFormat)
	}
	return b, nil
}

func (l *Log) applySnapshot(number uint64, store *statestore.Store) error {
	b, err := l.readFile(snapshotName(number))
	if err != nil {
		return err
	}
	batch, complete := readSnapshot(b, store.Apply)
	if !complete {
		return ErrDamaged
	}
	l.batch = batch
	store.SnapshotTaken()
	return nil
}

// applySegment applies a segment's entries. Only the last segment may have a torn end. It
// has to be truncated, and the rest synced, before any entry is acknowledged: a killed
// process may have left unsynced data, which a power loss could still destroy.
func (l *Log) applySegment(number uint64, store *statestore.Store) error {
	b, err := l.readFile(segmentName(number))
	if err != nil {
		return err
	}
	validBytes, batch, err := readSegment(b, l.batch, store.Apply)
	if err != nil {
		return err
	}
	l.batch = batch
	if number < l.segment {
		if validBytes < len(b) {
			return ErrDamaged
		}
		return nil
	}
	if validBytes < len(b) {
		l.events("disk_tail_cut", "segment", number, "bytes", len(b)-validBytes)
	}
	l.syncedBytes, l.needsTrim = int64(validBytes), true
	return nil
}

// trimSegment truncates the segment to its valid part and syncs it.
func (l *Log) trimSegment() error {
	name := segmentName(l.segment)
	f, err := l.folder.Open(name)
	if err != nil {
		return wrapError("open", name, err)
	}
	err = wrapError("truncate", name, f.Truncate(l.syncedBytes))
	if err == nil {
		err = wrapError("sync", name, f.Sync())
	}
	if closeErr := f.Close(); err == nil {
		err = wrapError("close", name, closeErr)
	}
	return err
}
