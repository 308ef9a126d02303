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

// callersCommand simulates the callers of a deployment: it submits jobs, retries, queries their
// states, and then checks what was acknowledged against what the workers recorded.
type callersCommand struct {
	deploymentName, daemons, recordsDir, historyFile string
	sendSeconds, settleSeconds                       int
	rate                                             float64
	seed                                             uint64
	declareConfiguration                             bool
	burstJobs, cancelEvery, batchEvery               int
}

func (*callersCommand) Name() string { return "downstream" }
func (*callersCommand) Synopsis() string {
	return "simulate all callers of a deployment and check the run"
}
func (*callersCommand) Usage() string {
	return "otterchute-standin downstream -deployment hakata|ikenna -daemons LIST -records DIR [flags]\n" +
		"  Exits with status 1 if a rule was violated or a job did not end.\n"
}
func (c *callersCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.deploymentName, "deployment", "hakata", "deployment whose job mix and rate are used")
	fs.StringVar(&c.daemons, "daemons", "127.0.0.1:8000", "HTTP addresses of the daemons, separated by commas")
	fs.StringVar(&c.recordsDir, "records", "", "directory of the workers' record files")
	fs.StringVar(&c.historyFile, "history", "", "file to write the whole history to")
	fs.IntVar(&c.sendSeconds, "seconds", 30, "how long to submit jobs, in seconds")
	fs.IntVar(&c.settleSeconds, "settle", 60, "how long jobs may take to end afterwards, in seconds")
	fs.Float64Var(&c.rate, "rate", 0, "jobs per second; 0 for the deployment's own rate")
	fs.Uint64Var(&c.seed, "seed", 1, "random seed of the job mix")
	fs.BoolVar(&c.declareConfiguration, "setup", false, "first put the deployment's configuration as version 1")
	fs.IntVar(&c.cancelEvery, "cancel", 0, "cancel one of this many jobs soon after its submission; 0 for none")
	fs.IntVar(&c.batchEvery, "batches", 0, "with -setup: submit one batch for this many jobs, "+
		"to be held for two cheap minutes that begin 30 to 90 s ahead; 0 for none")
	fs.IntVar(&c.burstJobs, "wave", 0, "number of jobs submitted at once after half the time")
}

// callersRun is the state of one execution of callersCommand.
type callersRun struct {
	*callersCommand
	deployment     historycheck.Deployment
	daemons        []string
	http           *http.Client
	mu             sync.Mutex
	history        []historycheck.Event
	states         map[string]string
	rejected       map[int]int // number of rejected submissions by status; 0 is no response
	jobDurationsMs []int64
	batchWindow    *batchWindow
}

func (c *callersCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	deployment, ok := historycheck.Deployments[c.deploymentName]
	if !ok {
		return fail(2, fmt.Errorf("unknown deployment %q", c.deploymentName))
	}
	if c.rate > 0 {
		deployment.JobsPerSec = c.rate
	}
	r := &callersRun{
		callersCommand: c, deployment: deployment, daemons: strings.Split(c.daemons, ","), http: newHTTPClient(),
		states: map[string]string{}, rejected: map[int]int{},
	}
	if c.batchEvery > 0 {
		if !c.declareConfiguration {
			return fail(2, fmt.Errorf("-batches requires -setup"))
		}
		r.batchWindow = newBatchWindow(time.Now())
	}
	if c.declareConfiguration {
		if err := r.putConfiguration(); err != nil {
			return fail(1, err)
		}
	}
	return r.report(r.sendAll())
}

