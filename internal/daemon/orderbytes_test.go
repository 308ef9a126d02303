package daemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// cutWorker is a worker that resets or stalls the exchange of an order at a given byte.
type cutWorker struct {
	ln       net.Listener
	request  int  // bytes read before the cut; -1 to read all
	response int  // bytes then written before the cut
	stall    bool // stall instead of a reset
	mu       sync.Mutex
	conns    int
	received int // complete orders read
	done     chan struct{}
}

const workerResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

func (c *cutWorker) serve(t *testing.T) {
	for {
		conn, err := c.ln.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.conns++
		c.mu.Unlock()
		go c.exchange(conn.(*net.TCPConn))
	}
}

func (c *cutWorker) exchange(conn *net.TCPConn) {
	defer func() {
		if c.stall {
			<-c.done
		}
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}()
	if c.request >= 0 {
		_, _ = io.ReadFull(conn, make([]byte, c.request))
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if body, err := io.ReadAll(r.Body); err != nil || int64(len(body)) != r.ContentLength {
		return
	}
	c.mu.Lock()
	c.received++
	c.mu.Unlock()
	_, _ = conn.Write([]byte(workerResponse)[:c.response])
}

// The exchange of an order is reset or stalls at each byte of the request and of the response.
// The order reaches the worker at most once, on one connection, and its outcome is correct:
// "started" only for an order that was read and answered, "not_sent" only for one that never
// left.
func TestOrderCutAtEachByte(t *testing.T) {
	order := []byte(`{"id":"job.0.0.1"}`)
	whole := orderBytes(t, order)
	var wg sync.WaitGroup
	clock := newSteadyClock()
	deliverCut := func(request, response int, stall bool) {
		wg.Go(func() {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			c := &cutWorker{ln: ln, request: request, response: response, stall: stall, done: make(chan struct{})}
			go c.serve(t)
			outcome := (&orderSender{clock: clock, slots: make(chan struct{}, 1)}).deliver(effOrder{Addr: ln.Addr().String(), NotAfterMs: clock.nowMs() + 60_000, Body: order})
			close(c.done)
			_ = ln.Close()
			c.mu.Lock()
			defer c.mu.Unlock()
			details := fmt.Sprintf("cut at byte %d of the order, %d of the answer, stall %v: %q, received %d times on %d connections", request, response, stall, outcome, c.received, c.conns)
			head := strings.Index(workerResponse, "{}")
			want := "unknown"
			if request < 0 && response >= head { // the status is known once the header is complete
				want = "started"
			}
			if request == 0 && outcome == "not_sent" {
				want = outcome // the connection was reset before the first byte was sent
			}
			if outcome != want || c.conns > 1 || c.received > 1 || want == "started" && c.received != 1 {
				t.Error(details)
			}
		})
	}
	for _, stall := range []bool{false, true} {
		for at := range len(whole) {
			deliverCut(at, 0, stall)
		}
		for at := range len(workerResponse) + 1 {
			deliverCut(-1, at, stall)
		}
	}
	wg.Wait()
}

// orderBytes returns an order as it is sent over a connection.
func orderBytes(t *testing.T, body []byte) []byte {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = ln.Close() }()
	got := make(chan []byte, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var seen bytes.Buffer
		r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &seen)))
		if err == nil {
			_, _ = io.ReadAll(r.Body)
		}
		_, _ = conn.Write([]byte(workerResponse))
		got <- seen.Bytes()
	}()
	clock := newSteadyClock()
	must.Eq(t, "started", (&orderSender{clock: clock, slots: make(chan struct{}, 1)}).deliver(effOrder{Addr: ln.Addr().String(), NotAfterMs: clock.nowMs() + 60_000, Body: body}))
	return <-got
}

// An order is sent to its worker only and only once, even if the worker answers with a
// redirect.
func TestOrderIsNotRedirected(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		var first, second atomic.Int64
		other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { second.Add(1) }))
		worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			first.Add(1)
			w.Header().Set("Location", other.URL+r.URL.Path)
			w.WriteHeader(status)
		}))
		clock := newSteadyClock()
		outcome := (&orderSender{clock: clock, slots: make(chan struct{}, 1)}).deliver(effOrder{Addr: strings.TrimPrefix(worker.URL, "http://"), NotAfterMs: clock.nowMs() + 60_000, Body: []byte("{}")})
		worker.Close()
		other.Close()
		must.Eq(t, 1, first.Load(), must.Sprint(status))
		must.Zero(t, second.Load(), must.Sprint(status, " was redirected"))
		must.Eq(t, "unknown", outcome, must.Sprint(status))
	}
}
