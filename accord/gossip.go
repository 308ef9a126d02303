package main

import (
	"hash/fnv"
)

// Tables of daemons are exchanged by difference: a round sends a digest with one
// short entry for each live daemon, and only what the other side lacks follows
// in full. Whole tables are for a daemon that hears nobody yet, and its seeds.

// beatView is a daemon in a digest: a hash of all that is said of it, but for
// its beat, and the beat.
type beatView struct {
	Hash uint64
	Beat int32
}

type digestMsg struct {
	Self    sibling
	CoreVer int64
	Beats   []beatView
}

// digestAck answers a digest with what stands differently here.
type digestAck struct {
	CoreVer int64
	Beats   []beatView // that are higher here
	Table   []sibling  // daemons as they are known here and not there
	Lacks   []uint64   // hashes that nobody here has
}

// detailHash is a hash of all that a daemon says of itself but for its beat.
func (s *sibling) detailHash() uint64 {
	d := *s
	d.Beat = 0
	h := fnv.New64a()
	_, _ = h.Write(pack(nil, d))
	return h.Sum64()
}

// detail finds a daemon by its hash, this one too, whose own hash is given.
func (n *node) detail(hash, own uint64) (name string, known bool) {
	if hash == own {
		return n.Name, true
	}
	name, known = n.byHash[hash]
	if s := n.siblings[name]; !known || s == nil || s.hash != hash {
		return "", false
	}
	return name, true
}

func (n *node) selfHash() uint64 {
	s := n.self()
	return s.detailHash()
}

// index makes a daemon's new entry found by its hash. Old hashes are dropped
// once they are more than the daemons.
func (n *node) index(s *siblingState) {
	s.hash = s.detailHash()
	if n.byHash == nil || len(n.byHash) > 2*len(n.siblings)+fan {
		n.byHash = map[uint64]string{}
		for name, o := range n.siblings {
			n.byHash[o.hash] = name
		}
	}
	n.byHash[s.hash] = s.Name
}

// round is what a daemon tells those it watches.
func (n *node) round() *digestMsg {
	m := &digestMsg{Self: n.self(), CoreVer: n.core.Version}
	for _, name := range sorted(n.siblings) {
		if s := n.siblings[name]; n.live(name) {
			m.Beats = append(m.Beats, beatView{s.hash, int32(s.Beat)})
		}
	}
	return m
}

// hear takes a beat of a daemon that is known by its hash.
func (n *node) hear(b beatView, name string) {
	if name == n.Name {
		if b.Beat > int32(n.beat) { // said by another process with our name
			s := n.self()
			s.Beat = uint64(b.Beat)
			n.learnSibling(s)
		}
		return
	}
	if s := n.siblings[name]; b.Beat > int32(s.Beat) {
		s.Beat, s.heardMs = uint64(b.Beat), n.now
	}
}

func (n *node) onDigest(from string, m *digestMsg) {
	n.learnSibling(m.Self)
	a, own := &digestAck{CoreVer: n.core.Version}, n.selfHash()
	told := map[string]int32{from: int32(m.Self.Beat)}
	for _, b := range m.Beats {
		name, known := n.detail(b.Hash, own)
		if !known {
			a.Lacks = append(a.Lacks, b.Hash)
			continue
		}
		told[name] = b.Beat
		n.hear(b, name)
	}
	for _, name := range sorted(n.siblings) {
		s := n.siblings[name]
		if !n.live(name) {
			continue
		}
		if beat, ok := told[name]; !ok {
			a.Table = append(a.Table, s.sibling)
		} else if int32(s.Beat) > beat {
			a.Beats = append(a.Beats, beatView{s.hash, int32(s.Beat)})
		}
	}
	if _, ok := told[n.Name]; ok {
		a.Beats = append(a.Beats, beatView{own, int32(n.beat)})
	} else {
		a.Table = append(a.Table, n.self())
	}
	n.sendAt(from, m.Self.Addr, a)
	if m.CoreVer < n.core.Version {
		n.sendAt(from, m.Self.Addr, n.coreWord())
	}
}

func (n *node) onDigestAck(from string, m *digestAck) {
	own := n.selfHash()
	for _, s := range m.Table {
		n.learnSibling(s)
	}
	for _, b := range m.Beats {
		if name, known := n.detail(b.Hash, own); known {
			n.hear(b, name)
		} // else it is new here, and comes in full with a digest
	}
	more := &gossipMsg{Self: n.self(), Core: coreSet{}}
	for _, hash := range m.Lacks {
		if name, known := n.detail(hash, own); known && name != n.Name {
			more.Table = append(more.Table, n.siblings[name].sibling)
		}
	}
	if m.CoreVer < n.core.Version {
		more.Core = n.core
	}
	if len(more.Table) > 0 || more.Core.Cluster != 0 {
		n.send(from, more)
	}
}

// coreWord tells the core set alone.
func (n *node) coreWord() *gossipMsg { return &gossipMsg{Self: n.self(), Core: n.core} }
