package daemon

// Constants that bound several parts of the daemon, each with its unit in the name and the
// reason for its size; all others stand beside what they bound. They hang together: docs/settings.md.
const (
	tickMs            = 100      // the reducer's heartbeat; every wait below is a multiple
	ownerContactMs    = 1500     // an order needs the owner's word this fresh; a cancel must bite in 3 s
	configFreshMs     = 1500     // a configuration must be confirmed this freshly; an acked one must bite in 2 s
	workerForgetMs    = 3600_000 // a worker not heard of for an hour leaves the views
	freezeThresholdMs = 1000     // no event for that long, with ten ticks a second: the machine stood still
	shutdownTimeoutMs = 2000     // a graceful stop ends in this time whatever happens, but for a core member's

	msPerHour = 3600_000
)
