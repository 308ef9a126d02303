package daemon

import (
	"bytes"
	"context"
	"encoding/csv"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"otterchute/internal/cluster"
	"otterchute/internal/configuration"
	"otterchute/internal/schema"
	"otterchute/internal/wire"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/tidwall/gjson"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// experiment is a hollow fleet and its load as declared in a file. Every number
// in it can be swept.
type experiment struct {
	Name    string
	Daemons int64 // that callers call; the first three have disks
	Sites   int64
	Workers int64 // each with a daemon beside it
	Room    int64 // of each worker
	Running int64 // tasks that run all the time
	Starts  int64 // tasks started a second, beside them
	Tasks   int64 // of each such job
	Gang    int64 // 1: they work only together
	TaskMs  int64
	Queues  int64
	Changes int64 // of the setup, a minute
	WarmS   int64 // after all stands and before counting
	Seconds int64 // counted
	Seed    int64
	Repeats int64 // of each size, each with a seed of its own
	Port    int64
	Sweep   string
	Sizes   []int64
	Faulty  int64 // 0: the faults are left out, for pairs
	Faults  []plannedFault

	// enough tells from the last readings whether so much was counted that counting
	// may end once Seconds are over. Tests set it: a busy machine then counts for longer.
	enough func(*callers, []reading) bool
}

// plannedFault is something done while counting: to a daemon by its number, to
// the first that has a role then, or to all of a site.
type plannedFault struct {
	AtS, ForS  int64
	Do         string
	Daemon     int64 // -1 where a role or a site is named
	Role, Site string
}

// experimentNumbers are the fields of a declared experiment, and what they are where not given.
var experimentNumbers = map[string]struct {
	least, most, def int64
	of               func(*experiment) *int64
}{
	"daemons": {3, cluster.MaxPeers, 8, func(e *experiment) *int64 { return &e.Daemons }},
	"sites":   {1, 12, 3, func(e *experiment) *int64 { return &e.Sites }},
	"workers": {0, cluster.MaxPeers, 0, func(e *experiment) *int64 { return &e.Workers }},
	"room":    {1, 1 << 20, 16, func(e *experiment) *int64 { return &e.Room }},
	"running": {0, 20_000, 0, func(e *experiment) *int64 { return &e.Running }},
	"starts":  {0, 1000, 0, func(e *experiment) *int64 { return &e.Starts }},
	"tasks":   {1, configuration.MaxTasks, 4, func(e *experiment) *int64 { return &e.Tasks }},
	"faulty":  {0, 1, 1, func(e *experiment) *int64 { return &e.Faulty }},
	"gang":    {0, 1, 0, func(e *experiment) *int64 { return &e.Gang }},
	"task_ms": {1, msPerHour, 300, func(e *experiment) *int64 { return &e.TaskMs }},
	"queues":  {1, 5000, 10, func(e *experiment) *int64 { return &e.Queues }},
	"changes": {0, 600, 0, func(e *experiment) *int64 { return &e.Changes }},
	"warm_s":  {0, 600, 5, func(e *experiment) *int64 { return &e.WarmS }},
	"seconds": {1, 3600, 15, func(e *experiment) *int64 { return &e.Seconds }},
	"seed":    {0, 0, 1, func(e *experiment) *int64 { return &e.Seed }},
	"repeats": {1, 20, 1, func(e *experiment) *int64 { return &e.Repeats }},
	"port":    {1024, 30_000, 10_000, func(e *experiment) *int64 { return &e.Port }},
}

var experimentFields = func() schema.Field {
	s := schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
		"about": {Kind: schema.Text, Max: 2000},
		"sweep": {Kind: schema.Object, Fields: map[string]schema.Field{"of": {Kind: schema.Name, Required: true},
			"sizes": {Kind: schema.List, Required: true, Min: 1, Max: 20, Elem: &schema.Field{Kind: schema.Count}}}},
		"faults": {Kind: schema.List, Max: 100, Elem: &schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
			"at_s": {Kind: schema.Count, Required: true}, "do": {Kind: schema.Name, Required: true},
			"daemon": {Kind: schema.Count}, "role": {Kind: schema.Text, Max: 40}, "site": {Kind: schema.Name}, "for_s": {Kind: schema.Count, Required: true, Min: 1}}}},
	}}
	for name, f := range experimentNumbers {
		s.Fields[name] = schema.Field{Kind: schema.Count, Min: f.least, Max: f.most}
	}
	return s
}()

