package daemon

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// tenantHistory is a short history of one tenant without violations: version 1 declares its key "one"
// and a limit of 10 in either dimension, and its job of six tasks runs two at a time.
func tenantHistory() []platformEvent {
	q := &platformQueue{name: "q", host: "h", prefix: "/q/", allowedFailures: 2, service: "s"}
	job := &platformJob{id: "j", queue: q, payload: "spec", tenant: "t", steps: []platformStep{{count: 6, room: amounts{5, 4}}}}
	facts := &workerFacts{capacity: amounts{64, 64}, labels: map[string]string{"service": "s"}, zone: "east"}
	setup := tenantSetup(amounts{10, 10}, "one")
	h := []platformEvent{
		{atMs: 0, kind: eventWorkerUp, worker: "w1", host: "on-w1", facts: facts},
		{atMs: 0, kind: eventWorkerUp, worker: "w2", host: "on-w2", facts: facts},
		{atMs: 100, kind: eventSetupSent, n: 1, base: 0, setup: setup},
		{atMs: 200, kind: eventSetupAcked, n: 1, base: 0, setup: setup},
		{atMs: 10_000, kind: eventJobSent, job: "j", spec: job, queue: q},
		{atMs: 10_010, kind: eventJobResponse, job: "j", host: "e", n: 201, requestedMs: 10_000},
		callWith("one", 201, 10_000),
		tenantRun(11_000, eventStarted, "w1", 0), tenantRun(11_000, eventStarted, "w2", 1),
		tenantEnd(12_000, "w1", 0, "ok", 1), {atMs: 12_050, kind: eventEndsReported, worker: "w1", n: 1},
		tenantRun(12_100, eventStarted, "w1", 2),
		tenantEnd(13_000, "w2", 1, "ok", 1), {atMs: 13_050, kind: eventEndsReported, worker: "w2", n: 1},
	}
	return append(h, callWith("one", 200, 14_000))
}

// tenantSetup declares queue q and tenant t with a limit and keys.
func tenantSetup(limit amounts, keys ...string) *platformSetup {
	q := platformQueue{name: "q", host: "h", prefix: "/q/", allowedFailures: 2, service: "s"}
	return &platformSetup{queues: []platformQueue{q}, tenants: []platformTenant{{name: "t", keys: keys, limit: limit}}}
}

// callWith is a call at machine e, answered 10 ms after it was sent.
func callWith(key string, status, sentMs int64) platformEvent {
	q := &platformQueue{name: "q", host: "h", prefix: "/q/", allowedFailures: 2, service: "s"}
	return platformEvent{atMs: sentMs + 10, kind: eventCallAnswered, job: "j", host: "e", queue: q, key: key, n: status, requestedMs: sentMs}
}

func tenantRun(atMs int64, kind, worker string, index int) platformEvent {
	return platformEvent{atMs: atMs, kind: kind, job: "j", task: taskName{0, 0, index}, run: 1, worker: worker, host: "on-" + worker, text: "spec"}
}

func tenantEnd(atMs int64, worker string, index int, how string, number int64) platformEvent {
	e := tenantRun(atMs, eventEnded, worker, index)
	e.text, e.n = how, number
	return e
}

// changeTo returns the events of a change on top of version 1 that is acknowledged.
func changeTo(setup *platformSetup, sentMs, ackedMs int64) []platformEvent {
	return []platformEvent{
		{atMs: sentMs, kind: eventSetupSent, n: 2, base: 1, setup: setup},
		{atMs: ackedMs, kind: eventSetupAcked, n: 2, base: 1, setup: setup},
	}
}

func insertAll(h []platformEvent, events ...platformEvent) []platformEvent {
	for _, e := range events {
		h = insertEvent(h, e)
	}
	return h
}

func TestPlatformCheckerAcceptsValidTenantHistory(t *testing.T) {
	must.SliceEmpty(t, checkPlatformHistory(tenantHistory(), usualPlatformBounds))
}

