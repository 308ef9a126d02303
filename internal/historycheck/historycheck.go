// Package historycheck judges a history of what callers, workers and operators saw
// against the rules that must never be broken. It knows nothing of the daemons'
// own state: only what was sent, what was acknowledged, and what workers
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
	JobAcked              = "job_acked" // accepted
	CancelAcked           = "cancel_acked"
	JobState              = "job_state"     // a state shown to a caller; Text is the state, "unknown" for a 404
	Start                 = "start"         // a worker began a run
	End                   = "end"           // a worker ended a run; Text is ok, failed, stopped or crash
	WorkerCapacity        = "worker_room"   // a worker's word: Room, Labels, Zone
	WorkerLeaving         = "worker_leaves" // acknowledged word that it is leaving
	ConfigurationSent     = "setup_sent"
	ConfigurationAcked    = "setup_acked"
	ConfigurationRejected = "setup_bounced" // finally refused
	ConfigurationShown    = "setup_shown"   // version shown to an operator as current; RequestedMs is when it was asked for
	StateUnavailable      = "no_state"      // a job's state was asked for in vain
	SubmissionFailed      = "no_entry"      // a job was handed in in vain
	WorkerUnreachable     = "unreachable"   // nobody can reach a worker, or with Worker "" any
	WorkerReachable       = "reachable"
	MachinesLost          = "hard_loss"     // machines go down at once
	MachinesBack          = "machines_back" // and all of them stand again
	TrafficEnds           = "traffic_ends"  // callers send nothing new from here on
)

// Event is one line of a history.
type Event struct {
	AtMs          int64             `json:"at_ms"`
	Kind          string            `json:"kind"`
	Job           string            `json:"job,omitempty"`
	Task          int               `json:"task,omitempty"`
	Worker        string            `json:"worker,omitempty"`
	Run           string            `json:"run,omitempty"` // identity of one run at one worker process
	Text          string            `json:"text,omitempty"`
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
	DueMs   int64  `json:"due_ms,omitempty"`
	DelayMs int64  `json:"delay_ms,omitempty"`
	Steps   []Step `json:"steps"`
}

// Step is a step of a job, with the names of those it waits on.
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

// ConfigurationEffectMs is the part of an operator's configuration that bears on the rules.
type Configuration struct {
	Queues     []Queue    `json:"queues"`
	Contracts  []Contract `json:"contracts,omitempty"`
	EmptyZones []string   `json:"empty_sites,omitempty"`
	Note       string     `json:"note,omitempty"`
}

// Contract is what an hour of a core costs.
type Contract struct {
	Name             string  `json:"name"`
	UTCOffsetMinutes int64   `json:"utc_offset_minutes"`
	Price            float64 `json:"price"`
	Hours            []Hours `json:"hours,omitempty"`
}

// Hours are a part of each day with a price of its own.
type Hours struct {
	From  string  `json:"from"`
	To    string  `json:"to"`
	Price float64 `json:"price"`
}

// Batch is what a queue's batches follow.
type Batch struct {
	Contract      string  `json:"contract"`
	FinishByHours float64 `json:"finish_by_hours"`
	SharePercent  int64   `json:"share_percent"`
}

// Queue ties a name to a group of workers.
type Queue struct {
	Name          string              `json:"name"`
	Selector      map[string][]string `json:"selector,omitempty"`
	Urgency       int64               `json:"urgency"`
	TrustRunLimit bool                `json:"trust_run_limit,omitempty"`
	Batch         Batch               `json:"batch,omitzero"`
}

// Violation is one broken rule.
type Violation struct {
	Rule   string
	AtMs   int64
	Detail string
}

func (b Violation) String() string { return fmt.Sprintf("%s at %d ms: %s", b.Rule, b.AtMs, b.Detail) }

// Bounds are the times of the rules, in ms.
type Bounds struct {
	StartAfterCancelMs, RunAfterCancelMs, StartAfterLeavingMs, StartAfterEvacuationMs, ConfigurationEffectMs, JobVisibleMs, RecoveryMs int64
}

// DefaultBounds are the bounds that the users named. A run may go on after a cancel
// for RunAfterCancelMs.
var DefaultBounds = Bounds{
	StartAfterCancelMs: 3000, RunAfterCancelMs: 10_000, StartAfterLeavingMs: 2000, StartAfterEvacuationMs: 5000, ConfigurationEffectMs: 2000, JobVisibleMs: 3000, RecoveryMs: 12_000,
}