// readExperiment checks a declared experiment.
//
// Example: e, faults := readExperiment("workers", []byte(`{"daemons": 8, "sweep": {"of": "workers", "sizes": [10, 20]}}`))
func readExperiment(name string, doc []byte) (*experiment, []schema.Fault) {
	if f := schema.Check(doc, experimentFields); len(f) > 0 {
		return nil, f
	}
	e, root := &experiment{Name: name}, gjson.ParseBytes(doc)
	for field, f := range experimentNumbers {
		*f.of(e) = f.def
		if v := root.Get(field); v.Exists() {
			*f.of(e) = v.Int()
		}
	}
	if e.Sweep = root.Get("sweep.of").Str; e.Sweep == "" {
		e.Sweep, e.Sizes = "daemons", []int64{e.Daemons}
	}
	for _, s := range root.Get("sweep.sizes").Array() {
		e.Sizes = append(e.Sizes, s.Int())
	}
	var faults []schema.Fault
	n, ok := experimentNumbers[e.Sweep]
	if !ok {
		return nil, []schema.Fault{{Path: "sweep.of", Reason: "is not a number of an experiment"}}
	}
	for i, s := range e.Sizes {
		if s < n.least || n.most > 0 && s > n.most {
			faults = append(faults, schema.Fault{Path: fmt.Sprintf("sweep.sizes.%d", i), Reason: "is not allowed for " + e.Sweep})
		}
	}
	for i, x := range root.Get("faults").Array() {
		p := plannedFault{AtS: x.Get("at_s").Int(), ForS: x.Get("for_s").Int(), Do: x.Get("do").Str, Daemon: -1, Role: x.Get("role").Str, Site: x.Get("site").Str}
		if d := x.Get("daemon"); d.Exists() {
			p.Daemon = d.Int()
		}
		if p.Role != "" && !slices.Contains(allRoles, p.Role) {
			faults = append(faults, schema.Fault{Path: fmt.Sprintf("faults.%d.role", i), Reason: "must be one of " + strings.Join(allRoles, ", ")})
		}
		if faultActions[p.Do] == nil {
			faults = append(faults, schema.Fault{Path: fmt.Sprintf("faults.%d.do", i), Reason: "must be one of " + strings.Join(sorted(faultActions), ", ")})
		}
		if p.Daemon >= e.Daemons+e.Workers && e.Sweep != "daemons" {
			faults = append(faults, schema.Fault{Path: fmt.Sprintf("faults.%d.daemon", i), Reason: "is not there"})
		}
		e.Faults = append(e.Faults, p)
	}
	return e, faults
}

// faultActions are what can be done to a daemon, by name, for some seconds.
var faultActions = map[string]func(ctx context.Context, h *hollow, forS int64) error{
	"kill": func(ctx context.Context, h *hollow, forS int64) error {
		h.kill()
		time.Sleep(time.Duration(forS) * time.Second)
		return h.start(ctx)
	},
	"silence": func(_ context.Context, h *hollow, forS int64) error {
		h.loop.post(func(*executor) { time.Sleep(time.Duration(forS) * time.Second) })
		return nil
	},
}

