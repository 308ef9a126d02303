package daemon

import (
	"fmt"
	"iter"
	"math"
	"slices"
)

// platformJob is a job as its caller sees it.
type platformJob struct {
	id                   string
	queue                *platformQueue
	payload              string
	steps                []platformStep
	rounds               int
	firstMs              int64 // simulated time
	periodMs             int64
	sentMs, endMs        int64 // endMs is when a final state was first shown
	acked, cancelled     bool
	gaveUp               bool
	state                string
	tries                int
	fates                map[taskName]*platformFate
	lastOKMs             map[int]int64      // by round
	okTasks              map[taskName]int64 // the first run that ended well
	finalReadSent, stuck bool
	idleSinceMs          int64 // since when nothing runs although something could; 0 if something runs
	tenant, key          string
}

// platformStep is a step of a job, as its caller declares it.
type platformStep struct {
	count      int
	room       amounts
	estimateMs int64
	after      []int
	gang       bool
	sameRack   bool
	labels     map[string]string
	near       string
	perWorker  int
	copies     bool
	lasting    bool
	saves      bool
}

// platformFate is what a task does, wherever it runs: its amount of work, and for
// each of its first runs the fraction of the work at which it fails by its own fault.
type platformFate struct {
	workMs float64
	fails  []float64
	failed int
}

// taskNames iterates over all tasks of a job.
func (j *platformJob) taskNames() iter.Seq[taskName] {
	return func(yield func(taskName) bool) {
		for k := range max(j.rounds, 1) {
			for s := range j.steps {
				for i := range j.steps[s].count {
					if !yield(taskName{k, s, i}) {
						return
					}
				}
			}
		}
	}
}

func (j *platformJob) hasTask(n taskName) bool {
	return n.round >= 0 && n.round < max(j.rounds, 1) && n.step >= 0 && n.step < len(j.steps) && n.index >= 0 && n.index < j.steps[n.step].count
}

func (j *platformJob) dueMs(round int) int64 {
	if j.rounds == 0 {
		return 0
	}
	return j.firstMs + int64(round)*j.periodMs
}

func (j *platformJob) lasting() bool {
	return slices.ContainsFunc(j.steps, func(s platformStep) bool { return s.lasting })
}

func (j *platformJob) final() bool {
	return j.state == "complete" || j.state == "failed" || j.state == "cancelled"
}

func (j *platformJob) body() []byte {
	steps := []map[string]any{}
	for i, s := range j.steps {
		m := map[string]any{"name": fmt.Sprint("s", i), "count": s.count, "room": map[string]int64{"cpu": s.room[0], "memory": s.room[1], "accelerators": s.room[2]}, "estimate_ms": s.estimateMs}
		after := []string{}
		for _, a := range s.after {
			after = append(after, fmt.Sprint("s", a))
		}
		for k, v := range map[string]any{"after": after, "gang": s.gang, "same_rack": s.sameRack, "labels": s.labels, "near": s.near, "per_worker": s.perWorker,
			"copies": s.copies, "lasting": s.lasting, "saves": s.saves} {
			if !emptyValue(v) {
				m[k] = v
			}
		}
		steps = append(steps, m)
	}
	m := map[string]any{"payload": j.payload, "steps": steps}
	if j.rounds > 0 {
		m["rounds"], m["first_ms"], m["period_ms"] = j.rounds, wallStart+j.firstMs, j.periodMs
	}
	return mustJSON(m)
}

func emptyValue(v any) bool {
	switch x := v.(type) {
	case bool:
		return !x
	case string:
		return x == ""
	case int:
		return x == 0
	case []string:
		return len(x) == 0
	case map[string]string:
		return len(x) == 0
	}
	return false
}

// recordSuccess counts the successful end of a run.
func (j *platformJob) recordSuccess(b *platformWorld, r *platformRun) {
	n := r.name
	if r.step.gang {
		n.index = 0
	}
	if run, ok := j.okTasks[n]; ok {
		if r.step.gang && run == r.run {
			return // counted with another member of the gang
		}
		b.wastedCoreSeconds["twice"] += float64(b.nowMs()-r.startMs) / 1000 * float64(r.step.room[0]) / 1000
		return
	}
	j.okTasks[n] = r.run
	j.lastOKMs[r.name.round] = b.nowMs()
	if len(j.okTasks) == j.requiredSuccesses() {
		b.after(20_000+b.rng.Int64N(80_000), func() { b.readState(j) })
	}
}

