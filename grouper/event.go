package grouper

import (
	"net/netip"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// Event is what a Core learns: RecordsRead, ReportsReceived, BundleSet, LeaseChanged,
// PreferenceChanged, Saved, SaveFailed, OrderDone or Tick.
type Event interface{ event() }

// RecordsRead gives all records of the own failure domain as the platform has them.
type RecordsRead struct{ Records []StoredRecord }

// StoredRecord is a record with the revision under which the platform keeps it.
type StoredRecord struct {
	Record   Record
	Revision uint64
}

// ReportsReceived gives all model endpoints of the own failure domain.
type ReportsReceived struct{ Reports []Report }

// BundleSet gives the bundle in force.
type BundleSet struct{ Bundle *bundler.Bundle }

// LeaseChanged says until when the repair lease of a fabric domain may be acted on; the
// zero time says that it is lost.
type LeaseChanged struct {
	FabricDomain identifier.FabricDomain
	Until        time.Time
}

// PreferenceChanged says whether this instance is the first choice to act in a fabric domain if
// nobody holds its lease.
type PreferenceChanged struct {
	FabricDomain identifier.FabricDomain
	Preferred    bool
}

// Saved says that the platform took a record under a revision.
type Saved struct{ Stored StoredRecord }

// SaveFailed says that the platform refused a record or that its answer was lost. Known says
// that Present is what the platform had when it was read afterwards.
type SaveFailed struct {
	FabricDomain identifier.FabricDomain
	CurrentKnown bool
	Current      StoredRecord
}

// OrderDone says how an endpoint took an order.
type OrderDone struct {
	Order        Order
	Accepted     bool
	ProcessStart identifier.ProcessStart // of the endpoint that accepted it
}

// Tick lets time pass. Only a Tick causes actions.
type Tick struct{}

func (RecordsRead) event()       {}
func (ReportsReceived) event()   {}
func (BundleSet) event()         {}
func (LeaseChanged) event()      {}
func (PreferenceChanged) event() {}
func (Saved) event()             {}
func (SaveFailed) event()        {}
func (OrderDone) event()         {}
func (Tick) event()              {}

// Action is what a Core wants done: Save, Send or Note.
type Action interface{ action() }

// Save writes a record if the platform still has Revision; zero creates it.
type Save struct {
	Record   Record
	Revision uint64
}

// Send gives an order to an endpoint, unless its deadline has passed when it is sent.
type Send struct{ Order Order }

// Note tells operators of a decision.
type Note struct {
	FabricDomain identifier.FabricDomain
	Group        identifier.Group
	Endpoint     identifier.Endpoint // empty if it concerns the whole group
	Decision     Decision
}

// Decision is a step that the repair policy took.
type Decision string

// The decisions of the repair policy.
const (
	DecisionCreate   Decision = "create"   // a group from free endpoints
	DecisionReadmit  Decision = "readmit"  // a member that returned with a new process start
	DecisionReplace  Decision = "replace"  // a member by a free endpoint
	DecisionRemove   Decision = "remove"   // a group
	DecisionDrain    Decision = "drain"    // a group, before it is changed or removed
	DecisionResume   Decision = "resume"   // a group that was drained for nothing
	DecisionUpdate   Decision = "update"   // a drained group to the model of a newer bundle
	DecisionPromise  Decision = "promise"  // a free endpoint as standby
	DecisionWithdraw Decision = "withdraw" // a promise that its standby can no longer keep
	DecisionSucceed  Decision = "succeed"  // a standby that took a member's place
)

func (Save) action() {}
func (Send) action() {}
func (Note) action() {}

// OrderKind says what an order asks of an endpoint.
type OrderKind string

// The kinds of order.
const (
	OrderAssign  OrderKind = "assign"
	OrderRelease OrderKind = "release"
	// OrderLoad asks an endpoint to leave any group and to load a model, so that it can take
	// a lost member's place without loading then.
	OrderLoad OrderKind = "load"
)

// Order asks one endpoint to join or leave a group, or to load a model.
type Order struct {
	Endpoint identifier.Endpoint
	Address  netip.AddrPort
	Kind     OrderKind
	Fence    uint64     // the revision of the record that the order carries out
	Deadline time.Time  // neither sent nor obeyed later
	Group    Assignment // of an assignment; of a load only its model
}
