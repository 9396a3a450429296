package grouper

import (
	"net/netip"

	"amaranthmill/internal/identifier"
)

// Report is the state of one endpoint as last observed by the probers of its failure domain.
// It repeats the endpoint's own status report.
type Report struct {
	Endpoint      identifier.Endpoint
	Address       netip.AddrPort
	FabricDomain  identifier.FabricDomain
	ProcessStart  identifier.ProcessStart // zero if no probe has succeeded
	Group         identifier.Group
	Epoch         identifier.Epoch
	BundleVersion identifier.BundleVersion
	Loaded        bool
	Leaving       bool
	Slow          bool // the endpoint is a straggler
	Fresh         bool // the endpoint's status report is recent enough to act on
	Exited        bool // its process has certainly exited
	InFlight      int
	Queued        int
}

// Serves reports whether r shows that member m of group a is ready: a fresh status report with
// the same process start, group, epoch and bundle version, and the model loaded.
func (r *Report) Serves(a *Assignment, m Member) bool {
	return r.Fresh && r.Loaded && r.ProcessStart == m.ProcessStart &&
		r.Group == a.Group && r.Epoch == a.Epoch && r.BundleVersion == a.BundleVersion
}
