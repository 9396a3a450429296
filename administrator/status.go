package administrator

import (
	"net/netip"
	"time"

	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
)

// InstanceStatus is an entry instance as it reported itself last.
type InstanceStatus struct {
	Instance      identifier.Instance      `json:"instance"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Address       netip.AddrPort           `json:"address"`
	BundleVersion identifier.BundleVersion `json:"bundleVersion"` // in force there; 0 for none or unknown
	Reachable     bool                     `json:"reachable"`     // from the instance that answers
	Leaving       bool                     `json:"leaving"`
	Age           formatter.Duration       `json:"age"` // of the report
}

// EndpointStatus is an engine or plain service as it was probed or listed last.
type EndpointStatus struct {
	Endpoint      identifier.Endpoint      `json:"endpoint"`
	Kind          string                   `json:"kind"`
	Service       identifier.Service       `json:"service,omitempty"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	FabricDomain  identifier.FabricDomain  `json:"fabricDomain,omitempty"`
	Address       netip.AddrPort           `json:"address"`
	State         string                   `json:"state"`
	Group         identifier.Group         `json:"group,omitempty"`
	Accelerators  int                      `json:"accelerators"`
	InFlight      int                      `json:"inFlight"`
	Capacity      int                      `json:"capacity"`
}

// GroupStatus is a replica group.
type GroupStatus struct {
	Group         identifier.Group         `json:"group"`
	Pool          identifier.Pool          `json:"pool"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	FabricDomain  identifier.FabricDomain  `json:"fabricDomain"`
	Epoch         identifier.Epoch         `json:"epoch"`
	Members       []identifier.Endpoint    `json:"members"`
	BundleVersion identifier.BundleVersion `json:"bundleVersion"`
	Ready         bool                     `json:"ready"`
	Remote        bool                     `json:"remote,omitempty"` // in a failure domain that the instance asked does not probe; Ready says nothing
	Reason        string                   `json:"reason,omitempty"` // why it is not ready
	Since         time.Time                `json:"since,omitzero"`
}
