package limitsharer

import "amaranthmill/internal/identifier"

// Event is an input of a Core.
type Event interface{ event() }

// Account is a client account with its limit over all instances.
type Account struct {
	Name              identifier.ClientAccount
	RequestsPerSecond float64 // above zero; accounts without a limit are omitted
}

// AccountsSet provides all accounts that have a limit. It replaces the previous accounts.
type AccountsSet struct{ Accounts []Account }

// RequestArrived reports that a request of Account arrived at this instance for admission.
type RequestArrived struct{ Account identifier.ClientAccount }

// PeerReachable reports that an instance became reachable, for the first time or again.
type PeerReachable struct{ Instance identifier.Instance }

// PeerRemoved reports that an instance is no longer part of the system, so that its share is divided
// among the others. It is not submitted for an instance that is only unreachable.
type PeerRemoved struct{ Instance identifier.Instance }

// AnnouncementReceived provides a peer's announcement.
type AnnouncementReceived struct {
	From         identifier.Instance
	Announcement Announcement
}

// Ticked reports that time has passed. It is submitted a few times per second.
type Ticked struct{}

func (AccountsSet) event()          {}
func (RequestArrived) event()       {}
func (PeerReachable) event()        {}
func (PeerRemoved) event()          {}
func (AnnouncementReceived) event() {}
func (Ticked) event()               {}

// Announcement is the message between instances: the demand that the sender predicts for
// some of its accounts. A receiver ignores an announcement whose Sequence is not above that of
// the last one from the same sender.
type Announcement struct {
	Sequence uint64
	Demands  []Demand
}

// Demand is the predicted demand for one account at one instance.
type Demand struct {
	Account           identifier.ClientAccount
	RequestsPerSecond float64
}
