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
	batchPlanMs  = 2000 // batches are planned anew at this pace; far below batchMarginMs
	batchLearnMs = 2500 // a new owner hears all agents first, or the room would look small and all jobs late
	// percent of the time a batch needs that is kept for it: it is pushed out, runs off its guess,
	// finds half the room
	batchSlackPercent    = 200
	batchMarginMs        = 60_000 // and beside that: a lost worker, a takeover and another attempt
	batchHeadroomPercent = 25     // percent of a worker that stays free when a batch task starts there
	spareWindowMs        = 3000   // batches count on room that was left for so long at the least
	batchStartsTick      = 4      // batch tasks a shard places in one tick
	batchTriesTick       = 64     // and those it looks for a place for
	batchRecheckMs       = 400    // a task that found no place is looked at again after this, about
	batchPauseMs         = 1500   // so long after a more urgent task found no place none is placed
	batchPauseShare      = 4      // nor while something waits at one in so many workers
	batchReturnMs        = 300    // a batch task that can't start at its worker by then goes back
	batchRetryMs         = 1500   // and one that was pushed out waits this long, up to twice
	batchRecordsPercent  = 50     // percent of a shard's records that may be full when a batch is taken
)

// Batch queues: work that may wait for the cheapest hours of a contract, and
// that never takes room from anything more urgent. All that is decided here is
// a function of the job's record, the configuration in force, the fleet's time and what
// agents last told; a new owner comes to the same.

// batchPlan is when a job's tasks may start, by the fleet's time.
type batchPlan struct {
	StartMs    int64
	CloseMs    int64 // the end of the window that it starts in
	OpenMs     int64 // and its beginning
	Price      float64
	DeadlineMs int64
	AtAnyPrice bool // it starts at any price now, to be complete in time
}

// planBatch decides when a job may start that came, or was due, at some time and
// needs some time. It takes the cheapest window that leaves that time before
// the deadline, the first of several; starts are spread over the first half of
// it, or of what of it the job can use, each at a point of its own.
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
		p.StartMs += int64(
			float64(rendezvous.Weight(id, "start")>>11) / (1 << 53) * float64(spread),
		) // what the job needs may be learned anew: its point moves little
	}
	return p
}

// mayStart tells whether a task that takes about so long may start now: within
// the window, and not so late that most of it would lie behind its end.
func (p *batchPlan) mayStart(wallMs, estMs int64) bool {
	if p.AtAnyPrice {
		return wallMs >= p.StartMs
	}
	return wallMs >= p.StartMs && wallMs < p.CloseMs && (wallMs+estMs <= p.CloseMs || estMs > p.CloseMs-p.OpenMs)
}

// batchRules gives the rules that a job is held by. Gangs and lasting tasks, which a
// queue may have had before it took batches, run as they did.
func (n *node) batchRules(j *jobRecord) *configuration.BatchRules {
	q := n.config.current.Queues[j.Queue]
	if q == nil || q.Batch == nil || slices.ContainsFunc(j.Steps, func(s jobStep) bool { return s.Gang || s.LongRunning }) {
		return nil
	}
	return q.Batch
}

// batchRulesOfSpec gives the rules for a task at a worker, if it is a batch's.
func (n *node) batchRulesOfSpec(s *wire.TaskSpec) *configuration.BatchRules {
	if q := n.config.current.Queues[s.Queue]; q != nil && s.Class == wire.ClassQueueable {
		return q.Batch
	}
	return nil
}

// batchFromMs is when the time that a job has to finish began.
func (j *jobRecord) batchFromMs() int64 {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; !t.isTerminal() {
			return max(j.SubmitMs, j.roundDueMs(t.Round))
		}
	}
	return max(j.SubmitMs, j.DueMs)
}

func (n *node) tickBatches(shard *ownedShard) {
	shard.batchStartsInTick, shard.batchTriesInTick, shard.batchUseByWorker = 0, 0, map[queueOnWorker]resource.Amount{}
	n.planBatches(shard)
}

// planBatches plans all batch jobs of a shard anew, those that must finish first
// first: each needs the time of its longest chain, and that of all the work that
// must be done before it in the room that batches may have.
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
		ahead += work * float64(max(1, len(n.core.Shards))) // the other shards hold as much
		need := (int64(ahead)+chain)*batchSlackPercent/100 + batchMarginMs
		p := planBatch(e.r, e.job.ID, e.from, wall, need)
		if p.AtAnyPrice && (e.job.plan == nil || !e.job.plan.AtAnyPrice) {
			n.count("batches_at_any_price")
			n.log("batch_at_any_price", "job", e.job.ID, "queue", e.job.Queue, "need_ms", need, "price", p.Price)
		}
		e.job.plan = &p
	}
}

// batchCapacity is all the room that a queue's batches may have at once.
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

