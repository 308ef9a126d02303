package daemon

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"otterchute/internal/historycheck"
	"otterchute/internal/membership"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

var (
	fleetFlag     = flag.String("fleet", "", "deployment to run as real processes under faults; empty skips the test")
	fleetSecsFlag = flag.Int("fleet-seconds", 120, "seconds during which callers submit jobs in that run")
	fleetSeedFlag = flag.Uint64("fleet-seed", 1, "seed of the faults in that run")
)

// faultInjector applies faults to a cluster of real processes, one at a time.
type faultInjector struct {
	*fleet
	rng     *rand.Rand
	events  *bufio.Writer
	version int64
	counts  map[string]int
}

func (u *faultInjector) randomDaemon() int { return u.rng.IntN(len(u.addr)) }

// coreComplete reports whether all three core members are alive, so that one may lose its disk.
func (u *faultInjector) coreComplete() bool {
	_, b, err := u.call("GET", "/v1/soundness", "")
	return err == nil && gjson.GetBytes(b, "core_size").Int() == membership.DefaultSize && gjson.GetBytes(b, "core_live").Int() == membership.DefaultSize &&
		gjson.GetBytes(b, "core_contact_ms").Int() < 1000
}

func (u *faultInjector) note(e historycheck.Event) {
	e.AtMs = time.Now().UnixMilli()
	b, _ := json.Marshal(e)
	_, _ = u.events.Write(append(b, '\n'))
	_ = u.events.Flush()
}

// raceConfigs has two operators race for the next configuration version.
func (u *faultInjector) raceConfigs(dep historycheck.Deployment, empty []string) {
	u.version++
	for i := range 2 {
		s := dep.InitialConfiguration()
		s.Note, s.EmptyZones = fmt.Sprint("operator ", i, " version ", u.version), empty
		u.note(historycheck.Event{Kind: historycheck.ConfigurationSent, Version: u.version, Configuration: &s})
		for range 40 {
			status, b, err := u.call("PUT", fmt.Sprint("/v1/setups/", u.version), string(mustJSON(s)))
			if err != nil || status == 503 || status == 429 {
				continue // each try waits for its own timeout
			}
			kind := historycheck.ConfigurationRejected
			if status == 200 {
				kind = historycheck.ConfigurationAcked
			} else {
				u.version = max(u.version, gjson.GetBytes(b, "current").Int())
			}
			u.note(historycheck.Event{Kind: kind, Version: u.version, Configuration: &s})
			break
		}
	}
}

func (u *faultInjector) signal(name string, sig syscall.Signal) {
	_ = u.procs[name].Process.Signal(sig)
}

