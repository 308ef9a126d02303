// Package historycheck checks a history of what callers, workers and operators
// observed against the scheduler's safety rules. It doesn't use the daemons' own
// state, only what was sent, what was acknowledged, and which runs workers
// recorded as started and ended.
package historycheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Kinds of events.
const (
	JobSent               = "job_sent"  // a caller sent a job for the first time
	JobAcked              = "job_acked" // a job was accepted
	CancelAcked           = "cancel_acked"
	JobState              = "job_state"     // a state returned to a caller; Text is the state, "unknown" for a 404
	Start                 = "start"         // a worker started a run
	End                   = "end"           // a worker ended a run; Text is ok, failed, stopped or crash
	WorkerCapacity        = "worker_room"   // a worker reported its Capacity, Labels and Zone
	WorkerLeaving         = "worker_leaves" // a worker's report that it is leaving was acknowledged
	ConfigurationSent     = "setup_sent"
	ConfigurationAcked    = "setup_acked"
	ConfigurationRejected = "setup_bounced" // a configuration was permanently rejected
	ConfigurationShown    = "setup_shown"   // a version was returned as current for a request sent at RequestedMs
	StateUnavailable      = "no_state"      // a query for a job's state failed
	SubmissionFailed      = "no_entry"      // the submission of a job failed
	WorkerUnreachable     = "unreachable"   // a worker became unreachable, or with Worker "" all of them
	WorkerReachable       = "reachable"
	MachinesLost          = "hard_loss"     // several machines went down at once
	MachinesBack          = "machines_back" // all of those machines are running again
	TrafficEnds           = "traffic_ends"  // callers send no new jobs after this
)

// Event is one line of a history.
type Event struct {
	AtMs          int64             `json:"at_ms"`
	Kind          string            `json:"kind"`
	Job           string            `json:"job,omitempty"`
	Task          int               `json:"task,omitempty"`
	Worker        string            `json:"worker,omitempty"`
	Run           string            `json:"run,omitempty"`  // id of one run at one worker process
	Text          string            `json:"text,omitempty"` // state, outcome or class, depending on Kind
	Capacity      int64             `json:"room,omitempty"`
	Labels        map[string]string `json:"labels,omitempty"`
	Zone          string            `json:"site,omitempty"`
	Version       int64             `json:"version,omitempty"`
	RequestedMs   int64             `json:"asked_ms,omitempty"`
	Spec          *Job              `json:"spec,omitempty"`
	Configuration *Configuration    `json:"setup,omitempty"`
}

// Job is a job as its caller sent it.
type Job struct {
	Queue   string `json:"queue"`
	DueMs   int64  `json:"due_ms,omitempty"`   // earliest start
	DelayMs int64  `json:"delay_ms,omitempty"` // earliest start, counted from the submission
	Steps   []Step `json:"steps"`
}

// Step is a step of a job. It starts after the steps named in After.
type Step struct {
	Name  string   `json:"name"`
	After []string `json:"after,omitempty"`
	Tasks []Task   `json:"tasks"`
}

// Task is a task of a step.
type Task struct {
	Name            string            `json:"name"`
	Cores           int64             `json:"room"`
	Labels          map[string]string `json:"labels,omitempty"`
	LimitMs         int64             `json:"limit_ms,omitempty"`
	EstimateMs      int64             `json:"estimate_ms,omitempty"`
	AllowedFailures int               `json:"allowed_failures"`
	Payload         any               `json:"payload,omitempty"`
}

// Configuration holds the parts of an operator's configuration that the rules depend on.
type Configuration struct {
	Queues     []Queue    `json:"queues"`
	Contracts  []Contract `json:"contracts,omitempty"`
	EmptyZones []string   `json:"empty_sites,omitempty"`
	Note       string     `json:"note,omitempty"`
}

// Contract is a price list for an hour of a core.
type Contract struct {
	Name             string  `json:"name"`
	UTCOffsetMinutes int64   `json:"utc_offset_minutes"`
	Price            float64 `json:"price"`
	Hours            []Hours `json:"hours,omitempty"`
}

// Hours is a part of each day with a price of its own.
type Hours struct {
	From  string  `json:"from"`
	To    string  `json:"to"`
	Price float64 `json:"price"`
}

