package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"otterchute/internal/resource"

	"github.com/shoenig/test/must"
)

// racks gives candidates of 4 cores, three to a rack, with so much sure room each.
func racks(sure ...int64) (candidates []*Candidate) {
	for i, cpu := range sure {
		room := resource.Amount{CPU: cpu}
		candidates = append(candidates, &Candidate{
			Name: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i/3), Capacity: resource.Amount{CPU: 4000}, Sure: room, Free: room,
		})
	}
	return candidates
}

func namesOf(candidates []*Candidate) (names []string) {
	for _, c := range candidates {
		names = append(names, c.Name)
	}
	return names
}

func TestAssignmentFind(t *testing.T) {
	cores := func(n int64) resource.Amount { return resource.Amount{CPU: 1000 * n} }
	for name, c := range map[string]struct {
		search     Assignment
		open       int
		candidates []*Candidate
		want       []string
	}{
		"the emptiest first, then the next": {
			Assignment{Group: Group{Resources: cores(1), Size: 3}}, 3, racks(2000, 3500, 3000), []string{"w1", "w2", "w1"},
		},
		"as many as there is room for": {
			Assignment{Group: Group{Resources: cores(2), Size: 3}}, 3, racks(2000, 1000, 2500), []string{"w2", "w0"},
		},
		"near its data": {
			Assignment{Group: Group{Resources: cores(1), Size: 1, Near: "r1"}}, 1, racks(4000, 4000, 4000, 1500), []string{"w3"},
		},
		"where it just failed only if nowhere else": {
			Assignment{Group: Group{Resources: cores(2), Size: 2, Avoid: map[string]bool{"w0": true}}}, 2, racks(4000, 2000), []string{"w1", "w0"},
		},
		"where anything speaks against the worker only if not free elsewhere": {
			Assignment{Group: Group{Resources: cores(2), Size: 2, Doubted: map[string]bool{"w0": true}}}, 2,
			[]*Candidate{racks(4000)[0], {Name: "w1", Capacity: cores(4), Sure: cores(4), Free: cores(2)}}, []string{"w1", "w0"},
		},
		"no more than so many on a worker": {
			Assignment{Group: Group{Resources: cores(1), Size: 3, PerWorker: 1}, Used: map[string]int32{"w2": 1}},
			3, racks(4000, 4000, 4000), []string{"w0", "w1"},
		},
		"not on reserved workers": {
			Assignment{Group: Group{Resources: cores(1), Size: 1}, Reserved: map[string]bool{"w0": true}}, 1, racks(4000, 1000), []string{"w1"},
		},
		"not in room kept for urgent work": {
			Assignment{Group: Group{Resources: cores(1), Size: 2}, Kept: resource.Amount{CPU: 25}}, 2, racks(1500, 2000), []string{"w1"},
		},
		"urgent work takes that room": {
			Assignment{Group: Group{Resources: cores(1), Size: 2}, Kept: resource.Amount{CPU: 25}, Urgent: true}, 2, racks(1500, 1900), []string{"w1", "w0"},
		},
		"what can't do without the kept room takes it": {
			Assignment{Group: Group{Resources: resource.Amount{CPU: 3500}, Size: 1}, Kept: resource.Amount{CPU: 25}}, 1, racks(3500), []string{"w0"},
		},
		"a gang whole or not at all": {
			Assignment{Group: Group{Resources: cores(2), Size: 3, Gang: true}}, 3, racks(2000, 2000, 1000), nil,
		},
		"not a part of a gang": {
			Assignment{Group: Group{Resources: cores(1), Size: 3, Gang: true}}, 2, racks(4000, 4000, 4000), nil,
		},
		"a gang in one rack, though others are emptier": {
			Assignment{Group: Group{Resources: cores(2), Size: 3, Gang: true, SameRack: true}},
			3, racks(4000, 1000, 1000, 2000, 2000, 2000), []string{"w3", "w4", "w5"},
		},
		"a gang that waits for one rack": {
			Assignment{Group: Group{Resources: cores(2), Size: 3, Gang: true, SameRack: true}, WaitsForRack: true},
			3, racks(2000, 2000, 1000, 2000), nil,
		},
		"a gang that no rack could hold": {
			Assignment{Group: Group{Resources: cores(4), Size: 4, Gang: true, SameRack: true}, WaitsForRack: true},
			4, racks(4000, 4000, 4000, 4000), []string{"w0", "w1", "w2", "w3"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if c.search.Used == nil {
				c.search.Used = map[string]int32{}
			}
			before := totalSure(c.candidates)
			found := c.search.Find(c.open, c.candidates)
			must.Eq(t, c.want, namesOf(found))
			taken := c.search.Group.Resources.CPU * int64(len(found))
			must.Eq(t, before-taken, totalSure(c.candidates), must.Sprint("what isn't assigned is given back"))
		})
	}
}