// requiredSuccesses returns how many successful ends the job needs; a gang counts as one.
func (j *platformJob) requiredSuccesses() int {
	sum := 0
	for _, s := range j.steps {
		if s.gang {
			sum++
		} else {
			sum += s.count
		}
	}
	return sum * max(j.rounds, 1)
}

// chance returns true with probability p.
func (b *platformWorld) chance(p float64) bool { return b.rng.Float64() < p }

// drawLogNormal draws from a log-normal distribution with a mean and an upper bound.
func (b *platformWorld) drawLogNormal(of [2]float64, spread float64) float64 {
	return min(of[1], of[0]*math.Exp(spread*b.rng.NormFloat64()-spread*spread/2))
}

// draw makes a random job of a kind.
func (b *platformWorld) draw(k *platformKind) *platformJob {
	j := &platformJob{queue: &k.queue, fates: map[taskName]*platformFate{}}
	b.assignTenant(j)
	gang, label := b.chance(k.gang), ""
	if b.chance(k.labels) {
		label = b.pickOne([]string{"a", "b"})
	}
	if b.chance(k.timed) {
		j.rounds, j.periodMs, j.firstMs = 2+b.rng.IntN(max(1, min(k.maxRounds, 4)-1)), k.periodMs, b.nowMs()+500+b.rng.Int64N(2500)
	}
	for i := range int(max(1, math.Round(b.drawLogNormal(k.steps, 0.4)))) {
		s := platformStep{count: max(1, int(math.Round(b.drawLogNormal(k.width, 0.8)))), room: amounts{int64(max(100, b.drawLogNormal(k.cpu, 0.45))), int64(max(128, b.drawLogNormal(k.mem, 0.6)))},
			gang: gang, saves: b.chance(k.saves), copies: !gang && b.chance(k.copies)}
		if label != "" {
			s.labels = map[string]string{"kind": label}
		}
		if gang {
			s.sameRack = b.chance(k.sameRack)
			fits := min(b.deployment.capacity[0]/s.room[0], b.deployment.capacity[1]/s.room[1]) * int64(b.deployment.workerHosts) * 4 / 10
			if label != "" {
				fits /= 2
			}
			s.count = max(2, min(s.count, int(fits)))
		} else {
			if b.chance(0.2) {
				s.near = fmt.Sprintf("r%d", b.rng.IntN((b.deployment.workerHosts+b.deployment.rackSize-1)/b.deployment.rackSize))
			}
			if b.chance(0.1) {
				s.perWorker = 1 + b.rng.IntN(3)
			}
		}
		if i > 0 {
			s.after = []int{i - 1}
		}
		b.fitTenantLimit(j, &s)
		mean := b.drawLogNormal(k.workMs, 0.5)
		s.estimateMs = int64(max(50, mean*(1+k.estimateError*(2*b.rng.Float64()-1))))
		j.steps = append(j.steps, s)
		for round := range max(j.rounds, 1) {
			for t := range s.count {
				f := &platformFate{workMs: max(20, mean*(0.7+0.6*b.rng.Float64()))}
				if b.chance(k.fails) && (!gang || t < 3) { // a gang fails as a whole
					f.fails = []float64{b.rng.Float64()}
				}
				j.fates[taskName{round, i, t}] = f
			}
		}
	}
	if b.chance(k.hopeless) {
		b.makeHopeless(j)
	}
	return j
}

// makeHopeless makes a task of a job fail more often than is allowed.
func (b *platformWorld) makeHopeless(j *platformJob) {
	f := j.fates[taskName{0, len(j.steps) - 1, 0}]
	f.fails = nil
	for range j.queue.allowedFailures + 1 {
		f.fails = append(f.fails, 0.2+0.6*b.rng.Float64())
	}
}

// simple makes a job of one step with equal tasks.
func (b *platformWorld) simple(kind, count int, room amounts, workMs float64) *platformJob {
	j := &platformJob{queue: &b.deployment.kinds[kind].queue, fates: map[taskName]*platformFate{}, steps: []platformStep{{count: count, room: room, estimateMs: int64(workMs)}}}
	for i := range count {
		j.fates[taskName{0, 0, i}] = &platformFate{workMs: workMs}
	}
	b.assignTenant(j)
	return j
}

