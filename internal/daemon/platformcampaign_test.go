package daemon

import (
	"fmt"
	"strings"
	"testing"
)

// platformFaults are faults and loads for random mixes. Each ends by itself.
var platformFaults = map[string]func(b *platformWorld){
	"crash": func(b *platformWorld) { b.crashAndReplace(b.somePlatformWorker(), 500+b.rng.Int64N(5000)) },
	"slow":  func(b *platformWorld) { b.slowFor(b.somePlatformWorker(), "slow", 2+5*b.rng.Float64(), false, 7000) },
	"hang":  func(b *platformWorld) { b.slowFor(b.somePlatformWorker(), "hang", 1, true, 5500) },
	"leave": func(b *platformWorld) { b.leaveAndReplace(b.somePlatformWorker(), false) },
	"spot":  func(b *platformWorld) { b.leaveAndReplace(b.somePlatformWorker(), true) },
	"leave unannounced": func(b *platformWorld) {
		b.leaveUnannouncedAndReplace(b.somePlatformWorker(), b.rng.Int64N(6000))
	},
	"many ends": (*platformWorld).endManyBesideTrouble,
	"late heartbeats": func(b *platformWorld) {
		b.delayHeartbeats(b.somePlatformWorker(), 1+b.rng.IntN(4), b.chance(0.6), b.chance(0.4))
	},
	"side kill": func(b *platformWorld) {
		b.after(100_000+b.rng.Int64N(6_000_000), b.kill(b.pickOne(b.workerHosts), b.chance(0.5)))
	},
	"side freeze": func(b *platformWorld) { b.freeze(b.pickOne(b.workerHosts), 300+b.rng.Int64N(8000)) },
	"side cut": func(b *platformWorld) {
		b.after(500_000+b.rng.Int64N(9_000_000), b.cut(b.pickOne(b.workerHosts)))
	},
	"edge kill": func(b *platformWorld) {
		b.after(100_000+b.rng.Int64N(6_000_000), b.kill(b.pickOne(b.edges()), b.chance(0.5)))
	},
	"edge freeze": func(b *platformWorld) { b.freeze(b.pickOne(b.edges()), 300+b.rng.Int64N(6000)) },
	"edge cut":    func(b *platformWorld) { b.after(500_000+b.rng.Int64N(6_000_000), b.cut(b.pickOne(b.edges()))) },
	"owner kill": func(b *platformWorld) {
		b.after(100_000+b.rng.Int64N(6_000_000), b.kill(b.holder(b.randomShardRole()), b.chance(0.5)))
	},
	"owner freeze": func(b *platformWorld) { b.freeze(b.holder(b.randomShardRole()), 1000+b.rng.Int64N(5000)) },
	"owner cut":    func(b *platformWorld) { b.after(500_000+b.rng.Int64N(6_000_000), b.cut(b.holder(b.randomShardRole()))) },
	"central kill": func(b *platformWorld) {
		b.after(100_000+b.rng.Int64N(6_000_000), b.kill(b.holder("central"), b.chance(0.5)))
	},
	"wipe": func(b *platformWorld) {
		if b.completeCore() != nil {
			b.wipe(b.pickOne(b.disks()), b.chance(0.5), 300+b.rng.Int64N(3000))
		}
	},
	"power all": func(b *platformWorld) {
		var undo []func()
		power := b.chance(0.5)
		for _, host := range sortedKeys(b.nodes) {
			undo = append(undo, b.kill(host, power))
		}
		b.after(300_000+b.rng.Int64N(2_000_000), allOf(undo))
	},
	"large": func(b *platformWorld) {
		for range 5 {
			b.sendKind(0)
		}
	},
	"urgent": func(b *platformWorld) {
		for range 25 {
			b.sendKind(2)
		}
	},
	"poison": func(b *platformWorld) {
		for range 5 {
			j := b.draw(&b.deployment.kinds[b.rng.IntN(3)])
			b.makeHopeless(j)
			b.submit(j)
		}
	},
	"evacuate": func(b *platformWorld) {
		zone := b.nodes[b.pickOne(b.workerHosts)].Zone
		b.sendZoneCommand("site.empty", zone, func() { b.after(7_000_000, func() { b.sendZoneCommand("site.open", zone, nil) }) })
	},
	"race": func(b *platformWorld) {
		base, version := b.version, b.version
		for i := range 3 {
			b.putSetup(b.usualSetup(), version+1+int64(i), base, nil)
		}
	},
	"cancels": func(b *platformWorld) {
		for _, o := range b.open() {
			if j := b.jobs[o[:16]]; b.chance(0.2) {
				b.cancel(j)
			}
		}
	},
	"stop": func(b *platformWorld) { b.stopGracefully(b.pickOne(sortedKeys(b.nodes)), b.rng.Int64N(2000)) },
	"slow disk": func(b *platformWorld) {
		d := b.pickOne(b.disks())
		b.extraSyncUs[d] = 20_000 + b.rng.Int64N(400_000)
		b.beginFault("slow disk", d)
		b.after(5_500_000, func() {
			b.extraSyncUs[d] = 0
			b.endFault("slow disk", d)
		})
	},
	"after ack wipe": func(b *platformWorld) { // a daemon loses its disk or power right after it has acknowledged something
		kind, wipe, armed := b.pickOne([]string{eventJobResponse, eventSetupAcked, eventCancelAcked, eventEndsAcknowledged, eventZoneEvacuated}), b.chance(0.6), true
		b.onEvent = func(e platformEvent) {
			if !armed || e.kind != kind || kind == eventJobResponse && e.n >= 300 {
				return
			}
			armed, b.onEvent = false, nil
			b.after(b.rng.Int64N(3000), func() {
				core := b.completeCore()
				if core == nil {
					return
				}
				host := core[b.rng.IntN(len(core))].Name
				if wipe {
					b.wipe(host, false, 300+b.rng.Int64N(2500))
				} else {
					b.after(300_000+b.rng.Int64N(2_500_000), b.kill(host, true))
				}
			})
		}
		if kind == eventSetupAcked {
			b.change(nil)
		}
	},
	"flap": func(b *platformWorld) {
		s := b.somePlatformWorker()
		for i := range int64(4) {
			b.after(i*1_400_000, func() { b.crashAndReplace(s, 700) })
		}
	},
	"herd kill": func(b *platformWorld) {
		var undo []func()
		for _, host := range sortedKeys(b.nodes) {
			if b.chance(0.45) {
				undo = append(undo, b.kill(host, b.chance(0.5)))
			}
		}
		b.after(1_400_000, allOf(undo))
	},
	"storm": func(b *platformWorld) {
		for i := range int64(6) {
			b.after(i*80_000, func() { b.change(nil) })
		}
	},
	"quick cuts": func(b *platformWorld) { // short cuts of one worker's machine
		host := b.pickOne(b.workerHosts)
		for i := range int64(3) {
			b.after(i*1_500_000, func() { b.after(200_000+b.rng.Int64N(1_200_000), b.cut(host)) })
		}
	},
	"cut and killed": func(b *platformWorld) { // the daemon restarts while it is cut off
		host := b.pickOne(b.workerHosts)
		heal := b.cut(host)
		b.after(100_000+b.rng.Int64N(7_000_000), func() { b.after(100_000+b.rng.Int64N(500_000), b.kill(host, false)) })
		b.after(2_000_000+b.rng.Int64N(8_000_000), heal)
	},
	"replaced": func(b *platformWorld) { // a worker crashes while its daemon is cut off
		host := b.pickOne(b.workerHosts)
		b.after(500_000+b.rng.Int64N(3_000_000), b.cut(host))
		b.crashAndReplace(b.byHost[host], 100+b.rng.Int64N(2000))
	},
	"failing": func(b *platformWorld) { // many tasks fail, some of them while their agent is cut off
		for range 20 {
			j := b.simple(b.rng.IntN(3), 1+b.rng.IntN(4), amounts{b.deployment.capacity[0] / 32, b.deployment.capacity[1] / 32}, 300+1500*b.rng.Float64())
			for n := range j.taskNames() {
				for range b.rng.IntN(3) {
					j.fates[n].fails = append(j.fates[n].fails, b.rng.Float64())
				}
			}
			b.submit(j)
		}
		b.after(1_000_000+b.rng.Int64N(8_000_000), b.cut(b.pickOne(b.workerHosts)))
	},
	"clock": func(b *platformWorld) {
		n := b.nodes[b.pickOne(sortedKeys(b.nodes))]
		undo := b.skewClock(n)
		b.beginFault("clock", n.Name)
		b.after(5_000_000, func() {
			undo()
			b.endFault("clock", n.Name)
		})
	},
}

// TestPlatformCampaign checks the users' rules under random mixes of faults on top of usual traffic.
func TestPlatformCampaign(t *testing.T) {
	count := platformCISeeds
	if *seedsFlag > 0 {
		count = *seedsFlag
	}
	names := sortedKeys(platformFaults)
	if *onlyFlag != "" {
		names = strings.Split(*onlyFlag, ",")
	}
	for i := range count {
		seed := *fromFlag + uint64(i)
		deployment := chosenDeployments()[seed%2]
		t.Run(fmt.Sprintf("%s-%d", deployment, seed), func(t *testing.T) {
			t.Parallel()
			b := formPlatform(t, seed, deployment)
			var played []string
			b.day(4000)
			for end := b.nowMs() + 25_000; b.nowMs() < end; {
				b.run(500 + b.rng.Int64N(4000))
				name := b.pickOne(names)
				played = append(played, fmt.Sprintf("%d:%s", b.nowMs(), name))
				platformFaults[name](b)
			}
			b.run(12_000)
			b.finish(120_000)
			checkPlatformRun(t, b)
			if t.Failed() {
				t.Log("faults:", played)
			}
		})
	}
}
