package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"otterchute/internal/historycheck"

	"github.com/google/subcommands"
	"github.com/tidwall/gjson"
)

// callersCommand sends a deployment's mix, sends again after silence, asks for
// states, and then judges what was acknowledged against what workers recorded.
type callersCommand struct {
	deployment, daemons, records, report string
	seconds, settle                      int
	rate                                 float64
	seed                                 uint64
	setup                                bool
	wave, cancel, batches                int
}

func (*callersCommand) Name() string { return "downstream" }
func (*callersCommand) Synopsis() string {
	return "be all callers of a deployment, and judge the run"
}
func (*callersCommand) Usage() string {
	return "otterchute-standin downstream -deployment hakata|ikenna -daemons LIST -records DIR [flags]\n" +
		"  exit 1 where a rule was broken or an accepted job did not end.\n"
}
func (c *callersCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.deployment, "deployment", "hakata", "whose mix and rate")
	fs.StringVar(&c.daemons, "daemons", "127.0.0.1:8000", "HTTP addresses")
	fs.StringVar(&c.records, "records", "", "folder of the workers' record files")
	fs.StringVar(&c.report, "history", "", "file to write the whole history to")
	fs.IntVar(&c.seconds, "seconds", 30, "how long to send")
	fs.IntVar(&c.settle, "settle", 60, "seconds that jobs have to end afterwards")
	fs.Float64Var(&c.rate, "rate", 0, "jobs a second; 0 for the deployment's own")
	fs.Uint64Var(&c.seed, "seed", 1, "of the mix")
	fs.BoolVar(&c.setup, "setup", false, "first declare the deployment's setup as version 1")
	fs.IntVar(&c.cancel, "cancel", 0, "every so many jobs one is cancelled soon; 0 for none")
	fs.IntVar(&c.batches, "batches", 0, "with -setup: beside every so many jobs one is a batch, "+
		"held for two cheap minutes from 30 to 90 s ahead; 0 for none")
	fs.IntVar(&c.wave, "wave", 0, "jobs sent at once half way")
}

type callersRun struct {
	*callersCommand
	dep      historycheck.Deployment
	daemons  []string
	http     *http.Client
	mu       sync.Mutex
	history  []historycheck.Event
	states   map[string]string
	rejected map[int]int
	doneMs   []int64
	night    *night
}

func (c *callersCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	dep, ok := historycheck.Deployments[c.deployment]
	if !ok {
		return fail(2, fmt.Errorf("no deployment %q", c.deployment))
	}
	if c.rate > 0 {
		dep.JobsPerSec = c.rate
	}
	r := &callersRun{
		callersCommand: c, dep: dep, daemons: strings.Split(c.daemons, ","), http: newHTTP(),
		states: map[string]string{}, rejected: map[int]int{},
	}
	if c.batches > 0 {
		if !c.setup {
			return fail(2, fmt.Errorf("-batches needs -setup"))
		}
		r.night = newNight(time.Now())
	}
	if c.setup {
		if err := r.declare(); err != nil {
			return fail(1, err)
		}
	}
	return r.judge(r.sendAll())
}

// sendAll sends the deployment's mix at its rate, follows each job to its end, and gives how
// many jobs were sent.
func (r *callersRun) sendAll() int {
	rng := rand.New(rand.NewPCG(r.seed, 3))
	prefix := fmt.Sprintf("%s-%d", r.deployment, time.Now().UnixMilli())
	var following sync.WaitGroup
	end := time.Now().Add(time.Duration(r.seconds) * time.Second)
	half := time.Now().Add(time.Duration(r.seconds) * time.Second / 2)
	limit := end.Add(time.Duration(r.settle) * time.Second)
	n := 0
	send := func() {
		n++
		id, job := fmt.Sprintf("%s-%d", prefix, n), r.dep.RandomJob(rng)
		cancel := r.cancel > 0 && n%r.cancel == 0
		following.Go(func() { r.follow(id, job, limit, cancel) })
		if r.night == nil || n%r.batches != 0 || !r.night.takes(time.Now()) {
			return
		}
		n++
		batchID, batch := fmt.Sprintf("%s-%d", prefix, n), r.dep.RandomJob(rng)
		batch.Queue = nightQueue
		r.night.send(batchID)
		following.Go(func() { r.follow(batchID, batch, time.Now().Add(r.night.finishBy()+10*time.Second), false) })
	}
	for time.Now().Before(end) {
		send()
		if r.wave > 0 && time.Now().After(half) {
			for range r.wave {
				send()
			}
			r.wave = 0
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / r.dep.JobsPerSec))
	}
	following.Wait()
	return n
}

