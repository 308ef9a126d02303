package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"otterchute/internal/historycheck"

	"github.com/google/subcommands"
	"github.com/tidwall/gjson"
)

// workerCommand is a back end, dumb on purpose: it runs whatever it is told,
// guards no room and removes no duplicates. It only records.
type workerCommand struct {
	name, zone, labels, listen, daemons, record string
	journal                                     string
	room                                        int64
	slow                                        float64
	failPct, stallPct                           int
	vanishS                                     int
}

func (*workerCommand) Name() string     { return "worker" }
func (*workerCommand) Synopsis() string { return "be one worker" }
func (*workerCommand) Usage() string {
	return "otterchute-standin worker -name N -site S -listen IP:PORT -daemons LIST -room N [flags]\n" +
		"  SIGUSR1 makes it leave; SIGTERM ends it.\n"
}
func (c *workerCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.name, "name", "w00", "its name")
	fs.StringVar(&c.zone, "site", "east", "its site")
	fs.StringVar(&c.labels, "labels", "", "k=v,k=v")
	fs.StringVar(&c.listen, "listen", "127.0.0.1:9000", "where it takes orders")
	fs.StringVar(&c.daemons, "daemons", "127.0.0.1:8000", "daemons it reports to, in turn after silence")
	fs.StringVar(&c.record, "record", "", "file for starts and ends, one JSON line each")
	fs.StringVar(&c.journal, "journal", "", "file that keeps ends not yet acknowledged over a restart")
	fs.Int64Var(&c.room, "room", 64, "cores")
	fs.Float64Var(&c.slow, "slow", 1, "how many times longer everything takes")
	fs.IntVar(&c.failPct, "fail", 0, "percent of runs that fail")
	fs.IntVar(&c.stallPct, "stall", 0, "percent of runs that stand still")
	fs.IntVar(&c.vanishS, "vanish", 0, "seconds until it is gone without a word; 0 for never")
}

type worker struct {
	*workerCommand
	mu      sync.Mutex
	inc     string
	seq     int64
	token   string
	leaving bool
	labels  map[string]string
	running map[string]*run
	ended   map[string]*run
	wake    chan struct{}
	out     *os.File
	use     int
	http    *http.Client
}

type run struct {
	ID      string `json:"id"`
	Tag     string `json:"tag"`
	Room    int64  `json:"room"`
	RanMs   int64  `json:"ran_ms"`
	Outcome string `json:"outcome,omitempty"`
	started time.Time
	stop    chan struct{}
}

func (c *workerCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	w := &worker{
		workerCommand: c, inc: strconv.FormatInt(time.Now().UnixNano(), 36), labels: map[string]string{},
		running: map[string]*run{}, ended: map[string]*run{}, wake: make(chan struct{}, 1), http: newHTTP(),
	}
	for _, kv := range strings.Split(c.labels, ",") {
		if k, v, ok := strings.Cut(kv, "="); ok {
			w.labels[k] = v
		}
	}
	if c.record != "" {
		f, err := os.OpenFile(c.record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return fail(2, err)
		}
		w.out = f
	}
	ln, err := net.Listen("tcp", c.listen)
	if err != nil {
		return fail(2, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", w.take)
	mux.HandleFunc("POST /stop", w.stopRun)
	go func() { _ = http.Serve(ln, mux) }()
	w.readJournal()
	w.note(historycheck.Event{Kind: historycheck.WorkerCapacity, Capacity: c.room, Labels: w.labels, Zone: c.zone})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	var vanish <-chan time.Time
	if c.vanishS > 0 {
		vanish = time.After(time.Duration(c.vanishS) * time.Second)
	}
	go w.reports()
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				w.mu.Lock()
				w.leaving = true
				w.mu.Unlock()
				w.poke()
				continue
			}
			w.crashNotes()
			w.writeJournal()
			return 0
		case <-vanish:
			w.crashNotes()
			os.Exit(0)
		}
	}
}

func (w *worker) note(e historycheck.Event) {
	if w.out == nil {
		return
	}
	e.AtMs, e.Worker = time.Now().UnixMilli(), w.name
	_, _ = w.out.Write(append(mustJSON(e), '\n'))
}

func (w *worker) crashNotes() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		job, task, _ := historycheck.ParseRun(id)
		w.note(historycheck.Event{Kind: historycheck.End, Job: job, Task: task, Run: id, Text: "crash"})
		delete(w.running, id)
	}
}

