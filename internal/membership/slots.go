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

// The core set changes by one member at a time, each change a compare-and-swap of the register
// "core" on a majority of the set it replaces. So any majorities of consecutive sets share a
// member, and a member responds only to requests made under the set it knows: two sets that both
// reach a majority are equal or adjacent. Let the full set have k=2f+1 members. A slot is refilled
// in one of two ways.
//
// If the slot's member doesn't respond (it is gone, was wiped, or its disk failed): remove, copy,
// add. A write acknowledged under the full set is on f+1 of its members, so on at least f of the
// remaining 2f. A majority of those is f+1, and f+(f+1) > 2f: a copy of a majority of the remaining
// members includes every such write. With the copy, the write is on f+1 of 2f+1 again. A write
// acknowledged while the set has 2f members is on f+1 of them, which is a majority of the full set
// afterwards, with or without the copy. The set of 2f tolerates f-1 losses, as many as the full one
// with one member gone, so the removal costs no tolerance. But what the removed member still stores
// no longer counts, even if that member returns. So the spare first proves that it can take the
// slot, by a complete copy under the full set (except for a wiped member, which stores nothing). A
// spare that then stalls leaves a majority of 2f, which doesn't need the spare.
//
// If the slot's member responds but leaves: copy, add, copy, remove. The set of 2f+2 has majorities
// of f+2, so it tolerates f losses like the full one, at any moment, including the spare and the
// leaving member. A write acknowledged under the full set is on f+1 of its 2f+1 members, and every
// f+2 of the 2f+2 include one of those: nothing depends on the spare yet. Before the removal the
// spare copies again, under the larger set, from f+1 other members. Each of them responds under
// that set only after its last acknowledgement under the full set, and f+1 of 2f+1 overlap with
// every majority of the full set. So every write acknowledged under the full set is on at least f
// others and the spare. A write acknowledged under the larger set is on f+2 of its members, f+1
// without the leaving one: a majority after the removal in both cases.
//
// If no member leaves after all, or the newest member fails, the newest one is removed again, which
// needs no copy: f+2 less one is f+1 of the rest, and writes acknowledged under the full set were
// on a majority without it. The leaving member stays until it is removed. If that takes too long,
// it removes the newest member before it stops, so a set never remains larger than full with a
// member gone. Two cases are not tolerated. While the set has 2f+2 members (about 0.3 s), f+1
// losses are too many, such as the leaving member stopping on its own together with f others. And
// for f=1, the loss of a zone that holds both the leaving member and the spare stops the core until
// the zone is back; no data is lost.
//
// Leases are kept in memory only, so a new member grants none until the duration of one lease has
// passed: since it joined or, if it joined a larger set, since that set became full. Until then
// every majority includes a member that knows of the lease.

// slotState is the state of a member's slot, in ascending order of certainty that the member is
// lost.
type slotState int8

const (
	slotOccupied   slotState = iota
	slotDiskFailed           // its disk rejects writes, and may recover
	slotSilent               // no heartbeats and no responses to polls arrive
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

// stateOf returns the state of a member's slot as observed by this daemon.
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
	case peer.Leaving && silentMs <= replaceAfterMs: // an older announcement is ignored
		return slotLeaving
	case !alive || unresponsive && silentMs > UnresponsiveMs:
		return slotSilent
	case !peer.Disk:
		return slotDiskFailed
	}
	return slotOccupied
}

// ownState returns the state of this daemon's own slot.
func (m *Manager) ownState(member quorum.Member) slotState {
	switch self := m.host.Self(); {
	case member.DiskID != self.DiskID:
		return slotWiped
	case self.Leaving:
		return slotLeaving
	}
	return slotOccupied
}

// waitMs returns how long a slot must be in a state before a spare claims it.
func (m *Manager) waitMs(state slotState) int64 {
	switch {
	case state == slotWiped:
		return 2 * cluster.GossipIntervalMs
	case state == slotLeaving, state == slotSilent && m.newcomer:
		return 0
	}
	return replaceAfterMs
}

// vacantSlot returns the index and state of the slot in the core set whose member is most certainly
// lost; the index is -1 if there is none. A wiped disk only claims its own slot.
func (m *Manager) vacantSlot(l *learner) (index int, state slotState) {
	index = -1
	set, now := m.host.CoreSet(), m.host.NowMs()
	ownNameInSet := set.HasName(m.name)
	for i, member := range set.Members {
		current := m.stateOf(member)
		if current == slotOccupied || ownNameInSet && member.Name != m.name {
			delete(l.vacantSince, member.Name)
			continue
		}
		if _, known := l.vacantSince[member.Name]; !known {
			l.vacantSince[member.Name] = now
		}
		waitMs := m.waitMs(current) + m.spareRank(member.Name)*spareStaggerMs
		if current > state && now-l.vacantSince[member.Name] >= waitMs {
			index, state = i, current
		}
	}
	return index, state
}

// spares returns the disks outside the core whose daemons sent heartbeats recently. This excludes a
// member that was just removed because it is gone.
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

// spareRank returns this daemon's position among the live disks outside the core. The first one
// acts at once, the others only if it doesn't. A disk that returns under the missing member's name
// is first, followed by disks in the zones with the fewest members.
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
