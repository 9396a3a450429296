package groupformer

import (
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// Event is what a Former learns: EndpointsSet, ServicesSet, HoldSet, StoreSet, Pressed, Requested, Suspected, Reported, Unreachable, Answered or Ticked.
type Event interface{ event() }

// EndpointsSet replaces the list of endpoints.
type EndpointsSet struct{ Endpoints []endpointlister.Endpoint }

// ServicesSet replaces the services of the operator's configuration.
type ServicesSet struct{ Services []resolver.Service }

// LeaseSet says until when the lease holds; the zero time says that it does not.
type LeaseSet struct {
	Until time.Time
	Fence uint64
}

// StoreHealthSet says whether the store, which the list comes from, is out of reach.
type StoreHealthSet struct{ Lost bool }

// LatencyReported tells how the requests of a model fared at one instance in the last second.
type LatencyReported struct {
	Service    identifier.Service
	Model      string
	Requests   int
	MissedGoal int // of these, after their goal or not at all
}

// FirstRequestReceived says that a first request has come.
type FirstRequestReceived struct{}

// HeadStalled says that the requests of a group's head stand still.
type HeadStalled struct{ Head identifier.Endpoint }

// Reported is an engine's own report, in answer to an Ask action. It has no service, address or domain.
type Reported struct {
	ID             identifier.Endpoint
	Endpoint       endpointlister.Endpoint
	AcceptedOrders uint64 // accepted in this run
	Busy           bool   // an order is in progress
}

// Unreachable says that an Ask action got no answer.
type Unreachable struct {
	ID                identifier.Endpoint
	ConnectionRefused bool // the host answered that nobody listens
	TriedInDomain     bool // an instance in the engine's failure domain has tried
	TriedByPeers      bool // all peers in reach have tried
}

// Result says what became of an order.
type Result uint8

// The results of an order.
const (
	ResultAccepted    Result = iota // it has begun
	ResultAlreadyDone               // it is done, or the state holds already
	ResultConflict                  // it does not fit the engine's state or number of orders
	ResultStale                     // its epoch or fence is too old
	ResultRefused                   // it was refused otherwise
	ResultReplaced                  // another engine has the address
	ResultUnanswered                // it may be carried out yet
)

// String names the result in logs and metrics.
func (r Result) String() string {
	return [...]string{"accepted", "holds", "conflict", "stale", "refused", "replaced", "unanswered"}[r]
}

// OrderEnded is what became of an order.
type OrderEnded struct {
	ID     identifier.Endpoint
	Number uint64 // of the Order action
	Result Result
}

// Ticked lets time pass.
type Ticked struct{}

func (EndpointsSet) event()         {}
func (ServicesSet) event()          {}
func (LeaseSet) event()             {}
func (StoreHealthSet) event()       {}
func (LatencyReported) event()      {}
func (FirstRequestReceived) event() {}
func (HeadStalled) event()          {}
func (Reported) event()             {}
func (Unreachable) event()          {}
func (OrderEnded) event()           {}
func (Ticked) event()               {}

// Operation is what an order asks for: Join, Open, Close, Leave or Stage.
type Operation interface{ operation() }

// Join makes the engine a member of a group. The first of Members is the head.
type Join struct {
	Group   identifier.Group
	Epoch   identifier.Epoch
	Model   string
	Members []identifier.Endpoint
}

// Open makes a head serve.
type Open struct {
	Group identifier.Group
	Epoch identifier.Epoch
}

// Close makes a head stop serving, at once or after what runs.
type Close struct {
	Group identifier.Group
	Epoch identifier.Epoch
	Abort bool
}

// Leave takes the engine out of its group.
type Leave struct {
	Group identifier.Group
	Epoch identifier.Epoch
}

// Stage brings the weights of a model to the engine's host.
type Stage struct{ Model string }

func (Join) operation()  {}
func (Open) operation()  {}
func (Close) operation() {}
func (Leave) operation() {}
func (Stage) operation() {}

// OperationName names an operation in logs and metrics.
func OperationName(o Operation) string {
	switch o.(type) {
	case Join:
		return "join"
	case Open:
		return "open"
	case Close:
		return "close"
	case Leave:
		return "leave"
	case Stage:
		return "stage"
	}
	return ""
}

// Action is what a Former wants done: Order, Ask, Note or Supply.
type Action interface{ action() }

// Order sends an order to an engine.
type Order struct {
	ID        identifier.Endpoint
	Number    uint64 // names the order in its answer
	Expected  uint64 // orders that the engine has accepted so far
	Operation Operation
}

// FetchReport asks an engine for its report.
type FetchReport struct {
	ID       identifier.Endpoint
	Reason   string
	ViaPeers bool // it did not answer before: peers are to ask, too
}

// LogDecision tells of a decision about a group or engine.
type LogDecision struct {
	Group    identifier.Group
	Epoch    identifier.Epoch
	Model    string
	Endpoint identifier.Endpoint // that gave the reason; empty for none
	Decision string
	Members  int
	Elapsed  time.Duration // since the group's last decision
}

// GroupCounts tells, once a second, how many groups of a model there are.
type GroupCounts struct {
	Service      identifier.Service
	Model        string
	Serving      int
	Forming      int
	Dissolving   int
	TargetGroups float64 // groups that the model's share of the engines would make
	Engines      int     // of the service that live
	Idle         int     // of these, in no group
}

func (GroupCounts) action() {}
func (Order) action()       {}
func (FetchReport) action() {}
func (LogDecision) action() {}
