package daemon

import (
	"hash/fnv"
	"reflect"

	"otterchute/internal/register"
	"otterchute/internal/wire"
)

// Each frame names the process that sent it and the one it is meant for, since
// names and addresses outlive processes: a daemon may be back within a second,
// and another machine may get the address of one that is gone. Request numbers
// count from 0 in each life, so a late response to an earlier life would
// otherwise be taken for that to a present request of the same number.
//
// A life is a random number drawn at the start of a process. It doesn't depend
// on any clock, and unlike the incarnation it never changes within a process.
//
//   - A request or an announcement names the addressee's name. Any life of it
//     may take that: what must not outlive a process carries an epoch of its own.
//   - A response names the life that asked. No other takes it, so within a
//     life's numbers each response finds its own request or none.
//   - Only greetings may go to whoever listens at a seed's address, whose name
//     isn't known yet. They tell versioned facts that hold for any reader.
//
// Frames of earlier forms begin with another magic and are refused, as ours are
// by daemons of that time. In a rolling restart across the change the two kinds
// don't hear each other: each serves while it has a majority of the core, as
// across a cut of the network, so core members are restarted one by one.

// anyProcess addresses whoever listens at an address.
const anyProcess uint64 = 0

// peerInstance is one process of a daemon.
type peerInstance struct {
	name     string
	instance uint64
}

// responses are the messages that answer one request of one process.
var responses = map[reflect.Type]bool{
	reflect.TypeFor[*wire.PollResponse]():  true,
	reflect.TypeFor[*register.Promise]():   true,
	reflect.TypeFor[*register.Accepted]():  true,
	reflect.TypeFor[*wire.SealResponse]():  true,
	reflect.TypeFor[*wire.WriteResponse](): true,
	reflect.TypeFor[*wire.FetchResponse](): true,
	reflect.TypeFor[*wire.ForwardReply]():  true,
	reflect.TypeFor[*wire.FormResponse]():  true,
	reflect.TypeFor[*wire.CopyResponse]():  true,
	reflect.TypeFor[*wire.RegisterValue](): true,
	reflect.TypeFor[*wire.DigestReply]():   true,
}

// addressOnlyMessages are the messages that may go to an address without a name.
var addressOnlyMessages = map[reflect.Type]bool{reflect.TypeFor[*wire.Gossip](): true, reflect.TypeFor[*wire.Digest](): true}

func newInstanceID() uint64 { return newSeed() | 1 }

// addresseeID is a name as frames bear it, never anyProcess.
func addresseeID(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64() | 1
}

// acceptsFrame tells whether a message is meant for this process. It counts what isn't.
func (n *node) acceptsFrame(header wire.Header, msg any) bool {
	kind := reflect.TypeOf(msg)
	switch {
	case responses[kind]:
		if header.To == n.Instance {
			return true
		}
		n.count("late_responses")
		return false
	case header.To == addresseeID(n.Name), header.To == anyProcess && addressOnlyMessages[kind]:
		return true
	}
	n.count("messages_misaddressed")
	return false
}

// destination is what a message to a daemon bears: its name, or in a response
// the life whose request is being handled.
func (n *node) destination(to string, msg any) uint64 {
	switch {
	case !responses[reflect.TypeOf(msg)]:
		return addresseeID(to)
	case to == n.Name:
		return n.Instance
	case to == n.sender.name:
		return n.sender.instance
	}
	return anyProcess // nobody takes a response that answers no request
}

// respondTo answers a request that was kept for a while.
func (n *node) respondTo(to peerInstance, msg any) {
	e := n.sendEffect(to.name, msg).(effSend)
	e.Dest = to.instance
	n.emit(e)
}

// sendAt sends to a daemon at the address that it has just given as its own.
func (n *node) sendAt(to, addr string, msg any) {
	n.emit(effSend{To: to, Addr: addr, Dest: n.destination(to, msg), Msg: msg})
}
