package scheduler

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Reason is the reason why a request waits, moves to another target or ends.
type Reason string

// The reasons.
const (
	ReasonNoTarget     Reason = "noTarget"     // no target serves the pool now
	ReasonCutOff       Reason = "cutOff"       // this instance has lost its links to most endpoints, and no peer serves the request
	ReasonStopping     Reason = "stopping"     // this instance stops and serves no more requests of peers
	ReasonOlderVersion Reason = "olderVersion" // the peer does not know requests of other instances
	ReasonFull         Reason = "full"         // every available target is full
	ReasonEvacuated    Reason = "evacuated"    // the failure domain of every target is evacuated
	ReasonPastLimits   Reason = "pastLimits"   // every available target has so many requests that this one would probably miss its goals; it waits for a moment only
	ReasonClosed       Reason = "closed"       // every target has asked for no requests for a time
	ReasonLimited      Reason = "limited"      // the limit of every target is used up
	ReasonStalled      Reason = "stalled"      // the target is stalled
	ReasonReplaced     Reason = "replaced"     // the target was removed, or replaced by another incarnation
	ReasonRecovered    Reason = "recovered"    // the attempt that was hedged has made progress
	ReasonEnded        Reason = "ended"        // the request ended while the attempt ran
	ReasonRetryBudget  Reason = "retryBudget"  // this instance's part of the retry budget is used up
	ReasonAttempts     Reason = "attempts"     // the request may have run at MaxAttempts targets
	ReasonAnswerLost   Reason = "answerLost"   // the request may have run and is not repeatable
	ReasonDeadline     Reason = "deadline"     // too little time is left until the deadline
	ReasonAllRefused   Reason = "allRefused"   // the targets refused the request before running it
	ReasonCallerGone   Reason = "callerGone"   // the caller closed its connection
	ReasonEndpointFail Reason = "endpointFail" // the endpoint answered with its own error
	ReasonSuspected    Reason = "suspected"    // an endpoint ended under the request, and a copy runs or a further endpoint may have ended
	ReasonQuarantined  Reason = "quarantined"  // endpoints ended under the request
)

// Outcome is how a request ended: Delivered, PassedThrough, NotRun, Unknown or CallerGone.
type Outcome interface{ outcome() }

// Delivered means that the caller gets the complete answer, which ended with Attempt.
type Delivered struct{ Attempt int }

// PassedThrough means that the caller gets the endpoint's own error answer, which Attempt received.
type PassedThrough struct {
	Status  int
	Attempt int
}

// NotRun means that the request has certainly not run.
type NotRun struct {
	Reason      Reason
	RetryAfter  time.Duration
	Fingerprint identifier.Fingerprint // whose restriction is the reason: that of the request or of a part; zero for other reasons
}

// Unknown means that the request may have run, completely or in part.
type Unknown struct{ Reason Reason }

// CallerGone means that the caller closed its connection before the request ended.
type CallerGone struct{}

func (Delivered) outcome()     {}
func (PassedThrough) outcome() {}
func (NotRun) outcome()        {}
func (Unknown) outcome()       {}
func (CallerGone) outcome()    {}
