package wire

import (
	"hash/fnv"

	"otterchute/internal/codec"
	"otterchute/internal/quorum"
	"otterchute/internal/register"
	"otterchute/internal/statestore"
)

// Messages about daemons, leases and the core set.

// Peer describes one daemon. Each daemon publishes its own entry; the others pass it on.
type Peer struct {
	Name        string
	Incarnation uint64
	Heartbeat   uint64
	Addr        string // for messages between daemons
	HTTPAddr    string // address for callers, workers and operators
	Zone        string
	Disk        bool
	DiskID      uint64
	EmptyDisk   bool // the disk belongs to no cluster yet
	Leaving     bool
	Colocated   bool // runs on a worker's machine and takes no cluster-wide role
	// Resources of the machine: thousandths of a core, and Mbit/s; 0 if unknown.
	MilliCores int64
	LinkMbps   int64
	Overloaded bool // the control thread runs late
}

// Gossip carries full peer entries and the core set: all live peers, for a daemon that is
// new or a core set that has changed, or those that a DigestReply listed as unknown.
type Gossip struct {
	Self           Peer
	Peers          []Peer
	Core           quorum.Set
	ReplyRequested bool
}

// Heartbeat is the entry of one daemon in a digest: Peer.DetailHash and the low bits
// of the heartbeat counter.
type Heartbeat struct {
	Hash      uint64
	Heartbeat int32
}

// Digest is one round of gossip, with a short entry for each live daemon.
type Digest struct {
	Self Peer
	// Partial is set if daemons colocated with workers are omitted: there are many of
	// them, and few daemons need their state.
	Partial    bool
	SetVersion int64
	Heartbeats []Heartbeat
}

// DigestReply answers a Digest with the differences from the replying daemon's state.
type DigestReply struct {
	SetVersion    int64
	Heartbeats    []Heartbeat // higher at the replying daemon
	Peers         []Peer      // entries that the sender of the digest lacks
	UnknownHashes []uint64    // hashes of the digest that the replying daemon lacks
}

// LeaseRequest acquires or renews the lease of one role.
type LeaseRequest struct {
	Name  string
	Epoch uint64 // 0 while the lease is being acquired
}

// LeaseRelease releases a lease before it expires.
type LeaseRelease struct {
	Name, Successor string
}

// PollRequest is sent to every core member at a fixed interval. It renews and acquires
// leases, reports the sender's clock, and reads the cluster-wide state.
type PollRequest struct {
	Incarnation uint64
	Seq         uint64
	SetVersion  int64
	WallMs      int64 // the sender's wall clock
	// HoldersHash is the HashHolders value of the last holders received from this member;
	// 0 if there are none.
	HoldersHash uint64
	Leases      []LeaseRequest
	Releases    []LeaseRelease
}

// RoleHolder records which daemon holds a role. It is also the value of the role's
// register; Epoch rises with each new holder.
type RoleHolder struct {
	Name, Holder string
	Incarnation  uint64
	Addr         string // of the holder: only one process at a time can listen there
	Epoch        uint64
	Successor    string // set when the lease was released
}

// PollResponse answers a PollRequest.
type PollResponse struct {
	Seq        uint64
	SetVersion int64
	Granted    []bool
	Epochs     []uint64 // for each requested role, the newest epoch that the member has recorded
	Holders    []RoleHolder
	// HoldersUnchanged is set if the holders match the request's hash; Holders is empty then.
	HoldersUnchanged bool
	Config           register.Ballot
	GrantDelayMs     int64 // remaining time during which this member grants no leases
	ClusterTimeMs    int64 // the cluster's time; 0 while too few clocks were reported
	DiskSyncMs       int64 // duration of the last disk sync
}

// FormRequest requests a disk's vote on a formation, or reports that the formation failed.
type FormRequest struct {
	Set    quorum.Set
	Failed bool // a member voted against it: the votes for it are released
}

// FormResponse is a vote on a formation.
type FormResponse struct {
	Cluster uint64
	OK      bool // a vote for the formation
}

// CopyRequest requests the part of a core member's store that begins at a cursor.
type CopyRequest struct {
	SetVersion int64
	Op         uint64
	Cursor     statestore.Cursor
}

// CopyResponse carries one part of a store.
type CopyResponse struct {
	Op           uint64
	Cursor, Next statestore.Cursor
	// FinishedMember is set in a message that a daemon sends to itself: it names the member
	// whose copy is complete and synced.
	FinishedMember string
	Entries        []statestore.Entry
}

// HashHolders returns a hash of the role holders; never 0.
//
// Example: same := wire.HashHolders(holders) == request.HoldersHash
func HashHolders(holders []RoleHolder) uint64 {
	h := fnv.New64a()
	for _, holder := range holders {
		_, _ = h.Write(codec.Append(nil, holder)) // never fails
	}
	return max(h.Sum64(), 1)
}

// DetailHash returns a hash of all fields but the heartbeat.
func (p Peer) DetailHash() uint64 {
	p.Heartbeat = 0
	h := fnv.New64a()
	_, _ = h.Write(codec.Append(nil, p)) // never fails
	return h.Sum64()
}
