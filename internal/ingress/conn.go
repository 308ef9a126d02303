package ingress

import (
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// errClosedForRoom is returned by operations on a connection that the gate has closed.
var errClosedForRoom = errors.New("connection closed to make room for others")

const (
	// freeHeaderBytes of a request's head need no reservation; connectionCost includes them.
	freeHeaderBytes = 1 << 10
	// headerCost is the memory that each byte of a request's head may take, in bytes: a header of six bytes becomes
	// an entry of a map and two strings.
	headerCost = 24
	// maxWriteBytes is the size of the pieces in which a response is written, so that progress is seen.
	maxWriteBytes = 64 << 10
)

// Conn is a client's connection that a gate has admitted.
type Conn struct {
	net.Conn
	gate  *Gate
	close func() error

	// gate.mu guards what follows.
	phase     phase
	since     time.Time // when the phase began, or the last progress of a write
	place     *list.List
	element   *list.Element // in place; nil if the connection is not registered
	isRemoved bool
	isTrusted bool
	inHead    bool // the head of a request is arriving
	headBytes int64
	heldBytes int64
}

func newConn(inner net.Conn, gate *Gate) *Conn {
	return &Conn{Conn: inner, gate: gate, close: sync.OnceValue(inner.Close)}
}

// Read reads from the connection and notes that a request has begun.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(int64(n)) {
		return 0, errClosedForRoom
	}
	return n, err
}

// received notes that a part of a request has arrived. It reports whether the connection may go on.
func (c *Conn) received(bytes int64) bool {
	c.gate.mu.Lock()
	if c.isRemoved {
		c.gate.mu.Unlock()
		return false
	}
	if c.phase == phaseIdle {
		c.inHead, c.headBytes = true, 0
		c.gate.enterLocked(c, phaseReceiving)
	}
	cost := int64(0)
	if c.inHead && c.gate.isHTTP {
		before := max(0, c.headBytes-freeHeaderBytes)
		c.headBytes += bytes
		cost = headerCost * (max(0, c.headBytes-freeHeaderBytes) - before)
	}
	c.gate.mu.Unlock()
	if cost == 0 || c.gate.reserve(c, cost) {
		return true
	}
	c.reset()
	return false
}

// Write writes to the connection and notes its progress.
func (c *Conn) Write(p []byte) (written int, err error) {
	before, ok := c.beginSending()
	if !ok {
		return 0, errClosedForRoom
	}
	for err == nil && (len(p) > 0 || written == 0) {
		var n int
		n, err = c.Conn.Write(p[:min(len(p), maxWriteBytes)])
		written += n
		p = p[n:]
		if len(p) == 0 {
			break
		}
		c.enter(phaseSending)
	}
	c.enter(before)
	return written, err
}

// beginSending returns the phase before the write, and whether the connection is still open.
func (c *Conn) beginSending() (before phase, ok bool) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.isRemoved {
		return c.phase, false
	}
	before = c.phase
	c.gate.enterLocked(c, phaseSending)
	return before, true
}

// enter moves the connection to a phase, unless it was closed.
func (c *Conn) enter(p phase) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.isRemoved {
		return false
	}
	c.gate.enterLocked(c, p)
	return true
}

// Reserve adds to the memory that the connection's request holds until RequestDone. It reports whether there was room.
func (c *Conn) Reserve(bytes int64) bool { return bytes <= 0 || c.gate.reserve(c, bytes) }

// RequestRead notes that a whole request has been read: from here to RequestDone the connection is not closed.
func (c *Conn) RequestRead() bool { return c.enter(phaseServing) }

// RequestDone notes that a request has been handled, and releases what it holds.
func (c *Conn) RequestDone() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.isRemoved {
		return
	}
	c.gate.releaseLocked(c)
	c.gate.enterLocked(c, phaseIdle)
}

// Trust notes that the other end speaks the protocol. Its connection is not closed to make room for new ones.
func (c *Conn) Trust() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.isRemoved || c.isTrusted {
		return
	}
	c.isTrusted = true
	c.gate.enterLocked(c, c.phase)
}

// headRead notes that the head of a request has been read, and what it holds now.
func (c *Conn) headRead(cost int64) bool {
	c.gate.mu.Lock()
	c.inHead = false
	if !c.isRemoved {
		c.gate.releaseLocked(c)
		if c.phase == phaseIdle { // the whole head came with the request before
			c.gate.enterLocked(c, phaseReceiving)
		}
	}
	c.gate.mu.Unlock()
	return c.Reserve(cost)
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// SyscallConn gives access to the socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.New("no socket")
}

// Close closes the connection and releases what it holds.
func (c *Conn) Close() error {
	c.gate.mu.Lock()
	c.gate.removeLocked(c)
	c.isRemoved = true
	c.gate.mu.Unlock()
	return c.close()
}

// reset closes the connection at once, and drops what was not sent.
func (c *Conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
