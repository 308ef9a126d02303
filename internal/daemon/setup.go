package daemon

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"otterchute/internal/codec"
	"otterchute/internal/register"
	"otterchute/internal/wire"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/tidwall/gjson"
)

// configFields is the table a setup is checked by.
var configFields = fieldSchema{Kind: "object", Fields: map[string]fieldSchema{
	"note": {Kind: "text", Max: 1000},
	"queues": {Kind: "list", Required: true, Max: 20_000, Elem: &fieldSchema{Kind: "object", Fields: map[string]fieldSchema{
		"name":             {Kind: "name", Required: true},
		"selector":         {Kind: "choices"},
		"urgency":          {Kind: "count", Min: 0, Max: 1000},
		"max_live_jobs":    {Kind: "count", Min: 1, Max: queueJobsMax},
		"max_tasks":        {Kind: "count", Min: 1, Max: tasksMax},
		"max_room":         {Kind: "count", Min: 1, Max: 1 << 40},
		"max_limit_ms":     {Kind: "count", Min: 1, Max: 30 * 24 * msPerHour},
		"default_limit_ms": {Kind: "count", Min: 1, Max: 30 * 24 * msPerHour},
		"default_failures": {Kind: "count", Min: 0, Max: 100},
		"quota":            {Kind: "count", Min: 1, Max: tasksMax},
		"trust_run_limit":  {Kind: "flag"},
		"latency_ms":       {Kind: "count", Min: 0, Max: 1 << 40},
		"stretch":          {Kind: "number"},
		"batch":            batchFields,
		"addresses": {Kind: "list", Max: 100, Elem: &fieldSchema{Kind: "object", Fields: map[string]fieldSchema{
			"host":   {Kind: "text", Required: true, Min: 1, Max: 256},
			"prefix": {Kind: "text", Required: true, Min: 1, Max: 1024},
		}}},
	}}},
	"contracts":   {Kind: "list", Max: 100, Elem: &contractFields},
	"empty_sites": {Kind: "list", Max: 100, Elem: &fieldSchema{Kind: "name"}},
	"source":      {Kind: "any"},
}}

// configRecord is the value of the register "setup".
type configRecord struct {
	Version  int64
	Doc      []byte // deflated
	Past     []configVersion
	Emptied  []string // sites emptied by an operator's word beside the document, in order
	Accepted changeHistory
}

type configVersion struct {
	Version int64
	Digest  uint64
	Queues  int64
	Bytes   int64
	AtMs    int64
}

// rule is one step of the program that an ask for a job goes through.
type rule struct {
	Op string
	N  int64
}

type queueRules struct {
	Name    string
	Urgency int64
	Quota   int64
	// TrustLimit: its workers surely end each run at its limit, even cut off.
	TrustLimit bool
	Selector   []choice
	Rules      []rule
	Addresses  []address
	LatencyMs  int64   // the target for a job's time
	Stretch    float64 // the target for a job's time against its work alone
	Batch      *batchRules
}

// address is where callers reach a queue: all paths of a host that begin so.
type address struct{ Host, Prefix string }

type choice struct {
	Key    string
	Values []string
}

// configuration is a setup turned into what the daemons run on.
type configuration struct {
	Version    int64
	Queues     map[string]*queueRules
	EmptyZones map[string]bool
	Lowest     int64 // urgency, of the queues that are no batches
	Highest    int64

	Contracts map[string]*contract

	digest  [sha256.Size]byte // of the document, where an operator sent it
	emptied []string          // of Empty, what the document itself says
	hosts   map[string]*hostPrefixes
}

// hostPrefixes finds the longest of a host's prefixes with which a path
// begins: one look for each length there is.
type hostPrefixes struct {
	lengths []int // longest first
	queues  map[string]string
}

