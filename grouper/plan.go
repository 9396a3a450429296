package grouper

import (
	"cmp"
	"fmt"
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
	free    []*endpointState // assignable now, the most stable first
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
	slices.SortStableFunc(p.free, func(a, b *endpointState) int { return cmp.Compare(len(a.returns), len(b.returns)) })
	return p
}

// fenced reports whether ep's present process refuses every order from before it became free.
func (ep *endpointState) fenced() bool {
	return ep.fence != 0 && ep.fence >= ep.freeFence && ep.fencedRun == ep.ProcessStart
}

// assignable reports whether ep may join a group: it stands in no record, its own fresh report
// shows no group, and no order of an earlier holder can still reach it.
func (c *Core) assignable(now time.Time, ep *endpointState) bool {
	if ep.freeSince.IsZero() || !ep.Fresh || ep.Leaving || ep.Slow || ep.Group != "" || ep.ProcessStart == 0 {
		return false
	}
	if ep.fenced() {
		return true
	}
	return now.Sub(ep.freeSince) >= c.policy.LeaseTTL+c.policy.OrderLife
}

// plan changes the record as the policy wants, and reports whether it did.
func (p *planner) plan() bool {
	p.repair()
	p.create()
	if !p.changed {
		return false
	}
	if err := p.rec.Check(); err != nil {
		return false // a fault of the planner must not reach the platform
	}
	return true
}

func (p *planner) note(g identifier.Group, ep identifier.Endpoint, d Decision) {
	p.changed = true
	p.notes = append(p.notes, Note{FabricDomain: p.rec.FabricDomain, Group: g, Endpoint: ep, Decision: d})
}

// repair mends groups whose members were lost.
func (p *planner) repair() {
	for i := range p.rec.Groups {
		p.repairGroup(&p.rec.Groups[i])
	}
}

func (p *planner) repairGroup(a *Assignment) {
	var lost []int
	for i, m := range a.Members {
		ep := p.core.endpoints[m.Endpoint]
		if ep == nil || !ep.Fresh || ep.ProcessStart != m.ProcessStart {
			lost = append(lost, i)
		}
	}
	mended := false
	for _, i := range lost {
		mended = p.mend(a, i) || mended
	}
	if mended {
		a.Epoch = p.rec.nextEpoch()
	}
}

// mend readmits or replaces member i of a, and reports whether it did.
func (p *planner) mend(a *Assignment, i int) bool {
	m := &a.Members[i]
	ep := p.core.endpoints[m.Endpoint]
	if ep != nil && ep.Fresh && !ep.Leaving {
		m.ProcessStart, m.Address = ep.ProcessStart, ep.Address
		p.note(a.Group, m.Endpoint, DecisionReadmit)
		return true
	}
	if ep != nil && p.now.Sub(ep.awaySince) < p.core.policy.LoadTime || len(p.free) == 0 {
		return false
	}
	*m = p.take()
	p.note(a.Group, m.Endpoint, DecisionReplace)
	return true
}

// take removes the most stable free endpoint from the free ones.
func (p *planner) take() Member {
	ep := p.free[0]
	p.free = p.free[1:]
	return Member{Endpoint: ep.Endpoint, Address: ep.Address, ProcessStart: ep.ProcessStart}
}

// create makes missing groups of the bundle's pools, the highest priority first.
func (p *planner) create() {
	for _, pool := range p.core.pools() {
		for n := p.core.missing(pool); n > 0 && len(p.free) >= pool.GroupSize && pool.GroupSize > 0; n-- {
			p.createGroup(pool)
		}
	}
}

func (p *planner) createGroup(pool *bundler.Pool) {
	a := Assignment{
		Group: p.groupName(pool.Name), Pool: pool.Name, Epoch: p.rec.nextEpoch(), BundleVersion: p.core.bundle.Version,
		Base: pool.Base, Version: pool.Version, Adapters: pool.Adapters,
	}
	for range pool.GroupSize {
		a.Members = append(a.Members, p.take())
	}
	p.rec.Groups = append(p.rec.Groups, a)
	slices.SortFunc(p.rec.Groups, func(a, b Assignment) int { return cmp.Compare(a.Group, b.Group) })
	p.note(a.Group, "", DecisionCreate)
}

// groupName returns a name that no group of the fabric domain has.
func (p *planner) groupName(pool identifier.Pool) identifier.Group {
	for n := 0; ; n++ {
		name := identifier.Group(fmt.Sprintf("%s-%s-%d", pool, p.rec.FabricDomain, n))
		if !slices.ContainsFunc(p.rec.Groups, func(a Assignment) bool { return a.Group == name }) {
			return name
		}
	}
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

// missing returns how many groups of pool the failure domain lacks; negative if it has too many.
func (c *Core) missing(pool *bundler.Pool) int {
	n := 0
	for _, pl := range pool.Groups {
		if pl.FailureDomain == c.policy.FailureDomain {
			n += pl.Count
		}
	}
	for _, r := range c.records {
		for i := range r.Record.Groups {
			if r.Record.Groups[i].Pool == pool.Name {
				n--
			}
		}
	}
	return n
}
