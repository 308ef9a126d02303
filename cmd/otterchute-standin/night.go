package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"otterchute/internal/historycheck"
)

// nightQueue is the queue of batches, from a night of two minutes.
const nightQueue = "night"

// night is a contract whose cheapest hours are two minutes soon to come, and
// what became of the batches sent for them.
type night struct {
	opens, closes time.Time
	mu            sync.Mutex
	sentMs        map[string]int64
	endedMs       map[string]int64
	held          map[string]bool
}

// newNight opens with the first minute that is at least half a minute ahead.
func newNight(now time.Time) *night {
	opens := now.UTC().Add(90 * time.Second).Truncate(time.Minute)
	return &night{
		opens: opens, closes: opens.Add(2 * time.Minute),
		sentMs: map[string]int64{}, endedMs: map[string]int64{}, held: map[string]bool{},
	}
}

// finishBy leaves a batch sent now the whole window, and what is kept for a
// job that must start in dear hours.
func (n *night) finishBy() time.Duration { return 7 * time.Minute }

func (n *night) with(s historycheck.Configuration) historycheck.Configuration {
	hours := historycheck.Hours{From: n.opens.Format("15:04"), To: n.closes.Format("15:04"), Price: 0.04}
	s.Contracts = []historycheck.Contract{{Name: "night", Price: 0.12, Hours: []historycheck.Hours{hours}}}
	if n.closes.Format("15:04") == "00:00" {
		s.Contracts[0].Hours[0].To = "24:00"
	}
	s.Queues = append(slices.Clone(s.Queues), historycheck.Queue{
		Name: nightQueue, Selector: map[string][]string{"tier": {"fast", "bulk"}},
		Batch: historycheck.Batch{Contract: "night", FinishByHours: n.finishBy().Hours(), SharePercent: 40},
	})
	return s
}

// takes tells whether a batch sent now still has half a minute of the window.
func (n *night) takes(now time.Time) bool { return now.Before(n.closes.Add(-30 * time.Second)) }

func (n *night) send(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sentMs[id] = time.Now().UnixMilli()
}

// shown takes a job's state as it was told.
func (n *night) shown(id, state, body string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ours := n.sentMs[id]; !ours {
		return
	}
	if strings.Contains(body, `"waits":"held until `) {
		n.held[id] = true
	}
	if state == "complete" && n.endedMs[id] == 0 {
		n.endedMs[id] = time.Now().UnixMilli()
	}
}

// judge tells how the batches fared, and how many times one did not as it should.
func (n *night) judge(history []historycheck.Event) (map[string]any, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ends, early, cheap, dear, doubled, late := map[string]int{}, 0, 0, 0, 0, 0
	for _, e := range history {
		if _, ours := n.sentMs[e.Job]; !ours {
			continue
		}
		switch {
		case e.Kind == historycheck.Start && e.AtMs < n.opens.UnixMilli():
			early++
		case e.Kind == historycheck.Start && e.AtMs < n.closes.UnixMilli():
			cheap++
		case e.Kind == historycheck.Start:
			dear++
		case e.Kind == historycheck.End && e.Text == "ok":
			if ends[fmt.Sprint(e.Job, "#", e.Task)]++; ends[fmt.Sprint(e.Job, "#", e.Task)] > 1 {
				doubled++
			}
		}
	}
	for id, at := range n.sentMs {
		if end := n.endedMs[id]; end == 0 || end > at+n.finishBy().Milliseconds() {
			late++
		}
	}
	return map[string]any{
		"sent": len(n.sentMs), "held": len(n.held), "complete": len(n.endedMs), "late_or_open": late,
		"tasks_doubled": doubled, "starts": map[string]int{"before_the_window": early, "in_it": cheap, "after_it": dear},
	}, late + doubled + early
}
