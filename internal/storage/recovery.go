package storage

import (
	"io/fs"
	"time"

	"otterchute/internal/statestore"

	"github.com/go-faster/errors"
)

// A write or a sync that fails is a state that can end: a full disk gets room,
// a stalled one goes on. Until then the Listener knows that the disk failed, and
// no entry that was held up is acknowledged.
//
// What the page cache shows after a failed sync says nothing of the disk: the
// kernel may have dropped the pages and calls them clean. So the log goes on
// behind what earlier syncs covered: the segment is read again up to there and
// checked, cut off, and synced; then all entries that were held up, the failed
// batch among them, are written anew into the next segment. Once that is
// synced the disk holds all that the store in memory holds, and the member is
// what it was. If the segment is shorter than what was synced, or unsound, the
// disk lost something it had acknowledged: it begins again as a new, empty one.

// recover tries to bring the disk back until it works; false if it was closed
// before.
func (l *Log) recover(cause error) bool {
	l.listener.Failed(cause)
	lost := false
	for wait := l.retry; ; wait = min(2*wait, MaxRetryDelay) {
		if l.closedWithin(wait) {
			return false
		}
		jobs, _ := l.takePending()
		l.unfinished = append(l.unfinished, jobs...)
		if lost {
			l.unfinished = jobsFromWipe(l.unfinished)
		}
		wiping := len(l.unfinished) > 0 && l.unfinished[0].wipe != 0
		if lost && !wiping { // only the order to wipe it makes it a disk again
			continue
		}
		if !wiping { // else nothing of the log is kept
			if err := l.resume(); errors.Is(err, ErrDamaged) {
				lost = true
				l.listener.Lost()
				continue
			} else if err != nil {
				continue
			}
		}
		if l.commit(l.unfinished) == nil {
			l.listener.Recovered()
			return true
		}
		lost = lost && l.unfinished[0].wipe != 0
	}
}

// jobsFromWipe drops the jobs before a wipe: what they were to add to is gone.
func jobsFromWipe(jobs []job) []job {
	for i, j := range jobs {
		if j.wipe != 0 {
			return jobs[i:]
		}
	}
	return nil
}

// closedWithin waits, and tells whether the log was closed meanwhile.
func (l *Log) closedWithin(wait time.Duration) bool {
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

// resume makes the log ready for the next batch after a failure.
func (l *Log) resume() error {
	if l.file != nil {
		_ = l.file.Close() // its content is read again from the disk
		l.file = nil
	}
	if err := l.removeUnused(); err != nil {
		return err
	}
	if l.startErr != nil {
		if err := l.start(); err != nil {
			return err
		}
		l.startErr = nil
		return nil
	}
	f, err := l.trimToSynced()
	if err != nil {
		return err
	}
	if l.file = f; l.size == 0 {
		return nil // nothing was synced here: the segment is as good as the next one
	}
	return l.roll()
}

// removeUnused removes the segment that a failed roll may have left: nothing was
// ever written there.
func (l *Log) removeUnused() error {
	name := segmentName(l.segment + 1)
	return failed("remove", name, l.folder.Remove(name))
}

// trimToSynced checks what was synced of the segment, cuts off and syncs the rest,
// and returns the file.
func (l *Log) trimToSynced() (file, error) {
	name := segmentName(l.segment)
	if err := l.checkSynced(name); err != nil {
		return nil, err
	}
	f, err := l.folder.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		f, err = l.folder.Create(name)
	}
	if err != nil {
		return nil, failed("open", name, err)
	}
	if err = f.Truncate(l.size); err == nil {
		err = f.Sync()
	}
	if err != nil {
		_ = f.Close() // it failed already
		return nil, failed("truncate", name, err)
	}
	return f, nil
}

// checkSynced tells, as ErrDamaged, that the segment lacks what was synced of it.
func (l *Log) checkSynced(name string) error {
	if l.size == 0 {
		return nil
	}
	b, err := l.folder.Read(name)
	if errors.Is(err, fs.ErrNotExist) || err == nil && int64(len(b)) < l.size {
		return ErrDamaged
	}
	if err != nil {
		return failed("read", name, err)
	}
	sound, _, err := readSegment(b[:l.size], 0, func(statestore.Entry) {})
	if err != nil || int64(sound) != l.size {
		return ErrDamaged
	}
	return nil
}

// wipeDisk makes the disk an empty one under a new id. The new identity is what
// ends the old one: its files go after that, in any order.
func (l *Log) wipeDisk(id uint64) error {
	l.snapshots.Wait()
	if err := l.removeUnused(); err != nil {
		return err
	}
	if err := l.begin(identity{id: id, first: l.segment + 1}); err != nil {
		return err
	}
	if err := l.roll(); err != nil {
		return err
	}
	// A reader of the new identity counts batches from 0.
	l.batch, l.startErr, l.untrimmed = 0, nil, false
	if err := l.removeBefore(l.first); err != nil {
		l.events("removal_failed", "err", err.Error()) // the next snapshot tries again
	}
	l.events("disk_wiped", "disk", id)
	return nil
}
