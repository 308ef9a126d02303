package daemon

import (
	"fmt"
	"testing"

	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// shareOwner returns a daemon that owns shard s and its counter, with tenant "full", which has a limit
// but has been lent nothing, and tenant "free" without a limit.
func shareOwner(t *testing.T) (*node, *ownedShard) {
	t.Helper()
	n := newNode(nodeConfig{Name: "d0", ThresholdMs: thresholdMs}, nil)
	n.now = 100_000
	current, faults := configuration.Compile(1, []byte(`{"queues":[{"name":"q","default_failures":3}],
		"tenants":[{"name":"full","limit":{"cpu":4}},{"name":"free"}]}`))
	must.SliceEmpty(t, faults)
	n.config.current, n.config.confirmedMs = current, n.now
	n.config.record.PastVersions = []configuration.VersionInfo{{Version: 1}}
	n.adoptLimits()
	n.core.Shards = []string{"s"}
	n.workers["large"] = &workerView{capacity: resource.Amount{CPU: 100}}
	for _, role := range []string{lease.ShardRole("s"), lease.Central} {
		n.leases.Assume(role, 1, n.now+60_000)
	}
	n.startShard("s", 1)
	return n, n.shards["s"]
}

// jobOfTenant adds a job of one step to a shard.
func jobOfTenant(t *testing.T, shard *ownedShard, id, tenant, step string, count int) *liveJob {
	t.Helper()
	j, faults := parseJob(id, "q", []byte(`{"payload":"x","steps":[`+step+`]}`))
	must.SliceEmpty(t, faults)
	j.Tenant = tenant
	job := &liveJob{jobRecord: *j, committed: 1, runtime: make([]taskRuntime, count)}
	shard.jobs[id] = job
	return job
}

// Guards against tasks that wait for a share and use up the requests that a shard may make in one tick:
// jobs of other tenants behind them must be requested.
func TestTasksWithoutShareLeaveRequestsToOthers(t *testing.T) {
	n, shard := shareOwner(t)
	const long = `"estimate_ms":9000`
	waiting := jobOfTenant(t, shard, "a", "full", `{"name":"s","count":100,"room":1,`+long+`}`, 100)
	behind := jobOfTenant(t, shard, "b", "free", `{"name":"s","count":1,"room":1,`+long+`}`, 1)
	for _, job := range []*liveJob{waiting, behind} {
		pass := n.newSchedulePass(job)
		for i := range job.Tasks {
			n.scheduleTask(shard, job, i, pass)
		}
		n.claimShares(shard, job, pass)
	}
	must.True(t, waiting.waitsForShare)
	must.Eq(t, 0, waiting.runtime[0].allocationRequestMs)
	must.Eq(t, n.now, behind.runtime[0].allocationRequestMs, must.Sprint("the other tenant's task was not requested"))
}

// Guards against tasks too large for any worker that reserve a share of their tenant's limit: they once
// kept it forever, and all other jobs of the tenant waited.
func TestTasksThatNoWorkerHoldsTakeNoShare(t *testing.T) {
	n, shard := shareOwner(t)
	for _, step := range []string{
		`{"name":"s","count":2,"room":101,"gang":true}`,
		`{"name":"s","count":2,"room":101,"estimate_ms":9000}`,
		`{"name":"s","count":2,"room":101,"estimate_ms":10}`,
	} {
		job := jobOfTenant(t, shard, "a", "full", step, 2)
		pass := n.newSchedulePass(job)
		for i := range job.Tasks {
			n.scheduleTask(shard, job, i, pass)
		}
		n.claimShares(shard, job, pass)
		must.False(t, job.waitsForShare, must.Sprint(step))
		must.Eq(t, resource.Amount{}, shard.shares.reservedFor(job, 0, n.now), must.Sprint(step))
	}
	small := jobOfTenant(t, shard, "b", "full", `{"name":"s","count":1,"room":1,"gang":true}`, 1)
	pass := n.newSchedulePass(small)
	n.scheduleTask(shard, small, 0, pass)
	n.claimShares(shard, small, pass)
	must.True(t, small.waitsForShare)
}

// Guards against use above a tenant's limit when a gang ends: members that end because of another
// member's end must keep their share until their workers report them ended or their attempts have
// expired.
func TestGangKeepsItsShareUntilEndsAreListed(t *testing.T) {
	n, shard := shareOwner(t)
	job := jobOfTenant(t, shard, "a", "full", `{"name":"s","count":3,"room":1,"gang":true}`, 3)
	for i, worker := range []string{"w0", "w1", "w2"} {
		task := &job.Tasks[i]
		task.State, task.Worker, task.Attempt = taskPlaced, worker, 1
		shard.updatePlacedIndex(job, i)
	}
	used := func() int64 {
		_, used := shard.shares.borrowerFor("full").Held("full")
		return used.CPU
	}
	must.Eq(t, int64(3), used())
	n.resolveAttempt(shard, job, 0, wire.ResultOK, 100)
	must.Eq(t, int64(2), used(), must.Sprint("only the end at w0 is reported"))
	status := wire.AttemptStatus{Key: wire.AttemptKey{Job: "a", Task: job.taskID(1), Attempt: 1}, State: wire.AttemptRunning}
	shard.releaseListed(&wire.AgentReport{Worker: "w1", Rebuilt: true, Attempts: []wire.AttemptStatus{status}})
	must.Eq(t, int64(2), used(), must.Sprint("w1 still runs it"))
	status.State = wire.AttemptEnded
	shard.releaseListed(&wire.AgentReport{Worker: "w1", Partial: true, Attempts: []wire.AttemptStatus{status}})
	must.Eq(t, int64(1), used())
	shard.releaseLapsed(n.now + unlistedMs)
	must.Eq(t, int64(1), used())
	shard.releaseLapsed(n.now + unlistedMs + 1)
	must.Eq(t, int64(0), used())
	must.MapEmpty(t, shard.unlistedAttempts)
	held, _ := shard.shares.borrowerFor("full").Held("full")
	must.Eq(t, resource.Amount{}, held, must.Sprint("no counter has allowed reuse of what ended tasks held"))
}

// withLimit has a daemon adopt another configuration version, with a limit for tenant "full".
func (n *node) withLimit(t *testing.T, version, limit int64) {
	t.Helper()
	current, faults := configuration.Compile(version, fmt.Appendf(nil,
		`{"queues":[{"name":"q"}],"tenants":[{"name":"full","limit":{"cpu":%d}},{"name":"free"}]}`, limit))
	must.SliceEmpty(t, faults)
	n.config.current, n.config.confirmedMs = current, n.now
	past := &n.config.record.PastVersions
	for v := (*past)[len(*past)-1].Version + 1; v <= version; v++ {
		*past = append(*past, configuration.VersionInfo{Version: v})
	}
	n.adoptLimits()
}

// Guards against use above a lowered limit: an agent must return a queued task that was placed before its
// tenant's limit was lowered, even if it was raised again since. It starts all others.
func TestTenantTasksOfAHigherLimitGoBack(t *testing.T) {
	n, _ := shareOwner(t)
	n.withLimit(t, 2, 40)
	n.withLimit(t, 3, 20)
	n.withLimit(t, 4, 40)
	agent := &workerAgent{
		worker: "w", colocated: true, rebuilt: true, tokenMs: n.now, lastContactMs: n.now, lastSuccessMs: n.now,
		capacity: resource.Amount{CPU: 100}, free: resource.Amount{CPU: 100}, attempts: map[wire.AttemptKey]*agentAttempt{},
		tombstones: map[wire.AttemptKey]int64{}, ownerEpochs: map[string]uint64{}, ownerReplyMs: map[string]int64{},
		endsByNumber: map[int64]wire.AttemptKey{},
	}
	n.agents["w"] = agent
	queued := func(id, tenant string, version int64) *agentAttempt {
		attempt := &agentAttempt{spec: wire.TaskSpec{
			Key: wire.AttemptKey{Job: id, Attempt: 1}, Shard: "s", Queue: "q", Class: wire.ClassGuaranteed,
			Resources: resource.Amount{CPU: 1}, Tenant: tenant, LimitVersion: version,
		}, confirmedMs: n.now, queuedMs: n.now}
		agent.attempts[attempt.spec.Key] = attempt
		return attempt
	}
	before, since := queued("a", "full", 2), queued("b", "full", 3)
	unversioned, unlimited, withoutTenant := queued("c", "full", 0), queued("d", "free", 0), queued("e", "", 0)
	avail := agent.free
	for _, attempt := range []*agentAttempt{before, since, unversioned, unlimited, withoutTenant} {
		must.True(t, n.startOrSkip(agent, attempt, &avail))
	}
	must.Eq(t, wire.ResultShed, before.result)
	must.Eq(t, wire.AttemptOrdered, since.state)
	must.Eq(t, wire.ResultShed, unversioned.result) // from an owner that sent no version: its limit is unknown
	must.Eq(t, wire.AttemptOrdered, unlimited.state)
	must.Eq(t, wire.AttemptOrdered, withoutTenant.state)
}

// Placements carry the configuration version whose limit they were placed under.
func TestTenantLimitOfPlacements(t *testing.T) {
	n, shard := shareOwner(t)
	n.withLimit(t, 2, 40)
	n.workers["w"] = &workerView{agent: "d1", epoch: 1}
	job := jobOfTenant(t, shard, "a", "full", `{"name":"s","count":2,"room":1}`, 2)
	n.placeTask(shard, job, 0, "w", wire.ClassQueueable)
	n.withLimit(t, 3, 20)
	n.placeTask(shard, job, 1, "w", wire.ClassQueueable)
	must.Eq(t, int64(2), n.taskSpec(shard, job, 0).LimitVersion)
	must.Eq(t, int64(3), n.taskSpec(shard, job, 1).LimitVersion)
	must.Eq(t, "full", n.taskSpec(shard, job, 0).Tenant)
	_, used := shard.shares.borrowerFor("full").Held("full")
	must.Eq(t, resource.Amount{CPU: 2}, used)
}

// Owners give up unused shares when a limit is lowered, and when a version was skipped that may have
// lowered it.
func TestTenantLimitLowered(t *testing.T) {
	for _, tt := range []struct {
		name    string
		version int64
		limit   int64
		held    int64
	}{
		{"raised", 2, 20, 4},
		{"the same", 2, 4, 4},
		{"lowered", 2, 3, 1},
		{"raised over a version that was not seen", 3, 20, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n, shard := shareOwner(t)
			b := shard.shares.borrowerFor("full")
			b.SetCounter("d0", 1)
			b.Use("full", resource.Amount{CPU: 1})
			_, report := b.NextReport(n.now, 1)
			b.OnGrant(&wire.ShareGrant{
				Counter: "s", CounterEpoch: 1, Shard: "s", ShardEpoch: 1, Seq: report.Seq, ConfigVersion: 1,
				Shares: []wire.TenantShare{{Tenant: "full", Amount: resource.Amount{CPU: 4}}},
			}, n.now, 1)
			n.withLimit(t, tt.version, tt.limit)
			held, _ := b.Held("full")
			must.Eq(t, resource.Amount{CPU: tt.held}, held)
		})
	}
}

