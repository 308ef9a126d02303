package daemon

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// runningTime counts the time in which this process got the processor when it asked
// for it. Where nothing else keeps the machine busy that is the time of the wall.
type runningTime struct {
	spent atomic.Int64 // ns
	stop  chan struct{}
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
				r.spent.Add(int64(runningTimeStep)) // however late it comes
			}
		}
	}()
	return r
}

// Tests take ports of this range, which lies below that of outgoing connections.
const (
	testPortsFrom = 10_000
	testPorts     = 18_000
)

// portOfThisProcess is where it looks for free ports, far from other processes that
// run the same test.
func portOfThisProcess() int { return testPortsFrom + os.Getpid()%100*(testPorts/100) }

// countedEnough tells whether half of the starts that two seconds should see were
// seen, a setup came in force, all long tasks run and a slice has its owner.
func countedEnough(c *callers, readings []reading) bool {
	c.mu.Lock()
	starts, forces := c.starts, c.forces.TotalCount()
	c.mu.Unlock()
	owned := slices.ContainsFunc(readings, func(r reading) bool { return r.roles[roleOwner] })
	return starts >= c.e.Starts*c.e.Seconds/2 && forces > 0 && c.fleet.workers.running() >= int(c.e.Running) && owned
}

// A small experiment as CI runs it: real daemons in this process, over sockets.
func TestExperiment(t *testing.T) {
	e, faults := readExperiment("small", []byte(fmt.Sprintf(`{"daemons": 4, "workers": 3, "running": 6, "starts": 10, "tasks": 2, "task_ms": 100, "changes": 60, "warm_s": 0, "seconds": 2, "port": %d}`,
		portOfThisProcess())))
	must.SliceEmpty(t, faults)
	e.enough = countedEnough
	clock := startRunningTime(t)
	rows, kinds, err := runExperiment(t.Context(), e, io.Discard)
	must.NoError(t, err)
	must.Less(t, 20*time.Second, time.Duration(clock.spent.Load()))
	value := func(role, measure string) float64 {
		_, y := series(rows, role, measure)
		must.Len(t, 1, y, must.Sprint(role, measure))
		return y[0]
	}
	must.Eq(t, 3, value(roleCore, "holders"))
	must.Eq(t, 3, value(roleAgent, "holders"))
	must.GreaterEq(t, 6, value(roleProcess, "running"))
	must.Greater(t, 1, value(roleProcess, "starts_s"))
	must.Greater(t, 0, value(roleProcess, "force_max_ms"))
	must.Greater(t, 0, value(roleCore, "syncs_s"))
	for _, role := range []string{roleEvery, roleCore, roleOwner, roleAgent} {
		for _, m := range []string{"in_msgs_s", "out_bytes_s", "cpu_pct", "state_bytes"} {
			must.Greater(t, 0, value(role, m), must.Sprint(role, m))
		}
	}
	for _, k := range kinds {
		must.NotEq(t, "", k.Flow.Role, must.Sprint(k.Flow.Kind))
	}
	folder := t.TempDir()
	must.NoError(t, report(e, rows, kinds, folder, io.Discard))
	b, err := os.ReadFile(filepath.Join(folder, "small-cpu_pct.svg"))
	must.NoError(t, err)
	must.StrContains(t, string(b), "<svg")
	b, err = os.ReadFile(filepath.Join(folder, "small.csv"))
	must.NoError(t, err)
	must.Eq(t, len(rows)+1, strings.Count(string(b), "\n"))
}

// Every kind of message has a role that sends it and one that takes it.
func TestKindRoles(t *testing.T) {
	for _, kind := range wire.Kinds() {
		typ := messageType(kind)
		roles := kindRoles[typ]
		must.NotEq(t, "", roles[0], must.Sprint(typ.Name()))
		must.NotEq(t, "", takerOf(reflect.New(typ).Interface()), must.Sprint(typ.Name()))
	}
}

