package daemon

// Contact with the core. A daemon's polls prove it, both ways at once: a round
// counts from when it was sent, and only once a majority has answered it. So a
// daemon that hears and isn't heard is out of contact like one that hears nothing.
//
// What needs a majority is checked where it is done: a lease by its end, a setup
// by its confirmation, a change of a register by its two rounds. Contact only
// decides how soon a caller is told that none of that can be had here. A daemon
// that was out of it for a lease answers at once, with when to come back, and
// lets go of every call that it still holds.

// inContact tells whether a majority of the core answered a poll that was sent
// within the span of a lease.
func (n *node) inContact() bool {
	return n.core.Cluster != 0 && n.now-n.poll.contactMs <= leaseHeldMs
}

// cutOff tells whether this daemon ran for a whole lease without contact. One
// that has just started, or woken from a freeze, can't tell yet: its first polls
// are under way.
func (n *node) cutOff() bool { return n.now-max(n.poll.contactMs, n.wokeMs) > leaseHeldMs }

// forwardTimedOut tells whether to stop waiting for the daemon that a call was handed
// to: at the call's limit, where this daemon is cut off, and for an operator's
// order where the core member that has it answers no polls.
func (n *node) forwardTimedOut(p *forwardedRequest) bool {
	return n.now >= p.limitMs || n.cutOff() || operatorRequests[p.request.op] && n.now-n.poll.heardMs[p.to] > leaseHeldMs
}
