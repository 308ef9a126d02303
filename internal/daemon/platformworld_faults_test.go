package daemon

import (
	"fmt"
)

func (b *platformWorld) isCore(host string) bool { return b.nodes[host].Disk }

// beginFault records that a fault of a machine begins.
func (b *platformWorld) beginFault(text, host string) {
	b.record(platformEvent{kind: eventFaultBegan, host: host, text: text})
	b.activeFaults[host]++
	b.recordCoreChange(host)
}

// endFault records that a fault of a machine ends.
func (b *platformWorld) endFault(text, host string) {
	b.record(platformEvent{kind: eventFaultEnded, host: host, text: text})
	b.activeFaults[host]--
	b.faultFreeSinceMs[host] = b.nowMs()
	b.recordCoreChange(host)
}

// beginWorkerFault records that a fault of a worker begins, and returns what records its end.
func (b *platformWorld) beginWorkerFault(text string, target *platformWorker) func() {
	id := target.id
	b.record(platformEvent{kind: eventFaultBegan, worker: id, text: text})
	return func() { b.record(platformEvent{kind: eventFaultEnded, worker: id, text: text}) }
}

// recordCoreChange records a change at a core machine, and whether the core has lost or regained its majority.
func (b *platformWorld) recordCoreChange(host string) {
	if host == "" || !b.isCore(host) {
		return
	}
	b.record(platformEvent{kind: eventCoreChanged, host: host})
	healthy := 0
	for _, h := range b.disks() {
		if n := b.nodes[h]; n.up && b.nowUs >= n.frozenUntilUs && !b.cutOff[h] {
			healthy++
		}
	}
	if lost := 2*healthy <= b.deployment.disks; lost != b.coreLost {
		b.coreLost = lost
		kind := eventFaultEnded
		if lost {
			kind = eventFaultBegan
		}
		b.record(platformEvent{kind: kind, text: "core"})
	}
}

// kill ends a daemon, or cuts its machine's power, and returns what starts it again.
func (b *platformWorld) kill(host string, power bool) func() {
	n := b.nodes[host]
	if n.up {
		n.kill(power)
	}
	b.beginFault("killed", host)
	return func() {
		n.start()
		b.endFault("killed", host)
	}
}

func (b *platformWorld) freeze(host string, ms int64) {
	b.nodes[host].freeze(ms)
	b.beginFault("frozen", host)
	b.after(ms*1000+10, func() { b.endFault("frozen", host) })
}

// cut cuts machines off from all others, but not from the workers beside them
// or from callers, and returns what reconnects them.
func (b *platformWorld) cut(hosts ...string) func() {
	for _, h := range hosts {
		b.cutOff[h] = true
	}
	b.applyCuts()
	for _, h := range hosts {
		b.beginFault("cut", h)
	}
	return func() {
		for _, h := range hosts {
			delete(b.cutOff, h)
			delete(b.cutOneWay, h)
		}
		b.applyCuts()
		for _, h := range hosts {
			b.endFault("cut", h)
		}
	}
}

// applyCuts applies the cuts to each pair of machines.
func (b *platformWorld) applyCuts() {
	b.cuts = map[[2]string]bool{}
	for x := range b.cutOff {
		for y := range b.nodes {
			if x != y && (!b.cutTogether || !b.cutOff[y] || b.nodes[x].Zone != b.nodes[y].Zone) {
				b.cuts[[2]string{x, y}] = b.cuts[[2]string{x, y}] || b.cutOneWay[x] != cutInward
				b.cuts[[2]string{y, x}] = b.cuts[[2]string{y, x}] || b.cutOneWay[x] != cutOutward
			}
		}
	}
	b.releaseHeld()
}

// stopGracefully stops a daemon as the platform does for planned maintenance, and starts it again.
func (b *platformWorld) stopGracefully(host string, downMs int64) {
	n := b.nodes[host]
	n.event(evStop{})
	b.beginFault("stopped", host)
	b.after((6000+downMs)*1000, func() {
		if n.up && n.executor.node.leavingSinceMs != 0 {
			n.kill(false)
		}
		n.start()
		b.endFault("stopped", host)
	})
}

// wipe replaces a core machine by one with an empty disk.
func (b *platformWorld) wipe(host string, newAddr bool, downMs int64) {
	n := b.nodes[host]
	n.kill(true)
	n.wipe()
	b.beginFault("wiped", host)
	if newAddr {
		n.Addr = "10.9.0." + fmt.Sprint(b.workerLives+b.savedPointSeq%200) + ":7000"
		b.workerLives++
	}
	b.after(downMs*1000, func() {
		n.start()
		b.endFault("wiped", host)
	})
}

func (b *platformWorld) worker(i int) *platformWorker {
	return b.byHost[b.workerHosts[i%len(b.workerHosts)]]
}

func (b *platformWorld) somePlatformWorker() *platformWorker {
	return b.worker(b.rng.IntN(len(b.workerHosts)))
}

// crashAndReplace crashes a worker and starts a new one in its place after a while; 0 for never.
func (b *platformWorld) crashAndReplace(w *platformWorker, ms int64) {
	calm := b.beginWorkerFault("crash", w)
	w.crash()
	b.after(1000, calm)
	if ms > 0 {
		b.after(ms*1000, w.start)
	}
}

// delayHeartbeats lets some heartbeats of a worker arrive seconds late, while it serves on, crashes and is followed by
// another one, or its daemon restarts.
func (b *platformWorld) delayHeartbeats(w *platformWorker, count int, crash, restart bool) {
	w.lateHeartbeats = count
	calm := b.beginWorkerFault("late heartbeats", w)
	b.after(8_000_000, calm)
	if crash {
		b.after(100_000+b.rng.Int64N(400_000), func() {
			if w.up {
				b.crashAndReplace(w, 200+b.rng.Int64N(1500))
			}
		})
	}
	if restart {
		b.after(100_000+b.rng.Int64N(1_500_000), func() { b.after(100_000+b.rng.Int64N(1_000_000), b.kill(w.node.Name, false)) })
	}
}

// slowFor slows a worker down, or lets it hang, for a while.
func (b *platformWorld) slowFor(w *platformWorker, text string, slow float64, hang bool, ms int64) {
	calm := b.beginWorkerFault(text, w)
	w.setPace(slow, hang)
	b.after(ms*1000, func() {
		w.setPace(1, false)
		calm()
	})
}

// leaveUnannouncedAndReplace lets a worker sign off first, serve on and end, and starts a new one in its place.
func (b *platformWorld) leaveUnannouncedAndReplace(w *platformWorker, serveMs int64) {
	if !w.up {
		return
	}
	calm := b.beginWorkerFault("leaving", w)
	w.leaveUnannounced(serveMs)
	b.after((serveMs+4000)*1000, func() {
		calm()
		w.start()
	})
}

// leaveAndReplace lets a worker leave, gracefully or at short notice, and starts a new one in its place.
func (b *platformWorld) leaveAndReplace(w *platformWorker, short bool) {
	if !w.up {
		return
	}
	text := "leaving"
	if short {
		text = "short notice"
	}
	calm := b.beginWorkerFault(text, w)
	w.leave(2000, short)
	b.after(11_000_000, func() {
		calm()
		w.start()
	})
}
