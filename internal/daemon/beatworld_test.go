package daemon

import (
	"cmp"
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"otterchute/internal/historycheck"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

// The users' platform at the level of the product's own calls, inside the
// simulator: workers that beat to the daemon on their own machine, callers and
// operators. It stands in for their bench, so that every rule can be shown to
// hold, or to be broken, without it.

// beatSite is one of the users' deployments.
type beatSite struct {
	name         string
	edges, sides int
	disks        int // machines with one; 0 for coreSize
	capacity     amounts
	speeds       []float64 // how much longer work takes there, by turns
	holdMaxMs    int64
	gangWaitMs   int64
	saveMs       float64
	restoreMs    int64
	spread       float64 // times as long, away from the data or over several racks
	perSec       float64
	kinds        []beatKind
	rackSize     int
	service      string
	beatMs       int64
	tries        int
	callerMs     int64 // a caller waits so long for an answer
	againMs      int64
	stopMs       int64
	coreSize     int
	bounds       beatBounds
}

// beatKind is one kind of job, with the users' own figures: mean and most.
type beatKind struct {
	queue                  beatQueue
	weight                 float64
	steps, width, cpu, mem [2]float64
	workMs                 [2]float64
	estOff                 float64
	gang, sameRack, saves  float64 // shares
	labels, copies         float64
	cancel, timed          float64
	everyMs                int64
	times                  int
	fails, hopeless        float64
}

// beatQueue is a queue as an operator declares it.
type beatQueue struct {
	name         string
	host, prefix string
	urgency      int64
	attempts     int
	latencyMs    int64
	stretch      float64
	service      string
}

// beatSetup is a setup as an operator sends it.
type beatSetup struct {
	queues  []beatQueue
	note    string
	invalid bool
	// contracts, and by queue what its batches follow, as they are sent.
	contracts []map[string]any
	batches   map[string]map[string]any
}

func (s *beatSetup) routes(q *beatQueue) bool {
	return slices.ContainsFunc(s.queues, func(o beatQueue) bool { return o.host == q.host && o.prefix == q.prefix })
}

func (s *beatSetup) sends(queue string, f *workerFacts) bool {
	return slices.ContainsFunc(s.queues, func(o beatQueue) bool { return o.name == queue && f.labels["service"] == o.service })
}

func (s *beatSetup) body() []byte {
	queues := []map[string]any{}
	for _, q := range s.queues {
		queues = append(queues, map[string]any{"name": q.name, "selector": map[string][]string{"service": {q.service}}, "urgency": q.urgency,
			"default_failures": q.attempts, "addresses": []map[string]string{{"host": q.host, "prefix": q.prefix}}, "latency_ms": q.latencyMs, "stretch": q.stretch})
	}
	if s.invalid {
		queues = append(queues, queues[0]) // a name that stands twice
	}
	doc := map[string]any{"queues": queues, "source": map[string]any{"note": s.note}}
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

var beatSites = map[string]beatSite{
	"hakata": {name: "hakata", edges: 6, sides: 11, capacity: amounts{64000, 131072}, speeds: []float64{0.8, 1, 1.25}, holdMaxMs: 10_000, gangWaitMs: 3000, saveMs: 1000,
		restoreMs: 250, spread: 1.5, perSec: 9.5, rackSize: 3, service: "resale-engine", beatMs: 1500, tries: 5, callerMs: 1200, againMs: 150, stopMs: 200, kinds: []beatKind{
			{queue: beatQueue{"promoter-verify", "nony24.example", "/lohu930/", 60, 4, 2000, 2.2, "resale-engine"}, weight: 0.527, steps: [2]float64{1.2, 3}, width: [2]float64{4.4, 26},
				cpu: [2]float64{11000, 34000}, mem: [2]float64{21000, 63000}, workMs: [2]float64{6200, 16000}, estOff: 0.5, gang: 1, sameRack: 0.7, saves: 0.5, labels: 0.2,
				timed: 0.06, everyMs: 4500, times: 8, fails: 0.005, hopeless: 0.01},
			{queue: beatQueue{"price-refresh", "ficu95.example", "/pufi791/", 30, 3, 4000, 3.2, "resale-engine"}, weight: 1.57, steps: [2]float64{1.5, 3.8}, width: [2]float64{10, 60},
				cpu: [2]float64{3200, 9600}, mem: [2]float64{4600, 14000}, workMs: [2]float64{1400, 3600}, estOff: 0.5, cancel: 0.05, copies: 0.2,
				timed: 0.06, everyMs: 3000, times: 6, fails: 0.02, hopeless: 0.01},
			{queue: beatQueue{"seat-confirm", "nony24.example", "/pule252/", 90, 2, 1200, 1.5, "resale-engine"}, weight: 7.41, steps: [2]float64{1, 2.5}, width: [2]float64{2, 12},
				cpu: [2]float64{4600, 14000}, mem: [2]float64{6600, 20000}, workMs: [2]float64{800, 2000}, estOff: 0.2, gang: 0.3, timed: 0.01, everyMs: 2000, times: 4, fails: 0.02},
		}},
	"ikenna": {name: "ikenna", edges: 7, sides: 11, capacity: amounts{16000, 65536}, speeds: []float64{1, 1, 1.3}, holdMaxMs: 6000, gangWaitMs: 3000, saveMs: 2000,
		restoreMs: 600, spread: 1.5, perSec: 7.84, rackSize: 3, service: "ledger-svc", beatMs: 1400, tries: 5, callerMs: 1200, againMs: 150, stopMs: 200, kinds: []beatKind{
			{queue: beatQueue{"cert-issue", "guild.example", "/certs/", 60, 4, 2000, 2.2, "ledger-svc"}, weight: 0.659, steps: [2]float64{1.2, 3}, width: [2]float64{4.4, 26},
				cpu: [2]float64{2900, 8600}, mem: [2]float64{8200, 25000}, workMs: [2]float64{5000, 12000}, estOff: 0.2, gang: 1, sameRack: 0.7, saves: 0.5, labels: 0.2,
				timed: 0.06, everyMs: 4500, times: 8, fails: 0.05},
			{queue: beatQueue{"logbook-sync", "guild.example", "/logbook/", 30, 3, 4000, 3.2, "ledger-svc"}, weight: 1.25, steps: [2]float64{1.5, 3.8}, width: [2]float64{10, 60},
				cpu: [2]float64{800, 2400}, mem: [2]float64{2300, 6900}, workMs: [2]float64{1800, 4500}, estOff: 0.2, cancel: 0.05, copies: 0.2,
				timed: 0.06, everyMs: 4500, times: 6, fails: 0.005, hopeless: 0.03},
			{queue: beatQueue{"signoff-check", "masters.example", "/signoff/", 90, 4, 1000, 1.5, "ledger-svc"}, weight: 5.93, steps: [2]float64{1, 2.5}, width: [2]float64{2, 12},
				cpu: [2]float64{1100, 3400}, mem: [2]float64{3300, 9800}, workMs: [2]float64{1000, 2500}, estOff: 0.2, gang: 0.3, timed: 0.01, everyMs: 4500, times: 4, fails: 0.005, hopeless: 0.01},
		}},
}

// grownBeatSites are the same users, some years on.
var grownBeatSites = map[string]beatSite{
	"hakata-grown": grownSite("hakata", 19, 74, amounts{64000, 262144}, 53.6, func(s *beatSite) {
		s.speeds, s.saveMs, s.restoreMs = []float64{1}, 500, 600
		s.kinds[0].width, s.kinds[0].mem, s.kinds[0].estOff, s.kinds[0].queue.attempts = [2]float64{20, 120}, [2]float64{42_000, 130_000}, 0.2, 3
		s.kinds[1].width, s.kinds[1].mem, s.kinds[1].workMs = [2]float64{25, 150}, [2]float64{9200, 28_000}, [2]float64{1800, 4500}
		s.kinds[2].width, s.kinds[2].mem, s.kinds[2].workMs, s.kinds[2].fails, s.kinds[2].queue.attempts = [2]float64{3.2, 19}, [2]float64{9400, 28_000}, [2]float64{640, 1600}, 0.05, 3
		s.kinds[0].weight, s.kinds[1].weight, s.kinds[2].weight = 0.959, 4.15, 48.5
	}),
	"ikenna-grown": grownSite("ikenna", 14, 58, amounts{16000, 65536}, 27.7, func(s *beatSite) {
		s.spread = 3
		s.kinds[0].width, s.kinds[0].queue.latencyMs = [2]float64{20, 120}, 1500
		s.kinds[1].width = [2]float64{25, 150}
		s.kinds[2].width, s.kinds[2].queue.latencyMs = [2]float64{3.2, 19}, 800
		s.kinds[0].weight, s.kinds[1].weight, s.kinds[2].weight = 0.915, 3.17, 23.6
	}),
}

func grownSite(of string, edges, sides int, capacity amounts, perSec float64, edit func(*beatSite)) beatSite {
	s := beatSites[of]
	s.name, s.edges, s.sides, s.capacity, s.perSec, s.rackSize, s.gangWaitMs = of+"-grown", edges, sides, capacity, perSec, 9, 4000
	s.disks, s.coreSize = map[string]int{"hakata": 8, "ikenna": 6}[of], 5
	s.bounds = usualBeatBounds
	s.bounds.contact, s.bounds.drain, s.bounds.config, s.bounds.cancel = 4000, 2500, 2500, 4000
	s.kinds = slices.Clone(s.kinds)
	edit(&s)
	return s
}

func beatSiteOf(name string) beatSite {
	if s, ok := grownBeatSites[name]; ok {
		return s
	}
	if s, ok := fiveMemberSites[name]; ok {
		return s
	}
	s, ok := beatSites[name]
	if !ok {
		s = thirdOfGrownSites[name]
	}
	s.disks = max(s.disks, coreSize)
	s.coreSize, s.bounds = s.disks, usualBeatBounds
	return s
}

// beatJob is a job as its caller knows it.
type beatJob struct {
	id               string
	queue            *beatQueue
	payload          string
	steps            []beatStep
	rounds           int
	firstMs          int64 // in the world's time
	periodMs         int64
	sentMs, endMs    int64 // endMs once a final state was shown
	acked, cancelled bool
	gaveUp           bool
	state            string
	tries            int
	fates            map[taskName]*beatFate
	lastOKMs         map[int]int64      // by round
	okTasks          map[taskName]int64 // the run that ended well first
	hurried, stuck   bool
	idleMs           int64 // since when nothing runs though something could
}

type beatStep struct {
	count      int
	room       amounts
	estimateMs int64
	after      []int
	gang       bool
	sameRack   bool
	labels     map[string]string
	near       string
	perWorker  int
	copies     bool
	lasting    bool
	saves      bool
}

// beatFate is what a task does, wherever it runs: its work, and the points of
// it at which it fails by its own fault, one run after the other.
type beatFate struct {
	workMs float64
	fails  []float64
	failed int
}

// names gives all tasks of a job.
func (j *beatJob) names() iter.Seq[taskName] {
	return func(yield func(taskName) bool) {
		for k := range max(j.rounds, 1) {
			for s := range j.steps {
				for i := range j.steps[s].count {
					if !yield(taskName{k, s, i}) {
						return
					}
				}
			}
		}
	}
}

func (j *beatJob) has(n taskName) bool {
	return n.round >= 0 && n.round < max(j.rounds, 1) && n.step >= 0 && n.step < len(j.steps) && n.index >= 0 && n.index < j.steps[n.step].count
}

func (j *beatJob) dueMs(round int) int64 {
	if j.rounds == 0 {
		return 0
	}
	return j.firstMs + int64(round)*j.periodMs
}

func (j *beatJob) lasting() bool {
	return slices.ContainsFunc(j.steps, func(s beatStep) bool { return s.lasting })
}

func (j *beatJob) final() bool {
	return j.state == "complete" || j.state == "failed" || j.state == "cancelled"
}

func (j *beatJob) body() []byte {
	steps := []map[string]any{}
	for i, s := range j.steps {
		m := map[string]any{"name": fmt.Sprint("s", i), "count": s.count, "room": map[string]int64{"cpu": s.room[0], "memory": s.room[1], "accelerators": s.room[2]}, "estimate_ms": s.estimateMs}
		after := []string{}
		for _, a := range s.after {
			after = append(after, fmt.Sprint("s", a))
		}
		for k, v := range map[string]any{"after": after, "gang": s.gang, "same_rack": s.sameRack, "labels": s.labels, "near": s.near, "per_worker": s.perWorker,
			"copies": s.copies, "lasting": s.lasting, "saves": s.saves} {
			if !emptyValue(v) {
				m[k] = v
			}
		}
		steps = append(steps, m)
	}
	m := map[string]any{"payload": j.payload, "steps": steps}
	if j.rounds > 0 {
		m["rounds"], m["first_ms"], m["period_ms"] = j.rounds, wallStart+j.firstMs, j.periodMs
	}
	return mustJSON(m)
}

func emptyValue(v any) bool {
	switch x := v.(type) {
	case bool:
		return !x
	case string:
		return x == ""
	case int:
		return x == 0
	case []string:
		return len(x) == 0
	case map[string]string:
		return len(x) == 0
	}
	return false
}

// beatWorld is a world whose workers beat.
type beatWorld struct {
	*world
	site    beatSite
	byHost  map[string]*beatWorker
	spots   []string // the side machines
	events  []beatEvent
	jobs    map[string]*beatJob
	gangs   map[gangName]*beatEffort
	texts   map[string]savedPoint
	textSeq int
	version int64 // of the last setup acknowledged
	setup   *beatSetup
	closed  bool // callers send nothing more
	lives   int
	waste   map[string]float64 // core-seconds by how a run ended
	turned  int
	pace    float64        // of traffic
	jobRng  *rand.Rand     // what is sent is drawn from it, if any, so that it stays the same whatever else moves
	in      map[string]int // ready misses of each edge daemon
	answers map[string]int
	faults  []string
	cutOff  map[string]bool
	emptied map[string]bool
	// cutTogether: machines cut off in one site still reach each other.
	cutTogether      bool
	coreLost         bool
	onSee            func(beatEvent)
	edgeHosts        []string
	diskHosts        []string
	cutOneWay        map[string]cutWay // of those cut off, which way, if one only
	newHosts         int
	sentSetups       map[string]*sentSetup // by body
	setupsSent       []*sentSetup
	closing          bool             // no trouble begins any more
	leftOut          int              // strikes of a day for which too many machines were lost
	lastAcknowledger string           // of a change
	replaced         map[string]bool  // machines whose replacement began
	underWay         int              // changes not yet finally answered
	troubled         map[string]int   // troubles under way, by machine
	calmMs           map[string]int64 // when the last one ended, or a new machine started
}

type gangName struct {
	job         string
	round, step int
	run         int64
}

type savedPoint struct {
	job    string
	task   taskName
	doneMs float64
}

// newBeatWorld builds a deployment: edge daemons, of which three have disks,
// and a side daemon beside each worker.
func newBeatWorld(seed uint64, name string) *beatWorld {
	site := beatSiteOf(name)
	dep := historycheck.Deployment{Name: name, Daemons: site.edges + site.sides}
	b := &beatWorld{world: newWorld(seed, dep), site: site, byHost: map[string]*beatWorker{}, jobs: map[string]*beatJob{}, gangs: map[gangName]*beatEffort{},
		texts: map[string]savedPoint{}, waste: map[string]float64{}, answers: map[string]int{}, cutOff: map[string]bool{}, emptied: map[string]bool{}, pace: 1,
		cutOneWay: map[string]cutWay{}, sentSetups: map[string]*sentSetup{}, troubled: map[string]int{}, calmMs: map[string]int64{}}
	b.holdUpMs = wire.UnackedMs
	b.whenAnswered(b.noteTaken)
	b.edgeHosts, b.diskHosts = sorted(b.nodes)[:site.edges], sorted(b.nodes)[:site.disks]
	for i, host := range sorted(b.nodes) {
		p := &b.nodes[host].nodeConfig
		placeBeatNode(p, site, i >= site.edges)
		if i < site.disks && !p.Disk {
			p.Disk, p.DiskID = true, b.rng.Uint64()|1
		}
		if i < site.edges {
			continue
		}
		b.spots = append(b.spots, host)
		k := i - site.edges
		bw := &beatWorker{b: b, node: b.nodes[host], rack: fmt.Sprintf("r%d", k/site.rackSize), labels: map[string]string{"service": site.service, "kind": []string{"a", "b"}[k%2]},
			capacity: site.capacity, factor: site.speeds[k%len(site.speeds)], slow: 1}
		b.byHost[host] = bw
		b.after(1_500_000+b.rng.Int64N(1_000_000), bw.start)
	}
	return b
}

func (b *beatWorld) edges() []string { return slices.Clone(b.edgeHosts) }

func (b *beatWorld) disks() []string { return slices.Clone(b.diskHosts) }

// see notes one line of the history.
func (b *beatWorld) see(e beatEvent) {
	e.atMs = b.nowMs()
	b.events = append(b.events, e)
	if b.onSee != nil {
		b.onSee(e)
	}
}

// beatRun is one run at a worker.
type beatRun struct {
	name     taskName
	run      int64
	job      *beatJob
	worker   *beatWorker
	step     *beatStep
	startMs  int64
	saved    string
	stopping bool
	effort   *beatEffort
	gone     bool
}

// beatEffort is the work of a run, or of a whole gang, whose members begin
// once all are there and end together.
type beatEffort struct {
	b         *beatWorld
	name      gangName
	members   []*beatRun
	formed    bool
	workMs    float64
	doneMs    float64
	savedMs   float64 // of it is saved
	begunMs   float64 // done before this run
	rate      float64
	atUs      int64
	readyUs   int64 // restored by then
	failAtMs  float64
	failing   *beatRun
	gen       int
	sinceMs   int64
	dissolved bool
}

// beatWorker is a worker as the users' platform has them: it does what its
// daemon tells it, and all of it ends when its hold runs out.
type beatWorker struct {
	b        *beatWorld
	node     *simNode
	id       string
	rack     string
	labels   map[string]string
	capacity amounts
	factor   float64 // work takes that much longer here
	slow     float64
	hang     bool
	guards   bool
	up       bool
	gen      int
	seq      int64
	leaving  bool
	leavesMs int64 // world time, -1 for unknown
	dies     bool  // it is settled when it dies
	bootUs   int64
	drift    float64 // its clock is that much slow
	holdUs   int64   // by its own clock
	holdGen  int
	runs     map[runName]*beatRun
	floor    map[runName]int64 // by task: the highest run that ended here
	ends     []beatEnd
	endSeq   int64
	out      bool // a beat is on its way
	again    bool // something ended meanwhile
	nextUs   int64
	used     amounts
	deliver  func(body []byte, cb func(status int, body []byte)) // instead of the network
}

type beatEnd struct {
	n     int64
	run   *beatRun
	how   string
	saved string
}

func (s *beatWorker) taskKey(r runName) runName { return runName{job: r.job, name: r.name} }

func (s *beatWorker) start() {
	if s.up {
		return
	}
	b := s.b
	b.lives++
	s.up, s.id, s.seq, s.endSeq, s.leaving, s.leavesMs, s.dies = true, fmt.Sprintf("i-%03d", b.lives), 0, 0, false, -1, false
	s.gen++
	s.bootUs, s.drift, s.holdUs, s.nextUs, s.out, s.again = b.nowUs-b.rng.Int64N(1_000_000_000), b.rng.Float64()*0.02, 0, 0, false, false
	s.runs, s.floor, s.ends, s.used = map[runName]*beatRun{}, map[runName]int64{}, nil, amounts{}
	b.see(beatEvent{kind: bWorkerUp, worker: s.id, host: s.node.Name, facts: &workerFacts{capacity: s.capacity, labels: s.labels, site: s.node.Zone, rack: s.rack, guards: s.guards}})
	s.beatIn(b.rng.Int64N(50_000))
}

// clockUs is the worker's own steady clock.
func (s *beatWorker) clockUs() int64 {
	return int64(float64(s.b.nowUs-s.bootUs) * (1 - s.drift))
}

// crash ends it and all that runs there, without a word.
func (s *beatWorker) crash() {
	if !s.up {
		return
	}
	s.up = false
	s.gen++
	s.b.see(beatEvent{kind: bWorkerDown, worker: s.id, host: s.node.Name})
	for _, k := range s.runNames() {
		r := s.runs[k]
		delete(s.runs, k)
		r.gone = true
		s.b.wasted("crash", r)
		r.effort.lost(r, false)
	}
}

// leave says that it is leaving; it dies leaveMs after that was acknowledged,
// or with short notice that long from now whatever happens.
func (s *beatWorker) leave(leaveMs int64, short bool) {
	if !s.up || s.leaving {
		return
	}
	b, gen := s.b, s.gen
	s.leaving = true
	s.beatIn(1000)
	if short {
		s.leavesMs, s.dies = b.nowMs()+leaveMs, true
		b.after(leaveMs*1000, func() {
			if s.gen == gen {
				s.crash()
			}
		})
		return
	}
	b.after(7_000_000, func() { // with no acknowledgement it ends all the same
		if s.gen == gen && !s.dies {
			s.crash()
		}
	})
}

func (s *beatWorker) runNames() []runName {
	out := make([]runName, 0, len(s.runs))
	for k := range s.runs {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b runName) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.name.round, b.name.round), cmp.Compare(a.name.step, b.name.step),
			cmp.Compare(a.name.index, b.name.index), cmp.Compare(a.run, b.run))
	})
	return out
}

