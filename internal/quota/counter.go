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
	// aheadPercent of a limit is lent ahead of need at most; above tightPercent owners give back
	// at once what they don't use.
	aheadPercent = 50
	tightPercent = 75
)

// CounterConfig is what the counter's configuration says now.
type CounterConfig struct {
	Shards []string // all that may use shares
	Limits *Limits
}

// Counter counts what the tenants of one counting shard may have running in each shard.
type Counter struct {
	shard  string
	epoch  uint64
	shards map[string]*lent
}

// lent is what one shard's owner was lent, by its newest report.
type lent struct {
	owner    string
	epoch    uint64 // of the shard
	seq      uint64
	version  int64 // of the configuration that the owner went by
	accounts map[string]*lentAccount
	changed  bool  // since the last grant was sent; a new report is always answered
	answered int64 // the version that the last grant was by
}

type lentAccount struct {
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
	return &Counter{shard: shard, epoch: epoch, shards: map[string]*lent{}}
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
	l := &lent{
		owner: from, epoch: m.ShardEpoch, seq: m.Seq, version: m.ConfigVersion,
		accounts: map[string]*lentAccount{}, changed: true,
	}
	for _, a := range m.Accounts {
		l.accounts[a.Tenant] = &lentAccount{
			amount: larger(a.Keep, a.Used), used: a.Used, ahead: a.Prefetch, claims: slices.Clone(a.Claims),
			giveBack: true, // until it is counted beside the others
		}
	}
	c.shards[m.Shard] = l
	return true
}

// HasAllReports tells whether each shard has reported: before that nothing is lent.
func (c *Counter) HasAllReports(shards []string) bool {
	for _, shard := range shards {
		if c.shards[shard] == nil {
			return false
		}
	}
	return true
}

// Lend lends what is free to those that claim it, and gives the messages that tell them.
func (c *Counter) Lend(p CounterConfig) []Grant {
	if !c.HasAllReports(p.Shards) {
		return nil
	}
	for _, tenant := range c.tenants() { // a borrower that knows no limit asks for nothing
		if c.adopted(p.Shards, p.Limits.LoweredIn(tenant)) {
			c.lendTo(tenant, p.Limits)
		} else {
			c.mark(tenant, true, true)
		}
	}
	return c.messages(p.Limits.Version())
}

// adopted tells whether each shard has reported by a version or a later one. Before that, an
// owner may hold more than it said: by an earlier version the tenant may have had no limit.
func (c *Counter) adopted(shards []string, version int64) bool {
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
		for tenant := range l.accounts {
			names[tenant] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// shardClaim is one claim of one shard.
type shardClaim struct {
	*wire.ShareClaim
	shard   string
	account *lentAccount
}

// claims gives what shards claim of a tenant's limit, the most urgent and oldest first. Those by
// a later version than the counter's wait: it may have a lower limit.
func (c *Counter) claims(tenant string, version int64) (claims []shardClaim) {
	for _, shard := range slices.Sorted(maps.Keys(c.shards)) {
		account := c.shards[shard].accounts[tenant]
		if account == nil || c.shards[shard].version > version {
			continue
		}
		for i := range account.claims {
			claims = append(claims, shardClaim{&account.claims[i], shard, account})
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
		if account := l.accounts[tenant]; account != nil {
			sum = sum.Plus(account.amount)
		}
	}
	return sum
}

func (c *Counter) lendTo(tenant string, limits *Limits) {
	limit := limits.Of(tenant)
	sum, short, heldBack := c.Lent(tenant), false, false
	for _, claim := range c.claims(tenant, limits.Version()) {
		for claim.Count > 0 && limit.admitsUnit(sum, claim.Unit, claim.Task) {
			claim.account.amount, sum = claim.account.amount.Plus(claim.Unit), sum.Plus(claim.Unit)
			claim.Count--
			c.shards[claim.shard].changed = true
		}
		if claim.Count == 0 || !limit.AdmitsAlone(claim.Unit, claim.Task) {
			continue // what the whole limit is too low for waits for a higher one
		}
		byTurns := limit.share(holdBackPercent).Admits(sum)
		if heldBack = (!short || !byTurns) && limit.holdsBack(sum, claim.WaitedMs); heldBack {
			short = true
			break
		}
		short = true
	}
	if !short {
		sum = c.lendAhead(tenant, limits, sum)
	}
	c.mark(tenant, short || !limit.share(tightPercent).Admits(sum), heldBack || !limit.Admits(sum))
}

// holdsBack tells whether a unit that has waited so long keeps what gets free from those behind it.
func (l Limit) holdsBack(sum resource.Amount, waitedMs int64) bool {
	if waitedMs >= holdBackAfterMs && !l.share(holdBackPercent).Admits(sum) {
		return true
	}
	return waitedMs%(holdBackAfterMs+holdBackMs) >= holdBackAfterMs
}

// lendAhead lends what owners like to have at hand, while most of the limit is free.
func (c *Counter) lendAhead(tenant string, limits *Limits, sum resource.Amount) resource.Amount {
	most := limits.Of(tenant).share(aheadPercent)
	for _, shard := range slices.Sorted(maps.Keys(c.shards)) {
		l := c.shards[shard]
		account := l.accounts[tenant]
		if account == nil || account.ahead == (resource.Amount{}) || l.version > limits.Version() {
			continue
		}
		if next := sum.Plus(account.ahead); most.Admits(next) {
			account.amount, sum = account.amount.Plus(account.ahead), next
			account.ahead = resource.Amount{}
			l.changed = true
		}
	}
	return sum
}

// mark has owners told whether to give back at once what they don't use, and what ends.
func (c *Counter) mark(tenant string, tight, giveBack bool) {
	for _, l := range c.shards {
		account := l.accounts[tenant]
		if account != nil && (account.tight != tight || account.giveBack != giveBack) {
			account.tight, account.giveBack, l.changed = tight, giveBack, true
		}
	}
}

// messages gives a grant for each owner of whose shares something has changed.
func (c *Counter) messages(version int64) (grants []Grant) {
	for _, shard := range slices.Sorted(maps.Keys(c.shards)) {
		l := c.shards[shard]
		if !l.changed && l.answered == version {
			continue
		}
		l.changed, l.answered = false, version
		m := &wire.ShareGrant{
			Counter: c.shard, CounterEpoch: c.epoch, Shard: shard, ShardEpoch: l.epoch, Seq: l.seq, ConfigVersion: version,
		}
		for _, tenant := range slices.Sorted(maps.Keys(l.accounts)) {
			account := l.accounts[tenant]
			m.Shares = append(m.Shares, wire.TenantShare{
				Tenant: tenant, Amount: account.amount, NearLimit: account.tight, ReturnFreed: account.giveBack,
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
			account := l.accounts[tenant]
			if account == nil {
				continue
			}
			u.Used = u.Used.Plus(account.used)
			for _, claim := range account.claims {
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
