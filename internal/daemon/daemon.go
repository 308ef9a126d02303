package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"otterchute/internal/configuration"
	"otterchute/internal/ingress"
	"otterchute/internal/statestore"
	"otterchute/internal/storage"
	"otterchute/internal/wire"
	"otterchute/platform"

	"github.com/go-faster/errors"
	"github.com/go-logfmt/logfmt"
	"github.com/go-logr/logr"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"golang.org/x/sys/unix"
)

const (
	defaultMemoryBytes = 512 << 20 // assumed for the budget of clients where no platform sets a limit
	maxDescriptors     = 20_000    // more are not counted on, whatever the operating system allows

	loopQueueMax = 8192 // queued events of the control thread; beyond that, posting blocks
)

// steadyClock is the monotonic clock of leases and timeouts. Changes of the wall
// clock don't affect it, and it advances while the machine is suspended.
type steadyClock struct{ base int64 }

func bootMs() int64 {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		panic("CLOCK_BOOTTIME is not available") // Linux has it since 2.6.39
	}
	return ts.Nano() / 1e6
}

func newSteadyClock() *steadyClock { return &steadyClock{base: bootMs() - 1000} }

func (s *steadyClock) nowMs() int64 { return bootMs() - s.base }

func newSeed() uint64 {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	return binary.BigEndian.Uint64(bytes[:])
}

// logfmtSink is a logr.LogSink that writes one logfmt line per event.
type logfmtSink struct {
	mu    *sync.Mutex
	out   io.Writer
	level int
	pairs []any
}

func (l *logfmtSink) Init(logr.RuntimeInfo)  {}
func (l *logfmtSink) Enabled(level int) bool { return level <= l.level }
func (l *logfmtSink) Info(_ int, msg string, kv ...any) {
	l.write("info", msg, kv)
}

func (l *logfmtSink) Error(err error, msg string, kv ...any) {
	l.write("error", msg, append(kv, "err", err))
}

func (l *logfmtSink) write(level, msg string, kv []any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	encoder := logfmt.NewEncoder(l.out)
	fields := append(
		[]any{"at", time.Now().UTC().Format(time.RFC3339Nano), "level", level, "event", msg},
		append(l.pairs, kv...)...)
	for i := 0; i+1 < len(fields); i += 2 {
		if encoder.EncodeKeyval(fields[i], fields[i+1]) != nil {
			_ = encoder.EncodeKeyval(fields[i], mustJSON(fields[i+1]))
		}
	}
	_ = encoder.EndRecord()
}

func (l *logfmtSink) WithValues(kv ...any) logr.LogSink {
	sink := *l
	sink.pairs = append(append([]any{}, l.pairs...), kv...)
	return &sink
}
func (l *logfmtSink) WithName(string) logr.LogSink { return l }

func newLog(s settings) logr.Logger {
	level := 0
	if s.LogLevel == "debug" {
		level = 1
	}
	return logr.New(
		&logfmtSink{mu: &sync.Mutex{}, out: os.Stderr, level: level},
	).WithValues(
		"daemon",
		s.Name,
		"site",
		s.Zone,
	)
}

// controlLoop runs the control thread, the only goroutine that uses the executor and
// its node. Other goroutines post functions to it.
type controlLoop struct {
	clock        *steadyClock
	queue        chan func(*executor)
	quit         chan struct{}
	done         chan struct{}
	executor     *executor
	selfMessages []func(*executor) // messages of this daemon to itself, handled after the event that sent them
	ready        atomic.Pointer[readiness]
}

// readiness is the state that the control thread last published for readiness checks.
// Checks come each second, so they read it directly and don't wait in the queue of the
// control thread.
type readiness struct {
	atMs   int64
	reason string // why the daemon isn't ready; "" if it is
}

// notReadyReason returns why this daemon should receive no client traffic, or "" if it
// should.
func (l *controlLoop) notReadyReason() string {
	r := l.ready.Load()
	if r == nil || l.clock.nowMs()-r.atMs > freezeThresholdMs {
		return "the control thread is behind"
	}
	return r.reason
}

