package daemon

import (
	"fmt"
	"maps"
	"slices"
)

// This checker verifies the users' rules on jobs. It uses none of the daemons' own
// state: only the requests and responses of callers and operators, the orders and
// runs of workers, and which machines had faults.

// Kinds of platformEvents.
const (
	bJobSent      = "job_sent"      // first submission; spec, queue
	bJobTried     = "job_tried"     // response to one submission; n is the status, 0 for none
	bJobShown     = "job_shown"     // text is the state, "unknown" for a 410
	bCancelSent   = "cancel_sent"   //
	bCancelAcked  = "cancel_acked"  //
	bWorkerUp     = "worker_up"     // facts
	bWorkerDown   = "worker_down"   // the worker and all its runs ended
	bOrdered      = "ordered"       // a worker received a start order; text is the payload
	bStarted      = "started"       // the run started
	bEnded        = "ended"         // n is the number of the end at this worker, text its outcome
	bListed       = "listed"        // a heartbeat reported the ends up to n
	bSeen         = "seen"          // a response acknowledged the ends up to n
	bLapsed       = "lapsed"        // a worker's hold expired
	bSaved        = "saved"         // a run saved a checkpoint; saved is its text
	bLeaving      = "leaving"       // a heartbeat that announces the worker's departure was acknowledged
	bEmptied      = "emptied"       // evacuation acknowledged; text is the zone
	bOpened       = "opened"        // end of an evacuation sent; it may be in force from now on
	bSetupSent    = "setup_sent"    // n is the version, base the version it replaces
	bSetupAcked   = "setup_acked"   //
	bSetupRefused = "setup_refused" // final
	bSetupTaken   = "setup_taken"   // a daemon sent its acknowledgement, received or not; host
	bSetupShown   = "setup_shown"   // n is the version, -1 for no response; text is its note
	bJobTaken     = "job_taken"     // a daemon sent the acceptance of a job, received or not
	bLoss         = "loss"          // the loss at the end of a day
	bBack         = "back"          // the machines of that loss are back
	bTrouble      = "trouble"       // a fault of host, of worker, or of all begins; text names it
	bCalm         = "calm"          // the fault with that text and place ends
	bCore         = "core"          // a core machine was killed, started, frozen, resumed, cut off or reconnected
	bFinished     = "finished"      // last read of a job; text is its state, "" for no response
	bCalled       = "called"        // response to a call of a job; key, queue, n is the status
	bStuck        = "stuck"         // nothing of a job runs although resources are free
)

// judgePlatform returns all breaches in a history.
func judgePlatform(events []platformEvent, bounds platformBounds) []platformBreach {
	j := &platformJudge{bounds: bounds, running: map[string]amounts{}, jobs: map[string]*seenJob{}, workers: map[string]*seenWorker{}, troubles: map[string][]*spanSeen{}, emptied: map[string][]*spanSeen{}}
	for i := range events {
		e := events[i]
		e.order = i + 1
		j.lastMs = max(j.lastMs, e.atMs)
		platformHandlers[e.kind](j, &e)
	}
	for _, check := range j.starts {
		check()
	}
	j.chain()
	j.recovered()
	for _, id := range sortedKeys(j.jobs) {
		j.whole(j.jobs[id])
	}
	slices.SortStableFunc(j.out, func(a, b platformBreach) int { return int(a.atMs - b.atMs) })
	return j.out
}

func (j *platformJudge) breach(rule string, atMs int64, format string, args ...any) {
	j.out = append(j.out, platformBreach{rule, atMs, fmt.Sprintf(format, args...)})
}