// writeJournal keeps what no answer has acknowledged, for the next start.
func (w *worker) writeJournal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.journal != "" {
		_ = os.WriteFile(w.journal, mustJSON(w.ended), 0o644)
	}
}

func (w *worker) readJournal() {
	if b, err := os.ReadFile(w.journal); w.journal != "" && err == nil {
		_ = json.Unmarshal(b, &w.ended)
	}
}

func (w *worker) poke() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) take(rw http.ResponseWriter, req *http.Request) {
	var o struct {
		ID, Tag, Class string
		Room           int64
		Payload        historycheck.Work
	}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), 400)
		return
	}
	r := &run{ID: o.ID, Tag: o.Tag, Room: o.Room, started: time.Now(), stop: make(chan struct{}, 1)}
	job, task, _ := historycheck.ParseRun(o.ID)
	w.mu.Lock()
	w.running[o.ID] = r
	w.note(historycheck.Event{Kind: historycheck.Start, Job: job, Task: task, Run: o.ID, Text: o.Class})
	w.mu.Unlock()
	outcome, last := "ok", time.Duration(float64(o.Payload.Ms)*w.slow)*time.Millisecond
	if rand.IntN(100) < w.failPct || rand.IntN(100) < o.Payload.FailPct {
		outcome = "failed"
	}
	if o.Payload.Stall || rand.IntN(100) < w.stallPct {
		last = 1000 * time.Hour
	}
	go func() {
		t := time.NewTimer(last)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.stop:
			outcome = "stopped"
		}
		w.mu.Lock()
		if w.running[o.ID] != r { // the process is ending
			w.mu.Unlock()
			return
		}
		r.Outcome, r.RanMs = outcome, time.Since(r.started).Milliseconds()
		delete(w.running, o.ID)
		w.ended[o.ID] = r
		w.note(historycheck.Event{Kind: historycheck.End, Job: job, Task: task, Run: o.ID, Text: outcome})
		w.mu.Unlock()
		w.poke()
	}()
	rw.WriteHeader(200)
}

func (w *worker) stopRun(rw http.ResponseWriter, req *http.Request) {
	var o struct{ ID string }
	_ = json.NewDecoder(req.Body).Decode(&o)
	w.mu.Lock()
	if r := w.running[o.ID]; r != nil {
		select {
		case r.stop <- struct{}{}:
		default:
		}
	}
	w.mu.Unlock()
	rw.WriteHeader(200)
}

// reports tells its state to one daemon after each end and every 300 ms.
func (w *worker) reports() {
	daemons := strings.Split(w.daemons, ",")
	w.use = int(w.name[len(w.name)-1]) % len(daemons)
	for {
		wait := 300 * time.Millisecond
		if !w.report(daemons[w.use%len(daemons)]) {
			w.use++
			wait = 200 * time.Millisecond
		}
		select {
		case <-w.wake:
			time.Sleep(2 * time.Millisecond) // ends that come together go together
		case <-time.After(wait):
		}
	}
}

func (w *worker) report(daemon string) bool {
	w.mu.Lock()
	w.seq++
	free, running, ended := w.room, []run{}, []run{}
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		r := *w.running[id]
		r.RanMs = time.Since(r.started).Milliseconds()
		free -= r.Room
		running = append(running, r)
	}
	for _, id := range slices.Sorted(maps.Keys(w.ended)) {
		ended = append(ended, *w.ended[id])
	}
	leaving := w.leaving
	body := mustJSON(map[string]any{
		"incarnation": w.inc, "seq": w.seq, "address": w.listen, "site": w.zone, "labels": w.labels,
		"free": max(free, 0), "leaving": leaving, "token": w.token, "running": running, "ended": ended,
	})
	w.mu.Unlock()
	status, _, b := request(w.http, "POST", fmt.Sprintf("http://%s/v1/workers/%s/report", daemon, w.name), body)
	if status != 200 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.token = gjson.GetBytes(b, "token").Str
	for _, id := range gjson.GetBytes(b, "acked").Array() {
		delete(w.ended, id.Str)
	}
	if leaving {
		w.note(historycheck.Event{Kind: historycheck.WorkerLeaving})
	}
	return true
}