func newControlLoop(clock *steadyClock) *controlLoop {
	return &controlLoop{
		clock: clock,
		queue: make(chan func(*executor), loopQueueMax),
		quit:  make(chan struct{}),
		done:  make(chan struct{}),
	}
}

// post queues a function for the control thread. It blocks while the queue is full.
func (l *controlLoop) post(event func(*executor)) {
	select {
	case l.queue <- event:
	case <-l.quit:
	}
}

func (l *controlLoop) run() {
	defer close(l.done)
	ticker := time.NewTicker(tickMs * time.Millisecond)
	defer ticker.Stop()
	for {
		for len(l.selfMessages) > 0 {
			handle := l.selfMessages[0]
			l.selfMessages = l.selfMessages[1:]
			handle(l.executor)
		}
		select {
		case handle := <-l.queue:
			handle(l.executor)
		case <-ticker.C:
			l.executor.event(evTick{})
			l.ready.Store(&readiness{l.clock.nowMs(), l.executor.node.notReadyReason()})
		case <-l.quit:
			return
		}
	}
}

// event adds the clock readings and a random seed to an event body and processes it.
func (exec *executor) event(body any) {
	p := exec.ports.(*processPorts)
	exec.step(event{NowMs: p.loop.clock.nowMs(), WallMs: time.Now().UnixMilli(), Seed: newSeed(), Body: body})
}

// processPorts carries out effects with the network, the disk and the log of the process.
type processPorts struct {
	loop           *controlLoop
	transport      *wire.Transport
	disk           *storage.Log
	orders         *orderSender
	log            logr.Logger
	pendingReplies map[uint64]chan effReply // only the control thread touches it
	exit           func()
	selfAddr       string
}

func (p *processPorts) Send(head wire.Header, to, addr string, msg any) {
	frame := wire.EncodeFrame(head, msg)
	if addr == p.selfAddr { // messages to itself are encoded too, but don't use the network
		header, message, err := wire.DecodeFrame(frame)
		if err == nil {
			p.loop.selfMessages = append(p.loop.selfMessages, func(exec *executor) {
				exec.event(evMsg{Head: header, Msg: message})
			})
		}
		return
	}
	p.transport.Send(addr, frame)
}

func (p *processPorts) Append(entries []statestore.Entry, done func()) {
	if p.disk != nil {
		p.disk.Append(entries, done)
	}
}

func (p *processPorts) Snapshot(entries []statestore.Entry) {
	p.disk.Snapshot(entries)
}
func (p *processPorts) Wipe(id uint64) { p.disk.Wipe(id) }

func (p *processPorts) Reply(e effReply) {
	if ch := p.pendingReplies[e.ID]; ch != nil {
		delete(p.pendingReplies, e.ID)
		ch <- e
	}
}

func (p *processPorts) Order(e effOrder) {
	go func() {
		outcome := p.orders.deliver(e)
		p.loop.post(func(exec *executor) {
			exec.event(evOrder{Worker: e.Worker, Key: e.Key, Stop: e.Stop, Outcome: outcome})
		})
	}()
}

func (p *processPorts) Log(event string, pairs []any) { p.log.Info(event, pairs...) }
func (p *processPorts) Exit()                         { p.exit() }

// daemonModules returns the modules of `otterchute run`.
func daemonModules(s settings) fx.Option {
	return fx.Options(
		fx.Supply(s),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Module("clock", fx.Provide(newSteadyClock)),
		fx.Module("log", fx.Provide(newLog)),
		fx.Module("ingress", fx.Provide(newIngressBudget)),
		fx.Module("loop", fx.Provide(newControlLoop)),
		fx.Module("disk", fx.Provide(provideDisk)),
		fx.Module("wire", fx.Provide(provideWire)),
		fx.Module("orders", fx.Provide(func(c *steadyClock) *orderSender {
			return &orderSender{clock: c, slots: make(chan struct{}, ordersMax)}
		})),
		fx.Module("node", fx.Provide(provideExecutor), fx.Invoke(runExecutor)),
		fx.Module("http", fx.Provide(newHTTPServer), fx.Invoke(runHTTPServer)),
		// The platform is the last module, so that it stops first, while the modules that it uses still run.
		fx.Module("platform", fx.Invoke(runPlatform)),
	)
}

