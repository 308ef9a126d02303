package daemon

// All constants of the daemon stand here, each with its unit in the name and
// the reason for its size.
const (
	tickMs            = 100        // the reducer's heartbeat; every wait below is a multiple
	flightMs          = 700        // an order that has not been answered by then is closed and unsettled
	contactMs         = 1500       // an order needs the owner's word this fresh; a cancel must bite in 3 s
	configFreshMs     = 1500       // a setup must be confirmed this freshly; an acked one must bite in 2 s
	reportMs          = 1500       // a worker's word must be this fresh; leaving must bite in 2 s
	forgetMs          = 3600_000   // a worker not heard of for an hour leaves the views
	frozenMs          = 1000       // no event for that long, with ten ticks a second: the machine stood still
	rankMs            = 3000       // the paper's and the design's round of ranks and targets
	rankStaleMs       = 3 * rankMs // three missed rounds: ranks and targets are ignored
	syncMs            = 300        // agents tell owners and the central scheduler all they hold
	allocationRetryMs = 1000       // owners repeat their asks for firm places
	allocationStaleMs = 3000       // the central scheduler drops asks not repeated
	grantMs           = 2500       // a grant not seen at the agent by then frees its room
	configForwardMs   = 2400       // the same for a change of the setup, which a core member tries for changeMs
	forwardMs         = 1200       // an ask handed over without an answer is given up on
	quorumReadMs      = 500        // a state read from the core that takes longer is given up on
	changeMs          = 2500       // a register change that has not ended by then is given up on
	changeRetryMs     = 150        // base of the jittered wait between two tries of a change
	writeRetry        = 600        // ms before unacknowledged record writes are sent again
	stopMs            = 2000       // a graceful stop ends in this time whatever happens, but for a core member's
	agentIdleMs       = 600_000    // an agent whose worker is silent and owes nothing lets go
	tombstoneMs       = 6000       // dropped attempts are remembered longer than any placement stays fresh
	silentMs          = 5000       // a worker not heard of for this long is shown as silent
	limitMargin       = 5000       // ms past a run limit before a queue that trusts it has a silent run settled
	bypassMs          = 3000       // queued tasks may overtake a larger head for this long, no longer
	backoffMs         = 500        // base wait of a failing task's next try, doubled each time
	backoffMax        = 30_000     // ms; the longest such wait
	finishedMs        = 600_000    // finished jobs answered from the owner's memory this long
	dueMarginMs       = 50         // starts wait this much past the due time, for what sound clocks differ by
	rebuildMs         = 500        // a new central scheduler listens this long before it grants: agents speak each 300 ms
	reserveMs         = 4000       // the longest-waiting firm task holds a worker back after this
	holdMostMs        = 10_000     // defaults of what a platform bounds: see docs/settings.md
	gangWaitMs        = 3000
	saveMs            = 1000
	restoreMs         = 250

	kLowest            = 50       // the design's k: the most workers a queueable task is drawn among
	kLeast             = 3        // and the fewest; between them a quarter of the allowed ones, see docs/rounds.md
	thresholdMs        = 2500     // learned run time below this is queueable; see docs/rounds.md
	preemptMax         = 2        // after two preemptions a task is guaranteed
	healthMinEnds      = 8        // ends an agent needs before it judges its worker
	forwardsMax        = 2        // an ask is handed over at most this often
	finishedMax        = 5000     // finished jobs an owner keeps in memory
	learnedMax         = 4096     // run-time estimates a daemon keeps
	learnedTell        = 500      // of them told to all others in one round
	shardJobsMax       = 4000     // live jobs a slice may have; see urgentShare
	urgentShare        = 25       // percent of a slice's jobs kept for queues above the lowest urgency
	agentQueueMax      = 400      // unstarted tasks an agent holds before it bounces
	allocationsPerTick = 64       // asks for firm places a slice sends in one tick, most urgent first
	allocateNowMax     = 64       // waiting asks up to which each event tries to grant; beyond, only ticks do
	requestsMax        = 4000     // asks in flight through one daemon before it bounces
	retryShare         = 5        // every so many asks allow one to be handed over again: a crowd costs a fifth more at most
	retriesPerTick     = 1        // and so many a tick, that few asks need not wait
	readsPerTick       = 10       // states read from the core a tick: 100 a second for each daemon
	retryBudgetMax     = 100      // what either budget saves up for a burst
	bodyMax            = 1 << 20  // bytes of a job's body
	stepsMax           = 64       // steps of a job
	roundTasksMax      = 2000     // tasks of the rounds of a job that are open at once
	snapshotMin        = 8 << 20  // bytes of log before a snapshot is worth its writing
	shardBytesMax      = 24 << 20 // live jobs of a slice as packed: a seal's answer must fit a frame
	keepHoursDef       = 24       // hours a finished job is kept; callers check states within a day

	replyMs      = 4000 // the control thread answers long before; this guards against a fault in it
	visitAgainMs = 2000 // doctor's second look; every bound on a passing state is shorter
	spreadMs     = 1000 // a clock this far off is wrong, whatever the network
	slowSyncMs   = 200  // a sync this slow sets the pace of every change

	loopJobs  = 8192 // events waiting for the control thread before posters wait
	ordersMax = 256  // orders on their way at once from one daemon

	msPerHour = 3600_000
)

