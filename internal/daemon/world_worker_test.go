package daemon

import (
	"fmt"

	"otterchute/internal/historycheck"

	"github.com/tidwall/gjson"
)

// simWorker is a backend without logic of its own: it executes whatever it is ordered to.
type simWorker struct {
	w        *world
	name     string
	zone     string
	labels   map[string]string
	capacity int64
	up       bool
	gen      int
	inc      int
	seq      int64
	token    string
	leaving  bool
	slow     int64
	failPct  int
	stallPct int
	frozenTo int64
	running  map[string]*simRun
	ended    map[string]*simRun
	busy     bool
	again    bool
	use      int
	starts   int
}

type simRun struct {
	id, tag string
	job     string
	task    int
	room    int64
	startMs int64
	ranMs   int64
	outcome string
	gen     int
}

func (s *simWorker) start() {
	if s.up {
		return
	}
	s.up, s.seq, s.token, s.busy, s.leaving = true, 0, "", false, false
	s.gen++
	s.inc++
	s.w.note(historycheck.Event{Kind: historycheck.WorkerCapacity, Worker: s.name, Capacity: s.capacity, Labels: s.labels, Zone: s.zone})
	gen := s.gen
	var tick func()
	tick = func() {
		if s.gen == gen && s.up {
			s.report()
			s.w.after(300_000, tick)
		}
	}
	tick()
}

// crash ends the worker's process and all its attempts; the journal of ended attempts stays.
func (s *simWorker) crash() {
	s.up = false
	s.gen++
	for _, id := range sortedKeys(s.running) {
		r := s.running[id]
		s.w.note(historycheck.Event{Kind: historycheck.End, Job: r.job, Task: r.task, Worker: s.name, Run: id, Text: "crash"})
	}
	s.running = map[string]*simRun{}
}

func (s *simWorker) take(e effOrder) string {
	if !s.up || s.w.nowUs < s.frozenTo {
		return "unknown"
	}
	id := gjson.GetBytes(e.Body, "id").Str
	if e.Stop {
		s.finish(id, "stopped")
		return "started"
	}
	o := gjson.ParseBytes(e.Body)
	job, task, _ := historycheck.ParseRun(id)
	r := &simRun{id: id, tag: o.Get("tag").Str, job: job, task: task, room: o.Get("room").Int(), startMs: s.w.nowMs(), gen: s.gen}
	s.running[id] = r
	s.starts++
	s.w.note(historycheck.Event{Kind: historycheck.Start, Job: job, Task: task, Worker: s.name, Run: id, Text: o.Get("class").Str})
	ms := o.Get("payload.ms").Int() * s.slow
	outcome := "ok"
	if s.w.rng.IntN(100) < s.failPct || s.w.rng.IntN(100) < int(o.Get("payload.fail_pct").Int()) {
		outcome = "failed"
	}
	if o.Get("payload.stall").Bool() || s.w.rng.IntN(100) < s.stallPct {
		return "started" // it makes no progress until it is stopped
	}
	s.w.after(ms*1000, func() {
		if s.up && r.gen == s.gen && s.running[id] == r {
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
	s.w.note(historycheck.Event{Kind: historycheck.End, Job: r.job, Task: r.task, Worker: s.name, Run: id, Text: outcome})
	s.report()
}

func (s *simWorker) report() {
	if s.busy {
		s.again = true
		return
	}
	s.busy, s.again = true, false
	s.seq++
	list := func(m map[string]*simRun) []map[string]any {
		out := []map[string]any{}
		for _, id := range sortedKeys(m) {
			r := m[id]
			ran := r.ranMs
			if r.outcome == "" {
				ran = s.w.nowMs() - r.startMs
			}
			e := map[string]any{"id": id, "tag": r.tag, "room": r.room, "ran_ms": ran}
			if r.outcome != "" {
				e["outcome"] = r.outcome
			}
			out = append(out, e)
		}
		return out
	}
	free := s.capacity
	for _, r := range s.running {
		free -= r.room
	}
	leaving := s.leaving
	body := mustJSON(map[string]any{"incarnation": fmt.Sprintf("i%d", s.inc), "seq": s.seq, "address": s.name, "site": s.zone, "labels": s.labels,
		"free": max(free, 0), "leaving": leaving, "token": s.token, "running": list(s.running), "ended": list(s.ended)})
	gen := s.gen
	s.w.ask(s.name, s.w.anyNode(s.use+int(s.name[2])), "worker.report", s.name, body, 2000, func(status int, _ int64, b []byte) {
		if gen != s.gen {
			return
		}
		s.busy = false
		if status == 200 {
			s.token = gjson.GetBytes(b, "token").Str
			for _, a := range gjson.GetBytes(b, "acked").Array() {
				delete(s.ended, a.Str)
			}
			if leaving {
				s.w.note(historycheck.Event{Kind: historycheck.WorkerLeaving, Worker: s.name})
			}
		} else {
			s.use++
		}
		if s.again {
			s.w.after(5000, s.report)
		}
	})
}
