package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

// The model is a fleet whose shards place the tasks of one tenant. It is plain data, and a random
// walk moves it from state to state. It includes these faults:
//
// Messages stay in the network until they are dropped: each may be delivered at any later time, any
// number of times, in any order, or never.
//
// Daemons adopt configuration versions late and may skip some of them.
//
// The owner of a shard may be replaced at any time. A former owner continues to place tasks, but
// the core rejects its records; its reports may still be in flight. The new owner starts with the
// placements in the core's records, which include finished tasks that the former owner had not
// recorded yet. It knows every counter that started before its takeover, because its lease and the
// counter's lease are granted by majorities, and any two majorities overlap.
//
// A counter may be replaced in the same way, and the former counter continues to lend.

const (
	modelTenant  = "t"
	modelCounter = "a" // the shard whose owner runs the counter
	maxInFlight  = 12  // messages in flight; beyond that the oldest is lost
)

var modelShards = []string{"a", "b", "c"}

// modelDaemon is a daemon with the limits that it applies.
type modelDaemon struct {
	name   string
	limits Limits
}

// modelUnit is one task, or a gang whose tasks start together.
type modelUnit struct {
	id         int
	shard      string
	task       resource.Amount
	size       int
	guaranteed bool // placement is requested first, with a reservation in the meantime
	sinceMs    int64
	placedMs   int64
	runs       []*modelRun // one for each task after its placement
}

func (u *modelUnit) key() string { return fmt.Sprint(u.id) }

func (u *modelUnit) amount() (sum resource.Amount) {
	for range u.size {
		sum = sum.Plus(u.task)
	}
	return sum
}

// modelRun is one placed task.
type modelRun struct {
	unit      *modelUnit
	version   int64 // configuration version of the placement
	committed bool  // the record is in the core
	lost      bool  // its owner was replaced before that
	started   bool
	ended     bool // does not run and never will
	released  bool // the current owner knows of the end
	recorded  bool // the end is in the core's records
}

// modelOwner is the owner of a shard in one epoch.
type modelOwner struct {
	shard    string
	epoch    uint64
	daemon   *modelDaemon
	former   bool
	borrower *Borrower
}

// modelCounterInstance is a counter in one epoch.
type modelCounterInstance struct {
	daemon  *modelDaemon
	epoch   uint64
	counter *Counter
}

// modelMessage is a message in flight: a report or a grant.
type modelMessage struct {
	report *wire.ShareReport
	grant  *wire.ShareGrant
}

// model is the state of a random walk.
type model struct {
	rng                *rand.Rand
	nowMs              int64
	versions           []Limit // index i holds version i+1
	daemons            []*modelDaemon
	owners             map[string]*modelOwner
	formerOwners       []*modelOwner
	counters           []*modelCounterInstance // the last one is current
	epoch              uint64                  // of the current counter
	inFlight           []modelMessage
	waiting            []*modelUnit
	placed             []*modelUnit
	units              int
	starts             int
	fixedLimit         bool // the limit never changes
	sometimesUnlimited bool // some versions have no limit
	violation          string
}

func newModel(seed uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), nowMs: 1000, owners: map[string]*modelOwner{}}
	switch m.rng.IntN(6) {
	case 0, 1:
		m.fixedLimit = true
	case 2:
		m.sometimesUnlimited = true
	}
	m.publish(Limit{CPU: int64(6 + m.rng.IntN(15)), Memory: int64(m.rng.IntN(2) * 20)})
	for i := range 4 {
		d := &modelDaemon{name: fmt.Sprint("daemon-", i)}
		m.daemons = append(m.daemons, d)
		m.adopt(d, 1)
	}
	m.replaceCounter()
	for _, shard := range modelShards {
		m.replaceOwner(shard)
	}
	return m
}

// pick returns a random item.
func pick[T any](m *model, items []T) T { return items[m.rng.IntN(len(items))] }

func (m *model) newestVersion() int64 { return int64(len(m.versions)) }

func (m *model) publish(limit Limit) { m.versions = append(m.versions, limit) }

// publishNext publishes another version. No daemon stays at a version older than the previous one.
func (m *model) publishNext() {
	limit := m.versions[0]
	limit.CPU = max(2, limit.CPU+int64(m.rng.IntN(25)-12))
	if m.sometimesUnlimited && m.rng.IntN(2) == 0 {
		limit = Limit{}
	}
	m.publish(limit)
	for _, d := range m.daemons {
		if d.limits.Version() < m.newestVersion()-1 {
			m.adopt(d, m.newestVersion()-int64(m.rng.IntN(2)))
		}
	}
}

