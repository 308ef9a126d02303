package quota

import (
	"maps"
	"slices"
)

// Limits holds the tenant limits that one daemon applies, and the versions that lowered them.
//
// If a version no longer declares a tenant that an earlier one declared, the jobs of that tenant
// continue under its last limit.
type Limits struct {
	version   int64
	byTenant  map[string]Limit
	loweredIn map[string]int64
}

// Adopt applies a version of the configuration, whose predecessor is the previous version, and
// returns the tenants whose limits may have become lower. If this daemon skipped the previous
// version, that includes every tenant with a limit, since the skipped version may have had a
// higher one. For a version without tenants byTenant is nil, and nothing is limited.
//
// Example: lowered := limits.Adopt(version, previous, map[string]Limit{"kaje80": {CPU: 64000}})
func (l *Limits) Adopt(version, previous int64, byTenant map[string]Limit) (lowered []string) {
	next := maps.Clone(byTenant)
	if next != nil {
		for tenant, limit := range l.byTenant {
			if _, declared := next[tenant]; !declared {
				next[tenant] = limit
			}
		}
	}
	if l.loweredIn == nil {
		l.loweredIn = map[string]int64{}
	}
	skipped := previous != l.version
	for _, tenant := range slices.Sorted(maps.Keys(next)) {
		if limit := next[tenant]; limit.LowerThan(l.byTenant[tenant]) || skipped && !limit.Unlimited() {
			l.loweredIn[tenant] = version
			lowered = append(lowered, tenant)
		}
	}
	l.version, l.byTenant = version, next
	return lowered
}

// Version returns the configuration version of the limits.
func (l *Limits) Version() int64 { return l.version }

// HasTenants reports whether any tenant is declared.
func (l *Limits) HasTenants() bool { return len(l.byTenant) > 0 }

// Of returns the limit of a tenant; a tenant that no version has declared is unlimited.
func (l *Limits) Of(tenant string) Limit { return l.byTenant[tenant] }

// Declared reports whether this or an earlier version declares a tenant.
func (l *Limits) Declared(tenant string) bool {
	_, declared := l.byTenant[tenant]
	return declared
}

// LoweredIn returns the last version known to this daemon that may have lowered the limit of a
// tenant; 0 if there is none. Decisions made under an earlier version may have used a higher limit.
func (l *Limits) LoweredIn(tenant string) int64 { return l.loweredIn[tenant] }

// Outdated reports whether a decision made under a version may exceed the current limit of a
// tenant.
func (l *Limits) Outdated(tenant string, version int64) bool {
	return !l.Of(tenant).Unlimited() && version < l.LoweredIn(tenant)
}
