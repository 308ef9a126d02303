package daemon

import (
	"otterchute/internal/configuration"
	"otterchute/internal/schema"
)

// ownerOps are what calls at a queue's address ask of a job's owner.
var ownerOps = map[string]string{"queue.submit": "job.put", "queue.state": "job.state", "queue.cancel": "job.cancel"}

// resolveAddress finds the queue that an address belongs to, by the configuration that a
// majority confirmed lately. That an address belongs to none is only said by
// a configuration confirmed after the call came.
func (n *node) resolveAddress(req *request) {
	cfg := n.config.current
	if cfg.Version == 0 {
		n.reject(req, "no setup yet")
		return
	}
	queue, id, ok := cfg.Resolve(req.host, req.path)
	switch {
	case !ok && n.configConfirmedSince(req):
		n.respond(req, 404, 0, mustJSON(map[string]any{"missing": "queue", "error": "no queue has this address"}))
		return
	case !ok || !n.configFresh():
		n.awaitConfirmation(req, "the setup is not confirmed here")
		return
	}
	switch tenant, known := authenticate(cfg, queue, req.credential); {
	case known:
		req.tenant, req.credential = tenant, ""
	case n.configConfirmedSince(req):
		n.count("calls_unauthenticated")
		n.respond(req, 401, 0, mustJSON(map[string]any{"error": "no tenant has this key"}))
		return
	default: // a version acknowledged just now may have it
		n.awaitConfirmation(req, "the setup is not confirmed here")
		return
	}
	req.queue, req.byAddress, req.key = queue, true, id
	switch {
	case id == "" && req.op == "queue.state":
		n.respondPending(req, queue)
	case !schema.ValidName(id):
		n.respond(req, 404, 0, nil)
	default:
		req.op = ownerOps[req.op]
		n.handleRequest(req)
	}
}

// authenticate gives the tenant whose key a call shows; "" where none is needed. It gives false
// where one is needed and nobody has it. A call without a key is nobody's, whatever the digests of
// the configuration are.
func authenticate(config *configuration.Configuration, queue, credential string) (tenant string, known bool) {
	if !config.RequiresKey() {
		return "", true
	}
	if credential != "" {
		if t := config.TenantOfKey(configuration.DigestOfKey(credential)); t != nil {
			return t.Name, true
		}
	}
	return "", config.Queues[queue].Open
}

// jobVisible tells whether a job is there for a call: one at an address sees the jobs of its queue,
// and with a key those of the key's tenant. Jobs without a tenant, and those of a tenant that is
// no longer declared, are there for all who may call. Without a key, at an open queue, any job may
// be looked at, since its tenant's key may be one that was taken away; but not cancelled.
func (n *node) jobVisible(req *request, j *jobRecord) bool {
	switch {
	case req.queue == "":
		return true
	case j.Queue != req.queue && (req.op != "job.put" || n.config.current.Queues[j.Queue] != nil):
		return false // one that is handed in again stays known after its queue was renamed
	case j.Tenant == "" || j.Tenant == req.tenant:
		return true
	case req.tenant == "" && req.op != "job.cancel":
		return true
	}
	return n.tenantUndeclared(j.Tenant)
}

// tenantUndeclared tells whether a confirmed configuration has no such tenant: one that isn't
// confirmed may be from before the tenant was declared.
func (n *node) tenantUndeclared(tenant string) bool {
	return n.configFresh() && n.config.current.Tenants[tenant] == nil
}

// respondIfHidden answers a call that a job isn't there for, and tells whether it isn't. That a job is
// another tenant's is only said by a configuration confirmed after the call came: an older one
// may know the callers' tenant by its former name.
func (n *node) respondIfHidden(req *request, j *jobRecord) bool {
	switch {
	case n.jobVisible(req, j):
		return false
	case (j.Queue == req.queue || req.op == "job.put") && !n.configConfirmedSince(req):
		req.maybeApplied = true // it may be the very job that is handed in again
		n.awaitConfirmation(req, "the setup is not confirmed here")
	case req.tenant != "" && n.config.current.Tenants[req.tenant] == nil,
		req.op == "job.put" && n.config.current.Queues[req.queue] == nil:
		req.maybeApplied = true // who found them goes by a version before a renaming
		n.reject(req, "the queue or the tenant is not in the newest setup")
	case req.op == "job.put":
		n.respond(req, 409, 0, mustJSON(map[string]any{"error": "another job has this id"}))
	default:
		n.respondMissing(req)
	}
	return true
}

// awaitConfirmation keeps a request until a newer confirmation of the configuration, for a while,
// where one may still come.
func (n *node) awaitConfirmation(req *request, reason string) {
	if n.leases.CutOff() || len(n.config.awaiting) >= requestsMax {
		n.reject(req, reason)
		return
	}
	n.config.awaiting = append(n.config.awaiting, req)
	n.leases.PollNextTick(tickMs) // at the next tick, if none is on its way
}
