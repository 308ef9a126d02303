package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	capacityCPU  = 64000
	capacityMem  = 131072
	stopMs       = 100 // below stopGraceMs
	holdLimitMs  = 10000
	retryPauseMs = 100
)

// worker is a sound worker beside a daemon: it beats, starts and stops what it is told, lists what runs and
// what has ended, and ends everything when its hold is over.
type worker struct {
	f       *fleet
	machine *machine
	id      string
	rack    string

	mu        sync.Mutex
	up        bool
	sequence  int64
	holdUntil time.Time
	fence     int64
	running   map[string]*taskRun // by task
	lastRuns  map[string]int64    // task -> highest run that was stopped or ended here
	finished  []finishedRun
	endNumber int64
	wake      chan struct{}
	via       string // another address for the beats than the daemon's own; empty for none
}

type taskRun struct {
	task     string
	run      int64
	started  time.Time
	work     time.Duration
	stopping bool
}

type finishedRun struct {
	n    int64
	task string
	run  int64
	how  string
}

func newWorker(f *fleet, m *machine, index, life int) *worker {
	return &worker{f: f, machine: m, id: fmt.Sprintf("i-%s-life%d", m.name, life), rack: fmt.Sprintf("r%d", index/3), up: true,
		running: map[string]*taskRun{}, lastRuns: map[string]int64{}, wake: make(chan struct{}, 1)}
}

// beat is what a worker says of itself.
func (w *worker) beat() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	running := [][]any{}
	for _, r := range w.running {
		percent := min(99, int64(100*time.Since(r.started)/r.work))
		running = append(running, []any{r.task, r.run, "", percent})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	finished := [][]any{}
	for _, e := range w.finished[:min(500, len(w.finished))] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	body, _ := json.Marshal(map[string]any{
		"service": service, "address": w.machine.ip + ":8080", "zone": w.machine.zone, "configVersion": "v1", "taskSlots": 8,
		"state": "ready", "coldRemainingMs": 0,
		"freeCapacity": map[string]int{"cpu": capacityCPU, "taskMemoryMb": capacityMem, "gpu": 0},
		"labels":       []string{"a", w.rack}, "clockMs": time.Since(w.f.begin).Milliseconds(), "callSequence": w.sequence,
		"running": running, "finished": finished,
	})
	return body
}

