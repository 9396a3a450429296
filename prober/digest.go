package prober

import (
	"net/netip"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/ranker"
	"amaranthmill/linker"
)

// fullEvery is the time after which a report is shared in full again, for peers that missed it.
const fullEvery = 10 * time.Second

// sharing is what peers were last told of an endpoint that this instance probes.
type sharing struct {
	due    bool // an own probe succeeded since the last digest
	status Status
	fullAt time.Time               // when the report last went out in full; zero if never
	left   identifier.ProcessStart // the run whose leaving peers were told or told of; zero if none
}

// share returns what this instance's own probes saw since the last digest, and what it was the
// first to learn of leaving. What changed goes out at once and in full. That the rest is still as it was is told by the first of an
// endpoint's probers only, without group and address, which peers know by the epoch.
func (c *Core) share(now time.Time) []Action {
	if len(c.peers) < 2 {
		return nil
	}
	round := !now.Before(c.nextShare)
	if round {
		c.nextShare = now.Add(c.cfg.ShareInterval)
	}
	var d linker.ProbeDigest
	for _, ep := range c.sorted() {
		left := ep.leaving[ep.status.ProcessStart] && ep.sharing.left != ep.status.ProcessStart
		if !ep.listed || !ep.sharing.due && !left {
			continue
		}
		changed := left || ep.sharing.fullAt.IsZero() || !ep.sharing.status.sameRole(ep.status)
		if !changed && !(round && ranker.Chosen(ep.name, c.peers, c.cfg.Instance, 1)) {
			continue
		}
		d.Reports = append(d.Reports, ep.share(now, changed || now.Sub(ep.sharing.fullAt) >= fullEvery))
	}
	if len(d.Reports) == 0 {
		return nil
	}
	return []Action{Share{Digest: d}}
}

// sameRole reports whether s and o differ at most in load.
func (s Status) sameRole(o Status) bool {
	s.InFlight, s.Queued, s.Capacity = o.InFlight, o.Queued, o.Capacity
	return s == o
}

// share returns the endpoint's report for peers, in full or without what they know.
func (e *endpoint) share(now time.Time, full bool) linker.ProbeReport {
	e.sharing.due, e.sharing.status = false, e.status
	if e.leaving[e.status.ProcessStart] {
		e.sharing.left = e.status.ProcessStart
	}
	s := e.status
	r := linker.ProbeReport{
		Endpoint: e.name, Address: e.Address, ProcessStart: s.ProcessStart, Group: s.Group, Epoch: s.Epoch,
		BundleVersion: s.BundleVersion, Loaded: s.Loaded, Leaving: e.leaving[s.ProcessStart], Reachable: e.refused.IsZero(),
		InFlight: s.InFlight, Queued: s.Queued, Capacity: s.Capacity, Age: now.Sub(e.seenAt), Latency: e.latency,
	}
	if full {
		e.sharing.fullAt = now
		return r
	}
	r.Address, r.Group = netip.AddrPort{}, ""
	return r
}

// digest takes over a peer's accounts. One whose age is negative is dropped, and so is one
// without address whose process and epoch are not those known here.
func (c *Core) digest(now time.Time, e DigestReceived) {
	for _, r := range e.Digest.Reports {
		ep := c.endpoint(r.Endpoint)
		group := r.Group
		if !r.Address.IsValid() {
			group = ep.status.Group
		}
		known := r.Address.IsValid() || ep.status.ProcessStart == r.ProcessStart && ep.status.Epoch == r.Epoch
		if r.Age < 0 || !known {
			continue
		}
		if r.Leaving {
			ep.sharing.left = r.ProcessStart
		}
		s := Status{
			ProcessStart: r.ProcessStart, Group: group, Epoch: r.Epoch, BundleVersion: r.BundleVersion,
			Loaded: r.Loaded, Leaving: r.Leaving, InFlight: r.InFlight, Queued: r.Queued, Capacity: r.Capacity,
		}
		c.see(ep, s, now.Add(-r.Age-c.cfg.TransitTime))
	}
}
