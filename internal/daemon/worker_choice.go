package daemon

import (
	"cmp"
	"slices"

	"otterchute/internal/configuration"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

// workerChoice holds the data from which workers are chosen for queueable tasks of one step with the same
// requirements. It is collected once for all of them, as a placement changes only one worker.
type workerChoice struct {
	shard          *ownedShard
	queue          *configuration.Queue
	job            *liveJob
	step           int32
	round          int32
	resources      resource.Amount
	requiredLabels []wire.Label
	dataRack       string
	maxPerWorker   int32
	tasksByWorker  map[string]int32           // tasks of the step
	views          []*workerView              // parallel to workers
	workers        []scheduler.QueueCandidate // ordered by name
	anyColocated   bool                       // some agents are colocated; their reports are frequent enough to rely on
	mostSuspect    bool                       // most workers are suspect, so the cause lies elsewhere
	loadChanges    uint64                     // the shard's counter of load changes when this was collected
}

// selectWorker is the local scheduler: it selects a worker at random among the k allowed workers of lowest
// rank, and returns it with the number of candidates.
func (n *node) selectWorker(
	shard *ownedShard, job *liveJob, i int, pass *schedulePass,
) (worker string, candidates int) {
	t := &job.Tasks[i]
	if !pass.choice.isValidFor(shard, job, t) {
		pass.choice = n.newWorkerChoice(shard, job, i, pass.queue)
	}
	choice := pass.choice
	k := n.KLowest
	if !n.Policies.On(scheduler.RankedChoice) {
		k = -1
	}
	workers := choice.workers
	if t.LastFailedWorker != "" && n.Policies.On(scheduler.AvoidLast) {
		workers = choice.avoidingFailures(t)
	}
	at, among := scheduler.ChooseWorker(workers, k, n.rand().IntN)
	if at < 0 {
		return "", 0
	}
	return choice.workers[at].Name, among
}

// avoidingFailures returns the workers for a task that has failed before, with penalties for the worker
// where it last failed and, on its last attempt, for workers with any recent failures.
func (c *workerChoice) avoidingFailures(t *task) []scheduler.QueueCandidate {
	workers := slices.Clone(c.workers)
	if i, found := c.find(t.LastFailedWorker); found {
		workers[i].Penalties |= scheduler.PenaltyLastFailed
	}
	if t.onLastAttempt() {
		for i, w := range c.views {
			if w.recentFailures {
				workers[i].Penalties |= scheduler.PenaltySuspect
			}
		}
	}
	return workers
}

// newWorkerChoice collects the workers where a task may be placed.
func (n *node) newWorkerChoice(shard *ownedShard, job *liveJob, i int, queue *configuration.Queue) *workerChoice {
	t := &job.Tasks[i]
	step := &job.Steps[t.Step]
	c := &workerChoice{
		shard: shard, queue: queue, job: job, step: t.Step, round: t.Round,
		resources: t.Resources, requiredLabels: t.RequiredLabels, dataRack: step.DataRack,
		maxPerWorker: step.MaxPerWorker, loadChanges: shard.loadChanges,
	}
	if step.MaxPerWorker > 0 {
		c.tasksByWorker = job.stepTasksByWorker(i)
	}
	suspects := 0
	for _, name := range sortedKeys(n.workers) {
		w := n.workers[name]
		if n.workerAllowed(w, queue, t.RequiredLabels, t.Resources) &&
			(step.MaxPerWorker == 0 || c.tasksByWorker[name] < step.MaxPerWorker) {
			c.views = append(c.views, w)
			c.workers = append(c.workers, scheduler.QueueCandidate{Name: name})
			c.anyColocated = c.anyColocated || w.colocated
			if w.suspect {
				suspects++
			}
		}
	}
	c.mostSuspect = 2*suspects > len(c.workers)
	for at := range c.workers {
		n.refreshCandidate(c, at)
	}
	return c
}

// refreshCandidate updates the rank, queue and penalties of one worker.
func (n *node) refreshCandidate(c *workerChoice, at int) {
	worker, w := &c.workers[at], c.views[at]
	worker.RankMs = n.ranks.rank(n, worker.Name)
	worker.QueueFull = w.queued >= agentQueueMax/2
	worker.Penalties = n.penaltiesOf(c, worker.Name, w)
}

// penaltiesOf returns the reasons to avoid a worker that apply to all tasks of the step.
func (n *node) penaltiesOf(c *workerChoice, name string, w *workerView) (penalties scheduler.Penalty) {
	enabled := n.Policies.On
	if enabled(scheduler.EjectUnhealthy) && !c.mostSuspect && (n.ranks.ejected(name) || w.suspect) {
		penalties |= n.ejectionPenalty()
	}
	if enabled(scheduler.AvoidSilent) && w.colocated && isQuiet(n.now-w.receivedMs, w.silentMs) {
		penalties |= scheduler.PenaltySilent
	}
	if c.anyColocated && !c.resources.Fits(n.availableResources(c.shard, c.queue, c.job.excess, name, w)) {
		penalties |= scheduler.PenaltyHeadroomOnly
		if !c.resources.Fits(n.freeResources(c.shard, name, w).Plus(n.batchLoad(c.shard, "", name))) {
			penalties |= scheduler.PenaltyFull
		}
	}
	if enabled(scheduler.AvoidLast) && c.job.failedRecentlyAt(name, n.now) {
		penalties |= scheduler.PenaltyJobFailed
	}
	if enabled(scheduler.NearData) && c.dataRack != "" && w.rack != c.dataRack {
		penalties |= scheduler.PenaltyFarFromData
	}
	return penalties
}

// ejectionPenalty returns the penalty of an ejected worker. Normally a task waits for another worker rather
// than use an ejected one. While most of the fleet is free, a task for which all other allowed workers are
// full uses the ejected one, since it must not wait while resources are idle.
func (n *node) ejectionPenalty() scheduler.Penalty {
	if n.fleetIdle() {
		return scheduler.PenaltySuspect
	}
	return scheduler.PenaltyUnhealthy
}

// isValidFor reports whether the collected data applies to a task.
func (c *workerChoice) isValidFor(shard *ownedShard, job *liveJob, t *task) bool {
	return c != nil && c.shard == shard && c.job == job && c.step == t.Step && c.round == t.Round &&
		c.resources == t.Resources && slices.Equal(c.requiredLabels, t.RequiredLabels) && c.loadChanges == shard.loadChanges
}

// find returns a worker's position in workers.
func (c *workerChoice) find(worker string) (at int, found bool) {
	if worker == "" {
		return 0, false
	}
	byName := func(w scheduler.QueueCandidate, name string) int { return cmp.Compare(w.Name, name) }
	return slices.BinarySearchFunc(c.workers, worker, byName)
}

// recordPlacement updates the one worker that has changed since the data was collected: the one where a
// task was placed.
func (n *node) recordPlacement(c *workerChoice, worker string) {
	at, found := c.find(worker)
	if !found {
		return
	}
	c.loadChanges = c.shard.loadChanges
	if c.maxPerWorker > 0 {
		if c.tasksByWorker[worker]++; c.tasksByWorker[worker] >= c.maxPerWorker {
			c.views = slices.Delete(c.views, at, at+1)
			c.workers = slices.Delete(c.workers, at, at+1)
			return
		}
	}
	n.refreshCandidate(c, at)
}
