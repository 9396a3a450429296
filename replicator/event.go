package replicator

import (
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// Event is an input of a Core: Started, UrgentSet, Listed, Watched, Failed, PeerAnswered,
// ValueFetched, ValueFailed or Ticked.
type Event interface{ event() }

// Started makes the Core request the first list.
type Started struct{}

// Listed is the answer to a List action.
type Listed struct {
	Snapshot storeclient.Snapshot
	Call     Call // of the List action
}

// Watched is the answer to a Watch action. Age is the time since the store's answer from which the
// changes come; it is zero if the store itself has just answered.
type Watched struct {
	Changes    storeclient.Changes
	References []Reference         // to large values that changed
	Peer       identifier.Instance // that has answered; empty for the store
	Age        time.Duration
	Call       Call // of the Watch action
}

// Failed reports that a call failed.
type Failed struct {
	Compacted bool // the store no longer has the history that the call requested
	NotSent   bool // the store's client has rejected the call, because the store fails
	Call      Call // of the List or Watch action
}

// PeerAnswered is the answer to a QueryPeers action: what a peer's replica holds beyond this one.
type PeerAnswered struct {
	Update Update
	Query  QueryPeers
}

// UrgentSet switches between fetching each change as soon as possible and batching several changes
// into one call.
type UrgentSet struct{ On bool }

// Ticked is the event that a WakeAt action requested.
type Ticked struct{}

func (UrgentSet) event()    {}
func (Started) event()      {}
func (Listed) event()       {}
func (Watched) event()      {}
func (Failed) event()       {}
func (PeerAnswered) event() {}
func (Ticked) event()       {}
