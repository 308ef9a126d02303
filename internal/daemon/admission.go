package daemon

import (
	"cmp"
	"fmt"

	"otterchute/internal/configuration"
	"otterchute/internal/schema"
)

// admission is a new job on its way through the rules of its queue.
type admission struct {
	job           *jobRecord
	queue         *configuration.Queue
	queueLive     int // live jobs of this queue in the shard
	shardLive     int // live jobs of the shard
	bytes         int // of their records, with this one
	lowestUrgency bool
	batch         bool
	// excess is beyond its tenant's weight: such jobs leave others a part of the records.
	excess bool
}

type rejection struct {
	status  int32
	retryMs int64
	faults  []schema.Fault
}

// ruleOps is the instruction table of the interpreter.
var ruleOps = map[configuration.RuleOp]func(*admission, int64) *rejection{
	configuration.RuleDefaultLimit: func(c *admission, v int64) *rejection {
		for i := range c.job.Steps {
			c.job.Steps[i].LimitMs = cmp.Or(c.job.Steps[i].LimitMs, v)
		}
		for i := range c.job.Tasks {
			c.job.Tasks[i].LimitMs = cmp.Or(c.job.Tasks[i].LimitMs, v)
		}
		return nil
	},
	configuration.RuleDefaultFailures: func(c *admission, v int64) *rejection {
		for i := range c.job.Steps {
			if c.job.Steps[i].AllowedFailures < 0 {
				c.job.Steps[i].AllowedFailures = int32(v)
			}
		}
		for i := range c.job.Tasks {
			if c.job.Tasks[i].AllowedFailures < 0 {
				c.job.Tasks[i].AllowedFailures = int32(v)
			}
		}
		return nil
	},
	configuration.RuleMaxTasks: func(c *admission, v int64) *rejection {
		if v > 0 && int64(len(c.job.Tasks)) > v {
			return &rejection{
				status: 400,
				faults: []schema.Fault{{Path: "steps", Reason: fmt.Sprintf("have more than the queue's %d tasks", v)}},
			}
		}
		return nil
	},
	configuration.RuleMaxResources: func(c *admission, v int64) *rejection {
		return c.rejectTasks(func(t *task) bool { return v > 0 && t.Resources.CPU > v }, "room", "is above the queue's bound")
	},
	configuration.RuleMaxLimit: func(c *admission, v int64) *rejection {
		return c.rejectTasks(func(t *task) bool { return v > 0 && t.LimitMs > v }, "limit_ms", "is above the queue's bound")
	},
	configuration.RuleNoGangs: func(c *admission, _ int64) *rejection {
		var out []schema.Fault
		for i, s := range c.job.Steps {
			if s.Gang {
				out = append(
					out,
					schema.Fault{Path: fmt.Sprintf("steps.%d.gang", i), Reason: "can't be in a batch queue: it needs a firm place"},
				)
			}
			if s.LongRunning {
				out = append(
					out,
					schema.Fault{Path: fmt.Sprintf("steps.%d.lasting", i), Reason: "can't be in a batch queue: it never finishes"},
				)
			}
		}
		if len(out) > 0 {
			return &rejection{status: 400, faults: out}
		}
		return nil
	},
	configuration.RuleAdmit: func(c *admission, v int64) *rejection {
		all := shardJobsMax
		if c.lowestUrgency { // queues of the lowest urgency leave the others their share
			all = shardJobsMax * (100 - urgentSharePercent) / 100
		}
		bytes := shardBytesMax
		if c.batch { // held jobs leave the others room in the records
			all, bytes = shardJobsMax*batchRecordsPercent/100, shardBytesMax*batchRecordsPercent/100
		}
		if c.excess {
			v, all, bytes = max(v*excessRecordsPercent/100, 1), all*excessRecordsPercent/100, bytes*excessRecordsPercent/100
		}
		if int64(c.queueLive) >= v || c.shardLive >= all || c.bytes > bytes {
			return &rejection{
				status:  429,
				retryMs: 2000,
				faults:  []schema.Fault{{Path: "queue", Reason: "has as many live jobs as it may"}},
			}
		}
		return nil
	},
}

func (c *admission) rejectTasks(bad func(*task) bool, field, reason string) *rejection {
	var out []schema.Fault
	for i := range c.job.Tasks {
		t := &c.job.Tasks[i]
		if bad(t) {
			out = append(out, schema.Fault{Path: fmt.Sprintf("steps.%d.tasks.%d.%s", t.Step, t.IndexInStep, field),
				Reason: reason})
		}
	}
	if len(out) > 0 {
		return &rejection{status: 400, faults: out}
	}
	return nil
}

// admit runs a request for a job through its queue's rules.
func admit(c *admission) *rejection {
	for _, r := range c.queue.Admission {
		if b := ruleOps[r.Op](c, r.N); b != nil {
			return b
		}
	}
	return nil
}