// measures of a role, for each daemon that has it, and of the whole process.
var (
	roleMeasures    = []string{"holders", "in_msgs_s", "out_msgs_s", "in_bytes_s", "out_bytes_s", "cpu_pct", "syncs_s", "commits_s", "state_bytes"}
	processMeasures = []string{"daemons", "cpu_pct", "control_pct", "message_us", "heap_bytes", "rss_mb", "running", "starts_s", "start_p50_ms", "start_p99_ms",
		"start_max_ms", "force_p50_ms", "force_max_ms", "failed_calls", "duties_lost"}
)

const roleProcess = "process" // all daemons, workers and callers of a run, divided by its daemons

// row is one measured number.
type row struct {
	Size, Seed    int64
	Role, Measure string
	Value         float64
}

// kindRow is a role's traffic in one kind of message, for each daemon that has the role.
type kindRow struct {
	Size, Seed    int64
	Flow          flow
	MsgsS, BytesS float64
}

// callers hand jobs in and note how long their first starts take.
type callers struct {
	e       *experiment
	fleet   *hollowFleet
	calls   http.Client
	rng     *rand.Rand
	mu      sync.Mutex
	sent    map[string]time.Time
	starts  int64
	waits   *hdrhistogram.Histogram // ms from a job's sending to its first start
	forces  *hdrhistogram.Histogram // ms from a setup's sending until it is in force everywhere
	failed  int64
	counted bool
	version int64
}

func newCallers(e *experiment, seed int64) *callers {
	return &callers{e: e, rng: rand.New(rand.NewPCG(uint64(seed), 11)), sent: map[string]time.Time{},
		calls: http.Client{Timeout: 2 * replyMs * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		waits: hdrhistogram.New(1, msPerHour, 3), forces: hdrhistogram.New(1, msPerHour, 3)}
}

func (c *callers) started(job string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counted {
		c.starts++
	}
	if sent, ok := c.sent[job]; ok {
		delete(c.sent, job)
		if c.counted {
			_ = c.waits.RecordValue(at.Sub(sent).Milliseconds())
		}
	}
}

// call makes one HTTP call; status 0 stands for silence.
func call(ctx context.Context, c *http.Client, method, url string, body []byte) response {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return response{}
	}
	resp, err := c.Do(req)
	if err != nil {
		return response{}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxFrame))
	if err != nil {
		return response{}
	}
	return response{resp.StatusCode, b}
}

func (c *callers) fail() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counted {
		c.failed++
	}
}

// insist calls one daemon after the other until one answers for good.
func (c *callers) insist(ctx context.Context, first int, method, path string, body []byte) response {
	for i := first; ctx.Err() == nil; i++ {
		t := call(ctx, &c.calls, method, "http://"+c.fleet.daemons[i%c.fleet.edges].settings.HTTP+path, body)
		if t.status != 0 && t.status != 503 && t.status != 429 {
			return t
		}
		c.fail()
		time.Sleep(200 * time.Millisecond)
	}
	return response{}
}

