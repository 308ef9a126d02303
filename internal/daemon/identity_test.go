package daemon

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"reflect"
	"testing"

	"otterchute/internal/codec"
	"otterchute/internal/register"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// jobBody returns a job of one short task.
func jobBody(queue string) []byte {
	return fmt.Appendf(nil, `{"queue":%q,"steps":[{"name":"a","tasks":[{"name":"t","room":1,"payload":{"ms":50}}]}]}`, queue)
}

// idOwnedBy returns a job ID in a shard that this daemon owns.
func idOwnedBy(w *world, owner *simNode, prefix string) string {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%s-%d", prefix, i)
		if w.holderOf("slice/"+owner.executor.node.shardOf(id)) == owner {
			return id
		}
	}
}

// frontAndOwner returns a daemon that owns no shard and one that does.
func frontAndOwner(t *testing.T, w *world) (front, owner *simNode) {
	t.Helper()
	for _, name := range sortedKeys(w.nodes) {
		n := w.nodes[name]
		switch {
		case len(n.executor.node.shards) > 0:
			owner = n
		case !n.Disk:
			front = n
		}
	}
	must.NotNil(t, front)
	must.NotNil(t, owner)
	return front, owner
}

// A daemon restarts within a second, and the response to a caller of its earlier process
// arrives late, under the number that a new caller's request now has. It must not be returned
// to the new caller: that would acknowledge a job that the owner never received.
func TestAnswerBelongsToItsInstance(t *testing.T) {
	w := formed(t, 1, "hakata")
	w.run(3000)
	front, owner := frontAndOwner(t, w)
	queue := w.deployment.InitialConfiguration().Queues[0].Name
	first, second := idOwnedBy(w, owner, "first"), idOwnedBy(w, owner, "second")
	forwarded, withheld := false, 0
	w.extraDelayUs = func(from, to string, msg any) int64 {
		switch m := msg.(type) {
		case *wire.ForwardReply: // to the first process, until the second has forwarded a request
			if from == owner.Name && to == front.Name && !forwarded {
				withheld++
				return 700_000
			}
		case *wire.Forward:
			if from == front.Name && m.Key == second {
				forwarded = true
				return 400_000 // the late response arrives before this request
			}
		}
		return 0
	}
	restart := func() {
		front.kill(false)
		w.run(100)
		front.start()
	}
	restart() // its numbers start again
	w.until(2000, func() bool {
		h, _ := front.executor.node.leases.Holder("slice/" + front.executor.node.shardOf(first))
		return h == owner.Name
	})
	w.request("caller", front, "job.put", first, jobBody(queue), 5000, func(int, int64, []byte) {})
	must.True(t, w.until(500, func() bool { return withheld > 0 }), must.Sprint("the owner sent no answer"))
	lastSeq := front.executor.node.forwardSeq
	restart()
	must.True(t, w.until(600, func() bool {
		h, _ := front.executor.node.leases.Holder("slice/" + front.executor.node.shardOf(second))
		return h == owner.Name
	}),
		must.Sprint("the second process found no owner in time"))
	// Workers' reports may have used numbers: the next one is that of the first caller again.
	front.executor.node.forwardSeq = lastSeq - 1
	status, _, body, took := w.requestAndWait("caller", front, "job.put", second, jobBody(queue))
	must.True(t, forwarded)
	must.Eq(t, 201, status)
	must.Eq(t, second, gjson.GetBytes(body, "id").Str, must.Sprintf("the answer after %d ms is another caller's: %s", took, body))
	must.Positive(t, front.executor.node.counts["late_responses"])
}

// addressedTo reports whether a daemon accepts a message with this addressee.
func addressedTo(n *node, to uint64, msg any) bool {
	return n.acceptsFrame(wire.Header{From: "b", Instance: 77, To: to}, msg)
}

