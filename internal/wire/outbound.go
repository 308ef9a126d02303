package wire

import (
	"encoding/binary"
	"net"
	"time"
)

// outbound sends frames to one address, over one connection at a time.
type outbound struct {
	transport *Transport
	addr      string
	frames    chan queuedFrame

	conn         net.Conn // nil while there is none
	dialFailedAt time.Time
}

// queuedFrame is a frame and the time at which it was queued.
type queuedFrame struct {
	bytes    []byte
	queuedAt time.Time
}

// run sends queued frames until the queue is closed or was idle for idleTimeout.
func (o *outbound) run() {
	defer o.closeConn()
	idle := time.NewTimer(initialIdleTimer)
	defer idle.Stop()
	for {
		waitingSince := time.Now()
		frames, open := o.nextBatch(idle)
		if !open {
			return
		}
		if len(frames) == 0 {
			if o.removeIfIdle(waitingSince) {
				return
			}
			continue
		}
		if o.conn == nil && !o.dial() {
			continue
		}
		o.write(frames)
	}
}

// nextBatch waits for a frame and returns it with the other queued frames, up to about
// maxBatchBytes, so that they are written with one system call. Frames that waited longer than
// maxFrameAge, for example while a write to a dead connection blocks, are dropped: their senders
// have repeated them. It returns no frames after idleTimeout, and open is false once the queue is
// closed.
func (o *outbound) nextBatch(idle *time.Timer) (frames [][]byte, open bool) {
	idle.Reset(idleTimeout)
	size := 0
	add := func(f queuedFrame) {
		if time.Since(f.queuedAt) < maxFrameAge {
			frames, size = append(frames, f.bytes), size+len(f.bytes)
		}
	}
	select {
	case f, ok := <-o.frames:
		if !ok {
			return nil, false
		}
		add(f)
	case <-idle.C:
		return nil, true
	}
	for size < maxBatchBytes {
		select {
		case f, ok := <-o.frames:
			if !ok {
				return frames, false
			}
			add(f)
		default:
			return frames, true
		}
	}
	return frames, true
}

// removeIfIdle removes the connection from the transport if it was idle for idleTimeout
// and nothing is queued, and reports whether it did.
func (o *outbound) removeIfIdle(waitingSince time.Time) bool {
	o.transport.mu.Lock()
	defer o.transport.mu.Unlock()
	if len(o.frames) > 0 || time.Since(waitingSince) < idleTimeout {
		return false
	}
	delete(o.transport.outbound, o.addr)
	return true
}

// dial connects, unless the last attempt failed less than redialDelay ago. It reports
// whether there is a connection.
func (o *outbound) dial() bool {
	if time.Since(o.dialFailedAt) < redialDelay {
		return false
	}
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAliveConfig: keepAlive}
	conn, err := dialer.Dial("tcp", o.addr)
	if err != nil {
		o.dialFailedAt = time.Now()
		return false
	}
	o.conn = conn
	return true
}

// write sends frames, each with its length prefix, in one system call.
func (o *outbound) write(frames [][]byte) {
	lengths := make([]byte, 0, lengthPrefixBytes*len(frames))
	buffers := make(net.Buffers, 0, 2*len(frames))
	for _, f := range frames {
		lengths = binary.BigEndian.AppendUint32(lengths, uint32(len(f)))
		buffers = append(buffers, lengths[len(lengths)-lengthPrefixBytes:], f)
	}
	err := o.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = buffers.WriteTo(o.conn)
	}
	if err != nil {
		o.closeConn()
	}
}

// closeConn closes the connection and discards unsent data, which must not arrive hours
// later.
func (o *outbound) closeConn() {
	if o.conn == nil {
		return
	}
	if tcp, ok := o.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection is closed in any case
	}
	_ = o.conn.Close() // the connection is discarded
	o.conn = nil
}