// Batch holds the batch settings of a queue.
type Batch struct {
	Contract      string  `json:"contract"`
	FinishByHours float64 `json:"finish_by_hours"`
	SharePercent  int64   `json:"share_percent"`
}

// Queue is a named queue; Selector limits the workers that run its jobs.
type Queue struct {
	Name          string              `json:"name"`
	Selector      map[string][]string `json:"selector,omitempty"`
	Urgency       int64               `json:"urgency"`
	TrustRunLimit bool                `json:"trust_run_limit,omitempty"`
	Batch         Batch               `json:"batch,omitzero"`
}

// Violation is one violation of a rule.
type Violation struct {
	Rule   string
	AtMs   int64
	Detail string
}

func (v Violation) String() string { return fmt.Sprintf("%s at %d ms: %s", v.Rule, v.AtMs, v.Detail) }

// Bounds are the time limits of the rules, in ms.
type Bounds struct {
	StartAfterCancelMs     int64 // how long after a cancel runs may still start
	RunAfterCancelMs       int64 // how long runs may continue after a cancel
	StartAfterLeavingMs    int64 // how long runs may still start at a leaving worker
	StartAfterEvacuationMs int64 // how long runs may still start in an evacuated zone
	ConfigurationEffectMs  int64 // how long an acknowledged configuration may take to come into effect
	JobVisibleMs           int64 // how long after its acceptance queries may still return unknown
	RecoveryMs             int64 // how long after the return of lost machines throughput may be low
}

// DefaultBounds are the bounds that the users require.
var DefaultBounds = Bounds{
	StartAfterCancelMs: 3000, RunAfterCancelMs: 10_000, StartAfterLeavingMs: 2000, StartAfterEvacuationMs: 5000,
	ConfigurationEffectMs: 2000, JobVisibleMs: 3000, RecoveryMs: 12_000,
}

// TaskAt returns the task with a number, and its step; nil if there is no such task. Tasks are
// numbered from 0 through all steps.
//
// Example: step, task := job.TaskAt(3)
func (j *Job) TaskAt(i int) (*Step, *Task) {
	for s := range j.Steps {
		if i < len(j.Steps[s].Tasks) {
			return &j.Steps[s], &j.Steps[s].Tasks[i]
		}
		i -= len(j.Steps[s].Tasks)
	}
	return nil, nil
}

// TaskCount returns the number of tasks of a job.
//
// Example: for i := range job.TaskCount() { ... }
func (j *Job) TaskCount() int {
	n := 0
	for _, s := range j.Steps {
		n += len(s.Tasks)
	}
	return n
}

// ParseRun splits the id of a run into the job's id and the task number.
//
// Example: job, task, ok := historycheck.ParseRun("order-1#0#2")
func ParseRun(id string) (job string, task int, ok bool) {
	p := strings.Split(id, "#")
	if len(p) != 3 {
		return "", 0, false
	}
	t, err := strconv.Atoi(p[1])
	return p[0], t, err == nil
}

type taskKey struct {
	job  string
	task int
}

type run struct {
	start, end int64 // in ms; end is 0 while the run is open
	outcome    string
	worker     string
	cores      int64
}

// checker holds the state derived from the events so far.
type checker struct {
	bounds           Bounds
	jobs             map[string]*jobRecord
	runs             map[taskKey][]*run
	openRuns         map[string]*run // keyed by worker and run id
	workers          map[string]*workerRecord
	acknowledged     []acknowledgedConfiguration
	submitted        map[int64][]*Configuration
	unreachableSpans map[string][][2]int64 // by worker, each from and to in ms
	violations       []Violation
}

type jobRecord struct {
	spec      *Job
	sentMs    int64
	ackedMs   int64
	cancelMs  int64
	cancelled bool
	acked     bool
}

type workerRecord struct {
	cores     int64
	labels    map[string]string
	zone      string
	leavingMs int64
	leaving   bool
	used      int64
}

type acknowledgedConfiguration struct {
	version, atMs int64
	configuration *Configuration
}

