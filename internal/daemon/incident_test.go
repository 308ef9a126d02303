package daemon

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// A run time is known only if both the start and the end were observed as they happened. After
// a freeze, or for an attempt found running at startup, nothing is learned. In the incidents
// such attempts were recorded with the daemon's own age or with zero.
func TestIncidentUnobservedRunTimes(t *testing.T) {
	key := wire.AttemptKey{Job: "j1", Task: uniformTaskID(0, 0, 0), Attempt: 1}
	ended := `,"ended":[{"n":1,"job":"j1","round":0,"step":0,"index":0,"run":1,"saved":"","outcome":"ok"}]`
	type lists struct {
		afterMs int64
		text    string
	}
	for name, c := range map[string]struct {
		ordered bool // by this daemon
		reports []lists
		ranMs   int64
	}{
		"seen":                                {true, []lists{{50, runningList("j1", 0, 1, 1)}, {50, runningList("j1", 0, 1, 50)}, {50, ended}}, 100},
		"ended before the next heartbeat":     {true, []lists{{60, ended}}, 60},
		"ended while the daemon was frozen":   {true, []lists{{3500, ended}}, 0},
		"its end while the daemon was frozen": {true, []lists{{50, runningList("j1", 0, 1, 1)}, {3500, ended}}, 0},
		"started while the daemon was frozen": {true, []lists{{3500, runningList("j1", 0, 1, 60)}, {50, ended}}, 0},
		"found running":                       {false, []lists{{50, runningList("j1", 0, 1, 60)}, {50, ended}}, 0},
		"found ended":                         {false, []lists{{50, ended}}, 0},
	} {
		n, heartbeat := agentOfWorker(t)
		heartbeat(100_000, "")
		heartbeat(50, "")
		agent := n.agents["w1"]
		if c.ordered {
			agent.attempts[key] = &agentAttempt{state: wire.AttemptOrdered, ordered: true, orderedMs: n.now, orderSeq: agent.reportSeq, confirmedMs: n.now + 60_000, spec: wire.TaskSpec{Key: key, EstimateMs: 100}}
		}
		for _, l := range c.reports {
			heartbeat(l.afterMs, l.text)
		}
		attempt := agent.attempts[key]
		must.Eq(t, wire.AttemptEnded, attempt.state, must.Sprint(name))
		must.Eq(t, wire.ResultOK, attempt.result, must.Sprint(name))
		must.Eq(t, c.ranMs, attempt.ranMs, must.Sprint(name))
	}

	n, _ := agentOfWorker(t)
	job := &liveJob{jobRecord: jobRecord{Queue: "q", Steps: []jobStep{{Uniform: true}}}}
	n.recordRunTime(job, &task{EstimateHintMs: 1000}, 1200)
	n.recordRunTime(job, &task{EstimateHintMs: 1000}, 0)
	mean, _ := n.estimates.Mean(hintScaleKey("q"))
	must.Eq(t, 120.0, mean)
}

// A daemon that was frozen logs this and for how long. In the logs of the incidents a freeze
// could be told from a network cut only by the expiry of leases.
func TestIncidentFreezeIsLogged(t *testing.T) {
	n := newNode(nodeConfig{Name: "edge-1", Incarnation: 1, Zone: "east"}, nil)
	var logged []effLog
	for _, ms := range []int64{5_000_000, 5_000_100, 5_001_100, 5_006_000, 5_006_100} {
		for _, e := range reduce(n, event{NowMs: ms, WallMs: ms, Seed: 1, Body: evTick{}}) {
			if l, ok := e.(effLog); ok && l.Event == "stood_still" {
				logged = append(logged, l)
			}
		}
	}
	must.Eq(t, []effLog{{Event: "stood_still", Pairs: []any{"ms", int64(4900)}}}, logged)
}

