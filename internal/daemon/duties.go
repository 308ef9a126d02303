package daemon

import (
	"otterchute/internal/codec"
	"otterchute/internal/register"
	"otterchute/internal/rendezvous"
	"otterchute/internal/wire"
	"slices"
	"strings"
)

// Single duties (a slice, a worker's agent, the central scheduler) are held
// under a lease that a majority of the core grants, and an epoch that a
// register counts. The lease is counted from before it was asked for.

type pollState struct {
	seq         uint64
	nextMs      int64
	lastMs      int64 // when the last round was sent
	sent        map[uint64]*pollRound
	contactMs   int64 // send time of the newest round a majority answered
	setup       register.Ballot
	clocks      map[string]clockBounds // by core member
	slowMs      map[string]int64
	freeSince   map[string]int64 // duty -> since when no majority lists a holder
	lastHolders map[string]formerHolder
	guardMs     int64            // until then too many members grant nothing
	firstMs     int64            // when this daemon first polled
	heardMs     map[string]int64 // core member -> when it last answered a poll
}

// formerHolder is who held a duty whose lease has ended: not the one to ask next.
type formerHolder struct {
	name string
	atMs int64
}

type pollRound struct {
	seq    uint64
	sentMs int64
	holds  []wire.LeaseRequest
	leases []*roleLease // what each of holds was asked for: one let go of since is another
	frees  []wire.LeaseRelease
	acks   map[string]*wire.PollResponse
}

type roleLease struct {
	name        string
	epoch       uint64
	knownEpoch  uint64 // the newest epoch that a majority of grants was given in knowledge of
	untilMs     int64  // end of the lease
	phase       rolePhase
	takenMs     int64 // when the lease was first had
	wantMs      int64 // asked for since
	rounds      int   // polls that asked for it
	releasing   string
	releaseAcks map[string]bool
}

// rolePhase is how far this daemon is with a role.
type rolePhase int8

const (
	roleWanted         rolePhase = iota // asked for in polls
	roleAdvancingEpoch                  // the epoch is being counted up
	roleHeld                            // served
	roleReleasing                       // being handed to a successor
)

// holds tells whether this daemon surely holds a duty now.
func (n *node) holds(name string) bool {
	d := n.roles[name]
	return d != nil && d.phase == roleHeld && n.now < d.untilMs-leaseSlackMs
}

// holder gives who holds a duty as far as the core told us.
func (n *node) holder(name string) (string, uint64) {
	if d := n.roles[name]; d != nil && d.phase == roleHeld && n.now < d.untilMs-leaseSlackMs {
		return n.Name, d.epoch
	}
	v, ok := n.holders[name]
	if !ok || v.Holder == "" || v.Holder == n.Name {
		return "", 0
	}
	return v.Holder, v.Epoch
}

func (n *node) acquire(name string) {
	if n.roles[name] == nil && n.leavingSince == 0 && n.core.Cluster != 0 {
		n.roles[name] = &roleLease{name: name, wantMs: n.now}
		n.poll.nextMs = 0
	}
}

