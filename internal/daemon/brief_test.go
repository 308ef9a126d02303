package daemon

import (
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"testing"

	"otterchute/internal/historycheck"
	"otterchute/internal/membership"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

var stormFlag = flag.Int("storm", 12, "configuration versions in the storm scenario")

// Directed scenarios for required faults; docs/proof.md has the table.

// firstStart returns when a job's first task started, in simulated ms, or 0 if none has.
func (w *world) firstStart(j *simJob) int64 {
	for _, e := range w.history {
		if e.Kind == historycheck.Start && e.Job == j.id {
			return e.AtMs
		}
	}
	return 0
}

// requireThroughput requires that in each 4 s at least a quarter of the usual throughput is reached. usual is
// the number of tasks that ended in 10 s before the fault.
func (w *world) requireThroughput(t *testing.T, what string, fromMs, toMs int64, usual int) {
	t.Helper()
	for at := fromMs; at+4000 <= toMs; at += 1000 {
		must.GreaterEq(t, usual/10, w.tasksEndedBetween(at, at+4000), must.Sprintf("%s: %d tasks ended in 10 s before, %d from %d to %d ms", what, usual, w.tasksEndedBetween(at, at+4000), at, at+4000))
	}
}

func init() {
	scenarios["due work while clocks are wrong"] = scenario{"ikenna", func(t *testing.T, w *world) {
		w.run(3000)
		for round := range 4 {
			for i, name := range sortedKeys(w.nodes) { // two core members and five others, ahead and behind
				if i < 2 || i%3 == 0 && i < 16 {
					w.nodes[name].skewMs = int64(1-2*(round%2)) * 3_600_000
				}
			}
			if round > 1 { // one daemon starts with a wrong clock
				w.nodes["d01"].kill(true)
				w.nodes["d01"].start()
			}
			type dueJob struct {
				j     *simJob
				dueMs int64
			}
			var all []dueJob
			for i := range 12 {
				j, due := w.oneTask("confirm", 100, 1, 5000, 1), w.nowMs()+2000+int64(i)*300
				if i%2 == 0 {
					j.DueMs = wallStart + due
				} else {
					j.DelayMs = due - w.nowMs()
				}
				all = append(all, dueJob{w.submit(j), due})
			}
			w.run(12_000)
			for _, d := range all {
				at := w.firstStart(d.j)
				must.Positive(t, at, must.Sprint(d.j.id, " never started"))
				must.LessEq(t, d.dueMs+2500, at, must.Sprint(d.j.id, " started late"))
			}
			for _, n := range w.sortedNodes() {
				n.skewMs = 0
			}
			w.run(11_000)
		}
	}, 5000}

	scenarios["delays over a takeover while disks are slow"] = scenario{"ikenna", func(t *testing.T, w *world) {
		w.run(3000)
		for i := range membership.DefaultSize {
			w.extraSyncUs[fmt.Sprintf("d%02d", i)] = 400_000
		}
		w.traffic(30_000)
		w.run(12_000) // all clock offsets are measured again, by replies that wait for the disks
		for range 30 {
			j := w.oneTask("confirm", 100, 1, 5000, 1)
			j.DelayMs = 6000
			w.submit(j)
		}
		w.run(1500)
		w.extraSyncUs = map[string]int64{}
		for _, s := range historycheck.Zones {
			w.killHolder("slice/" + s)
		}
		w.run(12_000)
		for _, n := range w.sortedNodes() {
			n.start()
		}
	}, 30_000}

	scenarios["a silent worker, with and without trust in its run limit"] = scenario{"hakata", func(t *testing.T, w *world) {
		s := w.deployment.InitialConfiguration()
		s.Queues = append([]historycheck.Queue{}, s.Queues...)
		s.Queues[1].TrustRunLimit = true
		accepted := 0
		w.putSetup(2, s, func(status int) { accepted = status })
		w.run(3000)
		must.Eq(t, 200, accepted)
		plain, trusted := w.submit(w.oneTask("confirm", 3000, 1, 6000, 3)), w.submit(w.oneTask("verify", 3000, 1, 6000, 3))
		w.run(1000)
		at, _ := w.runsAt(plain)
		w.workers[at].crash()
		if also, _ := w.runsAt(trusted); also != at {
			w.workers[also].crash()
		}
		w.run(30_000)
		must.Eq(t, "complete", trusted.state)
		must.Eq(t, 2, w.startsOf(trusted))
		must.Eq(t, "running", plain.state)
		must.StrContains(t, plain.lastState, at)
		must.StrContains(t, plain.lastState, "otterchute workers lost")
		for _, zoneName := range historycheck.Zones {
			status, _, _, _ := w.requestAndWait("operator", w.nodes["d09"], "worker.lost", zoneName+"/"+at, nil)
			must.Eq(t, 200, status)
		}
	}, 30_000}

	scenarios["states while an owner is gone"] = scenario{"ikenna", func(t *testing.T, w *world) {
		w.traffic(20_000)
		w.run(8000)
		for _, freeze := range []bool{false, true} {
			var waiting []*simJob
			for range 9 { // some in each shard
				j := w.oneTask("confirm", 100, 1, 5000, 1)
				j.DelayMs = 60_000
				waiting = append(waiting, w.submit(j))
			}
			w.run(1000)
			n := w.holderOf("slice/mid")
			must.NotNil(t, n)
			if freeze {
				n.freeze(6000)
			} else {
				n.kill(false)
			}
			for i := range 20 {
				j := waiting[i%len(waiting)]
				status, _, b, tookMs := w.requestAndWait("caller", w.nodes[fmt.Sprintf("d%02d", 3+i%14)], "job.get", j.id, nil)
				if other := w.nodes[fmt.Sprintf("d%02d", 3+i%14)]; other == n {
					continue
				}
				must.Eq(t, 200, status, must.Sprint(string(b)))
				must.Eq(t, "running", gjson.GetBytes(b, "state").Str)
				must.Less(t, 1900, tookMs)
			}
			for _, j := range waiting {
				w.cancelJob(j)
			}
			n.start()
			w.run(6000)
		}
		must.Positive(t, w.total("states_from_core"))
	}, 30_000}

	scenarios["setup storm in a takeover"] = scenario{"ikenna", func(t *testing.T, w *world) {
		w.traffic(30_000)
		w.run(12_000)
		usual := w.tasksEndedBetween(w.nowMs()-10_000, w.nowMs())
		s := w.deployment.InitialConfiguration()
		for i := range 5000 {
			s.Queues = append(s.Queues, historycheck.Queue{Name: fmt.Sprintf("guild-%d", i), Selector: map[string][]string{"tier": {"fast"}}, Urgency: int64(i % 7)})
		}
		at, open := w.nowMs(), 0
		w.holderOf("slice/west").kill(false)
		for i := range *stormFlag { // two operators in quick bursts, with competing versions
			s.Note = fmt.Sprint("operator ", i%2, " version ", i)
			open++
			w.putSetup(w.setupVersion()+1+int64(i%3), s, func(int) { open-- })
			w.run(int64(20 + i%4*60))
		}
		must.True(t, w.until(20_000, func() bool { return open == 0 }), must.Sprint("a configuration change got no reply"))
		w.run(max(0, at+18_000-w.nowMs()))
		w.requireThroughput(t, "storm", at+12_000, at+18_000, usual)
		for _, n := range w.sortedNodes() {
			n.start()
		}
		j := w.submit(w.oneTask("guild-4999", 100, 1, 5000, 1))
		w.run(3000)
		must.Eq(t, "complete", j.state)
	}, 30_000}

	scenarios["workers taken away at short notice"] = scenario{"hakata", func(t *testing.T, w *world) {
		w.traffic(30_000)
		w.run(8000)
		for i, name := range []string{"w01", "w04", "w08"} {
			s := w.workers[name]
			s.leaving = true
			w.run(300 + int64(i)*300)
			for range 200 { // ends that only this worker knows would be lost with its journal
				if w.run(3); len(s.ended) == 0 {
					break
				}
			}
			s.crash()
			if i > 0 && len(s.ended) == 0 { // without its journal: a new machine of the same name
				s.ended, s.incarnation = map[string]*simAttempt{}, s.incarnation+100
			}
			w.run(2000)
			s.start()
		}
		w.run(14_000)
	}, 40_000}

	scenarios["a cut-off worker carries on"] = scenario{"ikenna", func(t *testing.T, w *world) {
		w.run(3000)
		for _, how := range []string{"cancelled", "emptied", "agent moved", "all"} {
			var all []*simJob
			for range 22 {
				all = append(all, w.submit(w.oneTask("signoff", 9000, 4, 30_000, 3)))
			}
			at := ""
			must.True(t, w.until(10_000, func() bool {
				for _, j := range all {
					if where, open := w.runsAt(j); open {
						at = where
					}
				}
				return at != ""
			}))
			w.run(2000)
			s := w.workers[at]
			w.cutHost(at)
			w.run(500)
			if how == "cancelled" || how == "all" {
				for _, j := range all {
					w.cancelJob(j)
				}
			}
			if how == "emptied" || how == "all" {
				set := w.deployment.InitialConfiguration()
				set.EmptyZones = []string{s.zone}
				w.putSetup(w.setupVersion()+1, set, nil)
			}
			if how == "agent moved" || how == "all" {
				undo := w.killHolder("agent/" + at)
				w.after(4_000_000, undo)
			}
			w.run(7000)
			for _, j := range all { // attempts on the cut-off worker count as running
				if where, open := w.runsAt(j); open && where == at {
					must.NotEq(t, "complete", j.state)
				}
			}
			w.heal()
			w.run(9000)
			w.restoreSetup()
			must.True(t, w.until(60_000, func() bool { return len(w.openJobs()) == 0 }), must.Sprint(how, w.openJobs()))
		}
	}, 10_000}

	for i, kind := range []string{"urgent jobs", "middling jobs", "large jobs"} {
		scenarios["a wave of "+kind+" on top of faults"] = scenario{"ikenna", func(t *testing.T, w *world) {
			w.traffic(25_000)
			w.run(8000)
			w.wave(i, []int{400, 150, 40}[i])
			w.run(200)
			w.killHolder("slice/" + w.pickOne(historycheck.Zones))
			w.killHolder("central")
			w.workers["w06"].crash()
			w.run(4000)
			w.wave(i, []int{200, 80, 20}[i])
			w.run(3000)
			for _, n := range w.sortedNodes() {
				n.start()
			}
			w.workers["w06"].start()
			began := w.nowMs()
			urgent := w.submit(w.oneTask("signoff", 100, 1, 10_000, 1))
			must.True(t, w.until(10_000, func() bool { return w.firstStart(urgent) > 0 }))
			must.Less(t, 5000, w.firstStart(urgent)-began, must.Sprint("the wave delayed an urgent job"))
			w.run(10_000)
		}, 240_000}
	}

	scenarios["a lone machine isolated, for each kind of duty"] = scenario{"hakata", func(t *testing.T, w *world) {
		w.traffic(110_000)
		w.run(12_000)
		usual := w.tasksEndedBetween(w.nowMs()-10_000, w.nowMs())
		for _, role := range []string{"central", "slice/west", "agent/w05", "core", "none"} {
			n := w.holderOf(role)
			if role == "core" {
				n = w.nodes["d01"]
			} else if role == "none" {
				for _, name := range sortedKeys(w.nodes) {
					if o := w.nodes[name]; !o.Disk && len(o.executor.node.leases.Roles()) == 0 {
						n = o
					}
				}
				if n == nil {
					continue
				}
			}
			must.NotNil(t, n)
			w.cutHost(n.Name)
			at := w.nowMs()
			if role != "core" && role != "none" {
				must.True(t, w.until(9000, func() bool { h := w.holderOf(role); return h != nil && h != n }), must.Sprint("no daemon took ", role))
				must.Less(t, 8000, w.nowMs()-at)
			}
			w.run(at + 9000 - w.nowMs())
			w.requireThroughput(t, role, at+4500, w.nowMs(), usual)
			w.heal()
			w.run(7000)
		}
	}, 30_000}

	scenarios["a core machine replaced while seeds are swapped"] = scenario{"hakata", func(t *testing.T, w *world) {
		w.traffic(40_000)
		w.run(5000)
		seeds := []string{w.nodes["d07"].Addr, w.nodes["d08"].Addr, w.nodes["d09"].Addr}
		for _, name := range sortedKeys(w.nodes) {
			w.nodes[name].Seeds = seeds // takes effect at their next start
		}
		n := w.nodes["d02"]
		n.kill(true)
		n.wipe()
		n.Addr, n.HTTP = "10.0.3.2:7000", "10.0.3.2:8000"
		w.run(1500)
		n.start()
		for _, name := range []string{"d00", "d06", "d10"} { // restarted meanwhile, one of them a core member
			w.nodes[name].kill(false)
			w.run(400)
			w.nodes[name].start()
		}
		must.True(t, w.until(40_000, func() bool { return w.completeCore() != nil }), must.Sprint("the core is not whole"))
		other := w.nodes["d11"] // one that is not a core member
		other.kill(true)
		other.Addr, other.HTTP = "10.0.3.11:7000", "10.0.3.11:8000"
		other.start()
		w.run(4000)
		must.Eq(t, "10.0.3.11:7000", w.nodes["d14"].executor.node.peers.Get("d11").Addr)
	}, 90_000}

	for _, loss := range []string{"power", "a disk"} {
		scenarios["lost right after a job, a cancel, an end: "+loss] = scenario{"ikenna", func(t *testing.T, w *world) {
			w.traffic(70_000)
			w.run(5000)
			for _, kind := range []string{historycheck.JobAcked, historycheck.CancelAcked, historycheck.End} {
				for _, gapUs := range []int64{0, 300, 1500} {
					armed, undo := true, func() {}
					w.onEvent = func(e historycheck.Event) {
						if e.Kind == kind && armed {
							armed = false
							w.after(gapUs, func() {
								if loss == "power" {
									undo = w.killAll(true)
								} else {
									undo = wipeOne(w, false)
								}
							})
						}
					}
					j := w.submit(w.oneTask("signoff", 700, 1, 10_000, 2))
					w.run(400)
					w.cancelJob(j)
					w.until(3000, func() bool { return !armed })
					w.run(800)
					w.onEvent = nil
					undo()
					must.True(t, w.until(30_000, func() bool { return w.completeCore() != nil }))
				}
			}
		}, 60_000}
	}
}

// runsAt returns the worker of a job's last attempt and whether that attempt is still open.
func (w *world) runsAt(j *simJob) (worker string, open bool) {
	for _, e := range w.history {
		if e.Job == j.id && e.Kind == historycheck.Start {
			worker, open = e.Worker, true
		}
		if e.Job == j.id && e.Kind == historycheck.End {
			open = false
		}
	}
	return
}

// Guards against a retry storm: callers that resend at once after each rejection must not cause more
// forwarded retries than the retry budget allows, and an urgent job is still accepted and completes.
func TestImmediateRetriesStayInBudget(t *testing.T) {
	w := formed(t, 3, "ikenna")
	w.run(3000)
	stop, sent, accepted := false, 0, 0
	body, _ := json.Marshal(w.oneTask("certify", 5000, 16, 60_000, 1))
	for i := range 3000 {
		id := fmt.Sprint("crowd-", i)
		var again func()
		again = func() {
			if stop {
				return
			}
			sent++
			w.request("caller", w.anyNode(w.rng.IntN(1000)), "job.put", id, body, 2000, func(status int, _ int64, _ []byte) {
				if status == 201 || status == 200 {
					accepted++
					return
				}
				w.after(20_000, again)
			})
		}
		again()
	}
	w.killHolder("slice/mid") // a third of the jobs have no owner for a while
	forwardedBefore := w.total("requests_forwarded")
	w.run(6000)
	forwarded := w.total("requests_forwarded") - forwardedBefore
	urgent := w.submit(w.oneTask("signoff", 100, 1, 10_000, 1))
	w.run(5000)
	stop = true
	must.Eq(t, "complete", urgent.state)
	must.Positive(t, accepted)
	again, reads := w.total("requests_retried"), w.total("states_from_core")
	must.LessEq(t, int64(sent), forwarded-again, must.Sprintf("%d forwarded of %d sent", forwarded, sent))
	maxRetries := int64(sent/requestsPerRetry + len(w.nodes)*(retryBudgetMax+(11_000/tickMs)*retriesPerTick))
	must.LessEq(t, maxRetries, again+reads, must.Sprintf("%d retries", again+reads))
	t.Log("sent", sent, "forwarded to owners", forwarded, "entered", accepted, strings.TrimSpace(w.counts()))
}

// doctor reports each fault that an operator can repair, and nothing in a healthy fleet.
func TestDoctorFindsFaults(t *testing.T) {
	noFault := func(*world) {}
	for _, c := range []struct {
		check  string
		inject func(w *world)
		ms     int64
	}{
		{"", noFault, 1000},
		{"core below majority", func(w *world) { w.nodes["d00"].kill(true); w.nodes["d02"].kill(true) }, 6000},
		{"core member missing", func(w *world) { w.nodes["d01"].kill(true) }, 6000},
		{"core out of reach", func(w *world) {
			for i := range membership.DefaultSize {
				w.cuts[[2]string{"d07", fmt.Sprintf("d%02d", i)}] = true
			}
		}, 4000},
		{"siblings unreachable", func(w *world) { w.nodes["d10"].kill(false) }, 6000},
		{"clock spread", func(w *world) { w.nodes["d11"].skewMs = 60_000 }, 3000},
		{"unmatched queues", func(w *world) {
			s := w.deployment.InitialConfiguration()
			s.Queues = append(s.Queues, historycheck.Queue{Name: "lone", Selector: map[string][]string{"tier": {"none"}}})
			w.putSetup(2, s, nil)
		}, 4000},
		{"no setup", nil, 3000},
		{"sites empty", func(w *world) {
			s := w.deployment.InitialConfiguration()
			s.EmptyZones = []string{"mid"}
			w.putSetup(2, s, nil)
		}, 4000},
		{"unsettled tasks", func(w *world) {
			j := w.submit(w.oneTask("signoff", 30_000, 1, 60_000, 1))
			w.run(2000)
			at, _ := w.runsAt(j)
			w.workers[at].crash()
		}, 9000},
		{"unsound workers", func(w *world) {
			w.traffic(30_000)
			w.run(10_000)
			w.workers[w.busiestWorker()].failPct = 90
		}, 14_000},
		{"duties without holder", func(w *world) { w.nodes["d00"].kill(true); w.nodes["d01"].kill(true) }, 9000},
	} {
		t.Run(c.check, func(t *testing.T) {
			t.Parallel()
			w := newWorld(10, historycheck.Deployments["hakata"])
			must.True(t, w.until(20_000, func() bool { return w.holderOf("central") != nil }))
			w.run(4000)
			if c.inject != nil {
				w.putSetup(1, w.deployment.InitialConfiguration(), nil)
				w.run(4000)
				c.inject(w)
			}
			w.run(c.ms)
			statuses := map[string][]byte{}
			for _, name := range sortedKeys(w.nodes) {
				if w.nodes[name].up {
					_, _, statuses[name], _ = w.requestAndWait("operator", w.nodes[name], "soundness", "", nil)
				}
			}
			var found []string
			for _, f := range runHealthChecks(statuses) {
				found = append(found, f.Check)
			}
			if c.check == "" {
				must.SliceEmpty(t, found)
			} else {
				must.SliceContains(t, found, c.check)
			}
		})
	}
}

// busiestWorker returns the worker whose agent has seen the most successful attempts. The health of
// a worker without work is unknown.
func (w *world) busiestWorker() (busiest string) {
	most := int64(-1)
	for _, n := range w.sortedNodes() {
		if !n.up {
			continue
		}
		for _, name := range sortedKeys(n.executor.node.agents) {
			if ended := n.executor.node.agents[name].succeeded; ended > most {
				busiest, most = name, ended
			}
		}
	}
	return busiest
}
