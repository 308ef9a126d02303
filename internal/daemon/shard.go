package daemon

import (
	"cmp"
	"slices"

	"otterchute/internal/jobtrace"
	"otterchute/internal/quota"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"
)

const (
	finishedKeepMs     = 600_000  // finished jobs answered from the owner's memory this long
	finishedMax        = 5000     // finished jobs an owner keeps in memory
	shardJobsMax       = 4000     // live jobs a shard may have; see urgentSharePercent
	urgentSharePercent = 25       // percent of a shard's jobs kept for queues above the lowest urgency
	shardBytesMax      = 24 << 20 // live jobs of a shard as packed: a seal's answer must fit a frame
)

// ownedShard is a part of the jobs, owned by one daemon at a time. The owner alone
// says what is true of each of its jobs and tasks.
type ownedShard struct {
	name              string
	epoch             uint64
	serving           bool
	startMs           int64
	seals             map[string]map[string]statestore.Record // core member -> its live records
	sealSentMs        int64
	missing           map[string]map[string]bool // member -> records it is asked for one by one
	missingOps        map[uint64]string
	merged            map[string]statestore.Record
	lastCompleteEpoch uint64          // the last owner that had all live jobs committed under its epoch
	loading           map[string]bool // loaded jobs not committed under this epoch yet
	completeSeq       uint64          // the batch that tells the core that none is left; 0 before

	jobs               map[string]*liveJob
	finished           map[string]*jobRecord
	finishedTraces     jobtrace.FinishedJobs // of the last of them
	finishedOrder      []string              // of finished, oldest first
	dirty              map[string]bool
	deferred           map[string]int64 // changed jobs whose records may wait -> until when
	newestWrite        *writeBatch
	writesThisTick     int // sent since the last tick, and in the one before
	writesLastTick     int
	writeSeq           uint64
	writes             map[uint64]*writeBatch
	replicaLags        map[string]*replicaLag // member -> records it has not acknowledged
	fetches            map[uint64]*fetchOp
	admitting          map[string]*fetchOp
	lateReadMs         map[string]int64 // when the record of a job was last read for a late end
	knownAbsent        map[string]bool  // jobs that late ends speak of and the core doesn't know any more
	liveByQueue        map[string]int
	recordBytes        int                                    // of all live jobs' records
	placedByWorker     map[string]map[taskRef]resource.Amount // worker -> tasks placed there, and their room
	loadByWorker       map[string]resource.Amount             // worker -> room of those
	loadChanges        uint64                                 // counts the changes of load
	unsentConfirmedIDs []string                               // finished at a majority, not yet told to the members
	confirmedSentMs    int64
	allocationRequests int // requests for firm places sent in this tick

	nextBatchPlanMs   int64 // when batches are planned anew
	batchPlanVersion  int64 // the configuration that they were planned by
	batchStartsInTick int   // in this tick
	batchTriesInTick  int   // and tasks looked at
	batchUseByWorker  map[queueOnWorker]resource.Amount
	starvedMs         int64 // when a task that is no batch's last found no place

	shares tenantShares
	// unlisted are runs of gangs that ended by another member's end, by worker: they take
	// their tenants' shares until their workers have listed the ends.
	unlisted map[string]map[wire.AttemptKey]unlistedRun

	tenantUsed map[string]resource.Amount // of tasks that are placed
	jobRates   scheduler.JobRates         // of tenants
	admissions map[string]admissionCounts // of tenants
}

// taskRef names a task of a shard.
type taskRef struct {
	jobID  string
	taskID int64
}

// updatePlacedIndex keeps the index of tasks by worker in line with a task's state. Rounds
// that are over shift positions, so tasks go by their names.
func (s *ownedShard) updatePlacedIndex(job *liveJob, i int) {
	t := &job.Tasks[i]
	ref := taskRef{job.ID, job.taskID(i)}
	s.loadChanges++
	if room, was := s.placedByWorker[t.Worker][ref]; was {
		s.shares.release(job.Tenant, room)
		s.addTenantUsed(job.Tenant, resource.Amount{}.Minus(room))
		delete(s.placedByWorker[t.Worker], ref)
		s.loadByWorker[t.Worker] = s.loadByWorker[t.Worker].Minus(room)
	}
	if t.State == taskPlaced {
		if s.placedByWorker[t.Worker] == nil {
			s.placedByWorker[t.Worker] = map[taskRef]resource.Amount{}
		}
		s.placedByWorker[t.Worker][ref] = t.Resources
		s.shares.use(job.Tenant, t.Resources)
		s.addTenantUsed(job.Tenant, t.Resources)
		s.loadByWorker[t.Worker] = s.loadByWorker[t.Worker].Plus(t.Resources)
	}
	if len(s.placedByWorker[t.Worker]) == 0 {
		delete(s.placedByWorker, t.Worker)
		delete(s.loadByWorker, t.Worker)
	}
}

