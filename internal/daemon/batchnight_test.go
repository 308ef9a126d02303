package daemon

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A platform's night compressed into minutes: price windows of a few minutes, the usual urgent traffic
// throughout, and batch jobs that must wait for a window, run exactly once and meet their deadline.

// batchQueues returns the two batch queues of a deployment.
func batchQueues(deployment platformDeployment) []platformQueue {
	name := map[string][2]string{"hakata": {"night-refresh", "promoter-recheck"}, "ikenna": {"logbook-import", "ledger-recheck"}}[deployment.name]
	return []platformQueue{{name[0], "night.example", "/a/", 20, 4, 4000, 3, deployment.service}, {name[1], "night.example", "/b/", 80, 4, 4000, 3, deployment.service}}
}

// nightPlan holds a night's price windows, load and faults.
type nightPlan struct {
	windows         [][2]int // the cheapest windows, in minutes after the start of the world
	finishByHours   float64  // deadline of the first batch queue
	tightHours      float64  // deadline of the second, too short to wait for a cheap window
	jobs, tightJobs int
	untilMs         int64
	trafficRate     float64 // of urgent traffic, relative to the deployment's usual rate
	batches         bool
	faults          func(b *platformWorld)
	toleratedLosses int     // how many successful ends of a task may be lost with a worker or its hold
	minCheapShare   float64 // least share of the work that must run in the cheapest windows
}

type nightRun struct {
	*platformWorld
	plan       nightPlan
	batchJobs  []*platformJob
	urgentJobs map[string][]*platformJob
	queues     []platformQueue
	samples    []string // replies to operators' reads of waiting jobs
}

// runNight simulates one night. Traffic and faults of a seed are the same with and without batches.
func runNight(t *testing.T, seed uint64, deploymentName string, p nightPlan) *nightRun {
	b := formPlatform(t, seed, deploymentName)
	r := &nightRun{platformWorld: b, plan: p, urgentJobs: map[string][]*platformJob{}, queues: batchQueues(b.deployment)}
	s := b.usualSetup()
	s.queues = append(s.queues, r.queues...)
	// An offset from UTC checks that the contract's own clock is used.
	var hours []map[string]any
	for _, w := range p.windows { // the world begins at 08:00 UTC
		hours = append(hours, map[string]any{"from": fmt.Sprintf("09:%02d", w[0]), "to": fmt.Sprintf("09:%02d", w[1]), "price": 0.04})
	}
	s.contracts = []map[string]any{{"name": "night", "utc_offset_minutes": 60, "price": 0.12, "hours": hours}}
	s.batches = map[string]map[string]any{r.queues[0].name: {"contract": "night", "finish_by_hours": p.finishByHours, "share_percent": 30},
		r.queues[1].name: {"contract": "night", "finish_by_hours": p.tightHours, "share_percent": 30}}
	b.putSetup(s, 2, 1, nil)
	must.True(t, b.until(5000, func() bool { return b.version == 2 }))
	draw := func(rng *rand.Rand, k *platformKind) *platformJob { // with its own generator, so that each world of a seed has the same jobs
		saved := b.rng
		b.rng = rng
		defer func() { b.rng = saved }()
		return b.draw(k)
	}
	trafficRand := rand.New(rand.NewPCG(seed, 7))
	sum := 0.0
	for i := range b.deployment.kinds {
		sum += b.deployment.kinds[i].weight
	}
	var sendNext func()
	sendNext = func() {
		if b.nowMs() >= p.untilMs {
			return
		}
		at, k := trafficRand.Float64()*sum, 0
		for k < len(b.deployment.kinds)-1 && at >= b.deployment.kinds[k].weight {
			at -= b.deployment.kinds[k].weight
			k++
		}
		j := b.submit(draw(trafficRand, &b.deployment.kinds[k]))
		r.urgentJobs[j.queue.name] = append(r.urgentJobs[j.queue.name], j)
		b.after(int64(trafficRand.ExpFloat64()*1e6/(b.deployment.jobsPerSecond*p.trafficRate)), sendNext)
	}
	sendNext()
	if p.batches {
		batchRand := rand.New(rand.NewPCG(seed, 8))
		for i := range p.jobs + p.tightJobs {
			kind := b.deployment.kinds[1]
			kind.queue, kind.cancel, kind.timed, kind.hopeless, kind.copies = r.queues[0], 0, 0, 0, 0
			if i >= p.jobs {
				kind.queue = r.queues[1]
			}
			j := draw(batchRand, &kind)
			j.queue = &kind.queue
			b.after(int64(i)*120_000, func() { r.batchJobs = append(r.batchJobs, b.submit(j)) })
		}
	}
	if p.faults != nil {
		p.faults(b)
	}
	for b.nowMs() < p.untilMs {
		b.run(5000)
		if len(r.batchJobs) > 0 && len(r.samples) < 40 {
			j := r.batchJobs[len(r.samples)%len(r.batchJobs)]
			b.world.call("operator", b.edge(), evRequest{Op: "job.get", Key: j.id}, 1000, func(status int, _ int64, body []byte) {
				if status == 200 {
					r.samples = append(r.samples, string(body))
				}
			})
		}
	}
	deadline := int64(p.finishByHours*msPerHour) + 30_000
	b.until(max(0, deadline-b.nowMs()), func() bool {
		return !slices.ContainsFunc(r.batchJobs, func(j *platformJob) bool { return !j.final() })
	})
	b.finish(60_000)
	return r
}