// adopt applies a version at a daemon and at all owners on it.
func (m *model) adopt(d *modelDaemon, version int64) {
	lowered := d.limits.Adopt(version, version-1, map[string]Limit{modelTenant: m.versions[version-1]})
	for _, o := range m.allOwners() {
		if o.daemon == d && len(lowered) > 0 {
			o.borrower.OnLimitLowered(modelTenant)
		}
	}
}

func (m *model) allOwners() (owners []*modelOwner) {
	for _, shard := range modelShards {
		if o := m.owners[shard]; o != nil {
			owners = append(owners, o)
		}
	}
	return append(owners, m.formerOwners...)
}

// highestAppliedLimit returns the highest limit that some daemon applies.
func (m *model) highestAppliedLimit() (limit Limit) {
	limit = m.daemons[0].limits.Of(modelTenant)
	for _, d := range m.daemons {
		other := d.limits.Of(modelTenant)
		if other.Unlimited() {
			return other
		}
		limit = Limit(larger(resource.Amount(limit), resource.Amount(other)))
	}
	return limit
}

func (m *model) currentCounter() *modelCounterInstance { return m.counters[len(m.counters)-1] }

func (m *model) replaceCounter() {
	m.epoch++
	epoch := m.epoch
	m.counters = append(m.counters, &modelCounterInstance{
		daemon: pick(m, m.daemons), epoch: epoch, counter: NewCounter(modelCounter, epoch),
	})
	m.counters = m.counters[max(0, len(m.counters)-3):]
}

// replaceOwner replaces the owner of a shard. The new owner reads the records of the core;
// placements that are not committed are lost.
func (m *model) replaceOwner(shard string) {
	epoch := uint64(1)
	if former := m.owners[shard]; former != nil {
		former.former, epoch = true, former.epoch+1
		m.formerOwners = append(m.formerOwners, former)
		m.formerOwners = m.formerOwners[max(0, len(m.formerOwners)-4):]
	}
	o := &modelOwner{
		shard: shard, epoch: epoch, daemon: pick(m, m.daemons), borrower: NewBorrower(shard, epoch, modelCounter),
	}
	m.owners[shard] = o
	if m.sometimesUnlimited { // by an earlier version, it would place tasks without a limit, unknown to any counter
		m.adopt(o.daemon, m.newestVersion())
	}
	for _, u := range m.placed {
		if u.shard != shard {
			continue
		}
		for _, r := range u.runs {
			r.lost = r.lost || !r.committed
			if r.committed && !r.recorded {
				r.released = false
				o.borrower.Use(modelTenant, u.task)
			}
		}
	}
	m.removeFinished()
	o.borrower.SetCounter(m.currentCounter().daemon.name, m.currentCounter().epoch)
}

// removeFinished removes runs that are lost or whose end is recorded.
func (m *model) removeFinished() {
	m.placed = slices.DeleteFunc(m.placed, func(u *modelUnit) bool {
		u.runs = slices.DeleteFunc(u.runs, func(r *modelRun) bool { return r.lost || r.recorded })
		return len(u.runs) == 0
	})
}

// running returns the resources of running tasks, and their units.
func (m *model) running() (sum resource.Amount, units map[*modelUnit]bool) {
	units = map[*modelUnit]bool{}
	for _, u := range m.placed {
		for _, r := range u.runs {
			if r.started && !r.ended {
				sum = sum.Plus(u.task)
				units[u] = true
			}
		}
	}
	return sum, units
}

// mayRun returns the resources of tasks that run or may be started, and their units.
func (m *model) mayRun() (sum resource.Amount, units map[*modelUnit]bool) {
	units = map[*modelUnit]bool{}
	for _, u := range m.placed {
		for _, r := range u.runs {
			if !r.lost && !r.ended {
				sum = sum.Plus(u.task)
				units[u] = true
			}
		}
	}
	return sum, units
}

// checkLimit compares a sum with a limit, which a single unit may exceed by its last task.
func (m *model) checkLimit(what string, sum resource.Amount, units map[*modelUnit]bool, limit Limit) {
	if m.violation != "" || limit.Admits(sum) {
		return
	}
	if len(units) == 1 {
		for u := range units {
			if limit.Admits(sum.Minus(u.task)) {
				return
			}
		}
	}
	m.violation = fmt.Sprintf("%s: %v of %v by %d units", what, sum, limit, len(units))
}

