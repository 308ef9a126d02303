package daemon

import (
	"context"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"testing"

	"otterchute/internal/codec"
	"otterchute/internal/configuration"
	"otterchute/internal/statestore"
	"otterchute/internal/storage"
	"otterchute/internal/wire"
	"otterchute/platform"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

const (
	tenantCallMs   = 2500 // a caller's timeout
	takeoverMs     = 15_000
	tenantTestJobs = 12 // enough for each shard to have some
)

// testTenant is a tenant as an operator declares it.
type testTenant struct {
	name string
	keys []string
}

var (
	tenantA = testTenant{"kaje80", []string{"key-a1", "key-a2"}}
	tenantB = testTenant{"lono466", []string{"key-b"}}
)

// keyedSetup declares the queues "seats" and "public"; those named in open require no key. No worker
// serves them, so their jobs stay pending.
func keyedSetup(open []string, tenants ...testTenant) []byte {
	queues, declared := []map[string]any{}, []map[string]any{}
	for _, name := range []string{"seats", "public"} {
		queues = append(queues, map[string]any{
			"name": name, "urgency": 1, "max_tasks": 3, "open": slices.Contains(open, name), "selector": map[string][]string{"service": {"none"}},
			"addresses": []map[string]string{{"host": "h", "prefix": "/" + name + "/"}},
		})
	}
	for _, tenant := range tenants {
		digests := []string{}
		for _, key := range tenant.keys {
			digests = append(digests, digestText(key))
		}
		declared = append(declared, map[string]any{"name": tenant.name, "key_digests": digests})
	}
	return mustJSON(map[string]any{"queues": queues, "tenants": declared})
}

func digestText(key string) string {
	digest := configuration.DigestOfKey(key)
	return hex.EncodeToString(digest[:])
}

// tenantWorld is a world whose queues require keys.
type tenantWorld struct {
	*world
	t       *testing.T
	version int64
}

func newTenantWorld(t *testing.T, seed uint64) *tenantWorld {
	w := &tenantWorld{world: servingWorld(t, seed), t: t}
	w.keepLogs = true
	w.declare(keyedSetup(nil, tenantA, tenantB))
	w.run(2000)
	return w
}

// declare puts a configuration and requires that it is accepted.
func (w *tenantWorld) declare(document []byte) {
	w.t.Helper()
	w.version++
	call := evRequest{Op: "setup.put", Key: fmt.Sprint(w.version), Base: w.version - 1, Body: document}
	must.Eq(w.t, 200, w.callAndWait(w.nodes["d00"], call, 4000).status)
}

func tenantJob(payload string, tasks int) []byte {
	return fmt.Appendf(nil, `{"payload":%q,"steps":[{"name":"0","count":%d}]}`, payload, tasks)
}

// at makes a call with a key at a daemon.
func (w *tenantWorld) at(daemon, op, path, key string, body []byte) callResult {
	return w.callAndWait(w.nodes[daemon], evRequest{Op: op, Host: "h", Path: path, Credential: key, Body: body, Base: -1}, tenantCallMs)
}

func (w *tenantWorld) submit(daemon, path, key string) int {
	return w.at(daemon, "queue.submit", path, key, tenantJob("x", 1)).status
}

func (w *tenantWorld) state(daemon, path, key string) int {
	return w.at(daemon, "queue.state", path, key, nil).status
}

func (w *tenantWorld) cancel(daemon, path, key string) int {
	return w.at(daemon, "queue.cancel", path, key, nil).status
}

// submitSome submits jobs of one tenant, some for each shard.
func (w *tenantWorld) submitSome(key string) (paths []string) {
	w.t.Helper()
	for i := range tenantTestJobs {
		path := fmt.Sprintf("/seats/%016x", i)
		must.Eq(w.t, 201, w.submit("d00", path, key))
		paths = append(paths, path)
	}
	return paths
}

// recordedTenant returns the tenant in the newest record of a job.
func (w *tenantWorld) recordedTenant(id string) string {
	w.t.Helper()
	var newest statestore.Record
	for _, n := range w.sortedNodes() {
		if !n.up || n.executor.node.store == nil {
			continue
		}
		if r, known := n.executor.node.store.Shard(n.executor.node.shardOf(id)).Get(id); known && newest.OlderThan(r) {
			newest = r
		}
	}
	j, ok := decodeJob(newest)
	must.True(w.t, ok, must.Sprint("no record of ", id))
	return j.Tenant
}

// Guards against calls with no key or an unknown one that any daemon accepts.
func TestTenantKeysUnknownAreRefused(t *testing.T) {
	w := newTenantWorld(t, 5300)
	must.Eq(t, 201, w.submit("d00", "/seats/held", "key-a1"))
	refused := int64(0)
	for i, daemon := range sortedKeys(w.nodes) {
		for k, key := range []string{"", "nobody", "key-a1 ", " key-a1", "KEY-A1", "key-a1,key-a2", digestText("key-a1"), tenantA.name, strings.Repeat("k", 15_000)} {
			path := fmt.Sprintf("/seats/%d-%d", i, k)
			for _, call := range []struct{ op, path string }{
				{"queue.submit", path}, {"queue.submit", "/seats/held"}, {"queue.state", "/seats/held"}, {"queue.state", "/seats/nobody"},
				{"queue.state", "/seats/"}, {"queue.cancel", "/seats/held"},
			} {
				refused++
				got := w.at(daemon, call.op, call.path, key, tenantJob("x", 1))
				must.Eq(t, callResult{401, `{"error":"no tenant has this key"}`}, got, must.Sprintf("%s %s with %.20q at %s", call.op, call.path, key, daemon))
			}
			must.Eq(t, 410, w.state("d00", path, "key-a1"))
		}
		must.Eq(t, 404, w.state(daemon, "/elsewhere/x", "nobody"), must.Sprint("an unknown queue is reported as such"))
		must.Eq(t, 200, w.state(daemon, "/seats/held", "key-a2"))
	}
	must.Eq(t, 1, w.total("jobs_entered"))
	must.Eq(t, refused, w.total("calls_unauthenticated"))
	must.Eq(t, `{"state":"pending"}`, stateOnly(w.at("d01", "queue.state", "/seats/held", "key-a1", nil)))
}

// stateOnly returns the state in a reply, without its other fields.
func stateOnly(a callResult) string {
	return fmt.Sprintf(`{"state":%q}`, gjson.Get(a.body, "state").Str)
}

// Guards against calls without a key that a declared digest of the empty key would admit.
func TestTenantKeysOfNothingAdmitNobody(t *testing.T) {
	w := newTenantWorld(t, 5310)
	w.declare(keyedSetup(nil, tenantA, testTenant{"lono466", []string{""}}))
	w.run(2000)
	must.Eq(t, 401, w.submit("d04", "/seats/j", ""))
	must.Eq(t, 201, w.submit("d04", "/seats/j", "key-a1"))
}

// Guards against keys that are lost between the HTTP server and the node.
func TestTenantKeysReachTheNode(t *testing.T) {
	c, faults := configuration.Compile(1, keyedSetup(nil, tenantA))
	must.SliceEmpty(t, faults)
	l := newControlLoop(newSteadyClock())
	n := newNode(nodeConfig{Name: "d1", Addr: "127.0.0.1:7000", Zone: "east"}, nil)
	n.config.current, n.config.confirmedMs, n.config.confirmedPoll = c, 1<<40, 1<<60
	l.executor = &executor{node: n, ports: &processPorts{loop: l, log: logr.Discard(), pendingReplies: map[uint64]chan effReply{}, exit: func() {}}}
	go l.run()
	h := &httpServer{loop: l}
	for key, status := range map[string]int{"": 401, "nobody": 401, "key-a1": 503} { // no shard has an owner yet
		for _, op := range []string{"queue.submit", "queue.state", "queue.cancel"} {
			call := platform.Call{Op: op, Host: "h", Path: "/seats/j", Credential: key, Body: tenantJob("x", 1)}
			must.Eq(t, status, h.servePlatform(context.Background(), call).Status, must.Sprint(op, key))
		}
	}
	close(l.quit)
	<-l.done
}

// Guards against a 401 by a configuration older than the one that has just added the key.
func TestTenantKeysAreRefusedByNoOldConfiguration(t *testing.T) {
	for seed := range uint64(4) {
		w := newTenantWorld(t, 5320+seed)
		for round := range 5 {
			key := fmt.Sprint("key-new-", round)
			w.declare(keyedSetup(nil, tenantA, testTenant{"lono466", []string{key}}))
			for _, daemon := range sortedKeys(w.nodes) { // all at once, right after the acknowledgement
				path := fmt.Sprintf("/seats/%s-%d", daemon, round)
				w.call("caller", w.nodes[daemon], evRequest{Op: "queue.submit", Host: "h", Path: path, Credential: key, Body: tenantJob("x", 1)}, tenantCallMs,
					func(status int, _ int64, _ []byte) { must.NotEq(t, 401, status, must.Sprint(daemon)) })
			}
			w.run(tenantCallMs + 500)
			must.Eq(t, 201, w.submit("d03", fmt.Sprint("/seats/after-", round), key))
		}
		w.cutHost("d04")
		w.run(100)
		must.Eq(t, 503, w.state("d04", "/seats/x", "nobody"), must.Sprint("a daemon that is cut off doesn't know all keys"))
	}
}

// Guards against tenants that see, cancel or detect each other's jobs, live or ended.
func TestTenantsSeeTheirOwnJobsOnly(t *testing.T) {
	w := newTenantWorld(t, 5330)
	check := func(daemon string) {
		t.Helper()
		clash := w.at(daemon, "queue.submit", "/seats/j", "key-a1", tenantJob("another", 1))
		must.Eq(t, 409, clash.status)
		must.Eq(t, clash, w.at(daemon, "queue.submit", "/seats/j", "key-b", tenantJob("x", 1)), must.Sprint("the same job, of another tenant"))
		missing := w.at(daemon, "queue.state", "/seats/nobody", "key-b", nil)
		must.Eq(t, 410, missing.status)
		must.Eq(t, missing, w.at(daemon, "queue.state", "/seats/j", "key-b", nil))
		must.Eq(t, w.at(daemon, "queue.cancel", "/seats/nobody", "key-b", nil), w.at(daemon, "queue.cancel", "/seats/j", "key-b", nil))
		must.Eq(t, 200, w.state(daemon, "/seats/j", "key-a2"), must.Sprint("by another key of its tenant"))
		must.Eq(t, 200, w.submit(daemon, "/seats/j", "key-a2"), must.Sprint("it is the same job"))
		must.Eq(t, 410, w.state(daemon, "/public/j", "key-a1"), must.Sprint("the job is in another queue"))
		must.Eq(t, 200, w.callAndWait(w.nodes[daemon], evRequest{Op: "job.get", Key: "j", Base: -1}, tenantCallMs).status, must.Sprint("operators see all"))
	}
	must.Eq(t, 201, w.submit("d00", "/seats/j", "key-a1"))
	for _, daemon := range sortedKeys(w.nodes) {
		check(daemon)
	}
	must.Eq(t, `{"state":"pending"}`, stateOnly(w.at("d01", "queue.state", "/seats/j", "key-a1", nil)))
	must.Eq(t, 200, w.cancel("d02", "/seats/j", "key-a1"))
	w.run(3000)
	must.Eq(t, `{"state":"cancelled"}`, stateOnly(w.at("d01", "queue.state", "/seats/j", "key-a1", nil)))
	for _, daemon := range sortedKeys(w.nodes) {
		check(daemon)
	}
}

// Guards against two tenants' jobs of one id, submitted at once, that are taken for the same job or
// rejected for each other's faults.
func TestTenantsSubmitTheSameIDAtOnce(t *testing.T) {
	for seed := range uint64(6) {
		w := newTenantWorld(t, 5340+seed)
		both := func(path string, tasksOfA int) (a, b int) {
			body := map[string][]byte{"key-a1": tenantJob("x", tasksOfA), "key-b": tenantJob("x", 1)}
			got := map[string]int{}
			for _, key := range []string{"key-a1", "key-b"} {
				w.call("caller", w.nodes["d03"], evRequest{Op: "queue.submit", Host: "h", Path: path, Credential: key, Body: body[key]}, tenantCallMs,
					func(status int, _ int64, _ []byte) { got[key] = status })
			}
			w.run(tenantCallMs + 500)
			return got["key-a1"], got["key-b"]
		}
		a, b := both("/seats/same", 1)
		must.Eq(t, []int{201, 409}, []int{min(a, b), max(a, b)})
		must.Eq(t, a == 201, w.recordedTenant("same") == tenantA.name)
		a, b = both("/seats/faulty", 4) // more tasks than the queue allows
		must.Eq(t, []int{400, 201}, []int{a, b})
		must.Eq(t, tenantB.name, w.recordedTenant("faulty"))
	}
}

// Guards against jobs that lose their tenant when another daemon takes their shard over, and against
// states that other tenants can read while the shard has no owner.
func TestTenantsKeepTheirJobsOverATakeover(t *testing.T) {
	for seed := range uint64(3) {
		w := newTenantWorld(t, 5350+seed)
		paths := w.submitSome("key-a1")
		fromCore := w.total("states_from_core")
		for _, shard := range []string{"slice/east", "slice/west"} {
			if owner := w.holderOf(shard); owner != nil {
				owner.kill(true)
				w.after(4_000_000, owner.start)
			}
			for end := w.nowMs() + takeoverMs; w.nowMs() < end; {
				for _, daemon := range sortedKeys(w.nodes) {
					if !w.nodes[daemon].up {
						continue
					}
					path := paths[w.rng.IntN(len(paths))]
					if status := w.state(daemon, path, "key-b"); status == 200 {
						t.Fatalf("%s showed another tenant %s", daemon, path)
					}
					if status := w.state(daemon, path, "key-a1"); status == 410 {
						t.Fatalf("%s doesn't know %s", daemon, path)
					}
				}
			}
		}
		must.Greater(t, fromCore, w.total("states_from_core"))
		w.checkOwned(paths)
	}
}

// checkOwned checks that jobs belong to tenant A only, calling the daemons in turn.
func (w *tenantWorld) checkOwned(paths []string) {
	w.t.Helper()
	for i, path := range paths {
		daemon := sortedKeys(w.nodes)[i%len(w.nodes)]
		must.Eq(w.t, 200, w.state(daemon, path, "key-a2"), must.Sprint(path))
		must.Eq(w.t, 410, w.state(daemon, path, "key-b"), must.Sprint(path))
		must.Eq(w.t, 410, w.cancel(daemon, path, "key-b"), must.Sprint(path))
		must.Eq(w.t, tenantA.name, w.recordedTenant(strings.TrimPrefix(path, "/seats/")))
	}
}

// Guards against jobs that lose their tenant when all daemons restart from their disks.
func TestTenantsKeepTheirJobsOverARestart(t *testing.T) {
	w := newTenantWorld(t, 5360)
	paths := w.submitSome("key-a1")
	must.Eq(t, 200, w.cancel("d00", paths[0], "key-a1"))
	w.run(2000)
	for _, n := range w.sortedNodes() {
		n.FirstStart = false
		n.kill(true)
		w.after(500_000, n.start)
	}
	w.run(takeoverMs)
	w.checkOwned(paths)
	must.Eq(t, 401, w.state("d04", paths[0], "nobody"))
}

// Guards against an owner that accepts a job of a tenant whose limit it doesn't know yet.
func TestTenantsAreKnownToTheOwnerFirst(t *testing.T) {
	for i := range 20 {
		id := fmt.Sprint("job", i)
		w := newTenantWorld(t, 5370+uint64(i))
		owner := w.holderOf("slice/" + w.nodes["d00"].executor.node.shardOf(id))
		if owner == nil || owner.Name == "d00" {
			continue
		}
		withheld := true
		w.extraDelayUs = func(_, to string, msg any) int64 {
			if _, ok := msg.(*wire.RegisterValue); ok && withheld && to == owner.Name {
				return 300_000_000 // it never arrives
			}
			return 0
		}
		w.declare(keyedSetup(nil, tenantA, tenantB, testTenant{"late", []string{"key-late"}}))
		if owner.executor.node.config.current.Version == w.version { // it accepted the change itself
			continue
		}
		must.Eq(t, 503, w.submit("d00", "/seats/"+id, "key-late"))
		must.Eq(t, 201, w.submit("d00", "/seats/"+id+"-other", "key-a1"), must.Sprint("jobs of known tenants must still be accepted"))
		withheld = false
		w.run(2000)
		must.Eq(t, 201, w.submit("d00", "/seats/"+id, "key-late"))
		must.Eq(t, "late", w.recordedTenant(id))
		return
	}
	t.Fatal("no owner was behind")
}

// Guards against jobs that change their tenant, or that their callers can't reach any more, when queues
// are opened and closed to calls without a key.
func TestTenantsWhileRoutesOpenAndClose(t *testing.T) {
	w := newTenantWorld(t, 5380)
	open := func(queues ...string) {
		w.declare(keyedSetup(queues, tenantA, tenantB))
		w.run(2500)
	}
	open("public")
	must.Eq(t, 401, w.submit("d04", "/seats/closed", ""))
	must.Eq(t, 201, w.submit("d04", "/public/nobodys", ""))
	must.Eq(t, 201, w.submit("d04", "/public/a", "key-a1"))
	must.Eq(t, 201, w.submit("d04", "/public/unknown", "key-taken-away"))
	must.Eq(t, "", w.recordedTenant("nobodys"))
	must.Eq(t, "", w.recordedTenant("unknown"))
	must.Eq(t, tenantA.name, w.recordedTenant("a"))
	for _, key := range []string{"", "key-taken-away"} {
		must.Eq(t, 200, w.state("d03", "/public/a", key), must.Sprint("its key may have been removed"))
		must.Eq(t, 410, w.cancel("d03", "/public/a", key), must.Sprint("a call without a tenant can't cancel a tenant's job"))
	}
	must.Eq(t, 410, w.state("d03", "/public/a", "key-b"))

	open()
	for _, path := range []string{"/public/nobodys", "/public/a", "/public/"} {
		must.Eq(t, 401, w.state("d02", path, ""))
		must.Eq(t, 401, w.cancel("d02", path, "key-taken-away"))
	}
	must.Eq(t, 200, w.state("d02", "/public/nobodys", "key-b"), must.Sprint("it has no tenant"))
	must.Eq(t, 410, w.state("d02", "/public/a", "key-b"))

	open("public", "seats")
	must.Eq(t, 201, w.submit("d01", "/seats/closed", ""))
	must.Eq(t, 200, w.cancel("d01", "/public/nobodys", ""))
	must.Eq(t, 200, w.cancel("d01", "/public/a", "key-a2"))
}

// Guards against callers who can't reach their jobs after their tenant was renamed, and against jobs of a
// declared tenant that an unconfirmed configuration shows to others.
func TestTenantsThatAreRenamedKeepTheirJobs(t *testing.T) {
	w := newTenantWorld(t, 5390)
	must.Eq(t, 201, w.submit("d00", "/seats/j", "key-a1"))
	w.declare(keyedSetup(nil, testTenant{"renamed", tenantA.keys}, tenantB))
	w.run(2500)
	must.Eq(t, 200, w.state("d03", "/seats/j", "key-a1"))
	must.Eq(t, 200, w.submit("d03", "/seats/j", "key-a1"))
	must.Eq(t, 200, w.cancel("d03", "/seats/j", "key-a1"))

	n, theirs := w.nodes["d03"].executor.node, &jobRecord{Queue: "seats", Tenant: "not known here"}
	req := &request{op: "job.state", queue: "seats", tenant: tenantB.name}
	must.True(t, n.jobVisible(req, theirs))
	n.config.confirmedMs -= configFreshMs + 1
	must.False(t, n.jobVisible(req, theirs))
	n.config.current = configuration.Empty()
	must.False(t, n.jobVisible(req, theirs))
}

// Guards against keys in operators' replies, logs, disk entries and names of counts.
func TestTenantKeysStaySecret(t *testing.T) {
	w := newTenantWorld(t, 5400)
	must.Eq(t, 201, w.submit("d03", "/seats/j", "key-a1"))
	must.Eq(t, 401, w.submit("d03", "/seats/k", "key-nobody"))
	w.run(2000)
	shown := strings.Join(w.logs, "\n")
	for _, e := range []evRequest{{Op: "job.get", Key: "j"}, {Op: "job.explain", Key: "j"}, {Op: "setup.get"}, {Op: "soundness"}, {Op: "members"}, {Op: "workers"}, {Op: "tenants"}} {
		e.Base = -1
		shown += w.callAndWait(w.nodes["d03"], e, tenantCallMs).body
	}
	for _, n := range w.sortedNodes() {
		for _, entry := range n.disk.entries {
			shown += string(entry)
		}
		shown += strings.Join(sortedKeys(n.executor.node.counts), "\n")
	}
	must.StrContains(t, shown, tenantA.name)
	must.StrNotContains(t, shown, "key-a1")
	must.StrNotContains(t, shown, "key-nobody")
}

// Guards against a changed encoding of records without a tenant, and against truncated records that are
// decoded.
func TestTenantInTheRecord(t *testing.T) {
	j := &jobRecord{ID: "j", Queue: "seats", Steps: []jobStep{{}}, Tasks: []task{{Worker: "w", Attempt: 3}}, Abandoned: []abandonedAttempt{{}}}
	old := j.encode()
	j.Tenant = "kaje80"
	form := j.encode()
	must.Eq(t, string(old), string(form[:len(old)]), must.Sprint("the tenant must be appended to the earlier fields"))
	must.Eq(t, codec.Append(nil, struct{ Tenant string }{"kaje80"}), form[len(old):])
	for value, tenant := range map[string]string{string(old): "", string(form): "kaje80"} {
		read, ok := decodeJob(statestore.Record{ID: "j", Value: []byte(value)})
		must.True(t, ok)
		must.Eq(t, tenant, read.Tenant)
		must.Eq(t, value, string(read.encode()))
	}
	for cut := range len(form) {
		if read, ok := decodeJob(statestore.Record{ID: "j", Value: form[:cut]}); ok {
			must.Eq(t, len(old), cut)
			must.Eq(t, "", read.Tenant)
		}
	}
}

// Guards against jobs of earlier releases that can't be read or are encoded differently.
func TestTenantInNoEarlierRecord(t *testing.T) {
	read := 0
	for _, name := range fixtureMembers {
		_, st, err := storage.Open(copyOfFixture(t, name), 77, discardLog)
		must.NoError(t, err)
		for _, shard := range st.ShardNames() {
			for _, r := range st.Shard(shard).Live() {
				j, ok := decodeJob(r)
				must.True(t, ok)
				must.Eq(t, "", j.Tenant)
				must.Eq(t, string(r.Value), string(j.encode()))
				read++
			}
		}
	}
	must.Positive(t, read)
}