// TaskAt gives the step and task of a flat task number.
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

// TaskCount is how many tasks a job has.
//
// Example: for i := range job.Size() { ... }
func (j *Job) TaskCount() int {
	n := 0
	for _, s := range j.Steps {
		n += len(s.Tasks)
	}
	return n
}

// ParseRun splits an order's id into job and flat task number.
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
	start, end int64 // end 0 while open
	outcome    string
	worker     string
	room       int64
}

// judge is what has been seen up to an event.
type judge struct {
	bounds  Bounds
	jobs    map[string]*jobSeen
	runs    map[taskKey][]*run
	open    map[string]*run // by worker and run id
	workers map[string]*workerSeen
	setups  []setupSeen
	sent    map[int64][]*Configuration
	away    map[string][][2]int64 // when a worker could not be reached
	out     []Violation
}

type jobSeen struct {
	spec      *Job
	sentMs    int64
	ackedMs   int64
	cancelMs  int64
	cancelled bool
	acked     bool
}

type workerSeen struct {
	room    int64
	labels  map[string]string
	zone    string
	leaveMs int64
	leaves  bool
	used    int64
}

type setupSeen struct {
	version, atMs int64
	setup         *Configuration
}

// Check gives every breach in a history. Events are put in order of time first.
//
// Example: if b := historycheck.Check(events, historycheck.Usual); len(b) > 0 { ... }
func Check(events []Event, bounds Bounds) []Violation {
	ordered := slices.Clone(events)
	slices.SortStableFunc(ordered, func(a, b Event) int { return cmp.Compare(a.AtMs, b.AtMs) })
	j := &judge{bounds: bounds, jobs: map[string]*jobSeen{}, runs: map[taskKey][]*run{}, open: map[string]*run{},
		workers: map[string]*workerSeen{}, sent: map[int64][]*Configuration{}, away: map[string][][2]int64{}}
	last := int64(0)
	for i := range ordered {
		last = ordered[i].AtMs
		if h, ok := handlers[ordered[i].Kind]; ok {
			h(j, &ordered[i])
		}
	}
	j.longAfterCancel(last)
	for _, r := range Recoveries(ordered, bounds) {
		if r.Share < leastShare {
			j.breach("slow_after_loss", r.AtMs, "%d tasks ended well in %d ms, %.0f were usual; machines back at %d ms",
				r.Completed, int64(recoverySpanMs), r.Baseline, r.BackMs)
		}
	}
	return j.out
}

var handlers = map[string]func(*judge, *Event){
	JobSent: func(j *judge, e *Event) {
		if j.jobs[e.Job] == nil {
			j.jobs[e.Job] = &jobSeen{spec: e.Spec, sentMs: e.AtMs}
		}
	},
	JobAcked: func(j *judge, e *Event) {
		if s := j.jobs[e.Job]; s != nil && !s.acked {
			s.acked, s.ackedMs = true, e.AtMs
		}
	},
	CancelAcked: func(j *judge, e *Event) {
		if s := j.jobs[e.Job]; s != nil && !s.cancelled {
			s.cancelled, s.cancelMs = true, e.AtMs
		}
	},
	WorkerUnreachable: func(j *judge, e *Event) { j.away[e.Worker] = append(j.away[e.Worker], [2]int64{e.AtMs, 1 << 62}) },
	WorkerReachable: func(j *judge, e *Event) {
		if a := j.away[e.Worker]; len(a) > 0 {
			a[len(a)-1][1] = min(a[len(a)-1][1], e.AtMs)
		}
	},
	JobState: (*judge).state,
	Start:    (*judge).start,
	End: func(j *judge, e *Event) {
		key := e.Worker + "/" + e.Run
		if r := j.open[key]; r != nil {
			r.end, r.outcome = e.AtMs, e.Text
			delete(j.open, key)
			if w := j.workers[e.Worker]; w != nil {
				w.used -= r.room
			}
		}
	},
	WorkerCapacity: func(j *judge, e *Event) {
		w := j.workers[e.Worker]
		if w == nil {
			w = &workerSeen{}
			j.workers[e.Worker] = w
		}
		w.room, w.labels, w.zone, w.leaves = e.Capacity, e.Labels, e.Zone, false
	},
	WorkerLeaving: func(j *judge, e *Event) {
		if w := j.workers[e.Worker]; w != nil && !w.leaves {
			w.leaves, w.leaveMs = true, e.AtMs
		}
	},
	ConfigurationSent: func(j *judge, e *Event) { j.sent[e.Version] = append(j.sent[e.Version], e.Configuration) },
	ConfigurationAcked: func(j *judge, e *Event) {
		for _, s := range j.setups {
			if s.version == e.Version && !sameSetup(s.setup, e.Configuration) {
				j.breach("setup_acked_twice", e.AtMs, "version %d", e.Version)
			}
		}
		j.setups = append(j.setups, setupSeen{e.Version, e.AtMs, e.Configuration})
	},
	ConfigurationRejected: func(j *judge, e *Event) {
		j.sent[e.Version] = slices.DeleteFunc(j.sent[e.Version], func(s *Configuration) bool { return s == e.Configuration })
	},
	ConfigurationShown: func(j *judge, e *Event) {
		for _, s := range j.setups {
			if s.atMs+j.bounds.ConfigurationEffectMs < e.RequestedMs && s.version > e.Version {
				j.breach("setup_lost", e.AtMs, "version %d shown, %d was acknowledged", e.Version, s.version)
			}
		}
	},
}

