package daemon

import (
	"testing"

	"github.com/shoenig/test/must"
)

// placedAtWorker returns all tasks that owners have placed on a worker now.
func (b *platformWorld) placedAtWorker(worker string) map[taskRef]bool {
	placed := map[taskRef]bool{}
	for _, n := range b.sortedNodes() {
		if !n.up {
			continue
		}
		for _, name := range sortedKeys(n.executor.node.shards) {
			for _, ref := range n.executor.node.shards[name].tasksPlacedOn(worker) {
				placed[ref] = true
			}
		}
	}
	return placed
}

// Guards against tasks that are placed on a worker that is cut off or has crashed: placements must stop
// soon after its last heartbeat, long before it is declared lost.
func TestQuietWorkerGetsNoNewWork(t *testing.T) {
	for seed := range uint64(4) {
		b := formPlatform(t, 7400+seed, []string{"hakata", "ikenna"}[seed%2])
		b.traffic()
		b.run(3000)
		s := b.worker(int(seed))
		if seed < 2 {
			b.after(2_500_000, b.cut(s.node.Name))
		} else {
			b.crashAndReplace(s, 2500)
		}
		worker := s.id
		b.run(quietMs + 2*tickMs + 50)
		before := b.placedAtWorker(worker)
		b.run(1500)
		for ref := range b.placedAtWorker(worker) {
			must.MapContainsKey(t, before, ref, must.Sprintf("seed %d: %v was placed on a silent worker", seed, ref))
		}
		b.finish(120_000)
		checkPlatformRun(t, b)
	}
}
