package daemon

import (
	"cmp"
	"otterchute/internal/cluster"
	"otterchute/internal/codec"
	"otterchute/internal/lease"
	"otterchute/internal/quorum"
	"otterchute/internal/rendezvous"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
	"slices"
	"strconv"
)

// Membership of the core changes by one member at a time, each change a compare
// and swap of the register "core" at a majority of the set it replaces. So
// consecutive sets share a member in any two of their majorities, and a member
// answers only requests made under the set it knows (see serves): two sets that
// both reach a majority are the same or neighbours. Let the full set have k=2f+1
// members. A seat is refilled in one of two ways.
//
// The seat's member doesn't answer (it is gone, wiped, or its disk failed):
// remove, copy, add. What was acknowledged under the full set is held by f+1 of
// its members, so by f of the 2f left, whoever left; a majority of those is f+1,
// and f+(f+1) > 2f: a copy of a majority of those left meets every such write.
// With the copy it is at f+1 of 2f+1 again. What is acknowledged while the set
// lacks one is held by f+1 of the 2f, which with or without the copy is a
// majority of the full set after it. The set of 2f bears f-1 losses, as many as
// the full one with one member gone: removing it takes no loss away that could be
// borne. It does take away what the member still has, should it come back; so the
// spare shows first, by a whole copy under the full set, that it can take the
// seat (but for a wiped member, which has nothing). A spare that then stalls leaves
// a majority of 2f, which needs none of it.
//
// The seat's member answers but leaves: copy, add, copy, remove. The set of 2f+2
// has majorities of f+2, so it bears f losses like the full one, at any moment,
// the spare's or the leaving member's among them. What was acknowledged under the
// full set is at f+1 of its 2f+1 members, and every f+2 of the 2f+2 include f+1 of
// those: nothing hangs on the spare yet. Before the removal the spare copies once
// more, under the larger set, from f+1 other members: each answers under it only
// after its last acknowledgement under the full set, and f+1 of 2f+1 meet each of
// those. So all that was acknowledged under the full set is at f others, at the
// least, and the spare; and what is acknowledged under the larger set is at f+2 of
// it, f+1 without the leaving member: a majority after the removal either way.
// If nobody leaves after all, or the newest member fails, that one is removed
// again, which needs no copy: f+2 less one is f+1 of the rest, and what was
// acknowledged under the full set stood there without it. The leaving member stays
// until it is out, and if that takes too long it removes the newest one before it
// ends; so a set never stays larger than full with a member gone. What isn't
// borne: while the set is 2f+2 (some 0.3 s) f+1 losses, as the end of the leaving
// member by itself together with f others; and a zone that holds both the leaving
// member and the spare, for f=1, stops the core until it is back, losing nothing.
//
// Leases are in memory only, so a new member grants none before one lease has
// passed: since it joined, and, where it joined a larger set, since that set
// became full. Until then every majority includes one who knew of the lease. For
// what belongs to one set and what to the next see onCoreSetChanged.

// learner is what a spare knows of its own way into the core, and the newest
// member of a set larger than full of what it has still to do.
type learner struct {
	setVersion   int64                        // of the core set that is copied: another set's copies say nothing
	vacantSince  map[string]int64             // member -> since when its seat can be had
	cursors      map[string]statestore.Cursor // member -> the part of its copy that is awaited
	copied       map[string]bool              // members whose copy is whole and synced
	op           uint64
	sentMs       int64
	nextChangeMs int64
}

// slotState is how surely a member is gone, the surest last.
type slotState int8

const (
	slotOccupied   slotState = iota
	slotDiskFailed           // its disk takes no writes, and may again
	slotSilent               // neither its beats nor its answers to polls come
	slotLeaving              // it was asked to stop
	slotWiped                // it has another disk now
)

