package daemon

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"otterchute/internal/configuration"
	"otterchute/internal/historycheck"
	"otterchute/internal/quorum"
	"otterchute/internal/register"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// coreWorld returns a world with a core of this size and disks in the zones of sitesOf.
func coreWorld(seed uint64, size int, zones []string, diskless int) *world {
	w := newWorld(seed, historycheck.Deployment{Daemons: len(zones) + diskless, Workers: 0, Cores: 4, JobsPerSec: 1})
	for i, name := range sortedKeys(w.nodes) {
		n := w.nodes[name]
		n.CoreSize, n.Disk = size, i < len(zones)
		if n.Disk {
			n.Zone = zones[i]
			n.DiskID = w.rng.Uint64() | 1
		}
	}
	w.keepLogs = true
	return w
}

// cluster returns the core set if all daemons that are up agree on it, and nil otherwise.
func (w *world) cluster() *quorum.Set {
	var set *quorum.Set
	for _, name := range sortedKeys(w.nodes) {
		n := w.nodes[name]
		if !n.up {
			continue
		}
		c := n.executor.node.core
		if c.Cluster == 0 || set != nil && (c.Cluster != set.Cluster || c.Version != set.Version) {
			return nil
		}
		set = &c
	}
	return set
}

// clusters returns the IDs of all clusters that any daemon or disk considers formed.
func (w *world) clusters() map[uint64]bool {
	all := map[uint64]bool{}
	for _, n := range w.sortedNodes() {
		if n.executor == nil {
			continue
		}
		if c := n.executor.node.core.Cluster; c != 0 {
			all[c] = true
		}
		if st := n.executor.node.store; st != nil && st.CoreSet().Version != 0 {
			all[st.CoreSet().Cluster] = true
		}
	}
	return all
}

func (w *world) allServed() bool {
	c := w.cluster()
	if c == nil {
		return false
	}
	for _, s := range c.Shards {
		h := w.holderOf("slice/" + s)
		if h == nil || !h.executor.node.shards[s].serving {
			return false
		}
	}
	return true
}

var eightDisks = []string{"east", "west", "mid", "far", "east", "west", "mid", "far"}

// Eight disks in four zones form one core of five within the time limits, with no majority of
// it in one zone.
func TestFormationOfFive(t *testing.T) {
	worstFormed, worstServed := int64(0), int64(0)
	for seed := range uint64(30) {
		w := coreWorld(3000+seed, 5, eightDisks, 20)
		must.True(t, w.until(20_000, func() bool { return w.cluster() != nil }), must.Sprint(seed, w.relevantLogs()))
		worstFormed = max(worstFormed, w.nowMs())
		set := w.cluster()
		must.Len(t, 5, set.Members)
		must.Eq(t, []string{"east", "far", "mid", "west"}, set.Shards)
		byZone := map[string]int{}
		for _, m := range set.Members {
			byZone[w.nodes[m.Name].Zone]++
		}
		for zone, k := range byZone {
			must.LessEq(t, 2, k, must.Sprint(zone))
		}
		must.True(t, w.until(20_000, w.allServed), must.Sprint(seed))
		worstServed = max(worstServed, w.nowMs())
		must.MapLen(t, 1, w.clusters())
	}
	t.Logf("formed and known everywhere after %d ms, served after %d ms, at most", worstFormed, worstServed)
	must.Less(t, 2500, worstFormed)
	must.Less(t, 5000, worstServed)
}

// With uneven gossip and with daemons that start late, are killed or lose power during the
// formation there are never two cores, and one in the end.
func TestFormationNeverSplits(t *testing.T) {
	for seed := range uint64(24) {
		w := coreWorld(4000+seed, []int{3, 5}[seed%2], eightDisks, 4)
		names := sortedKeys(w.nodes)
		for _, a := range names { // some paths are slow, others are cut for a while
			for _, b := range names {
				switch w.rng.IntN(5) {
				case 0:
					w.pathDelayUs[[2]string{a, b}] = w.rng.Int64N(900_000)
				case 1:
					w.cuts[[2]string{a, b}] = true
				}
			}
		}
		w.after(w.rng.Int64N(3_000_000), func() { w.cuts = map[[2]string]bool{} })
		w.after(w.rng.Int64N(4_000_000), func() { w.pathDelayUs = map[[2]string]int64{} })
		for range 3 {
			w.after(300_000+w.rng.Int64N(3_000_000), func() {
				n := w.nodes[names[w.rng.IntN(len(names))]]
				if !n.up {
					return
				}
				n.kill(w.rng.IntN(2) == 0)
				w.after(200_000+w.rng.Int64N(2_000_000), n.start)
			})
		}
		for w.nowMs() < 25_000 {
			w.run(500)
			must.LessEq(t, 1, len(w.clusters()), must.Sprint(seed, w.relevantLogs()))
		}
		must.True(t, w.until(20_000, func() bool { return w.cluster() != nil && w.allServed() }), must.Sprint(seed, w.relevantLogs()))
	}
}

