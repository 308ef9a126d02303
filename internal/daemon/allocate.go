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
	reserveAfterMs  = 4000   // the longest-waiting firm task holds a worker back after this
	regrantAfterMs  = 400    // a place still wanted this long after its grant was not taken
	spreadAfterMs   = 1500   // a gang that wants one rack takes several after this, at the earliest
	rackWaitPercent = 50     // percent of what its run takes longer over several that it waits for one
	rackWaitMaxMs   = 15_000 // ms, and no longer than this
	// busyPercent is of all room in use: below it no reservation holds, for a job must not wait
	// beside idle workers.
	busyPercent     = 55
	backfillAfterMs = 2000 // against anything that waited this long
	// allocationsPerMs is how many pairs of a request and a worker a pass may look at for each
	// ms until the next pass: a pair takes some 100 ns, so that passes take a fifth of the
	// control thread of half a core. Among a dozen workers the next pass comes at once, nearly.
	allocationsPerMs = 500
)

// allocationPass is one pass of the central scheduler over the requests that wait.
type allocationPass struct {
	candidates []*scheduler.Candidate
	reserved   map[string]bool // workers kept for requests that come before
	idle       bool            // most of all room is free: nothing is kept back for long
}

// allocateSoon gives guaranteed places now, or with a later event where the last pass was just
// now: what a pass costs grows with requests and workers, and may not fill the control thread.
func (n *node) allocateSoon(c *centralScheduler) {
	if n.now >= c.nextAllocationMs {
		n.allocateAll(c)
	}
}

// allocateAll gives guaranteed places in order of urgency and age, only where the room
// is sure: what queueable tasks hold counts as room, since it can be freed.
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
	for _, k := range keys {
		request := c.pending[k]
		if q := n.config.current.Queues[request.Queue]; q != nil {
			n.allocate(c, pass, request, q)
		}
	}
}

// allocate gives one request the places that it can have now.
func (n *node) allocate(c *centralScheduler, pass *allocationPass, request *pendingAllocation, q *configuration.Queue) {
	fit, healthy := n.fittingWorkers(request, q, pass.candidates)
	open := request.open()
	search := n.newAssignment(request, q, pass.reserved)
	workers := search.Find(len(open), healthy)
	if len(workers) == 0 && pass.idle && n.now-request.firstMs > backfillAfterMs {
		// No room is kept back from what waited this long while most of it is free.
		search.Reserved, search.Urgent, search.WaitsForRack = nil, true, n.waitsForRack(request, spreadAfterMs)
		if workers = search.Find(len(open), healthy); len(workers) == 0 {
			workers = search.Find(len(open), fit)
		}
	}
	if len(workers) == 0 {
		n.reserve(request, healthy, pass.reserved, len(pass.candidates))
		return
	}
	n.sendAllocation(c, request, open, workers)
}

// pendingInOrder gives the requests with open tasks: by the queue's urgency, those of excess jobs
// last, and among equals by what their tenants have already and by the job's age.
func (n *node) pendingInOrder(c *centralScheduler) []allocationKey {
	var keys []allocationKey
	for k, request := range c.pending {
		if request.hasOpen() {
			keys = append(keys, k)
		}
	}
	requests := make([]scheduler.FairRequest, len(keys))
	for i, k := range keys {
		request := c.pending[k]
		requests[i] = scheduler.FairRequest{
			Precedence: n.precedence(request.Queue, request.Excess), SubmittedMs: request.SubmittedMs, Job: k.Job, Step: k.Step,
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

// candidateWorkers gives the workers that may get work now, with the room they have.
func (n *node) candidateWorkers(c *centralScheduler) (candidates []*scheduler.Candidate) {
	granted := c.grantedRoom()
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
			Free:                w.Capacity.Minus(w.busy).Minus(granted[name]),
		})
	}
	return candidates
}

