package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"otterchute/internal/codec"
	"otterchute/internal/quorum"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// fakeHost is a daemon that a test reads.
type fakeHost struct {
	self    wire.Peer
	nowMs   int64
	set     quorum.Set
	forming bool
	raised  uint64
	sent    []any
	to      []string // addresses or names of what was sent
	random  *rand.Rand
}

func newHost(name string) (*fakeHost, *Directory) {
	h := &fakeHost{self: wire.Peer{Name: name, Incarnation: 5, Addr: name, HTTPAddr: name, Zone: "z"}, nowMs: 10_000,
		set: quorum.Set{Cluster: 9, Version: 1}, random: rand.New(rand.NewPCG(1, 1))}
	return h, New(h, name, []string{"seed:1", "seed:2", name})
}

func (h *fakeHost) NowMs() int64                  { return h.nowMs }
func (h *fakeHost) WallMs() int64                 { return 0 }
func (h *fakeHost) Rand() *rand.Rand              { return h.random }
func (h *fakeHost) Log(string, ...any)            {}
func (h *fakeHost) Count(string)                  {}
func (h *fakeHost) Self() wire.Peer               { return h.self }
func (h *fakeHost) CoreSet() quorum.Set           { return h.set }
func (h *fakeHost) AdoptCoreSet(set quorum.Set)   { h.set = set }
func (h *fakeHost) Forming() bool                 { return h.forming }
func (h *fakeHost) RaiseIncarnation(above uint64) { h.raised, h.self.Incarnation = above, above+1 }
func (h *fakeHost) Send(to string, msg any)       { h.sent, h.to = append(h.sent, msg), append(h.to, to) }
func (h *fakeHost) SendAt(to, addr string, msg any) {
	h.sent, h.to = append(h.sent, msg), append(h.to, addr)
}

// take gives what was sent since the last time.
func (h *fakeHost) take() []any {
	out := h.sent
	h.sent, h.to = nil, nil
	return out
}

// A digest's entry is far smaller than a table's, and a daemon that knows
// nothing of its daemons gets them in full.
func TestDigest(t *testing.T) {
	hostA, a := newHost("a")
	hostB, b := newHost("b")
	for _, name := range []string{"c", "d", "e"} {
		a.merge(wire.Peer{Name: name, Incarnation: 1, Heartbeat: 3, Addr: "127.0.0.1:7000", HTTPAddr: "127.0.0.1:8000", Zone: "z"})
	}
	b.merge(wire.Peer{Name: "e", Incarnation: 1, Heartbeat: 8, Addr: "127.0.0.1:7000", HTTPAddr: "127.0.0.1:8000", Zone: "z"})
	b.merge(wire.Peer{Name: "f", Incarnation: 1, Heartbeat: 8, Zone: "z"})
	must.Less(t, len(codec.Append(nil, a.Table(true)))/2, len(codec.Append(nil, a.digest())))
	b.OnDigest("a", a.digest())
	ack := hostB.take()[0].(*wire.DigestReply)
	must.Len(t, 2, ack.UnknownHashes)
	a.OnDigestReply("b", ack)
	must.Eq(t, 8, a.Get("e").Heartbeat)
	must.NotNil(t, a.Get("f"))
	must.NotNil(t, a.Get("b"))
	b.OnGossip("a", hostA.take()[0].(*wire.Gossip))
	must.Eq(t, 3, b.Get("c").Heartbeat)
	must.Eq(t, 3, b.Get("d").Heartbeat)
	must.Eq(t, 8, b.Get("e").Heartbeat)
	b.OnDigest("a", a.digest()) // all is known now
	again := hostB.take()[0].(*wire.DigestReply)
	must.SliceEmpty(t, again.UnknownHashes)
	must.SliceEmpty(t, again.Peers)
}

// A peer is alive as long as its heartbeat moves, and what is newer stands.
func TestAlive(t *testing.T) {
	h, d := newHost("a")
	d.merge(wire.Peer{Name: "b", Incarnation: 2, Heartbeat: 5, Zone: "y", Addr: "b:1"})
	must.True(t, d.Alive("a"))
	must.True(t, d.Alive("b"))
	must.False(t, d.Alive("c"))
	must.Eq(t, []string{"a", "b"}, d.AliveNames())
	h.nowMs += AliveTimeoutMs
	d.merge(wire.Peer{Name: "b", Incarnation: 2, Heartbeat: 5}) // it stands still
	must.False(t, d.Alive("b"))
	ms, known := d.SilentMs("b")
	must.True(t, known)
	must.Eq(t, int64(AliveTimeoutMs), ms)
	must.Eq(t, "y", d.Zone("b"))
	d.merge(wire.Peer{Name: "b", Incarnation: 1, Heartbeat: 9, Zone: "x"}) // an earlier process
	must.Eq(t, "y", d.Zone("b"))
	d.merge(wire.Peer{Name: "b", Incarnation: 3, Heartbeat: 0, Zone: "x", Addr: "b:1"})
	must.True(t, d.Alive("b"))
	must.True(t, d.IncarnationEnded("b", 2, "b:1"))
	must.False(t, d.IncarnationEnded("b", 2, "b:2")) // it may still run there
	must.False(t, d.IncarnationEnded("b", 3, "b:1"))
	must.False(t, d.IncarnationEnded("c", 0, ""))
}