// Check returns every violation in a history. The events need not be sorted by time.
//
// Example: if v := historycheck.Check(events, historycheck.DefaultBounds); len(v) > 0 { ... }
func Check(events []Event, bounds Bounds) []Violation {
	ordered := slices.Clone(events)
	slices.SortStableFunc(ordered, func(a, b Event) int { return cmp.Compare(a.AtMs, b.AtMs) })
	c := &checker{
		bounds: bounds, jobs: map[string]*jobRecord{}, runs: map[taskKey][]*run{}, openRuns: map[string]*run{},
		workers: map[string]*workerRecord{}, submitted: map[int64][]*Configuration{},
		unreachableSpans: map[string][][2]int64{},
	}
	last := int64(0)
	for i := range ordered {
		last = ordered[i].AtMs
		if h, ok := handlers[ordered[i].Kind]; ok {
			h(c, &ordered[i])
		}
	}
	c.checkRunsAfterCancel(last)
	for _, r := range Recoveries(ordered, bounds) {
		if r.Share < minRecoveryShare {
			c.report("slow_after_loss", r.AtMs, "%d tasks completed in %d ms, expected %.0f; machines back at %d ms",
				r.Completed, int64(recoveryWindowMs), r.Baseline, r.BackMs)
		}
	}
	return c.violations
}

var handlers = map[string]func(*checker, *Event){
	JobSent: func(c *checker, e *Event) {
		if c.jobs[e.Job] == nil {
			c.jobs[e.Job] = &jobRecord{spec: e.Spec, sentMs: e.AtMs}
		}
	},
	JobAcked: func(c *checker, e *Event) {
		if s := c.jobs[e.Job]; s != nil && !s.acked {
			s.acked, s.ackedMs = true, e.AtMs
		}
	},
	CancelAcked: func(c *checker, e *Event) {
		if s := c.jobs[e.Job]; s != nil && !s.cancelled {
			s.cancelled, s.cancelMs = true, e.AtMs
		}
	},
	WorkerUnreachable: func(c *checker, e *Event) {
		c.unreachableSpans[e.Worker] = append(c.unreachableSpans[e.Worker], [2]int64{e.AtMs, 1 << 62})
	},
	WorkerReachable: func(c *checker, e *Event) {
		if a := c.unreachableSpans[e.Worker]; len(a) > 0 {
			a[len(a)-1][1] = min(a[len(a)-1][1], e.AtMs)
		}
	},
	JobState: (*checker).state,
	Start:    (*checker).start,
	End: func(c *checker, e *Event) {
		key := e.Worker + "/" + e.Run
		if r := c.openRuns[key]; r != nil {
			r.end, r.outcome = e.AtMs, e.Text
			delete(c.openRuns, key)
			if w := c.workers[e.Worker]; w != nil {
				w.used -= r.cores
			}
		}
	},
	WorkerCapacity: func(c *checker, e *Event) {
		w := c.workers[e.Worker]
		if w == nil {
			w = &workerRecord{}
			c.workers[e.Worker] = w
		}
		w.cores, w.labels, w.zone, w.leaving = e.Capacity, e.Labels, e.Zone, false
	},
	WorkerLeaving: func(c *checker, e *Event) {
		if w := c.workers[e.Worker]; w != nil && !w.leaving {
			w.leaving, w.leavingMs = true, e.AtMs
		}
	},
	ConfigurationSent: func(c *checker, e *Event) {
		c.submitted[e.Version] = append(c.submitted[e.Version], e.Configuration)
	},
	ConfigurationAcked: func(c *checker, e *Event) {
		for _, s := range c.acknowledged {
			if s.version == e.Version && !sameConfiguration(s.configuration, e.Configuration) {
				c.report("setup_acked_twice", e.AtMs, "version %d", e.Version)
			}
		}
		c.acknowledged = append(c.acknowledged, acknowledgedConfiguration{e.Version, e.AtMs, e.Configuration})
	},
	ConfigurationRejected: func(c *checker, e *Event) {
		c.submitted[e.Version] = slices.DeleteFunc(
			c.submitted[e.Version], func(s *Configuration) bool { return s == e.Configuration },
		)
	},
	ConfigurationShown: func(c *checker, e *Event) {
		for _, s := range c.acknowledged {
			if s.atMs+c.bounds.ConfigurationEffectMs < e.RequestedMs && s.version > e.Version {
				c.report("setup_lost", e.AtMs, "version %d shown, %d was acknowledged", e.Version, s.version)
			}
		}
	},
}

