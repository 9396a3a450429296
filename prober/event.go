package prober

import (
	"net/netip"
	"time"

	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/linker"
	"amaranthmill/router"
	"amaranthmill/storeclient"
)

// Event is an input of a Core: Listed, RecordsSet, PeersSet, Probed, ProbeFailed,
// DigestReceived or Tick.
type Event interface{ event() }

// Listed provides the platform's list of instances and endpoints, which lags behind their state.
type Listed struct{ Listings []storeclient.Listing }

// RecordsSet provides all group records of the failure domain.
type RecordsSet struct{ Records []grouper.Record }

// PeersSet provides the reachable instances of the failure domain, including this one.
type PeersSet struct{ Instances []identifier.Instance }

// Probed is an endpoint's answer to a probe.
type Probed struct {
	Endpoint identifier.Endpoint
	Status   Status
	SentAt   time.Time // when the probe was sent; the answer is at least as recent
}

// Status is what an endpoint reports about itself.
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

// ProbeFailed reports that a probe had no valid answer.
type ProbeFailed struct {
	Endpoint identifier.Endpoint
	SentAt   time.Time
	Refused  bool // nothing listens at the address, so the process has certainly exited
}

// DigestReceived is a digest of endpoint reports from a peer.
type DigestReceived struct {
	From   identifier.Instance
	Digest linker.ProbeDigest
}

// Tick reports the current time.
type Tick struct{}

func (Listed) event()         {}
func (RecordsSet) event()     {}
func (PeersSet) event()       {}
func (Probed) event()         {}
func (ProbeFailed) event()    {}
func (DigestReceived) event() {}
func (Tick) event()           {}

// Action is an output of a Core: Probe, Publish, Report or Share.
type Action interface{ action() }

// Probe requests the status of an endpoint.
type Probe struct {
	Endpoint identifier.Endpoint
	Address  netip.AddrPort
}

// Publish provides the complete set of targets of the failure domain.
type Publish struct{ Targets []router.Target }

// Report provides the state of all model endpoints of the failure domain.
type Report struct{ Reports []grouper.Report }

// Share requests that a digest is sent to the peers of the failure domain.
type Share struct{ Digest linker.ProbeDigest }

func (Probe) action()   {}
func (Publish) action() {}
func (Report) action()  {}
func (Share) action()   {}
