package daemon

import (
	"testing"

	"otterchute/internal/configuration"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// nodeWithHeadroom returns a daemon whose configuration has an urgent and a less urgent queue, and whose last
// ranks reserve a quarter of each worker's CPU as headroom.
func nodeWithHeadroom(t *testing.T) *node {
	t.Helper()
	n := newNode(nodeConfig{Name: "d", Zone: "east"}, nil)
	set, faults := configuration.Compile(1, []byte(`{"queues":[{"name":"fast","urgency":100},{"name":"slow","urgency":10}]}`))
	must.SliceEmpty(t, faults)
	n.config.current, n.now = set, 50_000
	n.ranks.receivedMs, n.ranks.headroomPercent = n.now, resource.Amount{CPU: 25}
	return n
}

func attemptOf(queue string, cpu int64, state wire.AttemptState) *agentAttempt {
	return &agentAttempt{spec: wire.TaskSpec{Queue: queue, Resources: resource.Amount{CPU: cpu}}, state: state}
}

// An agent starts queueable tasks of less urgent queues only outside the headroom, which running urgent
// work uses up. The urgent queue and guaranteed tasks may use all resources.
func TestAgentKeepsUrgentRoom(t *testing.T) {
	n := nodeWithHeadroom(t)
	agent := &workerAgent{worker: "w", colocated: true, capacity: resource.Amount{CPU: 1000, Memory: 100}, attempts: map[wire.AttemptKey]*agentAttempt{
		{Job: "a"}: attemptOf("slow", 600, wire.AttemptRunning),
		{Job: "b"}: attemptOf("fast", 50, wire.AttemptRunning),
		{Job: "c"}: attemptOf("fast", 999, wire.AttemptEnded),
	}}
	avail := resource.Amount{CPU: 350, Memory: 100}
	startable := func(attempt *agentAttempt) resource.Amount {
		return n.startableResources(agent, attempt, n.config.current.Queues[attempt.spec.Queue], avail)
	}
	slow, fast := attemptOf("slow", 200, wire.AttemptQueued), attemptOf("fast", 350, wire.AttemptQueued)
	slow.spec.Class, fast.spec.Class = wire.ClassQueueable, wire.ClassQueueable
	must.Eq(t, resource.Amount{CPU: 150, Memory: 100}, startable(slow)) // headroom is 250, 50 of it in use
	must.Eq(t, avail, startable(fast))
	slow.spec.Class = wire.ClassGuaranteed
	must.Eq(t, avail, startable(slow))
	slow.spec.Class = wire.ClassQueueable
	n.now += backfillAfterMs + 1 // it has waited long
	must.Eq(t, resource.Amount{CPU: 150, Memory: 100}, startable(slow))
	n.ranks.idle = true
	must.Eq(t, avail, startable(slow))
	n.Policies, _ = scheduler.ParseSet(string(scheduler.Backfill))
	must.Eq(t, resource.Amount{CPU: 150, Memory: 100}, startable(slow))
	n.Policies = scheduler.Set{}
	n.now += rankStaleMs + 1 // stale ranks reserve no headroom
	must.Eq(t, avail, startable(slow))
	n.ranks.receivedMs = n.now
	n.Policies, _ = scheduler.ParseSet(string(scheduler.UrgentRoom))
	must.Eq(t, avail, startable(slow))
}

// An owner places less urgent work only outside the headroom, and recalls a waiting task only for such a
// worker. Otherwise the task would move back and forth.
func TestOwnerKeepsUrgentRoom(t *testing.T) {
	n := nodeWithHeadroom(t)
	shard := &ownedShard{name: "east", loadByWorker: map[string]resource.Amount{"w": {CPU: 700}}}
	w := &workerView{capacity: resource.Amount{CPU: 1000, Memory: 100}, urgentUse: resource.Amount{CPU: 100}}
	must.Eq(t, resource.Amount{CPU: 150, Memory: 100}, n.availableResources(shard, n.config.current.Queues["slow"], false, "w", w))
	must.Eq(t, resource.Amount{CPU: 300, Memory: 100}, n.availableResources(shard, n.config.current.Queues["fast"], false, "w", w))
}

// Guards against a task that waits forever beside a free worker: a task of a step with a maximum per
// worker must be recalled too, for a worker below that maximum.
func TestSpreadTasksAreCalledBack(t *testing.T) {
	n := nodeWithHeadroom(t)
	shard := &ownedShard{name: "east", loadByWorker: map[string]resource.Amount{}}
	for _, name := range []string{"w1", "w2", "w3"} {
		n.workers[name] = &workerView{
			receivedMs: n.now, rebuilt: true, reportFresh: true, capacity: resource.Amount{CPU: 1000}, colocated: true,
		}
	}
	job := &liveJob{jobRecord: jobRecord{Queue: "slow", Steps: []jobStep{{Size: 2, MaxPerWorker: 1}}, Tasks: []task{
		{State: taskPlaced, Worker: "w1", Resources: resource.Amount{CPU: 600}},
		{State: taskPlaced, Worker: "w2", Resources: resource.Amount{CPU: 600}, IndexInStep: 1},
	}}}
	must.True(t, n.fitsElsewhere(shard, job, 0))
	n.workers["w3"].leaving = true // w2 has one already
	must.False(t, n.fitsElsewhere(shard, job, 0))
	job.Steps[0].MaxPerWorker = 2
	must.True(t, n.fitsElsewhere(shard, job, 0))
}

// A task waits for a healthy worker rather than use an ejected one, unless most of the fleet is free:
// then it must not wait beside free resources.
func TestEjectedWorkerBeforeStandingStill(t *testing.T) {
	n := nodeWithHeadroom(t)
	shard := &ownedShard{name: "east", loadByWorker: map[string]resource.Amount{"full": {CPU: 900}}}
	for _, name := range []string{"full", "ejected", "small"} {
		n.workers[name] = &workerView{receivedMs: n.now, rebuilt: true, reportFresh: true, capacity: resource.Amount{CPU: 1000}, colocated: true}
	}
	n.workers["ejected"].suspect, n.workers["small"].leaving = true, true
	job := &liveJob{jobRecord: jobRecord{Queue: "fast", Steps: []jobStep{{Size: 1}}, Tasks: []task{{State: taskPlaced, Worker: "full", Resources: resource.Amount{CPU: 600}}}}}
	chosen := func() string {
		worker, _ := n.selectWorker(shard, job, 0, &schedulePass{queue: n.config.current.Queues["fast"]})
		return worker
	}
	must.Eq(t, "full", chosen())
	must.False(t, n.fitsElsewhere(shard, job, 0))
	n.ranks.idle = true
	must.Eq(t, "ejected", chosen())
	must.True(t, n.fitsElsewhere(shard, job, 0))
	shard.loadByWorker["full"] = resource.Amount{CPU: 100} // a healthy worker with free resources is preferred
	must.Eq(t, "full", chosen())
}

// The central scheduler keeps guaranteed tasks of other queues out of the headroom that urgent work was
// observed to need.
func TestCentralKeepsUrgentRoom(t *testing.T) {
	n := nodeWithHeadroom(t)
	c := &centralScheduler{workers: map[string]*workerCapacity{}}
	n.central = c
	for _, name := range []string{"w1", "w2"} {
		c.workers[name] = &workerCapacity{receivedMs: n.now, AgentReport: wire.AgentReport{
			Capacity: resource.Amount{CPU: 1000}, Urgent: resource.Amount{CPU: 200},
		}}
	}
	n.observeUrgentUse(c)
	must.Eq(t, 29, c.headroom.Percent().CPU) // a fifth is used; a quarter of that and a fixed margin are added
	r := &scheduler.Candidate{Name: "w1", Capacity: resource.Amount{CPU: 1000}, FreeAfterPreemption: resource.Amount{CPU: 450}}
	may := func(queue string, cpu int64) bool {
		request := &pendingAllocation{AllocationRequest: wire.AllocationRequest{Queue: queue, Resources: resource.Amount{CPU: cpu}}}
		return n.newAssignment(request, n.config.current.Queues[queue], nil).CanPlace(r)
	}
	must.True(t, may("slow", 160))
	must.False(t, may("slow", 161))
	must.True(t, may("fast", 450))
	must.False(t, may("slow", 1000)) // it can only run inside the headroom, but not enough is free now
}
