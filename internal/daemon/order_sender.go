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
	ordersMax = 256 // orders on their way at once from one daemon
)

// orderSender brings orders to workers. Each order has a connection of its own,
// whose first byte is written only while the order is still good, and which
// is torn down without a trace when the order's flight ends. So no order meets
// the answer to another, and the library, which sends a request again only where
// a connection was used before, never does so. An answer that points elsewhere
// is not followed: with 307 the order would be told twice.
type orderSender struct {
	clock *steadyClock
	slots chan struct{}
}

var errTooLate = errors.Wrap(errOrder, "no longer good")

// guardedConn checks the clock right before bytes leave.
type guardedConn struct {
	*net.TCPConn
	clock      *steadyClock
	notAfterMs int64
	wrote      atomic.Bool
	answered   atomic.Bool // answered in full; the transport may close it from another goroutine
}

func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.wrote.Load() && c.clock.nowMs() > c.notAfterMs {
		return 0, errTooLate
	}
	c.wrote.Store(true)
	return c.TCPConn.Write(b)
}

func (c *guardedConn) Close() error {
	if !c.answered.Load() {
		_ = c.SetLinger(0)
	}
	return c.TCPConn.Close()
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// deliver sends one order and tells how it went, as a key of orderOutcomes.
//
// Example: outcome := c.bring(effOrder{Addr: "127.0.0.1:9000", NotAfterMs: now + 500, Body: body})
func (c *orderSender) deliver(e effOrder) string {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	default:
		return "not_sent"
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeoutMs*time.Millisecond)
	defer cancel()
	var conn atomic.Pointer[guardedConn] // the library may still dial once the flight has ended
	carrier := http.Client{
		CheckRedirect: noRedirect,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				var d net.Dialer
				t, err := d.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				g := &guardedConn{TCPConn: t.(*net.TCPConn), clock: c.clock, notAfterMs: e.NotAfterMs}
				conn.Store(g)
				return g, nil
			},
		},
	}
	path := "/run"
	if e.Stop {
		path = "/stop"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Addr+path, bytes.NewReader(e.Body))
	if err != nil {
		return "not_sent"
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := carrier.Do(req)
	if err != nil {
		if g := conn.Load(); g == nil || !g.wrote.Load() {
			return "not_sent"
		}
		return "unknown"
	}
	defer func() { _ = resp.Body.Close() }() // what was read is kept, an error would change nothing
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
