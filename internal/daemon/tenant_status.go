package daemon

import (
	"maps"
	"slices"

	"otterchute/internal/resource"
)

// The status of tenants for operators: each shard's owner reports on the tenants that it counts, and on the share that
// its shard holds of any tenant. Keys and their digests are never shown.

const (
	reportSilentMs   = 5000 // an owner is silent after this time without a report; it sends one each second
	shareStuckMs     = 3000 // doctor shows units that have waited for a share for longer than this
	tenantsListedMax = 1000 // counted tenants, and likewise held tenants, that a shard's owner lists
	tenantLabelsMax  = 32   // tenants with metrics of their own; the others are summed as otherTenants
	otherTenants     = "other"
)

// countedTenant is the usage of a tenant as counted by the owner of its counting shard.
type countedTenant struct {
	Name     string          `json:"name"`
	Weight   float64         `json:"weight"`
	Limit    resource.Amount `json:"limit"`
	Lent     resource.Amount `json:"lent"`
	Used     resource.Amount `json:"used"`
	Waiting  int             `json:"waiting"` // allocation units that wait for a share
	WaitedMs int64           `json:"waited_ms"`
}

// heldTenant is a tenant's share and jobs in one shard, as the shard's owner has them.
type heldTenant struct {
	Name    string          `json:"name"`
	Held    resource.Amount `json:"held"`
	Used    resource.Amount `json:"used"`
	Jobs    int             `json:"jobs"`
	Excess  int64           `json:"excess"`  // jobs beyond its weight since the owner acquired the shard
	Refused int64           `json:"refused"` // jobs rejected with a retry time since then
}

// shardTenants is the report of one shard's owner on tenants.
type shardTenants struct {
	Shard    string          `json:"slice"`
	Owner    string          `json:"owner"`
	Complete bool            `json:"complete"` // each shard has reported; nothing is granted before that
	Silent   []string        `json:"silent"`   // shards that haven't reported for reportSilentMs
	Counted  []countedTenant `json:"counted"`
	Held     []heldTenant    `json:"held"`
	Omitted  int             `json:"omitted"` // tenants beyond tenantsListedMax
}

// admissionCounts counts a tenant's jobs at a shard since the owner acquired it.
type admissionCounts struct{ excess, refused int64 }

// countAdmission counts a new job of a tenant that was in excess of its weight or refused.
func (s *ownedShard) countAdmission(tenant string, excess, refused bool) {
	if tenant == "" || !excess && !refused {
		return
	}
	if s.admissions == nil {
		s.admissions = map[string]admissionCounts{}
	}
	counts := s.admissions[tenant]
	if excess {
		counts.excess++
	}
	if refused {
		counts.refused++
	}
	s.admissions[tenant] = counts
}

// routeTenants routes a request for the tenants of a shard, named by the request's key, to the shard's owner.
func (n *node) routeTenants(req *request) {
	if !slices.Contains(n.core.Shards, req.key) {
		n.respond(req, 404, 0, mustJSON(map[string]any{"error": "no such slice"}))
		return
	}
	n.routeToShard(req, req.key)
}

// handleTenants replies with the tenants of a shard owned here.
func (n *node) handleTenants(shard *ownedShard, req *request) {
	n.respond(req, 200, 0, mustJSON(n.tenantsOf(shard)))
}

// tenantsOf returns the report on the tenants of a shard owned here.
func (n *node) tenantsOf(shard *ownedShard) shardTenants {
	out := shardTenants{
		Shard: shard.name, Owner: n.Name, Silent: n.silentShards(shard), Counted: n.countedTenants(shard),
		Held: n.heldTenants(shard),
	}
	if c := n.counters[shard.name]; c != nil {
		out.Complete = c.HasAllReports(n.core.Shards)
	}
	if over := len(out.Counted) - tenantsListedMax; over > 0 {
		out.Counted, out.Omitted = out.Counted[:tenantsListedMax], out.Omitted+over
	}
	if over := len(out.Held) - tenantsListedMax; over > 0 {
		out.Held, out.Omitted = out.Held[:tenantsListedMax], out.Omitted+over
	}
	return out
}

// countedTenants returns the tenants that a shard's owner counts, by name: those that the configuration declares, and
// those that it no longer declares and that still have a share.
func (n *node) countedTenants(shard *ownedShard) []countedTenant {
	byName := map[string]countedTenant{}
	for name, t := range n.config.current.Tenants {
		if countingShard(name, n.core.Shards) == shard.name {
			byName[name] = countedTenant{Name: name, Weight: t.Weight, Limit: t.Limit}
		}
	}
	if c := n.counters[shard.name]; c != nil {
		for _, usage := range c.Usages() {
			t := byName[usage.Tenant]
			t.Name, t.Limit = usage.Tenant, resource.Amount(n.limits.Of(usage.Tenant))
			t.Lent, t.Used, t.Waiting, t.WaitedMs = usage.Lent, usage.Used, usage.Claimed, usage.WaitedMs
			byName[usage.Tenant] = t
		}
	}
	tenants := make([]countedTenant, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		tenants = append(tenants, byName[name])
	}
	return tenants
}

