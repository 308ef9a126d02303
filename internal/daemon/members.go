package daemon

import (
	"otterchute/internal/membership"
	"otterchute/internal/quorum"
	"otterchute/internal/statestore"
	"otterchute/internal/step"
	"otterchute/internal/wire"
)

// What membership needs of this daemon, and what it gives to its parts.

// InCore tells whether this daemon is a member whose disk works.
func (h host) InCore() bool { return h.inCore() }

// DiskWorks tells whether this daemon has a disk, and that takes writes.
func (h host) DiskWorks() bool { return h.store != nil && h.diskFailed == "" }

// Store is the state on the disk; nil without one.
func (h host) Store() *statestore.Store { return h.store }

// Instance names this process.
func (h host) Instance() uint64 { return h.nodeConfig.Instance }

// FirstStart tells whether the whole fleet starts for the first time.
func (h host) FirstStart() bool { return h.nodeConfig.FirstStart }

// LeavingSinceMs is when this daemon was asked to stop; 0 if it wasn't.
func (h host) LeavingSinceMs() int64 { return h.leavingSinceMs }

// NextOp numbers a request.
func (h host) NextOp() uint64 {
	h.opSeq++
	return h.opSeq
}

// Persist applies entries, and sends messages once they are durable.
func (h host) Persist(entries []statestore.Entry, then ...step.Message) {
	effects := make([]effect, 0, len(then))
	for _, m := range then {
		effects = append(effects, h.sendEffect(m.To, m.Msg))
	}
	h.persist(entries, effects...)
}

// RestoreCoreSet takes up the set that the disk knows, after a start.
func (h host) RestoreCoreSet(set quorum.Set) {
	h.core = set
	h.granter.DelayGrants(h.now)
	h.log("core_set", "version", set.Version, "members", set.Names())
}

// BeginCluster takes up the first set of a cluster that was just formed.
func (h host) BeginCluster(set quorum.Set) { h.core = set }

// ChangeCoreSet proposes the set after the one that is known.
func (h host) ChangeCoreSet(next quorum.Set) {
	h.startChange(membership.RegisterName, "core", next.Encode(), h.core.Version)
}

// ResetDisk makes the disk a new, empty one.
func (h host) ResetDisk() { h.resetDisk() }

func (n *node) tickFormation() { n.members.TickFormation() }
func (n *node) tickLearner()   { n.members.Tick() }

func (n *node) onFormRequest(from string, m *wire.FormRequest)   { n.members.OnFormRequest(from, m) }
func (n *node) onFormResponse(from string, m *wire.FormResponse) { n.members.OnFormResponse(from, m) }
func (n *node) onCopyResponse(from string, m *wire.CopyResponse) { n.members.OnCopyResponse(from, m) }

func (n *node) onCopyRequest(from string, m *wire.CopyRequest) {
	if n.servesSet(m.SetVersion) {
		n.members.OnCopyRequest(from, m)
	}
}
