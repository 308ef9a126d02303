package daemon

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"

	"otterchute/internal/configuration"
	"otterchute/internal/historycheck"
	"otterchute/internal/resource"
	"otterchute/internal/scheduler"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// weightedSetup returns a configuration with two queues and weighted tenants, each with its name as key.
func weightedSetup(weights map[string]float64) []byte {
	tenants := []map[string]any{}
	for _, name := range sortedKeys(weights) {
		tenants = append(tenants, map[string]any{
			"name": name, "weight": weights[name], "key_digests": []string{fmt.Sprintf("%x", sha256.Sum256([]byte(name)))},
		})
	}
	queue := func(name string, urgency int) map[string]any {
		return map[string]any{"name": name, "urgency": urgency, "addresses": []map[string]any{{"host": "h", "prefix": "/" + name + "/"}}}
	}
	return mustJSON(map[string]any{"queues": []any{queue("fast", 100), queue("slow", 10)}, "tenants": tenants})
}

// weightedJob records a job that a tenant sent to a queue.
type weightedJob struct {
	id            string
	tenant        string
	sentMs, endMs int64
	status        int
	retryMs       int64
}

// tenantLoad sends tenants' jobs to queues. Each has one task that takes a whole worker for a second.
type tenantLoad struct {
	*world
	sent []*weightedJob
}

func (l *tenantLoad) send(queue, tenant string) {
	j := &weightedJob{id: fmt.Sprintf("%s-%04d", tenant, len(l.sent)), tenant: tenant, sentMs: l.nowMs()}
	l.sent = append(l.sent, j)
	body := fmt.Appendf(nil, `{"queue":%q,"steps":[{"name":"s","tasks":[{"name":"t","room":%d,"limit_ms":60000,"payload":{"ms":1000}}]}]}`, queue, l.deployment.Cores)
	l.call("caller", l.anyNode(len(l.sent)), evRequest{
		Op: "queue.submit", Host: "h", Path: "/" + queue + "/" + j.id, Base: -1, Body: body, Credential: tenant,
	}, 3000, func(status int, retryMs int64, _ []byte) { j.status, j.retryMs = status, retryMs })
}

// sendEvenly sends jobs at a constant rate.
func (l *tenantLoad) sendEvenly(queue, tenant string, perSecond, forMs int64) {
	for atMs := int64(0); atMs < forMs; atMs += 1000 / perSecond {
		l.after(atMs*1000, func() { l.send(queue, tenant) })
	}
}

// recordEnds records when each job's task ended.
func (l *tenantLoad) recordEnds() {
	byID := map[string]*weightedJob{}
	for _, j := range l.sent {
		byID[j.id] = j
	}
	for _, e := range l.history {
		if j := byID[e.Job]; j != nil && e.Kind == historycheck.End && e.Text == "ok" {
			j.endMs = e.AtMs
		}
	}
}

// tookMs returns the sorted latencies of a tenant's completed jobs.
func (l *tenantLoad) tookMs(tenant string) (took []int64) {
	for _, j := range l.sent {
		if j.tenant == tenant && j.endMs != 0 {
			took = append(took, j.endMs-j.sentMs)
		}
	}
	slices.Sort(took)
	return took
}

// newTenantLoad returns a cluster with weighted tenants.
func newTenantLoad(t *testing.T, seed uint64, weights map[string]float64) *tenantLoad {
	t.Helper()
	w := servingWorld(t, seed)
	must.Eq(t, 200, w.callAndWait(w.nodes["d00"], evRequest{Op: "setup.put", Key: "1", Base: 0, Body: weightedSetup(weights)}, 4000).status)
	w.run(4000)
	return &tenantLoad{world: w}
}

// overloadByOneTenant has one tenant send five times what the fleet can run, and two others few jobs, and waits for
// all accepted jobs to end.
func (l *tenantLoad) overloadByOneTenant() {
	l.sendEvenly("fast", "hot", 5*int64(l.deployment.Workers), 10_000)
	l.sendEvenly("slow", "calm", 2, 10_000)
	l.sendEvenly("fast", "small", 1, 10_000)
	l.run(10_000)
	l.until(200_000, func() bool {
		l.recordEnds()
		return !slices.ContainsFunc(l.sent, func(j *weightedJob) bool { return j.status == 201 && j.endMs == 0 })
	})
}

// fleetWeights add up to less than the fleet's capacity.
var fleetWeights = map[string]float64{"hot": 3, "calm": 3, "small": 2}

