package grouper

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// planner works out the next record of one fabric domain.
type planner struct {
	core    *Core
	now     time.Time
	state   *recordState
	rec     Record
	free    []*endpointState // that may join a group now, the first choice first
	notes   []Action
	changed bool
}

func newPlanner(c *Core, now time.Time, r *recordState) *planner {
	p := &planner{core: c, now: now, state: r, rec: r.Record.clone()}
	for _, ep := range c.sorted(r.Record.FabricDomain) {
		if c.assignable(now, ep) {
			p.free = append(p.free, ep)
		}
	}
	if c.policy.Strategy != StrategyWeighted {
		return p
	}
	slices.SortStableFunc(p.free, func(a, b *endpointState) int {
		return cmp.Or(
			cmp.Compare(len(a.returns)/flapping, len(b.returns)/flapping), cmp.Compare(p.cold(a), p.cold(b)),
			cmp.Compare(len(a.returns), len(b.returns)), cmp.Compare(p.promises(a), p.promises(b)),
		)
	})
	return p
}

// fenced reports whether ep's present process refuses every order from before it became free.
func (ep *endpointState) fenced() bool {
	return ep.fence != 0 && ep.fence >= ep.freeFence && ep.fencedRun == ep.ProcessStart
}

// assignable reports whether ep may join a group: it is a member of none in the records, its
// own fresh report shows no group, and no order of an earlier holder can still reach it.
func (c *Core) assignable(now time.Time, ep *endpointState) bool {
	if ep.freeSince.IsZero() || !ep.Fresh || ep.Leaving || ep.Slow || ep.Group != "" || ep.ProcessStart == 0 {
		return false
	}
	return ep.fenced() || now.Sub(ep.freeSince) >= c.policy.LeaseTTL+c.policy.OrderTTL
}

// plan changes the record as the policy wants, and reports whether it did.
func (p *planner) plan() bool {
	p.adopt()
	p.quiet()
	p.repair()
	if !p.changed {
		p.rollout()
	}
	if !p.changed {
		p.create()
	}
	if !p.changed {
		p.promise()
	}
	if !p.changed {
		p.begin()
	}
	return p.changed && p.rec.Check() == nil // a fault of the planner must not reach the platform
}

// begin writes an empty record where there is none. Its revision is the first fencing number, by
// which endpoints that check it become assignable without a wait for the orders of a holder that never was.
func (p *planner) begin() {
	p.changed = p.state.Revision == 0 && slices.ContainsFunc(p.core.sorted(p.rec.FabricDomain), func(ep *endpointState) bool {
		return p.core.policy.FencingEndpoints(ep.Endpoint)
	})
}

func (p *planner) note(g identifier.Group, ep identifier.Endpoint, d Decision) {
	p.changed = true
	p.notes = append(p.notes, Note{FabricDomain: p.rec.FabricDomain, Group: g, Endpoint: ep, Decision: d})
}

// cold returns 1 if ep has yet to load the model that it would need, and 0 otherwise.
func (p *planner) cold(ep *endpointState) int {
	if m, ok := p.core.idleModel(ep, p.state); ok && ep.has(m) {
		return 0
	}
	return 1
}

// promises returns 1 if ep is some group's standby, and 0 otherwise.
func (p *planner) promises(ep *endpointState) int {
	for i := range p.rec.Groups {
		if s := p.rec.Groups[i].Standby; s != nil && s.Endpoint == ep.Endpoint {
			return 1
		}
	}
	return 0
}

// take removes a free endpoint for group a: its standby if that is free, else the first
// choice, which is nobody's standby any more.
func (p *planner) take(a *Assignment) Member {
	i := p.choice(a)
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

// choice returns which of the free endpoints a would take.
func (p *planner) choice(a *Assignment) int {
	if a.Standby == nil {
		return 0
	}
	return max(0, slices.IndexFunc(p.free, func(ep *endpointState) bool { return ep.Endpoint == a.Standby.Endpoint }))
}

func (ep *endpointState) member() Member {
	return Member{Endpoint: ep.Endpoint, Address: ep.Address, ProcessStart: ep.ProcessStart}
}

// whole reports whether every member of a serves it.
func (c *Core) whole(a *Assignment) bool {
	for _, m := range a.Members {
		ep := c.endpoints[m.Endpoint]
		if ep == nil || !ep.Serves(a, m) {
			return false
		}
	}
	return true
}

// pools returns the bundle's pools, the highest priority first.
func (c *Core) pools() []*bundler.Pool {
	out := make([]*bundler.Pool, len(c.bundle.Pools))
	for i := range c.bundle.Pools {
		out[i] = &c.bundle.Pools[i]
	}
	slices.SortStableFunc(out, func(a, b *bundler.Pool) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// pool returns the bundle's pool of that name, or nil.
func (c *Core) pool(name identifier.Pool) *bundler.Pool {
	for i := range c.bundle.Pools {
		if c.bundle.Pools[i].Name == name {
			return &c.bundle.Pools[i]
		}
	}
	return nil
}

// priority returns the priority of a's pool; a pool that the bundle lacks has the lowest.
func (c *Core) priority(a *Assignment) int {
	if pool := c.pool(a.Pool); pool != nil {
		return pool.Priority
	}
	return -1
}

// wanted returns how many groups of pool the failure domain should have.
func (c *Core) wanted(pool *bundler.Pool) int {
	n := 0
	for _, pl := range pool.Groups {
		if pl.FailureDomain == c.policy.FailureDomain {
			n += pl.Count
		}
	}
	return n
}
