package daemon

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"otterchute/internal/codec"
	"otterchute/internal/statestore"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// segmentLog is a log in checksummed segments with snapshots beside it. A record is
//
//	length u32 | checksum u32 | batch u64 | last-of-batch u8 | entry
//
// The byte that marks the last of a batch holds the format of the entries too.
// A batch is written and synced before the next one begins; so a bad record
// that a later batch stands behind was damaged after it had been synced, and
// one that nothing of a later batch follows is the torn end of the last write.
type segmentLog struct {
	diskIdentity
	folder folder
	lock   *os.File
	post   func(func(*executor)) // runs something on the control thread
	log    func(event string, pairs ...any)

	snapshots sync.WaitGroup // snapshots being written
	mu        sync.Mutex
	wake      chan struct{}
	pending   []logJob
	stopped   bool
	ended     chan struct{}

	file       file
	base       uint64 // what was read began at this number
	segment    uint64
	size       int64 // bytes of the segment that are synced
	batch      uint64
	unfinished []logJob      // not done since the disk failed
	startErr   error         // why the first segment could not be begun
	untrimmed  bool          // the segment still has a tail to be cut, or to be synced
	retry      time.Duration // the first wait after a failure
}

type logJob struct {
	entries  []statestore.Entry
	done     func()
	snapshot bool
	wipe     uint64
}

const (
	recordHead = 4 + 4 + 8 + 1

	// diskFormat rises with each change of how entries and the values in them
	// are packed: 1 since ballots hold the proposer's life, 2 since a setup
	// holds the history of its orders.
	diskFormat   byte = 2
	lastOfBatch  byte = 1
	formatShift       = 1
	recordMarkAt      = recordHead - 1
)

func appendRecord(dst []byte, e statestore.Entry, batch uint64, last bool) []byte {
	at := len(dst)
	dst = append(dst, make([]byte, recordHead)...)
	dst = codec.Append(dst, e)
	binary.BigEndian.PutUint32(dst[at:], uint32(len(dst)-at-recordHead))
	binary.BigEndian.PutUint64(dst[at+8:], batch)
	dst[at+recordMarkAt] = diskFormat << formatShift
	if last {
		dst[at+recordMarkAt] |= lastOfBatch
	}
	binary.BigEndian.PutUint32(dst[at+4:], crc32.ChecksumIEEE(dst[at+8:]))
	return dst
}

// recordSize gives the size of the record that stands here undamaged, in
// whatever format; 0 if there is none.
func recordSize(b []byte) int {
	if len(b) < recordHead {
		return 0
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > frameMax || len(b)-recordHead < n || crc32.ChecksumIEEE(b[8:recordHead+n]) != binary.BigEndian.Uint32(b[4:]) {
		return 0
	}
	return recordHead + n
}

// otherFormat tells whether a file begins with a record of another format. To
// take it for a torn one would cut it off.
func otherFormat(b []byte) bool {
	return recordSize(b) > 0 && b[recordMarkAt]>>formatShift != diskFormat
}

// readRecord reads one record; size 0 means there is no whole one here.
func readRecord(b []byte) (e statestore.Entry, batch uint64, last bool, size int) {
	size = recordSize(b)
	if size == 0 || otherFormat(b) || codec.Unmarshal(b[recordHead:size], &e) != nil {
		return statestore.Entry{}, 0, false, 0
	}
	return e, binary.BigEndian.Uint64(b[8:]), b[recordMarkAt]&lastOfBatch != 0, size
}

const (
	segmentPrefix  = "log-"
	snapshotPrefix = "snap-"
	unnamedSuffix  = ".new" // of a file that is not whole yet
)

func segmentName(n uint64) string  { return fmt.Sprintf("%s%016d", segmentPrefix, n) }
func snapshotName(n uint64) string { return fmt.Sprintf("%s%016d", snapshotPrefix, n) }

// openLog reads the data folder. A log damaged before its end is put aside
// and the disk begins again as a new, empty one: never as a shorter history.
func openLog(path string, newID uint64, log func(string, ...any)) (*segmentLog, *statestore.Store, error) {
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, nil, errors.Wrap(errDisk, err.Error())
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, nil, errors.Wrap(errDisk, "the data folder is in use by another process")
	}
	d, st, err := openFolder(osFolder(path), newID, log)
	if err != nil {
		_ = lock.Close()
		return nil, nil, err
	}
	d.lock = lock
	return d, st, nil
}

