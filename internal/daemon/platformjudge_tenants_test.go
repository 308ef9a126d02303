package daemon

// These methods check the rules on keys and limits of tenants.

const (
	// The users' bound: a tenant may exceed its limit by this many percent plus one task.
	quotaOverrunPercent = 10

	statusUnauthorized = 401
)

// newestCertainVersion returns the newest version that every connected machine must have applied
// at a time; 0 for none.
func (j *platformChecker) newestCertainVersion(atMs int64) (version int64) {
	for _, s := range j.setups {
		if s.ackedMs >= 0 && s.ackedMs+j.bounds.config < atMs {
			version = max(version, s.version)
		}
	}
	return version
}

// possiblyInForce returns the configurations that may be in force on some machine between two times.
func (j *platformChecker) possiblyInForce(fromMs, toMs int64) (setups []*platformSetup) {
	floor := j.newestCertainVersion(fromMs)
	for _, s := range j.setups {
		if s.version >= floor && !s.refused && !s.setup.invalid && s.sentMs <= toMs {
			setups = append(setups, s.setup)
		}
	}
	return setups
}

// checkCall checks whether a call's status is possible for its key.
func (j *platformChecker) checkCall(e *platformEvent) {
	success := e.n >= 200 && e.n < 300
	if !success && e.n != statusUnauthorized {
		return
	}
	if success && !j.everAdmitted(e) {
		j.report("ROUTE", e.atMs, "a call of %s at %s succeeded with key %q, which no version declared", e.job, e.host, e.key)
		return
	}
	if !j.connected(e.host, e.atMs) || j.newestCertainVersion(e.sentMs) == 0 {
		return
	}
	for _, s := range j.possiblyInForce(e.sentMs, e.atMs) {
		if s.admits(e.queue.name, e.key) == success {
			return
		}
	}
	if success {
		j.report("CONFIG", e.atMs, "a call of %s at %s succeeded with key %q, which only older versions declare", e.job, e.host, e.key)
	} else {
		j.report("CONFIG", e.atMs, "a call of %s at %s got 401 although key %q is valid", e.job, e.host, e.key)
	}
}

// everAdmitted reports whether some version that was sent and not refused admits the call.
func (j *platformChecker) everAdmitted(e *platformEvent) bool {
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

// startRunning counts a start against its tenant's limit. The start may exceed the highest limit
// that may be in force by a tenth plus one task.
func (j *platformChecker) startRunning(e *platformEvent, r *observedRun, what string) {
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
			j.report("QUOTA", e.atMs, "%s of tenant %s makes its use %v, its limit is %v", what, r.tenant, j.running[r.tenant], limit)
			return
		}
	}
}

// stopRunning stops counting runs against their tenants' limits.
func (j *platformChecker) stopRunning(runs ...*observedRun) {
	for _, r := range runs {
		if r.tenant != "" {
			j.running[r.tenant] = j.running[r.tenant].plus(r.room, -1)
			r.tenant = ""
		}
	}
}

// highestLimit returns the highest limit that a tenant may have at a time, per dimension, where 0
// is no limit. known reports whether any version that may be in force declares the tenant.
func (j *platformChecker) highestLimit(tenant string, atMs int64) (limit amounts, known bool) {
	for _, s := range j.possiblyInForce(atMs, atMs) {
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
