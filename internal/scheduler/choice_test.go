package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// Penalties are compared by weight; a penalized worker is used only if there is no better one.
func TestLeastPenalized(t *testing.T) {
	for name, c := range map[string]struct {
		workers []QueueCandidate
		want    []int
	}{
		"none":      {nil, nil},
		"all alike": {[]QueueCandidate{{}, {}}, []int{0, 1}},
		"a heavier penalty decides": {
			[]QueueCandidate{{Penalties: PenaltyUnhealthy}, {Penalties: PenaltyFarFromData | PenaltyFull | PenaltyHeadroomOnly}},
			[]int{1},
		},
		"fewer penalties decide": {
			[]QueueCandidate{
				{Penalties: PenaltyHeadroomOnly | PenaltyFarFromData}, {Penalties: PenaltyHeadroomOnly},
				{Penalties: PenaltyHeadroomOnly},
			},
			[]int{1, 2},
		},
		"all unhealthy": {
			[]QueueCandidate{{Penalties: PenaltyUnhealthy}, {Penalties: PenaltyUnhealthy | PenaltyLastFailed}}, []int{0},
		},
		"queues are bounded":          {[]QueueCandidate{{QueueFull: true}, {}}, []int{1}},
		"even without an alternative": {[]QueueCandidate{{QueueFull: true}, {Penalties: PenaltyLastFailed}}, nil},
	} {
		t.Run(name, func(t *testing.T) { must.SliceContainsAll(t, c.want, leastPenalized(c.workers)) })
	}
}

// The draw is uniform among the k workers of lowest rank.
func TestChooseWorker(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var workers []QueueCandidate
	for i := range 100 {
		workers = append(workers, QueueCandidate{Name: fmt.Sprintf("w%02d", i), RankMs: int64(100 - i)})
	}
	for name, c := range map[string]struct{ k, among int }{
		"a quarter": {0, 25}, "as set": {7, 7}, "more than available": {500, 100}, "all": {-1, 100},
	} {
		t.Run(name, func(t *testing.T) {
			drawn := map[int]int{}
			for range 100 * c.among {
				at, among := ChooseWorker(workers, c.k, random.IntN)
				must.Eq(t, c.among, among)
				drawn[at]++
			}
			must.MapLen(t, c.among, drawn)
			for at, times := range drawn {
				must.GreaterEq(t, 100-c.among, at)
				must.Between(t, 40, times, 160)
			}
		})
	}
	few, _ := ChooseWorker(workers[:0], 0, random.IntN)
	must.Eq(t, -1, few)
	_, among := ChooseWorker(workers[:4], 0, random.IntN)
	must.Eq(t, minDrawn, among)
}