var processFaults = map[string]func(u *faultInjector, dep historycheck.Deployment){
	"killed": func(u *faultInjector, _ historycheck.Deployment) {
		i := u.randomDaemon()
		_ = u.end(u.name(i), syscall.SIGKILL)
		u.pause(500, 4000)
		u.daemon(i)
	},
	"two killed": func(u *faultInjector, _ historycheck.Deployment) {
		i := u.randomDaemon()
		j := (i + 1 + u.rng.IntN(len(u.addr)-1)) % len(u.addr)
		_, _ = u.end(u.name(i), syscall.SIGKILL), u.end(u.name(j), syscall.SIGKILL)
		u.pause(500, 5000)
		u.daemon(i)
		u.daemon(j)
	},
	"frozen": func(u *faultInjector, _ historycheck.Deployment) {
		name := u.name(u.randomDaemon())
		u.signal(name, syscall.SIGSTOP)
		u.pause(500, 9000)
		u.signal(name, syscall.SIGCONT)
	},
	"stopped": func(u *faultInjector, _ historycheck.Deployment) {
		i := u.randomDaemon()
		must.NoError(u.t, u.end(u.name(i), syscall.SIGTERM))
		u.pause(100, 2000)
		u.daemon(i)
	},
	"empty and at a new address": func(u *faultInjector, _ historycheck.Deployment) {
		if !u.coreComplete() {
			return
		}
		i := u.rng.IntN(membership.DefaultSize)
		_ = u.end(u.name(i), syscall.SIGKILL)
		must.NoError(u.t, os.RemoveAll(filepath.Join(u.dir, u.name(i))))
		u.addr[i] = freePorts(u.t, 1)[0]
		u.seeds = []string{u.addr[5], u.addr[6], u.addr[7]}
		u.pause(100, 3000)
		u.daemon(i)
	},
	"moved": func(u *faultInjector, _ historycheck.Deployment) {
		i := membership.DefaultSize + u.rng.IntN(len(u.addr)-membership.DefaultSize)
		_ = u.end(u.name(i), syscall.SIGKILL)
		u.addr[i] = freePorts(u.t, 1)[0]
		u.daemon(i)
	},
	"worker crashed": func(u *faultInjector, _ historycheck.Deployment) {
		i := u.rng.IntN(11)
		_ = u.end(fmt.Sprintf("w%02d", i), syscall.SIGTERM)
		u.pause(100, 4000)
		u.worker(i)
	},
	"worker frozen": func(u *faultInjector, _ historycheck.Deployment) {
		name := fmt.Sprintf("w%02d", u.rng.IntN(11))
		u.signal(name, syscall.SIGSTOP)
		u.pause(500, 6000)
		u.signal(name, syscall.SIGCONT)
	},
	"worker leaves": func(u *faultInjector, _ historycheck.Deployment) {
		i := u.rng.IntN(11)
		u.signal(fmt.Sprintf("w%02d", i), syscall.SIGUSR1)
		u.pause(3000, 5000)
		_ = u.end(fmt.Sprintf("w%02d", i), syscall.SIGTERM)
		u.worker(i)
	},
	"operators race": func(u *faultInjector, dep historycheck.Deployment) { u.raceConfigs(dep, nil) },
	"site emptied": func(u *faultInjector, dep historycheck.Deployment) {
		u.raceConfigs(dep, []string{historycheck.Zones[u.rng.IntN(3)]})
		u.pause(6000, 8000)
		u.raceConfigs(dep, nil)
	},
}

func (u *faultInjector) pause(loMs, hiMs int64) {
	time.Sleep(time.Duration(loMs+u.rng.Int64N(hiMs-loMs)) * time.Millisecond)
}

// A cluster of real processes at the size of a deployment runs its usual traffic under faults.
// The separate checker of the histories must find no violation. The test takes minutes.
func TestFleet(t *testing.T) {
	dep, ok := historycheck.Deployments[*fleetFlag]
	if !ok {
		t.Skip("only with -fleet hakata or ikenna")
	}
	f := newFleet(t, dep.Daemons, dep.Workers, dep.Cores)
	f.callUntil("GET", "/v1/workers", "", func(s int, _ []byte, _ bool) bool { return s == 200 })
	records := filepath.Join(f.dir, "records")
	file, err := os.Create(filepath.Join(records, "operators.jsonl"))
	must.NoError(t, err)
	u := &faultInjector{fleet: f, rng: rand.New(rand.NewPCG(*fleetSeedFlag, 1)), events: bufio.NewWriter(file), counts: map[string]int{}}
	u.raceConfigs(dep, nil)
	caller := exec.Command(filepath.Join(f.bin, "otterchute-standin"), "downstream", "-deployment", dep.Name, "-daemons", strings.Join(f.http, ","), "-records", records,
		"-seconds", fmt.Sprint(*fleetSecsFlag), "-settle", "90", "-seed", fmt.Sprint(*fleetSeedFlag), "-wave", "60", "-cancel", "30")
	var output strings.Builder
	caller.Stdout, caller.Stderr = &output, &output
	must.NoError(t, caller.Start())
	for end := time.Now().Add(time.Duration(*fleetSecsFlag) * time.Second); time.Now().Before(end); {
		u.pause(200, 2500)
		names := sortedKeys(processFaults)
		name := names[u.rng.IntN(len(names))]
		u.counts[name]++
		processFaults[name](u, dep)
	}
	err = caller.Wait()
	t.Log(u.counts)
	t.Log(output.String())
	must.NoError(t, err)
}
