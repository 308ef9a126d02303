// Package step defines the interface through which the components of a daemon use the time, random
// numbers and effects while the daemon handles one event. A component is a struct with unexported
// state that receives a Context when it is created; only the control goroutine calls it. Components
// do no I/O and read no clock, so that the same events cause the same effects, both in the
// simulator and on a real machine.
package step

import "math/rand/v2"

// Context provides time, randomness and effects to the components of one daemon. Times are
// those of the current event.
type Context interface {
	// NowMs returns the daemon's monotonic clock. It is unaffected by changes of the wall
	// clock and continues while the process is frozen.
	NowMs() int64
	// WallMs returns the machine's wall clock, which may be wrong.
	WallMs() int64
	// Rand returns a random number generator seeded by the event.
	Rand() *rand.Rand
	// Send sends a message to a daemon at its last known address.
	Send(to string, msg any)
	// SendAt sends a message to a daemon at an address; to is "" if the daemon's name is
	// unknown.
	SendAt(to, addr string, msg any)
	// Log logs an event with keys and values for operators.
	Log(event string, keysAndValues ...any)
	// Count increments a counter of the metrics.
	Count(counter string)
}

// Message is a message and the name of the daemon to send it to.
type Message struct {
	To  string
	Msg any
}
