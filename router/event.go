package router

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Ref identifies one request at one instance from its arrival to its outcome. It is
// unique even if a request returns to this instance over a link, while Request.ID is not.
type Ref uint64

// Event is an input of a Router: TargetsSet, InstanceCountSet, RemoteSet, SuspicionReceived,
// Arrived, Ended, WaitElapsed or WaitCanceled.
type Event interface{ event() }

// TargetsSet replaces the set of targets in the local failure domain.
type TargetsSet struct{ Targets []Target }

// InstanceCountSet sets how many instances, this one included, share the targets of the
// local failure domain.
type InstanceCountSet struct{ Count int }

// RemoteSet replaces the capacity that a peer reported for its failure domain.
type RemoteSet struct {
	Instance identifier.Instance
	Pools    []RemotePool
}

// RemotePool is the capacity of one pool as reported by a peer in another failure domain.
type RemotePool struct {
	Pool     identifier.Pool
	Free     int // requests that could start now
	Capacity int // requests that can run at once; zero if nothing is ready
}

// SuspicionReceived carries a suspicion announced by a peer.
type SuspicionReceived struct{ Suspicion Suspicion }

// Arrived adds an admitted request. The Router keeps Request until its Finish action and never modifies it.
type Arrived struct {
	Ref         Ref
	Request     *Request
	Fingerprint uint64   // hash of what an endpoint would run; zero for none
	Prefix      []uint64 // hash chain over the prompt's blocks in order; empty for none
}

// Ended reports the end of one attempt.
type Ended struct {
	Ref         Ref
	Attempt     int
	Ending      Ending
	Delivered   int  // content characters that the caller has received over all attempts
	Started     bool // the status and header of the answer were passed to the caller
	Unresumable bool // the caller has parts that the position does not count, so that no target can resume the answer
}

// WaitElapsed reports that the time of a Wait action has come.
type WaitElapsed struct{ Ref Ref }

// WaitCanceled reports that the caller hung up during a Wait, while no attempt was running.
type WaitCanceled struct{ Ref Ref }

func (TargetsSet) event()        {}
func (InstanceCountSet) event()  {}
func (RemoteSet) event()         {}
func (SuspicionReceived) event() {}
func (Arrived) event()           {}
func (Ended) event()             {}
func (WaitElapsed) event()       {}
func (WaitCanceled) event()      {}

// Ending is how one attempt ended: Whole, NotSent, Refused, Broken, Failed, Mismatched, CallerGone or Expired.
type Ending interface{ ending() }

// Completed means that the caller has the complete answer, including its end mark.
type Completed struct{}

// NotSent means that no byte of the request was written to the endpoint.
type NotSent struct{}

// Refused means that the endpoint or peer itself answered that it did not run the request.
type Refused struct {
	Status     int
	RetryAfter time.Duration
}

// Broken means that the connection ended after a byte of the request may have been
// written and before the answer was complete.
type Broken struct{}

// Failed means that the endpoint answered with an error and is still running.
type Failed struct{ Status int }

// Mismatched means that the answer was discarded because its epoch, process start or
// resume position differs from that of the dispatch.
type Mismatched struct{}

// CallerGone means that the caller hung up.
type CallerGone struct{}

// Expired means that the deadline passed during the attempt.
type Expired struct{}

func (Completed) ending()  {}
func (NotSent) ending()    {}
func (Refused) ending()    {}
func (Broken) ending()     {}
func (Failed) ending()     {}
func (Mismatched) ending() {}
func (CallerGone) ending() {}
func (Expired) ending()    {}