// beatIn lets the next beat go out in so many us, or sooner if one is due.
func (s *beatWorker) beatIn(us int64) {
	if s.out {
		return
	}
	at := s.b.nowUs + us
	if s.nextUs > s.b.nowUs && s.nextUs <= at {
		return
	}
	s.nextUs = at
	gen := s.gen
	s.b.after(us, func() {
		if s.gen == gen && s.up && !s.out && s.nextUs == at {
			s.beat()
		}
	})
}

func (s *beatWorker) beat() {
	b := s.b
	s.out, s.again, s.nextUs = true, false, 0
	s.seq++
	running, ended := []map[string]any{}, []map[string]any{}
	entry := func(r *beatRun) map[string]any {
		return map[string]any{"job": r.job.id, "round": r.name.round, "step": r.name.step, "index": r.name.index, "run": r.run}
	}
	for _, k := range s.runNames() {
		r := s.runs[k]
		r.effort.settle()
		m := entry(r)
		m["saved"], m["percent"] = r.saved, int(100*r.effort.doneMs/max(r.effort.workMs, 1))
		running = append(running, m)
	}
	for _, e := range s.ends[:min(500, len(s.ends))] {
		m := entry(e.run)
		m["n"], m["outcome"], m["saved"] = e.n, e.how, e.saved
		ended = append(ended, m)
	}
	doc := map[string]any{"seq": s.seq, "site": s.node.Zone, "labels": s.labels, "rack": s.rack, "leaving": s.leaving, "running": running, "ended": ended,
		"capacity": map[string]int64{"cpu": s.capacity[0], "memory": s.capacity[1], "accelerators": s.capacity[2]}}
	if s.leaving {
		doc["leaves_ms"] = int64(2000)
		if s.leavesMs >= 0 {
			doc["leaves_ms"] = max(0, s.leavesMs-b.nowMs())
		}
	}
	if len(ended) > 0 {
		b.see(beatEvent{kind: bListed, worker: s.id, host: s.node.Name, n: s.ends[len(ended)-1].n})
	}
	gen, sentUs, said := s.gen, s.clockUs(), s.leaving
	done := func(status int, body []byte) {
		if s.gen != gen {
			return
		}
		s.out = false
		if status == 200 {
			s.take(body, sentUs, said)
		}
		switch {
		case s.again:
			s.beatIn(50_000)
		case status != 200:
			s.beatIn(200_000)
		default:
			again := gjson.GetBytes(body, "again_ms")
			wait := s.b.site.beatMs
			if again.Exists() {
				wait = again.Int()
			}
			s.beatIn(max(wait, 5) * 1000)
		}
	}
	if s.deliver != nil {
		s.deliver(mustJSON(doc), done)
		return
	}
	if !s.node.up { // nobody listens there
		b.after(1000, func() { done(0, nil) })
		return
	}
	b.call(s.node.Name, s.node, beatCall{op: "worker.beat", key: s.id, body: mustJSON(doc)}, 1000, func(status int, _ int64, body []byte) { done(status, body) })
}

