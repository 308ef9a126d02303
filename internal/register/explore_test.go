package register

import (
	"flag"
	"fmt"
	"hash/maphash"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// scenario bounds an exploration: the changes that each process makes, in order, and how often each
// kind of fault occurs.
type scenario struct {
	name       string
	plans      [][]modelChange // by process; a change that is sent again is listed again
	retries    int
	restarts   int // of proposers
	timeouts   int
	crashes    int  // of members; if 0, each write is synced at once
	setChanges bool // c leaves, then d joins
	depth      int  // in events; 0 for no bound
}

var (
	changeA = modelChange{'A', 0}
	changeB = modelChange{'B', 0} // concurrent with A
	changeC = modelChange{'C', 1} // builds on A or B
)

const maxStates = 1_500_000 // of one scenario; they take some GB of memory

var unbounded = flag.Bool("whole", false, "explore without a bound on the depth; takes minutes")

// The scenarios without a depth are explored completely, the others to a depth that takes about a
// second each.
var scenarios = []scenario{
	{name: "two operators race", plans: [][]modelChange{{changeA}, {changeB}}},
	{name: "a proposer restarts, and its next instance makes the change again", plans: [][]modelChange{{changeA, changeA}}, restarts: 1},
	{name: "a proposer restarts, and its next instance makes another change", plans: [][]modelChange{{changeA, changeB}}, restarts: 1},
	{name: "two operators race, with another attempt", plans: [][]modelChange{{changeA}, {changeB}}, retries: 1, depth: 12},
	{name: "sent again to another proposer", plans: [][]modelChange{{changeA}, {changeA}}, retries: 1, depth: 12},
	{name: "sent again after other changes", plans: [][]modelChange{{changeA}, {changeA, changeC, changeA}}},
	{name: "timed out, and sent again after another change", plans: [][]modelChange{{changeA, changeA}, {changeB}}, timeouts: 1, depth: 14},
	{name: "a change builds on one that may be lost", plans: [][]modelChange{{changeA}, {changeC, changeC}}, timeouts: 1, depth: 18},
	{name: "a proposer restarts in a race", plans: [][]modelChange{{changeA, changeA}, {changeB}}, restarts: 1, depth: 14},
	{name: "a member loses unsynced writes", plans: [][]modelChange{{changeA}, {changeB}}, crashes: 1},
	{name: "a member is replaced", plans: [][]modelChange{{changeA}}, setChanges: true, depth: 16},
	{name: "a member is replaced in a race", plans: [][]modelChange{{changeA}, {changeB}}, setChanges: true, depth: 10},
	{name: "a member is replaced, a proposer restarts", plans: [][]modelChange{{changeA, changeA}}, setChanges: true, restarts: 1, depth: 12},
}

// explorationState is a state reached in an exploration.
type explorationState struct {
	*model
	scenario                             *scenario
	nextChange                           []int // position in each plan
	retries, restarts, timeouts, crashes int
	lastEvent                            string
}

func (e explorationState) key() string {
	b := keyWriter(e.model.key())
	b.numbers(e.nextChange)
	b.number(int64(e.retries), int64(e.restarts), int64(e.timeouts), int64(e.crashes))
	return string(b)
}

// successors visits every state that one event leads to.
func (e explorationState) successors(visit func(explorationState)) {
	event := func(name string, change func(*explorationState)) {
		c := e
		c.model, c.nextChange, c.lastEvent = e.clone(), slices.Clone(e.nextChange), name
		change(&c)
		if c.scenario.crashes == 0 {
			for i := range c.members {
				c.sync(&c.members[i])
			}
		}
		c.check()
		c.dropIrrelevant()
		visit(c)
	}
	for i := range e.members {
		for _, id := range e.members[i].requests {
			event("request", func(c *explorationState) { c.deliverRequest(&c.members[i], id) })
		}
		for _, id := range e.members[i].responses {
			event("answer", func(c *explorationState) { c.deliverResponse(&c.members[i], id) })
		}
	}
	for i, p := range e.processes {
		if p.op == nil && e.nextChange[i] < len(e.scenario.plans[i]) {
			event("begin", func(c *explorationState) {
				c.nextChange[i]++
				c.begin(&c.processes[i], c.scenario.plans[i][e.nextChange[i]])
			})
		}
		if p.op != nil && e.retries < e.scenario.retries {
			event("retry", func(c *explorationState) { c.retries++; c.retry(&c.processes[i]) })
		}
		if p.op != nil && e.timeouts < e.scenario.timeouts {
			event("give up", func(c *explorationState) { c.timeouts++; c.timeOut(&c.processes[i]) })
		}
		if p.op != nil && e.restarts < e.scenario.restarts {
			event("restart", func(c *explorationState) { c.restarts++; c.restart(&c.processes[i]) })
		}
		if e.scenario.setChanges && p.set < e.latestSet {
			event("process learns", func(c *explorationState) { c.learnSet(&c.processes[i]) })
		}
	}
	for i, m := range e.members {
		if m.applied.same(m.durable) {
			continue
		}
		event("sync "+m.name, func(c *explorationState) { c.sync(&c.members[i]) })
		if e.crashes < e.scenario.crashes {
			event("crash "+m.name, func(c *explorationState) { c.crashes++; c.crash(&c.members[i]) })
		}
	}
	if e.scenario.setChanges {
		e.setChangeEvents(event)
	}
}

// setChangeEvents produces the events of a member's replacement: c leaves, d copies from the others
// and joins.
func (e explorationState) setChangeEvents(event func(string, func(*explorationState))) {
	for i, m := range e.members {
		if m.applied.set < e.latestSet {
			event("learn "+m.name, func(c *explorationState) { c.members[i].applied.set = c.latestSet })
		}
	}
	switch e.latestSet {
	case 1:
		event("c leaves", func(c *explorationState) { c.remove("c") })
	case 2:
		for _, from := range []string{"a", "b"} {
			if e.canCopy(from) {
				event("copy "+from, func(c *explorationState) { c.copyTo("d", from) })
			}
		}
		if e.canJoin() {
			event("d joins", func(c *explorationState) { c.join("d") })
		}
	}
}

// dropIrrelevant removes messages that can no longer have an effect, whenever they are delivered:
// they would only make equal states look different. Messages that are ignored only because of a
// guard are kept if the mutant lacks that guard.
func (e *explorationState) dropIrrelevant() {
	m := e.mutant
	if m.responsesOfAnyAttempt || m.sharedInstance || m.respondToAnySet || m.forgetPromise {
		return
	}
	for i := range e.members {
		m := &e.members[i]
		m.requests = e.filterMessages(m.requests, func(x modelMessage) bool { return e.requestMatters(m, x) })
		m.responses = e.filterMessages(m.responses, func(x modelMessage) bool { return e.responseMatters(m, x) })
	}
}

// filterMessages returns the messages that matter; the same slice if all do.
func (e *explorationState) filterMessages(ids []int, matters func(modelMessage) bool) []int {
	if !slices.ContainsFunc(ids, func(id int) bool { return !matters(e.messages.all[id]) }) {
		return ids
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id int) bool { return !matters(e.messages.all[id]) })
}

