package grouper

import (
	"net/netip"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// Event is an input of a Core: RecordsRead, ReportsReceived, BundleSet, LeaseChanged,
// PreferenceChanged, Saved, SaveFailed, OrderDone or Tick.
type Event interface{ event() }

// RecordsRead contains all records of the local failure domain, as stored by the platform.
type RecordsRead struct{ Records []StoredRecord }

// StoredRecord is a record with its revision on the platform.
type StoredRecord struct {
	Record   Record
	Revision uint64
}

// ReportsReceived contains the reports of all model endpoints of the local failure domain.
type ReportsReceived struct{ Reports []Report }

// BundleSet sets the bundle in force.
type BundleSet struct{ Bundle *bundler.Bundle }

// LeaseChanged says until when the repair lease of a fabric domain may be acted on; the zero
// time says that the lease is lost.
type LeaseChanged struct {
	FabricDomain identifier.FabricDomain
	Until        time.Time
}

// PreferenceChanged says whether this instance ranks first among its peers for a fabric
// domain. The preferred instance carries out successions there unless it holds the lease.
type PreferenceChanged struct {
	FabricDomain identifier.FabricDomain
	Preferred    bool
}

// Saved says that the platform stored a record, and under which revision.
type Saved struct{ Stored StoredRecord }

// SaveFailed says that the platform did not confirm a save. If CurrentKnown is set, the
// outcome is known, and Current is the record read from the platform afterwards; a zero
// Current leaves the known record in force.
type SaveFailed struct {
	FabricDomain identifier.FabricDomain
	CurrentKnown bool
	Current      StoredRecord
}

// OrderDone says whether an endpoint accepted an order.
type OrderDone struct {
	Order        Order
	Accepted     bool
	ProcessStart identifier.ProcessStart // the process that accepted the order
}

// Tick advances the time. Only a Tick causes actions.
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

// Action is an output of a Core: Save, Send or Note.
type Action interface{ action() }

// Save stores a record if its revision on the platform is still Revision; zero creates the
// record.
type Save struct {
	Record   Record
	Revision uint64
}

// Send sends an order to an endpoint, unless the deadline of the order has passed.
type Send struct{ Order Order }

// Note reports a decision to operators.
type Note struct {
	FabricDomain identifier.FabricDomain
	Group        identifier.Group
	Endpoint     identifier.Endpoint // empty if the decision concerns the group as a whole
	Decision     Decision
}

// Decision is a step taken by the repair policy.
type Decision string

// The decisions of the repair policy.
const (
	DecisionCreate   Decision = "create"   // created a group from free endpoints
	DecisionReadmit  Decision = "readmit"  // readmitted a member that returned with a new process start
	DecisionReplace  Decision = "replace"  // replaced a member by a free endpoint
	DecisionRemove   Decision = "remove"   // removed a group
	DecisionDrain    Decision = "drain"    // stopped new requests to a group before it is changed or removed
	DecisionResume   Decision = "resume"   // resumed a draining group that needs no change any more
	DecisionUpdate   Decision = "update"   // updated a group to the model of a newer bundle
	DecisionPromise  Decision = "promise"  // reserved a free endpoint as standby of a group
	DecisionWithdraw Decision = "withdraw" // cancelled the reservation of a standby that became unusable
	DecisionSucceed  Decision = "succeed"  // adopted a succession, in which a standby replaced a member
)

func (Save) action() {}
func (Send) action() {}
func (Note) action() {}

// OrderKind says what an order requests from an endpoint.
type OrderKind string

// The kinds of order.
const (
	OrderAssign  OrderKind = "assign"
	OrderRelease OrderKind = "release"
	// OrderLoad orders an endpoint to leave any group and to load a model, so that it can
	// later replace a lost member without a load.
	OrderLoad OrderKind = "load"
)

// Order instructs an endpoint to join or leave a group, or to load a model.
type Order struct {
	Endpoint identifier.Endpoint
	Address  netip.AddrPort
	Kind     OrderKind
	Fence    uint64     // the revision of the record that the order carries out
	Deadline time.Time  // after which the order is neither sent nor accepted
	Group    Assignment // for OrderAssign; for OrderLoad only the model is set
}
