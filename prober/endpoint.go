package prober

import (
	"time"

	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// endpoint is the state of one endpoint in a Core.
type endpoint struct {
	storeclient.Listing
	name      identifier.Endpoint
	listed    bool
	status    Status
	statusAt  time.Time // lower bound of the time of status; zero if there is no status
	refusedAt time.Time // when the last refused probe was sent; zero if status is more recent
	latency   time.Duration

	leaving       map[identifier.ProcessStart]bool // process starts that were reported as leaving
	leavingUnseen bool                             // the list reported leaving before any process start was known

	nextProbeAt  time.Time
	probePending bool
	straggler    stragglerState
	shared       sharedState
}

// recordStatus records a status of the endpoint that is at least as recent as at. It ignores a status
// older than the recorded one, except that leaving always counts.
func (e *endpoint) recordStatus(s Status, at time.Time) {
	if s.Leaving {
		e.leaving[s.ProcessStart] = true
	}
	if !at.After(e.statusAt) {
		return
	}
	if e.leavingUnseen && s.ProcessStart != 0 {
		e.leaving[s.ProcessStart] = true
		e.leavingUnseen = false
	}
	e.status, e.statusAt = s, at
	if at.After(e.refusedAt) {
		e.refusedAt = time.Time{}
	}
}

// applyListing applies the platform's listing of the endpoint. A change of the listed state to leaving
// counts for the process that was last seen. A listed state of live does not end leaving, because the
// list lags.
func (e *endpoint) applyListing(l storeclient.Listing) {
	leavingStarted := l.State == storeclient.StateLeaving && (!e.listed || e.State != storeclient.StateLeaving)
	if e.listed && e.Address != l.Address {
		e.clearStatus()
	}
	e.Listing, e.listed = l, true
	switch {
	case leavingStarted && e.status.ProcessStart == 0:
		e.leavingUnseen = true
	case leavingStarted:
		e.leaving[e.status.ProcessStart] = true
	}
}

// clearStatus drops the status of a process that had the same name at another address.
func (e *endpoint) clearStatus() {
	e.status, e.statusAt, e.refusedAt = Status{}, time.Time{}, time.Time{}
}

// isLeaving reports whether the current process was reported as leaving, or the list currently says so.
func (e *endpoint) isLeaving() bool {
	return e.leaving[e.status.ProcessStart] || e.leavingUnseen || e.State == storeclient.StateLeaving
}

// isFresh reports whether the recorded status is recent enough at time now to act on.
func (e *endpoint) isFresh(now time.Time, freshFor time.Duration) bool {
	return e.listed && !e.statusAt.IsZero() && now.Sub(e.statusAt) <= freshFor && e.refusedAt.IsZero()
}

// grouperReport returns the state of the endpoint as a grouper.Report.
func (e *endpoint) grouperReport(now time.Time, freshFor time.Duration) grouper.Report {
	s := e.status
	return grouper.Report{
		Endpoint: e.name, Address: e.Address, FabricDomain: e.FabricDomain,
		ProcessStart: s.ProcessStart, Group: s.Group, Epoch: s.Epoch, BundleVersion: s.BundleVersion, Loaded: s.Loaded,
		Leaving: e.isLeaving(), Slow: e.straggler.flagged, Fresh: e.isFresh(now, freshFor), Exited: !e.refusedAt.IsZero(),
		InFlight: s.InFlight, Queued: s.Queued,
	}
}
