package daemon

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"otterchute/internal/codec"
	"otterchute/internal/historycheck"
	"otterchute/internal/statestore"
	"otterchute/internal/storage"
	"otterchute/internal/wire"
	"reflect"
	"slices"

	"github.com/tidwall/gjson"
)

// world is a whole cluster in one process: the shipped reducer and shell on a
// simulated clock, network, disks, workers and callers. All is drawn from one
// seed, so the same seed gives the same run.
type world struct {
	rng          *rand.Rand
	nowUs        int64
	seq          int64
	queue        happenings
	nodes        map[string]*simNode
	workers      map[string]*simWorker
	cuts         map[[2]string]bool // one way, by host name
	lastUs       map[[2]string]int64
	hold         map[[2]string]int64 // us that everything one way takes longer
	history      []historycheck.Event
	trace        uint64
	digest       *runDigest
	logs         []string
	keepLog      bool
	dep          historycheck.Deployment
	jobs         map[string]*simJob
	jobSeq       int
	syncUs       map[string]int64
	holdUpMs     int64 // what was sent into a cut arrives after it, if it ends so soon; 0 for never
	heldUp       []heldUp
	stray        int // one message in so many is held back for seconds; 0 for none
	doneAt       []int64
	msgs         map[string]int
	freezeOrders int // so many daemons freeze with an order in hand
	trafficEnds  bool
	largest      int // bytes of the largest frame so far
	onNote       func(historycheck.Event)
	resetUs      map[[2]string]int64 // when the connections one way were last reset
	answerLoss   map[string]float64  // by caller, the share of answers lost on their way
	onAnswer     []func(sentAnswer) (over bool)
	// detain tells how many us longer than others a message takes, past those sent after it.
	detain func(from, to string, msg any) int64
}

type happening struct {
	atUs, seq int64
	do        func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].atUs < h[j].atUs || h[i].atUs == h[j].atUs && h[i].seq < h[j].seq
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (w *world) after(us int64, do func()) {
	w.seq++
	heap.Push(&w.queue, happening{w.nowUs + us, w.seq, do})
}

// nodesInOrder gives the daemons by name: a run must not depend on a map's order.
func (w *world) nodesInOrder() []*simNode {
	out := make([]*simNode, 0, len(w.nodes))
	for _, name := range sorted(w.nodes) {
		out = append(out, w.nodes[name])
	}
	return out
}

func (w *world) nowMs() int64 { return w.nowUs / 1000 }

const wallStart = 1_800_000_000_000 // ms; any day will do

func newWorld(seed uint64, dep historycheck.Deployment) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), nodes: map[string]*simNode{}, workers: map[string]*simWorker{}, cuts: map[[2]string]bool{},
		lastUs: map[[2]string]int64{}, hold: map[[2]string]int64{}, dep: dep, jobs: map[string]*simJob{}, syncUs: map[string]int64{},
		resetUs: map[[2]string]int64{}, answerLoss: map[string]float64{}, msgs: map[string]int{}, trace: 14695981039346656037,
		digest: newRunDigest(fmt.Sprintf("seed %d daemons %d workers %d cores %d", seed, dep.Daemons, dep.Workers, dep.Cores))}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:7000", i))
	}
	for i := range dep.Daemons {
		name := fmt.Sprintf("d%02d", i)
		n := &simNode{w: w, disk: &simDisk{w: w, host: name}, nodeConfig: nodeConfig{Name: name, Addr: fmt.Sprintf("10.0.0.%d:7000", i), HTTP: fmt.Sprintf("10.0.0.%d:8000", i),
			Zone: historycheck.Sites[i%3], Seeds: seeds, Disk: i < coreSize, KeepMs: keepHoursDef * msPerHour, SnapshotBytes: 1 << 20, ThresholdMs: thresholdMs, TargetSigma: 2, FirstStart: true}}
		if n.Disk {
			n.nodeConfig.DiskID = w.rng.Uint64() | 1
		}
		w.nodes[name] = n
	}
	for _, name := range sorted(w.nodes) {
		n := w.nodes[name]
		w.after(w.rng.Int64N(300_000), n.start)
	}
	for i := range dep.Workers {
		sw := &simWorker{w: w, name: fmt.Sprintf("w%02d", i), site: historycheck.Sites[i%3], labels: historycheck.WorkerLabels(i), room: dep.Cores, slow: 1,
			running: map[string]*simRun{}, ended: map[string]*simRun{}}
		w.workers[sw.name] = sw
		w.after(500_000+w.rng.Int64N(300_000), sw.start)
	}
	return w
}

