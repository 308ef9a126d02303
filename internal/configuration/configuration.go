// Package configuration compiles what operators declare: queues with their worker groups,
// addresses, priorities and batch rules, and the zones to be emptied.
//
// Compile checks a JSON document and turns it into an immutable Configuration, which daemons use to
// look up queues. A Record is the value of the register that holds the newest version; its History
// identifies changes that are sent again. Everything here depends only on its arguments: which
// version is in force, and when it was confirmed, is not decided here.
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
	// MaxVersion bounds version numbers, which must be exact as numbers in JSON.
	MaxVersion = 1 << 50
	// MaxBytes bounds the size of a document.
	MaxBytes = 16 << 20
	// MaxQueueJobs is how many live jobs a queue may have in a shard, unless the configuration sets
	// a lower limit.
	MaxQueueJobs = 2000
	// MaxTasks bounds the tasks of a job.
	MaxTasks = 1000

	defaultQuota   = 100     // queueable tasks per job, as in section 4.1 of the paper
	defaultLimitMs = 600_000 // run limit if neither the job nor its queue sets one

	msPerMinute = 60_000
	msPerHour   = 60 * msPerMinute
	maxLimitMs  = 30 * 24 * msPerHour
)

// DocumentSchema is the schema of a configuration document.
var DocumentSchema = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"note":        {Kind: schema.String, Max: 1000},
	"queues":      {Kind: schema.List, Required: true, Max: 20_000, Elem: &queueSchema},
	"contracts":   {Kind: schema.List, Max: 100, Elem: &contractSchema},
	"empty_sites": {Kind: schema.List, Max: 100, Elem: &schema.Field{Kind: schema.Name}},
	"tenants":     {Kind: schema.List, Max: maxTenants, Elem: &tenantSchema},
	"source":      {Kind: schema.Any},
}}

// Configuration is a compiled document. It is shared by many goroutines and never modified.
type Configuration struct {
	Version        int64
	Queues         map[string]*Queue
	EmptyZones     map[string]bool // declared in the document, or emptied separately
	Contracts      map[string]*Contract
	LowestUrgency  int64 // of the queues without batch rules
	HighestUrgency int64
	Tenants        map[string]*Tenant // by name; nil if the document declares none

	digest             [sha256.Size]byte // of the document; zero if it was compiled from a Record
	declaredEmptyZones []string          // those of EmptyZones that the document declares
	prefixesByHost     map[string]*hostPrefixes
	queuesByAddress    map[string]*Queue // by Address.Key
	retired            map[string]*Queue // queues that earlier changes removed, by Address.Key

	tenantsByKey map[KeyDigest]*Tenant
}

// Empty returns the configuration before the first version: version 0, no queues.
//
// Example: current := configuration.Empty()
func Empty() *Configuration {
	return &Configuration{Queues: map[string]*Queue{}, EmptyZones: map[string]bool{}}
}

// hostPrefixes holds the address prefixes of one host. The longest one that a path begins with is
// found with one lookup for each distinct length.
type hostPrefixes struct {
	lengths []int             // longest first
	keys    map[string]string // the Address.Key of each prefix
}

// Resolve returns the key of the address that a path belongs to, for Queue, and the part of the path
// after its prefix. The host may include a port.
func (c *Configuration) Resolve(host, path string) (queueKey, rest string, ok bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	h := c.prefixesByHost[strings.ToLower(host)]
	if h == nil {
		return "", "", false
	}
	for _, size := range h.lengths {
		if size > len(path) {
			continue
		}
		if queueKey, ok = h.keys[path[:size]]; ok {
			return queueKey, strings.TrimPrefix(path[size:], "/"), true
		}
	}
	return "", "", false
}

// Queue returns the queue by whose rules the accepted jobs of a key run: its declared queue or, if a change has
// removed that, the queue as it was declared last. It returns nil if neither is known.
func (c *Configuration) Queue(key string) *Queue {
	if queue := c.DeclaredQueue(key); queue != nil {
		return queue
	}
	return c.retired[key]
}

