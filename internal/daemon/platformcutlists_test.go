package daemon

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// A worker lists at most 500 ends in a heartbeat, the first ones first. The scenarios here end more runs than that
// while a worker's daemon, or its connection, is gone.

// reserveWorker gives a worker a label that no other has.
func (b *platformWorld) reserveWorker(w *platformWorker) map[string]string {
	w.labels["reserved"] = w.node.Name
	return map[string]string{"reserved": w.node.Name}
}

// submitSmallTasks submits jobs with the given number of small tasks in all, at workers with the labels.
func (b *platformWorld) submitSmallTasks(labels map[string]string, tasks int, workMs float64) {
	const widest, perWorker = 400, 3200
	room := amounts{b.deployment.capacity[0] / perWorker, b.deployment.capacity[1] / perWorker}
	for ; tasks > 0; tasks -= widest {
		job := b.simple(1, min(tasks, widest), room, workMs)
		job.steps[0].labels = labels
		b.submit(job)
	}
}

// endSoon lets all runs at a worker end successfully within some 100 ms, but for those that last.
func (w *platformWorker) endSoon() {
	for _, name := range w.runNames() {
		if w.runs[name].step.lasting {
			continue
		}
		execution := w.runs[name].execution
		execution.updateProgress()
		execution.workMs = execution.doneMs + 50 + 50*w.b.rng.Float64()
		execution.scheduleNext()
	}
}

// TestPlatformRestartBesideManyEnds guards against tasks that are run again though they have ended: the daemon beside a
// worker restarts while many more runs end than a heartbeat lists, once or twice in a row, also while the shards have
// new owners.
func TestPlatformRestartBesideManyEnds(t *testing.T) {
	const tasks = 1700 // a heartbeat lists 500
	for _, deployment := range chosenDeployments() {
		for _, restarts := range []int{1, 2} {
			for _, takeover := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d-takeover-%v", deployment, restarts, takeover), func(t *testing.T) {
					t.Parallel()
					b := formPlatform(t, 21, deployment)
					w := b.worker(1)
					b.submitSmallTasks(b.reserveWorker(w), tasks, 60_000)
					must.True(t, b.until(40_000, func() bool { return len(w.runs) == tasks }), must.Sprint(len(w.runs)))
					start := b.kill(w.node.Name, false)
					w.endSoon()
					b.run(900)
					must.MapEmpty(t, w.runs)
					if takeover {
						b.after(3_000_000, b.kill(b.holder(b.randomShardRole()), false))
					}
					start()
					if restarts > 1 {
						b.run(160)
						b.after(700_000, b.kill(w.node.Name, false))
					}
					b.run(20_000)
					b.finish(60_000)
					checkPlatformRun(t, b)
				})
			}
		}
	}
}

// loseHeartbeats loses the worker's heartbeats for a while; it waits a second for the answer to each.
func (w *platformWorker) loseHeartbeats(ms int64) {
	w.deliver = func(_ []byte, done func(status int, body []byte)) {
		w.b.after(1_000_000, func() { done(0, nil) })
	}
	w.b.after(ms*1000, func() { w.deliver = nil })
}

// TestPlatformCutOffBesideManyEnds guards against tasks that are run again though they have ended: a busy worker is cut
// off right after an answer that carried starts, and many more runs end than a heartbeat lists. The last ones that
// were started end last. The daemon may restart, or the shards get new owners, while the ends arrive.
func TestPlatformCutOffBesideManyEnds(t *testing.T) {
	const early, late, lastStarts = 1300, 300, 100 // tasks; a heartbeat lists 500
	for _, deployment := range chosenDeployments() {
		for _, after := range []string{"nothing", "restart", "takeover"} {
			t.Run(deployment+"/"+after, func(t *testing.T) {
				t.Parallel()
				b := formPlatform(t, 22, deployment)
				w := b.worker(1)
				labels := b.reserveWorker(w)
				b.submitSmallTasks(labels, early, 60_000)
				must.True(t, b.until(40_000, func() bool { return len(w.runs) == early }), must.Sprint(len(w.runs)))
				b.submitSmallTasks(labels, late, 60_000)
				lastHeartbeat := w.seq
				must.True(t, b.until(10_000, func() bool {
					started := len(w.runs) - early
					cutNow := started >= lastStarts && !w.heartbeatPending && w.seq > lastHeartbeat
					lastHeartbeat = w.seq
					return cutNow
				}))
				w.endSoon()
				w.loseHeartbeats(2500)
				b.run(2500)
				must.Greater(t, 500, len(w.ends))
				switch after {
				case "restart":
					b.after(900_000, b.kill(w.node.Name, false))
				case "takeover":
					b.after(3_000_000, b.kill(b.holder(b.randomShardRole()), false))
				}
				b.run(15_000)
				b.finish(60_000)
				checkPlatformRun(t, b)
			})
		}
	}
}

// endManyBesideTrouble fills a worker with small tasks and ends them at once, while its daemon is killed once or twice,
// its heartbeats get lost, its machine is cut off, or all of that, beside kills of owners. The worker's lists of
// ends are cut short then, several times in a row.
func (b *platformWorld) endManyBesideTrouble() {
	w := b.somePlatformWorker()
	b.submitSmallTasks(b.reserveWorker(w), 600+b.rng.IntN(1000), 12_000)
	b.after(3_000_000+b.rng.Int64N(2_500_000), func() {
		if !w.up {
			return
		}
		host := w.node.Name
		switch b.rng.IntN(4) {
		case 0:
			b.after(200_000+b.rng.Int64N(2_500_000), b.kill(host, b.chance(0.3)))
		case 1:
			w.loseHeartbeats(500 + b.rng.Int64N(3000))
		case 2:
			b.after(200_000+b.rng.Int64N(5_000_000), b.cut(host))
		}
		w.endSoon()
		if b.chance(0.6) { // while the ends arrive
			b.after(100_000+b.rng.Int64N(3_500_000), func() {
				b.after(100_000+b.rng.Int64N(1_500_000), b.kill(host, b.chance(0.3)))
			})
		}
		if b.chance(0.5) {
			b.after(b.rng.Int64N(3_000_000), func() {
				b.after(500_000+b.rng.Int64N(3_000_000), b.kill(b.holder(b.randomShardRole()), b.chance(0.3)))
			})
		}
	})
}
