package daemon

import (
	"otterchute/internal/cluster"
	"otterchute/internal/lease"
	"otterchute/internal/wire"
)

// Handlers of status requests: whether this daemon is ready, and its view of the other daemons,
// the leases, the workers and common faults.

// notReadyReason returns why this daemon should receive no client traffic, or "" if it is ready.
func (n *node) notReadyReason() string {
	switch {
	case n.core.Cluster == 0:
		return "no cluster yet"
	case n.leavingSinceMs != 0:
		return "this daemon is stopping"
	case n.now-n.leases.LastContactMs() > ownerContactMs:
		return "the core can't be reached from here"
	case n.config.current.Version == 0:
		return "no setup yet"
	case !n.configFresh():
		return "the setup is not confirmed here"
	}
	for _, shard := range n.core.Shards {
		if holder, _ := n.leases.Holder(lease.ShardRole(shard)); holder == "" {
			return "slice " + shard + " has no holder"
		}
	}
	return ""
}

// handleGetReady replies to the readiness probe.
func (n *node) handleGetReady(req *request) {
	if reason := n.notReadyReason(); reason != "" {
		n.reject(req, reason)
		return
	}
	n.respond(req, 200, 0, mustJSON(map[string]any{"ready": true}))
}

// handleGetMembers replies with the daemons, the core set and the holder of each role.
func (n *node) handleGetMembers(req *request) {
	var members []map[string]any
	for _, name := range append([]string{n.Name}, n.peers.Names()...) {
		member := n.peers.Describe(name)
		silentMs, _ := n.peers.SilentMs(name) // 0 for this daemon itself
		members = append(members, map[string]any{
			"name":     member.Name,
			"site":     member.Zone,
			"addr":     member.Addr,
			"http":     member.HTTPAddr,
			"disk":     member.Disk,
			"live":     n.peers.Alive(name),
			"heard_ms": silentMs,
			"core":     n.core.Has(member.Name, member.DiskID),
		})
	}
	roles := []map[string]any{}
	for _, role := range n.leases.Holders() {
		roles = append(roles, map[string]any{"duty": role.Name, "holder": role.Holder, "epoch": role.Epoch})
	}
	n.respond(req, 200, 0, mustJSON(map[string]any{
		"cluster":      n.core.Cluster,
		"core_version": n.core.Version,
		"core":         n.core.Names(),
		"slices":       n.core.Shards,
		"members":      members,
		"duties":       roles,
	}))
}

// handleGetWorkers replies with all workers. Only the central scheduler receives reports of all of them,
// so other daemons forward the request to it.
func (n *node) handleGetWorkers(req *request) {
	if !n.leases.Holds(lease.Central) {
		holder, _ := n.leases.Holder(lease.Central)
		n.forward(req, holder)
		return
	}
	entries := []map[string]any{}
	for _, name := range sortedKeys(n.workers) {
		worker := n.workers[name]
		entries = append(entries, map[string]any{
			"name":      name,
			"site":      worker.zone,
			"labels":    labelMap(worker.labels),
			"free":      worker.free,
			"capacity":  worker.capacity,
			"leaving":   worker.leaving,
			"agent":     worker.agent,
			"epoch":     worker.epoch,
			"heard_ms":  n.now - worker.receivedMs,
			"silent_ms": worker.silentMs,
			"queued":    worker.queued,
			"rank_ms":   worker.rankMs,
			"unsound":   n.ranks.unhealthy[name],
			"rebuilt":   worker.rebuilt,
		})
	}
	n.respond(req, 200, 0, mustJSON(map[string]any{"workers": entries}))
}

// labelMap returns labels as the map that JSON replies use.
func labelMap(labels []wire.Label) map[string]string {
	values := map[string]string{}
	for _, l := range labels {
		values[l.Key] = l.Value
	}
	return values
}

