package daemon

import (
	"slices"

	"otterchute/internal/configuration"
	"otterchute/internal/wire"
)

// explainWait tells an operator why a task has not started.
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
	case job.roundDueMs(t.Round) > n.fleetTime():
		return "not due yet"
	case !job.readySteps(job.committed)[job.stepIndex(t)]:
		return "steps before it have not all ended well"
	case n.now < rt.retryAtMs && (t.Failures > 0 || job.plan == nil):
		return "backing off after a failure"
	case n.config.current.Queues[job.Queue] == nil:
		return "its queue is not in the setup"
	}
	if why := n.explainNoWorker(job, t); why != "" {
		return why
	}
	if why := n.explainHeld(job, t); why != "" {
		return why
	}
	if why := n.explainShare(job, i); why != "" {
		return why
	}
	return "waiting for room"
}

// explainNoWorker says why no worker may have a task, however free: the reason of
// the worker that comes nearest.
func (n *node) explainNoWorker(job *liveJob, t *task) string {
	reasons := []string{"", "all allowed workers are leaving or in emptied sites", "all allowed workers are silent",
		"no allowed worker has so much room", "no worker of its queue's group has the labels it needs"}
	q, best := n.config.current.Queues[job.Queue], len(reasons)-1
	for _, name := range sortedKeys(n.workers) {
		w, at := n.workers[name], 0
		_, lack := configuration.MissingLabel(w.labels, t.RequiredLabels)
		switch {
		case lack || !q.Matches(w.labels, w.zone):
			at = 4
		case !t.Resources.Fits(w.capacity):
			at = 3
		case n.now-w.receivedMs > workerSilentMs || w.silentMs > workerSilentMs:
			at = 2
		case w.leaving || n.config.current.EmptyZones[w.zone]:
			at = 1
		}
		best = min(best, at)
	}
	return reasons[best]
}
