package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/schema"
)

// ownerOps maps the operations at a queue's address to those of a job's owner.
var ownerOps = map[string]string{"queue.submit": "job.put", "queue.state": "job.state", "queue.cancel": "job.cancel"}

// resolveAddress determines the queue of an address, using a configuration that a majority
// confirmed recently. A call is rejected for an unknown address or key only if the
// configuration was confirmed after the call arrived.
func (n *node) resolveAddress(req *request) {
	cfg := n.config.current
	if cfg.Version == 0 {
		n.reject(req, "no setup yet")
		return
	}
	queueKey, id, ok := cfg.Resolve(req.host, req.path)
	switch {
	case !ok && n.configConfirmedSince(req):
		n.respond(req, 404, 0, mustJSON(map[string]any{"missing": "queue", "error": "no queue has this address"}))
		return
	case !ok || !n.configFresh():
		n.awaitConfirmation(req, "the setup is not confirmed here")
		return
	}
	switch tenant, known := authenticate(cfg, queueKey, req.credential); {
	case known:
		req.tenant, req.credential = tenant, ""
	case n.configConfirmedSince(req):
		n.count("calls_unauthenticated")
		n.respond(req, 401, 0, mustJSON(map[string]any{"error": "no tenant has this key"}))
		return
	default: // a version that was just acknowledged may have the key
		n.awaitConfirmation(req, "the setup is not confirmed here")
		return
	}
	req.queue, req.byAddress, req.key = queueKey, true, id
	switch {
	case id == "" && req.op == "queue.state":
		n.respondPending(req, queueKey)
	case !schema.ValidName(id):
		n.respond(req, 404, 0, nil)
	default:
		req.op = ownerOps[req.op]
		n.handleRequest(req)
	}
}

// authenticate returns the tenant of the API key in a call, or "" if no key is needed. It
// returns false if a key is needed and no tenant has it. A call without a key belongs to no
// tenant, whatever digests the configuration contains.
func authenticate(config *configuration.Configuration, queueKey, credential string) (tenant string, known bool) {
	if !config.RequiresKey() {
		return "", true
	}
	if credential != "" {
		if t := config.TenantOfKey(configuration.DigestOfKey(credential)); t != nil {
			return t.Name, true
		}
	}
	return "", config.DeclaredQueue(queueKey).Open
}

// jobVisible reports whether a request may access a job. A call at an address may access the jobs of
// the queue that has the address now, and with a key only those of the key's tenant. Jobs without a tenant, and those
// of a tenant that is no longer declared, are visible to every permitted client. At an open
// queue, a call without a key may read every job, since the key of the job's tenant may have
// been removed; but it may not cancel jobs of a tenant.
func (n *node) jobVisible(req *request, job *jobRecord) bool {
	switch {
	case req.queue == "":
		return true
	case !n.inQueueOf(req, job):
		return false
	case job.Tenant == "" || job.Tenant == req.tenant:
		return true
	case req.tenant == "" && req.op != "job.cancel":
		return true
	}
	return n.tenantUndeclared(job.Tenant)
}

// inQueueOf reports whether a job belongs to the queue of a call at an address. A job that is stored under the name of
// a queue, and not under an address, may have been submitted at the address before its queue was renamed, so it
// belongs to every queue once that name is not configured.
func (n *node) inQueueOf(req *request, job *jobRecord) bool {
	return n.config.current.SameQueue(job.Queue, req.queue) ||
		!configuration.IsAddressKey(job.Queue) && n.config.current.Queue(job.Queue) == nil
}

// tenantUndeclared reports whether a recently confirmed configuration lacks a tenant. One
// that isn't confirmed may be older than the declaration of the tenant.
func (n *node) tenantUndeclared(tenant string) bool {
	return n.configFresh() && n.config.current.Tenants[tenant] == nil
}

// respondIfHidden answers a request that may not see a job, and reports whether it did. It
// treats the job as another queue's or tenant's only if the configuration was confirmed after the
// request arrived: an older one may have the client's address at another queue, or its tenant under
// its previous name.
func (n *node) respondIfHidden(req *request, job *jobRecord) bool {
	switch {
	case n.jobVisible(req, job):
		return false
	case !n.configConfirmedSince(req):
		req.maybeApplied = true // it may be the same job, submitted again
		n.awaitConfirmation(req, "the setup is not confirmed here")
	case req.tenant != "" && n.config.current.Tenants[req.tenant] == nil,
		n.config.current.DeclaredQueue(req.queue) == nil:
		req.maybeApplied = true // the daemon that resolved them used an older version
		n.reject(req, "the queue or the tenant is not in the newest setup")
	case req.op == "job.put":
		n.respond(req, 409, 0, mustJSON(map[string]any{"error": "another job has this id"}))
	default:
		n.respondMissing(req)
	}
	return true
}

// awaitConfirmation holds a request back until a newer confirmation of the configuration. It
// rejects the request if none can be expected or too many are waiting.
func (n *node) awaitConfirmation(req *request, reason string) {
	if n.leases.CutOff() || len(n.config.awaiting) >= requestsMax {
		n.reject(req, reason)
		return
	}
	n.config.awaiting = append(n.config.awaiting, req)
	n.leases.PollNextTick(tickMs) // unless a poll is in flight
}
