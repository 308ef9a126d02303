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

func discardEvents(string, ...any) {}

func openLog(t *testing.T, dir string) (*Log, *statestore.Store) {
	t.Helper()
	log, store, err := Open(dir, 77, discardEvents)
	must.NoError(t, err)
	return log, store
}

func closeLog(log *Log) {
	_ = log.file.Close()
	_ = log.lock.Close()
}

func recordEntry(i int) statestore.Entry {
	return statestore.Entry{Kind: statestore.EntryRecord, Name: "east", Record: statestore.Record{
		ID: fmt.Sprintf("job-%d", i), Epoch: 1, Version: int64(i), Live: true, Value: []byte("value"),
	}}
}

func write(t *testing.T, log *Log, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		must.NoError(t, log.commit([]operation{{entries: []statestore.Entry{recordEntry(i)}, done: func() {}}}))
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

func TestLogSurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	log, _ := openLog(t, dir)
	write(t, log, 0, 20)
	_, _, err := Open(dir, 1, discardEvents)
	must.ErrorIs(t, err, ErrInUse) // only one process at a time
	closeLog(log)
	log, store := openLog(t, dir)
	must.Eq(t, 20, len(liveRecords(store)))
	must.Eq(t, 77, log.id)
	must.NoError(t, log.commit([]operation{{snapshot: true, entries: store.Dump()}}))
	write(t, log, 20, 30)
	log.snapshots.Wait()
	closeLog(log)
	names, err := log.folder.List()
	must.NoError(t, err)
	must.Len(t, 1, fileNumbers(names, segmentPrefix, 0)) // segments before the snapshot are removed
	log, store = openLog(t, dir)
	must.Eq(t, 30, len(liveRecords(store)))
	closeLog(log)
}

// A torn last record is truncated, wherever it is torn.
func TestTornTailIsTruncated(t *testing.T) {
	for _, cut := range []int64{1, 7, 20, 60} {
		dir := t.TempDir()
		log, _ := openLog(t, dir)
		write(t, log, 0, 10)
		closeLog(log)
		f := lastLog(t, dir)
		s, _ := os.Stat(f)
		must.NoError(t, os.Truncate(f, s.Size()-cut))
		log, store := openLog(t, dir)
		must.Eq(t, 9, len(liveRecords(store)))
		must.Eq(t, 77, log.id)
		write(t, log, 10, 12)
		closeLog(log)
		log, store = openLog(t, dir)
		must.Eq(t, 11, len(liveRecords(store)))
		closeLog(log)
	}
}

// A log that is damaged before its end is not read as a shorter one: the disk begins
// again, empty and under a new id.
func TestDamagedLogBeginsNewDisk(t *testing.T) {
	dir := t.TempDir()
	log, _ := openLog(t, dir)
	write(t, log, 0, 10)
	closeLog(log)
	f := lastLog(t, dir)
	b, err := os.ReadFile(f)
	must.NoError(t, err)
	b[len(b)/2] ^= 0x40
	must.NoError(t, os.WriteFile(f, b, 0o600))
	event := ""
	log, store, err := Open(dir, 99, func(e string, _ ...any) { event = e })
	must.NoError(t, err)
	must.Eq(t, "disk_damaged", event)
	must.Zero(t, len(liveRecords(store)))
	must.Eq(t, 99, log.id)
	closeLog(log)
}

// faultyFile is a file whose writes fail, entirely or after some bytes, or whose syncs fail.
type faultyFile struct {
	file
	faults *diskFaults
}

// faultyFolder is a folder of such files.
type faultyFolder struct {
	folder
	faults *diskFaults
}

func (f faultyFolder) Create(name string) (file, error) {
	file, err := f.folder.Create(name)
	return faultyFile{file, f.faults}, err
}

func (f faultyFolder) Open(name string) (file, error) {
	file, err := f.folder.Open(name)
	return faultyFile{file, f.faults}, err
}

// diskFaults selects the operations that fail.
type diskFaults struct {
	mu           sync.Mutex
	failWrites   bool
	partialBytes int // bytes that a failing write still writes
	failSyncs    bool
	attempts     chan struct{} // signals a failed operation
}