// sendAll submits the deployment's mix at its rate, follows each job to its end and returns the
// number of jobs submitted.
func (r *callersRun) sendAll() int {
	rng := rand.New(rand.NewPCG(r.seed, 3))
	prefix := fmt.Sprintf("%s-%d", r.deploymentName, time.Now().UnixMilli())
	var followers sync.WaitGroup
	end := time.Now().Add(time.Duration(r.sendSeconds) * time.Second)
	burstAt := time.Now().Add(time.Duration(r.sendSeconds) * time.Second / 2)
	deadline := end.Add(time.Duration(r.settleSeconds) * time.Second)
	sent := 0
	send := func() {
		sent++
		id, job := fmt.Sprintf("%s-%d", prefix, sent), r.deployment.RandomJob(rng)
		cancel := r.cancelEvery > 0 && sent%r.cancelEvery == 0
		followers.Go(func() { r.submitAndFollow(id, job, deadline, cancel) })
		if r.batchWindow == nil || sent%r.batchEvery != 0 || !r.batchWindow.accepts(time.Now()) {
			return
		}
		sent++
		batchID, batch := fmt.Sprintf("%s-%d", prefix, sent), r.deployment.RandomJob(rng)
		batch.Queue = batchQueue
		r.batchWindow.recordSent(batchID)
		followers.Go(func() {
			r.submitAndFollow(batchID, batch, time.Now().Add(r.batchWindow.finishBy()+10*time.Second), false)
		})
	}
	for time.Now().Before(end) {
		send()
		if r.burstJobs > 0 && time.Now().After(burstAt) {
			for range r.burstJobs {
				send()
			}
			r.burstJobs = 0
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / r.deployment.JobsPerSec))
	}
	followers.Wait()
	return sent
}

func (r *callersRun) record(e historycheck.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.AtMs = time.Now().UnixMilli()
	r.history = append(r.history, e)
}

func (r *callersRun) randomDaemon() string { return r.daemons[rand.IntN(len(r.daemons))] }

