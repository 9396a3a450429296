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
	policy    Policy
	bundle    *bundler.Bundle
	records   map[identifier.FabricDomain]*recordState
	recordsOK bool // the records were read at least once
	endpoints map[identifier.Endpoint]*endpointState
	leases    map[identifier.FabricDomain]time.Time
	first     map[identifier.FabricDomain]bool // this instance is the first choice to act there
	returns   returnTimes
	loadSeen  time.Duration // average time of a load; zero if none was seen
}

// recordState is a record and what goes on with it.
type recordState struct {
	StoredRecord
	saving  bool // a save is under way, or its effect is unknown
	drained map[identifier.Group]time.Time
}

// endpointState is an endpoint's last report and what the core remembers of it.
type endpointState struct {
	Report
	awaySince    time.Time               // zero while its reports are fresh
	lostSince    time.Time               // when it was last away or had another process start than before
	slowSince    time.Time               // zero while it is no straggler
	freeSince    time.Time               // since when no record has it, as far as this core saw; zero if one has
	freeFence    uint64                  // the revision of the record that first lacked it
	loadingSince time.Time               // zero unless it loads a model
	lastRun      identifier.ProcessStart // the process last seen, also while it is away
	returns      []time.Time             // within Policy.FlapWindow
	model        model                   // that it was last ordered to load
	modelRun     identifier.ProcessStart // the process that accepted that
	fence        uint64                  // of the last order to leave its group that it accepted
	fencedRun    identifier.ProcessStart // the process that accepted it
	orderedUntil time.Time               // until when its last order may still take effect
}

// NewCore returns a Core with policy; its zero fields take their defaults.
func NewCore(policy Policy) *Core {
	return &Core{
		policy:    policy.withDefaults(),
		records:   map[identifier.FabricDomain]*recordState{},
		endpoints: map[identifier.Endpoint]*endpointState{},
		leases:    map[identifier.FabricDomain]time.Time{},
		first:     map[identifier.FabricDomain]bool{},
	}
}

// Step applies e at now and returns what it causes.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case RecordsRead:
		c.read(e.Records)
	case ReportsReceived:
		c.see(now, e.Reports)
	case BundleSet:
		c.bundle = e.Bundle
	case LeaseChanged:
		c.leases[e.FabricDomain] = e.Until
	case PreferenceChanged:
		c.first[e.FabricDomain] = e.Preferred
	case Saved:
		c.saved(e.Stored)
	case SaveFailed:
		c.saveFailed(e)
	case OrderDone:
		c.ordered(e)
	case Tick:
		return c.tick(now)
	}
	return nil
}

// read takes over the platform's records. A fabric domain without one has the zero record.
func (c *Core) read(records []StoredRecord) {
	c.recordsOK = true
	found := map[identifier.FabricDomain]bool{}
	for _, s := range records {
		found[s.Record.FabricDomain] = true
		c.saved(s)
	}
	for fd, r := range c.records {
		if !found[fd] && r.Revision != 0 {
			delete(c.records, fd)
		}
	}
}

func (c *Core) emptyRecord(fd identifier.FabricDomain) *recordState {
	rec := Record{FabricDomain: fd, FailureDomain: c.policy.FailureDomain}
	return &recordState{StoredRecord: StoredRecord{Record: rec}, drained: map[identifier.Group]time.Time{}}
}

// saveFailed takes over what the platform has after a save that failed. Without that the
// record stays blocked until a newer one is read.
func (c *Core) saveFailed(e SaveFailed) {
	r := c.records[e.FabricDomain]
	if r == nil || !e.CurrentKnown {
		return
	}
	r.saving = false
	if e.Current.Revision > r.Revision {
		r.StoredRecord = e.Current
	}
}

// saved takes over one record, unless a newer one is known.
func (c *Core) saved(s StoredRecord) {
	r := c.records[s.Record.FabricDomain]
	if r == nil {
		r = c.emptyRecord(s.Record.FabricDomain)
		c.records[s.Record.FabricDomain] = r
	}
	if s.Revision > r.Revision {
		r.StoredRecord = s
		r.saving = false
	}
}

// see takes over the reports; an endpoint that is not among them is away.
func (c *Core) see(now time.Time, reports []Report) {
	seen := map[identifier.Endpoint]bool{}
	for _, rep := range reports {
		seen[rep.Endpoint] = true
		ep := c.endpoints[rep.Endpoint]
		if ep == nil {
			ep = &endpointState{}
			c.endpoints[rep.Endpoint] = ep
		}
		c.track(now, ep, rep)
	}
	for name, ep := range c.endpoints {
		if !seen[name] {
			gone := ep.Report
			gone.Fresh = false
			c.track(now, ep, gone)
		}
	}
}

