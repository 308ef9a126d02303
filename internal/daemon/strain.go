package daemon

const (
	// strainLateMs: ticks come this much too late, in the mean, at a daemon whose control
	// thread can't keep up: polls and leases still fit, but not much more.
	strainLateMs = 100
	// strainEndMs: below this mean it has caught up.
	strainEndMs = 30
	// strainHoldMs is how long a daemon stays strained at the least, so that roles don't
	// come back as soon as they have left.
	strainHoldMs = 10_000
	// strainWeight is the share of the newest tick in the mean: about the last two seconds count.
	strainWeight = 0.05
)

// overloadMeter observes how late a daemon's own control thread runs. Ticks are due each
// tickMs; what waits before a tick delays it.
type overloadMeter struct {
	lastMs     int64
	lateMs     float64 // mean of how late the last ticks came
	sinceMs    int64   // when it was last above strainLateMs
	overloaded bool
}

// onTick takes a tick at a time. One long stop is a freeze, not strain.
func (s *overloadMeter) onTick(nowMs int64) {
	late := nowMs - s.lastMs - tickMs
	first := s.lastMs == 0
	s.lastMs = nowMs
	if first || late > freezeThresholdMs {
		return
	}
	s.lateMs += strainWeight * (float64(max(late, 0)) - s.lateMs)
	switch {
	case s.lateMs > strainLateMs:
		s.overloaded, s.sinceMs = true, nowMs
	case s.overloaded && s.lateMs < strainEndMs && nowMs-s.sinceMs > strainHoldMs:
		s.overloaded = false
	}
}
