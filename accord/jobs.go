package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/tidwall/gjson"
)

const (
	taskPending int8 = iota
	taskPlaced
	taskEnded
	taskFailed
	taskCancelled
)

var taskNames = map[int8]string{taskPending: "pending", taskPlaced: "placed", taskEnded: "ended", taskFailed: "failed", taskCancelled: "cancelled"}

const (
	jobRunning int8 = iota
	jobComplete
	jobFailed
	jobCancelled
)

var jobNames = map[int8]string{jobRunning: "running", jobComplete: "complete", jobFailed: "failed", jobCancelled: "cancelled"}

const (
	classGuaranteed int8 = iota + 1
	classQueueable
)

var classNames = map[int8]string{0: "", classGuaranteed: "guaranteed", classQueueable: "queueable"}

// task and job are kept as they stand in the slice's record.
type task struct {
	Step, InStep int32
	Name         string
	Room         int64
	Needs        []label
	LimitMs      int64
	HintMs       int64
	Allowed      int32
	Payload      []byte

	State      int8
	Class      int8
	Attempt    int32
	Worker     string
	AgentEpoch uint64
	Failures   int32
	Preempts   int32
	RanMs      int64
	SetVer     int64  // record version of the last change of state
	Last       string // the worker of the last failure, avoided next time
	Cause      string
}

type step struct {
	Name  string
	After []int32
}

type job struct {
	ID       string
	Queue    string
	Digest   []byte
	SubmitMs int64
	DueMs    int64
	DelayMs  int64
	State    int8
	DoneMs   int64
	Version  int64
	Size     int32 // tasks, when finished
	Steps    []step
	Tasks    []task
}

var jobFields = fieldSpec{Kind: "object", Fields: map[string]fieldSpec{
	"queue":    {Kind: "name", Required: true},
	"due_ms":   {Kind: "count", Min: 0},
	"delay_ms": {Kind: "count", Min: 0, Max: 365 * 24 * msPerHour},
	"steps": {Kind: "list", Required: true, Min: 1, Max: stepsMax, Elem: &fieldSpec{Kind: "object", Fields: map[string]fieldSpec{
		"name":  {Kind: "name", Required: true},
		"after": {Kind: "list", Max: stepsMax, Elem: &fieldSpec{Kind: "name"}},
		"tasks": {Kind: "list", Required: true, Min: 1, Max: tasksMax, Elem: &fieldSpec{Kind: "object", Fields: map[string]fieldSpec{
			"name":             {Kind: "name", Required: true},
			"payload":          {Kind: "any"},
			"room":             {Kind: "count", Required: true, Min: 1, Max: 1 << 40},
			"labels":           {Kind: "labels"},
			"limit_ms":         {Kind: "count", Min: 1, Max: 30 * 24 * msPerHour},
			"estimate_ms":      {Kind: "count", Min: 0, Max: 30 * 24 * msPerHour},
			"allowed_failures": {Kind: "count", Min: 0, Max: 100},
		}}},
	}}},
}}

