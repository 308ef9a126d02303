package daemon

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	burstRuns    = 500 // ends that a heartbeat lists at most; a burst that has begun no more runs than this is left alone
	burstWaitMs  = 8000
	burstWorkMs  = 4000
	burstLeadMs  = 300 // the trouble begins this long before the first run of a burst ends
	burstTaskCPU = 5
)

// endManyRuns lets many more runs end at one worker than a heartbeat lists, while its daemon is killed once or twice or
// its heartbeats are lost.
func (s *soak) endManyRuns(end time.Time) {
	rng := s.random(6)
	var open sync.WaitGroup
	for time.Now().Before(end) {
		pause(rng, 1000, 6000)
		m := s.machines[s.size.edges+rng.IntN(s.size.sides)]
		job, caller := s.drawBurst(rng, m), s.newCaller(rng)
		name := pickString(rng, "KILL", "KILL twice", "heartbeats lost", "nothing")
		down := time.Duration(1500+rng.Int64N(1500)) * time.Millisecond
		go s.follow(caller, job, false, false)
		open.Go(func() { s.harmBesideBurst(m, name, down) })
	}
	open.Wait()
}

// drawBurst draws a job with many small tasks that only the worker on one machine can run.
func (s *soak) drawBurst(rng *rand.Rand, m *soakMachine) *platformJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextSeq++
	job := &platformJob{id: fmt.Sprintf("%08x%08x", rng.Uint32(), s.nextSeq), queue: &soakQueues[rng.IntN(len(soakQueues))]}
	job.steps = []platformStep{{
		count: burstRuns + 200 + rng.IntN(300), room: amounts{burstTaskCPU, burstTaskCPU},
		estimateMs: burstWorkMs, labels: map[string]string{m.name: "yes"},
	}}
	job.payload = fmt.Sprintf("work %d ms for %s", burstWorkMs, job.id)
	s.jobs[job.id] = job
	return job
}

// harmBesideBurst waits until a burst runs, and harms the daemon beside it, or its connection, while the runs end.
func (s *soak) harmBesideBurst(m *soakMachine, name string, down time.Duration) {
	var w *soakWorker
	for deadline := s.nowMs() + burstWaitMs; ; time.Sleep(20 * time.Millisecond) {
		if w = s.workerOn(m); w != nil && w.isUp() && w.runCount() > burstRuns {
			break
		}
		if s.nowMs() > deadline {
			s.count("burst not run")
			return
		}
	}
	time.Sleep((burstWorkMs - burstLeadMs) / 2 * time.Millisecond)
	if name == "nothing" || !m.claim() {
		s.count("burst alone")
		return
	}
	defer m.release()
	s.count("burst and " + name)
	if name != "heartbeats lost" {
		s.harm(m, name, down)
		return
	}
	defer s.fault(name, m)()
	w.loseHeartbeats(down)
	time.Sleep(down + time.Second)
}
