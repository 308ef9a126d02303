package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"otterchute/platform"

	"github.com/tidwall/gjson"
)

// hollowWorkers are all workers of an experiment: they take orders and run nothing.
type hollowWorkers struct {
	list    []*hollowWorker
	started func(job string, at time.Time)
}

// hollowWorker sends heartbeats to the daemon beside it, as the platform's worker does.
type hollowWorker struct {
	all     *hollowWorkers
	name    string
	zone    string
	beside  *hollow
	room    int64
	mu      sync.Mutex
	seq     int64
	endings int64 // numbers its ends
	held    time.Time
	running map[string]*hollowRun
	ended   []*hollowRun
}

// hollowRun is one run as a heartbeat tells it.
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

func (ws *hollowWorkers) add(ctx context.Context, name, zone string, beside *hollow, room int64) {
	w := &hollowWorker{
		all:     ws,
		name:    name,
		zone:    zone,
		beside:  beside,
		room:    room,
		running: map[string]*hollowRun{},
		ended:   []*hollowRun{},
	}
	ws.list = append(ws.list, w)
	go w.sendHeartbeats(ctx)
}

func (w *hollowWorker) sendHeartbeats(ctx context.Context) {
	for again := int64(heartbeatMs); ctx.Err() == nil; {
		if a := w.sendHeartbeat(ctx); a.AgainMs > 0 {
			again = a.AgainMs
		}
		select {
		case <-time.After(time.Duration(again) * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// sendHeartbeat tells all that runs and has ended, and does what the answer says.
func (w *hollowWorker) sendHeartbeat(ctx context.Context) (a heartbeatReply) {
	w.mu.Lock()
	w.seq++
	running := make([]*hollowRun, 0, len(w.running))
	for _, key := range sorted(w.running) {
		r := w.running[key]
		r.Percent = min(99, int64(100*time.Since(r.began)/r.lasts))
		running = append(running, r)
	}
	body := mustJSON(
		map[string]any{
			"seq":      w.seq,
			"site":     w.zone,
			"rack":     w.zone,
			"labels":   map[string]string{},
			"capacity": w.room,
			"running":  running,
			"ended":    w.ended,
		},
	)
	w.mu.Unlock()
	t := w.beside.server.servePlatform(ctx, platform.Call{Op: "worker.beat", Key: w.name, Expect: -1, Body: body})
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
