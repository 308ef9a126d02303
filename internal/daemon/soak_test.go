package daemon

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

var (
	soakSecondsFlag = flag.Int("soak-seconds", 0, "seconds of calls and faults of each soak of real processes; 0 skips it")
	soakSeedFlag    = flag.Uint64("soak-seed", 1, "seed of the first soak")
	soakRunsFlag    = flag.Int("soak-runs", 1, "number of soaks, with seeds in order")
	soakSidesFlag   = flag.Int("soak-workers", 11, "workers of the soak, each with a daemon beside it")
	soakEdgesFlag   = flag.Int("soak-edges", 6, "daemons of the soak that serve callers; the first three have a disk")
)

const (
	soakSettleMs        = 45_000 // jobs must have ended this long after the last call
	soakProgressSeconds = 10
	soakCallMs          = 3000 // a caller waits this long for a response
	soakStallMs         = 400  // a delay of this process's timers that counts as a fault of all machines
	soakGraceMs         = 6000 // a process that was told to stop is killed after this
	soakCatchUpMs       = 4000 // a disk counts as lost for this long after its machine is back
	soakWorkMaxMs       = 2500
)

// TestSoak runs a whole deployment of real daemons on loopback, with workers, callers and an operator that speak the
// users' protocol. Signals, restarts, departures of workers and changes of the configuration come in series and
// overlap. The checker of the simulated platform judges what the workers, callers and the operator saw. A seed draws
// the same faults and jobs again, as far as the timing of real processes allows.
func TestSoak(t *testing.T) {
	if *soakSecondsFlag == 0 {
		t.Skip("only with -soak-seconds")
	}
	bin := buildDaemon(t)
	for i := range *soakRunsFlag {
		seed := *soakSeedFlag + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runSoak(t, bin, seed) })
	}
}

func runSoak(t *testing.T, bin string, seed uint64) {
	s := newSoak(t, bin, seed, soakSize{*soakEdgesFlag, *soakSidesFlag}, usualSoakLimits)
	s.boot()
	end := time.Now().Add(time.Duration(*soakSecondsFlag) * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	go s.printProgress(end, stop)
	var tasks sync.WaitGroup
	for _, task := range []func(time.Time){s.callers, s.operate, s.harmDaemons, s.harmWorkers, s.endManyRuns} {
		tasks.Go(func() { task(end) })
	}
	tasks.Wait()
	s.settle()
	s.stopAll()
	s.mu.Lock()
	defer s.mu.Unlock()
	violations := checkPlatformHistory(s.events, usualPlatformBounds)
	fmt.Printf("soak: seed %d, %d jobs, drawn %v, answers %v, %d violations\n", seed, len(s.jobs), s.counts, s.answers, len(violations))
	for i, v := range violations {
		if i < 10 {
			t.Error(v)
		}
	}
	if len(violations) > 0 {
		s.dump(violations)
	}
}

// printProgress prints a line each few seconds.
func (s *soak) printProgress(end time.Time, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(soakProgressSeconds * time.Second):
		}
		open := len(s.openJobs())
		s.mu.Lock()
		fmt.Printf("soak: seed %d, %d s left, %d jobs, %d open, %d events\n", s.seed, max(0, int(time.Until(end).Seconds())), len(s.jobs), open, len(s.events))
		s.mu.Unlock()
	}
}

// dump writes the history and the daemons' logs to a folder that stays, and prints its path and the command to play
// the seed again.
func (s *soak) dump(violations []platformViolation) {
	dir, err := os.MkdirTemp("", "otterchute-soak-")
	must.NoError(s.t, err)
	var out strings.Builder
	for _, v := range violations {
		fmt.Fprintln(&out, v)
	}
	for _, e := range s.events {
		fmt.Fprintln(&out, e.atMs, e.kind, e.job, e.task, e.worker, e.host, "run", e.run, "n", e.n, e.text, "asked", e.requestedMs)
	}
	must.NoError(s.t, os.WriteFile(filepath.Join(dir, "history.txt"), []byte(out.String()), 0o600))
	must.NoError(s.t, os.CopyFS(filepath.Join(dir, "logs"), os.DirFS(s.dir)))
	s.t.Logf("history in %s; again: go test ./internal/daemon -run 'TestSoak$' -soak-seconds %d -soak-seed %d -soak-workers %d -soak-edges %d",
		dir, *soakSecondsFlag, s.seed, s.size.sides, s.size.edges)
}

// soak is one run: the machines, what was drawn, and the history.
type soak struct {
	t        *testing.T
	bin, dir string
	seed     uint64
	size     soakSize
	begin    time.Time
	machines []*soakMachine // the edges first
	portBase int

	mu      sync.Mutex // guards what follows
	events  []platformEvent
	counts  map[string]int
	answers map[string]int
	jobs    map[string]*platformJob
	workers map[string]*soakWorker // by machine
	lives   int

	setup   *platformSetup // the last one acknowledged
	version int64
	names   map[string]string // the queues' names by prefix
	removed map[string]bool
	nextSeq int
}

// random returns a source of random numbers for one activity.
func (s *soak) random(activity uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, activity)) }

func (s *soak) nowMs() int64 { return time.Since(s.begin).Milliseconds() }

func (s *soak) record(e platformEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLocked(e)
}

func (s *soak) recordLocked(e platformEvent) {
	e.atMs = s.nowMs()
	s.events = append(s.events, e)
}

func (s *soak) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

