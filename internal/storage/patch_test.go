package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"otterchute/internal/statestore"

	"github.com/shoenig/test/must"
)

// cutStep is the distance between two truncated lengths of a log, in bytes. Every entry is
// longer.
const cutStep = 7

// versionValue returns a record's value in some version: three segments, one of which changes.
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

// A truncated log of a record and its patches, with or without a snapshot among them, yields
// one of the written versions, and a longer log no older one.
func TestPatchesInTruncatedLog(t *testing.T) {
	for _, snapshotAt := range []int{0, 4} {
		dir := t.TempDir()
		log, store := openLog(t, dir)
		for version := 1; version <= 8; version++ {
			entry := patchEntry(version)
			if version == 1 {
				record := statestore.Record{ID: "j", Epoch: 1, Version: 1, Live: true, Value: versionValue(1).Value}
				entry = statestore.Entry{Kind: statestore.EntryRecord, Name: "east", Record: record}
			}
			store.Apply(entry)
			must.NoError(t, log.commit([]operation{{entries: []statestore.Entry{entry}, done: func() {}}}))
			if version == snapshotAt {
				must.NoError(t, log.commit([]operation{{snapshot: true, entries: store.Dump()}}))
				log.snapshots.Wait()
			}
		}
		closeLog(log)
		name := lastLog(t, dir)
		whole, err := os.ReadFile(name)
		must.NoError(t, err)
		newest := int64(0)
		for cut := len(whole) % cutStep; cut <= len(whole); cut += cutStep {
			torn := t.TempDir()
			must.NoError(t, os.CopyFS(torn, os.DirFS(dir)))
			must.NoError(t, os.WriteFile(filepath.Join(torn, filepath.Base(name)), whole[:cut], 0o600))
			log, store, err := Open(torn, 77, discardEvents)
			if err != nil {
				continue // the start of the only segment is truncated: the disk begins again
			}
			for _, r := range store.Shard("east").Live() {
				must.Eq(t, string(versionValue(int(r.Version)).Value), string(r.Value))
				must.GreaterEq(t, newest, r.Version)
				newest = r.Version
			}
			closeLog(log)
		}
		must.Eq(t, 8, newest)
	}
}
