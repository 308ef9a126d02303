package daemon

import (
	"reflect"
	"testing"

	"otterchute/internal/codec"
	"otterchute/internal/configuration"
	"otterchute/internal/quorum"
	"otterchute/internal/register"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// quorumOfThree is a core of three members that receive one message at a time, so that a test
// can lose, repeat and delay each message.
type quorumOfThree struct {
	set     quorum.Set
	members map[string]*node
}

func newQuorumOfThree() *quorumOfThree {
	set := quorum.Set{Cluster: 9, Version: 1, Members: []quorum.Member{{Name: "a", DiskID: 1}, {Name: "b", DiskID: 2}, {Name: "c", DiskID: 3}}}
	q := &quorumOfThree{set: set, members: map[string]*node{}}
	for _, m := range set.Members {
		st := statestore.New()
		st.Apply(statestore.Entry{Kind: statestore.EntryCoreSet, Value: set.Encode()})
		n := newNode(nodeConfig{Name: m.Name, DiskID: m.DiskID, Disk: true}, st)
		n.core = set
		q.members[m.Name] = n
	}
	return q
}

// newProposer starts a process of the proposer "p".
func (q *quorumOfThree) newProposer(number uint64) *node {
	n := newNode(nodeConfig{Name: "p", Incarnation: number, Instance: number}, nil)
	n.core = q.set
	return n
}

// sendsAfter processes a message and returns what is sent, including after synced writes. The
// message is always addressed to the current process: ballots must be safe without the check
// of addressees.
func sendsAfter(n *node, from string, msg any) []effSend {
	head := wire.Header{From: from, Cluster: 9, To: addresseeID(n.Name)}
	if responses[reflect.TypeOf(msg)] {
		head.To = n.Instance
	}
	var out []effSend
	for _, e := range reduce(n, event{NowMs: n.now + 1, Seed: 1, Body: evMsg{Head: head, Msg: msg}}) {
		switch x := e.(type) {
		case effSend:
			out = append(out, x)
		case effAppend:
			for _, then := range x.Then {
				if s, ok := then.(effSend); ok {
					out = append(out, s)
				}
			}
		}
	}
	return out
}

// propose starts a change of the configuration to version 1 with this queue, and returns the
// messages sent for it by member.
func propose(n *node, queue string) (*registerChange, map[string]any) {
	n.effects = nil
	change := n.startChange("setup", "setup", queueSetup(queue, ""), 0)
	change.changeID = configuration.ChangeID{Version: 1}
	return change, sendsByMember(n.effects)
}

func sendsByMember(effects []effect) map[string]any {
	out := map[string]any{}
	for _, e := range effects {
		if s, ok := e.(effSend); ok {
			out[s.To] = s.Msg
		}
	}
	return out
}

func messagesByMember(sends []effSend) map[string]any {
	out := map[string]any{}
	for _, s := range sends {
		out[s.To] = s.Msg
	}
	return out
}

// A process that ended after one accept, and its successor, must not propose two values under
// one ballot. Otherwise a repeated promise to the first process would count for the second,
// and a late accept of the first would replace the chosen value.
func TestBallotsAreUniqueOverInstances(t *testing.T) {
	q := newQuorumOfThree()
	answer := func(member string, msg any) any {
		sends := sendsAfter(q.members[member], "p", msg)
		must.Len(t, 1, sends)
		return sends[0].Msg
	}

	first := q.newProposer(1)
	_, prepares := propose(first, "left")
	promiseA, promiseB := answer("a", prepares["a"]), answer("b", prepares["b"])
	sendsAfter(first, "a", promiseA)
	accepts := messagesByMember(sendsAfter(first, "b", promiseB))
	answer("a", accepts["a"]) // the only one that arrives in time; then the process ends

	second := q.newProposer(2)
	op, prepares := propose(second, "right")
	sendsAfter(second, "b", promiseB) // a repeated message
	accepts2 := messagesByMember(sendsAfter(second, "c", answer("c", prepares["c"])))
	if len(accepts2) > 0 { // a majority, as far as the second process can tell
		for _, m := range []string{"b", "c"} {
			sendsAfter(second, m, answer(m, accepts2[m]))
		}
		must.MapNotContainsKey(t, second.changes, op.ID, must.Sprint("the second change is acknowledged"))
		answer("b", accepts["b"]) // late
		for _, m := range []string{"b", "c"} {
			var d configuration.Record
			must.NoError(t, codec.Unmarshal(q.members[m].store.Register("setup").Value, &d))
			doc, _ := configuration.Inflate(d.Document)
			must.StrContains(t, string(doc), "right", must.Sprint("the acknowledged change is lost at ", m))
		}
		t.Fatal("a promise to an earlier process was counted")
	}
	must.Eq(t, register.Pending, op.Outcome())
}

// All tries of one process use different ballots, whatever the register.
func TestBallotsAreUniqueWithinAnInstance(t *testing.T) {
	n := newQuorumOfThree().newProposer(1)
	seen := map[register.Ballot]bool{}
	for range 3 {
		for _, queue := range []string{"left", "right"} {
			change, _ := propose(n, queue)
			must.MapNotContainsKey(t, seen, change.Ballot)
			seen[change.Ballot] = true
			n.now += changeTiming.ResponseTimeoutMs + 1
			n.tickChanges()
			must.MapNotContainsKey(t, seen, change.Ballot)
			seen[change.Ballot] = true
		}
	}
}

// A member sends its promise or its acceptance only after its disk has synced it.
func TestAcceptorsAnswerAfterTheSync(t *testing.T) {
	q := newQuorumOfThree()
	b := register.Ballot{Round: 1, Proposer: "p", Instance: 1}
	for _, request := range []any{&register.Prepare{Op: 1, SetVersion: 1, Register: "setup", Ballot: b},
		&register.Accept{Op: 1, SetVersion: 1, Register: "setup", Ballot: b, Value: []byte("v")}} {
		n := q.members["a"]
		effects := reduce(n, event{NowMs: n.now + 1, Seed: 1, Body: evMsg{Head: wire.Header{From: "p", Cluster: 9, To: addresseeID("a")}, Msg: request}})
		must.Len(t, 1, effects)
		appended, ok := effects[0].(effAppend)
		must.True(t, ok)
		must.Len(t, 1, appended.Entries)
		must.Eq(t, b, appended.Entries[0].Ballot)
		must.Len(t, 1, appended.Then)
	}
}
