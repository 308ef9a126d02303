package daemon

import (
	"fmt"
	"strings"
	"testing"

	"otterchute/internal/configuration"
	"otterchute/internal/quorum"
	"otterchute/internal/resource"
	"otterchute/internal/schema"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// nightContract is cheapest from 22:00 to 06:00, and cheap on work days until 08:00.
const nightContract = `{"name":"night","utc_offset_minutes":120,"price":0.12,"hours":[
	{"from":"22:00","to":"06:00","price":0.04},{"from":"06:00","to":"08:00","days":["mon","tue","wed","thu","fri"],"price":0.08}]}`

func mustContract(t *testing.T, doc string) *configuration.Contract {
	t.Helper()
	c, faults := configuration.Compile(1, []byte(`{"contracts":[`+doc+`],"queues":[]}`))
	must.SliceEmpty(t, faults)
	for _, k := range c.Contracts {
		return k
	}
	return nil
}

// Monday 4 January 2027, 00:00 UTC.
const mondayMs = int64(1_799_020_800_000)

func TestBatchClockText(t *testing.T) {
	must.StrContains(t, clockText(mustContract(t, nightContract), mondayMs+20*msPerHour), "Mon 2027-01-04 22:00 +02:00")
}

func TestBatchPlan(t *testing.T) {
	at := func(day, hour int64) int64 { return mondayMs + (day*24+hour-2)*msPerHour }
	night := &configuration.BatchRules{Contract: mustContract(t, nightContract), FinishByMs: 20 * msPerHour, SharePercent: 30}
	submittedMs := at(0, 14)
	p := planBatch(night, "j1", submittedMs, submittedMs, msPerHour)
	must.False(t, p.AtAnyPrice)
	must.Eq(t, 0.04, p.Price)
	must.Eq(t, at(0, 22), p.OpenMs)
	must.Eq(t, at(1, 6), p.CloseMs)
	must.Eq(t, at(1, 10), p.DeadlineMs)
	must.False(t, p.mayStart(at(0, 21), 1000))
	must.True(t, p.mayStart(at(1, 3), 1000))
	must.False(t, p.mayStart(at(1, 6)-500, 1000))                            // it would end in expensive hours
	must.True(t, p.mayStart(at(1, 3), 10*msPerHour))                         // longer than any window
	must.False(t, p.mayStart(at(1, 6), 10*msPerHour))                        // but it must start in one
	must.Eq(t, p, planBatch(night, "j1", submittedMs, at(0, 20), msPerHour)) // the same at any later time
	must.Eq(t, p.StartMs, planBatch(night, "j1", submittedMs, at(0, 23), msPerHour).StartMs)

	// starts are spread over the first half of the window
	var per [4]int
	for i := range 4000 {
		s := planBatch(night, fmt.Sprint("job-", i), submittedMs, submittedMs, msPerHour).StartMs - at(0, 22)
		must.Between(t, 0, s, 4*msPerHour-1)
		per[s/msPerHour]++
	}
	for _, count := range per {
		must.Between(t, 900, count, 1100)
	}

	// submitted while the window is open: it starts at once
	must.Eq(t, at(0, 23), planBatch(night, "j1", at(0, 23), at(0, 23), msPerHour).StartMs)

	// the cheapest hours come after the deadline: the cheapest before it are taken
	morning := &configuration.BatchRules{Contract: night.Contract, FinishByMs: 4 * msPerHour, SharePercent: 30}
	p = planBatch(morning, "j2", at(1, 5), at(1, 7), msPerHour)
	must.Eq(t, 0.08, p.Price)
	must.False(t, p.AtAnyPrice)
	p = planBatch(morning, "j2", at(1, 9), at(1, 9), msPerHour)
	must.Eq(t, 0.12, p.Price)
	must.Eq(t, at(1, 9), p.StartMs)

	// the window is too late or too short: the job starts early enough to meet its deadline
	p = planBatch(night, "j3", at(0, 1), at(0, 1), 3*msPerHour)
	must.Eq(t, at(0, 1), p.StartMs) // submitted during the window
	p = planBatch(night, "j3", at(0, 7), at(0, 7), 6*msPerHour)
	must.Eq(t, at(0, 7), p.StartMs) // 0.08 is the least before 21:00
	p = planBatch(night, "j3", at(0, 7), at(0, 21), 6*msPerHour)
	must.True(t, p.AtAnyPrice)
	must.True(t, p.mayStart(at(0, 21), 1000))
	must.Eq(t, 0.12, p.Price)

	// due later: its deadline is counted from the due time
	p = planBatch(night, "j4", at(1, 12), at(0, 12), msPerHour)
	must.Eq(t, at(1, 22), p.OpenMs)
	must.Eq(t, at(2, 8), p.DeadlineMs)

	// a clock that goes back holds the job again, one that jumps ahead starts it
	p = planBatch(night, "j1", submittedMs, at(0, 21), msPerHour)
	must.False(t, p.mayStart(at(0, 21), 1000))
	must.True(t, planBatch(night, "j1", submittedMs, at(2, 0), msPerHour).AtAnyPrice)

	// a contract with another UTC offset
	west := mustContract(t, strings.Replace(nightContract, "120", "-480", 1))
	westRules := &configuration.BatchRules{Contract: west, FinishByMs: 20 * msPerHour}
	must.Eq(t, submittedMs, planBatch(westRules, "j1", submittedMs, submittedMs, msPerHour).StartMs) // 04:00 there
	must.Eq(t, at(1, 8), planBatch(westRules, "j1", at(0, 17), at(0, 17), msPerHour).OpenMs)
}

// batchNode returns a single daemon at the given cluster time.
func batchNode(t *testing.T, wallMs int64) *node {
	t.Helper()
	c, faults := configuration.Compile(1, []byte(`{"contracts":[`+nightContract+`],"queues":[{"name":"confirm","urgency":90},{"name":"import","urgency":0},
		{"name":"refresh","urgency":95,"batch":{"contract":"night","finish_by_hours":20,"share_percent":30}}]}`))
	must.SliceEmpty(t, faults)
	n := newNode(nodeConfig{Name: "d0"}, nil)
	n.now = 1_000_000
	n.config.current, n.config.confirmedMs = c, n.now
	n.core = quorum.Set{Members: []quorum.Member{{Name: "d0"}}, Shards: []string{"east"}}
	n.leases.Clock().Observe("d0", wallMs, n.now, n.now)
	return n
}

func (n *node) addBatchShard() *ownedShard {
	shard := &ownedShard{name: "east", serving: true, jobs: map[string]*liveJob{}, placedByWorker: map[string]map[taskRef]resource.Amount{}, loadByWorker: map[string]resource.Amount{}, batchUseByWorker: map[queueOnWorker]resource.Amount{}}
	n.shards["east"] = shard
	return shard
}

// batchJob adds a job to a shard that was submitted agoMs before now.
func (n *node) batchJob(t *testing.T, shard *ownedShard, id, steps string, agoMs int64) *liveJob {
	t.Helper()
	j, faults := parseJob(id, "", []byte(`{"queue":"refresh","steps":`+steps+`}`))
	must.SliceEmpty(t, faults)
	for i := range j.Tasks {
		j.Tasks[i].LimitMs = 600_000
	}
	j.SubmitMs = n.clusterTime() - agoMs
	job := &liveJob{jobRecord: *j, runtime: make([]taskRuntime, len(j.Tasks)), committed: 1}
	shard.jobs[id] = job
	return job
}

func oneTaskSteps(cpu, estimateMs int64) string {
	return fmt.Sprintf(`[{"name":"a","tasks":[{"name":"t","room":%d,"estimate_ms":%d}]}]`, cpu, estimateMs)
}

// The agent enforces the batch share of its worker, lets batch work wait behind more urgent work, and
// preempts it at once for urgent work, other work only after urgentWaitMs.
func TestBatchAtTheAgent(t *testing.T) {
	n := batchNode(t, mondayMs)
	agent := &workerAgent{worker: "w", colocated: true, rebuilt: true, tokenMs: n.now, lastContactMs: n.now, lastSuccessMs: n.now, capacity: resource.Amount{CPU: 100}, free: resource.Amount{CPU: 100}, attempts: map[wire.AttemptKey]*agentAttempt{},
		tombstones: map[wire.AttemptKey]int64{}, ownerEpochs: map[string]uint64{}, ownerReplyMs: map[string]int64{}, endsByNumber: map[int64]wire.AttemptKey{}}
	n.agents["w"] = agent
	queued := func(id, queue string, class wire.TaskClass, room int64) *agentAttempt {
		attempt := &agentAttempt{spec: wire.TaskSpec{Key: wire.AttemptKey{Job: id, Attempt: 1}, Shard: "east", Queue: queue, Class: class, Resources: resource.Amount{CPU: room}}, confirmedMs: n.now, queuedMs: n.now}
		agent.attempts[attempt.spec.Key] = attempt
		return attempt
	}
	pump := func() {
		agent.replying = true
		n.startPending(agent)
		agent.replying = false
	}
	markRunning := func(attempt *agentAttempt) { attempt.state, attempt.startedMs = wire.AttemptRunning, n.now }

	one, two := queued("b1", "refresh", wire.ClassQueueable, 20), queued("b2", "refresh", wire.ClassQueueable, 20)
	pump()
	must.Eq(t, []wire.AttemptState{wire.AttemptOrdered, wire.AttemptQueued}, []wire.AttemptState{one.state, two.state}) // the second would exceed 30 percent
	must.Eq(t, []wire.QueueUsage{{Queue: "refresh", Resources: resource.Amount{CPU: 40}}}, agent.batchUse(n, ""))
	must.SliceEmpty(t, agent.batchUse(n, "east"))
	n.now += batchReturnMs + 1
	agent.tokenMs, n.config.confirmedMs = n.now, n.now
	pump()
	must.Eq(t, wire.ResultShed, two.result) // returned to its owner instead of waiting here

	markRunning(one)
	other := queued("i1", "import", wire.ClassQueueable, 60)
	pump()
	must.Eq(t, wire.AttemptOrdered, other.state)
	markRunning(other)
	urgent := queued("c1", "confirm", wire.ClassQueueable, 40) // 20 free
	pump()
	must.Eq(t, wire.AttemptQueued, urgent.state)
	must.Eq(t, wire.ResultPreempted, one.stopReason) // the batch task is preempted at once
	must.Zero(t, other.stopMs)
	three := queued("b3", "refresh", wire.ClassQueueable, 1)
	pump()
	must.Eq(t, wire.AttemptQueued, three.state) // more urgent work waits
	one.state = wire.AttemptEnded
	pump()
	must.Eq(t, wire.AttemptOrdered, urgent.state)
	markRunning(urgent)

	// other work is preempted only after urgentWaitMs
	agent.attempts = map[wire.AttemptKey]*agentAttempt{}
	low := queued("i2", "import", wire.ClassQueueable, 90)
	pump()
	markRunning(low)
	urgent = queued("c2", "confirm", wire.ClassQueueable, 40)
	pump()
	must.Zero(t, low.stopMs)
	n.now += urgentWaitMs + 1
	urgent.confirmedMs, agent.tokenMs, n.config.confirmedMs = n.now, n.now, n.now
	pump()
	must.Positive(t, low.stopMs)

	// a batch attempt is never promoted, and doesn't count in the worker's rank
	agent.attempts = map[wire.AttemptKey]*agentAttempt{}
	batch := queued("b4", "refresh", wire.ClassQueueable, 10)
	batch.spec.EstimateMs = 50_000
	markRunning(batch)
	n.onPromotion("", &wire.Promotion{Worker: "w", Key: batch.spec.Key})
	must.Eq(t, wire.ClassQueueable, batch.spec.Class)
	rank, _, _ := agent.workerRank(n)
	must.Less(t, 50_000, rank)
}

// The owner chooses the worker with the least batch work that had spare resources recently.
func TestBatchChoosesAWorker(t *testing.T) {
	n := batchNode(t, mondayMs)
	shard := n.addBatchShard()
	spareHistory := spareWindow{}.observe(0, resource.Amount{CPU: 100}).observe(spareWindowMs, resource.Amount{CPU: 100})
	for _, name := range []string{"w1", "w2", "w3"} {
		n.workers[name] = &workerView{receivedMs: n.now, rebuilt: true, reportFresh: true, capacity: resource.Amount{CPU: 100}, spare: spareHistory, usedByOthers: map[string]resource.Amount{}, batchUse: map[string][]wire.QueueUsage{}}
	}
	job := n.batchJob(t, shard, "b1", oneTaskSteps(10, 1000), 0)
	job.plan = &batchPlan{}
	choose := func() string {
		shard.batchStartsInTick, shard.batchTriesInTick, shard.batchUseByWorker = 0, 0, map[queueOnWorker]resource.Amount{}
		return n.selectBatchWorker(shard, job, 0)
	}
	n.workers["w1"].batchUse["east"] = []wire.QueueUsage{{Queue: "refresh", Resources: resource.Amount{CPU: 10}}}
	n.workers["w2"].batchUse["east"] = []wire.QueueUsage{{Queue: "refresh", Resources: resource.Amount{CPU: 5}}}
	must.Eq(t, "w3", choose())
	must.Greater(t, n.now, job.runtime[0].retryAtMs)
	n.workers["w3"].unstarted = 1 // more urgent work waits there
	must.Eq(t, "", choose())      // one of three workers with waiting work stops all batches
	job.plan.AtAnyPrice = true    // a job that must start takes the least loaded other worker
	n.workers["w2"].usedByOthers["east"] = resource.Amount{CPU: 90}
	must.Eq(t, "w1", choose())
	n.workers["w1"].usedByOthers["east"] = resource.Amount{CPU: 91}
	must.Eq(t, "w2", choose())
	job.plan.AtAnyPrice, n.workers["w1"].usedByOthers, n.workers["w2"].usedByOthers = false, map[string]resource.Amount{}, map[string]resource.Amount{}
	n.workers["w3"].unstarted = 0
	n.workers["w3"].spare = spareWindow{}.observe(0, resource.Amount{CPU: 100}) // not seen long enough
	must.Eq(t, "w2", choose())
	n.workers["w2"].usedByOthers["east"] = resource.Amount{CPU: 70} // too little would be left free
	must.Eq(t, "w1", choose())
	n.workers["w1"].batchUse["east"] = []wire.QueueUsage{{Queue: "refresh", Resources: resource.Amount{CPU: 21}}} // above its share
	must.Eq(t, "", choose())
	n.workers["w2"].usedByOthers["east"] = resource.Amount{}
	shard.starvedMs = n.now - batchPauseMs + 1
	must.Eq(t, "", choose())
	shard.starvedMs = 0
	must.Eq(t, "w2", choose())
	n.ranks.guaranteedWaiting, n.ranks.receivedMs = true, n.now
	must.Eq(t, "", choose())
	n.ranks.receivedMs = n.now - rankStaleMs
	must.Eq(t, "w2", choose())
	shard.batchStartsInTick = batchStartsPerTick
	must.Eq(t, "", n.selectBatchWorker(shard, job, 0))

	low := spareWindow{}.observe(0, resource.Amount{CPU: 9}).observe(100, resource.Amount{CPU: 4}).observe(spareWindowMs, resource.Amount{CPU: 7})
	must.Eq(t, int64(4), low.minimum().CPU)
	must.Eq(t, int64(7), low.observe(2*spareWindowMs, resource.Amount{CPU: 8}).minimum().CPU)
}

// The total work of all jobs before a deadline makes each start earlier than it would have to alone.
func TestBatchDemand(t *testing.T) {
	at := func(day, hour int64) int64 { return mondayMs + (day*24+hour-2)*msPerHour }
	n := batchNode(t, at(0, 14))
	shard := n.addBatchShard()
	for i := range 4 {
		n.workers[fmt.Sprint("w", i)] = &workerView{receivedMs: n.now, rebuilt: true, reportFresh: true, capacity: resource.Amount{CPU: 100}}
	}
	// batches may use 120 units at once; 60 jobs of 30 units and an hour need that for 15 hours
	var all []*liveJob
	for i := range 60 {
		all = append(all, n.batchJob(t, shard, fmt.Sprintf("b%02d", i), oneTaskSteps(30, msPerHour), int64(60-i)*1000))
	}
	n.planBatches(shard)
	held, now := 0, 0
	for _, job := range all {
		if job.plan.Price == 0.04 {
			held++
			must.GreaterEq(t, at(0, 22), job.plan.StartMs)
		} else {
			now++
			must.True(t, job.plan.mayStart(at(0, 14), msPerHour))
		}
	}
	must.Positive(t, held)
	must.Positive(t, now) // twice 15 hours don't fit between 22:00 and 10:00
	must.Eq(t, 0.04, all[0].plan.Price)
	must.Eq(t, 0.12, all[59].plan.Price)
	late := n.batchJob(t, shard, "late", oneTaskSteps(1, 4000), 20*msPerHour-30_000)
	n.now += batchPlanIntervalMs
	n.config.confirmedMs = n.now
	for _, w := range n.workers {
		w.receivedMs = n.now
	}
	n.planBatches(shard)
	must.True(t, late.plan.AtAnyPrice)
	delete(shard.jobs, "late")
	shard.nextBatchPlanMs = 0
	n.planBatches(shard)
	must.StrContains(t, n.explainHeld(all[0], &all[0].Tasks[0]), "held until Mon 2027-01-04 2")
	must.StrContains(t, n.explainHeld(all[0], &all[0].Tasks[0]), "the cheapest contracted hours: night, 0.04 a core hour; it is to be complete by Tue 2027-01-05 09:59 +02:00")
	gauges := map[string]float64{}
	n.batchGauges(gauges)
	must.Eq(t, 60.0, gauges["batches_held"])
	must.Between(t, 1, gauges["batches_at_risk"], float64(now))

	// a new owner, which has only the records, makes the same plan once the agents have reported
	other := batchNode(t, at(0, 14))
	other.now, other.config.confirmedMs = n.now, n.now
	other.workers = n.workers
	otherShard := other.addBatchShard()
	for _, job := range all {
		otherShard.jobs[job.ID] = &liveJob{jobRecord: job.jobRecord, runtime: make([]taskRuntime, 1), committed: 1}
	}
	otherShard.startMs = other.now
	other.planBatches(otherShard)
	must.Nil(t, otherShard.jobs["b00"].plan)
	must.Eq(t, "held: its hours are being planned", other.explainHeld(otherShard.jobs["b00"], &otherShard.jobs["b00"].Tasks[0]))
	otherShard.startMs -= batchWarmupMs
	other.planBatches(otherShard)
	for _, job := range all {
		must.Eq(t, job.plan, otherShard.jobs[job.ID].plan)
	}

	// a queue that is no batch queue any more releases its jobs at once
	c, _ := configuration.Compile(2, []byte(`{"queues":[{"name":"refresh"}]}`))
	n.config.current = c
	n.planBatches(shard)
	must.Nil(t, all[0].plan)
	must.Eq(t, "", n.explainHeld(all[0], &all[0].Tasks[0]))
}

// Core seconds are counted at the price of the hours in which they ran, and late jobs are counted.
func TestBatchMeter(t *testing.T) {
	at := func(day, hour int64) int64 { return mondayMs + (day*24+hour-2)*msPerHour }
	n := batchNode(t, at(1, 7))
	shard := n.addBatchShard()
	job := n.batchJob(t, shard, "b1", oneTaskSteps(2, 1000), 0)
	n.meterBatch(job, &job.Tasks[0], 3*msPerHour) // from 04:00 to 07:00
	must.Eq(t, map[meterKey]float64{{"night", 0.04}: 2 * 2 * 3600, {"night", 0.08}: 2 * 3600}, n.batchMeter)
	job.plan, job.State = &batchPlan{DeadlineMs: 10}, jobComplete
	job.DoneMs = 10
	n.recordBatchEnd(job)
	must.Zero(t, n.counts["batches_late"])
	job.DoneMs = 11
	n.recordBatchEnd(job)
	must.Eq(t, int64(1), n.counts["batches_late"])
	must.Eq(t, int64(2), n.counts["batches_complete"])
}

// Steps that can't wait or be preempted are rejected with their path, and batch jobs may fill only a part
// of the shard's records.
func TestBatchEntry(t *testing.T) {
	n := batchNode(t, mondayMs)
	q := n.config.current.Queues["refresh"]
	j, faults := parseJob("j", "refresh", []byte(`{"steps":[{"name":"a","count":2,"room":1,"gang":true},{"name":"b","count":1,"room":1,"lasting":true}]}`))
	must.SliceEmpty(t, faults)
	b := admit(&admission{job: j, queue: q})
	must.Eq(t, []schema.Fault{{Path: "steps.0.gang", Reason: "can't be in a batch queue: it needs a firm place"}, {Path: "steps.1.lasting", Reason: "can't be in a batch queue: it never finishes"}}, b.faults)
	must.Eq(t, 400, b.status)
	j, _ = parseJob("j", "refresh", []byte(`{"steps":[{"name":"a","count":2,"room":1}]}`))
	must.Nil(t, admit(&admission{job: j, queue: q, lowestUrgency: true, batch: true, shardLive: shardJobsMax*batchRecordsPercent/100 - 1}))
	must.Eq(t, 429, admit(&admission{job: j, queue: q, lowestUrgency: true, batch: true, shardLive: shardJobsMax * batchRecordsPercent / 100}).status)
	must.Eq(t, 429, admit(&admission{job: j, queue: q, lowestUrgency: true, batch: true, bytes: shardBytesMax*batchRecordsPercent/100 + 1}).status)
}
