package main

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// store is a core member's part of the state: registers, sealed epochs and
// slice records. Every change goes through log entries, so that a restart
// that applies the entries again gives the same store.
type store struct {
	cluster uint64
	regs    map[string]*register
	slices  map[string]*sliceStore
	set     coreSet         // last chosen core set this disk knows
	formed  coreSet         // the formation this disk voted for
	refused map[uint64]bool // formations it voted against, or that it knows failed
	guardMs int64           // before this time a lease is granted only where the last holder is surely over
	startMs int64           // when this member began to hear clocks
	grants  map[string]*grant
	clocks  map[string]clockSeen // of all daemons that poll here; never stored
	polled  map[string]pollSeen  // the newest poll of each daemon; never stored
	logged  int64                // bytes of entries since the last snapshot, about
}

// clockSeen is a daemon's wall clock minus this member's steady one.
type clockSeen struct{ offset, atMs int64 }

// pollSeen is the newest poll that was heard of a daemon, and of which life.
type pollSeen struct{ inc, seq uint64 }

type register struct {
	promised, accepted ballot
	value              []byte
}

type sliceStore struct {
	sealed uint64
	served uint64 // the last owner known to have all live jobs committed under its epoch: older live records are void
	live   map[string]record
	unsure map[string]bool // finished here, but a majority may not know: a new owner must
	past   *archive
}

func (x *sliceStore) get(id string) (record, bool) {
	if r, ok := x.live[id]; ok {
		return r, true
	}
	return x.past.get(id)
}

func (x *sliceStore) put(r record) {
	if old, had := x.get(r.ID); had && !older(old, r) {
		return
	}
	if r.Live && r.Epoch < x.served {
		return
	}
	delete(x.unsure, r.ID)
	if r.Live {
		x.live[r.ID] = r
		return
	}
	delete(x.live, r.ID)
	x.past.put(r)
	if !r.Settled {
		x.unsure[r.ID] = true
	}
}

// grant is a lease given to one holder; it is never stored, a member that
// starts waits one lease instead.
type grant struct {
	holder    string
	addr      string
	inc       uint64
	epoch     uint64
	untilMs   int64
	successor string
}

const (
	entryForm int8 = iota + 1
	entryPromise
	entryAccept
	entrySeal
	entryRecord
	entrySet
	entryDrop
	entrySettled
	entryChunk  // finished records in frames, as a whole
	entryUnsure // one of them that a majority may not know
	entryServed
	entryAgainst // a vote against a formation, for good
)

func newStore() *store {
	return &store{refused: map[uint64]bool{}, regs: map[string]*register{}, slices: map[string]*sliceStore{}, grants: map[string]*grant{}, clocks: map[string]clockSeen{}, polled: map[string]pollSeen{}}
}

func (s *store) reg(name string) *register {
	r := s.regs[name]
	if r == nil {
		r = &register{}
		s.regs[name] = r
	}
	return r
}

func (s *store) slice(name string) *sliceStore {
	x := s.slices[name]
	if x == nil {
		x = &sliceStore{live: map[string]record{}, unsure: map[string]bool{}, past: newArchive()}
		s.slices[name] = x
	}
	return x
}

