package daemon

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"

	"otterchute/internal/cluster"
	"otterchute/internal/configuration"
	"otterchute/internal/jobtrace"
	"otterchute/internal/lease"
	"otterchute/internal/membership"
	"otterchute/internal/quorum"
	"otterchute/internal/quota"
	"otterchute/internal/register"
	"otterchute/internal/scheduler"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

// nodeConfig holds the settings of a daemon and the values that are determined at its start.
type nodeConfig struct {
	Name        string
	Incarnation uint64
	// Instance distinguishes this process from all others, see identity.go. Unlike
	// Incarnation it doesn't depend on a clock and never changes.
	Instance             uint64
	Addr                 string
	HTTP                 string
	Zone                 string
	Seeds                []string
	Disk                 bool
	DiskID               uint64
	FinishedKeepMs       int64
	SnapshotBytes        int64 // minimum length of the log before a snapshot is taken
	ThresholdMs          int64
	KLowest              int
	TargetSigma          float64
	Colocated            bool // runs beside a worker and takes no role of the cluster
	MilliCores           int64
	LinkMbps             int64
	CoreSize             int  // number of core members; 0 for membership.DefaultSize
	FirstStart           bool // the whole cluster starts for the first time: empty disks may form a core
	MaxHoldMs            int64
	GangWaitMs           int64
	CheckpointIntervalMs int64
	RestoreMs            int64
	SpreadFactor         float64
	Policies             scheduler.Set // the policies that are switched off, for experiments
}

// event is the only input of a daemon: what happened, the time by its steady clock and by
// its wall clock, and the seed for random choices.
type event struct {
	NowMs  int64
	WallMs int64
	Seed   uint64
	Body   any
}

type (
	evTick struct{}
	evMsg  struct {
		Head        wire.Header
		Msg         any
		Precompiled *configuration.Configuration // the configuration in Msg, if a network goroutine compiled it already
	}
	// evRequest is a request of a client, worker or operator to this daemon.
	evRequest struct {
		ID         uint64
		Op         string
		Key        string
		Host, Path string // the address of the queue, for calls that name a queue by address
		Base       int64  // the version that a configuration builds on; -1 for one less than its own
		Digest     []byte // SHA-256 of an operator's change, if it isn't that of the body
		Credential string // the API key in the call
		Body       []byte
		Connection uint64 // the connection that the call came by, see platform.Call; 0 if unknown
		// Precompiled is the configuration in Body, if a network goroutine compiled it already.
		Precompiled *configuration.Configuration
	}
	// evOrder is the outcome of an order to a worker.
	evOrder struct {
		Worker  string
		Key     wire.AttemptKey
		Stop    bool
		Outcome string // see orderOutcomes
	}
	// evDisk is a change of the disk's state: it failed, it recovered and all outstanding
	// entries are written, or it lost entries that had been synced.
	evDisk struct {
		Failed    string
		Recovered bool
		Lost      bool
	}
	evStop struct{}
	// evSeeds replaces the addresses by which the daemon finds the cluster.
	evSeeds struct{ Seeds []string }
)

// effect is an action for the executor, described as data.
type effect any

type (
	effSend struct {
		To   string // peer name, or "" for a bare address
		Addr string
		Dest uint64 // see wire.Header.To
		Msg  any
	}
	// effAppend writes and syncs entries, and then carries out further effects.
	effAppend struct {
		Entries []statestore.Entry
		Then    []effect
	}
	effSnapshot struct{ Entries []statestore.Entry }
	effWipe     struct{ DiskID uint64 }
	effReply    struct {
		ID      uint64
		Status  int
		RetryMs int64
		Body    []byte
	}
	// effOrder is an order to a worker, which expires at NotAfterMs of the steady clock.
	effOrder struct {
		Worker     string
		Addr       string
		Key        wire.AttemptKey
		Stop       bool
		NotAfterMs int64
		Body       []byte
	}
	effLog struct {
		Event string
		Pairs []any
	}
	effExit struct{}
)

