package daemon

import (
	"fmt"
)

func (b *platformWorld) isCore(host string) bool { return b.nodes[host].Disk }

// trouble records that a fault of a machine begins.
func (b *platformWorld) trouble(text, host string) {
	b.see(platformEvent{kind: eventFaultBegan, host: host, text: text})
	b.troubled[host]++
	b.recordCoreChange(host)
}

// calm records that a fault of a machine ends.
func (b *platformWorld) calm(text, host string) {
	b.see(platformEvent{kind: eventFaultEnded, host: host, text: text})
	b.troubled[host]--
	b.calmMs[host] = b.nowMs()
	b.recordCoreChange(host)
}

// workerTrouble records that a fault of a worker begins, and returns what records its end.
func (b *platformWorld) workerTrouble(text string, target *platformWorker) func() {
	id := target.id
	b.see(platformEvent{kind: eventFaultBegan, worker: id, text: text})
	return func() { b.see(platformEvent{kind: eventFaultEnded, worker: id, text: text}) }
}

// recordCoreChange records a change at a core machine, and whether the core has lost or regained its majority.
func (b *platformWorld) recordCoreChange(host string) {
	if host == "" || !b.isCore(host) {
		return
	}
	b.see(platformEvent{kind: bCore, host: host})
	healthy := 0
	for _, h := range b.disks() {
		if n := b.nodes[h]; n.up && b.nowUs >= n.frozenTo && !b.cutOff[h] {
			healthy++
		}
	}
	if lost := 2*healthy <= b.deployment.disks; lost != b.coreLost {
		b.coreLost = lost
		kind := eventFaultEnded
		if lost {
			kind = eventFaultBegan
		}
		b.see(platformEvent{kind: kind, text: "core"})
	}
}

// kill ends a daemon, or cuts its machine's power, and returns what starts it again.
func (b *platformWorld) kill(host string, power bool) func() {
	n := b.nodes[host]
	if n.up {
		n.kill(power)
	}
	b.trouble("killed", host)
	return func() {
		n.start()
		b.calm("killed", host)
	}
}

func (b *platformWorld) freeze(host string, ms int64) {
	b.nodes[host].freeze(ms)
	b.trouble("frozen", host)
	b.after(ms*1000+10, func() { b.calm("frozen", host) })
}

// cut cuts machines off from all others, but not from the workers beside them
// or from callers, and returns what reconnects them.
func (b *platformWorld) cut(hosts ...string) func() {
	for _, h := range hosts {
		b.cutOff[h] = true
	}
	b.applyCuts()
	for _, h := range hosts {
		b.trouble("cut", h)
	}
	return func() {
		for _, h := range hosts {
			delete(b.cutOff, h)
			delete(b.cutOneWay, h)
		}
		b.applyCuts()
		for _, h := range hosts {
			b.calm("cut", h)
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
	b.release()
}

// stopGracefully stops a daemon as the platform does for planned maintenance, and starts it again.
func (b *platformWorld) stopGracefully(host string, downMs int64) {
	n := b.nodes[host]
	n.event(evStop{})
	b.trouble("stopped", host)
	b.after((6000+downMs)*1000, func() {
		if n.up && n.sh.node.leavingSinceMs != 0 {
			n.kill(false)
		}
		n.start()
		b.calm("stopped", host)
	})
}

// wipe replaces a core machine by one with an empty disk.
func (b *platformWorld) wipe(host string, newAddr bool, downMs int64) {
	n := b.nodes[host]
	n.kill(true)
	n.wipe()
	b.trouble("wiped", host)
	if newAddr {
		n.Addr = "10.9.0." + fmt.Sprint(b.workerLives+b.savedPointSeq%200) + ":7000"
		b.workerLives++
	}
	b.after(downMs*1000, func() {
		n.start()
		b.calm("wiped", host)
	})
}

func (b *platformWorld) worker(i int) *platformWorker { return b.byHost[b.spots[i%len(b.spots)]] }

func (b *platformWorld) somePlatformWorker() *platformWorker {
	return b.worker(b.rng.IntN(len(b.spots)))
}

// crashFor crashes a worker and starts a new one in its place after a while; 0 for never.
func (b *platformWorld) crashFor(w *platformWorker, ms int64) {
	calm := b.workerTrouble("crash", w)
	w.crash()
	b.after(1000, calm)
	if ms > 0 {
		b.after(ms*1000, w.start)
	}
}

// paceFor slows a worker down, or lets it hang, for a while.
func (b *platformWorld) paceFor(w *platformWorker, text string, slow float64, hang bool, ms int64) {
	calm := b.workerTrouble(text, w)
	w.setPace(slow, hang)
	b.after(ms*1000, func() {
		w.setPace(1, false)
		calm()
	})
}

// leaves lets a worker leave, gracefully or at short notice, and starts a new one in its place.
func (b *platformWorld) leaves(w *platformWorker, short bool) {
	if !w.up {
		return
	}
	text := "leaving"
	if short {
		text = "short notice"
	}
	calm := b.workerTrouble(text, w)
	w.leave(2000, short)
	b.after(11_000_000, func() {
		calm()
		w.start()
	})
}
