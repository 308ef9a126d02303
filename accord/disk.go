package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// disk is a log in checksummed segments with snapshots beside it. A record is
//
//	length u32 | checksum u32 | batch u64 | last-of-batch u8 | entry
//
// The byte that marks the last of a batch holds the format of the entries too.
// A batch is written and synced before the next one begins; so a bad record
// that a later batch stands behind was damaged after it had been synced, and
// one that nothing of a later batch follows is the torn end of the last write.
type disk struct {
	folder string
	id     uint64
	lock   *os.File
	post   func(func(*shell)) // runs something on the control thread
	log    func(event string, pairs ...any)

	shots   sync.WaitGroup // snapshots being written
	mu      sync.Mutex
	wake    chan struct{}
	pending []diskJob
	stopped bool
	ended   chan struct{}

	file    segmentFile
	open    func(path string, flags int) (segmentFile, error) // openSegment, but for tests
	segment uint64
	size    int64 // bytes of the segment that are synced
	batch   uint64
	held    []diskJob     // not done since the disk failed
	broken  error         // why the first segment could not be begun
	retry   time.Duration // the first wait after a failure
}

// segmentFile is what a segment is written through.
type segmentFile interface {
	io.ReadWriteCloser
	Sync() error
	Truncate(size int64) error
}

// dataSynced is a file whose Sync leaves out what a reader doesn't need.
type dataSynced struct{ *os.File }

func (f dataSynced) Sync() error { return unix.Fdatasync(int(f.Fd())) }

func openSegment(path string, flags int) (segmentFile, error) {
	f, err := os.OpenFile(path, flags, 0o600)
	return dataSynced{f}, err
}

type diskJob struct {
	entries  []logEntry
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

const diskIDName = "disk-id"

func appendRecord(dst []byte, e logEntry, batch uint64, last bool) []byte {
	at := len(dst)
	dst = append(dst, make([]byte, recordHead)...)
	dst = pack(dst, e)
	binary.BigEndian.PutUint32(dst[at:], uint32(len(dst)-at-recordHead))
	binary.BigEndian.PutUint64(dst[at+8:], batch)
	dst[at+recordMarkAt] = diskFormat << formatShift
	if last {
		dst[at+recordMarkAt] |= lastOfBatch
	}
	binary.BigEndian.PutUint32(dst[at+4:], crc32.ChecksumIEEE(dst[at+8:]))
	return dst
}

// wholeRecord gives the size of the record that stands here undamaged, in
// whatever format; 0 if there is none.
func wholeRecord(b []byte) int {
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
	return wholeRecord(b) > 0 && b[recordMarkAt]>>formatShift != diskFormat
}

// readRecord reads one record; size 0 means there is no whole one here.
func readRecord(b []byte) (e logEntry, batch uint64, last bool, size int) {
	size = wholeRecord(b)
	if size == 0 || otherFormat(b) || unpack(b[recordHead:size], &e) != nil {
		return logEntry{}, 0, false, 0
	}
	return e, binary.BigEndian.Uint64(b[8:]), b[recordMarkAt]&lastOfBatch != 0, size
}

// readRecords gives a file's entries and where its sound part ends. Damage
// with a later batch behind it gives errDamaged; an end that is merely torn
// does not.
func readRecords(b []byte, batch uint64, into func(logEntry)) (sound int, lastBatch uint64, err error) {
	closed := true
	for sound < len(b) {
		e, at, last, size := readRecord(b[sound:])
		if size == 0 {
			torn := batch
			if closed {
				torn++
			}
			for o := sound + 1; o < len(b); o++ {
				if _, later, _, n := readRecord(b[o:]); n > 0 && later > torn {
					return sound, batch, errDamaged
				}
			}
			return sound, batch, nil
		}
		into(e)
		batch, closed, sound = at, last, sound+size
	}
	return sound, batch, nil
}

func (d *disk) segmentPath(n uint64) string { return filepath.Join(d.folder, segmentName(n)) }

func segmentName(n uint64) string  { return fmt.Sprintf("log-%016d", n) }
func snapshotName(n uint64) string { return fmt.Sprintf("snap-%016d", n) }

// openDisk reads the data folder. A log damaged before its end is put aside
// and the disk begins again as a new, empty one: never as a shorter history.
func openDisk(folder string, newID uint64, log func(string, ...any)) (*disk, *store, error) {
	d := &disk{folder: folder, log: log, wake: make(chan struct{}, 1), ended: make(chan struct{}), open: openSegment, retry: diskRetryMs * time.Millisecond}
	lock, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, nil, errors.Wrap(errDisk, err.Error())
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, nil, errors.Wrap(errDisk, "the data folder is in use by another process")
	}
	d.lock = lock
	if err := d.dropOrphans(); err != nil {
		return nil, nil, err
	}
	st, err := d.read()
	if errors.Is(err, errDamaged) {
		aside := filepath.Join(folder, "damaged-"+strconv.FormatInt(time.Now().UnixNano(), 10))
		log("disk_damaged", "kept_at", aside)
		if err := d.putAside(aside); err != nil {
			return nil, nil, errors.Wrap(errDisk, err.Error())
		}
		st, err = d.read()
	}
	if err != nil {
		return nil, nil, err
	}
	if err := d.identify(newID); err != nil {
		return nil, nil, err
	}
	d.broken = d.roll() // a disk that takes no writes now may take them later
	return d, st, nil
}

