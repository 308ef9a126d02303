package daemon

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"otterchute/internal/historycheck"
	"otterchute/internal/membership"
)

// world is a simulated cluster in one process: the real state machine and executor on a
// simulated clock, network, disks, workers and callers. All randomness comes from one seed, so
// the same seed gives the same run.
type world struct {
	rng                *rand.Rand
	nowUs              int64
	seq                int64
	queue              simEventQueue
	nodes              map[string]*simNode
	workers            map[string]*simWorker
	cuts               map[[2]string]bool // by sender and receiver host
	lastArrivalUs      map[[2]string]int64
	pathDelayUs        map[[2]string]int64 // extra delay in us, by sender and receiver host
	history            []historycheck.Event
	trace              uint64
	digest             *runDigest
	logs               []string
	keepLogs           bool
	deployment         historycheck.Deployment
	jobs               map[string]*simJob
	jobSeq             int
	extraSyncUs        map[string]int64
	maxHeldMs          int64 // messages sent into a cut arrive after it if it ends within this time; 0 drops them
	heldMessages       []heldMessage
	delayOneIn         int // one message in this many is delayed by up to 4 s and overtaken; 0 for none
	doneAtMs           []int64
	messages           map[string]int
	freezesBeforeOrder int // number of daemons still to freeze between checking and sending a start order
	trafficEnded       bool
	largestFrame       int // size of the largest frame so far, in bytes
	onEvent            func(historycheck.Event)
	resetUs            map[[2]string]int64 // time of the last connection reset, by sender and receiver host
	responseLoss       map[string]float64  // by caller, the share of responses that are lost
	onResponse         []func(sentResponse) (over bool)
	onSend             func(from, to string, msg any, bytes int)
	// extraDelayUs returns an extra delay in us for a message, which then may be overtaken by later
	// ones; 0 for none.
	extraDelayUs func(from, to string, msg any) int64
}

// simEvent is a function that runs at a simulated time; seq orders the events of one moment.
type simEvent struct {
	atUs, seq int64
	do        func()
}

// simEventQueue is a heap of events by time.
type simEventQueue []simEvent

func (h simEventQueue) Len() int { return len(h) }
func (h simEventQueue) Less(i, j int) bool {
	return h[i].atUs < h[j].atUs || h[i].atUs == h[j].atUs && h[i].seq < h[j].seq
}
func (h simEventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEventQueue) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEventQueue) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// after runs do after us of simulated time.
func (w *world) after(us int64, do func()) {
	w.seq++
	heap.Push(&w.queue, simEvent{w.nowUs + us, w.seq, do})
}

// sortedNodes returns the daemons sorted by name: a run must not depend on the order of a
// map.
func (w *world) sortedNodes() []*simNode {
	out := make([]*simNode, 0, len(w.nodes))
	for _, name := range sortedKeys(w.nodes) {
		out = append(out, w.nodes[name])
	}
	return out
}

func (w *world) nowMs() int64 { return w.nowUs / 1000 }

const wallStart = 1_800_000_000_000 // ms; an arbitrary date

func newWorld(seed uint64, dep historycheck.Deployment) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), nodes: map[string]*simNode{}, workers: map[string]*simWorker{}, cuts: map[[2]string]bool{},
		lastArrivalUs: map[[2]string]int64{}, pathDelayUs: map[[2]string]int64{}, deployment: dep, jobs: map[string]*simJob{}, extraSyncUs: map[string]int64{},
		resetUs: map[[2]string]int64{}, responseLoss: map[string]float64{}, messages: map[string]int{}, trace: 14695981039346656037,
		digest: newRunDigest(fmt.Sprintf("seed %d daemons %d workers %d cores %d", seed, dep.Daemons, dep.Workers, dep.Cores))}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:7000", i))
	}
	for i := range dep.Daemons {
		name := fmt.Sprintf("d%02d", i)
		n := &simNode{w: w, disk: &simDisk{w: w, host: name}, nodeConfig: nodeConfig{Name: name, Addr: fmt.Sprintf("10.0.0.%d:7000", i), HTTP: fmt.Sprintf("10.0.0.%d:8000", i),
			Zone: historycheck.Zones[i%3], Seeds: seeds, Disk: i < membership.DefaultSize, FinishedKeepMs: defaultKeepHours * msPerHour, SnapshotBytes: 1 << 20, ThresholdMs: thresholdMs, TargetSigma: 2, FirstStart: true}}
		if n.Disk {
			n.DiskID = w.rng.Uint64() | 1
		}
		w.nodes[name] = n
	}
	for _, name := range sortedKeys(w.nodes) {
		n := w.nodes[name]
		w.after(w.rng.Int64N(300_000), n.start)
	}
	for i := range dep.Workers {
		sw := &simWorker{w: w, name: fmt.Sprintf("w%02d", i), zone: historycheck.Zones[i%3], labels: historycheck.WorkerLabels(i), capacity: dep.Cores, slowdown: 1,
			running: map[string]*simAttempt{}, ended: map[string]*simAttempt{}}
		w.workers[sw.name] = sw
		w.after(500_000+w.rng.Int64N(300_000), sw.start)
	}
	return w
}

