package daemon

import (
	"bytes"
	"cmp"
	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/schema"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
	"slices"
	"strings"
)

// shard is a part of the jobs, owned by one daemon at a time. The owner alone
// says what is true of each of its jobs and tasks.
type shard struct {
	name       string
	epoch      uint64
	serving    bool
	startMs    int64
	seals      map[string]map[string]statestore.Record // core member -> its live records
	sealSent   int64
	missing    map[string]map[string]bool // member -> records it is asked for one by one
	missingOps map[uint64]string
	merged     map[string]statestore.Record
	served     uint64          // the last owner that had all live jobs committed under its epoch
	loading    map[string]bool // loaded jobs not committed under this epoch yet
	completeAt uint64          // the batch that tells the core that none is left; 0 before

	jobs               map[string]*jobState
	finished           map[string]*job
	order              []string // of finished, oldest first
	dirty              map[string]bool
	writeSeq           uint64
	writes             map[uint64]*writeBatch
	lag                map[string]*replicaLag // member -> records it has not acknowledged
	fetches            map[uint64]*fetchOp
	admitting          map[string]*fetchOp
	lateMs             map[string]int64 // when the record of a job was last read for a late end
	absent             map[string]bool  // jobs that late ends speak of and the core doesn't know any more
	liveByQueue        map[string]int
	bytes              int                                     // of all live jobs' records
	placed             map[string]map[placedAt]resource.Amount // worker -> tasks placed there, and their room
	load               map[string]resource.Amount              // worker -> room of those
	confirmed          []string                                // finished at a majority, not yet told to the members
	confirmedSentMs    int64
	allocationRequests int // asks for firm places sent in this tick

	batchAt      int64 // when batches are planned anew
	batchVersion int64 // the setup that they were planned by
	batchStarts  int   // in this tick
	batchTries   int   // and tasks looked at
	batchLoads   map[queueOnWorker]resource.Amount
	starvedMs    int64 // when a task that is no batch's last found no place
}

// placedAt names a task of a slice.
type placedAt struct {
	job  string
	task int64
}

// indexTask keeps the index of tasks by worker in line with a task's state. Rounds
// that are over shift positions, so tasks go by their names.
func (sl *shard) indexTask(js *jobState, i int) {
	t := &js.Tasks[i]
	at := placedAt{js.ID, js.taskID(i)}
	if room, was := sl.placed[t.Worker][at]; was {
		delete(sl.placed[t.Worker], at)
		sl.load[t.Worker] = sl.load[t.Worker].Minus(room)
	}
	if t.State == taskPlaced {
		if sl.placed[t.Worker] == nil {
			sl.placed[t.Worker] = map[placedAt]resource.Amount{}
		}
		sl.placed[t.Worker][at] = t.Resources
		sl.load[t.Worker] = sl.load[t.Worker].Plus(t.Resources)
	}
	if len(sl.placed[t.Worker]) == 0 {
		delete(sl.placed, t.Worker)
		delete(sl.load, t.Worker)
	}
}

// placedOn gives the tasks placed at a worker, in order.
func (sl *shard) placedOn(worker string) []placedAt {
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
	runtime   []taskRuntime
	batch     *batchPlan // of a batch, once it is planned
}

// taskRuntime is what an owner need not keep across a takeover.
type taskRuntime struct {
	retryMs      int64
	allocationMs int64
	sentMs       int64
	echoMs       int64 // the agent's clock that the last placement carried
	abandonMs    int64
	state        wire.AttemptState // as the agent last told
	saved        string
	abort        bool  // of a gang that is begun anew
	runMs        int64 // since when it is told to run
}

type waiter struct {
	version int64
	request *request
	status  int
}

type writeBatch struct {
	records []statestore.Record
	settled []string
	acked   map[string]bool
	done    bool
	sentMs  int64
}

type fetchOp struct {
	id       string
	job      *job
	requests []*request
	got      map[string]bool
	best     statestore.Record
	startMs  int64
}

type estimate struct {
	meanMs float64
	usedMs int64 // when a run last ended here; 0 where others told it
	told   bool
}

// workerView is what this daemon was last told of a worker by its agent.
type workerView struct {
	agent       string
	epoch       uint64
	echoMs      int64
	heardMs     int64
	site        string
	labels      []wire.Label
	leaving     bool
	rebuilt     bool
	fresh       bool
	free        resource.Amount
	capacity    resource.Amount
	otherShards map[string]resource.Amount // slice -> room there of what isn't this slice's
	batch       map[string][]wire.QueueUse // slice -> of that, the batches'
	waiting     int64                      // unstarted tasks that are no batch's
	spare       spareWindow                // the least room lately that batches didn't have to leave
	rack        string
	suspect     bool
	colocated   bool
	queued      int64
	rankMs      int64
	silentMs    int64
}

var jobOps map[string]func(*node, *shard, *request)

func init() {
	jobOps = map[string]func(*node, *shard, *request){"job.put": (*node).handleSubmit, "job.get": (*node).handleGet,
		"job.cancel": (*node).handleCancel, "job.state": (*node).handleState, "worker.lost": (*node).handleWorkerLost}
}

func (n *node) startShard(name string, epoch uint64) {
	n.owned[name] = &shard{name: name, epoch: epoch, startMs: n.now, seals: map[string]map[string]statestore.Record{}, missing: map[string]map[string]bool{},
		missingOps: map[uint64]string{}, merged: map[string]statestore.Record{}, jobs: map[string]*jobState{}, finished: map[string]*job{}, dirty: map[string]bool{}, loading: map[string]bool{},
		writes: map[uint64]*writeBatch{}, lag: map[string]*replicaLag{}, fetches: map[uint64]*fetchOp{}, admitting: map[string]*fetchOp{}, absent: map[string]bool{}, lateMs: map[string]int64{}, liveByQueue: map[string]int{}, placed: map[string]map[placedAt]resource.Amount{}, load: map[string]resource.Amount{}}
	n.sendSeals(n.owned[name])
}

// endShard lets go of a slice. Who waits here for a commit is told at once that the
// outcome is unknown, and who waits for a look at the core that nothing was kept.
func (n *node) endShard(name string) {
	sl := n.owned[name]
	if sl == nil {
		return
	}
	delete(n.owned, name)
	for _, id := range sorted(sl.jobs) {
		for _, w := range sl.jobs[id].waiters {
			w.request.maybeApplied = true
			n.reject(w.request, "the slice moved while this was written down")
		}
	}
	for _, op := range sorted(sl.fetches) {
		for _, a := range sl.fetches[op].requests {
			n.readFromCore(a, "the slice moved")
		}
	}
}

func (n *node) sendSeals(sl *shard) {
	sl.sealSent = n.now
	for _, m := range n.core.Members {
		if sl.seals[m.Name] == nil {
			n.send(m.Name, &wire.SealRequest{SetVersion: n.core.Version, Shard: sl.name, Epoch: sl.epoch})
		}
	}
}

