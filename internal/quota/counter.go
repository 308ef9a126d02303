package quota

import (
	"cmp"
	"maps"
	"slices"

	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

const (
	// Smaller units may overtake a unit that doesn't fit for holdBackAfterMs. After that, the
	// capacity that becomes free is held back for the unit, so that a gang isn't starved by
	// single tasks. While less than holdBackPercent of the limit is lent, the two phases
	// alternate, and capacity is held back for holdBackMs at a time, so that a gang doesn't
	// starve single tasks either.
	holdBackAfterMs = 1000
	holdBackMs      = 2000
	holdBackPercent = 50
	// maxPrefetchPercent is the part of a limit that may be lent before it is needed. If more than
	// nearLimitPercent is lent, owners return what they don't use at once.
	maxPrefetchPercent = 50
	nearLimitPercent   = 75
)

// CounterConfig is the configuration that a counter applies.
type CounterConfig struct {
	Shards []string // all shards that may borrow
	Limits *Limits
}

// Counter lends the limits of the tenants assigned to one counting shard to the owners of all
// shards.
type Counter struct {
	shard  string
	epoch  uint64
	shards map[string]*shardLoans
}

// shardLoans holds what is lent to the owner of one shard, starting from its newest report.
type shardLoans struct {
	owner           string
	epoch           uint64 // of the shard
	seq             uint64 // of the newest report
	version         int64  // configuration version of the owner
	loans           map[string]*tenantLoan
	grantDue        bool  // a loan changed since the last grant, or a new report arrived
	answeredVersion int64 // configuration version of the last grant
}

// tenantLoan holds what is lent to one shard for one tenant.
type tenantLoan struct {
	amount    resource.Amount
	used      resource.Amount
	prefetch  resource.Amount // requested before it is needed
	claims    []wire.ShareClaim
	nearLimit bool
	// returnFreed makes the owner return the resources of finished tasks, too.
	returnFreed bool
}

// Grant is a grant message and the owner to send it to.
type Grant struct {
	To      string
	Message *wire.ShareGrant
}

// NewCounter returns a counter for an epoch of the counting shard, without any reports.
//
// Example: counter := quota.NewCounter("fukuoka-a", epoch)
func NewCounter(shard string, epoch uint64) *Counter {
	return &Counter{shard: shard, epoch: epoch, shards: map[string]*shardLoans{}}
}

// OnReport records what the owner of a shard holds. It returns false for a report to another
// counter, and for one that is not newer than the last report of the shard.
func (c *Counter) OnReport(from string, m *wire.ShareReport) bool {
	if m.Counter != c.shard || m.CounterEpoch != c.epoch {
		return false
	}
	if l := c.shards[m.Shard]; l != nil {
		if m.ShardEpoch < l.epoch || m.ShardEpoch == l.epoch && m.Seq <= l.seq {
			return false
		}
	}
	l := &shardLoans{
		owner: from, epoch: m.ShardEpoch, seq: m.Seq, version: m.ConfigVersion,
		loans: map[string]*tenantLoan{}, grantDue: true,
	}
	for _, a := range m.Accounts {
		l.loans[a.Tenant] = &tenantLoan{
			amount: larger(a.Keep, a.Used), used: a.Used, prefetch: a.Prefetch, claims: slices.Clone(a.Claims),
			returnFreed: true, // until Lend has compared the sum of all shards with the limit
		}
	}
	c.shards[m.Shard] = l
	return true
}

// HasAllReports reports whether every shard has reported. Until then nothing is lent.
func (c *Counter) HasAllReports(shards []string) bool {
	for _, shard := range shards {
		if c.shards[shard] == nil {
			return false
		}
	}
	return true
}

// Lend lends free parts of the limits to the shards that claim them, and returns the grants to send.
func (c *Counter) Lend(p CounterConfig) []Grant {
	if !c.HasAllReports(p.Shards) {
		return nil
	}
	for _, tenant := range c.tenants() { // borrowers claim nothing for a tenant without a known limit
		if c.allReportedAt(p.Shards, p.Limits.LoweredIn(tenant)) {
			c.lendToTenant(tenant, p.Limits)
		} else {
			c.setFlags(tenant, true, true)
		}
	}
	return c.pendingGrants(p.Limits.Version())
}

// allReportedAt reports whether every shard has reported under the given version or a later one.
// Before that, an owner may hold more than it reported: under an earlier version the tenant may
// have been unlimited.
func (c *Counter) allReportedAt(shards []string, version int64) bool {
	for _, shard := range shards {
		if l := c.shards[shard]; l != nil && l.version < version {
			return false
		}
	}
	return true
}

// tenants returns the names of all tenants in the reports of the shards, sorted.
func (c *Counter) tenants() []string {
	names := map[string]bool{}
	for _, l := range c.shards {
		for tenant := range l.loans {
			names[tenant] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// shardClaim is one claim of one shard.
type shardClaim struct {
	*wire.ShareClaim
	shard string
	loan  *tenantLoan
}

// claims returns the claims of all shards for a tenant, the most urgent and then the oldest first.
// Claims made under a later version than the counter's are left out: that version may have a lower
// limit.
func (c *Counter) claims(tenant string, version int64) (claims []shardClaim) {
	for _, shard := range slices.Sorted(maps.Keys(c.shards)) {
		loan := c.shards[shard].loans[tenant]
		if loan == nil || c.shards[shard].version > version {
			continue
		}
		for i := range loan.claims {
			claims = append(claims, shardClaim{&loan.claims[i], shard, loan})
		}
	}
	slices.SortStableFunc(claims, func(a, b shardClaim) int {
		return cmp.Or(cmp.Compare(b.Urgency, a.Urgency), cmp.Compare(a.SubmittedMs, b.SubmittedMs), cmp.Compare(a.Job, b.Job))
	})
	return claims
}

// Lent returns the total amount lent to all shards for a tenant.
func (c *Counter) Lent(tenant string) (sum resource.Amount) {
	for _, l := range c.shards { // the order doesn't affect the sum
		if loan := l.loans[tenant]; loan != nil {
			sum = sum.Plus(loan.amount)
		}
	}
	return sum
}

// lendToTenant grants the claims for one tenant in order, and then the requested prefetch if all are
// satisfied.
func (c *Counter) lendToTenant(tenant string, limits *Limits) {
	limit := limits.Of(tenant)
	sum, unsatisfied, heldBack := c.Lent(tenant), false, false
	for _, claim := range c.claims(tenant, limits.Version()) {
		for claim.Count > 0 && limit.admitsUnit(sum, claim.Unit, claim.Task) {
			claim.loan.amount, sum = claim.loan.amount.Plus(claim.Unit), sum.Plus(claim.Unit)
			claim.Count--
			c.shards[claim.shard].grantDue = true
		}
		if claim.Count == 0 || !limit.AdmitsAlone(claim.Unit, claim.Task) {
			continue // a unit that exceeds the whole limit doesn't delay others
		}
		phasesAlternate := limit.scaled(holdBackPercent).Admits(sum)
		if heldBack = (!unsatisfied || !phasesAlternate) && limit.holdsBack(sum, claim.WaitedMs); heldBack {
			unsatisfied = true
			break
		}
		unsatisfied = true
	}
	if !unsatisfied {
		sum = c.lendPrefetch(tenant, limits, sum)
	}
	c.setFlags(tenant, unsatisfied || !limit.scaled(nearLimitPercent).Admits(sum), heldBack || !limit.Admits(sum))
}

// holdsBack reports whether a unit that has waited this long keeps free capacity from later claims.
func (l Limit) holdsBack(sum resource.Amount, waitedMs int64) bool {
	if waitedMs >= holdBackAfterMs && !l.scaled(holdBackPercent).Admits(sum) {
		return true
	}
	return waitedMs%(holdBackAfterMs+holdBackMs) >= holdBackAfterMs
}

// lendPrefetch lends what owners request in advance, as long as at most maxPrefetchPercent of the limit
// is lent in total.
func (c *Counter) lendPrefetch(tenant string, limits *Limits, sum resource.Amount) resource.Amount {
	prefetchLimit := limits.Of(tenant).scaled(maxPrefetchPercent)
	for _, shard := range slices.Sorted(maps.Keys(c.shards)) {
		l := c.shards[shard]
		loan := l.loans[tenant]
		if loan == nil || loan.prefetch == (resource.Amount{}) || l.version > limits.Version() {
			continue
		}
		if next := sum.Plus(loan.prefetch); prefetchLimit.Admits(next) {
			loan.amount, sum = loan.amount.Plus(loan.prefetch), next
			loan.prefetch = resource.Amount{}
			l.grantDue = true
		}
	}
	return sum
}

// setFlags sets the nearLimit and returnFreed flags of a tenant in all shards.
func (c *Counter) setFlags(tenant string, nearLimit, returnFreed bool) {
	for _, l := range c.shards {
		loan := l.loans[tenant]
		if loan != nil && (loan.nearLimit != nearLimit || loan.returnFreed != returnFreed) {
			loan.nearLimit, loan.returnFreed, l.grantDue = nearLimit, returnFreed, true
		}
	}
}

// pendingGrants returns a grant for each owner that has changed loans, an unanswered report, or a
// last grant under another configuration version.
func (c *Counter) pendingGrants(version int64) (grants []Grant) {
	for _, shard := range slices.Sorted(maps.Keys(c.shards)) {
		l := c.shards[shard]
		if !l.grantDue && l.answeredVersion == version {
			continue
		}
		l.grantDue, l.answeredVersion = false, version
		m := &wire.ShareGrant{
			Counter: c.shard, CounterEpoch: c.epoch, Shard: shard, ShardEpoch: l.epoch, Seq: l.seq, ConfigVersion: version,
		}
		for _, tenant := range slices.Sorted(maps.Keys(l.loans)) {
			loan := l.loans[tenant]
			m.Shares = append(m.Shares, wire.TenantShare{
				Tenant: tenant, Amount: loan.amount, NearLimit: loan.nearLimit, ReturnFreed: loan.returnFreed,
			})
		}
		grants = append(grants, Grant{To: l.owner, Message: m})
	}
	return grants
}

// Usage is what is lent to one tenant, used by its tasks, and claimed for them.
type Usage struct {
	Tenant  string
	Lent    resource.Amount
	Used    resource.Amount
	Claimed int // number of units that wait for a loan
	// WaitedMs is the longest waiting time of a claim, as of the newest report of its shard.
	WaitedMs int64
}

// Usages returns what is lent, used and claimed, by tenant.
func (c *Counter) Usages() (usages []Usage) {
	for _, tenant := range c.tenants() {
		u := Usage{Tenant: tenant, Lent: c.Lent(tenant)}
		for _, l := range c.shards {
			loan := l.loans[tenant]
			if loan == nil {
				continue
			}
			u.Used = u.Used.Plus(loan.used)
			for _, claim := range loan.claims {
				u.Claimed += int(claim.Count)
				if claim.Count > 0 {
					u.WaitedMs = max(u.WaitedMs, claim.WaitedMs)
				}
			}
		}
		usages = append(usages, u)
	}
	return usages
}
