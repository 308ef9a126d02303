package daemon

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// Requirements of the platform that the general check of platform worlds doesn't cover.

// requirementSeeds is the number of seeds per test in CI; -seeds runs more, beginning at -from.
const requirementSeeds = 3

// eachRequirementSeed runs a test with several seeds, alternating between deployments.
func eachRequirementSeed(t *testing.T, deployments []string, do func(t *testing.T, b *platformWorld)) {
	from, count := uint64(7300), requirementSeeds
	if *seedsFlag > 0 {
		from, count = *fromFlag, *seedsFlag
	}
	for i := range count {
		seed := from + uint64(i)
		deployment := deployments[seed%uint64(len(deployments))]
		t.Run(fmt.Sprintf("%s-%d", deployment, seed), func(t *testing.T) {
			t.Parallel()
			do(t, formPlatform(t, seed, deployment))
		})
	}
}

// Guards against the loss of acknowledged data when the largest tolerated number of disks is lost
// while every other machine loses power: the remaining disks alone must hold it all.
func TestDisksLostWhileAllOthersLosePower(t *testing.T) {
	eachRequirementSeed(t, dayDeployments, func(t *testing.T, b *platformWorld) {
		b.traffic()
		b.run(2000 + b.rng.Int64N(3000))
		disks := b.shuffled(b.diskHosts)
		if b.chance(0.5) { // one disk is newer than the others
			b.wipe(disks[len(disks)-1], false, 500)
			b.run(12_000)
		}
		moment := []lossTiming{lossAfterSend, lossAfterAck, lossAfterAcceptance}[b.rng.IntN(3)]
		downMs := 800 + b.rng.Int64N(1200)
		b.each(4, 700, func() { b.change(nil) })
		b.strikeOnce(moment, func(host string) {
			first := slices.Index(disks, host)
			if first > 0 && b.chance(0.5) { // hit the daemon that acknowledged
				disks[0], disks[first] = disks[first], disks[0]
			}
			b.record(platformEvent{kind: eventLoss})
			lost := disks[:b.lossesAllowed()]
			for _, h := range lost {
				b.wipe(h, false, downMs)
			}
			for _, h := range sortedKeys(b.nodes) {
				if slices.Contains(lost, h) || b.nodes[h].removed {
					continue
				}
				b.powerOf([]string{h}, true, downMs)
				if s := b.byHost[h]; s != nil {
					b.crashAndReplace(s, downMs+20)
				}
			}
		})
		b.run(downMs + 20)
		b.record(platformEvent{kind: eventLossRepaired})
		b.run(recoveryMs + 10_000)
		b.finish(120_000)
		b.readBack()
		checkPlatformRun(t, b)
	})
}

// Guards against lost data and outdated configuration reads when a network partition splits the
// machines with disks into two halves for some seconds.
func TestCountedMachinesCutIntoHalves(t *testing.T) {
	eachRequirementSeed(t, []string{"hakata five", "ikenna"}, func(t *testing.T, b *platformWorld) {
		b.traffic()
		b.run(4000)
		half := b.shuffled(b.diskHosts)
		half = half[:(len(half)+1)/2]
		for _, x := range half {
			for _, y := range b.diskHosts {
				if !slices.Contains(half, y) {
					b.cuts[[2]string{x, y}], b.cuts[[2]string{y, x}] = true, true
				}
			}
		}
		for _, host := range b.diskHosts {
			b.beginFault("split", host)
		}
		b.each(6, 500, func() { b.change(nil) })
		b.each(10, 400, func() { b.readAnywhere(t) })
		b.run(6000)
		b.cuts = map[[2]string]bool{}
		b.releaseHeld()
		for _, host := range b.diskHosts {
			b.endFault("split", host)
		}
		b.run(recoveryMs)
		b.finish(120_000)
		b.readBack()
		checkPlatformRun(t, b)
	})
}

// configApplyMs is the required bound from a version's acknowledgement until it is in effect.
const configApplyMs = 2000

// readAnywhere reads the configuration at each machine, connected or not, and fails if it is older
// than the version acknowledged configApplyMs before.
func (b *platformWorld) readAnywhere(t *testing.T) {
	acked, askedMs := b.version, b.nowMs()
	for _, host := range b.edgeHosts {
		b.after(configApplyMs*1000, func() {
			b.call("operator", b.nodes[host], platformCall{op: "setup.get"}, 1000, func(status int, _ int64, body []byte) {
				if got := gjson.GetBytes(body, "version").Int(); status == 200 && got < acked {
					t.Errorf("%s returned version %d at %d ms, %d was acknowledged by %d ms", host, got, b.nowMs(), acked, askedMs)
				}
			})
		})
	}
}

// Guards against outdated configuration reads at machines that are cut off, frozen or just started:
// they must reply 503 instead.
func TestConfigReadAnywhereIsNotOld(t *testing.T) {
	eachRequirementSeed(t, []string{"hakata", "ikenna"}, func(t *testing.T, b *platformWorld) {
		b.each(30, 300, func() { b.change(nil) })
		b.each(30, 310, func() { b.readAnywhere(t) })
		for range 4 {
			host := b.pickOne(b.edgeHosts)
			switch b.rng.IntN(3) {
			case 0:
				b.after(2_500_000, b.cut(host))
			case 1:
				b.freeze(host, 1500)
			case 2:
				b.after(600_000, b.kill(host, b.chance(0.5)))
			}
			b.run(3000)
		}
		b.run(5000)
	})
}

