package daemon

import (
	"fmt"
	"testing"

	"otterchute/internal/quorum"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// killCore ends all core members at once and gives what starts them again.
func (b *platformWorld) killCore(power bool) (start func()) {
	var undo []func()
	for _, host := range b.disks() {
		undo = append(undo, b.kill(host, power))
	}
	return allOf(undo)
}

// lookAtAll asks once more for the state of every accepted job, as callers may
// for as long as finished jobs are kept.
func (b *platformWorld) lookAtAll() {
	for _, id := range sortedKeys(b.jobs) {
		if j := b.jobs[id]; j.acked {
			b.look(j)
			b.run(20)
		}
	}
	b.run(b.deployment.callerMs)
}

// A job whose last run is told right after the whole core came back ends only
// once the fleet's time is known: how long it is kept is counted from then.
func TestJobEndsWhileTimeIsUnknown(t *testing.T) {
	for seed := range uint64(4) {
		b := formPlatform(t, 7100+seed, chosenDeployments()[seed%2])
		var jobs []*platformJob
		for range 12 {
			jobs = append(jobs, b.submit(b.simple(2, 1, amounts{b.deployment.capacity[0] / 32, b.deployment.capacity[1] / 32}, 1200)))
		}
		b.run(900)
		start := b.killCore(true)
		b.run(600)
		start()
		ended := func() bool {
			for _, j := range jobs {
				if j.acked && !j.final() {
					return false
				}
			}
			return true
		}
		must.True(t, b.until(20_000, ended))
		for _, host := range b.disks() {
			for _, name := range b.nodes[host].sh.node.store.ShardNames() {
				b.nodes[host].sh.node.store.Shard(name).EachFinished(func(r statestore.Record) {
					must.Greater(t, int64(wallStart), r.DoneMs, must.Sprint(host, " keeps ", r.ID, " as done at ", r.DoneMs))
				})
			}
		}
		b.run(12_000) // past the next look for what was kept long enough
		b.lookAtAll()
		for _, j := range jobs {
			must.True(t, !j.acked || j.state == "complete", must.Sprintf("job %s is told as %s", j.id, j.state))
		}
		verdictOfPlatform(t, b)
	}
}

const coreLossCISeeds = 4

// TestCoreLossDays plays days on which the core loses power right after jobs were
// accepted, its disks stall, it is killed again, and a member loses its disk.
// With -seeds and -from on so many and those seeds.
func TestCoreLossDays(t *testing.T) {
	count := coreLossCISeeds
	if *seedsFlag > 0 {
		count = *seedsFlag
	}
	for i := range count {
		seed := *fromFlag + uint64(i)
		site := chosenDeployments()[seed%2]
		t.Run(fmt.Sprintf("%s-%d", site, seed), func(t *testing.T) {
			t.Parallel()
			b := formPlatform(t, seed, site)
			b.traffic()
			accepted := 1 + b.rng.IntN(40)
			b.onSee = func(e platformEvent) {
				if e.kind != bJobTried || e.n >= 300 {
					return
				}
				if accepted--; accepted != 0 {
					return
				}
				b.onSee = nil
				b.after(b.rng.Int64N(400_000), func() {
					b.after(400_000+b.rng.Int64N(1_600_000), b.killCore(true))
				})
			}
			b.run(6000)
			b.onSee = nil
			for range 2 {
				platformFaults["slow disk"](b)
				b.run(5000)
			}
			b.after(300_000+b.rng.Int64N(1_000_000), b.killCore(b.share(0.5)))
			b.run(6000)
			if b.coreWhole() != nil {
				b.wipe(b.some(b.disks()), b.share(0.5), 300+b.rng.Int64N(2000))
			}
			b.run(8000)
			b.finish(120_000)
			b.lookAtAll()
			verdictOfPlatform(t, b)
		})
	}
}

// A member that restarts while a new one copies it numbers its chunks anew: the
// copy begins again there, so that it leaves nothing out.
func TestCopyOutlivesARestart(t *testing.T) {
	w := formed(t, 6, "ikenna")
	const many, gone = 20_000, 8000
	source := w.nodes["d00"]
	for i := range many {
		source.disk.plant(finishedEntry("mid", i, wallStart+int64(i)*1000))
	}
	keepFrom := int64(wallStart + gone*1000)
	source.disk.plant(statestore.Entry{Kind: statestore.EntryExpire, Name: "mid", Epoch: uint64(keepFrom)})
	source.kill(false)
	source.start()
	past := source.sh.node.store.Shard("mid")
	firstChunk := past.FirstChunk()
	must.Greater(t, 3, firstChunk)
	kept := past.Finished()
	must.Greater(t, many-gone-1, kept)

	joiner := w.nodes["d02"]
	must.True(t, w.until(10_000, func() bool { return w.coreWhole() != nil }))
	joiner.kill(true)
	joiner.wipe()
	joiner.start()
	asked := func() uint64 {
		if at := joiner.sh.node.members.CopyCursor("d00"); at.Shard == "mid" {
			return at.Chunk
		}
		return 0
	}
	for end := w.nowMs() + 20_000; asked() < firstChunk+3 && w.nowMs() < end; {
		w.step()
	}
	must.Greater(t, firstChunk, asked())
	source.disk.entries, source.disk.synced = nil, 0 // as after a snapshot
	source.disk.plant(source.sh.node.store.Dump()...)
	source.kill(false)
	source.start()
	must.Less(t, firstChunk, source.sh.node.store.Shard("mid").FirstChunk())
	must.True(t, w.until(30_000, func() bool { return w.coreWhole() != nil }))
	must.Eq(t, kept, joiner.sh.node.store.Shard("mid").Finished())
}

// Finished jobs go only by a time that a majority of the core tells: a member that
// is cut off and whose clock runs a week ahead drops nothing.
func TestKeepingNeedsTheTimeOfAMajority(t *testing.T) {
	w := formed(t, 4, "ikenna")
	w.run(3000)
	member := w.nodes["d01"]
	const week = 7 * 24 * msPerHour
	for _, name := range []string{"d00", "d01"} {
		for i := range 100 {
			w.nodes[name].disk.plant(finishedEntry("mid", i, wallStart+int64(i)))
		}
		w.nodes[name].kill(false)
	}
	w.cutHost("d01")
	member.skewMs = week
	w.nodes["d00"].start()
	member.start()
	w.run(25_000)
	must.Eq(t, 100, member.sh.node.store.Shard("mid").Finished())
	member.skewMs = 0
	w.heal()
	w.run(25_000)
	for _, name := range []string{"d00", "d01"} {
		must.Eq(t, 100, w.nodes[name].sh.node.store.Shard("mid").Finished(), must.Sprint(name))
	}
	for _, name := range sortedKeys(w.nodes) { // once a week has passed they go
		w.nodes[name].skewMs = week
	}
	w.run(30_000)
	for _, name := range []string{"d00", "d01"} {
		must.Zero(t, w.nodes[name].sh.node.store.Shard("mid").Finished(), must.Sprint(name))
	}
}

// A state from the core tells an end that was told before: where one member holds the
// job as finished and another as live, only those who have not answered yet can say.
func TestStateFromCoreDoesNotGoBack(t *testing.T) {
	w := formed(t, 4, "ikenna")
	n := w.nodes["d05"].sh.node
	held := func(state jobStatus, version, doneMs int64) []statestore.Record {
		j := &jobRecord{ID: "j", Queue: "q", State: state, Version: version, DoneMs: doneMs}
		return []statestore.Record{{ID: "j", Epoch: 1, Version: version, Live: doneMs == 0, DoneMs: doneMs, Value: j.encode()}}
	}
	live, finished := held(jobRunning, 3, 0), held(jobComplete, 5, wallStart)
	full := n.core
	for _, c := range []struct {
		members int
		answers [][]statestore.Record
		want    string
	}{
		{3, [][]statestore.Record{finished, live, finished}, "complete"},
		{3, [][]statestore.Record{live, finished, finished}, "complete"},
		{3, [][]statestore.Record{live, finished, live}, "running"}, // nobody can have been told of that end
		{3, [][]statestore.Record{live, live}, "running"},
		{3, [][]statestore.Record{finished, finished}, "complete"},
		{3, [][]statestore.Record{finished, live}, ""},
		{2, [][]statestore.Record{finished, live}, ""}, // it may have been told by who left since, and this member
		{2, [][]statestore.Record{live, live}, "running"},
		{4, [][]statestore.Record{live, finished, live}, ""},
		{4, [][]statestore.Record{live, finished, finished, live}, ""}, // and here before the set grew
		{4, [][]statestore.Record{finished, live, finished, finished}, "complete"},
	} {
		n.effects, n.core = nil, full
		if c.members < len(full.Members) {
			n.core.Members = full.Members[:c.members]
		} else if c.members > len(full.Members) {
			n.core = full.With(quorum.Member{Name: "d03", DiskID: 1})
		}
		n.coreReads.add(retryBudgetMax)
		n.readFromCore(&request{id: 7, op: "job.get", key: "j", receivedMs: n.now}, "no owner")
		op, state := n.opSeq, ""
		for i, records := range c.answers {
			must.Eq(t, "", state, must.Sprint("answered before ", i))
			head := wire.Header{From: fmt.Sprint("d0", i), To: n.Instance}
			for _, e := range reduce(n, event{NowMs: n.now, WallMs: n.wall, Body: evMsg{Head: head, Msg: &wire.FetchResponse{Op: op, Records: records}}}) {
				if r, ok := e.(effReply); ok {
					state = gjson.GetBytes(r.Body, "state").Str
				}
			}
		}
		must.Eq(t, c.want, state, must.Sprint(len(c.answers), " answers"))
		delete(n.quorumReads, op)
	}
}
