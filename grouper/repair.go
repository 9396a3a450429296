package grouper

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// repairGroups repairs groups that lost members: the highest priority first, then the groups
// with the fewest lost members.
func (p *planner) repairGroups() {
	var broken []*Assignment
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		if p.core.pool(a.Pool) != nil && len(p.lostMembers(a)) > 0 {
			broken = append(broken, a)
		}
	}
	slices.SortStableFunc(broken, func(a, b *Assignment) int {
		return cmp.Or(cmp.Compare(p.core.priority(b), p.core.priority(a)), cmp.Compare(len(p.lostMembers(a)), len(p.lostMembers(b))))
	})
	for _, a := range broken {
		p.repairGroup(a)
	}
	if !p.changed && p.core.policy.Strategy == StrategyWeighted {
		p.reclaimMembers(broken)
	}
}

// lostMembers returns the indexes of the members of a that do not serve and will not serve
// without a change of the record. Such a member is unreachable, has restarted, or is leaving
// while no request can be in flight at the group any more.
func (p *planner) lostMembers(a *Assignment) []int {
	var out []int
	for i, m := range a.Members {
		ep := p.core.endpoints[m.Endpoint]
		if ep == nil || !ep.Fresh || ep.ProcessStart != m.ProcessStart || ep.Leaving && p.isDrained(a) {
			out = append(out, i)
		}
	}
	return out
}

func (p *planner) repairGroup(a *Assignment) {
	repaired := false
	for _, i := range p.lostMembers(a) {
		repaired = p.repairMember(a, i) || repaired
	}
	if !repaired {
		return
	}
	p.startEpoch(a)
}

// startEpoch assigns a new epoch to a. It also sets the current model of the pool, because the
// members receive a new order in any case.
func (p *planner) startEpoch(a *Assignment) {
	a.Epoch = p.rec.nextEpoch()
	a.Draining = false
	a.Standby = nil // it was reserved to replace one of the old members
	if pool := p.core.pool(a.Pool); pool != nil {
		p.core.setModel(a, pool)
	}
}

// repairMember readmits or replaces the member at index i of a, and reports whether it did.
func (p *planner) repairMember(a *Assignment, i int) bool {
	m := &a.Members[i]
	ep := p.core.endpoints[m.Endpoint]
	returned := p.core.canReadmit(m.Endpoint)
	if p.shouldReplace(a, ep, returned) && p.canFill(a) {
		*m = p.allocate(a)
		p.recordDecision(a.Group, m.Endpoint, DecisionReplace)
		return true
	}
	if !returned || p.now.Sub(ep.lastReturn()) < p.readmitDelay(ep) {
		return false
	}
	m.ProcessStart, m.Address = ep.ProcessStart, ep.Address
	p.recordDecision(a.Group, m.Endpoint, DecisionReadmit)
	return true
}

// shouldReplace reports whether a free endpoint should replace the lost endpoint ep now. An
// endpoint whose process has exited must load its model again like any other endpoint, so that
// waiting for it has no benefit. A returned endpoint is replaced if it is unstable, or if it
// lacks the model while the replacement has loaded it.
func (p *planner) shouldReplace(a *Assignment, ep *endpointState, returned bool) bool {
	switch {
	case p.core.policy.Strategy == StrategyWait:
		return false
	case p.core.policy.Strategy == StrategyRebuild:
		return !returned
	case ep == nil, ep.Leaving, ep.Exited:
		return true
	case returned:
		return len(ep.recentReturns) >= unstableReturns || p.isReplacementLoaded(a) && !ep.hasModel(a.model())
	}
	return p.now.Sub(ep.unreachableSince) >= p.core.replaceDelay(ep, p.isReplacementLoaded(a))
}

// canFill reports whether there are enough free endpoints to replace all lost members of a
// that cannot be readmitted. A group that would stay incomplete leaves the free endpoints to
// other groups, except with StrategyRebuild, for which one free endpoint suffices.
func (p *planner) canFill(a *Assignment) bool {
	absent := 0
	for _, i := range p.lostMembers(a) {
		if !p.core.canReadmit(a.Members[i].Endpoint) {
			absent++
		}
	}
	return len(p.free) >= max(1, absent) || p.core.policy.Strategy == StrategyRebuild && len(p.free) > 0
}

