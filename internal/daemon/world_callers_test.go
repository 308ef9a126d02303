package daemon

import (
	"encoding/json"
	"fmt"

	"otterchute/internal/historycheck"

	"github.com/tidwall/gjson"
)

// request sends an HTTP request from a host to a daemon; cb gets status 0 on a timeout.
func (w *world) request(from string, to *simNode, op, key string, body []byte, waitMs int64, cb func(status int, retryMs int64, body []byte)) {
	w.call(from, to, evRequest{Op: op, Key: key, Base: -1, Body: body}, waitMs, cb)
}

// call is ask for requests with all their fields.
func (w *world) call(from string, to *simNode, e evRequest, waitMs int64, cb func(status int, retryMs int64, body []byte)) {
	done := false
	finish := func(status int, retryMs int64, b []byte) {
		if !done {
			done = true
			cb(status, retryMs, b)
		}
	}
	w.after(waitMs*1000, func() { finish(0, 0, nil) })
	w.deliver(from, to.Name, func() {
		if !to.up {
			return
		}
		to.whenAwake(func() {
			to.requestSeq++
			to.pendingReplies[to.requestSeq] = func(status int, retryMs int64, b []byte) {
				if w.responseLost(sentResponse{from, to, e, status}) {
					return
				}
				w.deliver(to.Name, from, func() { finish(status, retryMs, b) })
			}
			e.ID = to.requestSeq
			to.event(e)
		})
	})
}

func (w *world) anyNode(r int) *simNode {
	names := sortedKeys(w.nodes)
	return w.nodes[names[r%len(names)]]
}

// simJob is a caller's view of one job.
type simJob struct {
	id          string
	spec        historycheck.Job
	body        []byte
	sentMs      int64
	acked       bool
	state       string
	lastState   string // body of the last state response
	cancelAcked bool
	gaveUp      bool
	tries       int
}

// submit sends a job, retries it until it is answered, and then polls its state until it ends.
func (w *world) submit(spec historycheck.Job) *simJob {
	w.jobSeq++
	j := &simJob{id: fmt.Sprintf("j%05d", w.jobSeq), spec: spec, sentMs: w.nowMs()}
	j.body, _ = json.Marshal(spec)
	w.jobs[j.id] = j
	recorded := j.spec
	if recorded.DueMs > 0 {
		recorded.DueMs -= wallStart // the history uses simulated time
	}
	w.record(historycheck.Event{Kind: historycheck.JobSent, Job: j.id, Spec: &recorded})
	w.putJob(j)
	return j
}

func (w *world) putJob(j *simJob) {
	j.tries++
	w.request("caller", w.anyNode(w.rng.IntN(1000)), "job.put", j.id, j.body, 2000, func(status int, retryMs int64, _ []byte) {
		switch {
		case status == 200 || status == 201:
			if !j.acked {
				j.acked = true
				w.record(historycheck.Event{Kind: historycheck.JobAcked, Job: j.id})
			}
			w.after(500_000, func() { w.pollJob(j) })
		case status == 400 || status == 409:
			j.gaveUp, j.state = true, fmt.Sprint(status)
		case j.tries > 200:
			j.gaveUp = true
		default:
			w.record(historycheck.Event{Kind: historycheck.SubmissionFailed, Job: j.id})
			w.after(max(retryMs, 500)*1000, func() { w.putJob(j) })
		}
	})
}

func (w *world) pollJob(j *simJob) {
	requestedMs := w.nowMs()
	w.request("caller", w.anyNode(w.rng.IntN(1000)), "job.get", j.id, nil, 2000, func(status int, _ int64, b []byte) {
		state := gjson.GetBytes(b, "state").Str
		j.lastState = string(b)
		if status == 404 {
			state = "unknown"
		}
		if state != "" {
			j.state = state
			w.record(historycheck.Event{Kind: historycheck.JobState, Job: j.id, Text: state, RequestedMs: requestedMs})
		} else {
			w.record(historycheck.Event{Kind: historycheck.StateUnavailable, Job: j.id})
		}
		if state == "complete" || state == "failed" || state == "cancelled" {
			w.doneAtMs = append(w.doneAtMs, w.nowMs())
			return
		}
		w.after(700_000+w.rng.Int64N(300_000), func() { w.pollJob(j) })
	})
}

func (w *world) cancelJob(j *simJob) {
	w.request("caller", w.anyNode(w.rng.IntN(1000)), "job.cancel", j.id, nil, 2000, func(status int, _ int64, _ []byte) {
		switch status {
		case 200:
			j.cancelAcked = true
			w.record(historycheck.Event{Kind: historycheck.CancelAcked, Job: j.id})
		case 409, 404:
		default:
			w.after(500_000, func() { w.cancelJob(j) })
		}
	})
}

// putSetup sends a configuration version and retries until it is accepted or rejected.
func (w *world) putSetup(version int64, s historycheck.Configuration, done func(status int)) {
	body, _ := json.Marshal(s)
	stored := &s
	w.record(historycheck.Event{Kind: historycheck.ConfigurationSent, Version: version, Configuration: stored})
	var try func()
	try = func() {
		w.request("operator", w.anyNode(w.rng.IntN(1000)), "setup.put", fmt.Sprint(version), body, 4000, func(status int, _ int64, b []byte) {
			switch status {
			case 200:
				w.record(historycheck.Event{Kind: historycheck.ConfigurationAcked, Version: version, Configuration: stored})
			case 400, 409:
				w.record(historycheck.Event{Kind: historycheck.ConfigurationRejected, Version: version, Configuration: stored})
			default:
				w.after(500_000, try)
				return
			}
			if done != nil {
				done(status)
			}
		})
	}
	try()
}

// traffic submits the deployment's usual mix of jobs for ms.
func (w *world) traffic(ms int64) {
	end := w.nowMs() + ms
	var next func()
	next = func() {
		if w.nowMs() >= end {
			return
		}
		w.submit(w.deployment.RandomJob(w.rng))
		w.after(int64(w.rng.ExpFloat64()*1e6/w.deployment.JobsPerSec), next)
	}
	next()
}

func (w *world) setupVersion() int64 {
	v := int64(0)
	for _, n := range w.sortedNodes() {
		if n.up {
			v = max(v, n.executor.node.config.record.Version)
		}
	}
	return v
}

// openJobs returns the accepted jobs that have not ended as far as callers know, with their
// states.
func (w *world) openJobs() []string {
	var out []string
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; !j.gaveUp && j.state != "complete" && j.state != "failed" && j.state != "cancelled" {
			out = append(out, id+":"+j.state)
		}
	}
	return out
}
