package grouper

import (
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
)

// Strategy is how a Core repairs groups.
type Strategy uint8

// The strategies. Those other than StrategyWeighted are the plain ones that it is measured against.
const (
	// StrategyWeighted waits as long as pauses last, replaces the rest, and breaks groups up.
	StrategyWeighted Strategy = iota
	// StrategyWait waits for every lost member, however long it takes.
	StrategyWait
	// StrategyRebuild replaces every lost member at once, by any free endpoint.
	StrategyRebuild
)

// Policy configures a Core. FailureDomain is required; other zero fields take the defaults named.
type Policy struct {
	FailureDomain identifier.FailureDomain

	// Strategy is how groups are repaired; StrategyWeighted.
	Strategy Strategy
	// OrderTTL is how long after its decision an order may still be sent and obeyed; 2 s.
	OrderTTL time.Duration
	// LeaseTTL is the life of a repair lease without renewal; 10 s.
	LeaseTTL time.Duration
	// FencingEndpoints are the endpoints that refuse an order with an old fencing number. An
	// endpoint that is not named here waits LeaseTTL and OrderTTL before it joins another group.
	FencingEndpoints func(identifier.Endpoint) bool
	// DrainPropagation is how long after a group was recorded as draining a request may still reach it; 3 s.
	DrainPropagation time.Duration
	// SuccessionDelay is how long after it was time for a repair standbys succeed on their own; 5 s.
	SuccessionDelay time.Duration
	// NoStandby turns the promises of standbys off.
	NoStandby bool
	// NoPreload keeps free endpoints from loading a model before they are needed.
	NoPreload bool
	// UnreachableAfter is how long all members of a group are away before others may be built for it; 2 min.
	UnreachableAfter time.Duration
	// StragglerGrace is how long a member is a straggler before it is replaced; 5 min.
	StragglerGrace time.Duration
	// MaxConcurrentLoads bounds the endpoints of a fabric domain that load a model at one time; 4.
	MaxConcurrentLoads int
	// LoadTime is how long an endpoint takes to load a model, until loads were seen; 2 min.
	LoadTime time.Duration
	// FlapWindow is how long a return counts against an endpoint's stability; 30 min.
	FlapWindow time.Duration
	// RolloutFloor is the share of a pool's groups that keep serving in a rollout, 0 to 1; 0.5.
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