// After the daemon with the central scheduler dies, guaranteed work starts as soon as the
// agents have reported to its successor. In each incident gangs waited a second longer, and
// queueable work that had started meanwhile was preempted for them.
func TestIncidentSuccessorGrantsSoon(t *testing.T) {
	b := formPlatform(t, 5, "ikenna")
	dead := b.holder("central")
	undo := b.kill(dead, false)
	must.True(t, b.until(5000, func() bool { n := b.holderOf("central"); return n != nil && n.Name != dead }))
	heldMs := b.nowMs()
	gang := b.simple(0, 3, amounts{1000, 1000}, 5000)
	gang.steps[0].gang = true
	b.submit(gang)
	started := func() bool {
		return slices.ContainsFunc(b.events, func(e platformEvent) bool { return e.kind == eventStarted && e.job == gang.id })
	}
	must.True(t, b.until(3000, started))
	must.Less(t, 2*leasedReportMs+300, b.nowMs()-heldMs)
	undo()
	b.finish(30_000)
	checkPlatformRun(t, b)
}

// The users' grown deployments at a third of their size, with the same load for each worker.
var scaledGrownDeployments = map[string]platformDeployment{
	"hakata grown": {name: "hakata grown", edges: 8, workerHosts: 24, disks: 5, capacity: amounts{64000, 262144}, speeds: []float64{0.8, 1, 1.25}, holdMaxMs: 10_000, gangWaitMs: 4000, saveMs: 500,
		restoreMs: 600, spread: 1.5, jobsPerSecond: 17.4, rackSize: 9, service: "resale-engine", heartbeatMs: 1500, maxTries: 5, callTimeoutMs: 1200, retryMs: 150, stopMs: 200, kinds: []platformKind{
			{queue: platformQueue{"promoter-verify", "nony24.example", "/lohu930/", 60, 4, 2000, 2.2, "resale-engine"}, weight: 0.959, steps: [2]float64{1.2, 3}, width: [2]float64{20, 40},
				cpu: [2]float64{11000, 34000}, mem: [2]float64{21000, 63000}, workMs: [2]float64{6200, 16000}, estimateError: 0.5, gang: 1, sameRack: 0.7, saves: 0.5, labels: 0.2,
				timed: 0.06, periodMs: 4500, maxRounds: 8, fails: 0.001, hopeless: 0.01},
			{queue: platformQueue{"price-refresh", "ficu95.example", "/pufi791/", 30, 3, 4000, 3.2, "resale-engine"}, weight: 4.15, steps: [2]float64{1.5, 3.8}, width: [2]float64{25, 60},
				cpu: [2]float64{3200, 9600}, mem: [2]float64{4600, 14000}, workMs: [2]float64{1800, 3600}, estimateError: 0.5, cancel: 0.05, copies: 0.2,
				timed: 0.06, periodMs: 3000, maxRounds: 6, fails: 0.02, hopeless: 0.01},
			{queue: platformQueue{"seat-confirm", "nony24.example", "/pule252/", 90, 2, 1200, 1.5, "resale-engine"}, weight: 48.5, steps: [2]float64{1, 2.5}, width: [2]float64{3, 12},
				cpu: [2]float64{4600, 14000}, mem: [2]float64{6600, 20000}, workMs: [2]float64{640, 2000}, estimateError: 0.2, gang: 0.3, timed: 0.01, periodMs: 2000, maxRounds: 4, fails: 0.02},
		}},
	"ikenna grown": {name: "ikenna grown", edges: 7, workerHosts: 20, disks: 5, capacity: amounts{16000, 65536}, speeds: []float64{1, 1, 1.3}, holdMaxMs: 6000, gangWaitMs: 4000, saveMs: 2000,
		restoreMs: 600, spread: 3, jobsPerSecond: 9.6, rackSize: 9, service: "ledger-svc", heartbeatMs: 800, maxTries: 5, callTimeoutMs: 1200, retryMs: 150, stopMs: 200, kinds: []platformKind{
			{queue: platformQueue{"cert-issue", "guild.example", "/certs/", 60, 4, 1500, 2.2, "ledger-svc"}, weight: 0.915, steps: [2]float64{1.2, 3}, width: [2]float64{20, 40},
				cpu: [2]float64{2900, 8600}, mem: [2]float64{8200, 25000}, workMs: [2]float64{5000, 12000}, estimateError: 0.2, gang: 1, sameRack: 0.7, saves: 0.5, labels: 0.2,
				timed: 0.06, periodMs: 4500, maxRounds: 8, fails: 0.011},
			{queue: platformQueue{"logbook-sync", "guild.example", "/logbook/", 30, 3, 4000, 3.2, "ledger-svc"}, weight: 3.17, steps: [2]float64{1.5, 3.8}, width: [2]float64{25, 60},
				cpu: [2]float64{800, 2400}, mem: [2]float64{2300, 6900}, workMs: [2]float64{1800, 4500}, estimateError: 0.2, cancel: 0.05, copies: 0.2,
				timed: 0.06, periodMs: 4500, maxRounds: 6, fails: 0.005, hopeless: 0.03},
			{queue: platformQueue{"signoff-check", "masters.example", "/signoff/", 90, 4, 800, 1.5, "ledger-svc"}, weight: 23.6, steps: [2]float64{1, 2.5}, width: [2]float64{3, 12},
				cpu: [2]float64{1100, 3400}, mem: [2]float64{3300, 9800}, workMs: [2]float64{1000, 2500}, estimateError: 0.2, gang: 0.3, timed: 0.01, periodMs: 4500, maxRounds: 4, fails: 0.005, hopeless: 0.01},
		}},
}

