package scheduler

import "otterchute/internal/resource"

const (
	// UrgentPercent is the share of each worker that is kept for the most urgent queues
	// while nobody has seen what they use.
	UrgentPercent = 12
	// minHeadroomPercent and maxHeadroomPercent bound what is kept, in percent: a queue that rests still
	// finds room for a few tasks, and one that floods the fleet leaves others most of it.
	minHeadroomPercent = 6
	maxHeadroomPercent = 40
	// headroomMarginPercent, in percent of what is used, and headroomSlackPercent, in percent of all room, stand
	// for what arrivals vary by and how unevenly they meet workers.
	headroomMarginPercent = 25
	headroomSlackPercent  = 4
	// The mean follows a rise of use within about two seconds and a fall within four, at ten
	// observations a second: a wave finds room, and does not keep it for long from others.
	riseWeight = 0.05
	fallWeight = 0.025
)

// UrgentShare follows how much of all room the most urgent queues use and says how much of
// each worker is kept for them, by dimension. Its zero value keeps UrgentPercent.
type UrgentShare struct {
	usedPercent [dimensionCount]float64 // mean share of all room, in percent
	observed    bool
}

// dimensionCount of an amount: processor, memory, accelerators.
const dimensionCount = 3

func components(a resource.Amount) [dimensionCount]int64 {
	return [dimensionCount]int64{a.CPU, a.Memory, a.GPU}
}

// Observe takes what the urgent queues hold, or wait for, of all room, ten times a second.
func (s *UrgentShare) Observe(used, all resource.Amount) {
	usedParts, allParts := components(used), components(all)
	for i := range s.usedPercent {
		if allParts[i] <= 0 {
			continue
		}
		share, weight := 100*float64(usedParts[i])/float64(allParts[i]), fallWeight
		switch {
		case !s.observed:
			weight = 1
		case share > s.usedPercent[i]:
			weight = riseWeight
		}
		s.usedPercent[i] += weight * (share - s.usedPercent[i])
	}
	s.observed = s.observed || all != (resource.Amount{})
}

// Percent is the share of each dimension of a worker to keep.
func (s *UrgentShare) Percent() resource.Amount {
	if !s.observed {
		return resource.Amount{CPU: UrgentPercent, Memory: UrgentPercent, GPU: UrgentPercent}
	}
	percent := func(i int) int64 {
		return min(max(int64(s.usedPercent[i]*(100+headroomMarginPercent)/100+headroomSlackPercent), minHeadroomPercent), maxHeadroomPercent)
	}
	return resource.Amount{CPU: percent(0), Memory: percent(1), GPU: percent(2)}
}

// KeptRoom is the room of a worker that other queues leave to the urgent ones: the kept
// share, in percent by dimension, without what the urgent ones use there already.
//
// Example: free = free.Minus(scheduler.KeptRoom(capacity, urgent, percent))
func KeptRoom(capacity, urgentUsed, percent resource.Amount) resource.Amount {
	unusedShare := func(all, used, share int64) int64 { return max(all*share/100-used, 0) }
	return resource.Amount{
		CPU:    unusedShare(capacity.CPU, urgentUsed.CPU, percent.CPU),
		Memory: unusedShare(capacity.Memory, urgentUsed.Memory, percent.Memory),
		GPU:    unusedShare(capacity.GPU, urgentUsed.GPU, percent.GPU),
	}
}
