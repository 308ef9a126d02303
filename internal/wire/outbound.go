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

	conn     net.Conn // nil while there is none
	failedAt time.Time
}

// queuedFrame is a frame and when it began to wait.
type queuedFrame struct {
	bytes []byte
	at    time.Time
}

// run sends what is queued until the queue is closed or was idle for long.
func (o *outbound) run() {
	defer o.hangUp()
	idle := time.NewTimer(lingerMax)
	defer idle.Stop()
	for {
		began := time.Now()
		frames, open := o.next(idle)
		if !open {
			return
		}
		if len(frames) == 0 {
			if o.forgotten(began) {
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

// next waits for a frame and takes all others that wait too, up to so many
// bytes: they go out in one system call. Frames that waited for long, while a
// dead connection was found out, are left: who needs them has sent them again.
// It returns nothing when the queue was idle, and open false when it is closed.
func (o *outbound) next(idle *time.Timer) (frames [][]byte, open bool) {
	idle.Reset(idleTimeout)
	size := 0
	take := func(f queuedFrame) {
		if time.Since(f.at) < staleAfter {
			frames, size = append(frames, f.bytes), size+len(f.bytes)
		}
	}
	select {
	case f, ok := <-o.frames:
		if !ok {
			return nil, false
		}
		take(f)
	case <-idle.C:
		return nil, true
	}
	for size < batchBytes {
		select {
		case f, ok := <-o.frames:
			if !ok {
				return frames, false
			}
			take(f)
		default:
			return frames, true
		}
	}
	return frames, true
}

// forgotten takes the connection out of the transport if it was idle since it
// began to wait, and nothing was queued meanwhile.
func (o *outbound) forgotten(began time.Time) bool {
	o.transport.mu.Lock()
	defer o.transport.mu.Unlock()
	if len(o.frames) > 0 || time.Since(began) < idleTimeout {
		return false
	}
	delete(o.transport.outbound, o.addr)
	return true
}

// dial connects, unless an attempt failed just now.
func (o *outbound) dial() bool {
	if time.Since(o.failedAt) < redialAfter {
		return false
	}
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAliveConfig: keepAlive}
	conn, err := dialer.Dial("tcp", o.addr)
	if err != nil {
		o.failedAt = time.Now()
		return false
	}
	o.conn = conn
	return true
}

// write sends frames, each with its length before it, in one system call.
func (o *outbound) write(frames [][]byte) {
	lengths := make([]byte, 0, lengthBytes*len(frames))
	buffers := make(net.Buffers, 0, 2*len(frames))
	for _, f := range frames {
		lengths = binary.BigEndian.AppendUint32(lengths, uint32(len(f)))
		buffers = append(buffers, lengths[len(lengths)-lengthBytes:], f)
	}
	err := o.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = buffers.WriteTo(o.conn)
	}
	if err != nil {
		o.hangUp()
	}
}

// hangUp ends the connection. What was not taken must not arrive hours later.
func (o *outbound) hangUp() {
	if o.conn == nil {
		return
	}
	if tcp, ok := o.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection ends all the same
	}
	_ = o.conn.Close() // it is given up
	o.conn = nil
}
