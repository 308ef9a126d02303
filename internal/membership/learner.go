package membership

import (
	"otterchute/internal/quorum"
	"otterchute/internal/statestore"
	"otterchute/internal/step"
	"otterchute/internal/wire"
)

// learner is the state of a spare that is joining the core. The newest member of an oversized set
// uses it as well, for its second copy.
type learner struct {
	setVersion   int64                        // of the core set being copied; copies made under another set don't count
	vacantSince  map[string]int64             // member -> when its slot became vacant; "" is an unassigned slot
	cursors      map[string]statestore.Cursor // member -> the next part of its copy
	copied       map[string]bool              // members whose copy is complete and synced
	op           uint64
	sentMs       int64
	nextChangeMs int64
}

// currentLearner returns the learner for the current core set. A change of the set replaces it by a
// new one.
func (m *Manager) currentLearner(vacantSince map[string]int64) *learner {
	version := m.host.CoreSet().Version
	if m.learner == nil || m.learner.setVersion != version {
		m.learner = &learner{
			setVersion: version, vacantSince: vacantSince,
			cursors: map[string]statestore.Cursor{}, copied: map[string]bool{},
		}
	}
	return m.learner
}

// CopyCursor returns the position of the next part of a member's copy; the zero Cursor before the
// first part.
func (m *Manager) CopyCursor(member string) statestore.Cursor {
	if m.learner == nil {
		return statestore.Cursor{}
	}
	return m.learner.cursors[member]
}

// Tick claims a vacant slot, or reduces an oversized set.
func (m *Manager) Tick() {
	set := m.host.CoreSet()
	if !m.host.DiskWorks() || set.Cluster == 0 {
		m.learner = nil
		return
	}
	if m.host.InCore() {
		m.shrinkOversizedSet()
		return
	}
	self := m.host.Self()
	if self.Leaving {
		m.learner = nil
		return
	}
	if m.host.Store().CoreSet().Has(m.name, self.DiskID) {
		// This disk was a member before and was replaced. Its state is outdated, and an old
		// acceptance must not be combined with newer ones.
		m.host.ResetDisk()
		return
	}
	l := m.currentLearner(map[string]int64{"": m.host.NowMs()})
	switch members := len(set.Members); {
	case members < m.size:
		if m.host.NowMs()-l.vacantSince[""] >= m.joinWaitMs() && m.copyComplete(l, set.Majority()) {
			m.propose(l, set.With(m.ownMember()))
		}
	case members == m.size:
		m.claimSlot(l)
	}
}

// ownMember returns this daemon as a member of the core.
func (m *Manager) ownMember() quorum.Member {
	return quorum.Member{Name: m.name, DiskID: m.host.Self().DiskID}
}

// joinWaitMs returns how long this spare leaves a free slot to the spares that rank before it. A
// spare whose own former slot has not been removed yet comes last.
func (m *Manager) joinWaitMs() int64 {
	if m.host.CoreSet().HasName(m.name) {
		return int64(len(m.spares())) * spareStaggerMs
	}
	return m.spareRank("") * spareStaggerMs
}

// claimSlot claims a slot of a full set if one is vacant.
func (m *Manager) claimSlot(l *learner) {
	set := m.host.CoreSet()
	index, state := m.vacantSlot(l)
	if index < 0 || state != slotWiped && !m.copyComplete(l, set.Majority()) {
		return
	}
	if state == slotLeaving && !m.leases.Unresponsive(set.Members[index].Name, UnresponsiveMs) {
		m.propose(l, set.With(m.ownMember()))
		return
	}
	m.propose(l, set.Without(index))
}

// shrinkOversizedSet reduces an oversized set. Its newest member does so; the others only remove
// the newest member again if that fails.
func (m *Manager) shrinkOversizedSet() {
	set := m.host.CoreSet()
	newest := len(set.Members) - 1
	if newest < m.size {
		m.learner = nil
		return
	}
	l := m.currentLearner(map[string]int64{})
	if set.Members[newest].Name != m.name {
		since := m.host.LeavingSinceMs()
		late := since != 0 && m.host.NowMs()-since > HandoverMs-removalMarginMs
		if late || m.leases.Unresponsive(set.Members[newest].Name, UnresponsiveMs) {
			m.propose(l, set.Without(newest))
		}
		return
	}
	index, state := newest, slotOccupied
	for i, member := range set.Members[:newest] {
		if current := m.stateOf(member); current > state {
			index, state = i, current
		}
	}
	if index == newest || m.copyComplete(l, set.Majority()-1) {
		m.propose(l, set.Without(index))
	}
}

// copyComplete reports whether the copies of the needed number of members are complete and synced,
// and otherwise requests them.
func (m *Manager) copyComplete(l *learner, need int) bool {
	if len(l.copied) >= need {
		return true
	}
	if l.op == 0 {
		l.op = m.host.NextOp()
	}
	if l.sentMs == 0 || m.host.NowMs()-l.sentMs > copyRetryMs {
		l.sentMs = m.host.NowMs()
		set := m.host.CoreSet()
		for _, member := range set.Members {
			if member.Name != m.name && !l.copied[member.Name] {
				m.host.Send(member.Name, &wire.CopyRequest{SetVersion: set.Version, Op: l.op, Cursor: l.cursors[member.Name]})
			}
		}
	}
	return false
}

// propose proposes the next core set, unless the previous proposal may still be in progress.
func (m *Manager) propose(l *learner, next quorum.Set) {
	if m.host.NowMs() < l.nextChangeMs {
		return
	}
	l.nextChangeMs = m.host.NowMs() + changeRetryMs
	m.host.ChangeCoreSet(next)
}

// OnCopyRequest sends a learner the requested part of the store. Only members that serve the
// learner's set may call it.
func (m *Manager) OnCopyRequest(from string, r *wire.CopyRequest) {
	cursor, instance := r.Cursor, m.host.Instance()
	if cursor.Instance != instance { // the copy starts, or starts again because this daemon has restarted
		cursor = statestore.Cursor{}
	}
	part, next := m.host.Store().CopyPart(cursor, statestore.ChunkBytes)
	if !next.AtEnd() {
		next.Instance = instance
	}
	m.host.Persist(nil, step.Message{
		To: from, Msg: &wire.CopyResponse{Op: r.Op, Cursor: r.Cursor, Next: next, Entries: part},
	})
}

// OnCopyResponse stores one part of a member's copy, and requests the next once it is synced. Entry
// by entry, the highest version among all copies wins.
func (m *Manager) OnCopyResponse(from string, r *wire.CopyResponse) {
	l := m.learner
	if l == nil || l.op != r.Op {
		return
	}
	if from == m.name { // own message: the last part of a member's copy is synced
		l.copied[r.FinishedMember] = true
		m.host.Log("core_copied", "from", r.FinishedMember)
		m.Tick() // take the next step without waiting for a tick
		return
	}
	if l.cursors[from] != r.Cursor || l.copied[from] {
		return
	}
	l.cursors[from], l.sentMs = r.Next, m.host.NowMs()
	next := step.Message{To: from, Msg: &wire.CopyRequest{SetVersion: m.host.CoreSet().Version, Op: l.op, Cursor: r.Next}}
	if r.Next.AtEnd() {
		next = step.Message{To: m.name, Msg: &wire.CopyResponse{Op: r.Op, FinishedMember: from}}
	}
	m.host.Persist(r.Entries, next)
}