// resolve gives the queue that an address belongs to and what follows its prefix.
func (c *configuration) resolve(host, path string) (queue, rest string, ok bool) {
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

// withEmptied gives the setup with the sites that were emptied beside it.
func (c *configuration) withEmptied(sites []string) *configuration {
	next := *c
	next.EmptyZones = map[string]bool{}
	for _, s := range append(slices.Clone(c.emptied), sites...) {
		next.EmptyZones[s] = true
	}
	return &next
}

// urgencyOf ranks a queue; one that is no longer in the setup comes last.
func (c *configuration) urgencyOf(queue string) int64 {
	if q := c.Queues[queue]; q != nil {
		return q.Urgency
	}
	return -1
}

type configState struct {
	current     *configuration
	record      configRecord
	ballot      register.Ballot
	confirmedMs int64
	confirmedBy uint64 // the newest poll that confirmed it
	askedMs     int64
	repairMs    int64
	readerCopy  readerCopy
	awaiting    []*request // asks that name a queue not known here, until a newer confirmation
}

func newConfigState() configState {
	return configState{current: &configuration{Queues: map[string]*queueRules{}, EmptyZones: map[string]bool{}}, confirmedMs: -1 << 40}
}

// compileConfig checks a setup and turns it into rules.
//
// Example: c, faults := compileConfig(3, []byte(`{"queues":[{"name":"checks","urgency":5}]}`))
func compileConfig(version int64, doc []byte) (*configuration, []fault) {
	if len(doc) > configBytesMax {
		return nil, []fault{{"", "is larger than 16 MiB"}}
	}
	if f := checkDocument(doc, configFields); len(f) > 0 {
		return nil, f
	}
	var faults []fault
	root := gjson.ParseBytes(doc)
	c := &configuration{Version: version, Queues: map[string]*queueRules{}, EmptyZones: map[string]bool{}, Lowest: 1 << 40, hosts: map[string]*hostPrefixes{},
		Contracts: map[string]*contract{}}
	for i, doc := range root.Get("contracts").Array() {
		k, bad := compileContract(fmt.Sprintf("contracts.%d", i), doc)
		if faults = append(faults, bad...); len(bad) > 0 {
			k = &contract{Name: doc.Get("name").Str} // its queues are checked all the same
		}
		if c.Contracts[k.Name] != nil {
			faults = append(faults, fault{fmt.Sprintf("contracts.%d.name", i), "stands twice"})
		}
		c.Contracts[k.Name] = k
	}
	for i, doc := range root.Get("queues").Array() {
		q := queueFields(doc.Map()) // one pass: there are thousands
		name := q.Get("name").Str
		if c.Queues[name] != nil {
			faults = append(faults, fault{fmt.Sprintf("queues.%d.name", i), "stands twice"})
			continue
		}
		r := &queueRules{Name: name, Urgency: q.Get("urgency").Int(), Quota: orElse(q.Get("quota").Int(), quotaTasks), TrustLimit: q.Get("trust_run_limit").Bool()}
		sel := q.Get("selector").Map()
		for _, k := range sorted(sel) {
			ch := choice{Key: k}
			for _, v := range sel[k].Array() {
				ch.Values = append(ch.Values, v.Str)
			}
			r.Selector = append(r.Selector, ch)
		}
		limit, most := q.Get("default_limit_ms").Int(), q.Get("max_limit_ms").Int()
		if limit > 0 && most > 0 && limit > most {
			faults = append(faults, fault{fmt.Sprintf("queues.%d.default_limit_ms", i), "is above max_limit_ms"})
		}
		r.Rules = []rule{
			{"defaultLimit", orElse(limit, min(orElse(most, 600_000), 600_000))},
			{"defaultFailures", q.Get("default_failures").Int()},
			{"mostTasks", q.Get("max_tasks").Int()},
			{"mostRoom", q.Get("max_room").Int()},
			{"mostLimit", most},
			{"grantEntry", orElse(q.Get("max_live_jobs").Int(), queueJobsMax)},
		}
		r.LatencyMs, r.Stretch = q.Get("latency_ms").Int(), q.Get("stretch").Num
		for k, a := range q.Get("addresses").Array() {
			at := address{strings.ToLower(a.Get("host").Str), a.Get("prefix").Str}
			if !c.addAddress(at, name) {
				faults = append(faults, fault{fmt.Sprintf("queues.%d.addresses.%d", i, k), "stands twice"})
			}
			r.Addresses = append(r.Addresses, at)
		}
		c.Queues[name] = r
		if b := q.Get("batch"); b.Exists() {
			var bad []fault
			r.Batch, bad = c.compileBatch(fmt.Sprintf("queues.%d.batch", i), b)
			faults = append(faults, bad...)
			r.Urgency -= batchBelow
			r.Rules = slices.Insert(r.Rules, 0, rule{"noGangs", 1})
			continue
		}
		c.Lowest = min(c.Lowest, r.Urgency)
		c.Highest = max(c.Highest, r.Urgency)
	}
	for _, s := range root.Get("empty_sites").Array() {
		c.EmptyZones[s.Str] = true
	}
	c.emptied = sorted(c.EmptyZones)
	for _, h := range c.hosts {
		seen := map[int]bool{}
		for prefix := range h.queues {
			seen[len(prefix)] = true
		}
		h.lengths = sorted(seen)
		slices.Reverse(h.lengths)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return c, nil
}

// queueFields are the fields of a queue as a setup gives them.
type queueFields map[string]gjson.Result

// Get gives a field, or nothing.
func (f queueFields) Get(name string) gjson.Result { return f[name] }

// addAddress tells whether an address is the first of its kind.
func (c *configuration) addAddress(a address, queue string) bool {
	h := c.hosts[a.Host]
	if h == nil {
		h = &hostPrefixes{queues: map[string]string{}}
		c.hosts[a.Host] = h
	}
	if _, twice := h.queues[a.Prefix]; twice {
		return false
	}
	h.queues[a.Prefix] = queue
	return true
}

func orElse(v, other int64) int64 {
	if v == 0 {
		return other
	}
	return v
}

// parseConfig is compileConfig for a version as an operator writes it.
//
// Example: c, faults := parseConfig("3", body)
func parseConfig(key string, doc []byte) (*configuration, []fault) {
	version, err := strconv.ParseInt(key, 10, 64)
	if err != nil || version < 1 || version > configVersionMax {
		return nil, []fault{{"version", "must be a whole number of 1 or more"}}
	}
	c, faults := compileConfig(version, doc)
	if c != nil {
		c.digest = sha256.Sum256(doc)
	}
	return c, faults
}

// deflate packs a document for the wire and the disk: setups say much the same of
// each queue, and machines with thin lines take each version too.
//
// Example: packed := deflate([]byte(`{"queues":[]}`))
func deflate(doc []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is known
	}
	_, _ = w.Write(doc)
	_ = w.Close()
	return out.Bytes()
}

// inflate is the opposite of deflate; false for what is damaged or larger than
// any setup may be.
//
// Example: doc, ok := inflate(packed)
func inflate(packed []byte) ([]byte, bool) {
	if len(packed) == 0 {
		return nil, true
	}
	doc, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), configBytesMax+1))
	return doc, err == nil && len(doc) <= configBytesMax
}

