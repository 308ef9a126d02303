package daemon

import (
	"fmt"
	"slices"
	"testing"

	"otterchute/internal/historycheck"
	"otterchute/internal/membership"
	"otterchute/internal/statestore"

	"github.com/shoenig/test/must"
)

// Faults of disks, machines, connections and responses, each with an end. Those of world serve
// every simulation; those of platformWorld also record the fault for the evaluation of the
// run.

const errDiskFull = "no space left on device"

// cutDirection is the direction in which a machine is cut off.
type cutDirection string

const (
	cutOutward cutDirection = "outward" // it receives from the others but can't send to them
	cutInward  cutDirection = "inward"  // it can send to the others but receives nothing
)

// fillDisk makes every write and sync of a disk fail until undone. The disk stays full through
// restarts.
func (w *world) fillDisk(host string) (undo func()) {
	d := w.nodes[host].disk
	d.full = true
	return func() { d.full = false }
}

// stallDisk makes a disk complete nothing for ms.
func (w *world) stallDisk(host string, ms int64) {
	w.nodes[host].disk.stalledUntilUs = w.nowUs + ms*1000
}

// slowDisk makes a disk slower by a factor.
func (w *world) slowDisk(host string, times int64) (undo func()) {
	w.extraSyncUs[host] = 1250 * (times - 1)
	return func() { delete(w.extraSyncUs, host) }
}

// resetConnections resets a share of the connections of some machines. Messages in transit on
// them are lost in both directions.
func (w *world) resetConnections(hosts []string, share float64) {
	for _, host := range hosts {
		for _, other := range append(w.hosts(), "caller", "operator") {
			if other != host && w.rng.Float64() < share {
				w.resetUs[[2]string{host, other}], w.resetUs[[2]string{other, host}] = w.nowUs, w.nowUs
			}
		}
	}
}

// loseResponses loses a share of the responses to a caller. The requests themselves are
// executed.
func (w *world) loseResponses(to string, share float64) (undo func()) {
	w.responseLoss[to] = share
	return func() { delete(w.responseLoss, to) }
}

// sentResponse is a response as it leaves a daemon.
type sentResponse struct {
	caller string
	from   *simNode
	call   evRequest
	status int
}

func (a sentResponse) accepted() bool { return a.status >= 200 && a.status < 300 }

// onEachResponse registers a callback for each response that leaves a daemon. It is removed once
// it returns true.
func (w *world) onEachResponse(observe func(sentResponse) (over bool)) {
	w.onResponse = append(w.onResponse, observe)
}

// responseLost runs the callbacks for a response and reports whether the response is lost.
func (w *world) responseLost(a sentResponse) (lost bool) {
	w.onResponse = slices.DeleteFunc(w.onResponse, func(see func(sentResponse) bool) bool { return see(a) })
	share := w.responseLoss[a.caller]
	return share > 0 && w.rng.Float64() < share
}

// stepClock makes the wall clock of a machine wrong by ms.
func (w *world) stepClock(host string, ms int64) (undo func()) {
	n := w.nodes[host]
	n.skewMs = ms
	return func() { n.skewMs = 0 }
}

// install adds a machine like another one, with an empty disk and a new address. Its seeds are
// machines that are running now.
func (w *world) install(like *simNode, name string, number int, seeds []string) *simNode {
	n := &simNode{w: w, disk: &simDisk{w: w, host: name}, nodeConfig: like.nodeConfig}
	n.Name, n.Seeds, n.FirstStart = name, seeds, false
	n.Addr, n.HTTP = fmt.Sprintf("10.8.0.%d:7000", number), fmt.Sprintf("10.8.0.%d:8000", number)
	n.DiskID = w.rng.Uint64() | 1
	w.nodes[name] = n
	return n
}

// remove takes a machine and its disk away for good.
func (w *world) remove(host string) {
	n := w.nodes[host]
	if n.up {
		n.kill(true)
	}
	n.removed, n.Disk = true, false
}

