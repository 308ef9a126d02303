package daemon

import (
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

const (
	learnedMax  = 4096 // run-time estimates a daemon keeps
	learnedTell = 500  // of them told to all others in one round
)

type estimate struct {
	meanMs float64
	usedMs int64 // when a run last ended here; 0 where others told it
	shared bool
}

func (n *node) estimateMs(js *jobState, t *task) int64 {
	if js.Steps[t.Step].Alike && t.HintMs > 0 {
		percent := 100.0
		if e := n.estimates[js.Queue+"/%"]; e != nil && n.Policies.On(scheduler.LearnedEstimates) {
			percent = e.meanMs
		}
		return max(int64(float64(t.HintMs)*percent/100), 1)
	}
	if e := n.estimates[js.Queue+"/"+t.Name]; e != nil {
		return int64(e.meanMs)
	}
	if t.HintMs > 0 {
		return t.HintMs
	}
	return min(5000, t.LimitMs) // nothing known yet
}

// recordRunTime takes one run's time: into its name's mean, or into how far the guesses
// of its queue are off, in percent.
func (n *node) recordRunTime(js *jobState, t *task, ranMs int64) {
	if ranMs <= 0 {
		return // nobody saw how long it took
	}
	if js.Steps[t.Step].Alike && t.HintMs > 0 {
		n.learnRunTime(js.Queue, "%", min(100*ranMs/t.HintMs, 1000))
		return
	}
	n.learnRunTime(js.Queue, t.Name, ranMs)
}

// learnRunTime takes one run's time into the mean of its queue's task name.
func (n *node) learnRunTime(queue, name string, ranMs int64) {
	e := n.estimateOf(queue+"/"+name, float64(ranMs))
	e.meanMs += 0.2 * (float64(ranMs) - e.meanMs) // an even memory of about the last ten runs
	e.usedMs, e.shared = n.now, false
}

// estimateOf gives an estimate, made with a first mean where there is none; the
// longest unused one makes room.
func (n *node) estimateOf(key string, meanMs float64) *estimate {
	e := n.estimates[key]
	if e == nil {
		if len(n.estimates) >= learnedMax {
			oldest, usedMs := "", int64(0)
			for k, o := range n.estimates {
				if oldest == "" || o.usedMs < usedMs || o.usedMs == usedMs && k < oldest {
					oldest, usedMs = k, o.usedMs
				}
			}
			delete(n.estimates, oldest)
		}
		e = &estimate{meanMs: meanMs}
		n.estimates[key] = e
	}
	return e
}

// tickEstimates tells all daemons that may own a shard what this one learned since the last round, so
// that estimates outlive their owner: whoever takes a shard has them.
func (n *node) tickEstimates() {
	if n.now < n.learnedAt || len(n.owned) == 0 {
		return
	}
	n.learnedAt = n.now + rankMs
	m := &wire.Estimates{}
	for _, key := range sorted(n.estimates) {
		if e := n.estimates[key]; !e.shared && len(m.Means) < learnedTell {
			e.shared = true
			m.Means = append(m.Means, wire.Estimate{Key: key, MeanMs: e.meanMs})
		}
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
		if e := n.estimateOf(v.Key, v.MeanMs); n.now-e.usedMs > rankStaleMs { // what was seen here itself lately counts more
			e.meanMs, e.shared = v.MeanMs, true
		}
	}
}
