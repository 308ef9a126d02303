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
