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
func (n *node) handlePutConfig(a *request) {
	if !n.leases.InContact() {
		n.reject(a, "the core can't be reached from here")
		return
	}
	if a.config == nil {
		var faults []schema.Fault
		if a.config, faults = configuration.Parse(a.key, a.body); len(faults) > 0 {
			n.rejectFaults(a, 400, 0, faults)
			return
		}
	}
	id, faults := changeIDOf(a)
	if len(faults) > 0 {
		n.rejectFaults(a, 400, 0, faults)
		return
	}
	if n.forwardToCore(a) {
		return
	}
	o := n.startChange("setup", "setup", a.body, 0)
	o.change, o.request = id, a
}

// forwardToCore passes a change of the configuration on to a core member that answers
// polls, the own zone's first: a machine without a disk may have a thin line,
// and a change takes the whole document to and from each member.
func (n *node) forwardToCore(a *request) bool {
	best := n.nearestMember()
	if best == "" || a.hops > 0 {
		return false
	}
	n.forward(a, best)
	return true
}

// nearestMember gives a core member that answers polls, the own zone's first; none
// where this daemon is one itself.
func (n *node) nearestMember() (best string) {
	if n.inCore() {
		return ""
	}
	for _, m := range n.core.Names() {
		if n.peers.Alive(m) && n.now-n.leases.HeardMs(m) < 2*lease.PollColocatedMs &&
			(best == "" || n.peers.Zone(m) == n.Zone && n.peers.Zone(best) != n.Zone) {
			best = m
		}
	}
	return best
}

// handleLocateConfig names the machine that a configuration is best read from, where it is another.
func (n *node) handleLocateConfig(a *request) {
	host, _, _ := net.SplitHostPort(n.peers.Addr(n.nearestMember()))
	n.respond(a, 200, 0, mustJSON(map[string]any{"host": host}))
}

// handleSetZone empties a zone or opens it again, beside the document.
func (n *node) handleSetZone(a *request) {
	if !schema.ValidName(a.key) {
		n.rejectFaults(a, 400, 0, []schema.Fault{{Path: "site", Reason: "must be a name"}})
		return
	}
	if !n.leases.InContact() {
		n.reject(a, "the core can't be reached from here")
		return
	}
	if !n.forwardToCore(a) {
		n.startChange("setup", strings.TrimPrefix(a.op, "site."), []byte(a.key), 0).request = a
	}
}

// handleGetConfig tells a configuration that was confirmed after it was asked for, so that
// nobody reads an older one than was acknowledged before.
func (n *node) handleGetConfig(a *request) {
	if !n.configConfirmedSince(a) {
		n.awaitConfirmation(a, "the setup is not confirmed here")
		return
	}
	past := make([]map[string]any, 0, len(n.config.record.Past))
	for _, p := range n.config.record.Past {
		past = append(
			past,
			map[string]any{"version": p.Version, "digest": p.Digest, "queues": p.Queues, "bytes": p.Bytes, "at_ms": p.AtMs},
		)
	}
	emptied := n.config.record.Emptied
	if emptied == nil {
		emptied = []string{}
	}
	plain, _ := configuration.Inflate(n.config.record.Document)
	doc := string(plain)
	if doc == "" {
		doc = "null"
	}
	n.respond(
		a,
		200,
		0,
		mustJSON(
			map[string]any{"version": n.config.record.Version, "setup": rawJSON(doc), "emptied": emptied, "history": past},
		),
	)
}
