package quota

import (
	"strconv"
	"testing"

	"otterchute/internal/resource"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

func cpu(v int64) resource.Amount { return resource.Amount{CPU: v} }

// limitsOf returns the limits of one version with a tenant t.
func limitsOf(version int64, limit Limit) *Limits {
	l := &Limits{}
	l.Adopt(version, version-1, map[string]Limit{"t": limit})
	return l
}

// exchange delivers a report of a borrower and the grants in response.
func exchange(c *Counter, b *Borrower, nowMs int64, p CounterConfig) {
	if _, m := b.NextReport(nowMs, p.Limits.Version()); m != nil {
		c.OnReport("owner-"+m.Shard, m)
	}
	for _, g := range c.Lend(p) {
		b.OnGrant(g.Message, nowMs, p.Limits.Version())
	}
}

// Nothing is lent before each shard has reported what it holds.
func TestNothingLentBeforeAllReports(t *testing.T) {
	c := NewCounter("a", 1)
	p := CounterConfig{Shards: []string{"a", "b"}, Limits: limitsOf(1, Limit{CPU: 10})}
	a, b := NewBorrower("a", 1, "a"), NewBorrower("b", 1, "a")
	a.SetCounter("n1", 1)
	b.SetCounter("n1", 1)
	b.Use("t", cpu(6)) // loaded from the records
	a.Claim("t", "j", wire.ShareClaim{Job: "j", Unit: cpu(2), Task: cpu(2), Count: 5}, 0)
	exchange(c, a, 100, p)
	must.False(t, a.Fits("t", cpu(2), Limit{CPU: 10}, 100))
	exchange(c, b, 100, p)
	exchange(c, a, 400, p)
	must.True(t, a.Fits("t", cpu(4), Limit{CPU: 10}, 400))
	must.False(t, a.Fits("t", cpu(6), Limit{CPU: 10}, 400))
	must.Eq(t, cpu(10), c.Lent("t"))
}

// report returns a report of what a shard holds and claims for tenant t.
func report(shard string, seq uint64, version, keep int64, claims ...wire.ShareClaim) *wire.ShareReport {
	return &wire.ShareReport{
		Counter: "a", CounterEpoch: 1, Shard: shard, ShardEpoch: 1, Seq: seq, ConfigVersion: version,
		Accounts: []wire.ShareAccount{{Tenant: "t", Keep: cpu(keep), Used: cpu(keep), Claims: claims}},
	}
}

func claimOf(job string, urgency, submittedMs, unit int64, count int32) wire.ShareClaim {
	return wire.ShareClaim{
		Job: job, Urgency: urgency, SubmittedMs: submittedMs, Unit: cpu(unit), Task: cpu(min(unit, 2)), Count: count,
	}
}

func withWaitMs(claim wire.ShareClaim, ms int64) wire.ShareClaim {
	claim.WaitedMs = ms
	return claim
}

// Claims of shards b and c are granted in order, next to what shard a holds. Each unit is granted
// whole or not at all.
func TestLendInOrder(t *testing.T) {
	const nearLimit, returnFreed = true, true
	for _, tt := range []struct {
		name        string
		limit       Limit
		heldByA     int64
		b, c        wire.ShareClaim
		toB, toC    int64
		nearLimit   bool
		returnFreed bool
	}{
		{"all fit", Limit{CPU: 20}, 0, claimOf("1", 0, 0, 2, 3), claimOf("2", 0, 0, 2, 1), 6, 2, false, false},
		{"near the limit", Limit{CPU: 20}, 10, claimOf("1", 0, 0, 2, 2), claimOf("2", 0, 0, 2, 1), 4, 2, nearLimit, false},
		{
			"the more urgent claim first", Limit{CPU: 10}, 6, claimOf("1", 0, 0, 2, 2), claimOf("2", 1, 9, 2, 2), 0, 4,
			nearLimit, false,
		},
		{
			"the older claim first", Limit{CPU: 10}, 6, claimOf("1", 0, 9, 2, 2), claimOf("2", 0, 0, 2, 1), 2, 2,
			nearLimit, false,
		},
		{"whole units only", Limit{CPU: 10}, 5, claimOf("1", 0, 0, 4, 2), claimOf("2", 0, 1, 6, 1), 4, 0, nearLimit, false},
		{
			"a smaller unit overtakes", Limit{CPU: 10}, 5, claimOf("1", 0, 0, 6, 1), claimOf("2", 0, 1, 2, 1), 0, 2,
			nearLimit, false,
		},
		{
			"capacity is held back for a unit that has waited", Limit{CPU: 10}, 5,
			withWaitMs(claimOf("1", 0, 0, 6, 1), holdBackAfterMs), claimOf("2", 0, 1, 2, 1), 0, 0, nearLimit, returnFreed,
		},
		{
			"not held back after holdBackMs while little is lent", Limit{CPU: 10}, 2,
			withWaitMs(claimOf("1", 0, 0, 9, 1), holdBackAfterMs+holdBackMs), claimOf("2", 0, 1, 2, 1), 0, 2, nearLimit, false,
		},
		{
			"held back until it fits while much is lent", Limit{CPU: 10}, 6,
			withWaitMs(claimOf("1", 0, 0, 6, 1), holdBackAfterMs+holdBackMs), claimOf("2", 0, 1, 2, 1), 0, 0, nearLimit,
			returnFreed,
		},
		{
			"nothing held back for a unit that never fits", Limit{CPU: 10}, 0,
			withWaitMs(claimOf("1", 0, 0, 20, 1), holdBackAfterMs), claimOf("2", 0, 1, 2, 1), 0, 2, false, false,
		},
		{
			"the last task may exceed the limit", Limit{CPU: 10}, 0, claimOf("1", 0, 0, 11, 1), claimOf("2", 0, 1, 2, 1),
			11, 0, nearLimit, returnFreed,
		},
		{
			"the last task may not exceed the limit beside others", Limit{CPU: 10}, 1, claimOf("1", 0, 0, 11, 1),
			claimOf("2", 0, 1, 2, 1), 0, 2, nearLimit, false,
		},
		{
			"more than the limit is held", Limit{CPU: 10}, 11, claimOf("1", 0, 0, 2, 1), claimOf("2", 0, 1, 2, 1), 0, 0,
			nearLimit, returnFreed,
		},
		{"another dimension", Limit{Memory: 10}, 90, claimOf("1", 0, 0, 9, 1), claimOf("2", 0, 1, 9, 1), 9, 9, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := NewCounter("a", 1)
			p := CounterConfig{Shards: []string{"a", "b", "c"}, Limits: limitsOf(1, tt.limit)}
			must.True(t, c.OnReport("n1", report("a", 1, 1, tt.heldByA)))
			must.True(t, c.OnReport("n2", report("b", 1, 1, 0, tt.b)))
			must.SliceEmpty(t, c.Lend(p))
			must.True(t, c.OnReport("n3", report("c", 1, 1, 0, tt.c)))
			grants := c.Lend(p)
			must.Len(t, 3, grants)
			must.Eq(t, []wire.TenantShare{
				{Tenant: "t", Amount: cpu(tt.toB), NearLimit: tt.nearLimit, ReturnFreed: tt.returnFreed},
			}, grants[1].Message.Shares)
			must.Eq(t, []wire.TenantShare{
				{Tenant: "t", Amount: cpu(tt.toC), NearLimit: tt.nearLimit, ReturnFreed: tt.returnFreed},
			}, grants[2].Message.Shares)
			must.SliceEmpty(t, c.Lend(p)) // no changes, no grants
		})
	}
}

