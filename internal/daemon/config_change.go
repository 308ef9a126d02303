package daemon

import (
	"crypto/sha256"
	"slices"

	"otterchute/internal/configuration"
	"otterchute/internal/register"
	"otterchute/internal/schema"
)

// decideConfig replaces the configuration if the change builds on the current
// version. A change that was accepted before leaves the register as it is, even if
// later versions have been accepted since.
func decideConfig(n *node, change *registerChange, current []byte) (register.Decision, []byte) {
	record, err := configuration.DecodeRecord(current)
	switch {
	case err != nil:
		return register.Fail, nil
	case record.AcceptedChanges.Contains(change.changeID):
		return register.Keep, nil
	case record.Version != change.changeID.Base:
		return register.Refuse, nil
	}
	currentConfig := n.configOf(&record)
	if currentConfig == nil {
		return register.Fail, nil
	}
	next := record.Next(change.changeID, change.argument, n.clusterTime(), currentConfig, change.proposedConfig())
	return register.Replace, next.Encode()
}

// proposedConfig returns the configuration that a change proposes; nil if its document can't be compiled.
func (change *registerChange) proposedConfig() *configuration.Configuration {
	if change.request != nil && change.request.config != nil {
		return change.request.config
	}
	compiled, _ := configuration.Compile(change.changeID.Version, change.argument)
	return compiled
}

// configOf returns the configuration of a record's document, which is nil if that is damaged.
func (n *node) configOf(record *configuration.Record) *configuration.Configuration {
	switch {
	case record.Version == 0:
		return configuration.Empty()
	case record.SameDocument(&n.config.record):
		return n.config.current
	}
	compiled, _ := record.Compile()
	return compiled
}

// decideEmptiedZones adds a zone to the emptied zones or removes it from them,
// without changing the configuration document. The change has no base version: it
// applies to whichever version is current.
func decideEmptiedZones(_ *node, change *registerChange, current []byte) (register.Decision, []byte) {
	record, err := configuration.DecodeRecord(current)
	if err != nil {
		return register.Fail, nil
	}
	zone := string(change.argument)
	zones := slices.DeleteFunc(slices.Clone(record.EmptiedZones), func(s string) bool { return s == zone })
	if change.kind == "empty" {
		zones = append(zones, zone)
		slices.Sort(zones)
	}
	record.EmptiedZones = zones
	return register.Replace, record.Encode()
}

// onZonesChange responds to the request that handleSetZone started.
func (n *node) onZonesChange(change *registerChange, outcome register.Outcome) {
	if change.request == nil {
		return
	}
	if outcome != register.Done {
		n.reject(change.request, "outcome unknown: send it again")
		return
	}
	record, err := configuration.DecodeRecord(change.Value())
	if err == nil && n.config.ballot.Less(change.ValueBallot()) {
		n.adoptConfig(change.ValueBallot(), record)
	}
	n.log("zones_accepted", "emptied", record.EmptiedZones)
	n.respond(change.request, 200, 0, mustJSON(map[string]any{"emptied": append([]string{}, record.EmptiedZones...)}))
}

// onConfigChange responds to the request that handlePutConfig started.
func (n *node) onConfigChange(change *registerChange, outcome register.Outcome) {
	record, err := configuration.DecodeRecord(change.Value())
	if change.request == nil || err != nil {
		return
	}
	switch outcome {
	case register.Done:
		// If the change was accepted before and the current document is newer, that
		// document arrives after a poll and is compiled on another thread.
		if record.Version == change.changeID.Version && n.config.ballot.Less(change.ValueBallot()) {
			n.precompiled = change.request.config
			n.adoptConfig(change.ValueBallot(), record)
			n.precompiled = nil
		}
		n.log("config_accepted", "version", change.changeID.Version, "current", record.Version)
		n.respondAccepted(change)
	case register.Refused:
		n.respondRefused(change, &record)
	default:
		n.respond(
			change.request,
			503,
			1000,
			mustJSON(map[string]any{"error": "outcome unknown: read the current setup, then send the same version again"}),
		)
	}
}

// changeIDOf returns the identity of the configuration change in a request, or the
// faults of the request.
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

// handleFindChange reports whether a configuration change was accepted. It is for a
// client that no longer has the document, since the change is one of single items and
// its base version is long outdated. It runs a change of the register, so the value
// that it reports is held by a majority.
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
	change := n.startChange("setup", "taken", nil, 0)
	change.changeID, change.request = id, req
}

// decideFindChange keeps the configuration. It refuses the change only if it was not
// accepted and can't be accepted any more; otherwise an earlier attempt of it may still
// take effect.
func decideFindChange(_ *node, change *registerChange, current []byte) (register.Decision, []byte) {
	record, err := configuration.DecodeRecord(current)
	switch {
	case err != nil:
		return register.Fail, nil
	case record.AcceptedChanges.Contains(change.changeID) || record.Version == change.changeID.Base:
		return register.Keep, nil
	}
	return register.Refuse, nil
}

// onFindChange responds to the request that handleFindChange started.
func (n *node) onFindChange(change *registerChange, outcome register.Outcome) {
	record, err := configuration.DecodeRecord(change.Value())
	switch {
	case outcome == register.Unknown || err != nil:
		n.reject(change.request, "outcome unknown: send it again")
	case outcome == register.Refused:
		n.respondRefused(change, &record)
	case record.AcceptedChanges.Contains(change.changeID):
		n.respondAccepted(change)
	default:
		n.reject(change.request, "not accepted yet, and its base is current: send it again")
	}
}

// respondAccepted acknowledges a change, even if later versions have been accepted since.
func (n *node) respondAccepted(change *registerChange) {
	n.respond(change.request, 200, 0, mustJSON(map[string]any{"version": change.changeID.Version}))
}

// respondRefused reports that another version is current. If the history no longer
// reaches back far enough to show that the change was not accepted, it reports an
// unknown outcome instead.
func (n *node) respondRefused(change *registerChange, record *configuration.Record) {
	if !record.AcceptedChanges.Covers(change.changeID) {
		n.count("changes_forgotten")
		n.reject(change.request, "outcome unknown: too many versions were accepted since")
		return
	}
	n.respond(
		change.request,
		409,
		0,
		mustJSON(map[string]any{"error": "another version stands", "current": record.Version}),
	)
}