// extraJobs submits more jobs of one kind, x times as many as usual.
func (b *platformWorld) extraJobs(kind int, x float64, ms int64) {
	sum := 0.0
	for i := range b.deployment.kinds {
		sum += b.deployment.kinds[i].weight
	}
	perSec, end := (x-1)*b.deployment.jobsPerSecond*b.trafficFactor*b.deployment.kinds[kind].weight/sum, b.nowMs()+ms
	var next, one func()
	next = func() { b.withJobRand(one) }
	one = func() {
		if b.nowMs() >= end {
			return
		}
		b.sendKind(kind)
		b.after(int64(b.rng.ExpFloat64()*1e6/perSec), next)
	}
	next()
}

// sendConfigs sends valid changes, a pair on the same version and an invalid one.
func (b *platformWorld) sendConfigs(n int, gapMs int64) {
	for i := range n {
		b.after(int64(i)*gapMs*1000, func() {
			base := b.version
			b.putSetup(b.usualSetup(), base+1, base, nil)
			b.putSetup(b.usualSetup(), base+2, base, nil)
			bad := b.usualSetup()
			bad.invalid = true
			b.putSetup(bad, base+3, base, nil)
		})
	}
}

// blackout cuts the power of all machines and workers right after a configuration was
// acknowledged; they come back one after the other.
func (b *platformWorld) blackout(downMs, spreadMs int64) {
	b.acknowledgedConfig()
	for _, host := range sortedKeys(b.nodes) {
		undo := b.kill(host, true)
		s := b.byHost[host]
		if s != nil {
			b.crashAndReplace(s, 0)
		}
		b.after((downMs+b.rng.Int64N(spreadMs))*1000, func() {
			undo()
			if s != nil {
				b.after(20_000, s.start)
			}
		})
	}
}

func (b *platformWorld) killFor(host string, power bool, ms int64) {
	b.after(ms*1000, b.kill(host, power))
}

// someWorkers draws a share of all workers, at least one.
func (b *platformWorld) someWorkers(share float64) []*platformWorker {
	var out []*platformWorker
	b.withJobRand(func() {
		for _, i := range b.rng.Perm(len(b.workerHosts))[:max(1, int(share*float64(len(b.workerHosts))+0.5))] {
			out = append(out, b.worker(i))
		}
	})
	return out
}

