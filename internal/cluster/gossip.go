package cluster

import "otterchute/internal/wire"

// Tick gossips where a round is due. It tells whether one was.
func (d *Directory) Tick() bool {
	now := d.host.NowMs()
	if now < d.nextMs {
		return false
	}
	d.nextMs = now + GossipIntervalMs
	switch {
	case d.host.Forming():
		d.nextMs = now + firstRoundMs
	case d.host.Self().Colocated && len(d.peers) >= colocatedFanout:
		d.nextMs = now + colocatedRoundMs
	}
	d.heartbeat++
	d.rounds++
	d.forgetOld()
	round := d.digest()
	for _, name := range d.targets() {
		d.host.Send(name, round)
	}
	d.gossipWithSeeds(round)
	d.gossipWithDead(round)
	return true
}

// gossipWithSeeds tries one seed now and then, so that a fleet joined through
// seeds that were all replaced finds the rest. Who hears nobody yet tries all.
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
	if len(d.seeds) == 0 || len(d.peers) >= Fanout && rand.IntN(seedRounds) != 0 {
		return
	}
	if addr := d.seeds[rand.IntN(len(d.seeds))]; addr != own {
		d.host.SendAt("", addr, round)
	}
}

// gossipWithDead tries a dead peer now and then, so that a zone back from a long
// partition finds the rest.
func (d *Directory) gossipWithDead(round *wire.Digest) {
	var dead []string
	for _, name := range d.Names() {
		if !d.Alive(name) && !d.peers[name].Colocated { // which finds the others itself
			dead = append(dead, name)
		}
	}
	rand := d.host.Rand()
	if len(dead) > 0 && rand.IntN(deadRounds) == 0 {
		d.host.Send(dead[rand.IntN(len(dead))], round)
	}
}

// Table returns the whole table of live peers, and the core set.
func (d *Directory) Table(replyRequested bool) *wire.Gossip {
	return d.table(replyRequested, false)
}

// table returns the table, if it is partial without the daemons beside workers.
func (d *Directory) table(replyRequested, partial bool) *wire.Gossip {
	m := &wire.Gossip{Self: d.Self(), Core: d.host.CoreSet(), ReplyRequested: replyRequested}
	for _, name := range d.Names() {
		if omitted := partial && d.peers[name].Colocated; d.Alive(name) && !omitted {
			m.Peers = append(m.Peers, d.peers[name].Peer)
		}
	}
	return m
}

// CoreSetUpdate returns the core set alone, with what the daemon says of itself.
func (d *Directory) CoreSetUpdate() *wire.Gossip {
	return &wire.Gossip{Self: d.Self(), Core: d.host.CoreSet()}
}

// BroadcastCoreSet spreads a set that was just learned, so that a first start or a
// new daemon waits for no round of gossip: to its members, and to those that this
// daemon gossips with.
func (d *Directory) BroadcastCoreSet() {
	sent := map[string]bool{d.name: true}
	for _, name := range append(d.targets(), d.host.CoreSet().Names()...) {
		if !sent[name] {
			sent[name] = true
			d.host.Send(name, d.Table(false))
		}
	}
}

// AnnounceTo tells some peers at once what has changed about this daemon.
func (d *Directory) AnnounceTo(names []string) {
	d.heartbeat++
	for _, name := range names {
		d.host.Send(name, d.CoreSetUpdate())
	}
}

// OnGossip takes another daemon's table.
func (d *Directory) OnGossip(from string, m *wire.Gossip) {
	d.merge(m.Self)
	for _, p := range m.Peers {
		d.merge(p)
	}
	d.host.AdoptCoreSet(m.Core)
	if m.ReplyRequested && from != d.name {
		// To where it says it is: a daemon that is new at its address, with a
		// clock set back, is known at its old one until it has heard of that.
		d.host.SendAt(from, m.Self.Addr, d.table(false, m.Self.Colocated))
	}
}

// find finds a daemon by its hash, the own one too, whose hash is given.
func (d *Directory) find(hash, own uint64) (name string, known bool) {
	if hash == own {
		return d.name, true
	}
	name, known = d.byHash[hash]
	if p := d.peers[name]; !known || p == nil || p.hash != hash {
		return "", false
	}
	return name, true
}

// index makes a peer's new entry found by its hash. Old hashes are dropped once
// they are more than the peers.
func (d *Directory) index(p *Peer) {
	p.hash = p.DetailHash()
	if d.byHash == nil || len(d.byHash) > 2*len(d.peers)+Fanout {
		d.byHash = map[uint64]string{}
		for name, o := range d.peers {
			d.byHash[o.hash] = name
		}
	}
	d.byHash[p.hash] = p.Name
}

