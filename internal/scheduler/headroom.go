package scheduler

import "otterchute/internal/resource"

const (
	// DefaultHeadroomPercent is the headroom on each worker for the most urgent queues before
	// their usage has been observed.
	DefaultHeadroomPercent = 12
	// The bounds of the headroom: an inactive queue can still start a few tasks at once, and one
	// that floods the fleet leaves most of it to others.
	minHeadroomPercent = 6
	maxHeadroomPercent = 40
	// The margin, relative to the observed usage, and the slack, in percent of the total capacity,
	// cover variations of the arrivals and their uneven distribution over workers.
	headroomMarginPercent = 25
	headroomSlackPercent  = 4
	// With ten observations a second, the mean follows a rise of usage within about two seconds
	// and a fall within four: a surge finds capacity and doesn't withhold it from others for long.
	riseWeight = 0.05
	fallWeight = 0.025
)

// HeadroomEstimator tracks the share of the total capacity that the most urgent queues use, and
// derives the headroom to keep for them on each worker, by dimension. The zero value returns
// DefaultHeadroomPercent.
type HeadroomEstimator struct {
	used     [dimensionCount]float64 // moving average, in percent of the total capacity
	observed bool
}

// dimensionCount is the number of dimensions of an amount: CPU, memory, GPU.
const dimensionCount = 3

func components(a resource.Amount) [dimensionCount]int64 {
	return [dimensionCount]int64{a.CPU, a.Memory, a.GPU}
}

// Observe adds the capacity that tasks of urgent queues use or wait for, and the total capacity.
// It must be called ten times a second.
func (s *HeadroomEstimator) Observe(used, all resource.Amount) {
	usedParts, allParts := components(used), components(all)
	for i := range s.used {
		if allParts[i] <= 0 {
			continue
		}
		share, weight := 100*float64(usedParts[i])/float64(allParts[i]), fallWeight
		switch {
		case !s.observed:
			weight = 1
		case share > s.used[i]:
			weight = riseWeight
		}
		s.used[i] += weight * (share - s.used[i])
	}
	s.observed = s.observed || all != (resource.Amount{})
}

// Percent returns the headroom to keep on each worker, in percent by dimension.
func (s *HeadroomEstimator) Percent() resource.Amount {
	if !s.observed {
		return resource.Amount{CPU: DefaultHeadroomPercent, Memory: DefaultHeadroomPercent, GPU: DefaultHeadroomPercent}
	}
	percent := func(i int) int64 {
		return min(
			max(int64(s.used[i]*(100+headroomMarginPercent)/100+headroomSlackPercent), minHeadroomPercent),
			maxHeadroomPercent,
		)
	}
	return resource.Amount{CPU: percent(0), Memory: percent(1), GPU: percent(2)}
}

// UrgentHeadroom returns the capacity of a worker that other queues must leave to the urgent ones:
// the given percentage of each dimension, less what the urgent ones already use there.
//
// Example: free = free.Minus(scheduler.UrgentHeadroom(capacity, urgentUsed, percent))
func UrgentHeadroom(capacity, urgentUsed, percent resource.Amount) resource.Amount {
	unusedShare := func(all, used, share int64) int64 { return max(all*share/100-used, 0) }
	return resource.Amount{
		CPU:    unusedShare(capacity.CPU, urgentUsed.CPU, percent.CPU),
		Memory: unusedShare(capacity.Memory, urgentUsed.Memory, percent.Memory),
		GPU:    unusedShare(capacity.GPU, urgentUsed.GPU, percent.GPU),
	}
}
