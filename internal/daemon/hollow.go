package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"otterchute/internal/register"
	"otterchute/internal/wire"
	"otterchute/platform"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/tidwall/gjson"
	"go.uber.org/fx"
	"golang.org/x/sys/unix"
)

// The roles that an experiment counts by. A daemon has one or several of them.
const (
	roleEvery   = "every daemon" // membership, polls of the core, setups
	roleCore    = "core member"
	roleOwner   = "slice owner"
	roleLocal   = "local scheduler"
	roleCentral = "central scheduler"
	roleAgent   = "agent"
	roleFront   = "front"

	wholeEdge = "edge daemon"    // all that one costs, whatever its roles
	wholeSide = "side daemon"    // one beside a worker
	busiest   = "busiest daemon" // by each measure the highest of all
)

var allRoles = []string{roleEvery, roleCore, roleOwner, roleLocal, roleCentral, roleAgent, roleFront, wholeEdge, wholeSide, busiest}

// kindRoles names, for each kind of message, the role that sends it and the one
// whose work it is to take it.
var kindRoles = map[reflect.Type][2]string{
	reflect.TypeFor[wire.Gossip]():            {roleEvery, roleEvery},
	reflect.TypeFor[wire.Digest]():            {roleEvery, roleEvery},
	reflect.TypeFor[wire.DigestReply]():       {roleEvery, roleEvery},
	reflect.TypeFor[wire.PollRequest]():       {roleEvery, roleCore},
	reflect.TypeFor[wire.PollResponse]():      {roleCore, roleEvery},
	reflect.TypeFor[register.Prepare]():       {roleEvery, roleCore},
	reflect.TypeFor[register.Promise]():       {roleCore, roleEvery},
	reflect.TypeFor[register.Accept]():        {roleEvery, roleCore},
	reflect.TypeFor[register.Accepted]():      {roleCore, roleEvery},
	reflect.TypeFor[wire.RegisterRead]():      {roleEvery, roleCore},
	reflect.TypeFor[wire.RegisterValue]():     {roleCore, roleEvery},
	reflect.TypeFor[wire.SealRequest]():       {roleOwner, roleCore},
	reflect.TypeFor[wire.SealResponse]():      {roleCore, roleOwner},
	reflect.TypeFor[wire.WriteRequest]():      {roleOwner, roleCore},
	reflect.TypeFor[wire.WriteResponse]():     {roleCore, roleOwner},
	reflect.TypeFor[wire.FetchRequest]():      {roleOwner, roleCore},
	reflect.TypeFor[wire.FetchResponse]():     {roleCore, roleOwner},
	reflect.TypeFor[wire.Forward]():           {roleFront, roleOwner},
	reflect.TypeFor[wire.ForwardReply]():      {roleOwner, roleFront},
	reflect.TypeFor[wire.Placement]():         {roleLocal, roleAgent},
	reflect.TypeFor[wire.AgentReport]():       {roleAgent, roleOwner},
	reflect.TypeFor[wire.OwnerReply]():        {roleOwner, roleAgent},
	reflect.TypeFor[wire.AllocationRequest](): {roleOwner, roleCentral},
	reflect.TypeFor[wire.Allocation]():        {roleCentral, roleOwner},
	reflect.TypeFor[wire.Ranks]():             {roleCentral, roleLocal},
	reflect.TypeFor[wire.Promotion]():         {roleCentral, roleAgent},
	reflect.TypeFor[wire.Estimates]():         {roleOwner, roleLocal},
	reflect.TypeFor[wire.FormRequest]():       {roleCore, roleCore},
	reflect.TypeFor[wire.FormResponse]():      {roleCore, roleCore},
	reflect.TypeFor[wire.CopyRequest]():       {roleCore, roleCore},
	reflect.TypeFor[wire.CopyResponse]():      {roleCore, roleCore},
}

// stateRoles names the parts of a daemon's state by the role that needs them.
var stateRoles = map[string]string{
	"peers": roleEvery, "core": roleEvery, "leases": roleEvery, "changes": roleEvery, "config": roleEvery,
	"store": roleCore, "granter": roleCore, "forming": roleCore, "learner": roleCore, "owned": roleOwner, "workers": roleOwner, "estimates": roleLocal,
	"ranks": roleLocal, "agents": roleAgent, "central": roleCentral, "forwarded": roleFront, "quorumReads": roleFront,
}

func kindName(kind uint8) string {
	if t := messageType(kind); t != nil {
		return t.Name()
	}
	return fmt.Sprint("kind ", kind)
}

// messageType gives the type of a kind's messages, nil for an unknown kind.
func messageType(kind uint8) reflect.Type {
	t, _ := wire.MessageType(kind)
	return t
}

// takerOf tells whose work a message is at the daemon that takes it.
func takerOf(msg any) string {
	switch m := msg.(type) {
	case *wire.AgentReport:
		if m.Shard == "" {
			return roleCentral
		}
	case *wire.Forward:
		if strings.HasPrefix(m.Op, "worker.") {
			return roleAgent
		}
	}
	return kindRoles[reflect.TypeOf(msg).Elem()][1]
}