// batchRemaining is what a job still needs, in ms: along its longest chain of steps, and
// of all the room that batches may have.
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
	done := make([]int64, len(job.Steps)) // steps may stand in any order: as many passes as there are settle all
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

// batchMayStart tells whether a pending task of a batch job may start by its hours.
func (n *node) batchMayStart(job *liveJob, t *task, wall int64) bool {
	return job.plan != nil && job.plan.mayStart(wall, n.estimateMs(job, t))
}

// shortOfRoom tells whether more urgent work waits: of this shard for a place, of
// any shard for a firm one, or at many of the workers.
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

// queueOnWorker names a queue's part of a worker.
type queueOnWorker struct{ queue, worker string }

// batchLoad is the room that a queue's batches, or all queues', take at a worker,
// as far as known; it is summed up once in a tick.
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

// batchFraction tells whether a batch task fits at a worker within the batches' share and beside
// what is kept for more urgent work, and what part of the worker its queue's batches hold: the
// worker with the least of that is chosen.
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
	if job.plan.AtAnyPrice { // where most is free: there it is pushed out the least
		free := n.freeResources(shard, worker, w)
		part = 1 - float64(free.CPU)/float64(max(w.capacity.CPU, 1))
	}
	if worker == t.LastFailedWorker {
		part++ // it failed there: anywhere else first
	}
	return part, true
}

// selectBatchWorker is the local scheduler of batches: the allowed worker with the
// least of them, by its size, where nothing more urgent waits and enough room for
// that stays free, counting on what was left over lately. A job that must start now
// takes the worker with the most room, and may take the last of it.
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
		if !n.workerAllowed(w, q, t.RequiredLabels, t.Resources) || w.suspect || w.unstarted > 0 || n.ranks.ejected(name) ||
			step.MaxPerWorker > 0 && used[name] >= step.MaxPerWorker {
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

// explainHeld tells why a task of a batch has not started, and until when.
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
		return fmt.Sprintf("no worker can hold it within the %d percent that batches of this queue may take", r.SharePercent)
	}
	return "waiting for its share of the workers' room" + by
}

// shortOfRoomAnywhere is shortOfRoom for any shard owned here.
func (n *node) shortOfRoomAnywhere() bool {
	for _, shard := range n.shards {
		if n.shortOfRoom(shard) {
			return true
		}
	}
	return false
}

// largestBatchShare is the largest share that one worker has for a queue's batches.
func (n *node) largestBatchShare(queue string, r *configuration.BatchRules) (most resource.Amount) {
	q := n.config.current.Queues[queue]
	for _, w := range n.workers {
		if s := w.capacity.Share(r.SharePercent); n.workerAllowed(w, q, nil, resource.Amount{}) {
			most = resource.Amount{CPU: max(most.CPU, s.CPU), Memory: max(most.Memory, s.Memory), GPU: max(most.GPU, s.GPU)}
		}
	}
	return most
}

// clockText tells a time as the contract's clock shows it.
func clockText(c *configuration.Contract, ms int64) string {
	return time.UnixMilli(ms).In(c.Location()).Format("Mon 2006-01-02 15:04 -07:00")
}

func priceText(p float64) string { return fmt.Sprintf("%g", p) }

// batchRetryAtMs lets a batch task that was pushed out wait before its next try.
func (n *node) batchRetryAtMs(job *liveJob) int64 {
	if n.batchRules(&job.jobRecord) == nil {
		return 0
	}
	return n.now + batchRetryMs + n.rand().Int64N(batchRetryMs)
}

// meterKey names what core seconds are counted by.
type meterKey struct {
	Contract string
	Price    float64
}

// meterBatch counts the core seconds of a run that just ended, at what each
// part of it cost.
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

// recordBatchEnd notes a batch job that is complete, and whether it is late.
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

// batchGauges counts the batch jobs that are held, by their hours or for room,
// and those that must finish at any price.
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

// batchUse is the room that each queue's batches take at a worker.
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

// loadWithoutBatches gives the unstarted tasks at a worker that are no batch's, and the
// room that those and the running ones leave.
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

// spareWindow keeps the least of some room over the last one to two spans of spareWindowMs.
type spareWindow struct {
	current, previous resource.Amount
	windows           int // spans seen
	atMs              int64
}

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

// least gives nothing until a whole span was seen.
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

// allocationsWait tells whether firm work has waited for room some time.
func (n *node) allocationsWait(c *centralScheduler) bool {
	for _, request := range c.pending {
		if n.now-request.firstMs > batchPauseMs && request.hasOpen() {
			return true
		}
	}
	return false
}

// mayStartBatch guards a worker's room once more when a batch task would start:
// nothing more urgent waits there, and its queue stays within its share.
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

// returnBatches gives back batch tasks that could not start here at once, and
// leaves the others in the queue: batches never wait at a worker.
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
