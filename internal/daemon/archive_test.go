package daemon

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"otterchute/internal/quorum"
	"otterchute/internal/statestore"
	"otterchute/internal/storage"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

var dayFlag = flag.Int("day", 0, "finished jobs in TestMeasureDay; 0 to leave it out")

// recordsIn returns the number of live and finished jobs in a shard.
func recordsIn(st *statestore.Store, shard string) int {
	replica := st.Shard(shard)
	return len(replica.Live()) + replica.Finished()
}

func finishedEntry(slice string, i int, doneMs int64) statestore.Entry {
	j := &jobRecord{ID: fmt.Sprintf("confirm-17999990-%07d", i), Queue: "confirm", Digest: make([]byte, 16), SubmitMs: doneMs - 500, State: jobComplete, DoneMs: doneMs, Version: 9}
	return statestore.Entry{Kind: statestore.EntryRecord, Name: slice, Record: statestore.Record{ID: j.ID, Epoch: 3, Version: 9, DoneMs: doneMs, Confirmed: true, Value: j.encode()}}
}

// Guards against copy messages that grow with the number of finished jobs: a replaced member must copy
// them in parts, and have every one of them afterwards.
func TestCopyInParts(t *testing.T) {
	w := formed(t, 6, "ikenna")
	const many = 20_000
	for _, name := range []string{"d00", "d01", "d02"} {
		for i := range many {
			w.nodes[name].executor.node.store.Apply(finishedEntry("mid", i, wallStart+int64(i)))
		}
	}
	n := w.nodes["d02"]
	n.kill(true)
	n.wipe()
	n.start()
	w.largestFrame = 0
	must.True(t, w.until(30_000, func() bool { return w.completeCore() != nil }))
	must.GreaterEq(t, many, recordsIn(n.executor.node.store, "mid"))
	must.Less(t, 3*statestore.ChunkBytes, w.largestFrame)
}

// Guards against live jobs of a shard that don't fit into the one message in which a new owner gets
// them: beyond a bound in bytes jobs are rejected, and a takeover still works.
func TestLargeLiveJobsAreBounded(t *testing.T) {
	w := formed(t, 6, "hakata")
	big := w.oneTask("refresh", 100, 1, 5000, 1)
	big.DelayMs = 3_600_000
	big.Steps[0].Tasks[0].Payload = map[string]string{"list": string(make([]byte, 100_000))} // six times as large in JSON
	for range 160 {
		w.submit(big)
		w.run(50)
	}
	w.run(4000)
	rejected := 0
	for _, j := range w.jobs {
		if !j.acked {
			rejected++
		}
	}
	must.Positive(t, rejected)
	n := w.holderOf("slice/east")
	n.kill(false)
	must.True(t, w.until(8000, func() bool {
		h := w.holderOf("slice/east")
		return h != nil && h.executor.node.shards["east"].serving
	}))
	must.Less(t, wire.MaxFrame, w.largestFrame)
}

// TestMeasureDay measures the memory and time that a day's jobs cost a core member.
func TestMeasureDay(t *testing.T) {
	if *dayFlag == 0 {
		t.Skip("only with -day")
	}
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / 1e6
	}
	slices := []string{"east", "mid", "west"}
	before, dir := heap(), t.TempDir()
	d, st, err := storage.Open(dir, 77, discardLog)
	must.NoError(t, err)
	go d.Run(diskListener{func(func(*executor)) {}})
	for i := range *dayFlag {
		st.Apply(finishedEntry(slices[i%3], i, wallStart+int64(i)*90))
	}
	t.Logf("%d finished jobs: %.0f MB of heap, %.0f bytes each, %d bytes on disk", *dayFlag, heap()-before, (heap()-before)*1e6/float64(*dayFlag), st.Size())
	took := func(what string, do func()) {
		began := time.Now()
		do()
		t.Logf("%s: %.1f ms", what, float64(time.Since(began).Microseconds())/1000)
	}
	var dump []statestore.Entry
	took("dump for a snapshot, on the control loop", func() { dump = st.Dump() })
	took("snapshot written concurrently", func() {
		d.Snapshot(dump)
		d.Close()
	})
	n := newNode(nodeConfig{Name: "d00"}, st)
	n.core = quorum.Set{Cluster: 1, Version: 1, Members: []quorum.Member{{Name: "d00", DiskID: 0}}}
	st.Apply(statestore.Entry{Kind: statestore.EntryFormationVote, Value: quorum.Set{Cluster: 1}.Encode()})
	took("seal", func() { n.onSealRequest("d01", &wire.SealRequest{SetVersion: 1, Shard: "east", Epoch: 9}) })
	took("a part of a copy", func() {
		n.onCopyRequest("d01", &wire.CopyRequest{SetVersion: 1, Cursor: statestore.Cursor{Shard: "mid", Chunk: 5, Instance: n.Instance}})
	})
	took("expiry of an hour", func() {
		for _, s := range slices {
			st.Apply(statestore.Entry{Kind: statestore.EntryExpire, Name: s, Epoch: uint64(wallStart + 3_600_000)})
		}
	})
	took("start from the snapshot", func() { _, st, err = storage.Open(dir, 77, discardLog) })
	must.Eq(t, *dayFlag, recordsIn(st, "east")+recordsIn(st, "mid")+recordsIn(st, "west"))
}
