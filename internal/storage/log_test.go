package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterchute/internal/statestore"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

func quiet(string, ...any) {}

func opened(t *testing.T, dir string) (*Log, *statestore.Store) {
	t.Helper()
	d, st, err := Open(dir, 77, quiet)
	must.NoError(t, err)
	return d, st
}

func closed(d *Log) {
	_ = d.file.Close()
	_ = d.lock.Close()
}

func recordEntry(i int) statestore.Entry {
	return statestore.Entry{Kind: statestore.EntryRecord, Name: "east", Record: statestore.Record{ID: fmt.Sprintf("job-%d", i), Epoch: 1, Version: int64(i), Live: true, Value: []byte("value")}}
}

func write(t *testing.T, d *Log, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		must.NoError(t, d.commit([]job{{entries: []statestore.Entry{recordEntry(i)}, done: func() {}}}))
	}
}

func lastLog(t *testing.T, dir string) string {
	t.Helper()
	list, err := filepath.Glob(filepath.Join(dir, "log-*"))
	must.NoError(t, err)
	must.SliceNotEmpty(t, list)
	best := ""
	for _, f := range list {
		if s, err := os.Stat(f); err == nil && s.Size() > 0 {
			best = f
		}
	}
	return best
}

func TestDiskComesBack(t *testing.T) {
	dir := t.TempDir()
	d, _ := opened(t, dir)
	write(t, d, 0, 20)
	_, _, err := Open(dir, 1, quiet)
	must.ErrorIs(t, err, ErrInUse) // one process at a time
	closed(d)
	d, st := opened(t, dir)
	must.Eq(t, 20, len(liveRecords(st)))
	must.Eq(t, 77, d.id)
	must.NoError(t, d.commit([]job{{snapshot: true, entries: st.Dump()}}))
	write(t, d, 20, 30)
	d.snapshots.Wait()
	closed(d)
	names, err := d.folder.List()
	must.NoError(t, err)
	must.Len(t, 1, fileNumbers(names, segmentPrefix, 0)) // what the snapshot holds is gone
	d, st = opened(t, dir)
	must.Eq(t, 30, len(liveRecords(st)))
	closed(d)
}

// A torn end is cut, wherever in the last record it tears.
func TestDiskTornTail(t *testing.T) {
	for _, cut := range []int64{1, 7, 20, 60} {
		dir := t.TempDir()
		d, _ := opened(t, dir)
		write(t, d, 0, 10)
		closed(d)
		f := lastLog(t, dir)
		s, _ := os.Stat(f)
		must.NoError(t, os.Truncate(f, s.Size()-cut))
		d, st := opened(t, dir)
		must.Eq(t, 9, len(liveRecords(st)))
		must.Eq(t, 77, d.id)
		write(t, d, 10, 12)
		closed(d)
		d, st = opened(t, dir)
		must.Eq(t, 11, len(liveRecords(st)))
		closed(d)
	}
}

// Damage before the end is never taken for a shorter history: the disk begins
// again, empty and under a new id, and the damaged files are kept.
func TestDiskDamagedInTheMiddle(t *testing.T) {
	dir := t.TempDir()
	d, _ := opened(t, dir)
	write(t, d, 0, 10)
	closed(d)
	f := lastLog(t, dir)
	b, err := os.ReadFile(f)
	must.NoError(t, err)
	b[len(b)/2] ^= 0x40
	must.NoError(t, os.WriteFile(f, b, 0o600))
	said := ""
	d, st, err := Open(dir, 99, func(e string, _ ...any) { said = e })
	must.NoError(t, err)
	must.Eq(t, "disk_damaged", said)
	must.Zero(t, len(liveRecords(st)))
	must.Eq(t, 99, d.id)
	closed(d)
}

// troubled is a segment file of a disk that refuses writes, or tears them, or
// fails to sync.
type troubled struct {
	file
	trouble *diskTrouble
}

// troubledFolder is the folder of such a disk.
type troubledFolder struct {
	folder
	trouble *diskTrouble
}

func (f troubledFolder) Create(name string) (file, error) {
	file, err := f.folder.Create(name)
	return troubled{file, f.trouble}, err
}

