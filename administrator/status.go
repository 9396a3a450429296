package administrator

import (
	"net/netip"
	"time"

	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
)

// InstanceStatus is the last reported status of an entry instance.
type InstanceStatus struct {
	Instance      identifier.Instance      `json:"instance"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Address       netip.AddrPort           `json:"address"`
	BundleVersion identifier.BundleVersion `json:"bundleVersion"` // in force on that instance; 0 if none or unknown
	Reachable     bool                     `json:"reachable"`     // from the instance that answers
	Leaving       bool                     `json:"leaving"`
	Age           formatter.Duration       `json:"age"` // time since the report
}

// EndpointStatus is the status of an engine or plain service from the last probe or list.
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

// GroupStatus is the status of a replica group.
type GroupStatus struct {
	Group         identifier.Group         `json:"group"`
	Pool          identifier.Pool          `json:"pool"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	FabricDomain  identifier.FabricDomain  `json:"fabricDomain"`
	Epoch         identifier.Epoch         `json:"epoch"`
	Members       []identifier.Endpoint    `json:"members"`
	BundleVersion identifier.BundleVersion `json:"bundleVersion"`
	Ready         bool                     `json:"ready"`
	Remote        bool                     `json:"remote,omitempty"` // in a failure domain that the answering instance does not probe; Ready is then meaningless
	Reason        string                   `json:"reason,omitempty"` // why it is not ready
	Since         time.Time                `json:"since,omitzero"`
}