// tally is a count and what it sums up.
type tally struct{ N, Bytes int64 }

func (t tally) plus(o tally) tally { return tally{t.N + o.N, t.Bytes + o.Bytes} }
func (t tally) most(o tally) tally { return tally{max(t.N, o.N), max(t.Bytes, o.Bytes)} }

// flow is a role's traffic in one kind of message.
type flow struct {
	Role, Kind string
	Out        bool
}

// meter counts one daemon's messages at the wire, and the time that its control
// thread spends for each role. A nil meter, as in the product, counts nothing.
type meter struct {
	mu    sync.Mutex
	flows map[flow]tally
	spent map[string]work // by role: reducer and shell
	mark  instant
	role  string // whose the event being reduced is
}

// instant is a time by the thread's processor time and by the wall.
type instant struct {
	thread int
	spent  int64 // ns
	wall   time.Time
}

func now() instant {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts)
	return instant{unix.Gettid(), ts.Nano(), time.Now()}
}

// work is the processor time of a role's steps. A step that was moved to another
// thread on its way shows nothing: it counts as long as the mean of the others.
type work struct {
	sum         time.Duration
	good, moved int64
}

func (w work) add(from, to instant) work {
	if d := time.Duration(to.spent - from.spent); from.thread == to.thread && d >= 0 && d <= to.wall.Sub(from.wall)+time.Millisecond {
		return work{w.sum + d, w.good + 1, w.moved}
	}
	return work{w.sum, w.good, w.moved + 1}
}

func (w work) time() time.Duration {
	if w.good == 0 {
		return 0
	}
	return w.sum + w.sum*time.Duration(w.moved)/time.Duration(w.good)
}

func newMeter() *meter { return &meter{flows: map[flow]tally{}, spent: map[string]work{}} }

func (m *meter) add(f flow, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.flows[f]
	m.flows[f] = tally{t.N + 1, t.Bytes + int64(bytes) + 4} // the length that the stream puts before a frame
}

func (m *meter) Sent(frame []byte) {
	if m == nil {
		return
	}
	kind := wire.FrameKind(frame)
	m.add(flow{kindRoles[messageType(kind)][0], kindName(kind), true}, len(frame))
}

func (m *meter) Received(msg any, bytes int) {
	if m == nil {
		return
	}
	m.add(flow{takerOf(msg), reflect.TypeOf(msg).Elem().Name(), false}, bytes)
}

func (m *meter) begin() {
	if m != nil {
		m.mark = now()
	}
}

// lap gives the time since the last one to a role.
func (m *meter) lap(role string) {
	at := now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spent[role] = m.spent[role].add(m.mark, at)
	m.mark = at
}

func (m *meter) reduced(body any) {
	if m == nil {
		return
	}
	role := roleEvery
	switch e := body.(type) {
	case evMsg:
		role = takerOf(e.Msg)
	case evRequest:
		role = roleFront
		if strings.HasPrefix(e.Op, "worker.") {
			role = roleAgent
		}
	case evOrder:
		role = roleAgent
	case evTick: // its parts were told apart; what is left is the owners' writes
		role = roleOwner
	}
	m.role = role
	m.lap(role)
}

func (m *meter) carried(e effect, began instant) {
	role := roleEvery
	switch x := e.(type) {
	case effSend:
		role = kindRoles[reflect.TypeOf(x.Msg).Elem()][0]
		if _, ok := x.Msg.(*wire.ForwardReply); ok {
			role = roleOwner
		}
	case effAppend, effSnapshot, effWipe:
		role = roleCore
	case effReply:
		role = m.role
	case effOrder:
		role = roleAgent
	}
	at := now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spent[role] = m.spent[role].add(began, at)
}

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
	door     *httpServer
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
		fx.Populate(&h.loop, &h.shell, &h.door))
	if err := h.app.Err(); err != nil {
		return errors.Wrap(errExperiment, err.Error())
	}
	h.shell.meter, h.shell.node.onTickPart = h.meter, h.meter.lap
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
	r := reading{flows: map[flow]tally{}, spent: map[string]time.Duration{}, counts: map[string]int64{}, state: map[string]int64{}, roles: map[string]bool{}, live: h.up}
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
		roleCentral: n.central != nil, roleAgent: len(n.agents) > 0, roleFront: n.HTTP != "" && n.counts["asks_in"] > 0}
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

// hollowWorkers are all workers of an experiment: they take orders and run nothing.
type hollowWorkers struct {
	list    []*hollowWorker
	started func(job string, at time.Time)
}

// hollowWorker beats to the daemon beside it, as the platform's worker does.
type hollowWorker struct {
	all     *hollowWorkers
	name    string
	site    string
	beside  *hollow
	room    int64
	mu      sync.Mutex
	seq     int64
	endings int64 // numbers its ends
	held    time.Time
	running map[string]*hollowRun
	ended   []*hollowRun
}

