package main

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// What a queue says for tasks that name nothing of their own holds in all
// rounds, and for whoever takes the job over from its record.
func TestQueueDefaultsOutliveTheRecord(t *testing.T) {
	set, faults := compileSetup(1, []byte(`{"queues":[{"name":"q","default_failures":3,"default_limit_ms":7000}]}`))
	must.SliceEmpty(t, faults)
	for _, rounds := range []string{"", `,"rounds":3,"first_ms":1000,"period_ms":1000`} {
		j, faults := parseJob("j", "q", []byte(fmt.Sprintf(`{"payload":"x","steps":[{"name":"a","count":2,"room":1}]%s}`, rounds)))
		must.SliceEmpty(t, faults)
		must.Nil(t, interpret(&askContext{job: j, queue: set.Queues["q"]}))
		j.openRound()
		j, ok := jobOf(record{ID: "j", Value: j.kept()})
		must.True(t, ok)
		j.openRound()
		for i := range j.Tasks {
			must.Eq(t, int32(3), j.Tasks[i].Allowed)
			must.Eq(t, int64(7000), j.Tasks[i].LimitMs)
		}
	}
}

// A timed job that is cancelled before its last round is opened is not complete,
// though all tasks so far ended well, or there were none.
func TestCancelledBetweenRounds(t *testing.T) {
	for _, opened := range []int{0, 1, 3} {
		j, faults := parseJob("j", "q", []byte(`{"payload":"x","steps":[{"name":"a","count":2,"room":1}],"rounds":3,"first_ms":1000,"period_ms":1000}`))
		must.SliceEmpty(t, faults)
		for range opened {
			j.openRound()
		}
		for i := range j.Tasks {
			j.Tasks[i].State = taskEnded
		}
		j.State = jobCancelled
		state, over := j.verdict()
		must.True(t, over)
		want := jobCancelled
		if opened == 3 {
			want = jobComplete
		}
		must.Eq(t, want, state)
	}
}
