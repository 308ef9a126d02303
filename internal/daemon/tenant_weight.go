package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/schema"
)

// A tenant's weight is how many jobs a second count as its own. The owner of each shard finds the
// jobs beyond it when it admits them: they keep their class, but all tasks of others go first, and
// where there is no room they are refused. Whether a job is one of them is kept in no record: a
// shard's next owner treats it like any other.

const (
	excessRecordsPercent = 50     // percent of a queue's or shard's live jobs that may be there when one is let in
	excessWaitingMax     = 32     // excess jobs of a tenant in a shard that wait while room is short
	excessRetryMinMs     = 1000   // when a refused job may come back, at the earliest
	excessRetryMaxMs     = 10_000 // and at the latest
)

// shardWeight is how many jobs a second a tenant may send to each shard: jobs are spread evenly.
func (n *node) shardWeight(tenant string) float64 {
	t := n.config.current.Tenants[tenant]
	if t == nil || len(n.core.Shards) == 0 {
		return 0
	}
	return t.Weight / float64(len(n.core.Shards))
}

// isExcess counts a new job, and tells whether it is beyond its tenant's weight.
func (n *node) isExcess(shard *ownedShard, tenant string) bool {
	return n.Policies.On(scheduler.TenantWeight) && shard.jobRates.CountJob(tenant, n.shardWeight(tenant), n.now)
}

// precedence ranks the tasks of a queue, see scheduler.Precedence.
func (n *node) precedence(queue string, excess bool) int64 {
	return scheduler.Precedence(n.config.current.Urgency(queue), excess)
}

// mayUseUrgentHeadroom tells whether tasks of a queue may take the room kept for the most urgent ones.
func (n *node) mayUseUrgentHeadroom(q *configuration.Queue, excess bool) bool {
	return !excess && n.isUrgent(q)
}

// rejectExcess refuses an excess job while many of its tenant wait for room, or for a share of
// its limit. It may come back when about as many could have been started.
func (n *node) rejectExcess(shard *ownedShard, tenant string) *rejection {
	waiting, lacking := 0, false
	for _, job := range shard.jobs {
		if job.excess && job.Tenant == tenant && job.state() == "pending" && job.roundDueMs(0) <= n.fleetTime() {
			waiting++
			lacking = lacking || job.waitsForShare
		}
	}
	if waiting < excessWaitingMax || !lacking && !n.shortOfRoom(shard) {
		return nil
	}
	n.count("jobs_rejected_excess")
	retryMs := int64(float64(waiting) * 1000 / n.shardWeight(tenant))
	return &rejection{
		status:  429,
		retryMs: min(max(retryMs, excessRetryMinMs), excessRetryMaxMs),
		faults:  []schema.Fault{{Path: "queue", Reason: "has no room for more than the tenant's weight"}},
	}
}

// addTenantShares tells of requests what their tenants have of all room, and what the requests add.
func (n *node) addTenantShares(c *centralScheduler, keys []allocationKey, requests []scheduler.FairRequest) {
	var all resource.Amount
	for _, w := range c.workers { // a sum: the order does not matter
		all = all.Plus(w.Capacity)
	}
	used := c.usedByTenants(len(n.core.Shards))
	for i, k := range keys {
		request, weight := c.pending[k], float64(0)
		if t := n.config.current.Tenants[request.Tenant]; t != nil {
			weight = t.Weight
		}
		adds := resource.Amount{}
		for range request.open() {
			adds = adds.Plus(request.Resources)
		}
		requests[i].Tenant = request.Tenant
		requests[i].Share = scheduler.WeightedShare(used[request.Tenant], all, weight)
		requests[i].AddedShare = scheduler.WeightedShare(adds, all, weight)
	}
}

// usedByTenants gives what tenants with requests have in all shards: the newest that their owners
// told, and for shards that requested nothing the mean of the others, since jobs are spread evenly.
func (c *centralScheduler) usedByTenants(shards int) map[string]resource.Amount {
	newest := map[string]map[string]*pendingAllocation{} // by tenant and shard
	for _, request := range c.pending {
		byShard := newest[request.Tenant]
		if byShard == nil {
			byShard = map[string]*pendingAllocation{}
			newest[request.Tenant] = byShard
		}
		if last := byShard[request.Shard]; last == nil || request.lastMs > last.lastMs ||
			request.lastMs == last.lastMs && request.Job > last.Job {
			byShard[request.Shard] = request
		}
	}
	used := map[string]resource.Amount{}
	for tenant, byShard := range newest {
		var sum resource.Amount
		for _, request := range byShard { // a sum: the order does not matter
			sum = sum.Plus(request.TenantUsed)
		}
		known, all := int64(len(byShard)), int64(max(shards, len(byShard)))
		inAll := func(v int64) int64 { return v * all / known }
		used[tenant] = resource.Amount{CPU: inAll(sum.CPU), Memory: inAll(sum.Memory), GPU: inAll(sum.GPU)}
	}
	return used
}
