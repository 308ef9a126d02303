package daemon

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"

	"otterchute/internal/codec"
	"otterchute/internal/configuration"
	"otterchute/internal/register"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// configChange is a change of the configuration as an operator sends it: a whole document, or a
// change by items.
type configChange struct {
	version, base int64
	queue         string
	byItems       bool
}

func (o configChange) digest() []byte {
	if !o.byItems {
		return nil
	}
	sum := sha256.Sum256([]byte("items " + o.queue))
	return sum[:]
}

func (o configChange) put() evRequest {
	return evRequest{Op: "setup.put", Key: fmt.Sprint(o.version), Base: o.base, Digest: o.digest(), Body: queueSetup(o.queue, "")}
}

// resend returns the request that repeats the change after its base has passed. The document of
// a change by items can't be built any more, so only its digest is sent.
func (o configChange) resend() evRequest {
	e := o.put()
	if o.byItems {
		e.Op, e.Body = "setup.taken", nil
	}
	return e
}

// finalAnswer sends a change to a daemon until the answer is final.
func (w *world) finalAnswer(t *testing.T, to *simNode, e evRequest) callResult {
	t.Helper()
	var got callResult
	must.True(t, w.until(20_000, func() bool {
		if !to.up {
			return false
		}
		got = w.callAndWait(to, e, 4000)
		return got.status != 0 && got.status != 503
	}), must.Sprint("no final answer from ", to.Name, " ", got))
	return got
}

// acceptChanges has count changes accepted one after the other, at all daemons in turn.
func (w *world) acceptChanges(t *testing.T, from configChange, count int) (all []configChange) {
	t.Helper()
	for i := range count {
		from = configChange{version: from.version + 1 + int64(i%3), base: from.version, queue: fmt.Sprint("q", from.version, "-", i), byItems: i%2 == 1}
		got := w.finalAnswer(t, w.anyNode(i), from.put())
		must.Eq(t, 200, got.status, must.Sprint(got))
		must.Eq(t, from.version, gjson.Get(got.body, "version").Int())
		all = append(all, from)
	}
	return all
}

// requireResendsAcknowledged sends changes again to every daemon, and requires that all are acknowledged.
func (w *world) requireResendsAcknowledged(t *testing.T, when string, orders ...configChange) {
	t.Helper()
	for _, name := range sortedKeys(w.nodes) {
		for _, o := range orders {
			got := w.finalAnswer(t, w.nodes[name], o.resend())
			must.Eq(t, 200, got.status, must.Sprint(when, " ", o, " at ", name, ": ", got.body))
			must.Eq(t, o.version, gjson.Get(got.body, "version").Int())
		}
	}
}

// requireRejected sends changes that were never accepted, and invalid ones, to every daemon,
// and requires that all are rejected.
func (w *world) requireRejected(t *testing.T, taken configChange) {
	t.Helper()
	other := taken
	other.queue = "never-accepted"
	otherBase := taken
	otherBase.base--
	for _, name := range sortedKeys(w.nodes) {
		to := w.nodes[name]
		must.Eq(t, 409, w.finalAnswer(t, to, other.put()).status)
		must.Eq(t, 409, w.finalAnswer(t, to, other.resend()).status)
		if otherBase.base >= 0 {
			must.Eq(t, 409, w.finalAnswer(t, to, otherBase.put()).status)
		}
		invalid := taken.put()
		invalid.Body = []byte(`{"queues":[{"name":""}]}`)
		must.Eq(t, 400, w.finalAnswer(t, to, invalid).status)
	}
}

