package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"otterchute/internal/historycheck"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// runningTime counts the time during which this process could run when it was ready. On an
// idle machine this is the wall clock time.
type runningTime struct {
	elapsed atomic.Int64 // ns
	stop    chan struct{}
}

const runningTimeStep = 10 * time.Millisecond

func startRunningTime(t *testing.T) *runningTime {
	r := &runningTime{stop: make(chan struct{})}
	t.Cleanup(func() { close(r.stop) })
	go func() {
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(runningTimeStep):
				r.elapsed.Add(int64(runningTimeStep)) // however late it fires
			}
		}
	}()
	return r
}

// Ports for tests, below the range of outgoing connections.
const (
	testPortsFrom = 10_000
	testPorts     = 18_000
)

// firstPort returns the first port to try, far from those of other processes that run
// the same test.
func firstPort() int { return testPortsFrom + os.Getpid()%100*(testPorts/100) }

// freeAddrs returns loopback addresses without a listener, starting at a port.
func freeAddrs(from, count int) ([]string, error) {
	var out []string
	for port := from; len(out) < count && port < min(from+4*count+100, 32_000); port++ {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if ln, err := net.Listen("tcp", addr); err == nil {
			_ = ln.Close()
			out = append(out, addr)
		}
	}
	if len(out) < count {
		return nil, fmt.Errorf("there are not %d free ports from %d on", count, from)
	}
	return out, nil
}

// fleet is a small cluster of real processes on loopback.
type fleet struct {
	t           *testing.T
	bin         string
	dir         string
	http        []string
	addr        []string
	seeds       []string // for daemons started from now on
	workerAddrs []string // workers' addresses
	cores       int64
	procs       map[string]*exec.Cmd
	clock       *runningTime
}

// freePorts returns addresses without a listener. They are below the kernel's range for
// outgoing connections, because a port in that range could be taken by any process before a
// daemon listens on it, or while it is down. No address is returned twice.
func freePorts(t *testing.T, n int) []string {
	from := (firstPort() - testPortsFrom + int(portsGiven.Add(int64(n))) - n) % testPorts
	addrs, err := freeAddrs(testPortsFrom+from, n)
	must.NoError(t, err)
	_, port, _ := strings.Cut(addrs[n-1], ":")
	last, err := strconv.Atoi(port)
	must.NoError(t, err)
	portsGiven.Add(int64(last - (testPortsFrom + from + n - 1))) // skip the ports that were in use
	return addrs
}

var portsGiven atomic.Int64

func (f *fleet) start(name, prog string, args ...string) {
	cmd := exec.Command(filepath.Join(f.bin, prog), args...)
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(f.t, err)
	cmd.Stderr = log
	must.NoError(f.t, cmd.Start())
	f.procs[name] = cmd
}

func (f *fleet) name(i int) string { return fmt.Sprintf("d%d", i) }

func (f *fleet) daemon(i int) {
	name := f.name(i)
	args := []string{"run", "-name", name, "-addr", f.addr[i], "-http", f.http[i], "-site", []string{"east", "mid", "west"}[i%3], "-seeds", strings.Join(f.seeds, ",")}
	if i < 3 {
		args = append(args, "-data", filepath.Join(f.dir, name))
	}
	f.start(name, "otterchute", args...)
}

func (f *fleet) worker(i int) {
	name, tier, disk := fmt.Sprintf("w%02d", i), historycheck.WorkerLabels(i)["tier"], historycheck.WorkerLabels(i)["disk"]
	at := i % len(f.http)
	f.start(name, "otterchute-standin", "worker", "-name", name, "-site", historycheck.Zones[i%3], "-labels", "tier="+tier+",disk="+disk, "-listen", f.workerAddrs[i],
		"-daemons", strings.Join(append(append([]string{}, f.http[at:]...), f.http[:at]...), ","), "-room", fmt.Sprint(f.cores),
		"-record", filepath.Join(f.dir, "records", name+".jsonl"), "-journal", filepath.Join(f.dir, name+".journal"))
}

func (f *fleet) end(name string, sig syscall.Signal) error {
	p := f.procs[name]
	delete(f.procs, name)
	_ = p.Process.Signal(sig)
	return p.Wait()
}

func (f *fleet) call(method, path, body string) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+f.http[len(f.http)-1]+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	c := http.Client{Timeout: 5 * time.Second}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// callUntil repeats a request until ok accepts a final answer, for at most 30 s of this
// process's running time. again tells ok that an earlier try got no final answer and may have
// been executed.
func (f *fleet) callUntil(method, path, body string, ok func(status int, answer []byte, again bool) bool) {
	f.t.Helper()
	unclear := false
	for end := f.clock.elapsed.Load() + int64(30*time.Second); ; time.Sleep(50 * time.Millisecond) {
		status, b, err := f.call(method, path, body)
		if err == nil && status != 503 && ok(status, b, unclear) {
			return
		}
		unclear = unclear || err != nil || status == 503
		must.Less(f.t, end, f.clock.elapsed.Load(), must.Sprint(method, " ", path, " last returned ", status, " ", string(b), err))
	}
}