// take does what an answer says.
func (s *beatWorker) take(body []byte, sentUs int64, said bool) {
	b, a := s.b, gjson.ParseBytes(body)
	if said {
		b.see(beatEvent{kind: bLeaving, worker: s.id, host: s.node.Name})
		if !s.dies {
			s.dies, s.leavesMs = true, b.nowMs()+2000
			gen := s.gen
			b.after(2_300_000, func() {
				if s.gen != gen {
					return
				}
				dead := func(int, int64, []byte) {
					if s.gen == gen {
						s.crash()
					}
				}
				b.call(s.node.Name, s.node, beatCall{op: "worker.gone", key: s.id}, 1000, dead)
			})
		}
	}
	if seen := a.Get("seen").Int(); seen > 0 && len(s.ends) > 0 && s.ends[0].n <= seen {
		b.see(beatEvent{kind: bSeen, worker: s.id, host: s.node.Name, n: seen})
		s.ends = slices.DeleteFunc(s.ends, func(e beatEnd) bool { return e.n <= seen })
	}
	if hold := a.Get("hold_ms").Int(); hold > 0 {
		until := sentUs + min(hold, b.site.holdMaxMs)*1000
		if until > s.holdUs {
			s.holdUs = until
			s.watchHold()
		}
	}
	for _, o := range a.Get("stop").Array() {
		k := s.nameOf(o)
		if s.floor[s.taskKey(k)] < k.run {
			s.floor[s.taskKey(k)] = k.run
		}
		if r := s.runs[k]; r != nil && !r.stopping {
			r.stopping = true
			gen := s.gen
			b.after(1000+b.rng.Int64N((b.site.stopMs-20)*1000), func() {
				if s.gen == gen && !r.gone {
					s.end(r, "stopped")
				}
			})
		}
	}
	for _, o := range a.Get("start").Array() {
		s.startRun(o)
	}
}

func (s *beatWorker) nameOf(o gjson.Result) runName {
	return runName{o.Get("job").Str, taskName{int(o.Get("round").Int()), int(o.Get("step").Int()), int(o.Get("index").Int())}, o.Get("run").Int()}
}

func (s *beatWorker) startRun(o gjson.Result) {
	b, k := s.b, s.nameOf(o)
	e := beatEvent{kind: bOrdered, job: k.job, task: k.name, run: k.run, worker: s.id, host: s.node.Name, saved: o.Get("saved").Str, text: o.Get("payload").Str}
	if p := o.Get("payload"); p.Type != gjson.String {
		e.text = p.Raw
	}
	b.see(e)
	job := b.jobs[k.job]
	if job == nil || !job.has(k.name) {
		return // the judge has it
	}
	step := &job.steps[k.name.step]
	if s.clockUs() >= s.holdUs || s.runs[k] != nil {
		return // nothing is begun without a hold, and nothing twice
	}
	r := &beatRun{name: k.name, run: k.run, job: job, worker: s, step: step, startMs: b.nowMs(), saved: e.saved}
	if k.run <= s.floor[s.taskKey(k)] || s.guards && !s.used.plus(step.room, 1).within(s.capacity) {
		b.turned++
		s.list(r, "turned_away")
		return
	}
	s.used = s.used.plus(step.room, 1)
	s.runs[k] = r
	b.see(beatEvent{kind: bStarted, job: k.job, task: k.name, run: k.run, worker: s.id, host: s.node.Name})
	b.join(r)
}

// list adds an end that beats tell of until it is taken note of.
func (s *beatWorker) list(r *beatRun, how string) {
	s.endSeq++
	s.ends = append(s.ends, beatEnd{s.endSeq, r, how, r.saved})
	if s.out {
		s.again = true
	} else {
		s.beatIn(50_000)
	}
}

