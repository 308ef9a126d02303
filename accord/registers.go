package main

import "bytes"

// casOp is one change of a register in two rounds at a majority. Any daemon
// may run it: there is no leader and no log, only the value and its ballot.
type casOp struct {
	id      uint64
	reg     string
	kind    string  // names what is computed and what follows, see casKinds
	arg     []byte  // the wanted value or its part
	expect  int64   // the version the value must have, where the kind asks
	order   orderID // an operator's, where the kind asks
	ballot  ballot
	phase   int8 // 1 prepare, 2 accept, 3 waiting for a retry
	yes, no map[string]bool
	best    ballot
	cur     []byte
	next    []byte
	startMs int64
	retryMs int64
	sentMs  int64
	tries   int
	top     uint64 // highest round seen in a refusal
	lost    bool   // the change lost; what stands is written back before that is said
	ask     *ask
}

const (
	casDone    = "done"
	casLost    = "lost"    // another value stands
	casUnknown = "unknown" // time ran out
)

// casKind computes the next value from the current one, and says what
// follows. Where compute gives false the change is lost.
type casKind struct {
	compute func(*node, *casOp) ([]byte, bool)
	done    func(*node, *casOp, string)
}

var casKinds map[string]casKind

func init() {
	casKinds = map[string]casKind{
		"read": {compute: func(_ *node, o *casOp) ([]byte, bool) { return o.cur, true },
			done: func(*node, *casOp, string) {}},
		"core":  {compute: computeCore, done: (*node).coreChanged},
		"duty":  {compute: computeDuty, done: (*node).dutyTaken},
		"setup": {compute: computeSetup, done: (*node).setupChanged},
		"taken": {compute: computeTaken, done: (*node).takenRead},
		"empty": {compute: computeSites, done: (*node).sitesChanged},
		"open":  {compute: computeSites, done: (*node).sitesChanged},
	}
}

func (n *node) startCas(reg, kind string, arg []byte, expect int64) *casOp {
	n.opSeq++
	o := &casOp{id: n.opSeq, reg: reg, kind: kind, arg: arg, expect: expect, startMs: n.now}
	n.ops[o.id] = o
	n.prepare(o)
	return o
}

func (n *node) prepare(o *casOp) {
	if len(n.core.Members) == 0 {
		return
	}
	o.tries++
	n.lastRound = max(n.lastRound, o.top, n.poll.setup.Round) + 1
	o.ballot, o.phase = ballot{Round: n.lastRound, Name: n.Name, Life: n.Life}, 1
	o.yes, o.no, o.best, o.cur, o.sentMs = map[string]bool{}, map[string]bool{}, ballot{}, nil, n.now
	for _, m := range n.core.Members {
		n.send(m.Name, &prepareMsg{Op: o.id, CoreVer: n.core.Version, Reg: o.reg, Ballot: o.ballot})
	}
}

func (n *node) onPromise(from string, m *promiseMsg) {
	o := n.ops[m.Op]
	if o == nil || o.phase != 1 || m.Ballot != o.ballot { // an earlier try's answer says nothing of this one
		return
	}
	if !m.OK {
		n.casBounced(o, from, m.Promised)
		return
	}
	o.yes[from] = true
	if o.best.less(m.Accepted) {
		o.best, o.cur = m.Accepted, m.Value
	}
	if len(o.yes) < n.core.majority() {
		return
	}
	next, ok := casKinds[o.kind].compute(n, o)
	if o.lost = !ok; o.lost {
		// What was read may not be chosen yet, and an own earlier try may
		// still stand at a minority: only once the winner is written back is
		// the loser sure never to take effect.
		next = o.cur
	}
	if o.best == (ballot{}) && (o.lost || o.kind == "read") {
		n.casEnd(o, map[bool]string{true: casLost, false: casDone}[o.lost])
		return
	}
	o.next, o.phase, o.sentMs = next, 2, n.now
	o.yes, o.no = map[string]bool{}, map[string]bool{}
	for _, mem := range n.core.Members {
		n.send(mem.Name, &acceptMsg{Op: o.id, CoreVer: n.core.Version, Reg: o.reg, Ballot: o.ballot, Value: next})
	}
}

func (n *node) onAccepted(from string, m *acceptedMsg) {
	o := n.ops[m.Op]
	if o == nil || o.phase != 2 || m.Ballot != o.ballot {
		return
	}
	if !m.OK {
		n.casBounced(o, from, m.Promised)
		return
	}
	o.yes[from] = true
	if len(o.yes) >= n.core.majority() {
		n.casEnd(o, map[bool]string{true: casLost, false: casDone}[o.lost])
	}
}

func (n *node) casBounced(o *casOp, from string, promised ballot) {
	o.no[from] = true
	o.top = max(o.top, promised.Round)
	if len(n.core.Members)-len(o.no) < n.core.majority() {
		o.phase = 3
		o.retryMs = n.now + casRetryMs/2 + n.rand().Int64N(casRetryMs*int64(min(o.tries, 4)))
	}
}

func (n *node) casEnd(o *casOp, how string) {
	delete(n.ops, o.id)
	casKinds[o.kind].done(n, o, how)
}

func (n *node) tickOps() {
	for _, id := range sorted(n.ops) {
		o := n.ops[id]
		switch {
		case n.now-o.startMs > casMs || o.ask != nil && n.cutOff():
			n.casEnd(o, casUnknown)
		case o.phase == 3 && n.now >= o.retryMs, o.phase != 3 && n.now-o.sentMs > casMs/4:
			n.prepare(o)
		}
	}
}

// computeCore changes the core set by one member from the expected version.
func computeCore(n *node, o *casOp) ([]byte, bool) {
	var cur coreSet
	if len(o.cur) > 0 && unpack(o.cur, &cur) != nil {
		return nil, false
	}
	if bytes.Equal(cur.pack(), o.arg) {
		return o.cur, true
	}
	if cur.Version > o.expect { // ours lost, but what stands must be learned
		return o.cur, true
	}
	return o.arg, true
}

func (c coreSet) pack() []byte { return pack(nil, c) }

func (n *node) coreChanged(o *casOp, how string) {
	var set coreSet
	if how == casDone && unpack(o.next, &set) == nil {
		n.learnCore(set)
		for _, name := range n.liveNames() {
			if name != n.Name {
				n.send(name, n.coreWord())
			}
		}
	}
}