func newFleet(t *testing.T, daemons, workers int, cores int64) *fleet {
	f := &fleet{t: t, bin: t.TempDir(), dir: t.TempDir(), cores: cores, procs: map[string]*exec.Cmd{}, clock: startRunningTime(t)}
	must.NoError(t, os.Mkdir(filepath.Join(f.dir, "records"), 0o755))
	out, err := exec.Command("go", "build", "-o", f.bin+"/", "otterchute/cmd/otterchute", "otterchute/cmd/otterchute-standin").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	ports := freePorts(t, 2*daemons+workers)
	f.addr, f.http, f.workerAddrs = ports[:daemons], ports[daemons:2*daemons], ports[2*daemons:]
	f.seeds = append([]string{}, f.addr[:3]...)
	t.Cleanup(func() {
		for name := range f.procs {
			_ = f.end(name, syscall.SIGKILL)
		}
		if t.Failed() {
			for _, log := range []string{"d0", "d3", "w00"} {
				b, _ := os.ReadFile(filepath.Join(f.dir, log+".log"))
				t.Log(log, string(b[max(0, len(b)-1500):]))
			}
		}
	})
	for i := range daemons {
		f.daemon(i)
	}
	for i := range workers {
		f.worker(i)
	}
	return f
}

// matches reports whether every field of want is in got; "…" matches anything.
func matches(want, got any) bool {
	switch w := want.(type) {
	case map[string]any:
		g, ok := got.(map[string]any)
		for k := range w {
			v, has := g[k]
			ok = ok && has && matches(w[k], v)
		}
		return ok
	case []any:
		g, ok := got.([]any)
		if !ok || len(g) != len(w) {
			return false
		}
		for i := range w {
			if !matches(w[i], g[i]) {
				return false
			}
		}
		return true
	}
	return want == "…" || want == got
}

// offsetOfNoon returns the offset in minutes of a place where it is about noon, so that the
// night of the page's example is far off whenever the test runs.
func offsetOfNoon(now time.Time) int { return 12*60 - (now.UTC().Hour()*60 + now.UTC().Minute()) }

// Makes the calls of docs/protocol.md to real processes, and then kills the daemons one by one
// while a job waits.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	doc, err := os.ReadFile("../../docs/protocol.md")
	must.NoError(t, err)
	text := strings.ReplaceAll(string(doc), `"utc_offset_minutes": 60`, fmt.Sprintf(`"utc_offset_minutes": %d`, offsetOfNoon(time.Now())))
	f := newFleet(t, 4, 2, 8)
	f.callUntil("GET", "/v1/workers", "", func(s int, _ []byte, _ bool) bool { return s == 200 })
	f.callUntil("GET", "/v1/setups/current", "", func(s int, _ []byte, _ bool) bool { return s == 200 })
	f.callUntil("GET", "/v1/jobs/nothing", "", func(s int, _ []byte, _ bool) bool { return s == 404 })
	calls := 0
	for _, block := range strings.Split(text, "```http\n")[1:] {
		block, _, _ = strings.Cut(block, "```")
		request, answer, ok := strings.Cut(block, "\n=> ")
		must.True(t, ok, must.Sprint(block))
		line, body, _ := strings.Cut(request, "\n")
		method, path, _ := strings.Cut(line, " ")
		head, want, _ := strings.Cut(answer, "\n")
		status, err := strconv.Atoi(strings.Fields(head)[0])
		must.NoError(t, err)
		var wanted any
		must.NoError(t, json.Unmarshal([]byte(want), &wanted))
		f.callUntil(method, path, body, func(s int, b []byte, again bool) bool {
			var got any
			if json.Unmarshal(b, &got) != nil {
				return false
			}
			if again && status == 201 && s == 200 { // the earlier try was executed: this one reports the existing job
				must.Eq(t, gjson.Get(want, "id").Str, gjson.GetBytes(b, "id").Str, must.Sprint(block, string(b)))
				return true
			}
			if strings.Contains(head, "until") {
				return s == status && matches(wanted, got)
			}
			must.Eq(t, status, s, must.Sprint(block, string(b)))
			must.True(t, matches(wanted, got), must.Sprint(block, string(b)))
			return true
		})
		calls++
	}
	must.Greater(t, 15, calls)

	for i := range 3 {
		id := fmt.Sprintf("kill-%d", i)
		body := `{"queue":"checks","steps":[{"name":"a","tasks":[{"name":"slow","room":1,"payload":{"ms":400}}]},{"name":"b","after":["a"],"tasks":[{"name":"slow","room":1,"payload":{"ms":400}}]}]}`
		f.callUntil("PUT", "/v1/jobs/"+id, body, func(s int, _ []byte, _ bool) bool { return s == 201 || s == 200 })
		name := fmt.Sprintf("d%d", i)
		_ = f.end(name, syscall.SIGKILL)
		f.daemon(i)
		f.callUntil("GET", "/v1/jobs/"+id, "", func(_ int, b []byte, _ bool) bool { return gjson.GetBytes(b, "state").Str == "complete" })
		f.callUntil("GET", "/v1/soundness", "", func(_ int, b []byte, _ bool) bool { return gjson.GetBytes(b, "core_live").Int() == 3 })
	}
	starts := 0
	for i := range 2 {
		b, err := os.ReadFile(filepath.Join(f.dir, "records", fmt.Sprintf("w%02d.jsonl", i)))
		must.NoError(t, err)
		starts += bytes.Count(b, []byte(`"kind":"start","job":"kill-`))
	}
	must.Eq(t, 6, starts)
	must.NoError(t, f.end("d0", syscall.SIGTERM)) // a graceful stop ends with code 0
}
