package daemon

import (
	"fmt"
	"slices"
	"testing"

	"otterchute/internal/configuration"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// Operators may give a queue another name, use a name again at another address, let two queues swap
// their names, take a queue out and put one back later, and send a queue's tasks to another service.
// Accepted jobs belong to the address where they were submitted, whatever its queue is called.

// declareQueues sends the queues as they are declared now, until a version with them is acknowledged.
func (b *platformWorld) declareQueues() {
	b.putSetup(b.usualSetup(), b.version+1+b.rng.Int64N(3), b.version, func(status int) {
		if status != 200 {
			b.after(100_000, b.declareQueues)
		}
	})
}

// queueName returns the name that the queue of a kind has now.
func (b *platformWorld) queueName(kind int) string {
	q := &b.deployment.kinds[kind].queue
	if name := b.queueNames[q.prefix]; name != "" {
		return name
	}
	return q.name
}

func (b *platformWorld) setQueueName(kind int, name string) {
	b.queueNames[b.deployment.kinds[kind].queue.prefix] = name
}

// newQueueName returns a name that no queue has had.
func (b *platformWorld) newQueueName() string {
	b.createdNames++
	return fmt.Sprint("queue-", b.createdNames)
}

// renameQueue gives a queue a new name.
func (b *platformWorld) renameQueue(kind int) {
	b.setQueueName(kind, b.newQueueName())
	b.declareQueues()
}

// swapQueueNames gives each of two queues the name of the other.
func (b *platformWorld) swapQueueNames(kind, other int) {
	name, otherName := b.queueName(kind), b.queueName(other)
	b.setQueueName(kind, otherName)
	b.setQueueName(other, name)
	b.declareQueues()
}

// reuseQueueName gives a queue a new name, and its former name to another one.
func (b *platformWorld) reuseQueueName(kind, other int) {
	name := b.queueName(kind)
	b.setQueueName(kind, b.newQueueName())
	b.setQueueName(other, name)
	b.declareQueues()
}

// removeQueueFor takes a queue out, and puts it back after a while, under its former or a new name.
func (b *platformWorld) removeQueueFor(kind int, ms int64, newName bool) {
	prefix := b.deployment.kinds[kind].queue.prefix
	b.removedQueues[prefix] = true
	b.declareQueues()
	b.after(ms*1000, func() {
		delete(b.removedQueues, prefix)
		if newName {
			b.setQueueName(kind, b.newQueueName())
		}
		b.declareQueues()
	})
}

func (b *platformWorld) twoKinds() (kind, other int) {
	kind = b.rng.IntN(len(b.deployment.kinds))
	return kind, (kind + 1 + b.rng.IntN(len(b.deployment.kinds)-1)) % len(b.deployment.kinds)
}

// queueChanges are the changes of queues that are drawn at random.
var queueChanges = map[string]func(b *platformWorld){
	"rename": func(b *platformWorld) {
		kind, _ := b.twoKinds()
		b.renameQueue(kind)
	},
	"swap names": func(b *platformWorld) { b.swapQueueNames(b.twoKinds()) },
	"reuse name": func(b *platformWorld) { b.reuseQueueName(b.twoKinds()) },
	"queue out": func(b *platformWorld) {
		kind, _ := b.twoKinds()
		b.removeQueueFor(kind, 300+b.rng.Int64N(8000), b.chance(0.5))
	},
}

func init() {
	for name, change := range queueChanges {
		platformFaults[name] = change
	}
	platformScenarios["queues renamed"] = func(_ *testing.T, b *platformWorld) {
		b.day(6000)
		for kind := range b.deployment.kinds {
			b.renameQueue(kind)
			b.run(1500)
		}
		b.after(500_000, b.kill(b.holder(b.randomShardRole()), true))
		b.run(10_000)
	}
	platformScenarios["queues swap and reuse names"] = func(_ *testing.T, b *platformWorld) {
		b.day(6000)
		b.swapQueueNames(0, 1)
		b.run(2000)
		b.after(500_000, b.kill(b.holder(b.randomShardRole()), false))
		b.reuseQueueName(2, 0)
		b.run(3000)
		b.swapQueueNames(1, 2)
		b.run(10_000)
	}
	platformScenarios["queues out and back"] = func(_ *testing.T, b *platformWorld) {
		b.day(6000)
		b.removeQueueFor(0, 1500, true)
		b.run(2500)
		b.removeQueueFor(2, 1000, false)
		b.run(2500)
		b.removeQueueFor(1, 6000, true)
		b.after(700_000, b.kill(b.holder(b.randomShardRole()), false))
		b.run(10_000)
	}
}

// Guards against accepted jobs that are answered as unknown, and whose tasks are never started, once the
// queue of their address has another name, or its name stands at another address.
func TestJobsFollowTheirAddress(t *testing.T) {
	changes := map[string]func(b *platformWorld){
		"rename":     func(b *platformWorld) { b.renameQueue(1) },
		"swap names": func(b *platformWorld) { b.swapQueueNames(0, 1) },
		"reuse name": func(b *platformWorld) { b.reuseQueueName(1, 0) },
		"queue out":  func(b *platformWorld) { b.removeQueueFor(1, 1000, true) },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := formPlatform(t, 4100, "hakata")
			capacity := b.deployment.capacity
			var jobs []*platformJob
			for range 30 { // more than there is room for at once, so that most of them wait
				jobs = append(jobs, b.submit(b.simple(1, 3, amounts{capacity[0] / 4, capacity[1] / 4}, 4000)))
			}
			b.run(3500)
			must.True(t, slices.ContainsFunc(jobs, func(j *platformJob) bool { return j.state == "pending" }))
			change(b)
			b.finish(120_000)
			checkPlatformRun(t, b)
			for _, j := range jobs {
				must.Eq(t, "complete", j.state, must.Sprint(j.id))
			}
		})
	}
}