// mergeSeal merges what a majority holds of records that are live, or finished
// without a majority known to hold that: those are finished again here. A record live at one member
// and absent among another's live ones may have finished there: it is asked
// for by name before the slice is served.
func (n *node) mergeSeal(from string, m *wire.SealResponse) {
	sl := n.owned[m.Shard]
	if sl == nil || m.Epoch != sl.epoch || sl.serving || sl.seals[from] != nil || len(sl.missing) > 0 {
		return
	}
	if !m.OK {
		n.leases.Lose(lease.ShardRole(m.Shard), "sealed_higher")
		return
	}
	sl.served = max(sl.served, m.Served)
	recs := map[string]statestore.Record{}
	for _, r := range m.Records {
		recs[r.ID] = r
		if old, ok := sl.merged[r.ID]; !ok || old.OlderThan(r) {
			sl.merged[r.ID] = r
		}
	}
	sl.seals[from] = recs
	if len(sl.seals) < n.core.Majority() {
		return
	}
	for id, r := range sl.merged {
		if r.Live && r.Epoch < sl.served { // of a member that was away: ended since, or never accepted
			delete(sl.merged, id)
		}
	}
	for _, member := range sorted(sl.seals) {
		var ids []string
		for _, id := range sorted(sl.merged) {
			if _, ok := sl.seals[member][id]; !ok {
				ids = append(ids, id)
			}
		}
		if len(ids) > 0 {
			n.opSeq++
			sl.missing[member] = map[string]bool{}
			sl.missingOps[n.opSeq] = member
			n.send(member, &wire.FetchRequest{SetVersion: n.core.Version, Op: n.opSeq, Shard: sl.name, IDs: ids})
		}
	}
	if len(sl.missing) == 0 {
		n.loadShard(sl)
	}
}

// loadShard writes what was merged back under the own epoch; the slice is
// served once a majority holds that.
func (n *node) loadShard(sl *shard) {
	for _, id := range sorted(sl.merged) {
		r := sl.merged[id]
		j, ok := jobOf(r)
		if !ok {
			n.log("record_unreadable", "slice", sl.name, "job", id)
			continue
		}
		js := &jobState{job: *j, bytes: len(r.Value)}
		sl.bytes += js.bytes
		js.runtime = make([]taskRuntime, len(js.Tasks))
		sl.jobs[id] = js
		for i := range js.Tasks {
			sl.indexTask(js, i)
		}
		sl.liveByQueue[js.Queue]++
		sl.dirty[id], sl.loading[id] = true, true
	}
	sl.merged, sl.seals = nil, map[string]map[string]statestore.Record{}
	sl.serving = true // nothing is confirmed or placed before its record is committed
	n.log("slice_served", "slice", sl.name, "epoch", sl.epoch, "jobs", len(sl.jobs))
}

func (n *node) markDirty(sl *shard, js *jobState) {
	if !sl.dirty[js.ID] {
		js.Version++
	}
	sl.dirty[js.ID] = true
}

// flushWrites sends what one event changed as one batch to all of the core.
func (n *node) flushWrites() {
	for _, name := range sorted(n.owned) {
		sl := n.owned[name]
		whole := sl.serving && len(sl.loading) == 0 && sl.completeAt == 0
		if len(sl.dirty) == 0 && !whole && (len(sl.confirmed) == 0 || n.now-sl.confirmedSentMs < writeRetry) {
			continue
		}
		b := &writeBatch{acked: map[string]bool{}, sentMs: n.now, settled: sl.confirmed}
		sl.confirmed, sl.confirmedSentMs = nil, n.now
		for _, id := range sorted(sl.dirty) {
			js := sl.jobs[id]
			b.records = append(b.records, statestore.Record{ID: id, Epoch: sl.epoch, Version: js.Version, Live: js.DoneMs == 0, DoneMs: js.DoneMs, Value: js.kept()})
		}
		sl.dirty = map[string]bool{}
		sl.writeSeq++
		sl.writes[sl.writeSeq] = b
		if whole {
			sl.completeAt = sl.writeSeq
		}
		n.sendBatch(sl, sl.writeSeq, b)
	}
}

func (n *node) sendBatch(sl *shard, seq uint64, b *writeBatch) {
	for _, m := range n.core.Members {
		if !b.acked[m.Name] {
			n.count("record_writes")
			n.send(m.Name, &wire.WriteRequest{SetVersion: n.core.Version, Shard: sl.name, Epoch: sl.epoch, Seq: seq, Records: b.records, Confirmed: b.settled, Complete: sl.completeAt != 0})
		}
	}
}

func (n *node) applyWriteResponse(from string, m *wire.WriteResponse) {
	sl := n.owned[m.Shard]
	if sl == nil || m.Epoch != sl.epoch {
		return
	}
	b := sl.writes[m.Seq]
	if !m.OK {
		n.leases.Lose(lease.ShardRole(m.Shard), "epoch_passed")
		return
	}
	if b == nil {
		n.onCaughtUp(sl, from, m.Seq)
		return
	}
	b.acked[from] = true
	if len(b.acked) >= n.core.Majority() && !b.done {
		b.done = true
		n.count("commits")
		for _, r := range b.records {
			delete(sl.loading, r.ID)
			if !r.Live {
				sl.confirmed = append(sl.confirmed, r.ID)
			}
			if js := sl.jobs[r.ID]; js != nil {
				js.committed = max(js.committed, r.Version)
				n.advanceJob(sl, js)
			}
		}
	}
	if len(b.acked) >= len(n.core.Members) {
		delete(sl.writes, m.Seq)
	}
}

func (n *node) tickShards() {
	for _, name := range sorted(n.owned) {
		sl := n.owned[name]
		if !sl.serving {
			if n.now-sl.sealSent > writeRetry {
				if len(sl.missing) > 0 { // a member went away between seal and fetch: begin again
					sl.missing, sl.missingOps, sl.seals = map[string]map[string]bool{}, map[uint64]string{}, map[string]map[string]statestore.Record{}
				}
				n.sendSeals(sl)
			}
			continue
		}
		n.tickWrites(sl)
		for _, op := range sorted(sl.fetches) {
			if f := sl.fetches[op]; n.now-f.startMs > forwardMs*2/3 {
				delete(sl.fetches, op)
				delete(sl.admitting, f.id)
				for _, a := range f.requests {
					n.readFromCore(a, "the core did not answer")
				}
			}
		}
		sl.allocationRequests = 0
		n.tickBatches(sl)
		for _, js := range n.jobsByUrgency(sl) {
			n.advanceJob(sl, js)
		}
		cut := 0
		for cut < len(sl.order) && (len(sl.order)-cut > finishedMax || n.now-sl.finished[sl.order[cut]].Version > finishedMs) {
			delete(sl.finished, sl.order[cut])
			cut++
		}
		sl.order = sl.order[cut:]
	}
}

// jobsByUrgency gives a slice's live jobs, those of urgent queues first, then the oldest.
func (n *node) jobsByUrgency(sl *shard) []*jobState {
	type turn struct {
		urgency int64
		js      *jobState
	}
	list := make([]turn, 0, len(sl.jobs))
	for _, js := range sl.jobs {
		list = append(list, turn{n.config.current.Urgency(js.Queue), js})
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
func (n *node) tickWrites(sl *shard) {
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
			sl.recordMissed(m.Name, b.records)
		}
	}
	n.tickCatchUp(sl)
}

// fetchRecord reads one record at a majority: whoever calls goes on once it is known.
func (n *node) fetchRecord(sl *shard, f *fetchOp) {
	f.startMs, f.got = n.now, map[string]bool{}
	n.opSeq++
	sl.fetches[n.opSeq] = f
	for _, m := range n.core.Members {
		n.send(m.Name, &wire.FetchRequest{SetVersion: n.core.Version, Op: n.opSeq, Shard: sl.name, IDs: []string{f.id}})
	}
}

