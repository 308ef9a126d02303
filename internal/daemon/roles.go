package daemon

import (
	"otterchute/internal/lease"
	"otterchute/internal/register"
	"otterchute/internal/wire"
)

// This file starts and ends the work of each role of this daemon. Package lease decides
// which daemon holds a role.

// IncrementEpoch starts to increment a role's epoch in its register.
func (h host) IncrementEpoch(role string) {
	h.startChange(lease.RegisterName(role), "duty", []byte(role), 0)
}

// WokeMs returns when this daemon last resumed after a freeze, or started.
func (h host) WokeMs() int64 { return h.wokeMs }

// RoleTaken starts to serve a role under an epoch.
func (h host) RoleTaken(role string, epoch uint64) {
	switch kind, subject := lease.SplitRole(role); kind {
	case lease.KindShard:
		h.startShard(subject, epoch)
	case lease.KindAgent:
		h.startAgent(subject, epoch)
	case lease.KindCentral:
		h.startCentral(epoch)
	}
}

// RoleLost stops serving a role.
func (h host) RoleLost(role string) {
	switch kind, subject := lease.SplitRole(role); kind {
	case lease.KindShard:
		h.endShard(subject)
	case lease.KindAgent:
		delete(h.agents, subject)
	case lease.KindCentral:
		h.central = nil
	}
}

// HolderLost routes the requests again that were forwarded to a daemon that has lost a role.
func (h host) HolderLost(holder string) { h.retryForwarded(holder) }

// RoundAnswered uses the responses of a poll round to confirm the configuration.
func (h host) RoundAnswered(r *lease.Round) { h.confirmConfig(r) }

// decideEpoch increments a role's epoch in its register.
func decideEpoch(n *node, change *registerChange, current []byte) (register.Decision, []byte) {
	return n.leases.NextEpoch(string(change.argument), current)
}

func (n *node) onEpochChange(change *registerChange, outcome register.Outcome) {
	n.leases.OnEpochOutcome(string(change.argument), outcome, change.Value())
}

func (n *node) onPollResponse(from string, m *wire.PollResponse) { n.leases.OnResponse(from, m) }

func (n *node) tickPoll()  { n.leases.Tick() }
func (n *node) tickRoles() { n.leases.TickRoles() }

// clusterTime returns a lower bound of the cluster time in ms, or 0 while it is unknown.
func (n *node) clusterTime() int64 { return n.leases.Clock().Earliest(n.core, n.now) }

// latestClusterTime returns an upper bound of the cluster time in ms.
func (n *node) latestClusterTime() int64 { return n.leases.Clock().Latest(n.core, n.now) }

// onStop begins a graceful stop: it hands each role over to its next candidate.
func (n *node) onStop(evStop) {
	if n.leavingSinceMs != 0 {
		return
	}
	n.leavingSinceMs = n.now
	n.log("stopping", "roles", len(n.leases.Roles()))
	if n.inCore() {
		n.members.NotifySpares()
	}
	for _, role := range n.leases.Roles() {
		successor := ""
		if candidates := n.leases.Candidates(role, n.preferredZone(role)); len(candidates) > 0 {
			successor = candidates[0]
		}
		if n.leases.Serves(role) {
			n.leases.HandOff(role, successor)
		}
	}
}

// preferredZone returns the zone whose daemons are preferred for a role, or "" for none.
func (n *node) preferredZone(role string) string {
	kind, subject := lease.SplitRole(role)
	if agent := n.agents[subject]; kind == lease.KindAgent && agent != nil {
		return agent.zone
	}
	if kind == lease.KindShard {
		return subject // shards are named after their zones
	}
	return ""
}

// tickShutdown ends the process once all roles are handed over, or after
// shutdownTimeoutMs. A core member first waits for a successor.
func (n *node) tickShutdown() {
	if n.leavingSinceMs == 0 || n.members.AwaitsSuccessor() {
		return
	}
	if len(n.leases.Roles()) == 0 && n.now-n.leavingSinceMs > 300 || n.now-n.leavingSinceMs > shutdownTimeoutMs {
		n.emit(effExit{})
	}
}
