package daemon

import (
	"otterchute/internal/quorum"
	"otterchute/internal/wire"
)

// Tables of daemons are exchanged by difference: a round sends a digest with one
// short entry for each live daemon, and only what the other side lacks follows
// in full. Whole tables are for a daemon that hears nobody yet, and its seeds.

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
	return s.DetailHash()
}

// indexPeer makes a daemon's new entry found by its hash. Old hashes are dropped
// once they are more than the daemons.
func (n *node) indexPeer(s *peer) {
	s.hash = s.DetailHash()
	if n.byHash == nil || len(n.byHash) > 2*len(n.peers)+gossipFanout {
		n.byHash = map[uint64]string{}
		for name, o := range n.peers {
			n.byHash[o.hash] = name
		}
	}
	n.byHash[s.hash] = s.Name
}

// gossipRound is what a daemon tells those it watches.
func (n *node) gossipRound() *wire.Digest {
	m := &wire.Digest{Self: n.selfInfo(), SetVersion: n.core.Version}
	for _, name := range sorted(n.peers) {
		if s := n.peers[name]; n.alive(name) {
			m.Heartbeats = append(m.Heartbeats, wire.Heartbeat{Hash: s.hash, Heartbeat: int32(s.Heartbeat)})
		}
	}
	return m
}

// recordHeartbeat takes a beat of a daemon that is known by its hash.
func (n *node) recordHeartbeat(b wire.Heartbeat, name string) {
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

func (n *node) onDigest(from string, m *wire.Digest) {
	n.mergePeer(m.Self)
	a, own := &wire.DigestReply{SetVersion: n.core.Version}, n.selfHash()
	told := map[string]int32{from: int32(m.Self.Heartbeat)}
	for _, b := range m.Heartbeats {
		name, known := n.peerByHash(b.Hash, own)
		if !known {
			a.Unknown = append(a.Unknown, b.Hash)
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
			a.Table = append(a.Table, s.Peer)
		} else if int32(s.Heartbeat) > beat {
			a.Heartbeats = append(a.Heartbeats, wire.Heartbeat{Hash: s.hash, Heartbeat: int32(s.Heartbeat)})
		}
	}
	if _, ok := told[n.Name]; ok {
		a.Heartbeats = append(a.Heartbeats, wire.Heartbeat{Hash: own, Heartbeat: int32(n.heartbeat)})
	} else {
		a.Table = append(a.Table, n.selfInfo())
	}
	n.sendAt(from, m.Self.Addr, a)
	if m.SetVersion < n.core.Version {
		n.sendAt(from, m.Self.Addr, n.coreSetUpdate())
	}
}

func (n *node) onDigestAck(from string, m *wire.DigestReply) {
	own := n.selfHash()
	for _, s := range m.Table {
		n.mergePeer(s)
	}
	for _, b := range m.Heartbeats {
		if name, known := n.peerByHash(b.Hash, own); known {
			n.recordHeartbeat(b, name)
		} // else it is new here, and comes in full with a digest
	}
	more := &wire.Gossip{Self: n.selfInfo(), Core: quorum.Set{}}
	for _, hash := range m.Unknown {
		if name, known := n.peerByHash(hash, own); known && name != n.Name {
			more.Table = append(more.Table, n.peers[name].Peer)
		}
	}
	if m.SetVersion < n.core.Version {
		more.Core = n.core
	}
	if len(more.Table) > 0 || more.Core.Cluster != 0 {
		n.send(from, more)
	}
}

// coreSetUpdate tells the core set alone.
func (n *node) coreSetUpdate() *wire.Gossip { return &wire.Gossip{Self: n.selfInfo(), Core: n.core} }