// step runs the next event.
func (w *world) step() {
	h := heap.Pop(&w.queue).(simEvent)
	w.nowUs = h.atUs
	h.do()
}

// run advances the simulation by ms.
func (w *world) run(ms int64) {
	end := w.nowUs + ms*1000
	for len(w.queue) > 0 && w.queue[0].atUs <= end {
		w.step()
	}
	w.nowUs = end
}

// until advances the simulation until holds returns true, for at most ms, and returns the last
// result of holds.
func (w *world) until(ms int64, holds func() bool) bool {
	for end := w.nowMs() + ms; w.nowMs() < end; w.run(50) {
		if holds() {
			return true
		}
	}
	return holds()
}

// record adds an event to the history that is checked after the run.
func (w *world) record(e historycheck.Event) {
	e.AtMs = w.nowMs()
	w.history = append(w.history, e)
	if w.onEvent != nil {
		w.onEvent(e)
	}
}

// addTrace adds an event to the hash that tells two runs apart.
func (w *world) addTrace(parts ...any) {
	h := fnv.New64a()
	fmt.Fprint(h, w.trace, w.nowUs, parts)
	w.trace = h.Sum64()
}

// deliver carries a message between two hosts, in the order of sending for each pair. The
// message is lost if the path is cut when it is sent or when it would arrive, unless maxHeldMs
// delays it until the cut ends.
func (w *world) deliver(from, to string, do func()) {
	path := [2]string{from, to}
	if w.cuts[path] {
		w.holdMessage(path, do)
		return
	}
	leftUs := w.nowUs
	at := w.nowUs + 150 + w.rng.Int64N(400) + w.pathDelayUs[path]
	if from == to {
		at = w.nowUs + 5
	}
	if w.delayOneIn > 0 && w.rng.IntN(w.delayOneIn) == 0 {
		at += w.rng.Int64N(4_000_000) // buffered somewhere while later messages pass
	} else {
		at = max(at, w.lastArrivalUs[path]+1)
		w.lastArrivalUs[path] = at
	}
	w.after(at-w.nowUs, func() {
		switch {
		case w.resetUs[path] > leftUs: // lost with its connection
		case w.cuts[path]:
			w.holdMessage(path, do)
		default:
			do()
		}
	})
}

// heldMessage is a message that a cut holds up.
type heldMessage struct {
	path [2]string
	atUs int64
	do   func()
}

// holdMessage keeps a message that was sent into a cut, if cuts hold messages up.
func (w *world) holdMessage(path [2]string, do func()) {
	if w.maxHeldMs > 0 {
		w.heldMessages = append(w.heldMessages, heldMessage{path, w.nowUs, do})
	}
}

// releaseHeld delivers the messages that were held up by a cut that has ended, unless they waited
// too long.
func (w *world) releaseHeld() {
	var kept []heldMessage
	for _, h := range w.heldMessages {
		switch {
		case w.nowUs-h.atUs > w.maxHeldMs*1000:
		case w.cuts[h.path]:
			kept = append(kept, h)
		default:
			at := max(w.nowUs+w.rng.Int64N(200_000), w.lastArrivalUs[h.path]+1)
			w.lastArrivalUs[h.path] = at
			w.after(at-w.nowUs, h.do)
		}
	}
	w.heldMessages = kept
}

func (w *world) hosts() []string { return append(sortedKeys(w.nodes), sortedKeys(w.workers)...) }

func (w *world) zoneOf(host string) string {
	if n := w.nodes[host]; n != nil {
		return n.Zone
	}
	return w.workers[host].zone
}

// cutZone cuts a zone off from all others in both directions.
func (w *world) cutZone(zone string) {
	for _, a := range w.hosts() {
		for _, b := range w.hosts() {
			if (w.zoneOf(a) == zone) != (w.zoneOf(b) == zone) {
				w.cuts[[2]string{a, b}] = true
			}
		}
	}
}

func (w *world) cutHost(host string) {
	if w.workers[host] != nil {
		w.record(historycheck.Event{Kind: historycheck.WorkerUnreachable, Worker: host})
	}
	for _, b := range w.hosts() {
		if b != host {
			w.cuts[[2]string{host, b}], w.cuts[[2]string{b, host}] = true, true
		}
	}
}

func (w *world) heal() {
	w.cuts = map[[2]string]bool{}
	for _, name := range sortedKeys(w.workers) {
		w.record(historycheck.Event{Kind: historycheck.WorkerReachable, Worker: name})
	}
}

// holderOf returns the daemon that holds a role and is not frozen, or nil.
func (w *world) holderOf(role string) *simNode {
	for _, name := range sortedKeys(w.nodes) {
		if n := w.nodes[name]; n.up && w.nowUs >= n.frozenUntilUs && n.executor.node.leases.Holds(role) {
			return n
		}
	}
	return nil
}

// total sums a counter over all running daemons.
func (w *world) total(count string) int64 {
	sum := int64(0)
	for _, n := range w.sortedNodes() {
		if n.up {
			sum += n.executor.node.counts[count]
		}
	}
	return sum
}