var entryHandlers = map[int8]func(*store, logEntry){
	entryForm: func(s *store, e logEntry) {
		var set coreSet
		if unpack(e.Value, &set) == nil {
			s.cluster, s.formed = set.Cluster, set
		}
	},
	entryAgainst: func(s *store, e logEntry) {
		s.refused[e.Epoch] = true
		if s.set.Version == 0 && s.formed.Cluster == e.Epoch {
			s.cluster, s.formed = 0, coreSet{}
		}
	},
	entryPromise: func(s *store, e logEntry) {
		if r := s.reg(e.Name); r.promised.less(e.Ballot) {
			r.promised = e.Ballot
		}
	},
	entryAccept: func(s *store, e logEntry) {
		r := s.reg(e.Name)
		if r.promised.less(e.Ballot) {
			r.promised = e.Ballot
		}
		if !e.Ballot.less(r.accepted) {
			r.accepted, r.value = e.Ballot, e.Value
		}
	},
	entrySeal: func(s *store, e logEntry) {
		x := s.slice(e.Name)
		x.sealed = max(x.sealed, e.Epoch)
	},
	entryRecord: func(s *store, e logEntry) { s.slice(e.Name).put(e.Rec) },
	entrySet: func(s *store, e logEntry) {
		var set coreSet
		if unpack(e.Value, &set) == nil && set.Version >= s.set.Version {
			s.set, s.cluster = set, set.Cluster
		}
	},
	entryDrop: func(s *store, e logEntry) {
		x := s.slice(e.Name)
		x.past.drop(int64(e.Epoch))
		for id := range x.unsure {
			if _, ok := x.past.get(id); !ok {
				delete(x.unsure, id)
			}
		}
	},
	entrySettled: func(s *store, e logEntry) {
		delete(s.slice(e.Name).unsure, e.Rec.ID)
	},
	entryChunk: func(s *store, e logEntry) {
		x := s.slice(e.Name)
		eachFrame(e.Value, func(_ int, r record) {
			r.Settled = true
			x.put(r)
		})
	},
	entryServed: func(s *store, e logEntry) {
		x := s.slice(e.Name)
		x.served = max(x.served, e.Epoch)
		for id, r := range x.live {
			if r.Epoch < x.served {
				delete(x.live, id)
			}
		}
	},
	entryUnsure: func(s *store, e logEntry) {
		x := s.slice(e.Name)
		if r, ok := x.past.get(e.Rec.ID); ok && x.live[r.ID].ID == "" {
			x.unsure[r.ID] = true
		}
	},
}

// older tells whether a record's (epoch, version) stands below another's.
func older(a, b record) bool {
	return a.Epoch < b.Epoch || a.Epoch == b.Epoch && a.Version < b.Version
}

func (s *store) apply(e logEntry) {
	if h, ok := entryHandlers[e.Kind]; ok {
		h(s, e)
		s.logged += int64(entryBytes + len(e.Value) + len(e.Rec.Value))
	}
}

// bytes is about what the whole store takes on disk.
func (s *store) bytes() int64 {
	sum := int64(0)
	for _, x := range s.slices {
		sum += x.past.bytes
		for _, r := range x.live {
			sum += int64(entryBytes + len(r.Value))
		}
	}
	return sum
}

// dump gives the entries that build the store again. Finished records go as
// the chunks they lie in, which costs no more than naming them.
func (s *store) dump() []logEntry {
	var out []logEntry
	for c := (copyCursor{}); ; {
		part, next := s.part(c, 1<<62)
		out = append(out, part...)
		if next.Slice == "" {
			return out
		}
		c = next
	}
}

// copyCursor is a place in a store's dump: nothing yet, a slice's live records
// (Chunk 0), or its finished ones from a chunk on.
type copyCursor struct {
	Slice string
	Chunk uint64
}

// part gives some entries of the dump, and where to go on; an empty cursor at
// the end. Live records go before finished ones: what finishes in between is met again.
func (s *store) part(c copyCursor, most int) (out []logEntry, next copyCursor) {
	after := func(name string) copyCursor {
		for _, n := range sorted(s.slices) {
			if n > name {
				return copyCursor{Slice: n}
			}
		}
		return copyCursor{}
	}
	if c.Slice == "" {
		if s.cluster != 0 {
			formed := s.formed
			formed.Cluster = s.cluster
			out = append(out, logEntry{Kind: entryForm, Value: pack(nil, formed)})
		}
		if s.set.Version != 0 {
			out = append(out, logEntry{Kind: entrySet, Value: pack(nil, s.set)})
		}
		for _, name := range sorted(s.regs) {
			r := s.regs[name]
			if r.accepted != (ballot{}) {
				out = append(out, logEntry{Kind: entryAccept, Name: name, Ballot: r.accepted, Value: r.value})
			}
			out = append(out, logEntry{Kind: entryPromise, Name: name, Ballot: r.promised})
		}
		return out, after("")
	}
	x := s.slice(c.Slice)
	if c.Chunk == 0 {
		out = append(out, logEntry{Kind: entrySeal, Name: c.Slice, Epoch: x.sealed}, logEntry{Kind: entryServed, Name: c.Slice, Epoch: x.served})
		for _, id := range sorted(x.live) {
			out = append(out, logEntry{Kind: entryRecord, Name: c.Slice, Rec: x.live[id]})
		}
		return out, copyCursor{c.Slice, x.past.first}
	}
	chunks, from := x.past.since(c.Chunk, most)
	for _, ch := range chunks {
		out = append(out, logEntry{Kind: entryChunk, Name: c.Slice, Value: ch.frames})
	}
	if from != 0 {
		return out, copyCursor{c.Slice, from}
	}
	for _, id := range sorted(x.unsure) {
		out = append(out, logEntry{Kind: entryUnsure, Name: c.Slice, Rec: record{ID: id}})
	}
	return out, after(c.Slice)
}