// Owners get what they request in advance only while most of the limit is free.
func TestLendPrefetch(t *testing.T) {
	for _, tt := range []struct {
		name                  string
		heldByB, prefetch, to int64
	}{
		{"free", 4, 6, 6},
		{"half is lent", 4, 7, 0},
		{"near the limit", 18, 1, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := NewCounter("a", 1)
			p := CounterConfig{Shards: []string{"a", "b"}, Limits: limitsOf(1, Limit{CPU: 20})}
			c.OnReport("n2", report("b", 1, 1, tt.heldByB))
			prefetch := report("a", 1, 1, 0)
			prefetch.Accounts[0].Prefetch = cpu(tt.prefetch)
			c.OnReport("n1", prefetch)
			must.Eq(t, cpu(tt.to), c.Lend(p)[0].Message.Shares[0].Amount)
		})
	}
}

// A counter with an older configuration than an owner's lends it nothing, since its limit may be the
// higher one. After adopting the newer configuration it still waits for the reports of all shards.
func TestNothingLentToReportsByLaterVersion(t *testing.T) {
	c, limits := NewCounter("a", 1), limitsOf(1, Limit{CPU: 20})
	p := CounterConfig{Shards: []string{"a", "b"}, Limits: limits}
	c.OnReport("n1", report("a", 1, 1, 0, claimOf("1", 0, 0, 2, 2)))
	c.OnReport("n2", report("b", 1, 2, 0, claimOf("2", 0, 0, 2, 9)))
	c.Lend(p)
	must.Eq(t, cpu(4), c.Lent("t"))
	limits.Adopt(2, 1, map[string]Limit{"t": {CPU: 10}})
	c.Lend(p) // shard a has not reported by version 2
	must.Eq(t, cpu(4), c.Lent("t"))
	c.OnReport("n1", report("a", 2, 2, 4))
	must.Eq(t, cpu(10), c.Lend(p)[0].Message.Shares[0].Amount.Plus(cpu(6)))
	must.Eq(t, cpu(10), c.Lent("t"))
}

