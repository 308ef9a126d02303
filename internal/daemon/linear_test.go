package daemon

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"otterchute/internal/lease"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// readingNode returns a daemon that has just sent a poll. confirm has the core confirm the
// configuration for the newest poll, and read reports whether a request was answered with a
// status.
func readingNode(t *testing.T, seed uint64) (n *node, confirm func(), read func(status int) bool) {
	w := servingWorld(t, seed)
	w.putAnywhere(t, 2, 0)
	w.run(1000)
	n = w.nodes["d05"].executor.node
	n.now, n.effects = n.now+lease.PollIntervalMs, nil
	n.leases.PollSoon()
	n.tickPoll()
	confirm = func() {
		count := len(lastPoll(t, n).Leases)
		for _, m := range n.core.Names() {
			n.onPollResponse(m, &wire.PollResponse{Seq: n.leases.LatestRound(), SetVersion: n.core.Version, Granted: make([]bool, count), Epochs: make([]uint64, count), Config: n.config.ballot})
		}
		n.tickConfig()
	}
	read = func(status int) bool {
		return slices.ContainsFunc(n.effects, func(e effect) bool { r, ok := e.(effReply); return ok && r.Status == status })
	}
	return n, confirm, read
}

// A poll sent in the same millisecond as a read, but before it, doesn't confirm what was
// acknowledged in between.
func TestReadWaitsForALaterPoll(t *testing.T) {
	n, confirm, read := readingNode(t, 7500)
	n.onRequest(evRequest{ID: 9, Op: "setup.get", Base: -1})
	confirm()
	must.False(t, read(200))
	n.leases.PollSoon()
	n.tickPoll()
	confirm()
	must.True(t, read(200))
}

// After a freeze between a poll and its responses, these confirm nothing for a request that is
// answered after the freeze.
func TestReadIsCheckedAfterAFreeze(t *testing.T) {
	n, confirm, read := readingNode(t, 7501)
	n.onRequest(evRequest{ID: 9, Op: "setup.get", Base: -1})
	n.leases.PollSoon()
	n.tickPoll()
	n.now, n.wokeMs = n.now+9000, n.now+9000
	confirm()
	must.False(t, read(200))
	must.True(t, read(503))
}

// registerOp is one operation of an operator in the checked history.
type registerOp struct {
	sentUs, doneUs int64 // doneUs is 0 without an answer
	read           bool
	version, base  int64 // for a read: the version returned
	note           string
	status         int
	current        int64 // the version named by a rejection
}

// registerHistory collects the operations of all operators.
type registerHistory struct {
	w   *world
	ops []*registerOp
}

// call sends one operation to a random daemon. done runs after the answer or the operator's
// timeout.
func (h *registerHistory) call(from string, op *registerOp, done func()) {
	e := evRequest{Op: "setup.get", Base: -1}
	if !op.read {
		e = evRequest{Op: "setup.put", Key: fmt.Sprint(op.version), Base: op.base, Body: fmt.Appendf(nil, `{"note":%q,"queues":[]}`, op.note)}
	}
	op.sentUs = h.w.nowUs
	h.ops = append(h.ops, op)
	h.w.call(from, h.w.randomNode(), e, 1000+h.w.rng.Int64N(2000), func(status int, _ int64, b []byte) {
		if op.status = status; status != 0 {
			op.doneUs = h.w.nowUs
		}
		switch {
		case op.read && status == 200:
			op.version, op.note = gjson.GetBytes(b, "version").Int(), gjson.GetBytes(b, "setup.note").Str
		case status == 409:
			op.current = gjson.GetBytes(b, "current").Int()
		}
		done()
	})
}

// operator reads and writes until untilMs. A change builds on the version read last, raises it
// by one to three, and is sent again until it is answered.
func (h *registerHistory) operator(name string, untilMs int64) {
	newest, count := int64(0), 0
	var next func()
	later := func(do func()) { h.w.after(h.w.rng.Int64N(400_000), do) }
	read := func() {
		op := &registerOp{read: true}
		h.call(name, op, func() {
			if op.status == 200 {
				newest = op.version
			}
			later(next)
		})
	}
	write := func() {
		count++
		version, note, tries := newest+1+h.w.rng.Int64N(3), fmt.Sprint(name, " ", count), 0
		var try func()
		try = func() {
			op := &registerOp{version: version, base: newest, note: note}
			h.call(name, op, func() {
				if tries++; op.status != 200 && op.status != 409 && tries < 12 && h.w.nowMs() < untilMs {
					later(try)
					return
				}
				if op.status == 200 {
					newest = version
				}
				later(next)
			})
		}
		try()
	}
	next = func() {
		if h.w.nowMs() >= untilMs {
			return
		}
		if h.w.rng.IntN(3) == 0 {
			write()
		} else {
			read()
		}
	}
	later(next)
}