// slotStateOf gives the state of a member's seat as it looks from here.
func (n *node) slotStateOf(m quorum.Member) slotState {
	s := n.peers.Get(m.Name)
	switch {
	case m.Name == n.Name && m.DiskID != n.DiskID:
		return slotWiped
	case m.Name == n.Name && n.leavingSince != 0:
		return slotLeaving
	case m.Name == n.Name:
		return slotOccupied
	case s == nil:
		return slotSilent
	case n.peers.Alive(m.Name) && s.DiskID != m.DiskID:
		return slotWiped
	case s.Leaving && !n.longSilent(m.Name):
		return slotLeaving
	case !n.peers.Alive(m.Name) || n.leases.Unresponsive(m.Name, unresponsiveMs) && n.now-s.HeardMs > unresponsiveMs:
		return slotSilent
	case !s.Disk:
		return slotDiskFailed
	}
	return slotOccupied
}

// longSilent tells whether a daemon was silent for so long that what it last said
// of itself counts for nothing.
func (n *node) longSilent(name string) bool {
	s := n.peers.Get(name)
	return s == nil || n.now-s.HeardMs > replaceMs
}

// slotWaitMs is how long a seat stands in its state before a spare goes for it.
func (n *node) slotWaitMs(state slotState) int64 {
	switch {
	case state == slotWiped:
		return 2 * cluster.RoundMs
	case state == slotLeaving, state == slotSilent && n.newcomer:
		return 0
	}
	return replaceMs
}

// vacantSlot gives the place in the core set of the seat that is most surely
// free, or -1, and the state of that seat. A wiped disk goes for its own.
func (n *node) vacantSlot(j *learner) (at int, state slotState) {
	at = -1
	mine := slices.Contains(n.core.Names(), n.Name)
	for i, m := range n.core.Members {
		now := n.slotStateOf(m)
		if now == slotOccupied || mine && m.Name != n.Name {
			delete(j.vacantSince, m.Name)
			continue
		}
		if _, known := j.vacantSince[m.Name]; !known {
			j.vacantSince[m.Name] = n.now
		}
		if now > state && n.now-j.vacantSince[m.Name] >= n.slotWaitMs(now)+n.spareRank(m.Name)*spareStepMs {
			at, state = i, now
		}
	}
	return at, state
}

func (n *node) tickLearner() {
	if n.store == nil || n.diskFailed != "" || n.core.Cluster == 0 {
		n.learner = nil
		return
	}
	if n.inCore() {
		n.tickOversizedSet()
		return
	}
	if n.leavingSince != 0 {
		n.learner = nil
		return
	}
	if n.store.Set().Has(n.Name, n.DiskID) {
		// This disk once was a member and was replaced: what it holds is old,
		// and an old acceptance must not stand beside newer ones.
		n.resetDisk()
		return
	}
	if n.learner == nil || n.learner.setVersion != n.core.Version {
		n.learner = &learner{setVersion: n.core.Version, vacantSince: map[string]int64{"": n.now}, cursors: map[string]statestore.Cursor{}, copied: map[string]bool{}}
	}
	j := n.learner
	switch goal := n.coreGoal(); {
	case len(n.core.Members) < goal:
		if n.now-j.vacantSince[""] >= n.joinWaitMs() && n.copyComplete(j, n.core.Majority()) {
			n.proposeSet(j, n.core.With(quorum.Member{Name: n.Name, DiskID: n.DiskID}))
		}
	case len(n.core.Members) == goal:
		n.claimSlot(j)
	}
}

// joinWaitMs is how long this spare leaves a free seat to those before it. One
// whose own former seat is still to be removed comes last.
func (n *node) joinWaitMs() int64 {
	if slices.Contains(n.core.Names(), n.Name) {
		return int64(len(n.spares())) * spareStepMs
	}
	return n.spareRank("") * spareStepMs
}

