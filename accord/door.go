package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/tidwall/gjson"
	"go.uber.org/fx"
)

// door is the HTTP side: it turns requests into asks for the control thread
// and its replies into answers.
type door struct {
	loop   *loop
	server *http.Server
	ln     net.Listener
	mu     sync.Mutex
	seq    uint64
}

func newDoor(s settings, l *loop, _ *shell) (*door, error) {
	gin.SetMode(gin.ReleaseMode)
	d := &door{loop: l}
	ln, err := net.Listen("tcp", s.HTTP)
	if err != nil {
		return nil, errors.Wrapf(errSettings, "http: %v", err)
	}
	d.ln = ln
	r := gin.New()
	r.Use(gin.Recovery())
	for _, m := range []struct{ method, path, op, param string }{
		{"PUT", "/v1/jobs/:id", "job.put", "id"}, {"GET", "/v1/jobs/:id", "job.get", "id"}, {"POST", "/v1/jobs/:id/cancel", "job.cancel", "id"},
		{"PUT", "/v1/setups/:id", "setup.put", "id"}, {"GET", "/v1/setups/current", "setup.get", ""},
		{"POST", "/v1/workers/:id/report", "worker.report", "id"}, {"GET", "/v1/workers", "workers", ""},
		{"GET", "/v1/members", "members", ""}, {"GET", "/v1/soundness", "soundness", ""},
	} {
		r.Handle(m.method, m.path, func(c *gin.Context) { d.serve(c, m.op, c.Param(m.param)) })
	}
	r.POST("/v1/workers/:id/lost", d.lost)
	reg := prometheus.NewRegistry()
	reg.MustRegister(d)
	r.GET("/metrics", gin.WrapH(promhttp.HandlerFor(reg, promhttp.HandlerOpts{})))
	r.NoRoute(func(c *gin.Context) { c.JSON(404, gin.H{"error": "no such path"}) })
	d.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 20 * time.Second, IdleTimeout: time.Minute}
	return d, nil
}

func runDoor(lc fx.Lifecycle, d *door) {
	lc.Append(fx.Hook{OnStart: func(context.Context) error { go func() { _ = d.server.Serve(d.ln) }(); return nil },
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			return d.server.Shutdown(ctx)
		}})
}

// ask posts one ask and waits for its reply.
func (d *door) ask(ctx context.Context, op, key string, body []byte) effReply {
	var ready *compiled
	if op == "setup.put" { // checked here, since thousands of queues would hold the control thread up
		var faults []fault
		if ready, faults = checkSetup(key, body); len(faults) > 0 {
			return effReply{Status: 400, Body: faultsBody(faults)}
		}
	}
	ch := make(chan effReply, 1)
	d.mu.Lock()
	d.seq++
	id := d.seq
	d.mu.Unlock()
	select {
	case d.loop.jobs <- func(s *shell) {
		s.p.(*realPorts).waiting[id] = ch
		s.event(evAsk{ID: id, Op: op, Key: key, Body: body, Ready: ready})
	}:
	default: // the control thread is far behind: say so at once
		return effReply{Status: 429, RetryMs: 1000, Body: []byte(`{"error":"this daemon is too busy"}`)}
	}
	select {
	case r := <-ch:
		return r
	case <-ctx.Done():
	case <-time.After(replyMs * time.Millisecond):
	case <-d.loop.quit:
	}
	d.loop.post(func(s *shell) { delete(s.p.(*realPorts).waiting, id) })
	return effReply{Status: 503, RetryMs: 1000, Body: []byte(`{"error":"this daemon gave no answer"}`)}
}

func (d *door) serve(c *gin.Context, op, key string) {
	limit := int64(bodyMax + 1)
	if op == "setup.put" || op == "worker.report" {
		limit = setupMax + 1
	}
	body, err := io.ReadAll(io.LimitReader(c.Request.Body, limit))
	if err != nil {
		c.JSON(400, gin.H{"error": "the body could not be read"})
		return
	}
	if int64(len(body)) >= limit {
		c.JSON(400, gin.H{"error": "the body is too large", "faults": []fault{{"", fmt.Sprintf("is larger than %d bytes", limit-1)}}})
		return
	}
	answer(c, d.ask(c.Request.Context(), op, key, body))
}

func answer(c *gin.Context, r effReply) {
	if r.RetryMs > 0 {
		c.Header("Retry-After", strconv.FormatInt((r.RetryMs+999)/1000, 10))
	}
	c.Data(r.Status, "application/json", r.Body)
}

// lost tells every slice's owner that a worker is gone for good.
func (d *door) lost(c *gin.Context) {
	ctx := c.Request.Context()
	tasks := int64(0)
	members := d.ask(ctx, "members", "", nil)
	for _, s := range gjson.GetBytes(members.Body, "slices").Array() {
		r := d.ask(ctx, "worker.lost", s.Str+"/"+c.Param("id"), nil)
		if r.Status != 200 {
			answer(c, r)
			return
		}
		tasks += gjson.GetBytes(r.Body, "tasks").Int()
	}
	c.JSON(200, gin.H{"tasks": tasks})
}

// Describe names nothing beforehand: to do so it would have to ask a control
// thread that has not begun. The collector lets such counts come and go.
func (d *door) Describe(chan<- *prometheus.Desc) {}

// Collect reads the counts once.
func (d *door) Collect(ch chan<- prometheus.Metric) {
	got := make(chan struct{})
	counts, gauges := map[string]int64{}, map[string]float64{}
	d.loop.post(func(s *shell) {
		for k, v := range s.n.counts {
			counts[k] = v
		}
		s.n.gauges(gauges)
		close(got)
	})
	select {
	case <-got:
	case <-time.After(replyMs * time.Millisecond):
		return
	case <-d.loop.quit:
		return
	}
	for _, k := range sorted(counts) {
		ch <- prometheus.MustNewConstMetric(prometheus.NewDesc("accord_"+k+"_total", "Count of "+k+" since the start.", nil, nil), prometheus.CounterValue, float64(counts[k]))
	}
	for _, k := range sorted(gauges) {
		ch <- prometheus.MustNewConstMetric(prometheus.NewDesc("accord_"+k, "Now: "+k+".", nil, nil), prometheus.GaugeValue, gauges[k])
	}
}

func (n *node) gauges(out map[string]float64) {
	for k, v := range map[string]int{"duties_held": len(n.duties), "siblings": len(n.siblings), "workers": len(n.workers), "asks_open": len(n.asks)} {
		out[k] = float64(v)
	}
	out["setup_version"] = float64(n.setup.doc.Version)
	out["sync_ms"] = float64(n.syncMs)
	for _, sl := range n.owned {
		out["jobs_live"] += float64(len(sl.jobs))
		out["writes_open"] += float64(len(sl.writes))
	}
	for _, ag := range n.agents {
		for _, h := range ag.held {
			switch {
			case h.state == heldQueued:
				out["queued_"+classNames[h.spec.Class]]++
			case h.state == heldOrdered && h.answeredMs == 0:
				out["unsettled"]++
			case h.state == heldRunning:
				out["running_"+classNames[h.spec.Class]]++
			}
		}
	}
}