// diskHandles holds the open log and the state read from it; both are nil without a
// data directory.
type diskHandles struct {
	disk  *storage.Log
	store *statestore.Store
}

// diskListener posts the notifications of the disk to the control thread.
type diskListener struct{ post func(func(*executor)) }

// Committed runs the callbacks that waited for entries to be durable.
func (d diskListener) Committed(entries int, took time.Duration, done []func()) {
	d.post(func(exec *executor) {
		if entries > 0 {
			exec.node.diskSyncMs = took.Milliseconds()
			exec.node.count("syncs")
		}
		for _, do := range done {
			do()
		}
	})
}

// Failed makes the daemon stop acting as a core member.
func (d diskListener) Failed(cause error) {
	d.post(func(exec *executor) { exec.event(evDisk{Failed: cause.Error()}) })
}

// Lost makes the daemon start over with an empty disk, after synced entries were lost.
func (d diskListener) Lost() { d.post(func(exec *executor) { exec.event(evDisk{Lost: true}) }) }

// Recovered makes the daemon act as a core member again.
func (d diskListener) Recovered() {
	d.post(func(exec *executor) { exec.event(evDisk{Recovered: true}) })
}

func provideDisk(lc fx.Lifecycle, s settings, l *controlLoop, log logr.Logger) (diskHandles, error) {
	if s.Data == "" {
		return diskHandles{}, nil
	}
	disk, store, err := storage.Open(s.Data, newSeed()|1, func(e string, kv ...any) { log.Info(e, kv...) })
	if err != nil {
		return diskHandles{}, err
	}
	lc.Append(fx.Hook{OnStart: func(context.Context) error { go disk.Run(diskListener{l.post}); return nil },
		OnStop: func(context.Context) error { disk.Close(); return nil }})
	return diskHandles{disk, store}, nil
}

func provideWire(
	lc fx.Lifecycle,
	s settings,
	l *controlLoop,
	budget *ingress.Budget,
	log logr.Logger,
) (*wire.Transport, error) {
	compiler := &configuration.Precompiler{}
	receive := func(h wire.Header, msg any) {
		ready := compiler.Compile(msg)
		l.post(func(exec *executor) { exec.event(evMsg{Head: h, Msg: msg, Precompiled: ready}) })
	}
	transport, err := wire.NewTransport(
		wire.Options{
			Addr:    s.Addr,
			Gate:    budget.Gate(ingress.Peers),
			Receive: receive,
			Events:  func(e string, kv ...any) { log.Info(e, kv...) },
		},
	)
	if err != nil {
		return nil, errors.Wrapf(errSettings, "addr: %v", err)
	}
	lc.Append(fx.Hook{OnStart: func(context.Context) error { go transport.Serve(); return nil },
		OnStop: func(context.Context) error { transport.Close(); return nil }})
	return transport, nil
}

