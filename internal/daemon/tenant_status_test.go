package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"otterchute/internal/configuration"
	"otterchute/internal/quota"
	"otterchute/internal/resource"
	"otterchute/internal/wire"

	"github.com/google/subcommands"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// limitedSetup returns a configuration with two tenants, one of them limited to the CPU of some workers.
func limitedSetup(t *testing.T, l *world, workers int64) []byte {
	t.Helper()
	var doc map[string]any
	must.NoError(t, json.Unmarshal(weightedSetup(map[string]float64{"calm": 50, "tight": 50}), &doc))
	for _, tenant := range doc["tenants"].([]any) {
		if tenant := tenant.(map[string]any); tenant["name"] == "tight" {
			tenant["limit"] = map[string]any{"cpu": workers * l.deployment.Cores}
		}
	}
	return mustJSON(doc)
}

// overview returns what `otterchute tenants` shows, from a daemon's replies, and its JSON.
func (l *tenantLoad) overview(t *testing.T, to *simNode) (overview tenantOverview, raw string) {
	t.Helper()
	r := gatherTenants(context.Background(), func(_ context.Context, e evRequest) effReply {
		got := l.callAndWait(to, e, 3000)
		return effReply{Status: got.status, Body: []byte(got.body)}
	})
	must.Eq(t, 200, r.Status, must.Sprint(string(r.Body)))
	must.NoError(t, json.Unmarshal(r.Body, &overview))
	return overview, string(r.Body)
}

func (o *tenantOverview) tenant(t *testing.T, name string) tenantSummary {
	t.Helper()
	for _, summary := range o.Tenants {
		if summary.Name == name {
			return summary
		}
	}
	t.Fatal("no tenant ", name)
	return tenantSummary{}
}

// From any daemon operators see each tenant's limit, what is lent and used over all shards, and what
// waits. explain names what a task waits for, doctor the tenants at their limit. No reply contains keys
// or digests.
func TestOperatorsSeeTenantAtItsLimit(t *testing.T) {
	l := newTenantLoad(t, 7400, fleetWeights)
	must.Eq(t, 200, l.callAndWait(l.nodes["d00"], evRequest{Op: "setup.put", Key: "2", Base: 1, Body: limitedSetup(t, l.world, 2)}, 4000).status)
	l.run(4000)
	l.sendEvenly("fast", "tight", 10, 4000)
	l.sendEvenly("fast", "calm", 1, 4000)
	l.run(6000)
	for _, name := range []string{"d00", "d07"} {
		overview, raw := l.overview(t, l.nodes[name])
		tight, calm := overview.tenant(t, "tight"), overview.tenant(t, "calm")
		limit := resource.Amount{CPU: 2 * l.deployment.Cores}
		must.Eq(t, limit, tight.Limit)
		must.True(t, tight.Complete)
		must.SliceEmpty(t, overview.Incomplete)
		must.True(t, tight.Used.Fits(tight.Lent) && tight.Lent.Fits(limit), must.Sprint(raw))
		must.Positive(t, tight.Used.CPU)
		must.Positive(t, tight.Waiting)
		must.Greater(t, shareStuckMs, tight.WaitedMs)
		must.Greater(t, 20, tight.Jobs)
		must.Eq(t, 50, tight.Weight)
		must.Zero(t, calm.Waiting)
		var held resource.Amount
		for _, share := range tight.Shares {
			held = held.Plus(share.Held)
		}
		must.True(t, tight.Used.Fits(held), must.Sprint(raw))
		must.Eq(t, 2, overview.Total.Tenants)
		must.Eq(t, tight.Jobs+calm.Jobs, overview.Total.Jobs)
		for _, tenant := range []string{"tight", "calm"} {
			must.StrNotContains(t, raw, fmt.Sprintf("%x", configuration.DigestOfKey(tenant)))
		}
		must.StrNotContains(t, raw, "digest")
	}
	statuses := map[string][]byte{}
	for _, n := range l.sortedNodes() {
		statuses[n.Name] = []byte(l.callAndWait(n, evRequest{Op: "soundness", Base: -1}, 3000).body)
	}
	found := runHealthChecks(statuses)
	must.SliceContainsFunc(t, found, "tenant at its limit", func(f finding, check string) bool {
		return f.Check == check && strings.Contains(f.Problem, "of tight wait")
	})
	for _, f := range found {
		must.NotEq(t, "tenant not counted", f.Check, must.Sprint(f))
	}
	last := l.sent[len(l.sent)-2]
	must.Eq(t, "tight", last.tenant)
	explained := l.callAndWait(l.nodes["d05"], evRequest{Op: "job.explain", Key: last.id, Base: -1}, 3000).body
	waits := gjson.Get(explained, "tasks.0.waits").Str
	must.StrHasPrefix(t, fmt.Sprintf("waiting for the limit of tenant tight, %d: here it uses ", 2*l.deployment.Cores), waits, must.Sprint(explained))
}

