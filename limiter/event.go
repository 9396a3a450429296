package limiter

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Ref identifies one request at one instance.
type Ref uint64

// Account is a client account with its limit, which applies to all instances together.
type Account struct {
	Name              identifier.ClientAccount
	RequestsPerSecond float64 // zero or less means no limit
	Burst             int     // requests that can accumulate; less than 1 means 1
}

// Event is an input of a Limiter: AccountsSet, InstanceCountSet, ShareSet, SlotsSet, Arrived, Released or Ticked.
type Event interface{ event() }

// AccountsSet replaces the client accounts. An account that is not listed has no limit.
type AccountsSet struct{ Accounts []Account }

// InstanceCountSet sets how many instances, this one included, share the accounts' limits.
type InstanceCountSet struct{ Count int }

// ShareSet sets the share of an account's limit that this instance may admit. Without
// ShareSet, or with a share that is not above zero, each instance has an equal share.
type ShareSet struct {
	Account identifier.ClientAccount
	Share   float64
}

// SlotsSet sets how many requests of a pool may run at this instance at once.
type SlotsSet struct {
	Pool  identifier.Pool
	Slots int
}

// Arrived adds a new request.
type Arrived struct {
	Ref               Ref
	Account           identifier.ClientAccount
	Pool              identifier.Pool
	Priority          int // higher is served first
	Deadline          time.Time
	CountsTowardLimit bool // false for a request that a peer has already counted
}

// Released ends a request because it has its outcome, or its caller hung up or its deadline passed while it waited.
type Released struct {
	Ref       Ref
	Completed bool // the request was answered, so that its holding time enters the estimate
}

// Ticked reports that the time of a WakeAt action has come.
type Ticked struct{}

func (AccountsSet) event()      {}
func (InstanceCountSet) event() {}
func (ShareSet) event()         {}
func (SlotsSet) event()         {}
func (Arrived) event()          {}
func (Released) event()         {}
func (Ticked) event()           {}

// Action is what a Limiter decides: Admit, Refuse or WakeAt.
type Action interface{ action() }

// Admit admits a request, which holds a slot until Released.
type Admit struct{ Ref Ref }

// Refuse refuses a request, which did not run.
type Refuse struct {
	Ref        Ref
	Reason     Reason
	RetryAfter time.Duration
}

// WakeAt requests a Ticked event at At. It replaces any earlier WakeAt.
type WakeAt struct{ At time.Time }

func (Admit) action()  {}
func (Refuse) action() {}
func (WakeAt) action() {}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	ReasonAccountLimit Reason = "accountLimit" // the client account is over its limit
	ReasonOverloaded   Reason = "overloaded"   // the answer would miss the deadline
)