// The proposer of a formation dies for good just before or after all members voted. The others
// complete the formation, and another disk takes its place.
func TestFormationOutlivesItsProposer(t *testing.T) {
	for seed := range uint64(20) {
		w := coreWorld(4200+seed, 5, eightDisks, 4)
		first := w.nodes["d00"]
		must.True(t, w.until(10_000, func() bool {
			for _, name := range sortedKeys(w.nodes) {
				if n := w.nodes[name]; name != "d00" && n.up && n.executor.node.store != nil && n.executor.node.store.Formation().Cluster != 0 {
					return true
				}
			}
			return false
		}))
		for _, b := range sortedKeys(w.nodes) { // its message about the outcome reaches nobody
			w.cuts[[2]string{"d00", b}] = true
		}
		w.after(w.rng.Int64N(20_000), func() { first.kill(true) })
		must.True(t, w.until(40_000, func() bool {
			return w.cluster() != nil && w.allServed() && len(w.cluster().Members) == 5 && !w.cluster().Has("d00", first.DiskID)
		}), must.Sprint(seed, w.relevantLogs()))
		first.executor = nil
		must.MapLen(t, 1, w.clusters())
	}
}

// Only daemons with the first-start setting form a core.
func TestFormationOnlyAtAFirstStart(t *testing.T) {
	w := coreWorld(4300, 5, eightDisks, 2)
	for _, n := range w.sortedNodes() {
		n.FirstStart = false
	}
	w.run(15_000)
	must.MapEmpty(t, w.clusters())
}

// A member of five that comes back with an empty disk under its name and address rejoins
// within seconds without loss of acknowledged data. The same holds for two members lost at
// once, and for all members one after the other.
func TestFormationWipedMembers(t *testing.T) {
	for seed := range uint64(10) {
		w := coreWorld(4400+seed, 5, []string{"east", "west", "mid", "east", "west"}, 4)
		must.True(t, w.until(20_000, w.allServed))
		version := int64(0)
		put := func() {
			version++
			got := callResult{}
			must.True(t, w.until(15_000, func() bool {
				got = w.callAndWait(w.anyNode(int(version)+5), evRequest{Op: "setup.put", Key: fmt.Sprint(version), Base: -1, Body: queueSetup(fmt.Sprint("q", version), "")}, 4000)
				return got.status == 200
			}), must.Sprint(got))
		}
		put()
		for i, lost := range [][]string{{"d00"}, {"d03", "d00"}, {"d01"}, {"d02"}, {"d04"}, {"d03"}, {"d01", "d04"}} {
			for _, name := range lost {
				w.nodes[name].kill(true)
				w.nodes[name].wipe()
				w.nodes[name].FirstStart = false
			}
			for _, name := range lost {
				w.after(500_000, w.nodes[name].start)
			}
			at := w.nowMs()
			must.True(t, w.until(20_000, func() bool {
				c := w.cluster()
				if c == nil || len(c.Members) != 5 || !w.allServed() {
					return false
				}
				for _, name := range lost {
					if n := w.nodes[name]; !n.up || !c.Has(name, n.DiskID) {
						return false
					}
				}
				return true
			}), must.Sprint(seed, lost, w.relevantLogs()))
			must.Less(t, 500+6000*int64(len(lost)), w.nowMs()-at, must.Sprint(lost))
			r := w.callAndWait(w.nodes["d05"], evRequest{Op: "setup.get"}, 3000)
			must.Eq(t, version, gjson.Get(r.body, "version").Int(), must.Sprint(r.body))
			if i == 4 { // all five were replaced since the last change
				put()
			}
		}
	}
}

// A member that never comes back is replaced by one spare, from its zone if there is one.
func TestFormationSpareOfTheZone(t *testing.T) {
	w := coreWorld(4500, 5, eightDisks, 4)
	must.True(t, w.until(20_000, w.allServed))
	set := w.cluster()
	lost := set.Members[2].Name
	zone := w.nodes[lost].Zone
	w.nodes[lost].kill(true)
	must.True(t, w.until(30_000, func() bool {
		c := w.cluster()
		return c != nil && c.Version == set.Version+2 && len(c.Members) == 5
	}))
	for _, m := range w.cluster().Members {
		if !set.Has(m.Name, m.DiskID) {
			must.Eq(t, zone, w.nodes[m.Name].Zone)
		}
	}
	w.run(20_000)
	must.Eq(t, set.Version+2, w.cluster().Version) // and no further member is replaced
}