// stopOrKill sends SIGTERM, and SIGKILL after the grace period.
func (n *simNode) stopOrKill(graceMs int64, ended func()) {
	n.event(evStop{})
	process, over := n.process, n.w.nowUs+graceMs*1000
	var wait func()
	wait = func() {
		switch {
		case n.process != process || !n.up:
		case n.w.nowUs >= over:
			n.kill(false)
		default:
			n.w.after(20_000, wait)
			return
		}
		ended()
	}
	wait()
}

// Limits on simultaneous losses, as promised to the users.
const (
	lossEndsMs = 4000
	graceMs    = 6000
)

// lossesAllowed returns how many machines with a disk may be lost at once.
func (b *platformWorld) lossesAllowed() int { return (b.deployment.coreSize - 1) / 2 }

// lost reports whether a machine with a disk counts as lost now: it is faulty, or has not been
// back long enough to have caught up.
func (b *platformWorld) lost(host string) bool {
	at, known := b.faultFreeSinceMs[host]
	return b.activeFaults[host] > 0 || known && b.nowMs()-at < lossEndsMs
}

// mayLose reports whether these further machines may be lost now.
func (b *platformWorld) mayLose(hosts ...string) bool {
	sum := 0
	for _, host := range b.diskHosts {
		if b.lost(host) || slices.Contains(hosts, host) {
			sum++
		}
	}
	return sum <= b.lossesAllowed()
}

// faultFor records a fault, and undoes it after ms.
func (b *platformWorld) faultFor(text, host string, ms int64, undo func()) {
	b.beginFault(text, host)
	b.after(ms*1000, func() {
		undo()
		b.endFault(text, host)
	})
}

func (b *platformWorld) diskFull(host string, ms int64) {
	b.faultFor("disk full", host, ms, b.fillDisk(host))
}

func (b *platformWorld) diskStall(host string, ms int64) {
	b.stallDisk(host, ms)
	b.faultFor("disk stalled", host, ms, func() {})
}

func (b *platformWorld) diskSlow(host string, times, ms int64) {
	b.faultFor("disk slow", host, ms, b.slowDisk(host, times))
}

// clockStep sets a machine's wall clock wrong by byMs, and right again after ms.
func (b *platformWorld) clockStep(host string, byMs, ms int64) {
	b.faultFor("clock", host, ms, b.stepClock(host, byMs))
}

// resets resets connections of some machines repeatedly for a while.
func (b *platformWorld) resets(hosts []string, share float64, ms int64) {
	end := b.nowMs() + ms
	for _, host := range hosts {
		b.faultFor("reset", host, ms, func() {})
	}
	var again func()
	again = func() {
		if b.nowMs() < end {
			b.resetConnections(hosts, share)
			b.after(400_000, again)
		}
	}
	again()
}

// cutOne cuts a machine off in one direction.
func (b *platformWorld) cutOne(host string, way cutDirection) (heal func()) {
	b.cutOneWay[host] = way
	return b.cut(host)
}

// cutZone cuts all machines of a zone off from the others, but not from each other.
func (b *platformWorld) cutZone(zone string) (heal func()) {
	b.cutTogether = true
	return b.cut(b.zoneHosts(zone)...)
}

// zoneHosts returns the machines in a zone.
func (b *platformWorld) zoneHosts(zone string) []string {
	return slices.DeleteFunc(sortedKeys(b.nodes), func(host string) bool { return b.nodes[host].removed || b.nodes[host].Zone != zone })
}

// loseZone cuts the power of the machines and workers of a zone for a while.
func (b *platformWorld) loseZone(zone string, downMs int64) {
	for _, host := range b.zoneHosts(zone) {
		b.after((downMs+b.rng.Int64N(1500))*1000, b.kill(host, true))
		if s := b.byHost[host]; s != nil {
			b.crashAndReplace(s, downMs+b.rng.Int64N(1500))
		}
	}
}

// runningEdges returns the machines of the edge that are running.
func (b *platformWorld) runningEdges() []string {
	return slices.DeleteFunc(b.edges(), func(host string) bool { return !b.nodes[host].up })
}

