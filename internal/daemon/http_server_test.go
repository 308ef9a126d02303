package daemon

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// newTestServer returns an HTTP server and its ports, and a function with which the test acts
// as the control thread: each call runs one posted function.
func newTestServer() (*httpServer, *processPorts, func()) {
	l := newControlLoop(newSteadyClock())
	ports := &processPorts{loop: l, pendingReplies: map[uint64]chan effReply{}}
	l.executor = &executor{node: newNode(nodeConfig{Name: "a"}, nil), ports: ports}
	l.executor.node.wokeMs = 1 << 40 // its first polls are in progress: requests are held, not rejected
	return &httpServer{loop: l}, ports, func() { (<-l.queue)(l.executor) }
}

// A reply that arrives after its caller gave up is dropped, and never reaches the next caller.
func TestServerLateReply(t *testing.T) {
	for _, c := range []struct {
		op     string
		status int
	}{{"queue.submit", 504}, {"queue.cancel", 504}, {"queue.state", 503}} {
		h, ports, run := newTestServer()
		l := h.loop
		l.executor.node.config.current.Version = 1 // requests wait until the configuration is confirmed again
		ctx, cancel := context.WithCancel(context.Background())
		first, second := make(chan effReply, 1), make(chan effReply, 1)
		go func() { first <- h.request(ctx, evRequest{Op: c.op, Host: "h", Path: "/first"}) }()
		run()
		must.MapContainsKey(t, ports.pendingReplies, 1)
		cancel()
		must.Eq(t, c.status, (<-first).Status)
		go func() { second <- h.request(context.Background(), evRequest{Op: c.op, Host: "h", Path: "/second"}) }()
		run() // the first request is abandoned
		must.MapNotContainsKey(t, ports.pendingReplies, 1)
		ports.Reply(effReply{ID: 1, Status: 200, Body: []byte("first")})
		run()
		ports.Reply(effReply{ID: 1, Status: 200, Body: []byte("first, again")})
		ports.Reply(effReply{ID: 2, Status: 200, Body: []byte("second")})
		ports.Reply(effReply{ID: 2, Status: 500, Body: []byte("second, again")})
		must.Eq(t, "second", string((<-second).Body))
		must.MapEmpty(t, ports.pendingReplies)
	}
}

// Concurrent requests, answered in any order and some of them abandoned, each get their own
// reply.
func TestServerConcurrentRequests(t *testing.T) {
	h, ports, _ := newTestServer()
	h.loop.executor.node.config.current.Version = 1
	const calls = 200
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%5 == 0 {
				cancel()
			}
			r := h.request(ctx, evRequest{Op: "queue.state", Host: "h", Path: fmt.Sprint("/", i)})
			if body := string(r.Body); body != fmt.Sprint("/", i) && (i%5 != 0 || r.Status != 503) {
				t.Errorf("call %d got %d %s", i, r.Status, body)
			}
		})
	}
	ended := make(chan struct{})
	go func() { wg.Wait(); close(ended) }()
	held := &h.loop.executor.node.config.awaiting
	for {
		select {
		case <-ended:
			return
		case job := <-h.loop.queue:
			job(h.loop.executor)
			for _, req := range *held {
				if req.id%3 != 0 || len(h.loop.queue) == 0 { // some are answered only after later ones
					ports.Reply(effReply{ID: req.id, Status: 200, Body: []byte(req.path)})
				}
			}
		}
	}
}
