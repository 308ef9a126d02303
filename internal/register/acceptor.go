package register

// Acceptor is one member's part of a register. Only writes change its state, so applying them again
// after a restart yields the same acceptor.
type Acceptor struct {
	Promised Ballot // no lower ballot is accepted
	Accepted Ballot
	Value    []byte
}

// Write is a change of an acceptor that must be durable before the accompanying response is sent.
type Write struct {
	Accept bool // else it is only a promise
	Ballot Ballot
	Value  []byte
}

// Apply carries out a write. Writes may be repeated and, when the copy of another member is merged,
// may arrive in any order: the highest ballots win.
func (a *Acceptor) Apply(w Write) {
	if a.Promised.Less(w.Ballot) {
		a.Promised = w.Ballot
	}
	if w.Accept && a.Accepted.Less(w.Ballot) {
		a.Accepted, a.Value = w.Ballot, w.Value
	}
}

// OnPrepare handles a Prepare on a member that is in the set with the given version. A request made
// under another set gets no response. The returned write must be applied at once, and be durable
// before the response is sent.
func (a *Acceptor) OnPrepare(setVersion int64, m *Prepare) (*Promise, *Write) {
	if m.SetVersion != setVersion {
		return nil, nil
	}
	if !a.Promised.Less(m.Ballot) {
		return &Promise{Op: m.Op, Promised: a.Promised, Ballot: m.Ballot}, nil
	}
	response := &Promise{Op: m.Op, OK: true, Promised: a.Promised, Accepted: a.Accepted, Value: a.Value, Ballot: m.Ballot}
	return response, &Write{Ballot: m.Ballot}
}

// OnAccept handles an Accept under the same rules as OnPrepare.
func (a *Acceptor) OnAccept(setVersion int64, m *Accept) (*Accepted, *Write) {
	if m.SetVersion != setVersion {
		return nil, nil
	}
	if m.Ballot.Less(a.Promised) {
		return &Accepted{Op: m.Op, Promised: a.Promised, Ballot: m.Ballot}, nil
	}
	return &Accepted{Op: m.Op, OK: true, Ballot: m.Ballot}, &Write{Accept: true, Ballot: m.Ballot, Value: m.Value}
}
