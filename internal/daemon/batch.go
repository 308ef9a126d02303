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
	batchPlanIntervalMs = 2000 // interval between plans of a shard's batch jobs; far below batchMarginMs
	// A new owner waits this long for the reports of all agents before it plans. With the capacity of only a few
	// agents, all jobs would seem late.
	batchWarmupMs = 2500
	// Percent of a batch job's estimated time that is reserved for it, for preemptions, wrong estimates and the case
	// that only half the capacity is available.
	batchSlackPercent     = 200
	batchMarginMs         = 60_000 // added to the reserved time, for a lost worker, a change of owner and a retry
	batchHeadroomPercent  = 25     // percent of a worker that stays free when a batch task starts there
	spareWindowMs         = 3000   // batch tasks use only capacity that was spare for at least this long
	batchStartsPerTick    = 4      // batch tasks that a shard places in one tick
	batchTriesPerTick     = 64     // batch tasks that a shard searches a worker for in one tick
	batchRecheckMs        = 400    // mean delay before the next search for a task that no worker could take
	batchPauseMs          = 1500   // pause of batch placement after a more urgent task found no worker
	batchPauseWorkerRatio = 4      // placement also pauses while tasks wait at one in this many workers
	batchReturnMs         = 300    // a batch task that hasn't started at its worker after this returns to its owner
	batchRetryMs          = 1500   // shortest delay before a preempted batch task is retried; the longest is twice this
	batchRecordsPercent   = 50     // a shard accepts batch jobs while at most this percent of its records is in use
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

// planBatch decides when a job may start. The job was submitted or due at fromMs and needs needMs to complete.
// It picks the cheapest price window that leaves needMs before the deadline, and the earliest of equally cheap ones.
// Starts are spread over the first half of the usable part of the window, at a point derived from the job's id.
func planBatch(rules *configuration.BatchRules, id string, fromMs, nowMs, needMs int64) batchPlan {
	plan := batchPlan{DeadlineMs: fromMs + rules.FinishByMs}
	latest := plan.DeadlineMs - needMs
	if nowMs >= latest {
		plan.StartMs, plan.OpenMs, plan.CloseMs, plan.AtAnyPrice = max(fromMs, latest), nowMs, plan.DeadlineMs, true
		plan.Price = rules.Contract.PriceWindows(nowMs, nowMs)[0].Price
		return plan
	}
	windows := rules.Contract.PriceWindows(max(nowMs, fromMs), max(latest, fromMs))
	cheapest := windows[0]
	for _, w := range windows {
		if w.Price < cheapest.Price {
			cheapest = w
		}
	}
	plan.OpenMs, plan.CloseMs, plan.Price = max(cheapest.FromMs, fromMs), cheapest.ToMs, cheapest.Price
	plan.StartMs = plan.OpenMs
	if spread := min(cheapest.ToMs-plan.OpenMs, latest-plan.OpenMs) / 2; cheapest.FromMs >= fromMs && spread > 0 {
		// The point is derived from the id, so the start moves little when needMs changes.
		plan.StartMs += int64(float64(rendezvous.Weight(id, "start")>>11) / (1 << 53) * float64(spread))
	}
	return plan
}

// mayStart reports whether a task with the given estimate may start now: inside the window, and early enough to
// end inside it. A task whose estimate exceeds the whole window may start at any point of it.
func (p *batchPlan) mayStart(clusterTimeMs, estimateMs int64) bool {
	if p.AtAnyPrice {
		return clusterTimeMs >= p.StartMs
	}
	return clusterTimeMs >= p.StartMs && clusterTimeMs < p.CloseMs &&
		(clusterTimeMs+estimateMs <= p.CloseMs || estimateMs > p.CloseMs-p.OpenMs)
}

// batchRules returns the batch rules that apply to a job, or nil. Jobs with gangs or long-running tasks are exempt:
// they may date from before the queue became a batch queue.
func (n *node) batchRules(j *jobRecord) *configuration.BatchRules {
	queue := n.config.current.Queue(j.Queue)
	if queue == nil || queue.Batch == nil ||
		slices.ContainsFunc(j.Steps, func(s jobStep) bool { return s.Gang || s.LongRunning }) {
		return nil
	}
	return queue.Batch
}

// batchRulesOfSpec returns the batch rules that apply to a task at a worker, or nil if it isn't a batch task.
func (n *node) batchRulesOfSpec(spec *wire.TaskSpec) *configuration.BatchRules {
	if queue := n.config.current.Queue(spec.Queue); queue != nil && spec.Class == wire.ClassQueueable {
		return queue.Batch
	}
	return nil
}

