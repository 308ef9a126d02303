package daemon

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"time"

	"otterchute/internal/membership"
	"otterchute/internal/wire"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"go.uber.org/fx"
)

// reading is what one daemon's meters show at a time.
type reading struct {
	flows  map[flow]tally
	spent  map[string]time.Duration
	counts map[string]int64
	state  map[string]int64 // bytes by role
	roles  map[string]bool
	live   bool
}

// hollow is the product's whole daemon, as one of many in a process.
type hollow struct {
	settings settings
	app      *fx.App
	loop     *controlLoop
	shell    *executor
	server   *httpServer
	meter    *meter
	up       bool
	note     func(daemon, event string, kv []any)
}

// hollowLog hands a daemon's log over instead of writing it.
type hollowLog struct{ h *hollow }

func (hollowLog) Init(logr.RuntimeInfo)                 {}
func (hollowLog) Enabled(int) bool                      { return true }
func (l hollowLog) Info(_ int, event string, kv ...any) { l.h.note(l.h.settings.Name, event, kv) }
func (l hollowLog) Error(err error, event string, _ ...any) {
	l.h.note(l.h.settings.Name, event, []any{"err", err})
}
func (l hollowLog) WithValues(...any) logr.LogSink { return l }
func (l hollowLog) WithName(string) logr.LogSink   { return l }

func (h *hollow) start(ctx context.Context) error {
	h.meter = newMeter()
	h.app = fx.New(daemonModules(h.settings), fx.Decorate(func(logr.Logger) logr.Logger { return logr.New(hollowLog{h}) }),
		fx.Decorate(func(wire.Observer) wire.Observer { return h.meter }),
		fx.Populate(&h.loop, &h.shell, &h.server))
	if err := h.app.Err(); err != nil {
		return errors.Wrap(errExperiment, err.Error())
	}
	h.shell.meter, h.shell.node.onTickPart = h.meter, h.meter.endPart
	h.up = true
	return h.app.Start(ctx)
}

// kill ends a daemon at once: nothing is handed over.
func (h *hollow) kill() {
	if h.up {
		h.up = false
		ctx, cancel := context.WithTimeout(context.Background(), stopMs*time.Millisecond)
		defer cancel()
		_ = h.app.Stop(ctx)
	}
}

// on runs something on the daemon's control thread and waits for it.
func (h *hollow) on(do func(*executor)) {
	done := make(chan struct{})
	h.loop.post(func(s *executor) {
		do(s)
		close(done)
	})
	select {
	case <-done:
	case <-h.loop.quit:
	}
}

func (h *hollow) read(whole bool) reading {
	r := reading{
		flows:  map[flow]tally{},
		spent:  map[string]time.Duration{},
		counts: map[string]int64{},
		state:  map[string]int64{},
		roles:  map[string]bool{},
		live:   h.up,
	}
	if !h.up {
		return r
	}
	h.on(func(s *executor) {
		h.meter.mu.Lock()
		for k, v := range h.meter.flows {
			r.flows[k] = v
		}
		for k, v := range h.meter.spent {
			r.spent[k] = v.time()
		}
		h.meter.mu.Unlock()
		for k, v := range s.node.counts {
			r.counts[k] = v
		}
		r.roles = s.node.rolesHeld()
		if whole {
			r.state = stateOf(s.node)
		}
	})
	return r
}

func (n *node) rolesHeld() map[string]bool {
	return map[string]bool{roleEvery: true, roleCore: n.inCore(), roleOwner: len(n.owned) > 0, roleLocal: len(n.owned) > 0,
		roleCentral: n.central != nil, roleAgent: len(n.agents) > 0, roleFront: n.HTTP != "" && n.counts["requests_in"] > 0}
}

// stateOf gives about how many bytes each role's part of the state takes.
func stateOf(n *node) map[string]int64 {
	out := map[string]int64{}
	node := reflect.ValueOf(n)
	v := node.Elem()
	for i := range v.NumField() {
		if role, ok := stateRoles[v.Type().Field(i).Name]; ok {
			out[role] += deepSize(v.Field(i), map[uintptr]bool{node.Pointer(): true}) // parts point back to their daemon
		}
	}
	return out
}

// deepSize is about what a value and all it points to take on the heap.
func deepSize(v reflect.Value, seen map[uintptr]bool) int64 {
	size := int64(v.Type().Size())
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() && !seen[v.Pointer()] {
			seen[v.Pointer()] = true
			size += deepSize(v.Elem(), seen)
		}
	case reflect.Interface:
		if !v.IsNil() {
			size += deepSize(v.Elem(), seen)
		}
	case reflect.String:
		size += int64(v.Len())
	case reflect.Struct:
		size = 0
		for i := range v.NumField() {
			size += deepSize(v.Field(i), seen)
		}
		size = max(size, int64(v.Type().Size()))
	case reflect.Slice:
		size += int64(v.Cap()-v.Len()) * int64(v.Type().Elem().Size())
		if plainNumber(v.Type().Elem().Kind()) {
			return size + int64(v.Len())*int64(v.Type().Elem().Size())
		}
		for i := range v.Len() {
			size += deepSize(v.Index(i), seen)
		}
	case reflect.Map:
		it := v.MapRange()
		for it.Next() {
			size += deepSize(it.Key(), seen) + deepSize(it.Value(), seen) + 8 // a share of its table
		}
	}
	return size
}

