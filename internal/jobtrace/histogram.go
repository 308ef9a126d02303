package jobtrace

import (
	"cmp"
	"slices"
)

const (
	// MaxSeries bounds the histograms of one Recorder: 16 queues with two classes and all
	// stages. What comes beyond goes to the queue OtherQueue.
	MaxSeries = 352
	// OtherQueue is the label of queues that came after the bound was reached.
	OtherQueue = "other"

	msPerSecond = 1000
)

// boundsMs are the upper bounds of the buckets, in ms: what a scheduler does takes from a
// millisecond to some seconds, and a run up to some minutes.
var boundsMs = [...]int64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000, 120_000}

// Histogram counts durations in fixed buckets.
type Histogram struct {
	counts [len(boundsMs) + 1]uint64
	count  uint64
	sumMs  int64
}

// Observe counts one duration, in ms; one below 0 counts as 0.
func (h *Histogram) Observe(ms int64) {
	ms = max(ms, 0)
	at, _ := slices.BinarySearch(boundsMs[:], ms)
	h.counts[at]++
	h.count++
	h.sumMs += ms
}

// Count is how many durations were counted.
func (h *Histogram) Count() uint64 { return h.count }

// SumSeconds is the sum of all durations, in seconds.
func (h *Histogram) SumSeconds() float64 { return float64(h.sumMs) / msPerSecond }

// Buckets gives how many durations were at most as long as each bound, by the bound in seconds.
func (h *Histogram) Buckets() map[float64]uint64 {
	buckets, below := make(map[float64]uint64, len(boundsMs)), uint64(0)
	for i, bound := range boundsMs {
		below += h.counts[i]
		buckets[float64(bound)/msPerSecond] = below
	}
	return buckets
}

// QuantileMs gives the upper bound, in ms, of the bucket that holds a quantile of 0 to 1;
// -1 where nothing was counted, and for what lies beyond the last bound.
func (h *Histogram) QuantileMs(quantile float64) int64 {
	below := uint64(0)
	for i, bound := range boundsMs {
		if below += h.counts[i]; h.count > 0 && float64(below) >= quantile*float64(h.count) {
			return bound
		}
	}
	return -1
}

// Key names one histogram.
type Key struct {
	Queue string
	Class string
	Stage Stage
}

// Compare orders keys by queue, class and stage, as slices.SortFunc needs it.
//
// Example: slices.SortFunc(keys, jobtrace.Key.Compare)
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Queue, other.Queue), cmp.Compare(k.Class, other.Class), cmp.Compare(k.Stage, other.Stage))
}

// Recorder keeps the histograms of one daemon. Its zero value is ready. Only one
// goroutine may use it.
type Recorder struct{ series map[Key]*Histogram }

// Observe counts one duration, in ms.
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

// Snapshot copies all histograms, for another goroutine to read.
func (r *Recorder) Snapshot() map[Key]Histogram {
	out := make(map[Key]Histogram, len(r.series))
	for key, h := range r.series {
		out[key] = *h
	}
	return out
}
