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

	"otterchute/internal/ingress"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a connection attempt. A reachable peer answers within
	// milliseconds, and after a partition peers must reconnect soon.
	dialTimeout = 350 * time.Millisecond
	// redialDelay is the wait after a failed connection attempt.
	redialDelay = dialTimeout / 4
	// UserTimeoutMs bounds how long sent bytes may stay unacknowledged before the operating
	// system closes the connection (TCP_USER_TIMEOUT).
	UserTimeoutMs = 1500
	// probeInterval is the interval of TCP keepalive probes, in whole seconds. The
	// connection is closed after two lost probes.
	probeInterval = time.Second
	// maxFrameAge bounds how long a frame may be queued; its sender has repeated it since.
	maxFrameAge = time.Second
	// writeTimeout bounds one write; the connection is closed when it expires.
	writeTimeout = 2 * time.Second
	// idleTimeout is how long a connection without frames is kept.
	idleTimeout = 5 * time.Minute
	// firstFrameTimeout is how long a new connection may take to deliver its first frame. Peers connect only when they
	// have a frame to send.
	firstFrameTimeout = 10 * time.Second
	// frameTimeout is how long a frame may take from its length prefix to its end. Its sender gives up sooner, see
	// writeTimeout.
	frameTimeout = 10 * time.Second
	// initialIdleTimer is the idle timer's duration before its first reset.
	initialIdleTimer = time.Hour

	// MaxFrame bounds the size of a frame, in bytes. A larger length ends the connection.
	MaxFrame = 64 << 20
	// maxBatchBytes is the approximate size of the frames that are written together.
	maxBatchBytes = 256 << 10
	// readBufferBytes is the size of each inbound connection's buffer, in bytes.
	readBufferBytes = 16 << 10
	// lengthPrefixBytes is the size of the length prefix of each frame in a stream.
	lengthPrefixBytes = 4

	// maxQueuedFrames bounds the queue of one peer. While it is full, new frames are dropped.
	maxQueuedFrames = 512
	// freeFrameBytes is the size up to which a frame needs no reservation.
	freeFrameBytes = 16 << 10
)

// Options configures a Transport.
type Options struct {
	// Addr is the IP address and port to listen on; port 0 selects any free port.
	Addr string
	// Gate bounds the inbound connections and the memory of incomplete frames.
	Gate *ingress.Gate
	// Receive handles each received message. It is called on the goroutine of the
	// message's connection and may block.
	Receive func(h Header, msg any)
	// Events logs an event for operators.
	Events func(event string, keysAndValues ...any)
}

// Transport carries frames between daemons over TCP: one connection per peer and
// direction, each with a bounded queue. Frames are dropped when a queue is full, when
// they were queued for too long, and when their connection fails.
type Transport struct {
	options  Options
	listener net.Listener

	mu       sync.Mutex
	outbound map[string]*outbound // by address
	inbound  map[net.Conn]bool
	closed   bool
}

// keepAlive makes both ends detect a dead connection soon: a machine that lost power or
// is partitioned sends nothing.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 2}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. Accepted connections inherit it from
// their listener.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, UserTimeoutMs)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// NewTransport creates a transport that listens on Options.Addr. Serve accepts
// connections; Send may be called before that.
//
// Example: t, err := wire.NewTransport(wire.Options{Addr: "10.0.0.1:7000", Receive: handle, Events: log}); go t.Serve()
func NewTransport(o Options) (*Transport, error) {
	lc := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAlive}
	ln, err := lc.Listen(context.Background(), "tcp", o.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if o.Gate == nil {
		o.Gate = ingress.Unlimited().Gate(ingress.Peers)
	}
	return &Transport{
		options: o, listener: o.Gate.Listen(ln),
		outbound: map[string]*outbound{}, inbound: map[net.Conn]bool{},
	}, nil
}

// Addr returns the address that the transport listens on.
func (t *Transport) Addr() string { return t.listener.Addr().String() }

// Send queues a frame for an address. It never blocks and does not report whether the
// frame arrives.
func (t *Transport) Send(addr string, frame []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || addr == "" {
		return
	}
	out := t.outbound[addr]
	if out == nil {
		out = &outbound{transport: t, addr: addr, frames: make(chan queuedFrame, maxQueuedFrames)}
		t.outbound[addr] = out
		go out.run() // until Close or idleTimeout
	}
	select {
	case out.frames <- queuedFrame{frame, time.Now()}:
	default: // the queue is full; the sender repeats what is needed
	}
}

// Serve accepts connections until Close.
func (t *Transport) Serve() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return // closed
		}
		if !t.register(conn) {
			_ = conn.Close() // nothing was written
			continue
		}
		go t.receive(conn.(*ingress.Conn))
	}
}

// register adds an inbound connection, unless the transport is closed.
func (t *Transport) register(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.inbound[conn] = true
	}
	return !t.closed
}

// receive handles the messages of one connection until it ends or a frame is rejected.
func (t *Transport) receive(conn *ingress.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.inbound, conn)
		t.mu.Unlock()
		_ = conn.Close() // nothing was written
	}()
	in := bufio.NewReaderSize(conn, readBufferBytes)
	for timeout := firstFrameTimeout; ; timeout = 2 * idleTimeout {
		if conn.SetReadDeadline(time.Now().Add(timeout)) != nil {
			return
		}
		frame, err := readFrame(in, conn)
		if errors.Is(err, errTooLarge) || errors.Is(err, errNoRoom) {
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
		conn.Trust()
		t.options.Receive(h, msg)
		conn.RequestDone()
	}
}

var (
	errTooLarge = errors.New("too large")
	errNoRoom   = errors.New("no room for a frame")
)

// inboundConn is the connection of a frame that is being read.
type inboundConn interface {
	SetReadDeadline(deadline time.Time) error
	Reserve(bytes int64) bool
}

// readFrame reads one frame with its length prefix.
func readFrame(in io.Reader, conn inboundConn) ([]byte, error) {
	length := make([]byte, lengthPrefixBytes)
	if _, err := io.ReadFull(in, length); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(length))
	if size > MaxFrame {
		return nil, errTooLarge
	}
	if err := conn.SetReadDeadline(time.Now().Add(frameTimeout)); err != nil {
		return nil, err
	}
	// The buffer of a large frame grows as data arrives: a length alone allocates little.
	frame := []byte{}
	for read := int64(0); read < size; read = int64(len(frame)) {
		next := min(size, max(maxBatchBytes, 2*read))
		if added := next - max(read, freeFrameBytes); added > 0 && !conn.Reserve(added) {
			return nil, errNoRoom
		}
		grown := make([]byte, next)
		copy(grown, frame)
		if _, err := io.ReadFull(in, grown[read:]); err != nil {
			return nil, err
		}
		frame = grown
	}
	return frame, nil
}

// Close closes all connections. One that is being dialed or written to is closed
// within writeTimeout.
func (t *Transport) Close() {
	_ = t.listener.Close() // a listener has no data to lose
	t.mu.Lock()
	t.closed = true
	for conn := range t.inbound {
		_ = conn.Close() // ends its reader
	}
	for _, out := range t.outbound {
		close(out.frames)
	}
	t.mu.Unlock()
}