func (n *node) onFetchResponse(from string, m *wire.FetchResponse) {
	if r := n.quorumReads[m.Op]; r != nil {
		n.onQuorumRead(r, m.Op, from, m.Records)
		return
	}
	for _, name := range sorted(n.owned) {
		sl := n.owned[name]
		if member, ok := sl.missingOps[m.Op]; ok && member == from {
			for _, r := range m.Records {
				if old := sl.merged[r.ID]; old.OlderThan(r) {
					sl.merged[r.ID] = r
				}
			}
			delete(sl.missingOps, m.Op)
			delete(sl.missing, from)
			if len(sl.missing) == 0 && !sl.serving {
				n.loadShard(sl)
			}
			return
		}
		f := sl.fetches[m.Op]
		if f == nil || f.got[from] {
			continue
		}
		f.got[from] = true
		for _, r := range m.Records {
			if f.best.OlderThan(r) {
				f.best = r
			}
		}
		if len(f.got) < n.core.Majority() {
			return
		}
		delete(sl.fetches, m.Op)
		delete(sl.admitting, f.id)
		old, _ := jobOf(f.best)
		if f.best.Live { // all live jobs that count are here: a member that was away has it, or a write that was given up
			old = sl.finished[f.id]
		}
		n.onRecordFetched(sl, f, old)
		return
	}
}

