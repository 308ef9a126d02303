package main

import (
	"context"
	"testing"

	"otterchute/platform"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// A daemon that can't do anything yet says so at once; a submit that was handed
// to it and not answered is not called refused.
func TestProductBeforeTheCore(t *testing.T) {
	l := newLoop(newSteady())
	ports := &realPorts{loop: l, log: logr.Discard(), waiting: map[uint64]chan effReply{}, self: "127.0.0.1:7000", exit: func() {}}
	l.sh = &shell{n: newNode(place{Name: "d1", Addr: "127.0.0.1:7000", Site: "east"}, nil), p: ports}
	d := &door{loop: l}
	call := func(c platform.Call) (int, string) {
		a := d.product(context.Background(), c)
		return a.Status, gjson.GetBytes(a.Body, "error").Str
	}
	status, reason := call(platform.Call{Op: "ready"})
	must.Eq(t, 503, status)
	must.Eq(t, "the control thread is behind", reason)
	go l.run()
	for _, c := range []platform.Call{{Op: "queue.submit", Host: "h", Path: "/a/1", Body: []byte("{}")}, {Op: "queue.state", Host: "h", Path: "/a/1"},
		{Op: "setup.put", Key: "4", Expect: 0, Body: []byte(`{"queues":[]}`)}, {Op: "setup.get"}, {Op: "site.empty", Key: "east"}} {
		status, _ = call(c)
		must.Eq(t, 503, status, must.Sprint(c.Op))
	}
	status, _ = call(platform.Call{Op: "setup.put", Key: "4", Body: []byte(`{"queues":`)})
	must.Eq(t, 400, status)
	status, _ = call(platform.Call{Op: "queue.submit", Body: make([]byte, bodyMax+1)})
	must.Eq(t, 400, status)
	status, reason = call(platform.Call{Op: "ready"})
	must.Eq(t, 503, status)
	must.Eq(t, "no cluster yet", reason)
	close(l.quit)
	<-l.ended
	status, _ = call(platform.Call{Op: "queue.submit", Host: "h", Path: "/a/1"})
	must.Eq(t, 504, status)
	status, _ = call(platform.Call{Op: "queue.state", Host: "h", Path: "/a/1"})
	must.Eq(t, 503, status)
}
