package daemon

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"otterchute/internal/historycheck"
)

// dayFault is one fault of a day, with its drawn parameters.
type dayFault struct {
	atMs int64
	text string
	play func(b *platformWorld)
}

// faultKind draws the parameters of a fault, and returns its description and what it does.
type faultKind func(r *rand.Rand) (text string, play func(b *platformWorld))

func choose[T any](r *rand.Rand, of ...T) T { return of[r.IntN(len(of))] }

// between draws a time in ms.
func between(r *rand.Rand, least, most int64) int64 { return least + r.Int64N(most-least+1) }

// coreTargets choose the core machine that a fault hits.
var coreTargets = map[string]func(b *platformWorld) string{
	"any":     func(b *platformWorld) string { return b.pickOne(b.diskHosts) },
	"leader":  func(b *platformWorld) string { return b.diskHostOr(b.lastAcknowledger) },
	"central": func(b *platformWorld) string { return b.diskHostOr(b.holder("central")) },
	"owner":   func(b *platformWorld) string { return b.diskHostOr(b.holder(b.randomShardRole())) },
}

// diskHostOr returns the machine if it has a disk, or else any that has.
func (b *platformWorld) diskHostOr(host string) string {
	if slices.Contains(b.diskHosts, host) {
		return host
	}
	return b.pickOne(b.diskHosts)
}

// whenLossAllowed runs a fault of some machines once so many may be lost. It is skipped
// if that takes longer than maxLossWaitMs.
func (b *platformWorld) whenLossAllowed(pick func() []string, do func(hosts []string)) {
	end := b.nowMs() + maxLossWaitMs
	var check func()
	check = func() {
		hosts := pick()
		switch {
		case b.noNewFaults || b.nowMs() > end:
			b.skippedFaults++
		case b.mayLose(hosts...):
			do(hosts)
		default:
			b.after(lossCheckMs*1000, check)
		}
	}
	check()
}

// withCoreMember runs a fault of one core machine once it may be lost.
func (b *platformWorld) withCoreMember(target string, do func(host string)) {
	b.whenLossAllowed(func() []string { return []string{coreTargets[target](b)} }, func(hosts []string) { do(hosts[0]) })
}

// withCoreMembers is withCoreMember for as many machines as may be lost, at most count.
func (b *platformWorld) withCoreMembers(count int, do func(host string)) {
	count = min(count, b.lossesAllowed())
	b.whenLossAllowed(func() []string { return b.shuffled(b.diskHosts)[:count] }, func(hosts []string) {
		for _, host := range hosts {
			do(host)
		}
	})
}