func sameSetup(a, b *Configuration) bool {
	return a == b || a != nil && b != nil && fmt.Sprint(*a) == fmt.Sprint(*b)
}

func (j *judge) breach(rule string, atMs int64, format string, args ...any) {
	j.out = append(j.out, Violation{rule, atMs, fmt.Sprintf(format, args...)})
}

// failures counts how often a task failed: by its own word, or stopped when
// its run limit was over.
func (j *judge) failures(k taskKey, t *Task) int {
	n := 0
	for _, r := range j.runs[k] {
		if r.outcome == "failed" || r.outcome == "stopped" && t.LimitMs > 0 && r.end-r.start >= t.LimitMs {
			n++
		}
	}
	return n
}

func (j *judge) endedWell(k taskKey) bool {
	return slices.ContainsFunc(j.runs[k], func(r *run) bool { return r.outcome == "ok" })
}

func (j *judge) start(e *Event) {
	key := taskKey{e.Job, e.Task}
	what := fmt.Sprintf("%s at %s", e.Run, e.Worker)
	seen := j.jobs[e.Job]
	var spec *Step
	var task *Task
	if seen != nil {
		spec, task = seen.spec.TaskAt(e.Task)
	}
	if task == nil {
		j.breach("run_not_sent", e.AtMs, "%s", what)
		return
	}
	j.startAfterOtherRuns(e, key, task, what)
	j.startAfterItsSteps(e, seen, spec, what)
	if due := max(seen.spec.DueMs, seen.sentMs+seen.spec.DelayMs); e.AtMs < due {
		j.breach("before_due", e.AtMs, "%s due at %d ms", what, due)
	}
	if seen.cancelled && e.AtMs > seen.cancelMs+j.bounds.StartAfterCancelMs {
		j.breach("after_cancel", e.AtMs, "%s cancelled at %d ms", what, seen.cancelMs)
	}
	r := &run{start: e.AtMs, worker: e.Worker, room: task.Cores}
	j.runs[key] = append(j.runs[key], r)
	j.open[e.Worker+"/"+e.Run] = r
	if w := j.workers[e.Worker]; w != nil {
		j.startAtWorker(e, task, w, what)
		j.startUnderSetup(e, seen.spec.Queue, w, what)
	}
}

// startAfterOtherRuns checks a start against the other runs of its task.
func (j *judge) startAfterOtherRuns(e *Event, key taskKey, task *Task, what string) {
	for _, r := range j.runs[key] {
		if r.end == 0 {
			j.breach("twice_at_once", e.AtMs, "%s, other run at %s since %d ms", what, r.worker, r.start)
		}
		if r.outcome == "ok" {
			j.breach("again_after_well", e.AtMs, "%s, ended well at %s at %d ms", what, r.worker, r.end)
		}
	}
	if f := j.failures(key, task); f >= max(task.AllowedFailures, 1) {
		j.breach("past_failures", e.AtMs, "%s after %d failures of %d", what, f, task.AllowedFailures)
	}
}

// startAfterItsSteps checks that the steps before a task's own have ended well.
func (j *judge) startAfterItsSteps(e *Event, seen *jobSeen, spec *Step, what string) {
	for _, name := range spec.After {
		i := 0
		for s := range seen.spec.Steps {
			for range seen.spec.Steps[s].Tasks {
				if seen.spec.Steps[s].Name == name && !j.endedWell(taskKey{e.Job, i}) {
					j.breach("before_its_steps", e.AtMs, "%s before task %d", what, i)
				}
				i++
			}
		}
	}
}