// openFolder is openLog for a folder that no other process uses. A disk that
// takes no writes now may take them later: until then it tells nobody anything.
func openFolder(folder folder, newID uint64, log func(string, ...any)) (*segmentLog, *statestore.Store, error) {
	d := &segmentLog{folder: folder, log: log, wake: make(chan struct{}, 1), ended: make(chan struct{}), retry: diskRetryMs * time.Millisecond}
	st, err := d.load(newID)
	if errors.Is(err, errDiskFormat) {
		return nil, nil, err
	}
	if err != nil {
		return nil, nil, errors.Wrap(errDisk, err.Error())
	}
	if d.startErr = d.start(); d.startErr != nil {
		return d, st, nil
	}
	if err := d.removeBefore(d.base); err != nil { // what earlier lives left
		d.log("removal_failed", "err", err.Error()) // the next snapshot tries again
	}
	return d, st, nil
}

// start makes what was read last, and begins the next segment.
func (d *segmentLog) start() error {
	if d.untrimmed {
		if err := d.trimSegment(); err != nil {
			return errors.Wrap(errDisk, err.Error())
		}
		d.untrimmed = false
	}
	return d.roll()
}

// load reads the disk under its identity, or begins a new one where it has none
// or where the store under it isn't whole.
func (d *segmentLog) load(newID uint64) (*statestore.Store, error) {
	names, err := d.folder.List()
	if err != nil {
		return nil, err
	}
	top := uint64(0) // of all files of all identities
	for _, name := range names {
		if number, ok := fileNumber(name); ok {
			top = max(top, number)
		}
	}
	found, known := d.readIdentity()
	if known {
		d.diskIdentity = found
		st, err := d.read()
		if err == nil && found.first == 0 { // written by an earlier release
			err = d.writeIdentity(diskIdentity{id: found.id, first: d.base})
		}
		if !errors.Is(err, errDamaged) {
			return st, err
		}
	}
	if err := d.writeIdentity(diskIdentity{id: newID, first: top + 1}); err != nil {
		return nil, err
	}
	d.segment, d.batch, d.base = top, 0, top+1
	if top == 0 {
		return statestore.New(), nil
	}
	if err := d.removeQuarantined(); err != nil { // of an earlier time: only the newest is kept
		return nil, err
	}
	return statestore.New(), d.quarantine()
}

// writeSynced writes a file that gets its name only once it is whole and synced.
func (d *segmentLog) writeSynced(name string, parts func(w *bufio.Writer)) error {
	unnamed := name + unnamedSuffix
	err := d.writeUnnamed(unnamed, parts)
	if err == nil {
		err = d.folder.Rename(unnamed, name)
	} else {
		_ = d.folder.Remove(unnamed) // it would take room that others need
	}
	if err == nil {
		err = d.folder.Sync()
	}
	if err != nil {
		return errors.Wrap(errDisk, err.Error())
	}
	return nil
}

func (d *segmentLog) writeUnnamed(name string, parts func(w *bufio.Writer)) error {
	if err := d.folder.Remove(name); err != nil { // of an earlier try
		return err
	}
	f, err := d.folder.Create(name)
	if err != nil {
		return err
	}
	w := bufio.NewWriterSize(f, statestore.ChunkBytes)
	parts(w)
	err = w.Flush() // and with it the first error of any write
	if err == nil {
		err = f.Sync()
	}
	if closing := f.Close(); err == nil {
		err = closing
	}
	return err
}

// roll begins the next segment.
func (d *segmentLog) roll() error {
	if d.file != nil {
		if err := d.file.Close(); err != nil {
			return errors.Wrap(errDisk, err.Error())
		}
	}
	d.file = nil
	f, err := d.folder.Create(segmentName(d.segment + 1))
	if err != nil {
		return errors.Wrap(errDisk, err.Error())
	}
	if err := d.folder.Sync(); err != nil {
		_ = f.Close()
		return errors.Wrap(errDisk, err.Error())
	}
	d.file, d.size = f, 0
	d.segment++
	return nil
}

