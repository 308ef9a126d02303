package main

import (
	"slices"
	"strings"
)

// Single duties (a slice, a worker's agent, the central scheduler) are held
// under a lease that a majority of the core grants, and an epoch that a
// register counts. The lease is counted from before it was asked for.

type pollState struct {
	seq     uint64
	nextMs  int64
	lastMs  int64 // when the last round was sent
	sent    map[uint64]*pollRound
	okMs    int64 // send time of the newest round a majority answered
	setup   ballot
	clocks  map[string]clockRead // by core member
	slowMs  map[string]int64
	free    map[string]int64 // duty -> since when no majority lists a holder
	lost    map[string]lostHolder
	guardMs int64            // until then too many members grant nothing
	firstMs int64            // when this daemon first polled
	heardMs map[string]int64 // core member -> when it last answered a poll
}

// lostHolder is who held a duty whose lease has ended: not the one to ask next.
type lostHolder struct {
	name string
	atMs int64
}

type pollRound struct {
	seq    uint64
	sentMs int64
	holds  []dutyAsk
	duties []*duty // what each of holds was asked for: one let go of since is another
	frees  []release
	acks   map[string]*pollAck
}

type duty struct {
	name      string
	epoch     uint64
	seen      uint64 // the newest epoch that a majority of grants was given in knowledge of
	untilMs   int64  // end of the lease
	phase     int8
	takenMs   int64 // when the lease was first had
	wantMs    int64 // asked for since
	rounds    int   // polls that asked for it
	releasing string
	relAcks   map[string]bool
}

const (
	dutyWanted int8 = iota // asked for in polls
	dutyCas                // the epoch is being counted up
	dutyHeld               // served
	dutyGoing              // being handed to a successor
)

// holds tells whether this daemon surely holds a duty now.
func (n *node) holds(name string) bool {
	d := n.duties[name]
	return d != nil && d.phase == dutyHeld && n.now < d.untilMs-leaseSlack
}

// holder gives who holds a duty as far as the core told us.
func (n *node) holder(name string) (string, uint64) {
	if d := n.duties[name]; d != nil && d.phase == dutyHeld && n.now < d.untilMs-leaseSlack {
		return n.Name, d.epoch
	}
	v, ok := n.views[name]
	if !ok || v.Holder == "" || v.Holder == n.Name {
		return "", 0
	}
	return v.Holder, v.Epoch
}

func (n *node) want(name string) {
	if n.duties[name] == nil && n.leaving == 0 && n.core.Cluster != 0 {
		n.duties[name] = &duty{name: name, wantMs: n.now}
		n.poll.nextMs = 0
	}
}

func (n *node) tickPoll() {
	if len(n.core.Members) == 0 || n.now < n.poll.nextMs {
		return
	}
	n.poll.nextMs, n.poll.lastMs = n.now+pollMs, n.now
	if n.Beside {
		n.poll.nextMs = n.now + pollAsideMs
	}
	n.poll.seq++
	m := &pollMsg{Inc: n.Inc, Seq: n.poll.seq, CoreVer: n.core.Version, WallMs: n.wall}
	r := &pollRound{seq: n.poll.seq, sentMs: n.now, acks: map[string]*pollAck{}}
	n.poll.sent[m.Seq] = r
	for _, name := range sorted(n.duties) {
		d := n.duties[name]
		if d.phase == dutyWanted {
			if d.rounds++; d.rounds > 2 {
				n.letGo(d)
			}
		}
		if d.phase == dutyGoing {
			m.Releases = append(m.Releases, release{Name: name, Successor: d.releasing})
		} else {
			m.Holds = append(m.Holds, dutyAsk{Name: name, Epoch: d.epoch})
			r.duties = append(r.duties, d)
		}
	}
	r.holds, r.frees = m.Holds, m.Releases
	for _, seq := range sorted(n.poll.sent) {
		if n.now-n.poll.sent[seq].sentMs > leaseMs {
			delete(n.poll.sent, seq)
		}
	}
	if n.poll.firstMs == 0 {
		n.poll.firstMs = n.now
	}
	for _, mem := range n.core.Members {
		n.send(mem.Name, m)
	}
}

// letGo gives up on a duty whose grants were split, and waits a while.
func (n *node) letGo(d *duty) {
	d.phase, d.releasing, d.relAcks = dutyGoing, "", map[string]bool{}
	n.poll.nextMs = 0
	if n.poll.free != nil {
		n.poll.free[d.name] = n.now + n.rand().Int64N(takeStepMs)
	}
}

