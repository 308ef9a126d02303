package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

// The model is a fleet whose shards place the tasks of one tenant, as plain data that a random
// walk moves from state to state. What may go wrong:
//
// Messages stay in the network until they are dropped: each is delivered at any later time, any
// number of times, in any order, or never.
//
// Daemons learn of versions of the configuration late, and may never see some of them.
//
// The owner of a shard is followed by another at any time. A former owner goes on placing tasks,
// but the core takes no record of it any more; what it reported may still be on its way. The next
// owner begins with what the core's records say is placed, where ends that the former one had not
// written down yet still count. It knows each counter that had begun when it took over: its lease
// and the counter's are granted by majorities, of which each two have a member in common.
//
// Who counts is followed by another in the same way, and goes on lending all the while.

const (
	modelTenant  = "t"
	modelCounter = "a" // the shard whose owner counts
	inboxMax     = 12  // messages that are on their way; beyond that the oldest is lost
)

var modelShards = []string{"a", "b", "c"}

// modelDaemon is a daemon as far as limits go.
type modelDaemon struct {
	name   string
	limits Limits
}

// modelUnit is what starts together: one task, or a gang.
type modelUnit struct {
	id       int
	shard    string
	task     resource.Amount
	size     int
	firm     bool // room is asked for first, and a share is reserved meanwhile
	sinceMs  int64
	placedMs int64
	runs     []*modelRun // one for each task, once it is placed
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
	version   int64 // of the configuration by which it was placed
	committed bool  // the core has its record
	doomed    bool  // its owner was followed by another before that
	started   bool
	ended     bool // surely runs no more, nor will it
	released  bool // as the current owner knows
	recorded  bool // and as the core's records say
}

// modelOwner is one life of a shard's owner.
type modelOwner struct {
	shard    string
	epoch    uint64
	daemon   *modelDaemon
	former   bool
	borrower *Borrower
}

// modelCounting is one life of a counter.
type modelCounting struct {
	daemon  *modelDaemon
	epoch   uint64
	counter *Counter
}

// modelMessage is one message on its way: a report or a grant.
type modelMessage struct {
	report *wire.ShareReport
	grant  *wire.ShareGrant
}

// model is the state of a walk.
type model struct {
	rng       *rand.Rand
	nowMs     int64
	versions  []Limit // number i is version i+1
	daemons   []*modelDaemon
	owners    map[string]*modelOwner
	formers   []*modelOwner
	countings []*modelCounting // the last one counts
	epoch     uint64           // of that
	inbox     []modelMessage
	waiting   []*modelUnit
	placed    []*modelUnit
	units     int
	starts    int
	steady    bool // the limit never changes
	unlimited bool // some versions have none
	fault     string
}

func newModel(seed uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), nowMs: 1000, owners: map[string]*modelOwner{}}
	switch m.rng.IntN(6) {
	case 0, 1:
		m.steady = true
	case 2:
		m.unlimited = true
	}
	m.publish(Limit{CPU: int64(6 + m.rng.IntN(15)), Memory: int64(m.rng.IntN(2) * 20)})
	for i := range 4 {
		d := &modelDaemon{name: fmt.Sprint("daemon-", i)}
		m.daemons = append(m.daemons, d)
		m.adopt(d, 1)
	}
	m.nextCounter()
	for _, shard := range modelShards {
		m.nextOwner(shard)
	}
	return m
}

// pick gives one of several.
func pick[T any](m *model, of []T) T { return of[m.rng.IntN(len(of))] }

func (m *model) newest() int64 { return int64(len(m.versions)) }

func (m *model) publish(limit Limit) { m.versions = append(m.versions, limit) }

// publishNext has another version in force. Daemons go by no version older than the one before.
func (m *model) publishNext() {
	limit := m.versions[0]
	limit.CPU = max(2, limit.CPU+int64(m.rng.IntN(25)-12))
	if m.unlimited && m.rng.IntN(2) == 0 {
		limit = Limit{}
	}
	m.publish(limit)
	for _, d := range m.daemons {
		if d.limits.Version() < m.newest()-1 {
			m.adopt(d, m.newest()-int64(m.rng.IntN(2)))
		}
	}
}

// adopt has a daemon, and all owners there, go by a version.
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
	return append(owners, m.formers...)
}

