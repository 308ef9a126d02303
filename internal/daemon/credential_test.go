package daemon

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"otterchute/internal/configuration"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// revokedWithinMs is the time after the acknowledged removal of a key within which every daemon must
// refuse it: the shortest that the platform's deployments require.
const revokedWithinMs = 2000

// credentialWorld is a world with a queue that requires a key, and an operator who changes the keys.
type credentialWorld struct {
	*world
	version int64
	calls   []*credentialCall
}

// credentialCall records a call with a key and its reply.
type credentialCall struct {
	host, key  string
	sentMs     int64
	status     int // 0 without a reply
	answeredMs int64
}

// admitted reports whether the key was accepted, whatever the job's owner replied.
func (c *credentialCall) admitted() bool { return c.status != 0 && c.status != 401 && c.status != 503 }

func newCredentialWorld(t *testing.T, seed uint64, keys ...string) *credentialWorld {
	t.Helper()
	w := &credentialWorld{world: servingWorld(t, seed)}
	w.change(t, keys...)
	w.run(2000)
	return w
}

func digestOf(key string) string {
	digest := configuration.DigestOfKey(key)
	return hex.EncodeToString(digest[:])
}

// change replaces the keys of the one tenant, and returns once the change is acknowledged.
func (w *credentialWorld) change(t *testing.T, keys ...string) {
	t.Helper()
	digests := []string{}
	for _, key := range keys {
		digests = append(digests, digestOf(key))
	}
	w.version++
	doc := mustJSON(map[string]any{
		"queues": []map[string]any{
			{"name": "q", "addresses": []map[string]string{{"host": "h.example", "prefix": "/p/"}}},
			{"name": "free", "open": true, "addresses": []map[string]string{{"host": "h.example", "prefix": "/free/"}}},
		},
		"tenants": []map[string]any{{"name": "a", "key_digests": digests}},
		"source":  map[string]any{"tenants": []map[string]any{{"name": "a", "apiKeys": keys}}},
	})
	for range 20 {
		got := w.callAndWait(w.nodes["d00"], evRequest{Op: "setup.put", Key: fmt.Sprint(w.version), Base: w.version - 1, Body: doc}, 2000)
		if got.status == 200 {
			return
		}
		must.Eq(t, 503, got.status, must.Sprint(got.body))
	}
	t.Fatal("the change of the keys was not acknowledged")
}

// callAll sends a call with a key to every daemon at once.
func (w *credentialWorld) callAll(key string) {
	for _, host := range sortedKeys(w.nodes) {
		c := &credentialCall{host: host, key: key, sentMs: w.nowMs()}
		w.calls = append(w.calls, c)
		w.call("caller", w.nodes[host], evRequest{Op: "queue.state", Host: "h.example", Path: "/p/none", Base: -1, Credential: key}, 4000, func(status int, _ int64, _ []byte) {
			c.status, c.answeredMs = status, w.nowMs()
		})
	}
}

// callFor calls every daemon with these keys at a fixed interval.
func (w *credentialWorld) callFor(ms int64, keys ...string) {
	const paceMs = 40
	for range ms / paceMs {
		for _, key := range keys {
			w.callAll(key)
		}
		w.run(paceMs)
	}
}

// credentialFaults are faults that begin as keys change. host is the last daemon, which has no disk.
var credentialFaults = map[string]struct {
	begin   func(w *credentialWorld, host string)
	noFault bool
}{
	"calm":                    {begin: func(*credentialWorld, string) {}, noFault: true},
	"cut off":                 {begin: func(w *credentialWorld, host string) { w.cutFrom(host, w.members(), true, true) }},
	"receives from no member": {begin: func(w *credentialWorld, host string) { w.cutFrom(host, w.members(), false, true) }},
	"frozen for 3 s":          {begin: func(w *credentialWorld, host string) { w.nodes[host].freeze(3000) }},
	"member cut off":          {begin: func(w *credentialWorld, _ string) { w.cutHost("d02") }},
	"late polls":              {begin: func(w *credentialWorld, host string) { w.delayPolls(host, 300) }},
	"very late polls":         {begin: func(w *credentialWorld, host string) { w.delayPolls(host, 1300) }},
	"late, then none": {begin: func(w *credentialWorld, host string) {
		w.delayPolls(host, 1200)
		w.after(200_000, func() { w.cutFrom(host, w.members(), true, true) })
	}},
	"late values":      {begin: func(w *credentialWorld, host string) { w.delayValues(host, 1000) }},
	"restarted member": {begin: func(w *credentialWorld, _ string) { w.nodes["d01"].kill(true); w.after(400_000, w.nodes["d01"].start) }},
}