// declare makes the next version of the setup and waits until it is in force everywhere.
func (c *callers) declare(ctx context.Context) error {
	c.version++
	queues := make([]map[string]any, c.e.Queues)
	for i := range queues {
		queues[i] = map[string]any{"name": fmt.Sprintf("q%04d", i), "urgency": i % 100, "max_live_jobs": configuration.MaxQueueJobs}
	}
	began := time.Now()
	t := c.insist(ctx, int(c.version), "PUT", fmt.Sprint("/v1/setups/", c.version), mustJSON(map[string]any{"note": fmt.Sprint("version ", c.version), "queues": queues}))
	if t.status != 200 && t.status != 409 { // 409: an earlier try of this very version came through
		return errors.Wrapf(errExperiment, "the setup was answered %d %s", t.status, t.body)
	}
	for ctx.Err() == nil && !c.fleet.inForce(c.version) {
		time.Sleep(20 * time.Millisecond)
	}
	if ctx.Err() != nil { // it is not known to be in force
		return ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.forces.RecordValue(time.Since(began).Milliseconds())
	return nil
}

func (c *callers) submit(ctx context.Context, id string, tasks, ms int64, gang bool, first int) error {
	body := mustJSON(map[string]any{"queue": fmt.Sprintf("q%04d", first%int(c.e.Queues)), "payload": map[string]any{"ms": ms},
		"steps": []any{map[string]any{"name": "a", "count": tasks, "room": 1, "limit_ms": max(4*ms, 60_000), "estimate_ms": ms, "allowed_failures": 3, "gang": gang}}})
	c.mu.Lock()
	c.sent[id] = time.Now()
	c.mu.Unlock()
	if t := c.insist(ctx, first, "PUT", "/v1/jobs/"+id, body); t.status != 200 && t.status != 201 && ctx.Err() == nil {
		return errors.Wrapf(errExperiment, "job %s was answered %d %s", id, t.status, t.body)
	}
	return nil
}

// settle brings the fleet to its declared load before anything is counted.
func (c *callers) settle(ctx context.Context) error {
	if err := c.declare(ctx); err != nil {
		return err
	}
	for left, i := c.e.Running, 0; left > 0; i++ {
		n := min(left, 50)
		if err := c.submit(ctx, fmt.Sprintf("long-%d", i), n, msPerHour, false, i); err != nil {
			return err
		}
		left -= n
	}
	for c.fleet.workers.running() < int(c.e.Running) {
		select {
		case <-ctx.Done():
			return errors.Wrapf(errExperiment, "only %d of %d tasks run", c.fleet.workers.running(), c.e.Running)
		case <-time.After(200 * time.Millisecond):
		}
	}
	return ctx.Err()
}

// load hands jobs and setups in at the declared rates until the context ends.
func (c *callers) load(ctx context.Context, wait *sync.WaitGroup) {
	if c.e.Starts > 0 {
		wait.Go(func() {
			gap := float64(c.e.Tasks) / float64(c.e.Starts)
			for i := 0; ; i++ {
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Duration(c.rng.ExpFloat64() * gap * float64(time.Second))):
				}
				wait.Go(func() {
					if c.submit(ctx, fmt.Sprintf("short-%d", i), c.e.Tasks, c.e.TaskMs, c.e.Gang > 0, i) != nil {
						c.fail()
					}
				})
			}
		})
	}
	if c.e.Changes > 0 {
		wait.Go(func() {
			for every := time.NewTicker(time.Minute / time.Duration(c.e.Changes)); ; {
				select {
				case <-ctx.Done():
					every.Stop()
					return
				case <-every.C:
					_ = c.declare(ctx)
				}
			}
		})
	}
}

func processTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func residentMB() float64 {
	b, _ := os.ReadFile("/proc/self/statm")
	if f := strings.Fields(string(b)); len(f) > 1 {
		pages, _ := strconv.ParseFloat(f[1], 64)
		return pages * float64(os.Getpagesize()) / (1 << 20)
	}
	return 0
}

func sleep(ctx context.Context, seconds int64) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(seconds) * time.Second):
	}
}

// runPoint runs one size with one seed and counts.
func runPoint(ctx context.Context, e experiment, size, seed int64) ([]row, []kindRow, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(settleMaxS+e.WarmS+e.Seconds)*time.Second)
	defer cancel()
	c := newCallers(&e, seed)
	f, err := newHollowFleet(ctx, &e, c.started)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, nil, err
	}
	c.fleet = f
	if err := c.settle(ctx); err != nil {
		return nil, nil, err
	}
	c.forces.Reset()
	var wait sync.WaitGroup
	loading, enough := context.WithCancel(ctx)
	c.load(loading, &wait)
	sleep(ctx, e.WarmS)
	for _, p := range e.Faults {
		if e.Faulty == 0 {
			break
		}
		wait.Go(func() {
			sleep(ctx, p.AtS)
			for _, h := range f.struck(p) {
				wait.Go(func() { _ = faultActions[p.Do](ctx, h, p.ForS) })
			}
		})
	}
	lost := f.logCount("duty_lost")
	before, cpu, began := f.read(false), processTime(), time.Now()
	c.mu.Lock()
	c.counted = true
	c.mu.Unlock()
	sleep(ctx, e.Seconds)
	after := f.read(false)
	for e.enough != nil && !e.enough(c, after) && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		after = f.read(false)
	}
	cpu = processTime() - cpu
	seconds := time.Since(began).Seconds()
	c.mu.Lock()
	c.counted = false
	c.mu.Unlock()
	running := f.workers.running()
	lost = f.logCount("duty_lost") - lost
	enough()
	wait.Wait()
	states := f.read(true)
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	s := summary{e: &e, size: size, seed: seed, seconds: seconds, before: before, after: after, states: states, callers: c}
	rows, kinds := s.rows(cpu, float64(mem.HeapAlloc), running)
	rows = append(rows, row{size, seed, roleProcess, "duties_lost", float64(lost)})
	return rows, kinds, ctx.Err()
}