// fails reports whether operations of a kind fail now, and signals it.
func (c *diskFaults) fails(kind *bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *kind {
		select {
		case c.attempts <- struct{}{}:
		default:
		}
	}
	return *kind
}

func (f faultyFile) Write(b []byte) (int, error) {
	if f.faults.fails(&f.faults.failWrites) {
		n, _ := f.file.Write(b[:min(f.faults.partialBytes, len(b))])
		return n, unix.ENOSPC
	}
	return f.file.Write(b)
}

func (f faultyFile) Sync() error {
	if f.faults.fails(&f.faults.failSyncs) {
		return unix.EIO
	}
	return f.file.Sync()
}

// openFaultyLog opens a log whose segments can be made to fail.
func openFaultyLog(t *testing.T, dir string) (*Log, *diskFaults) {
	t.Helper()
	log, _ := openLog(t, dir)
	faults := &diskFaults{attempts: make(chan struct{}, 1)}
	log.firstRetryDelay = time.Millisecond
	log.folder = faultyFolder{log.folder, faults}
	must.NoError(t, log.roll())
	return log, faults
}

// recordingListener is a Listener that records its calls. Like a daemon, it wipes a lost disk.
type recordingListener struct {
	log   *Log
	calls chan string
}

const newDiskID = 0x1234

func newRecordingListener(l *Log) *recordingListener {
	return &recordingListener{l, make(chan string, 100)}
}

func (r *recordingListener) Committed(_ int, _ time.Duration, done []func()) {
	for _, do := range done {
		do()
	}
}

func (r *recordingListener) Failed(error) { r.calls <- "failed" }
func (r *recordingListener) Recovered()   { r.calls <- "recovered" }
func (r *recordingListener) Lost() {
	r.log.Wipe(newDiskID)
	r.calls <- "lost"
}

// While writes or syncs fail, nothing is acknowledged, however much of a failed write
// reached the file. Once they work again, all entries are written to a new segment and
// acknowledged, and a restart finds all of them.
func TestRecoveryAfterFailure(t *testing.T) {
	for _, c := range []*diskFaults{
		{failWrites: true}, {failWrites: true, partialBytes: 9}, {failWrites: true, partialBytes: 1 << 20}, {failSyncs: true},
	} {
		for synced := range 2 { // without and with batches that were synced before
			dir := t.TempDir()
			log, faults := openFaultyLog(t, dir)
			write(t, log, 0, 5*synced)
			listener := newRecordingListener(log)
			faults.mu.Lock()
			faults.failWrites, faults.partialBytes, faults.failSyncs = c.failWrites, c.partialBytes, c.failSyncs
			faults.mu.Unlock()
			var done atomic.Int64
			go log.Run(listener)
			log.Append([]statestore.Entry{recordEntry(20)}, func() { done.Add(1) })
			must.Eq(t, "failed", <-listener.calls)
			for range 3 { // retries fail
				<-faults.attempts
			}
			log.Append([]statestore.Entry{recordEntry(21)}, func() { done.Add(1) })
			<-faults.attempts
			must.Zero(t, done.Load())
			faults.mu.Lock()
			faults.failWrites, faults.failSyncs = false, false
			faults.mu.Unlock()
			must.Eq(t, "recovered", <-listener.calls)
			log.Append([]statestore.Entry{recordEntry(22)}, func() { done.Add(1) })
			log.Close()
			must.Eq(t, 3, done.Load())
			log, store := openLog(t, dir)
			must.Eq(t, 5*synced+3, len(liveRecords(store)))
			must.Eq(t, 77, log.id)
			closeLog(log)
		}
	}
}

