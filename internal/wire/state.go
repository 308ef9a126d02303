package wire

import (
	"otterchute/internal/register"
	"otterchute/internal/statestore"
)

// Messages about the state that the core members keep. The messages of registers
// themselves are those of package register.

// SealRequest fences a shard off against owners of lower epochs and asks for its records.
type SealRequest struct {
	SetVersion int64
	Shard      string
	Epoch      uint64
}

// SealResponse brings a shard's live and unconfirmed records; OK is false where a
// higher epoch was sealed.
type SealResponse struct {
	Shard       string
	Epoch       uint64
	OK          bool
	ServedEpoch uint64 // the last epoch under which all live jobs were committed, as far as known
	Records     []statestore.Record
	SetVersion  int64 // under which the member said so
}

// WriteRequest has a core member keep records of a shard.
type WriteRequest struct {
	SetVersion int64
	Shard      string
	Epoch      uint64
	Seq        uint64
	Records    []statestore.Record
	Patches    []statestore.Patch // of records that the member is expected to have in the version before
	Confirmed  []string           // finished records that a majority holds
	Complete   bool               // all live jobs are committed under this epoch
}

// WriteResponse tells that a WriteRequest is durable; OK is false where the owner's
// epoch was fenced off. Where Lacking is true nothing was kept: the member lacks a version
// that a patch builds on, and needs the records whole.
type WriteResponse struct {
	Shard       string
	Epoch       uint64
	Seq         uint64
	OK          bool
	BaseMissing bool
	SetVersion  int64 // under which the member said so
}

// FetchRequest asks for records by their ids, live or finished.
type FetchRequest struct {
	SetVersion int64
	Op         uint64
	Shard      string
	IDs        []string
}

// FetchResponse brings those that the member has.
type FetchResponse struct {
	Op      uint64
	Records []statestore.Record
}

// RegisterRead asks one core member for its accepted value of a register.
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
	Complete bool // as it was accepted; readers get a configuration without the history of its orders
}