// step lets one thing happen.
func (w *world) step() {
	h := heap.Pop(&w.queue).(happening)
	w.nowUs = h.atUs
	h.do()
}

// run lets the world go on for so many simulated ms.
func (w *world) run(ms int64) {
	end := w.nowUs + ms*1000
	for len(w.queue) > 0 && w.queue[0].atUs <= end {
		w.step()
	}
	w.nowUs = end
}

// until runs on until something holds, at most so many simulated ms.
func (w *world) until(ms int64, holds func() bool) bool {
	for end := w.nowMs() + ms; w.nowMs() < end; w.run(50) {
		if holds() {
			return true
		}
	}
	return holds()
}

func (w *world) note(e historycheck.Event) {
	e.AtMs = w.nowMs()
	w.history = append(w.history, e)
	if w.onNote != nil {
		w.onNote(e)
	}
}

func (w *world) traceOf(parts ...any) {
	h := fnv.New64a()
	fmt.Fprint(h, w.trace, w.nowUs, parts)
	w.trace = h.Sum64()
}

// carry moves something from one host to another: in order on one
// connection, lost if the way is cut when it leaves or when it would arrive,
// or held up for as long as connections wait.
func (w *world) carryTo(from, to string, do func()) {
	way := [2]string{from, to}
	if w.cuts[way] {
		w.holdUp(way, do)
		return
	}
	leftUs := w.nowUs
	at := w.nowUs + 150 + w.rng.Int64N(400) + w.hold[way]
	if from == to {
		at = w.nowUs + 5
	}
	if w.stray > 0 && w.rng.IntN(w.stray) == 0 {
		at += w.rng.Int64N(4_000_000) // held in some buffer while others pass
	} else {
		at = max(at, w.lastUs[way]+1)
		w.lastUs[way] = at
	}
	w.after(at-w.nowUs, func() {
		switch {
		case w.resetUs[way] > leftUs: // gone with its connection
		case w.cuts[way]:
			w.holdUp(way, do)
		default:
			do()
		}
	})
}

type heldUp struct {
	way  [2]string
	atUs int64
	do   func()
}

func (w *world) holdUp(way [2]string, do func()) {
	if w.holdUpMs > 0 {
		w.heldUp = append(w.heldUp, heldUp{way, w.nowUs, do})
	}
}

// release brings what a cut held up, where the way is open again, soon enough.
func (w *world) release() {
	var kept []heldUp
	for _, h := range w.heldUp {
		switch {
		case w.nowUs-h.atUs > w.holdUpMs*1000:
		case w.cuts[h.way]:
			kept = append(kept, h)
		default:
			at := max(w.nowUs+w.rng.Int64N(200_000), w.lastUs[h.way]+1)
			w.lastUs[h.way] = at
			w.after(at-w.nowUs, h.do)
		}
	}
	w.heldUp = kept
}

func (w *world) hosts() []string { return append(sorted(w.nodes), sorted(w.workers)...) }

func (w *world) siteOf(host string) string {
	if n := w.nodes[host]; n != nil {
		return n.Zone
	}
	return w.workers[host].site
}

// cutSite cuts a site off from all others, both ways.
func (w *world) cutSite(site string) {
	for _, a := range w.hosts() {
		for _, b := range w.hosts() {
			if (w.siteOf(a) == site) != (w.siteOf(b) == site) {
				w.cuts[[2]string{a, b}] = true
			}
		}
	}
}

func (w *world) cutHost(host string) {
	if w.workers[host] != nil {
		w.note(historycheck.Event{Kind: historycheck.Unreachable, Worker: host})
	}
	for _, b := range w.hosts() {
		if b != host {
			w.cuts[[2]string{host, b}], w.cuts[[2]string{b, host}] = true, true
		}
	}
}

