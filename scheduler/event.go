package scheduler

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Event is an input of a Scheduler: TargetsChanged, InstancesSet, RetryBudgetSet, RestrictionSet,
// ProcessStated, ProcessEnded, LimitsReported, Stopping, Arrived, Progressed, Ended, CallerLeft, PeerAnswered, Probed, DemandDue or Ticked.
type Event interface{ event() }

// TargetsChanged changes the set of targets. No target is in both Changed and Removed.
type TargetsChanged struct {
	Changed  []Target              // added or replaced
	Removed  []identifier.Endpoint // targets no longer
	Complete bool                  // Changed holds all targets, so that all others are removed
}

// InstancesSet replaces the instances that share the retry budget and the limits of endpoints. This
// instance counts also if it is not among them.
type InstancesSet struct{ Instances []Instance }

// LimitsReported reports what another instance knows about the limits of processes.
type LimitsReported struct{ News []LimitNews }

// RetryBudgetSet changes the retry budget that all instances share. Ratio and Slack replace
// Config.RetryRatio and Config.RetrySlack.
type RetryBudgetSet struct{ Ratio, Slack float64 }

// RestrictionSet replaces the restriction of the requests with a fingerprint or with a part that has it.
type RestrictionSet struct {
	Fingerprint identifier.Fingerprint
	Restriction Restriction
	Until       time.Time // end of a quarantine or a trial
	Tied        int       // number of parts that are on trial together
}

// ProcessStated reports what a process of an endpoint said about itself in an answer. It is
// submitted before the Progressed or Ended event of the answer.
type ProcessStated struct {
	Process   identifier.Process
	Leaving   bool          // it leaves, so that it gets no more requests
	ClosedFor time.Duration // it wants no requests from this instance for so long; zero if it has not said so; more than a minute counts as a minute
	Limit     LimitStatement
	ColdFor   time.Duration // remaining time in which it is cold; zero if it has not said so; more than a minute counts as a minute
	SentAt    time.Time     // when the request was sent that the answer belongs to
}

// ProcessEnded reports that a process of an endpoint has ended: its address accepts no connection after one to
// it broke. Attempts there no longer count against Request.MaxAttempts.
type ProcessEnded struct{ Process identifier.Process }

// Bounds of a limit, in requests per second. A limit of MaxLimit limits nothing in practice.
const (
	MinLimit = 0.05
	MaxLimit = 1e5
)

// LimitStatement is what an answer says about the limit of its process. The zero value says nothing.
type LimitStatement struct {
	IsKnown   bool
	PerSecond float64 // requests that it takes from all instances together, from MinLimit to MaxLimit; zero if it names no limit
}

// Stopping reports that the instance stops: no request, present or later, has a deadline after At.
type Stopping struct{ At time.Time }

// Arrived reports a new request.
type Arrived struct {
	Ref     Ref
	Request Request
}

// Progressed reports that an attempt received the header of its answer or an event of its stream.
type Progressed struct {
	Ref     Ref
	Attempt int
	Event   bool // an event arrived, not only the header
	Load    Load
}

// Ended reports the end of an attempt.
type Ended struct {
	Ref     Ref
	Attempt int
	Ending  Ending
	Load    Load
}

// CallerLeft reports that the caller closed its connection.
type CallerLeft struct{ Ref Ref }

// PeerAnswered reports that a peer has got an answer of a process for this instance.
type PeerAnswered struct{ Process identifier.Process }

// Probed reports the end of a probe.
type Probed struct {
	Target   *Target
	Answered bool
}

// DemandDue asks for a DemandReport if the interval since the last one is over, also if nothing has arrived. Ticks don't come while no
// request is in flight.
type DemandDue struct{}

// Ticked follows a WakeAt action at its time.
type Ticked struct{}

func (TargetsChanged) event() {}
func (InstancesSet) event()   {}
func (LimitsReported) event() {}
func (RetryBudgetSet) event() {}
func (RestrictionSet) event() {}
func (ProcessStated) event()  {}
func (ProcessEnded) event()   {}
func (Stopping) event()       {}
func (Arrived) event()        {}
func (Progressed) event()     {}
func (Ended) event()          {}
func (CallerLeft) event()     {}
func (Probed) event()         {}
func (PeerAnswered) event()   {}
func (DemandDue) event()      {}
func (Ticked) event()         {}
