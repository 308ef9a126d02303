package daemon

import (
	"slices"

	"otterchute/internal/codec"
	"otterchute/internal/configuration"
	"otterchute/internal/lease"
	"otterchute/internal/register"
	"otterchute/internal/schema"
	"otterchute/internal/wire"
)

type configState struct {
	current       *configuration.Configuration
	record        configuration.Record
	ballot        register.Ballot
	newestBallot  register.Ballot // the highest that any member has accepted
	confirmedMs   int64
	confirmedPoll uint64 // the newest poll that confirmed it
	readSentMs    int64
	nextRepairMs  int64
	readerCopy    configuration.ReaderValueCache
	awaiting      []*request // requests that name a queue not known here, until a newer confirmation
}

func newConfigState() configState {
	return configState{current: configuration.Empty(), confirmedMs: -1 << 40}
}

// configFresh tells whether the configuration was confirmed at a majority lately.
func (n *node) configFresh() bool { return n.now-n.config.confirmedMs <= configFreshMs }

// configConfirmedSince tells whether the configuration was confirmed by a poll that was sent
// after a call came: then no version acknowledged before the call is newer. Polls
// are counted for this, since times within one millisecond are in no order. After
// a freeze what was confirmed before it is old, though the call is older still.
func (n *node) configConfirmedSince(req *request) bool {
	return n.config.confirmedPoll > req.pollsBefore && n.configFresh()
}

// confirmConfig takes a round of answers: where a majority holds the same
// accepted ballot, that value is chosen, and if it is ours it is confirmed as
// of the time the round was sent.
func (n *node) confirmConfig(round *lease.Round) {
	votes := map[register.Ballot]int{}
	for _, response := range round.Responses {
		votes[response.Config]++
	}
	for _, from := range sortedKeys(round.Responses) {
		ballot := round.Responses[from].Config
		if n.config.newestBallot.Less(ballot) {
			n.config.newestBallot = ballot
		}
		if votes[ballot] < n.core.Majority() {
			continue
		}
		if ballot == n.config.ballot {
			n.config.confirmedMs, n.config.confirmedPoll = max(n.config.confirmedMs, round.SentMs),
				max(n.config.confirmedPoll, round.Seq)
		} else if n.config.ballot.Less(ballot) && n.now-n.config.readSentMs > 300 {
			n.config.readSentMs = n.now
			n.send(n.nearestMemberWithBallot(round, ballot), &wire.RegisterRead{SetVersion: n.core.Version, Register: "setup"})
		}
		return
	}
	if len(round.Responses) == len(n.core.Members) ||
		n.now-max(n.config.confirmedMs, n.leases.FirstPollMs()) > lease.ColocatedPollIntervalMs*2 {
		// The members differ: somebody's change stopped half way. Any daemon
		// may finish it; core members do, at random, so that few compete. One
		// that was away hears all first: it may be the only one that differs.
		if n.inCore() && n.now >= n.config.nextRepairMs {
			n.config.nextRepairMs = n.now + 200 + n.rand().Int64N(600)
			n.startChange("setup", "read", nil, 0)
		}
	}
}

// nearestMemberWithBallot picks whom to read a value from: of the members that hold it one in
// the own zone, or else any, so that not all daemons ask the same.
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
	var record configuration.Record
	if len(m.Value) > 0 && codec.Unmarshal(m.Value, &record) != nil {
		return
	}
	n.adoptConfig(m.Ballot, record)
}

// adoptConfig compiles a value; it counts only once a poll confirms its ballot.
func (n *node) adoptConfig(ballot register.Ballot, record configuration.Record) {
	n.config.readSentMs = 0                          // what was asked for has come: a newer one may be asked for at once
	record.AcceptedChanges = configuration.History{} // only a change of the register needs it
	if record.SameDocument(&n.config.record) {
		n.config.ballot = ballot
		if !slices.Equal(record.EmptiedZones, n.config.record.EmptiedZones) {
			n.config.current, n.config.record = n.config.current.WithEmptiedZones(record.EmptiedZones), record
			n.config.confirmedMs, n.config.confirmedPoll = -1<<40, 0
			n.log("zones_adopted", "emptied", record.EmptiedZones)
			n.leases.PollSoon()
		}
		return
	}
	compiled := n.precompiled
	if compiled == nil || compiled.Version != record.Version {
		var faults []schema.Fault
		if compiled, faults = record.Compile(); len(faults) > 0 {
			n.log("config_unreadable", "version", record.Version, "path", faults[0].Path, "reason", faults[0].Reason)
			return
		}
	}
	n.config.current, n.config.record, n.config.ballot = compiled.WithEmptiedZones(record.EmptiedZones), record, ballot
	n.adoptLimits()
	n.config.confirmedMs, n.config.confirmedPoll = -1<<40, 0
	n.log("config_adopted", "version", record.Version, "queues", len(compiled.Queues))
	n.leases.PollSoon()
}

func (n *node) tickConfig() {
	waiting, confirmed := n.config.awaiting[:0:0], []*request{}
	for _, req := range n.config.awaiting {
		switch {
		case n.configConfirmedSince(req):
			confirmed = append(confirmed, req)
		case n.leases.CutOff() || n.now-req.receivedMs > forwardMs*2/3:
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
