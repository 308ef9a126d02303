package daemon

import (
	"crypto/sha256"
	"slices"

	"otterchute/internal/codec"
	"otterchute/internal/configuration"
	"otterchute/internal/register"
	"otterchute/internal/schema"
)

// changeConfig takes an order that builds on what stands. One that was taken
// before leaves it as it is, whatever came since.
func changeConfig(n *node, o *registerChange, current []byte) (register.Decision, []byte) {
	var cur configuration.Record
	switch {
	case len(current) > 0 && codec.Unmarshal(current, &cur) != nil:
		return register.Fail, nil
	case cur.AcceptedChanges.Contains(o.changeID):
		return register.Keep, nil
	case cur.Version != o.changeID.Base:
		return register.Refuse, nil
	}
	return register.Replace, codec.Append(nil, cur.Next(o.changeID, o.arg, n.fleetTime()))
}

// changeEmptiedZones empties a zone beside the document, or takes that back. It
// builds on no version: whatever stands, the zone's word is added to it.
func changeEmptiedZones(_ *node, o *registerChange, current []byte) (register.Decision, []byte) {
	var cur configuration.Record
	if len(current) > 0 && codec.Unmarshal(current, &cur) != nil {
		return register.Fail, nil
	}
	zone := string(o.arg)
	zones := slices.DeleteFunc(slices.Clone(cur.EmptiedZones), func(s string) bool { return s == zone })
	if o.kind == "empty" {
		zones = append(zones, zone)
		slices.Sort(zones)
	}
	cur.EmptiedZones = zones
	return register.Replace, codec.Append(nil, cur)
}

func (n *node) zonesChanged(o *registerChange, outcome register.Outcome) {
	if o.request == nil {
		return
	}
	if outcome != register.Done {
		n.reject(o.request, "outcome unknown: send it again")
		return
	}
	var next configuration.Record
	if codec.Unmarshal(o.Value(), &next) == nil && n.config.ballot.Less(o.ValueBallot()) {
		n.adoptConfig(o.ValueBallot(), next)
	}
	n.log("zones_accepted", "emptied", next.EmptiedZones)
	n.respond(o.request, 200, 0, mustJSON(map[string]any{"emptied": append([]string{}, next.EmptiedZones...)}))
}

func (n *node) configChanged(o *registerChange, outcome register.Outcome) {
	var cur configuration.Record
	if o.request == nil || len(o.Value()) > 0 && codec.Unmarshal(o.Value(), &cur) != nil {
		return
	}
	switch outcome {
	case register.Done:
		// A newer document, where the order was taken before, comes by the polls,
		// compiled on another thread.
		if cur.Version == o.changeID.Version && n.config.ballot.Less(o.ValueBallot()) {
			n.precompiled = o.request.config
			n.adoptConfig(o.ValueBallot(), cur)
			n.precompiled = nil
		}
		n.log("config_accepted", "version", o.changeID.Version, "current", cur.Version)
		n.respondAccepted(o)
	case register.Refused:
		n.respondRefused(o, &cur)
	default:
		n.respond(
			o.request,
			503,
			1000,
			mustJSON(map[string]any{"error": "outcome unknown: read the current setup, then send the same version again"}),
		)
	}
}

// changeIDOf gives the identity of the order in a request, and what is wrong with it.
func changeIDOf(req *request) (configuration.ChangeID, []schema.Fault) {
	version, faults := configuration.ParseVersion(req.key)
	if len(faults) > 0 {
		return configuration.ChangeID{}, faults
	}
	id := configuration.ChangeID{Version: version, Base: req.base}
	if req.base < 0 {
		id.Base = version - 1
	}
	switch {
	case id.Version <= id.Base:
		return id, []schema.Fault{{Path: "version", Reason: "must be higher than the one it builds on"}}
	case len(req.digest) == sha256.Size:
		id.Digest = [sha256.Size]byte(req.digest)
	case len(req.digest) > 0:
		return id, []schema.Fault{{Path: "digest", Reason: "must be a SHA-256"}}
	case req.config != nil && req.config.Digest() != [sha256.Size]byte{}:
		id.Digest = req.config.Digest()
	default:
		id.Digest = sha256.Sum256(req.body)
	}
	return id, nil
}

// handleFindChange tells whether an order was accepted, for one whose document is not
// at hand any more: a change by items that built on a version long passed. The
// register itself is asked, and what it says stands at a majority then.
func (n *node) handleFindChange(req *request) {
	if !n.leases.InContact() {
		n.reject(req, "the core can't be reached from here")
		return
	}
	id, faults := changeIDOf(req)
	if len(faults) > 0 {
		n.rejectFaults(req, 400, 0, faults)
		return
	}
	if n.forwardToCore(req) {
		return
	}
	o := n.startChange("setup", "taken", nil, 0)
	o.changeID, o.request = id, req
}

// findChangeDecision leaves the configuration as it stands. What isn't taken, and can't be any
// more, is refused: only then is no try of it left that may yet take effect.
func findChangeDecision(_ *node, o *registerChange, current []byte) (register.Decision, []byte) {
	var cur configuration.Record
	switch {
	case len(current) > 0 && codec.Unmarshal(current, &cur) != nil:
		return register.Fail, nil
	case cur.AcceptedChanges.Contains(o.changeID) || cur.Version == o.changeID.Base:
		return register.Keep, nil
	}
	return register.Refuse, nil
}

// changeFound answers handleFindChange.
func (n *node) changeFound(o *registerChange, outcome register.Outcome) {
	var cur configuration.Record
	switch {
	case outcome == register.Unknown || len(o.Value()) > 0 && codec.Unmarshal(o.Value(), &cur) != nil:
		n.reject(o.request, "outcome unknown: send it again")
	case outcome == register.Refused:
		n.respondRefused(o, &cur)
	case cur.AcceptedChanges.Contains(o.changeID):
		n.respondAccepted(o)
	default:
		n.reject(o.request, "not accepted yet, and its base is current: send it again")
	}
}

// respondAccepted acknowledges an order, whatever was accepted since.
func (n *node) respondAccepted(o *registerChange) {
	n.respond(o.request, 200, 0, mustJSON(map[string]any{"version": o.changeID.Version}))
}

// respondRefused says that another version stands: only of an order that surely
// was not accepted, else its outcome is unknown.
func (n *node) respondRefused(o *registerChange, cur *configuration.Record) {
	if !cur.AcceptedChanges.Covers(o.changeID) {
		n.count("changes_forgotten")
		n.reject(o.request, "outcome unknown: too many versions were accepted since")
		return
	}
	n.respond(o.request, 409, 0, mustJSON(map[string]any{"error": "another version stands", "current": cur.Version}))
}