// An accepted change that is sent again is acknowledged by every daemon, after any number of
// later changes, after a restart of all daemons, and after a member lost its disk.
func TestConfigResentChangesAreAcknowledged(t *testing.T) {
	w := servingWorld(t, 970)
	first := configChange{version: 3, base: 0, queue: "first"}
	must.Eq(t, 200, w.finalAnswer(t, w.nodes["d00"], first.put()).status)
	second := configChange{version: 4, base: 3, queue: "second", byItems: true}
	must.Eq(t, 200, w.finalAnswer(t, w.nodes["d03"], second.put()).status)
	w.requireResendsAcknowledged(t, "one change later", first, second)
	w.requireRejected(t, first)

	all := w.acceptChanges(t, second, 60)
	w.requireResendsAcknowledged(t, "60 changes later", first, second, all[17], all[58], all[59])
	w.requireRejected(t, all[30])
	all = append(all, w.acceptChanges(t, all[59], 240)...)
	w.requireResendsAcknowledged(t, "300 changes later", first, second, all[60], all[299])

	for _, name := range sortedKeys(w.nodes) {
		w.nodes[name].kill(true)
	}
	w.run(500)
	for _, name := range sortedKeys(w.nodes) {
		w.nodes[name].start()
	}
	w.run(5000)
	w.requireResendsAcknowledged(t, "after a restart of all", first, all[150], all[299])
	w.requireRejected(t, all[150])

	lost := w.nodes["d00"]
	lost.kill(true)
	lost.wipe()
	lost.FirstStart = false
	w.run(500)
	lost.start()
	must.True(t, w.until(30_000, func() bool { return lost.executor.node.inCore() && lost.executor.node.core.Version >= 3 }))
	w.nodes["d01"].kill(true) // the remaining core is the new member and one older one
	w.run(3000)
	delete(w.nodes, "d01")
	w.requireResendsAcknowledged(t, "after a member was replaced", first, all[150], all[299])
}

// Under lost answers and racing operators a change that was acknowledged or seen in force is
// never rejected, and a rejected change was never in force.
func TestConfigResentChangesInRaces(t *testing.T) {
	for seed := range uint64(6) {
		w := servingWorld(t, 980+seed)
		inForce := map[int64]string{} // queue by version, as seen at any daemon
		observe := func() {
			for _, name := range sortedKeys(w.nodes) {
				if n := w.nodes[name]; n.up && n.executor.node.config.record.Version > 0 {
					d := n.executor.node.config.record
					doc, _ := configuration.Inflate(d.Document)
					queue := gjson.GetBytes(doc, "queues.0.name").Str
					must.True(t, inForce[d.Version] == "" || inForce[d.Version] == queue, must.Sprint("two documents under version ", d.Version))
					inForce[d.Version] = queue
				}
			}
		}
		answers := map[configChange]int{}
		open := 0
		send := func(o configChange) { // until the answer is final; half of the answers are lost
			open++
			var try func()
			try = func() {
				w.call("operator", w.anyNode(w.rng.IntN(1000)), o.put(), 1000, func(status int, _ int64, _ []byte) {
					if w.rng.IntN(2) == 0 || status == 503 || status == 0 {
						w.after(w.rng.Int64N(700_000), try)
						return
					}
					answers[o] = status
					open--
				})
			}
			try()
		}
		base := int64(0)
		for round := range 12 {
			for i := range 3 {
				send(configChange{version: base + 1 + int64(i%2), base: base, queue: fmt.Sprint("r", round, "-", i)})
			}
			if round%4 == 3 { // a core member is killed meanwhile
				victim := w.nodes[fmt.Sprint("d0", round/4)]
				w.after(w.rng.Int64N(30_000), func() { victim.kill(true) })
				w.after(900_000, victim.start)
			}
			must.True(t, w.until(10_000, func() bool { observe(); return w.setupVersion() > base }))
			base = w.setupVersion() // later changes build on it, whether or not its own operator received the answer
		}
		must.True(t, w.until(60_000, func() bool { observe(); return open == 0 }), must.Sprint(seed, open))
		won := map[int64]int{}
		for o, status := range answers {
			must.SliceContains(t, []int{200, 409}, status, must.Sprint(seed, o))
			if status == 200 {
				won[o.base]++
				must.True(t, inForce[o.version] == o.queue || inForce[o.version] == "", must.Sprint(seed, o, inForce))
			} else {
				must.NotEq(t, o.queue, inForce[o.version], must.Sprint(seed, " rejected, but in force: ", o))
			}
		}
		must.Eq(t, 36, len(answers))
		must.Eq(t, 12, len(won))
		for b, count := range won {
			must.Eq(t, 1, count, must.Sprint(seed, " changes acknowledged on version ", b))
		}
	}
}