// violations returns the breaches of linearizability in the history. Acknowledged changes are
// visible to every later read, reads never go back, one version has one document, one version
// has one accepted successor, a rejected change is never in force, and a rejection names a
// version that is in force instead.
func (h *registerHistory) violations() (out []string) {
	report := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	describe := func(o *registerOp) string { return fmt.Sprintf("%+v", *o) }
	inForce, sent := map[int64]string{}, map[int64]map[string]int64{}
	builtOn := map[int64]int64{} // accepted version by the version it builds on
	answered := slices.DeleteFunc(slices.Clone(h.ops), func(o *registerOp) bool { return o.doneUs == 0 })
	for _, o := range h.ops {
		if o.read {
			continue
		}
		if sent[o.version] == nil {
			sent[o.version] = map[string]int64{}
		}
		if at, ok := sent[o.version][o.note]; !ok || o.sentUs < at {
			sent[o.version][o.note] = o.sentUs
		}
	}
	for _, o := range answered {
		if o.status != 200 || o.read && o.version == 0 {
			continue
		}
		if at, ok := sent[o.version][o.note]; o.read && (!ok || at > o.doneUs) {
			report("no such document was sent under this version: %s", describe(o))
		}
		if note, ok := inForce[o.version]; ok && note != o.note {
			report("version %d was %q and %q", o.version, note, o.note)
		}
		inForce[o.version] = o.note
		if !o.read {
			if other, ok := builtOn[o.base]; ok && other != o.version {
				report("versions %d and %d were both acknowledged on %d", other, o.version, o.base)
			}
			builtOn[o.base] = o.version
		}
	}
	slices.SortFunc(answered, func(a, b *registerOp) int { return cmp.Compare(a.doneUs, b.doneUs) })
	for _, o := range answered {
		newest := int64(0) // acknowledged or read before this operation was sent
		for _, before := range answered {
			if before.doneUs < o.sentUs && before.status == 200 {
				newest = max(newest, before.version)
			}
		}
		switch {
		case o.read && o.status == 200 && o.version < newest:
			report("version %d was visible before this read: %s", newest, describe(o))
		case o.status == 409 && (o.current == o.base || o.current < newest || sent[o.current] == nil):
			report("wrong rejection although version %d was visible: %s", newest, describe(o))
		case o.status == 409 && inForce[o.version] == o.note:
			report("an accepted change is rejected: %s", describe(o))
		}
	}
	return out
}

// registerFaults are the faults while operators work: those of leases, lost answers, cuts and
// long freezes.
var registerFaults = append([]func(w *world, core []string){
	func(w *world, _ []string) { // answers to an operator are lost
		at, to := w.randomNode().Name, fmt.Sprint("operator", w.rng.IntN(4))
		w.setCut(at, to, true)
		w.after(w.rng.Int64N(3_000_000), func() { w.setCut(at, to, false) })
	},
	func(w *world, _ []string) { // a daemon is cut off for longer than a lease
		at, lastsUs := w.randomNode().Name, 1_500_000+w.rng.Int64N(3_000_000)
		out, in := w.rng.IntN(3) != 0, w.rng.IntN(3) != 0
		w.cutFrom(at, sortedKeys(w.nodes), out, in)
		w.after(lastsUs, func() {
			for _, other := range sortedKeys(w.nodes) {
				w.setCut(at, other, false)
				w.setCut(other, at, false)
			}
		})
	},
	func(w *world, _ []string) { w.randomNode().freeze(2000 + w.rng.Int64N(9000)) },
}, leaseFaults[:len(leaseFaults)-1]...)

// Operators read and write the configuration through daemons that are cut off, frozen, killed
// and have their clocks changed, with answers lost and delayed. The configuration must remain
// one linearizable register.
func TestConfigIsLinearizable(t *testing.T) {
	for seed := range uint64(seedCount(8)) {
		w := coreWorld(7600+*fromFlag+seed, 3+2*int(seed%2), []string{"east", "west", "mid", "east", "west", "mid"}, 4)
		must.True(t, w.until(20_000, w.allServed))
		w.delayOneIn = 100
		h := &registerHistory{w: w}
		for i := range 4 {
			h.operator(fmt.Sprint("operator", i), w.nowMs()+60_000)
		}
		for range 120 {
			registerFaults[w.rng.IntN(len(registerFaults))](w, w.coreMembers())
			w.run(100 + w.rng.Int64N(800))
		}
		for _, name := range sortedKeys(w.nodes) {
			w.nodes[name].start()
		}
		w.heal()
		w.run(15_000)
		counts := map[string]int{}
		for _, o := range h.ops {
			counts[fmt.Sprintf("%s %d", map[bool]string{true: "read", false: "write"}[o.read], o.status)]++
		}
		t.Logf("seed %d: %v", seed, counts)
		must.Positive(t, counts["read 200"])
		must.Positive(t, counts["write 200"])
		for _, fault := range h.violations() {
			t.Errorf("seed %d: %s", seed, fault)
		}
	}
}
