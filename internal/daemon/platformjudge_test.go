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
	eventJobSent          = "job_sent"      // first submission; spec, queue
	eventJobResponse      = "job_tried"     // response to one submission; n is the status, 0 for none
	eventStateShown       = "job_shown"     // text is the state, "unknown" for a 410
	eventCancelSent       = "cancel_sent"   //
	eventCancelAcked      = "cancel_acked"  //
	eventWorkerUp         = "worker_up"     // facts
	eventWorkerDown       = "worker_down"   // the worker and all its runs ended
	eventOrdered          = "ordered"       // a worker received a start order; text is the payload
	eventStarted          = "started"       // the run started
	eventEnded            = "ended"         // n is the number of the end at this worker, text its outcome
	eventEndsReported     = "listed"        // a heartbeat reported the ends up to n
	eventEndsAcknowledged = "seen"          // a response acknowledged the ends up to n
	eventHoldExpired      = "lapsed"        // a worker's hold expired
	eventCheckpointSaved  = "saved"         // a run saved a checkpoint; saved is its text
	eventLeaveAcked       = "leaving"       // a heartbeat that announces the worker's departure was acknowledged
	eventZoneEvacuated    = "emptied"       // evacuation acknowledged; text is the zone
	eventZoneReopened     = "opened"        // end of an evacuation sent; it may be in force from now on
	eventSetupSent        = "setup_sent"    // n is the version, base the version it replaces
	eventSetupAcked       = "setup_acked"   //
	eventSetupRefused     = "setup_refused" // final
	eventSetupAccepted    = "setup_taken"   // a daemon sent its acknowledgement, received or not; host
	eventSetupShown       = "setup_shown"   // n is the version, -1 for no response; text is its note
	eventJobAccepted      = "job_taken"     // a daemon sent the acceptance of a job, received or not
	eventLoss             = "loss"          // the loss at the end of a day
	eventLossRepaired     = "back"          // the machines of that loss are back
	eventFaultBegan       = "trouble"       // a fault of host, of worker, or of all begins; text names it
	eventFaultEnded       = "calm"          // the fault with that text and place ends
	eventCoreChanged      = "core"          // a core machine was killed, started, frozen, resumed, cut off or reconnected
	eventFinalState       = "finished"      // last read of a job; text is its state, "" for no response
	eventCallAnswered     = "called"        // response to a call of a job; key, queue, n is the status
	eventJobStuck         = "stuck"         // nothing of a job runs although resources are free
)

// checkPlatformHistory returns all violations in a history.
func checkPlatformHistory(events []platformEvent, bounds platformBounds) []platformViolation {
	c := &platformChecker{bounds: bounds, running: map[string]amounts{}, jobs: map[string]*observedJob{}, workers: map[string]*observedWorker{}, faults: map[string][]*timeSpan{}, evacuations: map[string][]*timeSpan{}}
	for i := range events {
		e := events[i]
		e.order = i + 1
		c.lastMs = max(c.lastMs, e.atMs)
		platformHandlers[e.kind](c, &e)
	}
	for _, check := range c.deferredChecks {
		check()
	}
	c.checkRefusedBases()
	c.checkRecovery()
	for _, id := range sortedKeys(c.jobs) {
		c.checkStoppedAfterCancel(c.jobs[id])
	}
	slices.SortStableFunc(c.violations, func(a, v platformViolation) int { return int(a.atMs - v.atMs) })
	return c.violations
}

func (c *platformChecker) report(rule string, atMs int64, format string, args ...any) {
	c.violations = append(c.violations, platformViolation{rule, atMs, fmt.Sprintf(format, args...)})
}

