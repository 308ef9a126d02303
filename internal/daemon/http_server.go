package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"otterchute/internal/configuration"
	"otterchute/internal/ingress"
	"otterchute/internal/jobtrace"
	"otterchute/internal/resource"
	"otterchute/internal/schema"
	"otterchute/internal/wire"
	"otterchute/platform"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/tidwall/gjson"
	"go.uber.org/fx"
)

const (
	apiHeaderMaxBytes     = 16 << 10 // size of a request's headers
	metricsConcurrencyMax = 4        // requests for the metrics at a time; others get 503

	replyTimeoutMs  = 4000            // normal replies take far less; guards against a fault in the control thread
	stageMetricName = "stage_seconds" // histogram of the time that tasks and jobs spend in each stage
)

// httpServer turns HTTP calls into requests to the control thread and its replies into
// HTTP responses.
type httpServer struct {
	loop   *controlLoop
	budget *ingress.Budget // bounds what callers can hold
	server *http.Server
	ln     net.Listener
	mu     sync.Mutex
	seq    uint64 // ID of the latest request
}

func newHTTPServer(s settings, budget *ingress.Budget, l *controlLoop, _ *executor) (*httpServer, error) {
	gin.SetMode(gin.ReleaseMode)
	h := &httpServer{loop: l, budget: budget}
	if s.HTTP != "" {
		ln, err := net.Listen("tcp", s.HTTP)
		if err != nil {
			return nil, errors.Wrapf(errSettings, "http: %v", err)
		}
		h.ln = budget.Gate(apiClass(s)).Listen(ln)
	}
	router := gin.New()
	router.Use(gin.Recovery())
	for _, route := range []struct{ method, path, op, param string }{
		{"PUT", "/v1/jobs/:id", "job.put", "id"}, {"GET", "/v1/jobs/:id", "job.get", "id"},
		{"POST", "/v1/jobs/:id/cancel", "job.cancel", "id"}, {"GET", "/v1/jobs/:id/explain", "job.explain", "id"},
		{"PUT", "/v1/setups/:id", "setup.put", "id"}, {"GET", "/v1/setups/current", "setup.get", ""},
		{"POST", "/v1/workers/:id/report", "worker.report", "id"}, {"GET", "/v1/workers", "workers", ""},
		{"GET", "/v1/members", "members", ""}, {"GET", "/v1/soundness", "soundness", ""},
		{"PUT", "/v1/sites/:id/empty", "site.empty", "id"}, {"DELETE", "/v1/sites/:id/empty", "site.open", "id"},
		{"GET", "/v1/ready", "ready", ""},
	} {
		router.Handle(route.method, route.path, func(c *gin.Context) { h.serve(c, route.op, c.Param(route.param)) })
	}
	router.POST("/v1/workers/:id/lost", h.serveWorkerLost)
	router.GET("/v1/tenants", h.serveTenants)
	registry := prometheus.NewRegistry()
	registry.MustRegister(h)
	metrics := promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: metricsConcurrencyMax})
	router.GET("/metrics", gin.WrapH(metrics))
	router.NoRoute(func(c *gin.Context) { c.JSON(404, gin.H{"error": "no such path"}) })
	h.server = &http.Server{
		Handler:           ingress.Handler(router),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       20 * time.Second,
		WriteTimeout:      20 * time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    apiHeaderMaxBytes,
		ConnContext:       ingress.ConnContext,
		ConnState:         ingress.ConnState,
	}
	return h, nil
}

// apiClass returns the class of the API's callers. Without a platform, all callers use the API.
func apiClass(s settings) ingress.Class {
	if s.adapter == nil {
		return ingress.Callers
	}
	return ingress.API
}

func runHTTPServer(lc fx.Lifecycle, h *httpServer) {
	if h.ln == nil {
		return
	}
	lc.Append(fx.Hook{OnStart: func(context.Context) error { go func() { _ = h.server.Serve(h.ln) }(); return nil },
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			return h.server.Shutdown(ctx)
		}})
}

