package register

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// walk goes a random way through the model, far beyond what can be explored:
// many orders, three proposers, members that crash and are replaced again and
// again. It gives what is broken, and how many orders were acknowledged.
type walk struct {
	*model
	rng     *rand.Rand
	joined  int
	leaving string // a member that is being replaced and still answers
	sent    []modelOrder
}

const (
	firstLetter = 33
	lastLetter  = 250
	walkWindow  = 30 // messages of a member that are brought most of the time
)

func newWalk(seed uint64, m mutant) *walk {
	return &walk{model: newModel(m, 3), rng: rand.New(rand.NewPCG(seed, 11))}
}

func (w *walk) one(bound int) bool { return w.rng.IntN(bound) == 0 }

// order draws what an operator sends: on top of a version that stood at a
// majority, for only of such a one operators are told. (One that builds on a
// version yet to come is refused, and a copy of it that is on its way elsewhere
// could be accepted once that version has come.)
func (w *walk) order() modelOrder {
	letter := firstLetter + len(w.sent)
	if len(w.sent) > 0 && (w.one(3) || letter > lastLetter) { // one comes again, most often a late one
		o := w.sent[len(w.sent)-1-w.rng.IntN(min(len(w.sent), 1+w.rng.IntN(len(w.sent))))]
		if !w.refused.has(o.letter) { // a refused order is final
			return o
		}
	}
	if letter > lastLetter {
		return w.sent[0]
	}
	o := modelOrder{byte(letter), w.told}
	w.sent = append(w.sent, o)
	return o
}

