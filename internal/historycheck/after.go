package historycheck

// What callers feel after a loss: how much work is done, and how long states
// and submissions are not to be had.

const (
	leastShare     = 0.25   // of usual work, from Bounds.Back after the machines' return
	recoverySpanMs = 4000   // work is counted over spans this long: some hundred ends at usual rates
	usualSpanMs    = 10_000 // usual work is what ended in the time before the loss
	usualLeast     = 20     // ends in a usual span; with fewer nothing can be told
)

// Recovery is the worst span of work after a hard loss.
type Recovery struct {
	BackMs, AtMs    int64
	Completed       int
	Baseline, Share float64
}

// Recoveries gives for each hard loss the span with the least work, from
// bounds.Back after the machines' return until the next loss or the end of traffic.
//
// Example: for _, r := range historycheck.Recoveries(events, historycheck.Usual) { fmt.Println(r.Share) }
func Recoveries(ordered []Event, bounds Bounds) []Recovery {
	ended := func(from, to int64) int {
		n := 0
		for i := range ordered {
			if e := &ordered[i]; e.Kind == End && e.Text == "ok" && e.AtMs >= from && e.AtMs < to {
				n++
			}
		}
		return n
	}
	var out []Recovery
	lossMs, backMs := int64(-1), int64(-1)
	judge := func(until int64) {
		usual := float64(ended(lossMs-usualSpanMs, lossMs)) * recoverySpanMs / usualSpanMs
		worst := Recovery{BackMs: backMs, Baseline: usual, Share: -1}
		for at := backMs + bounds.RecoveryMs; at+recoverySpanMs <= until && usual >= usualLeast; at += 500 {
			n := ended(at, at+recoverySpanMs)
			if share := float64(n) / usual; worst.Share < 0 || share < worst.Share {
				worst.AtMs, worst.Completed, worst.Share = at, n, share
			}
		}
		if worst.Share >= 0 {
			out = append(out, worst)
		}
	}
	for i := range ordered {
		switch e := &ordered[i]; e.Kind {
		case MachinesLost, TrafficEnds:
			if backMs >= 0 {
				judge(e.AtMs)
			}
			lossMs, backMs = e.AtMs, -1
		case MachinesBack:
			backMs = e.AtMs
		}
	}
	return out
}

// LongestOutages gives the longest time, in ms, that an accepted job's state was asked
// for in vain, and that a job was handed in in vain.
//
// Example: stateMs, entryMs := historycheck.Dark(events)
func LongestOutages(ordered []Event) (stateMs, entryMs int64) {
	since := map[[2]string]int64{}
	begin := func(kind string, e *Event) {
		if _, ok := since[[2]string{kind, e.Job}]; !ok {
			since[[2]string{kind, e.Job}] = e.AtMs
		}
	}
	end := func(kind string, e *Event, worst *int64) {
		if from, ok := since[[2]string{kind, e.Job}]; ok {
			*worst = max(*worst, e.AtMs-from)
			delete(since, [2]string{kind, e.Job})
		}
	}
	for i := range ordered {
		switch e := &ordered[i]; e.Kind {
		case StateUnavailable, SubmissionFailed:
			begin(e.Kind, e)
		case JobState:
			end(StateUnavailable, e, &stateMs)
		case JobAcked:
			end(SubmissionFailed, e, &entryMs)
		}
	}
	return stateMs, entryMs
}
