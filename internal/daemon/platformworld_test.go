package daemon

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"otterchute/internal/historycheck"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// These files simulate the users' platform at the level of the product's own calls:
// workers that send heartbeats to the daemon on their machine, callers and operators.
// The simulation stands in for the users' test bench, so that each of their rules can
// be checked without it.

// platformWorld is a simulated cluster with the users' workers, callers and operators.
type platformWorld struct {
	*world
	deployment        platformDeployment
	byHost            map[string]*platformWorker
	workerHosts       []string // machines that have a worker beside the daemon
	events            []platformEvent
	jobs              map[string]*platformJob
	gangs             map[gangName]*platformExecution
	savedPoints       map[string]savedPoint
	savedPointSeq     int
	version           int64 // of the last configuration acknowledged
	setup             *platformSetup
	callersStopped    bool // callers submit no more jobs
	workerLives       int
	wastedCoreSeconds map[string]float64 // wasted core-seconds, by outcome of the run
	rejectedStarts    int
	trafficFactor     float64        // multiplies the usual rate of traffic
	jobRand           *rand.Rand     // if set, jobs are drawn from it, so that they don't depend on the other draws
	missedReadiness   map[string]int // failed readiness checks in a row, by edge daemon
	responseCounts    map[string]int
	badRequestBodies  []string
	cutOff            map[string]bool
	evacuatedZones    map[string]bool
	// cutTogether lets machines of one zone that are cut off reach each other.
	cutTogether      bool
	coreLost         bool
	onEvent          func(platformEvent)
	edgeHosts        []string
	diskHosts        []string
	cutOneWay        map[string]cutDirection // direction of the cut, for machines cut off in one direction only
	newHosts         int
	sentSetups       map[string]*sentSetup // by body
	sentSetupList    []*sentSetup
	noNewFaults      bool             // no new fault begins
	skippedFaults    int              // faults of a day skipped because too many machines were already lost
	lastAcknowledger string           // host that last acknowledged a change
	replaced         map[string]bool  // machines whose replacement has begun
	openChanges      int              // changes without a final response
	activeFaults     map[string]int   // number of active faults, by machine
	faultFreeSinceMs map[string]int64 // when the machine's last fault ended, or the machine first started
	tenants          []platformTenant // as the operator currently declares them
	onlyTenant       string           // if set, all drawn jobs belong to it
	createdKeys      int
	urgentChecks     []urgentCheck
	queueNames       map[string]string // the names that queues have now, by prefix, if not those of the deployment
	queueServices    map[string]string // the services that queues are routed to now, likewise
	createdNames     int
	connections      uint64          // of workers, so far
	removedQueues    map[string]bool // the queues that are not declared now, by prefix
}

type gangName struct {
	job         string
	round, step int
	run         int64
}

type savedPoint struct {
	job    string
	task   taskName
	doneMs float64
}

// newPlatformWorld builds the named deployment: edge daemons, some of them with
// disks, and a daemon beside each worker.
func newPlatformWorld(seed uint64, name string) *platformWorld {
	return newPlatformWorldOf(seed, platformDeploymentOf(name))
}

func newPlatformWorldOf(seed uint64, deployment platformDeployment) *platformWorld {
	dep := historycheck.Deployment{Name: deployment.name, Daemons: deployment.edges + deployment.workerHosts}
	b := &platformWorld{world: newWorld(seed, dep), deployment: deployment, byHost: map[string]*platformWorker{}, jobs: map[string]*platformJob{}, gangs: map[gangName]*platformExecution{},
		savedPoints: map[string]savedPoint{}, wastedCoreSeconds: map[string]float64{}, responseCounts: map[string]int{}, cutOff: map[string]bool{}, evacuatedZones: map[string]bool{}, trafficFactor: 1,
		tenants: copyTenants(deployment.tenants), cutOneWay: map[string]cutDirection{}, sentSetups: map[string]*sentSetup{}, activeFaults: map[string]int{}, faultFreeSinceMs: map[string]int64{},
		queueNames: map[string]string{}, queueServices: map[string]string{}, removedQueues: map[string]bool{}}
	b.maxHeldMs = wire.UserTimeoutMs
	b.onEachResponse(b.recordAcceptance)
	b.edgeHosts, b.diskHosts = sortedKeys(b.nodes)[:deployment.edges], sortedKeys(b.nodes)[:deployment.disks]
	for i, host := range sortedKeys(b.nodes) {
		p := &b.nodes[host].nodeConfig
		configurePlatformNode(p, deployment, i >= deployment.edges)
		if i < deployment.disks && !p.Disk {
			p.Disk, p.DiskID = true, b.rng.Uint64()|1
		}
		if i < deployment.edges {
			continue
		}
		b.workerHosts = append(b.workerHosts, host)
		k := i - deployment.edges
		worker := &platformWorker{b: b, node: b.nodes[host], rack: fmt.Sprintf("r%d", k/deployment.rackSize), labels: map[string]string{"service": deployment.service, "kind": []string{"a", "b"}[k%2]},
			capacity: deployment.capacity, factor: deployment.speeds[k%len(deployment.speeds)], slow: 1}
		b.byHost[host] = worker
		b.after(1_500_000+b.rng.Int64N(1_000_000), worker.start)
	}
	return b
}

