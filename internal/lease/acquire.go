package lease

import (
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
		m.returnToZone(role, zone)
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

// returnToZone hands a shard held outside its zone back once the zone stands.
func (m *Manager) returnToZone(role, zone string) {
	l, self := m.leases[role], m.host.Self()
	kind, _ := SplitRole(role)
	if l.phase != held || self.Zone == zone || kind != KindShard || m.host.NowMs()-l.takenMs < returnMs {
		return
	}
	first := m.Candidates(role, zone)
	if len(first) > 0 && m.peers.Zone(first[0]) == zone && first[0] != self.Name {
		l.takenMs = m.host.NowMs() // one try per period, if the successor fails it
		m.HandOff(role, first[0])
	}
}

// Candidates orders the live daemons for a role: those in a zone first, then by
// rendezvous weight. Who has just lost it, most likely by its death, is none.
func (m *Manager) Candidates(role, zone string) []string {
	kind, _ := SplitRole(role)
	former := m.recentHolder(role)
	all := slices.DeleteFunc(m.peers.AliveNames(), func(name string) bool {
		return name == former || m.peers.Describe(name).Leaving
	})
	order := rendezvous.Order(role, all)
	if kind != KindAgent {
		slices.SortStableFunc(order, func(a, b string) int { return m.unfitness(a) - m.unfitness(b) })
	}
	var home, away []string
	for _, name := range order {
		p := m.peers.Describe(name)
		if p.Zone == zone && (kind == KindAgent || !p.Colocated) {
			home = append(home, name)
		} else {
			away = append(away, name)
		}
	}
	return append(home, away...)
}

// unfitness orders candidates: small machines beside workers come last, then those
// without a disk.
func (m *Manager) unfitness(name string) int {
	p, out := m.peers.Describe(name), 0
	if p.Colocated {
		out += 2
	}
	if !p.Disk {
		out++
	}
	return out
}

// recentHolder returns who lost a role a short while ago.
func (m *Manager) recentHolder(role string) string {
	former, known := m.former[role]
	if known && m.host.NowMs()-former.atMs > cluster.AliveMs {
		delete(m.former, role)
		return ""
	}
	return former.name
}
