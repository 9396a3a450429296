package prober

import (
	"time"

	"amaranthmill/linker"
)

// share returns what this instance's own probes saw since the last digest.
func (c *Core) share(now time.Time) []Action {
	if now.Before(c.nextShare) || len(c.peers) < 2 {
		return nil
	}
	c.nextShare = now.Add(c.cfg.ShareEvery)
	var d linker.ProbeDigest
	for _, ep := range c.sorted() {
		if !ep.listed || !ep.unshared {
			continue
		}
		ep.unshared = false
		d.Reports = append(d.Reports, ep.digestReport(now))
	}
	if len(d.Reports) == 0 {
		return nil
	}
	return []Action{Share{Digest: d}}
}

func (e *endpoint) digestReport(now time.Time) linker.ProbeReport {
	s := e.status
	return linker.ProbeReport{
		Endpoint: e.name, Address: e.Address, ProcessStart: s.ProcessStart, Group: s.Group, Epoch: s.Epoch,
		BundleVersion: s.BundleVersion, Loaded: s.Loaded, Leaving: e.leaving[s.ProcessStart], Reachable: e.refused.IsZero(),
		InFlight: s.InFlight, Queued: s.Queued, Capacity: s.Capacity, Age: now.Sub(e.seenAt), Latency: e.latency,
	}
}

// digest takes over a peer's accounts. An account whose age is unknown or negative is dropped.
func (c *Core) digest(now time.Time, e DigestReceived) {
	for _, r := range e.Digest.Reports {
		if r.Age < 0 {
			continue
		}
		s := Status{
			ProcessStart: r.ProcessStart, Group: r.Group, Epoch: r.Epoch, BundleVersion: r.BundleVersion,
			Loaded: r.Loaded, Leaving: r.Leaving, InFlight: r.InFlight, Queued: r.Queued, Capacity: r.Capacity,
		}
		c.endpoint(r.Endpoint).see(s, now.Add(-r.Age-c.cfg.Transit))
	}
}
