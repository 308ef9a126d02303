package register

import (
	"math/bits"
	"slices"
)

// Decision is what a change makes of the value that stands.
type Decision int8

// Decisions of a change.
const (
	Keep    Decision = iota // nothing is to be changed, or it was before
	Replace                 // by the value given with it
	Refuse                  // the change can't be made on this value
	Fail                    // the value can't be read
)

// Change computes the next value from the current one, nil if there is none. It
// may be called again for a later try, with another value.
type Change func(current []byte) (Decision, []byte)

// Outcome is how an operation ended.
type Outcome int8

// Outcomes of an operation.
const (
	Pending Outcome = iota
	Done            // what the change gave, or found, stands at a majority
	Refused         // another value stands at a majority, and the change never takes effect
	Unknown         // it may have taken effect or may do so yet
)

// Timing bounds an operation, in the milliseconds of the clock it is handed.
type Timing struct {
	DeadlineMs        int64 // from its beginning: then its outcome is unknown
	ResponseTimeoutMs int64 // a try without enough answers by then is made anew
	RetryBaseMs       int64 // base of the wait before the next try of one that was refused
}

// Proposer makes the ballots of one process.
type Proposer struct {
	Name     string
	Instance uint64 // drawn at random by each process
	Timing   Timing
	round    uint64
}

// Observe raises the next ballot above a round that was seen elsewhere, which
// saves a refused try.
func (p *Proposer) Observe(round uint64) { p.round = max(p.round, round) }

func (p *Proposer) nextBallot() Ballot {
	p.round++
	return Ballot{Round: p.round, Proposer: p.Name, Instance: p.Instance}
}

// votes are the members of a set that answered, one bit for each: no member
// counts twice, and who isn't in the set doesn't count.
type votes uint64

func (v votes) with(set Set, member string) votes {
	if i := slices.Index(set.Members, member); i >= 0 {
		v |= 1 << i
	}
	return v
}

func (v votes) count() int { return bits.OnesCount64(uint64(v)) }

type phase int8

const (
	preparing phase = iota
	accepting
	waiting // for the next try
)

// retriesSpread bounds how far the waits between tries grow.
const retriesSpread = 4

// Operation is one change of a register on its way.
type Operation struct {
	ID       uint64
	Register string
	Ballot   Ballot // of the current try

	proposer *Proposer
	change   Change
	set      Set // of the current try; a quorum counts within one set
	phase    phase
	outcome  Outcome
	atEnd    Outcome // what it comes to once the value is accepted

	granted, refused votes
	accepted         Ballot // the highest among the promises
	current          []byte // the value accepted under it
	split            bool   // the promises tell of different ballots
	next             []byte

	beganMs, sentMs, retryMs int64
	tries                    int64
}

// Begin starts an operation. Without members it waits for a set.
func (p *Proposer) Begin(id uint64, name string, change Change, set Set, nowMs int64) (*Operation, []Envelope) {
	o := &Operation{ID: id, Register: name, proposer: p, change: change, beganMs: nowMs}
	return o, o.prepare(set, nowMs)
}

// Outcome tells how it ended, or that it hasn't.
func (o *Operation) Outcome() Outcome { return o.outcome }

// Abandon ends an operation whose outcome nobody waits for any more.
func (o *Operation) Abandon() {
	if o.outcome == Pending {
		o.outcome = Unknown
	}
}

// Current is the value that the last try read.
func (o *Operation) Current() []byte { return o.current }

// Value is what stands once the outcome is Done or Refused.
func (o *Operation) Value() []byte { return o.next }

// ValueBallot is the ballot that Value was accepted under.
func (o *Operation) ValueBallot() Ballot {
	if o.phase == accepting {
		return o.Ballot
	}
	return o.accepted
}

func (o *Operation) prepare(set Set, nowMs int64) []Envelope {
	o.set, o.phase, o.sentMs = set, preparing, nowMs
	o.Ballot = o.proposer.nextBallot()
	o.granted, o.refused = 0, 0
	o.accepted, o.current, o.next, o.split = Ballot{}, nil, nil, false
	o.tries++
	return o.toAll(func() any {
		return &Prepare{Op: o.ID, SetVersion: set.Version, Register: o.Register, Ballot: o.Ballot}
	})
}

