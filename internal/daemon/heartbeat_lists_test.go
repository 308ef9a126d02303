package daemon

import (
	"fmt"
	"strings"
	"testing"

	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// endsList returns a heartbeat's list of ends, all ok, of the tasks first to last of a job's first step. Their numbers
// are those of the tasks, from 1.
func endsList(job string, first, last int) string {
	entries := make([]string, 0, last-first+1)
	for index := first; index <= last; index++ {
		entries = append(entries, fmt.Sprintf(
			`{"n":%d,"job":"%s","round":0,"step":0,"index":%d,"run":1,"saved":"","outcome":"ok"}`, index+1, job, index))
	}
	return `,"ended":[` + strings.Join(entries, ",") + `]`
}

// acknowledgeListed has the owner acknowledge the ends of the tasks first to last of a job's first step.
func acknowledgeListed(agent *workerAgent, job string, first, last int) {
	for index := first; index <= last; index++ {
		agent.attempts[firstAttempt(job, index)].acked = true
	}
}

// firstAttempt returns the key of the first attempt of a task of a job's first step.
func firstAttempt(job string, index int) wire.AttemptKey {
	return wire.AttemptKey{Job: job, Task: uniformTaskID(0, 0, int32(index)), Attempt: 1}
}

// Guards against tasks that are run again though they have ended: a restarted agent must not count as rebuilt while
// the worker's lists of ends are cut short, however many follow each other, since owners take what a rebuilt agent
// doesn't report for lost.
func TestAgentIsRebuiltFromCompleteListsOnly(t *testing.T) {
	n, heartbeat := agentOfWorker(t)
	for range 3 { // the owner's acknowledgement takes a while
		heartbeat(50, endsList("j1", 0, 499))
		must.False(t, n.agents["w1"].rebuilt)
	}
	agent := n.agents["w1"]
	acknowledgeListed(agent, "j1", 0, 499)
	must.Eq(t, 500, heartbeat(50, endsList("j1", 0, 499)).AcknowledgedEnds)
	heartbeat(50, endsList("j1", 500, 999))
	must.False(t, agent.rebuilt)
	acknowledgeListed(agent, "j1", 500, 999)
	must.Eq(t, 1000, heartbeat(50, endsList("j1", 500, 999)).AcknowledgedEnds)
	must.False(t, agent.rebuilt)
	must.False(t, n.baseReport(agent).Rebuilt)
	heartbeat(50, endsList("j1", 1000, 1050))
	must.True(t, agent.rebuilt)
	must.Eq(t, wire.ResultOK, agent.attempts[firstAttempt("j1", 1050)].result)
}

// Guards against tasks that are run again though they have ended: an attempt that was ordered in the last reply and is
// missing from the next heartbeat may have ended beyond the listed ends, if the list is cut short. Once a list is
// complete, what is missing from it was never started.
func TestOrderedAttemptBeyondACutListIsKept(t *testing.T) {
	const listed = 500
	n, heartbeat := agentOfWorker(t)
	heartbeat(50, "")
	heartbeat(50, "")
	agent := n.agents["w1"]
	order := func(index int) *agentAttempt {
		attempt := &agentAttempt{
			state: wire.AttemptOrdered, ordered: true, orderSeq: agent.reportSeq, confirmedMs: n.now + 60_000,
			spec: wire.TaskSpec{Key: firstAttempt("j1", index)},
		}
		agent.attempts[attempt.spec.Key] = attempt
		return attempt
	}
	for index := range listed {
		order(index)
	}
	ended, neverStarted := order(listed), order(listed+1)
	for range 3 { // the owner's acknowledgement takes a while
		heartbeat(50, endsList("j1", 0, listed-1))
		must.Eq(t, wire.AttemptOrdered, ended.state)
		must.Eq(t, wire.AttemptOrdered, neverStarted.state)
	}
	acknowledgeListed(agent, "j1", 0, listed-1)
	heartbeat(50, endsList("j1", 0, listed-1))
	heartbeat(50, endsList("j1", listed, listed))
	must.Eq(t, wire.ResultOK, ended.result)
	must.Eq(t, wire.ResultRejected, neverStarted.result)
}

// Guards against a worker that is taken for stalled, and gets no more work, since its runs have ended beyond the listed
// ends: no progress of an attempt is known while neither list contains it.
func TestEndBeyondACutListIsNoStall(t *testing.T) {
	n, heartbeat := agentOfWorker(t)
	heartbeat(50, runningList("j2", 0, 1, 50))
	attempt := n.agents["w1"].attempts[firstAttempt("j2", 0)]
	attempt.specUnknown, attempt.spec.EstimateMs = false, 1000
	heartbeat(50, runningList("j2", 0, 1, 60))
	for range 8 {
		attempt.confirmedMs = n.now
		must.SliceEmpty(t, heartbeat(stallMs/2, endsList("j1", 0, 499)).Stop)
	}
	must.Zero(t, n.agents["w1"].suspectUntilMs)
	must.Eq(t, wire.AttemptRunning, attempt.state)
}

// Guards against runs that are killed because their daemon was restarted while many ends were open: until the owners
// have answered a restarted agent, its worker's ends are not taken for refused, so the hold must not lapse.
func TestEndsThatWaitForAnAnswerKeepTheHold(t *testing.T) {
	const ends = 2 * lateEndsMax
	restarted := func() (*workerAgent, func(lists string) heartbeatReply, func(wire.Decision)) {
		n, heartbeat := agentOfWorker(t)
		lists := endsList("j1", 0, ends-1)
		heartbeat(50, runningList("j2", 0, 1, 50)+lists)
		answer := func(decision wire.Decision) {
			reply := &wire.OwnerReply{Worker: "w1", Epoch: n.agents["w1"].epoch, Shard: "east", ShardEpoch: 1, SentMs: n.now}
			reply.Decisions = append(reply.Decisions, wire.AttemptDecision{Key: firstAttempt("j2", 0), Decision: wire.DecisionKeep})
			for index := range ends {
				reply.Decisions = append(reply.Decisions, wire.AttemptDecision{Key: firstAttempt("j1", index), Decision: decision})
			}
			n.onOwnerReply("d00", reply)
		}
		return n.agents["w1"], func(lists string) heartbeatReply {
			return heartbeat(50, runningList("j2", 0, 1, 51)+lists)
		}, answer
	}
	t.Run("counted", func(t *testing.T) {
		agent, heartbeat, answer := restarted()
		heartbeat(endsList("j1", 0, ends-1))
		answer(wire.DecisionCounted)
		reply := heartbeat(endsList("j1", 0, ends-1))
		must.Eq(t, ends, reply.AcknowledgedEnds)
		must.Positive(t, reply.HoldMs)
		must.Zero(t, agent.lapseUntilMs)
	})
	t.Run("refused", func(t *testing.T) {
		agent, heartbeat, answer := restarted()
		answer(wire.DecisionAcknowledged) // of an attempt that was replaced: its end must not be acknowledged before a lapse
		reply := heartbeat(endsList("j1", 0, ends-1))
		must.Zero(t, reply.AcknowledgedEnds)
		must.Zero(t, reply.HoldMs)
		must.Positive(t, agent.lapseUntilMs)
	})
}
