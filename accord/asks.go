package main

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// ask is one thing a caller, worker or operator wants, at the daemon that got
// it or handed over to the one that can settle it.
type ask struct {
	id     uint64
	origin string // "" when it came by HTTP here
	life   uint64 // of the origin's process: no later one is answered
	hop    int32
	op     string
	key    string
	body   []byte
	atMs   int64
	polls  uint64    // sent here before it came: only a later one confirms a setup for it
	setup  *compiled // of the body, where it is known to be sound
	host   string    // with path, the address a caller used
	path   string
	expect int64  // the version a setup builds on; -1 for one less than its own
	digest []byte // SHA-256 of an operator's order as it was sent, where that isn't the setup itself
	queue  string // the queue that the address belongs to
	unsure bool   // it may have been done: handed over and not answered, or under way here
	byAddr bool   // it came with an address: an unknown job is told apart from an unknown queue
}

type pendingAsk struct {
	ask     *ask
	to      string
	limitMs int64
}

var mappings map[string]func(*node, *ask)

func init() {
	mappings = map[string]func(*node, *ask){
		"job.put": (*node).mapJob, "job.get": (*node).mapJob, "job.cancel": (*node).mapJob,
		"worker.report": (*node).mapReport, "worker.beat": (*node).takeBeat, "worker.gone": (*node).workerGone, "worker.lost": (*node).mapLost,
		"queue.submit": (*node).resolveAddress, "queue.state": (*node).resolveAddress, "queue.cancel": (*node).resolveAddress,
		"job.state": (*node).mapJob,
		"setup.put": (*node).putSetup, "setup.taken": (*node).findOrder, "setup.get": (*node).getSetup,
		"setup.where": (*node).whereSetup, "site.empty": (*node).setSite, "site.open": (*node).setSite, "ready": (*node).getReady,
		"members": (*node).getMembers, "workers": (*node).getWorkers, "soundness": (*node).getSoundness,
	}
}

// mapSetups are the calls of operators, who turn to another daemon after a second.
var mapSetups = map[string]bool{"setup.put": true, "setup.taken": true, "site.empty": true, "site.open": true}

// budget bounds what this daemon does beyond the first try, for all asks
// together: under a crowd that sends again and again the fleet's own work must
// not grow with what it gives up on.
type budget struct{ left int64 }

func (b *budget) earn(v int64) { b.left = min(b.left+v, budgetMost*againShare) }

// spend takes one try, if one is left.
func (b *budget) spend() bool {
	if b.left < againShare {
		return false
	}
	b.left -= againShare
	return true
}

func (n *node) onAsk(e evAsk) {
	if len(n.asks) >= asksMax {
		n.count("asks_bounced")
		n.emit(effReply{ID: e.ID, Status: 429, RetryMs: 1000, Body: jsonOf(map[string]any{"error": "too many asks in flight here"})})
		return
	}
	n.count("asks_in")
	n.again.earn(1)
	n.settleAsk(&ask{atMs: n.now, polls: n.poll.seq, id: e.ID, op: e.Op, key: e.Key, body: e.Body, setup: e.Ready, host: e.Host, path: e.Path, expect: e.Expect, digest: e.Digest})
}

func (n *node) onHandedOver(from string, m *askMsg) {
	body, ok := m.Body, true
	if mapSetups[m.Op] {
		if body, ok = inflate(m.Body); !ok {
			return
		}
	}
	n.settleAsk(&ask{atMs: n.now, polls: n.poll.seq, id: m.ID, origin: from, life: n.sender.life, hop: m.Hop, op: m.Op, key: m.Key, body: body, queue: m.Queue, expect: m.Expect, digest: m.Digest})
}

func (n *node) settleAsk(a *ask) {
	op, ok := mappings[a.op]
	if !ok {
		n.answer(a, 404, 0, jsonOf(map[string]any{"error": "no such ask"}))
		return
	}
	op(n, a)
}

func (n *node) answer(a *ask, status int, retryMs int64, body []byte) {
	if status >= 400 {
		n.count("asks_bounced")
	}
	if a.outcomeUnknown(status) {
		status, body = 504, jsonOf(map[string]any{"error": "outcome unknown: send the same call again"})
	}
	if a.byAddr && a.origin == "" && status == 404 && a.queue != "" {
		status, body = 410, jsonOf(map[string]any{"missing": "job", "error": "no such job"})
	}
	m := answerMsg{ID: a.id, Status: int32(status), RetryMs: retryMs, Body: body}
	if a.origin == "" {
		n.reply(a.id, m)
		return
	}
	n.respond(peerLife{a.origin, a.life}, &m)
}

