package scheduler

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Ref identifies a request at this instance from its arrival to its outcome.
type Ref uint64

// Request holds the properties of a request that scheduling depends on.
type Request struct {
	Fingerprint  identifier.Fingerprint   // the same for all tries of the request; see RestrictionSet
	Parts        []identifier.Fingerprint // of the parts of the prompt that other requests may share; see RestrictionSet
	Service      identifier.Service       // service whose retry budget pays for retries
	Pool         identifier.Pool
	Repeatable   bool // may run at a second target after a first target may have run it
	Stream       bool
	ArrivedAt    time.Time
	PromptTokens int           // zero if unknown
	LatencyGoal  time.Duration // time from arrival to the first event or complete answer
	GapGoal      time.Duration // time between two events of a stream
	Deadline     time.Time     // after which the caller no longer waits for the answer
	MaxAttempts  int           // number of targets that may run the request
	Priority     int           // 0 is the highest priority
}

// Event is an input of a Scheduler: TargetsChanged, InstancesSet, RetryBudgetSet, RestrictionSet,
// ProcessStated, LimitsReported, Arrived, Progressed, Ended, CallerLeft or Ticked.
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
	SentAt    time.Time // when the request was sent that the answer belongs to
}

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

// Ticked follows a WakeAt action at its time.
type Ticked struct{}

func (TargetsChanged) event() {}
func (InstancesSet) event()   {}
func (LimitsReported) event() {}
func (RetryBudgetSet) event() {}
func (RestrictionSet) event() {}
func (ProcessStated) event()  {}
func (Arrived) event()        {}
func (Progressed) event()     {}
func (Ended) event()          {}
func (CallerLeft) event()     {}
func (Ticked) event()         {}

// Ending is how an attempt ended: Completed, NotSent, Refused, Failed, Broken, Abandoned or Expired.
type Ending interface{ ending() }

// Completed means that the caller received the complete answer, or that it is held for the caller.
type Completed struct{}

// NotSent means that no byte of the request was sent.
type NotSent struct{}

// Refused means that the endpoint itself answered that it did not run the request.
type Refused struct {
	Status      int
	Misdirected bool // the endpoint no longer serves requests at its address
}

// Failed means that the endpoint answered with its own error, which can be passed through to the caller.
type Failed struct{ Status int }

// Broken means that no complete and valid answer was received and that the request may have run.
type Broken struct{}

// Abandoned means that an Abandon action ended the attempt. It has no effect, because the
// request went on without the attempt when the action was issued.
type Abandoned struct{}

// Expired means that the deadline passed during the attempt.
type Expired struct{}

func (Completed) ending() {}
func (NotSent) ending()   {}
func (Refused) ending()   {}
func (Failed) ending()    {}
func (Broken) ending()    {}
func (Abandoned) ending() {}
func (Expired) ending()   {}

// EndingName returns the name of an ending in logs and metrics.
func EndingName(e Ending) string {
	switch e.(type) {
	case Completed:
		return "whole"
	case NotSent:
		return "notSent"
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	case Broken:
		return "broken"
	case Abandoned:
		return "abandoned"
	case Expired:
		return "expired"
	}
	return ""
}

// Action is an output of a Scheduler: Send, Abandon, Wait, Finish, Stalled, Recovered,
// LeavingStated, LimitChanged, LimitReport, LatencyReport or WakeAt.
type Action interface{ action() }

// Send starts an attempt: the request is sent to Target. An attempt that hedges others runs
// beside them. The first of them that makes progress answers the request, and the others are
// abandoned; a stream resumes after the last event that the caller has received when the
// attempt starts.
type Send struct {
	Ref     Ref
	Attempt int
	Target  *Target
	Load    float64 // estimated load of the target when it was chosen, as a fraction of its slots
	Hedges  Reason  // why the attempt hedges the attempt that runs; empty if none runs
}

// Abandon cancels a running attempt, whose answer is no longer needed. No event of it may reach
// the caller any more.
type Abandon struct {
	Ref     Ref
	Attempt int
	Reason  Reason
}

// Wait reports that the request waits for a target.
type Wait struct {
	Ref    Ref
	Reason Reason
	Until  time.Time // when the request is given up if no target is available
}

// Finish ends the request. It is the last action of a request.
type Finish struct {
	Ref     Ref
	Outcome Outcome
}

// Stalled reports that a target makes no progress, that a connection to it failed, or that
// its endpoint no longer serves at its address. The target gets only trial requests.
type Stalled struct {
	Target  *Target
	Silence time.Duration // time without progress; zero if a connection failed or the endpoint has moved
}

// Recovered reports that a stalled target makes progress again.
type Recovered struct{ Target *Target }

// LeavingStated reports that a process has said for the first time that it leaves. It gets no
// more requests; those that run there go on.
type LeavingStated struct{ Process identifier.Process }

// LimitChanged reports that a process has named another limit than before, or names none any more.
type LimitChanged struct {
	Process   identifier.Process
	PerSecond float64 // zero for none
}

// LimitReport holds what this instance knows about limits of processes, sorted by process, for the
// other instances. It comes once a second while there is something to report and requests are in flight.
type LimitReport struct{ News []LimitNews }

// LatencyReport counts the requests of a pool over the last second by whether they met their latency goal.
type LatencyReport struct {
	Pool       identifier.Pool
	Requests   int // requests that got their first event or complete answer, or ended as NotRun or Unknown
	MissedGoal int // those after their latency goal, and those that ended as NotRun or Unknown

	service     identifier.Service
	RetriesLeft float64 // retries that this instance may still make for the pool's service
}

// WakeAt requests a Ticked event at At. It replaces the previous WakeAt.
type WakeAt struct{ At time.Time }

func (LatencyReport) action() {}
func (Send) action()          {}
func (Abandon) action()       {}
func (Wait) action()          {}
func (Finish) action()        {}
func (Stalled) action()       {}
func (Recovered) action()     {}
func (LeavingStated) action() {}
func (LimitChanged) action()  {}
func (LimitReport) action()   {}
func (WakeAt) action()        {}

// Reason is the reason why a request waits, moves to another target or ends.
type Reason string

// The reasons.
const (
	ReasonNoTarget     Reason = "noTarget"     // no target serves the pool now
	ReasonFull         Reason = "full"         // every available target is full
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
