// Package cluster is one daemon's view of the other daemons: their names, addresses, and whether
// they are alive. Daemons exchange their tables by gossip: each round is sent to a few peers as a
// digest, and only the differences follow in full. A daemon whose heartbeat has not advanced for
// long counts as dead.
//
// Incarnations order the processes of one name: a process starts with the time of its start as its
// incarnation, and raises it above any higher one that it receives under its own name. Membership
// of the core, leases and epochs are not decided here; gossip only carries the core set.
package cluster

import (
	"maps"
	"slices"

	"otterchute/internal/quorum"
	"otterchute/internal/rendezvous"
	"otterchute/internal/step"
	"otterchute/internal/wire"
)

const (
	// AliveTimeoutMs is how long a peer's heartbeat may stay unchanged before the peer counts as
	// dead.
	AliveTimeoutMs = 4000
	// ColocatedAliveTimeoutMs is the same for daemons colocated with workers. Their heartbeats are
	// only sent in full digests, and they hold no role that another daemon waits to take over.
	ColocatedAliveTimeoutMs = 15_000
	// GossipIntervalMs is the interval between rounds of gossip.
	GossipIntervalMs = 500
	// colocatedGossipIntervalMs is the interval of colocated daemons, which gossip only with
	// standalone ones.
	colocatedGossipIntervalMs = 2000
	// One in roundsPerFullDigest digests also includes the colocated daemons.
	roundsPerFullDigest = 4
	// formingGossipIntervalMs is the interval of a daemon that waits for the first cluster to be
	// formed.
	formingGossipIntervalMs = 200
	// Fanout is how many peers a daemon gossips with: log2 of current cluster sizes.
	Fanout = 4
	// colocatedFanout is the fanout of a colocated daemon.
	colocatedFanout = 2
	// peerExpiryMs is how long a silent peer is kept: a zone that was cut off for hours must still
	// have the addresses of the others.
	peerExpiryMs = 48 * 3600 * 1000
	// MaxPeers bounds the table; the peer that has been silent longest is removed first.
	MaxPeers = 1000

	// On average, one in roundsPerSeed rounds is sent to a seed, and one in roundsPerDeadPeer to a
	// dead peer.
	roundsPerSeed     = 8
	roundsPerDeadPeer = 2
)

// Host is the daemon that a Directory belongs to.
type Host interface {
	step.Context
	// Self describes the daemon to its peers; the Directory adds the heartbeat.
	Self() wire.Peer
	// CoreSet is the newest core set that the daemon has received.
	CoreSet() quorum.Set
	// AdoptCoreSet adopts a core set received by gossip, if it is newer.
	AdoptCoreSet(set quorum.Set)
	// Forming reports whether the daemon waits for the first cluster to be formed.
	Forming() bool
	// RaiseIncarnation raises the daemon's incarnation above the given one, under which another
	// process of its name was seen.
	RaiseIncarnation(above uint64)
}

// Peer is the record of another daemon.
type Peer struct {
	wire.Peer
	LastHeartbeatMs int64 // when its heartbeat last advanced, by this daemon's monotonic clock
	hash            uint64
}

// Directory is one daemon's table of its peers.
type Directory struct {
	host        Host
	name        string
	seeds       []string
	heartbeat   uint64
	rounds      uint64
	nextRoundMs int64
	peers       map[string]*Peer
	byHash      map[uint64]string // names of peers by Peer.hash
}

// New returns the empty directory of the daemon of this name, which first gossips with the seeds'
// addresses.
//
// Example: peers := cluster.New(host, "edge-1", []string{"10.0.0.1:7000"})
func New(host Host, name string, seeds []string) *Directory {
	return &Directory{host: host, name: name, seeds: seeds, peers: map[string]*Peer{}}
}

// Self returns the daemon's own description, with its heartbeat.
func (d *Directory) Self() wire.Peer {
	self := d.host.Self()
	self.Heartbeat = d.heartbeat
	return self
}

// Get returns a peer; nil for an unknown one, and for the daemon itself.
func (d *Directory) Get(name string) *Peer { return d.peers[name] }

// Names returns the names of all known peers, dead or alive, sorted.
func (d *Directory) Names() []string { return slices.Sorted(maps.Keys(d.peers)) }

// Len returns the number of known peers.
func (d *Directory) Len() int { return len(d.peers) }

// Record replaces the record of a peer, with the time of its last heartbeat.
func (d *Directory) Record(p wire.Peer, lastHeartbeatMs int64) {
	d.peers[p.Name] = &Peer{Peer: p, LastHeartbeatMs: lastHeartbeatMs}
	d.indexByHash(d.peers[p.Name])
}

// Alive reports whether a daemon's heartbeat still advances; true for the daemon itself.
func (d *Directory) Alive(name string) bool {
	if name == d.name {
		return true
	}
	p := d.peers[name]
	return p != nil && d.host.NowMs()-p.LastHeartbeatMs < d.aliveTimeoutMs(p)
}

