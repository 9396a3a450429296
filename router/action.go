package router

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Action is what a Router decides: Dispatch, Forward, Wait, Finish, Suspect or SetSlots.
type Action interface{ action() }

// Dispatch sends the request to a target in the local failure domain.
type Dispatch struct {
	Ref        Ref
	Attempt    int
	Target     Target
	ResumeFrom int // content characters that the caller already has; zero requests the complete answer
}

// Forward sends the request to a peer in another failure domain.
type Forward struct {
	Ref      Ref
	Attempt  int
	Instance identifier.Instance
}

// Wait requests a WaitElapsed event at Until, or a WaitCanceled event if the caller hangs up first.
type Wait struct {
	Ref   Ref
	Until time.Time
}

// Finish ends the request. It is the last action for a Ref.
type Finish struct {
	Ref     Ref
	Outcome Outcome
}

// Suspect announces a suspicion to every peer.
type Suspect struct{ Suspicion Suspicion }

// SetSlots sets how many requests of a pool this instance may run at once.
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
