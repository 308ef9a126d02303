package daemon

import (
	"slices"

	"otterchute/internal/membership"
)

// platformDeployment describes one of the users' deployments.
type platformDeployment struct {
	name               string
	edges, workerHosts int
	disks              int // machines with a disk; 0 for membership.DefaultSize
	capacity           amounts
	speeds             []float64 // factor by which work takes longer, by worker in turn
	holdMaxMs          int64
	gangWaitMs         int64
	saveMs             float64
	restoreMs          int64
	spread             float64 // factor by which work takes longer away from its data or over several racks
	jobsPerSecond      float64
	kinds              []platformKind
	rackSize           int
	service            string
	heartbeatMs        int64
	maxTries           int
	callTimeoutMs      int64 // a caller waits this long for a response
	retryMs            int64
	stopMs             int64
	coreSize           int
	bounds             platformBounds
	tenants            []platformTenant // empty: calls need no key
}

// platformKind is one kind of job, with the users' own figures; pairs are mean and maximum.
type platformKind struct {
	queue                  platformQueue
	weight                 float64
	steps, width, cpu, mem [2]float64
	workMs                 [2]float64
	estimateError          float64
	gang, sameRack, saves  float64 // fractions of the jobs or steps
	labels, copies         float64
	cancel, timed          float64
	periodMs               int64
	maxRounds              int
	fails, hopeless        float64
}

// platformQueue is a queue as an operator declares it.
type platformQueue struct {
	name            string
	host, prefix    string
	urgency         int64
	allowedFailures int
	latencyMs       int64
	stretch         float64
	service         string
}

// platformSetup is a configuration as an operator sends it.
type platformSetup struct {
	queues     []platformQueue
	note       string
	invalid    bool
	tenants    []platformTenant // nil: calls need no key
	openQueues []string         // queues whose callers need no key although tenants are declared
	// The contracts, and by queue the settings of its batches, as they are sent.
	contracts []map[string]any
	batches   map[string]map[string]any
}

// hasAddress reports whether a queue's address is declared.
func (s *platformSetup) hasAddress(q *platformQueue) bool {
	return slices.ContainsFunc(s.queues, func(o platformQueue) bool { return o.host == q.host && o.prefix == q.prefix })
}

// routesTo reports whether tasks that were submitted at a queue's address may run at a worker.
func (s *platformSetup) routesTo(q *platformQueue, f *workerFacts) bool {
	return slices.ContainsFunc(s.queues, func(o platformQueue) bool {
		return o.host == q.host && o.prefix == q.prefix && f.labels["service"] == o.service
	})
}

func (s *platformSetup) body() []byte {
	queues := []map[string]any{}
	for _, q := range s.queues {
		queue := map[string]any{"name": q.name, "selector": map[string][]string{"service": {q.service}}, "urgency": q.urgency,
			"default_failures": q.allowedFailures, "addresses": []map[string]string{{"host": q.host, "prefix": q.prefix}}, "latency_ms": q.latencyMs, "stretch": q.stretch}
		if slices.Contains(s.openQueues, q.name) {
			queue["open"] = true
		}
		queues = append(queues, queue)
	}
	if s.invalid {
		queues = append(queues, queues[0]) // the same name twice
	}
	doc := map[string]any{"queues": queues, "source": map[string]any{"note": s.note}}
	if s.tenants != nil {
		doc["tenants"] = tenantDocuments(s.tenants)
	}
	if len(s.contracts) > 0 {
		doc["contracts"] = s.contracts
		for _, q := range queues {
			if b := s.batches[q["name"].(string)]; b != nil {
				q["batch"] = b
			}
		}
	}
	return mustJSON(doc)
}

