package main

import (
	"slices"
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
// (Chunk 0), or its finished ones from a chunk on. Chunks are numbered anew in
// each life of a daemon, so a cursor says nothing in another than its own.
type copyCursor struct {
	Slice string
	Chunk uint64
	Life  uint64
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
		return out, copyCursor{Slice: c.Slice, Chunk: x.past.first}
	}
	chunks, from := x.past.since(c.Chunk, most)
	for _, ch := range chunks {
		out = append(out, logEntry{Kind: entryChunk, Name: c.Slice, Value: ch.frames})
	}
	if from != 0 {
		return out, copyCursor{Slice: c.Slice, Chunk: from}
	}
	for _, id := range sorted(x.unsure) {
		out = append(out, logEntry{Kind: entryUnsure, Name: c.Slice, Rec: record{ID: id}})
	}
	return out, after(c.Slice)
}

// learnSet keeps a newer set on this disk, but not one that lacks it: a former
// member must know after a restart, too, that it was one.
func (s *store) learnSet(n *node, c coreSet) {
	if c.Version > s.set.Version && (c.has(n.Name, n.DiskID) || !s.set.has(n.Name, n.DiskID)) {
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
	value := r.value
	if m.Reg == "setup" {
		value = n.setup.forReaders.of(r)
	}
	n.keep(nil, n.sendEffect(from, &regMsg{Reg: m.Reg, Ballot: r.accepted, Value: value}))
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

// dropKept lets go of finished records past their keeping. Where less than a
// majority of the core has told its time here, one wrong clock might be all there is.
func (n *node) dropKept() {
	if len(n.poll.clocks) < n.core.majority() {
		return
	}
	cutMs := n.poll.medianWall(n) - n.KeepMs
	for _, name := range sorted(n.store.slices) {
		if n.store.slices[name].past.stale(cutMs) {
			n.keep([]logEntry{{Kind: entryDrop, Name: name, Epoch: uint64(cutMs)}})
		}
	}
}

func (n *node) tickStore() {
	if !n.inCore() || n.poll.medianWall(n) == 0 {
		return
	}
	if n.now%10_000 < tickMs {
		n.dropKept()
	}
	// Members take their snapshots at different lengths of the log, so that
	// they don't all write one at the same time.
	if st := n.store; st.logged > n.SnapshotBytes+int64(weight("snapshot", n.Name)%uint64(n.SnapshotBytes)) && st.logged > st.bytes() {
		st.logged = 0
		n.emit(effSnapshot{Entries: st.dump()})
	}
}
