package scheduler

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Ref names one request at one instance from its arrival to its outcome.
type Ref uint64

// Request is what placing a request depends on.
type Request struct {
	Service      identifier.Service // whose retry budget it draws on
	Pool         identifier.Pool
	Repeatable   bool // may run at a second target after a first one may have run it
	Stream       bool
	ArrivedAt    time.Time
	PromptTokens int           // tokens; zero if it is not known
	LatencyGoal  time.Duration // to the first event or whole answer
	GapGoal      time.Duration // between events, of a stream
	Deadline     time.Time     // after which nobody waits for the answer
	MaxAttempts  int           // targets that may run it
	Priority     int           // 0 goes first
}

// Event is what a Scheduler learns: TargetsSet, InstancesSet, BudgetSet, Arrived, Progressed, Ended, Left or Ticked.
type Event interface{ event() }

// TargetsSet replaces the whole set of targets.
type TargetsSet struct{ Targets []Target }

// InstanceCountSet says how many instances of the system share the retry budget, this one included.
type InstanceCountSet struct{ Count int }

// RetryBudgetSet changes the bound on arrivals beyond the first that all instances share.
type RetryBudgetSet struct{ Ratio, Slack float64 }

// Arrived is a new request.
type Arrived struct {
	Ref     Ref
	Request Request
}

// Progressed says that an attempt got the header of its answer or an event of its stream.
type Progressed struct {
	Ref     Ref
	Attempt int
	Event   bool // an event that the caller did not have before
	Load    Load
}

// Ended is the end of one attempt.
type Ended struct {
	Ref     Ref
	Attempt int
	Ending  Ending
	Load    Load
}

// CallerLeft says that the caller hung up.
type CallerLeft struct{ Ref Ref }

// Ticked follows a WakeAt action at its time.
type Ticked struct{}

func (TargetsSet) event()       {}
func (InstanceCountSet) event() {}
func (RetryBudgetSet) event()   {}
func (Arrived) event()          {}
func (Progressed) event()       {}
func (Ended) event()            {}
func (CallerLeft) event()       {}
func (Ticked) event()           {}

// Ending is how one attempt ended: Whole, NotSent, Refused, Failed, Broken, Abandoned or Expired.
type Ending interface{ ending() }

// Completed says that the caller has, or can be given, the whole answer.
type Completed struct{}

// NotSent says that no byte of the request was sent.
type NotSent struct{}

// Refused says that the endpoint itself answered that it did not run the request.
type Refused struct {
	Status      int
	Misdirected bool // it does not serve at its address any more
}

// Failed says that the endpoint answered with an error of its own, which can be passed on.
type Failed struct{ Status int }

// Broken says that no whole or valid answer came, and that the request may have run.
type Broken struct{}

// Abandoned says that the attempt was given up by an Abandon action.
type Abandoned struct{}

// Expired says that the deadline passed while the attempt ran.
type Expired struct{}

func (Completed) ending() {}
func (NotSent) ending()   {}
func (Refused) ending()   {}
func (Failed) ending()    {}
func (Broken) ending()    {}
func (Abandoned) ending() {}
func (Expired) ending()   {}

// EndingName names an ending in logs and metrics.
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

// Action is what a Scheduler decides: Send, Abandon, Wait, Finish, Stalled, Recovered, Pressure or WakeAt.
type Action interface{ action() }

// Send sends the request to a target. Inputs are what decided it.
type Send struct {
	Ref     Ref
	Attempt int
	Target  *Target
	Load    float64 // estimated, in parts of the target's slots
}

// Abandon gives up the attempt under way, which then ends as Abandoned unless it ended otherwise before.
type Abandon struct {
	Ref     Ref
	Attempt int
	Reason  Reason
}

// Wait says that the request waits for a target.
type Wait struct {
	Ref    Ref
	Reason Reason
	Until  time.Time // when it is given up
}

// Finish ends the request. Nothing follows it.
type Finish struct {
	Ref     Ref
	Outcome Outcome
}

// Stalled says that the requests of a target stand still.
type Stalled struct {
	Target  *Target
	Silence time.Duration
}

// Recovered says that a stalled target moves again.
type Recovered struct{ Target *Target }

// LatencyReport tells how the requests of a pool fared in the last second.
type LatencyReport struct {
	Pool       identifier.Pool
	Requests   int // that got a first event or whole answer
	MissedGoal int // of these, after their goal; and all that ended without one

	service     identifier.Service
	RetriesLeft float64 // arrivals beyond the first that this instance may still make for the pool's service
}

// WakeAt asks for a Ticked event at At. It replaces the WakeAt before it.
type WakeAt struct{ At time.Time }

func (LatencyReport) action() {}
func (Send) action()          {}
func (Abandon) action()       {}
func (Wait) action()          {}
func (Finish) action()        {}
func (Stalled) action()       {}
func (Recovered) action()     {}
func (WakeAt) action()        {}

// Reason says in a word why a request waits, moves or ends.
type Reason string

// The reasons.
const (
	ReasonNoTarget     Reason = "noTarget"     // no target serves this now
	ReasonFull         Reason = "full"         // every target is full
	ReasonStalled      Reason = "stalled"      // the target stands still
	ReasonReplaced     Reason = "replaced"     // the target is not there any more
	ReasonRetryBudget  Reason = "retryBudget"  // the instances' retries are used up
	ReasonAttempts     Reason = "attempts"     // the request ran at as many targets as it may
	ReasonAnswerLost   Reason = "answerLost"   // the request may have run and must not be repeated
	ReasonDeadline     Reason = "deadline"     // too little time is left
	ReasonAllRefused   Reason = "allRefused"   // the targets refused it before running
	ReasonCallerGone   Reason = "callerGone"   // the caller hung up
	ReasonEndpointFail Reason = "endpointFail" // the endpoint answered with an error
)

// Outcome is how a request ended: Delivered, Passed, NotRun, Unknown or CallerGone.
type Outcome interface{ outcome() }

// Delivered says that the caller gets the whole answer.
type Delivered struct{}

// PassedThrough says that the caller gets the endpoint's own error.
type PassedThrough struct{ Status int }

// NotRun says that the request certainly did not run.
type NotRun struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Unknown says that the request may have run, wholly or in part.
type Unknown struct{ Reason Reason }

// CallerGone says that nobody waits for the answer any more.
type CallerGone struct{}

func (Delivered) outcome()     {}
func (PassedThrough) outcome() {}
func (NotRun) outcome()        {}
func (Unknown) outcome()       {}
func (CallerGone) outcome()    {}