func (d *disk) files(prefix string) ([]uint64, error) {
	list, err := os.ReadDir(d.folder)
	if err != nil {
		return nil, errors.Wrap(errDisk, err.Error())
	}
	var out []uint64
	for _, f := range list {
		if rest, ok := strings.CutPrefix(f.Name(), prefix); ok {
			if n, err := strconv.ParseUint(rest, 10, 64); err == nil {
				out = append(out, n)
			}
		}
	}
	slices.Sort(out)
	return out, nil
}

func (d *disk) read() (*store, error) {
	st := newStore()
	snaps, err := d.files("snap-")
	if err != nil {
		return nil, err
	}
	logs, err := d.files("log-")
	if err != nil {
		return nil, err
	}
	from := uint64(0)
	if len(snaps) > 0 {
		from = snaps[len(snaps)-1]
		b, err := os.ReadFile(filepath.Join(d.folder, snapshotName(from)))
		if err != nil {
			return nil, errors.Wrap(errDisk, err.Error())
		}
		if otherFormat(b) {
			return nil, errDiskFormat
		}
		// A snapshot got its name only after it was synced: it must be whole.
		if sound, _, err := readRecords(b, 0, st.apply); err != nil || sound != len(b) {
			return nil, errDamaged
		}
		st.logged = 0
	}
	logs = slices.DeleteFunc(logs, func(n uint64) bool { return n < from })
	for i, n := range logs {
		if i > 0 && n != logs[i-1]+1 || i == 0 && from > 0 && n != from {
			return nil, errDamaged // a segment is missing
		}
		b, err := os.ReadFile(filepath.Join(d.folder, segmentName(n)))
		if err != nil {
			return nil, errors.Wrap(errDisk, err.Error())
		}
		if otherFormat(b) {
			return nil, errDiskFormat
		}
		sound, batch, err := readRecords(b, d.batch, st.apply)
		if err != nil {
			return nil, err
		}
		d.batch = batch
		if sound < len(b) {
			if i < len(logs)-1 {
				return nil, errDamaged // only the last segment may end torn
			}
			d.log("disk_tail_cut", "segment", n, "bytes", len(b)-sound)
			if err := os.Truncate(filepath.Join(d.folder, segmentName(n)), int64(sound)); err != nil {
				return nil, errors.Wrap(errDisk, err.Error())
			}
		}
		d.segment = n
	}
	if len(logs) == 0 {
		d.segment = from
	}
	return st, nil
}

func (d *disk) putAside(aside string) error {
	if err := os.Mkdir(aside, 0o755); err != nil {
		return err
	}
	list, err := os.ReadDir(d.folder)
	if err != nil {
		return err
	}
	for _, f := range list {
		if strings.HasPrefix(f.Name(), "log-") || strings.HasPrefix(f.Name(), "snap-") || f.Name() == diskIDName {
			if err := os.Rename(filepath.Join(d.folder, f.Name()), filepath.Join(aside, f.Name())); err != nil {
				return err
			}
		}
	}
	d.segment, d.batch = 0, 0
	return syncFolder(d.folder)
}

