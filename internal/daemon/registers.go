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
	changeTimeoutMs = 2500 // a register change that has not ended by then is given up on
	changeRetryMs   = 150  // base of the jittered wait between two attempts of a change
)

// registerChange is one change of a register by this daemon.
type registerChange struct {
	*register.Operation
	kind            string // names what is computed and what follows, see changeKinds
	argument        []byte // the wanted value or its part
	expectedVersion int64  // the version the value must have, where the kind asks
	changeID        configuration.ChangeID
	request         *request
}

// changeKind computes the next value from the current one, and says what follows.
type changeKind struct {
	decide func(*node, *registerChange, []byte) (register.Decision, []byte)
	finish func(*node, *registerChange, register.Outcome)
}

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

var changeTiming = register.Timing{DeadlineMs: changeTimeoutMs, ResponseTimeoutMs: changeTimeoutMs / 4, RetryBaseMs: changeRetryMs}

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

// endChange carries on once an operation has an outcome.
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

// jitter draws a wait below a bound.
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

// answerProposer lets an acceptor's answer go once its write is synced.
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

// decideCoreSet changes the core set by one member from the expected version.
func decideCoreSet(_ *node, change *registerChange, current []byte) (register.Decision, []byte) {
	var set quorum.Set
	if len(current) > 0 && codec.Unmarshal(current, &set) != nil {
		return register.Fail, nil
	}
	if bytes.Equal(set.Encode(), change.argument) || set.Version > change.expectedVersion { // ours, or what stands must be learned
		return register.Keep, nil
	}
	return register.Replace, change.argument
}

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

// restartChanges begins changes of registers anew under another set: what members
// of the former one answered counts for nothing.
func (n *node) restartChanges() {
	for _, id := range sortedKeys(n.changes) {
		n.sendAll(n.changes[id].Tick(n.core.RegisterSet(), n.now))
	}
}
