package daemon

// Constants that several parts of the daemon share; the others are declared next to the code that uses them.
// docs/settings.md explains how the values depend on each other.
const (
	tickMs            = 100      // interval of the node's tick; the waits below are multiples of it
	ownerContactMs    = 1500     // max age of an owner's reply for starting a task; a cancel must take effect within 3 s
	configFreshMs     = 1500     // max age of a configuration's confirmation; an accepted one must take effect within 2 s
	workerForgetMs    = 3600_000 // a worker without reports for an hour is removed from the views
	freezeThresholdMs = 1000     // no event for this long, at ten ticks a second, means that the machine was frozen
	shutdownTimeoutMs = 2000     // upper bound of a graceful stop, except of a core member

	msPerHour = 3600_000
)