func (d *segmentLog) enqueue(j logJob) {
	d.mu.Lock()
	d.pending = append(d.pending, j)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *segmentLog) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
	<-d.ended
	d.snapshots.Wait()
	if d.file != nil {
		_ = d.file.Close()
	}
	_ = d.lock.Close()
}

// run commits what has gathered since the last sync as one batch, again and
// again. After a failure nothing is acknowledged until recover has written all
// that was held up.
func (d *segmentLog) run() {
	defer close(d.ended)
	if d.startErr != nil && !d.recover(d.startErr) {
		return
	}
	for range d.wake {
		jobs, stopped := d.takePending()
		if err := d.commit(jobs); err != nil && !d.recover(err) {
			return
		}
		if stopped {
			return
		}
	}
}

// takePending takes the jobs that wait.
func (d *segmentLog) takePending() (jobs []logJob, stopped bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	jobs, stopped = d.pending, d.stopped
	d.pending = nil
	return jobs, stopped
}

// commit does jobs in their order. Those that are not done when it fails are held.
func (d *segmentLog) commit(jobs []logJob) (err error) {
	for len(jobs) > 0 {
		run := slices.IndexFunc(jobs, func(j logJob) bool { return j.snapshot || j.wipe != 0 })
		if run < 0 {
			run = len(jobs)
		}
		switch {
		case run > 0:
			err = d.writeBatch(jobs[:run])
		case jobs[0].wipe != 0:
			run, err = 1, d.wipe(jobs[0].wipe)
		default:
			run, err = 1, d.snapshot(jobs[0].entries)
		}
		if err != nil {
			d.unfinished = jobs
			return err
		}
		jobs = jobs[run:]
	}
	d.unfinished = nil
	return nil
}

func (d *segmentLog) writeBatch(jobs []logJob) error {
	var flat []statestore.Entry
	for _, j := range jobs {
		flat = append(flat, j.entries...)
	}
	tookMs := int64(0)
	if len(flat) > 0 {
		if d.size > segmentBytes {
			if err := d.roll(); err != nil {
				return err
			}
		}
		d.batch++
		var b []byte
		for i, e := range flat {
			b = appendRecord(b, e, d.batch, i == len(flat)-1)
		}
		began := time.Now()
		if _, err := d.file.Write(b); err != nil {
			return errors.Wrap(errDisk, err.Error())
		}
		if err := d.file.Sync(); err != nil {
			return errors.Wrap(errDisk, err.Error())
		}
		tookMs = time.Since(began).Milliseconds()
		d.size += int64(len(b))
	}
	d.post(func(s *executor) {
		if len(flat) > 0 {
			s.node.syncMs = tookMs
			s.node.count("syncs")
		}
		for _, j := range jobs {
			j.done()
		}
	})
	return nil
}

// snapshot begins a new segment and writes the store's dump beside it, while
// appends go on; older segments go once it is synced under its name.
func (d *segmentLog) snapshot(entries []statestore.Entry) error {
	d.snapshots.Wait() // one at a time
	if err := d.roll(); err != nil {
		return err
	}
	at, batch := d.segment, max(d.batch, 1)
	d.snapshots.Add(1)
	go func() {
		defer d.snapshots.Done()
		if err := d.writeSnapshot(at, batch, entries); err != nil { // the segments still hold all
			d.log("snapshot_failed", "err", err.Error())
		}
	}()
	return nil
}

// writeSnapshot writes a dump that takes the place of all segments before a
// number. Its records carry the last batch of those.
func (d *segmentLog) writeSnapshot(at, batch uint64, entries []statestore.Entry) error {
	err := d.writeSynced(snapshotName(at), func(w *bufio.Writer) {
		var b []byte
		for i, e := range entries {
			b = appendRecord(b[:0], e, batch, i == len(entries)-1)
			_, _ = w.Write(b)
		}
	})
	if err == nil {
		err = d.removeBefore(at)
	}
	if err == nil {
		err = d.removeQuarantined()
	}
	return err
}

// removeBefore removes the segments and snapshots before a number, and what was
// begun and never got its name. Nothing needs it to last.
func (d *segmentLog) removeBefore(n uint64) error {
	return d.removeFiles(func(name string) bool {
		number, ok := fileNumber(name)
		return ok && number < n || strings.HasSuffix(name, unnamedSuffix)
	})
}