// DeclaredQueue returns the queue of a key: the queue with this name, or the one that this version declares at the
// address with this Address.Key. It returns nil if there is none. A prefix with and without a slash at
// its end reaches the same paths, so one stands for the other unless both are configured.
func (c *Configuration) DeclaredQueue(key string) *Queue {
	if !IsAddressKey(key) {
		return c.Queues[key]
	}
	if queue := c.queuesByAddress[key]; queue != nil {
		return queue
	}
	if withoutSlash, found := strings.CutSuffix(key, "/"); found {
		return c.queuesByAddress[withoutSlash]
	}
	return c.queuesByAddress[key+"/"]
}

// SameQueue reports whether two keys are equal or belong to the same queue of this version.
func (c *Configuration) SameQueue(key, other string) bool {
	if key == other {
		return true
	}
	queue := c.Queue(key)
	return queue != nil && queue == c.Queue(other)
}

// QueueName returns the name that the queue of a key has in this version, or the key itself if there is no such queue.
func (c *Configuration) QueueName(key string) string {
	if queue := c.Queue(key); queue != nil {
		return queue.Name
	}
	return key
}

// WithEmptiedZones returns the configuration with additional zones that were emptied separately
// from the document.
func (c *Configuration) WithEmptiedZones(zones []string) *Configuration {
	next := *c
	next.EmptyZones = map[string]bool{}
	for _, zone := range append(slices.Clone(c.declaredEmptyZones), zones...) {
		next.EmptyZones[zone] = true
	}
	return &next
}

// Urgency returns the urgency of a key's queue; a queue that is no longer configured comes last.
func (c *Configuration) Urgency(queueKey string) int64 {
	if q := c.Queue(queueKey); q != nil {
		return q.Urgency
	}
	return -1
}

// Digest returns the SHA-256 of the document as an operator sent it; zero if it was compiled from a
// Record.
func (c *Configuration) Digest() [sha256.Size]byte { return c.digest }

// Compile checks a document and compiles it as a version. If the document has faults, Compile
// returns all of them and no Configuration.
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
		LowestUrgency: 1 << 40, prefixesByHost: map[string]*hostPrefixes{}, queuesByAddress: map[string]*Queue{},
		Contracts: map[string]*Contract{}}}
	for i, contract := range root.Get("contracts").Array() {
		c.addContract("contracts."+strconv.Itoa(i), contract)
	}
	for i, queue := range root.Get("queues").Array() {
		c.addQueue("queues."+strconv.Itoa(i), queue.Map()) // one pass over the fields: there are thousands of queues
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
	c.config.declaredEmptyZones = slices.Sorted(maps.Keys(c.config.EmptyZones))
	for _, h := range c.config.prefixesByHost {
		h.sortLengths()
	}
	return c.config, nil
}

// Parse is Compile for a version in text form, as operators send it.
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

// ParseVersion parses a version number.
//
// Example: version, faults := configuration.ParseVersion("3")
func ParseVersion(key string) (int64, []schema.Fault) {
	version, err := strconv.ParseInt(key, 10, 64)
	if err != nil || version < 1 || version > MaxVersion {
		return 0, []schema.Fault{{Path: "version", Reason: "must be a whole number of 1 or more"}}
	}
	return version, nil
}

// compiler collects the compiled parts and the faults of one document.
type compiler struct {
	config *Configuration
	faults []schema.Fault
}

func (c *compiler) addFault(path, reason string) {
	c.faults = append(c.faults, schema.Fault{Path: path, Reason: reason})
}

// addAddress adds an address of a queue, and reports whether it is the first with its host and
// prefix.
func (c *compiler) addAddress(a Address, queue *Queue) bool {
	h := c.config.prefixesByHost[a.Host]
	if h == nil {
		h = &hostPrefixes{keys: map[string]string{}}
		c.config.prefixesByHost[a.Host] = h
	}
	if _, twice := h.keys[a.Prefix]; twice {
		return false
	}
	key := a.Key()
	h.keys[a.Prefix] = key
	c.config.queuesByAddress[key] = queue
	return true
}

func (h *hostPrefixes) sortLengths() {
	seen := map[int]bool{}
	for prefix := range h.keys {
		seen[len(prefix)] = true
	}
	h.lengths = slices.Sorted(maps.Keys(seen))
	slices.Reverse(h.lengths)
}