// A daemon that can't reach a majority rejects no change as stale; it answers 503, and without
// delay once the lack of contact is established.
func TestConfigChangesAreNotRefusedWhileCutOff(t *testing.T) {
	w := servingWorld(t, 995)
	first := configChange{version: 3, base: 0, queue: "first"}
	second := configChange{version: 4, base: 3, queue: "second"}
	must.Eq(t, 200, w.finalAnswer(t, w.nodes["d00"], first.put()).status)
	must.Eq(t, 200, w.finalAnswer(t, w.nodes["d01"], second.put()).status)
	w.run(1000)
	for _, name := range []string{"d00", "d04"} {
		w.cutHost(name)
		for _, way := range [][2]string{{"caller", name}, {name, "caller"}} {
			delete(w.cuts, way)
		}
		for _, afterMs := range []int64{0, 700, 2000, 20_000} {
			w.run(afterMs)
			for _, o := range []configChange{first, {version: 3, base: 0, queue: "never"}} {
				for _, e := range []evRequest{o.put(), {Op: "setup.taken", Key: "3", Base: 0, Digest: make([]byte, 32)}, {Op: "site.empty", Key: "west"}} {
					at := w.nowMs()
					got := w.callAndWait(w.nodes[name], e, 4000)
					must.Eq(t, 503, got.status, must.Sprint(name, " ", afterMs, " ", e.Op, " ", got.body))
					if afterMs > ownerContactMs {
						must.Less(t, 120, w.nowMs()-at)
					}
				}
			}
		}
		w.heal()
		w.run(3000)
		must.Eq(t, 200, w.finalAnswer(t, w.nodes[name], first.put()).status)
	}
}

// Each change in the history costs 33 bytes at the members, and nothing at the daemons that
// read the configuration.
func TestConfigHistoryCost(t *testing.T) {
	w := servingWorld(t, 996)
	first := configChange{version: 1, base: 0, queue: "first"}
	must.Eq(t, 200, w.finalAnswer(t, w.nodes["d00"], first.put()).status)
	// The list that readers receive has its final length from here on.
	last := w.acceptChanges(t, first, configuration.MaxPastVersions)
	size := func() (kept, read int) {
		w.run(1500)
		n := w.nodes["d00"].executor.node
		r := n.store.Register("setup")
		return len(r.Value), len(n.config.readerCopy.Value(r))
	}
	keptBefore, readBefore := size()
	w.acceptChanges(t, last[len(last)-1], 100)
	kept, read := size()
	t.Logf("register %d bytes, then %d; read %d, then %d", keptBefore, kept, readBefore, read)
	must.LessEq(t, 34*100, kept-keptBefore)
	must.LessEq(t, 20, read-readBefore) // allows for names of different lengths
	for _, name := range sortedKeys(w.nodes) {
		must.Zero(t, w.nodes[name].executor.node.config.record.AcceptedChanges.Count)
	}
}

// A change that is too old for the history gets no final answer.
func TestForgottenChangesAreNotRefused(t *testing.T) {
	n := newQuorumOfThree().newProposer(1)
	value := configuration.Record{Version: 9000, AcceptedChanges: configuration.History{Base: 5000}}
	value.AcceptedChanges = value.AcceptedChanges.With(configuration.ChangeID{Version: 9000, Base: 5000})
	for _, c := range []struct {
		id     configuration.ChangeID
		status int
	}{{configuration.ChangeID{Version: 5000, Base: 4999}, 503}, {configuration.ChangeID{Version: 8999, Base: 5000}, 409}, {configuration.ChangeID{Version: 9000, Base: 5000}, 200}} {
		n.effects, n.changes = nil, map[uint64]*registerChange{}
		change := n.startChange("setup", "taken", nil, 0)
		change.changeID, change.request = c.id, &request{id: 5}
		for _, m := range n.core.Names()[:2] {
			n.onPromise(m, &register.Promise{Op: change.ID, OK: true, Ballot: change.Ballot, Accepted: register.Ballot{Round: 1}, Value: codec.Append(nil, value)})
		}
		n.effects = slices.DeleteFunc(n.effects, func(e effect) bool { _, isSend := e.(effSend); return isSend })
		for _, m := range n.core.Names()[:2] {
			n.onAccepted(m, &register.Accepted{Op: change.ID, OK: true, Ballot: change.Ballot})
		}
		must.Len(t, 1, n.effects)
		must.Eq(t, c.status, n.effects[0].(effReply).Status, must.Sprint(c.id.Version))
	}
}
