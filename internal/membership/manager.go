// Package membership decides which disks are members of the core: how the first set is formed, how
// the slot of a lost or leaving member is refilled, and how a new member copies the state before it
// counts for a quorum.
//
// Every daemon with a disk has a Manager. On a spare, the Manager acts as a learner: it copies from
// the members and then proposes the next set itself, by a change of the register "core". Members
// only remove excess members. This package neither grants leases nor serves records; the daemon
// does both while it is in the set.
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
	// DefaultSize is how many disks store the state unless configured otherwise.
	DefaultSize = 3
	// UnresponsiveMs is how long a member may leave polls unanswered: about four polls.
	UnresponsiveMs = 1600
	// HandoverMs is how long a stopping member waits for a spare to take its slot.
	HandoverMs = 3000

	removalMarginMs = 600    // before HandoverMs ends, to remove a spare that has not finished
	replaceAfterMs  = 10_000 // how long a member is missing before a spare may replace it
	spareStaggerMs  = 1500   // additional wait of each later spare before it claims a slot
	copyRetryMs     = 2000   // resend a request for a part of a copy
	changeRetryMs   = 2500   // minimum time between proposals; the previous change has ended after it

	formationStableMs  = 700  // the same empty disks must be visible this long before they form a core
	formationStaggerMs = 1500 // additional wait of each later member before it requests the votes on a formation
	formationRetryMs   = 300  // resend a request for a vote
)

// Host is the daemon that a Manager belongs to.
type Host interface {
	step.Context
	// Self describes the daemon to its peers.
	Self() wire.Peer
	// CoreSet is the newest core set that the daemon has received.
	CoreSet() quorum.Set
	// InCore reports whether the daemon is a member with a working disk.
	InCore() bool
	// DiskWorks reports whether the daemon has a disk that accepts writes.
	DiskWorks() bool
	// Store is the state on the daemon's disk; nil without a disk.
	Store() *statestore.Store
	// Instance identifies the daemon's process.
	Instance() uint64
	// FirstStart reports whether the whole cluster starts for the first time.
	FirstStart() bool
	// LeavingSinceMs is when the daemon was asked to stop; 0 if it was not.
	LeavingSinceMs() int64
	// NextOp returns the number for a new request.
	NextOp() uint64
	// Persist applies entries, and sends messages once they are durable.
	Persist(entries []statestore.Entry, then ...step.Message)
	// RestoreCoreSet adopts the set stored on disk, after a start.
	RestoreCoreSet(set quorum.Set)
	// BeginCluster adopts the first set of a cluster that was just formed.
	BeginCluster(set quorum.Set)
	// ChangeCoreSet proposes the successor of the current set.
	ChangeCoreSet(next quorum.Set)
	// ResetDisk replaces the disk's state by a new, empty one, and calls Manager.OnDiskReset.
	ResetDisk()
}

// Manager is one daemon's part in the membership of the core.
type Manager struct {
	host   Host
	name   string
	size   int // how many disks should store the state
	peers  *cluster.Directory
	leases *lease.Manager

	forming           *formation
	emptyDiskNames    string // names of the empty disks seen last, to detect changes
	emptyDisksSinceMs int64  // when emptyDiskNames last changed
	learner           *learner
	// newcomer is set if this disk joined an existing cluster, most likely to replace a member that
	// is gone or about to leave. It waits less than a disk that was a spare before. If the member
	// returns, the newcomer becomes a spare.
	newcomer bool
}

// NewManager returns the manager of a daemon. size is how many disks should store the state, 0 for
// DefaultSize. An even size is reduced by one, since the smaller set tolerates as many losses.
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

// Size returns how many disks should store the state.
func (m *Manager) Size() int { return m.size }

// OnCoreSet handles the adoption of a core set: no formation is needed any more.
func (m *Manager) OnCoreSet() { m.forming = nil }

// OnDiskReset handles the replacement of the disk's state by a new, empty one. The disk counts as a
// newcomer from now on: if its slot was taken, the cluster has one machine more than before, which
// was added to replace a member.
func (m *Manager) OnDiskReset() { m.learner, m.forming, m.newcomer = nil, nil, true }

// CompletesSet reports whether a change reduces an oversized set to full size, with this daemon as
// its newest member. The daemon then has no record of the leases that the others granted before.
func (m *Manager) CompletesSet(before, after quorum.Set) bool {
	full := len(after.Members) == m.size && len(before.Members) > m.size
	return full && after.Members[len(after.Members)-1].Name == m.name
}

// AwaitsSuccessor reports whether a stopping member should wait until its slot is taken: a spare is
// available, or is about to take it.
func (m *Manager) AwaitsSuccessor() bool {
	if !m.host.InCore() || m.host.NowMs()-m.host.LeavingSinceMs() > HandoverMs {
		return false
	}
	members := len(m.host.CoreSet().Members)
	return members > m.size || members == m.size && len(m.spares()) > 0
}

// NotifySpares notifies the spares at once that this member is leaving.
func (m *Manager) NotifySpares() {
	var names []string
	for _, p := range m.spares() {
		names = append(names, p.Name)
	}
	m.peers.AnnounceTo(names)
}