// Each violation of the rules on tenants must be found, under the rule that begins the name of the case.
func TestPlatformCheckerFindsTenantViolations(t *testing.T) {
	roomy, low, swapped := tenantSetup(amounts{1000, 1000}, "one"), tenantSetup(amounts{4, 10}, "one"), tenantSetup(amounts{10, 10}, "two")
	injections := map[string]func([]platformEvent) []platformEvent{
		"ROUTE by an unknown key": func(h []platformEvent) []platformEvent {
			return insertAll(h, callWith("guessed", 200, 14_000))
		},
		"ROUTE without a key": func(h []platformEvent) []platformEvent {
			return insertAll(h, callWith("", 201, 14_000))
		},
		"ROUTE by a machine without contact": func(h []platformEvent) []platformEvent {
			return insertAll(h, platformEvent{atMs: 13_900, kind: eventFaultBegan, host: "e", text: "cut"}, callWith("guessed", 200, 14_000))
		},
		"ROUTE by a key that only a refused version has": func(h []platformEvent) []platformEvent {
			return insertAll(h, platformEvent{atMs: 13_500, kind: eventSetupSent, n: 2, base: 1, setup: swapped},
				platformEvent{atMs: 13_600, kind: eventSetupRefused, n: 2, base: 1, setup: swapped}, callWith("two", 200, 14_000))
		},
		"CONFIG 401 though the key is there": func(h []platformEvent) []platformEvent {
			return insertAll(h, callWith("one", 401, 14_000))
		},
		"CONFIG 401 at an open queue": func(h []platformEvent) []platformEvent {
			h[2].setup.openQueues = []string{"q"}
			return insertAll(h, callWith("", 401, 14_000))
		},
		"CONFIG 401 late after a key was added": func(h []platformEvent) []platformEvent {
			return insertAll(append(h, changeTo(swapped, 20_000, 20_100)...), callWith("two", 401, 22_200))
		},
		"CONFIG a revoked key": func(h []platformEvent) []platformEvent {
			return insertAll(append(h, changeTo(swapped, 20_000, 20_100)...), callWith("one", 200, 22_200))
		},
		"QUOTA in cpu": func(h []platformEvent) []platformEvent {
			return insertAll(h, tenantRun(12_500, eventStarted, "w1", 3), tenantRun(12_600, eventStarted, "w1", 4))
		},
		"QUOTA in memory": func(h []platformEvent) []platformEvent {
			h[2].setup.tenants[0].limit = amounts{0, 7}
			return insertAll(h, tenantRun(12_500, eventStarted, "w1", 3))
		},
		"QUOTA by a machine without contact": func(h []platformEvent) []platformEvent {
			return insertAll(h, platformEvent{atMs: 12_400, kind: eventFaultBegan, host: "on-w1", text: "cut"},
				tenantRun(12_500, eventStarted, "w1", 3), tenantRun(12_600, eventStarted, "w1", 4))
		},
		"QUOTA while an end isn't reported": func(h []platformEvent) []platformEvent {
			return insertAll(h, tenantRun(13_010, eventStarted, "w2", 3), tenantRun(13_020, eventStarted, "w2", 4))
		},
		"QUOTA over a limit that was lowered": func(h []platformEvent) []platformEvent {
			return insertAll(append(h, changeTo(low, 14_500, 14_600)...), tenantRun(16_700, eventStarted, "w1", 3))
		},
		"QUOTA over a limit that was not raised yet": func(h []platformEvent) []platformEvent {
			return insertAll(append(h, changeTo(roomy, 14_500, 14_600)...), tenantRun(14_400, eventStarted, "w1", 3),
				tenantRun(14_410, eventStarted, "w1", 4), tenantRun(14_420, eventStarted, "w1", 5))
		},
	}
	for name, inject := range injections {
		t.Run(name, func(t *testing.T) {
			rule, _, _ := strings.Cut(name, " ")
			found := checkPlatformHistory(inject(tenantHistory()), usualPlatformBounds)
			must.SliceNotEmpty(t, found)
			for _, v := range found {
				must.Eq(t, rule, v.rule, must.Sprint(v))
			}
		})
	}
}

