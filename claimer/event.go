package claimer

import (
	"time"

	"amaranthmill/storeclient"
)

// Call numbers the calls to Claim at one instance.
type Call uint64

// Event is an input of a Core.
type Event interface{ event() }

// Arrived starts the claim of a call's key. Token is new. Deadline is the deadline of the call;
// the zero value means Limits.DefaultTimeout from now.
type Arrived struct {
	Call     Call
	Token    Token
	Key      Key
	Digest   Digest
	Deadline time.Time
}

// CallerLeft reports that the caller of Call no longer waits for the decision.
type CallerLeft struct {
	Call  Call
	Token Token
}

// Settled reports the result of the call that was granted Token.
type Settled struct {
	Token  Token
	Result Result
}

// LeaseGranted answers GrantLease.
type LeaseGranted struct{ Lease storeclient.LeaseID }

// LeaseFailed answers GrantLease.
type LeaseFailed struct{}

// Stored reports that the last write for Token took effect. Revision is zero after a removal.
type Stored struct {
	Token    Token
	Revision uint64
}

// Conflicted reports that the last write for Token found another revision and had no effect.
type Conflicted struct{ Token Token }

// LeaseExpired reports that the last write for Token had no effect because its lease has expired.
type LeaseExpired struct{ Token Token }

// Failed reports that the last action for Token failed. MayApply is set if the action was a write
// that may have taken effect or may still take effect.
type Failed struct {
	Token    Token
	MayApply bool
}

// Found answers ReadClaim with the stored claim.
type Found struct {
	Token    Token
	Record   Record
	Revision uint64
}

// Absent answers ReadClaim and reports that no claim exists.
type Absent struct{ Token Token }

// Ticked reports that time has passed. It is submitted about once a second.
type Ticked struct{}

func (Arrived) event()      {}
func (CallerLeft) event()   {}
func (Settled) event()      {}
func (LeaseGranted) event() {}
func (LeaseFailed) event()  {}
func (Stored) event()       {}
func (Conflicted) event()   {}
func (LeaseExpired) event() {}
func (Failed) event()       {}
func (Found) event()        {}
func (Absent) event()       {}
func (Ticked) event()       {}