// canReadmit reports whether a lost endpoint is reachable again and could be readmitted.
func (c *Core) canReadmit(name identifier.Endpoint) bool {
	ep := c.endpoints[name]
	return ep != nil && ep.Fresh && !ep.Leaving
}

// isReplacementLoaded reports whether the next free endpoint for a has loaded the model of a.
func (p *planner) isReplacementLoaded(a *Assignment) bool {
	return len(p.free) > 0 && p.free[p.allocationIndex(a)].hasModel(a.model())
}

// isOverdue reports whether ep has been unreachable for longer than waiting is expected to pay
// off.
func (p *planner) isOverdue(ep *endpointState) bool {
	if ep == nil || ep.Exited {
		return true
	}
	return !ep.unreachableSince.IsZero() && p.now.Sub(ep.unreachableSince) >= p.core.replaceDelay(ep, false)
}

const (
	unstableReturns = 3                // number of returns within Policy.FlapWindow that make an endpoint unstable
	readmitStep     = 15 * time.Second // added to the delay for each return from unstableReturns on
	maxReadmitDelay = 2 * time.Minute
)

// readmitDelay returns how long ep must have been back before it is readmitted.
func (p *planner) readmitDelay(ep *endpointState) time.Duration {
	if len(ep.recentReturns) < unstableReturns || p.core.policy.Strategy != StrategyWeighted {
		return 0
	}
	return min(maxReadmitDelay, readmitStep*time.Duration(len(ep.recentReturns)-unstableReturns+1))
}

// lastReturn returns the time of the last return of ep, or the zero time.
func (ep *endpointState) lastReturn() time.Time {
	if len(ep.recentReturns) == 0 {
		return time.Time{}
	}
	return ep.recentReturns[len(ep.recentReturns)-1]
}

// reclaimMembers dissolves one group to repair another. The group to repair is the first of
// the stuck groups in broken, which free endpoints do not suffice to repair. Its members come
// from the last stuck group, or else from a serving group of a lower priority if the weights
// of the bundle allow it.
func (p *planner) reclaimMembers(broken []*Assignment) {
	stuck := slices.DeleteFunc(slices.Clone(broken), func(a *Assignment) bool { return !p.isStuck(a) })
	if len(stuck) == 0 {
		return
	}
	a := stuck[0]
	need := len(p.lostMembers(a)) - len(p.free)
	if last := stuck[len(stuck)-1]; last != a && len(last.Members)-len(p.lostMembers(last)) >= need {
		p.remove(last)
		return
	}
	for i := len(p.rec.Groups) - 1; i >= 0; i-- {
		donor := &p.rec.Groups[i]
		if p.core.priority(donor) < p.core.priority(a) && len(donor.Members) >= need && p.core.isServing(donor) && p.shouldReclaim(a, donor, need) {
			p.drain(donor)
			return
		}
	}
}

// isStuck reports whether every lost member of a is overdue and cannot be readmitted.
func (p *planner) isStuck(a *Assignment) bool {
	for _, i := range p.lostMembers(a) {
		ep := p.core.endpoints[a.Members[i].Endpoint]
		if p.core.canReadmit(a.Members[i].Endpoint) || !p.isOverdue(ep) {
			return false
		}
	}
	return true
}

// lowerPriorityWeight is the factor applied to the downtime of a group of a lower priority.
const lowerPriorityWeight = 0.5

// shouldReclaim reports whether a, which lacks need members, should get members of the serving
// group donor. It compares, by the weights of the bundle, the cost of a while it is down with
// the cost of dissolving donor.
func (p *planner) shouldReclaim(a, donor *Assignment, need int) bool {
	w := p.core.bundle.Repair
	if w.GroupDowntime == 0 && w.StrandedAccelerators == 0 {
		w.GroupDowntime = 1
	}
	recipientCost := w.GroupDowntime + w.StrandedAccelerators*float64(len(a.Members)-len(p.lostMembers(a)))
	donorCost := lowerPriorityWeight*w.GroupDowntime + w.StrandedAccelerators*float64(len(donor.Members)-need)
	return recipientCost > donorCost
}
