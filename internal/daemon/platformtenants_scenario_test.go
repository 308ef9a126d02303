package daemon

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// urgentStartMs is the longest that an urgent job's first start may take, as in the
// scenarios without tenants.
const urgentStartMs = 5000

// urgentCheck is an urgent job of a tenant below its limit, which must start within urgentStartMs.
type urgentCheck struct {
	job *platformJob
	why string
}

// submitUrgent submits a small urgent job of a tenant.
func (b *platformWorld) submitUrgent(tenant, why string) {
	b.urgentChecks = append(b.urgentChecks, urgentCheck{b.submit(b.smallJobOf(tenant)), why})
}

// submitUrgentOfAll submits one job for each tenant except some.
func (b *platformWorld) submitUrgentOfAll(why string, except ...string) {
	for _, t := range b.tenants {
		if !slices.Contains(except, t.name) {
			b.submitUrgent(t.name, why)
		}
	}
}

// checkUrgent reports urgent jobs that started too late or never.
func (b *platformWorld) checkUrgent(t *testing.T) {
	firstMs := map[string]int64{}
	for _, e := range b.events {
		if e.kind == eventStarted && firstMs[e.job] == 0 {
			firstMs[e.job] = e.atMs
		}
	}
	latest := int64(0)
	for _, c := range b.urgentChecks {
		at, began := firstMs[c.job.id]
		if !began {
			t.Errorf("urgent job %s of %s, sent at %d ms (%s), never started", c.job.id, c.job.tenant, c.job.sentMs, c.why)
			continue
		}
		latest = max(latest, at-c.job.sentMs)
		if at-c.job.sentMs > urgentStartMs {
			t.Errorf("urgent job %s of %s, sent at %d ms (%s), started after %d ms", c.job.id, c.job.tenant, c.job.sentMs, c.why, at-c.job.sentMs)
		}
	}
	t.Logf("%d urgent jobs, the slowest started after %d ms", len(b.urgentChecks), latest)
}

// largestTenant returns the tenant with the largest load.
func (b *platformWorld) largestTenant() string { return b.tenants[0].name }

// smallTenant returns a tenant with a small load.
func (b *platformWorld) smallTenant() string { return b.tenants[len(largeShares)].name }

// successorOf returns the machine that takes over a tenant's counter from the former one.
func (b *platformWorld) successorOf(t *testing.T, tenant, former string) string {
	role := "slice/" + b.countingShard(tenant)
	must.True(t, b.until(15_000, func() bool { n := b.holderOf(role); return n != nil && n.Name != former }), must.Sprint("no other machine took over"))
	return b.holderOf(role).Name
}

