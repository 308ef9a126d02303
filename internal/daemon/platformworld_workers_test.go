package daemon

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/tidwall/gjson"
)

// platformRun is one run of a task at a worker.
type platformRun struct {
	name      taskName
	run       int64
	job       *platformJob
	worker    *platformWorker
	step      *platformStep
	startMs   int64
	saved     string
	stopping  bool
	execution *platformExecution
	gone      bool
}

// platformExecution is the work of a run, or of a whole gang, whose members begin
// once all have started and end together.
type platformExecution struct {
	b          *platformWorld
	name       gangName
	members    []*platformRun
	formed     bool
	workMs     float64
	doneMs     float64
	savedMs    float64 // the part of doneMs that is saved
	resumedMs  float64 // the part of doneMs from earlier runs
	rate       float64
	atUs       int64
	readyUs    int64 // when the checkpoint is restored
	failAtMs   float64
	failingRun *platformRun
	byWorker   bool // the failure is its worker's fault
	gen        int
	sinceMs    int64
	dissolved  bool
}

// platformWorker is a worker of the users' platform: it follows its daemon's orders,
// and ends all its runs when its hold expires.
type platformWorker struct {
	b                *platformWorld
	node             *simNode
	id               string
	rack             string
	labels           map[string]string
	capacity         amounts
	factor           float64 // work takes longer here by this factor
	slow             float64
	hang             bool
	failureRate      float64 // fraction of the runs that fail by the worker's fault
	guards           bool
	up               bool
	gen              int
	seq              int64
	leaving          bool
	leavesMs         int64  // simulated time; -1 if unknown
	endScheduled     bool   // its end is scheduled
	connection       uint64 // of its heartbeats while none fails; 0 for a new one
	lateHeartbeats   int    // so many of its next heartbeats arrive late
	servesOn         bool   // it signs off first, serves on for a while and ends, without ever announcing its departure
	bootUs           int64
	drift            float64 // its clock is slow by this fraction
	holdUs           int64   // when the hold expires, by the worker's clock
	holdGen          int
	runs             map[runName]*platformRun
	highestRun       map[runName]int64 // by task: the highest run that ended or was stopped here
	ends             []platformEnd
	endSeq           int64
	heartbeatPending bool // a heartbeat has no response yet
	heartbeatAgain   bool // a run ended meanwhile
	nextHeartbeatUs  int64
	used             amounts
	deliver          func(body []byte, cb func(status int, body []byte)) // instead of the network
}

type platformEnd struct {
	n       int64
	run     *platformRun
	outcome string
	saved   string
}

func (w *platformWorker) taskKey(r runName) runName { return runName{job: r.job, name: r.name} }

func (w *platformWorker) start() {
	if w.up {
		return
	}
	b := w.b
	b.workerLives++
	w.up, w.id, w.seq, w.endSeq, w.leaving, w.leavesMs, w.endScheduled, w.servesOn = true, fmt.Sprintf("i-%03d", b.workerLives), 0, 0, false, -1, false, false
	w.connection, w.lateHeartbeats = 0, 0
	w.gen++
	w.bootUs, w.drift, w.holdUs, w.nextHeartbeatUs, w.heartbeatPending, w.heartbeatAgain = b.nowUs-b.rng.Int64N(1_000_000_000), b.rng.Float64()*0.02, 0, 0, false, false
	w.runs, w.highestRun, w.ends, w.used = map[runName]*platformRun{}, map[runName]int64{}, nil, amounts{}
	b.record(platformEvent{kind: eventWorkerUp, worker: w.id, host: w.node.Name, facts: &workerFacts{capacity: w.capacity, labels: w.labels, zone: w.node.Zone, rack: w.rack, guards: w.guards}})
	w.scheduleHeartbeat(b.rng.Int64N(50_000))
}

// clockUs returns the worker's own monotonic clock.
func (w *platformWorker) clockUs() int64 {
	return int64(float64(w.b.nowUs-w.bootUs) * (1 - w.drift))
}

