package scheduler

import (
	"cmp"
	"slices"

	"otterchute/internal/resource"
)

// Run is a queueable run at a worker that could be stopped to make room.
type Run struct {
	Resources resource.Amount
	Urgency   int64
	RanMs     int64
}

// lostWork is the work that a stop throws away, in ms times thousandths of a core.
func (r Run) lostWork() int64 { return r.RanMs * max(r.Resources.CPU, 1) }

// Victims gives the positions of the runs to stop until so much room is on its way: the least
// urgent first, and of those the ones that lose the least work. Where all of them would not be
// enough, and partly is false, it gives none.
//
// Example: for _, at := range scheduler.Victims(runs, lacking, false) { stop(runs[at]) }
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
			continue // it holds nothing of what is lacking
		}
		lacking = lacking.Minus(r)
		victims = append(victims, index)
	}
	return victims
}
