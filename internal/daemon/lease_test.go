package daemon

import (
	"slices"
	"strings"
	"testing"

	"otterchute/internal/codec"
	"otterchute/internal/lease"
	"otterchute/internal/quorum"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// holders returns the daemons that may act in a role now: those by whose own clock
// their lease is still valid, including frozen ones.
func (w *world) holders(role string) []string {
	var out []string
	for _, name := range sortedKeys(w.nodes) {
		n := w.nodes[name]
		if !n.up {
			continue
		}
		if leases := n.executor.node.leases; leases.Serves(role) && n.steadyMs() < leases.HeldUntilMs(role) {
			out = append(out, name)
		}
	}
	return out
}

// raisesEpoch reports whether a daemon is raising the epoch of a role.
func (n *node) raisesEpoch(role string) bool {
	for _, change := range n.changes {
		if change.kind == "duty" && string(change.argument) == role {
			return true
		}
	}
	return false
}

// lastPoll returns the newest poll among a daemon's effects.
func lastPoll(t *testing.T, n *node) *wire.PollRequest {
	t.Helper()
	for _, e := range slices.Backward(n.effects) {
		if s, ok := e.(effSend); ok {
			if m, ok := s.Msg.(*wire.PollRequest); ok {
				return m
			}
		}
	}
	t.Fatal("no poll was sent")
	return nil
}

// requireSingleHolder advances the simulation and requires that no role ever has two holders.
func (w *world) requireSingleHolder(t *testing.T, ms int64, roles ...string) {
	t.Helper()
	for end := w.nowMs() + ms; w.nowMs() < end; w.run(2) {
		for _, role := range roles {
			if held := w.holders(role); len(held) > 1 {
				t.Fatalf("at %d ms %s has several holders: %v", w.nowMs(), role, held)
			}
		}
	}
}

// stepUntil advances the simulation event by event until holds returns true.
func (w *world) stepUntil(ms int64, holds func() bool) bool {
	for end := w.nowMs() + ms; w.nowMs() < end && !holds(); {
		w.step()
	}
	return holds()
}

// setCut cuts or restores the path from one host to another.
func (w *world) setCut(from, to string, cut bool) {
	if cut {
		w.cuts[[2]string{from, to}] = true
	} else {
		delete(w.cuts, [2]string{from, to})
	}
}

// A restarted member has lost its grants, and its register may lack the newest epoch. Its
// grant must not give a role to a second holder, even if the other member that grants knows
// that epoch but did not grant the first holder's lease.
func TestLeaseOutlivesARestartedMember(t *testing.T) {
	for seed := range uint64(6) {
		w := servingWorld(t, 7100+seed)
		first, second := w.nodes["d05"], w.nodes["d06"]
		const name = "slice/spare"
		w.setCut("d05", "d02", true) // its poll reaches d00 and d01 only
		first.executor.node.leases.Acquire(name)
		must.True(t, w.stepUntil(1000, func() bool { return first.executor.node.raisesEpoch(name) }))
		w.setCut("d05", "d02", false) // its accept reaches d01 and d02 only
		must.True(t, w.stepUntil(100, func() bool { return first.executor.node.inAcceptPhase("duty/" + name) }))
		w.setCut("d05", "d00", true)
		must.True(t, w.stepUntil(100, func() bool { return first.executor.node.leases.Serves(name) }))
		w.setCut("d05", "d02", true) // renewals don't reach this member
		w.nodes["d00"].kill(false)
		w.nodes["d00"].start()
		second.executor.node.leases.Acquire(name)
		w.requireSingleHolder(t, 3000, name)
		w.heal()
		w.run(2 * lease.DurationMs)
		second.executor.node.leases.Acquire(name)
		must.True(t, w.until(1000, func() bool { return second.executor.node.leases.Holds(name) }))
		w.requireSingleHolder(t, 1000, name)
	}
}

// inAcceptPhase reports whether a change of a register is in its second phase.
func (n *node) inAcceptPhase(reg string) bool {
	for _, id := range sortedKeys(n.changes) {
		if change := n.changes[id]; change.Register == reg {
			return change.ValueBallot() == change.Ballot
		}
	}
	return false
}

// leaseFaults are short faults that affect leases.
var leaseFaults = []func(w *world, core []string){
	func(w *world, core []string) { // a member loses its grants
		n := w.nodes[w.pickOne(core)]
		if n.up {
			n.kill(w.rng.IntN(2) == 0)
		}
		n.start()
	},
	func(w *world, _ []string) { // a daemon restarts at once, sometimes with its wall clock set back
		n := w.randomNode()
		if n.up {
			n.kill(false)
		}
		if n.incarnations > 1 && w.rng.IntN(3) == 0 {
			n.incarnations -= 2
		}
		n.start()
	},
	func(w *world, core []string) { // a path is cut in one direction
		from, to := w.randomNode().Name, w.pickOne(core)
		if w.rng.IntN(2) == 0 {
			from, to = to, from
		}
		w.setCut(from, to, true)
		w.after(w.rng.Int64N(2_500_000), func() { w.setCut(from, to, false) })
	},
	func(w *world, core []string) { // a member can't send to half of the others
		at := w.pickOne(core)
		for _, other := range sortedKeys(w.nodes) {
			if other != at && w.rng.IntN(2) == 0 {
				w.setCut(at, other, true)
				w.after(w.rng.Int64N(2_500_000), func() { w.setCut(at, other, false) })
			}
		}
	},
	func(w *world, _ []string) { w.randomNode().freeze(100 + w.rng.Int64N(3000)) },
	func(w *world, _ []string) {
		for _, role := range []string{"slice/east", "slice/west", "slice/mid", "central"} {
			if n := w.holderOf(role); n != nil && w.rng.IntN(2) == 0 {
				n.freeze(500 + w.rng.Int64N(2000))
			}
		}
	},
	func(w *world, _ []string) { w.randomNode().skewMs += w.rng.Int64N(40_000) - 20_000 },
	func(w *world, _ []string) { // a holder hands its roles to another daemon
		if n := w.holderOf("slice/" + w.pickOne([]string{"east", "west", "mid"})); n != nil {
			for _, name := range n.executor.node.leases.Roles() {
				if kind, _ := lease.SplitRole(name); kind == lease.KindShard && n.executor.node.leases.Serves(name) {
					n.executor.node.leases.HandOff(name, w.randomNode().Name)
				}
			}
		}
	},
}

// Under cuts, freezes, restarts, delays and clock changes no role ever has two holders, with
// cores of three and of five.
func TestLeaseIsHeldOnce(t *testing.T) {
	for seed := range uint64(seedCount(6)) {
		w := coreWorld(7200+*fromFlag+seed, 3+2*int(seed%2), []string{"east", "west", "mid", "east", "west", "mid"}, 4)
		must.True(t, w.until(20_000, w.allServed))
		w.delayOneIn = 40
		for range 120 {
			leaseFaults[w.rng.IntN(len(leaseFaults))](w, w.coreMembers())
			w.requireSingleHolder(t, 50+w.rng.Int64N(400), "slice/east", "slice/west", "slice/mid", "central")
		}
		for _, name := range sortedKeys(w.nodes) {
			w.nodes[name].start()
		}
		w.heal()
		must.True(t, w.until(20_000, w.allServed), must.Sprint(seed))
		taken, raised := 0, 0
		for _, line := range w.logs {
			taken += strings.Count(line, " role_taken ")
			raised += strings.Count(line, " incarnation_raised ")
		}
		t.Logf("seed %d: roles acquired %d times, incarnations raised %d times", seed, taken, raised)
	}
}

// coreMembers returns the members of the newest core.
func (w *world) coreMembers() []string {
	var set quorum.Set
	for _, n := range w.sortedNodes() {
		if n.executor.node.core.Version > set.Version {
			set = n.executor.node.core
		}
	}
	return set.Names()
}

// seedCount returns the number of seeds to run: that of -seeds, or else count.
func seedCount(count int) int {
	if *seedsFlag > 0 {
		return *seedsFlag
	}
	return count
}

// A daemon that raises its incarnation looks restarted to the core although its process goes
// on, so it first releases its leases.
func TestLeaseEndsWithItsIncarnation(t *testing.T) {
	w := servingWorld(t, 7300)
	first, second := w.nodes["d05"], w.nodes["d06"]
	const name = "slice/spare"
	first.executor.node.leases.Acquire(name)
	must.True(t, w.until(2000, func() bool { return first.executor.node.leases.Holds(name) }))
	entry := first.executor.node.peers.Self()
	entry.Incarnation++
	// The other daemons report a process with a later clock, as after a restart.
	for _, other := range sortedKeys(w.nodes) {
		if other != "d05" {
			w.nodes[other].executor.node.onGossip("d07", &wire.Gossip{Self: entry})
		}
	}
	first.event(evMsg{Head: wire.Header{From: "d07", Cluster: first.executor.node.core.Cluster}, Msg: &wire.Gossip{Self: w.nodes["d07"].executor.node.peers.Self(), Peers: []wire.Peer{entry}}})
	must.Greater(t, entry.Incarnation, first.executor.node.Incarnation)
	w.cutHost("d05")
	second.executor.node.leases.Acquire(name)
	w.requireSingleHolder(t, 3000, name)
	must.True(t, w.until(1000, func() bool { return second.executor.node.leases.Holds(name) }))
}

// A grant that was requested before a role was released doesn't count when the role is
// requested again.
func TestLeaseRequestedBeforeItWasReleased(t *testing.T) {
	w := servingWorld(t, 7301)
	n := w.nodes["d05"].executor.node
	const name = "slice/spare"
	n.leases.Acquire(name)
	must.True(t, w.until(2000, func() bool { return n.leases.Holds(name) }))
	n.leases.PollSoon()
	n.tickPoll()
	request := lastPoll(t, n)
	i := slices.IndexFunc(request.Leases, func(h wire.LeaseRequest) bool { return h.Name == name })
	n.leases.Lose(name, "released")
	n.leases.Acquire(name)
	for _, m := range n.core.Names() {
		a := &wire.PollResponse{Seq: n.leases.LatestRound(), SetVersion: n.core.Version, Granted: make([]bool, len(request.Leases)), Epochs: make([]uint64, len(request.Leases))}
		a.Granted[i] = true
		n.onPollResponse(m, a)
	}
	must.SliceContains(t, n.leases.Roles(), name)
	must.False(t, n.leases.Serves(name))
	must.False(t, n.raisesEpoch(name))
}

// An expired lease is not revived by a late grant, even before the tick that drops it: others
// may have held the role meanwhile.
func TestLeaseThatRanOutIsNotRenewed(t *testing.T) {
	w := servingWorld(t, 7302)
	n := w.nodes["d05"].executor.node
	const name = "slice/spare"
	n.leases.Acquire(name)
	must.True(t, w.until(2000, func() bool { return n.leases.Holds(name) }))
	n.now += 850
	n.leases.PollSoon()
	n.tickPoll()
	request := lastPoll(t, n)
	n.now += 150
	for _, m := range n.core.Names() {
		a := &wire.PollResponse{Seq: n.leases.LatestRound(), SetVersion: n.core.Version, Granted: make([]bool, len(request.Leases)), Epochs: make([]uint64, len(request.Leases))}
		for i := range a.Granted {
			a.Granted[i] = true
		}
		n.onPollResponse(m, a)
	}
	must.False(t, n.leases.Holds(name))
	must.False(t, n.leases.Serves(name))
}

// A member ignores releases and renewals in a poll that a later one of the same process has
// overtaken, and renews no lease under a past epoch.
func TestLeasePollsOutOfOrder(t *testing.T) {
	n, send := coreMemberOf(t)
	poll := func(from string, seq, epoch uint64, released bool) *wire.PollResponse {
		m := &wire.PollRequest{Incarnation: 1, Seq: seq, SetVersion: n.core.Version, Leases: []wire.LeaseRequest{{Name: "slice/some", Epoch: epoch}}}
		if released {
			m.Leases, m.Releases = nil, []wire.LeaseRelease{{Name: "slice/some", Successor: "x09"}}
		}
		a, _ := send(from, m).(*wire.PollResponse)
		return a
	}
	must.True(t, poll("x08", 5, 0, false).Granted[0])
	must.Nil(t, poll("x08", 4, 0, true)) // delayed: the role has been acquired again since
	must.False(t, poll("x09", 1, 0, false).Granted[0])
	must.True(t, poll("x08", 6, 4, false).Granted[0])
	n.store.Register("duty/slice/some").Value = codec.Append(nil, wire.RoleHolder{Name: "slice/some", Holder: "x09", Incarnation: 1, Epoch: 5})
	must.False(t, poll("x08", 7, 4, false).Granted[0])
}

// A restarted member keeps the core set on its disk, even if the first message comes from a
// daemon that missed the last change.
func TestRestartedMemberKeepsItsCoreSet(t *testing.T) {
	w := servingWorld(t, 7303)
	member := w.nodes["d01"]
	older := member.executor.node.core
	next := older
	next.Version++
	gossip := func(c quorum.Set) evMsg {
		return evMsg{Head: wire.Header{From: "d09", Cluster: older.Cluster}, Msg: &wire.Gossip{Self: wire.Peer{Name: "d09", Incarnation: 1, Heartbeat: 1}, Core: c}}
	}
	member.event(gossip(next))
	w.run(50)
	member.kill(false)
	n := newNode(member.nodeConfig, member.disk.load())
	reduce(n, event{NowMs: 1000, WallMs: wallStart, Body: gossip(older)})
	must.NotEq(t, older.Version, n.core.Version)
	reduce(n, event{NowMs: 1010, WallMs: wallStart, Body: evTick{}})
	must.Eq(t, next.Version, n.core.Version)
}

// A daemon with a colocated worker restarts with its wall clock set back, so its agent's epoch
// is below the former one. The owners must still accept the worker's reports.
func TestAgentAfterClockSetBack(t *testing.T) {
	b := formPlatform(t, 7800, "hakata")
	b.traffic()
	b.run(4000)
	host := b.workerHosts[3]
	n, worker := b.nodes[host], b.byHost[host].id
	n.kill(false)
	n.incarnations = ^uint64(0) // its next incarnation is far below the last
	b.run(300)
	// The worker's heartbeats arrive before any message about the former process.
	b.cutFrom(host, sortedKeys(b.nodes), true, true)
	n.start()
	must.True(t, b.until(4000, func() bool { return n.executor.node.agents[worker] != nil }))
	b.cuts = map[[2]string]bool{}
	accepted := func() bool {
		agent := n.executor.node.agents[worker]
		for _, s := range b.nodes["d00"].executor.node.core.Shards {
			owner := b.holderOf("slice/" + s)
			if agent == nil || owner == nil || owner.executor.node.workers[worker] == nil || owner.executor.node.workers[worker].epoch != agent.epoch {
				return false
			}
		}
		return true
	}
	at := b.nowMs()
	must.True(t, b.until(4000, accepted), must.Sprint("the owners did not accept reports of its agent"))
	t.Logf("accepted after %d ms", b.nowMs()-at)
	b.run(2000)
	must.True(t, accepted())
	b.finish(30_000)
	checkPlatformRun(t, b)
}
