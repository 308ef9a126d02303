// Package lease grants and holds the leases of singleton roles: the owner of each
// shard, the agent of a worker, the central scheduler. At most one daemon holds a
// role at a time.
//
// Each core member grants a lease to one holder for DurationMs of its own steady
// clock, counted from when it grants: Granter. A majority makes the role held,
// counted from before it was asked for: Manager, which every daemon has. A new
// holder first counts the role's epoch up in a register, so that whatever an
// earlier holder still sends is recognised and fenced off. Leases are never stored:
// a member that starts waits for a whole lease before it grants.
//
// The rounds in which leases are renewed also prove contact with the quorum and
// carry the fleet's time: Clock. What a role is for is not known here; the daemon
// is told when a role is taken and when it is lost.
package lease

import "strings"

// Kind is what a role is for.
type Kind string

// The kinds of roles. They stand on disks and on the wire, and never change.
const (
	KindShard   Kind = "slice"   // owner of a shard of the jobs
	KindAgent   Kind = "agent"   // agent of a worker that no daemon stands beside
	KindCentral Kind = "central" // the central scheduler, of which there is one
)

// Central is the role of the central scheduler.
const Central = string(KindCentral)

// registerPrefix stands before a role in the name of its register.
const registerPrefix = "duty/"

// ShardRole is the role of a shard's owner.
//
// Example: lease.ShardRole("east")
func ShardRole(shard string) string { return string(KindShard) + "/" + shard }

// AgentRole is the role of a worker's agent.
//
// Example: lease.AgentRole("worker-1")
func AgentRole(worker string) string { return string(KindAgent) + "/" + worker }

// RegisterName is the name of the register that counts a role's epoch.
//
// Example: store.RegisterValue(lease.Register(lease.Central))
func RegisterName(role string) string { return registerPrefix + role }

// SplitRole returns a role's kind and the shard or worker it is for.
//
// Example: kind, shard := lease.SplitRole(role)
func SplitRole(role string) (kind Kind, subject string) {
	name, subject, _ := strings.Cut(role, "/")
	return Kind(name), subject
}

const (
	// DurationMs is how long a member grants a lease for: long enough for five
	// renewals, short enough that urgent work hardly misses its target.
	DurationMs = 1000
	// SlackMs is how much before its end a holder gives a lease up.
	SlackMs = 100
	// HeldMs is how long a holder keeps a lease, from when it asked; members
	// keep it for DurationMs, from when they granted it, which is later. So a
	// holder's steady clock may run slower than a member's by a tenth (900 of 1000)
	// before two could hold one role. Steady clocks of machines differ by less than
	// a thousandth; both read whole ms, which takes 2 of the 100; and a freeze or a
	// sleep counts on both, since they read the boot clock.
	HeldMs = DurationMs - SlackMs
)
