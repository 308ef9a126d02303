package membership

import (
	"cmp"
	"slices"
	"strconv"

	"otterchute/internal/cluster"
	"otterchute/internal/quorum"
	"otterchute/internal/rendezvous"
	"otterchute/internal/wire"
)

// The core set changes by one member at a time, each change a compare
// and swap of the register "core" at a majority of the set it replaces. So
// consecutive sets share a member in any two of their majorities, and a member
// answers only requests made under the set it knows: two sets that
// both reach a majority are the same or neighbours. Let the full set have k=2f+1
// members. A slot is refilled in one of two ways.
//
// The slot's member doesn't answer (it is gone, wiped, or its disk failed):
// remove, copy, add. What was acknowledged under the full set is held by f+1 of
// its members, so by f of the 2f left, whoever left; a majority of those is f+1,
// and f+(f+1) > 2f: a copy of a majority of those left meets every such write.
// With the copy it is at f+1 of 2f+1 again. What is acknowledged while the set
// lacks one is held by f+1 of the 2f, which with or without the copy is a
// majority of the full set after it. The set of 2f bears f-1 losses, as many as
// the full one with one member gone: removing it takes no loss away that could be
// borne. It does take away what the member still has, should it come back; so the
// spare shows first, by a whole copy under the full set, that it can take the
// slot (but for a wiped member, which has nothing). A spare that then stalls leaves
// a majority of 2f, which needs none of it.
//
// The slot's member answers but leaves: copy, add, copy, remove. The set of 2f+2
// has majorities of f+2, so it bears f losses like the full one, at any moment,
// the spare's or the leaving member's among them. What was acknowledged under the
// full set is at f+1 of its 2f+1 members, and every f+2 of the 2f+2 include f+1 of
// those: nothing hangs on the spare yet. Before the removal the spare copies once
// more, under the larger set, from f+1 other members: each answers under it only
// after its last acknowledgement under the full set, and f+1 of 2f+1 meet each of
// those. So all that was acknowledged under the full set is at f others, at the
// least, and the spare; and what is acknowledged under the larger set is at f+2 of
// it, f+1 without the leaving member: a majority after the removal either way.
// If nobody leaves after all, or the newest member fails, that one is removed
// again, which needs no copy: f+2 less one is f+1 of the rest, and what was
// acknowledged under the full set stood there without it. The leaving member stays
// until it is out, and if that takes too long it removes the newest one before it
// ends; so a set never stays larger than full with a member gone. What isn't
// borne: while the set is 2f+2 (some 0.3 s) f+1 losses, as the end of the leaving
// member by itself together with f others; and a zone that holds both the leaving
// member and the spare, for f=1, stops the core until it is back, losing nothing.
//
// Leases are in memory only, so a new member grants none before one lease has
// passed: since it joined, and, where it joined a larger set, since that set
// became full. Until then every majority includes one who knew of the lease.

// slotState is how surely a member is gone, the surest last.
type slotState int8

const (
	slotOccupied   slotState = iota
	slotDiskFailed           // its disk takes no writes, and may again
	slotSilent               // neither its heartbeats nor its answers to polls come
	slotLeaving              // it was asked to stop
	slotWiped                // it has another disk now
)

var slotStateNames = map[slotState]string{
	slotOccupied:   "occupied",
	slotDiskFailed: "disk failed",
	slotSilent:     "silent",
	slotLeaving:    "leaving",
	slotWiped:      "wiped",
}

// String names the state for logs and test failures.
func (s slotState) String() string { return slotStateNames[s] }

// stateOf returns the state of a member's slot as it looks from here.
func (m *Manager) stateOf(member quorum.Member) slotState {
	if member.Name == m.name {
		return m.ownState(member)
	}
	silentMs, known := m.peers.SilentMs(member.Name)
	if !known {
		return slotSilent
	}
	peer, alive := m.peers.Get(member.Name), m.peers.Alive(member.Name)
	unresponsive := m.leases.Unresponsive(member.Name, UnresponsiveMs)
	switch {
	case alive && peer.DiskID != member.DiskID:
		return slotWiped
	case peer.Leaving && silentMs <= replaceMs: // what it said longer ago counts for nothing
		return slotLeaving
	case !alive || unresponsive && silentMs > UnresponsiveMs:
		return slotSilent
	case !peer.Disk:
		return slotDiskFailed
	}
	return slotOccupied
}

// ownState is the state of this daemon's own slot.
func (m *Manager) ownState(member quorum.Member) slotState {
	switch self := m.host.Self(); {
	case member.DiskID != self.DiskID:
		return slotWiped
	case self.Leaving:
		return slotLeaving
	}
	return slotOccupied
}

// waitMs is how long a slot stands in its state before a spare goes for it.
func (m *Manager) waitMs(state slotState) int64 {
	switch {
	case state == slotWiped:
		return 2 * cluster.GossipIntervalMs
	case state == slotLeaving, state == slotSilent && m.newcomer:
		return 0
	}
	return replaceMs
}

// vacantSlot returns the index in the core set of the slot that is most surely
// vacant, or -1, and its state. A wiped disk goes for its own.
func (m *Manager) vacantSlot(l *learner) (at int, state slotState) {
	at = -1
	set, now := m.host.CoreSet(), m.host.NowMs()
	mine := set.HasName(m.name)
	for i, member := range set.Members {
		current := m.stateOf(member)
		if current == slotOccupied || mine && member.Name != m.name {
			delete(l.vacantSince, member.Name)
			continue
		}
		if _, known := l.vacantSince[member.Name]; !known {
			l.vacantSince[member.Name] = now
		}
		waitMs := m.waitMs(current) + m.spareRank(member.Name)*spareStepMs
		if current > state && now-l.vacantSince[member.Name] >= waitMs {
			at, state = i, current
		}
	}
	return at, state
}

// spares returns the disks outside the core whose daemons were heard of lately: a
// member that was just removed because it is gone is none.
func (m *Manager) spares() (out []wire.Peer) {
	set := m.host.CoreSet()
	for _, name := range m.peers.AliveNames() {
		if silentMs, known := m.peers.SilentMs(name); known && silentMs > UnresponsiveMs {
			continue
		}
		p := m.peers.Describe(name)
		if p.Disk && !p.Leaving && !set.Has(p.Name, p.DiskID) {
			out = append(out, p)
		}
	}
	return out
}

// spareRank orders the live disks outside the core: the first goes at once, the
// others only if it doesn't. One that comes back under the missing member's name
// is first, then those in the zones with the fewest members.
func (m *Manager) spareRank(missing string) int64 {
	set := m.host.CoreSet()
	members := map[string]int{} // by zone
	for _, member := range set.Members {
		if member.Name != missing {
			members[m.peers.Zone(member.Name)]++
		}
	}
	spares := m.spares()
	key := "core" + strconv.FormatInt(set.Version, 10)
	slices.SortFunc(spares, func(a, b wire.Peer) int {
		return cmp.Or(
			compareBool(a.Name != missing, b.Name != missing),
			cmp.Compare(members[a.Zone], members[b.Zone]),
			cmp.Compare(rendezvous.Weight(key, b.Name), rendezvous.Weight(key, a.Name)),
			cmp.Compare(a.Name, b.Name))
	})
	rank := slices.IndexFunc(spares, func(p wire.Peer) bool { return p.Name == m.name })
	return int64(max(0, rank))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