func (w *world) heal() {
	w.cuts = map[[2]string]bool{}
	for _, name := range sorted(w.workers) {
		w.note(historycheck.Event{Kind: historycheck.Reachable, Worker: name})
	}
}

// simNode is one daemon's machine.
type simNode struct {
	nodeConfig
	w        *world
	sh       *executor
	gen      int
	up       bool
	frozenTo int64
	inbox    []func()
	bootUs   int64
	skewMs   int64
	disk     *simDisk
	asks     map[uint64]func(int, int64, []byte)
	askSeq   uint64
	incs     uint64
	removed  bool // its machine is gone for good
}

func (n *simNode) start() {
	if n.up || n.removed {
		return
	}
	if wait := n.disk.stallUs - n.w.nowUs; n.Disk && wait > 0 { // its log can't be read before
		n.w.after(wait, n.start)
		return
	}
	n.up, n.frozenTo, n.inbox = true, 0, nil
	n.gen++
	n.incs++
	n.asks = map[uint64]func(int, int64, []byte){}
	n.bootUs = n.w.nowUs - 1_000_000 - n.w.rng.Int64N(3_000_000_000)
	p := n.nodeConfig
	p.Incarnation = n.incs<<32 | uint64(n.w.nowMs())&0xffffffff
	p.Instance = addressOf(fmt.Sprintf("%s life %d", n.Name, n.gen)) // draws nothing, so that a seed's run stays as it was
	var st *statestore.Store
	if p.Disk {
		st = n.disk.load()
	}
	n.sh = &executor{node: newNode(p, st), ports: n}
	gen := n.gen
	var tick func()
	tick = func() {
		if n.gen != gen || !n.up {
			return
		}
		n.event(evTick{})
		n.w.after(tickMs*1000, tick)
	}
	tick()
}

// later runs something at this machine, once it is awake, if it still is the
// same process.
func (n *simNode) later(us int64, do func()) {
	gen := n.gen
	n.w.after(us, func() {
		if n.gen == gen && n.up {
			n.awake(do)
		}
	})
}

func (n *simNode) awake(do func()) {
	if n.w.nowUs < n.frozenTo {
		n.inbox = append(n.inbox, do)
		return
	}
	do()
}

func (n *simNode) freeze(ms int64) {
	n.frozenTo = n.w.nowUs + ms*1000
	gen := n.gen
	n.w.after(ms*1000+1, func() {
		if n.gen != gen || !n.up {
			return
		}
		box := n.inbox
		n.inbox = nil
		for _, do := range box {
			n.awake(do)
		}
	})
}

func (n *simNode) steadyMs() int64 { return (n.w.nowUs - n.bootUs) / 1000 }

func (n *simNode) event(body any) {
	n.awake(func() {
		if !n.up {
			return
		}
		n.sh.step(event{NowMs: n.steadyMs(), WallMs: wallStart + n.w.nowMs() + n.skewMs, Seed: n.w.rng.Uint64(), Body: body})
	})
}

// kill ends the process; with power its unsynced writes are gone too.
func (n *simNode) kill(power bool) {
	n.up = false
	n.gen++
	n.disk.stop(power)
}

func (n *simNode) wipe() {
	n.disk.entries, n.disk.synced = nil, 0
	n.disk.wipes++
	n.nodeConfig.DiskID = n.w.rng.Uint64() | 1
}

