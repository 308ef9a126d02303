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

// zoneKey is the selector key for a worker's zone; operators call zones sites.
const zoneKey = "site"

// batchUrgencyOffset is subtracted from the urgency of batch queues. The others have 0 to 1000, so
// all batch queues are below them.
const batchUrgencyOffset = 2000

var queueSchema = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
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
	"batch":            batchSchema,
	"addresses": {Kind: schema.List, Max: 100, Elem: &schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
		"host":   {Kind: schema.String, Required: true, Min: 1, Max: 256},
		"prefix": {Kind: schema.String, Required: true, Min: 1, Max: 1024},
	}}},
}}

// Queue is one queue of a Configuration.
type Queue struct {
	Name          string
	Urgency       int64              // higher ones are scheduled first; negative for batch queues
	Quota         int64              // queueable tasks that one job may have outstanding
	TrustRunLimit bool               // its workers always end a run at the run limit, even while cut off
	Selector      []LabelRequirement // labels that a worker needs to run its tasks
	Admission     []Rule             // rules that a new job must pass, in order
	Addresses     []Address
	LatencyMs     int64       // declared latency target of a job; not used for scheduling
	Stretch       float64     // declared target for latency relative to execution time; not used for scheduling
	Batch         *BatchRules // nil if its jobs don't wait for cheap hours
	Open          bool        // callers need no key
}

// LabelRequirement is a label of a selector and its allowed values.
type LabelRequirement struct {
	Key    string
	Values []string
}

// Address is where callers reach a queue: all paths of a host that begin with a prefix.
type Address struct{ Host, Prefix string }

// addressKeyMark begins the key of an address. No queue name contains a slash.
const addressKeyMark = "//"

// Key returns the key under which work that was submitted at the address is stored. Operators may rename
// queues and reuse names, so a queue is only known by its name within one version; the address that a caller
// used stays the same.
//
// Example: Address{"shop.example", "/checks/"}.Key() == "//shop.example/checks/"
func (a Address) Key() string { return addressKeyMark + a.Host + a.Prefix }

// IsAddressKey reports whether a queue's key is that of an address, rather than a name.
//
// Example: IsAddressKey("//shop.example/checks/") // true
func IsAddressKey(key string) bool { return strings.HasPrefix(key, addressKeyMark) }

// Matches reports whether a worker's labels put it in the queue's group. The worker's zone counts
// as its label "site".
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

// LabelValue returns the value of a label; "" if there is none.
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

// MissingLabel returns the first required label that a worker lacks; false if it has all.
//
// Example: _, lacks := configuration.MissingLabel(worker.Labels, task.RequiredLabels)
func MissingLabel(labels, required []wire.Label) (wire.Label, bool) {
	for _, l := range required {
		if LabelValue(labels, l.Key) != l.Value {
			return l, true
		}
	}
	return wire.Label{}, false
}

// RuleOp is the operation of one admission rule.
type RuleOp string

// Operations of admission rules; N is the rule's number.
const (
	RuleNoGangs         RuleOp = "noGangs"         // rejects gangs and long-running tasks
	RuleDefaultLimit    RuleOp = "defaultLimit"    // sets a run limit of N ms if the job has none
	RuleDefaultFailures RuleOp = "defaultFailures" // allows N failures if the job doesn't specify a number
	RuleMaxTasks        RuleOp = "maxTasks"        // rejects a job of more than N tasks; 0 for no limit
	RuleMaxResources    RuleOp = "maxResources"    // rejects a task that requests more than N of CPU; 0 for no limit
	RuleMaxLimit        RuleOp = "maxLimit"        // rejects a run limit above N ms; 0 for no limit
	RuleAdmit           RuleOp = "admit"           // rejects a job if N jobs of the queue are live
)

// Rule is one admission rule for new jobs.
type Rule struct {
	Op RuleOp
	N  int64
}

// queueDocument holds a queue's fields as given in a document.
type queueDocument map[string]gjson.Result

func (c *compiler) addQueue(path string, doc queueDocument) {
	name := doc["name"].Str
	if c.config.Queues[name] != nil {
		c.addFault(path+".name", "stands twice")
		return
	}
	q := &Queue{
		Name:          name,
		Urgency:       doc["urgency"].Int(),
		Quota:         cmp.Or(doc["quota"].Int(), defaultQuota),
		TrustRunLimit: doc["trust_run_limit"].Bool(),
		Selector:      parseSelector(doc["selector"]),
		LatencyMs:     doc["latency_ms"].Int(),
		Stretch:       doc["stretch"].Num,
		Open:          doc["open"].Bool(),
	}
	q.Admission = c.compileAdmission(path, doc)
	c.addAddresses(path, q, doc)
	c.config.Queues[name] = q
	if batch := doc["batch"]; batch.Exists() {
		q.Batch = c.compileBatchRules(path+".batch", batch)
		q.Urgency -= batchUrgencyOffset
		q.Admission = slices.Insert(q.Admission, 0, Rule{RuleNoGangs, 1})
		return
	}
	c.config.LowestUrgency = min(c.config.LowestUrgency, q.Urgency)
	c.config.HighestUrgency = max(c.config.HighestUrgency, q.Urgency)
}

func parseSelector(doc gjson.Result) (out []LabelRequirement) {
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

func (c *compiler) compileAdmission(path string, doc queueDocument) []Rule {
	defaultRunLimit, maxRunLimit := doc["default_limit_ms"].Int(), doc["max_limit_ms"].Int()
	if defaultRunLimit > 0 && maxRunLimit > 0 && defaultRunLimit > maxRunLimit {
		c.addFault(path+".default_limit_ms", "is above max_limit_ms")
	}
	fallback := min(cmp.Or(maxRunLimit, defaultLimitMs), defaultLimitMs)
	return []Rule{
		{RuleDefaultLimit, cmp.Or(defaultRunLimit, fallback)},
		{RuleDefaultFailures, doc["default_failures"].Int()},
		{RuleMaxTasks, doc["max_tasks"].Int()},
		{RuleMaxResources, doc["max_room"].Int()},
		{RuleMaxLimit, maxRunLimit},
		{RuleAdmit, cmp.Or(doc["max_live_jobs"].Int(), MaxQueueJobs)},
	}
}

func (c *compiler) addAddresses(path string, q *Queue, doc queueDocument) {
	for i, a := range doc["addresses"].Array() {
		at := Address{strings.ToLower(a.Get("host").Str), a.Get("prefix").Str}
		if !c.addAddress(at, q) {
			c.addFault(fmt.Sprintf("%s.addresses.%d", path, i), "stands twice")
		}
		q.Addresses = append(q.Addresses, at)
	}
}
