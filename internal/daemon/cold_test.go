package daemon

import (
	"slices"
	"testing"

	"otterchute/internal/historycheck"
	"otterchute/internal/lease"
)

// TestMeasureRecovery measures, in simulated ms, how long after a fault the roles of each kind are held
// again, and when the next task starts.
func TestMeasureRecovery(t *testing.T) {
	if !*measureFlag {
		t.Skip("only with -measure")
	}
	for _, fault := range []string{"first start", "power of all", "owner killed", "agent killed", "central killed"} {
		var shardsMs, agentsMs, centralMs, startMs []int64
		for seed := range uint64(40) {
			w := newWorld(500+seed, historycheck.Deployments[[]string{"hakata", "ikenna"}[seed%2]])
			at := w.nowMs()
			roles := append([]string{"central", "slice/east", "slice/mid", "slice/west"}, agentRoles(w)...)
			if fault != "first start" {
				w.until(20_000, func() bool { return w.holderOf("central") != nil })
				w.putSetup(1, w.deployment.InitialConfiguration(), nil)
				w.traffic(60_000)
				w.run(15_000)
				if fault == "power of all" {
					undo := w.killAll(true)
					w.run(3000)
					undo()
				} else {
					role := map[string]string{"owner killed": "slice/east", "agent killed": "agent/w04", "central killed": "central"}[fault]
					roles = []string{role}
					w.killHolder(role)
				}
				at = w.nowMs()
			}
			from := len(w.history)
			done := map[string]int64{}
			w.until(20_000, func() bool {
				for _, d := range roles {
					h := w.holderOf(d)
					if _, ok := done[d]; ok || h == nil {
						continue
					}
					kind, _ := lease.SplitRole(d)
					if kind == lease.KindAgent && !h.executor.node.agents[d[6:]].rebuilt {
						continue
					}
					done[d] = w.nowMs() - at
				}
				return len(done) == len(roles)
			})
			for d, ms := range done {
				switch kind, _ := lease.SplitRole(d); kind {
				case lease.KindAgent:
					agentsMs = append(agentsMs, ms)
				case lease.KindCentral:
					centralMs = append(centralMs, ms)
				default:
					shardsMs = append(shardsMs, ms)
				}
			}
			if i := slices.IndexFunc(w.history[from:], func(e historycheck.Event) bool { return e.Kind == historycheck.Start }); i >= 0 {
				startMs = append(startMs, w.history[from+i].AtMs-at)
			}
		}
		t.Logf("| %s | shards %d / %d | agents rebuilt %d / %d | central %d / %d | first start %d / %d |", fault, percentile(shardsMs, .5), percentile(shardsMs, 1),
			percentile(agentsMs, .5), percentile(agentsMs, 1), percentile(centralMs, .5), percentile(centralMs, 1), percentile(startMs, .5), percentile(startMs, 1))
	}
}

func agentRoles(w *world) []string {
	var out []string
	for _, name := range sortedKeys(w.workers) {
		out = append(out, "agent/"+name)
	}
	return out
}