// outcomeUnknown tells that a refusal can't be passed on as it is: an earlier try
// of this call may have been done all the same. "Not taken" is only said when
// it is surely so. That another job has the id stands, whoever says so.
func (a *ask) outcomeUnknown(status int) bool {
	if a.queue == "" || !a.unsure {
		return false
	}
	switch a.op {
	case "job.put":
		return status == 503 || status == 429 || status == 404 || status == 400
	case "job.cancel":
		return status == 503 || status == 429
	}
	return false
}

func (n *node) bounce(a *ask, reason string) {
	n.answer(a, 503, 1000, jsonOf(map[string]any{"error": reason}))
}

func (n *node) answerFaults(a *ask, status int, retryMs int64, faults []fault) {
	n.answer(a, status, retryMs, faultsBody(faults))
}

func faultsBody(faults []fault) []byte {
	return jsonOf(map[string]any{"error": faults[0].Path + " " + faults[0].Reason, "faults": faults})
}

// handOver passes an ask on, once per daemon and at most hopMax times; an
// answer that does not come is given up on long before the caller's limit.
func (n *node) handOver(a *ask, to string) {
	if a.hop >= hopMax || to == n.Name || to == "" || !n.live(to) {
		n.giveUpOn(a, "nobody surely settles this now")
		return
	}
	if a.hop > 0 && a.op != "worker.report" { // a second time; reports are few and feed everything
		if !n.again.spend() {
			n.bounce(a, "nobody surely settles this now")
			return
		}
		n.count("asks_again")
	}
	n.askSeq++
	limitMs, body := n.now+handOverMs, a.body
	if mapSetups[a.op] {
		limitMs, body = n.now+setupHandMs, deflate(a.body)
	}
	n.asks[n.askSeq] = &pendingAsk{ask: a, to: to, limitMs: limitMs}
	n.count("asks_handed_over")
	n.send(to, &askMsg{ID: n.askSeq, Origin: n.Name, Hop: a.hop + 1, WaitMs: handOverMs, Op: a.op, Key: a.key, Body: body, Queue: a.queue, Expect: a.expect, Digest: a.digest})
}

func (n *node) onAnswer(from string, m *answerMsg) {
	p := n.asks[m.ID]
	if p == nil || p.to != from { // given up on, or handed to another since
		n.count("late_answers")
		return
	}
	delete(n.asks, m.ID)
	n.answer(p.ask, int(m.Status), m.RetryMs, m.Body)
}

// askAgain settles anew what waits for a daemon that has lost its duty.
func (n *node) askAgain(to string) {
	for _, id := range sorted(n.asks) {
		if p := n.asks[id]; p.to == to && to != "" && n.again.spend() {
			delete(n.asks, id)
			p.ask.unsure = true
			n.count("asks_again")
			n.settleAsk(p.ask)
		}
	}
}

func (n *node) tickAsks() {
	n.again.earn(againTick * againShare)
	n.fresh.earn(readsTick * againShare)
	for _, id := range sorted(n.asks) {
		if p := n.asks[id]; n.unanswered(p) {
			delete(n.asks, id)
			p.ask.unsure = true
			n.giveUpOn(p.ask, "the daemon that settles this did not answer")
		}
	}
	for _, id := range sorted(n.reads) {
		if r := n.reads[id]; n.now >= r.limitMs || n.cutOff() {
			delete(n.reads, id)
			n.bounce(r.ask, "neither the owner nor the core answered")
		}
	}
}

// giveUpOn is for asks that no owner settles now: a job's state can still be
// had from the core, anything else is bounced.
func (n *node) giveUpOn(a *ask, reason string) {
	if a.op != "job.get" && a.op != "job.state" || len(n.core.Members) == 0 || n.cutOff() || !n.fresh.spend() {
		n.bounce(a, reason)
		return
	}
	n.opSeq++
	n.reads[n.opSeq] = &coreRead{ask: a, got: map[string]record{}, limitMs: n.now + readMs}
	for _, m := range n.core.Members {
		n.send(m.Name, &fetchMsg{CoreVer: n.core.Version, Op: n.opSeq, Slice: n.sliceOf(a.key), IDs: []string{a.key}})
	}
}

// coreRead is a job's state on its way from the core, while no owner tells it.
type coreRead struct {
	ask     *ask
	got     map[string]record
	limitMs int64
}

