package grouper

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// quiet notes since when each group gets no new requests, because it is draining or has a
// member that is leaving.
func (p *planner) quiet() {
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		_, known := p.state.drained[a.Group]
		switch {
		case !a.Draining && !p.hasLeaving(a):
			delete(p.state.drained, a.Group)
		case !known:
			p.state.drained[a.Group] = p.now
		}
	}
}

func (p *planner) hasLeaving(a *Assignment) bool {
	return slices.ContainsFunc(a.Members, func(m Member) bool {
		ep := p.core.endpoints[m.Endpoint]
		return ep != nil && ep.Leaving
	})
}

// isQuiet reports whether no request can be in flight at a any more.
func (p *planner) isQuiet(a *Assignment) bool {
	since, ok := p.state.drained[a.Group]
	if !ok || p.now.Sub(since) < p.core.policy.DrainPropagation {
		return false
	}
	return !slices.ContainsFunc(a.Members, func(m Member) bool {
		ep := p.core.endpoints[m.Endpoint]
		return ep != nil && ep.Fresh && (ep.InFlight > 0 || ep.Queued > 0)
	})
}

// rollout removes groups that the bundle does not want, and brings the others to its models
// and free of stragglers, one change at a time.
func (p *planner) rollout() {
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		if a.Draining && p.isQuiet(a) {
			p.drained(a)
			return
		}
	}
	if a := p.surplus(); a != nil {
		p.drain(a)
		return
	}
	for _, pool := range p.core.pools() {
		if p.core.rolling(pool) {
			p.rollPool(pool)
			return
		}
	}
	p.relieve()
}

// drained finishes what a was drained for: an update if its pool has changed, a change of
// a straggler, and else its removal.
func (p *planner) drained(a *Assignment) {
	pool := p.core.pool(a.Pool)
	switch {
	case pool == nil, len(a.Members) != pool.GroupSize, p.core.missing(p.now, pool) < 0:
		p.remove(a)
	case p.core.outdated(a, pool):
		p.refit(a)
		p.note(a.Group, "", DecisionUpdate)
	case p.straggler(a) >= 0 && len(p.free) > 0:
		a.Members[p.straggler(a)] = p.take(a)
		p.refit(a)
		p.note(a.Group, "", DecisionReplace)
	case p.neededElsewhere(a):
		p.remove(a)
	default:
		a.Draining = false
		p.note(a.Group, "", DecisionResume)
	}
}

// neededElsewhere reports whether a group of a higher priority waits for members of a.
func (p *planner) neededElsewhere(a *Assignment) bool {
	return slices.ContainsFunc(p.rec.Groups, func(b Assignment) bool {
		return p.core.priority(a) < p.core.priority(&b) && len(p.lost(&b)) > len(p.free) && p.stuck(&b)
	})
}

// drain stops new requests to a, or removes it at once if it serves none.
func (p *planner) drain(a *Assignment) {
	switch {
	case a.Draining:
	case p.core.whole(a):
		a.Draining = true
		p.note(a.Group, "", DecisionDrain)
	default:
		p.remove(a)
	}
}

// remove takes a out of the record, so that its members are released.
func (p *planner) remove(a *Assignment) {
	name := a.Group
	p.rec.Groups = slices.DeleteFunc(p.rec.Groups, func(g Assignment) bool { return g.Group == name })
	p.note(name, "", DecisionRemove)
}

// surplus returns a group of this fabric domain that the bundle does not want, or nil. All
// holders agree on which of a pool's groups are too many.
func (p *planner) surplus() *Assignment {
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		pool := p.core.pool(a.Pool)
		if !a.Draining && (pool == nil || p.core.tooMany(p, pool)[a.Group]) {
			return a
		}
	}
	return nil
}

