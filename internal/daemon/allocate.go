package daemon

import (
	"cmp"
	"slices"

	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"
)

const (
	reserveAfterMs  = 4000   // a request that has waited this long reserves workers
	regrantAfterMs  = 400    // a task requested again this long after its grant gets a new one
	spreadAfterMs   = 1500   // a gang that prefers one rack waits at least this long before it is spread over several
	rackWaitPercent = 50     // percent of the extra run time over several racks that a gang waits for one rack
	rackWaitMaxMs   = 15_000 // upper bound of the wait for one rack
	// busyPercent is the percentage of the fleet's resources in use below which the fleet counts as idle. A
	// request may then use reserved resources after backfillAfterMs, so that no job waits long beside idle
	// workers.
	busyPercent     = 55
	backfillAfterMs = 2000 // a request that has waited this long may use reserved resources of an idle fleet
	// allocationsPerMs is how many pairs of request and worker a pass may examine for each ms until the
	// next pass. A pair takes about 100 ns, so passes take a fifth of the control thread on half a core.
	// With a dozen workers the next pass can follow almost at once.
	allocationsPerMs = 500
)

// allocationPass is one pass of the central scheduler over the pending requests.
type allocationPass struct {
	candidates []*scheduler.Candidate
	reserved   map[string]bool // workers reserved for requests that come earlier in the order
	idle       bool            // the fleet is mostly idle, see backfillAfterMs
}

// allocateSoon runs an allocation pass now, or leaves it to a later event if the last pass was too
// recent: the cost of a pass grows with requests and workers and must not fill the control thread.
func (n *node) allocateSoon(c *centralScheduler) {
	if n.now >= c.nextAllocationMs {
		n.allocateAll(c)
	}
}

// allocateAll grants guaranteed resources in order of urgency and age. Resources that queueable tasks
// hold count as available, since preemption can free them.
func (n *node) allocateAll(c *centralScheduler) {
	if !n.leases.Holds(lease.Central) || n.now-c.startMs < centralRebuildMs || !n.configFresh() {
		return
	}
	keys := n.pendingInOrder(c)
	if len(keys) == 0 {
		return
	}
	c.nextAllocationMs = n.now + int64(len(keys)*len(c.workers)/allocationsPerMs)
	candidates := n.candidateWorkers(c)
	pass := &allocationPass{
		candidates: candidates,
		reserved:   map[string]bool{},
		idle:       n.Policies.On(scheduler.Backfill) && scheduler.IdleInSomeDimension(candidates, busyPercent),
	}
	for _, key := range keys {
		request := c.pending[key]
		if q := n.config.current.Queue(request.Queue); q != nil {
			n.allocate(c, pass, request, q)
		}
	}
}

// allocate grants one request the workers that it can have now, or else reserves workers for it.
func (n *node) allocate(
	c *centralScheduler, pass *allocationPass, request *pendingAllocation, queue *configuration.Queue,
) {
	fitting, healthy := n.fittingWorkers(request, queue, pass.candidates)
	open := request.open()
	search := n.newAssignment(request, queue, pass.reserved)
	workers := search.Find(len(open), healthy)
	if len(workers) == 0 && pass.idle && n.now-request.firstMs > backfillAfterMs {
		// In a mostly idle fleet, a request that has waited this long may use reserved resources and the headroom.
		search.Reserved, search.Urgent, search.WaitsForRack = nil, true, n.waitsForRack(request, spreadAfterMs)
		if workers = search.Find(len(open), healthy); len(workers) == 0 {
			workers = search.Find(len(open), fitting)
		}
	}
	if len(workers) == 0 {
		n.reserve(request, healthy, pass.reserved, len(pass.candidates))
		return
	}
	n.sendAllocation(c, request, open, workers)
}

// pendingInOrder returns the requests with open tasks, ordered by the queue's urgency (those of excess
// jobs last), then by what their tenants already use, then by the job's age.
func (n *node) pendingInOrder(c *centralScheduler) []allocationKey {
	var keys []allocationKey
	for key, request := range c.pending {
		if request.hasOpen() {
			keys = append(keys, key)
		}
	}
	requests := make([]scheduler.FairRequest, len(keys))
	for i, key := range keys {
		request := c.pending[key]
		requests[i] = scheduler.FairRequest{
			Precedence: n.precedence(request.Queue, request.Excess), SubmittedMs: request.SubmittedMs,
			Job: key.Job, Step: key.Step,
		}
	}
	if n.limits.HasTenants() && n.Policies.On(scheduler.WeightedFairness) {
		n.addTenantShares(c, keys, requests)
	}
	ordered := make([]allocationKey, len(keys))
	for i, at := range scheduler.FairOrder(requests) {
		ordered[i] = keys[at]
	}
	return ordered
}

// candidateWorkers returns the workers that may get work now, with their free resources.
func (n *node) candidateWorkers(c *centralScheduler) (candidates []*scheduler.Candidate) {
	granted := c.grantedResources()
	for _, name := range sortedKeys(c.workers) {
		w := c.workers[name]
		if n.now-w.receivedMs >= ownerContactMs || !w.Rebuilt || !w.WorkerReportFresh || w.Leaving ||
			n.config.current.EmptyZones[w.Zone] {
			continue
		}
		candidates = append(candidates, &scheduler.Candidate{
			Name:                name,
			Rack:                w.Rack,
			Capacity:            w.Capacity,
			FreeAfterPreemption: w.Capacity.Minus(w.guaranteed).Minus(granted[name]),
			Free:                w.Capacity.Minus(w.occupied).Minus(granted[name]),
		})
	}
	return candidates
}

