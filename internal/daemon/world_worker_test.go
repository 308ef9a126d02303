package daemon

import (
	"fmt"

	"otterchute/internal/historycheck"

	"github.com/tidwall/gjson"
)

// simWorker is a backend without logic of its own: it executes whatever it is ordered to.
type simWorker struct {
	w             *world
	name          string
	zone          string
	labels        map[string]string
	capacity      int64
	up            bool
	process       int // number of the current process, raised by each start and crash
	incarnation   int
	reportSeq     int64
	token         string
	leaving       bool
	slowdown      int64
	failPct       int
	stallPct      int
	frozenUntilUs int64
	running       map[string]*simAttempt
	ended         map[string]*simAttempt
	reporting     bool
	reportAgain   bool
	daemonIndex   int
	starts        int
}

// simAttempt is an attempt that a worker executes or has ended.
type simAttempt struct {
	id, tag string
	job     string
	task    int
	cores   int64
	startMs int64
	ranMs   int64
	outcome string
	process int // of the worker that runs it
}

func (s *simWorker) start() {
	if s.up {
		return
	}
	s.up, s.reportSeq, s.token, s.reporting, s.leaving = true, 0, "", false, false
	s.process++
	s.incarnation++
	s.w.record(historycheck.Event{Kind: historycheck.WorkerCapacity, Worker: s.name, Capacity: s.capacity, Labels: s.labels, Zone: s.zone})
	process := s.process
	var tick func()
	tick = func() {
		if s.process == process && s.up {
			s.report()
			s.w.after(300_000, tick)
		}
	}
	tick()
}

// crash ends the worker's process and all its attempts; the journal of ended attempts stays.
func (s *simWorker) crash() {
	s.up = false
	s.process++
	for _, id := range sortedKeys(s.running) {
		r := s.running[id]
		s.w.record(historycheck.Event{Kind: historycheck.End, Job: r.job, Task: r.task, Worker: s.name, Run: id, Text: "crash"})
	}
	s.running = map[string]*simAttempt{}
}

// execute executes an order and returns the outcome that its sender sees.
func (s *simWorker) execute(e effOrder) string {
	if !s.up || s.w.nowUs < s.frozenUntilUs {
		return "unknown"
	}
	id := gjson.GetBytes(e.Body, "id").Str
	if e.Stop {
		s.finish(id, "stopped")
		return "started"
	}
	o := gjson.ParseBytes(e.Body)
	job, task, _ := historycheck.ParseRun(id)
	r := &simAttempt{id: id, tag: o.Get("tag").Str, job: job, task: task, cores: o.Get("room").Int(), startMs: s.w.nowMs(), process: s.process}
	s.running[id] = r
	s.starts++
	s.w.record(historycheck.Event{Kind: historycheck.Start, Job: job, Task: task, Worker: s.name, Run: id, Text: o.Get("class").Str})
	ms := o.Get("payload.ms").Int() * s.slowdown
	outcome := "ok"
	if s.w.rng.IntN(100) < s.failPct || s.w.rng.IntN(100) < int(o.Get("payload.fail_pct").Int()) {
		outcome = "failed"
	}
	if o.Get("payload.stall").Bool() || s.w.rng.IntN(100) < s.stallPct {
		return "started" // it makes no progress until it is stopped
	}
	s.w.after(ms*1000, func() {
		if s.up && r.process == s.process && s.running[id] == r {
			s.finish(id, outcome)
		}
	})
	return "started"
}

func (s *simWorker) finish(id, outcome string) {
	r := s.running[id]
	if r == nil {
		return
	}
	delete(s.running, id)
	r.outcome, r.ranMs = outcome, s.w.nowMs()-r.startMs
	s.ended[id] = r
	s.w.record(historycheck.Event{Kind: historycheck.End, Job: r.job, Task: r.task, Worker: s.name, Run: id, Text: outcome})
	s.report()
}

// report sends the worker's state to a daemon, with one report in flight at a time.
func (s *simWorker) report() {
	if s.reporting {
		s.reportAgain = true
		return
	}
	s.reporting, s.reportAgain = true, false
	s.reportSeq++
	list := func(m map[string]*simAttempt) []map[string]any {
		out := []map[string]any{}
		for _, id := range sortedKeys(m) {
			r := m[id]
			ran := r.ranMs
			if r.outcome == "" {
				ran = s.w.nowMs() - r.startMs
			}
			e := map[string]any{"id": id, "tag": r.tag, "room": r.cores, "ran_ms": ran}
			if r.outcome != "" {
				e["outcome"] = r.outcome
			}
			out = append(out, e)
		}
		return out
	}
	free := s.capacity
	for _, r := range s.running {
		free -= r.cores
	}
	leaving := s.leaving
	body := mustJSON(map[string]any{"incarnation": fmt.Sprintf("i%d", s.incarnation), "seq": s.reportSeq, "address": s.name, "site": s.zone, "labels": s.labels,
		"free": max(free, 0), "leaving": leaving, "token": s.token, "running": list(s.running), "ended": list(s.ended)})
	process := s.process
	s.w.request(s.name, s.w.anyNode(s.daemonIndex+int(s.name[2])), "worker.report", s.name, body, 2000, func(status int, _ int64, b []byte) {
		if process != s.process {
			return
		}
		s.reporting = false
		if status == 200 {
			s.token = gjson.GetBytes(b, "token").Str
			for _, a := range gjson.GetBytes(b, "acked").Array() {
				delete(s.ended, a.Str)
			}
			if leaving {
				s.w.record(historycheck.Event{Kind: historycheck.WorkerLeaving, Worker: s.name})
			}
		} else {
			s.daemonIndex++
		}
		if s.reportAgain {
			s.w.after(5000, s.report)
		}
	})
}
