package daemon

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"otterchute/internal/configuration"
	"otterchute/internal/rendezvous"
	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

const (
	batchPlanMs = 2000 // interval between plans of a shard's batch jobs; far below batchMarginMs
	// A new owner waits this long for the reports of all agents before it plans. With the capacity of only a few
	// agents, all jobs would seem late.
	batchLearnMs = 2500
	// Percent of a batch job's estimated time that is reserved for it, for preemptions, wrong estimates and the case
	// that only half the capacity is available.
	batchSlackPercent    = 200
	batchMarginMs        = 60_000 // added to that time, for a lost worker, a change of owner and a retry
	batchHeadroomPercent = 25     // percent of a worker that stays free when a batch task starts there
	spareWindowMs        = 3000   // batch tasks use only capacity that was spare for at least this long
	batchStartsTick      = 4      // batch tasks that a shard places in one tick
	batchTriesTick       = 64     // batch tasks that a shard searches a worker for in one tick
	batchRecheckMs       = 400    // mean delay before the next search for a task that no worker could take
	batchPauseMs         = 1500   // pause of batch placement after a more urgent task found no worker
	batchPauseShare      = 4      // placement also pauses while tasks wait at one in this many workers
	batchReturnMs        = 300    // a batch task that hasn't started at its worker after this returns to its owner
	batchRetryMs         = 1500   // shortest delay before a preempted batch task is retried; the longest is twice this
	batchRecordsPercent  = 50     // a shard accepts batch jobs while at most this percent of its records is in use
)

// Jobs of batch queues may wait for the cheapest hours of a contract, and never take capacity from more urgent work.
// All decisions here depend only on the job's record, the configuration in force, cluster time and the latest reports
// of the agents, so a new owner reaches the same decisions.

// batchPlan states when a job's tasks may start, in cluster time.
type batchPlan struct {
	StartMs    int64
	CloseMs    int64 // end of the price window that the job starts in
	OpenMs     int64 // start of that window
	Price      float64
	DeadlineMs int64
	AtAnyPrice bool // the job starts now at any price, to complete before its deadline
}

// planBatch decides when a job may start that was submitted or due at fromMs and needs needMs to complete.
// It picks the cheapest price window that leaves needMs before the deadline, and the earliest of equally cheap ones.
// Starts are spread over the first half of the usable part of the window, at a point derived from the job's id.
func planBatch(r *configuration.BatchRules, id string, fromMs, nowMs, needMs int64) batchPlan {
	p := batchPlan{DeadlineMs: fromMs + r.FinishByMs}
	latest := p.DeadlineMs - needMs
	if nowMs >= latest {
		p.StartMs, p.OpenMs, p.CloseMs, p.AtAnyPrice = max(fromMs, latest), nowMs, p.DeadlineMs, true
		p.Price = r.Contract.PriceWindows(nowMs, nowMs)[0].Price
		return p
	}
	all := r.Contract.PriceWindows(max(nowMs, fromMs), max(latest, fromMs))
	best := all[0]
	for _, w := range all {
		if w.Price < best.Price {
			best = w
		}
	}
	p.OpenMs, p.CloseMs, p.Price = max(best.FromMs, fromMs), best.ToMs, best.Price
	p.StartMs = p.OpenMs
	if spread := min(best.ToMs-p.OpenMs, latest-p.OpenMs) / 2; best.FromMs >= fromMs && spread > 0 {
		// The point is derived from the id, so the start moves little when needMs changes.
		p.StartMs += int64(float64(rendezvous.Weight(id, "start")>>11) / (1 << 53) * float64(spread))
	}
	return p
}

// mayStart reports whether a task with the given estimate may start now: inside the window, and early enough to
// end inside it. A task whose estimate exceeds the whole window may start at any point of it.
func (p *batchPlan) mayStart(wallMs, estMs int64) bool {
	if p.AtAnyPrice {
		return wallMs >= p.StartMs
	}
	return wallMs >= p.StartMs && wallMs < p.CloseMs && (wallMs+estMs <= p.CloseMs || estMs > p.CloseMs-p.OpenMs)
}

