package daemon

import (
	"otterchute/internal/cluster"
	"otterchute/internal/lease"
	"otterchute/internal/wire"
)

// Status requests tell what this daemon knows of the fleet: whether it is ready,
// the daemons and leases, the workers, and the common faults.

// notReadyReason says why this daemon should get no callers; "" if it should.
func (n *node) notReady() string {
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
	for _, s := range n.core.Shards {
		if h, _ := n.leases.Holder(lease.ShardRole(s)); h == "" {
			return "slice " + s + " has no holder"
		}
	}
	return ""
}

func (n *node) handleGetReady(req *request) {
	if reason := n.notReady(); reason != "" {
		n.reject(req, reason)
		return
	}
	n.respond(req, 200, 0, mustJSON(map[string]any{"ready": true}))
}

func (n *node) handleGetMembers(req *request) {
	var list []map[string]any
	for _, name := range append([]string{n.Name}, n.peers.Names()...) {
		s := n.peers.Describe(name)
		ago, _ := n.peers.SilentMs(name) // 0 for ourselves
		list = append(list, map[string]any{"name": s.Name, "site": s.Zone, "addr": s.Addr, "http": s.HTTPAddr, "disk": s.Disk,
			"live": n.peers.Alive(name), "heard_ms": ago, "core": n.core.Has(s.Name, s.DiskID)})
	}
	roles := []map[string]any{}
	for _, v := range n.leases.Holders() {
		roles = append(roles, map[string]any{"duty": v.Name, "holder": v.Holder, "epoch": v.Epoch})
	}
	n.respond(
		req,
		200,
		0,
		mustJSON(map[string]any{"cluster": n.core.Cluster, "core_version": n.core.Version, "core": n.core.Names(),
			"slices": n.core.Shards, "members": list, "duties": roles}),
	)
}

// handleGetWorkers is settled where all workers are known: at the central scheduler.
func (n *node) handleGetWorkers(req *request) {
	if !n.leases.Holds(lease.Central) {
		to, _ := n.leases.Holder(lease.Central)
		n.forward(req, to)
		return
	}
	list := []map[string]any{}
	for _, name := range sortedKeys(n.workers) {
		w := n.workers[name]
		list = append(
			list,
			map[string]any{"name": name, "site": w.zone, "labels": labelMap(w.labels), "free": w.free, "capacity": w.capacity,
				"leaving": w.leaving, "agent": w.agent, "epoch": w.epoch, "heard_ms": n.now - w.receivedMs, "silent_ms": w.silentMs,
				"queued": w.queued, "rank_ms": w.rankMs, "unsound": n.ranks.unhealthy[name], "rebuilt": w.rebuilt},
		)
	}
	n.respond(req, 200, 0, mustJSON(map[string]any{"workers": list}))
}

func labelMap(ls []wire.Label) map[string]string {
	m := map[string]string{}
	for _, l := range ls {
		m[l.Key] = l.Value
	}
	return m
}

// handleGetHealth is what doctor reads: this daemon's view of the common faults.
func (n *node) handleGetHealth(req *request) {
	slow := map[string]int64{}
	for m, ms := range n.leases.MemberSyncMs() {
		slow[m] = ms
	}
	unsound := []string{}
	if n.central != nil {
		unsound = append(unsound, sortedKeys(n.ranks.unhealthy)...)
	}
	coreLive := 0
	for _, m := range n.core.Members {
		if n.peers.Alive(m.Name) {
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
			"sync_ms":          slow,
			"disk_failed":      n.diskFailed,
			"setup_version":    n.config.record.Version,
			"setup_confirmed":  n.configFresh(),
			"unmatched_queues": n.unmatchedQueues(),
			"without_holder":   n.leasesWithoutHolder(),
			"unsound_workers":  unsound,
			"counters":         n.counterHealth(),
			"empty_sites":      sortedKeys(n.config.current.EmptyZones),
			"slices":           n.ownedShards(),
			"workers":          len(n.workers),
			"asks_open":        len(n.forwarded),
		}),
	)
}

// lostPeers names the daemons that were known and aren't heard any more.
func (n *node) lostPeers() []string {
	lost := []string{}
	for _, name := range n.peers.Names() {
		if !n.peers.Alive(name) {
			lost = append(lost, name)
		}
	}
	return lost
}

// clockOffsets is how far wall clocks are from the median, at a core member.
func (n *node) clockOffsets() map[string]int64 {
	offsets := map[string]int64{}
	if !n.inCore() {
		return offsets
	}
	if med := n.fleetTime(); med != 0 {
		return n.granter.ClockOffsets(med, n.now)
	}
	return offsets
}

func (n *node) leasesWithoutHolder() []string {
	free := []string{}
	for _, s := range n.core.Shards {
		if h, _ := n.leases.Holder(lease.ShardRole(s)); h == "" {
			free = append(free, lease.ShardRole(s))
		}
	}
	if h, _ := n.leases.Holder(lease.Central); h == "" {
		free = append(free, lease.Central)
	}
	return free
}

// unmatchedQueues names the queues that no worker may run, at the central
// scheduler: only there all workers are known.
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

// ownedShards tells of each shard held here what waits in it.
func (n *node) ownedShards() map[string]any {
	owned := map[string]any{}
	for _, name := range sortedKeys(n.shards) {
		shard := n.shards[name]
		unsettled, waiting := n.openTasks(shard)
		owned[name] = map[string]any{
			"serving":     shard.serving,
			"epoch":       shard.epoch,
			"jobs":        len(shard.jobs),
			"unsettled":   unsettled,
			"waiting":     waiting,
			"writes_open": len(shard.writes),
		}
	}
	return owned
}

// openTasks counts a shard's tasks at silent workers, by worker, and those without a place.
func (n *node) openTasks(shard *ownedShard) (unsettled map[string]int, waiting int) {
	unsettled = map[string]int{}
	for _, job := range shard.jobs {
		for i := range job.Tasks {
			t := &job.Tasks[i]
			w := n.workers[t.Worker]
			switch {
			case t.State == taskPlaced && (w == nil || n.now-w.receivedMs > workerSilentMs || w.silentMs > workerSilentMs):
				unsettled[t.Worker]++
			case t.State == taskPending:
				waiting++
			}
		}
	}
	return unsettled, waiting
}
