package statestore

import (
	"cmp"
	"strconv"

	"otterchute/internal/register"
)

// EntryKind is the kind of change that an entry makes. The numbers are stored on disk and
// sent in copies between members, so they are never reused.
type EntryKind int8

// Kinds of entries, and the fields that each uses besides Kind. Name is a register or a
// shard.
const (
	EntryFormationVote    EntryKind = iota + 1 // a vote for a formation: Value is its quorum.Set
	EntryPromise                               // a register's promise: Name, Ballot
	EntryAccept                                // a register's accepted value: Name, Ballot, Value
	EntrySeal                                  // a shard rejects writes of lower epochs: Name, Epoch
	EntryRecord                                // a job's record: Name, Record
	EntryCoreSet                               // the core set: Value is a quorum.Set
	EntryExpire                                // removes records finished before a time: Name, Epoch is the time in ms
	EntryConfirmed                             // a quorum holds a finished record: Name, Record.ID
	EntryChunk                                 // a chunk of finished records, in copies and snapshots: Name, Value
	EntryUnconfirmed                           // a quorum may not hold a record of such a chunk: Name, Record.ID
	EntryServed                                // all live records are committed under an epoch: Name, Epoch
	EntryFormationRefused                      // a final vote against a formation: Epoch is its cluster
	EntryPatch                                 // the next version of a live record: Name, Value is a Patch
)

var entryKindNames = map[EntryKind]string{
	EntryFormationVote: "form", EntryPromise: "promise", EntryAccept: "accept", EntrySeal: "seal",
	EntryRecord: "record", EntryCoreSet: "set", EntryExpire: "drop", EntryConfirmed: "confirmed", EntryChunk: "chunk",
	EntryUnconfirmed: "unconfirmed", EntryServed: "served", EntryFormationRefused: "refused", EntryPatch: "patch",
}

// String returns the name of the kind in logs and test failures.
func (k EntryKind) String() string {
	if name, ok := entryKindNames[k]; ok {
		return name
	}
	return "entry kind " + strconv.Itoa(int(k))
}

// Entry is one change of a core member's state, as it is logged, stored in snapshots and
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
	Version   int64  // counted by that owner; any version of a higher epoch is newer
	Live      bool   // the job has not finished
	Confirmed bool   // finished, and a quorum is known to hold it
	DoneMs    int64  // wall time of a finished job's end
	Value     []byte
}

// recordOverheadBytes is the approximate size of a record or entry besides its value, in bytes.
const recordOverheadBytes = 80

// Size returns about how many bytes the record takes on disk and in a message.
func (r Record) Size() int { return recordOverheadBytes + len(r.Value) }

// OlderThan reports whether another version of the same record is newer than this one.
func (r Record) OlderThan(other Record) bool {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Version, other.Version)) < 0
}
