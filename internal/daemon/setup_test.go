package daemon

import (
	"fmt"
	"testing"

	"otterchute/internal/historycheck"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// callResult is the result of a request in the simulated world.
type callResult struct {
	status int
	body   string
}

// callAndWait runs the simulation until a request is answered.
func (w *world) callAndWait(to *simNode, e evRequest, waitMs int64) callResult {
	var got callResult
	done := false
	w.call("caller", to, e, waitMs, func(status int, _ int64, b []byte) { got, done = callResult{status, string(b)}, true })
	w.until(waitMs+500, func() bool { return done })
	return got
}

// servingWorld returns a world with a core and an owner for each shard.
func servingWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	w := newWorld(seed, historycheck.Deployments["hakata"])
	must.True(t, w.until(20_000, func() bool {
		for _, s := range historycheck.Zones {
			if w.holderOf("slice/"+s) == nil {
				return false
			}
		}
		return true
	}))
	w.run(1000)
	return w
}

func queueSetup(name string, extra string) []byte {
	return fmt.Appendf(nil, `{"queues":[{"name":%q,"urgency":1%s}]}`, name, extra)
}

// Two operators build on the same version with different steps. One succeeds, the others'
// changes never take effect, and the accepted one is acknowledged when it is sent again.
func TestConfigOperatorsRace(t *testing.T) {
	for seed := range uint64(12) {
		w := servingWorld(t, 900+seed)
		must.Eq(t, 200, w.callAndWait(w.nodes["d00"], evRequest{Op: "setup.put", Key: "5", Base: 0, Body: queueSetup("first", "")}, 4000).status)
		got := map[string]int{}
		for i, o := range []struct{ key, name string }{{"7", "left"}, {"9", "right"}, {"8", "mid"}} {
			w.call("caller", w.anyNode(i+int(seed)), evRequest{Op: "setup.put", Key: o.key, Base: 5, Body: queueSetup(o.name, "")}, 4000,
				func(status int, _ int64, b []byte) { got[o.name] = status })
		}
		must.True(t, w.until(5000, func() bool { return len(got) == 3 }))
		won := ""
		for name, status := range got {
			must.SliceContains(t, []int{200, 409, 503}, status, must.Sprint(name))
			if status == 200 {
				must.Eq(t, "", won, must.Sprint("two changes succeeded: ", name))
				won = name
			}
		}
		must.NotEq(t, "", won)
		w.run(2000)
		key := map[string]string{"left": "7", "mid": "8", "right": "9"}[won]
		for i := range 4 {
			r := w.callAndWait(w.anyNode(i), evRequest{Op: "setup.get"}, 3000)
			must.Eq(t, 200, r.status)
			must.Eq(t, won, gjson.Get(r.body, "setup.queues.0.name").Str)
			must.Eq(t, key, gjson.Get(r.body, "version").Raw)
		}
		must.Eq(t, 200, w.callAndWait(w.anyNode(1), evRequest{Op: "setup.put", Key: key, Base: 5, Body: queueSetup(won, "")}, 4000).status)
		must.Eq(t, 409, w.callAndWait(w.anyNode(2), evRequest{Op: "setup.put", Key: key, Base: 5, Body: queueSetup("other", "")}, 4000).status)
		lost := w.callAndWait(w.anyNode(3), evRequest{Op: "setup.put", Key: "40", Base: 6, Body: queueSetup("other", "")}, 4000)
		must.Eq(t, 409, lost.status)
		must.Eq(t, key, gjson.Get(lost.body, "current").Raw)
		must.Eq(t, 400, w.callAndWait(w.anyNode(3), evRequest{Op: "setup.put", Key: "9", Base: 9, Body: queueSetup("other", "")}, 4000).status)
	}
}

