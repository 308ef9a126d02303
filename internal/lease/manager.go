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
	// PollIntervalMs is the pace of renewals; five tries fit in one lease.
	PollIntervalMs = 200
	// ColocatedPollIntervalMs is the pace of daemons beside workers: they hold no lease, and
	// the configuration they go by is confirmed this often.
	ColocatedPollIntervalMs = 400
	// unheardMs: a member that answered no poll of a daemon beside a worker for so long is told
	// where that daemon is.
	unheardMs = 2 * ColocatedPollIntervalMs
	// acquireStepMs: each lower-ranked candidate waits this much longer for a free role.
	acquireStepMs = 400
	// returnMs: a role's holder hands it to a better machine when it has held it this long.
	returnMs = 8000
	// acquireForMs: a candidate keeps trying for a role this long.
	acquireForMs = 3000
	// splitRounds is how many rounds may leave a role's grants split before the
	// candidates back off.
	splitRounds = 2
)

// Host is the daemon that a Manager belongs to.
type Host interface {
	step.Context
	// Self is what the daemon says of itself.
	Self() wire.Peer
	// CoreSet is the newest core set it knows.
	CoreSet() quorum.Set
	// WokeMs is when it last woke from a freeze, or began.
	WokeMs() int64
	// IncrementEpoch begins to count a role's epoch up in its register, see
	// Manager.NextEpoch and Manager.OnEpochOutcome.
	IncrementEpoch(role string)
	// RoleTaken tells that the daemon holds a role from now on.
	RoleTaken(role string, epoch uint64)
	// RoleLost tells that it holds a role no more, if it did.
	RoleLost(role string)
	// HolderLost tells that a daemon has lost a role.
	HolderLost(holder string)
	// RoundAnswered tells that a majority has answered a round of polls. It is
	// told again with each further answer.
	RoundAnswered(r *Round)
}

// Round is one round of polls to all core members.
type Round struct {
	Seq       uint64
	SentMs    int64
	Responses map[string]*wire.PollResponse // by member
	hashes    map[string]uint64             // member -> the holders that it was asked to leave out
	wanted    []wire.LeaseRequest
	leases    []*lease // what each of wanted was asked for: one given up since is another
	releases  []wire.LeaseRelease
}

// phase is how far the daemon is with a role.
type phase int8

const (
	wanted     phase = iota // asked for in polls
	counting                // the epoch is being counted up
	held                    // in service
	handingOff              // being given to a successor, or back
)

// lease is a role that this daemon holds or tries for.
type lease struct {
	role        string
	epoch       uint64
	knownEpoch  uint64 // the newest that a majority of the grants was given in knowledge of
	untilMs     int64
	phase       phase
	takenMs     int64 // when the lease was first had
	wantedMs    int64 // asked for since
	rounds      int   // polls that asked for it
	successor   string
	releaseAcks map[string]bool // members that took the release
}

// formerHolder is who held a role whose lease has ended: not the one to ask next.
type formerHolder struct {
	name string
	atMs int64
}

// Manager polls the core members and holds the roles of one daemon.
type Manager struct {
	host  Host
	peers *cluster.Directory
	clock Clock

	seq           uint64
	nextMs        int64
	lastMs        int64 // when the last round was sent
	firstMs       int64 // when this daemon first polled
	contactMs     int64 // when the newest round that a majority answered was sent
	guardMs       int64 // until then too many members grant nothing
	sent          map[uint64]*Round
	heardMs       map[string]int64         // member -> when it last answered a poll
	syncMs        map[string]int64         // member -> its last sync
	memberHolders map[string]memberHolders // by member

	leases    map[string]*lease
	holders   map[string]wire.RoleHolder // as far as a majority told
	former    map[string]formerHolder
	freeSince map[string]int64 // role -> since when no majority lists a holder

	ignoreStrength bool
}

// NewManager returns the manager of a daemon that holds nothing.
//
// Example: leases := lease.NewManager(host, peers)
func NewManager(host Host, peers *cluster.Directory) *Manager {
	return &Manager{
		host: host, peers: peers,
		sent: map[uint64]*Round{}, heardMs: map[string]int64{}, syncMs: map[string]int64{},
		memberHolders: map[string]memberHolders{},
		leases:        map[string]*lease{}, holders: map[string]wire.RoleHolder{}, former: map[string]formerHolder{},
	}
}

// IgnoreStrength has roles go to any machine of their zone first, however weak: for
// comparisons.
func (m *Manager) IgnoreStrength(ignore bool) { m.ignoreStrength = ignore }