func (f troubledFolder) Open(name string) (file, error) {
	file, err := f.folder.Open(name)
	return troubled{file, f.trouble}, err
}

type diskTrouble struct {
	mu      sync.Mutex
	refuses bool
	torn    int // bytes that get through of a refused write
	syncs   bool
	tries   chan struct{} // of what failed
}

// failed tells whether this kind of trouble is there now.
func (c *diskTrouble) fails(kind *bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *kind {
		select {
		case c.tries <- struct{}{}:
		default:
		}
	}
	return *kind
}

func (f troubled) Write(b []byte) (int, error) {
	if f.trouble.fails(&f.trouble.refuses) {
		n, _ := f.file.Write(b[:min(f.trouble.torn, len(b))])
		return n, unix.ENOSPC
	}
	return f.file.Write(b)
}

func (f troubled) Sync() error {
	if f.trouble.fails(&f.trouble.syncs) {
		return unix.EIO
	}
	return f.file.Sync()
}

// troubledDisk gives a working disk whose segments can be made to fail.
func troubledDisk(t *testing.T, dir string) (*Log, *diskTrouble) {
	t.Helper()
	d, _ := opened(t, dir)
	trouble := &diskTrouble{tries: make(chan struct{}, 1)}
	d.retry = time.Millisecond
	d.folder = troubledFolder{d.folder, trouble}
	must.NoError(t, d.roll())
	return d, trouble
}

// recorder is a Listener that a test reads. A lost disk is wiped under newDiskID,
// as a daemon does.
type recorder struct {
	log   *Log
	heard chan string
}

const newDiskID = 0x1234

func newRecorder(l *Log) *recorder { return &recorder{l, make(chan string, 100)} }

func (r *recorder) Committed(_ int, _ time.Duration, done []func()) {
	for _, do := range done {
		do()
	}
}

func (r *recorder) Failed(error) { r.heard <- "failed" }
func (r *recorder) Recovered()   { r.heard <- "recovered" }
func (r *recorder) Lost() {
	r.log.Wipe(newDiskID)
	r.heard <- "lost"
}

// A disk that can't write, or can't sync, acknowledges nothing until it has
// written all anew, in a segment that no failed sync touched; whatever part of
// the failed writes got through. Then it says so, and a later start finds all.
func TestDiskFailureEnds(t *testing.T) {
	for _, c := range []*diskTrouble{{refuses: true}, {refuses: true, torn: 9}, {refuses: true, torn: 1 << 20}, {syncs: true}} {
		for synced := range 2 { // batches that were synced in the segment before
			dir := t.TempDir()
			d, trouble := troubledDisk(t, dir)
			write(t, d, 0, 5*synced)
			listener := newRecorder(d)
			trouble.mu.Lock()
			trouble.refuses, trouble.torn, trouble.syncs = c.refuses, c.torn, c.syncs
			trouble.mu.Unlock()
			var done atomic.Int64
			go d.Run(listener)
			d.Append([]statestore.Entry{recordEntry(20)}, func() { done.Add(1) })
			must.Eq(t, "failed", <-listener.heard)
			for range 3 { // tried again, and again in vain
				<-trouble.tries
			}
			d.Append([]statestore.Entry{recordEntry(21)}, func() { done.Add(1) })
			<-trouble.tries
			must.Zero(t, done.Load())
			trouble.mu.Lock()
			trouble.refuses, trouble.syncs = false, false
			trouble.mu.Unlock()
			must.Eq(t, "recovered", <-listener.heard)
			d.Append([]statestore.Entry{recordEntry(22)}, func() { done.Add(1) })
			d.Close()
			must.Eq(t, 3, done.Load())
			d, st := opened(t, dir)
			must.Eq(t, 5*synced+3, len(liveRecords(st)))
			must.Eq(t, 77, d.id)
			closed(d)
		}
	}
}

