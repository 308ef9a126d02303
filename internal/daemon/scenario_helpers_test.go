package daemon

import (
	"fmt"
	"testing"

	"otterchute/internal/historycheck"
	"otterchute/internal/lease"
	"otterchute/internal/membership"

	"github.com/shoenig/test/must"
)

// scenario is one directed run: after it, all jobs must end and no rule be broken.
// It is run at both sizes, whatever the size it was written for.
type scenario struct {
	dep    string
	do     func(t *testing.T, w *world)
	waitMs int64 // for all jobs to end afterwards
}

// sameQueue gives the queue that stands at the same place in a deployment.
func (w *world) sameQueue(name string) string {
	for _, d := range historycheck.Deployments {
		for i, q := range d.Queues {
			if q.Name == name {
				return w.dep.Queues[i].Name
			}
		}
	}
	return name
}

// oneTask makes a job of one task; its room is in sixteenths of a worker, so
// that it presses alike at both sizes.
func (w *world) oneTask(queue string, ms, room, limitMs int64, allowed int) historycheck.Job {
	room = room * w.dep.Cores / 16
	return historycheck.Job{Queue: w.sameQueue(queue), Steps: []historycheck.Step{{Name: "s", Tasks: []historycheck.Task{{Name: fmt.Sprint("t", ms), Cores: room, LimitMs: limitMs,
		AllowedFailures: allowed, Payload: historycheck.Work{Ms: ms}}}}}}
}

// endedIn counts the task ends of a stretch of simulated time.
func (w *world) endedIn(fromMs, toMs int64) int {
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

// asked sends one ask and runs the world until it is answered.
func (w *world) asked(from string, to *simNode, op, key string, body []byte) (status int, retryMs int64, answer []byte, tookMs int64) {
	done, began := false, w.nowMs()
	w.ask(from, to, op, key, body, 10_000, func(s int, r int64, b []byte) {
		done, status, retryMs, answer, tookMs = true, s, r, b, w.nowMs()-began
	})
	for !done {
		w.run(5)
	}
	return
}

// killedAt has usual traffic run, kills the holder of a duty, and demands that
// work goes on soon.
func killedAt(duty string) func(*testing.T, *world) {
	return func(t *testing.T, w *world) {
		w.traffic(40_000)
		w.run(15_000)
		n := w.holderOf(duty)
		must.NotNil(t, n)
		n.kill(false)
		at := w.nowMs()
		must.True(t, w.until(8000, func() bool { h := w.holderOf(duty); return h != nil && h != n }), must.Sprint("nobody took ", duty))
		w.run(15_000)
		usual, after := w.endedIn(at-10_000, at), w.endedIn(at+6000, at+16_000)
		must.GreaterEq(t, usual/2, after, must.Sprintf("%d tasks ended in 10 s before, %d from 6 s after", usual, after))
		n.start()
	}
}

// ownerCut finds a job whose owner is no core member, and gives what cuts that
// owner off from the core, though not from agents.
func (w *world) ownerCut(t *testing.T, make func() historycheck.Job) (*simJob, *simNode, func()) {
	w.run(3000) // all agents are rebuilt by then
	// Machines with a disk are preferred for slices: here each hands its own to one without.
	for i, name := range []string{"d00", "d01", "d02"} {
		n := w.nodes[name].sh.node
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
		n := w.holderOf("slice/" + w.nodes["d00"].sh.node.shardOf(j.id))
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

// queuesFull teaches a short run time and then has every worker's queue filled.
func (w *world) queuesFull() {
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
