package daemon

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"
)

const (
	soakHoldMaxMs  = 10_000
	soakRetryMs    = 100
	soakRefusedRun = "refused"
)

// soakWorker is one life of a worker: it follows the daemon on its machine, and ends all runs when its hold is over.
type soakWorker struct {
	s       *soak
	machine *soakMachine
	id      string
	client  *http.Client

	mu        sync.Mutex
	harmed    bool
	up        bool
	draining  bool
	late      int       // so many of the next heartbeats are delivered late
	lostUntil time.Time // until then no heartbeat is delivered
	sequence  int64
	holdUntil time.Time
	runs      map[taskOfJob]*soakRun
	highest   map[taskOfJob]int64
	ends      []soakEnd
	lastEnd   int64
	wake      chan struct{}
}

type taskOfJob struct {
	job  string
	name taskName
}

type soakRun struct {
	task     taskOfJob
	run      int64
	started  time.Time
	work     time.Duration
	fails    bool
	stopping bool
}

type soakEnd struct {
	number int64
	task   taskOfJob
	run    int64
	how    string
}

// soakOutcomes maps the protocol's words for the end of a run to those of the checker.
var soakOutcomes = map[string]string{"done": "ok", "failed": "failed", "stopped": "stopped", "lapsed": "lapsed"}

func (k taskOfJob) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", k.job, k.name.round, k.name.step, k.name.index)
}

func parseTaskOfJob(text string) taskOfJob {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return taskOfJob{job: text, name: taskName{round: -1}}
	}
	number := func(i int) int {
		n, _ := strconv.Atoi(parts[i])
		return n
	}
	return taskOfJob{parts[0], taskName{number(1), number(2), number(3)}}
}

// startWorker starts the next life of the worker on a machine.
func (s *soak) startWorker(m *soakMachine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives++
	w := &soakWorker{s: s, machine: m, id: fmt.Sprintf("i-%04d", s.lives), up: true, runs: map[taskOfJob]*soakRun{},
		highest: map[taskOfJob]int64{}, wake: make(chan struct{}, 1), client: soakClient}
	if s.lives%2 == 0 { // half of the workers keep their connection
		w.client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	}
	s.workers[m.name] = w
	s.recordLocked(platformEvent{kind: eventWorkerUp, worker: w.id, host: m.name, facts: &workerFacts{
		capacity: amounts{soakCores, soakMemoryMb}, labels: map[string]string{"service": soakService, "a": "yes", m.name: "yes"}, zone: m.zone}})
	go w.sendHeartbeats()
	go w.work()
}

func (w *soakWorker) claim() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.harmed || !w.up {
		return false
	}
	w.harmed = true
	return true
}

func (w *soakWorker) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.harmed = false
}

func (w *soakWorker) delayHeartbeats(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = count
}

// loseHeartbeats loses the worker's heartbeats for a while; it waits a second for the answer to each.
func (w *soakWorker) loseHeartbeats(length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lostUntil = time.Now().Add(length)
}

func (w *soakWorker) losesHeartbeats() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.lostUntil)
}

// runCount returns how many runs the worker has.
func (w *soakWorker) runCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// leave ends the worker in one of the ways of the protocol.
func (w *soakWorker) leave(way string) {
	ended := w.s.fault("leaving", nil)
	if strings.HasSuffix(way, "crash") {
		time.Sleep(150 * time.Millisecond) // so that late heartbeats have been sent
		w.crash()
		ended()
		return
	}
	if way == "drain" {
		w.mu.Lock()
		w.draining = true
		w.mu.Unlock()
		time.Sleep(time.Duration(2200+rand.IntN(1500)) * time.Millisecond)
		w.signOff()
	} else {
		w.signOff()
		time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
	}
	w.crash()
	ended()
}

func (w *soakWorker) signOff() {
	for range 5 {
		if status, _, _ := httpCall(1000, "DELETE", w.machine.control(), "/workers/"+w.id, "", nil, nil); status == 200 {
			return
		}
		time.Sleep(soakRetryMs * time.Millisecond)
	}
}

// crash ends the worker and all that runs on it.
func (w *soakWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		w.up = false
		w.s.record(platformEvent{kind: eventWorkerDown, worker: w.id, host: w.machine.name})
	}
}