// limitInForce is the highest limit of the versions that some daemon goes by.
func (m *model) limitInForce() (limit Limit) {
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

func (m *model) counting() *modelCounting { return m.countings[len(m.countings)-1] }

func (m *model) nextCounter() {
	m.epoch++
	epoch := m.epoch
	m.countings = append(m.countings, &modelCounting{
		daemon: pick(m, m.daemons), epoch: epoch, counter: NewCounter(modelCounter, epoch),
	})
	m.countings = m.countings[max(0, len(m.countings)-3):]
}

// nextOwner has a shard's records read by its next owner, which what the core doesn't have is lost to.
func (m *model) nextOwner(shard string) {
	epoch := uint64(1)
	if former := m.owners[shard]; former != nil {
		former.former, epoch = true, former.epoch+1
		m.formers = append(m.formers, former)
		m.formers = m.formers[max(0, len(m.formers)-4):]
	}
	o := &modelOwner{
		shard: shard, epoch: epoch, daemon: pick(m, m.daemons), borrower: NewBorrower(shard, epoch, modelCounter),
	}
	m.owners[shard] = o
	if m.unlimited { // by an earlier version, it would place without a limit what no counter knows of
		m.adopt(o.daemon, m.newest())
	}
	for _, u := range m.placed {
		if u.shard != shard {
			continue
		}
		for _, r := range u.runs {
			r.doomed = r.doomed || !r.committed
			if r.committed && !r.recorded {
				r.released = false
				o.borrower.Use(modelTenant, u.task)
			}
		}
	}
	m.forget()
	o.borrower.SetCounter(m.counting().daemon.name, m.counting().epoch)
}

// forget lets go of what is over, and has lost placements wait again.
func (m *model) forget() {
	m.placed = slices.DeleteFunc(m.placed, func(u *modelUnit) bool {
		u.runs = slices.DeleteFunc(u.runs, func(r *modelRun) bool { return r.doomed || r.recorded })
		return len(u.runs) == 0
	})
}

// running is what runs, and which units it is of.
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

// mayRun is what runs or may be started.
func (m *model) mayRun() (sum resource.Amount, units map[*modelUnit]bool) {
	units = map[*modelUnit]bool{}
	for _, u := range m.placed {
		for _, r := range u.runs {
			if !r.doomed && !r.ended {
				sum = sum.Plus(u.task)
				units[u] = true
			}
		}
	}
	return sum, units
}

// check compares a sum with a limit: one unit alone may pass it by its last task.
func (m *model) check(what string, sum resource.Amount, units map[*modelUnit]bool, limit Limit) {
	if m.fault != "" || limit.Admits(sum) {
		return
	}
	if len(units) == 1 {
		for u := range units {
			if limit.Admits(sum.Minus(u.task)) {
				return
			}
		}
	}
	m.fault = fmt.Sprintf("%s: %v of %v by %d units", what, sum, limit, len(units))
}

// submit has a shard get another unit.
func (m *model) submit(shard string, cpu int64, size int, firm bool) *modelUnit {
	m.units++
	u := &modelUnit{
		id: m.units, shard: shard, task: resource.Amount{CPU: cpu, Memory: cpu}, size: size,
		firm: firm || size > 1, sinceMs: m.nowMs,
	}
	m.waiting = append(m.waiting, u)
	return u
}

func (m *model) submitAny() {
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

// pass has an owner place what fits and claim what doesn't, as a tick does.
func (m *model) pass(o *modelOwner) {
	o.borrower.BeginClaims()
	for _, u := range slices.Clone(m.waiting) {
		if u.shard == o.shard {
			m.advance(o, u)
		}
	}
	o.borrower.EndClaims()
}

// advance places a unit if its share is held, or claims what it lacks.
func (m *model) advance(o *modelOwner, u *modelUnit) {
	limit := o.daemon.limits.Of(modelTenant)
	switch {
	case o.borrower.YieldReservation(modelTenant, u.key(), m.nowMs):
	case !o.borrower.FitsReserved(modelTenant, u.key(), u.amount(), u.task, limit, m.nowMs):
		o.borrower.Claim(modelTenant, u.key(), wire.ShareClaim{
			Job: u.key(), SubmittedMs: u.sinceMs, Unit: u.amount(), Task: u.task, Count: 1,
		}, m.nowMs)
	case u.firm && (m.rng.IntN(3) == 0 || o.borrower.Reserved(modelTenant, u.key(), m.nowMs) == resource.Amount{}):
		o.borrower.Reserve(modelTenant, u.key(), u.amount(), m.nowMs, m.nowMs+1500)
	default:
		m.place(o, u)
	}
}

// place has a unit placed. What a former owner places is never committed: the unit waits still.
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

// report sends an owner's report if one is due. Only who holds the shard's lease reports.
func (m *model) report(o *modelOwner) {
	if o.former {
		return
	}
	if m.rng.IntN(3) > 0 { // what is told of earlier ones comes late
		c := pick(m, append(slices.Clone(m.countings), m.counting(), m.counting()))
		o.borrower.SetCounter(c.daemon.name, c.epoch)
	}
	if _, report := o.borrower.NextReport(m.nowMs, o.daemon.limits.Version()); report != nil {
		m.send(modelMessage{report: report})
	}
}

func (m *model) send(message modelMessage) {
	m.inbox = append(m.inbox, message)
	m.inbox = m.inbox[max(0, len(m.inbox)-inboxMax):]
}

// lend has a counter lend, whether it still counts or only believes so.
func (m *model) lend(c *modelCounting) {
	for _, g := range c.counter.Lend(CounterConfig{Shards: modelShards, Limits: &c.daemon.limits}) {
		m.send(modelMessage{grant: g.Message})
	}
}

// deliver has a message come to all that it may come to.
func (m *model) deliver(message modelMessage) {
	if message.report != nil {
		for _, c := range m.countings {
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
					m.advance(o, u)
				}
			}
		}
	}
}

