// Package lease grants and holds the leases of singleton roles: the owner of each shard, the agent
// of a worker, the central scheduler. At most one daemon holds a role at a time.
//
// Each core member grants a lease to one holder for DurationMs of its own monotonic clock, starting
// when it grants: see Granter. A daemon holds a role once a majority has granted the lease, and
// counts the lease from before it sent the request: see Manager, which every daemon has. A new
// holder first increments the role's epoch in a register, so that late messages of an earlier
// holder are recognized and fenced off. Leases are never stored: after a start, a member waits for
// one whole lease before it grants.
//
// The rounds of polls that renew leases also prove contact with the quorum and carry the cluster's
// time: see Clock. This package doesn't know what a role is for; it notifies the daemon when a role
// is taken and when it is lost.
package lease

import "strings"

// Kind is the purpose of a role.
type Kind string

// The kinds of roles. Their values are stored on disk and sent on the wire, and never change.
const (
	KindShard   Kind = "slice"   // owner of a shard of the jobs
	KindAgent   Kind = "agent"   // agent of a worker without a colocated daemon
	KindCentral Kind = "central" // the one central scheduler
)

// Central is the role of the central scheduler.
const Central = string(KindCentral)

// registerPrefix precedes a role in the name of its register.
const registerPrefix = "duty/"

// ShardRole returns the role of a shard's owner.
//
// Example: lease.ShardRole("east")
func ShardRole(shard string) string { return string(KindShard) + "/" + shard }

// AgentRole returns the role of a worker's agent.
//
// Example: lease.AgentRole("worker-1")
func AgentRole(worker string) string { return string(KindAgent) + "/" + worker }

// RegisterName returns the name of the register that holds a role's epoch.
//
// Example: store.RegisterValue(lease.RegisterName(lease.Central))
func RegisterName(role string) string { return registerPrefix + role }

// SplitRole returns a role's kind and the shard or worker it is for.
//
// Example: kind, shard := lease.SplitRole(role)
func SplitRole(role string) (kind Kind, subject string) {
	name, subject, _ := strings.Cut(role, "/")
	return Kind(name), subject
}

const (
	// DurationMs is how long a member grants a lease for: long enough for five renewals, and short
	// enough that urgent work hardly misses its target when a holder fails.
	DurationMs = 1000
	// SlackMs is how long before its end a holder gives up a lease.
	SlackMs = 100
	// HeldMs is how long a holder keeps a lease, starting when it sent the request; members keep it
	// for DurationMs, starting when they granted it, which is later. So a holder's monotonic clock
	// may run slower than a member's by a tenth (900 of 1000) before two daemons could hold one
	// role. Monotonic clocks of machines differ by less than a thousandth. Both sides read whole
	// milliseconds, which uses 2 of the 100. A freeze or suspend counts on both sides, since they
	// read the boot clock.
	HeldMs = DurationMs - SlackMs
)
