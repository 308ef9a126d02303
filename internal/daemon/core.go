package daemon

import (
	"otterchute/internal/codec"
	"otterchute/internal/quorum"
	"otterchute/internal/rendezvous"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
	"slices"
)

// clockReading is a daemon's wall clock minus this member's steady one.
type clockReading struct{ offset, atMs int64 }

// pollMark is the newest poll that was heard of a daemon, and of which life.
type pollMark struct{ incarnation, seq uint64 }

// leaseGrant is a lease given to one holder; it is never stored, a member that
// starts waits one lease instead.
type leaseGrant struct {
	holder      string
	addr        string
	incarnation uint64
	epoch       uint64
	untilMs     int64
	successor   string
}

// leaseGranter is what a core member knows of the leases it gave out and of the
// clocks it hears. Nothing of it is stored: a member that starts waits one lease.
type leaseGranter struct {
	guardMs   int64 // before this time a lease is granted only where the last holder is surely over
	startMs   int64 // when this member began to hear clocks
	grants    map[string]*leaseGrant
	clocks    map[string]clockReading // of all daemons that poll here
	lastPolls map[string]pollMark     // the newest poll of each daemon
}

func newLeaseGranter() *leaseGranter {
	return &leaseGranter{grants: map[string]*leaseGrant{}, clocks: map[string]clockReading{}, lastPolls: map[string]pollMark{}}
}

// persistSet keeps a newer set on this disk, but not one that lacks it: a former
// member must know after a restart, too, that it was one.
func (n *node) persistSet(c quorum.Set) {
	if s := n.store.Set(); c.Version > s.Version && (c.Has(n.Name, n.DiskID) || !s.Has(n.Name, n.DiskID)) {
		n.persist([]statestore.Entry{{Kind: statestore.EntrySet, Value: codec.Append(nil, c)}})
	}
}

// persist applies entries and syncs them, then lets the effects go.
func (n *node) persist(entries []statestore.Entry, then ...effect) {
	for _, e := range entries {
		n.store.Apply(e)
	}
	n.emit(effAppend{Entries: entries, Then: then})
}

// servesSet tells whether this member may answer an ask made under a core set.
func (n *node) servesSet(coreVer int64) bool {
	return n.inCore() && coreVer == n.core.Version
}

func (n *node) onRegisterRead(from string, m *wire.RegisterRead) {
	if !n.servesSet(m.SetVersion) {
		return
	}
	r := n.store.Register(m.Register)
	value, whole := r.Value, true
	if m.Register == "setup" && !n.core.HasName(from) {
		value, whole = n.config.readerCopy.Of(r), false
	}
	n.persist(nil, n.sendEffect(from, &wire.RegisterValue{Register: m.Register, Ballot: r.Accepted, Value: value, Complete: whole}))
}

func (n *node) onSeal(from string, m *wire.SealRequest) {
	if !n.servesSet(m.SetVersion) {
		return
	}
	x := n.store.Shard(m.Shard)
	if m.Epoch < x.Sealed() {
		n.send(from, &wire.SealResponse{SetVersion: m.SetVersion, Shard: m.Shard, Epoch: m.Epoch})
		return
	}
	a := &wire.SealResponse{SetVersion: m.SetVersion, Shard: m.Shard, Epoch: m.Epoch, OK: true, Served: x.Served()}
	a.Records = append(a.Records, x.Live()...)
	a.Records = append(a.Records, x.Unconfirmed()...)
	n.persist([]statestore.Entry{{Kind: statestore.EntrySeal, Name: m.Shard, Epoch: m.Epoch}}, n.sendEffect(from, a))
}

func (n *node) onWrite(from string, m *wire.WriteRequest) {
	if !n.servesSet(m.SetVersion) {
		return
	}
	x := n.store.Shard(m.Shard)
	if m.Epoch != x.Sealed() {
		if m.Epoch > x.Sealed() { // a member that missed the seal learns it with the write
			n.persist([]statestore.Entry{{Kind: statestore.EntrySeal, Name: m.Shard, Epoch: m.Epoch}})
		} else {
			n.count("writes_bounced")
			n.send(from, &wire.WriteResponse{SetVersion: m.SetVersion, Shard: m.Shard, Epoch: m.Epoch, Seq: m.Seq})
			return
		}
	}
	entries := make([]statestore.Entry, 0, len(m.Records)+len(m.Confirmed)+1)
	if m.Complete && x.Served() < m.Epoch {
		entries = append(entries, statestore.Entry{Kind: statestore.EntryServed, Name: m.Shard, Epoch: m.Epoch})
	}
	for _, id := range m.Confirmed {
		entries = append(entries, statestore.Entry{Kind: statestore.EntryConfirmed, Name: m.Shard, Record: statestore.Record{ID: id}})
	}
	for _, r := range m.Records {
		entries = append(entries, statestore.Entry{Kind: statestore.EntryRecord, Name: m.Shard, Record: r})
	}
	n.persist(entries, n.sendEffect(from, &wire.WriteResponse{SetVersion: m.SetVersion, Shard: m.Shard, Epoch: m.Epoch, Seq: m.Seq, OK: true}))
}

func (n *node) onFetch(from string, m *wire.FetchRequest) {
	if !n.servesSet(m.SetVersion) {
		return
	}
	a := &wire.FetchResponse{Op: m.Op}
	for _, id := range m.IDs {
		if r, ok := n.store.Shard(m.Shard).Get(id); ok {
			a.Records = append(a.Records, r)
		}
	}
	n.persist(nil, n.sendEffect(from, a))
}