// batchRules returns the batch rules that apply to a job, or nil. Jobs with gangs or long-running tasks are exempt:
// they may date from before the queue became a batch queue.
func (n *node) batchRules(j *jobRecord) *configuration.BatchRules {
	q := n.config.current.Queues[j.Queue]
	if q == nil || q.Batch == nil ||
		slices.ContainsFunc(j.Steps, func(s jobStep) bool { return s.Gang || s.LongRunning }) {
		return nil
	}
	return q.Batch
}

// batchRulesOfSpec returns the batch rules that apply to a task at a worker, or nil if it is no batch task.
func (n *node) batchRulesOfSpec(s *wire.TaskSpec) *configuration.BatchRules {
	if q := n.config.current.Queues[s.Queue]; q != nil && s.Class == wire.ClassQueueable {
		return q.Batch
	}
	return nil
}

// batchFromMs returns the time from which the job's deadline is counted: when it was submitted, or when its first
// unfinished round is due if that is later.
func (j *jobRecord) batchFromMs() int64 {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; !t.isTerminal() {
			return max(j.SubmitMs, j.roundDueMs(t.Round))
		}
	}
	return max(j.SubmitMs, j.DueMs)
}

// tickBatches resets a shard's per-tick batch state and plans its batch jobs when that is due.
func (n *node) tickBatches(shard *ownedShard) {
	shard.batchStartsInTick, shard.batchTriesInTick, shard.batchUseByWorker = 0, 0, map[queueOnWorker]resource.Amount{}
	n.planBatches(shard)
}

// planBatches plans all batch jobs of a shard in the order of their deadlines. Each job needs the time of its
// longest chain of steps, and the time that all work with earlier deadlines takes in the capacity open to batches.
func (n *node) planBatches(shard *ownedShard) {
	wall := n.fleetTime()
	if wall == 0 || !n.configFresh() || n.now-shard.startMs < batchLearnMs ||
		n.now < shard.nextBatchPlanMs && shard.batchPlanVersion == n.config.current.Version {
		return
	}
	shard.nextBatchPlanMs, shard.batchPlanVersion = n.now+batchPlanMs, n.config.current.Version
	type due struct {
		job     *liveJob
		r       *configuration.BatchRules
		from, d int64
	}
	var list []due
	for _, id := range sortedKeys(shard.jobs) {
		job := shard.jobs[id]
		if r := n.batchRules(&job.jobRecord); r == nil || job.DoneMs != 0 {
			job.plan = nil
		} else {
			from := job.batchFromMs()
			list = append(list, due{job, r, from, from + r.FinishByMs})
		}
	}
	if len(list) == 0 {
		return
	}
	slices.SortStableFunc(list, func(a, b due) int { return cmp.Compare(a.d, b.d) })
	room, ahead := map[string]resource.Amount{}, 0.0
	for _, e := range list {
		all, known := room[e.job.Queue]
		if !known {
			all = n.batchCapacity(e.job.Queue, e.r)
			room[e.job.Queue] = all
		}
		chain, work := n.batchRemaining(e.job, all)
		ahead += work * float64(max(1, len(n.core.Shards))) // assumes that the other shards have as much
		need := (int64(ahead)+chain)*batchSlackPercent/100 + batchMarginMs
		p := planBatch(e.r, e.job.ID, e.from, wall, need)
		if p.AtAnyPrice && (e.job.plan == nil || !e.job.plan.AtAnyPrice) {
			n.count("batches_at_any_price")
			n.log("batch_at_any_price", "job", e.job.ID, "queue", e.job.Queue, "need_ms", need, "price", p.Price)
		}
		e.job.plan = &p
	}
}

// batchCapacity returns the capacity that the batch tasks of a queue may use in total.
func (n *node) batchCapacity(queue string, r *configuration.BatchRules) (all resource.Amount) {
	q := n.config.current.Queues[queue]
	for _, w := range n.workers {
		if n.now-w.receivedMs < workerSilentMs && !w.leaving && !n.config.current.EmptyZones[w.zone] &&
			q.Matches(w.labels, w.zone) {
			all = all.Plus(w.capacity.Share(r.SharePercent))
		}
	}
	return all
}

