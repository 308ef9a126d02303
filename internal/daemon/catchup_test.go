package daemon

import (
	"bytes"
	"fmt"
	"testing"

	"otterchute/internal/statestore"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// largeSetup returns a configuration of this many queues, each with its own path.
func largeSetup(queues int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"queues":[{"name":"q","urgency":1}`)
	for i := range queues {
		fmt.Fprintf(&b, `,{"name":"q%d","urgency":%d,"addresses":[{"host":"host%d.example","prefix":"/p%x/"}],"selector":{"tier":["tier-%x"]}}`, i, i%9, i%40, i*7919, i*104729)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// acceptConfig has one more configuration accepted.
func (s *coreChangeWorld) acceptConfig(body []byte) {
	s.t.Helper()
	next := s.version + 1
	must.True(s.t, s.until(15_000, func() bool {
		return s.callAndWait(s.observer(), evRequest{Op: "setup.put", Key: fmt.Sprint(next), Base: -1, Body: body}, 3000).status == 200
	}), s.details())
	s.version = next
}

// acceptJobs has count more jobs accepted.
func (s *coreChangeWorld) acceptJobs(count int) {
	s.t.Helper()
	for range count {
		id := fmt.Sprint("job", len(s.jobs))
		must.True(s.t, s.until(15_000, func() bool {
			status := s.callAndWait(s.observer(), evRequest{Op: "job.put", Key: id, Base: -1, Body: []byte(`{"queue":"q","steps":[{"name":"s","tasks":[{"name":"t","room":1}]}]}`)}, 3000).status
			return status == 200 || status == 201
		}), s.details())
		s.jobs = append(s.jobs, id)
	}
}

// cancelJobs cancels accepted jobs.
func (s *coreChangeWorld) cancelJobs(ids []string) {
	s.t.Helper()
	for _, id := range ids {
		must.True(s.t, s.until(15_000, func() bool {
			return s.callAndWait(s.observer(), evRequest{Op: "job.cancel", Key: id, Base: -1}, 3000).status < 300
		}), s.details())
	}
}

// missingState lists what member holds in an older state than other.
func (s *coreChangeWorld) missingState(member, other *simNode) (out []string) {
	mine, theirs := member.executor.node.store, other.executor.node.store
	a, b := mine.Register("setup"), theirs.Register("setup")
	if a.Accepted.Less(b.Accepted) {
		out = append(out, fmt.Sprint("setup ", a.Accepted, " < ", b.Accepted))
	}
	// One ballot has one value: a member that caught up also holds the history of accepted
	// changes. Without it a repeated change would be rejected.
	if a.Accepted == b.Accepted && !bytes.Equal(a.Value, b.Value) {
		out = append(out, fmt.Sprintf("setup of %d bytes, not %d", len(a.Value), len(b.Value)))
	}
	for _, name := range theirs.ShardNames() {
		for _, id := range s.jobs {
			want, there := theirs.Shard(name).Get(id)
			got, here := mine.Shard(name).Get(id)
			if there && (!here || got.Live != want.Live || want.Live && got.OlderThan(want)) {
				out = append(out, name+" "+id)
			}
		}
	}
	return out
}

// A member that missed hundreds of changes, some of them large, and jobs that came and ended,
// has caught up four seconds after its return. When another member then loses its disk while
// the third loses power, nothing is lost and no older state is returned.
func TestMemberCatchesUp(t *testing.T) {
	for seed := range uint64(3) {
		s := newCoreChangeWorld(t, 40+seed, 3)
		core := s.newestSet().Members
		first := int(seed) % 3
		absent, wiped, unpowered := s.nodes[core[first].Name], s.nodes[core[(first+1)%3].Name], s.nodes[core[(first+2)%3].Name]
		s.acceptJobs(20)
		absent.kill(true)
		for i := range 300 {
			if i%100 == 50 {
				s.acceptConfig(largeSetup(1500))
			} else {
				s.acceptConfig(queueSetup("q", fmt.Sprintf(`,"quota":%d`, 1+i)))
			}
			if i%3 == 0 {
				s.acceptJobs(1)
			}
		}
		s.cancelJobs(s.jobs[5:60])
		last := s.callAndWait(s.observer(), evRequest{Op: "setup.get"}, 2000).body
		before := unpowered.executor.node.store.Register("setup").Accepted
		absent.start()
		s.run(4000)
		// The register is neither rewritten nor read by all members.
		must.Eq(t, before, unpowered.executor.node.store.Register("setup").Accepted, s.details())
		must.SliceEmpty(t, s.missingState(absent, unpowered), s.details())
		must.SliceEmpty(t, s.missingState(absent, wiped), s.details())
		wiped.kill(true)
		wiped.wipe()
		unpowered.kill(true)
		s.after(400_000, wiped.start)
		s.after(600_000, unpowered.start)
		for range 40 { // every successful answer returns the newest state
			s.run(100)
			if r := s.callAndWait(s.observer(), evRequest{Op: "setup.get"}, 1000); r.status == 200 {
				must.Eq(t, gjson.Get(last, "version").Int(), gjson.Get(r.body, "version").Int())
			}
			if r := s.callAndWait(s.observer(), evRequest{Op: "job.get", Key: s.jobs[30], Base: -1}, 1000); r.status == 200 {
				must.Eq(t, "cancelled", gjson.Get(r.body, "state").Str, must.Sprint(r.body))
			}
		}
		s.requireAllKept()
		for _, id := range s.jobs[5:60] {
			r := s.callAndWait(s.observer(), evRequest{Op: "job.get", Key: id, Base: -1}, 2000)
			must.Eq(t, "cancelled", gjson.Get(r.body, "state").Str, must.Sprint(r.body))
		}
	}
}

// State that a member lacks is sent in bounded parts, and again until the member has synced
// it.
func TestCatchUpSurvivesLostMessages(t *testing.T) {
	s := newCoreChangeWorld(t, 50, 3)
	core := s.newestSet().Members
	absent, other := s.nodes[core[2].Name], s.nodes[core[0].Name]
	absent.kill(true)
	s.acceptJobs(200)
	s.run(1500)
	absent.start()
	s.until(3000, func() bool { return s.total("catch_up_parts") > 0 })
	absent.kill(true) // while a part is being written
	s.run(200)
	absent.start()
	s.run(4000)
	must.SliceEmpty(t, s.missingState(absent, other), s.details())
}

// A state is read from the core only if a majority agrees on it, not from a member that has
// been away or one that alone has a later state.
func TestCoreReadNeedsAgreement(t *testing.T) {
	s := newCoreChangeWorld(t, 60, 3)
	n := s.observer().executor.node
	stored := func(version int64, state jobStatus) statestore.Record {
		j := jobRecord{ID: "j", Queue: "q", State: state, SubmitMs: 1, DoneMs: map[jobStatus]int64{jobCancelled: 9}[state], Version: version}
		return statestore.Record{ID: "j", Epoch: 4, Version: version, Live: true, Value: j.encode()}
	}
	members := n.core.Names()
	read := func(responses ...statestore.Record) string {
		n.forwarded, n.effects = map[uint64]*forwardedRequest{}, nil
		r := &quorumRead{request: &request{id: 1, op: "job.get", key: "j"}, responses: map[string]statestore.Record{}, deadlineMs: n.now + quorumReadTimeoutMs}
		n.quorumReads[7] = r
		for i, a := range responses {
			n.onQuorumRead(r, 7, members[i], []statestore.Record{a})
		}
		for _, e := range n.effects {
			if reply, ok := e.(effReply); ok && reply.Status == 200 {
				return gjson.GetBytes(reply.Body, "state").Str
			}
		}
		return ""
	}
	old, now := stored(2, jobRunning), stored(9, jobCancelled)
	must.Eq(t, "cancelled", read(now, now))
	must.Eq(t, "", read(now, old))
	must.Eq(t, "", read(old, now))
	must.Eq(t, "cancelled", read(now, old, now))
	must.Eq(t, "cancelled", read(old, now, now))
	must.Eq(t, "running", read(old, now, old))
}
