package daemon

import (
	"hash/fnv"
	"otterchute/internal/codec"
	"otterchute/internal/quorum"
)

// Tables of daemons are exchanged by difference: a round sends a digest with one
// short entry for each live daemon, and only what the other side lacks follows
// in full. Whole tables are for a daemon that hears nobody yet, and its seeds.

// heartbeatView is a daemon in a digest: a hash of all that is said of it, but for
// its beat, and the beat.
type heartbeatView struct {
	Hash      uint64
	Heartbeat int32
}

type digestMsg struct {
	Self       peerInfo
	CoreVer    int64
	Heartbeats []heartbeatView
}

// digestAck answers a digest with what stands differently here.
type digestAck struct {
	CoreVer    int64
	Heartbeats []heartbeatView // that are higher here
	Table      []peerInfo      // daemons as they are known here and not there
	Lacks      []uint64        // hashes that nobody here has
}

// detailHash is a hash of all that a daemon says of itself but for its beat.
func (s *peerInfo) detailHash() uint64 {
	d := *s
	d.Heartbeat = 0
	h := fnv.New64a()
	_, _ = h.Write(codec.Append(nil, d))
	return h.Sum64()
}

// peerByHash finds a daemon by its hash, this one too, whose own hash is given.
func (n *node) peerByHash(hash, own uint64) (name string, known bool) {
	if hash == own {
		return n.Name, true
	}
	name, known = n.byHash[hash]
	if s := n.peers[name]; !known || s == nil || s.hash != hash {
		return "", false
	}
	return name, true
}

func (n *node) selfHash() uint64 {
	s := n.selfInfo()
	return s.detailHash()
}

// indexPeer makes a daemon's new entry found by its hash. Old hashes are dropped
// once they are more than the daemons.
func (n *node) indexPeer(s *peer) {
	s.hash = s.detailHash()
	if n.byHash == nil || len(n.byHash) > 2*len(n.peers)+gossipFanout {
		n.byHash = map[uint64]string{}
		for name, o := range n.peers {
			n.byHash[o.hash] = name
		}
	}
	n.byHash[s.hash] = s.Name
}

// gossipRound is what a daemon tells those it watches.
func (n *node) gossipRound() *digestMsg {
	m := &digestMsg{Self: n.selfInfo(), CoreVer: n.core.Version}
	for _, name := range sorted(n.peers) {
		if s := n.peers[name]; n.alive(name) {
			m.Heartbeats = append(m.Heartbeats, heartbeatView{s.hash, int32(s.Heartbeat)})
		}
	}
	return m
}

// recordHeartbeat takes a beat of a daemon that is known by its hash.
func (n *node) recordHeartbeat(b heartbeatView, name string) {
	if name == n.Name {
		if b.Heartbeat > int32(n.heartbeat) { // said by another process with our name
			s := n.selfInfo()
			s.Heartbeat = uint64(b.Heartbeat)
			n.mergePeer(s)
		}
		return
	}
	if s := n.peers[name]; b.Heartbeat > int32(s.Heartbeat) {
		s.Heartbeat, s.heardMs = uint64(b.Heartbeat), n.now
	}
}

func (n *node) onDigest(from string, m *digestMsg) {
	n.mergePeer(m.Self)
	a, own := &digestAck{CoreVer: n.core.Version}, n.selfHash()
	told := map[string]int32{from: int32(m.Self.Heartbeat)}
	for _, b := range m.Heartbeats {
		name, known := n.peerByHash(b.Hash, own)
		if !known {
			a.Lacks = append(a.Lacks, b.Hash)
			continue
		}
		told[name] = b.Heartbeat
		n.recordHeartbeat(b, name)
	}
	for _, name := range sorted(n.peers) {
		s := n.peers[name]
		if !n.alive(name) {
			continue
		}
		if beat, ok := told[name]; !ok {
			a.Table = append(a.Table, s.peerInfo)
		} else if int32(s.Heartbeat) > beat {
			a.Heartbeats = append(a.Heartbeats, heartbeatView{s.hash, int32(s.Heartbeat)})
		}
	}
	if _, ok := told[n.Name]; ok {
		a.Heartbeats = append(a.Heartbeats, heartbeatView{own, int32(n.heartbeat)})
	} else {
		a.Table = append(a.Table, n.selfInfo())
	}
	n.sendAt(from, m.Self.Addr, a)
	if m.CoreVer < n.core.Version {
		n.sendAt(from, m.Self.Addr, n.coreSetUpdate())
	}
}

func (n *node) onDigestAck(from string, m *digestAck) {
	own := n.selfHash()
	for _, s := range m.Table {
		n.mergePeer(s)
	}
	for _, b := range m.Heartbeats {
		if name, known := n.peerByHash(b.Hash, own); known {
			n.recordHeartbeat(b, name)
		} // else it is new here, and comes in full with a digest
	}
	more := &gossipMsg{Self: n.selfInfo(), Core: quorum.Set{}}
	for _, hash := range m.Lacks {
		if name, known := n.peerByHash(hash, own); known && name != n.Name {
			more.Table = append(more.Table, n.peers[name].peerInfo)
		}
	}
	if m.CoreVer < n.core.Version {
		more.Core = n.core
	}
	if len(more.Table) > 0 || more.Core.Cluster != 0 {
		n.send(from, more)
	}
}

// coreSetUpdate tells the core set alone.
func (n *node) coreSetUpdate() *gossipMsg { return &gossipMsg{Self: n.selfInfo(), Core: n.core} }
