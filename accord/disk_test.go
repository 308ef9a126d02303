package main

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

func quiet(string, ...any) {}

func opened(t *testing.T, dir string) (*disk, *store) {
	t.Helper()
	d, st, err := openDisk(dir, 77, quiet)
	must.NoError(t, err)
	d.post = func(func(*shell)) {}
	return d, st
}

func closed(d *disk) {
	_ = d.file.Close()
	_ = d.lock.Close()
}

func recordEntry(i int) logEntry {
	return logEntry{Kind: entryRecord, Name: "east", Rec: record{ID: fmt.Sprintf("job-%d", i), Epoch: 1, Version: int64(i), Live: true, Value: []byte("value")}}
}

func write(t *testing.T, d *disk, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		must.NoError(t, d.commit([]diskJob{{entries: []logEntry{recordEntry(i)}, done: func() {}}}))
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
	_, _, err := openDisk(dir, 1, quiet)
	must.ErrorIs(t, err, errDisk) // one process at a time
	closed(d)
	d, st := opened(t, dir)
	must.Eq(t, 20, st.records("east"))
	must.Eq(t, 77, d.id)
	must.NoError(t, d.commit([]diskJob{{snapshot: true, entries: st.dump()}}))
	write(t, d, 20, 30)
	d.shots.Wait()
	closed(d)
	names, err := d.folder.List()
	must.NoError(t, err)
	must.Len(t, 1, numbers(names, segmentPrefix, 0)) // what the snapshot holds is gone
	d, st = opened(t, dir)
	must.Eq(t, 30, st.records("east"))
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
		must.Eq(t, 9, st.records("east"))
		must.Eq(t, 77, d.id)
		write(t, d, 10, 12)
		closed(d)
		d, st = opened(t, dir)
		must.Eq(t, 11, st.records("east"))
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
	d, st, err := openDisk(dir, 99, func(e string, _ ...any) { said = e })
	must.NoError(t, err)
	must.Eq(t, "disk_damaged", said)
	must.Zero(t, st.records("east"))
	must.Eq(t, 99, d.id)
	closed(d)
}

// A disk that can't write stops: nothing is acknowledged after that.
func TestDiskFailureIsFinal(t *testing.T) {
	d, _ := opened(t, t.TempDir())
	done, failed := 0, make(chan string, 1)
	d.post = func(func(*shell)) {
		select {
		case failed <- "told":
		default:
		}
	}
	_ = d.file.Close() // every write fails from here on
	go d.work()
	d.add(diskJob{entries: []logEntry{recordEntry(1)}, done: func() { done++ }})
	must.Eq(t, "told", <-failed)
	d.add(diskJob{entries: []logEntry{recordEntry(2)}, done: func() { done++ }})
	d.stop()
	must.Zero(t, done)
}

// A core member whose disk failed no longer answers for the core.
func TestFailedDiskStopsCounting(t *testing.T) {
	w := formed(t, 2, "ikenna")
	w.nodes["d01"].event(evDisk{Failed: "no space left"})
	w.run(1000)
	must.False(t, w.nodes["d01"].sh.n.inCore())
	w.traffic(5000)
	w.run(5000)
	allDone(t, w, 20_000)
	verdictOf(t, w)
}

func FuzzDiskReader(f *testing.F) {
	f.Add(appendRecord(appendRecord(nil, recordEntry(1), 1, true), recordEntry(2), 2, true))
	f.Fuzz(func(t *testing.T, b []byte) {
		st := newStore()
		sound, _, _ := readRecords(b, 0, st.apply)
		if sound > len(b) {
			t.Fatal("read past the end")
		}
	})
}

func FuzzFrame(f *testing.F) {
	for _, m := range []any{&pollMsg{Holds: []dutyAsk{{Name: "a"}}}, &gossipMsg{Table: []sibling{{Name: "x"}}}, &syncMsg{Held: []heldView{{}}}, &writeMsg{Records: []record{{ID: "j"}}}} {
		f.Add(sealFrame(wireHead{From: "d01"}, m))
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
		c, faults := compileSetup(1, b)
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
	good := sealFrame(wireHead{From: "d01", Cluster: 9}, &copyMsg{Op: 3})
	h, m, err := openFrame(good)
	must.NoError(t, err)
	must.Eq(t, "d01", h.From)
	must.Eq(t, uint64(3), m.(*copyMsg).Op)
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
