package daemon

import (
	"otterchute/internal/codec"
	"otterchute/internal/historycheck"
	"otterchute/internal/quorum"
	"otterchute/internal/wire"
	"reflect"
	"testing"

	"github.com/shoenig/test/must"
)

// Once a core stands tables go by difference: a round costs a few bytes for each
// daemon, beats still reach all, and what changes reaches all in full.
func TestGossipByDifference(t *testing.T) {
	w := newWorld(7, historycheck.Deployments["hakata"])
	w.run(12_000)
	told := func(of string, ok func(*peer) bool) bool {
		for _, name := range sorted(w.nodes) {
			if s := w.nodes[name].sh.node.peers[of]; name != of && (s == nil || !ok(s)) {
				return false
			}
		}
		return true
	}
	for _, name := range sorted(w.nodes) {
		must.True(t, told(name, func(s *peer) bool { return w.nodes[name].sh.node.heartbeat-s.Heartbeat <= 4 }), must.Sprint(name))
	}
	before, rounds := w.msgs[reflect.TypeFor[wire.Gossip]().Name()], w.msgs[reflect.TypeFor[wire.Digest]().Name()]
	w.run(10_000)
	must.Greater(t, 10*len(w.nodes), w.msgs[reflect.TypeFor[wire.Digest]().Name()]-rounds)
	must.Less(t, (w.msgs[reflect.TypeFor[wire.Digest]().Name()]-rounds)/10, w.msgs[reflect.TypeFor[wire.Gossip]().Name()]-before)

	w.nodes["d07"].kill(false)
	w.run(1000)
	w.nodes["d07"].Zone = "moved"
	w.nodes["d07"].start()
	must.True(t, w.until(4000, func() bool { return told("d07", func(s *peer) bool { return s.Zone == "moved" }) }))
	w.nodes["d08"].sh.node.HTTP = "10.9.9.9:8000"
	must.True(t, w.until(3000, func() bool { return told("d08", func(s *peer) bool { return s.HTTP == "10.9.9.9:8000" }) }))
}

// A digest's entry is far smaller than a table's, and a daemon that knows
// nothing of its daemons gets them in full.
func TestDigest(t *testing.T) {
	nodes := map[string]*node{}
	for _, name := range []string{"a", "b"} {
		n := newNode(nodeConfig{Name: name, Incarnation: 5, Addr: name, HTTP: name, Zone: "z"}, nil)
		n.core = quorum.Set{Cluster: 9, Version: 1}
		nodes[name] = n
	}
	a, b := nodes["a"], nodes["b"]
	for _, name := range []string{"c", "d", "e"} {
		a.mergePeer(wire.Peer{Name: name, Incarnation: 1, Heartbeat: 3, Addr: "127.0.0.1:7000", HTTP: "127.0.0.1:8000", Zone: "z"})
	}
	b.mergePeer(wire.Peer{Name: "e", Incarnation: 1, Heartbeat: 8, Addr: "127.0.0.1:7000", HTTP: "127.0.0.1:8000", Zone: "z"})
	b.mergePeer(wire.Peer{Name: "f", Incarnation: 1, Heartbeat: 8, Zone: "z"})
	must.Less(t, len(codec.Append(nil, a.gossip(true)))/2, len(codec.Append(nil, a.gossipRound())))
	sent := func(n *node) (out []any) {
		for _, e := range n.out {
			if s, ok := e.(effSend); ok {
				out = append(out, s.Msg)
			}
		}
		n.out = nil
		return out
	}
	b.onDigest("a", a.gossipRound())
	ack := sent(b)[0].(*wire.DigestReply)
	must.Len(t, 2, ack.Unknown)
	a.onDigestAck("b", ack)
	must.Eq(t, 8, a.peers["e"].Heartbeat)
	must.NotNil(t, a.peers["f"])
	must.NotNil(t, a.peers["b"])
	b.onGossip("a", sent(a)[0].(*wire.Gossip))
	must.Eq(t, 3, b.peers["c"].Heartbeat)
	must.Eq(t, 3, b.peers["d"].Heartbeat)
	must.Eq(t, 8, b.peers["e"].Heartbeat)
	b.onDigest("a", a.gossipRound()) // all is known now
	again := sent(b)[0].(*wire.DigestReply)
	must.SliceEmpty(t, again.Unknown)
	must.SliceEmpty(t, again.Table)
}
