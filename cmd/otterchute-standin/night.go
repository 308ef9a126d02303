package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"otterchute/internal/historycheck"
)

// batchQueue is the name of the queue for batches.
const batchQueue = "night"

// batchWindow is a price contract with two cheap minutes in the near future. It records the
// progress of the batches submitted for them.
type batchWindow struct {
	opens, closes time.Time // of the cheap minutes
	mu            sync.Mutex
	sentMs        map[string]int64
	completedMs   map[string]int64
	held          map[string]bool // jobs that were reported as held for the window
}

// newBatchWindow returns a window that opens with the first full minute that is at least 30 s ahead.
func newBatchWindow(now time.Time) *batchWindow {
	opens := now.UTC().Add(90 * time.Second).Truncate(time.Minute)
	return &batchWindow{
		opens: opens, closes: opens.Add(2 * time.Minute),
		sentMs: map[string]int64{}, completedMs: map[string]int64{}, held: map[string]bool{},
	}
}

// finishBy returns how long after its submission a batch must finish: long enough for the whole
// window and for the time that is reserved for jobs that have to start outside it.
func (w *batchWindow) finishBy() time.Duration { return 7 * time.Minute }

// addTo returns the configuration with the contract and the queue for batches added.
func (w *batchWindow) addTo(config historycheck.Configuration) historycheck.Configuration {
	hours := historycheck.Hours{From: w.opens.Format("15:04"), To: w.closes.Format("15:04"), Price: 0.04}
	config.Contracts = []historycheck.Contract{{Name: "night", Price: 0.12, Hours: []historycheck.Hours{hours}}}
	if w.closes.Format("15:04") == "00:00" {
		config.Contracts[0].Hours[0].To = "24:00"
	}
	config.Queues = append(slices.Clone(config.Queues), historycheck.Queue{
		Name: batchQueue, Selector: map[string][]string{"tier": {"fast", "bulk"}},
		Batch: historycheck.Batch{Contract: "night", FinishByHours: w.finishBy().Hours(), SharePercent: 40},
	})
	return config
}

// accepts reports whether at least 30 s of the window are left for a batch submitted now.
func (w *batchWindow) accepts(now time.Time) bool { return now.Before(w.closes.Add(-30 * time.Second)) }

func (w *batchWindow) recordSent(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sentMs[id] = time.Now().UnixMilli()
}

// recordState records the state of a job from a daemon's response.
func (w *batchWindow) recordState(id, state, body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.sentMs[id]; !known {
		return
	}
	if strings.Contains(body, `"waits":"held until `) {
		w.held[id] = true
	}
	if state == "complete" && w.completedMs[id] == 0 {
		w.completedMs[id] = time.Now().UnixMilli()
	}
}

// report returns the results of the batches and the number of violations: batches that were
// late or started early, and tasks that completed more than once.
func (w *batchWindow) report(history []historycheck.Event) (map[string]any, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	completions, early, cheap, expensive, repeated, late := map[string]int{}, 0, 0, 0, 0, 0
	for _, e := range history {
		if _, known := w.sentMs[e.Job]; !known {
			continue
		}
		switch {
		case e.Kind == historycheck.Start && e.AtMs < w.opens.UnixMilli():
			early++
		case e.Kind == historycheck.Start && e.AtMs < w.closes.UnixMilli():
			cheap++
		case e.Kind == historycheck.Start:
			expensive++
		case e.Kind == historycheck.End && e.Text == "ok":
			if completions[fmt.Sprint(e.Job, "#", e.Task)]++; completions[fmt.Sprint(e.Job, "#", e.Task)] > 1 {
				repeated++
			}
		}
	}
	for id, at := range w.sentMs {
		if end := w.completedMs[id]; end == 0 || end > at+w.finishBy().Milliseconds() {
			late++
		}
	}
	return map[string]any{
		"sent": len(w.sentMs), "held": len(w.held), "complete": len(w.completedMs), "late_or_open": late,
		"tasks_doubled": repeated,
		"starts":        map[string]int{"before_the_window": early, "in_it": cheap, "after_it": expensive},
	}, late + repeated + early
}
