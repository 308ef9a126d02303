package daemon

import (
	"maps"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against tasks that start at a worker by the labels or the service of the worker that had its
// address before.
func TestWorkerComesBackForAnotherService(t *testing.T) {
	eachRequirementSeed(t, []string{"hakata", "ikenna"}, func(t *testing.T, b *platformWorld) {
		b.traffic()
		for range 12 { // enough tasks for each worker to have some
			b.submit(b.simple(1, 2*len(b.workerHosts), amounts{b.deployment.capacity[0] / 4, 100}, 4000))
		}
		b.run(2000)
		others := b.someWorkers(0.4)
		former := map[*platformWorker]map[string]string{}
		for _, s := range others {
			former[s] = s.labels
			s.crash()
			s.labels = maps.Clone(s.labels)
			s.labels["service"] = "elsewhere"
			if b.chance(0.5) { // restarted at once, before its absence is noticed
				s.start()
			} else {
				b.after(b.rng.Int64N(1_500_000), s.start)
			}
		}
		b.run(6000)
		for _, s := range others {
			must.MapEmpty(t, s.runs, must.Sprint(s.id))
			must.Eq(t, 0, s.endSeq, must.Sprint("no task has ended there either"))
			s.crash()
			s.labels = former[s]
			s.start()
		}
		b.run(4000)
		used := 0
		for _, s := range others {
			used += len(s.runs) + int(s.endSeq)
		}
		must.Positive(t, used, must.Sprint("the workers must serve the queues again"))
		b.finish(120_000)
		checkPlatformRun(t, b)
	})
}