// onRead answers with what a majority holds: of two members' words the lower
// version, for the higher may yet be lost. Absence it does not tell: only an
// owner can say that a job is unknown.
func (n *node) onRead(r *coreRead, op uint64, from string, records []record) {
	var rec record
	if len(records) == 1 {
		rec = records[0]
	}
	r.got[from] = rec
	need := n.core.majority()
	if len(r.got) < need {
		return
	}
	all := make([]record, 0, len(r.got))
	for _, rec := range r.got {
		all = append(all, rec)
	}
	slices.SortFunc(all, func(a, b record) int { return cmp.Or(cmp.Compare(b.Epoch, a.Epoch), cmp.Compare(b.Version, a.Version)) })
	if j, ok := jobOf(all[need-1]); ok {
		delete(n.reads, op)
		n.count("states_from_core")
		if r.ask.queue != "" && j.Queue != r.ask.queue {
			n.answer(r.ask, 404, 0, jsonOf(map[string]any{"error": "no such job"}))
			return
		}
		if r.ask.op == "job.state" {
			n.answer(r.ask, 200, 0, jsonOf(map[string]any{"state": (&jobState{job: *j, run: make([]taskState, len(j.Tasks))}).brief()}))
			return
		}
		n.answer(r.ask, 200, 0, jsonOf(j.view(func(t *task) string {
			if t.State == taskPending || t.State == taskPlaced {
				return "its slice is being taken over"
			}
			return ""
		})))
	} else if len(r.got) == len(n.core.Members) {
		delete(n.reads, op)
		n.bounce(r.ask, "no owner settles this now, and a majority of the core does not know it")
	}
}

// sliceOf decides which slice owns a job: callers never name one.
func (n *node) sliceOf(id string) string {
	if len(n.core.Slices) == 0 {
		return ""
	}
	return rendezvous(id, n.core.Slices)[0]
}

func (n *node) mapJob(a *ask) {
	name := n.sliceOf(a.key)
	if name == "" {
		n.bounce(a, "no cluster yet")
		return
	}
	n.mapSlice(a, name)
}

func (n *node) mapSlice(a *ask, name string) {
	if sl := n.owned[name]; sl != nil && n.holds("slice/"+name) {
		if !sl.serving {
			n.giveUpOn(a, "the slice is being taken over")
			return
		}
		op := jobOps[a.op]
		if op == nil {
			n.answer(a, 404, 0, jsonOf(map[string]any{"error": "no such ask"}))
			return
		}
		op(n, sl, a)
		return
	}
	to, _ := n.holder("slice/" + name)
	n.handOver(a, to)
}

func (n *node) mapLost(a *ask) {
	slice, _, ok := strings.Cut(a.key, "/")
	if !ok {
		n.answer(a, 404, 0, jsonOf(map[string]any{"error": "no such slice"}))
		return
	}
	n.mapSlice(a, slice)
}

// putSetup has a whole setup accepted. Only the register can say whether it was
// accepted before, or lost: what this daemon itself knows may be old.
func (n *node) putSetup(a *ask) {
	if !n.inContact() {
		n.bounce(a, "the core can't be reached from here")
		return
	}
	if a.setup == nil {
		var faults []fault
		if a.setup, faults = checkSetup(a.key, a.body); len(faults) > 0 {
			n.answerFaults(a, 400, 0, faults)
			return
		}
	}
	id, faults := orderOf(a)
	if len(faults) > 0 {
		n.answerFaults(a, 400, 0, faults)
		return
	}
	if n.handToCore(a) {
		return
	}
	o := n.startCas("setup", "setup", a.body, 0)
	o.order, o.ask = id, a
}

// handToCore passes a change of the setup on to a core member that answers
// polls, the own site's first: a machine without a disk may have a thin line,
// and a change takes the whole document to and from each member.
func (n *node) handToCore(a *ask) bool {
	best := n.nearMember()
	if best == "" || a.hop > 0 {
		return false
	}
	n.handOver(a, best)
	return true
}

// nearMember gives a core member that answers polls, the own site's first; none
// where this daemon is one itself.
func (n *node) nearMember() (best string) {
	if n.inCore() {
		return ""
	}
	for _, m := range memberNames(n.core) {
		if n.live(m) && n.now-n.poll.heardMs[m] < 2*pollAsideMs && (best == "" || n.siteOf(m) == n.Site && n.siteOf(best) != n.Site) {
			best = m
		}
	}
	return best
}

// whereSetup names the machine that a setup is best read from, where it is another.
func (n *node) whereSetup(a *ask) {
	host, _, _ := net.SplitHostPort(n.addrOf(n.nearMember()))
	n.answer(a, 200, 0, jsonOf(map[string]any{"host": host}))
}

