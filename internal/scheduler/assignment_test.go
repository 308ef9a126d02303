package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"otterchute/internal/resource"

	"github.com/shoenig/test/must"
)

// candidatesByRack returns candidates with 4 cores, three in each rack, with the given free CPU.
func candidatesByRack(availableCPU ...int64) (candidates []*Candidate) {
	for i, cpu := range availableCPU {
		available := resource.Amount{CPU: cpu}
		candidates = append(candidates, &Candidate{
			Name: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i/3), Capacity: resource.Amount{CPU: 4000},
			FreeAfterPreemption: available, Free: available,
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
		assignment Assignment
		open       int
		candidates []*Candidate
		want       []string
	}{
		"the emptiest worker first, then the next": {
			Assignment{Group: Group{Resources: cores(1), Size: 3}}, 3, candidatesByRack(2000, 3500, 3000),
			[]string{"w1", "w2", "w1"},
		},
		"as many tasks as fit": {
			Assignment{Group: Group{Resources: cores(2), Size: 3}}, 3, candidatesByRack(2000, 1000, 2500), []string{"w2", "w0"},
		},
		"near its data": {
			Assignment{Group: Group{Resources: cores(1), Size: 1, DataRack: "r1"}}, 1,
			candidatesByRack(4000, 4000, 4000, 1500), []string{"w3"},
		},
		"a worker where it just failed last": {
			Assignment{Group: Group{Resources: cores(2), Size: 2, Avoid: map[string]bool{"w0": true}}}, 2,
			candidatesByRack(4000, 2000), []string{"w1", "w0"},
		},
		"a suspect worker only if no other is free": {
			Assignment{Group: Group{Resources: cores(2), Size: 2, Suspect: map[string]bool{"w0": true}}}, 2,
			[]*Candidate{
				candidatesByRack(4000)[0],
				{Name: "w1", Capacity: cores(4), FreeAfterPreemption: cores(4), Free: cores(2)},
			},
			[]string{"w1", "w0"},
		},
		"a maximum per worker": {
			Assignment{Group: Group{Resources: cores(1), Size: 3, MaxPerWorker: 1}, TaskCounts: map[string]int32{"w2": 1}},
			3, candidatesByRack(4000, 4000, 4000), []string{"w0", "w1"},
		},
		"not on reserved workers": {
			Assignment{Group: Group{Resources: cores(1), Size: 1}, Reserved: map[string]bool{"w0": true}}, 1,
			candidatesByRack(4000, 1000), []string{"w1"},
		},
		"not in the headroom for urgent tasks": {
			Assignment{Group: Group{Resources: cores(1), Size: 2}, HeadroomPercent: resource.Amount{CPU: 25}}, 2,
			candidatesByRack(1500, 2000), []string{"w1"},
		},
		"urgent tasks use the headroom": {
			Assignment{Group: Group{Resources: cores(1), Size: 2}, HeadroomPercent: resource.Amount{CPU: 25}, Urgent: true},
			2, candidatesByRack(1500, 1900), []string{"w1", "w0"},
		},
		"a task that does not fit beside the headroom uses it": {
			Assignment{Group: Group{Resources: resource.Amount{CPU: 3500}, Size: 1}, HeadroomPercent: resource.Amount{CPU: 25}},
			1, candidatesByRack(3500), []string{"w0"},
		},
		"a whole gang or nothing": {
			Assignment{Group: Group{Resources: cores(2), Size: 3, Gang: true}}, 3, candidatesByRack(2000, 2000, 1000), nil,
		},
		"no part of a gang": {
			Assignment{Group: Group{Resources: cores(1), Size: 3, Gang: true}}, 2, candidatesByRack(4000, 4000, 4000), nil,
		},
		"a gang in one rack, though others are emptier": {
			Assignment{Group: Group{Resources: cores(2), Size: 3, Gang: true, SameRack: true}},
			3, candidatesByRack(4000, 1000, 1000, 2000, 2000, 2000), []string{"w3", "w4", "w5"},
		},
		"a gang that waits for one rack": {
			Assignment{Group: Group{Resources: cores(2), Size: 3, Gang: true, SameRack: true}, WaitsForRack: true},
			3, candidatesByRack(2000, 2000, 1000, 2000), nil,
		},
		"a gang that no rack could hold": {
			Assignment{Group: Group{Resources: cores(4), Size: 4, Gang: true, SameRack: true}, WaitsForRack: true},
			4, candidatesByRack(4000, 4000, 4000, 4000), []string{"w0", "w1", "w2", "w3"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if c.assignment.TaskCounts == nil {
				c.assignment.TaskCounts = map[string]int32{}
			}
			before := totalAvailableCPU(c.candidates)
			found := c.assignment.Find(c.open, c.candidates)
			must.Eq(t, c.want, namesOf(found))
			taken := c.assignment.Group.Resources.CPU * int64(len(found))
			must.Eq(t, before-taken, totalAvailableCPU(c.candidates), must.Sprint("capacity that isn't assigned is returned"))
		})
	}
}

func totalAvailableCPU(candidates []*Candidate) (cpu int64) {
	for _, c := range candidates {
		cpu += c.FreeAfterPreemption.CPU
	}
	return cpu
}

// fillByScan is the reference for fill: it scans all workers for each task.
func (a *Assignment) fillByScan(open int, candidates []*Candidate) (found []*Candidate) {
	for range open {
		var best *Candidate
		for _, c := range candidates {
			if a.CanPlace(c) && (best == nil || a.score(c) > a.score(best)) {
				best = c
			}
		}
		if best == nil {
			break
		}
		best.reserve(a.Group.Resources)
		a.TaskCounts[best.Name]++
		found = append(found, best)
	}
	return found
}

// The heap assigns the same workers as a scan of all workers for each task, and never more than
// a worker can hold.
func TestFillMatchesScan(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		group := Group{
			Resources:    resource.Amount{CPU: 1 + random.Int64N(900), Memory: random.Int64N(300)},
			MaxPerWorker: int32(random.IntN(4)), DataRack: fmt.Sprint("r", random.IntN(6)),
			Avoid:   map[string]bool{fmt.Sprint("w", random.IntN(30)): true},
			Suspect: map[string]bool{fmt.Sprint("w", random.IntN(30)): true},
		}
		generate := func() []*Candidate {
			random := rand.New(rand.NewPCG(seed, 2))
			var out []*Candidate
			for i := range 20 {
				capacity := resource.Amount{CPU: 1000 + random.Int64N(3000), Memory: 1000}
				available := resource.Amount{CPU: random.Int64N(capacity.CPU), Memory: random.Int64N(1000)}
				free := resource.Amount{CPU: random.Int64N(available.CPU + 1), Memory: available.Memory}
				out = append(out, &Candidate{
					Name: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i/4), Capacity: capacity,
					FreeAfterPreemption: available, Free: free,
				})
			}
			return out
		}
		headroom, reserved := resource.Amount{CPU: random.Int64N(30), Memory: random.Int64N(30)}, map[string]bool{"w3": true}
		byHeap := Assignment{Group: group, TaskCounts: map[string]int32{}, HeadroomPercent: headroom, Reserved: reserved}
		byScan := Assignment{Group: group, TaskCounts: map[string]int32{}, HeadroomPercent: headroom, Reserved: reserved}
		open := 1 + random.IntN(60)
		first, second := generate(), generate()
		must.Eq(t, namesOf(byScan.fillByScan(open, second)), namesOf(byHeap.fill(open, first)), must.Sprint("seed ", seed))
		must.Eq(t, second, first)
		for _, c := range first {
			must.True(t, (resource.Amount{}).Fits(c.FreeAfterPreemption), must.Sprint("seed ", seed))
		}
	}
}

