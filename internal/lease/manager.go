package lease

import (
	"maps"
	"math/rand/v2"
	"slices"

	"otterchute/internal/cluster"
	"otterchute/internal/codec"
	"otterchute/internal/quorum"
	"otterchute/internal/register"
	"otterchute/internal/step"
	"otterchute/internal/wire"
)

const (
	// PollIntervalMs is the interval between renewals; five attempts fit in one lease.
	PollIntervalMs = 200
	// ColocatedPollIntervalMs is the poll interval of daemons colocated with workers. They hold no
	// leases, and use polls to confirm their configuration.
	ColocatedPollIntervalMs = 400
	// announceAfterMs is how long a member may leave a colocated daemon's polls unanswered before
	// the daemon announces its address to that member.
	announceAfterMs = 2 * ColocatedPollIntervalMs
	// acquireStaggerMs is the additional wait of each lower-ranked candidate for a free role.
	acquireStaggerMs = 400
	// minHoldMs is how long a daemon holds a role before it hands it to a better machine.
	minHoldMs = 8000
	// acquireTimeoutMs is how long a candidate keeps requesting a role.
	acquireTimeoutMs = 3000
	// maxSplitRounds is how many rounds may leave a role's grants split between candidates before
	// they back off.
	maxSplitRounds = 2
)

// Host is the daemon that a Manager belongs to.
type Host interface {
	step.Context
	// Self describes the daemon to its peers.
	Self() wire.Peer
	// CoreSet is the newest core set that the daemon has received.
	CoreSet() quorum.Set
	// WokeMs is when the daemon last resumed after a freeze, or started.
	WokeMs() int64
	// IncrementEpoch starts to increment a role's epoch in its register, by way of
	// Manager.NextEpoch and Manager.OnEpochOutcome.
	IncrementEpoch(role string)
	// RoleTaken is called when the daemon begins to hold a role.
	RoleTaken(role string, epoch uint64)
	// RoleLost is called when the daemon no longer holds a role, or gives up requesting it.
	RoleLost(role string)
	// HolderLost is called when another daemon has lost a role.
	HolderLost(holder string)
	// RoundAnswered is called when a majority has answered a round of polls, and again for each
	// further response.
	RoundAnswered(round *Round)
}

// Round is one round of polls to all core members.
type Round struct {
	Seq       uint64
	SentMs    int64
	Responses map[string]*wire.PollResponse // by member
	hashes    map[string]uint64             // member -> hash of the holders it may leave out
	requests  []wire.LeaseRequest
	leases    []*lease // for each request; a lease given up since is no longer in Manager.leases
	releases  []wire.LeaseRelease
}

// phase is the progress of taking or giving up a role.
type phase int8

const (
	requesting        phase = iota // requested in polls
	incrementingEpoch              // granted; the epoch is being incremented
	held                           // in service
	handingOff                     // being released, to a named successor or to any daemon
)

// lease is a role that this daemon holds or requests.
type lease struct {
	role          string
	epoch         uint64
	majorityEpoch uint64 // the newest epoch known to a majority when it granted the lease
	untilMs       int64
	phase         phase
	acquiredMs    int64 // when the lease was first granted by a majority
	requestedMs   int64 // when the request began
	requestRounds int   // polls that requested the lease
	successor     string
	releaseAcks   map[string]bool // members that acknowledged the release
}

// formerHolder is the daemon whose lease of a role has ended. It is not a candidate for a while.
type formerHolder struct {
	name string
	atMs int64
}

// Manager polls the core members and holds the roles of one daemon.
type Manager struct {
	host  Host
	peers *cluster.Directory
	clock Clock

	seq                uint64
	nextPollMs         int64
	lastPollMs         int64 // when the last round was sent
	firstPollMs        int64 // 0 before the first poll
	lastContactMs      int64 // when the newest round that a majority answered was sent
	gracePeriodUntilMs int64 // until then no majority grants leases, since members are in their grace period
	rounds             map[uint64]*Round
	lastResponseMs     map[string]int64         // member -> when it last answered a poll
	memberSyncMs       map[string]int64         // member -> duration of its last disk sync
	memberHolders      map[string]memberHolders // by member

	leases    map[string]*lease
	holders   map[string]wire.RoleHolder // as known to a majority
	former    map[string]formerHolder
	freeSince map[string]int64 // role -> since when no majority lists a holder

	ignoreStrength bool
}

// NewManager returns the manager of a daemon that holds no roles.
//
// Example: leases := lease.NewManager(host, peers)
func NewManager(host Host, peers *cluster.Directory) *Manager {
	return &Manager{
		host: host, peers: peers,
		rounds: map[uint64]*Round{}, lastResponseMs: map[string]int64{}, memberSyncMs: map[string]int64{},
		memberHolders: map[string]memberHolders{},
		leases:        map[string]*lease{}, holders: map[string]wire.RoleHolder{}, former: map[string]formerHolder{},
	}
}

// IgnoreStrength makes Candidates treat all machines that are not colocated as equally strong, for
// comparisons.
func (m *Manager) IgnoreStrength(ignore bool) { m.ignoreStrength = ignore }

// inService reports whether a lease is certainly held now.
func (m *Manager) inService(l *lease) bool {
	return l != nil && l.phase == held && m.host.NowMs() < l.untilMs-SlackMs
}

// expired reports whether a lease must be given up.
func (m *Manager) expired(l *lease) bool { return m.host.NowMs() >= l.untilMs-SlackMs }