// When an unlimited tenant gets a limit, owners that haven't adopted it may use more than they
// reported, so nothing is lent until all have.
func TestNothingLentBeforeAllAdoptLimit(t *testing.T) {
	c, limits := NewCounter("a", 1), limitsOf(1, Limit{})
	p := CounterConfig{Shards: []string{"a", "b"}, Limits: limits}
	c.OnReport("n1", report("a", 1, 1, 0))
	c.OnReport("n2", report("b", 1, 1, 0))
	limits.Adopt(2, 1, map[string]Limit{"t": {CPU: 10}})
	c.OnReport("n1", report("a", 2, 2, 0, claimOf("1", 0, 0, 2, 2)))
	for _, grant := range c.Lend(p) {
		must.Eq(t, wire.TenantShare{Tenant: "t", NearLimit: true, ReturnFreed: true}, grant.Message.Shares[0])
	}
	c.OnReport("n2", report("b", 2, 2, 8))
	c.Lend(p)
	must.Eq(t, cpu(10), c.Lent("t"))
}

// borrowerHolding returns a borrower that has reported and received a grant.
func borrowerHolding(amount int64) *Borrower {
	b := NewBorrower("b", 1, "a")
	b.SetCounter("n1", 1)
	_, m := b.NextReport(100, 1)
	b.OnGrant(&wire.ShareGrant{
		Counter: "a", CounterEpoch: 1, Shard: "b", ShardEpoch: 1, Seq: m.Seq, ConfigVersion: 1,
		Shares: []wire.TenantShare{{Tenant: "t", Amount: cpu(amount)}},
	}, 0, 1)
	return b
}

func TestFits(t *testing.T) {
	limit := Limit{CPU: 10}
	for _, tt := range []struct {
		name                 string
		held, used, reserved int64
		amount, task         int64
		atMs                 int64
		fits, fitsReserved   bool
	}{
		{"free", 8, 4, 0, 4, 4, 0, true, true},
		{"not held", 8, 4, 0, 5, 5, 0, false, false},
		{"reserved for it", 8, 4, 4, 4, 4, 0, false, true},
		{"more than reserved for it", 8, 4, 2, 4, 4, 0, false, true},
		{"more than is held", 8, 4, 2, 5, 5, 0, false, false},
		{"the reservation is over", 8, 4, 4, 4, 4, 500, true, true},
		{"alone beyond the limit", 14, 0, 0, 14, 14, 0, true, true},
		{"beside used resources", 14, 4, 0, 8, 8, 0, false, false},
		{"beyond the limit by more than one task", 14, 0, 0, 14, 2, 0, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := borrowerHolding(tt.held)
			if tt.used > 0 {
				b.Use("t", cpu(tt.used))
			}
			b.Reserve("t", "job/0.0", cpu(tt.reserved), 0, 500)
			must.Eq(t, tt.fits, b.Fits("t", cpu(tt.amount), limit, tt.atMs))
			must.Eq(t, tt.fitsReserved, b.FitsReserved("t", "job/0.0", cpu(tt.amount), cpu(tt.task), limit, tt.atMs))
			must.True(t, b.Fits("t", cpu(100), Limit{}, tt.atMs))
		})
	}
}

func TestReserve(t *testing.T) {
	b := borrowerHolding(8)
	b.Reserve("t", "x", cpu(6), 0, 500)
	b.Unreserve("t", "x", cpu(2))
	must.Eq(t, cpu(4), b.Reserved("t", "x", 0))
	must.Eq(t, cpu(0), b.Reserved("t", "x", 500))
	must.Eq(t, cpu(0), b.Reserved("t", "y", 0))
	b.Unreserve("t", "x", cpu(9))
	b.Unreserve("t", "y", cpu(1))
	must.Eq(t, cpu(0), b.Reserved("t", "x", 0))
	must.True(t, b.Fits("t", cpu(8), Limit{CPU: 10}, 0))
}

