package daemon

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

// transport carries frames between daemons over TCP: one connection per sibling
// and direction, a bounded queue before each, frames dropped when it is full.
type transport struct {
	ln        net.Listener
	post      func(func(*executor))
	log       func(event string, pairs ...any)
	mu        sync.Mutex
	outbounds map[string]*outbound
	open      map[net.Conn]bool
	stop      bool
	setup     configCompiler
	meter     *meter // only in experiments
}

type outbound struct {
	frames chan queuedFrame
}

type queuedFrame struct {
	bytes []byte
	at    time.Time
}

// keepAlive lets both ends give a quiet line up soon: a machine without power
// or behind a cut says nothing.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: aliveMs * time.Millisecond, Interval: aliveMs * time.Millisecond, Count: 2}

// setUserTimeout sets how long what was written may stay unacknowledged before
// the system ends the line. Accepted lines take it from their listener.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var bad error
	if err := c.Control(func(fd uintptr) {
		bad = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unackedMs)
	}); err != nil {
		return err
	}
	return bad
}

func newTransport(addr string, post func(func(*executor)), log func(string, ...any)) (*transport, error) {
	lc := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAlive}
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(errSettings, "addr: %v", err)
	}
	return &transport{ln: ln, post: post, log: log, outbounds: map[string]*outbound{}, open: map[net.Conn]bool{}}, nil
}

func (w *transport) send(addr string, frame []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stop || addr == "" {
		return
	}
	l := w.outbounds[addr]
	if l == nil {
		l = &outbound{frames: make(chan queuedFrame, outboundFrames)}
		w.outbounds[addr] = l
		go w.write(addr, l)
	}
	select {
	case l.frames <- queuedFrame{frame, time.Now()}:
		w.meter.sent(frame)
	default: // all that matters is sent again by who needs it
	}
}

// next waits for a frame and takes all others that wait too, up to so many
// bytes: they go out in one system call. Frames that waited for long, while a
// dead line was found out, are left: who needs them has sent them again.
// It gives nothing when the line was idle, and ok false when it is closed.
func (l *outbound) next(idle *time.Timer) (frames [][]byte, ok bool) {
	idle.Reset(connectionIdleMs * time.Millisecond)
	size := 0
	take := func(f queuedFrame) {
		if time.Since(f.at) < frameOldMs*time.Millisecond {
			frames, size = append(frames, f.bytes), size+len(f.bytes)
		}
	}
	select {
	case f, open := <-l.frames:
		if !open {
			return nil, false
		}
		take(f)
	case <-idle.C:
		return nil, true
	}
	for size < sendBytes {
		select {
		case f, open := <-l.frames:
			if !open {
				return frames, false
			}
			take(f)
		default:
			return frames, true
		}
	}
	return frames, true
}

func (w *transport) write(addr string, l *outbound) {
	var conn net.Conn
	hangUp := func() {
		if conn != nil {
			if t, ok := conn.(*net.TCPConn); ok {
				_ = t.SetLinger(0) // what was not taken must not arrive hours later
			}
			_ = conn.Close()
			conn = nil
		}
	}
	defer hangUp()
	dialer := net.Dialer{Timeout: dialMs * time.Millisecond, Control: setUserTimeout, KeepAliveConfig: keepAlive}
	idle := time.NewTimer(time.Hour)
	defer idle.Stop()
	var failedAt time.Time
	for began := time.Now(); ; began = time.Now() {
		frames, ok := l.next(idle)
		if !ok {
			return
		}
		if len(frames) == 0 {
			w.mu.Lock()
			if len(l.frames) == 0 && time.Since(began) >= connectionIdleMs*time.Millisecond {
				delete(w.outbounds, addr)
				w.mu.Unlock()
				return
			}
			w.mu.Unlock()
			continue
		}
		if conn == nil {
			if time.Since(failedAt) < dialMs/4*time.Millisecond {
				continue
			}
			c, err := dialer.Dial("tcp", addr)
			if err != nil {
				failedAt = time.Now()
				continue
			}
			conn = c
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeMs * time.Millisecond))
		heads := make([]byte, 0, 4*len(frames))
		bufs := make(net.Buffers, 0, 2*len(frames))
		for _, f := range frames {
			heads = binary.BigEndian.AppendUint32(heads, uint32(len(f)))
			bufs = append(bufs, heads[len(heads)-4:], f)
		}
		if _, err := bufs.WriteTo(conn); err != nil {
			hangUp()
		}
	}
}

func (w *transport) serve() {
	for {
		conn, err := w.ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		full := len(w.open) >= connsMax || w.stop
		if !full {
			w.open[conn] = true
		}
		w.mu.Unlock()
		if full {
			_ = conn.Close()
			continue
		}
		go w.read(conn)
	}
}

func (w *transport) read(conn net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.open, conn)
		w.mu.Unlock()
		_ = conn.Close()
	}()
	head := make([]byte, 4)
	in := bufio.NewReaderSize(conn, readBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(2 * connectionIdleMs * time.Millisecond))
		if _, err := io.ReadFull(in, head); err != nil {
			return
		}
		size := binary.BigEndian.Uint32(head)
		if size > frameMax {
			w.log("frame_bounced", "from", conn.RemoteAddr().String(), "reason", "too large")
			return
		}
		frame, err := readSized(in, int64(size))
		if err != nil || len(frame) != int(size) {
			return
		}
		h, msg, err := openFrame(frame)
		if err != nil {
			w.log("frame_bounced", "from", conn.RemoteAddr().String(), "reason", err.Error())
			return
		}
		w.meter.heard(msg, len(frame))
		ready := w.setup.ready(msg)
		w.post(func(s *executor) { s.event(evMsg{Head: h, Msg: msg, Ready: ready}) })
	}
}

// readSized reads a frame whose length is known. A large one's memory grows
// with what arrives: a length alone costs nothing.
func readSized(in io.Reader, size int64) ([]byte, error) {
	if size > sendBytes {
		return io.ReadAll(io.LimitReader(in, size))
	}
	frame := make([]byte, size)
	_, err := io.ReadFull(in, frame)
	return frame, err
}

func (w *transport) close() {
	_ = w.ln.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop = true
	for c := range w.open {
		_ = c.Close()
	}
	for _, l := range w.outbounds {
		close(l.frames)
	}
}
