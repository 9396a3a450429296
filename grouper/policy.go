package grouper

import (
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
)

// Strategy selects how a Core repairs groups.
type Strategy uint8

// The strategies. StrategyWait and StrategyRebuild are simple baselines that experiments
// compare with StrategyWeighted.
const (
	// StrategyWeighted waits for an unreachable member as long as short pauses usually last,
	// then replaces the member, and may dissolve a group to repair another.
	StrategyWeighted Strategy = iota
	// StrategyWait waits for every lost member without a time limit.
	StrategyWait
	// StrategyRebuild replaces every lost member at once by any free endpoint.
	StrategyRebuild
)

// Policy configures a Core. FailureDomain is required; every other field has the default named
// if it is zero.
type Policy struct {
	FailureDomain identifier.FailureDomain

	// Strategy selects how groups are repaired; StrategyWeighted.
	Strategy Strategy
	// OrderTTL is the time from the decision about an order to its deadline, after which it is
	// neither sent nor accepted; 2 s.
	OrderTTL time.Duration
	// LeaseTTL is the lifetime of a repair lease without renewal; 10 s.
	LeaseTTL time.Duration
	// FencingEndpoints reports whether an endpoint refuses orders with an old fencing number;
	// by default none does. An idle endpoint that does is released once more, so that it may
	// join another group at once. An endpoint that has accepted no release or load since it
	// became free waits LeaseTTL plus OrderTTL first.
	FencingEndpoints func(identifier.Endpoint) bool
	// DrainPropagation is how long a request may still reach a group after the group stopped
	// accepting new requests; 3 s.
	DrainPropagation time.Duration
	// SuccessionDelay is how long after a repair was due a standby replaces the lost member
	// without a lease holder; 5 s.
	SuccessionDelay time.Duration
	// NoStandby disables the reservation of standbys.
	NoStandby bool
	// NoPreload disables the loading of models on free endpoints before they are needed.
	NoPreload bool
	// UnreachableAfter is how long all members of a group must be unreachable before the group
	// no longer counts and another may be created instead; 2 min.
	UnreachableAfter time.Duration
	// StragglerGrace is how long a member is a straggler before it is replaced; 5 min.
	StragglerGrace time.Duration
	// MaxConcurrentLoads limits the endpoints of a fabric domain that load a model at the same
	// time; 4.
	MaxConcurrentLoads int
	// LoadTime is the assumed time to load a model until loads have been measured; 2 min.
	LoadTime time.Duration
	// FlapWindow is how long a return counts against the stability of an endpoint; 30 min.
	FlapWindow time.Duration
	// RolloutFloor is the fraction of a pool's groups that keep serving during a rollout, from
	// 0 to 1; 0.5.
	RolloutFloor float64
}

func (p Policy) withDefaults() Policy {
	defaulter.Set(&p.OrderTTL, 2*time.Second)
	defaulter.Set(&p.LeaseTTL, 10*time.Second)
	defaulter.Set(&p.DrainPropagation, 3*time.Second)
	defaulter.Set(&p.SuccessionDelay, 5*time.Second)
	defaulter.Set(&p.UnreachableAfter, 2*time.Minute)
	defaulter.Set(&p.StragglerGrace, 5*time.Minute)
	defaulter.Set(&p.MaxConcurrentLoads, 4)
	defaulter.Set(&p.LoadTime, 2*time.Minute)
	defaulter.Set(&p.FlapWindow, 30*time.Minute)
	defaulter.Set(&p.RolloutFloor, 0.5)
	if p.FencingEndpoints == nil {
		p.FencingEndpoints = func(identifier.Endpoint) bool { return false }
	}
	return p
}