// Of batches.
const (
	batchPlanMs     = 2000   // batches are planned anew at this pace; far below batchMarginMs
	batchLearnMs    = 2500   // a new owner hears all agents first, or the room would look small and all jobs late
	batchSlack      = 200    // percent of the time a batch needs that is kept for it: it is pushed out, runs off its guess, finds half the room
	batchMarginMs   = 60_000 // and beside that: a lost worker, a takeover and another try
	batchHeadroom   = 25     // percent of a worker that stays free when a batch task starts there
	batchLowMs      = 3000   // batches count on room that was left for so long at the least
	batchStartsTick = 4      // batch tasks a slice places in one tick
	batchTriesTick  = 64     // and those it looks for a place for
	batchAgainMs    = 400    // a task that found no place is looked at again after this, about
	batchCalmMs     = 1500   // so long after a more urgent task found no place none is placed
	batchCalmShare  = 4      // nor while something waits at one in so many workers
	batchWaitMs     = 300    // a batch task that can't start at its worker by then goes back
	batchBackMs     = 1500   // and one that was pushed out waits this long, up to twice
	batchRecords    = 50     // percent of a slice's records that may be full when a batch is taken
)

// Of agents beside their workers, of gangs and of firm room.
const (
	holdSpanMs    = 4000   // a beat's answer holds its worker this long; a daemon that is killed is back before
	ownerSpanMs   = 7000   // an agent keeps a run without its owner's word this long: longer than a takeover or a short cut
	staleStopMs   = 900    // before that it stops the run, in time for the stop to be listed
	lapseMarginMs = 300    // past the longest a hold may last, for what clocks and messages differ by
	driftPercent  = 2      // a worker's clock may run this much slow
	recallMs      = 150    // a task that waits this long at its worker is called back where another has room now
	heartbeatMs   = 50     // a worker beats again after this; an order waits half of it in the mean
	urgentWaitMs  = 350    // a queueable task of a more urgent queue waits this long, and may be called back meanwhile, before it pushes others out
	gangSlackMs   = 2000   // a gang not whole by then is begun anew, before any member waits too long alone
	regrantMs     = 400    // a place still wanted this long after its grant was not taken
	spreadAfterMs = 1500   // a gang that wants one rack takes several after this, at the earliest
	rackWaitShare = 50     // percent of what its run takes longer over several that it waits for one
	rackWaitMost  = 15_000 // ms, and no longer than this
	urgentRoom    = 12     // percent of a worker that firm work of lesser queues leaves to the most urgent ones
	standMs       = 1500   // work that does not move for this long, and a tenth of its estimate, stands still
	lastPercent   = 99     // a worker tells no more of work that has not ended
	suspectMs     = 3000   // a worker where work stood still gets no more for this long, doubled each time
	busyPercent   = 55     // of all room in use: below it no reservation holds, for a job must not wait beside idle workers
	backfillMs    = 2000   // against anything that waited this long
	lateEndsMax   = 100    // ends that wait behind a late one before the hold is let run out
	endsPage      = 500    // ends that one beat tells of at most
	openAheadMs   = 400    // a round is written down this long before it is due
	goneMs        = 500    // a worker that said it goes has ended this long after
	leaveStopMs   = 800    // so long before its worker leaves, work that saves is stopped, to go on elsewhere
	healthDecayMs = 10_000 // the ends of a worker's runs, and suspicions of it, count for less after each such time
	workerKeepMs  = 60_000 // a worker's agent whose worker is gone keeps the ends nobody took note of for this long
)

// Of experiments (experiment.go).
const (
	settleMaxS   = 240 // s until a hollow fleet stands with its load; a few hundred daemons take half a minute
	startGroup   = 10  // hollow daemons started at once
	startPauseMs = 200 // and then a pause, so that the fleet's first words don't come all at one time
)