// compile compiles the document of a register's value.
func (d *configRecord) compile() (*configuration, []fault) {
	doc, ok := inflate(d.Doc)
	if !ok {
		return nil, []fault{{"", "is damaged"}}
	}
	return compileConfig(d.Version, doc)
}

// configCompiler compiles the setups that messages from the core bring, on the
// thread that read them: thousands of queues would hold the control thread up.
// A document that it met last is not compiled again.
type configCompiler struct {
	mu   sync.Mutex
	doc  []byte
	last *configuration
}

func (r *configCompiler) ready(msg any) *configuration {
	m, ok := msg.(*wire.RegisterValue)
	var d configRecord
	if !ok || m.Register != "setup" || codec.Unmarshal(m.Value, &d) != nil || d.Version == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil || r.last.Version != d.Version || !bytes.Equal(r.doc, d.Doc) {
		r.doc = d.Doc
		r.last, _ = d.compile()
	}
	return r.last
}

// matches tells whether a worker's labels put it in a queue's group. The
// worker's site counts as its label "site".
func (q *queueRules) matches(labels []wire.Label, site string) bool {
	for _, c := range q.Selector {
		v := site
		if c.Key != "site" {
			v = labelOf(labels, c.Key)
		}
		if v == "" || !slices.Contains(c.Values, v) {
			return false
		}
	}
	return true
}