func (p *pollState) heard(member string, nowMs int64) {
	if p.heardMs == nil {
		p.heardMs = map[string]int64{}
	}
	p.heardMs[member] = nowMs
}

func (n *node) onPollAck(from string, m *pollAck) {
	n.poll.heard(from, n.now)
	r := n.poll.sent[m.Seq]
	if r == nil || m.CoreVer != n.core.Version || r.acks[from] != nil || len(m.Granted) != len(r.holds) || len(m.Epochs) != len(r.holds) {
		return
	}
	r.acks[from] = m
	n.poll.readClock(n, from, r.sentMs, m.FleetMs)
	n.poll.slowMs[from] = m.DiskSlow
	need := n.core.majority()
	for i, d := range r.duties {
		if n.duties[d.name] == d {
			n.leaseGranted(r, d, r.grantedAt(i))
		}
	}
	if len(r.acks) < need {
		return
	}
	var guards []int64
	for _, a := range r.acks {
		guards = append(guards, a.GuardMs)
	}
	slices.Sort(guards)
	if g := guards[need-1]; g > 0 {
		n.poll.guardMs = n.now + g
		n.poll.nextMs = min(n.poll.nextMs, n.poll.guardMs)
	}
	n.poll.okMs = max(n.poll.okMs, r.sentMs)
	n.confirmSetup(r)
	n.seeDuties(r)
	for _, f := range r.frees {
		if d := n.duties[f.Name]; d != nil && d.phase == dutyGoing {
			d.relAcks[from] = true
			if len(d.relAcks) >= need {
				n.dropDuty(d, "released")
			}
		}
	}
}

// leaseGranted counts the grants of a duty's lease in one round. The lease runs
// from when the round was sent, so it ends here before any member's grant does.
func (n *node) leaseGranted(r *pollRound, d *duty, epochs []uint64) {
	need := n.core.majority()
	switch {
	case d.phase == dutyGoing:
	case d.phase == dutyHeld && n.now >= d.untilMs-leaseSlack:
		// Others may have held it since: it is taken anew, under a new epoch.
		n.dropDuty(d, "lease_ended")
	case len(epochs) >= need:
		d.untilMs = max(d.untilMs, r.sentMs+leaseMs)
		if d.phase == dutyWanted {
			d.phase, d.takenMs, d.seen = dutyCas, n.now, epochs[need-1]
			n.startCas("duty/"+d.name, "duty", []byte(d.name), 0)
		}
	case d.phase == dutyWanted && len(r.acks) == len(n.core.Members):
		n.letGo(d)
	}
}

// grantedAt gives the newest epochs known to those members that granted the
// round's lease number i, highest first. The epoch at the place of the majority
// is what a change of the duty's register may build on: a majority of those who
// granted the lease knows it. One that knows less may have granted a lease
// before and forgotten it in a restart, and can't tell that its holder went on
// to count the epoch up: where the register holds a newer epoch the change is
// lost, the newer one is written back, and the lease is asked for again of
// members that then know it.
func (r *pollRound) grantedAt(i int) (epochs []uint64) {
	for _, a := range r.acks {
		if a.Granted[i] {
			epochs = append(epochs, a.Epochs[i])
		}
	}
	slices.Sort(epochs)
	slices.Reverse(epochs)
	return epochs
}

// seeDuties learns from a majority's answers who holds what, and which duty
// stands free.
func (n *node) seeDuties(r *pollRound) {
	seen := map[string]bool{}
	for _, from := range sorted(r.acks) {
		for _, v := range r.acks[from].Duties {
			old, ok := n.views[v.Name]
			if !seen[v.Name] || !ok || v.Epoch > old.Epoch || v.Epoch == old.Epoch && old.Holder == "" {
				n.views[v.Name] = v
			}
			seen[v.Name] = true
		}
	}
	for _, name := range sorted(n.views) {
		if !seen[name] {
			if n.poll.lost == nil {
				n.poll.lost = map[string]lostHolder{}
			}
			holder := n.views[name].Holder
			n.poll.lost[name] = lostHolder{holder, n.now}
			delete(n.views, name)
			n.askAgain(holder)
		}
	}
}

