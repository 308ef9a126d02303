package daemon

import (
	"testing"

	"otterchute/internal/configuration"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// twoUrgencies gives a daemon whose configuration has an urgent queue and another one, and
// that has heard to keep a quarter of each worker's processor.
func twoUrgencies(t *testing.T) *node {
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

// An agent starts queueable work of lesser queues only beside the kept room, which urgent
// work that runs there uses up; the urgent queue and firm tasks have all of it.
func TestAgentKeepsUrgentRoom(t *testing.T) {
	n := twoUrgencies(t)
	agent := &workerAgent{worker: "w", colocated: true, capacity: resource.Amount{CPU: 1000, Memory: 100}, attempts: map[wire.AttemptKey]*agentAttempt{
		{Job: "a"}: attemptOf("slow", 600, wire.AttemptRunning),
		{Job: "b"}: attemptOf("fast", 50, wire.AttemptRunning),
		{Job: "c"}: attemptOf("fast", 999, wire.AttemptEnded),
	}}
	avail := resource.Amount{CPU: 350, Memory: 100}
	room := func(attempt *agentAttempt) resource.Amount {
		return n.startableResources(agent, attempt, n.config.current.Queues[attempt.spec.Queue], avail)
	}
	slow, fast := attemptOf("slow", 200, wire.AttemptQueued), attemptOf("fast", 350, wire.AttemptQueued)
	slow.spec.Class, fast.spec.Class = wire.ClassQueueable, wire.ClassQueueable
	must.Eq(t, resource.Amount{CPU: 150, Memory: 100}, room(slow)) // 250 are kept, 50 of them are used
	must.Eq(t, avail, room(fast))
	slow.spec.Class = wire.ClassGuaranteed
	must.Eq(t, avail, room(slow))
	slow.spec.Class = wire.ClassQueueable
	n.now += backfillAfterMs + 1 // it waited long
	must.Eq(t, resource.Amount{CPU: 150, Memory: 100}, room(slow))
	n.ranks.idle = true
	must.Eq(t, avail, room(slow))
	n.Policies, _ = scheduler.ParseSet(string(scheduler.Backfill))
	must.Eq(t, resource.Amount{CPU: 150, Memory: 100}, room(slow))
	n.Policies = scheduler.Set{}
	n.now += rankStaleMs + 1 // the coordinator's word is stale: nothing is kept by it
	must.Eq(t, avail, room(slow))
	n.ranks.receivedMs = n.now
	n.Policies, _ = scheduler.ParseSet(string(scheduler.UrgentRoom))
	must.Eq(t, avail, room(slow))
}

// An owner places lesser work where it leaves the kept room, and calls a waiting task
// back only to such a worker: else it would go to and fro.
func TestOwnerKeepsUrgentRoom(t *testing.T) {
	n := twoUrgencies(t)
	shard := &ownedShard{name: "east", loadByWorker: map[string]resource.Amount{"w": {CPU: 700}}}
	w := &workerView{capacity: resource.Amount{CPU: 1000, Memory: 100}, urgentUse: resource.Amount{CPU: 100}}
	must.Eq(t, resource.Amount{CPU: 150, Memory: 100}, n.availableResources(shard, n.config.current.Queues["slow"], false, "w", w))
	must.Eq(t, resource.Amount{CPU: 300, Memory: 100}, n.availableResources(shard, n.config.current.Queues["fast"], false, "w", w))
}

// A task of a step that spreads over workers is called back too, to a worker that holds
// fewer of them: it must not wait for good beside a free one.
func TestSpreadTasksAreCalledBack(t *testing.T) {
	n := twoUrgencies(t)
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
	n.workers["w3"].leaving = true // w2 holds one already
	must.False(t, n.fitsElsewhere(shard, job, 0))
	job.Steps[0].MaxPerWorker = 2
	must.True(t, n.fitsElsewhere(shard, job, 0))
}

// A task waits for a healthy worker rather than going to an ejected one, but not while most of
// the fleet is free: it must not stand still beside room.
func TestEjectedWorkerBeforeStandingStill(t *testing.T) {
	n := twoUrgencies(t)
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
	shard.loadByWorker["full"] = resource.Amount{CPU: 100} // a healthy one with room goes first
	must.Eq(t, "full", chosen())
}

// The central scheduler keeps what urgent work was seen to use from firm tasks of others.
func TestCentralKeepsUrgentRoom(t *testing.T) {
	n := twoUrgencies(t)
	c := &centralScheduler{workers: map[string]*workerCapacity{}}
	n.central = c
	for _, name := range []string{"w1", "w2"} {
		c.workers[name] = &workerCapacity{receivedMs: n.now, AgentReport: wire.AgentReport{
			Capacity: resource.Amount{CPU: 1000}, Urgent: resource.Amount{CPU: 200},
		}}
	}
	n.observeUrgentUse(c)
	must.Eq(t, 29, c.headroom.Percent().CPU) // a fifth is used; a quarter of that and a slack are added
	r := &scheduler.Candidate{Name: "w1", Capacity: resource.Amount{CPU: 1000}, FreeAfterPreemption: resource.Amount{CPU: 450}}
	may := func(queue string, cpu int64) bool {
		request := &pendingAllocation{AllocationRequest: wire.AllocationRequest{Queue: queue, Resources: resource.Amount{CPU: cpu}}}
		return n.newAssignment(request, n.config.current.Queues[queue], nil).CanPlace(r)
	}
	must.True(t, may("slow", 160))
	must.False(t, may("slow", 161))
	must.True(t, may("fast", 450))
	must.False(t, may("slow", 1000)) // it can never do without the kept room, but there isn't as much now
}
