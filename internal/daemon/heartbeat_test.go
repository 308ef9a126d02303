package daemon

import (
	"encoding/json"
	"fmt"
	"testing"

	"otterchute/internal/configuration"
	"otterchute/internal/quorum"
	"otterchute/internal/resource"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// agentOfWorker returns a daemon that is the agent of worker w1, and a function that sends the worker's
// next heartbeat some time later and returns the reply.
func agentOfWorker(t *testing.T) (*node, func(afterMs int64, lists string) heartbeatReply) {
	n := newNode(nodeConfig{Name: "side-1", Incarnation: 7, Zone: "east", MaxHoldMs: defaultMaxHoldMs}, nil)
	n.core = quorum.Set{Cluster: 1, Version: 1, Members: []quorum.Member{{Name: "d00", DiskID: 1}}, Shards: []string{"east"}}
	seq := int64(0)
	return n, func(afterMs int64, lists string) heartbeatReply {
		seq++
		body := fmt.Sprintf(`{"seq":%d,"site":"east","labels":{"service":"s"},"rack":"r1","capacity":{"cpu":8000,"memory":8000,"accelerators":0}%s}`, seq, lists)
		for _, e := range reduce(n, event{NowMs: n.now + afterMs, WallMs: 1_800_000_000_000, Seed: 1, Body: evRequest{ID: uint64(seq), Op: "worker.beat", Key: "w1", Base: -1, Body: []byte(body)}}) {
			if r, ok := e.(effReply); ok {
				must.Eq(t, 200, r.Status, must.Sprint(string(r.Body)))
				var a heartbeatReply
				must.NoError(t, jsonTo(r.Body, &a))
				return a
			}
		}
		t.Fatal("a heartbeat got no reply")
		return heartbeatReply{}
	}
}

func runningList(job string, index, run, percent int) string {
	return fmt.Sprintf(`,"running":[{"job":"%s","round":0,"step":0,"index":%d,"run":%d,"saved":"","percent":%d}]`, job, index, run, percent)
}

// Guards against a gang that is stopped as stalled at its end: all members end together, so the fastest
// stays at its last percent until the slowest has arrived. Other work without progress is stopped.
func TestGangWaitsAtItsEnd(t *testing.T) {
	for _, c := range []struct {
		gang    bool
		percent int
		stops   int
	}{{true, 99, 0}, {true, 50, 1}, {true, 0, 0}, {false, 50, 1}, {false, 99, 1}} {
		n, heartbeat := agentOfWorker(t)
		heartbeat(100, runningList("j1", 0, 1, c.percent))
		attempt := n.agents["w1"].attempts[wire.AttemptKey{Job: "j1", Task: uniformTaskID(0, 0, 0), Attempt: 1}]
		attempt.specUnknown, attempt.confirmedMs, attempt.spec.Gang, attempt.spec.EstimateMs = false, n.now+60_000, c.gang, 1000
		heartbeat(100, runningList("j1", 0, 1, c.percent))
		must.Len(t, c.stops, heartbeat(stallMs+200, runningList("j1", 0, 1, c.percent)).Stop, must.Sprint(c))
	}
}

// An attempt that was ordered in a reply and is missing from the next heartbeat was never started. An
// attempt without confirmation is held no longer than its owner's last reply is valid.
func TestHoldEndsWithTheOwnersConfirmation(t *testing.T) {
	n, heartbeat := agentOfWorker(t)
	must.Eq(t, int64(holdMaxMs), heartbeat(100, "").HoldMs)
	a := heartbeat(50, runningList("j1", 0, 1, 10))
	must.Eq(t, int64(0), a.HoldMs) // found running without a reply from its owner; the hold of an earlier reply applies
	agent := n.agents["w1"]
	attempt := agent.attempts[wire.AttemptKey{Job: "j1", Task: uniformTaskID(0, 0, 0), Attempt: 1}]
	attempt.specUnknown, attempt.confirmedMs = false, n.now
	must.Eq(t, int64(holdMaxMs), heartbeat(50, runningList("j1", 0, 1, 20)).HoldMs)
	a = heartbeat(ownerTimeoutMs-1500, runningList("j1", 0, 1, 30))
	must.Eq(t, int64(1450), a.HoldMs)
	must.Len(t, 0, a.Stop)
	must.Eq(t, int64(0), heartbeat(1600, runningList("j1", 0, 1, 40)).HoldMs)

	agent.attempts[wire.AttemptKey{Job: "j2", Task: uniformTaskID(0, 0, 1), Attempt: 3}] = &agentAttempt{state: wire.AttemptOrdered, orderSeq: agent.reportSeq, confirmedMs: n.now, spec: wire.TaskSpec{Key: wire.AttemptKey{Job: "j2", Task: uniformTaskID(0, 0, 1), Attempt: 3}}}
	heartbeat(50, "")
	must.Eq(t, wire.ResultRejected, agent.attempts[wire.AttemptKey{Job: "j2", Task: uniformTaskID(0, 0, 1), Attempt: 3}].result)
}

// Another worker at the same address, which has received a reply sent after the former reported, means that the former
// has crashed. An end is acknowledged to the worker only once its owner has recorded it.
func TestWorkerReplacedAtItsAddress(t *testing.T) {
	n, heartbeat := agentOfWorker(t)
	heartbeat(100, runningList("j1", 0, 1, 10))
	key := wire.AttemptKey{Job: "j1", Task: uniformTaskID(0, 0, 0), Attempt: 1}
	ended := `,"ended":[{"n":1,"job":"j1","round":0,"step":0,"index":0,"run":1,"saved":"","outcome":"ok"}]`
	must.Eq(t, int64(0), heartbeat(50, ended).AcknowledgedEnds)
	must.Eq(t, int64(0), heartbeat(50, ended).AcknowledgedEnds)
	n.agents["w1"].attempts[key].acked = true
	must.Eq(t, int64(1), heartbeat(50, ended).AcknowledgedEnds)

	heartbeat(50, runningList("j1", 1, 1, 10))
	next := func(seq int, connection uint64) {
		reduce(n, event{NowMs: n.now + 50, WallMs: 1, Body: evRequest{ID: 99, Op: "worker.beat", Key: "w2", Base: -1, Connection: connection,
			Body: fmt.Appendf(nil, `{"seq":%d,"site":"east","capacity":{"cpu":1,"memory":1,"accelerators":0}}`, seq)}})
	}
	old := n.agents["w1"]
	next(1, 5)
	next(2, 6) // by another connection: it may have been sent before the reply
	must.False(t, old.replaced)
	must.Eq(t, wire.AttemptRunning, old.attempts[wire.AttemptKey{Job: "j1", Task: uniformTaskID(0, 0, 1), Attempt: 1}].state)
	next(3, 6)
	must.True(t, old.replaced)
	must.Eq(t, wire.ResultLost, old.attempts[wire.AttemptKey{Job: "j1", Task: uniformTaskID(0, 0, 1), Attempt: 1}].result)
}

// Guards against a late heartbeat of a former worker that ends the attempts of the one that runs now, whether this
// process has met the former worker or was started since.
func TestLateHeartbeatOfAFormerWorker(t *testing.T) {
	key := wire.AttemptKey{Job: "j1", Task: uniformTaskID(0, 0, 0), Attempt: 1}
	send := func(n *node, worker string, seq int, connection uint64, lists string) heartbeatReply {
		body := fmt.Appendf(nil, `{"seq":%d,"site":"east","capacity":{"cpu":8000}%s}`, seq, lists)
		for _, e := range reduce(n, event{NowMs: n.now + 50, WallMs: 1, Seed: 1, Body: evRequest{ID: 9, Op: "worker.beat", Key: worker, Base: -1, Body: body, Connection: connection}}) {
			if r, ok := e.(effReply); ok {
				var reply heartbeatReply
				must.NoError(t, jsonTo(r.Body, &reply))
				return reply
			}
		}
		t.Fatal("a heartbeat got no reply")
		return heartbeatReply{}
	}
	for _, met := range []bool{true, false} {
		for _, lists := range []string{"", runningList("j0", 0, 1, 50)} {
			n, _ := agentOfWorker(t)
			if met {
				send(n, "former", 1, 0, "")
				send(n, "former", 2, 0, lists)
				n.now += 1000
			}
			for seq := range 3 {
				send(n, "w1", seq+1, 7, runningList("j1", 0, 1, seq))
			}
			agent := n.agents["w1"]
			attempt := agent.attempts[key]
			attempt.specUnknown, attempt.confirmedMs = false, n.now+60_000
			for seq := range 3 { // several of them, each by its own connection
				send(n, "former", 10+seq, uint64(20+seq), lists)
				must.False(t, agent.replaced)
				must.True(t, agent.rebuilt)
				must.Eq(t, wire.AttemptRunning, attempt.state)
				must.Eq(t, int64(holdMaxMs), send(n, "w1", 10+seq, 7, runningList("j1", 0, 1, 50)).HoldMs)
			}
			if former := n.agents["former"]; former != nil {
				must.True(t, former.replaced)
				must.False(t, former.rebuilt && !met)
			}
			must.Zero(t, send(n, "former", 20, 30, lists).HoldMs)
		}
	}
}

// Guards against tasks of the worker that runs now which their owner resolves as lost, since the first heartbeat that
// a restarted daemon received came late, from a former worker.
func TestOwnerKeepsTasksUntilAReplyReachedTheWorker(t *testing.T) {
	n, shard := shareOwner(t)
	job := jobOfTenant(t, shard, "a", "", `{"name":"s","count":1,"room":1}`, 1)
	job.State = jobRunning
	n.workers["now"] = &workerView{agent: "side-1", epoch: 1}
	n.placeTask(shard, job, 0, "now", wire.ClassQueueable)
	job.committed = job.Version
	report := wire.AgentReport{Worker: "former", Agent: "side-1", Epoch: 2, SentMs: n.now, Shard: "s", Colocated: true, Rebuilt: true}
	n.resolveReplaced(shard, &report)
	must.Eq(t, taskPlaced, job.Tasks[0].State)
	report.ReachedWorker = true
	n.resolveReplaced(shard, &report)
	must.Eq(t, taskPending, job.Tasks[0].State)
}

// Guards against runs of over ten minutes that end as failures although nobody has set a limit: the platform's queues
// have the longest limit there is.
func TestLongRunIsNotEndedByADefault(t *testing.T) {
	current, faults := configuration.Compile(1, []byte(`{"queues":[{"name":"q","default_limit_ms":2592000000}]}`))
	must.SliceEmpty(t, faults)
	job, faults := parseJob("j1", "q", []byte(`{"steps":[{"name":"s","count":1,"room":1}]}`))
	must.SliceEmpty(t, faults)
	must.Nil(t, admit(&admission{job: job, queue: current.Queue("q")}))
	n, heartbeat := agentOfWorker(t)
	heartbeat(100, runningList("j1", 0, 1, 0))
	attempt := n.agents["w1"].attempts[wire.AttemptKey{Job: "j1", Task: uniformTaskID(0, 0, 0), Attempt: 1}]
	attempt.specUnknown, attempt.spec.LimitMs = false, job.Steps[0].LimitMs
	for percent := range 90 {
		attempt.confirmedMs = n.now
		must.Len(t, 0, heartbeat(10_000, runningList("j1", 0, 1, percent+1)).Stop)
	}
	must.Eq(t, wire.AttemptRunning, attempt.state)
}

// Guards against tasks that are started elsewhere while a former process of the daemon, which was stopped in order, had
// granted a longer hold than usual and the worker is cut off from the new process.
func TestHoldOfAStoppedProcessIsAwaited(t *testing.T) {
	n, heartbeat := agentOfWorker(t)
	heartbeat(100, runningList("j1", 0, 1, 10))
	attempt := n.agents["w1"].attempts[wire.AttemptKey{Job: "j1", Task: uniformTaskID(0, 0, 0), Attempt: 1}]
	for end := n.now + ownerTimeoutMs; n.now < end; {
		must.Eq(t, wire.AttemptRunning, attempt.state, must.Sprint(end-n.now))
		reduce(n, event{NowMs: n.now + tickMs, WallMs: 1, Seed: 1, Body: evTick{}})
	}
	reduce(n, event{NowMs: n.now + 1000, WallMs: 1, Seed: 1, Body: evTick{}})
	must.Eq(t, wire.AttemptEnded, attempt.state)
}

// Guards against a late report that gives the central scheduler back an earlier state of a worker.
func TestCentralIgnoresALateReport(t *testing.T) {
	n, _ := shareOwner(t)
	n.startCentral(1)
	report := func(sentMs int64, free int64) {
		n.onAgentReport("side-1", &wire.AgentReport{Worker: "w1", Agent: "side-1", Epoch: 1, SentMs: sentMs, Free: resource.Amount{CPU: free}})
	}
	report(20, 1)
	report(10, 9)
	must.Eq(t, 1, n.central.workers["w1"].Free.CPU)
	report(30, 5)
	must.Eq(t, 5, n.central.workers["w1"].Free.CPU)
}

// signOff sends the sign-off of worker w1 to its agent.
func signOff(n *node) {
	reduce(n, event{NowMs: n.now, WallMs: 1, Seed: 1, Body: evRequest{ID: 88, Op: "worker.gone", Key: "w1", Base: -1}})
}

// Guards against tasks that are started elsewhere while a worker that signed off, without having announced its
// departure, serves on. It gets no more work, and what runs there counts as running until its hold has lapsed.
func TestWorkerServesOnAfterItsSignOff(t *testing.T) {
	key := wire.AttemptKey{Job: "j1", Task: uniformTaskID(0, 0, 0), Attempt: 1}
	begin := func(t *testing.T, lists string) (*node, func(int64, string) heartbeatReply, *agentAttempt) {
		n, heartbeat := agentOfWorker(t)
		heartbeat(100, runningList("j1", 0, 1, 0)+lists)
		attempt := n.agents["w1"].attempts[key]
		attempt.specUnknown, attempt.confirmedMs, attempt.spec.LongRunning = false, n.now+60_000, true
		heartbeat(50, runningList("j1", 0, 1, 1)+lists)
		signOff(n)
		return n, heartbeat, attempt
	}
	tick := func(n *node, ms int64) {
		for end := n.now + ms; n.now < end; {
			reduce(n, event{NowMs: n.now + tickMs, WallMs: 1, Seed: 1, Body: evTick{}})
		}
	}
	t.Run("reports as ready", func(t *testing.T) {
		n, heartbeat, attempt := begin(t, "")
		for range 60 {
			tick(n, 2*tickMs)
			must.Eq(t, int64(holdMaxMs), heartbeat(50, runningList("j1", 0, 1, 2)).HoldMs)
			must.Eq(t, wire.AttemptRunning, attempt.state)
			must.True(t, n.agents["w1"].leaving)
		}
		silentSinceMs := n.now
		for attempt.state == wire.AttemptRunning {
			tick(n, tickMs)
		}
		must.Eq(t, wire.ResultLost, attempt.result)
		must.Between(t, holdMaxMs, n.now-silentSinceMs, holdMaxMs*(100+driftPercent)/100+lapseMarginMs+2*tickMs)
	})
	t.Run("was drained and ends", func(t *testing.T) {
		n, _, attempt := begin(t, `,"leaving":true`)
		tick(n, signOffDelayMs+2*tickMs)
		must.Eq(t, wire.ResultLost, attempt.result)
	})
	t.Run("was drained and reports again", func(t *testing.T) {
		n, heartbeat, attempt := begin(t, `,"leaving":true`)
		heartbeat(200, runningList("j1", 0, 1, 2)+`,"leaving":true`)
		tick(n, signOffDelayMs+2*tickMs)
		must.Eq(t, wire.AttemptRunning, attempt.state)
	})
	t.Run("before its first report", func(t *testing.T) {
		n, heartbeat := agentOfWorker(t)
		signOff(n)
		heartbeat(100, "")
		must.True(t, n.agents["w1"].leaving)
	})
}

// Guards against new work for a worker that signed off at an agent which was restarted since.
func TestSignOffOutlivesTheAgent(t *testing.T) {
	n, _ := shareOwner(t)
	n.recordWorker("side-1", &wire.AgentReport{Worker: "w1", Epoch: 1, SentMs: 10, Rebuilt: true, SignedOff: true})
	must.True(t, n.workers["w1"].leaving)
	report := &wire.AgentReport{Worker: "w1", Epoch: 2, SentMs: 5, Rebuilt: true}
	n.recordWorker("side-1", report)
	must.True(t, n.workers["w1"].leaving)
	must.True(t, report.Leaving)
}

func jsonTo(b []byte, out any) error { return json.Unmarshal(b, out) }

// Guards against an order that is sent twice: it must be in one reply only, whether that reply arrived
// or not, and not in replies to the same heartbeat resent, to a late earlier one or to later ones.
func TestHeartbeatOrderIsGivenOnce(t *testing.T) {
	key := wire.AttemptKey{Job: "j1", Task: uniformTaskID(0, 0, 0), Attempt: 1}
	for _, c := range []struct {
		name  string
		lists string // content of the next heartbeat
		state wire.AttemptState
	}{{"the reply arrived", runningList("j1", 0, 1, 0), wire.AttemptRunning}, {"the reply was lost", "", wire.AttemptEnded}} {
		n, heartbeat := agentOfWorker(t)
		heartbeat(100, "")
		agent := n.agents["w1"]
		attempt := &agentAttempt{state: wire.AttemptOrdered, orderSeq: agent.reportSeq + 1, confirmedMs: n.now + 60_000, spec: wire.TaskSpec{Key: key, Payload: []byte(`"text"`)}}
		agent.attempts[key], agent.toStart = attempt, []*agentAttempt{attempt}
		must.Len(t, 1, heartbeat(50, "").Start, must.Sprint(c.name))
		for seq := range int64(2) { // the same heartbeat again and the one before it, over other connections
			for _, e := range reduce(n, event{NowMs: n.now, WallMs: 1, Seed: 1, Body: evRequest{ID: 77, Op: "worker.beat", Key: "w1", Base: -1,
				Body: fmt.Appendf(nil, `{"seq":%d,"site":"east","capacity":{"cpu":8000}}`, seq+1)}}) {
				if r, ok := e.(effReply); ok {
					var a heartbeatReply
					must.NoError(t, jsonTo(r.Body, &a))
					must.Len(t, 0, a.Start, must.Sprint(c.name, " ", seq))
					must.Zero(t, a.HoldMs)
				}
			}
		}
		must.Eq(t, wire.AttemptOrdered, attempt.state)
		must.Len(t, 0, heartbeat(50, c.lists).Start, must.Sprint(c.name))
		must.Eq(t, c.state, attempt.state, must.Sprint(c.name))
		must.Len(t, 0, heartbeat(50, c.lists).Start, must.Sprint(c.name))
	}
}
