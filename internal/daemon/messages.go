package daemon

import (
	"otterchute/internal/quorum"
	"otterchute/internal/register"
	"otterchute/internal/statestore"
	"reflect"
)

// Messages between daemons. Their numbers are part of the wire form.
var messageTypes = map[uint8]reflect.Type{
	1: reflect.TypeFor[gossipMsg](), 2: reflect.TypeFor[pollRequest](), 3: reflect.TypeFor[pollResponse](),
	4: reflect.TypeFor[register.Prepare](), 5: reflect.TypeFor[register.Promise](), 6: reflect.TypeFor[register.Accept](),
	7: reflect.TypeFor[register.Accepted](), 8: reflect.TypeFor[sealRequest](), 9: reflect.TypeFor[sealResponse](),
	10: reflect.TypeFor[writeRequest](), 11: reflect.TypeFor[writeResponse](), 12: reflect.TypeFor[fetchRequest](),
	13: reflect.TypeFor[fetchResponse](), 14: reflect.TypeFor[forwardMsg](), 15: reflect.TypeFor[forwardReply](),
	16: reflect.TypeFor[placement](), 17: reflect.TypeFor[syncMsg](), 18: reflect.TypeFor[syncAck](),
	19: reflect.TypeFor[allocationRequest](), 20: reflect.TypeFor[allocation](), 21: reflect.TypeFor[ranksMsg](),
	22: reflect.TypeFor[promoteMsg](), 23: reflect.TypeFor[formRequest](), 24: reflect.TypeFor[formResponse](),
	25: reflect.TypeFor[copyRequest](), 26: reflect.TypeFor[copyResponse](), 27: reflect.TypeFor[registerRead](),
	28: reflect.TypeFor[registerValue](), 29: reflect.TypeFor[estimatesMsg](), 30: reflect.TypeFor[digestMsg](),
	31: reflect.TypeFor[digestAck](),
}

var messageKinds = func() map[reflect.Type]uint8 {
	m := map[reflect.Type]uint8{}
	for k, t := range messageTypes {
		m[t] = k
	}
	return m
}()

func kindOf(msg any) uint8 { return messageKinds[reflect.TypeOf(msg).Elem()] }

// peerInfo is what a daemon says of itself and others repeat.
type peerInfo struct {
	Name        string
	Incarnation uint64
	Heartbeat   uint64
	Addr        string // for daemons
	HTTP        string // for callers, workers, operators
	Zone        string
	Disk        bool
	DiskID      uint64
	Empty       bool // has a disk with no cluster on it
	Leaving     bool
	Colocated   bool // stands beside a worker, and takes no duty of the fleet's
}

type gossipMsg struct {
	Self  peerInfo
	Table []peerInfo
	Core  quorum.Set
	Back  bool // an answer is wanted
}

type ballot = register.Ballot

type leaseRequest struct {
	Name  string
	Epoch uint64 // 0 while being taken
}

type leaseRelease struct {
	Name, Successor string
}

// pollRequest renews and asks for leases, and reads what every daemon must know.
type pollRequest struct {
	Incarnation uint64
	Seq         uint64
	CoreVer     int64
	WallMs      int64 // the sender's wall clock
	Holds       []leaseRequest
	Releases    []leaseRelease
}

type roleHolder struct {
	Name, Holder string
	Incarnation  uint64
	Addr         string // of the holder: only one process at a time can listen there
	Epoch        uint64
	Successor    string // set when released
}

type pollResponse struct {
	Seq      uint64
	CoreVer  int64
	Granted  []bool
	Epochs   []uint64 // of what was granted: the last epoch that this member knows
	Holders  []roleHolder
	Setup    ballot
	GuardMs  int64 // so long this member grants nothing yet
	FleetMs  int64 // the fleet's time; 0 while too few clocks are heard
	DiskSlow int64 // ms of the last sync
}

type sealRequest struct {
	CoreVer int64
	Slice   string
	Epoch   uint64
}

type sealResponse struct {
	Slice   string
	Epoch   uint64
	OK      bool
	Served  uint64 // the last epoch under which all live jobs were committed, as far as known
	Records []statestore.Record
	CoreVer int64 // under which the member said so
}

type writeRequest struct {
	CoreVer   int64
	Slice     string
	Epoch     uint64
	Seq       uint64
	Records   []statestore.Record
	Confirmed []string // finished records that a majority holds
	Complete  bool     // all live jobs are committed under this epoch
}

type writeResponse struct {
	Slice   string
	Epoch   uint64
	Seq     uint64
	OK      bool
	CoreVer int64 // under which the member said so
}

type fetchRequest struct {
	CoreVer int64
	Op      uint64
	Slice   string
	IDs     []string
}

type fetchResponse struct {
	Op      uint64
	Records []statestore.Record
}

// forwardMsg hands a caller's, worker's or operator's ask over to who can settle it.
type forwardMsg struct {
	ID     uint64
	Origin string
	Hop    int32
	WaitMs int64
	Op     string
	Key    string
	Body   []byte
	Queue  string // the queue whose address the caller used; "" when it used none
	Expect int64  // the version that a setup builds on
	Digest []byte // of an operator's order, where it isn't that of the body
}

