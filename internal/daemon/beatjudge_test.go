package daemon

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// The judge of the users' rules on jobs. It knows nothing of the daemons' own
// state: only what callers and operators sent and were answered, what workers
// were told and did, and which machines were in trouble.

// Kinds of beatEvents.
const (
	bJobSent      = "job_sent"      // first send; spec, queue
	bJobTried     = "job_tried"     // one try's answer; n is the status, 0 for silence
	bJobShown     = "job_shown"     // text is the state, "unknown" for a 410
	bCancelSent   = "cancel_sent"   //
	bCancelAcked  = "cancel_acked"  //
	bWorkerUp     = "worker_up"     // facts
	bWorkerDown   = "worker_down"   // it and all that ran there
	bOrdered      = "ordered"       // a worker was told to start; text is the payload
	bStarted      = "started"       // and did
	bEnded        = "ended"         // n is the end's number there, text how
	bListed       = "listed"        // a beat told of the ends up to n
	bSeen         = "seen"          // an answer said that the ends up to n were taken note of
	bLapsed       = "lapsed"        // a worker's hold ran out
	bSaved        = "saved"         // a run made the text saved
	bLeaving      = "leaving"       // a beat that said so was acknowledged
	bEmptied      = "emptied"       // acknowledged; text is the site
	bOpened       = "opened"        // sent, from now on perhaps in force
	bSetupSent    = "setup_sent"    // n the version, base what it builds on
	bSetupAcked   = "setup_acked"   //
	bSetupRefused = "setup_refused" // finally
	bSetupTaken   = "setup_taken"   // a daemon's answer said so as it left; host
	bSetupShown   = "setup_shown"   // n, -1 for no answer; text is its note
	bJobTaken     = "job_taken"     // the same of a job
	bLoss         = "loss"          // the day's closing fault
	bBack         = "back"          // the machines that it took are back
	bTrouble      = "trouble"       // of host, or of worker, or of all; text names it
	bCalm         = "calm"          // the trouble of that text and place is over
	bCore         = "core"          // a core machine was killed, started, frozen, thawed, cut or joined
	bFinished     = "finished"      // the day's last look at a job; text is its state, "" for no answer
	bStuck        = "stuck"         // long after traffic a job has nothing running though it could
)

// taskName names a task of a job, as the wire does.
type taskName struct{ round, step, index int }

type beatEvent struct {
	atMs, askedMs int64
	kind          string
	job           string
	task          taskName
	host          string // the machine that a worker stands on, or that answered
	worker        string // its id, new in each life
	run, n, base  int64
	text, saved   string
	queue         *beatQueue
	spec          *beatJob
	facts         *workerFacts
	setup         *beatSetup
	order         int // in the history
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

// beatBounds are the times of the users' rules, in ms.
type beatBounds struct {
	contact, drain, evacuation, config, cancel, stop, visible, early int64
}

var usualBeatBounds = beatBounds{contact: 3000, drain: 2000, evacuation: 5000, config: 2000, cancel: 3000, stop: 200, visible: 3000, early: 250}

type beatBreach struct {
	rule string
	atMs int64
	what string
}

func (b beatBreach) String() string { return fmt.Sprintf("%s at %d ms: %s", b.rule, b.atMs, b.what) }

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
}