func (n *node) tickPoll() {
	if len(n.core.Members) == 0 || n.now < n.poll.nextMs {
		return
	}
	n.poll.nextMs, n.poll.lastMs = n.now+pollMs, n.now
	if n.Colocated {
		n.poll.nextMs = n.now + pollColocatedMs
	}
	n.poll.seq++
	m := &wire.PollRequest{Incarnation: n.Incarnation, Seq: n.poll.seq, SetVersion: n.core.Version, WallMs: n.wall}
	r := &pollRound{seq: n.poll.seq, sentMs: n.now, acks: map[string]*wire.PollResponse{}}
	n.poll.sent[m.Seq] = r
	for _, name := range sorted(n.roles) {
		d := n.roles[name]
		if d.phase == roleWanted {
			if d.rounds++; d.rounds > 2 {
				n.backOff(d)
			}
		}
		if d.phase == roleReleasing {
			m.Releases = append(m.Releases, wire.LeaseRelease{Name: name, Successor: d.releasing})
		} else {
			m.Wanted = append(m.Wanted, wire.LeaseRequest{Name: name, Epoch: d.epoch})
			r.leases = append(r.leases, d)
		}
	}
	r.holds, r.frees = m.Wanted, m.Releases
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

// backOff gives up on a duty whose grants were split, and waits a while.
func (n *node) backOff(d *roleLease) {
	d.phase, d.releasing, d.releaseAcks = roleReleasing, "", map[string]bool{}
	n.poll.nextMs = 0
	if n.poll.freeSince != nil {
		n.poll.freeSince[d.name] = n.now + n.rand().Int64N(acquireStepMs)
	}
}

func (p *pollState) recordAnswer(member string, nowMs int64) {
	if p.heardMs == nil {
		p.heardMs = map[string]int64{}
	}
	p.heardMs[member] = nowMs
}

func (n *node) onPollResponse(from string, m *wire.PollResponse) {
	n.poll.recordAnswer(from, n.now)
	r := n.poll.sent[m.Seq]
	if r == nil || m.SetVersion != n.core.Version || r.acks[from] != nil || len(m.Granted) != len(r.holds) || len(m.Epochs) != len(r.holds) {
		return
	}
	r.acks[from] = m
	n.poll.observeClock(n, from, r.sentMs, m.FleetMs)
	n.poll.slowMs[from] = m.SyncMs
	need := n.core.Majority()
	for i, d := range r.leases {
		if n.roles[d.name] == d {
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
	n.poll.contactMs = max(n.poll.contactMs, r.sentMs)
	n.confirmConfig(r)
	n.observeHolders(r)
	for _, f := range r.frees {
		if d := n.roles[f.Name]; d != nil && d.phase == roleReleasing {
			d.releaseAcks[from] = true
			if len(d.releaseAcks) >= need {
				n.loseRole(d, "released")
			}
		}
	}
}

// leaseGranted counts the grants of a duty's lease in one round. The lease runs
// from when the round was sent, so it ends here before any member's grant does.
func (n *node) leaseGranted(r *pollRound, d *roleLease, epochs []uint64) {
	need := n.core.Majority()
	switch {
	case d.phase == roleReleasing:
	case d.phase == roleHeld && n.now >= d.untilMs-leaseSlackMs:
		// Others may have held it since: it is taken anew, under a new epoch.
		n.loseRole(d, "lease_ended")
	case len(epochs) >= need:
		d.untilMs = max(d.untilMs, r.sentMs+leaseMs)
		if d.phase == roleWanted {
			d.phase, d.takenMs, d.knownEpoch = roleAdvancingEpoch, n.now, epochs[need-1]
			n.startChange("duty/"+d.name, "duty", []byte(d.name), 0)
		}
	case d.phase == roleWanted && len(r.acks) == len(n.core.Members):
		n.backOff(d)
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

// observeHolders learns from a majority's answers who holds what, and which duty
// stands free.
func (n *node) observeHolders(r *pollRound) {
	seen := map[string]bool{}
	for _, from := range sorted(r.acks) {
		for _, v := range r.acks[from].Holders {
			old, ok := n.holders[v.Name]
			if !seen[v.Name] || !ok || v.Epoch > old.Epoch || v.Epoch == old.Epoch && old.Holder == "" {
				n.holders[v.Name] = v
			}
			seen[v.Name] = true
		}
	}
	for _, name := range sorted(n.holders) {
		if !seen[name] {
			if n.poll.lastHolders == nil {
				n.poll.lastHolders = map[string]formerHolder{}
			}
			holder := n.holders[name].Holder
			n.poll.lastHolders[name] = formerHolder{holder, n.now}
			delete(n.holders, name)
			n.retryForwarded(holder)
		}
	}
}

func advanceEpoch(n *node, o *registerChange, current []byte) (register.Decision, []byte) {
	d := n.roles[string(o.arg)]
	var v wire.RoleHolder
	if d == nil || len(current) > 0 && codec.Unmarshal(current, &v) != nil {
		return register.Fail, nil
	}
	if v.Epoch > d.knownEpoch && (v.Holder != n.Name || v.Incarnation != n.Incarnation) {
		return register.Refuse, nil // taken by another since our lease was granted, by members that have started anew
	}
	return register.Replace, codec.Append(nil, wire.RoleHolder{Name: d.name, Holder: n.Name, Incarnation: n.Incarnation, Addr: n.Addr, Epoch: v.Epoch + 1})
}

func (n *node) epochAdvanced(o *registerChange, outcome register.Outcome) {
	d := n.roles[string(o.arg)]
	if d == nil || d.phase != roleAdvancingEpoch {
		return
	}
	var v wire.RoleHolder
	if outcome == register.Refused && n.now < d.untilMs-leaseSlackMs {
		d.phase, d.rounds, n.poll.nextMs = roleWanted, 0, 0 // the members know the newer epoch now
		return
	}
	if outcome != register.Done || codec.Unmarshal(o.Value(), &v) != nil || n.now >= d.untilMs-leaseSlackMs {
		n.loseRole(d, "not_taken")
		return
	}
	d.phase, d.epoch = roleHeld, v.Epoch
	n.holders[d.name] = v
	n.count("duties_taken")
	n.log("duty_taken", "duty", d.name, "epoch", d.epoch)
	roleStarts[roleKind(d.name)](n, d)
}

func roleKind(name string) string {
	kind, _, _ := strings.Cut(name, "/")
	return kind
}

var roleStarts = map[string]func(*node, *roleLease){
	"slice":   func(n *node, d *roleLease) { n.startShard(d) },
	"agent":   func(n *node, d *roleLease) { n.startAgent(d) },
	"central": func(n *node, d *roleLease) { n.startCentral(d) },
}

var roleStops = map[string]func(*node, string){
	"slice":   func(n *node, name string) { n.endShard(strings.TrimPrefix(name, "slice/")) },
	"agent":   func(n *node, name string) { delete(n.agents, strings.TrimPrefix(name, "agent/")) },
	"central": func(n *node, _ string) { n.central = nil },
}

func (n *node) loseRole(d *roleLease, why string) {
	delete(n.roles, d.name)
	delete(n.holders, d.name)
	if d.epoch != 0 {
		n.log("duty_lost", "duty", d.name, "epoch", d.epoch, "why", why)
	}
	roleStops[roleKind(d.name)](n, d.name)
}

// handOff stops serving a duty at once and names who takes it next.
func (n *node) handOff(d *roleLease, successor string) {
	if d.phase == roleReleasing {
		return
	}
	n.log("duty_resigned", "duty", d.name, "epoch", d.epoch, "successor", successor)
	roleStops[roleKind(d.name)](n, d.name)
	d.phase, d.releasing, d.releaseAcks = roleReleasing, successor, map[string]bool{}
	n.poll.nextMs = 0
}

// candidates orders the live daemons for a duty: its own site first, then by
// rendezvous weight. Who has just lost it, most likely by its death, is none.
func (n *node) candidates(name, site string) []string {
	lost, ok := n.poll.lastHolders[name]
	if ok && n.now-lost.atMs > peerAliveMs {
		delete(n.poll.lastHolders, name)
		lost.name = ""
	}
	all := slices.DeleteFunc(n.aliveNames(), func(s string) bool {
		if s == lost.name {
			return true
		}
		if s == n.Name {
			return n.leavingSince != 0
		}
		return n.peers[s].Leaving
	})
	order := rendezvous.Order(name, all)
	if roleKind(name) != "agent" { // small machines beside workers come last, then those without a disk
		rank := func(s string) int {
			me := n.selfInfo()
			if s != n.Name {
				me = n.peers[s].Peer
			}
			return map[bool]int{true: 2}[me.Colocated] + map[bool]int{true: 1}[!me.Disk]
		}
		slices.SortStableFunc(order, func(a, b string) int { return rank(a) - rank(b) })
	}
	var home, away []string
	for _, s := range order {
		if n.zoneOf(s) == site && (roleKind(name) == "agent" || s != n.Name && !n.peers[s].Colocated || s == n.Name && !n.Colocated) {
			home = append(home, s)
		} else {
			away = append(away, s)
		}
	}
	return append(home, away...)
}

func (n *node) tickRoles() {
	for _, name := range sorted(n.roles) {
		d := n.roles[name]
		switch {
		case d.phase == roleWanted || d.phase == roleReleasing:
			if n.now-d.wantMs > wantAgentMs && n.now >= d.untilMs {
				n.loseRole(d, "not_granted")
			}
		case n.now >= d.untilMs-leaseSlackMs:
			n.loseRole(d, "lease_ended")
		}
	}
	if n.core.Cluster == 0 || n.now-n.poll.contactMs > leaseMs || n.leavingSince != 0 {
		n.poll.freeSince = nil
		return
	}
	if n.poll.freeSince == nil {
		n.poll.freeSince = map[string]int64{}
	}
	for _, name := range sorted(n.holders) { // what its holder named this daemon the successor for
		if v := n.holders[name]; v.Holder == "" && v.Successor == n.Name {
			n.acquire(name)
		}
	}
	wanted := map[string]string{"central": n.Zone}
	for _, s := range n.core.Shards {
		wanted["slice/"+s] = s
	}
	for _, name := range sorted(wanted) {
		v, held := n.holders[name]
		if held && v.Holder != "" || n.roles[name] != nil {
			if n.roles[name] == nil {
				delete(n.poll.freeSince, name)
			}
			n.returnToZone(name, wanted[name])
			continue
		}
		if _, ok := n.poll.freeSince[name]; !ok {
			n.poll.freeSince[name] = n.now
		}
		site := wanted[name]
		if name == "central" {
			site = ""
		}
		rank := slices.Index(n.candidates(name, site), n.Name)
		if rank >= 0 && n.now-n.poll.freeSince[name] >= int64(rank)*acquireStepMs {
			n.acquire(name)
		}
	}
}

// returnToZone hands a slice held outside its site back once the site stands.
func (n *node) returnToZone(name, site string) {
	d := n.roles[name]
	if d == nil || d.phase != roleHeld || n.Zone == site || roleKind(name) != "slice" || n.now-d.takenMs < returnMs {
		return
	}
	c := n.candidates(name, site)
	if len(c) > 0 && n.zoneOf(c[0]) == site && n.peers[c[0]] != nil {
		d.takenMs = n.now // one try per period, if the successor fails it
		n.handOff(d, c[0])
	}
}

func (n *node) onStop(evStop) {
	if n.leavingSince != 0 {
		return
	}
	n.leavingSince = n.now
	n.log("stopping", "duties", len(n.roles))
	if n.inCore() {
		n.notifySpares()
	}
	for _, name := range sorted(n.roles) {
		d := n.roles[name]
		site := strings.TrimPrefix(name, "slice/")
		if ag := n.agents[strings.TrimPrefix(name, "agent/")]; ag != nil {
			site = ag.site
		}
		successor := ""
		if c := n.candidates(name, site); len(c) > 0 {
			successor = c[0]
		}
		if d.phase == roleHeld {
			n.handOff(d, successor)
		}
	}
}

func (n *node) tickShutdown() {
	if n.leavingSince == 0 || n.awaitsSuccessor() {
		return
	}
	if len(n.roles) == 0 && n.now-n.leavingSince > 300 || n.now-n.leavingSince > stopMs {
		n.emit(effExit{})
	}
}

// fleetTime is the fleet's time, at the least: the median of what the core
// members make of all clocks they hear, carried by the steady clock. 0 while it is unknown.
func (p *pollState) fleetTime(n *node) int64 { return p.median(n, false) }

// latestFleetTime is the fleet's time at the most. A delay counts from here, so that
// no later owner, with a better reading, finds the job due too early.
func (p *pollState) latestFleetTime(n *node) int64 { return p.median(n, true) }

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

// clockBounds bounds a core member's word on the fleet's time, minus our steady
// clock: it spoke after we asked and before we heard it. The closest bounds of
// the last seconds count.
type clockBounds struct{ least, leastMs, most, mostMs int64 }

func (p *pollState) observeClock(n *node, from string, sentMs, fleetMs int64) {
	if fleetMs == 0 {
		return
	}
	if p.clocks == nil {
		p.clocks = map[string]clockBounds{}
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
