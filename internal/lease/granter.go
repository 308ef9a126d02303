package lease

import (
	"maps"
	"slices"

	"otterchute/internal/wire"
)

// Granter is a core member's record of the leases it has granted and of the clocks it observes.
// None of it is stored.
type Granter struct {
	gracePeriodUntilMs int64 // until then a lease is granted only if the last holder is known to have ended
	observingSinceMs   int64 // when this member began to observe clocks
	grants             map[string]*grant
	clocks             map[string]clockReading // by daemon, of all that poll this member
	latestPolls        map[string]pollID       // by daemon
	median             clockMedian

	clocksPrunedMs int64 // when expired clock readings were last removed
}

// clockMedian is the most recently computed median of all clocks.
type clockMedian struct {
	offsetMs int64
	atMs     int64
	clocks   int
	known    bool
}

// grant is a lease given to one process. One without a holder was released.
type grant struct {
	holder    Process
	epoch     uint64
	untilMs   int64
	successor string
}

// Process identifies one process of a daemon.
type Process struct {
	Name        string
	Incarnation uint64
	Addr        string // only one process at a time can listen there
}

// same reports whether both are the same process, regardless of the address.
func (p Process) same(other Process) bool {
	return p.Name == other.Name && p.Incarnation == other.Incarnation
}

// clockReading is a daemon's wall clock minus this member's monotonic one.
type clockReading struct{ offsetMs, atMs int64 }

// pollID identifies a poll by the process that sent it and its sequence number.
type pollID struct{ incarnation, seq uint64 }

// NewGranter returns the granter of a member that has not granted any lease yet.
//
// Example: g := lease.NewGranter(); g.DelayGrants(now)
func NewGranter() *Granter {
	return &Granter{grants: map[string]*grant{}, clocks: map[string]clockReading{}, latestPolls: map[string]pollID{}}
}

// DelayGrants starts a grace period of one whole lease, in which the member grants a lease only if
// the last holder is known to have ended. After a start, or after joining the core, it may have
// granted leases that it has no record of.
func (g *Granter) DelayGrants(nowMs int64) {
	g.gracePeriodUntilMs, g.observingSinceMs = nowMs+DurationMs, nowMs
}

// GrantDelayLeftMs returns how long the grace period still lasts.
func (g *Granter) GrantDelayLeftMs(nowMs int64) int64 { return max(0, g.gracePeriodUntilMs-nowMs) }

// ObservePoll records a poll and reports whether it is stale: whether a later one of the same
// process was received before. The leases requested or released in a stale poll may have changed
// since.
func (g *Granter) ObservePoll(from string, m *wire.PollRequest) bool {
	if p := g.latestPolls[from]; p.incarnation == m.Incarnation && m.Seq < p.seq {
		return true
	}
	g.latestPolls[from] = pollID{m.Incarnation, m.Seq}
	return false
}

// ObserveClock records a daemon's wall clock. Delays in transit or in a queue make a clock appear
// late, never early, so the highest offset within clockExpiryMs is the most accurate.
func (g *Granter) ObserveClock(from string, wallMs, nowMs int64) {
	c, known := g.clocks[from]
	if !known || wallMs-nowMs >= c.offsetMs || nowMs-c.atMs > clockExpiryMs {
		g.clocks[from] = clockReading{wallMs - nowMs, nowMs}
	}
}

// ClusterTime returns the median of the wall clocks that this member observes, its own among them,
// in ms; 0 while it is unknown. It is unknown for ClockWarmupMs after a start, so that other
// daemons' clocks are included, and while readings of at most half of the live daemons are
// available.
func (g *Granter) ClusterTime(nowMs int64, alive int) int64 {
	if nowMs-g.observingSinceMs < ClockWarmupMs {
		return 0
	}
	if nowMs-g.clocksPrunedMs >= medianIntervalMs {
		g.clocksPrunedMs = nowMs
		maps.DeleteFunc(g.clocks, func(_ string, c clockReading) bool { return nowMs-c.atMs > 2*clockExpiryMs })
	}
	if 2*len(g.clocks) <= alive {
		return 0
	}
	return g.medianOffset(nowMs) + nowMs
}

// medianOffset returns the median offset of all clocks. It is recomputed after medianIntervalMs, or
// when the number of clocks has changed.
func (g *Granter) medianOffset(nowMs int64) int64 {
	if m := g.median; m.known && nowMs-m.atMs < medianIntervalMs && m.clocks == len(g.clocks) {
		return m.offsetMs
	}
	all := make([]int64, 0, len(g.clocks))
	for _, c := range g.clocks {
		all = append(all, c.offsetMs)
	}
	slices.Sort(all)
	g.median = clockMedian{offsetMs: all[(len(all)-1)/2], atMs: nowMs, clocks: len(all), known: true}
	return g.median.offsetMs
}

// ClockOffsets returns each daemon's wall clock minus the given time, in ms, as of nowMs.
func (g *Granter) ClockOffsets(clusterMs, nowMs int64) map[string]int64 {
	out := map[string]int64{}
	for name, c := range g.clocks {
		out[name] = c.offsetMs + nowMs - clusterMs
	}
	return out
}

// Release takes back the leases that a process gives up. Only the named successor may be granted
// such a lease at once; without a named successor any daemon may.
func (g *Granter) Release(from Process, releases []wire.LeaseRelease, nowMs int64) {
	for _, r := range releases {
		if current := g.grants[r.Name]; current != nil && current.holder.same(from) {
			*current = grant{untilMs: nowMs + DurationMs, epoch: current.epoch, successor: r.Successor}
		}
	}
}

// Grant grants a process the lease of a role, or renews it, and reports whether it did. It refuses
// if another process may hold the role. last is the latest holder that this member's disk records;
// ended reports whether a process is known to have ended.
func (g *Granter) Grant(
	r wire.LeaseRequest, to Process, last wire.RoleHolder, nowMs int64, ended func(Process) bool,
) bool {
	if !g.free(r.Name, to, nowMs, ended) {
		return false
	}
	lastHolder := Process{last.Holder, last.Incarnation, last.Addr}
	if nowMs < g.gracePeriodUntilMs && last.Holder != "" && !ended(lastHolder) {
		return false
	}
	if r.Epoch != 0 && r.Epoch < last.Epoch { // the process has lost the role, but has not detected it yet
		return false
	}
	g.grants[r.Name] = &grant{holder: to, epoch: r.Epoch, untilMs: nowMs + DurationMs}
	return true
}

// free reports whether no other process may hold a lease that this member granted.
func (g *Granter) free(role string, to Process, nowMs int64, ended func(Process) bool) bool {
	current := g.grants[role]
	switch {
	case current == nil || current.untilMs <= nowMs, current.holder.same(to):
		return true
	case current.holder.Name == "":
		return current.successor == "" || current.successor == to.Name
	}
	return ended(current.holder)
}

// Holders returns the current leases, sorted by role, and drops those that expired.
func (g *Granter) Holders(nowMs int64) (out []wire.RoleHolder) {
	for _, role := range slices.Sorted(maps.Keys(g.grants)) {
		current := g.grants[role]
		if current.untilMs <= nowMs {
			delete(g.grants, role)
			continue
		}
		out = append(out, wire.RoleHolder{Name: role, Holder: current.holder.Name, Incarnation: current.holder.Incarnation,
			Epoch: current.epoch, Successor: current.successor})
	}
	return out
}
