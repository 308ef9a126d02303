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

// logScenario runs a sequence of log operations on a simulated folder, and records the folder
// and the acknowledged records after each change.
type logScenario struct {
	t        *testing.T
	folder   *simulatedFolder
	log      *Log
	store    *statestore.Store
	batches  int
	expected expectedRecords
	points   []crashPoint
}

// expectedRecords is what a disk must hold: all records acknowledged under its identity.
type expectedRecords struct {
	byID     map[uint64]map[string]bool // possible identities, and the records each must hold
	mayBeNew bool                       // a new, empty identity is possible: the first start has not finished
}

type crashPoint struct {
	folder   *simulatedFolder
	expected expectedRecords
}

func (d expectedRecords) clone() expectedRecords {
	out := expectedRecords{map[uint64]map[string]bool{}, d.mayBeNew}
	for id, records := range d.byID {
		out.byID[id] = maps.Clone(records)
	}
	return out
}

func newLogScenario(t *testing.T, folder *simulatedFolder, expected expectedRecords) *logScenario {
	p := &logScenario{t: t, folder: folder, expected: expected.clone()}
	folder.onChange = func() { p.points = append(p.points, crashPoint{folder.clone(), p.expected.clone()}) }
	return p
}

// liveRecords returns the live records of the only shard of these tests, by id.
func liveRecords(store *statestore.Store) map[string]statestore.Record {
	out := map[string]statestore.Record{}
	for _, r := range store.Shard("east").Live() {
		out[r.ID] = r
	}
	return out
}

// open opens the log. The records that it reads count as acknowledged from then on.
func (p *logScenario) open(newID uint64) {
	l, st, err := openFolder(p.folder, newID, discardEvents)
	must.NoError(p.t, err)
	p.log, p.store = l, st
	expected := map[string]bool{}
	for id := range liveRecords(st) {
		expected[id] = true
	}
	p.expected = expectedRecords{byID: map[uint64]map[string]bool{l.id: expected}}
}

func (p *logScenario) write(count int) {
	for range count {
		var batch []statestore.Entry
		for i := range 2 { // a batch of two entries survives whole or not at all
			p.batches++
			id := fmt.Sprintf("job-%x-%d-%d", p.log.id, p.batches, i)
			batch = append(batch, statestore.Entry{Kind: statestore.EntryRecord, Name: "east", Record: statestore.Record{
				ID: id, Epoch: 1, Version: int64(p.batches), Live: true, Value: []byte("value"),
			}})
		}
		must.NoError(p.t, p.log.commit([]operation{{entries: batch, done: func() {}}}))
		for _, e := range batch {
			p.store.Apply(e)
			p.expected.byID[p.log.id][e.Record.ID] = true
		}
	}
}

// snapshot writes a snapshot, with a batch written between its start and its end.
func (p *logScenario) snapshot() {
	must.NoError(p.t, p.log.roll())
	at, batch, dump := p.log.segment, p.log.batch, p.store.Dump()
	p.write(1)
	must.NoError(p.t, p.log.writeSnapshot(at, batch, dump))
}

func (p *logScenario) wipe(id uint64) {
	p.expected.byID[id] = map[string]bool{}
	must.NoError(p.t, p.log.commit([]operation{{newDiskID: id}}))
	p.store, p.expected.byID = statestore.New(), map[uint64]map[string]bool{id: {}}
}

