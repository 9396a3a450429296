package grouper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// Core decides which groups a failure domain has, and orders its endpoints to join and leave
// them. It changes records only of fabric domains whose lease it holds. It is not safe for
// concurrent use.
type Core struct {
	policy       Policy
	bundle       *bundler.Bundle
	records      map[identifier.FabricDomain]*recordState
	recordsRead  bool // the records have been read at least once
	endpoints    map[identifier.Endpoint]*endpointState
	leases       map[identifier.FabricDomain]time.Time
	preferred    map[identifier.FabricDomain]bool // this instance ranks first among its peers for the fabric domain
	absences     absenceHistory
	meanLoadTime time.Duration // moving average of the load times; zero before the first load
}

// recordState is the record of a fabric domain with the state of its save and of its drains.
type recordState struct {
	StoredRecord
	saving        bool                           // a save is in progress, or its outcome is unknown
	drainingSince map[identifier.Group]time.Time // since when a group has received no new requests
}

// endpointState is an endpoint's last report and its history as observed by the core.
type endpointState struct {
	Report
	unreachableSince  time.Time               // since when its reports are not fresh; zero while they are
	lostSince         time.Time               // when it last became unreachable or restarted
	slowSince         time.Time               // since when it is a straggler; zero if it is none
	freeSince         time.Time               // since when this core has seen it as a member in no record; zero while it is a member
	freeRevision      uint64                  // the revision of the record at freeSince
	loadingSince      time.Time               // since when it loads a model; zero if it loads none
	lastProcess       identifier.ProcessStart // the process of the last fresh report; kept while the endpoint is unreachable
	recentReturns     []time.Time             // times of returns and restarts within Policy.FlapWindow
	orderedModel      model                   // the model of the last assignment or load that it accepted
	modelProcess      identifier.ProcessStart // the process that accepted that order
	acceptedFence     uint64                  // fencing number of the last order to leave its group that it accepted
	fenceProcess      identifier.ProcessStart // the process that accepted the order of acceptedFence
	orderPendingUntil time.Time               // until when the last order sent to it may still take effect
}

// NewCore returns a Core with policy, whose zero fields are set to their defaults.
func NewCore(policy Policy) *Core {
	return &Core{
		policy:    policy.withDefaults(),
		records:   map[identifier.FabricDomain]*recordState{},
		endpoints: map[identifier.Endpoint]*endpointState{},
		leases:    map[identifier.FabricDomain]time.Time{},
		preferred: map[identifier.FabricDomain]bool{},
	}
}

// Step applies e at now and returns the resulting actions.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case RecordsRead:
		c.applyRecords(e.Records)
	case ReportsReceived:
		c.applyReports(now, e.Reports)
	case BundleSet:
		c.bundle = e.Bundle
	case LeaseChanged:
		c.leases[e.FabricDomain] = e.Until
	case PreferenceChanged:
		c.preferred[e.FabricDomain] = e.Preferred
	case Saved:
		c.applyStored(e.Stored)
	case SaveFailed:
		c.applySaveFailure(e)
	case OrderDone:
		c.applyOrderResult(e)
	case Tick:
		return c.tick(now)
	}
	return nil
}

// applyRecords adopts the records of the platform. A fabric domain whose record was deleted
// there starts again from the zero record.
func (c *Core) applyRecords(records []StoredRecord) {
	c.recordsRead = true
	found := map[identifier.FabricDomain]bool{}
	for _, s := range records {
		found[s.Record.FabricDomain] = true
		c.applyStored(s)
	}
	for fd, r := range c.records {
		if !found[fd] && r.Revision != 0 {
			delete(c.records, fd)
		}
	}
}

func (c *Core) newRecordState(fd identifier.FabricDomain) *recordState {
	rec := Record{FabricDomain: fd, FailureDomain: c.policy.FailureDomain}
	return &recordState{StoredRecord: StoredRecord{Record: rec}, drainingSince: map[identifier.Group]time.Time{}}
}