// identify reads the disk's id or gives it a new one.
func (d *disk) identify(newID uint64) error {
	path := filepath.Join(d.folder, diskIDName)
	if b, err := os.ReadFile(path); err == nil {
		if id, err := strconv.ParseUint(strings.TrimSpace(string(b)), 16, 64); err == nil {
			d.id = id
			return nil
		}
	}
	d.id = newID
	return writeSynced(path, func(w *bufio.Writer) { fmt.Fprintf(w, "%x\n", newID) })
}

// writeSynced writes a file that gets its name only once it is whole and synced.
func writeSynced(path string, parts func(w *bufio.Writer)) error {
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(errDisk, err.Error())
	}
	w := bufio.NewWriterSize(f, chunkBytes)
	parts(w)
	err = w.Flush() // and with it the first error of any write
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err == nil {
		err = syncFolder(filepath.Dir(path))
	}
	if err != nil {
		return errors.Wrap(errDisk, err.Error())
	}
	return nil
}

func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// roll begins the next segment.
func (d *disk) roll() error {
	if d.file != nil {
		if err := d.file.Close(); err != nil {
			return errors.Wrap(errDisk, err.Error())
		}
	}
	d.file = nil
	f, err := d.open(d.segmentPath(d.segment+1), os.O_CREATE|os.O_EXCL|os.O_WRONLY)
	if err != nil {
		return errors.Wrap(errDisk, err.Error())
	}
	if err := syncFolder(d.folder); err != nil {
		_ = f.Close()
		return errors.Wrap(errDisk, err.Error())
	}
	d.file, d.size = f, 0
	d.segment++
	return nil
}

func (d *disk) add(j diskJob) {
	d.mu.Lock()
	d.pending = append(d.pending, j)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *disk) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
	<-d.ended
	d.shots.Wait()
	if d.file != nil {
		_ = d.file.Close()
	}
	_ = d.lock.Close()
}

// work commits what has gathered since the last sync as one batch, again and
// again. After a failure nothing is acknowledged until recover has written all
// that was held up.
func (d *disk) work() {
	defer close(d.ended)
	if d.broken != nil && !d.recover(d.broken) {
		return
	}
	for range d.wake {
		jobs, stopped := d.gathered()
		if err := d.commit(jobs); err != nil && !d.recover(err) {
			return
		}
		if stopped {
			return
		}
	}
}

// gathered takes the jobs that wait.
func (d *disk) gathered() (jobs []diskJob, stopped bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	jobs, stopped = d.pending, d.stopped
	d.pending = nil
	return jobs, stopped
}

// commit does jobs in their order. Those that are not done when it fails are held.
func (d *disk) commit(jobs []diskJob) (err error) {
	for len(jobs) > 0 {
		run := slices.IndexFunc(jobs, func(j diskJob) bool { return j.snapshot || j.wipe != 0 })
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
			d.held = jobs
			return err
		}
		jobs = jobs[run:]
	}
	d.held = nil
	return nil
}

func (d *disk) writeBatch(jobs []diskJob) error {
	var flat []logEntry
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
	d.post(func(s *shell) {
		if len(flat) > 0 {
			s.n.syncMs = tookMs
			s.n.count("syncs")
		}
		for _, j := range jobs {
			j.done()
		}
	})
	return nil
}

// snapshot begins a new segment and writes the store's dump beside it, while
// appends go on; older segments go once it is synced.
func (d *disk) snapshot(entries []logEntry) error {
	d.shots.Wait() // one at a time
	if err := d.roll(); err != nil {
		return err
	}
	at := d.segment
	d.shots.Add(1)
	go func() {
		defer d.shots.Done()
		err := writeSynced(filepath.Join(d.folder, snapshotName(at)), func(w *bufio.Writer) {
			var b []byte
			for i, e := range entries {
				b = appendRecord(b[:0], e, 1, i == len(entries)-1)
				_, _ = w.Write(b)
			}
		})
		if err == nil {
			err = d.removeBefore(at)
		}
		if err != nil { // the segments still hold all
			d.log("snapshot_failed", "err", err.Error())
		}
	}()
	return nil
}

func (d *disk) removeBefore(n uint64) error {
	for _, prefix := range []string{"log-", "snap-"} {
		list, err := d.files(prefix)
		if err != nil {
			return err
		}
		for _, f := range list {
			if f < n {
				if err := os.Remove(filepath.Join(d.folder, fmt.Sprintf("%s%016d", prefix, f))); err != nil {
					return errors.Wrap(errDisk, err.Error())
				}
			}
		}
	}
	return nil
}
