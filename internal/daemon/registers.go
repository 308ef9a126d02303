package daemon

import (
	"bytes"

	"otterchute/internal/codec"
	"otterchute/internal/configuration"
	"otterchute/internal/quorum"
	"otterchute/internal/register"
	"otterchute/internal/statestore"
)

const (
	changeMs      = 2500 // a register change that has not ended by then is given up on
	changeRetryMs = 150  // base of the jittered wait between two attempts of a change
)

// registerChange is one change of a register by this daemon.
type registerChange struct {
	*register.Operation
	kind     string // names what is computed and what follows, see changeKinds
	arg      []byte // the wanted value or its part
	expect   int64  // the version the value must have, where the kind asks
	changeID configuration.ChangeID
	request  *request
}

// changeKind computes the next value from the current one, and says what follows.
type changeKind struct {
	decide func(*node, *registerChange, []byte) (register.Decision, []byte)
	done   func(*node, *registerChange, register.Outcome)
}

var changeKinds map[string]changeKind

func init() {
	changeKinds = map[string]changeKind{
		"read": {decide: func(*node, *registerChange, []byte) (register.Decision, []byte) { return register.Keep, nil },
			done: func(*node, *registerChange, register.Outcome) {}},
		"core":  {decide: changeCoreSet, done: (*node).coreChanged},
		"duty":  {decide: decideEpoch, done: (*node).epochChanged},
		"setup": {decide: changeConfig, done: (*node).configChanged},
		"taken": {decide: findChangeDecision, done: (*node).changeFound},
		"empty": {decide: changeEmptiedZones, done: (*node).zonesChanged},
		"open":  {decide: changeEmptiedZones, done: (*node).zonesChanged},
	}
}

var changeTiming = register.Timing{DeadlineMs: changeMs, ResponseTimeoutMs: changeMs / 4, RetryBaseMs: changeRetryMs}

func (n *node) startChange(reg, kind string, arg []byte, expect int64) *registerChange {
	n.opSeq++
	o := &registerChange{kind: kind, arg: arg, expect: expect}
	change := func(current []byte) (register.Decision, []byte) { return changeKinds[kind].decide(n, o, current) }
	n.proposer.Observe(n.config.newestBallot.Round)
	var out []register.Envelope
	o.Operation, out = n.proposer.Begin(n.opSeq, reg, change, n.core.RegisterSet(), n.now)
	n.changes[o.ID] = o
	n.sendAll(out)
	return o
}

func (n *node) sendAll(envelopes []register.Envelope) {
	for _, e := range envelopes {
		n.send(e.To, e.Message)
	}
}

// endChange carries on once an operation has an outcome.
func (n *node) endChange(o *registerChange) {
	if outcome := o.Outcome(); outcome != register.Pending {
		delete(n.changes, o.ID)
		changeKinds[o.kind].done(n, o, outcome)
	}
}

func (n *node) onPromise(from string, m *register.Promise) {
	if o := n.changes[m.Op]; o != nil {
		n.sendAll(o.OnPromise(from, m, n.now, n.jitter))
		n.endChange(o)
	}
}

func (n *node) onAccepted(from string, m *register.Accepted) {
	if o := n.changes[m.Op]; o != nil {
		o.OnAccepted(from, m, n.now, n.jitter)
		n.endChange(o)
	}
}

// jitter draws a wait below a bound.
func (n *node) jitter(below int64) int64 { return n.rand().Int64N(below) }

func (n *node) tickChanges() {
	for _, id := range sortedKeys(n.changes) {
		o := n.changes[id]
		if o.request != nil && n.leases.CutOff() {
			o.Abandon()
		}
		n.proposer.Observe(n.config.newestBallot.Round)
		n.sendAll(o.Tick(n.core.RegisterSet(), n.now))
		n.endChange(o)
	}
}

func (n *node) onPrepare(from string, m *register.Prepare) {
	if !n.inCore() {
		return
	}
	answer, write := n.store.Register(m.Register).OnPrepare(n.core.Version, m)
	if answer != nil {
		n.answerProposer(from, m.Register, answer, write)
	}
}

func (n *node) onAccept(from string, m *register.Accept) {
	if !n.inCore() {
		return
	}
	answer, write := n.store.Register(m.Register).OnAccept(n.core.Version, m)
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
	entry := statestore.Entry{Kind: statestore.EntryPromise, Name: reg, Ballot: write.Ballot, Value: write.Value}
	if write.Accept {
		entry.Kind = statestore.EntryAccept
	}
	n.persist([]statestore.Entry{entry}, n.sendEffect(to, answer))
}

// changeCoreSet changes the core set by one member from the expected version.
func changeCoreSet(_ *node, o *registerChange, current []byte) (register.Decision, []byte) {
	var cur quorum.Set
	if len(current) > 0 && codec.Unmarshal(current, &cur) != nil {
		return register.Fail, nil
	}
	if bytes.Equal(cur.Encode(), o.arg) || cur.Version > o.expect { // ours, or what stands must be learned
		return register.Keep, nil
	}
	return register.Replace, o.arg
}

func (n *node) coreChanged(o *registerChange, outcome register.Outcome) {
	var set quorum.Set
	if outcome == register.Done && codec.Unmarshal(o.Value(), &set) == nil {
		n.adoptCoreSet(set)
		for _, name := range n.peers.AliveNames() {
			if name != n.Name {
				n.send(name, n.peers.CoreSetUpdate())
			}
		}
	}
}

// restartChanges begins changes of registers anew under another set: what members
// of the former one answered counts for nothing.
func (n *node) restartChanges() {
	for _, id := range sortedKeys(n.changes) {
		n.sendAll(n.changes[id].Tick(n.core.RegisterSet(), n.now))
	}
}
