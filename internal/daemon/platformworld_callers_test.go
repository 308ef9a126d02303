package daemon

import (
	"fmt"
	"strings"

	"github.com/tidwall/gjson"
)

// platformCall is a call of the product's API.
type platformCall struct {
	op, host, path, key string
	expect              int64
	body                []byte
	credential          string
	connection          uint64
}

func (b *platformWorld) call(from string, to *simNode, c platformCall, waitMs int64, cb func(status int, retryMs int64, body []byte)) {
	b.world.call(from, to, requestOf(c), waitMs, cb)
}

// watchReady checks the readiness of each edge daemon every second.
func (b *platformWorld) watchReady() {
	b.missedReadiness = map[string]int{}
	for i, host := range b.edges() {
		b.after(int64(i)*90_000, func() { b.checkReady(host) })
	}
}

func (b *platformWorld) checkReady(host string) {
	n := b.nodes[host]
	if n.removed {
		return
	}
	b.call("caller", n, platformCall{op: "ready"}, 1000, func(status int, _ int64, _ []byte) {
		if b.missedReadiness[host]++; status == 200 {
			b.missedReadiness[host] = 0
		}
	})
	b.after(1_000_000, func() { b.checkReady(host) })
}

// edge picks a daemon for a new connection: one that passes its readiness checks, or any if fewer than half do.
func (b *platformWorld) edge() *simNode {
	var in []string
	for _, host := range b.edges() {
		if b.missedReadiness[host] < 2 {
			in = append(in, host)
		}
	}
	if 2*len(in) < b.deployment.edges {
		in = b.edges()
	}
	return b.nodes[in[b.rng.IntN(len(in))]]
}

// submit sends a job as its caller does, and retries after no response or a refusal.
func (b *platformWorld) submit(j *platformJob) *platformJob {
	b.jobSeq++
	if j.id == "" {
		j.id = fmt.Sprintf("%016x", 0x5c0e<<48|uint64(b.jobSeq))
	}
	if j.payload == "" {
		j.payload = fmt.Sprintf("spec-%d-%x", b.jobSeq, b.rng.Uint32())
	}
	j.sentMs, j.okTasks, j.lastOKMs = b.nowMs(), map[taskName]int64{}, map[int]int64{}
	b.jobs[j.id] = j
	b.record(platformEvent{kind: eventJobSent, job: j.id, spec: j, queue: j.queue})
	b.send(j)
	return j
}

func (b *platformWorld) send(j *platformJob) {
	j.tries++
	asked, to := b.nowMs(), b.edge()
	b.callOfJob(to, "queue.submit", j, j.body(), func(status int, retryMs int64, body []byte) {
		b.responseCounts[fmt.Sprint("submit ", status)]++
		b.record(platformEvent{kind: eventJobResponse, job: j.id, host: to.Name, n: int64(status), requestedMs: asked})
		switch {
		case status >= 200 && status < 300:
			j.acked = true
			b.after(600_000+b.rng.Int64N(600_000), func() { b.poll(j) })
		case status == 404 || status == 400 || status == 409 || status == 401 || j.tries >= b.deployment.maxTries:
			j.gaveUp = true
			if status == 400 && len(b.badRequestBodies) < 5 {
				b.badRequestBodies = append(b.badRequestBodies, string(body))
			}
		default:
			b.after(max(retryMs, b.deployment.retryMs)*1000, func() { b.send(j) })
		}
	})
}

func (b *platformWorld) poll(j *platformJob) {
	if j.final() {
		return
	}
	b.readState(j)
	b.after(800_000+b.rng.Int64N(600_000), func() { b.poll(j) })
}

// readState reads a job's state once.
func (b *platformWorld) readState(j *platformJob) {
	asked, to := b.nowMs(), b.edge()
	b.callOfJob(to, "queue.state", j, nil, func(status int, _ int64, body []byte) {
		b.responseCounts[fmt.Sprint("state ", status)]++
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
		b.record(platformEvent{kind: eventStateShown, job: j.id, host: to.Name, text: state, requestedMs: asked})
		if j.final() {
			return
		}
		j.state = state
		if j.final() {
			j.endMs = b.nowMs()
		} else if len(j.okTasks) == j.requiredSuccesses() && !j.finalReadSent {
			j.finalReadSent = true
			b.after(150_000, func() { b.readState(j) })
		}
	})
}

