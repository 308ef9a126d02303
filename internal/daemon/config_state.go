package daemon

import (
	"slices"

	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/register"
	"otterchute/internal/schema"
	"otterchute/internal/wire"
)

// configState holds this daemon's copy of the configuration and how recently a
// majority of the core confirmed it.
type configState struct {
	current       *configuration.Configuration
	record        configuration.Record
	ballot        register.Ballot
	newestBallot  register.Ballot // the highest that any member has accepted
	confirmedMs   int64           // when the newest poll that confirmed it was sent
	confirmedPoll uint64          // the newest poll that confirmed it
	readSentMs    int64           // when a newer value was last requested; 0 if it has arrived
	nextRepairMs  int64           // the earliest time for another repair of the register
	readerCopy    configuration.ReaderValueCache
	awaiting      []*request // requests that wait for a newer confirmation
}

func newConfigState() configState {
	return configState{current: configuration.Empty(), confirmedMs: -1 << 40}
}

// configFresh reports whether a majority confirmed the configuration within configFreshMs.
func (n *node) configFresh() bool { return n.now-n.config.confirmedMs <= configFreshMs }

// configConfirmedSince reports whether the configuration was confirmed by a poll sent
// after a request arrived. If so, no version that was acknowledged before the request is
// newer. Polls are compared by number, since times within one millisecond have no order.
// Freshness is checked too: after a freeze, a confirmation from before the freeze is
// outdated even if its poll was sent after the request arrived.
func (n *node) configConfirmedSince(req *request) bool {
	return n.config.confirmedPoll > req.pollsBefore && n.configFresh()
}

// confirmConfig evaluates a round of poll responses. If a majority has accepted the
// same ballot, the value of that ballot is chosen. If this daemon holds that value, it
// is confirmed as of the time when the round was sent; otherwise it is requested.
func (n *node) confirmConfig(round *lease.Round) {
	votes := map[register.Ballot]int{}
	for _, response := range round.Responses {
		votes[response.Config]++
	}
	for _, from := range sortedKeys(round.Responses) {
		accepted := round.Responses[from].Config
		if n.config.newestBallot.Less(accepted) {
			n.config.newestBallot = accepted
		}
		if votes[accepted] < n.core.Majority() {
			continue
		}
		if accepted == n.config.ballot {
			n.config.confirmedMs, n.config.confirmedPoll = max(n.config.confirmedMs, round.SentMs),
				max(n.config.confirmedPoll, round.Seq)
		} else if n.config.ballot.Less(accepted) && n.now-n.config.readSentMs > 300 {
			n.config.readSentMs = n.now
			n.send(n.nearestMemberWithBallot(round, accepted), &wire.RegisterRead{SetVersion: n.core.Version, Register: "setup"})
		}
		return
	}
	if len(round.Responses) == len(n.core.Members) ||
		n.now-max(n.config.confirmedMs, n.leases.FirstPollMs()) > lease.ColocatedPollIntervalMs*2 {
		// The members differ because a change was interrupted. Any daemon may finish
		// it; only core members do, after a random delay, so that few compete. A member
		// that was away waits for the responses of all members first, since it may be
		// the only one that differs.
		if n.inCore() && n.now >= n.config.nextRepairMs {
			n.config.nextRepairMs = n.now + 200 + n.rand().Int64N(600)
			n.startChange("setup", "read", nil, 0)
		}
	}
}

// nearestMemberWithBallot picks a member to read the value of a ballot from: a random one
// in this daemon's zone if possible, else a random one of all, to spread the load.
func (n *node) nearestMemberWithBallot(round *lease.Round, ballot register.Ballot) string {
	var sameZone, candidates []string
	for _, from := range sortedKeys(round.Responses) {
		if round.Responses[from].Config != ballot {
			continue
		}
		candidates = append(candidates, from)
		if n.peers.Zone(from) == n.Zone {
			sameZone = append(sameZone, from)
		}
	}
	if len(sameZone) > 0 {
		candidates = sameZone
	}
	return candidates[n.rand().IntN(len(candidates))]
}

func (n *node) onRegisterValue(_ string, m *wire.RegisterValue) {
	n.acceptMissedValue(m)
	if m.Register != "setup" || !n.config.ballot.Less(m.Ballot) {
		return
	}
	record, err := configuration.DecodeRecord(m.Value)
	if err != nil {
		return
	}
	n.adoptConfig(m.Ballot, record)
}

// adoptConfig compiles a value and makes it the current one. It is not confirmed until
// a poll confirms its ballot.
func (n *node) adoptConfig(newBallot register.Ballot, newRecord configuration.Record) {
	n.config.readSentMs = 0                             // the value has arrived, so a newer one may be requested at once
	newRecord.AcceptedChanges = configuration.History{} // needed only to change the register
	if newRecord.SameDocument(&n.config.record) {
		n.config.ballot = newBallot
		if !slices.Equal(newRecord.EmptiedZones, n.config.record.EmptiedZones) {
			n.config.current, n.config.record = n.config.current.WithEmptiedZones(newRecord.EmptiedZones), newRecord
			n.config.confirmedMs, n.config.confirmedPoll = -1<<40, 0
			n.log("zones_adopted", "emptied", newRecord.EmptiedZones)
			n.leases.PollSoon()
		}
		return
	}
	compiled := n.precompiled
	if compiled == nil || compiled.Version != newRecord.Version {
		var faults []schema.Fault
		if compiled, faults = newRecord.Compile(); len(faults) > 0 {
			n.log("config_unreadable", "version", newRecord.Version, "path", faults[0].Path, "reason", faults[0].Reason)
			return
		}
	}
	previous := n.config.current
	n.config.current, n.config.record, n.config.ballot =
		newRecord.Complete(compiled), newRecord, newBallot
	n.adoptLimits()
	n.rebindRenamedQueues(previous)
	n.config.confirmedMs, n.config.confirmedPoll = -1<<40, 0
	n.log("config_adopted", "version", newRecord.Version, "queues", len(compiled.Queues))
	n.leases.PollSoon()
}

// tickConfig handles the requests that waited for a confirmation which has arrived, and
// rejects those that have waited too long.
func (n *node) tickConfig() {
	waiting, confirmed := n.config.awaiting[:0:0], []*request{}
	for _, req := range n.config.awaiting {
		switch {
		case n.configConfirmedSince(req):
			confirmed = append(confirmed, req)
		case n.leases.CutOff() || n.now-req.receivedMs > forwardTimeoutMs*2/3:
			n.reject(req, "the setup is not confirmed here")
		default:
			waiting = append(waiting, req)
		}
	}
	n.config.awaiting = waiting
	for _, req := range confirmed {
		n.handleRequest(req)
	}
}
