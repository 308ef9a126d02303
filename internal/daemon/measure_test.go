package daemon

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"otterchute/internal/historycheck"
)

var measureFlag = flag.Bool("measure", false, "print measurements of both deployments in simulated time")

// measured is the result of a run of usual traffic, in simulated ms.
type measured struct {
	jobs, ended                         int
	p50, p99                            int64
	urgent50, urgent99                  int64
	firstGuaranteed50, firstQueueable50 int64
	firstGuaranteed99, firstQueueable99 int64
	counts                              string
}

func percentile(v []int64, q float64) int64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

// measure runs the same jobs at the same times whatever the settings, so that runs of one seed
// can be compared in pairs.
func measure(seed uint64, deployment string, rate float64, change func(*nodeConfig), during func(*world)) measured {
	d := historycheck.Deployments[deployment]
	w := newWorld(seed, d)
	for _, name := range sortedKeys(w.nodes) {
		change(&w.nodes[name].nodeConfig)
	}
	w.until(20_000, func() bool { return w.holderOf("central") != nil })
	w.putSetup(1, d.InitialConfiguration(), nil)
	w.run(5000)
	jobs := rand.New(rand.NewPCG(seed, 99))
	end := w.nowMs() + 60_000
	var next func()
	next = func() {
		if w.nowMs() < end {
			w.submit(d.RandomJob(jobs))
			w.after(int64(jobs.ExpFloat64()*1e6/(d.JobsPerSec*rate)), next)
		}
	}
	next()
	w.run(20_000)
	during(w)
	w.run(40_000)
	w.until(120_000, func() bool { return len(w.openJobs()) == 0 })
	sent, first, last := map[string]int64{}, map[string]bool{}, map[string]int64{}
	queue := map[string]string{}
	var guaranteed, queueable, all, urgent []int64
	for _, e := range w.history {
		switch e.Kind {
		case historycheck.JobSent:
			sent[e.Job], queue[e.Job] = e.AtMs, e.Spec.Queue
		case historycheck.Start:
			if !first[e.Job] {
				first[e.Job] = true
				if e.Text == "guaranteed" {
					guaranteed = append(guaranteed, e.AtMs-sent[e.Job])
				} else {
					queueable = append(queueable, e.AtMs-sent[e.Job])
				}
			}
		case historycheck.End:
			last[e.Job] = e.AtMs
		}
	}
	m := measured{jobs: len(w.jobs)}
	for id, at := range last {
		if w.jobs[id].state == "complete" {
			m.ended++
			all = append(all, at-sent[id])
			if queue[id] == d.Queues[0].Name {
				urgent = append(urgent, at-sent[id])
			}
		}
	}
	m.p50, m.p99, m.urgent50, m.urgent99 = percentile(all, .5), percentile(all, .99), percentile(urgent, .5), percentile(urgent, .99)
	m.firstGuaranteed50, m.firstGuaranteed99, m.firstQueueable50, m.firstQueueable99 = percentile(guaranteed, .5), percentile(guaranteed, .99), percentile(queueable, .5), percentile(queueable, .99)
	n := float64(max(1, m.ended))
	messages := 0
	for _, c := range w.messages {
		messages += c
	}
	m.counts = fmt.Sprintf("per job: records %.1f, messages %.0f; preemptions %d, sheds %d, promotions %d, bounces %d", float64(w.total("record_writes"))/n,
		float64(messages)/n, w.total("preemptions"), w.total("sheds"), w.total("promotions"), w.total("requests_rejected"))
	return m
}

func TestMeasure(t *testing.T) {
	if !*measureFlag {
		t.Skip("only with -measure")
	}
	defaults, noFault := func(*nodeConfig) {}, func(*world) {}
	wave := func(w *world) {
		for range 300 {
			w.submit(w.deployment.RandomJob(w.rng))
		}
	}
	type row struct {
		name   string
		rate   float64
		change func(*nodeConfig)
		during func(*world)
	}
	rows := []row{
		{"quiet", 1, defaults, noFault},
		{"only guaranteed", 1, func(p *nodeConfig) { p.ThresholdMs = 0 }, noFault},
		{"only queueable", 1, func(p *nodeConfig) { p.ThresholdMs = -1 }, noFault},
		{"threshold 500", 1, func(p *nodeConfig) { p.ThresholdMs = 500 }, noFault},
		{"threshold 5000", 1, func(p *nodeConfig) { p.ThresholdMs = 5000 }, noFault},
		{"k 50", 1, func(p *nodeConfig) { p.KLowest = 50 }, noFault},
		{"double rate", 2, defaults, noFault},
		{"double, only guaranteed", 2, func(p *nodeConfig) { p.ThresholdMs = 0 }, noFault},
		{"double, only queueable", 2, func(p *nodeConfig) { p.ThresholdMs = -1 }, noFault},
		{"double, k 50", 2, func(p *nodeConfig) { p.KLowest = 50 }, noFault},
		{"double, sigma 1", 2, func(p *nodeConfig) { p.TargetSigma = 1 }, noFault},
		{"wave", 1, defaults, wave},
		{"double, k 5", 2, func(p *nodeConfig) { p.KLowest = 5 }, noFault},
		{"wave, k 5", 1, func(p *nodeConfig) { p.KLowest = 5 }, wave},
		{"wave, only guaranteed", 1, func(p *nodeConfig) { p.ThresholdMs = 0 }, wave},
		{"wave, k 50", 1, func(p *nodeConfig) { p.KLowest = 50 }, wave},
		{"owner killed", 1, defaults, func(w *world) { w.killHolder("slice/east") }},
		{"agent killed", 1, defaults, func(w *world) { w.killHolder("agent/w04") }},
		{"central killed", 1, defaults, func(w *world) { w.killHolder("central") }},
	}
	for _, dep := range []string{"hakata", "ikenna"} {
		for _, r := range rows {
			t.Run(dep+" "+r.name, func(t *testing.T) {
				t.Parallel()
				m := measure(21, dep, r.rate, r.change, r.during)
				t.Logf("| %s | %s | %d/%d | %d / %d | %d / %d | %d / %d | %d / %d | %s |", dep, r.name, m.ended, m.jobs, m.p50, m.p99, m.urgent50, m.urgent99,
					m.firstGuaranteed50, m.firstGuaranteed99, m.firstQueueable50, m.firstQueueable99, m.counts)
			})
		}
	}
}