// Guards against a tenant that slows down others by sending more than its weight allows. Its excess jobs
// must wait behind all other jobs, also those of less urgent queues. They are rejected with a retry time
// where too many wait, and every accepted one ends.
func TestHotTenantWaitsBehindOthers(t *testing.T) {
	const maxLatencyMs = 10_000
	for seed := range uint64(4) {
		l := newTenantLoad(t, 7100+seed, fleetWeights)
		l.overloadByOneTenant()
		refused := 0
		for _, j := range l.sent {
			if j.status == 429 && j.tenant == "hot" {
				must.Between(t, excessRetryMinMs, j.retryMs, excessRetryMaxMs)
				must.Zero(t, j.endMs)
				refused++
				continue
			}
			must.Eq(t, 201, j.status, must.Sprint(j.id))
			must.Positive(t, j.endMs, must.Sprint(j.id, " never ran"))
		}
		must.Positive(t, refused)
		must.Eq(t, int64(refused), l.total("jobs_rejected_excess"))
		must.Positive(t, l.total("jobs_excess"))
		for _, tenant := range []string{"calm", "small"} {
			took := l.tookMs(tenant)
			must.Less(t, maxLatencyMs, took[len(took)-1], must.Sprint(tenant, took))
		}
	}
}

// Without the policy others wait for the hot tenant, so the test above detects that it is missing.
func TestOthersWaitWithoutTenantWeight(t *testing.T) {
	l := newTenantLoad(t, 7100, fleetWeights)
	off, err := scheduler.ParseSet(string(scheduler.TenantWeight))
	must.NoError(t, err)
	for _, n := range l.sortedNodes() {
		n.executor.node.Policies = off
	}
	l.overloadByOneTenant()
	for _, tenant := range []string{"calm", "small"} {
		took := l.tookMs(tenant)
		must.Greater(t, 30_000, took[len(took)-1], must.Sprint(tenant, took))
	}
}

// Neither a tenant without a weight nor one that stays below its weight has excess jobs.
func TestNoExcess(t *testing.T) {
	l := newTenantLoad(t, 7200, map[string]float64{"free": 0, "steady": 6})
	l.sendEvenly("fast", "free", 20, 3000)
	l.sendEvenly("fast", "steady", 5, 3000)
	l.run(6000)
	must.Zero(t, l.total("jobs_excess"))
	for _, j := range l.sent {
		must.Eq(t, 201, j.status, must.Sprint(j.id))
	}
}

// While resources are free, a tenant's excess jobs are accepted and run like all others.
func TestExcessRunsWhereThereIsRoom(t *testing.T) {
	l := newTenantLoad(t, 7300, map[string]float64{"hot": 0.5})
	l.sendEvenly("slow", "hot", 5, 8000)
	l.run(15_000)
	l.recordEnds()
	must.Positive(t, l.total("jobs_excess"))
	for _, j := range l.sent {
		must.Eq(t, 201, j.status, must.Sprint(j.id))
		must.Positive(t, j.endMs)
	}
}

// The central scheduler orders requests of excess jobs after all others, and by urgency and age among
// themselves.
func TestExcessComesLastAtCentralScheduler(t *testing.T) {
	n := rackNode(t, 1)
	add := func(job, queue string, submittedMs int64, excess bool) {
		request := allocationOf(job, queue, 1, 1000, 1000)
		request.SubmittedMs, request.Excess = submittedMs, excess
		n.central.add(n.now, request)
	}
	add("excess-high", "high", 1, true)
	add("excess-low", "low", 1, true)
	add("low", "low", 3, false)
	add("high", "high", 3, false)
	add("low-old", "low", 2, false)
	add("excess-high-old", "high", 0, true)
	order := []string{}
	for _, key := range n.pendingInOrder(n.central) {
		order = append(order, key.Job)
	}
	must.Eq(t, []string{"high", "low-old", "low", "excess-high-old", "excess-high", "excess-low"}, order)
}

