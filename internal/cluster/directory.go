// Package cluster is what one daemon knows of the others: who they are, where they
// listen, and whether they are alive. Tables are exchanged by gossip: each round
// goes to a few peers as a digest, and only what the other side lacks follows in
// full. A daemon whose heartbeat has stood still for long counts as dead.
//
// Incarnations order the processes of one name: a process begins with the time of
// its start and rises above any higher one that it hears of under its own name.
// Membership of the core, leases and epochs are not decided here; the core set only
// travels with the gossip.
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
	// AliveTimeoutMs is how long a peer's heartbeat may stand still before it counts as dead.
	AliveTimeoutMs = 4000
	// ColocatedAliveTimeoutMs is the same for daemons beside workers, whose heartbeats come with each
	// fullRounds-th round alone: they hold no role that anybody waits to take over.
	ColocatedAliveTimeoutMs = 15_000
	// GossipIntervalMs is the pace of gossip.
	GossipIntervalMs = 500
	// colocatedRoundMs is the pace of daemons beside workers, which gossip with others alone.
	colocatedRoundMs = 2000
	// fullRounds: once in so many rounds a digest holds the daemons beside workers too.
	fullRounds = 4
	// firstRoundMs is the pace of a disk that knows no cluster, before the first one is formed.
	firstRoundMs = 200
	// Fanout is how many peers a daemon gossips with: log2 of today's fleets.
	Fanout = 4
	// colocatedFanout is that of a daemon beside a worker.
	colocatedFanout = 2
	// keepMs: a zone cut off for hours must still know where the others were.
	keepMs = 48 * 3600 * 1000
	// MaxPeers bounds the table; the longest silent one goes first.
	MaxPeers = 1000

	// Once in so many rounds a seed is gossiped with, and once in so many a dead peer.
	seedRounds = 8
	deadRounds = 2
)

// Host is the daemon that a Directory belongs to.
type Host interface {
	step.Context
	// Self is what the daemon says of itself; the Directory adds the heartbeat.
	Self() wire.Peer
	// CoreSet is the newest core set it knows.
	CoreSet() quorum.Set
	// AdoptCoreSet takes a core set that gossip brought, if it is newer.
	AdoptCoreSet(set quorum.Set)
	// Forming tells whether it waits for the first cluster to be formed.
	Forming() bool
	// RaiseIncarnation has it go on under an incarnation above this one, which
	// another process of its name was heard under.
	RaiseIncarnation(above uint64)
}

// Peer is another daemon as it is known here.
type Peer struct {
	wire.Peer
	LastHeartbeatMs int64 // when its heartbeat last moved, by our steady clock
	hash            uint64
}

// Directory is one daemon's table of the others.
type Directory struct {
	host      Host
	name      string
	seeds     []string
	heartbeat uint64
	rounds    uint64
	nextMs    int64
	peers     map[string]*Peer
	byHash    map[uint64]string // peers by what is said of them
}

// New returns the empty directory of the daemon of this name, which gossips with
// the seeds' addresses first.
//
// Example: peers := cluster.New(host, "edge-1", []string{"10.0.0.1:7000"})
func New(host Host, name string, seeds []string) *Directory {
	return &Directory{host: host, name: name, seeds: seeds, peers: map[string]*Peer{}}
}

// Self is what the daemon says of itself, with its heartbeat.
func (d *Directory) Self() wire.Peer {
	self := d.host.Self()
	self.Heartbeat = d.heartbeat
	return self
}

// Get returns a peer; nil for one that isn't known, and for the daemon itself.
func (d *Directory) Get(name string) *Peer { return d.peers[name] }

// Names returns the names of all known peers, dead or alive, in order.
func (d *Directory) Names() []string { return slices.Sorted(maps.Keys(d.peers)) }

// Len is how many peers are known.
func (d *Directory) Len() int { return len(d.peers) }

// Record takes what is said of a peer as heard at a time, whatever was known before.
func (d *Directory) Record(p wire.Peer, heardMs int64) {
	d.peers[p.Name] = &Peer{Peer: p, LastHeartbeatMs: heardMs}
	d.index(d.peers[p.Name])
}

