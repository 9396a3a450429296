package prober

import (
	"net/netip"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/ranker"
	"amaranthmill/linker"
)

// fullReportInterval is the time after which a report is shared in full again, for peers that missed
// the last full report.
const fullReportInterval = 10 * time.Second

// sharedState is what peers were last sent about an endpoint that this instance probes.
type sharedState struct {
	probedSince  bool // a probe by this instance succeeded since the last digest
	status       Status
	fullAt       time.Time               // when the last full report was sent; zero if never
	leavingStart identifier.ProcessStart // start of the last process whose leaving was sent to peers or received from one; zero if none
}

// shareDigest returns a digest for peers: what probes by this instance observed since the last digest,
// and leaving that this instance learned of first. Changes are sent at once and in full. For an
// unchanged endpoint, only the first of its probers sends a report, once per ShareInterval. Unless a
// full report is due, that report omits group and address, because a peer that knows the process start
// and epoch knows these as well.
func (c *Core) shareDigest(now time.Time) []Action {
	if len(c.peers) < 2 {
		return nil
	}
	roundDue := !now.Before(c.nextShareAt)
	if roundDue {
		c.nextShareAt = now.Add(c.cfg.ShareInterval)
	}
	var d linker.ProbeDigest
	for _, ep := range c.sortedEndpoints() {
		newlyLeaving := ep.leaving[ep.status.ProcessStart] && ep.shared.leavingStart != ep.status.ProcessStart
		if !ep.listed || !ep.shared.probedSince && !newlyLeaving {
			continue
		}
		changed := newlyLeaving || ep.shared.fullAt.IsZero() || !ep.shared.status.equalExceptLoad(ep.status)
		if !changed && !(roundDue && ranker.IsTopRanked(ep.name, c.peers, c.cfg.Instance, 1)) {
			continue
		}
		d.Reports = append(d.Reports, ep.peerReport(now, changed || now.Sub(ep.shared.fullAt) >= fullReportInterval))
	}
	if len(d.Reports) == 0 {
		return nil
	}
	return []Action{Share{Digest: d}}
}

// equalExceptLoad reports whether s and o differ at most in load.
func (s Status) equalExceptLoad(o Status) bool {
	s.InFlight, s.Queued, s.Capacity = o.InFlight, o.Queued, o.Capacity
	return s == o
}

// peerReport returns the report of the endpoint for peers, either in full or without address and group.
func (e *endpoint) peerReport(now time.Time, full bool) linker.ProbeReport {
	e.shared.probedSince, e.shared.status = false, e.status
	if e.leaving[e.status.ProcessStart] {
		e.shared.leavingStart = e.status.ProcessStart
	}
	s := e.status
	r := linker.ProbeReport{
		Endpoint: e.name, Address: e.Address, ProcessStart: s.ProcessStart, Group: s.Group, Epoch: s.Epoch,
		BundleVersion: s.BundleVersion, Loaded: s.Loaded, Leaving: e.leaving[s.ProcessStart], Reachable: e.refusedAt.IsZero(),
		InFlight: s.InFlight, Queued: s.Queued, Capacity: s.Capacity, Age: now.Sub(e.statusAt), Latency: e.latency,
	}
	if full {
		e.shared.fullAt = now
		return r
	}
	r.Address, r.Group = netip.AddrPort{}, ""
	return r
}

// applyDigest records the reports of a peer. It drops a report with a negative age, and a report
// without address whose process start and epoch differ from those known here.
func (c *Core) applyDigest(now time.Time, e DigestReceived) {
	for _, r := range e.Digest.Reports {
		ep := c.ensureEndpoint(r.Endpoint)
		group := r.Group
		if !r.Address.IsValid() {
			group = ep.status.Group
		}
		known := r.Address.IsValid() || ep.status.ProcessStart == r.ProcessStart && ep.status.Epoch == r.Epoch
		if r.Age < 0 || !known {
			continue
		}
		if r.Leaving {
			ep.shared.leavingStart = r.ProcessStart
		}
		s := Status{
			ProcessStart: r.ProcessStart, Group: group, Epoch: r.Epoch, BundleVersion: r.BundleVersion,
			Loaded: r.Loaded, Leaving: r.Leaving, InFlight: r.InFlight, Queued: r.Queued, Capacity: r.Capacity,
		}
		c.recordStatus(ep, s, now.Add(-r.Age-c.cfg.TransitTime))
	}
}
