package statestore

import (
	"cmp"
	"strconv"

	"otterchute/internal/register"
)

// EntryKind tells what an entry changes. The numbers stand on disk and in copies
// between members: they are never given to another kind.
type EntryKind int8

// Kinds of entries, and which fields each of them uses beside Kind.
const (
	EntryFormationVote    EntryKind = iota + 1 // a vote for a formation: Value is its quorum.Set
	EntryPromise                               // a register's promise: Name, Ballot
	EntryAccept                                // a register's accepted value: Name, Ballot, Value
	EntrySeal                                  // a shard takes no writes of lower epochs: Name, Epoch
	EntryRecord                                // a job's record: Name of the shard, Record
	EntryCoreSet                               // the core set: Value is a quorum.Set
	EntryExpire                                // finished records done before a time go: Name of the shard, Epoch in ms
	EntryConfirmed                             // a quorum holds a finished record: Name of the shard, Record.ID
	EntryChunk                                 // a chunk of finished records, in copies and snapshots: Name of the shard, Value
	EntryUnconfirmed                           // a quorum may not hold one of those: Name of the shard, Record.ID
	EntryServed                                // all live records are committed under an epoch: Name of the shard, Epoch
	EntryFormationRefused                      // a vote against a formation, for good: Epoch is its cluster
	EntryPatch                                 // the next version of a live record: Name of the shard, Value is its Patch
)

var entryKindNames = map[EntryKind]string{
	EntryFormationVote: "form", EntryPromise: "promise", EntryAccept: "accept", EntrySeal: "seal",
	EntryRecord: "record", EntryCoreSet: "set", EntryExpire: "drop", EntryConfirmed: "confirmed", EntryChunk: "chunk",
	EntryUnconfirmed: "unconfirmed", EntryServed: "served", EntryFormationRefused: "refused", EntryPatch: "patch",
}

// String names the kind for logs and test failures.
func (k EntryKind) String() string {
	if name, ok := entryKindNames[k]; ok {
		return name
	}
	return "entry kind " + strconv.Itoa(int(k))
}

// Entry is one change of a core member's state, as it is logged, snapshotted and
// copied to other members.
type Entry struct {
	Kind   EntryKind
	Name   string // of a register or a shard
	Ballot register.Ballot
	Epoch  uint64
	Value  []byte
	Record Record
}

// Record is one version of a job's record in its shard.
type Record struct {
	ID        string
	Epoch     uint64 // of the shard's owner that wrote it
	Version   int64  // counted by that owner; higher epochs stand above all versions of lower ones
	Live      bool   // the job has not finished
	Confirmed bool   // finished, and a quorum is known to hold it
	DoneMs    int64  // wall time, in ms, of a finished job's end
	Value     []byte
}

// recordOverhead is what a record or entry takes on disk beside its value, in bytes, about.
const recordOverhead = 80

// Size is about how many bytes the record takes on disk and in a message.
func (r Record) Size() int { return recordOverhead + len(r.Value) }

// OlderThan tells whether another version of the same record stands above this one.
func (r Record) OlderThan(other Record) bool {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Version, other.Version)) < 0
}
