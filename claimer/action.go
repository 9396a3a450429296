package claimer

import (
	"time"
)

// Action is what a Core asks its process to do.
type Action interface{ action() }

// GrantLease asks for a lease for new claims. LeaseGranted or LeaseFailed answers it.
type GrantLease struct{ TTL time.Duration }

// CreateClaim asks to write Record if there is no claim at Path.
type CreateClaim struct {
	Token  Token
	Path   string
	Record Record
}

// ReadClaim asks for the claim at Path. Found, Absent or Failed answers it.
type ReadClaim struct {
	Token Token
	Path  string
}

// SwapClaim asks to write Record if the claim at Path is at Revision.
type SwapClaim struct {
	Token    Token
	Path     string
	Revision uint64
	Record   Record
}

// RemoveClaim asks to remove the claim at Path if it is at Revision.
type RemoveClaim struct {
	Token    Token
	Path     string
	Revision uint64
}

// Decide gives Call its decision.
type Decide struct {
	Call     Call
	Decision Decision
}

// Finish says that the settlement of Token is stored, or, with Err, that it is not yet.
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
