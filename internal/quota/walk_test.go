package quota

import (
	"flag"
	"slices"
	"testing"

	"otterchute/internal/resource"

	"github.com/shoenig/test/must"
)

var (
	seedsFlag = flag.Uint64("seeds", 1500, "random walks of the model")
	fromFlag  = flag.Uint64("from", 1, "the first seed")
)

const walkSteps = 1200

// No start exceeds the limit of its tenant, with lost, late, duplicated and reordered messages,
// failovers, superseded counters, and several configuration versions in use at once.
func TestRandomWalksKeepLimits(t *testing.T) {
	starts := 0
	for seed := *fromFlag; seed < *fromFlag+*seedsFlag; seed++ {
		m := newModel(seed)
		for step := range walkSteps {
			m.step()
			must.Eq(t, "", m.violation, must.Sprintf("-seeds 1 -from %d, step %d", seed, step))
		}
		starts += m.starts
	}
	t.Logf("%d walks, %d starts", *seedsFlag, starts)
}

const (
	roundMs       = 100 // tick interval of daemons without faults
	runMs         = 300 // run time of each task in such rounds
	convergenceMs = 30_000
)

// heal drops all messages in flight and former owners and counters, and makes all daemons adopt the
// newest version.
func (m *model) heal() {
	m.inFlight, m.formerOwners, m.counters = nil, nil, m.counters[len(m.counters)-1:]
	for _, d := range m.daemons {
		if d.limits.Version() < m.newestVersion() {
			m.adopt(d, m.newestVersion())
		}
	}
}

// round simulates one tick of each owner and agent, with immediate delivery of all messages.
func (m *model) round() {
	m.nowMs += roundMs
	c := m.currentCounter()
	for _, shard := range modelShards {
		o := m.owners[shard]
		o.borrower.SetCounter(c.daemon.name, c.epoch)
		m.schedulePass(o)
		if _, report := o.borrower.NextReport(m.nowMs, o.daemon.limits.Version()); report != nil {
			m.deliver(modelMessage{report: report})
		}
	}
	m.lend(c)
	for len(m.inFlight) > 0 {
		message := m.inFlight[0]
		m.inFlight = m.inFlight[1:]
		m.deliver(message)
	}
	for _, r := range m.runs(func(*modelRun) bool { return true }) {
		r.committed = true
		if !r.started && !r.ended {
			m.start(r, pick(m, m.daemons))
		}
		r.ended = r.ended || m.nowMs-r.unit.placedMs >= runMs
		if r.ended && !r.released {
			m.release(r)
		}
		r.recorded = r.released
	}
	m.removeFinished()
}

// roundsUntil plays rounds until a condition holds, at most maxRounds, and returns their number.
func (m *model) roundsUntil(maxRounds int, done func() bool) (rounds int) {
	for ; rounds < maxRounds && !done(); rounds++ {
		m.round()
	}
	return rounds
}

// After any faults, once messages arrive and nothing fails, every claim is granted, including those
// of gangs and of tasks larger than the limit, and all tasks run and end.
func TestRandomWalksConverge(t *testing.T) {
	for seed := *fromFlag; seed < *fromFlag+*seedsFlag/3; seed++ {
		m := newModel(seed)
		for range 300 {
			m.step()
		}
		m.heal()
		limit := m.highestAppliedLimit()
		maxRounds := convergenceMs / roundMs
		rounds := m.roundsUntil(maxRounds, func() bool {
			return len(m.placed) == 0 && !slices.ContainsFunc(m.waiting, func(u *modelUnit) bool {
				return limit.admitsUnit(resource.Amount{}, u.amount(), u.task)
			})
		})
		must.Less(t, maxRounds, rounds, must.Sprintf("-seeds 3 -from %d: %d units wait", seed, len(m.waiting)))
		must.Eq(t, "", m.violation, must.Sprintf("-seeds 3 -from %d", seed))
	}
}

// convergedModel returns a model with a fixed limit in which each shard has reported.
func convergedModel(limit int64) *model {
	m := newModel(1)
	m.fixedLimit = true
	m.publish(Limit{CPU: limit})
	m.heal()
	for range 5 {
		m.round()
	}
	return m
}

// A claim that fits is granted in response to the first report that includes it.
func TestClaimGrantedInFirstRound(t *testing.T) {
	m := convergedModel(10)
	u := m.submit("b", 8, 1, false)
	must.Eq(t, 1, m.roundsUntil(9, func() bool { return len(u.runs) > 0 }))
}

// Gangs of different shards that each need most of the limit don't block each other by holding a
// part of it each: all of them run.
func TestGangsOfSeveralShardsAllRun(t *testing.T) {
	m := convergedModel(10)
	m.submit("a", 2, 4, true)
	m.submit("b", 2, 4, true)
	m.submit("c", 2, 4, true)
	must.Less(t, 40, m.roundsUntil(40, func() bool { return len(m.waiting) == 0 }))
}

// A gang that needs nearly the whole limit isn't starved by a stream of single tasks, and single
// tasks aren't starved by a stream of gangs.
func TestGangsAndSingleTasksMakeProgress(t *testing.T) {
	const maxWaitMs = 3 * (holdBackAfterMs + holdBackMs)
	for _, gangs := range []int{1, 3} {
		m := convergedModel(10)
		m.submit("c", 3, 3, true)
		var longest int64
		for range 400 {
			for i, shard := range modelShards {
				if len(m.waiting) < 8 {
					m.submit(shard, 1, 1, false)
				}
				if i < gangs-1 && m.rng.IntN(10) == 0 {
					m.submit(shard, 3, 3, true)
				}
			}
			m.round()
			must.Eq(t, "", m.violation)
			for _, u := range m.waiting {
				longest = max(longest, m.nowMs-u.sinceMs)
			}
			m.waiting = m.waiting[:min(len(m.waiting), 12)]
		}
		must.Less(t, maxWaitMs, longest, must.Sprintf("gangs on %d shards", gangs))
	}
}

// A new counter lends as soon as each owner has reported to it once. Starts within the held amounts
// need no counter.
func TestCounterFailover(t *testing.T) {
	m := convergedModel(10)
	held := m.submit("a", 2, 1, false)
	m.roundsUntil(9, func() bool { return len(held.runs) > 0 })
	m.replaceCounter()
	m.heal()
	u := m.submit("b", 5, 1, false)
	must.Eq(t, 1, m.roundsUntil(9, func() bool { return len(u.runs) > 0 }))
	must.Eq(t, "", m.violation)
}
