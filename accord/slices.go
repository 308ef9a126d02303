package main

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
)

// slice is a part of the jobs, owned by one daemon at a time. The owner alone
// says what is true of each of its jobs and tasks.
type slice struct {
	name     string
	epoch    uint64
	serving  bool
	startMs  int64
	sealed   map[string]map[string]record // core member -> its live records
	sealSent int64
	doubts   map[string]map[string]bool // member -> records it is asked for one by one
	doubtOp  map[uint64]string
	best     map[string]record
	served   uint64          // the last owner that had all live jobs committed under its epoch
	loading  map[string]bool // loaded jobs not committed under this epoch yet
	wholeAt  uint64          // the batch that tells the core that none is left; 0 before

	jobs     map[string]*jobState
	finished map[string]*job
	order    []string // of finished, oldest first
	dirty    map[string]bool
	writeSeq uint64
	writes   map[uint64]*writeBatch
	lag      map[string]map[string]bool // member -> records it has not acknowledged
	fetches  map[uint64]*fetchOp
	entering map[string]*fetchOp
	lateMs   map[string]int64 // when the record of a job was last read for a late end
	absent   map[string]bool  // jobs that late ends speak of and the core doesn't know any more
	liveBy   map[string]int
	bytes    int                            // of all live jobs' records
	placed   map[string]map[placedAt]amount // worker -> tasks placed there, and their room
	load     map[string]amount              // worker -> room of those
	settled  []string                       // finished at a majority, not yet told to the members
	toldMs   int64
	wants    int // asks for firm places sent in this tick

	batchAt      int64 // when batches are planned anew
	batchVersion int64 // the setup that they were planned by
	batchStarts  int   // in this tick
	batchTries   int   // and tasks looked at
	batchLoads   map[queueAt]amount
	starvedMs    int64 // when a task that is no batch's last found no place
}

// placedAt names a task of a slice.
type placedAt struct {
	job  string
	task int64
}

// note keeps the index of tasks by worker in line with a task's state. Rounds
// that are over shift positions, so tasks go by their names.
func (sl *slice) note(js *jobState, i int) {
	t := &js.Tasks[i]
	at := placedAt{js.ID, js.taskID(i)}
	if room, was := sl.placed[t.Worker][at]; was {
		delete(sl.placed[t.Worker], at)
		sl.load[t.Worker] = sl.load[t.Worker].minus(room)
	}
	if t.State == taskPlaced {
		if sl.placed[t.Worker] == nil {
			sl.placed[t.Worker] = map[placedAt]amount{}
		}
		sl.placed[t.Worker][at] = t.Room
		sl.load[t.Worker] = sl.load[t.Worker].plus(t.Room)
	}
	if len(sl.placed[t.Worker]) == 0 {
		delete(sl.placed, t.Worker)
		delete(sl.load, t.Worker)
	}
}

// placedOn gives the tasks placed at a worker, in order.
func (sl *slice) placedOn(worker string) []placedAt {
	out := make([]placedAt, 0, len(sl.placed[worker]))
	for p := range sl.placed[worker] {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b placedAt) int { return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task)) })
	return out
}

type jobState struct {
	job
	committed int64
	bytes     int // of its record when it entered
	waiters   []waiter
	run       []taskState
	batch     *batchPlan // of a batch, once it is planned
}

// taskState is what an owner need not keep across a takeover.
type taskState struct {
	retryMs   int64
	wantMs    int64
	sentMs    int64
	echoMs    int64 // the agent's clock that the last placement carried
	abandonMs int64
	state     int8 // as the agent last told
	saved     string
	abort     bool  // of a gang that is begun anew
	runMs     int64 // since when it is told to run
}

type waiter struct {
	version int64
	ask     *ask
	status  int
}

type writeBatch struct {
	records []record
	settled []string
	acked   map[string]bool
	done    bool
	sentMs  int64
}

type fetchOp struct {
	id      string
	job     *job
	asks    []*ask
	got     map[string]bool
	best    record
	startMs int64
}

type estimate struct {
	meanMs float64
	usedMs int64 // when a run last ended here; 0 where others told it
	told   bool
}

// workerView is what this daemon was last told of a worker by its agent.
type workerView struct {
	agent    string
	epoch    uint64
	echoMs   int64
	heardMs  int64
	site     string
	labels   []label
	leaving  bool
	rebuilt  bool
	fresh    bool
	free     amount
	capacity amount
	others   map[string]amount      // slice -> room there of what isn't this slice's
	batch    map[string][]queueRoom // slice -> of that, the batches'
	waiting  int64                  // unstarted tasks that are no batch's
	low      lowRoom                // the least room lately that batches didn't have to leave
	rack     string
	suspect  bool
	pinned   bool
	queued   int64
	rankMs   int64
	silentMs int64
}

var jobOps map[string]func(*node, *slice, *ask)

func init() {
	jobOps = map[string]func(*node, *slice, *ask){"job.put": (*node).putJob, "job.get": (*node).getJob,
		"job.cancel": (*node).cancelJob, "job.state": (*node).tellState, "worker.lost": (*node).loseWorker}
}

func (n *node) startSlice(d *duty) {
	name := strings.TrimPrefix(d.name, "slice/")
	n.owned[name] = &slice{name: name, epoch: d.epoch, startMs: n.now, sealed: map[string]map[string]record{}, doubts: map[string]map[string]bool{},
		doubtOp: map[uint64]string{}, best: map[string]record{}, jobs: map[string]*jobState{}, finished: map[string]*job{}, dirty: map[string]bool{}, loading: map[string]bool{},
		writes: map[uint64]*writeBatch{}, lag: map[string]map[string]bool{}, fetches: map[uint64]*fetchOp{}, entering: map[string]*fetchOp{}, absent: map[string]bool{}, lateMs: map[string]int64{}, liveBy: map[string]int{}, placed: map[string]map[placedAt]amount{}, load: map[string]amount{}}
	n.sendSeals(n.owned[name])
}

// endSlice lets go of a slice. Who waits here for a commit is told at once that the
// outcome is unknown, and who waits for a look at the core that nothing was kept.
func (n *node) endSlice(name string) {
	sl := n.owned[name]
	if sl == nil {
		return
	}
	delete(n.owned, name)
	for _, id := range sorted(sl.jobs) {
		for _, w := range sl.jobs[id].waiters {
			w.ask.unsure = true
			n.bounce(w.ask, "the slice moved while this was written down")
		}
	}
	for _, op := range sorted(sl.fetches) {
		for _, a := range sl.fetches[op].asks {
			n.giveUpOn(a, "the slice moved")
		}
	}
}

func (n *node) sendSeals(sl *slice) {
	sl.sealSent = n.now
	for _, m := range n.core.Members {
		if sl.sealed[m.Name] == nil {
			n.send(m.Name, &sealMsg{CoreVer: n.core.Version, Slice: sl.name, Epoch: sl.epoch})
		}
	}
}

// onSealed merges what a majority holds of records that are live, or finished
// without a majority known to hold that: those are finished again here. A record live at one member
// and absent among another's live ones may have finished there: it is asked
// for by name before the slice is served.
func (n *node) onSealed(from string, m *sealedMsg) {
	sl := n.owned[m.Slice]
	if sl == nil || m.Epoch != sl.epoch || sl.serving || sl.sealed[from] != nil || len(sl.doubts) > 0 {
		return
	}
	if !m.OK {
		if d := n.duties["slice/"+m.Slice]; d != nil {
			n.dropDuty(d, "sealed_higher")
		}
		return
	}
	sl.served = max(sl.served, m.Served)
	recs := map[string]record{}
	for _, r := range m.Records {
		recs[r.ID] = r
		if old, ok := sl.best[r.ID]; !ok || older(old, r) {
			sl.best[r.ID] = r
		}
	}
	sl.sealed[from] = recs
	if len(sl.sealed) < n.core.majority() {
		return
	}
	for id, r := range sl.best {
		if r.Live && r.Epoch < sl.served { // of a member that was away: ended since, or never accepted
			delete(sl.best, id)
		}
	}
	for _, member := range sorted(sl.sealed) {
		var ids []string
		for _, id := range sorted(sl.best) {
			if _, ok := sl.sealed[member][id]; !ok {
				ids = append(ids, id)
			}
		}
		if len(ids) > 0 {
			n.opSeq++
			sl.doubts[member] = map[string]bool{}
			sl.doubtOp[n.opSeq] = member
			n.send(member, &fetchMsg{CoreVer: n.core.Version, Op: n.opSeq, Slice: sl.name, IDs: ids})
		}
	}
	if len(sl.doubts) == 0 {
		n.loadSlice(sl)
	}
}