// pick draws a message: mostly of a try that is on its way, else any that was
// ever sent; -1 if there is none.
func (w *walk) pick(ids []int) int {
	if len(ids) > 0 && w.one(8) {
		return ids[w.rng.IntN(len(ids))]
	}
	var live []int
	for _, id := range ids[max(0, len(ids)-walkWindow):] {
		if w.isLive(w.messages.all[id]) {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		return -1
	}
	return live[w.rng.IntN(len(live))]
}

// pickOf draws a message of any member.
func (w *walk) pickOf(list func(*modelMember) []int) (*modelMember, int) {
	for _, i := range w.rng.Perm(len(w.members)) {
		if id := w.pick(list(&w.members[i])); id >= 0 {
			return &w.members[i], id
		}
	}
	return nil, 0
}

func (w *walk) isLive(m modelMessage) bool {
	b, in := Ballot{}, preparing
	switch body := m.body.(type) {
	case *Prepare:
		b = body.Ballot
	case *Promise:
		b = body.Ballot
	case *Accept:
		b, in = body.Ballot, accepting
	case *Accepted:
		b, in = body.Ballot, accepting
	}
	for _, p := range w.processes {
		if p.op != nil && p.op.Ballot == b && p.op.phase == in {
			return true
		}
	}
	return false
}

func (w *walk) step() {
	m := &w.members[w.rng.IntN(len(w.members))]
	p := &w.processes[w.rng.IntN(len(w.processes))]
	switch draw := w.rng.IntN(1000); {
	case draw < 350:
		if m, id := w.pickOf(func(m *modelMember) []int { return m.to }); m != nil {
			w.request(m, id)
		}
	case draw < 700:
		if m, id := w.pickOf(func(m *modelMember) []int { return m.from }); m != nil {
			w.answer(m, id)
		}
	case draw < 850:
		w.sync(m)
	case draw < 860:
		w.crash(m)
	case draw < 900:
		if p.op == nil {
			w.begin(p, w.order())
		}
	case draw < 920:
		if p.op != nil {
			w.retry(p)
		}
	case draw < 924:
		if p.op != nil {
			w.giveUp(p)
		}
	case draw < 928:
		w.restart(p)
	case draw < 945:
		m.applied.set = w.chosen
	case draw < 955:
		if p.set < w.chosen {
			w.learnSet(p)
		}
	case draw < 970:
		w.changeSet()
	}
	w.check()
}

// changeSet takes the next step of a member's replacement: the seat of one that
// is gone is refilled by remove, copy, add; that of one that leaves and still
// answers by copy, add, copy, remove.
func (w *walk) changeSet() {
	set := w.setOf(w.chosen)
	joiner := fmt.Sprint("n", w.joined)
	switch {
	case len(set.Members) == 3 && w.leaving == "":
		if w.settled() && w.one(3) {
			w.joined++
			if gone := set.Members[w.rng.IntN(3)]; w.one(2) {
				w.remove(gone)
			} else {
				w.leaving = gone
			}
		}
	case len(set.Members) == 4:
		w.finishReplacement(set, joiner)
	case w.mayJoin():
		w.join(joiner)
	default:
		w.copyFromOne(joiner, set.Members)
	}
	w.forgetFormer()
}

// finishReplacement takes the leaving member out once the new one has copied from
// two others again, or the new one, which needs no copy.
func (w *walk) finishReplacement(set Set, joiner string) {
	others := slices.DeleteFunc(slices.Clone(set.Members), func(m string) bool { return m == joiner || m == w.leaving })
	switch {
	case w.settled() && w.one(20):
		w.remove(joiner)
		w.leaving = ""
	case w.settled() && (len(w.copied) >= len(others) || w.mutant.removeWithoutCopy):
		w.remove(w.leaving)
		w.leaving = ""
	default:
		w.copyFromOne(joiner, others)
	}
}

func (w *walk) copyFromOne(joiner string, members []string) {
	if from := members[w.rng.IntN(len(members))]; w.mayCopy(from) {
		w.copyTo(joiner, from)
	}
}

// forgetFormer drops members that are in no set that anyone can use any more.
func (w *walk) forgetFormer() {
	w.members = slices.DeleteFunc(slices.Clone(w.members), func(m modelMember) bool {
		for version := max(1, w.chosen-setsInUse); version <= w.chosen; version++ {
			if slices.Contains(w.setOf(version).Members, m.name) {
				return false
			}
		}
		return m.name != fmt.Sprint("n", w.joined)
	})
}

var walks = flag.Int("walks", 800, "random walks")

func TestWalks(t *testing.T) {
	const steps = 2000
	began, orders, sets := time.Now(), 0, int64(0)
	for seed := range uint64(*walks) {
		w := newWalk(seed, mutant{})
		for range steps {
			w.step()
			if w.broken != "" {
				t.Fatalf("walk %d: %s\n%s", seed, w.broken, w.describe())
			}
		}
		orders, sets = orders+w.told, sets+w.chosen
	}
	t.Logf("%d walks of %d events: %d orders accepted, %d sets, %v", *walks, steps, orders, sets, time.Since(began).Round(time.Millisecond))
	must.Greater(t, *walks, orders) // they get somewhere
	must.Greater(t, int64(*walks), sets)
}

// Each guard taken out is noticed.
func TestMutantsAreFound(t *testing.T) {
	for name, m := range map[string]mutant{
		"answerBeforeSync": {answerBeforeSync: true}, "sharedLife": {sharedLife: true}, "answersOfAnyTry": {answersOfAnyTry: true},
		"refuseWithoutWrite": {refuseWithoutWrite: true}, "keepWithoutWrite": {keepWithoutWrite: true}, "forgetPromise": {forgetPromise: true},
		"answerAnySet": {answerAnySet: true}, "joinAfterOneCopy": {joinAfterOneCopy: true}, "smallQuorum": {smallQuorum: true},
		"anyAccepted": {anyAccepted: true}, "compareNewestOnly": {compareNewestOnly: true}, "removeWithoutCopy": {removeWithoutCopy: true}, "refusalsAsPromises": {refusalsAsPromises: true},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			if m.refuseWithoutWrite { // it takes three orders on values that only one member has
				sc := script{plans: [][]modelOrder{{orderA}, {orderC, orderC}}, giveUps: 1}
				states, depth, broken := explore(sc, m, 100_000)
				t.Logf("%d states, %d events deep, %v: %s", states, depth, time.Since(began).Round(time.Millisecond), broken)
				must.StrContains(t, broken, "was refused and takes effect")
				return
			}
			for seed := range uint64(1000) {
				w := newWalk(seed, m)
				for step := range 3000 {
					if w.step(); w.broken != "" {
						t.Logf("walk %d, event %d, %v: %s", seed, step, time.Since(began).Round(time.Millisecond), w.broken)
						return
					}
				}
			}
			t.Fatal("not noticed")
		})
	}
}
