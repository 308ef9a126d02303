package daemon

import (
	"encoding/hex"
	"fmt"
	"slices"

	"otterchute/internal/configuration"
)

// This file simulates the tenants of the users' shared deployments: their jobs, keys and limits.

// platformTenant is a tenant as an operator declares it.
type platformTenant struct {
	name   string
	keys   []string // callers use the last one
	weight float64
	limit  amounts // 0: no limit
}

const (
	sharedTenants = 20
	// limitTimesMean is the ratio of a tenant's limit, and of its weight, to its usual load.
	limitTimesMean = 2.6
	// A task takes at most a fifth of its tenant's limit, and a gang less than half, so that two fit.
	tasksPerLimit    = 5
	gangLimitPercent = 45
)

// largeShares are the large tenants' fractions of the load.
var largeShares = []float64{0.22, 0.16, 0.12}

// sharedDeployments are the grown deployments at a third of their size, with tenants.
var sharedDeployments = map[string]platformDeployment{
	"hakata shared": sharedDeployment("hakata grown", "hakata shared"),
	"ikenna shared": sharedDeployment("ikenna grown", "ikenna shared"),
}

func sharedDeployment(of, name string) platformDeployment {
	s := scaledGrownDeployments[of]
	s.name, s.coreSize, s.bounds = name, s.disks, usualPlatformBounds
	s.bounds.contact, s.bounds.drain, s.bounds.config, s.bounds.cancel = 4000, 2500, 2500, 4000
	mean := s.meanUse()
	for i, share := range tenantShareSizes() {
		t := platformTenant{name: fmt.Sprintf("tenant-%02d", i), weight: limitTimesMean * share * s.jobsPerSecond}
		t.keys = []string{"key-0-of-" + t.name}
		for d := range 2 {
			t.limit[d] = int64(limitTimesMean * share * mean[d])
		}
		s.tenants = append(s.tenants, t)
	}
	return s
}

// tenantShareSizes returns all tenants' fractions of the load; their sum is 1.
func tenantShareSizes() []float64 {
	shares, left := slices.Clone(largeShares), 1.0
	for _, share := range largeShares {
		left -= share
	}
	small, sum := make([]float64, sharedTenants-len(largeShares)), 0.0
	for i := range small {
		small[i] = 1 + 0.3*float64(i%4)
		sum += small[i]
	}
	for _, share := range small {
		shares = append(shares, left*share/sum)
	}
	return shares
}

// meanUse returns the mean cpu and memory in use under the usual traffic.
func (s *platformDeployment) meanUse() (use [2]float64) {
	sum := 0.0
	for _, k := range s.kinds {
		sum += k.weight
	}
	for _, k := range s.kinds {
		tasksAtWork := s.jobsPerSecond * k.weight / sum * k.steps[0] * k.width[0] * k.workMs[0] / 1000
		use[0] += tasksAtWork * k.cpu[0]
		use[1] += tasksAtWork * k.mem[0]
	}
	return use
}

func copyTenants(tenants []platformTenant) []platformTenant {
	out := slices.Clone(tenants)
	for i := range out {
		out[i].keys = slices.Clone(out[i].keys)
	}
	return out
}

// tenantDocuments returns tenants in the form of the product's configuration.
func tenantDocuments(tenants []platformTenant) []map[string]any {
	docs := []map[string]any{}
	for _, t := range tenants {
		digests := []string{}
		for _, key := range t.keys {
			digest := configuration.DigestOfKey(key)
			digests = append(digests, hex.EncodeToString(digest[:]))
		}
		doc := map[string]any{"name": t.name, "weight": t.weight, "key_digests": digests}
		if t.limit != (amounts{}) {
			doc["limit"] = map[string]int64{"cpu": t.limit[0], "memory": t.limit[1], "accelerators": t.limit[2]}
		}
		docs = append(docs, doc)
	}
	return docs
}

func (s *platformSetup) tenant(name string) *platformTenant {
	return tenantNamed(s.tenants, name)
}

