package daemon

import (
	"math/rand/v2"

	"otterchute/internal/cluster"
	"otterchute/internal/lease"
	"otterchute/internal/membership"
	"otterchute/internal/quorum"
	"otterchute/internal/wire"
)

// host is a daemon as its parts see it: see packages step, cluster, lease and membership.
type host struct{ *node }

var (
	_ cluster.Host    = host{}
	_ lease.Host      = host{}
	_ membership.Host = host{}
)

// NowMs is the steady clock of the event that is handled.
func (h host) NowMs() int64 { return h.now }

// WallMs is the wall clock of the event that is handled.
func (h host) WallMs() int64 { return h.wall }

// Rand is seeded by the event that is handled.
func (h host) Rand() *rand.Rand { return h.rand() }

// Send sends a message to a daemon at the address it is known at.
func (h host) Send(to string, msg any) { h.send(to, msg) }

// SendAt sends a message to whoever is at an address, or to the daemon of that name there.
func (h host) SendAt(to, addr string, msg any) {
	if to == "" {
		h.emit(effSend{Addr: addr, Dest: anyProcess, Msg: msg})
		return
	}
	h.sendAt(to, addr, msg)
}

// Log tells operators of an event.
func (h host) Log(event string, keysAndValues ...any) { h.log(event, keysAndValues...) }

// Count adds one to a counter.
func (h host) Count(counter string) { h.count(counter) }

// Self is what this daemon says of itself, but for its heartbeat.
func (h host) Self() wire.Peer {
	n := h.node
	self := wire.Peer{Name: n.Name, Incarnation: n.Incarnation, Addr: n.Addr, HTTPAddr: n.HTTP, Zone: n.Zone,
		Disk: n.Disk && n.diskFailed == "", Leaving: n.leavingSinceMs != 0, Colocated: n.Colocated,
		MilliCores: n.MilliCores, LinkMbps: n.LinkMbps, Overloaded: n.overload.overloaded}
	if n.store != nil {
		self.DiskID, self.EmptyDisk = n.DiskID, n.store.Cluster() == 0 && n.FirstStart
	}
	return self
}

// CoreSet is the newest core set that this daemon knows.
func (h host) CoreSet() quorum.Set { return h.core }

// AdoptCoreSet takes a core set that another daemon told of.
func (h host) AdoptCoreSet(set quorum.Set) { h.adoptCoreSet(set) }

// Forming tells whether this disk waits for the first cluster to be formed.
func (h host) Forming() bool { return h.core.Cluster == 0 && h.store != nil && h.node.FirstStart }

// RaiseIncarnation goes on above another process of this name. To the core the old
// incarnation has ended once it hears of the new one: so the leases taken under
// the old number are let go of first.
func (h host) RaiseIncarnation(above uint64) {
	n := h.node
	n.log("incarnation_raised", "from", n.Incarnation, "above", above)
	n.Incarnation = above + 1
	for _, role := range n.leases.Roles() {
		n.leases.Lose(role, "incarnation_raised")
	}
	for _, name := range sortedKeys(n.agents) { // those beside their workers: owners hear no lower epoch than before
		n.agents[name].epoch = n.Incarnation
	}
}

// tickGossip gossips, and at the same pace forgets workers not heard of for long.
func (n *node) tickGossip() {
	if !n.peers.Tick() {
		return
	}
	for _, name := range sortedKeys(n.workers) {
		if n.now-n.workers[name].receivedMs > workerForgetMs {
			delete(n.workers, name)
		}
	}
}

func (n *node) onSeeds(e evSeeds) {
	n.Seeds = e.Seeds
	n.peers.SetSeeds(e.Seeds)
}

func (n *node) onGossip(from string, m *wire.Gossip)           { n.peers.OnGossip(from, m) }
func (n *node) onDigest(from string, m *wire.Digest)           { n.peers.OnDigest(from, m) }
func (n *node) onDigestReply(from string, m *wire.DigestReply) { n.peers.OnDigestReply(from, m) }
