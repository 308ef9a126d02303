package lease

import (
	"maps"
	"slices"

	"otterchute/internal/quorum"
	"otterchute/internal/wire"
)

// PollSoon makes the next tick poll.
func (m *Manager) PollSoon() { m.nextPollMs = 0 }

// PollNextTick schedules a poll for one tick after the last poll, unless one is due sooner. tickMs
// is the interval between ticks.
func (m *Manager) PollNextTick(tickMs int64) { m.nextPollMs = min(m.nextPollMs, m.lastPollMs+tickMs) }

// LatestRound returns the number of the newest round. What a later round confirms was still true
// after this call.
func (m *Manager) LatestRound() uint64 { return m.seq }

// LastContactMs returns when the newest round that a majority answered was sent.
func (m *Manager) LastContactMs() int64 { return m.lastContactMs }

// FirstPollMs returns when this daemon first polled; 0 if it has not.
func (m *Manager) FirstPollMs() int64 { return m.firstPollMs }

// LastResponseMs returns when a member last answered a poll; 0 for never.
func (m *Manager) LastResponseMs(member string) int64 { return m.lastResponseMs[member] }

// MemberSyncMs returns the duration of the last disk sync of each member that reported it.
func (m *Manager) MemberSyncMs() map[string]int64 { return m.memberSyncMs }

// Clock returns the cluster's time as reported by the members.
func (m *Manager) Clock() *Clock { return &m.clock }

// InContact reports whether a majority of the core answered a round that was sent within the
// duration of a lease.
//
// A round counts from when it was sent, and only once a majority has answered it. So a daemon that
// receives messages but can't send them is out of contact like one that receives nothing.
// Operations that need a majority are checked on their own: a lease by its end, a configuration by
// its confirmation, a change of a register by its two rounds. InContact only determines how soon a
// caller receives the error that they are unavailable here.
func (m *Manager) InContact() bool {
	return m.host.CoreSet().Cluster != 0 && m.host.NowMs()-m.lastContactMs <= HeldMs
}

// CutOff reports whether this daemon has run for a whole lease without contact. It is false right
// after a start or after a freeze, while the first polls are in flight.
func (m *Manager) CutOff() bool {
	return m.host.NowMs()-max(m.lastContactMs, m.host.WokeMs()) > HeldMs
}

// Tick sends a round of polls if one is due.
func (m *Manager) Tick() {
	set, now := m.host.CoreSet(), m.host.NowMs()
	if len(set.Members) == 0 || now < m.nextPollMs {
		return
	}
	self := m.host.Self()
	m.nextPollMs, m.lastPollMs = now+PollIntervalMs, now
	if self.Colocated {
		m.nextPollMs = now + ColocatedPollIntervalMs
	}
	m.seq++
	round := &Round{Seq: m.seq, SentMs: now, Responses: map[string]*wire.PollResponse{}, hashes: map[string]uint64{}}
	m.rounds[m.seq] = round
	m.fillRequests(round)
	maps.DeleteFunc(m.rounds, func(_ uint64, r *Round) bool { return now-r.SentMs > DurationMs })
	if m.firstPollMs == 0 {
		m.firstPollMs = now
	}
	for _, member := range set.Members {
		if self.Colocated && now-m.lastResponseMs[member.Name] > announceAfterMs {
			m.peers.AnnounceTo([]string{member.Name}) // gossip may not have given it this daemon's address
		}
		m.host.Send(member.Name, &wire.PollRequest{
			Incarnation: self.Incarnation, Seq: m.seq, SetVersion: set.Version, WallMs: m.host.WallMs(),
			HoldersHash: m.memberHolders[member.Name].hash, Leases: round.requests, Releases: round.releases,
		})
		round.hashes[member.Name] = m.memberHolders[member.Name].hash
	}
}

// memberHolders holds the complete list of holders that a member last sent, and its hash.
type memberHolders struct {
	hash    uint64
	holders []wire.RoleHolder
}

// completeHolders fills in the holders that a response left out as unchanged. It returns false if a
// newer response has replaced the list: what was left out is then unknown.
func (m *Manager) completeHolders(from string, response *wire.PollResponse, requestedHash uint64) bool {
	if !response.HoldersUnchanged {
		m.memberHolders[from] = memberHolders{wire.HashHolders(response.Holders), response.Holders}
		return true
	}
	last := m.memberHolders[from]
	response.Holders = last.holders
	return last.hash == requestedHash
}

// fillRequests adds the leases to request and to release to a round.
func (m *Manager) fillRequests(round *Round) {
	for _, role := range m.Roles() {
		l := m.leases[role]
		if l.phase == requesting {
			if l.requestRounds++; l.requestRounds > maxSplitRounds {
				m.backOff(l)
			}
		}
		if l.phase == handingOff {
			round.releases = append(round.releases, wire.LeaseRelease{Name: role, Successor: l.successor})
			continue
		}
		round.requests = append(round.requests, wire.LeaseRequest{Name: role, Epoch: l.epoch})
		round.leases = append(round.leases, l)
	}
}

