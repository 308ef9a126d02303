package daemon

import (
	"testing"

	"otterchute/internal/codec"
	"otterchute/internal/lease"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// coreMemberOf returns a core member of a formed world, and a function that passes it a message and
// returns its reply.
func coreMemberOf(t *testing.T) (*node, func(from string, msg any) any) {
	w := formed(t, 4, "ikenna")
	n := w.nodes["d01"].executor.node
	return n, func(from string, msg any) any {
		var back any
		collect := func(effects []effect) {
			for _, e := range effects {
				if s, ok := e.(effSend); ok {
					back = s.Msg
				}
			}
		}
		for _, e := range reduce(n, event{NowMs: n.now, WallMs: n.wall, Seed: 1, Body: evMsg{Head: wire.Header{From: from, Cluster: n.core.Cluster, To: addresseeID(n.Name)}, Msg: msg}}) {
			if a, ok := e.(effAppend); ok {
				collect(a.Then)
			} else {
				collect([]effect{e})
			}
		}
		return back
	}
}

// Guards against writes of a former owner: one under an epoch that a newer owner has sealed must be
// rejected whole.
func TestOldEpochIsFenced(t *testing.T) {
	n, deliver := coreMemberOf(t)
	v := n.core.Version
	must.True(t, deliver("d09", &wire.SealRequest{SetVersion: v, Shard: "fenced", Epoch: 7}).(*wire.SealResponse).OK)
	rec := []statestore.Record{{ID: "j", Epoch: 6, Version: 3, Live: true}}
	must.False(t, deliver("d08", &wire.WriteRequest{SetVersion: v, Shard: "fenced", Epoch: 6, Seq: 1, Records: rec}).(*wire.WriteResponse).OK)
	must.Zero(t, recordsIn(n.store, "fenced"))
	must.False(t, deliver("d08", &wire.SealRequest{SetVersion: v, Shard: "fenced", Epoch: 6}).(*wire.SealResponse).OK)
	must.True(t, deliver("d09", &wire.WriteRequest{SetVersion: v, Shard: "fenced", Epoch: 7, Seq: 1, Records: rec}).(*wire.WriteResponse).OK)
	must.Nil(t, deliver("d09", &wire.WriteRequest{SetVersion: v - 1, Shard: "fenced", Epoch: 7, Seq: 2, Records: rec})) // sent under another core set
}

// Guards against two holders of a lease: it excludes others until it ends, and a member that has just
// started grants none for the duration of a lease.
func TestLeaseExcludes(t *testing.T) {
	n, deliver := coreMemberOf(t)
	poll := func(from string, inc uint64) bool {
		return deliver(from, &wire.PollRequest{Incarnation: inc, SetVersion: n.core.Version, Leases: []wire.LeaseRequest{{Name: "slice/some"}}}).(*wire.PollResponse).Granted[0]
	}
	must.True(t, poll("x08", 1))
	must.True(t, poll("x08", 1))
	must.False(t, poll("x09", 1))
	must.False(t, poll("x08", 2)) // a restarted daemon of the same name is another holder
	n.now += lease.DurationMs + 1
	must.True(t, poll("x09", 1))
	n.now += lease.DurationMs + 1
	n.granter.DelayGrants(n.now) // as after a start
	n.store.Register("duty/slice/some").Value = codec.Append(nil, wire.RoleHolder{Name: "slice/some", Holder: "x07", Incarnation: 5, Addr: "10.0.0.7:7000", Epoch: 3})
	must.False(t, poll("x09", 1))
	n.now += lease.DurationMs
	must.True(t, poll("x09", 1))
}

// A lease ends early once a later incarnation of its holder is seen at the same address: only one process
// can listen there. At another address the former incarnation may still run.
func TestLeaseOfAnIncarnationThatEnded(t *testing.T) {
	n, deliver := coreMemberOf(t)
	poll := func(from string, inc uint64) *wire.PollResponse {
		return deliver(from, &wire.PollRequest{Incarnation: inc, SetVersion: n.core.Version, Leases: []wire.LeaseRequest{{Name: "slice/some"}}}).(*wire.PollResponse)
	}
	recordPeer := func(name string, inc uint64, addr string) {
		n.peers.Record(wire.Peer{Name: name, Incarnation: inc, Addr: addr}, n.now)
	}
	recordPeer("x08", 1, "10.0.0.8:7000")
	recordPeer("x09", 1, "10.0.0.9:7000")
	must.True(t, poll("x08", 1).Granted[0])
	recordPeer("x08", 2, "10.0.0.88:7000")
	must.False(t, poll("x09", 1).Granted[0])
	recordPeer("x08", 2, "10.0.0.8:7000")
	must.True(t, poll("x09", 1).Granted[0])

	// After a restart the grants are lost: the last holder in the register counts.
	n.granter = lease.NewGranter()
	n.granter.DelayGrants(n.now)
	n.store.Register("duty/slice/some").Value = codec.Append(nil, wire.RoleHolder{Name: "slice/some", Holder: "x07", Incarnation: 5, Addr: "10.0.0.7:7000", Epoch: 3})
	must.False(t, poll("x09", 1).Granted[0])
	recordPeer("x07", 6, "10.0.0.77:7000")
	must.False(t, poll("x09", 1).Granted[0])
	recordPeer("x07", 6, "10.0.0.7:7000")
	a := poll("x09", 1)
	must.True(t, a.Granted[0])
	must.Eq(t, uint64(3), a.Epochs[0])
}

// Guards against a finished job that a later owner sees as live again. A finished record that only a
// minority may hold must be returned to each new owner, which writes it back, until a majority is known
// to hold it.
func TestUnconfirmedFinishIsWrittenBack(t *testing.T) {
	n, deliver := coreMemberOf(t)
	v := n.core.Version
	sealed := func(epoch uint64) []statestore.Record {
		return deliver("d09", &wire.SealRequest{SetVersion: v, Shard: "s", Epoch: epoch}).(*wire.SealResponse).Records
	}
	sealed(1)
	finished := statestore.Record{ID: "j", Epoch: 1, Version: 4, DoneMs: 5, Value: (&jobRecord{ID: "j", Queue: "q", State: jobComplete, DoneMs: 5, Version: 4}).encode()}
	deliver("d09", &wire.WriteRequest{SetVersion: v, Shard: "s", Epoch: 1, Seq: 1, Records: []statestore.Record{finished}})
	must.Len(t, 1, sealed(2))
	deliver("d09", &wire.WriteRequest{SetVersion: v, Shard: "s", Epoch: 2, Seq: 1, Confirmed: []string{"j"}})
	must.Len(t, 0, sealed(3))
	again := statestore.New()
	for _, e := range n.store.Dump() {
		again.Apply(e)
	}
	must.SliceEmpty(t, again.Shard("s").Unconfirmed())

	w := formed(t, 4, "ikenna")
	must.True(t, w.until(5000, func() bool { return w.holderOf("slice/east") != nil }))
	owner := w.holderOf("slice/east").executor.node
	owner.startShard("east", 99)
	var wrote []statestore.Record
	for from, recs := range map[string][]statestore.Record{"d00": nil, "d01": {finished}} {
		for _, e := range reduce(owner, event{NowMs: owner.now, WallMs: owner.wall, Body: evMsg{Head: wire.Header{From: from, To: owner.Instance}, Msg: &wire.SealResponse{SetVersion: owner.core.Version, Shard: "east", Epoch: 99, OK: true, Records: recs}}}) {
			if s, ok := e.(effSend); ok {
				if m, ok := s.Msg.(*wire.WriteRequest); ok {
					wrote = m.Records
				}
				if m, ok := s.Msg.(*wire.FetchRequest); ok { // the other member is asked for the record
					for _, e := range reduce(owner, event{NowMs: owner.now, WallMs: owner.wall, Body: evMsg{Head: wire.Header{From: s.To, To: owner.Instance}, Msg: &wire.FetchResponse{Op: m.Op}}}) {
						if s, ok := e.(effSend); ok {
							if m, ok := s.Msg.(*wire.WriteRequest); ok {
								wrote = m.Records
							}
						}
					}
				}
			}
		}
	}
	must.Len(t, 1, wrote)
	must.Eq(t, uint64(99), wrote[0].Epoch)
	must.False(t, wrote[0].Live)
}