func (b *platformWorld) edges() []string { return slices.Clone(b.edgeHosts) }

func (b *platformWorld) disks() []string { return slices.Clone(b.diskHosts) }

// record appends an event to the history.
func (b *platformWorld) record(e platformEvent) {
	e.atMs = b.nowMs()
	b.events = append(b.events, e)
	if b.onEvent != nil {
		b.onEvent(e)
	}
}

// open returns the accepted jobs whose callers have seen no final state.
func (b *platformWorld) open() []string {
	var out []string
	for _, id := range sortedKeys(b.jobs) {
		if j := b.jobs[id]; j.acked && !j.final() {
			out = append(out, id+":"+j.state)
		}
	}
	return out
}

// detectStuckJobs records jobs of which nothing has run for 3 s although resources are free.
func (b *platformWorld) detectStuckJobs() {
	var used, all amounts
	var free []*platformWorker
	for _, host := range b.workerHosts {
		if s := b.byHost[host]; s.up && !s.leaving {
			used, all = used.plus(s.used, 1), all.plus(s.capacity, 1)
			free = append(free, s)
		}
	}
	busy := 2*used[0] >= all[0] || 2*used[1] >= all[1]
	running := map[string]bool{}
	for _, host := range b.workerHosts {
		for k := range b.byHost[host].runs {
			running[k.job] = true
		}
	}
	limited := b.tenantsHalfUsed()
	for _, id := range sortedKeys(b.jobs) {
		j := b.jobs[id]
		if !j.acked || j.final() || j.cancelled || running[id] || busy || limited[j.tenant] || !b.canProceed(j, free) {
			j.idleSinceMs = 0
			continue
		}
		if j.idleSinceMs == 0 {
			j.idleSinceMs = b.nowMs()
		}
		if b.nowMs()-j.idleSinceMs >= 3000 && !j.stuck {
			j.stuck = true
			b.logCentralState(id)
			b.record(platformEvent{kind: eventJobStuck, job: id, text: fmt.Sprintf("nothing has run since %d ms although resources are free", j.idleSinceMs)})
		}
	}
}

