package daemon

import (
	"fmt"
	"testing"

	"otterchute/internal/lease"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// cutKinds are the ways in which a daemon loses contact with the core's majority.
var cutKinds = map[string]func(w *world, at string){
	"both ways":     func(w *world, at string) { w.cutHost(at) },
	"sends lost":    func(w *world, at string) { w.cutFrom(at, sortedKeys(w.nodes), true, false) },
	"receives lost": func(w *world, at string) { w.cutFrom(at, sortedKeys(w.nodes), false, true) },
	"two members":   func(w *world, at string) { w.cutFrom(at, w.twoOtherMembers(at), true, true) },
	"receives from two members lost": func(w *world, at string) {
		w.cutFrom(at, w.twoOtherMembers(at), false, true)
	},
	"one way each": func(w *world, at string) {
		w.cutFrom(at, w.twoOtherMembers(at)[:1], true, false)
		w.cutFrom(at, w.twoOtherMembers(at)[1:], false, true)
	},
	"clock jumps": func(w *world, at string) {
		w.cutHost(at)
		for i := range int64(6) {
			w.after((1500+3000*i)*1000, func() { w.nodes[at].skewMs += 3_600_000 - 7_200_000*(i%2) })
		}
	},
	"freezes": func(w *world, at string) {
		w.cutHost(at)
		for i := range int64(4) {
			w.after((700+4500*i)*1000, func() { w.nodes[at].freeze(1200 + 900*i) })
		}
	},
}

// cutFrom drops a daemon's messages to others, those from others, or both.
func (w *world) cutFrom(at string, others []string, out, in bool) {
	for _, other := range others {
		if other == at {
			continue
		}
		if out {
			w.setCut(at, other, true)
		}
		if in {
			w.setCut(other, at, true)
		}
	}
}

func (w *world) twoOtherMembers(at string) []string {
	var out []string
	for _, m := range w.nodes[at].executor.node.core.Names() {
		if m != at && len(out) < 2 {
			out = append(out, m)
		}
	}
	return out
}

// queueCall returns a call at the address of the tests' queue.
func queueCall(op, id string) evRequest {
	e := evRequest{Op: op, Host: "one.example", Path: "/a/" + id, Base: -1}
	if op == "queue.submit" {
		e.Body = []byte(`{"steps":[{"name":"s","tasks":[{"name":"t","room":1}]}]}`)
	}
	return e
}

const queueAddresses = `,"addresses":[{"host":"one.example","prefix":"/a/"}]`

// putAnywhere puts a configuration version at the first daemon that accepts it.
func (w *world) putAnywhere(t *testing.T, version, base int64) {
	t.Helper()
	for _, name := range []string{"d06", "d07", "d08", "d01"} {
		e := evRequest{Op: "setup.put", Key: fmt.Sprint(version), Base: base, Body: queueSetup("a", fmt.Sprintf(`%s,"max_limit_ms":%d`, queueAddresses, version))}
		if w.callAndWait(w.nodes[name], e, 4000).status == 200 {
			return
		}
	}
	t.Fatalf("no daemon accepted version %d", version)
}

// Guards against wrong replies from a daemon that has had no majority for longer than a lease: it must
// reply 503 at once, return no configuration, neither accept nor refuse a command, and report no job as
// unknown or complete. Once connected again it serves all calls within a second, by the newest
// configuration.
func TestCutOffAnswers(t *testing.T) {
	for _, durationMs := range []int64{20_000, 200_000} {
		for _, kind := range sortedKeys(cutKinds) {
			if durationMs > 20_000 && kind != "both ways" && kind != "two members" && kind != "freezes" {
				continue // the others behave as after 20 s
			}
			for i, at := range []string{"d00", "d05"} {
				t.Run(fmt.Sprint(durationMs/1000, "s/", kind, "/", at), func(t *testing.T) {
					checkCutOffReplies(t, 7400+uint64(i), kind, at, durationMs)
				})
			}
		}
	}
}

func checkCutOffReplies(t *testing.T, seed uint64, kind, at string, durationMs int64) {
	w := servingWorld(t, seed)
	n, version := w.nodes[at], int64(2)
	w.putAnywhere(t, version, 0)
	w.run(1000)
	must.SliceContains(t, []int{200, 201}, w.callAndWait(w.nodes["d07"], queueCall("queue.submit", "j1"), 3000).status)
	must.True(t, w.until(20_000, func() bool {
		return gjson.Get(w.callAndWait(w.nodes["d07"], queueCall("queue.state", "j1"), 3000).body, "state").Str == "complete"
	}))
	w.run(1000)
	cutKinds[kind](w, at)
	cutMs := w.nowMs()
	probes := map[string]evRequest{
		"read":           {Op: "setup.get", Base: -1},
		"outdated order": {Op: "setup.put", Key: "1", Base: 0, Body: queueSetup("b", "")},
		"empty a site":   {Op: "site.empty", Key: "west", Base: -1},
		"ready":          {Op: "ready", Base: -1},
		"known job":      queueCall("queue.state", "j1"),
		"unknown job":    queueCall("queue.state", "never"),
		"unknown queue":  {Op: "queue.state", Host: "two.example", Path: "/b/x", Base: -1},
		"cancel":         queueCall("queue.cancel", "never"),
		"count":          queueCall("queue.state", ""),
	}
	unanswered, lastReply := 0, ""
	probe := func(name string, e evRequest) {
		sent, frozenToUs := w.nowMs(), n.frozenUntilUs
		unanswered++
		w.call("caller", n, e, 15_000, func(status int, retryMs int64, b []byte) {
			unanswered--
			from := max(sent, frozenToUs/1000, n.frozenUntilUs/1000)
			lastReply = fmt.Sprintf("%s, sent %d ms after the cut, answered after %d ms: %d %s", name, sent-cutMs, w.nowMs()-from, status, b)
			outcomeUnknown := name == "submit" && status == 504
			if sent > cutMs+lease.DurationMs && (status != 503 && !outcomeUnknown || retryMs <= 0) {
				t.Error(lastReply)
			}
			if w.nowMs()-from > 1000 {
				t.Error("late: ", lastReply)
			}
		})
	}
	for i := int64(0); w.nowMs() < cutMs+durationMs; i++ {
		for _, name := range sortedKeys(probes) {
			probe(name, probes[name])
		}
		probe("order", evRequest{Op: "setup.put", Key: fmt.Sprint(1000 + i), Base: version, Body: queueSetup("lost", queueAddresses)})
		probe("submit", queueCall("queue.submit", fmt.Sprint("k", i)))
		w.run(durationMs / 40)
		if i%10 == 5 {
			current := w.callAndWait(w.nodes["d07"], evRequest{Op: "setup.get"}, 3000) // a command from before the lease ended may have taken effect
			must.Eq(t, 200, current.status)
			w.putAnywhere(t, max(version, gjson.Get(current.body, "version").Int())+2000, gjson.Get(current.body, "version").Int())
			version = gjson.Get(current.body, "version").Int() + 2000
		}
		if t.Failed() {
			return
		}
	}
	w.run(2000)
	must.Zero(t, unanswered, must.Sprint(lastReply))
	w.requireServedAgain(t, n, version)
}

// requireServedAgain reconnects a daemon that was cut off, and requires that it serves each kind of call within a
// second.
func (w *world) requireServedAgain(t *testing.T, n *simNode, version int64) {
	t.Helper()
	w.heal()
	healedMs, served := w.nowMs(), map[string]int64{}
	try := func(name string, e evRequest, good func(status int, body string) bool) {
		if served[name] != 0 {
			return
		}
		w.call("caller", n, e, 3000, func(status int, _ int64, b []byte) {
			if good(status, string(b)) && served[name] == 0 {
				served[name] = w.nowMs() - healedMs
			}
		})
	}
	for i := int64(0); i < 100 && len(served) < 5; i++ {
		try("read", evRequest{Op: "setup.get", Base: -1}, func(status int, body string) bool {
			if status == 200 && gjson.Get(body, "version").Int() < version {
				t.Errorf("an outdated configuration %d ms after the cut: %s", w.nowMs()-healedMs, body)
			}
			return status == 200
		})
		try("order", evRequest{Op: "site.empty", Key: "east", Base: -1}, func(status int, _ string) bool { return status == 200 })
		try("submit", queueCall("queue.submit", fmt.Sprint("m", i)), func(status int, _ string) bool { return status == 200 || status == 201 })
		try("known job", queueCall("queue.state", "j1"), func(status int, body string) bool {
			return status == 200 && gjson.Get(body, "state").Str == "complete"
		})
		try("put", evRequest{Op: "setup.put", Key: fmt.Sprint(version + 50), Base: version, Body: queueSetup("a", queueAddresses)},
			func(status int, _ string) bool { return status == 200 })
		w.run(20)
	}
	t.Logf("served again, ms after reconnecting: %v", served)
	for _, name := range []string{"read", "order", "submit", "known job", "put"} {
		must.Positive(t, served[name], must.Sprint(name, " is not served"))
		must.Less(t, 1000, served[name], must.Sprint(name))
	}
}

// Guards against an outdated configuration from a daemon that freezes past its lease during a read:
// after the freeze it must check again, as a newer version may have been acknowledged.
func TestReadThroughAFreeze(t *testing.T) {
	for seed := range uint64(6) {
		for _, at := range []string{"d01", "d05"} {
			w := servingWorld(t, 7900+seed)
			w.putAnywhere(t, 2, 0)
			w.run(1000)
			n := w.nodes[at]
			var got []callResult
			w.call("caller", n, evRequest{Op: "setup.get", Base: -1}, 20_000, func(status int, _ int64, b []byte) {
				got = append(got, callResult{status, string(b)})
			})
			must.True(t, w.stepUntil(1000, func() bool { return len(n.executor.node.config.awaiting) > 0 }))
			polls := n.executor.node.leases.LatestRound()
			must.True(t, w.stepUntil(1000, func() bool { return n.executor.node.leases.LatestRound() > polls }))
			n.freeze(9000) // its poll is on its way; the reply waits for it
			w.run(2000)
			w.putAnywhere(t, 3, 2)
			must.True(t, w.until(12_000, func() bool { return len(got) > 0 }))
			if got[0].status == 200 {
				must.Eq(t, int64(3), gjson.Get(got[0].body, "version").Int(), must.Sprint(at))
			} else {
				must.Eq(t, 503, got[0].status)
			}
		}
	}
}

// Guards against a job reported as unknown by an owner that freezes past its lease during the lookup:
// a new owner may have accepted the job meanwhile.
func TestUnknownJobThroughAFreeze(t *testing.T) {
	for seed := range uint64(6) {
		w := servingWorld(t, 7920+seed)
		w.putAnywhere(t, 2, 0)
		w.run(1000)
		owner := w.holderOf("slice/" + w.nodes["d00"].executor.node.shardOf("j9"))
		var got []callResult
		w.call("caller", owner, queueCall("queue.state", "j9"), 20_000, func(status int, _ int64, b []byte) {
			got = append(got, callResult{status, string(b)})
		})
		shard := owner.executor.node.shards[w.nodes["d00"].executor.node.shardOf("j9")]
		must.True(t, w.stepUntil(1000, func() bool { return len(shard.fetches) > 0 }))
		owner.freeze(9000)
		w.run(4000)
		must.True(t, w.until(4000, func() bool {
			status := w.callAndWait(w.nodes["d07"], queueCall("queue.submit", "j9"), 1000).status
			return status == 200 || status == 201
		}))
		must.True(t, w.until(12_000, func() bool { return len(got) > 0 }))
		must.SliceContains(t, []int{200, 503}, got[0].status, must.Sprint(got[0]))
	}
}