// doctor reports a counter that has had no report from a shard for some seconds.
func TestDoctorFindsSilentShard(t *testing.T) {
	l := newTenantLoad(t, 7500, fleetWeights)
	owner := l.holderOf("slice/east")
	must.NotNil(t, owner)
	n := owner.executor.node
	must.MapEmpty(t, n.counterHealth())
	n.shareReports["east"]["west"] = n.now - reportSilentMs - 1
	found := runHealthChecks(map[string][]byte{"d": mustJSON(map[string]any{"counters": n.counterHealth()})})
	must.SliceContainsFunc(t, found, `no report of ["west"] to the counter of slice east`, func(f finding, what string) bool {
		return f.Check == "tenant not counted" && f.Problem == what
	})
}

// Without tenants counters report no fault and no metrics.
func TestNoTenantsNoMetrics(t *testing.T) {
	w := servingWorld(t, 7600)
	w.run(8000)
	for _, n := range w.sortedNodes() {
		must.MapEmpty(t, n.executor.node.counterHealth())
		must.MapEmpty(t, n.executor.node.tenantMetrics())
	}
}

func TestMergeTenants(t *testing.T) {
	amount := func(cpu int64) resource.Amount { return resource.Amount{CPU: cpu} }
	got := mergeTenants([]shardTenants{
		{
			Shard: "east", Complete: true, Omitted: 1,
			Counted: []countedTenant{{Name: "a", Limit: amount(100), Lent: amount(60), Used: amount(50), Waiting: 2}},
			Held:    []heldTenant{{Name: "a", Held: amount(40), Used: amount(30), Jobs: 3, Excess: 1}, {Name: "b", Jobs: 1}},
		},
		{
			Shard: "west", Silent: []string{"east"},
			Counted: []countedTenant{{Name: "b", Used: amount(5)}},
			Held:    []heldTenant{{Name: "a", Held: amount(20), Used: amount(20), Jobs: 2, Refused: 4}},
		},
		{Shard: "mid"},
	})
	must.Eq(t, []string{"west"}, got.Incomplete)
	must.Eq(t, 1, got.Omitted)
	must.Eq(t, tenantTotal{Tenants: 2, Lent: amount(60), Used: amount(55), Waiting: 2, Jobs: 6, Excess: 1, Refused: 4}, got.Total)
	a, b := got.tenant(t, "a"), got.tenant(t, "b")
	must.Eq(t, map[string]shardShare{"east": {amount(40), amount(30)}, "west": {amount(20), amount(20)}}, a.Shares)
	must.Eq(t, "east", a.Shard)
	must.True(t, a.Complete)
	must.Eq(t, 5, a.Jobs)
	must.False(t, b.Complete)
	must.Eq(t, []string{"east"}, b.Silent)
}