// logCentralState logs the central scheduler's view of a job and of all workers.
func (b *platformWorld) logCentralState(id string) {
	n := b.holderOf("central")
	if n == nil || !b.keepLogs {
		return
	}
	logf := func(format string, args ...any) {
		b.logs = append(b.logs, fmt.Sprintf("%d %s %s ", b.nowMs(), n.Name, id)+fmt.Sprintf(format, args...))
	}
	c, now := n.executor.node.central, n.executor.node.now
	for _, name := range sortedKeys(c.workers) {
		w := c.workers[name]
		logf("worker %s: last report %d ms ago, rebuilt %v fresh %v leaving %v suspect %v unhealthy for %d ms, capacity %v guaranteed %v occupied %v granted %v attempts %d", name, now-w.receivedMs, w.Rebuilt, w.WorkerReportFresh, w.Leaving,
			w.Suspect, w.unhealthyUntilMs-now, w.Capacity, w.guaranteed, w.occupied, c.grantedResources()[name], len(w.Attempts))
	}
	for k, request := range c.pending {
		logf("pending %s queue %s for %d ms, last request %d ms ago, %d tasks of %v, open %d, gang %v labels %v", k.Job, request.Queue, now-request.firstMs, now-request.lastMs, len(request.Tasks), request.Resources, len(request.open()), request.Gang, request.RequiredLabels)
	}
	for _, name := range sortedKeys(b.nodes) {
		if b.nodes[name].up {
			b.logAgentState(b.nodes[name].executor.node, id, logf)
		}
	}
	for _, name := range sortedKeys(b.nodes) {
		if !b.nodes[name].up {
			continue
		}
		for _, shard := range b.nodes[name].executor.node.shards {
			if job := shard.jobs[id]; job != nil {
				o := b.nodes[name].executor.node
				for i := range job.Tasks {
					t, r := &job.Tasks[i], &job.runtime[i]
					logf("owner %s task %d.%d.%d state %s attempt %d class %s failures %d at %s, retry in %d ms, requested %d ms ago, committed %v", name, t.Round, t.Step, t.IndexInStep, t.State.String(), t.Attempt,
						t.Class.String(), t.Failures, t.Worker, r.retryAtMs-o.now, o.now-r.allocationRequestMs, t.ChangedVersion <= job.committed)
				}
			}
		}
	}
}

// canProceed reports whether a step of the job is ready and fits twice into the free workers.
func (b *platformWorld) canProceed(j *platformJob, free []*platformWorker) bool {
	done := func(k, i int) bool {
		for t := range j.steps[i].count {
			n := taskName{k, i, t}
			if j.steps[i].gang {
				n.index = 0
			}
			if _, ok := j.okTasks[n]; !ok {
				return false
			}
		}
		return true
	}
	for k := range max(j.rounds, 1) {
		if b.nowMs() < j.dueMs(k) {
			continue
		}
		for i := range j.steps {
			s := &j.steps[i]
			if done(k, i) || slices.ContainsFunc(s.after, func(a int) bool { return !done(k, a) }) {
				continue
			}
			need, fits := int64(2), int64(0)
			if s.gang {
				need = int64(2 * s.count)
			}
			for _, w := range free {
				if b.evacuatedZones[w.node.Zone] || s.labels != nil && w.labels["kind"] != s.labels["kind"] {
					continue
				}
				left := w.capacity.plus(w.used, -1)
				fit := left[0] / max(s.room[0], 1)
				for d := 1; d < 3; d++ {
					if s.room[d] > 0 {
						fit = min(fit, left[d]/s.room[d])
					}
				}
				if s.perWorker > 0 {
					fit = min(fit, int64(s.perWorker))
				}
				fits += fit
			}
			if fits >= need {
				return true
			}
		}
	}
	return false
}

// finish stops traffic, waits until all jobs have ended, and reads the configuration back.
func (b *platformWorld) finish(waitMs int64) {
	b.callersStopped = true
	for _, id := range sortedKeys(b.jobs) {
		if j := b.jobs[id]; j.acked && j.lasting() {
			b.cancel(j)
		}
	}
	b.run(14_000)
	for end := b.nowMs() + waitMs; b.nowMs() < end && len(b.open()) > 0; b.run(250) {
		b.detectStuckJobs()
	}
	for _, o := range b.open() {
		j := b.jobs[o[:16]]
		b.record(platformEvent{kind: eventFinalState, job: j.id, text: j.state})
	}
	asked := b.nowMs()
	for range 3 {
		b.call("operator", b.edge(), platformCall{op: "setup.get"}, 1000, func(status int, _ int64, body []byte) {
			if status == 200 {
				b.record(platformEvent{kind: eventSetupShown, n: gjson.GetBytes(body, "version").Int(), text: gjson.GetBytes(body, "setup.source.note").Str, requestedMs: asked})
			}
		})
	}
	b.run(3000)
}

