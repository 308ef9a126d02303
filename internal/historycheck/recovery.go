package historycheck

// The effects of a loss of machines on callers: the throughput afterwards, and how
// long queries and submissions failed.

const (
	minRecoveryShare = 0.25   // share of the baseline required from Bounds.RecoveryMs after the machines' return
	recoveryWindowMs = 4000   // throughput is measured over this time; at usual rates some hundred tasks complete in it
	baselineWindowMs = 10_000 // the baseline is measured over this time before the loss
	minBaselineRuns  = 20     // with fewer completed runs in the baseline, the comparison is skipped as too unreliable
)

// Recovery is the time window with the lowest throughput after a loss of machines.
type Recovery struct {
	BackMs, AtMs int64   // when the machines were back, and the start of the window
	Completed    int     // tasks completed in the window
	Baseline     float64 // tasks that complete in such a window at the rate before the loss
	Share        float64 // Completed / Baseline
}

// Recoveries returns for each loss of machines the window with the lowest throughput, from
// bounds.RecoveryMs after the machines' return until the next loss or the end of traffic.
//
// Example: for _, r := range historycheck.Recoveries(events, historycheck.DefaultBounds) { fmt.Println(r.Share) }
func Recoveries(ordered []Event, bounds Bounds) []Recovery {
	completedTasks := func(from, to int64) int {
		completed := 0
		for i := range ordered {
			if e := &ordered[i]; e.Kind == End && e.Text == "ok" && e.AtMs >= from && e.AtMs < to {
				completed++
			}
		}
		return completed
	}
	var out []Recovery
	lossMs, backMs := int64(-1), int64(-1)
	assess := func(until int64) {
		baseline := float64(completedTasks(lossMs-baselineWindowMs, lossMs)) * recoveryWindowMs / baselineWindowMs
		worst := Recovery{BackMs: backMs, Baseline: baseline, Share: -1}
		for at := backMs + bounds.RecoveryMs; at+recoveryWindowMs <= until && baseline >= minBaselineRuns; at += 500 {
			completed := completedTasks(at, at+recoveryWindowMs)
			if share := float64(completed) / baseline; worst.Share < 0 || share < worst.Share {
				worst.AtMs, worst.Completed, worst.Share = at, completed, share
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
				assess(e.AtMs)
			}
			lossMs, backMs = e.AtMs, -1
		case MachinesBack:
			backMs = e.AtMs
		}
	}
	return out
}

// LongestOutages returns the longest time, in ms, during which every query for the state of
// one job failed, and the longest during which every submission of one job failed.
//
// Example: stateMs, entryMs := historycheck.LongestOutages(events)
func LongestOutages(ordered []Event) (stateMs, entryMs int64) {
	since := map[[2]string]int64{}
	begin := func(kind string, e *Event) {
		if _, ok := since[[2]string{kind, e.Job}]; !ok {
			since[[2]string{kind, e.Job}] = e.AtMs
		}
	}
	resolve := func(kind string, e *Event, worst *int64) {
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
			resolve(StateUnavailable, e, &stateMs)
		case JobAcked:
			resolve(SubmissionFailed, e, &entryMs)
		}
	}
	return stateMs, entryMs
}