// summary turns what the meters showed before and after into rows.
type summary struct {
	e                     *experiment
	size, seed            int64
	seconds               float64
	before, after, states []reading
	callers               *callers
}

func (s *summary) rows(cpu time.Duration, heap float64, running int) (out []row, kinds []kindRow) {
	put := func(role, measure string, v float64) { out = append(out, row{s.size, s.seed, role, measure, v}) }
	flows, control, messages := map[flow]tally{}, time.Duration(0), int64(0)
	spent, state, holders := map[string]time.Duration{}, map[string]int64{}, map[string]float64{}
	type total struct{ in, out tally }
	whole := func(role string, n float64, t total, spent time.Duration) {
		if n == 0 {
			return
		}
		for m, v := range map[string]int64{"in_msgs_s": t.in.N, "in_bytes_s": t.in.Bytes, "out_msgs_s": t.out.N, "out_bytes_s": t.out.Bytes} {
			put(role, m, float64(v)/n/s.seconds)
		}
		put(role, "cpu_pct", 100*spent.Seconds()/n/s.seconds)
	}
	totals, times := map[string]total{}, map[string]time.Duration{}
	var most total
	var longest time.Duration
	count := func(name string) (sum float64) {
		for i := range s.after {
			sum += float64(max(0, s.after[i].counts[name]-s.before[i].counts[name]))
		}
		return sum
	}
	for i, a := range s.after {
		b := s.before[i]
		if !a.live || !b.live || a.counts["messages_in"] < b.counts["messages_in"] {
			continue // it was killed meanwhile: its counts began anew
		}
		kind, own, ownTime := wholeEdge, total{}, time.Duration(0)
		if i >= int(s.e.Daemons) {
			kind = wholeSide
		}
		for k, t := range a.flows {
			d := tally{t.N - b.flows[k].N, t.Bytes - b.flows[k].Bytes}
			k.Role = heldOr(a, k.Role)
			flows[k] = flows[k].plus(d)
			messages += d.N
			if k.Out {
				own.out = own.out.plus(d)
			} else {
				own.in = own.in.plus(d)
			}
		}
		for role, d := range a.spent {
			spent[heldOr(a, role)] += d - b.spent[role]
			ownTime += d - b.spent[role]
		}
		control += ownTime
		holders[kind]++
		totals[kind] = total{totals[kind].in.plus(own.in), totals[kind].out.plus(own.out)}
		times[kind] += ownTime
		most = total{most.in.most(own.in), most.out.most(own.out)}
		longest = max(longest, ownTime)
		for role, held := range a.roles {
			if held {
				holders[role]++
				state[role] += s.states[i].state[role]
			}
		}
	}
	whole(busiest, 1, most, longest)
	for _, role := range []string{wholeEdge, wholeSide} {
		whole(role, holders[role], totals[role], times[role])
	}
	for _, role := range allRoles[:slices.Index(allRoles, wholeEdge)] {
		n := holders[role]
		put(role, "holders", n)
		if n == 0 {
			continue
		}
		sums := map[string]float64{}
		for k, t := range flows {
			if k.Role != role || t.N == 0 {
				continue
			}
			way := map[bool]string{false: "in", true: "out"}[k.Out]
			sums[way+"_msgs_s"] += float64(t.N)
			sums[way+"_bytes_s"] += float64(t.Bytes)
			kinds = append(kinds, kindRow{s.size, s.seed, k, float64(t.N) / n / s.seconds, float64(t.Bytes) / n / s.seconds})
		}
		for _, m := range []string{"in_msgs_s", "out_msgs_s", "in_bytes_s", "out_bytes_s"} {
			put(role, m, sums[m]/n/s.seconds)
		}
		put(role, "cpu_pct", 100*spent[role].Seconds()/n/s.seconds)
		if role == roleCore {
			put(role, "syncs_s", count("syncs")/n/s.seconds)
		}
		if role == roleOwner {
			put(role, "commits_s", count("commits")/n/s.seconds)
		}
		put(role, "state_bytes", float64(state[role])/n)
	}
	daemons, c := float64(len(s.after)), s.callers
	put(roleProcess, "daemons", daemons)
	put(roleProcess, "cpu_pct", 100*cpu.Seconds()/daemons/s.seconds)
	put(roleProcess, "control_pct", 100*control.Seconds()/daemons/s.seconds)
	put(roleProcess, "message_us", float64((cpu-control).Microseconds())/float64(max(1, messages)))
	put(roleProcess, "heap_bytes", heap/daemons)
	put(roleProcess, "rss_mb", residentMB())
	put(roleProcess, "running", float64(running))
	c.mu.Lock()
	defer c.mu.Unlock()
	put(roleProcess, "starts_s", float64(c.starts)/s.seconds)
	put(roleProcess, "failed_calls", float64(c.failed))
	if c.waits.TotalCount() > 0 {
		put(roleProcess, "start_p50_ms", float64(c.waits.ValueAtQuantile(50)))
		put(roleProcess, "start_p99_ms", float64(c.waits.ValueAtQuantile(99)))
		put(roleProcess, "start_max_ms", float64(c.waits.Max()))
	}
	if c.forces.TotalCount() > 0 {
		put(roleProcess, "force_p50_ms", float64(c.forces.ValueAtQuantile(50)))
		put(roleProcess, "force_max_ms", float64(c.forces.Max()))
	}
	return out, kinds
}