func (e *explorationState) requestMatters(m *modelMember, x modelMessage) bool {
	disks := []modelDisk{m.applied, m.durable}
	switch body := x.body.(type) {
	case *Prepare:
		return slices.ContainsFunc(disks, func(d modelDisk) bool {
			return d.set <= body.SetVersion && (d.acceptor.Promised.Less(body.Ballot) || e.refusalMatters(x.proposer, body.Ballot))
		})
	case *Accept:
		return slices.ContainsFunc(disks, func(d modelDisk) bool {
			takes := !body.Ballot.Less(d.acceptor.Promised) && d.acceptor.Accepted != body.Ballot
			return d.set <= body.SetVersion && (takes || e.refusalMatters(x.proposer, body.Ballot))
		})
	}
	return true
}

// refusalMatters reports whether a refusal can lead to another attempt, or to a higher ballot.
func (e *explorationState) refusalMatters(proposer string, b Ballot) bool {
	for i, p := range e.processes {
		if p.proposer.Name == proposer && p.op != nil && p.op.Ballot == b {
			return e.retries < e.scenario.retries || e.nextChange[i] < len(e.scenario.plans[i])
		}
	}
	return false
}

func (e *explorationState) responseMatters(m *modelMember, x modelMessage) bool {
	b, ok, in := Ballot{}, false, preparing
	switch body := x.body.(type) {
	case *Promise:
		b, ok = body.Ballot, body.OK
	case *Accepted:
		b, ok, in = body.Ballot, body.OK, accepting
	}
	for _, p := range e.processes {
		if o := p.op; p.proposer.Name == x.proposer && o != nil && o.Ballot == b && o.phase == in {
			return ok && o.granted.with(o.set, m.name) != o.granted || !ok && o.refused.with(o.set, m.name) != o.refused && e.refusalMatters(x.proposer, b)
		}
	}
	return false
}

type stateHash [2]uint64

var hashSeeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

func hashState(key string) stateHash {
	return stateHash{maphash.String(hashSeeds[0], key), maphash.String(hashSeeds[1], key)}
}

// explore visits all states of a scenario, breadth first, up to its depth. It returns the number of
// states, the depth reached, and the first violation found.
func explore(sc scenario, m mutant, limit int) (states, depth int, violation string) {
	start := explorationState{model: newModel(m, len(sc.plans)), scenario: &sc, nextChange: make([]int, len(sc.plans))}
	seen := map[stateHash]bool{hashState(start.key()): true}
	layer := []explorationState{start}
	for len(layer) > 0 && (sc.depth == 0 || depth < sc.depth) && len(seen) < limit {
		depth++
		var nextLayer []explorationState
		for _, e := range layer {
			e.successors(func(c explorationState) {
				if c.violation != "" && violation == "" {
					violation = fmt.Sprint(c.violation, "\n", c.describe())
				}
				h := hashState(c.key())
				if !seen[h] {
					seen[h] = true
					nextLayer = append(nextLayer, c)
				}
			})
			if violation != "" {
				return len(seen), depth, violation
			}
		}
		layer = nextLayer
	}
	if len(layer) == 0 {
		depth--
	}
	return len(seen), depth, ""
}

// Explores every order of events, up to each scenario's depth.
func TestExplore(t *testing.T) {
	total, began := 0, time.Now()
	for _, sc := range scenarios {
		if *unbounded {
			sc.depth = 0
		}
		scBegan := time.Now()
		states, depth, violation := explore(sc, mutant{}, maxStates)
		bound := "the whole space"
		if states >= maxStates {
			bound = "limit reached"
		} else if sc.depth > 0 {
			bound = fmt.Sprint("of at most ", sc.depth)
		}
		t.Logf("%s: %d states, depth %d, %s, %v", sc.name, states, depth, bound, time.Since(scBegan).Round(time.Millisecond))
		must.Eq(t, "", violation)
		total += states
	}
	t.Logf("%d states in %v", total, time.Since(began).Round(time.Millisecond))
	must.Greater(t, 50_000, total)
}
