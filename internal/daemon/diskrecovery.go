package daemon

import (
	"os"
	"otterchute/internal/statestore"
	"time"

	"github.com/go-faster/errors"
)

// A write or a sync that fails is a state that can end: a full disk gets room,
// a stalled one goes on. Until then the daemon is told that its disk failed, and
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

// recover tries to bring the disk back until it works; false if it was
// stopped before.
func (d *segmentLog) recover(cause error) bool {
	d.post(func(s *executor) { s.event(evDisk{Failed: cause.Error()}) })
	lost := false
	for wait := d.retry; ; wait = min(2*wait, diskRetryMost*time.Millisecond) {
		if d.sleep(wait) {
			return false
		}
		jobs, _ := d.takePending()
		if d.unfinished = append(d.unfinished, jobs...); lost {
			d.unfinished = jobsFromWipe(d.unfinished)
		}
		wiping := len(d.unfinished) > 0 && d.unfinished[0].wipe != 0
		if lost && !wiping { // only the daemon's order to wipe it makes it a disk again
			continue
		}
		if !wiping { // else nothing of the log is kept
			if err := d.resume(); errors.Is(err, errDamaged) {
				lost = true
				d.post(func(s *executor) { s.event(evDisk{Lost: true}) })
				continue
			} else if err != nil {
				continue
			}
		}
		if d.commit(d.unfinished) == nil {
			d.post(func(s *executor) { s.event(evDisk{Recovered: true}) })
			return true
		}
		lost = lost && d.unfinished[0].wipe != 0
	}
}

// jobsFromWipe drops the jobs before a wipe: what they were to add to is gone.
func jobsFromWipe(jobs []logJob) []logJob {
	for i, j := range jobs {
		if j.wipe != 0 {
			return jobs[i:]
		}
	}
	return nil
}

// sleep waits, and tells whether the disk was stopped meanwhile.
func (d *segmentLog) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return false
		case <-d.wake:
			d.mu.Lock()
			stopped := d.stopped
			d.mu.Unlock()
			if stopped {
				return true
			}
		}
	}
}

// resume makes the log ready for the next batch after a failure.
func (d *segmentLog) resume() error {
	if d.file != nil {
		_ = d.file.Close()
		d.file = nil
	}
	if err := d.removeUnused(); err != nil {
		return err
	}
	if d.startErr != nil {
		if err := d.start(); err != nil {
			return err
		}
		d.startErr = nil
		return nil
	}
	f, err := d.trimToSynced()
	if err != nil {
		return err
	}
	if d.file = f; d.size == 0 {
		return nil // nothing was synced here: the segment is as good as the next one
	}
	return d.roll()
}

// removeUnused removes the segment that a failed roll may have left: nothing
// was ever written there.
func (d *segmentLog) removeUnused() error {
	if err := d.folder.Remove(segmentName(d.segment + 1)); err != nil {
		return errors.Wrap(errDisk, err.Error())
	}
	return nil
}

// trimToSynced checks what was synced of the segment, cuts off and syncs the rest,
// and gives the file.
func (d *segmentLog) trimToSynced() (file, error) {
	name := segmentName(d.segment)
	if d.size > 0 {
		b, err := d.folder.Read(name)
		if os.IsNotExist(err) || err == nil && int64(len(b)) < d.size {
			return nil, errDamaged
		}
		if err != nil {
			return nil, errors.Wrap(errDisk, err.Error())
		}
		if sound, _, err := readRecords(b[:d.size], 0, func(statestore.Entry) {}); err != nil || int64(sound) != d.size {
			return nil, errDamaged
		}
	}
	f, err := d.folder.Open(name)
	if os.IsNotExist(err) {
		f, err = d.folder.Create(name)
	}
	if err != nil {
		return nil, errors.Wrap(errDisk, err.Error())
	}
	if err = f.Truncate(d.size); err == nil {
		err = f.Sync()
	}
	if err != nil {
		_ = f.Close()
		return nil, errors.Wrap(errDisk, err.Error())
	}
	return f, nil
}

// wipe makes the disk an empty one under a new id. The new identity is what ends
// the old one: its files go after that, in any order.
func (d *segmentLog) wipe(id uint64) error {
	d.snapshots.Wait()
	if err := d.removeUnused(); err != nil {
		return err
	}
	if err := d.writeIdentity(diskIdentity{id: id, first: d.segment + 1}); err != nil {
		return err
	}
	if err := d.roll(); err != nil {
		return err
	}
	// A reader of the new identity counts batches from 0.
	d.batch, d.startErr, d.untrimmed = 0, nil, false
	if err := d.removeBefore(d.first); err != nil {
		d.log("removal_failed", "err", err.Error()) // the next snapshot tries again
	}
	d.log("disk_wiped", "disk", id)
	return nil
}
