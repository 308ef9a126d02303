package daemon

import (
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

// defaultEstimateMs is the estimated run time of a task without a hint or earlier runs, capped by its run limit.
const defaultEstimateMs = 5000

// hintScaleKey returns the key of the learned mean ratio of run time to hint in a queue, in percent.
func hintScaleKey(queue string) string { return queue + "/%" }

// hasEstimateHint reports whether a task belongs to a uniform step for which the submitter estimated the run time.
func (j *liveJob) hasEstimateHint(t *task) bool {
	return j.Steps[t.Step].Uniform && t.EstimateHintMs > 0
}

// estimateMs returns a task's expected run time. For a uniform step with a hint that is the hint, scaled by the learned
// ratio of the queue; otherwise the learned mean of the task's name, else the hint as given, else a default.
func (n *node) estimateMs(job *liveJob, t *task) int64 {
	if job.hasEstimateHint(t) {
		percent := 100.0
		if mean, known := n.estimates.Mean(hintScaleKey(job.Queue)); known && n.Policies.On(scheduler.LearnedEstimates) {
			percent = mean
		}
		return max(int64(float64(t.EstimateHintMs)*percent/100), 1)
	}
	if mean, known := n.estimates.Mean(job.Queue + "/" + t.Name); known {
		return int64(mean)
	}
	if t.EstimateHintMs > 0 {
		return t.EstimateHintMs
	}
	return min(defaultEstimateMs, t.LimitMs)
}

// recordRunTime adds the run time of a finished attempt to the learned means: to the ratio of run time to hint of the
// queue if hasEstimateHint, otherwise to the mean of the task's name.
func (n *node) recordRunTime(job *liveJob, t *task, ranMs int64) {
	if ranMs <= 0 {
		return // the run time was not measured
	}
	if job.hasEstimateHint(t) {
		n.estimates.Learn(hintScaleKey(job.Queue), float64(min(100*ranMs/t.EstimateHintMs, 1000)), n.now)
		return
	}
	n.estimates.Learn(job.Queue+"/"+t.Name, float64(ranMs), n.now)
}

// tickEstimates sends the means learned since the last exchange to all daemons that may own a shard, so that a new
// owner of a shard has them.
func (n *node) tickEstimates() {
	if n.now < n.nextEstimatesMs || len(n.shards) == 0 {
		return
	}
	n.nextEstimatesMs = n.now + rankIntervalMs
	m := &wire.Estimates{}
	for _, name := range n.estimates.TakeUnshared() {
		mean, _ := n.estimates.Mean(name)
		m.Means = append(m.Means, wire.Estimate{Key: name, MeanMs: mean})
	}
	if len(m.Means) == 0 {
		return
	}
	for _, name := range n.peers.AliveNames() {
		if name != n.Name && !n.peers.Describe(name).Colocated { // a daemon beside a worker owns no shard
			n.send(name, m)
		}
	}
}

// onEstimates merges the means that another daemon has learned.
func (n *node) onEstimates(_ string, m *wire.Estimates) {
	for _, estimate := range m.Means {
		n.estimates.MergeRemote(estimate.Key, estimate.MeanMs, n.now, rankStaleMs)
	}
}
