package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
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
)

var allRoles = []string{roleEvery, roleCore, roleOwner, roleLocal, roleCentral, roleAgent, roleFront}

// kindRoles names, for each kind of message, the role that sends it and the one
// whose work it is to take it.
var kindRoles = map[string][2]string{
	"gossipMsg": {roleEvery, roleEvery}, "pollMsg": {roleEvery, roleCore}, "pollAck": {roleCore, roleEvery},
	"prepareMsg": {roleEvery, roleCore}, "promiseMsg": {roleCore, roleEvery}, "acceptMsg": {roleEvery, roleCore}, "acceptedMsg": {roleCore, roleEvery},
	"readRegMsg": {roleEvery, roleCore}, "regMsg": {roleCore, roleEvery},
	"sealMsg": {roleOwner, roleCore}, "sealedMsg": {roleCore, roleOwner}, "writeMsg": {roleOwner, roleCore}, "wroteMsg": {roleCore, roleOwner},
	"fetchMsg": {roleOwner, roleCore}, "fetchedMsg": {roleCore, roleOwner}, "askMsg": {roleFront, roleOwner}, "answerMsg": {roleOwner, roleFront},
	"placeMsg": {roleLocal, roleAgent}, "syncMsg": {roleAgent, roleOwner}, "syncAck": {roleOwner, roleAgent}, "wantMsg": {roleOwner, roleCentral},
	"grantMsg": {roleCentral, roleOwner}, "ranksMsg": {roleCentral, roleLocal}, "promoteMsg": {roleCentral, roleAgent}, "learnedMsg": {roleOwner, roleLocal},
	"formMsg": {roleCore, roleCore}, "formedMsg": {roleCore, roleCore}, "copyMsg": {roleCore, roleCore}, "copiedMsg": {roleCore, roleCore},
}

// stateRoles names the parts of a daemon's state by the role that needs them.
var stateRoles = map[string]string{
	"siblings": roleEvery, "core": roleEvery, "duties": roleEvery, "views": roleEvery, "ops": roleEvery, "poll": roleEvery, "setup": roleEvery,
	"store": roleCore, "forming": roleCore, "joining": roleCore, "owned": roleOwner, "workers": roleOwner, "learned": roleLocal, "ranks": roleLocal,
	"agents": roleAgent, "central": roleCentral, "asks": roleFront, "reads": roleFront,
}

func kindName(kind int32) string {
	if t, ok := messageTypes[kind]; ok {
		return t.Name()
	}
	return fmt.Sprint("kind ", kind)
}

// takerOf tells whose work a message is at the daemon that takes it.
func takerOf(msg any) string {
	switch m := msg.(type) {
	case *syncMsg:
		if m.Slice == "" {
			return roleCentral
		}
	case *askMsg:
		if strings.HasPrefix(m.Op, "worker.") {
			return roleAgent
		}
	}
	return kindRoles[reflect.TypeOf(msg).Elem().Name()][1]
}

// tally is a count and what it sums up.
type tally struct{ N, Bytes int64 }

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
	spent map[string]time.Duration // by role: reducer and shell
	read  time.Duration            // taking frames apart, on the wire's threads
	mark  time.Time
}

func newMeter() *meter { return &meter{flows: map[flow]tally{}, spent: map[string]time.Duration{}} }

func (m *meter) add(f flow, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.flows[f]
	m.flows[f] = tally{t.N + 1, t.Bytes + int64(bytes) + 4} // the length that the stream puts before a frame
}

func (m *meter) sent(frame []byte) {
	if m == nil {
		return
	}
	kind := kindName(int32(binary.BigEndian.Uint32(frame[16:]))) // after checksum, magic and version
	m.add(flow{kindRoles[kind][0], kind, true}, len(frame))
}

func (m *meter) heard(msg any, bytes int) {
	if m == nil {
		return
	}
	m.add(flow{takerOf(msg), reflect.TypeOf(msg).Elem().Name(), false}, bytes)
}

func (m *meter) begin() {
	if m != nil {
		m.mark = time.Now()
	}
}

// lap gives the time since the last one to a role.
func (m *meter) lap(role string) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spent[role] += now.Sub(m.mark)
	m.mark = now
}

func (m *meter) reduced(body any) {
	if m == nil {
		return
	}
	role := roleEvery
	switch e := body.(type) {
	case evMsg:
		role = takerOf(e.Msg)
	case evAsk:
		role = roleFront
		if strings.HasPrefix(e.Op, "worker.") {
			role = roleAgent
		}
	case evOrder:
		role = roleAgent
	case evTick: // its parts were told apart; what is left is the owners' writes
		role = roleOwner
	}
	m.lap(role)
}