func totalSure(candidates []*Candidate) (cpu int64) {
	for _, c := range candidates {
		cpu += c.Sure.CPU
	}
	return cpu
}

// fillByScan is what fill must come to: a look at all workers for each task.
func (a *Assignment) fillByScan(open int, candidates []*Candidate) (found []*Candidate) {
	for range open {
		var best *Candidate
		for _, c := range candidates {
			if a.May(c) && (best == nil || a.score(c) > a.score(best)) {
				best = c
			}
		}
		if best == nil {
			break
		}
		best.reserve(a.Group.Resources)
		a.Used[best.Name]++
		found = append(found, best)
	}
	return found
}

// The heap assigns just what a scan of all workers for each task would, and never more
// than a worker surely has.
func TestFillIsAScan(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		group := Group{
			Resources: resource.Amount{CPU: 1 + random.Int64N(900), Memory: random.Int64N(300)},
			PerWorker: int32(random.IntN(4)), Near: fmt.Sprint("r", random.IntN(6)), Avoid: map[string]bool{fmt.Sprint("w", random.IntN(30)): true},
			Doubted: map[string]bool{fmt.Sprint("w", random.IntN(30)): true},
		}
		draw := func() []*Candidate {
			random := rand.New(rand.NewPCG(seed, 2))
			var out []*Candidate
			for i := range 20 {
				capacity := resource.Amount{CPU: 1000 + random.Int64N(3000), Memory: 1000}
				sure := resource.Amount{CPU: random.Int64N(capacity.CPU), Memory: random.Int64N(1000)}
				free := resource.Amount{CPU: random.Int64N(sure.CPU + 1), Memory: sure.Memory}
				out = append(out, &Candidate{Name: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i/4), Capacity: capacity, Sure: sure, Free: free})
			}
			return out
		}
		kept, reserved := resource.Amount{CPU: random.Int64N(30), Memory: random.Int64N(30)}, map[string]bool{"w3": true}
		byHeap := Assignment{Group: group, Used: map[string]int32{}, Kept: kept, Reserved: reserved}
		byScan := Assignment{Group: group, Used: map[string]int32{}, Kept: kept, Reserved: reserved}
		open := 1 + random.IntN(60)
		first, second := draw(), draw()
		must.Eq(t, namesOf(byScan.fillByScan(open, second)), namesOf(byHeap.fill(open, first)), must.Sprint("seed ", seed))
		must.Eq(t, second, first)
		for _, c := range first {
			must.True(t, (resource.Amount{}).Fits(c.Sure), must.Sprint("seed ", seed))
		}
	}
}

func TestLikeliestRack(t *testing.T) {
	group := Group{Resources: resource.Amount{CPU: 1000}, Size: 6}
	candidates := racks(1000, 1000, 0, 3000, 0, 0)
	must.Eq(t, []string{"w3", "w4", "w5"}, namesOf(group.LikeliestRack(candidates, nil)))
	must.Eq(t, []string{"w0", "w1", "w2"}, namesOf(group.LikeliestRack(candidates, map[string]bool{"w3": true, "w4": true})))
	group.PerWorker = 1 // no rack holds six
	must.Nil(t, group.LikeliestRack(candidates, nil))
}

func TestMostlyIdle(t *testing.T) {
	must.True(t, MostlyIdle(racks(4000, 4000, 0), 55))
	must.False(t, MostlyIdle(racks(4000, 1000, 0), 55))
}

func TestIdleThroughout(t *testing.T) {
	must.True(t, IdleThroughout(racks(4000, 4000, 0), 55))
	must.False(t, IdleThroughout(racks(4000, 1000, 0), 55))
	must.False(t, IdleThroughout(nil, 55))
	worker := &Candidate{Capacity: resource.Amount{CPU: 100, Memory: 100}, Free: resource.Amount{CPU: 90, Memory: 20}}
	must.True(t, MostlyIdle([]*Candidate{worker}, 55))
	must.False(t, IdleThroughout([]*Candidate{worker}, 55), must.Sprint("its memory is in use"))
}

func TestTimesIn(t *testing.T) {
	in := resource.Amount{CPU: 100, Memory: 10}
	must.Eq(t, int64(3), TimesIn(resource.Amount{CPU: 30}, in))
	must.Eq(t, int64(0), TimesIn(resource.Amount{CPU: 30, GPU: 1}, in))
	must.Eq(t, int64(unlimitedFit), TimesIn(resource.Amount{}, in))
}

func BenchmarkAssignment(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	sure := make([]int64, 240)
	for i := range sure {
		sure[i] = random.Int64N(4000)
	}
	for b.Loop() {
		a := Assignment{Group: Group{Resources: resource.Amount{CPU: 100}, Size: 300}, Used: map[string]int32{}}
		a.Find(300, racks(sure...))
	}
}
