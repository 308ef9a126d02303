package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestIsGuaranteed(t *testing.T) {
	for name, c := range map[string]struct {
		task        TaskFacts
		thresholdMs int64
		want        bool
	}{
		"short":                 {TaskFacts{EstimateMs: 2499}, 2500, false},
		"long":                  {TaskFacts{EstimateMs: 2500}, 2500, true},
		"unknown run time":      {TaskFacts{}, 2500, true},
		"gang":                  {TaskFacts{Gang: true, EstimateMs: 1}, 2500, true},
		"lasting":               {TaskFacts{LongRunning: true, EstimateMs: 1}, 2500, true},
		"preempted once":        {TaskFacts{Preemptions: 1, EstimateMs: 1}, 2500, false},
		"preempted twice":       {TaskFacts{Preemptions: 2, EstimateMs: 1}, 2500, true},
		"a batch, however long": {TaskFacts{Batch: true, Gang: true, EstimateMs: 9000}, 2500, false},
		"all queueable with a negative threshold": {TaskFacts{Gang: true, EstimateMs: 9000}, -1, false},
	} {
		t.Run(name, func(t *testing.T) {
			guaranteed, reason := IsGuaranteed(c.task, c.thresholdMs)
			must.Eq(t, c.want, guaranteed)
			must.NotEq(t, "", reason)
		})
	}
}