// submit adds a unit to a shard.
func (m *model) submit(shard string, cpu int64, size int, guaranteed bool) *modelUnit {
	m.units++
	u := &modelUnit{
		id: m.units, shard: shard, task: resource.Amount{CPU: cpu, Memory: cpu}, size: size,
		guaranteed: guaranteed || size > 1, sinceMs: m.nowMs,
	}
	m.waiting = append(m.waiting, u)
	return u
}

func (m *model) submitRandom() {
	if len(m.waiting) > 8 {
		return
	}
	size, cpu := 1, int64(1+m.rng.IntN(4))
	switch m.rng.IntN(8) {
	case 0:
		cpu = int64(10 + m.rng.IntN(15)) // may be larger than the limit
	case 1:
		size = 2 + m.rng.IntN(3)
	}
	m.submit(pick(m, modelShards), cpu, size, m.rng.IntN(3) == 0)
}

// schedulePass makes an owner place the units that fit and claim resources for the others, as in
// one tick.
func (m *model) schedulePass(o *modelOwner) {
	o.borrower.BeginClaims()
	for _, u := range slices.Clone(m.waiting) {
		if u.shard == o.shard {
			m.placeOrClaim(o, u)
		}
	}
	o.borrower.EndClaims()
}

// placeOrClaim places a unit if the held amount covers it, and claims the resources otherwise.
func (m *model) placeOrClaim(o *modelOwner, u *modelUnit) {
	limit := o.daemon.limits.Of(modelTenant)
	switch {
	case o.borrower.YieldReservation(modelTenant, u.key(), m.nowMs):
	case !o.borrower.FitsReserved(modelTenant, u.key(), u.amount(), u.task, limit, m.nowMs):
		o.borrower.Claim(modelTenant, u.key(), wire.ShareClaim{
			Job: u.key(), SubmittedMs: u.sinceMs, Unit: u.amount(), Task: u.task, Count: 1,
		}, m.nowMs)
	case u.guaranteed && (m.rng.IntN(3) == 0 || o.borrower.Reserved(modelTenant, u.key(), m.nowMs) == resource.Amount{}):
		o.borrower.Reserve(modelTenant, u.key(), u.amount(), m.nowMs, m.nowMs+1500)
	default:
		m.place(o, u)
	}
}

// place places a unit. A placement by a former owner is never committed, so the unit stays waiting.
func (m *model) place(o *modelOwner, u *modelUnit) {
	for range u.size {
		o.borrower.Use(modelTenant, u.task)
		o.borrower.Unreserve(modelTenant, u.key(), u.task)
	}
	if o.former {
		return
	}
	u.placedMs = m.nowMs
	for range u.size {
		u.runs = append(u.runs, &modelRun{unit: u, version: o.daemon.limits.Version()})
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(w *modelUnit) bool { return w == u })
	m.placed = append(m.placed, u)
}

// report sends an owner's report if one is due. Only the holder of the shard's lease reports.
func (m *model) report(o *modelOwner) {
	if o.former {
		return
	}
	if m.rng.IntN(3) > 0 { // messages about earlier counters may arrive late
		c := pick(m, append(slices.Clone(m.counters), m.currentCounter(), m.currentCounter()))
		o.borrower.SetCounter(c.daemon.name, c.epoch)
	}
	if _, report := o.borrower.NextReport(m.nowMs, o.daemon.limits.Version()); report != nil {
		m.send(modelMessage{report: report})
	}
}

func (m *model) send(message modelMessage) {
	m.inFlight = append(m.inFlight, message)
	m.inFlight = m.inFlight[max(0, len(m.inFlight)-maxInFlight):]
}

// lend makes a counter lend, whether it is current or superseded.
func (m *model) lend(c *modelCounterInstance) {
	for _, g := range c.counter.Lend(CounterConfig{Shards: modelShards, Limits: &c.daemon.limits}) {
		m.send(modelMessage{grant: g.Message})
	}
}

// deliver delivers a message to all possible receivers.
func (m *model) deliver(message modelMessage) {
	if message.report != nil {
		for _, c := range m.counters {
			if c.counter.OnReport("owner-"+message.report.Shard, message.report) {
				m.lend(c)
			}
		}
		return
	}
	for _, o := range m.allOwners() {
		if o.shard != message.grant.Shard {
			continue
		}
		for _, tenant := range o.borrower.OnGrant(message.grant, m.nowMs, o.daemon.limits.Version()) {
			o.borrower.ClearClaims(tenant)
			for _, u := range slices.Clone(m.waiting) {
				if u.shard == o.shard {
					m.placeOrClaim(o, u)
				}
			}
		}
	}
}

