package historycheck

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// history builds a lawful history of one job of two steps, to be spoiled.
func lawful() []Event {
	spec := &Job{Queue: "q", Steps: []Step{{Name: "a", Tasks: []Task{{Name: "x", Cores: 2, AllowedFailures: 2, LimitMs: 1000, Labels: map[string]string{"disk": "ssd"}}}},
		{Name: "b", After: []string{"a"}, Tasks: []Task{{Name: "y", Cores: 1, AllowedFailures: 1}}}}}
	setup := &Configuration{Queues: []Queue{{Name: "q", Selector: map[string][]string{"tier": {"fast"}}}}}
	good := map[string]string{"tier": "fast", "disk": "ssd"}
	return []Event{
		{AtMs: 0, Kind: ConfigurationSent, Version: 1, Configuration: setup}, {AtMs: 1, Kind: ConfigurationAcked, Version: 1, Configuration: setup},
		{AtMs: 2, Kind: WorkerCapacity, Worker: "w1", Capacity: 4, Labels: good, Zone: "east"},
		{AtMs: 2, Kind: WorkerCapacity, Worker: "w2", Capacity: 4, Labels: map[string]string{"tier": "bulk"}, Zone: "west"},
		{AtMs: 3000, Kind: JobSent, Job: "j", Spec: spec}, {AtMs: 3010, Kind: JobAcked, Job: "j"},
		{AtMs: 3100, Kind: Start, Job: "j", Task: 0, Worker: "w1", Run: "j#0#1"},
		{AtMs: 3200, Kind: End, Job: "j", Task: 0, Worker: "w1", Run: "j#0#1", Text: "failed"},
		{AtMs: 3300, Kind: Start, Job: "j", Task: 0, Worker: "w1", Run: "j#0#2"},
		{AtMs: 3400, Kind: End, Job: "j", Task: 0, Worker: "w1", Run: "j#0#2", Text: "ok"},
		{AtMs: 3500, Kind: Start, Job: "j", Task: 1, Worker: "w1", Run: "j#1#1"},
		{AtMs: 3600, Kind: End, Job: "j", Task: 1, Worker: "w1", Run: "j#1#1", Text: "ok"},
		{AtMs: 3700, Kind: JobState, Job: "j", Text: "complete", RequestedMs: 3690},
	}
}

func TestLawfulHistory(t *testing.T) { must.SliceEmpty(t, Check(lawful(), DefaultBounds)) }

