package scheduler

const (
	// burstWindowMs is how much of its rate a tenant may save up: jobs come in clusters, and a
	// short one is not an excess.
	burstWindowMs = 1000
	// minBurstJobs is what the smallest tenant may save up, in jobs.
	minBurstJobs = 5
	// excessDemotion is above any queue's urgency.
	excessDemotion = 1 << 32
)

// JobRates tells which jobs of tenants come beyond the tenants' rates. Each tenant has a token
// bucket, which is full at first. The zero value is ready.
type JobRates struct {
	buckets map[string]*tokenBucket
}

type tokenBucket struct {
	tokens    float64 // that may come at once
	updatedMs int64   // when that was so
}

// IsExcess counts one job of a tenant that may send perSecond jobs a second, and tells whether it
// is beyond that. A job that is beyond takes nothing from those that follow. A tenant whose rate
// is 0 has none.
//
// Example: excess := rates.IsExcess("kaje80", weight/shards, nowMs)
func (r *JobRates) IsExcess(tenant string, perSecond float64, nowMs int64) bool {
	if perSecond <= 0 {
		return false
	}
	burst := max(perSecond*burstWindowMs/1000, minBurstJobs)
	b := r.buckets[tenant]
	if b == nil {
		if r.buckets == nil {
			r.buckets = map[string]*tokenBucket{}
		}
		b = &tokenBucket{tokens: burst, updatedMs: nowMs}
		r.buckets[tenant] = b
	}
	b.tokens = min(b.tokens+perSecond*float64(max(nowMs-b.updatedMs, 0))/1000, burst)
	b.updatedMs = max(b.updatedMs, nowMs)
	if b.tokens < 1 {
		return true
	}
	b.tokens--
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
