package membership

import (
	"maps"
	"slices"
	"strings"

	"otterchute/internal/quorum"
	"otterchute/internal/statestore"
	"otterchute/internal/step"
	"otterchute/internal/wire"
)

// A core begins as a formation: a cluster number and its first members. Each of
// the named members votes on it once, for or against, and its disk keeps that. A
// formation stands exactly if all its members voted for it, and has failed exactly
// if one voted against; so any member can bring it to its end when the one that
// proposed it is gone, and all come to the same. A disk votes for a formation only
// while it has no vote for another that may still stand: of two formations that
// share a member at most one ever does. Members are the lowest names of each zone,
// so two proposers that see the fleet differently still share some, unless neither
// hears of any the other takes.

// formation is one that this disk voted for.
type formation struct {
	set     quorum.Set
	votes   map[string]bool // members that voted for it
	sinceMs int64           // since when this disk is bound by its vote
	sentMs  int64
}

// spreadOverZones picks so many disks, spread over the zones as evenly as possible:
// in turns through the zones in the order of their names, each turn the lowest name
// that is left. No zone gets more than its even share while another has disks to
// give, so a zone's loss leaves a majority wherever that is possible.
func spreadOverZones(disks []wire.Peer, count int) []quorum.Member {
	byZone := map[string][]quorum.Member{}
	for _, d := range disks {
		byZone[d.Zone] = append(byZone[d.Zone], quorum.Member{Name: d.Name, DiskID: d.DiskID})
	}
	zones := slices.Sorted(maps.Keys(byZone))
	var out []quorum.Member
	for before := -1; len(out) < count && len(out) > before; {
		before = len(out)
		for _, zone := range zones {
			if list := byZone[zone]; len(list) > 0 && len(out) < count {
				out, byZone[zone] = append(out, list[0]), list[1:]
			}
		}
	}
	slices.SortFunc(out, func(a, b quorum.Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// TickFormation takes up the set that the disk knows, or takes part in forming the
// first one.
func (m *Manager) TickFormation() {
	if !m.host.DiskWorks() || m.host.CoreSet().Cluster != 0 {
		m.forming = nil
		return
	}
	store := m.host.Store()
	if set := store.CoreSet(); set.Version != 0 { // a restart
		m.host.RestoreCoreSet(set)
		return
	}
	if len(store.Formation().Members) > 0 {
		m.driveFormation()
		return
	}
	m.forming = nil
	disks := m.emptyDisks()
	if len(disks) < m.size || m.host.NowMs()-m.stableMs < formStableMs {
		return
	}
	set := m.firstSet(disks)
	if set.Members[0].Name == m.name { // one proposes: the lowest name among the members
		m.voteFor(set)
	}
}

// emptyDisks returns the empty disks of daemons at their first start, and notes
// since when they are the same.
func (m *Manager) emptyDisks() (disks []wire.Peer) {
	seen := ""
	for _, name := range m.peers.AliveNames() {
		if p := m.peers.Describe(name); p.Disk && p.EmptyDisk {
			disks = append(disks, p)
			seen += p.Name + " "
		}
	}
	if seen != m.emptySeen {
		m.emptySeen, m.stableMs = seen, m.host.NowMs()
	}
	return disks
}

// firstSet returns the set to be formed of these disks, with a shard for each of
// their zones.
func (m *Manager) firstSet(disks []wire.Peer) quorum.Set {
	set := quorum.Set{Cluster: m.host.Rand().Uint64() | 1, Version: 1, Members: spreadOverZones(disks, m.size)}
	for _, d := range disks {
		if !slices.Contains(set.Shards, d.Zone) {
			set.Shards = append(set.Shards, d.Zone)
		}
	}
	slices.Sort(set.Shards)
	return set
}

// voteFor binds this disk to a formation; its own vote comes back once that is synced.
func (m *Manager) voteFor(set quorum.Set, then ...step.Message) {
	m.forming = &formation{set: set, votes: map[string]bool{}, sinceMs: m.host.NowMs()}
	if first := set.Members[0].Name; first != m.name {
		m.forming.votes[first] = true // who proposed it had synced its vote before it asked
	}
	own := step.Message{To: m.name, Msg: &wire.FormResponse{Cluster: set.Cluster, OK: true}}
	m.host.Persist([]statestore.Entry{{Kind: statestore.EntryFormationVote, Value: set.Encode()}}, append(then, own)...)
}

// refuse votes against a formation, for good, and tells so once that is synced.
func (m *Manager) refuse(cluster uint64, then ...step.Message) {
	m.host.Persist([]statestore.Entry{{Kind: statestore.EntryFormationRefused, Epoch: cluster}}, then...)
}

// driveFormation asks for the members' votes: the first member at once, each later
// one only if it hasn't heard of an end for longer.
func (m *Manager) driveFormation() {
	now := m.host.NowMs()
	if m.forming == nil { // a restart with a vote on disk
		formed := m.host.Store().Formation()
		m.forming = &formation{set: formed, votes: map[string]bool{m.name: true, formed.Members[0].Name: true}, sinceMs: now}
	}
	f := m.forming
	turn := int64(slices.Index(f.set.Members, m.member()))
	if !f.votes[m.name] || now-f.sinceMs < turn*formTurnMs || now-f.sentMs < formAgainMs && f.sentMs != 0 {
		return
	}
	f.sentMs = now
	for _, member := range f.set.Members {
		if member.Name != m.name && !f.votes[member.Name] {
			m.host.Send(member.Name, &wire.FormRequest{Set: f.set})
		}
	}
}

// OnFormRequest votes. Members of a formation that failed are told so and go free.
func (m *Manager) OnFormRequest(from string, r *wire.FormRequest) {
	if !m.host.DiskWorks() || !r.Set.Has(m.name, m.host.Self().DiskID) {
		return
	}
	store, id := m.host.Store(), r.Set.Cluster
	vote := func(ok bool) step.Message {
		return step.Message{To: from, Msg: &wire.FormResponse{Cluster: id, OK: ok}}
	}
	core := m.host.CoreSet().Cluster
	switch {
	case core == id || store.CoreSet().Cluster == id && store.CoreSet().Version != 0:
		m.host.Send(from, m.peers.Table(false)) // it stands
	case r.Failed:
		if store.Formation().Cluster == id {
			m.forming = nil
		}
		m.refuse(id)
	case store.Refused(id):
		m.host.Persist(nil, vote(false))
	case store.Formation().Cluster == id:
		m.host.Persist(nil, vote(true))
	case store.Cluster() != 0 || core != 0: // bound to another
		m.refuse(id, vote(false))
	case !m.host.FirstStart():
		m.forming = nil
		m.refuse(id, vote(false))
	default:
		m.voteFor(r.Set, vote(true))
	}
}

// OnFormResponse takes a vote.
func (m *Manager) OnFormResponse(from string, r *wire.FormResponse) {
	f := m.forming
	if f == nil || r.Cluster != f.set.Cluster || m.host.CoreSet().Cluster != 0 {
		return
	}
	if !r.OK { // it never stands: all may vote anew
		m.onFormationFailed(f, from)
		return
	}
	f.votes[from] = true
	if len(f.votes) < len(f.set.Members) {
		return
	}
	m.forming = nil
	m.host.Persist([]statestore.Entry{{Kind: statestore.EntryCoreSet, Value: f.set.Encode()}})
	m.host.BeginCluster(f.set)
	m.host.Log("cluster_formed", "cluster", f.set.Cluster, "members", f.set.Names(), "shards", f.set.Shards)
	m.peers.BroadcastCoreSet()
}

// onFormationFailed tells the other members that one voted against.
func (m *Manager) onFormationFailed(f *formation, against string) {
	m.host.Log("formation_failed", "cluster", f.set.Cluster, "against", against)
	m.forming = nil
	m.stableMs = m.host.NowMs() + m.host.Rand().Int64N(formTurnMs)
	var then []step.Message
	for _, member := range f.set.Members {
		if member.Name != m.name && member.Name != against {
			then = append(then, step.Message{To: member.Name, Msg: &wire.FormRequest{Set: f.set, Failed: true}})
		}
	}
	m.refuse(f.set.Cluster, then...)
}
