package prober

import (
	"net/netip"
	"time"

	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/keeper"
	"amaranthmill/linker"
	"amaranthmill/router"
)

// Event is what a Core learns: Listed, RecordsSet, PeersSet, Probed, ProbeFailed,
// DigestReceived or Tick.
type Event interface{ event() }

// Listed gives the platform's list, which lags.
type Listed struct{ Listings []keeper.Listing }

// RecordsSet gives all group records of the failure domain.
type RecordsSet struct{ Records []grouper.Record }

// PeersSet gives the instances of the failure domain that are in reach, with this one.
type PeersSet struct{ Instances []identifier.Instance }

// Probed is an endpoint's own answer to a probe.
type Probed struct {
	Endpoint identifier.Endpoint
	Status   Status
	SentAt   time.Time // when the probe was sent, so that the answer is at least that recent
}

// Status is what an endpoint says of itself.
type Status struct {
	ProcessStart  identifier.ProcessStart
	Group         identifier.Group
	Epoch         identifier.Epoch
	BundleVersion identifier.BundleVersion
	Loaded        bool
	Leaving       bool
	InFlight      int
	Queued        int
	Capacity      int
}

// ProbeFailed says that a probe had no valid answer.
type ProbeFailed struct {
	Endpoint identifier.Endpoint
	SentAt   time.Time
	Refused  bool // nothing listens at the address, so the process is certainly gone
}

// DigestReceived is what a peer saw.
type DigestReceived struct {
	From   identifier.Instance
	Digest linker.ProbeDigest
}

// Tick lets time pass.
type Tick struct{}

func (Listed) event()         {}
func (RecordsSet) event()     {}
func (PeersSet) event()       {}
func (Probed) event()         {}
func (ProbeFailed) event()    {}
func (DigestReceived) event() {}
func (Tick) event()           {}

// Action is what a Core wants done: Probe, Publish, Report or Share.
type Action interface{ action() }

// Probe asks an endpoint for its status.
type Probe struct {
	Endpoint identifier.Endpoint
	Address  netip.AddrPort
}

// Publish gives the whole set of the failure domain's targets.
type Publish struct{ Targets []router.Target }

// Report gives the state of all model endpoints of the failure domain.
type Report struct{ Reports []grouper.Report }

// Share gives peers what this instance's own probes saw.
type Share struct{ Digest linker.ProbeDigest }

func (Probe) action()   {}
func (Publish) action() {}
func (Report) action()  {}
func (Share) action()   {}