func (r *callersRun) note(e historycheck.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.AtMs = time.Now().UnixMilli()
	r.history = append(r.history, e)
}

func (r *callersRun) any() string { return r.daemons[rand.IntN(len(r.daemons))] }

func (r *callersRun) declare() error {
	setup := r.dep.InitialConfiguration()
	if r.night != nil {
		setup = r.night.with(setup)
	}
	r.note(historycheck.Event{Kind: historycheck.ConfigurationSent, Version: 1, Configuration: &setup})
	for range 60 {
		status, _, b := request(r.http, "PUT", "http://"+r.any()+"/v1/setups/1", mustJSON(setup))
		if status == 200 {
			r.note(historycheck.Event{Kind: historycheck.ConfigurationAcked, Version: 1, Configuration: &setup})
			return nil
		}
		if status == 400 || status == 409 {
			return fmt.Errorf("setup bounced: %s", b)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("no setup was accepted in 30 s")
}

// follow hands a job in, again after silence, and asks for its state until it ends.
func (r *callersRun) follow(id string, job historycheck.Job, limit time.Time, cancel bool) {
	r.note(historycheck.Event{Kind: historycheck.JobSent, Job: id, Spec: &job})
	r.state(id, "unsent")
	body, sent := mustJSON(job), time.Now()
	for {
		status, retry, _ := request(r.http, "PUT", "http://"+r.any()+"/v1/jobs/"+id, body)
		if status == 200 || status == 201 {
			r.note(historycheck.Event{Kind: historycheck.JobAcked, Job: id})
			r.state(id, "accepted")
			break
		}
		r.mu.Lock()
		r.rejected[status]++
		r.mu.Unlock()
		r.note(historycheck.Event{Kind: historycheck.SubmissionFailed, Job: id})
		if status == 400 || status == 409 || time.Now().After(limit) {
			return
		}
		time.Sleep(max(retry, 500*time.Millisecond))
	}
	for time.Now().Before(limit) {
		time.Sleep(300 * time.Millisecond)
		if cancel {
			status, _, _ := request(r.http, "POST", "http://"+r.any()+"/v1/jobs/"+id+"/cancel", nil)
			if status == 200 {
				r.note(historycheck.Event{Kind: historycheck.CancelAcked, Job: id})
			}
			cancel = status != 200 && status != 409
		}
		asked := time.Now().UnixMilli()
		status, _, b := request(r.http, "GET", "http://"+r.any()+"/v1/jobs/"+id, nil)
		state := gjson.GetBytes(b, "state").Str
		if status == 404 {
			state = "unknown"
		} else if status != 200 {
			r.note(historycheck.Event{Kind: historycheck.StateUnavailable, Job: id})
			continue
		}
		r.note(historycheck.Event{Kind: historycheck.JobState, Job: id, Text: state, RequestedMs: asked})
		r.state(id, state)
		if r.night != nil {
			r.night.shown(id, state, string(b))
		}
		if state == "complete" || state == "failed" || state == "cancelled" {
			r.mu.Lock()
			r.doneMs = append(r.doneMs, time.Since(sent).Milliseconds())
			r.mu.Unlock()
			return
		}
	}
}

func (r *callersRun) state(id, s string) {
	r.mu.Lock()
	r.states[id] = s
	r.mu.Unlock()
}

func quantile(v []int64, q float64) int64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

// breachesShown are printed of the breaches that were found.
const breachesShown = 20

// judge reads the workers' records, checks the whole history and prints what came of the run.
func (r *callersRun) judge(sent int) subcommands.ExitStatus {
	history, err := r.readHistory()
	if err != nil {
		return fail(1, err)
	}
	if r.report != "" {
		if err := os.WriteFile(r.report, mustJSON(history), 0o644); err != nil {
			return fail(1, err)
		}
	}
	sentMs := r.sentJobs()
	history = withoutOthers(history, sentMs)
	breaches := historycheck.Check(history, historycheck.DefaultBounds)
	count := map[string]int{}
	for _, s := range r.states {
		count[s]++
	}
	unended := sent - count["complete"] - count["failed"] - count["cancelled"]
	stateMs, entryMs := historycheck.LongestOutages(r.history)
	runs, starting := startsByClass(history, sentMs)
	out := map[string]any{
		"deployment": r.deployment, "sent": sent, "states": count, "unended": unended, "bounces": r.rejected,
		"runs_by_class": runs, "to_end_ms": spread(r.doneMs), "to_first_start_ms": starting,
		"dark_ms": map[string]int64{"states": stateMs, "entry": entryMs}, "breaches": len(breaches),
	}
	wrong := 0
	if r.night != nil {
		out["batches"], wrong = r.night.judge(history)
	}
	b, _ := json.MarshalIndent(out, "", "  ")
	fmt.Println(string(b))
	for _, x := range breaches[:min(len(breaches), breachesShown)] {
		fmt.Println("breach:", x)
	}
	if len(breaches) > 0 || unended > 0 || wrong > 0 {
		return 1
	}
	return 0
}

// readHistory gives what the callers saw and what the workers recorded.
func (r *callersRun) readHistory() ([]historycheck.Event, error) {
	history := slices.Clone(r.history)
	files, _ := filepath.Glob(filepath.Join(r.records, "*.jsonl"))
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		for line := range bytes.Lines(data) {
			var e historycheck.Event
			if json.Unmarshal(line, &e) == nil {
				history = append(history, e)
			}
		}
	}
	return history, nil
}

// sentJobs gives when each job of this run was sent, in ms.
func (r *callersRun) sentJobs() map[string]int64 {
	sentMs := map[string]int64{}
	for _, e := range r.history {
		if e.Kind == historycheck.JobSent {
			sentMs[e.Job] = e.AtMs
		}
	}
	return sentMs
}

// withoutOthers leaves out the runs of another caller's jobs: they are not judged here.
func withoutOthers(history []historycheck.Event, sentMs map[string]int64) []historycheck.Event {
	prefix, _, _ := strings.Cut(firstKey(sentMs), "-")
	return slices.DeleteFunc(history, func(e historycheck.Event) bool {
		_, ok := sentMs[e.Job]
		return e.Job != "" && !ok && strings.HasPrefix(e.Job, prefix)
	})
}

// startsByClass gives how many runs of each class started, and how long jobs waited for their first.
func startsByClass(
	history []historycheck.Event, sentMs map[string]int64,
) (runs map[string]int, starting map[string]any) {
	runs, starting = map[string]int{}, map[string]any{}
	first, seen := map[string][]int64{}, map[string]bool{}
	for _, e := range history {
		if e.Kind != historycheck.Start {
			continue
		}
		runs[e.Text]++
		if at, ok := sentMs[e.Job]; ok && !seen[e.Job] {
			seen[e.Job] = true
			first[e.Text] = append(first[e.Text], e.AtMs-at)
		}
	}
	for _, class := range []string{"guaranteed", "queueable"} {
		s := spread(first[class])
		s["jobs"] = int64(len(first[class]))
		starting[class] = s
	}
	return runs, starting
}

// spread gives the median and the 99th percentile of times in ms.
func spread(ms []int64) map[string]int64 {
	return map[string]int64{"median": quantile(ms, 0.5), "p99": quantile(ms, 0.99)}
}

func firstKey(m map[string]int64) string {
	for k := range m {
		return k
	}
	return ""
}
