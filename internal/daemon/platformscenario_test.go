package daemon

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// configurePlatformNode sets a daemon's settings by its deployment.
func configurePlatformNode(p *nodeConfig, deployment platformDeployment, hasWorker bool) {
	p.Colocated, p.MaxHoldMs, p.GangWaitMs = hasWorker, deployment.holdMaxMs, deployment.gangWaitMs
	p.CoreSize = deployment.coreSize
	p.CheckpointIntervalMs, p.RestoreMs, p.SpreadFactor = int64(deployment.saveMs), deployment.restoreMs, deployment.spread
}

// requestOf returns a call as a daemon receives it.
func requestOf(c platformCall) evRequest {
	return evRequest{Op: c.op, Key: c.key, Host: c.host, Path: c.path, Base: c.expect, Body: c.body, Credential: c.credential, Connection: c.connection}
}

// formPlatform returns a world whose daemons have formed a cluster, with the usual
// configuration applied and workers sending heartbeats, just before traffic begins.
func formPlatform(t *testing.T, seed uint64, deployment string) *platformWorld {
	b := newPlatformWorld(seed, deployment)
	b.keepLogs = *dumpFlag != ""
	b.watchReady()
	must.True(t, b.until(20_000, func() bool { return b.holderOf("central") != nil }), must.Sprint("the cluster never formed"))
	b.putSetup(b.usualSetup(), 1, 0, nil)
	must.True(t, b.until(5000, func() bool { return b.version == 1 }), must.Sprint("the first configuration was not accepted"))
	for _, n := range b.nodes { // from here on they join an existing cluster
		n.FirstStart = false
	}
	b.run(max(0, 10_000-b.nowMs()))
	return b
}

// platformScenario is a fixed sequence of faults or loads. After it all jobs must end,
// and no rule may be broken.
type platformScenario func(t *testing.T, b *platformWorld)

// day starts the usual traffic and a lasting job, and runs for ms.
func (b *platformWorld) day(ms int64) {
	b.traffic()
	b.submit(b.lastingJob())
	b.run(ms)
}

// holder returns the machine that holds a role, or else any edge machine.
func (b *platformWorld) holder(role string) string {
	if n := b.holderOf(role); n != nil {
		return n.Name
	}
	return b.edges()[b.rng.IntN(b.deployment.edges)]
}

// randomShardRole returns the role of a random shard's owner.
func (b *platformWorld) randomShardRole() string {
	return "slice/" + b.pickOne(b.nodes["d00"].executor.node.core.Shards)
}

