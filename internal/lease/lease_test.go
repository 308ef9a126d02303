package lease

import (
	"math/rand/v2"
	"slices"
	"testing"

	"otterchute/internal/cluster"
	"otterchute/internal/codec"
	"otterchute/internal/quorum"
	"otterchute/internal/register"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

func TestRoles(t *testing.T) {
	for role, want := range map[string]struct {
		kind    Kind
		subject string
	}{ShardRole("east"): {KindShard, "east"}, AgentRole("w1"): {KindAgent, "w1"}, Central: {KindCentral, ""}} {
		kind, subject := SplitRole(role)
		must.Eq(t, want.kind, kind)
		must.Eq(t, want.subject, subject)
	}
	must.Eq(t, "duty/slice/east", RegisterName(ShardRole("east"))) // as it stands on disks
}

var (
	first  = Process{Name: "a", Incarnation: 1, Addr: "a:1"}
	second = Process{Name: "b", Incarnation: 1, Addr: "b:1"}
)

func nobodyEnded(Process) bool { return false }

func TestGrant(t *testing.T) {
	request := wire.LeaseRequest{Name: "slice/s"}
	last := wire.RoleHolder{Holder: "a", Incarnation: 1, Addr: "a:1", Epoch: 3}
	for _, c := range []struct {
		name   string
		before func(*Granter)
		to     Process
		epoch  uint64
		last   wire.RoleHolder
		ended  func(Process) bool
		ok     bool
	}{
		{"free", func(*Granter) {}, first, 0, wire.RoleHolder{}, nobodyEnded, true},
		{"held by another", func(g *Granter) { g.Grant(request, first, wire.RoleHolder{}, 900, nobodyEnded) }, second, 0, wire.RoleHolder{}, nobodyEnded, false},
		{"renewed", func(g *Granter) { g.Grant(request, first, wire.RoleHolder{}, 900, nobodyEnded) }, first, 3, last, nobodyEnded, true},
		{"ran out", func(g *Granter) { g.Grant(request, first, wire.RoleHolder{}, 0, nobodyEnded) }, second, 0, wire.RoleHolder{}, nobodyEnded, true},
		{"its holder has ended", func(g *Granter) { g.Grant(request, first, wire.RoleHolder{}, 900, nobodyEnded) }, second, 0, wire.RoleHolder{},
			func(p Process) bool { return p == first }, true},
		{"given to a successor", func(g *Granter) {
			g.Grant(request, first, wire.RoleHolder{}, 900, nobodyEnded)
			g.Release(first, []wire.LeaseRelease{{Name: "slice/s", Successor: "b"}}, 900)
		}, second, 0, wire.RoleHolder{}, nobodyEnded, true},
		{"given to another successor", func(g *Granter) {
			g.Grant(request, first, wire.RoleHolder{}, 900, nobodyEnded)
			g.Release(first, []wire.LeaseRelease{{Name: "slice/s", Successor: "c"}}, 900)
		}, second, 0, wire.RoleHolder{}, nobodyEnded, false},
		{"after a start", func(g *Granter) { g.DelayGrants(500) }, second, 0, last, nobodyEnded, false},
		{"after a start, nobody had it", func(g *Granter) { g.DelayGrants(500) }, second, 0, wire.RoleHolder{}, nobodyEnded, true},
		{"after a start, its holder has ended", func(g *Granter) { g.DelayGrants(500) }, second, 0, last, func(p Process) bool { return p == first }, true},
		{"an epoch that has passed", func(*Granter) {}, second, 2, last, nobodyEnded, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewGranter()
			c.before(g)
			must.Eq(t, c.ok, g.Grant(wire.LeaseRequest{Name: "slice/s", Epoch: c.epoch}, c.to, c.last, 1000, c.ended))
		})
	}
}

// The median of all clocks counts, once more than half of the daemons are heard.
func TestGranterFleetTime(t *testing.T) {
	g := NewGranter()
	g.DelayGrants(0)
	for name, wallMs := range map[string]int64{"a": 100_000, "b": 100_010, "c": 999_999_999} {
		g.ObserveClock(name, wallMs+1000, 1000)
	}
	must.Zero(t, g.ClusterTime(ClockWarmupMs-1, 3))
	must.Zero(t, g.ClusterTime(1000, 6))
	must.Eq(t, int64(101_010), g.ClusterTime(1000, 5))
	must.Eq(t, int64(-10), g.ClockOffsets(g.ClusterTime(1000, 5), 1000)["a"])
	must.Zero(t, g.ClusterTime(1000+2*clockOldMs+1, 1)) // nobody was heard for long
}