// deadlineFromMs returns the time from which the job's deadline is counted: when it was submitted, or when its first
// unfinished round is due if that is later.
func (j *jobRecord) deadlineFromMs() int64 {
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
	clusterTimeMs := n.clusterTime()
	if clusterTimeMs == 0 || !n.configFresh() || n.now-shard.startMs < batchWarmupMs ||
		n.now < shard.nextBatchPlanMs && shard.batchPlanVersion == n.config.current.Version {
		return
	}
	shard.nextBatchPlanMs, shard.batchPlanVersion = n.now+batchPlanIntervalMs, n.config.current.Version
	type batchJob struct {
		job                *liveJob
		rules              *configuration.BatchRules
		fromMs, deadlineMs int64
	}
	var batches []batchJob
	for _, id := range sortedKeys(shard.jobs) {
		job := shard.jobs[id]
		if rules := n.batchRules(&job.jobRecord); rules == nil || job.DoneMs != 0 {
			job.plan = nil
		} else {
			fromMs := job.deadlineFromMs()
			batches = append(batches, batchJob{job, rules, fromMs, fromMs + rules.FinishByMs})
		}
	}
	if len(batches) == 0 {
		return
	}
	slices.SortStableFunc(batches, func(a, b batchJob) int { return cmp.Compare(a.deadlineMs, b.deadlineMs) })
	capacities, workAheadMs := map[string]resource.Amount{}, 0.0
	for _, batch := range batches {
		queueName := n.config.current.QueueName(batch.job.Queue)
		capacity, known := capacities[queueName]
		if !known {
			capacity = n.batchCapacity(queueName, batch.rules)
			capacities[queueName] = capacity
		}
		chainMs, workMs := n.batchRemaining(batch.job, capacity)
		workAheadMs += workMs * float64(max(1, len(n.core.Shards))) // assumes that each other shard has as much work
		needMs := (int64(workAheadMs)+chainMs)*batchSlackPercent/100 + batchMarginMs
		newPlan := planBatch(batch.rules, batch.job.ID, batch.fromMs, clusterTimeMs, needMs)
		if newPlan.AtAnyPrice && (batch.job.plan == nil || !batch.job.plan.AtAnyPrice) {
			n.count("batches_at_any_price")
			n.log("batch_at_any_price", "job", batch.job.ID, "queue", queueName, "need_ms", needMs, "price", newPlan.Price)
		}
		batch.job.plan = &newPlan
	}
}

// batchCapacity returns the capacity that the batch tasks of a queue may use in total.
func (n *node) batchCapacity(queue string, rules *configuration.BatchRules) (total resource.Amount) {
	q := n.config.current.Queue(queue)
	for _, w := range n.workers {
		if n.now-w.receivedMs < workerSilentMs && !w.leaving && !n.config.current.EmptyZones[w.zone] &&
			q.Matches(w.labels, w.zone) {
			total = total.Plus(w.capacity.Share(rules.SharePercent))
		}
	}
	return total
}

// batchRemaining returns the time that a job still needs along its longest chain of steps, and the time that its
// remaining work takes if it has all the capacity open to batches.
func (n *node) batchRemaining(job *liveJob, capacity resource.Amount) (chainMs int64, workMs float64) {
	longestMs := make([]int64, len(job.Steps))
	for i := range job.Tasks {
		t := &job.Tasks[i]
		if t.isTerminal() {
			continue
		}
		taskMs := n.estimateMs(job, t)
		longestMs[t.Step] = max(longestMs[t.Step], taskMs)
		fraction := 0.0
		need := t.Resources
		for _, amounts := range [][2]int64{
			{need.CPU, capacity.CPU}, {need.Memory, capacity.Memory}, {need.GPU, capacity.GPU},
		} {
			if amounts[1] > 0 {
				fraction = max(fraction, float64(amounts[0])/float64(amounts[1]))
			}
		}
		workMs += fraction * float64(taskMs)
	}
	stepEndMs := make([]int64, len(job.Steps)) // steps are in any order, so one pass per step is needed
	for range job.Steps {
		for i, s := range job.Steps {
			stepStartMs := int64(0)
			for _, dependency := range s.After {
				stepStartMs = max(stepStartMs, stepEndMs[dependency])
			}
			stepEndMs[i] = stepStartMs + longestMs[i]
			chainMs = max(chainMs, stepEndMs[i])
		}
	}
	return chainMs, workMs
}