// digest is one round of gossip.
func (d *Directory) digest() *wire.Digest {
	m := &wire.Digest{Self: d.Self(), SetVersion: d.host.CoreSet().Version}
	m.Partial = m.Self.Colocated || d.rounds%fullRounds != 1
	for _, name := range d.Names() {
		p := d.peers[name]
		if omitted := m.Partial && p.Colocated; d.Alive(name) && !omitted {
			m.Heartbeats = append(m.Heartbeats, wire.Heartbeat{Hash: p.hash, Heartbeat: int32(p.Heartbeat)})
		}
	}
	return m
}

// recordHeartbeat takes a heartbeat of a daemon that is known by its hash.
func (d *Directory) recordHeartbeat(h wire.Heartbeat, name string) {
	if name == d.name {
		self := d.Self()
		if h.Heartbeat > int32(self.Heartbeat) { // said by another process with our name
			self.Heartbeat = uint64(h.Heartbeat)
			d.merge(self)
		}
		return
	}
	if p := d.peers[name]; h.Heartbeat > int32(p.Heartbeat) {
		p.Heartbeat, p.LastHeartbeatMs = uint64(h.Heartbeat), d.host.NowMs()
	}
}

// OnDigest takes a round of gossip, and answers with what differs here.
func (d *Directory) OnDigest(from string, m *wire.Digest) {
	d.merge(m.Self)
	set := d.host.CoreSet()
	reply := &wire.DigestReply{SetVersion: set.Version}
	own := d.Self().DetailHash()
	said := map[string]int32{from: int32(m.Self.Heartbeat)}
	for _, h := range m.Heartbeats {
		name, known := d.find(h.Hash, own)
		if !known {
			reply.UnknownHashes = append(reply.UnknownHashes, h.Hash)
			continue
		}
		said[name] = h.Heartbeat
		d.recordHeartbeat(h, name)
	}
	if p := d.peers[from]; p != nil && p.Incarnation > m.Self.Incarnation {
		reply.Peers = append(reply.Peers, p.Peer) // an earlier process of its name began by a later clock
	}
	d.addDifferences(reply, said, own, m.Partial)
	d.host.SendAt(from, m.Self.Addr, reply)
	if m.SetVersion < set.Version {
		d.host.SendAt(from, m.Self.Addr, d.CoreSetUpdate())
	}
}

// addDifferences puts into a reply the live daemons that weren't said there, and
// the higher heartbeats of those that were. A partial digest speaks of no daemon beside a worker.
func (d *Directory) addDifferences(reply *wire.DigestReply, said map[string]int32, own uint64, partial bool) {
	for _, name := range d.Names() {
		p := d.peers[name]
		if _, known := said[name]; !d.Alive(name) || partial && p.Colocated && !known {
			continue
		}
		if heartbeat, ok := said[name]; !ok {
			reply.Peers = append(reply.Peers, p.Peer)
		} else if int32(p.Heartbeat) > heartbeat {
			reply.Heartbeats = append(reply.Heartbeats, wire.Heartbeat{Hash: p.hash, Heartbeat: int32(p.Heartbeat)})
		}
	}
	self := d.Self()
	if partial && self.Colocated {
		return
	}
	if _, ok := said[d.name]; ok {
		reply.Heartbeats = append(reply.Heartbeats, wire.Heartbeat{Hash: own, Heartbeat: int32(self.Heartbeat)})
	} else {
		reply.Peers = append(reply.Peers, self)
	}
}

// OnDigestReply takes what differs at a peer, and sends what it lacks.
func (d *Directory) OnDigestReply(from string, m *wire.DigestReply) {
	own := d.Self().DetailHash()
	for _, p := range m.Peers {
		d.merge(p)
	}
	for _, h := range m.Heartbeats {
		if name, known := d.find(h.Hash, own); known {
			d.recordHeartbeat(h, name)
		} // else it is new here, and comes in full with a digest
	}
	set, self := d.host.CoreSet(), d.Self()
	more := &wire.Gossip{Self: self}
	for _, hash := range m.UnknownHashes {
		if name, known := d.find(hash, own); known && name != d.name {
			more.Peers = append(more.Peers, d.peers[name].Peer)
		}
	}
	if m.SetVersion < set.Version {
		more.Core = set
	}
	if len(more.Peers) > 0 || more.Core.Cluster != 0 {
		d.host.Send(from, more)
	}
}