// startAtWorker checks a start against what its worker said of itself.
func (j *judge) startAtWorker(e *Event, task *Task, w *workerSeen, what string) {
	if w.used += task.Cores; w.used > w.room {
		j.breach("over_room", e.AtMs, "%s makes %d of %d", what, w.used, w.room)
	}
	for _, k := range sortedKeys(task.Labels) {
		if w.labels[k] != task.Labels[k] {
			j.breach("lacks_label", e.AtMs, "%s needs %s=%s", what, k, task.Labels[k])
		}
	}
	if w.leaves && e.AtMs > w.leaveMs+j.bounds.StartAfterLeavingMs {
		j.breach("leaving_worker", e.AtMs, "%s said so at %d ms", what, w.leaveMs)
	}
}

// startUnderSetup checks a start against every configuration that may be in effect:
// the last one acknowledged long enough ago, and all younger or unanswered.
func (j *judge) startUnderSetup(e *Event, queue string, w *workerSeen, what string) {
	floor := int64(0)
	for _, s := range j.setups {
		if s.atMs+j.bounds.ConfigurationEffectMs < e.AtMs {
			floor = max(floor, s.version)
		}
	}
	if floor == 0 {
		return
	}
	group := false
	for _, v := range sortedKeys(j.sent) {
		if v < floor {
			continue
		}
		for _, s := range j.sent[v] {
			group = group || s.inGroup(queue, w)
		}
	}
	if !group {
		j.breach("outside_group", e.AtMs, "%s of queue %s under setup %d", what, queue, floor)
	}
	emptyFrom, emptied := int64(0), false
	for _, s := range j.setups {
		if slices.Contains(s.setup.EmptyZones, w.zone) {
			if !emptied {
				emptyFrom, emptied = s.atMs, true
			}
		} else {
			emptied = false
		}
	}
	maybeOpen := false // a younger version, sent but unanswered, may have opened it again
	if len(j.setups) > 0 {
		for v, list := range j.sent {
			for _, s := range list {
				maybeOpen = maybeOpen || v > j.setups[len(j.setups)-1].version && !slices.Contains(s.EmptyZones, w.zone)
			}
		}
	}
	if emptied && !maybeOpen && e.AtMs > emptyFrom+j.bounds.StartAfterEvacuationMs {
		j.breach("emptied_site", e.AtMs, "%s emptied at %d ms", what, emptyFrom)
	}
}

func (s *Configuration) inGroup(queue string, w *workerSeen) bool {
	for _, q := range s.Queues {
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

func (j *judge) state(e *Event) {
	seen := j.jobs[e.Job]
	if seen == nil {
		return
	}
	switch e.Text {
	case "unknown":
		if seen.acked && e.RequestedMs > seen.ackedMs+j.bounds.JobVisibleMs {
			j.breach("job_forgotten", e.AtMs, "%s accepted at %d ms", e.Job, seen.ackedMs)
		}
	case "complete":
		for i := range seen.spec.TaskCount() {
			if !j.endedWell(taskKey{e.Job, i}) {
				j.breach("complete_too_early", e.AtMs, "%s task %d", e.Job, i)
			}
		}
	case "failed":
		cause := false
		for i := range seen.spec.TaskCount() {
			_, t := seen.spec.TaskAt(i)
			cause = cause || j.failures(taskKey{e.Job, i}, t) >= max(t.AllowedFailures, 1)
		}
		if !cause {
			j.breach("failed_without_cause", e.AtMs, "%s", e.Job)
		}
	}
}

// longAfterCancel finds runs that went on long after an acknowledged cancel.
func (j *judge) longAfterCancel(last int64) {
	for k, runs := range j.runs {
		s := j.jobs[k.job]
		if s == nil || !s.cancelled {
			continue
		}
		for _, r := range runs {
			end := r.end
			if end == 0 {
				end = last
			}
			bound := s.cancelMs + j.bounds.RunAfterCancelMs
			for _, a := range append(slices.Clone(j.away[r.worker]), j.away[""]...) { // nobody could stop it then
				bound += max(0, min(end, a[1])-max(s.cancelMs, a[0]))
			}
			if r.start <= s.cancelMs && end > bound {
				j.breach("runs_on_after_cancel", end, "%s task %d at %s", k.job, k.task, r.worker)
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
