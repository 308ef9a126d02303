package daemon

import (
	"fmt"
	"slices"
)

// taskName identifies a task of a job, as in the API.
type taskName struct{ round, step, index int }

// platformEvent is an entry of the history that the checker reads; which fields are set depends on its kind.
type platformEvent struct {
	atMs, askedMs int64
	kind          string
	job           string
	task          taskName
	host          string // the worker's machine, or the one that responded
	worker        string // its ID, new after each restart
	run, n, base  int64
	text, saved   string
	queue         *platformQueue
	spec          *platformJob
	facts         *workerFacts
	setup         *platformSetup
	key           string // the credential of a call
	order         int    // position in the history, from 1
}

// workerFacts holds the properties that a worker reports.
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

// platformBounds holds the time limits of the users' rules, in ms.
type platformBounds struct {
	contact, drain, evacuation, config, cancel, stop, visible, early int64
}

var usualPlatformBounds = platformBounds{contact: 3000, drain: 2000, evacuation: 5000, config: 2000, cancel: 3000, stop: 200, visible: 3000, early: 250}

// platformBreach is one violation of a rule.
type platformBreach struct {
	rule string
	atMs int64
	what string
}

func (b platformBreach) String() string {
	return fmt.Sprintf("%s at %d ms: %s", b.rule, b.atMs, b.what)
}

// seenRun is a run at a worker, as far as the history shows it.
type seenRun struct {
	name    taskName
	job     string
	run     int64
	start   int // position of the event in the history
	startMs int64
	end     int // 0 while open
	endMs   int64
	how     string
	number  int64 // of its end, counted by its worker
	notedMs int64 // when the daemon acknowledged its end; -1 if never
	void    bool  // its worker's hold expired before the acknowledgement
	worker  string
	host    string
	tenant  string // owner of the job while the run counts against the limit; "" afterwards
	room    amounts
}

// seenJob is a job, as far as the history shows it.
type seenJob struct {
	id              string
	spec            *platformJob
	queue           *platformQueue
	sentMs, ackedMs int64
	acked           bool
	taken           bool // a submission may have succeeded
	accepted        bool // a daemon sent an acceptance, received or not
	cancelSent      bool
	cancelMs        int64 // when acknowledged; -1 if not
	cancelSentMs    int64
	completeMs      int64 // when first shown as complete; -1 if not
	runs            map[taskName][]*seenRun
	saved           map[string]taskName
	gangSaved       map[[3]int64]string // checkpoint in the orders of a gang's run, by round, step and run
}

// seenWorker is one life of a worker, as far as the history shows it.
type seenWorker struct {
	facts     *workerFacts
	host      string
	down      bool
	used      amounts
	open      map[runName]*seenRun
	ends      []*seenRun // not yet acknowledged, by number
	unlisted  []*seenRun // ended, not yet reported by a heartbeat
	leavingMs int64      // -1 if not leaving
}

type runName struct {
	job  string
	name taskName
	run  int64
}

// spanSeen is the time of a fault or an evacuation.
type spanSeen struct {
	from, to int64
	text     string
}

// platformJudge checks a history, event by event.
type platformJudge struct {
	bounds   platformBounds
	jobs     map[string]*seenJob
	workers  map[string]*seenWorker
	setups   []*seenPlatformSetup
	lossMs   int64 // of the loss at the end of a day; 0 for none
	backMs   int64
	troubles map[string][]*spanSeen // by host; "worker ID" for faults of one worker; "" for faults of all
	core     []int64
	emptied  map[string][]*spanSeen
	out      []platformBreach
	lastMs   int64
	starts   []func()           // checks that need the whole history
	running  map[string]amounts // by tenant
}

// seenPlatformSetup is a change of the configuration, as far as the history shows it.
type seenPlatformSetup struct {
	version, base, sentMs, ackedMs int64 // ackedMs is -1 until acknowledged
	takenMs                        int64 // when a daemon sent an acknowledgement, received or not; -1 until then
	refused                        bool
	setup                          *platformSetup
}

// touches reports whether the span overlaps a period of time.
func (s *spanSeen) touches(from, to int64) bool { return s.from <= to && s.to >= from }

// inTouch reports whether a machine had contact to the cluster at a time, without faults
// shortly before it. It needs the history only up to that time.
func (j *platformJudge) inTouch(host string, atMs int64) bool {
	from := atMs - j.bounds.contact
	for _, at := range []string{host, ""} {
		for _, s := range j.troubles[at] {
			if s.touches(from, atMs) {
				return false
			}
			if at == "" && s.touches(from-j.bounds.contact, atMs) { // losing the core's majority counts twice as long
				return false
			}
		}
	}
	return !slices.ContainsFunc(j.core, func(at int64) bool { return at >= from && at <= atMs })
}

// quiet reports whether a period of time had no fault in or shortly before it, except those of some kinds.
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

// tried checks the response to a submission.
func (j *platformJudge) tried(e *platformEvent) {
	s := j.jobs[e.job]
	refused := e.n == 429 || e.n == 503 || e.n == 404 || e.n == 400 || e.n == 401
	if !refused {
		s.taken = true
	}
	first := e.askedMs == s.sentMs
	if s.accepted && (e.n == 409 || e.n == 400) {
		j.breach("LOST", e.atMs, "%s was accepted, then refused with %d at %s when sent again", e.job, e.n, e.host)
	}
	if accepted := e.n >= 200 && e.n < 300; accepted {
		if !s.acked {
			s.acked, s.ackedMs = true, e.atMs
		}
		if first && !j.maybeRoutes(s.queue, e.askedMs, e.atMs, true) && j.inTouch(e.host, e.atMs) {
			j.breach("CONFIG", e.atMs, "%s was accepted at %s for queue %s, which was removed", e.job, e.host, s.queue.name)
		}
	} else if e.n == 404 && j.inTouch(e.host, e.atMs) && !j.maybeRoutes(s.queue, e.askedMs, e.atMs, false) {
		j.breach("CONFIG", e.atMs, "%s got 404 at %s although queue %s exists", e.job, e.host, s.queue.name)
	}
}

// group returns the tasks that one successful end completes: the task, or all of a gang's step.
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

// well reports whether a task had ended successfully before a position in the history.
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

// failures returns the failed runs of a task, or of its gang, by number of the run.
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

// mayFail reports whether a task has used up its allowed failures.
func (s *seenJob) mayFail() bool {
	for name := range s.spec.names() {
		if len(s.runs[name]) > 0 && len(s.failures(name)) >= s.queue.attempts {
			return true
		}
	}
	return false
}