// heldTenants returns the tenants that have jobs or counts of admission at a shard, by name.
func (n *node) heldTenants(shard *ownedShard) []heldTenant {
	byName := map[string]*heldTenant{}
	tenantOf := func(name string) *heldTenant {
		if byName[name] == nil {
			byName[name] = &heldTenant{Name: name}
			if b := shard.shares.borrowerFor(name); b != nil {
				byName[name].Held, byName[name].Used = b.Held(name)
			}
		}
		return byName[name]
	}
	for _, job := range shard.jobs {
		if job.Tenant != "" {
			tenantOf(job.Tenant).Jobs++
		}
	}
	for name, counts := range shard.admissions {
		t := tenantOf(name)
		t.Excess, t.Refused = counts.excess, counts.refused
	}
	tenants := make([]heldTenant, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		tenants = append(tenants, *byName[name])
	}
	return tenants
}

// recordShareReport records the time at which a shard's owner reported to a counter here.
func (n *node) recordShareReport(counter, shard string) {
	if n.shareReports[counter] == nil {
		n.shareReports[counter] = map[string]int64{}
	}
	n.shareReports[counter][shard] = n.now
}

// silentShards returns the shards whose owners have not reported to the counter of a shard for reportSilentMs.
func (n *node) silentShards(shard *ownedShard) []string {
	silent := []string{}
	if !n.limits.HasTenants() {
		return silent
	}
	for _, otherShard := range n.core.Shards {
		if n.now-max(n.shareReports[shard.name][otherShard], shard.startMs) > reportSilentMs {
			silent = append(silent, otherShard)
		}
	}
	return silent
}

// counterHealth returns, for each shard owned here whose counter has a problem, the shards that don't report to it and
// the tenants whose tasks have waited at the limit for longer than shareStuckMs. It is part of what doctor shows.
func (n *node) counterHealth() map[string]any {
	health := map[string]any{}
	for _, name := range sortedKeys(n.shards) {
		shard, waiting := n.shards[name], map[string]int{}
		if c := n.counters[name]; c != nil {
			for _, usage := range c.Usages() {
				if usage.WaitedMs > shareStuckMs && len(waiting) < tenantLabelsMax {
					waiting[usage.Tenant] = usage.Claimed
				}
			}
		}
		if silent := n.silentShards(shard); len(silent)+len(waiting) > 0 {
			health[name] = map[string]any{"silent": silent, "waiting": waiting}
		}
	}
	return health
}

// tenantGauges are the metrics of one tenant, or the sum of all tenants without metrics of their own.
type tenantGauges struct {
	lent, used resource.Amount
	claims     int
}

// tenantMetrics returns the metrics of the tenants counted here by label: separate ones for the first tenantLabelsMax
// tenants by weight and name, and one sum for the others.
func (n *node) tenantMetrics() map[string]tenantGauges {
	labels, metrics := n.tenantLabels(), map[string]tenantGauges{}
	for _, name := range sortedKeys(n.counters) {
		for _, usage := range n.counters[name].Usages() {
			label := otherTenants
			if labels[usage.Tenant] {
				label = usage.Tenant
			}
			m := metrics[label]
			m.lent, m.used, m.claims = m.lent.Plus(usage.Lent), m.used.Plus(usage.Used), m.claims+usage.Claimed
			metrics[label] = m
		}
	}
	return metrics
}

// tenantLabels returns the tenants that have metrics of their own. The result is the same at all daemons.
func (n *node) tenantLabels() map[string]bool {
	tenants := n.config.current.Tenants
	names := sortedKeys(tenants)
	slices.SortStableFunc(names, func(a, b string) int {
		switch {
		case tenants[a].Weight > tenants[b].Weight:
			return -1
		case tenants[a].Weight < tenants[b].Weight:
			return 1
		}
		return 0
	})
	labels := map[string]bool{}
	for _, name := range names[:min(len(names), tenantLabelsMax)] {
		labels[name] = name != otherTenants
	}
	return labels
}

// explainShare describes the usage of a tenant's limit for which a task waits. It returns "" if the task doesn't wait.
func (n *node) explainShare(job *liveJob, i int) string {
	shard := n.shards[n.shardOf(job.ID)]
	if shard == nil || !job.waitsForShare || n.hasReservedShare(shard, job, i, job.allocationUnit(i)) {
		return ""
	}
	limit := resource.Amount(n.limits.Of(job.Tenant))
	held, used := shard.shares.borrowerFor(job.Tenant).Held(job.Tenant)
	text := "waiting for the limit of tenant " + job.Tenant + ", " + amountText(limit) + ": here it uses " +
		amountText(used) + " of " + amountText(held) + " that this slice may use"
	counter := n.counters[countingShard(job.Tenant, n.core.Shards)]
	if counter == nil {
		return text
	}
	for _, usage := range counter.Usages() {
		if usage.Tenant == job.Tenant {
			text += "; over all slices it uses " + amountText(usage.Used) + " of " + amountText(usage.Lent)
		}
	}
	return text
}

// amountText formats an amount as JSON, as operators write it.
func amountText(amount resource.Amount) string { return string(mustJSON(amount)) }