// incidents are the mixes of faults reconstructed in docs/incidents.md, with the minimum share
// of all jobs and rounds that must end within their targets.
var incidents = map[string]struct {
	deploymentName string
	simulate       func(b *platformWorld)
	share          float64
}{
	"ticket resale": {"hakata", func(b *platformWorld) {
		b.day(1500)
		b.sendConfigs(4, 1000)
		b.run(7500)
		b.sendConfigs(1, 0)
		for _, w := range b.someWorkers(0.14) {
			b.leaveAndReplace(w, true)
		}
		b.killFor(b.holder("central"), false, 600)
		b.run(1500)
		b.extraJobs(2, 2.1, 4000)
		b.run(2500)
		b.leaveAndReplace(b.somePlatformWorker(), false)
		b.run(20_000)
		b.blackout(1500, 400)
		b.run(16_000)
	}, 0.85},
	"apprentice records": {"ikenna", func(b *platformWorld) {
		b.day(5000)
		b.sendConfigs(3, 1000)
		b.run(3000)
		b.killFor(b.edges()[5], false, 3500)
		b.run(3000)
		for _, w := range b.someWorkers(0.09) {
			b.crashAndReplace(w, 4500)
		}
		b.extraJobs(2, 2.1, 4000)
		b.run(3300)
		b.killFor(b.holder(b.randomShardRole()), true, 2500)
		b.run(700)
		b.leaveAndReplace(b.somePlatformWorker(), false)
		b.run(7000)
		heal := b.cut(b.workerHosts[5], b.workerHosts[8])
		b.run(5500)
		heal()
		b.run(6500)
		b.blackout(2300, 500)
		b.run(16_000)
	}, 0.7},
	"grown ticket resale": {"hakata grown", func(b *platformWorld) {
		b.day(2500)
		b.sendConfigs(1, 0)
		b.run(3500)
		heal := b.cut(b.holder(b.randomShardRole()))
		b.after(5_500_000, heal)
		b.run(2400)
		for _, w := range b.someWorkers(0.08) {
			b.slowFor(w, "hang", 1, true, 6500)
		}
		b.run(600)
		b.extraJobs(2, 2.1, 4000)
		b.run(2600)
		b.sendConfigs(2, 600)
		b.run(3800)
		for _, w := range b.someWorkers(0.065) {
			b.leaveAndReplace(w, false)
		}
		b.run(9000)
		b.coreBlackout(1450)
		b.run(14_000)
	}, 0.8},
	"grown apprentice records": {"ikenna grown", func(b *platformWorld) {
		b.day(2000)
		b.sendConfigs(2, 1500)
		b.run(4000)
		slice := b.randomShardRole()
		b.freeze(b.holder(slice), 5000)
		b.run(200)
		for _, host := range b.edges()[b.deployment.edges-3:] {
			b.killFor(host, false, 2000)
		}
		b.run(800)
		for _, w := range b.someWorkers(0.12) {
			b.crashAndReplace(w, 5500)
		}
		b.run(8500)
		for _, w := range b.someWorkers(0.1) {
			b.leaveAndReplace(w, false)
		}
		b.run(9000)
		b.coreBlackout(1650)
		b.run(14_000)
	}, 0.7},
}

// coreBlackout cuts the power of all core machines right after a configuration was
// acknowledged; one of them comes back with an empty disk.
func (b *platformWorld) coreBlackout(downMs int64) {
	b.acknowledgedConfig()
	core := b.edges()[:b.deployment.disks]
	b.wipe(b.pickOne(core[1:]), false, downMs)
	for _, host := range core {
		if b.nodes[host].up {
			b.killFor(host, true, downMs)
		}
	}
}

// acknowledgedConfig sends a configuration and waits until it is acknowledged.
func (b *platformWorld) acknowledgedConfig() {
	base := b.version
	b.putSetup(b.usualSetup(), base+1, base, nil)
	for end := b.nowMs() + 4000; b.version == base && b.nowMs() < end; {
		b.run(1)
	}
}

// TestIncidents simulates the users' incidents: no rule may be broken, and the minimum share
// of the work must be done in time.
func TestIncidents(t *testing.T) {
	from, count := uint64(3), 1
	if *seedsFlag > 0 {
		from, count = *fromFlag, *seedsFlag
	}
	for _, name := range sortedKeys(incidents) {
		for i := range count {
			seed := from + uint64(i)
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				b := formPlatform(t, seed, incidents[name].deploymentName)
				b.jobRand = rand.New(rand.NewPCG(seed, 11)) // the jobs stay the same whatever changes in the product
				incidents[name].simulate(b)
				b.finish(120_000)
				checkPlatformRun(t, b)
				done, owed := 0, 0
				for _, row := range b.withinTarget() {
					owed, done = owed+row[0], done+row[1]
				}
				t.Logf("%d of %d within their targets: %.3f", done, owed, float64(done)/float64(owed))
				must.GreaterEq(t, incidents[name].share, float64(done)/float64(owed))
			})
		}
	}
}