func (w *soakWorker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// heartbeat returns the next heartbeat, and records which ends it lists.
func (w *soakWorker) heartbeat() (body []byte, draining, late bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	running, finished := [][]any{}, [][]any{}
	for _, task := range w.sortedTasks() {
		r := w.runs[task]
		running = append(running, []any{task.String(), r.run, "", min(99, int64(100*time.Since(r.started)/r.work))})
	}
	for _, e := range w.ends[:min(burstRuns, len(w.ends))] {
		finished = append(finished, []any{e.number, e.task.String(), e.run, e.how, ""})
	}
	if len(w.ends) > burstRuns {
		w.s.count("list cut short")
	}
	if len(finished) > 0 && w.up {
		w.s.record(platformEvent{kind: eventEndsReported, worker: w.id, host: w.machine.name, n: w.ends[len(finished)-1].number})
	}
	state := "ready"
	if w.draining {
		state = "draining"
	}
	late = w.late > 0
	w.late = max(0, w.late-1)
	return soakJSON(map[string]any{
		"service": soakService, "address": w.machine.port(3), "zone": w.machine.zone, "configVersion": "v1", "taskSlots": 8, "state": state, "coldRemainingMs": 0,
		"freeCapacity": map[string]int{"cpu": soakCores, "taskMemoryMb": soakMemoryMb, "gpu": 0}, "labels": []string{"a", "r" + w.machine.zone, w.machine.name},
		"clockMs": time.Since(w.s.begin).Milliseconds(), "callSequence": w.sequence, "running": running, "finished": finished,
	}), w.draining, late
}

func (w *soakWorker) sortedTasks() []taskOfJob {
	tasks := make([]taskOfJob, 0, len(w.runs))
	for task := range w.runs {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, func(a, b taskOfJob) int { return strings.Compare(a.String(), b.String()) })
	return tasks
}

// sendHeartbeats sends heartbeats while the worker is up.
func (w *soakWorker) sendHeartbeats() {
	for w.isUp() {
		body, draining, late := w.heartbeat()
		if w.losesHeartbeats() {
			time.Sleep(time.Second)
			continue
		}
		if late {
			go w.deliverLate(body)
			if rand.IntN(2) == 0 { // else this is a copy, and the heartbeat arrives in time too
				time.Sleep(time.Second)
				continue
			}
		}
		sent := time.Now()
		status, answer, _ := httpCallWith(w.client, 1000, "PUT", w.machine.control(), "/workers/"+w.id, "", body, map[string]string{"Content-Type": "application/json"})
		pause := soakRetryMs * time.Millisecond
		if status >= 200 && status < 300 && w.isUp() {
			pause = w.obey(answer, sent, draining)
		}
		select {
		case <-time.After(pause):
		case <-w.wake:
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// deliverLate sends a heartbeat seconds late, by a connection of its own; nobody reads the response.
func (w *soakWorker) deliverLate(body []byte) {
	time.Sleep(time.Duration(500+rand.IntN(4500)) * time.Millisecond)
	httpCall(1000, "PUT", w.machine.control(), "/workers/"+w.id, "", body, map[string]string{"Content-Type": "application/json"})
}

// obey carries out the response to a heartbeat, and returns when to send the next one.
func (w *soakWorker) obey(body []byte, sent time.Time, draining bool) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := gjson.ParseBytes(body)
	if !w.up {
		return soakRetryMs * time.Millisecond
	}
	if draining {
		w.s.record(platformEvent{kind: eventLeaveAcked, worker: w.id, host: w.machine.name})
	}
	if seen := answer.Get("lastSeen").Int(); seen > 0 && len(w.ends) > 0 && w.ends[0].number <= seen {
		w.s.record(platformEvent{kind: eventEndsAcknowledged, worker: w.id, host: w.machine.name, n: seen})
		w.ends = slices.DeleteFunc(w.ends, func(e soakEnd) bool { return e.number <= seen })
	}
	hold := answer.Get("holdMs")
	if until := sent.Add(time.Duration(min(hold.Int(), soakHoldMaxMs)) * time.Millisecond); hold.Exists() && until.After(w.holdUntil) {
		w.holdUntil = until
	}
	for _, o := range answer.Get("stop").Array() {
		task, run := parseTaskOfJob(o.Get("0").Str), o.Get("1").Int()
		w.highest[task] = max(w.highest[task], run)
		if r := w.runs[task]; r != nil && r.run <= run && !r.stopping {
			r.stopping = true
			time.AfterFunc(100*time.Millisecond, func() { w.end(r, "stopped") })
		}
	}
	for _, o := range answer.Get("start").Array() {
		w.startRun(parseTaskOfJob(o.Get("0").Str), o.Get("1").Int(), o.Get("2").Str, hold.Exists())
	}
	return time.Duration(max(answer.Get("retryAfterMs").Int(), 5)) * time.Millisecond
}

// startRun starts a run, or refuses it. The lock is held.
func (w *soakWorker) startRun(task taskOfJob, run int64, payload string, held bool) {
	e := platformEvent{kind: eventOrdered, job: task.job, task: task.name, run: run, worker: w.id, host: w.machine.name, text: payload}
	w.s.record(e)
	var workMs int
	if _, err := fmt.Sscanf(payload, "work %d ms", &workMs); err != nil || !held && time.Now().After(w.holdUntil) {
		return
	}
	if w.runs[task] != nil && w.runs[task].run == run {
		return
	}
	if run <= w.highest[task] || w.runs[task] != nil {
		w.lastEnd++
		w.ends = append(w.ends, soakEnd{w.lastEnd, task, run, soakRefusedRun})
		return
	}
	w.runs[task] = &soakRun{task: task, run: run, started: time.Now(), work: time.Duration(workMs) * time.Millisecond, fails: rand.IntN(50) == 0}
	e.kind = eventStarted
	w.s.record(e)
}

// work ends the runs that are done, and all when the hold is over.
func (w *soakWorker) work() {
	for w.isUp() {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		tasks, over := w.sortedTasks(), time.Now().After(w.holdUntil)
		if over && len(tasks) > 0 && w.up {
			w.s.record(platformEvent{kind: eventHoldExpired, worker: w.id, host: w.machine.name})
		}
		for _, task := range tasks {
			switch r := w.runs[task]; {
			case over:
				w.endLocked(r, "lapsed")
			case !r.stopping && r.fails && time.Since(r.started) >= r.work/2:
				w.endLocked(r, "failed")
			case !r.stopping && time.Since(r.started) >= r.work:
				w.endLocked(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *soakWorker) end(r *soakRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLocked(r, how)
}

// endLocked ends a run. The lock is held.
func (w *soakWorker) endLocked(r *soakRun, how string) {
	if !w.up || w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.s.record(platformEvent{kind: eventEnded, job: r.task.job, task: r.task.name, run: r.run, worker: w.id, host: w.machine.name, text: soakOutcomes[how], n: w.lastEnd})
	w.ends = append(w.ends, soakEnd{w.lastEnd, r.task, r.run, how})
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
