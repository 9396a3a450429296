package limitsharer

import "amaranthmill/internal/identifier"

// Event is what a Core is told.
type Event interface{ event() }

// Account is a client account with its limit over all instances.
type Account struct {
	Name              identifier.ClientAccount
	RequestsPerSecond float64 // above zero; an account without a limit is not listed
}

// AccountsSet gives all accounts that have a limit. It replaces those before.
type AccountsSet struct{ Accounts []Account }

// RequestArrived says that a request of Account asks to be admitted here.
type RequestArrived struct{ Account identifier.ClientAccount }

// PeerReachable says that an instance came into reach, for the first time or again.
type PeerReachable struct{ Instance identifier.Instance }

// PeerRemoved says that an instance is no longer part of the system, and its share is divided. One
// that is only out of reach is not removed.
type PeerRemoved struct{ Instance identifier.Instance }

// AnnouncementReceived is a peer's announcement.
type AnnouncementReceived struct {
	From         identifier.Instance
	Announcement Announcement
}

// Ticked says that time has passed. It comes a few times a second.
type Ticked struct{}

func (AccountsSet) event()          {}
func (RequestArrived) event()       {}
func (PeerReachable) event()        {}
func (PeerRemoved) event()          {}
func (AnnouncementReceived) event() {}
func (Ticked) event()               {}

// Announcement is the message between instances: the demand that the sender predicts for
// some of its accounts. One with a lower Sequence than the last from its sender is old.
type Announcement struct {
	Sequence uint64
	Demands  []Demand
}

// Demand is the predicted demand for one account at one instance.
type Demand struct {
	Account           identifier.ClientAccount
	RequestsPerSecond float64
}
