package daemon

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A control thread that falls behind for seconds is strained, and stays so for a while; a
// freeze, a single late tick and small lateness are not strain.
func TestStrain(t *testing.T) {
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
	ticks(60, 0) // it has caught up, but not for long
	must.True(t, s.overloaded)
	ticks(60, 0)
	must.False(t, s.overloaded)
}