// OnResponse handles a member's response to a poll.
func (m *Manager) OnResponse(from string, response *wire.PollResponse) {
	set, now := m.host.CoreSet(), m.host.NowMs()
	m.lastResponseMs[from] = now
	round := m.rounds[response.Seq]
	if round == nil || response.SetVersion != set.Version || round.Responses[from] != nil {
		return
	}
	if len(response.Granted) != len(round.requests) || len(response.Epochs) != len(round.requests) {
		return
	}
	if !m.completeHolders(from, response, round.hashes[from]) {
		return
	}
	round.Responses[from] = response
	m.clock.Observe(from, response.ClusterTimeMs, round.SentMs, now)
	m.memberSyncMs[from] = response.DiskSyncMs
	for i, l := range round.leases {
		if m.leases[l.role] == l {
			m.onGrants(round, l, round.grantedEpochs(i))
		}
	}
	if len(round.Responses) < set.Majority() {
		return
	}
	m.pollAfterGracePeriod(round)
	m.lastContactMs = max(m.lastContactMs, round.SentMs)
	m.host.RoundAnswered(round)
	m.observeHolders(round)
	m.onReleases(round, from)
}

// pollAfterGracePeriod schedules a poll for when a majority may grant leases again, if too many
// members are in their grace period after a start.
func (m *Manager) pollAfterGracePeriod(round *Round) {
	var gracePeriods []int64
	for _, response := range round.Responses {
		gracePeriods = append(gracePeriods, response.GrantDelayMs)
	}
	slices.Sort(gracePeriods)
	if gracePeriod := gracePeriods[m.host.CoreSet().Majority()-1]; gracePeriod > 0 {
		m.gracePeriodUntilMs = m.host.NowMs() + gracePeriod
		m.nextPollMs = min(m.nextPollMs, m.gracePeriodUntilMs)
	}
}

// onGrants counts the grants of a lease in one round. The lease runs from when the round was sent,
// so it ends here before any member's grant does.
func (m *Manager) onGrants(round *Round, l *lease, epochs []uint64) {
	set := m.host.CoreSet()
	need := set.Majority()
	switch {
	case l.phase == handingOff:
	case l.phase == held && m.expired(l):
		// Another daemon may have held it since: it is acquired again under a new epoch.
		m.Lose(l.role, "lease_ended")
	case len(epochs) >= need:
		l.untilMs = max(l.untilMs, round.SentMs+DurationMs)
		if l.phase == requesting {
			l.phase, l.acquiredMs, l.majorityEpoch = incrementingEpoch, m.host.NowMs(), epochs[need-1]
			m.host.IncrementEpoch(l.role)
		}
	case l.phase == requesting && len(round.Responses) == len(set.Members):
		m.backOff(l)
	}
}

// grantedEpochs returns the newest epochs known to the members that granted the round's lease
// number i, highest first. The epoch at the majority's position is the one that a change of the
// role's register may build on: a majority of those that granted the lease knows it.
//
// A member that knows an older epoch may have granted a lease before, forgotten it in a restart,
// and not know that its holder then incremented the epoch. In that case the register holds a newer
// epoch: the change is refused, the newer epoch is written back, and the lease is requested again
// from members that then know it.
func (r *Round) grantedEpochs(i int) (epochs []uint64) {
	for _, response := range r.Responses {
		if response.Granted[i] {
			epochs = append(epochs, response.Epochs[i])
		}
	}
	slices.Sort(epochs)
	slices.Reverse(epochs)
	return epochs
}

// observeHolders updates the holders of all roles from a majority's responses, and removes roles
// that became free.
func (m *Manager) observeHolders(round *Round) {
	seen := map[string]bool{}
	for _, from := range slices.Sorted(maps.Keys(round.Responses)) {
		for _, h := range round.Responses[from].Holders {
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

// onReleases counts the members that acknowledged the round's releases, and gives up each role that
// a majority has acknowledged.
func (m *Manager) onReleases(round *Round, from string) {
	for _, release := range round.releases {
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

// OnCoreSet handles a change of the core set: a new member's silence is counted from now, and
// former members no longer contribute to the time.
func (m *Manager) OnCoreSet(before, after quorum.Set) {
	for _, member := range after.Members {
		if !before.Has(member.Name, member.DiskID) {
			m.lastResponseMs[member.Name] = m.host.NowMs()
		}
	}
	for _, name := range m.clock.RetainMembers(after) {
		delete(m.memberSyncMs, name)
	}
}

// Unresponsive reports whether a member has answered none of this daemon's polls for longer than
// forMs, although a majority answers.
func (m *Manager) Unresponsive(member string, forMs int64) bool {
	now := m.host.NowMs()
	majorityAnswers := m.firstPollMs != 0 && now-m.lastContactMs < 2*ColocatedPollIntervalMs
	return majorityAnswers && now-max(m.lastResponseMs[member], m.firstPollMs) > forMs
}