func TestPlantedBreaches(t *testing.T) {
	other := &Configuration{Queues: []Queue{{Name: "q", Selector: map[string][]string{"tier": {"bulk"}}}}}
	emptied := &Configuration{Queues: []Queue{{Name: "q", Selector: map[string][]string{"tier": {"fast"}}}}, EmptyZones: []string{"east"}}
	start := func(at int64, task int, worker, run string) Event {
		return Event{AtMs: at, Kind: Start, Job: "j", Task: task, Worker: worker, Run: run}
	}
	plants := map[string]func([]Event) []Event{
		"twice_at_once":    func(h []Event) []Event { return append(h, start(3350, 0, "w1", "j#0#3")) },
		"again_after_well": func(h []Event) []Event { return append(h, start(3900, 1, "w1", "j#1#2")) },
		"over_room": func(h []Event) []Event {
			h[2].Capacity = 1
			return h
		},
		"before_its_steps": func(h []Event) []Event { return append(h, start(3050, 1, "w1", "j#1#9")) },
		"before_due": func(h []Event) []Event {
			h[4].Spec.DelayMs = 500
			return h
		},
		"lacks_label": func(h []Event) []Event {
			h[2].Labels = map[string]string{"tier": "fast"}
			return h
		},
		"outside_group": func(h []Event) []Event {
			return append(h, Event{AtMs: 5, Kind: ConfigurationSent, Version: 2, Configuration: other}, Event{AtMs: 6, Kind: ConfigurationAcked, Version: 2, Configuration: other})
		},
		"past_failures": func(h []Event) []Event {
			h[4].Spec.Steps[0].Tasks[0].AllowedFailures = 1
			return h
		},
		"after_cancel": func(h []Event) []Event {
			return append(h, Event{AtMs: 3050, Kind: CancelAcked, Job: "j"}, start(6100, 1, "w1", "j#1#2"))
		},
		"runs_on_after_cancel": func(h []Event) []Event {
			h[11].AtMs, h[12].AtMs = 90_000, 91_000
			return append(h, Event{AtMs: 3550, Kind: CancelAcked, Job: "j"})
		},
		"runs_on_after_cancel of a worker away for a while": func(h []Event) []Event {
			h[11].AtMs, h[12].AtMs = 30_000, 31_000
			return append(h, Event{AtMs: 3550, Kind: CancelAcked, Job: "j"}, Event{AtMs: 4000, Kind: WorkerUnreachable, Worker: "w1"}, Event{AtMs: 9000, Kind: WorkerReachable, Worker: "w1"})
		},
		"leaving_worker": func(h []Event) []Event { return append(h, Event{AtMs: 900, Kind: WorkerLeaving, Worker: "w1"}) },
		"emptied_site": func(h []Event) []Event {
			for i := range h {
				if h[i].AtMs >= 3000 {
					h[i].AtMs += 5000
				}
			}
			return append(h, Event{AtMs: 5, Kind: ConfigurationSent, Version: 2, Configuration: emptied}, Event{AtMs: 6, Kind: ConfigurationAcked, Version: 2, Configuration: emptied})
		},
		"job_forgotten": func(h []Event) []Event {
			return append(h, Event{AtMs: 7010, Kind: JobState, Job: "j", Text: "unknown", RequestedMs: 7000})
		},
		"failed_without_cause": func(h []Event) []Event { return append(h, Event{AtMs: 7010, Kind: JobState, Job: "j", Text: "failed"}) },
		"complete_too_early": func(h []Event) []Event {
			return append(h, Event{AtMs: 3550, Kind: JobState, Job: "j", Text: "complete"})
		},
		"setup_lost": func(h []Event) []Event {
			return append(h, Event{AtMs: 5000, Kind: ConfigurationShown, Version: 0, RequestedMs: 4990})
		},
		"setup_acked_twice": func(h []Event) []Event {
			return append(h, Event{AtMs: 7, Kind: ConfigurationSent, Version: 1, Configuration: other}, Event{AtMs: 8, Kind: ConfigurationAcked, Version: 1, Configuration: other})
		},
		"run_not_sent": func(h []Event) []Event {
			return append(h, Event{AtMs: 4000, Kind: Start, Job: "never-sent", Worker: "w1", Run: "never-sent#0#1"})
		},
	}
	plants["slow_after_loss"] = func(h []Event) []Event { // five tasks a second, and after the loss one
		for i := range int64(300) {
			at := 10_000 + i*200
			if at > 20_000 && i%5 != 0 {
				continue
			}
			job := fmt.Sprint("k", i)
			h = append(h, Event{AtMs: at - 50, Kind: JobSent, Job: job, Spec: &Job{Queue: "q", Steps: []Step{{Name: "a", Tasks: []Task{{Name: "x", Cores: 1}}}}}},
				Event{AtMs: at - 20, Kind: Start, Job: job, Worker: "w1", Run: job + "#0#1"},
				Event{AtMs: at, Kind: End, Job: job, Worker: "w1", Run: job + "#0#1", Text: "ok"})
		}
		return append(h, Event{AtMs: 20_000, Kind: MachinesLost}, Event{AtMs: 22_000, Kind: MachinesBack}, Event{AtMs: 60_000, Kind: TrafficEnds})
	}
	for rule, plant := range plants {
		t.Run(rule, func(t *testing.T) {
			var rules []string
			for _, b := range Check(plant(lawful()), DefaultBounds) {
				rules = append(rules, b.Rule)
			}
			rule, _, _ = strings.Cut(rule, " ")
			must.SliceContains(t, rules, rule)
		})
	}
}

// What a bounced setup would have allowed is not lawful.
func TestRejectedSetupAllowsNothing(t *testing.T) {
	other := &Configuration{Queues: []Queue{{Name: "q", Selector: map[string][]string{"tier": {"bulk"}}}}}
	h := append(lawful(), Event{AtMs: 10, Kind: ConfigurationSent, Version: 2, Configuration: other}, Event{AtMs: 20, Kind: ConfigurationRejected, Version: 2, Configuration: other},
		Event{AtMs: 4000, Kind: JobSent, Job: "k", Spec: &Job{Queue: "q", Steps: []Step{{Name: "a", Tasks: []Task{{Name: "x", Cores: 1}}}}}},
		Event{AtMs: 4100, Kind: Start, Job: "k", Worker: "w2", Run: "k#0#1"})
	b := Check(h, DefaultBounds)
	must.Len(t, 1, b)
	must.Eq(t, "outside_group", b[0].Rule)
}
