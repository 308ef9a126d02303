package daemon

import (
	"fmt"
	"reflect"
	"slices"

	"otterchute/internal/codec"
	"otterchute/internal/statestore"
	"otterchute/internal/storage"
	"otterchute/internal/wire"
)

// simNode is the machine of one daemon, with the daemon's process while it runs.
type simNode struct {
	nodeConfig
	w              *world
	executor       *executor
	process        int // number of the current process, raised by each start and kill
	up             bool
	frozenUntilUs  int64
	inbox          []func()
	bootUs         int64
	skewMs         int64
	disk           *simDisk
	pendingReplies map[uint64]func(int, int64, []byte)
	requestSeq     uint64
	incarnations   uint64
	removed        bool // the machine was removed for good
}

func (n *simNode) start() {
	if n.up || n.removed {
		return
	}
	if wait := n.disk.stalledUntilUs - n.w.nowUs; n.Disk && wait > 0 { // the log can't be read before the stall ends
		n.w.after(wait, n.start)
		return
	}
	n.up, n.frozenUntilUs, n.inbox = true, 0, nil
	n.process++
	n.incarnations++
	n.pendingReplies = map[uint64]func(int, int64, []byte){}
	n.bootUs = n.w.nowUs - 1_000_000 - n.w.rng.Int64N(3_000_000_000)
	p := n.nodeConfig
	p.Incarnation = n.incarnations<<32 | uint64(n.w.nowMs())&0xffffffff
	// Not drawn at random, so that the runs of existing seeds stay the same.
	p.Instance = addresseeID(fmt.Sprintf("%s life %d", n.Name, n.process))
	var st *statestore.Store
	if p.Disk {
		st = n.disk.load()
	}
	n.executor = &executor{node: newNode(p, st), ports: n}
	process := n.process
	var tick func()
	tick = func() {
		if n.process != process || !n.up {
			return
		}
		n.event(evTick{})
		n.w.after(tickMs*1000, tick)
	}
	tick()
}

// later runs do on this machine after us, or once the machine is no longer frozen, unless the
// process has ended meanwhile.
func (n *simNode) later(us int64, do func()) {
	process := n.process
	n.w.after(us, func() {
		if n.process == process && n.up {
			n.whenAwake(do)
		}
	})
}

// whenAwake runs do now, or at the end of a freeze.
func (n *simNode) whenAwake(do func()) {
	if n.w.nowUs < n.frozenUntilUs {
		n.inbox = append(n.inbox, do)
		return
	}
	do()
}

// freeze stops the process for ms; what it receives meanwhile is processed afterwards.
func (n *simNode) freeze(ms int64) {
	n.frozenUntilUs = n.w.nowUs + ms*1000
	process := n.process
	n.w.after(ms*1000+1, func() {
		if n.process != process || !n.up {
			return
		}
		queued := n.inbox
		n.inbox = nil
		for _, do := range queued {
			n.whenAwake(do)
		}
	})
}

func (n *simNode) steadyMs() int64 { return (n.w.nowUs - n.bootUs) / 1000 }

// event has the daemon process an event.
func (n *simNode) event(body any) {
	n.whenAwake(func() {
		if !n.up {
			return
		}
		n.executor.step(event{NowMs: n.steadyMs(), WallMs: wallStart + n.w.nowMs() + n.skewMs, Seed: n.w.rng.Uint64(), Body: body})
	})
}

// kill ends the process. A power loss also loses unsynced writes.
func (n *simNode) kill(power bool) {
	n.up = false
	n.process++
	n.disk.stop(power)
}

// wipe replaces the disk by an empty one.
func (n *simNode) wipe() {
	n.disk.entries, n.disk.synced = nil, 0
	n.disk.wipes++
	n.DiskID = n.w.rng.Uint64() | 1
}