// batchMayStart reports whether the plan of a batch job allows one of its pending tasks to start now.
func (n *node) batchMayStart(job *liveJob, t *task, clusterTimeMs int64) bool {
	return job.plan != nil && job.plan.mayStart(clusterTimeMs, n.estimateMs(job, t))
}

// urgentWorkWaits reports whether more urgent work waits: for a worker in this shard, for a guaranteed allocation in
// any shard, or for its start at many of the workers.
func (n *node) urgentWorkWaits(shard *ownedShard) bool {
	if shard.starvedMs != 0 && n.now-shard.starvedMs < batchPauseMs ||
		n.ranks.guaranteedWaiting && n.now-n.ranks.receivedMs < rankStaleMs {
		return true
	}
	waitingWorkers, liveWorkers := 0, 0
	for _, w := range n.workers {
		if n.now-w.receivedMs < ownerContactMs {
			liveWorkers++
			if w.unstarted > 0 {
				waitingWorkers++
			}
		}
	}
	return waitingWorkers > 0 && waitingWorkers*batchPauseWorkerRatio >= liveWorkers
}

// queueOnWorker is the key of the resources that a queue's batch tasks use at a worker, by the queue's name; an empty
// name stands for all queues.
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
	for ref, amount := range shard.placedByWorker[worker] {
		if job := shard.jobs[ref.jobID]; job != nil && job.plan != nil &&
			(queue == "" || n.config.current.QueueName(job.Queue) == queue) {
			sum = sum.Plus(amount)
		}
	}
	if w := n.workers[worker]; w != nil {
		for _, b := range w.batchUse[shard.name] {
			if queue == "" || n.config.current.QueueName(b.Queue) == queue {
				sum = sum.Plus(b.Resources)
			}
		}
	}
	return sum
}

// batchFraction reports whether a batch task fits at a worker, within the share open to batches and beside the
// headroom for more urgent work. It also returns the fraction of the worker that counts as used, and the worker with
// the lowest fraction is chosen. For a job that starts at any price this is what all tasks use, for other jobs what the
// batch tasks of the queue use.
func (n *node) batchFraction(
	shard *ownedShard, job *liveJob, t *task, worker string, sharePercent int64,
) (fraction float64, fits bool) {
	w := n.workers[worker]
	headroom := w.capacity.Share(batchHeadroomPercent)
	if job.plan.AtAnyPrice {
		headroom = resource.Amount{}
	}
	if !t.Resources.Plus(headroom).Fits(n.freeResources(shard, worker, w)) {
		return 0, false
	}
	if !job.plan.AtAnyPrice && !n.batchLoad(shard, "", worker).Plus(t.Resources).Plus(headroom).Fits(w.spare.minimum()) {
		return 0, false
	}
	load := n.batchLoad(shard, n.config.current.QueueName(job.Queue), worker)
	if !load.Plus(t.Resources).Fits(w.capacity.Share(sharePercent)) {
		return 0, false
	}
	fraction = float64(load.CPU) / float64(max(w.capacity.CPU, 1))
	if w.capacity.Memory > 0 {
		fraction = max(fraction, float64(load.Memory)/float64(w.capacity.Memory))
	}
	if job.plan.AtAnyPrice { // prefers the most free resources, where a preemption is least likely
		free := n.freeResources(shard, worker, w)
		fraction = 1 - float64(free.CPU)/float64(max(w.capacity.CPU, 1))
	}
	if worker == t.LastFailedWorker {
		fraction++ // the last attempt failed there: any other worker is better
	}
	return fraction, true
}

