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
		b.OnGrant(g.Message, p.Version)
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
