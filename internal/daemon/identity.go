package daemon

import (
	"hash/fnv"
	"reflect"

	"otterchute/internal/register"
	"otterchute/internal/wire"
)

// Each frame identifies the process that sent it and its recipient, since names and
// addresses outlive processes: a daemon may restart within a second, and another machine
// may get the address of one that is gone. Each process numbers its requests from 0, so a
// late response to a request of an earlier process could otherwise be mistaken for the
// response to a current request of the same number.
//
// An instance ID is a random number drawn at the start of a process. It doesn't depend on
// any clock, and unlike the incarnation it never changes within a process.
//
//   - A request or an announcement is addressed to a daemon by name. Any process of that
//     name may accept it. A message that must not take effect in a later process carries an
//     epoch as well.
//   - A response is addressed to the instance that sent the request. No other accepts it,
//     so each response is matched to its own request or dropped.
//   - Only gossip and digests may be sent to any process at an address, because the name of
//     a seed isn't known yet. They carry versioned facts that are valid for any recipient.
//
// Frames of earlier formats begin with another magic number and are rejected, as frames of
// this format are by daemons of earlier versions. During a rolling restart across the change
// of the format, the two versions can't communicate. As in a network partition, a version
// serves only while it has a majority of the core, so core members are restarted one by one.

// anyProcess addresses any process that listens at an address.
const anyProcess uint64 = 0

// peerInstance identifies one process of a daemon.
type peerInstance struct {
	name     string
	instance uint64
}

// responses are the types of messages that answer a request of one process.
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

// addressOnlyMessages are the types of messages that may be sent to an address without a name.
var addressOnlyMessages = map[reflect.Type]bool{
	reflect.TypeFor[*wire.Gossip](): true,
	reflect.TypeFor[*wire.Digest](): true,
}

func newInstanceID() uint64 { return newSeed() | 1 }

// addresseeID returns the hash of a name by which frames address a daemon. It is never
// anyProcess.
func addresseeID(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64() | 1
}

// acceptsFrame reports whether a message is addressed to this process, and counts those
// that aren't.
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

// destination returns the address in the frame of a message to a daemon: the hash of its
// name, or for a response the instance whose request is being handled.
func (n *node) destination(to string, msg any) uint64 {
	switch {
	case !responses[reflect.TypeOf(msg)]:
		return addresseeID(to)
	case to == n.Name:
		return n.Instance
	case to == n.sender.name:
		return n.sender.instance
	}
	return anyProcess // a response without a request is accepted by no process
}

// respondTo responds to a request of an instance. It may be called after the handler of the request has returned.
func (n *node) respondTo(to peerInstance, msg any) {
	e := n.sendEffect(to.name, msg).(effSend)
	e.Dest = to.instance
	n.emit(e)
}

// sendAt sends a message to a daemon at the address that the daemon itself has just reported.
func (n *node) sendAt(to, addr string, msg any) {
	n.emit(effSend{To: to, Addr: addr, Dest: n.destination(to, msg), Msg: msg})
}