func labelOf(labels []wire.Label, key string) string {
	for _, l := range labels {
		if l.Key == key {
			return l.Value
		}
	}
	return ""
}

// lacks gives the first needed label that a worker lacks.
func lacks(have, needs []wire.Label) (wire.Label, bool) {
	for _, l := range needs {
		if labelOf(have, l.Key) != l.Value {
			return l, true
		}
	}
	return wire.Label{}, false
}

// configFresh tells whether the setup was confirmed at a majority lately.
func (n *node) configFresh() bool { return n.now-n.config.confirmedMs <= configFreshMs }

// configConfirmedSince tells whether the setup was confirmed by a poll that was sent
// after a call came: then no version acknowledged before the call is newer. Polls
// are counted for this, since times within one millisecond are in no order. After
// a freeze what was confirmed before it is old, though the call is older still.
func (n *node) configConfirmedSince(a *request) bool {
	return n.config.confirmedBy > a.pollsBefore && n.configFresh()
}

// confirmConfig takes a round of answers: where a majority holds the same
// accepted ballot, that value is chosen, and if it is ours it is confirmed as
// of the time the round was sent.
func (n *node) confirmConfig(r *pollRound) {
	votes := map[register.Ballot]int{}
	for _, a := range r.acks {
		votes[a.Config]++
	}
	for _, from := range sorted(r.acks) {
		b := r.acks[from].Config
		if n.poll.setup.Less(b) {
			n.poll.setup = b
		}
		if votes[b] < n.core.Majority() {
			continue
		}
		if b == n.config.ballot {
			n.config.confirmedMs, n.config.confirmedBy = max(n.config.confirmedMs, r.sentMs), max(n.config.confirmedBy, r.seq)
		} else if n.config.ballot.Less(b) && n.now-n.config.askedMs > 300 {
			n.config.askedMs = n.now
			n.send(n.nearestWith(r, b), &wire.RegisterRead{SetVersion: n.core.Version, Register: "setup"})
		}
		return
	}
	if len(r.acks) == len(n.core.Members) || n.now-max(n.config.confirmedMs, n.poll.firstMs) > pollColocatedMs*2 {
		// The members differ: somebody's change stopped half way. Any daemon
		// may finish it; core members do, at random, so that few compete. One
		// that was away hears all first: it may be the only one that differs.
		if n.inCore() && n.now >= n.config.repairMs {
			n.config.repairMs = n.now + 200 + n.rand().Int64N(600)
			n.startChange("setup", "read", nil, 0)
		}
	}
}

// nearestWith picks whom to read a value from: of the members that hold it one in
// the own site, or else any, so that not all daemons ask the same.
func (n *node) nearestWith(r *pollRound, b register.Ballot) string {
	var near, all []string
	for _, from := range sorted(r.acks) {
		if r.acks[from].Config != b {
			continue
		}
		all = append(all, from)
		if n.zoneOf(from) == n.Zone {
			near = append(near, from)
		}
	}
	if len(near) > 0 {
		all = near
	}
	return all[n.rand().IntN(len(all))]
}

func (n *node) onRegisterValue(_ string, m *wire.RegisterValue) {
	n.acceptMissedValue(m)
	if m.Register != "setup" || !n.config.ballot.Less(m.Ballot) {
		return
	}
	var d configRecord
	if len(m.Value) > 0 && codec.Unmarshal(m.Value, &d) != nil {
		return
	}
	n.adoptConfig(m.Ballot, d)
}

// adoptConfig compiles a value; it counts only once a poll confirms its ballot.
func (n *node) adoptConfig(b register.Ballot, d configRecord) {
	n.config.askedMs = 0         // what was asked for has come: a newer one may be asked for at once
	d.Accepted = changeHistory{} // only a change of the register needs it
	if d.sameDoc(&n.config.record) {
		n.config.ballot = b
		if !slices.Equal(d.Emptied, n.config.record.Emptied) {
			n.config.current, n.config.record = n.config.current.withEmptied(d.Emptied), d
			n.config.confirmedMs, n.config.confirmedBy = -1<<40, 0
			n.log("sites_adopted", "emptied", d.Emptied)
			n.poll.nextMs = 0
		}
		return
	}
	c := n.ready
	if c == nil || c.Version != d.Version {
		var faults []fault
		if c, faults = d.compile(); len(faults) > 0 {
			n.log("setup_unreadable", "version", d.Version, "path", faults[0].Path, "reason", faults[0].Reason)
			return
		}
	}
	n.config.current, n.config.record, n.config.ballot = c.withEmptied(d.Emptied), d, b
	n.config.confirmedMs, n.config.confirmedBy = -1<<40, 0
	n.log("setup_adopted", "version", d.Version, "queues", len(c.Queues))
	n.poll.nextMs = 0
}

