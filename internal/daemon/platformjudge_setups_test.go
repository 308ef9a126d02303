package daemon

import (
	"slices"
)

// checkSetupAcceptance handles a daemon's acknowledgement of a change, whether the operator received it or not.
func (c *platformChecker) checkSetupAcceptance(e *platformEvent) {
	for _, s := range c.setups {
		if s.setup == e.setup {
			if s.acceptedMs < 0 {
				s.acceptedMs = e.atMs
			}
			if s.refused {
				c.report("CONFIG", e.atMs, "version %d on top of %d was refused and later accepted", s.version, s.base)
			}
		} else if s.acceptedMs >= 0 && (s.base == e.base || s.version == e.n) {
			c.report("CONFIG", e.atMs, "versions %d and %d, on top of %d and %d, were both accepted", s.version, e.n, s.base, e.base)
		}
	}
	if e.setup.invalid {
		c.report("CONFIG", e.atMs, "version %d is invalid and was accepted", e.n)
	}
}

// mayBeShown reports whether the configuration that is shown may be the one with its
// version: an accepted one, or, if none is known, one that was sent and not refused.
func (c *platformChecker) mayBeShown(e *platformEvent) bool {
	var taken, sent []string
	for _, s := range c.setups {
		switch {
		case s.version != e.n:
		case s.acceptedMs >= 0 || s.ackedMs >= 0:
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

// checkRefusedBases finds refused changes on top of which a later change was accepted, which
// shows that the refused version was in force.
func (c *platformChecker) checkRefusedBases() {
	for _, later := range c.setups {
		if later.acceptedMs < 0 && later.ackedMs < 0 {
			continue
		}
		known, refused := false, (*observedSetup)(nil)
		for _, s := range c.setups {
			if s.version != later.base {
				continue
			}
			if s.refused && s.acceptedMs < 0 && s.ackedMs < 0 { // the other contradictions are reported elsewhere
				refused = s
			} else {
				known = true
			}
		}
		if !known && refused != nil {
			c.report("CONFIG", later.sentMs, "version %d was refused, and %d was accepted on top of it", later.base, later.version)
		}
	}
}

// checkRecovery checks that enough calls are accepted and enough tasks end well again
// after the loss at the end of the day.
func (c *platformChecker) checkRecovery() {
	if c.lossMs == 0 || c.backMs == 0 {
		return
	}
	from := c.backMs + recoveryMs
	var sent, accepted [2]int
	var firstMs, lastMs int64 = 1 << 60, 0
	for _, s := range c.jobs {
		firstMs, lastMs = min(firstMs, s.sentMs), max(lastMs, s.sentMs)
		for i, in := range []bool{s.sentMs < c.lossMs, s.sentMs > from} {
			if in {
				sent[i]++
				if s.acked {
					accepted[i]++
				}
			}
		}
	}
	if recoveryShare*accepted[0] >= sent[0] && recoveryShare*accepted[1] < sent[1] {
		c.report("RECOVER", from, "only %d of %d calls are accepted later than %d ms after the machines are back", accepted[1], sent[1], int64(recoveryMs))
	}
	var ended [2]float64
	for _, s := range c.jobs {
		for _, runs := range s.runs {
			for _, r := range runs {
				if r.outcome != "ok" {
					continue
				}
				if r.endMs < c.lossMs {
					ended[0]++
				} else if r.endMs > from && r.endMs <= lastMs {
					ended[1]++
				}
			}
		}
	}
	before, after := ended[0]/float64(max(1, c.lossMs-firstMs)), ended[1]/float64(max(1, lastMs-from))
	if lastMs > from && recoveryShare*after < before {
		c.report("RECOVER", from, "only %.1f tasks a second end well later than %d ms after the machines are back, %.1f before the loss", 1000*after, int64(recoveryMs), 1000*before)
	}
}

// mayRoute reports whether some configuration that may be in force between two
// times has the queue's address, or lacks it if has is false.
func (c *platformChecker) mayRoute(q *platformQueue, askedMs, atMs int64, has bool) bool {
	floor := int64(0)
	for _, s := range c.setups {
		if s.ackedMs >= 0 && s.ackedMs+c.bounds.config < askedMs {
			floor = max(floor, s.version)
		}
	}
	if floor == 0 {
		return true // none is certain to be in force
	}
	for _, s := range c.setups {
		if s.version >= floor && !s.refused && s.sentMs <= atMs && s.setup.hasAddress(q) == has {
			return true
		}
	}
	return false
}

// checkShownState checks a job's state that a caller was shown.
func (c *platformChecker) checkShownState(e *platformEvent) {
	s := c.jobs[e.job]
	switch e.text {
	case "unknown":
		if s.acked && e.requestedMs > s.ackedMs+c.bounds.visible && c.connected(e.host, e.atMs) {
			c.report("LOST", e.atMs, "%s is unknown at %s, accepted at %d ms", e.job, e.host, s.ackedMs)
		}
	case "complete":
		if s.completeMs < 0 {
			s.completeMs = e.atMs
		}
		for name := range s.spec.taskNames() {
			if s.spec.steps[name.step].lasting || !s.succeededBefore(name, e.order) {
				c.report("MIXED", e.atMs, "%s is shown as complete, but task %v has not ended well", e.job, name)
				return
			}
		}
	case "failed":
		if !s.mayFail() {
			c.report("LOST", e.atMs, "%s is shown as failed without a cause", e.job)
		}
	case "cancelled":
		if !s.cancelSent {
			c.report("LOST", e.atMs, "%s is shown as cancelled without a cause", e.job)
		}
	}
}
