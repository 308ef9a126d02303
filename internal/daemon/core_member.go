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
	snapshotMinBytes = 8 << 20 // a snapshot of a smaller log costs more writes than it saves
)

// persistCoreSet stores a newer core set on the disk. A former member doesn't store a
// set without itself, so that the disk still shows after a restart that it was a member.
func (n *node) persistCoreSet(set quorum.Set) {
	if stored := n.store.CoreSet(); set.Version > stored.Version &&
		(set.Has(n.Name, n.DiskID) || !stored.Has(n.Name, n.DiskID)) {
		n.persist([]statestore.Entry{{Kind: statestore.EntryCoreSet, Value: codec.Append(nil, set)}})
	}
}

// persist applies entries to the store and emits the effects after the disk has synced
// the entries.
func (n *node) persist(entries []statestore.Entry, then ...effect) {
	for _, e := range entries {
		n.store.Apply(e)
	}
	n.emit(effAppend{Entries: entries, Then: then})
}

// servesSet reports whether this daemon may answer a request made under a version of
// the core set: it must be a member, and the version must be the current one.
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
		n.sendEffect(
			from,
			&wire.RegisterValue{Register: m.Register, Ballot: register.Accepted, Value: value, Complete: complete},
		),
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
	response := &wire.SealResponse{
		SetVersion:  m.SetVersion,
		Shard:       m.Shard,
		Epoch:       m.Epoch,
		OK:          true,
		ServedEpoch: replica.ServedEpoch(),
	}
	response.Records = append(response.Records, replica.Live()...)
	response.Records = append(response.Records, replica.Unconfirmed()...)
	n.persist(
		[]statestore.Entry{{Kind: statestore.EntrySeal, Name: m.Shard, Epoch: m.Epoch}},
		n.sendEffect(from, response),
	)
}

func (n *node) onWriteRequest(from string, m *wire.WriteRequest) {
	if !n.servesSet(m.SetVersion) {
		return
	}
	replica := n.store.Shard(m.Shard)
	if m.Epoch != replica.SealedEpoch() {
		if m.Epoch > replica.SealedEpoch() { // this member missed the seal, and the write implies it
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

// patchesApply reports whether the replica has the base version of each patch. A patch to
// a version that the replica already has, or to an older one, is a repetition: it applies
// and changes nothing.
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
		if record, ok := n.store.Shard(m.Shard).Get(id); ok {
			response.Records = append(response.Records, record)
		}
	}
	n.persist(nil, n.sendEffect(from, response))
}

// onPollRequest grants leases, and returns the lease holders, the cluster time and the
// ballot of the configuration, which every daemon needs.
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
		GrantDelayMs:  n.granter.GrantDelayLeftMs(n.now),
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

// lastHolder returns the most recent holder of a role that this member's store has.
// At least one member of any majority has the newest.
func (n *node) lastHolder(name string) (holder wire.RoleHolder) {
	if value := n.store.RegisterValue(lease.RegisterName(name)); value != nil {
		_ = codec.Unmarshal(value, &holder) // an unreadable value means no holder
	}
	return holder
}

// measuredClusterTime returns the cluster time by the clocks that were reported to this
// core member. It returns 0 right after a freeze, until new reports have replaced those
// that were delayed by it.
func (n *node) measuredClusterTime() int64 {
	if n.now-n.wokeMs < 2*lease.ColocatedPollIntervalMs {
		return 0
	}
	return n.granter.ClusterTime(n.now, n.peers.AliveCount())
}

// dropExpired removes finished records whose retention time has passed. It does nothing
// while less than a majority of the core has reported its clock to this daemon, since the
// cluster time might then rest on a single wrong clock.
func (n *node) dropExpired() {
	if n.leases.Clock().Readings() < n.core.Majority() {
		return
	}
	cutoffMs := n.clusterTime() - n.FinishedKeepMs
	for _, name := range n.store.ShardNames() {
		if n.store.Shard(name).Expired(cutoffMs) {
			n.persist([]statestore.Entry{{Kind: statestore.EntryExpire, Name: name, Epoch: uint64(cutoffMs)}})
		}
	}
}

// tickStore removes expired records and takes a snapshot when the log has grown enough.
func (n *node) tickStore() {
	if !n.inCore() || n.clusterTime() == 0 {
		return
	}
	if n.now%10_000 < tickMs {
		n.dropExpired()
	}
	// Each member takes its snapshots at a different length of the log, so that the
	// members don't all write one at the same time.
	if st := n.store; st.LoggedBytes() > n.SnapshotBytes+int64(
		rendezvous.Weight("snapshot", n.Name)%uint64(n.SnapshotBytes),
	) &&
		st.LoggedBytes() > st.Size() {
		st.SnapshotTaken()
		n.emit(effSnapshot{Entries: st.Dump()})
	}
}
