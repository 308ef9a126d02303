package lease

import (
	"cmp"
	"maps"
	"slices"

	"otterchute/internal/cluster"
	"otterchute/internal/rendezvous"
)

// TickRoles gives up leases that expired, and requests roles that are free: the first candidate at
// once, each later one only if the role stays free for longer.
func (m *Manager) TickRoles() {
	m.dropExpired()
	set, self := m.host.CoreSet(), m.host.Self()
	if set.Cluster == 0 || m.host.NowMs()-m.lastContactMs > DurationMs || self.Leaving {
		m.freeSince = nil
		return
	}
	if m.freeSince == nil {
		m.freeSince = map[string]int64{}
	}
	// A successor that the last holder named requests the role without a wait.
	for _, role := range slices.Sorted(maps.Keys(m.holders)) {
		if h := m.holders[role]; h.Holder == "" && h.Successor == self.Name {
			m.Acquire(role)
		}
	}
	zones := map[string]string{Central: ""}
	for _, shard := range set.Shards {
		zones[ShardRole(shard)] = shard // shards are named after their zones
	}
	for _, role := range slices.Sorted(maps.Keys(zones)) {
		m.tickRole(role, zones[role])
	}
}

// tickRole requests a role if it is free, or moves it to a better holder.
func (m *Manager) tickRole(role, zone string) {
	if m.leases[role] != nil {
		m.moveToBetterHolder(role, zone)
		return
	}
	if h, known := m.holders[role]; known && h.Holder != "" {
		delete(m.freeSince, role)
		return
	}
	now := m.host.NowMs()
	if _, known := m.freeSince[role]; !known {
		m.freeSince[role] = now
	}
	rank := slices.Index(m.Candidates(role, zone), m.host.Self().Name)
	if rank >= 0 && now-m.freeSince[role] >= int64(rank)*acquireStaggerMs {
		m.Acquire(role)
	}
}

// dropExpired gives up leases that expired and requests that were not granted in time.
func (m *Manager) dropExpired() {
	now := m.host.NowMs()
	for _, role := range m.Roles() {
		l := m.leases[role]
		switch {
		case l.phase == requesting || l.phase == handingOff:
			if now-l.requestedMs > acquireTimeoutMs && now >= l.untilMs {
				m.Lose(role, "not_granted")
			}
		case m.expired(l):
			m.Lose(role, "lease_ended")
		}
	}
}

// moveToBetterHolder hands off a role that should move: a shard held outside its zone, or any role
// on a weak or overloaded machine. It waits until the role has been held for minHoldMs.
func (m *Manager) moveToBetterHolder(role, zone string) {
	l, self := m.leases[role], m.host.Self().Name
	kind, _ := SplitRole(role)
	if l.phase != held || kind == KindAgent || m.host.NowMs()-l.acquiredMs < minHoldMs {
		return
	}
	order := m.Candidates(role, zone)
	if len(order) == 0 || order[0] == self {
		return
	}
	first := order[0]
	toHomeZone := kind == KindShard && m.peers.Zone(first) == zone && m.peers.Zone(self) != zone
	best := m.strongest()
	if toHomeZone || m.tier(first, best) < m.tier(self, best) {
		l.acquiredMs = m.host.NowMs() // one attempt per period, if the successor doesn't take the role
		m.HandOff(role, first)
	}
}

// Candidates returns the live daemons in their order of preference for a role: strong machines
// before weak ones, those in the zone before others, then by rendezvous weight. The central
// scheduler prefers machines that hold no shard. The daemon that just lost the role is left out,
// since it is most likely dead.
func (m *Manager) Candidates(role, zone string) []string {
	kind, _ := SplitRole(role)
	former := m.recentHolder(role)
	order := rendezvous.Order(role, slices.DeleteFunc(m.peers.AliveNames(), func(name string) bool {
		return name == former || m.peers.Describe(name).Leaving
	}))
	if kind == KindAgent {
		return m.nearestFirst(order, zone)
	}
	slices.SortStableFunc(order, func(a, b string) int {
		return boolToInt(!m.peers.Describe(a).Disk) - boolToInt(!m.peers.Describe(b).Disk)
	})
	if kind == KindCentral && !m.ignoreStrength {
		order = m.shardOwnersLast(order)
	}
	order = m.nearestFirst(order, zone)
	best, tiers := m.strongest(), map[string]tier{}
	for _, name := range order {
		tiers[name] = m.tier(name, best)
	}
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(tiers[a], tiers[b]) })
	return order
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// nearestFirst moves the daemons of a zone to the front.
func (m *Manager) nearestFirst(names []string, zone string) []string {
	away := func(name string) int { return boolToInt(m.peers.Zone(name) != zone) }
	slices.SortStableFunc(names, func(a, b string) int { return away(a) - away(b) })
	return names
}

// shardOwnersLast moves the daemons that hold a shard, or are the first candidate for a free one,
// to the end.
func (m *Manager) shardOwnersLast(names []string) []string {
	owners := map[string]bool{}
	for _, shard := range m.host.CoreSet().Shards {
		if h := m.holders[ShardRole(shard)]; h.Holder != "" {
			owners[h.Holder] = true
		} else if c := m.Candidates(ShardRole(shard), shard); len(c) > 0 {
			owners[c[0]] = true
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return boolToInt(owners[a]) - boolToInt(owners[b]) })
	return names
}

// tier rates how suitable a machine is for a role; lower tiers come first.
type tier int

const (
	tierStrong     tier = iota // comparable to the strongest machine
	tierOverloaded             // can't keep up with its current load
	tierWeak                   // far less CPU or network bandwidth than the strongest
	tierColocated              // runs on a worker's machine, whose capacity is for the worker
)

// A machine is weak if it has less than half of the strongest machine's CPU, or less than a quarter
// of its network bandwidth: a role would use most of such a machine's capacity, or more.
const (
	weakCoreShare = 2
	weakLinkShare = 4
)

// tier rates a machine by the resources it reports, relative to the strongest live machine.
func (m *Manager) tier(name string, best strength) tier {
	p := m.peers.Describe(name)
	switch {
	case m.ignoreStrength && !p.Colocated:
		return tierStrong
	case p.Colocated:
		return tierColocated
	case p.MilliCores != 0 && weakCoreShare*p.MilliCores < best.milliCores,
		p.LinkMbps != 0 && weakLinkShare*p.LinkMbps < best.linkMbps:
		return tierWeak
	case p.Overloaded:
		return tierOverloaded
	}
	return tierStrong
}

// strength is what a machine has: thousandths of a core, and Mbit/s.
type strength struct{ milliCores, linkMbps int64 }

// strongest returns the highest CPU and network capacity of all live machines that may hold roles.
func (m *Manager) strongest() (best strength) {
	for _, name := range m.peers.AliveNames() {
		if p := m.peers.Describe(name); !p.Colocated {
			best.milliCores, best.linkMbps = max(best.milliCores, p.MilliCores), max(best.linkMbps, p.LinkMbps)
		}
	}
	return best
}

// recentHolder returns the daemon that lost a role within the last AliveTimeoutMs.
func (m *Manager) recentHolder(role string) string {
	former, known := m.former[role]
	if known && m.host.NowMs()-former.atMs > cluster.AliveTimeoutMs {
		delete(m.former, role)
		return ""
	}
	return former.name
}
