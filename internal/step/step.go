// Package step is what the parts of a daemon may use while it handles one event:
// the time, random numbers and effects. A part is a struct with its own unexported
// state that gets a Context when it is made; only the one control goroutine calls
// it. Parts do no I/O and read no clock, so that the same events give the same
// effects, in the simulator as on a machine.
package step

import "math/rand/v2"

// Context belongs to one daemon. Times are those of the event that is handled.
type Context interface {
	// NowMs is the daemon's steady clock: jumps of wall time don't move it, and it
	// counts through a freeze.
	NowMs() int64
	// WallMs is the machine's wall clock. It may be wrong.
	WallMs() int64
	// Rand is seeded by the event.
	Rand() *rand.Rand
	// Send sends a message to a daemon by its name, at the address it is known at.
	Send(to string, msg any)
	// SendAt sends a message to a daemon at an address; to is "" where nobody's
	// name is known there.
	SendAt(to, addr string, msg any)
	// Log tells operators of an event, with keys and values.
	Log(event string, keysAndValues ...any)
	// Count adds one to a counter of the metrics.
	Count(counter string)
}

// Message is a message on its way to a daemon.
type Message struct {
	To  string
	Msg any
}