func (s *store) learnSet(n *node, c coreSet) {
	if c.Version > s.set.Version {
		n.keep([]logEntry{{Kind: entrySet, Value: pack(nil, c)}})
	}
}

// keep applies entries and syncs them, then lets the effects go.
func (n *node) keep(entries []logEntry, then ...effect) {
	for _, e := range entries {
		n.store.apply(e)
	}
	n.emit(effAppend{Entries: entries, Then: then})
}

// serves tells whether this member may answer an ask made under a core set.
func (n *node) serves(coreVer int64) bool {
	return n.inCore() && coreVer == n.core.Version
}

func (n *node) onPrepare(from string, m *prepareMsg) {
	if !n.serves(m.CoreVer) {
		return
	}
	r := n.store.reg(m.Reg)
	a := &promiseMsg{Op: m.Op, Promised: r.promised, Ballot: m.Ballot}
	if r.promised.less(m.Ballot) {
		a.OK, a.Accepted, a.Value = true, r.accepted, r.value
		n.keep([]logEntry{{Kind: entryPromise, Name: m.Reg, Ballot: m.Ballot}}, n.sendEffect(from, a))
		return
	}
	n.send(from, a)
}

func (n *node) onAccept(from string, m *acceptMsg) {
	if !n.serves(m.CoreVer) {
		return
	}
	r := n.store.reg(m.Reg)
	if m.Ballot.less(r.promised) {
		n.send(from, &acceptedMsg{Op: m.Op, Promised: r.promised, Ballot: m.Ballot})
		return
	}
	n.keep([]logEntry{{Kind: entryAccept, Name: m.Reg, Ballot: m.Ballot, Value: m.Value}},
		n.sendEffect(from, &acceptedMsg{Op: m.Op, OK: true, Ballot: m.Ballot}))
}

func (n *node) onReadReg(from string, m *readRegMsg) {
	if !n.serves(m.CoreVer) {
		return
	}
	r := n.store.reg(m.Reg)
	n.keep(nil, n.sendEffect(from, &regMsg{Reg: m.Reg, Ballot: r.accepted, Value: r.value}))
}

func (n *node) onSeal(from string, m *sealMsg) {
	if !n.serves(m.CoreVer) {
		return
	}
	x := n.store.slice(m.Slice)
	if m.Epoch < x.sealed {
		n.send(from, &sealedMsg{CoreVer: m.CoreVer, Slice: m.Slice, Epoch: m.Epoch})
		return
	}
	a := &sealedMsg{CoreVer: m.CoreVer, Slice: m.Slice, Epoch: m.Epoch, OK: true, Served: x.served}
	for _, id := range sorted(x.live) {
		a.Records = append(a.Records, x.live[id])
	}
	for _, id := range sorted(x.unsure) {
		if r, ok := x.past.get(id); ok {
			a.Records = append(a.Records, r)
		}
	}
	n.keep([]logEntry{{Kind: entrySeal, Name: m.Slice, Epoch: m.Epoch}}, n.sendEffect(from, a))
}

