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

// createMissing creates one missing group of the bundle's pools, the highest priority first.
// Only the fabric domain with the most free endpoints creates it. All lease holders compute
// the same domain, so that they do not create the same group twice.
func (p *planner) createMissing() {
	for _, pool := range p.core.poolsByPriority() {
		if pool.GroupSize <= 0 || pool.GroupSize > MaxGroupSize || p.core.groupDeficit(p.now, pool) <= 0 {
			continue
		}
		if len(p.free) >= pool.GroupSize && p.core.mostFreeDomain(p.now) == p.rec.FabricDomain {
			p.createGroup(pool)
			return
		}
	}
}

// mostFreeDomain returns the fabric domain with the most free endpoints; of several the first
// by name.
func (c *Core) mostFreeDomain(now time.Time) identifier.FabricDomain {
	free := map[identifier.FabricDomain]int{}
	for _, ep := range c.endpoints {
		if c.isAssignable(now, ep) {
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
	a := Assignment{Group: p.newGroupName(pool.Name), Pool: pool.Name, Epoch: p.rec.nextEpoch()}
	for range pool.GroupSize {
		a.Members = append(a.Members, p.allocate(&a))
	}
	p.core.setModel(&a, pool)
	p.rec.Groups = append(p.rec.Groups, a)
	slices.SortFunc(p.rec.Groups, func(a, b Assignment) int { return cmp.Compare(a.Group, b.Group) })
	p.recordDecision(a.Group, "", DecisionCreate)
}

// setModel sets the model of a to that of pool in the current bundle, if it differs.
func (c *Core) setModel(a *Assignment, pool *bundler.Pool) {
	if !c.isOutdated(a, pool) && a.BundleVersion != 0 {
		return
	}
	a.BundleVersion = c.bundle.Version
	a.Base, a.Version, a.Adapters = pool.Base, pool.Version, slices.Clone(pool.Adapters)
}

// isOutdated reports whether the base model, version or adapters of a differ from those of
// pool.
func (c *Core) isOutdated(a *Assignment, pool *bundler.Pool) bool {
	return a.Base != pool.Base || a.Version != pool.Version || !slices.Equal(a.Adapters, pool.Adapters)
}

// newGroupName returns a name that no group of the fabric domain has.
func (p *planner) newGroupName(pool identifier.Pool) identifier.Group {
	for n := 0; ; n++ {
		name := identifier.Group(fmt.Sprintf("%s-%s-%d", pool, p.rec.FabricDomain, n))
		if !slices.ContainsFunc(p.rec.Groups, func(a Assignment) bool { return a.Group == name }) {
			return name
		}
	}
}

// groupDeficit returns how many groups of pool the failure domain lacks; it is negative if
// there are too many. A group whose members have all been unreachable for
// Policy.UnreachableAfter does not count.
func (c *Core) groupDeficit(now time.Time, pool *bundler.Pool) int {
	n := c.wantedGroups(pool)
	for _, r := range c.records {
		for i := range r.Record.Groups {
			a := &r.Record.Groups[i]
			if a.Pool == pool.Name && !c.isUnreachable(now, a) {
				n--
			}
		}
	}
	return n
}

// isUnreachable reports whether all members of a have been unreachable for
// Policy.UnreachableAfter.
func (c *Core) isUnreachable(now time.Time, a *Assignment) bool {
	for _, m := range a.Members {
		ep := c.endpoints[m.Endpoint]
		if ep != nil && (ep.unreachableSince.IsZero() || now.Sub(ep.unreachableSince) < c.policy.UnreachableAfter) {
			return false
		}
	}
	return true
}

// reserveStandbys reserves a free endpoint as standby for each serving group that has none,
// the highest priority first. It cancels the reservation of a standby that became unusable.
func (p *planner) reserveStandbys() {
	if p.core.policy.NoStandby {
		return
	}
	byPriority := make([]*Assignment, 0, len(p.rec.Groups))
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		if a.Standby != nil && !p.core.isUsableStandby(a.Standby) {
			p.recordDecision(a.Group, a.Standby.Endpoint, DecisionWithdraw)
			a.Standby = nil
		}
		byPriority = append(byPriority, a)
	}
	free := slices.DeleteFunc(slices.Clone(p.free), func(ep *endpointState) bool { return p.reservedRank(ep) == 1 })
	slices.SortStableFunc(byPriority, func(a, b *Assignment) int { return cmp.Compare(p.core.priority(b), p.core.priority(a)) })
	for _, a := range byPriority {
		if len(free) == 0 {
			return
		}
		if a.Standby != nil || a.Draining || !p.core.isServing(a) {
			continue
		}
		a.Standby = &Standby{Member: free[0].member(), Epoch: p.rec.nextEpoch()}
		free = free[1:]
		p.recordDecision(a.Group, a.Standby.Endpoint, DecisionPromise)
	}
}

// isUsableStandby reports whether the standby m could still replace a member. A standby that
// is only unreachable may return, so its reservation remains.
func (c *Core) isUsableStandby(m *Standby) bool {
	ep := c.endpoints[m.Endpoint]
	return ep != nil && ep.ProcessStart == m.ProcessStart && !ep.Leaving && !ep.Slow
}