// fittingWorkers gives the workers that a request's queue, labels and size allow, and those of
// them that are healthy: unhealthy ones count only where nothing else may ever do.
func (n *node) fittingWorkers(
	request *pendingAllocation,
	q *configuration.Queue,
	candidates []*scheduler.Candidate,
) (fit, healthy []*scheduler.Candidate) {
	suspects := 0
	for _, r := range candidates {
		w := n.central.workers[r.Name]
		_, lack := configuration.MissingLabel(w.Labels, request.RequiredLabels)
		if lack || !q.Matches(w.Labels, w.Zone) || !request.Resources.Fits(r.Capacity) {
			continue
		}
		fit = append(fit, r)
		if w.Suspect {
			suspects++
		}
		if n.Policies.On(scheduler.AvoidSilent) && w.Colocated && isQuiet(n.now-w.receivedMs, w.SilentMs) {
			continue
		}
		if w.unhealthyUntilMs <= n.now && !w.Suspect || !n.Policies.On(scheduler.EjectUnhealthy) {
			healthy = append(healthy, r)
		}
	}
	if len(healthy) == 0 || 2*suspects > len(fit) { // where most are suspect it isn't the workers
		healthy = fit
	}
	return fit, healthy
}

func (n *node) newAssignment(
	request *pendingAllocation,
	q *configuration.Queue,
	reserved map[string]bool,
) *scheduler.Assignment {
	search := &scheduler.Assignment{
		Group: n.groupOf(request), TaskCounts: map[string]int32{}, Reserved: reserved,
		Urgent: n.mayUseUrgentHeadroom(q, request.Excess), HeadroomPercent: n.central.headroom.Percent(),
		WaitsForRack: n.waitsForRack(request, n.rackWaitMs(request)),
	}
	for _, u := range request.StepWorkers {
		search.TaskCounts[u.Worker] += u.Count
	}
	for _, g := range request.granted {
		search.TaskCounts[g.worker]++
	}
	return search
}

// groupOf is what the tasks of a request ask of workers.
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

// sendAllocation notes what is granted, and tells the request's owner.
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

// reserve lets a request that waited long keep the likeliest workers from those
// behind it: one worker for a task, as many as hold it whole for a gang. A gang
// that waits for one rack keeps workers of one rack, from the beginning: else
// others take what gets free there.
func (n *node) reserve(request *pendingAllocation, fit []*scheduler.Candidate, reserved map[string]bool, all int) {
	if !n.Policies.On(scheduler.Reservation) {
		return
	}
	var likely []*scheduler.Candidate
	group := n.groupOf(request)
	switch waitedMs := n.now - request.firstMs; {
	case request.Gang && request.SameRack && waitedMs < n.rackWaitMs(request):
		likely = group.LikeliestRack(fit, reserved)
	case waitedMs > reserveAfterMs:
		likely = slices.Clone(fit)
	}
	slices.SortStableFunc(likely, func(a, b *scheduler.Candidate) int {
		return cmp.Compare(b.FreeAfterPreemption.CPU, a.FreeAfterPreemption.CPU)
	})
	need := int64(1)
	if request.Gang {
		need = int64(len(request.Tasks))
	}
	for _, r := range likely {
		if need <= 0 || 2*len(reserved) >= all && !request.Gang {
			return
		}
		reserved[r.Name] = true
		need -= scheduler.FitCount(request.Resources, r.Capacity)
	}
}

// rackWaitMs is how long a gang that asks for one rack waits for one: a part of
// what its run would take longer over several.
func (n *node) rackWaitMs(request *pendingAllocation) int64 {
	longerMs := int64((n.SpreadFactor - 1) * float64(request.EstimateMs))
	return min(max(longerMs*rackWaitPercent/100, spreadAfterMs), rackWaitMaxMs)
}

// waitsForRack tells whether a gang still waits for room in one rack, where it does so for long.
func (n *node) waitsForRack(request *pendingAllocation, forMs int64) bool {
	return n.Policies.On(scheduler.RackWait) && n.now-request.firstMs < forMs
}
