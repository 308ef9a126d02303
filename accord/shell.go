package main

import "reflect"

// ports are what the shell carries effects out with. The product and the
// simulator each bring their own; the reducer and the shell are the same.
type ports interface {
	Send(head wireHead, to, addr string, msg any)
	// Append calls done once all entries so far are synced, at once if none wait.
	Append(entries []logEntry, done func())
	Snapshot(entries []logEntry)
	Wipe(diskID uint64)
	Reply(e effReply)
	Order(e effOrder)
	Log(event string, pairs []any)
	Exit()
}

// shell runs one daemon: it feeds events to the reducer and carries out what
// comes back. Only one goroutine may use it.
type shell struct {
	n     *node
	p     ports
	meter *meter // only in experiments
}

func (s *shell) step(ev event) {
	s.meter.begin()
	effects := reduce(s.n, ev)
	s.meter.reduced(ev.Body)
	for _, e := range effects {
		s.carry(e)
	}
}

var effectHandlers map[reflect.Type]func(*shell, effect)

func onEffect[E any](f func(*shell, E)) {
	effectHandlers[reflect.TypeFor[E]()] = func(s *shell, e effect) { f(s, e.(E)) }
}

func init() {
	effectHandlers = map[reflect.Type]func(*shell, effect){}
	onEffect(func(s *shell, e effSend) {
		head := s.n.headOf()
		head.To = e.Dest
		s.p.Send(head, e.To, e.Addr, e.Msg)
	})
	onEffect(func(s *shell, e effAppend) {
		s.p.Append(e.Entries, func() {
			for _, then := range e.Then {
				s.carry(then)
			}
		})
	})
	onEffect(func(s *shell, e effSnapshot) { s.p.Snapshot(e.Entries) })
	onEffect(func(s *shell, e effWipe) { s.p.Wipe(e.DiskID) })
	onEffect(func(s *shell, e effReply) { s.p.Reply(e) })
	onEffect(func(s *shell, e effOrder) { s.p.Order(e) })
	onEffect(func(s *shell, e effLog) { s.p.Log(e.Event, e.Pairs) })
	onEffect(func(s *shell, _ effExit) { s.p.Exit() })
}

func (s *shell) carry(e effect) {
	if s.meter != nil {
		defer s.meter.carried(e, now())
	}
	if h, ok := effectHandlers[reflect.TypeOf(e)]; ok {
		h(s, e)
	}
}