// request posts a request to the control thread and waits for its reply.
func (h *httpServer) request(ctx context.Context, e evRequest) effReply {
	switch e.Op {
	case "setup.put": // parsed here, since thousands of queues would block the control thread
		var faults []schema.Fault
		if e.Precompiled, faults = configuration.Parse(e.Key, e.Body); len(faults) > 0 {
			return effReply{Status: 400, Body: faultsJSON(faults)}
		}
	case "ready":
		if reason := h.loop.notReadyReason(); reason != "" {
			return effReply{Status: 503, RetryMs: 1000, Body: mustJSON(map[string]any{"error": reason})}
		}
		return effReply{Status: 200, Body: []byte(`{"ready":true}`)}
	}
	ch := make(chan effReply, 1)
	h.mu.Lock()
	h.seq++
	e.ID = h.seq
	h.mu.Unlock()
	select {
	case h.loop.queue <- func(exec *executor) {
		exec.ports.(*processPorts).pendingReplies[e.ID] = ch
		exec.event(e)
	}:
	default: // the queue of the control thread is full: reject at once
		return effReply{Status: 429, RetryMs: 1000, Body: []byte(`{"error":"this daemon is too busy"}`)}
	}
	timeout := time.NewTimer(replyTimeoutMs * time.Millisecond)
	defer timeout.Stop()
	select {
	case r := <-ch:
		return r
	case <-ctx.Done():
	case <-timeout.C:
	case <-h.loop.quit:
	}
	h.loop.post(func(exec *executor) { delete(exec.ports.(*processPorts).pendingReplies, e.ID) })
	status := 503
	if e.Op == "queue.submit" || e.Op == "queue.cancel" { // it may still take effect
		status = 504
	}
	return effReply{Status: status, RetryMs: 1000, Body: []byte(`{"error":"this daemon gave no answer"}`)}
}

// servePlatform handles a call that arrived through the platform.
func (h *httpServer) servePlatform(ctx context.Context, c platform.Call) platform.Response {
	if len(c.Body) > bodyMaxBytes && c.Op != "setup.put" && c.Op != "worker.beat" {
		return platform.Response{
			Status: 400,
			Body:   faultsJSON([]schema.Fault{{Path: "", Reason: fmt.Sprintf("is larger than %d bytes", bodyMaxBytes)}}),
		}
	}
	r := h.request(
		ctx,
		evRequest{
			Op: c.Op, Key: c.Key, Host: c.Host, Path: c.Path, Base: c.BaseVersion, Digest: c.Digest, Body: c.Body,
			Credential: c.Credential, Connection: c.Connection,
		},
	)
	return platform.Response{Status: r.Status, RetryAfterMs: r.RetryMs, Body: r.Body}
}

func (h *httpServer) serve(c *gin.Context, op, key string) {
	maxBytes := int64(bodyMaxBytes)
	if op == "setup.put" || op == "worker.report" {
		maxBytes = min(configuration.MaxBytes, h.budget.MaxDocumentBytes())
	}
	body, err := ingress.ReadBody(c.Request, maxBytes)
	if err != nil {
		writeBodyError(c, err, maxBytes)
		return
	}
	e := evRequest{Op: op, Key: key, Base: -1, Body: body}
	if on := c.Query("on"); on != "" && op == "setup.put" {
		if e.Base, err = strconv.ParseInt(on, 10, 64); err != nil || e.Base < 0 {
			writeReply(
				c,
				effReply{
					Status: 400,
					Body: faultsJSON(
						[]schema.Fault{{Path: "on", Reason: "must be the version it builds on, a whole number of 0 or more"}},
					),
				},
			)
			return
		}
	}
	writeReply(c, h.request(c.Request.Context(), e))
}

// writeBodyError rejects a request whose body was not read.
func writeBodyError(c *gin.Context, err error, maxBytes int64) {
	switch {
	case errors.Is(err, ingress.ErrTooLarge):
		fault := schema.Fault{Path: "", Reason: fmt.Sprintf("is larger than %d bytes", maxBytes)}
		c.JSON(400, gin.H{"error": "the body is too large", "faults": []schema.Fault{fault}})
	case errors.Is(err, ingress.ErrNoRoom):
		c.Header("Connection", "close")
		writeReply(c, noRoomReply)
	default:
		c.JSON(400, gin.H{"error": "the body could not be read"})
	}
}

// noRoomReply rejects a request for which there is no memory now.
var noRoomReply = effReply{Status: 503, RetryMs: 1000, Body: []byte(`{"error":"no room for this request now"}`)}

func writeReply(c *gin.Context, r effReply) {
	if !ingress.Reserve(c.Request.Context(), len(r.Body)) {
		r = noRoomReply
	}
	if r.RetryMs > 0 {
		c.Header("Retry-After", strconv.FormatInt((r.RetryMs+999)/1000, 10))
	}
	c.Data(r.Status, "application/json", r.Body)
}

// serveWorkerLost reports to the owner of every shard that a worker is permanently lost.
func (h *httpServer) serveWorkerLost(c *gin.Context) {
	ctx := c.Request.Context()
	tasks := int64(0)
	members := h.request(ctx, evRequest{Op: "members", Base: -1})
	for _, s := range gjson.GetBytes(members.Body, "slices").Array() {
		r := h.request(ctx, evRequest{Op: "worker.lost", Key: s.Str + "/" + c.Param("id"), Base: -1})
		if r.Status != 200 {
			writeReply(c, r)
			return
		}
		tasks += gjson.GetBytes(r.Body, "tasks").Int()
	}
	c.JSON(200, gin.H{"tasks": tasks})
}

