package quota

import (
	"maps"
	"slices"

	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

const (
	minReportIntervalMs     = 10   // between two reports of one owner to one counter
	answerTimeoutMs         = 250  // a report is answered at once: the next one waits for that, but no longer than this
	claimReportIntervalMs   = 250  // a report with claims is repeated, for either message may be lost
	idleReportIntervalMs    = 1000 // and one without
	usageWindowMs           = 2000 // what was started and used in this time tells what to hold
	aheadDivisor            = 4    // a quarter of what was started
	reservationYieldAfterMs = 2000 // a reservation without starts yields to other tasks after this
	yieldDurationMs         = 1000 // for this long
	maxClaims               = 16   // of one tenant in a report, the most urgent ones
)

// Borrower is what one shard's owner holds of the limits of all tenants with one counter.
type Borrower struct {
	shard         string
	epoch         uint64
	counterShard  string
	counterDaemon string // who counts, as far as is known
	counterEpoch  uint64
	seq           uint64
	reportedMs    int64
	reportDue     bool

	answered   bool  // the newest report was, see answerTimeoutMs
	answeredMs int64 // when a newest report was last answered
	accounts   map[string]*account
}

// loan is one tenant's.
type account struct {
	held     resource.Amount
	used     resource.Amount
	reserved map[string]reservation // by job and step: room was asked for, and the start will follow
	claims   []*claim
	tight    bool
	// reusesReleased: what ends makes room for another start. A counter has told that all that is lent is
	// within the limit; before that as much may run elsewhere.
	reusesReleased     bool
	reducedSinceReport bool // less is held than the newest report says

	windowStartMs int64
	started       resource.Amount // since windowStartMs
	ahead         resource.Amount // a part of what was started in the window before
	peak          resource.Amount // of what was used since windowStartMs
	lastPeak      resource.Amount // and in the window before
}

type reservation struct {
	amount  resource.Amount
	sinceMs int64
	untilMs int64
	yielded bool // until untilMs others go first
}

// claim is a wire.ShareClaim and since when it stands.
type claim struct {
	wire.ShareClaim
	key     string
	sinceMs int64
	renewed bool // told since the last BeginClaims
}

// NewBorrower begins an owner's accounts under its epoch of a shard.
//
// Example: borrower := quota.NewBorrower("oita-d", epoch, "fukuoka-a")
func NewBorrower(shard string, epoch uint64, counter string) *Borrower {
	return &Borrower{shard: shard, epoch: epoch, counterShard: counter, accounts: map[string]*account{}}
}

func (b *Borrower) account(tenant string) *account {
	a := b.accounts[tenant]
	if a == nil {
		a = &account{reserved: map[string]reservation{}}
		b.accounts[tenant] = a
	}
	return a
}

// CounterIs tells who counts and under which epoch. One of an earlier epoch is never turned to
// again: what it lends may have been lent by a later one.
func (b *Borrower) CounterIs(name string, epoch uint64) {
	if name == "" || epoch < b.counterEpoch || epoch == b.counterEpoch && name == b.counterDaemon {
		return
	}
	b.counterDaemon, b.counterEpoch, b.reportDue, b.answered = name, epoch, true, true
}

// Use notes that a task is started, or was by a former owner.
func (b *Borrower) Use(tenant string, amount resource.Amount) {
	a := b.account(tenant)
	a.used = a.used.Plus(amount)
	a.held = larger(a.held, a.used)
	a.started = a.started.Plus(amount)
	a.peak = larger(a.peak, a.used)
}

// Release notes that a task surely runs no more.
func (b *Borrower) Release(tenant string, amount resource.Amount) {
	a := b.account(tenant)
	a.used = a.used.Minus(amount)
	if !a.reusesReleased {
		a.held, a.reducedSinceReport = larger(a.held.Minus(amount), a.used), true
	}
	if a.tight || !a.reusesReleased {
		b.reportDue = true
	}
}

// Fits tells whether a task of a tenant may be started beside what is used and reserved.
func (b *Borrower) Fits(tenant string, amount resource.Amount, limit Limit, nowMs int64) bool {
	if limit.Unlimited() {
		return true
	}
	a := b.account(tenant)
	return a.covers(a.usedAndReserved(nowMs), amount, amount, limit)
}

// FitsReserved is Fits for tasks of which each takes as much, and that a reservation may have been
// made for.
func (b *Borrower) FitsReserved(tenant, key string, amount, task resource.Amount, limit Limit, nowMs int64) bool {
	if limit.Unlimited() {
		return true
	}
	a := b.account(tenant)
	others := a.usedAndReserved(nowMs).Minus(smaller(a.reservedAt(key, nowMs), amount))
	return a.covers(others, amount, task, limit)
}

// covers tells whether what is held covers an amount beside others, in the dimensions that have a
// limit. What was lent to a unit that passes the limit by its last task is for such units alone.
func (a *account) covers(others, amount, task resource.Amount, limit Limit) bool {
	sum := others.Plus(amount)
	if !limit.admitsUnit(others, amount, task) {
		return false
	}
	return (limit.CPU == 0 || sum.CPU <= a.held.CPU) &&
		(limit.Memory == 0 || sum.Memory <= a.held.Memory) &&
		(limit.GPU == 0 || sum.GPU <= a.held.GPU)
}

// Reserve keeps a part of what is held for starts that were arranged, until a time.
func (b *Borrower) Reserve(tenant, key string, amount resource.Amount, nowMs, untilMs int64) {
	a := b.account(tenant)
	sinceMs := nowMs
	if r, ok := a.reserved[key]; ok && r.untilMs > nowMs {
		sinceMs = r.sinceMs
	}
	a.reserved[key] = reservation{amount: amount, sinceMs: sinceMs, untilMs: untilMs}
}

// Yields tells whether a reservation under a key is to wait: it was kept for long, its starts didn't
// come, and other tasks of the tenant lack what it keeps. It is over then.
func (b *Borrower) Yields(tenant, key string, nowMs int64) bool {
	a := b.accounts[tenant]
	if a == nil {
		return false
	}
	r, ok := a.reserved[key]
	if !ok || r.untilMs <= nowMs {
		return false
	}
	if !r.yielded && a.tight && nowMs-r.sinceMs >= reservationYieldAfterMs {
		r = reservation{untilMs: nowMs + yieldDurationMs, yielded: true}
		a.reserved[key], b.reportDue = r, true
	}
	return r.yielded
}

// Reserved is what is kept so under a key.
func (b *Borrower) Reserved(tenant, key string, nowMs int64) resource.Amount {
	if a := b.accounts[tenant]; a != nil {
		return a.reservedAt(key, nowMs)
	}
	return resource.Amount{}
}

// Unreserve lets go of a part of a reservation: a task that it was made for is started.
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

// usedAndReserved is what is used or reserved.
func (a *account) usedAndReserved(nowMs int64) resource.Amount {
	sum := a.used
	for key, r := range a.reserved { // a sum: the order does not matter
		if r.untilMs <= nowMs {
			delete(a.reserved, key)
			continue
		}
		sum = sum.Plus(r.amount)
	}
	return sum
}

// BeginClaims begins a new round of claims: those not told again before EndClaims are over.
func (b *Borrower) BeginClaims() {
	for _, a := range b.accounts {
		for _, c := range a.claims {
			c.renewed = false
		}
	}
}

// Claim tells what tasks of one step lack; key names the step.
func (b *Borrower) Claim(tenant, key string, v wire.ShareClaim, nowMs int64) {
	a := b.account(tenant)
	for _, c := range a.claims {
		if c.key == key {
			if v.Count > c.Count || v.Unit != c.Unit {
				b.reportDue = true
			}
			c.ShareClaim, c.renewed = v, true
			return
		}
	}
	if len(a.claims) >= maxClaims { // those told in this round are more urgent than those not told yet
		at := slices.IndexFunc(a.claims, func(c *claim) bool { return !c.renewed })
		if at < 0 {
			return
		}
		a.claims = slices.Delete(a.claims, at, at+1)
	}
	a.claims = append(a.claims, &claim{ShareClaim: v, key: key, sinceMs: nowMs, renewed: true})
	b.reportDue = true
}

// EndClaims ends a round of claims.
func (b *Borrower) EndClaims() {
	for _, a := range b.accounts {
		a.claims = slices.DeleteFunc(a.claims, func(c *claim) bool { return !c.renewed })
	}
}

// LimitLowered gives up what is held of a tenant beyond what is used: it was lent by a higher
// limit, as what is on its way may be. Grants for what was reported until now are taken no more.
func (b *Borrower) LimitLowered(tenant string) {
	a := b.account(tenant)
	a.held, a.reserved, a.reusesReleased = a.used, map[string]reservation{}, false
	b.seq++
	b.reportDue, b.answered = true, true
}

// Report gives the next report, if one is due, and who it is for. From then on no more is used
// than it says to keep.
func (b *Borrower) Report(nowMs, version int64) (to string, m *wire.ShareReport) {
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
	// An answer to a report that another has followed is not taken: were the next one sent while
	// this one's answer is on its way, none might ever come in time.
	if !b.answered && nowMs-b.reportedMs < answerTimeoutMs && b.seq != 0 {
		return "", nil
	}
	b.seq++
	b.reportedMs, b.reportDue, b.answered = nowMs, false, false
	m = &wire.ShareReport{
		Counter: b.counterShard, CounterEpoch: b.counterEpoch, Shard: b.shard, ShardEpoch: b.epoch, Seq: b.seq, ConfigVersion: version,
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

// rollWindow sets what to hold ahead by what was started in the window that is over.
func (a *account) rollWindow(nowMs int64) {
	if nowMs-a.windowStartMs < usageWindowMs {
		return
	}
	quarter := func(v int64) int64 { return (v + aheadDivisor - 1) / aheadDivisor }
	a.ahead = resource.Amount{CPU: quarter(a.started.CPU), Memory: quarter(a.started.Memory), GPU: quarter(a.started.GPU)}
	a.windowStartMs, a.started = nowMs, resource.Amount{}
	a.lastPeak, a.peak = a.peak, a.used
}

// trim gives up what is held beyond recent use and what is held ahead. What was used lately is
// kept: with a steady load starts need no grants, also while nobody counts.
func (a *account) trim(nowMs int64) {
	a.rollWindow(nowMs)
	keep := a.usedAndReserved(nowMs)
	if !a.tight {
		keep = larger(keep, larger(a.peak, a.lastPeak)).Plus(a.ahead)
	}
	a.held = larger(smaller(a.held, keep), a.used)
}

func (a *account) isEmpty() bool {
	zero := resource.Amount{}
	return a.held == zero && a.used == zero && a.ahead == zero && len(a.claims) == 0 && len(a.reserved) == 0
}

func (a *account) report(tenant string, nowMs int64) wire.ShareAccount {
	out := wire.ShareAccount{Tenant: tenant, Keep: a.held, Used: a.used}
	if !a.tight {
		out.Ahead = larger(a.usedAndReserved(nowMs).Plus(a.ahead).Minus(a.held), resource.Amount{})
	}
	for _, c := range a.claims {
		v := c.ShareClaim
		v.WaitedMs = nowMs - c.sinceMs
		out.Claims = append(out.Claims, v)
	}
	return out
}

// OnGrant takes a grant if it answers the newest report, and gives the tenants of which more is
// held now. A grant by an older configuration than the owner's is left: its limits may be higher.
// The counter answers anew once it goes by the owner's.
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
		if s.Tight && !a.tight {
			b.reportDue = true
		}
		a.tight, a.reusesReleased = s.Tight, !s.GiveBack
		if s.GiveBack && a.reducedSinceReport {
			continue // the amount has a part that was given up since
		}
		if next := larger(a.held, s.Amount); next != a.held {
			a.held = next
			increased = append(increased, s.Tenant)
		}
	}
	return increased
}

// Settle forgets the claims of a tenant: more is held now, and who still lacks some tells it again.
func (b *Borrower) Settle(tenant string) {
	for _, c := range b.account(tenant).claims {
		c.Count = 0
	}
}

// Delay is what one tenant's tasks wait for.
type Delay struct {
	Tenant       string
	Held, Used   resource.Amount
	Reserved     resource.Amount
	Claims       int
	Unit         resource.Amount // of the claim that has waited longest
	Job          string
	WaitedMs     int64
	Counter      string // who counts, as far as is known
	UnansweredMs int64  // since the last grant for the newest report, or an older one
}

// Delays gives the tenants of which a claim has waited for so long.
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

// Held is what the owner may have running of a tenant, and what it has.
func (b *Borrower) Held(tenant string) (held, used resource.Amount) {
	if a := b.accounts[tenant]; a != nil {
		return a.held, a.used
	}
	return resource.Amount{}, resource.Amount{}
}

// Waiting is how many units of a tenant wait for a share.
func (b *Borrower) Waiting(tenant string) (count int) {
	if a := b.accounts[tenant]; a != nil {
		for _, c := range a.claims {
			count += int(c.Count)
		}
	}
	return count
}
