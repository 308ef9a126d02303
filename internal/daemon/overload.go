package daemon

const (
	// overloadLateMs is the mean lateness of ticks above which a daemon is overloaded: its control thread
	// can't keep up. Polls and lease renewals still arrive in time, but there is little margin left.
	overloadLateMs = 100
	// overloadEndMs is the mean lateness below which the daemon has caught up.
	overloadEndMs = 30
	// overloadHoldMs is the minimum duration of an overload, so that roles don't return as soon as they
	// have moved away.
	overloadHoldMs = 10_000
	// latenessWeight is the weight of the newest tick in the moving mean, which covers about two seconds.
	latenessWeight = 0.05
)

// overloadMeter measures how late the control thread of this daemon runs. Ticks are due each tickMs, and
// events queued before a tick delay it.
type overloadMeter struct {
	lastMs      int64
	meanLateMs  float64 // moving mean of the lateness of ticks
	lastAboveMs int64   // when the mean was last above overloadLateMs
	overloaded  bool
}

// onTick records a tick. A single tick later than freezeThresholdMs is a freeze, not an overload, and is
// not counted.
func (m *overloadMeter) onTick(nowMs int64) {
	lateMs := nowMs - m.lastMs - tickMs
	first := m.lastMs == 0
	m.lastMs = nowMs
	if first || lateMs > freezeThresholdMs {
		return
	}
	m.meanLateMs += latenessWeight * (float64(max(lateMs, 0)) - m.meanLateMs)
	switch {
	case m.meanLateMs > overloadLateMs:
		m.overloaded, m.lastAboveMs = true, nowMs
	case m.overloaded && m.meanLateMs < overloadEndMs && nowMs-m.lastAboveMs > overloadHoldMs:
		m.overloaded = false
	}
}