// crash ends the worker and all its runs without a report.
func (w *platformWorker) crash() {
	if !w.up {
		return
	}
	w.up = false
	w.gen++
	w.b.record(platformEvent{kind: eventWorkerDown, worker: w.id, host: w.node.Name})
	for _, k := range w.runNames() {
		r := w.runs[k]
		delete(w.runs, k)
		r.gone = true
		w.b.recordWaste("crash", r)
		r.execution.removeRun(r, false)
	}
}

// leave announces that the worker leaves. It ends some time after the acknowledgement,
// or, at short notice, leaveMs from now in any case.
func (w *platformWorker) leave(leaveMs int64, short bool) {
	if !w.up || w.leaving {
		return
	}
	b, gen := w.b, w.gen
	w.leaving = true
	w.scheduleHeartbeat(1000)
	if short {
		w.leavesMs, w.endScheduled = b.nowMs()+leaveMs, true
		b.after(leaveMs*1000, func() {
			if w.gen == gen {
				w.crash()
			}
		})
		return
	}
	b.after(7_000_000, func() { // without an acknowledgement it ends after 7 s
		if w.gen == gen && !w.endScheduled {
			w.crash()
		}
	})
}

// leaveUnannounced signs off without having announced the departure, serves on for a while and ends.
func (w *platformWorker) leaveUnannounced(serveMs int64) {
	if !w.up || w.leaving || w.servesOn {
		return
	}
	gen := w.gen
	w.servesOn = true
	var signOff func()
	signOff = func() {
		if w.gen != gen {
			return
		}
		w.signOff(func(status int) {
			if status != 200 && w.gen == gen {
				w.b.after(200_000, signOff)
			}
		})
	}
	signOff()
	w.b.after(serveMs*1000, func() {
		if w.gen == gen {
			w.crash()
		}
	})
}

// signOff tells the daemon beside the worker that the worker leaves.
func (w *platformWorker) signOff(done func(status int)) {
	if !w.node.up {
		w.b.after(1000, func() { done(0) })
		return
	}
	w.b.call(w.node.Name, w.node, platformCall{op: "worker.gone", key: w.id}, 1000, func(status int, _ int64, _ []byte) { done(status) })
}

func (w *platformWorker) runNames() []runName {
	out := make([]runName, 0, len(w.runs))
	for k := range w.runs {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b runName) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.name.round, b.name.round), cmp.Compare(a.name.step, b.name.step),
			cmp.Compare(a.name.index, b.name.index), cmp.Compare(a.run, b.run))
	})
	return out
}

// scheduleHeartbeat schedules the next heartbeat after us microseconds, unless one is due sooner.
func (w *platformWorker) scheduleHeartbeat(us int64) {
	if w.heartbeatPending {
		return
	}
	at := w.b.nowUs + us
	if w.nextHeartbeatUs > w.b.nowUs && w.nextHeartbeatUs <= at {
		return
	}
	w.nextHeartbeatUs = at
	gen := w.gen
	w.b.after(us, func() {
		if w.gen == gen && w.up && !w.heartbeatPending && w.nextHeartbeatUs == at {
			w.sendHeartbeat()
		}
	})
}