var platformDeployments = map[string]platformDeployment{
	"hakata": {name: "hakata", edges: 6, workerHosts: 11, capacity: amounts{64000, 131072}, speeds: []float64{0.8, 1, 1.25}, holdMaxMs: 10_000, gangWaitMs: 3000, saveMs: 1000,
		restoreMs: 250, spread: 1.5, jobsPerSecond: 9.5, rackSize: 3, service: "resale-engine", heartbeatMs: 1500, maxTries: 5, callTimeoutMs: 1200, retryMs: 150, stopMs: 200, kinds: []platformKind{
			{queue: platformQueue{"promoter-verify", "nony24.example", "/lohu930/", 60, 4, 2000, 2.2, "resale-engine"}, weight: 0.527, steps: [2]float64{1.2, 3}, width: [2]float64{4.4, 26},
				cpu: [2]float64{11000, 34000}, mem: [2]float64{21000, 63000}, workMs: [2]float64{6200, 16000}, estimateError: 0.5, gang: 1, sameRack: 0.7, saves: 0.5, labels: 0.2,
				timed: 0.06, periodMs: 4500, maxRounds: 8, fails: 0.005, hopeless: 0.01},
			{queue: platformQueue{"price-refresh", "ficu95.example", "/pufi791/", 30, 3, 4000, 3.2, "resale-engine"}, weight: 1.57, steps: [2]float64{1.5, 3.8}, width: [2]float64{10, 60},
				cpu: [2]float64{3200, 9600}, mem: [2]float64{4600, 14000}, workMs: [2]float64{1400, 3600}, estimateError: 0.5, cancel: 0.05, copies: 0.2,
				timed: 0.06, periodMs: 3000, maxRounds: 6, fails: 0.02, hopeless: 0.01},
			{queue: platformQueue{"seat-confirm", "nony24.example", "/pule252/", 90, 2, 1200, 1.5, "resale-engine"}, weight: 7.41, steps: [2]float64{1, 2.5}, width: [2]float64{2, 12},
				cpu: [2]float64{4600, 14000}, mem: [2]float64{6600, 20000}, workMs: [2]float64{800, 2000}, estimateError: 0.2, gang: 0.3, timed: 0.01, periodMs: 2000, maxRounds: 4, fails: 0.02},
		}},
	"ikenna": {name: "ikenna", edges: 7, workerHosts: 11, capacity: amounts{16000, 65536}, speeds: []float64{1, 1, 1.3}, holdMaxMs: 6000, gangWaitMs: 3000, saveMs: 2000,
		restoreMs: 600, spread: 1.5, jobsPerSecond: 7.84, rackSize: 3, service: "ledger-svc", heartbeatMs: 1400, maxTries: 5, callTimeoutMs: 1200, retryMs: 150, stopMs: 200, kinds: []platformKind{
			{queue: platformQueue{"cert-issue", "guild.example", "/certs/", 60, 4, 2000, 2.2, "ledger-svc"}, weight: 0.659, steps: [2]float64{1.2, 3}, width: [2]float64{4.4, 26},
				cpu: [2]float64{2900, 8600}, mem: [2]float64{8200, 25000}, workMs: [2]float64{5000, 12000}, estimateError: 0.2, gang: 1, sameRack: 0.7, saves: 0.5, labels: 0.2,
				timed: 0.06, periodMs: 4500, maxRounds: 8, fails: 0.05},
			{queue: platformQueue{"logbook-sync", "guild.example", "/logbook/", 30, 3, 4000, 3.2, "ledger-svc"}, weight: 1.25, steps: [2]float64{1.5, 3.8}, width: [2]float64{10, 60},
				cpu: [2]float64{800, 2400}, mem: [2]float64{2300, 6900}, workMs: [2]float64{1800, 4500}, estimateError: 0.2, cancel: 0.05, copies: 0.2,
				timed: 0.06, periodMs: 4500, maxRounds: 6, fails: 0.005, hopeless: 0.03},
			{queue: platformQueue{"signoff-check", "masters.example", "/signoff/", 90, 4, 1000, 1.5, "ledger-svc"}, weight: 5.93, steps: [2]float64{1, 2.5}, width: [2]float64{2, 12},
				cpu: [2]float64{1100, 3400}, mem: [2]float64{3300, 9800}, workMs: [2]float64{1000, 2500}, estimateError: 0.2, gang: 0.3, timed: 0.01, periodMs: 4500, maxRounds: 4, fails: 0.005, hopeless: 0.01},
		}},
}

// grownPlatformDeployments are the same deployments at the sizes that their users expect in some years.
var grownPlatformDeployments = map[string]platformDeployment{
	"hakata-grown": grownDeployment("hakata", 19, 74, amounts{64000, 262144}, 53.6, func(s *platformDeployment) {
		s.speeds, s.saveMs, s.restoreMs = []float64{1}, 500, 600
		s.kinds[0].width, s.kinds[0].mem, s.kinds[0].estimateError, s.kinds[0].queue.allowedFailures = [2]float64{20, 120}, [2]float64{42_000, 130_000}, 0.2, 3
		s.kinds[1].width, s.kinds[1].mem, s.kinds[1].workMs = [2]float64{25, 150}, [2]float64{9200, 28_000}, [2]float64{1800, 4500}
		s.kinds[2].width, s.kinds[2].mem, s.kinds[2].workMs, s.kinds[2].fails, s.kinds[2].queue.allowedFailures = [2]float64{3.2, 19}, [2]float64{9400, 28_000}, [2]float64{640, 1600}, 0.05, 3
		s.kinds[0].weight, s.kinds[1].weight, s.kinds[2].weight = 0.959, 4.15, 48.5
	}),
	"ikenna-grown": grownDeployment("ikenna", 14, 58, amounts{16000, 65536}, 27.7, func(s *platformDeployment) {
		s.spread = 3
		s.kinds[0].width, s.kinds[0].queue.latencyMs = [2]float64{20, 120}, 1500
		s.kinds[1].width = [2]float64{25, 150}
		s.kinds[2].width, s.kinds[2].queue.latencyMs = [2]float64{3.2, 19}, 800
		s.kinds[0].weight, s.kinds[1].weight, s.kinds[2].weight = 0.915, 3.17, 23.6
	}),
}

func grownDeployment(of string, edges, sides int, capacity amounts, perSec float64, edit func(*platformDeployment)) platformDeployment {
	s := platformDeployments[of]
	s.name, s.edges, s.workerHosts, s.capacity, s.jobsPerSecond, s.rackSize, s.gangWaitMs = of+"-grown", edges, sides, capacity, perSec, 9, 4000
	s.disks, s.coreSize = map[string]int{"hakata": 8, "ikenna": 6}[of], 5
	s.bounds = usualPlatformBounds
	s.bounds.contact, s.bounds.drain, s.bounds.config, s.bounds.cancel = 4000, 2500, 2500, 4000
	s.kinds = slices.Clone(s.kinds)
	edit(&s)
	return s
}

func platformDeploymentOf(name string) platformDeployment {
	if s, ok := grownPlatformDeployments[name]; ok {
		return s
	}
	if s, ok := fiveMemberDeployments[name]; ok {
		return s
	}
	if s, ok := sharedDeployments[name]; ok {
		return s
	}
	s, ok := platformDeployments[name]
	if !ok {
		s = scaledGrownDeployments[name]
	}
	s.disks = max(s.disks, membership.DefaultSize)
	s.coreSize, s.bounds = s.disks, usualPlatformBounds
	return s
}