// end ends a run here.
func (s *beatWorker) end(r *beatRun, how string) {
	k := runName{r.job.id, r.name, r.run}
	if s.runs[k] != r {
		return
	}
	r.effort.settle()
	if how == "stopped" && r.step.saves {
		r.effort.save(r)
	}
	delete(s.runs, k)
	r.gone = true
	s.used = s.used.plus(r.step.room, -1)
	if tk := s.taskKey(k); s.floor[tk] < r.run {
		s.floor[tk] = r.run
	}
	s.b.see(beatEvent{kind: bEnded, job: r.job.id, task: r.name, run: r.run, worker: s.id, host: s.node.Name, text: how, n: s.endSeq + 1, saved: r.saved})
	s.list(r, how)
	if how == "ok" {
		r.job.ok(s.b, r)
	} else {
		s.b.wasted(how, r)
	}
	r.effort.lost(r, how == "ok")
}

// watchHold ends everything once the hold is over.
func (s *beatWorker) watchHold() {
	s.holdGen++
	gen, life := s.holdGen, s.gen
	left := int64(math.Ceil(float64(s.holdUs-s.clockUs())/(1-s.drift))) + 1
	s.b.after(left, func() {
		if s.gen != life || s.holdGen != gen {
			return
		}
		s.b.see(beatEvent{kind: bLapsed, worker: s.id, host: s.node.Name})
		for _, k := range s.runNames() {
			if r := s.runs[k]; r != nil {
				s.end(r, "lapsed")
			}
		}
	})
}

// setPace changes how fast it works.
func (s *beatWorker) setPace(slow float64, hang bool) {
	for _, k := range s.runNames() {
		s.runs[k].effort.settle()
	}
	s.slow, s.hang = slow, hang
	for _, k := range s.runNames() {
		s.runs[k].effort.plan()
	}
}

// join brings a run into its effort: its own, or that of its gang.
func (b *beatWorld) join(r *beatRun) {
	name := gangName{job: r.job.id, round: r.name.round, step: r.name.step, run: r.run}
	var e *beatEffort
	if r.step.gang {
		if e = b.gangs[name]; e != nil && (e.dissolved || e.formed) {
			e = nil
		}
	}
	if e == nil {
		e = &beatEffort{b: b, name: name, sinceMs: b.nowMs()}
		if r.step.gang {
			b.gangs[name] = e
		}
	}
	r.effort = e
	e.members = append(e.members, r)
	if !r.step.gang {
		e.begin()
		return
	}
	if len(e.members) == r.step.count {
		e.begin()
		return
	}
	b.after(b.site.gangWaitMs*1000, func() {
		if !r.gone && !e.formed {
			r.worker.end(r, "alone")
		}
	})
}

func (e *beatEffort) begin() {
	e.formed, e.atUs, e.readyUs = true, e.b.nowUs, e.b.nowUs
	first := e.members[0]
	for i, r := range e.members {
		e.workMs = max(e.workMs, r.job.fates[r.name].workMs)
		if p, ok := e.b.texts[r.saved]; ok && p.job == r.job.id && (i == 0 || p.doneMs < e.doneMs) {
			e.doneMs = p.doneMs
		}
	}
	if first.saved != "" {
		e.readyUs += e.b.site.restoreMs * 1000
	}
	e.begunMs, e.savedMs = e.doneMs, e.doneMs
	if first.step.lasting {
		e.workMs = 1e15
	}
	for _, r := range e.members {
		f := r.job.fates[r.name]
		if f.failed < len(f.fails) {
			if at := f.fails[f.failed] * min(e.workMs, 20_000); e.failing == nil || at < e.failAtMs {
				e.failing, e.failAtMs = r, at
			}
		}
	}
	e.plan()
}

// speed is how much work is done a ms now.
func (e *beatEffort) speed() float64 {
	if !e.formed || e.dissolved || e.b.nowUs < e.readyUs {
		return 0
	}
	rate, racks := math.Inf(1), map[string]bool{}
	for _, r := range e.members {
		s := r.worker
		if s.hang {
			return 0
		}
		f := s.factor * s.slow
		if r.step.near != "" && r.step.near != s.rack {
			f *= e.b.site.spread
		}
		rate = min(rate, 1/f)
		racks[s.rack] = true
	}
	if e.members[0].step.sameRack && len(racks) > 1 {
		rate /= e.b.site.spread
	}
	return rate
}

// settle brings what is done up to now.
func (e *beatEffort) settle() {
	if !e.formed || e.dissolved {
		return
	}
	e.doneMs = min(e.workMs, e.doneMs+e.rate*float64(e.b.nowUs-e.atUs)/1000)
	e.atUs = e.b.nowUs
}

// plan finds what happens next: a save, a failure or the end.
func (e *beatEffort) plan() {
	e.settle()
	e.gen++
	e.rate = e.speed()
	if !e.formed || e.dissolved {
		return
	}
	gen := e.gen
	if e.b.nowUs < e.readyUs {
		e.b.after(e.readyUs-e.b.nowUs, func() {
			if e.gen == gen {
				e.plan()
			}
		})
		return
	}
	if e.rate == 0 {
		return
	}
	first := e.members[0]
	next, what := e.workMs, "ok"
	if e.failing != nil && max(e.failAtMs, e.doneMs+1) < next {
		next, what = max(e.failAtMs, e.doneMs+1), "failed"
	}
	if save := e.savedMs + e.b.site.saveMs; first.step.saves && save < next && what != "saved" {
		next, what = save, "saved"
	}
	e.b.after(int64(math.Ceil(max(0, next-e.doneMs)/e.rate*1000)), func() {
		if e.gen != gen {
			return
		}
		e.settle()
		e.doneMs = max(e.doneMs, next)
		switch what {
		case "saved":
			e.savedMs = next
			for _, r := range e.members {
				e.save(r)
			}
			e.plan()
		case "failed":
			e.failing.job.fates[e.failing.name].failed++
			e.failing.worker.end(e.failing, "failed")
		default:
			e.gen++
			for _, r := range slices.Clone(e.members) {
				r.worker.end(r, "ok")
			}
		}
	})
}

// save renews the text that a run can be continued from.
func (e *beatEffort) save(r *beatRun) {
	if !e.formed {
		return
	}
	e.b.textSeq++
	r.saved = fmt.Sprintf("%08x%s", e.b.textSeq, r.job.id)
	e.b.texts[r.saved] = savedPoint{r.job.id, r.name, e.doneMs}
	e.savedMs = e.doneMs
	e.b.see(beatEvent{kind: bSaved, job: r.job.id, task: r.name, run: r.run, worker: r.worker.id, host: r.worker.node.Name, saved: r.saved})
}

// lost takes a member out that has ended. The others of a gang that was at
// work end too, unless all end well together.
func (e *beatEffort) lost(r *beatRun, well bool) {
	e.settle()
	e.members = slices.DeleteFunc(e.members, func(o *beatRun) bool { return o == r })
	if well || !e.formed {
		return
	}
	e.gen++
	e.dissolved = true
	for _, o := range slices.Clone(e.members) {
		o := o
		e.b.after(1000+e.b.rng.Int64N(20_000), func() {
			if !o.gone {
				o.worker.end(o, "broken")
			}
		})
	}
}

// wasted counts the core-seconds of work that came to nothing.
func (b *beatWorld) wasted(how string, r *beatRun) {
	spent := float64(b.nowMs()-r.startMs) / 1000
	if r.effort != nil && r.effort.formed {
		spent -= max(0, r.effort.savedMs-r.effort.begunMs) / 1000
	}
	b.waste[how] += max(0, spent) * (float64(r.step.room[0])/1000 + 8*float64(r.step.room[2]))
}

// ok takes a good end of one of a job's tasks.
func (j *beatJob) ok(b *beatWorld, r *beatRun) {
	n := r.name
	if r.step.gang {
		n.index = 0
	}
	if run, ok := j.okTasks[n]; ok {
		if r.step.gang && run == r.run {
			return // with the others of its gang
		}
		b.waste["twice"] += float64(b.nowMs()-r.startMs) / 1000 * float64(r.step.room[0]) / 1000
		return
	}
	j.okTasks[n] = r.run
	j.lastOKMs[r.name.round] = b.nowMs()
	if len(j.okTasks) == j.units() {
		b.after(20_000+b.rng.Int64N(80_000), func() { b.look(j) })
	}
}

// units is how many good ends the job needs.
func (j *beatJob) units() int {
	sum := 0
	for _, s := range j.steps {
		if s.gang {
			sum++
		} else {
			sum += s.count
		}
	}
	return sum * max(j.rounds, 1)
}

// beatCall is one of the product's own calls.
type beatCall struct {
	op, host, path, key string
	expect              int64
	body                []byte
}

func (b *beatWorld) call(from string, to *simNode, c beatCall, waitMs int64, cb func(status int, retryMs int64, body []byte)) {
	b.world.call(from, to, eventOf(c), waitMs, cb)
}

// ready is what the platform asks each edge daemon every second.
func (b *beatWorld) watchReady() {
	b.in = map[string]int{}
	for i, host := range b.edges() {
		b.after(int64(i)*90_000, func() { b.checkReady(host) })
	}
}

func (b *beatWorld) checkReady(host string) {
	n := b.nodes[host]
	if n.removed {
		return
	}
	b.call("caller", n, beatCall{op: "ready"}, 1000, func(status int, _ int64, _ []byte) {
		if b.in[host]++; status == 200 {
			b.in[host] = 0
		}
	})
	b.after(1_000_000, func() { b.checkReady(host) })
}