var platformHandlers = map[string]func(*platformChecker, *platformEvent){
	eventJobSent: func(c *platformChecker, e *platformEvent) {
		c.jobs[e.job] = &observedJob{id: e.job, spec: e.spec, queue: e.queue, sentMs: e.atMs, cancelMs: -1, completeMs: -1, runs: map[taskName][]*observedRun{},
			saved: map[string]taskName{}, gangSaved: map[[3]int64]string{}}
	},
	eventJobResponse: (*platformChecker).checkSubmission,
	eventStateShown:  (*platformChecker).checkShownState,
	eventCancelSent: func(c *platformChecker, e *platformEvent) {
		if s := c.jobs[e.job]; s != nil && !s.cancelSent {
			s.cancelSent, s.cancelSentMs = true, e.atMs
		}
	},
	eventCancelAcked: func(c *platformChecker, e *platformEvent) {
		if s := c.jobs[e.job]; s != nil && s.cancelMs < 0 {
			s.cancelMs = e.atMs
		}
	},
	eventWorkerUp: func(c *platformChecker, e *platformEvent) {
		c.workers[e.worker] = &observedWorker{facts: e.facts, host: e.host, open: map[runName]*observedRun{}, leavingMs: -1}
	},
	eventWorkerDown: func(c *platformChecker, e *platformEvent) {
		w := c.workers[e.worker]
		w.down = true
		for _, r := range w.open {
			r.endOrder, r.endMs, r.outcome = e.order, e.atMs, "crash"
		}
		c.stopRunning(slices.Collect(maps.Values(w.open))...)
		c.stopRunning(w.unlisted...)
		w.open, w.ends, w.unlisted = map[runName]*observedRun{}, nil, nil
	},
	eventOrdered: (*platformChecker).checkOrder,
	eventStarted: (*platformChecker).checkStart,
	eventEnded:   (*platformChecker).checkEnd,
	eventEndsReported: func(c *platformChecker, e *platformEvent) {
		w := c.workers[e.worker]
		w.unlisted = slices.DeleteFunc(w.unlisted, func(r *observedRun) bool {
			if r.endNumber > e.n {
				return false
			}
			if s := c.jobs[r.job]; s != nil {
				w.used = w.used.plus(s.spec.steps[r.name.step].room, -1)
			}
			c.stopRunning(r)
			return true
		})
	},
	eventEndsAcknowledged: func(c *platformChecker, e *platformEvent) {
		w := c.workers[e.worker]
		w.ends = slices.DeleteFunc(w.ends, func(r *observedRun) bool {
			if r.endNumber <= e.n && !r.lapsed {
				r.acknowledgedMs = e.atMs
			}
			return r.endNumber <= e.n
		})
	},
	eventHoldExpired: func(c *platformChecker, e *platformEvent) {
		for _, r := range c.workers[e.worker].ends {
			r.lapsed = true
		}
		c.stopRunning(c.workers[e.worker].unlisted...)
	},
	eventCheckpointSaved: func(c *platformChecker, e *platformEvent) {
		if s := c.jobs[e.job]; s != nil {
			s.saved[e.saved] = e.task
		}
	},
	eventLeaveAcked: func(c *platformChecker, e *platformEvent) {
		if w := c.workers[e.worker]; w.leavingMs < 0 && c.connected(e.host, e.atMs) {
			w.leavingMs = e.atMs
		}
	},
	eventZoneEvacuated: func(c *platformChecker, e *platformEvent) {
		c.evacuations[e.text] = append(c.evacuations[e.text], &timeSpan{from: e.atMs, to: 1 << 60})
	},
	eventZoneReopened: func(c *platformChecker, e *platformEvent) {
		for _, s := range c.evacuations[e.text] {
			s.to = min(s.to, e.atMs)
		}
	},
	eventCallAnswered: (*platformChecker).checkCall,
	eventSetupSent: func(c *platformChecker, e *platformEvent) {
		c.setups = append(c.setups, &observedSetup{version: e.n, base: e.base, sentMs: e.atMs, ackedMs: -1, acceptedMs: -1, setup: e.setup})
	},
	eventSetupAcked: func(c *platformChecker, e *platformEvent) {
		for _, s := range c.setups {
			if s.setup == e.setup {
				if s.ackedMs < 0 {
					s.ackedMs = e.atMs
				}
			} else if s.ackedMs >= 0 && (s.base == e.base || s.version == e.n) {
				c.report("CONFIG", e.atMs, "versions %d and %d, both on top of %d, were both acknowledged", s.version, e.n, e.base)
			}
		}
		if e.setup.invalid {
			c.report("CONFIG", e.atMs, "version %d is invalid and was acknowledged", e.n)
		}
	},
	eventSetupRefused: func(c *platformChecker, e *platformEvent) {
		for _, s := range c.setups {
			if s.setup != e.setup {
				continue
			}
			s.refused = true
			if taken := max(s.ackedMs, s.acceptedMs); taken >= 0 {
				c.report("CONFIG", e.atMs, "version %d on top of %d was accepted at %d ms, then refused when sent again", s.version, s.base, taken)
			}
		}
	},
	eventSetupAccepted: (*platformChecker).checkSetupAcceptance,
	eventJobAccepted: func(c *platformChecker, e *platformEvent) {
		if s := c.jobs[e.job]; s != nil {
			s.accepted = true
		}
	},
	eventLoss:         func(c *platformChecker, e *platformEvent) { c.lossMs = e.atMs },
	eventLossRepaired: func(c *platformChecker, e *platformEvent) { c.backMs = e.atMs },
	eventSetupShown: func(c *platformChecker, e *platformEvent) {
		newest := int64(0)
		for _, s := range c.setups {
			if s.ackedMs >= 0 && s.ackedMs < e.requestedMs {
				newest = max(newest, s.version)
			}
			if s.version == e.n && s.refused && !slices.ContainsFunc(c.setups, func(o *observedSetup) bool { return o.version == e.n && !o.refused }) {
				c.report("CONFIG", e.atMs, "version %d is shown although it was refused", e.n)
			}
		}
		switch {
		case e.n < 0:
			c.report("CONFIG", e.atMs, "no configuration can be read back, %d was acknowledged", newest)
		case e.n < newest:
			c.report("CONFIG", e.atMs, "version %d is shown, %d was acknowledged", e.n, newest)
		case e.text != "" && !c.mayBeShown(e):
			c.report("CONFIG", e.atMs, "version %d is shown as %q, which differs from what was accepted under its number", e.n, e.text)
		}
	},
	eventFaultBegan: func(c *platformChecker, e *platformEvent) {
		if e.text == "clock" && c.bounds.early < 5000 { // clocks that jump may start a job up to 5 s early
			c.bounds.early += 5000
		}
		at := e.host
		if e.worker != "" {
			at = "worker " + e.worker
		}
		c.faults[at] = append(c.faults[at], &timeSpan{from: e.atMs, to: 1 << 60, text: e.text})
	},
	eventFaultEnded: func(c *platformChecker, e *platformEvent) {
		at := e.host
		if e.worker != "" {
			at = "worker " + e.worker
		}
		for _, s := range c.faults[at] {
			if s.text == e.text && s.to == 1<<60 {
				s.to = e.atMs
			}
		}
	},
	eventCoreChanged: func(c *platformChecker, e *platformEvent) { c.core = append(c.core, e.atMs) },
	eventFinalState: func(c *platformChecker, e *platformEvent) {
		s := c.jobs[e.job]
		if s == nil || !s.acked {
			return
		}
		switch e.text {
		case "complete", "failed", "cancelled":
		case "":
			c.report("LOST", e.atMs, "%s got no response long after the end", e.job)
		default:
			c.report("LOST", e.atMs, "%s is still %s long after the end", e.job, e.text)
		}
	},
	eventJobStuck: func(c *platformChecker, e *platformEvent) {
		c.report("LOST", e.atMs, "%s makes no progress: %s", e.job, e.text)
	},
}

