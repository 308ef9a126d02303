package main

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// wire carries frames between daemons over TCP: one connection per sibling
// and direction, a bounded queue before each, frames dropped when it is full.
type wire struct {
	ln    net.Listener
	post  func(func(*shell))
	log   func(event string, pairs ...any)
	mu    sync.Mutex
	lines map[string]*line
	open  map[net.Conn]bool
	stop  bool
	meter *meter // only in experiments
}

type line struct {
	frames chan []byte
}

func newWire(addr string, post func(func(*shell)), log func(string, ...any)) (*wire, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(errSettings, "addr: %v", err)
	}
	return &wire{ln: ln, post: post, log: log, lines: map[string]*line{}, open: map[net.Conn]bool{}}, nil
}

func (w *wire) send(addr string, frame []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stop || addr == "" {
		return
	}
	l := w.lines[addr]
	if l == nil {
		l = &line{frames: make(chan []byte, lineFrames)}
		w.lines[addr] = l
		go w.write(addr, l)
	}
	select {
	case l.frames <- frame:
		w.meter.sent(frame)
	default: // all that matters is sent again by who needs it
	}
}

func (w *wire) write(addr string, l *line) {
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
	var failedAt time.Time
	for {
		var frame []byte
		select {
		case frame = <-l.frames:
		case <-time.After(lineIdleMs * time.Millisecond):
			w.mu.Lock()
			if len(l.frames) == 0 {
				delete(w.lines, addr)
				w.mu.Unlock()
				return
			}
			w.mu.Unlock()
			continue
		}
		if frame == nil {
			return
		}
		if conn == nil {
			if time.Since(failedAt) < dialMs/4*time.Millisecond {
				continue
			}
			c, err := net.DialTimeout("tcp", addr, dialMs*time.Millisecond)
			if err != nil {
				failedAt = time.Now()
				continue
			}
			conn = c
		}
		head := binary.BigEndian.AppendUint32(nil, uint32(len(frame)))
		_ = conn.SetWriteDeadline(time.Now().Add(writeMs * time.Millisecond))
		bufs := net.Buffers{head, frame}
		if _, err := bufs.WriteTo(conn); err != nil {
			hangUp()
		}
	}
}

func (w *wire) serve() {
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

func (w *wire) read(conn net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.open, conn)
		w.mu.Unlock()
		_ = conn.Close()
	}()
	head := make([]byte, 4)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(2 * lineIdleMs * time.Millisecond))
		if _, err := io.ReadFull(conn, head); err != nil {
			return
		}
		size := binary.BigEndian.Uint32(head)
		if size > frameMax {
			w.log("frame_bounced", "from", conn.RemoteAddr().String(), "reason", "too large")
			return
		}
		frame, err := io.ReadAll(io.LimitReader(conn, int64(size)))
		if err != nil || len(frame) != int(size) {
			return
		}
		h, msg, err := openFrame(frame)
		if err != nil {
			w.log("frame_bounced", "from", conn.RemoteAddr().String(), "reason", err.Error())
			return
		}
		w.meter.heard(msg, len(frame))
		ready := readySetup(msg)
		w.post(func(s *shell) { s.event(evMsg{Head: h, Msg: msg, Ready: ready}) })
	}
}

func (w *wire) close() {
	_ = w.ln.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop = true
	for c := range w.open {
		_ = c.Close()
	}
	for _, l := range w.lines {
		close(l.frames)
	}
}
