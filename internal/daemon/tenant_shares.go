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
	shardNames []string
	borrowers  map[string]*quota.Borrower // by counting shard
	byTenant   map[string]*quota.Borrower // of those, the one whose counter counts a tenant
	loggedMs   int64                      // when delays were last logged
}

// shareLogMs is how long a task waits for a share before that is logged, and how often it is.
const shareLogMs = 2000

func newTenantShares(shard string, epoch uint64, shards []string) tenantShares {
	s := tenantShares{shardNames: shards, borrowers: map[string]*quota.Borrower{}, byTenant: map[string]*quota.Borrower{}}
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
func shareKey(job *liveJob, i int) string {
	return job.ID + "/" + job.roundAndStep(i)
}

func (s *tenantShares) reserve(job *liveJob, i int, amount resource.Amount, nowMs, untilMs int64) {
	if b := s.borrowerFor(job.Tenant); b != nil {
		b.Reserve(job.Tenant, shareKey(job, i), amount, nowMs, untilMs)
	}
}

// yields tells whether a task's step is to leave what was reserved for it to other tasks.
func (s *tenantShares) yields(job *liveJob, i int, nowMs int64) bool {
	b := s.borrowerFor(job.Tenant)
	return b != nil && b.YieldReservation(job.Tenant, shareKey(job, i), nowMs)
}

func (s *tenantShares) unreserve(job *liveJob, i int, amount resource.Amount) {
	if b := s.borrowerFor(job.Tenant); b != nil {
		b.Unreserve(job.Tenant, shareKey(job, i), amount)
	}
}

// reservedFor is what is reserved for a task's step.
func (s *tenantShares) reservedFor(job *liveJob, i int, nowMs int64) resource.Amount {
	if b := s.borrowerFor(job.Tenant); b != nil {
		return b.Reserved(job.Tenant, shareKey(job, i), nowMs)
	}
	return resource.Amount{}
}

// roundAndStep names a task's round and step in its job.
func (j *liveJob) roundAndStep(i int) string {
	t := &j.Tasks[i]
	return strconv.Itoa(int(t.Round)) + "." + strconv.Itoa(int(t.Step))
}

// allocationUnit is what starts together with a task: all its gang, or it alone.
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

// adoptLimits follows the configuration: where a tenant's limit may be lower now, what was lent
// by the higher one is given up, but for what runs.
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

// knowsLimit tells whether a job's tenant is counted by its limit here. A tenant that this daemon
// doesn't know yet was declared by a version that is on its way; one that it doesn't know by a
// configuration that was confirmed since the job came here is declared no more.
func (n *node) knowsLimit(job *liveJob) bool {
	return job.Tenant == "" || n.limits.Declared(job.Tenant) || n.config.confirmedMs > job.enteredMs
}

// mayTakeShare tells whether a task may claim and reserve a share of its tenant's limit: one that
// fits no worker of its queue's group would keep the share from tasks that can run.
func (n *node) mayTakeShare(job *liveJob, i int, q *configuration.Queue) bool {
	if n.limits.Of(job.Tenant).Unlimited() {
		return true
	}
	t := &job.Tasks[i]
	for _, w := range n.workers { // some worker: the order does not matter
		_, lacks := configuration.MissingLabel(w.labels, t.RequiredLabels)
		if t.Resources.Fits(w.capacity) && !lacks && q.Matches(w.labels, w.zone) {
			return true
		}
	}
	return false
}

// hasShare tells whether a task, or more, may be placed beside all that is placed and arranged.
func (n *node) hasShare(shard *ownedShard, job *liveJob, amount resource.Amount) bool {
	b := shard.shares.borrowerFor(job.Tenant)
	return b == nil || b.Fits(job.Tenant, amount, n.limits.Of(job.Tenant), n.now)
}

// hasReservedShare tells the same for tasks that a share may be reserved for.
func (n *node) hasReservedShare(shard *ownedShard, job *liveJob, i int, amount resource.Amount) bool {
	b := shard.shares.borrowerFor(job.Tenant)
	limit, task := n.limits.Of(job.Tenant), job.Tasks[i].Resources
	return b == nil || b.FitsReserved(job.Tenant, shareKey(job, i), amount, task, limit, n.now)
}

// mayRequest tells whether guaranteed places may be requested for a task, beside those that its
// step has requested already.
func (n *node) mayRequest(shard *ownedShard, job *liveJob, i int) bool {
	amount := job.allocationUnit(i)
	if !job.Steps[job.Tasks[i].Step].Gang {
		amount = amount.Plus(shard.shares.reservedFor(job, i, n.now))
	}
	return n.hasReservedShare(shard, job, i, amount)
}

// shareWait counts the units of a step that wait only for a share.
type shareWait struct {
	task  int // one of the tasks
	count int32
}

// addShareWait notes that a task waits only for a share of its tenant's limit.
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

// claimShares asks for what a job lacks.
func (n *node) claimShares(shard *ownedShard, job *liveJob, pass *schedulePass) {
	job.waitsForShare = len(pass.shareWaits) > 0
	b := shard.shares.borrowerFor(job.Tenant)
	if b == nil {
		return
	}
	for _, at := range sortedKeys(pass.shareWaits) {
		lack := pass.shareWaits[at]
		if !n.limits.Of(job.Tenant).AdmitsAlone(job.allocationUnit(lack.task), job.Tasks[lack.task].Resources) {
			continue // it waits for a higher limit, and leaves the few claims to others
		}
		b.Claim(job.Tenant, shareKey(job, lack.task), wire.ShareClaim{
			Job: job.ID, Urgency: n.precedence(job.Queue, job.excess), SubmittedMs: job.SubmitMs,
			Unit: job.allocationUnit(lack.task), Task: job.Tasks[lack.task].Resources, Count: lack.count,
		}, n.now)
	}
}

// flushShares sends the reports that are due to those who count.
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
			to, m := shard.shares.borrowers[counter].NextReport(n.now, n.config.current.Version)
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

// tickCounters finds who counts, and lends what has become free.
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

// lendShares tells owners what they may use, while this daemon surely counts and knows the limits.
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

func (n *node) onShareReport(from string, m *wire.ShareReport) {
	if c := n.counters[m.Counter]; c != nil && c.OnReport(from, m) {
		n.noteShareReport(m.Counter, m.Shard)
		n.lendShares(m.Counter)
	}
}

// onShareGrant places at once what waited for the share.
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

// unlistedMs is how long a run's end may stay unlisted: by then its worker's hold is over.
const unlistedMs = ownerTimeoutMs*(100+driftPercent)/100 + lapseMarginMs

// unlistedRun is a run that has ended though its worker hasn't said so yet.
type unlistedRun struct {
	tenant  string
	amount  resource.Amount
	untilMs int64
}

// holdUntilListed keeps the share of a task that ended with another member of its gang.
func (s *ownedShard) holdUntilListed(job *liveJob, i int, nowMs int64) {
	if s.shares.borrowerFor(job.Tenant) == nil {
		return
	}
	t := &job.Tasks[i]
	if s.unlisted[t.Worker] == nil {
		s.unlisted[t.Worker] = map[wire.AttemptKey]unlistedRun{}
	}
	key := wire.AttemptKey{Job: job.ID, Task: job.taskID(i), Attempt: t.Attempt}
	s.unlisted[t.Worker][key] = unlistedRun{job.Tenant, t.Resources, nowMs + unlistedMs}
	s.shares.use(job.Tenant, t.Resources)
}

// releaseListed releases the shares of runs that a report tells the end of, or no longer lists.
func (s *ownedShard) releaseListed(m *wire.AgentReport) {
	runs := s.unlisted[m.Worker]
	if len(runs) == 0 {
		return
	}
	atWork, ended := map[wire.AttemptKey]bool{}, map[wire.AttemptKey]bool{}
	for _, status := range m.Attempts {
		atWork[status.Key], ended[status.Key] = status.State != wire.AttemptEnded, status.State == wire.AttemptEnded
	}
	s.releaseRuns(m.Worker, func(key wire.AttemptKey, _ unlistedRun) bool {
		return ended[key] || !m.Partial && m.Rebuilt && !atWork[key]
	})
}

// releaseLapsed releases the shares of runs whose workers said nothing for longer than they may
// run without a word.
func (s *ownedShard) releaseLapsed(nowMs int64) {
	for _, worker := range sortedKeys(s.unlisted) {
		s.releaseRuns(worker, func(_ wire.AttemptKey, run unlistedRun) bool { return nowMs > run.untilMs })
	}
}

// releaseRuns releases the shares of those unlisted runs at a worker that are over.
func (s *ownedShard) releaseRuns(worker string, over func(wire.AttemptKey, unlistedRun) bool) {
	for key, run := range s.unlisted[worker] { // sums: the order does not matter
		if over(key, run) {
			s.shares.release(run.tenant, run.amount)
			delete(s.unlisted[worker], key)
		}
	}
	if len(s.unlisted[worker]) == 0 {
		delete(s.unlisted, worker)
	}
}
