package grouper

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// trackDraining records since when each group has received no new requests, because it is
// draining or has a member that is leaving.
func (p *planner) trackDraining() {
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		_, known := p.state.drainingSince[a.Group]
		switch {
		case !a.Draining && !p.hasLeaving(a):
			delete(p.state.drainingSince, a.Group)
		case !known:
			p.state.drainingSince[a.Group] = p.now
		}
	}
}

func (p *planner) hasLeaving(a *Assignment) bool {
	return slices.ContainsFunc(a.Members, func(m Member) bool {
		ep := p.core.endpoints[m.Endpoint]
		return ep != nil && ep.Leaving
	})
}

// isDrained reports whether no request can be in flight at group a any more.
func (p *planner) isDrained(a *Assignment) bool {
	since, ok := p.state.drainingSince[a.Group]
	if !ok || p.now.Sub(since) < p.core.policy.DrainPropagation {
		return false
	}
	return !slices.ContainsFunc(a.Members, func(m Member) bool {
		ep := p.core.endpoints[m.Endpoint]
		return ep != nil && ep.mayHaveWork(p.now) && (ep.InFlight > 0 || ep.Queued > 0)
	})
}

// rollOut removes groups that the bundle does not want, updates the others to the models of
// the bundle, and replaces stragglers, with one change at a time.
func (p *planner) rollOut() {
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		if a.Draining && p.isDrained(a) {
			p.finishDraining(a)
			return
		}
	}
	if a := p.surplusGroup(); a != nil {
		p.drain(a)
		return
	}
	for _, pool := range p.core.poolsByPriority() {
		if p.core.isRollingOut(pool) {
			p.updateNextGroup(pool)
			return
		}
	}
	p.drainStragglerGroup()
}

// finishDraining makes the change for which a was drained. It removes a group that the bundle
// does not want, updates an outdated group, replaces a straggler, or removes a group whose
// members are needed elsewhere. If none of these applies any more, the group resumes.
func (p *planner) finishDraining(a *Assignment) {
	pool := p.core.pool(a.Pool)
	switch {
	case pool == nil, len(a.Members) != pool.GroupSize, p.core.groupDeficit(p.now, pool) < 0:
		p.remove(a)
	case p.core.isOutdated(a, pool):
		p.startEpoch(a)
		p.recordDecision(a.Group, "", DecisionUpdate)
	case p.stragglerIndex(a) >= 0 && len(p.free) > 0:
		a.Members[p.stragglerIndex(a)] = p.allocate(a)
		p.startEpoch(a)
		p.recordDecision(a.Group, "", DecisionReplace)
	case p.isNeededElsewhere(a):
		p.remove(a)
	default:
		a.Draining = false
		p.recordDecision(a.Group, "", DecisionResume)
	}
}

// isNeededElsewhere reports whether a stuck group of a higher priority needs members of a.
func (p *planner) isNeededElsewhere(a *Assignment) bool {
	return slices.ContainsFunc(p.rec.Groups, func(b Assignment) bool {
		return p.core.priority(a) < p.core.priority(&b) && len(p.lostMembers(&b)) > len(p.free) && p.isStuck(&b)
	})
}

// drain stops new requests to a, or removes a at once if no request can be in flight there.
func (p *planner) drain(a *Assignment) {
	switch {
	case a.Draining:
	case p.core.mayServe(p.now, a):
		a.Draining = true
		p.recordDecision(a.Group, "", DecisionDrain)
	default:
		p.remove(a)
	}
}

// remove deletes a from the record, so that its members are released.
func (p *planner) remove(a *Assignment) {
	name := a.Group
	p.rec.Groups = slices.DeleteFunc(p.rec.Groups, func(g Assignment) bool { return g.Group == name })
	p.recordDecision(name, "", DecisionRemove)
}

// surplusGroup returns a group of this fabric domain that the bundle does not want, or nil.
// All lease holders compute the same surplus groups of a pool.
func (p *planner) surplusGroup() *Assignment {
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		pool := p.core.pool(a.Pool)
		if !a.Draining && (pool == nil || p.core.surplusGroups(p, pool)[a.Group]) {
			return a
		}
	}
	return nil
}