// batchRemaining returns the time that a job still needs along its longest chain of steps, and the time that its
// remaining work takes if it has all the capacity open to batches.
func (n *node) batchRemaining(job *liveJob, room resource.Amount) (chainMs int64, workMs float64) {
	longest := make([]int64, len(job.Steps))
	for i := range job.Tasks {
		t := &job.Tasks[i]
		if t.isTerminal() {
			continue
		}
		est := n.estimateMs(job, t)
		longest[t.Step] = max(longest[t.Step], est)
		part := 0.0
		need := t.Resources
		for _, d := range [][2]int64{{need.CPU, room.CPU}, {need.Memory, room.Memory}, {need.GPU, room.GPU}} {
			if d[1] > 0 {
				part = max(part, float64(d[0])/float64(d[1]))
			}
		}
		workMs += part * float64(est)
	}
	done := make([]int64, len(job.Steps)) // steps are in any order, so one pass per step is needed
	for range job.Steps {
		for i, s := range job.Steps {
			from := int64(0)
			for _, a := range s.After {
				from = max(from, done[a])
			}
			done[i] = from + longest[i]
			chainMs = max(chainMs, done[i])
		}
	}
	return chainMs, workMs
}

// batchMayStart reports whether the plan of a batch job allows one of its pending tasks to start now.
func (n *node) batchMayStart(job *liveJob, t *task, wall int64) bool {
	return job.plan != nil && job.plan.mayStart(wall, n.estimateMs(job, t))
}

// shortOfRoom reports whether more urgent work waits: for a worker in this shard, for a guaranteed allocation in
// any shard, or for its start at many of the workers.
func (n *node) shortOfRoom(shard *ownedShard) bool {
	if shard.starvedMs != 0 && n.now-shard.starvedMs < batchPauseMs ||
		n.ranks.roomShort && n.now-n.ranks.receivedMs < rankStaleMs {
		return true
	}
	waits, all := 0, 0
	for _, w := range n.workers {
		if n.now-w.receivedMs < ownerContactMs {
			all++
			if w.unstarted > 0 {
				waits++
			}
		}
	}
	return waits > 0 && waits*batchPauseShare >= all
}

// queueOnWorker is the key of the resources that a queue's batch tasks use at a worker; an empty queue stands for
// all queues.
type queueOnWorker struct{ queue, worker string }

// batchLoad returns the resources that the batch tasks of a queue, or of all queues if it is empty, are known to use
// at a worker. The sum is cached for the tick.
func (n *node) batchLoad(shard *ownedShard, queue, worker string) (sum resource.Amount) {
	if sum, ok := shard.batchUseByWorker[queueOnWorker{queue, worker}]; ok {
		return sum
	}
	defer func() {
		if shard.batchUseByWorker != nil {
			shard.batchUseByWorker[queueOnWorker{queue, worker}] = sum
		}
	}()
	for ref, room := range shard.placedByWorker[worker] {
		if job := shard.jobs[ref.jobID]; job != nil && job.plan != nil && (job.Queue == queue || queue == "") {
			sum = sum.Plus(room)
		}
	}
	if w := n.workers[worker]; w != nil {
		for _, b := range w.batchUse[shard.name] {
			if b.Queue == queue || queue == "" {
				sum = sum.Plus(b.Resources)
			}
		}
	}
	return sum
}

