package daemon

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// serverTaken gives a door and the shell behind it, whose control thread the test
// plays: each posted job is run when the test says so.
func serverTaken() (*httpServer, *processPorts, func()) {
	l := newControlLoop(newSteadyClock())
	ports := &processPorts{loop: l, pendingReplies: map[uint64]chan effReply{}}
	l.executor = &executor{node: newNode(nodeConfig{Name: "a"}, nil), ports: ports}
	l.executor.node.wokeMs = 1 << 40 // its first polls are under way: calls are held, not turned away
	return &httpServer{loop: l}, ports, func() { (<-l.queue)(l.executor) }
}

// A caller gives up, and the reply to its call comes later: it reaches nobody,
// and least of all the caller whose call came next.
func TestServerLateReply(t *testing.T) {
	for _, c := range []struct {
		op     string
		status int
	}{{"queue.submit", 504}, {"queue.cancel", 504}, {"queue.state", 503}} {
		h, ports, run := serverTaken()
		l := h.loop
		l.executor.node.config.current.Version = 1 // calls wait for a newer confirmation of the setup
		ctx, giveUp := context.WithCancel(context.Background())
		first, second := make(chan effReply, 1), make(chan effReply, 1)
		go func() { first <- h.request(ctx, evRequest{Op: c.op, Host: "h", Path: "/first"}) }()
		run()
		must.MapContainsKey(t, ports.pendingReplies, 1)
		giveUp()
		must.Eq(t, c.status, (<-first).Status)
		go func() { second <- h.request(context.Background(), evRequest{Op: c.op, Host: "h", Path: "/second"}) }()
		run() // the first is given up on
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

// Calls at once, answered in any order and some of them given up on, each get their own reply.
func TestServerManyAtOnce(t *testing.T) {
	h, ports, _ := serverTaken()
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
				if req.id%3 != 0 || len(h.loop.queue) == 0 { // some wait for others that came later
					ports.Reply(effReply{ID: req.id, Status: 200, Body: []byte(req.path)})
				}
			}
		}
	}
}