// edge gives a daemon for a new connection.
func (b *beatWorld) edge() *simNode {
	var in []string
	for _, host := range b.edges() {
		if b.in[host] < 2 {
			in = append(in, host)
		}
	}
	if 2*len(in) < b.site.edges {
		in = b.edges()
	}
	return b.nodes[in[b.rng.IntN(len(in))]]
}

// submit sends a job as its caller does: again after silence or a refusal.
func (b *beatWorld) submit(j *beatJob) *beatJob {
	b.jobSeq++
	if j.id == "" {
		j.id = fmt.Sprintf("%016x", 0x5c0e<<48|uint64(b.jobSeq))
	}
	if j.payload == "" {
		j.payload = fmt.Sprintf("spec-%d-%x", b.jobSeq, b.rng.Uint32())
	}
	j.sentMs, j.okTasks, j.lastOKMs = b.nowMs(), map[taskName]int64{}, map[int]int64{}
	b.jobs[j.id] = j
	b.see(beatEvent{kind: bJobSent, job: j.id, spec: j, queue: j.queue})
	b.send(j)
	return j
}

func (b *beatWorld) send(j *beatJob) {
	j.tries++
	asked, to := b.nowMs(), b.edge()
	b.call("caller", to, beatCall{op: "queue.submit", host: j.queue.host, path: j.queue.prefix + j.id, body: j.body()}, b.site.callerMs, func(status int, retryMs int64, body []byte) {
		b.answers[fmt.Sprint("submit ", status)]++
		b.see(beatEvent{kind: bJobTried, job: j.id, host: to.Name, n: int64(status), askedMs: asked})
		switch {
		case status >= 200 && status < 300:
			j.acked = true
			b.after(600_000+b.rng.Int64N(600_000), func() { b.poll(j) })
		case status == 404 || status == 400 || status == 409 || j.tries >= b.site.tries:
			j.gaveUp = true
			if status == 400 && len(b.faults) < 5 {
				b.faults = append(b.faults, string(body))
			}
		default:
			b.after(max(retryMs, b.site.againMs)*1000, func() { b.send(j) })
		}
	})
}

func (b *beatWorld) poll(j *beatJob) {
	if j.final() {
		return
	}
	b.look(j)
	b.after(800_000+b.rng.Int64N(600_000), func() { b.poll(j) })
}

// look asks for a job's state once.
func (b *beatWorld) look(j *beatJob) {
	asked, to := b.nowMs(), b.edge()
	b.call("caller", to, beatCall{op: "queue.state", host: j.queue.host, path: j.queue.prefix + j.id}, b.site.callerMs, func(status int, _ int64, body []byte) {
		b.answers[fmt.Sprint("state ", status)]++
		state := ""
		switch status {
		case 200:
			state = gjson.GetBytes(body, "state").Str
		case 410:
			state = "unknown"
		}
		if state == "" {
			return
		}
		b.see(beatEvent{kind: bJobShown, job: j.id, host: to.Name, text: state, askedMs: asked})
		if j.final() {
			return
		}
		j.state = state
		if j.final() {
			j.endMs = b.nowMs()
		} else if len(j.okTasks) == j.units() && !j.hurried {
			j.hurried = true
			b.after(150_000, func() { b.look(j) })
		}
	})
}

func (b *beatWorld) cancel(j *beatJob) {
	if j.final() {
		return
	}
	b.see(beatEvent{kind: bCancelSent, job: j.id})
	b.call("caller", b.edge(), beatCall{op: "queue.cancel", host: j.queue.host, path: j.queue.prefix + j.id}, b.site.callerMs, func(status int, retryMs int64, _ []byte) {
		b.answers[fmt.Sprint("cancel ", status)]++
		switch {
		case status == 200:
			j.cancelled = true
			b.see(beatEvent{kind: bCancelAcked, job: j.id})
		case status == 409 || status == 410 || status == 404:
		default:
			b.after(max(retryMs, b.site.againMs)*1000, func() { b.cancel(j) })
		}
	})
}

// sentSetup is a change of the setup as its operator knows it.
type sentSetup struct {
	setup         *beatSetup
	version, base int64
	body          []byte
	acked         bool
}

// putSetup sends a setup on top of a version until it is finally answered.
func (b *beatWorld) putSetup(s *beatSetup, version, base int64, done func(status int)) {
	b.putSetupAt("", 0, s, version, base, done)
}

// putSetupAt is putConfig with so many tries at one machine first.
func (b *beatWorld) putSetupAt(host string, tries int, s *beatSetup, version, base int64, done func(status int)) {
	b.see(beatEvent{kind: bSetupSent, n: version, base: base, setup: s})
	o := &sentSetup{setup: s, version: version, base: base, body: s.body()}
	b.sentSetups[string(o.body)] = o
	b.setupsSent = append(b.setupsSent, o)
	b.underWay++
	var try func()
	try = func() {
		to := b.edge()
		if tries--; tries >= 0 {
			to = b.nodes[host]
		}
		b.sendSetup(o, to, func(status int, retryMs int64) {
			if status != 200 && status != 400 && status != 409 {
				b.after(max(retryMs, 100)*1000, try)
				return
			}
			b.underWay--
			if done != nil {
				done(status)
			}
		})
	}
	try()
}

// sendSetup sends a change once more, to some machine.
func (b *beatWorld) sendSetup(o *sentSetup, to *simNode, done func(status int, retryMs int64)) {
	b.call("operator", to, beatCall{op: "setup.put", key: fmt.Sprint(o.version), expect: o.base, body: o.body}, 1000, func(status int, retryMs int64, _ []byte) {
		b.answers[fmt.Sprint("setup ", status)]++
		switch status {
		case 200:
			o.acked = true
			b.see(beatEvent{kind: bSetupAcked, n: o.version, base: o.base, setup: o.setup})
			if o.version > b.version {
				b.version, b.setup = o.version, o.setup
			}
		case 400, 409:
			b.see(beatEvent{kind: bSetupRefused, n: o.version, base: o.base, setup: o.setup})
		}
		done(status, retryMs)
	})
}

// noteTaken tells the judge what a daemon says it took, heard or not.
func (b *beatWorld) noteTaken(a sentAnswer) (over bool) {
	if !a.accepted() {
		return false
	}
	switch a.call.Op {
	case "setup.put":
		if o := b.sentSetups[string(a.call.Body)]; o != nil {
			b.see(beatEvent{kind: bSetupTaken, n: o.version, base: o.base, setup: o.setup, host: a.from.Name})
		}
	case "queue.submit":
		b.see(beatEvent{kind: bJobTaken, job: a.call.Path[strings.LastIndex(a.call.Path, "/")+1:], host: a.from.Name})
	}
	return false
}

// usualSetup declares all queues of the site.
func (b *beatWorld) usualSetup() *beatSetup {
	s := &beatSetup{note: fmt.Sprint(b.rng.Uint32())}
	for _, k := range b.site.kinds {
		s.queues = append(s.queues, k.queue)
	}
	return s
}

// change sends a newer setup, with a number some steps on.
func (b *beatWorld) change(edit func(*beatSetup)) {
	s := b.usualSetup()
	if edit != nil {
		edit(s)
	}
	b.putSetup(s, b.version+1+b.rng.Int64N(3), b.version, nil)
}

// order sends site.empty or site.open until it is acknowledged.
func (b *beatWorld) order(op, site string, then func()) {
	if op == "site.open" {
		b.see(beatEvent{kind: bOpened, text: site})
	} else {
		b.emptied[site] = true
	}
	var try func()
	try = func() {
		b.call("operator", b.edge(), beatCall{op: op, key: site}, 1000, func(status int, retryMs int64, _ []byte) {
			b.answers[fmt.Sprint(op, " ", status)]++
			if status != 200 {
				b.after(max(retryMs, 100)*1000, try)
				return
			}
			if op == "site.empty" {
				b.see(beatEvent{kind: bEmptied, text: site})
			} else {
				delete(b.emptied, site)
			}
			if then != nil {
				then()
			}
		})
	}
	try()
}

func (b *beatWorld) share(p float64) bool { return b.rng.Float64() < p }

// drawn gives a value about a mean, never over the most.
func (b *beatWorld) drawn(of [2]float64, spread float64) float64 {
	return min(of[1], of[0]*math.Exp(spread*b.rng.NormFloat64()-spread*spread/2))
}