func (n *node) tickConfig() {
	kept, again := n.config.awaiting[:0:0], []*request{}
	for _, a := range n.config.awaiting {
		switch {
		case n.configConfirmedSince(a):
			again = append(again, a)
		case n.cutOff() || n.now-a.atMs > forwardMs*2/3:
			n.reject(a, "the setup is not confirmed here")
		default:
			kept = append(kept, a)
		}
	}
	n.config.awaiting = kept
	for _, a := range again {
		n.handleRequest(a)
	}
}

// changeConfig takes an order that builds on what stands. One that was taken
// before leaves it as it is, whatever came since.
func changeConfig(n *node, o *registerChange, current []byte) (register.Decision, []byte) {
	var cur configRecord
	switch {
	case len(current) > 0 && codec.Unmarshal(current, &cur) != nil:
		return register.Fail, nil
	case cur.Accepted.contains(o.change):
		return register.Keep, nil
	case cur.Version != o.change.Base:
		return register.Refuse, nil
	}
	next := configRecord{Version: o.change.Version, Doc: deflate(o.arg), Emptied: cur.Emptied, Accepted: cur.Accepted.with(o.change),
		Past: append(slices.Clone(cur.Past), configVersion{Version: o.change.Version, Digest: binary.BigEndian.Uint64(o.change.Digest[:]),
			Queues: gjson.GetBytes(o.arg, "queues.#").Int(), Bytes: int64(len(o.arg)), AtMs: n.poll.fleetTime(n)})}
	if len(next.Past) > pastShown {
		next.Past = next.Past[len(next.Past)-pastShown:]
	}
	return register.Replace, codec.Append(nil, next)
}

// changeEmptiedZones empties a site beside the document, or takes that back. It
// builds on no version: whatever stands, the site's word is added to it.
func changeEmptiedZones(_ *node, o *registerChange, current []byte) (register.Decision, []byte) {
	var cur configRecord
	if len(current) > 0 && codec.Unmarshal(current, &cur) != nil {
		return register.Fail, nil
	}
	site := string(o.arg)
	sites := slices.DeleteFunc(slices.Clone(cur.Emptied), func(s string) bool { return s == site })
	if o.kind == "empty" {
		sites = append(sites, site)
		slices.Sort(sites)
	}
	cur.Emptied = sites
	return register.Replace, codec.Append(nil, cur)
}

func (n *node) zonesChanged(o *registerChange, outcome register.Outcome) {
	if o.request == nil {
		return
	}
	if outcome != register.Done {
		n.reject(o.request, "outcome unknown: send it again")
		return
	}
	var next configRecord
	if codec.Unmarshal(o.Value(), &next) == nil && n.config.ballot.Less(o.ValueBallot()) {
		n.adoptConfig(o.ValueBallot(), next)
	}
	n.log("sites_accepted", "emptied", next.Emptied)
	n.respond(o.request, 200, 0, mustJSON(map[string]any{"emptied": append([]string{}, next.Emptied...)}))
}

func (n *node) configChanged(o *registerChange, outcome register.Outcome) {
	var cur configRecord
	if o.request == nil || len(o.Value()) > 0 && codec.Unmarshal(o.Value(), &cur) != nil {
		return
	}
	switch outcome {
	case register.Done:
		// A newer document, where the order was taken before, comes by the polls,
		// compiled on another thread.
		if cur.Version == o.change.Version && n.config.ballot.Less(o.ValueBallot()) {
			n.ready = o.request.config
			n.adoptConfig(o.ValueBallot(), cur)
			n.ready = nil
		}
		n.log("setup_accepted", "version", o.change.Version, "current", cur.Version)
		n.respondAccepted(o)
	case register.Refused:
		n.respondRefused(o, &cur)
	default:
		n.respond(o.request, 503, 1000, mustJSON(map[string]any{"error": "outcome unknown: read the current setup, then send the same version again"}))
	}
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only our own types come here
	}
	return b
}