type forwardReply struct {
	ID      uint64
	Status  int32
	RetryMs int64
	Body    []byte
}

type attemptKey struct {
	Job     string
	Task    int64 // see taskID
	Attempt int32
}

type label struct{ Key, Value string }

// orderSpec is what a task needs to be queued, guarded and run.
type orderSpec struct {
	Key       attemptKey
	Slice     string
	Queue     string
	Name      string
	Class     int8
	Resources resources
	Needs     []label
	SubmitMs  int64
	EstMs     int64
	LimitMs   int64
	Payload   []byte
	Saved     string
	Gang      bool
	Lasting   bool
	Saves     bool
	// PerWorker bounds the tasks of its step and round on one worker; 0 for none.
	PerWorker int32
}

type placement struct {
	Worker     string
	AgentEpoch uint64
	SliceEpoch uint64
	EchoMs     int64 // the agent's clock, from its last sync
	Spec       orderSpec
}

type attemptView struct {
	Key       attemptKey
	Class     int8
	State     int8
	Result    int8
	Resources resources
	RanMs     int64
	EstMs     int64
	Queue     string
	Name      string
	Saved     string
	Unknown   bool // found running by an agent that was not told what it is
	Late      bool // its owner may have given it up: whether it counted must be said
}

type syncMsg struct {
	Worker    string
	Agent     string
	Epoch     uint64
	SentMs    int64
	Slice     string // "" when meant for the central scheduler
	Rebuilt   bool
	Fresh     bool // the worker's word is fresh
	SilentMs  int64
	Zone      string
	Labels    []label
	Leaving   bool
	Rack      string
	Free      resources
	Capacity  resources
	Others    resources // room of all it holds, queued ones too, that are not this slice's
	Suspect   bool      // tasks stand still there, or crawl
	Colocated bool      // the agent stands beside its worker, and holds end by themselves
	RankMs    int64
	QueuedMs  int64
	Queued    int64
	Oks       int64
	Fails     int64
	Spare     resources        // capacity without what is held and no batch's
	Waiting   int64            // unstarted tasks that are no batch's
	Batch     []queueResources // room of the batches it holds that are not this slice's
	LagPct    int64            // run time against the estimate, in percent, smoothed
	Attempts  []attemptView
}

// queueResources is room that tasks of a queue take.
type queueResources struct {
	Queue     string
	Resources resources
}

type attemptDecision struct {
	Key      attemptKey
	Decision int8
}

type syncAck struct {
	Worker     string
	Epoch      uint64
	Slice      string
	SliceEpoch uint64
	SentMs     int64
	Decisions  []attemptDecision
	Specs      []orderSpec // of runs that the agent found and was not told of
}

// allocationRequest wants firm places for tasks of one step that are alike: all of them
// or none where they are a gang, else as many as there is room for.
type allocationRequest struct {
	Slice     string
	Job       string
	Tasks     []requestedTask
	Queue     string
	Resources resources
	Needs     []label
	SubmitMs  int64
	Avoid     string
	Gang      bool
	SameRack  bool
	Near      string
	PerWorker int32
	Used      []workerUse // where others of the step are
	EstMs     int64       // how long a run is expected to take
}

type requestedTask struct {
	Task    int64
	Attempt int32 // of the placement to come
}

type workerUse struct {
	Worker string
	Count  int32
}

type allocation struct {
	Slice  string
	Job    string
	Places []allocatedTask
	Epoch  uint64 // of the central scheduler
}

type allocatedTask struct {
	Task    int64
	Attempt int32
	Worker  string
}

type rankView struct {
	Worker    string
	RankMs    int64
	Unhealthy int8
}

type ranksMsg struct {
	Epoch    uint64
	Round    int64
	TargetMs int64
	Short    bool // firm work waits for room
	Ranks    []rankView
}

type promoteMsg struct {
	Worker string
	Epoch  uint64 // of the agent
	Key    attemptKey
}

// estimatesMsg spreads mean run times by queue and task name.
type estimatesMsg struct{ Means []estimateView }

type estimateView struct {
	Key    string
	MeanMs float64
}

// formRequest asks a disk for its vote on a formation, or tells that it failed.
type formRequest struct {
	Set  quorum.Set
	Dead bool // a member voted no: whoever voted yes is free again
}

type formResponse struct {
	Cluster uint64
	OK      bool
}

// copyRequest asks a core member for the part of its store at a cursor.
type copyRequest struct {
	CoreVer int64
	Op      uint64
	At      statestore.Cursor
}

type copyResponse struct {
	Op       uint64
	At, Next statestore.Cursor
	Finished string // to oneself: the member whose copy is synced to its end
	Entries  []statestore.Entry
}

type registerRead struct {
	CoreVer  int64
	Register string
}

type registerValue struct {
	Register string
	Ballot   ballot
	Value    []byte
	Complete bool // as it was accepted; readers get a setup without the history of its orders
}