// loadSlice writes what was merged back under the own epoch; the slice is
// served once a majority holds that.
func (n *node) loadSlice(sl *slice) {
	for _, id := range sorted(sl.best) {
		r := sl.best[id]
		j, ok := jobOf(r)
		if !ok {
			n.log("record_unreadable", "slice", sl.name, "job", id)
			continue
		}
		js := &jobState{job: *j, bytes: len(r.Value)}
		sl.bytes += js.bytes
		js.run = make([]taskState, len(js.Tasks))
		sl.jobs[id] = js
		for i := range js.Tasks {
			sl.note(js, i)
		}
		sl.liveBy[js.Queue]++
		sl.dirty[id], sl.loading[id] = true, true
	}
	sl.best, sl.sealed = nil, map[string]map[string]record{}
	sl.serving = true // nothing is confirmed or placed before its record is committed
	n.log("slice_served", "slice", sl.name, "epoch", sl.epoch, "jobs", len(sl.jobs))
}

func (n *node) touch(sl *slice, js *jobState) {
	if !sl.dirty[js.ID] {
		js.Version++
	}
	sl.dirty[js.ID] = true
}

// flushWrites sends what one event changed as one batch to all of the core.
func (n *node) flushWrites() {
	for _, name := range sorted(n.owned) {
		sl := n.owned[name]
		whole := sl.serving && len(sl.loading) == 0 && sl.wholeAt == 0
		if len(sl.dirty) == 0 && !whole && (len(sl.settled) == 0 || n.now-sl.toldMs < writeRetry) {
			continue
		}
		b := &writeBatch{acked: map[string]bool{}, sentMs: n.now, settled: sl.settled}
		sl.settled, sl.toldMs = nil, n.now
		for _, id := range sorted(sl.dirty) {
			js := sl.jobs[id]
			b.records = append(b.records, record{ID: id, Epoch: sl.epoch, Version: js.Version, Live: js.DoneMs == 0, DoneMs: js.DoneMs, Value: js.kept()})
		}
		sl.dirty = map[string]bool{}
		sl.writeSeq++
		sl.writes[sl.writeSeq] = b
		if whole {
			sl.wholeAt = sl.writeSeq
		}
		n.sendBatch(sl, sl.writeSeq, b)
	}
}

func (n *node) sendBatch(sl *slice, seq uint64, b *writeBatch) {
	for _, m := range n.core.Members {
		if !b.acked[m.Name] {
			n.count("record_writes")
			n.send(m.Name, &writeMsg{CoreVer: n.core.Version, Slice: sl.name, Epoch: sl.epoch, Seq: seq, Records: b.records, Settled: b.settled, Whole: sl.wholeAt != 0})
		}
	}
}

func (n *node) onWrote(from string, m *wroteMsg) {
	sl := n.owned[m.Slice]
	if sl == nil || m.Epoch != sl.epoch {
		return
	}
	b := sl.writes[m.Seq]
	if !m.OK {
		if d := n.duties["slice/"+m.Slice]; d != nil {
			n.dropDuty(d, "epoch_passed")
		}
		return
	}
	if b == nil {
		return
	}
	b.acked[from] = true
	if len(b.acked) >= n.core.majority() && !b.done {
		b.done = true
		n.count("commits")
		for _, r := range b.records {
			delete(sl.loading, r.ID)
			if !r.Live {
				sl.settled = append(sl.settled, r.ID)
			}
			if js := sl.jobs[r.ID]; js != nil {
				js.committed = max(js.committed, r.Version)
				n.advance(sl, js)
			}
		}
	}
	if len(b.acked) >= len(n.core.Members) {
		delete(sl.writes, m.Seq)
	}
}

func (n *node) tickSlices() {
	for _, name := range sorted(n.owned) {
		sl := n.owned[name]
		if !sl.serving {
			if n.now-sl.sealSent > writeRetry {
				if len(sl.doubts) > 0 { // a member went away between seal and fetch: begin again
					sl.doubts, sl.doubtOp, sl.sealed = map[string]map[string]bool{}, map[uint64]string{}, map[string]map[string]record{}
				}
				n.sendSeals(sl)
			}
			continue
		}
		n.tickWrites(sl)
		for _, op := range sorted(sl.fetches) {
			if f := sl.fetches[op]; n.now-f.startMs > handOverMs*2/3 {
				delete(sl.fetches, op)
				delete(sl.entering, f.id)
				for _, a := range f.asks {
					n.giveUpOn(a, "the core did not answer")
				}
			}
		}
		sl.wants = 0
		n.tickBatches(sl)
		for _, js := range n.inTurn(sl) {
			n.advance(sl, js)
		}
		cut := 0
		for cut < len(sl.order) && (len(sl.order)-cut > finishedMax || n.now-sl.finished[sl.order[cut]].Version > finishedMs) {
			delete(sl.finished, sl.order[cut])
			cut++
		}
		sl.order = sl.order[cut:]
	}
}

// inTurn gives a slice's live jobs, those of urgent queues first, then the oldest.
func (n *node) inTurn(sl *slice) []*jobState {
	type turn struct {
		urgency int64
		js      *jobState
	}
	list := make([]turn, 0, len(sl.jobs))
	for _, js := range sl.jobs {
		list = append(list, turn{n.setup.cur.urgencyOf(js.Queue), js})
	}
	slices.SortFunc(list, func(a, b turn) int {
		return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.js.SubmitMs, b.js.SubmitMs), cmp.Compare(a.js.ID, b.js.ID))
	})
	out := make([]*jobState, len(list))
	for i, t := range list {
		out[i] = t.js
	}
	return out
}

// tickWrites repeats unacknowledged writes. What a majority holds and one
// member lacks is remembered by name, so that a long-gone member costs little.
func (n *node) tickWrites(sl *slice) {
	for _, seq := range sorted(sl.writes) {
		b := sl.writes[seq]
		if n.now-b.sentMs < writeRetry {
			continue
		}
		b.sentMs = n.now
		if !b.done {
			n.sendBatch(sl, seq, b)
			continue
		}
		delete(sl.writes, seq)
		for _, m := range n.core.Members {
			if b.acked[m.Name] {
				continue
			}
			if sl.lag[m.Name] == nil {
				sl.lag[m.Name] = map[string]bool{}
			}
			for _, r := range b.records {
				if len(sl.lag[m.Name]) < finishedMax {
					sl.lag[m.Name][r.ID] = true
				}
			}
		}
	}
	if n.now%(2*writeRetry) >= tickMs {
		return
	}
	for _, m := range sorted(sl.lag) {
		if !n.live(m) || !slices.ContainsFunc(n.core.Members, func(c coreMember) bool { return c.Name == m }) {
			continue
		}
		w := &writeMsg{CoreVer: n.core.Version, Slice: sl.name, Epoch: sl.epoch}
		for _, id := range sorted(sl.lag[m]) {
			if len(w.Records) >= 500 {
				break
			}
			var j *job
			if sl.dirty[id] {
				continue // its next version is on its way
			}
			if js := sl.jobs[id]; js != nil {
				j = &js.job
			} else if j = sl.finished[id]; j == nil {
				delete(sl.lag[m], id)
				continue
			}
			v := j.Version
			if j.DoneMs != 0 && sl.jobs[id] == nil {
				v = 1 << 60 // a finished record never changes again
			}
			w.Records = append(w.Records, record{ID: id, Epoch: sl.epoch, Version: v, Live: j.DoneMs == 0, Settled: sl.jobs[id] == nil, DoneMs: j.DoneMs, Value: j.kept()})
			delete(sl.lag[m], id)
		}
		if len(w.Records) > 0 {
			n.send(m, w)
		}
	}
}