// Among requests of equal urgency the central scheduler prefers the tenant that uses the least relative
// to its weight, summed over all shards; without tenants the oldest request.
func TestWeightedFairnessAtCentralScheduler(t *testing.T) {
	n := rackNode(t, 1)
	n.core.Shards = []string{"east", "west"}
	add := func(job, shard, tenant string, submittedMs, usedCPU int64) {
		request := allocationOf(job, "mid", 2, 1000, 1000)
		request.SubmittedMs, request.Shard, request.Tenant, request.TenantUsed = submittedMs, shard, tenant, resource.Amount{CPU: usedCPU}
		n.central.add(n.now, request)
	}
	add("large-1", "east", "large", 1, 4000) // uses 8000 of 24000 at weight 4: 1/12
	add("large-2", "east", "large", 2, 4000)
	add("small-1", "east", "small", 3, 1000) // uses 3000 of 24000 at weight 1: 1/8
	add("small-2", "west", "small", 4, 2000)
	add("calm", "west", "calm", 5, 0)
	order := func() (jobs []string) {
		for _, key := range n.pendingInOrder(n.central) {
			jobs = append(jobs, key.Job)
		}
		return jobs
	}
	byAge := []string{"large-1", "large-2", "small-1", "small-2", "calm"}
	must.Eq(t, byAge, order())
	n.config.current.Tenants = map[string]*configuration.Tenant{
		"large": {Name: "large", Weight: 4}, "small": {Name: "small", Weight: 1}, "calm": {Name: "calm", Weight: 1},
	}
	n.adoptLimits()
	must.Eq(t, []string{"calm", "large-1", "large-2", "small-1", "small-2"}, order())
	n.Policies, _ = scheduler.ParseSet(string(scheduler.WeightedFairness))
	must.Eq(t, byAge, order())
}

// A shard sums up the resources of each tenant's placed tasks, which its requests report.
func TestTenantUsedOfShard(t *testing.T) {
	shard := &ownedShard{placedByWorker: map[string]map[taskRef]resource.Amount{}, loadByWorker: map[string]resource.Amount{}}
	job := &liveJob{jobRecord: jobRecord{ID: "j", Tenant: "a", Steps: []jobStep{{Size: 2}}, Tasks: []task{
		{State: taskPlaced, Worker: "w", Resources: resource.Amount{CPU: 3}},
		{State: taskPlaced, Worker: "w", Resources: resource.Amount{CPU: 4}, IndexInStep: 1},
	}}}
	shard.updatePlacedIndex(job, 0)
	shard.updatePlacedIndex(job, 1)
	must.Eq(t, map[string]resource.Amount{"a": {CPU: 7}}, shard.tenantUsed)
	job.Tasks[0].State = taskEnded
	shard.updatePlacedIndex(job, 0)
	must.Eq(t, map[string]resource.Amount{"a": {CPU: 4}}, shard.tenantUsed)
	job.Tasks[1].State = taskEnded
	shard.updatePlacedIndex(job, 1)
	must.MapEmpty(t, shard.tenantUsed)
}

// At an agent the tasks of excess jobs wait behind all others and are preempted first. They may preempt
// only other excess jobs: queueable ones those of less urgent queues, guaranteed ones also those of
// their own queue.
func TestExcessAtAgent(t *testing.T) {
	n := nodeWithHeadroom(t)
	task := func(queue string, class wire.TaskClass, excess bool) *agentAttempt {
		attempt := attemptOf(queue, 100, wire.AttemptQueued)
		attempt.spec.Class, attempt.spec.Excess = class, excess
		return attempt
	}
	firm, queueable := wire.ClassGuaranteed, wire.ClassQueueable
	for name, c := range map[string]struct {
		pending, run *agentAttempt
		may          bool
	}{
		"urgent over excess of its queue":    {task("fast", queueable, false), task("fast", queueable, true), true},
		"less urgent over an urgent excess":  {task("slow", queueable, false), task("fast", queueable, true), true},
		"urgent excess over less urgent":     {task("fast", queueable, true), task("slow", queueable, false), false},
		"guaranteed excess over its queue":   {task("fast", firm, true), task("fast", queueable, false), false},
		"guaranteed excess over excess":      {task("fast", firm, true), task("fast", queueable, true), true},
		"guaranteed over excess":             {task("slow", firm, false), task("fast", queueable, true), true},
		"urgent excess over slow excess":     {task("fast", queueable, true), task("slow", queueable, true), true},
		"queueable excess over its equal":    {task("fast", queueable, true), task("fast", queueable, true), false},
		"no excess: urgent over less urgent": {task("fast", queueable, false), task("slow", queueable, false), true},
		"no excess: less urgent over urgent": {task("slow", firm, false), task("fast", queueable, false), false},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.may, n.mayPreempt(c.pending, c.run)) })
	}
	agent := &workerAgent{worker: "w", attempts: map[wire.AttemptKey]*agentAttempt{
		{Job: "a"}: task("fast", firm, true), {Job: "b"}: task("slow", queueable, false), {Job: "c"}: task("fast", queueable, false),
	}}
	var order []string
	for _, attempt := range agent.queuedAttempts(n) {
		order = append(order, fmt.Sprint(attempt.spec.Queue, " ", attempt.spec.Excess))
	}
	must.Eq(t, []string{"fast false", "slow false", "fast true"}, order)
}

