package lease

import (
	"maps"
	"slices"

	"otterchute/internal/wire"
)

// Granter is what a core member knows of the leases it gave out and of the clocks
// it hears. Nothing of it is stored.
type Granter struct {
	guardMs int64 // before this time a lease is granted only where the last holder is surely over
	startMs int64 // when this member began to hear clocks
	grants  map[string]*grant
	clocks  map[string]clockReading // of all daemons that poll here
	polls   map[string]pollMark     // the newest poll of each daemon
	median  clockMedian

	forgotMs int64 // when silent clocks were last dropped
}

// clockMedian is the median of all clocks as it was last worked out.
type clockMedian struct {
	offsetMs int64
	atMs     int64
	clocks   int
	known    bool
}

// grant is a lease given to one process; without a holder, one that was given back.
type grant struct {
	holder    Process
	epoch     uint64
	untilMs   int64
	successor string
}

// Process is one process of a daemon, as leases know it.
type Process struct {
	Name        string
	Incarnation uint64
	Addr        string // only one process at a time can listen there
}

// same tells whether two are one process, wherever it is heard from.
func (p Process) same(other Process) bool {
	return p.Name == other.Name && p.Incarnation == other.Incarnation
}

// clockReading is a daemon's wall clock minus this member's steady one.
type clockReading struct{ offsetMs, atMs int64 }

// pollMark is the newest poll that was heard of a daemon, and of which process.
type pollMark struct{ incarnation, seq uint64 }

// NewGranter returns the granter of a member that has granted nothing yet.
//
// Example: g := lease.NewGranter(); g.Guard(now)
func NewGranter() *Granter {
	return &Granter{grants: map[string]*grant{}, clocks: map[string]clockReading{}, polls: map[string]pollMark{}}
}

// DelayGrants has the member wait for a whole lease from now on, since it may have
// granted what it doesn't know: after a start, or when it joined.
func (g *Granter) DelayGrants(nowMs int64) { g.guardMs, g.startMs = nowMs+DurationMs, nowMs }

// GrantDelayLeftMs is how long the member grants nothing yet.
func (g *Granter) GrantDelayLeftMs(nowMs int64) int64 { return max(0, g.guardMs-nowMs) }

// ObservePoll takes note of a poll, and tells whether a later one of the same
// process came before: what it holds or releases may have changed since.
func (g *Granter) ObservePoll(from string, m *wire.PollRequest) bool {
	if p := g.polls[from]; p.incarnation == m.Incarnation && m.Seq < p.seq {
		return true
	}
	g.polls[from] = pollMark{m.Incarnation, m.Seq}
	return false
}

// ObserveClock takes a daemon's wall clock. What a message took on its way, or
// waited here, makes a clock seem late, never early: the latest reading of the
// last seconds is the truest.
func (g *Granter) ObserveClock(from string, wallMs, nowMs int64) {
	c, known := g.clocks[from]
	if !known || wallMs-nowMs >= c.offsetMs || nowMs-c.atMs > clockOldMs {
		g.clocks[from] = clockReading{wallMs - nowMs, nowMs}
	}
}

// ClusterTime is the median of the wall clocks that this member hears, its own among
// them, in ms. Right after a start it waits, so that it hears the others first;
// and it needs more than half of the daemons that are alive. 0 while it is unknown.
func (g *Granter) ClusterTime(nowMs int64, alive int) int64 {
	if nowMs-g.startMs < ClockWarmupMs {
		return 0
	}
	if nowMs-g.forgotMs >= medianMs {
		g.forgotMs = nowMs
		maps.DeleteFunc(g.clocks, func(_ string, c clockReading) bool { return nowMs-c.atMs > 2*clockOldMs })
	}
	if 2*len(g.clocks) <= alive {
		return 0
	}
	return g.medianOffset(nowMs) + nowMs
}

// medianOffset is the median of all clocks' offsets, worked out anew each medianMs at the most,
// and whenever clocks have come or gone.
func (g *Granter) medianOffset(nowMs int64) int64 {
	if m := g.median; m.known && nowMs-m.atMs < medianMs && m.clocks == len(g.clocks) {
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

// ClockOffsets returns each daemon's wall clock minus a time, in ms, as now.
func (g *Granter) ClockOffsets(fleetMs, nowMs int64) map[string]int64 {
	out := map[string]int64{}
	for name, c := range g.clocks {
		out[name] = c.offsetMs + nowMs - fleetMs
	}
	return out
}

// Release takes leases back that a process gives up. A successor that it names may
// have one at once; without one anybody may.
func (g *Granter) Release(from Process, releases []wire.LeaseRelease, nowMs int64) {
	for _, r := range releases {
		if held := g.grants[r.Name]; held != nil && held.holder.same(from) {
			*held = grant{untilMs: nowMs + DurationMs, epoch: held.epoch, successor: r.Successor}
		}
	}
}

// Grant gives a process the lease of a role, or renews it, if no other may hold it.
// last is who took the role last, as far as this member's disk knows; ended tells
// of a process whether it surely has ended.
func (g *Granter) Grant(
	r wire.LeaseRequest, to Process, last wire.RoleHolder, nowMs int64, ended func(Process) bool,
) bool {
	if !g.free(r.Name, to, nowMs, ended) {
		return false
	}
	lastHolder := Process{last.Holder, last.Incarnation, last.Addr}
	if nowMs < g.guardMs && last.Holder != "" && !ended(lastHolder) {
		return false
	}
	if r.Epoch != 0 && r.Epoch < last.Epoch { // it lost the role and doesn't know
		return false
	}
	g.grants[r.Name] = &grant{holder: to, epoch: r.Epoch, untilMs: nowMs + DurationMs}
	return true
}

// free tells whether no other process may hold what this member granted.
func (g *Granter) free(role string, to Process, nowMs int64, ended func(Process) bool) bool {
	held := g.grants[role]
	switch {
	case held == nil || held.untilMs <= nowMs, held.holder.same(to):
		return true
	case held.holder.Name == "":
		return held.successor == "" || held.successor == to.Name
	}
	return ended(held.holder)
}

// Holders returns the leases that stand, by role, and drops those that ran out.
func (g *Granter) Holders(nowMs int64) (out []wire.RoleHolder) {
	for _, role := range slices.Sorted(maps.Keys(g.grants)) {
		held := g.grants[role]
		if held.untilMs <= nowMs {
			delete(g.grants, role)
			continue
		}
		out = append(out, wire.RoleHolder{Name: role, Holder: held.holder.Name, Incarnation: held.holder.Incarnation,
			Epoch: held.epoch, Successor: held.successor})
	}
	return out
}
