package daemon

import (
	"fmt"
	"testing"

	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// rackNode is a node that holds the central scheduler over two racks of three
// workers with 4 cores each.
func rackNode(t *testing.T, spreadFactor float64) *node {
	n := newNode(nodeConfig{Name: "d0", SpreadFactor: spreadFactor}, nil)
	n.now = 100_000
	setup, faults := configuration.Compile(1, []byte(`{"queues":[{"name":"high","urgency":90},{"name":"mid","urgency":60},{"name":"low","urgency":30}]}`))
	must.SliceEmpty(t, faults)
	n.config.current = setup
	n.leases.Assume(lease.Central, 1, 1<<40)
	n.startCentral(1)
	n.now += centralRebuildMs
	for i := range 6 {
		w := &workerCapacity{AgentReport: wire.AgentReport{Worker: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i/3), Rebuilt: true, WorkerReportFresh: true, Capacity: resource.Amount{CPU: 4000}}}
		n.central.workers[w.Worker] = w
	}
	return n
}

// occupy sets the resources of a worker that guaranteed tasks use.
func occupy(n *node, worker string, cpu int64) {
	w := n.central.workers[worker]
	w.guaranteed, w.occupied = resource.Amount{CPU: cpu}, resource.Amount{CPU: cpu}
}

// grantAfter advances time, allocates, and returns a job's number of granted tasks by worker.
func grantAfter(n *node, ms int64, job string) map[string]int {
	n.now += ms
	n.config.confirmedMs = n.now
	for _, w := range n.central.workers {
		w.receivedMs = n.now
	}
	n.allocateAll(n.central)
	placed := map[string]int{}
	for k, request := range n.central.pending {
		if k.Job != job {
			continue
		}
		for _, g := range request.granted {
			placed[g.worker]++
		}
	}
	return placed
}

func allocationOf(job, queue string, tasks int, cpu, estMs int64) *pendingAllocation {
	request := &pendingAllocation{granted: map[int64]grantedTask{}, AllocationRequest: wire.AllocationRequest{Shard: "s", Job: job, Queue: queue, Resources: resource.Amount{CPU: cpu}, EstimateMs: estMs}}
	for i := range tasks {
		request.Tasks = append(request.Tasks, wire.RequestedTask{Task: uniformTaskID(0, 0, int32(i)), Attempt: 1})
	}
	return request
}

func (c *centralScheduler) add(now int64, request *pendingAllocation) {
	request.firstMs, request.lastMs = now, now
	c.pending[allocationKeyOf(&request.AllocationRequest)] = request
}

// A gang that prefers a single rack waits for one only as long as spreading over several racks would
// cost more.
func TestGangWaitsForOneRack(t *testing.T) {
	for name, c := range map[string]struct {
		spreadFactor  float64
		estMs, waitMs int64
	}{
		"several racks cost little": {1.5, 2000, spreadAfterMs},
		"several racks cost much":   {3, 5000, 5000},
		"very long work":            {3, 60_000, rackWaitMaxMs},
	} {
		t.Run(name, func(t *testing.T) {
			n := rackNode(t, c.spreadFactor)
			occupy(n, "w0", 3000)
			occupy(n, "w3", 3000)
			gang := allocationOf("gang", "mid", 3, 3000, c.estMs)
			gang.Gang, gang.SameRack = true, true
			n.central.add(n.now, gang)
			for _, i := range []int{1, 2, 4, 5} { // queueable work, so that the fleet is not idle
				n.central.workers[fmt.Sprint("w", i)].occupied = resource.Amount{CPU: 3000}
			}
			must.MapEmpty(t, grantAfter(n, c.waitMs-100, "gang"))
			must.MapLen(t, 3, grantAfter(n, 100, "gang"))
		})
	}
}

// Guards against a gang that never gets its rack because smaller tasks take each resource freed there.
// Tasks of less urgent queues must use the other rack or wait; those of more urgent queues need not.
func TestRackIsKeptForGang(t *testing.T) {
	n := rackNode(t, 3)
	for i := range 6 {
		occupy(n, fmt.Sprint("w", i), 3000)
	}
	occupy(n, "w1", 0) // so r0 is the most likely rack
	gang := allocationOf("gang", "mid", 3, 3000, 20_000)
	gang.Gang, gang.SameRack = true, true
	n.central.add(n.now, gang)
	n.central.add(n.now, allocationOf("single", "low", 1, 3000, 3000))
	n.central.add(n.now, allocationOf("urgent", "high", 1, 400, 3000))
	must.MapEmpty(t, grantAfter(n, 200, "gang"))
	must.MapEmpty(t, grantAfter(n, 0, "single"), must.Sprint("it took the resources reserved in the rack"))
	must.MapLen(t, 1, grantAfter(n, 0, "urgent"))
	occupy(n, "w4", 0)
	must.Eq(t, map[string]int{"w4": 1}, grantAfter(n, 200, "single"))
	occupy(n, "w0", 0)
	must.MapEmpty(t, grantAfter(n, 200, "gang"))
	occupy(n, "w2", 0)
	must.Eq(t, map[string]int{"w0": 1, "w1": 1, "w2": 1}, grantAfter(n, 200, "gang"))
}

// Guards against a job that waits beside idle workers: while most of the fleet is free, a gang must not
// wait long for a single rack.
func TestGangTakesSeveralRacksOfIdleFleet(t *testing.T) {
	n := rackNode(t, 3)
	occupy(n, "w0", 3000)
	occupy(n, "w3", 3000)
	gang := allocationOf("gang", "mid", 3, 3000, 20_000)
	gang.Gang, gang.SameRack = true, true
	n.central.add(n.now, gang)
	must.MapEmpty(t, grantAfter(n, backfillAfterMs, "gang"))
	must.MapLen(t, 3, grantAfter(n, 100, "gang"))
}

// A gang that no single rack can hold doesn't wait for one.
func TestGangTooLargeForOneRack(t *testing.T) {
	n := rackNode(t, 3)
	gang := allocationOf("gang", "mid", 5, 3000, 20_000)
	gang.Gang, gang.SameRack = true, true
	n.central.add(n.now, gang)
	must.MapLen(t, 5, grantAfter(n, 100, "gang"))
}
