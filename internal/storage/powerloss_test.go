package storage

import (
	"bufio"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterchute/internal/statestore"

	"github.com/shoenig/test/must"
)

// diskPlay plays what a daemon does with its disk, and keeps what stands in the
// folder after each single operation together with what was acknowledged by then.
type diskPlay struct {
	t      *testing.T
	folder *powerFolder
	disk   *Log
	store  *statestore.Store
	wrote  int
	due    diskDue
	points []diskPoint
}

// diskDue is what a disk must hold: all that was acknowledged under its identity.
type diskDue struct {
	byID    map[uint64]map[string]bool // identities that may come up -> records they must hold
	unnamed bool                       // and any empty one: the first start has not ended
}

type diskPoint struct {
	folder *powerFolder
	due    diskDue
}

func (d diskDue) clone() diskDue {
	out := diskDue{map[uint64]map[string]bool{}, d.unnamed}
	for id, records := range d.byID {
		out.byID[id] = maps.Clone(records)
	}
	return out
}

func newDiskPlay(t *testing.T, folder *powerFolder, due diskDue) *diskPlay {
	p := &diskPlay{t: t, folder: folder, due: due.clone()}
	folder.after = func() { p.points = append(p.points, diskPoint{folder.clone(), p.due.clone()}) }
	return p
}

// liveRecords gives the live records of the one shard of these tests, by id.
func liveRecords(st *statestore.Store) map[string]statestore.Record {
	out := map[string]statestore.Record{}
	for _, r := range st.Shard("east").Live() {
		out[r.ID] = r
	}
	return out
}

// open starts a daemon. What it reads others may go by from then on.
func (p *diskPlay) open(newID uint64) {
	d, st, err := openFolder(p.folder, newID, quiet)
	must.NoError(p.t, err)
	p.disk, p.store = d, st
	due := map[string]bool{}
	for id := range liveRecords(st) {
		due[id] = true
	}
	p.due = diskDue{byID: map[uint64]map[string]bool{d.id: due}}
}

func (p *diskPlay) write(count int) {
	for range count {
		var batch []statestore.Entry
		for i := range 2 { // of a batch all or nothing counts
			p.wrote++
			id := fmt.Sprintf("job-%x-%d-%d", p.disk.id, p.wrote, i)
			batch = append(batch, statestore.Entry{Kind: statestore.EntryRecord, Name: "east", Record: statestore.Record{ID: id, Epoch: 1, Version: int64(p.wrote), Live: true, Value: []byte("value")}})
		}
		must.NoError(p.t, p.disk.commit([]job{{entries: batch, done: func() {}}}))
		for _, e := range batch {
			p.store.Apply(e)
			p.due.byID[p.disk.id][e.Record.ID] = true
		}
	}
}

// snapshot writes one, with a batch in the middle of it.
func (p *diskPlay) snapshot() {
	must.NoError(p.t, p.disk.roll())
	at, batch, dump := p.disk.segment, p.disk.batch, p.store.Dump()
	p.write(1)
	must.NoError(p.t, p.disk.writeSnapshot(at, batch, dump))
}

func (p *diskPlay) wipe(id uint64) {
	p.due.byID[id] = map[string]bool{}
	must.NoError(p.t, p.disk.commit([]job{{wipe: id}}))
	p.store, p.due.byID = statestore.New(), map[uint64]map[string]bool{id: {}}
}