func sameConfiguration(a, b *Configuration) bool {
	return a == b || a != nil && b != nil && fmt.Sprint(*a) == fmt.Sprint(*b)
}

func (c *checker) report(rule string, atMs int64, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, atMs, fmt.Sprintf(format, args...)})
}

// failures counts the failed runs of a task, including those stopped at their run limit.
func (c *checker) failures(k taskKey, t *Task) int {
	n := 0
	for _, r := range c.runs[k] {
		if r.outcome == "failed" || r.outcome == "stopped" && t.LimitMs > 0 && r.end-r.start >= t.LimitMs {
			n++
		}
	}
	return n
}

func (c *checker) succeeded(k taskKey) bool {
	return slices.ContainsFunc(c.runs[k], func(r *run) bool { return r.outcome == "ok" })
}

func (c *checker) start(e *Event) {
	key := taskKey{e.Job, e.Task}
	subject := fmt.Sprintf("%s at %s", e.Run, e.Worker)
	job := c.jobs[e.Job]
	var spec *Step
	var task *Task
	if job != nil {
		spec, task = job.spec.TaskAt(e.Task)
	}
	if task == nil {
		c.report("run_not_sent", e.AtMs, "%s", subject)
		return
	}
	c.checkOtherRuns(e, key, task, subject)
	c.checkPrecedingSteps(e, job, spec, subject)
	if due := max(job.spec.DueMs, job.sentMs+job.spec.DelayMs); e.AtMs < due {
		c.report("before_due", e.AtMs, "%s due at %d ms", subject, due)
	}
	if job.cancelled && e.AtMs > job.cancelMs+c.bounds.StartAfterCancelMs {
		c.report("after_cancel", e.AtMs, "%s cancelled at %d ms", subject, job.cancelMs)
	}
	r := &run{start: e.AtMs, worker: e.Worker, cores: task.Cores}
	c.runs[key] = append(c.runs[key], r)
	c.openRuns[e.Worker+"/"+e.Run] = r
	if w := c.workers[e.Worker]; w != nil {
		c.checkWorker(e, task, w, subject)
		c.checkConfiguration(e, job.spec.Queue, w, subject)
	}
}

// checkOtherRuns checks a start against the other runs of its task.
func (c *checker) checkOtherRuns(e *Event, key taskKey, task *Task, subject string) {
	for _, r := range c.runs[key] {
		if r.end == 0 {
			c.report("twice_at_once", e.AtMs, "%s, another run is open at %s since %d ms", subject, r.worker, r.start)
		}
		if r.outcome == "ok" {
			c.report("again_after_well", e.AtMs, "%s, already completed at %s at %d ms", subject, r.worker, r.end)
		}
	}
	if f := c.failures(key, task); f >= max(task.AllowedFailures, 1) {
		c.report("past_failures", e.AtMs, "%s after %d of %d allowed failures", subject, f, task.AllowedFailures)
	}
}

// checkPrecedingSteps checks at a task's start that the steps before its step have completed.
func (c *checker) checkPrecedingSteps(e *Event, job *jobRecord, spec *Step, subject string) {
	for _, name := range spec.After {
		i := 0
		for s := range job.spec.Steps {
			for range job.spec.Steps[s].Tasks {
				if job.spec.Steps[s].Name == name && !c.succeeded(taskKey{e.Job, i}) {
					c.report("before_its_steps", e.AtMs, "%s before task %d completed", subject, i)
				}
				i++
			}
		}
	}
}

// checkWorker checks a start against the capacity, labels and state that its worker reported.
func (c *checker) checkWorker(e *Event, task *Task, w *workerRecord, subject string) {
	if w.used += task.Cores; w.used > w.cores {
		c.report("over_room", e.AtMs, "%s, %d of %d cores in use", subject, w.used, w.cores)
	}
	for _, k := range sortedKeys(task.Labels) {
		if w.labels[k] != task.Labels[k] {
			c.report("lacks_label", e.AtMs, "%s needs %s=%s", subject, k, task.Labels[k])
		}
	}
	if w.leaving && e.AtMs > w.leavingMs+c.bounds.StartAfterLeavingMs {
		c.report("leaving_worker", e.AtMs, "%s, leaving since %d ms", subject, w.leavingMs)
	}
}

