package daemon

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"otterchute/internal/configuration"
	"otterchute/internal/resource"
	"otterchute/internal/schema"

	"github.com/tidwall/gjson"
)

// jobFields is the schema of a job's request body.
var jobFields = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"queue":     {Kind: schema.Name},
	"payload":   {Kind: schema.Any},
	"rounds":    {Kind: schema.Integer, Max: 100_000},
	"first_ms":  {Kind: schema.Integer, Min: 0},
	"period_ms": {Kind: schema.Integer, Min: 0, Max: 365 * 24 * msPerHour},
	"due_ms":    {Kind: schema.Integer, Min: 0},
	"delay_ms":  {Kind: schema.Integer, Min: 0, Max: 365 * 24 * msPerHour},
	"steps": {
		Kind:     schema.List,
		Required: true,
		Min:      1,
		Max:      stepsMax,
		Elem: &schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
			"name":  {Kind: schema.Name, Required: true},
			"after": {Kind: schema.List, Max: stepsMax, Elem: &schema.Field{Kind: schema.Name}},
			"count": {
				Kind: schema.Integer,
				Min:  1,
				Max:  configuration.MaxTasks,
			},
			"room":   {Kind: schema.Resources},
			"labels": {Kind: schema.Labels},
			"limit_ms": {
				Kind: schema.Integer,
				Min:  1,
				Max:  30 * 24 * msPerHour,
			},
			"estimate_ms": {Kind: schema.Integer, Min: 0, Max: 30 * 24 * msPerHour},
			"allowed_failures": {
				Kind: schema.Integer,
				Min:  0,
				Max:  100,
			},
			"gang":      {Kind: schema.Bool},
			"same_rack": {Kind: schema.Bool},
			"near":      {Kind: schema.String, Max: 200},
			"per_worker": {
				Kind: schema.Integer,
				Min:  0,
				Max:  configuration.MaxTasks,
			},
			"copies":  {Kind: schema.Bool},
			"lasting": {Kind: schema.Bool},
			"saves":   {Kind: schema.Bool},
			"tasks": {
				Kind: schema.List,
				Min:  1,
				Max:  configuration.MaxTasks,
				Elem: &schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
					"name":             {Kind: schema.Name, Required: true},
					"payload":          {Kind: schema.Any},
					"room":             {Kind: schema.Resources, Required: true},
					"labels":           {Kind: schema.Labels},
					"limit_ms":         {Kind: schema.Integer, Min: 1, Max: 30 * 24 * msPerHour},
					"estimate_ms":      {Kind: schema.Integer, Min: 0, Max: 30 * 24 * msPerHour},
					"allowed_failures": {Kind: schema.Integer, Min: 0, Max: 100},
				}},
			},
		}},
	},
}}

// parseJob checks the request body of a job and returns the job, or all faults by path. The argument queue is the queue
// at the address of the request; if it is empty, the queue is taken from the body.
//
// Example: j, faults := parseJob("order-7", "checks", body)
func parseJob(id, queue string, body []byte) (*jobRecord, []schema.Fault) {
	if !schema.ValidName(id) {
		return nil, []schema.Fault{{Path: "id", Reason: "must be a name: 1 to 128 letters, digits, '-', '_', '.' or ':'"}}
	}
	if len(body) > bodyMaxBytes {
		return nil, []schema.Fault{{Path: "", Reason: "is larger than 1 MiB"}}
	}
	if f := schema.Check(body, jobFields); len(f) > 0 {
		return nil, f
	}
	root := gjson.ParseBytes(body)
	p := &jobParser{index: map[string]int32{}, job: &jobRecord{
		ID: id, Queue: firstNonEmpty(queue, root.Get("queue").Str), Digest: bodyDigest(body),
		DueMs: root.Get("due_ms").Int(), DelayMs: root.Get("delay_ms").Int(),
		Payload: []byte(root.Get("payload").Raw), Rounds: int32(root.Get("rounds").Int()),
		FirstMs: root.Get("first_ms").Int(), PeriodMs: root.Get("period_ms").Int(),
	}}
	if p.job.Queue == "" {
		p.fault("queue", "is missing")
	}
	if root.Get("due_ms").Exists() && root.Get("delay_ms").Exists() {
		p.fault("delay_ms", "can't stand beside due_ms")
	}
	p.parseSteps(root.Get("steps").Array())
	p.openFirstRound()
	p.checkSteps()
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return p.job, nil
}

// bodyDigest returns a digest of the body without insignificant whitespace. Half of a SHA-256 is enough to distinguish
// the bodies of one job id.
func bodyDigest(body []byte) []byte {
	var compact bytes.Buffer
	_ = json.Compact(&compact, body)
	sum := sha256.Sum256(compact.Bytes())
	return sum[:16]
}

// jobParser fills a job from its request body and collects the faults.
type jobParser struct {
	job    *jobRecord
	index  map[string]int32 // indexes of the steps by name
	faults []schema.Fault
}

