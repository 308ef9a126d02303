package daemon

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	ordersMax = 256 // concurrent orders from one daemon
)

// orderSender sends orders to workers. Each order uses a connection of its own, whose first byte is
// written only while the order is still valid, and which is reset when the order times out. So no order
// can receive the answer to another one, and net/http, which retries a request only on a reused
// connection, never sends an order twice. Redirects are not followed: after a 307 the order would be sent
// twice.
type orderSender struct {
	clock *steadyClock
	slots chan struct{}
}

// errOrderExpired is returned for an order that would be written after its NotAfterMs.
var errOrderExpired = errors.Wrap(errOrder, "expired before it was written")

// guardedConn checks that the order is still valid right before its first byte is written.
type guardedConn struct {
	*net.TCPConn
	clock      *steadyClock
	notAfterMs int64
	wrote      atomic.Bool
	answered   atomic.Bool // the answer was read in full; atomic, as the transport may close it concurrently
}

// Write writes the order, unless it has expired before the first byte.
func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.wrote.Load() && c.clock.nowMs() > c.notAfterMs {
		return 0, errOrderExpired
	}
	c.wrote.Store(true)
	return c.TCPConn.Write(b)
}

// Close resets the connection if the order was not answered.
func (c *guardedConn) Close() error {
	if !c.answered.Load() {
		_ = c.SetLinger(0)
	}
	return c.TCPConn.Close()
}

// noRedirect returns the redirect itself as the answer.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// deliver sends one order and returns its outcome, a key of orderOutcomes.
//
// Example: outcome := s.deliver(effOrder{Addr: "127.0.0.1:9000", NotAfterMs: now + 500, Body: body})
func (s *orderSender) deliver(order effOrder) string {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return "not_sent"
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeoutMs*time.Millisecond)
	defer cancel()
	var conn atomic.Pointer[guardedConn] // the transport may still dial after the timeout
	client := http.Client{
		CheckRedirect: noRedirect,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				var dialer net.Dialer
				tcpConn, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				guarded := &guardedConn{TCPConn: tcpConn.(*net.TCPConn), clock: s.clock, notAfterMs: order.NotAfterMs}
				conn.Store(guarded)
				return guarded, nil
			},
		},
	}
	path := "/run"
	if order.Stop {
		path = "/stop"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Addr+path, bytes.NewReader(order.Body))
	if err != nil {
		return "not_sent"
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		if guarded := conn.Load(); guarded == nil || !guarded.wrote.Load() {
			return "not_sent"
		}
		return "unknown"
	}
	defer func() { _ = resp.Body.Close() }() // the answer was read, so an error changes nothing
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
	conn.Load().answered.Store(true)
	switch {
	case resp.StatusCode < 300:
		return "started"
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return "turned_away"
	}
	return "unknown"
}
