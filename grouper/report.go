package grouper

import (
	"net/netip"

	"amaranthmill/internal/identifier"
)

// Report is one endpoint as its failure domain's probers last saw it, by its own account.
type Report struct {
	Endpoint      identifier.Endpoint
	Address       netip.AddrPort
	FabricDomain  identifier.FabricDomain
	ProcessStart  identifier.ProcessStart // zero if no probe ever succeeded
	Group         identifier.Group
	Epoch         identifier.Epoch
	BundleVersion identifier.BundleVersion
	Loaded        bool
	Leaving       bool
	Slow          bool // a straggler
	Fresh         bool // the endpoint's own account is recent enough to act on
	Exited        bool // its process has certainly ended
	InFlight      int
	Queued        int
}

// Serves reports whether r shows member m of group a whole and ready: a fresh account of the
// same process start, group, epoch and bundle version, with the model loaded.
func (r *Report) Serves(a *Assignment, m Member) bool {
	return r.Fresh && r.Loaded && r.ProcessStart == m.ProcessStart &&
		r.Group == a.Group && r.Epoch == a.Epoch && r.BundleVersion == a.BundleVersion
}
