package quota

import (
	"maps"
	"slices"

	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

const (
	minReportIntervalMs     = 10   // between two reports to one counter
	answerTimeoutMs         = 250  // how long the next report waits for the answer to the last one
	claimReportIntervalMs   = 250  // a report with claims is repeated, since either message may be lost
	idleReportIntervalMs    = 1000 // a report without claims is repeated
	usageWindowMs           = 2000 // starts and usage of this period determine what to hold
	prefetchDivisor         = 4    // a quarter of the starts of a window is held in advance
	reservationYieldAfterMs = 2000 // a reservation without starts yields to other tasks after this time
	yieldDurationMs         = 1000 // how long it yields
	maxClaims               = 16   // per tenant in a report, the most urgent ones
)

// Borrower tracks what the owner of one shard holds of the limits of all tenants of one counter.
type Borrower struct {
	shard         string
	epoch         uint64
	counterShard  string
	counterDaemon string // the daemon that runs the counter, as far as known
	counterEpoch  uint64
	seq           uint64 // of the newest report
	reportedMs    int64
	reportDue     bool

	answered   bool  // the newest report was answered, see answerTimeoutMs
	answeredMs int64 // when a grant last answered the report that was then the newest
	accounts   map[string]*account
}

// account holds the state of one tenant.
type account struct {
	held      resource.Amount
	used      resource.Amount
	reserved  map[string]reservation // by job and step, for starts whose placement was requested
	claims    []*claim
	nearLimit bool
	// reusesReleased means that resources of finished tasks may be used for other starts: a counter
	// has confirmed that the sum of all loans is within the limit. Before that, other shards may
	// use as much already.
	reusesReleased     bool
	reducedSinceReport bool // less is held than the newest report says

	windowStartMs int64
	started       resource.Amount // since windowStartMs
	prefetch      resource.Amount // to hold in advance, by the starts of the previous window
	peak          resource.Amount // maximum of used since windowStartMs
	lastPeak      resource.Amount // peak of the previous window
}

// reservation is an amount held for the starts of one step.
type reservation struct {
	amount  resource.Amount
	sinceMs int64
	untilMs int64
	yielded bool // other tasks have priority until untilMs
}

// claim is a wire.ShareClaim and the time since when it has been waiting.
type claim struct {
	wire.ShareClaim
	key     string
	sinceMs int64
	renewed bool // since the last BeginClaims
}

// NewBorrower returns a borrower without accounts for an owner's epoch of a shard.
//
// Example: borrower := quota.NewBorrower("oita-d", epoch, "fukuoka-a")
func NewBorrower(shard string, epoch uint64, counterShard string) *Borrower {
	return &Borrower{shard: shard, epoch: epoch, counterShard: counterShard, accounts: map[string]*account{}}
}

func (b *Borrower) account(tenant string) *account {
	a := b.accounts[tenant]
	if a == nil {
		a = &account{reserved: map[string]reservation{}}
		b.accounts[tenant] = a
	}
	return a
}

// SetCounter sets the daemon that runs the counter, and its epoch. It ignores earlier epochs:
// what an earlier counter lends may already be lent by a later one.
func (b *Borrower) SetCounter(name string, epoch uint64) {
	if name == "" || epoch < b.counterEpoch || epoch == b.counterEpoch && name == b.counterDaemon {
		return
	}
	b.counterDaemon, b.counterEpoch, b.reportDue, b.answered = name, epoch, true, true
}

// Use records the placement of a task, by this owner or a former one.
func (b *Borrower) Use(tenant string, amount resource.Amount) {
	a := b.account(tenant)
	a.used = a.used.Plus(amount)
	a.held = larger(a.held, a.used)
	a.started = a.started.Plus(amount)
	a.peak = larger(a.peak, a.used)
}

// Release records that a task has certainly ended.
func (b *Borrower) Release(tenant string, amount resource.Amount) {
	a := b.account(tenant)
	a.used = a.used.Minus(amount)
	if !a.reusesReleased {
		a.held, a.reducedSinceReport = larger(a.held.Minus(amount), a.used), true
	}
	if a.nearLimit || !a.reusesReleased {
		b.reportDue = true
	}
}

// Fits reports whether a task of a tenant may start in addition to what is used and reserved.
func (b *Borrower) Fits(tenant string, amount resource.Amount, limit Limit, nowMs int64) bool {
	if limit.Unlimited() {
		return true
	}
	a := b.account(tenant)
	return a.covers(a.usedAndReserved(nowMs), amount, amount, limit)
}

// FitsReserved is like Fits for a unit of equal tasks, which may use the reservation under a key.
func (b *Borrower) FitsReserved(tenant, key string, amount, task resource.Amount, limit Limit, nowMs int64) bool {
	if limit.Unlimited() {
		return true
	}
	a := b.account(tenant)
	others := a.usedAndReserved(nowMs).Minus(smaller(a.reservedAt(key, nowMs), amount))
	return a.covers(others, amount, task, limit)
}

// covers reports whether the held amount covers another amount in addition to others, in the
// dimensions that have a limit. A loan above the limit, for a unit that exceeds it by its last
// task, may only be used by such a unit.
func (a *account) covers(others, amount, task resource.Amount, limit Limit) bool {
	sum := others.Plus(amount)
	if !limit.admitsUnit(others, amount, task) {
		return false
	}
	return (limit.CPU == 0 || sum.CPU <= a.held.CPU) &&
		(limit.Memory == 0 || sum.Memory <= a.held.Memory) &&
		(limit.GPU == 0 || sum.GPU <= a.held.GPU)
}

// Reserve reserves a part of the held amount for the planned starts of a step, until untilMs.
func (b *Borrower) Reserve(tenant, key string, amount resource.Amount, nowMs, untilMs int64) {
	a := b.account(tenant)
	sinceMs := nowMs
	if r, ok := a.reserved[key]; ok && r.untilMs > nowMs {
		sinceMs = r.sinceMs
	}
	a.reserved[key] = reservation{amount: amount, sinceMs: sinceMs, untilMs: untilMs}
}

// YieldReservation reports whether the step of a reservation has to wait. It drops a reservation
// that is old and has no starts while the tenant is near its limit, so that other tasks can use
// the amount; the step then waits for yieldDurationMs.
func (b *Borrower) YieldReservation(tenant, key string, nowMs int64) bool {
	a := b.accounts[tenant]
	if a == nil {
		return false
	}
	r, ok := a.reserved[key]
	if !ok || r.untilMs <= nowMs {
		return false
	}
	if !r.yielded && a.nearLimit && nowMs-r.sinceMs >= reservationYieldAfterMs {
		r = reservation{untilMs: nowMs + yieldDurationMs, yielded: true}
		a.reserved[key], b.reportDue = r, true
	}
	return r.yielded
}

// Reserved returns the amount that is reserved under a key.
func (b *Borrower) Reserved(tenant, key string, nowMs int64) resource.Amount {
	if a := b.accounts[tenant]; a != nil {
		return a.reservedAt(key, nowMs)
	}
	return resource.Amount{}
}

// Unreserve releases a part of a reservation when one of its tasks is placed.
func (b *Borrower) Unreserve(tenant, key string, amount resource.Amount) {
	a := b.account(tenant)
	r, ok := a.reserved[key]
	if !ok {
		return
	}
	r.amount = larger(r.amount.Minus(amount), resource.Amount{})
	if r.amount == (resource.Amount{}) {
		delete(a.reserved, key)
		return
	}
	a.reserved[key] = r
}

func (a *account) reservedAt(key string, nowMs int64) resource.Amount {
	if r, ok := a.reserved[key]; ok && r.untilMs > nowMs {
		return r.amount
	}
	return resource.Amount{}
}

// usedAndReserved returns the sum of the used and reserved amounts, and deletes expired reservations.
func (a *account) usedAndReserved(nowMs int64) resource.Amount {
	sum := a.used
	for key, r := range a.reserved { // the order doesn't affect the sum
		if r.untilMs <= nowMs {
			delete(a.reserved, key)
			continue
		}
		sum = sum.Plus(r.amount)
	}
	return sum
}

// BeginClaims starts a round of claims. EndClaims drops the claims that are not renewed in it.
func (b *Borrower) BeginClaims() {
	for _, a := range b.accounts {
		for _, c := range a.claims {
			c.renewed = false
		}
	}
}

// Claim adds or renews the claim of one step, which is identified by the key.
func (b *Borrower) Claim(tenant, key string, request wire.ShareClaim, nowMs int64) {
	a := b.account(tenant)
	for _, c := range a.claims {
		if c.key == key {
			if request.Count > c.Count || request.Unit != c.Unit {
				b.reportDue = true
			}
			c.ShareClaim, c.renewed = request, true
			return
		}
	}
	if len(a.claims) >= maxClaims { // claims of this round are more urgent than those not renewed yet
		unrenewed := slices.IndexFunc(a.claims, func(c *claim) bool { return !c.renewed })
		if unrenewed < 0 {
			return
		}
		a.claims = slices.Delete(a.claims, unrenewed, unrenewed+1)
	}
	a.claims = append(a.claims, &claim{ShareClaim: request, key: key, sinceMs: nowMs, renewed: true})
	b.reportDue = true
}

// EndClaims ends a round and drops the claims that were not renewed in it.
func (b *Borrower) EndClaims() {
	for _, a := range b.accounts {
		a.claims = slices.DeleteFunc(a.claims, func(c *claim) bool { return !c.renewed })
	}
}

// OnLimitLowered gives up what is held for a tenant beyond its usage, since it was lent under a
// higher limit. Grants in flight may be based on the higher limit as well, so grants for earlier
// reports are rejected from now on.
func (b *Borrower) OnLimitLowered(tenant string) {
	a := b.account(tenant)
	a.held, a.reserved, a.reusesReleased = a.used, map[string]reservation{}, false
	b.seq++
	b.reportDue, b.answered = true, true
}

// NextReport returns the next report and the daemon to send it to; nil if none is due. From then
// on, the owner uses no more than the reported amounts until a grant answers the report.
func (b *Borrower) NextReport(nowMs, version int64) (counterDaemon string, m *wire.ShareReport) {
	if b.counterDaemon == "" || nowMs-b.reportedMs < minReportIntervalMs {
		return "", nil
	}
	interval := int64(idleReportIntervalMs)
	if b.hasClaims() {
		interval = claimReportIntervalMs
	}
	if !b.reportDue && nowMs-b.reportedMs < interval && b.seq != 0 {
		return "", nil
	}
	// A grant for a report that is not the newest is rejected. If reports followed each other
	// faster than their answers arrive, no grant would ever be accepted.
	if !b.answered && nowMs-b.reportedMs < answerTimeoutMs && b.seq != 0 {
		return "", nil
	}
	b.seq++
	b.reportedMs, b.reportDue, b.answered = nowMs, false, false
	m = &wire.ShareReport{
		Counter: b.counterShard, CounterEpoch: b.counterEpoch,
		Shard: b.shard, ShardEpoch: b.epoch, Seq: b.seq, ConfigVersion: version,
	}
	for _, tenant := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[tenant]
		a.trim(nowMs)
		a.reducedSinceReport = false
		if a.isEmpty() {
			delete(b.accounts, tenant)
			continue
		}
		m.Accounts = append(m.Accounts, a.report(tenant, nowMs))
	}
	return b.counterDaemon, m
}

