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

// script bounds an exploration: what each process is asked for, in turn, and how
// often everything that may go wrong does.
type script struct {
	name     string
	plans    [][]modelOrder // by process: a resend stands there again
	retries  int
	restarts int // of proposers
	giveUps  int
	crashes  int  // of members; without any, each write is synced as it is made
	sets     bool // c leaves, then d joins
	depth    int  // events; 0 for all there are
}

var (
	orderA = modelOrder{'A', 0}
	orderB = modelOrder{'B', 0} // races with A
	orderC = modelOrder{'C', 1} // builds on either
)

const exploreMost = 1_500_000 // states of one script: some GB

var whole = flag.Bool("whole", false, "explore without a bound on the depth: minutes")

// scripts are explored wholly, or up to a depth that takes CI a second each.
var scripts = []script{
	{name: "two operators race", plans: [][]modelOrder{{orderA}, {orderB}}},
	{name: "a life ends, and the next one gets the order again", plans: [][]modelOrder{{orderA, orderA}}, restarts: 1},
	{name: "a life ends, and the next one gets another's order", plans: [][]modelOrder{{orderA, orderB}}, restarts: 1},
	{name: "two operators race, with another try", plans: [][]modelOrder{{orderA}, {orderB}}, retries: 1, depth: 12},
	{name: "sent again to another proposer", plans: [][]modelOrder{{orderA}, {orderA}}, retries: 1, depth: 12},
	{name: "sent again when others came since", plans: [][]modelOrder{{orderA}, {orderA, orderC, orderA}}},
	{name: "given up, and sent again after another's", plans: [][]modelOrder{{orderA, orderA}, {orderB}}, giveUps: 1, depth: 14},
	{name: "an order builds on one that may be lost", plans: [][]modelOrder{{orderA}, {orderC, orderC}}, giveUps: 1, depth: 18},
	{name: "a life ends in a race", plans: [][]modelOrder{{orderA, orderA}, {orderB}}, restarts: 1, depth: 14},
	{name: "a member loses what it hasn't synced", plans: [][]modelOrder{{orderA}, {orderB}}, crashes: 1},
	{name: "a member is replaced", plans: [][]modelOrder{{orderA}}, sets: true, depth: 16},
	{name: "a member is replaced in a race", plans: [][]modelOrder{{orderA}, {orderB}}, sets: true, depth: 10},
	{name: "a member is replaced, a life ends", plans: [][]modelOrder{{orderA, orderA}}, sets: true, restarts: 1, depth: 12},
}

// explored is a state on the way of an exploration.
type explored struct {
	*model
	script                              *script
	next                                []int // how far each plan is
	retries, restarts, giveUps, crashes int
	last                                string
}

func (e explored) key() string {
	b := keyWriter(e.model.key())
	b.numbers(e.next)
	b.number(int64(e.retries), int64(e.restarts), int64(e.giveUps), int64(e.crashes))
	return string(b)
}

// successors gives every state that one event leads to.
func (e explored) successors(visit func(explored)) {
	event := func(name string, change func(*explored)) {
		c := e
		c.model, c.next, c.last = e.clone(), slices.Clone(e.next), name
		change(&c)
		if c.script.crashes == 0 {
			for i := range c.members {
				c.sync(&c.members[i])
			}
		}
		c.check()
		c.forget()
		visit(c)
	}
	for i := range e.members {
		for _, id := range e.members[i].to {
			event("request", func(c *explored) { c.request(&c.members[i], id) })
		}
		for _, id := range e.members[i].from {
			event("answer", func(c *explored) { c.answer(&c.members[i], id) })
		}
	}
	for i, p := range e.processes {
		if p.op == nil && e.next[i] < len(e.script.plans[i]) {
			event("begin", func(c *explored) {
				c.next[i]++
				c.begin(&c.processes[i], c.script.plans[i][e.next[i]])
			})
		}
		if p.op != nil && e.retries < e.script.retries {
			event("retry", func(c *explored) { c.retries++; c.retry(&c.processes[i]) })
		}
		if p.op != nil && e.giveUps < e.script.giveUps {
			event("give up", func(c *explored) { c.giveUps++; c.giveUp(&c.processes[i]) })
		}
		if p.op != nil && e.restarts < e.script.restarts {
			event("restart", func(c *explored) { c.restarts++; c.restart(&c.processes[i]) })
		}
		if e.script.sets && p.set < e.chosen {
			event("process learns", func(c *explored) { c.learnSet(&c.processes[i]) })
		}
	}
	for i, m := range e.members {
		if m.applied.same(m.durable) {
			continue
		}
		event("sync "+m.name, func(c *explored) { c.sync(&c.members[i]) })
		if e.crashes < e.script.crashes {
			event("crash "+m.name, func(c *explored) { c.crashes++; c.crash(&c.members[i]) })
		}
	}
	if e.script.sets {
		e.changesOfTheSet(event)
	}
}

