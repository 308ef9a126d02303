package daemon

import (
	"net"
	"strings"

	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/schema"
)

// handlePutConfig proposes a whole configuration. Only the register can decide whether
// it was accepted before or superseded, since this daemon's own copy may be outdated.
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
	change := n.startChange("setup", "setup", req.body, 0)
	change.changeID, change.request = id, req
}

// forwardToCore forwards a change of the configuration to a core member and reports
// whether it did. A machine outside the core may have a slow link, and a change moves
// the whole document to and from each member.
func (n *node) forwardToCore(req *request) bool {
	member := n.nearestCoreMember()
	if member == "" || req.hops > 0 {
		return false
	}
	n.forward(req, member)
	return true
}

// nearestCoreMember returns a core member that answers polls, preferably one of this
// daemon's zone. It returns "" if there is none or this daemon is a member itself.
func (n *node) nearestCoreMember() (nearest string) {
	if n.inCore() {
		return ""
	}
	for _, member := range n.core.Names() {
		if n.peers.Alive(member) && n.now-n.leases.LastResponseMs(member) < 2*lease.ColocatedPollIntervalMs &&
			(nearest == "" || n.peers.Zone(member) == n.Zone && n.peers.Zone(nearest) != n.Zone) {
			nearest = member
		}
	}
	return nearest
}

// handleLocateConfig returns the host of the core member that a configuration should
// be read from, or "" if it should be read from this daemon.
func (n *node) handleLocateConfig(req *request) {
	host, _, _ := net.SplitHostPort(n.peers.Addr(n.nearestCoreMember()))
	n.respond(req, 200, 0, mustJSON(map[string]any{"host": host}))
}

// handleSetZone adds a zone to the emptied zones or removes it from them.
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

// handleGetConfig returns the configuration once it has been confirmed by a poll sent
// after the request arrived. Thus a client never reads a version that is older than one
// acknowledged before its request.
func (n *node) handleGetConfig(req *request) {
	if !n.configConfirmedSince(req) {
		n.awaitConfirmation(req, "the setup is not confirmed here")
		return
	}
	history := make([]map[string]any, 0, len(n.config.record.PastVersions))
	for _, version := range n.config.record.PastVersions {
		history = append(
			history,
			map[string]any{
				"version": version.Version,
				"digest":  version.Digest,
				"queues":  version.Queues,
				"bytes":   version.Bytes,
				"at_ms":   version.AtMs,
			},
		)
	}
	emptied := n.config.record.EmptiedZones
	if emptied == nil {
		emptied = []string{}
	}
	document, _ := configuration.Inflate(n.config.record.Document)
	setup := string(document)
	if setup == "" {
		setup = "null"
	}
	n.respond(
		req,
		200,
		0,
		mustJSON(
			map[string]any{"version": n.config.record.Version, "setup": rawJSON(setup), "emptied": emptied, "history": history},
		),
	)
}
