package quarantiner

import (
	"net/netip"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// Kind says what a fingerprint identifies.
type Kind uint8

// The kinds.
const (
	KindRequest Kind = iota // a request, over all its tries
	KindPart                // a part of the prompts of requests
)

// String returns the name of the kind in logs and keys.
func (k Kind) String() string { return [...]string{"request", "part"}[k] }

// Part is a part of the prompts of requests.
type Part struct {
	Fingerprint identifier.Fingerprint
	ID          identifier.Part
}

// Event is an input of a Quarantiner: AttemptStarted, AttemptEnded, ConnectionChecked,
// EndpointsChanged, StoreHealthSet, ReportReceived, LossStored, LossDeleted, AnnouncementFailed,
// RequestRefused, QuarantineLifted or Ticked.
type Event interface{ event() }

// AttemptStarted reports that a request is sent to an endpoint.
type AttemptStarted struct {
	Fingerprint identifier.Fingerprint
	Parts       []Part // as in AttemptEnded
	Process     identifier.Process
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Fingerprint identifier.Fingerprint
	Parts       []Part // of the request's prompt that other requests may share; must not be modified
	Process     identifier.Process
	Result      Result
}

// Result is what the end of an attempt says about its endpoint.
type Result uint8

// The results.
const (
	ResultNotRun      Result = iota // the endpoint did not run the request
	ResultAnswered                  // the endpoint ran the request and survived
	ResultUndelimited               // an answer without a length or chunks ended with its connection, as it also does if the endpoint ends between two events
	ResultUnanswered                // the endpoint may have run the request; whether it survived is unknown
	ResultBroken                    // the same, and the connection broke
)

// isComplete reports whether the answer looks complete.
func (r Result) isComplete() bool { return r == ResultAnswered || r == ResultUndelimited }

// ConnectionChecked reports the result of a CheckConnection action.
type ConnectionChecked struct {
	Process  identifier.Process
	Accepted bool // the address accepted the connection, or nobody can tell
}

// EndpointsChanged changes the list of endpoints.
type EndpointsChanged endpointlister.Changes

// StoreHealthSet reports whether the store is unreachable.
type StoreHealthSet struct{ Lost bool }

// Report is what an instance knows about a fingerprint.
type Report struct {
	Fingerprint identifier.Fingerprint
	Kind        Kind
	Part        identifier.Part // empty if unknown or not a part
	Losses      []identifier.Process
	Cleared     bool // a request with the fingerprint was answered, or the operator lifted the quarantine, so that it has no losses
}

// ReportReceived reports the announcement of a peer.
type ReportReceived struct{ Report Report }

// LossStored reports that the store holds a loss.
type LossStored struct {
	Fingerprint identifier.Fingerprint
	Kind        Kind
	Process     identifier.Process
	Revision    uint64 // of the loss in the store
}

// LossDeleted reports that the store no longer holds a loss.
type LossDeleted struct {
	Fingerprint identifier.Fingerprint
	Kind        Kind
	Process     identifier.Process
}

// AnnouncementFailed reports that a peer did not acknowledge an Announce action. It may
// acknowledge it later.
type AnnouncementFailed struct{ Fingerprint identifier.Fingerprint }

// RequestRefused reports that a request was refused because of the restriction of a fingerprint,
// its own or that of a part.
type RequestRefused struct{ Fingerprint identifier.Fingerprint }

// QuarantineLifted reports that the operator ends the quarantine of a fingerprint.
type QuarantineLifted struct{ Fingerprint identifier.Fingerprint }

// Ticked follows a WakeAt action at its time.
type Ticked struct{}

func (AttemptStarted) event()     {}
func (AttemptEnded) event()       {}
func (ConnectionChecked) event()  {}
func (EndpointsChanged) event()   {}
func (StoreHealthSet) event()     {}
func (ReportReceived) event()     {}
func (LossStored) event()         {}
func (LossDeleted) event()        {}
func (AnnouncementFailed) event() {}
func (RequestRefused) event()     {}
func (QuarantineLifted) event()   {}
func (Ticked) event()             {}

// Action is an output of a Quarantiner: CheckConnection, Restrict, Announce, StoreLoss,
// DeleteLoss, LogDecision or WakeAt.
type Action interface{ action() }

// CheckConnection requests that a connection to the process is opened and closed again, and a
// ConnectionChecked event with the result.
type CheckConnection struct {
	Process identifier.Process
	Address netip.AddrPort
}

// Restrict sets the restriction of a fingerprint at this instance.
type Restrict struct {
	Fingerprint identifier.Fingerprint
	Restriction scheduler.Restriction
	Until       time.Time // end of a quarantine or a trial; zero for the other restrictions
	Tied        int       // number of parts that are on trial together; zero for the other restrictions
}

// Announce requests that all peers receive the report.
type Announce struct{ Report Report }

// StoreLoss requests that the store receives a loss that it does not hold.
type StoreLoss struct {
	Fingerprint identifier.Fingerprint
	Kind        Kind
	Process     identifier.Process
}

// DeleteLoss requests that a loss is deleted from the store, if its revision there is unchanged.
type DeleteLoss struct {
	Fingerprint identifier.Fingerprint
	Kind        Kind
	Process     identifier.Process
	Revision    uint64
}

// LogDecision reports a decision about a fingerprint.
type LogDecision struct {
	Fingerprint identifier.Fingerprint
	Kind        Kind
	Part        identifier.Part // empty if unknown or not a part
	Decision    Decision
	Process     identifier.Process   // of the loss that the decision follows from; zero if none
	Source      Source               // of that loss
	Losses      int                  // of the fingerprint, after the decision
	Processes   []identifier.Process // that ended under the fingerprint, for a quarantine
}

// WakeAt requests a Ticked event at At. It replaces the previous WakeAt.
type WakeAt struct{ At time.Time }

func (CheckConnection) action() {}
func (Restrict) action()        {}
func (Announce) action()        {}
func (StoreLoss) action()       {}
func (DeleteLoss) action()      {}
func (LogDecision) action()     {}
func (WakeAt) action()          {}

// Decision is the name of a decision in logs and metrics.
type Decision string

// The decisions.
const (
	DecisionSuspect    Decision = "suspect"    // a first loss
	DecisionQuarantine Decision = "quarantine" // as many losses as a quarantine takes, or more
	DecisionClear      Decision = "clear"      // a request with the fingerprint was answered
	DecisionExplain    Decision = "explain"    // a quarantined part explains the losses
	DecisionLift       Decision = "lift"       // the operator ended the quarantine
	DecisionWithdraw   Decision = "withdraw"   // the process of a loss lives
	DecisionExpire     Decision = "expire"     // no loss for the TTL
	DecisionEvict      Decision = "evict"      // too many fingerprints are suspected
)

// Source is how an instance learned of a loss.
type Source string

// The sources.
const (
	SourceUnreachable Source = "unreachable" // the endpoint's address accepted no connection after a connection of this instance broke
	SourceDelisted    Source = "delisted"    // the process disappeared from the list after an attempt of this instance
	SourcePeer        Source = "peer"
	SourceStore       Source = "store"
)

// isOwn reports whether the loss follows from an attempt of this instance.
func (s Source) isOwn() bool { return s == SourceUnreachable || s == SourceDelisted }
