package daemon

import (
	"reflect"

	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

// effectPorts are what the executor carries effects out with. The product and the
// simulator each bring their own; the reducer and the executor are the same.
type effectPorts interface {
	Send(head wire.Header, to, addr string, msg any)
	// Append calls done once all entries so far are synced, at once if none wait.
	Append(entries []statestore.Entry, done func())
	Snapshot(entries []statestore.Entry)
	Wipe(diskID uint64)
	Reply(e effReply)
	Order(e effOrder)
	Log(event string, pairs []any)
	Exit()
}

// executor runs one daemon: it feeds events to the reducer and carries out what
// comes back. Only one goroutine may use it.
type executor struct {
	node  *node
	ports effectPorts
}

func (s *executor) step(ev event) {
	for _, e := range reduce(s.node, ev) {
		s.execute(e)
	}
}

var effectHandlers map[reflect.Type]func(*executor, effect)

func onEffect[E any](f func(*executor, E)) {
	effectHandlers[reflect.TypeFor[E]()] = func(s *executor, e effect) { f(s, e.(E)) }
}

func init() {
	effectHandlers = map[reflect.Type]func(*executor, effect){}
	onEffect(func(s *executor, e effSend) {
		head := s.node.headOf()
		head.To = e.Dest
		s.ports.Send(head, e.To, e.Addr, e.Msg)
	})
	onEffect(func(s *executor, e effAppend) {
		s.ports.Append(e.Entries, func() {
			for _, then := range e.Then {
				s.execute(then)
			}
		})
	})
	onEffect(func(s *executor, e effSnapshot) { s.ports.Snapshot(e.Entries) })
	onEffect(func(s *executor, e effWipe) { s.ports.Wipe(e.DiskID) })
	onEffect(func(s *executor, e effReply) { s.ports.Reply(e) })
	onEffect(func(s *executor, e effOrder) { s.ports.Order(e) })
	onEffect(func(s *executor, e effLog) { s.ports.Log(e.Event, e.Pairs) })
	onEffect(func(s *executor, _ effExit) { s.ports.Exit() })
}

func (s *executor) execute(e effect) {
	if h, ok := effectHandlers[reflect.TypeOf(e)]; ok {
		h(s, e)
	}
}