func (n *simNode) Send(head wire.Header, to, addr string, msg any) {
	frame := wire.EncodeFrame(head, msg)
	n.w.digest.add(n.w.nowUs, n.Name, "send", nil, []byte(to), []byte(addr), frame)
	if n.w.largest = max(n.w.largest, len(frame)); len(frame) > wire.MaxFrame {
		return // the other end hangs up on it
	}
	n.w.msgs[reflect.TypeOf(msg).Elem().Name()]++
	target := n.w.nodes[to]
	if target == nil || target.Addr != addr {
		target = nil
		for _, name := range sorted(n.w.nodes) {
			if n.w.nodes[name].Addr == addr {
				target = n.w.nodes[name]
			}
		}
	}
	if target == nil {
		return
	}
	arrive := func() {
		if !target.up {
			return
		}
		h, m, err := wire.DecodeFrame(frame)
		if err != nil {
			panic(err)
		}
		n.w.traceOf(h.From, target.Name, h.Kind, len(frame))
		target.event(evMsg{Head: h, Msg: m})
	}
	if n.w.detain != nil {
		if us := n.w.detain(n.Name, target.Name, msg); us > 0 {
			n.w.after(us, arrive)
			return
		}
	}
	n.w.carryTo(n.Name, target.Name, arrive)
}

func (n *simNode) Append(entries []statestore.Entry, done func()) { n.disk.append(n, entries, done) }
func (n *simNode) Snapshot(entries []statestore.Entry)            { n.disk.snapshot(n, entries) }
func (n *simNode) Wipe(id uint64) {
	n.w.digest.add(n.w.nowUs, n.Name, "wipe", []int64{int64(id)})
	n.wipe()
	n.nodeConfig.DiskID = id
}
func (n *simNode) Exit() {
	n.w.digest.add(n.w.nowUs, n.Name, "exit", nil)
	n.kill(false)
}

func (n *simNode) Reply(e effReply) {
	n.w.digest.add(n.w.nowUs, n.Name, "reply", []int64{int64(e.ID), int64(e.Status), e.RetryMs}, e.Body)
	if cb := n.asks[e.ID]; cb != nil {
		delete(n.asks, e.ID)
		cb(e.Status, e.RetryMs, e.Body)
	}
}

func (n *simNode) Log(event string, pairs []any) {
	n.w.traceOf(n.Name, event, fmt.Sprint(pairs...))
	if n.w.keepLog {
		n.w.logs = append(n.w.logs, fmt.Sprintf("%d %s %s %v", n.w.nowMs(), n.Name, event, pairs))
	}
}

// Order sends to a worker. The clock is read again at the moment of writing,
// as the product does.
func (n *simNode) Order(e effOrder) {
	n.w.digest.add(n.w.nowUs, n.Name, "order", []int64{e.NotAfterMs, boolNumber(e.Stop)}, []byte(e.Worker), []byte(e.Addr), codec.Append(nil, e.Key), e.Body)
	if n.w.freezeOrders > 0 && !e.Stop {
		n.w.freezeOrders--
		n.freeze(9000) // between the check and the write
	}
	n.later(100, func() {
		result := func(outcome string) {
			n.event(evOrder{Worker: e.Worker, Key: e.Key, Stop: e.Stop, Outcome: outcome})
		}
		if n.steadyMs() > e.NotAfterMs {
			result("not_sent")
			return
		}
		sw := n.w.workers[e.Worker]
		answered, leftUs := false, n.w.nowUs
		n.w.carryTo(n.Name, sw.name, func() {
			if n.w.nowUs-leftUs > flightMs*1000 {
				return // its connection was torn down by then, with all unread bytes
			}
			outcome := sw.take(e)
			n.w.carryTo(sw.name, n.Name, func() {
				if !answered {
					answered = true
					result(outcome)
				}
			})
		})
		n.later(flightMs*1000, func() {
			if !answered {
				answered = true
				result("unknown")
			}
		})
	})
}

// simDisk stands in for the log in disk.go: a batch is written and synced before
// the next one begins. What waits behind it is in memory only; of a batch under
// way a power loss leaves any first part; and after a write that failed all is
// held up until a later try succeeds.
type simDisk struct {
	w        *world
	host     string
	entries  [][]byte
	synced   int
	syncing  bool
	batchEnd int // where the batch under way ends, counted with what was folded
	waiting  []func()
	wipes    int
	folded   int // entries that snapshots took the place of, less what these take
	full     bool
	failed   bool  // a write failed, and is tried again
	stallUs  int64 // nothing is answered before
}

func (d *simDisk) load() *statestore.Store {
	st := statestore.New()
	for _, b := range d.entries {
		var e statestore.Entry
		if err := codec.Unmarshal(b, &e); err != nil {
			panic(err)
		}
		st.Apply(e)
	}
	d.syncing, d.waiting, d.failed = false, nil, false
	return st
}