// check opens what a loss left. An identity that comes up must hold all that was
// acknowledged under it, and nothing of another's. Where mayBegin, a new, empty
// one may come up instead.
func (p diskPoint) check(t *testing.T, left *powerFolder, newID uint64, mayBegin bool) *diskPlay {
	t.Helper()
	play := newDiskPlay(t, left, p.due)
	if mayBegin || p.due.unnamed {
		play.due.byID[newID] = map[string]bool{}
	}
	due := play.due.byID
	play.open(newID)
	must.MapContainsKey(t, due, play.disk.id, must.Sprintf("%x came up, of %v", play.disk.id, slices.Sorted(maps.Keys(due))))
	for id := range due[play.disk.id] {
		must.MapContainsKey(t, liveRecords(play.store), id)
	}
	for id := range liveRecords(play.store) {
		must.StrHasPrefix(t, fmt.Sprintf("job-%x-", play.disk.id), id)
	}
	for _, name := range slices.Sorted(maps.Keys(left.now)) {
		must.False(t, strings.HasSuffix(name, unfinishedSuffix), must.Sprint(name))
	}
	return play
}

// playAll is a disk's life: records, snapshots, a wipe, and all again.
func playAll(t *testing.T) *diskPlay {
	p := newDiskPlay(t, newPowerFolder(), diskDue{byID: map[uint64]map[string]bool{0xa: {}}, unnamed: true})
	p.open(0xa)
	p.write(2)
	p.snapshot()
	p.write(1)
	must.NoError(t, p.disk.roll())
	p.write(1)
	p.snapshot()
	p.write(1)
	p.wipe(0xb)
	p.write(2)
	p.snapshot()
	p.write(1)
	for range 2 { // with nothing written in the middle of it, nor before the kill
		must.NoError(t, p.disk.commit([]job{{snapshot: true, entries: p.store.Dump()}}))
		p.disk.snapshots.Wait()
		p.write(1)
		must.NoError(t, p.disk.commit([]job{{snapshot: true, entries: p.store.Dump()}}))
		p.disk.snapshots.Wait()
		p.open(0xc)
	}
	p.write(1)
	return p
}

// After a loss of power at any step, with any part of what was not synced, and
// another one at any step of the start that follows, the disk holds all that was
// acknowledged.
func TestDiskPowerLoss(t *testing.T) {
	points, states, second := playAll(t).points, 0, 0
	for _, point := range points {
		after := func(left *powerFolder, mayBegin bool) {
			states++
			play := point.check(t, left, 0xc, mayBegin)
			play.write(1)
			for _, next := range play.points {
				next.folder.eachLoss(false, func(left *powerFolder, gone bool) {
					second++
					next.check(t, left, 0xd, mayBegin || gone)
				})
			}
		}
		point.folder.eachLoss(false, after)
		after(point.folder.clone(), false) // killed: all stands as it was, but isn't synced
	}
	t.Logf("%d steps, %d states after one loss, %d after two", len(points), states, second)
	must.Greater(t, 300, states)
	must.Greater(t, 10_000, second)
}

// A batch that was being written may tear at every byte, from either end.
func TestDiskTornAtEveryByte(t *testing.T) {
	states := 0
	for _, point := range playAll(t).points {
		if len(point.folder.changes) > 2 {
			continue // with TestDiskPowerLoss
		}
		point.folder.eachLoss(true, func(left *powerFolder, gone bool) {
			states++
			play := point.check(t, left, 0xc, gone)
			play.write(1)
			if states%5 != 0 {
				return
			}
			end := play.points[len(play.points)-1]
			end.folder.eachLoss(false, func(left *powerFolder, gone bool) { end.check(t, left, 0xd, gone) })
		})
	}
	t.Logf("%d states", states)
	must.Greater(t, 1000, states)
}

