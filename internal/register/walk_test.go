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

// walk is a random walk through the model, far beyond the depth of an exploration: many changes,
// three proposers, and members that crash and are replaced repeatedly.
type walk struct {
	*model
	rng     *rand.Rand
	joined  int
	leaving string // a member that is being replaced and still responds
	issued  []modelChange
}

const (
	firstLetter = 33
	lastLetter  = 250
	walkWindow  = 30 // the newest messages of a member, which are delivered most of the time
)

func newWalk(seed uint64, m mutant) *walk {
	return &walk{model: newModel(m, 3), rng: rand.New(rand.NewPCG(seed, 11))}
}

func (w *walk) oneIn(bound int) bool { return w.rng.IntN(bound) == 0 }

// nextChange draws a change that builds on a version accepted by a majority, since operators only
// learn of such versions. A change that builds on a later version is refused, and a copy of it in
// transit to another proposer could be accepted once that version exists.
func (w *walk) nextChange() modelChange {
	letter := firstLetter + len(w.issued)
	if len(w.issued) > 0 && (w.oneIn(3) || letter > lastLetter) { // repeat a change, most often a recent one
		o := w.issued[len(w.issued)-1-w.rng.IntN(min(len(w.issued), 1+w.rng.IntN(len(w.issued))))]
		if !w.refused.has(o.letter) { // a refusal is final
			return o
		}
	}
	if letter > lastLetter {
		return w.issued[0]
	}
	o := modelChange{byte(letter), w.reportedVersion}
	w.issued = append(w.issued, o)
	return o
}

// pick draws a message: mostly one of an attempt in progress, otherwise any that was ever sent; -1
// if there is none.
func (w *walk) pick(ids []int) int {
	if len(ids) > 0 && w.oneIn(8) {
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
		if m, id := w.pickOf(func(m *modelMember) []int { return m.requests }); m != nil {
			w.deliverRequest(m, id)
		}
	case draw < 700:
		if m, id := w.pickOf(func(m *modelMember) []int { return m.responses }); m != nil {
			w.deliverResponse(m, id)
		}
	case draw < 850:
		w.sync(m)
	case draw < 860:
		w.crash(m)
	case draw < 900:
		if p.op == nil {
			w.begin(p, w.nextChange())
		}
	case draw < 920:
		if p.op != nil {
			w.retry(p)
		}
	case draw < 924:
		if p.op != nil {
			w.timeOut(p)
		}
	case draw < 928:
		w.restart(p)
	case draw < 945:
		m.applied.set = w.latestSet
	case draw < 955:
		if p.set < w.latestSet {
			w.learnSet(p)
		}
	case draw < 970:
		w.changeSet()
	}
	w.check()
}

// changeSet takes the next step of a member's replacement: a member that is gone is replaced by
// remove, copy, add; one that leaves and still responds by copy, add, copy, remove.
func (w *walk) changeSet() {
	set := w.setAt(w.latestSet)
	joiner := fmt.Sprint("n", w.joined)
	switch {
	case len(set.Members) == 3 && w.leaving == "":
		if w.majorityKnowsLatestSet() && w.oneIn(3) {
			w.joined++
			if gone := set.Members[w.rng.IntN(3)]; w.oneIn(2) {
				w.remove(gone)
			} else {
				w.leaving = gone
			}
		}
	case len(set.Members) == 4:
		w.finishReplacement(set, joiner)
	case w.canJoin():
		w.join(joiner)
	default:
		w.copyFromOne(joiner, set.Members)
	}
	w.dropFormerMembers()
}

// finishReplacement removes the leaving member once the new one has copied from two others again.
// It may instead remove the new member, which needs no copy.
func (w *walk) finishReplacement(set Set, joiner string) {
	others := slices.DeleteFunc(slices.Clone(set.Members), func(m string) bool { return m == joiner || m == w.leaving })
	switch {
	case w.majorityKnowsLatestSet() && w.oneIn(20):
		w.remove(joiner)
		w.leaving = ""
	case w.majorityKnowsLatestSet() && (len(w.copied) >= len(others) || w.mutant.removeWithoutCopy):
		w.remove(w.leaving)
		w.leaving = ""
	default:
		w.copyFromOne(joiner, others)
	}
}

func (w *walk) copyFromOne(joiner string, members []string) {
	if from := members[w.rng.IntN(len(members))]; w.canCopy(from) {
		w.copyTo(joiner, from)
	}
}

// dropFormerMembers removes members that are in no set still in use.
func (w *walk) dropFormerMembers() {
	w.members = slices.DeleteFunc(slices.Clone(w.members), func(m modelMember) bool {
		for version := max(1, w.latestSet-setsInUse); version <= w.latestSet; version++ {
			if slices.Contains(w.setAt(version).Members, m.name) {
				return false
			}
		}
		return m.name != fmt.Sprint("n", w.joined)
	})
}

var walkCount = flag.Int("walks", 800, "random walks")

func TestWalks(t *testing.T) {
	const steps = 2000
	began, changes, sets := time.Now(), 0, int64(0)
	for seed := range uint64(*walkCount) {
		w := newWalk(seed, mutant{})
		for range steps {
			w.step()
			if w.violation != "" {
				t.Fatalf("walk %d: %s\n%s", seed, w.violation, w.describe())
			}
		}
		changes, sets = changes+w.reportedVersion, sets+w.latestSet
	}
	t.Logf("%d walks of %d events: %d changes accepted, %d sets, %v", *walkCount, steps, changes, sets, time.Since(began).Round(time.Millisecond))
	must.Greater(t, *walkCount, changes) // the walks make progress
	must.Greater(t, int64(*walkCount), sets)
}

// Verifies that each mutant is found.
func TestMutantsAreFound(t *testing.T) {
	for name, m := range map[string]mutant{
		"respondBeforeSync": {respondBeforeSync: true}, "sharedInstance": {sharedInstance: true}, "responsesOfAnyAttempt": {responsesOfAnyAttempt: true},
		"refuseWithoutWrite": {refuseWithoutWrite: true}, "keepWithoutWrite": {keepWithoutWrite: true}, "forgetPromise": {forgetPromise: true},
		"respondToAnySet": {respondToAnySet: true}, "joinAfterOneCopy": {joinAfterOneCopy: true}, "smallQuorum": {smallQuorum: true},
		"anyAccepted": {anyAccepted: true}, "compareNewestOnly": {compareNewestOnly: true}, "removeWithoutCopy": {removeWithoutCopy: true}, "refusalsAsPromises": {refusalsAsPromises: true},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			if m.refuseWithoutWrite { // this takes three changes on values that only one member has
				sc := scenario{plans: [][]modelChange{{changeA}, {changeC, changeC}}, timeouts: 1}
				states, depth, violation := explore(sc, m, 100_000)
				t.Logf("%d states, depth %d, %v: %s", states, depth, time.Since(began).Round(time.Millisecond), violation)
				must.StrContains(t, violation, "was refused and takes effect")
				return
			}
			for seed := range uint64(1000) {
				w := newWalk(seed, m)
				for step := range 3000 {
					if w.step(); w.violation != "" {
						t.Logf("walk %d, event %d, %v: %s", seed, step, time.Since(began).Round(time.Millisecond), w.violation)
						return
					}
				}
			}
			t.Fatal("not found")
		})
	}
}
