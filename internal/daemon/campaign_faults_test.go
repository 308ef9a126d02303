package daemon

import (
	"fmt"
	"slices"
	"strings"

	"otterchute/internal/historycheck"
	"otterchute/internal/membership"
	"otterchute/internal/quorum"
)

// worldFault starts a fault and returns what ends it.
type worldFault func(w *world) (undo func())

func (w *world) randomNode() *simNode { return w.nodes[sortedKeys(w.nodes)[w.rng.IntN(len(w.nodes))]] }

func (w *world) randomWorker() *simWorker {
	return w.workers[sortedKeys(w.workers)[w.rng.IntN(len(w.workers))]]
}

func (w *world) pickOne(list []string) string { return list[w.rng.IntN(len(list))] }

// completeCore returns the core members if all of them are up and agree, so that one of them may
// lose its disk, and nil otherwise.
func (w *world) completeCore() []*simNode {
	var out []*simNode
	var set quorum.Set
	for _, name := range sortedKeys(w.nodes) {
		n := w.nodes[name]
		if n.up && n.executor.node.core.Version > set.Version {
			set = n.executor.node.core
		}
	}
	for _, m := range set.Members {
		n := w.nodes[m.Name]
		if n.up && w.nowUs >= n.frozenUntilUs && n.executor.node.inCore() && n.executor.node.core.Version == set.Version && n.executor.node.now-n.executor.node.leases.LastContactMs() < 1000 {
			out = append(out, n)
		}
	}
	if len(out) < membership.DefaultSize || len(w.cuts) > 0 {
		return nil
	}
	return out
}

// killNode kills a daemon that runs, and returns a function that starts it again.
func killNode(w *world, n *simNode, power bool) func() {
	if n.up {
		n.kill(power)
	}
	return n.start
}

// allOf returns a function that calls all of undo.
func allOf(undo []func()) func() {
	return func() {
		for _, u := range undo {
			u()
		}
	}
}

func (w *world) killAll(power bool) func() {
	var undo []func()
	for _, name := range sortedKeys(w.nodes) {
		undo = append(undo, killNode(w, w.nodes[name], power))
	}
	w.record(historycheck.Event{Kind: historycheck.WorkerUnreachable})
	undo = append(undo, func() { w.record(historycheck.Event{Kind: historycheck.WorkerReachable}) })
	return allOf(undo)
}

func (w *world) killHolder(role string) func() {
	if n := w.holderOf(role); n != nil {
		return killNode(w, n, false)
	}
	return func() {}
}

// wipeOne wipes the disk of a core member with a power loss. The returned function starts the
// member again, at a new address if newAddr is set.
func wipeOne(w *world, newAddr bool) func() {
	core := w.completeCore()
	if core == nil {
		return func() {}
	}
	n := core[w.rng.IntN(len(core))]
	n.kill(true)
	n.wipe()
	if newAddr { // an operator would list machines that are running now
		n.Seeds = []string{w.randomNode().Addr, w.randomNode().Addr, w.nodes["d05"].Addr}
		n.Addr, n.HTTP = strings.Replace(n.Addr, "10.0.0", "10.0.1", 1), strings.Replace(n.HTTP, "10.0.0", "10.0.1", 1)
	}
	return n.start
}