func (b *Borrower) hasClaims() bool {
	for _, a := range b.accounts {
		if len(a.claims) > 0 {
			return true
		}
	}
	return false
}

// rollWindow starts a new window if the current one is over, and derives from the starts of the
// old one how much to hold in advance.
func (a *account) rollWindow(nowMs int64) {
	if nowMs-a.windowStartMs < usageWindowMs {
		return
	}
	quarter := func(v int64) int64 { return (v + prefetchDivisor - 1) / prefetchDivisor }
	a.prefetch = resource.Amount{
		CPU: quarter(a.started.CPU), Memory: quarter(a.started.Memory), GPU: quarter(a.started.GPU),
	}
	a.windowStartMs, a.started = nowMs, resource.Amount{}
	a.lastPeak, a.peak = a.peak, a.used
}

// trim gives up what is held beyond the recent peak usage and the amount to hold in advance. Since
// the recent peak is kept, a steady load needs no grants, even while there is no counter.
func (a *account) trim(nowMs int64) {
	a.rollWindow(nowMs)
	keep := a.usedAndReserved(nowMs)
	if !a.nearLimit {
		keep = larger(keep, larger(a.peak, a.lastPeak)).Plus(a.prefetch)
	}
	a.held = larger(smaller(a.held, keep), a.used)
}