// node is the whole state of a daemon. Only reduce changes it.
type node struct {
	nodeConfig
	now, wall int64
	wokeMs    int64 // when this daemon last resumed after a freeze, or started
	seed      uint64
	rng       *rand.Rand
	effects   []effect
	counts    map[string]int64

	peers          *cluster.Directory
	core           quorum.Set
	leavingSinceMs int64

	store    *statestore.Store
	granter  *lease.Granter // grants leases as a core member
	members  *membership.Manager
	changes  map[uint64]*registerChange
	opSeq    uint64
	proposer register.Proposer

	leases *lease.Manager

	config      configState
	precompiled *configuration.Configuration // of the current event

	sender peerInstance // of the message that is being handled

	forwarded   map[uint64]*forwardedRequest
	quorumReads map[uint64]*quorumRead
	retries     retryBudget // for forwarding a request again
	coreReads   retryBudget // for reading job states from the core
	forwardSeq  uint64

	shards   map[string]*ownedShard
	counters map[string]*quota.Counter // of tenants, by the shard whose owner counts them
	// When each counter here last received a report from the owner of each shard.
	shareReports    map[string]map[string]int64
	limits          quota.Limits
	agents          map[string]*workerAgent
	central         *centralScheduler
	ranks           rankState
	workers         map[string]*workerView
	estimates       scheduler.Estimates
	nextEstimatesMs int64
	// The workers that have reported to this process or signed off, see worker_lives.go.
	heartbeatCount   uint64   // heartbeats that were accepted from colocated workers
	formerWorkers    []string // workers of this machine that have certainly ended, the last ones
	signedOffWorkers []string // workers that signed off before they reported to this process, the last ones

	// queueCounts holds the latest counts that each shard's owner sent; this daemon sends its own at
	// nextQueueCountsMs.
	queueCounts       map[string]*queueCounts
	nextQueueCountsMs int64

	batchMeter map[meterKey]float64 // core seconds used by batches
	stages     jobtrace.Recorder    // the time that the jobs owned here spent in each stage

	diskFailed string // why the disk failed; "" while it works
	diskSyncMs int64
	overload   overloadMeter
}

func newNode(cfg nodeConfig, state *statestore.Store) *node {
	n := &node{
		nodeConfig:   cfg,
		store:        state,
		granter:      lease.NewGranter(),
		counts:       map[string]int64{},
		changes:      map[uint64]*registerChange{},
		proposer:     register.Proposer{Name: cfg.Name, Instance: cfg.Instance, Timing: changeTiming},
		forwarded:    map[uint64]*forwardedRequest{},
		quorumReads:  map[uint64]*quorumRead{},
		shards:       map[string]*ownedShard{},
		counters:     map[string]*quota.Counter{},
		shareReports: map[string]map[string]int64{},
		agents:       map[string]*workerAgent{},
		workers:      map[string]*workerView{},
		config:       newConfigState(),
	}
	n.peers = cluster.New(host{n}, cfg.Name, cfg.Seeds)
	n.leases = lease.NewManager(host{n}, n.peers)
	n.leases.IgnoreStrength(!cfg.Policies.On(scheduler.StrongRoles))
	n.members = membership.NewManager(host{n}, cfg.Name, cfg.CoreSize, n.peers, n.leases)
	return n
}

// reduce applies one event to the state and returns the effects. It reads no clock, uses
// no randomness but the seed of the event, and does no I/O.
//
// Example: effects := reduce(n, event{NowMs: 100, WallMs: wall, Body: evTick{}})
func reduce(n *node, ev event) []effect {
	elapsedMs, firstEvent := ev.NowMs-n.now, n.now == 0
	if elapsedMs > freezeThresholdMs {
		n.wokeMs = ev.NowMs
	}
	n.now = max(n.now, ev.NowMs)
	n.wall, n.seed, n.rng, n.effects = ev.WallMs, ev.Seed, nil, nil
	if elapsedMs > freezeThresholdMs && !firstEvent {
		n.log("stood_still", "ms", elapsedMs)
	}
	if handler, ok := eventHandlers[reflect.TypeOf(ev.Body)]; ok {
		handler(n, ev.Body)
	}
	n.flushShares()
	n.flushWrites()
	return n.effects
}

var eventHandlers map[reflect.Type]func(*node, any)
var messageHandlers map[reflect.Type]func(*node, string, any)

func onMessage[M any](f func(*node, string, *M)) (reflect.Type, func(*node, string, any)) {
	return reflect.TypeFor[*M](), func(n *node, from string, m any) { f(n, from, m.(*M)) }
}

func onEvent[E any](f func(*node, E)) (reflect.Type, func(*node, any)) {
	return reflect.TypeFor[E](), func(n *node, e any) { f(n, e.(E)) }
}