// batchFraction reports whether a batch task fits at a worker, within the share open to batches and beside the
// headroom for more urgent work. It also returns the fraction of the worker that batch tasks of the queue use; the
// worker with the lowest fraction is chosen.
func (n *node) batchFraction(
	shard *ownedShard,
	job *liveJob,
	t *task,
	worker string,
	sharePercent int64,
) (part float64, fits bool) {
	w := n.workers[worker]
	kept := w.capacity.Share(batchHeadroomPercent)
	if job.plan.AtAnyPrice {
		kept = resource.Amount{}
	}
	if !t.Resources.Plus(kept).Fits(n.freeResources(shard, worker, w)) {
		return 0, false
	}
	if !job.plan.AtAnyPrice && !n.batchLoad(shard, "", worker).Plus(t.Resources).Plus(kept).Fits(w.spare.least()) {
		return 0, false
	}
	load := n.batchLoad(shard, job.Queue, worker)
	if !load.Plus(t.Resources).Fits(w.capacity.Share(sharePercent)) {
		return 0, false
	}
	part = float64(load.CPU) / float64(max(w.capacity.CPU, 1))
	if w.capacity.Memory > 0 {
		part = max(part, float64(load.Memory)/float64(w.capacity.Memory))
	}
	if job.plan.AtAnyPrice { // prefers the most free resources, where a preemption is least likely
		free := n.freeResources(shard, worker, w)
		part = 1 - float64(free.CPU)/float64(max(w.capacity.CPU, 1))
	}
	if worker == t.LastFailedWorker {
		part++ // the last attempt failed there: any other worker is better
	}
	return part, true
}

// selectBatchWorker selects a worker for a batch task, or returns "". It selects the allowed worker with the lowest
// fraction of batch tasks, where nothing more urgent waits and the recently spare capacity leaves the headroom free.
// For a job that starts at any price it selects the worker with the most free resources, headroom included.
func (n *node) selectBatchWorker(shard *ownedShard, job *liveJob, i int) string {
	if shard.batchStartsInTick >= batchStartsTick || shard.batchTriesInTick >= batchTriesTick {
		return ""
	}
	shard.batchTriesInTick++
	job.runtime[i].retryAtMs = n.now + batchRecheckMs/2 + n.rand().Int64N(batchRecheckMs)
	if !job.plan.AtAnyPrice && n.shortOfRoom(shard) {
		return ""
	}
	t := &job.Tasks[i]
	step, q := &job.Steps[t.Step], n.config.current.Queues[job.Queue]
	var used map[string]int32
	if step.MaxPerWorker > 0 {
		used = job.stepTasksByWorker(i)
	}
	best, least, bestWeight := "", 0.0, uint64(0)
	for _, name := range sortedKeys(n.workers) {
		w := n.workers[name]
		if !n.workerAllowed(w, q, t.RequiredLabels, t.Resources) || w.suspect || w.unstarted > 0 ||
			n.ranks.ejected(name) || step.MaxPerWorker > 0 && used[name] >= step.MaxPerWorker {
			continue
		}
		part, fits := n.batchFraction(shard, job, t, name, q.Batch.SharePercent)
		if !fits {
			continue
		}
		if own := rendezvous.Weight(job.ID, name); best == "" || part < least || part == least && own > bestWeight {
			best, least, bestWeight = name, part, own
		}
	}
	if best != "" {
		shard.batchStartsInTick++
		for _, queue := range []string{job.Queue, ""} {
			load := n.batchLoad(shard, queue, best).Plus(t.Resources)
			shard.batchUseByWorker[queueOnWorker{queue, best}] = load
		}
	}
	return best
}

// explainHeld describes why a batch task has not started, and until when it is held; "" for a task of no batch job.
func (n *node) explainHeld(job *liveJob, t *task) string {
	r, p, wall := n.batchRules(&job.jobRecord), job.plan, n.fleetTime()
	if r == nil {
		return ""
	}
	if p == nil {
		return "held: its hours are being planned"
	}
	by := "; it is to be complete by " + clockText(r.Contract, p.DeadlineMs)
	if !p.mayStart(wall, n.estimateMs(job, t)) {
		if p.StartMs <= wall {
			return "held until the next window: this one ends at " + clockText(r.Contract, p.CloseMs) + by
		}
		what := "the cheapest contracted hours"
		if p.Price > r.Contract.Cheapest {
			what = "the cheapest contracted hours that leave it time"
		}
		return fmt.Sprintf(
			"held until %s, %s: %s, %s a core hour%s",
			clockText(r.Contract, p.StartMs),
			what,
			r.Contract.Name,
			priceText(p.Price),
			by,
		)
	}
	if !p.AtAnyPrice && n.shortOfRoomAnywhere() {
		return "held while more urgent work waits for room" + by
	}
	if !t.Resources.Fits(n.largestBatchShare(job.Queue, r)) {
		return fmt.Sprintf(
			"no worker can hold it within the %d percent that batches of this queue may take",
			r.SharePercent,
		)
	}
	return "waiting for its share of the workers' room" + by
}

