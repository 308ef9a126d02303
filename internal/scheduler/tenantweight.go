package scheduler

const (
	// weightBurstMs is how much of its rate a tenant may save up: jobs come in clusters, and a
	// short one is not an excess.
	weightBurstMs = 1000
	// weightBurstLeast is what the smallest tenant may save up, in jobs.
	weightBurstLeast = 5
	// excessDemotion is above any queue's urgency.
	excessDemotion = 1 << 32
)

// JobRates tells which jobs of tenants come beyond the tenants' rates. Each tenant has a token
// bucket, which is full at first. The zero value is ready.
type JobRates struct {
	buckets map[string]*jobBucket
}

type jobBucket struct {
	jobs float64 // that may come at once
	atMs int64   // when that was so
}

// CountJob counts one job of a tenant that may send perSecond jobs a second, and tells whether it
// is beyond that. A job that is beyond takes nothing from those that follow. A tenant whose rate
// is 0 has none.
//
// Example: excess := rates.CountJob("kaje80", weight/shards, nowMs)
func (r *JobRates) CountJob(tenant string, perSecond float64, nowMs int64) bool {
	if perSecond <= 0 {
		return false
	}
	burst := max(perSecond*weightBurstMs/1000, weightBurstLeast)
	b := r.buckets[tenant]
	if b == nil {
		if r.buckets == nil {
			r.buckets = map[string]*jobBucket{}
		}
		b = &jobBucket{jobs: burst, atMs: nowMs}
		r.buckets[tenant] = b
	}
	b.jobs = min(b.jobs+perSecond*float64(max(nowMs-b.atMs, 0))/1000, burst)
	b.atMs = max(b.atMs, nowMs)
	if b.jobs < 1 {
		return true
	}
	b.jobs--
	return false
}

// Precedence ranks tasks by their queue's urgency, but those of excess jobs below all others.
//
// Example: slices.SortFunc(tasks, func(a, b task) int { return cmp.Compare(rank(b), rank(a)) })
func Precedence(urgency int64, excess bool) int64 {
	if excess {
		return urgency - excessDemotion
	}
	return urgency
}
