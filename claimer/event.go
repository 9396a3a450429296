package claimer

import (
	"time"

	"amaranthmill/storeclient"
)

// Call numbers the calls of Claim at one instance.
type Call uint64

// Event is what a Core is told.
type Event interface{ event() }

// Arrived says that a call asks for its key. Token is new. Deadline is when the call is
// given up; the zero value means Config.MaxOpen from now.
type Arrived struct {
	Call     Call
	Token    Token
	Key      Key
	Digest   Digest
	Deadline time.Time
}

// Left says that the caller of Call no longer waits for its decision.
type Left struct {
	Call  Call
	Token Token
}

// Settled says how the call that holds Token ended.
type Settled struct {
	Token  Token
	Result Result
}

// LeaseGranted answers GrantLease.
type LeaseGranted struct{ Lease storeclient.LeaseID }

// LeaseFailed answers GrantLease.
type LeaseFailed struct{}

// Stored says that the last write for Token took effect. Revision is zero after a removal.
type Stored struct {
	Token    Token
	Revision uint64
}

// Refused says that the last write for Token met another revision and had no effect.
type Refused struct{ Token Token }

// LeaseLapsed says that the last write for Token had no effect because its lease has lapsed.
type LeaseLapsed struct{ Token Token }

// Failed says that the last action for Token failed. MayApply says that it was a write
// that may have taken effect, or may yet.
type Failed struct {
	Token    Token
	MayApply bool
}

// Found answers ReadClaim with the claim as it stands.
type Found struct {
	Token    Token
	Record   Record
	Revision uint64
}

// Absent answers ReadClaim, and says that there is no claim.
type Absent struct{ Token Token }

// Ticked says that time has passed. It comes about once a second.
type Ticked struct{}

func (Arrived) event()      {}
func (Left) event()         {}
func (Settled) event()      {}
func (LeaseGranted) event() {}
func (LeaseFailed) event()  {}
func (Stored) event()       {}
func (Refused) event()      {}
func (LeaseLapsed) event()  {}
func (Failed) event()       {}
func (Found) event()        {}
func (Absent) event()       {}
func (Ticked) event()       {}