func (w *platformWorker) sendHeartbeat() {
	b := w.b
	w.heartbeatPending, w.heartbeatAgain, w.nextHeartbeatUs = true, false, 0
	w.seq++
	running, ended := []map[string]any{}, []map[string]any{}
	entry := func(r *platformRun) map[string]any {
		return map[string]any{"job": r.job.id, "round": r.name.round, "step": r.name.step, "index": r.name.index, "run": r.run}
	}
	for _, k := range w.runNames() {
		r := w.runs[k]
		r.execution.updateProgress()
		m := entry(r)
		m["saved"], m["percent"] = r.saved, int(100*r.execution.doneMs/max(r.execution.workMs, 1))
		running = append(running, m)
	}
	for _, e := range w.ends[:min(500, len(w.ends))] {
		m := entry(e.run)
		m["n"], m["outcome"], m["saved"] = e.n, e.outcome, e.saved
		ended = append(ended, m)
	}
	doc := map[string]any{"seq": w.seq, "site": w.node.Zone, "labels": w.labels, "rack": w.rack, "leaving": w.leaving, "running": running, "ended": ended,
		"capacity": map[string]int64{"cpu": w.capacity[0], "memory": w.capacity[1], "accelerators": w.capacity[2]}}
	if w.leaving {
		doc["leaves_ms"] = int64(2000)
		if w.leavesMs >= 0 {
			doc["leaves_ms"] = max(0, w.leavesMs-b.nowMs())
		}
	}
	if len(ended) > 0 {
		b.record(platformEvent{kind: eventEndsReported, worker: w.id, host: w.node.Name, n: w.ends[len(ended)-1].n})
	}
	gen, sentUs, announcedLeaving := w.gen, w.clockUs(), w.leaving
	done := func(status int, body []byte) {
		if w.gen != gen {
			return
		}
		w.heartbeatPending = false
		if status != 200 {
			w.connection = 0
		}
		if status == 200 {
			w.handleResponse(body, sentUs, announcedLeaving)
		}
		switch {
		case w.heartbeatAgain:
			w.scheduleHeartbeat(50_000)
		case status != 200:
			w.scheduleHeartbeat(200_000)
		default:
			again := gjson.GetBytes(body, "again_ms")
			wait := w.b.deployment.heartbeatMs
			if again.Exists() {
				wait = again.Int()
			}
			w.scheduleHeartbeat(max(wait, 5) * 1000)
		}
	}
	if w.deliver != nil {
		w.deliver(mustJSON(doc), done)
		return
	}
	if !w.node.up { // the daemon is down
		b.after(1000, func() { done(0, nil) })
		return
	}
	if w.connection == 0 || !w.keepsConnection() {
		b.connections++
		w.connection = b.connections
	}
	call := platformCall{op: "worker.beat", key: w.id, body: mustJSON(doc), connection: w.connection}
	if w.lateHeartbeats > 0 {
		w.lateHeartbeats--
		b.deliverLate(w.node, call)
		if b.chance(0.5) { // else this is a copy, and the heartbeat arrives in time too
			b.after(1_000_000, func() { done(0, nil) })
			return
		}
	}
	b.call(w.node.Name, w.node, call, 1000, func(status int, _ int64, body []byte) { done(status, body) })
}

// keepsConnection reports whether the worker uses one connection for all its heartbeats.
func (w *platformWorker) keepsConnection() bool { return w.id[len(w.id)-1]%2 == 0 }

// deliverLate delivers a call seconds late, by a connection of its own. Nobody gets the response.
func (b *platformWorld) deliverLate(to *simNode, c platformCall) {
	b.connections++
	c.connection = b.connections
	b.after(300_000+b.rng.Int64N(5_000_000), func() {
		if to.up {
			b.call(to.Name, to, c, 1000, func(int, int64, []byte) {})
		}
	})
}

