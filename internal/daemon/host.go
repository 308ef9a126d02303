package daemon

import (
	"math/rand/v2"

	"otterchute/internal/cluster"
	"otterchute/internal/lease"
	"otterchute/internal/membership"
	"otterchute/internal/quorum"
	"otterchute/internal/wire"
)

// host implements the interfaces through which the packages cluster, lease and membership
// use this daemon.
type host struct{ *node }

var (
	_ cluster.Host    = host{}
	_ lease.Host      = host{}
	_ membership.Host = host{}
)

// NowMs returns the time of the current event by the steady clock.
func (h host) NowMs() int64 { return h.now }

// WallMs returns the time of the current event by the wall clock.
func (h host) WallMs() int64 { return h.wall }

// Rand returns a generator that is seeded by the current event.
func (h host) Rand() *rand.Rand { return h.rand() }

// Send sends a message to a daemon at its known address.
func (h host) Send(to string, msg any) { h.send(to, msg) }

// SendAt sends a message to the named daemon at an address, or to any daemon there if the
// name is empty.
func (h host) SendAt(to, addr string, msg any) {
	if to == "" {
		h.emit(effSend{Addr: addr, Dest: anyProcess, Msg: msg})
		return
	}
	h.sendAt(to, addr, msg)
}

// Log writes an event to the operators' log.
func (h host) Log(event string, keysAndValues ...any) { h.log(event, keysAndValues...) }

// Count increments a counter.
func (h host) Count(counter string) { h.count(counter) }

// Self returns this daemon's own entry for the directory, without its heartbeat.
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

// CoreSet returns the newest core set that this daemon has received.
func (h host) CoreSet() quorum.Set { return h.core }

// AdoptCoreSet adopts a core set received from another daemon, if it is newer.
func (h host) AdoptCoreSet(set quorum.Set) { h.adoptCoreSet(set) }

// Forming reports whether this daemon has a disk and waits for the first cluster to be
// formed.
func (h host) Forming() bool { return h.core.Cluster == 0 && h.store != nil && h.node.FirstStart }

// RaiseIncarnation sets an incarnation above that of another process of the same name. The
// core regards the old incarnation as ended once it receives the new one, so the leases
// held under the old incarnation are released first.
func (h host) RaiseIncarnation(above uint64) {
	n := h.node
	n.log("incarnation_raised", "from", n.Incarnation, "above", above)
	n.Incarnation = above + 1
	for _, role := range n.leases.Roles() {
		n.leases.Lose(role, "incarnation_raised")
	}
	// The epoch of an agent that runs beside its worker is the incarnation. Owners must
	// not receive a lower epoch than before.
	for _, name := range sortedKeys(n.agents) {
		n.agents[name].epoch = n.Incarnation
	}
}

// tickGossip sends gossip and, in the same interval, removes workers for which no report
// has arrived for workerForgetMs.
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