var platformHandlers = map[string]func(*platformJudge, *platformEvent){
	bJobSent: func(j *platformJudge, e *platformEvent) {
		j.jobs[e.job] = &seenJob{id: e.job, spec: e.spec, queue: e.queue, sentMs: e.atMs, cancelMs: -1, completeMs: -1, runs: map[taskName][]*seenRun{},
			saved: map[string]taskName{}, gangSaved: map[[3]int64]string{}}
	},
	bJobTried: (*platformJudge).tried,
	bJobShown: (*platformJudge).shown,
	bCancelSent: func(j *platformJudge, e *platformEvent) {
		if s := j.jobs[e.job]; s != nil && !s.cancelSent {
			s.cancelSent, s.cancelSentMs = true, e.atMs
		}
	},
	bCancelAcked: func(j *platformJudge, e *platformEvent) {
		if s := j.jobs[e.job]; s != nil && s.cancelMs < 0 {
			s.cancelMs = e.atMs
		}
	},
	bWorkerUp: func(j *platformJudge, e *platformEvent) {
		j.workers[e.worker] = &seenWorker{facts: e.facts, host: e.host, open: map[runName]*seenRun{}, leavingMs: -1}
	},
	bWorkerDown: func(j *platformJudge, e *platformEvent) {
		w := j.workers[e.worker]
		w.down = true
		for _, r := range w.open {
			r.end, r.endMs, r.how = e.order, e.atMs, "crash"
		}
		j.stopRunning(slices.Collect(maps.Values(w.open))...)
		j.stopRunning(w.unlisted...)
		w.open, w.ends, w.unlisted = map[runName]*seenRun{}, nil, nil
	},
	bOrdered: (*platformJudge).ordered,
	bStarted: (*platformJudge).started,
	bEnded:   (*platformJudge).ended,
	bListed: func(j *platformJudge, e *platformEvent) {
		w := j.workers[e.worker]
		w.unlisted = slices.DeleteFunc(w.unlisted, func(r *seenRun) bool {
			if r.number > e.n {
				return false
			}
			if s := j.jobs[r.job]; s != nil {
				w.used = w.used.plus(s.spec.steps[r.name.step].room, -1)
			}
			j.stopRunning(r)
			return true
		})
	},
	bSeen: func(j *platformJudge, e *platformEvent) {
		w := j.workers[e.worker]
		w.ends = slices.DeleteFunc(w.ends, func(r *seenRun) bool {
			if r.number <= e.n && !r.void {
				r.notedMs = e.atMs
			}
			return r.number <= e.n
		})
	},
	bLapsed: func(j *platformJudge, e *platformEvent) {
		for _, r := range j.workers[e.worker].ends {
			r.void = true
		}
		j.stopRunning(j.workers[e.worker].unlisted...)
	},
	bSaved: func(j *platformJudge, e *platformEvent) {
		if s := j.jobs[e.job]; s != nil {
			s.saved[e.saved] = e.task
		}
	},
	bLeaving: func(j *platformJudge, e *platformEvent) {
		if w := j.workers[e.worker]; w.leavingMs < 0 && j.inTouch(e.host, e.atMs) {
			w.leavingMs = e.atMs
		}
	},
	bEmptied: func(j *platformJudge, e *platformEvent) {
		j.emptied[e.text] = append(j.emptied[e.text], &spanSeen{from: e.atMs, to: 1 << 60})
	},
	bOpened: func(j *platformJudge, e *platformEvent) {
		for _, s := range j.emptied[e.text] {
			s.to = min(s.to, e.atMs)
		}
	},
	bCalled: (*platformJudge).called,
	bSetupSent: func(j *platformJudge, e *platformEvent) {
		j.setups = append(j.setups, &seenPlatformSetup{version: e.n, base: e.base, sentMs: e.atMs, ackedMs: -1, takenMs: -1, setup: e.setup})
	},
	bSetupAcked: func(j *platformJudge, e *platformEvent) {
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
	bSetupRefused: func(j *platformJudge, e *platformEvent) {
		for _, s := range j.setups {
			if s.setup != e.setup {
				continue
			}
			s.refused = true
			if taken := max(s.ackedMs, s.takenMs); taken >= 0 {
				j.breach("CONFIG", e.atMs, "version %d on top of %d was accepted at %d ms, then refused when sent again", s.version, s.base, taken)
			}
		}
	},
	bSetupTaken: (*platformJudge).setupTaken,
	bJobTaken: func(j *platformJudge, e *platformEvent) {
		if s := j.jobs[e.job]; s != nil {
			s.accepted = true
		}
	},
	bLoss: func(j *platformJudge, e *platformEvent) { j.lossMs = e.atMs },
	bBack: func(j *platformJudge, e *platformEvent) { j.backMs = e.atMs },
	bSetupShown: func(j *platformJudge, e *platformEvent) {
		newest := int64(0)
		for _, s := range j.setups {
			if s.ackedMs >= 0 && s.ackedMs < e.askedMs {
				newest = max(newest, s.version)
			}
			if s.version == e.n && s.refused && !slices.ContainsFunc(j.setups, func(o *seenPlatformSetup) bool { return o.version == e.n && !o.refused }) {
				j.breach("CONFIG", e.atMs, "version %d is shown although it was refused", e.n)
			}
		}
		switch {
		case e.n < 0:
			j.breach("CONFIG", e.atMs, "no configuration can be read back, %d was acknowledged", newest)
		case e.n < newest:
			j.breach("CONFIG", e.atMs, "version %d is shown, %d was acknowledged", e.n, newest)
		case e.text != "" && !j.maybeShown(e):
			j.breach("CONFIG", e.atMs, "version %d is shown as %q, which differs from what was accepted under its number", e.n, e.text)
		}
	},
	bTrouble: func(j *platformJudge, e *platformEvent) {
		if e.text == "clock" && j.bounds.early < 5000 { // clocks that jump may start a job up to 5 s early
			j.bounds.early += 5000
		}
		at := e.host
		if e.worker != "" {
			at = "worker " + e.worker
		}
		j.troubles[at] = append(j.troubles[at], &spanSeen{from: e.atMs, to: 1 << 60, text: e.text})
	},
	bCalm: func(j *platformJudge, e *platformEvent) {
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
	bCore: func(j *platformJudge, e *platformEvent) { j.core = append(j.core, e.atMs) },
	bFinished: func(j *platformJudge, e *platformEvent) {
		s := j.jobs[e.job]
		if s == nil || !s.acked {
			return
		}
		switch e.text {
		case "complete", "failed", "cancelled":
		case "":
			j.breach("LOST", e.atMs, "%s got no response long after the end", e.job)
		default:
			j.breach("LOST", e.atMs, "%s is still %s long after the end", e.job, e.text)
		}
	},
	bStuck: func(j *platformJudge, e *platformEvent) {
		j.breach("LOST", e.atMs, "%s makes no progress: %s", e.job, e.text)
	},
}

const (
	// The users' bound: work resumes within this time, at 1/recoveryShare of its usual rate or more.
	recoveryMs    = 12_000
	recoveryShare = 4
)

func (j *platformJudge) ordered(e *platformEvent) {
	s := j.jobs[e.job]
	what := fmt.Sprintf("%s %v run %d at %s", e.job, e.task, e.run, e.worker)
	if s == nil || !s.spec.has(e.task) {
		j.breach("UNASKED", e.atMs, "%s was never sent", what)
		return
	}
	if e.text != s.spec.payload {
		j.breach("UNASKED", e.atMs, "%s was ordered with another payload", what)
	}
	gang := s.spec.steps[e.task.step].gang
	if e.saved != "" {
		of, ok := s.saved[e.saved]
		if !ok || of != e.task && (!gang || of.round != e.task.round || of.step != e.task.step) {
			j.breach("UNASKED", e.atMs, "%s was ordered with a checkpoint of another task", what)
		}
	}
	if gang {
		key := [3]int64{int64(e.task.round), int64(e.task.step), e.run}
		if other, ok := s.gangSaved[key]; ok && other != e.saved {
			j.breach("UNASKED", e.atMs, "%s was ordered with another checkpoint than the rest of its gang", what)
		}
		s.gangSaved[key] = e.saved
	}
}

func (j *platformJudge) started(e *platformEvent) {
	s, w := j.jobs[e.job], j.workers[e.worker]
	if s == nil || !s.spec.has(e.task) {
		return // reported by ordered
	}
	step := s.spec.steps[e.task.step]
	what := fmt.Sprintf("%s %v run %d at %s on %s", e.job, e.task, e.run, e.worker, e.host)
	r := &seenRun{name: e.task, job: e.job, run: e.run, start: e.order, startMs: e.atMs, notedMs: -1, worker: e.worker, host: e.host}
	touch := j.inTouch(e.host, e.atMs)
	if !step.copies {
		for _, o := range s.runs[e.task] {
			if o.end == 0 {
				j.breach("TWICE", e.atMs, "%s, run %d has been at %s since %d ms", what, o.run, o.worker, o.startMs)
			}
		}
	}
	s.runs[e.task] = append(s.runs[e.task], r)
	w.open[runName{e.job, e.task, e.run}] = r
	j.startRunning(e, r, what)

	if w.used = w.used.plus(step.room, 1); !w.facts.guards && !w.used.within(w.facts.capacity) {
		j.breach("LIMIT", e.atMs, "%s makes %v of %v", what, w.used, w.facts.capacity)
	}
	for _, k := range sortedKeys(step.labels) {
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
			j.breach("ROUTE", e.atMs, "%s makes %d of its step there, the most is %d", what, there, step.perWorker)
		}
	}
	if len(j.setups) > 0 && !slices.ContainsFunc(j.setups, func(o *seenPlatformSetup) bool { return o.setup.sends(s.queue.name, w.facts) }) {
		j.breach("ROUTE", e.atMs, "%s: no configuration routes queue %s there", what, s.queue.name)
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
		j.breach("DRAIN", e.atMs, "%s, which has been leaving since %d ms", what, w.leavingMs)
	}
	for _, m := range j.emptied[w.facts.site] {
		if touch && e.atMs > m.from+j.bounds.evacuation && e.atMs < m.to {
			j.breach("EVAC", e.atMs, "%s, zone %s has been evacuated since %d ms", what, w.facts.site, m.from)
		}
	}
	completeMs := s.completeMs
	if completeMs >= 0 && e.atMs > completeMs+1000 && touch {
		j.breach("TWICE", e.atMs, "%s, shown as complete at %d ms", what, completeMs)
	}
	// Whether an end is acknowledged may be known only later in the history.
	j.starts = append(j.starts, func() {
		for _, n := range s.group(e.task) {
			for _, o := range s.runs[n] {
				if o.how != "ok" || o.end > e.order || o.notedMs < 0 {
					continue
				}
				if !step.copies || touch && e.atMs > o.notedMs+1000 {
					j.breach("TWICE", e.atMs, "%s, run %d of %v ended well at %s at %d ms, acknowledged at %d ms", what, o.run, o.name, o.worker, o.endMs, o.notedMs)
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
			j.breach("REFUSED", e.atMs, "%s, and every submission was refused", what)
		}
	})
}

func (j *platformJudge) ended(e *platformEvent) {
	s, w := j.jobs[e.job], j.workers[e.worker]
	key := runName{e.job, e.task, e.run}
	r := w.open[key]
	if r == nil { // rejected by the worker
		return
	}
	delete(w.open, key)
	r.end, r.endMs, r.how, r.number = e.order, e.atMs, e.text, e.n
	w.ends = append(w.ends, r)
	w.unlisted = append(w.unlisted, r)
	if r.how == "lapsed" {
		j.stopRunning(r)
	}
	if e.text == "alone" && (s.cancelMs < 0 && !s.cancelSent) && j.inTouch(e.host, e.atMs) && j.inTouch(e.host, r.startMs) {
		j.starts = append(j.starts, func() {
			if j.quiet(r.startMs, e.atMs, "config") {
				j.breach("GANG", e.atMs, "%s %v run %d waited alone at %s since %d ms", e.job, e.task, e.run, e.worker, r.startMs)
			}
		})
	}
}

// whole checks that a cancelled job stops in time; it needs the whole history.
func (j *platformJudge) whole(s *seenJob) {
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

// sortedNames returns the tasks in order of round, step and index.
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
