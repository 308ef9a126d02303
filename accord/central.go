package main

import (
	"cmp"
	"math"
	"slices"
)

// central is the central scheduler with the coordinator inside it. It holds
// no durable truth: a successor learns all from the agents' syncs and the
// owners' repeated asks.
type central struct {
	epoch   uint64
	startMs int64
	workers map[string]*firmView
	wants   map[wantKey]*wantState
	roundAt int64
	round   int64
}

type wantKey struct {
	Job  string
	Task int32
}

type wantState struct {
	wantMsg
	from    string
	firstMs int64
	lastMs  int64
	worker  string // granted
	grantMs int64
}

type firmView struct {
	syncMsg
	heardMs  int64
	firmKeys map[attemptKey]bool
	firm     int64 // room of the firm tasks it holds
	busy     int64 // room of all it holds that is not ended
	badMs    int64 // unsound until
	badTimes int64
}

// rankState is what this daemon last heard from the coordinator.
type rankState struct {
	epoch    uint64
	round    int64
	heardMs  int64
	targetMs int64
	ranks    map[string]int64
	unsound  map[string]int8
	added    map[string]int64 // estimates of what was placed from here since the round
}

// of gives a worker's rank: the coordinator's, and what this daemon itself has
// sent there since. When the coordinator's word is stale only the latter counts.
func (r *rankState) of(n *node, worker string) int64 {
	if r.ranks == nil || n.now-r.heardMs > rankStaleMs {
		return r.added[worker]
	}
	return r.ranks[worker] + r.added[worker]
}

func (r *rankState) add(worker string, estMs int64) {
	if r.added == nil {
		r.added = map[string]int64{}
	}
	r.added[worker] += estMs
}

func (n *node) startCentral(d *duty) {
	n.central = &central{epoch: d.epoch, startMs: n.now, workers: map[string]*firmView{}, wants: map[wantKey]*wantState{}, roundAt: n.now + rebuildMs}
}

func (n *node) syncCentral(_ string, m *syncMsg) {
	c := n.central
	if c == nil {
		return
	}
	w := c.workers[m.Worker]
	if w == nil {
		w = &firmView{}
		c.workers[m.Worker] = w
	}
	if m.Epoch < w.Epoch {
		return
	}
	w.syncMsg, w.heardMs, w.firm, w.busy, w.firmKeys = *m, n.now, 0, 0, map[attemptKey]bool{}
	for _, h := range m.Held {
		w.busy += h.Room
		if h.Class == classGuaranteed {
			w.firm += h.Room
			w.firmKeys[h.Key] = true
			if ws := c.wants[wantKey{h.Key.Job, h.Key.Task}]; ws != nil && ws.Attempt <= h.Key.Attempt {
				delete(c.wants, wantKey{h.Key.Job, h.Key.Task})
			}
		}
	}
	n.promote(c, w)
	if len(c.wants) <= grantNow {
		n.grantAll(c)
	}
}

func (n *node) onWant(from string, m *wantMsg) {
	c := n.central
	if c == nil || !n.holds("central") {
		return
	}
	key := wantKey{m.Job, m.Task}
	ws := c.wants[key]
	if ws == nil || ws.Attempt != m.Attempt {
		ws = &wantState{firstMs: n.now}
		c.wants[key] = ws
	}
	ws.wantMsg, ws.from, ws.lastMs = *m, from, n.now
	if len(c.wants) <= grantNow {
		n.grantAll(c)
	}
}

// promised is the firm room of a worker that its agent does not show yet.
func (c *central) promised(worker string) int64 {
	room := int64(0)
	for _, ws := range c.wants {
		if ws.worker == worker {
			room += ws.Room
		}
	}
	return room
}