// A reservation without starts yields for a while if other tasks lack the reserved amount.
func TestYieldReservation(t *testing.T) {
	b := borrowerHolding(8)
	renew := func(nowMs int64) { b.Reserve("t", "x", cpu(6), nowMs, nowMs+500) }
	for now := int64(0); now <= 2*reservationYieldAfterMs; now += 400 {
		renew(now)
		must.False(t, b.YieldReservation("t", "x", now)) // no other task lacks it
	}
	must.False(t, b.YieldReservation("t", "y", 0))
	must.False(t, b.YieldReservation("u", "x", 0))
	b.account("t").nearLimit = true
	must.True(t, b.YieldReservation("t", "x", 2*reservationYieldAfterMs))
	must.Eq(t, cpu(0), b.Reserved("t", "x", 2*reservationYieldAfterMs))
	must.True(t, b.Fits("t", cpu(8), Limit{CPU: 10}, 2*reservationYieldAfterMs))
	must.True(t, b.YieldReservation("t", "x", 2*reservationYieldAfterMs+yieldDurationMs-1))
	must.False(t, b.YieldReservation("t", "x", 2*reservationYieldAfterMs+yieldDurationMs))
	renew(2*reservationYieldAfterMs + yieldDurationMs)
	must.False(t, b.YieldReservation("t", "x", 2*reservationYieldAfterMs+yieldDurationMs))
	must.Eq(t, cpu(6), b.Reserved("t", "x", 2*reservationYieldAfterMs+yieldDurationMs))
}

// Reports are sent when they are due. They keep the recent peak usage and a part of the recent
// starts, but only the current usage if the tenant is near its limit.
func TestNextReport(t *testing.T) {
	b := NewBorrower("b", 1, "a")
	_, m := b.NextReport(100, 1)
	must.Nil(t, m) // no counter is known yet
	b = borrowerHolding(40)
	b.Use("t", cpu(8))
	b.Release("t", cpu(4))
	at := int64(100)
	next := func(afterMs int64) *wire.ShareReport {
		at += afterMs
		_, m := b.NextReport(at, 1)
		if m != nil { // answer it at once
			b.OnGrant(&wire.ShareGrant{
				Counter: "a", CounterEpoch: 1, Shard: "b", ShardEpoch: 1, Seq: m.Seq, ConfigVersion: 1,
			}, at, 1)
		}
		return m
	}
	must.Nil(t, next(idleReportIntervalMs-1))
	m = next(1)
	must.Eq(t, uint64(2), m.Seq)
	must.Eq(t, wire.ShareAccount{Tenant: "t", Keep: cpu(8), Used: cpu(4)}, m.Accounts[0])
	m = next(usageWindowMs)
	must.Eq(t, wire.ShareAccount{Tenant: "t", Keep: cpu(8), Used: cpu(4)}, m.Accounts[0])
	b.Claim("t", "x", claimOf("1", 0, 0, 2, 1), at)
	must.Nil(t, next(minReportIntervalMs-1))
	must.Eq(t, int32(1), next(1).Accounts[0].Claims[0].Count)
	must.Nil(t, next(claimReportIntervalMs-1))
	m = next(1)
	must.Eq(t, int64(minReportIntervalMs+claimReportIntervalMs), m.Accounts[0].Claims[0].WaitedMs)
	b.OnGrant(&wire.ShareGrant{
		Counter: "a", CounterEpoch: 1, Shard: "b", ShardEpoch: 1, Seq: m.Seq, ConfigVersion: 1,
		Shares: []wire.TenantShare{{Tenant: "t", Amount: cpu(8), NearLimit: true}},
	}, 0, 1)
	must.Eq(t, cpu(4), next(minReportIntervalMs).Accounts[0].Keep)
}

