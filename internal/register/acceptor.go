package register

// Acceptor is one member's part of a register. Its state changes by writes
// alone, so that applying them again after a restart gives the same acceptor.
type Acceptor struct {
	Promised Ballot // nothing below it is accepted
	Accepted Ballot
	Value    []byte
}

// Write is a change of an acceptor that must be durable before the answer that
// came with it leaves.
type Write struct {
	Accept bool // else it is a promise only
	Ballot Ballot
	Value  []byte
}

// Apply carries a write out. Writes may come again and, when a copy of another
// member is merged in, in any order: the highest ballots stand.
func (a *Acceptor) Apply(w Write) {
	if a.Promised.Less(w.Ballot) {
		a.Promised = w.Ballot
	}
	if w.Accept && a.Accepted.Less(w.Ballot) {
		a.Accepted, a.Value = w.Ballot, w.Value
	}
}

// OnPrepare answers a Prepare of a member that is in the set with this version.
// There is no answer to one that was asked under another set. A write is to be
// applied at once, and to be durable before the answer leaves.
func (a *Acceptor) OnPrepare(setVersion int64, m *Prepare) (*Promise, *Write) {
	if m.SetVersion != setVersion {
		return nil, nil
	}
	if !a.Promised.Less(m.Ballot) {
		return &Promise{Op: m.Op, Promised: a.Promised, Ballot: m.Ballot}, nil
	}
	answer := &Promise{Op: m.Op, OK: true, Promised: a.Promised, Accepted: a.Accepted, Value: a.Value, Ballot: m.Ballot}
	return answer, &Write{Ballot: m.Ballot}
}

// OnAccept answers an Accept on the same terms.
func (a *Acceptor) OnAccept(setVersion int64, m *Accept) (*Accepted, *Write) {
	if m.SetVersion != setVersion {
		return nil, nil
	}
	if m.Ballot.Less(a.Promised) {
		return &Accepted{Op: m.Op, Promised: a.Promised, Ballot: m.Ballot}, nil
	}
	return &Accepted{Op: m.Op, OK: true, Ballot: m.Ballot}, &Write{Accept: true, Ballot: m.Ballot, Value: m.Value}
}