// Describe sends no descriptors, which makes this an unchecked collector: the set of
// counters is known only to the control thread, which has not started at registration.
func (h *httpServer) Describe(chan<- *prometheus.Desc) {}

// Collect reads the counters and gauges on the control thread and sends them as metrics.
func (h *httpServer) Collect(ch chan<- prometheus.Metric) {
	collected := make(chan struct{})
	counts, gauges, meter := map[string]int64{}, map[string]float64{}, map[meterKey]float64{}
	var stages map[jobtrace.Key]jobtrace.Histogram
	var tenants map[string]tenantGauges
	h.loop.post(func(exec *executor) {
		for k, v := range exec.node.counts {
			counts[k] = v
		}
		exec.node.gauges(gauges)
		for k, v := range exec.node.batchMeter {
			meter[k] = v
		}
		stages, tenants = exec.node.stages.Snapshot(), exec.node.tenantMetrics()
		close(collected)
	})
	select {
	case <-collected:
	case <-time.After(replyTimeoutMs * time.Millisecond):
		return
	case <-h.loop.quit:
		return
	}
	for _, k := range sortedKeys(counts) {
		desc := prometheus.NewDesc("otterchute_"+k+"_total", "Count of "+k+" since the start.", nil, nil)
		ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(counts[k]))
	}
	for _, k := range sortedKeys(gauges) {
		desc := prometheus.NewDesc("otterchute_"+k, "Now: "+k+".", nil, nil)
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, gauges[k])
	}
	batches := prometheus.NewDesc("otterchute_batch_core_seconds_total",
		"Processor room of ended batch runs, in the unit of the jobs' room, times seconds, by what it cost.",
		[]string{"contract", "price"}, nil)
	for k, v := range meter { // the registry sorts them
		ch <- prometheus.MustNewConstMetric(batches, prometheus.CounterValue, v, k.Contract, priceText(k.Price))
	}
	collectStages(ch, stages)
	collectTenants(ch, tenants)
}

// collectStages sends the histograms of the time that tasks and jobs spent in each stage.
func collectStages(ch chan<- prometheus.Metric, stages map[jobtrace.Key]jobtrace.Histogram) {
	desc := prometheus.NewDesc("otterchute_"+stageMetricName,
		"How long tasks and jobs of the shards owned here were in a stage.", []string{"queue", "class", "stage"}, nil)
	for key, h := range stages { // the registry sorts them
		ch <- prometheus.MustNewConstHistogram(desc, h.Count(), h.SumSeconds(), h.Buckets(),
			key.Queue, key.Class, key.Stage.String())
	}
}

// collectTenants sends how much of each limit that is counted here is lent, used and claimed.
func collectTenants(ch chan<- prometheus.Metric, tenants map[string]tenantGauges) {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("otterchute_"+name, help, append([]string{"tenant"}, labels...), nil)
	}
	lent := desc("tenant_lent", "What shards may use of a tenant's limit.", "dimension")
	used := desc("tenant_used", "What runs or may run of a tenant.", "dimension")
	claims := desc("tenant_claims", "Units of a tenant that wait for its limit.")
	for tenant, m := range tenants { // the registry sorts them
		for _, g := range []struct {
			desc   *prometheus.Desc
			amount resource.Amount
		}{{lent, m.lent}, {used, m.used}} {
			for name, v := range map[string]int64{"cpu": g.amount.CPU, "memory": g.amount.Memory, "accelerators": g.amount.GPU} {
				ch <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, float64(v), tenant, name)
			}
		}
		ch <- prometheus.MustNewConstMetric(claims, prometheus.GaugeValue, float64(m.claims), tenant)
	}
}

// gauges adds the current values of this daemon's gauges to a map.
func (n *node) gauges(out map[string]float64) {
	n.batchGauges(out)
	out["roles_held"] = float64(len(n.leases.Roles()))
	out["peers"] = float64(n.peers.Len())
	out["workers"] = float64(len(n.workers))
	out["requests_open"] = float64(len(n.forwarded))
	out["setup_version"] = float64(n.config.record.Version)
	out["sync_ms"] = float64(n.diskSyncMs)
	for _, shard := range n.shards {
		out["jobs_live"] += float64(len(shard.jobs))
		out["writes_open"] += float64(len(shard.writes))
	}
	for _, agent := range n.agents {
		for _, attempt := range agent.attempts {
			switch {
			case attempt.state == wire.AttemptQueued:
				out["queued_"+attempt.spec.Class.String()]++
			case attempt.state == wire.AttemptOrdered && attempt.answeredMs == 0:
				out["unsettled"]++
			case attempt.state == wire.AttemptRunning:
				out["running_"+attempt.spec.Class.String()]++
			}
		}
	}
}