// handleResponse handles the response to a heartbeat.
func (w *platformWorker) handleResponse(body []byte, sentUs int64, announcedLeaving bool) {
	b, a := w.b, gjson.ParseBytes(body)
	if announcedLeaving {
		b.record(platformEvent{kind: eventLeaveAcked, worker: w.id, host: w.node.Name})
		if !w.endScheduled {
			w.endScheduled, w.leavesMs = true, b.nowMs()+2000
			gen := w.gen
			b.after(2_300_000, func() {
				if w.gen != gen {
					return
				}
				w.signOff(func(int) {
					if w.gen == gen {
						w.crash()
					}
				})
			})
		}
	}
	if seen := a.Get("seen").Int(); seen > 0 && len(w.ends) > 0 && w.ends[0].n <= seen {
		b.record(platformEvent{kind: eventEndsAcknowledged, worker: w.id, host: w.node.Name, n: seen})
		w.ends = slices.DeleteFunc(w.ends, func(e platformEnd) bool { return e.n <= seen })
	}
	if hold := a.Get("hold_ms").Int(); hold > 0 {
		until := sentUs + min(hold, b.deployment.holdMaxMs)*1000
		if until > w.holdUs {
			w.holdUs = until
			w.scheduleHoldExpiry()
		}
	}
	for _, o := range a.Get("stop").Array() {
		k := w.parseRunName(o)
		if w.highestRun[w.taskKey(k)] < k.run {
			w.highestRun[w.taskKey(k)] = k.run
		}
		if r := w.runs[k]; r != nil && !r.stopping {
			r.stopping = true
			gen := w.gen
			b.after(1000+b.rng.Int64N((b.deployment.stopMs-20)*1000), func() {
				if w.gen == gen && !r.gone {
					w.end(r, "stopped")
				}
			})
		}
	}
	for _, o := range a.Get("start").Array() {
		w.startRun(o)
	}
}

func (w *platformWorker) parseRunName(o gjson.Result) runName {
	return runName{o.Get("job").Str, taskName{int(o.Get("round").Int()), int(o.Get("step").Int()), int(o.Get("index").Int())}, o.Get("run").Int()}
}

func (w *platformWorker) startRun(o gjson.Result) {
	b, k := w.b, w.parseRunName(o)
	e := platformEvent{kind: eventOrdered, job: k.job, task: k.name, run: k.run, worker: w.id, host: w.node.Name, saved: o.Get("saved").Str, text: o.Get("payload").Str}
	if p := o.Get("payload"); p.Type != gjson.String {
		e.text = p.Raw
	}
	b.record(e)
	job := b.jobs[k.job]
	if job == nil || !job.hasTask(k.name) {
		return // the checker reports it
	}
	step := &job.steps[k.name.step]
	if w.clockUs() >= w.holdUs || w.runs[k] != nil {
		return // a start needs a hold, and a run starts only once
	}
	r := &platformRun{name: k.name, run: k.run, job: job, worker: w, step: step, startMs: b.nowMs(), saved: e.saved}
	if k.run <= w.highestRun[w.taskKey(k)] || w.guards && !w.used.plus(step.room, 1).within(w.capacity) {
		b.rejectedStarts++
		w.addEnd(r, "turned_away")
		return
	}
	w.used = w.used.plus(step.room, 1)
	w.runs[k] = r
	b.record(platformEvent{kind: eventStarted, job: k.job, task: k.name, run: k.run, worker: w.id, host: w.node.Name})
	b.joinExecution(r)
}

// addEnd adds an end, which heartbeats report until it is acknowledged.
func (w *platformWorker) addEnd(r *platformRun, outcome string) {
	w.endSeq++
	w.ends = append(w.ends, platformEnd{w.endSeq, r, outcome, r.saved})
	if w.heartbeatPending {
		w.heartbeatAgain = true
	} else {
		w.scheduleHeartbeat(50_000)
	}
}

// end ends a run with an outcome.
func (w *platformWorker) end(r *platformRun, outcome string) {
	k := runName{r.job.id, r.name, r.run}
	if w.runs[k] != r {
		return
	}
	r.execution.updateProgress()
	if outcome == "stopped" && r.step.saves {
		r.execution.saveCheckpoint(r)
	}
	delete(w.runs, k)
	r.gone = true
	w.used = w.used.plus(r.step.room, -1)
	if tk := w.taskKey(k); w.highestRun[tk] < r.run {
		w.highestRun[tk] = r.run
	}
	w.b.record(platformEvent{kind: eventEnded, job: r.job.id, task: r.name, run: r.run, worker: w.id, host: w.node.Name, text: outcome, n: w.endSeq + 1, saved: r.saved})
	w.addEnd(r, outcome)
	if outcome == "ok" {
		r.job.recordSuccess(w.b, r)
	} else {
		w.b.recordWaste(outcome, r)
	}
	r.execution.removeRun(r, outcome == "ok")
}

