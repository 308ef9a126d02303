package main

// Status requests tell what this daemon knows of the fleet: whether it is ready,
// the daemons and leases, the workers, and the common faults.

// notReady says why this daemon should get no callers; "" if it should.
func (n *node) notReady() string {
	switch {
	case n.core.Cluster == 0:
		return "no cluster yet"
	case n.leaving != 0:
		return "this daemon is stopping"
	case n.now-n.poll.okMs > contactMs:
		return "the core can't be reached from here"
	case n.setup.cur.Version == 0:
		return "no setup yet"
	case !n.setupFresh():
		return "the setup is not confirmed here"
	}
	for _, s := range n.core.Slices {
		if h, _ := n.holder("slice/" + s); h == "" {
			return "slice " + s + " has no holder"
		}
	}
	return ""
}

func (n *node) getReady(a *ask) {
	if reason := n.notReady(); reason != "" {
		n.bounce(a, reason)
		return
	}
	n.answer(a, 200, 0, jsonOf(map[string]any{"ready": true}))
}

func (n *node) getMembers(a *ask) {
	var list []map[string]any
	for _, name := range append([]string{n.Name}, sorted(n.siblings)...) {
		s, ago := n.self(), int64(0)
		if name != n.Name {
			s, ago = n.siblings[name].sibling, n.now-n.siblings[name].heardMs
		}
		list = append(list, map[string]any{"name": s.Name, "site": s.Site, "addr": s.Addr, "http": s.HTTP, "disk": s.Disk,
			"live": n.live(name), "heard_ms": ago, "core": n.core.has(s.Name, s.DiskID)})
	}
	duties := []map[string]any{}
	for _, name := range sorted(n.views) {
		v := n.views[name]
		duties = append(duties, map[string]any{"duty": name, "holder": v.Holder, "epoch": v.Epoch})
	}
	n.answer(a, 200, 0, jsonOf(map[string]any{"cluster": n.core.Cluster, "core_version": n.core.Version, "core": memberNames(n.core),
		"slices": n.core.Slices, "members": list, "duties": duties}))
}

// getWorkers is settled where all workers are known: at the central scheduler.
func (n *node) getWorkers(a *ask) {
	if !n.holds("central") {
		to, _ := n.holder("central")
		n.handOver(a, to)
		return
	}
	list := []map[string]any{}
	for _, name := range sorted(n.workers) {
		w := n.workers[name]
		list = append(list, map[string]any{"name": name, "site": w.site, "labels": labelMap(w.labels), "free": w.free, "capacity": w.capacity,
			"leaving": w.leaving, "agent": w.agent, "epoch": w.epoch, "heard_ms": n.now - w.heardMs, "silent_ms": w.silentMs,
			"queued": w.queued, "rank_ms": w.rankMs, "unsound": n.ranks.unsound[name], "rebuilt": w.rebuilt})
	}
	n.answer(a, 200, 0, jsonOf(map[string]any{"workers": list}))
}

func labelMap(ls []label) map[string]string {
	m := map[string]string{}
	for _, l := range ls {
		m[l.Key] = l.Value
	}
	return m
}

// getHealth is what doctor reads: this daemon's view of the common faults.
func (n *node) getHealth(a *ask) {
	lost := []string{}
	for _, name := range sorted(n.siblings) {
		if !n.live(name) {
			lost = append(lost, name)
		}
	}
	offsets, slow := map[string]int64{}, map[string]int64{}
	for m, ms := range n.poll.slowMs {
		slow[m] = ms
	}
	if n.inCore() {
		if med := n.poll.medianWall(n); med != 0 {
			for name, c := range n.store.clocks {
				offsets[name] = c.offset + n.now - med
			}
		}
	}
	noHolder := []string{}
	for _, s := range n.core.Slices {
		if h, _ := n.holder("slice/" + s); h == "" {
			noHolder = append(noHolder, "slice/"+s)
		}
	}
	if h, _ := n.holder("central"); h == "" {
		noHolder = append(noHolder, "central")
	}
	unmatched := []string{}
	for _, q := range sorted(n.setup.cur.Queues) {
		found := false
		for _, w := range n.workers {
			found = found || n.now-w.heardMs < liveMs && n.setup.cur.Queues[q].matches(w.labels, w.site)
		}
		if !found && len(n.workers) > 0 && n.central != nil { // only there all workers are known
			unmatched = append(unmatched, q)
		}
	}
	owned := map[string]any{}
	for _, name := range sorted(n.owned) {
		sl := n.owned[name]
		unsettled, waiting := map[string]int{}, 0 // by worker
		for _, js := range sl.jobs {
			for i := range js.Tasks {
				t := &js.Tasks[i]
				w := n.workers[t.Worker]
				switch {
				case t.State == taskPlaced && (w == nil || n.now-w.heardMs > silentMs || w.silentMs > silentMs):
					unsettled[t.Worker]++
				case t.State == taskPending:
					waiting++
				}
			}
		}
		owned[name] = map[string]any{"serving": sl.serving, "epoch": sl.epoch, "jobs": len(sl.jobs), "unsettled": unsettled, "waiting": waiting, "writes_open": len(sl.writes)}
	}
	unsound := []string{}
	for _, name := range sorted(n.ranks.unsound) {
		if n.central != nil {
			unsound = append(unsound, name)
		}
	}
	coreLive := 0
	for _, m := range n.core.Members {
		if n.live(m.Name) {
			coreLive++
		}
	}
	n.answer(a, 200, 0, jsonOf(map[string]any{"name": n.Name, "site": n.Site, "cluster": n.core.Cluster, "siblings_lost": lost,
		"core_size": len(n.core.Members), "core_live": coreLive, "core_contact_ms": n.now - n.poll.okMs,
		"clock_spread_ms": offsets, "sync_ms": slow, "disk_failed": n.diskFailed, "setup_version": n.setup.doc.Version,
		"setup_confirmed": n.setupFresh(), "unmatched_queues": unmatched, "without_holder": noHolder, "unsound_workers": unsound, "empty_sites": sorted(n.setup.cur.Empty), "slices": owned,
		"workers": len(n.workers), "asks_open": len(n.asks)}))
}
