package claimer

import (
	"time"
)

// Action is an output of a Core.
type Action interface{ action() }

// GrantLease requests a lease for new claims. LeaseGranted or LeaseFailed answers it.
type GrantLease struct{ TTL time.Duration }

// CreateClaim writes Record if no claim exists at Path.
type CreateClaim struct {
	Token  Token
	Path   string
	Record Record
}

// ReadClaim reads the claim at Path. Found, Absent or Failed answers it.
type ReadClaim struct {
	Token Token
	Path  string
}

// SwapClaim writes Record if the claim at Path is at Revision.
type SwapClaim struct {
	Token    Token
	Path     string
	Revision uint64
	Record   Record
}

// RemoveClaim removes the claim at Path if it is at Revision.
type RemoveClaim struct {
	Token    Token
	Path     string
	Revision uint64
}

// Decide delivers the decision on Call.
type Decide struct {
	Call     Call
	Decision Decision
}

// Finish reports the end of an attempt to store the settlement of Token. A nil Err means that the
// settlement needs no further write. Otherwise Err is an UnsettledError, a GivenUpError or a TokenError.
type Finish struct {
	Token Token
	Err   error
}

func (GrantLease) action()  {}
func (CreateClaim) action() {}
func (ReadClaim) action()   {}
func (SwapClaim) action()   {}
func (RemoveClaim) action() {}
func (Decide) action()      {}
func (Finish) action()      {}
