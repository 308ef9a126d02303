package main

import (
	"testing"

	"otterchute/verdict"

	"github.com/shoenig/test/must"
)

// Once a core stands tables go by difference: a round costs a few bytes for each
// daemon, beats still reach all, and what changes reaches all in full.
func TestGossipByDifference(t *testing.T) {
	w := newWorld(7, verdict.Deployments["hakata"])
	w.run(12_000)
	told := func(of string, ok func(*siblingState) bool) bool {
		for _, name := range sorted(w.nodes) {
			if s := w.nodes[name].sh.n.siblings[of]; name != of && (s == nil || !ok(s)) {
				return false
			}
		}
		return true
	}
	for _, name := range sorted(w.nodes) {
		must.True(t, told(name, func(s *siblingState) bool { return w.nodes[name].sh.n.beat-s.Beat <= 4 }), must.Sprint(name))
	}
	before, rounds := w.msgs["gossipMsg"], w.msgs["digestMsg"]
	w.run(10_000)
	must.Greater(t, 10*len(w.nodes), w.msgs["digestMsg"]-rounds)
	must.Less(t, (w.msgs["digestMsg"]-rounds)/10, w.msgs["gossipMsg"]-before)

	w.nodes["d07"].kill(false)
	w.run(1000)
	w.nodes["d07"].Site = "moved"
	w.nodes["d07"].start()
	must.True(t, w.until(4000, func() bool { return told("d07", func(s *siblingState) bool { return s.Site == "moved" }) }))
	w.nodes["d08"].sh.n.HTTP = "10.9.9.9:8000"
	must.True(t, w.until(3000, func() bool { return told("d08", func(s *siblingState) bool { return s.HTTP == "10.9.9.9:8000" }) }))
}

// A digest's entry is far smaller than a table's, and a daemon that knows
// nothing of its daemons gets them in full.
func TestDigest(t *testing.T) {
	nodes := map[string]*node{}
	for _, name := range []string{"a", "b"} {
		n := newNode(place{Name: name, Inc: 5, Addr: name, HTTP: name, Site: "z"}, nil)
		n.core = coreSet{Cluster: 9, Version: 1}
		nodes[name] = n
	}
	a, b := nodes["a"], nodes["b"]
	for _, name := range []string{"c", "d", "e"} {
		a.learnSibling(sibling{Name: name, Inc: 1, Beat: 3, Addr: "127.0.0.1:7000", HTTP: "127.0.0.1:8000", Site: "z"})
	}
	b.learnSibling(sibling{Name: "e", Inc: 1, Beat: 8, Addr: "127.0.0.1:7000", HTTP: "127.0.0.1:8000", Site: "z"})
	b.learnSibling(sibling{Name: "f", Inc: 1, Beat: 8, Site: "z"})
	must.Less(t, len(pack(nil, a.gossip(true)))/2, len(pack(nil, a.round())))
	sent := func(n *node) (out []any) {
		for _, e := range n.out {
			if s, ok := e.(effSend); ok {
				out = append(out, s.Msg)
			}
		}
		n.out = nil
		return out
	}
	b.onDigest("a", a.round())
	ack := sent(b)[0].(*digestAck)
	must.Len(t, 2, ack.Lacks)
	a.onDigestAck("b", ack)
	must.Eq(t, 8, a.siblings["e"].Beat)
	must.NotNil(t, a.siblings["f"])
	must.NotNil(t, a.siblings["b"])
	b.onGossip("a", sent(a)[0].(*gossipMsg))
	must.Eq(t, 3, b.siblings["c"].Beat)
	must.Eq(t, 3, b.siblings["d"].Beat)
	must.Eq(t, 8, b.siblings["e"].Beat)
	b.onDigest("a", a.round()) // all is known now
	again := sent(b)[0].(*digestAck)
	must.SliceEmpty(t, again.Lacks)
	must.SliceEmpty(t, again.Table)
}