// inService tells whether a lease is surely held now.
func (m *Manager) inService(l *lease) bool {
	return l != nil && l.phase == held && m.host.NowMs() < l.untilMs-SlackMs
}

// ranOut tells whether a lease must be given up.
func (m *Manager) ranOut(l *lease) bool { return m.host.NowMs() >= l.untilMs-SlackMs }

// Holds tells whether this daemon surely holds a role now.
func (m *Manager) Holds(role string) bool { return m.inService(m.leases[role]) }

// HeldUntilMs is when this daemon gives a role up at the latest, by the steady
// clock; 0 for one that it doesn't hold.
func (m *Manager) HeldUntilMs(role string) int64 {
	if l := m.leases[role]; l != nil {
		return l.untilMs - SlackMs
	}
	return 0
}

// Holder returns who holds a role and its epoch, as far as the core told; "" where
// nobody does.
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

// Successor returns whom a role's last holder named for it; "" for nobody.
func (m *Manager) Successor(role string) string { return m.holders[role].Successor }

// Holders returns all that the core told of who holds what, by role.
func (m *Manager) Holders() []wire.RoleHolder {
	out := make([]wire.RoleHolder, 0, len(m.holders))
	for _, role := range slices.Sorted(maps.Keys(m.holders)) {
		out = append(out, m.holders[role])
	}
	return out
}

// Roles returns the roles that this daemon holds, tries for or gives up, in order.
func (m *Manager) Roles() []string { return slices.Sorted(maps.Keys(m.leases)) }

// Serves tells whether this daemon took a role and has not let go of it; its lease
// may have run out since.
func (m *Manager) Serves(role string) bool {
	l := m.leases[role]
	return l != nil && l.phase == held
}

// Acquire tries for a role, unless the daemon is about to stop.
func (m *Manager) Acquire(role string) {
	if m.leases[role] == nil && !m.host.Self().Leaving && m.host.CoreSet().Cluster != 0 {
		m.leases[role] = &lease{role: role, wantedMs: m.host.NowMs()}
		m.PollSoon()
	}
}

// Assume records a role as held until a time, as if it had been granted. Tests
// begin with it.
func (m *Manager) Assume(role string, epoch uint64, untilMs int64) {
	m.leases[role] = &lease{role: role, epoch: epoch, phase: held, untilMs: untilMs}
}

// Lose gives a role up at once, whatever the members still grant.
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

// HandOff stops serving a role at once and names who takes it next; "" for anybody.
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

// backOff gives up on a role whose grants were split, and waits a while.
func (m *Manager) backOff(l *lease) {
	l.phase, l.successor, l.releaseAcks = handingOff, "", map[string]bool{}
	m.PollSoon()
	if m.freeSince != nil {
		m.freeSince[l.role] = m.host.NowMs() + m.random().Int64N(acquireStepMs)
	}
}

func (m *Manager) random() *rand.Rand { return m.host.Rand() }

// NextEpoch counts a role's epoch up: it is the change of the role's register.
func (m *Manager) NextEpoch(role string, current []byte) (register.Decision, []byte) {
	l := m.leases[role]
	var h wire.RoleHolder
	if l == nil || len(current) > 0 && codec.Unmarshal(current, &h) != nil {
		return register.Fail, nil
	}
	self := m.host.Self()
	if h.Epoch > l.knownEpoch && (h.Holder != self.Name || h.Incarnation != self.Incarnation) {
		return register.Refuse, nil // taken by another since our lease was granted, by members that have started anew
	}
	return register.Replace, codec.Append(nil, wire.RoleHolder{
		Name: role, Holder: self.Name, Incarnation: self.Incarnation, Addr: self.Addr, Epoch: h.Epoch + 1,
	})
}

// OnEpochOutcome takes what came of counting a role's epoch up, and begins to serve it.
func (m *Manager) OnEpochOutcome(role string, outcome register.Outcome, value []byte) {
	l := m.leases[role]
	if l == nil || l.phase != counting {
		return
	}
	if outcome == register.Refused && !m.ranOut(l) {
		l.phase, l.rounds = wanted, 0 // the members know the newer epoch now
		m.PollSoon()
		return
	}
	var h wire.RoleHolder
	if outcome != register.Done || codec.Unmarshal(value, &h) != nil || m.ranOut(l) {
		m.Lose(role, "not_taken")
		return
	}
	l.phase, l.epoch = held, h.Epoch
	m.holders[role] = h
	m.host.Count("roles_taken")
	m.host.Log("role_taken", "role", role, "epoch", l.epoch)
	m.host.RoleTaken(role, l.epoch)
}