func (d *simDisk) append(n *simNode, entries []statestore.Entry, done func()) {
	for _, e := range entries {
		d.entries = append(d.entries, codec.Append(nil, e))
		n.w.digest.add(n.w.nowUs, n.Name, "append", nil, d.entries[len(d.entries)-1])
	}
	d.waiting = append(d.waiting, done)
	if len(entries) == 0 && !d.syncing && !d.failed && d.synced == len(d.entries) {
		d.release(len(d.waiting))
		return
	}
	d.sync(n)
}

func (d *simDisk) sync(n *simNode) {
	if d.syncing || d.failed || len(d.waiting) == 0 {
		return
	}
	d.syncing = true
	d.batchEnd = d.folded + len(d.entries)
	calls := len(d.waiting)
	if d.full {
		n.later(100, func() { d.fail(n, errDiskFull) })
		return
	}
	n.later(500+d.w.syncUs[d.host]+d.w.rng.Int64N(1500), func() { d.syncEnds(n, calls) })
}

func (d *simDisk) syncEnds(n *simNode, calls int) {
	if wait := d.stallUs - d.w.nowUs; wait > 0 {
		n.later(wait, func() { d.syncEnds(n, calls) })
		return
	}
	if d.full {
		d.fail(n, errDiskFull)
		return
	}
	d.syncing = false
	d.synced = max(d.synced, min(d.batchEnd-d.folded, len(d.entries)))
	d.release(calls)
	d.sync(n)
}

// fail tells the daemon; all that waits is held up until a later try.
func (d *simDisk) fail(n *simNode, reason string) {
	d.failed, d.syncing = true, false
	n.event(evDisk{Failed: reason})
	n.later(storage.RetryFirst.Microseconds(), func() { d.again(n, 2*storage.RetryFirst.Milliseconds()) })
}

// again tries a failed disk anew, as diskrecovery.go does.
func (d *simDisk) again(n *simNode, nextMs int64) {
	if d.full || d.stallUs > d.w.nowUs {
		n.later(nextMs*1000, func() { d.again(n, min(2*nextMs, storage.RetryMax.Milliseconds())) })
		return
	}
	d.failed, d.synced = false, len(d.entries)
	d.release(len(d.waiting))
	n.event(evDisk{Recovered: true})
}

func (d *simDisk) release(calls int) {
	ready := d.waiting[:calls]
	d.waiting = slices.Clone(d.waiting[calls:])
	for _, done := range ready {
		done()
	}
}

func (d *simDisk) snapshot(n *simNode, entries []statestore.Entry) {
	at := d.folded + len(d.entries)
	var dump [][]byte
	for _, e := range entries {
		dump = append(dump, codec.Append(nil, e))
		n.w.digest.add(n.w.nowUs, n.Name, "snapshot", nil, dump[len(dump)-1])
	}
	wipes := d.wipes
	n.later(20_000, func() {
		if d.wipes != wipes {
			return // of a disk that was emptied meanwhile
		}
		if d.full || d.failed || d.stallUs > d.w.nowUs {
			return // it failed; the log still holds all
		}
		old := at - d.folded // another snapshot may have come before this one
		d.entries = append(dump, d.entries[old:]...)
		d.synced = max(len(dump), d.synced-old+len(dump))
		d.folded = at - len(dump)
	})
}

// plant puts entries on the disk, synced, beside what its daemon writes.
func (d *simDisk) plant(entries ...statestore.Entry) {
	for _, e := range entries {
		d.entries = append(d.entries, codec.Append(nil, e))
	}
	d.synced = len(d.entries)
}

// written is how many entries were handed to the operating system.
func (d *simDisk) written() int {
	if d.syncing || d.failed {
		return max(d.synced, min(d.batchEnd-d.folded, len(d.entries)))
	}
	return d.synced
}

// tear leaves any first part of what was written and not synced.
func (d *simDisk) tear() {
	kept := d.written()
	if kept > d.synced {
		kept = d.synced + d.w.rng.IntN(kept-d.synced+1)
	}
	d.entries = d.entries[:kept]
}