// lastingJob makes a job whose tasks run until it is cancelled; they fail now and then.
func (b *platformWorld) lastingJob() *platformJob {
	j := b.simple(1, 2, amounts{b.deployment.capacity[0] / 32, b.deployment.capacity[1] / 32}, 1000)
	j.steps[0].lasting = true
	for i := range 2 {
		j.fates[taskName{0, 0, i}].fails = []float64{0.1 + 0.4*b.rng.Float64(), 0.3, 0.6}
	}
	return j
}

// withJobRand draws jobs, and the targets of faults, from jobRand if there is one.
func (b *platformWorld) withJobRand(do func()) {
	if b.jobRand != nil {
		b.rng, b.jobRand = b.jobRand, b.rng
		defer func() { b.rng, b.jobRand = b.jobRand, b.rng }()
	}
	do()
}

// traffic submits the deployment's mix of jobs until callers stop.
func (b *platformWorld) traffic() {
	var next, one func()
	next = func() { b.withJobRand(one) }
	one = func() {
		if b.callersStopped {
			return
		}
		b.sendKind(b.kindByWeight())
		b.after(int64(b.rng.ExpFloat64()*1e6/(b.deployment.jobsPerSecond*b.trafficFactor)), next)
	}
	next()
}

// kindByWeight draws one of the deployment's kinds of jobs.
func (b *platformWorld) kindByWeight() int {
	sum := 0.0
	for i := range b.deployment.kinds {
		sum += b.deployment.kinds[i].weight
	}
	at, k := b.rng.Float64()*sum, 0
	for k < len(b.deployment.kinds)-1 && at >= b.deployment.kinds[k].weight {
		at -= b.deployment.kinds[k].weight
		k++
	}
	return k
}

func (b *platformWorld) sendKind(k int) *platformJob {
	kind := &b.deployment.kinds[k]
	j := b.submit(b.draw(kind))
	if b.chance(kind.cancel) {
		b.after(200_000+b.rng.Int64N(4_000_000), func() {
			if j.acked {
				b.cancel(j)
			}
		})
	}
	return j
}

// targetMs returns the users' target time for one round of a job: the stretch times its
// longest chain of work on healthy workers near its data, plus the queue's latency.
func (b *platformWorld) targetMs(j *platformJob, round int) int64 {
	done := make([]float64, len(j.steps))
	longest := 0.0
	for i, s := range j.steps {
		from, work := 0.0, 0.0
		for _, a := range s.after {
			from = max(from, done[a])
		}
		for t := range s.count {
			f := j.fates[taskName{round, i, t}]
			own := f.workMs
			for _, at := range f.fails {
				own += at * min(f.workMs, 20_000)
			}
			work = max(work, own)
		}
		waves := 1.0
		for d := range 2 {
			if quarter := float64(b.deployment.capacity[d]) * float64(b.deployment.workerHosts) / 4; s.room[d] > 0 {
				waves = max(waves, math.Ceil(float64(s.room[d])*float64(s.count)/quarter))
			}
		}
		done[i] = from + work*waves
		longest = max(longest, done[i])
	}
	return int64(j.queue.stretch*longest) + j.queue.latencyMs
}

// withinTarget returns by queue how many jobs or rounds were due, were done within their target, and were done at all.
func (b *platformWorld) withinTarget() map[string][3]int {
	out := map[string][3]int{}
	for _, id := range sortedKeys(b.jobs) {
		j := b.jobs[id]
		if j.lasting() || j.cancelled {
			continue
		}
		row := out[j.queue.name]
		for k := range max(j.rounds, 1) {
			from, end := j.sentMs, j.endMs
			if j.rounds > 0 {
				from, end = j.dueMs(k), j.lastOKMs[k]
			}
			row[0]++
			if end > 0 && (j.state == "complete" || j.state == "failed" && j.hopeless()) {
				row[2]++
				if end-from <= b.targetMs(j, k) {
					row[1]++
				}
			}
		}
		out[j.queue.name] = row
	}
	return out
}

// hopeless reports whether a task of the job fails more often than is allowed.
func (j *platformJob) hopeless() bool {
	sum := map[taskName]int{}
	for n, f := range j.fates {
		if j.steps[n.step].gang {
			n.index = 0
		}
		if sum[n] += len(f.fails); sum[n] >= j.queue.allowedFailures && !j.lasting() {
			return true
		}
	}
	return false
}
