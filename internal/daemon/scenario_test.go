package daemon

import (
	"encoding/json"
	"fmt"
	"testing"

	"otterchute/internal/historycheck"
	"otterchute/internal/lease"
	"otterchute/internal/membership"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

var scenarios = map[string]scenario{
	"killed owner":   {"hakata", killHolderOf("slice/east"), 30_000},
	"killed agent":   {"hakata", killHolderOf("agent/w04"), 40_000},
	"killed central": {"hakata", killHolderOf("central"), 30_000},
	"killed core member": {"ikenna", func(t *testing.T, w *world) {
		w.traffic(30_000)
		w.run(10_000)
		w.nodes["d01"].kill(true)
		at := w.nowMs()
		w.run(12_000)
		must.Positive(t, w.tasksEndedBetween(at+4000, at+12_000))
		w.nodes["d01"].start()
	}, 30_000},
	"guaranteed work preempts queueable attempts": {"ikenna", func(t *testing.T, w *world) {
		for i := range 4 { // lets the owners learn the run time
			w.submit(w.oneTask("logbook", 1900, 1, 60_000, 3))
			w.run(int64(3000 + i))
		}
		for range 176 {
			w.submit(w.oneTask("logbook", 1900, 1, 60_000, 3))
		}
		w.run(1200)
		for range 40 { // without an estimate, so placed by the central scheduler
			w.submit(w.oneTask("signoff", 3300, 4, 60_000, 3))
		}
		w.run(4000)
		must.Positive(t, w.total("preemptions"))
	}, 60_000},
	"cancel": {"ikenna", func(t *testing.T, w *world) {
		var running, waiting []*simJob
		for range 4 {
			running = append(running, w.submit(w.oneTask("signoff", 60_000, 16, 90_000, 1)))
		}
		w.run(6000)
		for range 20 {
			waiting = append(waiting, w.submit(w.oneTask("signoff", 30_000, 16, 90_000, 1)))
		}
		w.run(500)
		for _, j := range append(running, waiting...) {
			w.cancelJob(j)
		}
		w.run(8000)
		for _, j := range append(running, waiting...) {
			must.Eq(t, "cancelled", j.state)
		}
	}, 10_000},
	"job resent to every daemon": {"hakata", func(t *testing.T, w *world) {
		j := w.submit(w.oneTask("confirm", 300, 1, 10_000, 1))
		for _, name := range sortedKeys(w.nodes) {
			w.request("caller", w.nodes[name], "job.put", j.id, j.body, 3000, func(status int, _ int64, _ []byte) {
				must.SliceContains(t, []int{200, 201, 503}, status)
			})
		}
		w.run(6000)
		must.Eq(t, 1, w.startsOf(j))
		status, _, _, _ := w.requestAndWait("caller", w.nodes["d07"], "job.put", j.id, j.body)
		must.Eq(t, 200, status)
		other, _ := json.Marshal(w.oneTask("confirm", 301, 1, 10_000, 1))
		status, _, _, _ = w.requestAndWait("caller", w.nodes["d08"], "job.put", j.id, other)
		must.Eq(t, 409, status)
		status, _, _, _ = w.requestAndWait("caller", w.nodes["d09"], "job.get", "never-sent", nil)
		must.Eq(t, 404, status)
	}, 10_000},
	"zone cut off": {"hakata", func(t *testing.T, w *world) {
		w.traffic(60_000)
		w.run(8000)
		w.cutZone("west")
		at := w.nowMs()
		must.True(t, w.until(8000, func() bool {
			h := w.holderOf("slice/west")
			return h != nil && h.Zone != "west"
		}), must.Sprint("the shard of the cut-off zone did not move"))
		w.run(3000)
		// The side that is cut off rejects calls at once, with a time for the retry.
		status, retryMs, _, tookMs := w.requestAndWait("d05", w.nodes["d02"], "job.put", "job-at-cut", []byte(`{"queue":"confirm","steps":[{"name":"a","tasks":[{"name":"t","room":1}]}]}`))
		must.Eq(t, 503, status)
		must.Positive(t, retryMs)
		must.Less(t, 1500, tookMs)
		started := 0
		for _, e := range w.history {
			if e.Kind == historycheck.Start && e.AtMs > at+4000 && w.zoneOf(e.Worker) == "west" {
				started++
			}
		}
		must.Zero(t, started, must.Sprint("work was started in the cut-off zone"))
		w.run(240_000)
		w.heal()
		healed := w.nowMs()
		must.True(t, w.until(20_000, func() bool { h := w.holderOf("slice/west"); return h != nil && h.Zone == "west" }), must.Sprint("the shard did not return to its zone"))
		w.traffic(10_000)
		w.run(10_000)
		back := 0
		for _, e := range w.history {
			if e.Kind == historycheck.Start && e.AtMs > healed && w.zoneOf(e.Worker) == "west" {
				back++
			}
		}
		must.Positive(t, back)
	}, 40_000},
	"power loss of all": {"ikenna", func(t *testing.T, w *world) {
		w.traffic(60_000)
		w.run(15_000)
		at := w.nowMs()
		usual := w.tasksEndedBetween(at-10_000, at)
		undo := worldFaults["power_all"](w)
		w.run(2000)
		undo()
		back := w.nowMs()
		w.run(22_000)
		after := w.tasksEndedBetween(back+12_000, back+22_000)
		must.GreaterEq(t, usual/4, after, must.Sprintf("%d tasks in 10 s before, %d from 12 s after", usual, after))
	}, 40_000},
	"disk wiped right after a configuration change": {"ikenna", func(t *testing.T, w *world) {
		for v := int64(2); v <= 7; v++ {
			s, done := w.deployment.InitialConfiguration(), 0
			s.Note = fmt.Sprint("version ", v)
			w.putSetup(v, s, func(status int) { done = status })
			must.True(t, w.until(5000, func() bool { return done != 0 }))
			must.Eq(t, 200, done)
			wipeOne(w, v%2 == 0)()
			must.True(t, w.until(30_000, func() bool { return w.completeCore() != nil }), must.Sprint("the wiped disk did not come back into the core"))
			must.Eq(t, v, w.setupVersion())
		}
	}, 1000},
	"operators race": {"hakata", func(t *testing.T, w *world) {
		for v := int64(2); v <= 11; v++ {
			var got []int
			for i := range 3 {
				s := w.deployment.InitialConfiguration()
				s.Note = fmt.Sprint("operator ", i)
				w.putSetup(v, s, func(status int) { got = append(got, status) })
			}
			must.True(t, w.until(10_000, func() bool { return len(got) == 3 }))
			wins := 0
			for _, s := range got {
				if s == 200 {
					wins++
				}
			}
			must.Eq(t, 1, wins, must.Sprint(got))
		}
	}, 1000},
	"large configuration": {"ikenna", func(t *testing.T, w *world) {
		s := w.deployment.InitialConfiguration()
		for i := range 5000 {
			s.Queues = append(s.Queues, historycheck.Queue{Name: fmt.Sprintf("guild-%d", i), Selector: map[string][]string{"tier": {"fast"}}, Urgency: 1})
		}
		done := 0
		w.traffic(12_000)
		w.putSetup(2, s, func(status int) { done = status })
		must.True(t, w.until(5000, func() bool { return done != 0 }))
		must.Eq(t, 200, done)
		at := w.nowMs()
		j := w.submit(w.oneTask("guild-4999", 100, 1, 5000, 1))
		w.run(8000)
		must.Eq(t, "complete", j.state)
		must.Positive(t, w.tasksEndedBetween(at+2000, at+8000))
	}, 30_000},
	"vanished worker": {"hakata", func(t *testing.T, w *world) {
		w.traffic(10_000)
		w.run(8000)
		for _, name := range []string{"w02", "w05"} {
			w.workers[name].up = false // removed for good without notice; its attempts end with it
			w.workers[name].crash()
		}
		w.run(40_000)
		open := len(w.openJobs())
		must.Positive(t, open, must.Sprint("no task was running on these workers"))
		lost := int64(0)
		for _, s := range historycheck.Zones {
			for _, name := range []string{"w02", "w05"} {
				status, _, b, _ := w.requestAndWait("operator", w.nodes["d09"], "worker.lost", s+"/"+name, nil)
				must.Eq(t, 200, status)
				lost += gjson.GetBytes(b, "tasks").Int()
			}
		}
		must.Positive(t, lost)
	}, 30_000},
	"graceful shutdown": {"hakata", func(t *testing.T, w *world) {
		w.traffic(30_000)
		w.run(10_000)
		for _, role := range []string{"slice/mid", "central", "agent/w03"} {
			n := w.holderOf(role)
			must.NotNil(t, n)
			n.event(evStop{})
			at := w.nowMs()
			must.True(t, w.until(2000, func() bool { h := w.holderOf(role); return h != nil && h != n }), must.Sprint("no successor for ", role))
			must.Less(t, lease.DurationMs, w.nowMs()-at, must.Sprint(role, " waited for the lease to expire"))
			must.True(t, w.until(shutdownTimeoutMs+500, func() bool { return !n.up }), must.Sprint("the daemon did not end"))
			n.start()
			w.run(3000)
		}
	}, 30_000},
	"all seeds replaced": {"ikenna", func(t *testing.T, w *world) {
		w.traffic(30_000)
		w.run(5000)
		for _, old := range []string{"d00", "d01", "d02"} { // the core and the seeds at once
			w.nodes[old].kill(false)
			w.nodes[old].Seeds = []string{w.nodes["d05"].Addr, w.nodes["d06"].Addr, w.nodes["d07"].Addr}
			w.nodes[old].Addr = "10.0.9." + old[2:] + ":7000"
			w.run(2000)
			w.nodes[old].start()
			must.True(t, w.until(30_000, func() bool { return w.completeCore() != nil }))
		}
		w.nodes["d09"].kill(false) // restarts with only the old, dead seeds in its settings
		w.nodes["d09"].start()
		w.run(3000)
	}, 30_000},
	"worker leaves": {"hakata", func(t *testing.T, w *world) {
		w.traffic(25_000)
		w.run(8000)
		w.workers["w04"].leaving, w.workers["w07"].leaving = true, true
		w.run(17_000)
		must.MapEmpty(t, w.workers["w04"].running)
	}, 30_000},
	"zone emptied": {"hakata", func(t *testing.T, w *world) {
		w.traffic(25_000)
		w.run(8000)
		s := w.deployment.InitialConfiguration()
		s.EmptyZones = []string{"mid"}
		w.putSetup(2, s, nil)
		w.run(17_000)
	}, 30_000},
	"failing and unmatched jobs delay no others": {"ikenna", func(t *testing.T, w *world) {
		for range 20 {
			j := w.oneTask("signoff", 100, 1, 5000, 3)
			j.Steps[0].Tasks[0].Payload = historycheck.Work{Ms: 100, FailPct: 100}
			w.submit(j)
		}
		lone := w.oneTask("signoff", 100, 1, 5000, 3)
		lone.Steps[0].Tasks[0].Labels = map[string]string{"disk": "tape"}
		l := w.submit(lone)
		w.traffic(20_000)
		w.run(45_000)
		must.Eq(t, []string{l.id + ":running"}, w.openJobs())
		must.StrContains(t, l.lastState, "labels it needs")
		w.cancelJob(l)
	}, 10_000},
	"wave": {"ikenna", func(t *testing.T, w *world) {
		for range 500 {
			w.submit(w.deployment.RandomJob(w.rng))
		}
		w.traffic(10_000)
		w.run(5000)
		for range 30 {
			w.submit(w.oneTask("certify", 2000, 16, 60_000, 3)) // each fills a whole worker
		}
		w.run(5000)
	}, 150_000},
	"tasks without progress": {"hakata", func(t *testing.T, w *world) {
		j := w.oneTask("confirm", 100, 1, 1500, 2)
		j.Steps[0].Tasks[0].Payload = historycheck.Work{Stall: true}
		var all []*simJob
		for range 5 {
			all = append(all, w.submit(j))
		}
		w.run(15_000)
		for _, s := range all {
			must.Eq(t, "failed", s.state)
			must.Eq(t, 2, w.startsOf(s))
		}
	}, 5000},
	"failing worker gets less work": {"hakata", func(t *testing.T, w *world) {
		w.traffic(70_000)
		w.run(10_000)
		w.workers["w06"].failPct = 90
		w.run(20_000)
		before := w.workers["w06"].starts
		others := w.workers["w08"].starts
		w.run(40_000)
		mine, theirs := w.workers["w06"].starts-before, w.workers["w08"].starts-others
		must.Less(t, theirs/2, mine, must.Sprintf("%d starts at the failing worker, %d at a healthy one", mine, theirs))
		w.workers["w06"].failPct = 0
	}, 60_000},
}

func init() {
	scenarios["owner cut off from the core before a placement"] = scenario{"hakata", func(t *testing.T, w *world) {
		w.run(3000)
		for range 15 { // each owner learns that this is short and then places it by itself
			w.submit(w.oneTask("confirm", 400, 1, 20_000, 1))
		}
		j, owner, cut := w.jobOfCutOffOwner(t, func() historycheck.Job {
			j := w.oneTask("confirm", 400, 1, 20_000, 1)
			j.DelayMs = 2000
			return j
		})
		w.run(1400)
		cut()
		w.run(lease.DurationMs - 200) // it becomes due here, while the owner's lease is still valid
		must.Zero(t, w.startsOf(j))
		must.True(t, w.until(8000, func() bool {
			h := w.holderOf("slice/" + owner.executor.node.shardOf(j.id))
			return h != nil && h != owner
		}))
		w.run(2000)
		w.heal()
	}, 20_000}
	scenarios["owner cut off from the core before an attempt ends"] = scenario{"hakata", func(t *testing.T, w *world) {
		j, owner, cut := w.jobOfCutOffOwner(t, func() historycheck.Job { return w.oneTask("confirm", 1500, 1, 20_000, 1) })
		must.Eq(t, 1, w.startsOf(j))
		w.run(600)
		cut()
		must.True(t, w.until(8000, func() bool {
			h := w.holderOf("slice/" + owner.executor.node.shardOf(j.id))
			return h != nil && h != owner
		}))
		w.run(2 * tombstoneMs)
		must.Eq(t, 1, w.startsOf(j))
		w.heal()
	}, 20_000}
}

func init() {
	scenarios["worker leaves with a full queue"] = scenario{"ikenna", func(t *testing.T, w *world) {
		w.fillQueues()
		w.workers["w04"].leaving, w.workers["w07"].leaving = true, true
		w.run(15_000)
	}, 60_000}
	scenarios["zone emptied with full queues"] = scenario{"ikenna", func(t *testing.T, w *world) {
		w.fillQueues()
		s := w.deployment.InitialConfiguration()
		s.EmptyZones = []string{"mid"}
		w.putSetup(2, s, nil)
		w.run(15_000)
	}, 60_000}
	scenarios["selector narrowed with full queues"] = scenario{"ikenna", func(t *testing.T, w *world) {
		w.fillQueues()
		s := historycheck.Configuration{Queues: []historycheck.Queue{{Name: w.equivalentQueue("logbook"), Selector: map[string][]string{"tier": {"fast"}}, Urgency: 1}}}
		w.putSetup(2, s, nil)
		w.run(15_000)
	}, 90_000}
	scenarios["owner cut off from the core before a cancellation"] = scenario{"hakata", func(t *testing.T, w *world) {
		j, owner, cut := w.jobOfCutOffOwner(t, func() historycheck.Job {
			j := w.oneTask("confirm", 400, 1, 20_000, 1)
			j.DelayMs = 9000
			return j
		})
		w.run(1000)
		cut()
		w.request("caller", owner, "job.cancel", j.id, nil, 2000, func(status int, _ int64, _ []byte) {
			if status == 200 {
				w.record(historycheck.Event{Kind: historycheck.CancelAcked, Job: j.id})
			}
		})
		must.True(t, w.until(8000, func() bool {
			h := w.holderOf("slice/" + owner.executor.node.shardOf(j.id))
			return h != nil && h != owner
		}))
		w.heal()
		w.run(10_000)
	}, 20_000}
}

func init() {
	scenarios["late write of a frozen owner"] = scenario{"hakata", func(t *testing.T, w *world) {
		j, owner, _ := w.jobOfCutOffOwner(t, func() historycheck.Job {
			j := w.oneTask("confirm", 400, 1, 20_000, 1)
			j.DelayMs = 12_000
			return j
		})
		for i := range membership.DefaultSize {
			w.pathDelayUs[[2]string{owner.Name, fmt.Sprintf("d%02d", i)}] = 6_000_000
		}
		w.request("caller", owner, "job.cancel", j.id, nil, 30_000, func(status int, _ int64, _ []byte) {
			if status == 200 {
				w.record(historycheck.Event{Kind: historycheck.CancelAcked, Job: j.id})
			}
		})
		w.run(5)
		owner.freeze(8000)
		must.True(t, w.until(8000, func() bool {
			h := w.holderOf("slice/" + owner.executor.node.shardOf(j.id))
			return h != nil && h != owner
		}))
		w.run(10_000)
		w.pathDelayUs = map[[2]string]int64{}
		w.run(6000)
	}, 20_000}
	scenarios["core restarts while agents are cut off from it"] = scenario{"ikenna", func(t *testing.T, w *world) {
		w.run(3000)
		w.traffic(45_000)
		for range 5 {
			w.run(2000)
			for i := range cutOffAgents {
				h := w.holderOf(fmt.Sprintf("agent/w%02d", i))
				if h == nil || h.Disk {
					continue
				}
				for c := range membership.DefaultSize {
					core := fmt.Sprintf("d%02d", c)
					w.cuts[[2]string{h.Name, core}], w.cuts[[2]string{core, h.Name}] = true, true
				}
			}
			for c := range membership.DefaultSize {
				w.nodes[fmt.Sprintf("d%02d", c)].kill(true)
			}
			w.run(50)
			for c := range membership.DefaultSize {
				w.nodes[fmt.Sprintf("d%02d", c)].start()
			}
			w.run(4000)
			w.heal()
			w.run(3000)
		}
	}, 60_000}
}

const cutOffAgents = 6 // workers whose agents are cut off in that scenario

func init() {
	scenarios["first cancel message lost"] = scenario{"ikenna", func(t *testing.T, w *world) {
		w.run(3000)
		var all []*simJob
		for range 12 {
			all = append(all, w.submit(w.oneTask("signoff", 60_000, 4, 90_000, 1)))
		}
		w.run(3000)
		for _, n := range w.sortedNodes() { // for a moment no daemon receives anything from any owner
			for _, s := range historycheck.Zones {
				if h := w.holderOf("slice/" + s); h != nil && h != n {
					w.cuts[[2]string{h.Name, n.Name}] = true
				}
			}
		}
		for _, j := range all {
			owner := w.holderOf("slice/" + w.nodes["d00"].executor.node.shardOf(j.id))
			w.request("caller", owner, "job.cancel", j.id, nil, 2000, func(int, int64, []byte) {})
		}
		w.run(800)
		w.heal()
		w.run(4000)
		for _, j := range all {
			w.cancelJob(j)
		}
		w.run(5000)
		for _, j := range all {
			must.Eq(t, "cancelled", j.state)
		}
	}, 10_000}
}

func init() {
	scenarios["agents freeze before sending an order"] = scenario{"hakata", func(t *testing.T, w *world) {
		w.traffic(50_000)
		w.run(5000)
		for range 4 {
			w.freezesBeforeOrder = 1
			w.run(11_000)
		}
		must.Zero(t, w.freezesBeforeOrder)
	}, 60_000}
}

func init() {
	scenarios["shed and requeued elsewhere"] = scenario{"ikenna", func(t *testing.T, w *world) {
		w.fillQueues()
		w.workers["w02"].slowdown = 12 // its queue stalls while those of the others move on
		w.run(20_000)
		must.Positive(t, w.total("sheds"))
		must.Positive(t, w.total("ends_shed"))
		w.workers["w02"].slowdown = 1
	}, 90_000}
}

func init() {
	scenarios["end stored by only one core member"] = scenario{"hakata", func(t *testing.T, w *world) {
		j, owner, _ := w.jobOfCutOffOwner(t, func() historycheck.Job { return w.oneTask("confirm", 1500, 1, 20_000, 1) })
		must.Eq(t, 1, w.startsOf(j))
		name := "slice/" + owner.executor.node.shardOf(j.id)
		w.run(600)
		w.cuts[[2]string{owner.Name, "d00"}], w.cuts[[2]string{owner.Name, "d02"}] = true, true
		w.run(1200) // the attempt ends, and only d01 stores the end
		w.heal()
		w.cutHost("d02")
		w.cutHost(owner.Name)
		must.True(t, w.until(8000, func() bool { h := w.holderOf(name); return h != nil && h != owner }))
		w.run(2000) // the new owner recovers from d00 and d01; the worker forgets the end
		second := w.holderOf(name)
		w.heal()
		w.nodes["d01"].kill(false)
		second.kill(false)
		must.True(t, w.until(8000, func() bool { h := w.holderOf(name); return h != nil && h != second }))
		w.run(2 * tombstoneMs)
		must.Eq(t, 1, w.startsOf(j))
		w.nodes["d01"].start()
		second.start()
	}, 20_000}
}

func init() {
	scenarios["member missed an end that was deleted since"] = scenario{"hakata", func(t *testing.T, w *world) {
		for _, n := range w.sortedNodes() {
			n.FinishedKeepMs, n.executor.node.FinishedKeepMs = 20_000, 20_000
		}
		j, owner, _ := w.jobOfCutOffOwner(t, func() historycheck.Job { return w.oneTask("confirm", 1500, 1, 20_000, 1) })
		name := "slice/" + owner.executor.node.shardOf(j.id)
		w.run(600)
		w.cutHost("d02")
		must.True(t, w.until(3000, func() bool { _, open := w.runsAt(j); return !open }))
		w.run(3500) // the others learn that a majority stores it
		owner.kill(false)
		must.True(t, w.until(8000, func() bool { h := w.holderOf(name); return h != nil && h != owner }))
		w.run(1000)
		w.heal() // d02 still stores the job as live, and has received no message about its end
		owner.start()
		w.run(70_000) // the others have deleted it
		second := w.holderOf(name)
		w.cutHost("d01")
		second.kill(false)
		must.True(t, w.until(8000, func() bool { h := w.holderOf(name); return h != nil && h != second }))
		w.run(10_000)
		must.Eq(t, 1, w.startsOf(j))
		w.heal()
		second.start()
	}, 20_000}
	scenarios["job stored by only one member, resent"] = scenario{"hakata", func(t *testing.T, w *world) {
		w.run(3000)
		spec := w.oneTask("confirm", 300, 1, 10_000, 1)
		body, _ := json.Marshal(spec)
		for i := range 6 {
			id := fmt.Sprintf("j%05d", w.jobSeq+1) // the ID that the next submit will use
			name := "slice/" + w.nodes["d00"].executor.node.shardOf(id)
			owner := w.holderOf(name)
			must.NotNil(t, owner)
			lone := fmt.Sprintf("d%02d", i%membership.DefaultSize)
			if owner.Disk {
				lone = owner.Name
			}
			w.record(historycheck.Event{Kind: historycheck.JobSent, Job: id, Spec: &spec})
			w.request("early", owner, "job.put", id, body, 2000, func(int, int64, []byte) {})
			for owner.executor.node.shards[name[6:]].jobs[id] == nil {
				w.step()
			}
			for c := range membership.DefaultSize { // its write reaches one member only
				if core := fmt.Sprintf("d%02d", c); core != lone {
					w.cuts[[2]string{owner.Name, core}] = true
				}
			}
			w.run(5)
			owner.kill(false)
			w.cutHost(lone)
			must.True(t, w.until(8000, func() bool { h := w.holderOf(name); return h != nil && h != owner }))
			w.run(100)
			w.heal()
			second := w.holderOf(name)
			if lone == owner.Name {
				owner.start()
			}
			// That member's answer is among the first two that the new owner receives.
			for c := range membership.DefaultSize {
				if core := fmt.Sprintf("d%02d", c); core != lone && core != second.Name {
					w.pathDelayUs[[2]string{core, second.Name}] = 30_000
					break
				}
			}
			w.submit(spec)
			w.run(1000)
			w.pathDelayUs = map[[2]string]int64{}
			w.run(4000)
			owner.start()
			w.run(3000)
		}
	}, 20_000}
}