func (n *node) onWrite(from string, m *writeMsg) {
	if !n.serves(m.CoreVer) {
		return
	}
	x := n.store.slice(m.Slice)
	if m.Epoch != x.sealed {
		if m.Epoch > x.sealed { // a member that missed the seal learns it with the write
			n.keep([]logEntry{{Kind: entrySeal, Name: m.Slice, Epoch: m.Epoch}})
		} else {
			n.count("writes_bounced")
			n.send(from, &wroteMsg{CoreVer: m.CoreVer, Slice: m.Slice, Epoch: m.Epoch, Seq: m.Seq})
			return
		}
	}
	entries := make([]logEntry, 0, len(m.Records)+len(m.Settled)+1)
	if m.Whole && x.served < m.Epoch {
		entries = append(entries, logEntry{Kind: entryServed, Name: m.Slice, Epoch: m.Epoch})
	}
	for _, id := range m.Settled {
		entries = append(entries, logEntry{Kind: entrySettled, Name: m.Slice, Rec: record{ID: id}})
	}
	for _, r := range m.Records {
		entries = append(entries, logEntry{Kind: entryRecord, Name: m.Slice, Rec: r})
	}
	n.keep(entries, n.sendEffect(from, &wroteMsg{CoreVer: m.CoreVer, Slice: m.Slice, Epoch: m.Epoch, Seq: m.Seq, OK: true}))
}

func (n *node) onFetch(from string, m *fetchMsg) {
	if !n.serves(m.CoreVer) {
		return
	}
	a := &fetchedMsg{Op: m.Op}
	for _, id := range m.IDs {
		if r, ok := n.store.slice(m.Slice).get(id); ok {
			a.Records = append(a.Records, r)
		}
	}
	n.keep(nil, n.sendEffect(from, a))
}