// Guards against accepted jobs that are not run while no queue is declared at their address, also by owners, agents
// and a central scheduler that started after the queue was removed.
func TestJobsOfARemovedQueueRun(t *testing.T) {
	for name, kill := range map[string]func(b *platformWorld){
		"calm":         func(*platformWorld) {},
		"owner killed": func(b *platformWorld) { b.after(500_000, b.kill(b.holder(b.randomShardRole()), false)) },
		"power loss":   platformFaults["power all"],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := formPlatform(t, 4300, "ikenna")
			capacity := b.deployment.capacity
			var jobs []*platformJob
			for range 20 {
				jobs = append(jobs, b.submit(b.simple(1, 3, amounts{capacity[0] / 4, capacity[1] / 4}, 4000)))
			}
			lasting := b.lastingJob()
			lasting.queue = jobs[0].queue
			b.submit(lasting)
			b.run(3500)
			b.removeQueueFor(1, 60_000, false)
			b.run(1000)
			kill(b)
			b.run(1000)
			b.crashAndReplace(b.worker(2), 500)
			b.run(40_000)
			for _, j := range jobs {
				must.Eq(t, j.requiredSuccesses(), len(j.okTasks), must.Sprint(j.id))
			}
			running := 0
			for _, host := range b.workerHosts {
				for k := range b.byHost[host].runs {
					if k.job == lasting.id {
						running++
					}
				}
			}
			must.Eq(t, lasting.steps[0].count, running)
			b.run(22_000)
			b.finish(60_000)
			checkPlatformRun(t, b)
		})
	}
}

// Guards against a count of waiting jobs that is 0 once their queue has another name.
func TestPendingCountsFollowTheAddress(t *testing.T) {
	b := formPlatform(t, 4200, "hakata")
	capacity := b.deployment.capacity
	for range 30 {
		b.submit(b.simple(1, 3, amounts{capacity[0] / 4, capacity[1] / 4}, 30_000))
	}
	b.run(3500)
	b.swapQueueNames(0, 1)
	b.run(3000)
	for _, host := range b.edges() {
		waiting := map[int]int64{}
		for _, kind := range []int{0, 1} {
			q := &b.deployment.kinds[kind].queue
			b.call("caller", b.nodes[host], platformCall{op: "queue.state", host: q.host, path: q.prefix}, 1000, func(status int, _ int64, body []byte) {
				must.Eq(t, 200, status)
				waiting[kind] = gjson.GetBytes(body, "waiting").Int()
			})
		}
		b.run(1100)
		must.Eq(t, 0, waiting[0])
		must.Positive(t, waiting[1])
	}
}

// Guards against jobs that wait for ever after their queue was renamed, if their records hold the name of the queue:
// those of earlier releases, and those submitted by name.
func TestJobsStoredByNameFollowARenamedQueue(t *testing.T) {
	compile := func(version int64, name string) *configuration.Configuration {
		c, faults := configuration.Compile(version, []byte(`{"queues":[{"name":"`+name+`","addresses":[{"host":"h","prefix":"/q/"}]}]}`))
		must.SliceEmpty(t, faults)
		return c
	}
	n, shard := shareOwner(t)
	job := jobOfTenant(t, shard, "a", "", `{"name":"s","count":1,"room":1}`, 1)
	shard.liveByQueue[job.Queue]++
	previous := compile(2, "q")

	n.config.current = compile(3, "q")
	n.rebindRenamedQueues(previous)
	must.Eq(t, "q", job.Queue)

	n.config.current = compile(4, "renamed")
	call := &request{id: 7, op: "job.state", key: "a", queue: "//h/q/", byAddress: true}
	must.True(t, n.jobVisible(call, &job.jobRecord))
	n.rebindRenamedQueues(previous)
	must.Eq(t, "renamed", n.config.current.QueueName(job.Queue))
	must.True(t, n.jobVisible(call, &job.jobRecord))
	must.True(t, shard.isDirty("a"))
	must.Eq(t, map[string]int{"//h/q/": 1}, shard.liveByQueue)
	must.Eq(t, 1, n.liveInQueue(shard, "renamed"))
}
