package lease

import (
	"slices"

	"otterchute/internal/quorum"
)

const (
	// clockExpiryMs is the age at which a clock reading is replaced by any newer one. A Granter
	// drops readings twice as old.
	clockExpiryMs = 10_000
	// ClockWarmupMs is how long a core member collects clock readings before it reports the
	// cluster's time.
	ClockWarmupMs = 800
	// medianIntervalMs is how long a computed median is reused: a core member reports the cluster's
	// time in its response to every poll, and clocks drift little in between.
	medianIntervalMs = 100
)

// Clock is one daemon's estimate of the cluster's time: the median of what the core members report,
// advanced by the daemon's own monotonic clock. Each core member in turn reports the median of all
// clocks it observes, so a minority of wrong clocks has no effect.
type Clock struct {
	members map[string]clockBounds
}

// clockBounds holds bounds on the cluster's time minus this daemon's monotonic clock, as derived
// from one core member: the member took the reading after the poll was sent and before the response
// arrived. The tightest bounds within clockExpiryMs are kept.
type clockBounds struct{ lower, lowerAtMs, upper, upperAtMs int64 }

// Observe records the cluster's time, in ms, from a member's response to a poll sent at sentMs. A
// time of 0 means that the member doesn't know it.
func (c *Clock) Observe(member string, clusterMs, sentMs, nowMs int64) {
	if clusterMs == 0 {
		return
	}
	if c.members == nil {
		c.members = map[string]clockBounds{}
	}
	b, known := c.members[member]
	if lower := clusterMs - nowMs; !known || lower >= b.lower || nowMs-b.lowerAtMs >= clockExpiryMs {
		b.lower, b.lowerAtMs = lower, nowMs
	}
	if upper := clusterMs - sentMs; !known || upper <= b.upper || nowMs-b.upperAtMs >= clockExpiryMs {
		b.upper, b.upperAtMs = upper, nowMs
	}
	c.members[member] = b
}

// RetainMembers drops the readings of daemons that are not members of a set, and returns their
// names.
func (c *Clock) RetainMembers(set quorum.Set) (forgotten []string) {
	for name := range c.members {
		if !set.HasName(name) {
			delete(c.members, name)
			forgotten = append(forgotten, name)
		}
	}
	return forgotten
}

// Readings returns the number of members that have reported the cluster's time.
func (c *Clock) Readings() int { return len(c.members) }

// Earliest returns a lower bound on the cluster's time, in ms; 0 while it is unknown.
func (c *Clock) Earliest(set quorum.Set, nowMs int64) int64 {
	all := c.bounds(set, func(b clockBounds) int64 { return b.lower })
	if len(all) == 0 {
		return 0
	}
	return all[(len(all)-1)/2] + nowMs
}

// Latest returns an upper bound on the cluster's time, in ms. Delays are counted from it, so that a
// later owner with a more accurate reading doesn't start a job before it is due.
func (c *Clock) Latest(set quorum.Set, nowMs int64) int64 {
	all := c.bounds(set, func(b clockBounds) int64 { return b.upper })
	if len(all) == 0 {
		return 0
	}
	return all[len(all)/2] + nowMs
}

// bounds returns one bound of each member of a set, sorted.
func (c *Clock) bounds(set quorum.Set, of func(clockBounds) int64) (all []int64) {
	for _, m := range set.Members {
		if b, ok := c.members[m.Name]; ok {
			all = append(all, of(b))
		}
	}
	slices.Sort(all)
	return all
}
