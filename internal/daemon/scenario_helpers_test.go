package daemon

import (
	"fmt"
	"testing"

	"otterchute/internal/historycheck"
	"otterchute/internal/lease"
	"otterchute/internal/membership"

	"github.com/shoenig/test/must"
)

// scenario is one directed run. Afterwards all jobs must end and no rule may be broken. It
// runs at both sizes of deployment, whichever it was written for.
type scenario struct {
	deployment string
	run        func(t *testing.T, w *world)
	waitMs     int64 // time for all jobs to end afterwards
}

// equivalentQueue returns the queue at the same position in the deployment of this run.
func (w *world) equivalentQueue(name string) string {
	for _, d := range historycheck.Deployments {
		for i, q := range d.Queues {
			if q.Name == name {
				return w.deployment.Queues[i].Name
			}
		}
	}
	return name
}

// oneTask returns a job of one task. Its resources are in sixteenths of a worker, so that the
// load is alike at both sizes.
func (w *world) oneTask(queue string, ms, sixteenths, limitMs int64, allowed int) historycheck.Job {
	sixteenths = sixteenths * w.deployment.Cores / 16
	return historycheck.Job{Queue: w.equivalentQueue(queue), Steps: []historycheck.Step{{Name: "s", Tasks: []historycheck.Task{{Name: fmt.Sprint("t", ms), Cores: sixteenths, LimitMs: limitMs,
		AllowedFailures: allowed, Payload: historycheck.Work{Ms: ms}}}}}}
}

// tasksEndedBetween counts the tasks that ended in a period of simulated time.
func (w *world) tasksEndedBetween(fromMs, toMs int64) int {
	n := 0
	for _, e := range w.history {
		if e.Kind == historycheck.End && e.Text == "ok" && e.AtMs >= fromMs && e.AtMs < toMs {
			n++
		}
	}
	return n
}

func (w *world) startsOf(j *simJob) int {
	n := 0
	for _, e := range w.history {
		if e.Kind == historycheck.Start && e.Job == j.id {
			n++
		}
	}
	return n
}

// requestAndWait sends one request and runs the simulation until it is answered.
func (w *world) requestAndWait(from string, to *simNode, op, key string, body []byte) (status int, retryMs int64, answer []byte, tookMs int64) {
	done, began := false, w.nowMs()
	w.request(from, to, op, key, body, 10_000, func(s int, r int64, b []byte) {
		done, status, retryMs, answer, tookMs = true, s, r, b, w.nowMs()-began
	})
	for !done {
		w.run(5)
	}
	return
}

// killHolderOf returns a scenario that kills the holder of a role during the usual traffic and
// requires that work continues soon.
func killHolderOf(role string) func(*testing.T, *world) {
	return func(t *testing.T, w *world) {
		w.traffic(40_000)
		w.run(15_000)
		n := w.holderOf(role)
		must.NotNil(t, n)
		n.kill(false)
		at := w.nowMs()
		must.True(t, w.until(8000, func() bool { h := w.holderOf(role); return h != nil && h != n }), must.Sprint("no new holder of ", role))
		w.run(15_000)
		usual, after := w.tasksEndedBetween(at-10_000, at), w.tasksEndedBetween(at+6000, at+16_000)
		must.GreaterEq(t, usual/2, after, must.Sprintf("%d tasks ended in 10 s before, %d from 6 s after", usual, after))
		n.start()
	}
}

// jobOfCutOffOwner finds a job whose owner is not a core member, and returns a function that
// cuts this owner off from the core but not from the agents.
func (w *world) jobOfCutOffOwner(t *testing.T, make func() historycheck.Job) (*simJob, *simNode, func()) {
	w.run(3000) // all agents are rebuilt after this time
	// Machines with a disk are preferred as owners, so each releases its own shards to one
	// without.
	for i, name := range []string{"d00", "d01", "d02"} {
		n := w.nodes[name].executor.node
		n.Colocated = true
		for _, role := range n.leases.Roles() {
			if kind, _ := lease.SplitRole(role); kind == lease.KindShard && n.leases.Serves(role) {
				n.leases.HandOff(role, fmt.Sprintf("d%02d", 3+i))
			}
		}
	}
	w.run(2000)
	for range 20 {
		j := w.submit(make())
		w.run(400)
		n := w.holderOf("slice/" + w.nodes["d00"].executor.node.shardOf(j.id))
		if n != nil && !n.Disk {
			return j, n, func() {
				for i := range membership.DefaultSize {
					w.cuts[[2]string{n.Name, fmt.Sprintf("d%02d", i)}] = true
				}
			}
		}
	}
	t.Fatal("every owner is a core member")
	return nil, nil, nil
}

// fillQueues lets the cluster learn a short run time and then fills the queues of all workers.
func (w *world) fillQueues() {
	w.run(3000)
	for range 12 {
		w.submit(w.oneTask("logbook", 1900, 4, 60_000, 3))
	}
	w.run(6000)
	for range 160 {
		w.submit(w.oneTask("logbook", 1900, 4, 60_000, 3))
	}
	w.run(700)
}
