package main

import (
	"cmp"
	"reflect"
)

// Messages between daemons. Their numbers are part of the wire form.
var messageTypes = map[uint8]reflect.Type{
	1: reflect.TypeFor[gossipMsg](), 2: reflect.TypeFor[pollMsg](), 3: reflect.TypeFor[pollAck](),
	4: reflect.TypeFor[prepareMsg](), 5: reflect.TypeFor[promiseMsg](), 6: reflect.TypeFor[acceptMsg](),
	7: reflect.TypeFor[acceptedMsg](), 8: reflect.TypeFor[sealMsg](), 9: reflect.TypeFor[sealedMsg](),
	10: reflect.TypeFor[writeMsg](), 11: reflect.TypeFor[wroteMsg](), 12: reflect.TypeFor[fetchMsg](),
	13: reflect.TypeFor[fetchedMsg](), 14: reflect.TypeFor[askMsg](), 15: reflect.TypeFor[answerMsg](),
	16: reflect.TypeFor[placeMsg](), 17: reflect.TypeFor[syncMsg](), 18: reflect.TypeFor[syncAck](),
	19: reflect.TypeFor[wantMsg](), 20: reflect.TypeFor[grantMsg](), 21: reflect.TypeFor[ranksMsg](),
	22: reflect.TypeFor[promoteMsg](), 23: reflect.TypeFor[formMsg](), 24: reflect.TypeFor[formedMsg](),
	25: reflect.TypeFor[copyMsg](), 26: reflect.TypeFor[copiedMsg](), 27: reflect.TypeFor[readRegMsg](),
	28: reflect.TypeFor[regMsg](), 29: reflect.TypeFor[learnedMsg](), 30: reflect.TypeFor[digestMsg](),
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

// sibling is what a daemon says of itself and others repeat.
type sibling struct {
	Name    string
	Inc     uint64
	Beat    uint64
	Addr    string // for daemons
	HTTP    string // for callers, workers, operators
	Site    string
	Disk    bool
	DiskID  uint64
	Empty   bool // has a disk with no cluster on it
	Leaving bool
	Beside  bool // stands beside a worker, and takes no duty of the fleet's
}

type gossipMsg struct {
	Self  sibling
	Table []sibling
	Core  coreSet
	Back  bool // an answer is wanted
}

// coreSet is the value of the register "core".
type coreSet struct {
	Cluster uint64
	Version int64
	Members []coreMember
	Slices  []string
}

type coreMember struct {
	Name   string
	DiskID uint64
}

// ballot names one try to change a register. No two tries share one: within a
// life of a proposer the round only rises, and no two lives share their number.
type ballot struct {
	Round uint64
	Name  string // of the proposer
	Life  uint64 // of the proposer, see place.Life
}

func (b ballot) less(o ballot) bool {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Name, o.Name), cmp.Compare(b.Life, o.Life)) < 0
}

type dutyAsk struct {
	Name  string
	Epoch uint64 // 0 while being taken
}

type release struct {
	Name, Successor string
}

// pollMsg renews and asks for leases, and reads what every daemon must know.
type pollMsg struct {
	Inc      uint64
	Seq      uint64
	CoreVer  int64
	WallMs   int64 // the sender's wall clock
	Holds    []dutyAsk
	Releases []release
}

type dutyView struct {
	Name, Holder string
	Inc          uint64
	Addr         string // of the holder: only one process at a time can listen there
	Epoch        uint64
	Successor    string // set when released
}

type pollAck struct {
	Seq      uint64
	CoreVer  int64
	Granted  []bool
	Epochs   []uint64 // of what was granted: the last epoch that this member knows
	Duties   []dutyView
	Setup    ballot
	GuardMs  int64 // so long this member grants nothing yet
	FleetMs  int64 // the fleet's time; 0 while too few clocks are heard
	DiskSlow int64 // ms of the last sync
}

type prepareMsg struct {
	Op      uint64
	CoreVer int64
	Reg     string
	Ballot  ballot
}

type promiseMsg struct {
	Op       uint64
	OK       bool
	Promised ballot
	Accepted ballot
	Value    []byte
	Ballot   ballot // that was asked for
}

type acceptMsg struct {
	Op      uint64
	CoreVer int64
	Reg     string
	Ballot  ballot
	Value   []byte
}

type acceptedMsg struct {
	Op       uint64
	OK       bool
	Promised ballot
	Ballot   ballot // that was asked for
}

type record struct {
	ID      string
	Epoch   uint64
	Version int64
	Live    bool
	Settled bool // finished, and a majority is known to hold it
	DoneMs  int64
	Value   []byte
}

type sealMsg struct {
	CoreVer int64
	Slice   string
	Epoch   uint64
}

type sealedMsg struct {
	Slice   string
	Epoch   uint64
	OK      bool
	Served  uint64 // the last epoch under which all live jobs were committed, as far as known
	Records []record
	CoreVer int64 // under which the member said so
}

