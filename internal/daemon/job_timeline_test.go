package daemon

import (
	"encoding/json"
	"testing"

	"otterchute/internal/jobtrace"

	"github.com/shoenig/test/must"
)

// explain returns a job's timeline as `otterchute job explain` gets it from an edge daemon.
func (b *platformWorld) explain(t *testing.T, id string) (timeline jobTimeline, status int) {
	t.Helper()
	got := b.callAndWait(b.nodes[b.edgeHosts[len(b.edgeHosts)-1]], evRequest{Op: "job.explain", Key: id, Base: -1}, 3000)
	if got.status == 200 {
		must.NoError(t, json.Unmarshal([]byte(got.body), &timeline), must.Sprint(got.body))
	}
	return timeline, got.status
}

// A completed job's timeline has its stages, whose times sum up to no more than the total, and the
// histograms have every stage.
func TestExplainTimeline(t *testing.T) {
	b := formPlatform(t, 11, "ikenna")
	b.traffic()
	b.run(12_000)
	explained, observed := 0, 0
	for _, id := range sortedKeys(b.jobs) {
		if b.jobs[id].state != "complete" {
			continue
		}
		got, status := b.explain(t, id)
		must.Eq(t, 200, status)
		if got.KnownSince != sinceAccepted || got.State != "complete" {
			continue // only the most recent timelines are kept
		}
		explained++
		must.NotEq(t, "", got.Owner)
		must.Positive(t, got.Epoch)
		total := got.StageMs[jobtrace.Total.String()]
		must.Positive(t, total)
		for _, task := range got.Tasks {
			if task.StageMs[jobtrace.Run.String()] > 0 { // unknown for an attempt whose start was not observed
				observed++
			}
			sum := int64(0)
			for _, ms := range task.StageMs {
				sum += ms
			}
			must.LessEq(t, total, sum, must.Sprintf("%s: %+v", id, task))
			if task.Class == "queueable" {
				must.Positive(t, task.Candidates)
			}
		}
	}
	must.Greater(t, 20, explained)
	must.Greater(t, explained, observed)
	seen := map[jobtrace.Stage]uint64{}
	for _, name := range sortedKeys(b.nodes) {
		stages := b.nodes[name].executor.node.stages.Snapshot()
		for key, h := range stages {
			seen[key.Stage] += h.Count()
		}
	}
	for stage := jobtrace.Admit; stage <= jobtrace.Total; stage++ {
		must.Positive(t, seen[stage], must.Sprint(stage))
	}
}

// After a takeover the new owner reports what it saw, and that the timeline is incomplete.
func TestExplainAfterTakeover(t *testing.T) {
	b := formPlatform(t, 12, "hakata")
	lasting := b.lastingJob()
	b.submit(lasting)
	b.run(4000)
	before, status := b.explain(t, lasting.id)
	must.Eq(t, 200, status)
	must.Eq(t, sinceAccepted, before.KnownSince)
	owner := b.holderOf("slice/" + before.Shard)
	must.Eq(t, before.Owner, owner.Name)
	b.kill(owner.Name, false)
	must.True(t, b.until(15_000, func() bool {
		after := b.holderOf("slice/" + before.Shard)
		return after != nil && after.Name != before.Owner && after.executor.node.shards[before.Shard].serving
	}))
	after, status := b.explain(t, lasting.id)
	must.Eq(t, 200, status)
	must.Eq(t, sinceTakeover, after.KnownSince)
	must.Greater(t, before.Epoch, after.Epoch)
	must.Eq(t, len(before.Tasks), len(after.Tasks))
	_, status = b.explain(t, "no-such-job")
	must.Eq(t, 404, status)
}
