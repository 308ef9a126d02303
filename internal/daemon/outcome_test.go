package daemon

import (
	"testing"

	"otterchute/internal/historycheck"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// A rejection is returned to the caller only if no earlier try of the call can have been applied.
func TestRejectionMeansNotApplied(t *testing.T) {
	for _, c := range []struct {
		op, queue string
		unsure    bool
		status    int
		want      int
	}{
		{"job.put", "q", false, 503, 503}, {"job.put", "q", false, 429, 429}, {"job.put", "q", false, 400, 400},
		{"job.put", "q", true, 503, 504}, {"job.put", "q", true, 429, 504}, {"job.put", "q", true, 404, 504}, {"job.put", "q", true, 400, 504},
		{"job.put", "q", true, 409, 409}, {"job.put", "q", true, 201, 201}, {"job.put", "q", true, 200, 200},
		{"job.cancel", "q", true, 503, 504}, {"job.cancel", "q", true, 429, 504}, {"job.cancel", "q", false, 503, 503},
		{"job.cancel", "q", true, 404, 404}, {"job.cancel", "q", true, 409, 409}, {"job.cancel", "q", true, 200, 200},
		{"job.state", "q", true, 503, 503}, // it has no effect
		{"job.put", "", true, 503, 503},    // otterchute's own interface: each call is safe to repeat
	} {
		n := newNode(nodeConfig{Name: "a"}, nil)
		n.respond(&request{id: 1, op: c.op, queue: c.queue, maybeApplied: c.unsure}, c.status, 0, nil)
		must.Eq(t, c.want, n.effects[0].(effReply).Status, must.Sprintf("%+v", c))
	}
}

// addressedWorld returns a fleet with one queue at an address, a daemon that receives the calls and
// another that owns shards.
func addressedWorld(t *testing.T) (w *world, front, owner *simNode) {
	t.Helper()
	w = servingWorld(t, 11)
	status := w.callAndWait(w.nodes["d00"], evRequest{Op: "setup.put", Key: "1", Base: -1,
		Body: queueSetup("q", `,"addresses":[{"host":"h.example","prefix":"/p/"}]`)}, 5000).status
	must.Eq(t, 200, status)
	w.run(2000)
	front, owner = frontAndOwner(t, w)
	return w, front, owner
}

// startsOfID returns the number of attempts of a job that workers started.
func (w *world) startsOfID(job string) (starts int) {
	for _, e := range w.history {
		if e.Kind == historycheck.Start && e.Job == job {
			starts++
		}
	}
	return starts
}

// forwardedMessage matches one message of a forwarded call.
type forwardedMessage struct {
	name    string
	matches func(msg any) bool
}

var forwardedMessages = []forwardedMessage{
	{"request", func(m any) bool { a, ok := m.(*wire.Forward); return ok && (a.Op == "job.put" || a.Op == "job.cancel") }},
	{"look", func(m any) bool { _, ok := m.(*wire.FetchRequest); return ok }},
	{"looked", func(m any) bool { _, ok := m.(*wire.FetchResponse); return ok }},
	{"write", func(m any) bool { w, ok := m.(*wire.WriteRequest); return ok && len(w.Records) > 0 }},
	{"written", func(m any) bool { _, ok := m.(*wire.WriteResponse); return ok }},
	{"answer", func(m any) bool { _, ok := m.(*wire.ForwardReply); return ok }},
}

// neverArrives is the delay of a message that never arrives, in us.
const neverArrives = int64(1) << 50

// messageFaults are the faults that are injected when a message of an exchange is sent. Each returns
// the additional delay of that message in us.
var messageFaults = []struct {
	name   string
	inject func(w *world, front, owner *simNode) int64
}{
	{"message lost", func(*world, *simNode, *simNode) int64 { return neverArrives }},
	{"message late", func(*world, *simNode, *simNode) int64 { return 2_500_000 }},
	{"owner killed", func(w *world, _, owner *simNode) int64 {
		w.after(1, func() { owner.kill(false); w.after(300_000, owner.start) })
		return 0
	}},
	{"owner without power", func(w *world, _, owner *simNode) int64 {
		w.after(1, func() { owner.kill(true); w.after(900_000, owner.start) })
		return 0
	}},
	{"owner killed after it", func(w *world, _, owner *simNode) int64 {
		w.after(1500, func() { owner.kill(false); w.after(300_000, owner.start) })
		return 0
	}},
	{"owner frozen", func(w *world, _, owner *simNode) int64 {
		w.after(1, func() { owner.freeze(4000) })
		return 0
	}},
	{"front killed", func(w *world, front, _ *simNode) int64 {
		w.after(1, func() { front.kill(false); w.after(300_000, front.start) })
		return 0
	}},
}

// Guards against a submit whose reply contradicts the owner's records, with a fault at each message of
// the forwarded call. An accepted job is kept, a rejected one is neither known nor started, any other
// outcome is reported as unknown, and the same call repeated creates the job once.
func TestForwardedCallsAtEachStep(t *testing.T) {
	for _, step := range forwardedMessages {
		for _, fault := range messageFaults {
			t.Run(step.name+"/"+fault.name, func(t *testing.T) {
				w, front, owner := addressedWorld(t)
				id := idOwnedBy(w, owner, "job")
				injected := false
				w.extraDelayUs = func(_, _ string, msg any) int64 {
					if injected || !step.matches(msg) {
						return 0
					}
					injected = true
					return fault.inject(w, front, owner)
				}
				send := func(to *simNode) int {
					return w.callAndWait(to, evRequest{Op: "queue.submit", Host: "h.example", Path: "/p/" + id, Base: -1,
						Body: []byte(`{"steps":[{"name":"a","count":1,"room":1,"estimate_ms":50}]}`)}, 4000).status
				}
				first := send(front)
				must.True(t, injected, must.Sprint("no such message in this exchange"))
				w.run(6000)
				w.extraDelayUs = nil
				jobState := func() (status int, state string) {
					for range 20 {
						got := w.callAndWait(w.nodes["d00"], evRequest{Op: "queue.state", Host: "h.example", Path: "/p/" + id, Base: -1}, 3000)
						if got.status == 200 || got.status == 410 {
							return got.status, gjson.Get(got.body, "state").Str
						}
						w.run(500)
					}
					return 0, ""
				}
				status, _ := jobState()
				switch first {
				case 200, 201:
					must.Eq(t, 200, status, must.Sprint("accepted, but not known"))
				case 429, 503:
					must.Eq(t, 410, status, must.Sprint("rejected, but known"))
					must.Zero(t, w.startsOfID(id), must.Sprint("rejected, but started"))
				case 504, 0: // reported as unknown
				default:
					t.Fatalf("status %d", first)
				}
				second := send(w.nodes["d01"])
				t.Logf("status %d first, then %d", first, second)
				must.SliceContains(t, []int{200, 201}, second)
				must.True(t, w.until(20_000, func() bool { return w.startsOfID(id) > 0 }), must.Sprint("the job was accepted and never runs"))
				records := 0
				for _, n := range w.sortedNodes() {
					for _, shard := range n.executor.node.shards {
						if shard.jobs[id] != nil || shard.finished[id] != nil {
							records++
						}
					}
				}
				must.Eq(t, 1, records, must.Sprint("the job must be recorded exactly once"))
				must.Eq(t, 1, w.startsOfID(id), must.Sprint("its task was started more than once"))
			})
		}
	}
}

// The same for a cancel: an accepted one is kept, and the same call repeated ends the job, which never
// starts again.
func TestForwardedCancelAtEachStep(t *testing.T) {
	for _, step := range forwardedMessages {
		if step.name == "look" || step.name == "looked" {
			continue // the owner holds the job
		}
		for _, fault := range messageFaults {
			t.Run(step.name+"/"+fault.name, func(t *testing.T) {
				w, front, owner := addressedWorld(t)
				id := idOwnedBy(w, owner, "job")
				call := func(to *simNode, op string) callResult {
					return w.callAndWait(to, evRequest{Op: op, Host: "h.example", Path: "/p/" + id, Base: -1,
						Body: []byte(`{"steps":[{"name":"a","count":1,"room":1,"lasting":true}]}`)}, 4000)
				}
				must.Eq(t, 201, call(front, "queue.submit").status)
				must.True(t, w.until(20_000, func() bool { return w.startsOfID(id) > 0 }))
				injected := false
				w.extraDelayUs = func(_, _ string, msg any) int64 {
					if injected || !step.matches(msg) {
						return 0
					}
					injected = true
					return fault.inject(w, front, owner)
				}
				first := call(front, "queue.cancel").status
				must.True(t, injected)
				w.run(6000)
				w.extraDelayUs = nil
				state := func() string {
					for range 20 {
						if got := call(w.nodes["d00"], "queue.state"); got.status == 200 {
							return gjson.Get(got.body, "state").Str
						}
						w.run(500)
					}
					return ""
				}
				switch first {
				case 200:
					must.Eq(t, "cancelled", state())
				case 429, 503:
					must.Eq(t, "running", state(), must.Sprint("rejected, but cancelled"))
				case 504, 0:
				default:
					t.Fatalf("status %d", first)
				}
				second := call(w.nodes["d01"], "queue.cancel").status
				t.Logf("status %d first, then %d", first, second)
				must.Eq(t, 200, second)
				must.Eq(t, "cancelled", state())
				starts := w.startsOfID(id)
				w.run(8000)
				must.Eq(t, starts, w.startsOfID(id), must.Sprint("started after it was cancelled"))
			})
		}
	}
}
