package daemon

import (
	"testing"

	"otterchute/internal/scheduler"

	"github.com/shoenig/test/must"
)

// failTasksOf makes workers fail a share of their tasks for some ms, while they appear healthy.
func (b *platformWorld) failTasksOf(workers []*platformWorker, share float64, ms int64) {
	for _, s := range workers {
		calm := b.beginWorkerFault("failing", s)
		s.failureRate = share
		b.after(ms*1000, func() {
			s.failureRate = 0
			calm()
		})
	}
}

// failingWorkersDay simulates a day on which a tenth of the workers fail 80 percent of their tasks for 7 s, then 40
// percent for another 7 s. It returns how many jobs that could succeed failed, of how many, and how often
// healthy workers were ejected.
func failingWorkersDay(b *platformWorld) (failed, jobs int, falseEjections int64) {
	b.traffic()
	b.run(5000)
	failing := b.someWorkers(0.1)
	b.failTasksOf(failing, 0.8, 7000)
	b.run(7000)
	b.failTasksOf(failing, 0.4, 7000)
	b.run(12_000)
	b.finish(60_000)
	for _, j := range b.jobs {
		if j.acked && !j.cancelled && !j.lasting() && !j.hopeless() {
			jobs++
			if j.state == "failed" {
				failed++
			}
		}
	}
	isFailing := map[string]bool{}
	for _, s := range failing {
		isFailing[s.node.Name] = true
	}
	for _, host := range b.workerHosts {
		if n := b.nodes[host]; n.up && !isFailing[host] {
			falseEjections += n.executor.node.counts["workers_ejected"]
		}
	}
	return failed, jobs, falseEjections
}

// Guards against jobs lost to workers that fail their tasks while they appear healthy: agents must detect
// them after a few failed attempts, and retries must go to other workers.
func TestGreyWorkersCostFewJobs(t *testing.T) {
	eachRequirementSeed(t, []string{"hakata-grown", "ikenna-grown"}, func(t *testing.T, b *platformWorld) {
		failed, jobs, falseEjections := failingWorkersDay(b)
		t.Logf("%d of %d jobs failed; healthy workers were ejected %d times", failed, jobs, falseEjections)
		must.LessEq(t, jobs/100, failed, must.Sprintf("of %d jobs", jobs))
		must.LessEq(t, 3, falseEjections)
		checkPlatformRun(t, b)
	})
}

// Without ejection the same day costs many more jobs, so the test above detects a missing policy.
func TestGreyWorkersWithoutEjection(t *testing.T) {
	b := formPlatform(t, 7300, "hakata-grown")
	off, err := scheduler.ParseSet("eject_unhealthy,avoid_last")
	must.NoError(t, err)
	for _, n := range b.nodes {
		n.executor.node.Policies = off
	}
	failed, jobs, _ := failingWorkersDay(b)
	must.Greater(t, jobs/100, failed, must.Sprintf("of %d jobs", jobs))
}