// Holds reports whether this daemon certainly holds a role now.
func (m *Manager) Holds(role string) bool { return m.inService(m.leases[role]) }

// HeldUntilMs returns the latest time at which this daemon gives up a role, by its monotonic clock;
// 0 for a role that it doesn't hold.
func (m *Manager) HeldUntilMs(role string) int64 {
	if l := m.leases[role]; l != nil {
		return l.untilMs - SlackMs
	}
	return 0
}

// Holder returns the holder of a role and its epoch, as known to the core; "" if the role is free.
func (m *Manager) Holder(role string) (name string, epoch uint64) {
	self := m.host.Self().Name
	if l := m.leases[role]; m.inService(l) {
		return self, l.epoch
	}
	h, ok := m.holders[role]
	if !ok || h.Holder == "" || h.Holder == self {
		return "", 0
	}
	return h.Holder, h.Epoch
}

// Successor returns the successor that a role's last holder named; "" for none.
func (m *Manager) Successor(role string) string { return m.holders[role].Successor }

// Holders returns the holders of all roles, as known to the core, sorted by role.
func (m *Manager) Holders() []wire.RoleHolder {
	out := make([]wire.RoleHolder, 0, len(m.holders))
	for _, role := range slices.Sorted(maps.Keys(m.holders)) {
		out = append(out, m.holders[role])
	}
	return out
}

// Roles returns the roles that this daemon holds, requests or gives up, sorted.
func (m *Manager) Roles() []string { return slices.Sorted(maps.Keys(m.leases)) }

// Serves reports whether this daemon has taken a role and not given it up. Its lease may have
// expired since.
func (m *Manager) Serves(role string) bool {
	l := m.leases[role]
	return l != nil && l.phase == held
}

// Acquire requests a role, unless the daemon is stopping.
func (m *Manager) Acquire(role string) {
	if m.leases[role] == nil && !m.host.Self().Leaving && m.host.CoreSet().Cluster != 0 {
		m.leases[role] = &lease{role: role, requestedMs: m.host.NowMs()}
		m.PollSoon()
	}
}

// Assume records a role as held until the given time without a grant. It is used only by tests.
func (m *Manager) Assume(role string, epoch uint64, untilMs int64) {
	m.leases[role] = &lease{role: role, epoch: epoch, phase: held, untilMs: untilMs}
}

// Lose gives up a role at once, even if members still grant its lease.
func (m *Manager) Lose(role, why string) {
	l := m.leases[role]
	if l == nil {
		return
	}
	delete(m.leases, role)
	delete(m.holders, role)
	if l.epoch != 0 {
		m.host.Log("role_lost", "role", role, "epoch", l.epoch, "why", why)
	}
	m.host.RoleLost(role)
}

// HandOff stops serving a role at once and names the successor; "" for any daemon.
func (m *Manager) HandOff(role, successor string) {
	l := m.leases[role]
	if l == nil || l.phase == handingOff {
		return
	}
	m.host.Log("role_handed_off", "role", role, "epoch", l.epoch, "successor", successor)
	m.host.RoleLost(role)
	l.phase, l.successor, l.releaseAcks = handingOff, successor, map[string]bool{}
	m.PollSoon()
}

// backOff releases a role whose grants were split between candidates, and waits for a random time
// before the next request.
func (m *Manager) backOff(l *lease) {
	l.phase, l.successor, l.releaseAcks = handingOff, "", map[string]bool{}
	m.PollSoon()
	if m.freeSince != nil {
		m.freeSince[l.role] = m.host.NowMs() + m.random().Int64N(acquireStaggerMs)
	}
}

func (m *Manager) random() *rand.Rand { return m.host.Rand() }

// NextEpoch is the register.Change that increments a role's epoch.
func (m *Manager) NextEpoch(role string, current []byte) (register.Decision, []byte) {
	l := m.leases[role]
	var h wire.RoleHolder
	if l == nil || len(current) > 0 && codec.Unmarshal(current, &h) != nil {
		return register.Fail, nil
	}
	self := m.host.Self()
	if h.Epoch > l.majorityEpoch && (h.Holder != self.Name || h.Incarnation != self.Incarnation) {
		// Another daemon took the role: members had lost its lease in a restart when they granted this one.
		return register.Refuse, nil
	}
	return register.Replace, codec.Append(nil, wire.RoleHolder{
		Name: role, Holder: self.Name, Incarnation: self.Incarnation, Addr: self.Addr, Epoch: h.Epoch + 1,
	})
}

// OnEpochOutcome handles the outcome of incrementing a role's epoch. On success the daemon begins
// to serve the role.
func (m *Manager) OnEpochOutcome(role string, outcome register.Outcome, value []byte) {
	l := m.leases[role]
	if l == nil || l.phase != incrementingEpoch {
		return
	}
	if outcome == register.Refused && !m.expired(l) {
		l.phase, l.requestRounds = requesting, 0 // the members know the newer epoch now
		m.PollSoon()
		return
	}
	var h wire.RoleHolder
	if outcome != register.Done || codec.Unmarshal(value, &h) != nil || m.expired(l) {
		m.Lose(role, "not_taken")
		return
	}
	l.phase, l.epoch = held, h.Epoch
	m.holders[role] = h
	m.host.Count("roles_taken")
	m.host.Log("role_taken", "role", role, "epoch", l.epoch)
	m.host.RoleTaken(role, l.epoch)
}
