package daemon

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"otterchute/internal/statestore"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

func quiet(string, ...any) {}

func opened(t *testing.T, dir string) (*segmentLog, *statestore.Store) {
	t.Helper()
	d, st, err := openLog(dir, 77, quiet)
	must.NoError(t, err)
	d.post = func(func(*executor)) {}
	return d, st
}

func closed(d *segmentLog) {
	_ = d.file.Close()
	_ = d.lock.Close()
}

func recordEntry(i int) statestore.Entry {
	return statestore.Entry{Kind: statestore.EntryRecord, Name: "east", Record: statestore.Record{ID: fmt.Sprintf("job-%d", i), Epoch: 1, Version: int64(i), Live: true, Value: []byte("value")}}
}

func write(t *testing.T, d *segmentLog, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		must.NoError(t, d.commit([]logJob{{entries: []statestore.Entry{recordEntry(i)}, done: func() {}}}))
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
	_, _, err := openLog(dir, 1, quiet)
	must.ErrorIs(t, err, errDisk) // one process at a time
	closed(d)
	d, st := opened(t, dir)
	must.Eq(t, 20, recordsIn(st, "east"))
	must.Eq(t, 77, d.id)
	must.NoError(t, d.commit([]logJob{{snapshot: true, entries: st.Dump()}}))
	write(t, d, 20, 30)
	d.snapshots.Wait()
	closed(d)
	names, err := d.folder.List()
	must.NoError(t, err)
	must.Len(t, 1, numbers(names, segmentPrefix, 0)) // what the snapshot holds is gone
	d, st = opened(t, dir)
	must.Eq(t, 30, recordsIn(st, "east"))
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
		must.Eq(t, 9, recordsIn(st, "east"))
		must.Eq(t, 77, d.id)
		write(t, d, 10, 12)
		closed(d)
		d, st = opened(t, dir)
		must.Eq(t, 11, recordsIn(st, "east"))
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
	d, st, err := openLog(dir, 99, func(e string, _ ...any) { said = e })
	must.NoError(t, err)
	must.Eq(t, "disk_damaged", said)
	must.Zero(t, recordsIn(st, "east"))
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

// fails tells whether this kind of trouble is there now.
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
func troubledDisk(t *testing.T, dir string) (*segmentLog, *diskTrouble) {
	t.Helper()
	d, _ := opened(t, dir)
	trouble := &diskTrouble{tries: make(chan struct{}, 1)}
	d.retry = time.Millisecond
	d.folder = troubledFolder{d.folder, trouble}
	must.NoError(t, d.roll())
	return d, trouble
}

// toldOf gives what a disk's daemon makes of its state, as it changes.
func toldOf(d *segmentLog) chan string {
	told := make(chan string, 100)
	sh := &executor{node: newNode(nodeConfig{DiskID: d.id}, statestore.New()), ports: &processPorts{loop: newControlLoop(newSteadyClock()), disk: d, log: logr.Discard()}}
	d.post = func(do func(*executor)) {
		was, id := sh.node.diskFailed, sh.node.DiskID
		do(sh)
		switch {
		case id != sh.node.DiskID:
			told <- "lost"
		case was == "" && sh.node.diskFailed != "":
			told <- "failed"
		case was != "" && sh.node.diskFailed == "":
			told <- "recovered"
		}
	}
	return told
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
			told := toldOf(d)
			trouble.mu.Lock()
			trouble.refuses, trouble.torn, trouble.syncs = c.refuses, c.torn, c.syncs
			trouble.mu.Unlock()
			var done atomic.Int64
			go d.run()
			d.enqueue(logJob{entries: []statestore.Entry{recordEntry(20)}, done: func() { done.Add(1) }})
			must.Eq(t, "failed", <-told)
			for range 3 { // tried again, and again in vain
				<-trouble.tries
			}
			d.enqueue(logJob{entries: []statestore.Entry{recordEntry(21)}, done: func() { done.Add(1) }})
			<-trouble.tries
			must.Zero(t, done.Load())
			trouble.mu.Lock()
			trouble.refuses, trouble.syncs = false, false
			trouble.mu.Unlock()
			must.Eq(t, "recovered", <-told)
			d.enqueue(logJob{entries: []statestore.Entry{recordEntry(22)}, done: func() { done.Add(1) }})
			d.stop()
			must.Eq(t, 3, done.Load())
			d, st := opened(t, dir)
			must.Eq(t, 5*synced+3, recordsIn(st, "east"))
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
		told := toldOf(d)
		trouble.refuses = true
		done := atomic.Int64{}
		go d.run()
		d.enqueue(logJob{entries: []statestore.Entry{recordEntry(20)}, done: func() { done.Add(1) }})
		must.Eq(t, "failed", <-told)
		must.NoError(t, harm(path, size))
		must.Eq(t, "lost", <-told)
		trouble.mu.Lock()
		trouble.refuses = false
		trouble.mu.Unlock()
		must.Eq(t, "recovered", <-told)
		d.enqueue(logJob{entries: []statestore.Entry{recordEntry(30)}, done: func() { done.Add(1) }})
		d.stop()
		must.Eq(t, 1, done.Load()) // and what was held up is never acknowledged
		id := d.id
		must.NotEq(t, 77, id)
		d, st := opened(t, dir)
		must.Eq(t, 1, recordsIn(st, "east"))
		must.Eq(t, id, d.id)
		closed(d)
	}
}