var platformScenarios = map[string]platformScenario{
	"calm day": func(t *testing.T, b *platformWorld) {
		b.day(25_000)
	},
	"workers crash": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		b.crashAndReplace(b.worker(1), 4500)
		b.run(2000)
		b.crashAndReplace(b.worker(4), 4500)
		b.crashAndReplace(b.worker(5), 400)
		b.run(12_000)
	},
	"workers gone for good": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		b.crashAndReplace(b.worker(2), 0)
		b.run(3000)
		b.crashAndReplace(b.worker(7), 0)
		b.run(12_000)
	},
	"workers slow": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		b.slowFor(b.worker(0), "slow", 6.5, false, 7000)
		b.slowFor(b.worker(6), "slow", 4, false, 7000)
		b.run(14_000)
	},
	"tasks hang": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		b.slowFor(b.worker(3), "hang", 1, true, 5500)
		b.run(2000)
		b.slowFor(b.worker(8), "hang", 1, true, 5500)
		b.run(12_000)
	},
	"workers leave": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		b.leaveAndReplace(b.worker(2), false)
		b.run(2500)
		b.leaveAndReplace(b.worker(9), false)
		b.run(14_000)
	},
	"workers leave unannounced": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		b.leaveUnannouncedAndReplace(b.worker(2), 3000)
		b.run(2500)
		b.leaveUnannouncedAndReplace(b.worker(9), 6000)
		b.after(700_000, b.kill(b.worker(9).node.Name, false))
		b.run(2500)
		b.leaveUnannouncedAndReplace(b.worker(5), 0)
		b.run(14_000)
	},
	"heartbeats of former workers": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		for i := range 9 {
			b.delayHeartbeats(b.worker(i), 2, true, i%3 == 0)
			b.run(1200)
		}
		b.run(14_000)
	},
	"workers leave at short notice": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		b.leaveAndReplace(b.worker(2), true)
		b.leaveAndReplace(b.worker(5), true)
		b.run(4000)
		b.leaveAndReplace(b.worker(9), true)
		b.run(14_000)
	},
	"side daemons killed and started": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		for i, ms := range []int64{300, 1500, 3500, 9000} {
			undo := b.kill(b.workerHosts[i*2], i%2 == 0)
			b.after(ms*1000, undo)
			b.run(1500)
		}
		b.run(12_000)
	},
	"side daemons freeze": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		for i, ms := range []int64{700, 1300, 3500, 8000} {
			b.freeze(b.workerHosts[i*2+1], ms)
			b.run(1500)
		}
		b.run(12_000)
	},
	"side machines cut off while workers run on": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		heal := b.cut(b.workerHosts[1], b.workerHosts[6])
		b.run(5000)
		heal()
		b.run(4000)
		heal = b.cut(b.workerHosts[3])
		b.run(9000)
		heal()
		b.run(8000)
	},
	"a side machine cut off, its tasks cancelled": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		heal := b.cut(b.workerHosts[1], b.workerHosts[6])
		for _, i := range []int{1, 6} {
			for _, k := range b.worker(i).runNames() {
				if j := b.jobs[k.job]; j.acked && !j.lasting() && b.chance(0.5) {
					b.cancel(j)
				}
			}
		}
		b.run(5500)
		heal()
		b.run(8000)
	},
	"owner killed": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		b.after(3_500_000, b.kill(b.holder(b.randomShardRole()), false))
		b.run(8000)
		b.after(500_000, b.kill(b.holder(b.randomShardRole()), true))
		b.run(12_000)
	},
	"owner freezes": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		b.freeze(b.holder(b.randomShardRole()), 4000)
		b.run(8000)
		b.freeze(b.holder(b.randomShardRole()), 1800)
		b.run(12_000)
	},
	"owner cut off": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		heal := b.cut(b.holder(b.randomShardRole()))
		b.run(5500)
		heal()
		b.run(12_000)
	},
	"central scheduler killed, then frozen": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		b.after(3_500_000, b.kill(b.holder("central"), false))
		b.run(7000)
		b.freeze(b.holder("central"), 3500)
		b.run(12_000)
	},
	"core member killed": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		b.after(4_000_000, b.kill("d01", true))
		b.run(16_000)
	},
	"core member wiped and replaced": func(t *testing.T, b *platformWorld) {
		b.day(5000)
		b.wipe("d01", true, 2000)
		b.run(20_000)
		b.wipe("d00", false, 300)
		b.run(12_000)
	},
	"core member cut off": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		heal := b.cut("d02")
		b.run(5500)
		heal()
		b.run(12_000)
	},
	"core cut in pieces": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		heal := b.cut("d00", "d01", "d02")
		b.run(3000)
		heal()
		b.run(14_000)
	},
	"power loss of all": func(t *testing.T, b *platformWorld) {
		b.day(8000)
		var undo []func()
		for _, host := range sortedKeys(b.nodes) {
			undo = append(undo, b.kill(host, true))
		}
		b.run(1400)
		allOf(undo)()
		b.run(16_000)
	},
	"all daemons killed, workers run on": func(t *testing.T, b *platformWorld) {
		b.day(8000)
		var undo []func()
		for _, host := range sortedKeys(b.nodes) {
			undo = append(undo, b.kill(host, false))
		}
		b.run(1400)
		allOf(undo)()
		b.run(16_000)
	},
	"large jobs in a burst": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		for range 8 {
			b.sendKind(0)
		}
		b.run(2000)
		for range 8 {
			b.sendKind(0)
		}
		b.run(12_000)
	},
	"urgent jobs in a burst": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		for range 40 {
			b.sendKind(2)
			b.run(60)
		}
		b.run(12_000)
	},
	"jobs that can't succeed": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		for i := range 12 {
			j := b.draw(&b.deployment.kinds[i%3])
			b.makeHopeless(j)
			b.submit(j)
			b.run(200)
		}
		b.run(14_000)
	},
	"a site emptied and opened": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		zone := b.nodes[b.workerHosts[0]].Zone
		b.sendZoneCommand("site.empty", zone, nil)
		b.run(9000)
		b.sendZoneCommand("site.open", zone, nil)
		b.run(8000)
	},
	"operators change concurrently": func(t *testing.T, b *platformWorld) {
		b.day(4000)
		for range 4 {
			base, version := b.version, b.version
			for i := range 3 {
				s := b.usualSetup()
				if i == 1 {
					s.queues[1].latencyMs += 500
				}
				b.putSetup(s, version+1+int64(i), base, nil)
			}
			b.run(1200)
		}
		bad := b.usualSetup()
		bad.invalid = true
		b.putSetup(bad, b.version+1, b.version, nil)
		b.run(10_000)
	},
	"queues removed and added": func(t *testing.T, b *platformWorld) {
		b.day(4000)
		b.change(func(s *platformSetup) { s.queues = s.queues[:2] })
		b.run(4000)
		b.change(nil)
		b.run(3000)
		b.change(func(s *platformSetup) {
			for i := range 60 {
				s.queues = append(s.queues, platformQueue{fmt.Sprint("idle-", i), "idle.example", fmt.Sprintf("/i%d/", i), 10, 3, 1000, 2, b.deployment.service})
			}
		})
		b.run(12_000)
	},
	"daemons stopped in turn": func(t *testing.T, b *platformWorld) {
		b.day(4000)
		for i := range 5 {
			b.stopGracefully(b.edges()[(i*2+1)%b.deployment.edges], 0)
			b.stopGracefully(b.workerHosts[i*2], 0)
			b.run(1300)
		}
		b.run(14_000)
	},
	"a disk becomes slow": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		b.extraSyncUs["d00"] = 300_000
		b.beginFault("slow disk", "d00")
		b.run(6000)
		b.extraSyncUs["d00"] = 0
		b.endFault("slow disk", "d00")
		b.run(10_000)
	},
	"a whole zone lost": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		var undo []func()
		zone := b.nodes[b.workerHosts[1]].Zone
		for _, host := range sortedKeys(b.nodes) {
			if b.nodes[host].Zone == zone {
				undo = append(undo, b.kill(host, true))
				if s := b.byHost[host]; s != nil {
					b.crashAndReplace(s, 6000)
				}
			}
		}
		b.run(6000)
		allOf(undo)()
		b.run(14_000)
	},
	"a whole zone cut off": func(t *testing.T, b *platformWorld) {
		b.cutTogether = true
		b.day(6000)
		var hosts []string
		zone := b.nodes[b.workerHosts[2]].Zone
		for _, host := range sortedKeys(b.nodes) {
			if b.nodes[host].Zone == zone {
				hosts = append(hosts, host)
			}
		}
		heal := b.cut(hosts...)
		b.run(7000)
		heal()
		b.run(14_000)
	},
	"accelerators scarce": func(t *testing.T, b *platformWorld) {
		for i := range 3 {
			s := b.worker(i * 3)
			s.crash()
			s.capacity[2] = 2
			s.start()
		}
		b.run(1000)
		b.traffic()
		for i := range 24 {
			j := b.simple(i%3, 1+i%3, amounts{b.deployment.capacity[0] / 32, b.deployment.capacity[1] / 32, 1 + int64(i%2)}, 600)
			b.submit(j)
			b.run(300)
		}
		b.run(10_000)
	},
	"side daemons killed while abandoned ends wait": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		for i := range 90 { // each task fails once
			j := b.simple(i%3, 1, amounts{b.deployment.capacity[0] / 16, b.deployment.capacity[1] / 16}, 500+1000*b.rng.Float64())
			j.fates[taskName{}].fails = []float64{b.rng.Float64()}
			b.submit(j)
			b.run(20)
		}
		hosts := b.workerHosts[:6]
		heal := b.cut(hosts...)
		b.run(7000)
		heal()
		for i, host := range hosts {
			b.after(int64(i)*400_000+50_000, func() { b.after(200_000, b.kill(host, false)) })
		}
		b.run(12_000)
	},
	"side daemons started into a cut": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		for i := range 60 {
			b.submit(b.simple(i%3, 1, amounts{b.deployment.capacity[0] / 16, b.deployment.capacity[1] / 16}, 1500+1500*b.rng.Float64()))
			b.run(20)
		}
		hosts := b.workerHosts[:4]
		for _, host := range hosts {
			b.kill(host, false)()
		}
		heal := b.cut(hosts...)
		b.run(7500)
		heal()
		b.run(10_000)
	},
	"cut off, and killed before they stop what runs": func(t *testing.T, b *platformWorld) {
		b.day(6000)
		for i := range 12 {
			b.submit(b.simple(i%3, 3, amounts{b.deployment.capacity[0] / 16, b.deployment.capacity[1] / 16}, 14_000))
		}
		b.run(1500)
		hosts := b.workerHosts[:6]
		heal := b.cut(hosts...)
		for i, host := range hosts { // the last responses give workers a hold that lasts longer than owners wait
			b.after(4_200_000+int64(i)*140_000, func() { b.after(5_000_000, b.kill(host, false)) })
		}
		b.run(11_000)
		heal()
		b.run(8000)
	},
	"many ends behind an abandoned one": func(t *testing.T, b *platformWorld) {
		b.day(3000)
		small := amounts{b.deployment.capacity[0] / 64, b.deployment.capacity[1] / 64}
		for i := range 40 {
			b.submit(b.simple(i%3, 2, small, 1500))
		}
		b.run(300)
		heal := b.cut(b.workerHosts[:3]...)
		b.run(7500)
		heal()
		for i := range 160 {
			b.submit(b.simple(i%3, 12, small, 100+300*b.rng.Float64()))
			b.run(60)
		}
		must.Positive(t, b.total("ends_waited"))
		b.run(6000)
	},
	"small jobs beside a gang that waits for resources": func(t *testing.T, b *platformWorld) {
		whole := amounts{b.deployment.capacity[0] * 3 / 4, b.deployment.capacity[1] * 3 / 4}
		for range 4 {
			b.submit(b.simple(0, 1, whole, 45_000))
		}
		b.run(2000)
		gang := b.simple(0, 8, whole, 3000)
		gang.steps[0].gang = true
		b.submit(gang)
		b.run(6000)
		for range 3 {
			j := b.submit(b.simple(1, 1, amounts{b.deployment.capacity[0] / 5, b.deployment.capacity[1] / 5}, 3000)) // its estimate is long, so it gets a guaranteed place
			b.run(8000)
			must.Eq(t, "complete", j.state)
		}
		b.run(25_000)
		must.MapNotEmpty(t, gang.okTasks)
	},
	"guarding workers": func(t *testing.T, b *platformWorld) {
		for _, host := range b.workerHosts {
			b.byHost[host].guards = true
		}
		b.day(6000)
		b.after(700_000, b.kill(b.workerHosts[4], false))
		heal := b.cut(b.workerHosts[2])
		b.run(5000)
		heal()
		b.run(10_000)
	},
	"gangs and a failed agent": func(t *testing.T, b *platformWorld) {
		for i := range 10 {
			j := b.simple(0, 5, amounts{b.deployment.capacity[0] / 8, b.deployment.capacity[1] / 8}, 3000)
			j.steps[0].gang, j.steps[0].saves, j.steps[0].sameRack = true, true, i%2 == 0
			b.submit(j)
			b.run(200)
		}
		b.run(1500)
		b.after(400_000, b.kill(b.workerHosts[0], false))
		b.freeze(b.workerHosts[4], 3500)
		heal := b.cut(b.workerHosts[7])
		b.run(4500)
		heal()
		b.run(10_000)
	},
}