// claimSlot goes for a seat of a full set.
func (n *node) claimSlot(j *learner) {
	at, state := n.vacantSlot(j)
	if at < 0 || state != slotWiped && !n.copyComplete(j, n.core.Majority()) {
		return
	}
	if state == slotLeaving && !n.leases.Unresponsive(n.core.Members[at].Name, unresponsiveMs) {
		n.proposeSet(j, n.core.With(quorum.Member{Name: n.Name, DiskID: n.DiskID}))
		return
	}
	n.proposeSet(j, n.core.Without(at))
}

// tickOversizedSet brings a set that is larger than full back to that.
func (n *node) tickOversizedSet() {
	newest := len(n.core.Members) - 1
	if newest < n.coreGoal() {
		n.learner = nil
		return
	}
	if n.learner == nil || n.learner.setVersion != n.core.Version {
		n.learner = &learner{setVersion: n.core.Version, vacantSince: map[string]int64{}, cursors: map[string]statestore.Cursor{}, copied: map[string]bool{}}
	}
	j := n.learner
	if n.core.Members[newest].Name != n.Name {
		late := n.leavingSince != 0 && n.now-n.leavingSince > slotHandoverMs-slotUndoMs
		if late || n.leases.Unresponsive(n.core.Members[newest].Name, unresponsiveMs) {
			n.proposeSet(j, n.core.Without(newest))
		}
		return
	}
	at, state := newest, slotOccupied
	for i, m := range n.core.Members[:newest] {
		if now := n.slotStateOf(m); now > state {
			at, state = i, now
		}
	}
	if at == newest || n.copyComplete(j, n.core.Majority()-1) {
		n.proposeSet(j, n.core.Without(at))
	}
}

// copyComplete tells whether the copies of so many members are whole and synced, and
// asks for them.
func (n *node) copyComplete(j *learner, need int) bool {
	if len(j.copied) >= need {
		return true
	}
	if j.op == 0 {
		n.opSeq++
		j.op = n.opSeq
	}
	if j.sentMs == 0 || n.now-j.sentMs > copyAgainMs {
		j.sentMs = n.now
		for _, m := range n.core.Members {
			if m.Name != n.Name && !j.copied[m.Name] {
				n.send(m.Name, &wire.CopyRequest{SetVersion: n.core.Version, Op: j.op, At: j.cursors[m.Name]})
			}
		}
	}
	return false
}

// proposeSet tries to put another set in the place of the one that is known.
func (n *node) proposeSet(j *learner, next quorum.Set) {
	if n.now < j.nextChangeMs {
		return
	}
	j.nextChangeMs = n.now + changeMs
	n.startChange("core", "core", codec.Append(nil, next), n.core.Version)
}

// awaitsSuccessor tells whether a member that stops is to wait until its seat is
// taken: a spare can have it, or is about to.
func (n *node) awaitsSuccessor() bool {
	if !n.inCore() || n.now-n.leavingSince > slotHandoverMs {
		return false
	}
	if len(n.core.Members) > n.coreGoal() {
		return true
	}
	return len(n.core.Members) == n.coreGoal() && len(n.spares()) > 0
}

// notifySpares lets the spares know at once that this member leaves.
func (n *node) notifySpares() {
	var names []string
	for _, s := range n.spares() {
		names = append(names, s.Name)
	}
	n.peers.AnnounceTo(names)
}

// spares gives the disks outside the core whose daemons were heard of lately: a
// member that was just removed because it is gone is none.
func (n *node) spares() (out []wire.Peer) {
	for _, name := range n.peers.AliveNames() {
		s := n.peers.Describe(name)
		if silentMs, known := n.peers.SilentMs(name); known && silentMs > unresponsiveMs {
			continue
		}
		if s.Disk && !s.Leaving && !n.core.Has(s.Name, s.DiskID) {
			out = append(out, s)
		}
	}
	return out
}

// restartChanges begins changes of registers anew under another set: what members
// of the former one answered counts for nothing.
func (n *node) restartChanges() {
	for _, id := range sorted(n.changes) {
		n.sendAll(n.changes[id].Tick(n.core.RegisterSet(), n.now))
	}
}