func (b *platformWorld) shuffled(list []string) []string {
	list = slices.Clone(list)
	b.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// drawHosts draws a fraction of all machines, without those of the core that may not be
// lost now.
func (b *platformWorld) drawHosts(share float64) []string {
	var out []string
	all := slices.DeleteFunc(sortedKeys(b.nodes), func(host string) bool { return b.nodes[host].removed })
	for _, host := range b.shuffled(all)[:max(1, int(share*float64(len(all))+0.5))] {
		if !b.isCore(host) || b.mayLose(append(slices.Clone(out), host)...) {
			out = append(out, host)
		}
	}
	return out
}

// changesDuringFault are the changes that an operator sends to one machine during its fault and when
// it is back.
var changesDuringFault = map[string]func(b *platformWorld, host string){
	"":     func(*platformWorld, string) {},
	"meet": func(b *platformWorld, host string) { b.changeAt(host, 1) },
	"race": func(b *platformWorld, host string) {
		b.changeAt(host, 1)
		b.changeAt(host, 1)
	},
	"hard": func(b *platformWorld, host string) { b.changeAt(host, 10) },
}

// changeAt sends a change whose first tries go to one machine.
func (b *platformWorld) changeAt(host string, tries int) {
	if !b.noNewFaults && !b.nodes[host].removed {
		b.putSetupAt(host, tries, b.usualSetup(), b.version+1+b.rng.Int64N(2), b.version, nil)
	}
}

// sendChangesDuringFault sends changes to a machine halfway through its fault of ms, and just after it.
func (b *platformWorld) sendChangesDuringFault(how, host string, ms int64) {
	b.after(ms*500, func() { changesDuringFault[how](b, host) })
	b.after(ms*1000+20_000, func() { changesDuringFault[how](b, host) })
}

var controlFaults = []faultKind{
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		ms, target, meet := choose[int64](r, 3000, 8000, 20_000), choose(r, "any", "leader", "central", "owner"), choose(r, "", "meet", "race", "hard")
		way, restart := choose(r, "both", "both", string(cutOutward), string(cutInward)), choose(r, "", "", "inside", "outside", "seeds")
		return fmt.Sprintf("core cut %s of %s for %d ms %s, restarts %q", way, target, ms, meet, restart), func(b *platformWorld) {
			b.withCoreMember(target, func(host string) {
				b.cutCoreMember(host, way, restart, ms)
				b.sendChangesDuringFault(meet, host, ms)
			})
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		ms, target, meet := choose[int64](r, 1000, 4000, 9000), choose(r, "any", "leader", "central", "owner"), choose(r, "", "meet", "race", "hard")
		return fmt.Sprintf("core freeze of %s for %d ms %s", target, ms, meet), func(b *platformWorld) {
			b.withCoreMember(target, func(host string) {
				b.freeze(host, ms)
				b.sendChangesDuringFault(meet, host, ms)
			})
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		share, ms, callers := choose(r, 0.3, 0.7, 0.95), between(r, 4000, 20_000), r.IntN(2) == 0
		return fmt.Sprintf("responses to operators lost with %.2f for %d ms, to callers with half of that: %v", share, ms, callers), func(b *platformWorld) {
			b.after(ms*1000, b.loseResponses("operator", share))
			if callers {
				b.after(ms*1000, b.loseResponses("caller", share/2))
			}
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		share, byMs, ms := choose(r, 0.2, 0.6), choose[int64](r, 900, 5000, 60_000)*choose[int64](r, -1, 1), between(r, 2000, 9000)
		if byMs > 5000 || byMs < -5000 {
			share = 0.2 // due times can't be kept if most clocks are off by more than the checker allows
		}
		return fmt.Sprintf("clocks of a fraction %.1f of machines off by %d ms for %d ms", share, byMs, ms), func(b *platformWorld) {
			for _, host := range b.shuffled(sortedKeys(b.nodes))[:int(share*float64(len(b.nodes)))] {
				b.clockStep(host, byMs, ms)
			}
		}
	},
	func(*rand.Rand) (string, func(b *platformWorld)) {
		return "seeds replaced", func(b *platformWorld) { b.replaceSeeds(b.shuffled(b.runningEdges())) }
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		times, ms := choose[int64](r, 3, 8), between(r, 3000, 8000)
		return fmt.Sprintf("a core machine %d times slower for %d ms", times, ms), func(b *platformWorld) {
			b.withCoreMember("any", func(host string) { b.slowMachine(host, times, ms) })
		}
	},
}

// cutCoreMember cuts a core machine off, with restarts of it or of others meanwhile, or with
// new seed addresses that begin with it.
func (b *platformWorld) cutCoreMember(host, way, restart string, ms int64) {
	var heal func()
	if way == "both" {
		heal = b.cut(host)
	} else {
		heal = b.cutOne(host, cutDirection(way))
	}
	b.after(ms*1000, heal)
	switch restart {
	case "inside":
		b.after(ms*300, func() { b.powerOf([]string{host}, false, 100) })
	case "outside":
		b.after(ms*300, func() {
			others := slices.DeleteFunc(b.edges(), func(o string) bool { return b.isCore(o) })
			b.powerOf(b.shuffled(others)[:len(others)/2], false, 100)
		})
	case "seeds":
		b.replaceSeeds(append([]string{host}, b.shuffled(b.runningEdges())...))
		b.powerOf(b.shuffled(b.workerHosts)[:2], false, 100)
	}
}

// replaceSeeds makes other machines the seeds, in the settings and in running daemons.
func (b *platformWorld) replaceSeeds(hosts []string) {
	var seeds []string
	for _, host := range hosts[:min(3, len(hosts))] {
		seeds = append(seeds, b.nodes[host].Addr)
	}
	if len(seeds) == 0 {
		return
	}
	for _, host := range sortedKeys(b.nodes) {
		n := b.nodes[host]
		n.Seeds = seeds
		if n.up {
			n.event(evSeeds{Seeds: seeds})
		}
	}
}

// slowMachine delays all messages to and from a core machine. Each second it records
// that the core is unsettled.
func (b *platformWorld) slowMachine(host string, times, ms int64) {
	ways := [][2]string{}
	for _, other := range b.hosts() {
		if other != host {
			ways = append(ways, [2]string{host, other}, [2]string{other, host})
		}
	}
	for _, way := range ways {
		b.pathDelayUs[way] = 2000 * times
	}
	b.faultFor("slow", host, ms, func() {
		for _, way := range ways {
			delete(b.pathDelayUs, way)
		}
	})
	for at := int64(1000); at < ms; at += 1000 {
		b.after(at*1000, func() { b.record(platformEvent{kind: eventCoreChanged, host: host}) })
	}
}

var lossFaults = []faultKind{
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		gap, planned, target := choose[int64](r, 500, 2000, 4000), r.IntN(2) == 0, choose(r, "any", "leader")
		return fmt.Sprintf("core machine (%s) replaced, planned %v, gap %d ms", target, planned, gap), func(b *platformWorld) {
			b.withCoreMember(target, func(host string) { b.replace(host, planned, gap) })
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		down, aimed := between(r, 1000, 4000), r.IntN(2) == 0
		return fmt.Sprintf("wipe after an acknowledgement for %d ms, aimed %v", down, aimed), func(b *platformWorld) {
			b.whenLossAllowed(func() []string { return b.diskHosts[:1] }, func([]string) {
				b.loseAtResponse(lossAfterAck, func(host string) {
					if !aimed {
						host = ""
					}
					if host = b.diskHostOr(host); b.mayLose(host) {
						b.wipe(host, false, down)
					}
				})
			})
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		when, power, count, down := choose(r, lossAfterAck, lossAfterSend, lossAfterAcceptance), r.IntN(3) > 0, choose(r, 1, 2), between(r, 500, 3000)
		return fmt.Sprintf("%d machines lost when a change is %s, power %v, for %d ms", count, when, power, down), func(b *platformWorld) {
			b.whenLossAllowed(func() []string { return b.diskHosts[:1] }, func([]string) {
				b.loseAtResponse(when, func(host string) {
					hit := []string{host}
					for _, other := range b.shuffled(b.diskHosts) {
						if len(hit) < count && other != host {
							hit = append(hit, other)
						}
					}
					for len(hit) > 0 && !b.mayLose(hit...) {
						hit = hit[:len(hit)-1]
					}
					b.powerOf(hit, power, down)
				})
			})
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		power, taken, down := r.IntN(2) == 0, r.IntN(3) == 0, between(r, 500, 2000)
		return fmt.Sprintf("all core machines lost for %d ms, power %v, at an acceptance %v", down, power || taken, taken), func(b *platformWorld) {
			b.whenNoneLost(func() {
				if taken {
					b.loseAtResponse(lossAfterAcceptance, func(string) { b.powerOf(b.disks(), true, down) })
				} else {
					b.powerOf(b.disks(), power, down)
				}
			})
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		down, power, target, meet := between(r, 500, 9000), r.IntN(2) == 0, choose(r, "any", "leader", "central", "owner"), choose(r, "", "meet", "race", "hard")
		return fmt.Sprintf("core machine (%s) lost for %d ms, power %v %s", target, down, power, meet), func(b *platformWorld) {
			b.withCoreMember(target, func(host string) {
				b.powerOf([]string{host}, power, down)
				b.sendChangesDuringFault(meet, host, down)
			})
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		count, ms := choose(r, 1, 2), between(r, 3000, 8000)
		return fmt.Sprintf("%d disks slow for %d ms", count, ms), func(b *platformWorld) {
			b.withCoreMembers(count, func(host string) { b.diskSlow(host, 30, ms) })
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		target, ms := choose(r, "any", "leader"), between(r, 2000, 7000)
		return fmt.Sprintf("disk of %s stalled for %d ms", target, ms), func(b *platformWorld) {
			b.withCoreMember(target, func(host string) { b.diskStall(host, ms) })
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		count, ms := choose(r, 1, 2), between(r, 2000, 8000)
		return fmt.Sprintf("%d disks full for %d ms", count, ms), func(b *platformWorld) {
			b.withCoreMembers(count, func(host string) { b.diskFull(host, ms) })
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		ms, at := between(r, 2000, 5000), r.IntN(3)
		return fmt.Sprintf("zone %d lost for %d ms", at, ms), func(b *platformWorld) {
			zone := historycheck.Zones[at]
			b.whenLossAllowed(func() []string { return b.zoneHosts(zone) }, func([]string) { b.loseZone(zone, ms) })
		}
	},
}

// replace replaces a core machine, unless its replacement has already begun.
func (b *platformWorld) replace(host string, planned bool, gapMs int64) {
	switch {
	case b.replaced[host]:
		return
	case planned:
		b.replacePlanned(host, gapMs)
	default:
		b.replaceLost(host, gapMs)
	}
	b.replaced[host] = true
}

// whenNoneLost runs a fault once no machine with a disk is lost.
func (b *platformWorld) whenNoneLost(do func()) {
	b.whenLossAllowed(func() []string {
		if slices.ContainsFunc(b.diskHosts, b.lost) {
			return b.diskHosts // more than may be lost, so that it waits
		}
		return nil
	}, func([]string) { do() })
}

// dayChangeKinds are an operator's usual changes.
var dayChangeKinds = map[string]func(b *platformWorld){
	"note": func(b *platformWorld) { b.change(nil) },
	"weights": func(b *platformWorld) {
		b.change(func(s *platformSetup) { s.queues[1].urgency += b.rng.Int64N(10) })
	},
	"timeout": func(b *platformWorld) {
		b.change(func(s *platformSetup) { s.queues[1].latencyMs += 500 })
	},
	"route": func(b *platformWorld) {
		b.change(func(s *platformSetup) { s.queues = s.queues[:2] })
		b.after(4_000_000, func() { b.change(nil) })
	},
	"idle": func(b *platformWorld) { b.bigChange(60) },
}

// bigChange declares many additional queues, and removes them 3 s later.
func (b *platformWorld) bigChange(queues int) {
	b.change(func(s *platformSetup) {
		for i := range queues {
			s.queues = append(s.queues, platformQueue{fmt.Sprint("idle-", i), "idle.example", fmt.Sprintf("/i%d/", i), 10, 3, 1000, 2, b.deployment.service})
		}
	})
	b.after(3_000_000, func() { b.change(nil) })
}

// changeStorm sends changes at an interval; some don't wait for the one before.
func (b *platformWorld) changeStorm(ms, gapMs int64) {
	end := b.nowMs() + ms
	var next func()
	next = func() {
		if b.nowMs() >= end || b.noNewFaults {
			return
		}
		if b.openChanges == 0 || b.openChanges < maxOpenChanges && b.chance(0.1) {
			b.change(nil)
		}
		b.after(gapMs*1000, next)
	}
	next()
}

// racePair sends two changes that replace the same version, some of them with the same new version.
func (b *platformWorld) racePair() {
	base, first := b.version, b.version+1
	b.putSetup(b.usualSetup(), first, base, nil)
	b.putSetup(b.usualSetup(), first+b.rng.Int64N(2), base, nil)
}

// badChanges are changes that must be refused.
var badChanges = map[string]func(b *platformWorld){
	"same place": func(b *platformWorld) {
		s := b.usualSetup()
		s.invalid = true
		b.putSetup(s, b.version+1, b.version, nil)
	},
	"old version":  func(b *platformWorld) { b.putSetup(b.usualSetup(), max(1, b.version-1), b.version, nil) },
	"same version": func(b *platformWorld) { b.putSetup(b.usualSetup(), b.version, b.version-1, nil) },
	"stale match":  func(b *platformWorld) { b.putSetup(b.usualSetup(), b.version+1, b.version-1, nil) },
}

// resendAcknowledged repeats acknowledged changes, also those with newer ones after them.
func (b *platformWorld) resendAcknowledged(count int) {
	var acked []*sentSetup
	for _, o := range b.sentSetupList {
		if o.acked {
			acked = append(acked, o)
		}
	}
	for range count {
		b.sendSetup(acked[b.rng.IntN(len(acked))], b.edge(), func(int, int64) {})
	}
}

// each repeats something at an interval.
func (b *platformWorld) each(count int, gapMs int64, do func()) {
	for i := range int64(count) {
		b.after(i*gapMs*1000, func() {
			if !b.noNewFaults {
				do()
			}
		})
	}
}

var changeFaults = []faultKind{
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		ms, gap := between(r, 3000, 20_000), choose[int64](r, 60, 200, 500)
		return fmt.Sprintf("storm of changes for %d ms, one every %d ms", ms, gap), func(b *platformWorld) { b.changeStorm(ms, gap) }
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		count, gap := 2+r.IntN(11), between(r, 300, 1500)
		return fmt.Sprintf("%d races of two changes, one every %d ms", count, gap), func(b *platformWorld) { b.each(count, gap, b.racePair) }
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		count, gap, kind := 1+r.IntN(8), between(r, 300, 1500), choose(r, sortedKeys(badChanges)...)
		return fmt.Sprintf("%d invalid changes (%s), one every %d ms", count, kind, gap), func(b *platformWorld) {
			b.each(count, gap, func() { badChanges[kind](b) })
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		kind := choose(r, sortedKeys(dayChangeKinds)...)
		return "change: " + kind, func(b *platformWorld) { dayChangeKinds[kind](b) }
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		queues := choose(r, 200, 1500)
		return fmt.Sprintf("change to %d queues", queues), func(b *platformWorld) { b.bigChange(queues) }
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		share, gap := choose(r, 0.3, 1), between(r, 600, 1500)
		return fmt.Sprintf("SIGTERM to a fraction %.1f of machines, one every %d ms", share, gap), func(b *platformWorld) { b.rollingRestart(share, gap) }
	},
	func(*rand.Rand) (string, func(b *platformWorld)) {
		return "seeds replaced", func(b *platformWorld) { b.replaceSeeds(b.shuffled(b.runningEdges())) }
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		short := r.IntN(2) == 0
		return fmt.Sprintf("workers leave, short %v", short), func(b *platformWorld) {
			for _, s := range b.someWorkers(0.15) {
				b.leaveAndReplace(s, short)
			}
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		count, gap := 1+r.IntN(5), between(r, 100, 1000)
		return fmt.Sprintf("%d acknowledged changes sent again, one every %d ms", count, gap), func(b *platformWorld) {
			b.each(count, gap, func() { b.resendAcknowledged(1) })
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		at := r.IntN(3)
		return fmt.Sprintf("zone %d evacuated", at), func(b *platformWorld) {
			zone := historycheck.Zones[at]
			if len(b.evacuatedZones) == 0 {
				b.sendZoneCommand("site.empty", zone, func() { b.after(7_000_000, func() { b.sendZoneCommand("site.open", zone, nil) }) })
			}
		}
	},
}

// rollingRestart restarts a fraction of all machines by SIGTERM, one after the other.
func (b *platformWorld) rollingRestart(share float64, gapMs int64) {
	all := slices.DeleteFunc(sortedKeys(b.nodes), func(host string) bool { return b.nodes[host].removed })
	for i, host := range b.shuffled(all)[:int(share*float64(len(all)))] {
		b.after(int64(i)*gapMs*1000, func() {
			b.whenLossAllowed(func() []string { return []string{host} }, func([]string) { b.restart(host) })
		})
	}
}

// restart stops a machine by SIGTERM and starts it again.
func (b *platformWorld) restart(host string) {
	n := b.nodes[host]
	if !n.up {
		return
	}
	b.beginFault("stopped", host)
	n.stopOrKill(graceMs, func() {
		b.after(300_000, func() {
			n.start()
			b.endFault("stopped", host)
		})
	})
}

var networkFaults = []faultKind{
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		share, ms := choose(r, 0.2, 0.6), between(r, 2000, 7000)
		return fmt.Sprintf("connections of a fraction %.1f of machines reset for %d ms", share, ms), func(b *platformWorld) {
			all := b.shuffled(sortedKeys(b.nodes))
			b.resets(all[:int(share*float64(len(all)))], 0.7, ms)
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		ms := between(r, 2000, 9000)
		return fmt.Sprintf("machines cut off for %d ms", ms), func(b *platformWorld) { b.after(ms*1000, b.cut(b.drawHosts(0.15)...)) }
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		ms, at := between(r, 2000, 9000), r.IntN(3)
		return fmt.Sprintf("zone %d cut off for %d ms", at, ms), func(b *platformWorld) {
			zone := historycheck.Zones[at]
			b.whenLossAllowed(func() []string { return b.zoneHosts(zone) }, func([]string) { b.after(ms*1000, b.cutZone(zone)) })
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		ms := between(r, 1000, 5000)
		return fmt.Sprintf("machines freeze for %d ms", ms), func(b *platformWorld) {
			for _, host := range b.drawHosts(0.2) {
				b.freeze(host, ms)
			}
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		ms, power := between(r, 500, 3000), r.IntN(2) == 0
		return fmt.Sprintf("machines lost for %d ms, power %v", ms, power), func(b *platformWorld) { b.powerOf(b.drawHosts(0.2), power, ms) }
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		hang := r.IntN(2) == 0
		return fmt.Sprintf("workers slow down, or hang: %v", hang), func(b *platformWorld) {
			for _, s := range b.someWorkers(0.2) {
				b.slowFor(s, "grey", 4, hang, 6000)
			}
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		back := choose[int64](r, 4000, 0)
		return fmt.Sprintf("workers crash, back after %d ms", back), func(b *platformWorld) {
			for _, s := range b.someWorkers(0.15) {
				b.crashAndReplace(s, back)
			}
		}
	},
	func(r *rand.Rand) (string, func(b *platformWorld)) {
		kind, times := r.IntN(3), choose(r, 1.5, 2.5)
		return fmt.Sprintf("%.1f times the usual load of kind %d", times, kind), func(b *platformWorld) { b.extraJobs(kind, times, 4000) }
	},
}