// hollowRun is one run as a beat tells it.
type hollowRun struct {
	Job     string `json:"job"`
	Round   int32  `json:"round"`
	Step    int32  `json:"step"`
	Index   int32  `json:"index"`
	Run     int32  `json:"run"`
	Percent int64  `json:"percent"`
	N       int64  `json:"n,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	began   time.Time
	lasts   time.Duration
	alarm   *time.Timer
}

func (r *hollowRun) key() string {
	return fmt.Sprint(r.Job, "#", r.Round, "#", r.Step, "#", r.Index, "#", r.Run)
}

func (ws *hollowWorkers) add(ctx context.Context, name, site string, beside *hollow, room int64) {
	w := &hollowWorker{all: ws, name: name, site: site, beside: beside, room: room, running: map[string]*hollowRun{}, ended: []*hollowRun{}}
	ws.list = append(ws.list, w)
	go w.beats(ctx)
}

func (w *hollowWorker) beats(ctx context.Context) {
	for again := int64(heartbeatMs); ctx.Err() == nil; {
		if a := w.beat(ctx); a.AgainMs > 0 {
			again = a.AgainMs
		}
		select {
		case <-time.After(time.Duration(again) * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// beat tells all that runs and has ended, and does what the answer says.
func (w *hollowWorker) beat(ctx context.Context) (a heartbeatReply) {
	w.mu.Lock()
	w.seq++
	running := make([]*hollowRun, 0, len(w.running))
	for _, key := range sorted(w.running) {
		r := w.running[key]
		r.Percent = min(99, int64(100*time.Since(r.began)/r.lasts))
		running = append(running, r)
	}
	body := mustJSON(map[string]any{"seq": w.seq, "site": w.site, "rack": w.site, "labels": map[string]string{}, "capacity": w.room, "running": running, "ended": w.ended})
	w.mu.Unlock()
	t := w.beside.door.product(ctx, platform.Call{Op: "worker.beat", Key: w.name, Expect: -1, Body: body})
	if t.Status != 200 || json.Unmarshal(t.Body, &a) != nil {
		if time.Now().After(w.held) {
			w.lapse()
		}
		return heartbeatReply{}
	}
	w.held = time.Now().Add(time.Duration(a.HoldMs) * time.Millisecond)
	for _, o := range a.Start {
		w.begin(o)
	}
	for _, o := range a.Stop {
		w.finish((&hollowRun{Job: o.Job, Round: o.Round, Step: o.Step, Index: o.Index, Run: o.Run}).key(), "stopped")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = slices.DeleteFunc(w.ended, func(r *hollowRun) bool { return r.N <= a.Seen })
	return a
}

func (w *hollowWorker) begin(o orderView) {
	r := &hollowRun{Job: o.Job, Round: o.Round, Step: o.Step, Index: o.Index, Run: o.Run, began: time.Now(),
		lasts: time.Duration(max(1, gjson.GetBytes(o.Payload, "ms").Int())) * time.Millisecond}
	key := r.key()
	w.mu.Lock()
	w.running[key] = r
	r.alarm = time.AfterFunc(r.lasts, func() { w.finish(key, "ok") })
	w.mu.Unlock()
	w.all.started(o.Job, r.began)
}

func (w *hollowWorker) finish(key, outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.running[key]; r != nil {
		delete(w.running, key)
		r.alarm.Stop()
		w.endings++
		r.N, r.Outcome = w.endings, outcome
		w.ended = append(w.ended, r)
	}
}

// lapse ends all that runs: no daemon held the worker.
func (w *hollowWorker) lapse() {
	w.mu.Lock()
	keys := sorted(w.running)
	w.mu.Unlock()
	for _, key := range keys {
		w.finish(key, "lapsed")
	}
}

func (ws *hollowWorkers) running() (sum int) {
	for _, w := range ws.list {
		w.mu.Lock()
		sum += len(w.running)
		w.mu.Unlock()
	}
	return sum
}

// close ends all runs.
func (ws *hollowWorkers) close() {
	for _, w := range ws.list {
		w.mu.Lock()
		for _, r := range w.running {
			r.alarm.Stop()
		}
		w.mu.Unlock()
	}
}

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
		s.Addr, s.Seeds = addrs[i], addrs[:coreSize]
		if i < f.edges {
			s.Name, s.HTTP, s.Zone = fmt.Sprintf("d%03d", i), addrs[int(e.Daemons+e.Workers)+i], siteName(i, e)
		} else {
			s.Name, s.Zone, s.Colocated = fmt.Sprintf("s%03d", i-f.edges), siteName(i-f.edges, e), true
		}
		if i < coreSize {
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

func siteName(i int, e *experiment) string { return fmt.Sprintf("z%d", i%int(e.Sites)) }

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
		has := p.Daemon == int64(i) || p.Site != "" && p.Site == h.settings.Zone
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
