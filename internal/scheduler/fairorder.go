package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"otterchute/internal/resource"
)

// FairRequest is what the order of requests for room goes by.
type FairRequest struct {
	Precedence  int64 // higher ones come first
	Tenant      string
	Share       float64 // of its tenant before, see WeightedShare; the same in all its requests
	AddedShare  float64 // to that share, where the request gets what it asks for
	SubmittedMs int64
	Job         string
	Step        int64
}

// WeightedShare is the share of all room that an amount takes in the dimension where that is the
// most, divided by a tenant's weight. A weight of 0 counts as 1.
//
// Example: request.Share = scheduler.WeightedShare(used, capacity, tenant.Weight)
func WeightedShare(used, all resource.Amount, weight float64) (share float64) {
	u, a := parts(used), parts(all)
	for i := range u {
		if a[i] > 0 {
			share = max(share, float64(u[i])/float64(a[i]))
		}
	}
	if weight <= 0 {
		weight = 1
	}
	return share / weight
}

// FairOrder gives the positions of requests in the order in which they get room: by precedence,
// and within one by weighted max-min fairness. The tenant with the least share is next with its
// oldest request, which adds to its share. Among equal shares the older request goes first, so
// requests of one tenant, or without any, go by age.
//
// Example: for _, at := range scheduler.FairOrder(requests) { allocate(requests[at]) }
func FairOrder(requests []FairRequest) []int {
	byAge := make([]int, len(requests))
	for i := range byAge {
		byAge[i] = i
	}
	slices.SortFunc(byAge, func(a, b int) int {
		return cmp.Or(cmp.Compare(requests[b].Precedence, requests[a].Precedence), compareAge(&requests[a], &requests[b]))
	})
	order, shares := make([]int, 0, len(requests)), map[string]float64{}
	for len(byAge) > 0 {
		precedence, end := requests[byAge[0]].Precedence, 1
		for end < len(byAge) && requests[byAge[end]].Precedence == precedence {
			end++
		}
		order = appendFairly(order, requests, byAge[:end], shares)
		byAge = byAge[end:]
	}
	return order
}

func compareAge(a, b *FairRequest) int {
	return cmp.Or(cmp.Compare(a.SubmittedMs, b.SubmittedMs), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step))
}

// appendFairly orders the requests of one precedence, which come by age. What those before them
// add to their tenants' shares is kept in shares.
func appendFairly(order []int, requests []FairRequest, byAge []int, shares map[string]float64) []int {
	lines := map[string]*tenantLine{}
	var turns tenantLines
	for _, at := range byAge {
		r := &requests[at]
		line := lines[r.Tenant]
		if line == nil {
			if _, known := shares[r.Tenant]; !known {
				shares[r.Tenant] = r.Share
			}
			line = &tenantLine{share: shares[r.Tenant], requests: requests}
			lines[r.Tenant], turns = line, append(turns, line)
		}
		line.waiting = append(line.waiting, at)
	}
	heap.Init(&turns)
	for len(turns) > 0 {
		line := turns[0]
		at := line.waiting[0]
		order, line.waiting = append(order, at), line.waiting[1:]
		line.share += requests[at].AddedShare
		shares[requests[at].Tenant] = line.share
		if len(line.waiting) == 0 {
			heap.Pop(&turns)
		} else {
			heap.Fix(&turns, 0)
		}
	}
	return order
}

// tenantLine is one tenant's requests of one precedence, the oldest first.
type tenantLine struct {
	share    float64
	waiting  []int
	requests []FairRequest
}

// tenantLines is a heap: the tenant with the least share is on top.
type tenantLines []*tenantLine

func (l tenantLines) Len() int      { return len(l) }
func (l tenantLines) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *tenantLines) Push(x any)   { *l = append(*l, x.(*tenantLine)) }
func (l tenantLines) Less(i, j int) bool {
	a, b := l[i], l[j]
	return cmp.Or(cmp.Compare(a.share, b.share), compareAge(&a.requests[a.waiting[0]], &b.requests[b.waiting[0]])) < 0
}

func (l *tenantLines) Pop() any {
	last := len(*l) - 1
	line := (*l)[last]
	*l = (*l)[:last]
	return line
}
