package runner

import (
	"context"
	"net/netip"

	"amaranthmill/forwarder"
	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// setReach records whether this instance is cut off from most endpoints. An instance that is forms no groups:
// its orders reach no engine, while a peer's do.
func (h *hosted) setReach(isCutOff bool) {
	h.isCutOff.Store(isCutOff)
	go func() { h.formingLease.SetCandidate(!h.isCutOff.Load()) }()
}

// peerAddress returns the address at which a peer answers this instance, or false if it is not listed.
func (h *hosted) peerAddress(name identifier.Instance) (netip.AddrPort, bool) {
	p, ok := h.peers.Find(name)
	return p.Address, ok
}

// probe reports whether anything comes from the endpoint of a target over a new connection.
func (h *hosted) probe(ctx context.Context, t scheduler.Target) bool {
	healthPath := ""
	service, model := forwarder.SplitPool(t.Pool)
	if s := h.resolver.Service(service); s != nil {
		healthPath = s.HealthPath
	}
	isAnswering, coldFor := h.groupFormer.engines.IsAnswering(ctx, t.Address, model != "", healthPath)
	h.forwarder.ReportCold(t.Process(), coldFor)
	return isAnswering
}