func (m *meter) carried(e effect, began time.Time) {
	role := roleEvery
	switch x := e.(type) {
	case effSend:
		role = kindRoles[reflect.TypeOf(x.Msg).Elem().Name()][0]
		if _, ok := x.Msg.(*answerMsg); ok {
			role = roleOwner
		}
	case effAppend, effSnapshot, effWipe:
		role = roleCore
	case effReply:
		role = roleFront
	case effOrder:
		role = roleAgent
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spent[role] += time.Since(began)
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
	loop     *loop
	shell    *shell
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
	var w *wire
	h.meter = newMeter()
	h.app = fx.New(daemonModules(h.settings), fx.Decorate(func(logr.Logger) logr.Logger { return logr.New(hollowLog{h}) }),
		fx.Populate(&h.loop, &h.shell, &w))
	if err := h.app.Err(); err != nil {
		return errors.Wrap(errExperiment, err.Error())
	}
	w.meter, h.shell.meter, h.shell.n.lap = h.meter, h.meter, h.meter.lap
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
func (h *hollow) on(do func(*shell)) {
	done := make(chan struct{})
	h.loop.post(func(s *shell) {
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
	h.on(func(s *shell) {
		h.meter.mu.Lock()
		for k, v := range h.meter.flows {
			r.flows[k] = v
		}
		for k, v := range h.meter.spent {
			r.spent[k] = v
		}
		h.meter.mu.Unlock()
		for k, v := range s.n.counts {
			r.counts[k] = v
		}
		r.roles = s.n.rolesHeld()
		if whole {
			r.state = stateOf(s.n)
		}
	})
	return r
}

func (n *node) rolesHeld() map[string]bool {
	return map[string]bool{roleEvery: true, roleCore: n.inCore(), roleOwner: len(n.owned) > 0, roleLocal: len(n.owned) > 0,
		roleCentral: n.central != nil, roleAgent: len(n.agents) > 0, roleFront: n.counts["asks_in"] > 0}
}

// stateOf gives about how many bytes each role's part of the state takes.
func stateOf(n *node) map[string]int64 {
	out := map[string]int64{}
	v := reflect.ValueOf(n).Elem()
	for i := range v.NumField() {
		if role, ok := stateRoles[v.Type().Field(i).Name]; ok {
			out[role] += deepSize(v.Field(i), map[uintptr]bool{})
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
		if plain(v.Type().Elem().Kind()) {
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

func plain(k reflect.Kind) bool { return k >= reflect.Bool && k <= reflect.Complex128 }

// hollowWorkers are all workers of an experiment: they report, take orders and
// run nothing.
type hollowWorkers struct {
	at      string
	server  *http.Server
	calls   http.Client
	list    []*hollowWorker
	started func(job string, at time.Time)
}

type hollowWorker struct {
	all     *hollowWorkers
	name    string
	site    string
	daemon  string // HTTP
	room    int64
	mu      sync.Mutex
	seq     int64
	token   string
	running map[string]*hollowRun
	ended   map[string]*hollowRun
	wake    chan struct{}
}

type hollowRun struct {
	ID      string `json:"id"`
	Tag     string `json:"tag"`
	Room    int64  `json:"room"`
	RanMs   int64  `json:"ran_ms"`
	Outcome string `json:"outcome,omitempty"`
	began   time.Time
	alarm   *time.Timer
}

func newHollowWorkers(addr string, started func(string, time.Time)) (*hollowWorkers, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(errExperiment, err.Error())
	}
	ws := &hollowWorkers{at: addr, started: started,
		calls: http.Client{Timeout: replyMs * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{worker}/run", ws.take)
	mux.HandleFunc("POST /{worker}/stop", ws.end)
	ws.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = ws.server.Serve(ln) }()
	return ws, nil
}

func (ws *hollowWorkers) add(ctx context.Context, name, site, daemon string, room int64) {
	w := &hollowWorker{all: ws, name: name, site: site, daemon: daemon, room: room, running: map[string]*hollowRun{}, ended: map[string]*hollowRun{}, wake: make(chan struct{}, 1)}
	ws.list = append(ws.list, w)
	go w.reports(ctx)
}

func (ws *hollowWorkers) named(name string) *hollowWorker {
	for _, w := range ws.list {
		if w.name == name {
			return w
		}
	}
	return nil
}

func (ws *hollowWorkers) take(rw http.ResponseWriter, r *http.Request) {
	w := ws.named(r.PathValue("worker"))
	var o struct {
		ID, Tag string
		Job     string
		Room    int64
		Payload struct{ Ms int64 }
	}
	if w == nil || json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(rw, "no such worker, or no order", 400)
		return
	}
	w.begin(&hollowRun{ID: o.ID, Tag: o.Tag, Room: o.Room, began: time.Now()}, o.Job, o.Payload.Ms)
}

func (w *hollowWorker) begin(run *hollowRun, job string, ms int64) {
	w.mu.Lock()
	w.running[run.ID] = run
	run.alarm = time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { w.finish(run.ID, "ok") })
	w.mu.Unlock()
	w.all.started(job, run.began)
}

func (ws *hollowWorkers) end(_ http.ResponseWriter, r *http.Request) {
	var o struct{ ID string }
	if w := ws.named(r.PathValue("worker")); w != nil && json.NewDecoder(r.Body).Decode(&o) == nil {
		w.finish(o.ID, "stopped")
	}
}

func (w *hollowWorker) finish(id, outcome string) {
	w.mu.Lock()
	if r := w.running[id]; r != nil {
		delete(w.running, id)
		r.Outcome, r.RanMs = outcome, time.Since(r.began).Milliseconds()
		w.ended[id] = r
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *hollowWorker) reports(ctx context.Context) {
	for ctx.Err() == nil {
		w.report(ctx)
		select {
		case <-w.wake:
			time.Sleep(2 * time.Millisecond) // ends that come together go together
		case <-time.After(syncMs * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (w *hollowWorker) report(ctx context.Context) {
	w.mu.Lock()
	w.seq++
	free, running, ended := w.room, []hollowRun{}, []hollowRun{}
	for _, id := range sorted(w.running) {
		r := *w.running[id]
		r.RanMs = time.Since(r.began).Milliseconds()
		free -= r.Room
		running = append(running, r)
	}
	for _, id := range sorted(w.ended) {
		ended = append(ended, *w.ended[id])
	}
	body := jsonOf(map[string]any{"incarnation": "one", "seq": w.seq, "address": w.all.at + "/" + w.name, "site": w.site, "free": max(free, 0), "token": w.token,
		"running": running, "ended": ended})
	w.mu.Unlock()
	t := call(ctx, &w.all.calls, "POST", "http://"+w.daemon+"/v1/workers/"+w.name+"/report", body)
	if t.status != 200 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.token = gjson.GetBytes(t.body, "token").Str
	for _, id := range gjson.GetBytes(t.body, "acked").Array() {
		delete(w.ended, id.Str)
	}
}

func (ws *hollowWorkers) running() int {
	sum := 0
	for _, w := range ws.list {
		w.mu.Lock()
		sum += len(w.running)
		w.mu.Unlock()
	}
	return sum
}

// hollowFleet is all that one experiment runs.
type hollowFleet struct {
	daemons []*hollow
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
	addrs, err := freeAddrs(int(e.Port), int(2*e.Daemons+1))
	if err != nil {
		return f, err
	}
	note := func(_, event string, _ []any) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.logged[event]++
	}
	for i := range int(e.Daemons) {
		s := defaultSettings()
		s.Name, s.Addr, s.HTTP, s.Site = fmt.Sprintf("d%03d", i), addrs[2*i], addrs[2*i+1], siteName(i, e)
		s.Seeds = []string{addrs[0], addrs[2], addrs[4]}
		if i < coreSize {
			s.Data = filepath.Join(folder, s.Name)
		}
		if err := s.check(); err != nil {
			return f, err
		}
		h := &hollow{settings: s, note: note}
		if err := h.start(ctx); err != nil {
			return f, err
		}
		f.daemons = append(f.daemons, h)
	}
	if f.workers, err = newHollowWorkers(addrs[2*e.Daemons], started); err != nil {
		return f, err
	}
	for i := range int(e.Workers) {
		f.workers.add(ctx, fmt.Sprintf("w%03d", i), siteName(i, e), f.daemons[i%len(f.daemons)].settings.HTTP, e.Room)
	}
	return f, nil
}

func siteName(i int, e *experiment) string { return fmt.Sprintf("z%d", i%int(e.Sites)) }

func (f *hollowFleet) close() {
	if f.workers != nil {
		_ = f.workers.server.Close()
		for _, w := range f.workers.list {
			w.mu.Lock()
			for _, r := range w.running {
				r.alarm.Stop()
			}
			w.mu.Unlock()
		}
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

// inForce tells whether every live daemon runs on a version, lately confirmed.
func (f *hollowFleet) inForce(version int64) bool {
	return !slices.ContainsFunc(f.daemons, func(h *hollow) bool {
		ok := true
		if h.up {
			h.on(func(s *shell) { ok = s.n.setup.cur.Version >= version && s.n.setupFresh() })
		}
		return !ok
	})
}