// successor installs and starts a machine that replaces another one.
func (b *platformWorld) successor(of string) *simNode {
	b.newHosts++
	var seeds []string
	for _, host := range b.runningEdges() {
		if len(seeds) < 3 {
			seeds = append(seeds, b.nodes[host].Addr)
		}
	}
	name := fmt.Sprintf("n%02d", b.newHosts)
	n := b.install(b.nodes[of], name, b.newHosts, seeds)
	n.Disk = true
	for _, list := range [][]string{b.edgeHosts, b.diskHosts} {
		if i := slices.Index(list, of); i >= 0 {
			list[i] = name
		}
	}
	b.checkReady(name)
	n.start()
	b.faultFreeSinceMs[name] = b.nowMs()
	b.record(platformEvent{kind: eventCoreChanged, host: name})
	return n
}

// replacePlanned starts a new core machine with an empty disk at a new address. The old one
// gets SIGTERM after a while, and ends.
func (b *platformWorld) replacePlanned(old string, gapMs int64) {
	b.successor(old)
	b.after(gapMs*1000, func() {
		if b.nodes[old].removed {
			return
		}
		b.beginFault("stopped", old)
		b.nodes[old].stopOrKill(graceMs, func() {
			b.endFault("stopped", old)
			b.remove(old)
		})
	})
}

// replaceLost removes a core machine for good. A new one is started after a while.
func (b *platformWorld) replaceLost(old string, gapMs int64) {
	b.nodes[old].kill(true)
	b.beginFault("removed", old)
	b.after(gapMs*1000, func() {
		b.remove(old)
		b.successor(old)
	})
}

// powerOf cuts the power of some machines for a while, or only kills their processes.
func (b *platformWorld) powerOf(hosts []string, power bool, downMs int64) {
	for _, host := range hosts {
		b.after(downMs*1000, b.kill(host, power))
	}
}

// lossTiming says when a loss happens relative to an operator's or a caller's request.
type lossTiming string

const (
	lossAfterSend       lossTiming = "sent"         // 5 to 400 ms after a configuration change was sent
	lossAfterAck        lossTiming = "acknowledged" // within 4 ms after the response to a configuration change was sent
	lossAfterAcceptance lossTiming = "taken"        // within 4 ms after the response that accepts a job was sent
)

// loseAtResponse applies a fault to the machine that answers a request, at a moment close to that
// response. It sends the configuration change that it waits for.
func (b *platformWorld) loseAtResponse(when lossTiming, do func(host string)) {
	switch when {
	case lossAfterSend:
		b.change(nil)
		b.after(5000+b.rng.Int64N(395_000), func() { do(b.pickOne(b.diskHosts)) })
	case lossAfterAck:
		b.afterResponse("setup.put", do)
		b.change(nil)
	case lossAfterAcceptance:
		b.afterResponse("queue.submit", do)
	}
}

// afterResponse applies a fault within 4 ms of the next successful response to a request.
func (b *platformWorld) afterResponse(op string, do func(host string)) {
	b.onEachResponse(func(a sentResponse) bool {
		if a.call.Op != op || !a.accepted() {
			return false
		}
		within := int64(4000)
		if b.chance(0.5) { // before a disk can have synced anything more
			within = 400
		}
		b.after(b.rng.Int64N(within), func() { do(a.from.Name) })
		return true
	})
}

// formedPlatform returns a cluster with its first configuration, shortly before traffic begins.
func formedPlatform(t *testing.T, seed uint64) *platformWorld {
	b := formPlatform(t, seed, "hakata")
	b.run(2000)
	return b
}

// changeAcknowledged sends a configuration change and reports whether it was acknowledged within ms.
func (b *platformWorld) changeAcknowledged(ms int64) bool {
	before := b.version
	b.change(nil)
	return b.until(ms, func() bool { return b.version > before })
}