func TestLikeliestRack(t *testing.T) {
	group := Group{Resources: resource.Amount{CPU: 1000}, Size: 6}
	candidates := candidatesByRack(1000, 1000, 0, 3000, 0, 0)
	must.Eq(t, []string{"w3", "w4", "w5"}, namesOf(group.LikeliestRack(candidates, nil)))
	must.Eq(t, []string{"w0", "w1", "w2"},
		namesOf(group.LikeliestRack(candidates, map[string]bool{"w3": true, "w4": true})))
	group.MaxPerWorker = 1 // no rack can hold six tasks
	must.Nil(t, group.LikeliestRack(candidates, nil))
}

func TestIdleInSomeDimension(t *testing.T) {
	must.True(t, IdleInSomeDimension(candidatesByRack(4000, 4000, 0), 55))
	must.False(t, IdleInSomeDimension(candidatesByRack(4000, 1000, 0), 55))
}

func TestIdleInAllDimensions(t *testing.T) {
	must.True(t, IdleInAllDimensions(candidatesByRack(4000, 4000, 0), 55))
	must.False(t, IdleInAllDimensions(candidatesByRack(4000, 1000, 0), 55))
	must.False(t, IdleInAllDimensions(nil, 55))
	worker := &Candidate{Capacity: resource.Amount{CPU: 100, Memory: 100}, Free: resource.Amount{CPU: 90, Memory: 20}}
	must.True(t, IdleInSomeDimension([]*Candidate{worker}, 55))
	must.False(t, IdleInAllDimensions([]*Candidate{worker}, 55), must.Sprint("its memory is in use"))
}

func TestFitCount(t *testing.T) {
	capacity := resource.Amount{CPU: 100, Memory: 10}
	must.Eq(t, int64(3), FitCount(resource.Amount{CPU: 30}, capacity))
	must.Eq(t, int64(0), FitCount(resource.Amount{CPU: 30, GPU: 1}, capacity))
	must.Eq(t, int64(unlimitedFit), FitCount(resource.Amount{}, capacity))
}

func BenchmarkAssignment(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	available := make([]int64, 240)
	for i := range available {
		available[i] = random.Int64N(4000)
	}
	for b.Loop() {
		a := Assignment{Group: Group{Resources: resource.Amount{CPU: 100}, Size: 300}, TaskCounts: map[string]int32{}}
		a.Find(300, candidatesByRack(available...))
	}
}
