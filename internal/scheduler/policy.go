// Package scheduler holds decisions of scheduling as named policies. It knows no network,
// no clock and no disk: a policy gets what it looks at, and gives what it decides.
//
// Every policy that no rule needs can be switched off for a trial: see Set. More of the
// decisions still stand in package daemon; docs/ROADMAP.md says which.
package scheduler

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Policy names a decision.
type Policy string

// The policies, and where they decide.
const (
	// UrgentRoom keeps room for the most urgent queues by what they were seen to use,
	// instead of a fixed share of each worker.
	UrgentRoom Policy = "urgent_room"
	// RetryAtOnce starts a task that failed for the first time again without a pause.
	RetryAtOnce Policy = "retry_at_once"
	// NearData prefers workers in the rack that holds a step's data.
	NearData Policy = "near_data"
	// RackWait has gangs that ask for one rack wait for room in one.
	RackWait Policy = "rack_wait"
	// AvoidLast keeps a task from the worker where it last failed.
	AvoidLast Policy = "avoid_last"
	// EjectUnhealthy gives no more work to workers that fail or lag far more than others.
	EjectUnhealthy Policy = "eject_unhealthy"
	// AvoidSilent gives new work to workers that were just heard of before others.
	AvoidSilent Policy = "shun_quiet"
	// LearnedEstimates corrects callers' guesses of run times by how earlier ones turned out.
	LearnedEstimates Policy = "learned_estimates"
	// Recall takes back tasks that wait at a worker while another has room.
	Recall Policy = "recall"
	// Promotion makes long-running queueable tasks guaranteed where the room is sure.
	Promotion Policy = "promotion"
	// Reservation keeps workers back for guaranteed tasks that waited long.
	Reservation Policy = "reservation"
	// Backfill lets what waited long take kept room while most of all room is free.
	Backfill Policy = "backfill"
	// StrongRoles gives roles to strong machines before those of the own zone.
	StrongRoles Policy = "strong_roles"
	// GatherWrites has an owner gather record changes while a batch is on its way.
	GatherWrites Policy = "gather_writes"
	// ForwardRetry forwards a call a second time, out of a budget.
	ForwardRetry Policy = "forward_retry"
	// RankedChoice draws among the workers of lowest rank; without it among all allowed ones.
	RankedChoice Policy = "ranked_choice"
	// DelayTarget sheds unstarted tasks above the coordinator's target.
	DelayTarget Policy = "delay_target"
	// TenantWeight puts what a tenant sends beyond its weight behind all that others send.
	TenantWeight Policy = "tenant_weight"
	// WeightedFairness gives guaranteed places first to the tenant that has the least by its weight.
	WeightedFairness Policy = "weighted_fairness"
)

// The design names these as its ordinary path, or a rule needs them: they stay on.
var required = map[Policy]string{
	"class_rule":       "the design's ordinary path",
	"sure_room":        "the rule that no worker gets more than it has",
	"agent_queue":      "the design's ordinary path",
	"preemption":       "the design's ordinary path",
	"unstarted_only":   "the design's ordinary path",
	"health_by_report": "the rule on draining workers",
}

var optional = []Policy{
	UrgentRoom, RetryAtOnce, NearData, RackWait, AvoidLast, EjectUnhealthy, AvoidSilent, LearnedEstimates, Recall, Promotion,
	Reservation, Backfill, StrongRoles, GatherWrites, ForwardRetry, RankedChoice, DelayTarget,
	TenantWeight, WeightedFairness,
}

// ErrPolicy tells that a policy isn't known, or can't be switched off.
var ErrPolicy = errors.New("policy")

// Set is the policies that are switched off. Its zero value has all of them on.
type Set struct{ off []Policy }

// ParseSet reads a list of policies to switch off, parted by commas.
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

// On tells whether a policy decides.
func (s Set) On(p Policy) bool { return !slices.Contains(s.off, p) }

// Names gives the policies that are off, in the order in which they were named.
func (s Set) Names() (names []string) {
	for _, p := range s.off {
		names = append(names, string(p))
	}
	return names
}