func (r *callersRun) putConfiguration() error {
	config := r.deployment.InitialConfiguration()
	if r.batchWindow != nil {
		config = r.batchWindow.addTo(config)
	}
	r.record(historycheck.Event{Kind: historycheck.ConfigurationSent, Version: 1, Configuration: &config})
	for range 60 {
		status, _, b := request(r.http, "PUT", "http://"+r.randomDaemon()+"/v1/setups/1", mustJSON(config))
		if status == 200 {
			r.record(historycheck.Event{Kind: historycheck.ConfigurationAcked, Version: 1, Configuration: &config})
			return nil
		}
		if status == 400 || status == 409 {
			return fmt.Errorf("configuration rejected: %s", b)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not accepted within 30 s")
}

// submitAndFollow submits a job with retries and polls its state until it ends.
func (r *callersRun) submitAndFollow(id string, job historycheck.Job, deadline time.Time, cancel bool) {
	r.record(historycheck.Event{Kind: historycheck.JobSent, Job: id, Spec: &job})
	r.setState(id, "unsent")
	body, sentAt := mustJSON(job), time.Now()
	for {
		status, retry, _ := request(r.http, "PUT", "http://"+r.randomDaemon()+"/v1/jobs/"+id, body)
		if status == 200 || status == 201 {
			r.record(historycheck.Event{Kind: historycheck.JobAcked, Job: id})
			r.setState(id, "accepted")
			break
		}
		r.mu.Lock()
		r.rejected[status]++
		r.mu.Unlock()
		r.record(historycheck.Event{Kind: historycheck.SubmissionFailed, Job: id})
		if status == 400 || status == 409 || time.Now().After(deadline) {
			return
		}
		time.Sleep(max(retry, 500*time.Millisecond))
	}
	for time.Now().Before(deadline) {
		time.Sleep(300 * time.Millisecond)
		if cancel {
			status, _, _ := request(r.http, "POST", "http://"+r.randomDaemon()+"/v1/jobs/"+id+"/cancel", nil)
			if status == 200 {
				r.record(historycheck.Event{Kind: historycheck.CancelAcked, Job: id})
			}
			cancel = status != 200 && status != 409
		}
		requestedMs := time.Now().UnixMilli()
		status, _, b := request(r.http, "GET", "http://"+r.randomDaemon()+"/v1/jobs/"+id, nil)
		state := gjson.GetBytes(b, "state").Str
		if status == 404 {
			state = "unknown"
		} else if status != 200 {
			r.record(historycheck.Event{Kind: historycheck.StateUnavailable, Job: id})
			continue
		}
		r.record(historycheck.Event{Kind: historycheck.JobState, Job: id, Text: state, RequestedMs: requestedMs})
		r.setState(id, state)
		if r.batchWindow != nil {
			r.batchWindow.recordState(id, state, string(b))
		}
		if state == "complete" || state == "failed" || state == "cancelled" {
			r.mu.Lock()
			r.jobDurationsMs = append(r.jobDurationsMs, time.Since(sentAt).Milliseconds())
			r.mu.Unlock()
			return
		}
	}
}

func (r *callersRun) setState(id, s string) {
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

// maxPrintedViolations limits the violations that are printed.
const maxPrintedViolations = 20

// report reads the workers' records, checks the whole history and prints the results.
func (r *callersRun) report(sent int) subcommands.ExitStatus {
	history, err := r.readHistory()
	if err != nil {
		return fail(1, err)
	}
	if r.historyFile != "" {
		if err := os.WriteFile(r.historyFile, mustJSON(history), 0o644); err != nil {
			return fail(1, err)
		}
	}
	sentMs := r.sentJobs()
	history = withoutForeignJobs(history, sentMs)
	violations := historycheck.Check(history, historycheck.DefaultBounds)
	count := map[string]int{}
	for _, s := range r.states {
		count[s]++
	}
	unended := sent - count["complete"] - count["failed"] - count["cancelled"]
	stateMs, entryMs := historycheck.LongestOutages(r.history)
	runs, firstStarts := startsByClass(history, sentMs)
	out := map[string]any{
		"deployment": r.deploymentName, "sent": sent, "states": count, "unended": unended, "bounces": r.rejected,
		"runs_by_class": runs, "to_end_ms": percentiles(r.jobDurationsMs), "to_first_start_ms": firstStarts,
		"dark_ms": map[string]int64{"states": stateMs, "entry": entryMs}, "breaches": len(violations),
	}
	failedBatches := 0
	if r.batchWindow != nil {
		out["batches"], failedBatches = r.batchWindow.report(history)
	}
	b, _ := json.MarshalIndent(out, "", "  ")
	fmt.Println(string(b))
	for _, x := range violations[:min(len(violations), maxPrintedViolations)] {
		fmt.Println("breach:", x)
	}
	if len(violations) > 0 || unended > 0 || failedBatches > 0 {
		return 1
	}
	return 0
}

// readHistory returns the events of the callers and those that the workers recorded.
func (r *callersRun) readHistory() ([]historycheck.Event, error) {
	history := slices.Clone(r.history)
	files, _ := filepath.Glob(filepath.Join(r.recordsDir, "*.jsonl"))
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

// sentJobs returns the time in ms at which each job of this run was first sent.
func (r *callersRun) sentJobs() map[string]int64 {
	sentMs := map[string]int64{}
	for _, e := range r.history {
		if e.Kind == historycheck.JobSent {
			sentMs[e.Job] = e.AtMs
		}
	}
	return sentMs
}

// withoutForeignJobs removes the events of jobs that another execution of the command submitted.
func withoutForeignJobs(history []historycheck.Event, sentMs map[string]int64) []historycheck.Event {
	prefix, _, _ := strings.Cut(anyKey(sentMs), "-")
	return slices.DeleteFunc(history, func(e historycheck.Event) bool {
		_, ok := sentMs[e.Job]
		return e.Job != "" && !ok && strings.HasPrefix(e.Job, prefix)
	})
}

// startsByClass returns how many runs of each class started, and how long jobs waited for their first run.
func startsByClass(
	history []historycheck.Event, sentMs map[string]int64,
) (runs map[string]int, firstStarts map[string]any) {
	runs, firstStarts = map[string]int{}, map[string]any{}
	waitsMs, seen := map[string][]int64{}, map[string]bool{}
	for _, e := range history {
		if e.Kind != historycheck.Start {
			continue
		}
		runs[e.Text]++
		if at, ok := sentMs[e.Job]; ok && !seen[e.Job] {
			seen[e.Job] = true
			waitsMs[e.Text] = append(waitsMs[e.Text], e.AtMs-at)
		}
	}
	for _, class := range []string{"guaranteed", "queueable"} {
		s := percentiles(waitsMs[class])
		s["jobs"] = int64(len(waitsMs[class]))
		firstStarts[class] = s
	}
	return runs, firstStarts
}

// percentiles returns the median and the 99th percentile of durations in ms.
func percentiles(ms []int64) map[string]int64 {
	return map[string]int64{"median": quantile(ms, 0.5), "p99": quantile(ms, 0.99)}
}

func anyKey(m map[string]int64) string {
	for k := range m {
		return k
	}
	return ""
}