func (w *credentialWorld) members() []string { return []string{"d00", "d01", "d02"} }

// delayPolls delays the core members' replies to a daemon's polls.
func (w *credentialWorld) delayPolls(host string, ms int64) {
	w.extraDelayUs = func(_, to string, msg any) int64 {
		if _, ok := msg.(*wire.PollResponse); ok && to == host {
			return ms * 1000
		}
		return 0
	}
}

// delayValues delays configuration documents on their way to a daemon.
func (w *credentialWorld) delayValues(host string, ms int64) {
	w.extraDelayUs = func(_, to string, msg any) int64 {
		if _, ok := msg.(*wire.RegisterValue); ok && to == host {
			return ms * 1000
		}
		return 0
	}
}

// Guards against an added key that a daemon refuses after the acknowledgement, however late its polls
// are, and against a removed key that is accepted after revokedWithinMs. Without faults every daemon
// accepts the first and refuses the second.
func TestKeysOnceAcknowledged(t *testing.T) {
	for _, name := range sortedKeys(credentialFaults) {
		fault := credentialFaults[name]
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				w := newCredentialWorld(t, 400+seed, "kept", "old")
				faultyHost := sortedKeys(w.nodes)[len(w.nodes)-1]
				fault.begin(w, faultyHost)
				w.change(t, "kept", "new")
				changedMs := w.nowMs()
				w.callFor(3200, "kept", "new", "old")
				w.heal()
				w.extraDelayUs = nil
				w.run(5000)
				for _, c := range w.calls {
					details := must.Sprintf("seed %d: %s, key %s, %d ms after the acknowledgement: %d", seed, c.host, c.key, c.sentMs-changedMs, c.status)
					switch {
					case c.key != "old":
						must.NotEq(t, 401, c.status, details)
						must.True(t, c.admitted() || !fault.noFault, details)
					case c.sentMs >= changedMs+revokedWithinMs:
						must.False(t, c.admitted(), details)
						must.True(t, c.status == 401 || !fault.noFault, details)
					}
				}
			}
		})
	}
}

// Guards against a 401 by a configuration that was confirmed before the call arrived: a version
// acknowledged since may have the key. The call waits for a later confirmation; without one its
// outcome stays unknown.
func TestUnknownKeyIsRefusedByALaterConfirmation(t *testing.T) {
	w := newCredentialWorld(t, 17, "kept")
	host := sortedKeys(w.nodes)[len(w.nodes)-1]
	n := w.nodes[host]
	for range 40 {
		w.run(37)
		must.True(t, n.executor.node.configFresh())
		sentBefore, confirmedBy, done := n.executor.node.leases.LatestRound(), uint64(0), false
		w.call("caller", n, evRequest{Op: "queue.state", Host: "h.example", Path: "/p/none", Base: -1, Credential: "unknown"}, 3000, func(status int, _ int64, _ []byte) {
			must.Eq(t, 401, status)
			done = true
		})
		w.until(3000, func() bool {
			if !done {
				confirmedBy = n.executor.node.config.confirmedPoll
			}
			return done
		})
		must.True(t, done)
		must.Greater(t, sentBefore, confirmedBy)
	}
	must.Positive(t, n.executor.node.counts["calls_unauthenticated"])
	w.cutFrom(host, w.members(), true, true)
	w.callFor(4000, "unknown")
	w.run(4000)
	for _, c := range w.calls {
		if c.host == host {
			must.True(t, c.status == 503 || c.status == 0, must.Sprintf("cut off, %d ms: %d", c.sentMs, c.status))
		}
	}
}