const (
	// The users' bound: work resumes within this time, at 1/recoveryShare of its usual rate or more.
	recoveryMs    = 12_000
	recoveryShare = 4
)

func (c *platformChecker) checkOrder(e *platformEvent) {
	s := c.jobs[e.job]
	what := fmt.Sprintf("%s %v run %d at %s", e.job, e.task, e.run, e.worker)
	if s == nil || !s.spec.hasTask(e.task) {
		c.report("UNASKED", e.atMs, "%s was never sent", what)
		return
	}
	if e.text != s.spec.payload {
		c.report("UNASKED", e.atMs, "%s was ordered with another payload", what)
	}
	gang := s.spec.steps[e.task.step].gang
	if e.saved != "" {
		of, ok := s.saved[e.saved]
		if !ok || of != e.task && (!gang || of.round != e.task.round || of.step != e.task.step) {
			c.report("UNASKED", e.atMs, "%s was ordered with a checkpoint of another task", what)
		}
	}
	if gang {
		key := [3]int64{int64(e.task.round), int64(e.task.step), e.run}
		if other, ok := s.gangSaved[key]; ok && other != e.saved {
			c.report("UNASKED", e.atMs, "%s was ordered with another checkpoint than the rest of its gang", what)
		}
		s.gangSaved[key] = e.saved
	}
}