// Histories that the rules on tenants allow have no violation.
func TestPlatformCheckerAllowsTenantExceptions(t *testing.T) {
	roomy, low, swapped := tenantSetup(amounts{1000, 1000}, "one"), tenantSetup(amounts{4, 10}, "one"), tenantSetup(amounts{10, 10}, "two")
	allowed := map[string]func([]platformEvent) []platformEvent{
		"one task beyond the limit": func(h []platformEvent) []platformEvent {
			return insertAll(h, tenantRun(12_500, eventStarted, "w1", 3))
		},
		"a key revoked just now": func(h []platformEvent) []platformEvent {
			return insertAll(append(h, changeTo(swapped, 20_000, 20_100)...), callWith("one", 200, 22_000), callWith("two", 401, 22_000))
		},
		"a key added but not acknowledged": func(h []platformEvent) []platformEvent {
			return insertAll(append(h, changeTo(swapped, 20_000, 20_100)[:1]...), callWith("one", 401, 30_000), callWith("two", 200, 30_000), callWith("one", 200, 30_000))
		},
		"a revoked key at a machine without contact": func(h []platformEvent) []platformEvent {
			return insertAll(append(h, changeTo(swapped, 20_000, 20_100)...), platformEvent{atMs: 22_000, kind: eventFaultBegan, host: "e", text: "cut"}, callWith("one", 200, 24_000))
		},
		"any key at an open queue": func(h []platformEvent) []platformEvent {
			h[2].setup.openQueues = []string{"q"}
			return insertAll(h, callWith("", 200, 14_000), callWith("guessed", 201, 14_000))
		},
		"401 for an unknown key": func(h []platformEvent) []platformEvent {
			return insertAll(h, callWith("guessed", 401, 14_000))
		},
		"a start under a limit that a sent version raises": func(h []platformEvent) []platformEvent {
			return insertAll(append(h, changeTo(roomy, 14_500, 30_000)...), tenantRun(14_600, eventStarted, "w1", 3),
				tenantRun(14_610, eventStarted, "w1", 4), tenantRun(14_620, eventStarted, "w1", 5))
		},
		"a start under a limit that was lowered just now": func(h []platformEvent) []platformEvent {
			return insertAll(append(h, changeTo(low, 14_500, 14_600)...), tenantRun(16_500, eventStarted, "w1", 3))
		},
		"starts after an end was reported": func(h []platformEvent) []platformEvent {
			return insertAll(h, tenantRun(13_060, eventStarted, "w2", 3), tenantRun(13_070, eventStarted, "w2", 4))
		},
		"a start after a crash": func(h []platformEvent) []platformEvent {
			return insertAll(h, platformEvent{atMs: 12_400, kind: eventWorkerDown, worker: "w1", host: "on-w1"},
				tenantRun(12_500, eventStarted, "w2", 3), tenantRun(12_600, eventStarted, "w2", 4))
		},
		"a start after a hold expired": func(h []platformEvent) []platformEvent {
			return insertAll(h, platformEvent{atMs: 12_400, kind: eventHoldExpired, worker: "w1", host: "on-w1"}, tenantEnd(12_400, "w1", 2, "lapsed", 2),
				tenantRun(12_500, eventStarted, "w2", 3), tenantRun(12_600, eventStarted, "w2", 4))
		},
		"a tenant without a limit": func(h []platformEvent) []platformEvent {
			h[2].setup.tenants[0].limit = amounts{}
			return insertAll(h, tenantRun(12_500, eventStarted, "w1", 3), tenantRun(12_600, eventStarted, "w1", 4), tenantRun(12_700, eventStarted, "w1", 5))
		},
	}
	for name, change := range allowed {
		t.Run(name, func(t *testing.T) {
			must.SliceEmpty(t, checkPlatformHistory(change(tenantHistory()), usualPlatformBounds))
		})
	}
}