// checkConfiguration checks a start against every configuration that may be in effect: the last one
// acknowledged long enough ago, and all that are newer or whose request got no response.
func (c *checker) checkConfiguration(e *Event, queue string, w *workerRecord, subject string) {
	minVersion := int64(0)
	for _, s := range c.acknowledged {
		if s.atMs+c.bounds.ConfigurationEffectMs < e.AtMs {
			minVersion = max(minVersion, s.version)
		}
	}
	if minVersion == 0 {
		return
	}
	eligible := false
	for _, v := range sortedKeys(c.submitted) {
		if v < minVersion {
			continue
		}
		for _, s := range c.submitted[v] {
			eligible = eligible || s.selects(queue, w)
		}
	}
	if !eligible {
		c.report("outside_group", e.AtMs, "%s of queue %s under configuration version %d", subject, queue, minVersion)
	}
	evacuatedMs, evacuated := int64(0), false
	for _, s := range c.acknowledged {
		if slices.Contains(s.configuration.EmptyZones, w.zone) {
			if !evacuated {
				evacuatedMs, evacuated = s.atMs, true
			}
		} else {
			evacuated = false
		}
	}
	mayBeReopened := false // by a newer version whose request got no response
	if len(c.acknowledged) > 0 {
		for v, list := range c.submitted {
			for _, s := range list {
				mayBeReopened = mayBeReopened ||
					v > c.acknowledged[len(c.acknowledged)-1].version && !slices.Contains(s.EmptyZones, w.zone)
			}
		}
	}
	if evacuated && !mayBeReopened && e.AtMs > evacuatedMs+c.bounds.StartAfterEvacuationMs {
		c.report("emptied_site", e.AtMs, "%s, zone evacuated at %d ms", subject, evacuatedMs)
	}
}

func (c *Configuration) selects(queue string, w *workerRecord) bool {
	for _, q := range c.Queues {
		if q.Name != queue {
			continue
		}
		ok := true
		for k, values := range q.Selector {
			have := w.labels[k]
			if k == "site" {
				have = w.zone
			}
			ok = ok && slices.Contains(values, have)
		}
		return ok
	}
	return false
}

func (c *checker) state(e *Event) {
	job := c.jobs[e.Job]
	if job == nil {
		return
	}
	switch e.Text {
	case "unknown":
		if job.acked && e.RequestedMs > job.ackedMs+c.bounds.JobVisibleMs {
			c.report("job_forgotten", e.AtMs, "%s accepted at %d ms", e.Job, job.ackedMs)
		}
	case "complete":
		for i := range job.spec.TaskCount() {
			if !c.succeeded(taskKey{e.Job, i}) {
				c.report("complete_too_early", e.AtMs, "%s task %d", e.Job, i)
			}
		}
	case "failed":
		cause := false
		for i := range job.spec.TaskCount() {
			_, t := job.spec.TaskAt(i)
			cause = cause || c.failures(taskKey{e.Job, i}, t) >= max(t.AllowedFailures, 1)
		}
		if !cause {
			c.report("failed_without_cause", e.AtMs, "%s", e.Job)
		}
	}
}

// checkRunsAfterCancel reports runs that continued too long after an acknowledged cancel.
func (c *checker) checkRunsAfterCancel(last int64) {
	for k, runs := range c.runs {
		s := c.jobs[k.job]
		if s == nil || !s.cancelled {
			continue
		}
		for _, r := range runs {
			end := r.end
			if end == 0 {
				end = last
			}
			bound := s.cancelMs + c.bounds.RunAfterCancelMs
			// Time during which the worker could not be reached to stop the run doesn't count.
			for _, a := range append(slices.Clone(c.unreachableSpans[r.worker]), c.unreachableSpans[""]...) {
				bound += max(0, min(end, a[1])-max(s.cancelMs, a[0]))
			}
			if r.start <= s.cancelMs && end > bound {
				c.report("runs_on_after_cancel", end, "%s task %d at %s", k.job, k.task, r.worker)
			}
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