// draw makes a job of a kind.
func (b *beatWorld) draw(k *beatKind) *beatJob {
	j := &beatJob{queue: &k.queue, fates: map[taskName]*beatFate{}}
	gang, label := b.share(k.gang), ""
	if b.share(k.labels) {
		label = b.some([]string{"a", "b"})
	}
	if b.share(k.timed) {
		j.rounds, j.periodMs, j.firstMs = 2+b.rng.IntN(max(1, min(k.times, 4)-1)), k.everyMs, b.nowMs()+500+b.rng.Int64N(2500)
	}
	for i := range int(max(1, math.Round(b.drawn(k.steps, 0.4)))) {
		s := beatStep{count: max(1, int(math.Round(b.drawn(k.width, 0.8)))), room: amounts{int64(max(100, b.drawn(k.cpu, 0.45))), int64(max(128, b.drawn(k.mem, 0.6)))},
			gang: gang, saves: b.share(k.saves), copies: !gang && b.share(k.copies)}
		if label != "" {
			s.labels = map[string]string{"kind": label}
		}
		if gang {
			s.sameRack = b.share(k.sameRack)
			fits := min(b.site.capacity[0]/s.room[0], b.site.capacity[1]/s.room[1]) * int64(b.site.sides) * 4 / 10
			if label != "" {
				fits /= 2
			}
			s.count = max(2, min(s.count, int(fits)))
		} else {
			if b.share(0.2) {
				s.near = fmt.Sprintf("r%d", b.rng.IntN((b.site.sides+b.site.rackSize-1)/b.site.rackSize))
			}
			if b.share(0.1) {
				s.perWorker = 1 + b.rng.IntN(3)
			}
		}
		if i > 0 {
			s.after = []int{i - 1}
		}
		mean := b.drawn(k.workMs, 0.5)
		s.estimateMs = int64(max(50, mean*(1+k.estOff*(2*b.rng.Float64()-1))))
		j.steps = append(j.steps, s)
		for round := range max(j.rounds, 1) {
			for t := range s.count {
				f := &beatFate{workMs: max(20, mean*(0.7+0.6*b.rng.Float64()))}
				if b.share(k.fails) && (!gang || t < 3) { // a gang is one piece of work
					f.fails = []float64{b.rng.Float64()}
				}
				j.fates[taskName{round, i, t}] = f
			}
		}
	}
	if b.share(k.hopeless) {
		b.doom(j)
	}
	return j
}

// doom makes a job one that can't be done.
func (b *beatWorld) doom(j *beatJob) {
	f := j.fates[taskName{0, len(j.steps) - 1, 0}]
	f.fails = nil
	for range j.queue.attempts + 1 {
		f.fails = append(f.fails, 0.2+0.6*b.rng.Float64())
	}
}

// simple makes a job of one step of alike tasks.
func (b *beatWorld) simple(kind, count int, room amounts, workMs float64) *beatJob {
	j := &beatJob{queue: &b.site.kinds[kind].queue, fates: map[taskName]*beatFate{}, steps: []beatStep{{count: count, room: room, estimateMs: int64(workMs)}}}
	for i := range count {
		j.fates[taskName{0, 0, i}] = &beatFate{workMs: workMs}
	}
	return j
}

// lastingJob keeps its tasks at work until it is cancelled; they fail at times.
func (b *beatWorld) lastingJob() *beatJob {
	j := b.simple(1, 2, amounts{b.site.capacity[0] / 32, b.site.capacity[1] / 32}, 1000)
	j.steps[0].lasting = true
	for i := range 2 {
		j.fates[taskName{0, 0, i}].fails = []float64{0.1 + 0.4*b.rng.Float64(), 0.3, 0.6}
	}
	return j
}

// drawing lets what is sent be drawn, and whom a fault strikes.
func (b *beatWorld) drawing(do func()) {
	if b.jobRng != nil {
		b.rng, b.jobRng = b.jobRng, b.rng
		defer func() { b.rng, b.jobRng = b.jobRng, b.rng }()
	}
	do()
}

// traffic sends the site's mix until callers are told to stop.
func (b *beatWorld) traffic() {
	sum := 0.0
	for i := range b.site.kinds {
		sum += b.site.kinds[i].weight
	}
	var next, one func()
	next = func() { b.drawing(one) }
	one = func() {
		if b.closed {
			return
		}
		at, k := b.rng.Float64()*sum, 0
		for k < len(b.site.kinds)-1 && at >= b.site.kinds[k].weight {
			at -= b.site.kinds[k].weight
			k++
		}
		b.sendKind(k)
		b.after(int64(b.rng.ExpFloat64()*1e6/(b.site.perSec*b.pace)), next)
	}
	next()
}

func (b *beatWorld) sendKind(k int) *beatJob {
	kind := &b.site.kinds[k]
	j := b.submit(b.draw(kind))
	if b.share(kind.cancel) {
		b.after(200_000+b.rng.Int64N(4_000_000), func() {
			if j.acked {
				b.cancel(j)
			}
		})
	}
	return j
}

// aimMs is the users' aim for one round of a job: stretch times its longest
// chain of work on sound workers near its data, and the queue's latency.
func (b *beatWorld) aimMs(j *beatJob, round int) int64 {
	done := make([]float64, len(j.steps))
	longest := 0.0
	for i, s := range j.steps {
		from, work := 0.0, 0.0
		for _, a := range s.after {
			from = max(from, done[a])
		}
		for t := range s.count {
			f := j.fates[taskName{round, i, t}]
			own := f.workMs
			for _, at := range f.fails {
				own += at * min(f.workMs, 20_000)
			}
			work = max(work, own)
		}
		waves := 1.0
		for d := range 2 {
			if quarter := float64(b.site.capacity[d]) * float64(b.site.sides) / 4; s.room[d] > 0 {
				waves = max(waves, math.Ceil(float64(s.room[d])*float64(s.count)/quarter))
			}
		}
		done[i] = from + work*waves
		longest = max(longest, done[i])
	}
	return int64(j.queue.stretch*longest) + j.queue.latencyMs
}

// inAim gives by queue how many jobs and rounds were owed, done in their aim, and done at all.
func (b *beatWorld) inAim() map[string][3]int {
	out := map[string][3]int{}
	for _, id := range sorted(b.jobs) {
		j := b.jobs[id]
		if j.lasting() || j.cancelled {
			continue
		}
		row := out[j.queue.name]
		for k := range max(j.rounds, 1) {
			from, end := j.sentMs, j.endMs
			if j.rounds > 0 {
				from, end = j.dueMs(k), j.lastOKMs[k]
			}
			row[0]++
			if end > 0 && (j.state == "complete" || j.state == "failed" && j.hopeless()) {
				row[2]++
				if end-from <= b.aimMs(j, k) {
					row[1]++
				}
			}
		}
		out[j.queue.name] = row
	}
	return out
}

func (j *beatJob) hopeless() bool {
	sum := map[taskName]int{}
	for n, f := range j.fates {
		if j.steps[n.step].gang {
			n.index = 0
		}
		if sum[n] += len(f.fails); sum[n] >= j.queue.attempts && !j.lasting() {
			return true
		}
	}
	return false
}

// open gives the jobs that were accepted and have not ended as far as callers know.
func (b *beatWorld) open() []string {
	var out []string
	for _, id := range sorted(b.jobs) {
		if j := b.jobs[id]; j.acked && !j.final() {
			out = append(out, id+":"+j.state)
		}
	}
	return out
}

// troubles

func (b *beatWorld) isCore(host string) bool { return b.nodes[host].Disk }

func (b *beatWorld) trouble(text, host string) {
	b.see(beatEvent{kind: bTrouble, host: host, text: text})
	b.troubled[host]++
	b.coreMoved(host)
}

func (b *beatWorld) calm(text, host string) {
	b.see(beatEvent{kind: bCalm, host: host, text: text})
	b.troubled[host]--
	b.calmMs[host] = b.nowMs()
	b.coreMoved(host)
}

func (b *beatWorld) workerTrouble(text string, s *beatWorker) func() {
	id := s.id
	b.see(beatEvent{kind: bTrouble, worker: id, text: text})
	return func() { b.see(beatEvent{kind: bCalm, worker: id, text: text}) }
}

// coreMoved notes what a change at a machine means for the core.
func (b *beatWorld) coreMoved(host string) {
	if host == "" || !b.isCore(host) {
		return
	}
	b.see(beatEvent{kind: bCore, host: host})
	stands := 0
	for _, h := range b.disks() {
		if n := b.nodes[h]; n.up && b.nowUs >= n.frozenTo && !b.cutOff[h] {
			stands++
		}
	}
	if lost := 2*stands <= b.site.disks; lost != b.coreLost {
		b.coreLost = lost
		kind := bCalm
		if lost {
			kind = bTrouble
		}
		b.see(beatEvent{kind: kind, text: "core"})
	}
}

func (b *beatWorld) kill(host string, power bool) func() {
	n := b.nodes[host]
	if n.up {
		n.kill(power)
	}
	b.trouble("killed", host)
	return func() {
		n.start()
		b.calm("killed", host)
	}
}

func (b *beatWorld) freeze(host string, ms int64) {
	b.nodes[host].freeze(ms)
	b.trouble("frozen", host)
	b.after(ms*1000+10, func() { b.calm("frozen", host) })
}

// cut cuts machines off from all others, though not from workers beside them
// nor from callers.
func (b *beatWorld) cut(hosts ...string) func() {
	for _, h := range hosts {
		b.cutOff[h] = true
	}
	b.redraw()
	for _, h := range hosts {
		b.trouble("cut", h)
	}
	return func() {
		for _, h := range hosts {
			delete(b.cutOff, h)
			delete(b.cutOneWay, h)
		}
		b.redraw()
		for _, h := range hosts {
			b.calm("cut", h)
		}
	}
}

func (b *beatWorld) redraw() {
	b.cuts = map[[2]string]bool{}
	for x := range b.cutOff {
		for y := range b.nodes {
			if x != y && !(b.cutTogether && b.cutOff[y] && b.nodes[x].Zone == b.nodes[y].Zone) {
				b.cuts[[2]string{x, y}] = b.cuts[[2]string{x, y}] || b.cutOneWay[x] != cutInward
				b.cuts[[2]string{y, x}] = b.cuts[[2]string{y, x}] || b.cutOneWay[x] != cutOutward
			}
		}
	}
	b.release()
}

// stopNicely is what the platform does around planned work.
func (b *beatWorld) stopNicely(host string, downMs int64) {
	n := b.nodes[host]
	n.event(evStop{})
	b.trouble("stopped", host)
	b.after((6000+downMs)*1000, func() {
		if n.up && n.sh.node.leavingSince != 0 {
			n.kill(false)
		}
		n.start()
		b.calm("stopped", host)
	})
}