func tenantNamed(tenants []platformTenant, name string) *platformTenant {
	if i := slices.IndexFunc(tenants, func(t platformTenant) bool { return t.name == name }); i >= 0 {
		return &tenants[i]
	}
	return nil
}

// holdsKey reports whether a tenant of the configuration has a key.
func (s *platformSetup) holdsKey(key string) bool {
	return slices.ContainsFunc(s.tenants, func(t platformTenant) bool { return slices.Contains(t.keys, key) })
}

// admits reports whether calls of a queue with a key are admitted.
func (s *platformSetup) admits(queue, key string) bool {
	return s.tenants == nil || slices.Contains(s.openQueues, queue) || s.holdsKey(key)
}

// assignTenant draws the job's tenant by weight.
func (b *platformWorld) assignTenant(j *platformJob) {
	if b.onlyTenant != "" {
		b.assignTo(j, b.onlyTenant)
		return
	}
	sum := 0.0
	for _, t := range b.tenants {
		sum += t.weight
	}
	if sum == 0 {
		return
	}
	at, i := b.rng.Float64()*sum, 0
	for i < len(b.tenants)-1 && at >= b.tenants[i].weight {
		at -= b.tenants[i].weight
		i++
	}
	b.assignTo(j, b.tenants[i].name)
}

// assignTo assigns a job to a tenant, with the tenant's newest key.
func (b *platformWorld) assignTo(j *platformJob, tenant string) *platformJob {
	j.tenant, j.key = tenant, b.newestKey(tenant)
	return j
}

// newestKey returns the key that a tenant's callers use for new jobs.
func (b *platformWorld) newestKey(tenant string) string {
	if t := tenantNamed(b.tenants, tenant); t != nil && len(t.keys) > 0 {
		return t.keys[len(t.keys)-1]
	}
	return ""
}

// usualLimit returns a tenant's limit in its deployment.
func (b *platformWorld) usualLimit(tenant string) amounts {
	if t := tenantNamed(b.deployment.tenants, tenant); t != nil {
		return t.limit
	}
	return amounts{}
}

// fitTenantLimit shrinks a drawn step so that it fits twice into its tenant's limit.
func (b *platformWorld) fitTenantLimit(j *platformJob, s *platformStep) {
	limit := b.usualLimit(j.tenant)
	for d, most := range limit {
		if most > 0 {
			s.room[d] = min(s.room[d], most/tasksPerLimit)
		}
	}
	if !s.gang {
		return
	}
	for d, most := range limit {
		if most > 0 && s.room[d] > 0 {
			s.count = max(2, min(s.count, int(most*gangLimitPercent/100/s.room[d])))
		}
	}
}

// callOfJob sends a call of a job's caller, with its key. A caller whose key is refused switches
// to its tenant's newest.
func (b *platformWorld) callOfJob(to *simNode, op string, j *platformJob, body []byte, cb func(status int, retryMs int64, body []byte)) {
	sentMs, key := b.nowMs(), j.key
	call := platformCall{op: op, host: j.queue.host, path: j.queue.prefix + j.id, body: body, credential: key}
	b.call("caller", to, call, b.deployment.callTimeoutMs, func(status int, retryMs int64, answer []byte) {
		if b.tenants != nil {
			b.record(platformEvent{kind: eventCallAnswered, job: j.id, host: to.Name, queue: j.queue, key: key, n: int64(status), requestedMs: sentMs})
		}
		if status == 401 {
			j.key = b.newestKey(j.tenant)
		}
		cb(status, retryMs, answer)
	})
}

// tenantUse returns the resources of each tenant's runs.
func (b *platformWorld) tenantUse() map[string]amounts {
	use := map[string]amounts{}
	for _, host := range b.workerHosts {
		for _, r := range b.byHost[host].runs {
			use[r.job.tenant] = use[r.job.tenant].plus(r.step.room, 1)
		}
	}
	return use
}

