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

// occupy gives a worker firm work.
func occupy(n *node, worker string, cpu int64) {
	w := n.central.workers[worker]
	w.guaranteed, w.busy = resource.Amount{CPU: cpu}, resource.Amount{CPU: cpu}
}

// grantAfter lets time pass and grants; it gives the workers of a job's grants.
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

func wantOf(job, queue string, tasks int, cpu, estMs int64) *pendingAllocation {
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

// A gang that asks for one rack waits for one as long as that is worth more than
// a run over several, and no longer.
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
			gang := wantOf("gang", "mid", 3, 3000, c.estMs)
			gang.Gang, gang.SameRack = true, true
			n.central.add(n.now, gang)
			for _, i := range []int{1, 2, 4, 5} { // queueable work, so that the fleet isn't idle
				n.central.workers[fmt.Sprint("w", i)].busy = resource.Amount{CPU: 3000}
			}
			must.MapEmpty(t, grantAfter(n, c.waitMs-100, "gang"))
			must.MapLen(t, 3, grantAfter(n, 100, "gang"))
		})
	}
}

// Room of one rack is kept for a gang that waits for it, whatever gets free
// there: its own lesser queues' work goes to the other rack, or waits. Work of more
// urgent queues does not.
func TestRackIsKeptForGang(t *testing.T) {
	n := rackNode(t, 3)
	for i := range 6 {
		occupy(n, fmt.Sprint("w", i), 3000)
	}
	occupy(n, "w1", 0) // so the likeliest rack is r0
	gang := wantOf("gang", "mid", 3, 3000, 20_000)
	gang.Gang, gang.SameRack = true, true
	n.central.add(n.now, gang)
	n.central.add(n.now, wantOf("single", "low", 1, 3000, 3000))
	n.central.add(n.now, wantOf("urgent", "high", 1, 400, 3000))
	must.MapEmpty(t, grantAfter(n, 200, "gang"))
	must.MapEmpty(t, grantAfter(n, 0, "single"), must.Sprint("it took the kept rack's room"))
	must.MapLen(t, 1, grantAfter(n, 0, "urgent"))
	occupy(n, "w4", 0)
	must.Eq(t, map[string]int{"w4": 1}, grantAfter(n, 200, "single"))
	occupy(n, "w0", 0)
	must.MapEmpty(t, grantAfter(n, 200, "gang"))
	occupy(n, "w2", 0)
	must.Eq(t, map[string]int{"w0": 1, "w1": 1, "w2": 1}, grantAfter(n, 200, "gang"))
}

// While most room is free no gang waits for one rack for long: a job must not stand
// still beside idle workers.
func TestGangTakesSeveralRacksOfIdleFleet(t *testing.T) {
	n := rackNode(t, 3)
	occupy(n, "w0", 3000)
	occupy(n, "w3", 3000)
	gang := wantOf("gang", "mid", 3, 3000, 20_000)
	gang.Gang, gang.SameRack = true, true
	n.central.add(n.now, gang)
	must.MapEmpty(t, grantAfter(n, backfillAfterMs, "gang"))
	must.MapLen(t, 3, grantAfter(n, 100, "gang"))
}

// Where no rack could ever hold a gang, it doesn't wait for one.
func TestGangTooLargeForOneRack(t *testing.T) {
	n := rackNode(t, 3)
	gang := wantOf("gang", "mid", 5, 3000, 20_000)
	gang.Gang, gang.SameRack = true, true
	n.central.add(n.now, gang)
	must.MapLen(t, 5, grantAfter(n, 100, "gang"))
}
