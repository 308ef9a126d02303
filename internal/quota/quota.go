// Package quota bounds what each tenant may have running over the whole fleet, while each
// shard's owner starts tasks by itself.
//
// One daemon counts a tenant: its Counter lends parts of the tenant's limit to the owners of
// shards, and each owner's Borrower starts nothing beyond what it holds. What must hold at any
// time, for each tenant and dimension that has a limit:
//
//	the sum, over all shards, of what tasks take that run or may run
//	<= the sum of what the shards' owners hold <= the limit
//
// but for one task: where nothing else is held, a unit may pass the limit by its last task, for
// else a task larger than the limit would never run.
//
// Nothing here is stored. What a shard uses follows from its jobs' records, which are at a
// quorum; so a shard's next owner holds what it uses, and a Counter that begins lends nothing
// until each shard has told it what it holds. A report binds its owner: from then on it uses no
// more than it said to keep, until the answer to that very report comes. An owner reports to
// counters of rising epochs only, and a counter takes reports of rising epochs of a shard only.
// So no two counters lend the same share, whatever is lost, late or sent twice, and whoever still
// believes to count.
//
// Limits change while all this goes on. Who goes by a version that lowers a limit, or may have
// skipped one that had a higher limit, gives up what it holds beyond use, and takes no grant that
// was on its way. A counter lends to no report by a later version than its own, and once a limit
// was lowered not before each shard has reported by that version.
//
// What ends makes room for another start only once the counter has told an owner that the sum is
// within the limit: it may be above it after a limit was lowered, or after a takeover, where ends
// that the former owner had not written down yet still count.
//
// Everything is a function of its arguments: there is no clock, network or disk here.
package quota

import "otterchute/internal/resource"

// Limit is a tenant's limit over all workers; a dimension that is 0 has none.
type Limit resource.Amount

// Unlimited tells whether no dimension has a limit.
func (l Limit) Unlimited() bool { return l == Limit{} }

// Admits tells whether a sum is within the limit.
func (l Limit) Admits(sum resource.Amount) bool {
	return (l.CPU == 0 || sum.CPU <= l.CPU) &&
		(l.Memory == 0 || sum.Memory <= l.Memory) &&
		(l.GPU == 0 || sum.GPU <= l.GPU)
}

// admitsUnit tells whether a unit is within the limit beside others. Alone it may pass the limit by
// its last task.
func (l Limit) admitsUnit(others, unit, task resource.Amount) bool {
	return l.Admits(others.Plus(unit)) || others == resource.Amount{} && l.Admits(unit.Minus(task))
}

// EverAdmits tells whether a unit may start once nothing else of its tenant is held.
func (l Limit) EverAdmits(unit, task resource.Amount) bool {
	return l.admitsUnit(resource.Amount{}, unit, task)
}

// LowerThan tells whether the limit is lower than another in some dimension.
func (l Limit) LowerThan(other Limit) bool {
	lower := func(a, b int64) bool { return a != 0 && (b == 0 || a < b) }
	return lower(l.CPU, other.CPU) || lower(l.Memory, other.Memory) || lower(l.GPU, other.GPU)
}

// scaled is a part of the limit, in percent; a dimension without a limit stays so.
func (l Limit) scaled(percent int64) Limit {
	scale := func(v int64) int64 {
		if v == 0 {
			return 0
		}
		return max(v*percent/100, 1)
	}
	return Limit{CPU: scale(l.CPU), Memory: scale(l.Memory), GPU: scale(l.GPU)}
}

// larger is the larger of two amounts, dimension by dimension.
func larger(a, b resource.Amount) resource.Amount {
	return resource.Amount{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), GPU: max(a.GPU, b.GPU)}
}

// smaller is the smaller of two amounts, dimension by dimension.
func smaller(a, b resource.Amount) resource.Amount {
	return resource.Amount{CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), GPU: min(a.GPU, b.GPU)}
}
