package wire

import (
	"hash/fnv"

	"otterchute/internal/codec"
	"otterchute/internal/quorum"
	"otterchute/internal/register"
	"otterchute/internal/statestore"
)

// Messages about daemons, leases and the core set.

// Peer is what a daemon says of itself and others repeat.
type Peer struct {
	Name        string
	Incarnation uint64
	Heartbeat   uint64
	Addr        string // for daemons
	HTTPAddr    string // for callers, workers, operators
	Zone        string
	Disk        bool
	DiskID      uint64
	EmptyDisk   bool // has a disk with no cluster on it
	Leaving     bool
	Colocated   bool // stands beside a worker, and takes no role of the fleet's
	// What the machine has: thousandths of a core, and Mbit/s; 0 where nobody said.
	MilliCores int64
	LinkMbps   int64
	Overloaded bool // its control thread runs late
}

// Gossip tells the whole table of peers: to a daemon that hears nobody yet, at a
// seed's address, and of entries that a Digest showed to be unknown.
type Gossip struct {
	Self           Peer
	Peers          []Peer
	Core           quorum.Set
	ReplyRequested bool // an answer is wanted
}

// Heartbeat is one daemon in a digest: a hash of all that is said of it but for its
// heartbeat (Peer.DetailHash), and the low bits of the heartbeat.
type Heartbeat struct {
	Hash      uint64
	Heartbeat int32
}

// Digest is one round of gossip: a short entry for each live daemon.
type Digest struct {
	Self Peer
	// Partial leaves out daemons beside workers: they are many, and few must know them.
	Partial    bool
	SetVersion int64
	Heartbeats []Heartbeat
}

// DigestReply answers a Digest with what differs here.
type DigestReply struct {
	SetVersion    int64
	Heartbeats    []Heartbeat // that are higher here
	Peers         []Peer      // daemons as they are known here and not there
	UnknownHashes []uint64    // hashes that nobody here has
}

// LeaseRequest asks for, or renews, the lease of one role.
type LeaseRequest struct {
	Name  string
	Epoch uint64 // 0 while being taken
}

// LeaseRelease gives a lease back before its end.
type LeaseRelease struct {
	Name, Successor string
}

// PollRequest goes to every core member at a fixed pace. It renews and asks for
// leases, tells the sender's clock, and reads what every daemon must know.
type PollRequest struct {
	Incarnation uint64
	Seq         uint64
	SetVersion  int64
	WallMs      int64 // the sender's wall clock
	// HoldersHash is that of the holders the member told last, see HashHolders; 0 for none.
	HoldersHash uint64
	Leases      []LeaseRequest
	Releases    []LeaseRelease
}

// RoleHolder is who holds a role. It is also the value of the role's register, whose
// Epoch counts the holders.
type RoleHolder struct {
	Name, Holder string
	Incarnation  uint64
	Addr         string // of the holder: only one process at a time can listen there
	Epoch        uint64
	Successor    string // set when released
}

// PollResponse answers a PollRequest.
type PollResponse struct {
	Seq        uint64
	SetVersion int64
	Granted    []bool
	Epochs     []uint64 // of what was granted: the last epoch that this member knows
	Holders    []RoleHolder
	// HoldersUnchanged says that the holders are those of the request's hash, and left out.
	HoldersUnchanged bool
	Config           register.Ballot
	GracePeriodMs    int64 // so long this member grants nothing yet
	ClusterTimeMs    int64 // the fleet's time; 0 while too few clocks are heard
	DiskSyncMs       int64 // ms of the last sync
}

// FormRequest asks a disk for its vote on a formation, or tells that it failed.
type FormRequest struct {
	Set    quorum.Set
	Failed bool // a member voted no: whoever voted yes is free again
}

// FormResponse is a vote; OK is one for the formation.
type FormResponse struct {
	Cluster uint64
	OK      bool
}

// CopyRequest asks a core member for the part of its store at a cursor.
type CopyRequest struct {
	SetVersion int64
	Op         uint64
	Cursor     statestore.Cursor
}

// CopyResponse brings one part of a store.
type CopyResponse struct {
	Op             uint64
	Cursor, Next   statestore.Cursor
	FinishedMember string // to oneself: the member whose copy is synced to its end
	Entries        []statestore.Entry
}

// HashHolders is a hash of who holds what; never 0.
//
// Example: same := wire.HashHolders(holders) == request.HoldersHash
func HashHolders(holders []RoleHolder) uint64 {
	h := fnv.New64a()
	for _, holder := range holders {
		_, _ = h.Write(codec.Append(nil, holder)) // a hash takes any bytes
	}
	return max(h.Sum64(), 1)
}

// DetailHash is a hash of all that a daemon says of itself but for its heartbeat.
func (p Peer) DetailHash() uint64 {
	p.Heartbeat = 0
	h := fnv.New64a()
	_, _ = h.Write(codec.Append(nil, p)) // a hash takes any bytes
	return h.Sum64()
}
