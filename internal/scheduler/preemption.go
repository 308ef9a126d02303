package scheduler

import (
	"cmp"
	"slices"

	"otterchute/internal/resource"
)

// Run is a running queueable task that could be preempted.
type Run struct {
	Resources resource.Amount
	Urgency   int64
	RanMs     int64
}

// lostWork returns the work that a preemption discards, in ms times thousandths of a core.
func (r Run) lostWork() int64 { return r.RanMs * max(r.Resources.CPU, 1) }

// Victims returns the indices of the runs to preempt in order to free an amount: the least
// urgent first, and among those the ones that lose the least work. If all runs together would
// not free enough, it returns none unless allowPartial is set.
//
// Example: for _, index := range scheduler.Victims(runs, lacking, false) { stop(runs[index]) }
func Victims(runs []Run, lacking resource.Amount, allowPartial bool) (victims []int) {
	order := make([]int, len(runs))
	total := resource.Amount{}
	for i, r := range runs {
		order[i], total = i, total.Plus(r.Resources)
	}
	if !allowPartial && !lacking.Fits(total) {
		return nil
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(runs[a].Urgency, runs[b].Urgency), cmp.Compare(runs[a].lostWork(), runs[b].lostWork()))
	})
	for _, index := range order {
		r := runs[index].Resources
		if lacking.Fits(resource.Amount{}) {
			break
		}
		if lacking.CPU <= 0 && r.Memory == 0 && r.GPU == 0 {
			continue // it uses nothing of what is lacking
		}
		lacking = lacking.Minus(r)
		victims = append(victims, index)
	}
	return victims
}