func (n *simNode) Send(head wire.Header, to, addr string, msg any) {
	frame := wire.EncodeFrame(head, msg)
	n.w.digest.add(n.w.nowUs, n.Name, "send", nil, []byte(to), []byte(addr), frame)
	if n.w.largestFrame = max(n.w.largestFrame, len(frame)); len(frame) > wire.MaxFrame {
		return // the receiver would close the connection
	}
	n.w.messages[reflect.TypeOf(msg).Elem().Name()]++
	target := n.w.nodes[to]
	if target == nil || target.Addr != addr {
		target = nil
		for _, name := range sortedKeys(n.w.nodes) {
			if n.w.nodes[name].Addr == addr {
				target = n.w.nodes[name]
			}
		}
	}
	if n.w.onSend != nil {
		n.w.onSend(n.Name, to, msg, len(frame))
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
		n.w.addTrace(h.From, target.Name, h.Kind, len(frame))
		target.event(evMsg{Head: h, Msg: m})
	}
	if n.w.extraDelayUs != nil {
		if us := n.w.extraDelayUs(n.Name, target.Name, msg); us > 0 {
			n.w.after(us, arrive)
			return
		}
	}
	n.w.deliver(n.Name, target.Name, arrive)
}

func (n *simNode) Append(entries []statestore.Entry, done func()) { n.disk.append(n, entries, done) }

func (n *simNode) Snapshot(entries []statestore.Entry) { n.disk.snapshot(n, entries) }

func (n *simNode) Wipe(id uint64) {
	n.w.digest.add(n.w.nowUs, n.Name, "wipe", []int64{int64(id)})
	n.wipe()
	n.DiskID = id
}

func (n *simNode) Exit() {
	n.w.digest.add(n.w.nowUs, n.Name, "exit", nil)
	n.kill(false)
}

func (n *simNode) Reply(e effReply) {
	n.w.digest.add(n.w.nowUs, n.Name, "reply", []int64{int64(e.ID), int64(e.Status), e.RetryMs}, e.Body)
	if cb := n.pendingReplies[e.ID]; cb != nil {
		delete(n.pendingReplies, e.ID)
		cb(e.Status, e.RetryMs, e.Body)
	}
}

func (n *simNode) Log(event string, pairs []any) {
	n.w.addTrace(n.Name, event, fmt.Sprint(pairs...))
	if n.w.keepLogs {
		n.w.logs = append(n.w.logs, fmt.Sprintf("%d %s %s %v", n.w.nowMs(), n.Name, event, pairs))
	}
}

// Order delivers an order to a worker. As in the product, the deadline is checked again just
// before the order is sent.
func (n *simNode) Order(e effOrder) {
	n.w.digest.add(n.w.nowUs, n.Name, "order", []int64{e.NotAfterMs, boolToInt(e.Stop)}, []byte(e.Worker), []byte(e.Addr), codec.Append(nil, e.Key), e.Body)
	if n.w.freezesBeforeOrder > 0 && !e.Stop {
		n.w.freezesBeforeOrder--
		n.freeze(9000) // between the check and the send
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
		n.w.deliver(n.Name, sw.name, func() {
			if n.w.nowUs-leftUs > orderTimeoutMs*1000 {
				return // the connection was closed before, and unread bytes with it
			}
			outcome := sw.execute(e)
			n.w.deliver(sw.name, n.Name, func() {
				if !answered {
					answered = true
					result(outcome)
				}
			})
		})
		n.later(orderTimeoutMs*1000, func() {
			if !answered {
				answered = true
				result("unknown")
			}
		})
	})
}

// simDisk simulates the log of disk.go. A batch is written and synced before the next one
// begins; entries behind it are in memory only. A power loss keeps any prefix of the batch in
// progress. After a failed write all callbacks wait until a retry succeeds.
type simDisk struct {
	w              *world
	host           string
	entries        [][]byte
	synced         int
	syncing        bool
	batchEnd       int // end of the batch in progress, as an index that also counts snapshotOffset
	callbacks      []func()
	wipes          int
	snapshotOffset int // entries replaced by snapshots, minus the entries of those snapshots
	full           bool
	failed         bool  // a write failed and is being retried
	stalledUntilUs int64 // the disk completes nothing before this time
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
	d.syncing, d.callbacks, d.failed = false, nil, false
	return st
}

func (d *simDisk) append(n *simNode, entries []statestore.Entry, done func()) {
	for _, e := range entries {
		d.entries = append(d.entries, codec.Append(nil, e))
		n.w.digest.add(n.w.nowUs, n.Name, "append", nil, d.entries[len(d.entries)-1])
	}
	d.callbacks = append(d.callbacks, done)
	if len(entries) == 0 && !d.syncing && !d.failed && d.synced == len(d.entries) {
		d.runCallbacks(len(d.callbacks))
		return
	}
	d.sync(n)
}

