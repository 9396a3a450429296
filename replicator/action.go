package replicator

import (
	"time"

	"amaranthmill/storeclient"
)

// Action is an output of a Core: List, Watch, QueryPeers, FetchValue, WakeAt, Restored, NotifyChanges,
// Ignored, Health or Contact.
type Action interface{ action() }

// Call identifies a call to the store. Its answer or failure is reported with the same Call. All calls
// between two answers belong to one round.
type Call struct {
	Round      uint64
	Era        storeclient.Era // of the replica when the call was made, in which the revision of a Watch counts
	At         time.Time       // when the call was made
	PreviousAt time.Time       // when the call before it was made
}

// List requests all entries from the store.
type List struct{ Call Call }

// Watch requests the changes after a revision from the store. With Poll, the answer must not wait for
// changes, because it shows that the store answers again.
type Watch struct {
	After uint64
	Poll  bool
	Call  Call
}

// QueryPeers queries one peer for what its replica holds beyond a revision. Its answer is reported with the query.
type QueryPeers struct {
	Era   storeclient.Era // in which After counts
	After uint64
}

// WakeAt requests a Ticked event at At. It replaces the previous WakeAt.
type WakeAt struct{ At time.Time }

// NotifyChanges reports entries that were written or removed, in the order in which they were applied.
type NotifyChanges struct {
	Changes []storeclient.Change
	Origin  Origin
}

// Health reports that the store was lost or answers again.
type Health struct {
	Lost     bool
	Since    time.Time // if Lost, the time of the store's last answer; otherwise the time of the loss
	Answered Call      // the call that the store answered; zero if Lost
}

func (List) action()          {}
func (Watch) action()         {}
func (QueryPeers) action()    {}
func (WakeAt) action()        {}
func (NotifyChanges) action() {}
func (Health) action()        {}