// changesOfTheSet: c leaves, d copies from the others and joins.
func (e explored) changesOfTheSet(event func(string, func(*explored))) {
	for i, m := range e.members {
		if m.applied.set < e.chosen {
			event("learn "+m.name, func(c *explored) { c.members[i].applied.set = c.chosen })
		}
	}
	switch e.chosen {
	case 1:
		event("c leaves", func(c *explored) { c.remove("c") })
	case 2:
		for _, from := range []string{"a", "b"} {
			if e.mayCopy(from) {
				event("copy "+from, func(c *explored) { c.copyTo("d", from) })
			}
		}
		if e.mayJoin() {
			event("d joins", func(c *explored) { c.join("d") })
		}
	}
}

// forget leaves out of the network what can have no effect any more, whenever
// it is delivered: it would only make equal states look different. What counts
// for nothing because of a guard is kept where a mutant lacks that guard.
func (e *explored) forget() {
	m := e.mutant
	if m.answersOfAnyTry || m.sharedLife || m.answerAnySet || m.forgetPromise {
		return
	}
	for i := range e.members {
		m := &e.members[i]
		m.to = e.kept(m.to, func(x modelMessage) bool { return e.requestMatters(m, x) })
		m.from = e.kept(m.from, func(x modelMessage) bool { return e.answerMatters(m, x) })
	}
}

// encode gives the messages that matter, the same list if all do.
func (e *explored) kept(ids []int, matters func(modelMessage) bool) []int {
	if !slices.ContainsFunc(ids, func(id int) bool { return !matters(e.messages.all[id]) }) {
		return ids
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id int) bool { return !matters(e.messages.all[id]) })
}

func (e *explored) requestMatters(m *modelMember, x modelMessage) bool {
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

// refusalMatters tells whether a refusal can lead to another try, or to a higher ballot.
func (e *explored) refusalMatters(proposer string, b Ballot) bool {
	for i, p := range e.processes {
		if p.proposer.Name == proposer && p.op != nil && p.op.Ballot == b {
			return e.retries < e.script.retries || e.next[i] < len(e.script.plans[i])
		}
	}
	return false
}

func (e *explored) answerMatters(m *modelMember, x modelMessage) bool {
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

func hashOf(key string) stateHash {
	return stateHash{maphash.String(hashSeeds[0], key), maphash.String(hashSeeds[1], key)}
}

// explore visits all states of a script, breadth first, up to its depth. It
// gives how many there are, how deep it went, and what is broken in one of them.
func explore(sc script, m mutant, most int) (states, depth int, broken string) {
	start := explored{model: newModel(m, len(sc.plans)), script: &sc, next: make([]int, len(sc.plans))}
	seen := map[stateHash]bool{hashOf(start.key()): true}
	layer := []explored{start}
	for len(layer) > 0 && (sc.depth == 0 || depth < sc.depth) && len(seen) < most {
		depth++
		var nextLayer []explored
		for _, e := range layer {
			e.successors(func(c explored) {
				if c.broken != "" && broken == "" {
					broken = fmt.Sprint(c.broken, "\n", c.describe())
				}
				h := hashOf(c.key())
				if !seen[h] {
					seen[h] = true
					nextLayer = append(nextLayer, c)
				}
			})
			if broken != "" {
				return len(seen), depth, broken
			}
		}
		layer = nextLayer
	}
	if len(layer) == 0 {
		depth--
	}
	return len(seen), depth, ""
}

// Every order of events, up to each script's depth.
func TestExplore(t *testing.T) {
	sum, began := 0, time.Now()
	for _, sc := range scripts {
		if *whole {
			sc.depth = 0
		}
		scBegan := time.Now()
		states, depth, broken := explore(sc, mutant{}, exploreMost)
		bound := "all there are"
		if states >= exploreMost {
			bound = "not all there are"
		} else if sc.depth > 0 {
			bound = fmt.Sprint("of at most ", sc.depth)
		}
		t.Logf("%s: %d states, %d events deep, %s, %v", sc.name, states, depth, bound, time.Since(scBegan).Round(time.Millisecond))
		must.Eq(t, "", broken)
		sum += states
	}
	t.Logf("%d states in %v", sum, time.Since(began).Round(time.Millisecond))
	must.Greater(t, 50_000, sum)
}
