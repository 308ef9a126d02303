package daemon

import (
	"fmt"
	"testing"

	"otterchute/internal/configuration"
	"otterchute/internal/resource"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// A queue's defaults must apply to tasks in all rounds, also after another owner has
// decoded the job from its record.
func TestQueueDefaultsSurviveEncoding(t *testing.T) {
	set, faults := configuration.Compile(1, []byte(`{"queues":[{"name":"q","default_failures":3,"default_limit_ms":7000}]}`))
	must.SliceEmpty(t, faults)
	for _, rounds := range []string{"", `,"rounds":3,"first_ms":1000,"period_ms":1000`} {
		j, faults := parseJob("j", "q", []byte(fmt.Sprintf(`{"payload":"x","steps":[{"name":"a","count":2,"room":1}]%s}`, rounds)))
		must.SliceEmpty(t, faults)
		must.Nil(t, admit(&admission{job: j, queue: set.Queues["q"]}))
		j.openRound()
		j, ok := decodeJob(statestore.Record{ID: "j", Value: j.encode()})
		must.True(t, ok)
		j.openRound()
		for i := range j.Tasks {
			must.Eq(t, int32(3), j.Tasks[i].AllowedFailures)
			must.Eq(t, int64(7000), j.Tasks[i].LimitMs)
		}
	}
}

// A job with rounds that is cancelled before its last round is opened must not count as
// complete, even if all its tasks so far ended well or it has none yet.
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
		state, over := j.outcome()
		must.True(t, over)
		want := jobCancelled
		if opened == 3 {
			want = jobComplete
		}
		must.Eq(t, want, state)
	}
}

// A gang must not be placed in part when one of its workers has become unavailable
// before the allocation arrives.
func TestGangAllocationIsAllOrNothing(t *testing.T) {
	for gone := range 3 {
		n := newNode(nodeConfig{Name: "d0"}, nil)
		n.now = 100_000
		cur, faults := configuration.Compile(1, []byte(`{"queues":[{"name":"q","default_failures":3}]}`))
		must.SliceEmpty(t, faults)
		n.config.current, n.config.confirmedMs = cur, n.now
		n.leases.Assume("slice/s", 1, n.now+60_000)
		n.startShard("s", 1)
		shard := n.shards["s"]
		j, faults := parseJob("j", "q", []byte(`{"payload":"x","steps":[{"name":"a","count":3,"room":1,"gang":true}]}`))
		must.SliceEmpty(t, faults)
		job := &liveJob{jobRecord: *j, committed: 1, runtime: make([]taskRuntime, 3)}
		shard.jobs["j"] = job
		m := &wire.Allocation{Shard: "s", Job: "j"}
		for i := range 3 {
			name := fmt.Sprint("w", i)
			n.workers[name] = &workerView{receivedMs: n.now, rebuilt: true, reportFresh: true, leaving: i == gone, capacity: resource.Amount{CPU: 4}, agent: "d1", epoch: 1}
			m.Places = append(m.Places, wire.AllocatedTask{Task: job.taskID(i), Attempt: 1, Worker: name})
		}
		n.onAllocation("d1", m)
		for i := range job.Tasks {
			must.Eq(t, taskPending, job.Tasks[i].State, must.Sprintf("task %d was placed although w%d is leaving", i, gone))
		}
		n.workers[fmt.Sprint("w", gone)].leaving = false
		n.onAllocation("d1", m)
		for i := range job.Tasks {
			must.Eq(t, taskPlaced, job.Tasks[i].State)
		}
	}
}

// A placement at a worker that was replaced must be rejected at once.
func TestReplacedWorkerRejectsPlaces(t *testing.T) {
	n := newNode(nodeConfig{Name: "d0", Incarnation: 7}, nil)
	n.now = 100_000
	heartbeat := func(id string, seq int) {
		n.now += 50
		n.handleHeartbeat(&request{key: id, connection: 1, body: fmt.Appendf(nil, `{"seq":%d,"site":"east","capacity":{"cpu":4},"running":[],"ended":[]}`, seq)})
	}
	heartbeat("w1", 1)
	heartbeat("w2", 1)
	heartbeat("w2", 2)
	must.True(t, n.agents["w1"].replaced)
	key := wire.AttemptKey{Job: "j", Task: uniformTaskID(0, 0, 1), Attempt: 1}
	n.onPlacement("d1", &wire.Placement{Worker: "w1", AgentEpoch: 7, ShardEpoch: 1, AgentClockMs: n.now, Spec: wire.TaskSpec{Key: key, Shard: "s", Resources: resource.Amount{CPU: 1}}})
	attempt := n.agents["w1"].attempts[key]
	must.NotNil(t, attempt)
	must.Eq(t, wire.AttemptEnded, attempt.state)
	must.Eq(t, wire.ResultRejected, attempt.result)
}