// addTenantUsed counts what a tenant's placed tasks take; it forgets a tenant that has none.
func (s *ownedShard) addTenantUsed(tenant string, amount resource.Amount) {
	used := s.tenantUsed[tenant].Plus(amount)
	switch {
	case used == resource.Amount{}:
		delete(s.tenantUsed, tenant)
	case s.tenantUsed == nil:
		s.tenantUsed = map[string]resource.Amount{tenant: used}
	default:
		s.tenantUsed[tenant] = used
	}
}

// tasksPlacedOn gives the tasks placed at a worker, in order.
func (s *ownedShard) tasksPlacedOn(worker string) []taskRef {
	out := make([]taskRef, 0, len(s.placedByWorker[worker]))
	for p := range s.placedByWorker[worker] {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b taskRef) int {
		return cmp.Or(cmp.Compare(a.jobID, b.jobID), cmp.Compare(a.taskID, b.taskID))
	})
	return out
}

type liveJob struct {
	jobRecord
	committed     int64
	recordBytes   int // of its record when it entered
	waiters       []waiter
	runtime       []taskRuntime
	plan          *batchPlan    // of a batch, once it is planned
	trace         *jobtrace.Job // nil where nobody follows its way, as in some tests
	ended         []endedAttempt
	failedAt      map[string]int64 // worker -> when a task of this job last failed there
	enteredMs     int64            // when it came to this owner
	waitsForShare bool             // some task waits only for a share of its tenant's limit
	excess        bool             // its tenant had sent more than its weight
	// The version and value of the record that was last sent to the core: what the next
	// patch builds on; version 0 for none under this epoch.
	sentVersion int64
	sent        statestore.Segmented
}

// taskRuntime is what an owner need not keep across a takeover.
type taskRuntime struct {
	retryAtMs           int64
	allocationRequestMs int64
	sentMs              int64
	echoMs              int64 // the agent's clock that the last placement carried
	silentSinceMs       int64
	state               wire.AttemptState // as the agent last told
	saved               string
	abort               bool  // of a gang that is begun anew
	runningSinceMs      int64 // since when it is told to run
	// limitVersion is the configuration by whose limits it was placed; none for one that a former
	// owner placed, so that an agent sends it back unstarted where its tenant has a limit now.
	limitVersion int64
}

type waiter struct {
	version int64
	request *request
	status  int
}

// workerView is what this daemon was last told of a worker by its agent.
type workerView struct {
	agent          string
	epoch          uint64
	echoMs         int64
	receivedMs     int64
	zone           string
	labels         []wire.Label
	leaving        bool
	rebuilt        bool
	reportFresh    bool
	free           resource.Amount
	capacity       resource.Amount
	usedByOthers   map[string]resource.Amount   // shard -> room there of what isn't this shard's
	batchUse       map[string][]wire.QueueUsage // shard -> of that, the batches'
	unstarted      int64                        // unstarted tasks that are no batch's
	spare          spareWindow                  // the least room lately that batches didn't have to leave
	rack           string
	urgentUse      resource.Amount // room there of the most urgent queues
	suspect        bool
	recentFailures bool
	colocated      bool
	queued         int64
	rankMs         int64
	silentMs       int64
}

var jobOps map[string]func(*node, *ownedShard, *request)

func init() {
	jobOps = map[string]func(*node, *ownedShard, *request){
		"job.put":     (*node).handleSubmit,
		"job.get":     (*node).handleGet,
		"job.explain": (*node).handleExplain,
		"job.cancel":  (*node).handleCancel,
		"job.state":   (*node).handleState,
		"worker.lost": (*node).handleWorkerLost,
		"tenants":     (*node).handleTenants,
	}
}

func (n *node) startShard(name string, epoch uint64) {
	n.shards[name] = &ownedShard{
		name:           name,
		epoch:          epoch,
		startMs:        n.now,
		seals:          map[string]map[string]statestore.Record{},
		missing:        map[string]map[string]bool{},
		missingOps:     map[uint64]string{},
		merged:         map[string]statestore.Record{},
		jobs:           map[string]*liveJob{},
		finished:       map[string]*jobRecord{},
		dirty:          map[string]bool{},
		deferred:       map[string]int64{},
		loading:        map[string]bool{},
		writes:         map[uint64]*writeBatch{},
		replicaLags:    map[string]*replicaLag{},
		fetches:        map[uint64]*fetchOp{},
		admitting:      map[string]*fetchOp{},
		knownAbsent:    map[string]bool{},
		lateReadMs:     map[string]int64{},
		liveByQueue:    map[string]int{},
		placedByWorker: map[string]map[taskRef]resource.Amount{},
		loadByWorker:   map[string]resource.Amount{},
		shares:         newTenantShares(name, epoch, n.core.Shards),
		unlisted:       map[string]map[wire.AttemptKey]unlistedRun{},
	}
	n.counters[name] = quota.NewCounter(name, epoch)
	delete(n.shareReports, name)
	n.sendSeals(n.shards[name])
}