// Tasks of a tenant that is not in the configuration wait until the configuration is confirmed after
// their job's arrival: a newer version may declare the tenant.
func TestTasksOfAnUnknownTenantWait(t *testing.T) {
	n, shard := shareOwner(t)
	job := jobOfTenant(t, shard, "a", "new", `{"name":"s","count":1,"room":1}`, 1)
	job.enteredMs = n.now
	mayStart := func() bool {
		pass := n.newSchedulePass(job)
		pass.clusterTimeMs = 1
		return n.mayStart(job, 0, pass)
	}
	must.False(t, mayStart())
	n.now++
	n.config.confirmedMs = n.now
	must.True(t, mayStart()) // the tenant is not declared any more
	job.enteredMs = n.now
	must.False(t, mayStart())
	job.Tenant = "full"
	must.True(t, mayStart())
	job.Tenant = ""
	must.True(t, mayStart())
}

// Without tenants no shares are reported or counted.
func TestNoSharesWithoutTenants(t *testing.T) {
	n, shard := shareOwner(t)
	current, faults := configuration.Compile(2, []byte(`{"queues":[{"name":"q"}]}`))
	must.SliceEmpty(t, faults)
	n.config.current = current
	n.adoptLimits()
	shard.serving, n.effects = true, nil
	n.tickCounters()
	n.flushShares()
	must.SliceEmpty(t, n.effects)
	must.SliceEmpty(t, n.counters["s"].Usages())
	n.withLimit(t, 3, 4)
	n.tickCounters()
	shard.shares.borrowerFor("full").Use("full", resource.Amount{CPU: 1})
	n.flushShares()
	must.Len(t, 1, n.counters["s"].Usages())
}