// tooMany returns the groups by which the failure domain has more than the bundle wants:
// those that do not serve first, then the last by name.
func (c *Core) tooMany(p *planner, pool *bundler.Pool) map[identifier.Group]bool {
	n := -c.missing(p.now, pool)
	if n <= 0 {
		return nil
	}
	var all []*Assignment
	for _, fd := range slices.Sorted(maps.Keys(c.records)) {
		groups := c.records[fd].Record.Groups
		for i := range groups {
			if groups[i].Pool == pool.Name && !c.dark(p.now, &groups[i]) {
				all = append(all, &groups[i])
			}
		}
	}
	slices.SortFunc(all, func(a, b *Assignment) int {
		return cmp.Or(cmp.Compare(c.keepRank(a), c.keepRank(b)), cmp.Compare(b.Group, a.Group))
	})
	out := map[identifier.Group]bool{}
	for _, a := range all[:n] {
		out[a.Group] = true
	}
	return out
}

// keepRank orders the groups of a pool by how much there is to keep.
func (c *Core) keepRank(a *Assignment) int {
	switch {
	case a.Draining:
		return 0
	case !c.whole(a):
		return 1
	}
	return 2
}

// rolling reports whether a group of pool is still to be updated or is being updated.
func (c *Core) rolling(pool *bundler.Pool) bool {
	return c.firstOutdated(pool) != ""
}

// firstOutdated returns the first fabric domain by name with a group of pool to update. Only
// there an update goes on, so that holders of different fabric domains do not drain together.
func (c *Core) firstOutdated(pool *bundler.Pool) identifier.FabricDomain {
	for _, fd := range slices.Sorted(maps.Keys(c.records)) {
		for i := range c.records[fd].Record.Groups {
			a := &c.records[fd].Record.Groups[i]
			if a.Pool == pool.Name && (c.outdated(a, pool) || len(a.Members) != pool.GroupSize) {
				return fd
			}
		}
	}
	return ""
}

// rollPool drains the next group of pool that is to be updated, if enough others serve.
func (p *planner) rollPool(pool *bundler.Pool) {
	if p.core.firstOutdated(pool) != p.rec.FabricDomain {
		return
	}
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		if a.Pool != pool.Name || a.Draining || !p.core.outdated(a, pool) && len(a.Members) == pool.GroupSize {
			continue
		}
		if !p.core.whole(a) || p.core.serving(pool) > p.core.floor(pool) {
			p.update(a, pool)
			return
		}
	}
}

// update drains a, or updates it at once if it serves nothing.
func (p *planner) update(a *Assignment, pool *bundler.Pool) {
	if p.core.whole(a) || len(a.Members) != pool.GroupSize {
		p.drain(a)
		return
	}
	p.refit(a)
	p.note(a.Group, "", DecisionUpdate)
}

// serving returns how many groups of pool take requests in the failure domain.
func (c *Core) serving(pool *bundler.Pool) int {
	n := 0
	for _, r := range c.records {
		for i := range r.Record.Groups {
			if a := &r.Record.Groups[i]; a.Pool == pool.Name && !a.Draining && c.whole(a) {
				n++
			}
		}
	}
	return n
}

// floor returns how many groups of pool must go on serving while others are updated.
func (c *Core) floor(pool *bundler.Pool) int {
	wanted := c.wanted(pool)
	return max(0, min(wanted-1, int(math.Ceil(c.policy.RolloutFloor*float64(wanted)))))
}

// straggler returns the place of a's member that was slow for Policy.StragglerGrace, or -1.
func (p *planner) straggler(a *Assignment) int {
	return slices.IndexFunc(a.Members, func(m Member) bool {
		ep := p.core.endpoints[m.Endpoint]
		return ep != nil && !ep.slowSince.IsZero() && p.now.Sub(ep.slowSince) >= p.core.policy.StragglerGrace
	})
}

// relieve drains a group with a straggler if a free endpoint can take its place and enough
// other groups serve.
func (p *planner) relieve() {
	if p.core.policy.Strategy != StrategyWeighted {
		return
	}
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		pool := p.core.pool(a.Pool)
		if a.Draining || pool == nil || len(p.free) == 0 || p.straggler(a) < 0 {
			continue
		}
		if p.core.serving(pool) > p.core.floor(pool) {
			p.drain(a)
			return
		}
	}
}