// stop ends the process that writes here. What it had not yet written is gone,
// and with power any last part of what was not yet synced.
func (d *simDisk) stop(power bool) {
	if power || d.failed {
		d.tear()
	}
	d.entries = d.entries[:min(len(d.entries), d.written())]
	d.synced = len(d.entries)
	d.syncing, d.waiting, d.failed = false, nil, false
}

// ask sends an HTTP ask from a host to a daemon; cb gets status 0 on silence.
func (w *world) ask(from string, to *simNode, op, key string, body []byte, waitMs int64, cb func(status int, retryMs int64, body []byte)) {
	w.call(from, to, evRequest{Op: op, Key: key, Expect: -1, Body: body}, waitMs, cb)
}

// call is ask for all that an ask may hold.
func (w *world) call(from string, to *simNode, e evRequest, waitMs int64, cb func(status int, retryMs int64, body []byte)) {
	done := false
	finish := func(status int, retryMs int64, b []byte) {
		if !done {
			done = true
			cb(status, retryMs, b)
		}
	}
	w.after(waitMs*1000, func() { finish(0, 0, nil) })
	w.carryTo(from, to.Name, func() {
		if !to.up {
			return
		}
		to.awake(func() {
			to.askSeq++
			to.asks[to.askSeq] = func(status int, retryMs int64, b []byte) {
				if w.answerLeaves(sentAnswer{from, to, e, status}) {
					return
				}
				w.carryTo(to.Name, from, func() { finish(status, retryMs, b) })
			}
			e.ID = to.askSeq
			to.event(e)
		})
	})
}

func (w *world) anyNode(r int) *simNode {
	names := sorted(w.nodes)
	return w.nodes[names[r%len(names)]]
}

// simWorker is a dumb back end: it runs whatever it is told.
type simWorker struct {
	w        *world
	name     string
	site     string
	labels   map[string]string
	room     int64
	up       bool
	gen      int
	inc      int
	seq      int64
	token    string
	leaving  bool
	slow     int64
	failPct  int
	stallPct int
	frozenTo int64
	running  map[string]*simRun
	ended    map[string]*simRun
	busy     bool
	again    bool
	use      int
	starts   int
}

type simRun struct {
	id, tag string
	job     string
	task    int
	room    int64
	startMs int64
	ranMs   int64
	outcome string
	gen     int
}

func (s *simWorker) start() {
	if s.up {
		return
	}
	s.up, s.seq, s.token, s.busy, s.leaving = true, 0, "", false, false
	s.gen++
	s.inc++
	s.w.note(historycheck.Event{Kind: historycheck.WorkerRoom, Worker: s.name, Room: s.room, Labels: s.labels, Site: s.site})
	gen := s.gen
	var tick func()
	tick = func() {
		if s.gen == gen && s.up {
			s.report()
			s.w.after(300_000, tick)
		}
	}
	tick()
}

// crash ends the worker's process and all its runs; the journal of ends stays.
func (s *simWorker) crash() {
	s.up = false
	s.gen++
	for _, id := range sorted(s.running) {
		r := s.running[id]
		s.w.note(historycheck.Event{Kind: historycheck.End, Job: r.job, Task: r.task, Worker: s.name, Run: id, Text: "crash"})
	}
	s.running = map[string]*simRun{}
}

func (s *simWorker) take(e effOrder) string {
	if !s.up || s.w.nowUs < s.frozenTo {
		return "unknown"
	}
	id := gjson.GetBytes(e.Body, "id").Str
	if e.Stop {
		s.finish(id, "stopped")
		return "started"
	}
	o := gjson.ParseBytes(e.Body)
	job, task, _ := historycheck.ParseRun(id)
	r := &simRun{id: id, tag: o.Get("tag").Str, job: job, task: task, room: o.Get("room").Int(), startMs: s.w.nowMs(), gen: s.gen}
	s.running[id] = r
	s.starts++
	s.w.note(historycheck.Event{Kind: historycheck.Start, Job: job, Task: task, Worker: s.name, Run: id, Text: o.Get("class").Str})
	ms := o.Get("payload.ms").Int() * s.slow
	outcome := "ok"
	if s.w.rng.IntN(100) < s.failPct || s.w.rng.IntN(100) < int(o.Get("payload.fail_pct").Int()) {
		outcome = "failed"
	}
	if o.Get("payload.stall").Bool() || s.w.rng.IntN(100) < s.stallPct {
		return "started" // stands still until it is stopped
	}
	s.w.after(ms*1000, func() {
		if s.up && r.gen == s.gen && s.running[id] == r {
			s.finish(id, outcome)
		}
	})
	return "started"
}

