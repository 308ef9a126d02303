package lease

import (
	"testing"

	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// member answers polls as a core member does that holds one list of holders.
type member struct{ holders []wire.RoleHolder }

func (m *member) answer(request *wire.PollRequest, version int64) *wire.PollResponse {
	a := &wire.PollResponse{Seq: request.Seq, SetVersion: version, Holders: m.holders}
	if request.HoldersHash == wire.HashHolders(m.holders) {
		a.Holders, a.HoldersUnchanged = nil, true
	}
	return a
}

// pollOf gives the newest poll that went to the member at a position of the set.
func (h *fakeHost) pollOf(position int) *wire.PollRequest {
	return h.polls[len(h.polls)-len(h.set.Members)+position]
}

func (m *Manager) pollNow(h *fakeHost) {
	h.nowMs += PollIntervalMs
	m.Tick()
}

// Holders come in full once, and again when they have changed; between, an answer without
// them stands for the same.
func TestHoldersComeOnce(t *testing.T) {
	h, m := newManager()
	east := wire.RoleHolder{Name: "slice/east", Holder: "x", Epoch: 3}
	core := &member{[]wire.RoleHolder{east}}
	round := func() (full int) {
		m.pollNow(h)
		for i, name := range []string{"a", "b"} {
			a := core.answer(h.pollOf(i), h.set.Version)
			if !a.HoldersUnchanged {
				full++
			}
			m.OnResponse(name, a)
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
	core.holders = nil // nobody holds it
	must.Eq(t, 2, round())
	must.Eq(t, "", holder())
	must.Eq(t, 0, round())
	must.Eq(t, "", holder())
}

// An answer that leaves out holders which a newer one has changed tells nothing: it must not
// bring a former holder back, nor stand for nobody.
func TestOvertakenAnswerWithoutHolders(t *testing.T) {
	h, m := newManager()
	core := &member{[]wire.RoleHolder{{Name: "slice/east", Holder: "x", Epoch: 3}}}
	m.pollNow(h)
	m.OnResponse("a", core.answer(h.pollOf(0), h.set.Version))
	m.pollNow(h)
	late := core.answer(h.pollOf(0), h.set.Version)
	must.True(t, late.HoldersUnchanged)
	core.holders = []wire.RoleHolder{{Name: "slice/east", Holder: "y", Epoch: 4}}
	m.pollNow(h)
	newest := h.pollOf(0)
	m.OnResponse("a", core.answer(newest, h.set.Version))
	m.OnResponse("a", late)
	must.MapLen(t, 0, m.sent[late.Seq].Responses)
	must.Eq(t, core.holders, m.sent[newest.Seq].Responses["a"].Holders)
}

// The median is worked out once for many polls, and anew when clocks come or time passes.
func TestMedianIsKeptForAWhile(t *testing.T) {
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
	must.Eq(t, int64(2000+medianMs+5000), g.ClusterTime(2000+medianMs, 3))
	observe("d", 9000, 2110)
	observe("e", 9000, 2110)
	observe("f", 9000, 2110)
	must.Eq(t, int64(2110+5000), g.ClusterTime(2110, 3)) // six clocks now
}
