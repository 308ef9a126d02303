package quota

import (
	"cmp"
	"maps"
	"slices"

	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

const (
	// A unit that doesn't fit may be overtaken by smaller ones for holdBackAfterMs; then what gets
	// free is kept for it, so that a gang doesn't wait for ever beside single tasks. Where less than
	// holdBackPercent of the limit is lent meanwhile it is so for holdBackMs, and so on by turns:
	// they don't wait for long beside a gang, either.
	holdBackAfterMs = 1000
	holdBackMs      = 2000
	holdBackPercent = 50
	// maxAheadPercent of a limit is lent ahead of need at most; above tightPercent owners give back
	// at once what they don't use.
	maxAheadPercent = 50
	tightPercent    = 75
)

// Policy is what the counter's configuration says now.
type Policy struct {
	Shards []string // all that may use shares
	Limits *Limits
}

// Counter counts what the tenants of one counting shard may have running in each shard.
type Counter struct {
	shard  string
	epoch  uint64
	shards map[string]*shardLoans
}

// shardLoans is what one shard's owner was lent, by its newest report.
type shardLoans struct {
	owner           string
	epoch           uint64 // of the shard
	seq             uint64
	version         int64 // of the configuration that the owner went by
	loans           map[string]*loan
	grantDue        bool  // since the last grant was sent; a new report is always answered
	answeredVersion int64 // the version that the last grant was by
}

type loan struct {
	amount resource.Amount
	used   resource.Amount
	ahead  resource.Amount
	claims []wire.ShareClaim
	tight  bool
	// giveBack: what ends is to be given back, too, and not replaced.
	giveBack bool
}

// Grant is a message for a shard's owner.
type Grant struct {
	To      string
	Message *wire.ShareGrant
}

// NewCounter begins to count under an epoch of the counting shard, knowing nothing.
//
// Example: counter := quota.NewCounter("fukuoka-a", epoch)
func NewCounter(shard string, epoch uint64) *Counter {
	return &Counter{shard: shard, epoch: epoch, shards: map[string]*shardLoans{}}
}

// OnReport takes what a shard's owner says it holds. It gives false for a report to another
// counter, or one that a later report has overtaken.
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
		loans: map[string]*loan{}, grantDue: true,
	}
	for _, a := range m.Accounts {
		l.loans[a.Tenant] = &loan{
			amount: larger(a.Keep, a.Used), used: a.Used, ahead: a.Ahead, claims: slices.Clone(a.Claims),
			giveBack: true, // until it is counted beside the others
		}
	}
	c.shards[m.Shard] = l
	return true
}

// Complete tells whether each shard has reported: before that nothing is lent.
func (c *Counter) Complete(shards []string) bool {
	for _, shard := range shards {
		if c.shards[shard] == nil {
			return false
		}
	}
	return true
}

// Lend lends what is free to those that claim it, and gives the messages that tell them.
func (c *Counter) Lend(p Policy) []Grant {
	if !c.Complete(p.Shards) {
		return nil
	}
	for _, tenant := range c.tenants() { // a borrower that knows no limit asks for nothing
		if c.allReportedAt(p.Shards, p.Limits.LoweredIn(tenant)) {
			c.lendToTenant(tenant, p.Limits)
		} else {
			c.setFlags(tenant, true, true)
		}
	}
	return c.grants(p.Limits.Version())
}

// allReportedAt tells whether each shard has reported by a version or a later one. Before that, an
// owner may hold more than it said: by an earlier version the tenant may have had no limit.
func (c *Counter) allReportedAt(shards []string, version int64) bool {
	for _, shard := range shards {
		if l := c.shards[shard]; l != nil && l.version < version {
			return false
		}
	}
	return true
}

// tenants gives all that some shard has an account of, in order.
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
	loan  *loan
}

// claims gives what shards claim of a tenant's limit, the most urgent and oldest first. Those by
// a later version than the counter's wait: it may have a lower limit.
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

// Lent is what all shards may use of a tenant's limit.
func (c *Counter) Lent(tenant string) (sum resource.Amount) {
	for _, l := range c.shards { // a sum: the order does not matter
		if loan := l.loans[tenant]; loan != nil {
			sum = sum.Plus(loan.amount)
		}
	}
	return sum
}

func (c *Counter) lendToTenant(tenant string, limits *Limits) {
	limit := limits.Of(tenant)
	sum, unsatisfied, heldBack := c.Lent(tenant), false, false
	for _, claim := range c.claims(tenant, limits.Version()) {
		for claim.Count > 0 && limit.admitsUnit(sum, claim.Unit, claim.Task) {
			claim.loan.amount, sum = claim.loan.amount.Plus(claim.Unit), sum.Plus(claim.Unit)
			claim.Count--
			c.shards[claim.shard].grantDue = true
		}
		if claim.Count == 0 || !limit.EverAdmits(claim.Unit, claim.Task) {
			continue // what the whole limit is too low for waits for a higher one
		}
		takesTurns := limit.scaled(holdBackPercent).Admits(sum)
		if heldBack = (!unsatisfied || !takesTurns) && limit.holdsBack(sum, claim.WaitedMs); heldBack {
			unsatisfied = true
			break
		}
		unsatisfied = true
	}
	if !unsatisfied {
		sum = c.lendAhead(tenant, limits, sum)
	}
	c.setFlags(tenant, unsatisfied || !limit.scaled(tightPercent).Admits(sum), heldBack || !limit.Admits(sum))
}

// holdsBack tells whether a unit that has waited so long keeps what gets free from those behind it.
func (l Limit) holdsBack(sum resource.Amount, waitedMs int64) bool {
	if waitedMs >= holdBackAfterMs && !l.scaled(holdBackPercent).Admits(sum) {
		return true
	}
	return waitedMs%(holdBackAfterMs+holdBackMs) >= holdBackAfterMs
}

// lendAhead lends what owners like to have at hand, while most of the limit is free.
func (c *Counter) lendAhead(tenant string, limits *Limits, sum resource.Amount) resource.Amount {
	limit := limits.Of(tenant).scaled(maxAheadPercent)
	for _, shard := range slices.Sorted(maps.Keys(c.shards)) {
		l := c.shards[shard]
		loan := l.loans[tenant]
		if loan == nil || loan.ahead == (resource.Amount{}) || l.version > limits.Version() {
			continue
		}
		if next := sum.Plus(loan.ahead); limit.Admits(next) {
			loan.amount, sum = loan.amount.Plus(loan.ahead), next
			loan.ahead = resource.Amount{}
			l.grantDue = true
		}
	}
	return sum
}

// setFlags has owners told whether to give back at once what they don't use, and what ends.
func (c *Counter) setFlags(tenant string, tight, giveBack bool) {
	for _, l := range c.shards {
		loan := l.loans[tenant]
		if loan != nil && (loan.tight != tight || loan.giveBack != giveBack) {
			loan.tight, loan.giveBack, l.grantDue = tight, giveBack, true
		}
	}
}

// grants gives a grant for each owner of whose shares something has changed.
func (c *Counter) grants(version int64) (grants []Grant) {
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
				Tenant: tenant, Amount: loan.amount, Tight: loan.tight, GiveBack: loan.giveBack,
			})
		}
		grants = append(grants, Grant{To: l.owner, Message: m})
	}
	return grants
}

// Usage is what a counter knows of one tenant.
type Usage struct {
	Tenant  string
	Lent    resource.Amount
	Used    resource.Amount
	Claimed int // units that wait for a share
	// WaitedMs is how long the oldest of them has waited, as its shard's owner last told.
	WaitedMs int64
}

// Usages tells what is lent, used and claimed, by tenant.
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
