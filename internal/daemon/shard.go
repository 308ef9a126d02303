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
	finishedKeepMs     = 600_000  // how long an owner keeps finished jobs in memory
	finishedMax        = 5000     // finished jobs an owner keeps in memory
	shardJobsMax       = 4000     // live jobs a shard may have; see urgentSharePercent
	urgentSharePercent = 25       // percent of a shard's jobs kept for queues above the lowest urgency
	shardBytesMax      = 24 << 20 // encoded bytes of a shard's live jobs; a seal response must fit into a frame
)

// ownedShard is a shard of the jobs whose lease this daemon holds. Only the owner changes the
// state of the shard's jobs and tasks.
type ownedShard struct {
	name    string
	epoch   uint64 // of the owner's lease
	serving bool   // the takeover is complete
	startMs int64  // when the takeover began

	// The state of a takeover.
	sealedRecords  map[string]map[string]statestore.Record // core member -> its live records
	sealSentMs     int64
	missingRecords map[string]map[string]bool // members with a pending fetch of records missing from their seals
	missingFetches map[uint64]string          // operation ID of a fetch of missing records -> member
	mergedRecords  map[string]statestore.Record
	// lastCompleteEpoch is the epoch of the last owner that had committed all live jobs under its epoch.
	lastCompleteEpoch uint64
	loading           map[string]bool // loaded jobs that are not committed under this epoch yet
	completeSeq       uint64          // the first write after all loaded jobs were committed; 0 before that

	jobs               map[string]*liveJob
	finished           map[string]*jobRecord
	finishedTraces     jobtrace.FinishedJobs // of the most recently finished jobs
	finishedOrder      []string              // IDs of the finished jobs, oldest first
	dirty              map[string]bool       // jobs whose records go into the next write
	deferred           map[string]int64      // changed jobs whose writes may wait -> until when
	newestWrite        *writeBatch
	writesThisTick     int // batches sent since the last tick
	writesLastTick     int // batches sent in the tick before
	writeSeq           uint64
	writes             map[uint64]*writeBatch // batches that some members have not acknowledged, by sequence number
	replicaLags        map[string]*replicaLag // member -> records it has not acknowledged
	fetches            map[uint64]*fetchOp    // by operation ID
	admitting          map[string]*fetchOp    // new jobs whose IDs are being looked up in the core
	lateReadMs         map[string]int64       // job -> when its record was last read for decideLateEnd
	knownAbsent        map[string]bool        // jobs of late ends that have no record in the core any more
	liveByQueue        map[string]int
	recordBytes        int                                    // of all live jobs' records
	placedByWorker     map[string]map[taskRef]resource.Amount // worker -> tasks placed on it and their resources
	loadByWorker       map[string]resource.Amount             // worker -> the resources of all tasks placed on it
	loadChanges        uint64                                 // incremented with each change of placedByWorker
	unsentConfirmedIDs []string                               // jobs whose ends are committed, not sent to the members yet
	confirmedSentMs    int64
	allocationRequests int // allocation requests sent in this tick

	nextBatchPlanMs   int64 // when the batch jobs are planned again
	batchPlanVersion  int64 // configuration version of the last plan
	batchStartsInTick int   // batch tasks placed in this tick
	batchTriesInTick  int   // batch tasks considered in this tick
	batchUseByWorker  map[queueOnWorker]resource.Amount
	starvedMs         int64 // when a task that isn't a batch task last found no worker

	shares tenantShares
	// unlistedAttempts holds, by worker, attempts that ended because another task of their gang ended. They use
	// their tenants' shares until their workers have reported the ends, see holdUntilListed.
	unlistedAttempts map[string]map[wire.AttemptKey]unlistedAttempt

	tenantUsed map[string]resource.Amount // tenant -> resources of its placed tasks
	jobRates   scheduler.JobRates         // by tenant
	admissions map[string]admissionCounts // by tenant
}

// taskRef identifies a task of a shard.
type taskRef struct {
	jobID  string
	taskID int64
}