func (d *simDisk) sync(n *simNode) {
	if d.syncing || d.failed || len(d.callbacks) == 0 {
		return
	}
	d.syncing = true
	d.batchEnd = d.snapshotOffset + len(d.entries)
	calls := len(d.callbacks)
	if d.full {
		n.later(100, func() { d.fail(n, errDiskFull) })
		return
	}
	n.later(500+d.w.extraSyncUs[d.host]+d.w.rng.Int64N(1500), func() { d.syncEnded(n, calls) })
}

func (d *simDisk) syncEnded(n *simNode, calls int) {
	if wait := d.stalledUntilUs - d.w.nowUs; wait > 0 {
		n.later(wait, func() { d.syncEnded(n, calls) })
		return
	}
	if d.full {
		d.fail(n, errDiskFull)
		return
	}
	d.syncing = false
	d.synced = max(d.synced, min(d.batchEnd-d.snapshotOffset, len(d.entries)))
	d.runCallbacks(calls)
	d.sync(n)
}

// fail reports the failure to the daemon; all waiting callbacks wait for a successful retry.
func (d *simDisk) fail(n *simNode, reason string) {
	d.failed, d.syncing = true, false
	n.event(evDisk{Failed: reason})
	n.later(storage.MinRetryDelay.Microseconds(), func() { d.retry(n, 2*storage.MinRetryDelay.Milliseconds()) })
}

// retry tries a failed disk again with the backoff of diskrecovery.go.
func (d *simDisk) retry(n *simNode, nextMs int64) {
	if d.full || d.stalledUntilUs > d.w.nowUs {
		n.later(nextMs*1000, func() { d.retry(n, min(2*nextMs, storage.MaxRetryDelay.Milliseconds())) })
		return
	}
	d.failed, d.synced = false, len(d.entries)
	d.runCallbacks(len(d.callbacks))
	n.event(evDisk{Recovered: true})
}

func (d *simDisk) runCallbacks(calls int) {
	ready := d.callbacks[:calls]
	d.callbacks = slices.Clone(d.callbacks[calls:])
	for _, done := range ready {
		done()
	}
}

func (d *simDisk) snapshot(n *simNode, entries []statestore.Entry) {
	at := d.snapshotOffset + len(d.entries)
	var dump [][]byte
	for _, e := range entries {
		dump = append(dump, codec.Append(nil, e))
		n.w.digest.add(n.w.nowUs, n.Name, "snapshot", nil, dump[len(dump)-1])
	}
	wipes := d.wipes
	n.later(20_000, func() {
		if d.wipes != wipes {
			return // the disk was wiped meanwhile
		}
		if d.full || d.failed || d.stalledUntilUs > d.w.nowUs {
			return // the snapshot failed; the log still holds all entries
		}
		old := at - d.snapshotOffset // another snapshot may have been completed meanwhile
		d.entries = append(dump, d.entries[old:]...)
		d.synced = max(len(dump), d.synced-old+len(dump))
		d.snapshotOffset = at - len(dump)
	})
}

// plant puts synced entries on the disk that the daemon did not write.
func (d *simDisk) plant(entries ...statestore.Entry) {
	for _, e := range entries {
		d.entries = append(d.entries, codec.Append(nil, e))
	}
	d.synced = len(d.entries)
}

// written returns the number of entries that were handed to the operating system.
func (d *simDisk) written() int {
	if d.syncing || d.failed {
		return max(d.synced, min(d.batchEnd-d.snapshotOffset, len(d.entries)))
	}
	return d.synced
}

// tearBatch keeps any prefix of the entries that were written and not synced.
func (d *simDisk) tearBatch() {
	kept := d.written()
	if kept > d.synced {
		kept = d.synced + d.w.rng.IntN(kept-d.synced+1)
	}
	d.entries = d.entries[:kept]
}

// stop ends the process that writes here. Entries not yet written are lost; a power loss also
// loses any suffix of those not yet synced.
func (d *simDisk) stop(power bool) {
	if power || d.failed {
		d.tearBatch()
	}
	d.entries = d.entries[:min(len(d.entries), d.written())]
	d.synced = len(d.entries)
	d.syncing, d.callbacks, d.failed = false, nil, false
}