func (c *platformChecker) checkStart(e *platformEvent) {
	s, w := c.jobs[e.job], c.workers[e.worker]
	if s == nil || !s.spec.hasTask(e.task) {
		return // reported by ordered
	}
	step := s.spec.steps[e.task.step]
	what := fmt.Sprintf("%s %v run %d at %s on %s", e.job, e.task, e.run, e.worker, e.host)
	r := &observedRun{name: e.task, job: e.job, run: e.run, startOrder: e.order, startMs: e.atMs, acknowledgedMs: -1, worker: e.worker, host: e.host}
	touch := c.connected(e.host, e.atMs)
	if !step.copies {
		for _, o := range s.runs[e.task] {
			if o.endOrder == 0 {
				c.report("TWICE", e.atMs, "%s started although run %d has been at %s since %d ms", what, o.run, o.worker, o.startMs)
			}
		}
	}
	s.runs[e.task] = append(s.runs[e.task], r)
	w.open[runName{e.job, e.task, e.run}] = r
	c.startRunning(e, r, what)

	if w.used = w.used.plus(step.room, 1); !w.facts.guards && !w.used.within(w.facts.capacity) {
		c.report("LIMIT", e.atMs, "%s raises the use to %v, the capacity is %v", what, w.used, w.facts.capacity)
	}
	for _, k := range sortedKeys(step.labels) {
		if w.facts.labels[k] != step.labels[k] {
			c.report("ROUTE", e.atMs, "%s needs %s=%s", what, k, step.labels[k])
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
			c.report("ROUTE", e.atMs, "%s is number %d of its step there, the most is %d", what, there, step.perWorker)
		}
	}
	if len(c.setups) > 0 && !slices.ContainsFunc(c.setups, func(o *observedSetup) bool { return o.setup.routesTo(s.queue, w.facts) }) {
		c.report("ROUTE", e.atMs, "%s: no configuration routes queue %s there", what, s.queue.name)
	}
	for _, a := range step.after {
		for i := range s.spec.steps[a].count {
			if !s.succeededBefore(taskName{e.task.round, a, i}, e.order) {
				c.report("ORDER", e.atMs, "%s started before task %d of step %d ended well", what, i, a)
				break
			}
		}
	}
	if due := s.spec.dueMs(e.task.round); e.atMs < due-c.bounds.early {
		c.report("ORDER", e.atMs, "%s started early, it is due at %d ms", what, due)
	}
	if s.cancelMs >= 0 && e.atMs > s.cancelMs+c.bounds.cancel && touch {
		c.report("UNASKED", e.atMs, "%s started although its job was cancelled at %d ms", what, s.cancelMs)
	}
	if w.leavingMs >= 0 && e.atMs > w.leavingMs+c.bounds.drain && touch {
		c.report("DRAIN", e.atMs, "%s started at a worker that has been leaving since %d ms", what, w.leavingMs)
	}
	for _, m := range c.evacuations[w.facts.zone] {
		if touch && e.atMs > m.from+c.bounds.evacuation && e.atMs < m.to {
			c.report("EVAC", e.atMs, "%s started although zone %s has been evacuated since %d ms", what, w.facts.zone, m.from)
		}
	}
	completeMs := s.completeMs
	if completeMs >= 0 && e.atMs > completeMs+1000 && touch {
		c.report("TWICE", e.atMs, "%s started although its job was shown as complete at %d ms", what, completeMs)
	}
	// Whether an end is acknowledged may be known only later in the history.
	c.deferredChecks = append(c.deferredChecks, func() {
		for _, n := range s.completionGroup(e.task) {
			for _, o := range s.runs[n] {
				if o.outcome != "ok" || o.endOrder > e.order || o.acknowledgedMs < 0 {
					continue
				}
				if !step.copies || touch && e.atMs > o.acknowledgedMs+1000 {
					c.report("TWICE", e.atMs, "%s started although run %d of %v ended well at %s at %d ms, acknowledged at %d ms", what, o.run, o.name, o.worker, o.endMs, o.acknowledgedMs)
				}
			}
		}
		if step.lasting {
			return
		}
		noted, lastMs := 0, int64(0)
		for _, o := range s.failures(e.task) {
			if o.endOrder < e.order && o.acknowledgedMs >= 0 {
				noted++
				lastMs = max(lastMs, o.acknowledgedMs)
			}
		}
		if noted >= s.queue.allowedFailures && (!step.copies || touch && e.atMs > lastMs+1000) {
			c.report("BUDGET", e.atMs, "%s started after %d failures", what, noted)
		}
		if !s.mayBeAccepted {
			c.report("REFUSED", e.atMs, "%s started although every submission was refused", what)
		}
	})
}

