package daemon

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a job that is reported as unknown, or refused as another tenant's, to callers whose
// tenant was renamed, by an owner whose configuration is outdated or not confirmed yet.
func TestJobsOfRenamedTenantsStayKnown(t *testing.T) {
	for seed := range uint64(3) {
		w := newTenantWorld(t, 5600+seed)
		paths := w.submitSome("key-a1")
		answers := map[string]int{}
		for round := range 4 {
			name := fmt.Sprint("renamed-", round)
			w.declare(keyedSetup(nil, testTenant{name, tenantA.keys}, tenantB))
			for range 60 {
				for i, daemon := range sortedKeys(w.nodes) {
					op := []string{"queue.state", "queue.submit"}[i%2]
					w.call("caller", w.nodes[daemon], evRequest{Op: op, Host: "h", Path: paths[i%len(paths)], Credential: "key-a1", Body: tenantJob("x", 1), Base: -1}, tenantCallMs,
						func(status int, _ int64, _ []byte) { answers[fmt.Sprint(op, " ", status)]++ })
				}
				w.run(10)
			}
			w.run(tenantCallMs)
		}
		for answer := range answers {
			must.SliceContains(t, []string{"queue.state 200", "queue.submit 200", "queue.state 503", "queue.submit 504"}, answer, must.Sprint(answers))
		}
		must.Positive(t, answers["queue.state 200"])
		must.Positive(t, answers["queue.submit 200"])
		t.Log(answers)
	}
}

// Guards against a job refused as another tenant's when a daemon with the version before a renaming
// forwards the call under the tenant's former name.
func TestJobResubmittedByAFormerName(t *testing.T) {
	for _, op := range []string{"job.put", "job.state", "job.cancel"} {
		n, shard := shareOwner(t)
		n.config.confirmedPoll = 1
		job := jobOfTenant(t, shard, "a", "full", `{"name":"s","count":1,"room":1}`, 1)
		call := &request{id: 7, op: op, key: "a", queue: "q", byAddress: true, tenant: "former"}
		must.True(t, n.respondIfHidden(call, &job.jobRecord))
		for _, e := range n.effects {
			if reply, ok := e.(effReply); ok {
				must.SliceNotContains(t, []int{404, 409, 410}, reply.Status, must.Sprint(op, " ", string(reply.Body)))
			}
		}
	}
}

// Guards against a 409 for a job that is submitted again at its address after its queue was renamed: it
// is the same job.
func TestJobResubmittedAtARenamedQueue(t *testing.T) {
	for name, c := range map[string]struct {
		jobOf, callOf string
		confirmed     uint64
	}{
		"by its new name":                  {"former", "q", 1},
		"by its former name":               {"q", "former", 1},
		"while the owner isn't up to date": {"q", "next", 0},
	} {
		n, shard := shareOwner(t)
		n.config.confirmedPoll = c.confirmed
		job := jobOfTenant(t, shard, "a", "", `{"name":"s","count":1,"room":1}`, 1)
		job.Queue = c.jobOf
		n.respondIfHidden(&request{id: 7, op: "job.put", key: "a", queue: c.callOf, byAddress: true}, &job.jobRecord)
		for _, e := range n.effects {
			if reply, ok := e.(effReply); ok {
				must.NotEq(t, 409, reply.Status, must.Sprint(name, " ", string(reply.Body)))
			}
		}
	}
}