func (o *Operation) toAll(message func() any) []Envelope {
	out := make([]Envelope, 0, len(o.set.Members))
	for _, m := range o.set.Members {
		out = append(out, Envelope{To: m, Message: message()})
	}
	return out
}

// OnPromise takes a member's answer. One to another try says nothing of this
// one: between the two the member may have accepted another's value.
func (o *Operation) OnPromise(from string, m *Promise, nowMs int64, jitter func(int64) int64) []Envelope {
	if o.outcome != Pending || o.phase != preparing || m.Ballot != o.Ballot {
		return nil
	}
	if !m.OK {
		o.onRefusal(from, m.Promised, nowMs, jitter)
		return nil
	}
	if o.granted != 0 && m.Accepted != o.accepted {
		o.split = true
	}
	o.granted = o.granted.with(o.set, from)
	if o.accepted.Less(m.Accepted) {
		o.accepted, o.current = m.Accepted, m.Value
	}
	if o.granted.count() < o.set.Majority() {
		return nil
	}
	return o.decide(nowMs)
}

// decide computes the next value once a majority has promised. A value that is
// to be kept is written back, for it may stand at a minority only, unless all
// of the majority have accepted it already. One that makes the change refused is
// written back in any case: a try of this very change, by this operation or by
// another proposer, may stand at a minority under a higher ballot than what was
// read, and only below the new ballot it is sure never to take effect.
func (o *Operation) decide(nowMs int64) []Envelope {
	decision, next := o.change(o.current)
	o.atEnd, o.next = Done, o.current
	switch decision {
	case Replace:
		o.next = next
	case Refuse:
		o.atEnd = Refused
	case Fail:
		o.outcome = Unknown
		return nil
	default:
		if !o.split {
			o.outcome = Done
			return nil
		}
	}
	return o.accept(nowMs)
}

func (o *Operation) accept(nowMs int64) []Envelope {
	o.phase, o.sentMs = accepting, nowMs
	o.granted, o.refused = 0, 0
	return o.toAll(func() any {
		return &Accept{Op: o.ID, SetVersion: o.set.Version, Register: o.Register, Ballot: o.Ballot, Value: o.next}
	})
}

// OnAccepted takes a member's answer on the same terms as OnPromise.
func (o *Operation) OnAccepted(from string, m *Accepted, nowMs int64, jitter func(int64) int64) {
	if o.outcome != Pending || o.phase != accepting || m.Ballot != o.Ballot {
		return
	}
	if !m.OK {
		o.onRefusal(from, m.Promised, nowMs, jitter)
		return
	}
	o.granted = o.granted.with(o.set, from)
	if o.granted.count() >= o.set.Majority() {
		o.outcome = o.atEnd
	}
}

// onRefusal gives the try up once no majority can be had any more.
func (o *Operation) onRefusal(from string, promised Ballot, nowMs int64, jitter func(int64) int64) {
	o.proposer.Observe(promised.Round)
	o.refused = o.refused.with(o.set, from)
	if len(o.set.Members)-o.refused.count() < o.set.Majority() {
		o.phase = waiting
		base := o.proposer.Timing.RetryBaseMs
		o.retryMs = nowMs + base/2 + jitter(base*min(o.tries, retriesSpread))
	}
}

// Tick tries again where that is due, under the set that is in force now, and
// gives up at the deadline.
func (o *Operation) Tick(set Set, nowMs int64) []Envelope {
	timing := o.proposer.Timing
	switch {
	case o.outcome != Pending:
		return nil
	case nowMs-o.beganMs > timing.DeadlineMs:
		o.outcome = Unknown
		return nil
	case set.Version != o.set.Version,
		o.phase == waiting && nowMs >= o.retryMs,
		o.phase != waiting && nowMs-o.sentMs > timing.ResponseTimeoutMs:
		return o.prepare(set, nowMs)
	}
	return nil
}
