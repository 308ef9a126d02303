package daemon

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// Random days on the users' platform: 6 to 11 faults of all kinds on top of usual
// traffic and an operator's changes, a loss of machines at the end, and a read of all
// that was accepted. A day is drawn from its number alone.

var (
	daysFlag  = flag.Int("days", 0, "number of random days to run, from -from on; 0 for the fixed days of CI")
	themeFlag = flag.String("theme", "all", "kinds of faults of the random days: all, control, loss, changes, network")
)

// fiveMemberDeployments have five core members on eight machines with disks, two of
// which may be lost at once, as on the users' grown deployments.
var fiveMemberDeployments = map[string]platformDeployment{"hakata five": fiveMemberDeployment()}

func fiveMemberDeployment() platformDeployment {
	s := platformDeployments["hakata"]
	s.name, s.edges, s.disks, s.coreSize, s.bounds = "hakata five", 8, 8, 5, usualPlatformBounds
	return s
}

var dayDeployments = []string{"hakata", "ikenna", "hakata five"}

const (
	// A fault is skipped if it would exceed the allowed losses for this long.
	maxLossWaitMs = 20_000
	// How often a waiting fault checks the allowed losses.
	lossCheckMs = 200
)

// maxOpenChanges is how many changes an operator sends at once without a final response.
const maxOpenChanges = 8

var dayThemes = map[string][][]faultKind{
	"all":     {controlFaults, lossFaults, changeFaults, networkFaults},
	"control": {controlFaults, controlFaults, changeFaults},
	"loss":    {lossFaults, lossFaults, changeFaults},
	"changes": {changeFaults, changeFaults, lossFaults},
	"network": {networkFaults, networkFaults, controlFaults},
}

// finalLosses are the losses at the end of a day. Each hits all its machines at once and
// brings them back after a while.
var finalLosses = map[string]func(b *platformWorld, downMs int64){
	"power off all": func(b *platformWorld, downMs int64) { b.stopAllAt(true, downMs) },
	"kill all":      func(b *platformWorld, downMs int64) { b.stopAllAt(false, downMs) },
	"wipe after an acknowledgement": func(b *platformWorld, downMs int64) {
		b.acknowledgedConfig()
		b.wipeMost("", downMs)
	},
	"wipe of who acknowledges": func(b *platformWorld, downMs int64) { b.wipeAt(lossAfterAck, true, downMs) },
	"wipe after sending":       func(b *platformWorld, downMs int64) { b.wipeAt(lossAfterSend, false, downMs) },
	"wipe after an acceptance": func(b *platformWorld, downMs int64) { b.wipeAt(lossAfterAcceptance, true, downMs) },
}

// stopAll stops all machines; a power loss takes their workers too.
func (b *platformWorld) stopAll(power bool, downMs int64) {
	for _, host := range sortedKeys(b.nodes) {
		if b.nodes[host].removed {
			continue
		}
		b.powerOf([]string{host}, power, downMs)
		if s := b.byHost[host]; s != nil && power {
			b.crashAndReplace(s, downMs+20)
		}
	}
}

// wipeMost wipes as many disks as may be lost, and half of the time cuts the power of all
// other machines with disks.
func (b *platformWorld) wipeMost(first string, downMs int64) {
	hosts := b.shuffled(b.diskHosts)
	if i := slices.Index(hosts, first); i >= 0 {
		hosts[0], hosts[i] = hosts[i], hosts[0]
	}
	for _, host := range hosts[:b.lossesAllowed()] {
		b.wipe(host, false, downMs)
	}
	if b.chance(0.5) {
		b.powerOf(hosts[b.lossesAllowed():], true, downMs)
	}
}

// wipeAt is wipeMost at a given point of a change; if aimed, it wipes the machine that handles the change.
func (b *platformWorld) wipeAt(when lossTiming, aimed bool, downMs int64) {
	b.strikeOnce(when, func(host string) {
		if !aimed {
			host = ""
		}
		b.wipeMost(host, downMs)
	})
}

// stopAllAt stops all machines once a change was acknowledged: after its operator received
// the response, or as the response is sent.
func (b *platformWorld) stopAllAt(power bool, downMs int64) {
	if b.chance(0.5) {
		b.acknowledgedConfig()
		b.stopAll(power, downMs)
		return
	}
	b.strikeOnce(lossAfterAck, func(string) { b.stopAll(power, downMs) })
}

// strikeOnce is strike, but runs do after 6 s if the awaited event doesn't happen.
func (b *platformWorld) strikeOnce(when lossTiming, do func(host string)) {
	over := false
	once := func(host string) {
		if !over {
			over = true
			do(host)
		}
	}
	b.loseAtResponse(when, once)
	b.until(6000, func() bool { return over })
	once("")
}

// randomDay is a random day, drawn from its number.
type randomDay struct {
	number     uint64
	deployment string
	faults     []dayFault
	finalLoss  string
	downMs     int64
}

func (d *randomDay) String() string {
	out := fmt.Sprintf("day %d on %s", d.number, d.deployment)
	for _, t := range d.faults {
		out += fmt.Sprintf("\n  at %d ms %s", t.atMs, t.text)
	}
	return out + fmt.Sprintf("\n  final loss: %s, down for %d ms", d.finalLoss, d.downMs)
}

// trafficMs is how long a day lasts before its final loss.
const trafficMs = 30_000