// checkBatches checks that every batch job ran exactly once, completely, in time and at a low price.
func (r *nightRun) checkBatches(t *testing.T) {
	t.Helper()
	p, b := r.plan, r.platformWorld
	checkPlatformRun(t, b)
	must.Len(t, p.jobs+p.tightJobs, r.batchJobs)
	within := func(fromMs, toMs int64) (ms int64) {
		for _, w := range p.windows {
			ms += max(0, min(toMs, int64(w[1])*60_000)-max(fromMs, int64(w[0])*60_000))
		}
		return ms
	}
	firstOpenMs, lastCloseMs := int64(p.windows[0][0])*60_000, int64(p.windows[len(p.windows)-1][1])*60_000
	ends, cheap, expensive, firstStartMs := map[string]int{}, 0.0, 0.0, map[string]int64{}
	// A successful end counts once it is acknowledged. By the platform's rules one that was not
	// acknowledged before its worker's hold expired does not count.
	acknowledged, unacknowledged := map[string]int{}, map[string][]platformEvent{}
	starts := map[runName]int64{}
	loads := map[string]amounts{}
	batchByID := map[string]*platformJob{}
	for _, j := range r.batchJobs {
		batchByID[j.id] = j
	}
	for _, e := range b.events {
		switch e.kind {
		case eventEnded:
			unacknowledged[e.worker] = append(unacknowledged[e.worker], e)
		case eventHoldExpired:
			unacknowledged[e.worker] = nil
		case eventEndsAcknowledged:
			unacknowledged[e.worker] = slices.DeleteFunc(unacknowledged[e.worker], func(o platformEvent) bool {
				if o.n <= e.n && o.text == "ok" {
					acknowledged[fmt.Sprint(o.job, o.task)]++
				}
				return o.n <= e.n
			})
		}
		j := batchByID[e.job]
		if j == nil {
			continue
		}
		step := &j.steps[e.task.step]
		name := runName{e.job, e.task, e.run}
		switch e.kind {
		case eventStarted:
			starts[name] = e.atMs
			loads[e.worker+j.queue.name] = loads[e.worker+j.queue.name].plus(step.room, 1)
			capacity := r.deployment.capacity
			must.LessEq(t, capacity[0]*30/100, loads[e.worker+j.queue.name][0], must.Sprint("batches above their share at worker ", e.worker))
			must.LessEq(t, capacity[1]*30/100, loads[e.worker+j.queue.name][1])
			if firstStartMs[e.job] == 0 {
				firstStartMs[e.job] = e.atMs
			}
			if j.queue.name == r.queues[0].name {
				must.GreaterEq(t, firstOpenMs-clockSlackMs, e.atMs, must.Sprint(e.job, " started before its window"))
				if e.atMs < lastCloseMs-clockSlackMs { // it waits for the next window while there is one
					must.Positive(t, within(e.atMs-clockSlackMs, e.atMs+clockSlackMs), must.Sprint(e.job, " started between two windows, at ", e.atMs))
				}
			}
		case eventEnded:
			loads[e.worker+j.queue.name] = loads[e.worker+j.queue.name].plus(step.room, -1)
			if e.text == "ok" {
				ends[fmt.Sprint(e.job, e.task)]++
			}
			if at, ok := starts[name]; ok && j.queue.name == r.queues[0].name {
				cheapMs := within(at, e.atMs)
				cheap += float64(cheapMs * step.room[0])
				expensive += float64((e.atMs - at - cheapMs) * step.room[0])
			}
		}
	}
	late, repeated := 0, 0
	for _, j := range r.batchJobs {
		hours := p.finishByHours
		if j.queue.name == r.queues[1].name {
			hours = p.tightHours
		}
		must.Eq(t, "complete", j.state, must.Sprint(j.id))
		if j.lastOKMs[0] > j.sentMs+int64(hours*msPerHour) {
			late++
			t.Errorf("%s of %s is late: sent at %d, complete at %d", j.id, j.queue.name, j.sentMs, j.lastOKMs[0])
		}
		for n := range j.taskNames() {
			must.Between(t, 1-p.toleratedLosses, acknowledged[fmt.Sprint(j.id, n)], 1, must.Sprint("acknowledged successful ends: ", j.id, n))
			must.Between(t, 1, ends[fmt.Sprint(j.id, n)], 1+p.toleratedLosses, must.Sprint("successful ends of ", j.id, n))
			repeated += ends[fmt.Sprint(j.id, n)] - 1
		}
	}
	share := cheap / max(cheap+expensive, 1)
	must.GreaterEq(t, p.minCheapShare, share, must.Sprint("share of the work in the cheapest windows"))
	must.SliceNotEmpty(t, r.samples)
	must.True(t, slices.ContainsFunc(r.samples, func(s string) bool {
		return strings.Contains(s, "held until ") && strings.Contains(s, "the cheapest contracted hours: night, 0.04 a core hour")
	}), must.Sprint("no job was reported as held: ", r.samples[0]))
	perSecond := map[int64]int{}
	mostPerSecond := 0
	for id, at := range firstStartMs {
		if batchByID[id].queue.name == r.queues[0].name {
			perSecond[at/1000]++
			mostPerSecond = max(mostPerSecond, perSecond[at/1000])
		}
	}
	t.Logf("%d batches complete, %d late, %d repeated successful ends, %.4f of their core seconds (%.0f) in the cheapest windows, at most %d started in one second; %d attempts preempted, %d batch tasks returned, %d jobs at any price",
		len(r.batchJobs), late, repeated, share, (cheap+expensive)/1e6, mostPerSecond, b.total("preemptions"), b.total("batches_returned"), b.total("batches_at_any_price"))
	must.LessEq(t, len(r.batchJobs)/8, mostPerSecond, must.Sprint("too many started in one second"))
}