// selectBatchWorker selects a worker for a batch task, or returns "". It selects the allowed worker with the lowest
// fraction of batch tasks, where nothing more urgent waits and the recently spare capacity leaves the headroom free.
// For a job that starts at any price it selects the worker with the most free resources, headroom included.
func (n *node) selectBatchWorker(shard *ownedShard, job *liveJob, i int) string {
	if shard.batchStartsInTick >= batchStartsPerTick || shard.batchTriesInTick >= batchTriesPerTick {
		return ""
	}
	shard.batchTriesInTick++
	job.runtime[i].retryAtMs = n.now + batchRecheckMs/2 + n.rand().Int64N(batchRecheckMs)
	if !job.plan.AtAnyPrice && n.urgentWorkWaits(shard) {
		return ""
	}
	t := &job.Tasks[i]
	step, queue := &job.Steps[t.Step], n.config.current.Queue(job.Queue)
	var used map[string]int32
	if step.MaxPerWorker > 0 {
		used = job.stepTasksByWorker(i)
	}
	best, leastFraction, bestWeight := "", 0.0, uint64(0)
	for _, name := range sortedKeys(n.workers) {
		w := n.workers[name]
		if !n.workerAllowed(w, queue, t.RequiredLabels, t.Resources) || w.suspect || w.unstarted > 0 ||
			n.ranks.ejected(name) || step.MaxPerWorker > 0 && used[name] >= step.MaxPerWorker {
			continue
		}
		fraction, fits := n.batchFraction(shard, job, t, name, queue.Batch.SharePercent)
		if !fits {
			continue
		}
		if weight := rendezvous.Weight(job.ID, name); best == "" || fraction < leastFraction ||
			fraction == leastFraction && weight > bestWeight {
			best, leastFraction, bestWeight = name, fraction, weight
		}
	}
	if best != "" {
		shard.batchStartsInTick++
		for _, queueName := range []string{n.config.current.QueueName(job.Queue), ""} {
			load := n.batchLoad(shard, queueName, best).Plus(t.Resources)
			shard.batchUseByWorker[queueOnWorker{queueName, best}] = load
		}
	}
	return best
}

// explainHeld describes why a batch task has not started, and until when it is held. It returns "" for other tasks.
func (n *node) explainHeld(job *liveJob, t *task) string {
	rules, p, clusterTimeMs := n.batchRules(&job.jobRecord), job.plan, n.clusterTime()
	if rules == nil {
		return ""
	}
	if p == nil {
		return "held: its hours are being planned"
	}
	deadline := "; it is to be complete by " + clockText(rules.Contract, p.DeadlineMs)
	if !p.mayStart(clusterTimeMs, n.estimateMs(job, t)) {
		if p.StartMs <= clusterTimeMs {
			return "held until the next window: this one ends at " + clockText(rules.Contract, p.CloseMs) + deadline
		}
		hours := "the cheapest contracted hours"
		if p.Price > rules.Contract.Cheapest {
			hours = "the cheapest contracted hours that leave it time"
		}
		return fmt.Sprintf("held until %s, %s: %s, %s a core hour%s",
			clockText(rules.Contract, p.StartMs), hours, rules.Contract.Name, priceText(p.Price), deadline)
	}
	if !p.AtAnyPrice && n.urgentWorkWaitsAnywhere() {
		return "held while more urgent work waits for room" + deadline
	}
	if !t.Resources.Fits(n.largestBatchShare(job.Queue, rules)) {
		return fmt.Sprintf("no worker can hold it within the %d percent that batches of this queue may take",
			rules.SharePercent)
	}
	return "waiting for its share of the workers' room" + deadline
}

// urgentWorkWaitsAnywhere reports whether urgentWorkWaits holds for any shard owned here.
func (n *node) urgentWorkWaitsAnywhere() bool {
	for _, shard := range n.shards {
		if n.urgentWorkWaits(shard) {
			return true
		}
	}
	return false
}

// largestBatchShare returns, for each resource, the most that one worker offers to the batch tasks of a queue.
func (n *node) largestBatchShare(queue string, rules *configuration.BatchRules) (largest resource.Amount) {
	q := n.config.current.Queue(queue)
	for _, w := range n.workers {
		if share := w.capacity.Share(rules.SharePercent); n.workerAllowed(w, q, nil, resource.Amount{}) {
			largest = resource.Amount{
				CPU:    max(largest.CPU, share.CPU),
				Memory: max(largest.Memory, share.Memory),
				GPU:    max(largest.GPU, share.GPU),
			}
		}
	}
	return largest
}

// clockText formats a time in the contract's time zone.
func clockText(contract *configuration.Contract, atMs int64) string {
	return time.UnixMilli(atMs).In(contract.Location()).Format("Mon 2006-01-02 15:04 -07:00")
}

// priceText formats a price without trailing zeros.
func priceText(p float64) string { return fmt.Sprintf("%g", p) }

// batchRetryAtMs returns when a preempted task of a batch job may be retried, with jitter; 0 for other jobs.
func (n *node) batchRetryAtMs(job *liveJob) int64 {
	if n.batchRules(&job.jobRecord) == nil {
		return 0
	}
	return n.now + batchRetryMs + n.rand().Int64N(batchRetryMs)
}

// meterKey identifies the contract and price under which core seconds of batch tasks are counted.
type meterKey struct {
	Contract string
	Price    float64
}

