package daemon

import (
	"otterchute/internal/codec"
	"otterchute/internal/quorum"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
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
	set     quorum.Set
	votes   map[string]bool // members that voted for it
	sinceMs int64           // since when this disk is bound by its vote
	sentMs  int64
}

// coreGoal is how many disks are to hold the state: an odd number, since an
// even one bears no more losses than the odd one below it.
func (n *node) coreGoal() int {
	if n.CoreSize > 0 {
		return n.CoreSize - 1 + n.CoreSize%2
	}
	return coreSize
}

// spreadOverZones picks so many disks, spread over the sites as evenly as possible: in
// turns through the sites in the order of their names, each turn the lowest
// name that is left. No site gets more than its even share while another has
// disks to give, so a site's loss leaves a majority wherever that is possible.
func spreadOverZones(disks []wire.Peer, most int) []quorum.Member {
	bySite := map[string][]quorum.Member{}
	for _, d := range disks {
		bySite[d.Zone] = append(bySite[d.Zone], quorum.Member{Name: d.Name, DiskID: d.DiskID})
	}
	var out []quorum.Member
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
	slices.SortFunc(out, func(a, b quorum.Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (n *node) tickFormation() {
	if n.store == nil || n.diskFailed != "" || n.core.Cluster != 0 {
		n.forming = nil
		return
	}
	if n.store.Set().Version != 0 { // a restart: the disk knows the set
		n.core = n.store.Set()
		n.granter.Guard(n.now)
		n.log("core_set", "version", n.core.Version, "members", n.core.Names())
		return
	}
	if len(n.store.Formed().Members) > 0 {
		n.driveFormation()
		return
	}
	n.forming = nil
	var disks []wire.Peer
	key := ""
	for _, name := range n.peers.AliveNames() {
		s := n.peers.Describe(name)
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
	set := quorum.Set{Cluster: n.rand().Uint64() | 1, Version: 1, Members: spreadOverZones(disks, n.coreGoal())}
	for _, d := range disks {
		if !slices.Contains(set.Shards, d.Zone) {
			set.Shards = append(set.Shards, d.Zone)
		}
	}
	slices.Sort(set.Shards)
	if set.Members[0].Name == n.Name { // one proposes: the lowest name among the members
		n.voteFor(set)
	}
}

// voteFor binds this disk to a formation; its own word comes back once that is synced.
func (n *node) voteFor(set quorum.Set, then ...effect) {
	n.forming = &formation{set: set, votes: map[string]bool{}, sinceMs: n.now}
	if first := set.Members[0].Name; first != n.Name {
		n.forming.votes[first] = true // who proposed it had synced its vote before it asked
	}
	n.persist([]statestore.Entry{{Kind: statestore.EntryForm, Value: codec.Append(nil, set)}}, append(then, n.sendEffect(n.Name, &wire.FormResponse{Cluster: set.Cluster, OK: true}))...)
}

// driveFormation asks for the members' votes: the first member at once, each
// later one only if it hasn't heard of an end for longer.
func (n *node) driveFormation() {
	if n.forming == nil { // a restart with a vote on disk
		n.forming = &formation{set: n.store.Formed(), votes: map[string]bool{n.Name: true, n.store.Formed().Members[0].Name: true}, sinceMs: n.now}
	}
	f := n.forming
	turn := int64(slices.Index(f.set.Members, quorum.Member{Name: n.Name, DiskID: n.DiskID}))
	if !f.votes[n.Name] || n.now-f.sinceMs < turn*formTurnMs || n.now-f.sentMs < formAgainMs && f.sentMs != 0 {
		return
	}
	f.sentMs = n.now
	for _, m := range f.set.Members {
		if m.Name != n.Name && !f.votes[m.Name] {
			n.send(m.Name, &wire.FormRequest{Set: f.set})
		}
	}
}

// onForm votes. Members of a formation that failed are told so and go free.
func (n *node) onForm(from string, m *wire.FormRequest) {
	if n.store == nil || n.diskFailed != "" || !m.Set.Has(n.Name, n.DiskID) {
		return
	}
	id := m.Set.Cluster
	against := func() {
		n.forming = nil
		n.persist([]statestore.Entry{{Kind: statestore.EntryRefused, Epoch: id}}, n.sendEffect(from, &wire.FormResponse{Cluster: id}))
	}
	switch {
	case n.core.Cluster == id || n.store.Set().Cluster == id && n.store.Set().Version != 0:
		n.send(from, n.peers.Table(false)) // it stands
	case m.Failed:
		if n.store.Formed().Cluster == id {
			n.forming = nil
		}
		n.persist([]statestore.Entry{{Kind: statestore.EntryRefused, Epoch: id}})
	case n.store.Refused(id):
		n.persist(nil, n.sendEffect(from, &wire.FormResponse{Cluster: id}))
	case n.store.Formed().Cluster == id:
		n.persist(nil, n.sendEffect(from, &wire.FormResponse{Cluster: id, OK: true}))
	case n.store.Cluster() != 0 || n.core.Cluster != 0: // bound to another
		n.persist([]statestore.Entry{{Kind: statestore.EntryRefused, Epoch: id}}, n.sendEffect(from, &wire.FormResponse{Cluster: id}))
	case !n.FirstStart:
		against()
	default:
		n.voteFor(m.Set, n.sendEffect(from, &wire.FormResponse{Cluster: id, OK: true}))
	}
}

func (n *node) onFormResponse(from string, m *wire.FormResponse) {
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
				then = append(then, n.sendEffect(mem.Name, &wire.FormRequest{Set: f.set, Failed: true}))
			}
		}
		n.persist([]statestore.Entry{{Kind: statestore.EntryRefused, Epoch: f.set.Cluster}}, then...)
		return
	}
	f.votes[from] = true
	if len(f.votes) < len(f.set.Members) {
		return
	}
	set := f.set
	n.forming = nil
	n.persist([]statestore.Entry{{Kind: statestore.EntrySet, Value: codec.Append(nil, set)}})
	n.core = set
	n.log("cluster_formed", "cluster", set.Cluster, "members", set.Names(), "slices", set.Shards)
	n.peers.BroadcastCoreSet()
}