// A snapshot that isn't whole is found out wherever it ends or is damaged. The
// one before and its segments are used where they stand; else the disk begins
// anew, empty.
func TestDiskUnreadableSnapshot(t *testing.T) {
	older, none, before := 0, 0, ""
	for _, point := range playAll(t).points {
		names := slices.Sorted(maps.Keys(point.folder.now))
		if before == fmt.Sprint(names) {
			continue
		}
		before = fmt.Sprint(names)
		snapshots := fileNumbers(names, snapshotPrefix, 0)
		if len(snapshots) == 0 {
			continue
		}
		newest := snapshots[len(snapshots)-1]
		whole := point.folder.now[snapshotName(newest)].now
		identity, _ := readIdentity(point.folder)
		removing := slices.ContainsFunc(point.folder.changes, func(c entryChange) bool {
			_, ok := fileNumber(c.name)
			return ok && c.kind == "removed"
		})
		spare := newest < identity.first || fileNumbers(names, segmentPrefix, 0)[0] < newest && !removing
		for at := range whole {
			for way, damage := range []func() []byte{
				func() []byte { return whole[:at] },
				func() []byte { return append(append([]byte{}, whole[:at]...), make([]byte, len(whole)-at)...) },
				func() []byte { b := append([]byte{}, whole...); b[at] ^= 4; return b },
				func() []byte { return append(append([]byte{}, whole...), whole[:at+1]...) },
			} {
				if at%3 != 0 || way > 0 && at%15 != 0 {
					continue
				}
				left := point.folder.clone()
				left.now[snapshotName(newest)].now = damage()
				play := newDiskPlay(t, left, point.due)
				play.open(0xc)
				must.Eq(t, spare, play.disk.id != 0xc)
				if !spare {
					none++
					must.MapEmpty(t, liveRecords(play.store))
					continue
				}
				older++
				must.MapContainsKey(t, point.due.byID, play.disk.id)
				for id := range point.due.byID[play.disk.id] {
					must.MapContainsKey(t, liveRecords(play.store), id)
				}
			}
		}
	}
	t.Logf("%d states read from what was before, %d begun anew", older, none)
	must.Greater(t, 100, older)
	must.Greater(t, 100, none)
}

// A disk that is put aside never comes back in part, whatever a loss of power
// leaves of the steps by which it goes.
func TestDiskQuarantinePowerLoss(t *testing.T) {
	p := newDiskPlay(t, newPowerFolder(), diskDue{byID: map[uint64]map[string]bool{0xa: {}}, unnamed: true})
	p.open(0xa)
	p.write(3)
	p.snapshot()
	p.write(2)
	must.NoError(t, p.disk.roll())
	p.write(2)
	must.NoError(t, p.disk.roll())
	p.write(1)
	segments := fileNumbers(slices.Sorted(maps.Keys(p.folder.now)), segmentPrefix, 0)
	damaged := p.folder.now[segmentName(segments[0])]
	damaged.now[len(damaged.now)/2] ^= 1
	damaged.lasting = damaged.now
	states := 0
	again := newDiskPlay(t, p.folder.clone(), diskDue{byID: map[uint64]map[string]bool{0xb: {}}})
	again.open(0xb)
	must.Eq(t, 0xb, again.disk.id)
	again.write(2)
	for _, point := range again.points {
		began := false // whether the new identity is sure to stand
		for _, records := range point.due.byID {
			began = began || len(records) > 0
		}
		point.folder.eachLoss(false, func(left *powerFolder, gone bool) {
			states++
			point.check(t, left, 0xc, !began)
		})
	}
	t.Logf("%d states", states)
	must.Greater(t, 100, states)
}

// What earlier lives left takes no room for good: unfinished files go at the
// start, damaged ones are bounded and go with the next snapshot.
func TestDiskLeftoversBounded(t *testing.T) {
	p := newDiskPlay(t, newPowerFolder(), diskDue{byID: map[uint64]map[string]bool{0xa: {}}, unnamed: true})
	aside := func() (count, bytes int) {
		for name, file := range p.folder.now {
			if strings.HasPrefix(name, quarantinePrefix) {
				count, bytes = count+1, bytes+len(file.now)
			}
		}
		return count, bytes
	}
	p.open(0xa)
	for i := range 4 {
		p.write(3)
		must.NoError(t, p.disk.roll())
		p.write(1)
		segments := fileNumbers(slices.Sorted(maps.Keys(p.folder.now)), segmentPrefix, 0)
		file := p.folder.now[segmentName(segments[0])]
		file.now = append(file.now[:len(file.now)/2], make([]byte, (i%2)*quarantineBytes)...)
		left, err := p.folder.Create("snap-0000000000000099" + unfinishedSuffix)
		must.NoError(t, err)
		must.NoError(t, left.Close())
		p.open(uint64(0xb + i))
		must.Eq(t, uint64(0xb+i), p.disk.id)
		count, bytes := aside()
		must.Between(t, 1, count, 3)
		must.Less(t, quarantineBytes, bytes)
		must.MapNotContainsKey(t, p.folder.now, "snap-0000000000000099"+unfinishedSuffix)
	}
	p.snapshot()
	count, _ := aside()
	must.Zero(t, count)
	must.MapLen(t, 3, p.folder.now) // identity, snapshot, segment
}

