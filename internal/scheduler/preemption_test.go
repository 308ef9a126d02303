package scheduler

import (
	"testing"

	"otterchute/internal/resource"

	"github.com/shoenig/test/must"
)

func TestVictims(t *testing.T) {
	cpu := func(n int64) resource.Amount { return resource.Amount{CPU: n} }
	run := func(n, urgency, ranMs int64) Run { return Run{Resources: cpu(n), Urgency: urgency, RanMs: ranMs} }
	for name, c := range map[string]struct {
		runs    []Run
		lacking resource.Amount
		partly  bool
		want    []int
	}{
		"nothing is lacking": {[]Run{run(4, 1, 1)}, cpu(0), false, nil},
		"the least work lost first": {
			[]Run{run(4, 1, 900), run(4, 1, 100), run(4, 1, 500)}, cpu(6), false, []int{1, 2},
		},
		"the least urgent first":           {[]Run{run(4, 5, 1), run(4, 1, 900)}, cpu(4), false, []int{1}},
		"none if all would not be enough":  {[]Run{run(4, 1, 1), run(4, 1, 1)}, cpu(9), false, nil},
		"all of them if a part is allowed": {[]Run{run(4, 1, 1), run(4, 1, 1)}, cpu(9), true, []int{0, 1}},
		"none that use nothing of the lacking dimension": {
			[]Run{run(4, 1, 1), {Resources: resource.Amount{Memory: 8}, Urgency: 2}}, resource.Amount{Memory: 8}, true,
			[]int{1},
		},
		"large runs lose more work in the same time": {[]Run{run(8, 1, 100), run(2, 1, 300)}, cpu(2), false, []int{1}},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.want, Victims(c.runs, c.lacking, c.partly)) })
	}
}
