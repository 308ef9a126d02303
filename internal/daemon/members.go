package daemon

import (
	"otterchute/internal/membership"
	"otterchute/internal/quorum"
	"otterchute/internal/statestore"
	"otterchute/internal/step"
	"otterchute/internal/wire"
)

// This file connects package membership to the daemon.

// InCore reports whether this daemon is a core member whose disk works.
func (h host) InCore() bool { return h.inCore() }

// DiskWorks reports whether this daemon has a disk that accepts writes.
func (h host) DiskWorks() bool { return h.store != nil && h.diskFailed == "" }

// Store returns the state on the disk, or nil without a disk.
func (h host) Store() *statestore.Store { return h.store }

// Instance returns the instance ID of this process.
func (h host) Instance() uint64 { return h.nodeConfig.Instance }

// FirstStart reports whether the whole cluster starts for the first time.
func (h host) FirstStart() bool { return h.nodeConfig.FirstStart }

// LeavingSinceMs returns when this daemon was requested to stop, or 0 if it wasn't.
func (h host) LeavingSinceMs() int64 { return h.leavingSinceMs }

// NextOp returns a new number for a request.
func (h host) NextOp() uint64 {
	h.opSeq++
	return h.opSeq
}

// Persist applies entries and sends messages once the entries are durable.
func (h host) Persist(entries []statestore.Entry, then ...step.Message) {
	effects := make([]effect, 0, len(then))
	for _, m := range then {
		effects = append(effects, h.sendEffect(m.To, m.Msg))
	}
	h.persist(entries, effects...)
}

// RestoreCoreSet makes the set stored on the disk the current one, after a start.
func (h host) RestoreCoreSet(set quorum.Set) {
	h.core = set
	h.granter.DelayGrants(h.now)
	h.log("core_set", "version", set.Version, "members", set.Names())
}

// BeginCluster makes the first set of a newly formed cluster the current one.
func (h host) BeginCluster(set quorum.Set) { h.core = set }

// ChangeCoreSet proposes the successor of the current set.
func (h host) ChangeCoreSet(next quorum.Set) {
	h.startChange(membership.RegisterName, "core", next.Encode(), h.core.Version)
}

// ResetDisk wipes the disk and gives it a new ID.
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
