package daemon

import (
	"reflect"
	"testing"

	"otterchute/internal/cluster"
	"otterchute/internal/historycheck"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// With a formed core gossip sends only differences: a round costs a few bytes for each daemon,
// heartbeats still reach all, and changed entries reach all in full.
func TestGossipByDifference(t *testing.T) {
	w := newWorld(7, historycheck.Deployments["hakata"])
	w.run(12_000)
	holdsElsewhere := func(of string, ok func(*cluster.Peer) bool) bool {
		for _, name := range sortedKeys(w.nodes) {
			if s := w.nodes[name].executor.node.peers.Get(of); name != of && (s == nil || !ok(s)) {
				return false
			}
		}
		return true
	}
	for _, name := range sortedKeys(w.nodes) {
		must.True(t, holdsElsewhere(name, func(s *cluster.Peer) bool { return w.nodes[name].executor.node.peers.Self().Heartbeat-s.Heartbeat <= 4 }), must.Sprint(name))
	}
	before, rounds := w.messages[reflect.TypeFor[wire.Gossip]().Name()], w.messages[reflect.TypeFor[wire.Digest]().Name()]
	w.run(10_000)
	must.Greater(t, 10*len(w.nodes), w.messages[reflect.TypeFor[wire.Digest]().Name()]-rounds)
	must.Less(t, (w.messages[reflect.TypeFor[wire.Digest]().Name()]-rounds)/10, w.messages[reflect.TypeFor[wire.Gossip]().Name()]-before)

	w.nodes["d07"].kill(false)
	w.run(1000)
	w.nodes["d07"].Zone = "moved"
	w.nodes["d07"].start()
	must.True(t, w.until(4000, func() bool { return holdsElsewhere("d07", func(s *cluster.Peer) bool { return s.Zone == "moved" }) }))
	w.nodes["d08"].executor.node.HTTP = "10.9.9.9:8000"
	must.True(t, w.until(3000, func() bool {
		return holdsElsewhere("d08", func(s *cluster.Peer) bool { return s.HTTPAddr == "10.9.9.9:8000" })
	}))
}