var worldFaults = map[string]worldFault{
	"kill":         func(w *world) func() { return killNode(w, w.randomNode(), false) },
	"kill_central": func(w *world) func() { return w.killHolder("central") },
	"kill_owner":   func(w *world) func() { return w.killHolder("slice/" + w.pickOne(historycheck.Zones)) },
	"kill_agent":   func(w *world) func() { return w.killHolder("agent/" + w.pickOne(sortedKeys(w.workers))) },
	"stop_nicely": func(w *world) func() {
		n := w.randomNode()
		if n.up {
			n.event(evStop{})
		}
		return func() {
			if n.up && n.executor.node.leavingSinceMs != 0 { // it froze while it was shutting down
				n.kill(false)
			}
			n.start()
		}
	},
	"power_one": func(w *world) func() { return killNode(w, w.randomNode(), true) },
	"power_all": func(w *world) func() { return w.killAll(true) },
	"freeze":    func(w *world) func() { w.randomNode().freeze(500 + w.rng.Int64N(9000)); return func() {} },
	"freeze_owner": func(w *world) func() {
		if n := w.holderOf("slice/" + w.pickOne(historycheck.Zones)); n != nil {
			n.freeze(2000 + w.rng.Int64N(6000))
		}
		return func() {}
	},
	"freeze_agent": func(w *world) func() {
		if n := w.holderOf("agent/" + w.pickOne(sortedKeys(w.workers))); n != nil {
			n.freeze(1000 + w.rng.Int64N(6000))
		}
		return func() {}
	},
	"wipe":      func(w *world) func() { return wipeOne(w, false) },
	"wipe_move": func(w *world) func() { return wipeOne(w, true) },
	"cut_site":  func(w *world) func() { w.cutZone(w.pickOne(historycheck.Zones)); return w.heal },
	"cut_host":  func(w *world) func() { w.cutHost(w.pickOne(w.hosts())); return w.heal },
	"cut_some": func(w *world) func() {
		hosts := w.hosts()
		for range 1 + w.rng.IntN(40) {
			w.cuts[[2]string{w.pickOne(hosts), w.pickOne(hosts)}] = true
		}
		return w.heal
	},
	"split_core": func(w *world) func() {
		for i := range membership.DefaultSize {
			for j := range membership.DefaultSize {
				if i != j {
					w.cuts[[2]string{fmt.Sprintf("d%02d", i), fmt.Sprintf("d%02d", j)}] = true
				}
			}
		}
		return w.heal
	},
	"slow_disk": func(w *world) func() {
		d := fmt.Sprintf("d%02d", w.rng.IntN(membership.DefaultSize))
		w.extraSyncUs[d] = 50_000 + w.rng.Int64N(900_000)
		return func() { delete(w.extraSyncUs, d) }
	},
	"slow_disks": func(w *world) func() {
		for i := range membership.DefaultSize {
			w.extraSyncUs[fmt.Sprintf("d%02d", i)] = 20_000 + w.rng.Int64N(400_000)
		}
		return func() { w.extraSyncUs = map[string]int64{} }
	},
	"disk_full": func(w *world) func() { return w.fillDisk(fmt.Sprintf("d%02d", w.rng.IntN(membership.DefaultSize))) },
	"disk_stall": func(w *world) func() {
		w.stallDisk(fmt.Sprintf("d%02d", w.rng.IntN(membership.DefaultSize)), 500+w.rng.Int64N(6000))
		return func() {}
	},
	"answers_lost": func(w *world) func() {
		return allOf([]func(){w.loseResponses("operator", 0.7), w.loseResponses("caller", 0.3)})
	},
	"resets": func(w *world) func() {
		w.resetConnections(w.hosts()[:1+w.rng.IntN(len(w.nodes))], 0.7)
		return func() {}
	},
	"cut_one_way": func(w *world) func() { // a machine that receives from all others and can't send
		host := w.randomNode().Name
		for _, other := range w.hosts() {
			w.cuts[[2]string{host, other}] = other != host
		}
		return w.heal
	},
	"seeds_turned": func(w *world) func() {
		seeds := []string{w.randomNode().Addr, w.randomNode().Addr, w.randomNode().Addr}
		for _, name := range sortedKeys(w.nodes) {
			w.nodes[name].Seeds = seeds
			w.nodes[name].event(evSeeds{Seeds: seeds})
		}
		return func() {}
	},
	"clock": func(w *world) func() { return w.skewClocks(1) },
	"clocks": func(w *world) func() { // two core members and some others at once
		undo := []func(){w.skewClocks(1 + w.rng.IntN(4))}
		for i := range 2 {
			undo = append(undo, w.skewClock(w.nodes[fmt.Sprintf("d%02d", i)]))
		}
		return allOf(undo)
	},
	"clock_restart": func(w *world) func() { // the clock is already wrong when the daemon starts
		n := w.nodes[fmt.Sprintf("d%02d", w.rng.IntN(membership.DefaultSize))]
		back := w.skewClock(n)
		n.kill(false)
		n.start()
		return back
	},
	"worker_crash": func(w *world) func() {
		s := w.randomWorker()
		if s.up {
			s.crash()
		}
		return s.start
	},
	"worker_slow": func(w *world) func() {
		s := w.randomWorker()
		s.slowdown = 4 + w.rng.Int64N(8)
		return func() { s.slowdown = 1 }
	},
	"worker_fails": func(w *world) func() {
		s := w.randomWorker()
		s.failPct = 30 + w.rng.IntN(60)
		return func() { s.failPct = 0 }
	},
	"worker_stalls": func(w *world) func() {
		s := w.randomWorker()
		s.stallPct = 20
		return func() { s.stallPct = 0 }
	},
	"worker_leaves": func(w *world) func() {
		s := w.randomWorker()
		s.leaving = true
		return func() {
			if s.up && s.leaving {
				s.crash()
				s.start()
			}
		}
	},
	"worker_taken": func(w *world) func() { // at short notice, with its journal or without
		s, over := w.randomWorker(), false
		s.leaving = true
		takeAway := func() {
			if !s.up || !s.leaving || over {
				return
			}
			s.crash()
			if len(s.ended) == 0 && w.rng.IntN(2) == 0 {
				s.incarnation += 100 // no result is lost: a new machine with the same name
			}
		}
		w.after(w.rng.Int64N(1_000_000), takeAway)
		return func() { takeAway(); over = true; s.start() }
	},
	// It continues while its tasks are cancelled, its zone is emptied or its agent moves.
	"worker_cut": func(w *world) func() {
		s := w.randomWorker()
		w.cutHost(s.name)
		var undo []func()
		for _, id := range sortedKeys(s.running) {
			if j := w.jobs[s.running[id].job]; j.acked && w.rng.IntN(2) == 0 {
				w.cancelJob(j)
			}
		}
		if w.rng.IntN(2) == 0 {
			set := w.deployment.InitialConfiguration()
			set.EmptyZones = []string{s.zone}
			w.putSetup(w.setupVersion()+1, set, nil)
			undo = append(undo, w.restoreSetup)
		}
		if w.rng.IntN(2) == 0 {
			undo = append(undo, w.killHolder("agent/"+s.name))
		}
		return allOf(append(undo, w.heal))
	},
	"isolated_duty": func(w *world) func() {
		if n := w.holderOf(w.pickOne([]string{"central", "slice/" + w.pickOne(historycheck.Zones), "agent/" + w.pickOne(sortedKeys(w.workers))})); n != nil {
			w.cutHost(n.Name)
		}
		return w.heal
	},
	"moved": func(w *world) func() { // a machine outside the core is replaced, at a new address
		n := w.randomNode()
		if n.Disk || !n.up {
			return func() {}
		}
		n.kill(true)
		n.Addr, n.HTTP = strings.Replace(n.Addr, "10.0.0", "10.0.2", 1), strings.Replace(n.HTTP, "10.0.0", "10.0.2", 1)
		return n.start
	},
	// Loss of power or of a disk right after a job or a cancellation was acknowledged or a task ended.
	"lost_after_ack": func(w *world) func() {
		kind, wipe := w.pickOne([]string{historycheck.JobAcked, historycheck.CancelAcked, historycheck.End}), w.rng.IntN(2) == 0
		undo, armed, over := func() {}, true, false
		w.onEvent = func(e historycheck.Event) {
			if e.Kind != kind || !armed {
				return
			}
			armed = false
			w.after(w.rng.Int64N(4000), func() {
				switch {
				case over:
				case wipe:
					undo = wipeOne(w, false)
				default:
					undo = w.killAll(true)
				}
			})
		}
		return func() { over, w.onEvent = true, nil; undo() }
	},
	"storm": func(w *world) func() { // quick bursts by two operators, with many queues
		s := w.deployment.InitialConfiguration()
		for i := range 300 {
			s.Queues = append(s.Queues, historycheck.Queue{Name: fmt.Sprint("guild-", i), Selector: map[string][]string{"tier": {"fast"}}, Urgency: int64(i % 5)})
		}
		for i := range 20 {
			s.Note = fmt.Sprint("storm ", i, w.rng.IntN(1000))
			w.putSetup(w.setupVersion()+1+int64(i/2), s, nil)
		}
		return w.restoreSetup
	},
	// For good, until an operator declares it lost; then a new one of the same name starts.
	"worker_vanishes": func(w *world) func() {
		s := w.randomWorker()
		if !s.up || len(s.ended) > 0 {
			return func() {} // results that only this worker knows would be lost with it: see docs/proof.md
		}
		s.crash()
		return func() {
			var declareLost func(zoneIndex int)
			declareLost = func(zoneIndex int) {
				if zoneIndex == len(historycheck.Zones) {
					s.start()
					return
				}
				w.request("operator", w.randomNode(), "worker.lost", historycheck.Zones[zoneIndex]+"/"+s.name, nil, 2000, func(status int, _ int64, _ []byte) {
					if status == 200 {
						zoneIndex++
					}
					w.after(300_000, func() { declareLost(zoneIndex) })
				})
			}
			w.after(6_000_000, func() { declareLost(0) })
		}
	},
	"worker_freeze": func(w *world) func() {
		s := w.randomWorker()
		s.frozenUntilUs = w.nowUs + 1_000_000 + w.rng.Int64N(5_000_000)
		return func() {}
	},
	"wave":        func(w *world) func() { return w.wave(-1, 40+w.rng.IntN(60)) },
	"wave_urgent": func(w *world) func() { return w.wave(0, 100+w.rng.IntN(100)) },
	"wave_large":  func(w *world) func() { return w.wave(2, 10+w.rng.IntN(10)) },
	"hopeless": func(w *world) func() {
		for range 5 {
			j := w.deployment.JobKinds[0].Make(w.rng)
			j.Steps[0].Tasks[0].Payload = historycheck.Work{Ms: 100, FailPct: 100}
			w.submit(j)
		}
		return func() {}
	},
	"standing": func(w *world) func() {
		j := w.deployment.JobKinds[0].Make(w.rng)
		j.Steps[0].Tasks[0].Payload = historycheck.Work{Stall: true}
		j.Steps[0].Tasks[0].LimitMs, j.Steps[0].Tasks[0].AllowedFailures = 2000, 2
		w.submit(j)
		return func() {}
	},
	"cancels": func(w *world) func() {
		for _, o := range w.openJobs() {
			if w.rng.IntN(3) == 0 {
				id, _, _ := strings.Cut(o, ":")
				if w.jobs[id].acked {
					w.cancelJob(w.jobs[id])
				}
			}
		}
		return func() {}
	},
	"empty_site": func(w *world) func() {
		s := w.deployment.InitialConfiguration()
		s.EmptyZones = []string{w.pickOne(historycheck.Zones)}
		w.putSetup(w.setupVersion()+1, s, nil)
		return w.restoreSetup
	},
	"race": func(w *world) func() { // operators race in a quick burst
		for i := range 4 {
			s := w.deployment.InitialConfiguration()
			s.Note = fmt.Sprint("operator ", i, w.rng.IntN(1000))
			w.putSetup(w.setupVersion()+1+int64(i/3), s, nil)
		}
		return func() {}
	},
	"regroup": func(w *world) func() { // the first queue is restricted to the workers of one tier
		s := w.deployment.InitialConfiguration()
		s.Queues = slices.Clone(s.Queues)
		s.Queues[0].Selector = map[string][]string{"tier": {w.pickOne([]string{"fast", "bulk"})}}
		w.putSetup(w.setupVersion()+1, s, nil)
		return w.restoreSetup
	},
	"new_seeds": func(w *world) func() {
		names := sortedKeys(w.nodes)
		var seeds []string
		for range 3 {
			seeds = append(seeds, w.nodes[w.pickOne(names)].Addr)
		}
		for _, name := range names {
			w.nodes[name].Seeds = seeds
		}
		return killNode(w, w.randomNode(), false)
	},
}

