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

// tenantShares tracks how much of each tenant's limit the owner of a shard may use, see package quota.
type tenantShares struct {
	shardNames []string
	borrowers  map[string]*quota.Borrower // by counting shard
	byTenant   map[string]*quota.Borrower // cache of borrowerFor
	loggedMs   int64                      // when delays were last logged
}

// shareLogMs is how long a task waits for a share before the delay is logged, and the interval between logs.
const shareLogMs = 2000

func newTenantShares(shard string, epoch uint64, shards []string) tenantShares {
	s := tenantShares{
		shardNames: shards,
		borrowers:  map[string]*quota.Borrower{},
		byTenant:   map[string]*quota.Borrower{},
	}
	for _, counter := range shards {
		s.borrowers[counter] = quota.NewBorrower(shard, epoch, counter)
	}
	return s
}

// countingShard returns the shard whose owner counts a tenant's usage.
func countingShard(tenant string, shards []string) string {
	return rendezvous.Order("tenant/"+tenant, shards)[0]
}

// borrowerFor returns the borrower that tracks a tenant's share, or nil if nothing is counted.
func (s *tenantShares) borrowerFor(tenant string) *quota.Borrower {
	if tenant == "" || len(s.shardNames) == 0 {
		return nil
	}
	b := s.byTenant[tenant]
	if b == nil {
		b = s.borrowers[countingShard(tenant, s.shardNames)]
		s.byTenant[tenant] = b
	}
	return b
}

// use counts an amount as used by a tenant.
func (s *tenantShares) use(tenant string, amount resource.Amount) {
	if b := s.borrowerFor(tenant); b != nil {
		b.Use(tenant, amount)
	}
}

// release is the inverse of use.
func (s *tenantShares) release(tenant string, amount resource.Amount) {
	if b := s.borrowerFor(tenant); b != nil {
		b.Release(tenant, amount)
	}
}

// beginClaims begins a round of claims. Claims that are not repeated before endClaims are dropped.
func (s *tenantShares) beginClaims() {
	for _, b := range s.borrowers {
		b.BeginClaims()
	}
}

// endClaims ends the round of claims.
func (s *tenantShares) endClaims() {
	for _, b := range s.borrowers {
		b.EndClaims()
	}
}

// shareKey identifies a task's step and round across all jobs.
func shareKey(job *liveJob, i int) string {
	return job.ID + "/" + job.roundAndStep(i)
}

// reserve reserves a share for a task's step until a time.
func (s *tenantShares) reserve(job *liveJob, i int, amount resource.Amount, nowMs, untilMs int64) {
	if b := s.borrowerFor(job.Tenant); b != nil {
		b.Reserve(job.Tenant, shareKey(job, i), amount, nowMs, untilMs)
	}
}

// yields reports whether a task's step has kept its reservation for so long that it must give it up to the tenant's
// other tasks.
func (s *tenantShares) yields(job *liveJob, i int, nowMs int64) bool {
	b := s.borrowerFor(job.Tenant)
	return b != nil && b.YieldReservation(job.Tenant, shareKey(job, i), nowMs)
}

// unreserve reduces the reservation of a task's step, because the task is started.
func (s *tenantShares) unreserve(job *liveJob, i int, amount resource.Amount) {
	if b := s.borrowerFor(job.Tenant); b != nil {
		b.Unreserve(job.Tenant, shareKey(job, i), amount)
	}
}

// reservedFor returns the amount that is reserved for a task's step.
func (s *tenantShares) reservedFor(job *liveJob, i int, nowMs int64) resource.Amount {
	if b := s.borrowerFor(job.Tenant); b != nil {
		return b.Reserved(job.Tenant, shareKey(job, i), nowMs)
	}
	return resource.Amount{}
}

// roundAndStep identifies a task's round and step within its job.
func (j *liveJob) roundAndStep(i int) string {
	t := &j.Tasks[i]
	return strconv.Itoa(int(t.Round)) + "." + strconv.Itoa(int(t.Step))
}

