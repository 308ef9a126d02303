package daemon

import (
	"fmt"
	"slices"
)

// taskName names a task of a job, as the wire does.
type taskName struct{ round, step, index int }

type platformEvent struct {
	atMs, askedMs int64
	kind          string
	job           string
	task          taskName
	host          string // the machine that a worker stands on, or that answered
	worker        string // its id, new in each life
	run, n, base  int64
	text, saved   string
	queue         *platformQueue
	spec          *platformJob
	facts         *workerFacts
	setup         *platformSetup
	key           string // that a call showed
	order         int    // in the history
}

// workerFacts are what a worker says of itself.
type workerFacts struct {
	capacity amounts
	labels   map[string]string
	site     string
	rack     string
	guards   bool
}

// amounts are cpu, memory and accelerators.
type amounts [3]int64

func (a amounts) plus(b amounts, sign int64) amounts {
	for i := range a {
		a[i] += sign * b[i]
	}
	return a
}

func (a amounts) within(b amounts) bool { return a[0] <= b[0] && a[1] <= b[1] && a[2] <= b[2] }

// platformBounds are the times of the users' rules, in ms.
type platformBounds struct {
	contact, drain, evacuation, config, cancel, stop, visible, early int64
}

var usualPlatformBounds = platformBounds{contact: 3000, drain: 2000, evacuation: 5000, config: 2000, cancel: 3000, stop: 200, visible: 3000, early: 250}

type platformBreach struct {
	rule string
	atMs int64
	what string
}

func (b platformBreach) String() string {
	return fmt.Sprintf("%s at %d ms: %s", b.rule, b.atMs, b.what)
}

type seenRun struct {
	name    taskName
	job     string
	run     int64
	start   int // order of events
	startMs int64
	end     int // 0 while open
	endMs   int64
	how     string
	number  int64 // of its end at its worker
	notedMs int64 // when its end was taken note of for good; -1 never
	void    bool  // its worker's hold ran out in between
	worker  string
	host    string
	tenant  string  // whose it is, while it counts as running; "" afterwards
	room    amounts // of it
}

type seenJob struct {
	id              string
	spec            *platformJob
	queue           *platformQueue
	sentMs, ackedMs int64
	acked           bool
	taken           bool // some try had no clear refusal
	accepted        bool // a daemon's answer said so as it left
	cancelSent      bool
	cancelMs        int64 // acknowledged; -1 not
	cancelSentMs    int64
	completeMs      int64 // first shown so; -1 not
	runs            map[taskName][]*seenRun
	saved           map[string]taskName
	gangSaved       map[[3]int64]string // what the members of a run were told to go on from
}

type seenWorker struct {
	facts     *workerFacts
	host      string
	down      bool
	used      amounts
	open      map[runName]*seenRun
	ends      []*seenRun // by number, not yet seen
	unlisted  []*seenRun // ended, and no beat told of it yet
	leavingMs int64      // -1 not
}

type runName struct {
	job  string
	name taskName
	run  int64
}

type spanSeen struct {
	from, to int64
	text     string
}

type platformJudge struct {
	bounds   platformBounds
	jobs     map[string]*seenJob
	workers  map[string]*seenWorker
	setups   []*seenPlatformSetup
	lossMs   int64 // of the closing fault; 0 for none
	backMs   int64
	troubles map[string][]*spanSeen // by host; "worker ID" for those of a worker alone; "" for all
	core     []int64
	emptied  map[string][]*spanSeen
	out      []platformBreach
	lastMs   int64
	starts   []func()           // checks that need the whole history
	running  map[string]amounts // by tenant
}

type seenPlatformSetup struct {
	version, base, sentMs, ackedMs int64 // ackedMs -1 until then
	takenMs                        int64 // a daemon acknowledged it, heard or not; -1 until then
	refused                        bool
	setup                          *platformSetup
}

// touches tells whether a span of trouble meets a stretch of time.
func (s *spanSeen) touches(from, to int64) bool { return s.from <= to && s.to >= from }

// inTouch tells whether a machine was in touch at a moment. It needs the whole
// history only up to that moment.
func (j *platformJudge) inTouch(host string, atMs int64) bool {
	from := atMs - j.bounds.contact
	for _, at := range []string{host, ""} {
		for _, s := range j.troubles[at] {
			if s.touches(from, atMs) {
				return false
			}
			if at == "" && s.touches(from-j.bounds.contact, atMs) { // a loss of most of the core counts twice as long
				return false
			}
		}
	}
	return !slices.ContainsFunc(j.core, func(at int64) bool { return at >= from && at <= atMs })
}

// quiet tells whether no trouble was near a stretch of time, but for those kinds.
func (j *platformJudge) quiet(from, to int64, but ...string) bool {
	for _, list := range j.troubles {
		for _, s := range list {
			if s.touches(from-j.bounds.contact, to) && !slices.Contains(but, s.text) {
				return false
			}
		}
	}
	return true
}

func (j *platformJudge) tried(e *platformEvent) {
	s := j.jobs[e.job]
	refused := e.n == 429 || e.n == 503 || e.n == 404 || e.n == 400 || e.n == 401
	if !refused {
		s.taken = true
	}
	first := e.askedMs == s.sentMs
	if s.accepted && (e.n == 409 || e.n == 400) {
		j.breach("LOST", e.atMs, "%s was accepted, came again and was refused with %d at %s", e.job, e.n, e.host)
	}
	if accepted := e.n >= 200 && e.n < 300; accepted {
		if !s.acked {
			s.acked, s.ackedMs = true, e.atMs
		}
		if first && !j.maybeRoutes(s.queue, e.askedMs, e.atMs, true) && j.inTouch(e.host, e.atMs) {
			j.breach("CONFIG", e.atMs, "%s was accepted at %s of queue %s, which is gone", e.job, e.host, s.queue.name)
		}
	} else if e.n == 404 && j.inTouch(e.host, e.atMs) && !j.maybeRoutes(s.queue, e.askedMs, e.atMs, false) {
		j.breach("CONFIG", e.atMs, "%s got 404 at %s, though queue %s is there", e.job, e.host, s.queue.name)
	}
}

// group gives the tasks for which one good end stands: all of a gang's step.
func (s *seenJob) group(name taskName) []taskName {
	step := s.spec.steps[name.step]
	if !step.gang {
		return []taskName{name}
	}
	out := make([]taskName, step.count)
	for i := range out {
		out[i] = taskName{name.round, name.step, i}
	}
	return out
}

// well tells whether a task had ended well before a point of the history.
func (s *seenJob) well(name taskName, before int) bool {
	for _, n := range s.group(name) {
		for _, r := range s.runs[n] {
			if r.how == "ok" && r.end < before {
				return true
			}
		}
	}
	return false
}

// failures gives the runs of a task, or of its gang, that ended failed.
func (s *seenJob) failures(name taskName) map[int64]*seenRun {
	out := map[int64]*seenRun{}
	for _, n := range s.group(name) {
		for _, r := range s.runs[n] {
			if r.how == "failed" {
				out[r.run] = r
			}
		}
	}
	return out
}

func (s *seenJob) mayFail() bool {
	for name := range s.spec.names() {
		if len(s.runs[name]) > 0 && len(s.failures(name)) >= s.queue.attempts {
			return true
		}
	}
	return false
}
