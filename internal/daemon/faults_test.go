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

// Faults of disks, machines, connections and answers, each with an end. Those of
// world serve every simulation; those of platformWorld tell the judge of them too.

const errDiskFull = "no space left on device"

// cutWay is which way a machine that is cut off one way can't be passed.
type cutWay string

const (
	cutOutward cutWay = "outward" // it hears the others, and they don't hear it
	cutInward  cutWay = "inward"  // they hear it
)

// fillDisk lets every write and sync of a disk fail until undone. The disk is the
// machine's: it stays full through restarts.
func (w *world) fillDisk(host string) (undo func()) {
	d := w.nodes[host].disk
	d.full = true
	return func() { d.full = false }
}

// stallDisk lets a disk answer nothing for a while.
func (w *world) stallDisk(host string, ms int64) { w.nodes[host].disk.stallUs = w.nowUs + ms*1000 }

// slowDisk lets a disk take so many times as long.
func (w *world) slowDisk(host string, times int64) (undo func()) {
	w.syncUs[host] = 1250 * (times - 1)
	return func() { delete(w.syncUs, host) }
}

// resetConnections resets a share of the connections of some machines: what is
// under way on them is lost, both ways.
func (w *world) resetConnections(hosts []string, share float64) {
	for _, host := range hosts {
		for _, other := range append(w.hosts(), "caller", "operator") {
			if other != host && w.rng.Float64() < share {
				w.resetUs[[2]string{host, other}], w.resetUs[[2]string{other, host}] = w.nowUs, w.nowUs
			}
		}
	}
}

// loseAnswers loses a share of the answers to a caller: what was asked for is done.
func (w *world) loseAnswers(to string, share float64) (undo func()) {
	w.answerLoss[to] = share
	return func() { delete(w.answerLoss, to) }
}

// sentAnswer is an answer as it leaves a daemon.
type sentAnswer struct {
	caller string
	from   *simNode
	call   evRequest
	status int
}

func (a sentAnswer) accepted() bool { return a.status >= 200 && a.status < 300 }

// whenAnswered calls something at each answer that leaves a daemon, until it says
// that it is over.
func (w *world) whenAnswered(see func(sentAnswer) (over bool)) { w.onAnswer = append(w.onAnswer, see) }

// answerLeaves tells whether an answer is lost on its way.
func (w *world) answerLeaves(a sentAnswer) (lost bool) {
	w.onAnswer = slices.DeleteFunc(w.onAnswer, func(see func(sentAnswer) bool) bool { return see(a) })
	share := w.answerLoss[a.caller]
	return share > 0 && w.rng.Float64() < share
}

// stepClock makes a machine's time of day wrong by so many ms.
func (w *world) stepClock(host string, ms int64) (undo func()) {
	n := w.nodes[host]
	n.skewMs = ms
	return func() { n.skewMs = 0 }
}

// install adds a machine like another one, with an empty disk and at a new
// address. Whoever installs it names machines that stand now as its seeds.
func (w *world) install(like *simNode, name string, number int, seeds []string) *simNode {
	n := &simNode{w: w, disk: &simDisk{w: w, host: name}, nodeConfig: like.nodeConfig}
	n.Name, n.Seeds, n.FirstStart = name, seeds, false
	n.Addr, n.HTTP = fmt.Sprintf("10.8.0.%d:7000", number), fmt.Sprintf("10.8.0.%d:8000", number)
	n.DiskID = w.rng.Uint64() | 1
	w.nodes[name] = n
	return n
}

// remove takes a machine away for good, with its disk.
func (w *world) remove(host string) {
	n := w.nodes[host]
	if n.up {
		n.kill(true)
	}
	n.removed, n.Disk = true, false
}