func (c *platformChecker) checkEnd(e *platformEvent) {
	s, w := c.jobs[e.job], c.workers[e.worker]
	key := runName{e.job, e.task, e.run}
	r := w.open[key]
	if r == nil { // rejected by the worker
		return
	}
	delete(w.open, key)
	r.endOrder, r.endMs, r.outcome, r.endNumber = e.order, e.atMs, e.text, e.n
	w.ends = append(w.ends, r)
	w.unlisted = append(w.unlisted, r)
	if r.outcome == "lapsed" {
		c.stopRunning(r)
	}
	if e.text == "alone" && (s.cancelMs < 0 && !s.cancelSent) && c.connected(e.host, e.atMs) && c.connected(e.host, r.startMs) {
		c.deferredChecks = append(c.deferredChecks, func() {
			if c.faultFree(r.startMs, e.atMs, "config") {
				c.report("GANG", e.atMs, "%s %v run %d waited alone at %s since %d ms", e.job, e.task, e.run, e.worker, r.startMs)
			}
		})
	}
}

// checkStoppedAfterCancel checks that a cancelled job stops in time; it needs the whole history.
func (c *platformChecker) checkStoppedAfterCancel(s *observedJob) {
	if s.cancelMs < 0 {
		return
	}
	bound := s.cancelMs + c.bounds.cancel + c.bounds.stop
	for _, name := range sortedNames(s.runs) {
		for _, r := range s.runs[name] {
			endMs := r.endMs
			if r.endOrder == 0 {
				endMs = c.lastMs
			}
			if r.startMs <= bound && endMs > bound && c.faultFree(s.cancelMs, bound, "config", "leaving", "emptied") {
				c.report("UNASKED", bound, "%s %v run %d still runs at %s, cancelled at %d ms", s.id, name, r.run, r.worker, s.cancelMs)
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
