package lease

import (
	"maps"
	"slices"

	"otterchute/internal/quorum"
	"otterchute/internal/wire"
)

// PollSoon has the next tick poll.
func (m *Manager) PollSoon() { m.nextMs = 0 }

// PollNextTick has the next tick poll if none is on its way already; ticks are
// tickMs apart.
func (m *Manager) PollNextTick(tickMs int64) { m.nextMs = min(m.nextMs, m.lastMs+tickMs) }

// LatestRound is the number of the newest round. What a later round confirms was so after it.
func (m *Manager) LatestRound() uint64 { return m.seq }

// LastContactMs is when the newest round that a majority answered was sent.
func (m *Manager) LastContactMs() int64 { return m.contactMs }

// FirstPollMs is when this daemon first polled; 0 before.
func (m *Manager) FirstPollMs() int64 { return m.firstMs }

// LastResponseMs is when a member last answered a poll; 0 for never.
func (m *Manager) LastResponseMs(member string) int64 { return m.heardMs[member] }

// MemberSyncMs returns the time of the last sync of each member that told.
func (m *Manager) MemberSyncMs() map[string]int64 { return m.syncMs }

// Clock is the fleet's time as the members told it.
func (m *Manager) Clock() *Clock { return &m.clock }

// InContact tells whether a majority of the core answered a round that was sent
// within the span of a lease.
//
// A round counts from when it was sent, and only once a majority has answered it.
// So a daemon that hears and isn't heard is out of contact like one that hears
// nothing. What needs a majority is checked where it is done: a lease by its end,
// a configuration by its confirmation, a change of a register by its two rounds.
// Contact only decides how soon a caller is told that none of that can be had here.
func (m *Manager) InContact() bool {
	return m.host.CoreSet().Cluster != 0 && m.host.NowMs()-m.contactMs <= HeldMs
}

// CutOff tells whether this daemon ran for a whole lease without contact. One that
// has just started, or woken from a freeze, can't tell yet: its first polls are
// under way.
func (m *Manager) CutOff() bool {
	return m.host.NowMs()-max(m.contactMs, m.host.WokeMs()) > HeldMs
}

// Tick polls where a round is due.
func (m *Manager) Tick() {
	set, now := m.host.CoreSet(), m.host.NowMs()
	if len(set.Members) == 0 || now < m.nextMs {
		return
	}
	self := m.host.Self()
	m.nextMs, m.lastMs = now+PollIntervalMs, now
	if self.Colocated {
		m.nextMs = now + ColocatedPollIntervalMs
	}
	m.seq++
	round := &Round{Seq: m.seq, SentMs: now, Responses: map[string]*wire.PollResponse{}, hashes: map[string]uint64{}}
	m.sent[m.seq] = round
	m.fill(round)
	maps.DeleteFunc(m.sent, func(_ uint64, r *Round) bool { return now-r.SentMs > DurationMs })
	if m.firstMs == 0 {
		m.firstMs = now
	}
	for _, member := range set.Members {
		if self.Colocated && now-m.heardMs[member.Name] > unheardMs {
			m.peers.AnnounceTo([]string{member.Name}) // gossip may not have told it where to answer
		}
		m.host.Send(member.Name, &wire.PollRequest{
			Incarnation: self.Incarnation, Seq: m.seq, SetVersion: set.Version, WallMs: m.host.WallMs(),
			HoldersHash: m.memberHolders[member.Name].hash, Leases: round.wanted, Releases: round.releases,
		})
		round.hashes[member.Name] = m.memberHolders[member.Name].hash
	}
}

// memberHolders is who holds what, as one member last told in full.
type memberHolders struct {
	hash    uint64
	holders []wire.RoleHolder
}

// completeHolders fills in the holders that an answer left out. It gives false where a newer
// answer has overtaken this one: then nobody knows here what it left out.
func (m *Manager) completeHolders(from string, a *wire.PollResponse, asked uint64) bool {
	if !a.HoldersUnchanged {
		m.memberHolders[from] = memberHolders{wire.HashHolders(a.Holders), a.Holders}
		return true
	}
	last := m.memberHolders[from]
	a.Holders = last.holders
	return last.hash == asked
}

// fill puts into a round what is asked for and given back.
func (m *Manager) fill(round *Round) {
	for _, role := range m.Roles() {
		l := m.leases[role]
		if l.phase == wanted {
			if l.rounds++; l.rounds > splitRounds {
				m.backOff(l)
			}
		}
		if l.phase == handingOff {
			round.releases = append(round.releases, wire.LeaseRelease{Name: role, Successor: l.successor})
			continue
		}
		round.wanted = append(round.wanted, wire.LeaseRequest{Name: role, Epoch: l.epoch})
		round.leases = append(round.leases, l)
	}
}

