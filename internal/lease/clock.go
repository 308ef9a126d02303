package lease

import (
	"slices"

	"otterchute/internal/quorum"
)

const (
	// clockOldMs: a clock reading older than this is replaced by a later one, or
	// has no say.
	clockOldMs = 10_000
	// ClockWarmupMs is how long a core member hears clocks before it tells the
	// fleet's time.
	ClockWarmupMs = 800
	// medianMs is how long a core member tells the fleet's time by one median of all clocks:
	// it answers each daemon's polls, and clocks move little.
	medianMs = 100
)

// Clock is the fleet's time as one daemon knows it: the median of what the core
// members make of all clocks they hear, carried by the own steady clock. So a
// minority of wrong clocks, of core members or not, has no say.
type Clock struct {
	members map[string]clockBounds
}

// clockBounds bounds a core member's word on the fleet's time, minus our steady
// clock: it spoke after we asked and before we heard it. The closest bounds of
// the last seconds count.
type clockBounds struct{ least, leastMs, most, mostMs int64 }

// Observe takes the fleet's time, in ms, that a member told in answer to a poll
// sent at sentMs; 0 is none.
func (c *Clock) Observe(member string, fleetMs, sentMs, nowMs int64) {
	if fleetMs == 0 {
		return
	}
	if c.members == nil {
		c.members = map[string]clockBounds{}
	}
	b, known := c.members[member]
	if least := fleetMs - nowMs; !known || least >= b.least || nowMs-b.leastMs >= clockOldMs {
		b.least, b.leastMs = least, nowMs
	}
	if most := fleetMs - sentMs; !known || most <= b.most || nowMs-b.mostMs >= clockOldMs {
		b.most, b.mostMs = most, nowMs
	}
	c.members[member] = b
}

// RetainMembers takes the say of those that are no members of a set, and returns them.
func (c *Clock) RetainMembers(set quorum.Set) (forgotten []string) {
	for name := range c.members {
		if !set.HasName(name) {
			delete(c.members, name)
			forgotten = append(forgotten, name)
		}
	}
	return forgotten
}

// Readings is how many members have told the fleet's time.
func (c *Clock) Readings() int { return len(c.members) }

// Earliest is the fleet's time, in ms, at the least; 0 while it is unknown.
func (c *Clock) Earliest(set quorum.Set, nowMs int64) int64 {
	all := c.bounds(set, func(b clockBounds) int64 { return b.least })
	if len(all) == 0 {
		return 0
	}
	return all[(len(all)-1)/2] + nowMs
}

// Latest is the fleet's time, in ms, at the most. A delay counts from here, so
// that no later owner, with a better reading, finds a job due too early.
func (c *Clock) Latest(set quorum.Set, nowMs int64) int64 {
	all := c.bounds(set, func(b clockBounds) int64 { return b.most })
	if len(all) == 0 {
		return 0
	}
	return all[len(all)/2] + nowMs
}

// bounds returns one bound of each member of a set, in order.
func (c *Clock) bounds(set quorum.Set, of func(clockBounds) int64) (all []int64) {
	for _, m := range set.Members {
		if b, ok := c.members[m.Name]; ok {
			all = append(all, of(b))
		}
	}
	slices.Sort(all)
	return all
}
