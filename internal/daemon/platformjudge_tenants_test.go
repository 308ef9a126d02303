package daemon

// These methods check the rules on keys and limits of tenants.

const (
	// The users' bound: a tenant may exceed its limit by this many percent plus one task.
	quotaOverrunPercent = 10

	statusUnauthorized = 401
)

// newestCertainVersion returns the newest version that every connected machine must have applied
// at a time; 0 for none.
func (c *platformChecker) newestCertainVersion(atMs int64) (version int64) {
	for _, s := range c.setups {
		if s.ackedMs >= 0 && s.ackedMs+c.bounds.config < atMs {
			version = max(version, s.version)
		}
	}
	return version
}

// possiblyInForce returns the configurations that may be in force on some machine between two times.
func (c *platformChecker) possiblyInForce(fromMs, toMs int64) (setups []*platformSetup) {
	floor := c.newestCertainVersion(fromMs)
	for _, s := range c.setups {
		if s.version >= floor && !s.refused && !s.setup.invalid && s.sentMs <= toMs {
			setups = append(setups, s.setup)
		}
	}
	return setups
}

// checkCall checks whether a call's status is possible for its key.
func (c *platformChecker) checkCall(e *platformEvent) {
	success := e.n >= 200 && e.n < 300
	if !success && e.n != statusUnauthorized {
		return
	}
	if success && !c.everAdmitted(e) {
		c.report("ROUTE", e.atMs, "a call of %s at %s succeeded with key %q, which no version declared", e.job, e.host, e.key)
		return
	}
	if !c.connected(e.host, e.atMs) || c.newestCertainVersion(e.requestedMs) == 0 {
		return
	}
	for _, s := range c.possiblyInForce(e.requestedMs, e.atMs) {
		if s.admits(e.queue.name, e.key) == success {
			return
		}
	}
	if success {
		c.report("CONFIG", e.atMs, "a call of %s at %s succeeded with key %q, which only older versions declare", e.job, e.host, e.key)
	} else {
		c.report("CONFIG", e.atMs, "a call of %s at %s got 401 although key %q is valid", e.job, e.host, e.key)
	}
}

// everAdmitted reports whether some version that was sent and not refused admits the call.
func (c *platformChecker) everAdmitted(e *platformEvent) bool {
	if len(c.setups) == 0 {
		return true
	}
	for _, s := range c.setups {
		if !s.refused && !s.setup.invalid && s.setup.admits(e.queue.name, e.key) {
			return true
		}
	}
	return false
}

// startRunning counts a start against its tenant's limit. The start may exceed the highest limit
// that may be in force by a tenth plus one task.
func (c *platformChecker) startRunning(e *platformEvent, r *observedRun, what string) {
	spec := c.jobs[e.job].spec
	if spec.tenant == "" {
		return
	}
	r.tenant, r.room = spec.tenant, spec.steps[e.task.step].room
	before := c.running[r.tenant]
	c.running[r.tenant] = before.plus(r.room, 1)
	limit, known := c.highestLimit(r.tenant, e.atMs)
	if !known {
		return
	}
	for d, most := range limit {
		if most > 0 && r.room[d] > 0 && before[d]*100 > most*(100+quotaOverrunPercent) {
			c.report("QUOTA", e.atMs, "%s of tenant %s raises its use to %v, the limit is %v", what, r.tenant, c.running[r.tenant], limit)
			return
		}
	}
}

// stopRunning stops counting runs against their tenants' limits.
func (c *platformChecker) stopRunning(runs ...*observedRun) {
	for _, r := range runs {
		if r.tenant != "" {
			c.running[r.tenant] = c.running[r.tenant].plus(r.room, -1)
			r.tenant = ""
		}
	}
}

// highestLimit returns the highest limit that a tenant may have at a time, per dimension, where 0
// is no limit. known reports whether any version that may be in force declares the tenant.
func (c *platformChecker) highestLimit(tenant string, atMs int64) (limit amounts, known bool) {
	for _, s := range c.possiblyInForce(atMs, atMs) {
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