func computeDuty(n *node, o *casOp) ([]byte, bool) {
	d := n.duties[string(o.arg)]
	if d == nil {
		return nil, false
	}
	var v dutyView
	if len(o.cur) > 0 && unpack(o.cur, &v) != nil {
		return nil, false
	}
	if v.Epoch > d.seen && (v.Holder != n.Name || v.Inc != n.Inc) {
		return nil, false // taken by another since our lease was granted, by members that have started anew
	}
	return pack(nil, dutyView{Name: d.name, Holder: n.Name, Inc: n.Inc, Addr: n.Addr, Epoch: v.Epoch + 1}), true
}

func (n *node) dutyTaken(o *casOp, how string) {
	d := n.duties[string(o.arg)]
	if d == nil || d.phase != dutyCas {
		return
	}
	var v dutyView
	if how == casLost && n.now < d.untilMs-leaseSlack {
		d.phase, d.rounds, n.poll.nextMs = dutyWanted, 0, 0 // the members know the newer epoch now
		return
	}
	if how != casDone || unpack(o.next, &v) != nil || n.now >= d.untilMs-leaseSlack {
		n.dropDuty(d, "not_taken")
		return
	}
	d.phase, d.epoch = dutyHeld, v.Epoch
	n.views[d.name] = v
	n.count("duties_taken")
	n.log("duty_taken", "duty", d.name, "epoch", d.epoch)
	dutyStarts[kindOfDuty(d.name)](n, d)
}

func kindOfDuty(name string) string {
	kind, _, _ := strings.Cut(name, "/")
	return kind
}

var dutyStarts = map[string]func(*node, *duty){
	"slice":   func(n *node, d *duty) { n.startSlice(d) },
	"agent":   func(n *node, d *duty) { n.startAgent(d) },
	"central": func(n *node, d *duty) { n.startCentral(d) },
}

var dutyEnds = map[string]func(*node, string){
	"slice":   func(n *node, name string) { n.endSlice(strings.TrimPrefix(name, "slice/")) },
	"agent":   func(n *node, name string) { delete(n.agents, strings.TrimPrefix(name, "agent/")) },
	"central": func(n *node, _ string) { n.central = nil },
}

func (n *node) dropDuty(d *duty, why string) {
	delete(n.duties, d.name)
	delete(n.views, d.name)
	if d.epoch != 0 {
		n.log("duty_lost", "duty", d.name, "epoch", d.epoch, "why", why)
	}
	dutyEnds[kindOfDuty(d.name)](n, d.name)
}

// resign stops serving a duty at once and names who takes it next.
func (n *node) resign(d *duty, successor string) {
	if d.phase == dutyGoing {
		return
	}
	n.log("duty_resigned", "duty", d.name, "epoch", d.epoch, "successor", successor)
	dutyEnds[kindOfDuty(d.name)](n, d.name)
	d.phase, d.releasing, d.relAcks = dutyGoing, successor, map[string]bool{}
	n.poll.nextMs = 0
}

// candidates orders the live daemons for a duty: its own site first, then by
// rendezvous weight. Who has just lost it, most likely by its death, is none.
func (n *node) candidates(name, site string) []string {
	lost, ok := n.poll.lost[name]
	if ok && n.now-lost.atMs > liveMs {
		delete(n.poll.lost, name)
		lost.name = ""
	}
	all := slices.DeleteFunc(n.liveNames(), func(s string) bool {
		if s == lost.name {
			return true
		}
		if s == n.Name {
			return n.leaving != 0
		}
		return n.siblings[s].Leaving
	})
	order := rendezvous(name, all)
	if kindOfDuty(name) != "agent" { // small machines beside workers come last, then those without a disk
		rank := func(s string) int {
			me := n.self()
			if s != n.Name {
				me = n.siblings[s].sibling
			}
			return map[bool]int{true: 2}[me.Beside] + map[bool]int{true: 1}[!me.Disk]
		}
		slices.SortStableFunc(order, func(a, b string) int { return rank(a) - rank(b) })
	}
	var home, away []string
	for _, s := range order {
		if n.siteOf(s) == site && (kindOfDuty(name) == "agent" || s != n.Name && !n.siblings[s].Beside || s == n.Name && !n.Beside) {
			home = append(home, s)
		} else {
			away = append(away, s)
		}
	}
	return append(home, away...)
}