// A daemon whose clock was set back across a restart is soon accepted by all others again,
// also at another address.
func TestIncarnationSetBack(t *testing.T) {
	w := coreWorld(4600, 3, []string{"east", "west", "mid"}, 5)
	must.True(t, w.until(20_000, w.allServed))
	for _, move := range []bool{false, true} {
		n := w.nodes["d05"]
		n.kill(false)
		if move {
			n.Addr = "10.0.7.5:7000"
		}
		n.incarnations = ^uint64(0) // its next incarnation is far below the last
		w.run(1500)
		n.start()
		must.Less(t, w.nodes["d00"].executor.node.peers.Get("d05").Incarnation, n.executor.node.Incarnation)
		at := w.nowMs()
		must.True(t, w.until(4000, func() bool {
			for _, name := range sortedKeys(w.nodes) {
				if s := w.nodes[name].executor.node.peers.Get("d05"); name != "d05" && (s == nil || s.Incarnation != n.executor.node.Incarnation || s.Addr != n.Addr) {
					return false
				}
			}
			return true
		}), must.Sprint(move))
		t.Logf("moved %v: accepted everywhere after %d ms", move, w.nowMs()-at)
	}
}

// A running daemon uses seeds that were changed.
func TestSeedsChange(t *testing.T) {
	w := coreWorld(4700, 3, []string{"east", "west", "mid"}, 5)
	w.nodes["d07"].Seeds = []string{"10.9.9.9:7000"}
	w.run(5000)
	must.Zero(t, w.nodes["d07"].executor.node.peers.Len())
	w.nodes["d07"].event(evSeeds{Seeds: []string{"10.9.9.9:7000", w.nodes["d02"].Addr}})
	must.True(t, w.until(2000, func() bool { return w.nodes["d07"].executor.node.peers.Len() == 7 }))
}

// relevantLogs returns the log without the events of newly discovered peers.
func (w *world) relevantLogs() string {
	return "\n" + strings.Join(slices.DeleteFunc(slices.Clone(w.logs), func(s string) bool { return strings.Contains(s, "peer_new") }), "\n")
}

// An answer to an earlier try must not count for a later one: in between the member may have
// accepted another proposer's change.
func TestAnswersBelongToTheirTry(t *testing.T) {
	w := servingWorld(t, 4800)
	n := w.nodes["d00"].executor.node
	n.effects = nil
	change := n.startChange("setup", "setup", queueSetup("a", ""), 0)
	change.changeID = configuration.ChangeID{Version: 1}
	first := change.Ballot
	n.now += changeTiming.ResponseTimeoutMs + 1
	n.tickChanges()
	must.True(t, first.Less(change.Ballot))
	accepts := func() int {
		return len(slices.DeleteFunc(slices.Clone(n.effects), func(e effect) bool {
			s, ok := e.(effSend)
			if !ok {
				return true
			}
			_, ok = s.Msg.(*register.Accept)
			return !ok
		}))
	}
	for _, from := range n.core.Names() {
		n.onPromise(from, &register.Promise{Op: change.ID, OK: true, Ballot: first})
	}
	must.Zero(t, accepts())
	for _, from := range n.core.Names() {
		n.onPromise(from, &register.Promise{Op: change.ID, OK: true, Ballot: change.Ballot})
	}
	must.Eq(t, len(n.core.Members), accepts())
	for _, from := range n.core.Names() {
		n.onAccepted(from, &register.Accepted{Op: change.ID, OK: true, Ballot: first})
	}
	must.NotNil(t, n.changes[change.ID])
	must.Eq(t, register.Pending, change.Outcome())
}

// Acknowledgements under different core sets don't add up to a majority: a removed member may
// have returned under its name with an empty disk.
func TestAcksBelongToTheirSet(t *testing.T) {
	w := servingWorld(t, 4801)
	n := w.holderOf("slice/east").executor.node
	shard := n.shards["east"]
	shard.writes[99] = &writeBatch{acked: map[string]bool{"d00": true}}
	old := n.core.Version
	next := n.core
	next.Version++
	n.adoptCoreSet(next)
	must.MapEmpty(t, shard.writes[99].acked)
	n.onWriteResponse("d01", &wire.WriteResponse{SetVersion: old, Shard: "east", Epoch: shard.epoch, Seq: 99, OK: true})
	n.onWriteResponse("d02", &wire.WriteResponse{SetVersion: old, Shard: "east", Epoch: shard.epoch, Seq: 99, OK: true})
	must.False(t, shard.writes[99].committed)
	n.onWriteResponse("d01", &wire.WriteResponse{SetVersion: next.Version, Shard: "east", Epoch: shard.epoch, Seq: 99, OK: true})
	n.onWriteResponse("d02", &wire.WriteResponse{SetVersion: next.Version, Shard: "east", Epoch: shard.epoch, Seq: 99, OK: true})
	must.True(t, shard.writes[99].committed)
}