// endShard lets go of a shard. Who waits here for a commit is told at once that the
// outcome is unknown, and who waits for a look at the core that nothing was kept.
func (n *node) endShard(name string) {
	shard := n.shards[name]
	if shard == nil {
		return
	}
	delete(n.shards, name)
	delete(n.counters, name)
	for _, id := range sortedKeys(shard.jobs) {
		for _, w := range shard.jobs[id].waiters {
			w.request.maybeApplied = true
			n.reject(w.request, "the slice moved while this was written down")
		}
	}
	for _, op := range sortedKeys(shard.fetches) {
		for _, req := range shard.fetches[op].requests {
			n.readFromCore(req, "the slice moved")
		}
	}
}

// markDirty has a job's record written with the next batch.
func (n *node) markDirty(shard *ownedShard, job *liveJob) {
	if !shard.isDirty(job.ID) {
		job.Version++
	}
	shard.dirty[job.ID] = true
	delete(shard.deferred, job.ID)
}

// markDeferred has a job's record written within deferredMs, with what changes until then:
// for changes that nothing waits for. Where the owner isn't busy it is written at once.
func (n *node) markDeferred(shard *ownedShard, job *liveJob) {
	if !n.Policies.On(scheduler.GatherWrites) || max(shard.writesThisTick, shard.writesLastTick) < busyWrites {
		n.markDirty(shard, job)
		return
	}
	if shard.isDirty(job.ID) {
		return
	}
	job.Version++
	shard.deferred[job.ID] = n.now + deferredMs
}

// isDirty tells whether a job's record has changed since it was last sent to the core.
func (s *ownedShard) isDirty(id string) bool {
	_, deferred := s.deferred[id]
	return deferred || s.dirty[id]
}

func (n *node) tickShards() {
	for _, name := range sortedKeys(n.shards) {
		shard := n.shards[name]
		if !shard.serving {
			if n.now-shard.sealSentMs > writeRetryMs {
				if len(shard.missing) > 0 { // a member went away between seal and fetch: begin again
					shard.restartTakeover()
				}
				n.sendSeals(shard)
			}
			continue
		}
		shard.writesThisTick, shard.writesLastTick = 0, shard.writesThisTick
		n.tickWrites(shard)
		for _, op := range sortedKeys(shard.fetches) {
			if f := shard.fetches[op]; n.now-f.startMs > forwardMs*2/3 {
				delete(shard.fetches, op)
				delete(shard.admitting, f.id)
				for _, req := range f.requests {
					n.readFromCore(req, "the core did not answer")
				}
			}
		}
		shard.allocationRequests = 0
		n.tickBatches(shard)
		shard.releaseLapsed(n.now)
		shard.shares.beginClaims()
		for _, job := range n.jobsByUrgency(shard) {
			n.advanceJob(shard, job)
		}
		shard.shares.endClaims()
		n.logShareDelays(shard)
		cut := 0
		isOld := func(id string) bool { return n.now-shard.finished[id].Version > finishedKeepMs }
		for cut < len(shard.finishedOrder) &&
			(len(shard.finishedOrder)-cut > finishedMax || isOld(shard.finishedOrder[cut])) {
			delete(shard.finished, shard.finishedOrder[cut])
			cut++
		}
		shard.finishedOrder = shard.finishedOrder[cut:]
	}
}

// jobsByUrgency gives a shard's live jobs, those of urgent queues first, then the oldest, and
// excess jobs last.
func (n *node) jobsByUrgency(shard *ownedShard) []*liveJob {
	type turn struct {
		precedence int64
		job        *liveJob
	}
	list := make([]turn, 0, len(shard.jobs))
	for _, job := range shard.jobs {
		list = append(list, turn{n.precedence(job.Queue, job.excess), job})
	}
	slices.SortFunc(list, func(a, b turn) int {
		return cmp.Or(
			cmp.Compare(b.precedence, a.precedence),
			cmp.Compare(a.job.SubmitMs, b.job.SubmitMs),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	out := make([]*liveJob, len(list))
	for i, t := range list {
		out[i] = t.job
	}
	return out
}

func (n *node) retireJob(shard *ownedShard, job *liveJob) {
	delete(shard.jobs, job.ID)
	shard.recordBytes -= job.recordBytes
	shard.liveByQueue[job.Queue]--
	if shard.liveByQueue[job.Queue] <= 0 {
		delete(shard.liveByQueue, job.Queue)
	}
	n.traceOutcome(shard, job)
	j := job.jobRecord
	j.Version = n.now // reused as the time it was put here
	shard.finished[j.ID] = &j
	shard.finishedOrder = append(shard.finishedOrder, j.ID)
}
