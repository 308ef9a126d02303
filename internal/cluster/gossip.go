package cluster

import "otterchute/internal/wire"

// Tick sends a round of gossip if one is due, and reports whether it did.
func (d *Directory) Tick() bool {
	now := d.host.NowMs()
	if now < d.nextRoundMs {
		return false
	}
	d.nextRoundMs = now + GossipIntervalMs
	switch {
	case d.host.Forming():
		d.nextRoundMs = now + formingGossipIntervalMs
	case d.host.Self().Colocated && len(d.peers) >= colocatedFanout:
		d.nextRoundMs = now + colocatedGossipIntervalMs
	}
	d.heartbeat++
	d.rounds++
	d.removeExpired()
	round := d.digest()
	for _, name := range d.targets() {
		d.host.Send(name, round)
	}
	d.gossipWithSeeds(round)
	d.gossipWithDead(round)
	return true
}

// gossipWithSeeds occasionally sends a round to a seed, so that daemons find each other even if the
// seeds through which they joined were all replaced. A daemon without live peers sends to all
// seeds.
func (d *Directory) gossipWithSeeds(round *wire.Digest) {
	own := d.host.Self().Addr
	if len(d.AliveNames()) == 1 {
		for _, addr := range d.seeds {
			if addr != own {
				d.host.SendAt("", addr, d.Table(true))
			}
		}
		return
	}
	rand := d.host.Rand()
	if len(d.seeds) == 0 || len(d.peers) >= Fanout && rand.IntN(roundsPerSeed) != 0 {
		return
	}
	if addr := d.seeds[rand.IntN(len(d.seeds))]; addr != own {
		d.host.SendAt("", addr, round)
	}
}

// gossipWithDead occasionally sends a round to a dead peer, so that a zone finds the rest after a
// long partition.
func (d *Directory) gossipWithDead(round *wire.Digest) {
	var dead []string
	for _, name := range d.Names() {
		if !d.Alive(name) && !d.peers[name].Colocated { // a colocated daemon finds the others itself
			dead = append(dead, name)
		}
	}
	rand := d.host.Rand()
	if len(dead) > 0 && rand.IntN(roundsPerDeadPeer) == 0 {
		d.host.Send(dead[rand.IntN(len(dead))], round)
	}
}

// Table returns a message with all live peers and the core set.
func (d *Directory) Table(replyRequested bool) *wire.Gossip {
	return d.table(replyRequested, false)
}

// table returns the table, without the colocated daemons if it is partial.
func (d *Directory) table(replyRequested, partial bool) *wire.Gossip {
	m := &wire.Gossip{Self: d.Self(), Core: d.host.CoreSet(), ReplyRequested: replyRequested}
	for _, name := range d.Names() {
		if omitted := partial && d.peers[name].Colocated; d.Alive(name) && !omitted {
			m.Peers = append(m.Peers, d.peers[name].Peer)
		}
	}
	return m
}

// CoreSetUpdate returns a message with only the core set and the daemon's own description.
func (d *Directory) CoreSetUpdate() *wire.Gossip {
	return &wire.Gossip{Self: d.Self(), Core: d.host.CoreSet()}
}

// BroadcastCoreSet sends a newly learned set to its members and to this daemon's gossip targets, so
// that a first start or a new daemon doesn't wait for a round of gossip.
func (d *Directory) BroadcastCoreSet() {
	sent := map[string]bool{d.name: true}
	for _, name := range append(d.targets(), d.host.CoreSet().Names()...) {
		if !sent[name] {
			sent[name] = true
			d.host.Send(name, d.Table(false))
		}
	}
}

// AnnounceTo sends the daemon's changed description to some peers at once.
func (d *Directory) AnnounceTo(names []string) {
	d.heartbeat++
	for _, name := range names {
		d.host.Send(name, d.CoreSetUpdate())
	}
}

// OnGossip handles another daemon's table.
func (d *Directory) OnGossip(from string, m *wire.Gossip) {
	d.merge(m.Self)
	for _, p := range m.Peers {
		d.merge(p)
	}
	d.host.AdoptCoreSet(m.Core)
	if m.ReplyRequested && from != d.name {
		// Reply to the address that the sender gives: the record of a daemon that moved to a new
		// address, with its clock set back, has the old one until the daemon raises its
		// incarnation.
		d.host.SendAt(from, m.Self.Addr, d.table(false, m.Self.Colocated))
	}
}

// findByHash returns the name of the daemon with the given hash. ownHash is the hash of this daemon
// itself.
func (d *Directory) findByHash(hash, ownHash uint64) (name string, known bool) {
	if hash == ownHash {
		return d.name, true
	}
	name, known = d.byHash[hash]
	if p := d.peers[name]; !known || p == nil || p.hash != hash {
		return "", false
	}
	return name, true
}

