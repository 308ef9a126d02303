package daemon

import (
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

// defaultEstimateMs is what a task is expected to take of which nothing is known, if its limit allows.
const defaultEstimateMs = 5000

// hintScaleKey is the name under which a queue's mean of how far guesses are off is learned,
// in percent.
func hintScaleKey(queue string) string { return queue + "/%" }

// hasEstimateHint tells whether a task's caller has guessed how long it runs.
func (j *liveJob) hasEstimateHint(t *task) bool {
	return j.Steps[t.Step].Uniform && t.EstimateHintMs > 0
}

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

// recordRunTime takes one run's time: into its name's mean, or into how far the guesses
// of its queue are off, in percent.
func (n *node) recordRunTime(job *liveJob, t *task, ranMs int64) {
	if ranMs <= 0 {
		return // nobody saw how long it took
	}
	if job.hasEstimateHint(t) {
		n.estimates.Learn(hintScaleKey(job.Queue), float64(min(100*ranMs/t.EstimateHintMs, 1000)), n.now)
		return
	}
	n.estimates.Learn(job.Queue+"/"+t.Name, float64(ranMs), n.now)
}

// tickEstimates tells all daemons that may own a shard what this one learned since the last round, so
// that estimates outlive their owner: whoever takes a shard has them.
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
		if name != n.Name && !n.peers.Describe(name).Colocated { // agents place nothing
			n.send(name, m)
		}
	}
}

func (n *node) onEstimates(_ string, m *wire.Estimates) {
	for _, v := range m.Means {
		n.estimates.MergeRemote(v.Key, v.MeanMs, n.now, rankStaleMs)
	}
}