// run beats until the worker is down.
func (w *worker) run() {
	go w.work()
	for w.isUp() {
		sent := time.Now()
		status, body := w.f.call(time.Second, http.MethodPut, w.f.control(w.machine), "/workers/"+w.id, "", w.beat(), nil)
		pause := retryPauseMs * time.Millisecond
		if status >= 200 && status < 300 && w.isUp() {
			pause = w.obey(body, sent)
		}
		select {
		case <-time.After(pause):
		case <-w.wake:
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (w *worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// obey carries out the answer to a beat, and returns when to beat again.
func (w *worker) obey(body []byte, sent time.Time) time.Duration {
	var answer struct {
		HoldMs       *int64  `json:"holdMs"`
		LastSeen     int64   `json:"lastSeen"`
		FenceNumber  int64   `json:"fenceNumber"`
		Start        [][]any `json:"start"`
		Stop         [][]any `json:"stop"`
		RetryAfterMs int64   `json:"retryAfterMs"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return retryPauseMs * time.Millisecond
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || answer.FenceNumber < w.fence {
		return retryPauseMs * time.Millisecond
	}
	w.fence = answer.FenceNumber
	kept := w.finished[:0]
	for _, e := range w.finished {
		if e.n > answer.LastSeen {
			kept = append(kept, e)
		} else if e.how == "done" {
			w.f.add("worker    %s: end %d (%s run %d done) taken note of", w.id, e.n, e.task, e.run)
		}
	}
	w.finished = kept
	if answer.HoldMs != nil {
		if until := sent.Add(time.Duration(min(*answer.HoldMs, holdLimitMs)) * time.Millisecond); until.After(w.holdUntil) {
			w.holdUntil = until
		}
	}
	for _, s := range answer.Stop {
		if r := w.running[s[0].(string)]; r != nil && r.run <= int64(s[1].(float64)) && !r.stopping {
			r.stopping = true
			time.AfterFunc(stopMs*time.Millisecond, func() { w.end(r, "stopped") })
		} else if r == nil {
			w.lastRuns[s[0].(string)] = max(w.lastRuns[s[0].(string)], int64(s[1].(float64)))
		}
	}
	for _, s := range answer.Start {
		w.startRun(s, answer.HoldMs != nil)
	}
	pause := time.Duration(answer.RetryAfterMs) * time.Millisecond
	if pause <= 0 {
		pause = 500 * time.Millisecond
	}
	return pause
}

// startRun starts one run. The worker's lock is held.
func (w *worker) startRun(order []any, held bool) {
	task, run, spec := order[0].(string), int64(order[1].(float64)), order[2].(string)
	var workMs int
	_, err := fmt.Sscanf(spec, "work %d ms", &workMs)
	if old := w.running[task]; old != nil || run <= w.lastRuns[task] || !held || err != nil {
		w.f.add("worker    %s: %s run %d refused", w.id, task, run)
		w.endNumber++
		w.finished = append(w.finished, finishedRun{w.endNumber, task, run, "refused"})
		return
	}
	w.running[task] = &taskRun{task: task, run: run, started: time.Now(), work: time.Duration(workMs) * time.Millisecond}
	w.f.runs.started(task, run, w.id, spec)
}

// end ends one run.
func (w *worker) end(r *taskRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up && w.running[r.task] == r {
		w.endLocked(r, how)
	}
}

func (w *worker) endLocked(r *taskRun, how string) {
	delete(w.running, r.task)
	w.lastRuns[r.task] = max(w.lastRuns[r.task], r.run)
	w.endNumber++
	w.finished = append(w.finished, finishedRun{w.endNumber, r.task, r.run, how})
	w.f.runs.ended(r.task, r.run, w.id, how)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// work ends runs that are done, and all of them when the hold is over.
func (w *worker) work() {
	for w.isUp() {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		for _, r := range w.running {
			switch {
			case !w.up:
			case time.Now().After(w.holdUntil):
				w.endLocked(r, "lapsed")
			case !r.stopping && time.Since(r.started) >= r.work:
				w.endLocked(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// down ends the worker: all that runs on it dies with it, and it says nothing any more.
func (w *worker) down(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	w.f.add("worker    %s is down (%s)", w.id, why)
	for _, r := range w.running {
		w.f.runs.ended(r.task, r.run, w.id, "died with its worker")
	}
	w.running = map[string]*taskRun{}
}

// count returns how many tasks run here.
func (w *worker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// ledger is what the workers ran, and the judge of it.
type ledger struct {
	*record
	mu     sync.Mutex
	jobs   map[string]bool
	open   map[string]map[string]int64 // task -> worker -> run
	starts int
	done   int
	twice  []string
	other  []string
	specs  map[string]string
}

func newLedger(r *record) *ledger {
	return &ledger{record: r, jobs: map[string]bool{}, open: map[string]map[string]int64{}, specs: map[string]string{}}
}

func (l *ledger) handIn(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id] = true
}

// started judges a start: no other run of the task may be going on at a worker that is up.
func (l *ledger) started(task string, run int64, at, spec string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	if job, _, _ := strings.Cut(task, "."); l.specs != nil {
		l.specs[job] = spec
	}
	l.add("run       %s run %d starts on %s", task, run, at)
	if job, _, _ := strings.Cut(task, "."); !l.jobs[job] {
		l.other = append(l.other, fmt.Sprintf("UNASKED: %s on %s (%s)", task, at, spec))
	}
	for other, otherRun := range l.open[task] {
		what := fmt.Sprintf("TWICE: %s run %d starts on %s while run %d goes on at %s", task, run, at, otherRun, other)
		l.twice = append(l.twice, what)
		l.add("BROKEN    %s", what)
	}
	if l.open[task] == nil {
		l.open[task] = map[string]int64{}
	}
	l.open[task][at] = run
}

func (l *ledger) ended(task string, run int64, at, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if how == "done" {
		l.done++
	}
	l.add("run       %s run %d ends on %s: %s", task, run, at, how)
	if l.open[task][at] == run {
		delete(l.open[task], at)
	}
}

// verdict returns what was broken, and how many runs were started and done.
func (l *ledger) verdict() (broken []string, starts, done int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(append([]string{}, l.twice...), l.other...), l.starts, l.done
}