func (a *account) isEmpty() bool {
	zero := resource.Amount{}
	return a.held == zero && a.used == zero && a.prefetch == zero && len(a.claims) == 0 && len(a.reserved) == 0
}

func (a *account) report(tenant string, nowMs int64) wire.ShareAccount {
	shareAccount := wire.ShareAccount{Tenant: tenant, Keep: a.held, Used: a.used}
	if !a.nearLimit {
		shareAccount.Prefetch = larger(a.usedAndReserved(nowMs).Plus(a.prefetch).Minus(a.held), resource.Amount{})
	}
	for _, c := range a.claims {
		shareClaim := c.ShareClaim
		shareClaim.WaitedMs = nowMs - c.sinceMs
		shareAccount.Claims = append(shareAccount.Claims, shareClaim)
	}
	return shareAccount
}

// OnGrant applies a grant if it answers the newest report, and returns the tenants for which more
// is held now. It ignores a grant under an older configuration than the owner's, which may have
// higher limits; the counter sends another one when it adopts the newer configuration.
func (b *Borrower) OnGrant(m *wire.ShareGrant, nowMs, version int64) (increased []string) {
	if m.Counter != b.counterShard || m.CounterEpoch != b.counterEpoch || m.Shard != b.shard || m.ShardEpoch != b.epoch ||
		m.Seq != b.seq {
		return nil
	}
	b.answered, b.answeredMs = true, nowMs
	if m.ConfigVersion < version {
		return nil
	}
	for _, s := range m.Shares {
		a := b.account(s.Tenant)
		if s.NearLimit && !a.nearLimit {
			b.reportDue = true
		}
		a.nearLimit, a.reusesReleased = s.NearLimit, !s.ReturnFreed
		if s.ReturnFreed && a.reducedSinceReport {
			continue // the amount includes a part that was given up since the report
		}
		if next := larger(a.held, s.Amount); next != a.held {
			a.held = next
			increased = append(increased, s.Tenant)
		}
	}
	return increased
}

