package wire

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// socketOptions reads what the system will do with a connection that goes quiet.
func socketOptions(t *testing.T, c net.Conn) (unacked, idle, every, probes int) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(fd uintptr) {
		get := func(opt int) int {
			v, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, opt)
			must.NoError(t, err)
			return v
		}
		unacked, idle, every, probes = get(unix.TCP_USER_TIMEOUT), get(unix.TCP_KEEPIDLE), get(unix.TCP_KEEPINTVL), get(unix.TCP_KEEPCNT)
	}))
	return unacked, idle, every, probes
}

// listening gives a transport that counts what it receives.
func listening(t *testing.T, addr string) (*Transport, *atomic.Int64) {
	t.Helper()
	count := &atomic.Int64{}
	transport, err := NewTransport(Options{Addr: addr, Receive: func(Header, any) { count.Add(1) }, Events: func(string, ...any) {}})
	must.NoError(t, err)
	return transport, count
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		must.True(t, time.Now().Before(until), must.Sprint("not within 5 s"))
	}
}

// Both ends of a connection have the system give it up when the other end is gone
// without a word, frames that wait go out together and in order, and after the
// other end was there again the connection works.
func TestConnectionToADeadPeer(t *testing.T) {
	b, received := listening(t, "127.0.0.1:0")
	go b.Serve()
	a, _ := listening(t, "127.0.0.1:0")
	defer a.Close()
	frame := EncodeFrame(Header{From: "a"}, &Gossip{})
	for range 300 {
		a.Send(b.Addr(), frame)
	}
	eventually(t, func() bool { return received.Load() >= 300 })
	b.mu.Lock()
	for c := range b.inbound {
		unacked, idle, every, probes := socketOptions(t, c)
		must.Eq(t, []int{UserTimeoutMs, 1, 1, 2}, []int{unacked, idle, every, probes})
	}
	must.MapLen(t, 1, b.inbound)
	b.mu.Unlock()
	b.Close() // its port answers with a reset from now on
	again, received := listening(t, b.Addr())
	defer again.Close()
	go again.Serve()
	eventually(t, func() bool {
		a.Send(b.Addr(), frame)
		return received.Load() > 0
	})
}

// The end that dials asks for the same.
func TestDialedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = ln.Close() }()
	o := &outbound{addr: ln.Addr().String()}
	must.True(t, o.dial())
	defer o.hangUp()
	unacked, idle, every, probes := socketOptions(t, o.conn)
	must.Eq(t, []int{UserTimeoutMs, 1, 1, 2}, []int{unacked, idle, every, probes})
}

// Waiting frames are taken together; those that waited for long are left.
func TestOldFramesAreLeft(t *testing.T) {
	o := &outbound{frames: make(chan queuedFrame, 8)}
	o.frames <- queuedFrame{[]byte("old"), time.Now().Add(-2 * staleAfter)}
	o.frames <- queuedFrame{[]byte("a"), time.Now()}
	o.frames <- queuedFrame{[]byte("b"), time.Now()}
	idle := time.NewTimer(time.Hour)
	frames, open := o.next(idle)
	must.True(t, open)
	must.Eq(t, [][]byte{[]byte("a"), []byte("b")}, frames)
	close(o.frames)
	_, open = o.next(idle)
	must.False(t, open)
}

// What is no frame, or too large, ends the connection.
func TestDamagedStream(t *testing.T) {
	for name, stream := range map[string][]byte{
		"too large": {0xff, 0xff, 0xff, 0xff},
		"damaged":   {0, 0, 0, 5, 1, 2, 3, 4, 5},
	} {
		t.Run(name, func(t *testing.T) {
			events := make(chan string, 1)
			transport, err := NewTransport(Options{Addr: "127.0.0.1:0", Receive: func(Header, any) {},
				Events: func(event string, _ ...any) { events <- event }})
			must.NoError(t, err)
			defer transport.Close()
			go transport.Serve()
			conn, err := net.Dial("tcp", transport.Addr())
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write(stream)
			must.NoError(t, err)
			must.Eq(t, "frame_rejected", <-events)
			must.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
			_, err = conn.Read(make([]byte, 1))
			must.Error(t, err)
		})
	}
}
