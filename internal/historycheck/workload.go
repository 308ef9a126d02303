package historycheck

import (
	"fmt"
	"math/rand/v2"
)

// Deployment describes the size and the traffic of one user.
type Deployment struct {
	Name       string
	Daemons    int
	Workers    int
	Cores      int64
	JobsPerSec float64
	JobKinds   []JobKind
	Queues     []Queue
}

// JobKind is one kind of job in a deployment's mix.
type JobKind struct {
	Queue  string
	Weight int
	Make   func(r *rand.Rand) Job
}

// Work is the payload of a task for a simulated worker.
type Work struct {
	Ms      int64 `json:"ms"`                 // duration of a run
	FailPct int   `json:"fail_pct,omitempty"` // probability that a run fails
	Stall   bool  `json:"stall,omitempty"`    // runs make no progress until they are stopped
}

func randomBetween(r *rand.Rand, low, high int64) int64 { return low + r.Int64N(high-low+1) }

func randomTasks(r *rand.Rand, n int, name string, maxCores, minMs, maxMs, limitMs int64) []Task {
	var out []Task
	for i := range n {
		out = append(out, Task{
			Name: fmt.Sprintf("%s-%d", name, i), Cores: randomBetween(r, 1, maxCores), LimitMs: limitMs, AllowedFailures: 3,
			Payload: Work{Ms: randomBetween(r, minMs, maxMs)},
		})
	}
	return out
}

var allTiers = map[string][]string{"tier": {"fast", "bulk"}}

// Deployments holds the deployments of the two users, by name.
var Deployments = map[string]Deployment{
	"hakata": {Name: "hakata", Daemons: 17, Workers: 11, Cores: 64, JobsPerSec: 11,
		Queues: []Queue{
			{Name: "confirm", Selector: allTiers, Urgency: 100},
			{Name: "verify", Selector: allTiers, Urgency: 50},
			{Name: "refresh", Selector: map[string][]string{"tier": {"bulk"}}, Urgency: 10},
		},
		JobKinds: []JobKind{
			{"confirm", 8, func(r *rand.Rand) Job {
				return Job{Queue: "confirm", Steps: []Step{
					{Name: "hold", Tasks: randomTasks(r, 1, "hold", 1, 80, 200, 20_000)},
					{Name: "charge", After: []string{"hold"}, Tasks: randomTasks(r, 1, "charge", 2, 100, 400, 20_000)}}}
			}},
			{"verify", 3, func(r *rand.Rand) Job {
				return Job{Queue: "verify", Steps: []Step{
					{Name: "match", Tasks: randomTasks(r, 3, "match", 2, 300, 900, 30_000)},
					{Name: "sign", After: []string{"match"}, Tasks: randomTasks(r, 1, "sign", 1, 100, 300, 30_000)}}}
			}},
			{"refresh", 1, func(r *rand.Rand) Job {
				return Job{Queue: "refresh", Steps: []Step{
					{Name: "load", Tasks: randomTasks(r, 2, "load", 4, 1000, 3000, 60_000)},
					{Name: "price", After: []string{"load"}, Tasks: randomTasks(r, 8, "price", 6, 2000, 5000, 60_000)},
					{Name: "publish", After: []string{"price"}, Tasks: randomTasks(r, 1, "publish", 2, 300, 600, 60_000)}}}
			}},
		}},
	"ikenna": {Name: "ikenna", Daemons: 18, Workers: 11, Cores: 16, JobsPerSec: 9,
		Queues: []Queue{
			{Name: "signoff", Selector: allTiers, Urgency: 100},
			{Name: "logbook", Selector: allTiers, Urgency: 40},
			{Name: "certify", Selector: map[string][]string{"tier": {"bulk"}}, Urgency: 20},
		},
		JobKinds: []JobKind{
			{"signoff", 8, func(r *rand.Rand) Job {
				return Job{Queue: "signoff", Steps: []Step{
					{Name: "check", Tasks: randomTasks(r, 2, "check", 1, 80, 300, 20_000)},
					{Name: "record", After: []string{"check"}, Tasks: randomTasks(r, 1, "record", 1, 50, 150, 20_000)}}}
			}},
			{"logbook", 3, func(r *rand.Rand) Job {
				return Job{Queue: "logbook", Steps: []Step{
					{Name: "pull", Tasks: randomTasks(r, 1, "pull", 1, 200, 700, 30_000)},
					{Name: "merge", After: []string{"pull"}, Tasks: randomTasks(r, 2, "merge", 2, 300, 800, 30_000)}}}
			}},
			{"certify", 1, func(r *rand.Rand) Job {
				return Job{Queue: "certify", Steps: []Step{
					{Name: "gather", Tasks: randomTasks(r, 2, "gather", 2, 500, 1500, 60_000)},
					{Name: "print", After: []string{"gather"}, Tasks: randomTasks(r, 6, "print", 4, 2000, 4000, 60_000)},
					{Name: "seal", After: []string{"print"}, Tasks: randomTasks(r, 1, "seal", 1, 200, 400, 60_000)}}}
			}},
		}},
}

// RandomJob returns a random job of the deployment's mix.
//
// Example: job := historycheck.Deployments["hakata"].RandomJob(rng)
func (d Deployment) RandomJob(r *rand.Rand) Job {
	totalWeight := 0
	for _, k := range d.JobKinds {
		totalWeight += k.Weight
	}
	remaining := r.IntN(totalWeight)
	for _, k := range d.JobKinds {
		if remaining -= k.Weight; remaining < 0 {
			return k.Make(r)
		}
	}
	panic("unreachable: the random number is below the sum of the weights")
}

// WorkerLabels returns the labels of a deployment's worker number i.
//
// Example: labels := historycheck.WorkerLabels(4)
func WorkerLabels(i int) map[string]string {
	m := map[string]string{"tier": "fast", "disk": "none"}
	if i%2 == 0 {
		m["tier"] = "bulk"
	}
	if i%3 == 0 {
		m["disk"] = "ssd"
	}
	return m
}

// Zones holds the names of the zones of both users.
var Zones = []string{"east", "mid", "west"}

// InitialConfiguration returns the deployment's first configuration.
//
// Example: config := historycheck.Deployments["ikenna"].InitialConfiguration()
func (d Deployment) InitialConfiguration() Configuration { return Configuration{Queues: d.Queues} }