// wipe replaces a core machine by an empty one.
func (b *beatWorld) wipe(host string, newAddr bool, downMs int64) {
	n := b.nodes[host]
	n.kill(true)
	n.wipe()
	b.trouble("wiped", host)
	if newAddr {
		n.nodeConfig.Addr = "10.9.0." + fmt.Sprint(b.lives+b.textSeq%200) + ":7000"
		b.lives++
	}
	b.after(downMs*1000, func() {
		n.start()
		b.calm("wiped", host)
	})
}

func (b *beatWorld) worker(i int) *beatWorker { return b.byHost[b.spots[i%len(b.spots)]] }

func (b *beatWorld) someBeatWorker() *beatWorker { return b.worker(b.rng.IntN(len(b.spots))) }

// crashFor ends a worker and lets a new one stand there after a while; 0 for never.
func (b *beatWorld) crashFor(s *beatWorker, ms int64) {
	calm := b.workerTrouble("crash", s)
	s.crash()
	b.after(1000, calm)
	if ms > 0 {
		b.after(ms*1000, s.start)
	}
}

func (b *beatWorld) paceFor(s *beatWorker, text string, slow float64, hang bool, ms int64) {
	calm := b.workerTrouble(text, s)
	s.setPace(slow, hang)
	b.after(ms*1000, func() {
		s.setPace(1, false)
		calm()
	})
}

// leaves lets a worker go, in order or at short notice, and a new one come.
func (b *beatWorld) leaves(s *beatWorker, short bool) {
	if !s.up {
		return
	}
	text := "leaving"
	if short {
		text = "short notice"
	}
	calm := b.workerTrouble(text, s)
	s.leave(2000, short)
	b.after(11_000_000, func() {
		calm()
		s.start()
	})
}

// stuck tells of jobs that stand still though they could go on.
func (b *beatWorld) stuck() {
	var used, all amounts
	var free []*beatWorker
	for _, host := range b.spots {
		if s := b.byHost[host]; s.up && !s.leaving {
			used, all = used.plus(s.used, 1), all.plus(s.capacity, 1)
			free = append(free, s)
		}
	}
	busy := 2*used[0] >= all[0] || 2*used[1] >= all[1]
	running := map[string]bool{}
	for _, host := range b.spots {
		for k := range b.byHost[host].runs {
			running[k.job] = true
		}
	}
	for _, id := range sorted(b.jobs) {
		j := b.jobs[id]
		if !j.acked || j.final() || j.cancelled || running[id] || busy || !b.couldGoOn(j, free) {
			j.idleMs = 0
			continue
		}
		if j.idleMs == 0 {
			j.idleMs = b.nowMs()
		}
		if b.nowMs()-j.idleMs >= 3000 && !j.stuck {
			j.stuck = true
			b.tellCentral(id)
			b.see(beatEvent{kind: bStuck, job: id, text: fmt.Sprintf("nothing runs since %d ms, though it could", j.idleMs)})
		}
	}
}

// tellCentral logs what the central scheduler makes of a job and of all room.
func (b *beatWorld) tellCentral(id string) {
	n := b.holderOf("central")
	if n == nil || !b.keepLog {
		return
	}
	tell := func(format string, args ...any) {
		b.logs = append(b.logs, fmt.Sprintf("%d %s %s ", b.nowMs(), n.Name, id)+fmt.Sprintf(format, args...))
	}
	c, now := n.sh.node.central, n.sh.node.now
	for _, name := range sorted(c.workers) {
		w := c.workers[name]
		tell("sees %s heard %d ms ago, rebuilt %v fresh %v leaving %v suspect %v bad for %d, capacity %v firm %v busy %v promised %v held %d", name, now-w.heardMs, w.Rebuilt, w.Fresh, w.Leaving,
			w.Suspect, w.unhealthyUntilMs-now, w.Capacity, w.firm, w.busy, c.promised(name), len(w.Attempts))
	}
	for k, ws := range c.pending {
		tell("wants %s queue %s since %d ms, last %d ms ago, %d tasks of %v, open %d, gang %v needs %v", k.Job, ws.Queue, now-ws.firstMs, now-ws.lastMs, len(ws.Tasks), ws.Resources, len(ws.open()), ws.Gang, ws.Needs)
	}
	for _, name := range sorted(b.nodes) {
		if !b.nodes[name].up {
			continue
		}
		for _, sl := range b.nodes[name].sh.node.owned {
			if js := sl.jobs[id]; js != nil {
				o := b.nodes[name].sh.node
				for i := range js.Tasks {
					t, r := &js.Tasks[i], &js.runtime[i]
					tell("owner %s task %d.%d.%d state %s attempt %d class %s failures %d at %s, retry in %d, wanted %d ms ago, committed %v", name, t.Round, t.Step, t.InStep, t.State.String(), t.Attempt,
						t.Class.String(), t.Failures, t.Worker, r.retryMs-o.now, o.now-r.allocationMs, t.ChangedIn <= js.committed)
				}
			}
		}
	}
}

func (b *beatWorld) couldGoOn(j *beatJob, free []*beatWorker) bool {
	done := func(k, i int) bool {
		for t := range j.steps[i].count {
			n := taskName{k, i, t}
			if j.steps[i].gang {
				n.index = 0
			}
			if _, ok := j.okTasks[n]; !ok {
				return false
			}
		}
		return true
	}
	for k := range max(j.rounds, 1) {
		if b.nowMs() < j.dueMs(k) {
			continue
		}
		for i := range j.steps {
			s := &j.steps[i]
			if done(k, i) || slices.ContainsFunc(s.after, func(a int) bool { return !done(k, a) }) {
				continue
			}
			need, fits := int64(2), int64(0)
			if s.gang {
				need = int64(2 * s.count)
			}
			for _, w := range free {
				if b.emptied[w.node.Zone] || s.labels != nil && w.labels["kind"] != s.labels["kind"] {
					continue
				}
				left := w.capacity.plus(w.used, -1)
				fit := left[0] / max(s.room[0], 1)
				for d := 1; d < 3; d++ {
					if s.room[d] > 0 {
						fit = min(fit, left[d]/s.room[d])
					}
				}
				if s.perWorker > 0 {
					fit = min(fit, int64(s.perWorker))
				}
				fits += fit
			}
			if fits >= need {
				return true
			}
		}
	}
	return false
}

// finish ends traffic and lets everything come to its end.
func (b *beatWorld) finish(waitMs int64) {
	b.closed = true
	for _, id := range sorted(b.jobs) {
		if j := b.jobs[id]; j.acked && j.lasting() {
			b.cancel(j)
		}
	}
	b.run(14_000)
	for end := b.nowMs() + waitMs; b.nowMs() < end && len(b.open()) > 0; b.run(250) {
		b.stuck()
	}
	for _, o := range b.open() {
		j := b.jobs[o[:16]]
		b.see(beatEvent{kind: bFinished, job: j.id, text: j.state})
	}
	asked := b.nowMs()
	for range 3 {
		b.call("operator", b.edge(), beatCall{op: "setup.get"}, 1000, func(status int, _ int64, body []byte) {
			if status == 200 {
				b.see(beatEvent{kind: bSetupShown, n: gjson.GetBytes(body, "version").Int(), text: gjson.GetBytes(body, "setup.source.note").Str, askedMs: asked})
			}
		})
	}
	b.run(3000)
}

// beatSummary tells how well a run went, for the log.
func (b *beatWorld) beatSummary() string {
	aims := b.inAim()
	out := ""
	for _, q := range sorted(aims) {
		a := aims[q]
		out += fmt.Sprintf("%s %d of %d in aim (%.2f), %d done; ", q, a[1], a[0], float64(a[1])/float64(max(1, a[0])), a[2])
	}
	undone := 0
	for _, id := range sorted(b.jobs) {
		if j := b.jobs[id]; !j.lasting() && !j.cancelled && j.state != "complete" && !(j.state == "failed" && j.hopeless()) {
			if undone++; undone <= 5 {
				out += fmt.Sprintf("%s of %s: %s, accepted %v; ", id, j.queue.name, j.state, j.acked)
			}
		}
	}
	out += fmt.Sprintf("%d not done; ", undone)
	for _, how := range sorted(b.waste) {
		out += fmt.Sprintf("%s %.0f core-s; ", how, b.waste[how])
	}
	return out + fmt.Sprintf("turned away %d; answers %v", b.turned, b.answers)
}

// scripted gives a world without daemons in which each worker's beats are
// answered by a function.
func scripted(t *testing.T, answer func(s *beatWorker, beat gjson.Result) map[string]any) *beatWorld {
	b := newBeatWorld(5, "ikenna")
	b.queue = nil // no daemon starts
	for _, host := range b.spots {
		s := b.byHost[host]
		s.factor = 1
		s.deliver = func(body []byte, cb func(int, []byte)) {
			a := answer(s, gjson.ParseBytes(body))
			b.after(2000, func() {
				if a == nil {
					cb(0, nil)
				} else {
					cb(200, mustJSON(a))
				}
			})
		}
		s.start()
	}
	return b
}

// enter makes a job known without sending it.
func (b *beatWorld) enter(j *beatJob) *beatJob {
	b.jobSeq++
	j.id, j.payload = fmt.Sprintf("%016x", b.jobSeq), "spec"
	j.okTasks, j.lastOKMs, j.state = map[taskName]int64{}, map[int]int64{}, "complete"
	b.jobs[j.id] = j
	return j
}