// handleGetHealth replies with this daemon's health report, which doctor checks for faults.
func (n *node) handleGetHealth(req *request) {
	syncMs := map[string]int64{}
	for member, ms := range n.leases.MemberSyncMs() {
		syncMs[member] = ms
	}
	unhealthyWorkers := []string{}
	if n.central != nil {
		unhealthyWorkers = append(unhealthyWorkers, sortedKeys(n.ranks.unhealthy)...)
	}
	coreLive := 0
	for _, member := range n.core.Members {
		if n.peers.Alive(member.Name) {
			coreLive++
		}
	}
	n.respond(
		req,
		200,
		0,
		mustJSON(map[string]any{
			"name":             n.Name,
			"site":             n.Zone,
			"cluster":          n.core.Cluster,
			"siblings_lost":    n.lostPeers(),
			"core_size":        len(n.core.Members),
			"core_live":        coreLive,
			"core_contact_ms":  n.now - n.leases.LastContactMs(),
			"clock_spread_ms":  n.clockOffsets(),
			"sync_ms":          syncMs,
			"disk_failed":      n.diskFailed,
			"setup_version":    n.config.record.Version,
			"setup_confirmed":  n.configFresh(),
			"unmatched_queues": n.unmatchedQueues(),
			"without_holder":   n.leasesWithoutHolder(),
			"unsound_workers":  unhealthyWorkers,
			"counters":         n.counterHealth(),
			"empty_sites":      sortedKeys(n.config.current.EmptyZones),
			"slices":           n.shardHealth(),
			"workers":          len(n.workers),
			"asks_open":        len(n.forwarded),
		}),
	)
}

// lostPeers returns the names of known daemons that are no longer alive.
func (n *node) lostPeers() []string {
	lost := []string{}
	for _, name := range n.peers.Names() {
		if !n.peers.Alive(name) {
			lost = append(lost, name)
		}
	}
	return lost
}

// clockOffsets returns the offsets of the wall clocks from their median. Only core members measure
// them; elsewhere the result is empty.
func (n *node) clockOffsets() map[string]int64 {
	offsets := map[string]int64{}
	if !n.inCore() {
		return offsets
	}
	if median := n.clusterTime(); median != 0 {
		return n.granter.ClockOffsets(median, n.now)
	}
	return offsets
}

// leasesWithoutHolder returns the roles of shards and of the central scheduler whose lease has no holder.
func (n *node) leasesWithoutHolder() []string {
	vacant := []string{}
	for _, shard := range n.core.Shards {
		if holder, _ := n.leases.Holder(lease.ShardRole(shard)); holder == "" {
			vacant = append(vacant, lease.ShardRole(shard))
		}
	}
	if holder, _ := n.leases.Holder(lease.Central); holder == "" {
		vacant = append(vacant, lease.Central)
	}
	return vacant
}

// unmatchedQueues returns the queues that no live worker matches. Only the central scheduler
// receives reports of all workers; elsewhere the result is empty.
func (n *node) unmatchedQueues() []string {
	unmatched := []string{}
	if len(n.workers) == 0 || n.central == nil {
		return unmatched
	}
	for _, q := range sortedKeys(n.config.current.Queues) {
		found := false
		for _, w := range n.workers {
			found = found || n.now-w.receivedMs < cluster.AliveTimeoutMs && n.config.current.Queues[q].Matches(w.labels, w.zone)
		}
		if !found {
			unmatched = append(unmatched, q)
		}
	}
	return unmatched
}

// shardHealth returns the state and the open work of each shard that this daemon owns.
func (n *node) shardHealth() map[string]any {
	health := map[string]any{}
	for _, name := range sortedKeys(n.shards) {
		shard := n.shards[name]
		unsettled, waiting := n.countOpenTasks(shard)
		health[name] = map[string]any{
			"serving":     shard.serving,
			"epoch":       shard.epoch,
			"jobs":        len(shard.jobs),
			"unsettled":   unsettled,
			"waiting":     waiting,
			"writes_open": len(shard.writes),
		}
	}
	return health
}

// countOpenTasks counts a shard's tasks that are placed on silent workers, by worker, and those
// that wait for a placement.
func (n *node) countOpenTasks(shard *ownedShard) (unsettled map[string]int, waiting int) {
	unsettled = map[string]int{}
	for _, job := range shard.jobs {
		for i := range job.Tasks {
			t := &job.Tasks[i]
			worker := n.workers[t.Worker]
			switch {
			case t.State == taskPlaced &&
				(worker == nil || n.now-worker.receivedMs > workerSilentMs || worker.silentMs > workerSilentMs):
				unsettled[t.Worker]++
			case t.State == taskPending:
				waiting++
			}
		}
	}
	return unsettled, waiting
}
