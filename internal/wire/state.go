package wire

import (
	"otterchute/internal/register"
	"otterchute/internal/statestore"
)

// Messages about the state that core members store. The messages of registers are in package
// register.

// SealRequest fences off a shard's owners with lower epochs and requests its records.
type SealRequest struct {
	SetVersion int64
	Shard      string
	Epoch      uint64
}

// SealResponse carries a shard's live and unconfirmed records.
type SealResponse struct {
	Shard       string
	Epoch       uint64
	OK          bool   // false if a higher epoch was sealed
	ServedEpoch uint64 // the last known epoch under which all live jobs were committed
	Records     []statestore.Record
	SetVersion  int64 // the member's core set version at the time of the response
}

// WriteRequest stores records of a shard at a core member.
type WriteRequest struct {
	SetVersion int64
	Shard      string
	Epoch      uint64
	Seq        uint64
	Records    []statestore.Record
	Patches    []statestore.Patch // of records that the member should hold in the previous version
	Confirmed  []string           // finished records that a majority holds
	Complete   bool               // all live jobs are committed under this epoch
}

// WriteResponse acknowledges that a WriteRequest is durable.
type WriteResponse struct {
	Shard string
	Epoch uint64
	Seq   uint64
	OK    bool // false if the owner's epoch was fenced off
	// BaseMissing is set if nothing was stored because the member lacks the base version of a
	// patch. The owner then sends the whole records.
	BaseMissing bool
	SetVersion  int64 // the member's core set version at the time of the response
}

// FetchRequest requests live or finished records by their ids.
type FetchRequest struct {
	SetVersion int64
	Op         uint64
	Shard      string
	IDs        []string
}

// FetchResponse carries the requested records that the member has.
type FetchResponse struct {
	Op      uint64
	Records []statestore.Record
}

// RegisterRead requests one core member's accepted value of a register.
type RegisterRead struct {
	SetVersion int64
	Register   string
}

// RegisterValue is one member's accepted value. It is chosen only if a majority has
// accepted the same ballot.
type RegisterValue struct {
	Register string
	Ballot   register.Ballot
	Value    []byte
	Complete bool // false for a configuration without the history of its changes, the form sent to readers
}