// fetchRecord reads one record at a majority: whoever calls goes on once it is known.
func (n *node) fetchRecord(sl *slice, f *fetchOp) {
	f.startMs, f.got = n.now, map[string]bool{}
	n.opSeq++
	sl.fetches[n.opSeq] = f
	for _, m := range n.core.Members {
		n.send(m.Name, &fetchMsg{CoreVer: n.core.Version, Op: n.opSeq, Slice: sl.name, IDs: []string{f.id}})
	}
}

func (n *node) onFetched(from string, m *fetchedMsg) {
	if r := n.reads[m.Op]; r != nil {
		n.onRead(r, m.Op, from, m.Records)
		return
	}
	for _, name := range sorted(n.owned) {
		sl := n.owned[name]
		if member, ok := sl.doubtOp[m.Op]; ok && member == from {
			for _, r := range m.Records {
				if old := sl.best[r.ID]; older(old, r) {
					sl.best[r.ID] = r
				}
			}
			delete(sl.doubtOp, m.Op)
			delete(sl.doubts, from)
			if len(sl.doubts) == 0 && !sl.serving {
				n.loadSlice(sl)
			}
			return
		}
		f := sl.fetches[m.Op]
		if f == nil || f.got[from] {
			continue
		}
		f.got[from] = true
		for _, r := range m.Records {
			if older(f.best, r) {
				f.best = r
			}
		}
		if len(f.got) < n.core.majority() {
			return
		}
		delete(sl.fetches, m.Op)
		delete(sl.entering, f.id)
		old, _ := jobOf(f.best)
		if f.best.Live { // all live jobs that count are here: a member that was away has it, or a write that was given up
			old = sl.finished[f.id]
		}
		n.fetched(sl, f, old)
		return
	}
}

func (n *node) fetched(sl *slice, f *fetchOp, old *job) {
	if !n.holds("slice/" + sl.name) {
		for _, a := range f.asks {
			n.giveUpOn(a, "the slice moved")
		}
		return
	}
	if js := sl.jobs[f.id]; js != nil { // it came in meanwhile
		old = nil
	}
	if old == nil && f.job != nil && sl.jobs[f.id] == nil {
		n.enterJob(sl, f)
		return
	}
	if len(f.asks) == 0 && sl.jobs[f.id] == nil { // read for the sake of a late end
		if old == nil {
			sl.absent[f.id] = true
		} else if sl.finished[f.id] == nil {
			old.Version = n.now
			sl.finished[f.id] = old
			sl.order = append(sl.order, f.id)
		}
		return
	}
	for _, a := range f.asks {
		switch {
		case sl.jobs[f.id] != nil:
			jobOps[a.op](n, sl, a)
		case old == nil:
			n.answerMissing(a)
		default:
			n.answerFinished(a, old)
		}
	}
}

func (n *node) answerFinished(a *ask, j *job) {
	switch {
	case a.op == "job.put":
		p, faults := parseJob(j.ID, a.queue, a.body)
		if len(faults) > 0 {
			n.answerFaults(a, 400, 0, faults)
		} else if !bytes.Equal(p.Digest, j.Digest) {
			n.answer(a, 409, 0, jsonOf(map[string]any{"error": "another job has this id"}))
		} else {
			n.answer(a, 200, 0, jsonOf(map[string]any{"id": j.ID, "state": jobNames[j.State]}))
		}
	case a.queue != "" && a.queue != j.Queue:
		n.answerMissing(a)
	case a.op == "job.state":
		n.answer(a, 200, 0, jsonOf(map[string]any{"state": jobNames[j.State]}))
	case a.op == "job.cancel" && j.State != jobCancelled:
		n.answer(a, 409, 0, jsonOf(map[string]any{"error": "the job has ended", "state": jobNames[j.State]}))
	default:
		n.answer(a, 200, 0, jsonOf(j.view(func(*task) string { return "" })))
	}
}

func (n *node) answerMissing(a *ask) {
	n.answer(a, 404, 0, jsonOf(map[string]any{"error": "no such job", "missing": "job"}))
}

func (n *node) putJob(sl *slice, a *ask) {
	if js := sl.jobs[a.key]; js != nil {
		p, faults := parseJob(a.key, a.queue, a.body)
		if len(faults) > 0 {
			n.answerFaults(a, 400, 0, faults)
		} else if !bytes.Equal(p.Digest, js.Digest) {
			n.answer(a, 409, 0, jsonOf(map[string]any{"error": "another job has this id"}))
		} else {
			n.whenCommitted(js, waiter{version: 1, ask: a, status: 200})
		}
		return
	}
	if j := sl.finished[a.key]; j != nil {
		n.answerFinished(a, j)
		return
	}
	if f := sl.entering[a.key]; f != nil {
		if len(f.asks) > 16 {
			a.unsure = true // the others may have it taken in
			n.bounce(a, "too many of the same ask")
			return
		}
		f.asks = append(f.asks, a)
		return
	}
	j, faults := parseJob(a.key, a.queue, a.body)
	if len(faults) > 0 {
		n.answerFaults(a, 400, 0, faults)
		return
	}
	if !n.setupFresh() {
		n.bounce(a, "the setup is not confirmed here")
		return
	}
	if n.setup.cur.Queues[j.Queue] == nil {
		if !n.setupConfirmedFor(a) && len(n.setup.unsure) < asksMax {
			// A version acknowledged just now may have it: ask the core first.
			n.setup.unsure = append(n.setup.unsure, a)
			n.poll.nextMs = 0
			return
		}
		if a.queue != "" { // whoever resolved its address had another setup: soon it has this one
			n.bounce(a, "the queue is not in the newest setup")
			return
		}
		n.answerFaults(a, 400, 0, []fault{{"queue", "is not in the setup"}})
		return
	}
	f := &fetchOp{id: a.key, job: j, asks: []*ask{a}}
	sl.entering[a.key] = f
	n.fetchRecord(sl, f)
}

// enterJob runs a new job through the rules of its queue and makes it durable.
func (n *node) enterJob(sl *slice, f *fetchOp) {
	j, a := f.job, f.asks[0]
	q := n.setup.cur.Queues[j.Queue]
	wall := n.poll.medianWall(n)
	if q == nil || wall == 0 || !n.setupFresh() {
		n.turnAway(f, func(a *ask) { n.bounce(a, "the setup or the core's time is not confirmed here") })
		return
	}
	size := len(j.kept())
	c := &askContext{job: j, queue: q, live: sl.liveBy[j.Queue], all: len(sl.jobs), bytes: sl.bytes + size, base: q.Urgency <= n.setup.cur.Lowest && len(n.setup.cur.Queues) > 1, batch: q.Batch != nil}
	if b := interpret(c); b != nil {
		n.count("jobs_bounced")
		n.turnAway(f, func(a *ask) { n.answerFaults(a, int(b.status), b.retryMs, b.faults) })
		return
	}
	j.SubmitMs = wall
	if j.DelayMs > 0 {
		j.DueMs = n.poll.latestWall(n) + j.DelayMs
	}
	js := &jobState{job: *j, run: make([]taskState, len(j.Tasks)), bytes: size}
	sl.jobs[j.ID] = js
	sl.bytes += size
	sl.liveBy[j.Queue]++
	n.count("jobs_entered")
	n.touch(sl, js)
	n.whenCommitted(js, waiter{version: 1, ask: a, status: 201})
	for _, other := range f.asks[1:] { // the same job again, or its state, or its end
		jobOps[other.op](n, sl, other)
	}
}

// turnAway answers all who wait for a new job that isn't taken: who hands it in
// is told why, and for the others there is no such job.
func (n *node) turnAway(f *fetchOp, tell func(*ask)) {
	for _, a := range f.asks {
		if a.op == "job.put" {
			tell(a)
		} else {
			n.answerMissing(a)
		}
	}
}