func (n *node) onRecordFetched(sl *shard, f *fetchOp, old *job) {
	if !n.leases.Holds(lease.ShardRole(sl.name)) {
		for _, a := range f.requests {
			n.readFromCore(a, "the slice moved")
		}
		return
	}
	if js := sl.jobs[f.id]; js != nil { // it came in meanwhile
		old = nil
	}
	if old == nil && f.job != nil && sl.jobs[f.id] == nil {
		n.admitJob(sl, f)
		return
	}
	if len(f.requests) == 0 && sl.jobs[f.id] == nil { // read for the sake of a late end
		if old == nil {
			sl.absent[f.id] = true
		} else if sl.finished[f.id] == nil {
			old.Version = n.now
			sl.finished[f.id] = old
			sl.order = append(sl.order, f.id)
		}
		return
	}
	for _, a := range f.requests {
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

func (n *node) answerFinished(a *request, j *job) {
	switch {
	case a.op == "job.put":
		p, faults := parseJob(j.ID, a.queue, a.body)
		if len(faults) > 0 {
			n.rejectFaults(a, 400, 0, faults)
		} else if !bytes.Equal(p.Digest, j.Digest) {
			n.respond(a, 409, 0, mustJSON(map[string]any{"error": "another job has this id"}))
		} else {
			n.respond(a, 200, 0, mustJSON(map[string]any{"id": j.ID, "state": j.State.String()}))
		}
	case a.queue != "" && a.queue != j.Queue:
		n.answerMissing(a)
	case a.op == "job.state":
		n.respond(a, 200, 0, mustJSON(map[string]any{"state": j.State.String()}))
	case a.op == "job.cancel" && j.State != jobCancelled:
		n.respond(a, 409, 0, mustJSON(map[string]any{"error": "the job has ended", "state": j.State.String()}))
	default:
		n.respond(a, 200, 0, mustJSON(j.view(func(*task) string { return "" })))
	}
}

func (n *node) answerMissing(a *request) {
	n.respond(a, 404, 0, mustJSON(map[string]any{"error": "no such job", "missing": "job"}))
}

func (n *node) handleSubmit(sl *shard, a *request) {
	if js := sl.jobs[a.key]; js != nil {
		p, faults := parseJob(a.key, a.queue, a.body)
		if len(faults) > 0 {
			n.rejectFaults(a, 400, 0, faults)
		} else if !bytes.Equal(p.Digest, js.Digest) {
			n.respond(a, 409, 0, mustJSON(map[string]any{"error": "another job has this id"}))
		} else {
			n.whenCommitted(js, waiter{version: 1, request: a, status: 200})
		}
		return
	}
	if j := sl.finished[a.key]; j != nil {
		n.answerFinished(a, j)
		return
	}
	if f := sl.admitting[a.key]; f != nil {
		if len(f.requests) > 16 {
			a.maybeApplied = true // the others may have it taken in
			n.reject(a, "too many of the same ask")
			return
		}
		f.requests = append(f.requests, a)
		return
	}
	j, faults := parseJob(a.key, a.queue, a.body)
	if len(faults) > 0 {
		n.rejectFaults(a, 400, 0, faults)
		return
	}
	if !n.configFresh() {
		n.reject(a, "the setup is not confirmed here")
		return
	}
	if n.config.current.Queues[j.Queue] == nil {
		if !n.configConfirmedSince(a) && len(n.config.awaiting) < requestsMax {
			// A version acknowledged just now may have it: ask the core first.
			n.config.awaiting = append(n.config.awaiting, a)
			n.leases.PollSoon()
			return
		}
		if a.queue != "" { // whoever resolved its address had another setup: soon it has this one
			n.reject(a, "the queue is not in the newest setup")
			return
		}
		n.rejectFaults(a, 400, 0, []schema.Fault{{Path: "queue", Reason: "is not in the setup"}})
		return
	}
	f := &fetchOp{id: a.key, job: j, requests: []*request{a}}
	sl.admitting[a.key] = f
	n.fetchRecord(sl, f)
}

// admitJob runs a new job through the rules of its queue and makes it durable.
func (n *node) admitJob(sl *shard, f *fetchOp) {
	j, a := f.job, f.requests[0]
	q := n.config.current.Queues[j.Queue]
	wall := n.fleetTime()
	if q == nil || wall == 0 || !n.configFresh() {
		n.rejectAdmission(f, func(a *request) { n.reject(a, "the setup or the core's time is not confirmed here") })
		return
	}
	size := len(j.kept())
	c := &admission{job: j, queue: q, live: sl.liveByQueue[j.Queue], all: len(sl.jobs), bytes: sl.bytes + size, base: q.Urgency <= n.config.current.Lowest && len(n.config.current.Queues) > 1, batch: q.Batch != nil}
	if b := admit(c); b != nil {
		n.count("jobs_bounced")
		n.rejectAdmission(f, func(a *request) { n.rejectFaults(a, int(b.status), b.retryMs, b.faults) })
		return
	}
	j.SubmitMs = wall
	if j.DelayMs > 0 {
		j.DueMs = n.latestFleetTime() + j.DelayMs
	}
	js := &jobState{job: *j, runtime: make([]taskRuntime, len(j.Tasks)), bytes: size}
	sl.jobs[j.ID] = js
	sl.bytes += size
	sl.liveByQueue[j.Queue]++
	n.count("jobs_entered")
	n.markDirty(sl, js)
	n.whenCommitted(js, waiter{version: 1, request: a, status: 201})
	for _, other := range f.requests[1:] { // the same job again, or its state, or its end
		jobOps[other.op](n, sl, other)
	}
}

// rejectAdmission answers all who wait for a new job that isn't taken: who hands it in
// is told why, and for the others there is no such job.
func (n *node) rejectAdmission(f *fetchOp, tell func(*request)) {
	for _, a := range f.requests {
		if a.op == "job.put" {
			tell(a)
		} else {
			n.answerMissing(a)
		}
	}
}

func (n *node) whenCommitted(js *jobState, w waiter) {
	if len(js.waiters) > 64 {
		w.request.maybeApplied = true // it is done, but not yet durable
		n.reject(w.request, "too many of the same ask")
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
		state := js.State.String()
		if js.DoneMs == 0 && js.State > jobComplete {
			state = map[jobStatus]string{jobFailed: "failing", jobCancelled: "cancelling"}[js.State]
		}
		if w.request.op == "job.state" {
			state = js.brief()
		}
		n.respond(w.request, w.status, 0, mustJSON(map[string]any{"id": js.ID, "state": state}))
	}
	js.waiters = kept
}

func (n *node) handleGet(sl *shard, a *request) {
	if js := sl.jobs[a.key]; js != nil && a.queue != "" && js.Queue != a.queue {
		n.answerMissing(a)
		return
	}
	if js := sl.jobs[a.key]; js != nil {
		if js.committed == 0 {
			n.whenCommitted(js, waiter{version: 1, request: a, status: 200})
			return
		}
		n.respond(a, 200, 0, mustJSON(js.view(func(t *task) string { return n.whyWaits(js, t) })))
		return
	}
	if j := sl.finished[a.key]; j != nil {
		n.answerFinished(a, j)
		return
	}
	if f := sl.admitting[a.key]; f != nil && len(f.requests) < 16 {
		f.requests = append(f.requests, a)
		return
	}
	n.fetchRecord(sl, &fetchOp{id: a.key, requests: []*request{a}})
}

// handleState tells no more than a job's state, and one that stands only: what ended
// is told once a majority has it.
func (n *node) handleState(sl *shard, a *request) {
	js := sl.jobs[a.key]
	if js == nil || a.queue != "" && js.Queue != a.queue {
		n.handleGet(sl, a)
		return
	}
	version := int64(1)
	if js.DoneMs != 0 || js.State != jobRunning {
		version = js.Version
	}
	n.whenCommitted(js, waiter{version: version, request: a, status: 200})
}

// brief is a job's state in one word: pending until a task of it was placed.
func (js *jobState) brief() string {
	if js.State != jobRunning {
		return js.State.String()
	}
	for i := range js.Tasks {
		if t := &js.Tasks[i]; t.State == taskEnded || t.State == taskPlaced && js.runtime[i].state >= wire.AttemptRunning {
			return jobRunning.String()
		}
	}
	if js.Begun > 0 {
		return jobRunning.String()
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
	rt := &js.runtime[i]
	switch {
	case t.State == taskPlaced && rt.abandonMs != 0:
		return "its worker " + t.Worker + " is silent and the run unsettled; once it surely runs nothing: otterchute workers lost " + t.Worker
	case t.State == taskPlaced && rt.state == wire.AttemptQueued:
		return "queued at its worker"
	case t.State != taskPending:
		return ""
	case js.dueOf(t.Round) > n.fleetTime():
		return "not due yet"
	case !js.readySteps(js.committed)[js.stepAt(t)]:
		return "steps before it have not all ended well"
	case n.now < rt.retryMs && (t.Failures > 0 || js.batch == nil):
		return "backing off after a failure"
	case n.config.current.Queues[js.Queue] == nil:
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
	q, best := n.config.current.Queues[js.Queue], len(reasons)-1
	for _, name := range sorted(n.workers) {
		w, at := n.workers[name], 0
		_, lack := configuration.MissingLabel(w.labels, t.Needs)
		switch {
		case lack || !q.Matches(w.labels, w.site):
			at = 4
		case !t.Resources.Fits(w.capacity):
			at = 3
		case n.now-w.heardMs > silentMs || w.silentMs > silentMs:
			at = 2
		case w.leaving || n.config.current.EmptyZones[w.site]:
			at = 1
		}
		best = min(best, at)
	}
	return reasons[best]
}

func (n *node) handleCancel(sl *shard, a *request) {
	js := sl.jobs[a.key]
	if js != nil && a.queue != "" && js.Queue != a.queue {
		n.answerMissing(a)
		return
	}
	if js == nil {
		if j := sl.finished[a.key]; j != nil {
			n.answerFinished(a, j)
		} else if f := sl.admitting[a.key]; f != nil {
			f.requests = append(f.requests, a)
		} else {
			n.fetchRecord(sl, &fetchOp{id: a.key, requests: []*request{a}})
		}
		return
	}
	if js.DoneMs != 0 && js.State != jobCancelled || js.State == jobFailed {
		n.respond(a, 409, 0, mustJSON(map[string]any{"error": "the job has ended", "state": js.State.String()}))
		return
	}
	if js.State == jobRunning {
		js.State = jobCancelled
		n.log("job_cancelled", "job", js.ID, "slice", sl.name, "epoch", sl.epoch)
		n.cancelTasks(sl, js)
	}
	n.whenCommitted(js, waiter{version: js.Version, request: a, status: 200})
}

// cancelTasks ends all tasks of a job that are not placed, and has the placed ones dropped.
func (n *node) cancelTasks(sl *shard, js *jobState) {
	n.markDirty(sl, js)
	for i := range js.Tasks {
		t := &js.Tasks[i]
		if t.State == taskPending {
			t.State, t.ChangedIn = taskCancelled, js.Version
		}
		if t.State == taskPlaced {
			if w := n.workers[t.Worker]; w != nil && w.epoch == t.AgentEpoch {
				n.send(w.agent, &wire.OwnerReply{Worker: t.Worker, Epoch: w.epoch, Shard: sl.name, SliceEpoch: sl.epoch,
					Decisions: []wire.AttemptDecision{{Key: wire.AttemptKey{Job: js.ID, Task: js.taskID(i), Attempt: t.Attempt}, Decision: wire.DecisionDrop}}})
			}
		}
	}
}

// handleWorkerLost is an operator's word that a worker is gone for good.
func (n *node) handleWorkerLost(sl *shard, a *request) {
	_, worker, _ := strings.Cut(a.key, "/")
	if w := n.workers[worker]; w != nil && n.now-w.heardMs < silentMs && w.fresh {
		n.respond(a, 409, 0, mustJSON(map[string]any{"error": "the worker is heard from; it can't be declared lost"}))
		return
	}
	lost := 0
	for _, at := range sl.placedOn(worker) {
		if js := sl.jobs[at.job]; js != nil {
			if i, _, ok := js.position(at.task); ok {
				n.resolveAttempt(sl, js, i, wire.ResultLost, 0)
				lost++
			}
		}
	}
	n.log("worker_declared_lost", "worker", worker, "slice", sl.name, "tasks", lost)
	n.respond(a, 200, 0, mustJSON(map[string]any{"slice": sl.name, "tasks": lost}))
}

// advanceJob does whatever a job's committed state now allows.
func (n *node) advanceJob(sl *shard, js *jobState) {
	n.answerWaiters(js)
	if js.committed == 0 || !n.leases.Holds(lease.ShardRole(sl.name)) {
		return
	}
	if js.DoneMs != 0 {
		if js.committed >= js.Version && !sl.dirty[js.ID] && len(js.waiters) == 0 {
			n.retireJob(sl, js)
		}
		return
	}
	if state, ended := js.outcome(); ended {
		wall := n.fleetTime()
		if wall == 0 {
			return // how long the job is kept counts from its end: that waits for the fleet's time
		}
		n.markDirty(sl, js)
		js.State, js.DoneMs = state, wall
		n.count("jobs_" + state.String())
		n.batchEnded(js)
		return
	}
	n.turnRounds(sl, js)
	wall := n.fleetTime()
	q := n.config.current.Queues[js.Queue]
	outstanding, batch := 0, n.batchOf(&js.job) != nil
	for i := range js.Tasks {
		if t := &js.Tasks[i]; t.State == taskPlaced && t.Class == wire.ClassQueueable {
			outstanding++
		}
	}
	var ready []bool
	for i := range js.Tasks {
		t, rt := &js.Tasks[i], &js.runtime[i]
		switch {
		case t.State == taskPlaced:
			n.tickPlacedTask(sl, js, i, rt)
		case t.State == taskPending && js.State == jobRunning && wall != 0 && q != nil && n.now >= rt.retryMs && n.configFresh():
			if due := js.dueOf(t.Round); due != 0 && wall < due+dueMarginMs {
				continue
			}
			if batch && !n.batchMayStart(js, t, wall) {
				continue
			}
			if ready == nil {
				ready = js.readySteps(js.committed)
			}
			if !ready[js.stepAt(t)] || t.ChangedIn > js.committed {
				continue
			}
			if n.classify(js, t) == wire.ClassQueueable {
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
					n.placeTask(sl, js, i, w, wire.ClassQueueable)
					outstanding++
				}
			} else if n.now-rt.allocationMs >= allocationRetryMs && sl.allocationRequests < allocationsPerTick {
				if rt.allocationMs != 0 { // not the first time
					sl.starvedMs = n.now
				}
				sl.allocationRequests++
				n.requestAllocation(sl, js, i)
			}
		}
	}
}

// turnRounds opens the rounds that are due soon, and lets go of those that are over.
func (n *node) turnRounds(sl *shard, js *jobState) {
	wall := n.fleetTime()
	if js.Rounds == 0 || js.State != jobRunning || wall == 0 {
		return
	}
	if begun := js.Begun; js.closeRounds(js.committed) {
		js.runtime = js.runtime[int(js.Begun-begun)*int(js.roundSize()):]
		n.markDirty(sl, js)
	}
	for js.Opened < js.Rounds && wall >= js.dueOf(js.Opened)-openAheadMs && len(js.Tasks)+int(js.roundSize()) <= roundTasksMax {
		js.openRound()
		for range js.roundSize() {
			js.runtime = append(js.runtime, taskRuntime{})
		}
		n.markDirty(sl, js)
		for i := len(js.Tasks) - int(js.roundSize()); i < len(js.Tasks); i++ {
			js.Tasks[i].ChangedIn = js.Version
		}
	}
}

func (n *node) retireJob(sl *shard, js *jobState) {
	delete(sl.jobs, js.ID)
	sl.bytes -= js.bytes
	sl.liveByQueue[js.Queue]--
	if sl.liveByQueue[js.Queue] <= 0 {
		delete(sl.liveByQueue, js.Queue)
	}
	j := js.job
	j.Version = n.now // reused as the time it was put here
	sl.finished[j.ID] = &j
	sl.order = append(sl.order, j.ID)
}

// tickPlacedTask sends a committed placement, and settles one whose worker stayed
// silent past a trusted contract.
func (n *node) tickPlacedTask(sl *shard, js *jobState, i int, rt *taskRuntime) {
	t := &js.Tasks[i]
	w := n.workers[t.Worker]
	if t.ChangedIn <= js.committed && rt.sentMs == 0 && js.State == jobRunning {
		n.sendPlacement(sl, js, i)
	}
	if w == nil || w.colocated {
		n.tickColocatedTask(sl, js, i, rt, w)
	}
	silent := w == nil && n.now-sl.startMs > silentMs || w != nil && (n.now-w.heardMs > silentMs || w.silentMs > silentMs)
	if !silent {
		rt.abandonMs = 0
		return
	}
	if rt.abandonMs == 0 {
		rt.abandonMs = n.now
	}
	if q := n.config.current.Queues[js.Queue]; q != nil && q.TrustLimit && n.configFresh() && n.now-rt.abandonMs > contactMs+flightMs+t.LimitMs+limitMargin {
		n.count("contract_settled")
		n.resolveAttempt(sl, js, i, wire.ResultLost, 0)
	}
}

// tickColocatedTask settles a task whose worker's agent has been silent for longer than
// it may hold anything without an owner's word, and begins a gang anew that did
// not come together.
func (n *node) tickColocatedTask(sl *shard, js *jobState, i int, rt *taskRuntime, w *workerView) {
	t := &js.Tasks[i]
	heardMs := sl.startMs
	if w != nil {
		heardMs = max(heardMs, w.heardMs)
	}
	if (w != nil || n.allColocated()) && t.ChangedIn <= js.committed && n.now-heardMs > ownerSpanMs*(100+driftPercent)/100+lapseMarginMs && n.now-n.wokeMs > frozenMs {
		n.count("lapses_settled")
		js.Abandoned = append(js.Abandoned, abandonedRun{js.taskID(i), t.Attempt})
		n.resolveAttempt(sl, js, i, wire.ResultLost, 0)
		return
	}
	if !js.Steps[t.Step].Gang || rt.abort || t.InStep != 0 {
		return
	}
	from, to := js.gangRange(i)
	first, whole := int64(0), true
	for k := from; k < to; k++ {
		if r := &js.runtime[k]; r.runMs != 0 && (first == 0 || r.runMs < first) {
			first = r.runMs
		}
		whole = whole && js.runtime[k].runMs != 0
	}
	if !whole && first != 0 && n.now-first > gangSlackMs {
		n.count("gangs_begun_anew")
		for k := from; k < to; k++ {
			js.runtime[k].abort = true
		}
	}
}

// allColocated tells whether every worker heard of has its agent beside it.
func (n *node) allColocated() bool {
	for _, w := range n.workers {
		if !w.colocated {
			return false
		}
	}
	return len(n.workers) > 0
}

// gangComplete tells whether all of a task's gang is placed in one run.
func (js *jobState) gangComplete(i int) bool {
	from, to := js.gangRange(i)
	for k := from; k < to; k++ {
		if js.Tasks[k].State != taskPlaced || js.Tasks[k].Attempt != js.Tasks[i].Attempt || js.runtime[k].abort {
			return false
		}
	}
	return true
}

// classify is the paper's hybrid-GQ rule: a task known to be short may wait
// or be stopped, all others get a firm place.
func (n *node) classify(js *jobState, t *task) wire.TaskClass {
	if n.ThresholdMs < 0 || n.batchOf(&js.job) != nil { // only-queueable, for comparisons
		return wire.ClassQueueable
	}
	if js.Steps[t.Step].Gang || js.Steps[t.Step].Lasting || t.Preempts >= preemptMax {
		return wire.ClassGuaranteed
	}
	if js.Steps[t.Step].Alike && t.HintMs > 0 { // a guess, corrected by how guesses of its queue turned out
		if n.estimateMs(js, t) >= n.ThresholdMs {
			return wire.ClassGuaranteed
		}
		return wire.ClassQueueable
	}
	e := n.estimates[js.Queue+"/"+t.Name]
	if e == nil || int64(e.meanMs) >= n.ThresholdMs {
		return wire.ClassGuaranteed
	}
	return wire.ClassQueueable
}

func (n *node) estimateMs(js *jobState, t *task) int64 {
	if js.Steps[t.Step].Alike && t.HintMs > 0 {
		percent := 100.0
		if e := n.estimates[js.Queue+"/%"]; e != nil {
			percent = e.meanMs
		}
		return max(int64(float64(t.HintMs)*percent/100), 1)
	}
	if e := n.estimates[js.Queue+"/"+t.Name]; e != nil {
		return int64(e.meanMs)
	}
	if t.HintMs > 0 {
		return t.HintMs
	}
	return min(5000, t.LimitMs) // nothing known yet
}

// recordRunTime takes one run's time: into its name's mean, or into how far the guesses
// of its queue are off, in percent.
func (n *node) recordRunTime(js *jobState, t *task, ranMs int64) {
	if ranMs <= 0 {
		return // nobody saw how long it took
	}
	if js.Steps[t.Step].Alike && t.HintMs > 0 {
		n.learnRunTime(js.Queue, "%", min(100*ranMs/t.HintMs, 1000))
		return
	}
	n.learnRunTime(js.Queue, t.Name, ranMs)
}

// learnRunTime takes one run's time into the mean of its queue's task name.
func (n *node) learnRunTime(queue, name string, ranMs int64) {
	e := n.estimateOf(queue+"/"+name, float64(ranMs))
	e.meanMs += 0.2 * (float64(ranMs) - e.meanMs) // an even memory of about the last ten runs
	e.usedMs, e.told = n.now, false
}

// estimateOf gives an estimate, made with a first mean where there is none; the
// longest unused one makes room.
func (n *node) estimateOf(key string, meanMs float64) *estimate {
	e := n.estimates[key]
	if e == nil {
		if len(n.estimates) >= learnedMax {
			oldest, usedMs := "", int64(0)
			for k, o := range n.estimates {
				if oldest == "" || o.usedMs < usedMs || o.usedMs == usedMs && k < oldest {
					oldest, usedMs = k, o.usedMs
				}
			}
			delete(n.estimates, oldest)
		}
		e = &estimate{meanMs: meanMs}
		n.estimates[key] = e
	}
	return e
}

// tickEstimates tells all daemons what this one learned since the last round, so
// that estimates outlive their owner: whoever takes a slice has them.
func (n *node) tickEstimates() {
	if n.now < n.learnedAt || len(n.owned) == 0 {
		return
	}
	n.learnedAt = n.now + rankMs
	m := &wire.Estimates{}
	for _, key := range sorted(n.estimates) {
		if e := n.estimates[key]; !e.told && len(m.Means) < learnedTell {
			e.told = true
			m.Means = append(m.Means, wire.Estimate{Key: key, MeanMs: e.meanMs})
		}
	}
	if len(m.Means) == 0 {
		return
	}
	for _, name := range n.peers.AliveNames() {
		if name != n.Name {
			n.send(name, m)
		}
	}
}

func (n *node) onEstimates(_ string, m *wire.Estimates) {
	for _, v := range m.Means {
		if e := n.estimateOf(v.Key, v.MeanMs); n.now-e.usedMs > rankStaleMs { // what was seen here itself lately counts more
			e.meanMs, e.told = v.MeanMs, true
		}
	}
}

// allowed tells whether a task may go to a worker now, as far as is known here.
func (n *node) allowed(w *workerView, q *configuration.Queue, needs []wire.Label, room resource.Amount) bool {
	_, lack := configuration.MissingLabel(w.labels, needs)
	return n.now-w.heardMs < contactMs && w.rebuilt && w.fresh && !w.leaving && !n.config.current.EmptyZones[w.site] &&
		room.Fits(w.capacity) && !lack && q.Matches(w.labels, w.site)
}

// freeAt is the room of a worker that nothing known here takes: what its agent
// holds for other slices, and all that this slice has placed there.
func (n *node) freeAt(sl *shard, name string, w *workerView) resource.Amount {
	return w.capacity.Minus(w.otherShards[sl.name]).Minus(sl.load[name])
}

// usedBy counts the tasks of a task's step and round by worker.
func (js *jobState) usedBy(i int) map[string]int32 {
	used := map[string]int32{}
	from, to := js.gangRange(i)
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
func (n *node) selectWorker(sl *shard, js *jobState, i int) string {
	t := &js.Tasks[i]
	st := &js.Steps[t.Step]
	q := n.config.current.Queues[js.Queue]
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
		if n.allowed(w, q, t.Needs, t.Resources) && (st.PerWorker == 0 || used[name] < st.PerWorker) {
			list = append(list, ranked{name, n.ranks.of(n, name), w})
		}
	}
	pinned := slices.ContainsFunc(list, func(r ranked) bool { return r.w.colocated })
	for _, shun := range []func(ranked) bool{ // as long as others are left
		func(r ranked) bool { return n.ranks.unhealthy[r.name] != 0 || r.w.suspect },
		func(r ranked) bool { return r.name == t.Last },
		func(r ranked) bool { return pinned && !t.Resources.Fits(n.freeAt(sl, r.name, r.w)) },
		func(r ranked) bool {
			return pinned && !t.Resources.Fits(n.freeAt(sl, r.name, r.w).Plus(n.batchLoad(sl, "", r.name)))
		},
		func(r ranked) bool { return st.Near != "" && r.w.rack != st.Near },
	} {
		if left := slices.DeleteFunc(slices.Clone(list), shun); len(left) > 0 {
			list = left
		}
	}
	// The agents' queues are bounded, and so is what is sent to them.
	list = slices.DeleteFunc(list, func(r ranked) bool { return n.workers[r.name].queued >= agentQueueMax/2 })
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

func (n *node) placeTask(sl *shard, js *jobState, i int, worker string, class wire.TaskClass) {
	t := &js.Tasks[i]
	n.markDirty(sl, js)
	t.State, t.Class, t.Worker, t.Agent, t.AgentEpoch, t.ChangedIn = taskPlaced, class, worker, n.workers[worker].agent, n.workers[worker].epoch, js.Version
	t.Attempt++
	sl.indexTask(js, i)
	n.workers[worker].queued++ // until its agent's next word
	if class == wire.ClassQueueable {
		n.ranks.add(worker, n.estimateMs(js, t))
	}
	js.runtime[i] = taskRuntime{}
	n.count("placements_" + class.String())
}

func (n *node) sendPlacement(sl *shard, js *jobState, i int) {
	t := &js.Tasks[i]
	w := n.workers[t.Worker]
	if w == nil || w.epoch != t.AgentEpoch || !n.leases.Holds(lease.ShardRole(sl.name)) {
		return
	}
	js.runtime[i].sentMs, js.runtime[i].echoMs = n.now, w.echoMs
	n.send(w.agent, &wire.Placement{Worker: t.Worker, AgentEpoch: t.AgentEpoch, SliceEpoch: sl.epoch, EchoMs: w.echoMs, Spec: n.specOf(sl, js, i)})
}

// specOf is what an agent must know of a placed task.
func (n *node) specOf(sl *shard, js *jobState, i int) wire.TaskSpec {
	t := &js.Tasks[i]
	return wire.TaskSpec{
		Key: wire.AttemptKey{Job: js.ID, Task: js.taskID(i), Attempt: t.Attempt}, Shard: sl.name, Queue: js.Queue, Name: t.Name, Class: t.Class, Resources: t.Resources,
		Needs: t.Needs, SubmittedMs: js.SubmitMs, EstimateMs: n.estimateMs(js, t), LimitMs: t.LimitMs, Payload: t.Payload, Saved: t.Saved,
		Gang: js.Steps[t.Step].Gang, Lasting: js.Steps[t.Step].Lasting, Saves: js.Steps[t.Step].Saves, PerWorker: js.Steps[t.Step].PerWorker}
}

// requestAllocation asks for a firm place for a task; where tasks of its step are alike,
// for all of them that wait now, and for a gang once nobody of it is placed.
func (n *node) requestAllocation(sl *shard, js *jobState, i int) {
	to, _ := n.leases.Holder(lease.Central)
	if to == "" {
		return
	}
	t := &js.Tasks[i]
	st := &js.Steps[t.Step]
	m := &wire.AllocationRequest{Shard: sl.name, Job: js.ID, Queue: js.Queue, Resources: t.Resources, Needs: t.Needs, SubmittedMs: js.SubmitMs, Avoid: t.Last,
		Gang: st.Gang, SameRack: st.SameRack, Near: st.Near, PerWorker: st.PerWorker, EstimateMs: n.estimateMs(js, t)}
	from, to_ := i, i+1
	if st.Alike {
		from, to_ = js.gangRange(i)
	}
	attempt := int32(0)
	for k := from; k < to_; k++ {
		o := &js.Tasks[k]
		if st.Gang && (o.State != taskPending || o.ChangedIn > js.committed || n.now < js.runtime[k].retryMs) {
			return
		}
		attempt = max(attempt, o.Attempt+1)
	}
	for k := from; k < to_; k++ {
		o, rt := &js.Tasks[k], &js.runtime[k]
		if o.State != taskPending || o.ChangedIn > js.committed || n.now < rt.retryMs || k != i && n.classify(js, o) != wire.ClassGuaranteed {
			continue
		}
		rt.allocationMs = n.now
		next := o.Attempt + 1
		if st.Gang {
			next = attempt
		}
		m.Tasks = append(m.Tasks, wire.RequestedTask{Task: js.taskID(k), Attempt: next})
	}
	if st.PerWorker > 0 {
		used := js.usedBy(i)
		for _, w := range sorted(used) {
			m.Used = append(m.Used, wire.WorkerUse{Worker: w, Count: used[w]})
		}
	}
	n.send(to, m)
}

// onAllocation takes firm places from the central scheduler; a gang's all or none.
func (n *node) onAllocation(_ string, m *wire.Allocation) {
	sl := n.owned[m.Shard]
	if sl == nil || !n.leases.Holds(lease.ShardRole(m.Shard)) {
		return
	}
	js := sl.jobs[m.Job]
	if js == nil || js.State != jobRunning {
		return
	}
	q := n.config.current.Queues[js.Queue]
	good := func(p wire.AllocatedTask) (int, bool) {
		i, _, ok := js.position(p.Task)
		w := n.workers[p.Worker]
		if !ok || w == nil || q == nil {
			return 0, false
		}
		t := &js.Tasks[i]
		return i, t.State == taskPending && p.Attempt > t.Attempt && t.ChangedIn <= js.committed && n.allowed(w, q, t.Needs, t.Resources)
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
		n.placeTask(sl, js, i, p.Worker, wire.ClassGuaranteed)
		js.Tasks[i].Attempt = p.Attempt
	}
}

// resolveAttempt applies how an attempt ended to its task.
func (n *node) resolveAttempt(sl *shard, js *jobState, i int, result wire.AttemptResult, ranMs int64) {
	t, rt := &js.Tasks[i], &js.runtime[i]
	st := &js.Steps[t.Step]
	n.markDirty(sl, js)
	t.ChangedIn, t.RanMs = js.Version, ranMs
	n.meterBatch(js, t, ranMs)
	n.count("ends_" + result.String())
	if rt.saved != "" {
		t.Saved = rt.saved
	}
	*rt = taskRuntime{}
	defer sl.indexTask(js, i)
	switch result {
	case wire.ResultOK:
		n.recordRunTime(js, t, ranMs)
		if st.Lasting {
			rt.retryMs = n.now + backoffMs/2
			break
		}
		t.State, t.Cause = taskEnded, ""
		if st.Gang {
			n.endGang(sl, js, i)
		}
		return
	case wire.ResultFailed, wire.ResultOverrun:
		t.Last, t.Cause = t.Worker, result.String()
		if !n.countFailure(js, i) {
			break
		}
		wait := int64(backoffMs) << min(t.Failures-1, 10)
		rt.retryMs = n.now + min(wait, backoffMax)
		if st.Alike { // of many tasks alike some fail; the next try is elsewhere
			rt.retryMs = n.now + min(wait/4, backoffMs)
		}
	case wire.ResultPreempted:
		t.Preempts++
		rt.retryMs = n.batchBack(js)
	case wire.ResultStalled, wire.ResultLost:
		t.Last = t.Worker
	case wire.ResultShed, wire.ResultRejected:
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
			n.cancelTasks(sl, js)
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
	from, to := js.gangRange(i)
	for k := from; k < to; k++ {
		js.Tasks[k].Failures++
		js.Tasks[k].FailedRun = t.Attempt
	}
	return true
}

// endGang takes one member's good end for all of its run.
func (n *node) endGang(sl *shard, js *jobState, i int) {
	from, to := js.gangRange(i)
	for k := from; k < to; k++ {
		if o := &js.Tasks[k]; k != i && o.Attempt == js.Tasks[i].Attempt && o.State != taskEnded {
			o.State, o.Cause, o.ChangedIn = taskEnded, "", js.Version
			js.runtime[k] = taskRuntime{}
			sl.indexTask(js, k)
		}
	}
}

// shareSaved gives all members of a gang the newest saved text of one of them:
// they must go on from the same.
func (n *node) shareSaved(js *jobState, i int) {
	from, to := js.gangRange(i)
	saved := js.Tasks[i].Saved
	for k := from; k < to; k++ {
		js.Tasks[k].Saved = saved
	}
}

// onSync takes an agent's word on all it holds, settles what it says ended,
// and answers what it may go on with.
func (n *node) onSync(from string, m *wire.AgentReport) {
	w := n.workers[m.Worker]
	if w == nil {
		w = &workerView{}
		n.workers[m.Worker] = w
	}
	if m.Epoch < w.epoch {
		return // an agent whose time is over
	}
	if m.Epoch > w.epoch || m.SentMs > w.echoMs {
		others, batch := w.otherShards, w.batch
		if others == nil || m.Epoch > w.epoch {
			others, batch = map[string]resource.Amount{}, map[string][]wire.QueueUse{}
		}
		*w = workerView{agent: from, epoch: m.Epoch, echoMs: m.SentMs, heardMs: n.now, site: m.Zone, labels: m.Labels, leaving: m.Leaving,
			rebuilt: m.Rebuilt, fresh: m.Fresh, free: m.Free, capacity: m.Capacity, queued: m.Queued, rankMs: m.RankMs, silentMs: m.SilentMs,
			otherShards: others, batch: batch, waiting: m.Waiting, spare: w.spare.with(n.now, m.Spare), rack: m.Rack, suspect: m.Suspect, colocated: m.Colocated}
	}
	if m.Epoch == w.epoch && m.Shard != "" {
		w.otherShards[m.Shard], w.batch[m.Shard] = m.Others, m.Batch
	}
	if m.Shard == "" {
		n.syncCentral(from, m)
		return
	}
	sl := n.owned[m.Shard]
	if sl == nil || !sl.serving || !n.leases.Holds(lease.ShardRole(m.Shard)) {
		return
	}
	ack := &wire.OwnerReply{Worker: m.Worker, Epoch: m.Epoch, Shard: m.Shard, SliceEpoch: sl.epoch, SentMs: m.SentMs}
	listed := map[wire.AttemptKey]bool{}
	for _, h := range m.Attempts {
		listed[h.Key] = true
		if v := n.decideAttempt(sl, m, h); v != 0 {
			ack.Decisions = append(ack.Decisions, wire.AttemptDecision{Key: h.Key, Decision: v})
			if js := sl.jobs[h.Key.Job]; js != nil && h.Unknown && v == wire.DecisionKeep {
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
		if t.ChangedIn > js.committed || listed[wire.AttemptKey{Job: at.job, Task: at.task, Attempt: t.Attempt}] {
			continue
		}
		switch {
		case m.Epoch > t.AgentEpoch && m.Rebuilt:
			// The new agent has the worker's own word, begun after the
			// last order of the old one could arrive.
			n.resolveAttempt(sl, js, i, wire.ResultLost, 0)
		case m.Epoch == t.AgentEpoch && js.State != jobRunning:
			// Given up: once no placement of it, ours or a former
			// owner's, is fresh enough to be taken, it never starts.
			if n.now-sl.startMs > 2*contactMs && m.SentMs-js.runtime[i].echoMs > 2*contactMs {
				n.resolveAttempt(sl, js, i, wire.ResultRejected, 0)
			}
		case m.Epoch == t.AgentEpoch && n.now-js.runtime[i].sentMs > 2*syncMs:
			n.sendPlacement(sl, js, i)
		}
	}
	n.resolveReplaced(sl, m)
	n.send(from, ack)
}

// counted tells whether an end is the one that stands for its task, or a failure
// that was counted.
func (t *task) counted(h wire.AttemptStatus) bool {
	return h.Result == wire.ResultOK && h.Key.Attempt == t.Attempt && t.State == taskEnded || h.Result == wire.ResultFailed && h.Key.Attempt == t.FailedRun
}

// decideAttempt gives the owner's verdict on one attempt an agent holds.
func (n *node) decideAttempt(sl *shard, m *wire.AgentReport, h wire.AttemptStatus) wire.Decision {
	js := sl.jobs[h.Key.Job]
	over := func() wire.Decision { // nothing of it is wanted
		if h.State == wire.AttemptEnded {
			return wire.DecisionAcknowledged
		}
		return wire.DecisionDrop
	}
	if js == nil && h.State == wire.AttemptEnded && h.Late {
		return n.decideLateEnd(sl, h.Key)
	}
	if js == nil {
		if j := sl.finished[h.Key.Job]; j != nil && h.State == wire.AttemptEnded {
			if i, _, ok := j.position(h.Key.Task); ok && j.Tasks[i].counted(h) {
				return wire.DecisionCounted
			}
		}
		return over()
	}
	i, _, ok := js.position(h.Key.Task)
	if !ok && h.State == wire.AttemptEnded && !js.abandoned(h.Key) {
		return wire.DecisionCounted
	}
	if !ok { // no such task, or its round is over
		return over()
	}
	t, rt := &js.Tasks[i], &js.runtime[i]
	if js.committed == 0 {
		return 0
	}
	if h.Key.Attempt > t.Attempt {
		n.log("attempt_unknown", "job", js.ID, "task", h.Key.Task, "attempt", h.Key.Attempt, "known", t.Attempt)
		return wire.DecisionDrop
	}
	late := h.State == wire.AttemptEnded && (h.Result == wire.ResultOK || h.Result == wire.ResultFailed && t.FailedRun != t.Attempt) &&
		h.Key.Attempt == t.Attempt && t.State == taskPending && js.State == jobRunning && (!js.Steps[t.Step].Gang || js.notRestartedSince(i))
	if (h.Key.Attempt < t.Attempt || t.State != taskPlaced) && !late {
		if h.State != wire.AttemptEnded {
			return wire.DecisionDrop
		}
		if t.ChangedIn > js.committed {
			return 0
		}
		if !t.counted(h) && js.abandoned(h.Key) {
			return wire.DecisionAcknowledged
		}
		return wire.DecisionCounted
	}
	if h.State == wire.AttemptRunning && rt.runMs == 0 {
		rt.runMs = n.now
	}
	rt.state = h.State
	if h.Saved != "" {
		rt.saved = h.Saved
	}
	if h.State == wire.AttemptEnded {
		if late { // given up, but nothing was started since: it counts
			js.Abandoned = slices.DeleteFunc(js.Abandoned, func(g abandonedRun) bool { return g == abandonedRun{h.Key.Task, h.Key.Attempt} })
		}
		n.resolveAttempt(sl, js, i, h.Result, h.RanMs)
		return 0 // acknowledged once it is committed
	}
	if js.State != jobRunning || js.Steps[t.Step].Gang && !js.gangComplete(i) {
		return wire.DecisionDrop
	}
	if t.Class == wire.ClassQueueable && h.Class == wire.ClassGuaranteed {
		t.Class = wire.ClassGuaranteed // promoted; kept with the next write
	}
	if t.ChangedIn > js.committed {
		return 0
	}
	if m.Colocated && h.State == wire.AttemptQueued && h.Class == wire.ClassQueueable && n.now-rt.sentMs > recallMs && n.roomElsewhere(sl, js, i) {
		return wire.DecisionRecall
	}
	return wire.DecisionKeep
}

// notRestartedSince tells whether no member of a task's gang was placed again after its run.
func (js *jobState) notRestartedSince(i int) bool {
	from, to := js.gangRange(i)
	for k := from; k < to; k++ {
		if js.Tasks[k].Attempt != js.Tasks[i].Attempt {
			return false
		}
	}
	return true
}

// abandoned tells whether a run was given up since its worker was silent.
func (j *job) abandoned(k wire.AttemptKey) bool {
	return slices.Contains(j.Abandoned, abandonedRun{k.Task, k.Attempt})
}

// decideLateEnd says of a late end of a job that is over whether another run took
// its place: the job's record tells, which is read first where it isn't at hand.
func (n *node) decideLateEnd(sl *shard, k wire.AttemptKey) wire.Decision {
	switch j := sl.finished[k.Job]; {
	case j != nil && j.abandoned(k): // unless it was taken after all, before anything else was started
		return wire.DecisionAcknowledged
	case j != nil || sl.absent[k.Job]:
		return wire.DecisionCounted
	case n.now-sl.lateMs[k.Job] > forwardMs && len(sl.fetches) < allocateNowMax:
		sl.lateMs[k.Job] = n.now
		n.fetchRecord(sl, &fetchOp{id: k.Job})
	}
	return 0
}

// roomElsewhere tells whether another worker than its own could start a waiting
// task at once.
func (n *node) roomElsewhere(sl *shard, js *jobState, i int) bool {
	t := &js.Tasks[i]
	q := n.config.current.Queues[js.Queue]
	if q == nil || js.Steps[t.Step].PerWorker > 0 {
		return false
	}
	for name, w := range n.workers {
		if name != t.Worker && !w.suspect && n.ranks.unhealthy[name] == 0 && n.allowed(w, q, t.Needs, t.Resources) && t.Resources.Fits(n.freeAt(sl, name, w)) {
			return true
		}
	}
	return false
}

// resolveReplaced settles what stood at workers whose place another worker has taken
// since: its beats come from the same machine, to a later life of the same agent.
func (n *node) resolveReplaced(sl *shard, m *wire.AgentReport) {
	if !m.Colocated || !m.Rebuilt {
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
			if js.Tasks[i].ChangedIn <= js.committed {
				n.count("replaced_settled")
				n.resolveAttempt(sl, js, i, wire.ResultLost, 0)
			}
		}
	}
}
