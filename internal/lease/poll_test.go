package lease

import (
	"testing"

	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// member answers polls like a core member with one list of holders.
type member struct{ holders []wire.RoleHolder }

func (m *member) respond(request *wire.PollRequest, version int64) *wire.PollResponse {
	response := &wire.PollResponse{Seq: request.Seq, SetVersion: version, Holders: m.holders}
	if request.HoldersHash == wire.HashHolders(m.holders) {
		response.Holders, response.HoldersUnchanged = nil, true
	}
	return response
}

// latestPollTo returns the newest poll sent to the member at a position of the set.
func (h *fakeHost) latestPollTo(position int) *wire.PollRequest {
	return h.polls[len(h.polls)-len(h.set.Members)+position]
}

func (m *Manager) pollNow(h *fakeHost) {
	h.nowMs += PollIntervalMs
	m.Tick()
}

// Holders are sent in full once, and again when they have changed. In between, a response without
// them means the same list.
func TestHoldersSentOnlyWhenChanged(t *testing.T) {
	h, m := newManager()
	east := wire.RoleHolder{Name: "slice/east", Holder: "x", Epoch: 3}
	core := &member{[]wire.RoleHolder{east}}
	round := func() (full int) {
		m.pollNow(h)
		for i, name := range []string{"a", "b"} {
			response := core.respond(h.latestPollTo(i), h.set.Version)
			if !response.HoldersUnchanged {
				full++
			}
			m.OnResponse(name, response)
		}
		return full
	}
	holder := func() string {
		name, _ := m.Holder("slice/east")
		return name
	}
	must.Eq(t, 2, round())
	must.Eq(t, "x", holder())
	must.Eq(t, 0, round())
	must.Eq(t, "x", holder())
	core.holders = []wire.RoleHolder{{Name: "slice/east", Holder: "y", Epoch: 4}}
	must.Eq(t, 2, round())
	must.Eq(t, "y", holder())
	must.Eq(t, 0, round())
	must.Eq(t, "y", holder())
	core.holders = nil // the role is free
	must.Eq(t, 2, round())
	must.Eq(t, "", holder())
	must.Eq(t, 0, round())
	must.Eq(t, "", holder())
}

// Guards against a stale response that leaves out the holders which a newer response has changed:
// it must not restore a former holder, nor make the role appear free.
func TestStaleResponseWithoutHolders(t *testing.T) {
	h, m := newManager()
	core := &member{[]wire.RoleHolder{{Name: "slice/east", Holder: "x", Epoch: 3}}}
	m.pollNow(h)
	m.OnResponse("a", core.respond(h.latestPollTo(0), h.set.Version))
	m.pollNow(h)
	late := core.respond(h.latestPollTo(0), h.set.Version)
	must.True(t, late.HoldersUnchanged)
	core.holders = []wire.RoleHolder{{Name: "slice/east", Holder: "y", Epoch: 4}}
	m.pollNow(h)
	newest := h.latestPollTo(0)
	m.OnResponse("a", core.respond(newest, h.set.Version))
	m.OnResponse("a", late)
	must.MapLen(t, 0, m.rounds[late.Seq].Responses)
	must.Eq(t, core.holders, m.rounds[newest.Seq].Responses["a"].Holders)
}

// The median is computed once for many polls, and again when the number of clocks changes or after
// medianIntervalMs.
func TestMedianIsCached(t *testing.T) {
	g := NewGranter()
	g.DelayGrants(0)
	observe := func(name string, offsetMs, nowMs int64) { g.ObserveClock(name, nowMs+offsetMs, nowMs) }
	for _, name := range []string{"a", "b", "c"} {
		observe(name, 1000, 2000)
	}
	must.Eq(t, int64(3000), g.ClusterTime(2000, 3))
	observe("a", 5000, 2010)
	observe("b", 5000, 2010)
	must.Eq(t, int64(2010+1000), g.ClusterTime(2010, 3))
	must.Eq(t, int64(2000+medianIntervalMs+5000), g.ClusterTime(2000+medianIntervalMs, 3))
	observe("d", 9000, 2110)
	observe("e", 9000, 2110)
	observe("f", 9000, 2110)
	must.Eq(t, int64(2110+5000), g.ClusterTime(2110, 3)) // there are six clocks now
}