// check opens the folder that a power loss left. Its identity must hold all records
// acknowledged under it and none of another identity. With mayBegin, a new, empty
// identity is accepted as well.
func (p crashPoint) check(t *testing.T, left *simulatedFolder, newID uint64, mayBegin bool) *logScenario {
	t.Helper()
	scenario := newLogScenario(t, left, p.expected)
	if mayBegin || p.expected.mayBeNew {
		scenario.expected.byID[newID] = map[string]bool{}
	}
	expected := scenario.expected.byID
	scenario.open(newID)
	must.MapContainsKey(t, expected, scenario.log.id,
		must.Sprintf("identity %x, not one of %v", scenario.log.id, slices.Sorted(maps.Keys(expected))))
	for id := range expected[scenario.log.id] {
		must.MapContainsKey(t, liveRecords(scenario.store), id)
	}
	for id := range liveRecords(scenario.store) {
		must.StrHasPrefix(t, fmt.Sprintf("job-%x-", scenario.log.id), id)
	}
	for _, name := range slices.Sorted(maps.Keys(left.current)) {
		must.False(t, strings.HasSuffix(name, temporarySuffix), must.Sprint(name))
	}
	return scenario
}

// runFullScenario writes records and snapshots, wipes the disk, and repeats this with restarts.
func runFullScenario(t *testing.T) *logScenario {
	p := newLogScenario(t, newSimulatedFolder(),
		expectedRecords{byID: map[uint64]map[string]bool{0xa: {}}, mayBeNew: true})
	p.open(0xa)
	p.write(2)
	p.snapshot()
	p.write(1)
	must.NoError(t, p.log.roll())
	p.write(1)
	p.snapshot()
	p.write(1)
	p.wipe(0xb)
	p.write(2)
	p.snapshot()
	p.write(1)
	for range 2 { // snapshots without a batch meanwhile, the last one right before a restart
		must.NoError(t, p.log.commit([]operation{{snapshot: true, entries: p.store.Dump()}}))
		p.log.snapshots.Wait()
		p.write(1)
		must.NoError(t, p.log.commit([]operation{{snapshot: true, entries: p.store.Dump()}}))
		p.log.snapshots.Wait()
		p.open(0xc)
	}
	p.write(1)
	return p
}

// The disk holds all acknowledged records after a power loss at any step that leaves any
// part of the unsynced changes, and a second one at any step of the following start.
func TestPowerLoss(t *testing.T) {
	points, states, second := runFullScenario(t).points, 0, 0
	for _, point := range points {
		after := func(left *simulatedFolder, mayBegin bool) {
			states++
			scenario := point.check(t, left, 0xc, mayBegin)
			scenario.write(1)
			for _, next := range scenario.points {
				next.folder.eachLoss(false, func(left *simulatedFolder, gone bool) {
					second++
					next.check(t, left, 0xd, mayBegin || gone)
				})
			}
		}
		point.folder.eachLoss(false, after)
		after(point.folder.clone(), false) // killed: nothing is lost, but not everything is synced
	}
	t.Logf("%d steps, %d states after one loss, %d after two", len(points), states, second)
	must.Greater(t, 300, states)
	must.Greater(t, 10_000, second)
}

// Acknowledged records survive a last write that is torn at any byte, from either end.
func TestTornWriteAtEveryByte(t *testing.T) {
	states := 0
	for _, point := range runFullScenario(t).points {
		if len(point.folder.changes) > 2 {
			continue // covered by TestPowerLoss
		}
		point.folder.eachLoss(true, func(left *simulatedFolder, gone bool) {
			states++
			scenario := point.check(t, left, 0xc, gone)
			scenario.write(1)
			if states%5 != 0 {
				return
			}
			end := scenario.points[len(scenario.points)-1]
			end.folder.eachLoss(false, func(left *simulatedFolder, gone bool) { end.check(t, left, 0xd, gone) })
		})
	}
	t.Logf("%d states", states)
	must.Greater(t, 1000, states)
}

