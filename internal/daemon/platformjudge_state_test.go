package daemon

import (
	"fmt"
	"slices"
)

// taskName identifies a task of a job, as in the API.
type taskName struct{ round, step, index int }

// platformEvent is an entry of the history that the checker reads; which fields are set depends on its kind.
type platformEvent struct {
	atMs, requestedMs int64
	kind              string
	job               string
	task              taskName
	host              string // the worker's machine, or the one that responded
	worker            string // its ID, new after each restart
	run, n, base      int64
	text, saved       string
	queue             *platformQueue
	spec              *platformJob
	facts             *workerFacts
	setup             *platformSetup
	key               string // the credential of a call
	order             int    // position in the history, from 1
}

// workerFacts holds the properties that a worker reports.
type workerFacts struct {
	capacity amounts
	labels   map[string]string
	zone     string
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

// platformViolation is one violation of a rule.
type platformViolation struct {
	rule string
	atMs int64
	what string
}

func (v platformViolation) String() string {
	return fmt.Sprintf("%s at %d ms: %s", v.rule, v.atMs, v.what)
}

// observedRun is a run at a worker, as far as the history shows it.
type observedRun struct {
	name           taskName
	job            string
	run            int64
	startOrder     int // position of the event in the history
	startMs        int64
	endOrder       int // 0 while open
	endMs          int64
	outcome        string
	endNumber      int64 // of its end, counted by its worker
	acknowledgedMs int64 // when the daemon acknowledged its end; -1 if never
	lapsed         bool  // its worker's hold expired before the acknowledgement
	worker         string
	host           string
	tenant         string // owner of the job while the run counts against the limit; "" afterwards
	room           amounts
}

// observedJob is a job, as far as the history shows it.
type observedJob struct {
	id              string
	spec            *platformJob
	queue           *platformQueue
	sentMs, ackedMs int64
	acked           bool
	mayBeAccepted   bool // a submission may have succeeded
	accepted        bool // a daemon sent an acceptance, received or not
	cancelSent      bool
	cancelMs        int64 // when acknowledged; -1 if not
	cancelSentMs    int64
	completeMs      int64 // when first shown as complete; -1 if not
	runs            map[taskName][]*observedRun
	saved           map[string]taskName
	gangSaved       map[[3]int64]string // checkpoint in the orders of a gang's run, by round, step and run
}

// observedWorker is one life of a worker, as far as the history shows it.
type observedWorker struct {
	facts     *workerFacts
	host      string
	down      bool
	used      amounts
	open      map[runName]*observedRun
	ends      []*observedRun // not yet acknowledged, by number
	unlisted  []*observedRun // ended, not yet reported by a heartbeat
	leavingMs int64          // -1 if not leaving
}

type runName struct {
	job  string
	name taskName
	run  int64
}

// timeSpan is the time of a fault or an evacuation.
type timeSpan struct {
	from, to int64
	text     string
}

// platformChecker checks a history, event by event.
type platformChecker struct {
	bounds         platformBounds
	jobs           map[string]*observedJob
	workers        map[string]*observedWorker
	setups         []*observedSetup
	lossMs         int64 // of the loss at the end of a day; 0 for none
	backMs         int64
	faults         map[string][]*timeSpan // by host; "worker ID" for faults of one worker; "" for faults of all
	core           []int64
	evacuations    map[string][]*timeSpan
	violations     []platformViolation
	lastMs         int64
	deferredChecks []func()           // checks that need the whole history
	running        map[string]amounts // by tenant
}

// observedSetup is a change of the configuration, as far as the history shows it.
type observedSetup struct {
	version, base, sentMs, ackedMs int64 // ackedMs is -1 until acknowledged
	acceptedMs                     int64 // when a daemon sent an acknowledgement, received or not; -1 until then
	refused                        bool
	setup                          *platformSetup
}

// overlaps reports whether the span overlaps a period of time.
func (s *timeSpan) overlaps(from, to int64) bool { return s.from <= to && s.to >= from }

// connected reports whether a machine had contact to the cluster at a time, without faults
// shortly before it. It needs the history only up to that time.
func (c *platformChecker) connected(host string, atMs int64) bool {
	from := atMs - c.bounds.contact
	for _, at := range []string{host, ""} {
		for _, s := range c.faults[at] {
			if s.overlaps(from, atMs) {
				return false
			}
			if at == "" && s.overlaps(from-c.bounds.contact, atMs) { // losing the core's majority counts twice as long
				return false
			}
		}
	}
	return !slices.ContainsFunc(c.core, func(at int64) bool { return at >= from && at <= atMs })
}

// faultFree reports whether a period of time had no fault in or shortly before it, except those of some kinds.
func (c *platformChecker) faultFree(from, to int64, except ...string) bool {
	for _, list := range c.faults {
		for _, s := range list {
			if s.overlaps(from-c.bounds.contact, to) && !slices.Contains(except, s.text) {
				return false
			}
		}
	}
	return true
}

// checkSubmission checks the response to a submission.
func (c *platformChecker) checkSubmission(e *platformEvent) {
	s := c.jobs[e.job]
	refused := e.n == 429 || e.n == 503 || e.n == 404 || e.n == 400 || e.n == 401
	if !refused {
		s.mayBeAccepted = true
	}
	first := e.requestedMs == s.sentMs
	if s.accepted && (e.n == 409 || e.n == 400) {
		c.report("LOST", e.atMs, "%s was accepted, then refused with %d at %s when sent again", e.job, e.n, e.host)
	}
	if accepted := e.n >= 200 && e.n < 300; accepted {
		if !s.acked {
			s.acked, s.ackedMs = true, e.atMs
		}
		if first && !c.mayRoute(s.queue, e.requestedMs, e.atMs, true) && c.connected(e.host, e.atMs) {
			c.report("CONFIG", e.atMs, "%s was accepted at %s for queue %s, which was removed", e.job, e.host, s.queue.name)
		}
	} else if e.n == 404 && c.connected(e.host, e.atMs) && !c.mayRoute(s.queue, e.requestedMs, e.atMs, false) {
		c.report("CONFIG", e.atMs, "%s got 404 at %s although queue %s exists", e.job, e.host, s.queue.name)
	}
}

// completionGroup returns the tasks that one successful end completes: the task, or all of a gang's step.
func (s *observedJob) completionGroup(name taskName) []taskName {
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

// succeededBefore reports whether a task had ended successfully before a position in the history.
func (s *observedJob) succeededBefore(name taskName, before int) bool {
	for _, n := range s.completionGroup(name) {
		for _, r := range s.runs[n] {
			if r.outcome == "ok" && r.endOrder < before {
				return true
			}
		}
	}
	return false
}

// failures returns the failed runs of a task, or of its gang, by number of the run.
func (s *observedJob) failures(name taskName) map[int64]*observedRun {
	out := map[int64]*observedRun{}
	for _, n := range s.completionGroup(name) {
		for _, r := range s.runs[n] {
			if r.outcome == "failed" {
				out[r.run] = r
			}
		}
	}
	return out
}

// mayFail reports whether a task has used up its allowed failures.
func (s *observedJob) mayFail() bool {
	for name := range s.spec.taskNames() {
		if len(s.runs[name]) > 0 && len(s.failures(name)) >= s.queue.allowedFailures {
			return true
		}
	}
	return false
}
