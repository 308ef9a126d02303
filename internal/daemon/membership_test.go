package daemon

import (
	"fmt"
	"slices"
	"testing"

	"otterchute/internal/lease"
	"otterchute/internal/membership"
	"otterchute/internal/quorum"
	"otterchute/internal/register"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// coreChangeWorld is a world in which core members are replaced, with an operator and a caller
// that record what was acknowledged.
type coreChangeWorld struct {
	*world
	t       *testing.T
	size    int
	seed    uint64
	version int64 // the newest acknowledged configuration
	jobs    []string
	away    map[string]bool // machines that never come back
}

// toleratedLosses returns how many members may be lost at once.
func (s *coreChangeWorld) toleratedLosses() int { return (s.size - 1) / 2 }

// newCoreChangeWorld returns a serving core of size members that uses all disks, and daemons
// without a disk from which newcomers are made.
func newCoreChangeWorld(t *testing.T, seed uint64, size int) *coreChangeWorld {
	t.Helper()
	s := &coreChangeWorld{world: coreWorld(seed, size, []string{"east", "west", "mid", "east", "west"}[:size], 5), t: t, size: size, seed: seed, away: map[string]bool{}}
	must.True(t, s.until(20_000, s.allServed), s.details())
	for _, n := range s.nodes {
		n.FirstStart = false
	}
	s.run(1500)
	s.acceptMore()
	return s
}

func (s *coreChangeWorld) details() must.Setting {
	return must.Sprint(s.size, s.seed, s.relevantLogs())
}

// observer returns a daemon that runs during the whole test.
func (s *coreChangeWorld) observer() *simNode { return s.nodes[fmt.Sprintf("d%02d", s.size)] }

// newcomer starts a machine with an empty disk at a new address.
func (s *coreChangeWorld) newcomer(i int) *simNode {
	n := s.nodes[fmt.Sprintf("d%02d", s.size+1+i)]
	n.kill(true)
	n.Disk, n.Addr = true, fmt.Sprintf("10.7.0.%d:7000", i+1)
	n.wipe()
	n.start()
	return n
}

// acceptMore has one more configuration and one more job accepted.
func (s *coreChangeWorld) acceptMore() {
	s.t.Helper()
	next := s.version + 1
	must.True(s.t, s.until(15_000, func() bool {
		return s.callAndWait(s.observer(), evRequest{Op: "setup.put", Key: fmt.Sprint(next), Base: -1, Body: queueSetup("q", "")}, 3000).status == 200
	}), s.details())
	s.version = next
	id := fmt.Sprint("job", len(s.jobs))
	must.True(s.t, s.until(15_000, func() bool {
		status := s.callAndWait(s.observer(), evRequest{Op: "job.put", Key: id, Base: -1, Body: []byte(`{"queue":"q","steps":[{"name":"s","tasks":[{"name":"t","room":1}]}]}`)}, 3000).status
		return status == 200 || status == 201
	}), s.details())
	s.jobs = append(s.jobs, id)
}

// requireAllKept requires that everything acknowledged can be read soon.
func (s *coreChangeWorld) requireAllKept() {
	s.t.Helper()
	must.True(s.t, s.until(12_000, func() bool {
		r := s.callAndWait(s.observer(), evRequest{Op: "setup.get"}, 2000)
		return gjson.Get(r.body, "version").Int() == s.version
	}), s.details())
	for _, id := range s.jobs {
		last := callResult{}
		must.True(s.t, s.until(12_000, func() bool {
			last = s.callAndWait(s.observer(), evRequest{Op: "job.get", Key: id, Base: -1}, 2000)
			return last.status == 200
		}), must.Sprint(id, last), s.details())
	}
}

// complete reports whether the core has all its members, each up and with a working disk.
func (s *coreChangeWorld) complete() bool {
	c := s.cluster()
	if c == nil || len(c.Members) != s.size {
		return false
	}
	for _, m := range c.Members {
		if n := s.nodes[m.Name]; !n.up || !n.executor.node.inCore() {
			return false
		}
	}
	return true
}

// wipeMembers wipes the disks of count members at once, and restarts the machines.
func (s *coreChangeWorld) wipeMembers(count int, except ...*simNode) {
	var from []*simNode
	for _, m := range s.newestSet().Members {
		if n := s.nodes[m.Name]; n.up && n.executor.node.leavingSinceMs == 0 && !slices.Contains(except, n) {
			from = append(from, n)
		}
	}
	s.rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	for _, n := range from[:min(count, len(from))] {
		n.kill(true)
		n.wipe()
		n.disk.full, n.disk.stalledUntilUs = false, 0
		s.after(500_000+s.rng.Int64N(1_500_000), n.start)
	}
}

// newestSet returns the newest core set that any running daemon knows.
func (s *coreChangeWorld) newestSet() (set quorum.Set) {
	for _, name := range sortedKeys(s.nodes) {
		if n := s.nodes[name]; n.up && n.executor.node.core.Version > set.Version {
			set = n.executor.node.core
		}
	}
	return set
}

// member returns a member by its position in the newest core set.
func (s *coreChangeWorld) member(i int) *simNode { return s.nodes[s.newestSet().Members[i].Name] }

// removeForGood removes a machine for good.
func (s *coreChangeWorld) removeForGood(n *simNode) {
	s.away[n.Name] = true
	if n.up {
		n.kill(true)
	}
}

// fillDisk fills a member's disk for ms.
func (s *coreChangeWorld) fillDisk(n *simNode, ms int64) {
	n.disk.full = true
	s.after(ms*1000, func() { n.disk.full = false })
}

// catchUpMs is the time a new machine has to catch up before it counts.
const catchUpMs = 4000

// memberScenarios are runs in which members are replaced. Each is followed by a loss of as many
// disks as the core must tolerate, at a time drawn from the seed.
var memberScenarios = map[string]func(s *coreChangeWorld){
	"disk full, planned replacement, then wiped": func(s *coreChangeWorld) {
		leaving := s.member(s.rng.IntN(s.size))
		other := s.member(s.rng.IntN(s.size))
		if other != leaving {
			s.fillDisk(other, 300+s.rng.Int64N(2500))
		}
		s.acceptMore()
		s.newcomer(0)
		s.run(catchUpMs + 2500)
		s.acceptMore()
		leaving.event(evStop{})
		must.True(s.t, s.until(membership.HandoverMs+500, func() bool { return !leaving.up }), s.details())
		s.run(s.rng.Int64N(40))
		s.wipeMembers(s.toleratedLosses())
	},
	"disk full for 25 s, replaced, then wiped": func(s *coreChangeWorld) {
		other := s.member(s.rng.IntN(s.size))
		s.fillDisk(other, 25_000)
		s.acceptMore()
		s.newcomer(0)
		must.True(s.t, s.until(20_000, s.complete), s.details())
		s.acceptMore()
		s.run(s.rng.Int64N(6000))
		s.wipeMembers(s.toleratedLosses())
	},
	"killed for good, replaced, then wiped at once": func(s *coreChangeWorld) {
		lost := s.member(s.rng.IntN(s.size))
		s.removeForGood(lost)
		s.run(s.rng.Int64N(4000))
		s.acceptMore()
		s.newcomer(0)
		s.run(catchUpMs)
		s.acceptMore()
		s.wipeMembers(s.toleratedLosses())
	},
	"planned replacement, then wiped at once": func(s *coreChangeWorld) {
		leaving := s.member(s.rng.IntN(s.size))
		s.newcomer(0)
		s.run(catchUpMs)
		leaving.event(evStop{})
		if s.rng.IntN(2) == 0 { // during the replacement, while the leaving member is still up
			s.run(s.rng.Int64N(900))
			if leaving.up {
				s.wipeMembers(s.toleratedLosses())
			}
		}
		must.True(s.t, s.until(membership.HandoverMs+500, func() bool { return !leaving.up }), s.details())
		s.away[leaving.Name] = true
		if s.cluster() != nil && s.complete() {
			s.wipeMembers(s.toleratedLosses())
		}
	},
	"planned replacement, the leaving member crashes": func(s *coreChangeWorld) {
		leaving := s.member(s.rng.IntN(s.size))
		s.newcomer(0)
		s.run(catchUpMs)
		leaving.event(evStop{})
		s.run(s.rng.Int64N(1200))
		s.removeForGood(leaving)
		must.True(s.t, s.until(catchUpMs, s.complete), s.details())
		s.acceptMore()
		s.wipeMembers(s.toleratedLosses())
	},
	"planned replacement, the newcomer crashes": func(s *coreChangeWorld) {
		leaving := s.member(s.rng.IntN(s.size))
		fresh := s.newcomer(0)
		s.run(catchUpMs)
		leaving.event(evStop{})
		s.run(s.rng.Int64N(1200))
		fresh.kill(s.rng.IntN(2) == 0)
		s.after(300_000+s.rng.Int64N(4_000_000), fresh.start)
		s.acceptMore() // the others continue
		must.True(s.t, s.until(membership.HandoverMs+500, func() bool { return !leaving.up }), s.details())
		s.removeForGood(leaving)
		must.True(s.t, s.until(16_000, s.complete), s.details())
		s.acceptMore()
		s.wipeMembers(s.toleratedLosses())
	},
	"spare's disk stalls during the copy": func(s *coreChangeWorld) {
		leaving := s.member(s.rng.IntN(s.size))
		fresh := s.newcomer(0)
		planned := s.rng.IntN(2) == 0
		if planned {
			s.run(catchUpMs)
			leaving.event(evStop{})
			s.run(s.rng.Int64N(700))
		} else {
			s.removeForGood(leaving)
			s.run(1400 + s.rng.Int64N(1500))
		}
		fresh.disk.stalledUntilUs = s.nowUs + 9_000_000
		s.acceptMore()
		must.True(s.t, s.until(membership.HandoverMs+500, func() bool { return !leaving.up }), s.details())
		s.removeForGood(leaving)
		s.acceptMore() // although the newcomer's disk is still stalled
		must.Less(s.t, fresh.disk.stalledUntilUs, s.nowUs, s.details())
		must.True(s.t, s.until(12_000, s.complete), s.details())
		s.acceptMore()
		s.wipeMembers(s.toleratedLosses())
	},
	"only the leaving member has a write that another lacks": func(s *coreChangeWorld) {
		leaving := s.member(0)
		for i := range s.toleratedLosses() { // these don't store what is acknowledged now
			s.member(1 + i).disk.stalledUntilUs = s.nowUs + 3_000_000
		}
		s.acceptMore()
		s.newcomer(0)
		s.run(catchUpMs)
		leaving.event(evStop{})
		must.True(s.t, s.until(membership.HandoverMs+500, func() bool { return !leaving.up }), s.details())
		s.removeForGood(leaving)
		holders := s.newestSet().Members[:] // the members that have it, besides the newcomer
		for range s.toleratedLosses() {
			for _, m := range holders {
				if n := s.nodes[m.Name]; n.up && n.disk.stalledUntilUs == 0 && m.Name != holders[len(holders)-1].Name {
					n.kill(true)
					n.wipe()
					s.after(1_000_000, n.start)
					break
				}
			}
		}
	},
}

// Members are replaced and a second loss follows immediately, at sizes 3 and 5. Nothing
// acknowledged is lost, and the core is complete again soon.
func TestMembersComeAndGo(t *testing.T) {
	count, from := 6, uint64(5000)
	if *seedsFlag > 0 {
		count, from = *seedsFlag, *fromFlag
	}
	for _, name := range sortedKeys(memberScenarios) {
		for _, size := range []int{3, 5} {
			t.Run(fmt.Sprintf("%s/%d", name, size), func(t *testing.T) {
				t.Parallel()
				for i := range count {
					s := newCoreChangeWorld(t, from+uint64(i), size)
					memberScenarios[name](s)
					s.requireAllKept()
					must.True(t, s.until(30_000, s.complete), s.details())
					s.acceptMore()
					s.requireAllKept()
				}
			})
		}
	}
}

// Two members of five are lost for good, two newcomers start, and two more members are wiped
// as soon as the newcomers had time to catch up.
func TestTwoRepairsAtOnce(t *testing.T) {
	for seed := range uint64(12) {
		s := newCoreChangeWorld(t, 5200+seed, 5)
		at := s.rng.IntN(4)
		first, second := s.member(at), s.member(at+1)
		s.removeForGood(first)
		s.run(s.rng.Int64N(500))
		s.removeForGood(second)
		s.run(s.rng.Int64N(2000))
		s.newcomer(0)
		s.run(s.rng.Int64N(300))
		s.newcomer(1)
		s.run(catchUpMs)
		must.True(t, s.complete(), s.details())
		s.acceptMore()
		s.wipeMembers(2)
		s.requireAllKept()
		must.True(t, s.until(30_000, s.complete), s.details())
	}
}

// A spare that has caught up replaces a member soon after that member is certainly gone, and a
// leaving member before that member has ended.
func TestSlotTakenSoon(t *testing.T) {
	worstKilled, worstLeft := int64(0), int64(0)
	for seed := range uint64(10) {
		for _, planned := range []bool{false, true} {
			s := newCoreChangeWorld(t, 5300+seed, 3+2*int(seed%2))
			lost := s.member(s.rng.IntN(s.size))
			s.newcomer(0)
			s.run(catchUpMs)
			at := s.nowMs()
			if planned {
				lost.event(evStop{})
				id := lost.DiskID
				for set := s.newestSet(); set.Has(lost.Name, id) || len(set.Members) != s.size; set = s.newestSet() {
					must.True(t, lost.up && s.nowMs() < at+membership.HandoverMs, s.details())
					s.step()
				}
				worstLeft = max(worstLeft, s.nowMs()-at)
				must.True(t, s.until(shutdownTimeoutMs, func() bool { return !lost.up }), s.details())
			} else {
				s.removeForGood(lost)
				must.True(t, s.until(8000, s.complete), s.details())
				worstKilled = max(worstKilled, s.nowMs()-at)
			}
		}
	}
	t.Logf("complete again %d ms after a kill, %d ms after a stop, at most", worstKilled, worstLeft)
	must.Less(t, membership.UnresponsiveMs+2000, worstKilled)
	must.Less(t, 2000, worstLeft)
}

// A restarted member stays in the core set although a spare is ready.
func TestRestartingMemberKeepsItsSlot(t *testing.T) {
	for seed := range uint64(8) {
		s := newCoreChangeWorld(t, 5400+seed, 3)
		s.newcomer(0)
		s.run(2000)
		set := s.newestSet()
		for i := range s.size {
			n := s.member(i)
			n.kill(s.rng.IntN(2) == 0)
			s.run(200 + s.rng.Int64N(800))
			n.start()
			s.run(3000)
		}
		must.Eq(t, set.Version, s.newestSet().Version, s.details())
	}
}

// A member whose disk was full stays in the core set and works again once there is space.
func TestFullDiskComesBack(t *testing.T) {
	for seed := range uint64(8) {
		s := newCoreChangeWorld(t, 5500+seed, 3)
		set := s.newestSet()
		for i := range s.size { // one after the other: with two gone nothing can be acknowledged
			n := s.member(i)
			s.fillDisk(n, 3000)
			s.acceptMore()
			s.run(500)
			must.False(t, n.executor.node.inCore(), s.details())
			must.True(t, s.until(6000, s.complete), s.details())
		}
		must.Eq(t, set.Version, s.newestSet().Version, s.details())
		s.requireAllKept()
		a, b := s.member(0), s.member(1) // and two with overlapping faults
		s.fillDisk(a, 3000)
		s.run(1500)
		s.fillDisk(b, 3000)
		s.run(1000)
		must.True(t, s.until(6000, s.complete), s.details())
		s.acceptMore()
		s.requireAllKept()
	}
}

// The newest member of a larger set copies again from f+1 others under that set before the
// leaving member is removed. Writes that these acknowledged between its first copy and their
// adoption of the larger set are in no other copy.
func TestCopiedAgainBeforeRemoval(t *testing.T) {
	n := newNode(nodeConfig{Name: "d", Addr: "d:1", Instance: 7, Disk: true, DiskID: 4}, statestore.New())
	n.store.Apply(statestore.Entry{Kind: statestore.EntryFormationVote, Value: quorum.Set{Cluster: 9}.Encode()})
	n.core = quorum.Set{Cluster: 9, Version: 2, Members: []quorum.Member{{Name: "a", DiskID: 1}, {Name: "b", DiskID: 2}, {Name: "c", DiskID: 3}, {Name: "d", DiskID: 4}}}
	nowMs := int64(1000)
	for i, name := range []string{"a", "b", "c"} {
		n.peers.Record(wire.Peer{Name: name, Addr: name + ":1", Disk: true, DiskID: uint64(i + 1), Leaving: name == "c"}, nowMs)
	}
	var requests []*wire.CopyRequest
	removes := false
	var step func(body any)
	step = func(body any) {
		effects := reduce(n, event{NowMs: nowMs, WallMs: nowMs, Body: body})
		for len(effects) > 0 {
			e := effects[0]
			effects = effects[1:]
			switch e := e.(type) {
			case effAppend:
				effects = append(effects, e.Then...)
			case effSend:
				switch m := e.Msg.(type) {
				case *wire.CopyRequest:
					requests = append(requests, m)
				case *register.Prepare:
					removes = removes || m.Register == "core"
				case *wire.CopyResponse:
					step(evMsg{Head: wire.Header{From: n.Name, To: n.Instance}, Msg: m})
				}
			}
		}
	}
	step(evTick{})
	must.Len(t, 3, requests)
	must.Eq(t, 2, requests[0].SetVersion)
	must.False(t, removes)
	step(evMsg{Head: wire.Header{From: "a", To: n.Instance}, Msg: &wire.CopyResponse{Op: requests[0].Op}})
	nowMs += tickMs
	step(evTick{})
	must.False(t, removes)
	step(evMsg{Head: wire.Header{From: "b", To: n.Instance}, Msg: &wire.CopyResponse{Op: requests[0].Op}})
	must.True(t, removes)
}

// A successor whose disk stalls after it joined the larger set is removed again before the
// leaving member ends: the core goes on without either.
func TestStalledSuccessorIsRemoved(t *testing.T) {
	for _, size := range []int{3, 5} {
		s := newCoreChangeWorld(t, 5600, size)
		leaving, fresh := s.member(1), s.newcomer(0)
		s.run(catchUpMs)
		leaving.event(evStop{})
		for len(s.newestSet().Members) == size {
			must.True(t, leaving.up, s.details())
			s.step()
		}
		fresh.disk.stalledUntilUs = s.nowUs + 20_000_000
		must.True(t, s.until(membership.HandoverMs+500, func() bool { return !leaving.up }), s.details())
		must.Len(t, size, s.newestSet().Members, s.details())
		must.False(t, s.newestSet().Has(fresh.Name, fresh.DiskID), s.details())
		s.acceptMore()
		must.Less(t, fresh.disk.stalledUntilUs, s.nowUs, s.details())
	}
}

// A member with a failing disk stays in the core set while a newcomer is ready; the newcomer
// replaces the member that leaves.
func TestNewcomerTakesTheLeavingSlot(t *testing.T) {
	for _, size := range []int{3, 5} {
		s := newCoreChangeWorld(t, 5700, size)
		set := s.newestSet()
		failing, leaving := s.member(0), s.member(1)
		id := leaving.DiskID
		s.fillDisk(failing, 8500)
		s.acceptMore()
		s.newcomer(0)
		s.run(catchUpMs)
		must.False(t, failing.executor.node.inCore(), s.details())
		must.Eq(t, set.Version, s.newestSet().Version, s.details())
		leaving.event(evStop{})
		must.True(t, s.until(membership.HandoverMs+500, func() bool { return !leaving.up }), s.details())
		must.True(t, s.newestSet().Has(failing.Name, failing.DiskID), s.details())
		must.False(t, s.newestSet().Has(leaving.Name, id), s.details())
		must.True(t, s.until(8000, s.complete), s.details())
		s.requireAllKept()
	}
}

// A member that is removed from the core set while it runs starts over with a new disk ID.
func TestFormerMemberStartsOver(t *testing.T) {
	s := newCoreChangeWorld(t, 5800, 3)
	other := s.member(1)
	id := other.DiskID
	s.fillDisk(other, 25_000)
	s.acceptMore()
	s.newcomer(0)
	must.True(t, s.until(20_000, func() bool { return s.complete() && !s.newestSet().Has(other.Name, id) }), s.details())
	s.run(16_000)
	must.NotEq(t, id, other.executor.node.DiskID, s.details())
	must.True(t, other.up && other.executor.node.diskFailed == "", s.details())
	must.True(t, s.complete(), s.details())
}

// When a daemon adopts the next core set, changes of registers start again, a new member is
// not yet unresponsive, and the newest member of a set that is back to its size grants no
// lease until leases that it doesn't know of have expired.
func TestNextSetIsLearned(t *testing.T) {
	n := newNode(nodeConfig{Name: "d", Addr: "d:1", Disk: true, DiskID: 4}, statestore.New())
	n.store.Apply(statestore.Entry{Kind: statestore.EntryFormationVote, Value: quorum.Set{Cluster: 9}.Encode()})
	n.now = 10_000 // long before, with other disks
	n.adoptCoreSet(quorum.Set{Cluster: 9, Version: 1, Members: []quorum.Member{{Name: "a", DiskID: 11}, {Name: "b", DiskID: 12}, {Name: "c", DiskID: 13}}})
	n.tickPoll()
	n.now = 50_000
	n.tickPoll()
	for _, member := range []string{"b", "c"} {
		n.onPollResponse(member, &wire.PollResponse{Seq: n.leases.LatestRound(), SetVersion: 1})
	}
	must.True(t, n.leases.Unresponsive("a", membership.UnresponsiveMs))
	larger := quorum.Set{Cluster: 9, Version: 2, Members: []quorum.Member{{Name: "a", DiskID: 1}, {Name: "b", DiskID: 2}, {Name: "c", DiskID: 3}, {Name: "d", DiskID: 4}}}
	n.adoptCoreSet(larger)
	must.False(t, n.leases.Unresponsive("a", membership.UnresponsiveMs))
	change := n.startChange("setup", "setup", nil, 0)
	former := change.Ballot
	n.now += 400
	n.granter = lease.NewGranter()
	n.adoptCoreSet(larger.Without(2))
	must.True(t, former.Less(change.Ballot))
	var versions []int64
	for _, e := range n.effects {
		if s, ok := e.(effSend); ok {
			if m, ok := s.Msg.(*register.Prepare); ok && m.Ballot == change.Ballot {
				versions = append(versions, m.SetVersion)
			}
		}
	}
	must.Eq(t, []int64{3, 3, 3}, versions)
	must.Eq(t, lease.DurationMs, n.granter.GrantDelayLeftMs(n.now))
	n.granter = lease.NewGranter()
	n.adoptCoreSet(larger.Without(2).Without(0).With(quorum.Member{Name: "e", DiskID: 5}))
	n.now += membership.UnresponsiveMs
	must.False(t, n.leases.Unresponsive("e", membership.UnresponsiveMs))
}
