package daemon

import (
	"slices"
)

// setupTaken takes a daemon's word that it took a change, heard or not.
func (j *platformJudge) setupTaken(e *platformEvent) {
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
func (j *platformJudge) maybeShown(e *platformEvent) bool {
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
func (j *platformJudge) chain() {
	for _, later := range j.setups {
		if later.takenMs < 0 && later.ackedMs < 0 {
			continue
		}
		known, refused := false, (*seenPlatformSetup)(nil)
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

// recovered finds whether too little works again after the closing fault: calls
// that are accepted, and tasks that end well.
func (j *platformJudge) recovered() {
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
func (j *platformJudge) maybeRoutes(q *platformQueue, askedMs, atMs int64, has bool) bool {
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

func (j *platformJudge) shown(e *platformEvent) {
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