// OnResponse takes a member's answer to a poll.
func (m *Manager) OnResponse(from string, a *wire.PollResponse) {
	set, now := m.host.CoreSet(), m.host.NowMs()
	m.heardMs[from] = now
	r := m.sent[a.Seq]
	if r == nil || a.SetVersion != set.Version || r.Responses[from] != nil {
		return
	}
	if len(a.Granted) != len(r.wanted) || len(a.Epochs) != len(r.wanted) {
		return
	}
	if !m.completeHolders(from, a, r.hashes[from]) {
		return
	}
	r.Responses[from] = a
	m.clock.Observe(from, a.ClusterTimeMs, r.SentMs, now)
	m.syncMs[from] = a.DiskSyncMs
	for i, l := range r.leases {
		if m.leases[l.role] == l {
			m.onGrants(r, l, r.grantedEpochs(i))
		}
	}
	if len(r.Responses) < set.Majority() {
		return
	}
	m.waitForGuards(r)
	m.contactMs = max(m.contactMs, r.SentMs)
	m.host.RoundAnswered(r)
	m.observeHolders(r)
	m.onReleases(r, from)
}

// waitForGuards polls again as soon as a majority may grant, where too many
// members wait for leases that they may have granted before a start.
func (m *Manager) waitForGuards(r *Round) {
	var guards []int64
	for _, a := range r.Responses {
		guards = append(guards, a.GracePeriodMs)
	}
	slices.Sort(guards)
	if g := guards[m.host.CoreSet().Majority()-1]; g > 0 {
		m.guardMs = m.host.NowMs() + g
		m.nextMs = min(m.nextMs, m.guardMs)
	}
}

// onGrants counts the grants of a lease in one round. The lease runs from when the
// round was sent, so it ends here before any member's grant does.
func (m *Manager) onGrants(r *Round, l *lease, epochs []uint64) {
	set := m.host.CoreSet()
	need := set.Majority()
	switch {
	case l.phase == handingOff:
	case l.phase == held && m.ranOut(l):
		// Others may have held it since: it is taken anew, under a new epoch.
		m.Lose(l.role, "lease_ended")
	case len(epochs) >= need:
		l.untilMs = max(l.untilMs, r.SentMs+DurationMs)
		if l.phase == wanted {
			l.phase, l.takenMs, l.knownEpoch = counting, m.host.NowMs(), epochs[need-1]
			m.host.IncrementEpoch(l.role)
		}
	case l.phase == wanted && len(r.Responses) == len(set.Members):
		m.backOff(l)
	}
}

// grantedEpochs returns the newest epochs known to those members that granted the
// round's lease number i, highest first. The epoch at the position of the majority
// is what a change of the role's register may build on: a majority of those who
// granted the lease knows it. One that knows less may have granted a lease before
// and forgotten it in a restart, and can't tell that its holder went on to count
// the epoch up: where the register holds a newer epoch the change is lost, the
// newer one is written back, and the lease is asked for again of members that then
// know it.
func (r *Round) grantedEpochs(i int) (epochs []uint64) {
	for _, a := range r.Responses {
		if a.Granted[i] {
			epochs = append(epochs, a.Epochs[i])
		}
	}
	slices.Sort(epochs)
	slices.Reverse(epochs)
	return epochs
}

// observeHolders learns from a majority's answers who holds what, and which role
// is free.
func (m *Manager) observeHolders(r *Round) {
	seen := map[string]bool{}
	for _, from := range slices.Sorted(maps.Keys(r.Responses)) {
		for _, h := range r.Responses[from].Holders {
			old, known := m.holders[h.Name]
			if !seen[h.Name] || !known || h.Epoch > old.Epoch || h.Epoch == old.Epoch && old.Holder == "" {
				m.holders[h.Name] = h
			}
			seen[h.Name] = true
		}
	}
	for _, role := range slices.Sorted(maps.Keys(m.holders)) {
		if seen[role] {
			continue
		}
		holder := m.holders[role].Holder
		m.former[role] = formerHolder{holder, m.host.NowMs()}
		delete(m.holders, role)
		m.host.HolderLost(holder)
	}
}

// onReleases counts who took the round's releases, and lets go at a majority.
func (m *Manager) onReleases(r *Round, from string) {
	for _, release := range r.releases {
		l := m.leases[release.Name]
		if l == nil || l.phase != handingOff {
			continue
		}
		l.releaseAcks[from] = true
		if len(l.releaseAcks) >= m.host.CoreSet().Majority() {
			m.Lose(l.role, "released")
		}
	}
}

// OnCoreSet tells that the core set is another from now on: the silence of new
// members counts from now, and former members have no say on the time.
func (m *Manager) OnCoreSet(before, after quorum.Set) {
	for _, member := range after.Members {
		if !before.Has(member.Name, member.DiskID) {
			m.heardMs[member.Name] = m.host.NowMs()
		}
	}
	for _, name := range m.clock.RetainMembers(after) {
		delete(m.syncMs, name)
	}
}

// Unresponsive tells whether a member answers none of this daemon's polls for so
// long, though a majority does.
func (m *Manager) Unresponsive(member string, forMs int64) bool {
	now := m.host.NowMs()
	majorityAnswers := m.firstMs != 0 && now-m.contactMs < 2*ColocatedPollIntervalMs
	return majorityAnswers && now-max(m.heardMs[member], m.firstMs) > forMs
}
