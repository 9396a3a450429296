package grouper

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// planner computes the next record of one fabric domain.
type planner struct {
	core    *Core
	now     time.Time
	state   *recordState
	rec     Record
	free    []*endpointState // endpoints that may join a group now, in the order in which they are allocated
	notes   []Action
	changed bool
}

func newPlanner(c *Core, now time.Time, r *recordState) *planner {
	p := &planner{core: c, now: now, state: r, rec: r.Record.clone()}
	for _, ep := range c.sortedEndpoints(r.Record.FabricDomain) {
		if c.isAssignable(now, ep) {
			p.free = append(p.free, ep)
		}
	}
	if c.policy.Strategy != StrategyWeighted {
		return p
	}
	slices.SortStableFunc(p.free, func(a, b *endpointState) int {
		return cmp.Or(
			cmp.Compare(len(a.recentReturns)/unstableReturns, len(b.recentReturns)/unstableReturns), cmp.Compare(p.coldRank(a), p.coldRank(b)),
			cmp.Compare(len(a.recentReturns), len(b.recentReturns)), cmp.Compare(p.reservedRank(a), p.reservedRank(b)),
		)
	})
	return p
}

// isFenced reports whether ep's current process has accepted an order to leave its group whose
// fencing number is not older than freeRevision. A process that checks fencing numbers then
// refuses every order that was decided before ep became free.
func (ep *endpointState) isFenced() bool {
	return ep.acceptedFence != 0 && ep.acceptedFence >= ep.freeRevision && ep.fenceProcess == ep.ProcessStart
}

// isAssignable reports whether ep may join a group: it is a member of none in the records, its
// own fresh report shows no group, and no order of an earlier lease holder can still take
// effect.
func (c *Core) isAssignable(now time.Time, ep *endpointState) bool {
	if ep.freeSince.IsZero() || !ep.Fresh || ep.Leaving || ep.Slow || ep.Group != "" || ep.ProcessStart == 0 {
		return false
	}
	return ep.isFenced() || now.Sub(ep.freeSince) >= c.policy.LeaseTTL+c.policy.OrderTTL
}

// plan applies the next changes of the policy to the record, and reports whether the record
// changed. Each step after the repairs runs only if the steps before changed nothing.
func (p *planner) plan() bool {
	p.adoptSuccessions()
	p.trackDraining()
	p.repairGroups()
	if !p.changed {
		p.rollOut()
	}
	if !p.changed {
		p.createMissing()
	}
	if !p.changed {
		p.reserveStandbys()
	}
	if !p.changed {
		p.initializeRecord()
	}
	return p.changed && p.rec.Check() == nil // an invalid record, caused by a fault of the planner, must not reach the platform
}

// initializeRecord requests an empty record if there is none and an endpoint checks fencing
// numbers. The revision of the empty record is the first fencing number. Endpoints that check
// it become assignable without a wait for orders of an earlier lease holder, which cannot
// exist.
func (p *planner) initializeRecord() {
	p.changed = p.state.Revision == 0 && slices.ContainsFunc(p.core.sortedEndpoints(p.rec.FabricDomain), func(ep *endpointState) bool {
		return p.core.policy.FencingEndpoints(ep.Endpoint)
	})
}

func (p *planner) recordDecision(g identifier.Group, ep identifier.Endpoint, d Decision) {
	p.changed = true
	p.notes = append(p.notes, Note{FabricDomain: p.rec.FabricDomain, Group: g, Endpoint: ep, Decision: d})
}

// coldRank returns 0 if ep has loaded the model that it is expected to need, and 1 otherwise.
func (p *planner) coldRank(ep *endpointState) int {
	if m, ok := p.core.preloadModel(ep, p.state); ok && ep.hasModel(m) {
		return 0
	}
	return 1
}

// reservedRank returns 1 if ep is the standby of a group, and 0 otherwise.
func (p *planner) reservedRank(ep *endpointState) int {
	for i := range p.rec.Groups {
		if s := p.rec.Groups[i].Standby; s != nil && s.Endpoint == ep.Endpoint {
			return 1
		}
	}
	return 0
}

// allocate removes an endpoint from the free endpoints and returns it as a member for a: the
// standby of a if it is free, otherwise the first free endpoint. If the endpoint was reserved
// as a standby, the reservation ends.
func (p *planner) allocate(a *Assignment) Member {
	i := p.allocationIndex(a)
	ep := p.free[i]
	p.free = slices.Delete(p.free, i, i+1)
	for j := range p.rec.Groups {
		if s := p.rec.Groups[j].Standby; s != nil && s.Endpoint == ep.Endpoint {
			p.rec.Groups[j].Standby = nil
		}
	}
	if a.Standby != nil && a.Standby.Endpoint == ep.Endpoint {
		a.Standby = nil
	}
	return ep.member()
}

// allocationIndex returns the index of the free endpoint that allocate chooses for a.
func (p *planner) allocationIndex(a *Assignment) int {
	if a.Standby == nil {
		return 0
	}
	return max(0, slices.IndexFunc(p.free, func(ep *endpointState) bool { return ep.Endpoint == a.Standby.Endpoint }))
}

func (ep *endpointState) member() Member {
	return Member{Endpoint: ep.Endpoint, Address: ep.Address, ProcessStart: ep.ProcessStart}
}

// isServing reports whether every member of a serves a.
func (c *Core) isServing(a *Assignment) bool {
	for _, m := range a.Members {
		ep := c.endpoints[m.Endpoint]
		if ep == nil || !ep.Serves(a, m) {
			return false
		}
	}
	return true
}

// mayServe reports whether every member of a serves a, or did so until it fell silent for no
// longer than a live endpoint may be.
func (c *Core) mayServe(now time.Time, a *Assignment) bool {
	for _, m := range a.Members {
		ep := c.endpoints[m.Endpoint]
		if ep == nil || !ep.mayHaveWork(now) {
			return false
		}
		last := ep.Report
		last.Fresh = true
		if !last.Serves(a, m) {
			return false
		}
	}
	return true
}

// poolsByPriority returns the bundle's pools, the highest priority first.
func (c *Core) poolsByPriority() []*bundler.Pool {
	out := make([]*bundler.Pool, len(c.bundle.Pools))
	for i := range c.bundle.Pools {
		out[i] = &c.bundle.Pools[i]
	}
	slices.SortStableFunc(out, func(a, b *bundler.Pool) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// pool returns the bundle's pool with the given name, or nil.
func (c *Core) pool(name identifier.Pool) *bundler.Pool {
	for i := range c.bundle.Pools {
		if c.bundle.Pools[i].Name == name {
			return &c.bundle.Pools[i]
		}
	}
	return nil
}

// priority returns the priority of a's pool; a pool that the bundle does not contain has the
// lowest.
func (c *Core) priority(a *Assignment) int {
	if pool := c.pool(a.Pool); pool != nil {
		return pool.Priority
	}
	return -1
}

// wantedGroups returns how many groups of pool the bundle assigns to the failure domain.
func (c *Core) wantedGroups(pool *bundler.Pool) int {
	n := 0
	for _, pl := range pool.Groups {
		if pl.FailureDomain == c.policy.FailureDomain {
			n += pl.Count
		}
	}
	return n
}
