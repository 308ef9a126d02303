package quota

import (
	"testing"

	"github.com/shoenig/test/must"
)

// While less than half of the limit is lent, single tasks wait for less than 3 s beside two gangs
// that don't fit, for any offset between the hold-back phases of the gangs.
func TestTwoGangsDoNotStarveSingleTask(t *testing.T) {
	for _, offsetMs := range []int64{0, 500, 1000, 1500, 2000, 2500} {
		c := NewCounter("a", 1)
		p := CounterConfig{Shards: []string{"a", "b", "c"}, Limits: limitsOf(1, Limit{CPU: 100})}
		c.OnReport("n1", report("a", 1, 1, 30)) // a long-running task
		lentMs := int64(-1)
		for ms, seq := int64(0), uint64(1); ms <= 6000 && lentMs < 0; ms, seq = ms+100, seq+1 {
			c.OnReport("n2", report("b", seq, 1, 0,
				withWaitMs(claimOf("1", 0, 0, 80, 1), holdBackAfterMs+offsetMs+ms),
				withWaitMs(claimOf("2", 0, 1, 80, 1), holdBackAfterMs+ms)))
			c.OnReport("n3", report("c", seq, 1, 0, withWaitMs(claimOf("3", 0, 2, 2, 1), ms)))
			c.Lend(p)
			if c.Lent("t") == cpu(32) {
				lentMs = ms
			}
		}
		must.Between(t, 0, lentMs, 2999, must.Sprintf("the second gang came %d ms after the first", offsetMs))
	}
}
