package daemon

import (
	"reflect"

	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

// effectPorts carries out effects on the outside world. The daemon process and the
// simulator have implementations of their own; the reducer and the executor are the same.
type effectPorts interface {
	Send(head wire.Header, to, addr string, msg any)
	// Append writes entries and calls done once all entries so far are synced, at once
	// if none are outstanding.
	Append(entries []statestore.Entry, done func())
	Snapshot(entries []statestore.Entry)
	Wipe(diskID uint64)
	Reply(e effReply)
	Order(e effOrder)
	Log(event string, pairs []any)
	Exit()
}

// executor runs one daemon: it passes events to the reducer and carries out the effects
// that the reducer returns. Only one goroutine may use it.
type executor struct {
	node  *node
	ports effectPorts
}

func (exec *executor) step(ev event) {
	for _, e := range reduce(exec.node, ev) {
		exec.execute(e)
	}
}

// effectHandlers has the function that carries out each type of effect.
var effectHandlers map[reflect.Type]func(*executor, effect)

// onEffect registers the handler of a type of effect.
func onEffect[E any](f func(*executor, E)) {
	effectHandlers[reflect.TypeFor[E]()] = func(exec *executor, e effect) { f(exec, e.(E)) }
}

func init() {
	effectHandlers = map[reflect.Type]func(*executor, effect){}
	onEffect(func(exec *executor, e effSend) {
		head := exec.node.frameHeader()
		head.To = e.Dest
		exec.ports.Send(head, e.To, e.Addr, e.Msg)
	})
	onEffect(func(exec *executor, e effAppend) {
		exec.ports.Append(e.Entries, func() {
			for _, then := range e.Then {
				exec.execute(then)
			}
		})
	})
	onEffect(func(exec *executor, e effSnapshot) { exec.ports.Snapshot(e.Entries) })
	onEffect(func(exec *executor, e effWipe) { exec.ports.Wipe(e.DiskID) })
	onEffect(func(exec *executor, e effReply) { exec.ports.Reply(e) })
	onEffect(func(exec *executor, e effOrder) { exec.ports.Order(e) })
	onEffect(func(exec *executor, e effLog) { exec.ports.Log(e.Event, e.Pairs) })
	onEffect(func(exec *executor, _ effExit) { exec.ports.Exit() })
}

func (exec *executor) execute(e effect) {
	if h, ok := effectHandlers[reflect.TypeOf(e)]; ok {
		h(exec, e)
	}
}