// If synced data is truncated, removed or damaged during a failure, the log is not
// continued: the disk begins again under another id.
func TestDataLossDuringFailure(t *testing.T) {
	for _, damage := range []func(path string, syncedBytes int64) error{
		func(path string, syncedBytes int64) error { return os.Truncate(path, syncedBytes-5) },
		func(path string, _ int64) error { return os.Remove(path) },
		func(path string, syncedBytes int64) error {
			b, err := os.ReadFile(path)
			if err == nil {
				b[syncedBytes/2] ^= 0x20
				err = os.WriteFile(path, b, 0o600)
			}
			return err
		},
	} {
		dir := t.TempDir()
		log, faults := openFaultyLog(t, dir)
		write(t, log, 0, 5)
		path, syncedBytes := filepath.Join(dir, segmentName(log.segment)), log.syncedBytes
		listener := newRecordingListener(log)
		faults.failWrites = true
		done := atomic.Int64{}
		go log.Run(listener)
		log.Append([]statestore.Entry{recordEntry(20)}, func() { done.Add(1) })
		must.Eq(t, "failed", <-listener.calls)
		must.NoError(t, damage(path, syncedBytes))
		must.Eq(t, "lost", <-listener.calls)
		faults.mu.Lock()
		faults.failWrites = false
		faults.mu.Unlock()
		must.Eq(t, "recovered", <-listener.calls)
		log.Append([]statestore.Entry{recordEntry(30)}, func() { done.Add(1) })
		log.Close()
		must.Eq(t, 1, done.Load()) // the entry pending at the loss is never acknowledged
		id := log.id
		must.Eq(t, newDiskID, id)
		log, store := openLog(t, dir)
		must.Eq(t, 1, len(liveRecords(store)))
		must.Eq(t, id, log.id)
		closeLog(log)
	}
}

// A disk that is not writable at the start accepts writes as soon as it is.
func TestDiskNotWritableAtStart(t *testing.T) {
	dir := t.TempDir()
	log, _ := openLog(t, dir)
	write(t, log, 0, 5)
	log.startErr = errors.New("no disk")
	listener, done := newRecordingListener(log), atomic.Int64{}
	go log.Run(listener)
	must.Eq(t, "failed", <-listener.calls)
	must.Eq(t, "recovered", <-listener.calls)
	log.Append([]statestore.Entry{recordEntry(5)}, func() { done.Add(1) })
	log.Close()
	must.Eq(t, 1, done.Load())
	log, store := openLog(t, dir)
	must.Eq(t, 6, len(liveRecords(store)))
	closeLog(log)
}

// Segments without an identity file, as an interrupted wipe may leave them, are not read
// under a new id.
func TestInterruptedWipe(t *testing.T) {
	dir := t.TempDir()
	log, _ := openLog(t, dir)
	write(t, log, 0, 5)
	closeLog(log)
	must.NoError(t, os.Remove(filepath.Join(dir, identityName)))
	log, store, err := Open(dir, 99, discardEvents)
	must.NoError(t, err)
	must.Zero(t, len(liveRecords(store)))
	must.Eq(t, 99, log.id)
	closeLog(log)
}

func FuzzReadSegment(f *testing.F) {
	f.Add(appendRecord(appendRecord(nil, recordEntry(1), 1, true), recordEntry(2), 2, true))
	f.Fuzz(func(t *testing.T, b []byte) {
		store := statestore.New()
		sound, _, _ := readSegment(b, 0, store.Apply)
		if sound > len(b) {
			t.Fatal("read past the end")
		}
	})
}

// A log in another format is rejected and left unchanged.
func TestOtherFormatIsRejected(t *testing.T) {
	dir := t.TempDir()
	log, _ := openLog(t, dir)
	write(t, log, 0, 3)
	closeLog(log)
	path := lastLog(t, dir)
	b, err := os.ReadFile(path)
	must.NoError(t, err)
	for at := 0; at < len(b); {
		size := recordSize(b[at:])
		must.Positive(t, size)
		setFormat(b[at:at+size], currentFormat-1)
		at += size
	}
	must.NoError(t, os.WriteFile(path, b, 0o600))
	_, _, err = Open(dir, 5, discardEvents)
	must.ErrorIs(t, err, ErrFormat)
	kept, err := os.ReadFile(path)
	must.NoError(t, err)
	must.Eq(t, b, kept)
}

// setFormat changes a record's format and updates its checksum.
func setFormat(record []byte, format byte) {
	record[flagsOffset] = record[flagsOffset]&lastOfBatchFlag | format<<formatShift
	binary.BigEndian.PutUint32(record[4:], crc32.ChecksumIEEE(record[8:]))
}