// heldOr gives a role if its daemon has it: what others do of it, such as to look
// whether there is work, is part of what every daemon costs.
func heldOr(r reading, role string) string {
	if r.roles[role] {
		return role
	}
	return roleEvery
}

// fit is a straight line through a measure's values at the sizes of a sweep.
type fit struct {
	Role, Measure  string
	Base, Slope    float64
	StdErr, Spread float64 // standard errors: of the slope, and of a value about the line
	R2             float64
	Points         int
	Largest        int64
}

// leastSquares fits a line.
//
// Example: f := leastSquares([]float64{1, 2, 3}, []float64{2, 4, 6}) // slope 2
func leastSquares(x, y []float64) (f fit) {
	n := float64(len(x))
	var mx, my, sxx, sxy, syy float64
	for i := range x {
		mx, my = mx+x[i]/n, my+y[i]/n
	}
	for i := range x {
		sxx, sxy, syy = sxx+(x[i]-mx)*(x[i]-mx), sxy+(x[i]-mx)*(y[i]-my), syy+(y[i]-my)*(y[i]-my)
	}
	f.Points, f.Base = len(x), my
	if sxx == 0 {
		return f
	}
	f.Slope = sxy / sxx
	f.Base = my - f.Slope*mx
	rest := max(0, syy-f.Slope*sxy)
	if n > 2 {
		f.Spread = math.Sqrt(rest / (n - 2))
		f.StdErr = f.Spread / math.Sqrt(sxx)
	}
	if syy > 0 {
		f.R2 = 1 - rest/syy
	}
	return f
}