// Guards against gangs larger than the whole limit that keep the tenant's other tasks from claiming a
// share.
func TestGangsBeyondTheLimitLeaveClaimsToOthers(t *testing.T) {
	n, shard := shareOwner(t)
	shard.shares.borrowerFor("full").SetCounter("d1", 1)
	jobs := []*liveJob{}
	for i := range 20 { // the limit is 4
		jobs = append(jobs, jobOfTenant(t, shard, fmt.Sprintf("a%02d", i), "full", `{"name":"s","count":6,"room":1,"gang":true,"estimate_ms":9000}`, 6))
	}
	behind := jobOfTenant(t, shard, "b", "full", `{"name":"s","count":1,"room":1,"estimate_ms":9000}`, 1)
	shard.shares.beginClaims()
	for _, job := range append(jobs, behind) {
		pass := n.newSchedulePass(job)
		for i := range job.Tasks {
			n.scheduleTask(shard, job, i, pass)
		}
		n.claimShares(shard, job, pass)
	}
	shard.shares.endClaims()
	_, m := shard.shares.borrowerFor("full").NextReport(n.now, 1)
	must.NotNil(t, m)
	claimed := map[string]bool{}
	for _, c := range m.Accounts[0].Claims {
		claimed[c.Job] = true
	}
	must.True(t, claimed["b"], must.Sprintf("only jobs %v of the tenant claim", sortedKeys(claimed)))
}