// shortOfRoomAnywhere reports whether shortOfRoom holds for any shard owned here.
func (n *node) shortOfRoomAnywhere() bool {
	for _, shard := range n.shards {
		if n.shortOfRoom(shard) {
			return true
		}
	}
	return false
}

// largestBatchShare returns, for each resource, the most that one worker offers to the batch tasks of a queue.
func (n *node) largestBatchShare(queue string, r *configuration.BatchRules) (most resource.Amount) {
	q := n.config.current.Queues[queue]
	for _, w := range n.workers {
		if s := w.capacity.Share(r.SharePercent); n.workerAllowed(w, q, nil, resource.Amount{}) {
			most = resource.Amount{CPU: max(most.CPU, s.CPU), Memory: max(most.Memory, s.Memory), GPU: max(most.GPU, s.GPU)}
		}
	}
	return most
}

// clockText formats a time in the contract's time zone.
func clockText(c *configuration.Contract, ms int64) string {
	return time.UnixMilli(ms).In(c.Location()).Format("Mon 2006-01-02 15:04 -07:00")
}

func priceText(p float64) string { return fmt.Sprintf("%g", p) }

// batchRetryAtMs returns when a preempted task of a batch job may be retried, with jitter; 0 for other jobs.
func (n *node) batchRetryAtMs(job *liveJob) int64 {
	if n.batchRules(&job.jobRecord) == nil {
		return 0
	}
	return n.now + batchRetryMs + n.rand().Int64N(batchRetryMs)
}

// meterKey is what core seconds of batch tasks are counted by.
type meterKey struct {
	Contract string
	Price    float64
}

// meterBatch counts the core seconds of an attempt that has just ended, by the price at the time they were used.
func (n *node) meterBatch(job *liveJob, t *task, ranMs int64) {
	r, wall := n.batchRules(&job.jobRecord), n.fleetTime()
	if r == nil || wall == 0 || ranMs <= 0 {
		return
	}
	if n.batchMeter == nil {
		n.batchMeter = map[meterKey]float64{}
	}
	for _, w := range r.Contract.PriceWindows(wall-ranMs, wall) {
		if ms := min(w.ToMs, wall) - max(w.FromMs, wall-ranMs); ms > 0 {
			n.batchMeter[meterKey{r.Contract.Name, w.Price}] += float64(ms) / 1000 * float64(t.Resources.CPU)
		}
	}
}

// recordBatchEnd counts a batch job that is complete, and logs it if it missed its deadline.
func (n *node) recordBatchEnd(job *liveJob) {
	if n.batchRules(&job.jobRecord) == nil || job.State != jobComplete || job.plan == nil {
		return
	}
	n.count("batches_complete")
	if job.DoneMs > job.plan.DeadlineMs {
		n.count("batches_late")
		n.log("batch_late", "job", job.ID, "queue", job.Queue, "late_ms", job.DoneMs-job.plan.DeadlineMs)
	}
}

// batchGauges counts the batch jobs that are held, for their hours or for capacity, and those that run at any price
// to meet their deadlines.
func (n *node) batchGauges(out map[string]float64) {
	for _, name := range []string{"batches_held", "batches_at_risk"} {
		out[name] = 0
	}
	for _, shard := range n.shards {
		for _, job := range shard.jobs {
			if job.plan == nil || job.DoneMs != 0 {
				continue
			}
			if job.state() == "pending" {
				out["batches_held"]++
			}
			if job.plan.AtAnyPrice {
				out["batches_at_risk"]++
			}
		}
	}
}

