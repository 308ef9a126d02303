package jobtrace

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func TestHistogram(t *testing.T) {
	h := &Histogram{}
	must.Eq(t, -1, h.QuantileMs(0.5))
	for _, ms := range []int64{-5, 0, 1, 2, 3, 1000, 1001, 500_000} {
		h.Observe(ms)
	}
	must.Eq(t, 8, h.Count())
	must.Eq(t, 502.007, h.SumSeconds())
	buckets := h.Buckets()
	must.Eq(t, 3, buckets[0.001]) // a bound belongs to its own bucket
	must.Eq(t, 4, buckets[0.002])
	must.Eq(t, 6, buckets[1])
	must.Eq(t, 7, buckets[2])
	must.Eq(t, 7, buckets[120]) // what is longer counts in the sum alone
	must.Eq(t, 2, h.QuantileMs(0.5))
	must.Eq(t, -1, h.QuantileMs(1))
}

// However many queues come and go, the memory stays bounded, and nothing is lost.
func TestRecorderIsBounded(t *testing.T) {
	r := &Recorder{}
	for i := range 2 * MaxSeries {
		r.Observe(Key{Queue: fmt.Sprint("queue-", i), Class: "queueable", Stage: Run}, 7)
	}
	all := r.Snapshot()
	must.LessEq(t, MaxSeries+1, len(all))
	other := all[Key{Queue: OtherQueue, Class: "queueable", Stage: Run}]
	must.Eq(t, MaxSeries, other.Count())
	r.Observe(Key{Queue: "queue-1", Class: "queueable", Stage: Run}, 7) // one that is known goes on
	known := r.Snapshot()[Key{Queue: "queue-1", Class: "queueable", Stage: Run}]
	must.Eq(t, 2, known.Count())
}

func TestTaskStages(t *testing.T) {
	task := &Task{}
	task.Ready(100)
	task.Ready(150) // it was ready before
	must.Eq(t, 60, task.Placed(160, 12))
	must.Eq(t, 12, task.Candidates)
	took, first := task.Sent(170)
	must.Eq(t, 10, took)
	must.True(t, first)
	_, first = task.Sent(400) // sent again
	must.False(t, first)
	transit, known := task.Ended(1000, 200, 50, 500)
	must.True(t, known)
	must.Eq(t, 80, transit)

	must.Eq(t, 500, task.RunMs) // told until the task is ready again
	task.Ready(1050)
	must.Eq(t, 50, task.Placed(1100, 0))
	must.Eq(t, 1, task.Ends)
	must.Eq(t, 0, task.RunMs)
	_, known = (&Task{}).Ended(10, 1, 1, 1)
	must.False(t, known) // another owner sent it
}

func TestJobIsBounded(t *testing.T) {
	j := NewJob(10*MaxTasks, 3)
	must.Eq(t, MaxTasks, len(j.Tasks))
	j.Task(MaxTasks + 5).Ready(1) // goes nowhere
	j.Task(2).Ready(7)
	j.Shift(2, 4)
	must.Eq(t, 7, j.Task(0).ReadyMs)
	small := NewJob(2, 1)
	small.Shift(1, 3)
	must.Eq(t, 3, len(small.Tasks))
	var none *Job
	none.Task(0).Ready(1)
}

func TestFinishedIsBounded(t *testing.T) {
	f := &FinishedJobs{}
	must.Nil(t, f.Get("job-0"))
	for i := range MaxFinished + 10 {
		f.Add(fmt.Sprint("job-", i), NewJob(1, 1))
	}
	f.Add("job-50", NewJob(2, 1))
	must.Nil(t, f.Get("job-9"))
	must.NotNil(t, f.Get("job-10"))
	must.Eq(t, 2, len(f.Get("job-50").Tasks))
	must.Eq(t, MaxFinished, len(f.byID))
}

func TestStageNames(t *testing.T) {
	for stage := range stageCount {
		must.NotEq(t, "", stage.String())
	}
	must.Eq(t, "unknown", stageCount.String())
}
