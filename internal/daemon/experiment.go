package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"otterchute/internal/cluster"
	"otterchute/internal/configuration"
	"otterchute/internal/schema"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/tidwall/gjson"
)

const (
	settleMaxS   = 240 // s until a hollow fleet stands with its load; a few hundred daemons take half a minute
	startGroup   = 10  // hollow daemons started at once
	startPauseMs = 200 // and then a pause, so that the fleet's first words don't come all at one time
)

// experiment is a hollow fleet and its load as declared in a file. Every number
// in it can be swept.
type experiment struct {
	Name    string
	Daemons int64 // that callers call; the first three have disks
	Zones   int64
	Workers int64 // each with a daemon beside it
	Room    int64 // of each worker
	Running int64 // tasks that run all the time
	Starts  int64 // tasks started a second, beside them
	Tasks   int64 // of each such job
	Gang    int64 // 1: they work only together
	TaskMs  int64
	Queues  int64
	Changes int64 // of the configuration, a minute
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
// the first that has a role then, or to all of a zone.
type plannedFault struct {
	AtS, ForS  int64
	Do         string
	Daemon     int64 // -1 where a role or a zone is named
	Role, Zone string
}

// experimentNumbers are the fields of a declared experiment, and what they are where not given.
var experimentNumbers = map[string]struct {
	least, most, def int64
	of               func(*experiment) *int64
}{
	"daemons": {3, cluster.MaxPeers, 8, func(e *experiment) *int64 { return &e.Daemons }},
	"sites":   {1, 12, 3, func(e *experiment) *int64 { return &e.Zones }},
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
			"at_s": {Kind: schema.Count, Required: true},
			"do":   {Kind: schema.Name, Required: true},
			"daemon": {
				Kind: schema.Count,
			},
			"role":  {Kind: schema.Text, Max: 40},
			"site":  {Kind: schema.Name},
			"for_s": {Kind: schema.Count, Required: true, Min: 1},
		}}},
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
			faults = append(
				faults,
				schema.Fault{Path: fmt.Sprintf("sweep.sizes.%d", i), Reason: "is not allowed for " + e.Sweep},
			)
		}
	}
	for i, x := range root.Get("faults").Array() {
		p := plannedFault{
			AtS:    x.Get("at_s").Int(),
			ForS:   x.Get("for_s").Int(),
			Do:     x.Get("do").Str,
			Daemon: -1,
			Role:   x.Get("role").Str,
			Zone:   x.Get("site").Str,
		}
		if d := x.Get("daemon"); d.Exists() {
			p.Daemon = d.Int()
		}
		if p.Role != "" && !slices.Contains(allRoles, p.Role) {
			faults = append(
				faults,
				schema.Fault{Path: fmt.Sprintf("faults.%d.role", i), Reason: "must be one of " + strings.Join(allRoles, ", ")},
			)
		}
		if faultActions[p.Do] == nil {
			faults = append(
				faults,
				schema.Fault{
					Path:   fmt.Sprintf("faults.%d.do", i),
					Reason: "must be one of " + strings.Join(sorted(faultActions), ", "),
				},
			)
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
	roleMeasures = []string{
		"holders",
		"in_msgs_s",
		"out_msgs_s",
		"in_bytes_s",
		"out_bytes_s",
		"cpu_pct",
		"syncs_s",
		"commits_s",
		"state_bytes",
	}
	processMeasures = []string{
		"daemons",
		"cpu_pct",
		"control_pct",
		"message_us",
		"heap_bytes",
		"rss_mb",
		"running",
		"starts_s",
		"start_p50_ms",
		"start_p99_ms",
		"start_max_ms",
		"force_p50_ms",
		"force_max_ms",
		"failed_calls",
		"duties_lost",
	}
)

const roleProcess = "process" // all daemons, workers and callers of a run, divided by its daemons

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
	lost := f.logCount("role_lost")
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
	lost = f.logCount("role_lost") - lost
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
					fmt.Fprintf(
						out,
						"%s: %s %d, seed %d: %s%% of a core a daemon, %.0f s\n",
						e.Name,
						e.Sweep,
						size,
						e.Seed+rep,
						number(x.Value),
						time.Since(began).Seconds(),
					)
				}
			}
		}
	}
	return rows, kinds, nil
}

func experimentCommand() *command {
	results, target := new(string), new(string)
	return &command{
		name:  "experiment",
		args:  "[-results FOLDER] FILE... | -target FILE",
		about: "run declared experiments on hollow fleets in this process, and write tables and plots",
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
		},
	}
}