// track notes when an endpoint goes away, returns, loads a model or is slow.
func (c *Core) track(now time.Time, ep *endpointState, rep Report) {
	restarted := rep.Fresh && ep.lastRun != 0 && rep.ProcessStart != ep.lastRun
	if !rep.Fresh && ep.awaySince.IsZero() || restarted && ep.awaySince.IsZero() {
		ep.lostSince = now
	}
	switch {
	case !rep.Fresh && ep.awaySince.IsZero():
		ep.awaySince = now
	case rep.Fresh && !ep.awaySince.IsZero():
		c.returned(now, ep, restarted)
	case restarted:
		ep.returns = append(ep.returns, now)
	}
	c.trackLoad(now, ep, rep)
	if rep.Fresh {
		ep.lastRun = rep.ProcessStart
		since(&ep.slowSince, now, rep.Slow)
	}
	ep.returns = recent(ep.returns, now.Add(-c.policy.FlapWindow))
	ep.Report = rep
}

// returned notes how long an endpoint that is back was away. The first sight of it is no return.
func (c *Core) returned(now time.Time, ep *endpointState, restarted bool) {
	if ep.lastRun != 0 {
		c.returns.add(absence{away: now.Sub(ep.awaySince), restarted: restarted})
		ep.returns = append(ep.returns, now)
	}
	ep.awaySince = time.Time{}
}

// trackLoad notes how long an endpoint takes to load a model.
func (c *Core) trackLoad(now time.Time, ep *endpointState, rep Report) {
	done := !ep.loadingSince.IsZero() && rep.Fresh && rep.Loaded && rep.ProcessStart == ep.lastRun
	if done {
		c.sawLoad(now.Sub(ep.loadingSince))
	}
	ordered := rep.Group != "" || ep.modelRun == rep.ProcessStart
	since(&ep.loadingSince, now, rep.Fresh && ordered && !rep.Loaded)
}

// since keeps in t when a condition began to hold; zero while it does not.
func since(t *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*t = time.Time{}
	case t.IsZero():
		*t = now
	}
}

// ordered notes what an endpoint's answer to an order proves.
func (c *Core) ordered(e OrderDone) {
	ep := c.endpoints[e.Order.Endpoint]
	if ep == nil || !e.Accepted {
		return
	}
	if e.Order.Kind != OrderAssign {
		ep.fence, ep.fencedRun = e.Order.Fence, e.ProcessStart
	}
	if e.Order.Kind != OrderRelease {
		ep.model, ep.modelRun = e.Order.Group.model(), e.ProcessStart
	}
}

// tick plans for each held fabric domain, and gives orders where nothing had to change. Where
// nobody can change the record, it carries out what the record agreed beforehand.
func (c *Core) tick(now time.Time) []Action {
	if !c.recordsOK || c.bundle == nil {
		return nil
	}
	c.free(now)
	var out []Action
	for _, fd := range c.held(now) {
		if r := c.records[fd]; !r.saving {
			out = append(out, c.act(now, r)...)
		}
	}
	for _, fd := range slices.Sorted(maps.Keys(c.records)) {
		if c.successor(fd) && !c.holds(now, fd) {
			out = append(out, c.successionOrders(now, c.records[fd])...)
		}
	}
	return out
}

// act plans for one held fabric domain or gives orders in it.
func (c *Core) act(now time.Time, r *recordState) []Action {
	p := newPlanner(c, now, r)
	if !p.plan() {
		return c.orders(now, r)
	}
	r.saving = true
	return append(p.notes, Save{Record: p.rec, Revision: r.Revision})
}

// holds reports whether the lease of fd is valid at now.
func (c *Core) holds(now time.Time, fd identifier.FabricDomain) bool { return now.Before(c.leases[fd]) }

// held returns the fabric domains whose lease is valid at now, by name.
func (c *Core) held(now time.Time) []identifier.FabricDomain {
	var out []identifier.FabricDomain
	for _, fd := range slices.Sorted(maps.Keys(c.leases)) {
		if !c.holds(now, fd) {
			continue
		}
		if c.records[fd] == nil {
			c.records[fd] = c.emptyRecord(fd)
		}
		out = append(out, fd)
	}
	return out
}

// free notes since when each endpoint is a member of no group in any record.
func (c *Core) free(now time.Time) {
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
			ep.freeFence = c.revision(ep.FabricDomain)
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

// sorted returns the endpoints of a fabric domain by name.
func (c *Core) sorted(fd identifier.FabricDomain) []*endpointState {
	var out []*endpointState
	for _, ep := range c.endpoints {
		if ep.FabricDomain == fd {
			out = append(out, ep)
		}
	}
	slices.SortFunc(out, func(a, b *endpointState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// recent returns the times after since.
func recent(times []time.Time, since time.Time) []time.Time {
	return slices.DeleteFunc(times, func(t time.Time) bool { return !t.After(since) })
}