// A job whose forwarded submission was not answered may be stored, so its caller must not
// receive a rejection.
func TestUnansweredSubmitIsNotDenied(t *testing.T) {
	w := servingWorld(t, 4802)
	must.Eq(t, 200, w.callAndWait(w.nodes["d00"], evRequest{Op: "setup.put", Key: "1", Base: 0, Body: queueSetup("a", `,"addresses":[{"host":"h","prefix":"/a/"}]`)}, 4000).status)
	w.run(2000)
	tried := 0
	for i := range 40 {
		id := fmt.Sprint("job", i)
		to := w.nodes["d04"]
		owner := w.holderOf("slice/" + to.executor.node.shardOf(id))
		if owner == nil || owner == to {
			continue
		}
		w.cuts[[2]string{owner.Name, to.Name}] = true // the request arrives, the response doesn't
		r := w.callAndWait(to, evRequest{Op: "queue.submit", Host: "h", Path: "/a/" + id, Base: -1, Body: []byte(`{"queue":"a","steps":[{"tasks":[{"room":1}]}]}`)}, 5000)
		must.Eq(t, 504, r.status, must.Sprint(r.body))
		delete(w.cuts, [2]string{owner.Name, to.Name})
		w.run(5000)
		if tried++; tried == 3 {
			return
		}
	}
	t.Fatal("no shard has another owner")
}

// A disk that voted for one formation votes against any conflicting one, and keeps its vote
// after the first has failed.
func TestFormationOneVote(t *testing.T) {
	n := newNode(nodeConfig{Name: "b", DiskID: 2, Disk: true, FirstStart: true}, statestore.New())
	request := func(m *wire.FormRequest) *wire.FormResponse {
		var got *wire.FormResponse
		for _, e := range reduce(n, event{NowMs: 1000, WallMs: 1000, Body: evMsg{Head: wire.Header{From: "a", To: addresseeID("b")}, Msg: m}}) {
			if a, ok := e.(effAppend); ok {
				for _, then := range a.Then {
					if s, ok := then.(effSend); ok && s.To == "a" {
						got, _ = s.Msg.(*wire.FormResponse)
					}
				}
			}
		}
		return got
	}
	set := func(id uint64) quorum.Set {
		return quorum.Set{Cluster: id, Version: 1, Members: []quorum.Member{{Name: "a", DiskID: 1}, {Name: "b", DiskID: 2}, {Name: "c", DiskID: 3}}, Shards: []string{"x"}}
	}
	must.Eq(t, &wire.FormResponse{Cluster: 11, OK: true}, request(&wire.FormRequest{Set: set(11)}))
	must.Eq(t, &wire.FormResponse{Cluster: 13}, request(&wire.FormRequest{Set: set(13)}))
	must.Eq(t, uint64(11), n.store.Formation().Cluster)
	request(&wire.FormRequest{Set: set(11), Failed: true})
	must.Eq(t, uint64(0), n.store.Cluster())
	must.Eq(t, &wire.FormResponse{Cluster: 13}, request(&wire.FormRequest{Set: set(13)}))
	must.Eq(t, &wire.FormResponse{Cluster: 11}, request(&wire.FormRequest{Set: set(11)}))
	must.Eq(t, &wire.FormResponse{Cluster: 15, OK: true}, request(&wire.FormRequest{Set: set(15)}))
}

// A new member copies from a majority of the remaining members before it joins.
func TestFormationCopiesAMajority(t *testing.T) {
	for seed := range uint64(6) {
		w := coreWorld(4900+seed, 5, []string{"east", "west", "mid", "far", "east"}, 4)
		must.True(t, w.until(20_000, w.allServed))
		for _, from := range []string{"d01", "d03", "d04"} { // slow, but faster than the timeout of one try
			w.pathDelayUs[[2]string{from, "d02"}] = 400_000
		}
		w.nodes["d02"].kill(true)
		w.nodes["d02"].wipe()
		w.run(500)
		w.logs = nil
		w.nodes["d02"].start()
		must.True(t, w.until(20_000, func() bool { c := w.cluster(); return c != nil && c.Has("d02", w.nodes["d02"].DiskID) }), must.Sprint(seed, w.relevantLogs()))
		copied := 0
		for _, l := range w.logs {
			if strings.Contains(l, " core_copied ") {
				copied++
			}
			if strings.Contains(l, "core_set [version 3 ") {
				break
			}
		}
		must.LessEq(t, copied, 3, must.Sprint(w.relevantLogs()))
	}
}
