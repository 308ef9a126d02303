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
	changeTimeoutMs = 2500 // after this a change of a register has an unknown outcome
	changeRetryMs   = 150  // base of the jittered backoff between attempts of a change
)

// registerChange is a change of a register that this daemon has proposed.
type registerChange struct {
	*register.Operation
	kind            string // key of changeKinds
	argument        []byte // the new value or a part of it, depending on the kind
	expectedVersion int64  // the version that the current value must have, if the kind checks it
	changeID        configuration.ChangeID
	request         *request // the request to answer; nil if none
}

// changeKind defines how a change computes the next value from the current one, and how
// its outcome is handled.
type changeKind struct {
	decide func(*node, *registerChange, []byte) (register.Decision, []byte)
	finish func(*node, *registerChange, register.Outcome)
}

// changeKinds is filled in init, since the handlers refer to it.
var changeKinds map[string]changeKind

func init() {
	changeKinds = map[string]changeKind{
		"read": {decide: func(*node, *registerChange, []byte) (register.Decision, []byte) { return register.Keep, nil },
			finish: func(*node, *registerChange, register.Outcome) {}},
		"core":  {decide: decideCoreSet, finish: (*node).onCoreSetChange},
		"duty":  {decide: decideEpoch, finish: (*node).onEpochChange},
		"setup": {decide: decideConfig, finish: (*node).onConfigChange},
		"taken": {decide: decideFindChange, finish: (*node).onFindChange},
		"empty": {decide: decideEmptiedZones, finish: (*node).onZonesChange},
		"open":  {decide: decideEmptiedZones, finish: (*node).onZonesChange},
	}
}

var changeTiming = register.Timing{
	DeadlineMs:        changeTimeoutMs,
	ResponseTimeoutMs: changeTimeoutMs / 4,
	RetryBaseMs:       changeRetryMs,
}

// startChange proposes a change of a register; its kind handles the outcome.
func (n *node) startChange(registerName, kind string, argument []byte, expectedVersion int64) *registerChange {
	n.opSeq++
	change := &registerChange{kind: kind, argument: argument, expectedVersion: expectedVersion}
	next := func(current []byte) (register.Decision, []byte) { return changeKinds[kind].decide(n, change, current) }
	n.proposer.Observe(n.config.newestBallot.Round)
	var out []register.Envelope
	change.Operation, out = n.proposer.Begin(n.opSeq, registerName, next, n.core.RegisterSet(), n.now)
	n.changes[change.ID] = change
	n.sendAll(out)
	return change
}

func (n *node) sendAll(envelopes []register.Envelope) {
	for _, e := range envelopes {
		n.send(e.To, e.Message)
	}
}

// endChange handles the outcome of a change, if it has one.
func (n *node) endChange(change *registerChange) {
	if outcome := change.Outcome(); outcome != register.Pending {
		delete(n.changes, change.ID)
		changeKinds[change.kind].finish(n, change, outcome)
	}
}

func (n *node) onPromise(from string, m *register.Promise) {
	if change := n.changes[m.Op]; change != nil {
		n.sendAll(change.OnPromise(from, m, n.now, n.jitter))
		n.endChange(change)
	}
}

func (n *node) onAccepted(from string, m *register.Accepted) {
	if change := n.changes[m.Op]; change != nil {
		change.OnAccepted(from, m, n.now, n.jitter)
		n.endChange(change)
	}
}

// jitter returns a random duration below a bound.
func (n *node) jitter(below int64) int64 { return n.rand().Int64N(below) }

func (n *node) tickChanges() {
	for _, id := range sortedKeys(n.changes) {
		change := n.changes[id]
		if change.request != nil && n.leases.CutOff() {
			change.Abandon()
		}
		n.proposer.Observe(n.config.newestBallot.Round)
		n.sendAll(change.Tick(n.core.RegisterSet(), n.now))
		n.endChange(change)
	}
}

func (n *node) onPrepare(from string, m *register.Prepare) {
	if !n.inCore() {
		return
	}
	response, write := n.store.Register(m.Register).OnPrepare(n.core.Version, m)
	if response != nil {
		n.answerProposer(from, m.Register, response, write)
	}
}

func (n *node) onAccept(from string, m *register.Accept) {
	if !n.inCore() {
		return
	}
	response, write := n.store.Register(m.Register).OnAccept(n.core.Version, m)
	if response != nil {
		n.answerProposer(from, m.Register, response, write)
	}
}

// answerProposer sends an acceptor's response once its write is synced.
func (n *node) answerProposer(to, registerName string, response any, write *register.Write) {
	if write == nil {
		n.send(to, response)
		return
	}
	entry := statestore.Entry{Kind: statestore.EntryPromise, Name: registerName, Ballot: write.Ballot, Value: write.Value}
	if write.Accept {
		entry.Kind = statestore.EntryAccept
	}
	n.persist([]statestore.Entry{entry}, n.sendEffect(to, response))
}

// decideCoreSet replaces the core set, unless it has changed since the expected version.
func decideCoreSet(_ *node, change *registerChange, current []byte) (register.Decision, []byte) {
	var set quorum.Set
	if len(current) > 0 && codec.Unmarshal(current, &set) != nil {
		return register.Fail, nil
	}
	// Either the set was accepted before, or this daemon needs to adopt a newer one.
	if bytes.Equal(set.Encode(), change.argument) || set.Version > change.expectedVersion {
		return register.Keep, nil
	}
	return register.Replace, change.argument
}

// onCoreSetChange adopts the core set that the register holds and sends it to all daemons.
func (n *node) onCoreSetChange(change *registerChange, outcome register.Outcome) {
	var set quorum.Set
	if outcome == register.Done && codec.Unmarshal(change.Value(), &set) == nil {
		n.adoptCoreSet(set)
		for _, name := range n.peers.AliveNames() {
			if name != n.Name {
				n.send(name, n.peers.CoreSetUpdate())
			}
		}
	}
}

// restartChanges restarts the changes of registers under a new core set. Responses given
// under the previous set don't count.
func (n *node) restartChanges() {
	for _, id := range sortedKeys(n.changes) {
		n.sendAll(n.changes[id].Tick(n.core.RegisterSet(), n.now))
	}
}
