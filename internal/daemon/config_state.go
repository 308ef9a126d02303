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
	requestedMs   int64
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
func (n *node) confirmConfig(r *lease.Round) {
	votes := map[register.Ballot]int{}
	for _, a := range r.Responses {
		votes[a.Config]++
	}
	for _, from := range sortedKeys(r.Responses) {
		b := r.Responses[from].Config
		if n.config.newestBallot.Less(b) {
			n.config.newestBallot = b
		}
		if votes[b] < n.core.Majority() {
			continue
		}
		if b == n.config.ballot {
			n.config.confirmedMs, n.config.confirmedPoll = max(n.config.confirmedMs, r.SentMs),
				max(n.config.confirmedPoll, r.Seq)
		} else if n.config.ballot.Less(b) && n.now-n.config.requestedMs > 300 {
			n.config.requestedMs = n.now
			n.send(n.nearestWith(r, b), &wire.RegisterRead{SetVersion: n.core.Version, Register: "setup"})
		}
		return
	}
	if len(r.Responses) == len(n.core.Members) ||
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

// nearestWith picks whom to read a value from: of the members that hold it one in
// the own zone, or else any, so that not all daemons ask the same.
func (n *node) nearestWith(r *lease.Round, b register.Ballot) string {
	var near, all []string
	for _, from := range sortedKeys(r.Responses) {
		if r.Responses[from].Config != b {
			continue
		}
		all = append(all, from)
		if n.peers.Zone(from) == n.Zone {
			near = append(near, from)
		}
	}
	if len(near) > 0 {
		all = near
	}
	return all[n.rand().IntN(len(all))]
}

func (n *node) onRegisterValue(_ string, m *wire.RegisterValue) {
	n.acceptMissedValue(m)
	if m.Register != "setup" || !n.config.ballot.Less(m.Ballot) {
		return
	}
	var d configuration.Record
	if len(m.Value) > 0 && codec.Unmarshal(m.Value, &d) != nil {
		return
	}
	n.adoptConfig(m.Ballot, d)
}

// adoptConfig compiles a value; it counts only once a poll confirms its ballot.
func (n *node) adoptConfig(b register.Ballot, d configuration.Record) {
	n.config.requestedMs = 0                    // what was asked for has come: a newer one may be asked for at once
	d.AcceptedChanges = configuration.History{} // only a change of the register needs it
	if d.SameDocument(&n.config.record) {
		n.config.ballot = b
		if !slices.Equal(d.EmptiedZones, n.config.record.EmptiedZones) {
			n.config.current, n.config.record = n.config.current.WithEmptiedZones(d.EmptiedZones), d
			n.config.confirmedMs, n.config.confirmedPoll = -1<<40, 0
			n.log("zones_adopted", "emptied", d.EmptiedZones)
			n.leases.PollSoon()
		}
		return
	}
	c := n.precompiled
	if c == nil || c.Version != d.Version {
		var faults []schema.Fault
		if c, faults = d.Compile(); len(faults) > 0 {
			n.log("config_unreadable", "version", d.Version, "path", faults[0].Path, "reason", faults[0].Reason)
			return
		}
	}
	n.config.current, n.config.record, n.config.ballot = c.WithEmptiedZones(d.EmptiedZones), d, b
	n.adoptLimits()
	n.config.confirmedMs, n.config.confirmedPoll = -1<<40, 0
	n.log("config_adopted", "version", d.Version, "queues", len(c.Queues))
	n.leases.PollSoon()
}

func (n *node) tickConfig() {
	kept, again := n.config.awaiting[:0:0], []*request{}
	for _, req := range n.config.awaiting {
		switch {
		case n.configConfirmedSince(req):
			again = append(again, req)
		case n.leases.CutOff() || n.now-req.receivedMs > forwardMs*2/3:
			n.reject(req, "the setup is not confirmed here")
		default:
			kept = append(kept, req)
		}
	}
	n.config.awaiting = kept
	for _, req := range again {
		n.handleRequest(req)
	}
}