// A disk that lacks what it had synced, or has it unsound, is no shorter
// history: it begins anew under another id.
func TestDiskFailureWithLoss(t *testing.T) {
	for _, harm := range []func(path string, size int64) error{
		func(path string, size int64) error { return os.Truncate(path, size-5) },
		func(path string, _ int64) error { return os.Remove(path) },
		func(path string, size int64) error {
			b, err := os.ReadFile(path)
			if err == nil {
				b[size/2] ^= 0x20
				err = os.WriteFile(path, b, 0o600)
			}
			return err
		},
	} {
		dir := t.TempDir()
		d, trouble := troubledDisk(t, dir)
		write(t, d, 0, 5)
		path, size := filepath.Join(dir, segmentName(d.segment)), d.size
		listener := newRecorder(d)
		trouble.refuses = true
		done := atomic.Int64{}
		go d.Run(listener)
		d.Append([]statestore.Entry{recordEntry(20)}, func() { done.Add(1) })
		must.Eq(t, "failed", <-listener.heard)
		must.NoError(t, harm(path, size))
		must.Eq(t, "lost", <-listener.heard)
		trouble.mu.Lock()
		trouble.refuses = false
		trouble.mu.Unlock()
		must.Eq(t, "recovered", <-listener.heard)
		d.Append([]statestore.Entry{recordEntry(30)}, func() { done.Add(1) })
		d.Close()
		must.Eq(t, 1, done.Load()) // and what was held up is never acknowledged
		id := d.id
		must.Eq(t, newDiskID, id)
		d, st := opened(t, dir)
		must.Eq(t, 1, len(liveRecords(st)))
		must.Eq(t, id, d.id)
		closed(d)
	}
}

// A disk that takes no writes at the start takes them once it can.
func TestDiskBrokenAtStart(t *testing.T) {
	dir := t.TempDir()
	d, _ := opened(t, dir)
	write(t, d, 0, 5)
	d.startErr = errors.New("no disk")
	listener, done := newRecorder(d), atomic.Int64{}
	go d.Run(listener)
	must.Eq(t, "failed", <-listener.heard)
	must.Eq(t, "recovered", <-listener.heard)
	d.Append([]statestore.Entry{recordEntry(5)}, func() { done.Add(1) })
	d.Close()
	must.Eq(t, 1, done.Load())
	d, st := opened(t, dir)
	must.Eq(t, 6, len(liveRecords(st)))
	closed(d)
}

// What a wipe leaves that is cut short comes back under no other id.
func TestDiskWipeCutShort(t *testing.T) {
	dir := t.TempDir()
	d, _ := opened(t, dir)
	write(t, d, 0, 5)
	closed(d)
	must.NoError(t, os.Remove(filepath.Join(dir, identityName)))
	d, st, err := Open(dir, 99, quiet)
	must.NoError(t, err)
	must.Zero(t, len(liveRecords(st)))
	must.Eq(t, 99, d.id)
	closed(d)
}

func FuzzDiskReader(f *testing.F) {
	f.Add(appendRecord(appendRecord(nil, recordEntry(1), 1, true), recordEntry(2), 2, true))
	f.Fuzz(func(t *testing.T, b []byte) {
		st := statestore.New()
		sound, _, _ := readSegment(b, 0, st.Apply)
		if sound > len(b) {
			t.Fatal("read past the end")
		}
	})
}

// A log in another format is refused, and left as it is.
func TestDiskOfAnotherFormat(t *testing.T) {
	dir := t.TempDir()
	d, _ := opened(t, dir)
	write(t, d, 0, 3)
	closed(d)
	path := lastLog(t, dir)
	b, err := os.ReadFile(path)
	must.NoError(t, err)
	for at := 0; at < len(b); {
		size := recordSize(b[at:])
		must.Positive(t, size)
		inFormat(b[at:at+size], currentFormat-1)
		at += size
	}
	must.NoError(t, os.WriteFile(path, b, 0o600))
	_, _, err = Open(dir, 5, quiet)
	must.ErrorIs(t, err, ErrFormat)
	kept, err := os.ReadFile(path)
	must.NoError(t, err)
	must.Eq(t, b, kept)
}

// inFormat marks a record as one of another format, with a checksum that is right.
func inFormat(record []byte, format byte) {
	record[markAt] = record[markAt]&lastOfBatch | format<<formatShift
	binary.BigEndian.PutUint32(record[4:], crc32.ChecksumIEEE(record[8:]))
}
