package daemon

import (
	"cmp"
	"slices"
	"strconv"

	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/quota"
	"otterchute/internal/rendezvous"
	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

// tenantShares is what the owner of a shard may have running of each tenant, see package quota.
type tenantShares struct {
	shards    []string
	borrowers map[string]*quota.Borrower // by counting shard
	byTenant  map[string]*quota.Borrower // of those, the one whose counter counts a tenant
	loggedMs  int64                      // when delays were last logged
}

// shareLogMs is how long a task waits for a share before that is logged, and how often it is.
const shareLogMs = 2000

func newTenantShares(shard string, epoch uint64, shards []string) tenantShares {
	s := tenantShares{shards: shards, borrowers: map[string]*quota.Borrower{}, byTenant: map[string]*quota.Borrower{}}
	for _, counter := range shards {
		s.borrowers[counter] = quota.NewBorrower(shard, epoch, counter)
	}
	return s
}

// countingShard is the shard whose owner counts a tenant.
func countingShard(tenant string, shards []string) string {
	return rendezvous.Order("tenant/"+tenant, shards)[0]
}

// borrowerFor is the account of a tenant; nil where nothing is counted.
func (s *tenantShares) borrowerFor(tenant string) *quota.Borrower {
	if tenant == "" || len(s.shards) == 0 {
		return nil
	}
	b := s.byTenant[tenant]
	if b == nil {
		b = s.borrowers[countingShard(tenant, s.shards)]
		s.byTenant[tenant] = b
	}
	return b
}

func (s *tenantShares) use(tenant string, amount resource.Amount) {
	if b := s.borrowerFor(tenant); b != nil {
		b.Use(tenant, amount)
	}
}

func (s *tenantShares) release(tenant string, amount resource.Amount) {
	if b := s.borrowerFor(tenant); b != nil {
		b.Release(tenant, amount)
	}
}

func (s *tenantShares) beginClaims() {
	for _, b := range s.borrowers {
		b.BeginClaims()
	}
}

func (s *tenantShares) endClaims() {
	for _, b := range s.borrowers {
		b.EndClaims()
	}
}

// shareKey names a task's step and round among all jobs.
func shareKey(js *liveJob, i int) string {
	return js.ID + "/" + js.roundAndStep(i)
}

func (s *tenantShares) reserve(js *liveJob, i int, amount resource.Amount, nowMs, untilMs int64) {
	if b := s.borrowerFor(js.Tenant); b != nil {
		b.Reserve(js.Tenant, shareKey(js, i), amount, nowMs, untilMs)
	}
}

// yields tells whether a task's step is to leave what was reserved for it to other tasks.
func (s *tenantShares) yields(js *liveJob, i int, nowMs int64) bool {
	b := s.borrowerFor(js.Tenant)
	return b != nil && b.Yields(js.Tenant, shareKey(js, i), nowMs)
}

func (s *tenantShares) unreserve(js *liveJob, i int, amount resource.Amount) {
	if b := s.borrowerFor(js.Tenant); b != nil {
		b.Unreserve(js.Tenant, shareKey(js, i), amount)
	}
}

// reservedFor is what is reserved for a task's step.
func (s *tenantShares) reservedFor(js *liveJob, i int, nowMs int64) resource.Amount {
	if b := s.borrowerFor(js.Tenant); b != nil {
		return b.Reserved(js.Tenant, shareKey(js, i), nowMs)
	}
	return resource.Amount{}
}

// roundAndStep names a task's round and step in its job.
func (js *liveJob) roundAndStep(i int) string {
	t := &js.Tasks[i]
	return strconv.Itoa(int(t.Round)) + "." + strconv.Itoa(int(t.Step))
}

// allocationUnit is what starts together with a task: all its gang, or it alone.
func (js *liveJob) allocationUnit(i int) (sum resource.Amount) {
	if !js.Steps[js.Tasks[i].Step].Gang {
		return js.Tasks[i].Resources
	}
	from, to := js.gangRange(i)
	for k := from; k < to; k++ {
		sum = sum.Plus(js.Tasks[k].Resources)
	}
	return sum
}

// adoptLimits follows the configuration: where a tenant's limit may be lower now, what was lent
// by the higher one is given up, but for what runs.
func (n *node) adoptLimits() {
	var limits map[string]quota.Limit
	if c := n.config.current; c.Authenticates() {
		limits = make(map[string]quota.Limit, len(c.Tenants))
		for name, t := range c.Tenants {
			limits[name] = quota.Limit(t.Limit)
		}
	}
	for _, tenant := range n.limits.Adopt(n.config.current.Version, n.config.record.Previous(), limits) {
		for _, name := range sortedKeys(n.owned) {
			if b := n.owned[name].shares.borrowerFor(tenant); b != nil {
				b.LimitLowered(tenant)
			}
		}
	}
}

// knowsLimit tells whether a job's tenant is counted by its limit here. A tenant that this daemon
// doesn't know yet was declared by a version that is on its way; one that it doesn't know by a
// configuration that was confirmed since the job came here is declared no more.
func (n *node) knowsLimit(js *liveJob) bool {
	return js.Tenant == "" || n.limits.Declared(js.Tenant) || n.config.confirmedMs > js.enteredMs
}

// mayTakeShare tells whether a task may claim and reserve a share of its tenant's limit: one that
// fits no worker of its queue's group would keep the share from tasks that can run.
func (n *node) mayTakeShare(js *liveJob, i int, q *configuration.Queue) bool {
	if n.limits.Of(js.Tenant).Unlimited() {
		return true
	}
	t := &js.Tasks[i]
	for _, w := range n.workers { // some worker: the order does not matter
		_, lacks := configuration.MissingLabel(w.labels, t.Needs)
		if t.Resources.Fits(w.capacity) && !lacks && q.Matches(w.labels, w.zone) {
			return true
		}
	}
	return false
}

// hasShare tells whether a task, or more, may be placed beside all that is placed and arranged.
func (n *node) hasShare(sl *ownedShard, js *liveJob, amount resource.Amount) bool {
	b := sl.shares.borrowerFor(js.Tenant)
	return b == nil || b.Fits(js.Tenant, amount, n.limits.Of(js.Tenant), n.now)
}

// hasReservedShare tells the same for tasks that a share may be reserved for.
func (n *node) hasReservedShare(sl *ownedShard, js *liveJob, i int, amount resource.Amount) bool {
	b := sl.shares.borrowerFor(js.Tenant)
	limit, task := n.limits.Of(js.Tenant), js.Tasks[i].Resources
	return b == nil || b.FitsReserved(js.Tenant, shareKey(js, i), amount, task, limit, n.now)
}

// mayRequest tells whether guaranteed places may be requested for a task, beside those that its
// step has requested already.
func (n *node) mayRequest(sl *ownedShard, js *liveJob, i int) bool {
	amount := js.allocationUnit(i)
	if !js.Steps[js.Tasks[i].Step].Gang {
		amount = amount.Plus(sl.shares.reservedFor(js, i, n.now))
	}
	return n.hasReservedShare(sl, js, i, amount)
}

// shareWait counts the units of a step that wait only for a share.
type shareWait struct {
	task  int // one of the tasks
	count int32
}

// addShareWait notes that a task waits only for a share of its tenant's limit.
func (p *schedulePass) addShareWait(js *liveJob, i int) {
	if p.shareWaits == nil {
		p.shareWaits = map[int]shareWait{}
	}
	at := js.stepIndex(&js.Tasks[i])
	count := p.shareWaits[at].count + 1
	if js.Steps[js.Tasks[i].Step].Gang {
		count = 1
	}
	p.shareWaits[at] = shareWait{i, count}
}

// claimShares asks for what a job lacks.
func (n *node) claimShares(sl *ownedShard, js *liveJob, pass *schedulePass) {
	js.waitsForShare = len(pass.shareWaits) > 0
	b := sl.shares.borrowerFor(js.Tenant)
	if b == nil {
		return
	}
	for _, at := range sortedKeys(pass.shareWaits) {
		lack := pass.shareWaits[at]
		if !n.limits.Of(js.Tenant).EverAdmits(js.allocationUnit(lack.task), js.Tasks[lack.task].Resources) {
			continue // it waits for a higher limit, and leaves the few claims to others
		}
		b.Claim(js.Tenant, shareKey(js, lack.task), wire.ShareClaim{
			Job: js.ID, Urgency: n.precedence(js.Queue, js.excess), SubmittedMs: js.SubmitMs,
			Unit: js.allocationUnit(lack.task), Task: js.Tasks[lack.task].Resources, Count: lack.count,
		}, n.now)
	}
}

// flushShares sends the reports that are due to those who count.
func (n *node) flushShares() {
	if !n.limits.Any() {
		return
	}
	for _, name := range sortedKeys(n.owned) {
		sl := n.owned[name]
		if !sl.serving || !n.leases.Holds(lease.ShardRole(name)) {
			continue
		}
		for _, counter := range sl.shares.shards {
			to, m := sl.shares.borrowers[counter].Report(n.now, n.config.current.Version)
			switch {
			case m == nil:
			case to == n.Name:
				n.onShareReport(n.Name, m)
			default:
				n.send(to, m)
			}
		}
	}
}

// logShareDelays tells operators now and then which tenants wait for a share, and where.
func (n *node) logShareDelays(sl *ownedShard) {
	if n.now < sl.shares.loggedMs+shareLogMs {
		return
	}
	sl.shares.loggedMs = n.now
	for _, counter := range sl.shares.shards {
		for _, d := range sl.shares.borrowers[counter].Delays(n.now, shareLogMs) {
			n.log("share_delayed", "slice", sl.name, "tenant", d.Tenant, "waited_ms", d.WaitedMs, "job", d.Job,
				"unit", d.Unit, "held", d.Held, "used", d.Used, "reserved", d.Reserved, "claims", d.Claims,
				"limit", resource.Amount(n.limits.Of(d.Tenant)), "counter", counter, "at", d.Counter,
				"unanswered_ms", d.UnansweredMs)
		}
	}
}

// tickCounters finds who counts, and lends what has become free.
func (n *node) tickCounters() {
	if !n.limits.Any() {
		return
	}
	for _, name := range sortedKeys(n.owned) {
		for _, counter := range n.owned[name].shares.shards {
			n.owned[name].shares.borrowers[counter].CounterIs(n.leases.Holder(lease.ShardRole(counter)))
		}
	}
	for _, name := range sortedKeys(n.counters) {
		n.lendShares(name)
	}
}

// lendShares tells owners what they may use, while this daemon surely counts and knows the limits.
func (n *node) lendShares(counter string) {
	c := n.counters[counter]
	if c == nil || !n.leases.Holds(lease.ShardRole(counter)) || !n.configFresh() {
		return
	}
	for _, grant := range c.Lend(quota.Policy{Shards: n.core.Shards, Limits: &n.limits}) {
		if grant.To == n.Name {
			n.onShareGrant(n.Name, grant.Message)
		} else {
			n.send(grant.To, grant.Message)
		}
	}
}

func (n *node) onShareReport(from string, m *wire.ShareReport) {
	if c := n.counters[m.Counter]; c != nil && c.OnReport(from, m) {
		n.noteShareReport(m.Counter, m.Shard)
		n.lendShares(m.Counter)
	}
}

// onShareGrant places at once what waited for the share.
func (n *node) onShareGrant(_ string, m *wire.ShareGrant) {
	sl := n.owned[m.Shard]
	if sl == nil || !sl.serving || !n.leases.Holds(lease.ShardRole(m.Shard)) {
		return
	}
	b := sl.shares.borrowers[m.Counter]
	if b == nil {
		return
	}
	grown := b.OnGrant(m, n.now, n.config.current.Version)
	if len(grown) == 0 {
		return
	}
	for _, tenant := range grown {
		b.Settle(tenant)
	}
	var waiting []*liveJob
	for _, js := range sl.jobs {
		if js.waitsForShare && slices.Contains(grown, js.Tenant) {
			waiting = append(waiting, js)
		}
	}
	slices.SortFunc(waiting, func(a, b *liveJob) int {
		return cmp.Or(
			cmp.Compare(n.precedence(b.Queue, b.excess), n.precedence(a.Queue, a.excess)),
			cmp.Compare(a.SubmitMs, b.SubmitMs),
			cmp.Compare(a.ID, b.ID),
		)
	})
	for _, js := range waiting {
		n.advanceJob(sl, js)
	}
}

// unlistedMs is how long a run's end may stay unlisted: by then its worker's hold is over.
const unlistedMs = ownerSpanMs*(100+driftPercent)/100 + lapseMarginMs

// unlistedRun is a run that has ended though its worker hasn't said so yet.
type unlistedRun struct {
	tenant  string
	amount  resource.Amount
	untilMs int64
}

// holdUntilListed keeps the share of a task that ended with another member of its gang.
func (sl *ownedShard) holdUntilListed(js *liveJob, i int, nowMs int64) {
	if sl.shares.borrowerFor(js.Tenant) == nil {
		return
	}
	t := &js.Tasks[i]
	if sl.unlisted[t.Worker] == nil {
		sl.unlisted[t.Worker] = map[wire.AttemptKey]unlistedRun{}
	}
	key := wire.AttemptKey{Job: js.ID, Task: js.taskID(i), Attempt: t.Attempt}
	sl.unlisted[t.Worker][key] = unlistedRun{js.Tenant, t.Resources, nowMs + unlistedMs}
	sl.shares.use(js.Tenant, t.Resources)
}

// releaseListed releases the shares of runs that a report tells the end of, or no longer lists.
func (sl *ownedShard) releaseListed(m *wire.AgentReport) {
	runs := sl.unlisted[m.Worker]
	if len(runs) == 0 {
		return
	}
	atWork, ended := map[wire.AttemptKey]bool{}, map[wire.AttemptKey]bool{}
	for _, h := range m.Attempts {
		atWork[h.Key], ended[h.Key] = h.State != wire.AttemptEnded, h.State == wire.AttemptEnded
	}
	sl.releaseRuns(m.Worker, func(key wire.AttemptKey, _ unlistedRun) bool {
		return ended[key] || !m.Partial && m.Rebuilt && !atWork[key]
	})
}

// releaseLapsed releases the shares of runs whose workers said nothing for longer than they may
// run without a word.
func (sl *ownedShard) releaseLapsed(nowMs int64) {
	for _, worker := range sortedKeys(sl.unlisted) {
		sl.releaseRuns(worker, func(_ wire.AttemptKey, run unlistedRun) bool { return nowMs > run.untilMs })
	}
}

// releaseRuns releases the shares of those unlisted runs at a worker that are over.
func (sl *ownedShard) releaseRuns(worker string, over func(wire.AttemptKey, unlistedRun) bool) {
	for key, run := range sl.unlisted[worker] { // sums: the order does not matter
		if over(key, run) {
			sl.shares.release(run.tenant, run.amount)
			delete(sl.unlisted[worker], key)
		}
	}
	if len(sl.unlisted[worker]) == 0 {
		delete(sl.unlisted, worker)
	}
}