// scheduleHoldExpiry ends all runs when the hold expires.
func (w *platformWorker) scheduleHoldExpiry() {
	w.holdGen++
	gen, workerGen := w.holdGen, w.gen
	left := int64(math.Ceil(float64(w.holdUs-w.clockUs())/(1-w.drift))) + 1
	w.b.after(left, func() {
		if w.gen != workerGen || w.holdGen != gen {
			return
		}
		w.b.record(platformEvent{kind: eventHoldExpired, worker: w.id, host: w.node.Name})
		for _, k := range w.runNames() {
			if r := w.runs[k]; r != nil {
				w.end(r, "lapsed")
			}
		}
	})
}

// setPace changes how fast the worker works.
func (w *platformWorker) setPace(slow float64, hang bool) {
	for _, k := range w.runNames() {
		w.runs[k].execution.updateProgress()
	}
	w.slow, w.hang = slow, hang
	for _, k := range w.runNames() {
		w.runs[k].execution.scheduleNext()
	}
}

// joinExecution adds a run to its execution: its own, or that of its gang.
func (b *platformWorld) joinExecution(r *platformRun) {
	name := gangName{job: r.job.id, round: r.name.round, step: r.name.step, run: r.run}
	var e *platformExecution
	if r.step.gang {
		if e = b.gangs[name]; e != nil && (e.dissolved || e.formed) {
			e = nil
		}
	}
	if e == nil {
		e = &platformExecution{b: b, name: name, sinceMs: b.nowMs()}
		if r.step.gang {
			b.gangs[name] = e
		}
	}
	r.execution = e
	e.members = append(e.members, r)
	if !r.step.gang {
		e.start()
		return
	}
	if len(e.members) == r.step.count {
		e.start()
		return
	}
	b.after(b.deployment.gangWaitMs*1000, func() {
		if !r.gone && !e.formed {
			r.worker.end(r, "alone")
		}
	})
}

// start begins the work at the least progress that its members' checkpoints have.
func (e *platformExecution) start() {
	e.formed, e.atUs, e.readyUs = true, e.b.nowUs, e.b.nowUs
	first := e.members[0]
	for i, r := range e.members {
		e.workMs = max(e.workMs, r.job.fates[r.name].workMs)
		if p, ok := e.b.savedPoints[r.saved]; ok && p.job == r.job.id && (i == 0 || p.doneMs < e.doneMs) {
			e.doneMs = p.doneMs
		}
	}
	if first.saved != "" {
		e.readyUs += e.b.deployment.restoreMs * 1000
	}
	e.resumedMs, e.savedMs = e.doneMs, e.doneMs
	if first.step.lasting {
		e.workMs = 1e15
	}
	for _, r := range e.members {
		f := r.job.fates[r.name]
		if f.failed < len(f.fails) {
			if at := f.fails[f.failed] * min(e.workMs, 20_000); e.failingRun == nil || at < e.failAtMs {
				e.failingRun, e.failAtMs = r, at
			}
		}
	}
	for _, r := range e.members {
		if share := r.worker.failureRate; share > 0 && e.b.chance(share) {
			if at := e.b.rng.Float64() * min(e.workMs, 20_000); e.failingRun == nil || at < e.failAtMs {
				e.failingRun, e.failAtMs, e.byWorker = r, at, true
			}
		}
	}
	e.scheduleNext()
}

// currentRate returns the current rate of work, in ms of work per ms.
func (e *platformExecution) currentRate() float64 {
	if !e.formed || e.dissolved || e.b.nowUs < e.readyUs {
		return 0
	}
	rate, racks := math.Inf(1), map[string]bool{}
	for _, r := range e.members {
		s := r.worker
		if s.hang {
			return 0
		}
		f := s.factor * s.slow
		if r.step.near != "" && r.step.near != s.rack {
			f *= e.b.deployment.spread
		}
		rate = min(rate, 1/f)
		racks[s.rack] = true
	}
	if e.members[0].step.sameRack && len(racks) > 1 {
		rate /= e.b.deployment.spread
	}
	return rate
}

