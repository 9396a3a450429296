package limiter

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Ref names one request at one instance.
type Ref uint64

// Account is a client account with its limit over all instances.
type Account struct {
	Name              identifier.ClientAccount
	RequestsPerSecond float64 // zero or less means no limit
	Burst             int     // requests saved up; less than 1 means 1
}

// Event is what a Limiter learns: AccountsSet, InstancesSet, ShareSet, SlotsSet, Arrived, Released or Ticked.
type Event interface{ event() }

// AccountsSet replaces the client accounts. An account that is not among them has no limit.
type AccountsSet struct{ Accounts []Account }

// InstancesSet says how many instances share the accounts' limits, this one included.
type InstancesSet struct{ Count int }

// ShareSet says which part of an account's limit this instance may admit. Until then it
// is an equal part. A part that is not above zero goes back to that.
type ShareSet struct {
	Account identifier.ClientAccount
	Share   float64
}

// SlotsSet says how many requests of a pool may be under way at this instance at once.
type SlotsSet struct {
	Pool  identifier.Pool
	Slots int
}

// Arrived is a new request.
type Arrived struct {
	Ref               Ref
	Account           identifier.ClientAccount
	Pool              identifier.Pool
	Priority          int // the higher goes first
	Deadline          time.Time
	CountsTowardLimit bool // against the account's limit; false for a request that a peer counted
}

// Released ends a request: it has its outcome, or its caller hung up while it waited.
type Released struct {
	Ref       Ref
	Completed bool // it ran to its end, so that its time counts for the estimate
}

// Ticked follows a WakeAt action at its time.
type Ticked struct{}

func (AccountsSet) event()  {}
func (InstancesSet) event() {}
func (ShareSet) event()     {}
func (SlotsSet) event()     {}
func (Arrived) event()      {}
func (Released) event()     {}
func (Ticked) event()       {}

// Action is what a Limiter decides: Admit, Refuse or WakeAt.
type Action interface{ action() }

// Admit lets a request go on. It holds a slot until it is released.
type Admit struct{ Ref Ref }

// Refuse ends a request that did not run.
type Refuse struct {
	Ref        Ref
	Reason     Reason
	RetryAfter time.Duration
}

// WakeAt asks for a Ticked event at At. It replaces the WakeAt before it.
type WakeAt struct{ At time.Time }

func (Admit) action()  {}
func (Refuse) action() {}
func (WakeAt) action() {}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	ReasonAccountLimit Reason = "accountLimit" // the client account is over its limit
	ReasonOverloaded   Reason = "overloaded"   // the answer would come too late
)