// stopOrKill sends SIGTERM, and SIGKILL once the grace is over.
func (n *simNode) stopOrKill(graceMs int64, ended func()) {
	n.event(evStop{})
	gen, over := n.gen, n.w.nowUs+graceMs*1000
	var wait func()
	wait = func() {
		switch {
		case n.gen != gen || !n.up:
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

// The users' bounds on losses.
const (
	lossEndsMs = 4000
	graceMs    = 6000
)

// lossesAllowed is how many disk machines may be lost at once.
func (b *platformWorld) lossesAllowed() int { return (b.deployment.coreSize - 1) / 2 }

// serveWorkerLost tells whether a disk machine counts as lost now: in trouble, or not yet
// back for so long that it must have caught up.
func (b *platformWorld) lost(host string) bool {
	at, known := b.calmMs[host]
	return b.troubled[host] > 0 || known && b.nowMs()-at < lossEndsMs
}

// mayLose tells whether some more machines may be lost now.
func (b *platformWorld) mayLose(hosts ...string) bool {
	sum := 0
	for _, host := range b.diskHosts {
		if b.lost(host) || slices.Contains(hosts, host) {
			sum++
		}
	}
	return sum <= b.lossesAllowed()
}

// troubleFor tells the judge of a trouble that lasts so long, and ends it.
func (b *platformWorld) troubleFor(text, host string, ms int64, undo func()) {
	b.trouble(text, host)
	b.after(ms*1000, func() {
		undo()
		b.calm(text, host)
	})
}

func (b *platformWorld) diskFull(host string, ms int64) {
	b.troubleFor("disk full", host, ms, b.fillDisk(host))
}

func (b *platformWorld) diskStall(host string, ms int64) {
	b.stallDisk(host, ms)
	b.troubleFor("disk stalled", host, ms, func() {})
}

func (b *platformWorld) diskSlow(host string, times, ms int64) {
	b.troubleFor("disk slow", host, ms, b.slowDisk(host, times))
}

// clockStep lets a machine's time of day jump, and back.
func (b *platformWorld) clockStep(host string, byMs, ms int64) {
	b.troubleFor("clock", host, ms, b.stepClock(host, byMs))
}

// resets resets connections of some machines now and then, for a while.
func (b *platformWorld) resets(hosts []string, share float64, ms int64) {
	end := b.nowMs() + ms
	for _, host := range hosts {
		b.troubleFor("reset", host, ms, func() {})
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

// cutOne cuts a machine off one way.
func (b *platformWorld) cutOne(host string, way cutWay) (heal func()) {
	b.cutOneWay[host] = way
	return b.cut(host)
}

// cutZone cuts all machines of a zone off from the others, and not from each other.
func (b *platformWorld) cutZone(zone string) (heal func()) {
	b.cutTogether = true
	return b.cut(b.zoneHosts(zone)...)
}

// zoneHosts gives the machines that stand in a zone.
func (b *platformWorld) zoneHosts(zone string) []string {
	return slices.DeleteFunc(sortedKeys(b.nodes), func(host string) bool { return b.nodes[host].removed || b.nodes[host].Zone != zone })
}

// loseZone takes the power of a zone's machines and workers for a while.
func (b *platformWorld) loseZone(zone string, downMs int64) {
	for _, host := range b.zoneHosts(zone) {
		b.after((downMs+b.rng.Int64N(1500))*1000, b.kill(host, true))
		if s := b.byHost[host]; s != nil {
			b.crashFor(s, downMs+b.rng.Int64N(1500))
		}
	}
}

// standing gives the machines at the edge that run.
func (b *platformWorld) standing() []string {
	return slices.DeleteFunc(b.edges(), func(host string) bool { return !b.nodes[host].up })
}

// successor installs a machine in the place of another one and starts it.
func (b *platformWorld) successor(of string) *simNode {
	b.newHosts++
	var seeds []string
	for _, host := range b.standing() {
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
	b.calmMs[name] = b.nowMs()
	b.see(platformEvent{kind: bCore, host: name})
	return n
}

// replacePlanned starts a new core machine with an empty disk at a new address;
// the old one gets SIGTERM after a while, and ends.
func (b *platformWorld) replacePlanned(old string, gapMs int64) {
	b.successor(old)
	b.after(gapMs*1000, func() {
		if b.nodes[old].removed {
			return
		}
		b.trouble("stopped", old)
		b.nodes[old].stopOrKill(graceMs, func() {
			b.calm("stopped", old)
			b.remove(old)
		})
	})
}

// replaceLost takes a core machine away for good; a new one comes after a while.
func (b *platformWorld) replaceLost(old string, gapMs int64) {
	b.nodes[old].kill(true)
	b.trouble("removed", old)
	b.after(gapMs*1000, func() {
		b.remove(old)
		b.successor(old)
	})
}

// powerOf takes the power of some machines, or only kills them, for a while.
func (b *platformWorld) powerOf(hosts []string, power bool, downMs int64) {
	for _, host := range hosts {
		b.after(downMs*1000, b.kill(host, power))
	}
}

// struck says when a loss strikes that is aimed at an order.
type struck string

const (
	struckSent         struck = "sent"         // 5 to 400 ms after a change was sent
	struckAcknowledged struck = "acknowledged" // within 4 ms of the answer's leaving
	struckTaken        struck = "taken"        // within 4 ms of a job's acceptance
)

// strike does something to the machine that answers an order, at a moment around
// that answer. The change of the setup it waits for is sent here.
func (b *platformWorld) strike(when struck, do func(host string)) {
	switch when {
	case struckSent:
		b.change(nil)
		b.after(5000+b.rng.Int64N(395_000), func() { do(b.some(b.diskHosts)) })
	case struckAcknowledged:
		b.atAnswer("setup.put", do)
		b.change(nil)
	case struckTaken:
		b.atAnswer("queue.submit", do)
	}
}

// atAnswer does something within 4 ms of the next good answer to an order.
func (b *platformWorld) atAnswer(op string, do func(host string)) {
	b.whenAnswered(func(a sentAnswer) bool {
		if a.call.Op != op || !a.accepted() {
			return false
		}
		within := int64(4000)
		if b.share(0.5) { // before a disk can have synced anything more
			within = 400
		}
		b.after(b.rng.Int64N(within), func() { do(a.from.Name) })
		return true
	})
}

// formedWorld gives a fleet with its first setup, shortly before traffic.
func formedWorld(t *testing.T, seed uint64) *platformWorld {
	b := formPlatform(t, seed, "hakata")
	b.run(2000)
	return b
}

// putNow sends a change and gives whether it was acknowledged in time.
func (b *platformWorld) putNow(ms int64) bool {
	before := b.version
	b.change(nil)
	return b.until(ms, func() bool { return b.version > before })
}

// A disk that is full acknowledges nothing, its member counts itself to no
// majority, and once there is room it is what it was, with what was held up.
func TestFaultDiskFull(t *testing.T) {
	b := formedWorld(t, 3)
	n := b.nodes["d01"]
	undo := b.fillDisk("d01")
	synced := n.disk.synced
	must.True(t, b.putNow(5000), must.Sprint("two disks of three take a change"))
	b.run(1000)
	must.True(t, n.disk.failed)
	must.False(t, n.sh.node.inCore())
	must.True(t, b.putNow(5000))
	must.LessEq(t, synced, n.disk.synced)
	undo()
	must.True(t, b.until(3000, func() bool { return n.sh.node.inCore() && n.disk.synced > synced }), must.Sprint("it is back without a restart"))
	must.True(t, b.until(5000, func() bool { return len(b.coreWhole()) == membership.DefaultSize }))
	must.True(t, b.putNow(5000))
}

// Killed while its disk is full, a daemon starts from what was written; full again
// at the next write it says so again, and a start with room brings it back.
func TestFaultDiskFullAndKilled(t *testing.T) {
	for _, power := range []bool{false, true} {
		b := formedWorld(t, 5)
		n := b.nodes["d01"]
		undo := b.fillDisk("d01")
		must.True(t, b.putNow(5000))
		b.run(1000)
		must.True(t, n.disk.failed)
		synced, written := n.disk.synced, len(n.disk.entries)
		n.kill(power)
		must.Between(t, synced, len(n.disk.entries), written)
		n.start()
		must.True(t, b.putNow(5000))
		b.run(2000)
		must.False(t, n.sh.node.inCore())
		undo()
		must.True(t, b.until(8000, func() bool { return len(b.coreWhole()) == membership.DefaultSize }))
	}
}

func TestFaultDiskFullOfTwo(t *testing.T) {
	b := formedWorld(t, 4)
	undo := allOf([]func(){b.fillDisk("d00"), b.fillDisk("d02")})
	must.False(t, b.putNow(6000), must.Sprint("one disk of three takes nothing"))
	undo()
	must.True(t, b.until(5000, func() bool { return b.version > 1 }), must.Sprint("it is taken once there is room"))
	must.True(t, b.putNow(5000))
}

func TestFaultDiskStall(t *testing.T) {
	b := formedWorld(t, 5)
	b.stallDisk("d00", 4000)
	b.stallDisk("d01", 4000)
	must.False(t, b.putNow(3000))
	must.False(t, b.nodes["d00"].disk.failed)
	must.True(t, b.until(6000, func() bool { return b.version > 1 }), must.Sprint("it goes on where it stood"))
	b.stallDisk("d02", 3000)
	b.nodes["d02"].kill(true)
	b.nodes["d02"].start()
	must.False(t, b.nodes["d02"].up, must.Sprint("its log can't be read yet"))
	b.run(3500)
	must.True(t, b.nodes["d02"].up)
}

// Of a batch that was not yet synced, a power loss leaves any first part, and
// nothing of what waited behind it; a kill leaves all that was written.
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
		d.append(n, []statestore.Entry{{}, {}, {}}, func() { t.Error("it was acknowledged") })
		d.append(n, []statestore.Entry{{}}, func() { t.Error("it was acknowledged") })
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
	b := formedWorld(t, 6)
	b.replacePlanned("d01", 1000)
	must.True(t, b.until(10_000, func() bool { return b.nodes["d01"].removed }))
	must.Eq(t, []string{"d00", "n01", "d02"}, b.disks())
	must.True(t, b.until(15_000, func() bool { return len(b.coreWhole()) == membership.DefaultSize }), must.Sprint("the new machine has the seat"))
	must.True(t, b.nodes["n01"].sh.node.inCore())
	b.nodes["d01"].start()
	must.False(t, b.nodes["d01"].up)
}

func TestFaultUnplannedReplacement(t *testing.T) {
	b := formedWorld(t, 7)
	b.replaceLost("d00", 500)
	must.False(t, b.mayLose("d02"))
	must.True(t, b.until(15_000, func() bool { return len(b.coreWhole()) == membership.DefaultSize }))
	b.run(lossEndsMs)
	must.True(t, b.mayLose("d02"))
	must.True(t, b.putNow(3000))
}

// An order whose answer was lost is sent again; what left the daemon is seen.
func TestFaultLostAnswers(t *testing.T) {
	b := formedWorld(t, 8)
	undo := b.loseAnswers("operator", 1)
	taken := 0
	b.whenAnswered(func(a sentAnswer) bool {
		if a.call.Op == "setup.put" && a.accepted() {
			taken++
		}
		return false
	})
	must.False(t, b.putNow(4000))
	must.Greater(t, 1, taken, must.Sprint("each time it came again it was acknowledged"))
	undo()
	must.True(t, b.until(3000, func() bool { return b.version > 1 }))
}

// A loss aimed at an answer strikes the machine that gave it, within 4 ms.
func TestFaultStrike(t *testing.T) {
	for i, when := range []struck{struckSent, struckAcknowledged, struckTaken} {
		b := formedWorld(t, uint64(9+i))
		b.traffic()
		hit, leftMs := "", int64(0)
		b.whenAnswered(func(a sentAnswer) bool {
			if when == struckAcknowledged && a.call.Op == "setup.put" || when == struckTaken && a.call.Op == "queue.submit" && a.accepted() {
				leftMs = b.nowMs()
				return true
			}
			return false
		})
		b.strike(when, func(host string) {
			hit = host
			b.powerOf([]string{host}, true, 500)
			if when != struckSent {
				must.LessEq(t, leftMs+4, b.nowMs())
			}
		})
		must.True(t, b.until(3000, func() bool { return hit != "" }))
		must.False(t, b.nodes[hit].up)
		b.run(3000)
		must.True(t, b.nodes[hit].up)
	}
}

// One way is cut, the other isn't; a reset loses only what is under way.
func TestFaultCutsAndResets(t *testing.T) {
	b := formedWorld(t, 12)
	arrived := map[string]bool{}
	try := func(from, to string) { b.carryTo(from, to, func() { arrived[from+" "+to] = true }) }
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
