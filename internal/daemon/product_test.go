package daemon

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"otterchute/platform"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// A daemon without a core answers 503 at once. A submission that was read but not answered is
// reported as unknown (504), not as rejected.
func TestPlatformCallsBeforeTheCore(t *testing.T) {
	l := newControlLoop(newSteadyClock())
	ports := &processPorts{loop: l, log: logr.Discard(), pendingReplies: map[uint64]chan effReply{}, selfAddr: "127.0.0.1:7000", exit: func() {}}
	l.executor = &executor{node: newNode(nodeConfig{Name: "d1", Addr: "127.0.0.1:7000", Zone: "east"}, nil), ports: ports}
	h := &httpServer{loop: l}
	call := func(c platform.Call) (int, string) {
		a := h.servePlatform(context.Background(), c)
		return a.Status, gjson.GetBytes(a.Body, "error").Str
	}
	status, reason := call(platform.Call{Op: "ready"})
	must.Eq(t, 503, status)
	must.Eq(t, "the control thread is behind", reason)
	go l.run()
	for _, c := range []platform.Call{{Op: "queue.submit", Host: "h", Path: "/a/1", Body: []byte("{}")}, {Op: "queue.state", Host: "h", Path: "/a/1"},
		{Op: "setup.put", Key: "4", BaseVersion: 0, Body: []byte(`{"queues":[]}`)}, {Op: "setup.get"}, {Op: "site.empty", Key: "east"}} {
		status, _ = call(c)
		must.Eq(t, 503, status, must.Sprint(c.Op))
	}
	status, _ = call(platform.Call{Op: "setup.put", Key: "4", Body: []byte(`{"queues":`)})
	must.Eq(t, 400, status)
	status, _ = call(platform.Call{Op: "queue.submit", Body: make([]byte, bodyMaxBytes+1)})
	must.Eq(t, 400, status)
	// The calls above are answered before the control thread's first tick, on which readiness is
	// based.
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		status, reason = call(platform.Call{Op: "ready"})
		must.Eq(t, 503, status)
		if reason != "the control thread is behind" {
			break
		}
		runtime.Gosched()
	}
	must.Eq(t, "no cluster yet", reason)
	close(l.quit)
	<-l.done
	status, _ = call(platform.Call{Op: "queue.submit", Host: "h", Path: "/a/1"})
	must.Eq(t, 504, status)
	status, _ = call(platform.Call{Op: "queue.state", Host: "h", Path: "/a/1"})
	must.Eq(t, 503, status)
}

// An owner that gives up a shard answers all requests waiting there: no request may end
// without an answer, and a job that may be stored isn't reported as rejected.
func TestMovedShardAnswersWaitingRequests(t *testing.T) {
	w := servingWorld(t, 4900)
	must.Eq(t, 200, w.callAndWait(w.nodes["d00"], evRequest{Op: "setup.put", Key: "1", Base: 0, Body: queueSetup("a", `,"addresses":[{"host":"h","prefix":"/a/"}]`)}, 4000).status)
	w.run(2000)
	for i := range 40 {
		id := fmt.Sprint("job", i)
		owner := w.holderOf("slice/" + w.nodes["d00"].executor.node.shardOf(id))
		if owner == nil {
			continue
		}
		n := owner.executor.node
		name := n.shardOf(id)
		for _, m := range n.core.Names() { // nothing is committed
			w.cuts[[2]string{owner.Name, m}] = m != owner.Name
		}
		shard := n.shards[name]
		job := &liveJob{jobRecord: jobRecord{ID: id, Queue: "a"}}
		put, get := &request{id: 900001, op: "job.put", key: id, queue: "a"}, &request{id: 900002, op: "job.state", key: id, queue: "a"}
		job.waiters = []waiter{{version: 1, request: put, status: 201}, {version: 1, request: get, status: 200}}
		shard.jobs[id] = job
		fetching := &request{id: 900003, op: "job.put", key: "other", queue: "a"}
		shard.fetches[77] = &fetchOp{id: "other", job: &jobRecord{ID: "other"}, requests: []*request{fetching}}
		n.effects = nil
		n.endShard(name)
		got := map[uint64]int{}
		for _, e := range n.effects {
			if r, ok := e.(effReply); ok {
				got[r.ID] = r.Status
			}
		}
		must.Eq(t, map[uint64]int{900001: 504, 900002: 503, 900003: 503}, got)
		must.MapNotContainsKey(t, n.shards, name)
		return
	}
	t.Fatal("no shard has an owner")
}