// If one shard doesn't reply there is no overview, as its sums would be wrong.
func TestTenantsNeedAllShards(t *testing.T) {
	r := gatherTenants(context.Background(), func(_ context.Context, e evRequest) effReply {
		switch {
		case e.Op == "members":
			return effReply{Status: 200, Body: []byte(`{"slices":["east","west"]}`)}
		case e.Key == "west":
			return effReply{Status: 503, RetryMs: 700}
		}
		return effReply{Status: 200, Body: mustJSON(shardTenants{Shard: e.Key})}
	})
	must.Eq(t, effReply{Status: 503, RetryMs: 700}, r)
}

// Guards against metrics that grow with the number of tenants: few have metrics of their own, the others
// are summed up.
func TestTenantMetricsAreBounded(t *testing.T) {
	n := newNode(nodeConfig{Name: "d"}, nil)
	n.config.current = &configuration.Configuration{Tenants: map[string]*configuration.Tenant{}}
	c := quota.NewCounter("east", 1)
	n.counters["east"] = c
	m := &wire.ShareReport{Counter: "east", CounterEpoch: 1, Shard: "east", ShardEpoch: 1, Seq: 1}
	const tenants = 100
	for i := range tenants {
		name := fmt.Sprintf("t%03d", i)
		n.config.current.Tenants[name] = &configuration.Tenant{Name: name, Weight: float64(i)}
		m.Accounts = append(m.Accounts, wire.ShareAccount{Tenant: name, Keep: resource.Amount{CPU: 3}, Used: resource.Amount{CPU: 2}})
	}
	must.True(t, c.OnReport("d", m))
	metrics := n.tenantMetrics()
	must.MapLen(t, tenantLabelsMax+1, metrics)
	must.Eq(t, tenantGauges{lent: resource.Amount{CPU: 3}, used: resource.Amount{CPU: 2}}, metrics["t099"])
	rest := int64(tenants - tenantLabelsMax)
	must.Eq(t, tenantGauges{lent: resource.Amount{CPU: 3 * rest}, used: resource.Amount{CPU: 2 * rest}}, metrics[otherTenants])

	ch := make(chan prometheus.Metric, 10*tenants)
	collectTenants(ch, metrics)
	must.Eq(t, (tenantLabelsMax+1)*7, len(ch)) // lent and used in three dimensions, and the claims
}

// `setup check` finds faults in the declaration of tenants offline.
func TestSetupCheckFindsTenantFaults(t *testing.T) {
	check := func(doc string) subcommands.ExitStatus {
		path := filepath.Join(t.TempDir(), "setup.json")
		must.NoError(t, os.WriteFile(path, []byte(doc), 0o600))
		return checkConfigFile(context.Background(), nil, []string{path})
	}
	digest := strings.Repeat("ab", 32)
	tenants := func(list string) string { return `{"queues":[],"tenants":[` + list + `]}` }
	for _, list := range []string{`{"name":"a","weight":2,"limit":{"cpu":5},"key_digests":["` + digest + `"]},{"name":"b"}`, `{"name":"a","limit":{}}`, ``} {
		must.Eq(t, exitOK, check(tenants(list)), must.Sprint(list))
	}
	for name, doc := range map[string]string{
		"one key twice":     tenants(`{"name":"a","key_digests":["` + digest + `"]},{"name":"b","key_digests":["` + digest + `"]}`),
		"no digest":         tenants(`{"name":"a","key_digests":["secret"]}`),
		"no hex digits":     tenants(`{"name":"a","key_digests":["` + strings.Repeat("x", len(digest)) + `"]}`),
		"no list":           `{"queues":[],"tenants":null}`,
		"a name twice":      tenants(`{"name":"a"},{"name":"a"}`),
		"a negative weight": tenants(`{"name":"a","weight":-1}`),
		"a negative limit":  tenants(`{"name":"a","limit":{"cpu":-1}}`),
	} {
		must.Eq(t, exitFailure, check(doc), must.Sprint(name))
	}
}
