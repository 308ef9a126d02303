package daemon

import (
	"net"
	"strings"

	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/schema"
)

// handlePutConfig has a whole configuration accepted. Only the register can say whether it was
// accepted before, or lost: what this daemon itself knows may be old.
func (n *node) handlePutConfig(req *request) {
	if !n.leases.InContact() {
		n.reject(req, "the core can't be reached from here")
		return
	}
	if req.config == nil {
		var faults []schema.Fault
		if req.config, faults = configuration.Parse(req.key, req.body); len(faults) > 0 {
			n.rejectFaults(req, 400, 0, faults)
			return
		}
	}
	id, faults := changeIDOf(req)
	if len(faults) > 0 {
		n.rejectFaults(req, 400, 0, faults)
		return
	}
	if n.forwardToCore(req) {
		return
	}
	o := n.startChange("setup", "setup", req.body, 0)
	o.changeID, o.request = id, req
}

// forwardToCore passes a change of the configuration on to a core member that answers
// polls, the own zone's first: a machine without a disk may have a thin line,
// and a change takes the whole document to and from each member.
func (n *node) forwardToCore(req *request) bool {
	best := n.nearestMember()
	if best == "" || req.hops > 0 {
		return false
	}
	n.forward(req, best)
	return true
}

// nearestMember gives a core member that answers polls, the own zone's first; none
// where this daemon is one itself.
func (n *node) nearestMember() (best string) {
	if n.inCore() {
		return ""
	}
	for _, m := range n.core.Names() {
		if n.peers.Alive(m) && n.now-n.leases.LastResponseMs(m) < 2*lease.ColocatedPollIntervalMs &&
			(best == "" || n.peers.Zone(m) == n.Zone && n.peers.Zone(best) != n.Zone) {
			best = m
		}
	}
	return best
}

// handleLocateConfig names the machine that a configuration is best read from, where it is another.
func (n *node) handleLocateConfig(req *request) {
	host, _, _ := net.SplitHostPort(n.peers.Addr(n.nearestMember()))
	n.respond(req, 200, 0, mustJSON(map[string]any{"host": host}))
}

// handleSetZone empties a zone or opens it again, beside the document.
func (n *node) handleSetZone(req *request) {
	if !schema.ValidName(req.key) {
		n.rejectFaults(req, 400, 0, []schema.Fault{{Path: "site", Reason: "must be a name"}})
		return
	}
	if !n.leases.InContact() {
		n.reject(req, "the core can't be reached from here")
		return
	}
	if !n.forwardToCore(req) {
		n.startChange("setup", strings.TrimPrefix(req.op, "site."), []byte(req.key), 0).request = req
	}
}

// handleGetConfig tells a configuration that was confirmed after it was asked for, so that
// nobody reads an older one than was acknowledged before.
func (n *node) handleGetConfig(req *request) {
	if !n.configConfirmedSince(req) {
		n.awaitConfirmation(req, "the setup is not confirmed here")
		return
	}
	past := make([]map[string]any, 0, len(n.config.record.PastVersions))
	for _, p := range n.config.record.PastVersions {
		past = append(
			past,
			map[string]any{"version": p.Version, "digest": p.Digest, "queues": p.Queues, "bytes": p.Bytes, "at_ms": p.AtMs},
		)
	}
	emptied := n.config.record.EmptiedZones
	if emptied == nil {
		emptied = []string{}
	}
	plain, _ := configuration.Inflate(n.config.record.Document)
	doc := string(plain)
	if doc == "" {
		doc = "null"
	}
	n.respond(
		req,
		200,
		0,
		mustJSON(
			map[string]any{"version": n.config.record.Version, "setup": rawJSON(doc), "emptied": emptied, "history": past},
		),
	)
}
