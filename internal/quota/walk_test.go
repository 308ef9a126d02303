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

// Whatever is lost, late, doubled or overtaken, whoever fails over or believes to count, and
// whatever versions are in force at once: no start takes a tenant above its limit.
func TestWalks(t *testing.T) {
	starts := 0
	for seed := *fromFlag; seed < *fromFlag+*seedsFlag; seed++ {
		m := newModel(seed)
		for step := range walkSteps {
			m.step()
			must.Eq(t, "", m.fault, must.Sprintf("-seeds 1 -from %d, step %d", seed, step))
		}
		starts += m.starts
	}
	t.Logf("%d walks, %d starts", *seedsFlag, starts)
}

const (
	roundMs  = 100 // ticks of daemons that nothing fails at
	runMs    = 300 // what each task takes in such rounds
	settleMs = 30_000
)

// calm delivers nothing that was sent before, and has all daemons go by the newest version.
func (m *model) calm() {
	m.inbox, m.formers, m.countings = nil, nil, m.countings[len(m.countings)-1:]
	for _, d := range m.daemons {
		if d.limits.Version() < m.newest() {
			m.adopt(d, m.newest())
		}
	}
}

// round is one tick of each owner with all messages delivered at once, and what agents do meanwhile.
func (m *model) round() {
	m.nowMs += roundMs
	c := m.counting()
	for _, shard := range modelShards {
		o := m.owners[shard]
		o.borrower.SetCounter(c.daemon.name, c.epoch)
		m.pass(o)
		if _, report := o.borrower.NextReport(m.nowMs, o.daemon.limits.Version()); report != nil {
			m.deliver(modelMessage{report: report})
		}
	}
	m.lend(c)
	for len(m.inbox) > 0 {
		message := m.inbox[0]
		m.inbox = m.inbox[1:]
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
	m.forget()
}

// roundsUntil counts rounds until something holds, and gives up at most.
func (m *model) roundsUntil(most int, holds func() bool) (rounds int) {
	for ; rounds < most && !holds(); rounds++ {
		m.round()
	}
	return rounds
}

// Whatever went wrong before: once messages arrive and nobody fails, each claim is granted, also of
// gangs and of tasks larger than the limit, and all that is lent comes back.
func TestWalksSettle(t *testing.T) {
	for seed := *fromFlag; seed < *fromFlag+*seedsFlag/3; seed++ {
		m := newModel(seed)
		for range 300 {
			m.step()
		}
		m.calm()
		limit := m.limitInForce()
		most := settleMs / roundMs
		rounds := m.roundsUntil(most, func() bool {
			return len(m.placed) == 0 && !slices.ContainsFunc(m.waiting, func(u *modelUnit) bool {
				return limit.admitsUnit(resource.Amount{}, u.amount(), u.task)
			})
		})
		must.Less(t, most, rounds, must.Sprintf("-seeds 3 -from %d: %d units wait", seed, len(m.waiting)))
		must.Eq(t, "", m.fault, must.Sprintf("-seeds 3 -from %d", seed))
	}
}

// settled is a model of one version in which each shard has reported.
func settled(limit int64) *model {
	m := newModel(1)
	m.steady = true
	m.publish(Limit{CPU: limit})
	m.calm()
	for range 5 {
		m.round()
	}
	return m
}

// A claim that fits is granted with the first report that holds it.
func TestClaimsAreGrantedAtOnce(t *testing.T) {
	m := settled(10)
	u := m.submit("b", 8, 1, false)
	must.Eq(t, 1, m.roundsUntil(9, func() bool { return len(u.runs) > 0 }))
}

// Two gangs that each need most of the limit don't hold a part of it each: both run.
func TestGangsOfTwoShards(t *testing.T) {
	m := settled(10)
	m.submit("a", 2, 4, true)
	m.submit("b", 2, 4, true)
	m.submit("c", 2, 4, true)
	must.Less(t, 40, m.roundsUntil(40, func() bool { return len(m.waiting) == 0 }))
}

// Beside single tasks that keep coming a gang that needs nearly the whole limit gets its turn; and
// so do they beside gangs that keep coming.
func TestGangBesideSingles(t *testing.T) {
	const mostMs = 3 * (holdBackAfterMs + holdBackMs)
	for _, gangs := range []int{1, 3} {
		m := settled(10)
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
			must.Eq(t, "", m.fault)
			for _, u := range m.waiting {
				longest = max(longest, m.nowMs-u.sinceMs)
			}
			m.waiting = m.waiting[:min(len(m.waiting), 12)]
		}
		must.Less(t, mostMs, longest, must.Sprintf("%d shards with gangs", gangs))
	}
}

// The next counter lends as soon as each owner has reported to it once, and starts within what
// owners hold need no counter.
func TestCounterFailsOver(t *testing.T) {
	m := settled(10)
	held := m.submit("a", 2, 1, false)
	m.roundsUntil(9, func() bool { return len(held.runs) > 0 })
	m.nextCounter()
	m.calm()
	u := m.submit("b", 5, 1, false)
	must.Eq(t, 1, m.roundsUntil(9, func() bool { return len(u.runs) > 0 }))
	must.Eq(t, "", m.fault)
}