// applySaveFailure adopts the platform's current record after a failed save. If the outcome of
// the save is unknown, the core neither plans nor sends orders in the fabric domain as lease
// holder until a newer record is read.
func (c *Core) applySaveFailure(e SaveFailed) {
	r := c.records[e.FabricDomain]
	if r == nil || !e.CurrentKnown {
		return
	}
	r.saving = false
	if e.Current.Revision > r.Revision {
		r.StoredRecord = e.Current
	}
}

// applyStored adopts a record, unless a newer one is known.
func (c *Core) applyStored(s StoredRecord) {
	r := c.records[s.Record.FabricDomain]
	if r == nil {
		r = c.newRecordState(s.Record.FabricDomain)
		c.records[s.Record.FabricDomain] = r
	}
	if s.Revision > r.Revision {
		r.StoredRecord = s
		r.saving = false
	}
}

// applyReports applies the reports; an endpoint that is not among them counts as unreachable.
func (c *Core) applyReports(now time.Time, reports []Report) {
	seen := map[identifier.Endpoint]bool{}
	for _, rep := range reports {
		seen[rep.Endpoint] = true
		ep := c.endpoints[rep.Endpoint]
		if ep == nil {
			ep = &endpointState{}
			c.endpoints[rep.Endpoint] = ep
		}
		c.trackEndpoint(now, ep, rep)
	}
	for name, ep := range c.endpoints {
		if !seen[name] {
			stale := ep.Report
			stale.Fresh = false
			c.trackEndpoint(now, ep, stale)
		}
	}
}

// trackEndpoint records when an endpoint becomes unreachable, returns, loads a model or is
// slow.
func (c *Core) trackEndpoint(now time.Time, ep *endpointState, rep Report) {
	restarted := rep.Fresh && ep.lastProcess != 0 && rep.ProcessStart != ep.lastProcess
	if !rep.Fresh && ep.unreachableSince.IsZero() || restarted && ep.unreachableSince.IsZero() {
		ep.lostSince = now
	}
	switch {
	case !rep.Fresh && ep.unreachableSince.IsZero():
		ep.unreachableSince = now
	case rep.Fresh && !ep.unreachableSince.IsZero():
		c.recordReturn(now, ep, restarted)
	case restarted:
		ep.recentReturns = append(ep.recentReturns, now)
	}
	c.trackLoad(now, ep, rep)
	if rep.Fresh {
		ep.lastProcess = rep.ProcessStart
		trackSince(&ep.slowSince, now, rep.Slow)
	}
	ep.recentReturns = keepAfter(ep.recentReturns, now.Add(-c.policy.FlapWindow))
	ep.Report = rep
}

// recordReturn records how long an endpoint was unreachable before it returned. The first
// fresh report of an endpoint is not a return.
func (c *Core) recordReturn(now time.Time, ep *endpointState, restarted bool) {
	if ep.lastProcess != 0 {
		c.absences.add(absence{duration: now.Sub(ep.unreachableSince), restarted: restarted})
		ep.recentReturns = append(ep.recentReturns, now)
	}
	ep.unreachableSince = time.Time{}
}

// trackLoad records how long an endpoint takes to load a model.
func (c *Core) trackLoad(now time.Time, ep *endpointState, rep Report) {
	done := !ep.loadingSince.IsZero() && rep.Fresh && rep.Loaded && rep.ProcessStart == ep.lastProcess
	if done {
		c.recordLoadTime(now.Sub(ep.loadingSince))
	}
	ordered := rep.Group != "" || ep.modelProcess == rep.ProcessStart
	trackSince(&ep.loadingSince, now, rep.Fresh && ordered && !rep.Loaded)
}

// trackSince sets t to the time when a condition began to hold, or to zero while it does not
// hold.
func trackSince(t *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*t = time.Time{}
	case t.IsZero():
		*t = now
	}
}