// runs gives the placed tasks that something holds of.
func (m *model) runs(holds func(*modelRun) bool) (runs []*modelRun) {
	for _, u := range m.placed {
		for _, r := range u.runs {
			if !r.doomed && holds(r) {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// start has an agent start a task, or send it back where the limit was lowered since.
func (m *model) start(r *modelRun, d *modelDaemon) {
	if d.limits.Outdated(modelTenant, r.version) {
		r.ended = true
		return
	}
	r.started = true
	m.starts++
	sum, units := m.running()
	m.check(fmt.Sprint("start of ", r.unit.id), sum, units, m.limitInForce())
}

// release has the owner of a task's shard learn of its end.
func (m *model) release(r *modelRun) {
	r.released = true
	m.owners[r.unit.shard].borrower.Release(modelTenant, r.unit.task)
}

// randomRun does something with one of the tasks that something holds of.
func (m *model) randomRun(holds func(*modelRun) bool, do func(*modelRun)) {
	if runs := m.runs(holds); len(runs) > 0 {
		do(pick(m, runs))
	}
}

// step is one event of a random walk.
func (m *model) step() {
	m.nowMs += int64(m.rng.IntN(40))
	switch n := m.rng.IntN(100); {
	case n < 10:
		m.submitAny()
	case n < 24:
		m.pass(pick(m, m.allOwners()))
	case n < 40:
		m.report(pick(m, m.allOwners()))
	case n < 44:
		m.lend(pick(m, m.countings))
	case n < 68:
		m.network()
	case n < 97:
		m.tasks()
	default:
		m.change()
	}
	if m.steady {
		sum, units := m.mayRun()
		m.check("placed", sum, units, m.limitInForce())
	}
	m.checkOwners()
}

// network delivers a message, and keeps, doubles or drops it.
func (m *model) network() {
	if len(m.inbox) == 0 {
		return
	}
	at := m.rng.IntN(len(m.inbox))
	if m.rng.IntN(3) > 0 {
		at = len(m.inbox) - 1
	}
	message := m.inbox[at]
	if m.rng.IntN(4) > 0 {
		m.inbox = slices.Delete(m.inbox, at, at+1)
	}
	if m.rng.IntN(10) > 0 {
		m.deliver(message)
	}
}

// tasks has something happen to a placed task.
func (m *model) tasks() {
	switch m.rng.IntN(6) {
	case 0, 1:
		m.randomRun(func(r *modelRun) bool { return !r.committed }, func(r *modelRun) { r.committed = true })
	case 2, 3:
		m.randomRun(
			func(r *modelRun) bool { return r.committed && !r.started && !r.ended },
			func(r *modelRun) { m.start(r, pick(m, m.daemons)) },
		)
	case 4:
		m.randomRun(func(r *modelRun) bool { return r.started && !r.ended }, func(r *modelRun) { r.ended = true })
	case 5:
		if m.rng.IntN(3) > 0 {
			m.randomRun(func(r *modelRun) bool { return r.ended && !r.released }, m.release)
			return
		}
		m.randomRun(func(r *modelRun) bool { return r.released }, func(r *modelRun) { r.recorded = true })
		m.forget()
	}
}

// change has a daemon or the configuration change.
func (m *model) change() {
	switch m.rng.IntN(12) {
	case 0:
		m.nextCounter()
	case 1, 2:
		m.nextOwner(pick(m, modelShards))
	case 3, 4, 5:
		if !m.steady {
			m.publishNext()
		}
	default:
		if d := pick(m, m.daemons); d.limits.Version() < m.newest() {
			m.adopt(d, d.limits.Version()+1+m.rng.Int64N(m.newest()-d.limits.Version()))
		}
	}
}

// checkOwners looks at what each owner holds: never less than it uses.
func (m *model) checkOwners() {
	for _, o := range m.allOwners() {
		held, used := o.borrower.Held(modelTenant)
		if m.fault == "" && !used.Fits(held) {
			m.fault = fmt.Sprintf("%s holds %v and uses %v", o.shard, held, used)
		}
	}
}