// setSite empties a site or opens it again, beside the document.
func (n *node) setSite(a *ask) {
	if !nameOK(a.key) {
		n.answerFaults(a, 400, 0, []fault{{"site", "must be a name"}})
		return
	}
	if !n.inContact() {
		n.bounce(a, "the core can't be reached from here")
		return
	}
	if !n.handToCore(a) {
		n.startCas("setup", strings.TrimPrefix(a.op, "site."), []byte(a.key), 0).ask = a
	}
}

// addressOps are what calls at a queue's address ask of a job's owner.
var addressOps = map[string]string{"queue.submit": "job.put", "queue.state": "job.state", "queue.cancel": "job.cancel"}

// resolveAddress finds the queue that an address belongs to, by the setup that a
// majority confirmed lately. That an address belongs to none is only said by
// a setup confirmed after the call came.
func (n *node) resolveAddress(a *ask) {
	c := n.setup.cur
	if c.Version == 0 {
		n.bounce(a, "no setup yet")
		return
	}
	queue, id, ok := c.resolve(a.host, a.path)
	switch {
	case !ok && n.setupConfirmedFor(a):
		n.answer(a, 404, 0, jsonOf(map[string]any{"missing": "queue", "error": "no queue has this address"}))
		return
	case !ok || !n.setupFresh():
		n.holdUnsure(a, "the setup is not confirmed here")
		return
	}
	a.queue, a.byAddr, a.key = queue, true, id
	switch {
	case id == "" && a.op == "queue.state":
		n.answer(a, 200, 0, jsonOf(map[string]any{"waiting": n.waitingIn(queue)}))
	case !nameOK(id):
		n.answer(a, 404, 0, nil)
	default:
		a.op = addressOps[a.op]
		n.settleAsk(a)
	}
}

// holdUnsure keeps an ask until a newer confirmation of the setup, for a while,
// where one may still come.
func (n *node) holdUnsure(a *ask, reason string) {
	if n.cutOff() || len(n.setup.unsure) >= asksMax {
		n.bounce(a, reason)
		return
	}
	n.setup.unsure = append(n.setup.unsure, a)
	n.poll.nextMs = min(n.poll.nextMs, n.poll.lastMs+tickMs) // at the next tick, if none is on its way
}

// notReady says why this daemon should get no callers; "" if it should.
func (n *node) notReady() string {
	switch {
	case n.core.Cluster == 0:
		return "no cluster yet"
	case n.leaving != 0:
		return "this daemon is stopping"
	case n.now-n.poll.okMs > contactMs:
		return "the core can't be reached from here"
	case n.setup.cur.Version == 0:
		return "no setup yet"
	case !n.setupFresh():
		return "the setup is not confirmed here"
	}
	for _, s := range n.core.Slices {
		if h, _ := n.holder("slice/" + s); h == "" {
			return "slice " + s + " has no holder"
		}
	}
	return ""
}

func (n *node) getReady(a *ask) {
	if reason := n.notReady(); reason != "" {
		n.bounce(a, reason)
		return
	}
	n.answer(a, 200, 0, jsonOf(map[string]any{"ready": true}))
}

// getSetup tells a setup that was confirmed after it was asked for, so that
// nobody reads an older one than was acknowledged before.
func (n *node) getSetup(a *ask) {
	if !n.setupConfirmedFor(a) {
		n.holdUnsure(a, "the setup is not confirmed here")
		return
	}
	past := make([]map[string]any, 0, len(n.setup.doc.Past))
	for _, p := range n.setup.doc.Past {
		past = append(past, map[string]any{"version": p.Version, "digest": p.Digest, "queues": p.Queues, "bytes": p.Bytes, "at_ms": p.AtMs})
	}
	emptied := n.setup.doc.Emptied
	if emptied == nil {
		emptied = []string{}
	}
	plain, _ := inflate(n.setup.doc.Doc)
	doc := string(plain)
	if doc == "" {
		doc = "null"
	}
	n.answer(a, 200, 0, jsonOf(map[string]any{"version": n.setup.doc.Version, "setup": rawJSON(doc), "emptied": emptied, "history": past}))
}

type rawJSON string

func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

func (n *node) getMembers(a *ask) {
	var list []map[string]any
	for _, name := range append([]string{n.Name}, sorted(n.siblings)...) {
		s, ago := n.self(), int64(0)
		if name != n.Name {
			s, ago = n.siblings[name].sibling, n.now-n.siblings[name].heardMs
		}
		list = append(list, map[string]any{"name": s.Name, "site": s.Site, "addr": s.Addr, "http": s.HTTP, "disk": s.Disk,
			"live": n.live(name), "heard_ms": ago, "core": n.core.has(s.Name, s.DiskID)})
	}
	duties := []map[string]any{}
	for _, name := range sorted(n.views) {
		v := n.views[name]
		duties = append(duties, map[string]any{"duty": name, "holder": v.Holder, "epoch": v.Epoch})
	}
	n.answer(a, 200, 0, jsonOf(map[string]any{"cluster": n.core.Cluster, "core_version": n.core.Version, "core": memberNames(n.core),
		"slices": n.core.Slices, "members": list, "duties": duties}))
}

