package ingress

import (
	"net"
	"time"

	"github.com/go-faster/errors"
)

// acceptRetryDelay is the wait after a failed accept, for example while the process has no descriptors left.
const acceptRetryDelay = 50 * time.Millisecond

// listener admits the connections of another listener through a gate.
type listener struct {
	net.Listener
	gate *Gate
}

// Listen returns a listener whose connections the gate admits. They are of type *Conn.
//
// Example: ln = gate.Listen(ln)
func (g *Gate) Listen(inner net.Listener) net.Listener { return &listener{inner, g} }

// Accept returns the next connection that is admitted. It fails only when the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.gate.makeRoom()
			time.Sleep(acceptRetryDelay)
			continue
		}
		if tcp, ok := inner.(*net.TCPConn); ok && l.gate.isHTTP {
			_ = tcp.SetReadBuffer(receiveBufferBytes) // the kernel's default works too, with more memory
		}
		c := newConn(inner, l.gate)
		if l.gate.admit(c) {
			return c, nil
		}
		c.reset()
	}
}