// batchUse returns the resources that batch tasks use at the agent's worker, by queue. It leaves out the tasks of the
// shard named by but, unless that is empty.
func (a *workerAgent) batchUse(n *node, but string) (out []wire.QueueUsage) {
	sum := map[string]resource.Amount{}
	for _, attempt := range a.attempts {
		if attempt.state != wire.AttemptEnded && (but == "" || attempt.spec.Shard != but) &&
			n.batchRulesOfSpec(&attempt.spec) != nil {
			sum[attempt.spec.Queue] = sum[attempt.spec.Queue].Plus(attempt.spec.Resources)
		}
	}
	for _, q := range sortedKeys(sum) {
		out = append(out, wire.QueueUsage{Queue: q, Resources: sum[q]})
	}
	return out
}

// loadWithoutBatches returns how many tasks other than batch tasks wait for their start at the agent's worker, and
// the resources that remain beside these and the running ones.
func (a *workerAgent) loadWithoutBatches(n *node) (waiting int64, spare resource.Amount) {
	spare = a.capacity
	for _, attempt := range a.attempts {
		if attempt.state == wire.AttemptEnded || n.batchRulesOfSpec(&attempt.spec) != nil {
			continue
		}
		spare = spare.Minus(attempt.spec.Resources)
		if attempt.state == wire.AttemptQueued {
			waiting++
		}
	}
	return waiting, spare
}

// spareWindow tracks the minimum of a worker's spare resources over the last one to two windows of spareWindowMs.
type spareWindow struct {
	current, previous resource.Amount // minimum in each window
	windows           int             // windows begun so far
	atMs              int64           // start of the current window
}

// observe returns the window with one more observation.
func (l spareWindow) observe(nowMs int64, room resource.Amount) spareWindow {
	if l.windows == 0 || nowMs-l.atMs >= spareWindowMs {
		l = spareWindow{current: room, previous: l.current, windows: l.windows + 1, atMs: nowMs}
	}
	l.current = resource.Amount{
		CPU:    min(l.current.CPU, room.CPU),
		Memory: min(l.current.Memory, room.Memory),
		GPU:    min(l.current.GPU, room.GPU),
	}
	return l
}

// least returns the minimum, or nothing until a whole window has been observed.
func (l spareWindow) least() resource.Amount {
	if l.windows < 2 {
		return resource.Amount{}
	}
	return resource.Amount{
		CPU:    min(l.current.CPU, l.previous.CPU),
		Memory: min(l.current.Memory, l.previous.Memory),
		GPU:    min(l.current.GPU, l.previous.GPU),
	}
}

// allocationsWait reports whether an allocation request has waited for resources longer than batchPauseMs.
func (n *node) allocationsWait(c *centralScheduler) bool {
	for _, request := range c.pending {
		if n.now-request.firstMs > batchPauseMs && request.hasOpen() {
			return true
		}
	}
	return false
}

// mayStartBatch reports whether a batch task may start at the agent's worker. It checks once more, at the worker,
// that nothing more urgent waits there and that the queue stays within its share.
func (n *node) mayStartBatch(agent *workerAgent, attempt *agentAttempt, r *configuration.BatchRules) bool {
	if waiting, _ := agent.loadWithoutBatches(n); waiting > 0 {
		return false
	}
	sum := attempt.spec.Resources
	for _, o := range agent.attempts {
		if o != attempt && o.spec.Queue == attempt.spec.Queue &&
			(o.state == wire.AttemptOrdered || o.state == wire.AttemptRunning) &&
			n.batchRulesOfSpec(&o.spec) != nil {
			sum = sum.Plus(o.spec.Resources)
		}
	}
	return sum.Fits(agent.capacity.Share(r.SharePercent))
}

// returnBatches ends batch tasks that could not start here within batchReturnMs, so that their owner places them
// again, and returns the rest of the queue: batch tasks don't wait at a worker.
func (n *node) returnBatches(agent *workerAgent, queue []*agentAttempt) []*agentAttempt {
	some := false
	queue = slices.DeleteFunc(queue, func(attempt *agentAttempt) bool {
		if n.batchRulesOfSpec(&attempt.spec) == nil || n.now-attempt.queuedMs <= batchReturnMs {
			return false
		}
		attempt.state, attempt.result, some = wire.AttemptEnded, wire.ResultShed, true
		n.count("batches_returned")
		return true
	})
	if some {
		n.reportAgent(agent)
	}
	return queue
}