func (s *simWorker) finish(id, outcome string) {
	r := s.running[id]
	if r == nil {
		return
	}
	delete(s.running, id)
	r.outcome, r.ranMs = outcome, s.w.nowMs()-r.startMs
	s.ended[id] = r
	s.w.note(historycheck.Event{Kind: historycheck.End, Job: r.job, Task: r.task, Worker: s.name, Run: id, Text: outcome})
	s.report()
}

func (s *simWorker) report() {
	if s.busy {
		s.again = true
		return
	}
	s.busy, s.again = true, false
	s.seq++
	list := func(m map[string]*simRun) []map[string]any {
		out := []map[string]any{}
		for _, id := range sorted(m) {
			r := m[id]
			ran := r.ranMs
			if r.outcome == "" {
				ran = s.w.nowMs() - r.startMs
			}
			e := map[string]any{"id": id, "tag": r.tag, "room": r.room, "ran_ms": ran}
			if r.outcome != "" {
				e["outcome"] = r.outcome
			}
			out = append(out, e)
		}
		return out
	}
	free := s.room
	for _, r := range s.running {
		free -= r.room
	}
	leaving := s.leaving
	body := mustJSON(map[string]any{"incarnation": fmt.Sprintf("i%d", s.inc), "seq": s.seq, "address": s.name, "site": s.site, "labels": s.labels,
		"free": max(free, 0), "leaving": leaving, "token": s.token, "running": list(s.running), "ended": list(s.ended)})
	gen := s.gen
	s.w.ask(s.name, s.w.anyNode(s.use+int(s.name[2])), "worker.report", s.name, body, 2000, func(status int, _ int64, b []byte) {
		if gen != s.gen {
			return
		}
		s.busy = false
		if status == 200 {
			s.token = gjson.GetBytes(b, "token").Str
			for _, a := range gjson.GetBytes(b, "acked").Array() {
				delete(s.ended, a.Str)
			}
			if leaving {
				s.w.note(historycheck.Event{Kind: historycheck.WorkerLeaves, Worker: s.name})
			}
		} else {
			s.use++
		}
		if s.again {
			s.w.after(5000, s.report)
		}
	})
}

// simJob is a caller's view of one job.
type simJob struct {
	id     string
	spec   historycheck.Job
	body   []byte
	sentMs int64
	acked  bool
	state  string
	last   string // the last answer to its state
	cancel bool
	gaveUp bool
	tries  int
}

// submit sends a job, again after silence, and then asks for its state until it ends.
func (w *world) submit(spec historycheck.Job) *simJob {
	w.jobSeq++
	j := &simJob{id: fmt.Sprintf("j%05d", w.jobSeq), spec: spec, sentMs: w.nowMs()}
	j.body, _ = json.Marshal(spec)
	w.jobs[j.id] = j
	seen := j.spec
	if seen.DueMs > 0 {
		seen.DueMs -= wallStart // the history speaks in the world's time
	}
	w.note(historycheck.Event{Kind: historycheck.JobSent, Job: j.id, Spec: &seen})
	w.put(j)
	return j
}