// Another process of the own name is outbid, an earlier one isn't.
func TestOwnName(t *testing.T) {
	h, d := newHost("a")
	d.merge(wire.Peer{Name: "a", Incarnation: 4, Heartbeat: 100, Addr: "a"})
	must.Zero(t, h.raised)
	d.merge(wire.Peer{Name: "a", Incarnation: 5, Heartbeat: 0, Addr: "elsewhere"})
	must.Eq(t, uint64(5), h.raised)
	d.merge(wire.Peer{Name: "a", Incarnation: 9, Heartbeat: 0, Addr: "a"})
	must.Eq(t, uint64(9), h.raised)
}

// Who hears nobody gossips with all seeds but itself; a round is due at its pace.
func TestTick(t *testing.T) {
	h, d := newHost("a")
	must.True(t, d.Tick())
	must.Eq(t, []string{"seed:1", "seed:2"}, h.to)
	must.False(t, d.Tick())
	h.nowMs += GossipIntervalMs
	must.True(t, d.Tick())
	d.GossipSoon()
	must.True(t, d.Tick())
	must.Eq(t, uint64(3), d.Self().Heartbeat)
	h.forming = true
	d.GossipSoon()
	d.Tick()
	h.nowMs += firstRoundMs
	must.True(t, d.Tick())
}

// The table is bounded: very old peers go, and the longest silent one of too many.
func TestForgetOld(t *testing.T) {
	h, d := newHost("a")
	h.nowMs = keepMs + 1000
	d.Record(wire.Peer{Name: "old"}, 0)
	for i := range MaxPeers + 1 {
		d.Record(wire.Peer{Name: fmt.Sprint("p", i)}, h.nowMs-int64(i))
	}
	d.forgetOld()
	must.Eq(t, MaxPeers, d.Len())
	must.Nil(t, d.Get("old"))
	must.Nil(t, d.Get(fmt.Sprint("p", MaxPeers)))
}

// Daemons beside workers are many: others' rounds leave them out but for one in four, they
// gossip with others alone, and what they send and get doesn't grow with their number.
func TestGossipOfColocatedDaemons(t *testing.T) {
	h, d := newHost("a")
	d.seeds = nil
	for i := range 200 {
		d.merge(wire.Peer{Name: fmt.Sprintf("side%03d", i), Incarnation: 1, Heartbeat: 1, Colocated: true})
	}
	for i := range 6 {
		d.merge(wire.Peer{Name: fmt.Sprint("edge", i), Incarnation: 1, Heartbeat: 1})
	}
	entries := map[int]int{}
	for range 4 * fullRounds {
		h.nowMs += GossipIntervalMs
		d.Tick()
		for i, m := range h.sent {
			if digest, ok := m.(*wire.Digest); ok {
				entries[len(digest.Heartbeats)]++
				must.StrHasPrefix(t, "edge", h.to[i])
			}
		}
		h.take()
		for _, p := range d.peers { // all live on
			p.LastHeartbeatMs = h.nowMs
		}
	}
	must.Eq(t, map[int]int{6: 3 * 4 * Fanout, 206: 4 * Fanout}, entries)

	side, s := newHost("side000")
	s.seeds = nil
	side.self.Colocated = true
	for i := range 200 {
		s.merge(wire.Peer{Name: fmt.Sprintf("side%03d", i), Incarnation: 1, Heartbeat: 1, Colocated: true})
	}
	for i := range 6 {
		s.merge(wire.Peer{Name: fmt.Sprint("edge", i), Incarnation: 1, Heartbeat: 1})
	}
	side.nowMs += GossipIntervalMs
	must.True(t, s.Tick())
	must.Len(t, colocatedFanout, side.sent)
	digest := side.take()[0].(*wire.Digest)
	must.True(t, digest.Partial)
	must.Len(t, 6, digest.Heartbeats)
	side.nowMs += GossipIntervalMs
	must.False(t, s.Tick()) // its rounds are further apart
	d.OnDigest("side000", digest)
	reply := h.take()[0].(*wire.DigestReply)
	must.LessEq(t, 7, len(reply.Peers)+len(reply.Heartbeats))
	must.True(t, d.Alive("side000"))
}

// Heartbeats of daemons beside workers come seldom: they count as alive for longer, and for
// them others do.
func TestAliveOfColocatedDaemons(t *testing.T) {
	h, d := newHost("a")
	d.merge(wire.Peer{Name: "side", Incarnation: 1, Colocated: true})
	d.merge(wire.Peer{Name: "edge", Incarnation: 1})
	must.Eq(t, 3, d.AliveCount())
	h.nowMs += AliveTimeoutMs
	must.Eq(t, []string{"a", "side"}, d.AliveNames())
	h.self.Colocated = true
	must.Eq(t, 3, d.AliveCount())
	h.nowMs += ColocatedAliveTimeoutMs
	must.Eq(t, 1, d.AliveCount())
}

// A daemon whose clock was set back before its start hears of its earlier process from
// whoever it gossips with.
func TestReplyNamesEarlierIncarnation(t *testing.T) {
	h, d := newHost("a")
	d.merge(wire.Peer{Name: "side", Incarnation: 9, Heartbeat: 4, Colocated: true})
	d.OnDigest("side", &wire.Digest{Self: wire.Peer{Name: "side", Incarnation: 7, Colocated: true}, Partial: true})
	reply := h.take()[0].(*wire.DigestReply)
	must.Eq(t, 9, reply.Peers[0].Incarnation)
	side, s := newHost("side")
	side.self.Incarnation, side.self.Colocated = 7, true
	s.OnDigestReply("a", reply)
	must.Eq(t, 9, side.raised)
}
