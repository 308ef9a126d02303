package daemon

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// lineOptions reads what the system will do with a line that goes quiet.
func lineOptions(t *testing.T, c net.Conn) (unacked, idle, every, probes int) {
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
	return
}

// Both ends of a line have the system give it up when the other end is gone
// without a word, frames that wait go out together and in order, and after the
// other end was there again the line works.
func TestLineToADeadPeer(t *testing.T) {
	var mu sync.Mutex
	var got []uint64
	post := func(do func(*executor)) {}
	b, err := newTransport("127.0.0.1:0", func(func(*executor)) { mu.Lock(); got = append(got, 1); mu.Unlock() }, func(string, ...any) {})
	must.NoError(t, err)
	go b.serve()
	a, err := newTransport("127.0.0.1:0", post, func(string, ...any) {})
	must.NoError(t, err)
	defer a.close()
	addr := b.ln.Addr().String()
	heard := func(n int) bool {
		for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			mu.Lock()
			ok := len(got) >= n
			mu.Unlock()
			if ok {
				return true
			}
		}
		return false
	}
	for range 300 {
		a.send(addr, sealFrame(frameHeader{From: "a"}, &gossipMsg{}))
	}
	must.True(t, heard(300))
	b.mu.Lock()
	for c := range b.open {
		unacked, idle, every, probes := lineOptions(t, c)
		must.Eq(t, []int{unackedMs, 1, 1, 2}, []int{unacked, idle, every, probes})
	}
	must.MapLen(t, 1, b.open)
	b.mu.Unlock()
	b.close() // its port answers with a reset from now on
	b, err = newTransport(addr, func(func(*executor)) { mu.Lock(); got = append(got, 1); mu.Unlock() }, func(string, ...any) {})
	must.NoError(t, err)
	defer b.close()
	go b.serve()
	ok := false
	for range 200 {
		a.send(addr, sealFrame(frameHeader{From: "a"}, &gossipMsg{}))
		time.Sleep(10 * time.Millisecond)
		mu.Lock()
		ok = len(got) > 300
		mu.Unlock()
		if ok {
			break
		}
	}
	must.True(t, ok)
}

// The end that dials asks for the same.
func TestLineDialled(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = ln.Close() }()
	c, err := (&net.Dialer{Control: setUserTimeout, KeepAliveConfig: keepAlive}).Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	unacked, idle, every, probes := lineOptions(t, c)
	must.Eq(t, []int{unackedMs, 1, 1, 2}, []int{unacked, idle, every, probes})
}

// Waiting frames are taken together; those that waited for long are left.
func TestLineLeavesOldFrames(t *testing.T) {
	l := &outbound{frames: make(chan queuedFrame, 8)}
	l.frames <- queuedFrame{[]byte("old"), time.Now().Add(-2 * frameOldMs * time.Millisecond)}
	l.frames <- queuedFrame{[]byte("a"), time.Now()}
	l.frames <- queuedFrame{[]byte("b"), time.Now()}
	idle := time.NewTimer(time.Hour)
	frames, ok := l.next(idle)
	must.True(t, ok)
	must.Eq(t, [][]byte{[]byte("a"), []byte("b")}, frames)
	close(l.frames)
	_, ok = l.next(idle)
	must.False(t, ok)
}
