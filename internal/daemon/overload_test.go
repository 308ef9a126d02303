package daemon

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A control loop that is late for seconds counts as overloaded, and does so for a while after it has
// caught up. A freeze, a single late tick and small delays don't count.
func TestOverloadMeter(t *testing.T) {
	s := &overloadMeter{}
	now := int64(1000)
	ticks := func(count int, lateMs int64) {
		for range count {
			now += tickMs + lateMs
			s.onTick(now)
		}
	}
	ticks(100, 20)
	must.False(t, s.overloaded)
	ticks(1, 5000)
	must.False(t, s.overloaded)
	ticks(1, 600)
	must.False(t, s.overloaded)
	ticks(60, 200)
	must.True(t, s.overloaded)
	ticks(60, 0) // it has caught up, but only recently
	must.True(t, s.overloaded)
	ticks(60, 0)
	must.False(t, s.overloaded)
}