// Resources of finished tasks are not reused before a counter has confirmed that the sum of all
// loans is within the limit.
func TestReleaseBeforeFirstGrant(t *testing.T) {
	b := NewBorrower("b", 2, "a")
	b.Use("t", cpu(8)) // placed by a former owner
	b.SetCounter("n1", 1)
	_, m := b.NextReport(100, 1)
	b.Release("t", cpu(2))
	held, used := b.Held("t")
	must.Eq(t, cpu(6), held)
	must.Eq(t, cpu(6), used)
	grant := &wire.ShareGrant{
		Counter: "a", CounterEpoch: 1, Shard: "b", ShardEpoch: 2, Seq: m.Seq, ConfigVersion: 1,
		Shares: []wire.TenantShare{{Tenant: "t", Amount: cpu(8), ReturnFreed: true}},
	}
	must.SliceEmpty(t, b.OnGrant(grant, 0, 1))
	must.False(t, b.Fits("t", cpu(1), Limit{CPU: 10}, 100))
	grant.Shares[0].ReturnFreed = false
	must.Eq(t, []string{"t"}, b.OnGrant(grant, 0, 1))
	must.True(t, b.Fits("t", cpu(2), Limit{CPU: 10}, 100))
	b.Release("t", cpu(2))
	must.True(t, b.Fits("t", cpu(4), Limit{CPU: 10}, 100))
}

// If there are more claims than a report may hold, those renewed in this round are kept.
func TestClaimsAreEvicted(t *testing.T) {
	b := borrowerHolding(0)
	claim := func(from, to int) {
		for i := from; i < to; i++ {
			b.Claim("t", strconv.Itoa(i), claimOf(strconv.Itoa(i), 0, 0, 2, 1), 100)
		}
	}
	b.BeginClaims()
	claim(0, maxClaims+4)
	b.EndClaims()
	must.Eq(t, maxClaims, b.PendingUnits("t"))
	b.BeginClaims()
	claim(maxClaims-1, maxClaims+4) // replaces claims that are not renewed yet
	claim(0, 2)
	b.EndClaims()
	_, m := b.NextReport(200, 1)
	must.Len(t, 7, m.Accounts[0].Claims)
	b.ClearClaims("t")
	must.Eq(t, 0, b.PendingUnits("t"))
	b.BeginClaims()
	b.EndClaims()
	_, m = b.NextReport(300+idleReportIntervalMs, 1)
	must.SliceEmpty(t, m.Accounts)
}

func TestLimitsAdopt(t *testing.T) {
	l := &Limits{}
	must.False(t, l.HasTenants())
	must.Eq(t, []string{"low"}, l.Adopt(4, 3, map[string]Limit{"low": {CPU: 4}, "none": {}})) // version 3 was not seen
	must.Eq(t, nil, l.Adopt(5, 4, map[string]Limit{"low": {CPU: 5}, "none": {}}))
	must.Eq(t, []string{"none"}, l.Adopt(6, 5, map[string]Limit{"low": {CPU: 5, GPU: 0}, "none": {GPU: 1}}))
	must.Eq(t, []string{"low", "none"}, l.Adopt(8, 7, map[string]Limit{"low": {CPU: 9}})) // skipped 7 may have been higher
	must.Eq(t, Limit{GPU: 1}, l.Of("none"))                                               // keeps its last limit
	must.True(t, l.Declared("none"))
	must.False(t, l.Declared("other"))
	must.Eq(t, int64(8), l.Version())
	must.True(t, l.Outdated("low", 7))
	must.False(t, l.Outdated("low", 8))
	must.False(t, l.Outdated("other", 0))
	must.Eq(t, nil, l.Adopt(17, 8, map[string]Limit{"low": {CPU: 9}})) // version numbers may have gaps: none is skipped
	must.Eq(t, nil, l.Adopt(18, 17, nil))                              // nothing is limited any more
	must.False(t, l.HasTenants())
	must.False(t, l.Outdated("low", 0))
}

// An owner whose tasks end all the time used to send reports faster than grants arrive. It never
// got a usable grant, since each one answered a report that was no longer the newest.
func TestReportWaitsForAnswer(t *testing.T) {
	c := NewCounter("a", 1)
	p := CounterConfig{Shards: []string{"a"}, Limits: limitsOf(1, Limit{CPU: 10})}
	b := NewBorrower("a", 1, "a")
	b.SetCounter("n1", 1)
	b.Use("t", cpu(9))
	const roundTripMs = 40 // for a report and its answer
	type delayedGrant struct {
		atMs int64
		m    *wire.ShareGrant
	}
	var inFlight []delayedGrant
	granted := false
	for now := int64(1000); now < 4000 && !granted; now += 10 {
		b.Release("t", cpu(1)) // one task ends and another starts, so a report is due each time
		b.Use("t", cpu(1))
		b.Claim("t", "j/0.0", wire.ShareClaim{Job: "j", Unit: cpu(1), Task: cpu(1), Count: 1}, now)
		if _, m := b.NextReport(now, 1); m != nil {
			c.OnReport("n2", m)
			for _, g := range c.Lend(p) {
				inFlight = append(inFlight, delayedGrant{now + roundTripMs, g.Message})
			}
		}
		for len(inFlight) > 0 && inFlight[0].atMs <= now {
			b.OnGrant(inFlight[0].m, now, 1)
			inFlight = inFlight[1:]
		}
		granted = b.Fits("t", cpu(1), Limit{CPU: 10}, now)
	}
	must.True(t, granted)
}