func TestExperimentFile(t *testing.T) {
	for _, c := range []struct{ doc, path string }{
		{`{"daemons": 2}`, "daemons"},
		{`{"colour": 2}`, "colour"},
		{`{"sweep": {"of": "colour", "sizes": [1]}}`, "sweep.of"},
		{`{"sweep": {"of": "workers", "sizes": [1, 100000]}}`, "sweep.sizes.1"},
		{`{"faults": [{"at_s": 1, "do": "smash", "daemon": 0, "for_s": 1}]}`, "faults.0.do"},
		{`{"faults": [{"at_s": 1, "do": "kill", "daemon": 99, "for_s": 1}], "sweep": {"of": "workers", "sizes": [1]}}`, "faults.0.daemon"},
	} {
		_, faults := readExperiment("x", []byte(c.doc))
		must.Len(t, 1, faults, must.Sprint(c.doc))
		must.Eq(t, c.path, faults[0].Path)
	}
	files, err := filepath.Glob("../../experiments/[^t]*.json") // all but the target
	must.NoError(t, err)
	for _, path := range files {
		doc, err := os.ReadFile(path)
		must.NoError(t, err)
		_, faults := readExperiment("x", doc)
		must.SliceEmpty(t, faults, must.Sprint(path, faults))
	}
}

func TestLeastSquares(t *testing.T) {
	f := leastSquares([]float64{1, 2, 3, 4}, []float64{3, 5, 7, 9})
	must.InDelta(t, 2, f.Slope, 1e-9)
	must.InDelta(t, 1, f.Base, 1e-9)
	must.InDelta(t, 0, f.StdErr, 1e-9)
	must.InDelta(t, 1, f.R2, 1e-9)
	f = leastSquares([]float64{1, 2, 3}, []float64{1, 3, 2}) // residuals -0.5, 1, -0.5
	must.InDelta(t, 0.5, f.Slope, 1e-9)
	must.InDelta(t, 1.2247448, f.Spread, 1e-6)
	must.InDelta(t, 0.8660254, f.StdErr, 1e-6)
}

// Each part that is measured is a field of the daemon's state.
func TestStateRoles(t *testing.T) {
	for name := range stateRoles {
		_, ok := reflect.TypeFor[node]().FieldByName(name)
		must.True(t, ok, must.Sprint(name))
	}
}

func TestDeepSize(t *testing.T) {
	type part struct {
		Name string
		List []int64
		Next *part
	}
	p := &part{Name: "12345", List: make([]int64, 2, 4)}
	p.Next = p // counted once
	must.Eq(t, 8+16+24+8+5+4*8, deepSize(reflect.ValueOf(p), map[uintptr]bool{}))
}

// A target adds what each variable costs above what the first experiment had,
// for a worker's daemon by the share of one worker.
func TestTarget(t *testing.T) {
	folder := t.TempDir()
	fits := func(name, sweep, lines string) {
		head := "experiment,sweep,role,measure,base,slope,slope_err,spread,r2,points,largest\n"
		must.NoError(t, os.WriteFile(filepath.Join(folder, name+".fit.csv"), []byte(head+lines), 0o600))
	}
	fits("workers", "workers", "workers,workers,core member,cpu_pct,1,0.5,0,0,1,4,100\nworkers,workers,agent,cpu_pct,2,0,0,0.3,1,4,100\n")
	fits("running", "running", "running,running,core member,cpu_pct,0,0.01,0.001,0,1,4,100\nrunning,running,agent,cpu_pct,0,0.1,0,0,1,4,100\n")
	declared := func(name string) (*experiment, error) {
		e, faults := readExperiment(name, []byte(`{"workers": 10, "running": 50, "sweep": {"of": "`+name+`", "sizes": [1]}}`))
		must.SliceEmpty(t, faults)
		return e, nil
	}
	at, err := atTarget([]byte(`{"experiments": ["workers", "running"], "values": {"workers": 100, "running": 1050}}`), declared, folder)
	must.NoError(t, err)
	core, ag := at[[2]string{roleCore, "cpu_pct"}], at[[2]string{roleAgent, "cpu_pct"}]
	must.InDelta(t, 1+0.5*100+0.01*1000, core.value, 1e-9)
	must.InDelta(t, 1, core.err, 1e-9)
	must.InDelta(t, 2+0.1*1000*10/100, ag.value, 1e-9)
	must.InDelta(t, 0.3, ag.err, 1e-9)
}
