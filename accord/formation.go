package main

import (
	"slices"
	"strings"
)

// A core begins as a formation: a cluster number and its first members. Each
// of the named members votes on it once, for or against, and its disk keeps
// that. A formation stands exactly if all its members voted for it, and has
// failed exactly if one voted against; so any member can bring it to its end
// when the one that proposed it is gone, and all come to the same. A disk votes
// for a formation only while it has no vote for another that may still stand:
// of two formations that share a member at most one ever does. Members are the
// lowest names of each site, so two proposers that see the fleet differently
// still share some, unless neither hears of any the other takes.
type formation struct {
	set    coreSet
	votes  map[string]bool // members that voted for it
	sinceM int64           // since when this disk is bound by its vote
	sentMs int64
}

// coreGoal is how many disks are to hold the state: an odd number, since an
// even one bears no more losses than the odd one below it.
func (n *node) coreGoal() int {
	if n.CoreSize > 0 {
		return n.CoreSize - 1 + n.CoreSize%2
	}
	return coreSize
}

// spread picks so many disks, spread over the sites as evenly as possible: in
// turns through the sites in the order of their names, each turn the lowest
// name that is left. No site gets more than its even share while another has
// disks to give, so a site's loss leaves a majority wherever that is possible.
func spread(disks []sibling, most int) []coreMember {
	bySite := map[string][]coreMember{}
	for _, d := range disks {
		bySite[d.Site] = append(bySite[d.Site], coreMember{d.Name, d.DiskID})
	}
	var out []coreMember
	for len(out) < most {
		before := len(out)
		for _, site := range sorted(bySite) {
			if list := bySite[site]; len(list) > 0 && len(out) < most {
				out, bySite[site] = append(out, list[0]), list[1:]
			}
		}
		if len(out) == before {
			break
		}
	}
	slices.SortFunc(out, func(a, b coreMember) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (n *node) tickFormation() {
	if n.store == nil || n.diskFailed != "" || n.core.Cluster != 0 {
		n.forming = nil
		return
	}
	if n.store.set.Version != 0 { // a restart: the disk knows the set
		n.core = n.store.set
		n.store.guardMs, n.store.startMs = n.now+leaseMs, n.now
		n.log("core_set", "version", n.core.Version, "members", memberNames(n.core))
		return
	}
	if len(n.store.formed.Members) > 0 {
		n.driveFormation()
		return
	}
	n.forming = nil
	var disks []sibling
	key := ""
	for _, name := range n.liveNames() {
		s := n.self()
		if name != n.Name {
			s = n.siblings[name].sibling
		}
		if s.Disk && s.Empty { // and at its first start, see self
			disks = append(disks, s)
			key += s.Name + " "
		}
	}
	if key != n.formKey {
		n.formKey, n.formSince = key, n.now
	}
	if len(disks) < n.coreGoal() || n.now-n.formSince < formStableMs {
		return
	}
	set := coreSet{Cluster: n.rand().Uint64() | 1, Version: 1, Members: spread(disks, n.coreGoal())}
	for _, d := range disks {
		if !slices.Contains(set.Slices, d.Site) {
			set.Slices = append(set.Slices, d.Site)
		}
	}
	slices.Sort(set.Slices)
	if set.Members[0].Name == n.Name { // one proposes: the lowest name among the members
		n.voteFor(set)
	}
}

// voteFor binds this disk to a formation; its own word comes back once that is synced.
func (n *node) voteFor(set coreSet, then ...effect) {
	n.forming = &formation{set: set, votes: map[string]bool{}, sinceM: n.now}
	if first := set.Members[0].Name; first != n.Name {
		n.forming.votes[first] = true // who proposed it had synced its vote before it asked
	}
	n.keep([]logEntry{{Kind: entryForm, Value: pack(nil, set)}}, append(then, n.sendEffect(n.Name, &formedMsg{Cluster: set.Cluster, OK: true}))...)
}

// driveFormation asks for the members' votes: the first member at once, each
// later one only if it hasn't heard of an end for longer.
func (n *node) driveFormation() {
	if n.forming == nil { // a restart with a vote on disk
		n.forming = &formation{set: n.store.formed, votes: map[string]bool{n.Name: true, n.store.formed.Members[0].Name: true}, sinceM: n.now}
	}
	f := n.forming
	turn := int64(slices.Index(f.set.Members, coreMember{n.Name, n.DiskID}))
	if !f.votes[n.Name] || n.now-f.sinceM < turn*formTurnMs || n.now-f.sentMs < formAgainMs && f.sentMs != 0 {
		return
	}
	f.sentMs = n.now
	for _, m := range f.set.Members {
		if m.Name != n.Name && !f.votes[m.Name] {
			n.send(m.Name, &formMsg{Set: f.set})
		}
	}
}

// onForm votes. Members of a formation that failed are told so and go free.
func (n *node) onForm(from string, m *formMsg) {
	if n.store == nil || n.diskFailed != "" || !m.Set.has(n.Name, n.DiskID) {
		return
	}
	id := m.Set.Cluster
	against := func() {
		n.forming = nil
		n.keep([]logEntry{{Kind: entryAgainst, Epoch: id}}, n.sendEffect(from, &formedMsg{Cluster: id}))
	}
	switch {
	case n.core.Cluster == id || n.store.set.Cluster == id && n.store.set.Version != 0:
		n.send(from, n.gossip(false)) // it stands
	case m.Dead:
		if n.store.formed.Cluster == id {
			n.forming = nil
		}
		n.keep([]logEntry{{Kind: entryAgainst, Epoch: id}})
	case n.store.refused[id]:
		n.keep(nil, n.sendEffect(from, &formedMsg{Cluster: id}))
	case n.store.formed.Cluster == id:
		n.keep(nil, n.sendEffect(from, &formedMsg{Cluster: id, OK: true}))
	case n.store.cluster != 0 || n.core.Cluster != 0: // bound to another
		n.keep([]logEntry{{Kind: entryAgainst, Epoch: id}}, n.sendEffect(from, &formedMsg{Cluster: id}))
	case !n.FirstStart:
		against()
	default:
		n.voteFor(m.Set, n.sendEffect(from, &formedMsg{Cluster: id, OK: true}))
	}
}

func (n *node) onFormed(from string, m *formedMsg) {
	f := n.forming
	if f == nil || m.Cluster != f.set.Cluster || n.core.Cluster != 0 {
		return
	}
	if !m.OK { // it never stands: all may vote anew
		n.log("formation_failed", "cluster", f.set.Cluster, "against", from)
		n.forming = nil
		n.formSince = n.now + n.rand().Int64N(formTurnMs)
		then := make([]effect, 0, len(f.set.Members))
		for _, mem := range f.set.Members {
			if mem.Name != n.Name && mem.Name != from {
				then = append(then, n.sendEffect(mem.Name, &formMsg{Set: f.set, Dead: true}))
			}
		}
		n.keep([]logEntry{{Kind: entryAgainst, Epoch: f.set.Cluster}}, then...)
		return
	}
	f.votes[from] = true
	if len(f.votes) < len(f.set.Members) {
		return
	}
	set := f.set
	n.forming = nil
	n.keep([]logEntry{{Kind: entrySet, Value: pack(nil, set)}})
	n.core = set
	n.log("cluster_formed", "cluster", set.Cluster, "members", memberNames(set), "slices", set.Slices)
	n.tellCore()
}
