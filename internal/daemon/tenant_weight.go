package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/schema"
)

// A tenant's weight is the number of jobs per second that it may submit. A job beyond that rate is an excess job; the
// owner of each shard detects it at admission. Excess jobs keep their class, but yield to the tasks of all other jobs,
// and are rejected if capacity is short. No record stores whether a job is an excess job, so the shard's next owner
// treats it like any other.

const (
	excessRecordsPercent = 50     // percent of a queue's or shard's limits on live jobs that excess jobs may fill
	excessWaitingMax     = 32     // excess jobs of a tenant that may wait in a shard while capacity is short
	excessRetryMinMs     = 1000   // shortest retry time of a rejected excess job
	excessRetryMaxMs     = 10_000 // longest retry time of a rejected excess job
)

// shardWeight returns the part of a tenant's weight that each shard has, since jobs are spread evenly over shards.
func (n *node) shardWeight(tenant string) float64 {
	t := n.config.current.Tenants[tenant]
	if t == nil || len(n.core.Shards) == 0 {
		return 0
	}
	return t.Weight / float64(len(n.core.Shards))
}

// isExcess counts a new job and reports whether it is beyond its tenant's weight.
func (n *node) isExcess(shard *ownedShard, tenant string) bool {
	return n.Policies.On(scheduler.TenantWeight) && shard.jobRates.CountJob(tenant, n.shardWeight(tenant), n.now)
}

// precedence returns the rank of a queue's tasks, see scheduler.Precedence.
func (n *node) precedence(queue string, excess bool) int64 {
	return scheduler.Precedence(n.config.current.Urgency(queue), excess)
}

// mayUseUrgentHeadroom reports whether tasks of a queue may use the headroom kept for the most urgent queues. Those of
// excess jobs may not.
func (n *node) mayUseUrgentHeadroom(q *configuration.Queue, excess bool) bool {
	return !excess && n.isUrgent(q)
}

// rejectExcess rejects an excess job while many of its tenant's excess jobs wait for capacity or for a share of its
// limit. The retry time is about the time in which the tenant's weight admits as many jobs as wait.
func (n *node) rejectExcess(shard *ownedShard, tenant string) *rejection {
	waiting, lacksShare := 0, false
	for _, job := range shard.jobs {
		if job.excess && job.Tenant == tenant && job.state() == "pending" && job.roundDueMs(0) <= n.clusterTime() {
			waiting++
			lacksShare = lacksShare || job.waitsForShare
		}
	}
	if waiting < excessWaitingMax || !lacksShare && !n.urgentWorkWaits(shard) {
		return nil
	}
	n.count("jobs_rejected_excess")
	retryMs := int64(float64(waiting) * 1000 / n.shardWeight(tenant))
	return &rejection{
		status:       429,
		retryAfterMs: min(max(retryMs, excessRetryMinMs), excessRetryMaxMs),
		faults:       []schema.Fault{{Path: "queue", Reason: "has no room for more than the tenant's weight"}},
	}
}

// addTenantShares sets on each request its tenant's weighted share of the whole capacity, and what the request would
// add to it.
func (n *node) addTenantShares(c *centralScheduler, keys []allocationKey, requests []scheduler.FairRequest) {
	var capacity resource.Amount
	for _, w := range c.workers { // a sum: the order does not matter
		capacity = capacity.Plus(w.Capacity)
	}
	used := c.usedByTenants(len(n.core.Shards))
	for i, key := range keys {
		request, weight := c.pending[key], float64(0)
		if t := n.config.current.Tenants[request.Tenant]; t != nil {
			weight = t.Weight
		}
		added := resource.Amount{}
		for range request.open() {
			added = added.Plus(request.Resources)
		}
		requests[i].Tenant = request.Tenant
		requests[i].Share = scheduler.WeightedShare(used[request.Tenant], capacity, weight)
		requests[i].AddedShare = scheduler.WeightedShare(added, capacity, weight)
	}
}

// usedByTenants returns what tenants with pending requests use over all shards. It sums the latest values that the
// shards' owners sent. Shards without a request count with the mean of the others, since jobs are spread evenly.
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
		knownShards, allShards := int64(len(byShard)), int64(max(shards, len(byShard)))
		scale := func(v int64) int64 { return v * allShards / knownShards }
		used[tenant] = resource.Amount{CPU: scale(sum.CPU), Memory: scale(sum.Memory), GPU: scale(sum.GPU)}
	}
	return used
}
