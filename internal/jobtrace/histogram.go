package jobtrace

import (
	"cmp"
	"slices"
)

const (
	// MaxSeries bounds the histograms of one Recorder: 16 queues with two classes and 11
	// stages. Durations of further series are counted under OtherQueue.
	MaxSeries = 352
	// OtherQueue is the queue label of series beyond MaxSeries.
	OtherQueue = "other"

	msPerSecond = 1000
)

// bucketBoundsMs are the upper bounds of the buckets: scheduling steps take from a millisecond to
// several seconds, runs up to several minutes.
var bucketBoundsMs = [...]int64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000, 120_000}

// Histogram counts durations in fixed buckets.
type Histogram struct {
	counts [len(bucketBoundsMs) + 1]uint64
	count  uint64
	sumMs  int64
}

// Observe counts a duration; a negative one counts as 0.
func (h *Histogram) Observe(ms int64) {
	ms = max(ms, 0)
	bucket, _ := slices.BinarySearch(bucketBoundsMs[:], ms)
	h.counts[bucket]++
	h.count++
	h.sumMs += ms
}

// Count returns the number of durations.
func (h *Histogram) Count() uint64 { return h.count }

// SumSeconds returns the sum of all durations, in seconds.
func (h *Histogram) SumSeconds() float64 { return float64(h.sumMs) / msPerSecond }

// Buckets returns the cumulative counts: the number of durations up to each bound, by the
// bound in seconds.
func (h *Histogram) Buckets() map[float64]uint64 {
	buckets, cumulative := make(map[float64]uint64, len(bucketBoundsMs)), uint64(0)
	for i, bound := range bucketBoundsMs {
		cumulative += h.counts[i]
		buckets[float64(bound)/msPerSecond] = cumulative
	}
	return buckets
}

// QuantileMs returns the upper bound of the bucket that contains a quantile between 0 and
// 1. It returns -1 if there are no durations or the quantile is above the last bound.
func (h *Histogram) QuantileMs(quantile float64) int64 {
	cumulative := uint64(0)
	for i, bound := range bucketBoundsMs {
		if cumulative += h.counts[i]; h.count > 0 && float64(cumulative) >= quantile*float64(h.count) {
			return bound
		}
	}
	return -1
}

// Key identifies one histogram.
type Key struct {
	Queue string
	Class string
	Stage Stage
}

// Compare orders keys by queue, class and stage, for slices.SortFunc.
//
// Example: slices.SortFunc(keys, jobtrace.Key.Compare)
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Queue, other.Queue), cmp.Compare(k.Class, other.Class), cmp.Compare(k.Stage, other.Stage))
}

// Recorder holds the histograms of one daemon. Its zero value is ready to use. It is not
// safe for concurrent use.
type Recorder struct{ series map[Key]*Histogram }

// Observe counts a duration in the histogram of a key.
func (r *Recorder) Observe(key Key, ms int64) {
	h := r.series[key]
	if h == nil {
		if len(r.series) >= MaxSeries {
			key.Queue = OtherQueue
		}
		if r.series == nil {
			r.series = map[Key]*Histogram{}
		}
		if h = r.series[key]; h == nil {
			h = &Histogram{}
			r.series[key] = h
		}
	}
	h.Observe(ms)
}

// Snapshot returns a copy of all histograms, which another goroutine may read.
func (r *Recorder) Snapshot() map[Key]Histogram {
	out := make(map[Key]Histogram, len(r.series))
	for key, h := range r.series {
		out[key] = *h
	}
	return out
}
