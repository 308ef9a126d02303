// Package register stores single values on a quorum of acceptors and changes them in two rounds, as
// in CASPaxos (Rystsov, 2018): a proposer gets a majority to promise not to accept lower ballots,
// computes the next value from the highest accepted one among their responses, and gets a majority
// to accept it. There is no log and no leader.
//
// The whole package is a state machine: messages are its input, messages and durable writes its
// output. It reads no clock, draws no random numbers and does no I/O. Times are passed in, in
// milliseconds of any monotonic clock.
//
// Correctness depends on these conditions:
//   - An acceptor's response is sent only after its write is durable.
//   - A ballot belongs to one attempt of one operation: see Ballot. It also belongs to one set
//     of members, since an attempt keeps the set that it started with.
//   - A member responds only to requests made under the set that it is in. Successive sets
//     differ by one member, and a new member has copied what a majority of the others had
//     accepted and promised.
package register

import "cmp"

// Ballot identifies one attempt to change a register, and orders all attempts. No two attempts
// share a ballot: the rounds of a proposer only increase within one process, and each process draws
// a random instance number. So uniqueness depends on neither a clock nor a disk.
type Ballot struct {
	Round    uint64
	Proposer string
	Instance uint64
}

// Less orders ballots by round. Proposer and instance only break ties.
func (b Ballot) Less(other Ballot) bool {
	order := cmp.Or(
		cmp.Compare(b.Round, other.Round),
		cmp.Compare(b.Proposer, other.Proposer),
		cmp.Compare(b.Instance, other.Instance))
	return order < 0
}

// IsZero reports whether this is the zero ballot: nothing was promised or accepted.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// Set holds the members of a register and the version of that set.
type Set struct {
	Version int64
	Members []string
}

// Majority returns how many members make a quorum; a set of two needs both.
func (s Set) Majority() int { return len(s.Members)/2 + 1 }

// Prepare asks a member to promise not to accept any lower ballot.
type Prepare struct {
	Op         uint64
	SetVersion int64
	Register   string
	Ballot     Ballot
}

// Promise is the response to a Prepare, with the value that the member accepted last.
type Promise struct {
	Op       uint64
	OK       bool
	Promised Ballot // if refused: the higher ballot that was promised
	Accepted Ballot
	Value    []byte
	Ballot   Ballot // of the request
}

// Accept asks a member to accept a value under a ballot.
type Accept struct {
	Op         uint64
	SetVersion int64
	Register   string
	Ballot     Ballot
	Value      []byte
}

// Accepted is the response to an Accept.
type Accepted struct {
	Op       uint64
	OK       bool
	Promised Ballot // if refused: the higher ballot that was promised
	Ballot   Ballot // of the request
}

// Envelope is a message and its recipient.
type Envelope struct {
	To      string
	Message any
}
