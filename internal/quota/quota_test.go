package quota

import (
	"testing"

	"otterchute/internal/resource"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

func cpu(v int64) resource.Amount { return resource.Amount{CPU: v} }

func limited(v int64) func(string) Limit {
	return func(string) Limit { return Limit{CPU: v} }
}

// exchange has a borrower report and takes the answers.
func exchange(c *Counter, b *Borrower, nowMs int64, p Policy) {
	if _, m := b.Report(nowMs, p.Version); m != nil {
		c.OnReport("owner-"+m.Shard, m)
	}
	for _, g := range c.Lend(p) {
		b.OnGrant(g.Message, nowMs, p.Version)
	}
}

// Nothing is lent before each shard has told what it holds.
func TestCounterWaitsForEachShard(t *testing.T) {
	c := NewCounter("a", 1)
	p := Policy{Version: 1, Shards: []string{"a", "b"}, LimitOf: limited(10)}
	a, b := NewBorrower("a", 1, "a"), NewBorrower("b", 1, "a")
	a.CounterIs("n1", 1)
	b.CounterIs("n1", 1)
	b.Use("t", cpu(6)) // loaded from its records
	a.Claim("t", "j", wire.ShareClaim{Job: "j", Unit: cpu(2), Task: cpu(2), Count: 5}, 0)
	exchange(c, a, 100, p)
	must.False(t, a.Fits("t", cpu(2), Limit{CPU: 10}, 100))
	exchange(c, b, 100, p)
	exchange(c, a, 400, p)
	must.True(t, a.Fits("t", cpu(4), Limit{CPU: 10}, 400))
	must.False(t, a.Fits("t", cpu(6), Limit{CPU: 10}, 400))
	must.Eq(t, cpu(10), c.Lent("t"))
}

// A busy owner, whose tasks end all the time, got no grant for as long as its reports followed
// each other faster than a grant takes to come: each one was for a report that was overtaken.
func TestReportWaitsForAnswer(t *testing.T) {
	c := NewCounter("a", 1)
	p := Policy{Version: 1, Shards: []string{"a"}, LimitOf: limited(10)}
	b := NewBorrower("a", 1, "a")
	b.CounterIs("n1", 1)
	b.Use("t", cpu(9))
	const wayMs = 40 // of a report and its answer
	type flight struct {
		atMs int64
		m    *wire.ShareGrant
	}
	var onWay []flight
	granted := false
	for now := int64(1000); now < 4000 && !granted; now += 10 {
		b.Release("t", cpu(1)) // one ends, another is started: the owner has news each time
		b.Use("t", cpu(1))
		b.Claim("t", "j/0.0", wire.ShareClaim{Job: "j", Unit: cpu(1), Task: cpu(1), Count: 1}, now)
		if _, m := b.Report(now, 1); m != nil {
			c.OnReport("n2", m)
			for _, g := range c.Lend(p) {
				onWay = append(onWay, flight{now + wayMs, g.Message})
			}
		}
		for len(onWay) > 0 && onWay[0].atMs <= now {
			b.OnGrant(onWay[0].m, now, 1)
			onWay = onWay[1:]
		}
		granted = b.Fits("t", cpu(1), Limit{CPU: 10}, now)
	}
	must.True(t, granted)
}
