// Package membership decides which disks are the core's members: how the first set
// is formed, how a slot is refilled whose member is gone or leaves, and how a new
// member copies the state before it counts for a quorum.
//
// Every daemon with a disk has a Manager. One that stands by as a spare copies from
// the members (a learner) and proposes the next set itself, by a change of the
// register "core"; members only remove what is too many. Nothing here grants
// leases or serves records: the daemon does so while it is in the set.
package membership

import (
	"otterchute/internal/cluster"
	"otterchute/internal/lease"
	"otterchute/internal/quorum"
	"otterchute/internal/statestore"
	"otterchute/internal/step"
	"otterchute/internal/wire"
)

const (
	// RegisterName is the name of the register that holds the core set.
	RegisterName = "core"
	// DefaultSize is how many disks hold the state where nothing else is set.
	DefaultSize = 3
	// UnresponsiveMs is how long a member may answer no poll: some four of them.
	UnresponsiveMs = 1600
	// HandoverMs is how long a member that stops waits for a spare to take its slot.
	HandoverMs = 3000

	undoMs      = 600    // before that it takes a spare out again that has not finished
	replaceMs   = 10_000 // a member gone this long may be replaced by a spare
	spareStepMs = 1500   // each later spare waits this much longer before it goes for a slot
	copyAgainMs = 2000   // a part of a copy that doesn't come is asked for again
	changeMs    = 2500   // and so is a change of the set, when it must have ended

	formStableMs = 700  // so long the same empty disks must be seen before a core is formed of them
	formTurnMs   = 1500 // each later member waits this much longer before it brings a formation to its end
	formAgainMs  = 300  // votes that didn't come are asked for again
)

// Host is the daemon that a Manager belongs to.
type Host interface {
	step.Context
	// Self is what the daemon says of itself.
	Self() wire.Peer
	// CoreSet is the newest core set it knows.
	CoreSet() quorum.Set
	// InCore tells whether it is a member whose disk works.
	InCore() bool
	// DiskWorks tells whether it has a disk, and that takes writes.
	DiskWorks() bool
	// Store is the state on its disk; nil without one.
	Store() *statestore.Store
	// Instance names its process.
	Instance() uint64
	// FirstStart tells whether the whole fleet starts for the first time.
	FirstStart() bool
	// LeavingSinceMs is when it was asked to stop; 0 if it wasn't.
	LeavingSinceMs() int64
	// NextOp numbers a request.
	NextOp() uint64
	// Persist applies entries, and sends messages once they are durable.
	Persist(entries []statestore.Entry, then ...step.Message)
	// RestoreCoreSet takes up the set that the disk knows, after a start.
	RestoreCoreSet(set quorum.Set)
	// BeginCluster takes up the first set of a cluster that was just formed.
	BeginCluster(set quorum.Set)
	// ChangeCoreSet proposes the set after the one that is known.
	ChangeCoreSet(next quorum.Set)
	// ResetDisk makes the disk a new, empty one; the Manager is told by OnDiskReset.
	ResetDisk()
}

// Manager is one daemon's part in the membership of the core.
type Manager struct {
	host   Host
	name   string
	size   int // disks that are to hold the state
	peers  *cluster.Directory
	leases *lease.Manager

	forming   *formation
	emptySeen string // the names of the empty disks seen
	stableMs  int64  // since when they are the same
	learner   *learner
	// newcomer: this disk came into a fleet that isn't new, most likely in the
	// place of a member that went or is about to. It doesn't wait as long as a
	// disk that stood by before; if that member is back it becomes a spare.
	newcomer bool
}

// NewManager returns the manager of the daemon of this name. size is how many disks
// are to hold the state, 0 for DefaultSize; an even number counts as the odd one
// below it, which bears as many losses.
//
// Example: members := membership.NewManager(host, "edge-1", 3, peers, leases)
func NewManager(host Host, name string, size int, peers *cluster.Directory, leases *lease.Manager) *Manager {
	if size <= 0 {
		size = DefaultSize
	}
	m := &Manager{host: host, name: name, size: size - 1 + size%2, peers: peers, leases: leases}
	if st := host.Store(); st != nil {
		m.newcomer = st.CoreSet().Version == 0 && !host.FirstStart()
	}
	return m
}

// Size is how many disks are to hold the state.
func (m *Manager) Size() int { return m.size }

// OnCoreSet tells that a cluster stands: there is nothing left to form.
func (m *Manager) OnCoreSet() { m.forming = nil }

// OnDiskReset tells that the disk is a new, empty one. Where its slot was taken, the
// fleet has a machine more than before, which was brought for some member's.
func (m *Manager) OnDiskReset() { m.learner, m.forming, m.newcomer = nil, nil, true }

// CompletesSet tells whether a set is full again by this daemon as its newest member:
// then it has missed what the others granted before.
func (m *Manager) CompletesSet(before, after quorum.Set) bool {
	full := len(after.Members) == m.size && len(before.Members) > m.size
	return full && after.Members[len(after.Members)-1].Name == m.name
}

// AwaitsSuccessor tells whether a member that stops is to wait until its slot is
// taken: a spare can have it, or is about to.
func (m *Manager) AwaitsSuccessor() bool {
	if !m.host.InCore() || m.host.NowMs()-m.host.LeavingSinceMs() > HandoverMs {
		return false
	}
	members := len(m.host.CoreSet().Members)
	return members > m.size || members == m.size && len(m.spares()) > 0
}

// NotifySpares lets the spares know at once that this member leaves.
func (m *Manager) NotifySpares() {
	var names []string
	for _, p := range m.spares() {
		names = append(names, p.Name)
	}
	m.peers.AnnounceTo(names)
}
