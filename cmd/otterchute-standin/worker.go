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

// workerCommand simulates a worker. It carries out every order that it receives, without checks of
// capacity or of duplicates, and records each start and end, so that the record shows faults of the
// daemons.
type workerCommand struct {
	name, zone, labels, listen, daemons, recordFile string
	journalFile                                     string
	cores                                           int64
	slowdown                                        float64
	failPct, stallPct                               int
	vanishSeconds                                   int
}

func (*workerCommand) Name() string     { return "worker" }
func (*workerCommand) Synopsis() string { return "simulate one worker" }
func (*workerCommand) Usage() string {
	return "otterchute-standin worker -name N -site S -listen IP:PORT -daemons LIST -room N [flags]\n" +
		"  SIGUSR1 makes the worker leave the cluster; SIGTERM ends the process.\n"
}
func (c *workerCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.name, "name", "w00", "name of the worker")
	fs.StringVar(&c.zone, "site", "east", "site of the worker")
	fs.StringVar(&c.labels, "labels", "", "k=v,k=v")
	fs.StringVar(&c.listen, "listen", "127.0.0.1:9000", "address on which it receives orders")
	fs.StringVar(&c.daemons, "daemons", "127.0.0.1:8000", "comma-separated; the next is used after a failed report")
	fs.StringVar(&c.recordFile, "record", "", "file to record starts and ends in, one JSON object per line")
	fs.StringVar(&c.journalFile, "journal", "", "file that keeps unacknowledged ends across a restart")
	fs.Int64Var(&c.cores, "room", 64, "cores")
	fs.Float64Var(&c.slowdown, "slow", 1, "factor by which runs take longer")
	fs.IntVar(&c.failPct, "fail", 0, "percent of runs that fail")
	fs.IntVar(&c.stallPct, "stall", 0, "percent of runs that make no progress until they are stopped")
	fs.IntVar(&c.vanishSeconds, "vanish", 0, "seconds until the process exits without reporting it; 0 for never")
}

type worker struct {
	*workerCommand
	mu          sync.Mutex
	incarnation string
	seq         int64
	token       string
	leaving     bool
	labels      map[string]string
	running     map[string]*run
	ended       map[string]*run
	wake        chan struct{}
	recordOut   *os.File
	daemonIndex int
	http        *http.Client
}

type run struct {
	ID      string `json:"id"`
	Tag     string `json:"tag"`
	Cores   int64  `json:"room"`
	RanMs   int64  `json:"ran_ms"`
	Outcome string `json:"outcome,omitempty"`
	started time.Time
	stop    chan struct{}
}

func (c *workerCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	w := &worker{
		workerCommand: c, incarnation: strconv.FormatInt(time.Now().UnixNano(), 36), labels: map[string]string{},
		running: map[string]*run{}, ended: map[string]*run{}, wake: make(chan struct{}, 1), http: newHTTPClient(),
	}
	for _, kv := range strings.Split(c.labels, ",") {
		if k, v, ok := strings.Cut(kv, "="); ok {
			w.labels[k] = v
		}
	}
	if c.recordFile != "" {
		f, err := os.OpenFile(c.recordFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return fail(2, err)
		}
		w.recordOut = f
	}
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return fail(2, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", w.startRun)
	mux.HandleFunc("POST /stop", w.stopRun)
	go func() { _ = http.Serve(listener, mux) }()
	w.readJournal()
	w.record(historycheck.Event{Kind: historycheck.WorkerCapacity, Capacity: c.cores, Labels: w.labels, Zone: c.zone})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	var vanish <-chan time.Time
	if c.vanishSeconds > 0 {
		vanish = time.After(time.Duration(c.vanishSeconds) * time.Second)
	}
	go w.reportLoop()
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				w.mu.Lock()
				w.leaving = true
				w.mu.Unlock()
				w.wakeReporter()
				continue
			}
			w.recordCrashes()
			w.writeJournal()
			return 0
		case <-vanish:
			w.recordCrashes()
			os.Exit(0)
		}
	}
}

func (w *worker) record(e historycheck.Event) {
	if w.recordOut == nil {
		return
	}
	e.AtMs, e.Worker = time.Now().UnixMilli(), w.name
	_, _ = w.recordOut.Write(append(mustJSON(e), '\n'))
}