func plainNumber(k reflect.Kind) bool { return k >= reflect.Bool && k <= reflect.Complex128 }

// hollowFleet is all that one experiment runs.
type hollowFleet struct {
	daemons []*hollow // those that callers call, then those beside a worker
	edges   int
	workers *hollowWorkers
	folder  string
	mu      sync.Mutex
	logged  map[string]int
}

// freeAddrs gives loopback addresses that nobody listens at, from a port on.
func freeAddrs(from, count int) ([]string, error) {
	var out []string
	for port := from; len(out) < count && port < min(from+4*count+100, 32_000); port++ {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if ln, err := net.Listen("tcp", addr); err == nil {
			_ = ln.Close()
			out = append(out, addr)
		}
	}
	if len(out) < count {
		return nil, errors.Wrapf(errExperiment, "there are not %d free ports from %d on", count, from)
	}
	return out, nil
}

func newHollowFleet(ctx context.Context, e *experiment, started func(string, time.Time)) (*hollowFleet, error) {
	folder, err := os.MkdirTemp("", "experiment-")
	if err != nil {
		return nil, errors.Wrap(errExperiment, err.Error())
	}
	f := &hollowFleet{folder: folder, logged: map[string]int{}}
	addrs, err := freeAddrs(int(e.Port), int(2*e.Daemons+e.Workers))
	if err != nil {
		return f, err
	}
	f.edges, f.workers = int(e.Daemons), &hollowWorkers{started: started}
	note := func(_, event string, _ []any) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.logged[event]++
	}
	for i := range int(e.Daemons + e.Workers) {
		s := defaultSettings()
		s.Addr, s.Seeds = addrs[i], addrs[:membership.DefaultSize]
		if i < f.edges {
			s.Name, s.HTTP, s.Zone = fmt.Sprintf("d%03d", i), addrs[int(e.Daemons+e.Workers)+i], zoneName(i, e)
		} else {
			s.Name, s.Zone, s.Colocated = fmt.Sprintf("s%03d", i-f.edges), zoneName(i-f.edges, e), true
		}
		if i < membership.DefaultSize {
			s.Data = filepath.Join(folder, s.Name)
			if err := os.Mkdir(s.Data, 0o755); err != nil {
				return f, errors.Wrap(errExperiment, err.Error())
			}
		}
		h := &hollow{settings: s, note: note}
		f.daemons = append(f.daemons, h)
		if err := h.start(ctx); err != nil {
			return f, err
		}
		if i%startGroup == startGroup-1 { // the machines of a fleet don't all start in one ms
			time.Sleep(startPauseMs * time.Millisecond)
		}
		if i >= f.edges {
			f.workers.add(ctx, fmt.Sprintf("w%03d", i-f.edges), s.Zone, h, e.Room)
		}
	}
	return f, nil
}

// logCount is how often the daemons logged an event.
func (f *hollowFleet) logCount(event string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logged[event]
}

func zoneName(i int, e *experiment) string { return fmt.Sprintf("z%d", i%int(e.Zones)) }

func (f *hollowFleet) close() {
	if f.workers != nil {
		f.workers.close()
	}
	var wait sync.WaitGroup
	for _, h := range f.daemons {
		wait.Go(h.kill)
	}
	wait.Wait()
	_ = os.RemoveAll(f.folder)
}

func (f *hollowFleet) read(whole bool) []reading {
	out := make([]reading, len(f.daemons))
	for i, h := range f.daemons {
		out[i] = h.read(whole)
	}
	return out
}

// struck gives the daemons that a fault is for.
func (f *hollowFleet) struck(p plannedFault) (out []*hollow) {
	for i, h := range f.daemons {
		has := p.Daemon == int64(i) || p.Zone != "" && p.Zone == h.settings.Zone
		if p.Role != "" && len(out) == 0 && h.up {
			h.on(func(s *executor) { has = s.node.rolesHeld()[p.Role] })
		}
		if has {
			out = append(out, h)
		}
	}
	return out
}

// inForce tells whether every live daemon runs on a version, lately confirmed.
func (f *hollowFleet) inForce(version int64) bool {
	return !slices.ContainsFunc(f.daemons, func(h *hollow) bool {
		ok := true
		if h.up {
			h.on(func(s *executor) { ok = s.node.config.current.Version >= version && s.node.configFresh() })
		}
		return !ok
	})
}
