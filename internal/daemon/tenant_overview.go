package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"otterchute/internal/resource"

	"github.com/gin-gonic/gin"
	"github.com/tidwall/gjson"
)

// tenantOverview is what `otterchute tenants` shows: the merged reports of all shards.
type tenantOverview struct {
	Tenants []tenantSummary `json:"tenants"`
	Total   tenantTotal     `json:"total"`
	// Incomplete lists the counting shards without a report from each of the others. Until they have all reports,
	// their tenants get no further shares.
	Incomplete []string `json:"incomplete"`
	Omitted    int      `json:"omitted,omitempty"`
}

// tenantSummary is one tenant over all shards.
type tenantSummary struct {
	countedTenant

	Shard    string                `json:"slice"` // the shard whose owner counts the tenant
	Complete bool                  `json:"complete"`
	Silent   []string              `json:"silent,omitempty"`
	Jobs     int                   `json:"jobs"`
	Excess   int64                 `json:"excess"`
	Refused  int64                 `json:"refused"`
	Shares   map[string]shardShare `json:"shares"` // by shard
}

// shardShare is what one shard holds and uses of a tenant's limit.
type shardShare struct {
	Held resource.Amount `json:"held"`
	Used resource.Amount `json:"used"`
}

// tenantTotal is the sum over all tenants.
type tenantTotal struct {
	Tenants int             `json:"tenants"`
	Lent    resource.Amount `json:"lent"`
	Used    resource.Amount `json:"used"`
	Waiting int             `json:"waiting"`
	Jobs    int             `json:"jobs"`
	Excess  int64           `json:"excess"`
	Refused int64           `json:"refused"`
}

// mergeTenants merges the reports of all shards' owners.
func mergeTenants(reports []shardTenants) tenantOverview {
	out, byName := tenantOverview{Tenants: []tenantSummary{}, Incomplete: []string{}}, map[string]*tenantSummary{}
	summaryOf := func(name string) *tenantSummary {
		if byName[name] == nil {
			byName[name] = &tenantSummary{countedTenant: countedTenant{Name: name}, Shares: map[string]shardShare{}}
		}
		return byName[name]
	}
	for _, report := range reports {
		out.Omitted += report.Omitted
		if !report.Complete && len(report.Counted) > 0 {
			out.Incomplete = append(out.Incomplete, report.Shard)
		}
		for _, counted := range report.Counted {
			t := summaryOf(counted.Name)
			t.countedTenant, t.Shard, t.Complete, t.Silent = counted, report.Shard, report.Complete, report.Silent
		}
		for _, held := range report.Held {
			t := summaryOf(held.Name)
			t.Shares[report.Shard] = shardShare{held.Held, held.Used}
			t.Jobs, t.Excess, t.Refused = t.Jobs+held.Jobs, t.Excess+held.Excess, t.Refused+held.Refused
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		t := byName[name]
		out.Tenants = append(out.Tenants, *t)
		out.Total.add(t)
	}
	return out
}

func (sum *tenantTotal) add(t *tenantSummary) {
	sum.Tenants++
	sum.Lent, sum.Used = sum.Lent.Plus(t.Lent), sum.Used.Plus(t.Used)
	sum.Waiting, sum.Jobs = sum.Waiting+t.Waiting, sum.Jobs+t.Jobs
	sum.Excess, sum.Refused = sum.Excess+t.Excess, sum.Refused+t.Refused
}

// serveTenants replies with the merged reports of all shards' owners.
func (d *httpServer) serveTenants(c *gin.Context) {
	writeReply(c, gatherTenants(c.Request.Context(), d.request))
}

// gatherTenants requests the report of each shard's owner and merges them. If a request fails, its reply is the
// result, since the sums would be wrong without that shard.
func gatherTenants(ctx context.Context, send func(context.Context, evRequest) effReply) effReply {
	members := send(ctx, evRequest{Op: "members", Base: -1})
	if members.Status != 200 {
		return members
	}
	var reports []shardTenants
	for _, shard := range gjson.GetBytes(members.Body, "slices").Array() {
		reply := send(ctx, evRequest{Op: "tenants", Key: shard.Str, Base: -1})
		if reply.Status != 200 {
			return reply
		}
		var report shardTenants
		if json.Unmarshal(reply.Body, &report) != nil {
			reason := "slice " + shard.Str + " gave no readable answer"
			return effReply{Status: 503, RetryMs: 1000, Body: mustJSON(map[string]any{"error": reason})}
		}
		reports = append(reports, report)
	}
	return effReply{Status: 200, Body: mustJSON(mergeTenants(reports))}
}