func (n *node) whenCommitted(js *jobState, w waiter) {
	if len(js.waiters) > 64 {
		w.ask.unsure = true // it is done, but not yet durable
		n.bounce(w.ask, "too many of the same ask")
		return
	}
	js.waiters = append(js.waiters, w)
	n.answerWaiters(js)
}

func (n *node) answerWaiters(js *jobState) {
	kept := js.waiters[:0]
	for _, w := range js.waiters {
		if w.version > js.committed {
			kept = append(kept, w)
			continue
		}
		state := jobNames[js.State]
		if js.DoneMs == 0 && js.State > jobComplete {
			state = map[int8]string{jobFailed: "failing", jobCancelled: "cancelling"}[js.State]
		}
		if w.ask.op == "job.state" {
			state = js.brief()
		}
		n.answer(w.ask, w.status, 0, jsonOf(map[string]any{"id": js.ID, "state": state}))
	}
	js.waiters = kept
}

func (n *node) getJob(sl *slice, a *ask) {
	if js := sl.jobs[a.key]; js != nil && a.queue != "" && js.Queue != a.queue {
		n.answerMissing(a)
		return
	}
	if js := sl.jobs[a.key]; js != nil {
		if js.committed == 0 {
			n.whenCommitted(js, waiter{version: 1, ask: a, status: 200})
			return
		}
		n.answer(a, 200, 0, jsonOf(js.view(func(t *task) string { return n.whyWaits(js, t) })))
		return
	}
	if j := sl.finished[a.key]; j != nil {
		n.answerFinished(a, j)
		return
	}
	if f := sl.entering[a.key]; f != nil && len(f.asks) < 16 {
		f.asks = append(f.asks, a)
		return
	}
	n.fetchRecord(sl, &fetchOp{id: a.key, asks: []*ask{a}})
}

// tellState tells no more than a job's state, and one that stands only: what ended
// is told once a majority has it.
func (n *node) tellState(sl *slice, a *ask) {
	js := sl.jobs[a.key]
	if js == nil || a.queue != "" && js.Queue != a.queue {
		n.getJob(sl, a)
		return
	}
	version := int64(1)
	if js.DoneMs != 0 || js.State != jobRunning {
		version = js.Version
	}
	n.whenCommitted(js, waiter{version: version, ask: a, status: 200})
}

// brief is a job's state in one word: pending until a task of it was placed.
func (js *jobState) brief() string {
	if js.State != jobRunning {
		return jobNames[js.State]
	}
	for i := range js.Tasks {
		if t := &js.Tasks[i]; t.State == taskEnded || t.State == taskPlaced && js.run[i].state >= heldRunning {
			return jobNames[jobRunning]
		}
	}
	if js.Begun > 0 {
		return jobNames[jobRunning]
	}
	return "pending"
}

// waitingIn counts a queue's jobs here that wait for their first start.
func (n *node) waitingIn(queue string) (count int64) {
	for _, sl := range n.owned {
		for _, js := range sl.jobs {
			if js.Queue == queue && js.brief() == "pending" {
				count++
			}
		}
	}
	return count
}

// whyWaits tells an operator why a task has not started.
func (n *node) whyWaits(js *jobState, t *task) string {
	i := slices.IndexFunc(js.Tasks, func(x task) bool { return x.Round == t.Round && x.Step == t.Step && x.InStep == t.InStep })
	rt := &js.run[i]
	switch {
	case t.State == taskPlaced && rt.abandonMs != 0:
		return "its worker " + t.Worker + " is silent and the run unsettled; once it surely runs nothing: accord workers lost " + t.Worker
	case t.State == taskPlaced && rt.state == heldQueued:
		return "queued at its worker"
	case t.State != taskPending:
		return ""
	case js.dueOf(t.Round) > n.poll.medianWall(n):
		return "not due yet"
	case !js.readySteps(js.committed)[js.stepAt(t)]:
		return "steps before it have not all ended well"
	case n.now < rt.retryMs && (t.Failures > 0 || js.batch == nil):
		return "backing off after a failure"
	case n.setup.cur.Queues[js.Queue] == nil:
		return "its queue is not in the setup"
	}
	if why := n.whyNoWorker(js, t); why != "" {
		return why
	}
	if why := n.whyHeld(js, t); why != "" {
		return why
	}
	return "waiting for room"
}

// whyNoWorker says why no worker may have a task, however free: the reason of
// the worker that comes nearest.
func (n *node) whyNoWorker(js *jobState, t *task) string {
	reasons := []string{"", "all allowed workers are leaving or in emptied sites", "all allowed workers are silent",
		"no allowed worker has so much room", "no worker of its queue's group has the labels it needs"}
	q, best := n.setup.cur.Queues[js.Queue], len(reasons)-1
	for _, name := range sorted(n.workers) {
		w, at := n.workers[name], 0
		_, lack := lacks(w.labels, t.Needs)
		switch {
		case lack || !q.matches(w.labels, w.site):
			at = 4
		case !t.Room.fits(w.capacity):
			at = 3
		case n.now-w.heardMs > silentMs || w.silentMs > silentMs:
			at = 2
		case w.leaving || n.setup.cur.Empty[w.site]:
			at = 1
		}
		best = min(best, at)
	}
	return reasons[best]
}

func (n *node) cancelJob(sl *slice, a *ask) {
	js := sl.jobs[a.key]
	if js != nil && a.queue != "" && js.Queue != a.queue {
		n.answerMissing(a)
		return
	}
	if js == nil {
		if j := sl.finished[a.key]; j != nil {
			n.answerFinished(a, j)
		} else if f := sl.entering[a.key]; f != nil {
			f.asks = append(f.asks, a)
		} else {
			n.fetchRecord(sl, &fetchOp{id: a.key, asks: []*ask{a}})
		}
		return
	}
	if js.DoneMs != 0 && js.State != jobCancelled || js.State == jobFailed {
		n.answer(a, 409, 0, jsonOf(map[string]any{"error": "the job has ended", "state": jobNames[js.State]}))
		return
	}
	if js.State == jobRunning {
		js.State = jobCancelled
		n.log("job_cancelled", "job", js.ID, "slice", sl.name, "epoch", sl.epoch)
		n.giveUp(sl, js)
	}
	n.whenCommitted(js, waiter{version: js.Version, ask: a, status: 200})
}

// giveUp ends all tasks of a job that are not placed, and has the placed ones dropped.
func (n *node) giveUp(sl *slice, js *jobState) {
	n.touch(sl, js)
	for i := range js.Tasks {
		t := &js.Tasks[i]
		if t.State == taskPending {
			t.State, t.SetVer = taskCancelled, js.Version
		}
		if t.State == taskPlaced {
			if w := n.workers[t.Worker]; w != nil && w.epoch == t.AgentEpoch {
				n.send(w.agent, &syncAck{Worker: t.Worker, Epoch: w.epoch, Slice: sl.name, SliceEpoch: sl.epoch,
					Verdicts: []verdictView{{Key: attemptKey{js.ID, js.taskID(i), t.Attempt}, Verdict: verdictDrop}}})
			}
		}
	}
}

// loseWorker is an operator's word that a worker is gone for good.
func (n *node) loseWorker(sl *slice, a *ask) {
	_, worker, _ := strings.Cut(a.key, "/")
	if w := n.workers[worker]; w != nil && n.now-w.heardMs < silentMs && w.fresh {
		n.answer(a, 409, 0, jsonOf(map[string]any{"error": "the worker is heard from; it can't be declared lost"}))
		return
	}
	lost := 0
	for _, at := range sl.placedOn(worker) {
		if js := sl.jobs[at.job]; js != nil {
			if i, _, ok := js.position(at.task); ok {
				n.settle(sl, js, i, resultLost, 0)
				lost++
			}
		}
	}
	n.log("worker_declared_lost", "worker", worker, "slice", sl.name, "tasks", lost)
	n.answer(a, 200, 0, jsonOf(map[string]any{"slice": sl.name, "tasks": lost}))
}