// Excess jobs of the most urgent queue may not use its headroom, and don't count as urgent use.
func TestExcessLeavesUrgentRoom(t *testing.T) {
	n := nodeWithHeadroom(t)
	shard := &ownedShard{name: "east", loadByWorker: map[string]resource.Amount{"w": {CPU: 700}}}
	w := &workerView{capacity: resource.Amount{CPU: 1000, Memory: 100}, urgentUse: resource.Amount{CPU: 100}}
	must.Eq(t, resource.Amount{CPU: 150, Memory: 100}, n.availableResources(shard, n.config.current.Queues["fast"], true, "w", w))
	running := attemptOf("fast", 500, wire.AttemptRunning)
	running.spec.Excess = true
	agent := &workerAgent{attempts: map[wire.AttemptKey]*agentAttempt{{Job: "a"}: running, {Job: "b"}: attemptOf("fast", 50, wire.AttemptRunning)}}
	must.Eq(t, resource.Amount{CPU: 50}, agent.urgentUse(n, wire.AttemptRunning))
}

// An excess job is rejected if too many of its tenant wait while resources are short or the tenant is at
// its limit. Excess jobs may fill only a part of a shard's records.
func TestExcessAdmission(t *testing.T) {
	n := nodeWithHeadroom(t)
	set, faults := configuration.Compile(1, weightedSetup(map[string]float64{"hot": 4}))
	must.SliceEmpty(t, faults)
	n.config.current, n.core.Shards = set, []string{"east", "west"}
	n.leases.Clock().Observe("d", wallStart, n.now, n.now)
	shard := &ownedShard{name: "east", jobs: map[string]*liveJob{}}
	fill := func(tenant string, count int, excess bool) {
		for i := range count {
			id := fmt.Sprint(tenant, i)
			shard.jobs[id] = &liveJob{excess: excess, jobRecord: jobRecord{ID: id, Queue: "fast", Tenant: tenant}}
		}
	}
	fill("hot", excessWaitingMax-1, true)
	fill("other", excessWaitingMax, true)
	shard.starvedMs = n.now
	must.Nil(t, n.rejectExcess(shard, "hot"))
	fill("hot", excessWaitingMax, true)
	must.Eq(t, &rejection{status: 429, retryAfterMs: excessRetryMaxMs, faults: n.rejectExcess(shard, "hot").faults}, n.rejectExcess(shard, "hot"))
	shard.starvedMs = 0
	must.Nil(t, n.rejectExcess(shard, "hot"))
	shard.jobs["hot0"].waitsForShare = true // the tenant is at its limit
	must.Eq(t, 429, n.rejectExcess(shard, "hot").status)

	j, faults := parseJob("j", "", []byte(`{"queue":"fast","steps":[{"name":"s","tasks":[{"name":"t","room":1}]}]}`))
	must.SliceEmpty(t, faults)
	q := set.Queues["fast"]
	must.Nil(t, admit(&admission{job: j, queue: q, excess: true, shardLive: shardJobsMax*excessRecordsPercent/100 - 1}))
	must.Eq(t, 429, admit(&admission{job: j, queue: q, excess: true, shardLive: shardJobsMax * excessRecordsPercent / 100}).status)
	must.Nil(t, admit(&admission{job: j, queue: q, shardLive: shardJobsMax * excessRecordsPercent / 100}))
}

// With the policy switched off no job is excess.
func TestTenantWeightOff(t *testing.T) {
	n := nodeWithHeadroom(t)
	set, faults := configuration.Compile(1, weightedSetup(map[string]float64{"hot": 0.1}))
	must.SliceEmpty(t, faults)
	n.config.current, n.core.Shards = set, []string{"east"}
	shard := &ownedShard{}
	excess := func() (count int) {
		for range 50 {
			if n.isExcess(shard, "hot") {
				count++
			}
		}
		return count
	}
	must.Positive(t, excess())
	var err error
	n.Policies, err = scheduler.ParseSet(string(scheduler.TenantWeight))
	must.NoError(t, err)
	must.Zero(t, excess())
}