// updateProgress updates the work done to the current time.
func (e *platformExecution) updateProgress() {
	if !e.formed || e.dissolved {
		return
	}
	e.doneMs = min(e.workMs, e.doneMs+e.rate*float64(e.b.nowUs-e.atUs)/1000)
	e.atUs = e.b.nowUs
}

// scheduleNext schedules what happens next: a checkpoint, a failure or the end.
func (e *platformExecution) scheduleNext() {
	e.updateProgress()
	e.gen++
	e.rate = e.currentRate()
	if !e.formed || e.dissolved {
		return
	}
	gen := e.gen
	if e.b.nowUs < e.readyUs {
		e.b.after(e.readyUs-e.b.nowUs, func() {
			if e.gen == gen {
				e.scheduleNext()
			}
		})
		return
	}
	if e.rate == 0 {
		return
	}
	first := e.members[0]
	next, what := e.workMs, "ok"
	if e.failingRun != nil && max(e.failAtMs, e.doneMs+1) < next {
		next, what = max(e.failAtMs, e.doneMs+1), "failed"
	}
	if save := e.savedMs + e.b.deployment.saveMs; first.step.saves && save < next && what != "saved" {
		next, what = save, "saved"
	}
	e.b.after(int64(math.Ceil(max(0, next-e.doneMs)/e.rate*1000)), func() {
		if e.gen != gen {
			return
		}
		e.updateProgress()
		e.doneMs = max(e.doneMs, next)
		switch what {
		case "saved":
			e.savedMs = next
			for _, r := range e.members {
				e.saveCheckpoint(r)
			}
			e.scheduleNext()
		case "failed":
			if !e.byWorker {
				e.failingRun.job.fates[e.failingRun.name].failed++
			}
			e.failingRun.worker.end(e.failingRun, "failed")
		default:
			e.gen++
			for _, r := range slices.Clone(e.members) {
				r.worker.end(r, "ok")
			}
		}
	})
}

// saveCheckpoint writes a new checkpoint of a run.
func (e *platformExecution) saveCheckpoint(r *platformRun) {
	if !e.formed {
		return
	}
	e.b.savedPointSeq++
	r.saved = fmt.Sprintf("%08x%s", e.b.savedPointSeq, r.job.id)
	e.b.savedPoints[r.saved] = savedPoint{r.job.id, r.name, e.doneMs}
	e.savedMs = e.doneMs
	e.b.record(platformEvent{kind: eventCheckpointSaved, job: r.job.id, task: r.name, run: r.run, worker: r.worker.id, host: r.worker.node.Name, saved: r.saved})
}

// removeRun removes a member whose run has ended. Unless it ended well, the other members
// of a gang at work end soon after it.
func (e *platformExecution) removeRun(r *platformRun, well bool) {
	e.updateProgress()
	e.members = slices.DeleteFunc(e.members, func(o *platformRun) bool { return o == r })
	if well || !e.formed {
		return
	}
	e.gen++
	e.dissolved = true
	for _, o := range slices.Clone(e.members) {
		o := o
		e.b.after(1000+e.b.rng.Int64N(20_000), func() {
			if !o.gone {
				o.worker.end(o, "broken")
			}
		})
	}
}

// recordWaste counts the core-seconds of a run whose work is lost; an accelerator counts as 8 cores.
func (b *platformWorld) recordWaste(outcome string, r *platformRun) {
	spent := float64(b.nowMs()-r.startMs) / 1000
	if r.execution != nil && r.execution.formed {
		spent -= max(0, r.execution.savedMs-r.execution.resumedMs) / 1000
	}
	b.wastedCoreSeconds[outcome] += max(0, spent) * (float64(r.step.room[0])/1000 + 8*float64(r.step.room[2]))
}