// getWorkers is settled where all workers are known: at the central scheduler.
func (n *node) getWorkers(a *ask) {
	if !n.holds("central") {
		to, _ := n.holder("central")
		n.handOver(a, to)
		return
	}
	list := []map[string]any{}
	for _, name := range sorted(n.workers) {
		w := n.workers[name]
		list = append(list, map[string]any{"name": name, "site": w.site, "labels": labelMap(w.labels), "free": w.free, "capacity": w.capacity,
			"leaving": w.leaving, "agent": w.agent, "epoch": w.epoch, "heard_ms": n.now - w.heardMs, "silent_ms": w.silentMs,
			"queued": w.queued, "rank_ms": w.rankMs, "unsound": n.ranks.unsound[name], "rebuilt": w.rebuilt})
	}
	n.answer(a, 200, 0, jsonOf(map[string]any{"workers": list}))
}

func labelMap(ls []label) map[string]string {
	m := map[string]string{}
	for _, l := range ls {
		m[l.Key] = l.Value
	}
	return m
}

// getSoundness is what doctor reads: this daemon's view of the common faults.
func (n *node) getSoundness(a *ask) {
	lost := []string{}
	for _, name := range sorted(n.siblings) {
		if !n.live(name) {
			lost = append(lost, name)
		}
	}
	offsets, slow := map[string]int64{}, map[string]int64{}
	for m, ms := range n.poll.slowMs {
		slow[m] = ms
	}
	if n.inCore() {
		if med := n.poll.medianWall(n); med != 0 {
			for name, c := range n.store.clocks {
				offsets[name] = c.offset + n.now - med
			}
		}
	}
	noHolder := []string{}
	for _, s := range n.core.Slices {
		if h, _ := n.holder("slice/" + s); h == "" {
			noHolder = append(noHolder, "slice/"+s)
		}
	}
	if h, _ := n.holder("central"); h == "" {
		noHolder = append(noHolder, "central")
	}
	unmatched := []string{}
	for _, q := range sorted(n.setup.cur.Queues) {
		found := false
		for _, w := range n.workers {
			found = found || n.now-w.heardMs < liveMs && n.setup.cur.Queues[q].matches(w.labels, w.site)
		}
		if !found && len(n.workers) > 0 && n.central != nil { // only there all workers are known
			unmatched = append(unmatched, q)
		}
	}
	owned := map[string]any{}
	for _, name := range sorted(n.owned) {
		sl := n.owned[name]
		unsettled, waiting := map[string]int{}, 0 // by worker
		for _, js := range sl.jobs {
			for i := range js.Tasks {
				t := &js.Tasks[i]
				w := n.workers[t.Worker]
				switch {
				case t.State == taskPlaced && (w == nil || n.now-w.heardMs > silentMs || w.silentMs > silentMs):
					unsettled[t.Worker]++
				case t.State == taskPending:
					waiting++
				}
			}
		}
		owned[name] = map[string]any{"serving": sl.serving, "epoch": sl.epoch, "jobs": len(sl.jobs), "unsettled": unsettled, "waiting": waiting, "writes_open": len(sl.writes)}
	}
	unsound := []string{}
	for _, name := range sorted(n.ranks.unsound) {
		if n.central != nil {
			unsound = append(unsound, name)
		}
	}
	coreLive := 0
	for _, m := range n.core.Members {
		if n.live(m.Name) {
			coreLive++
		}
	}
	n.answer(a, 200, 0, jsonOf(map[string]any{"name": n.Name, "site": n.Site, "cluster": n.core.Cluster, "siblings_lost": lost,
		"core_size": len(n.core.Members), "core_live": coreLive, "core_contact_ms": n.now - n.poll.okMs,
		"clock_spread_ms": offsets, "sync_ms": slow, "disk_failed": n.diskFailed, "setup_version": n.setup.doc.Version,
		"setup_confirmed": n.setupFresh(), "unmatched_queues": unmatched, "without_holder": noHolder, "unsound_workers": unsound, "empty_sites": sorted(n.setup.cur.Empty), "slices": owned,
		"workers": len(n.workers), "asks_open": len(n.asks)}))
}
