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

// tenantOverview is what `otterchute tenants` shows: all shards' word on tenants, put together.
type tenantOverview struct {
	Tenants []tenantSummary `json:"tenants"`
	Total   tenantTotal     `json:"total"`
	// Incomplete are the counting shards that have not heard from all others: their tenants get
	// nothing beyond what they hold.
	Incomplete []string `json:"incomplete"`
	Omitted    int      `json:"omitted,omitempty"`
}

// tenantSummary is one tenant over all shards.
type tenantSummary struct {
	countedTenant

	Shard    string                `json:"slice"` // whose owner counts it
	Complete bool                  `json:"complete"`
	Silent   []string              `json:"silent,omitempty"`
	Jobs     int                   `json:"jobs"`
	Excess   int64                 `json:"excess"`
	Refused  int64                 `json:"refused"`
	Shares   map[string]shardShare `json:"shares"` // by the shard that holds them
}

// shardShare is what one shard holds and uses of a tenant's limit.
type shardShare struct {
	Held resource.Amount `json:"held"`
	Used resource.Amount `json:"used"`
}

// tenantTotal sums what is told of all tenants.
type tenantTotal struct {
	Tenants int             `json:"tenants"`
	Lent    resource.Amount `json:"lent"`
	Used    resource.Amount `json:"used"`
	Waiting int             `json:"waiting"`
	Jobs    int             `json:"jobs"`
	Excess  int64           `json:"excess"`
	Refused int64           `json:"refused"`
}

// mergeTenants puts together what shards' owners told.
func mergeTenants(reports []shardTenants) tenantOverview {
	out, byName := tenantOverview{Tenants: []tenantSummary{}, Incomplete: []string{}}, map[string]*tenantSummary{}
	of := func(name string) *tenantSummary {
		if byName[name] == nil {
			byName[name] = &tenantSummary{countedTenant: countedTenant{Name: name}, Shares: map[string]shardShare{}}
		}
		return byName[name]
	}
	for _, w := range reports {
		out.Omitted += w.Omitted
		if !w.Complete && len(w.Counted) > 0 {
			out.Incomplete = append(out.Incomplete, w.Shard)
		}
		for _, counted := range w.Counted {
			t := of(counted.Name)
			t.countedTenant, t.Shard, t.Complete, t.Silent = counted, w.Shard, w.Complete, w.Silent
		}
		for _, held := range w.Held {
			t := of(held.Name)
			t.Shares[w.Shard] = shardShare{held.Held, held.Used}
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

// serveTenants puts together what each shard's owner tells of tenants.
func (h *httpServer) serveTenants(c *gin.Context) {
	writeReply(c, gatherTenants(c.Request.Context(), h.request))
}

// gatherTenants requests each shard's word on tenants. Without that of one the sums would be
// false: then its refusal is the answer.
func gatherTenants(ctx context.Context, send func(context.Context, evRequest) effReply) effReply {
	members := send(ctx, evRequest{Op: "members", Base: -1})
	if members.Status != 200 {
		return members
	}
	var reports []shardTenants
	for _, shard := range gjson.GetBytes(members.Body, "slices").Array() {
		r := send(ctx, evRequest{Op: "tenants", Key: shard.Str, Base: -1})
		if r.Status != 200 {
			return r
		}
		var report shardTenants
		if json.Unmarshal(r.Body, &report) != nil {
			reason := "slice " + shard.Str + " gave no readable answer"
			return effReply{Status: 503, RetryMs: 1000, Body: mustJSON(map[string]any{"error": reason})}
		}
		reports = append(reports, report)
	}
	return effReply{Status: 200, Body: mustJSON(mergeTenants(reports))}
}