// allocationUnit returns the resources of all tasks that start together with a task: its gang, or the task alone.
func (j *liveJob) allocationUnit(i int) (sum resource.Amount) {
	if !j.Steps[j.Tasks[i].Step].Gang {
		return j.Tasks[i].Resources
	}
	from, to := j.gangRange(i)
	for k := from; k < to; k++ {
		sum = sum.Plus(j.Tasks[k].Resources)
	}
	return sum
}

// adoptLimits takes the tenants' limits from the configuration. If a tenant's limit may have been lowered, the share
// that was granted under the higher limit is given up, except for what is in use.
func (n *node) adoptLimits() {
	var limits map[string]quota.Limit
	if c := n.config.current; c.RequiresKey() {
		limits = make(map[string]quota.Limit, len(c.Tenants))
		for name, t := range c.Tenants {
			limits[name] = quota.Limit(t.Limit)
		}
	}
	for _, tenant := range n.limits.Adopt(n.config.current.Version, n.config.record.Previous(), limits) {
		for _, name := range sortedKeys(n.shards) {
			if b := n.shards[name].shares.borrowerFor(tenant); b != nil {
				b.OnLimitLowered(tenant)
			}
		}
	}
}

// knowsLimit reports whether this daemon has the limit of a job's tenant, or the tenant was certainly removed.
// A tenant that the configuration here doesn't declare may be declared by a newer version that hasn't arrived yet.
// If the configuration was confirmed after the job arrived and doesn't declare the tenant, the tenant was removed.
func (n *node) knowsLimit(job *liveJob) bool {
	return job.Tenant == "" || n.limits.Declared(job.Tenant) || n.config.confirmedMs > job.enteredMs
}

// mayTakeShare reports whether a task may claim and reserve a share of its tenant's limit. A task that fits no worker
// of its queue may not: it would keep the share from tasks that can run.
func (n *node) mayTakeShare(job *liveJob, i int, q *configuration.Queue) bool {
	if n.limits.Of(job.Tenant).Unlimited() {
		return true
	}
	t := &job.Tasks[i]
	for _, w := range n.workers { // one such worker is enough, so the order does not matter
		_, lacks := configuration.MissingLabel(w.labels, t.RequiredLabels)
		if t.Resources.Fits(w.capacity) && !lacks && q.Matches(w.labels, w.zone) {
			return true
		}
	}
	return false
}

// hasShare reports whether the given amount fits into the tenant's share beside everything that is used or reserved.
func (n *node) hasShare(shard *ownedShard, job *liveJob, amount resource.Amount) bool {
	b := shard.shares.borrowerFor(job.Tenant)
	return b == nil || b.Fits(job.Tenant, amount, n.limits.Of(job.Tenant), n.now)
}

// hasReservedShare is like hasShare, but also counts the share that is reserved for the task's own step.
func (n *node) hasReservedShare(shard *ownedShard, job *liveJob, i int, amount resource.Amount) bool {
	b := shard.shares.borrowerFor(job.Tenant)
	limit, task := n.limits.Of(job.Tenant), job.Tasks[i].Resources
	return b == nil || b.FitsReserved(job.Tenant, shareKey(job, i), amount, task, limit, n.now)
}

// mayRequest reports whether the tenant's share allows a guaranteed allocation to be requested for a task, beside
// those that its step has requested already.
func (n *node) mayRequest(shard *ownedShard, job *liveJob, i int) bool {
	amount := job.allocationUnit(i)
	if !job.Steps[job.Tasks[i].Step].Gang {
		amount = amount.Plus(shard.shares.reservedFor(job, i, n.now))
	}
	return n.hasReservedShare(shard, job, i, amount)
}

// shareWait counts the allocation units of a step that wait only for a share.
type shareWait struct {
	task  int // position of one of the tasks
	count int32
}

// addShareWait records that a task waits only for a share of its tenant's limit.
func (p *schedulePass) addShareWait(job *liveJob, i int) {
	if p.shareWaits == nil {
		p.shareWaits = map[int]shareWait{}
	}
	at := job.stepIndex(&job.Tasks[i])
	count := p.shareWaits[at].count + 1
	if job.Steps[job.Tasks[i].Step].Gang {
		count = 1
	}
	p.shareWaits[at] = shareWait{i, count}
}