// aliveTimeoutMs returns how long a peer's heartbeat may stay unchanged here. Heartbeats take
// longer to reach colocated daemons, and to get from them to others.
func (d *Directory) aliveTimeoutMs(p *Peer) int64 {
	if p.Colocated || d.host.Self().Colocated {
		return ColocatedAliveTimeoutMs
	}
	return AliveTimeoutMs
}

// AliveCount returns the number of live daemons, including this one.
func (d *Directory) AliveCount() int {
	count := 1
	for name := range d.peers {
		if d.Alive(name) {
			count++
		}
	}
	return count
}

// AliveNames returns the names of all live daemons, including this one, sorted.
func (d *Directory) AliveNames() []string {
	out := []string{d.name}
	for name := range d.peers {
		if d.Alive(name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// SilentMs returns how long a peer's heartbeat has not advanced; false for an unknown peer.
func (d *Directory) SilentMs(name string) (ms int64, known bool) {
	p := d.peers[name]
	if p == nil {
		return 0, false
	}
	return d.host.NowMs() - p.LastHeartbeatMs, true
}

// Describe returns the description of a daemon, which may be this one; the zero Peer if unknown.
func (d *Directory) Describe(name string) wire.Peer {
	if name == d.name {
		return d.Self()
	}
	if p := d.peers[name]; p != nil {
		return p.Peer
	}
	return wire.Peer{}
}

// Zone returns a daemon's zone; "" if unknown.
func (d *Directory) Zone(name string) string { return d.Describe(name).Zone }

// Addr returns the address at which other daemons reach a daemon; "" if unknown.
func (d *Directory) Addr(name string) string { return d.Describe(name).Addr }

// IncarnationEnded reports whether a process has certainly ended: a later one was seen at the same
// address, where only one process at a time can listen.
func (d *Directory) IncarnationEnded(name string, incarnation uint64, addr string) bool {
	p := d.Describe(name)
	ended := p.Incarnation > incarnation && p.Addr == addr
	return ended && (addr != "" || name == d.name)
}

// SetSeeds replaces the addresses used to find the cluster, and gossips at the next tick.
func (d *Directory) SetSeeds(seeds []string) {
	d.seeds = seeds
	d.GossipSoon()
}

// GossipSoon makes the next tick gossip, since the daemon's own description has changed.
func (d *Directory) GossipSoon() { d.nextRoundMs = 0 }

// targets returns the few peers that this daemon gossips with. Colocated ones are excluded as long
// as there are enough others.
func (d *Directory) targets() []string {
	others := slices.DeleteFunc(d.AliveNames(), func(name string) bool { return name == d.name })
	standalone := slices.DeleteFunc(slices.Clone(others), func(name string) bool { return d.peers[name].Colocated })
	if len(standalone) >= colocatedFanout {
		others = standalone
	}
	fanout := Fanout
	if d.host.Self().Colocated {
		fanout = colocatedFanout
	}
	others = rendezvous.Order(d.name, others)
	return others[:min(fanout, len(others))]
}

// removeExpired removes peers that have been silent for peerExpiryMs, and the one silent longest if
// there are too many.
func (d *Directory) removeExpired() {
	oldest := ""
	for _, name := range d.Names() {
		switch p := d.peers[name]; {
		case d.host.NowMs()-p.LastHeartbeatMs > peerExpiryMs:
			delete(d.peers, name)
		case oldest == "" || p.LastHeartbeatMs < d.peers[oldest].LastHeartbeatMs:
			oldest = name
		}
	}
	if len(d.peers) > MaxPeers {
		delete(d.peers, oldest)
	}
}

// merge adopts a received description of a daemon if it is newer.
func (d *Directory) merge(p wire.Peer) {
	self := d.Self()
	if p.Name == self.Name {
		newer := p.Incarnation > self.Incarnation
		same := p.Incarnation == self.Incarnation
		if newer || same && (p.Heartbeat > self.Heartbeat || p.Addr != self.Addr) {
			// An earlier process of this name started with its clock ahead, or another daemon uses
			// the name. Peers only accept a higher incarnation.
			d.host.RaiseIncarnation(p.Incarnation)
			d.GossipSoon()
		}
		return
	}
	old := d.peers[p.Name]
	if p.Name == "" || old != nil && !newerThan(p, old.Peer) {
		return
	}
	if old == nil {
		d.host.Log("peer_new", "peer", p.Name, "zone", p.Zone, "addr", p.Addr)
	}
	d.Record(p, d.host.NowMs())
}

// newerThan reports whether a description of a daemon is newer than an old one.
func newerThan(p, old wire.Peer) bool {
	return p.Incarnation > old.Incarnation || p.Incarnation == old.Incarnation && p.Heartbeat > old.Heartbeat
}
