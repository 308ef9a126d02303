package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"otterchute/internal/configuration"
	"otterchute/internal/wire"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
)

// callers hand jobs in and note how long their first starts take.
type callers struct {
	e       *experiment
	fleet   *hollowFleet
	calls   http.Client
	rng     *rand.Rand
	mu      sync.Mutex
	sent    map[string]time.Time
	starts  int64
	waits   *hdrhistogram.Histogram // ms from a job's sending to its first start
	forces  *hdrhistogram.Histogram // ms from a configuration's sending until it is in force everywhere
	failed  int64
	counted bool
	version int64
}

func newCallers(e *experiment, seed int64) *callers {
	return &callers{e: e, rng: rand.New(rand.NewPCG(uint64(seed), 11)), sent: map[string]time.Time{},
		calls: http.Client{Timeout: 2 * replyMs * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		waits: hdrhistogram.New(1, msPerHour, 3), forces: hdrhistogram.New(1, msPerHour, 3)}
}

func (c *callers) started(job string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counted {
		c.starts++
	}
	if sent, ok := c.sent[job]; ok {
		delete(c.sent, job)
		if c.counted {
			_ = c.waits.RecordValue(at.Sub(sent).Milliseconds())
		}
	}
}

// call makes one HTTP call; status 0 stands for silence.
func call(ctx context.Context, c *http.Client, method, url string, body []byte) response {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return response{}
	}
	resp, err := c.Do(req)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }() // what was read is kept, an error would change nothing
	b, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxFrame))
	if err != nil {
		return response{}
	}
	return response{resp.StatusCode, b}
}

func (c *callers) fail() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counted {
		c.failed++
	}
}

// insist calls one daemon after the other until one answers for good.
func (c *callers) insist(ctx context.Context, first int, method, path string, body []byte) response {
	for i := first; ctx.Err() == nil; i++ {
		t := call(ctx, &c.calls, method, "http://"+c.fleet.daemons[i%c.fleet.edges].settings.HTTP+path, body)
		if t.status != 0 && t.status != 503 && t.status != 429 {
			return t
		}
		c.fail()
		time.Sleep(200 * time.Millisecond)
	}
	return response{}
}

// declare makes the next version of the configuration and waits until it is in force everywhere.
func (c *callers) declare(ctx context.Context) error {
	c.version++
	queues := make([]map[string]any, c.e.Queues)
	for i := range queues {
		queues[i] = map[string]any{
			"name":          fmt.Sprintf("q%04d", i),
			"urgency":       i % 100,
			"max_live_jobs": configuration.MaxQueueJobs,
		}
	}
	began := time.Now()
	t := c.insist(
		ctx,
		int(c.version),
		"PUT",
		fmt.Sprint("/v1/setups/", c.version),
		mustJSON(map[string]any{"note": fmt.Sprint("version ", c.version), "queues": queues}),
	)
	if t.status != 200 && t.status != 409 { // 409: an earlier try of this very version came through
		return errors.Wrapf(errExperiment, "the setup was answered %d %s", t.status, t.body)
	}
	for ctx.Err() == nil && !c.fleet.inForce(c.version) {
		time.Sleep(20 * time.Millisecond)
	}
	if ctx.Err() != nil { // it is not known to be in force
		return ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.forces.RecordValue(time.Since(began).Milliseconds())
	return nil
}

func (c *callers) submit(ctx context.Context, id string, tasks, ms int64, gang bool, first int) error {
	body := mustJSON(
		map[string]any{
			"queue":   fmt.Sprintf("q%04d", first%int(c.e.Queues)),
			"payload": map[string]any{"ms": ms},
			"steps": []any{
				map[string]any{
					"name":             "a",
					"count":            tasks,
					"room":             1,
					"limit_ms":         max(4*ms, 60_000),
					"estimate_ms":      ms,
					"allowed_failures": 3,
					"gang":             gang,
				},
			},
		},
	)
	c.mu.Lock()
	c.sent[id] = time.Now()
	c.mu.Unlock()
	if t := c.insist(ctx, first, "PUT", "/v1/jobs/"+id, body); t.status != 200 && t.status != 201 && ctx.Err() == nil {
		return errors.Wrapf(errExperiment, "job %s was answered %d %s", id, t.status, t.body)
	}
	return nil
}

// settle brings the fleet to its declared load before anything is counted.
func (c *callers) settle(ctx context.Context) error {
	if err := c.declare(ctx); err != nil {
		return err
	}
	for left, i := c.e.Running, 0; left > 0; i++ {
		n := min(left, 50)
		if err := c.submit(ctx, fmt.Sprintf("long-%d", i), n, msPerHour, false, i); err != nil {
			return err
		}
		left -= n
	}
	for c.fleet.workers.running() < int(c.e.Running) {
		select {
		case <-ctx.Done():
			return errors.Wrapf(errExperiment, "only %d of %d tasks run", c.fleet.workers.running(), c.e.Running)
		case <-time.After(200 * time.Millisecond):
		}
	}
	return ctx.Err()
}

// load hands jobs and configurations in at the declared rates until the context ends.
func (c *callers) load(ctx context.Context, wait *sync.WaitGroup) {
	if c.e.Starts > 0 {
		wait.Go(func() {
			gap := float64(c.e.Tasks) / float64(c.e.Starts)
			for i := 0; ; i++ {
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Duration(c.rng.ExpFloat64() * gap * float64(time.Second))):
				}
				wait.Go(func() {
					if c.submit(ctx, fmt.Sprintf("short-%d", i), c.e.Tasks, c.e.TaskMs, c.e.Gang > 0, i) != nil {
						c.fail()
					}
				})
			}
		})
	}
	if c.e.Changes > 0 {
		wait.Go(func() {
			for every := time.NewTicker(time.Minute / time.Duration(c.e.Changes)); ; {
				select {
				case <-ctx.Done():
					every.Stop()
					return
				case <-every.C:
					_ = c.declare(ctx)
				}
			}
		})
	}
}