func (w *world) put(j *simJob) {
	j.tries++
	w.ask("caller", w.anyNode(w.rng.IntN(1000)), "job.put", j.id, j.body, 2000, func(status int, retryMs int64, _ []byte) {
		switch {
		case status == 200 || status == 201:
			if !j.acked {
				j.acked = true
				w.note(historycheck.Event{Kind: historycheck.JobAcked, Job: j.id})
			}
			w.after(500_000, func() { w.get(j) })
		case status == 400 || status == 409:
			j.gaveUp, j.state = true, fmt.Sprint(status)
		case j.tries > 200:
			j.gaveUp = true
		default:
			w.note(historycheck.Event{Kind: historycheck.NoEntry, Job: j.id})
			w.after(max(retryMs, 500)*1000, func() { w.put(j) })
		}
	})
}

func (w *world) get(j *simJob) {
	asked := w.nowMs()
	w.ask("caller", w.anyNode(w.rng.IntN(1000)), "job.get", j.id, nil, 2000, func(status int, _ int64, b []byte) {
		state := gjson.GetBytes(b, "state").Str
		j.last = string(b)
		if status == 404 {
			state = "unknown"
		}
		if state != "" {
			j.state = state
			w.note(historycheck.Event{Kind: historycheck.JobState, Job: j.id, Text: state, AskedMs: asked})
		} else {
			w.note(historycheck.Event{Kind: historycheck.NoState, Job: j.id})
		}
		if state == "complete" || state == "failed" || state == "cancelled" {
			w.doneAt = append(w.doneAt, w.nowMs())
			return
		}
		w.after(700_000+w.rng.Int64N(300_000), func() { w.get(j) })
	})
}

func (w *world) cancelJob(j *simJob) {
	w.ask("caller", w.anyNode(w.rng.IntN(1000)), "job.cancel", j.id, nil, 2000, func(status int, _ int64, _ []byte) {
		switch status {
		case 200:
			j.cancel = true
			w.note(historycheck.Event{Kind: historycheck.CancelAcked, Job: j.id})
		case 409, 404:
		default:
			w.after(500_000, func() { w.cancelJob(j) })
		}
	})
}

// putSetup sends a setup version until it is finally answered.
func (w *world) putSetup(version int64, s historycheck.Setup, done func(status int)) {
	body, _ := json.Marshal(s)
	kept := &s
	w.note(historycheck.Event{Kind: historycheck.SetupSent, Version: version, Setup: kept})
	var try func()
	try = func() {
		w.ask("operator", w.anyNode(w.rng.IntN(1000)), "setup.put", fmt.Sprint(version), body, 4000, func(status int, _ int64, b []byte) {
			switch status {
			case 200:
				w.note(historycheck.Event{Kind: historycheck.SetupAcked, Version: version, Setup: kept})
			case 400, 409:
				w.note(historycheck.Event{Kind: historycheck.SetupBounced, Version: version, Setup: kept})
			default:
				w.after(500_000, try)
				return
			}
			if done != nil {
				done(status)
			}
		})
	}
	try()
}

// traffic sends the deployment's usual mix for so many ms.
func (w *world) traffic(ms int64) {
	end := w.nowMs() + ms
	var next func()
	next = func() {
		if w.nowMs() >= end {
			return
		}
		w.submit(w.dep.Draw(w.rng))
		w.after(int64(w.rng.ExpFloat64()*1e6/w.dep.JobsPerSec), next)
	}
	next()
}

func (w *world) setupVersion() int64 {
	v := int64(0)
	for _, n := range w.nodesInOrder() {
		if n.up {
			v = max(v, n.sh.node.config.record.Version)
		}
	}
	return v
}

// open gives the accepted jobs that have not ended as far as callers know.
func (w *world) open() []string {
	var out []string
	for _, id := range sorted(w.jobs) {
		if j := w.jobs[id]; !j.gaveUp && j.state != "complete" && j.state != "failed" && j.state != "cancelled" {
			out = append(out, id+":"+j.state)
		}
	}
	return out
}

func (w *world) holderOf(duty string) *simNode {
	for _, name := range sorted(w.nodes) {
		if n := w.nodes[name]; n.up && w.nowUs >= n.frozenTo && n.sh.node.leases.Holds(duty) {
			return n
		}
	}
	return nil
}

func (w *world) total(count string) int64 {
	sum := int64(0)
	for _, n := range w.nodesInOrder() {
		if n.up {
			sum += n.sh.node.counts[count]
		}
	}
	return sum
}