// indexByHash adds a peer to byHash. The index is rebuilt without outdated hashes once it has more
// than twice as many entries as there are peers.
func (d *Directory) indexByHash(p *Peer) {
	p.hash = p.DetailHash()
	if d.byHash == nil || len(d.byHash) > 2*len(d.peers)+Fanout {
		d.byHash = map[uint64]string{}
		for name, o := range d.peers {
			d.byHash[o.hash] = name
		}
	}
	d.byHash[p.hash] = p.Name
}

// digest returns the message of one round of gossip.
func (d *Directory) digest() *wire.Digest {
	m := &wire.Digest{Self: d.Self(), SetVersion: d.host.CoreSet().Version}
	m.Partial = m.Self.Colocated || d.rounds%roundsPerFullDigest != 1
	for _, name := range d.Names() {
		p := d.peers[name]
		if omitted := m.Partial && p.Colocated; d.Alive(name) && !omitted {
			m.Heartbeats = append(m.Heartbeats, wire.Heartbeat{Hash: p.hash, Heartbeat: int32(p.Heartbeat)})
		}
	}
	return m
}

// recordHeartbeat records a received heartbeat of a known daemon.
func (d *Directory) recordHeartbeat(h wire.Heartbeat, name string) {
	if name == d.name {
		self := d.Self()
		if h.Heartbeat > int32(self.Heartbeat) { // sent by another process with this daemon's name
			self.Heartbeat = uint64(h.Heartbeat)
			d.merge(self)
		}
		return
	}
	if p := d.peers[name]; h.Heartbeat > int32(p.Heartbeat) {
		p.Heartbeat, p.LastHeartbeatMs = uint64(h.Heartbeat), d.host.NowMs()
	}
}

// OnDigest handles a round of gossip, and replies with the differences.
func (d *Directory) OnDigest(from string, m *wire.Digest) {
	d.merge(m.Self)
	set := d.host.CoreSet()
	reply := &wire.DigestReply{SetVersion: set.Version}
	ownHash := d.Self().DetailHash()
	reported := map[string]int32{from: int32(m.Self.Heartbeat)}
	for _, h := range m.Heartbeats {
		name, known := d.findByHash(h.Hash, ownHash)
		if !known {
			reply.UnknownHashes = append(reply.UnknownHashes, h.Hash)
			continue
		}
		reported[name] = h.Heartbeat
		d.recordHeartbeat(h, name)
	}
	if p := d.peers[from]; p != nil && p.Incarnation > m.Self.Incarnation {
		reply.Peers = append(reply.Peers, p.Peer) // an earlier process of its name started with its clock ahead
	}
	d.addDifferences(reply, reported, ownHash, m.Partial)
	d.host.SendAt(from, m.Self.Addr, reply)
	if m.SetVersion < set.Version {
		d.host.SendAt(from, m.Self.Addr, d.CoreSetUpdate())
	}
}

// addDifferences adds to a reply the live daemons that the digest didn't report, and the higher
// heartbeats of those that it did. A partial digest never reports colocated daemons.
func (d *Directory) addDifferences(reply *wire.DigestReply, reported map[string]int32, ownHash uint64, partial bool) {
	for _, name := range d.Names() {
		p := d.peers[name]
		if _, known := reported[name]; !d.Alive(name) || partial && p.Colocated && !known {
			continue
		}
		if heartbeat, ok := reported[name]; !ok {
			reply.Peers = append(reply.Peers, p.Peer)
		} else if int32(p.Heartbeat) > heartbeat {
			reply.Heartbeats = append(reply.Heartbeats, wire.Heartbeat{Hash: p.hash, Heartbeat: int32(p.Heartbeat)})
		}
	}
	self := d.Self()
	if partial && self.Colocated {
		return
	}
	if _, ok := reported[d.name]; ok {
		reply.Heartbeats = append(reply.Heartbeats, wire.Heartbeat{Hash: ownHash, Heartbeat: int32(self.Heartbeat)})
	} else {
		reply.Peers = append(reply.Peers, self)
	}
}

// OnDigestReply handles the differences found by a peer, and sends what the peer lacks.
func (d *Directory) OnDigestReply(from string, m *wire.DigestReply) {
	ownHash := d.Self().DetailHash()
	for _, p := range m.Peers {
		d.merge(p)
	}
	for _, h := range m.Heartbeats {
		if name, known := d.findByHash(h.Hash, ownHash); known {
			d.recordHeartbeat(h, name)
		} // else the peer is unknown here; its entry is requested when a digest lists it
	}
	set, self := d.host.CoreSet(), d.Self()
	missing := &wire.Gossip{Self: self}
	for _, hash := range m.UnknownHashes {
		if name, known := d.findByHash(hash, ownHash); known && name != d.name {
			missing.Peers = append(missing.Peers, d.peers[name].Peer)
		}
	}
	if m.SetVersion < set.Version {
		missing.Core = set
	}
	if len(missing.Peers) > 0 || missing.Core.Cluster != 0 {
		d.host.Send(from, missing)
	}
}