// claimShares claims the shares that a job's tasks wait for.
func (n *node) claimShares(shard *ownedShard, job *liveJob, pass *schedulePass) {
	job.waitsForShare = len(pass.shareWaits) > 0
	b := shard.shares.borrowerFor(job.Tenant)
	if b == nil {
		return
	}
	for _, at := range sortedKeys(pass.shareWaits) {
		wait := pass.shareWaits[at]
		if !n.limits.Of(job.Tenant).AdmitsAlone(job.allocationUnit(wait.task), job.Tasks[wait.task].Resources) {
			continue // it can't start under this limit; the number of claims is limited, so others use them
		}
		b.Claim(job.Tenant, shareKey(job, wait.task), wire.ShareClaim{
			Job: job.ID, Urgency: n.precedence(job.Queue, job.excess), SubmittedMs: job.SubmitMs,
			Unit: job.allocationUnit(wait.task), Task: job.Tasks[wait.task].Resources, Count: wait.count,
		}, n.now)
	}
}

// flushShares sends the due share reports of the shards owned here to their counters.
func (n *node) flushShares() {
	if !n.limits.HasTenants() {
		return
	}
	for _, name := range sortedKeys(n.shards) {
		shard := n.shards[name]
		if !shard.serving || !n.leases.Holds(lease.ShardRole(name)) {
			continue
		}
		for _, counter := range shard.shares.shardNames {
			to, report := shard.shares.borrowers[counter].NextReport(n.now, n.config.current.Version)
			switch {
			case report == nil:
			case to == n.Name:
				n.onShareReport(n.Name, report)
			default:
				n.send(to, report)
			}
		}
	}
}

// logShareDelays logs which tenants wait for a share and the state of their share, at most every shareLogMs.
func (n *node) logShareDelays(shard *ownedShard) {
	if n.now < shard.shares.loggedMs+shareLogMs {
		return
	}
	shard.shares.loggedMs = n.now
	for _, counter := range shard.shares.shardNames {
		for _, d := range shard.shares.borrowers[counter].Delays(n.now, shareLogMs) {
			n.log("share_delayed", "slice", shard.name, "tenant", d.Tenant, "waited_ms", d.WaitedMs, "job", d.Job,
				"unit", d.Unit, "held", d.Held, "used", d.Used, "reserved", d.Reserved, "claims", d.Claims,
				"limit", resource.Amount(n.limits.Of(d.Tenant)), "counter", counter, "at", d.Counter,
				"unanswered_ms", d.UnansweredMs)
		}
	}
}

// tickCounters updates which daemons hold the counters, and grants shares that have become free.
func (n *node) tickCounters() {
	if !n.limits.HasTenants() {
		return
	}
	for _, name := range sortedKeys(n.shards) {
		for _, counter := range n.shards[name].shares.shardNames {
			n.shards[name].shares.borrowers[counter].SetCounter(n.leases.Holder(lease.ShardRole(counter)))
		}
	}
	for _, name := range sortedKeys(n.counters) {
		n.lendShares(name)
	}
}

// lendShares sends grants to the owners of shards. It does so only while this daemon holds the lease of the counting
// shard and has a fresh configuration.
func (n *node) lendShares(counter string) {
	c := n.counters[counter]
	if c == nil || !n.leases.Holds(lease.ShardRole(counter)) || !n.configFresh() {
		return
	}
	for _, grant := range c.Lend(quota.CounterConfig{Shards: n.core.Shards, Limits: &n.limits}) {
		if grant.To == n.Name {
			n.onShareGrant(n.Name, grant.Message)
		} else {
			n.send(grant.To, grant.Message)
		}
	}
}

// onShareReport passes a share report to its counter and sends the grants that result.
func (n *node) onShareReport(from string, m *wire.ShareReport) {
	if c := n.counters[m.Counter]; c != nil && c.OnReport(from, m) {
		n.recordShareReport(m.Counter, m.Shard)
		n.lendShares(m.Counter)
	}
}

