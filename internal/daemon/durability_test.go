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

// killCore kills all core members at once and returns the function that restarts them.
func (b *platformWorld) killCore(power bool) (start func()) {
	var undo []func()
	for _, host := range b.disks() {
		undo = append(undo, b.kill(host, power))
	}
	return allOf(undo)
}

// readAllJobs reads the state of every accepted job once more, as callers may for as long as finished
// jobs are kept.
func (b *platformWorld) readAllJobs() {
	for _, id := range sortedKeys(b.jobs) {
		if j := b.jobs[id]; j.acked {
			b.readState(j)
			b.run(20)
		}
	}
	b.run(b.deployment.callTimeoutMs)
}

// Guards against finished jobs that are dropped too early. A job whose last end is reported right after
// the whole core restarted must end only once cluster time is known, as its retention is counted from
// its end.
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
			for _, name := range b.nodes[host].executor.node.store.ShardNames() {
				b.nodes[host].executor.node.store.Shard(name).EachFinished(func(r statestore.Record) {
					must.Greater(t, int64(wallStart), r.DoneMs, must.Sprint(host, " records ", r.ID, " as done at ", r.DoneMs))
				})
			}
		}
		b.run(12_000) // past the next check for expired jobs
		b.readAllJobs()
		for _, j := range jobs {
			must.True(t, !j.acked || j.state == "complete", must.Sprintf("job %s is reported as %s", j.id, j.state))
		}
		checkPlatformRun(t, b)
	}
}

const coreLossCISeeds = 4

// Guards against the loss of accepted jobs when the core loses power right after it accepted them, its
// disks stall, it is killed again and a member loses its disk. -seeds and -from choose the seeds.
func TestCoreLossDays(t *testing.T) {
	count := coreLossCISeeds
	if *seedsFlag > 0 {
		count = *seedsFlag
	}
	for i := range count {
		seed := *fromFlag + uint64(i)
		deploymentName := chosenDeployments()[seed%2]
		t.Run(fmt.Sprintf("%s-%d", deploymentName, seed), func(t *testing.T) {
			t.Parallel()
			b := formPlatform(t, seed, deploymentName)
			b.traffic()
			accepted := 1 + b.rng.IntN(40)
			b.onEvent = func(e platformEvent) {
				if e.kind != eventJobResponse || e.n >= 300 {
					return
				}
				if accepted--; accepted != 0 {
					return
				}
				b.onEvent = nil
				b.after(b.rng.Int64N(400_000), func() {
					b.after(400_000+b.rng.Int64N(1_600_000), b.killCore(true))
				})
			}
			b.run(6000)
			b.onEvent = nil
			for range 2 {
				platformFaults["slow disk"](b)
				b.run(5000)
			}
			b.after(300_000+b.rng.Int64N(1_000_000), b.killCore(b.chance(0.5)))
			b.run(6000)
			if b.completeCore() != nil {
				b.wipe(b.pickOne(b.disks()), b.chance(0.5), 300+b.rng.Int64N(2000))
			}
			b.run(8000)
			b.finish(120_000)
			b.readAllJobs()
			checkPlatformRun(t, b)
		})
	}
}

// Guards against an incomplete copy: a member that restarts numbers its chunks anew, so a new member
// that is copying from it must begin the copy again.
func TestCopyOutlivesARestart(t *testing.T) {
	w := formed(t, 6, "ikenna")
	const many, expired = 20_000, 8000
	source := w.nodes["d00"]
	for i := range many {
		source.disk.plant(finishedEntry("mid", i, wallStart+int64(i)*1000))
	}
	keepFrom := int64(wallStart + expired*1000)
	source.disk.plant(statestore.Entry{Kind: statestore.EntryExpire, Name: "mid", Epoch: uint64(keepFrom)})
	source.kill(false)
	source.start()
	sourceShard := source.executor.node.store.Shard("mid")
	firstChunk := sourceShard.FirstChunk()
	must.Greater(t, 3, firstChunk)
	kept := sourceShard.Finished()
	must.Greater(t, many-expired-1, kept)

	joiner := w.nodes["d02"]
	must.True(t, w.until(10_000, func() bool { return w.completeCore() != nil }))
	joiner.kill(true)
	joiner.wipe()
	joiner.start()
	copyChunk := func() uint64 {
		if at := joiner.executor.node.members.CopyCursor("d00"); at.Shard == "mid" {
			return at.Chunk
		}
		return 0
	}
	for end := w.nowMs() + 20_000; copyChunk() < firstChunk+3 && w.nowMs() < end; {
		w.step()
	}
	must.Greater(t, firstChunk, copyChunk())
	source.disk.entries, source.disk.synced = nil, 0 // as left by a snapshot
	source.disk.plant(source.executor.node.store.Dump()...)
	source.kill(false)
	source.start()
	must.Less(t, firstChunk, source.executor.node.store.Shard("mid").FirstChunk())
	must.True(t, w.until(30_000, func() bool { return w.completeCore() != nil }))
	must.Eq(t, kept, joiner.executor.node.store.Shard("mid").Finished())
}

// Guards against finished jobs that are dropped by a wrong clock: they expire by the time of a majority
// of the core, so an isolated member whose clock is a week ahead must drop nothing.
func TestRetentionUsesTheTimeOfAMajority(t *testing.T) {
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
	must.Eq(t, 100, member.executor.node.store.Shard("mid").Finished())
	member.skewMs = 0
	w.heal()
	w.run(25_000)
	for _, name := range []string{"d00", "d01"} {
		must.Eq(t, 100, w.nodes[name].executor.node.store.Shard("mid").Finished(), must.Sprint(name))
	}
	for _, name := range sortedKeys(w.nodes) { // once a week has passed they are dropped
		w.nodes[name].skewMs = week
	}
	w.run(30_000)
	for _, name := range []string{"d00", "d01"} {
		must.Zero(t, w.nodes[name].executor.node.store.Shard("mid").Finished(), must.Sprint(name))
	}
}

// Guards against a job state read from the core that goes back behind an end that was already reported.
// If one member has the job as finished and another as live, the remaining members must decide.
func TestStateFromCoreDoesNotGoBack(t *testing.T) {
	w := formed(t, 4, "ikenna")
	n := w.nodes["d05"].executor.node
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
		{3, [][]statestore.Record{live, finished, live}, "running"}, // that end cannot have been reported
		{3, [][]statestore.Record{live, live}, "running"},
		{3, [][]statestore.Record{finished, finished}, "complete"},
		{3, [][]statestore.Record{finished, live}, ""},
		{2, [][]statestore.Record{finished, live}, ""}, // a member that left since and this one may have reported the end
		{2, [][]statestore.Record{live, live}, "running"},
		{4, [][]statestore.Record{live, finished, live}, ""},
		{4, [][]statestore.Record{live, finished, finished, live}, ""}, // here it may have been reported before the set grew
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
			must.Eq(t, "", state, must.Sprint("replied before record set ", i))
			head := wire.Header{From: fmt.Sprint("d0", i), To: n.Instance}
			for _, e := range reduce(n, event{NowMs: n.now, WallMs: n.wall, Body: evMsg{Head: head, Msg: &wire.FetchResponse{Op: op, Records: records}}}) {
				if r, ok := e.(effReply); ok {
					state = gjson.GetBytes(r.Body, "state").Str
				}
			}
		}
		must.Eq(t, c.want, state, must.Sprint(len(c.answers), " replies"))
		delete(n.quorumReads, op)
	}
}
