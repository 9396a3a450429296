package grouper

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// repairGroups mends groups that lost members: the highest priority first, then those that lack least.
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

// lostMembers returns the places of a whose member does not serve and will not without a change of
// the record: away, returned with another process start, or about to leave and done.
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

// startEpoch gives a a new epoch, and the present model of its pool, since its members must take
// a new order anyway.
func (p *planner) startEpoch(a *Assignment) {
	a.Epoch = p.rec.nextEpoch()
	a.Draining = false
	a.Standby = nil // its promise was for the old members
	if pool := p.core.pool(a.Pool); pool != nil {
		p.core.setModel(a, pool)
	}
}

// repairMember readmits or replaces the member at place i of a, and reports whether it did.
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

// shouldReplace reports whether a free endpoint should take the place of the lost ep now. One
// whose process is gone must load its model again like any other, so there is nothing to wait for.
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
	return p.now.Sub(ep.unreachableSince) >= p.core.replaceDelay(p.isReplacementLoaded(a))
}

// canFill reports whether there are free endpoints for all places of a whose members are not
// back. A group that would lack a member all the same leaves them to another.
func (p *planner) canFill(a *Assignment) bool {
	absent := 0
	for _, i := range p.lostMembers(a) {
		if !p.core.canReadmit(a.Members[i].Endpoint) {
			absent++
		}
	}
	return len(p.free) >= max(1, absent) || p.core.policy.Strategy == StrategyRebuild && len(p.free) > 0
}

// canReadmit reports whether a lost endpoint answers again and could be readmitted.
func (c *Core) canReadmit(name identifier.Endpoint) bool {
	ep := c.endpoints[name]
	return ep != nil && ep.Fresh && !ep.Leaving
}

// isReplacementLoaded reports whether the next free endpoint for a has a's model.
func (p *planner) isReplacementLoaded(a *Assignment) bool {
	return len(p.free) > 0 && p.free[p.allocationIndex(a)].hasModel(a.model())
}

// isOverdue reports whether ep is away for longer than it pays to wait.
func (p *planner) isOverdue(ep *endpointState) bool {
	if ep == nil || ep.Exited {
		return true
	}
	return !ep.unreachableSince.IsZero() && p.now.Sub(ep.unreachableSince) >= p.core.replaceDelay(false)
}

const (
	unstableReturns = 3                // returns within Policy.FlapWindow that make an endpoint unstable
	readmitStep     = 15 * time.Second // for each return of an unstable endpoint before it is readmitted
	maxReadmitDelay = 2 * time.Minute
)

// readmitDelay returns how long ep must be back before it is readmitted.
func (p *planner) readmitDelay(ep *endpointState) time.Duration {
	if len(ep.recentReturns) < unstableReturns || p.core.policy.Strategy != StrategyWeighted {
		return 0
	}
	return min(maxReadmitDelay, readmitStep*time.Duration(len(ep.recentReturns)-unstableReturns+1))
}

// lastReturn returns when ep last returned, or the zero time.
func (ep *endpointState) lastReturn() time.Time {
	if len(ep.recentReturns) == 0 {
		return time.Time{}
	}
	return ep.recentReturns[len(ep.recentReturns)-1]
}

// reclaimMembers takes a group apart to mend another: among broken is the first whose lost members are
// all overdue and that free endpoints do not mend. The last of the broken gives its members,
// or else a whole group of a lower priority if the weights say so.
func (p *planner) reclaimMembers(broken []*Assignment) {
	overdue := slices.DeleteFunc(slices.Clone(broken), func(a *Assignment) bool { return !p.isStuck(a) })
	if len(overdue) == 0 {
		return
	}
	a := overdue[0]
	need := len(p.lostMembers(a)) - len(p.free)
	if last := overdue[len(overdue)-1]; last != a && len(last.Members)-len(p.lostMembers(last)) >= need {
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

// isStuck reports whether every lost member of a is overdue and not back.
func (p *planner) isStuck(a *Assignment) bool {
	for _, i := range p.lostMembers(a) {
		ep := p.core.endpoints[a.Members[i].Endpoint]
		if p.core.canReadmit(a.Members[i].Endpoint) || !p.isOverdue(ep) {
			return false
		}
	}
	return true
}

// lowerPriorityWeight is what the downtime of a group of a lower priority counts.
const lowerPriorityWeight = 0.5

// shouldReclaim reports whether a, which lacks need members, should get those of the whole group
// d, by the bundle's weights: what a costs while it is down, against what d will cost.
func (p *planner) shouldReclaim(a, donor *Assignment, need int) bool {
	w := p.core.bundle.Repair
	if w.GroupDowntime == 0 && w.StrandedAccelerators == 0 {
		w.GroupDowntime = 1
	}
	recipientCost := w.GroupDowntime + w.StrandedAccelerators*float64(len(a.Members)-len(p.lostMembers(a)))
	donorCost := lowerPriorityWeight*w.GroupDowntime + w.StrandedAccelerators*float64(len(donor.Members)-need)
	return recipientCost > donorCost
}
