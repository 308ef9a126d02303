package scheduler

import "otterchute/internal/resource"

const (
	// UrgentPercent is the share of each worker that is kept for the most urgent queues
	// while nobody has seen what they use.
	UrgentPercent = 12
	// urgentLeast and urgentMost bound what is kept, in percent: a queue that rests still
	// finds room for a few tasks, and one that floods the fleet leaves others half of it.
	urgentLeast = 6
	urgentMost  = 50
	// urgentMargin, in percent of what is used, and urgentSlack, in percent of all room, stand
	// for what arrivals vary by within a round and how unevenly they meet workers.
	urgentMargin = 25
	urgentSlack  = 5
	// urgentDecay is the part, in percent, of the kept share that goes each round in which
	// less was used: a pause of some seconds between two waves doesn't give the room away.
	urgentDecay = 10
)

// UrgentShare follows how much of all room the most urgent queues use and says how much of
// each worker is kept for them, by dimension. Its zero value keeps UrgentPercent.
type UrgentShare struct{ percent [dimensions]float64 }

// dimensions of an amount: processor, memory, accelerators.
const dimensions = 3

func parts(a resource.Amount) [dimensions]int64 { return [dimensions]int64{a.CPU, a.Memory, a.GPU} }

// Raise takes what the urgent queues hold, or wait for, of all room, and keeps more where
// that is more than before.
func (s *UrgentShare) Raise(used, all resource.Amount) {
	u, a := parts(used), parts(all)
	for i := range s.percent {
		if a[i] <= 0 {
			continue
		}
		want := 100*float64(u[i])/float64(a[i])*(100+urgentMargin)/100 + urgentSlack
		s.percent[i] = max(s.percent[i], min(max(want, urgentLeast), urgentMost))
	}
}

// Decay lets go of some of the share, once a round.
func (s *UrgentShare) Decay() {
	for i := range s.percent {
		s.percent[i] *= (100.0 - urgentDecay) / 100
	}
}

// Percent is the share of each dimension of a worker to keep.
func (s *UrgentShare) Percent() resource.Amount {
	if s.percent == ([dimensions]float64{}) {
		return resource.Amount{CPU: UrgentPercent, Memory: UrgentPercent, GPU: UrgentPercent}
	}
	return resource.Amount{CPU: int64(s.percent[0]), Memory: int64(s.percent[1]), GPU: int64(s.percent[2])}
}

// KeptRoom is the room of a worker that other queues leave to the urgent ones: the kept
// share, in percent by dimension, without what the urgent ones use there already.
//
// Example: free = free.Minus(scheduler.KeptRoom(capacity, urgent, percent))
func KeptRoom(capacity, urgentUsed, percent resource.Amount) resource.Amount {
	keep := func(all, used, share int64) int64 { return max(all*share/100-used, 0) }
	return resource.Amount{
		CPU:    keep(capacity.CPU, urgentUsed.CPU, percent.CPU),
		Memory: keep(capacity.Memory, urgentUsed.Memory, percent.Memory),
		GPU:    keep(capacity.GPU, urgentUsed.GPU, percent.GPU),
	}
}
