package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/scheduler"
	"otterchute/internal/schema"
)

// A tenant's weight is how many jobs a second count as its own. The owner of each shard finds the
// jobs beyond it when it admits them: they keep their class, but all tasks of others go first, and
// where there is no room they are refused. Whether a job is one of them is kept in no record: a
// shard's next owner treats it like any other.

const (
	excessRecords      = 50     // percent of a queue's or shard's live jobs that may be there when one is let in
	excessWaitingMax   = 32     // excess jobs of a tenant in a shard that wait while room is short
	excessRetryLeastMs = 1000   // when a refused job may come back, at the earliest
	excessRetryMostMs  = 10_000 // and at the latest
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
func (n *node) isExcess(sl *shard, tenant string) bool {
	return n.Policies.On(scheduler.TenantWeight) && sl.jobRates.IsExcess(tenant, n.shardWeight(tenant), n.now)
}

// precedence ranks the tasks of a queue, see scheduler.Precedence.
func (n *node) precedence(queue string, excess bool) int64 {
	return scheduler.Precedence(n.config.current.Urgency(queue), excess)
}

// usesKeptRoom tells whether tasks of a queue may take the room kept for the most urgent ones.
func (n *node) usesKeptRoom(q *configuration.Queue, excess bool) bool {
	return !excess && n.isUrgent(q)
}

// rejectExcess refuses an excess job while many of its tenant wait for room, or for a share of
// its limit. It may come back when about as many could have been started.
func (n *node) rejectExcess(sl *shard, tenant string) *rejection {
	waiting, lacking := 0, false
	for _, js := range sl.jobs {
		if js.excess && js.Tenant == tenant && js.state() == "pending" && js.dueOf(0) <= n.fleetTime() {
			waiting++
			lacking = lacking || js.lacks
		}
	}
	if waiting < excessWaitingMax || !lacking && !n.shortOfRoom(sl) {
		return nil
	}
	n.count("jobs_rejected_excess")
	retryMs := int64(float64(waiting) * 1000 / n.shardWeight(tenant))
	return &rejection{
		status:  429,
		retryMs: min(max(retryMs, excessRetryLeastMs), excessRetryMostMs),
		faults:  []schema.Fault{{Path: "queue", Reason: "has no room for more than the tenant's weight"}},
	}
}