// Before the first configuration the version is 0; a zone emptied then stays empty.
func TestSetupEmptiedZones(t *testing.T) {
	for seed := range uint64(8) {
		w := servingWorld(t, 940+seed)
		none := w.callAndWait(w.nodes["d01"], evRequest{Op: "setup.get"}, 3000)
		must.Eq(t, 200, none.status)
		must.Eq(t, int64(0), gjson.Get(none.body, "version").Int())
		must.Eq(t, 200, w.callAndWait(w.nodes["d00"], evRequest{Op: "site.empty", Key: "west"}, 4000).status)
		done := map[string]int{}
		put := func(name, op, key string, doc []byte) {
			w.call("caller", w.anyNode(len(done)+int(seed)), evRequest{Op: op, Key: key, Base: 0, Body: doc}, 4000, func(status int, _ int64, _ []byte) { done[name] = status })
		}
		put("setup", "setup.put", "3", queueSetup("a", ""))
		put("empty", "site.empty", "mid", nil)
		put("open", "site.open", "west", nil)
		must.True(t, w.until(5000, func() bool { return len(done) == 3 }))
		must.Eq(t, map[string]int{"setup": 200, "empty": 200, "open": 200}, done)
		w.run(1500)
		for _, name := range sortedKeys(w.nodes) {
			n := w.nodes[name].executor.node
			must.Eq(t, map[string]bool{"mid": true}, n.config.current.EmptyZones, must.Sprint(name))
			must.Eq(t, int64(3), n.config.current.Version)
			must.True(t, n.configFresh())
		}
		must.Eq(t, 200, w.callAndWait(w.nodes["d02"], evRequest{Op: "setup.put", Key: "4", Base: 3, Body: []byte(`{"queues":[],"empty_sites":["east"]}`)}, 4000).status)
		must.Eq(t, 200, w.callAndWait(w.nodes["d01"], evRequest{Op: "site.open", Key: "east"}, 4000).status)
		w.run(1000)
		// The zone that the document itself empties stays empty.
		must.Eq(t, map[string]bool{"mid": true, "east": true}, w.nodes["d00"].executor.node.config.current.EmptyZones)
	}
}

// An address without a queue is reported as unknown only by a configuration confirmed after
// the request arrived; an address that was just added is found at every daemon.
func TestConfigAddressesAreConfirmed(t *testing.T) {
	w := servingWorld(t, 960)
	at := func(op, path string) evRequest { return evRequest{Op: op, Host: "one.example", Path: path, Base: -1} }
	must.Eq(t, 503, w.callAndWait(w.nodes["d03"], at("queue.state", "/a/1"), 3000).status)
	must.Eq(t, 200, w.callAndWait(w.nodes["d00"], evRequest{Op: "setup.put", Key: "2", Base: 0, Body: queueSetup("a", `,"addresses":[{"host":"one.example","prefix":"/a/"}]`)}, 4000).status)
	w.run(2000)
	for step := range 6 {
		doc := queueSetup("a", fmt.Sprintf(`,"addresses":[{"host":"one.example","prefix":"/a/"},{"host":"one.example","prefix":"/b%d/"}]`, step))
		key := fmt.Sprint(10 + 10*step)
		must.Eq(t, 200, w.callAndWait(w.anyNode(step), evRequest{Op: "setup.put", Key: key, Base: int64(gjson.Parse(key).Int() - 10 + map[bool]int64{true: 2}[step == 0]), Body: doc}, 4000).status)
		for i := range 4 {
			r := w.callAndWait(w.anyNode(step+i), at("queue.state", fmt.Sprintf("/b%d/x1", step)), 3000)
			must.Eq(t, 410, r.status, must.Sprint(r.body))
			must.Eq(t, "job", gjson.Get(r.body, "missing").Str)
		}
		r := w.callAndWait(w.anyNode(step), at("queue.state", "/c/x1"), 3000)
		must.Eq(t, 404, r.status)
		must.Eq(t, "queue", gjson.Get(r.body, "missing").Str)
		must.Eq(t, 410, w.callAndWait(w.anyNode(step), at("queue.cancel", "/a/no/name"), 3000).status)
		must.Eq(t, 200, w.callAndWait(w.anyNode(step), at("queue.state", "/a/"), 3000).status)
	}
	must.Eq(t, 200, w.callAndWait(w.nodes["d04"], evRequest{Op: "ready"}, 1000).status)
	w.cutHost("d04")
	delete(w.cuts, [2]string{"caller", "d04"})
	w.run(3000)
	must.Eq(t, 503, w.callAndWait(w.nodes["d04"], evRequest{Op: "ready"}, 1000).status)
	must.Eq(t, 503, w.callAndWait(w.nodes["d04"], at("queue.state", "/c/x1"), 3000).status)
	must.Eq(t, 503, w.callAndWait(w.nodes["d04"], at("queue.state", "/a/x1"), 3000).status)
}
