package daemon

import (
	"otterchute/internal/codec"
	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/quorum"
	"otterchute/internal/rendezvous"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

const (
	snapshotMinBytes = 8 << 20 // bytes of log before a snapshot is worth its writing
)

// persistCoreSet keeps a newer set on this disk, but not one that lacks it: a former
// member must know after a restart, too, that it was one.
func (n *node) persistCoreSet(set quorum.Set) {
	if stored := n.store.CoreSet(); set.Version > stored.Version && (set.Has(n.Name, n.DiskID) || !stored.Has(n.Name, n.DiskID)) {
		n.persist([]statestore.Entry{{Kind: statestore.EntryCoreSet, Value: codec.Append(nil, set)}})
	}
}

// persist applies entries and syncs them, then lets the effects go.
func (n *node) persist(entries []statestore.Entry, then ...effect) {
	for _, e := range entries {
		n.store.Apply(e)
	}
	n.emit(effAppend{Entries: entries, Then: then})
}

// servesSet tells whether this member may answer a request made under a core set.
func (n *node) servesSet(setVersion int64) bool {
	return n.inCore() && setVersion == n.core.Version
}

func (n *node) onRegisterRead(from string, m *wire.RegisterRead) {
	if !n.servesSet(m.SetVersion) {
		return
	}
	register := n.store.Register(m.Register)
	value, complete := register.Value, true
	if m.Register == "setup" && !n.core.HasName(from) {
		value, complete = n.config.readerCopy.Value(register), false
	}
	n.persist(
		nil,
		n.sendEffect(from, &wire.RegisterValue{Register: m.Register, Ballot: register.Accepted, Value: value, Complete: complete}),
	)
}

func (n *node) onSealRequest(from string, m *wire.SealRequest) {
	if !n.servesSet(m.SetVersion) {
		return
	}
	replica := n.store.Shard(m.Shard)
	if m.Epoch < replica.SealedEpoch() {
		n.send(from, &wire.SealResponse{SetVersion: m.SetVersion, Shard: m.Shard, Epoch: m.Epoch})
		return
	}
	response := &wire.SealResponse{SetVersion: m.SetVersion, Shard: m.Shard, Epoch: m.Epoch, OK: true, ServedEpoch: replica.ServedEpoch()}
	response.Records = append(response.Records, replica.Live()...)
	response.Records = append(response.Records, replica.Unconfirmed()...)
	n.persist([]statestore.Entry{{Kind: statestore.EntrySeal, Name: m.Shard, Epoch: m.Epoch}}, n.sendEffect(from, response))
}

func (n *node) onWriteRequest(from string, m *wire.WriteRequest) {
	if !n.servesSet(m.SetVersion) {
		return
	}
	replica := n.store.Shard(m.Shard)
	if m.Epoch != replica.SealedEpoch() {
		if m.Epoch > replica.SealedEpoch() { // a member that missed the seal learns it with the write
			n.persist([]statestore.Entry{{Kind: statestore.EntrySeal, Name: m.Shard, Epoch: m.Epoch}})
		} else {
			n.count("writes_rejected")
			n.send(from, &wire.WriteResponse{SetVersion: m.SetVersion, Shard: m.Shard, Epoch: m.Epoch, Seq: m.Seq})
			return
		}
	}
	if !patchesApply(replica, m.Patches) {
		n.count("writes_lacking")
		n.send(from, &wire.WriteResponse{
			SetVersion: m.SetVersion, Shard: m.Shard, Epoch: m.Epoch, Seq: m.Seq, OK: true, BaseMissing: true,
		})
		return
	}
	entries := make([]statestore.Entry, 0, len(m.Records)+len(m.Patches)+len(m.Confirmed)+1)
	if m.Complete && replica.ServedEpoch() < m.Epoch {
		entries = append(entries, statestore.Entry{Kind: statestore.EntryServed, Name: m.Shard, Epoch: m.Epoch})
	}
	for _, id := range m.Confirmed {
		entries = append(
			entries,
			statestore.Entry{Kind: statestore.EntryConfirmed, Name: m.Shard, Record: statestore.Record{ID: id}},
		)
	}
	for _, r := range m.Records {
		entries = append(entries, statestore.Entry{Kind: statestore.EntryRecord, Name: m.Shard, Record: r})
	}
	for _, p := range m.Patches {
		entries = append(entries, statestore.PatchEntry(m.Shard, p))
	}
	n.persist(
		entries,
		n.sendEffect(
			from,
			&wire.WriteResponse{SetVersion: m.SetVersion, Shard: m.Shard, Epoch: m.Epoch, Seq: m.Seq, OK: true},
		),
	)
}

// patchesApply tells whether all patches build on what a shard has. One of a version that is here
// already, or an older one, came before: it fits, and changes nothing.
func patchesApply(replica *statestore.Shard, patches []statestore.Patch) bool {
	for _, p := range patches {
		if _, ok := replica.Patched(p); !ok && !replica.HasVersion(p.ID, p.Epoch, p.Version) {
			return false
		}
	}
	return true
}

func (n *node) onFetchRequest(from string, m *wire.FetchRequest) {
	if !n.servesSet(m.SetVersion) {
		return
	}
	response := &wire.FetchResponse{Op: m.Op}
	for _, id := range m.IDs {
		if r, ok := n.store.Shard(m.Shard).Get(id); ok {
			response.Records = append(response.Records, r)
		}
	}
	n.persist(nil, n.sendEffect(from, response))
}

// onPollRequest grants leases and tells what every daemon must know.
func (n *node) onPollRequest(from string, m *wire.PollRequest) {
	if !n.servesSet(m.SetVersion) {
		return
	}
	if n.granter.ObservePoll(from, m) {
		n.count("polls_overtaken")
		return
	}
	n.granter.ObserveClock(from, m.WallMs, n.now)
	response := &wire.PollResponse{
		Seq:           m.Seq,
		SetVersion:    n.core.Version,
		GracePeriodMs: n.granter.GrantDelayLeftMs(n.now),
		ClusterTimeMs: n.measuredClusterTime(),
		DiskSyncMs:    n.diskSyncMs,
	}
	process := lease.Process{Name: from, Incarnation: m.Incarnation, Addr: n.peers.Addr(from)}
	n.granter.Release(process, m.Releases, n.now)
	ended := func(p lease.Process) bool { return n.peers.IncarnationEnded(p.Name, p.Incarnation, p.Addr) }
	for _, request := range m.Leases {
		last := n.lastHolder(request.Name)
		response.Granted = append(response.Granted, n.granter.Grant(request, process, last, n.now, ended))
		response.Epochs = append(response.Epochs, last.Epoch)
	}
	response.Holders = n.granter.Holders(n.now)
	if m.HoldersHash != 0 && m.HoldersHash == wire.HashHolders(response.Holders) {
		response.Holders, response.HoldersUnchanged = nil, true
	}
	response.Config = n.store.Register(configuration.RegisterName).Accepted
	n.persist(nil, n.sendEffect(from, response))
}

// lastHolder is who took a role last, as far as this disk knows. Of any majority
// one member at least knows the newest.
func (n *node) lastHolder(name string) (holder wire.RoleHolder) {
	if value := n.store.RegisterValue(lease.RegisterName(name)); value != nil {
		_ = codec.Unmarshal(value, &holder) // a value that can't be read is nobody's
	}
	return holder
}

// measuredClusterTime is the fleet's time by the clocks that this core member hears; 0
// right after a freeze, until what waited here for long is replaced.
func (n *node) measuredClusterTime() int64 {
	if n.now-n.wokeMs < 2*lease.ColocatedPollIntervalMs {
		return 0
	}
	return n.granter.ClusterTime(n.now, n.peers.AliveCount())
}

// dropExpired lets go of finished records past their keeping. Where less than a
// majority of the core has told its time here, one wrong clock might be all there is.
func (n *node) dropExpired() {
	if n.leases.Clock().Readings() < n.core.Majority() {
		return
	}
	cutoffMs := n.fleetTime() - n.FinishedKeepMs
	for _, name := range n.store.ShardNames() {
		if n.store.Shard(name).Expired(cutoffMs) {
			n.persist([]statestore.Entry{{Kind: statestore.EntryExpire, Name: name, Epoch: uint64(cutoffMs)}})
		}
	}
}

func (n *node) tickStore() {
	if !n.inCore() || n.fleetTime() == 0 {
		return
	}
	if n.now%10_000 < tickMs {
		n.dropExpired()
	}
	// Members take their snapshots at different lengths of the log, so that
	// they don't all write one at the same time.
	if st := n.store; st.LoggedBytes() > n.SnapshotBytes+int64(
		rendezvous.Weight("snapshot", n.Name)%uint64(n.SnapshotBytes),
	) &&
		st.LoggedBytes() > st.Size() {
		st.SnapshotTaken()
		n.emit(effSnapshot{Entries: st.Dump()})
	}
}
