package membership

import (
	"otterchute/internal/quorum"
	"otterchute/internal/statestore"
	"otterchute/internal/step"
	"otterchute/internal/wire"
)

// learner is what a spare knows of its own way into the core, and the newest
// member of a set larger than full of what it has still to do.
type learner struct {
	setVersion   int64                        // of the core set that is copied: another set's copies say nothing
	vacantSince  map[string]int64             // member -> since when its slot is vacant; "" for a slot that nobody has
	cursors      map[string]statestore.Cursor // member -> the part of its copy that is awaited
	copied       map[string]bool              // members whose copy is complete and synced
	op           uint64
	sentMs       int64
	nextChangeMs int64
}

// currentLearner returns the learner under the set that is known, begun anew where
// that is another than before.
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

// CopyCursor is the part of a member's copy that is awaited; the zero Cursor before
// the first.
func (m *Manager) CopyCursor(member string) statestore.Cursor {
	if m.learner == nil {
		return statestore.Cursor{}
	}
	return m.learner.cursors[member]
}

// Tick goes for a slot, or brings a set that is larger than full back to that.
func (m *Manager) Tick() {
	set := m.host.CoreSet()
	if !m.host.DiskWorks() || set.Cluster == 0 {
		m.learner = nil
		return
	}
	if m.host.InCore() {
		m.tickOversizedSet()
		return
	}
	self := m.host.Self()
	if self.Leaving {
		m.learner = nil
		return
	}
	if m.host.Store().CoreSet().Has(m.name, self.DiskID) {
		// This disk once was a member and was replaced: what it holds is old,
		// and an old acceptance must not stand beside newer ones.
		m.host.ResetDisk()
		return
	}
	l := m.currentLearner(map[string]int64{"": m.host.NowMs()})
	switch members := len(set.Members); {
	case members < m.size:
		if m.host.NowMs()-l.vacantSince[""] >= m.joinWaitMs() && m.copyComplete(l, set.Majority()) {
			m.propose(l, set.With(m.member()))
		}
	case members == m.size:
		m.claimSlot(l)
	}
}

// member is this daemon as a member of the core.
func (m *Manager) member() quorum.Member {
	return quorum.Member{Name: m.name, DiskID: m.host.Self().DiskID}
}

// joinWaitMs is how long this spare leaves a free slot to those before it. One
// whose own former slot is still to be removed comes last.
func (m *Manager) joinWaitMs() int64 {
	if m.host.CoreSet().HasName(m.name) {
		return int64(len(m.spares())) * spareStepMs
	}
	return m.spareRank("") * spareStepMs
}

// claimSlot goes for a slot of a full set.
func (m *Manager) claimSlot(l *learner) {
	set := m.host.CoreSet()
	at, state := m.vacantSlot(l)
	if at < 0 || state != slotWiped && !m.copyComplete(l, set.Majority()) {
		return
	}
	if state == slotLeaving && !m.leases.Unresponsive(set.Members[at].Name, UnresponsiveMs) {
		m.propose(l, set.With(m.member()))
		return
	}
	m.propose(l, set.Without(at))
}

// tickOversizedSet brings a set that is larger than full back to that. Its newest
// member does so; the others only take it out again where it fails to.
func (m *Manager) tickOversizedSet() {
	set := m.host.CoreSet()
	newest := len(set.Members) - 1
	if newest < m.size {
		m.learner = nil
		return
	}
	l := m.currentLearner(map[string]int64{})
	if set.Members[newest].Name != m.name {
		since := m.host.LeavingSinceMs()
		late := since != 0 && m.host.NowMs()-since > HandoverMs-undoMs
		if late || m.leases.Unresponsive(set.Members[newest].Name, UnresponsiveMs) {
			m.propose(l, set.Without(newest))
		}
		return
	}
	at, state := newest, slotOccupied
	for i, member := range set.Members[:newest] {
		if current := m.stateOf(member); current > state {
			at, state = i, current
		}
	}
	if at == newest || m.copyComplete(l, set.Majority()-1) {
		m.propose(l, set.Without(at))
	}
}

// copyComplete tells whether the copies of so many members are complete and
// synced, and asks for them.
func (m *Manager) copyComplete(l *learner, need int) bool {
	if len(l.copied) >= need {
		return true
	}
	if l.op == 0 {
		l.op = m.host.NextOp()
	}
	if l.sentMs == 0 || m.host.NowMs()-l.sentMs > copyAgainMs {
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

// propose tries to put another set in the place of the one that is known.
func (m *Manager) propose(l *learner, next quorum.Set) {
	if m.host.NowMs() < l.nextChangeMs {
		return
	}
	l.nextChangeMs = m.host.NowMs() + changeMs
	m.host.ChangeCoreSet(next)
}

// OnCopyRequest brings a learner the part of the store that it asks for. It is for
// members that serve the learner's set.
func (m *Manager) OnCopyRequest(from string, r *wire.CopyRequest) {
	at, instance := r.Cursor, m.host.Instance()
	if at.Instance != instance { // the copy begins, or begins again since this daemon has restarted
		at = statestore.Cursor{}
	}
	part, next := m.host.Store().CopyPart(at, statestore.ChunkBytes)
	if !next.AtEnd() {
		next.Instance = instance
	}
	m.host.Persist(nil, step.Message{To: from, Msg: &wire.CopyResponse{Op: r.Op, Cursor: r.Cursor, Next: next, Entries: part}})
}

// OnCopyResponse keeps one part of a member's copy, and asks for the next once it is
// synced. The highest of all copies wins entry by entry.
func (m *Manager) OnCopyResponse(from string, r *wire.CopyResponse) {
	l := m.learner
	if l == nil || l.op != r.Op {
		return
	}
	if from == m.name { // our own word that a member's last part is synced
		l.copied[r.FinishedMember] = true
		m.host.Log("core_copied", "from", r.FinishedMember)
		m.Tick() // the next step waits for no tick
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