func (n *node) tickDuties() {
	for _, name := range sorted(n.duties) {
		d := n.duties[name]
		switch {
		case d.phase == dutyWanted || d.phase == dutyGoing:
			if n.now-d.wantMs > wantAgentMs && n.now >= d.untilMs {
				n.dropDuty(d, "not_granted")
			}
		case n.now >= d.untilMs-leaseSlack:
			n.dropDuty(d, "lease_ended")
		}
	}
	if n.core.Cluster == 0 || n.now-n.poll.okMs > leaseMs || n.leaving != 0 {
		n.poll.free = nil
		return
	}
	if n.poll.free == nil {
		n.poll.free = map[string]int64{}
	}
	for _, name := range sorted(n.views) { // what its holder named this daemon the successor for
		if v := n.views[name]; v.Holder == "" && v.Successor == n.Name {
			n.want(name)
		}
	}
	wanted := map[string]string{"central": n.Site}
	for _, s := range n.core.Slices {
		wanted["slice/"+s] = s
	}
	for _, name := range sorted(wanted) {
		v, held := n.views[name]
		if held && v.Holder != "" || n.duties[name] != nil {
			if n.duties[name] == nil {
				delete(n.poll.free, name)
			}
			n.goHome(name, wanted[name])
			continue
		}
		if _, ok := n.poll.free[name]; !ok {
			n.poll.free[name] = n.now
		}
		site := wanted[name]
		if name == "central" {
			site = ""
		}
		rank := slices.Index(n.candidates(name, site), n.Name)
		if rank >= 0 && n.now-n.poll.free[name] >= int64(rank)*takeStepMs {
			n.want(name)
		}
	}
}

// goHome hands a slice held outside its site back once the site stands.
func (n *node) goHome(name, site string) {
	d := n.duties[name]
	if d == nil || d.phase != dutyHeld || n.Site == site || kindOfDuty(name) != "slice" || n.now-d.takenMs < homeMs {
		return
	}
	c := n.candidates(name, site)
	if len(c) > 0 && n.siteOf(c[0]) == site && n.siblings[c[0]] != nil {
		d.takenMs = n.now // one try per period, if the successor fails it
		n.resign(d, c[0])
	}
}

func (n *node) onStop(evStop) {
	if n.leaving != 0 {
		return
	}
	n.leaving = n.now
	n.log("stopping", "duties", len(n.duties))
	if n.inCore() {
		n.tellSpares()
	}
	for _, name := range sorted(n.duties) {
		d := n.duties[name]
		site := strings.TrimPrefix(name, "slice/")
		if ag := n.agents[strings.TrimPrefix(name, "agent/")]; ag != nil {
			site = ag.site
		}
		successor := ""
		if c := n.candidates(name, site); len(c) > 0 {
			successor = c[0]
		}
		if d.phase == dutyHeld {
			n.resign(d, successor)
		}
	}
}

func (n *node) tickLeaving() {
	if n.leaving == 0 || n.seatAwaited() {
		return
	}
	if len(n.duties) == 0 && n.now-n.leaving > 300 || n.now-n.leaving > stopMs {
		n.emit(effExit{})
	}
}

// medianWall is the fleet's time, at the least: the median of what the core
// members make of all clocks they hear, carried by the steady clock. 0 while it is unknown.
func (p *pollState) medianWall(n *node) int64 { return p.median(n, false) }

// latestWall is the fleet's time at the most. A delay counts from here, so that
// no later owner, with a better reading, finds the job due too early.
func (p *pollState) latestWall(n *node) int64 { return p.median(n, true) }

func (p *pollState) median(n *node, most bool) int64 {
	var all []int64
	for _, m := range n.core.Members {
		if c, ok := p.clocks[m.Name]; ok && most {
			all = append(all, c.most)
		} else if ok {
			all = append(all, c.least)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	if most {
		return all[len(all)/2] + n.now
	}
	return all[(len(all)-1)/2] + n.now
}

// clockRead bounds a core member's word on the fleet's time, minus our steady
// clock: it spoke after we asked and before we heard it. The closest bounds of
// the last seconds count.
type clockRead struct{ least, leastMs, most, mostMs int64 }

func (p *pollState) readClock(n *node, from string, sentMs, fleetMs int64) {
	if fleetMs == 0 {
		return
	}
	if p.clocks == nil {
		p.clocks = map[string]clockRead{}
	}
	c, known := p.clocks[from]
	if least := fleetMs - n.now; !known || least >= c.least || n.now-c.leastMs >= clockOldMs {
		c.least, c.leastMs = least, n.now
	}
	if most := fleetMs - sentMs; !known || most <= c.most || n.now-c.mostMs >= clockOldMs {
		c.most, c.mostMs = most, n.now
	}
	p.clocks[from] = c
}