type seenJob struct {
	id              string
	spec            *beatJob
	queue           *beatQueue
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

type beatJudge struct {
	bounds   beatBounds
	jobs     map[string]*seenJob
	workers  map[string]*seenWorker
	setups   []*seenBeatSetup
	lossMs   int64 // of the closing fault; 0 for none
	backMs   int64
	troubles map[string][]*spanSeen // by host; "worker ID" for those of a worker alone; "" for all
	core     []int64
	emptied  map[string][]*spanSeen
	out      []beatBreach
	lastMs   int64
	starts   []func() // checks that need the whole history
}

type seenBeatSetup struct {
	version, base, sentMs, ackedMs int64 // ackedMs -1 until then
	takenMs                        int64 // a daemon acknowledged it, heard or not; -1 until then
	refused                        bool
	setup                          *beatSetup
}

// judgeBeats gives every breach in a history.
func judgeBeats(events []beatEvent, bounds beatBounds) []beatBreach {
	j := &beatJudge{bounds: bounds, jobs: map[string]*seenJob{}, workers: map[string]*seenWorker{}, troubles: map[string][]*spanSeen{}, emptied: map[string][]*spanSeen{}}
	for i := range events {
		e := events[i]
		e.order = i + 1
		j.lastMs = max(j.lastMs, e.atMs)
		beatHandlers[e.kind](j, &e)
	}
	for _, check := range j.starts {
		check()
	}
	j.chain()
	j.recovered()
	for _, id := range sorted(j.jobs) {
		j.whole(j.jobs[id])
	}
	slices.SortStableFunc(j.out, func(a, b beatBreach) int { return int(a.atMs - b.atMs) })
	return j.out
}

func (j *beatJudge) breach(rule string, atMs int64, format string, args ...any) {
	j.out = append(j.out, beatBreach{rule, atMs, fmt.Sprintf(format, args...)})
}

var beatHandlers = map[string]func(*beatJudge, *beatEvent){
	bJobSent: func(j *beatJudge, e *beatEvent) {
		j.jobs[e.job] = &seenJob{id: e.job, spec: e.spec, queue: e.queue, sentMs: e.atMs, cancelMs: -1, completeMs: -1, runs: map[taskName][]*seenRun{},
			saved: map[string]taskName{}, gangSaved: map[[3]int64]string{}}
	},
	bJobTried: (*beatJudge).tried,
	bJobShown: (*beatJudge).shown,
	bCancelSent: func(j *beatJudge, e *beatEvent) {
		if s := j.jobs[e.job]; s != nil && !s.cancelSent {
			s.cancelSent, s.cancelSentMs = true, e.atMs
		}
	},
	bCancelAcked: func(j *beatJudge, e *beatEvent) {
		if s := j.jobs[e.job]; s != nil && s.cancelMs < 0 {
			s.cancelMs = e.atMs
		}
	},
	bWorkerUp: func(j *beatJudge, e *beatEvent) {
		j.workers[e.worker] = &seenWorker{facts: e.facts, host: e.host, open: map[runName]*seenRun{}, leavingMs: -1}
	},
	bWorkerDown: func(j *beatJudge, e *beatEvent) {
		w := j.workers[e.worker]
		w.down = true
		for _, r := range w.open {
			r.end, r.endMs, r.how = e.order, e.atMs, "crash"
		}
		w.open, w.ends, w.unlisted = map[runName]*seenRun{}, nil, nil
	},
	bOrdered: (*beatJudge).ordered,
	bStarted: (*beatJudge).started,
	bEnded:   (*beatJudge).ended,
	bListed: func(j *beatJudge, e *beatEvent) {
		w := j.workers[e.worker]
		w.unlisted = slices.DeleteFunc(w.unlisted, func(r *seenRun) bool {
			if r.number > e.n {
				return false
			}
			if s := j.jobs[r.job]; s != nil {
				w.used = w.used.plus(s.spec.steps[r.name.step].room, -1)
			}
			return true
		})
	},
	bSeen: func(j *beatJudge, e *beatEvent) {
		w := j.workers[e.worker]
		w.ends = slices.DeleteFunc(w.ends, func(r *seenRun) bool {
			if r.number <= e.n && !r.void {
				r.notedMs = e.atMs
			}
			return r.number <= e.n
		})
	},
	bLapsed: func(j *beatJudge, e *beatEvent) {
		for _, r := range j.workers[e.worker].ends {
			r.void = true
		}
	},
	bSaved: func(j *beatJudge, e *beatEvent) {
		if s := j.jobs[e.job]; s != nil {
			s.saved[e.saved] = e.task
		}
	},
	bLeaving: func(j *beatJudge, e *beatEvent) {
		if w := j.workers[e.worker]; w.leavingMs < 0 && j.inTouch(e.host, e.atMs) {
			w.leavingMs = e.atMs
		}
	},
	bEmptied: func(j *beatJudge, e *beatEvent) {
		j.emptied[e.text] = append(j.emptied[e.text], &spanSeen{from: e.atMs, to: 1 << 60})
	},
	bOpened: func(j *beatJudge, e *beatEvent) {
		for _, s := range j.emptied[e.text] {
			s.to = min(s.to, e.atMs)
		}
	},
	bSetupSent: func(j *beatJudge, e *beatEvent) {
		j.setups = append(j.setups, &seenBeatSetup{version: e.n, base: e.base, sentMs: e.atMs, ackedMs: -1, takenMs: -1, setup: e.setup})
	},
	bSetupAcked: func(j *beatJudge, e *beatEvent) {
		for _, s := range j.setups {
			if s.setup == e.setup {
				if s.ackedMs < 0 {
					s.ackedMs = e.atMs
				}
			} else if s.ackedMs >= 0 && (s.base == e.base || s.version == e.n) {
				j.breach("CONFIG", e.atMs, "versions %d and %d, both on top of %d, were both acknowledged", s.version, e.n, e.base)
			}
		}
		if e.setup.invalid {
			j.breach("CONFIG", e.atMs, "version %d is invalid and was acknowledged", e.n)
		}
	},
	bSetupRefused: func(j *beatJudge, e *beatEvent) {
		for _, s := range j.setups {
			if s.setup != e.setup {
				continue
			}
			s.refused = true
			if taken := max(s.ackedMs, s.takenMs); taken >= 0 {
				j.breach("CONFIG", e.atMs, "version %d on top of %d was taken at %d ms, came again and was refused", s.version, s.base, taken)
			}
		}
	},
	bSetupTaken: (*beatJudge).setupTaken,
	bJobTaken: func(j *beatJudge, e *beatEvent) {
		if s := j.jobs[e.job]; s != nil {
			s.accepted = true
		}
	},
	bLoss: func(j *beatJudge, e *beatEvent) { j.lossMs = e.atMs },
	bBack: func(j *beatJudge, e *beatEvent) { j.backMs = e.atMs },
	bSetupShown: func(j *beatJudge, e *beatEvent) {
		newest := int64(0)
		for _, s := range j.setups {
			if s.ackedMs >= 0 && s.ackedMs < e.askedMs {
				newest = max(newest, s.version)
			}
			if s.version == e.n && s.refused && !slices.ContainsFunc(j.setups, func(o *seenBeatSetup) bool { return o.version == e.n && !o.refused }) {
				j.breach("CONFIG", e.atMs, "version %d is shown, and was refused", e.n)
			}
		}
		switch {
		case e.n < 0:
			j.breach("CONFIG", e.atMs, "no setup is read back, %d was acknowledged", newest)
		case e.n < newest:
			j.breach("CONFIG", e.atMs, "version %d is shown, %d was acknowledged", e.n, newest)
		case e.text != "" && !j.maybeShown(e):
			j.breach("CONFIG", e.atMs, "version %d is shown as %q, which differs from what was taken under its number", e.n, e.text)
		}
	},
	bTrouble: func(j *beatJudge, e *beatEvent) {
		if e.text == "clock" && j.bounds.early < 5000 { // on days on which clocks jump, 5 s more
			j.bounds.early += 5000
		}
		at := e.host
		if e.worker != "" {
			at = "worker " + e.worker
		}
		j.troubles[at] = append(j.troubles[at], &spanSeen{from: e.atMs, to: 1 << 60, text: e.text})
	},
	bCalm: func(j *beatJudge, e *beatEvent) {
		at := e.host
		if e.worker != "" {
			at = "worker " + e.worker
		}
		for _, s := range j.troubles[at] {
			if s.text == e.text && s.to == 1<<60 {
				s.to = e.atMs
			}
		}
	},
	bCore: func(j *beatJudge, e *beatEvent) { j.core = append(j.core, e.atMs) },
	bFinished: func(j *beatJudge, e *beatEvent) {
		s := j.jobs[e.job]
		if s == nil || !s.acked {
			return
		}
		switch e.text {
		case "complete", "failed", "cancelled":
		case "":
			j.breach("LOST", e.atMs, "%s is not answered for long after the end", e.job)
		default:
			j.breach("LOST", e.atMs, "%s is still %s long after the end", e.job, e.text)
		}
	},
	bStuck: func(j *beatJudge, e *beatEvent) {
		j.breach("LOST", e.atMs, "%s stands still: %s", e.job, e.text)
	},
}

// touches tells whether a span of trouble meets a stretch of time.
func (s *spanSeen) touches(from, to int64) bool { return s.from <= to && s.to >= from }

// inTouch tells whether a machine was in touch at a moment. It needs the whole
// history only up to that moment.
func (j *beatJudge) inTouch(host string, atMs int64) bool {
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
func (j *beatJudge) quiet(from, to int64, but ...string) bool {
	for _, list := range j.troubles {
		for _, s := range list {
			if s.touches(from-j.bounds.contact, to) && !slices.Contains(but, s.text) {
				return false
			}
		}
	}
	return true
}

func (j *beatJudge) tried(e *beatEvent) {
	s := j.jobs[e.job]
	refused := e.n == 429 || e.n == 503 || e.n == 404 || e.n == 400
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

// setupTaken takes a daemon's word that it took a change, heard or not.
func (j *beatJudge) setupTaken(e *beatEvent) {
	for _, s := range j.setups {
		if s.setup == e.setup {
			if s.takenMs < 0 {
				s.takenMs = e.atMs
			}
			if s.refused {
				j.breach("CONFIG", e.atMs, "version %d on top of %d was refused, and taken later", s.version, s.base)
			}
		} else if s.takenMs >= 0 && (s.base == e.base || s.version == e.n) {
			j.breach("CONFIG", e.atMs, "versions %d and %d, on top of %d and %d, were both taken", s.version, e.n, s.base, e.base)
		}
	}
	if e.setup.invalid {
		j.breach("CONFIG", e.atMs, "version %d is invalid and was taken", e.n)
	}
}

// maybeShown tells whether the setup that is shown may be the one under its
// number: what was taken, or else anything sent and not refused.
func (j *beatJudge) maybeShown(e *beatEvent) bool {
	var taken, sent []string
	for _, s := range j.setups {
		switch {
		case s.version != e.n:
		case s.takenMs >= 0 || s.ackedMs >= 0:
			taken = append(taken, s.setup.note)
		case !s.refused:
			sent = append(sent, s.setup.note)
		}
	}
	if len(taken) > 0 {
		sent = taken
	}
	return slices.Contains(sent, e.text)
}

// chain finds the changes that were refused though a later one was taken on top
// of them: some change of that number was in force.
func (j *beatJudge) chain() {
	for _, later := range j.setups {
		if later.takenMs < 0 && later.ackedMs < 0 {
			continue
		}
		known, refused := false, (*seenBeatSetup)(nil)
		for _, s := range j.setups {
			if s.version != later.base {
				continue
			}
			if s.refused && s.takenMs < 0 && s.ackedMs < 0 { // the others are told of already
				refused = s
			} else {
				known = true
			}
		}
		if !known && refused != nil {
			j.breach("CONFIG", later.sentMs, "version %d was refused, and %d was taken on top of it", later.base, later.version)
		}
	}
}

// The users' bound on the return of work, and the share of the usual that it must reach.
const (
	recoveryMs    = 12_000
	recoveryShare = 4
)

// recovered finds whether too little works again after the closing fault: calls
// that are accepted, and tasks that end well.
func (j *beatJudge) recovered() {
	if j.lossMs == 0 || j.backMs == 0 {
		return
	}
	from := j.backMs + recoveryMs
	var sent, accepted [2]int
	var firstMs, lastMs int64 = 1 << 60, 0
	for _, s := range j.jobs {
		firstMs, lastMs = min(firstMs, s.sentMs), max(lastMs, s.sentMs)
		for i, in := range []bool{s.sentMs < j.lossMs, s.sentMs > from} {
			if in {
				sent[i]++
				if s.acked {
					accepted[i]++
				}
			}
		}
	}
	if recoveryShare*accepted[0] >= sent[0] && recoveryShare*accepted[1] < sent[1] {
		j.breach("RECOVER", from, "%d of %d calls are accepted from %d ms after the return on", accepted[1], sent[1], int64(recoveryMs))
	}
	var ended [2]float64
	for _, s := range j.jobs {
		for _, runs := range s.runs {
			for _, r := range runs {
				if r.how != "ok" {
					continue
				}
				if r.endMs < j.lossMs {
					ended[0]++
				} else if r.endMs > from && r.endMs <= lastMs {
					ended[1]++
				}
			}
		}
	}
	before, after := ended[0]/float64(max(1, j.lossMs-firstMs)), ended[1]/float64(max(1, lastMs-from))
	if lastMs > from && recoveryShare*after < before {
		j.breach("RECOVER", from, "%.1f tasks a second end well from %d ms after the return on, %.1f before", 1000*after, int64(recoveryMs), 1000*before)
	}
}

// maybeRoutes tells whether some setup that may be in force between two
// moments has a queue's address, or with has false lacks it.
func (j *beatJudge) maybeRoutes(q *beatQueue, askedMs, atMs int64, has bool) bool {
	floor := int64(0)
	for _, s := range j.setups {
		if s.ackedMs >= 0 && s.ackedMs+j.bounds.config < askedMs {
			floor = max(floor, s.version)
		}
	}
	if floor == 0 {
		return true // none is surely in force
	}
	for _, s := range j.setups {
		if s.version >= floor && !s.refused && s.sentMs <= atMs && s.setup.routes(q) == has {
			return true
		}
	}
	return false
}

func (j *beatJudge) shown(e *beatEvent) {
	s := j.jobs[e.job]
	switch e.text {
	case "unknown":
		if s.acked && e.askedMs > s.ackedMs+j.bounds.visible && j.inTouch(e.host, e.atMs) {
			j.breach("LOST", e.atMs, "%s is unknown at %s, accepted at %d ms", e.job, e.host, s.ackedMs)
		}
	case "complete":
		if s.completeMs < 0 {
			s.completeMs = e.atMs
		}
		for name := range s.spec.names() {
			if s.spec.steps[name.step].lasting || !s.well(name, e.order) {
				j.breach("MIXED", e.atMs, "%s is shown as complete, task %v has not ended so", e.job, name)
				return
			}
		}
	case "failed":
		if !s.mayFail() {
			j.breach("LOST", e.atMs, "%s is shown as failed without a cause", e.job)
		}
	case "cancelled":
		if !s.cancelSent {
			j.breach("LOST", e.atMs, "%s is shown as cancelled without a cause", e.job)
		}
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

func (j *beatJudge) ordered(e *beatEvent) {
	s := j.jobs[e.job]
	what := fmt.Sprintf("%s %v run %d at %s", e.job, e.task, e.run, e.worker)
	if s == nil || !s.spec.has(e.task) {
		j.breach("UNASKED", e.atMs, "%s was never sent", what)
		return
	}
	if e.text != s.spec.payload {
		j.breach("UNASKED", e.atMs, "%s is told another payload", what)
	}
	gang := s.spec.steps[e.task.step].gang
	if e.saved != "" {
		of, ok := s.saved[e.saved]
		if !ok || of != e.task && !(gang && of.round == e.task.round && of.step == e.task.step) {
			j.breach("UNASKED", e.atMs, "%s is told a saved text that is not its own", what)
		}
	}
	if gang {
		key := [3]int64{int64(e.task.round), int64(e.task.step), e.run}
		if other, ok := s.gangSaved[key]; ok && other != e.saved {
			j.breach("UNASKED", e.atMs, "%s is told another saved text than the others of its gang", what)
		}
		s.gangSaved[key] = e.saved
	}
}

func (j *beatJudge) started(e *beatEvent) {
	s, w := j.jobs[e.job], j.workers[e.worker]
	if s == nil || !s.spec.has(e.task) {
		return // told already
	}
	step := s.spec.steps[e.task.step]
	what := fmt.Sprintf("%s %v run %d at %s on %s", e.job, e.task, e.run, e.worker, e.host)
	r := &seenRun{name: e.task, job: e.job, run: e.run, start: e.order, startMs: e.atMs, notedMs: -1, worker: e.worker, host: e.host}
	touch := j.inTouch(e.host, e.atMs)
	if !step.copies {
		for _, o := range s.runs[e.task] {
			if o.end == 0 {
				j.breach("TWICE", e.atMs, "%s, run %d is at %s since %d ms", what, o.run, o.worker, o.startMs)
			}
		}
	}
	s.runs[e.task] = append(s.runs[e.task], r)
	w.open[runName{e.job, e.task, e.run}] = r

	if w.used = w.used.plus(step.room, 1); !w.facts.guards && !w.used.within(w.facts.capacity) {
		j.breach("LIMIT", e.atMs, "%s makes %v of %v", what, w.used, w.facts.capacity)
	}
	for _, k := range sorted(step.labels) {
		if w.facts.labels[k] != step.labels[k] {
			j.breach("ROUTE", e.atMs, "%s needs %s=%s", what, k, step.labels[k])
		}
	}
	if step.perWorker > 0 {
		there := 0
		for k := range w.open {
			if k.job == e.job && k.name.round == e.task.round && k.name.step == e.task.step {
				there++
			}
		}
		if there > step.perWorker {
			j.breach("ROUTE", e.atMs, "%s makes %d of its step there, %d may be", what, there, step.perWorker)
		}
	}
	if len(j.setups) > 0 && !slices.ContainsFunc(j.setups, func(o *seenBeatSetup) bool { return o.setup.sends(s.queue.name, w.facts) }) {
		j.breach("ROUTE", e.atMs, "%s: no setup sends queue %s there", what, s.queue.name)
	}
	for _, a := range step.after {
		for i := range s.spec.steps[a].count {
			if !s.well(taskName{e.task.round, a, i}, e.order) {
				j.breach("ORDER", e.atMs, "%s before task %d of step %d ended well", what, i, a)
				break
			}
		}
	}
	if due := s.spec.dueMs(e.task.round); e.atMs < due-j.bounds.early {
		j.breach("ORDER", e.atMs, "%s is due at %d ms", what, due)
	}
	if s.cancelMs >= 0 && e.atMs > s.cancelMs+j.bounds.cancel && touch {
		j.breach("UNASKED", e.atMs, "%s, cancelled at %d ms", what, s.cancelMs)
	}
	if w.leavingMs >= 0 && e.atMs > w.leavingMs+j.bounds.drain && touch {
		j.breach("DRAIN", e.atMs, "%s, which is leaving since %d ms", what, w.leavingMs)
	}
	for _, m := range j.emptied[w.facts.site] {
		if touch && e.atMs > m.from+j.bounds.evacuation && e.atMs < m.to {
			j.breach("EVAC", e.atMs, "%s, site %s is emptied since %d ms", what, w.facts.site, m.from)
		}
	}
	completeMs := s.completeMs
	if completeMs >= 0 && e.atMs > completeMs+1000 && touch {
		j.breach("TWICE", e.atMs, "%s, shown as complete at %d ms", what, completeMs)
	}
	// Whether an end is taken note of may be known only later.
	j.starts = append(j.starts, func() {
		for _, n := range s.group(e.task) {
			for _, o := range s.runs[n] {
				if o.how != "ok" || o.end > e.order || o.notedMs < 0 {
					continue
				}
				if !step.copies || touch && e.atMs > o.notedMs+1000 {
					j.breach("TWICE", e.atMs, "%s, run %d of %v ended well at %s at %d ms, noted at %d ms", what, o.run, o.name, o.worker, o.endMs, o.notedMs)
				}
			}
		}
		if step.lasting {
			return
		}
		noted, lastMs := 0, int64(0)
		for _, o := range s.failures(e.task) {
			if o.end < e.order && o.notedMs >= 0 {
				noted++
				lastMs = max(lastMs, o.notedMs)
			}
		}
		if noted >= s.queue.attempts && (!step.copies || touch && e.atMs > lastMs+1000) {
			j.breach("BUDGET", e.atMs, "%s after %d failures", what, noted)
		}
		if !s.taken {
			j.breach("REFUSED", e.atMs, "%s, and every try was turned away", what)
		}
	})
}

func (j *beatJudge) ended(e *beatEvent) {
	s, w := j.jobs[e.job], j.workers[e.worker]
	key := runName{e.job, e.task, e.run}
	r := w.open[key]
	if r == nil { // turned away
		return
	}
	delete(w.open, key)
	r.end, r.endMs, r.how, r.number = e.order, e.atMs, e.text, e.n
	w.ends = append(w.ends, r)
	w.unlisted = append(w.unlisted, r)
	if e.text == "alone" && (s.cancelMs < 0 && !s.cancelSent) && j.inTouch(e.host, e.atMs) && j.inTouch(e.host, r.startMs) {
		j.starts = append(j.starts, func() {
			if j.quiet(r.startMs, e.atMs, "config") {
				j.breach("GANG", e.atMs, "%s %v run %d waited at %s since %d ms", e.job, e.task, e.run, e.worker, r.startMs)
			}
		})
	}
}

// whole is judged of a job once all is known.
func (j *beatJudge) whole(s *seenJob) {
	if s.cancelMs < 0 {
		return
	}
	bound := s.cancelMs + j.bounds.cancel + j.bounds.stop
	for _, name := range sortedNames(s.runs) {
		for _, r := range s.runs[name] {
			endMs := r.endMs
			if r.end == 0 {
				endMs = j.lastMs
			}
			if r.startMs <= bound && endMs > bound && j.quiet(s.cancelMs, bound, "config", "leaving", "emptied") {
				j.breach("UNASKED", bound, "%s %v run %d still runs at %s, cancelled at %d ms", s.id, name, r.run, r.worker, s.cancelMs)
			}
		}
	}
}

func sortedNames[V any](m map[taskName]V) []taskName {
	out := make([]taskName, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b taskName) int {
		if a.round != b.round {
			return a.round - b.round
		}
		if a.step != b.step {
			return a.step - b.step
		}
		return a.index - b.index
	})
	return out
}

// lawfulBeats is a short history that breaks nothing: two tasks, then a gang
// that goes on from a saved text, on two workers.
func lawfulBeats() []beatEvent {
	q := &beatQueue{name: "q", host: "h", prefix: "/q/", attempts: 2, service: "s"}
	job := &beatJob{id: "j", queue: q, payload: "spec", steps: []beatStep{{count: 2, room: amounts{2, 2}, perWorker: 1, labels: map[string]string{"kind": "a"}},
		{count: 2, room: amounts{2, 1, 1}, after: []int{0}, gang: true, saves: true}}}
	facts := &workerFacts{capacity: amounts{4, 4, 1}, labels: map[string]string{"service": "s", "kind": "a"}, site: "east"}
	other := *facts
	other.site = "mid"
	setup := &beatSetup{queues: []beatQueue{*q}}
	var h []beatEvent
	add := func(at int64, e beatEvent) { e.atMs = at; h = append(h, e) }
	run := func(at int64, kind string, worker string, step, index int, run int64) beatEvent {
		return beatEvent{atMs: at, kind: kind, job: "j", task: taskName{0, step, index}, run: run, worker: worker, host: "on-" + worker, text: "spec"}
	}
	add(0, beatEvent{kind: bWorkerUp, worker: "w1", host: "on-w1", facts: facts})
	add(0, beatEvent{kind: bWorkerUp, worker: "w2", host: "on-w2", facts: &other})
	add(100, beatEvent{kind: bSetupSent, n: 1, base: 0, setup: setup})
	add(200, beatEvent{kind: bSetupAcked, n: 1, base: 0, setup: setup})
	add(10_000, beatEvent{kind: bJobSent, job: "j", spec: job, queue: q})
	add(10_010, beatEvent{kind: bJobTried, job: "j", host: "e", n: 201, askedMs: 10_000})
	begin := func(at int64, worker string, step, index int, n int64, saved string) {
		e := run(at, bOrdered, worker, step, index, n)
		e.saved = saved
		h = append(h, e, run(at, bStarted, worker, step, index, n))
	}
	finish := func(at int64, worker string, step, index int, run int64, n int64, how string) {
		add(at, beatEvent{kind: bEnded, job: "j", task: taskName{0, step, index}, run: run, worker: worker, host: "on-" + worker, text: how, n: n})
	}
	begin(11_000, "w1", 0, 0, 1, "")
	begin(11_000, "w2", 0, 1, 1, "")
	finish(11_500, "w1", 0, 0, 1, 1, "failed")
	add(11_550, beatEvent{kind: bListed, worker: "w1", n: 1})
	add(11_600, beatEvent{kind: bSeen, worker: "w1", n: 1})
	begin(11_650, "w1", 0, 0, 2, "")
	finish(12_000, "w2", 0, 1, 1, 1, "ok")
	finish(12_100, "w1", 0, 0, 2, 2, "ok")
	add(12_150, beatEvent{kind: bListed, worker: "w1", n: 2})
	add(12_150, beatEvent{kind: bListed, worker: "w2", n: 1})
	add(12_200, beatEvent{kind: bSeen, worker: "w1", n: 2})
	add(12_200, beatEvent{kind: bSeen, worker: "w2", n: 1})
	begin(12_300, "w1", 1, 0, 1, "")
	begin(12_310, "w2", 1, 1, 1, "")
	add(13_300, beatEvent{kind: bSaved, job: "j", task: taskName{0, 1, 0}, run: 1, worker: "w1", saved: "abc"})
	finish(13_400, "w1", 1, 0, 1, 3, "lapsed")
	add(13_400, beatEvent{kind: bLapsed, worker: "w1"})
	finish(13_410, "w2", 1, 1, 1, 2, "broken")
	add(13_450, beatEvent{kind: bListed, worker: "w1", n: 3})
	add(13_450, beatEvent{kind: bListed, worker: "w2", n: 2})
	begin(13_500, "w1", 1, 0, 2, "abc")
	begin(13_500, "w2", 1, 1, 2, "abc")
	finish(14_500, "w1", 1, 0, 2, 4, "ok")
	finish(14_500, "w2", 1, 1, 2, 3, "ok")
	add(14_550, beatEvent{kind: bListed, worker: "w1", n: 4})
	add(14_600, beatEvent{kind: bSeen, worker: "w1", n: 4})
	add(14_700, beatEvent{kind: bJobShown, job: "j", host: "e", text: "complete", askedMs: 14_690})
	return h
}

func TestBeatJudgeLawful(t *testing.T) {
	must.SliceEmpty(t, judgeBeats(lawfulBeats(), usualBeatBounds))
}

// Each breach planted into a lawful history is found, and found under its rule.
func TestBeatJudgePlanted(t *testing.T) {
	run := func(at int64, kind, worker string, step, index int, run int64) beatEvent {
		return beatEvent{atMs: at, kind: kind, job: "j", task: taskName{0, step, index}, run: run, worker: worker, host: "on-" + worker, text: "spec"}
	}
	find := func(h []beatEvent, kind, worker string, step, index int, run int64) *beatEvent {
		for i := range h {
			if e := &h[i]; e.kind == kind && e.worker == worker && e.task == (taskName{0, step, index}) && e.run == run {
				return e
			}
		}
		panic("no such event")
	}
	job := func(h []beatEvent) *beatJob { return h[4].spec }
	// late moves all from the first start on, so that something can precede it by much.
	late := func(h []beatEvent, ms int64) []beatEvent {
		for i := range h {
			if h[i].atMs >= 11_000 {
				h[i].atMs += ms
			}
		}
		return h
	}
	roomy := func(h []beatEvent) []beatEvent {
		for i := range 2 {
			h[i].facts.capacity = amounts{64, 64, 8}
		}
		return h
	}
	drop := func(h []beatEvent, gone func(beatEvent) bool) []beatEvent { return slices.DeleteFunc(h, gone) }
	lone := func(h []beatEvent) []beatEvent { // its other member never comes
		h = drop(h, func(e beatEvent) bool { return e.atMs > 12_300 })
		return append(h, beatEvent{atMs: 15_300, kind: bEnded, job: "j", task: taskName{0, 1, 0}, run: 1, worker: "w1", host: "on-w1", text: "alone", n: 3})
	}
	other := &beatSetup{queues: []beatQueue{{name: "q", host: "h", prefix: "/other/", service: "s"}}, note: "other"}
	plants := map[string]func([]beatEvent) []beatEvent{
		"LIMIT": func(h []beatEvent) []beatEvent { h[0].facts.capacity[0] = 1; return h },
		"LIMIT in memory": func(h []beatEvent) []beatEvent {
			h[0].facts.capacity[1] = 1
			return h
		},
		"LIMIT in accelerators": func(h []beatEvent) []beatEvent { h[0].facts.capacity[2] = 0; return h },
		"LIMIT while an end isn't listed": func(h []beatEvent) []beatEvent {
			h[0].facts.capacity = amounts{3, 3, 1}
			return drop(h, func(e beatEvent) bool { return e.kind == bListed && e.worker == "w1" && e.n == 1 })
		},
		"TWICE at once": func(h []beatEvent) []beatEvent {
			job(h).steps[0].perWorker = 0
			return insertBeat(roomy(h), run(11_200, bStarted, "w2", 0, 0, 3))
		},
		"TWICE after a good end": func(h []beatEvent) []beatEvent {
			return insertBeat(h, run(12_150, bStarted, "w2", 0, 0, 3))
		},
		"TWICE after another member's good end": func(h []beatEvent) []beatEvent {
			return insertBeat(roomy(h), run(14_620, bStarted, "w2", 1, 1, 3))
		},
		"TWICE of copies, over a second later": func(h []beatEvent) []beatEvent {
			job(h).steps[0].copies = true
			return insertBeat(h, run(13_300, bStarted, "w2", 0, 0, 3))
		},
		"TWICE after it was shown as complete": func(h []beatEvent) []beatEvent {
			job(h).steps[0].copies = true
			return append(drop(h, func(e beatEvent) bool { return e.kind == bSeen }), run(15_800, bStarted, "w2", 0, 0, 3))
		},
		"ORDER": func(h []beatEvent) []beatEvent {
			find(h, bEnded, "w2", 0, 1, 1).atMs = 12_400
			slices.SortStableFunc(h, func(a, b beatEvent) int { return int(a.atMs - b.atMs) })
			return h
		},
		"ORDER before its time": func(h []beatEvent) []beatEvent {
			job(h).rounds, job(h).firstMs = 1, 11_300
			return h
		},
		"ROUTE":          func(h []beatEvent) []beatEvent { h[0].facts.labels["service"] = "other"; return h },
		"ROUTE by label": func(h []beatEvent) []beatEvent { h[0].facts.labels["kind"] = "b"; return h },
		"ROUTE by count": func(h []beatEvent) []beatEvent {
			find(h, bStarted, "w2", 0, 1, 1).worker = "w1"
			find(h, bEnded, "w2", 0, 1, 1).worker = "w1"
			return roomy(h)
		},
		"BUDGET": func(h []beatEvent) []beatEvent {
			job(h).queue.attempts = 1
			return h
		},
		"BUDGET of a gang": func(h []beatEvent) []beatEvent {
			job(h).queue.attempts = 1
			find(h, bEnded, "w1", 0, 0, 1).text = "ok"
			h = drop(h, func(e beatEvent) bool { return e.task == taskName{0, 0, 0} && e.run == 2 })
			find(h, bEnded, "w2", 1, 1, 1).text = "failed"
			return insertBeat(h, beatEvent{atMs: 13_460, kind: bSeen, worker: "w2", n: 2})
		},
		"GANG": lone,
		"UNASKED": func(h []beatEvent) []beatEvent {
			e := run(12_000, bOrdered, "w1", 0, 0, 1)
			e.job = "never"
			return insertBeat(h, e)
		},
		"UNASKED task": func(h []beatEvent) []beatEvent { return insertBeat(h, run(12_000, bOrdered, "w1", 0, 2, 1)) },
		"UNASKED payload": func(h []beatEvent) []beatEvent {
			find(h, bOrdered, "w1", 0, 0, 1).text = "other"
			return h
		},
		"UNASKED saved": func(h []beatEvent) []beatEvent {
			find(h, bOrdered, "w1", 0, 0, 2).saved = "abc"
			return h
		},
		"UNASKED saved unlike the gang's": func(h []beatEvent) []beatEvent {
			find(h, bOrdered, "w2", 1, 1, 2).saved = ""
			return h
		},
		"UNASKED after cancel": func(h []beatEvent) []beatEvent {
			return insertBeat(h, beatEvent{atMs: 10_200, kind: bCancelAcked, job: "j"})
		},
		"UNASKED still running": func(h []beatEvent) []beatEvent {
			find(h, bEnded, "w2", 0, 1, 1).atMs = 15_000
			return insertBeat(h, beatEvent{atMs: 11_100, kind: bCancelAcked, job: "j"})
		},
		"REFUSED": func(h []beatEvent) []beatEvent { h[5].n = 503; return h },
		"DRAIN": func(h []beatEvent) []beatEvent {
			return insertBeat(h, beatEvent{atMs: 9500, kind: bLeaving, worker: "w1", host: "on-w1"})
		},
		"EVAC": func(h []beatEvent) []beatEvent {
			return insertBeat(late(h, 3000), beatEvent{atMs: 8500, kind: bEmptied, text: "east"})
		},
		"MIXED": func(h []beatEvent) []beatEvent {
			return insertBeat(h, beatEvent{atMs: 14_400, kind: bJobShown, job: "j", host: "e", text: "complete", askedMs: 14_390})
		},
		"LOST unknown": func(h []beatEvent) []beatEvent {
			return insertBeat(h, beatEvent{atMs: 13_200, kind: bJobShown, job: "j", host: "e", text: "unknown", askedMs: 13_100})
		},
		"LOST failed": func(h []beatEvent) []beatEvent {
			return insertBeat(h, beatEvent{atMs: 13_200, kind: bJobShown, job: "j", host: "e", text: "failed", askedMs: 13_100})
		},
		"LOST cancelled": func(h []beatEvent) []beatEvent {
			return insertBeat(h, beatEvent{atMs: 13_200, kind: bJobShown, job: "j", host: "e", text: "cancelled", askedMs: 13_100})
		},
		"LOST unfinished": func(h []beatEvent) []beatEvent {
			return append(h, beatEvent{atMs: 60_000, kind: bFinished, job: "j", text: "running"})
		},
		"LOST unanswered": func(h []beatEvent) []beatEvent { return append(h, beatEvent{atMs: 60_000, kind: bFinished, job: "j"}) },
		"LOST stands still": func(h []beatEvent) []beatEvent {
			return append(h, beatEvent{atMs: 60_000, kind: bStuck, job: "j", text: "x"})
		},
		"CONFIG both acknowledged": func(h []beatEvent) []beatEvent {
			return append(h, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 0, setup: other}, beatEvent{atMs: 20_001, kind: bSetupAcked, n: 2, base: 0, setup: other})
		},
		"CONFIG invalid": func(h []beatEvent) []beatEvent {
			bad := &beatSetup{invalid: true}
			return append(h, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 1, setup: bad}, beatEvent{atMs: 20_001, kind: bSetupAcked, n: 2, base: 1, setup: bad})
		},
		"CONFIG goes back": func(h []beatEvent) []beatEvent {
			return append(h, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 1, setup: other}, beatEvent{atMs: 20_001, kind: bSetupAcked, n: 2, base: 1, setup: other},
				beatEvent{atMs: 30_000, kind: bSetupShown, n: 1, askedMs: 29_000})
		},
		"CONFIG refused is in force": func(h []beatEvent) []beatEvent {
			return append(h, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 1, setup: other}, beatEvent{atMs: 20_001, kind: bSetupRefused, n: 2, base: 1, setup: other},
				beatEvent{atMs: 30_000, kind: bSetupShown, n: 2, askedMs: 29_000})
		},
		"CONFIG taken and refused": func(h []beatEvent) []beatEvent {
			return append(h, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 1, setup: other}, beatEvent{atMs: 20_001, kind: bSetupTaken, n: 2, base: 1, setup: other},
				beatEvent{atMs: 22_001, kind: bSetupRefused, n: 2, base: 1, setup: other})
		},
		"CONFIG acknowledged, sent again and refused": func(h []beatEvent) []beatEvent {
			return append(h, beatEvent{atMs: 20_000, kind: bSetupRefused, n: 1, base: 0, setup: h[2].setup})
		},
		"CONFIG refused, then taken": func(h []beatEvent) []beatEvent {
			return append(h, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 1, setup: other}, beatEvent{atMs: 20_001, kind: bSetupRefused, n: 2, base: 1, setup: other},
				beatEvent{atMs: 22_001, kind: bSetupTaken, n: 2, base: 1, setup: other})
		},
		"CONFIG both taken": func(h []beatEvent) []beatEvent {
			third := &beatSetup{queues: other.queues, note: "third"}
			return append(h, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 1, setup: other}, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 1, setup: third},
				beatEvent{atMs: 20_001, kind: bSetupTaken, n: 2, base: 1, setup: other}, beatEvent{atMs: 20_002, kind: bSetupTaken, n: 2, base: 1, setup: third})
		},
		"CONFIG invalid is taken": func(h []beatEvent) []beatEvent {
			bad := &beatSetup{invalid: true}
			return append(h, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 1, setup: bad}, beatEvent{atMs: 20_001, kind: bSetupTaken, n: 2, base: 1, setup: bad})
		},
		"CONFIG refused, and built on": func(h []beatEvent) []beatEvent {
			third := &beatSetup{queues: other.queues, note: "third"}
			return append(h, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 1, setup: other}, beatEvent{atMs: 20_001, kind: bSetupRefused, n: 2, base: 1, setup: other},
				beatEvent{atMs: 22_000, kind: bSetupSent, n: 3, base: 2, setup: third}, beatEvent{atMs: 22_001, kind: bSetupAcked, n: 3, base: 2, setup: third})
		},
		"CONFIG is not read back": func(h []beatEvent) []beatEvent {
			return append(h, beatEvent{atMs: 30_000, kind: bSetupShown, n: -1, askedMs: 29_000})
		},
		"CONFIG differs from what was taken": func(h []beatEvent) []beatEvent {
			return append(h, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 1, setup: other}, beatEvent{atMs: 20_001, kind: bSetupAcked, n: 2, base: 1, setup: other},
				beatEvent{atMs: 30_000, kind: bSetupShown, n: 2, text: "another", askedMs: 29_000})
		},
		"LOST came again and was refused": func(h []beatEvent) []beatEvent {
			return append(h, beatEvent{atMs: 20_000, kind: bJobTaken, job: "j", n: 201}, beatEvent{atMs: 20_010, kind: bJobTried, job: "j", host: "e", n: 409, askedMs: 20_005})
		},
		"RECOVER calls": func(h []beatEvent) []beatEvent {
			h = append(h, beatEvent{atMs: 20_000, kind: bLoss}, beatEvent{atMs: 21_000, kind: bBack})
			return append(h, beatEvent{atMs: 33_500, kind: bJobSent, job: "k", spec: h[4].spec, queue: h[4].queue})
		},
		"RECOVER tasks": func(h []beatEvent) []beatEvent {
			h = append(h, beatEvent{atMs: 20_000, kind: bLoss}, beatEvent{atMs: 21_000, kind: bBack})
			return append(h, beatEvent{atMs: 33_500, kind: bJobSent, job: "k", spec: h[4].spec, queue: h[4].queue},
				beatEvent{atMs: 33_510, kind: bJobTried, job: "k", host: "e", n: 201, askedMs: 33_500})
		},
		"CONFIG no such queue": func(h []beatEvent) []beatEvent {
			return append(h, beatEvent{atMs: 20_000, kind: bJobTried, job: "j", host: "e", n: 404, askedMs: 19_990})
		},
		"CONFIG a dropped queue": func(h []beatEvent) []beatEvent {
			h = append(h, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 1, setup: other}, beatEvent{atMs: 20_001, kind: bSetupAcked, n: 2, base: 1, setup: other})
			return append(h, beatEvent{atMs: 23_000, kind: bJobSent, job: "k", spec: h[4].spec, queue: h[4].queue}, beatEvent{atMs: 23_010, kind: bJobTried, job: "k", host: "e", n: 201, askedMs: 23_000})
		},
	}
	for name, plant := range plants {
		t.Run(name, func(t *testing.T) {
			rule, _, _ := strings.Cut(name, " ")
			found := judgeBeats(plant(lawfulBeats()), usualBeatBounds)
			must.SliceNotEmpty(t, found)
			for _, b := range found {
				must.Eq(t, rule, b.rule, must.Sprint(b))
			}
		})
	}
	// What the rules leave out is no breach.
	pardons := map[string]func([]beatEvent) []beatEvent{
		"copies at once": func(h []beatEvent) []beatEvent {
			job(h).steps[0].copies, job(h).steps[0].perWorker = true, 0
			h[1].facts.capacity = amounts{64, 64, 8}
			return insertBeat(h, run(11_200, bStarted, "w2", 0, 0, 3))
		},
		"a good end that a lapse hid": func(h []beatEvent) []beatEvent {
			h[1].facts.capacity, job(h).steps[0].perWorker = amounts{64, 64, 8}, 0
			return insertBeat(insertBeat(h, beatEvent{atMs: 12_120, kind: bLapsed, worker: "w1"}), run(12_180, bStarted, "w2", 0, 0, 3))
		},
		"a start at a worker that is leaving, by a machine out of touch": func(h []beatEvent) []beatEvent {
			return insertBeat(insertBeat(insertBeat(h, beatEvent{atMs: 5000, kind: bLeaving, worker: "w1", host: "on-w1"}), beatEvent{atMs: 9500, kind: bTrouble, host: "on-w1", text: "cut"}),
				beatEvent{atMs: 16_000, kind: bCalm, host: "on-w1", text: "cut"})
		},
		"alone near trouble": func(h []beatEvent) []beatEvent {
			return insertBeat(lone(h), beatEvent{atMs: 12_900, kind: bTrouble, worker: "w2", text: "crash"})
		},
		"alone once cancelled": func(h []beatEvent) []beatEvent {
			return insertBeat(lone(h), beatEvent{atMs: 12_900, kind: bCancelSent, job: "j"})
		},
		"a lasting task after many failures": func(h []beatEvent) []beatEvent {
			job(h).queue.attempts, job(h).steps[0].lasting = 1, true
			return drop(h, func(e beatEvent) bool { return e.kind == bJobShown })
		},
		"unknown while the core is unsettled": func(h []beatEvent) []beatEvent {
			return insertBeat(insertBeat(h, beatEvent{atMs: 13_200, kind: bJobShown, job: "j", host: "e", text: "unknown", askedMs: 13_100}), beatEvent{atMs: 11_300, kind: bCore, host: "d00"})
		},
		"a change whose answer was lost, acknowledged when it came again": func(h []beatEvent) []beatEvent {
			return append(h, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 1, setup: other}, beatEvent{atMs: 20_001, kind: bSetupTaken, n: 2, base: 1, setup: other},
				beatEvent{atMs: 22_000, kind: bSetupTaken, n: 2, base: 1, setup: other}, beatEvent{atMs: 22_001, kind: bSetupAcked, n: 2, base: 1, setup: other},
				beatEvent{atMs: 30_000, kind: bSetupShown, n: 2, text: "other", askedMs: 29_000})
		},
		"a race lost under the winner's number": func(h []beatEvent) []beatEvent {
			third := &beatSetup{queues: other.queues, note: "third"}
			return append(h, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 1, setup: other}, beatEvent{atMs: 20_000, kind: bSetupSent, n: 2, base: 1, setup: third},
				beatEvent{atMs: 20_001, kind: bSetupTaken, n: 2, base: 1, setup: third}, beatEvent{atMs: 20_002, kind: bSetupRefused, n: 2, base: 1, setup: other},
				beatEvent{atMs: 30_000, kind: bSetupShown, n: 2, text: "third", askedMs: 29_000})
		},
		"an emptied site that was opened": func(h []beatEvent) []beatEvent {
			return insertBeat(insertBeat(late(h, 3000), beatEvent{atMs: 8500, kind: bEmptied, text: "east"}), beatEvent{atMs: 13_900, kind: bOpened, text: "east"})
		},
	}
	for name, plant := range pardons {
		t.Run(name, func(t *testing.T) { must.SliceEmpty(t, judgeBeats(plant(lawfulBeats()), usualBeatBounds)) })
	}
}

// insertBeat puts an event at its time, after all of the same moment.
func insertBeat(h []beatEvent, e beatEvent) []beatEvent {
	at := 0
	for at < len(h) && h[at].atMs <= e.atMs {
		at++
	}
	return slices.Insert(h, at, e)
}