// A snapshot that is truncated or damaged anywhere is detected. The previous snapshot and
// its segments are used if they still exist; else the disk begins again, empty.
func TestDamagedSnapshot(t *testing.T) {
	previous, emptied, lastNames := 0, 0, ""
	for _, point := range runFullScenario(t).points {
		names := slices.Sorted(maps.Keys(point.folder.current))
		if lastNames == fmt.Sprint(names) {
			continue
		}
		lastNames = fmt.Sprint(names)
		snapshots := fileNumbers(names, snapshotPrefix, 0)
		if len(snapshots) == 0 {
			continue
		}
		newest := snapshots[len(snapshots)-1]
		whole := point.folder.current[snapshotName(newest)].current
		identity, _ := readIdentity(point.folder)
		removing := slices.ContainsFunc(point.folder.changes, func(c entryChange) bool {
			_, ok := fileNumber(c.name)
			return ok && c.kind == "removed"
		})
		hasPrevious := newest < identity.firstSegment || fileNumbers(names, segmentPrefix, 0)[0] < newest && !removing
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
				left.current[snapshotName(newest)].current = damage()
				scenario := newLogScenario(t, left, point.expected)
				scenario.open(0xc)
				must.Eq(t, hasPrevious, scenario.log.id != 0xc)
				if !hasPrevious {
					emptied++
					must.MapEmpty(t, liveRecords(scenario.store))
					continue
				}
				previous++
				must.MapContainsKey(t, point.expected.byID, scenario.log.id)
				for id := range point.expected.byID[scenario.log.id] {
					must.MapContainsKey(t, liveRecords(scenario.store), id)
				}
			}
		}
	}
	t.Logf("%d states read from the previous snapshot, %d begun again", previous, emptied)
	must.Greater(t, 100, previous)
	must.Greater(t, 100, emptied)
}

// A quarantined log is never read again, not even in part, after a power loss at any step
// of the quarantine.
func TestPowerLossDuringQuarantine(t *testing.T) {
	p := newLogScenario(t, newSimulatedFolder(),
		expectedRecords{byID: map[uint64]map[string]bool{0xa: {}}, mayBeNew: true})
	p.open(0xa)
	p.write(3)
	p.snapshot()
	p.write(2)
	must.NoError(t, p.log.roll())
	p.write(2)
	must.NoError(t, p.log.roll())
	p.write(1)
	segments := fileNumbers(slices.Sorted(maps.Keys(p.folder.current)), segmentPrefix, 0)
	damaged := p.folder.current[segmentName(segments[0])]
	damaged.current[len(damaged.current)/2] ^= 1
	damaged.durable = damaged.current
	states := 0
	scenario := newLogScenario(t, p.folder.clone(), expectedRecords{byID: map[uint64]map[string]bool{0xb: {}}})
	scenario.open(0xb)
	must.Eq(t, 0xb, scenario.log.id)
	scenario.write(2)
	for _, point := range scenario.points {
		began := false // whether the new identity is durable
		for _, records := range point.expected.byID {
			began = began || len(records) > 0
		}
		point.folder.eachLoss(false, func(left *simulatedFolder, gone bool) {
			states++
			point.check(t, left, 0xc, !began)
		})
	}
	t.Logf("%d states", states)
	must.Greater(t, 100, states)
}

// Files left by earlier processes are removed: unfinished ones at the start, quarantined
// ones with the next snapshot. Until then quarantineBytes bounds the latter.
func TestLeftoverFilesAreBounded(t *testing.T) {
	p := newLogScenario(t, newSimulatedFolder(),
		expectedRecords{byID: map[uint64]map[string]bool{0xa: {}}, mayBeNew: true})
	quarantined := func() (count, bytes int) {
		for name, file := range p.folder.current {
			if strings.HasPrefix(name, quarantinePrefix) {
				count, bytes = count+1, bytes+len(file.current)
			}
		}
		return count, bytes
	}
	p.open(0xa)
	for i := range 4 {
		p.write(3)
		must.NoError(t, p.log.roll())
		p.write(1)
		segments := fileNumbers(slices.Sorted(maps.Keys(p.folder.current)), segmentPrefix, 0)
		file := p.folder.current[segmentName(segments[0])]
		file.current = append(file.current[:len(file.current)/2], make([]byte, (i%2)*quarantineBytes)...)
		left, err := p.folder.Create("snap-0000000000000099" + temporarySuffix)
		must.NoError(t, err)
		must.NoError(t, left.Close())
		p.open(uint64(0xb + i))
		must.Eq(t, uint64(0xb+i), p.log.id)
		count, bytes := quarantined()
		must.Between(t, 1, count, 3)
		must.Less(t, quarantineBytes, bytes)
		must.MapNotContainsKey(t, p.folder.current, "snap-0000000000000099"+temporarySuffix)
	}
	p.snapshot()
	count, _ := quarantined()
	must.Zero(t, count)
	must.MapLen(t, 3, p.folder.current) // identity, snapshot, segment
}