func (b *platformWorld) cancel(j *platformJob) {
	if j.final() {
		return
	}
	b.record(platformEvent{kind: eventCancelSent, job: j.id})
	b.callOfJob(b.edge(), "queue.cancel", j, nil, func(status int, retryMs int64, _ []byte) {
		b.responseCounts[fmt.Sprint("cancel ", status)]++
		switch status {
		case 200:
			j.cancelled = true
			b.record(platformEvent{kind: eventCancelAcked, job: j.id})
		case 404, 409, 410:
		default:
			b.after(max(retryMs, b.deployment.retryMs)*1000, func() { b.cancel(j) })
		}
	})
}

// sentSetup is a change of the configuration, as its operator sees it.
type sentSetup struct {
	setup         *platformSetup
	version, base int64
	body          []byte
	acked         bool
}

// putSetup sends a configuration that replaces a version, until it gets a final response.
func (b *platformWorld) putSetup(s *platformSetup, version, base int64, done func(status int)) {
	b.putSetupAt("", 0, s, version, base, done)
}

// putSetupAt is putSetup whose first tries go to one machine.
func (b *platformWorld) putSetupAt(host string, tries int, s *platformSetup, version, base int64, done func(status int)) {
	b.record(platformEvent{kind: eventSetupSent, n: version, base: base, setup: s})
	o := &sentSetup{setup: s, version: version, base: base, body: s.body()}
	b.sentSetups[string(o.body)] = o
	b.sentSetupList = append(b.sentSetupList, o)
	b.openChanges++
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
			b.openChanges--
			if done != nil {
				done(status)
			}
		})
	}
	try()
}

// sendSetup sends a change once, to one machine.
func (b *platformWorld) sendSetup(o *sentSetup, to *simNode, done func(status int, retryMs int64)) {
	b.call("operator", to, platformCall{op: "setup.put", key: fmt.Sprint(o.version), expect: o.base, body: o.body}, 1000, func(status int, retryMs int64, _ []byte) {
		b.responseCounts[fmt.Sprint("setup ", status)]++
		switch status {
		case 200:
			o.acked = true
			b.record(platformEvent{kind: eventSetupAcked, n: o.version, base: o.base, setup: o.setup})
			if o.version > b.version {
				b.version, b.setup = o.version, o.setup
			}
		case 400, 409:
			b.record(platformEvent{kind: eventSetupRefused, n: o.version, base: o.base, setup: o.setup})
		}
		done(status, retryMs)
	})
}

// recordAcceptance records what a daemon acknowledges, whether the response arrives or not.
func (b *platformWorld) recordAcceptance(a sentResponse) (over bool) {
	if !a.accepted() {
		return false
	}
	switch a.call.Op {
	case "setup.put":
		if o := b.sentSetups[string(a.call.Body)]; o != nil {
			b.record(platformEvent{kind: eventSetupAccepted, n: o.version, base: o.base, setup: o.setup, host: a.from.Name})
		}
	case "queue.submit":
		b.record(platformEvent{kind: eventJobAccepted, job: a.call.Path[strings.LastIndex(a.call.Path, "/")+1:], host: a.from.Name})
	}
	return false
}

// usualSetup returns a configuration with all queues of the deployment.
func (b *platformWorld) usualSetup() *platformSetup {
	s := &platformSetup{note: fmt.Sprint(b.rng.Uint32()), tenants: copyTenants(b.tenants)}
	for _, k := range b.deployment.kinds {
		q := k.queue
		if name := b.queueNames[q.prefix]; name != "" {
			q.name = name
		}
		if service := b.queueServices[q.prefix]; service != "" {
			q.service = service
		}
		if !b.removedQueues[q.prefix] {
			s.queues = append(s.queues, q)
		}
	}
	return s
}

// change sends a newer configuration, with a version 1 to 3 higher.
func (b *platformWorld) change(edit func(*platformSetup)) {
	s := b.usualSetup()
	if edit != nil {
		edit(s)
	}
	b.putSetup(s, b.version+1+b.rng.Int64N(3), b.version, nil)
}

// sendZoneCommand sends site.empty or site.open for a zone until it is acknowledged.
func (b *platformWorld) sendZoneCommand(op, zone string, then func()) {
	if op == "site.open" {
		b.record(platformEvent{kind: eventZoneReopened, text: zone})
	} else {
		b.evacuatedZones[zone] = true
	}
	var try func()
	try = func() {
		b.call("operator", b.edge(), platformCall{op: op, key: zone}, 1000, func(status int, retryMs int64, _ []byte) {
			b.responseCounts[fmt.Sprint(op, " ", status)]++
			if status != 200 {
				b.after(max(retryMs, 100)*1000, try)
				return
			}
			if op == "site.empty" {
				b.record(platformEvent{kind: eventZoneEvacuated, text: zone})
			} else {
				delete(b.evacuatedZones, zone)
			}
			if then != nil {
				then()
			}
		})
	}
	try()
}