// fittingWorkers returns the workers that a request's queue, labels and size allow, and the healthy ones
// among them. If none is healthy, or most are suspect, it returns all of them as healthy.
func (n *node) fittingWorkers(
	request *pendingAllocation,
	queue *configuration.Queue,
	candidates []*scheduler.Candidate,
) (fitting, healthy []*scheduler.Candidate) {
	suspects := 0
	for _, candidate := range candidates {
		w := n.central.workers[candidate.Name]
		_, missing := configuration.MissingLabel(w.Labels, request.RequiredLabels)
		if missing || !queue.Matches(w.Labels, w.Zone) || !request.Resources.Fits(candidate.Capacity) {
			continue
		}
		fitting = append(fitting, candidate)
		if w.Suspect {
			suspects++
		}
		if n.Policies.On(scheduler.AvoidSilent) && w.Colocated && isQuiet(n.now-w.receivedMs, w.SilentMs) {
			continue
		}
		if w.unhealthyUntilMs <= n.now && !w.Suspect || !n.Policies.On(scheduler.EjectUnhealthy) {
			healthy = append(healthy, candidate)
		}
	}
	if len(healthy) == 0 || 2*suspects > len(fitting) { // if most are suspect, the cause lies elsewhere
		healthy = fitting
	}
	return fitting, healthy
}

// newAssignment returns the search for workers for a request, with the tasks of its step that workers
// already have.
func (n *node) newAssignment(
	request *pendingAllocation,
	queue *configuration.Queue,
	reserved map[string]bool,
) *scheduler.Assignment {
	search := &scheduler.Assignment{
		Group: n.groupOf(request), TaskCounts: map[string]int32{}, Reserved: reserved,
		Urgent: n.mayUseUrgentHeadroom(queue, request.Excess), HeadroomPercent: n.central.headroom.Percent(),
		WaitsForRack: n.waitsForRack(request, n.rackWaitMs(request)),
	}
	for _, taskCount := range request.StepWorkers {
		search.TaskCounts[taskCount.Worker] += taskCount.Count
	}
	for _, grant := range request.granted {
		search.TaskCounts[grant.worker]++
	}
	return search
}

// groupOf returns the requirements of a request's tasks on workers.
func (n *node) groupOf(request *pendingAllocation) scheduler.Group {
	g := scheduler.Group{
		Resources: request.Resources, Size: len(request.Tasks), MaxPerWorker: request.MaxPerWorker, Gang: request.Gang,
		SameRack: request.SameRack,
	}
	if n.Policies.On(scheduler.NearData) {
		g.DataRack = request.DataRack
	}
	if n.Policies.On(scheduler.AvoidLast) {
		g.Avoid, g.Suspect = setOf(request.Avoid), setOf(request.Suspect)
	}
	return g
}

func setOf(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

// sendAllocation records the granted workers and sends them to the request's owner.
func (n *node) sendAllocation(
	c *centralScheduler, request *pendingAllocation, open []wire.RequestedTask, workers []*scheduler.Candidate,
) {
	m := &wire.Allocation{Shard: request.Shard, Job: request.Job, Epoch: c.epoch}
	for i, w := range workers {
		task := open[i]
		m.Places = append(m.Places, wire.AllocatedTask{Task: task.Task, Attempt: task.Attempt, Worker: w.Name})
		request.granted[task.Task] = grantedTask{task.Attempt, w.Name, n.now}
		n.count("grants")
	}
	n.send(request.from, m)
}

// reserve reserves the most likely workers for a request that has waited long: one worker for a single
// task, as many as a whole gang needs for a gang. A gang that waits for one rack reserves workers of one
// rack from the beginning, as other requests would otherwise take what becomes free there.
func (n *node) reserve(
	request *pendingAllocation, fitting []*scheduler.Candidate, reserved map[string]bool, workerCount int,
) {
	if !n.Policies.On(scheduler.Reservation) {
		return
	}
	var likely []*scheduler.Candidate
	group := n.groupOf(request)
	switch waitedMs := n.now - request.firstMs; {
	case request.Gang && request.SameRack && waitedMs < n.rackWaitMs(request):
		likely = group.LikeliestRack(fitting, reserved)
	case waitedMs > reserveAfterMs:
		likely = slices.Clone(fitting)
	}
	slices.SortStableFunc(likely, func(a, b *scheduler.Candidate) int {
		return cmp.Compare(b.FreeAfterPreemption.CPU, a.FreeAfterPreemption.CPU)
	})
	need := int64(1)
	if request.Gang {
		need = int64(len(request.Tasks))
	}
	for _, candidate := range likely {
		if need <= 0 || 2*len(reserved) >= workerCount && !request.Gang {
			return
		}
		reserved[candidate.Name] = true
		need -= scheduler.FitCount(request.Resources, candidate.Capacity)
	}
}

// rackWaitMs returns how long a gang that prefers one rack waits for one: a share of the extra run time
// that it would have over several racks.
func (n *node) rackWaitMs(request *pendingAllocation) int64 {
	extraMs := int64((n.SpreadFactor - 1) * float64(request.EstimateMs))
	return min(max(extraMs*rackWaitPercent/100, spreadAfterMs), rackWaitMaxMs)
}

// waitsForRack reports whether a request is still within the time that a gang waits for one rack.
func (n *node) waitsForRack(request *pendingAllocation, limitMs int64) bool {
	return n.Policies.On(scheduler.RackWait) && n.now-request.firstMs < limitMs
}
