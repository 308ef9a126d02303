// Package configuration is what operators declare: queues with their worker
// groups, addresses, priorities and batch rules, and the zones that are emptied.
//
// Compile checks a JSON document and turns it into a Configuration, which
// daemons look queues up in; it never changes after that. A Record is the value of
// the register that holds the newest version, with the History by which a change
// that is sent again is known. Everything here is a function of its arguments;
// which version is in force, and when it was confirmed, is not decided here.
package configuration

import (
	"crypto/sha256"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"

	"otterchute/internal/schema"

	"github.com/tidwall/gjson"
)

const (
	// MaxVersion bounds a version's number: it is exact as a number in JSON.
	MaxVersion = 1 << 50
	// MaxBytes bounds a document.
	MaxBytes = 16 << 20
	// MaxQueueJobs is how many live jobs one queue may have in a shard, unless the
	// configuration says less.
	MaxQueueJobs = 2000
	// MaxTasks bounds the tasks of a job.
	MaxTasks = 1000

	defaultQuota   = 100     // the paper's queueable tasks per job (section 4.1)
	defaultLimitMs = 600_000 // a run's limit where neither the job nor its queue has one

	msPerMinute = 60_000
	msPerHour   = 60 * msPerMinute
	maxLimitMs  = 30 * 24 * msPerHour
)

// DocumentSchema is the table that a document is checked by.
var DocumentSchema = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"note":        {Kind: schema.String, Max: 1000},
	"queues":      {Kind: schema.List, Required: true, Max: 20_000, Elem: &queueField},
	"contracts":   {Kind: schema.List, Max: 100, Elem: &contractFields},
	"empty_sites": {Kind: schema.List, Max: 100, Elem: &schema.Field{Kind: schema.Name}},
	"tenants":     {Kind: schema.List, Max: maxTenants, Elem: &tenantFields},
	"source":      {Kind: schema.Any},
}}

// Configuration is a compiled document. It is shared by many goroutines and never
// written to.
type Configuration struct {
	Version        int64
	Queues         map[string]*Queue
	EmptyZones     map[string]bool // by the document, and emptied beside it
	Contracts      map[string]*Contract
	LowestUrgency  int64 // urgency, of the queues that take no batches
	HighestUrgency int64
	Tenants        map[string]*Tenant // by name; nil where the document declares none

	digest  [sha256.Size]byte // of the document, where an operator sent it
	emptied []string          // of EmptyZones, what the document itself says
	hosts   map[string]*hostPrefixes

	tenantsByKey map[KeyDigest]*Tenant
}

// Empty returns the configuration before the first version: version 0, no queues.
//
// Example: current := configuration.Empty()
func Empty() *Configuration {
	return &Configuration{Queues: map[string]*Queue{}, EmptyZones: map[string]bool{}}
}

// hostPrefixes finds the longest of a host's prefixes with which a path begins:
// one look-up for each length there is.
type hostPrefixes struct {
	lengths []int // longest first
	queues  map[string]string
}

// Resolve returns the queue that an address belongs to and what follows its
// prefix. The host may carry a port.
func (c *Configuration) Resolve(host, path string) (queue, rest string, ok bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	h := c.hosts[strings.ToLower(host)]
	if h == nil {
		return "", "", false
	}
	for _, size := range h.lengths {
		if size > len(path) {
			continue
		}
		if queue, ok = h.queues[path[:size]]; ok {
			return queue, strings.TrimPrefix(path[size:], "/"), true
		}
	}
	return "", "", false
}

// WithEmptiedZones returns the configuration with the zones that were emptied beside
// the document.
func (c *Configuration) WithEmptiedZones(zones []string) *Configuration {
	next := *c
	next.EmptyZones = map[string]bool{}
	for _, zone := range append(slices.Clone(c.emptied), zones...) {
		next.EmptyZones[zone] = true
	}
	return &next
}

// Urgency ranks a queue; one that is no longer configured comes last.
func (c *Configuration) Urgency(queue string) int64 {
	if q := c.Queues[queue]; q != nil {
		return q.Urgency
	}
	return -1
}

// Digest is the SHA-256 of the document as an operator sent it; zero where it was
// compiled from a Record.
func (c *Configuration) Digest() [sha256.Size]byte { return c.digest }

// Compile checks a document and compiles it as a version. Of a document with
// faults it returns all of them and no Configuration.
//
// Example: c, faults := configuration.Compile(3, []byte(`{"queues":[{"name":"checks","urgency":5}]}`))
func Compile(version int64, doc []byte) (*Configuration, []schema.Fault) {
	if len(doc) > MaxBytes {
		return nil, []schema.Fault{{Path: "", Reason: "is larger than 16 MiB"}}
	}
	if faults := schema.Check(doc, DocumentSchema); len(faults) > 0 {
		return nil, faults
	}
	root := gjson.ParseBytes(doc)
	c := compiler{config: &Configuration{Version: version, Queues: map[string]*Queue{}, EmptyZones: map[string]bool{},
		LowestUrgency: 1 << 40, hosts: map[string]*hostPrefixes{}, Contracts: map[string]*Contract{}}}
	for i, contract := range root.Get("contracts").Array() {
		c.addContract("contracts."+strconv.Itoa(i), contract)
	}
	for i, queue := range root.Get("queues").Array() {
		c.addQueue("queues."+strconv.Itoa(i), queue.Map()) // one pass over its fields: there are thousands
	}
	if tenants := root.Get("tenants"); tenants.Exists() {
		c.addTenants("tenants", tenants.Array())
	}
	for _, zone := range root.Get("empty_sites").Array() {
		c.config.EmptyZones[zone.Str] = true
	}
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	c.config.emptied = slices.Sorted(maps.Keys(c.config.EmptyZones))
	for _, h := range c.config.hosts {
		h.sortLengths()
	}
	return c.config, nil
}

// Parse is Compile for a version as an operator writes it.
//
// Example: c, faults := configuration.Parse("3", body)
func Parse(key string, doc []byte) (*Configuration, []schema.Fault) {
	version, faults := ParseVersion(key)
	if len(faults) > 0 {
		return nil, faults
	}
	c, faults := Compile(version, doc)
	if c != nil {
		c.digest = sha256.Sum256(doc)
	}
	return c, faults
}

// ParseVersion reads a version's number.
//
// Example: version, faults := configuration.ParseVersion("3")
func ParseVersion(key string) (int64, []schema.Fault) {
	version, err := strconv.ParseInt(key, 10, 64)
	if err != nil || version < 1 || version > MaxVersion {
		return 0, []schema.Fault{{Path: "version", Reason: "must be a whole number of 1 or more"}}
	}
	return version, nil
}

// compiler gathers what one document compiles to, and its faults.
type compiler struct {
	config *Configuration
	faults []schema.Fault
}

func (c *compiler) fault(path, reason string) {
	c.faults = append(c.faults, schema.Fault{Path: path, Reason: reason})
}

// addAddress tells whether an address is the first of its kind.
func (c *compiler) addAddress(a Address, queue string) bool {
	h := c.config.hosts[a.Host]
	if h == nil {
		h = &hostPrefixes{queues: map[string]string{}}
		c.config.hosts[a.Host] = h
	}
	if _, twice := h.queues[a.Prefix]; twice {
		return false
	}
	h.queues[a.Prefix] = queue
	return true
}

func (h *hostPrefixes) sortLengths() {
	seen := map[int]bool{}
	for prefix := range h.queues {
		seen[len(prefix)] = true
	}
	h.lengths = slices.Sorted(maps.Keys(seen))
	slices.Reverse(h.lengths)
}
