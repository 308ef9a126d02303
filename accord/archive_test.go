package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var dayFlag = flag.Int("day", 0, "finished jobs in TestMeasureDay; 0 to leave it out")

// records counts what can be found of a slice.
func (s *store) records(slice string) int {
	x := s.slice(slice)
	return len(x.live) + len(x.past.index)
}

func finishedEntry(slice string, i int, doneMs int64) logEntry {
	j := &job{ID: fmt.Sprintf("confirm-17999990-%07d", i), Queue: "confirm", Digest: make([]byte, 16), SubmitMs: doneMs - 500, State: jobComplete, DoneMs: doneMs, Version: 9}
	return logEntry{Kind: entryRecord, Name: slice, Rec: record{ID: j.ID, Epoch: 3, Version: 9, DoneMs: doneMs, Settled: true, Value: j.kept()}}
}

// The archive says what a plain map would, over puts, newer puts and drops, and
// so does a store that was built again from its dump or from a copy in parts.
func TestArchiveIsAMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	st, plain := newStore(), map[string]record{}
	doneMs := int64(1000)
	for i := range 30_000 {
		doneMs += rng.Int64N(400)
		e := finishedEntry("east", rng.IntN(20_000), doneMs)
		e.Rec.Version, e.Rec.Settled = int64(i), i%5 != 0
		plain[e.Rec.ID] = e.Rec
		st.apply(e)
		if i%7000 == 6999 {
			st.apply(logEntry{Kind: entryDrop, Name: "east", Epoch: uint64(doneMs - 900_000)})
		}
	}
	must.Greater(t, 3, len(st.slice("east").past.chunks))
	whole, parts := newStore(), newStore()
	for _, e := range st.dump() {
		whole.apply(e)
	}
	steps := 0
	for c := (copyCursor{}); ; steps++ {
		part, next := st.part(c, chunkBytes)
		for _, e := range part {
			must.LessEq(t, 2*chunkBytes, len(e.Value))
			parts.apply(e)
		}
		if next.Slice == "" {
			break
		}
		c = next
	}
	must.Greater(t, 3, steps)
	oldest := doneMs - 900_000
	for id, r := range plain {
		got, ok := st.slice("east").get(id)
		if !ok {
			must.Less(t, oldest, r.DoneMs, must.Sprint(id, " is lost"))
		} else {
			must.Eq(t, r.Version, got.Version)
			must.Eq(t, r.Value, got.Value)
		}
		for _, other := range []*store{whole, parts} {
			o, also := other.slice("east").get(id)
			must.Eq(t, ok, also)
			must.Eq(t, got.Version, o.Version)
		}
	}
	must.Eq(t, st.slice("east").unsure, whole.slice("east").unsure)
	must.Eq(t, st.slice("east").unsure, parts.slice("east").unsure)
}

// A replaced member copies many finished jobs in parts: no message grows with
// them, and each can be found there afterwards.
func TestCopyInParts(t *testing.T) {
	w := formed(t, 6, "ikenna")
	const many = 20_000
	for _, name := range []string{"d00", "d01", "d02"} {
		for i := range many {
			w.nodes[name].sh.n.store.apply(finishedEntry("mid", i, wallStart+int64(i)))
		}
	}
	n := w.nodes["d02"]
	n.kill(true)
	n.wipe()
	n.start()
	w.largest = 0
	must.True(t, w.until(30_000, func() bool { return w.coreWhole() != nil }))
	must.GreaterEq(t, many, n.sh.n.store.records("mid"))
	must.Less(t, 3*chunkBytes, w.largest)
}

// A slice's live jobs are bounded in bytes too, since a new owner gets them in
// one message: beyond that jobs are bounced, and a takeover still works.
func TestLargeLiveJobsAreBounded(t *testing.T) {
	w := formed(t, 6, "hakata")
	big := w.oneTask("refresh", 100, 1, 5000, 1)
	big.DelayMs = 3_600_000
	big.Steps[0].Tasks[0].Payload = map[string]string{"list": string(make([]byte, 100_000))} // six times that as JSON
	for range 160 {
		w.submit(big)
		w.run(50)
	}
	w.run(4000)
	bounced := 0
	for _, j := range w.jobs {
		if !j.acked {
			bounced++
		}
	}
	must.Positive(t, bounced)
	n := w.holderOf("slice/east")
	n.kill(false)
	must.True(t, w.until(8000, func() bool {
		h := w.holderOf("slice/east")
		return h != nil && h.sh.n.owned["east"].serving
	}))
	must.Less(t, frameMax, w.largest)
}

// What a day's jobs cost a core member, on this machine.
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
	d, st := opened(t, dir)
	for i := range *dayFlag {
		st.apply(finishedEntry(slices[i%3], i, wallStart+int64(i)*90))
	}
	t.Logf("%d finished jobs: %.0f MB of heap, %.0f bytes each, %d bytes on disk", *dayFlag, heap()-before, (heap()-before)*1e6/float64(*dayFlag), st.bytes())
	took := func(what string, do func()) {
		began := time.Now()
		do()
		t.Logf("%s: %.1f ms", what, float64(time.Since(began).Microseconds())/1000)
	}
	var dump []logEntry
	took("dump for a snapshot, on the control thread", func() { dump = st.dump() })
	took("snapshot written beside it", func() { must.NoError(t, d.commit([]diskJob{{snapshot: true, entries: dump}})); d.shots.Wait() })
	n := newNode(place{Name: "d00"}, st)
	n.core = coreSet{Cluster: 1, Version: 1, Members: []coreMember{{"d00", 0}}}
	st.cluster = 1
	took("seal", func() { n.onSeal("d01", &sealMsg{CoreVer: 1, Slice: "east", Epoch: 9}) })
	took("a part of a copy", func() { n.onCopy("d01", &copyMsg{CoreVer: 1, At: copyCursor{Slice: "mid", Chunk: 5, Life: n.Life}}) })
	took("drop of an hour", func() {
		for _, s := range slices {
			st.apply(logEntry{Kind: entryDrop, Name: s, Epoch: uint64(wallStart + 3_600_000)})
		}
	})
	closed(d)
	took("start from the snapshot", func() { d, st = opened(t, dir) })
	must.Eq(t, *dayFlag, st.records("east")+st.records("mid")+st.records("west"))
	closed(d)
}
