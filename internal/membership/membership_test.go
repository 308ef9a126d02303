package membership

import (
	"math/rand/v2"
	"testing"

	"otterchute/internal/cluster"
	"otterchute/internal/lease"
	"otterchute/internal/quorum"
	"otterchute/internal/statestore"
	"otterchute/internal/step"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// fakeHost is a daemon that a test reads.
type fakeHost struct {
	self       wire.Peer
	nowMs      int64
	set        quorum.Set
	store      *statestore.Store
	firstStart bool
	leavingMs  int64
	ops        uint64
	sent       []step.Message
	proposed   []quorum.Set
	resets     int
}

func newManager(size int) (*fakeHost, *Manager) {
	h := &fakeHost{self: wire.Peer{Name: "d", Disk: true, DiskID: 4, Zone: "east"}, nowMs: 20_000, store: statestore.New()}
	peers := cluster.New(h, "d", nil)
	return h, NewManager(h, "d", size, peers, lease.NewManager(h, peers))
}

func (h *fakeHost) NowMs() int64                  { return h.nowMs }
func (h *fakeHost) WallMs() int64                 { return 0 }
func (h *fakeHost) Rand() *rand.Rand              { return rand.New(rand.NewPCG(1, 1)) }
func (h *fakeHost) Log(string, ...any)            {}
func (h *fakeHost) Count(string)                  {}
func (h *fakeHost) Self() wire.Peer               { return h.self }
func (h *fakeHost) CoreSet() quorum.Set           { return h.set }
func (h *fakeHost) InCore() bool                  { return h.set.Has("d", h.self.DiskID) }
func (h *fakeHost) DiskWorks() bool               { return h.self.Disk }
func (h *fakeHost) Store() *statestore.Store      { return h.store }
func (h *fakeHost) Instance() uint64              { return 7 }
func (h *fakeHost) FirstStart() bool              { return h.firstStart }
func (h *fakeHost) LeavingSinceMs() int64         { return h.leavingMs }
func (h *fakeHost) RestoreCoreSet(set quorum.Set) { h.set = set }
func (h *fakeHost) BeginCluster(set quorum.Set)   { h.set = set }
func (h *fakeHost) ChangeCoreSet(next quorum.Set) { h.proposed = append(h.proposed, next) }
func (h *fakeHost) ResetDisk()                    { h.resets++ }
func (h *fakeHost) AdoptCoreSet(quorum.Set)       {}
func (h *fakeHost) Forming() bool                 { return false }
func (h *fakeHost) RaiseIncarnation(uint64)       {}
func (h *fakeHost) WokeMs() int64                 { return 0 }
func (h *fakeHost) IncrementEpoch(string)         {}
func (h *fakeHost) RoleTaken(string, uint64)      {}
func (h *fakeHost) RoleLost(string)               {}
func (h *fakeHost) HolderLost(string)             {}
func (h *fakeHost) RoundAnswered(*lease.Round)    {}
func (h *fakeHost) Send(to string, msg any)       { h.sent = append(h.sent, step.Message{To: to, Msg: msg}) }
func (h *fakeHost) SendAt(to, _ string, msg any)  { h.Send(to, msg) }
func (h *fakeHost) NextOp() uint64                { h.ops++; return h.ops }
func (h *fakeHost) Persist(entries []statestore.Entry, then ...step.Message) {
	for _, e := range entries {
		h.store.Apply(e)
	}
	h.sent = append(h.sent, then...)
}

// Of several slots that can be had the surest loss goes first.
func TestSurestLossFirst(t *testing.T) {
	h, m := newManager(3)
	h.nowMs = 20_000
	h.set = quorum.Set{Cluster: 9, Version: 2, Members: []quorum.Member{{Name: "a", DiskID: 1}, {Name: "b", DiskID: 2}, {Name: "c", DiskID: 3}}}
	for i, name := range []string{"a", "b", "c"} {
		m.peers.Record(wire.Peer{Name: name, Disk: true, DiskID: uint64(i + 1)}, h.nowMs)
	}
	j := &learner{vacantSince: map[string]int64{"a": 1, "b": 1, "c": 1}}
	says := func(want int, state slotState) {
		t.Helper()
		for _, name := range []string{"a", "b", "c"} {
			j.vacantSince[name] = 1
		}
		at, got := m.vacantSlot(j)
		must.Eq(t, want, at)
		must.Eq(t, state, got)
	}
	says(-1, slotOccupied)
	m.peers.Get("a").Disk = false
	says(0, slotDiskFailed)
	m.peers.Get("b").LastHeartbeatMs = 0
	says(1, slotSilent)
	m.peers.Get("c").Leaving = true
	says(2, slotLeaving)
	m.peers.Get("a").DiskID = 7
	says(0, slotWiped)
}

func TestSize(t *testing.T) {
	for given, want := range map[int]int{0: 3, 1: 1, 2: 1, 3: 3, 4: 3, 5: 5} {
		_, m := newManager(given)
		must.Eq(t, want, m.Size())
	}
}

// Members are spread over the zones, whatever the names are.
func TestSpreadOverZones(t *testing.T) {
	disks := []wire.Peer{{Name: "a", Zone: "x"}, {Name: "b", Zone: "x"}, {Name: "c", Zone: "x"}, {Name: "d", Zone: "y"}, {Name: "e", Zone: "z"}}
	names := func(count int) []string { return quorum.Set{Members: spreadOverZones(disks, count)}.Names() }
	must.Eq(t, []string{"a", "d", "e"}, names(3))
	must.Eq(t, []string{"a", "b", "d", "e"}, names(4))
	must.Eq(t, []string{"a", "b", "c", "d", "e"}, names(9))
}

// A spare copies from a majority, part by part, before it proposes itself.
func TestLearnerCopiesBeforeItJoins(t *testing.T) {
	h, m := newManager(3)
	h.set = quorum.Set{Cluster: 9, Version: 2, Members: []quorum.Member{{Name: "a", DiskID: 1}, {Name: "b", DiskID: 2}}}
	m.peers.Record(wire.Peer{Name: "a", Disk: true, DiskID: 1}, h.nowMs)
	m.peers.Record(wire.Peer{Name: "b", Disk: true, DiskID: 2}, h.nowMs)
	m.Tick()
	must.Len(t, 2, h.sent) // a request to each
	op := h.sent[0].Msg.(*wire.CopyRequest).Op
	middle := statestore.Cursor{Shard: "east", Instance: 1}
	m.OnCopyResponse("a", &wire.CopyResponse{Op: op, Next: middle})
	must.Eq(t, middle, m.CopyCursor("a"))
	must.Eq(t, middle, h.sent[2].Msg.(*wire.CopyRequest).Cursor)
	m.OnCopyResponse("a", &wire.CopyResponse{Op: op}) // the first part, told twice
	must.Len(t, 3, h.sent)
	m.OnCopyResponse("a", &wire.CopyResponse{Op: op, Cursor: middle})
	m.OnCopyResponse("b", &wire.CopyResponse{Op: op})
	must.SliceEmpty(t, h.proposed)
	for _, own := range h.sent[3:] { // synced
		m.OnCopyResponse("d", own.Msg.(*wire.CopyResponse))
	}
	must.Eq(t, []string{"a", "b", "d"}, h.proposed[0].Names())
}

// A disk that was a member once begins anew; a failed one does nothing.
func TestFormerMember(t *testing.T) {
	h, m := newManager(3)
	h.store.Apply(statestore.Entry{Kind: statestore.EntryCoreSet, Value: quorum.Set{Cluster: 9, Version: 1, Members: []quorum.Member{{Name: "d", DiskID: 4}}}.Encode()})
	h.set = quorum.Set{Cluster: 9, Version: 2, Members: []quorum.Member{{Name: "a", DiskID: 1}}}
	h.self.Disk = false
	m.Tick()
	must.Zero(t, h.resets)
	h.self.Disk = true
	m.Tick()
	must.Eq(t, 1, h.resets)
}

// Three empty disks at a first start form a cluster once all have voted.
func TestFormation(t *testing.T) {
	h, m := newManager(3)
	h.firstStart = true
	h.self.Name, h.self.EmptyDisk, h.self.DiskID = "d", true, 4
	m.peers.Record(wire.Peer{Name: "e", Zone: "mid", Disk: true, DiskID: 5, EmptyDisk: true}, h.nowMs)
	m.peers.Record(wire.Peer{Name: "f", Zone: "west", Disk: true, DiskID: 6, EmptyDisk: true}, h.nowMs)
	m.TickFormation()
	must.SliceEmpty(t, h.sent) // they must be seen for a while
	h.nowMs += formStableMs
	m.TickFormation()
	must.Len(t, 1, h.sent)
	m.OnFormResponse("d", h.sent[0].Msg.(*wire.FormResponse))
	m.TickFormation()
	asked := h.sent[1:]
	must.Len(t, 2, asked)
	set := asked[0].Msg.(*wire.FormRequest).Set
	must.Eq(t, []string{"east", "mid", "west"}, set.Shards)
	m.OnFormResponse("e", &wire.FormResponse{Cluster: set.Cluster, OK: true})
	must.Zero(t, h.set.Version)
	m.OnFormResponse("f", &wire.FormResponse{Cluster: set.Cluster, OK: true})
	must.Eq(t, set, h.set)
	must.Eq(t, set, h.store.CoreSet())
}

// A formation that one member voted against frees the others.
func TestFormationRefused(t *testing.T) {
	h, m := newManager(3)
	h.firstStart = true
	set := quorum.Set{Cluster: 11, Version: 1, Members: []quorum.Member{{Name: "a", DiskID: 1}, {Name: "d", DiskID: 4}, {Name: "e", DiskID: 5}}}
	m.OnFormRequest("a", &wire.FormRequest{Set: set})
	must.Eq(t, uint64(11), h.store.Cluster())
	m.OnFormResponse("e", &wire.FormResponse{Cluster: 11})
	must.Zero(t, h.store.Cluster())
	must.True(t, h.store.Refused(11))
	must.True(t, h.sent[len(h.sent)-1].Msg.(*wire.FormRequest).Failed)
}