// Alive tells whether a daemon's heartbeat still moves; the daemon's own does.
func (d *Directory) Alive(name string) bool {
	if name == d.name {
		return true
	}
	p := d.peers[name]
	return p != nil && d.host.NowMs()-p.LastHeartbeatMs < d.aliveMs(p)
}

// aliveMs is how long a peer's heartbeat may stand still here. What a daemon beside a worker
// hears of others is older, and so is what others hear of it.
func (d *Directory) aliveMs(p *Peer) int64 {
	if p.Colocated || d.host.Self().Colocated {
		return ColocatedAliveTimeoutMs
	}
	return AliveTimeoutMs
}

// AliveCount is how many daemons are alive, the own one too.
func (d *Directory) AliveCount() int {
	count := 1
	for name := range d.peers {
		if d.Alive(name) {
			count++
		}
	}
	return count
}

// AliveNames returns the names of all daemons that are alive, the own one too, in order.
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

// SilentMs is how long a peer's heartbeat has stood still; false for one that isn't known.
func (d *Directory) SilentMs(name string) (ms int64, known bool) {
	p := d.peers[name]
	if p == nil {
		return 0, false
	}
	return d.host.NowMs() - p.LastHeartbeatMs, true
}

// Describe returns what is known of a daemon, the own one too; the zero Peer for one
// that isn't known.
func (d *Directory) Describe(name string) wire.Peer {
	if name == d.name {
		return d.Self()
	}
	if p := d.peers[name]; p != nil {
		return p.Peer
	}
	return wire.Peer{}
}

// Zone returns a daemon's zone; "" for one that isn't known.
func (d *Directory) Zone(name string) string { return d.Describe(name).Zone }

// Addr returns the address that other daemons reach a daemon at; "" for one that
// isn't known.
func (d *Directory) Addr(name string) string { return d.Describe(name).Addr }

// IncarnationEnded tells whether a process surely has ended: a later one is heard
// from at the same address, where only one process at a time can listen.
func (d *Directory) IncarnationEnded(name string, incarnation uint64, addr string) bool {
	p := d.Describe(name)
	ended := p.Incarnation > incarnation && p.Addr == addr
	return ended && (addr != "" || name == d.name)
}

// SetSeeds gives other addresses to find the fleet by, and gossips at the next tick.
func (d *Directory) SetSeeds(seeds []string) {
	d.seeds = seeds
	d.GossipSoon()
}

// GossipSoon has the next tick gossip: what the daemon says of itself has changed.
func (d *Directory) GossipSoon() { d.nextMs = 0 }

// targets names the few peers that this daemon gossips with: none beside a worker, as long
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

// forgetOld drops peers that were silent for very long, and the longest silent one
// where there are too many.
func (d *Directory) forgetOld() {
	oldest := ""
	for _, name := range d.Names() {
		switch p := d.peers[name]; {
		case d.host.NowMs()-p.LastHeartbeatMs > keepMs:
			delete(d.peers, name)
		case oldest == "" || p.LastHeartbeatMs < d.peers[oldest].LastHeartbeatMs:
			oldest = name
		}
	}
	if len(d.peers) > MaxPeers {
		delete(d.peers, oldest)
	}
}

// merge takes what somebody says of a daemon, if it is newer.
func (d *Directory) merge(p wire.Peer) {
	self := d.Self()
	if p.Name == self.Name {
		newer := p.Incarnation > self.Incarnation
		same := p.Incarnation == self.Incarnation
		if newer || same && (p.Heartbeat > self.Heartbeat || p.Addr != self.Addr) {
			// An earlier process of this name began by a later clock, or another
			// one has our name: only above it are we heard.
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

// newerThan tells whether what is said of a daemon is newer than what was.
func newerThan(p, old wire.Peer) bool {
	return p.Incarnation > old.Incarnation || p.Incarnation == old.Incarnation && p.Heartbeat > old.Heartbeat
}