// onPoll grants leases and tells what every daemon must know.
func (n *node) onPoll(from string, m *pollMsg) {
	if !n.serves(m.CoreVer) {
		return
	}
	st, inc := n.store, m.Inc
	if p := st.polled[from]; p.inc == inc && m.Seq < p.seq {
		n.count("polls_overtaken") // what it holds or releases may have changed since
		return
	}
	st.polled[from] = pollSeen{inc, m.Seq}
	// What a message took on its way, or waited here, makes a clock seem late,
	// never early: the latest reading of the last seconds is the truest.
	if c, known := st.clocks[from]; !known || m.WallMs-n.now >= c.offset || n.now-c.atMs > clockOldMs {
		st.clocks[from] = clockSeen{m.WallMs - n.now, n.now}
	}
	a := &pollAck{Seq: m.Seq, CoreVer: n.core.Version, GuardMs: max(0, st.guardMs-n.now), FleetMs: n.fleetWall(), DiskSlow: n.syncMs}
	for _, r := range m.Releases {
		if g := st.grants[r.Name]; g != nil && g.holder == from && g.inc == inc {
			*g = grant{holder: "", untilMs: n.now + leaseMs, epoch: g.epoch, successor: r.Successor}
		}
	}
	addr := n.addrOf(from)
	for _, d := range m.Holds {
		g := st.grants[d.Name]
		free := g == nil || g.untilMs <= n.now || g.holder == from && g.inc == inc ||
			g.holder == "" && (g.successor == from || g.successor == "") || n.over(g.holder, g.inc, g.addr)
		last := st.lastHolder(d.Name)
		ok := free && (n.now >= st.guardMs || last.Holder == "" || n.over(last.Holder, last.Inc, last.Addr))
		if d.Epoch != 0 && d.Epoch < last.Epoch { // it lost the duty and doesn't know
			ok = false
		}
		if ok {
			st.grants[d.Name] = &grant{holder: from, inc: inc, addr: addr, epoch: d.Epoch, untilMs: n.now + leaseMs}
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
		a.Duties = append(a.Duties, dutyView{Name: name, Holder: g.holder, Inc: g.inc, Epoch: g.epoch, Successor: g.successor})
	}
	r := st.reg("setup")
	a.Setup = r.accepted
	n.keep(nil, n.sendEffect(from, a))
}

// lastHolder is who took a duty last, as far as this disk knows. Of any majority
// one member at least knows the newest.
func (s *store) lastHolder(name string) (v dutyView) {
	if r := s.regs["duty/"+name]; r != nil {
		_ = unpack(r.value, &v)
	}
	return v
}

// over tells whether a life of a daemon surely has ended: a later one is heard
// from at the same address, where only one process at a time can listen.
func (n *node) over(name string, inc uint64, addr string) bool {
	if name == n.Name {
		return inc < n.Inc && addr == n.Addr
	}
	s := n.siblings[name]
	return s != nil && s.Inc > inc && s.Addr == addr && addr != ""
}

func (n *node) addrOf(name string) string {
	if name == n.Name {
		return n.Addr
	}
	if s := n.siblings[name]; s != nil {
		return s.Addr
	}
	return ""
}

// fleetWall is the median of the wall clocks that this core member hears, its
// own among them: a minority of wrong ones, core or not, has no say. Right after
// a start it waits as long as leases do, so that it hears the others first; and
// after a freeze until what waited here for long is replaced.
func (n *node) fleetWall() int64 {
	if n.now-n.store.startMs < clockWaitMs || n.now-n.wokeMs < 2*pollAsideMs {
		return 0
	}
	var all []int64
	for name, c := range n.store.clocks {
		if n.now-c.atMs > 2*clockOldMs {
			delete(n.store.clocks, name)
			continue
		}
		all = append(all, c.offset)
	}
	if 2*len(all) <= len(n.liveNames()) {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2] + n.now
}

func (n *node) tickStore() {
	if !n.inCore() || n.poll.medianWall(n) == 0 {
		return
	}
	if n.now%10_000 < tickMs { // finished records past their keeping go
		cutMs := n.poll.medianWall(n) - n.KeepMs
		for _, name := range sorted(n.store.slices) {
			if n.store.slices[name].past.stale(cutMs) {
				n.keep([]logEntry{{Kind: entryDrop, Name: name, Epoch: uint64(cutMs)}})
			}
		}
	}
	// Members take their snapshots at different lengths of the log, so that
	// they don't all write one at the same time.
	if st := n.store; st.logged > n.SnapshotBytes+int64(weight("snapshot", n.Name)%uint64(n.SnapshotBytes)) && st.logged > st.bytes() {
		st.logged = 0
		n.emit(effSnapshot{Entries: st.dump()})
	}
}

// A core begins as a formation: a cluster number and its first members. Each
// of the named members votes on it once, for or against, and its disk keeps
// that. A formation stands exactly if all its members voted for it, and has
// failed exactly if one voted against; so any member can bring it to its end
// when the one that proposed it is gone, and all come to the same. A disk votes
// for a formation only while it has no vote for another that may still stand:
// of two formations that share a member at most one ever does. Members are the
// lowest names of each site, so two proposers that see the fleet differently
// still share some, unless neither hears of any the other takes.
type formation struct {
	set    coreSet
	votes  map[string]bool // members that voted for it
	sinceM int64           // since when this disk is bound by its vote
	sentMs int64
}

// coreGoal is how many disks are to hold the state: an odd number, since an
// even one bears no more losses than the odd one below it.
func (n *node) coreGoal() int {
	if n.CoreSize > 0 {
		return n.CoreSize - 1 + n.CoreSize%2
	}
	return coreSize
}

// spread picks so many disks, spread over the sites as evenly as possible: in
// turns through the sites in the order of their names, each turn the lowest
// name that is left. No site gets more than its even share while another has
// disks to give, so a site's loss leaves a majority wherever that is possible.
func spread(disks []sibling, most int) []coreMember {
	bySite := map[string][]coreMember{}
	for _, d := range disks {
		bySite[d.Site] = append(bySite[d.Site], coreMember{d.Name, d.DiskID})
	}
	var out []coreMember
	for len(out) < most {
		before := len(out)
		for _, site := range sorted(bySite) {
			if list := bySite[site]; len(list) > 0 && len(out) < most {
				out, bySite[site] = append(out, list[0]), list[1:]
			}
		}
		if len(out) == before {
			break
		}
	}
	slices.SortFunc(out, func(a, b coreMember) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (n *node) tickFormation() {
	if n.store == nil || n.diskFailed != "" || n.core.Cluster != 0 {
		n.forming = nil
		return
	}
	if n.store.set.Version != 0 { // a restart: the disk knows the set
		n.core = n.store.set
		n.store.guardMs, n.store.startMs = n.now+leaseMs, n.now
		n.log("core_set", "version", n.core.Version, "members", memberNames(n.core))
		return
	}
	if len(n.store.formed.Members) > 0 {
		n.driveFormation()
		return
	}
	n.forming = nil
	var disks []sibling
	key := ""
	for _, name := range n.liveNames() {
		s := n.self()
		if name != n.Name {
			s = n.siblings[name].sibling
		}
		if s.Disk && s.Empty { // and at its first start, see self
			disks = append(disks, s)
			key += s.Name + " "
		}
	}
	if key != n.formKey {
		n.formKey, n.formSince = key, n.now
	}
	if len(disks) < n.coreGoal() || n.now-n.formSince < formStableMs {
		return
	}
	set := coreSet{Cluster: n.rand().Uint64() | 1, Version: 1, Members: spread(disks, n.coreGoal())}
	for _, d := range disks {
		if !slices.Contains(set.Slices, d.Site) {
			set.Slices = append(set.Slices, d.Site)
		}
	}
	slices.Sort(set.Slices)
	if set.Members[0].Name == n.Name { // one proposes: the lowest name among the members
		n.voteFor(set)
	}
}

// voteFor binds this disk to a formation; its own word comes back once that is synced.
func (n *node) voteFor(set coreSet, then ...effect) {
	n.forming = &formation{set: set, votes: map[string]bool{}, sinceM: n.now}
	if first := set.Members[0].Name; first != n.Name {
		n.forming.votes[first] = true // who proposed it had synced its vote before it asked
	}
	n.keep([]logEntry{{Kind: entryForm, Value: pack(nil, set)}}, append(then, n.sendEffect(n.Name, &formedMsg{Cluster: set.Cluster, OK: true}))...)
}

// driveFormation asks for the members' votes: the first member at once, each
// later one only if it hasn't heard of an end for longer.
func (n *node) driveFormation() {
	if n.forming == nil { // a restart with a vote on disk
		n.forming = &formation{set: n.store.formed, votes: map[string]bool{n.Name: true, n.store.formed.Members[0].Name: true}, sinceM: n.now}
	}
	f := n.forming
	turn := int64(slices.Index(f.set.Members, coreMember{n.Name, n.DiskID}))
	if !f.votes[n.Name] || n.now-f.sinceM < turn*formTurnMs || n.now-f.sentMs < formAgainMs && f.sentMs != 0 {
		return
	}
	f.sentMs = n.now
	for _, m := range f.set.Members {
		if m.Name != n.Name && !f.votes[m.Name] {
			n.send(m.Name, &formMsg{Set: f.set})
		}
	}
}

// onForm votes. Members of a formation that failed are told so and go free.
func (n *node) onForm(from string, m *formMsg) {
	if n.store == nil || n.diskFailed != "" || !m.Set.has(n.Name, n.DiskID) {
		return
	}
	id := m.Set.Cluster
	against := func() {
		n.forming = nil
		n.keep([]logEntry{{Kind: entryAgainst, Epoch: id}}, n.sendEffect(from, &formedMsg{Cluster: id}))
	}
	switch {
	case n.core.Cluster == id || n.store.set.Cluster == id && n.store.set.Version != 0:
		n.send(from, n.gossip(false)) // it stands
	case m.Dead:
		if n.store.formed.Cluster == id {
			n.forming = nil
		}
		n.keep([]logEntry{{Kind: entryAgainst, Epoch: id}})
	case n.store.refused[id]:
		n.keep(nil, n.sendEffect(from, &formedMsg{Cluster: id}))
	case n.store.formed.Cluster == id:
		n.keep(nil, n.sendEffect(from, &formedMsg{Cluster: id, OK: true}))
	case n.store.cluster != 0 || n.core.Cluster != 0: // bound to another
		n.keep([]logEntry{{Kind: entryAgainst, Epoch: id}}, n.sendEffect(from, &formedMsg{Cluster: id}))
	case !n.FirstStart:
		against()
	default:
		n.voteFor(m.Set, n.sendEffect(from, &formedMsg{Cluster: id, OK: true}))
	}
}

func (n *node) onFormed(from string, m *formedMsg) {
	f := n.forming
	if f == nil || m.Cluster != f.set.Cluster || n.core.Cluster != 0 {
		return
	}
	if !m.OK { // it never stands: all may vote anew
		n.log("formation_failed", "cluster", f.set.Cluster, "against", from)
		n.forming = nil
		n.formSince = n.now + n.rand().Int64N(formTurnMs)
		then := make([]effect, 0, len(f.set.Members))
		for _, mem := range f.set.Members {
			if mem.Name != n.Name && mem.Name != from {
				then = append(then, n.sendEffect(mem.Name, &formMsg{Set: f.set, Dead: true}))
			}
		}
		n.keep([]logEntry{{Kind: entryAgainst, Epoch: f.set.Cluster}}, then...)
		return
	}
	f.votes[from] = true
	if len(f.votes) < len(f.set.Members) {
		return
	}
	set := f.set
	n.forming = nil
	n.keep([]logEntry{{Kind: entrySet, Value: pack(nil, set)}})
	n.core = set
	n.log("cluster_formed", "cluster", set.Cluster, "members", memberNames(set), "slices", set.Slices)
	n.tellCore()
}

// joining is a spare disk's way into the core: the missing member leaves the
// set, all is copied from a majority of those left, then the set takes the new
// one in. A set is full or lacks one member, never more.
//
// Why a majority of those left is enough. The full set has k=2f+1 members. What
// was acknowledged under it is held by f+1 of them, so by f of the 2f left,
// whoever left; a majority of those is f+1, and f+(f+1) is above 2f: the copy
// meets every such write. With the copy it is at f+1 of 2f+1 again. What is
// acknowledged while the set lacks one is held by f+1 of the 2f, which with or
// without the copy is a majority of the full set after it. So all that was
// acknowledged is at a majority before the next member may leave. For k=3 both
// that are left are copied. This holds as long as the acknowledgements that
// make a majority come from members under one set: see coreMoved.
type joining struct {
	ver    int64                 // of the core set that is copied: another set's copies say nothing
	goneMs int64                 // since when a member is missing
	at     map[string]copyCursor // member -> the part of its copy that is awaited
	done   map[string]bool       // members whose copy is whole and synced
	op     uint64
	sentMs int64
	casAt  int64
}

func (n *node) tickJoining() {
	if n.store == nil || n.diskFailed != "" || n.core.Cluster == 0 || n.inCore() {
		n.joining = nil
		return
	}
	if n.store.set.has(n.Name, n.DiskID) {
		// This disk once was a member and was replaced: what it holds is old,
		// and an old acceptance must not stand beside newer ones. It starts
		// over as a new disk.
		n.DiskID, n.store, n.joining = n.rand().Uint64()|1, newStore(), nil
		n.emit(effWipe{DiskID: n.DiskID})
		n.log("disk_restarted", "disk", n.DiskID)
		return
	}
	missing, wiped := -1, false
	for i, m := range n.core.Members {
		s := n.siblings[m.Name]
		if m.Name == n.Name || s != nil && s.DiskID != m.DiskID && n.live(m.Name) {
			missing, wiped = i, true
		} else if (!n.live(m.Name) || n.quietMember(m.Name)) && missing < 0 {
			missing = i
		}
	}
	full := len(n.core.Members) >= n.coreGoal()
	if missing < 0 && full {
		n.joining = nil
		return
	}
	if n.joining == nil || n.joining.ver != n.core.Version {
		n.joining = &joining{ver: n.core.Version, goneMs: n.now, at: map[string]copyCursor{}, done: map[string]bool{}}
	}
	j := n.joining
	if full {
		wait := int64(replaceMs)
		if wiped {
			wait = 2 * gossipMs
		} else if n.quietMember(n.core.Members[missing].Name) {
			wait = 0 // this machine was brought in its place
		}
		if n.now-j.goneMs < wait+n.spareRank(n.core.Members[missing].Name)*spareStepMs || n.now < j.casAt {
			return
		}
		next := n.core
		next.Members = slices.Delete(slices.Clone(next.Members), missing, missing+1)
		next.Version++
		j.casAt = n.now + casMs
		n.startCas("core", "core", pack(nil, next), n.core.Version)
		return
	}
	if n.now-j.goneMs < n.spareRank("")*spareStepMs {
		return
	}
	if len(j.done) < n.core.majority() {
		if j.op == 0 {
			n.opSeq++
			j.op = n.opSeq
		}
		if n.now-j.sentMs > copyAgainMs {
			j.sentMs = n.now
			for _, m := range n.core.Members {
				if !j.done[m.Name] {
					n.send(m.Name, &copyMsg{CoreVer: n.core.Version, Op: j.op, At: j.at[m.Name]})
				}
			}
		}
		return
	}
	if n.now < j.casAt {
		return
	}
	next := n.core
	next.Members = append(slices.Clone(next.Members), coreMember{n.Name, n.DiskID})
	next.Version++
	j.casAt = n.now + casMs
	n.startCas("core", "core", pack(nil, next), n.core.Version)
}

// quietMember tells whether a member answers none of this daemon's polls while a
// majority does, and this disk is empty though the fleet is not new: then it was
// most likely brought in that member's place, and need not wait as long as a
// disk that stood by before. If the member is back after all it becomes a spare.
func (n *node) quietMember(name string) bool {
	return !n.FirstStart && n.store.set.Version == 0 && n.poll.firstMs != 0 && n.now-n.poll.okMs < 2*pollAsideMs &&
		n.now-max(n.poll.heardMs[name], n.poll.firstMs) > quietMs
}

// spareRank orders the live disks outside the core: the first goes at once, the
// others only if it doesn't. One that comes back under the missing member's
// name is first, then those in the sites with the fewest members.
func (n *node) spareRank(missing string) int64 {
	members := map[string]int{}
	for _, m := range n.core.Members {
		if m.Name != missing {
			members[n.siteOf(m.Name)]++
		}
	}
	var spares []sibling
	for _, name := range n.liveNames() {
		s := n.self()
		if name != n.Name {
			s = n.siblings[name].sibling
		}
		if s.Disk && !s.Leaving && !n.core.has(s.Name, s.DiskID) {
			spares = append(spares, s)
		}
	}
	key := "core" + strconv.FormatInt(n.core.Version, 10)
	slices.SortFunc(spares, func(a, b sibling) int {
		return cmp.Or(boolRank(a.Name != missing, b.Name != missing), cmp.Compare(members[a.Site], members[b.Site]),
			cmp.Compare(weight(key, b.Name), weight(key, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return int64(max(0, slices.IndexFunc(spares, func(s sibling) bool { return s.Name == n.Name })))
}

func boolRank(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

func (n *node) onCopy(from string, m *copyMsg) {
	if n.serves(m.CoreVer) {
		part, next := n.store.part(m.At, chunkBytes)
		n.keep(nil, n.sendEffect(from, &copiedMsg{Op: m.Op, At: m.At, Next: next, Entries: part}))
	}
}

// onCopied keeps one part of a survivor's copy, and asks for the next once it is
// synced. The highest of both survivors wins entry by entry.
func (n *node) onCopied(from string, m *copiedMsg) {
	j := n.joining
	if j == nil || j.op != m.Op {
		return
	}
	if from == n.Name { // our own word that a member's last part is synced
		j.done[m.Whole] = true
		n.log("core_copied", "from", m.Whole)
		return
	}
	if j.at[from] != m.At || j.done[from] {
		return
	}
	j.at[from], j.sentMs = m.Next, n.now
	if m.Next.Slice != "" {
		n.keep(m.Entries, n.sendEffect(from, &copyMsg{CoreVer: n.core.Version, Op: j.op, At: m.Next}))
		return
	}
	n.keep(m.Entries, n.sendEffect(n.Name, &copiedMsg{Op: m.Op, Whole: from}))
}
