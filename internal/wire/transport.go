package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a connection attempt: a peer in reach answers in
	// milliseconds, and one that was cut off must be found soon after its return.
	dialTimeout = 350 * time.Millisecond
	// redialAfter is how long nothing is sent after a failed attempt.
	redialAfter = dialTimeout / 4
	// UserTimeoutMs bounds how long, in ms, sent bytes may stay unacknowledged before the
	// system ends the connection.
	UserTimeoutMs = 1500
	// probeInterval is the pace at which a quiet connection is probed; after two
	// lost probes it is given up. The system takes whole seconds.
	probeInterval = time.Second
	// staleAfter is how long a frame may wait: what matters was sent again since.
	staleAfter = time.Second
	// writeTimeout bounds one write: a frame not taken by then ends its connection.
	writeTimeout = 2 * time.Second
	// idleTimeout is how long a connection without frames is kept.
	idleTimeout = 5 * time.Minute
	// lingerMax is a bound for the timer before its first reset.
	lingerMax = time.Hour

	// MaxFrame bounds one frame, in bytes. A larger length ends the connection.
	MaxFrame = 64 << 20
	// batchBytes is about how much of the frames that wait goes out together.
	batchBytes = 256 << 10
	// readBuffer is each inbound connection's buffer, in bytes.
	readBuffer = 16 << 10
	// lengthBytes is the length that stands before each frame in a stream.
	lengthBytes = 4

	// queuedFrames wait for one peer; beyond that the newest are dropped.
	queuedFrames = 512
	// maxInbound bounds the connections taken from peers.
	maxInbound = 2000
)

// Options are what a Transport is made with.
type Options struct {
	// Addr is the IP address and port to listen on; port 0 for any free one.
	Addr string
	// Receive takes each message that comes. It is called on the goroutine of
	// the message's connection, and may block that.
	Receive func(h Header, msg any)
	// Events takes what operators should see.
	Events func(event string, keysAndValues ...any)
}

// Transport carries frames between daemons over TCP: one connection per peer and
// direction, and a bounded queue before each. Frames are dropped when a queue is
// full, when they waited for too long, and with their connection.
type Transport struct {
	options  Options
	listener net.Listener

	mu       sync.Mutex
	outbound map[string]*outbound // by address
	inbound  map[net.Conn]bool
	closed   bool
}

// keepAlive lets both ends give a quiet connection up soon: a machine without
// power or behind a partition says nothing.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 2}

// setUserTimeout sets UserTimeoutMs on a socket. Accepted connections take it from
// their listener.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, UserTimeoutMs)
	})
	if err != nil {
		return err
	}
	return failed
}

// NewTransport listens. Serve takes connections; Send works at once.
//
// Example: t, err := wire.NewTransport(wire.Options{Addr: "10.0.0.1:7000", Receive: handle, Events: log}); go t.Serve()
func NewTransport(o Options) (*Transport, error) {
	lc := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAlive}
	ln, err := lc.Listen(context.Background(), "tcp", o.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &Transport{options: o, listener: ln, outbound: map[string]*outbound{}, inbound: map[net.Conn]bool{}}, nil
}

// Addr is the address that the transport listens on.
func (t *Transport) Addr() string { return t.listener.Addr().String() }

// Send queues a frame for an address. It never blocks, and never tells whether the
// frame arrives.
func (t *Transport) Send(addr string, frame []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || addr == "" {
		return
	}
	out := t.outbound[addr]
	if out == nil {
		out = &outbound{transport: t, addr: addr, frames: make(chan queuedFrame, queuedFrames)}
		t.outbound[addr] = out
		go out.run() // until Close, or until it was idle for long
	}
	select {
	case out.frames <- queuedFrame{frame, time.Now()}:
	default: // all that matters is sent again by who needs it
	}
}

// Serve accepts connections until Close.
func (t *Transport) Serve() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return // closed
		}
		if !t.admit(conn) {
			_ = conn.Close() // nothing was written to it
			continue
		}
		go t.receive(conn)
	}
}

// admit takes an inbound connection, unless there are too many.
func (t *Transport) admit(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.inbound) >= maxInbound {
		return false
	}
	t.inbound[conn] = true
	return true
}

// receive hands on what comes over one connection, until it ends or is damaged.
func (t *Transport) receive(conn net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.inbound, conn)
		t.mu.Unlock()
		_ = conn.Close() // nothing was written to it
	}()
	in := bufio.NewReaderSize(conn, readBuffer)
	for {
		if conn.SetReadDeadline(time.Now().Add(2*idleTimeout)) != nil {
			return
		}
		frame, err := readFrame(in)
		if errors.Is(err, errTooLarge) {
			t.options.Events("frame_rejected", "from", conn.RemoteAddr().String(), "reason", err.Error())
		}
		if err != nil {
			return
		}
		h, msg, err := DecodeFrame(frame)
		if err != nil {
			t.options.Events("frame_rejected", "from", conn.RemoteAddr().String(), "reason", err.Error())
			return
		}
		t.options.Receive(h, msg)
	}
}

var errTooLarge = errors.New("too large")

// readFrame reads one frame with the length before it.
func readFrame(in io.Reader) ([]byte, error) {
	length := make([]byte, lengthBytes)
	if _, err := io.ReadFull(in, length); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(length))
	if size > MaxFrame {
		return nil, errTooLarge
	}
	if size <= batchBytes {
		frame := make([]byte, size)
		_, err := io.ReadFull(in, frame)
		return frame, err
	}
	// A large one's memory grows with what arrives: a length alone costs nothing.
	frame, err := io.ReadAll(io.LimitReader(in, size))
	if err == nil && int64(len(frame)) < size {
		err = io.ErrUnexpectedEOF
	}
	return frame, err
}

// Close ends all connections. One that is just being made, or written to, ends
// within writeTimeout.
func (t *Transport) Close() {
	_ = t.listener.Close() // nothing is lost with it
	t.mu.Lock()
	t.closed = true
	for conn := range t.inbound {
		_ = conn.Close() // its reader ends
	}
	for _, out := range t.outbound {
		close(out.frames)
	}
	t.mu.Unlock()
}
