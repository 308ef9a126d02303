package daemon

import (
	"cmp"
	"slices"

	"otterchute/internal/configuration"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

// workerChoice is what the choice of a worker goes by for queueable tasks of one step that ask
// for the same. It is gathered once for all of them: a placement changes one worker alone.
type workerChoice struct {
	shard       *ownedShard
	queue       *configuration.Queue
	job         *liveJob
	step        int32
	round       int32
	resources   resource.Amount
	needs       []wire.Label
	near        string
	perWorker   int32
	used        map[string]int32 // tasks of the step by worker
	views       []*workerView
	workers     []scheduler.QueueCandidate // in the order of their names
	pinned      bool                       // agents stand beside workers: they can tell what room is left
	mostSuspect bool                       // most workers are: then it isn't the workers
	loadChanges uint64                     // of the shard, when this was gathered
}

// selectWorker is the local scheduler: at random among the k allowed workers of lowest rank.
// It tells among how many it drew, too.
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

// avoidingFailures gives the workers for a task that failed before: not where it last did, and for
// its last attempt not where anything speaks against the worker.
func (c *workerChoice) avoidingFailures(t *task) []scheduler.QueueCandidate {
	workers := slices.Clone(c.workers)
	if at, found := c.find(t.LastFailedWorker); found {
		workers[at].Penalties |= scheduler.PenaltyLastFailed
	}
	if t.onLastAttempt() {
		for at, w := range c.views {
			if w.recentFailures {
				workers[at].Penalties |= scheduler.PenaltySuspect
			}
		}
	}
	return workers
}

// newWorkerChoice gathers the workers that a task may go to.
func (n *node) newWorkerChoice(shard *ownedShard, job *liveJob, i int, q *configuration.Queue) *workerChoice {
	t := &job.Tasks[i]
	step := &job.Steps[t.Step]
	c := &workerChoice{
		shard: shard, queue: q, job: job, step: t.Step, round: t.Round, resources: t.Resources, needs: t.RequiredLabels,
		near: step.DataRack, perWorker: step.MaxPerWorker, loadChanges: shard.loadChanges,
	}
	if step.MaxPerWorker > 0 {
		c.used = job.stepTasksByWorker(i)
	}
	suspects := 0
	for _, name := range sortedKeys(n.workers) {
		w := n.workers[name]
		if n.workerAllowed(w, q, t.RequiredLabels, t.Resources) && (step.MaxPerWorker == 0 || c.used[name] < step.MaxPerWorker) {
			c.views = append(c.views, w)
			c.workers = append(c.workers, scheduler.QueueCandidate{Name: name})
			c.pinned = c.pinned || w.colocated
			if w.suspect {
				suspects++
			}
		}
	}
	c.mostSuspect = 2*suspects > len(c.workers)
	for at := range c.workers {
		n.observeChoosable(c, at)
	}
	return c
}

// observeChoosable takes what is known now of one worker.
func (n *node) observeChoosable(c *workerChoice, at int) {
	worker, w := &c.workers[at], c.views[at]
	worker.RankMs = n.ranks.rank(n, worker.Name)
	worker.QueueFull = w.queued >= agentQueueMax/2
	worker.Penalties = n.shunOf(c, worker.Name, w)
}

// shunOf gives the reasons to place a task elsewhere that hold for all tasks of a step.
func (n *node) shunOf(c *workerChoice, name string, w *workerView) (shun scheduler.Penalty) {
	on := n.Policies.On
	if on(scheduler.EjectUnhealthy) && !c.mostSuspect && (n.ranks.ejected(name) || w.suspect) {
		shun |= n.shunOfEjected()
	}
	if on(scheduler.AvoidSilent) && w.colocated && isQuiet(n.now-w.receivedMs, w.silentMs) {
		shun |= scheduler.PenaltySilent
	}
	if c.pinned && !c.resources.Fits(n.availableRoom(c.shard, c.queue, c.job.excess, name, w)) {
		shun |= scheduler.PenaltyHeadroomOnly
		if !c.resources.Fits(n.freeResources(c.shard, name, w).Plus(n.batchLoad(c.shard, "", name))) {
			shun |= scheduler.PenaltyFull
		}
	}
	if on(scheduler.AvoidLast) && c.job.failedLatelyAt(name, n.now) {
		shun |= scheduler.PenaltyJobFailed
	}
	if on(scheduler.NearData) && c.near != "" && w.rack != c.near {
		shun |= scheduler.PenaltyFarFromData
	}
	return shun
}

// shunOfEjected is how much is given to have a task elsewhere than at an ejected worker: it waits
// for another one, but not while most of the fleet is free. Then all others that it may use are
// full, and it must not stand still beside room.
func (n *node) shunOfEjected() scheduler.Penalty {
	if n.fleetIdle() {
		return scheduler.PenaltySuspect
	}
	return scheduler.PenaltyUnhealthy
}

// isValidFor tells whether what was gathered holds for a task.
func (c *workerChoice) isValidFor(shard *ownedShard, job *liveJob, t *task) bool {
	return c != nil && c.shard == shard && c.job == job && c.step == t.Step && c.round == t.Round &&
		c.resources == t.Resources && slices.Equal(c.needs, t.RequiredLabels) && c.loadChanges == shard.loadChanges
}

// find gives a worker's position.
func (c *workerChoice) find(worker string) (at int, found bool) {
	if worker == "" {
		return 0, false
	}
	byName := func(w scheduler.QueueCandidate, name string) int { return cmp.Compare(w.Name, name) }
	return slices.BinarySearchFunc(c.workers, worker, byName)
}

// recordPlacement takes note of a task that went to a worker, the only thing that has changed since.
func (n *node) recordPlacement(c *workerChoice, worker string) {
	at, found := c.find(worker)
	if !found {
		return
	}
	c.loadChanges = c.shard.loadChanges
	if c.perWorker > 0 {
		if c.used[worker]++; c.used[worker] >= c.perWorker {
			c.views = slices.Delete(c.views, at, at+1)
			c.workers = slices.Delete(c.workers, at, at+1)
			return
		}
	}
	n.observeChoosable(c, at)
}