func (b *beatWorld) howEnded(j *beatJob) (out []string) {
	for _, e := range b.events {
		if e.kind == bEnded && e.job == j.id {
			out = append(out, fmt.Sprintf("%d.%d %s@%d", e.task.index, e.run, e.text, e.atMs/100*100))
		}
	}
	return
}

// scriptLine is an answer given at the first beat of a worker from a time on;
// nil is silence.
type scriptLine struct {
	worker int
	atMs   int64
	answer map[string]any
}

func scriptOf(b **beatWorld, lines []scriptLine, holdMs int64) func(*beatWorker, gjson.Result) map[string]any {
	given := map[int]bool{}
	return func(s *beatWorker, beat gjson.Result) map[string]any {
		out := map[string]any{"hold_ms": holdMs, "again_ms": 100}
		for i, l := range lines {
			if !given[i] && (*b).worker(l.worker) == s && (*b).nowMs() >= l.atMs {
				given[i] = true
				for k, v := range l.answer {
					out[k] = v
				}
				if l.answer == nil {
					return nil
				}
				return out
			}
		}
		return out
	}
}

func TestBeatWorker(t *testing.T) {
	var b *beatWorld
	play := func(holdMs int64, lines []scriptLine, ms int64, jobs func() []*beatJob) *beatWorld {
		b = scripted(t, func(*beatWorker, gjson.Result) map[string]any {
			return map[string]any{"hold_ms": holdMs, "again_ms": 100}
		})
		for _, j := range jobs() {
			b.enter(j)
		}
		answer := scriptOf(&b, lines, holdMs)
		for _, host := range b.spots {
			s := b.byHost[host]
			s.deliver = func(body []byte, cb func(int, []byte)) {
				a := answer(s, gjson.ParseBytes(body))
				b.after(2000, func() {
					if a == nil {
						b.after(1_000_000, func() { cb(0, nil) })
					} else {
						cb(200, mustJSON(a))
					}
				})
			}
		}
		b.run(ms)
		return b
	}
	alone := func(ms float64, edit func(*beatJob)) (*beatJob, func() []*beatJob) {
		j := &beatJob{queue: &beatSites["ikenna"].kinds[0].queue, fates: map[taskName]*beatFate{}, steps: []beatStep{{count: 3, room: amounts{1000, 100}}}}
		for i := range 3 {
			j.fates[taskName{0, 0, i}] = &beatFate{workMs: ms}
		}
		if edit != nil {
			edit(j)
		}
		return j, func() []*beatJob { return []*beatJob{j} }
	}
	id := fmt.Sprintf("%016x", 1)
	order := func(index int, run int64, saved string) map[string]any {
		return map[string]any{"job": id, "round": 0, "step": 0, "index": index, "run": run, "payload": "spec", "saved": saved}
	}
	start := func(orders ...map[string]any) map[string]any { return map[string]any{"start": orders} }

	t.Run("runs and is told of until seen", func(t *testing.T) {
		j, jobs := alone(1000, nil)
		w := play(2000, []scriptLine{{0, 500, start(order(0, 1, ""))}, {0, 2000, map[string]any{"seen": 1}}}, 1900, jobs)
		must.Eq(t, []string{"0.1 ok@1500"}, w.howEnded(j))
		must.Len(t, 1, w.worker(0).ends)
		w.run(1000)
		must.SliceEmpty(t, w.worker(0).ends)
	})
	t.Run("lapses without answers", func(t *testing.T) {
		j, jobs := alone(10_000, nil)
		w := play(1500, []scriptLine{{0, 500, start(order(0, 1, ""))}, {0, 700, nil}, {0, 800, nil}, {0, 900, nil}}, 6000, jobs)
		must.Eq(t, []string{"0.1 lapsed@2100"}, w.howEnded(j))
	})
	t.Run("a stop, and what may not come after it", func(t *testing.T) {
		j, jobs := alone(10_000, nil)
		w := play(3000, []scriptLine{{0, 500, start(order(0, 2, ""))}, {0, 1000, map[string]any{"stop": []map[string]any{order(0, 2, "")}}}, {0, 1500, start(order(0, 2, ""), order(0, 3, ""))},
			{0, 2000, map[string]any{"stop": []map[string]any{order(1, 4, "")}}}, {0, 2500, start(order(1, 4, ""))}}, 5000, jobs)
		must.Eq(t, 2, w.turned)
		must.Len(t, 1, w.howEnded(j))
		must.MapContainsKey(t, w.worker(0).runs, runName{id, taskName{}, 3})
	})
	t.Run("saves and goes on", func(t *testing.T) {
		j, jobs := alone(5000, func(j *beatJob) { j.steps[0].saves = true })
		w := play(3000, []scriptLine{{0, 500, start(order(0, 1, ""))}, {0, 3000, map[string]any{"stop": []map[string]any{order(0, 1, "")}}}}, 4000, jobs)
		saved := w.worker(0).ends[0].saved
		must.NotEq(t, "", saved)
		w.worker(1).deliver = func(_ []byte, cb func(int, []byte)) {
			w.after(2000, func() {
				cb(200, mustJSON(map[string]any{"hold_ms": 3000, "again_ms": 100, "start": []map[string]any{order(0, 2, saved)}}))
			})
		}
		w.run(4000)
		ended := w.howEnded(j)
		must.Len(t, 2, ended)
		must.StrContains(t, ended[1], "ok@7") // 2.5 s done before, 0.6 s of restoring, 2.5 s more
	})
	t.Run("a gang ends together", func(t *testing.T) {
		j, jobs := alone(2000, func(j *beatJob) { j.steps[0].gang, j.steps[0].sameRack = true, true })
		w := play(3000, []scriptLine{{0, 500, start(order(0, 1, ""), order(1, 1, ""))}, {3, 2000, start(order(2, 1, ""))}}, 6500, jobs)
		must.Eq(t, []string{"0.1 ok@5000", "1.1 ok@5000", "2.1 ok@5000"}, w.howEnded(j)) // half as long again over two racks
	})
	t.Run("a gang dies together", func(t *testing.T) {
		j, jobs := alone(9000, func(j *beatJob) { j.steps[0].gang = true })
		w := play(3000, []scriptLine{{0, 500, start(order(0, 1, ""), order(1, 1, ""))}, {3, 500, start(order(2, 1, ""))}}, 2000, jobs)
		w.worker(3).crash()
		w.run(1000)
		must.Eq(t, []string{"0.1 broken@2000", "1.1 broken@2000"}, w.howEnded(j))
	})
	t.Run("a gang waits no longer than it may", func(t *testing.T) {
		j, jobs := alone(1000, func(j *beatJob) { j.steps[0].gang = true })
		w := play(3000, []scriptLine{{0, 500, start(order(0, 1, ""), order(1, 1, ""))}, {1, 500, start(order(2, 2, ""))}}, 6000, jobs)
		must.Len(t, 3, w.howEnded(j))
		for _, how := range w.howEnded(j) {
			must.StrContains(t, how, "alone@35")
		}
	})
	t.Run("fails by its own share", func(t *testing.T) {
		j, jobs := alone(1000, func(j *beatJob) { j.fates[taskName{0, 0, 0}].fails = []float64{0.5} })
		w := play(3000, []scriptLine{{0, 500, start(order(0, 1, ""))}, {0, 2000, start(order(0, 2, ""))}}, 5000, jobs)
		must.Eq(t, []string{"0.1 failed@1000", "0.2 ok@3000"}, w.howEnded(j))
	})
	t.Run("slow, then standing still, then sound", func(t *testing.T) {
		j, jobs := alone(2000, nil)
		w := play(3000, []scriptLine{{0, 500, start(order(0, 1, ""))}}, 600, jobs)
		w.worker(0).setPace(5, false)
		w.run(2500) // half a second of work
		w.worker(0).setPace(1, true)
		w.run(1000)
		must.SliceEmpty(t, w.howEnded(j))
		w.worker(0).setPace(1, false)
		w.run(2000)
		must.Eq(t, []string{"0.1 ok@5500"}, w.howEnded(j))
	})
	t.Run("a worker without guards takes all, one with them turns away", func(t *testing.T) {
		_, jobs := alone(1000, func(j *beatJob) { j.steps[0].room = amounts{9000, 100} })
		w := play(3000, []scriptLine{{0, 500, start(order(0, 1, ""), order(1, 1, ""))}}, 700, jobs)
		must.MapLen(t, 2, w.worker(0).runs)
		w.worker(1).guards = true
		w.worker(1).take(mustJSON(map[string]any{"hold_ms": 1000, "start": []map[string]any{order(0, 2, ""), order(1, 2, "")}}), w.worker(1).clockUs(), false)
		must.MapLen(t, 1, w.worker(1).runs)
		must.Eq(t, 1, w.turned)
	})
	t.Run("leaves in order, or at short notice", func(t *testing.T) {
		_, jobs := alone(9000, nil)
		w := play(3000, []scriptLine{{0, 500, start(order(0, 1, ""))}}, 700, jobs)
		w.leaves(w.worker(0), false)
		w.run(2200)
		must.True(t, w.worker(0).up)
		w.run(2200)
		must.False(t, w.worker(0).up)
		w.leaves(w.worker(1), true)
		w.run(2100)
		must.False(t, w.worker(1).up)
		id := w.worker(1).id
		w.run(11_000)
		must.True(t, w.worker(1).up)
		must.NotEq(t, id, w.worker(1).id)
	})
}