func init() {
	eventHandlers = map[reflect.Type]func(*node, any){}
	event := func(t reflect.Type, f func(*node, any)) { eventHandlers[t] = f }
	event(onEvent((*node).onTick))
	event(onEvent((*node).onMsg))
	event(onEvent((*node).onRequest))
	event(onEvent((*node).onOrder))
	event(onEvent((*node).onDisk))
	event(onEvent((*node).onStop))
	event(onEvent((*node).onSeeds))
	messageHandlers = map[reflect.Type]func(*node, string, any){}
	message := func(t reflect.Type, f func(*node, string, any)) { messageHandlers[t] = f }
	message(onMessage((*node).onGossip))
	message(onMessage((*node).onDigest))
	message(onMessage((*node).onDigestReply))
	message(onMessage((*node).onPollRequest))
	message(onMessage((*node).onPollResponse))
	message(onMessage((*node).onPrepare))
	message(onMessage((*node).onPromise))
	message(onMessage((*node).onAccept))
	message(onMessage((*node).onAccepted))
	message(onMessage((*node).onSealRequest))
	message(onMessage((*node).onSealResponse))
	message(onMessage((*node).onWriteRequest))
	message(onMessage((*node).onWriteResponse))
	message(onMessage((*node).onFetchRequest))
	message(onMessage((*node).onFetchResponse))
	message(onMessage((*node).onForwarded))
	message(onMessage((*node).onForwardReply))
	message(onMessage((*node).onPlacement))
	message(onMessage((*node).onAgentReport))
	message(onMessage((*node).onOwnerReply))
	message(onMessage((*node).onAllocationRequest))
	message(onMessage((*node).onAllocation))
	message(onMessage((*node).onRanks))
	message(onMessage((*node).onPromotion))
	message(onMessage((*node).onEstimates))
	message(onMessage((*node).onQueueCounts))
	message(onMessage((*node).onShareReport))
	message(onMessage((*node).onShareGrant))
	message(onMessage((*node).onFormRequest))
	message(onMessage((*node).onFormResponse))
	message(onMessage((*node).onCopyRequest))
	message(onMessage((*node).onCopyResponse))
	message(onMessage((*node).onRegisterRead))
	message(onMessage((*node).onRegisterValue))
}

// tickHandlers are the steps of a tick, in order.
var tickHandlers []func(*node)

func init() {
	tickHandlers = []func(*node){
		(*node).tickGossip,
		(*node).tickFormation,
		(*node).tickLearner,
		(*node).tickChanges,
		(*node).tickPoll,
		(*node).tickRoles,
		(*node).tickConfig,
		(*node).tickCounters,
		(*node).tickShards,
		(*node).tickEstimates,
		(*node).tickQueueCounts,
		(*node).tickAgents,
		(*node).tickCentral,
		(*node).tickRequests,
		(*node).tickStore,
		(*node).tickShutdown,
	}
}

func (n *node) onTick(evTick) {
	n.overload.onTick(n.now)
	for _, handle := range tickHandlers {
		handle(n)
	}
}

func (n *node) onMsg(e evMsg) {
	if e.Head.Cluster != 0 && n.core.Cluster != 0 && e.Head.Cluster != n.core.Cluster {
		if n.count("messages_foreign"); n.counts["messages_foreign"]%100 == 1 {
			n.log("message_rejected", "from", e.Head.From, "reason", "of another cluster", "times", n.counts["messages_foreign"])
		}
		return
	}
	if !n.acceptsFrame(e.Head, e.Msg) {
		return
	}
	n.count("messages_in")
	n.precompiled, n.sender = e.Precompiled, peerInstance{e.Head.From, e.Head.Instance}
	defer func() { n.precompiled, n.sender = nil, peerInstance{} }()
	if handler, ok := messageHandlers[reflect.TypeOf(e.Msg)]; ok {
		handler(n, e.Head.From, e.Msg)
	}
}

func (n *node) emit(e effect)               { n.effects = append(n.effects, e) }
func (n *node) count(name string)           { n.counts[name]++ }
func (n *node) log(event string, kv ...any) { n.emit(effLog{Event: event, Pairs: kv}) }
func (n *node) frameHeader() wire.Header {
	return wire.Header{Cluster: n.core.Cluster, From: n.Name, Instance: n.Instance}
}
func (n *node) reply(id uint64, a wire.ForwardReply) {
	n.emit(effReply{ID: id, Status: int(a.Status), RetryMs: a.RetryAfterMs, Body: a.Body})
}

func (n *node) sendEffect(to string, msg any) effect {
	n.count("messages_out")
	return effSend{To: to, Addr: n.peers.Addr(to), Dest: n.destination(to, msg), Msg: msg}
}

func (n *node) send(to string, msg any) { n.emit(n.sendEffect(to, msg)) }

func (n *node) rand() *rand.Rand {
	if n.rng == nil {
		n.rng = rand.New(rand.NewPCG(n.seed, uint64(n.now)))
	}
	return n.rng
}

// sortedKeys returns the keys of a map in order, so that behavior doesn't depend on the
// iteration order of maps.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
