package daemon

import (
	"testing"

	"github.com/shoenig/test/must"
)

// placedAtWorker gives all tasks that owners have at a worker now.
func (b *platformWorld) placedAtWorker(worker string) map[taskRef]bool {
	placed := map[taskRef]bool{}
	for _, n := range b.nodesInOrder() {
		if !n.up {
			continue
		}
		for _, name := range sortedKeys(n.sh.node.shards) {
			for _, ref := range n.sh.node.shards[name].tasksPlacedOn(worker) {
				placed[ref] = true
			}
		}
	}
	return placed
}

// A worker whose machine is cut off, or that falls silent itself, gets no new work soon
// after, long before it is sure that it is gone; what waits there goes elsewhere.
func TestQuietWorkerGetsNoNewWork(t *testing.T) {
	for seed := range uint64(4) {
		b := formPlatform(t, 7400+seed, []string{"hakata", "ikenna"}[seed%2])
		b.traffic()
		b.run(3000)
		s := b.worker(int(seed))
		if seed < 2 {
			b.after(2_500_000, b.cut(s.node.Name))
		} else {
			b.crashFor(s, 2500)
		}
		worker := s.id
		b.run(quietMs + 2*tickMs + 50)
		before := b.placedAtWorker(worker)
		b.run(1500)
		for ref := range b.placedAtWorker(worker) {
			must.MapContainsKey(t, before, ref, must.Sprintf("seed %d: %v was placed at a quiet worker", seed, ref))
		}
		b.finish(120_000)
		verdictOfPlatform(t, b)
	}
}
