package daemon

import (
	"slices"

	"otterchute/internal/lease"
	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

// onAgentReport takes an agent's word on all it holds, settles what it says ended,
// and answers what it may go on with.
func (n *node) onAgentReport(from string, m *wire.AgentReport) {
	w := n.workers[m.Worker]
	if w == nil {
		w = &workerView{}
		n.workers[m.Worker] = w
	}
	if m.Epoch < w.epoch {
		return // an agent whose time is over
	}
	if m.Epoch > w.epoch || m.SentMs > w.echoMs {
		others, batch := w.otherShards, w.batch
		if others == nil || m.Epoch > w.epoch {
			others, batch = map[string]resource.Amount{}, map[string][]wire.QueueUse{}
		}
		*w = workerView{agent: from, epoch: m.Epoch, echoMs: m.SentMs, heardMs: n.now, zone: m.Zone, labels: m.Labels, leaving: m.Leaving,
			rebuilt: m.Rebuilt, fresh: m.Fresh, free: m.Free, capacity: m.Capacity, queued: m.Queued, rankMs: m.RankMs, silentMs: m.SilentMs,
			otherShards: others, batch: batch, waiting: m.Waiting, spare: w.spare.with(n.now, m.Spare), rack: m.Rack, suspect: m.Suspect, colocated: m.Colocated}
	}
	if m.Epoch == w.epoch && m.Shard != "" {
		w.otherShards[m.Shard], w.batch[m.Shard] = m.Others, m.Batch
	}
	if m.Shard == "" {
		n.updateCentral(from, m)
		return
	}
	sl := n.owned[m.Shard]
	if sl == nil || !sl.serving || !n.leases.Holds(lease.ShardRole(m.Shard)) {
		return
	}
	ack := &wire.OwnerReply{Worker: m.Worker, Epoch: m.Epoch, Shard: m.Shard, ShardEpoch: sl.epoch, SentMs: m.SentMs}
	listed := map[wire.AttemptKey]bool{}
	for _, h := range m.Attempts {
		listed[h.Key] = true
		if v := n.decideAttempt(sl, m, h); v != 0 {
			ack.Decisions = append(ack.Decisions, wire.AttemptDecision{Key: h.Key, Decision: v})
			if js := sl.jobs[h.Key.Job]; js != nil && h.Unknown && v == wire.DecisionKeep {
				i, _, _ := js.position(h.Key.Task)
				ack.Specs = append(ack.Specs, n.specOf(sl, js, i))
			}
		}
	}
	for _, at := range sl.placedOn(m.Worker) { // settling changes the index, not this list
		js := sl.jobs[at.job]
		if js == nil {
			continue
		}
		i, _, ok := js.position(at.task)
		if !ok || js.Tasks[i].State != taskPlaced {
			continue
		}
		t := &js.Tasks[i]
		if t.ChangedIn > js.committed || listed[wire.AttemptKey{Job: at.job, Task: at.task, Attempt: t.Attempt}] {
			continue
		}
		switch {
		case m.Epoch > t.AgentEpoch && m.Rebuilt:
			// The new agent has the worker's own word, begun after the
			// last order of the old one could arrive.
			n.resolveAttempt(sl, js, i, wire.ResultLost, 0)
		case m.Epoch == t.AgentEpoch && js.State != jobRunning:
			// Given up: once no placement of it, ours or a former
			// owner's, is fresh enough to be taken, it never starts.
			if n.now-sl.startMs > 2*contactMs && m.SentMs-js.runtime[i].echoMs > 2*contactMs {
				n.resolveAttempt(sl, js, i, wire.ResultRejected, 0)
			}
		case m.Epoch == t.AgentEpoch && n.now-js.runtime[i].sentMs > 2*syncMs:
			n.sendPlacement(sl, js, i)
		}
	}
	n.resolveReplaced(sl, m)
	n.send(from, ack)
}

// counted tells whether an end is the one that stands for its task, or a failure
// that was counted.
func (t *task) counted(h wire.AttemptStatus) bool {
	return h.Result == wire.ResultOK && h.Key.Attempt == t.Attempt && t.State == taskEnded || h.Result == wire.ResultFailed && h.Key.Attempt == t.FailedRun
}

// decideAttempt gives the owner's verdict on one attempt an agent holds.
func (n *node) decideAttempt(sl *shard, m *wire.AgentReport, h wire.AttemptStatus) wire.Decision {
	js := sl.jobs[h.Key.Job]
	over := func() wire.Decision { // nothing of it is wanted
		if h.State == wire.AttemptEnded {
			return wire.DecisionAcknowledged
		}
		return wire.DecisionDrop
	}
	if js == nil && h.State == wire.AttemptEnded && h.Late {
		return n.decideLateEnd(sl, h.Key)
	}
	if js == nil {
		if j := sl.finished[h.Key.Job]; j != nil && h.State == wire.AttemptEnded {
			if i, _, ok := j.position(h.Key.Task); ok && j.Tasks[i].counted(h) {
				return wire.DecisionCounted
			}
		}
		return over()
	}
	i, _, ok := js.position(h.Key.Task)
	if !ok && h.State == wire.AttemptEnded && !js.abandoned(h.Key) {
		return wire.DecisionCounted
	}
	if !ok { // no such task, or its round is over
		return over()
	}
	t, rt := &js.Tasks[i], &js.runtime[i]
	if js.committed == 0 {
		return 0
	}
	if h.Key.Attempt > t.Attempt {
		n.log("attempt_unknown", "job", js.ID, "task", h.Key.Task, "attempt", h.Key.Attempt, "known", t.Attempt)
		return wire.DecisionDrop
	}
	late := h.State == wire.AttemptEnded && (h.Result == wire.ResultOK || h.Result == wire.ResultFailed && t.FailedRun != t.Attempt) &&
		h.Key.Attempt == t.Attempt && t.State == taskPending && js.State == jobRunning && (!js.Steps[t.Step].Gang || js.notRestartedSince(i))
	if (h.Key.Attempt < t.Attempt || t.State != taskPlaced) && !late {
		if h.State != wire.AttemptEnded {
			return wire.DecisionDrop
		}
		if t.ChangedIn > js.committed {
			return 0
		}
		if !t.counted(h) && js.abandoned(h.Key) {
			return wire.DecisionAcknowledged
		}
		return wire.DecisionCounted
	}
	if h.State == wire.AttemptRunning && rt.runMs == 0 {
		rt.runMs = n.now
	}
	rt.state = h.State
	if h.Saved != "" {
		rt.saved = h.Saved
	}
	if h.State == wire.AttemptEnded {
		if late { // given up, but nothing was started since: it counts
			js.Abandoned = slices.DeleteFunc(js.Abandoned, func(g abandonedRun) bool { return g == abandonedRun{h.Key.Task, h.Key.Attempt} })
		}
		n.resolveAttempt(sl, js, i, h.Result, h.RanMs)
		return 0 // acknowledged once it is committed
	}
	if js.State != jobRunning || js.Steps[t.Step].Gang && !js.gangComplete(i) {
		return wire.DecisionDrop
	}
	if t.Class == wire.ClassQueueable && h.Class == wire.ClassGuaranteed {
		t.Class = wire.ClassGuaranteed // promoted; kept with the next write
	}
	if t.ChangedIn > js.committed {
		return 0
	}
	if m.Colocated && h.State == wire.AttemptQueued && h.Class == wire.ClassQueueable && n.now-rt.sentMs > recallMs && n.fitsElsewhere(sl, js, i) {
		return wire.DecisionRecall
	}
	return wire.DecisionKeep
}

// notRestartedSince tells whether no member of a task's gang was placed again after its run.
func (js *jobState) notRestartedSince(i int) bool {
	from, to := js.gangRange(i)
	for k := from; k < to; k++ {
		if js.Tasks[k].Attempt != js.Tasks[i].Attempt {
			return false
		}
	}
	return true
}

// abandoned tells whether a run was given up since its worker was silent.
func (j *job) abandoned(k wire.AttemptKey) bool {
	return slices.Contains(j.Abandoned, abandonedRun{k.Task, k.Attempt})
}

// decideLateEnd says of a late end of a job that is over whether another run took
// its place: the job's record tells, which is read first where it isn't at hand.
func (n *node) decideLateEnd(sl *shard, k wire.AttemptKey) wire.Decision {
	switch j := sl.finished[k.Job]; {
	case j != nil && j.abandoned(k): // unless it was taken after all, before anything else was started
		return wire.DecisionAcknowledged
	case j != nil || sl.knownAbsent[k.Job]:
		return wire.DecisionCounted
	case n.now-sl.lateReadMs[k.Job] > forwardMs && len(sl.fetches) < allocateNowMax:
		sl.lateReadMs[k.Job] = n.now
		n.fetchRecord(sl, &fetchOp{id: k.Job})
	}
	return 0
}

// fitsElsewhere tells whether another worker than its own could start a waiting
// task at once.
func (n *node) fitsElsewhere(sl *shard, js *jobState, i int) bool {
	t := &js.Tasks[i]
	q := n.config.current.Queues[js.Queue]
	if q == nil || js.Steps[t.Step].PerWorker > 0 {
		return false
	}
	for name, w := range n.workers {
		if name != t.Worker && !w.suspect && n.ranks.unhealthy[name] == 0 && n.allowed(w, q, t.Needs, t.Resources) && t.Resources.Fits(n.freeAt(sl, name, w)) {
			return true
		}
	}
	return false
}

// resolveReplaced settles what stood at workers whose place another worker has taken
// since: its beats come from the same machine, to a later life of the same agent.
func (n *node) resolveReplaced(sl *shard, m *wire.AgentReport) {
	if !m.Colocated || !m.Rebuilt {
		return
	}
	for _, worker := range sorted(sl.placed) {
		if worker == m.Worker {
			continue
		}
		for _, at := range sl.placedOn(worker) {
			js := sl.jobs[at.job]
			if js == nil {
				continue
			}
			i, _, ok := js.position(at.task)
			if !ok || js.Tasks[i].State != taskPlaced || js.Tasks[i].Agent != m.Agent || js.Tasks[i].AgentEpoch >= m.Epoch {
				break
			}
			if js.Tasks[i].ChangedIn <= js.committed {
				n.count("replaced_resolved")
				n.resolveAttempt(sl, js, i, wire.ResultLost, 0)
			}
		}
	}
}