// A grant is accepted only if it answers the newest report, and not by an older configuration.
func TestOnGrantAcceptsOnlyCurrentGrants(t *testing.T) {
	for _, tt := range []struct {
		name     string
		before   func(*Borrower)
		change   func(*wire.ShareGrant)
		accepted bool
	}{
		{"the answer", func(*Borrower) {}, func(*wire.ShareGrant) {}, true},
		{"by a later version", func(*Borrower) {}, func(m *wire.ShareGrant) { m.ConfigVersion = 3 }, true},
		{"by an earlier version", func(*Borrower) {}, func(m *wire.ShareGrant) { m.ConfigVersion = 1 }, false},
		{"by another counter", func(*Borrower) {}, func(m *wire.ShareGrant) { m.CounterEpoch = 1 }, false},
		{"for a former owner", func(*Borrower) {}, func(m *wire.ShareGrant) { m.ShardEpoch = 1 }, false},
		{"for an earlier report", func(*Borrower) {}, func(m *wire.ShareGrant) { m.Seq-- }, false},
		{"before the limit was lowered", func(b *Borrower) { b.OnLimitLowered("t") }, func(*wire.ShareGrant) {}, false},
		{"by a counter that was replaced", func(b *Borrower) { b.SetCounter("n2", 3) }, func(*wire.ShareGrant) {}, false},
		{"after news of an earlier counter", func(b *Borrower) { b.SetCounter("n2", 1) }, func(*wire.ShareGrant) {}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := NewBorrower("b", 2, "a")
			b.SetCounter("n1", 2)
			b.NextReport(100, 2)
			_, m := b.NextReport(100+idleReportIntervalMs, 2)
			grant := &wire.ShareGrant{
				Counter: "a", CounterEpoch: 2, Shard: "b", ShardEpoch: 2, Seq: m.Seq, ConfigVersion: 2,
				Shares: []wire.TenantShare{{Tenant: "t", Amount: cpu(4)}},
			}
			tt.before(b)
			tt.change(grant)
			must.Eq(t, tt.accepted, len(b.OnGrant(grant, 200+idleReportIntervalMs, 2)) == 1)
			must.Eq(t, tt.accepted, b.Fits("t", cpu(4), Limit{CPU: 10}, 0))
		})
	}
}

// A counter accepts only reports that are addressed to it and newer than the last one.
func TestOnReportAcceptsOnlyNewerReports(t *testing.T) {
	for _, tt := range []struct {
		name     string
		change   func(*wire.ShareReport)
		accepted bool
	}{
		{"the next one", func(m *wire.ShareReport) { m.Seq = 6 }, true},
		{"twice", func(*wire.ShareReport) {}, false},
		{"overtaken", func(m *wire.ShareReport) { m.Seq = 4 }, false},
		{"of the next owner", func(m *wire.ShareReport) { m.ShardEpoch, m.Seq = 3, 1 }, true},
		{"of a former owner", func(m *wire.ShareReport) { m.ShardEpoch, m.Seq = 1, 9 }, false},
		{"to another counter", func(m *wire.ShareReport) { m.CounterEpoch, m.Seq = 2, 6 }, false},
		{"to the counter of other tenants", func(m *wire.ShareReport) { m.Counter, m.Seq = "b", 6 }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := NewCounter("a", 1)
			next := func(keep int64) *wire.ShareReport {
				m := report("b", 5, 1, keep)
				m.ShardEpoch = 2
				return m
			}
			must.True(t, c.OnReport("n1", next(4)))
			m := next(1)
			tt.change(m)
			must.Eq(t, tt.accepted, c.OnReport("n2", m))
			must.Eq(t, tt.accepted, c.Lent("t") == cpu(1))
		})
	}
}
