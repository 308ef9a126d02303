package daemon

import (
	"otterchute/internal/quorum"
	"otterchute/internal/rendezvous"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
	"slices"
)

func (n *node) selfInfo() wire.Peer {
	s := wire.Peer{Name: n.Name, Incarnation: n.Incarnation, Heartbeat: n.heartbeat, Addr: n.Addr, HTTP: n.HTTP, Zone: n.Zone, Disk: n.Disk && n.diskFailed == "", Leaving: n.leavingSince != 0, Colocated: n.Colocated}
	if n.store != nil {
		s.DiskID, s.Empty = n.DiskID, n.store.Cluster() == 0 && n.FirstStart
	}
	return s
}

// alive tells whether a sibling's beat still moves.
func (n *node) alive(name string) bool {
	if name == n.Name {
		return true
	}
	s := n.peers[name]
	return s != nil && n.now-s.heardMs < peerAliveMs
}

// aliveNames gives all daemons whose beat moves, this one too, in name order.
func (n *node) aliveNames() []string {
	out := []string{n.Name}
	for name := range n.peers {
		if n.alive(name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// gossipTargets names the few siblings this daemon exchanges tables with.
func (n *node) gossipTargets() []string {
	all := slices.DeleteFunc(n.aliveNames(), func(s string) bool { return s == n.Name })
	all = rendezvous.Order(n.Name, all)
	return all[:min(gossipFanout, len(all))]
}

func (n *node) onSeeds(e evSeeds) {
	n.Seeds = e.Seeds
	n.gossipAt = 0
}

func (n *node) tickGossip() {
	if n.now < n.gossipAt {
		return
	}
	n.gossipAt = n.now + gossipMs
	if n.core.Cluster == 0 && n.store != nil && n.FirstStart {
		n.gossipAt = n.now + firstGossipMs
	}
	n.heartbeat++
	oldest := ""
	for _, name := range sorted(n.peers) {
		if n.now-n.peers[name].heardMs > peerKeepMs {
			delete(n.peers, name)
		} else if oldest == "" || n.peers[name].heardMs < n.peers[oldest].heardMs {
			oldest = name
		}
	}
	if len(n.peers) > peersMax {
		delete(n.peers, oldest)
	}
	for _, name := range sorted(n.workers) {
		if n.now-n.workers[name].heardMs > forgetMs {
			delete(n.workers, name)
		}
	}
	round := n.gossipRound()
	for _, name := range n.gossipTargets() {
		n.send(name, round)
	}
	// Seeds and long-gone siblings are tried too, one of each a round with
	// jitter, so that a fleet joined through seeds that were all replaced,
	// or a site back from a long cut, finds the rest. Who hears nobody yet
	// tries all seeds.
	if len(n.aliveNames()) == 1 {
		for _, a := range n.Seeds {
			if a != n.Addr {
				n.emit(effSend{Addr: a, Msg: n.gossip(true)})
			}
		}
	} else if len(n.Seeds) > 0 && (len(n.peers) < gossipFanout || n.rand().IntN(8) == 0) {
		if a := n.Seeds[n.rand().IntN(len(n.Seeds))]; a != n.Addr {
			n.emit(effSend{Addr: a, Msg: round})
		}
	}
	var gone []string
	for _, name := range sorted(n.peers) {
		if !n.alive(name) {
			gone = append(gone, name)
		}
	}
	if len(gone) > 0 && n.rand().IntN(2) == 0 {
		n.send(gone[n.rand().IntN(len(gone))], round)
	}
}

func (n *node) gossip(back bool) *wire.Gossip {
	m := &wire.Gossip{Self: n.selfInfo(), Core: n.core, WantsReply: back}
	for _, name := range sorted(n.peers) {
		if n.alive(name) {
			m.Table = append(m.Table, n.peers[name].Peer)
		}
	}
	return m
}

func (n *node) onGossip(from string, m *wire.Gossip) {
	n.mergePeer(m.Self)
	for _, s := range m.Table {
		n.mergePeer(s)
	}
	n.adoptCoreSet(m.Core)
	if m.WantsReply && from != n.Name {
		// To where it says it is: a daemon that is new at its address, with a
		// clock set back, is known at its old one until it has heard of that.
		n.sendAt(from, m.Self.Addr, n.gossip(false))
	}
}

func (n *node) mergePeer(s wire.Peer) {
	if s.Name == n.Name && (s.Incarnation > n.Incarnation || s.Incarnation == n.Incarnation && (s.Heartbeat > n.heartbeat || s.Addr != n.Addr)) {
		// An earlier life of this daemon began by a later clock, or another
		// process has our name: only above it are we heard. To the core the
		// old number's life is over once it hears of the new one, see over:
		// so the leases taken under the old number are let go of first.
		n.log("incarnation_raised", "from", n.Incarnation, "above", s.Incarnation)
		n.Incarnation = s.Incarnation + 1
		for _, name := range sorted(n.roles) {
			n.loseRole(n.roles[name], "incarnation_raised")
		}
		for _, name := range sorted(n.agents) { // those beside their workers: owners hear no lower epoch than before
			n.agents[name].epoch = n.Incarnation
		}
		n.gossipAt = 0
	}
	if s.Name == n.Name || s.Name == "" {
		return
	}
	old := n.peers[s.Name]
	if old != nil && (s.Incarnation < old.Incarnation || s.Incarnation == old.Incarnation && s.Heartbeat <= old.Heartbeat) {
		return
	}
	if old == nil {
		n.log("sibling_new", "sibling", s.Name, "site", s.Zone, "addr", s.Addr)
	}
	n.peers[s.Name] = &peer{Peer: s, heardMs: n.now}
	n.indexPeer(n.peers[s.Name])
}

func (n *node) zoneOf(name string) string {
	if name == n.Name {
		return n.Zone
	}
	if s := n.peers[name]; s != nil {
		return s.Zone
	}
	return ""
}

func (n *node) adoptCoreSet(c quorum.Set) {
	if c.Cluster == 0 || n.core.Cluster != 0 && c.Cluster != n.core.Cluster || c.Version <= n.core.Version {
		return
	}
	if n.store != nil && c.Cluster == n.store.Set().Cluster && c.Version < n.store.Set().Version {
		return // at a start, before the set on disk was taken up
	}
	was, first := n.inCore(), n.core.Cluster == 0
	settles := len(c.Members) == n.coreGoal() && len(n.core.Members) > n.coreGoal() && c.Members[len(c.Members)-1].Name == n.Name
	n.awaitPolls(c)
	n.core = c
	if first {
		n.forming = nil
		defer n.broadcastCoreSet()
	}
	for m := range n.poll.clocks { // clocks of former members have no say
		if !slices.Contains(c.Names(), m) {
			delete(n.poll.clocks, m)
			delete(n.poll.slowMs, m)
		}
	}
	n.onCoreSetChanged()
	n.log("core_set", "version", c.Version, "members", c.Names())
	if n.store != nil && n.store.Cluster() == c.Cluster {
		// A joined member waits one lease before it grants. At the very first
		// set there is nothing to wait for: had this disk granted anything
		// under it, the set would have been synced before.
		formed := c.Version == 1 && n.store.Set().Version == 0
		n.persistSet(c)
		if (!was || settles) && n.inCore() && !formed {
			n.granter.guardMs, n.granter.startMs = n.now+leaseMs, n.now
		}
	}
}

// awaitPolls counts the silence of a set's new members from now on.
func (n *node) awaitPolls(c quorum.Set) {
	for _, m := range c.Members {
		if !n.core.Has(m.Name, m.DiskID) {
			n.poll.recordAnswer(m.Name, n.now)
		}
	}
}

// onCoreSetChanged begins anew what members under the former set acknowledged only
// in part: a majority counts within one set, and one that left may be back
// under its old name with an empty disk.
func (n *node) onCoreSetChanged() {
	n.restartChanges()
	for _, sl := range n.owned {
		if !sl.serving {
			sl.seals, sl.missing, sl.missingOps, sl.sealSent = map[string]map[string]statestore.Record{}, map[string]map[string]bool{}, map[uint64]string{}, 0
		}
		for _, b := range sl.writes {
			if !b.done {
				b.acked, b.sentMs = map[string]bool{}, 0
			}
		}
	}
}

// onSealResponse and onWriteResponse drop what a member said under another set.
func (n *node) onSealResponse(from string, m *wire.SealResponse) {
	if m.SetVersion == n.core.Version {
		n.mergeSeal(from, m)
	}
}

func (n *node) onWriteResponse(from string, m *wire.WriteResponse) {
	if m.SetVersion == n.core.Version {
		n.applyWriteResponse(from, m)
	}
}

// broadcastCoreSet spreads a set that was just learned, so that a first start or a new
// daemon waits for no round of gossip: to its members, and to whom we watch.
func (n *node) broadcastCoreSet() {
	told := map[string]bool{n.Name: true}
	for _, name := range append(n.gossipTargets(), n.core.Names()...) {
		if !told[name] {
			told[name] = true
			n.send(name, n.gossip(false))
		}
	}
}

func (n *node) inCore() bool {
	return n.store != nil && n.diskFailed == "" && n.store.Cluster() != 0 && n.core.Has(n.Name, n.DiskID)
}
