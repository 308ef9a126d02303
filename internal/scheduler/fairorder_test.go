package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"otterchute/internal/resource"

	"github.com/shoenig/test/must"
)

func TestWeightedShare(t *testing.T) {
	all := resource.Amount{CPU: 1000, Memory: 4000}
	for name, c := range map[string]struct {
		used   resource.Amount
		weight float64
		share  float64
	}{
		"nothing":                      {resource.Amount{}, 5, 0},
		"processor dominates":          {resource.Amount{CPU: 500, Memory: 400}, 1, 0.5},
		"memory dominates":             {resource.Amount{CPU: 100, Memory: 1000}, 1, 0.25},
		"by weight":                    {resource.Amount{CPU: 500}, 5, 0.1},
		"no weight counts as 1":        {resource.Amount{CPU: 500}, 0, 0.5},
		"a dimension without capacity": {resource.Amount{CPU: 100, GPU: 7}, 1, 0.1},
	} {
		t.Run(name, func(t *testing.T) { must.InDelta(t, c.share, WeightedShare(c.used, all, c.weight), 1e-9) })
	}
}

func TestFairOrder(t *testing.T) {
	request := func(tenant string, share, adds float64, submittedMs int64) FairRequest {
		return FairRequest{Tenant: tenant, Share: share, AddedShare: adds, SubmittedMs: submittedMs}
	}
	for name, c := range map[string]struct {
		requests []FairRequest
		order    []int
	}{
		"none": {nil, []int{}},
		"no tenants: age": {
			[]FairRequest{request("", 0, 1, 3), request("", 0, 1, 1), request("", 0, 1, 2)}, []int{1, 2, 0},
		},
		"least share first": {[]FairRequest{request("a", 0.5, 0.1, 1), request("b", 0.2, 0.1, 2)}, []int{1, 0}},
		"equal shares: age": {[]FairRequest{request("a", 0.2, 0.1, 2), request("b", 0.2, 0.1, 1)}, []int{1, 0}},
		"alternating while shares grow": {
			[]FairRequest{
				request("a", 0, 0.1, 1), request("a", 0, 0.1, 2), request("a", 0, 0.1, 3),
				request("b", 0, 0.1, 4), request("b", 0, 0.1, 5),
			},
			[]int{0, 3, 1, 4, 2},
		},
		"a large request counts for several": {
			[]FairRequest{
				request("a", 0, 0.3, 1), request("a", 0, 0.3, 2), request("b", 0, 0.1, 3),
				request("b", 0, 0.1, 4), request("b", 0, 0.1, 5),
			},
			[]int{0, 2, 3, 4, 1},
		},
		"precedence before shares": {
			[]FairRequest{{Precedence: 1, Tenant: "a"}, {Precedence: 9, Tenant: "b", Share: 5}}, []int{1, 0},
		},
		"requests of a higher precedence add to the share": {
			[]FairRequest{
				{Precedence: 9, Tenant: "a", AddedShare: 1}, {Precedence: 1, Tenant: "a"},
				{Precedence: 1, Tenant: "b", Share: 0.5, SubmittedMs: 1},
			},
			[]int{0, 2, 1},
		},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.order, FairOrder(c.requests)) })
	}
}

// For random requests, each request is in the order exactly once, and the requests of one tenant and
// precedence are ordered by age.
func TestFairOrderRandomRequests(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var requests []FairRequest
		for i := range rng.IntN(60) {
			requests = append(requests, FairRequest{
				Precedence: rng.Int64N(2), Tenant: fmt.Sprint("t", rng.IntN(4)), AddedShare: float64(rng.IntN(3)),
				SubmittedMs: rng.Int64N(50), Step: int64(i),
			})
		}
		seen, last := map[int]bool{}, map[string]int64{}
		for _, at := range FairOrder(requests) {
			must.False(t, seen[at])
			seen[at] = true
			r := requests[at]
			tenantAndPrecedence := fmt.Sprint(r.Tenant, r.Precedence)
			must.GreaterEq(t, last[tenantAndPrecedence], r.SubmittedMs)
			last[tenantAndPrecedence] = r.SubmittedMs
		}
		must.Eq(t, len(requests), len(seen))
	}
}

// A tenant with a thousand requests delays each of the few requests of another by one turn at most.
func TestFairOrderBusyTenantDelaysOthersByOneTurnEach(t *testing.T) {
	var requests []FairRequest
	for i := range 1000 {
		requests = append(requests, FairRequest{Tenant: "hot", AddedShare: 0.1, SubmittedMs: int64(i)})
	}
	for i := range 10 {
		requests = append(requests, FairRequest{Tenant: "calm", AddedShare: 0.1, SubmittedMs: 5000 + int64(i)})
	}
	calm := 0
	for _, at := range FairOrder(requests)[:20] {
		if requests[at].Tenant == "calm" {
			calm++
		}
	}
	must.Eq(t, 10, calm)
}
