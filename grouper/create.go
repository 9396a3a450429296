package grouper

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// create makes one missing group of the bundle's pools, the highest priority first. Of several
// fabric domains only the one with the most free endpoints does, as all holders agree.
func (p *planner) create() {
	for _, pool := range p.core.pools() {
		if pool.GroupSize <= 0 || pool.GroupSize > MaxGroupSize || p.core.missing(p.now, pool) <= 0 {
			continue
		}
		if len(p.free) >= pool.GroupSize && p.core.roomiest(p.now) == p.rec.FabricDomain {
			p.createGroup(pool)
			return
		}
	}
}

// roomiest returns the fabric domain with the most free endpoints, the first by name of several.
func (c *Core) roomiest(now time.Time) identifier.FabricDomain {
	free := map[identifier.FabricDomain]int{}
	for _, ep := range c.endpoints {
		if c.assignable(now, ep) {
			free[ep.FabricDomain]++
		}
	}
	best := identifier.FabricDomain("")
	for _, fd := range slices.Sorted(maps.Keys(free)) {
		if free[fd] > free[best] {
			best = fd
		}
	}
	return best
}

func (p *planner) createGroup(pool *bundler.Pool) {
	a := Assignment{Group: p.groupName(pool.Name), Pool: pool.Name, Epoch: p.rec.nextEpoch()}
	for range pool.GroupSize {
		a.Members = append(a.Members, p.take(&a))
	}
	p.core.fit(&a, pool)
	p.rec.Groups = append(p.rec.Groups, a)
	slices.SortFunc(p.rec.Groups, func(a, b Assignment) int { return cmp.Compare(a.Group, b.Group) })
	p.note(a.Group, "", DecisionCreate)
}

// fit gives a the model of pool as the present bundle has it.
func (c *Core) fit(a *Assignment, pool *bundler.Pool) {
	if !c.outdated(a, pool) && a.BundleVersion != 0 {
		return
	}
	a.BundleVersion = c.bundle.Version
	a.Base, a.Version, a.Adapters = pool.Base, pool.Version, slices.Clone(pool.Adapters)
}

// outdated reports whether a runs something else than pool says.
func (c *Core) outdated(a *Assignment, pool *bundler.Pool) bool {
	return a.Base != pool.Base || a.Version != pool.Version || !slices.Equal(a.Adapters, pool.Adapters)
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

// missing returns how many groups of pool the failure domain lacks; negative if it has too
// many. A group whose members are all away for long does not count.
func (c *Core) missing(now time.Time, pool *bundler.Pool) int {
	n := c.wanted(pool)
	for _, r := range c.records {
		for i := range r.Record.Groups {
			a := &r.Record.Groups[i]
			if a.Pool == pool.Name && !c.dark(now, a) {
				n--
			}
		}
	}
	return n
}

// dark reports whether all members of a have been away for Policy.UnreachableAfter.
func (c *Core) dark(now time.Time, a *Assignment) bool {
	for _, m := range a.Members {
		ep := c.endpoints[m.Endpoint]
		if ep != nil && (ep.awaySince.IsZero() || now.Sub(ep.awaySince) < c.policy.UnreachableAfter) {
			return false
		}
	}
	return true
}

// promise gives each group that has none a free endpoint as standby, the highest priority
// first, and takes back a promise that the endpoint can no longer keep.
func (p *planner) promise() {
	if p.core.policy.NoStandby {
		return
	}
	order := make([]*Assignment, 0, len(p.rec.Groups))
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		if a.Standby != nil && !p.core.keeps(a.Standby) {
			p.note(a.Group, a.Standby.Endpoint, DecisionWithdraw)
			a.Standby = nil
		}
		order = append(order, a)
	}
	free := slices.DeleteFunc(slices.Clone(p.free), func(ep *endpointState) bool { return p.promises(ep) == 1 })
	slices.SortStableFunc(order, func(a, b *Assignment) int { return cmp.Compare(p.core.priority(b), p.core.priority(a)) })
	for _, a := range order {
		if len(free) == 0 {
			return
		}
		if a.Standby != nil || a.Draining || !p.core.whole(a) {
			continue
		}
		a.Standby = &Standby{Member: free[0].member(), Epoch: p.rec.nextEpoch()}
		free = free[1:]
		p.note(a.Group, a.Standby.Endpoint, DecisionPromise)
	}
}

// keeps reports whether the standby m could still take a member's place. One that is only away
// may return, so its promise stands.
func (c *Core) keeps(m *Standby) bool {
	ep := c.endpoints[m.Endpoint]
	return ep != nil && ep.ProcessStart == m.ProcessStart && !ep.Leaving && !ep.Slow
}