func provideExecutor(
	s settings,
	l *controlLoop,
	w *wire.Transport,
	handles diskHandles,
	sender *orderSender,
	log logr.Logger,
	shutdowner fx.Shutdowner,
) *executor {
	cfg := nodeConfig{
		Name:           s.Name,
		Incarnation:    uint64(time.Now().UnixNano()),
		Instance:       newInstanceID(),
		Addr:           s.Addr,
		HTTP:           s.HTTP,
		Zone:           s.Zone,
		Seeds:          s.Seeds,
		Disk:           handles.disk != nil,
		FinishedKeepMs: s.KeepHours * msPerHour,
		SnapshotBytes:  snapshotMinBytes,
		ThresholdMs:    s.ThresholdMs,
		KLowest:        int(s.KLowest),
		TargetSigma:    s.TargetSigma,
		CoreSize: int(
			s.CoreSize,
		),
		FirstStart:           s.FirstStart,
		Colocated:            s.Colocated,
		MaxHoldMs:            s.MaxHoldMs,
		GangWaitMs:           s.GangWaitMs,
		CheckpointIntervalMs: s.CheckpointIntervalMs,
		RestoreMs:            s.RestoreMs,
		SpreadFactor:         s.SpreadFactor,
		MilliCores:           s.MilliCores,
		LinkMbps:             s.LinkMbps,
		Policies:             s.Policies,
	}
	if handles.disk != nil {
		cfg.DiskID = handles.disk.ID()
	}
	ports := &processPorts{
		loop:           l,
		transport:      w,
		disk:           handles.disk,
		orders:         sender,
		log:            log,
		pendingReplies: map[uint64]chan effReply{},
		selfAddr:       s.Addr,
		exit:           sync.OnceFunc(func() { go func() { _ = shutdowner.Shutdown() }() }),
	}
	l.executor = &executor{node: newNode(cfg, handles.store), ports: ports}
	return l.executor
}

// runExecutor starts the control thread and stops the daemon gracefully on the first
// SIGTERM or SIGINT.
func runExecutor(lc fx.Lifecycle, l *controlLoop, _ *executor, log logr.Logger) {
	lc.Append(fx.Hook{OnStart: func(context.Context) error {
		log.Info("started", "pid", os.Getpid())
		go l.run()
		signals := make(chan os.Signal, 4)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		go func() {
			<-signals
			l.post(func(exec *executor) { exec.event(evStop{}) })
			<-signals // a second signal ends the process at once
			os.Exit(1)
		}()
		return nil
	}, OnStop: func(context.Context) error {
		close(l.quit)
		<-l.done
		log.Info("stopped")
		return nil
	}})
}

// newIngressBudget returns the budget of what clients can hold, from the limits of the platform and of the operating
// system.
func newIngressBudget(s settings) *ingress.Budget {
	limits := ingress.Limits{MemoryBytes: s.MemoryMb << 20, Descriptors: s.Descriptors}
	if limits.MemoryBytes <= 0 {
		limits.MemoryBytes = defaultMemoryBytes
	}
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err == nil && system.Cur < maxDescriptors {
		limits.Descriptors = minPositive(limits.Descriptors, int(system.Cur))
	}
	limits.Descriptors = minPositive(limits.Descriptors, maxDescriptors)
	return ingress.NewBudget(limits)
}

// minPositive returns the smaller of two numbers, or b if a is not set.
func minPositive(a, b int) int {
	if a <= 0 {
		return b
	}
	return min(a, b)
}

// runPlatform serves the addresses of the platform, if there is one. It starts to serve
// at once; a call that can't be handled yet is rejected. On a stop, the roles are handed
// over first; then every call that was read is answered.
func runPlatform(
	lc fx.Lifecycle,
	s settings,
	server *httpServer,
	budget *ingress.Budget,
	l *controlLoop,
	log logr.Logger,
	shutdowner fx.Shutdowner,
) {
	if s.adapter == nil {
		return
	}
	if s.MemoryMb > 0 {
		debug.SetMemoryLimit(s.MemoryMb << 20 / 4 * 3)
	}
	adapter := s.adapter
	lc.Append(fx.Hook{OnStart: func(context.Context) error {
		adapter.OnChange(func(p platform.DaemonSettings) {
			l.post(func(exec *executor) { exec.event(evSeeds{Seeds: p.Seeds}) })
		})
		go func() {
			if err := adapter.Serve(platform.Service{Handler: server.servePlatform, Budget: budget}); err != nil {
				log.Error(err, "platform_failed")
				_ = shutdowner.Shutdown(fx.ExitCode(int(exitFailure)))
			}
		}()
		return nil
	}, OnStop: func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, shutdownTimeoutMs*time.Millisecond)
		defer cancel()
		adapter.Close(ctx)
		return nil
	}})
}
