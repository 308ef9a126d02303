package daemon

import (
	"flag"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Measures how a daemon's traffic grows with the fleet, by kind of message. The counts come from the
// simulated world, so they are the same on any machine. The duration of the simulation is only printed.

var largeFleet = flag.Bool("large-fleet", false, "count messages at 300 daemons too, and print all counts")

// fleetOf returns a deployment with the load of a large one in proportion to its size. A fifth of its
// daemons serve callers, four fifths are beside workers.
func fleetOf(daemons int) platformDeployment {
	deployment := platformDeploymentOf("hakata-grown")
	deployment.name, deployment.edges = fmt.Sprint("fleet-", daemons), daemons/5
	deployment.workerHosts = daemons - deployment.edges
	deployment.disks, deployment.coreSize = 5, 5
	deployment.jobsPerSecond = float64(deployment.workerHosts) / 2
	return deployment
}

// traffic counts messages of one kind, sent and received by one role.
type traffic struct{ messages, bytes int }

// fleetCounts holds the traffic of one time span by role and kind of message.
type fleetCounts struct {
	byKind  map[string]map[string]traffic
	daemons map[string]int
	seconds int64
}

const (
	countedOwner = "owner" // of a shard, or the central scheduler
	countedEdge  = "edge"
	countedSide  = "side"
)

// ownerMessages lists the messages that grow with the load of owners and the central scheduler.
var ownerMessages = []string{"AgentReport", "OwnerReply", "Placement", "WriteRequest", "WriteResponse", "FetchRequest", "FetchResponse",
	"Forward", "ForwardReply", "AllocationRequest", "Allocation", "Ranks", "Estimates", "QueueCounts", "PollRequest", "PollResponse"}

// kibPerSecond returns the traffic of one daemon of a role, without some kinds of message.
func (c *fleetCounts) kibPerSecond(role string, without ...string) float64 {
	sum := 0
	for kind, t := range c.byKind[role] {
		if !slices.Contains(without, kind) {
			sum += t.bytes
		}
	}
	return float64(sum) / 1024 / float64(c.seconds) / float64(max(c.daemons[role], 1))
}

// print logs all counts by role.
func (c *fleetCounts) print(t *testing.T, title string) {
	for _, role := range []string{countedOwner, countedEdge, countedSide} {
		t.Logf("%s, %d %s daemons: %.1f KiB/s each", title, c.daemons[role], role, c.kibPerSecond(role))
		for _, kind := range sortedKeys(c.byKind[role]) {
			x, per := c.byKind[role][kind], float64(c.seconds)*float64(max(c.daemons[role], 1))
			t.Logf("    %-18s %8.2f messages/s %9.3f KiB/s", kind, float64(x.messages)/per, float64(x.bytes)/1024/per)
		}
	}
}

// countFleet runs a world for some ms and counts the traffic of its daemons.
func countFleet(b *platformWorld, ms int64) *fleetCounts {
	c := &fleetCounts{byKind: map[string]map[string]traffic{}, daemons: map[string]int{}, seconds: ms / 1000}
	roles := map[string]string{}
	for _, name := range sortedKeys(b.nodes) {
		n := b.nodes[name]
		switch {
		case n.Colocated:
			roles[name] = countedSide
		case n.up && (len(n.executor.node.shards) > 0 || n.executor.node.central != nil || n.executor.node.inCore()):
			roles[name] = countedOwner
		default:
			roles[name] = countedEdge
		}
		c.daemons[roles[name]]++
	}
	b.onSend = func(from, to string, msg any, bytes int) {
		kind := reflect.TypeOf(msg).Elem().Name()
		for _, name := range []string{from, to} {
			if from == to || roles[name] == "" {
				continue
			}
			byKind := c.byKind[roles[name]]
			if byKind == nil {
				byKind = map[string]traffic{}
				c.byKind[roles[name]] = byKind
			}
			byKind[kind] = traffic{byKind[kind].messages + 1, byKind[kind].bytes + bytes}
		}
	}
	b.run(ms)
	b.onSend = nil
	return c
}

// countBySize counts the traffic of a fleet while it is idle, under a wave of jobs, and while a tenth of
// its daemons restart.
func countBySize(t *testing.T, daemons int) (quiet, wave, restarts *fleetCounts) {
	b := newPlatformWorldOf(1, fleetOf(daemons))
	b.after(1_000_000, func() { b.putSetup(b.usualSetup(), 1, 0, func(int) {}) })
	b.run(12_000)
	began := time.Now()
	quiet = countFleet(b, 8000)
	b.traffic()
	wave = countFleet(b, 6000)
	b.callersStopped = true
	var some []*simNode
	for i, name := range sortedKeys(b.nodes) {
		if n := b.nodes[name]; i%10 == 9 && !n.Disk {
			some = append(some, n)
		}
	}
	for i, n := range some {
		n.kill(false)
		b.after(int64(i%10)*200_000+500_000, n.start)
	}
	restarts = countFleet(b, 6000)
	t.Logf("%d daemons: 20 simulated seconds took %v", daemons, time.Since(began).Round(time.Millisecond))
	return quiet, wave, restarts
}

// Guards against traffic for membership and leases that grows with the size of the fleet.
func TestTrafficBySize(t *testing.T) {
	sizes := []int{30, 100}
	if *largeFleet {
		sizes = append(sizes, 300)
	}
	var first *fleetCounts
	for _, daemons := range sizes {
		quiet, wave, restarts := countBySize(t, daemons)
		if *largeFleet {
			quiet.print(t, fmt.Sprint(daemons, " quiet"))
			wave.print(t, fmt.Sprint(daemons, " under a wave"))
			restarts.print(t, fmt.Sprint(daemons, " while a tenth restarts"))
		}
		if first == nil {
			first = quiet
			continue
		}
		small, large := first.kibPerSecond(countedSide), quiet.kibPerSecond(countedSide)
		must.LessEq(t, 1.3*small, large, must.Sprintf("a daemon beside a worker: %.2f KiB/s at 30 daemons, %.2f at %d", small, large, daemons))
		must.LessEq(t, 10.0, large, must.Sprintf("KiB/s of a daemon beside a worker at %d", daemons))
		gossip := quiet.kibPerSecond(countedEdge, ownerMessages...)
		must.LessEq(t, 0.25*weakLinkKiB, gossip, must.Sprintf("KiB/s of membership of a weak machine at %d", daemons))
		must.LessEq(t, 0.5*weakLinkKiB, restarts.kibPerSecond(countedEdge), must.Sprintf("KiB/s of a weak machine at %d", daemons))
	}
}

// weakLinkKiB is the capacity of the weakest machines' links, 2 Mbit/s, in KiB/s.
const weakLinkKiB = 2_000_000.0 / 8 / 1024