type writeMsg struct {
	CoreVer int64
	Slice   string
	Epoch   uint64
	Seq     uint64
	Records []record
	Settled []string // finished records that a majority holds
	Whole   bool     // all live jobs are committed under this epoch
}

type wroteMsg struct {
	Slice   string
	Epoch   uint64
	Seq     uint64
	OK      bool
	CoreVer int64 // under which the member said so
}

type fetchMsg struct {
	CoreVer int64
	Op      uint64
	Slice   string
	IDs     []string
}

type fetchedMsg struct {
	Op      uint64
	Records []record
}

// askMsg hands a caller's, worker's or operator's ask over to who can settle it.
type askMsg struct {
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

type answerMsg struct {
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
	Key      attemptKey
	Slice    string
	Queue    string
	Name     string
	Class    int8
	Room     amount
	Needs    []label
	SubmitMs int64
	EstMs    int64
	LimitMs  int64
	Payload  []byte
	Saved    string
	Gang     bool
	Lasting  bool
	Saves    bool
	// PerWorker bounds the tasks of its step and round on one worker; 0 for none.
	PerWorker int32
}

type placeMsg struct {
	Worker     string
	AgentEpoch uint64
	SliceEpoch uint64
	EchoMs     int64 // the agent's clock, from its last sync
	Spec       orderSpec
}

type heldView struct {
	Key     attemptKey
	Class   int8
	State   int8
	Result  int8
	Room    amount
	RanMs   int64
	EstMs   int64
	Queue   string
	Name    string
	Saved   string
	Unknown bool // found running by an agent that was not told what it is
	Late    bool // its owner may have given it up: whether it counted must be said
}

type syncMsg struct {
	Worker   string
	Agent    string
	Epoch    uint64
	SentMs   int64
	Slice    string // "" when meant for the central scheduler
	Rebuilt  bool
	Fresh    bool // the worker's word is fresh
	SilentMs int64
	Site     string
	Labels   []label
	Leaving  bool
	Rack     string
	Free     amount
	Capacity amount
	Others   amount // room of all it holds, queued ones too, that are not this slice's
	Suspect  bool   // tasks stand still there, or crawl
	Pinned   bool   // the agent stands beside its worker, and holds end by themselves
	RankMs   int64
	QueuedMs int64
	Queued   int64
	Oks      int64
	Fails    int64
	Spare    amount      // capacity without what is held and no batch's
	Waiting  int64       // unstarted tasks that are no batch's
	Batch    []queueRoom // room of the batches it holds that are not this slice's
	LagPct   int64       // run time against the estimate, in percent, smoothed
	Held     []heldView
}

// queueRoom is room that tasks of a queue take.
type queueRoom struct {
	Queue string
	Room  amount
}

type verdictView struct {
	Key     attemptKey
	Verdict int8
}

type syncAck struct {
	Worker     string
	Epoch      uint64
	Slice      string
	SliceEpoch uint64
	SentMs     int64
	Verdicts   []verdictView
	Specs      []orderSpec // of runs that the agent found and was not told of
}

// wantMsg wants firm places for tasks of one step that are alike: all of them
// or none where they are a gang, else as many as there is room for.
type wantMsg struct {
	Slice     string
	Job       string
	Tasks     []wantTask
	Queue     string
	Room      amount
	Needs     []label
	SubmitMs  int64
	Avoid     string
	Gang      bool
	SameRack  bool
	Near      string
	PerWorker int32
	Used      []usedView // where others of the step are
	EstMs     int64      // how long a run is expected to take
}

type wantTask struct {
	Task    int64
	Attempt int32 // of the placement to come
}

type usedView struct {
	Worker string
	Count  int32
}

type grantMsg struct {
	Slice  string
	Job    string
	Places []grantView
	Epoch  uint64 // of the central scheduler
}

type grantView struct {
	Task    int64
	Attempt int32
	Worker  string
}

type rankView struct {
	Worker  string
	RankMs  int64
	Unsound int8
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

// learnedMsg spreads mean run times by queue and task name.
type learnedMsg struct{ Means []meanView }

type meanView struct {
	Key    string
	MeanMs float64
}

// formMsg asks a disk for its vote on a formation, or tells that it failed.
type formMsg struct {
	Set  coreSet
	Dead bool // a member voted no: whoever voted yes is free again
}

type formedMsg struct {
	Cluster uint64
	OK      bool
}

// copyMsg asks a core member for the part of its store at a cursor.
type copyMsg struct {
	CoreVer int64
	Op      uint64
	At      copyCursor
}

type copiedMsg struct {
	Op       uint64
	At, Next copyCursor
	Whole    string // to oneself: the member whose copy is synced to its end
	Entries  []logEntry
}

type readRegMsg struct {
	CoreVer int64
	Reg     string
}

type regMsg struct {
	Reg    string
	Ballot ballot
	Value  []byte
}

// logEntry is one synced change of a core member's state.
type logEntry struct {
	Kind   int8
	Name   string // register or slice
	Ballot ballot
	Epoch  uint64
	Value  []byte
	Rec    record
}