// onPoll grants leases and tells what every daemon must know.
func (n *node) onPoll(from string, m *wire.PollRequest) {
	if !n.servesSet(m.SetVersion) {
		return
	}
	st, inc := n.granter, m.Incarnation
	if p := st.lastPolls[from]; p.incarnation == inc && m.Seq < p.seq {
		n.count("polls_overtaken") // what it holds or releases may have changed since
		return
	}
	st.lastPolls[from] = pollMark{inc, m.Seq}
	// What a message took on its way, or waited here, makes a clock seem late,
	// never early: the latest reading of the last seconds is the truest.
	if c, known := st.clocks[from]; !known || m.WallMs-n.now >= c.offset || n.now-c.atMs > clockOldMs {
		st.clocks[from] = clockReading{m.WallMs - n.now, n.now}
	}
	a := &wire.PollResponse{Seq: m.Seq, SetVersion: n.core.Version, GuardMs: max(0, st.guardMs-n.now), FleetMs: n.fleetTimeHeard(), SyncMs: n.syncMs}
	for _, r := range m.Releases {
		if g := st.grants[r.Name]; g != nil && g.holder == from && g.incarnation == inc {
			*g = leaseGrant{holder: "", untilMs: n.now + leaseMs, epoch: g.epoch, successor: r.Successor}
		}
	}
	addr := n.addrOf(from)
	for _, d := range m.Wanted {
		g := st.grants[d.Name]
		free := g == nil || g.untilMs <= n.now || g.holder == from && g.incarnation == inc ||
			g.holder == "" && (g.successor == from || g.successor == "") || n.incarnationEnded(g.holder, g.incarnation, g.addr)
		last := n.lastHolder(d.Name)
		ok := free && (n.now >= st.guardMs || last.Holder == "" || n.incarnationEnded(last.Holder, last.Incarnation, last.Addr))
		if d.Epoch != 0 && d.Epoch < last.Epoch { // it lost the duty and doesn't know
			ok = false
		}
		if ok {
			st.grants[d.Name] = &leaseGrant{holder: from, incarnation: inc, addr: addr, epoch: d.Epoch, untilMs: n.now + leaseMs}
		}
		a.Granted = append(a.Granted, ok)
		a.Epochs = append(a.Epochs, last.Epoch)
	}
	for _, name := range sorted(st.grants) {
		g := st.grants[name]
		if g.untilMs <= n.now {
			delete(st.grants, name)
			continue
		}
		a.Holders = append(a.Holders, wire.RoleHolder{Name: name, Holder: g.holder, Incarnation: g.incarnation, Epoch: g.epoch, Successor: g.successor})
	}
	r := n.store.Register("setup")
	a.Config = r.Accepted
	n.persist(nil, n.sendEffect(from, a))
}

// lastHolder is who took a duty last, as far as this disk knows. Of any majority
// one member at least knows the newest.
func (n *node) lastHolder(name string) (v wire.RoleHolder) {
	if value := n.store.RegisterValue("duty/" + name); value != nil {
		_ = codec.Unmarshal(value, &v) // a value that can't be read is nobody's
	}
	return v
}

// incarnationEnded tells whether a life of a daemon surely has ended: a later one is heard
// from at the same address, where only one process at a time can listen.
func (n *node) incarnationEnded(name string, inc uint64, addr string) bool {
	if name == n.Name {
		return inc < n.Incarnation && addr == n.Addr
	}
	s := n.peers[name]
	return s != nil && s.Incarnation > inc && s.Addr == addr && addr != ""
}

func (n *node) addrOf(name string) string {
	if name == n.Name {
		return n.Addr
	}
	if s := n.peers[name]; s != nil {
		return s.Addr
	}
	return ""
}

// fleetTimeHeard is the median of the wall clocks that this core member hears, its
// own among them: a minority of wrong ones, core or not, has no say. Right after
// a start it waits as long as leases do, so that it hears the others first; and
// after a freeze until what waited here for long is replaced.
func (n *node) fleetTimeHeard() int64 {
	if n.now-n.granter.startMs < clockWaitMs || n.now-n.wokeMs < 2*pollColocatedMs {
		return 0
	}
	var all []int64
	for name, c := range n.granter.clocks {
		if n.now-c.atMs > 2*clockOldMs {
			delete(n.granter.clocks, name)
			continue
		}
		all = append(all, c.offset)
	}
	if 2*len(all) <= len(n.aliveNames()) {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2] + n.now
}

// dropExpired lets go of finished records past their keeping. Where less than a
// majority of the core has told its time here, one wrong clock might be all there is.
func (n *node) dropExpired() {
	if len(n.poll.clocks) < n.core.Majority() {
		return
	}
	cutMs := n.poll.fleetTime(n) - n.KeepMs
	for _, name := range n.store.ShardNames() {
		if n.store.Shard(name).Expired(cutMs) {
			n.persist([]statestore.Entry{{Kind: statestore.EntryDrop, Name: name, Epoch: uint64(cutMs)}})
		}
	}
}

func (n *node) tickStore() {
	if !n.inCore() || n.poll.fleetTime(n) == 0 {
		return
	}
	if n.now%10_000 < tickMs {
		n.dropExpired()
	}
	// Members take their snapshots at different lengths of the log, so that
	// they don't all write one at the same time.
	if st := n.store; st.LoggedBytes() > n.SnapshotBytes+int64(rendezvous.Weight("snapshot", n.Name)%uint64(n.SnapshotBytes)) && st.LoggedBytes() > st.Size() {
		st.SnapshotTaken()
		n.emit(effSnapshot{Entries: st.Dump()})
	}
}