// A disk that takes no writes at the start takes them once it can.
func TestDiskBrokenAtStart(t *testing.T) {
	dir := t.TempDir()
	d, _ := opened(t, dir)
	write(t, d, 0, 5)
	d.startErr = errDisk
	told, done := toldOf(d), atomic.Int64{}
	go d.run()
	must.Eq(t, "failed", <-told)
	must.Eq(t, "recovered", <-told)
	d.enqueue(logJob{entries: []statestore.Entry{recordEntry(5)}, done: func() { done.Add(1) }})
	d.stop()
	must.Eq(t, 1, done.Load())
	d, st := opened(t, dir)
	must.Eq(t, 6, recordsIn(st, "east"))
	closed(d)
}

// What a wipe leaves that is cut short comes back under no other id.
func TestDiskWipeCutShort(t *testing.T) {
	dir := t.TempDir()
	d, _ := opened(t, dir)
	write(t, d, 0, 5)
	closed(d)
	must.NoError(t, os.Remove(filepath.Join(dir, identityName)))
	d, st, err := openLog(dir, 99, quiet)
	must.NoError(t, err)
	must.Zero(t, recordsIn(st, "east"))
	must.Eq(t, 99, d.id)
	closed(d)
}

// A core member whose disk failed no longer answers for the core.
func TestFailedDiskStopsCounting(t *testing.T) {
	w := formed(t, 2, "ikenna")
	w.nodes["d01"].event(evDisk{Failed: "no space left"})
	w.run(1000)
	must.False(t, w.nodes["d01"].sh.node.inCore())
	w.traffic(5000)
	w.run(5000)
	allDone(t, w, 20_000)
	verdictOf(t, w)
}

func FuzzDiskReader(f *testing.F) {
	f.Add(appendRecord(appendRecord(nil, recordEntry(1), 1, true), recordEntry(2), 2, true))
	f.Fuzz(func(t *testing.T, b []byte) {
		st := statestore.New()
		sound, _, _ := readRecords(b, 0, st.Apply)
		if sound > len(b) {
			t.Fatal("read past the end")
		}
	})
}

func FuzzFrame(f *testing.F) {
	for _, m := range []any{&pollRequest{Holds: []leaseRequest{{Name: "a"}}}, &gossipMsg{Table: []peerInfo{{Name: "x"}}}, &syncMsg{Attempts: []attemptView{{}}}, &writeRequest{Records: []statestore.Record{{ID: "j"}}}} {
		f.Add(sealFrame(frameHeader{From: "d01"}, m))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) >= 4 { // past the checksum, into the forms behind it
			b = append([]byte(nil), b...)
			binary.BigEndian.PutUint32(b, crc32.ChecksumIEEE(b[4:]))
		}
		if h, m, err := openFrame(b); err == nil {
			must.Eq(t, b, sealFrame(h, m))
		}
	})
}

func FuzzSetup(f *testing.F) {
	f.Add([]byte(`{"queues":[{"name":"a","selector":{"tier":["fast"]},"urgency":3}],"empty_sites":["x"]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, faults := compileConfig(1, b)
		must.Eq(t, c == nil, len(faults) > 0)
	})
}

func FuzzJob(f *testing.F) {
	f.Add([]byte(`{"queue":"a","steps":[{"name":"s","after":["s"],"tasks":[{"name":"t","room":1}]}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		j, faults := parseJob("id", "", b)
		must.Eq(t, j == nil, len(faults) > 0)
	})
}

// A frame of another version, or damaged, is bounced.
func TestFrameBounced(t *testing.T) {
	good := sealFrame(frameHeader{From: "d01", Cluster: 9}, &copyRequest{Op: 3})
	h, m, err := openFrame(good)
	must.NoError(t, err)
	must.Eq(t, "d01", h.From)
	must.Eq(t, uint64(3), m.(*copyRequest).Op)
	for i := range good {
		bad := append([]byte(nil), good...)
		bad[i] ^= 1
		_, _, err := openFrame(bad)
		must.Error(t, err)
	}
	for kind, typ := range messageTypes { // every kind has a handler and survives its own form
		must.MapContainsKey(t, messageHandlers, reflectPtr(typ))
		must.Eq(t, kind, messageKinds[typ])
	}
}
