package grouper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// Core decides which groups a failure domain has, and gives orders to its endpoints. It acts
// only on fabric domains whose lease it holds. It is not safe for concurrent use.
type Core struct {
	policy       Policy
	bundle       *bundler.Bundle
	records      map[identifier.FabricDomain]*recordState
	recordsRead  bool // the records were read at least once
	endpoints    map[identifier.Endpoint]*endpointState
	leases       map[identifier.FabricDomain]time.Time
	preferred    map[identifier.FabricDomain]bool // this instance is the first choice to act there
	absences     absenceHistory
	meanLoadTime time.Duration // average time of a load; zero if none was seen
}

// recordState is a record and what goes on with it.
type recordState struct {
	StoredRecord
	saving        bool // a save is under way, or its effect is unknown
	drainingSince map[identifier.Group]time.Time
}

// endpointState is an endpoint's last report and what the core remembers of it.
type endpointState struct {
	Report
	unreachableSince  time.Time               // zero while its reports are fresh
	lostSince         time.Time               // when it was last away or had another process start than before
	slowSince         time.Time               // zero while it is no straggler
	freeSince         time.Time               // since when no record has it, as far as this core saw; zero if one has
	freeRevision      uint64                  // the revision of the record that first lacked it
	loadingSince      time.Time               // zero unless it loads a model
	lastProcess       identifier.ProcessStart // the process last seen, also while it is away
	recentReturns     []time.Time             // within Policy.FlapWindow
	orderedModel      model                   // that it was last ordered to load
	modelProcess      identifier.ProcessStart // the process that accepted that
	acceptedFence     uint64                  // of the last order to leave its group that it accepted
	fenceProcess      identifier.ProcessStart // the process that accepted it
	orderPendingUntil time.Time               // until when its last order may still take effect
}

// NewCore returns a Core with policy; its zero fields take their defaults.
func NewCore(policy Policy) *Core {
	return &Core{
		policy:    policy.withDefaults(),
		records:   map[identifier.FabricDomain]*recordState{},
		endpoints: map[identifier.Endpoint]*endpointState{},
		leases:    map[identifier.FabricDomain]time.Time{},
		preferred: map[identifier.FabricDomain]bool{},
	}
}

// Step applies e at now and returns what it causes.
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

// applyRecords takes over the platform's records. A fabric domain without one has the zero record.
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

// applySaveFailure takes over what the platform has after a save that failed. Without that the
// record stays blocked until a newer one is read.
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

// applyStored takes over one record, unless a newer one is known.
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

// applyReports takes over the reports; an endpoint that is not among them is away.
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

// trackEndpoint notes when an endpoint goes away, returns, loads a model or is slow.
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

// recordReturn notes how long an endpoint that is back was away. The first sight of it is no return.
func (c *Core) recordReturn(now time.Time, ep *endpointState, restarted bool) {
	if ep.lastProcess != 0 {
		c.absences.add(absence{duration: now.Sub(ep.unreachableSince), restarted: restarted})
		ep.recentReturns = append(ep.recentReturns, now)
	}
	ep.unreachableSince = time.Time{}
}

// trackLoad notes how long an endpoint takes to load a model.
func (c *Core) trackLoad(now time.Time, ep *endpointState, rep Report) {
	done := !ep.loadingSince.IsZero() && rep.Fresh && rep.Loaded && rep.ProcessStart == ep.lastProcess
	if done {
		c.recordLoadTime(now.Sub(ep.loadingSince))
	}
	ordered := rep.Group != "" || ep.modelProcess == rep.ProcessStart
	trackSince(&ep.loadingSince, now, rep.Fresh && ordered && !rep.Loaded)
}

// trackSince keeps in t when a condition began to hold; zero while it does not.
func trackSince(t *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*t = time.Time{}
	case t.IsZero():
		*t = now
	}
}

// applyOrderResult notes what an endpoint's answer to an order proves.
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

// tick plans for each held fabric domain, and gives orders where nothing had to change. Where
// nobody can change the record, it carries out what the record agreed beforehand.
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

// planDomain plans for one held fabric domain or gives orders in it.
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

// heldDomains returns the fabric domains whose lease is valid at now, by name.
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

// trackFree notes since when each endpoint is a member of no group in any record.
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

// sortedEndpoints returns the endpoints of a fabric domain by name.
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

// keepAfter returns the times after since.
func keepAfter(times []time.Time, since time.Time) []time.Time {
	return slices.DeleteFunc(times, func(t time.Time) bool { return !t.After(since) })
}