// A full disk acknowledges nothing, and its daemon stops counting itself as a core member.
// Once there is space it continues without a restart, with the writes that were held up.
func TestFaultDiskFull(t *testing.T) {
	b := formedPlatform(t, 3)
	n := b.nodes["d01"]
	undo := b.fillDisk("d01")
	synced := n.disk.synced
	must.True(t, b.changeAcknowledged(5000), must.Sprint("two disks of three accept a change"))
	b.run(1000)
	must.True(t, n.disk.failed)
	must.False(t, n.executor.node.inCore())
	must.True(t, b.changeAcknowledged(5000))
	must.LessEq(t, synced, n.disk.synced)
	undo()
	must.True(t, b.until(3000, func() bool { return n.executor.node.inCore() && n.disk.synced > synced }), must.Sprint("it is back without a restart"))
	must.True(t, b.until(5000, func() bool { return len(b.completeCore()) == membership.DefaultSize }))
	must.True(t, b.changeAcknowledged(5000))
}

// A daemon that is killed while its disk is full starts from what was written. If the disk is
// still full at the next write it leaves the core again; it returns once there is space.
func TestFaultDiskFullAndKilled(t *testing.T) {
	for _, power := range []bool{false, true} {
		b := formedPlatform(t, 5)
		n := b.nodes["d01"]
		undo := b.fillDisk("d01")
		must.True(t, b.changeAcknowledged(5000))
		b.run(1000)
		must.True(t, n.disk.failed)
		synced, written := n.disk.synced, len(n.disk.entries)
		n.kill(power)
		must.Between(t, synced, len(n.disk.entries), written)
		n.start()
		must.True(t, b.changeAcknowledged(5000))
		b.run(2000)
		must.False(t, n.executor.node.inCore())
		undo()
		must.True(t, b.until(8000, func() bool { return len(b.completeCore()) == membership.DefaultSize }))
	}
}

func TestFaultDiskFullOfTwo(t *testing.T) {
	b := formedPlatform(t, 4)
	undo := allOf([]func(){b.fillDisk("d00"), b.fillDisk("d02")})
	must.False(t, b.changeAcknowledged(6000), must.Sprint("one disk of three accepts nothing"))
	undo()
	must.True(t, b.until(5000, func() bool { return b.version > 1 }), must.Sprint("it is accepted once there is space"))
	must.True(t, b.changeAcknowledged(5000))
}

func TestFaultDiskStall(t *testing.T) {
	b := formedPlatform(t, 5)
	b.stallDisk("d00", 4000)
	b.stallDisk("d01", 4000)
	must.False(t, b.changeAcknowledged(3000))
	must.False(t, b.nodes["d00"].disk.failed)
	must.True(t, b.until(6000, func() bool { return b.version > 1 }), must.Sprint("it continues after the stall"))
	b.stallDisk("d02", 3000)
	b.nodes["d02"].kill(true)
	b.nodes["d02"].start()
	must.False(t, b.nodes["d02"].up, must.Sprint("its log can't be read yet"))
	b.run(3500)
	must.True(t, b.nodes["d02"].up)
}

// A power loss keeps any prefix of a batch that was not yet synced and nothing of the entries
// behind it; a kill keeps all that was written.
func TestFaultTornBatch(t *testing.T) {
	left := map[int]bool{}
	stopped := func(seed uint64, power bool) int {
		w := newWorld(seed, historycheck.Deployments["hakata"])
		n := w.nodes["d00"]
		w.run(400)
		d := n.disk
		d.stop(false)
		d.append(n, []statestore.Entry{{}}, func() {})
		w.run(10)
		synced := d.synced
		d.append(n, []statestore.Entry{{}, {}, {}}, func() { t.Error("a lost entry was acknowledged") })
		d.append(n, []statestore.Entry{{}}, func() { t.Error("a lost entry was acknowledged") })
		n.kill(power)
		w.run(100)
		return len(d.entries) - synced
	}
	for seed := range uint64(40) {
		left[stopped(seed, true)] = true
	}
	must.Eq(t, map[int]bool{0: true, 1: true, 2: true, 3: true}, left)
	must.Eq(t, 3, stopped(1, false))
}