// clockSlackMs bounds the difference between cluster time and the world's time.
const clockSlackMs = 300

// Bounds on what batches may cost urgent queues against the same night without them: the loss in the
// share of jobs within their target, and the growth of the 95th percentile of latency. Message delays
// are drawn anew, so two nights at this pace differ by chance by up to 0.2 percent and 5 percent.
const (
	nightShareBound   = 0.01
	nightPercentBound = 8
	nightFixedBoundMs = 100
)

// Guards against batches that run twice, late or outside the cheapest windows, and against urgent
// work that is slower because of them.
func TestBatchNight(t *testing.T) {
	for _, deploymentName := range sortedKeys(platformDeployments) {
		for i := range max(1, *seedsFlag) {
			seed := uint64(31 + i)
			t.Run(fmt.Sprintf("%s-%d", deploymentName, seed), func(t *testing.T) {
				t.Parallel()
				p := nightPlan{windows: [][2]int{{1, 2}, {3, 5}}, finishByHours: 0.25, tightHours: 0.03, jobs: 150, tightJobs: 6, untilMs: 300_000, trafficRate: 0.4, batches: true, minCheapShare: 0.95}
				with := runNight(t, seed, deploymentName, p)
				with.checkBatches(t)
				p.batches = false
				without := runNight(t, seed, deploymentName, p)
				for _, k := range with.deployment.kinds {
					one, other := with.statsOf(k.queue.name), without.statsOf(k.queue.name)
					t.Logf("%s: %s with batches, %s without", k.queue.name, one, other)
					if k.queue.urgency < 90 {
						continue
					}
					must.GreaterEq(t, other.share()-nightShareBound, one.share(), must.Sprint(k.queue.name))
					must.LessEq(t, other.p95*(100+nightPercentBound)/100+nightFixedBoundMs, one.p95, must.Sprint(k.queue.name))
				}
			})
		}
	}
}

