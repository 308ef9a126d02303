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
	jobs, ended        int
	p50, p99           int64
	urgent50, urg99    int64
	firstG, firstQ     int64
	firstG99, firstQ99 int64
	tail               string
}

func pick(v []int64, q float64) int64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

// measure runs the same jobs at the same times whatever the settings, so that runs of one seed
// can be compared in pairs.
func measure(seed uint64, dep string, rate float64, change func(*nodeConfig), during func(*world)) measured {
	d := historycheck.Deployments[dep]
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
	w.until(120_000, func() bool { return len(w.open()) == 0 })
	sent, first, last := map[string]int64{}, map[string]bool{}, map[string]int64{}
	queue := map[string]string{}
	var g, q, all, urgent []int64
	for _, e := range w.history {
		switch e.Kind {
		case historycheck.JobSent:
			sent[e.Job], queue[e.Job] = e.AtMs, e.Spec.Queue
		case historycheck.Start:
			if !first[e.Job] {
				first[e.Job] = true
				if e.Text == "guaranteed" {
					g = append(g, e.AtMs-sent[e.Job])
				} else {
					q = append(q, e.AtMs-sent[e.Job])
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
	m.p50, m.p99, m.urgent50, m.urg99 = pick(all, .5), pick(all, .99), pick(urgent, .5), pick(urgent, .99)
	m.firstG, m.firstG99, m.firstQ, m.firstQ99 = pick(g, .5), pick(g, .99), pick(q, .5), pick(q, .99)
	n := float64(max(1, m.ended))
	msgs := 0
	for _, c := range w.msgs {
		msgs += c
	}
	m.tail = fmt.Sprintf("per job: records %.1f, messages %.0f; preemptions %d, sheds %d, promotions %d, bounces %d", float64(w.total("record_writes"))/n,
		float64(msgs)/n, w.total("preemptions"), w.total("sheds"), w.total("promotions"), w.total("requests_rejected"))
	return m
}

func TestMeasure(t *testing.T) {
	if !*measureFlag {
		t.Skip("only with -measure")
	}
	plain, quietly := func(*nodeConfig) {}, func(*world) {}
	wave := func(w *world) {
		for range 300 {
			w.submit(w.dep.RandomJob(w.rng))
		}
	}
	type row struct {
		name   string
		rate   float64
		change func(*nodeConfig)
		during func(*world)
	}
	rows := []row{
		{"quiet", 1, plain, quietly},
		{"only guaranteed", 1, func(p *nodeConfig) { p.ThresholdMs = 0 }, quietly},
		{"only queueable", 1, func(p *nodeConfig) { p.ThresholdMs = -1 }, quietly},
		{"threshold 500", 1, func(p *nodeConfig) { p.ThresholdMs = 500 }, quietly},
		{"threshold 5000", 1, func(p *nodeConfig) { p.ThresholdMs = 5000 }, quietly},
		{"k 50", 1, func(p *nodeConfig) { p.KLowest = 50 }, quietly},
		{"double rate", 2, plain, quietly},
		{"double, only guaranteed", 2, func(p *nodeConfig) { p.ThresholdMs = 0 }, quietly},
		{"double, only queueable", 2, func(p *nodeConfig) { p.ThresholdMs = -1 }, quietly},
		{"double, k 50", 2, func(p *nodeConfig) { p.KLowest = 50 }, quietly},
		{"double, sigma 1", 2, func(p *nodeConfig) { p.TargetSigma = 1 }, quietly},
		{"wave", 1, plain, wave},
		{"double, k 5", 2, func(p *nodeConfig) { p.KLowest = 5 }, quietly},
		{"wave, k 5", 1, func(p *nodeConfig) { p.KLowest = 5 }, wave},
		{"wave, only guaranteed", 1, func(p *nodeConfig) { p.ThresholdMs = 0 }, wave},
		{"wave, k 50", 1, func(p *nodeConfig) { p.KLowest = 50 }, wave},
		{"owner killed", 1, plain, func(w *world) { w.killHolder("slice/east") }},
		{"agent killed", 1, plain, func(w *world) { w.killHolder("agent/w04") }},
		{"central killed", 1, plain, func(w *world) { w.killHolder("central") }},
	}
	for _, dep := range []string{"hakata", "ikenna"} {
		for _, r := range rows {
			t.Run(dep+" "+r.name, func(t *testing.T) {
				t.Parallel()
				m := measure(21, dep, r.rate, r.change, r.during)
				t.Logf("| %s | %s | %d/%d | %d / %d | %d / %d | %d / %d | %d / %d | %s |", dep, r.name, m.ended, m.jobs, m.p50, m.p99, m.urgent50, m.urg99,
					m.firstG, m.firstG99, m.firstQ, m.firstQ99, m.tail)
			})
		}
	}
}