func TestFaultPlannedReplacement(t *testing.T) {
	b := formedPlatform(t, 6)
	b.replacePlanned("d01", 1000)
	must.True(t, b.until(10_000, func() bool { return b.nodes["d01"].removed }))
	must.Eq(t, []string{"d00", "n01", "d02"}, b.disks())
	must.True(t, b.until(15_000, func() bool { return len(b.completeCore()) == membership.DefaultSize }), must.Sprint("the new machine replaces the old one in the core"))
	must.True(t, b.nodes["n01"].executor.node.inCore())
	b.nodes["d01"].start()
	must.False(t, b.nodes["d01"].up)
}

func TestFaultUnplannedReplacement(t *testing.T) {
	b := formedPlatform(t, 7)
	b.replaceLost("d00", 500)
	must.False(t, b.mayLose("d02"))
	must.True(t, b.until(15_000, func() bool { return len(b.completeCore()) == membership.DefaultSize }))
	b.run(lossEndsMs)
	must.True(t, b.mayLose("d02"))
	must.True(t, b.changeAcknowledged(3000))
}

// A configuration change whose response was lost is sent again and acknowledged each time.
// Callbacks also see the responses that are lost.
func TestFaultLostAnswers(t *testing.T) {
	b := formedPlatform(t, 8)
	undo := b.loseResponses("operator", 1)
	taken := 0
	b.onEachResponse(func(a sentResponse) bool {
		if a.call.Op == "setup.put" && a.accepted() {
			taken++
		}
		return false
	})
	must.False(t, b.changeAcknowledged(4000))
	must.Greater(t, 1, taken, must.Sprint("each retry was acknowledged"))
	undo()
	must.True(t, b.until(3000, func() bool { return b.version > 1 }))
}

// A fault aimed at a response hits the machine that sent it within 4 ms.
func TestFaultAimedAtResponse(t *testing.T) {
	for i, when := range []lossTiming{lossAfterSend, lossAfterAck, lossAfterAcceptance} {
		b := formedPlatform(t, uint64(9+i))
		b.traffic()
		hit, leftMs := "", int64(0)
		b.onEachResponse(func(a sentResponse) bool {
			if when == lossAfterAck && a.call.Op == "setup.put" || when == lossAfterAcceptance && a.call.Op == "queue.submit" && a.accepted() {
				leftMs = b.nowMs()
				return true
			}
			return false
		})
		b.loseAtResponse(when, func(host string) {
			hit = host
			b.powerOf([]string{host}, true, 500)
			if when != lossAfterSend {
				must.LessEq(t, leftMs+4, b.nowMs())
			}
		})
		must.True(t, b.until(3000, func() bool { return hit != "" }))
		must.False(t, b.nodes[hit].up)
		b.run(3000)
		must.True(t, b.nodes[hit].up)
	}
}

// A path that is cut in one direction still works in the other; a reset loses only messages in
// transit.
func TestFaultCutsAndResets(t *testing.T) {
	b := formedPlatform(t, 12)
	arrived := map[string]bool{}
	try := func(from, to string) { b.deliver(from, to, func() { arrived[from+" "+to] = true }) }
	heal := b.cutOne("d01", cutOutward)
	try("d01", "d00")
	try("d00", "d01")
	b.run(10)
	must.Eq(t, map[string]bool{"d00 d01": true}, arrived)
	heal()
	b.run(400)
	clear(arrived)
	heal = b.cutOne("d01", cutInward)
	try("d01", "d00")
	try("d00", "d01")
	b.run(10)
	must.Eq(t, map[string]bool{"d01 d00": true}, arrived)
	heal()
	b.run(400)
	clear(arrived)
	try("d02", "d00")
	b.nowUs++
	b.resetConnections([]string{"d00"}, 1)
	b.run(10)
	must.MapEmpty(t, arrived)
	try("d02", "d00")
	b.run(10)
	must.MapLen(t, 1, arrived)
	zone := b.nodes["d00"].Zone
	undo := b.cutZone(zone)
	must.False(t, b.cuts[[2]string{"d00", "d03"}])
	must.True(t, b.cuts[[2]string{"d00", "d01"}])
	undo()
}
