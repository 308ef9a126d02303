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
	set     coreSet // last chosen core set this disk knows
	guardMs int64   // no lease is granted before this time
	grants  map[string]*grant
	clocks  map[string]clockSeen // of all daemons that poll here; never stored
	logged  int64                // bytes of entries since the last snapshot, about
}

// clockSeen is a daemon's wall clock minus this member's steady one.
type clockSeen struct{ offset, atMs int64 }

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
)

func newStore() *store {
	return &store{regs: map[string]*register{}, slices: map[string]*sliceStore{}, grants: map[string]*grant{}, clocks: map[string]clockSeen{}}
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
			s.cluster = set.Cluster
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
			out = append(out, logEntry{Kind: entryForm, Value: pack(nil, coreSet{Cluster: s.cluster})})
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
	a := &promiseMsg{Op: m.Op, Promised: r.promised}
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
		n.send(from, &acceptedMsg{Op: m.Op, Promised: r.promised})
		return
	}
	n.keep([]logEntry{{Kind: entryAccept, Name: m.Reg, Ballot: m.Ballot, Value: m.Value}},
		n.sendEffect(from, &acceptedMsg{Op: m.Op, OK: true}))
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
		n.send(from, &sealedMsg{Slice: m.Slice, Epoch: m.Epoch})
		return
	}
	a := &sealedMsg{Slice: m.Slice, Epoch: m.Epoch, OK: true, Served: x.served}
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
			n.send(from, &wroteMsg{Slice: m.Slice, Epoch: m.Epoch, Seq: m.Seq})
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
	n.keep(entries, n.sendEffect(from, &wroteMsg{Slice: m.Slice, Epoch: m.Epoch, Seq: m.Seq, OK: true}))
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
	for _, d := range m.Holds {
		g := st.grants[d.Name]
		free := g == nil || g.untilMs <= n.now || g.holder == from && g.inc == inc ||
			g.holder == "" && (g.successor == from || g.successor == "")
		ok := free && n.now >= st.guardMs
		if ok {
			st.grants[d.Name] = &grant{holder: from, inc: inc, epoch: d.Epoch, untilMs: n.now + leaseMs}
		}
		a.Granted = append(a.Granted, ok)
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

// fleetWall is the median of the wall clocks that this core member hears, its
// own among them: a minority of wrong ones, core or not, has no say. Right after
// a start it waits as long as leases do, so that it hears the others first; and
// after a freeze until what waited here for long is replaced.
func (n *node) fleetWall() int64 {
	if n.now < n.store.guardMs || n.now-n.wokeMs < 2*pollMs {
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

// formation is the first agreement of three empty disks on the core set.
type formation struct {
	set   coreSet
	acked map[string]bool
	seen  int64 // since when the same three stood there
}

func (n *node) tickFormation() {
	if n.store == nil || n.diskFailed != "" || n.core.Cluster != 0 {
		return
	}
	if n.store.set.Version != 0 { // a restart: the disk knows the set
		n.core = n.store.set
		n.store.guardMs = n.now + leaseMs
		n.log("core_set", "version", n.core.Version, "members", memberNames(n.core))
		return
	}
	var disks []sibling
	for _, name := range n.liveNames() {
		s := n.self()
		if name != n.Name {
			s = n.siblings[name].sibling
		}
		if s.Disk && (s.Empty || n.forming != nil || n.store.cluster != 0) {
			disks = append(disks, s)
		}
	}
	if len(disks) != coreSize || disks[0].Name != n.Name {
		n.forming = nil
		return
	}
	if n.forming == nil {
		set := coreSet{Cluster: n.seed | 1, Version: 1}
		for _, d := range disks {
			set.Members = append(set.Members, coreMember{d.Name, d.DiskID})
			if !slices.Contains(set.Slices, d.Site) {
				set.Slices = append(set.Slices, d.Site)
			}
		}
		slices.Sort(set.Slices)
		n.forming = &formation{set: set, acked: map[string]bool{}, seen: n.now}
		return
	}
	if n.now-n.forming.seen < 2*gossipMs {
		return
	}
	if n.store.cluster == 0 {
		n.keep([]logEntry{{Kind: entryForm, Value: pack(nil, n.forming.set)}})
	}
	n.forming.set.Cluster = n.store.cluster
	if n.now%500 < tickMs {
		for _, m := range n.forming.set.Members[1:] {
			n.send(m.Name, &formMsg{Set: n.forming.set})
		}
	}
}

func (n *node) onForm(from string, m *formMsg) {
	if n.store == nil || n.core.Cluster != 0 || !m.Set.has(n.Name, n.DiskID) || m.Set.Members[0].Name != from {
		return
	}
	if n.store.cluster != 0 && n.store.cluster != m.Set.Cluster && n.store.set.Version != 0 {
		return
	}
	n.keep([]logEntry{{Kind: entryForm, Value: pack(nil, m.Set)}}, n.sendEffect(from, &formedMsg{Cluster: m.Set.Cluster, OK: true}))
}

func (n *node) onFormed(from string, m *formedMsg) {
	f := n.forming
	if f == nil || m.Cluster != f.set.Cluster || !m.OK {
		return
	}
	f.acked[from] = true
	if len(f.acked) < coreSize-1 {
		return
	}
	set := f.set
	n.forming = nil
	n.keep([]logEntry{{Kind: entrySet, Value: pack(nil, set)}})
	n.core = set
	n.log("cluster_formed", "cluster", set.Cluster, "members", memberNames(set), "slices", set.Slices)
	for _, name := range n.watched() {
		n.send(name, n.gossip(true))
	}
}

// joining is a spare disk's way into the core: the missing member leaves the
// set, all is copied from both survivors, then the set takes the new one in.
type joining struct {
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
		} else if !n.live(m.Name) && missing < 0 {
			missing = i
		}
	}
	if missing < 0 && len(n.core.Members) == coreSize {
		n.joining = nil
		return
	}
	if n.joining == nil {
		n.joining = &joining{goneMs: n.now, at: map[string]copyCursor{}, done: map[string]bool{}}
	}
	j := n.joining
	if len(n.core.Members) == coreSize {
		wait := int64(replaceMs)
		if wiped {
			wait = 2 * gossipMs
		}
		if n.now-j.goneMs < wait || n.now < j.casAt {
			return
		}
		next := n.core
		next.Members = slices.Delete(slices.Clone(next.Members), missing, missing+1)
		next.Version++
		j.casAt = n.now + casMs
		n.startCas("core", "core", pack(nil, next), n.core.Version)
		return
	}
	if len(j.done) < len(n.core.Members) {
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
