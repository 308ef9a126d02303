package main

import "slices"

func (n *node) self() sibling {
	s := sibling{Name: n.Name, Inc: n.Inc, Beat: n.beat, Addr: n.Addr, HTTP: n.HTTP, Site: n.Site, Disk: n.Disk && n.diskFailed == "", Leaving: n.leaving != 0, Beside: n.Beside}
	if n.store != nil {
		s.DiskID, s.Empty = n.DiskID, n.store.cluster == 0 && n.FirstStart
	}
	return s
}

// live tells whether a sibling's beat still moves.
func (n *node) live(name string) bool {
	if name == n.Name {
		return true
	}
	s := n.siblings[name]
	return s != nil && n.now-s.heardMs < liveMs
}

// liveNames gives all daemons whose beat moves, this one too, in name order.
func (n *node) liveNames() []string {
	out := []string{n.Name}
	for name := range n.siblings {
		if n.live(name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// watched names the few siblings this daemon exchanges tables with.
func (n *node) watched() []string {
	all := slices.DeleteFunc(n.liveNames(), func(s string) bool { return s == n.Name })
	all = rendezvous(n.Name, all)
	return all[:min(fan, len(all))]
}

func (n *node) onSeeds(e evSeeds) {
	n.Seeds = e.Seeds
	n.gossipAt = 0
}

func (n *node) tickSiblings() {
	if n.now < n.gossipAt {
		return
	}
	n.gossipAt = n.now + gossipMs
	if n.core.Cluster == 0 && n.store != nil && n.FirstStart {
		n.gossipAt = n.now + greetMs
	}
	n.beat++
	oldest := ""
	for _, name := range sorted(n.siblings) {
		if n.now-n.siblings[name].heardMs > siblingKeepMs {
			delete(n.siblings, name)
		} else if oldest == "" || n.siblings[name].heardMs < n.siblings[oldest].heardMs {
			oldest = name
		}
	}
	if len(n.siblings) > siblingsMax {
		delete(n.siblings, oldest)
	}
	for _, name := range sorted(n.workers) {
		if n.now-n.workers[name].heardMs > forgetMs {
			delete(n.workers, name)
		}
	}
	round := n.round()
	for _, name := range n.watched() {
		n.send(name, round)
	}
	// Seeds and long-gone siblings are tried too, one of each a round with
	// jitter, so that a fleet joined through seeds that were all replaced,
	// or a site back from a long cut, finds the rest. Who hears nobody yet
	// tries all seeds.
	if len(n.liveNames()) == 1 {
		for _, a := range n.Seeds {
			if a != n.Addr {
				n.emit(effSend{Addr: a, Msg: n.gossip(true)})
			}
		}
	} else if len(n.Seeds) > 0 && (len(n.siblings) < fan || n.rand().IntN(8) == 0) {
		if a := n.Seeds[n.rand().IntN(len(n.Seeds))]; a != n.Addr {
			n.emit(effSend{Addr: a, Msg: round})
		}
	}
	var gone []string
	for _, name := range sorted(n.siblings) {
		if !n.live(name) {
			gone = append(gone, name)
		}
	}
	if len(gone) > 0 && n.rand().IntN(2) == 0 {
		n.send(gone[n.rand().IntN(len(gone))], round)
	}
}

func (n *node) gossip(back bool) *gossipMsg {
	m := &gossipMsg{Self: n.self(), Core: n.core, Back: back}
	for _, name := range sorted(n.siblings) {
		if n.live(name) {
			m.Table = append(m.Table, n.siblings[name].sibling)
		}
	}
	return m
}

func (n *node) onGossip(from string, m *gossipMsg) {
	n.learnSibling(m.Self)
	for _, s := range m.Table {
		n.learnSibling(s)
	}
	n.learnCore(m.Core)
	if m.Back && from != n.Name {
		// To where it says it is: a daemon that is new at its address, with a
		// clock set back, is known at its old one until it has heard of that.
		n.sendAt(from, m.Self.Addr, n.gossip(false))
	}
}

func (n *node) learnSibling(s sibling) {
	if s.Name == n.Name && (s.Inc > n.Inc || s.Inc == n.Inc && (s.Beat > n.beat || s.Addr != n.Addr)) {
		// An earlier life of this daemon began by a later clock, or another
		// process has our name: only above it are we heard. To the core the
		// old number's life is over once it hears of the new one, see over:
		// so the leases taken under the old number are let go of first.
		n.log("incarnation_raised", "from", n.Inc, "above", s.Inc)
		n.Inc = s.Inc + 1
		for _, name := range sorted(n.duties) {
			n.dropDuty(n.duties[name], "incarnation_raised")
		}
		for _, name := range sorted(n.agents) { // those beside their workers: owners hear no lower epoch than before
			n.agents[name].epoch = n.Inc
		}
		n.gossipAt = 0
	}
	if s.Name == n.Name || s.Name == "" {
		return
	}
	old := n.siblings[s.Name]
	if old != nil && (s.Inc < old.Inc || s.Inc == old.Inc && s.Beat <= old.Beat) {
		return
	}
	if old == nil {
		n.log("sibling_new", "sibling", s.Name, "site", s.Site, "addr", s.Addr)
	}
	n.siblings[s.Name] = &siblingState{sibling: s, heardMs: n.now}
	n.index(n.siblings[s.Name])
}

func (n *node) siteOf(name string) string {
	if name == n.Name {
		return n.Site
	}
	if s := n.siblings[name]; s != nil {
		return s.Site
	}
	return ""
}

func (n *node) learnCore(c coreSet) {
	if c.Cluster == 0 || n.core.Cluster != 0 && c.Cluster != n.core.Cluster || c.Version <= n.core.Version {
		return
	}
	if n.store != nil && c.Cluster == n.store.set.Cluster && c.Version < n.store.set.Version {
		return // at a start, before the set on disk was taken up
	}
	was, first := n.inCore(), n.core.Cluster == 0
	settles := len(c.Members) == n.coreGoal() && len(n.core.Members) > n.coreGoal() && c.Members[len(c.Members)-1].Name == n.Name
	n.awaitPolls(c)
	n.core = c
	if first {
		n.forming = nil
		defer n.tellCore()
	}
	for m := range n.poll.clocks { // clocks of former members have no say
		if !slices.Contains(memberNames(c), m) {
			delete(n.poll.clocks, m)
			delete(n.poll.slowMs, m)
		}
	}
	n.coreMoved()
	n.log("core_set", "version", c.Version, "members", memberNames(c))
	if n.store != nil && n.store.cluster == c.Cluster {
		// A joined member waits one lease before it grants. At the very first
		// set there is nothing to wait for: had this disk granted anything
		// under it, the set would have been synced before.
		formed := c.Version == 1 && n.store.set.Version == 0
		n.store.learnSet(n, c)
		if (!was || settles) && n.inCore() && !formed {
			n.store.guardMs, n.store.startMs = n.now+leaseMs, n.now
		}
	}
}

// awaitPolls counts the silence of a set's new members from now on.
func (n *node) awaitPolls(c coreSet) {
	for _, m := range c.Members {
		if !n.core.has(m.Name, m.DiskID) {
			n.poll.heard(m.Name, n.now)
		}
	}
}

// coreMoved begins anew what members under the former set acknowledged only
// in part: a majority counts within one set, and one that left may be back
// under its old name with an empty disk.
func (n *node) coreMoved() {
	n.restartOps()
	for _, sl := range n.owned {
		if !sl.serving {
			sl.sealed, sl.doubts, sl.doubtOp, sl.sealSent = map[string]map[string]record{}, map[string]map[string]bool{}, map[uint64]string{}, 0
		}
		for _, b := range sl.writes {
			if !b.done {
				b.acked, b.sentMs = map[string]bool{}, 0
			}
		}
	}
}

// onSealedNow and onWroteNow drop what a member said under another set.
func (n *node) onSealedNow(from string, m *sealedMsg) {
	if m.CoreVer == n.core.Version {
		n.onSealed(from, m)
	}
}

func (n *node) onWroteNow(from string, m *wroteMsg) {
	if m.CoreVer == n.core.Version {
		n.onWrote(from, m)
	}
}

// tellCore spreads a set that was just learned, so that a first start or a new
// daemon waits for no round of gossip: to its members, and to whom we watch.
func (n *node) tellCore() {
	told := map[string]bool{n.Name: true}
	for _, name := range append(n.watched(), memberNames(n.core)...) {
		if !told[name] {
			told[name] = true
			n.send(name, n.gossip(false))
		}
	}
}

func memberNames(c coreSet) []string {
	var out []string
	for _, m := range c.Members {
		out = append(out, m.Name)
	}
	return out
}

// majority is how many of the core must agree; a set of two needs both.
func (c coreSet) majority() int { return len(c.Members)/2 + 1 }

func (c coreSet) has(name string, diskID uint64) bool {
	return slices.Contains(c.Members, coreMember{name, diskID})
}

func (n *node) inCore() bool {
	return n.store != nil && n.diskFailed == "" && n.store.cluster != 0 && n.core.has(n.Name, n.DiskID)
}
