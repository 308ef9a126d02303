package scheduler

import "otterchute/internal/resource"

const (
	// DefaultHeadroomPercent is the share of each worker that is kept for the most urgent queues
	// while nobody has seen what they use.
	DefaultHeadroomPercent = 12
	// urgentLeast and urgentMost bound what is kept, in percent: a queue that rests still
	// finds room for a few tasks, and one that floods the fleet leaves others most of it.
	urgentLeast = 6
	urgentMost  = 40
	// urgentMargin, in percent of what is used, and urgentSlack, in percent of all room, stand
	// for what arrivals vary by and how unevenly they meet workers.
	urgentMargin = 25
	urgentSlack  = 4
	// The mean follows a rise of use within about two seconds and a fall within four, at ten
	// observations a second: a wave finds room, and does not keep it for long from others.
	urgentRise = 0.05
	urgentFall = 0.025
)

// HeadroomEstimator follows how much of all room the most urgent queues use and says how much of
// each worker is kept for them, by dimension. Its zero value keeps DefaultHeadroomPercent.
type HeadroomEstimator struct {
	used  [dimensions]float64 // mean share of all room, in percent
	known bool
}

// dimensions of an amount: processor, memory, accelerators.
const dimensions = 3

func parts(a resource.Amount) [dimensions]int64 { return [dimensions]int64{a.CPU, a.Memory, a.GPU} }

// Observe takes what the urgent queues hold, or wait for, of all room, ten times a second.
func (s *HeadroomEstimator) Observe(used, all resource.Amount) {
	u, a := parts(used), parts(all)
	for i := range s.used {
		if a[i] <= 0 {
			continue
		}
		share, weight := 100*float64(u[i])/float64(a[i]), urgentFall
		switch {
		case !s.known:
			weight = 1
		case share > s.used[i]:
			weight = urgentRise
		}
		s.used[i] += weight * (share - s.used[i])
	}
	s.known = s.known || all != (resource.Amount{})
}

// Percent is the share of each dimension of a worker to keep.
func (s *HeadroomEstimator) Percent() resource.Amount {
	if !s.known {
		return resource.Amount{CPU: DefaultHeadroomPercent, Memory: DefaultHeadroomPercent, GPU: DefaultHeadroomPercent}
	}
	keep := func(i int) int64 {
		return min(max(int64(s.used[i]*(100+urgentMargin)/100+urgentSlack), urgentLeast), urgentMost)
	}
	return resource.Amount{CPU: keep(0), Memory: keep(1), GPU: keep(2)}
}

// UrgentHeadroom is the room of a worker that other queues leave to the urgent ones: the kept
// share, in percent by dimension, without what the urgent ones use there already.
//
// Example: free = free.Minus(scheduler.UrgentHeadroom(capacity, urgent, percent))
func UrgentHeadroom(capacity, urgentUsed, percent resource.Amount) resource.Amount {
	keep := func(all, used, share int64) int64 { return max(all*share/100-used, 0) }
	return resource.Amount{
		CPU:    keep(capacity.CPU, urgentUsed.CPU, percent.CPU),
		Memory: keep(capacity.Memory, urgentUsed.Memory, percent.Memory),
		GPU:    keep(capacity.GPU, urgentUsed.GPU, percent.GPU),
	}
}
