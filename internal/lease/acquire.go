package lease

import (
	"cmp"
	"maps"
	"slices"

	"otterchute/internal/cluster"
	"otterchute/internal/rendezvous"
)

// TickRoles gives up leases that ran out, and tries for roles that are free: the
// first candidate at once, each later one only if the role stays free for longer.
func (m *Manager) TickRoles() {
	m.dropExpired()
	set, self := m.host.CoreSet(), m.host.Self()
	if set.Cluster == 0 || m.host.NowMs()-m.contactMs > DurationMs || self.Leaving {
		m.freeSince = nil
		return
	}
	if m.freeSince == nil {
		m.freeSince = map[string]int64{}
	}
	for _, role := range slices.Sorted(maps.Keys(m.holders)) { // what its holder named this daemon the successor for
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

// tickRole tries for one role, or hands one back to its zone.
func (m *Manager) tickRole(role, zone string) {
	if m.leases[role] != nil {
		m.returnToFirst(role, zone)
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
	if rank >= 0 && now-m.freeSince[role] >= int64(rank)*acquireStepMs {
		m.Acquire(role)
	}
}

// dropExpired gives up what ran out, and what was tried for in vain.
func (m *Manager) dropExpired() {
	now := m.host.NowMs()
	for _, role := range m.Roles() {
		l := m.leases[role]
		switch {
		case l.phase == wanted || l.phase == handingOff:
			if now-l.wantedMs > acquireForMs && now >= l.untilMs {
				m.Lose(role, "not_granted")
			}
		case m.ranOut(l):
			m.Lose(role, "lease_ended")
		}
	}
}

// returnToFirst hands a role back that is held where it should not stay: a shard outside
// its zone, or any role on a weak or strained machine, once a better one stood for a while.
func (m *Manager) returnToFirst(role, zone string) {
	l, self := m.leases[role], m.host.Self().Name
	kind, _ := SplitRole(role)
	if l.phase != held || kind == KindAgent || m.host.NowMs()-l.takenMs < returnMs {
		return
	}
	order := m.Candidates(role, zone)
	if len(order) == 0 || order[0] == self {
		return
	}
	first := order[0]
	home := kind == KindShard && m.peers.Zone(first) == zone && m.peers.Zone(self) != zone
	best := m.strongest()
	if home || m.tier(first, best) < m.tier(self, best) {
		l.takenMs = m.host.NowMs() // one try per period, if the successor fails it
		m.HandOff(role, first)
	}
}

// Candidates orders the live daemons for a role: strong machines before weak ones, those in
// a zone before others, and by rendezvous weight. The central scheduler goes where no
// shard would. Who has just lost the role, most likely by its death, is none.
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
		return intOf(!m.peers.Describe(a).Disk) - intOf(!m.peers.Describe(b).Disk)
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

func intOf(b bool) int {
	if b {
		return 1
	}
	return 0
}

// nearestFirst puts those of a zone first.
func (m *Manager) nearestFirst(names []string, zone string) []string {
	away := func(name string) int { return intOf(m.peers.Zone(name) != zone) }
	slices.SortStableFunc(names, func(a, b string) int { return away(a) - away(b) })
	return names
}

// shardOwnersLast puts the machines that hold a shard, or would be the first to, last.
func (m *Manager) shardOwnersLast(names []string) []string {
	owners := map[string]bool{}
	for _, shard := range m.host.CoreSet().Shards {
		if h := m.holders[ShardRole(shard)]; h.Holder != "" {
			owners[h.Holder] = true
		} else if c := m.Candidates(ShardRole(shard), shard); len(c) > 0 {
			owners[c[0]] = true
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return intOf(owners[a]) - intOf(owners[b]) })
	return names
}

// tier says how fit a machine is for a role; lower ones go first.
type tier int

const (
	tierStrong    tier = iota // has about what the strongest have
	tierStrained              // it can't keep up with what it does already
	tierWeak                  // far less processor or link than the strongest
	tierColocated             // stands beside a worker, for which it is there
)

// weakShare: a machine with less than half of the strongest one's processor, or less than a
// quarter of its link, is weak: a role takes more of both than most of what a weak one has.
const (
	weakCoreShare = 2
	weakLinkShare = 4
)

// tier judges a machine by what it says of itself, against the strongest that is alive.
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
		return tierStrained
	}
	return tierStrong
}

// strength is what a machine has: thousandths of a core, and Mbit/s.
type strength struct{ milliCores, linkMbps int64 }

// strongest gives the most processor and the fastest link of a live machine that may hold roles.
func (m *Manager) strongest() (best strength) {
	for _, name := range m.peers.AliveNames() {
		if p := m.peers.Describe(name); !p.Colocated {
			best.milliCores, best.linkMbps = max(best.milliCores, p.MilliCores), max(best.linkMbps, p.LinkMbps)
		}
	}
	return best
}

// recentHolder returns who lost a role a short while ago.
func (m *Manager) recentHolder(role string) string {
	former, known := m.former[role]
	if known && m.host.NowMs()-former.atMs > cluster.AliveTimeoutMs {
		delete(m.former, role)
		return ""
	}
	return former.name
}