// The same night with faults from the opening of its first window on.
func TestBatchNightFaults(t *testing.T) {
	faults := func(b *platformWorld) {
		at := func(ms int64, f func()) { b.after((ms-b.nowMs())*1000, f) }
		at(55_000, func() { // a core member has a wrong clock
			undo := b.skewClock(b.nodes["d01"])
			b.beginFault("clock", "d01")
			at(100_000, func() {
				undo()
				b.endFault("clock", "d01")
			})
		})
		at(59_900, func() { b.after(5_000_000, b.kill(b.holder(b.randomShardRole()), false)) }) // an owner is killed as the window opens
		at(75_000, func() {                                                                     // the whole core loses power
			var undo []func()
			for _, host := range b.edges()[:3] {
				undo = append(undo, b.kill(host, true))
			}
			b.after(1_500_000, allOf(undo))
		})
		at(88_000, func() { b.after(3_500_000, b.kill(b.workerHosts[2], false)) })
		at(95_000, func() { b.crashAndReplace(b.worker(5), 4500) })
		at(185_000, func() {
			zone := b.nodes[b.workerHosts[0]].Zone
			b.sendZoneCommand("site.empty", zone, func() { b.after(9_000_000, func() { b.sendZoneCommand("site.open", zone, nil) }) })
		})
		at(202_000, func() {
			b.cutTogether = true
			var hosts []string
			for _, host := range sortedKeys(b.nodes) {
				if b.nodes[host].Zone == b.nodes[b.workerHosts[1]].Zone {
					hosts = append(hosts, host)
				}
			}
			b.after(7_000_000, b.cut(hosts...))
		})
		at(218_000, func() { b.freeze(b.holder("central"), 3500) })
		at(228_000, func() { b.after(4_000_000, b.kill(b.holder(b.randomShardRole()), true)) })
	}
	for _, deploymentName := range sortedKeys(platformDeployments) {
		for i := range max(1, *seedsFlag) {
			seed := uint64(51 + i)
			t.Run(fmt.Sprintf("%s-%d", deploymentName, seed), func(t *testing.T) {
				t.Parallel()
				runNight(t, seed, deploymentName, nightPlan{windows: [][2]int{{1, 2}, {3, 5}}, finishByHours: 0.25, tightHours: 0.05, jobs: 150, tightJobs: 6, untilMs: 300_000, trafficRate: 0.4,
					batches: true, minCheapShare: 0.6, toleratedLosses: 1, faults: faults}).checkBatches(t)
			})
		}
	}
}

// TestBatchCostInFullFleet measures urgent work in a fleet that is full of it, with and without batches. It needs
// -measure; -seeds sets the number of pairs per deployment.
func TestBatchCostInFullFleet(t *testing.T) {
	if !*measureFlag {
		t.Skip("only with -measure")
	}
	for _, deploymentName := range sortedKeys(platformDeployments) {
		for i := range max(1, *seedsFlag) {
			t.Run(fmt.Sprintf("%s-%d", deploymentName, 71+i), func(t *testing.T) {
				t.Parallel()
				p := nightPlan{windows: [][2]int{{1, 3}}, finishByHours: 0.25, tightHours: 0.25, jobs: 100, untilMs: 180_000, trafficRate: 1, batches: true}
				with := runNight(t, uint64(71+i), deploymentName, p)
				p.batches = false
				without := runNight(t, uint64(71+i), deploymentName, p)
				late := 0
				for _, j := range with.batchJobs {
					if j.state != "complete" || j.lastOKMs[0] > j.sentMs+int64(p.finishByHours*msPerHour) {
						late++
					}
				}
				started, preempted := 0, 0
				for _, e := range with.events {
					if j := with.jobs[e.job]; j != nil && j.queue.prefix == "/a/" && e.atMs < p.untilMs {
						started += map[bool]int{true: 1}[e.kind == eventStarted]
						preempted += map[bool]int{true: 1}[e.kind == eventEnded && e.text == "stopped"]
					}
				}
				t.Logf("%d batches late; during the traffic %d of their attempts started, %d were preempted", late, started, preempted)
				for _, k := range with.deployment.kinds {
					t.Logf("%s: %s with batches, %s without", k.queue.name, with.statsOf(k.queue.name), without.statsOf(k.queue.name))
				}
			})
		}
	}
}

// targetStats holds how many of a queue's jobs met their target, and their latency.
type targetStats struct {
	jobs, withinTarget int
	p50, p95           int64
}

func (a targetStats) String() string {
	return fmt.Sprintf("%d of %d within target (%.3f), p50 %d ms, p95 %d ms", a.withinTarget, a.jobs, a.share(), a.p50, a.p95)
}

func (a targetStats) share() float64 { return float64(a.withinTarget) / float64(max(1, a.jobs)) }

// statsOf summarizes a queue's jobs that have no due time.
func (r *nightRun) statsOf(queue string) (a targetStats) {
	var took []int64
	for _, j := range r.urgentJobs[queue] {
		if j.rounds > 0 || j.cancelled || j.lasting() {
			continue
		}
		a.jobs++
		if j.state != "complete" && (j.state != "failed" || !j.hopeless()) {
			continue
		}
		if j.endMs-j.sentMs <= r.targetMs(j, 0) {
			a.withinTarget++
		}
		if j.state == "complete" {
			took = append(took, j.lastOKMs[0]-j.sentMs)
		}
	}
	a.p50, a.p95 = percentile(took, 0.5), percentile(took, 0.95)
	return a
}
