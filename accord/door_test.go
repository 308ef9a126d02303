package main

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// doorTaken gives a door and the shell behind it, whose control thread the test
// plays: each posted job is run when the test says so.
func doorTaken() (*door, *realPorts, func()) {
	l := newLoop(newSteady())
	ports := &realPorts{loop: l, waiting: map[uint64]chan effReply{}}
	l.sh = &shell{n: newNode(place{Name: "a"}, nil), p: ports}
	l.sh.n.poll.okMs = 1 << 40 // in contact with the core: calls are held, not turned away
	return &door{loop: l}, ports, func() { (<-l.jobs)(l.sh) }
}

// A caller gives up, and the reply to its call comes later: it reaches nobody,
// and least of all the caller whose call came next.
func TestDoorLateReply(t *testing.T) {
	for _, c := range []struct {
		op     string
		status int
	}{{"queue.submit", 504}, {"queue.cancel", 504}, {"queue.state", 503}} {
		d, ports, run := doorTaken()
		l := d.loop
		l.sh.n.setup.cur.Version = 1 // calls wait for a newer confirmation of the setup
		ctx, giveUp := context.WithCancel(context.Background())
		first, second := make(chan effReply, 1), make(chan effReply, 1)
		go func() { first <- d.ask(ctx, evAsk{Op: c.op, Host: "h", Path: "/first"}) }()
		run()
		must.MapContainsKey(t, ports.waiting, 1)
		giveUp()
		must.Eq(t, c.status, (<-first).Status)
		go func() { second <- d.ask(context.Background(), evAsk{Op: c.op, Host: "h", Path: "/second"}) }()
		run() // the first is given up on
		must.MapNotContainsKey(t, ports.waiting, 1)
		ports.Reply(effReply{ID: 1, Status: 200, Body: []byte("first")})
		run()
		ports.Reply(effReply{ID: 1, Status: 200, Body: []byte("first, again")})
		ports.Reply(effReply{ID: 2, Status: 200, Body: []byte("second")})
		ports.Reply(effReply{ID: 2, Status: 500, Body: []byte("second, again")})
		must.Eq(t, "second", string((<-second).Body))
		must.MapEmpty(t, ports.waiting)
	}
}

// Calls at once, answered in any order and some of them given up on, each get their own reply.
func TestDoorManyAtOnce(t *testing.T) {
	d, ports, _ := doorTaken()
	d.loop.sh.n.setup.cur.Version = 1
	const calls = 200
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%5 == 0 {
				cancel()
			}
			r := d.ask(ctx, evAsk{Op: "queue.state", Host: "h", Path: fmt.Sprint("/", i)})
			if body := string(r.Body); body != fmt.Sprint("/", i) && !(i%5 == 0 && r.Status == 503) {
				t.Errorf("call %d got %d %s", i, r.Status, body)
			}
		})
	}
	ended := make(chan struct{})
	go func() { wg.Wait(); close(ended) }()
	held := &d.loop.sh.n.setup.unsure
	for {
		select {
		case <-ended:
			return
		case job := <-d.loop.jobs:
			job(d.loop.sh)
			for _, a := range *held {
				if a.id%3 != 0 || len(d.loop.jobs) == 0 { // some wait for others that came later
					ports.Reply(effReply{ID: a.id, Status: 200, Body: []byte(a.path)})
				}
			}
		}
	}
}