// A snapshot that could not be written leaves nothing behind.
func TestDiskFailedSnapshotLeavesNothing(t *testing.T) {
	p := newDiskPlay(t, newPowerFolder(), diskDue{byID: map[uint64]map[string]bool{0xa: {}}, unnamed: true})
	p.open(0xa)
	p.write(2)
	full := &fullFolder{p.folder}
	p.disk.folder = full
	must.Error(t, p.disk.writeSnapshot(p.disk.segment, 1, p.store.Dump()))
	must.MapLen(t, 2, p.folder.now) // identity and segment
}

// fullFolder takes no more bytes in new files.
type fullFolder struct{ *powerFolder }

func (f *fullFolder) Create(name string) (file, error) {
	file, err := f.powerFolder.Create(name)
	return &fullFile{file}, err
}

type fullFile struct{ file }

func (f *fullFile) Write([]byte) (int, error) { return 0, fs.ErrClosed }

// A disk of an earlier release names no first segment; it is read, and named.
func TestDiskOfEarlierRelease(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		p := newDiskPlay(t, newPowerFolder(), diskDue{byID: map[uint64]map[string]bool{0xa: {}}, unnamed: true})
		p.open(0xa)
		p.write(3)
		if snapshot {
			p.snapshot()
		}
		must.NoError(t, p.disk.writeSynced(identityName, func(w *bufio.Writer) { fmt.Fprintf(w, "%x\n", p.disk.id) }))
		due := p.due.byID[0xa]
		for range 2 {
			p.open(0xb)
			must.Eq(t, 0xa, p.disk.id)
			must.Positive(t, p.disk.first)
			for id := range due {
				must.MapContainsKey(t, liveRecords(p.store), id)
			}
		}
	}
}

// A disk that syncs nothing at its start tells nobody what it read, until its
// torn end is cut and the rest of it synced.
func TestDiskTailUncutAtStart(t *testing.T) {
	dir := t.TempDir()
	d, _ := opened(t, dir)
	write(t, d, 0, 5)
	closed(d)
	path := lastLog(t, dir)
	whole, err := os.ReadFile(path)
	must.NoError(t, err)
	must.NoError(t, os.Truncate(path, int64(len(whole)-3)))
	trouble := &diskTrouble{tries: make(chan struct{}, 1), syncs: true}
	d, st, err := openFolder(troubledFolder{osFolder(dir), trouble}, 99, quiet)
	must.NoError(t, err)
	must.Eq(t, 4, len(liveRecords(st)))
	d.retry = time.Millisecond
	listener, done := newRecorder(d), atomic.Int64{}
	go d.Run(listener)
	must.Eq(t, "failed", <-listener.heard)
	d.Append(nil, func() { done.Add(1) }) // a read
	for range 3 {
		<-trouble.tries
	}
	must.Zero(t, done.Load())
	trouble.mu.Lock()
	trouble.syncs = false
	trouble.mu.Unlock()
	must.Eq(t, "recovered", <-listener.heard)
	d.Close()
	must.Eq(t, 1, done.Load())
	info, err := os.Stat(path)
	must.NoError(t, err)
	must.Less(t, int64(len(whole)-3), info.Size())
}