// spareRank orders the live disks outside the core: the first goes at once, the
// others only if it doesn't. One that comes back under the missing member's
// name is first, then those in the sites with the fewest members.
func (n *node) spareRank(missing string) int64 {
	members := map[string]int{}
	for _, m := range n.core.Members {
		if m.Name != missing {
			members[n.peers.Zone(m.Name)]++
		}
	}
	spares := n.spares()
	key := "core" + strconv.FormatInt(n.core.Version, 10)
	slices.SortFunc(spares, func(a, b wire.Peer) int {
		return cmp.Or(compareBool(a.Name != missing, b.Name != missing), cmp.Compare(members[a.Zone], members[b.Zone]),
			cmp.Compare(rendezvous.Weight(key, b.Name), rendezvous.Weight(key, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return int64(max(0, slices.IndexFunc(spares, func(s wire.Peer) bool { return s.Name == n.Name })))
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

func (n *node) onCopy(from string, m *wire.CopyRequest) {
	if !n.servesSet(m.SetVersion) {
		return
	}
	at := m.At
	if at.Instance != n.Instance { // the copy begins, or begins again since this daemon has restarted
		at = statestore.Cursor{}
	}
	part, next := n.store.CopyPart(at, statestore.ChunkBytes)
	if next.Shard != "" {
		next.Instance = n.Instance
	}
	n.persist(nil, n.sendEffect(from, &wire.CopyResponse{Op: m.Op, At: m.At, Next: next, Entries: part}))
}

// onCopyResponse keeps one part of a survivor's copy, and asks for the next once it is
// synced. The highest of both survivors wins entry by entry.
func (n *node) onCopyResponse(from string, m *wire.CopyResponse) {
	j := n.learner
	if j == nil || j.op != m.Op {
		return
	}
	if from == n.Name { // our own word that a member's last part is synced
		j.copied[m.Finished] = true
		n.log("core_copied", "from", m.Finished)
		n.tickLearner() // the next step waits for no tick
		return
	}
	if j.cursors[from] != m.At || j.copied[from] {
		return
	}
	j.cursors[from], j.sentMs = m.Next, n.now
	if m.Next.Shard != "" {
		n.persist(m.Entries, n.sendEffect(from, &wire.CopyRequest{SetVersion: n.core.Version, Op: j.op, At: m.Next}))
		return
	}
	n.persist(m.Entries, n.sendEffect(n.Name, &wire.CopyResponse{Op: m.Op, Finished: from}))
}

// resetDisk makes this daemon's disk a new, empty one. Where its seat was taken,
// the fleet has a machine more than before, which was brought for some member's.
func (n *node) resetDisk() {
	n.DiskID, n.store, n.granter, n.learner, n.forming, n.newcomer = n.rand().Uint64()|1, statestore.New(), lease.NewGranter(), nil, nil, true
	n.emit(effWipe{DiskID: n.DiskID})
	n.log("disk_restarted", "disk", n.DiskID)
}

// onDisk follows the disk through a failure. While it is failed this daemon
// counts itself to no majority (see inCore) and tells the others that it has no
// disk. Its store stays as it is, ahead of the disk by what is held up: nothing
// is answered from it until all of that is synced. Its leases stay too: they
// were given in this life and never needed a disk, so no guard is due.
func (n *node) onDisk(e evDisk) {
	switch {
	case e.Failed != "":
		if n.diskFailed == "" {
			n.log("disk_failed", "reason", e.Failed)
		}
		n.diskFailed = e.Failed
	case e.Lost:
		n.log("disk_lost_entries")
		n.resetDisk()
	case e.Recovered:
		n.log("disk_recovered", "reason", n.diskFailed)
		n.diskFailed = ""
	}
	n.peers.GossipSoon() // the others hear of it at once
}