// surplusGroups returns the groups of pool in the failure domain that exceed the number in the
// bundle: groups that are not serving come first, then the last by name.
func (c *Core) surplusGroups(p *planner, pool *bundler.Pool) map[identifier.Group]bool {
	n := -c.groupDeficit(p.now, pool)
	if n <= 0 {
		return nil
	}
	var all []*Assignment
	for _, fd := range slices.Sorted(maps.Keys(c.records)) {
		groups := c.records[fd].Record.Groups
		for i := range groups {
			if groups[i].Pool == pool.Name && !c.isUnreachable(p.now, &groups[i]) {
				all = append(all, &groups[i])
			}
		}
	}
	slices.SortFunc(all, func(a, b *Assignment) int {
		return cmp.Or(cmp.Compare(c.retentionRank(a), c.retentionRank(b)), cmp.Compare(b.Group, a.Group))
	})
	out := map[identifier.Group]bool{}
	for _, a := range all[:n] {
		out[a.Group] = true
	}
	return out
}

// retentionRank ranks the groups of a pool for removal: draining groups are removed first,
// serving groups last.
func (c *Core) retentionRank(a *Assignment) int {
	switch {
	case a.Draining:
		return 0
	case !c.isServing(a):
		return 1
	}
	return 2
}

// isRollingOut reports whether a group of pool differs from the bundle in its model or size,
// which includes a group whose update is in progress.
func (c *Core) isRollingOut(pool *bundler.Pool) bool {
	return c.firstOutdatedDomain(pool) != ""
}

// firstOutdatedDomain returns the first fabric domain by name with a group of pool that
// differs from the bundle in its model or size. Only this domain updates groups, so that lease
// holders of different fabric domains do not drain groups at the same time.
func (c *Core) firstOutdatedDomain(pool *bundler.Pool) identifier.FabricDomain {
	for _, fd := range slices.Sorted(maps.Keys(c.records)) {
		for i := range c.records[fd].Record.Groups {
			a := &c.records[fd].Record.Groups[i]
			if a.Pool == pool.Name && (c.isOutdated(a, pool) || len(a.Members) != pool.GroupSize) {
				return fd
			}
		}
	}
	return ""
}

// updateNextGroup starts the update of the next group of pool that differs from the bundle, if
// no request can be in flight at this group or enough other groups serve.
func (p *planner) updateNextGroup(pool *bundler.Pool) {
	if p.core.firstOutdatedDomain(pool) != p.rec.FabricDomain {
		return
	}
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		if a.Pool != pool.Name || a.Draining || !p.core.isOutdated(a, pool) && len(a.Members) == pool.GroupSize {
			continue
		}
		if !p.core.mayServe(p.now, a) || p.core.countServing(pool) > p.core.minServing(pool) {
			p.updateGroup(a, pool)
			return
		}
	}
}

// updateGroup updates a at once if no request can be in flight there and it has the right size.
// Otherwise it drains a.
func (p *planner) updateGroup(a *Assignment, pool *bundler.Pool) {
	if p.core.mayServe(p.now, a) || len(a.Members) != pool.GroupSize {
		p.drain(a)
		return
	}
	p.startEpoch(a)
	p.recordDecision(a.Group, "", DecisionUpdate)
}

// countServing returns how many groups of pool in the failure domain accept requests.
func (c *Core) countServing(pool *bundler.Pool) int {
	n := 0
	for _, r := range c.records {
		for i := range r.Record.Groups {
			if a := &r.Record.Groups[i]; a.Pool == pool.Name && !a.Draining && c.isServing(a) {
				n++
			}
		}
	}
	return n
}

// minServing returns how many groups of pool must keep serving while others are updated.
func (c *Core) minServing(pool *bundler.Pool) int {
	wanted := c.wantedGroups(pool)
	return max(0, min(wanted-1, int(math.Ceil(c.policy.RolloutFloor*float64(wanted)))))
}

// stragglerIndex returns the index of a's member that has been a straggler for
// Policy.StragglerGrace, or -1.
func (p *planner) stragglerIndex(a *Assignment) int {
	return slices.IndexFunc(a.Members, func(m Member) bool {
		ep := p.core.endpoints[m.Endpoint]
		return ep != nil && !ep.slowSince.IsZero() && p.now.Sub(ep.slowSince) >= p.core.policy.StragglerGrace
	})
}

// drainStragglerGroup drains a group with a straggler if a free endpoint can replace the
// straggler and enough other groups of the pool serve.
func (p *planner) drainStragglerGroup() {
	if p.core.policy.Strategy != StrategyWeighted {
		return
	}
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		pool := p.core.pool(a.Pool)
		if a.Draining || pool == nil || len(p.free) == 0 || p.stragglerIndex(a) < 0 {
			continue
		}
		if p.core.countServing(pool) > p.core.minServing(pool) {
			p.drain(a)
			return
		}
	}
}