// runs returns the placed tasks that match a condition.
func (m *model) runs(matches func(*modelRun) bool) (runs []*modelRun) {
	for _, u := range m.placed {
		for _, r := range u.runs {
			if !r.lost && matches(r) {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// start makes an agent start a task, or reject it if the limit was lowered since its placement.
func (m *model) start(r *modelRun, d *modelDaemon) {
	if d.limits.Outdated(modelTenant, r.version) {
		r.ended = true
		return
	}
	r.started = true
	m.starts++
	sum, units := m.running()
	m.checkLimit(fmt.Sprint("start of ", r.unit.id), sum, units, m.highestAppliedLimit())
}

// release reports the end of a task to the owner of its shard.
func (m *model) release(r *modelRun) {
	r.released = true
	m.owners[r.unit.shard].borrower.Release(modelTenant, r.unit.task)
}

// applyToRandomRun applies a function to a random task that matches a condition.
func (m *model) applyToRandomRun(matches func(*modelRun) bool, apply func(*modelRun)) {
	if runs := m.runs(matches); len(runs) > 0 {
		apply(pick(m, runs))
	}
}

// step makes one random event happen and checks the invariants.
func (m *model) step() {
	m.nowMs += int64(m.rng.IntN(40))
	switch n := m.rng.IntN(100); {
	case n < 10:
		m.submitRandom()
	case n < 24:
		m.schedulePass(pick(m, m.allOwners()))
	case n < 40:
		m.report(pick(m, m.allOwners()))
	case n < 44:
		m.lend(pick(m, m.counters))
	case n < 68:
		m.networkEvent()
	case n < 97:
		m.taskEvent()
	default:
		m.clusterEvent()
	}
	if m.fixedLimit {
		sum, units := m.mayRun()
		m.checkLimit("placed", sum, units, m.highestAppliedLimit())
	}
	m.checkOwners()
}

// networkEvent delivers a message, with possible loss, duplication and reordering.
func (m *model) networkEvent() {
	if len(m.inFlight) == 0 {
		return
	}
	at := m.rng.IntN(len(m.inFlight))
	if m.rng.IntN(3) > 0 {
		at = len(m.inFlight) - 1
	}
	message := m.inFlight[at]
	if m.rng.IntN(4) > 0 {
		m.inFlight = slices.Delete(m.inFlight, at, at+1)
	}
	if m.rng.IntN(10) > 0 {
		m.deliver(message)
	}
}

// taskEvent advances the state of a random placed task.
func (m *model) taskEvent() {
	switch m.rng.IntN(6) {
	case 0, 1:
		m.applyToRandomRun(func(r *modelRun) bool { return !r.committed }, func(r *modelRun) { r.committed = true })
	case 2, 3:
		m.applyToRandomRun(
			func(r *modelRun) bool { return r.committed && !r.started && !r.ended },
			func(r *modelRun) { m.start(r, pick(m, m.daemons)) },
		)
	case 4:
		m.applyToRandomRun(func(r *modelRun) bool { return r.started && !r.ended }, func(r *modelRun) { r.ended = true })
	case 5:
		if m.rng.IntN(3) > 0 {
			m.applyToRandomRun(func(r *modelRun) bool { return r.ended && !r.released }, m.release)
			return
		}
		m.applyToRandomRun(func(r *modelRun) bool { return r.released }, func(r *modelRun) { r.recorded = true })
		m.removeFinished()
	}
}

// clusterEvent replaces a counter or an owner, or changes the configuration of the fleet or a daemon.
func (m *model) clusterEvent() {
	switch m.rng.IntN(12) {
	case 0:
		m.replaceCounter()
	case 1, 2:
		m.replaceOwner(pick(m, modelShards))
	case 3, 4, 5:
		if !m.fixedLimit {
			m.publishNext()
		}
	default:
		if d := pick(m, m.daemons); d.limits.Version() < m.newestVersion() {
			m.adopt(d, d.limits.Version()+1+m.rng.Int64N(m.newestVersion()-d.limits.Version()))
		}
	}
}

// checkOwners checks that each owner holds at least what it uses.
func (m *model) checkOwners() {
	for _, o := range m.allOwners() {
		held, used := o.borrower.Held(modelTenant)
		if m.violation == "" && !used.Fits(held) {
			m.violation = fmt.Sprintf("%s holds %v and uses %v", o.shard, held, used)
		}
	}
}
