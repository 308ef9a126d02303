package daemon

import (
	"testing"

	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// Guards against mixed-up replies to calls that arrive while the owner looks up their job: each waits for
// the lookup and gets the reply to its own operation. A cancel or a read must not act as a submit.
func TestCallsThatWaitForAJob(t *testing.T) {
	w := formed(t, 1, "hakata")
	w.run(3000)
	_, owner := frontAndOwner(t, w)
	id, queue := idOwnedBy(w, owner, "job"), w.deployment.InitialConfiguration().Queues[0].Name
	w.extraDelayUs = func(_, _ string, msg any) int64 {
		if _, ok := msg.(*wire.FetchResponse); ok {
			return 100_000 // delays the lookup
		}
		return 0
	}
	type reply struct {
		status int
		body   []byte
	}
	got := map[string]reply{}
	send := func(op string, body []byte) {
		w.request("caller", owner, op, id, body, 5000, func(status int, _ int64, b []byte) { got[op] = reply{status, b} })
		w.run(5)
	}
	send("job.put", jobBody(queue))
	send("job.state", nil)
	send("job.get", nil)
	send("job.cancel", nil)
	must.True(t, w.until(2000, func() bool { return len(got) == 4 }))
	must.Eq(t, 201, got["job.put"].status)
	must.Eq(t, 200, got["job.state"].status, must.Sprint(string(got["job.state"].body)))
	must.SliceContains(t, []string{"pending", "cancelled"}, gjson.GetBytes(got["job.state"].body, "state").Str) // the cancel is in progress
	must.Eq(t, 200, got["job.get"].status, must.Sprint(string(got["job.get"].body)))
	must.Eq(t, 200, got["job.cancel"].status, must.Sprint(string(got["job.cancel"].body)))
	status, _, body, _ := w.requestAndWait("caller", owner, "job.state", id, nil)
	must.Eq(t, 200, status)
	must.Eq(t, "cancelled", gjson.GetBytes(body, "state").Str)
}

// If the job is rejected in the end, only the submit gets the rejection. For other calls the job doesn't
// exist.
func TestCallsThatWaitForARejectedJob(t *testing.T) {
	w := formed(t, 1, "hakata")
	w.run(3000)
	_, owner := frontAndOwner(t, w)
	id, queue := idOwnedBy(w, owner, "job"), w.deployment.InitialConfiguration().Queues[0].Name
	w.extraDelayUs = func(_, _ string, msg any) int64 {
		if _, ok := msg.(*wire.FetchResponse); ok {
			return 100_000
		}
		return 0
	}
	got := map[string]int{}
	send := func(op string, body []byte) {
		w.request("caller", owner, op, id, body, 5000, func(status int, _ int64, _ []byte) { got[op] = status })
		w.run(5)
	}
	send("job.put", jobBody(queue))
	send("job.state", nil)
	send("job.cancel", nil)
	owner.executor.node.config.confirmedMs = -1 << 40 // the configuration is unconfirmed when the lookup ends
	w.extraDelayUs = func(_, _ string, msg any) int64 {
		if _, ok := msg.(*wire.PollResponse); ok {
			return 2_000_000
		}
		return 0
	}
	must.True(t, w.until(2000, func() bool { return len(got) == 3 }))
	must.Eq(t, map[string]int{"job.put": 503, "job.state": 404, "job.cancel": 404}, got)
}
