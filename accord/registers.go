package main

import (
	"bytes"

	"otterchute/register"
)

// casOp is one change of a register by this daemon.
type casOp struct {
	*register.Operation
	kind   string // names what is computed and what follows, see casKinds
	arg    []byte // the wanted value or its part
	expect int64  // the version the value must have, where the kind asks
	order  orderID
	ask    *ask
}

// casKind computes the next value from the current one, and says what follows.
type casKind struct {
	decide func(*node, *casOp, []byte) (register.Decision, []byte)
	done   func(*node, *casOp, register.Outcome)
}

var casKinds map[string]casKind

func init() {
	casKinds = map[string]casKind{
		"read": {decide: func(*node, *casOp, []byte) (register.Decision, []byte) { return register.Keep, nil },
			done: func(*node, *casOp, register.Outcome) {}},
		"core":  {decide: computeCore, done: (*node).coreChanged},
		"duty":  {decide: computeDuty, done: (*node).dutyTaken},
		"setup": {decide: computeSetup, done: (*node).setupChanged},
		"taken": {decide: computeTaken, done: (*node).takenRead},
		"empty": {decide: computeSites, done: (*node).sitesChanged},
		"open":  {decide: computeSites, done: (*node).sitesChanged},
	}
}

var casTiming = register.Timing{DeadlineMs: casMs, AnswersMs: casMs / 4, RetryMs: casRetryMs}

// registerSet is the core as registers know it.
func (c coreSet) registerSet() register.Set {
	return register.Set{Version: c.Version, Members: memberNames(c)}
}

func (n *node) startCas(reg, kind string, arg []byte, expect int64) *casOp {
	n.opSeq++
	o := &casOp{kind: kind, arg: arg, expect: expect}
	change := func(current []byte) (register.Decision, []byte) { return casKinds[kind].decide(n, o, current) }
	n.proposer.Observe(n.poll.setup.Round)
	var out []register.Envelope
	o.Operation, out = n.proposer.Begin(n.opSeq, reg, change, n.core.registerSet(), n.now)
	n.ops[o.ID] = o
	n.sendAll(out)
	return o
}

func (n *node) sendAll(envelopes []register.Envelope) {
	for _, e := range envelopes {
		n.send(e.To, e.Message)
	}
}

// endCas carries on once an operation has an outcome.
func (n *node) endCas(o *casOp) {
	if outcome := o.Outcome(); outcome != register.Pending {
		delete(n.ops, o.ID)
		casKinds[o.kind].done(n, o, outcome)
	}
}

func (n *node) onPromise(from string, m *register.Promise) {
	if o := n.ops[m.Op]; o != nil {
		n.sendAll(o.OnPromise(from, m, n.now, n.jitter))
		n.endCas(o)
	}
}

func (n *node) onAccepted(from string, m *register.Accepted) {
	if o := n.ops[m.Op]; o != nil {
		o.OnAccepted(from, m, n.now, n.jitter)
		n.endCas(o)
	}
}

// jitter draws a wait below a bound.
func (n *node) jitter(below int64) int64 { return n.rand().Int64N(below) }

func (n *node) tickOps() {
	for _, id := range sorted(n.ops) {
		o := n.ops[id]
		if o.ask != nil && n.cutOff() {
			o.Abandon()
		}
		n.proposer.Observe(n.poll.setup.Round)
		n.sendAll(o.Tick(n.core.registerSet(), n.now))
		n.endCas(o)
	}
}

func (n *node) onPrepare(from string, m *register.Prepare) {
	if !n.inCore() {
		return
	}
	answer, write := n.store.reg(m.Register).OnPrepare(n.core.Version, m)
	if answer != nil {
		n.answerProposer(from, m.Register, answer, write)
	}
}

func (n *node) onAccept(from string, m *register.Accept) {
	if !n.inCore() {
		return
	}
	answer, write := n.store.reg(m.Register).OnAccept(n.core.Version, m)
	if answer != nil {
		n.answerProposer(from, m.Register, answer, write)
	}
}

// answerProposer lets an acceptor's answer go once its write is synced.
func (n *node) answerProposer(to, reg string, answer any, write *register.Write) {
	if write == nil {
		n.send(to, answer)
		return
	}
	entry := logEntry{Kind: entryPromise, Name: reg, Ballot: write.Ballot, Value: write.Value}
	if write.Accept {
		entry.Kind = entryAccept
	}
	n.keep([]logEntry{entry}, n.sendEffect(to, answer))
}

// computeCore changes the core set by one member from the expected version.
func computeCore(_ *node, o *casOp, current []byte) (register.Decision, []byte) {
	var cur coreSet
	if len(current) > 0 && unpack(current, &cur) != nil {
		return register.Fail, nil
	}
	if bytes.Equal(cur.pack(), o.arg) || cur.Version > o.expect { // ours, or what stands must be learned
		return register.Keep, nil
	}
	return register.Replace, o.arg
}

func (c coreSet) pack() []byte { return pack(nil, c) }

func (n *node) coreChanged(o *casOp, outcome register.Outcome) {
	var set coreSet
	if outcome == register.Done && unpack(o.Value(), &set) == nil {
		n.learnCore(set)
		for _, name := range n.liveNames() {
			if name != n.Name {
				n.send(name, n.coreWord())
			}
		}
	}
}