// platformSummary returns figures of a run for the log.
func (b *platformWorld) platformSummary() string {
	aims := b.withinTarget()
	out := ""
	for _, q := range sortedKeys(aims) {
		a := aims[q]
		out += fmt.Sprintf("%s %d of %d within target (%.2f), %d done; ", q, a[1], a[0], float64(a[1])/float64(max(1, a[0])), a[2])
	}
	undone := 0
	for _, id := range sortedKeys(b.jobs) {
		if j := b.jobs[id]; !j.lasting() && !j.cancelled && j.state != "complete" && (j.state != "failed" || !j.hopeless()) {
			if undone++; undone <= 5 {
				out += fmt.Sprintf("%s of %s: %s, accepted %v; ", id, j.queue.name, j.state, j.acked)
			}
		}
	}
	out += fmt.Sprintf("%d not done; ", undone)
	for _, how := range sortedKeys(b.wastedCoreSeconds) {
		out += fmt.Sprintf("%s %.0f core-s; ", how, b.wastedCoreSeconds[how])
	}
	return out + fmt.Sprintf("%d rejected starts; responses %v", b.rejectedStarts, b.responseCounts)
}

// newScriptedWorld returns a world without daemons in which a function answers the
// heartbeats of all workers.
func newScriptedWorld(t *testing.T, answer func(w *platformWorker, heartbeat gjson.Result) map[string]any) *platformWorld {
	b := newPlatformWorld(5, "ikenna")
	b.queue = nil // no daemon starts
	for _, host := range b.workerHosts {
		w := b.byHost[host]
		w.factor = 1
		w.deliver = func(body []byte, cb func(int, []byte)) {
			a := answer(w, gjson.ParseBytes(body))
			b.after(2000, func() {
				if a == nil {
					cb(0, nil)
				} else {
					cb(200, mustJSON(a))
				}
			})
		}
		w.start()
	}
	return b
}

// registerJob registers a job without submitting it.
func (b *platformWorld) registerJob(j *platformJob) *platformJob {
	b.jobSeq++
	j.id, j.payload = fmt.Sprintf("%016x", b.jobSeq), "spec"
	j.okTasks, j.lastOKMs, j.state = map[taskName]int64{}, map[int]int64{}, "complete"
	b.jobs[j.id] = j
	return j
}

// runEnds lists the ends of a job's runs, with times rounded down to 100 ms.
func (b *platformWorld) runEnds(j *platformJob) (out []string) {
	for _, e := range b.events {
		if e.kind == eventEnded && e.job == j.id {
			out = append(out, fmt.Sprintf("%d.%d %s@%d", e.task.index, e.run, e.text, e.atMs/100*100))
		}
	}
	return
}

// scriptedResponse is the response to the first heartbeat that a worker sends at or
// after a time; nil is no response.
type scriptedResponse struct {
	worker int
	atMs   int64
	answer map[string]any
}

// respondByScript answers heartbeats by the script; heartbeats without a line only renew the hold.
func respondByScript(b **platformWorld, lines []scriptedResponse, holdMs int64) func(*platformWorker, gjson.Result) map[string]any {
	given := map[int]bool{}
	return func(w *platformWorker, heartbeat gjson.Result) map[string]any {
		out := map[string]any{"hold_ms": holdMs, "again_ms": 100}
		for i, l := range lines {
			if !given[i] && (*b).worker(l.worker) == w && (*b).nowMs() >= l.atMs {
				given[i] = true
				for k, v := range l.answer {
					out[k] = v
				}
				if l.answer == nil {
					return nil
				}
				return out
			}
		}
		return out
	}
}

