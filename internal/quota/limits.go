package quota

import (
	"maps"
	"slices"
)

// Limits are the limits that one daemon goes by, and since when it does.
//
// A version may leave a tenant out that an earlier one declared. What the tenant handed in goes
// on within the limit that it had last.
type Limits struct {
	version   int64
	byTenant  map[string]Limit
	loweredIn map[string]int64
}

// Adopt goes by another version of the configuration, which was accepted after the previous one,
// and gives the tenants whose limits are lower than they may have been: where this daemon has
// skipped the previous one, that may have had a higher limit. A version without tenants gives
// nil, and nothing is counted.
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

// Version is the version of the configuration that the limits are of.
func (l *Limits) Version() int64 { return l.version }

// HasTenants tells whether there is a tenant to count.
func (l *Limits) HasTenants() bool { return len(l.byTenant) > 0 }

// Of is a tenant's limit; none for a tenant that no version has declared.
func (l *Limits) Of(tenant string) Limit { return l.byTenant[tenant] }

// Declared tells whether some version has declared a tenant.
func (l *Limits) Declared(tenant string) bool {
	_, declared := l.byTenant[tenant]
	return declared
}

// LoweredIn is the version that lowered a tenant's limit last, as far as this daemon knows; 0 for
// none. What was arranged by an earlier one may have been so by a higher limit.
func (l *Limits) LoweredIn(tenant string) int64 { return l.loweredIn[tenant] }

// Outdated tells whether what a version arranged for a tenant may be beyond its limit now.
func (l *Limits) Outdated(tenant string, version int64) bool {
	return !l.Of(tenant).Unlimited() && version < l.LoweredIn(tenant)
}
