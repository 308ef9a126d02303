package scheduler

const (
	// burstWindowMs is the time at a tenant's rate that fills its token bucket: jobs arrive in
	// bursts, and a short burst is not an excess.
	burstWindowMs = 1000
	// minBurstJobs is the minimum size of a token bucket.
	minBurstJobs = 5
	// excessDemotion is larger than any queue's urgency.
	excessDemotion = 1 << 32
)

// JobRates detects jobs that exceed the rates of their tenants. Each tenant has a token bucket,
// which is full at first. The zero value is ready to use.
type JobRates struct {
	buckets map[string]*tokenBucket
}

// tokenBucket limits the job rate of one tenant.
type tokenBucket struct {
	tokens    float64 // available tokens, one per job
	updatedMs int64   // when tokens was last updated
}

// CountJob counts one job of a tenant that may submit perSecond jobs a second, and reports whether
// the job exceeds that rate. Such a job takes no token. With a rate of 0 no job is in excess.
//
// Example: excess := rates.CountJob("kaje80", weight/shards, nowMs)
func (r *JobRates) CountJob(tenant string, perSecond float64, nowMs int64) bool {
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

// Precedence ranks tasks by the urgency of their queue, with tasks of excess jobs below all others.
//
// Example: request.Precedence = scheduler.Precedence(queue.Urgency, job.excess)
func Precedence(urgency int64, excess bool) int64 {
	if excess {
		return urgency - excessDemotion
	}
	return urgency
}