// parseJob checks a job's body and gives the job, or all faults by path.
//
// Example: j, faults := parseJob("order-7", []byte(`{"queue":"checks","steps":[{"name":"a","tasks":[{"name":"t","room":1}]}]}`))
func parseJob(id string, body []byte) (*job, []fault) {
	if !nameOK(id) {
		return nil, []fault{{"id", "must be a name: 1 to 128 letters, digits, '-', '_', '.' or ':'"}}
	}
	if len(body) > bodyMax {
		return nil, []fault{{"", "is larger than 1 MiB"}}
	}
	if f := checkDoc(body, jobFields); len(f) > 0 {
		return nil, f
	}
	var faults []fault
	bad := func(path, reason string) { faults = append(faults, fault{path, reason}) }
	root := gjson.ParseBytes(body)
	var flat bytes.Buffer
	_ = json.Compact(&flat, body)
	sum := sha256.Sum256(flat.Bytes()) // half of it tells bodies apart well enough
	j := &job{ID: id, Queue: root.Get("queue").Str, Digest: sum[:16], DueMs: root.Get("due_ms").Int(), DelayMs: root.Get("delay_ms").Int()}
	if root.Get("due_ms").Exists() && root.Get("delay_ms").Exists() {
		bad("delay_ms", "can't stand beside due_ms")
	}
	index := map[string]int32{}
	steps := root.Get("steps").Array()
	for i, s := range steps {
		name := s.Get("name").Str
		if _, ok := index[name]; ok {
			bad(fmt.Sprintf("steps.%d.name", i), "stands twice")
		}
		index[name] = int32(i)
	}
	for i, s := range steps {
		st := step{Name: s.Get("name").Str}
		for k, a := range s.Get("after").Array() {
			at, ok := index[a.Str]
			if !ok {
				bad(fmt.Sprintf("steps.%d.after.%d", i, k), "names no step")
				continue
			}
			st.After = append(st.After, at)
		}
		j.Steps = append(j.Steps, st)
		names := map[string]bool{}
		for k, t := range s.Get("tasks").Array() {
			path := fmt.Sprintf("steps.%d.tasks.%d", i, k)
			if names[t.Get("name").Str] {
				bad(path+".name", "stands twice in its step")
			}
			names[t.Get("name").Str] = true
			allowed := int32(-1)
			if a := t.Get("allowed_failures"); a.Exists() {
				allowed = int32(a.Int())
			}
			j.Tasks = append(j.Tasks, task{Step: int32(i), InStep: int32(k), Name: t.Get("name").Str, Room: t.Get("room").Int(),
				Needs: labelsOf(t.Get("labels")), LimitMs: t.Get("limit_ms").Int(), HintMs: t.Get("estimate_ms").Int(),
				Allowed: allowed, Payload: []byte(t.Get("payload").Raw)})
		}
	}
	if len(j.Tasks) > tasksMax {
		bad("steps", fmt.Sprintf("have more than %d tasks together", tasksMax))
	}
	if at, ok := cycle(j.Steps); ok {
		bad(fmt.Sprintf("steps.%d.after", at), "waits in a circle")
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return j, nil
}

// cycle gives a step that waits on itself through others.
func cycle(steps []step) (int, bool) {
	state := make([]int8, len(steps)) // 1 being visited, 2 done
	var visit func(int) bool
	visit = func(i int) bool {
		if state[i] != 0 {
			return state[i] == 1
		}
		state[i] = 1
		for _, a := range steps[i].After {
			if visit(int(a)) {
				return true
			}
		}
		state[i] = 2
		return false
	}
	for i := range steps {
		if visit(i) {
			return i, true
		}
	}
	return 0, false
}

// allowedRuns is how often a task may fail in all: a task whose allowed
// failures are used up is never started again, and every task starts once.
func (t *task) allowedRuns() int32 { return max(t.Allowed, 1) }

func (t *task) settled() bool { return t.State >= taskEnded }

// readySteps tells for each step whether all it waits on ended well, and durably.
func (j *job) readySteps(committed int64) []bool {
	done := make([]bool, len(j.Steps))
	for i := range done {
		done[i] = true
	}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State != taskEnded || t.SetVer > committed {
			done[t.Step] = false
		}
	}
	ready := make([]bool, len(j.Steps))
	for i, s := range j.Steps {
		ready[i] = true
		for _, a := range s.After {
			ready[i] = ready[i] && done[a]
		}
	}
	return ready
}

// verdict derives a job's state from its tasks, where it has one.
func (j *job) verdict() (int8, bool) {
	all := true
	for i := range j.Tasks {
		if !j.Tasks[i].settled() {
			return j.State, false
		}
		all = all && j.Tasks[i].State == taskEnded
	}
	if all {
		return jobComplete, true
	}
	return j.State, true
}

// kept is the form of a job in its record, whose id it does not repeat. Of a
// complete one no task is needed any more: the core keeps some hundred
// thousand of them a day.
func (j *job) kept() []byte {
	c := *j
	c.ID = ""
	if j.DoneMs != 0 {
		c.Size = int32(len(j.Tasks))
		c.Tasks = slices.Clone(j.Tasks)
		for i := range c.Tasks {
			c.Tasks[i].Payload, c.Tasks[i].Needs = nil, nil
		}
		if j.State == jobComplete {
			c.Steps, c.Tasks = nil, nil
		}
	}
	return pack(nil, c)
}

// jobOf reads the job in a record.
func jobOf(r record) (*job, bool) {
	j := &job{}
	if r.ID == "" || unpack(r.Value, j) != nil {
		return nil, false
	}
	j.ID = r.ID
	return j, true
}

func (j *job) view(why func(*task) string) map[string]any {
	steps := make([]map[string]any, len(j.Steps))
	for i, s := range j.Steps {
		after := []string{}
		for _, a := range s.After {
			after = append(after, j.Steps[a].Name)
		}
		steps[i] = map[string]any{"name": s.Name, "after": after, "tasks": []map[string]any{}}
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		m := map[string]any{"name": t.Name, "state": taskNames[t.State], "attempt": t.Attempt, "class": classNames[t.Class],
			"worker": t.Worker, "failures": t.Failures, "preemptions": t.Preempts, "ran_ms": t.RanMs}
		if t.Cause != "" {
			m["cause"] = t.Cause
		}
		if w := why(t); w != "" {
			m["waits"] = w
		}
		steps[t.Step]["tasks"] = append(steps[t.Step]["tasks"].([]map[string]any), m)
	}
	state := jobNames[j.State]
	if j.DoneMs == 0 && j.State > jobComplete {
		state = map[int8]string{jobFailed: "failing", jobCancelled: "cancelling"}[j.State]
	}
	out := map[string]any{"id": j.ID, "queue": j.Queue, "state": state, "submitted_ms": j.SubmitMs, "due_ms": j.DueMs, "done_ms": j.DoneMs,
		"tasks": max(int(j.Size), len(j.Tasks))}
	if len(steps) > 0 {
		out["steps"] = steps
	}
	return out
}