func (w *worker) recordCrashes() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		job, task, _ := historycheck.ParseRun(id)
		w.record(historycheck.Event{Kind: historycheck.End, Job: job, Task: task, Run: id, Text: "crash"})
		delete(w.running, id)
	}
}

// writeJournal saves the unacknowledged ends for the next start.
func (w *worker) writeJournal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.journalFile != "" {
		_ = os.WriteFile(w.journalFile, mustJSON(w.ended), 0o644)
	}
}

func (w *worker) readJournal() {
	if b, err := os.ReadFile(w.journalFile); w.journalFile != "" && err == nil {
		_ = json.Unmarshal(b, &w.ended)
	}
}

func (w *worker) wakeReporter() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) startRun(rw http.ResponseWriter, req *http.Request) {
	var order struct {
		ID, Tag, Class string
		Room           int64
		Payload        historycheck.Work
	}
	if err := json.NewDecoder(req.Body).Decode(&order); err != nil {
		http.Error(rw, err.Error(), 400)
		return
	}
	r := &run{ID: order.ID, Tag: order.Tag, Cores: order.Room, started: time.Now(), stop: make(chan struct{}, 1)}
	job, task, _ := historycheck.ParseRun(order.ID)
	w.mu.Lock()
	w.running[order.ID] = r
	w.record(historycheck.Event{Kind: historycheck.Start, Job: job, Task: task, Run: order.ID, Text: order.Class})
	w.mu.Unlock()
	outcome, duration := "ok", time.Duration(float64(order.Payload.Ms)*w.slowdown)*time.Millisecond
	if rand.IntN(100) < w.failPct || rand.IntN(100) < order.Payload.FailPct {
		outcome = "failed"
	}
	if order.Payload.Stall || rand.IntN(100) < w.stallPct {
		duration = 1000 * time.Hour
	}
	go func() {
		t := time.NewTimer(duration)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.stop:
			outcome = "stopped"
		}
		w.mu.Lock()
		if w.running[order.ID] != r { // the process is ending
			w.mu.Unlock()
			return
		}
		r.Outcome, r.RanMs = outcome, time.Since(r.started).Milliseconds()
		delete(w.running, order.ID)
		w.ended[order.ID] = r
		w.record(historycheck.Event{Kind: historycheck.End, Job: job, Task: task, Run: order.ID, Text: outcome})
		w.mu.Unlock()
		w.wakeReporter()
	}()
	rw.WriteHeader(200)
}

func (w *worker) stopRun(rw http.ResponseWriter, req *http.Request) {
	var order struct{ ID string }
	_ = json.NewDecoder(req.Body).Decode(&order)
	w.mu.Lock()
	if r := w.running[order.ID]; r != nil {
		select {
		case r.stop <- struct{}{}:
		default:
		}
	}
	w.mu.Unlock()
	rw.WriteHeader(200)
}

// reportLoop reports the worker's state to one daemon after each end and every 300 ms.
func (w *worker) reportLoop() {
	daemons := strings.Split(w.daemons, ",")
	w.daemonIndex = int(w.name[len(w.name)-1]) % len(daemons)
	for {
		wait := 300 * time.Millisecond
		if !w.report(daemons[w.daemonIndex%len(daemons)]) {
			w.daemonIndex++
			wait = 200 * time.Millisecond
		}
		select {
		case <-w.wake:
			time.Sleep(2 * time.Millisecond) // runs that end together share one report
		case <-time.After(wait):
		}
	}
}

func (w *worker) report(daemon string) bool {
	w.mu.Lock()
	w.seq++
	freeCores, running, ended := w.cores, []run{}, []run{}
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		r := *w.running[id]
		r.RanMs = time.Since(r.started).Milliseconds()
		freeCores -= r.Cores
		running = append(running, r)
	}
	for _, id := range slices.Sorted(maps.Keys(w.ended)) {
		ended = append(ended, *w.ended[id])
	}
	leaving := w.leaving
	body := mustJSON(map[string]any{
		"incarnation": w.incarnation, "seq": w.seq, "address": w.listen, "site": w.zone, "labels": w.labels,
		"free": max(freeCores, 0), "leaving": leaving, "token": w.token, "running": running, "ended": ended,
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
		w.record(historycheck.Event{Kind: historycheck.WorkerLeaving})
	}
	return true
}
