package daemon

import (
	"slices"

	"otterchute/internal/configuration"
	"otterchute/internal/wire"
)

// explainWait returns why a task has not started, or "" for a task that has started or ended.
func (n *node) explainWait(job *liveJob, t *task) string {
	i := slices.IndexFunc(
		job.Tasks,
		func(x task) bool { return x.Round == t.Round && x.Step == t.Step && x.IndexInStep == t.IndexInStep },
	)
	rt := &job.runtime[i]
	switch {
	case t.State == taskPlaced && rt.silentSinceMs != 0:
		return "its worker " + t.Worker + " is silent and the run unsettled; " +
			"once it surely runs nothing: otterchute workers lost " + t.Worker
	case t.State == taskPlaced && rt.state == wire.AttemptQueued:
		return "queued at its worker"
	case t.State != taskPending:
		return ""
	case job.roundDueMs(t.Round) > n.clusterTime():
		return "not due yet"
	case !job.readySteps(job.committed)[job.stepIndex(t)]:
		return "steps before it have not all ended well"
	case n.now < rt.retryAtMs && (t.Failures > 0 || job.plan == nil):
		return "backing off after a failure"
	case n.config.current.Queue(job.Queue) == nil:
		return "its queue is not in the setup"
	}
	if reason := n.explainNoWorker(job, t); reason != "" {
		return reason
	}
	if reason := n.explainHeld(job, t); reason != "" {
		return reason
	}
	if reason := n.explainShare(job, i); reason != "" {
		return reason
	}
	return "waiting for room"
}

// explainNoWorker returns why no worker could run a task even if all were idle, or "" if one could. If workers have
// different obstacles, it returns the least one, in the order of reasons.
func (n *node) explainNoWorker(job *liveJob, t *task) string {
	reasons := []string{"", "all allowed workers are leaving or in emptied sites", "all allowed workers are silent",
		"no allowed worker has so much room", "no worker of its queue's group has the labels it needs"}
	queue, nearest := n.config.current.Queue(job.Queue), len(reasons)-1
	for _, name := range sortedKeys(n.workers) {
		worker, obstacle := n.workers[name], 0
		_, lacksLabel := configuration.MissingLabel(worker.labels, t.RequiredLabels)
		switch {
		case lacksLabel || !queue.Matches(worker.labels, worker.zone):
			obstacle = 4
		case !t.Resources.Fits(worker.capacity):
			obstacle = 3
		case n.now-worker.receivedMs > workerSilentMs || worker.silentMs > workerSilentMs:
			obstacle = 2
		case worker.leaving || n.config.current.EmptyZones[worker.zone]:
			obstacle = 1
		}
		nearest = min(nearest, obstacle)
	}
	return reasons[nearest]
}