var grownFlag = flag.Bool("grown", false, "simulate the users' platform at its grown sizes")

func chosenDeployments() []string {
	if *grownFlag {
		return sortedKeys(grownPlatformDeployments)
	}
	return sortedKeys(platformDeployments)
}

// checkPlatformRun reports the violations of a run and logs what is needed to find their cause.
func checkPlatformRun(t *testing.T, b *platformWorld) {
	for i, x := range checkPlatformHistory(b.events, b.deployment.bounds) {
		if i < 8 {
			t.Error(x)
		}
	}
	t.Log(b.platformSummary())
	if len(b.badRequestBodies) > 0 {
		t.Error("jobs were rejected as malformed: ", b.badRequestBodies)
	}
	if *dumpFlag == "" || !t.Failed() {
		return
	}
	for _, e := range b.events {
		if e.job == *dumpFlag || e.worker == *dumpFlag || *dumpFlag == "trouble" && (e.kind == eventFaultBegan || e.kind == eventFaultEnded) {
			t.Log(e.atMs, e.kind, e.job, e.task, e.worker, e.host, "run", e.run, "n", e.n, e.text, e.saved)
		}
	}
	for _, l := range b.logs {
		if *dumpFlag == "trouble" || strings.Contains(l, *dumpFlag) {
			t.Log(l)
		}
	}
}

// TestPlatformScenarios runs each scenario on one of the two deployments in turn; with
// -seeds and -from on both, with those seeds.
func TestPlatformScenarios(t *testing.T) {
	from, count := uint64(11), 1
	if *seedsFlag > 0 {
		from, count = *fromFlag, *seedsFlag
	}
	for turn, name := range sortedKeys(platformScenarios) {
		deployments := chosenDeployments()
		if *seedsFlag == 0 {
			deployments = deployments[turn%2:][:1]
		}
		for _, deployment := range deployments {
			for i := range count {
				seed := from + uint64(i)
				t.Run(fmt.Sprintf("%s/%s-%d", name, deployment, seed), func(t *testing.T) {
					t.Parallel()
					b := formPlatform(t, seed, deployment)
					platformScenarios[name](t, b)
					b.finish(120_000)
					checkPlatformRun(t, b)
				})
			}
		}
	}
}

const platformCISeeds = 6
