package main

import (
	"cmp"
	"slices"
	"strconv"
)

// joining is a spare disk's way into the core: the missing member leaves the
// set, all is copied from a majority of those left, then the set takes the new
// one in. A set is full or lacks one member, never more.
//
// Why a majority of those left is enough. The full set has k=2f+1 members. What
// was acknowledged under it is held by f+1 of them, so by f of the 2f left,
// whoever left; a majority of those is f+1, and f+(f+1) is above 2f: the copy
// meets every such write. With the copy it is at f+1 of 2f+1 again. What is
// acknowledged while the set lacks one is held by f+1 of the 2f, which with or
// without the copy is a majority of the full set after it. So all that was
// acknowledged is at a majority before the next member may leave. For k=3 both
// that are left are copied. This holds as long as the acknowledgements that
// make a majority come from members under one set: see coreMoved.
type joining struct {
	ver    int64                 // of the core set that is copied: another set's copies say nothing
	goneMs int64                 // since when a member is missing
	at     map[string]copyCursor // member -> the part of its copy that is awaited
	done   map[string]bool       // members whose copy is whole and synced
	op     uint64
	sentMs int64
	casAt  int64
}

func (n *node) tickJoining() {
	if n.store == nil || n.diskFailed != "" || n.core.Cluster == 0 || n.inCore() {
		n.joining = nil
		return
	}
	if n.store.set.has(n.Name, n.DiskID) {
		// This disk once was a member and was replaced: what it holds is old,
		// and an old acceptance must not stand beside newer ones.
		n.startOver()
		return
	}
	missing, wiped := -1, false
	for i, m := range n.core.Members {
		s := n.siblings[m.Name]
		if m.Name == n.Name || s != nil && s.DiskID != m.DiskID && n.live(m.Name) {
			missing, wiped = i, true
		} else if (!n.live(m.Name) || n.quietMember(m.Name)) && missing < 0 {
			missing = i
		}
	}
	full := len(n.core.Members) >= n.coreGoal()
	if missing < 0 && full {
		n.joining = nil
		return
	}
	if n.joining == nil || n.joining.ver != n.core.Version {
		n.joining = &joining{ver: n.core.Version, goneMs: n.now, at: map[string]copyCursor{}, done: map[string]bool{}}
	}
	j := n.joining
	if full {
		wait := int64(replaceMs)
		if wiped {
			wait = 2 * gossipMs
		} else if n.quietMember(n.core.Members[missing].Name) {
			wait = 0 // this machine was brought in its place
		}
		if n.now-j.goneMs < wait+n.spareRank(n.core.Members[missing].Name)*spareStepMs || n.now < j.casAt {
			return
		}
		next := n.core
		next.Members = slices.Delete(slices.Clone(next.Members), missing, missing+1)
		next.Version++
		j.casAt = n.now + casMs
		n.startCas("core", "core", pack(nil, next), n.core.Version)
		return
	}
	if n.now-j.goneMs < n.spareRank("")*spareStepMs {
		return
	}
	if len(j.done) < n.core.majority() {
		if j.op == 0 {
			n.opSeq++
			j.op = n.opSeq
		}
		if n.now-j.sentMs > copyAgainMs {
			j.sentMs = n.now
			for _, m := range n.core.Members {
				if !j.done[m.Name] {
					n.send(m.Name, &copyMsg{CoreVer: n.core.Version, Op: j.op, At: j.at[m.Name]})
				}
			}
		}
		return
	}
	if n.now < j.casAt {
		return
	}
	next := n.core
	next.Members = append(slices.Clone(next.Members), coreMember{n.Name, n.DiskID})
	next.Version++
	j.casAt = n.now + casMs
	n.startCas("core", "core", pack(nil, next), n.core.Version)
}

// quietMember tells whether a member answers none of this daemon's polls while a
// majority does, and this disk is empty though the fleet is not new: then it was
// most likely brought in that member's place, and need not wait as long as a
// disk that stood by before. If the member is back after all it becomes a spare.
func (n *node) quietMember(name string) bool {
	return !n.FirstStart && n.store.set.Version == 0 && n.poll.firstMs != 0 && n.now-n.poll.okMs < 2*pollAsideMs &&
		n.now-max(n.poll.heardMs[name], n.poll.firstMs) > quietMs
}

// spareRank orders the live disks outside the core: the first goes at once, the
// others only if it doesn't. One that comes back under the missing member's
// name is first, then those in the sites with the fewest members.
func (n *node) spareRank(missing string) int64 {
	members := map[string]int{}
	for _, m := range n.core.Members {
		if m.Name != missing {
			members[n.siteOf(m.Name)]++
		}
	}
	var spares []sibling
	for _, name := range n.liveNames() {
		s := n.self()
		if name != n.Name {
			s = n.siblings[name].sibling
		}
		if s.Disk && !s.Leaving && !n.core.has(s.Name, s.DiskID) {
			spares = append(spares, s)
		}
	}
	key := "core" + strconv.FormatInt(n.core.Version, 10)
	slices.SortFunc(spares, func(a, b sibling) int {
		return cmp.Or(boolRank(a.Name != missing, b.Name != missing), cmp.Compare(members[a.Site], members[b.Site]),
			cmp.Compare(weight(key, b.Name), weight(key, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return int64(max(0, slices.IndexFunc(spares, func(s sibling) bool { return s.Name == n.Name })))
}

func boolRank(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

func (n *node) onCopy(from string, m *copyMsg) {
	if !n.serves(m.CoreVer) {
		return
	}
	at := m.At
	if at.Life != n.Inc { // the copy begins, or begins again since this daemon has restarted
		at = copyCursor{}
	}
	part, next := n.store.part(at, chunkBytes)
	if next.Slice != "" {
		next.Life = n.Inc
	}
	n.keep(nil, n.sendEffect(from, &copiedMsg{Op: m.Op, At: m.At, Next: next, Entries: part}))
}

// onCopied keeps one part of a survivor's copy, and asks for the next once it is
// synced. The highest of both survivors wins entry by entry.
func (n *node) onCopied(from string, m *copiedMsg) {
	j := n.joining
	if j == nil || j.op != m.Op {
		return
	}
	if from == n.Name { // our own word that a member's last part is synced
		j.done[m.Whole] = true
		n.log("core_copied", "from", m.Whole)
		return
	}
	if j.at[from] != m.At || j.done[from] {
		return
	}
	j.at[from], j.sentMs = m.Next, n.now
	if m.Next.Slice != "" {
		n.keep(m.Entries, n.sendEffect(from, &copyMsg{CoreVer: n.core.Version, Op: j.op, At: m.Next}))
		return
	}
	n.keep(m.Entries, n.sendEffect(n.Name, &copiedMsg{Op: m.Op, Whole: from}))
}

// startOver makes this daemon's disk a new, empty one.
func (n *node) startOver() {
	n.DiskID, n.store, n.joining, n.forming = n.rand().Uint64()|1, newStore(), nil, nil
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
		n.startOver()
	case e.Recovered:
		n.log("disk_recovered", "reason", n.diskFailed)
		n.diskFailed = ""
	}
	n.gossipAt = 0 // the others hear of it at once
}
