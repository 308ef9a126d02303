package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"otterchute/internal/resource"
)

// FairRequest is a request for capacity as FairOrder sees it.
type FairRequest struct {
	Precedence  int64 // higher ones come first
	Tenant      string
	Share       float64 // current share of the tenant, see WeightedShare; the same in all requests of the tenant
	AddedShare  float64 // increase of the share if the request is granted
	SubmittedMs int64
	Job         string
	Step        int64
}

// WeightedShare returns the dominant share of an amount, which is its largest share of the total
// capacity in any dimension, divided by the tenant's weight. A weight of 0 counts as 1.
//
// Example: request.Share = scheduler.WeightedShare(used, capacity, tenant.Weight)
func WeightedShare(used, all resource.Amount, weight float64) (share float64) {
	usedParts, allParts := components(used), components(all)
	for i := range usedParts {
		if allParts[i] > 0 {
			share = max(share, float64(usedParts[i])/float64(allParts[i]))
		}
	}
	if weight <= 0 {
		weight = 1
	}
	return share / weight
}

// FairOrder returns the indices of requests in the order in which they are allocated: by
// precedence, and within one precedence by weighted max-min fairness. The tenant with the least
// share is next with its oldest request, which adds to its share. Of equal shares the older
// request is first, so requests of one tenant, or without a tenant, are ordered by age.
//
// Example: for _, index := range scheduler.FairOrder(requests) { allocate(requests[index]) }
func FairOrder(requests []FairRequest) []int {
	indices := make([]int, len(requests))
	for i := range indices {
		indices[i] = i
	}
	slices.SortFunc(indices, func(a, b int) int {
		return cmp.Or(cmp.Compare(requests[b].Precedence, requests[a].Precedence), compareAge(&requests[a], &requests[b]))
	})
	order, shares := make([]int, 0, len(requests)), map[string]float64{}
	for len(indices) > 0 {
		precedence, end := requests[indices[0]].Precedence, 1
		for end < len(indices) && requests[indices[end]].Precedence == precedence {
			end++
		}
		order = appendFairly(order, requests, indices[:end], shares)
		indices = indices[end:]
	}
	return order
}

func compareAge(a, b *FairRequest) int {
	return cmp.Or(cmp.Compare(a.SubmittedMs, b.SubmittedMs), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step))
}

// appendFairly appends the fair order of the requests of one precedence, which are given by age.
// Shares holds the shares of the tenants, including those of requests that were ordered before.
func appendFairly(order []int, requests []FairRequest, indices []int, shares map[string]float64) []int {
	queues := map[string]*tenantQueue{}
	var tenants tenantHeap
	for _, index := range indices {
		r := &requests[index]
		queue := queues[r.Tenant]
		if queue == nil {
			if _, known := shares[r.Tenant]; !known {
				shares[r.Tenant] = r.Share
			}
			queue = &tenantQueue{share: shares[r.Tenant], requests: requests}
			queues[r.Tenant], tenants = queue, append(tenants, queue)
		}
		queue.pending = append(queue.pending, index)
	}
	heap.Init(&tenants)
	for len(tenants) > 0 {
		queue := tenants[0]
		index := queue.pending[0]
		order, queue.pending = append(order, index), queue.pending[1:]
		queue.share += requests[index].AddedShare
		shares[requests[index].Tenant] = queue.share
		if len(queue.pending) == 0 {
			heap.Pop(&tenants)
		} else {
			heap.Fix(&tenants, 0)
		}
	}
	return order
}

// tenantQueue holds the requests of one tenant and precedence, the oldest first.
type tenantQueue struct {
	share    float64
	pending  []int
	requests []FairRequest
}

// tenantHeap is a min-heap of tenants by share, then by the age of their oldest request.
type tenantHeap []*tenantQueue

func (h tenantHeap) Len() int      { return len(h) }
func (h tenantHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *tenantHeap) Push(x any)   { *h = append(*h, x.(*tenantQueue)) }
func (h tenantHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return cmp.Or(cmp.Compare(a.share, b.share), compareAge(&a.requests[a.pending[0]], &b.requests[b.pending[0]])) < 0
}

func (h *tenantHeap) Pop() any {
	last := len(*h) - 1
	queue := (*h)[last]
	*h = (*h)[:last]
	return queue
}
