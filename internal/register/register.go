// Package register keeps single values at a quorum of acceptors and changes
// them in two rounds, as in CASPaxos (Rystsov, 2018): a proposer has a majority
// promise to take no lower ballot, computes the next value from the highest
// accepted one among their answers, and has a majority accept it. There is no
// log and no leader.
//
// Everything here is a state machine: messages go in, messages and durable
// writes come out. Nothing reads a clock, draws randomness or does I/O; times
// are handed in, in milliseconds of any steady clock.
//
// What it rests on:
//   - An acceptor's answer leaves only after its write is durable.
//   - A ballot belongs to one try of one operation: see Ballot. It belongs to
//     one set of members too, since a try keeps to the set it began with.
//   - A member answers only what is asked under the set it is in. Sets follow
//     each other one member at a time, and one that joins has copied what a
//     majority of the others had accepted and promised.
package register

import "cmp"

// Ballot names one try to change a register, and orders all of them. No two
// tries share one: a proposer's rounds only rise within one process, whose instance is
// a number drawn at random, so neither a clock nor a disk is needed for it.
type Ballot struct {
	Round    uint64
	Proposer string
	Instance uint64
}

// Less orders ballots by round; proposer and instance only break ties.
func (b Ballot) Less(other Ballot) bool {
	order := cmp.Or(
		cmp.Compare(b.Round, other.Round),
		cmp.Compare(b.Proposer, other.Proposer),
		cmp.Compare(b.Instance, other.Instance))
	return order < 0
}

// IsZero tells whether this is no ballot: nothing was promised or accepted.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// Set is the members of a register and the version of that set.
type Set struct {
	Version int64
	Members []string
}

// Majority is how many members make a quorum; a set of two needs both.
func (s Set) Majority() int { return len(s.Members)/2 + 1 }

// Prepare asks a member to promise that it accepts nothing below a ballot.
type Prepare struct {
	Op         uint64
	SetVersion int64
	Register   string
	Ballot     Ballot
}

// Promise answers a Prepare with what the member has accepted last.
type Promise struct {
	Op       uint64
	OK       bool
	Promised Ballot // where it was refused: the ballot that stands in the way
	Accepted Ballot
	Value    []byte
	Ballot   Ballot // that was asked for
}

// Accept asks a member to accept a value under a ballot.
type Accept struct {
	Op         uint64
	SetVersion int64
	Register   string
	Ballot     Ballot
	Value      []byte
}

// Accepted answers an Accept.
type Accepted struct {
	Op       uint64
	OK       bool
	Promised Ballot // where it was refused: the ballot that stands in the way
	Ballot   Ballot // that was asked for
}

// Envelope is a message and the member it goes to.
type Envelope struct {
	To      string
	Message any
}
