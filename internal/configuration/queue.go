package configuration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"otterchute/internal/schema"
	"otterchute/internal/wire"

	"github.com/tidwall/gjson"
)

// zoneKey is the selector key that stands for a worker's zone, in the operators' words.
const zoneKey = "site"

// batchUrgencyOffset is how far the urgency of batch queues lies below that of all
// others, which have 0 to 1000.
const batchUrgencyOffset = 2000

var queueField = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"name":             {Kind: schema.Name, Required: true},
	"selector":         {Kind: schema.Choices},
	"urgency":          {Kind: schema.Integer, Min: 0, Max: 1000},
	"max_live_jobs":    {Kind: schema.Integer, Min: 1, Max: MaxQueueJobs},
	"max_tasks":        {Kind: schema.Integer, Min: 1, Max: MaxTasks},
	"max_room":         {Kind: schema.Integer, Min: 1, Max: 1 << 40},
	"max_limit_ms":     {Kind: schema.Integer, Min: 1, Max: maxLimitMs},
	"default_limit_ms": {Kind: schema.Integer, Min: 1, Max: maxLimitMs},
	"default_failures": {Kind: schema.Integer, Min: 0, Max: 100},
	"quota":            {Kind: schema.Integer, Min: 1, Max: MaxTasks},
	"trust_run_limit":  {Kind: schema.Bool},
	"latency_ms":       {Kind: schema.Integer, Min: 0, Max: 1 << 40},
	"stretch":          {Kind: schema.Number},
	"open":             {Kind: schema.Bool},
	"batch":            batchFields,
	"addresses": {Kind: schema.List, Max: 100, Elem: &schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
		"host":   {Kind: schema.String, Required: true, Min: 1, Max: 256},
		"prefix": {Kind: schema.String, Required: true, Min: 1, Max: 1024},
	}}},
}}

// Queue is one queue of a Configuration.
type Queue struct {
	Name          string
	Urgency       int64              // higher goes first; of batch queues below 0
	Quota         int64              // queueable tasks that one job may have outstanding
	TrustRunLimit bool               // its workers surely end each run at its limit, even cut off
	Selector      []LabelRequirement // its worker group
	Admission     []Rule             // what a new job is put through, in order
	Addresses     []Address
	LatencyMs     int64       // the target for a job's time
	Stretch       float64     // the target for a job's time against its work alone
	Batch         *BatchRules // nil where its jobs don't wait for cheap hours
	Open          bool        // callers need no key
}

// LabelRequirement is one label of a selector and the values that it may have.
type LabelRequirement struct {
	Key    string
	Values []string
}

// Address is where callers reach a queue: all paths of a host that begin with a prefix.
type Address struct{ Host, Prefix string }

// Matches tells whether a worker's labels put it in the queue's group. The worker's
// zone counts as its label "site".
func (q *Queue) Matches(labels []wire.Label, zone string) bool {
	for _, c := range q.Selector {
		value := zone
		if c.Key != zoneKey {
			value = LabelValue(labels, c.Key)
		}
		if value == "" || !slices.Contains(c.Values, value) {
			return false
		}
	}
	return true
}

// LabelValue returns the value of a label; "" where there is none.
//
// Example: rack := configuration.LabelValue(labels, "rack")
func LabelValue(labels []wire.Label, key string) string {
	for _, l := range labels {
		if l.Key == key {
			return l.Value
		}
	}
	return ""
}

// MissingLabel returns the first needed label that a worker lacks; false where it
// has them all.
//
// Example: _, lacks := configuration.MissingLabel(worker.Labels, task.Needs)
func MissingLabel(have, needs []wire.Label) (wire.Label, bool) {
	for _, l := range needs {
		if LabelValue(have, l.Key) != l.Value {
			return l, true
		}
	}
	return wire.Label{}, false
}

// RuleOp names one step of the admission of a job.
type RuleOp string

// Steps of the admission; N is a Rule's number.
const (
	RuleNoGangs         RuleOp = "noGangs"         // rejects gangs and lasting tasks
	RuleDefaultLimit    RuleOp = "defaultLimit"    // sets a run limit of N ms where the job has none
	RuleDefaultFailures RuleOp = "defaultFailures" // allows N failures where the job doesn't say
	RuleMaxTasks        RuleOp = "maxTasks"        // rejects more than N tasks, 0 for any
	RuleMaxResources    RuleOp = "maxResources"    // rejects a task with more than N processor, 0 for any
	RuleMaxLimit        RuleOp = "maxLimit"        // rejects a run limit above N ms, 0 for any
	RuleAdmit           RuleOp = "admit"           // rejects where N jobs of the queue are live
)

// Rule is one step of the program that a new job is put through.
type Rule struct {
	Op RuleOp
	N  int64
}

// queueDocument is a queue's fields as a document gives them.
type queueDocument map[string]gjson.Result

func (c *compiler) addQueue(path string, doc queueDocument) {
	name := doc["name"].Str
	if c.config.Queues[name] != nil {
		c.fault(path+".name", "stands twice")
		return
	}
	q := &Queue{
		Name:          name,
		Urgency:       doc["urgency"].Int(),
		Quota:         cmp.Or(doc["quota"].Int(), defaultQuota),
		TrustRunLimit: doc["trust_run_limit"].Bool(),
		Selector:      selectorOf(doc["selector"]),
		LatencyMs:     doc["latency_ms"].Int(),
		Stretch:       doc["stretch"].Num,
		Open:          doc["open"].Bool(),
	}
	q.Admission = c.admissionOf(path, doc)
	c.addAddresses(path, q, doc)
	c.config.Queues[name] = q
	if batch := doc["batch"]; batch.Exists() {
		q.Batch = c.batchOf(path+".batch", batch)
		q.Urgency -= batchUrgencyOffset
		q.Admission = slices.Insert(q.Admission, 0, Rule{RuleNoGangs, 1})
		return
	}
	c.config.LowestUrgency = min(c.config.LowestUrgency, q.Urgency)
	c.config.HighestUrgency = max(c.config.HighestUrgency, q.Urgency)
}

func selectorOf(doc gjson.Result) (out []LabelRequirement) {
	labels := doc.Map()
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		choice := LabelRequirement{Key: key}
		for _, value := range labels[key].Array() {
			choice.Values = append(choice.Values, value.Str)
		}
		out = append(out, choice)
	}
	return out
}

func (c *compiler) admissionOf(path string, doc queueDocument) []Rule {
	limit, most := doc["default_limit_ms"].Int(), doc["max_limit_ms"].Int()
	if limit > 0 && most > 0 && limit > most {
		c.fault(path+".default_limit_ms", "is above max_limit_ms")
	}
	usual := min(cmp.Or(most, defaultLimitMs), defaultLimitMs)
	return []Rule{
		{RuleDefaultLimit, cmp.Or(limit, usual)},
		{RuleDefaultFailures, doc["default_failures"].Int()},
		{RuleMaxTasks, doc["max_tasks"].Int()},
		{RuleMaxResources, doc["max_room"].Int()},
		{RuleMaxLimit, most},
		{RuleAdmit, cmp.Or(doc["max_live_jobs"].Int(), MaxQueueJobs)},
	}
}

func (c *compiler) addAddresses(path string, q *Queue, doc queueDocument) {
	for i, a := range doc["addresses"].Array() {
		at := Address{strings.ToLower(a.Get("host").Str), a.Get("prefix").Str}
		if !c.addAddress(at, q.Name) {
			c.fault(fmt.Sprintf("%s.addresses.%d", path, i), "stands twice")
		}
		q.Addresses = append(q.Addresses, at)
	}
}
