package storage

import (
	"io/fs"
	"time"

	"otterchute/internal/statestore"

	"github.com/go-faster/errors"
)

// A failed write or sync may be temporary: space is freed on a full disk, a stalled disk
// continues. Until then the Listener is informed that the disk failed, and no pending
// entry is acknowledged.
//
// After a failed sync, reads do not show what is on the disk: the kernel may have dropped the pages
// and marked them clean. So the log continues after the data that earlier syncs covered: the
// segment is read again up to the end of that data, verified, truncated and synced. Then all
// pending entries, including the failed batch, are written again to the next segment. Once that is
// synced, the disk holds all that the store in memory holds. If the segment is shorter than its
// synced size or damaged, the disk lost acknowledged data and begins again as a new, empty one.

// retryUntilRecovered retries until the disk works again. It returns false if the log was
// closed before that.
func (l *Log) retryUntilRecovered(cause error) bool {
	l.listener.Failed(cause)
	lost := false
	for wait := l.firstRetryDelay; ; wait = min(2*wait, MaxRetryDelay) {
		if l.waitOrClosed(wait) {
			return false
		}
		operations, _ := l.takePending()
		l.uncommitted = append(l.uncommitted, operations...)
		if lost {
			l.uncommitted = operationsFromWipe(l.uncommitted)
		}
		wiping := len(l.uncommitted) > 0 && l.uncommitted[0].newDiskID != 0
		if lost && !wiping { // a disk that lost data needs a wipe
			continue
		}
		if !wiping { // a wipe keeps nothing of the log
			if err := l.prepareAfterFailure(); errors.Is(err, ErrDamaged) {
				lost = true
				l.listener.Lost()
				continue
			} else if err != nil {
				continue
			}
		}
		if l.commit(l.uncommitted) == nil {
			l.listener.Recovered()
			return true
		}
		lost = lost && l.uncommitted[0].newDiskID != 0
	}
}

// operationsFromWipe drops the operations before the first wipe: they extend data that is lost.
func operationsFromWipe(operations []operation) []operation {
	for i, op := range operations {
		if op.newDiskID != 0 {
			return operations[i:]
		}
	}
	return nil
}

// waitOrClosed waits and reports whether the log was closed meanwhile.
func (l *Log) waitOrClosed(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return false
		case <-l.wake:
			l.mu.Lock()
			closed := l.closed
			l.mu.Unlock()
			if closed {
				return true
			}
		}
	}
}

// prepareAfterFailure prepares the log for the next batch after a failure.
func (l *Log) prepareAfterFailure() error {
	if l.file != nil {
		_ = l.file.Close() // its synced content is read again
		l.file = nil
	}
	if err := l.removeNextSegment(); err != nil {
		return err
	}
	if l.startErr != nil {
		if err := l.beginSegment(); err != nil {
			return err
		}
		l.startErr = nil
		return nil
	}
	f, err := l.trimToSynced()
	if err != nil {
		return err
	}
	if l.file = f; l.syncedBytes == 0 {
		return nil // the segment is empty and can be used as the next one
	}
	return l.roll()
}

// removeNextSegment removes the empty segment that a failed roll may have left.
func (l *Log) removeNextSegment() error {
	name := segmentName(l.segment + 1)
	return wrapError("remove", name, l.folder.Remove(name))
}

// trimToSynced verifies the synced part of the segment, truncates the file to it, syncs
// it, and returns it.
func (l *Log) trimToSynced() (file, error) {
	name := segmentName(l.segment)
	if err := l.verifySynced(name); err != nil {
		return nil, err
	}
	f, err := l.folder.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		f, err = l.folder.Create(name)
	}
	if err != nil {
		return nil, wrapError("open", name, err)
	}
	if err = f.Truncate(l.syncedBytes); err == nil {
		err = f.Sync()
	}
	if err != nil {
		_ = f.Close() // the file failed already
		return nil, wrapError("truncate", name, err)
	}
	return f, nil
}

// verifySynced returns ErrDamaged if the synced part of the segment is missing or damaged.
func (l *Log) verifySynced(name string) error {
	if l.syncedBytes == 0 {
		return nil
	}
	b, err := l.folder.Read(name)
	if errors.Is(err, fs.ErrNotExist) || err == nil && int64(len(b)) < l.syncedBytes {
		return ErrDamaged
	}
	if err != nil {
		return wrapError("read", name, err)
	}
	validBytes, _, err := readSegment(b[:l.syncedBytes], 0, func(statestore.Entry) {})
	if err != nil || int64(validBytes) != l.syncedBytes {
		return ErrDamaged
	}
	return nil
}

// wipeDisk makes the disk an empty one with a new id. Writing the new identity ends the
// old one, whose files are removed afterwards in any order.
func (l *Log) wipeDisk(id uint64) error {
	l.snapshots.Wait()
	if err := l.removeNextSegment(); err != nil {
		return err
	}
	if err := l.writeIdentity(identity{id: id, firstSegment: l.segment + 1}); err != nil {
		return err
	}
	if err := l.roll(); err != nil {
		return err
	}
	// The batches of a new identity are numbered from 1.
	l.batch, l.startErr, l.needsTrim = 0, nil, false
	if err := l.removeBefore(l.firstSegment); err != nil {
		l.events("removal_failed", "err", err.Error()) // the next snapshot tries again
	}
	l.events("disk_wiped", "disk", id)
	return nil
}
