package evacuator

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Event is an input of an Evacuator: EntryWritten or EntryRemoved.
type Event interface{ event() }

// EntryWritten reports that the operator's entry for a failure domain was written or written again.
type EntryWritten struct {
	Domain   identifier.FailureDomain
	Revision uint64 // of the entry
	Problem  string // why the value is malformed; empty if it is valid
}

// EntryRemoved reports that the operator's entry for a failure domain was removed.
type EntryRemoved struct{ Domain identifier.FailureDomain }

func (EntryWritten) event() {}
func (EntryRemoved) event() {}

// Action is an output of an Evacuator: Evacuated, Restored or Rejected.
type Action interface{ action() }

// Evacuated reports that the evacuation of a failure domain has begun.
type Evacuated struct{ Domain identifier.FailureDomain }

// Restored reports that the evacuation of a failure domain has ended.
type Restored struct {
	Domain identifier.FailureDomain
	Lasted time.Duration // as this instance knows it
}

// Rejected reports a malformed entry, once for each revision of the entry. The state of its domain stays.
type Rejected struct {
	Domain      identifier.FailureDomain
	Revision    uint64
	Problem     string
	IsEvacuated bool // the state that stays in force
}

func (Evacuated) action() {}
func (Restored) action()  {}
func (Rejected) action()  {}
