package prober

import (
	"time"

	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/keeper"
)

// endpoint is what a core knows of one endpoint.
type endpoint struct {
	keeper.Listing
	name    identifier.Endpoint
	listed  bool
	status  Status
	seenAt  time.Time // at least so recent is status; zero if there is none
	refused time.Time // when a probe was sent that found nothing listening; zero if none after seenAt
	latency time.Duration

	leaving     map[identifier.ProcessStart]bool // the runs that were seen to leave
	leavingNext bool                             // the list said so before any run was known

	nextProbe time.Time
	probing   bool
	slow      slowness
	sharing   sharing
}

// see takes over an account of the endpoint's status that is at least as recent as at.
func (e *endpoint) see(s Status, at time.Time) {
	if s.Leaving {
		e.leaving[s.ProcessStart] = true
	}
	if !at.After(e.seenAt) {
		return
	}
	if e.leavingNext && s.ProcessStart != 0 {
		e.leaving[s.ProcessStart] = true
		e.leavingNext = false
	}
	e.status, e.seenAt = s, at
	if at.After(e.refused) {
		e.refused = time.Time{}
	}
}

// list takes over what the platform's list says. A change to leaving counts for the run that
// was seen last; "live" proves nothing.
func (e *endpoint) list(l keeper.Listing) {
	became := l.State == keeper.StateLeaving && (!e.listed || e.State != keeper.StateLeaving)
	if e.listed && e.Address != l.Address {
		e.forget()
	}
	e.Listing, e.listed = l, true
	switch {
	case became && e.status.ProcessStart == 0:
		e.leavingNext = true
	case became:
		e.leaving[e.status.ProcessStart] = true
	}
}

// forget drops the account of another process that had this name at another address.
func (e *endpoint) forget() {
	e.status, e.seenAt, e.refused = Status{}, time.Time{}, time.Time{}
}

// isLeaving reports whether the endpoint's present run was seen to leave, or the list says so now.
func (e *endpoint) isLeaving() bool {
	return e.leaving[e.status.ProcessStart] || e.leavingNext || e.State == keeper.StateLeaving
}

// fresh reports whether the endpoint's own account may be acted on at now.
func (e *endpoint) fresh(now time.Time, freshFor time.Duration) bool {
	return e.listed && !e.seenAt.IsZero() && now.Sub(e.seenAt) <= freshFor && e.refused.IsZero()
}

// report returns the endpoint as grouper takes it.
func (e *endpoint) report(now time.Time, freshFor time.Duration) grouper.Report {
	s := e.status
	return grouper.Report{
		Endpoint: e.name, Address: e.Address, FabricDomain: e.FabricDomain,
		ProcessStart: s.ProcessStart, Group: s.Group, Epoch: s.Epoch, BundleVersion: s.BundleVersion, Loaded: s.Loaded,
		Leaving: e.isLeaving(), Slow: e.slow.flagged, Fresh: e.fresh(now, freshFor), Exited: !e.refused.IsZero(),
		InFlight: s.InFlight, Queued: s.Queued,
	}
}