// fault records that a fault of a machine begins, and returns what records its end.
func (s *soak) fault(text string, m *soakMachine) (done func()) {
	host := ""
	if m != nil {
		host = m.name
	}
	note := func(kind string) {
		s.record(platformEvent{kind: kind, host: host, text: text})
		if m != nil && m.disk {
			s.record(platformEvent{kind: eventCoreChanged, host: host})
		}
	}
	note(eventFaultBegan)
	return func() { note(eventFaultEnded) }
}

// watchStalls records the times at which the box itself did not let this process run.
func (s *soak) watchStalls(stop chan struct{}) {
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if time.Since(last) > soakStallMs*time.Millisecond {
			s.count("stalls of the box")
			s.fault("the box stalled", nil)()
		}
	}
}

// pause sleeps for a random time of at most hiMs.
func pause(rng *rand.Rand, loMs, hiMs int64) {
	time.Sleep(time.Duration(loMs+rng.Int64N(hiMs-loMs)) * time.Millisecond)
}

// harmDaemons sends signals to daemons, in series that overlap. One machine with a disk at a time is harmed.
func (s *soak) harmDaemons(end time.Time) {
	rng := s.random(1)
	var open sync.WaitGroup
	diskFree := make(chan struct{}, 1)
	for time.Now().Before(end) {
		pause(rng, 100, 2500)
		m, name := s.machines[rng.IntN(len(s.machines))], pickString(rng, "TERM", "KILL", "STOP", "HUP", "settings", "KILL twice")
		downMs, again := 200+rng.Int64N(3000), rng.IntN(3) == 0
		if name == "HUP" || name == "settings" {
			s.count(name)
			m.changeSettings(rng, name == "HUP")
			continue
		}
		if m.disk {
			select {
			case diskFree <- struct{}{}:
			default:
				continue
			}
		}
		if !m.claim() {
			if m.disk {
				<-diskFree
			}
			continue
		}
		s.count(name)
		open.Go(func() {
			s.harm(m, name, time.Duration(downMs)*time.Millisecond)
			if again { // a series: the next one comes while the machine is barely back
				time.Sleep(300 * time.Millisecond)
				s.harm(m, "KILL", time.Duration(downMs/2)*time.Millisecond)
			}
			m.release()
			if m.disk {
				time.Sleep(soakCatchUpMs * time.Millisecond)
				<-diskFree
			}
		})
	}
	open.Wait()
}

func (s *soak) harm(m *soakMachine, name string, down time.Duration) {
	defer s.fault(strings.ToLower(name), m)()
	switch name {
	case "STOP":
		m.signal(syscall.SIGSTOP)
		time.Sleep(down)
		m.signal(syscall.SIGCONT)
	case "TERM":
		m.signal(syscall.SIGTERM)
		select {
		case <-m.exited:
		case <-time.After(soakGraceMs * time.Millisecond):
			m.kill()
		}
		time.Sleep(down / 4)
		s.start(m)
	case "KILL twice":
		m.kill()
		s.start(m)
		time.Sleep(down / 8)
		m.kill()
		time.Sleep(down)
		s.start(m)
	default:
		m.kill()
		time.Sleep(down)
		s.start(m)
	}
}

// harmWorkers lets workers crash, leave in each way, and send heartbeats that arrive late.
func (s *soak) harmWorkers(end time.Time) {
	rng := s.random(2)
	var open sync.WaitGroup
	for time.Now().Before(end) {
		pause(rng, 200, 2500)
		m := s.machines[s.size.edges+rng.IntN(s.size.sides)]
		name, awayMs := pickString(rng, "crash", "drain", "sign-off first", "late heartbeats", "late heartbeats and crash"), 100+rng.Int64N(3000)
		w := s.workerOn(m)
		if w == nil || !w.claim() {
			continue
		}
		s.count(name)
		if strings.HasPrefix(name, "late heartbeats") {
			w.delayHeartbeats(1 + rng.IntN(3))
		}
		if name == "late heartbeats" {
			w.release()
			continue
		}
		open.Go(func() {
			w.leave(name)
			time.Sleep(time.Duration(awayMs) * time.Millisecond)
			s.startWorker(m)
		})
	}
	open.Wait()
}

func (s *soak) workerOn(m *soakMachine) *soakWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[m.name]
}

func pickString(rng *rand.Rand, from ...string) string { return from[rng.IntN(len(from))] }

// settle waits for all accepted jobs to end, and reads the configuration back.
func (s *soak) settle() {
	for deadline := s.nowMs() + soakSettleMs; s.nowMs() < deadline && len(s.openJobs()) > 0; {
		time.Sleep(100 * time.Millisecond)
	}
	for _, j := range s.openJobs() {
		s.record(platformEvent{kind: eventFinalState, job: j.id, text: j.state})
	}
	for _, m := range s.machines[:s.size.edges] {
		asked := s.nowMs()
		status, body, _ := httpCall(soakCallMs, "GET", m.control(), "/configuration", "", nil, nil)
		if status == 200 {
			s.record(platformEvent{kind: eventSetupShown, n: gjson.GetBytes(body, "configVersion").Int(), requestedMs: asked})
		}
	}
}

func (s *soak) openJobs() (open []*platformJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range sortedKeys(s.jobs) {
		if j := s.jobs[id]; j.acked && !j.final() {
			open = append(open, j)
		}
	}
	return open
}

func soakJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // all values can be encoded
	}
	return b
}