// grantAll gives firm places in order of urgency and age, only where the room
// is sure: what queueable tasks hold counts as room, since it can be freed.
func (n *node) grantAll(c *central) {
	if !n.holds("central") || n.now-c.startMs < rebuildMs || !n.setupFresh() {
		return
	}
	var keys []wantKey
	for k, ws := range c.wants {
		if ws.worker == "" {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	urgency := func(k wantKey) int64 { return n.setup.cur.urgencyOf(c.wants[k].Queue) }
	slices.SortFunc(keys, func(a, b wantKey) int {
		return cmp.Or(cmp.Compare(urgency(b), urgency(a)), cmp.Compare(c.wants[a].SubmitMs, c.wants[b].SubmitMs),
			cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
	type room struct {
		name       string
		sure, free int64
		w          *firmView
	}
	var rooms []*room
	for _, name := range sorted(c.workers) {
		w := c.workers[name]
		if n.now-w.heardMs < contactMs && w.Rebuilt && w.Fresh && !w.Leaving && !n.setup.cur.Empty[w.Site] {
			p := c.promised(name)
			rooms = append(rooms, &room{name: name, sure: w.Capacity - w.firm - p, free: w.Capacity - w.busy - p, w: w})
		}
	}
	reserved := map[string]bool{}
	for _, k := range keys {
		ws := c.wants[k]
		q := n.setup.cur.Queues[ws.Queue]
		if q == nil {
			continue
		}
		var best, hold *room
		score := func(r *room) int64 { // free of a stop first, then sound and not avoided, then emptiest
			s := min(r.free, 1<<20)
			if r.free >= ws.Room {
				s += 1 << 40
			}
			if r.name == ws.Avoid {
				s -= 1 << 50
			}
			return s
		}
		var fit, sound []*room
		for _, r := range rooms {
			if _, lack := lacks(r.w.Labels, ws.Needs); !lack && q.matches(r.w.Labels, r.w.Site) && r.w.Capacity >= ws.Room {
				fit = append(fit, r)
				if r.w.badMs <= n.now {
					sound = append(sound, r)
				}
			}
		}
		if len(sound) > 0 { // unsound workers only where nothing else may ever do
			fit = sound
		}
		for _, r := range fit {
			if hold == nil || r.sure > hold.sure {
				hold = r
			}
			if r.sure < ws.Room || reserved[r.name] {
				continue
			}
			if best == nil || score(r) > score(best) {
				best = r
			}
		}
		if best == nil {
			// One that waited long keeps the likeliest worker from smaller ones.
			if hold != nil && n.now-ws.firstMs > reserveMs && len(reserved) < len(rooms)/2 {
				reserved[hold.name] = true
			}
			continue
		}
		best.sure -= ws.Room
		best.free -= ws.Room
		ws.worker, ws.grantMs = best.name, n.now
		n.count("grants")
		n.send(ws.from, &grantMsg{Slice: ws.Slice, Job: ws.Job, Task: ws.Task, Attempt: ws.Attempt, Worker: best.name, Epoch: c.epoch})
	}
}

// promote makes long-running queueable tasks firm where the room is sure, so
// that their work is not thrown away.
func (n *node) promote(c *central, w *firmView) {
	if !n.holds("central") || n.now-c.startMs < rebuildMs {
		return
	}
	sure := w.Capacity - w.firm - c.promised(w.Worker)
	for _, h := range w.Held {
		if h.Class == classQueueable && h.State == heldRunning && h.RanMs > max(2*h.EstMs, n.ThresholdMs) && sure >= h.Room {
			sure -= h.Room
			n.send(w.Agent, &promoteMsg{Worker: w.Worker, Epoch: w.Epoch, Key: h.Key})
		}
	}
}

func (n *node) tickCentral() {
	c := n.central
	if c == nil {
		return
	}
	for k, ws := range c.wants { // each is judged alone, so the order does not matter
		if n.now-ws.lastMs > wantStaleMs || ws.worker != "" && n.now-ws.grantMs > grantMs {
			delete(c.wants, k)
		}
	}
	for _, name := range sorted(c.workers) {
		if n.now-c.workers[name].heardMs > forgetMs {
			delete(c.workers, name)
		}
	}
	n.grantAll(c)
	if n.now < c.roundAt || !n.holds("central") {
		return
	}
	c.roundAt += rankMs
	c.round++
	n.judgeSoundness(c)
	m := &ranksMsg{Epoch: c.epoch, Round: c.round}
	var sum, sum2, count float64
	for _, name := range sorted(c.workers) {
		w := c.workers[name]
		if n.now-w.heardMs > rankMs {
			continue
		}
		v := rankView{Worker: name, RankMs: w.RankMs}
		if w.badMs > n.now {
			v.Unsound = 1
		}
		m.Ranks = append(m.Ranks, v)
		sum, sum2, count = sum+float64(w.RankMs), sum2+float64(w.RankMs)*float64(w.RankMs), count+1
	}
	if count > 1 {
		mean := sum / count
		m.TargetMs = int64(mean + n.TargetSigma*math.Sqrt(max(0, sum2/count-mean*mean)))
	}
	for _, name := range n.liveNames() {
		n.send(name, m)
	}
}

// judgeSoundness finds workers that fail or lag far more than their siblings.
// Where most look bad the jobs are, and nobody is judged. A worker judged
// unsound is tried again with real work after a while.
func (n *node) judgeSoundness(c *central) {
	var bad []string
	for _, name := range sorted(c.workers) {
		w := c.workers[name]
		var oks, fails, lag, others int64
		for other, o := range c.workers {
			if other != name && n.now-o.heardMs < contactMs {
				oks, fails, lag, others = oks+o.Oks, fails+o.Fails, lag+o.LagPct, others+1
			}
		}
		if others == 0 || w.badMs > n.now {
			continue
		}
		rate := float64(w.Fails) / float64(max(1, w.Oks+w.Fails))
		rest := float64(fails) / float64(max(1, oks+fails))
		if w.Oks+w.Fails >= unsoundMin && rate > 0.25 && rate > 3*rest ||
			w.Oks >= unsoundMin && w.LagPct > 300 && w.LagPct > 3*lag/others {
			bad = append(bad, name)
		}
	}
	if 2*len(bad) > len(c.workers) {
		return
	}
	for _, name := range bad {
		w := c.workers[name]
		w.badTimes = min(w.badTimes+1, 5)
		w.badMs = n.now + 10_000<<w.badTimes
		n.log("worker_unsound", "worker", name, "fails", w.Fails, "oks", w.Oks, "lag_pct", w.LagPct, "for_ms", w.badMs-n.now)
	}
}

func (n *node) onRanks(_ string, m *ranksMsg) {
	r := &n.ranks
	if m.Epoch < r.epoch || m.Epoch == r.epoch && m.Round <= r.round {
		return
	}
	*r = rankState{epoch: m.Epoch, round: m.Round, heardMs: n.now, targetMs: m.TargetMs, ranks: map[string]int64{}, unsound: map[string]int8{}}
	for _, v := range m.Ranks {
		r.ranks[v.Worker] = v.RankMs
		if v.Unsound != 0 {
			r.unsound[v.Worker] = v.Unsound
		}
	}
	if m.TargetMs > 0 {
		for _, name := range sorted(n.agents) {
			n.shed(n.agents[name], m.TargetMs)
		}
	}
}
