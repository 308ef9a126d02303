package main

import (
	"bufio"
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
	return "otterchute-standin downstream -deployment hakata|ikenna -daemons LIST -records DIR [flags]\n  exit 1 where a rule was broken or an accepted job did not end.\n"
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
	fs.IntVar(&c.batches, "batches", 0, "with -setup: beside every so many jobs one is a batch, held for two cheap minutes from 30 to 90 s ahead; 0 for none")
	fs.IntVar(&c.wave, "wave", 0, "jobs sent at once half way")
}

type callersRun struct {
	*callersCommand
	dep     historycheck.Deployment
	daemons []string
	http    *http.Client
	mu      sync.Mutex
	history []historycheck.Event
	states  map[string]string
	bounced map[int]int
	doneMs  []int64
	night   *night
}

func (c *callersCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	dep, ok := historycheck.Deployments[c.deployment]
	if !ok {
		return fail(2, fmt.Errorf("no deployment %q", c.deployment))
	}
	if c.rate > 0 {
		dep.JobsPerSec = c.rate
	}
	r := &callersRun{callersCommand: c, dep: dep, daemons: strings.Split(c.daemons, ","), http: newHTTP(), states: map[string]string{}, bounced: map[int]int{}}
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
	rng := rand.New(rand.NewPCG(c.seed, 3))
	prefix := fmt.Sprintf("%s-%d", c.deployment, time.Now().UnixMilli())
	var all sync.WaitGroup
	end := time.Now().Add(time.Duration(c.seconds) * time.Second)
	half := time.Now().Add(time.Duration(c.seconds) * time.Second / 2)
	limit := end.Add(time.Duration(c.settle) * time.Second)
	n := 0
	send := func() {
		n++
		id, job := fmt.Sprintf("%s-%d", prefix, n), dep.Draw(rng)
		all.Add(1)
		cancel := c.cancel > 0 && n%c.cancel == 0
		go func() {
			defer all.Done()
			r.follow(id, job, limit, cancel)
		}()
		if r.night == nil || n%c.batches != 0 || !r.night.takes(time.Now()) {
			return
		}
		n++
		batchID, batch := fmt.Sprintf("%s-%d", prefix, n), dep.Draw(rng)
		batch.Queue = nightQueue
		r.night.send(batchID)
		all.Add(1)
		go func() {
			defer all.Done()
			r.follow(batchID, batch, time.Now().Add(r.night.finishBy()+10*time.Second), false)
		}()
	}
	for time.Now().Before(end) {
		send()
		if c.wave > 0 && time.Now().After(half) {
			for range c.wave {
				send()
			}
			c.wave = 0
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / dep.JobsPerSec))
	}
	all.Wait()
	return r.judge(n)
}

func (r *callersRun) note(e historycheck.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.AtMs = time.Now().UnixMilli()
	r.history = append(r.history, e)
}

func (r *callersRun) any() string { return r.daemons[rand.IntN(len(r.daemons))] }

func (r *callersRun) declare() error {
	setup := r.dep.SetupOf()
	if r.night != nil {
		setup = r.night.with(setup)
	}
	r.note(historycheck.Event{Kind: historycheck.SetupSent, Version: 1, Setup: &setup})
	for range 60 {
		status, _, b := request(r.http, "PUT", "http://"+r.any()+"/v1/setups/1", mustJSON(setup))
		if status == 200 {
			r.note(historycheck.Event{Kind: historycheck.SetupAcked, Version: 1, Setup: &setup})
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
		r.bounced[status]++
		r.mu.Unlock()
		r.note(historycheck.Event{Kind: historycheck.NoEntry, Job: id})
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
			r.note(historycheck.Event{Kind: historycheck.NoState, Job: id})
			continue
		}
		r.note(historycheck.Event{Kind: historycheck.JobState, Job: id, Text: state, AskedMs: asked})
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

func (r *callersRun) judge(sent int) subcommands.ExitStatus {
	history := slices.Clone(r.history)
	files, _ := filepath.Glob(filepath.Join(r.records, "*.jsonl"))
	for _, f := range files {
		file, err := os.Open(f)
		if err != nil {
			return fail(1, err)
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var e historycheck.Event
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				history = append(history, e)
			}
		}
		file.Close()
	}
	if r.report != "" {
		if err := os.WriteFile(r.report, mustJSON(history), 0o644); err != nil {
			return fail(1, err)
		}
	}
	mine := map[string]int64{}
	for _, e := range r.history {
		if e.Kind == historycheck.JobSent {
			mine[e.Job] = e.AtMs
		}
	}
	// A run of another caller's job is not judged here.
	prefix, _, _ := strings.Cut(firstKey(mine), "-")
	history = slices.DeleteFunc(history, func(e historycheck.Event) bool {
		_, ok := mine[e.Job]
		return e.Job != "" && !ok && strings.HasPrefix(e.Job, prefix)
	})
	breaches := historycheck.Check(history, historycheck.Usual)
	first, starts := map[string][]int64{}, map[string]int{}
	seen := map[string]bool{}
	for _, e := range history {
		if e.Kind != historycheck.Start {
			continue
		}
		starts[e.Text]++
		if at, ok := mine[e.Job]; ok && !seen[e.Job] {
			seen[e.Job] = true
			first[e.Text] = append(first[e.Text], e.AtMs-at)
		}
	}
	count := map[string]int{}
	for _, s := range r.states {
		count[s]++
	}
	unended := sent - count["complete"] - count["failed"] - count["cancelled"]
	out := map[string]any{"deployment": r.deployment, "sent": sent, "states": count, "unended": unended, "bounces": r.bounced, "runs_by_class": starts,
		"to_end_ms": map[string]int64{"median": quantile(r.doneMs, 0.5), "p99": quantile(r.doneMs, 0.99)}, "breaches": len(breaches)}
	stateMs, entryMs := historycheck.Dark(r.history)
	out["dark_ms"] = map[string]int64{"states": stateMs, "entry": entryMs}
	starting := map[string]any{}
	for _, class := range []string{"guaranteed", "queueable"} {
		starting[class] = map[string]int64{"jobs": int64(len(first[class])), "median": quantile(first[class], 0.5), "p99": quantile(first[class], 0.99)}
	}
	out["to_first_start_ms"] = starting
	wrong := 0
	if r.night != nil {
		out["batches"], wrong = r.night.judge(history)
	}
	b, _ := json.MarshalIndent(out, "", "  ")
	fmt.Println(string(b))
	for i, x := range breaches {
		if i < 20 {
			fmt.Println("breach:", x)
		}
	}
	if len(breaches) > 0 || unended > 0 || wrong > 0 {
		return 1
	}
	return 0
}

func firstKey(m map[string]int64) string {
	for k := range m {
		return k
	}
	return ""
}
