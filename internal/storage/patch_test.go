package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"otterchute/internal/statestore"

	"github.com/shoenig/test/must"
)

// cutStep is how many bytes apart a log is cut: no entry is that short.
const cutStep = 7

// versionValue is a record's value in some version: three segments, of which one changes.
func versionValue(version int) statestore.Segmented {
	head, middle, tail := "head of the job;", fmt.Sprintf("version %d;", version*version), "and its tail"
	return statestore.Segmented{
		Value: []byte(head + middle + tail),
		Ends:  []int{len(head), len(head) + len(middle), len(head) + len(middle) + len(tail)},
	}
}

func patchEntry(version int) statestore.Entry {
	splices, _ := statestore.Diff(versionValue(version-1), versionValue(version))
	return statestore.PatchEntry("east", statestore.Patch{
		ID: "j", Epoch: 1, Base: int64(version - 1), Version: int64(version),
		Splices: splices, Checksum: statestore.Checksum(versionValue(version).Value),
	})
}

// A log of a record and its patches, cut at any byte and with a snapshot between them, is
// read as a version that was written, whole, and the longer it is the newer.
func TestPatchesOutliveACutLog(t *testing.T) {
	for _, snapshotAt := range []int{0, 4} {
		dir := t.TempDir()
		d, st := opened(t, dir)
		for version := 1; version <= 8; version++ {
			entry := patchEntry(version)
			if version == 1 {
				record := statestore.Record{ID: "j", Epoch: 1, Version: 1, Live: true, Value: versionValue(1).Value}
				entry = statestore.Entry{Kind: statestore.EntryRecord, Name: "east", Record: record}
			}
			st.Apply(entry)
			must.NoError(t, d.commit([]job{{entries: []statestore.Entry{entry}, done: func() {}}}))
			if version == snapshotAt {
				must.NoError(t, d.commit([]job{{snapshot: true, entries: st.Dump()}}))
				d.snapshots.Wait()
			}
		}
		closed(d)
		name := lastLog(t, dir)
		whole, err := os.ReadFile(name)
		must.NoError(t, err)
		newest := int64(0)
		for cut := len(whole) % cutStep; cut <= len(whole); cut += cutStep {
			torn := t.TempDir()
			must.NoError(t, os.CopyFS(torn, os.DirFS(dir)))
			must.NoError(t, os.WriteFile(filepath.Join(torn, filepath.Base(name)), whole[:cut], 0o600))
			d, st, err := Open(torn, 77, quiet)
			if err != nil {
				continue // the head of the only segment is cut: the disk starts over
			}
			for _, r := range st.Shard("east").Live() {
				must.Eq(t, string(versionValue(int(r.Version)).Value), string(r.Value))
				must.GreaterEq(t, newest, r.Version)
				newest = r.Version
			}
			closed(d)
		}
		must.Eq(t, 8, newest)
	}
}