// advance does whatever a job's committed state now allows.
func (n *node) advance(sl *slice, js *jobState) {
	n.answerWaiters(js)
	if js.committed == 0 || !n.holds("slice/"+sl.name) {
		return
	}
	if js.DoneMs != 0 {
		if js.committed >= js.Version && !sl.dirty[js.ID] && len(js.waiters) == 0 {
			n.retire(sl, js)
		}
		return
	}
	if state, ended := js.verdict(); ended {
		wall := n.poll.medianWall(n)
		if wall == 0 {
			return // how long the job is kept counts from its end: that waits for the fleet's time
		}
		n.touch(sl, js)
		js.State, js.DoneMs = state, wall
		n.count("jobs_" + jobNames[state])
		n.batchEnded(js)
		return
	}
	n.turnRounds(sl, js)
	wall := n.poll.medianWall(n)
	q := n.setup.cur.Queues[js.Queue]
	outstanding, batch := 0, n.batchOf(&js.job) != nil
	for i := range js.Tasks {
		if t := &js.Tasks[i]; t.State == taskPlaced && t.Class == classQueueable {
			outstanding++
		}
	}
	var ready []bool
	for i := range js.Tasks {
		t, rt := &js.Tasks[i], &js.run[i]
		switch {
		case t.State == taskPlaced:
			n.tendPlaced(sl, js, i, rt)
		case t.State == taskPending && js.State == jobRunning && wall != 0 && q != nil && n.now >= rt.retryMs && n.setupFresh():
			if due := js.dueOf(t.Round); due != 0 && wall < due+dueMarginMs {
				continue
			}
			if batch && !n.batchMayStart(js, t, wall) {
				continue
			}
			if ready == nil {
				ready = js.readySteps(js.committed)
			}
			if !ready[js.stepAt(t)] || t.SetVer > js.committed {
				continue
			}
			if n.classify(js, t) == classQueueable {
				if int64(outstanding) >= q.Quota {
					continue
				}
				w := ""
				if batch {
					w = n.selectBatchWorker(sl, js, i)
				} else if w = n.selectWorker(sl, js, i); w == "" {
					sl.starvedMs = n.now
				}
				if w != "" {
					n.placeTask(sl, js, i, w, classQueueable)
					outstanding++
				}
			} else if n.now-rt.wantMs >= wantMs && sl.wants < wantsTick {
				if rt.wantMs != 0 { // not the first time
					sl.starvedMs = n.now
				}
				sl.wants++
				n.sendWant(sl, js, i)
			}
		}
	}
}

// turnRounds opens the rounds that are due soon, and lets go of those that are over.
func (n *node) turnRounds(sl *slice, js *jobState) {
	wall := n.poll.medianWall(n)
	if js.Rounds == 0 || js.State != jobRunning || wall == 0 {
		return
	}
	if begun := js.Begun; js.closeRounds(js.committed) {
		js.run = js.run[int(js.Begun-begun)*int(js.roundSize()):]
		n.touch(sl, js)
	}
	for js.Opened < js.Rounds && wall >= js.dueOf(js.Opened)-openAheadMs && len(js.Tasks)+int(js.roundSize()) <= roundTasksMax {
		js.openRound()
		for range js.roundSize() {
			js.run = append(js.run, taskState{})
		}
		n.touch(sl, js)
		for i := len(js.Tasks) - int(js.roundSize()); i < len(js.Tasks); i++ {
			js.Tasks[i].SetVer = js.Version
		}
	}
}

func (n *node) retire(sl *slice, js *jobState) {
	delete(sl.jobs, js.ID)
	sl.bytes -= js.bytes
	sl.liveBy[js.Queue]--
	if sl.liveBy[js.Queue] <= 0 {
		delete(sl.liveBy, js.Queue)
	}
	j := js.job
	j.Version = n.now // reused as the time it was put here
	sl.finished[j.ID] = &j
	sl.order = append(sl.order, j.ID)
}

// tendPlaced sends a committed placement, and settles one whose worker stayed
// silent past a trusted contract.
func (n *node) tendPlaced(sl *slice, js *jobState, i int, rt *taskState) {
	t := &js.Tasks[i]
	w := n.workers[t.Worker]
	if t.SetVer <= js.committed && rt.sentMs == 0 && js.State == jobRunning {
		n.sendPlace(sl, js, i)
	}
	if w == nil || w.pinned {
		n.tendPinned(sl, js, i, rt, w)
	}
	silent := w == nil && n.now-sl.startMs > silentMs || w != nil && (n.now-w.heardMs > silentMs || w.silentMs > silentMs)
	if !silent {
		rt.abandonMs = 0
		return
	}
	if rt.abandonMs == 0 {
		rt.abandonMs = n.now
	}
	if q := n.setup.cur.Queues[js.Queue]; q != nil && q.TrustLimit && n.setupFresh() && n.now-rt.abandonMs > contactMs+flightMs+t.LimitMs+limitMargin {
		n.count("contract_settled")
		n.settle(sl, js, i, resultLost, 0)
	}
}

// tendPinned settles a task whose worker's agent has been silent for longer than
// it may hold anything without an owner's word, and begins a gang anew that did
// not come together.
func (n *node) tendPinned(sl *slice, js *jobState, i int, rt *taskState, w *workerView) {
	t := &js.Tasks[i]
	heardMs := sl.startMs
	if w != nil {
		heardMs = max(heardMs, w.heardMs)
	}
	if (w != nil || n.allPinned()) && t.SetVer <= js.committed && n.now-heardMs > ownerSpanMs*(100+driftPercent)/100+lapseMarginMs && n.now-n.wokeMs > frozenMs {
		n.count("lapses_settled")
		js.GaveUp = append(js.GaveUp, gaveUp{js.taskID(i), t.Attempt})
		n.settle(sl, js, i, resultLost, 0)
		return
	}
	if !js.Steps[t.Step].Gang || rt.abort || t.InStep != 0 {
		return
	}
	from, to := js.mates(i)
	first, whole := int64(0), true
	for k := from; k < to; k++ {
		if r := &js.run[k]; r.runMs != 0 && (first == 0 || r.runMs < first) {
			first = r.runMs
		}
		whole = whole && js.run[k].runMs != 0
	}
	if !whole && first != 0 && n.now-first > gangSlackMs {
		n.count("gangs_begun_anew")
		for k := from; k < to; k++ {
			js.run[k].abort = true
		}
	}
}

// allPinned tells whether every worker heard of has its agent beside it.
func (n *node) allPinned() bool {
	for _, w := range n.workers {
		if !w.pinned {
			return false
		}
	}
	return len(n.workers) > 0
}

// gangWhole tells whether all of a task's gang is placed in one run.
func (js *jobState) gangWhole(i int) bool {
	from, to := js.mates(i)
	for k := from; k < to; k++ {
		if js.Tasks[k].State != taskPlaced || js.Tasks[k].Attempt != js.Tasks[i].Attempt || js.run[k].abort {
			return false
		}
	}
	return true
}

// classify is the paper's hybrid-GQ rule: a task known to be short may wait
// or be stopped, all others get a firm place.
func (n *node) classify(js *jobState, t *task) int8 {
	if n.ThresholdMs < 0 || n.batchOf(&js.job) != nil { // only-queueable, for comparisons
		return classQueueable
	}
	if js.Steps[t.Step].Gang || js.Steps[t.Step].Lasting || t.Preempts >= preemptMax {
		return classGuaranteed
	}
	if js.Steps[t.Step].Alike && t.HintMs > 0 { // a guess, corrected by how guesses of its queue turned out
		if n.estimateMs(js, t) >= n.ThresholdMs {
			return classGuaranteed
		}
		return classQueueable
	}
	e := n.learned[js.Queue+"/"+t.Name]
	if e == nil || int64(e.meanMs) >= n.ThresholdMs {
		return classGuaranteed
	}
	return classQueueable
}

func (n *node) estimateMs(js *jobState, t *task) int64 {
	if js.Steps[t.Step].Alike && t.HintMs > 0 {
		percent := 100.0
		if e := n.learned[js.Queue+"/%"]; e != nil {
			percent = e.meanMs
		}
		return max(int64(float64(t.HintMs)*percent/100), 1)
	}
	if e := n.learned[js.Queue+"/"+t.Name]; e != nil {
		return int64(e.meanMs)
	}
	if t.HintMs > 0 {
		return t.HintMs
	}
	return min(5000, t.LimitMs) // nothing known yet
}

