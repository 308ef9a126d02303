// Package quota enforces a resource limit for each tenant across the whole fleet, while the
// owner of each shard starts tasks independently.
//
// The limit of a tenant is managed by one daemon: its Counter lends parts of the limit to the
// owners of shards, and the Borrower of each owner starts no tasks beyond the amount it holds. The
// invariant, for each tenant and each dimension that has a limit:
//
//	the sum, over all shards, of the resources of tasks that run or may run
//	<= the sum of the amounts held by the owners of the shards <= the limit
//
// There is one exception: if nothing else is held, a unit may exceed the limit by its last task.
// Otherwise a task larger than the limit would never run.
//
// Nothing is stored here. The usage of a shard follows from the records of its jobs, which are
// replicated to a quorum. So a new owner of a shard starts by holding what the shard uses, and a
// new Counter lends nothing until every shard has reported what it holds. A report is binding:
// after it, the owner uses no more than the reported amount until it receives the grant that
// answers exactly this report. An owner reports only to counters of increasing epochs, and a
// counter accepts only reports of increasing epochs of a shard. So no two counters lend the same
// part of a limit, even if messages are lost, delayed or duplicated, and even if a superseded
// counter still runs.
//
// Limits may change at any time. A daemon that adopts a configuration version that lowers a limit,
// or that may have skipped a version with a higher limit, gives up what it holds beyond its usage
// and rejects grants that are in flight. A counter grants nothing for a report made under a later
// version than its own. After a limit was lowered, it lends only once every shard has reported
// under that version.
//
// Released resources may be used for another start only after the counter has confirmed that the
// sum is within the limit. The sum may be above the limit after the limit was lowered, and after a
// takeover, because finished tasks that the former owner had not recorded yet still count.
//
// Everything is a function of its arguments: there is no clock, network or disk here.
package quota

import "otterchute/internal/resource"

// Limit is a tenant's limit across all workers; a dimension that is 0 is unlimited.
type Limit resource.Amount

// Unlimited reports whether no dimension has a limit.
func (l Limit) Unlimited() bool { return l == Limit{} }

// Admits reports whether a sum is within the limit.
func (l Limit) Admits(sum resource.Amount) bool {
	return (l.CPU == 0 || sum.CPU <= l.CPU) &&
		(l.Memory == 0 || sum.Memory <= l.Memory) &&
		(l.GPU == 0 || sum.GPU <= l.GPU)
}

// admitsUnit reports whether a unit is within the limit in addition to others. If there are no
// others, it may exceed the limit by its last task.
func (l Limit) admitsUnit(others, unit, task resource.Amount) bool {
	return l.Admits(others.Plus(unit)) || others == resource.Amount{} && l.Admits(unit.Minus(task))
}

// AdmitsAlone reports whether a unit may start if nothing else is held for its tenant.
func (l Limit) AdmitsAlone(unit, task resource.Amount) bool {
	return l.admitsUnit(resource.Amount{}, unit, task)
}

// LowerThan reports whether the limit is lower than another in some dimension.
func (l Limit) LowerThan(other Limit) bool {
	lower := func(a, b int64) bool { return a != 0 && (b == 0 || a < b) }
	return lower(l.CPU, other.CPU) || lower(l.Memory, other.Memory) || lower(l.GPU, other.GPU)
}

// scaled returns the given percentage of the limit; an unlimited dimension stays unlimited.
func (l Limit) scaled(percent int64) Limit {
	scale := func(v int64) int64 {
		if v == 0 {
			return 0
		}
		return max(v*percent/100, 1)
	}
	return Limit{CPU: scale(l.CPU), Memory: scale(l.Memory), GPU: scale(l.GPU)}
}

// larger returns the maximum of two amounts by dimension.
func larger(a, b resource.Amount) resource.Amount {
	return resource.Amount{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), GPU: max(a.GPU, b.GPU)}
}

// smaller returns the minimum of two amounts by dimension.
func smaller(a, b resource.Amount) resource.Amount {
	return resource.Amount{CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), GPU: min(a.GPU, b.GPU)}
}