// A message is accepted only by its addressee: a request by daemon name, a response by the
// process that sent the request, and a first contact by any process at the address.
func TestMessageBelongsToItsAddressee(t *testing.T) {
	n := newNode(nodeConfig{Name: "a", Incarnation: 5, Instance: 1234}, nil)
	for _, kind := range wire.Kinds() {
		typ := messageType(kind)
		msg := reflect.New(typ).Interface()
		response, greeting := responses[reflectPtr(typ)], addressOnlyMessages[reflectPtr(typ)]
		must.Eq(t, !response, addressedTo(n, addresseeID("a"), msg), must.Sprint(typ))
		must.Eq(t, response, addressedTo(n, 1234, msg), must.Sprint(typ))
		must.Eq(t, greeting, addressedTo(n, anyProcess, msg), must.Sprint(typ))
		must.False(t, addressedTo(n, addresseeID("b"), msg), must.Sprint(typ))
		must.False(t, addressedTo(n, 1235, msg), must.Sprint(typ))
	}
	n.Incarnation = 99 // the incarnation may rise while the process stays the same
	must.True(t, addressedTo(n, 1234, &wire.ForwardReply{}))
	must.Positive(t, n.counts["late_responses"])
	must.Positive(t, n.counts["messages_misaddressed"])
}

// A response is addressed to the process that sent the request, even if a newer process runs
// there now.
func TestResponseBelongsToTheInstanceThatAsked(t *testing.T) {
	w := formed(t, 2, "ikenna")
	n := w.nodes["d01"].executor.node
	var dest []uint64
	collect := func(effects []effect) {
		for _, e := range effects {
			if s, ok := e.(effSend); ok && responses[reflect.TypeOf(s.Msg)] {
				dest = append(dest, s.Dest)
			}
		}
	}
	for _, msg := range []any{&wire.PollRequest{SetVersion: n.core.Version}, &register.Prepare{SetVersion: n.core.Version, Register: "x", Ballot: register.Ballot{Round: 1, Proposer: "b", Instance: 4321}},
		&register.Accept{SetVersion: n.core.Version, Register: "x", Ballot: register.Ballot{Round: 1, Proposer: "b", Instance: 4321}}, &wire.SealRequest{SetVersion: n.core.Version, Shard: "x", Epoch: 3},
		&wire.WriteRequest{SetVersion: n.core.Version, Shard: "x", Epoch: 3}, &wire.FetchRequest{SetVersion: n.core.Version, Shard: "x"}, &wire.RegisterRead{SetVersion: n.core.Version, Register: "x"},
		&wire.CopyRequest{SetVersion: n.core.Version}, &wire.Digest{Self: wire.Peer{Name: "b"}}, &wire.Forward{Op: "members"}} {
		before := len(dest)
		for _, e := range reduce(n, event{NowMs: n.now, WallMs: n.wall, Seed: 1, Body: evMsg{Head: wire.Header{From: "b", Instance: 4321, To: addresseeID(n.Name)}, Msg: msg}}) {
			if a, ok := e.(effAppend); ok {
				collect(a.Then)
			} else {
				collect([]effect{e})
			}
		}
		must.Eq(t, before+1, len(dest), must.Sprintf("%T", msg))
		must.Eq(t, 4321, dest[before], must.Sprintf("%T", msg))
	}
}

// Frames of the former format are rejected, and never decoded as something else.
func TestFormerFrameFormatIsRejected(t *testing.T) {
	former := struct {
		Magic         uint64
		Version, Kind int32
		Cluster       uint64
		From          string
		Inc           uint64
	}{0x6f74746572636875, 3, 15, 9, "d01", 7}
	frame := codec.Append(codec.Append(make([]byte, 4), former), wire.ForwardReply{ID: 1, Status: 200})
	binary.BigEndian.PutUint32(frame, crc32.ChecksumIEEE(frame[4:]))
	_, _, err := wire.DecodeFrame(frame)
	must.ErrorIs(t, err, wire.ErrForeign)
}