// meterBatch counts the core seconds of an attempt that has just ended, by the price at the time they were used.
func (n *node) meterBatch(job *liveJob, t *task, ranMs int64) {
	rules, clusterTimeMs := n.batchRules(&job.jobRecord), n.clusterTime()
	if rules == nil || clusterTimeMs == 0 || ranMs <= 0 {
		return
	}
	if n.batchMeter == nil {
		n.batchMeter = map[meterKey]float64{}
	}
	for _, w := range rules.Contract.PriceWindows(clusterTimeMs-ranMs, clusterTimeMs) {
		if ms := min(w.ToMs, clusterTimeMs) - max(w.FromMs, clusterTimeMs-ranMs); ms > 0 {
			n.batchMeter[meterKey{rules.Contract.Name, w.Price}] += float64(ms) / 1000 * float64(t.Resources.CPU)
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
		n.log("batch_late", "job", job.ID, "queue", n.config.current.QueueName(job.Queue),
			"late_ms", job.DoneMs-job.plan.DeadlineMs)
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

// batchUse returns the resources that batch tasks use at the agent's worker, by queue. It leaves out the tasks of
// exceptShard, unless that is empty.
func (a *workerAgent) batchUse(n *node, exceptShard string) (out []wire.QueueUsage) {
	sum := map[string]resource.Amount{}
	for _, attempt := range a.attempts {
		if attempt.state != wire.AttemptEnded && (exceptShard == "" || attempt.spec.Shard != exceptShard) &&
			n.batchRulesOfSpec(&attempt.spec) != nil {
			sum[attempt.spec.Queue] = sum[attempt.spec.Queue].Plus(attempt.spec.Resources)
		}
	}
	for _, queue := range sortedKeys(sum) {
		out = append(out, wire.QueueUsage{Queue: queue, Resources: sum[queue]})
	}
	return out
}

// loadWithoutBatches returns how many tasks other than batch tasks wait for their start at the agent's worker, and
// the worker's capacity less the resources of all waiting and running tasks other than batch tasks.
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
func (w spareWindow) observe(nowMs int64, amount resource.Amount) spareWindow {
	if w.windows == 0 || nowMs-w.atMs >= spareWindowMs {
		w = spareWindow{current: amount, previous: w.current, windows: w.windows + 1, atMs: nowMs}
	}
	w.current = resource.Amount{
		CPU:    min(w.current.CPU, amount.CPU),
		Memory: min(w.current.Memory, amount.Memory),
		GPU:    min(w.current.GPU, amount.GPU),
	}
	return w
}

// minimum returns the minimum of both windows, or zero until a whole window has been observed.
func (w spareWindow) minimum() resource.Amount {
	if w.windows < 2 {
		return resource.Amount{}
	}
	return resource.Amount{
		CPU:    min(w.current.CPU, w.previous.CPU),
		Memory: min(w.current.Memory, w.previous.Memory),
		GPU:    min(w.current.GPU, w.previous.GPU),
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
func (n *node) mayStartBatch(agent *workerAgent, attempt *agentAttempt, rules *configuration.BatchRules) bool {
	if waiting, _ := agent.loadWithoutBatches(n); waiting > 0 {
		return false
	}
	sum := attempt.spec.Resources
	for _, other := range agent.attempts {
		if other != attempt && n.config.current.SameQueue(other.spec.Queue, attempt.spec.Queue) &&
			(other.state == wire.AttemptOrdered || other.state == wire.AttemptRunning) &&
			n.batchRulesOfSpec(&other.spec) != nil {
			sum = sum.Plus(other.spec.Resources)
		}
	}
	return sum.Fits(agent.capacity.Share(rules.SharePercent))
}

// returnBatches ends batch tasks that could not start here within batchReturnMs, so that their owner places them
// again, and returns the rest of the queue: batch tasks don't wait at a worker.
func (n *node) returnBatches(agent *workerAgent, queue []*agentAttempt) []*agentAttempt {
	returned := false
	queue = slices.DeleteFunc(queue, func(attempt *agentAttempt) bool {
		if n.batchRulesOfSpec(&attempt.spec) == nil || n.now-attempt.queuedMs <= batchReturnMs {
			return false
		}
		attempt.state, attempt.result, returned = wire.AttemptEnded, wire.ResultShed, true
		n.count("batches_returned")
		return true
	})
	if returned {
		n.reportAgent(agent)
	}
	return queue
}