// learnRun takes one run's time: into its name's mean, or into how far the guesses
// of its queue are off, in percent.
func (n *node) learnRun(js *jobState, t *task, ranMs int64) {
	if ranMs <= 0 {
		return // nobody saw how long it took
	}
	if js.Steps[t.Step].Alike && t.HintMs > 0 {
		n.learn(js.Queue, "%", min(100*ranMs/t.HintMs, 1000))
		return
	}
	n.learn(js.Queue, t.Name, ranMs)
}

// learn takes one run's time into the mean of its queue's task name.
func (n *node) learn(queue, name string, ranMs int64) {
	e := n.estimateOf(queue+"/"+name, float64(ranMs))
	e.meanMs += 0.2 * (float64(ranMs) - e.meanMs) // an even memory of about the last ten runs
	e.usedMs, e.told = n.now, false
}

// estimateOf gives an estimate, made with a first mean where there is none; the
// longest unused one makes room.
func (n *node) estimateOf(key string, meanMs float64) *estimate {
	e := n.learned[key]
	if e == nil {
		if len(n.learned) >= learnedMax {
			oldest, usedMs := "", int64(0)
			for k, o := range n.learned {
				if oldest == "" || o.usedMs < usedMs || o.usedMs == usedMs && k < oldest {
					oldest, usedMs = k, o.usedMs
				}
			}
			delete(n.learned, oldest)
		}
		e = &estimate{meanMs: meanMs}
		n.learned[key] = e
	}
	return e
}

// tickLearned tells all daemons what this one learned since the last round, so
// that estimates outlive their owner: whoever takes a slice has them.
func (n *node) tickLearned() {
	if n.now < n.learnedAt || len(n.owned) == 0 {
		return
	}
	n.learnedAt = n.now + rankMs
	m := &learnedMsg{}
	for _, key := range sorted(n.learned) {
		if e := n.learned[key]; !e.told && len(m.Means) < learnedTell {
			e.told = true
			m.Means = append(m.Means, meanView{key, e.meanMs})
		}
	}
	if len(m.Means) == 0 {
		return
	}
	for _, name := range n.liveNames() {
		if name != n.Name {
			n.send(name, m)
		}
	}
}

func (n *node) onLearned(_ string, m *learnedMsg) {
	for _, v := range m.Means {
		if e := n.estimateOf(v.Key, v.MeanMs); n.now-e.usedMs > rankStaleMs { // what was seen here itself lately counts more
			e.meanMs, e.told = v.MeanMs, true
		}
	}
}

// allowed tells whether a task may go to a worker now, as far as is known here.
func (n *node) allowed(w *workerView, q *queueRules, needs []label, room amount) bool {
	_, lack := lacks(w.labels, needs)
	return n.now-w.heardMs < contactMs && w.rebuilt && w.fresh && !w.leaving && !n.setup.cur.Empty[w.site] &&
		room.fits(w.capacity) && !lack && q.matches(w.labels, w.site)
}

// freeAt is the room of a worker that nothing known here takes: what its agent
// holds for other slices, and all that this slice has placed there.
func (n *node) freeAt(sl *slice, name string, w *workerView) amount {
	return w.capacity.minus(w.others[sl.name]).minus(sl.load[name])
}

// usedBy counts the tasks of a task's step and round by worker.
func (js *jobState) usedBy(i int) map[string]int32 {
	used := map[string]int32{}
	from, to := js.mates(i)
	for k := from; k < to; k++ {
		if js.Tasks[k].State == taskPlaced {
			used[js.Tasks[k].Worker]++
		}
	}
	return used
}