func TestOvertaken(t *testing.T) {
	g := NewGranter()
	must.False(t, g.ObservePoll("a", &wire.PollRequest{Incarnation: 1, Seq: 5}))
	must.True(t, g.ObservePoll("a", &wire.PollRequest{Incarnation: 1, Seq: 4}))
	must.False(t, g.ObservePoll("a", &wire.PollRequest{Incarnation: 2, Seq: 1}))
	must.False(t, g.ObservePoll("b", &wire.PollRequest{Incarnation: 1, Seq: 1}))
}

// A wrong clock of one member of three has no say, and bounds only get closer.
func TestClock(t *testing.T) {
	set := quorum.Set{Members: []quorum.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	var c Clock
	must.Zero(t, c.Earliest(set, 50))
	c.Observe("a", 1_000_000, 40, 50)
	c.Observe("b", 1_000_005, 40, 50)
	c.Observe("c", 9_999_999, 40, 50)
	must.Eq(t, 3, c.Readings())
	must.Eq(t, int64(1_000_005), c.Earliest(set, 50))
	must.Eq(t, int64(1_000_015), c.Latest(set, 50))
	c.Observe("b", 1_000_050, 95, 100) // a quicker answer
	must.Eq(t, int64(1_000_005), c.Earliest(set, 50))
	must.Eq(t, int64(1_000_010), c.Latest(set, 50))
	must.Eq(t, []string{"c"}, c.RetainMembers(quorum.Set{Members: set.Members[:2]}))
}

// fakeHost is a daemon that a test reads.
type fakeHost struct {
	self    wire.Peer
	set     quorum.Set
	nowMs   int64
	wokeMs  int64
	polls   []*wire.PollRequest
	counted []string
	taken   []string
	lost    []string
}

func (h *fakeHost) NowMs() int64         { return h.nowMs }
func (h *fakeHost) WallMs() int64        { return 0 }
func (h *fakeHost) Rand() *rand.Rand     { return rand.New(rand.NewPCG(1, 1)) }
func (h *fakeHost) Log(string, ...any)   {}
func (h *fakeHost) Count(string)         {}
func (h *fakeHost) Self() wire.Peer      { return h.self }
func (h *fakeHost) CoreSet() quorum.Set  { return h.set }
func (h *fakeHost) WokeMs() int64        { return h.wokeMs }
func (h *fakeHost) HolderLost(string)    {}
func (h *fakeHost) RoundAnswered(*Round) {}
func (h *fakeHost) Send(_ string, msg any) {
	h.polls = append(h.polls, msg.(*wire.PollRequest))
}
func (h *fakeHost) SendAt(string, string, any)      {}
func (h *fakeHost) IncrementEpoch(role string)      { h.counted = append(h.counted, role) }
func (h *fakeHost) RoleTaken(role string, _ uint64) { h.taken = append(h.taken, role) }
func (h *fakeHost) RoleLost(role string)            { h.lost = append(h.lost, role) }
func (h *fakeHost) AdoptCoreSet(quorum.Set)         {}
func (h *fakeHost) Forming() bool                   { return false }
func (h *fakeHost) RaiseIncarnation(uint64)         {}

func newManager() (*fakeHost, *Manager) {
	h := &fakeHost{self: wire.Peer{Name: "d", Incarnation: 5, Addr: "d:1", Zone: "east", Disk: true}, nowMs: 10_000,
		set: quorum.Set{Cluster: 1, Version: 2, Members: []quorum.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Shards: []string{"east", "west"}}}
	return h, NewManager(h, cluster.New(h, "d", nil))
}

// answer answers the newest round from a member, granting all or nothing.
func (h *fakeHost) answer(m *Manager, member string, granted bool, epoch uint64) {
	request := h.polls[len(h.polls)-1]
	a := &wire.PollResponse{Seq: request.Seq, SetVersion: h.set.Version}
	for range request.Leases {
		a.Granted, a.Epochs = append(a.Granted, granted), append(a.Epochs, epoch)
	}
	m.OnResponse(member, a)
}

func done(epoch uint64) []byte {
	return codec.Append(nil, wire.RoleHolder{Name: "slice/east", Holder: "d", Incarnation: 5, Epoch: epoch})
}

// From the wish to the end: a majority grants, the epoch is counted, the role is
// served until its lease runs out.
func TestRoleIsTakenAndLost(t *testing.T) {
	h, m := newManager()
	m.Acquire("slice/east")
	m.Tick()
	h.answer(m, "a", true, 0)
	must.SliceEmpty(t, h.counted)
	h.answer(m, "b", true, 0)
	must.Eq(t, []string{"slice/east"}, h.counted)
	must.False(t, m.Holds("slice/east"))
	m.OnEpochOutcome("slice/east", register.Done, done(7))
	must.Eq(t, []string{"slice/east"}, h.taken)
	name, epoch := m.Holder("slice/east")
	must.Eq(t, "d", name)
	must.Eq(t, uint64(7), epoch)
	h.nowMs += HeldMs - 1
	must.True(t, m.Holds("slice/east"))
	h.nowMs++
	must.False(t, m.Holds("slice/east"))
	m.dropExpired()
	must.Eq(t, []string{"slice/east"}, h.lost)
	must.SliceEmpty(t, m.Roles())
}

// Who took a role after the lease was asked for goes first: a change of the epoch
// that builds on an older one is lost.
func TestEpochTakenMeanwhile(t *testing.T) {
	_, m := newManager()
	m.leases["slice/some"] = &lease{role: "slice/some", knownEpoch: 3}
	decide := func(holder string, incarnation, epoch uint64) register.Decision {
		decision, _ := m.NextEpoch("slice/some", codec.Append(nil, wire.RoleHolder{Name: "slice/some", Holder: holder, Incarnation: incarnation, Epoch: epoch}))
		return decision
	}
	must.Eq(t, register.Replace, decide("d07", 5, 3))
	must.Eq(t, register.Refuse, decide("d09", 1, 4))
	must.Eq(t, register.Replace, decide("d", 5, 4)) // an own earlier try
	decision, _ := m.NextEpoch("other", nil)
	must.Eq(t, register.Fail, decision)
}

// A lease is refused at first where the members know a newer epoch, and asked for again.
func TestRefusedEpochIsAskedForAgain(t *testing.T) {
	h, m := newManager()
	m.Acquire("slice/east")
	m.Tick()
	h.answer(m, "a", true, 0)
	h.answer(m, "b", true, 4)
	m.OnEpochOutcome("slice/east", register.Refused, nil)
	must.False(t, m.Serves("slice/east"))
	must.SliceEmpty(t, h.lost)
	m.Tick()
	must.Len(t, 1, h.polls[len(h.polls)-1].Leases)
}

// A role that is handed off is released until a majority has taken that.
func TestHandOff(t *testing.T) {
	h, m := newManager()
	m.Assume("slice/east", 3, h.nowMs+DurationMs)
	m.HandOff("slice/east", "a")
	must.Eq(t, []string{"slice/east"}, h.lost)
	m.Tick()
	must.Eq(t, []wire.LeaseRelease{{Name: "slice/east", Successor: "a"}}, h.polls[0].Releases)
	h.answer(m, "a", true, 0)
	must.SliceNotEmpty(t, m.Roles())
	h.answer(m, "b", true, 0)
	h.answer(m, "c", true, 0)
	must.SliceEmpty(t, m.Roles())
}

func TestContact(t *testing.T) {
	h, m := newManager()
	m.Tick()
	must.True(t, m.CutOff())
	h.wokeMs = h.nowMs
	must.False(t, m.CutOff()) // its first polls are under way
	must.False(t, m.InContact())
	h.answer(m, "a", true, 0)
	must.False(t, m.InContact())
	h.answer(m, "b", true, 0)
	must.True(t, m.InContact())
	h.nowMs += HeldMs + 1
	must.False(t, m.InContact())
	must.True(t, m.CutOff())
}

// A member is unresponsive only where a majority answers, and a new one is heard
// since it joined.
func TestUnresponsive(t *testing.T) {
	h, m := newManager()
	m.Tick()
	h.nowMs += 5000
	must.False(t, m.Unresponsive("c", 1600))
	m.Tick()
	h.answer(m, "a", true, 0)
	h.answer(m, "b", true, 0)
	must.True(t, m.Unresponsive("c", 1600))
	before := h.set
	h.set.Members = []quorum.Member{{Name: "a"}, {Name: "b"}, {Name: "c", DiskID: 9}}
	m.OnCoreSet(before, h.set)
	must.False(t, m.Unresponsive("c", 1600))
}

// The own zone comes first, machines beside workers last; who has just lost the
// role is none.
func TestCandidates(t *testing.T) {
	h, m := newManager()
	for _, p := range []wire.Peer{{Name: "e", Zone: "east", Disk: true}, {Name: "f", Zone: "east", Colocated: true}, {Name: "g", Zone: "west"}, {Name: "h", Zone: "west", Leaving: true}} {
		m.peers.Record(p, h.nowMs)
	}
	got := m.Candidates("slice/east", "east")
	must.Len(t, 4, got)
	must.SliceContainsAll(t, []string{"d", "e"}, got[:2])
	must.Eq(t, []string{"g", "f"}, got[2:])
	m.former["slice/east"] = formerHolder{"e", h.nowMs}
	must.SliceNotContains(t, m.Candidates("slice/east", "east"), "e")
	h.nowMs += cluster.AliveTimeoutMs + 1
	m.peers.Record(wire.Peer{Name: "e", Zone: "east", Disk: true}, h.nowMs)
	must.SliceContains(t, m.Candidates("slice/east", "east"), "e")
}

// A strong machine of another zone goes before a weak one at home, a strained one between
// them; where nobody says what it has, all count alike.
func TestCandidatesByStrength(t *testing.T) {
	h, m := newManager()
	for _, p := range []wire.Peer{
		{Name: "strong-east", Zone: "east", Disk: true, MilliCores: 640, LinkMbps: 200},
		{Name: "half-east", Zone: "east", MilliCores: 320, LinkMbps: 200},
		{Name: "weak-east", Zone: "east", MilliCores: 99, LinkMbps: 200},
		{Name: "thin-east", Zone: "east", MilliCores: 640, LinkMbps: 2},
		{Name: "strong-west", Zone: "west", Disk: true, MilliCores: 640, LinkMbps: 200},
		{Name: "strained-east", Zone: "east", Disk: true, MilliCores: 640, LinkMbps: 200, Overloaded: true},
		{Name: "beside-east", Zone: "east", MilliCores: 240, LinkMbps: 1000, Colocated: true},
	} {
		m.peers.Record(p, h.nowMs)
	}
	got := slices.DeleteFunc(m.Candidates("slice/east", "east"), func(name string) bool { return name == "d" })
	must.Eq(t, []string{"strong-east", "half-east", "strong-west", "strained-east"}, got[:4])
	must.SliceContainsAll(t, []string{"weak-east", "thin-east"}, got[4:6])
	must.Eq(t, "beside-east", got[6])
}

// The central scheduler goes where no shard is, or would be first.
func TestCentralApartFromShards(t *testing.T) {
	h, m := newManager()
	for _, name := range []string{"e1", "e2", "w1", "w2"} {
		m.peers.Record(wire.Peer{Name: name, Zone: map[byte]string{'e': "east", 'w': "west"}[name[0]], Disk: true}, h.nowMs)
	}
	h.set.Shards = []string{"east", "west"}
	m.holders[ShardRole("east")] = wire.RoleHolder{Name: ShardRole("east"), Holder: "e2", Epoch: 1}
	free := m.Candidates(Central, "")
	must.SliceNotContains(t, free[:len(free)-2], "e2")
	firstWest := m.Candidates(ShardRole("west"), "west")[0]
	must.SliceNotContains(t, free[:len(free)-2], firstWest)
}

// A role on a weak machine goes to a strong one once that has stood for a while, and stays
// where both are alike.
func TestRoleLeavesAWeakMachine(t *testing.T) {
	for _, milliCores := range []int64{99, 640} {
		h, m := newManager()
		h.self.MilliCores, h.self.Disk = milliCores, true
		m.peers.Record(wire.Peer{Name: "strong", Zone: h.self.Zone, Disk: true, MilliCores: 640}, h.nowMs)
		h.set.Shards = []string{h.self.Zone}
		role := ShardRole(h.self.Zone)
		m.Assume(role, 1, h.nowMs+60_000)
		m.leases[role].takenMs = h.nowMs
		m.contactMs = h.nowMs
		m.TickRoles()
		must.Eq(t, held, m.leases[role].phase)
		h.nowMs += returnMs
		m.contactMs = h.nowMs
		m.peers.Record(wire.Peer{Name: "strong", Zone: h.self.Zone, Disk: true, MilliCores: 640}, h.nowMs)
		m.TickRoles()
		want := map[int64]phase{99: handingOff, 640: held}[milliCores]
		must.Eq(t, want, m.leases[role].phase, must.Sprint(milliCores))
	}
}
