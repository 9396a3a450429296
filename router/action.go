package router

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Action is what a Router decides: Dispatch, Forward, Wait, Finish, Suspect or SetSlots.
type Action interface{ action() }

// Dispatch sends the request to a target of the own failure domain.
type Dispatch struct {
	Ref        Ref
	Attempt    int
	Target     Target
	ResumeFrom int // content characters that the caller already has; zero for the whole answer
}

// Forward sends the request to a peer in another failure domain.
type Forward struct {
	Ref      Ref
	Attempt  int
	Instance identifier.Instance
}

// Wait asks for a WaitElapsed event at Until, or for WaitCanceled if the caller hangs up before.
type Wait struct {
	Ref   Ref
	Until time.Time
}

// Finish ends the request. Nothing follows it.
type Finish struct {
	Ref     Ref
	Outcome Outcome
}

// Suspect tells every peer of a suspicion.
type Suspect struct{ Suspicion Suspicion }

// SetSlots says how many requests of a pool this instance may have under way at once.
type SetSlots struct {
	Pool  identifier.Pool
	Slots int
}

func (Dispatch) action() {}
func (Forward) action()  {}
func (Wait) action()     {}
func (Finish) action()   {}
func (Suspect) action()  {}
func (SetSlots) action() {}
