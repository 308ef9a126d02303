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

// A core is created by a formation: a cluster number and its first members. Each of these members
// votes on it once, for or against, and stores its vote on disk. A formation succeeds if and only
// if all its members voted for it, and fails if and only if one voted against. So any member can
// complete it if the proposer is gone, and all reach the same result. A disk votes for a formation
// only while it has no vote for another that may still succeed: of two formations that share a
// member, at most one succeeds. The members are the lowest names of each zone, so two proposers
// with different views of the cluster still share a member, unless neither has discovered any disk
// that the other selects.

// formation is a formation that this disk voted for.
type formation struct {
	set     quorum.Set
	votes   map[string]bool // members that voted for it
	votedMs int64           // when this disk voted
	sentMs  int64
}

// spreadOverZones selects the given number of disks, spread over the zones as evenly as possible:
// it takes the lowest remaining name of each zone in turn, in the order of the zones' names. No
// zone gets more than its even share while another has disks left, so the loss of a zone leaves a
// majority where that is possible.
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

// TickFormation adopts the set stored on disk, or takes part in forming the first one.
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
		m.advanceFormation()
		return
	}
	m.forming = nil
	disks := m.emptyDisks()
	if len(disks) < m.size || m.host.NowMs()-m.emptyDisksSinceMs < formationStableMs {
		return
	}
	set := m.firstSet(disks)
	if set.Members[0].Name == m.name { // only the lowest name among the members proposes
		m.voteFor(set)
	}
}

// emptyDisks returns the empty disks of live daemons, and records when the list last changed.
func (m *Manager) emptyDisks() (disks []wire.Peer) {
	names := ""
	for _, name := range m.peers.AliveNames() {
		if p := m.peers.Describe(name); p.Disk && p.EmptyDisk {
			disks = append(disks, p)
			names += p.Name + " "
		}
	}
	if names != m.emptyDiskNames {
		m.emptyDiskNames, m.emptyDisksSinceMs = names, m.host.NowMs()
	}
	return disks
}

// firstSet returns the set to form from these disks, with one shard for each of their zones.
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

// voteFor commits this disk to a formation. The daemon receives its own vote as a message once the
// vote is synced.
func (m *Manager) voteFor(set quorum.Set, then ...step.Message) {
	m.forming = &formation{set: set, votes: map[string]bool{}, votedMs: m.host.NowMs()}
	if first := set.Members[0].Name; first != m.name {
		m.forming.votes[first] = true // the proposer synced its vote before it sent the request
	}
	own := step.Message{To: m.name, Msg: &wire.FormResponse{Cluster: set.Cluster, OK: true}}
	m.host.Persist([]statestore.Entry{{Kind: statestore.EntryFormationVote, Value: set.Encode()}}, append(then, own)...)
}

// voteAgainst votes against a formation permanently, and sends the messages once that is synced.
func (m *Manager) voteAgainst(cluster uint64, then ...step.Message) {
	m.host.Persist([]statestore.Entry{{Kind: statestore.EntryFormationRefused, Epoch: cluster}}, then...)
}

// advanceFormation requests the members' votes. The first member does so at once; each later one
// waits longer, and then only does so if the formation has not ended.
func (m *Manager) advanceFormation() {
	now := m.host.NowMs()
	if m.forming == nil { // a restart with a vote on disk
		formed := m.host.Store().Formation()
		m.forming = &formation{set: formed, votes: map[string]bool{m.name: true, formed.Members[0].Name: true}, votedMs: now}
	}
	f := m.forming
	rank := int64(slices.Index(f.set.Members, m.ownMember()))
	if !f.votes[m.name] || now-f.votedMs < rank*formationStaggerMs || now-f.sentMs < formationRetryMs && f.sentMs != 0 {
		return
	}
	f.sentMs = now
	for _, member := range f.set.Members {
		if member.Name != m.name && !f.votes[member.Name] {
			m.host.Send(member.Name, &wire.FormRequest{Set: f.set})
		}
	}
}

// OnFormRequest votes on a formation. A request that reports a failed formation releases this disk
// from its vote.
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
		m.host.Send(from, m.peers.Table(false)) // it has succeeded
	case r.Failed:
		if store.Formation().Cluster == id {
			m.forming = nil
		}
		m.voteAgainst(id)
	case store.Refused(id):
		m.host.Persist(nil, vote(false))
	case store.Formation().Cluster == id:
		m.host.Persist(nil, vote(true))
	case store.Cluster() != 0 || core != 0: // committed to another formation
		m.voteAgainst(id, vote(false))
	case !m.host.FirstStart():
		m.forming = nil
		m.voteAgainst(id, vote(false))
	default:
		m.voteFor(r.Set, vote(true))
	}
}

// OnFormResponse handles a member's vote.
func (m *Manager) OnFormResponse(from string, r *wire.FormResponse) {
	f := m.forming
	if f == nil || r.Cluster != f.set.Cluster || m.host.CoreSet().Cluster != 0 {
		return
	}
	if !r.OK { // it never succeeds; all members may vote on another
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

// onFormationFailed notifies the other members that one voted against.
func (m *Manager) onFormationFailed(f *formation, against string) {
	m.host.Log("formation_failed", "cluster", f.set.Cluster, "against", against)
	m.forming = nil
	m.emptyDisksSinceMs = m.host.NowMs() + m.host.Rand().Int64N(formationStaggerMs)
	var then []step.Message
	for _, member := range f.set.Members {
		if member.Name != m.name && member.Name != against {
			then = append(then, step.Message{To: member.Name, Msg: &wire.FormRequest{Set: f.set, Failed: true}})
		}
	}
	m.voteAgainst(f.set.Cluster, then...)
}