// ask verdicts of the interpreter
type admission struct {
	job   *job
	queue *queueRules
	live  int // live jobs of this queue in the slice
	all   int // live jobs of the slice
	bytes int // of their records, with this one
	base  bool
	batch bool
}

type rejection struct {
	status  int32
	retryMs int64
	faults  []fault
}

// ruleOps is the instruction table of the interpreter.
var ruleOps = map[string]func(*admission, int64) *rejection{
	"defaultLimit": func(c *admission, v int64) *rejection {
		for i := range c.job.Steps {
			c.job.Steps[i].LimitMs = orElse(c.job.Steps[i].LimitMs, v)
		}
		for i := range c.job.Tasks {
			c.job.Tasks[i].LimitMs = orElse(c.job.Tasks[i].LimitMs, v)
		}
		return nil
	},
	"defaultFailures": func(c *admission, v int64) *rejection {
		for i := range c.job.Steps {
			if c.job.Steps[i].Allowed < 0 {
				c.job.Steps[i].Allowed = int32(v)
			}
		}
		for i := range c.job.Tasks {
			if c.job.Tasks[i].Allowed < 0 {
				c.job.Tasks[i].Allowed = int32(v)
			}
		}
		return nil
	},
	"mostTasks": func(c *admission, v int64) *rejection {
		if v > 0 && int64(len(c.job.Tasks)) > v {
			return &rejection{status: 400, faults: []fault{{"steps", fmt.Sprintf("have more than the queue's %d tasks", v)}}}
		}
		return nil
	},
	"mostRoom": func(c *admission, v int64) *rejection {
		return c.eachTask(func(t *task) bool { return v > 0 && t.Resources.CPU > v }, "room", "is above the queue's bound")
	},
	"mostLimit": func(c *admission, v int64) *rejection {
		return c.eachTask(func(t *task) bool { return v > 0 && t.LimitMs > v }, "limit_ms", "is above the queue's bound")
	},
	"noGangs": func(c *admission, _ int64) *rejection {
		var out []fault
		for i, s := range c.job.Steps {
			if s.Gang {
				out = append(out, fault{fmt.Sprintf("steps.%d.gang", i), "can't be in a batch queue: it needs a firm place"})
			}
			if s.Lasting {
				out = append(out, fault{fmt.Sprintf("steps.%d.lasting", i), "can't be in a batch queue: it never finishes"})
			}
		}
		if len(out) > 0 {
			return &rejection{status: 400, faults: out}
		}
		return nil
	},
	"grantEntry": func(c *admission, v int64) *rejection {
		all := shardJobsMax
		if c.base { // queues of the lowest urgency leave the others their share
			all = shardJobsMax * (100 - urgentShare) / 100
		}
		bytes := shardBytesMax
		if c.batch { // held jobs leave the others room in the records
			all, bytes = shardJobsMax*batchRecords/100, shardBytesMax*batchRecords/100
		}
		if int64(c.live) >= v || c.all >= all || c.bytes > bytes {
			return &rejection{status: 429, retryMs: 2000, faults: []fault{{"queue", "has as many live jobs as it may"}}}
		}
		return nil
	},
}

func (c *admission) eachTask(bad func(*task) bool, field, reason string) *rejection {
	var out []fault
	for i := range c.job.Tasks {
		t := &c.job.Tasks[i]
		if bad(t) {
			out = append(out, fault{fmt.Sprintf("steps.%d.tasks.%d.%s", t.Step, t.InStep, field), reason})
		}
	}
	if len(out) > 0 {
		return &rejection{status: 400, faults: out}
	}
	return nil
}

// admit runs an ask for a job through its queue's rules.
func admit(c *admission) *rejection {
	for _, r := range c.queue.Rules {
		if b := ruleOps[r.Op](c, r.N); b != nil {
			return b
		}
	}
	return nil
}