// updatePlacedIndex updates the index of placed tasks by worker, and the sums kept with it, from a task's state. The
// index uses task IDs, since dropping completed rounds shifts the positions of tasks.
func (s *ownedShard) updatePlacedIndex(job *liveJob, i int) {
	t := &job.Tasks[i]
	ref := taskRef{job.ID, job.taskID(i)}
	s.loadChanges++
	if amount, indexed := s.placedByWorker[t.Worker][ref]; indexed {
		s.shares.release(job.Tenant, amount)
		s.addTenantUsed(job.Tenant, resource.Amount{}.Minus(amount))
		delete(s.placedByWorker[t.Worker], ref)
		s.loadByWorker[t.Worker] = s.loadByWorker[t.Worker].Minus(amount)
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

// addTenantUsed adds to the resources used by a tenant's placed tasks. A tenant that uses none is removed.
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

// tasksPlacedOn returns the tasks placed on a worker, ordered by job and task ID.
func (s *ownedShard) tasksPlacedOn(worker string) []taskRef {
	refs := make([]taskRef, 0, len(s.placedByWorker[worker]))
	for ref := range s.placedByWorker[worker] {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b taskRef) int {
		return cmp.Or(cmp.Compare(a.jobID, b.jobID), cmp.Compare(a.taskID, b.taskID))
	})
	return refs
}

// liveJob is a job that has not finished, with the state that only its owner keeps.
type liveJob struct {
	jobRecord
	committed       int64 // the newest record version that a majority of the core holds
	recordBytes     int   // size of its record when it was added to the shard
	waiters         []waiter
	runtime         []taskRuntime    // by the index of the task
	plan            *batchPlan       // of a batch job, once it is planned
	trace           *jobtrace.Job    // nil if the job isn't traced, as in some tests
	uncommittedEnds []endedAttempt   // ends whose record version is not committed yet
	lastFailureMs   map[string]int64 // worker -> when a task of this job last failed there
	enteredMs       int64            // when it was admitted or loaded here
	waitsForShare   bool             // some task waits only for a share of its tenant's limit
	excess          bool             // it was admitted beyond its tenant's weight
	// The version and value of the record that was last sent to the core, as the base of the next
	// patch; version 0 if none was sent under this epoch.
	sentVersion int64
	sent        statestore.Segmented
}

// taskRuntime is the state of a task that an owner need not keep across a takeover.
type taskRuntime struct {
	retryAtMs           int64             // no new attempt before this time
	allocationRequestMs int64             // when its allocation was last requested; 0 if never
	sentMs              int64             // when its placement was last sent; 0 if not yet
	agentClockMs        int64             // the agent's clock as sent with the last placement
	silentSinceMs       int64             // since when its worker has been silent; 0 if it isn't
	state               wire.AttemptState // as last reported
	checkpoint          string            // the newest reported checkpoint
	restartGang         bool              // its gang is being restarted
	runningSinceMs      int64             // when it was first reported as running
	// limitVersion is the version of the configuration under whose limits the task was placed. It is 0 if a
	// former owner placed it: an agent then returns the task unstarted if its tenant has a limit.
	limitVersion int64
}

// waiter is a request that is responded to once a version of the job's record is committed.
type waiter struct {
	version int64
	request *request
	status  int
}

// workerView is this daemon's view of a worker, from the reports of the worker's agent. Fields without a comment
// are as reported.
type workerView struct {
	agent          string
	epoch          uint64
	agentClockMs   int64 // the agent's clock when it sent the last report
	receivedMs     int64 // when the last report arrived
	zone           string
	labels         []wire.Label
	leaving        bool
	signedOff      bool // the worker has signed off; later agents of it can\'t take that back
	rebuilt        bool
	reportFresh    bool
	free           resource.Amount
	capacity       resource.Amount
	usedByOthers   map[string]resource.Amount   // shard -> resources that all other shards use there
	batchUse       map[string][]wire.QueueUsage // shard -> what batch queues of all other shards use there
	unstarted      int64                        // unstarted tasks that are not batch tasks
	spare          spareWindow                  // the least capacity recently available to batch tasks
	rack           string
	urgentUse      resource.Amount // resources that the most urgent queues use there
	suspect        bool
	recentFailures bool
	colocated      bool // the agent runs beside the worker
	queued         int64
	rankMs         int64
	silentMs       int64
}

// jobOps holds the handler of each operation on a shard. It is filled by init, since the handlers refer to it.
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

// startShard begins the takeover of a shard whose lease this daemon has obtained.
func (n *node) startShard(name string, epoch uint64) {
	n.shards[name] = &ownedShard{
		name:             name,
		epoch:            epoch,
		startMs:          n.now,
		sealedRecords:    map[string]map[string]statestore.Record{},
		missingRecords:   map[string]map[string]bool{},
		missingFetches:   map[uint64]string{},
		mergedRecords:    map[string]statestore.Record{},
		jobs:             map[string]*liveJob{},
		finished:         map[string]*jobRecord{},
		dirty:            map[string]bool{},
		deferred:         map[string]int64{},
		loading:          map[string]bool{},
		writes:           map[uint64]*writeBatch{},
		replicaLags:      map[string]*replicaLag{},
		fetches:          map[uint64]*fetchOp{},
		admitting:        map[string]*fetchOp{},
		knownAbsent:      map[string]bool{},
		lateReadMs:       map[string]int64{},
		liveByQueue:      map[string]int{},
		placedByWorker:   map[string]map[taskRef]resource.Amount{},
		loadByWorker:     map[string]resource.Amount{},
		shares:           newTenantShares(name, epoch, n.core.Shards),
		unlistedAttempts: map[string]map[wire.AttemptKey]unlistedAttempt{},
	}
	n.counters[name] = quota.NewCounter(name, epoch)
	delete(n.shareReports, name)
	n.sendSeals(n.shards[name])
}

// endShard drops a shard whose lease has ended. Requests that wait for a commit are rejected with an unknown outcome;
// requests that wait for a read of the core changed nothing: plain reads go to the core again, others are rejected.
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

// markDirty schedules a job's record for the next write batch, under a new version if it had no unsent changes.
func (n *node) markDirty(shard *ownedShard, job *liveJob) {
	if !shard.isDirty(job.ID) {
		job.Version++
	}
	shard.dirty[job.ID] = true
	delete(shard.deferred, job.ID)
}

// markDeferred schedules a job's record to be written within deferredMs, together with later changes. It is for changes
// that nothing waits for. An owner that isn't busy writes the record with the next batch.
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

// isDirty reports whether a job's record has changed since it was last sent to the core.
func (s *ownedShard) isDirty(id string) bool {
	_, deferred := s.deferred[id]
	return deferred || s.dirty[id]
}

// tickShards drives the owned shards: takeovers, repeated writes, expired reads, the scheduling of jobs in order of
// urgency, and the removal of old finished jobs from memory.
func (n *node) tickShards() {
	for _, name := range sortedKeys(n.shards) {
		shard := n.shards[name]
		if !shard.serving {
			if n.now-shard.sealSentMs > writeRetryMs {
				if len(shard.missingRecords) > 0 { // a member failed between its seal response and the fetch: restart
					shard.restartTakeover()
				}
				n.sendSeals(shard)
			}
			continue
		}
		shard.writesThisTick, shard.writesLastTick = 0, shard.writesThisTick
		n.tickWrites(shard)
		for _, op := range sortedKeys(shard.fetches) {
			if fetch := shard.fetches[op]; n.now-fetch.startMs > forwardTimeoutMs*2/3 {
				delete(shard.fetches, op)
				delete(shard.admitting, fetch.id)
				for _, req := range fetch.requests {
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
		expired := 0
		isOld := func(id string) bool { return n.now-shard.finished[id].Version > finishedKeepMs }
		for expired < len(shard.finishedOrder) &&
			(len(shard.finishedOrder)-expired > finishedMax || isOld(shard.finishedOrder[expired])) {
			delete(shard.finished, shard.finishedOrder[expired])
			expired++
		}
		shard.finishedOrder = shard.finishedOrder[expired:]
	}
}

// jobsByUrgency returns a shard's live jobs in scheduling order: by precedence, in which urgent queues come first and
// excess jobs last, then by age.
func (n *node) jobsByUrgency(shard *ownedShard) []*liveJob {
	type rankedJob struct {
		precedence int64
		job        *liveJob
	}
	ranked := make([]rankedJob, 0, len(shard.jobs))
	for _, job := range shard.jobs {
		ranked = append(ranked, rankedJob{n.precedence(job.Queue, job.excess), job})
	}
	slices.SortFunc(ranked, func(a, b rankedJob) int {
		return cmp.Or(
			cmp.Compare(b.precedence, a.precedence),
			cmp.Compare(a.job.SubmitMs, b.job.SubmitMs),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	ordered := make([]*liveJob, len(ranked))
	for i, r := range ranked {
		ordered[i] = r.job
	}
	return ordered
}

// retireJob moves a job whose end is committed from the live jobs to the finished ones.
func (n *node) retireJob(shard *ownedShard, job *liveJob) {
	delete(shard.jobs, job.ID)
	shard.recordBytes -= job.recordBytes
	shard.removeLive(job)
	n.traceOutcome(shard, job)
	record := job.jobRecord
	record.Version = n.now // in finished jobs the version holds the time of retirement
	shard.finished[record.ID] = &record
	shard.finishedOrder = append(shard.finishedOrder, record.ID)
}