// applyOrderResult records the fencing number of an accepted release or load, and the model of
// an accepted assignment or load.
func (c *Core) applyOrderResult(e OrderDone) {
	ep := c.endpoints[e.Order.Endpoint]
	if ep == nil || !e.Accepted {
		return
	}
	if e.Order.Kind != OrderAssign {
		ep.acceptedFence, ep.fenceProcess = e.Order.Fence, e.ProcessStart
	}
	if e.Order.Kind != OrderRelease {
		ep.orderedModel, ep.modelProcess = e.Order.Group.model(), e.ProcessStart
	}
}

// tick plans for each fabric domain whose lease is held, and sends orders where the record
// needs no change. In a fabric domain whose lease it does not hold, the preferred instance
// carries out due successions, which are part of the record.
func (c *Core) tick(now time.Time) []Action {
	if !c.recordsRead || c.bundle == nil {
		return nil
	}
	c.trackFree(now)
	var out []Action
	for _, fd := range c.heldDomains(now) {
		if r := c.records[fd]; !r.saving {
			out = append(out, c.planDomain(now, r)...)
		}
	}
	for _, fd := range slices.Sorted(maps.Keys(c.records)) {
		if c.runsSuccessions(fd) && !c.holdsLease(now, fd) {
			out = append(out, c.successionOrders(now, c.records[fd])...)
		}
	}
	return out
}

// planDomain saves the next record of a fabric domain, or orders endpoints if the record needs
// no change.
func (c *Core) planDomain(now time.Time, r *recordState) []Action {
	p := newPlanner(c, now, r)
	if !p.plan() {
		return c.planOrders(now, r)
	}
	r.saving = true
	return append(p.notes, Save{Record: p.rec, Revision: r.Revision})
}

// holdsLease reports whether the lease of fd is valid at now.
func (c *Core) holdsLease(now time.Time, fd identifier.FabricDomain) bool {
	return now.Before(c.leases[fd])
}

// heldDomains returns the fabric domains whose lease is valid at now, sorted by name.
func (c *Core) heldDomains(now time.Time) []identifier.FabricDomain {
	var out []identifier.FabricDomain
	for _, fd := range slices.Sorted(maps.Keys(c.leases)) {
		if !c.holdsLease(now, fd) {
			continue
		}
		if c.records[fd] == nil {
			c.records[fd] = c.newRecordState(fd)
		}
		out = append(out, fd)
	}
	return out
}

// trackFree records since when each endpoint is a member in no record.
func (c *Core) trackFree(now time.Time) {
	used := map[identifier.Endpoint]bool{}
	for _, r := range c.records {
		for i := range r.Record.Groups {
			for _, m := range r.Record.Groups[i].Members {
				used[m.Endpoint] = true
			}
		}
	}
	for name, ep := range c.endpoints {
		switch {
		case used[name]:
			ep.freeSince = time.Time{}
		case ep.freeSince.IsZero():
			ep.freeSince = now
			ep.freeRevision = c.revision(ep.FabricDomain)
		}
	}
}

// revision returns the revision of the record of fd, or zero if it has none.
func (c *Core) revision(fd identifier.FabricDomain) uint64 {
	if r := c.records[fd]; r != nil {
		return r.Revision
	}
	return 0
}

// sortedEndpoints returns the endpoints of a fabric domain, sorted by name.
func (c *Core) sortedEndpoints(fd identifier.FabricDomain) []*endpointState {
	var out []*endpointState
	for _, ep := range c.endpoints {
		if ep.FabricDomain == fd {
			out = append(out, ep)
		}
	}
	slices.SortFunc(out, func(a, b *endpointState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// keepAfter removes the times that are not after since.
func keepAfter(times []time.Time, since time.Time) []time.Time {
	return slices.DeleteFunc(times, func(t time.Time) bool { return !t.After(since) })
}