func TestPlatformWorker(t *testing.T) {
	var b *platformWorld
	play := func(holdMs int64, lines []scriptedResponse, ms int64, jobs func() []*platformJob) *platformWorld {
		b = newScriptedWorld(t, func(*platformWorker, gjson.Result) map[string]any {
			return map[string]any{"hold_ms": holdMs, "again_ms": 100}
		})
		for _, j := range jobs() {
			b.registerJob(j)
		}
		answer := respondByScript(&b, lines, holdMs)
		for _, host := range b.workerHosts {
			s := b.byHost[host]
			s.deliver = func(body []byte, cb func(int, []byte)) {
				a := answer(s, gjson.ParseBytes(body))
				b.after(2000, func() {
					if a == nil {
						b.after(1_000_000, func() { cb(0, nil) })
					} else {
						cb(200, mustJSON(a))
					}
				})
			}
		}
		b.run(ms)
		return b
	}
	alone := func(ms float64, edit func(*platformJob)) (*platformJob, func() []*platformJob) {
		j := &platformJob{queue: &platformDeployments["ikenna"].kinds[0].queue, fates: map[taskName]*platformFate{}, steps: []platformStep{{count: 3, room: amounts{1000, 100}}}}
		for i := range 3 {
			j.fates[taskName{0, 0, i}] = &platformFate{workMs: ms}
		}
		if edit != nil {
			edit(j)
		}
		return j, func() []*platformJob { return []*platformJob{j} }
	}
	id := fmt.Sprintf("%016x", 1)
	order := func(index int, run int64, saved string) map[string]any {
		return map[string]any{"job": id, "round": 0, "step": 0, "index": index, "run": run, "payload": "spec", "saved": saved}
	}
	start := func(orders ...map[string]any) map[string]any { return map[string]any{"start": orders} }

	t.Run("an end is reported until acknowledged", func(t *testing.T) {
		j, jobs := alone(1000, nil)
		w := play(2000, []scriptedResponse{{0, 500, start(order(0, 1, ""))}, {0, 2000, map[string]any{"seen": 1}}}, 1900, jobs)
		must.Eq(t, []string{"0.1 ok@1500"}, w.runEnds(j))
		must.Len(t, 1, w.worker(0).ends)
		w.run(1000)
		must.SliceEmpty(t, w.worker(0).ends)
	})
	t.Run("runs end when the hold expires", func(t *testing.T) {
		j, jobs := alone(10_000, nil)
		w := play(1500, []scriptedResponse{{0, 500, start(order(0, 1, ""))}, {0, 700, nil}, {0, 800, nil}, {0, 900, nil}}, 6000, jobs)
		must.Eq(t, []string{"0.1 lapsed@2100"}, w.runEnds(j))
	})
	t.Run("no start after a stop of the same run", func(t *testing.T) {
		j, jobs := alone(10_000, nil)
		w := play(3000, []scriptedResponse{{0, 500, start(order(0, 2, ""))}, {0, 1000, map[string]any{"stop": []map[string]any{order(0, 2, "")}}}, {0, 1500, start(order(0, 2, ""), order(0, 3, ""))},
			{0, 2000, map[string]any{"stop": []map[string]any{order(1, 4, "")}}}, {0, 2500, start(order(1, 4, ""))}}, 5000, jobs)
		must.Eq(t, 2, w.rejectedStarts)
		must.Len(t, 1, w.runEnds(j))
		must.MapContainsKey(t, w.worker(0).runs, runName{id, taskName{}, 3})
	})
	t.Run("resumes from a checkpoint", func(t *testing.T) {
		j, jobs := alone(5000, func(j *platformJob) { j.steps[0].saves = true })
		w := play(3000, []scriptedResponse{{0, 500, start(order(0, 1, ""))}, {0, 3000, map[string]any{"stop": []map[string]any{order(0, 1, "")}}}}, 4000, jobs)
		saved := w.worker(0).ends[0].saved
		must.NotEq(t, "", saved)
		w.worker(1).deliver = func(_ []byte, cb func(int, []byte)) {
			w.after(2000, func() {
				cb(200, mustJSON(map[string]any{"hold_ms": 3000, "again_ms": 100, "start": []map[string]any{order(0, 2, saved)}}))
			})
		}
		w.run(4000)
		ended := w.runEnds(j)
		must.Len(t, 2, ended)
		must.StrContains(t, ended[1], "ok@7") // 2.5 s done before, 0.6 s of restoring, 2.5 s remaining
	})
	t.Run("a gang ends together", func(t *testing.T) {
		j, jobs := alone(2000, func(j *platformJob) { j.steps[0].gang, j.steps[0].sameRack = true, true })
		w := play(3000, []scriptedResponse{{0, 500, start(order(0, 1, ""), order(1, 1, ""))}, {3, 2000, start(order(2, 1, ""))}}, 6500, jobs)
		must.Eq(t, []string{"0.1 ok@5000", "1.1 ok@5000", "2.1 ok@5000"}, w.runEnds(j)) // takes 1.5 times as long over two racks
	})
	t.Run("a gang breaks together", func(t *testing.T) {
		j, jobs := alone(9000, func(j *platformJob) { j.steps[0].gang = true })
		w := play(3000, []scriptedResponse{{0, 500, start(order(0, 1, ""), order(1, 1, ""))}, {3, 500, start(order(2, 1, ""))}}, 2000, jobs)
		w.worker(3).crash()
		w.run(1000)
		must.Eq(t, []string{"0.1 broken@2000", "1.1 broken@2000"}, w.runEnds(j))
	})
	t.Run("an incomplete gang gives up", func(t *testing.T) {
		j, jobs := alone(1000, func(j *platformJob) { j.steps[0].gang = true })
		w := play(3000, []scriptedResponse{{0, 500, start(order(0, 1, ""), order(1, 1, ""))}, {1, 500, start(order(2, 2, ""))}}, 6000, jobs)
		must.Len(t, 3, w.runEnds(j))
		for _, how := range w.runEnds(j) {
			must.StrContains(t, how, "alone@35")
		}
	})
	t.Run("fails at its own point of work", func(t *testing.T) {
		j, jobs := alone(1000, func(j *platformJob) { j.fates[taskName{0, 0, 0}].fails = []float64{0.5} })
		w := play(3000, []scriptedResponse{{0, 500, start(order(0, 1, ""))}, {0, 2000, start(order(0, 2, ""))}}, 5000, jobs)
		must.Eq(t, []string{"0.1 failed@1000", "0.2 ok@3000"}, w.runEnds(j))
	})
	t.Run("slow, then hanging, then normal", func(t *testing.T) {
		j, jobs := alone(2000, nil)
		w := play(3000, []scriptedResponse{{0, 500, start(order(0, 1, ""))}}, 600, jobs)
		w.worker(0).setPace(5, false)
		w.run(2500) // half a second of work
		w.worker(0).setPace(1, true)
		w.run(1000)
		must.SliceEmpty(t, w.runEnds(j))
		w.worker(0).setPace(1, false)
		w.run(2000)
		must.Eq(t, []string{"0.1 ok@5500"}, w.runEnds(j))
	})
	t.Run("only a guarding worker rejects what exceeds its capacity", func(t *testing.T) {
		_, jobs := alone(1000, func(j *platformJob) { j.steps[0].room = amounts{9000, 100} })
		w := play(3000, []scriptedResponse{{0, 500, start(order(0, 1, ""), order(1, 1, ""))}}, 700, jobs)
		must.MapLen(t, 2, w.worker(0).runs)
		w.worker(1).guards = true
		w.worker(1).handleResponse(mustJSON(map[string]any{"hold_ms": 1000, "start": []map[string]any{order(0, 2, ""), order(1, 2, "")}}), w.worker(1).clockUs(), false)
		must.MapLen(t, 1, w.worker(1).runs)
		must.Eq(t, 1, w.rejectedStarts)
	})
	t.Run("leaves gracefully, or at short notice", func(t *testing.T) {
		_, jobs := alone(9000, nil)
		w := play(3000, []scriptedResponse{{0, 500, start(order(0, 1, ""))}}, 700, jobs)
		w.leaveAndReplace(w.worker(0), false)
		w.run(2200)
		must.True(t, w.worker(0).up)
		w.run(2200)
		must.False(t, w.worker(0).up)
		w.leaveAndReplace(w.worker(1), true)
		w.run(2100)
		must.False(t, w.worker(1).up)
		id := w.worker(1).id
		w.run(11_000)
		must.True(t, w.worker(1).up)
		must.NotEq(t, id, w.worker(1).id)
	})
}

// logAgentState logs the attempts of a job that a daemon's agents hold.
func (b *platformWorld) logAgentState(n *node, id string, logf func(format string, args ...any)) {
	for _, worker := range sortedKeys(n.agents) {
		agent := n.agents[worker]
		kept := n.urgentHeadroom(agent.capacity, agent.urgentUse(n, wire.AttemptOrdered, wire.AttemptRunning))
		for _, key := range agent.keys() {
			if attempt := agent.attempts[key]; key.Job == id {
				logf("agent %s of %s holds task %d attempt %d, %s for %d ms, confirmed %d ms ago, stop %d, headroom %v",
					n.Name, worker, key.Task, key.Attempt, attempt.state.String(), n.now-attempt.queuedMs, n.now-attempt.confirmedMs, attempt.stopMs, kept)
			}
		}
	}
}