// ClearClaims clears the claims of a tenant after a grant. Steps that still lack resources claim
// them again.
func (b *Borrower) ClearClaims(tenant string) {
	for _, c := range b.account(tenant).claims {
		c.Count = 0
	}
}

// Delay describes a tenant whose tasks wait for a grant.
type Delay struct {
	Tenant       string
	Held, Used   resource.Amount
	Reserved     resource.Amount
	Claims       int
	Unit         resource.Amount // of the claim that has waited longest
	Job          string          // of that claim
	WaitedMs     int64           // of that claim
	Counter      string          // the daemon that runs the counter, as far as known
	UnansweredMs int64           // time since a grant last answered the report that was then the newest
}

// Delays returns the tenants with a claim that has waited longer than forMs.
func (b *Borrower) Delays(nowMs, forMs int64) (delays []Delay) {
	for _, tenant := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[tenant]
		d := Delay{
			Tenant: tenant, Held: a.held, Used: a.used, Reserved: a.usedAndReserved(nowMs).Minus(a.used), Claims: len(a.claims),
			Counter: b.counterDaemon, UnansweredMs: nowMs - b.answeredMs,
		}
		for _, c := range a.claims {
			if waited := nowMs - c.sinceMs; waited > d.WaitedMs {
				d.WaitedMs, d.Unit, d.Job = waited, c.Unit, c.Job
			}
		}
		if d.WaitedMs > forMs {
			delays = append(delays, d)
		}
	}
	return delays
}

// Held returns the amount that a tenant's tasks may use in this shard, and the amount they use.
func (b *Borrower) Held(tenant string) (held, used resource.Amount) {
	if a := b.accounts[tenant]; a != nil {
		return a.held, a.used
	}
	return resource.Amount{}, resource.Amount{}
}

// PendingUnits returns the number of a tenant's units that wait for a grant.
func (b *Borrower) PendingUnits(tenant string) (count int) {
	if a := b.accounts[tenant]; a != nil {
		for _, c := range a.claims {
			count += int(c.Count)
		}
	}
	return count
}