// tenantsHalfUsed returns the tenants that use half of their limit or more.
func (b *platformWorld) tenantsHalfUsed() map[string]bool {
	half := map[string]bool{}
	if b.setup == nil || b.tenants == nil {
		return half
	}
	use := b.tenantUse()
	for _, t := range b.setup.tenants {
		for d, most := range t.limit {
			if most > 0 && 2*use[t.name][d] >= most {
				half[t.name] = true
			}
		}
	}
	return half
}

// counterHost returns the machine that holds a tenant's counter.
func (b *platformWorld) counterHost(tenant string) string {
	return b.holder("slice/" + b.countingShard(tenant))
}

func (b *platformWorld) countingShard(tenant string) string {
	return countingShard(tenant, b.someDaemon().core.Shards)
}

// someDaemon returns a daemon that is up.
func (b *platformWorld) someDaemon() *node {
	for _, host := range sortedKeys(b.nodes) {
		if b.nodes[host].up {
			return b.nodes[host].executor.node
		}
	}
	return nil
}

// editTenant changes a tenant's declaration and sends the new configuration.
func (b *platformWorld) editTenant(tenant string, edit func(t *platformTenant)) {
	if t := tenantNamed(b.tenants, tenant); t != nil {
		edit(t)
		b.change(nil)
	}
}

// addKey gives a tenant a new key, which its callers use from now on.
func (b *platformWorld) addKey(tenant string) {
	b.createdKeys++
	b.editTenant(tenant, func(t *platformTenant) {
		t.keys = append(t.keys, fmt.Sprintf("key-%d-of-%s", b.createdKeys, tenant))
	})
}

// revokeKey removes a tenant's oldest key, unless it is the only one.
func (b *platformWorld) revokeKey(tenant string) {
	b.editTenant(tenant, func(t *platformTenant) {
		if len(t.keys) > 1 {
			t.keys = t.keys[1:]
		}
	})
}

// setLimit declares a percentage of a tenant's usual limit.
func (b *platformWorld) setLimit(tenant string, percent int64) {
	usual := b.usualLimit(tenant)
	b.editTenant(tenant, func(t *platformTenant) {
		for d := range t.limit {
			t.limit[d] = usual[d] * percent / 100
		}
	})
}

// restoreLimits declares all tenants' usual limits again.
func (b *platformWorld) restoreLimits() {
	for i := range b.tenants {
		b.tenants[i].limit = b.usualLimit(b.tenants[i].name)
	}
	b.change(nil)
}

// raiseTenantLoad lets a tenant submit a multiple of its usual load for a while.
func (b *platformWorld) raiseTenantLoad(tenant string, times float64, ms int64) {
	end := b.nowMs() + ms
	perSec := (times - 1) * tenantNamed(b.tenants, tenant).weight / limitTimesMean
	var next, one func()
	next = func() { b.withJobRand(one) }
	one = func() {
		if b.nowMs() >= end || b.callersStopped {
			return
		}
		kind := &b.deployment.kinds[b.kindByWeight()]
		b.onlyTenant = tenant
		j := b.draw(kind)
		b.onlyTenant = ""
		b.submit(j)
		b.after(int64(b.rng.ExpFloat64()*1e6/perSec), next)
	}
	next()
}

// lossyLinks delays a fraction of the messages of some machines, as retransmissions after packet
// loss do, and resets some connections.
func (b *platformWorld) lossyLinks(hosts []string, share float64, ms int64) {
	const retransmitUs = 200_000
	b.extraDelayUs = func(from, to string, _ any) int64 {
		if !slices.Contains(hosts, from) && !slices.Contains(hosts, to) {
			return 0
		}
		late := int64(0)
		for wait := int64(retransmitUs); wait < 2_000_000 && b.chance(share); wait *= 2 {
			late += wait
		}
		return late
	}
	for _, host := range hosts {
		b.faultFor("lossy", host, ms, func() { b.extraDelayUs = nil })
	}
	b.resets(hosts, share, ms)
}
