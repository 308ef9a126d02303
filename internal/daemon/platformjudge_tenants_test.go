package daemon

// The judge's rules on keys and limits of tenants.

const (
	// The users' bound on what a tenant may have running beyond its limit, in percent, beside one task.
	quotaOverrunPercent = 10

	statusUnauthorized = 401
)

// surelyInForce is the newest version that every machine in touch must know when a call or start
// of a moment comes; 0 for none.
func (j *platformJudge) surelyInForce(atMs int64) (version int64) {
	for _, s := range j.setups {
		if s.ackedMs >= 0 && s.ackedMs+j.bounds.config < atMs {
			version = max(version, s.version)
		}
	}
	return version
}

// maybeInForce gives the setups that may be in force somewhere between two moments.
func (j *platformJudge) maybeInForce(fromMs, toMs int64) (setups []*platformSetup) {
	floor := j.surelyInForce(fromMs)
	for _, s := range j.setups {
		if s.version >= floor && !s.refused && !s.setup.invalid && s.sentMs <= toMs {
			setups = append(setups, s.setup)
		}
	}
	return setups
}

// called judges whether a call with its key could be answered so.
func (j *platformJudge) called(e *platformEvent) {
	success := e.n >= 200 && e.n < 300
	if !success && e.n != statusUnauthorized {
		return
	}
	if success && !j.everAdmitted(e) {
		j.breach("ROUTE", e.atMs, "a call of %s at %s succeeded with key %q, which no version held", e.job, e.host, e.key)
		return
	}
	if !j.inTouch(e.host, e.atMs) || j.surelyInForce(e.askedMs) == 0 {
		return
	}
	for _, s := range j.maybeInForce(e.askedMs, e.atMs) {
		if s.admits(e.queue.name, e.key) == success {
			return
		}
	}
	if success {
		j.breach("CONFIG", e.atMs, "a call of %s at %s succeeded with key %q, which only older versions hold", e.job, e.host, e.key)
	} else {
		j.breach("CONFIG", e.atMs, "a call of %s at %s got 401, though key %q is there", e.job, e.host, e.key)
	}
}

// everAdmitted tells whether some version that was ever sent and not refused lets a call in.
func (j *platformJudge) everAdmitted(e *platformEvent) bool {
	if len(j.setups) == 0 {
		return true
	}
	for _, s := range j.setups {
		if !s.refused && !s.setup.invalid && s.setup.admits(e.queue.name, e.key) {
			return true
		}
	}
	return false
}

// startRunning counts a start, which may take its tenant over the highest limit that may be in
// force by a tenth and one task at most.
func (j *platformJudge) startRunning(e *platformEvent, r *seenRun, what string) {
	spec := j.jobs[e.job].spec
	if spec.tenant == "" {
		return
	}
	r.tenant, r.room = spec.tenant, spec.steps[e.task.step].room
	before := j.running[r.tenant]
	j.running[r.tenant] = before.plus(r.room, 1)
	limit, known := j.highestLimit(r.tenant, e.atMs)
	if !known {
		return
	}
	for d, most := range limit {
		if most > 0 && r.room[d] > 0 && before[d]*100 > most*(100+quotaOverrunPercent) {
			j.breach("QUOTA", e.atMs, "%s of tenant %s makes %v, its limit is %v", what, r.tenant, j.running[r.tenant], limit)
			return
		}
	}
}

// stopRunning counts runs as over that did count.
func (j *platformJudge) stopRunning(runs ...*seenRun) {
	for _, r := range runs {
		if r.tenant != "" {
			j.running[r.tenant] = j.running[r.tenant].plus(r.room, -1)
			r.tenant = ""
		}
	}
}

// highestLimit is the highest that a tenant may have at a moment, dimension by dimension, where 0
// is none; known tells whether any version that may be in force declares the tenant.
func (j *platformJudge) highestLimit(tenant string, atMs int64) (limit amounts, known bool) {
	for _, s := range j.maybeInForce(atMs, atMs) {
		t := s.tenant(tenant)
		if t == nil {
			continue
		}
		for d := range limit {
			switch {
			case !known:
				limit[d] = t.limit[d]
			case limit[d] == 0 || t.limit[d] == 0:
				limit[d] = 0
			default:
				limit[d] = max(limit[d], t.limit[d])
			}
		}
		known = true
	}
	return limit, known
}