// drawDay draws a day from its number alone.
func drawDay(number uint64, theme string) *randomDay {
	r := rand.New(rand.NewPCG(number, 31))
	d := &randomDay{number: number, deployment: dayDeployments[number%uint64(len(dayDeployments))]}
	for range 6 + r.IntN(6) {
		kind := choose(r, choose(r, dayThemes[theme]...)...)
		t := dayFault{atMs: between(r, 1000, trafficMs-2000)}
		t.text, t.play = kind(r)
		d.faults = append(d.faults, t)
	}
	slices.SortStableFunc(d.faults, func(a, b dayFault) int { return int(a.atMs - b.atMs) })
	d.finalLoss, d.downMs = choose(r, sortedKeys(finalLosses)...), between(r, 800, 2000)
	return d
}

// play runs a day to its end.
func (d *randomDay) play(t *testing.T) *platformWorld {
	b := formPlatform(t, d.number, d.deployment)
	b.replaced = map[string]bool{}
	b.onEachResponse(func(a sentResponse) bool {
		if a.call.Op == "setup.put" && a.accepted() {
			b.lastAcknowledger = a.from.Name
		}
		return false
	})
	for _, fault := range d.faults {
		b.after(fault.atMs*1000, func() { fault.play(b) })
	}
	b.each(trafficMs/4000, 4000, func() { b.change(nil) })
	b.day(trafficMs)
	b.noNewFaults = true
	if b.tenants != nil {
		b.restoreLimits()
	}
	b.until(2*maxLossWaitMs, func() bool { return !slices.ContainsFunc(b.diskHosts, b.lost) })
	b.record(platformEvent{kind: eventLoss})
	finalLosses[d.finalLoss](b, d.downMs)
	b.run(d.downMs + 20)
	b.record(platformEvent{kind: eventLossRepaired})
	b.run(recoveryMs + 10_000)
	b.finish(120_000)
	b.readBack()
	return b
}

// Reads at the end of a day are retried this often, with this pause.
const (
	readTries   = 8
	readPauseMs = 400
)

// readBack reads the configuration and each accepted job, with retries.
func (b *platformWorld) readBack() {
	b.readSetup(readTries)
	for _, id := range sortedKeys(b.jobs) {
		if j := b.jobs[id]; j.acked {
			b.readJob(j, readTries)
		}
	}
	b.run(readTries * (1000 + readPauseMs))
}

func (b *platformWorld) readSetup(tries int) {
	asked := b.nowMs()
	b.call("operator", b.edge(), platformCall{op: "setup.get"}, 1000, func(status int, _ int64, body []byte) {
		switch {
		case status == 200:
			b.record(platformEvent{kind: eventSetupShown, n: gjson.GetBytes(body, "version").Int(), text: gjson.GetBytes(body, "setup.source.note").Str, requestedMs: asked})
		case tries == 1:
			b.record(platformEvent{kind: eventSetupShown, n: -1, requestedMs: asked})
		default:
			b.after(readPauseMs*1000, func() { b.readSetup(tries - 1) })
		}
	})
}

func (b *platformWorld) readJob(j *platformJob, tries int) {
	asked, to := b.nowMs(), b.edge()
	b.callOfJob(to, "queue.state", j, nil, func(status int, _ int64, body []byte) {
		switch {
		case status == 200:
			b.record(platformEvent{kind: eventStateShown, job: j.id, host: to.Name, text: gjson.GetBytes(body, "state").Str, requestedMs: asked})
		case status == 410:
			b.record(platformEvent{kind: eventStateShown, job: j.id, host: to.Name, text: "unknown", requestedMs: asked})
		case tries == 1:
			b.record(platformEvent{kind: eventFinalState, job: j.id})
		default:
			b.after(readPauseMs*1000, func() { b.readJob(j, tries-1) })
		}
	})
}

// ciDays are the days that CI runs: one of each theme, over all deployments.
var ciDays = map[string][]uint64{"all": {1}, "control": {2}, "loss": {3}, "changes": {4}, "network": {5}}

// TestBadDays checks the users' rules on random days with faults; -days, -theme and -from choose others.
func TestBadDays(t *testing.T) {
	plan := ciDays
	if *daysFlag > 0 {
		must.MapContainsKey(t, dayThemes, *themeFlag)
		plan = map[string][]uint64{}
		for i := range *daysFlag {
			plan[*themeFlag] = append(plan[*themeFlag], *fromFlag+uint64(i))
		}
	}
	for _, theme := range sortedKeys(plan) {
		for _, number := range plan[theme] {
			t.Run(fmt.Sprintf("%s/%d", theme, number), func(t *testing.T) {
				t.Parallel()
				d := drawDay(number, theme)
				b := d.play(t)
				checkPlatformRun(t, b)
				if t.Failed() {
					t.Log(d)
				}
				if b.skippedFaults > 0 {
					t.Logf("%d faults skipped: too many machines were lost", b.skippedFaults)
				}
			})
		}
	}
}

// A day can be reproduced from its number only if the same number draws the same day
// and the day runs the same way each time.
func TestBadDayIsDrawnFromItsNumber(t *testing.T) {
	for theme := range dayThemes {
		must.Eq(t, drawDay(7, theme).String(), drawDay(7, theme).String())
		must.Greater(t, 6, strings.Count(drawDay(7, theme).String(), "\n"))
	}
	must.NotEq(t, drawDay(7, "all").String(), drawDay(10, "all").String())
	var traces [2]uint64
	t.Cleanup(func() { must.Eq(t, traces[0], traces[1]) })
	for i := range traces {
		t.Run(fmt.Sprint("run ", i), func(t *testing.T) {
			t.Parallel()
			traces[i] = drawDay(4, "loss").play(t).trace
		})
	}
}
