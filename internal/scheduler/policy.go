// Package scheduler implements scheduling decisions as named policies. It uses no network,
// clock or disk: each policy is a function of its arguments.
//
// A policy that is not required can be disabled for an experiment, see Set. Some decisions
// are still in package daemon; docs/ROADMAP.md lists them.
package scheduler

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Policy is the name of a scheduling policy.
type Policy string

// The optional policies.
const (
	// UrgentRoom sizes the headroom for the most urgent queues by their observed usage
	// instead of by a fixed share of each worker.
	UrgentRoom Policy = "urgent_room"
	// RetryAtOnce retries a task without backoff after its first failure.
	RetryAtOnce Policy = "retry_at_once"
	// NearData prefers workers in the rack that holds a step's data.
	NearData Policy = "near_data"
	// RackWait makes a gang that requests a single rack wait until one has capacity.
	RackWait Policy = "rack_wait"
	// AvoidLast avoids the worker where a task last failed.
	AvoidLast Policy = "avoid_last"
	// EjectUnhealthy gives no new work to workers that fail or lag far more than others.
	EjectUnhealthy Policy = "eject_unhealthy"
	// AvoidSilent prefers workers with a recent heartbeat for new work.
	AvoidSilent Policy = "shun_quiet"
	// LearnedEstimates corrects callers' run time estimates by the mean error of earlier estimates.
	LearnedEstimates Policy = "learned_estimates"
	// Recall takes back tasks that are queued at a worker while another has free capacity.
	Recall Policy = "recall"
	// Promotion makes long-running queueable tasks guaranteed where the capacity for it exists.
	Promotion Policy = "promotion"
	// Reservation reserves workers for guaranteed tasks that have waited long.
	Reservation Policy = "reservation"
	// Backfill lets tasks that have waited long use reserved capacity while most of the fleet is free.
	Backfill Policy = "backfill"
	// StrongRoles assigns roles to powerful machines before machines of the local zone.
	StrongRoles Policy = "strong_roles"
	// GatherWrites makes an owner collect record changes while an earlier batch is in flight.
	GatherWrites Policy = "gather_writes"
	// ForwardRetry forwards a request a second time, within a retry budget.
	ForwardRetry Policy = "forward_retry"
	// RankedChoice draws among the workers of lowest rank instead of among all allowed ones.
	RankedChoice Policy = "ranked_choice"
	// DelayTarget returns queued tasks to their owners while their worker's rank exceeds the
	// coordinator's target delay.
	DelayTarget Policy = "delay_target"
	// TenantWeight ranks jobs that a tenant submits beyond its weight below the jobs of all others.
	TenantWeight Policy = "tenant_weight"
	// WeightedFairness allocates guaranteed capacity first to the tenant with the least weighted share.
	WeightedFairness Policy = "weighted_fairness"
)

// required maps each policy that can't be disabled to the reason.
var required = map[Policy]string{
	"class_rule":       "it is part of the core scheduling path",
	"sure_room":        "workers must never be overcommitted",
	"agent_queue":      "it is part of the core scheduling path",
	"preemption":       "it is part of the core scheduling path",
	"unstarted_only":   "it is part of the core scheduling path",
	"health_by_report": "draining workers depends on it",
}

// optional lists the policies that can be disabled.
var optional = []Policy{
	UrgentRoom, RetryAtOnce, NearData, RackWait, AvoidLast, EjectUnhealthy, AvoidSilent, LearnedEstimates, Recall,
	Promotion, Reservation, Backfill, StrongRoles, GatherWrites, ForwardRetry, RankedChoice, DelayTarget,
	TenantWeight, WeightedFairness,
}

// ErrPolicy means that a policy is unknown or can't be disabled.
var ErrPolicy = errors.New("policy")

// Set records which policies are disabled. In the zero value all are enabled.
type Set struct{ off []Policy }

// ParseSet parses a comma-separated list of policies to disable.
//
// Example: off, err := scheduler.ParseSet("recall,rack_wait")
func ParseSet(list string) (Set, error) {
	var s Set
	for _, name := range strings.Split(list, ",") {
		p := Policy(strings.TrimSpace(name))
		if p == "" {
			continue
		}
		if why, ok := required[p]; ok {
			return Set{}, errors.Wrapf(ErrPolicy, "%s can't be switched off: %s", p, why)
		}
		if !slices.Contains(optional, p) {
			return Set{}, errors.Wrapf(ErrPolicy, "%s is not known", p)
		}
		s.off = append(s.off, p)
	}
	return s, nil
}

// On reports whether a policy is enabled.
func (s Set) On(p Policy) bool { return !slices.Contains(s.off, p) }

// Names returns the disabled policies in the order in which they were listed.
func (s Set) Names() (names []string) {
	for _, p := range s.off {
		names = append(names, string(p))
	}
	return names
}
