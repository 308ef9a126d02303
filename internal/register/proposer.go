package register

import (
	"math/bits"
	"slices"
)

// Decision is what a Change decides about the current value.
type Decision int8

// The possible decisions.
const (
	Keep    Decision = iota // nothing to change, or the change was made before
	Replace                 // replace it by the returned value
	Refuse                  // the change is impossible on this value
	Fail                    // the next value can't be computed, for example if this one can't be decoded
)

// Change computes the next value from the current one, nil if there is none. It may be called again
// for a later attempt, with another current value.
type Change func(current []byte) (Decision, []byte)

// Outcome is how an operation ended.
type Outcome int8

// The possible outcomes.
const (
	Pending Outcome = iota
	Done            // the returned or kept value is accepted by a majority
	Refused         // another value is accepted by a majority, and the change never takes effect
	Unknown         // the change may have taken effect, or may do so later
)

// Timing bounds an operation, in milliseconds of the clock that the caller passes in.
type Timing struct {
	DeadlineMs        int64 // from the operation's start; after it the outcome is Unknown
	ResponseTimeoutMs int64 // after this time, an attempt without enough responses is repeated
	RetryBaseMs       int64 // base of the backoff after a refused attempt
}

// Proposer creates the ballots of one process.
type Proposer struct {
	Name     string
	Instance uint64 // drawn at random by each process
	Timing   Timing
	round    uint64
}

// Observe raises the next ballot above a round seen elsewhere, which saves a refused attempt.
func (p *Proposer) Observe(round uint64) { p.round = max(p.round, round) }

func (p *Proposer) nextBallot() Ballot {
	p.round++
	return Ballot{Round: p.round, Proposer: p.Name, Instance: p.Instance}
}

// votes is the set of members that responded, one bit for each position in the register's set. A
// member counts once, and a non-member doesn't count.
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
	waiting // for the next attempt
)

// maxBackoffFactor bounds the growth of the backoff between attempts.
const maxBackoffFactor = 4

// Operation is one change of a register in progress.
type Operation struct {
	ID       uint64
	Register string
	Ballot   Ballot // of the current attempt

	proposer        *Proposer
	change          Change
	set             Set // of the current attempt; a quorum counts within one set
	phase           phase
	outcome         Outcome
	outcomeOnAccept Outcome // the outcome once the value is accepted

	granted, refused votes
	highestAccepted  Ballot // highest ballot among the promises
	currentValue     []byte // value accepted under highestAccepted
	ballotsDiffer    bool   // the promises report different accepted ballots
	nextValue        []byte

	startMs, sentMs, retryMs int64
	attempts                 int64
}

// Begin starts an operation. If the set is empty, the operation waits for one.
func (p *Proposer) Begin(id uint64, name string, change Change, set Set, nowMs int64) (*Operation, []Envelope) {
	o := &Operation{ID: id, Register: name, proposer: p, change: change, startMs: nowMs}
	return o, o.prepare(set, nowMs)
}

// Outcome returns how the operation ended, or Pending.
func (o *Operation) Outcome() Outcome { return o.outcome }

// Abandon ends an operation whose outcome is no longer needed.
func (o *Operation) Abandon() {
	if o.outcome == Pending {
		o.outcome = Unknown
	}
}

// Current returns the value that the last attempt read.
func (o *Operation) Current() []byte { return o.currentValue }

// Value returns the value of the register once the outcome is Done or Refused.
func (o *Operation) Value() []byte { return o.nextValue }

// ValueBallot returns the ballot under which Value was accepted.
func (o *Operation) ValueBallot() Ballot {
	if o.phase == accepting {
		return o.Ballot
	}
	return o.highestAccepted
}

func (o *Operation) prepare(set Set, nowMs int64) []Envelope {
	o.set, o.phase, o.sentMs = set, preparing, nowMs
	o.Ballot = o.proposer.nextBallot()
	o.granted, o.refused = 0, 0
	o.highestAccepted, o.currentValue, o.nextValue, o.ballotsDiffer = Ballot{}, nil, nil, false
	o.attempts++
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

// OnPromise handles a member's response. A response to another attempt is ignored: the member may
// have accepted another value in between.
func (o *Operation) OnPromise(from string, m *Promise, nowMs int64, jitter func(int64) int64) []Envelope {
	if o.outcome != Pending || o.phase != preparing || m.Ballot != o.Ballot {
		return nil
	}
	if !m.OK {
		o.onRefusal(from, m.Promised, nowMs, jitter)
		return nil
	}
	if o.granted != 0 && m.Accepted != o.highestAccepted {
		o.ballotsDiffer = true
	}
	o.granted = o.granted.with(o.set, from)
	if o.highestAccepted.Less(m.Accepted) {
		o.highestAccepted, o.currentValue = m.Accepted, m.Value
	}
	if o.granted.count() < o.set.Majority() {
		return nil
	}
	return o.computeNext(nowMs)
}

// computeNext computes the next value once a majority has promised.
//
// A value to be kept is written back, since it may be accepted by a minority only, unless the whole
// majority has already accepted it. A value that causes a refusal is always written back: an
// attempt of this very change, by this operation or another proposer, may be accepted by a minority
// under a higher ballot than the one read. Only a write under the new ballot ensures that this
// attempt never takes effect.
func (o *Operation) computeNext(nowMs int64) []Envelope {
	decision, nextValue := o.change(o.currentValue)
	o.outcomeOnAccept, o.nextValue = Done, o.currentValue
	switch decision {
	case Replace:
		o.nextValue = nextValue
	case Refuse:
		o.outcomeOnAccept = Refused
	case Fail:
		o.outcome = Unknown
		return nil
	default:
		if !o.ballotsDiffer {
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
		return &Accept{Op: o.ID, SetVersion: o.set.Version, Register: o.Register, Ballot: o.Ballot, Value: o.nextValue}
	})
}

// OnAccepted handles a member's response under the same rules as OnPromise.
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
		o.outcome = o.outcomeOnAccept
	}
}

// onRefusal ends the attempt once a majority is no longer possible.
func (o *Operation) onRefusal(from string, promised Ballot, nowMs int64, jitter func(int64) int64) {
	o.proposer.Observe(promised.Round)
	o.refused = o.refused.with(o.set, from)
	if len(o.set.Members)-o.refused.count() < o.set.Majority() {
		o.phase = waiting
		base := o.proposer.Timing.RetryBaseMs
		o.retryMs = nowMs + base/2 + jitter(base*min(o.attempts, maxBackoffFactor))
	}
}

// Tick starts another attempt if one is due, under the current set, and gives up at the deadline.
func (o *Operation) Tick(set Set, nowMs int64) []Envelope {
	timing := o.proposer.Timing
	switch {
	case o.outcome != Pending:
		return nil
	case nowMs-o.startMs > timing.DeadlineMs:
		o.outcome = Unknown
		return nil
	case set.Version != o.set.Version,
		o.phase == waiting && nowMs >= o.retryMs,
		o.phase != waiting && nowMs-o.sentMs > timing.ResponseTimeoutMs:
		return o.prepare(set, nowMs)
	}
	return nil
}