// onShareGrant records a grant, and immediately schedules the jobs that waited for it.
func (n *node) onShareGrant(_ string, m *wire.ShareGrant) {
	shard := n.shards[m.Shard]
	if shard == nil || !shard.serving || !n.leases.Holds(lease.ShardRole(m.Shard)) {
		return
	}
	b := shard.shares.borrowers[m.Counter]
	if b == nil {
		return
	}
	grown := b.OnGrant(m, n.now, n.config.current.Version)
	if len(grown) == 0 {
		return
	}
	for _, tenant := range grown {
		b.ClearClaims(tenant)
	}
	var waiting []*liveJob
	for _, job := range shard.jobs {
		if job.waitsForShare && slices.Contains(grown, job.Tenant) {
			waiting = append(waiting, job)
		}
	}
	slices.SortFunc(waiting, func(a, b *liveJob) int {
		return cmp.Or(
			cmp.Compare(n.precedence(b.Queue, b.excess), n.precedence(a.Queue, a.excess)),
			cmp.Compare(a.SubmitMs, b.SubmitMs),
			cmp.Compare(a.ID, b.ID),
		)
	})
	for _, job := range waiting {
		n.advanceJob(shard, job)
	}
}

// unlistedMs is how long an attempt may stay unlisted. After this its worker has stopped it, for lack of contact with
// the owner.
const unlistedMs = ownerTimeoutMs*(100+driftPercent)/100 + lapseMarginMs

// unlistedAttempt is an attempt that has ended for its owner while its worker hasn't reported the end yet.
type unlistedAttempt struct {
	tenant  string
	amount  resource.Amount
	untilMs int64 // when its share is released without a report
}

// holdUntilListed keeps the share of a task that was ended because another task of its gang ended, until its worker
// reports the end.
func (s *ownedShard) holdUntilListed(job *liveJob, i int, nowMs int64) {
	if s.shares.borrowerFor(job.Tenant) == nil {
		return
	}
	t := &job.Tasks[i]
	if s.unlistedAttempts[t.Worker] == nil {
		s.unlistedAttempts[t.Worker] = map[wire.AttemptKey]unlistedAttempt{}
	}
	key := wire.AttemptKey{Job: job.ID, Task: job.taskID(i), Attempt: t.Attempt}
	s.unlistedAttempts[t.Worker][key] = unlistedAttempt{job.Tenant, t.Resources, nowMs + unlistedMs}
	s.shares.use(job.Tenant, t.Resources)
}

// releaseListed releases the shares of unlisted attempts that a report shows as ended, or no longer contains.
func (s *ownedShard) releaseListed(m *wire.AgentReport) {
	unlisted := s.unlistedAttempts[m.Worker]
	if len(unlisted) == 0 {
		return
	}
	live, ended := map[wire.AttemptKey]bool{}, map[wire.AttemptKey]bool{}
	for _, status := range m.Attempts {
		live[status.Key], ended[status.Key] = status.State != wire.AttemptEnded, status.State == wire.AttemptEnded
	}
	s.releaseUnlisted(m.Worker, func(key wire.AttemptKey, _ unlistedAttempt) bool {
		return ended[key] || !m.Partial && m.Rebuilt && !live[key]
	})
}

// releaseLapsed releases the shares of unlisted attempts whose workers were silent for longer than an attempt may run
// without contact with its owner.
func (s *ownedShard) releaseLapsed(nowMs int64) {
	for _, worker := range sortedKeys(s.unlistedAttempts) {
		s.releaseUnlisted(worker, func(_ wire.AttemptKey, run unlistedAttempt) bool { return nowMs > run.untilMs })
	}
}

// releaseUnlisted releases the shares of those unlisted attempts at a worker for which shouldRelease returns true.
func (s *ownedShard) releaseUnlisted(worker string, shouldRelease func(wire.AttemptKey, unlistedAttempt) bool) {
	for key, attempt := range s.unlistedAttempts[worker] { // a sum: the order does not matter
		if shouldRelease(key, attempt) {
			s.shares.release(attempt.tenant, attempt.amount)
			delete(s.unlistedAttempts[worker], key)
		}
	}
	if len(s.unlistedAttempts[worker]) == 0 {
		delete(s.unlistedAttempts, worker)
	}
}
