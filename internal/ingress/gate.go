package ingress

import (
	"container/list"
	"sync"
	"time"
)

// phase is what a connection is doing.
type phase int

const (
	phaseIdle      phase = iota // no byte of a request has arrived
	phaseReceiving              // a part of a request has arrived
	phaseServing                // a request has arrived whole, and its response has not begun
	phaseSending                // a response is being written
	phaseCount
)

const (
	// idlePreference is how long a connection must be idle to be closed before any other.
	idlePreference = time.Second
	// stallAge is how long an incomplete request, or a write without progress, keeps its reservations in any case.
	stallAge = time.Second
)

// Gate bounds the connections of one listener and the memory that they reserve.
type Gate struct {
	maxConnections int
	maxUntrusted   int // of the connections that are not trusted
	poolBytes      int64
	isHTTP         bool // requests are HTTP; else the connections are between daemons

	work workPool

	mu        sync.Mutex
	phases    [phaseCount]*list.List // untrusted connections by phase, the one that entered it first in front
	trusted   *list.List             // trusted connections, in no order
	heldBytes int64
}

func newGate(maxConnections int, poolBytes int64) *Gate {
	g := &Gate{maxConnections: maxConnections, maxUntrusted: maxConnections, poolBytes: poolBytes, isHTTP: true,
		trusted: list.New(), work: workPool{capacity: poolBytes}}
	for p := range g.phases {
		g.phases[p] = list.New()
	}
	return g
}

// Connections returns how many connections are open.
func (g *Gate) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.untrustedLocked() + g.trusted.Len()
}

// HeldBytes returns how much memory is reserved.
func (g *Gate) HeldBytes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heldBytes
}

func (g *Gate) untrustedLocked() (count int) {
	for _, connections := range g.phases {
		count += connections.Len()
	}
	return count
}

// admit registers a new connection. If there is no room, another connection is closed, or the new one is refused.
func (g *Gate) admit(c *Conn) bool {
	g.mu.Lock()
	untrusted := g.untrustedLocked()
	var victim *Conn
	if untrusted >= g.maxUntrusted || untrusted+g.trusted.Len() >= g.maxConnections {
		if victim = g.connectionVictimLocked(); victim == nil {
			g.mu.Unlock()
			return false
		}
		g.removeLocked(victim)
	}
	g.enterLocked(c, phaseIdle)
	g.mu.Unlock()
	if victim != nil {
		victim.reset()
	}
	return true
}

// makeRoom closes one connection, if there is one that may be closed.
func (g *Gate) makeRoom() {
	g.mu.Lock()
	victim := g.connectionVictimLocked()
	if victim != nil {
		g.removeLocked(victim)
	}
	g.mu.Unlock()
	if victim != nil {
		victim.reset()
	}
}

// connectionVictimLocked returns the connection to close when there are too many, or nil if there is none.
func (g *Gate) connectionVictimLocked() *Conn {
	idle, receiving, sending := g.oldestLocked(phaseIdle), g.oldestLocked(phaseReceiving), g.oldestLocked(phaseSending)
	switch {
	case idle != nil && time.Since(idle.since) > idlePreference:
		return idle
	case idle != nil && (receiving == nil || idle.since.Before(receiving.since)):
		return idle
	case receiving != nil:
		return receiving
	case sending != nil && time.Since(sending.since) > stallAge:
		return sending
	}
	return nil
}

func (g *Gate) oldestLocked(p phase) *Conn {
	if front := g.phases[p].Front(); front != nil {
		return front.Value.(*Conn)
	}
	return nil
}

// enterLocked moves a connection to a phase.
func (g *Gate) enterLocked(c *Conn, p phase) {
	if c.element != nil {
		c.place.Remove(c.element)
	}
	c.phase, c.since = p, time.Now()
	if c.place = g.phases[p]; c.isTrusted {
		c.place = g.trusted
	}
	c.element = c.place.PushBack(c)
}

// removeLocked forgets a connection and what it holds.
func (g *Gate) removeLocked(c *Conn) {
	if c.element == nil {
		return
	}
	c.place.Remove(c.element)
	c.element, c.isRemoved = nil, true
	g.releaseLocked(c)
}

func (g *Gate) releaseLocked(c *Conn) {
	g.heldBytes -= c.heldBytes
	c.heldBytes = 0
}

// reserve adds to the memory that a connection holds. If the pool is exhausted, stalled connections that hold some
// of it are closed, the oldest first. A connection may hold more than the whole pool while no other holds any, unless
// it is an untrusted one between daemons.
func (g *Gate) reserve(c *Conn, bytes int64) bool {
	g.mu.Lock()
	if c.isRemoved {
		g.mu.Unlock()
		return false
	}
	var victims []*Conn
	mayExceed := g.isHTTP || c.isTrusted
	fits := func() bool { return g.heldBytes+bytes <= g.poolBytes || mayExceed && g.heldBytes == c.heldBytes }
	for !fits() {
		victim := g.holderVictimLocked(c)
		if victim == nil {
			break
		}
		g.removeLocked(victim)
		victims = append(victims, victim)
	}
	ok := fits()
	if ok {
		c.heldBytes += bytes
		g.heldBytes += bytes
	}
	g.mu.Unlock()
	for _, victim := range victims {
		victim.reset()
	}
	return ok
}

// holderVictimLocked returns the connection to close for the memory that it holds, or nil if there is none.
func (g *Gate) holderVictimLocked(except *Conn) *Conn {
	for _, connections := range []*list.List{g.phases[phaseReceiving], g.phases[phaseSending], g.trusted} {
		for e := connections.Front(); e != nil; e = e.Next() {
			c := e.Value.(*Conn)
			stalled := c.phase == phaseReceiving || c.phase == phaseSending
			if stalled && c != except && c.heldBytes > 0 && time.Since(c.since) > stallAge {
				return c
			}
		}
	}
	return nil
}