// Without faults every end that a worker reports is acknowledged within 200 ms, 95 of 100 within
// 100 ms.
func TestEndsAreAcknowledgedSoon(t *testing.T) {
	eachRequirementSeed(t, []string{"hakata", "ikenna"}, func(t *testing.T, b *platformWorld) {
		b.traffic()
		b.run(10_000)
		listedMs, waits := map[string]map[int64]int64{}, []int64{}
		for _, e := range b.events {
			switch e.kind {
			case eventEndsReported:
				if listedMs[e.worker] == nil {
					listedMs[e.worker] = map[int64]int64{}
				}
				for n := e.n; n > 0 && listedMs[e.worker][n] == 0; n-- {
					listedMs[e.worker][n] = e.atMs
				}
			case eventEndsAcknowledged:
				for n := e.n; n > 0 && listedMs[e.worker][n] > 0; n-- {
					waits = append(waits, e.atMs-listedMs[e.worker][n])
					listedMs[e.worker][n] = -1
				}
			}
		}
		must.Greater(t, 100, len(waits))
		slices.Sort(waits)
		t.Logf("%d ends acknowledged after %d ms in the median, %d ms at the 95th percentile, %d ms at most",
			len(waits), waits[len(waits)/2], waits[len(waits)*95/100], waits[len(waits)-1])
		must.LessEq(t, 100, waits[len(waits)*95/100])
		must.LessEq(t, 200, waits[len(waits)-1])
	})
}

// Any daemon reports a queue's waiting jobs over all shards, or an error. The count is never less than
// half of the accepted jobs that have not started, nor more than all jobs.
func TestPendingCountsTheFleet(t *testing.T) {
	eachRequirementSeed(t, []string{"hakata", "ikenna"}, func(t *testing.T, b *platformWorld) {
		whole := b.deployment.capacity
		var jobs []*platformJob
		for range 3 * len(b.workerHosts) { // each takes a whole worker, so that most wait
			jobs = append(jobs, b.submit(b.simple(0, 1, amounts{whole[0] * 9 / 10, whole[1] / 2}, 30_000)))
		}
		b.run(6000)
		answers := 0
		b.each(20, 300, func() {
			waiting := 0
			for _, j := range jobs {
				if j.acked && len(b.runsOf(j.id)) == 0 {
					waiting++
				}
			}
			for _, host := range b.edgeHosts {
				call := platformCall{op: "queue.state", host: jobs[0].queue.host, path: jobs[0].queue.prefix}
				b.call("caller", b.nodes[host], call, 1000, func(status int, _ int64, body []byte) {
					if status != 200 {
						return
					}
					answers++
					got := gjson.GetBytes(body, "waiting").Int()
					if 2*got < int64(waiting) || got > int64(len(jobs)) {
						t.Errorf("%s reported %d waiting jobs, but %d of %d wait", host, got, waiting, len(jobs))
					}
				})
			}
		})
		b.run(3000)
		b.after(2_000_000, b.kill(b.holder(b.randomShardRole()), false))
		b.run(5000)
		must.Greater(t, 5*len(b.edgeHosts), answers)
	})
}

// runsOf returns the workers that run a task of a job now.
func (b *platformWorld) runsOf(id string) (hosts []string) {
	for _, host := range b.workerHosts {
		for k := range b.byHost[host].runs {
			if k.job == id {
				hosts = append(hosts, host)
			}
		}
	}
	return hosts
}

// Guards against tasks that start at a worker by its former labels and capacity after it restarted
// at the same address with others.
func TestWorkerComesBackAsAnotherKind(t *testing.T) {
	eachRequirementSeed(t, []string{"hakata", "ikenna"}, func(t *testing.T, b *platformWorld) {
		b.traffic()
		b.run(3000)
		for range 4 {
			s := b.somePlatformWorker()
			kinds := map[string]string{"a": "b", "b": "a"}
			b.crashAndReplace(s, 700)
			labels := map[string]string{"service": s.labels["service"], "kind": kinds[s.labels["kind"]]}
			s.labels, s.capacity = labels, amounts{s.capacity[0] / 2, s.capacity[1]}
			b.run(2500)
		}
		b.finish(120_000)
		checkPlatformRun(t, b)
	})
}

// Guards against long-running tasks that stay down in a full fleet: they must be restarted within 9 s
// of their end although other work waits for all resources.
func TestLastingTasksComeBackInAFullFleet(t *testing.T) {
	eachRequirementSeed(t, []string{"hakata", "ikenna"}, func(t *testing.T, b *platformWorld) {
		lasting := b.submit(b.lastingJob())
		lasting.fates[taskName{0, 0, 0}].fails, lasting.fates[taskName{0, 0, 1}].fails = nil, nil
		b.run(2000)
		room := b.deployment.capacity
		for range 12 * len(b.workerHosts) {
			b.submit(b.simple(2, 1, amounts{room[0] / 5, room[1] / 16}, 3500))
		}
		b.run(4000)
		hosts := b.runsOf(lasting.id)
		must.SliceNotEmpty(t, hosts)
		b.crashAndReplace(b.byHost[hosts[0]], 500)
		b.run(9000)
		must.Eq(t, 2, len(b.runsOf(lasting.id)), must.Sprint("both tasks must run"))
	})
}