// wave submits many jobs at once, all of one kind or of the usual mix.
func (w *world) wave(kind, count int) func() {
	for range count {
		if kind < 0 {
			w.submit(w.deployment.RandomJob(w.rng))
		} else {
			w.submit(w.deployment.JobKinds[kind].Make(w.rng))
		}
	}
	return func() {}
}

// skewClocks sets the clocks of count machines wrong, but never those of half of the cluster.
func (w *world) skewClocks(count int) func() {
	var undo []func()
	for range count {
		undo = append(undo, w.skewClock(w.randomNode()))
	}
	return allOf(undo)
}

func (w *world) skewClock(n *simNode) func() {
	wrong := 0
	for _, o := range w.sortedNodes() {
		if o.skewMs != 0 {
			wrong++
		}
	}
	if 2*(wrong+1) >= len(w.nodes)-1 {
		return func() {}
	}
	n.skewMs = w.rng.Int64N(7_200_000) - 3_600_000
	return func() { n.skewMs = 0 }
}

// finalFaults are the hard losses that a campaign may end with. Each returns a function that
// brings the machines back.
var finalFaults = map[string]worldFault{
	"power of all": func(w *world) func() { return w.killAll(true) },
	"a whole site": func(w *world) func() {
		zoneName, undo := w.pickOne(historycheck.Zones), []func(){}
		for _, name := range sortedKeys(w.nodes) {
			if n := w.nodes[name]; n.Zone == zoneName {
				undo = append(undo, killNode(w, n, true))
			}
		}
		for _, name := range sortedKeys(w.workers) {
			if s := w.workers[name]; s.zone == zoneName && s.up {
				s.crash()
				undo = append(undo, s.start)
			}
		}
		return allOf(undo)
	},
	"two core machines": func(w *world) func() {
		a, b := killNode(w, w.nodes["d00"], true), killNode(w, w.nodes["d02"], true)
		return func() { a(); b() }
	},
	"owner, central and their successors": func(w *world) func() {
		var undo []func()
		for _, role := range []string{"slice/" + w.pickOne(historycheck.Zones), "central"} {
			n := w.holderOf(role)
			if n == nil {
				continue
			}
			zoneName := ""
			if role != "central" {
				zoneName = strings.TrimPrefix(role, "slice/")
			}
			for _, name := range n.executor.node.leases.Candidates(role, zoneName)[:3] {
				undo = append(undo, killNode(w, w.nodes[name], false))
			}
			undo = append(undo, killNode(w, n, false))
		}
		return allOf(undo)
	},
	"all daemons in a wave": func(w *world) func() {
		w.wave(-1, 150)
		w.run(700)
		return w.killAll(false)
	},
}

// finalFault runs the usual traffic for a while, applies a hard loss, and continues until work
// must be back to normal.
func (w *world) finalFault(name string) {
	w.run(20_000)
	w.record(historycheck.Event{Kind: historycheck.MachinesLost})
	undo := finalFaults[name](w)
	w.run(1000 + w.rng.Int64N(9000))
	undo()
	w.record(historycheck.Event{Kind: historycheck.MachinesBack})
	w.run(historycheck.DefaultBounds.RecoveryMs + 14_000)
	w.record(historycheck.Event{Kind: historycheck.TrafficEnds})
	w.trafficEnded = true
}
