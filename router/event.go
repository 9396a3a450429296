package router

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Ref names one request at one instance from its arrival to its outcome. Unlike
// Request.ID it never stands for two, also when a request comes back over a link.
type Ref uint64

// Event is what a Router learns: TargetsSet, InstancesSet, RemoteSet, SuspicionReceived,
// Arrived, Ended, WaitElapsed or WaitCanceled.
type Event interface{ event() }

// TargetsSet replaces the whole set of targets of the own failure domain.
type TargetsSet struct{ Targets []Target }

// InstancesSet says how many instances of the system share the targets of the own
// failure domain, this one included.
type InstancesSet struct{ Count int }

// RemoteSet replaces what is known of the load that a peer's failure domain can take.
type RemoteSet struct {
	Instance identifier.Instance
	Pools    []RemotePool
}

// RemotePool is one pool as a peer in another failure domain sees it.
type RemotePool struct {
	Pool     identifier.Pool
	Free     int // requests that could start now
	Capacity int // requests that can run at once; zero if nothing is ready
}

// SuspicionReceived is a peer's suspicion.
type SuspicionReceived struct{ Suspicion Suspicion }

// Arrived is an admitted request. The Router keeps Request until its Finish action and never changes it.
type Arrived struct {
	Ref         Ref
	Request     *Request
	Fingerprint uint64   // of what an endpoint would run; zero for none
	Prefix      []uint64 // hash chain over the prompt's blocks, the first block first; empty for none
}

// Ended is the end of one attempt.
type Ended struct {
	Ref         Ref
	Attempt     int
	Ending      Ending
	Delivered   int  // content characters of the answer that the caller has so far, over all attempts
	Started     bool // a byte of the answer went to the caller
	Unresumable bool // the caller has parts that no position counts, so that no target can resume
}

// WaitElapsed follows a Wait action at its time.
type WaitElapsed struct{ Ref Ref }

// WaitCanceled says that the caller hung up while no attempt ran.
type WaitCanceled struct{ Ref Ref }

func (TargetsSet) event()        {}
func (InstancesSet) event()      {}
func (RemoteSet) event()         {}
func (SuspicionReceived) event() {}
func (Arrived) event()           {}
func (Ended) event()             {}
func (WaitElapsed) event()       {}
func (WaitCanceled) event()      {}

// Ending is how one attempt ended: Whole, NotSent, Refused, Broken, Failed, Mismatched, CallerGone or Expired.
type Ending interface{ ending() }

// Completed says that the caller has the whole answer, its end mark included.
type Completed struct{}

// NotSent says that no byte of the request was written to the endpoint.
type NotSent struct{}

// Refused says that the endpoint or peer itself answered that it did not run the request.
type Refused struct {
	Status     int
	RetryAfter time.Duration
}

// Broken says that the connection ended after a byte of the request may have been
// written and before the answer was whole.
type Broken struct{}

// Failed says that the endpoint answered with an error and is still up.
type Failed struct{ Status int }

// Mismatched says that the answer came from another epoch or process start than the
// dispatch, or resumed at another position, and was discarded.
type Mismatched struct{}

// CallerGone says that the caller hung up.
type CallerGone struct{}

// Expired says that the deadline passed while the attempt ran.
type Expired struct{}

func (Completed) ending()  {}
func (NotSent) ending()    {}
func (Refused) ending()    {}
func (Broken) ending()     {}
func (Failed) ending()     {}
func (Mismatched) ending() {}
func (CallerGone) ending() {}
func (Expired) ending()    {}
