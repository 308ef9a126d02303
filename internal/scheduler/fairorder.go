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
	Adds        float64 // to that share, where the request gets what it asks for
	SubmittedMs int64
	Job         string
	Step        int64
}

// WeightedShare is the share of all room that an amount takes in the dimension where that is the
// most, divided by a tenant's weight. A weight of 0 counts as 1.
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

// FairOrder gives the positions of requests in the order in which they get room: by precedence,
// and within one by weighted max-min fairness. The tenant with the least share is next with its
// oldest request, which adds to its share. Among equal shares the older request goes first, so
// requests of one tenant, or without any, go by age.
//
// Example: for _, at := range scheduler.FairOrder(requests) { allocate(requests[at]) }
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

// appendFairly orders the requests of one precedence, which come by age. What those before them
// add to their tenants' shares is kept in shares.
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
		queue.share += requests[index].Adds
		shares[requests[index].Tenant] = queue.share
		if len(queue.pending) == 0 {
			heap.Pop(&tenants)
		} else {
			heap.Fix(&tenants, 0)
		}
	}
	return order
}

// tenantQueue is one tenant's requests of one precedence, the oldest first.
type tenantQueue struct {
	share    float64
	pending  []int
	requests []FairRequest
}

// tenantHeap is a heap: the tenant with the least share is on top.
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
