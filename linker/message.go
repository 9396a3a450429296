package linker

import (
	"net/netip"
	"time"

	"amaranthmill/internal/identifier"
)

// Message is sent between instances: BundleOffer, ProbeDigest, Suspicion, LoadSummary or
// DemandAnnouncement.
type Message interface{ message() }

// BundleOffer offers a signed bundle document to a peer that has an older one.
type BundleOffer struct {
	Version  identifier.BundleVersion
	Document []byte
}

// ProbeDigest carries a prober's results for the endpoints that it probes.
type ProbeDigest struct {
	Reports []ProbeReport
}

// ProbeReport is the state of one endpoint at its last probe.
type ProbeReport struct {
	Endpoint      identifier.Endpoint
	Address       netip.AddrPort
	ProcessStart  identifier.ProcessStart
	Group         identifier.Group
	Epoch         identifier.Epoch
	BundleVersion identifier.BundleVersion
	Loaded        bool
	Leaving       bool
	Reachable     bool
	InFlight      int
	Queued        int
	Capacity      int
	Age           time.Duration // since the prober's last successful probe
	Latency       time.Duration // of the last successful probe
}

// Suspicion reports that endpoints crashed while they ran requests with this fingerprint.
type Suspicion struct {
	Fingerprint uint64
	Crashes     int
	GroupsLost  []identifier.Group
	TTL         time.Duration // time until the suspicion expires
}

// LoadSummary reports how many requests of other failure domains an instance's failure
// domain can accept.
type LoadSummary struct {
	FailureDomain identifier.FailureDomain
	Services      []ServiceLoad
}

// ServiceLoad is the load of one pool or plain service in one failure domain.
type ServiceLoad struct {
	Pool     identifier.Pool
	Free     int // requests that could start now
	Capacity int // requests that can run at once; zero if no endpoint is ready
}

// DemandAnnouncement carries the demand that an instance predicts for client accounts. An
// announcement with a lower Sequence than the last one from the same instance is outdated.
type DemandAnnouncement struct {
	Sequence uint64
	Demands  []AccountDemand
}

// AccountDemand is the predicted demand of one client account at one instance.
type AccountDemand struct {
	Account           identifier.ClientAccount
	RequestsPerSecond float64
}

func (BundleOffer) message()        {}
func (ProbeDigest) message()        {}
func (Suspicion) message()          {}
func (LoadSummary) message()        {}
func (DemandAnnouncement) message() {}

// Peer describes another instance as it appears in the platform's list or in the settings.
type Peer struct {
	Instance      identifier.Instance
	FailureDomain identifier.FailureDomain
	Address       netip.AddrPort
}