func (f fit) at(size float64) float64 { return f.Base + f.Slope*size }

// series gives a measure's values by size.
func series(rows []row, role, measure string) (x, y []float64) {
	for _, r := range rows {
		if r.Role == role && r.Measure == measure {
			x, y = append(x, float64(r.Size)), append(y, r.Value)
		}
	}
	return x, y
}

func fitsOf(rows []row) (out []fit) {
	each(func(role, measure string) {
		x, y := series(rows, role, measure)
		if len(x) == 0 {
			return
		}
		f := leastSquares(x, y)
		f.Role, f.Measure, f.Largest = role, measure, int64(slices.Max(x))
		out = append(out, f)
	})
	return out
}

func each(do func(role, measure string)) {
	for _, role := range allRoles {
		for _, m := range roleMeasures {
			do(role, m)
		}
	}
	for _, m := range processMeasures {
		do(roleProcess, m)
	}
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 5, 64) }

func writeCSV(path string, head []string, lines [][]string) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(errExperiment, err.Error())
	}
	defer f.Close()
	w := csv.NewWriter(f)
	_ = w.Write(head)
	if err := w.WriteAll(lines); err != nil {
		return errors.Wrap(errExperiment, err.Error())
	}
	return nil
}

// report writes an experiment's tables and plots into a folder and prints the fits.
func report(e *experiment, rows []row, kinds []kindRow, folder string, out io.Writer) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(errExperiment, err.Error())
	}
	var lines [][]string
	for _, r := range rows {
		lines = append(lines, []string{e.Name, e.Sweep, fmt.Sprint(r.Size), fmt.Sprint(r.Seed), r.Role, r.Measure, number(r.Value)})
	}
	if err := writeCSV(filepath.Join(folder, e.Name+".csv"), []string{"experiment", "sweep", "size", "seed", "role", "measure", "value"}, lines); err != nil {
		return err
	}
	slices.SortFunc(kinds, func(a, b kindRow) int {
		return strings.Compare(fmt.Sprintf("%6d %3d %v", a.Size, a.Seed, a.Flow), fmt.Sprintf("%6d %3d %v", b.Size, b.Seed, b.Flow))
	})
	lines = nil
	for _, k := range kinds {
		way := map[bool]string{false: "in", true: "out"}[k.Flow.Out]
		lines = append(lines, []string{e.Name, e.Sweep, fmt.Sprint(k.Size), fmt.Sprint(k.Seed), k.Flow.Role, k.Flow.Kind, way, number(k.MsgsS), number(k.BytesS)})
	}
	if err := writeCSV(filepath.Join(folder, e.Name+".kinds.csv"), []string{"experiment", "sweep", "size", "seed", "role", "kind", "way", "msgs_s", "bytes_s"}, lines); err != nil {
		return err
	}
	lines = nil
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tab, "role\tmeasure\tat %d\tat %d\tbase\tslope per %s\tstd err\tR2\n", e.Sizes[0], e.Sizes[len(e.Sizes)-1], e.Sweep)
	for _, f := range fitsOf(rows) {
		lines = append(lines, []string{e.Name, e.Sweep, f.Role, f.Measure, number(f.Base), number(f.Slope), number(f.StdErr), number(f.Spread), number(f.R2), fmt.Sprint(f.Points), fmt.Sprint(f.Largest)})
		mean := func(size int64) string {
			sum, n := 0.0, 0.0
			for _, r := range rows {
				if r.Size == size && r.Role == f.Role && r.Measure == f.Measure {
					sum, n = sum+r.Value, n+1
				}
			}
			if n == 0 {
				return "-"
			}
			return number(sum / n)
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\n", f.Role, f.Measure, mean(e.Sizes[0]), mean(e.Sizes[len(e.Sizes)-1]), number(f.Base), number(f.Slope), number(f.StdErr), f.R2)
	}
	_ = tab.Flush()
	if err := writeCSV(filepath.Join(folder, e.Name+".fit.csv"), []string{"experiment", "sweep", "role", "measure", "base", "slope", "slope_err", "spread", "r2", "points", "largest"}, lines); err != nil {
		return err
	}
	for _, m := range []string{"cpu_pct", "out_bytes_s", "in_msgs_s"} {
		if err := draw(e, rows, m, filepath.Join(folder, e.Name+"-"+m+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// draw plots one measure of all roles over the sizes of a sweep.
func draw(e *experiment, rows []row, measure, path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = e.Name, e.Sweep, measure+" per daemon with the role"
	p.Legend.Top, p.Legend.Left = true, true
	var args []any
	for _, role := range allRoles {
		x, y := series(rows, role, measure)
		if len(x) == 0 {
			continue
		}
		points := make(plotter.XYs, len(x))
		for i := range x {
			points[i] = plotter.XY{X: x[i], Y: y[i]}
		}
		slices.SortFunc(points, func(a, b plotter.XY) int { return int(a.X - b.X) })
		args = append(args, role, points)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return errors.Wrap(errExperiment, err.Error())
	}
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return errors.Wrap(errExperiment, err.Error())
	}
	return nil
}

// runExperiment runs all sizes of an experiment, one after the other.
func runExperiment(ctx context.Context, e *experiment, out io.Writer) (rows []row, kinds []kindRow, err error) {
	for _, size := range e.Sizes {
		for rep := range e.Repeats {
			point := *e
			*experimentNumbers[e.Sweep].of(&point) = size
			began := time.Now()
			r, k, err := runPoint(ctx, point, size, e.Seed+rep)
			if err != nil {
				return rows, kinds, errors.Wrapf(err, "%s at %s %d", e.Name, e.Sweep, size)
			}
			rows, kinds = append(rows, r...), append(kinds, k...)
			for _, x := range r {
				if x.Role == roleProcess && x.Measure == "cpu_pct" {
					fmt.Fprintf(out, "%s: %s %d, seed %d: %s%% of a core a daemon, %.0f s\n", e.Name, e.Sweep, size, e.Seed+rep, number(x.Value), time.Since(began).Seconds())
				}
			}
		}
	}
	return rows, kinds, nil
}

func experimentCommand() *command {
	results, target := new(string), new(string)
	return &command{name: "experiment", args: "[-results FOLDER] FILE... | -target FILE", about: "run declared experiments on hollow fleets in this process, and write tables and plots",
		bind: func(fs *flag.FlagSet) {
			fs.StringVar(results, "results", "experiments/results", "folder for tables and plots")
			fs.StringVar(target, "target", "", "work this target out from the results and run nothing")
		},
		do: func(ctx context.Context, fs *flag.FlagSet) subcommands.ExitStatus {
			if *target != "" {
				if err := tellTarget(*target, *results, os.Stdout); err != nil {
					fmt.Fprintln(os.Stderr, "otterchute:", err)
					return exitFound
				}
				return exitOK
			}
			if fs.NArg() == 0 {
				return usage("experiment [-results FOLDER] FILE... | -target FILE")
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			for _, path := range fs.Args() {
				doc, err := readDoc(path)
				if err != nil {
					fmt.Fprintln(os.Stderr, "otterchute:", err)
					return exitUsage
				}
				e, faults := readExperiment(strings.TrimSuffix(filepath.Base(path), ".json"), doc)
				for _, f := range faults {
					fmt.Fprintf(os.Stderr, "%s: %s %s\n", path, orText(f.Path, "the document"), f.Reason)
				}
				if len(faults) > 0 {
					return exitUsage
				}
				rows, kinds, err := runExperiment(ctx, e, os.Stderr)
				if err == nil {
					err = report(e, rows, kinds, *results, os.Stdout)
				}
				if err != nil {
					fmt.Fprintln(os.Stderr, "otterchute:", err)
					return exitFound
				}
			}
			return exitOK
		}}
}
