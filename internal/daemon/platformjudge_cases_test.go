package daemon

import (
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// validPlatformHistory is a short history without violations on two workers: two tasks, then
// a gang that resumes from a checkpoint.
func validPlatformHistory() []platformEvent {
	q := &platformQueue{name: "q", host: "h", prefix: "/q/", allowedFailures: 2, service: "s"}
	job := &platformJob{id: "j", queue: q, payload: "spec", steps: []platformStep{{count: 2, room: amounts{2, 2}, perWorker: 1, labels: map[string]string{"kind": "a"}},
		{count: 2, room: amounts{2, 1, 1}, after: []int{0}, gang: true, saves: true}}}
	facts := &workerFacts{capacity: amounts{4, 4, 1}, labels: map[string]string{"service": "s", "kind": "a"}, zone: "east"}
	other := *facts
	other.zone = "mid"
	setup := &platformSetup{queues: []platformQueue{*q}}
	var h []platformEvent
	add := func(at int64, e platformEvent) { e.atMs = at; h = append(h, e) }
	run := func(at int64, kind string, worker string, step, index int, run int64) platformEvent {
		return platformEvent{atMs: at, kind: kind, job: "j", task: taskName{0, step, index}, run: run, worker: worker, host: "on-" + worker, text: "spec"}
	}
	add(0, platformEvent{kind: eventWorkerUp, worker: "w1", host: "on-w1", facts: facts})
	add(0, platformEvent{kind: eventWorkerUp, worker: "w2", host: "on-w2", facts: &other})
	add(100, platformEvent{kind: eventSetupSent, n: 1, base: 0, setup: setup})
	add(200, platformEvent{kind: eventSetupAcked, n: 1, base: 0, setup: setup})
	add(10_000, platformEvent{kind: eventJobSent, job: "j", spec: job, queue: q})
	add(10_010, platformEvent{kind: eventJobResponse, job: "j", host: "e", n: 201, requestedMs: 10_000})
	begin := func(at int64, worker string, step, index int, n int64, saved string) {
		e := run(at, eventOrdered, worker, step, index, n)
		e.saved = saved
		h = append(h, e, run(at, eventStarted, worker, step, index, n))
	}
	finish := func(at int64, worker string, step, index int, run int64, n int64, how string) {
		add(at, platformEvent{kind: eventEnded, job: "j", task: taskName{0, step, index}, run: run, worker: worker, host: "on-" + worker, text: how, n: n})
	}
	begin(11_000, "w1", 0, 0, 1, "")
	begin(11_000, "w2", 0, 1, 1, "")
	finish(11_500, "w1", 0, 0, 1, 1, "failed")
	add(11_550, platformEvent{kind: eventEndsReported, worker: "w1", n: 1})
	add(11_600, platformEvent{kind: eventEndsAcknowledged, worker: "w1", n: 1})
	begin(11_650, "w1", 0, 0, 2, "")
	finish(12_000, "w2", 0, 1, 1, 1, "ok")
	finish(12_100, "w1", 0, 0, 2, 2, "ok")
	add(12_150, platformEvent{kind: eventEndsReported, worker: "w1", n: 2})
	add(12_150, platformEvent{kind: eventEndsReported, worker: "w2", n: 1})
	add(12_200, platformEvent{kind: eventEndsAcknowledged, worker: "w1", n: 2})
	add(12_200, platformEvent{kind: eventEndsAcknowledged, worker: "w2", n: 1})
	begin(12_300, "w1", 1, 0, 1, "")
	begin(12_310, "w2", 1, 1, 1, "")
	add(13_300, platformEvent{kind: eventCheckpointSaved, job: "j", task: taskName{0, 1, 0}, run: 1, worker: "w1", saved: "abc"})
	finish(13_400, "w1", 1, 0, 1, 3, "lapsed")
	add(13_400, platformEvent{kind: eventHoldExpired, worker: "w1"})
	finish(13_410, "w2", 1, 1, 1, 2, "broken")
	add(13_450, platformEvent{kind: eventEndsReported, worker: "w1", n: 3})
	add(13_450, platformEvent{kind: eventEndsReported, worker: "w2", n: 2})
	begin(13_500, "w1", 1, 0, 2, "abc")
	begin(13_500, "w2", 1, 1, 2, "abc")
	finish(14_500, "w1", 1, 0, 2, 4, "ok")
	finish(14_500, "w2", 1, 1, 2, 3, "ok")
	add(14_550, platformEvent{kind: eventEndsReported, worker: "w1", n: 4})
	add(14_600, platformEvent{kind: eventEndsAcknowledged, worker: "w1", n: 4})
	add(14_700, platformEvent{kind: eventStateShown, job: "j", host: "e", text: "complete", requestedMs: 14_690})
	return h
}

func TestPlatformCheckerAcceptsValidHistory(t *testing.T) {
	must.SliceEmpty(t, checkPlatformHistory(validPlatformHistory(), usualPlatformBounds))
}

// Each violation that is inserted into a valid history must be found, under the rule that begins the name of the case.
func TestPlatformCheckerFindsInjectedViolations(t *testing.T) {
	run := func(at int64, kind, worker string, step, index int, run int64) platformEvent {
		return platformEvent{atMs: at, kind: kind, job: "j", task: taskName{0, step, index}, run: run, worker: worker, host: "on-" + worker, text: "spec"}
	}
	find := func(h []platformEvent, kind, worker string, step, index int, run int64) *platformEvent {
		for i := range h {
			if e := &h[i]; e.kind == kind && e.worker == worker && e.task == (taskName{0, step, index}) && e.run == run {
				return e
			}
		}
		panic("no such event")
	}
	job := func(h []platformEvent) *platformJob { return h[4].spec }
	// late shifts all events from the first start on, so that an event can come long before them.
	late := func(h []platformEvent, ms int64) []platformEvent {
		for i := range h {
			if h[i].atMs >= 11_000 {
				h[i].atMs += ms
			}
		}
		return h
	}
	roomy := func(h []platformEvent) []platformEvent {
		for i := range 2 {
			h[i].facts.capacity = amounts{64, 64, 8}
		}
		return h
	}
	drop := func(h []platformEvent, gone func(platformEvent) bool) []platformEvent {
		return slices.DeleteFunc(h, gone)
	}
	loneGang := func(h []platformEvent) []platformEvent { // its other member never starts
		h = drop(h, func(e platformEvent) bool { return e.atMs > 12_300 })
		return append(h, platformEvent{atMs: 15_300, kind: eventEnded, job: "j", task: taskName{0, 1, 0}, run: 1, worker: "w1", host: "on-w1", text: "alone", n: 3})
	}
	other := &platformSetup{queues: []platformQueue{{name: "q", host: "h", prefix: "/other/", service: "s"}}, note: "other"}
	injections := map[string]func([]platformEvent) []platformEvent{
		"LIMIT": func(h []platformEvent) []platformEvent { h[0].facts.capacity[0] = 1; return h },
		"LIMIT in memory": func(h []platformEvent) []platformEvent {
			h[0].facts.capacity[1] = 1
			return h
		},
		"LIMIT in accelerators": func(h []platformEvent) []platformEvent { h[0].facts.capacity[2] = 0; return h },
		"LIMIT while an end isn't reported": func(h []platformEvent) []platformEvent {
			h[0].facts.capacity = amounts{3, 3, 1}
			return drop(h, func(e platformEvent) bool { return e.kind == eventEndsReported && e.worker == "w1" && e.n == 1 })
		},
		"TWICE at once": func(h []platformEvent) []platformEvent {
			job(h).steps[0].perWorker = 0
			return insertEvent(roomy(h), run(11_200, eventStarted, "w2", 0, 0, 3))
		},
		"TWICE after a successful end": func(h []platformEvent) []platformEvent {
			return insertEvent(h, run(12_150, eventStarted, "w2", 0, 0, 3))
		},
		"TWICE after another member's successful end": func(h []platformEvent) []platformEvent {
			return insertEvent(roomy(h), run(14_620, eventStarted, "w2", 1, 1, 3))
		},
		"TWICE of copies, over a second later": func(h []platformEvent) []platformEvent {
			job(h).steps[0].copies = true
			return insertEvent(h, run(13_300, eventStarted, "w2", 0, 0, 3))
		},
		"TWICE after it was shown as complete": func(h []platformEvent) []platformEvent {
			job(h).steps[0].copies = true
			return append(drop(h, func(e platformEvent) bool { return e.kind == eventEndsAcknowledged }), run(15_800, eventStarted, "w2", 0, 0, 3))
		},
		"ORDER": func(h []platformEvent) []platformEvent {
			find(h, eventEnded, "w2", 0, 1, 1).atMs = 12_400
			slices.SortStableFunc(h, func(a, b platformEvent) int { return int(a.atMs - b.atMs) })
			return h
		},
		"ORDER before its time": func(h []platformEvent) []platformEvent {
			job(h).rounds, job(h).firstMs = 1, 11_300
			return h
		},
		"ROUTE":          func(h []platformEvent) []platformEvent { h[0].facts.labels["service"] = "other"; return h },
		"ROUTE by label": func(h []platformEvent) []platformEvent { h[0].facts.labels["kind"] = "b"; return h },
		"ROUTE by count": func(h []platformEvent) []platformEvent {
			find(h, eventStarted, "w2", 0, 1, 1).worker = "w1"
			find(h, eventEnded, "w2", 0, 1, 1).worker = "w1"
			return roomy(h)
		},
		"BUDGET": func(h []platformEvent) []platformEvent {
			job(h).queue.allowedFailures = 1
			return h
		},
		"BUDGET of a gang": func(h []platformEvent) []platformEvent {
			job(h).queue.allowedFailures = 1
			find(h, eventEnded, "w1", 0, 0, 1).text = "ok"
			h = drop(h, func(e platformEvent) bool { return e.task == taskName{0, 0, 0} && e.run == 2 })
			find(h, eventEnded, "w2", 1, 1, 1).text = "failed"
			return insertEvent(h, platformEvent{atMs: 13_460, kind: eventEndsAcknowledged, worker: "w2", n: 2})
		},
		"GANG": loneGang,
		"UNASKED": func(h []platformEvent) []platformEvent {
			e := run(12_000, eventOrdered, "w1", 0, 0, 1)
			e.job = "never"
			return insertEvent(h, e)
		},
		"UNASKED task": func(h []platformEvent) []platformEvent {
			return insertEvent(h, run(12_000, eventOrdered, "w1", 0, 2, 1))
		},
		"UNASKED payload": func(h []platformEvent) []platformEvent {
			find(h, eventOrdered, "w1", 0, 0, 1).text = "other"
			return h
		},
		"UNASKED checkpoint": func(h []platformEvent) []platformEvent {
			find(h, eventOrdered, "w1", 0, 0, 2).saved = "abc"
			return h
		},
		"UNASKED checkpoint unlike the gang's": func(h []platformEvent) []platformEvent {
			find(h, eventOrdered, "w2", 1, 1, 2).saved = ""
			return h
		},
		"UNASKED after cancel": func(h []platformEvent) []platformEvent {
			return insertEvent(h, platformEvent{atMs: 10_200, kind: eventCancelAcked, job: "j"})
		},
		"UNASKED still running": func(h []platformEvent) []platformEvent {
			find(h, eventEnded, "w2", 0, 1, 1).atMs = 15_000
			return insertEvent(h, platformEvent{atMs: 11_100, kind: eventCancelAcked, job: "j"})
		},
		"REFUSED": func(h []platformEvent) []platformEvent { h[5].n = 503; return h },
		"DRAIN": func(h []platformEvent) []platformEvent {
			return insertEvent(h, platformEvent{atMs: 9500, kind: eventLeaveAcked, worker: "w1", host: "on-w1"})
		},
		"EVAC": func(h []platformEvent) []platformEvent {
			return insertEvent(late(h, 3000), platformEvent{atMs: 8500, kind: eventZoneEvacuated, text: "east"})
		},
		"MIXED": func(h []platformEvent) []platformEvent {
			return insertEvent(h, platformEvent{atMs: 14_400, kind: eventStateShown, job: "j", host: "e", text: "complete", requestedMs: 14_390})
		},
		"LOST unknown": func(h []platformEvent) []platformEvent {
			return insertEvent(h, platformEvent{atMs: 13_200, kind: eventStateShown, job: "j", host: "e", text: "unknown", requestedMs: 13_100})
		},
		"LOST failed": func(h []platformEvent) []platformEvent {
			return insertEvent(h, platformEvent{atMs: 13_200, kind: eventStateShown, job: "j", host: "e", text: "failed", requestedMs: 13_100})
		},
		"LOST cancelled": func(h []platformEvent) []platformEvent {
			return insertEvent(h, platformEvent{atMs: 13_200, kind: eventStateShown, job: "j", host: "e", text: "cancelled", requestedMs: 13_100})
		},
		"LOST unfinished": func(h []platformEvent) []platformEvent {
			return append(h, platformEvent{atMs: 60_000, kind: eventFinalState, job: "j", text: "running"})
		},
		"LOST unanswered": func(h []platformEvent) []platformEvent {
			return append(h, platformEvent{atMs: 60_000, kind: eventFinalState, job: "j"})
		},
		"LOST makes no progress": func(h []platformEvent) []platformEvent {
			return append(h, platformEvent{atMs: 60_000, kind: eventJobStuck, job: "j", text: "x"})
		},
		"CONFIG both acknowledged": func(h []platformEvent) []platformEvent {
			return append(h, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 0, setup: other}, platformEvent{atMs: 20_001, kind: eventSetupAcked, n: 2, base: 0, setup: other})
		},
		"CONFIG invalid": func(h []platformEvent) []platformEvent {
			bad := &platformSetup{invalid: true}
			return append(h, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 1, setup: bad}, platformEvent{atMs: 20_001, kind: eventSetupAcked, n: 2, base: 1, setup: bad})
		},
		"CONFIG shows an older version": func(h []platformEvent) []platformEvent {
			return append(h, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 1, setup: other}, platformEvent{atMs: 20_001, kind: eventSetupAcked, n: 2, base: 1, setup: other},
				platformEvent{atMs: 30_000, kind: eventSetupShown, n: 1, requestedMs: 29_000})
		},
		"CONFIG refused is in force": func(h []platformEvent) []platformEvent {
			return append(h, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 1, setup: other}, platformEvent{atMs: 20_001, kind: eventSetupRefused, n: 2, base: 1, setup: other},
				platformEvent{atMs: 30_000, kind: eventSetupShown, n: 2, requestedMs: 29_000})
		},
		"CONFIG accepted and refused": func(h []platformEvent) []platformEvent {
			return append(h, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 1, setup: other}, platformEvent{atMs: 20_001, kind: eventSetupAccepted, n: 2, base: 1, setup: other},
				platformEvent{atMs: 22_001, kind: eventSetupRefused, n: 2, base: 1, setup: other})
		},
		"CONFIG acknowledged, sent again and refused": func(h []platformEvent) []platformEvent {
			return append(h, platformEvent{atMs: 20_000, kind: eventSetupRefused, n: 1, base: 0, setup: h[2].setup})
		},
		"CONFIG refused, then accepted": func(h []platformEvent) []platformEvent {
			return append(h, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 1, setup: other}, platformEvent{atMs: 20_001, kind: eventSetupRefused, n: 2, base: 1, setup: other},
				platformEvent{atMs: 22_001, kind: eventSetupAccepted, n: 2, base: 1, setup: other})
		},
		"CONFIG both accepted": func(h []platformEvent) []platformEvent {
			third := &platformSetup{queues: other.queues, note: "third"}
			return append(h, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 1, setup: other}, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 1, setup: third},
				platformEvent{atMs: 20_001, kind: eventSetupAccepted, n: 2, base: 1, setup: other}, platformEvent{atMs: 20_002, kind: eventSetupAccepted, n: 2, base: 1, setup: third})
		},
		"CONFIG invalid is accepted": func(h []platformEvent) []platformEvent {
			bad := &platformSetup{invalid: true}
			return append(h, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 1, setup: bad}, platformEvent{atMs: 20_001, kind: eventSetupAccepted, n: 2, base: 1, setup: bad})
		},
		"CONFIG refused, then replaced by a later version": func(h []platformEvent) []platformEvent {
			third := &platformSetup{queues: other.queues, note: "third"}
			return append(h, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 1, setup: other}, platformEvent{atMs: 20_001, kind: eventSetupRefused, n: 2, base: 1, setup: other},
				platformEvent{atMs: 22_000, kind: eventSetupSent, n: 3, base: 2, setup: third}, platformEvent{atMs: 22_001, kind: eventSetupAcked, n: 3, base: 2, setup: third})
		},
		"CONFIG is not read back": func(h []platformEvent) []platformEvent {
			return append(h, platformEvent{atMs: 30_000, kind: eventSetupShown, n: -1, requestedMs: 29_000})
		},
		"CONFIG differs from what was accepted": func(h []platformEvent) []platformEvent {
			return append(h, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 1, setup: other}, platformEvent{atMs: 20_001, kind: eventSetupAcked, n: 2, base: 1, setup: other},
				platformEvent{atMs: 30_000, kind: eventSetupShown, n: 2, text: "another", requestedMs: 29_000})
		},
		"LOST refused when sent again": func(h []platformEvent) []platformEvent {
			return append(h, platformEvent{atMs: 20_000, kind: eventJobAccepted, job: "j", n: 201}, platformEvent{atMs: 20_010, kind: eventJobResponse, job: "j", host: "e", n: 409, requestedMs: 20_005})
		},
		"RECOVER calls": func(h []platformEvent) []platformEvent {
			h = append(h, platformEvent{atMs: 20_000, kind: eventLoss}, platformEvent{atMs: 21_000, kind: eventLossRepaired})
			return append(h, platformEvent{atMs: 33_500, kind: eventJobSent, job: "k", spec: h[4].spec, queue: h[4].queue})
		},
		"RECOVER tasks": func(h []platformEvent) []platformEvent {
			h = append(h, platformEvent{atMs: 20_000, kind: eventLoss}, platformEvent{atMs: 21_000, kind: eventLossRepaired})
			return append(h, platformEvent{atMs: 33_500, kind: eventJobSent, job: "k", spec: h[4].spec, queue: h[4].queue},
				platformEvent{atMs: 33_510, kind: eventJobResponse, job: "k", host: "e", n: 201, requestedMs: 33_500})
		},
		"CONFIG no such queue": func(h []platformEvent) []platformEvent {
			return append(h, platformEvent{atMs: 20_000, kind: eventJobResponse, job: "j", host: "e", n: 404, requestedMs: 19_990})
		},
		"CONFIG a dropped queue": func(h []platformEvent) []platformEvent {
			h = append(h, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 1, setup: other}, platformEvent{atMs: 20_001, kind: eventSetupAcked, n: 2, base: 1, setup: other})
			return append(h, platformEvent{atMs: 23_000, kind: eventJobSent, job: "k", spec: h[4].spec, queue: h[4].queue}, platformEvent{atMs: 23_010, kind: eventJobResponse, job: "k", host: "e", n: 201, requestedMs: 23_000})
		},
	}
	for name, inject := range injections {
		t.Run(name, func(t *testing.T) {
			rule, _, _ := strings.Cut(name, " ")
			found := checkPlatformHistory(inject(validPlatformHistory()), usualPlatformBounds)
			must.SliceNotEmpty(t, found)
			for _, b := range found {
				must.Eq(t, rule, b.rule, must.Sprint(b))
			}
		})
	}
	// Histories that the rules allow have no violation.
	allowed := map[string]func([]platformEvent) []platformEvent{
		"copies at once": func(h []platformEvent) []platformEvent {
			job(h).steps[0].copies, job(h).steps[0].perWorker = true, 0
			h[1].facts.capacity = amounts{64, 64, 8}
			return insertEvent(h, run(11_200, eventStarted, "w2", 0, 0, 3))
		},
		"a successful end hidden by an expired hold": func(h []platformEvent) []platformEvent {
			h[1].facts.capacity, job(h).steps[0].perWorker = amounts{64, 64, 8}, 0
			return insertEvent(insertEvent(h, platformEvent{atMs: 12_120, kind: eventHoldExpired, worker: "w1"}), run(12_180, eventStarted, "w2", 0, 0, 3))
		},
		"a start at a leaving worker by a machine without contact": func(h []platformEvent) []platformEvent {
			return insertEvent(insertEvent(insertEvent(h, platformEvent{atMs: 5000, kind: eventLeaveAcked, worker: "w1", host: "on-w1"}), platformEvent{atMs: 9500, kind: eventFaultBegan, host: "on-w1", text: "cut"}),
				platformEvent{atMs: 16_000, kind: eventFaultEnded, host: "on-w1", text: "cut"})
		},
		"alone near a fault": func(h []platformEvent) []platformEvent {
			return insertEvent(loneGang(h), platformEvent{atMs: 12_900, kind: eventFaultBegan, worker: "w2", text: "crash"})
		},
		"alone once cancelled": func(h []platformEvent) []platformEvent {
			return insertEvent(loneGang(h), platformEvent{atMs: 12_900, kind: eventCancelSent, job: "j"})
		},
		"a lasting task after many failures": func(h []platformEvent) []platformEvent {
			job(h).queue.allowedFailures, job(h).steps[0].lasting = 1, true
			return drop(h, func(e platformEvent) bool { return e.kind == eventStateShown })
		},
		"unknown while the core is unsettled": func(h []platformEvent) []platformEvent {
			return insertEvent(insertEvent(h, platformEvent{atMs: 13_200, kind: eventStateShown, job: "j", host: "e", text: "unknown", requestedMs: 13_100}), platformEvent{atMs: 11_300, kind: eventCoreChanged, host: "d00"})
		},
		"a change whose response was lost, acknowledged when sent again": func(h []platformEvent) []platformEvent {
			return append(h, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 1, setup: other}, platformEvent{atMs: 20_001, kind: eventSetupAccepted, n: 2, base: 1, setup: other},
				platformEvent{atMs: 22_000, kind: eventSetupAccepted, n: 2, base: 1, setup: other}, platformEvent{atMs: 22_001, kind: eventSetupAcked, n: 2, base: 1, setup: other},
				platformEvent{atMs: 30_000, kind: eventSetupShown, n: 2, text: "other", requestedMs: 29_000})
		},
		"a lost race with the winner's version": func(h []platformEvent) []platformEvent {
			third := &platformSetup{queues: other.queues, note: "third"}
			return append(h, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 1, setup: other}, platformEvent{atMs: 20_000, kind: eventSetupSent, n: 2, base: 1, setup: third},
				platformEvent{atMs: 20_001, kind: eventSetupAccepted, n: 2, base: 1, setup: third}, platformEvent{atMs: 20_002, kind: eventSetupRefused, n: 2, base: 1, setup: other},
				platformEvent{atMs: 30_000, kind: eventSetupShown, n: 2, text: "third", requestedMs: 29_000})
		},
		"an evacuated zone that was reopened": func(h []platformEvent) []platformEvent {
			return insertEvent(insertEvent(late(h, 3000), platformEvent{atMs: 8500, kind: eventZoneEvacuated, text: "east"}), platformEvent{atMs: 13_900, kind: eventZoneReopened, text: "east"})
		},
	}
	for name, inject := range allowed {
		t.Run(name, func(t *testing.T) {
			must.SliceEmpty(t, checkPlatformHistory(inject(validPlatformHistory()), usualPlatformBounds))
		})
	}
}

// insertEvent inserts an event by its time, after all events of the same time.
func insertEvent(h []platformEvent, e platformEvent) []platformEvent {
	at := 0
	for at < len(h) && h[at].atMs <= e.atMs {
		at++
	}
	return slices.Insert(h, at, e)
}
