package daemon

const (
	// overloadLateMs: ticks come this much too late, in the mean, at a daemon whose control
	// thread can't keep up: polls and leases still fit, but not much more.
	overloadLateMs = 100
	// overloadEndMs: below this mean it has caught up.
	overloadEndMs = 30
	// overloadHoldMs is how long a daemon stays strained at the least, so that roles don't
	// come back as soon as they have left.
	overloadHoldMs = 10_000
	// latenessWeight is the share of the newest tick in the mean: about the last two seconds count.
	latenessWeight = 0.05
)

// overloadMeter observes how late a daemon's own control thread runs. Ticks are due each
// tickMs; what waits before a tick delays it.
type overloadMeter struct {
	lastMs      int64
	meanLateMs  float64 // mean of how late the last ticks came
	lastAboveMs int64   // when it was last above overloadLateMs
	overloaded  bool
}

// onTick takes a tick at a time. One long stop is a freeze, not strain.
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