// Guards against calls with no key or an unknown one that are accepted at a queue that requires a key,
// and against open queues and unknown addresses that require one.
func TestWhichCallsNeedAKey(t *testing.T) {
	w := newCredentialWorld(t, 23, "kept", "")
	job := []byte(`{"steps":[{"name":"a","count":1,"room":1,"estimate_ms":50}]}`)
	callAt := func(op, path, key string) int {
		return w.callAndWait(w.nodes["d00"], evRequest{Op: op, Host: "h.example", Path: path, Base: -1, Body: job, Credential: key}, 4000).status
	}
	for _, key := range []string{"", "unknown", digestOf("kept"), "KEPT"} {
		for _, op := range []string{"queue.submit", "queue.state", "queue.cancel"} {
			must.Eq(t, 401, callAt(op, "/p/job-1", key), must.Sprint(op, " ", key))
			must.Eq(t, 404, callAt(op, "/nowhere/job-1", key))
		}
		must.Eq(t, 401, callAt("queue.state", "/p/", key))
		must.Eq(t, 200, callAt("queue.state", "/free/", key))
	}
	must.Eq(t, 201, callAt("queue.submit", "/free/job-2", ""))
	must.Eq(t, 201, callAt("queue.submit", "/p/job-1", "kept"))
	must.Eq(t, 200, callAt("queue.state", "/p/job-1", "kept"))
	must.Eq(t, 401, callAt("queue.state", "/p/job-1", "unknown"))
	w.change(t)
	must.Eq(t, 401, callAt("queue.state", "/p/job-1", "kept"))
	must.Eq(t, 401, callAt("queue.cancel", "/p/job-1", "kept"))
	must.Eq(t, 200, callAt("queue.state", "/free/job-2", "kept"))
}

// Guards against leaked keys: a caller's key, known or not, must not appear in log lines, messages
// between daemons, disk entries, replies or names of counts.
func TestKeysDoNotLeak(t *testing.T) {
	w := &credentialWorld{world: servingWorld(t, 29)}
	w.keepLogs = true
	var leaks []string
	find := func(where string, text []byte) {
		for _, key := range []string{"kept-3c1b7f", "unknown-9ac04d"} {
			digest := configuration.DigestOfKey(key)
			for form, secret := range map[string][]byte{"key": []byte(key), "digest": digest[:], "digest in hex": []byte(digestOf(key))} {
				if bytes.Contains(text, secret) {
					leaks = append(leaks, fmt.Sprintf("the %s of key %s in %s", form, key, where))
				}
			}
		}
	}
	w.onSend = func(_, _ string, msg any, _ int) { find(fmt.Sprintf("%T", msg), wire.EncodeFrame(wire.Header{}, msg)) }
	w.change(t, "kept-3c1b7f")
	w.run(2000)
	job := []byte(`{"steps":[{"name":"a","count":1,"room":1,"estimate_ms":50}]}`)
	for i, key := range []string{"kept-3c1b7f", "unknown-9ac04d"} {
		for _, host := range sortedKeys(w.nodes) {
			for _, op := range []string{"queue.submit", "queue.state", "queue.cancel"} {
				got := w.callAndWait(w.nodes[host], evRequest{Op: op, Host: "h.example", Path: "/p/job-" + host, Base: -1, Body: job, Credential: key}, 4000)
				must.Eq(t, i == 1, got.status == 401, must.Sprint(host, " ", op, " ", got))
				find("a reply", []byte(got.body))
			}
		}
	}
	w.change(t)
	w.run(3000)
	find("the log", []byte(strings.Join(w.logs, "\n")))
	for _, host := range sortedKeys(w.nodes) {
		for _, entry := range w.nodes[host].disk.entries {
			find("the disk of "+host, entry)
		}
		for _, op := range []string{"soundness", "members", "workers"} {
			find(op, []byte(w.callAndWait(w.nodes[host], evRequest{Op: op, Base: -1}, 2000).body))
		}
		find("the counts of "+host, []byte(strings.Join(sortedKeys(w.nodes[host].executor.node.counts), " ")))
	}
	must.Positive(t, len(w.logs))
	must.SliceEmpty(t, leaks)
}