// A snapshot whose write fails leaves no file behind.
func TestFailedSnapshotLeavesNoFile(t *testing.T) {
	p := newLogScenario(t, newSimulatedFolder(),
		expectedRecords{byID: map[uint64]map[string]bool{0xa: {}}, mayBeNew: true})
	p.open(0xa)
	p.write(2)
	full := &fullFolder{p.folder}
	p.log.folder = full
	must.Error(t, p.log.writeSnapshot(p.log.segment, 1, p.store.Dump()))
	must.MapLen(t, 2, p.folder.current) // identity and segment
}

// fullFolder rejects all writes to new files.
type fullFolder struct{ *simulatedFolder }

func (f *fullFolder) Create(name string) (file, error) {
	file, err := f.simulatedFolder.Create(name)
	return &fullFile{file}, err
}

type fullFile struct{ file }

func (f *fullFile) Write([]byte) (int, error) { return 0, fs.ErrClosed }

// The identity file of an earlier release has no first segment. The disk is read, and the
// first segment is added.
func TestIdentityOfEarlierRelease(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		p := newLogScenario(t, newSimulatedFolder(),
			expectedRecords{byID: map[uint64]map[string]bool{0xa: {}}, mayBeNew: true})
		p.open(0xa)
		p.write(3)
		if snapshot {
			p.snapshot()
		}
		must.NoError(t, p.log.writeAtomically(identityName, func(w *bufio.Writer) { fmt.Fprintf(w, "%x\n", p.log.id) }))
		expected := p.expected.byID[0xa]
		for range 2 {
			p.open(0xb)
			must.Eq(t, 0xa, p.log.id)
			must.Positive(t, p.log.firstSegment)
			for id := range expected {
				must.MapContainsKey(t, liveRecords(p.store), id)
			}
		}
	}
}

// If syncs fail at the start, not even reads are acknowledged until the torn end is
// truncated and the rest synced.
func TestUnsyncedTailAtStart(t *testing.T) {
	dir := t.TempDir()
	log, _ := openLog(t, dir)
	write(t, log, 0, 5)
	closeLog(log)
	path := lastLog(t, dir)
	whole, err := os.ReadFile(path)
	must.NoError(t, err)
	must.NoError(t, os.Truncate(path, int64(len(whole)-3)))
	faults := &diskFaults{attempts: make(chan struct{}, 1), failSyncs: true}
	log, store, err := openFolder(faultyFolder{osFolder(dir), faults}, 99, discardEvents)
	must.NoError(t, err)
	must.Eq(t, 4, len(liveRecords(store)))
	log.firstRetryDelay = time.Millisecond
	listener, done := newRecordingListener(log), atomic.Int64{}
	go log.Run(listener)
	must.Eq(t, "failed", <-listener.calls)
	log.Append(nil, func() { done.Add(1) }) // as for a read
	for range 3 {
		<-faults.attempts
	}
	must.Zero(t, done.Load())
	faults.mu.Lock()
	faults.failSyncs = false
	faults.mu.Unlock()
	must.Eq(t, "recovered", <-listener.calls)
	log.Close()
	must.Eq(t, 1, done.Load())
	info, err := os.Stat(path)
	must.NoError(t, err)
	must.Less(t, int64(len(whole)-3), info.Size())
}