// tenantScenarios are fixed sequences of faults or loads on the shared deployments. After each all
// jobs must end, no rule may be broken, and urgent jobs of tenants below their limit must start soon.
var tenantScenarios = map[string]platformScenario{
	// Guards against counting that delays jobs without any fault.
	"calm": func(_ *testing.T, b *platformWorld) {
		b.day(8000)
		b.submitUrgentOfAll("on a calm day")
		b.run(8000)
	},
	// Guards against a limit that is unusable, or granted twice, when its counter fails.
	"counter killed": func(_ *testing.T, b *platformWorld) {
		b.raiseTenantLoad(b.largestTenant(), 4, 20_000)
		b.day(8000)
		b.after(3_500_000, b.kill(b.counterHost(b.largestTenant()), false))
		b.run(500)
		b.submitUrgentOfAll("the counter was killed", b.largestTenant())
		b.run(8000)
		b.submitUrgentOfAll("another one counts", b.largestTenant())
		b.run(5000)
	},
	// Guards against a counter that resumes after a freeze and grants by stale state.
	"counter frozen": func(_ *testing.T, b *platformWorld) {
		b.raiseTenantLoad(b.largestTenant(), 4, 20_000)
		b.day(8000)
		b.freeze(b.counterHost(b.largestTenant()), 5000)
		b.run(500)
		b.submitUrgentOfAll("the counter is frozen", b.largestTenant())
		b.run(9000)
		b.freeze(b.counterHost(b.largestTenant()), 1500)
		b.run(9000)
	},
	// Guards against two counters that grant the same share on both sides of a cut.
	"counter cut off": func(_ *testing.T, b *platformWorld) {
		b.day(8000)
		heal := b.cut(b.counterHost(b.largestTenant()))
		b.raiseTenantLoad(b.largestTenant(), 3, 7000)
		b.run(500)
		b.submitUrgentOfAll("the counter is cut off", b.largestTenant())
		b.run(7000)
		heal()
		b.run(8000)
	},
	// Guards against a counter that restores stale counts from its disk.
	"counter loses power": func(_ *testing.T, b *platformWorld) {
		b.raiseTenantLoad(b.largestTenant(), 4, 16_000)
		b.day(8000)
		b.after(3_000_000, b.kill(b.counterHost(b.largestTenant()), true))
		b.run(500)
		b.submitUrgentOfAll("the counter lost its power", b.largestTenant())
		b.run(10_000)
	},
	// Guards against a second takeover that grants shares before the first counter's grants are known.
	"counter and its successor": func(t *testing.T, b *platformWorld) {
		b.day(8000)
		b.raiseTenantLoad(b.largestTenant(), 3, 12_000)
		former := b.counterHost(b.largestTenant())
		b.after(6_000_000, b.kill(former, false))
		b.after(3_500_000, b.kill(b.successorOf(t, b.largestTenant(), former), true))
		b.run(12_000)
		b.submitUrgentOfAll("after both", b.largestTenant())
		b.run(6000)
	},
	// Guards against shares that are lost with a shard's owner, or that it and the next owner both use.
	"owners killed while they hold shares": func(_ *testing.T, b *platformWorld) {
		b.raiseTenantLoad(b.largestTenant(), 3, 16_000)
		b.day(8000)
		b.after(3_500_000, b.kill(b.holder(b.randomShardRole()), false))
		b.run(3000)
		b.after(2_500_000, b.kill(b.holder(b.randomShardRole()), true))
		b.run(7000)
		b.submitUrgentOfAll("after owners were killed", b.largestTenant())
		b.run(6000)
	},
	// Guards against a zone that keeps using shares which were granted again outside it.
	"zone cut with load on both sides": func(_ *testing.T, b *platformWorld) {
		b.day(8000)
		b.raiseTenantLoad(b.largestTenant(), 3, 14_000)
		zone := b.nodes[b.counterHost(b.largestTenant())].Zone
		heal := b.cutZone(zone)
		b.run(15_000)
		heal()
		b.run(8000)
		b.submitUrgentOfAll("the zone is back")
		b.run(5000)
	},
	// Guards against starts whose use of a share isn't durable yet when another owner takes over.
	"disks stalled": func(_ *testing.T, b *platformWorld) {
		b.raiseTenantLoad(b.largestTenant(), 3, 14_000)
		b.day(6000)
		b.diskStall(b.diskHostOr(b.counterHost(b.largestTenant())), 4000)
		b.run(1500)
		b.diskStall(b.pickOne(b.diskHosts), 3000)
		b.run(9000)
		b.submitUrgentOfAll("the disks work again", b.largestTenant())
		b.run(6000)
	},
	// Guards against reports and grants that are applied late, twice or out of order.
	"links lose packets": func(_ *testing.T, b *platformWorld) {
		b.raiseTenantLoad(b.largestTenant(), 3, 14_000)
		b.day(6000)
		b.lossyLinks(b.shuffled(sortedKeys(b.nodes))[:len(b.nodes)/2], 0.08, 8000)
		b.run(10_000)
		b.submitUrgentOfAll("the links are sound again", b.largestTenant())
		b.run(6000)
	},
	// Guards against a machine that accepts a key after it was revoked.
	"key revoked under open traffic": func(_ *testing.T, b *platformWorld) {
		b.day(5000)
		for _, tenant := range []string{b.largestTenant(), b.smallTenant()} {
			old := b.newestKey(tenant)
			b.addKey(tenant)
			b.run(3000)
			b.revokeKey(tenant)
			b.each(40, 150, func() { // some callers don't have the new key yet
				j := b.smallJobOf(tenant)
				j.key = old
				b.submit(j)
			})
			b.run(2000)
			b.after(1_500_000, b.cut(b.pickOne(b.edges())))
			b.run(5000)
		}
		b.submitUrgentOfAll("keys were revoked")
		b.run(6000)
	},
	// Guards against accepting a key that no tenant was ever given, and against rejecting one whose
	// version is in force.
	"unknown keys and new keys": func(_ *testing.T, b *platformWorld) {
		b.day(4000)
		for i := range 6 {
			b.addKey(b.tenants[i].name)
			for _, key := range []string{"", "never-given", b.tenants[i].keys[0]} {
				j := b.smallJobOf(b.tenants[i].name)
				j.key = key
				b.submit(j)
			}
			b.run(700)
		}
		b.submitUrgentOfAll("keys are new")
		b.run(6000)
	},
	// Guards against a tenant with ten times its usual load that exceeds its limit or starves the others.
	"hot tenant": func(_ *testing.T, b *platformWorld) {
		b.day(5000)
		b.raiseTenantLoad(b.largestTenant(), 10, 8000)
		b.run(4000)
		b.submitUrgentOfAll("a tenant is hot", b.largestTenant())
		b.run(12_000)
	},
	// Guards against shares that cancelled jobs keep.
	"many jobs are cancelled": func(_ *testing.T, b *platformWorld) {
		b.day(5000)
		b.raiseTenantLoad(b.largestTenant(), 6, 6000)
		for range 3 {
			b.run(3000)
			for _, o := range b.open() {
				if j := b.jobs[o[:16]]; j.tenant == b.largestTenant() && !j.lasting() && b.chance(0.8) {
					b.cancel(j)
				}
			}
		}
		b.run(5000)
		b.submitUrgentOfAll("many jobs were cancelled")
		b.run(6000)
	},
	// Guards against starts by a limit that a newer configuration has lowered.
	"limits lowered under load": func(_ *testing.T, b *platformWorld) {
		b.raiseTenantLoad(b.largestTenant(), 3, 18_000)
		b.day(8000)
		b.setLimit(b.largestTenant(), 50)
		b.run(5000)
		b.setLimit(b.largestTenant(), 10) // far below what runs
		b.run(3000)
		b.submitUrgentOfAll("a limit is low", b.largestTenant())
		b.after(3_500_000, b.kill(b.counterHost(b.largestTenant()), false))
		b.run(6000)
		b.restoreLimits()
		b.run(6000)
		b.submitUrgentOfAll("limits are as usual", b.largestTenant())
		b.run(5000)
	},
	// Guards against tasks that wait at full workers and start there by the limit at their placement.
	"limit lowered while tasks wait at workers": func(_ *testing.T, b *platformWorld) {
		tenant, room := b.largestTenant(), amounts{b.deployment.capacity[0] / 5, b.deployment.capacity[1] / 5}
		b.setLimit(tenant, 1000)
		b.run(3000)
		b.onlyTenant = tenant
		for range 10 * len(b.workerHosts) { // twice as many as fit
			j := b.simple(2, 1, room, 6000)
			j.steps[0].estimateMs = 1500
			b.submit(j)
		}
		b.onlyTenant = ""
		b.run(1200)
		b.setLimit(tenant, 5)
		b.run(12_000)
		b.restoreLimits()
		b.run(6000)
	},
	// Guards against a restarted cluster that grants shares before all owners have reported what runs.
	"all daemons killed, workers run on": func(_ *testing.T, b *platformWorld) {
		b.raiseTenantLoad(b.largestTenant(), 3, 18_000)
		b.day(8000)
		var undo []func()
		for _, host := range sortedKeys(b.nodes) {
			undo = append(undo, b.kill(host, false))
		}
		b.run(1400)
		allOf(undo)()
		b.run(12_000)
		b.submitUrgentOfAll("all daemons were killed", b.largestTenant())
		b.run(6000)
	},
	// Guards against a deadlock of gangs that each hold a part of the limit.
	"gangs of which two fit the limit": func(t *testing.T, b *platformWorld) {
		b.day(4000)
		tenant, limit := b.largestTenant(), b.usualLimit(b.largestTenant())
		var gangs []*platformJob
		for range 5 {
			b.onlyTenant = tenant
			j := b.simple(0, 4, amounts{limit[0] * 11 / 100, limit[1] * 11 / 100}, 2500)
			b.onlyTenant = ""
			j.steps[0].gang = true
			gangs = append(gangs, b.submit(j))
			b.run(150)
		}
		b.run(3000)
		b.after(3_000_000, b.kill(b.counterHost(tenant), false))
		b.run(7000)
		b.submitUrgentOfAll("gangs wait", tenant)
		must.True(t, b.until(60_000, func() bool {
			return !slices.ContainsFunc(gangs, func(j *platformJob) bool { return len(j.okTasks) == 0 })
		}), must.Sprint("a gang never ran"))
	},
}

// TestTenantScenarios runs each scenario on one of the shared deployments in turn; with -seeds and
// -from on both, with those seeds.
func TestTenantScenarios(t *testing.T) {
	from, count := uint64(31), 1
	if *seedsFlag > 0 {
		from, count = *fromFlag, *seedsFlag
	}
	for turn, name := range sortedKeys(tenantScenarios) {
		deployments := sortedKeys(sharedDeployments)
		if *seedsFlag == 0 {
			deployments = deployments[turn%2:][:1]
		}
		for _, deployment := range deployments {
			for i := range count {
				seed := from + uint64(i)
				t.Run(fmt.Sprintf("%s/%s-%d", name, deployment, seed), func(t *testing.T) {
					t.Parallel()
					b := formPlatform(t, seed, deployment)
					tenantScenarios[name](t, b)
					b.finish(120_000)
					b.checkUrgent(t)
					checkPlatformRun(t, b)
				})
			}
		}
	}
}