// selectWorker is the local scheduler: at random among the k allowed workers
// of lowest rank. Those with room now go before those where it would wait, and
// among them those near its data.
func (n *node) selectWorker(sl *slice, js *jobState, i int) string {
	t := &js.Tasks[i]
	st := &js.Steps[t.Step]
	q := n.setup.cur.Queues[js.Queue]
	var used map[string]int32
	if st.PerWorker > 0 {
		used = js.usedBy(i)
	}
	type ranked struct {
		name string
		rank int64
		w    *workerView
	}
	var list []ranked
	for _, name := range sorted(n.workers) {
		w := n.workers[name]
		if n.allowed(w, q, t.Needs, t.Room) && (st.PerWorker == 0 || used[name] < st.PerWorker) {
			list = append(list, ranked{name, n.ranks.of(n, name), w})
		}
	}
	pinned := slices.ContainsFunc(list, func(r ranked) bool { return r.w.pinned })
	for _, shun := range []func(ranked) bool{ // as long as others are left
		func(r ranked) bool { return n.ranks.unsound[r.name] != 0 || r.w.suspect },
		func(r ranked) bool { return r.name == t.Last },
		func(r ranked) bool { return pinned && !t.Room.fits(n.freeAt(sl, r.name, r.w)) },
		func(r ranked) bool {
			return pinned && !t.Room.fits(n.freeAt(sl, r.name, r.w).plus(n.batchLoad(sl, "", r.name)))
		},
		func(r ranked) bool { return st.Near != "" && r.w.rack != st.Near },
	} {
		if left := slices.DeleteFunc(slices.Clone(list), shun); len(left) > 0 {
			list = left
		}
	}
	// The agents' queues are bounded, and so is what is sent to them.
	list = slices.DeleteFunc(list, func(r ranked) bool { return n.workers[r.name].queued >= agentQueue/2 })
	if len(list) == 0 {
		return ""
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	k := n.KLowest
	if k == 0 {
		k = min(max(len(list)/4, kLeast), kLowest)
	}
	list = list[:min(k, len(list))]
	return list[n.rand().IntN(len(list))].name
}

func (n *node) placeTask(sl *slice, js *jobState, i int, worker string, class int8) {
	t := &js.Tasks[i]
	n.touch(sl, js)
	t.State, t.Class, t.Worker, t.Agent, t.AgentEpoch, t.SetVer = taskPlaced, class, worker, n.workers[worker].agent, n.workers[worker].epoch, js.Version
	t.Attempt++
	sl.note(js, i)
	n.workers[worker].queued++ // until its agent's next word
	if class == classQueueable {
		n.ranks.add(worker, n.estimateMs(js, t))
	}
	js.run[i] = taskState{}
	n.count("placements_" + classNames[class])
}

func (n *node) sendPlace(sl *slice, js *jobState, i int) {
	t := &js.Tasks[i]
	w := n.workers[t.Worker]
	if w == nil || w.epoch != t.AgentEpoch || !n.holds("slice/"+sl.name) {
		return
	}
	js.run[i].sentMs, js.run[i].echoMs = n.now, w.echoMs
	n.send(w.agent, &placeMsg{Worker: t.Worker, AgentEpoch: t.AgentEpoch, SliceEpoch: sl.epoch, EchoMs: w.echoMs, Spec: n.specOf(sl, js, i)})
}

// specOf is what an agent must know of a placed task.
func (n *node) specOf(sl *slice, js *jobState, i int) orderSpec {
	t := &js.Tasks[i]
	return orderSpec{
		Key: attemptKey{js.ID, js.taskID(i), t.Attempt}, Slice: sl.name, Queue: js.Queue, Name: t.Name, Class: t.Class, Room: t.Room,
		Needs: t.Needs, SubmitMs: js.SubmitMs, EstMs: n.estimateMs(js, t), LimitMs: t.LimitMs, Payload: t.Payload, Saved: t.Saved,
		Gang: js.Steps[t.Step].Gang, Lasting: js.Steps[t.Step].Lasting, Saves: js.Steps[t.Step].Saves, PerWorker: js.Steps[t.Step].PerWorker}
}

// sendWant asks for a firm place for a task; where tasks of its step are alike,
// for all of them that wait now, and for a gang once nobody of it is placed.
func (n *node) sendWant(sl *slice, js *jobState, i int) {
	to, _ := n.holder("central")
	if to == "" {
		return
	}
	t := &js.Tasks[i]
	st := &js.Steps[t.Step]
	m := &wantMsg{Slice: sl.name, Job: js.ID, Queue: js.Queue, Room: t.Room, Needs: t.Needs, SubmitMs: js.SubmitMs, Avoid: t.Last,
		Gang: st.Gang, SameRack: st.SameRack, Near: st.Near, PerWorker: st.PerWorker, EstMs: n.estimateMs(js, t)}
	from, to_ := i, i+1
	if st.Alike {
		from, to_ = js.mates(i)
	}
	attempt := int32(0)
	for k := from; k < to_; k++ {
		o := &js.Tasks[k]
		if st.Gang && (o.State != taskPending || o.SetVer > js.committed || n.now < js.run[k].retryMs) {
			return
		}
		attempt = max(attempt, o.Attempt+1)
	}
	for k := from; k < to_; k++ {
		o, rt := &js.Tasks[k], &js.run[k]
		if o.State != taskPending || o.SetVer > js.committed || n.now < rt.retryMs || k != i && n.classify(js, o) != classGuaranteed {
			continue
		}
		rt.wantMs = n.now
		next := o.Attempt + 1
		if st.Gang {
			next = attempt
		}
		m.Tasks = append(m.Tasks, wantTask{js.taskID(k), next})
	}
	if st.PerWorker > 0 {
		used := js.usedBy(i)
		for _, w := range sorted(used) {
			m.Used = append(m.Used, usedView{w, used[w]})
		}
	}
	n.send(to, m)
}

// onGrant takes firm places from the central scheduler; a gang's all or none.
func (n *node) onGrant(_ string, m *grantMsg) {
	sl := n.owned[m.Slice]
	if sl == nil || !n.holds("slice/"+m.Slice) {
		return
	}
	js := sl.jobs[m.Job]
	if js == nil || js.State != jobRunning {
		return
	}
	q := n.setup.cur.Queues[js.Queue]
	good := func(p grantView) (int, bool) {
		i, _, ok := js.position(p.Task)
		w := n.workers[p.Worker]
		if !ok || w == nil || q == nil {
			return 0, false
		}
		t := &js.Tasks[i]
		return i, t.State == taskPending && p.Attempt > t.Attempt && t.SetVer <= js.committed && n.allowed(w, q, t.Needs, t.Room)
	}
	whole := 0
	for _, p := range m.Places {
		if _, ok := good(p); ok {
			whole++
		}
	}
	for _, p := range m.Places {
		i, ok := good(p)
		if pos, _, known := js.position(p.Task); known && js.Steps[js.Tasks[pos].Step].Gang && whole < int(js.Steps[js.Tasks[pos].Step].Size) {
			n.count("grants_not_taken") // all of a gang's places or none
			return
		}
		if !ok {
			n.count("grants_not_taken")
			continue
		}
		st := &js.Steps[js.Tasks[i].Step]
		if st.PerWorker > 0 && js.usedBy(i)[p.Worker] >= st.PerWorker {
			continue
		}
		n.placeTask(sl, js, i, p.Worker, classGuaranteed)
		js.Tasks[i].Attempt = p.Attempt
	}
}

// settle applies how an attempt ended to its task.
func (n *node) settle(sl *slice, js *jobState, i int, result int8, ranMs int64) {
	t, rt := &js.Tasks[i], &js.run[i]
	st := &js.Steps[t.Step]
	n.touch(sl, js)
	t.SetVer, t.RanMs = js.Version, ranMs
	n.meterBatch(js, t, ranMs)
	n.count("ends_" + resultNames[result])
	if rt.saved != "" {
		t.Saved = rt.saved
	}
	*rt = taskState{}
	defer sl.note(js, i)
	switch result {
	case resultOK:
		n.learnRun(js, t, ranMs)
		if st.Lasting {
			rt.retryMs = n.now + backoffMs/2
			break
		}
		t.State, t.Cause = taskEnded, ""
		if st.Gang {
			n.endGang(sl, js, i)
		}
		return
	case resultFailed, resultOverrun:
		t.Last, t.Cause = t.Worker, resultNames[result]
		if !n.countFailure(js, i) {
			break
		}
		wait := int64(backoffMs) << min(t.Failures-1, 10)
		rt.retryMs = n.now + min(wait, backoffMax)
		if st.Alike { // of many tasks alike some fail; the next try is elsewhere
			rt.retryMs = n.now + min(wait/4, backoffMs)
		}
	case resultPreempted:
		t.Preempts++
		rt.retryMs = n.batchBack(js)
	case resultStanding, resultLost:
		t.Last = t.Worker
	case resultShed, resultBounced:
		rt.retryMs = n.now + 20 + n.rand().Int64N(100)
	}
	if st.Gang && js.Steps[t.Step].Saves {
		n.shareSaved(js, i)
	}
	switch {
	case t.Failures >= t.allowedRuns() && !st.Lasting:
		t.State = taskFailed
		if js.State == jobRunning {
			js.State = jobFailed
			n.log("job_failing", "job", js.ID, "task", t.Name, "cause", t.Cause, "failures", t.Failures)
			n.giveUp(sl, js)
		}
	case js.State != jobRunning:
		t.State = taskCancelled
	default:
		t.State = taskPending
	}
}

// countFailure counts a failed run, a gang's once for all its members.
func (n *node) countFailure(js *jobState, i int) bool {
	t := &js.Tasks[i]
	if !js.Steps[t.Step].Gang {
		t.Failures++
		t.FailedRun = t.Attempt
		return true
	}
	if t.FailedRun == t.Attempt {
		return false
	}
	from, to := js.mates(i)
	for k := from; k < to; k++ {
		js.Tasks[k].Failures++
		js.Tasks[k].FailedRun = t.Attempt
	}
	return true
}

// endGang takes one member's good end for all of its run.
func (n *node) endGang(sl *slice, js *jobState, i int) {
	from, to := js.mates(i)
	for k := from; k < to; k++ {
		if o := &js.Tasks[k]; k != i && o.Attempt == js.Tasks[i].Attempt && o.State != taskEnded {
			o.State, o.Cause, o.SetVer = taskEnded, "", js.Version
			js.run[k] = taskState{}
			sl.note(js, k)
		}
	}
}

// shareSaved gives all members of a gang the newest saved text of one of them:
// they must go on from the same.
func (n *node) shareSaved(js *jobState, i int) {
	from, to := js.mates(i)
	saved := js.Tasks[i].Saved
	for k := from; k < to; k++ {
		js.Tasks[k].Saved = saved
	}
}

// onSync takes an agent's word on all it holds, settles what it says ended,
// and answers what it may go on with.
func (n *node) onSync(from string, m *syncMsg) {
	w := n.workers[m.Worker]
	if w == nil {
		w = &workerView{}
		n.workers[m.Worker] = w
	}
	if m.Epoch < w.epoch {
		return // an agent whose time is over
	}
	if m.Epoch > w.epoch || m.SentMs > w.echoMs {
		others, batch := w.others, w.batch
		if others == nil || m.Epoch > w.epoch {
			others, batch = map[string]amount{}, map[string][]queueRoom{}
		}
		*w = workerView{agent: from, epoch: m.Epoch, echoMs: m.SentMs, heardMs: n.now, site: m.Site, labels: m.Labels, leaving: m.Leaving,
			rebuilt: m.Rebuilt, fresh: m.Fresh, free: m.Free, capacity: m.Capacity, queued: m.Queued, rankMs: m.RankMs, silentMs: m.SilentMs,
			others: others, batch: batch, waiting: m.Waiting, low: w.low.with(n.now, m.Spare), rack: m.Rack, suspect: m.Suspect, pinned: m.Pinned}
	}
	if m.Epoch == w.epoch && m.Slice != "" {
		w.others[m.Slice], w.batch[m.Slice] = m.Others, m.Batch
	}
	if m.Slice == "" {
		n.syncCentral(from, m)
		return
	}
	sl := n.owned[m.Slice]
	if sl == nil || !sl.serving || !n.holds("slice/"+m.Slice) {
		return
	}
	ack := &syncAck{Worker: m.Worker, Epoch: m.Epoch, Slice: m.Slice, SliceEpoch: sl.epoch, SentMs: m.SentMs}
	listed := map[attemptKey]bool{}
	for _, h := range m.Held {
		listed[h.Key] = true
		if v := n.judge(sl, m, h); v != 0 {
			ack.Verdicts = append(ack.Verdicts, verdictView{h.Key, v})
			if js := sl.jobs[h.Key.Job]; js != nil && h.Unknown && v == verdictKeep {
				i, _, _ := js.position(h.Key.Task)
				ack.Specs = append(ack.Specs, n.specOf(sl, js, i))
			}
		}
	}
	for _, at := range sl.placedOn(m.Worker) { // settling changes the index, not this list
		js := sl.jobs[at.job]
		if js == nil {
			continue
		}
		i, _, ok := js.position(at.task)
		if !ok || js.Tasks[i].State != taskPlaced {
			continue
		}
		t := &js.Tasks[i]
		if t.SetVer > js.committed || listed[attemptKey{at.job, at.task, t.Attempt}] {
			continue
		}
		switch {
		case m.Epoch > t.AgentEpoch && m.Rebuilt:
			// The new agent has the worker's own word, begun after the
			// last order of the old one could arrive.
			n.settle(sl, js, i, resultLost, 0)
		case m.Epoch == t.AgentEpoch && js.State != jobRunning:
			// Given up: once no placement of it, ours or a former
			// owner's, is fresh enough to be taken, it never starts.
			if n.now-sl.startMs > 2*contactMs && m.SentMs-js.run[i].echoMs > 2*contactMs {
				n.settle(sl, js, i, resultBounced, 0)
			}
		case m.Epoch == t.AgentEpoch && n.now-js.run[i].sentMs > 2*syncMs:
			n.sendPlace(sl, js, i)
		}
	}
	n.loseReplaced(sl, m)
	n.send(from, ack)
}

// counted tells whether an end is the one that stands for its task, or a failure
// that was counted.
func (t *task) counted(h heldView) bool {
	return h.Result == resultOK && h.Key.Attempt == t.Attempt && t.State == taskEnded || h.Result == resultFailed && h.Key.Attempt == t.FailedRun
}

// judge gives the owner's verdict on one attempt an agent holds.
func (n *node) judge(sl *slice, m *syncMsg, h heldView) int8 {
	js := sl.jobs[h.Key.Job]
	over := func() int8 { // nothing of it is wanted
		if h.State == heldEnded {
			return verdictAcked
		}
		return verdictDrop
	}
	if js == nil && h.State == heldEnded && h.Late {
		return n.judgeLate(sl, h.Key)
	}
	if js == nil {
		if j := sl.finished[h.Key.Job]; j != nil && h.State == heldEnded {
			if i, _, ok := j.position(h.Key.Task); ok && j.Tasks[i].counted(h) {
				return verdictCounted
			}
		}
		return over()
	}
	i, _, ok := js.position(h.Key.Task)
	if !ok && h.State == heldEnded && !js.gaveUpOn(h.Key) {
		return verdictCounted
	}
	if !ok { // no such task, or its round is over
		return over()
	}
	t, rt := &js.Tasks[i], &js.run[i]
	if js.committed == 0 {
		return 0
	}
	if h.Key.Attempt > t.Attempt {
		n.log("attempt_unknown", "job", js.ID, "task", h.Key.Task, "attempt", h.Key.Attempt, "known", t.Attempt)
		return verdictDrop
	}
	late := h.State == heldEnded && (h.Result == resultOK || h.Result == resultFailed && t.FailedRun != t.Attempt) &&
		h.Key.Attempt == t.Attempt && t.State == taskPending && js.State == jobRunning && (!js.Steps[t.Step].Gang || js.noneSince(i))
	if (h.Key.Attempt < t.Attempt || t.State != taskPlaced) && !late {
		if h.State != heldEnded {
			return verdictDrop
		}
		if t.SetVer > js.committed {
			return 0
		}
		if !t.counted(h) && js.gaveUpOn(h.Key) {
			return verdictAcked
		}
		return verdictCounted
	}
	if h.State == heldRunning && rt.runMs == 0 {
		rt.runMs = n.now
	}
	rt.state = h.State
	if h.Saved != "" {
		rt.saved = h.Saved
	}
	if h.State == heldEnded {
		if late { // given up, but nothing was started since: it counts
			js.GaveUp = slices.DeleteFunc(js.GaveUp, func(g gaveUp) bool { return g == gaveUp{h.Key.Task, h.Key.Attempt} })
		}
		n.settle(sl, js, i, h.Result, h.RanMs)
		return 0 // acknowledged once it is committed
	}
	if js.State != jobRunning || js.Steps[t.Step].Gang && !js.gangWhole(i) {
		return verdictDrop
	}
	if t.Class == classQueueable && h.Class == classGuaranteed {
		t.Class = classGuaranteed // promoted; kept with the next write
	}
	if t.SetVer > js.committed {
		return 0
	}
	if m.Pinned && h.State == heldQueued && h.Class == classQueueable && n.now-rt.sentMs > recallMs && n.roomElsewhere(sl, js, i) {
		return verdictRecall
	}
	return verdictKeep
}

// noneSince tells whether no member of a task's gang was placed again after its run.
func (js *jobState) noneSince(i int) bool {
	from, to := js.mates(i)
	for k := from; k < to; k++ {
		if js.Tasks[k].Attempt != js.Tasks[i].Attempt {
			return false
		}
	}
	return true
}

// gaveUpOn tells whether a run was given up since its worker was silent.
func (j *job) gaveUpOn(k attemptKey) bool {
	return slices.Contains(j.GaveUp, gaveUp{k.Task, k.Attempt})
}

// judgeLate says of a late end of a job that is over whether another run took
// its place: the job's record tells, which is read first where it isn't at hand.
func (n *node) judgeLate(sl *slice, k attemptKey) int8 {
	switch j := sl.finished[k.Job]; {
	case j != nil && j.gaveUpOn(k): // unless it was taken after all, before anything else was started
		return verdictAcked
	case j != nil || sl.absent[k.Job]:
		return verdictCounted
	case n.now-sl.lateMs[k.Job] > handOverMs && len(sl.fetches) < grantNow:
		sl.lateMs[k.Job] = n.now
		n.fetchRecord(sl, &fetchOp{id: k.Job})
	}
	return 0
}

// roomElsewhere tells whether another worker than its own could start a waiting
// task at once.
func (n *node) roomElsewhere(sl *slice, js *jobState, i int) bool {
	t := &js.Tasks[i]
	q := n.setup.cur.Queues[js.Queue]
	if q == nil || js.Steps[t.Step].PerWorker > 0 {
		return false
	}
	for name, w := range n.workers {
		if name != t.Worker && !w.suspect && n.ranks.unsound[name] == 0 && n.allowed(w, q, t.Needs, t.Room) && t.Room.fits(n.freeAt(sl, name, w)) {
			return true
		}
	}
	return false
}

// loseReplaced settles what stood at workers whose place another worker has taken
// since: its beats come from the same machine, to a later life of the same agent.
func (n *node) loseReplaced(sl *slice, m *syncMsg) {
	if !m.Pinned || !m.Rebuilt {
		return
	}
	for _, worker := range sorted(sl.placed) {
		if worker == m.Worker {
			continue
		}
		for _, at := range sl.placedOn(worker) {
			js := sl.jobs[at.job]
			if js == nil {
				continue
			}
			i, _, ok := js.position(at.task)
			if !ok || js.Tasks[i].State != taskPlaced || js.Tasks[i].Agent != m.Agent || js.Tasks[i].AgentEpoch >= m.Epoch {
				break
			}
			if js.Tasks[i].SetVer <= js.committed {
				n.count("replaced_settled")
				n.settle(sl, js, i, resultLost, 0)
			}
		}
	}
}
