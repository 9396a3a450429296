package groupformer

import (
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// Event is an input of a Former: EndpointsChanged, ServicesSet, LeaseSet, StoreHealthSet,
// LatencyReported, DemandReported, FirstRequestReceived, HeadStalled, LeavingStated, Reported, Unreachable,
// EvacuationChanged, OrderEnded or Ticked.
type Event interface{ event() }

// EndpointsChanged changes the list of endpoints.
type EndpointsChanged endpointlister.Changes

// ServicesSet replaces the services of the operator's configuration.
type ServicesSet struct{ Services []resolver.Service }

// LeaseSet reports until when the lease holds. The zero time means that this instance does not
// hold the lease.
type LeaseSet struct {
	Until time.Time
	Fence uint64 // revision of the lease's key
}

// StoreHealthSet reports whether the store, which provides the list of endpoints, is
// unreachable.
type StoreHealthSet struct{ Lost bool }

// EvacuationChanged replaces the evacuated failure domains, whose capacity counts as absent. The groups there stay and
// are repaired.
type EvacuationChanged struct{ Domains []identifier.FailureDomain }

// LatencyReported reports how the requests of a model at one instance met their latency goal
// in the last second.
type LatencyReported struct {
	Service    identifier.Service
	Model      string
	Requests   int
	MissedGoal int // of these, the requests answered after their goal or not at all
}

// DemandReported reports the work that arrived at one instance, also what it refused.
type DemandReported struct {
	Instance      identifier.Instance
	FailureDomain identifier.FailureDomain // of the instance
	Elapsed       time.Duration            // time that the counts cover, since the instance's previous report
	Instances     int                      // that the receiver lists, of which those that never report are assumed to get as much work as the others; zero if it is not known
	Models        []ModelDemand
}

// ModelDemand counts the work for a model.
type ModelDemand struct {
	Service      identifier.Service
	Model        string
	Requests     int
	Prompts      int // of Requests, those with a known number of prompt tokens
	PromptTokens int // of these
	Answers      int // streams that were delivered in full
	AnswerTokens int // of these
	Judged       int // requests that were answered or given up
	MissedGoal   int // of these, those that missed their latency goal or were given up
}

// FirstRequestReceived reports that the first request has arrived.
type FirstRequestReceived struct{}

// HeadStalled reports that the requests of a group's head are stalled.
type HeadStalled struct{ Head identifier.Endpoint }

// LeavingStated reports that a process of an engine has said in an answer that it leaves. It counts
// as draining from then on, whatever the list shows for this process.
type LeavingStated struct {
	ID           identifier.Endpoint
	ProcessStart identifier.ProcessStart
}

// Reported is an engine's own report in answer to a FetchReport action. Its Endpoint need not
// contain the service, address or domains.
type Reported struct {
	ID             identifier.Endpoint
	Endpoint       endpointlister.Endpoint
	AcceptedOrders uint64 // since the start of the process
	Busy           bool   // an order is in progress
}

// Unreachable reports that a FetchReport action got no answer.
type Unreachable struct {
	ID                identifier.Endpoint
	ConnectionRefused bool // the host answered that no process listens at the address
	TriedInDomain     bool // an instance in the engine's failure domain has tried
	TriedByPeers      bool // some peers have tried, those that could be reached of a few, or of all in a small fleet
}

// Result is the outcome of an order.
type Result uint8

// The results of an order.
const (
	ResultAccepted    Result = iota // the engine has begun to execute it
	ResultAlreadyDone               // it is done, or the state already matches
	ResultConflict                  // it does not match the engine's state or number of accepted orders
	ResultStale                     // its epoch or fence is too old
	ResultRefused                   // it was refused for another reason
	ResultReplaced                  // another engine has the address
	ResultUnanswered                // no answer arrived; the engine may still execute it
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	return [...]string{"accepted", "holds", "conflict", "stale", "refused", "replaced", "unanswered"}[r]
}

// OrderEnded reports the outcome of an order.
type OrderEnded struct {
	ID     identifier.Endpoint
	Number uint64 // of the Order action
	Result Result

	Leaving bool // the engine said in its answer that it leaves
}

// Ticked reports that time has passed.
type Ticked struct{}

func (EndpointsChanged) event()     {}
func (ServicesSet) event()          {}
func (LeaseSet) event()             {}
func (StoreHealthSet) event()       {}
func (LatencyReported) event()      {}
func (DemandReported) event()       {}
func (FirstRequestReceived) event() {}
func (HeadStalled) event()          {}
func (LeavingStated) event()        {}
func (EvacuationChanged) event()    {}
func (Reported) event()             {}
func (Unreachable) event()          {}
func (OrderEnded) event()           {}
func (Ticked) event()               {}

// Operation is the content of an order: Join, Open, Close, Leave or Stage.
type Operation interface{ operation() }

// Join makes the engine a member of a group. The first of Members is the head.
type Join struct {
	Group   identifier.Group
	Epoch   identifier.Epoch
	Model   string
	Members []identifier.Endpoint
}

// Open orders a head to serve.
type Open struct {
	Group identifier.Group
	Epoch identifier.Epoch
}

// Close orders a head to stop serving.
type Close struct {
	Group identifier.Group
	Epoch identifier.Epoch
	Abort bool // abort the running requests instead of completing them
}

// Leave removes the engine from its group.
type Leave struct {
	Group identifier.Group
	Epoch identifier.Epoch
}

// Stage copies the weights of a model to the engine's host.
type Stage struct{ Model string }

func (Join) operation()  {}
func (Open) operation()  {}
func (Close) operation() {}
func (Leave) operation() {}
func (Stage) operation() {}

// OperationName returns the name of an operation in orders, logs and metrics.
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

// Action is an output of a Former: Order, FetchReport, LogDecision, ShareChanged, GroupCounts or WakeAt.
type Action interface{ action() }

// Order sends an order to an engine.
type Order struct {
	ID        identifier.Endpoint
	Number    uint64 // identifies the order in OrderEnded
	Expected  uint64 // orders that the engine has accepted so far
	Operation Operation
}

// FetchReport queries an engine for its report.
type FetchReport struct {
	ID       identifier.Endpoint
	Reason   string
	ViaPeers bool // the previous query failed: peers query the engine as well
}

// LogDecision logs a decision about a group or engine.
type LogDecision struct {
	Group    identifier.Group
	Epoch    identifier.Epoch
	Model    string
	Endpoint identifier.Endpoint // the endpoint that caused the decision; empty for none
	Decision string
	Members  int
	Elapsed  time.Duration // since the group's previous change of phase
}

// ShareChanged reports that demand has changed a model's share of the engines by more than a tenth of all engines, and why.
type ShareChanged struct {
	Service           identifier.Service
	Model             string
	Before, Share     float64 // part of the engines
	Groups            int     // that demand asks for; zero if the operator's share applies
	Engines           int     // that groups within a fabric domain can use
	LargestPart       float64 // part of these engines that the largest failure domain has
	RequestsPerSecond float64
	PromptTokens      float64 // mean of a request
	AnswerTokens      float64 // mean of a request

	Present, Loss, Jump float64 // groups that the work needs, also after the loss of a failure domain, and also in a jump
}

// GroupCounts reports, once a second, the number of groups of a model.
type GroupCounts struct {
	Service      identifier.Service
	Model        string
	Serving      int
	Forming      int
	Dissolving   int
	Evacuated    int     // of the serving groups, those with a member in an evacuated failure domain, to which no requests are sent or only the last
	TargetGroups float64 // groups that the model's share of the engines would form
	Engines      int     // engines of the service that are neither dead nor draining
	Idle         int     // of these, the engines that no group needs
	Demand       float64 // engines that the model's present work needs; zero if it is not known
}

// WakeAt requests a Ticked event at a time, in addition to regular ones.
type WakeAt struct{ At time.Time }

func (ShareChanged) action() {}
func (GroupCounts) action()  {}
func (WakeAt) action()       {}
func (Order) action()        {}
func (FetchReport) action()  {}
func (LogDecision) action()  {}