func (p *jobParser) fault(path, reason string) {
	p.faults = append(p.faults, schema.Fault{Path: path, Reason: reason})
}

// parseSteps reads all steps and checks that their names are unique.
func (p *jobParser) parseSteps(steps []gjson.Result) {
	for i, s := range steps {
		name := s.Get("name").Str
		if _, ok := p.index[name]; ok {
			p.fault(fmt.Sprintf("steps.%d.name", i), "stands twice")
		}
		p.index[name] = int32(i)
	}
	for i, s := range steps {
		p.parseStep(i, s)
	}
}

// parseStep reads one step and its tasks.
func (p *jobParser) parseStep(i int, body gjson.Result) {
	step := jobStep{Name: body.Get("name").Str}
	for k, dependency := range body.Get("after").Array() {
		at, ok := p.index[dependency.Str]
		if !ok {
			p.fault(fmt.Sprintf("steps.%d.after.%d", i, k), "names no step")
			continue
		}
		step.After = append(step.After, at)
	}
	tasks, count := body.Get("tasks"), body.Get("count")
	if tasks.Exists() == count.Exists() {
		p.fault(fmt.Sprintf("steps.%d", i), "has either tasks or a count")
		return
	}
	step.Size = int32(len(tasks.Array()))
	if count.Exists() {
		step.parseUniform(body)
	}
	p.job.Steps = append(p.job.Steps, step)
	p.parseTasks(i, tasks.Array())
}

// parseTasks reads the tasks of a step that lists them.
func (p *jobParser) parseTasks(step int, tasks []gjson.Result) {
	names := map[string]bool{}
	for k, t := range tasks {
		name := t.Get("name").Str
		if names[name] {
			p.fault(fmt.Sprintf("steps.%d.tasks.%d.name", step, k), "stands twice in its step")
		}
		names[name] = true
		allowed := int32(-1)
		if a := t.Get("allowed_failures"); a.Exists() {
			allowed = int32(a.Int())
		}
		p.job.Tasks = append(p.job.Tasks, task{
			Step: int32(step), IndexInStep: int32(k), Name: name, Resources: resource.Parse(t.Get("room")),
			RequiredLabels: labelsOf(t.Get("labels")), LimitMs: t.Get("limit_ms").Int(),
			EstimateHintMs: t.Get("estimate_ms").Int(), AllowedFailures: allowed, Payload: []byte(t.Get("payload").Raw),
		})
	}
}

// openFirstRound opens the only round of a job that is not periodic. It also checks that either all steps list their
// tasks or all have a count.
func (p *jobParser) openFirstRound() {
	j := p.job
	if !j.hasUniformStep() {
		j.RoundsOpened = 1
		if j.Rounds > 0 {
			p.fault("rounds", "needs steps with a count")
		}
		return
	}
	if len(j.Tasks) > 0 {
		p.fault("steps", "have tasks in some and counts in others")
	}
	j.Tasks = nil
	if j.Rounds == 0 && len(p.faults) == 0 && j.roundSize() <= configuration.MaxTasks {
		j.openRound()
	}
}

// checkSteps checks the number of tasks, and that no step depends on itself.
func (p *jobParser) checkSteps() {
	if len(p.job.Tasks) > configuration.MaxTasks || p.job.roundSize() > configuration.MaxTasks {
		p.fault("steps", fmt.Sprintf("have more than %d tasks together", configuration.MaxTasks))
	}
	if step, ok := findCycle(p.job.Steps); ok {
		p.fault(fmt.Sprintf("steps.%d.after", step), "waits in a circle")
	}
}

// parseUniform reads the specification of a uniform step, which all its tasks share.
func (step *jobStep) parseUniform(body gjson.Result) {
	step.Uniform, step.Size, step.Resources, step.RequiredLabels =
		true, int32(body.Get("count").Int()), resource.Parse(body.Get("room")), labelsOf(body.Get("labels"))
	step.LimitMs, step.EstimateHintMs, step.AllowedFailures = body.Get("limit_ms").Int(), body.Get("estimate_ms").Int(), -1
	if a := body.Get("allowed_failures"); a.Exists() {
		step.AllowedFailures = int32(a.Int())
	}
	step.Gang, step.SameRack, step.DataRack, step.MaxPerWorker =
		body.Get("gang").Bool() && step.Size > 1, body.Get("same_rack").Bool(), body.Get("near").Str,
		int32(body.Get("per_worker").Int())
	step.AllowsDuplicates, step.LongRunning, step.Checkpointing =
		body.Get("copies").Bool(), body.Get("lasting").Bool(), body.Get("saves").Bool()
}

// findCycle returns the index of a step that depends on itself, directly or through others, and whether there is one.
func findCycle(steps []jobStep) (int, bool) {
	state := make([]int8, len(steps)) // 0 not visited, 1 being visited, 2 done
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
