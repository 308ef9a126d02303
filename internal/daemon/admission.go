package daemon

import (
	"cmp"
	"fmt"

	"otterchute/internal/configuration"
	"otterchute/internal/schema"
)

// admission holds a new job and what the admission rules of its queue check it against.
type admission struct {
	job           *jobRecord
	queue         *configuration.Queue
	queueLive     int // live jobs of this queue in the shard
	shardLive     int // live jobs of the shard
	bytes         int // size of the records of the shard's live jobs, including this one
	lowestUrgency bool
	batch         bool
	// excess marks a job beyond its tenant's weight; such jobs may use only a part of the record capacity.
	excess bool
}

// rejection is the response to a job that was not admitted.
type rejection struct {
	status       int32
	retryAfterMs int64
	faults       []schema.Fault
}

// admissionRules implements each kind of admission rule. A rule may fill in defaults of the job; it returns nil if
// the job passes.
var admissionRules = map[configuration.RuleOp]func(*admission, int64) *rejection{
	configuration.RuleDefaultLimit: func(a *admission, value int64) *rejection {
		for i := range a.job.Steps {
			a.job.Steps[i].LimitMs = cmp.Or(a.job.Steps[i].LimitMs, value)
		}
		for i := range a.job.Tasks {
			a.job.Tasks[i].LimitMs = cmp.Or(a.job.Tasks[i].LimitMs, value)
		}
		return nil
	},
	configuration.RuleDefaultFailures: func(a *admission, value int64) *rejection {
		for i := range a.job.Steps {
			if a.job.Steps[i].AllowedFailures < 0 {
				a.job.Steps[i].AllowedFailures = int32(value)
			}
		}
		for i := range a.job.Tasks {
			if a.job.Tasks[i].AllowedFailures < 0 {
				a.job.Tasks[i].AllowedFailures = int32(value)
			}
		}
		return nil
	},
	configuration.RuleMaxTasks: func(a *admission, value int64) *rejection {
		if value > 0 && int64(len(a.job.Tasks)) > value {
			return &rejection{
				status: 400,
				faults: []schema.Fault{{Path: "steps", Reason: fmt.Sprintf("have more than the queue's %d tasks", value)}},
			}
		}
		return nil
	},
	configuration.RuleMaxResources: func(a *admission, value int64) *rejection {
		return a.rejectTasks(
			func(t *task) bool { return value > 0 && t.Resources.CPU > value }, "room", "is above the queue's bound",
		)
	},
	configuration.RuleMaxLimit: func(a *admission, value int64) *rejection {
		return a.rejectTasks(
			func(t *task) bool { return value > 0 && t.LimitMs > value }, "limit_ms", "is above the queue's bound",
		)
	},
	configuration.RuleNoGangs: func(a *admission, _ int64) *rejection {
		var violations []schema.Fault
		for i, s := range a.job.Steps {
			if s.Gang {
				violations = append(
					violations,
					schema.Fault{Path: fmt.Sprintf("steps.%d.gang", i), Reason: "can't be in a batch queue: it needs a firm place"},
				)
			}
			if s.LongRunning {
				violations = append(
					violations,
					schema.Fault{Path: fmt.Sprintf("steps.%d.lasting", i), Reason: "can't be in a batch queue: it never finishes"},
				)
			}
		}
		if len(violations) > 0 {
			return &rejection{status: 400, faults: violations}
		}
		return nil
	},
	configuration.RuleAdmit: func(a *admission, value int64) *rejection {
		maxJobs := shardJobsMax
		if a.lowestUrgency { // keeps a share of the shard's jobs for more urgent queues
			maxJobs = shardJobsMax * (100 - urgentSharePercent) / 100
		}
		maxBytes := shardBytesMax
		if a.batch { // batch jobs are held for long; keeps record capacity for other jobs
			maxJobs, maxBytes = shardJobsMax*batchRecordsPercent/100, shardBytesMax*batchRecordsPercent/100
		}
		if a.excess {
			value, maxJobs, maxBytes = max(value*excessRecordsPercent/100, 1),
				maxJobs*excessRecordsPercent/100, maxBytes*excessRecordsPercent/100
		}
		if int64(a.queueLive) >= value || a.shardLive >= maxJobs || a.bytes > maxBytes {
			return &rejection{
				status:       429,
				retryAfterMs: 2000,
				faults:       []schema.Fault{{Path: "queue", Reason: "has as many live jobs as it may"}},
			}
		}
		return nil
	},
}

// rejectTasks returns a rejection with one fault for each task that violates a rule, or nil if none does.
func (a *admission) rejectTasks(violates func(*task) bool, field, reason string) *rejection {
	var violations []schema.Fault
	for i := range a.job.Tasks {
		t := &a.job.Tasks[i]
		if violates(t) {
			violations = append(violations, schema.Fault{Path: fmt.Sprintf("steps.%d.tasks.%d.%s", t.Step, t.IndexInStep, field),
				Reason: reason})
		}
	}
	if len(violations) > 0 {
		return &rejection{status: 400, faults: violations}
	}
	return nil
}

// admit applies the admission rules of the job's queue and returns the first rejection, or nil.
func admit(a *admission) *rejection {
	for _, rule := range a.queue.Admission {
		if rejected := admissionRules[rule.Op](a, rule.N); rejected != nil {
			return rejected
		}
	}
	return nil
}
